//! What proxies have counted of running rollouts.

use cluster::rollout::{Answers, Rollout, Rollouts, RouteTally, Tally};
use cluster::{Micros, Rev};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Tallies received within this time are kept as one interval.
const INTERVAL_US: Micros = 250_000;
/// The most intervals per rollout; older ones are merged into the oldest.
const MAX_INTERVALS: usize = 64;

/// What was counted in one interval, by route.
#[derive(Default)]
pub(super) struct Interval {
    number: u64,
    pub(super) routes: BTreeMap<u32, RouteTally>,
}

impl Interval {
    fn add(&mut self, tally: &RouteTally) {
        let none = || RouteTally { route: tally.route, old: Answers::default(), new: Answers::default() };
        let sum = self.routes.entry(tally.route).or_insert_with(none);
        sum.old.add(&tally.old);
        sum.new.add(&tally.new);
    }
}

/// The last tally of each proxy for each rollout, and the sums of all tallies by time. Each start of a proxy's process
/// is a life of its own, with its own tallies.
#[derive(Default)]
pub struct Tallies {
    latest: BTreeMap<(Rev, Ipv4Addr, u64), (Tally, Micros)>,
    /// By epoch of the rollout, the oldest interval first.
    /// What a proxy has counted stays in these sums after its process ends.
    intervals: BTreeMap<Rev, Vec<Interval>>,
    /// Tallies that the other registries have not received yet.
    unsent: Vec<Tally>,
}

impl Tallies {
    /// Takes a tally. `gossiped`: it came from another registry, so all of them have it.
    pub fn take(&mut self, now: Micros, tally: Tally, gossiped: bool) {
        let key = (tally.epoch, tally.ip, tally.life);
        let known = self.latest.get(&key).map(|(t, _)| t);
        if known.is_some_and(|t| t.count >= tally.count) {
            return;
        }
        let grown: Vec<RouteTally> = tally.routes.iter().map(|r| growth_since(known, r)).collect();
        let interval = current_interval(self.intervals.entry(tally.epoch).or_default(), now);
        grown.iter().for_each(|r| interval.add(r));
        if !gossiped {
            self.unsent.retain(|t| (t.epoch, t.ip, t.life) != key);
            self.unsent.push(tally.clone());
        }
        self.latest.insert(key, (tally, now));
    }

    /// Tallies to send to the other registries.
    pub fn take_unsent(&mut self) -> Vec<Tally> {
        std::mem::take(&mut self.unsent)
    }

    /// Forgets the tallies of rollouts that have ended.
    pub fn retain_running(&mut self, rollouts: &Rollouts) {
        let runs = |epoch: Rev| rollouts.running().any(|r| r.epoch == epoch);
        self.latest.retain(|(epoch, ..), _| runs(*epoch));
        self.intervals.retain(|epoch, _| runs(*epoch));
        self.unsent.retain(|t| runs(t.epoch));
    }

    /// What was counted of a rollout, the oldest interval first.
    pub(super) fn intervals(&self, epoch: Rev) -> &[Interval] {
        self.intervals.get(&epoch).map_or(&[], Vec::as_slice)
    }

    /// The intervals of a rollout that began at that time or later.
    pub(super) fn since(&self, epoch: Rev, from: Micros) -> impl Iterator<Item = &Interval> {
        self.intervals(epoch).iter().filter(move |i| i.number * INTERVAL_US >= from)
    }

    /// Whether any proxy has reported on a rollout.
    pub(super) fn has_reports(&self, epoch: Rev) -> bool {
        self.intervals.contains_key(&epoch)
    }

    /// Whether this proxy has reported on a rollout since `from`.
    pub(super) fn proxy_has_reported(&self, epoch: Rev, ip: Ipv4Addr, from: Micros) -> bool {
        self.recent(epoch, ip, from).next().is_some()
    }

    /// Whether this proxy has applied the current stage and has no requests in flight at old servers, in each of its
    /// lives that reported since `from`.
    pub(super) fn has_left_old_servers(&self, rollout: &Rollout, ip: Ipv4Addr, from: Micros) -> bool {
        self.has_applied_stage(rollout, ip, from)
            && self.recent(rollout.epoch, ip, from).all(|t| t.old_out == 0)
    }

    /// Whether this proxy has reported since `from`, and has applied the current stage in each of its lives that did.
    /// It may still have requests in flight at old servers.
    pub(super) fn has_applied_stage(&self, rollout: &Rollout, ip: Ipv4Addr, from: Micros) -> bool {
        let mut recent = self.recent(rollout.epoch, ip, from).peekable();
        recent.peek().is_some() && recent.all(|t| t.rev >= rollout.stage_rev)
    }

    fn recent(&self, epoch: Rev, ip: Ipv4Addr, from: Micros) -> impl Iterator<Item = &Tally> {
        let lives = self.latest.range((epoch, ip, 0)..=(epoch, ip, u64::MAX)).map(|(_, heard)| heard);
        lives.filter(move |(_, at)| *at >= from).map(|(tally, _)| tally)
    }
}

/// The interval for now, a new one if needed. If that makes too many, the two oldest are merged.
fn current_interval(intervals: &mut Vec<Interval>, now: Micros) -> &mut Interval {
    let number = now / INTERVAL_US;
    if intervals.last().is_none_or(|i| i.number < number) {
        intervals.push(Interval { number, routes: BTreeMap::new() });
    }
    if intervals.len() > MAX_INTERVALS {
        let oldest = intervals.remove(0);
        oldest.routes.values().for_each(|r| intervals[0].add(r));
    }
    let last = intervals.len() - 1;
    &mut intervals[last]
}

/// What was counted on a route since the previous tally of the same life.
fn growth_since(known: Option<&Tally>, tally: &RouteTally) -> RouteTally {
    let before = known.and_then(|t| t.routes.iter().find(|r| r.route == tally.route));
    let Some(before) = before else { return tally.clone() };
    RouteTally {
        route: tally.route,
        old: answers_growth(&tally.old, &before.old),
        new: answers_growth(&tally.new, &before.new),
    }
}

fn answers_growth(now: &Answers, before: &Answers) -> Answers {
    let times = now.times.iter().enumerate();
    let times = times.map(|(n, t)| t.saturating_sub(before.times.get(n).copied().unwrap_or(0)));
    Answers {
        ended: now.ended.saturating_sub(before.ended),
        failed: now.failed.saturating_sub(before.failed),
        times: times.collect(),
    }
}
