//! Quotas: whether a request is let in, what part of a quota is granted here, how much may be out at once.

use super::Decider;
use super::records::{Customer, Request, Task};
use crate::interface::*;

/// Periods of the meter for which a reading holds, and over which a lower one is believed, where a customer
/// comes through no more than a few gateways.
const HOLD: f64 = 2.0;
const BELIEVE_OVER: f64 = 3.0;
const FEW: f64 = 4.0;
const FLOOD: f64 = 1.1;
/// A burst is split by this power of the number of gateways at the most; 1 would be evenly.
const BURST_SPLIT: f64 = 0.8;
/// First tries, in excess of later ones, that make their usual time left known.
const SURE: u32 = 20;
const MOST_AWAY: u32 = 1000;

impl Decider {
    pub(super) fn admit(&mut self, n: NewRequest, acts: &mut Vec<Action>) {
        let NewRequest { id, class, customer: key, service, .. } = n;
        if self.requests.contains_key(&id) {
            return;
        }
        let known = (service as usize) < self.fleets.len() && class < self.set.classes.len();
        if !known || n.plan >= self.set.plans.len() {
            return acts.push(Action::Refuse { id, retry_after_us: 0, over_quota: false });
        }
        let (tried_for, fleet) = (self.tried_for(&n), service as usize);
        let (kind, plan) = (&self.set.classes[class], &self.set.plans[n.plan]);
        self.fleets[fleet].aim = self.fleets[fleet].aim.max(kind.aim_us);
        let margin = 2 * self.set.tick_us + kind.aim_us / 100;
        let aim = kind.aim_us.saturating_sub(tried_for).min(n.left_us).saturating_sub(margin);
        let end = if kind.late_worth > 0.0 { n.left_us.saturating_sub(margin) } else { aim };
        let (best_by, end) = (self.now.saturating_add(aim), self.now.saturating_add(end));
        let units = if n.units.is_finite() { n.units.max(0.0) } else { 1.0 };
        let spread = n.spread.clamp(1, self.set.balancers);
        let (rate, ceiling) = (plan.rate / spread as f64, self.fresh_ceiling(plan, spread));
        let level = if self.set.starts_empty { 1.0 + rate * self.age() } else { f64::INFINITY };
        self.forget_some();
        let c = self.customers.entry(key).or_insert_with(|| {
            self.roster.push_back(key);
            Customer { level, ceiling, filled_at: self.now, used: 1.0, ..Customer::default() }
        });
        (c.plan, c.spread, c.first_gateway) = (n.plan, spread, n.first_gateway);
        let level = self.refill(key);
        let burst = self.burst_here(&self.customers[&key]);
        if rate > 0.0 && level < units.min(burst) {
            // Over its quota: the only refusal by customer, whatever the request is worth.
            self.turn_away();
            let retry_after_us = self.advice((units - level) / rate * 1e6);
            return acts.push(Action::Refuse { id, retry_after_us, over_quota: true });
        }
        let mean = self.fleets[fleet].load.mean;
        let (f, soon) = (&self.fleets[fleet], self.now + mean as Micros / 2);
        // A late answer earns little, but costs nothing where room is held, or nobody waits and half is free.
        let idle = f.ring.is_empty() && 2.0 * f64::from(f.load.out) < f.target(&self.set);
        let best_by = if best_by < soon && (idle || self.held_for(&n)) { end } else { best_by };
        if best_by < soon {
            return acts.push(Action::Refuse { id, retry_after_us: self.advice(mean), over_quota: false });
        }
        let c = self.customers.get_mut(&key).expect("just seen");
        c.level -= units;
        c.line(fleet).push_back(id);
        self.line_up(key, Some(fleet), true);
        let (attempts, lots, waits, streaming, done) = (Vec::new(), 0, true, false, false);
        let asked = NewRequest { units, ..n };
        self.requests.insert(id, Request { asked, best_by, end, attempts, lots, waits, streaming, done });
        let needs = self.fleets[fleet].load.needs();
        self.agenda.insert((best_by.saturating_sub(needs).max(self.now + 1), Task::End(id)));
    }

    /// How long the client has been at this request. A later try has what is left of the deadline, while
    /// first tries all have the same share of it; what it has lost of its aim cannot be won back, and work
    /// on it would keep a jam going.
    fn tried_for(&mut self, n: &NewRequest) -> Micros {
        let deadline = self.set.classes[n.class].deadline_us;
        let (usual, sure) = &mut self.usual_left[n.class];
        let near = n.left_us.abs_diff(*usual) <= deadline / 100;
        if near {
            *sure = (*sure + 2).min(SURE * 4);
        } else if !n.repeat {
            *sure = sure.saturating_sub(1);
            if *sure == 0 {
                *usual = n.left_us;
            }
        }
        let later = !near && if self.set.marks_retry { n.repeat } else { *sure >= SURE };
        if !later || self.turned_away == 0 {
            return 0; // nobody comes again who was not turned away: the sign misleads here
        }
        self.turned_away -= 1;
        deadline.saturating_sub(n.left_us)
    }

    pub(super) fn turn_away(&mut self) {
        self.turned_away = (self.turned_away + 1).min(MOST_AWAY);
    }

    pub(super) fn advice(&self, wait: f64) -> Micros {
        let (least, most) = (self.set.tick_us, self.set.max_retry_after_us.max(self.set.tick_us));
        if self.set.retry_after { (wait as Micros).clamp(least, most) } else { 0 }
    }

    /// The meter is late, and silent for those who send nothing.
    fn meter_speaks(&self, c: &Customer) -> bool {
        let hold = HOLD * rarely(c.spread) * self.set.meter_us as f64;
        c.used_at.is_some_and(|at| (self.now - at) as f64 <= hold)
    }

    /// The part of the customer's quota that is granted here: the even share, and of the room that the meter
    /// leaves as much as one of so many gateways may need whose traffic is uneven. Silent meter or a ceiling:
    /// the even share alone. Most of the quota at each of many gateways where going beyond it loses nothing.
    fn slice(&self, c: &Customer) -> f64 {
        let (spread, plan) = (c.spread as f64, &self.set.plans[c.plan]);
        if plan.ceiling_rate > 0.0 {
            return 1.0 / spread;
        }
        let room = if self.meter_speaks(c) { (1.0 - c.used).max(0.0) } else { 0.0 };
        // Where an excess earns what it costs, the even share guards only the load, as the target does; many
        // gateways would refuse what has room. It could harm a fleet that is short.
        let earns = plan.over_worth > 0.0 && plan.over_cost <= plan.over_worth;
        let calm = if self.loose(c) { room / FEW } else { 0.0 };
        let floor = if earns { 1.0 - FEW / spread } else { calm };
        ((1.0 + room * rarely(c.spread)) / spread).max(floor).min(1.0)
    }

    /// The part of its burst for this slice; more than the even one, as gateways seldom need it all at once.
    fn burst_here(&self, c: &Customer) -> f64 {
        let (s, burst) = (self.slice(c), self.set.plans[c.plan].burst);
        let loose = if self.loose(c) { self.set.light_use_burst } else { 0.0 };
        (burst * s.max((c.spread as f64).powf(-BURST_SPLIT))).max(loose)
    }

    /// While the meter reads little use, many gateways would else refuse what the quota has room for.
    fn loose(&self, c: &Customer) -> bool {
        self.meter_speaks(c) && c.used < self.set.light_use_below
    }

    /// What a gateway may count on in a ceiling's store that it sees first now. One that starts again cannot
    /// know what its earlier life spent, so its share was empty when it started.
    fn fresh_ceiling(&self, plan: &Plan, spread: u32) -> f64 {
        (plan.ceiling_rate * self.age()).min(plan.ceiling_burst) / spread as f64
    }

    pub(super) fn refill(&mut self, key: u64) -> f64 {
        let Some(c) = self.customers.get(&key) else { return 0.0 };
        let (slice, plan, spread) = (self.slice(c), &self.set.plans[c.plan], c.spread as f64);
        let dt = (self.now - c.filled_at) as f64 / 1e6;
        let level = (c.level + plan.rate * slice * dt).min(self.burst_here(c));
        let ceiling = (c.ceiling + plan.ceiling_rate / spread * dt).min(plan.ceiling_burst / spread);
        let c = self.customers.get_mut(&key).expect("just seen");
        (c.level, c.ceiling, c.filled_at) = (level, ceiling, self.now);
        level
    }

    /// Customers seen once must not grow memory: who is as good as new is forgotten, two are looked at for
    /// each request.
    fn forget_some(&mut self) {
        for _ in 0..2 {
            let Some(key) = self.roster.pop_front() else { return };
            let level = self.refill(key);
            let c = &self.customers[&key];
            let plan = &self.set.plans[c.plan];
            let waits = c.lines.iter().any(|l| l.in_ring || !l.waiting.is_empty());
            let idle = !waits && c.attempts_out == 0 && !self.meter_speaks(c);
            let ceiling_full = c.ceiling >= self.fresh_ceiling(plan, c.spread) - 1e-9;
            if idle && ceiling_full && (plan.rate == 0.0 || level >= self.burst_here(c)) {
                self.customers.remove(&key);
            } else {
                self.roster.push_back(key);
            }
        }
    }

    /// How long after a send the next may go out, where the part of a told limit is under one, so that it is
    /// kept over time: once the meter has read the limit full; beside a rate, which it tells instead, always.
    pub(super) fn pause(&self, c: &Customer, fleet: usize) -> Micros {
        let plan = &self.set.plans[c.plan];
        let even = self.fleets[fleet].load.mean * c.spread as f64 / f64::from(plan.at_once.max(1));
        let late =
            if c.used >= 1.0 { (even * c.used * c.used).max(2.0 * self.set.meter_us as f64) } else { 0.0 };
        (if plan.rate > 0.0 { even } else { late }) as Micros
    }

    /// Whether the customer may have one more attempt out here: slice x aim + burst in units (Little's law),
    /// or its part of a told limit on attempts; one in any case.
    pub(super) fn under_cap(&self, c: &Customer, r: &NewRequest) -> bool {
        let (plan, slice) = (&self.set.plans[c.plan], self.slice(c));
        if plan.at_once > 0 {
            // Whole parts that add up to the limit; where a gateway's part is none, one goes out at times.
            let place = (self.set.index + self.set.balancers - c.first_gateway % self.set.balancers)
                % self.set.balancers;
            let (place, part) = ((place % c.spread) as f64, plan.at_once as f64 * slice);
            let least = if self.now < c.sent_at + self.pause(c, r.service as usize) { 0.0 } else { 1.0 };
            let whole = ((place + 1.0) * part).floor() - (place * part).floor();
            return (c.attempts_out as f64) < whole.max(least);
        }
        let aim = self.set.classes[r.class].aim_us as f64 / 1e6;
        let cap = plan.rate * slice * aim + self.burst_here(c);
        c.attempts_out == 0 || plan.rate == 0.0 || c.units_out + r.units <= cap || self.held_for(r)
    }

    /// A reading of the meter: the customer's use by all gateways, as a part of its quota.
    pub(super) fn read(&mut self, key: u64, used: f64) {
        self.refill(key);
        let sane = used >= 0.0 && used.is_finite();
        let Some(c) = self.customers.get_mut(&key).filter(|_| sane) else { return };
        if self.set.light_use_below > 0.0 && c.used <= FLOOD && used > FLOOD {
            c.level = c.level.min(0.0); // what a calm reading let it save up is spent by now, elsewhere
        }
        // More use is believed at once, less over some periods: the reading is late, and room granted on
        // a calm past is what a flood spends first.
        let first = if self.set.plans[c.plan].rate > 0.0 { 1.0 - 1.0 / rarely(c.spread) } else { 0.0 };
        let over = BELIEVE_OVER * rarely(c.spread) * self.set.meter_us.max(1) as f64;
        let believe = c.used_at.map_or(first, |at| ((self.now - at) as f64 / over).min(1.0));
        c.used += (used - c.used) * if used > c.used { 1.0 } else { believe };
        c.used_at = Some(self.now);
    }
}

/// How much more rarely than with a few gateways each hears of a customer that comes through so many.
fn rarely(spread: u32) -> f64 {
    (spread as f64 / FEW).sqrt().max(1.0)
}
