//! All decisions of a curlewfront gateway, and every tuned value. Its types, events and actions stand in
//! `interface.rs`. The module does no I/O, reads no clock and shares nothing: equal events, equal actions.
//!
//! The path of a request: `admit` (token bucket of its customer) -> waiting line of the customer -> `pump`
//! (cap on what the customer has out, target concurrency, ceiling) -> `pick` (server) -> `returned` (answer,
//! or a further attempt on the retry budget) -> `finish`. docs/design.md tells why.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// AIMD: permits for each server of the fleet, over all gateways: at the start, and gained each second.
const START_PER_SERVER: f64 = 8.0;
const GAIN_PER_SERVER: f64 = 0.25;
/// AIMD: what a cut leaves of the target, and the part of the last second's outcomes that calls for one.
const CUT_TO: f64 = 0.8;
const BAD_MARK: f64 = 0.1;
const WINDOW: Micros = 1_000_000;
/// One server in so many may be at its worst without the fleet being blamed for it.
const BLAME_SPARES: usize = 4;
/// Retry budget: further attempts for each first one, and how many may be saved up.
const RETRY_PART: f64 = 0.1;
const RETRY_SAVED: f64 = 10.0;
/// Periods of the meter over which a lower reading is believed.
const BELIEVE_OVER: f64 = 12.0;
/// A request waits while this many usual deviations past the mean time of an answer are left to it.
const WAIT_DEVIATIONS: f64 = 2.0;
/// A second copy goes out once a first has taken so many times the usual deviation past the mean.
const HEDGE_DEVIATIONS: f64 = 4.0;
/// Ejection: part of a server's outcomes that failed, alone and as a multiple of the fleet's.
const EJECT_AT: f64 = 0.3;
const EJECT_TIMES_FLEET: f64 = 2.0;
const EJECT_FOR: Micros = 1_000_000;
const EJECT_LONGEST: Micros = 8_000_000;
/// Weight of one outcome in a server's moving averages.
const LEARN: f64 = 0.15;
/// Work for a cold server, as a part of what its share of a warm one's would be.
const COLD_PART: f64 = 1.0;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    /// A waiting request can no longer be answered in time.
    Wait(u64),
    /// A request's time is up.
    End(u64),
    Hedge(u64),
    /// A customer's ceiling has room again.
    Ready(u64),
    Pump,
    Ask,
}

struct Server {
    zone: u32,
    cell: u32,
    up: bool,
    weight: f64,
    up_since: Micros,
    out: u32,
    latency: f64,
    bad: f64,
    seen: u32,
    seen_bad: u32,
    ejected_until: Micros,
    eject_for: Micros,
    /// Back from ejection: one request at a time until one is served.
    on_trial: bool,
    sent_rate: f64,
    sent_at: Micros,
}

struct Customer {
    plan: usize,
    spread: u32,
    first: u32,
    level: f64,
    ceiling: f64,
    filled_at: Micros,
    units_out: f64,
    attempts_out: u32,
    waiting: VecDeque<u64>,
    in_ring: bool,
    used: f64,
    used_at: Option<Micros>,
}

struct Attempt {
    server: u64,
    zone: u32,
    cell: u32,
    sent_at: Micros,
    out: bool,
    may_have_run: bool,
}

struct Request {
    class: usize,
    customer: u64,
    units: f64,
    /// An answer by then earns its full worth; `end`: the last moment that earns anything.
    best_by: Micros,
    end: Micros,
    attempts: Vec<Attempt>,
    waits: bool,
    streaming: bool,
    done: bool,
}

/// One gateway's decisions.
pub struct Decider {
    set: Settings,
    rng: fastrand::Rng,
    now: Micros,
    started: Option<Micros>,
    servers: BTreeMap<u64, Server>,
    customers: HashMap<u64, Customer>,
    requests: HashMap<u64, Request>,
    /// Customers with a request that may be next, each at most once: round robin over customers.
    ring: VecDeque<u64>,
    /// All customers, looked through a few at a time for those that can be forgotten.
    roster: VecDeque<u64>,
    agenda: BTreeSet<(Micros, Task)>,
    armed: Option<Micros>,
    target: f64,
    grown_at: Micros,
    cut_at: Micros,
    out: u32,
    recent: VecDeque<(Micros, u64, bool)>,
    retries: f64,
    mean: f64,
    deviation: f64,
    asks_failed: u32,
}

impl Decider {
    pub fn new(set: Settings, seed: u64) -> Result<Decider, SettingsError> {
        let sane = |x: f64| x.is_finite() && x >= 0.0;
        if set.balancers == 0 || set.index >= set.balancers {
            return Err(SettingsError("this gateway is not one of the gateways"));
        }
        if set.classes.is_empty() || set.plans.is_empty() {
            return Err(SettingsError("there must be a class and a plan"));
        }
        if set.classes.iter().any(|c| c.aim_us == 0 || c.deadline_us == 0 || !sane(c.late_worth)) {
            return Err(SettingsError("a class needs an aim, a deadline and a worth when late"));
        }
        if set.plans.iter().any(|p| ![p.rate, p.burst, p.ceiling_rate, p.ceiling_burst].into_iter().all(sane))
        {
            return Err(SettingsError("a plan's rates and bursts must be finite and not negative"));
        }
        if ![set.cold_from, set.fall_multiple].into_iter().all(sane) {
            return Err(SettingsError("the figures of a cold server must be finite and not negative"));
        }
        let mean = set.classes.iter().map(|c| c.aim_us).min().unwrap_or(1) as f64 / 8.0;
        Ok(Decider {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            started: None,
            servers: BTreeMap::new(),
            customers: HashMap::new(),
            requests: HashMap::new(),
            ring: VecDeque::new(),
            roster: VecDeque::new(),
            agenda: BTreeSet::new(),
            armed: None,
            target: 0.0,
            grown_at: 0,
            cut_at: 0,
            out: 0,
            recent: VecDeque::new(),
            retries: RETRY_SAVED,
            mean,
            deviation: mean / 2.0,
            asks_failed: 0,
            set,
        })
    }

    /// Takes one event and adds what is to be done about it to `acts`.
    pub fn handle(&mut self, now: Micros, event: Event, acts: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.started.is_none() {
            self.started = Some(now);
            self.grown_at = now;
            if self.set.ask_for_list {
                self.agenda.insert((now, Task::Ask));
            }
        }
        self.grow();
        match event {
            Event::List { kind, entries } => self.listed(kind, &entries),
            Event::Request { id, class, plan, customer, left_us, units, spread, first } => {
                self.admit(id, class, plan, customer, left_us, units, spread, first, acts)
            }
            Event::Started { id, attempt } => self.began(id, attempt, acts),
            Event::Returned {
                id, attempt, server, outcome, latency_us, closed, used, final_units, ..
            } => {
                self.learn(server, outcome, latency_us);
                self.returned(id, attempt, outcome, closed, used, final_units, acts);
            }
            Event::Withdrawn { id } => self.close(id, None, acts),
            Event::Probed { .. } | Event::Timer { .. } => {}
        }
        while let Some(&(at, task)) = self.agenda.first().filter(|(at, _)| *at <= self.now) {
            self.agenda.remove(&(at, task));
            self.due(task, acts);
        }
        self.pump(acts);
        if let Some(&(at, _)) = self.agenda.first()
            && self.armed.is_none_or(|armed| at < armed || armed <= self.now)
        {
            self.armed = Some(at);
            acts.push(Action::Timer { at_us: at, token: 0 });
        }
    }

    // ---- the list of servers ----

    fn listed(&mut self, kind: ListKind, entries: &[Entry]) {
        if kind == ListKind::Failed {
            self.asks_failed += 1;
            let wait = (self.set.ask_within_us / 16).max(1) << self.asks_failed.min(3);
            self.agenda.insert((self.now + wait + self.rng.u64(0..=wait / 4), Task::Ask));
            return;
        }
        self.asks_failed = 0;
        if kind != ListKind::Changes {
            self.servers.values_mut().for_each(|s| s.up = false);
        }
        for e in entries {
            let mean = self.mean;
            let s = self.servers.entry(e.server).or_insert_with(|| Server {
                zone: e.zone,
                cell: e.cell,
                up: false,
                weight: 1.0,
                up_since: e.up_since_us,
                out: 0,
                latency: mean,
                bad: 0.0,
                seen: 0,
                seen_bad: 0,
                ejected_until: 0,
                eject_for: EJECT_FOR,
                on_trial: false,
                sent_rate: 0.0,
                sent_at: 0,
            });
            if e.up_since_us > s.up_since {
                // Started anew: nothing learned of the process before it holds.
                (s.latency, s.bad, s.ejected_until, s.eject_for) = (mean, 0.0, 0, EJECT_FOR);
                (s.on_trial, s.sent_rate) = (false, 0.0);
            }
            (s.zone, s.cell, s.up, s.up_since) = (e.zone, e.cell, e.state == State::Up, e.up_since_us);
            s.weight = if e.weight.is_finite() && e.weight > 0.0 { e.weight } else { 1.0 };
        }
        self.servers.retain(|_, s| s.up || s.out > 0);
        let start = self.per_server(START_PER_SERVER);
        if self.target == 0.0 {
            self.target = start;
        }
        self.target = self.target.max(self.floor());
    }

    fn up(&self) -> usize {
        self.servers.values().filter(|s| s.up).count()
    }

    fn per_server(&self, permits: f64) -> f64 {
        permits * self.up() as f64 / self.set.balancers as f64
    }

    fn floor(&self) -> f64 {
        self.per_server(1.0).max(2.0)
    }

    // ---- quotas ----

    /// The part of the customer's quota that is granted here: the even share, and as much again as the meter
    /// says is left over. Silent meter, or a ceiling: the even share alone.
    fn share(&self, c: &Customer) -> f64 {
        let even = 1.0 / c.spread as f64;
        let fresh = c.used_at.is_some_and(|at| self.now - at <= 2 * self.set.meter_us);
        if !fresh || self.set.plans[c.plan].ceiling_rate > 0.0 {
            return even;
        }
        even * (1.0 + (1.0 - c.used).max(0.0))
    }

    fn fresh_ceiling(&self, plan: &Plan, spread: u32) -> f64 {
        // A gateway that starts again cannot know what its earlier life spent, so its share starts empty.
        let age = (self.now - self.started.unwrap_or(self.now)) as f64 / 1e6;
        (plan.ceiling_rate * age).min(plan.ceiling_burst) / spread as f64
    }

    fn refill(&mut self, key: u64) {
        let Some(c) = self.customers.get(&key) else { return };
        let (share, plan) = (self.share(c), &self.set.plans[c.plan]);
        let dt = (self.now - c.filled_at) as f64 / 1e6;
        let level = (c.level + plan.rate * share * dt).min(plan.burst / c.spread as f64);
        let spread = c.spread as f64;
        let ceiling = (c.ceiling + plan.ceiling_rate / spread * dt).min(plan.ceiling_burst / spread);
        if let Some(c) = self.customers.get_mut(&key) {
            (c.level, c.ceiling, c.filled_at) = (level, ceiling, self.now);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn admit(
        &mut self,
        id: u64,
        class: usize,
        plan: usize,
        key: u64,
        left: Micros,
        units: f64,
        spread: u32,
        first: u32,
        acts: &mut Vec<Action>,
    ) {
        if self.requests.contains_key(&id) {
            return;
        }
        if class >= self.set.classes.len() || plan >= self.set.plans.len() {
            acts.push(Action::Refuse { id, retry_after_us: 0 });
            return;
        }
        let units = if units.is_finite() { units.max(0.0) } else { 1.0 };
        let spread = spread.clamp(1, self.set.balancers);
        self.forget_some();
        if !self.customers.contains_key(&key) {
            let p = &self.set.plans[plan];
            let c = Customer {
                plan,
                spread,
                first,
                level: p.burst / spread as f64,
                ceiling: self.fresh_ceiling(p, spread),
                filled_at: self.now,
                units_out: 0.0,
                attempts_out: 0,
                waiting: VecDeque::new(),
                in_ring: false,
                used: 1.0,
                used_at: None,
            };
            self.customers.insert(key, c);
            self.roster.push_back(key);
        }
        self.refill(key);
        let margin = 2 * self.set.tick_us + self.set.classes[class].aim_us / 100;
        let aim = self.set.classes[class].aim_us.min(left).saturating_sub(margin);
        let end = if self.set.classes[class].late_worth > 0.0 { left.saturating_sub(margin) } else { aim };
        let late = (aim as f64) < self.mean / 2.0;
        let p = &self.set.plans[plan];
        let c = self.customers.get_mut(&key).expect("just made");
        if p.rate > 0.0 && c.level < units.min(p.burst / spread as f64) {
            // Over its quota: the only refusal by customer, whatever the request is worth.
            let wait = (units - c.level) / (p.rate / spread as f64) * 1e6;
            acts.push(Action::Refuse { id, retry_after_us: self.advice(wait) });
            return;
        }
        if late {
            acts.push(Action::Refuse { id, retry_after_us: self.advice(self.mean) });
            return;
        }
        c.level -= units;
        c.waiting.push_back(id);
        if !c.in_ring {
            c.in_ring = true;
            self.ring.push_back(key);
        }
        let (best_by, end) = (self.now + aim, self.now + end);
        let attempts = Vec::new();
        let (waits, streaming, done) = (true, false, false);
        let r = Request { class, customer: key, units, best_by, end, attempts, waits, streaming, done };
        self.requests.insert(id, r);
        self.agenda.insert((end, Task::End(id)));
        self.agenda.insert((best_by.saturating_sub(self.needs()).max(self.now + 1), Task::Wait(id)));
    }

    /// The time that an attempt needs to be answered in all likelihood.
    fn needs(&self) -> Micros {
        (self.mean + WAIT_DEVIATIONS * self.deviation) as Micros
    }

    fn advice(&self, wait: f64) -> Micros {
        if !self.set.retry_after {
            return 0;
        }
        (wait.max(self.set.tick_us as f64) as u64).min(self.set.max_retry_after_us)
    }

    /// Customers seen once must not grow memory: who is as good as new is forgotten, two looked at for each
    /// request.
    fn forget_some(&mut self) {
        for _ in 0..2 {
            let Some(key) = self.roster.pop_front() else {
                return;
            };
            self.refill(key);
            let c = &self.customers[&key];
            let plan = &self.set.plans[c.plan];
            let idle = c.waiting.is_empty() && c.attempts_out == 0 && !c.in_ring;
            let silent = c.used_at.is_none_or(|at| self.now - at > 2 * self.set.meter_us);
            let full = c.level >= plan.burst / c.spread as f64
                && c.ceiling >= self.fresh_ceiling(plan, c.spread) - 1e-9;
            if idle && silent && full {
                self.customers.remove(&key);
            } else {
                self.roster.push_back(key);
            }
        }
    }

    /// Whether the customer may have one more attempt out here: slice x aim + burst in units (Little's law),
    /// or its part of a told limit on attempts; one in any case.
    fn under_cap(&self, c: &Customer, class: usize, units: f64) -> bool {
        let (plan, share) = (&self.set.plans[c.plan], self.share(c));
        // The least one gives way where a told limit is too small for all its gateways and the meter reads full.
        let full = c.used >= 1.0 && c.used_at.is_some_and(|at| self.now - at <= 2 * self.set.meter_us);
        if c.attempts_out == 0 && !(plan.at_once > 0 && full) {
            return true;
        }
        if plan.at_once > 0 {
            let place =
                (self.set.index + self.set.balancers - c.first % self.set.balancers) % self.set.balancers;
            let place = (place % c.spread) as f64;
            let part = plan.at_once as f64 * share;
            return (c.attempts_out as f64) < ((place + 1.0) * part).floor() - (place * part).floor();
        }
        let aim = self.set.classes[class].aim_us as f64 / 1e6;
        plan.rate == 0.0 || c.units_out + units <= share * (plan.rate * aim + plan.burst)
    }

    // ---- sending ----

    fn pump(&mut self, acts: &mut Vec<Action>) {
        while (self.out as f64) < self.target {
            let Some(key) = self.ring.pop_front() else { return };
            let Some(c) = self.customers.get_mut(&key) else {
                continue;
            };
            c.in_ring = false;
            while c.waiting.front().is_some_and(|id| !self.requests.get(id).is_some_and(|r| r.waits)) {
                c.waiting.pop_front();
            }
            let Some(&id) = c.waiting.front() else { continue };
            self.refill(key);
            let (c, r) = (&self.customers[&key], &self.requests[&id]);
            if !self.under_cap(c, r.class, r.units) {
                continue;
            }
            let plan = &self.set.plans[c.plan];
            if plan.ceiling_rate > 0.0 && r.attempts.is_empty() && c.ceiling < r.units {
                let wait = (r.units - c.ceiling) * c.spread as f64 / plan.ceiling_rate * 1e6;
                self.agenda.insert((self.now + wait as u64 + 1, Task::Ready(key)));
                continue;
            }
            let picked = self.pick(id);
            let c = self.customers.get_mut(&key).expect("seen above");
            let Some(server) = picked else {
                c.in_ring = true;
                self.ring.push_front(key);
                self.agenda.insert((self.now + (self.mean as u64 / 8).max(self.set.tick_us), Task::Pump));
                return;
            };
            c.waiting.pop_front();
            if !c.waiting.is_empty() {
                c.in_ring = true;
                self.ring.push_back(key);
            }
            self.send(id, server, acts);
        }
    }

    fn send(&mut self, id: u64, server: u64, acts: &mut Vec<Action>) {
        let r = self.requests.get_mut(&id).expect("picked for it");
        let c = self.customers.get_mut(&r.customer).expect("holds a request");
        let s = self.servers.get_mut(&server).expect("picked");
        if r.attempts.is_empty() {
            c.ceiling -= r.units;
            self.retries = (self.retries + RETRY_PART).min(RETRY_SAVED);
            let wait = self.mean + HEDGE_DEVIATIONS * self.deviation;
            self.agenda.insert((self.now + wait as u64, Task::Hedge(id)));
        }
        r.waits = false;
        let (zone, cell) = (s.zone, s.cell);
        let (sent_at, out, may_have_run) = (self.now, true, false);
        r.attempts.push(Attempt { server, zone, cell, sent_at, out, may_have_run });
        c.units_out += r.units;
        c.attempts_out += 1;
        s.out += 1;
        s.sent_rate = s.rate_at(self.now, self.set.fall_us) + 1.0;
        s.sent_at = self.now;
        self.out += 1;
        acts.push(Action::Send { id, server, timeout_us: (r.end - self.now).max(1) });
    }

    /// Two random servers of those that may have the request, and of them the one with less work of ours for
    /// its speed.
    fn pick(&mut self, id: u64) -> Option<u64> {
        let r = &self.requests[&id];
        let anchor = r.attempts.iter().find(|a| a.out || a.may_have_run);
        let effect = self.set.classes[r.class].effect;
        let allowed = |s: &Server| match (effect, anchor) {
            (Effect::Once, Some(_)) => false,
            (Effect::ByKey { group, window_us }, Some(a)) => {
                self.now < a.sent_at + window_us
                    && match group {
                        Group::All => true,
                        Group::Zone => s.zone == a.zone,
                        Group::Cell => s.cell == a.cell,
                    }
            }
            _ => true,
        };
        let up = self.up();
        let well = self.servers.values().filter(|s| s.up && s.ejected_until <= self.now).count();
        let spread_on = well * 2 < up;
        let warm = self.warm_rate();
        let fit: Vec<(u64, f64)> = self
            .servers
            .iter()
            .filter(|(_, s)| s.up && allowed(s))
            .filter(|(_, s)| spread_on || (s.ejected_until <= self.now && (!s.on_trial || s.out == 0)))
            .filter(|(_, s)| self.bears(s, warm))
            .map(|(k, s)| (*k, (s.out as f64 + 1.0) * s.latency))
            .collect();
        let untried: Vec<_> =
            fit.iter().copied().filter(|(k, _)| !r.attempts.iter().any(|a| a.server == *k)).collect();
        let fit = if untried.is_empty() { fit } else { untried };
        if fit.is_empty() {
            return None;
        }
        let (a, b) = (fit[self.rng.usize(0..fit.len())], fit[self.rng.usize(0..fit.len())]);
        Some(if a.1 <= b.1 { a.0 } else { b.0 })
    }

    fn cold(&self, s: &Server) -> bool {
        s.up_since > 0 && self.now < s.up_since + self.set.cold_us
    }

    /// What a warm server is sent from here, for a weight of 1, over the time in which a cold one may fall.
    fn warm_rate(&self) -> Option<f64> {
        let warm = self.servers.values().filter(|s| s.up && !self.cold(s));
        let (n, sum) =
            warm.fold((0.0, 0.0), |(n, sum), s| (n + s.weight, sum + s.rate_at(self.now, self.set.fall_us)));
        (n > 0.0).then(|| sum / n)
    }

    /// A cold server gets one request at a time, or its ramp's part of what a warm one gets.
    fn bears(&self, s: &Server, warm: Option<f64>) -> bool {
        if !self.cold(s) || s.out == 0 {
            return true;
        }
        let age = self.now.saturating_sub(s.up_since) as f64 / self.set.cold_us as f64;
        let ramp = self.set.cold_from + (1.0 - self.set.cold_from) * age;
        warm.is_some_and(|w| s.rate_at(self.now, self.set.fall_us) + 1.0 <= w * s.weight * ramp * COLD_PART)
    }

    // ---- outcomes ----

    fn learn(&mut self, server: u64, outcome: Outcome, latency: Micros) {
        let bad = match outcome {
            Outcome::Ok => false,
            Outcome::Cancelled | Outcome::Moot => return,
            _ => true,
        };
        let fleet_bad = self.fleet_bad();
        let Some(s) = self.servers.get_mut(&server) else {
            return;
        };
        let taken = latency as f64;
        // A fast failure says nothing of speed: only slow ones count as slow.
        if !bad || taken > s.latency {
            s.latency += (taken - s.latency) * LEARN;
        }
        if !bad {
            self.deviation += ((taken - self.mean).abs() - self.deviation) * LEARN / 4.0;
            self.mean += (taken - self.mean) * LEARN / 4.0;
            if s.on_trial {
                (s.on_trial, s.bad) = (false, 0.0);
            }
        }
        s.bad += (f64::from(bad) - s.bad) * LEARN;
        if bad
            && s.ejected_until <= self.now
            && (s.on_trial || s.bad > EJECT_AT.max(EJECT_TIMES_FLEET * fleet_bad))
        {
            s.ejected_until = self.now + s.eject_for;
            s.eject_for = if s.on_trial { (s.eject_for * 2).min(EJECT_LONGEST) } else { EJECT_FOR };
            s.on_trial = true;
        }
        s.seen += 1;
        s.seen_bad += u32::from(bad);
        self.recent.push_back((self.now, server, bad));
        while let Some(&(_, key, bad)) = self.recent.front().filter(|(at, ..)| at + WINDOW < self.now) {
            self.recent.pop_front();
            if let Some(s) = self.servers.get_mut(&key) {
                s.seen = s.seen.saturating_sub(1);
                s.seen_bad = s.seen_bad.saturating_sub(u32::from(bad));
            }
        }
        if bad && self.overloaded() {
            self.target = (self.target * CUT_TO).max(self.floor());
            self.cut_at = self.now;
        }
    }

    fn fleet_bad(&self) -> f64 {
        let up = self.servers.values().filter(|s| s.up);
        let (n, sum) = up.fold((0.0, 0.0), |(n, sum), s| (n + 1.0, sum + s.bad));
        if n > 0.0 { sum / n } else { 0.0 }
    }

    /// More than a tenth of the last second's outcomes were bad, the worst few servers left out: those are
    /// ill themselves, and a cut would not help.
    fn overloaded(&self) -> bool {
        let aim = self.set.classes.iter().map(|c| c.aim_us).max().unwrap_or(0);
        if self.cut_at > 0 && self.now < self.cut_at + aim {
            return false;
        }
        let mut seen: Vec<(u32, u32)> =
            self.servers.values().filter(|s| s.up).map(|s| (s.seen_bad, s.seen)).collect();
        seen.sort_by(|a, b| b.cmp(a));
        let (bad, all) =
            seen[seen.len() / BLAME_SPARES..].iter().fold((0, 0), |(bad, all), s| (bad + s.0, all + s.1));
        bad > 1 && f64::from(bad) > BAD_MARK * f64::from(all)
    }

    fn grow(&mut self) {
        let dt = (self.now - self.grown_at) as f64 / 1e6;
        self.grown_at = self.now;
        // A target that is not in use says nothing of what the back end bears.
        if self.out as f64 >= self.target / 2.0 {
            self.target += self.per_server(GAIN_PER_SERVER) * dt;
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn returned(
        &mut self,
        id: u64,
        attempt: u32,
        outcome: Outcome,
        closed: bool,
        used: Option<f64>,
        final_units: Option<f64>,
        acts: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(a) = r.attempts.get_mut(attempt as usize).filter(|a| a.out) else {
            return;
        };
        a.out = false;
        a.may_have_run = !outcome.never_ran();
        self.out -= 1;
        if let Some(s) = self.servers.get_mut(&a.server) {
            s.out -= 1;
        }
        let (key, units) = (r.customer, r.units);
        self.refill(key);
        let c = self.customers.get_mut(&key).expect("holds a request");
        c.units_out = (c.units_out - units).max(0.0);
        c.attempts_out -= 1;
        if let Some(used) = used.filter(|u| u.is_finite() && *u >= 0.0) {
            // Believed at once when it says more is used, over some periods when it says less.
            let since = self.now - c.used_at.unwrap_or(self.now);
            let believe = (since as f64 / (BELIEVE_OVER * self.set.meter_us.max(1) as f64)).min(1.0);
            c.used += (used - c.used) * if used > c.used { 1.0 } else { believe };
            c.used_at = Some(self.now);
        }
        if let Some(f) = final_units.filter(|f| self.set.trued_up && f.is_finite() && *f > 0.0) {
            c.level -= f - units;
        }
        if !c.in_ring && !c.waiting.is_empty() {
            c.in_ring = true;
            self.ring.push_back(key);
        }
        let r = &self.requests[&id];
        if closed || r.done {
            self.close(id, None, acts);
        } else if !r.attempts.iter().any(|a| a.out) {
            self.again(id, acts);
        }
    }

    /// After a failure: another attempt, if it can still be in time, may be made and is in the budget.
    fn again(&mut self, id: u64, acts: &mut Vec<Action>) {
        let r = &self.requests[&id];
        let tries = r.attempts.len() as u32;
        let may = match self.set.classes[r.class].effect {
            Effect::Once => !r.attempts.iter().any(|a| a.may_have_run),
            _ => true,
        };
        let in_time = self.now + self.mean as u64 <= r.best_by;
        if !may || !in_time || tries >= self.set.attempts_cap || self.retries < 1.0 {
            return self.give_up(id, acts);
        }
        self.retries -= 1.0;
        let key = r.customer;
        self.requests.get_mut(&id).expect("seen above").waits = true;
        let c = self.customers.get_mut(&key).expect("holds a request");
        c.waiting.push_front(id);
        if !c.in_ring {
            c.in_ring = true;
            self.ring.push_front(key);
        }
        self.agenda.insert((self.now + self.mean as u64, Task::Wait(id)));
    }

    fn due(&mut self, task: Task, acts: &mut Vec<Action>) {
        match task {
            Task::Wait(id) => {
                let Some(r) = self.requests.get(&id).filter(|r| r.waits) else {
                    return;
                };
                let last = r.best_by.saturating_sub(self.needs());
                if last <= self.now {
                    self.give_up(id, acts);
                } else {
                    self.agenda.insert((last, task));
                }
            }
            Task::End(id) => {
                if self.requests.get(&id).is_some_and(|r| !r.done && !r.streaming) {
                    self.give_up(id, acts);
                }
            }
            Task::Hedge(id) => self.hedge(id, acts),
            Task::Ready(key) => {
                if let Some(c) = self.customers.get_mut(&key)
                    && !c.in_ring
                {
                    c.in_ring = true;
                    self.ring.push_back(key);
                }
            }
            Task::Pump => {}
            Task::Ask => {
                acts.push(Action::Watch);
            }
        }
    }

    fn hedge(&mut self, id: u64, acts: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let c = &self.customers[&r.customer];
        let alone = r.attempts.len() == 1 && r.attempts[0].out && !r.done && !r.streaming;
        let room = (self.out as f64) < self.target && self.under_cap(c, r.class, r.units);
        let in_time = self.now + self.mean as u64 <= r.best_by;
        let may = self.set.second_copies && self.set.attempts_cap > 1 && self.retries >= 1.0;
        if !(alone && room && in_time && may) || self.set.classes[r.class].effect == Effect::Once {
            return;
        }
        let first = r.attempts[0].server;
        if let Some(server) = self.pick(id).filter(|s| *s != first) {
            self.retries -= 1.0;
            self.send(id, server, acts);
        }
    }

    /// The answer has begun: the attempt is the client's now, other copies are of no use.
    fn began(&mut self, id: u64, attempt: u32, acts: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        r.streaming = true;
        r.waits = false;
        for (n, a) in r.attempts.iter().enumerate() {
            if a.out && n as u32 != attempt && self.set.may_cancel {
                acts.push(Action::Cancel { id, attempt: n as u32 });
            }
        }
    }

    // ---- final answers ----

    /// The last answer for a request that will not be served: a refusal where the rules let us say that trying
    /// again is harmless, else a failure.
    fn give_up(&mut self, id: u64, acts: &mut Vec<Action>) {
        let r = &self.requests[&id];
        let ran = r.attempts.iter().any(|a| a.out || a.may_have_run);
        let harmless = match self.set.classes[r.class].effect {
            Effect::Repeatable | Effect::ByKey { group: Group::All, .. } => true,
            _ => !ran,
        };
        let answer = if harmless {
            Action::Refuse { id, retry_after_us: self.advice(self.mean) }
        } else {
            Action::Fail { id }
        };
        self.close(id, Some(answer), acts);
    }

    fn close(&mut self, id: u64, answer: Option<Action>, acts: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let first = !r.done;
        (r.done, r.waits) = (true, false);
        if first {
            acts.extend(answer);
            // What is out may still be stopped; near its own time-out that would only hide the time-out.
            for (n, a) in r.attempts.iter().enumerate() {
                if a.out && self.set.may_cancel && self.now + self.set.tick_us < r.end {
                    acts.push(Action::Cancel { id, attempt: n as u32 });
                }
            }
            if r.attempts.is_empty()
                && let Some(c) = self.customers.get_mut(&r.customer)
            {
                c.level += r.units;
            }
        }
        if !r.attempts.iter().any(|a| a.out) {
            self.requests.remove(&id);
        }
    }
}

impl Server {
    /// What was sent here in about the last `window`, by a moving sum.
    fn rate_at(&self, now: Micros, window: Micros) -> f64 {
        self.sent_rate * (-((now - self.sent_at) as f64) / window.max(1) as f64).exp()
    }
}
