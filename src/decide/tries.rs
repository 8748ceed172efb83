//! Attempts of a request: sending, retrying within the retry budget, and its final answer.

use super::records::{Attempt, Decider, Request, Server, Task};
use crate::interface::*;

/// Retry budget: tokens earned per first attempt, most tokens saved, cost of a retry after a reset.
pub(super) const DEFAULT_RETRY_BUDGET: [f64; 3] = [0.1, 10.0, 0.5];

impl Request {
    pub(super) fn fleet(&self) -> usize {
        self.params.service as usize
    }

    /// Whether an attempt may go to this server: its zone is allowed, and a repeat cannot run twice.
    pub(super) fn allows(&self, s: &Server, now: Micros) -> bool {
        let zones = if self.attempts.is_empty() { self.params.zones } else { self.params.retry_zones };
        if zones != 0 && zones != u64::MAX && (s.zone >= 64 || zones >> s.zone & 1 == 0) {
            return false;
        }
        match (self.effect, self.attempts.iter().find(|a| a.in_flight || a.may_have_run)) {
            (Effect::Once, Some(_)) => false,
            (Effect::ByKey { group, window_us }, Some(a)) => {
                let in_group = match group {
                    Group::All => true,
                    Group::Zone => s.zone == a.zone,
                    Group::Cell => s.cell == a.cell,
                };
                in_group && now < a.sent_at.saturating_add(window_us)
            }
            _ => true,
        }
    }
}

impl Decider {
    pub(super) fn send(&mut self, id: u64, server: u64, actions: &mut Vec<Action>) {
        let r = self.requests.get_mut(&id).expect("picked for it");
        let c = self.customers.get_mut(&r.params.customer).expect("holds a request");
        let s = self.servers.get_mut(&server).expect("picked");
        let fleet = &mut self.fleets[r.fleet()];
        let tier = fleet.tier(s.distance);
        (tier.sent, tier.sent_at) = (tier.recent_sends(self.now) + 1.0, self.now);
        if r.attempts.is_empty() {
            if self.config.plans[c.plan].ceiling_rate > 0.0 {
                c.ceiling_tokens -= r.params.units;
            }
            let [ratio, max_saved, _] = self.config.retry_budget.unwrap_or(DEFAULT_RETRY_BUDGET);
            fleet.retry_tokens = (fleet.retry_tokens + ratio).min(max_saved);
        }
        r.queued = false;
        let (zone, cell, sent_at) = (s.zone, s.cell, self.now);
        r.attempts.push(Attempt { server, zone, cell, sent_at, in_flight: true, may_have_run: false });
        (c.sent_at, c.units_in_flight) = (self.now, c.units_in_flight + r.params.units);
        c.in_flight += 1;
        s.in_flight += 1;
        s.token_at = self.now + if s.cold_rate > 0.0 { s.token_interval() } else { 0 };
        fleet.count_attempt(r.params.booking, false);
        actions.push(Action::Send { id, server, timeout_us: r.deadline.saturating_sub(self.now).max(1) });
    }

    pub(super) fn attempt_ended(&mut self, n: AttemptEnd, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&n.id) else { return };
        let Some(a) = r.attempts.get_mut(n.attempt as usize).filter(|a| a.in_flight) else { return };
        a.in_flight = false;
        a.may_have_run = !n.outcome.never_ran();
        self.fleets[r.params.service as usize].count_attempt(r.params.booking, true);
        if let Some(s) = self.servers.get_mut(&a.server) {
            s.in_flight -= 1;
        }
        let (key, units) = (r.params.customer, r.params.units);
        self.refill(key);
        let c = self.customers.get_mut(&key).expect("holds a request");
        c.units_in_flight = (c.units_in_flight - units).max(0.0);
        c.in_flight -= 1;
        if let Some(used) = n.used {
            self.record_reading(key, used);
        }
        let c = self.customers.get_mut(&key).expect("just seen");
        if let Some(exact) = n.final_units.filter(|f| self.config.trued_up && f.is_finite() && *f > 0.0) {
            c.tokens -= exact - units;
        }
        self.schedule_customer(key, None, false);
        let r = &self.requests[&n.id];
        if n.closed || r.done {
            self.close(n.id, None, actions);
        } else if !r.attempts.iter().any(|a| a.in_flight) {
            self.retry(n.id, n.outcome, actions);
        }
    }

    /// After a failure: retries if in time, allowed and in the budget; free after a failed connection.
    fn retry(&mut self, id: u64, last: Outcome, actions: &mut Vec<Action>) {
        let reset = self.config.retry_budget.unwrap_or(DEFAULT_RETRY_BUDGET)[2];
        let cost = if last == Outcome::Reset { reset } else { f64::from(last != Outcome::ConnectFailed) };
        let r = self.requests.get_mut(&id).expect("just seen");
        let (n, fleet) = (r.fleet(), &mut self.fleets[r.fleet()]);
        let limit = if r.params.max_attempts > 0 { r.params.max_attempts } else { self.config.attempts_cap };
        let allowed = !(r.effect == Effect::Once && r.attempts.iter().any(|a| a.may_have_run));
        let next_by = self.now + fleet.aimd.latency as Micros;
        if !allowed || next_by > r.best_by || r.attempts.len() as u32 >= limit || fleet.retry_tokens < cost {
            return self.give_up(id, actions);
        }
        fleet.retry_tokens -= cost;
        r.queued = true;
        let key = r.params.customer;
        self.customers.get_mut(&key).expect("holds a request").queue(n).push_front(id);
        self.schedule_customer(key, Some(n), true);
        self.tasks.insert((next_by, Task::Expire(id)));
    }

    /// The answer is being streamed to the client: the deadline no longer applies.
    pub(super) fn response_started(&mut self, id: u64) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        (r.streaming, r.queued) = (true, false);
    }

    /// Final answer without being served: a refusal if the client may safely try again, else a failure.
    pub(super) fn give_up(&mut self, id: u64, actions: &mut Vec<Action>) {
        let r = &self.requests[&id];
        let (over_quota, ran) = (false, r.attempts.iter().any(|a| a.in_flight || a.may_have_run));
        let safe = match r.effect {
            Effect::Repeatable | Effect::ByKey { group: Group::All, .. } => true,
            _ => !ran,
        };
        let fleet = &self.fleets[r.fleet()];
        let backlog = fleet.round_robin.len() as f64 / fleet.target(&self.config);
        let retry_after_us = self.retry_after(fleet.aimd.latency * (1.0 + backlog));
        let answer =
            if safe { Action::Refuse { id, retry_after_us, over_quota } } else { Action::Fail { id } };
        self.record_unserved();
        self.close(id, Some(answer), actions);
    }

    pub(super) fn close(&mut self, id: u64, answer: Option<Action>, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if !r.done {
            (r.done, r.queued) = (true, false);
            actions.extend(answer);
            // Cancels attempts in flight; so near the time-out that would only hide the time-out.
            let cancel = self.config.may_cancel && self.now + self.config.tick_us < r.deadline;
            for n in (0..r.attempts.len() as u32).filter(|n| cancel && r.attempts[*n as usize].in_flight) {
                actions.push(Action::Cancel { id, attempt: n });
            }
            let (key, unsent) = (r.params.customer, r.attempts.is_empty());
            if let Some(c) = self.customers.get_mut(&key).filter(|_| unsent) {
                c.tokens += r.params.units; // never sent, so it costs nothing
            }
            self.schedule_customer(key, None, false); // `dispatch` drops ended requests from the queue
        }
        if self.requests.get(&id).is_some_and(|r| !r.attempts.iter().any(|a| a.in_flight)) {
            self.requests.remove(&id);
        }
    }
}
