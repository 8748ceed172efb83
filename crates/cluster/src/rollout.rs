//! Rollouts of versions as they are agreed on: which there are, how far each has come, and which servers of a service may
//! serve meanwhile. Why it is done so: docs/system/rollouts.md.

use crate::{Micros, Rev};
use serde::{Deserialize, Serialize};
pub use settings::rollout::{Order, Progress};
use std::collections::{BTreeMap, BTreeSet};

/// Services whose last rollout is remembered.
const MAX_ROLLOUTS: usize = 512;

/// How far a rollout has come. Stages only rise, but that each before `Completed` may end in `Reverted`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// A bounded share of the requests goes to a few of the new servers.
    Trial,
    /// Some of the new servers serve beside all old ones.
    Partial,
    /// The new servers serve alone; the old ones finish what they have.
    Whole,
    /// The old servers may stop.
    Completed,
    /// Nothing goes to the new servers.
    Reverted,
}

impl Stage {
    pub fn is_over(self) -> bool {
        matches!(self, Stage::Completed | Stage::Reverted)
    }

    pub fn progress(self) -> Progress {
        match self {
            Stage::Trial | Stage::Partial | Stage::Whole => Progress::InProgress,
            Stage::Completed => Progress::Completed,
            Stage::Reverted => Progress::Reverted,
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            Stage::Trial => "trial",
            Stage::Partial => "partial",
            Stage::Whole => "whole",
            Stage::Completed => "completed",
            Stage::Reverted => "reverted",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutChange {
    /// `after`: the epoch of a rollout of this service that ended too long ago for this to be a repeat of its order.
    Start { order: Order, after: Option<Rev> },
    /// The rollout of this epoch comes to a later stage.
    Advance { service: String, epoch: Rev, to: Stage, reason: String },
    /// An operator ends what is under way.
    Stop { service: String },
}

/// The last rollout of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    pub order: Order,
    /// The revision at which it was ordered: the fencing token of all that concerns it.
    pub epoch: Rev,
    pub stage: Stage,
    /// The revision at which it came to that stage.
    pub stage_rev: Rev,
    pub reason: String,
    /// The versions that the target replaces.
    pub old_versions: BTreeSet<String>,
    /// The versions that earlier rollouts took out of service: what is left of their servers gets nothing.
    pub retired: BTreeSet<String>,
    /// When the order and the stage were agreed on, in microseconds of this process's clock, which may have begun later;
    /// on disk, how long ago that was.
    pub ordered_at: i64,
    pub stage_at: i64,
}

/// What a rollout makes of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Serves as if there were no rollout.
    Regular,
    /// Of the new version, on trial: serves no more than its share.
    Trial,
    /// Of the new version, some of whose servers may serve.
    Partial,
    /// Serves only where no server of the new version can.
    Replaced,
    /// Gets nothing.
    Withdrawn,
}

impl Rollout {
    /// How long ago it was ordered, in microseconds.
    pub fn age_us(&self, now: Micros) -> Micros {
        (now as i64 - self.ordered_at).max(0) as Micros
    }

    /// For how long it has been at its stage, in microseconds.
    pub fn stage_age_us(&self, now: Micros) -> Micros {
        (now as i64 - self.stage_at).max(0) as Micros
    }

    /// The versions that are out of service once this rollout has ended.
    fn retires(&self) -> BTreeSet<String> {
        let mut retired = self.retired.clone();
        match self.stage {
            Stage::Reverted => _ = retired.insert(self.order.target_version.clone()),
            Stage::Completed => retired.extend(self.old_versions.iter().cloned()),
            Stage::Trial | Stage::Partial | Stage::Whole => {}
        }
        retired
    }

    fn role(&self, version: Option<&str>) -> Role {
        let new = version == Some(self.order.target_version.as_str());
        let old = version.is_none_or(|v| self.old_versions.contains(v));
        let retired = version.is_some_and(|v| self.retired.contains(v));
        match (self.stage, new) {
            (_, false) if retired => Role::Withdrawn,
            (Stage::Trial, true) => Role::Trial,
            (Stage::Partial, true) => Role::Partial,
            (Stage::Reverted, true) => Role::Withdrawn,
            (Stage::Whole, false) => Role::Replaced,
            (Stage::Completed, false) if old => Role::Replaced,
            _ => Role::Regular,
        }
    }
}

/// Why an order was not taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Declined {
    /// Another rollout of the service is under way, to this version.
    UnderWay { target_version: String },
    /// The configuration has no such service.
    NoService,
}

/// The last rollout of each service, by its name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts(pub BTreeMap<String, Rollout>);

impl Rollouts {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Those that have not ended.
    pub fn running(&self) -> impl Iterator<Item = &Rollout> {
        self.0.values().filter(|r| !r.stage.is_over())
    }

    /// The running one of a service.
    pub fn running_of(&self, service: &str) -> Option<&Rollout> {
        self.0.get(service).filter(|r| !r.stage.is_over())
    }

    pub fn role(&self, service: &str, version: Option<&str>) -> Role {
        self.0.get(service).map_or(Role::Regular, |r| r.role(version))
    }

    /// Whether the order holds already: it runs, or it is a repeat of the one that ended.
    pub fn holds(&self, order: &Order, after: Option<Rev>) -> bool {
        let of = |r: &Rollout| r.order == *order && (!r.stage.is_over() || after != Some(r.epoch));
        self.0.get(&order.service).is_some_and(of)
    }

    /// `versions`: those of the servers that the service has; None for those that do not tell.
    pub fn apply(
        &mut self,
        now: Micros,
        rev: Rev,
        change: &RolloutChange,
        versions: &BTreeSet<Option<String>>,
    ) -> Result<(), Declined> {
        match change {
            RolloutChange::Start { order, after } => self.start(now, rev, order, *after, versions),
            RolloutChange::Advance { service, epoch, to, reason } => {
                let of = |r: &&mut Rollout| r.epoch == *epoch && !r.stage.is_over() && *to > r.stage;
                if let Some(rollout) = self.0.get_mut(service).filter(of) {
                    rollout.advance(now, rev, *to, reason);
                    if *to == Stage::Completed {
                        rollout.replace(versions);
                    }
                }
                Ok(())
            }
            RolloutChange::Stop { service } => {
                if let Some(rollout) = self.0.get_mut(service).filter(|r| !r.stage.is_over()) {
                    rollout.advance(now, rev, Stage::Reverted, "stopped by an operator");
                }
                Ok(())
            }
        }
    }

    fn start(
        &mut self,
        now: Micros,
        rev: Rev,
        order: &Order,
        after: Option<Rev>,
        versions: &BTreeSet<Option<String>>,
    ) -> Result<(), Declined> {
        if self.holds(order, after) {
            return Ok(());
        }
        if let Some(running) = self.running_of(&order.service) {
            return Err(Declined::UnderWay { target_version: running.order.target_version.clone() });
        }
        let mut retired = self.0.get(&order.service).map(Rollout::retires).unwrap_or_default();
        retired.remove(&order.target_version);
        let mut rollout = Rollout {
            order: order.clone(),
            epoch: rev,
            stage: Stage::Trial,
            stage_rev: rev,
            reason: "ordered".to_string(),
            old_versions: BTreeSet::new(),
            retired,
            ordered_at: now as i64,
            stage_at: now as i64,
        };
        let replaces_any = rollout.replace(versions);
        if !versions.is_empty() && !replaces_any {
            rollout.advance(now, rev, Stage::Completed, "no other version serves");
        }
        self.0.insert(order.service.clone(), rollout);
        self.forget();
        Ok(())
    }

    /// The oldest of those that have ended.
    fn forget(&mut self) {
        while self.0.len() > MAX_ROLLOUTS {
            let ended = self.0.values().filter(|r| r.stage.is_over());
            let Some(oldest) = ended.min_by_key(|r| r.epoch).map(|r| r.order.service.clone()) else { return };
            self.0.remove(&oldest);
        }
    }

    /// As they are written down: times as how long ago they were.
    pub(crate) fn written(&self, now: Micros) -> Rollouts {
        let mut written = self.clone();
        for rollout in written.0.values_mut() {
            rollout.ordered_at = now as i64 - rollout.ordered_at;
            rollout.stage_at = now as i64 - rollout.stage_at;
        }
        written
    }

    /// The reverse of [`Rollouts::written`].
    pub(crate) fn read(self, now: Micros) -> Rollouts {
        self.written(now)
    }
}

impl Rollout {
    /// Notes these versions as replaced, but for the target and those that are out of service; whether there is any.
    fn replace(&mut self, versions: &BTreeSet<Option<String>>) -> bool {
        let target = &self.order.target_version;
        let replaced = |v: &&String| *v != target && !self.retired.contains(*v);
        let named: Vec<String> = versions.iter().flatten().filter(replaced).cloned().collect();
        let any = versions.contains(&None) || !named.is_empty();
        self.old_versions.extend(named);
        any
    }

    fn advance(&mut self, now: Micros, rev: Rev, to: Stage, reason: &str) {
        (self.stage, self.stage_rev, self.stage_at) = (to, rev, now as i64);
        self.reason = reason.to_string();
    }
}

/// Between two tallies of a proxy: so long for each proxy, as the tallies of a region go over the links of a few; but no
/// longer than a revert can wait for.
const TALLY_EACH_US: Micros = 6_000;
const MAX_TALLY_US: Micros = 1_500_000;

/// How often a proxy tells what it counted, with so many proxies, in microseconds. Servers call every `beat_us`.
pub fn tally_interval(beat_us: Micros, proxies: usize) -> Micros {
    (beat_us / 3).max((TALLY_EACH_US * proxies as Micros).min(MAX_TALLY_US))
}

/// What one life of a proxy counted of a rollout so far. Of two of one life the one with the greater count holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    pub ip: std::net::Ipv4Addr,
    pub life: u64,
    /// Grows with each tally of that life.
    pub count: u64,
    /// Of this rollout.
    pub epoch: Rev,
    /// How far the proxy's copy had come.
    pub rev: Rev,
    /// Requests that are out at servers of the old versions, of any that the rollout replaces.
    pub old_out: u32,
    pub routes: Vec<RouteTally>,
}

/// What one proxy has counted of one route since the rollout began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// [`crate::talk::route_key`] of the route.
    pub route: u32,
    pub old: Answers,
    pub new: Answers,
}

/// How attempts at servers of one side ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answers {
    /// All that ended with an answer or with a failure of the server's.
    pub ended: u32,
    /// Of those, the failures.
    pub failed: u32,
    /// Whole successful answers of servers that were not cold, by the time that they took: see [`time_bucket`].
    pub times: Vec<u32>,
}

/// Buckets of an answer's time: [`BUCKETS_PER_OCTAVE`] to each doubling from [`FIRST_BUCKET_US`] on.
pub const TIME_BUCKETS: usize = 40;
const BUCKETS_PER_OCTAVE: f64 = 3.0;
const FIRST_BUCKET_US: f64 = 1_000.0;

/// The bucket of [`Answers::times`] that a time belongs to.
pub fn time_bucket(taken_us: Micros) -> usize {
    let octaves = (taken_us as f64 / FIRST_BUCKET_US).max(1.0).log2();
    ((octaves * BUCKETS_PER_OCTAVE) as usize).min(TIME_BUCKETS - 1)
}

impl Answers {
    pub fn took(&mut self, taken_us: Micros) {
        let bucket = time_bucket(taken_us);
        if self.times.len() <= bucket {
            self.times.resize(bucket + 1, 0);
        }
        self.times[bucket] += 1;
    }

    pub fn add(&mut self, other: &Answers) {
        self.ended += other.ended;
        self.failed += other.failed;
        if self.times.len() < other.times.len() {
            self.times.resize(other.times.len(), 0);
        }
        self.times.iter_mut().zip(&other.times).for_each(|(sum, n)| *sum += n);
    }
}
