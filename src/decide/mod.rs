//! Admission control and load balancing, without I/O, clock or shared state: equal events give equal actions.
//!
//! Path of a request: `admit` (token bucket of its customer) -> its queue, one per customer and fleet ->
//! `dispatch` (cap on the customer's work in flight, target concurrency of the fleet, ceiling) ->
//! `pick_server` -> `attempt_ended` (answer, or a retry within the budget) -> `close`. See docs/design.md.

mod admission;
mod booked;
mod choice;
mod cold;
mod fleet;
mod records;
mod target;
mod tries;

use crate::interface::*;
pub use records::Decider;
use records::{Fleet, Task};

impl Decider {
    /// Applies new settings while requests are open. Classes, plans and services keep their numbers.
    pub fn reconfigure(&mut self, config: Settings) -> Result<(), SettingsError> {
        config.check()?;
        if config.classes.len() < self.config.classes.len() || config.plans.len() < self.config.plans.len() {
            return Err(SettingsError("classes and plans may be appended or changed, not taken away"));
        }
        // Credits the tokens accrued so far at the old rates.
        let keys: Vec<u64> = self.customers.keys().copied().collect();
        keys.into_iter().for_each(|key| _ = self.refill(key));
        for c in self.customers.values_mut().filter(|c| self.config.plans[c.plan].rate == 0.0) {
            c.tokens = f64::INFINITY; // use from before there was a quota does not count against it
        }
        self.usual_time_left.resize(config.classes.len(), (0, 0));
        let fleets = self.fleets.len().max(config.services.max(1) as usize);
        self.fleets.resize_with(fleets, || Fleet::new(&config));
        self.config = config;
        Ok(())
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.started.is_none() {
            self.started = Some(now);
            self.tasks.extend(self.config.ask_for_list.then_some((now, Task::Subscribe)));
        }
        self.fleets.iter_mut().for_each(|f| f.update(self.now, &self.config, &self.servers));
        match event {
            Event::List { kind, entries } => self.update_servers(kind, &entries),
            Event::Request(r) => self.admit(r, actions),
            Event::Started { id, .. } => self.response_started(id),
            Event::AttemptEnded(r) => {
                // An answer past the aim counts as a time-out, even where it still has some worth.
                let late = self.requests.get(&r.id).is_some_and(|q| self.now > q.best_by);
                self.record_outcome(r.server, r.outcome, r.latency_us as f64, late);
                self.attempt_ended(r, actions);
            }
            Event::Withdrawn { id } => {
                self.record_unserved();
                self.close(id, None, actions);
            }
            Event::MeterReading { customer, used } => {
                self.record_reading(customer, used);
                self.schedule_customer(customer, None, false);
            }
            Event::Timer { .. } => {}
        }
        while let Some(&(at, task)) = self.tasks.first()
            && (at <= self.now || !self.is_pending(task))
        {
            self.tasks.remove(&(at, task));
            self.run_task(task, actions);
        }
        for fleet in 0..self.fleets.len() {
            self.dispatch(fleet, actions);
        }
        if let Some(&(at, _)) = self.tasks.first()
            && self.next_wakeup.is_none_or(|next| at < next || next <= self.now)
        {
            self.next_wakeup = Some(at);
            actions.push(Action::Timer { at_us: at, token: 0 });
        }
    }

    /// Whether a task still has work to do; no wakeup is requested for one that has none.
    fn is_pending(&self, task: Task) -> bool {
        let Task::Expire(id) = task else { return true };
        self.requests.get(&id).is_some_and(|r| !r.done && !r.streaming)
    }

    fn run_task(&mut self, task: Task, actions: &mut Vec<Action>) {
        match task {
            _ if !self.is_pending(task) => {}
            Task::Expire(id) => {
                let r = &self.requests[&id];
                let likely = self.fleets[r.fleet()].aimd.likely_latency();
                let expires_at = if r.queued { r.best_by.saturating_sub(likely) } else { r.deadline };
                if expires_at <= self.now {
                    self.give_up(id, actions);
                } else {
                    self.tasks.insert((expires_at, task));
                }
            }
            Task::Resume(key, fleet) => self.schedule_customer(key, Some(fleet), false),
            Task::Subscribe => actions.push(Action::Watch),
        }
    }

    /// This gateway's target concurrency, summed over all fleets.
    pub fn target(&self) -> f64 {
        self.fleets.iter().map(|f| f.target(&self.config)).sum()
    }

    /// Adds a customer with queued requests to the round robin of one fleet, or of all fleets it waits for.
    fn schedule_customer(&mut self, key: u64, only: Option<usize>, at_front: bool) {
        let Some(c) = self.customers.get_mut(&key) else { return };
        let wanted = |fleet| only.is_none_or(|only| only == fleet);
        for q in c.queues.iter_mut().filter(|q| !q.scheduled && !q.waiting.is_empty() && wanted(q.fleet)) {
            q.scheduled = true;
            let round_robin = &mut self.fleets[q.fleet].round_robin;
            if at_front { round_robin.push_front(key) } else { round_robin.push_back(key) }
        }
    }

    /// Sends queued requests, one per customer in turn, while the target concurrency has room.
    fn dispatch(&mut self, n: usize, actions: &mut Vec<Action>) {
        while f64::from(self.fleets[n].aimd.in_flight + 1) <= self.room(n) {
            let Some(key) = self.fleets[n].round_robin.pop_front() else { return };
            let Some(c) = self.customers.get_mut(&key) else { continue };
            let Some(queue) = c.queues.iter_mut().find(|q| q.fleet == n) else { continue };
            queue.scheduled = false;
            while queue.waiting.front().is_some_and(|id| !self.requests.get(id).is_some_and(|r| r.queued)) {
                queue.waiting.pop_front();
            }
            let Some(&id) = queue.waiting.front() else { continue };
            self.refill(key);
            let (c, r) = (&self.customers[&key], &self.requests[&id]);
            if !self.under_cap(c, r) {
                let free_at = c.sent_at + self.send_gap(c, n);
                if c.in_flight == 0 && free_at + self.fleets[n].aimd.likely_latency() > r.best_by {
                    self.give_up(id, actions);
                } else if c.in_flight == 0 {
                    self.tasks.insert((free_at, Task::Resume(key, n)));
                }
                continue; // scheduled again when one of its attempts ends
            }
            let plan = &self.config.plans[c.plan];
            let missing = if r.attempts.is_empty() { r.params.units - c.ceiling_tokens } else { 0.0 };
            if plan.ceiling_rate > 0.0 && missing > 0.0 {
                let wait = missing * c.spread as f64 / plan.ceiling_rate * 1e6;
                self.tasks.insert((self.now + wait as Micros + 1, Task::Resume(key, n)));
                continue;
            }
            let Some(server) = self.pick_server(id) else {
                // No server is eligible now: it waits without blocking other customers.
                let wait = (self.fleets[n].aimd.latency as Micros / 8).max(self.config.tick_us).max(1);
                self.tasks.insert((self.now + wait, Task::Resume(key, n)));
                continue;
            };
            self.send(id, server, actions);
            self.customers.get_mut(&key).expect("just seen").queue(n).pop_front();
            self.schedule_customer(key, Some(n), false);
        }
    }
}
