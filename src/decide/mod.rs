//! All decisions of a curlewfront gateway, and every tuned value. Its types, events and actions stand in
//! `interface.rs`. The module does no I/O, reads no clock and shares nothing: equal events, equal actions.
//!
//! The path of a request: `admit` (token bucket of its customer) -> its line, one for each customer and fleet
//! -> `pump` (cap on what the customer has out, target of the fleet, ceiling) -> `pick` -> `returned`
//! (answer, or a further attempt on the retry budget) -> `close`. docs/design.md tells why.

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
    /// Takes new settings while requests are open. Classes, plans and services keep their numbers: they are
    /// appended or changed in place.
    pub fn reconfigure(&mut self, set: Settings) -> Result<(), SettingsError> {
        set.check()?;
        if set.classes.len() < self.set.classes.len() || set.plans.len() < self.set.plans.len() {
            return Err(SettingsError("classes and plans may be appended or changed, not taken away"));
        }
        // What was earned so far was earned under the old rates.
        let keys: Vec<u64> = self.customers.keys().copied().collect();
        keys.into_iter().for_each(|key| _ = self.refill(key));
        for c in self.customers.values_mut().filter(|c| self.set.plans[c.plan].rate == 0.0) {
            c.level = f64::INFINITY; // what was used without a quota is held against nobody
        }
        self.usual_left.resize(set.classes.len(), (0, 0));
        let fleets = self.fleets.len().max(set.services.max(1) as usize);
        self.fleets.resize_with(fleets, || Fleet::new(&set));
        self.set = set;
        Ok(())
    }

    /// Takes one event and adds what is to be done about it to `acts`.
    pub fn handle(&mut self, now: Micros, event: Event, acts: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.started.is_none() {
            self.started = Some(now);
            self.agenda.extend(self.set.ask_for_list.then_some((now, Task::Ask)));
        }
        self.fleets.iter_mut().for_each(|f| f.grow(self.now, &self.set, &self.servers));
        match event {
            Event::List { kind, entries } => self.listed(kind, &entries),
            Event::Request(r) => self.admit(r, acts),
            Event::Started { id, .. } => self.began(id),
            Event::AttemptEnded(r) => {
                // An answer past the aim is a time-out in all but name, also where it still earns something.
                let late = self.requests.get(&r.id).is_some_and(|q| self.now > q.best_by);
                self.learn(r.server, r.outcome, r.latency_us as f64, late);
                self.returned(r, acts);
            }
            Event::Withdrawn { id } => {
                self.turn_away();
                self.close(id, None, acts);
            }
            Event::MeterReading { customer, used } => {
                self.read(customer, used);
                self.line_up(customer, None, false);
            }
            Event::Timer { .. } => {}
        }
        while let Some(&(at, task)) = self.agenda.first()
            && (at <= self.now || !self.live(task))
        {
            self.agenda.remove(&(at, task));
            self.due(task, acts);
        }
        for fleet in 0..self.fleets.len() {
            self.pump(fleet, acts);
        }
        if let Some(&(at, _)) = self.agenda.first()
            && self.armed.is_none_or(|armed| at < armed || armed <= self.now)
        {
            self.armed = Some(at);
            acts.push(Action::Timer { at_us: at, token: 0 });
        }
    }

    /// Whether a task still has something to do; for one that has not nobody is woken.
    fn live(&self, task: Task) -> bool {
        let Task::End(id) = task else { return true };
        self.requests.get(&id).is_some_and(|r| !r.done && !r.streaming)
    }

    fn due(&mut self, task: Task, acts: &mut Vec<Action>) {
        match task {
            _ if !self.live(task) => {}
            Task::End(id) => {
                let r = &self.requests[&id];
                let needs = self.fleets[r.fleet()].load.needs();
                let last = if r.waits { r.best_by.saturating_sub(needs) } else { r.end };
                if last <= self.now {
                    self.give_up(id, acts);
                } else {
                    self.agenda.insert((last, task));
                }
            }
            Task::Ready(key, fleet) => self.line_up(key, Some(fleet), false),
            Task::Ask => acts.push(Action::Watch),
        }
    }

    /// The target concurrency here, of all fleets together.
    pub fn target(&self) -> f64 {
        self.fleets.iter().map(|f| f.target(&self.set)).sum()
    }

    /// Puts a customer that waits into the ring of one fleet, or of all that it waits for.
    fn line_up(&mut self, key: u64, only: Option<usize>, at_front: bool) {
        let Some(c) = self.customers.get_mut(&key) else { return };
        let asked = |fleet| only.is_none_or(|only| only == fleet);
        for l in c.lines.iter_mut().filter(|l| !l.in_ring && !l.waiting.is_empty() && asked(l.fleet)) {
            l.in_ring = true;
            let ring = &mut self.fleets[l.fleet].ring;
            if at_front { ring.push_front(key) } else { ring.push_back(key) }
        }
    }

    /// Sends what waits, one of each customer in turn, while the target has room.
    fn pump(&mut self, n: usize, acts: &mut Vec<Action>) {
        while f64::from(self.fleets[n].load.out + 1) <= self.room(n) {
            let Some(key) = self.fleets[n].ring.pop_front() else { return };
            let Some(c) = self.customers.get_mut(&key) else { continue };
            let Some(line) = c.lines.iter_mut().find(|l| l.fleet == n) else { continue };
            line.in_ring = false;
            while line.waiting.front().is_some_and(|id| !self.requests.get(id).is_some_and(|r| r.waits)) {
                line.waiting.pop_front();
            }
            let Some(&id) = line.waiting.front() else { continue };
            self.refill(key);
            let (c, r) = (&self.customers[&key], &self.requests[&id]);
            if !self.under_cap(c, &r.asked) {
                let free_at = c.sent_at + self.pause(c, n);
                if c.attempts_out == 0 && free_at + self.fleets[n].load.needs() > r.best_by {
                    self.give_up(id, acts);
                } else if c.attempts_out == 0 {
                    self.agenda.insert((free_at, Task::Ready(key, n)));
                }
                continue; // lines up again when one of its attempts ends
            }
            let plan = &self.set.plans[c.plan];
            let short = if r.attempts.is_empty() { r.asked.units - c.ceiling } else { 0.0 };
            if plan.ceiling_rate > 0.0 && short > 0.0 {
                let wait = short * c.spread as f64 / plan.ceiling_rate * 1e6;
                self.agenda.insert((self.now + wait as Micros + 1, Task::Ready(key, n)));
                continue;
            }
            let Some(server) = self.pick(id) else {
                // No server may have it now: it waits without holding up the other customers.
                let wait = (self.fleets[n].load.mean as Micros / 8).max(self.set.tick_us).max(1);
                self.agenda.insert((self.now + wait, Task::Ready(key, n)));
                continue;
            };
            self.send(id, server, acts);
            self.customers.get_mut(&key).expect("just seen").line(n).pop_front();
            self.line_up(key, Some(n), false);
        }
    }
}
