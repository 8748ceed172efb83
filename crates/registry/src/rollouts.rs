//! Evaluation of rollouts: what proxies have counted of the old and the new version, and the next step that follows.
//! No I/O, no clock.
//!
//! Every registry gathers the tallies; the one on the leader's machine decides. docs/system/rollouts.md has the error
//! rates of the decision and how they were measured.

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

/// A tally is current for this many tally intervals.
const TALLY_INTERVALS: Micros = 6;

/// The earliest and latest ends of a rollout's stages, as parts of its term. A version may turn bad some seconds
/// after its start, so the trial lasts as long as its share of the requests and the time for the later stages allow.
const TRIAL_END: f64 = 0.45;
const PARTIAL_DURATION: f64 = 0.16;
/// The longest partial stage; this limits the exposure to a bad version.
const PARTIAL_MAX_DURATION: f64 = 0.20;
/// After a long trial, for example one with a change of leader, the partial stage may end from this part of the term
/// on if it has had its minimum duration.
const LATE_PARTIAL_END: f64 = 0.68;
const PARTIAL_MIN_DURATION: f64 = 0.08;
/// A trial without enough evidence by then is reverted, so that the rollout is over within its term.
const TRIAL_DEADLINE: f64 = 0.85;
/// From then on, a rollout that is whole no longer waits for the old servers to be idle, but only for proxies to stop
/// sending to them.
const COMPLETE_FROM: f64 = 0.85;

/// The fewest answers of the new version that a verdict on the trial needs, over all routes and on each busy route,
/// and the fewest that a verdict on the partial stage needs. A route is busy from `BUSY_ROUTE_ANSWERS` answers of the
/// old version on.
const MIN_ANSWERS: u32 = 20;
const MIN_ROUTE_ANSWERS: u32 = 15;
const BUSY_ROUTE_ANSWERS: u32 = 200;
const MIN_PARTIAL_ANSWERS: u32 = 10;
/// A version advances only while at least one in this many proxies reports current tallies.
const REPORTING_ONE_IN: usize = 4;
/// Extra tolerance for the whole stage: there is no old version to compare with any more, so a problem of all servers
/// looks like a fault of the new version.
const WHOLE_TOLERANCE: f64 = 0.2;
/// With fewer timed answers of the new version's warm servers on the busiest route, its response times are unknown; a
/// trial waits for them until `WARM_WAIT_END`, a part of its term.
const MIN_WARM_ANSWERS: u32 = 150;
const WARM_WAIT_END: f64 = 0.50;

/// What the evaluation of a rollout is based on.
pub struct Evaluation<'a> {
    pub now: Micros,
    pub tallies: &'a Tallies,
    /// The proxies that serve.
    pub proxies: &'a [Ipv4Addr],
    /// The interval between two tallies of a proxy.
    pub tally_us: Micros,
    /// Every reachable proxy has applied a committed change within this time.
    pub propagation_us: Micros,
}

/// A change of a rollout's stage, and the reason for it.
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

impl Evaluation<'_> {
    /// The next step of a running rollout, if one is due.
    pub fn step(&self, rollout: &Rollout) -> Option<Step> {
        let term_us = f64::from(rollout.order.term_ms) * 1000.0;
        let intervals = self.tallies.intervals(rollout.epoch);
        let evaluations = term_us / self.tally_us.max(1) as f64;
        let extra_tolerance = if rollout.stage == Stage::Whole { WHOLE_TOLERANCE } else { 0.0 };
        let doubt = match (Evidence { intervals, evaluations, extra_tolerance }).finding() {
            Finding::Bad(reason) => return Step::to(Stage::Reverted, reason),
            Finding::Doubtful(reason) => Some(reason),
            Finding::Nothing => None,
        };
        let part_of_term = |age_us: Micros| age_us as f64 / term_us;
        let age = part_of_term(rollout.age_us(self.now));
        let stage_age = part_of_term(rollout.stage_age_us(self.now));
        match rollout.stage {
            Stage::Trial
                if age >= TRIAL_END && doubt.is_none() && self.trial_has_enough_data(rollout, age) =>
            {
                Step::to(Stage::Partial, "the new version does as well as the old one")
            }
            Stage::Trial if age >= TRIAL_DEADLINE => {
                let why = doubt.unwrap_or_else(|| "too little was seen of the new version".to_string());
                Step::to(Stage::Reverted, format!("no verdict in time: {why}"))
            }
            Stage::Partial
                if partial_is_over(age, stage_age)
                    && doubt.is_none()
                    && self.partial_has_enough_data(rollout) =>
            {
                Step::to(Stage::Whole, "the new version does as well under more load")
            }
            Stage::Partial if stage_age >= PARTIAL_MAX_DURATION => {
                let why = doubt.unwrap_or_else(|| "too little was seen of the new version".to_string());
                Step::to(Stage::Reverted, format!("no verdict in time: {why}"))
            }
            Stage::Whole => self.completion_step(rollout, age),
            _ => None,
        }
    }

    /// Tallies received from then on are current.
    fn current_from(&self) -> Micros {
        self.now.saturating_sub(TALLY_INTERVALS * self.tally_us)
    }

    fn is_reporting(&self, rollout: &Rollout, ip: Ipv4Addr) -> bool {
        self.tallies.proxy_has_reported(rollout.epoch, ip, self.current_from())
    }

    fn enough_report(&self, rollout: &Rollout) -> bool {
        let reporting = self.proxies.iter().filter(|ip| self.is_reporting(rollout, **ip)).count();
        reporting > 0 && reporting * REPORTING_ONE_IN >= self.proxies.len()
    }

    /// A verdict on the trial needs proxies that report, answers of the new version on each busy route, and known
    /// response times.
    fn trial_has_enough_data(&self, rollout: &Rollout, age: f64) -> bool {
        let mut ended: BTreeMap<u32, (u32, u32)> = BTreeMap::new();
        let mut warm: BTreeMap<u32, u32> = BTreeMap::new();
        for tally in self.tallies.intervals(rollout.epoch).iter().flat_map(|i| i.routes.values()) {
            let (old, new) = ended.entry(tally.route).or_default();
            *old += tally.old.ended;
            *new += tally.new.ended;
            *warm.entry(tally.route).or_default() += tally.new.times.iter().sum::<u32>();
        }
        let new: u32 = ended.values().map(|(_, new)| new).sum();
        let each = |(old, new): &(u32, u32)| *old < BUSY_ROUTE_ANSWERS || *new >= MIN_ROUTE_ANSWERS;
        let timed = age >= WARM_WAIT_END || warm.values().any(|n| *n >= MIN_WARM_ANSWERS);
        self.enough_report(rollout) && new >= MIN_ANSWERS && timed && ended.values().all(each)
    }

    /// A verdict on the partial stage needs answers that were counted during it.
    fn partial_has_enough_data(&self, rollout: &Rollout) -> bool {
        let since = self.now.saturating_sub(rollout.stage_age_us(self.now));
        let new = self.tallies.since(rollout.epoch, since).flat_map(|i| i.routes.values());
        let new: u32 = new.map(|r| r.new.ended).sum();
        self.enough_report(rollout) && new >= MIN_PARTIAL_ANSWERS
    }

    /// Completes the rollout once no proxy uses the old servers. Silent proxies are waited for only for the
    /// propagation time; proxies with requests in flight at old servers until the term is near.
    fn completion_step(&self, rollout: &Rollout, age: f64) -> Option<Step> {
        let from = self.current_from();
        let stage_age_us = rollout.stage_age_us(self.now);
        let given_up = |ip: Ipv4Addr| stage_age_us > self.propagation_us && !self.is_reporting(rollout, ip);
        let left = |ip: &Ipv4Addr| self.tallies.has_left_old_servers(rollout, *ip, from) || given_up(*ip);
        if !self.proxies.is_empty() && self.proxies.iter().all(left) {
            return Step::to(Stage::Completed, "nothing goes to the old servers any more");
        }
        let all_applied = || self.proxies.iter().all(|ip| self.tallies.has_applied_stage(rollout, *ip, from));
        let settled =
            stage_age_us > self.propagation_us || (stage_age_us > self.propagation_us / 2 && all_applied());
        if age >= COMPLETE_FROM && settled {
            return Step::to(Stage::Completed, "every proxy in touch has left the old servers");
        }
        None
    }
}

/// Whether the partial stage may end. Ages are parts of the term.
fn partial_is_over(age: f64, stage_age: f64) -> bool {
    stage_age >= PARTIAL_DURATION || (age >= LATE_PARTIAL_END && stage_age >= PARTIAL_MIN_DURATION)
}
