//! Rollouts at the registry: what proxies have counted of the two versions, and what follows from it. No I/O, no clock.
//!
//! Every registry gathers the tallies; the one beside the leader decides. How sure a decision is, and how that was measured:
//! docs/system/rollouts.md.

mod evidence;
mod tallies;

use evidence::{Evidence, Finding};
use rack::Micros;
use rack::rollout::{Rollout, Stage};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
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
const COMPLETE_PART: f64 = 0.90;

/// Answers of the new version without which a trial says nothing: over all routes, and on a route that is much used.
const MIN_ANSWERS: u32 = 50;
const MIN_ROUTE_ANSWERS: u32 = 15;
const MUCH_USED: u32 = 200;
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
        let doubt = match (Evidence { intervals, looks }).finding() {
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
            Stage::Partial if partial_is_over(age, stage_age) && doubt.is_none() => {
                Step::to(Stage::Whole, "the new version does as well under more load")
            }
            Stage::Partial if stage_age >= PARTIAL_MOST_PART => {
                let why = doubt.unwrap_or_default();
                Step::to(Stage::Reverted, format!("no verdict in time: {why}"))
            }
            Stage::Whole => self.completes(rollout, age),
            _ => None,
        }
    }

    /// A verdict needs proxies that tell, and answers of the new version on each route that is much used.
    fn shows_enough(&self, rollout: &Rollout, age: f64) -> bool {
        let recent = |at: Micros| self.now <= at + TALLY_INTERVALS * self.tally_us;
        if !self.tallies.heard_at(rollout.epoch).is_some_and(recent) {
            return self.proxies.is_empty();
        }
        let mut ended: BTreeMap<u32, (u32, u32)> = BTreeMap::new();
        let mut warm: BTreeMap<u32, u32> = BTreeMap::new();
        for tally in self.tallies.intervals(rollout.epoch).iter().flat_map(|i| i.routes.values()) {
            let (old, new) = ended.entry(tally.route).or_default();
            *old += tally.old.ended;
            *new += tally.new.ended;
            *warm.entry(tally.route).or_default() += tally.new.times.iter().sum::<u32>();
        }
        let (old, new) = ended.values().fold((0, 0), |(old, new), (o, n)| (old + o, new + n));
        let each = |(old, new): &(u32, u32)| *old < MUCH_USED || *new >= MIN_ROUTE_ANSWERS;
        let unused = old + new < MIN_ANSWERS;
        let timed = age >= WARM_PART || warm.values().any(|n| *n >= MIN_WARM);
        unused || (new >= MIN_ANSWERS && timed && ended.values().all(each))
    }

    fn completes(&self, rollout: &Rollout, age: f64) -> Option<Step> {
        let from = self.now.saturating_sub(TALLY_INTERVALS * self.tally_us);
        if self.proxies.iter().all(|ip| self.tallies.has_left(rollout, *ip, from)) {
            return Step::to(Stage::Completed, "nothing goes to the old servers any more");
        }
        let stage_age_us = rollout.stage_age_us(self.now);
        let taken_up = || self.proxies.iter().all(|ip| self.tallies.has_taken_up(rollout, *ip, from));
        let left = stage_age_us > self.settle_us || (stage_age_us > self.settle_us / 2 && taken_up());
        if (age >= COMPLETE_PART && left) || stage_age_us > 2 * self.settle_us {
            return Step::to(Stage::Completed, "every proxy in touch has left the old servers");
        }
        None
    }
}

/// Ages as parts of the term.
fn partial_is_over(age: f64, stage_age: f64) -> bool {
    stage_age >= PARTIAL_PART || (age >= LATE_PART && stage_age >= PARTIAL_LEAST_PART)
}
