//! Rollouts: servers of a new version start beside the old ones while an operator has the traffic moved to them. Some
//! versions are bad, each in its own way.

use crate::net::{Owner, Work};
use crate::odd::Odd;
use crate::outside::{CallFor, Order};
use crate::record::{self, Fate, Seen};
use crate::scenario::{Scenario, What, Words};
use crate::world::{Ev, World};
use crate::{MS, Micros, SECOND};
use miette::{Result, miette};
use registry::calls;
use settings::rollout::Progress;
use std::rc::Rc;

/// The version of the servers that run when a day begins.
pub const FIRST_VERSION: &str = "v1";
/// Between two questions of an operator for how far a rollout is.
const POLL: Micros = 250 * MS;
/// Servers of a version that was reverted run so long before they drain.
const DRAIN_AFTER: Micros = 3 * SECOND;
/// A slow version takes so many times as long.
const SLOWER: f64 = 8.0;

/// What an operator orders, and what the version is like.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    pub service: String,
    pub version: String,
    pub term: Micros,
    /// None: the version is good.
    pub fault: Option<Fault>,
}

/// What is wrong with a version.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub kind: FaultKind,
    /// The share of the answers that are bad, of those that the kind concerns.
    pub share: f64,
}

/// Which answers of a version are bad, and how.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Failures.
    Errors,
    /// They take several times as long.
    Slow,
    /// Failures where the server has other work at the same time.
    UnderLoad,
    /// Failures on this route alone.
    OneRoute(String),
    /// Failures once the server has run for so long.
    Late(Micros),
}

/// `SERVICE to VERSION within S [bad KIND [share P]]`.
pub(crate) fn read(w: &mut Words) -> Result<Rollout> {
    let service = w.next("the service")?.to_string();
    w.must("to")?;
    let version = w.next("the version")?.to_string();
    w.must("within")?;
    let term = w.seconds("the term")?;
    let fault = if w.take("bad") { Some(fault(w)?) } else { None };
    Ok(Rollout { service, version, term, fault })
}

fn fault(w: &mut Words) -> Result<Fault> {
    let kind = match w.next("what is bad")? {
        "errors" => FaultKind::Errors,
        "slow" => FaultKind::Slow,
        "under-load" => FaultKind::UnderLoad,
        "one-route" => FaultKind::OneRoute(w.next("the route")?.to_string()),
        "late" => FaultKind::Late(w.seconds("after")?),
        other => return Err(miette!("{other:?} is none of errors, slow, under-load, one-route, late")),
    };
    let share = if w.take("share") { w.number("the share")? } else { 0.5 };
    Ok(Fault { kind, share })
}

/// All that a scenario has, in its order.
pub(crate) fn all_of(scenario: &Scenario) -> Vec<Rollout> {
    fn inner(what: &What) -> Option<&Rollout> {
        match what {
            What::Odd(Odd::Rollout(rollout)) => Some(rollout),
            What::When { then, .. } | What::Closing(then) => inner(then),
            _ => None,
        }
    }
    scenario.events.iter().filter_map(|(_, what)| inner(what)).cloned().collect()
}

impl World {
    /// An operator orders a rollout, and the servers of the new version start.
    pub fn rollout_begins(&mut self, rollout: &Rollout) {
        let number = self.rollouts.iter().position(|r| r == rollout).expect("one of the scenario's");
        let (service, version) = (rollout.service.clone(), rollout.version.clone());
        let (sent, term, bad) = (self.now, rollout.term, rollout.fault.is_some());
        let kept = record::Rollout {
            service: service.clone(),
            version: version.clone(),
            sent,
            term,
            bad,
            fate: Fate::Open,
            bad_answers: Vec::new(),
            seen: Vec::new(),
        };
        self.record.rollouts.push(kept);
        let at = self.record.rollouts.len() - 1;
        for place in 0..self.places.len() {
            if self.places[place].rollout == Some(number) {
                self.places[place].stands = true;
                self.at(self.now, Ev::ServerStarts(place, None, true));
            }
        }
        let term_s = rollout.term as f64 / 1e6;
        let body = jzon::object! { service_ref: service, target_version: version, rollout_term_s: term_s };
        let body = body.dump().into_bytes();
        let request =
            calls::Request { method: "POST".into(), target: "/api/rollouts".into(), if_match: None, body };
        let until = self.now + self.record.bounds.ack_limit;
        self.order(Order::rollout(request, at, until));
        self.at(self.now + POLL, Ev::AskRollout(at));
    }

    /// An operator asks how far a rollout is.
    pub fn ask_rollout(&mut self, at: usize) {
        let cores = self.record.cores;
        let core = self.chance(15).usize(0..cores);
        let target = format!("/api/rollouts/{}", self.record.rollouts[at].service);
        let request = calls::Request { method: "GET".into(), target, if_match: None, body: Vec::new() };
        let why = CallFor::Rollout { at, from: self.now };
        self.call(Owner::Operator, core, Rc::new(request), why);
        self.at(self.now + POLL, Ev::AskRollout(at));
    }

    /// What the answer shows, and what the operator makes of it.
    pub fn rollout_shown(&mut self, at: usize, from: Micros, answer: Option<&calls::Answer>) {
        let state = match answer {
            Some(a) if a.status == 200 => read_state(&a.body),
            Some(a) if a.status == 404 => None,
            _ => return,
        };
        let now = self.now;
        self.note(format!("the operator is told {}", answer.map_or("", |a| &*a.body)));
        let rollout = &mut self.record.rollouts[at];
        let over = |seen: &[Seen]| seen.iter().any(|s| s.is_over(&rollout.version));
        let before = over(&rollout.seen);
        rollout.seen.push(Seen { from, at: now, state: state.clone() });
        if before || !over(&rollout.seen) {
            return;
        }
        let (service, version) = (rollout.service.clone(), rollout.version.clone());
        let (progress, _) = state.expect("one that is over");
        let completed = progress == Progress::Completed;
        for place in 0..self.places.len() {
            let p = &self.places[place];
            if p.service != service || !p.stands || (p.version == version) == completed {
                continue;
            }
            self.places[place].stands = false;
            if completed {
                self.server_ends(place, false);
            } else {
                self.at(now + DRAIN_AFTER, Ev::Retire(place));
            }
        }
    }

    /// Whether this work, which a server of a bad version begins now, will have a bad answer.
    pub fn goes_bad(&mut self, place: usize, work: &Work) -> bool {
        let Some(number) = self.places[place].rollout else { return false };
        let Some(fault) = self.rollouts[number].fault.clone() else { return false };
        let Some(server) = &self.places[place].server else { return false };
        let concerned = match &fault.kind {
            FaultKind::Errors | FaultKind::Slow => true,
            FaultKind::UnderLoad => server.has_work(),
            FaultKind::OneRoute(route) => {
                self.record.tries[work.name as usize].path.starts_with(&format!("/{route}/"))
            }
            FaultKind::Late(after) => self.now >= server.started + after,
        };
        concerned && self.chance(16).f64() < fault.share
    }

    /// How many times as long bad work takes at this place, and whether it fails.
    pub fn badness(&self, place: usize) -> (f64, bool) {
        let fault = self.places[place].rollout.and_then(|n| self.rollouts[n].fault.as_ref());
        match fault.map(|f| &f.kind) {
            Some(FaultKind::Slow) => (SLOWER, false),
            _ => (1.0, true),
        }
    }

    /// A server of a bad version gave a bad answer.
    pub fn answered_badly(&mut self, place: usize) {
        let (now, version) = (self.now, &self.places[place].version);
        let of = |r: &&mut record::Rollout| r.version == *version && r.service == self.places[place].service;
        if let Some(rollout) = self.record.rollouts.iter_mut().find(of) {
            rollout.bad_answers.push(now);
        }
    }
}

fn read_state(body: &str) -> Option<(Progress, String)> {
    let value = jzon::parse(body).ok()?;
    let named = value["server_state"].as_str()?;
    let all = [Progress::InProgress, Progress::Completed, Progress::Reverted];
    let progress = all.into_iter().find(|p| p.name() == named)?;
    Some((progress, value["target_version"].as_str()?.to_string()))
}
