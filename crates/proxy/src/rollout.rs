//! Rollouts in a proxy: which requests may go to servers of a new version, and how the attempts at either
//! version ended. See docs/system/rollouts.md.
//!
//! While a version is on trial, each proxy sends it no more than a fixed share of the requests that the
//! proxy itself sends to the service. So the share holds over all proxies together, whatever any of them
//! knows of the others.

use cluster::rollout::{Answers, Rollouts as Agreed, RouteTally, Stage, Tally, tally_interval};
use cluster::{Micros, Rev};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The fraction of the exposure bound of the settings that a trial uses. It leaves a reserve because the
/// requests that arrive at servers are not exactly those that were sent.
const EXPOSURE_FRACTION: f64 = 0.8;
/// The exposure bound if the settings have none.
const DEFAULT_EXPOSURE: f64 = 0.1;
/// The number of unused trial requests that a proxy may save up.
const MAX_SAVED_CREDIT: f64 = 3.0;
/// The credit that a busy route needs. It leaves one trial request to rarely used routes, of which there are
/// few answers.
const BUSY_ROUTE_CREDIT: f64 = 2.0;
/// A route is busy if it has at least this fraction of this proxy's requests to the service.
const BUSY_ROUTE_FRACTION: f64 = 0.25;
/// The fraction of the settings' exposure margin that a trial uses in addition, divided over all proxies.
/// With little traffic the share alone would show nothing.
const MARGIN_FRACTION: f64 = 0.5;
/// A proxy gets no part of the margin for a rollout that it learns of earlier than this after its start,
/// because its previous run may have used it.
const MIN_UPTIME_FOR_MARGIN_US: Micros = 5_000_000;

/// The side of a rollout that a server's version is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Old,
    New,
}

/// A server of a service with a running rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutServer {
    pub epoch: Rev,
    pub side: Side,
    /// The server is on trial: it gets only requests that the share allows.
    pub trial: bool,
    pub cold_until: Micros,
}

/// The result of an attempt, as far as it says something about the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The times of cold servers don't count.
    Served {
        taken_us: Micros,
        cold: bool,
    },
    Failed,
}

/// A running rollout at this proxy.
struct RunningRollout {
    service: u32,
    stage: Stage,
    /// Requests that may be sent to servers on trial now.
    credit: f64,
    routes: BTreeMap<u32, RouteTally>,
    /// First attempts that were sent to the service, by route; and the routes whose last request was given a
    /// trial.
    first_tries: BTreeMap<u32, u32>,
    last_on_trial: BTreeSet<u32>,
}

impl RunningRollout {
    fn is_busy(&self, route: u32) -> bool {
        let all: u32 = self.first_tries.values().sum();
        let of_route = self.first_tries.get(&route).copied().unwrap_or(0);
        f64::from(of_route) >= BUSY_ROUTE_FRACTION * f64::from(all)
    }

    /// Whether the route's next request may go on trial: at most every second one, so that answers of the
    /// old version are counted, too.
    fn may_go_on_trial(&mut self, route: u32) -> bool {
        if self.last_on_trial.remove(&route) {
            return false;
        }
        let least = if self.is_busy(route) { BUSY_ROUTE_CREDIT } else { 1.0 };
        self.credit >= least
    }
}

/// The running rollouts as this run of the proxy sees them, by epoch.
pub struct Rollouts {
    ip: Ipv4Addr,
    /// Identifies this run of the proxy.
    life: u64,
    exposure: Exposure,
    started_at: Micros,
    beat_us: Micros,
    /// The time between two tallies; and the fraction of it by which this proxy delays a tally that all
    /// proxies have a reason to send at the same moment.
    tally_us: Micros,
    stagger: f64,
    running: BTreeMap<Rev, RunningRollout>,
    /// The number of tallies sent so far.
    count: u64,
    tally_at: Micros,
}

/// What a version on trial may get, over all proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// Fraction of a service's requests.
    pub share: f64,
    /// Requests in addition to that.
    pub margin: f64,
}

impl Exposure {
    /// Stays below the bounds of the settings; see `EXPOSURE_FRACTION` and `MARGIN_FRACTION`.
    pub fn from_settings(exposure_share: Option<f64>, exposure_margin: Option<f64>) -> Exposure {
        Exposure {
            share: EXPOSURE_FRACTION * exposure_share.unwrap_or(DEFAULT_EXPOSURE).clamp(0.0, 1.0),
            margin: MARGIN_FRACTION * exposure_margin.unwrap_or(0.0).max(0.0),
        }
    }
}

impl Rollouts {
    /// `beat_us`: the heartbeat period of servers.
    pub fn new(ip: Ipv4Addr, life: u64, exposure: Exposure, beat_us: Micros, now: Micros) -> Rollouts {
        Rollouts {
            ip,
            life,
            exposure,
            started_at: now,
            beat_us,
            tally_us: tally_interval(beat_us, 1),
            stagger: xxh3_64_with_seed(&ip.octets(), life) as f64 / u64::MAX as f64,
            running: BTreeMap::new(),
            count: 0,
            tally_at: Micros::MAX,
        }
    }

    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    pub fn wake_at(&self) -> Micros {
        if self.is_idle() { Micros::MAX } else { self.tally_at }
    }

    /// Applies the agreed rollouts, with the current number of proxies. `service_number` maps a service's
    /// name to its number.
    pub fn apply_state(
        &mut self,
        now: Micros,
        agreed: &Agreed,
        proxies: usize,
        service_number: impl Fn(&str) -> Option<u32>,
    ) {
        self.tally_us = tally_interval(self.beat_us, proxies);
        let staggered_at = now + (self.tally_us as f64 * self.stagger) as Micros;
        self.running.retain(|epoch, _| agreed.running().any(|r| r.epoch == *epoch));
        for rollout in agreed.running() {
            let Some(service) = service_number(&rollout.order.service) else { continue };
            let stage = rollout.stage;
            let up_long_enough = now >= self.started_at + MIN_UPTIME_FOR_MARGIN_US;
            let credit = if up_long_enough { self.exposure.margin / proxies.max(1) as f64 } else { 0.0 };
            let (routes, first_tries, last_on_trial) = Default::default();
            let new = || RunningRollout { service, stage, credit, routes, first_tries, last_on_trial };
            let running = self.running.entry(rollout.epoch).or_insert_with(new);
            if running.stage != stage {
                running.stage = stage;
                self.tally_at = self.tally_at.min(staggered_at);
            }
        }
        if !self.is_idle() && self.tally_at == Micros::MAX {
            self.tally_at = staggered_at;
        }
        if self.is_idle() {
            self.tally_at = Micros::MAX;
        }
    }

    fn trial_of(&mut self, service: u32) -> Option<&mut RunningRollout> {
        self.running.values_mut().find(|r| r.service == service && r.stage == Stage::Trial)
    }

    /// Reserves a trial for a request if the share allows it; [`Rollouts::give_back`] returns it.
    pub fn reserve(&mut self, service: u32, route: u32) -> bool {
        let Some(running) = self.trial_of(service) else { return false };
        if !running.may_go_on_trial(route) {
            return false;
        }
        running.credit -= 1.0;
        running.last_on_trial.insert(route);
        true
    }

    /// Returns the reservation of a request that wasn't sent to a server on trial.
    pub fn give_back(&mut self, service: u32) {
        if let Some(running) = self.trial_of(service) {
            running.credit += 1.0;
        }
    }

    /// Counts the first attempt of a request to the service, whichever server it went to.
    pub fn record_first_try(&mut self, service: u32, route: u32) {
        let share = self.exposure.share;
        if let Some(running) = self.trial_of(service) {
            *running.first_tries.entry(route).or_default() += 1;
            running.credit = (running.credit + share).min(MAX_SAVED_CREDIT.max(running.credit));
        }
    }

    /// Counts the end of an attempt at a server of either side.
    pub fn record_end(&mut self, server: RolloutServer, route: u32, ended: AttemptEnd) {
        let Some(running) = self.running.get_mut(&server.epoch) else { return };
        let empty = || RouteTally { route, old: Answers::default(), new: Answers::default() };
        let tally = running.routes.entry(route).or_insert_with(empty);
        let answers = match server.side {
            Side::Old => &mut tally.old,
            Side::New => &mut tally.new,
        };
        answers.ended += 1;
        match ended {
            AttemptEnd::Failed => answers.failed += 1,
            AttemptEnd::Served { taken_us, cold: false } => answers.took(taken_us),
            AttemptEnd::Served { cold: true, .. } => {}
        }
    }

    /// The tallies that are to go to the registries now, if they are due. `rev`: the revision of this
    /// proxy's copy of the state. `old_out`: gives the number of attempts in flight at servers of the old
    /// side of a rollout.
    pub fn tallies(&mut self, now: Micros, rev: Rev, old_out: impl Fn(Rev) -> u32) -> Vec<Tally> {
        if now < self.wake_at() {
            return Vec::new();
        }
        self.tally_at = now + self.tally_us;
        self.count += 1;
        let tally = |(epoch, running): (&Rev, &RunningRollout)| Tally {
            ip: self.ip,
            life: self.life,
            count: self.count,
            epoch: *epoch,
            rev,
            old_out: old_out(*epoch),
            routes: running.routes.values().cloned().collect(),
        };
        self.running.iter().map(tally).collect()
    }
}
