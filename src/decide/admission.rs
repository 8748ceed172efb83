//! Quotas: which requests are admitted, this gateway's share of a quota, and the cap on work in flight.

use super::Decider;
use super::records::{Customer, Request, Task};
use crate::interface::*;

/// How long a meter reading is valid, and over how long a lower one is blended in, in meter periods, for a
/// customer of at most `FEW_GATEWAYS` gateways.
const READING_VALID_PERIODS: f64 = 2.0;
const LOWER_READING_PERIODS: f64 = 3.0;
const FEW_GATEWAYS: f64 = 4.0;
/// A reading above this multiple of the quota takes back what was saved up under light use.
const OVERUSE: f64 = 1.1;
/// A gateway gets at least 1 / gateways^this of a burst; 1 would be an even split.
const BURST_SPLIT_EXPONENT: f64 = 0.8;
/// Confidence from which the usual time left of first tries is relied on; see `already_spent`.
const CONFIDENT: u32 = 20;
const MAX_UNSERVED: u32 = 1000;

impl Decider {
    pub(super) fn admit(&mut self, n: NewRequest, actions: &mut Vec<Action>) {
        let NewRequest { id, class, customer: key, service, .. } = n;
        if self.requests.contains_key(&id) {
            return;
        }
        let known = (service as usize) < self.fleets.len() && class < self.config.classes.len();
        if !known || n.plan >= self.config.plans.len() {
            return actions.push(Action::Refuse { id, retry_after_us: 0, over_quota: false });
        }
        let (spent, fleet) = (self.already_spent(&n), service as usize);
        let (class_settings, plan) = (self.config.classes[class], &self.config.plans[n.plan]);
        self.fleets[fleet].aim = self.fleets[fleet].aim.max(class_settings.aim_us);
        let margin = 2 * self.config.tick_us + class_settings.aim_us / 100;
        let aim = class_settings.aim_us.saturating_sub(spent).min(n.left_us).saturating_sub(margin);
        let deadline = if class_settings.late_worth > 0.0 { n.left_us } else { aim };
        let (best_by, deadline) = (self.now.saturating_add(aim), self.now.saturating_add(deadline));
        let units = if n.units.is_finite() { n.units.max(0.0) } else { 1.0 };
        let spread = n.spread.clamp(1, self.config.balancers);
        let (rate, ceiling_tokens) = (plan.rate / spread as f64, self.initial_ceiling(plan, spread));
        let tokens = if self.config.starts_empty { 1.0 + rate * self.age() } else { f64::INFINITY };
        self.evict_idle_customers();
        let c = self.customers.entry(key).or_insert_with(|| {
            self.eviction_queue.push_back(key);
            Customer { tokens, ceiling_tokens, refilled_at: self.now, used: 1.0, ..Customer::default() }
        });
        (c.plan, c.spread, c.first_gateway) = (n.plan, spread, n.first_gateway);
        let tokens = self.refill(key);
        let burst = self.local_burst(&self.customers[&key]);
        if rate > 0.0 && tokens < units.min(burst) {
            // Over its quota: the only refusal that depends on the customer, whatever the request's class.
            self.record_unserved();
            let retry_after_us = self.retry_after((units - tokens) / rate * 1e6);
            return actions.push(Action::Refuse { id, retry_after_us, over_quota: true });
        }
        let mean = self.fleets[fleet].aimd.latency;
        let (f, soon) = (&self.fleets[fleet], self.now + mean as Micros / 2);
        // A late answer is worth little but costs nothing if room is booked, or none wait and half is free.
        let idle = f.round_robin.is_empty() && 2.0 * f64::from(f.aimd.in_flight) < f.target(&self.config);
        let best_by = if best_by < soon && (idle || self.booking_has_room(&n)) { deadline } else { best_by };
        if best_by < soon {
            let retry_after_us = self.retry_after(mean);
            return actions.push(Action::Refuse { id, retry_after_us, over_quota: false });
        }
        let c = self.customers.get_mut(&key).expect("just seen");
        c.tokens -= units;
        c.queue(fleet).push_back(id);
        self.schedule_customer(key, Some(fleet), true);
        let params = NewRequest { units, ..n };
        self.requests.insert(id, Request::new(params, class_settings, best_by, deadline));
        let likely = self.fleets[fleet].aimd.likely_latency();
        self.tasks.insert((best_by.saturating_sub(likely).max(self.now + 1), Task::Expire(id)));
    }

    /// How long the client has already tried this request: first tries all have the same time left, retries
    /// less. That part of the aim is lost, and serving requests already late would prolong an overload.
    fn already_spent(&mut self, n: &NewRequest) -> Micros {
        let deadline_us = self.config.classes[n.class].deadline_us;
        let (usual, confidence) = &mut self.usual_time_left[n.class];
        let near = n.left_us.abs_diff(*usual) <= deadline_us / 100;
        if near {
            *confidence = (*confidence + 2).min(CONFIDENT * 4);
        } else if !n.repeat {
            *confidence = confidence.saturating_sub(1);
            if *confidence == 0 {
                *usual = n.left_us;
            }
        }
        let is_retry = !near && if self.config.marks_retry { n.repeat } else { *confidence >= CONFIDENT };
        if !is_retry || self.unserved == 0 {
            return 0; // only unserved requests are retried: an odd time left means nothing here
        }
        self.unserved -= 1;
        deadline_us.saturating_sub(n.left_us)
    }

    pub(super) fn record_unserved(&mut self) {
        self.unserved = (self.unserved + 1).min(MAX_UNSERVED);
    }

    pub(super) fn retry_after(&self, wait: f64) -> Micros {
        let (min, max) = (self.config.tick_us, self.config.max_retry_after_us.max(self.config.tick_us));
        if self.config.retry_after { (wait as Micros).clamp(min, max) } else { 0 }
    }

    /// Readings come with a delay, and none come for a customer that sends nothing.
    fn has_fresh_reading(&self, c: &Customer) -> bool {
        let valid = READING_VALID_PERIODS * reading_gap(c.spread) * self.config.meter_us as f64;
        c.used_at.is_some_and(|at| (self.now - at) as f64 <= valid)
    }

    /// This gateway's share of the customer's quota: the even share, plus part of the quota's unused rest for
    /// traffic that is uneven over the gateways. Only the even share without a fresh reading or under a
    /// ceiling. With many gateways each gets most of the quota if exceeding it loses nothing.
    fn quota_share(&self, c: &Customer) -> f64 {
        let (spread, plan) = (c.spread as f64, &self.config.plans[c.plan]);
        if plan.ceiling_rate > 0.0 {
            return 1.0 / spread;
        }
        let unused = if self.has_fresh_reading(c) { (1.0 - c.used).max(0.0) } else { 0.0 };
        // Where excess earns what it costs, the even share only limits load, as the target does, and many
        // gateways would refuse what the quota has room for. It could harm a fleet short of capacity.
        let excess_pays = plan.over_worth > 0.0 && plan.over_cost <= plan.over_worth;
        let light = if self.in_light_use(c) { unused / FEW_GATEWAYS } else { 0.0 };
        let floor = if excess_pays { 1.0 - FEW_GATEWAYS / spread } else { light };
        ((1.0 + unused * reading_gap(c.spread)) / spread).max(floor).min(1.0)
    }

    /// This gateway's part of the burst: more than an even one, as gateways seldom all need it at once.
    fn local_burst(&self, c: &Customer) -> f64 {
        let (share, burst) = (self.quota_share(c), self.config.plans[c.plan].burst);
        let light = if self.in_light_use(c) { self.config.light_use_burst } else { 0.0 };
        (burst * share.max((c.spread as f64).powf(-BURST_SPLIT_EXPONENT))).max(light)
    }

    /// Light use allows a larger burst: else many gateways would refuse what the quota has room for.
    fn in_light_use(&self, c: &Customer) -> bool {
        self.has_fresh_reading(c) && c.used < self.config.light_use_below
    }

    /// Initial tokens of a ceiling: empty at the gateway's start, as it cannot know what it spent before.
    fn initial_ceiling(&self, plan: &Plan, spread: u32) -> f64 {
        (plan.ceiling_rate * self.age()).min(plan.ceiling_burst) / spread as f64
    }

    pub(super) fn refill(&mut self, key: u64) -> f64 {
        let Some(c) = self.customers.get(&key) else { return 0.0 };
        let (share, plan, spread) = (self.quota_share(c), &self.config.plans[c.plan], c.spread as f64);
        let dt = (self.now - c.refilled_at) as f64 / 1e6;
        let tokens = (c.tokens + plan.rate * share * dt).min(self.local_burst(c));
        let ceiling = (c.ceiling_tokens + plan.ceiling_rate / spread * dt).min(plan.ceiling_burst / spread);
        let c = self.customers.get_mut(&key).expect("just seen");
        (c.tokens, c.ceiling_tokens, c.refilled_at) = (tokens, ceiling, self.now);
        tokens
    }

    /// Bounds memory: checks two customers per request and forgets those whose state is that of a new one.
    fn evict_idle_customers(&mut self) {
        for _ in 0..2 {
            let Some(key) = self.eviction_queue.pop_front() else { return };
            let tokens = self.refill(key);
            let c = &self.customers[&key];
            let plan = &self.config.plans[c.plan];
            let waiting = c.queues.iter().any(|q| q.scheduled || !q.waiting.is_empty());
            let idle = !waiting && c.in_flight == 0 && !self.has_fresh_reading(c);
            let ceiling_full = c.ceiling_tokens >= self.initial_ceiling(plan, c.spread) - 1e-9;
            if idle && ceiling_full && (plan.rate == 0.0 || tokens >= self.local_burst(c)) {
                self.customers.remove(&key);
            } else {
                self.eviction_queue.push_back(key);
            }
        }
    }

    /// Least time between sends where this gateway's part of `at_once` is under one, so that the limit holds
    /// over time. Beside a rate always, as the meter then reads the rate; else once it reads the limit full.
    pub(super) fn send_gap(&self, c: &Customer, fleet: usize) -> Micros {
        let plan = &self.config.plans[c.plan];
        let gap = self.fleets[fleet].aimd.latency * c.spread as f64 / f64::from(plan.at_once.max(1));
        let late =
            if c.used >= 1.0 { (gap * c.used * c.used).max(2.0 * self.config.meter_us as f64) } else { 0.0 };
        (if plan.rate > 0.0 { gap } else { late }) as Micros
    }

    /// Whether the customer may have one more attempt in flight here: up to share x rate x aim + burst units
    /// (Little's law), or its part of `at_once`; one is always allowed, but see `send_gap`.
    pub(super) fn under_cap(&self, c: &Customer, request: &Request) -> bool {
        let r = &request.params;
        let (plan, share) = (&self.config.plans[c.plan], self.quota_share(c));
        if plan.at_once > 0 {
            // Whole parts that add up to the limit; a gateway whose part is 0 may send one now and then.
            let index = (self.config.index + self.config.balancers - c.first_gateway % self.config.balancers)
                % self.config.balancers;
            let (index, part) = ((index % c.spread) as f64, plan.at_once as f64 * share);
            let min = if self.now < c.sent_at + self.send_gap(c, r.service as usize) { 0.0 } else { 1.0 };
            let whole = ((index + 1.0) * part).floor() - (index * part).floor();
            return (c.in_flight as f64) < whole.max(min);
        }
        let aim = request.aim_us as f64 / 1e6;
        let cap = plan.rate * share * aim + self.local_burst(c);
        c.in_flight == 0 || plan.rate == 0.0 || c.units_in_flight + r.units <= cap || self.booking_has_room(r)
    }

    /// Takes a meter reading: the customer's use over all gateways, as a fraction of its quota.
    pub(super) fn record_reading(&mut self, key: u64, used: f64) {
        self.refill(key);
        let valid = used >= 0.0 && used.is_finite();
        let Some(c) = self.customers.get_mut(&key).filter(|_| valid) else { return };
        if self.config.light_use_below > 0.0 && c.used <= OVERUSE && used > OVERUSE {
            c.tokens = c.tokens.min(0.0); // tokens saved under light use have been spent at other gateways
        }
        // A higher reading applies at once, a lower one over some periods: readings are late, and a sudden
        // flood would first spend the room granted for a quiet past.
        let initial =
            if self.config.plans[c.plan].rate > 0.0 { 1.0 - 1.0 / reading_gap(c.spread) } else { 0.0 };
        let blend_us = LOWER_READING_PERIODS * reading_gap(c.spread) * self.config.meter_us.max(1) as f64;
        let weight = c.used_at.map_or(initial, |at| ((self.now - at) as f64 / blend_us).min(1.0));
        c.used += (used - c.used) * if used > c.used { 1.0 } else { weight };
        c.used_at = Some(self.now);
    }
}

/// How much longer than with few gateways one waits between readings of a customer of `spread` gateways.
fn reading_gap(spread: u32) -> f64 {
    (spread as f64 / FEW_GATEWAYS).sqrt().max(1.0)
}
