//! Rollouts at the registry: what proxies have counted of the two versions, and what follows from it. No I/O, no clock.
//!
//! Every registry gathers the tallies; the one beside the leader decides. How sure a decision is, and how that was measured:
//! docs/system/rollouts.md.

use rack::rollout::{Answers, Rollout, Rollouts, RouteTally, Stage, TIME_BUCKETS, Tally, time_bucket};
use rack::{Micros, Rev};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A tally counts as current for so many intervals between two of them.
const TALLY_INTERVALS: Micros = 6;

/// When the stages of a rollout end at the earliest, as parts of its term. A version may turn bad some seconds after its
/// start, so a trial lasts as long as its share of the requests and the later stages leave time for.
const TRIAL_PART: f64 = 0.45;
const PARTIAL_PART: f64 = 0.08;
/// A trial that has not shown enough by then is reverted, so that it is over by the term.
const REVERT_PART: f64 = 0.85;
/// From then on a rollout that is whole no longer waits for the old servers to be idle.
const COMPLETE_PART: f64 = 0.93;

/// Answers of the new version without which a trial says nothing: over all routes, and on a route that is much used.
const MIN_ANSWERS: u32 = 50;
const MIN_ROUTE_ANSWERS: u32 = 15;
const MUCH_USED: u32 = 200;

/// A share of the new version's answers is worse than that of the old by more than chance, by so many standard deviations:
/// enough to revert, and enough to wait with the next stage. Both are looked at several times a second.
const REVERT_DEVIATIONS: f64 = 3.5;
const DOUBT_DEVIATIONS: f64 = 2.0;
/// Differences that are borne: of failures, and of slow answers, as servers of one version differ in speed.
const FAILED_TOLERANCE: f64 = 0.03;
const SLOW_TOLERANCE: f64 = 0.10;
/// The part of the old version's answers that take longest; answers are slow that take longer than those by so many buckets.
const SLOW_PART: f64 = 0.05;
const SLOW_BUCKETS: usize = 2;
/// Fewer bad answers than this are no reason to revert; fewer answers than this say nothing of times.
const MIN_BAD: u32 = 6;
const MIN_TIMES: u32 = 40;

/// The last tally of each proxy, for each rollout.
#[derive(Default)]
pub struct Tallies {
    heard: BTreeMap<(Rev, Ipv4Addr), (Tally, Micros)>,
    /// Those that the other registries have not been told of.
    untold: Vec<Tally>,
}

impl Tallies {
    /// `told`: by another registry, so all of them have it.
    pub fn take(&mut self, now: Micros, tally: Tally, told: bool) {
        let key = (tally.epoch, tally.ip);
        let known = self.heard.get(&key).map(|(t, _)| t);
        if known.is_some_and(|t| t.life == tally.life && t.count >= tally.count) {
            return;
        }
        if !told {
            self.untold.retain(|t| (t.epoch, t.ip) != key);
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
        self.heard.retain(|(epoch, _), _| runs(*epoch));
        self.untold.retain(|t| runs(t.epoch));
    }

    fn of(&self, epoch: Rev) -> impl Iterator<Item = &(Tally, Micros)> {
        self.heard.range((epoch, Ipv4Addr::UNSPECIFIED)..=(epoch, Ipv4Addr::BROADCAST)).map(|(_, t)| t)
    }

    /// All that was counted of a rollout, by route.
    fn sum(&self, epoch: Rev) -> Vec<RouteTally> {
        let mut routes: BTreeMap<u32, RouteTally> = BTreeMap::new();
        for tally in self.of(epoch).flat_map(|(t, _)| &t.routes) {
            let none = || RouteTally { route: tally.route, old: Answers::default(), new: Answers::default() };
            let sum = routes.entry(tally.route).or_insert_with(none);
            sum.old.add(&tally.old);
            sum.new.add(&tally.new);
        }
        routes.into_values().collect()
    }

    /// Whether this proxy has taken up the stage and has nothing out at the old servers any more.
    fn has_left(&self, rollout: &Rollout, ip: Ipv4Addr) -> bool {
        let heard = self.heard.get(&(rollout.epoch, ip));
        heard.is_some_and(|(t, _)| t.rev >= rollout.stage_rev && t.old_out == 0)
    }
}

/// What a rollout is judged beside.
pub struct Ground<'a> {
    pub now: Micros,
    pub tallies: &'a Tallies,
    /// The proxies that serve.
    pub proxies: &'a [Ipv4Addr],
    /// Between two tallies of a proxy.
    pub tally_us: Micros,
    /// Within so long every proxy in touch has taken up what was agreed.
    pub settle_us: Micros,
}

/// A step of a rollout, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    pub to: Stage,
    pub reason: String,
}

impl Step {
    fn to(to: Stage, reason: impl Into<String>) -> Option<Step> {
        Some(Step { to, reason: reason.into() })
    }
}

impl Ground<'_> {
    /// What is to become of a running rollout now, if anything.
    pub fn step(&self, rollout: &Rollout) -> Option<Step> {
        let routes = self.tallies.sum(rollout.epoch);
        if let Some(reason) = fault(&routes, REVERT_DEVIATIONS) {
            return Step::to(Stage::Reverted, reason);
        }
        let doubt = fault(&routes, DOUBT_DEVIATIONS);
        let term_us = f64::from(rollout.order.term_ms) * 1000.0;
        let part_of_term = |age_us: Micros| age_us as f64 / term_us;
        let age = part_of_term(rollout.age_us(self.now));
        let stage_age = part_of_term(rollout.stage_age_us(self.now));
        match rollout.stage {
            Stage::Trial if age >= TRIAL_PART && doubt.is_none() && self.shows_enough(rollout, &routes) => {
                Step::to(Stage::Partial, "the new version does as well as the old one")
            }
            Stage::Trial if age >= REVERT_PART => {
                let why = doubt.unwrap_or_else(|| "too little was seen of the new version".to_string());
                Step::to(Stage::Reverted, format!("no verdict in time: {why}"))
            }
            Stage::Partial if stage_age >= PARTIAL_PART && doubt.is_none() => {
                Step::to(Stage::Whole, "the new version does as well under its full load")
            }
            Stage::Partial if age >= REVERT_PART => {
                let why = doubt.unwrap_or_default();
                Step::to(Stage::Reverted, format!("no verdict in time: {why}"))
            }
            Stage::Whole => self.completes(rollout, age),
            _ => None,
        }
    }

    /// A verdict needs proxies that tell, and answers of the new version on each route that is much used.
    fn shows_enough(&self, rollout: &Rollout, routes: &[RouteTally]) -> bool {
        let recent = |at: Micros| self.now <= at + TALLY_INTERVALS * self.tally_us;
        if !self.tallies.of(rollout.epoch).any(|(_, heard_at)| recent(*heard_at)) {
            return self.proxies.is_empty();
        }
        let new: u32 = routes.iter().map(|r| r.new.ended).sum();
        let old: u32 = routes.iter().map(|r| r.old.ended).sum();
        let each = |r: &RouteTally| r.old.ended < MUCH_USED || r.new.ended >= MIN_ROUTE_ANSWERS;
        let unused = old + new < MIN_ANSWERS;
        unused || (new >= MIN_ANSWERS && routes.iter().all(each))
    }

    fn completes(&self, rollout: &Rollout, age: f64) -> Option<Step> {
        let left = self.proxies.iter().all(|ip| self.tallies.has_left(rollout, *ip));
        if left {
            return Step::to(Stage::Completed, "nothing goes to the old servers any more");
        }
        let settled = rollout.stage_age_us(self.now) > 2 * self.settle_us;
        if age >= COMPLETE_PART || settled {
            return Step::to(Stage::Completed, "every proxy in touch has left the old servers");
        }
        None
    }
}

/// What speaks against the new version, on one route or over all of them.
fn fault(routes: &[RouteTally], deviations: f64) -> Option<String> {
    let mut all = RouteTally { route: 0, old: Answers::default(), new: Answers::default() };
    for r in routes {
        all.old.add(&r.old);
        all.new.add(&r.new);
    }
    // Times of several routes are not alike, so these are compared route by route alone.
    failing(&all, deviations)
        .or_else(|| routes.iter().find_map(|r| failing(r, deviations).or_else(|| slow(r, deviations))))
}

fn failing(r: &RouteTally, deviations: f64) -> Option<String> {
    let (new, old) = (Share::of(r.new.failed, r.new.ended), Share::of(r.old.failed, r.old.ended));
    let worse = r.new.failed >= MIN_BAD && new.exceeds(old, FAILED_TOLERANCE, deviations);
    worse.then(|| {
        format!("{} of {} answers failed, before {} of {}", new.part, new.whole, old.part, old.whole)
    })
}

fn slow(r: &RouteTally, deviations: f64) -> Option<String> {
    let (new, old) = (&r.new.times, &r.old.times);
    let whole = |times: &[u32]| times.iter().sum::<u32>();
    if whole(old) < MIN_TIMES || whole(new) == 0 {
        return None;
    }
    // From this bucket on an answer is among the slowest of the old version.
    let most = (f64::from(whole(old)) * SLOW_PART) as u32;
    let mut beyond = 0;
    let from = (0..old.len()).rev().find(|n| {
        beyond += old[*n];
        beyond > most
    });
    let from = from.map_or(0, |n| n + 1 + SLOW_BUCKETS);
    let slow = |times: &[u32]| Share::of(times.iter().skip(from).sum(), whole(times));
    let (new, old) = (slow(new), slow(old));
    let worse = new.part >= MIN_BAD && new.exceeds(old, SLOW_TOLERANCE, deviations);
    worse.then(|| {
        format!("{} of {} answers were slow, before {} of {}", new.part, new.whole, old.part, old.whole)
    })
}

/// A part of a whole, counted.
#[derive(Clone, Copy)]
struct Share {
    part: u32,
    whole: u32,
}

impl Share {
    fn of(part: u32, whole: u32) -> Share {
        Share { part, whole }
    }

    /// Whether this one is larger than another by more than `tolerance`, and by so many standard deviations more than
    /// chance would make it (two proportions, each smoothed by a half so that none of few is not taken for never).
    fn exceeds(self, other: Share, tolerance: f64, deviations: f64) -> bool {
        let rate = |s: Share| (f64::from(s.part) + 0.5) / (f64::from(s.whole) + 1.0);
        let variance = |s: Share| rate(s) * (1.0 - rate(s)) / (f64::from(s.whole) + 1.0);
        let expected = if other.whole == 0 { 0.0 } else { rate(other) };
        let spread = (variance(self) + if other.whole == 0 { 0.0 } else { variance(other) }).sqrt();
        self.whole > 0 && rate(self) - expected - tolerance > deviations * spread
    }
}

/// A time that is in the last bucket.
const MAX_TIME_US: Micros = 1 << 40;

/// What was counted of one side of a rollout, over all routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// All that ended with an answer or with a failure of the server's, and of those the failures.
    pub ended: u32,
    pub failed: u32,
    pub median: Option<TimeRange>,
    pub percentile_95: Option<TimeRange>,
}

/// A bucket of times, in microseconds: the least that belongs to it, and the least above it. The last has no bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeRange {
    pub from_us: Micros,
    pub below_us: Option<Micros>,
}

impl Tallies {
    /// What proxies have told here of the old and of the new version; None before any has. For views alone.
    pub fn summary(&self, epoch: Rev) -> Option<(Summary, Summary)> {
        self.of(epoch).next()?;
        let (mut old, mut new) = (Answers::default(), Answers::default());
        for route in self.sum(epoch) {
            old.add(&route.old);
            new.add(&route.new);
        }
        Some((Summary::of(&old), Summary::of(&new)))
    }
}

impl Summary {
    fn of(answers: &Answers) -> Summary {
        Summary {
            ended: answers.ended,
            failed: answers.failed,
            median: percentile(&answers.times, 50),
            percentile_95: percentile(&answers.times, 95),
        }
    }
}

/// The bucket below whose end so many in a hundred of the times lie.
fn percentile(times: &[u32], per_cent: u64) -> Option<TimeRange> {
    let all: u64 = times.iter().map(|n| u64::from(*n)).sum();
    let mut up_to = 0;
    let bucket = times.iter().position(|n| {
        up_to += u64::from(*n);
        all > 0 && up_to * 100 >= all * per_cent
    })?;
    let below_us = (bucket + 1 < TIME_BUCKETS).then(|| bucket_start_us(bucket + 1));
    Some(TimeRange { from_us: bucket_start_us(bucket), below_us })
}

/// The least time that belongs to a bucket, by bisection, so that [`time_bucket`] alone says where buckets begin.
fn bucket_start_us(bucket: usize) -> Micros {
    let (mut low, mut high) = (0, MAX_TIME_US);
    while low < high {
        let middle = low + (high - low) / 2;
        match time_bucket(middle) < bucket {
            true => low = middle + 1,
            false => high = middle,
        }
    }
    low
}
