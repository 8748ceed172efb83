//! What proxies have counted of running rollouts, as it came in.

use cluster::rollout::{Answers, Rollout, Rollouts, RouteTally, Tally};
use cluster::{Micros, Rev};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// What comes in within so long is kept as one interval.
const INTERVAL_US: Micros = 250_000;
/// Intervals that are kept apart; what is older is kept as one.
const INTERVALS: usize = 64;

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

/// The last tally of each life of a proxy, for each rollout, and how the sum of all of them came about.
#[derive(Default)]
pub struct Tallies {
    heard: BTreeMap<(Rev, Ipv4Addr, u64), (Tally, Micros)>,
    /// By epoch, the oldest interval first. What a proxy counted stays when it ends.
    intervals: BTreeMap<Rev, Vec<Interval>>,
    /// Those that the other registries have not been told of.
    untold: Vec<Tally>,
}

impl Tallies {
    /// `told`: by another registry, so all of them have it.
    pub fn take(&mut self, now: Micros, tally: Tally, told: bool) {
        let key = (tally.epoch, tally.ip, tally.life);
        let known = self.heard.get(&key).map(|(t, _)| t);
        if known.is_some_and(|t| t.count >= tally.count) {
            return;
        }
        let grown: Vec<RouteTally> = tally.routes.iter().map(|r| since(known, r)).collect();
        let interval = current(self.intervals.entry(tally.epoch).or_default(), now);
        grown.iter().for_each(|r| interval.add(r));
        if !told {
            self.untold.retain(|t| (t.epoch, t.ip, t.life) != key);
            self.untold.push(tally.clone());
        }
        self.heard.insert(key, (tally, now));
    }

    /// What is to be told to the other registries.
    pub fn news(&mut self) -> Vec<Tally> {
        std::mem::take(&mut self.untold)
    }

    /// Forgets those of rollouts that have ended.
    pub fn keep(&mut self, rollouts: &Rollouts) {
        let runs = |epoch: Rev| rollouts.running().any(|r| r.epoch == epoch);
        self.heard.retain(|(epoch, ..), _| runs(*epoch));
        self.intervals.retain(|epoch, _| runs(*epoch));
        self.untold.retain(|t| runs(t.epoch));
    }

    /// What was counted of a rollout, the oldest interval first.
    pub(super) fn intervals(&self, epoch: Rev) -> &[Interval] {
        self.intervals.get(&epoch).map_or(&[], Vec::as_slice)
    }

    /// The intervals of a rollout that began at that time or later.
    pub(super) fn since(&self, epoch: Rev, from: Micros) -> impl Iterator<Item = &Interval> {
        self.intervals(epoch).iter().filter(move |i| i.number * INTERVAL_US >= from)
    }

    /// Whether any proxy has told of a rollout.
    pub(super) fn knows(&self, epoch: Rev) -> bool {
        self.intervals.contains_key(&epoch)
    }

    /// Whether this proxy has told of a rollout since then.
    pub(super) fn is_heard(&self, epoch: Rev, ip: Ipv4Addr, from: Micros) -> bool {
        self.recent(epoch, ip, from).next().is_some()
    }

    /// Whether this proxy has taken up the stage and has nothing out at the old servers any more, in any of its lives that
    /// was heard of since `from`.
    pub(super) fn has_left(&self, rollout: &Rollout, ip: Ipv4Addr, from: Micros) -> bool {
        self.has_taken_up(rollout, ip, from) && self.recent(rollout.epoch, ip, from).all(|t| t.old_out == 0)
    }

    /// Likewise, whatever it has out.
    pub(super) fn has_taken_up(&self, rollout: &Rollout, ip: Ipv4Addr, from: Micros) -> bool {
        let mut recent = self.recent(rollout.epoch, ip, from).peekable();
        recent.peek().is_some() && recent.all(|t| t.rev >= rollout.stage_rev)
    }

    fn recent(&self, epoch: Rev, ip: Ipv4Addr, from: Micros) -> impl Iterator<Item = &Tally> {
        let lives = self.heard.range((epoch, ip, 0)..=(epoch, ip, u64::MAX)).map(|(_, heard)| heard);
        lives.filter(move |(_, at)| *at >= from).map(|(tally, _)| tally)
    }
}

/// The interval that it is now. Where it is a new one too many, the two oldest become one.
fn current(intervals: &mut Vec<Interval>, now: Micros) -> &mut Interval {
    let number = now / INTERVAL_US;
    if intervals.last().is_none_or(|i| i.number < number) {
        intervals.push(Interval { number, routes: BTreeMap::new() });
    }
    if intervals.len() > INTERVALS {
        let oldest = intervals.remove(0);
        oldest.routes.values().for_each(|r| intervals[0].add(r));
    }
    let last = intervals.len() - 1;
    &mut intervals[last]
}

/// What came on a route since the tally before of the same life.
fn since(known: Option<&Tally>, tally: &RouteTally) -> RouteTally {
    let before = known.and_then(|t| t.routes.iter().find(|r| r.route == tally.route));
    let Some(before) = before else { return tally.clone() };
    RouteTally {
        route: tally.route,
        old: grown(&tally.old, &before.old),
        new: grown(&tally.new, &before.new),
    }
}

fn grown(now: &Answers, before: &Answers) -> Answers {
    let times = now.times.iter().enumerate();
    let times = times.map(|(n, t)| t.saturating_sub(before.times.get(n).copied().unwrap_or(0)));
    Answers {
        ended: now.ended.saturating_sub(before.ended),
        failed: now.failed.saturating_sub(before.failed),
        times: times.collect(),
    }
}
