//! Rules and duties of rollouts: how much a bad version got, that nothing acknowledged is lost or goes back, and that each
//! rollout ends by its term.

use super::observed::{Observed, OrderedRollout, RolloutState, RolloutView};
use super::rollouts::{Quality, server_prefix};
use simulator::judge::Breach;
use simulator::record::{Arrival, Fate, Record, Try};
use simulator::{Micros, SECOND};

/// A bad version gets this part of its service's requests at the most, and so many more.
pub const EXPOSURE_SHARE: f64 = 0.1;
pub const EXPOSURE_MARGIN: usize = 50;
/// So long after so many bad answers it gets nothing more.
pub const REVERT_LIMIT: Micros = 5 * SECOND;
const BAD_ANSWERS: usize = 50;
/// An operator that asks for a rollout's state hears of its end this much later, at the most.
const READING: Micros = SECOND;
/// Requests of its service without which a good version cannot show in calm that it is good: a trial gets less than a tenth
/// of them, and its verdict wants some fifty answers.
const ENOUGH_REQUESTS: usize = 1000;

/// What came of a day's rollouts.
pub struct Verdict {
    pub breaches: Vec<Breach>,
    /// Rollouts that were not over as they should have been by their term.
    pub missed_duties: Vec<String>,
}

pub fn judge(record: &Record, observed: &Observed) -> Verdict {
    let mut verdict = Verdict { breaches: Vec::new(), missed_duties: Vec::new() };
    for n in 0..observed.rollouts.len() {
        let judge =
            Judge { record, observed, rollout: &observed.rollouts[n], next: next(&observed.rollouts, n) };
        let found = [judge.share(), judge.after_bad_answers(), judge.acknowledgement(), judge.lost()];
        verdict.breaches.extend(found.into_iter().flatten());
        if let Some(missed) = judge.duty() {
            if judge.calm_and_used() {
                verdict.breaches.push(Breach { rule: "DUTY", what: missed.clone(), attempt: None });
            }
            verdict.missed_duties.push(missed);
        }
    }
    verdict
}

/// When the next rollout of the same service was ordered.
fn next(rollouts: &[OrderedRollout], n: usize) -> Micros {
    let later = rollouts.iter().filter(|r| r.service == rollouts[n].service && r.sent > rollouts[n].sent);
    later.map(|r| r.sent).min().unwrap_or(Micros::MAX)
}

fn seconds(at: Micros) -> f64 {
    at as f64 / 1e6
}

struct Judge<'r> {
    record: &'r Record,
    observed: &'r Observed,
    rollout: &'r OrderedRollout,
    next: Micros,
}

impl<'r> Judge<'r> {
    fn name(&self) -> String {
        let r = self.rollout;
        format!(
            "the rollout of {} to {} ({}), sent at {:.3}",
            r.service,
            r.version,
            r.quality.name(),
            seconds(r.sent)
        )
    }

    fn breach(&self, rule: &'static str, attempt: Option<u64>, what: &str) -> Option<Breach> {
        Some(Breach { rule, what: format!("{}: {what}", self.name()), attempt })
    }

    fn term_ends(&self) -> Micros {
        self.rollout.sent + self.rollout.term
    }

    /// What reached the service's servers, each with its try.
    fn arrivals(&self) -> impl Iterator<Item = (u64, &'r Try, &'r Arrival)> {
        let service = &self.rollout.service;
        let tries = self.record.tries.iter().enumerate();
        let all = tries.flat_map(|(n, t)| t.arrivals.iter().map(move |a| (n as u64, t, a)));
        all.filter(move |(_, _, a)| a.service == *service)
    }

    /// Of these, what a machine in touch sent to the version of this rollout.
    fn at_the_version(&self) -> impl Iterator<Item = (u64, &'r Arrival)> {
        let prefix = server_prefix(&self.rollout.service, &self.rollout.version);
        let new = self.arrivals().filter(move |(_, _, a)| a.server.starts_with(&prefix));
        new.filter(|(_, t, a)| self.record.in_touch(t.edge, a.sent)).map(|(n, _, a)| (n, a))
    }

    /// EXPOSURE: between the order and its term a bad version gets a small share of its service's requests.
    fn share(&self) -> Option<Breach> {
        if self.rollout.quality == Quality::Good {
            return None;
        }
        let span = self.rollout.sent..=self.term_ends();
        let all = self.arrivals().filter(|(_, _, a)| span.contains(&a.at)).count();
        let limit = (all as f64 * EXPOSURE_SHARE) as usize + EXPOSURE_MARGIN;
        let got: Vec<u64> =
            self.at_the_version().filter(|(_, a)| span.contains(&a.at)).map(|(n, _)| n).collect();
        let over = got.get(limit)?;
        self.breach("EXPOSURE", Some(*over), &format!("{} of {all} requests, {limit} may", got.len()))
    }

    /// When the core was last unsettled before this moment.
    fn unsettled_before(&self, at: Micros) -> Micros {
        let core = self.record.troubles.iter().filter(|t| t.host < self.record.cores && t.from <= at);
        core.map(|t| t.until.saturating_add(self.record.bounds.contact)).max().unwrap_or(0)
    }

    /// EXPOSURE: nothing goes to a bad version some seconds after its bad answers have shown it.
    fn after_bad_answers(&self) -> Option<Breach> {
        let prefix = server_prefix(&self.rollout.service, &self.rollout.version);
        let bad = self.observed.bad_answers.iter().filter(|b| b.server.starts_with(&prefix));
        let mut bad: Vec<Micros> = bad.map(|b| b.at).collect();
        bad.sort_unstable();
        let shown = |at: Micros| {
            let settled = bad.iter().filter(|b| **b >= self.unsettled_before(at));
            settled.clone().nth(BAD_ANSWERS - 1).copied().filter(|shown| at > shown + REVERT_LIMIT)
        };
        let (n, at, shown) = self.at_the_version().find_map(|(n, a)| Some((n, a.sent, shown(a.sent)?)))?;
        let late = seconds(at - shown);
        self.breach("EXPOSURE", Some(n), &format!("a request {late:.1} s after bad answer {BAD_ANSWERS}"))
    }

    /// ACK: a proper order is acknowledged within the limit where the core is settled.
    fn acknowledgement(&self) -> Option<Breach> {
        let (sent, limit) = (self.rollout.sent, self.record.bounds.ack_limit);
        let over = match self.rollout.fate {
            Fate::Refused(_) => return self.breach("ACK", None, "refused"),
            Fate::Acknowledged(at) => at > sent + limit,
            Fate::Open | Fate::GivenUp(_) => sent + limit <= self.record.ends,
        };
        let from = sent.saturating_sub(self.record.bounds.contact);
        let calm = self.record.calm(from, sent + limit, |host| host < self.record.cores);
        if over && calm { self.breach("ACK", None, "was not acknowledged in time") } else { None }
    }

    /// Readings of this rollout that began once it was known, and before the next was ordered.
    fn views(&self) -> impl Iterator<Item = &'r RolloutView> {
        let (next, service) = (self.next, &self.rollout.service);
        let known = self.known();
        let views = self.observed.rollout_views.iter().filter(move |v| v.service == *service);
        views.filter(move |v| known.is_some_and(|known| v.from > known) && v.until < next)
    }

    /// From when on it is agreed: since its acknowledgement, or since a registry first told of it.
    fn known(&self) -> Option<Micros> {
        let version = &self.rollout.version;
        let tells = |v: &&RolloutView| v.told.as_ref().is_some_and(|(told, _)| told == version);
        let seen = self.observed.rollout_views.iter().filter(|v| v.service == self.rollout.service);
        let seen = seen.filter(tells).map(|v| v.until).min();
        let acknowledged = match self.rollout.fate {
            Fate::Acknowledged(at) => Some(at),
            _ => None,
        };
        seen.into_iter().chain(acknowledged).min()
    }

    /// LOST: a rollout that was acknowledged is not forgotten, and its end is not taken back.
    fn lost(&self) -> Option<Breach> {
        let mut ended: Option<(Micros, RolloutState)> = None;
        for view in self.views() {
            let at = seconds(view.until);
            let Some((_, state)) = view.told.as_ref().filter(|(told, _)| *told == self.rollout.version)
            else {
                return self.breach("LOST", None, &format!("not known any more at {at:.3}"));
            };
            // What was read before the end was told may still say otherwise.
            let back = ended.filter(|(told, end)| view.from > *told && state != end);
            if let Some((_, end)) = back {
                return self.breach("LOST", None, &format!("{end:?}, and at {at:.3} {state:?}"));
            }
            if *state != RolloutState::InProgress && ended.is_none() {
                ended = Some((view.until, *state));
            }
        }
        None
    }

    /// A good version is completed by the term and a bad one reverted; where not, what was seen.
    fn duty(&self) -> Option<String> {
        if !matches!(self.rollout.fate, Fate::Acknowledged(_)) {
            return None;
        }
        let wanted = match self.rollout.quality {
            Quality::Good => RolloutState::Completed,
            Quality::Errors | Quality::Slow | Quality::Late => RolloutState::Reverted,
        };
        let of_it = |v: &RolloutView| v.told.clone().filter(|(told, _)| *told == self.rollout.version);
        let by = self.term_ends() + READING;
        let seen = self.views().filter(|v| v.until <= by).filter_map(of_it).map(|(_, state)| state).last();
        // Before its term only an end tells: the day, or the next order, may come first.
        let pending = seen.is_none_or(|state| state == RolloutState::InProgress);
        if pending && by > self.record.ends.min(self.next) {
            return None;
        }
        let last = seen.map_or("not seen".to_string(), |state| format!("{state:?}"));
        (seen != Some(wanted)).then(|| format!("{}: {last} by its term, {wanted:?} wanted", self.name()))
    }

    /// Nothing was done to any machine, and enough was asked of the service for a verdict.
    fn calm_and_used(&self) -> bool {
        let (sent, ends) = (self.rollout.sent, self.term_ends());
        let asked = self.arrivals().filter(|(_, _, a)| (sent..=ends).contains(&a.at)).count();
        let from = sent.saturating_sub(self.record.bounds.contact);
        self.record.calm(from, ends, |_| true) && asked >= ENOUGH_REQUESTS
    }
}
