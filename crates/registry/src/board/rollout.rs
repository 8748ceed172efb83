//! Calls that concern rollouts, and the duty to decide on them.

use super::{Board, Wait};
use crate::calls::{Answer, Request};
use crate::rollouts::{Ground, Step, Summary, TimeRange};
use cluster::Micros;
use cluster::rollout::{Rollout, RolloutChange, Stage, Tally, tally_interval};
use cluster::state::{Command, Server};
use cluster::talk::ToStore;
use jzon::JsonValue;
use settings::rollout::Order;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use super::Output;

/// What of the rollouts a call asks for, once the state has come far enough to tell.
pub(super) enum Shown {
    Of(String),
    All,
}

impl Board {
    pub(super) fn start_rollout(
        &mut self,
        id: u64,
        request: &Request,
        out: &mut Vec<Output>,
    ) -> Option<Answer> {
        let order = match Order::read(&request.body) {
            Ok(order) => order,
            Err(why) => return Some(Answer::error(400, &why.to_string())),
        };
        // A copy of the order may have been held up on its way: it is a new one only long after the end.
        let ended = self.copy.state.rollouts.0.get(&order.service).filter(|r| r.stage.is_over());
        let held_up_us = self.terms.repeat_us.max(Micros::from(order.term_ms) * 1000).max(MIN_APART_US);
        let after = ended.filter(|r| r.stage_age_us(self.now) > held_up_us).map(|r| r.epoch);
        self.order(id, Command::Rollout(RolloutChange::Start { order, after }), out)
    }

    pub(super) fn stop_rollout(&mut self, id: u64, service: String, out: &mut Vec<Output>) -> Option<Answer> {
        if !self.copy.state.rollouts.0.contains_key(&service) {
            return Some(Answer::error(404, &format!("no rollout of {service:?}")));
        }
        self.order(id, Command::Rollout(RolloutChange::Stop { service }), out)
    }

    /// Told by a state that holds all that is acknowledged by now.
    pub(super) fn show_rollouts(&mut self, id: u64, shown: Shown, out: &mut Vec<Output>) -> Option<Answer> {
        let ticket = self.ticket();
        out.push(Output::Store(ToStore::Read { ticket }));
        self.wait(id, Wait::Rollouts { ticket, at: None, shown })
    }

    pub(super) fn rollouts_shown(&self, shown: &Shown) -> Answer {
        let rollouts = &self.copy.state.rollouts.0;
        match shown {
            Shown::Of(service) => match rollouts.get(service) {
                Some(rollout) => Answer::json(200, self.rollout_view(rollout).dump()),
                None => Answer::error(404, &format!("no rollout of {service:?}")),
            },
            Shown::All => {
                let list: Vec<JsonValue> = rollouts.values().map(|r| self.rollout_view(r)).collect();
                Answer::json(200, jzon::object! { rollout_list: list }.dump())
            }
        }
    }

    /// What operators are told of a rollout. Machines need `server_state` and `target_version` alone.
    fn rollout_view(&self, rollout: &Rollout) -> JsonValue {
        let term_us = Micros::from(rollout.order.term_ms) * 1000;
        let left_ms = term_us.saturating_sub(rollout.age_us(self.now)) / 1000;
        let (old, new) = self.tallies.summary(rollout.epoch).unzip();
        let mut view = rollout.order.write();
        view["server_state"] = rollout.stage.progress().name().into();
        view["stage"] = rollout.stage.name().into();
        view["reason"] = rollout.reason.as_str().into();
        view["epoch"] = rollout.epoch.into();
        view["left_ms"] = (!rollout.stage.is_over()).then_some(left_ms).into();
        view["old_side"] = self.side_view(rollout, false, old);
        view["new_side"] = self.side_view(rollout, true, new);
        view
    }

    /// The servers of one side, as the proxies tell the sides apart, and what was counted of them.
    fn side_view(&self, rollout: &Rollout, new: bool, counted: Option<Summary>) -> JsonValue {
        let state = &self.copy.state;
        let version = |s: &Server| state.versions.get(&s.id).map(String::as_str);
        let is_new = |s: &Server| version(s) == Some(rollout.order.target_version.as_str());
        let on_side = |s: &&Server| s.service == rollout.order.service && is_new(s) == new;
        let servers: Vec<&Server> = state.servers.values().filter(on_side).collect();
        let versions: BTreeSet<&str> = servers.iter().filter_map(|s| version(s)).collect();
        jzon::object! {
            version_names: versions.into_iter().collect::<Vec<_>>(),
            server_count: servers.len(),
            answer_count: counted.map(|c| c.ended),
            failure_count: counted.map(|c| c.failed),
            median_ms: range_view(counted.and_then(|c| c.median)),
            percentile_95_ms: range_view(counted.and_then(|c| c.percentile_95)),
        }
    }

    pub(super) fn take_tallies(&mut self, tallies: Vec<Tally>, told: bool) {
        for tally in tallies {
            self.tallies.take(self.now, tally, told);
        }
    }

    /// Beside the leader: takes the rollouts a step further.
    pub(super) fn tend_rollouts(&mut self, out: &mut Vec<Output>) {
        if self.copy.state.rollouts.is_empty() {
            return;
        }
        self.tallies.keep(&self.copy.state.rollouts);
        if !(self.leads && self.is_fresh()) {
            return;
        }
        for command in self.rollout_steps() {
            self.on_duty(command, out);
        }
    }

    fn rollout_steps(&self) -> Vec<Command> {
        let state = &self.copy.state;
        let proxies: Vec<Ipv4Addr> = state.nodes.keys().copied().collect();
        let ground = Ground {
            now: self.now,
            tallies: &self.tallies,
            proxies: &proxies,
            tally_us: tally_interval(self.terms.beat_us, proxies.len()),
            settle_us: self.terms.settle_us,
        };
        // A registry that has just come to lead has not been told yet what the others heard: it takes no version further.
        let told = self.now >= self.fresh_since.max(self.leads_since) + self.terms.beat_us;
        let advance = |rollout: &Rollout| {
            let Step { to, reason } = ground.step(rollout).filter(|s| told || s.to == Stage::Reverted)?;
            let (service, epoch) = (rollout.order.service.clone(), rollout.epoch);
            Some(Command::Rollout(RolloutChange::Advance { service, epoch, to, reason }))
        };
        state.rollouts.running().filter_map(advance).collect()
    }
}

fn range_view(range: Option<TimeRange>) -> JsonValue {
    let ms = |us: Micros| us as f64 / 1000.0;
    range.map_or(JsonValue::Null, |r| jzon::object! { from: ms(r.from_us), below: r.below_us.map(ms) })
}

/// The same order as that of a rollout that has ended is a repeat for so long at the least.
const MIN_APART_US: Micros = 60_000_000;
/// How long an operator may repeat an order, where the settings do not tell.
pub const REPEAT_US: Micros = 10_000_000;
