//! The tries of a request: sending it, what follows when an attempt ends, and its final answer.

use super::records::{Attempt, Decider, Request, Server, Task};
use crate::interface::*;

/// Retry budget: further attempts for each first one, how many are saved up, what one after a reset costs.
pub(super) const RETRY: [f64; 3] = [0.1, 10.0, 0.5];

impl Request {
    pub(super) fn fleet(&self) -> usize {
        self.asked.service as usize
    }

    /// Whether the rules let a further attempt go to this server: its zone, and where repeats are dropped.
    pub(super) fn allows(&self, s: &Server, effect: Effect, now: Micros) -> bool {
        let zones = if self.attempts.is_empty() { self.asked.zones } else { self.asked.retry_zones };
        if zones != 0 && zones != u64::MAX && (s.zone >= 64 || zones >> s.zone & 1 == 0) {
            return false;
        }
        match (effect, self.attempts.iter().find(|a| a.out || a.may_have_run)) {
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
    pub(super) fn send(&mut self, id: u64, server: u64, acts: &mut Vec<Action>) {
        let r = self.requests.get_mut(&id).expect("picked for it");
        let c = self.customers.get_mut(&r.asked.customer).expect("holds a request");
        let s = self.servers.get_mut(&server).expect("picked");
        let fleet = &mut self.fleets[r.fleet()];
        let tier = fleet.tier(s.distance);
        (tier.sent, tier.sent_at) = (tier.lately_sent(self.now) + 1.0, self.now);
        if r.attempts.is_empty() {
            if self.set.plans[c.plan].ceiling_rate > 0.0 {
                c.ceiling -= r.asked.units;
            }
            let [part, saved, _] = self.set.retry_budget.unwrap_or(RETRY);
            fleet.retries = (fleet.retries + part).min(saved);
        }
        r.waits = false;
        let (zone, cell, sent_at) = (s.zone, s.cell, self.now);
        r.attempts.push(Attempt { server, zone, cell, sent_at, out: true, may_have_run: false });
        (c.sent_at, c.units_out) = (self.now, c.units_out + r.asked.units);
        c.attempts_out += 1;
        s.out += 1;
        s.token_at = self.now + if s.cold_rate > 0.0 { s.token_us() } else { 0 };
        fleet.tally(r.asked.booking, false);
        acts.push(Action::Send { id, server, timeout_us: r.end.saturating_sub(self.now).max(1) });
    }

    pub(super) fn returned(&mut self, n: AttemptEnd, acts: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&n.id) else { return };
        let Some(a) = r.attempts.get_mut(n.attempt as usize).filter(|a| a.out) else { return };
        a.out = false;
        a.may_have_run = !n.outcome.never_ran();
        self.fleets[r.asked.service as usize].tally(r.asked.booking, true);
        if let Some(s) = self.servers.get_mut(&a.server) {
            s.out -= 1;
        }
        let (key, units) = (r.asked.customer, r.asked.units);
        self.refill(key);
        let c = self.customers.get_mut(&key).expect("holds a request");
        c.units_out = (c.units_out - units).max(0.0);
        c.attempts_out -= 1;
        if let Some(used) = n.used {
            self.read(key, used);
        }
        let c = self.customers.get_mut(&key).expect("just seen");
        if let Some(f) = n.final_units.filter(|f| self.set.trued_up && f.is_finite() && *f > 0.0) {
            c.level -= f - units;
        }
        self.line_up(key, None, false);
        let r = &self.requests[&n.id];
        if n.closed || r.done {
            self.close(n.id, None, acts);
        } else if !r.attempts.iter().any(|a| a.out) {
            self.again(n.id, n.outcome, acts);
        }
    }

    /// After a failure: another attempt if in time, allowed and in the budget; free after no connection.
    fn again(&mut self, id: u64, last: Outcome, acts: &mut Vec<Action>) {
        let reset = self.set.retry_budget.unwrap_or(RETRY)[2];
        let cost = if last == Outcome::Reset { reset } else { f64::from(last != Outcome::ConnectFailed) };
        let r = self.requests.get_mut(&id).expect("just seen");
        let (n, fleet) = (r.fleet(), &mut self.fleets[r.fleet()]);
        let cap = if r.asked.max_attempts > 0 { r.asked.max_attempts } else { self.set.attempts_cap };
        let once = self.set.classes[r.asked.class].effect == Effect::Once;
        let may = !(once && r.attempts.iter().any(|a| a.may_have_run));
        let next_by = self.now + fleet.load.mean as Micros;
        if !may || next_by > r.best_by || r.attempts.len() as u32 >= cap || fleet.retries < cost {
            return self.give_up(id, acts);
        }
        fleet.retries -= cost;
        r.waits = true;
        let key = r.asked.customer;
        self.customers.get_mut(&key).expect("holds a request").line(n).push_front(id);
        self.line_up(key, Some(n), true);
        self.agenda.insert((next_by, Task::End(id)));
    }

    /// The answer has begun: the attempt is the client's now.
    pub(super) fn began(&mut self, id: u64) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        (r.streaming, r.waits) = (true, false);
    }

    /// The last answer for a request that will not be served: a refusal where the rules let us say that
    /// trying again is harmless, else a failure.
    pub(super) fn give_up(&mut self, id: u64, acts: &mut Vec<Action>) {
        let r = &self.requests[&id];
        let (over_quota, ran) = (false, r.attempts.iter().any(|a| a.out || a.may_have_run));
        let harmless = match self.set.classes[r.asked.class].effect {
            Effect::Repeatable | Effect::ByKey { group: Group::All, .. } => true,
            _ => !ran,
        };
        let fleet = &self.fleets[r.fleet()];
        let jam = fleet.ring.len() as f64 / fleet.target(&self.set);
        let retry_after_us = self.advice(fleet.load.mean * (1.0 + jam));
        let answer =
            if harmless { Action::Refuse { id, retry_after_us, over_quota } } else { Action::Fail { id } };
        self.turn_away();
        self.close(id, Some(answer), acts);
    }

    pub(super) fn close(&mut self, id: u64, answer: Option<Action>, acts: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if !r.done {
            (r.done, r.waits) = (true, false);
            acts.extend(answer);
            // What is out may still be stopped; so near its own time-out that would only hide the time-out.
            let cancel = self.set.may_cancel && self.now + self.set.tick_us < r.end;
            for n in (0..r.attempts.len() as u32).filter(|n| cancel && r.attempts[*n as usize].out) {
                acts.push(Action::Cancel { id, attempt: n });
            }
            let (key, unsent) = (r.asked.customer, r.attempts.is_empty());
            if let Some(c) = self.customers.get_mut(&key).filter(|_| unsent) {
                c.level += r.asked.units; // never sent on, so never counted
            }
            self.line_up(key, None, false); // `pump` clears the waiting line of what has ended
        }
        if self.requests.get(&id).is_some_and(|r| !r.attempts.iter().any(|a| a.out)) {
            self.requests.remove(&id);
        }
    }
}
