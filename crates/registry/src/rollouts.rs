//! Rollouts at the registry: what proxies have counted of the two versions, and what follows from it. No I/O, no clock.
//!
//! Every registry gathers the tallies; the one beside the leader decides. How sure a decision is, and how that was measured:
//! docs/system/rollouts.md.

mod evidence;
mod summary;
mod tallies;

use cluster::Micros;
use cluster::rollout::{Rollout, Stage};
use evidence::{Evidence, Finding};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
pub use summary::{Summary, TimeRange};
pub use tallies::Tallies;

/// A tally counts as current for so many intervals between two of them.
const TALLY_INTERVALS: Micros = 6;

/// When the stages of a rollout end at the earliest, as parts of its term. A version may turn bad some seconds after its
/// start, so a trial lasts as long as its share of the requests and the later stages leave time for.
const TRIAL_PART: f64 = 0.45;
const PARTIAL_PART: f64 = 0.16;
/// A version is at the partial stage no longer than this: if it is bad, that is what it may cost.
const PARTIAL_MOST_PART: f64 = 0.20;
/// Where a trial took longer, as after a change of the leader, the partial stage ends from here on if it had its least part.
const LATE_PART: f64 = 0.68;
const PARTIAL_LEAST_PART: f64 = 0.08;
/// A trial that has not shown enough by then is reverted, so that it is over by the term.
const REVERT_PART: f64 = 0.85;
/// From then on a rollout that is whole waits for the old servers to be idle only as long as proxies take to leave them.
const COMPLETE_PART: f64 = 0.85;

/// Answers of the new version without which a trial says nothing: over all routes, and on a route that is much used; and
/// without which the partial stage says nothing.
const MIN_ANSWERS: u32 = 20;
const MIN_ROUTE_ANSWERS: u32 = 15;
const MUCH_USED: u32 = 200;
const MIN_PARTIAL_ANSWERS: u32 = 10;
/// A version goes on only while at least one proxy in so many tells what it counts.
const TELLING_ONE_IN: usize = 4;
/// Once the new version serves alone there is nothing beside it, and what troubles all looks like a fault of it: so much more
/// is borne then.
const WHOLE_TOLERANCE: f64 = 0.2;
/// As long as this many answers of a version's warm servers are missing on the busiest route, its times are not known; a
/// trial waits for them until this part of its term.
const MIN_WARM: u32 = 150;
const WARM_PART: f64 = 0.50;

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
        let term_us = f64::from(rollout.order.term_ms) * 1000.0;
        let intervals = self.tallies.intervals(rollout.epoch);
        let looks = term_us / self.tally_us.max(1) as f64;
        let extra_tolerance = if rollout.stage == Stage::Whole { WHOLE_TOLERANCE } else { 0.0 };
        let doubt = match (Evidence { intervals, looks, extra_tolerance }).finding() {
            Finding::Bad(reason) => return Step::to(Stage::Reverted, reason),
            Finding::Doubtful(reason) => Some(reason),
            Finding::Nothing => None,
        };
        let part_of_term = |age_us: Micros| age_us as f64 / term_us;
        let age = part_of_term(rollout.age_us(self.now));
        let stage_age = part_of_term(rollout.stage_age_us(self.now));
        match rollout.stage {
            Stage::Trial if age >= TRIAL_PART && doubt.is_none() && self.shows_enough(rollout, age) => {
                Step::to(Stage::Partial, "the new version does as well as the old one")
            }
            Stage::Trial if age >= REVERT_PART => {
                let why = doubt.unwrap_or_else(|| "too little was seen of the new version".to_string());
                Step::to(Stage::Reverted, format!("no verdict in time: {why}"))
            }
            Stage::Partial
                if partial_is_over(age, stage_age) && doubt.is_none() && self.shows_partial(rollout) =>
            {
                Step::to(Stage::Whole, "the new version does as well under more load")
            }
            Stage::Partial if stage_age >= PARTIAL_MOST_PART => {
                let why = doubt.unwrap_or_else(|| "too little was seen of the new version".to_string());
                Step::to(Stage::Reverted, format!("no verdict in time: {why}"))
            }
            Stage::Whole => self.completes(rollout, age),
            _ => None,
        }
    }

    /// From then on a tally counts as current.
    fn current_from(&self) -> Micros {
        self.now.saturating_sub(TALLY_INTERVALS * self.tally_us)
    }

    fn tells(&self, rollout: &Rollout, ip: Ipv4Addr) -> bool {
        self.tallies.is_heard(rollout.epoch, ip, self.current_from())
    }

    fn enough_tell(&self, rollout: &Rollout) -> bool {
        let telling = self.proxies.iter().filter(|ip| self.tells(rollout, **ip)).count();
        telling > 0 && telling * TELLING_ONE_IN >= self.proxies.len()
    }

    /// A verdict needs proxies that tell, and answers of the new version on each route that is much used.
    fn shows_enough(&self, rollout: &Rollout, age: f64) -> bool {
        let mut ended: BTreeMap<u32, (u32, u32)> = BTreeMap::new();
        let mut warm: BTreeMap<u32, u32> = BTreeMap::new();
        for tally in self.tallies.intervals(rollout.epoch).iter().flat_map(|i| i.routes.values()) {
            let (old, new) = ended.entry(tally.route).or_default();
            *old += tally.old.ended;
            *new += tally.new.ended;
            *warm.entry(tally.route).or_default() += tally.new.times.iter().sum::<u32>();
        }
        let new: u32 = ended.values().map(|(_, new)| new).sum();
        let each = |(old, new): &(u32, u32)| *old < MUCH_USED || *new >= MIN_ROUTE_ANSWERS;
        let timed = age >= WARM_PART || warm.values().any(|n| *n >= MIN_WARM);
        self.enough_tell(rollout) && new >= MIN_ANSWERS && timed && ended.values().all(each)
    }

    /// The next stage needs answers that were counted at the partial one.
    fn shows_partial(&self, rollout: &Rollout) -> bool {
        let since = self.now.saturating_sub(rollout.stage_age_us(self.now));
        let new = self.tallies.since(rollout.epoch, since).flat_map(|i| i.routes.values());
        let new: u32 = new.map(|r| r.new.ended).sum();
        self.enough_tell(rollout) && new >= MIN_PARTIAL_ANSWERS
    }

    /// Proxies that are silent are waited for as long as those in touch may take; those that have something out at the old
    /// servers until the term is near.
    fn completes(&self, rollout: &Rollout, age: f64) -> Option<Step> {
        let from = self.current_from();
        let stage_age_us = rollout.stage_age_us(self.now);
        let given_up = |ip: Ipv4Addr| stage_age_us > self.settle_us && !self.tells(rollout, ip);
        let left = |ip: &Ipv4Addr| self.tallies.has_left(rollout, *ip, from) || given_up(*ip);
        if !self.proxies.is_empty() && self.proxies.iter().all(left) {
            return Step::to(Stage::Completed, "nothing goes to the old servers any more");
        }
        let taken_up = || self.proxies.iter().all(|ip| self.tallies.has_taken_up(rollout, *ip, from));
        let settled = stage_age_us > self.settle_us || (stage_age_us > self.settle_us / 2 && taken_up());
        if age >= COMPLETE_PART && settled {
            return Step::to(Stage::Completed, "every proxy in touch has left the old servers");
        }
        None
    }
}

/// Ages as parts of the term.
fn partial_is_over(age: f64, stage_age: f64) -> bool {
    stage_age >= PARTIAL_PART || (age >= LATE_PART && stage_age >= PARTIAL_LEAST_PART)
}
