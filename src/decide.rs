//! All decisions of a curlewfront gateway, and every tuned value. Its types, events and actions stand in
//! `interface.rs`. The module does no I/O, reads no clock and shares nothing: equal events, equal actions.
//!
//! The path of a request: `admit` (token bucket of its customer) -> waiting line of the customer -> `pump`
//! (cap on what the customer has out, target concurrency, ceiling) -> `pick` (server) -> `returned` (answer,
//! or a further attempt on the retry budget) -> `close`. docs/design.md tells why.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// AIMD: permits for each server of the fleet, over all gateways, at the start; what is gained a second and
/// the least, as parts of what a server was seen to bear with ease; and the least target of a gateway.
const START_PER_SERVER: f64 = 3.0;
const GAIN: f64 = 0.05;
const LEAST: f64 = 0.33;
const LEAST_TARGET: f64 = 1.0;
/// While the usual time is under this multiple of its least, the gain is so many times as large.
const IDLE_UNDER: f64 = 1.15;
const IDLE_GAIN: f64 = 5.0;
/// AIMD: what a cut leaves of the target, and the part of the last second's outcomes that calls for one.
const CUT_TO: f64 = 0.8;
const BAD_MARK: f64 = 0.1;
const WINDOW: Micros = 1_000_000;
/// So many outcomes are looked at though the last second had fewer: a tenth of five says nothing.
const LEAST_SEEN: usize = 20;
/// One server in so many may be at its worst without the fleet being blamed for it.
const BLAME_SPARES: usize = 4;
/// Retry budget: further attempts for each first one, how many may be saved up, what one after a reset costs.
const RETRY_PART: f64 = 0.1;
const RETRY_SAVED: f64 = 10.0;
const RETRY_RESET: f64 = 0.5;
/// Periods of the meter for which a reading holds, and over which a lower one is believed, where a customer
/// comes through no more than a few gateways.
const HOLD: f64 = 2.0;
const BELIEVE_OVER: f64 = 3.0;
const FEW: f64 = 4.0;
/// A burst is split by this power of the number of gateways at the most; 1 would be evenly.
const BURST_SPLIT: f64 = 0.8;
/// A request waits while this many usual deviations past the mean time of an answer are left to it.
const WAIT_DEVIATIONS: f64 = 2.0;
/// Weight of one outcome in a server's moving averages; the fleet's move four times as slowly.
const LEARN: f64 = 0.15;
/// Who fails more than this is passed by while there are others; a failed connection weighs as much.
const ILL: f64 = 0.5;
/// First tries, in excess of later ones, that make their usual time left known.
const SURE: u32 = 20;
const MOST_AWAY: u32 = 1000;
/// Time over which what was learned of a server's speed fades, when nothing more is heard.
const FORGET: f64 = 3e6;
/// Servers that a gateway keeps to, for each request that it sends within that time, and the fewest; how slow
/// an answer, as a multiple of the usual, ends that.
const KEPT_TO: f64 = 0.3;
const FEWEST: usize = 5;
const SLOW_OVER: f64 = 4.0;
/// Our work out at one server, as a multiple of its part of the target, at the most.
const MOST_HELD: f64 = 2.0;
/// Work for a cold server, as a part of what makes it fall, and how much more while many are cold.
const COLD_PART: f64 = 0.5;
const MOST_CROWDED: f64 = 1.5;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    /// A waiting request can no longer be answered in time, or the time of another is up.
    End(u64),
    /// A customer that was held up may be tried again.
    Ready(u64),
    /// Discovery is to be asked.
    Ask,
}

#[derive(Default)]
struct Server {
    zone: u32,
    cell: u32,
    up: bool,
    up_since: Micros,
    out: u32,
    /// Moving averages: time taken, and part of the outcomes that failed.
    latency: f64,
    bad: f64,
    heard_at: Micros,
}

#[derive(Default)]
pub(crate) struct Customer {
    plan: usize,
    spread: u32,
    first: u32,
    /// Levels of its bucket and of its ceiling's store here.
    level: f64,
    ceiling: f64,
    filled_at: Micros,
    units_out: f64,
    attempts_out: u32,
    waiting: VecDeque<u64>,
    in_ring: bool,
    sent_at: Micros,
    /// What the meter says is used of the quota, and when.
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

pub(crate) struct Request {
    class: usize,
    customer: u64,
    units: f64,
    /// An answer by `best_by` earns its full worth, one after `end` nothing.
    best_by: Micros,
    end: Micros,
    attempts: Vec<Attempt>,
    /// Lots drawn for a cold server, one for each attempt.
    lots: usize,
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
    /// Those that are up, in an order that `pick` shuffles as it draws.
    up: Vec<u64>,
    /// What they are worth in warm ones, as counted last; what was sent lately, as a moving sum.
    strength: f64,
    counted_at: Micros,
    sent: f64,
    sent_at: Micros,
    pub(crate) customers: HashMap<u64, Customer>,
    pub(crate) requests: HashMap<u64, Request>,
    /// Customers with a request that may be next, each at most once. Who comes new goes first, as most time
    /// is left to it; who was served goes last. First come first served would send all too late in a jam.
    ring: VecDeque<u64>,
    /// All customers, looked through a few at a time for those that can be forgotten.
    roster: VecDeque<u64>,
    agenda: BTreeSet<(Micros, Task)>,
    armed: Option<Micros>,
    /// Permits for each server, and what a server has been seen to bear with ease.
    permits: f64,
    size: f64,
    grown_at: Micros,
    cut_at: Option<Micros>,
    out: u32,
    /// Outcomes of the last second, or the last few: when, which server, failed or not, reached or not.
    recent: VecDeque<(Micros, u64, bool, bool)>,
    retries: f64,
    /// The fleet's usual time to an answer.
    mean: f64,
    least_mean: f64,
    deviation: f64,
    asks_failed: u32,
    /// For each class the time that first tries usually have left, and how sure that is.
    usual_left: Vec<(Micros, u32)>,
    /// Requests that ended unserved and may come again.
    turned_away: u32,
}

impl Decider {
    pub fn new(set: Settings, seed: u64) -> Result<Decider, SettingsError> {
        set.check()?;
        let aim = set.classes.iter().map(|c| c.aim_us).min().unwrap_or(1) as f64;
        Ok(Decider {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            started: None,
            servers: BTreeMap::new(),
            up: Vec::new(),
            strength: 0.0,
            counted_at: 0,
            sent: 0.0,
            sent_at: 0,
            customers: HashMap::new(),
            requests: HashMap::new(),
            ring: VecDeque::new(),
            roster: VecDeque::new(),
            agenda: BTreeSet::new(),
            armed: None,
            permits: START_PER_SERVER,
            size: START_PER_SERVER,
            grown_at: 0,
            cut_at: None,
            out: 0,
            recent: VecDeque::new(),
            retries: RETRY_SAVED,
            mean: aim / 8.0,
            least_mean: aim / 8.0,
            deviation: aim / 16.0,
            asks_failed: 0,
            turned_away: 0,
            usual_left: vec![(0, 0); set.classes.len()],
            set,
        })
    }

    /// Takes new settings while requests are open. The numbers of their classes and plans must stay valid:
    /// classes and plans are appended or changed in place.
    pub fn reconfigure(&mut self, set: Settings) -> Result<(), SettingsError> {
        set.check()?;
        if set.classes.len() < self.set.classes.len() || set.plans.len() < self.set.plans.len() {
            return Err(SettingsError("classes and plans may be appended or changed, not taken away"));
        }
        self.usual_left.resize(set.classes.len(), (0, 0));
        self.set = set;
        Ok(())
    }

    /// Takes one event and adds what is to be done about it to `acts`.
    pub fn handle(&mut self, now: Micros, event: Event, acts: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.started.is_none() {
            (self.started, self.grown_at) = (Some(now), now);
            self.agenda.extend(self.set.ask_for_list.then_some((now, Task::Ask)));
        }
        self.grow();
        match event {
            Event::List { kind, entries } => self.listed(kind, &entries),
            Event::Request(r) => self.admit(r, acts),
            Event::Started { id, .. } => self.began(id),
            Event::Returned(r) => {
                // An answer past the aim is a time-out in all but name, also where it still earns something.
                let late = self.requests.get(&r.id).is_some_and(|q| self.now > q.best_by);
                self.learn(r.server, r.outcome, r.latency_us as f64, late);
                self.returned(r, acts);
            }
            Event::Withdrawn { id } => {
                self.turn_away();
                self.close(id, None, acts);
            }
            Event::Used { customer, used } => self.read(customer, used),
            Event::Timer { .. } => {}
        }
        while let Some(&(at, task)) = self.agenda.first()
            && (at <= self.now || !self.live(task))
        {
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
                let last = if r.waits { r.best_by.saturating_sub(self.needs()) } else { r.end };
                if last <= self.now {
                    self.give_up(id, acts);
                } else {
                    self.agenda.insert((last, task));
                }
            }
            Task::Ready(key) => self.line_up(key, false),
            Task::Ask => acts.push(Action::Watch),
        }
    }

    // ---- the list of servers ----

    fn listed(&mut self, kind: ListKind, entries: &[Entry]) {
        if kind == ListKind::Failed {
            // Asked again ever more slowly, yet well within the time after which we count as told.
            self.asks_failed = (self.asks_failed + 1).min(3);
            let wait = (self.set.ask_within_us / 16).clamp(1, 60_000_000) << self.asks_failed;
            self.agenda.insert((self.now + wait + self.rng.u64(0..=wait / 4), Task::Ask));
            return;
        }
        self.asks_failed = 0;
        if kind != ListKind::Changes {
            self.servers.values_mut().for_each(|s| s.up = false);
        }
        for e in entries {
            let s = self.servers.entry(e.server).or_default();
            if s.latency == 0.0 || e.up_since_us > s.up_since {
                // New, or started anew: nothing learned of the process before it holds.
                let (out, latency) = (s.out, self.mean);
                *s = Server { out, latency, ..Server::default() };
            }
            (s.zone, s.cell, s.up, s.up_since) = (e.zone, e.cell, e.state == State::Up, e.up_since_us);
        }
        self.servers.retain(|_, s| s.up || s.out > 0);
        self.up.retain(|k| self.servers.get(k).is_some_and(|s| s.up));
        for (k, _) in self.servers.iter().filter(|(_, s)| s.up) {
            if !self.up.contains(k) {
                self.up.insert(self.rng.usize(0..=self.up.len()), *k); // all places are as likely
            }
        }
        self.count();
    }

    /// How many warm servers the fleet is worth: a cold one counts by its ramp.
    fn count(&mut self) {
        self.strength = self.up.iter().map(|k| self.ramp(&self.servers[k]).unwrap_or(1.0)).sum();
        self.counted_at = self.now;
    }

    /// The target concurrency here: it is held as permits for each server, so that it follows the size of a
    /// fleet that shrinks, grows, or drops off the list and comes back.
    pub fn target(&self) -> f64 {
        (self.permits * self.strength / self.set.balancers as f64).max(LEAST_TARGET)
    }

    // ---- quotas ----

    fn admit(&mut self, n: NewRequest, acts: &mut Vec<Action>) {
        let NewRequest { id, class, customer: key, .. } = n;
        if self.requests.contains_key(&id) {
            return;
        }
        if class >= self.set.classes.len() || n.plan >= self.set.plans.len() {
            return acts.push(Action::Refuse { id, retry_after_us: 0 });
        }
        let tried_for = self.tried_for(&n);
        let (kind, plan) = (&self.set.classes[class], &self.set.plans[n.plan]);
        let margin = 2 * self.set.tick_us + kind.aim_us / 100;
        let aim = kind.aim_us.saturating_sub(tried_for).min(n.left_us).saturating_sub(margin);
        let end = if kind.late_worth > 0.0 { n.left_us.saturating_sub(margin) } else { aim };
        let (best_by, end) = (self.now.saturating_add(aim), self.now.saturating_add(end));
        let units = if n.units.is_finite() { n.units.max(0.0) } else { 1.0 };
        let spread = n.spread.clamp(1, self.set.balancers);
        let (rate, ceiling) = (plan.rate / spread as f64, self.fresh_ceiling(plan, spread));
        self.forget_some();
        let c = self.customers.entry(key).or_insert_with(|| {
            self.roster.push_back(key);
            Customer { level: f64::INFINITY, ceiling, filled_at: self.now, used: 1.0, ..Customer::default() }
        });
        (c.plan, c.spread, c.first) = (n.plan, spread, n.first);
        let level = self.refill(key);
        let burst = self.burst_here(&self.customers[&key]);
        if rate > 0.0 && level < units.min(burst) {
            // Over its quota: the only refusal by customer, whatever the request is worth.
            self.turn_away();
            let retry_after_us = self.advice((units - level) / rate * 1e6);
            return acts.push(Action::Refuse { id, retry_after_us });
        }
        if best_by < self.now + self.mean as Micros / 2 {
            return acts.push(Action::Refuse { id, retry_after_us: self.advice(self.mean) });
        }
        let c = self.customers.get_mut(&key).expect("just seen");
        c.level -= units;
        c.waiting.push_back(id);
        self.line_up(key, true);
        let (attempts, lots, waits, streaming, done) = (Vec::new(), 0, true, false, false);
        let r = Request { class, customer: key, units, best_by, end, attempts, lots, waits, streaming, done };
        self.requests.insert(id, r);
        self.agenda.insert((best_by.saturating_sub(self.needs()).max(self.now + 1), Task::End(id)));
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

    fn turn_away(&mut self) {
        self.turned_away = (self.turned_away + 1).min(MOST_AWAY);
    }

    /// The time that an attempt needs to be answered in all likelihood.
    fn needs(&self) -> Micros {
        (self.mean + WAIT_DEVIATIONS * self.deviation) as Micros
    }

    fn advice(&self, wait: f64) -> Micros {
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
        // Where going beyond the quota earns no less than it costs, the even share guards only the load,
        // which the target does too; with many gateways it would refuse most of what the quota has room
        // for. It could harm where the fleet is short and such a plan's excess takes the place of others'
        // requests.
        let earns = plan.over_worth > 0.0 && plan.over_cost <= plan.over_worth;
        let floor = if earns { 1.0 - FEW / spread } else { 0.0 };
        ((1.0 + room * rarely(c.spread)) / spread).max(floor).min(1.0)
    }

    /// The part of its burst for this slice; more than the even one, as gateways seldom need it all at once.
    fn burst_here(&self, c: &Customer) -> f64 {
        let (s, burst) = (self.slice(c), self.set.plans[c.plan].burst);
        burst * s.max((c.spread as f64).powf(-BURST_SPLIT))
    }

    /// What a gateway may count on in a ceiling's store that it sees first now. One that starts again cannot
    /// know what its earlier life spent, so its share was empty when it started.
    fn fresh_ceiling(&self, plan: &Plan, spread: u32) -> f64 {
        let age = (self.now - self.started.unwrap_or(self.now)) as f64 / 1e6;
        (plan.ceiling_rate * age).min(plan.ceiling_burst) / spread as f64
    }

    fn refill(&mut self, key: u64) -> f64 {
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
            let idle = c.waiting.is_empty() && c.attempts_out == 0 && !c.in_ring && !self.meter_speaks(c);
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
    fn pause(&self, c: &Customer) -> Micros {
        let plan = &self.set.plans[c.plan];
        let even = self.mean * c.spread as f64 / f64::from(plan.at_once.max(1));
        let late =
            if c.used >= 1.0 { (even * c.used * c.used).max(2.0 * self.set.meter_us as f64) } else { 0.0 };
        (if plan.rate > 0.0 { even } else { late }) as Micros
    }

    /// Whether the customer may have one more attempt out here: slice x aim + burst in units (Little's law),
    /// or its part of a told limit on attempts; one in any case.
    fn under_cap(&self, c: &Customer, class: usize, units: f64) -> bool {
        let (plan, slice) = (&self.set.plans[c.plan], self.slice(c));
        if plan.at_once > 0 {
            // Whole parts that add up to the limit; where a gateway's part is none, one goes out at times.
            let place =
                (self.set.index + self.set.balancers - c.first % self.set.balancers) % self.set.balancers;
            let (place, part) = ((place % c.spread) as f64, plan.at_once as f64 * slice);
            let least = if self.now < c.sent_at + self.pause(c) { 0.0 } else { 1.0 };
            let whole = ((place + 1.0) * part).floor() - (place * part).floor();
            return (c.attempts_out as f64) < whole.max(least);
        }
        let aim = self.set.classes[class].aim_us as f64 / 1e6;
        let cap = plan.rate * slice * aim + self.burst_here(c);
        c.attempts_out == 0 || plan.rate == 0.0 || c.units_out + units <= cap
    }

    // ---- sending ----

    fn line_up(&mut self, key: u64, at_front: bool) {
        if let Some(c) = self.customers.get_mut(&key).filter(|c| !c.in_ring && !c.waiting.is_empty()) {
            c.in_ring = true;
            if at_front { self.ring.push_front(key) } else { self.ring.push_back(key) }
        }
    }

    /// Sends what waits, one of each customer in turn, while the target has room.
    fn pump(&mut self, acts: &mut Vec<Action>) {
        while f64::from(self.out + 1) <= self.target() {
            let Some(key) = self.ring.pop_front() else { return };
            let Some(c) = self.customers.get_mut(&key) else { continue };
            c.in_ring = false;
            while c.waiting.front().is_some_and(|id| !self.requests.get(id).is_some_and(|r| r.waits)) {
                c.waiting.pop_front();
            }
            let Some(&id) = c.waiting.front() else { continue };
            self.refill(key);
            let (c, r) = (&self.customers[&key], &self.requests[&id]);
            if !self.under_cap(c, r.class, r.units) {
                let free_at = c.sent_at + self.pause(c);
                if c.attempts_out == 0 && free_at + self.needs() > r.best_by {
                    self.give_up(id, acts);
                } else if c.attempts_out == 0 {
                    self.agenda.insert((free_at, Task::Ready(key)));
                }
                continue; // lines up again when one of its attempts ends
            }
            let plan = &self.set.plans[c.plan];
            let short = if r.attempts.is_empty() { r.units - c.ceiling } else { 0.0 };
            if plan.ceiling_rate > 0.0 && short > 0.0 {
                let wait = short * c.spread as f64 / plan.ceiling_rate * 1e6;
                self.agenda.insert((self.now + wait as Micros + 1, Task::Ready(key)));
                continue;
            }
            let Some(server) = self.pick(id) else {
                // No server may have it now: it waits without holding up the other customers.
                let wait = (self.mean as Micros / 8).max(self.set.tick_us).max(1);
                self.agenda.insert((self.now + wait, Task::Ready(key)));
                continue;
            };
            self.send(id, server, acts);
            self.customers.get_mut(&key).expect("just seen").waiting.pop_front();
            self.line_up(key, false);
        }
    }

    fn send(&mut self, id: u64, server: u64, acts: &mut Vec<Action>) {
        (self.sent, self.sent_at) = (self.lately_sent() + 1.0, self.now);
        let r = self.requests.get_mut(&id).expect("picked for it");
        let c = self.customers.get_mut(&r.customer).expect("holds a request");
        let s = self.servers.get_mut(&server).expect("picked");
        if r.attempts.is_empty() {
            if self.set.plans[c.plan].ceiling_rate > 0.0 {
                c.ceiling -= r.units;
            }
            self.retries = (self.retries + RETRY_PART).min(RETRY_SAVED);
        }
        r.waits = false;
        let (zone, cell, sent_at) = (s.zone, s.cell, self.now);
        r.attempts.push(Attempt { server, zone, cell, sent_at, out: true, may_have_run: false });
        (c.sent_at, c.units_out) = (self.now, c.units_out + r.units);
        c.attempts_out += 1;
        s.out += 1;
        self.out += 1;
        acts.push(Action::Send { id, server, timeout_us: r.end.saturating_sub(self.now).max(1) });
    }

    /// Of two random servers that may have the request the one with less work of ours for its speed. Slow
    /// start: a cold server is drawn as often as any other but takes its ramp's part of its draws, so all
    /// gateways together send it that part of what a server gets, however few requests each of them has.
    fn pick(&mut self, id: u64) -> Option<u64> {
        let (familiar, many) = (self.familiar(), self.up.len());
        let mut up = std::mem::take(&mut self.up);
        let mut rng = self.rng.clone();
        let r = &self.requests[&id];
        let anchor = r.attempts.iter().find(|a| a.out || a.may_have_run);
        let allowed = |s: &Server| match (self.set.classes[r.class].effect, anchor) {
            (Effect::Once, Some(_)) => false,
            (Effect::ByKey { group, window_us }, Some(a)) => {
                let in_group = match group {
                    Group::All => true,
                    Group::Zone => s.zone == a.zone,
                    Group::Cell => s.cell == a.cell,
                };
                in_group && self.now < a.sent_at.saturating_add(window_us)
            }
            _ => true,
        };
        // A server that turned slow must not fill up with our work.
        let most_held = (MOST_HELD * self.permits / self.set.balancers as f64).max(1.0);
        let fits = |s: &Server| (s.out as f64) < most_held && allowed(s);
        let cost = |s: &Server| {
            let served = 1.0 - s.known(self.now, s.bad, 0.0).min(0.9);
            (s.out as f64 + 1.0) * s.known(self.now, s.latency, self.mean) / (served * served)
        };
        let mut found: Option<(f64, u64)> = None;
        let lots = r.attempts.len() + 1;
        let lot = rng.usize(0..many.max(1));
        let ramp = up.get(lot).map(|k| &self.servers[k]).filter(|s| fits(s)).and_then(|s| self.ramp(s));
        let crowded = (many as f64 / self.strength).min(MOST_CROWDED);
        if r.lots < lots && ramp.is_some_and(|ramp| rng.f64() < ramp * crowded) {
            found = Some((0.0, up[lot]));
        }
        for n in 0..if found.is_none() { up.len() } else { 0 } {
            up.swap(n, rng.usize(n..if n < familiar { familiar } else { many }));
            let s = &self.servers[&up[n]];
            if self.ramp(s).is_some() || !fits(s) {
                continue;
            }
            let tried = r.attempts.iter().any(|a| a.server == up[n]);
            let next = (cost(s) * if tried { f64::MAX.sqrt() } else { 1.0 }, up[n]);
            let second = found.is_some();
            let best = found.filter(|one| one.0 <= next.0).unwrap_or(next);
            found = Some(best);
            let s = &self.servers[&best.1];
            if second && s.known(self.now, s.bad, 0.0) < ILL {
                break;
            }
        }
        (self.up, self.rng) = (up, rng);
        self.requests.get_mut(&id).expect("just seen").lots = lots;
        found.map(|f| f.1)
    }

    /// A gateway keeps to so many servers, the first of `up`, that it hears of each some times before what it
    /// learned of it fades. Who fails it or is slow gives its place to another, drawn from the whole fleet.
    /// Guards against what hundreds of gateways do that meet each server seldom: each sends request after
    /// request to a slow or failing server before it has learned of it, and opens connections to all of them.
    /// It could harm where the few it keeps to turn bad together, until it has found others.
    fn familiar(&self) -> usize {
        ((self.lately_sent() * KEPT_TO) as usize).max(FEWEST).min(self.up.len())
    }

    fn lately_sent(&self) -> f64 {
        self.sent * (-((self.now - self.sent_at) as f64) / FORGET).exp()
    }

    /// The part of a warm server's work that a cold one is given.
    fn ramp(&self, s: &Server) -> Option<f64> {
        let cold = s.up_since > 0 && self.now < s.up_since.saturating_add(self.set.cold_us);
        let age = self.now.saturating_sub(s.up_since) as f64 / self.set.cold_us as f64;
        let part = (self.set.fall_multiple * COLD_PART).min(1.0);
        cold.then_some(part * (self.set.cold_from + (1.0 - self.set.cold_from) * age))
    }

    // ---- outcomes ----

    fn learn(&mut self, server: u64, outcome: Outcome, taken: f64, late: bool) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        let bad = !matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::Moot);
        if outcome == Outcome::Ok || (outcome != Outcome::Moot && taken > s.latency) {
            s.latency = s.known(self.now, s.latency, self.mean);
            s.latency += (taken - s.latency) * LEARN;
        }
        if matches!(outcome, Outcome::Cancelled | Outcome::Moot) {
            return;
        }
        if !bad {
            self.deviation += ((taken - self.mean).abs() - self.deviation) * LEARN / 4.0;
            self.mean += (taken - self.mean) * LEARN / 4.0;
        }
        let unwell = bad || taken > SLOW_OVER * self.mean;
        s.bad = s.known(self.now, s.bad, 0.0);
        s.bad += (f64::from(bad) - s.bad) * if outcome == Outcome::ConnectFailed { ILL } else { LEARN };
        s.heard_at = self.now;
        let (familiar, many) = (self.familiar(), self.up.len());
        let place =
            (unwell && familiar < many).then(|| self.up[..familiar].iter().position(|k| *k == server));
        if let Some(Some(n)) = place {
            self.up.swap(n, self.rng.usize(familiar..many));
        }
        // These tell of their server, but requests at fault and broken connections not of the fleet's load.
        if !matches!(outcome, Outcome::Rejected | Outcome::Reset) {
            self.recent.push_back((self.now, server, bad || late, outcome != Outcome::ConnectFailed));
        }
        while self.recent.len() > LEAST_SEEN && self.recent[0].0 + WINDOW < self.now {
            self.recent.pop_front();
        }
        if (bad || late) && self.overloaded() {
            self.permits = (self.permits * CUT_TO).max(LEAST * self.size);
            self.cut_at = Some(self.now);
        }
    }

    /// More than a tenth of the last second's outcomes were bad, the worst few servers left out, and those
    /// that take no connection at all: a cut would not help those. At most one cut per aim.
    fn overloaded(&self) -> bool {
        let aim = self.set.classes.iter().map(|c| c.aim_us).max().unwrap_or(0);
        if self.cut_at.is_some_and(|at| self.now < at + aim) {
            return false;
        }
        let mut by_server: BTreeMap<u64, (u32, u32, bool)> = BTreeMap::new();
        for (_, server, bad, reached) in &self.recent {
            let seen = by_server.entry(*server).or_default();
            *seen = (seen.0 + u32::from(*bad), seen.1 + 1, seen.2 || *reached);
        }
        let mut seen: Vec<_> = by_server.into_values().filter(|s| s.2).collect();
        seen.sort_unstable_by(|a: &(u32, u32, bool), b| b.cmp(a));
        let rest = &seen[seen.len() / BLAME_SPARES..];
        let (bad, all) = rest.iter().fold((0, 0), |(bad, all), s| (bad + s.0, all + s.1));
        bad > 1 && f64::from(bad) > BAD_MARK * f64::from(all)
    }

    fn grow(&mut self) {
        let dt = (self.now - self.grown_at) as f64 / 1e6;
        self.grown_at = self.now;
        if self.now >= self.counted_at + WINDOW / 4 {
            self.count();
        }
        self.least_mean = (self.least_mean * (1.0 + 0.01 * dt)).min(self.mean);
        if self.out as f64 >= self.target() / 2.0 {
            // While answers take no longer than they ever did, the servers are larger than the target.
            let idle = self.mean < self.least_mean * IDLE_UNDER;
            self.permits += GAIN * self.size * dt * if idle { IDLE_GAIN } else { 1.0 };
            if idle {
                self.size = self.size.max(self.permits);
            }
        }
    }

    fn returned(&mut self, n: Return, acts: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&n.id) else { return };
        let Some(a) = r.attempts.get_mut(n.attempt as usize).filter(|a| a.out) else { return };
        a.out = false;
        a.may_have_run = !n.outcome.never_ran();
        self.out -= 1;
        if let Some(s) = self.servers.get_mut(&a.server) {
            s.out -= 1;
        }
        let (key, units) = (r.customer, r.units);
        self.refill(key);
        let c = self.customers.get_mut(&key).expect("holds a request");
        c.units_out = (c.units_out - units).max(0.0);
        c.attempts_out -= 1;
        if let Some(used) = n.used {
            self.read(key, used);
        }
        let c = self.customers.get_mut(&key).expect("holds a request");
        if let Some(f) = n.final_units.filter(|f| self.set.trued_up && f.is_finite() && *f > 0.0) {
            c.level -= f - units;
        }
        self.line_up(key, false);
        let r = &self.requests[&n.id];
        if n.closed || r.done {
            self.close(n.id, None, acts);
        } else if !r.attempts.iter().any(|a| a.out) {
            self.again(n.id, n.outcome, acts);
        }
    }

    /// A reading of the meter: the customer's use by all gateways, as a part of its quota.
    fn read(&mut self, key: u64, used: f64) {
        self.refill(key);
        let Some(c) = self.customers.get_mut(&key).filter(|_| used.is_finite() && used >= 0.0) else {
            return;
        };
        // More use is believed at once, less over some periods: the reading is late, and room granted on
        // a calm past is what a flood spends first.
        let first = if self.set.plans[c.plan].rate > 0.0 { 1.0 - 1.0 / rarely(c.spread) } else { 0.0 };
        let over = BELIEVE_OVER * rarely(c.spread) * self.set.meter_us.max(1) as f64;
        let believe = c.used_at.map_or(first, |at| ((self.now - at) as f64 / over).min(1.0));
        c.used += (used - c.used) * if used > c.used { 1.0 } else { believe };
        c.used_at = Some(self.now);
    }

    /// After a failure: another attempt if in time, allowed and in the budget; free after no connection.
    fn again(&mut self, id: u64, last: Outcome, acts: &mut Vec<Action>) {
        let cost =
            if last == Outcome::Reset { RETRY_RESET } else { f64::from(last != Outcome::ConnectFailed) };
        let r = self.requests.get_mut(&id).expect("just seen");
        let once = self.set.classes[r.class].effect == Effect::Once;
        let may = !(once && r.attempts.iter().any(|a| a.may_have_run));
        let in_time = self.now + self.mean as Micros <= r.best_by;
        if !may || !in_time || r.attempts.len() as u32 >= self.set.attempts_cap || self.retries < cost {
            return self.give_up(id, acts);
        }
        self.retries -= cost;
        r.waits = true;
        let key = r.customer;
        self.customers.get_mut(&key).expect("holds a request").waiting.push_front(id);
        self.line_up(key, true);
        self.agenda.insert((self.now + self.mean as Micros, Task::End(id)));
    }

    /// The answer has begun: the attempt is the client's now.
    fn began(&mut self, id: u64) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        (r.streaming, r.waits) = (true, false);
    }

    // ---- final answers ----

    /// The last answer for a request that will not be served: a refusal where the rules let us say that
    /// trying again is harmless, else a failure.
    fn give_up(&mut self, id: u64, acts: &mut Vec<Action>) {
        let r = &self.requests[&id];
        let ran = r.attempts.iter().any(|a| a.out || a.may_have_run);
        let harmless = match self.set.classes[r.class].effect {
            Effect::Repeatable | Effect::ByKey { group: Group::All, .. } => true,
            _ => !ran,
        };
        let retry_after_us = self.advice(self.mean * (1.0 + self.ring.len() as f64 / self.target()));
        let answer = if harmless { Action::Refuse { id, retry_after_us } } else { Action::Fail { id } };
        self.turn_away();
        self.close(id, Some(answer), acts);
    }

    fn close(&mut self, id: u64, answer: Option<Action>, acts: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if !r.done {
            (r.done, r.waits) = (true, false);
            acts.extend(answer);
            // What is out may still be stopped; so near its own time-out that would only hide the time-out.
            let cancel = self.set.may_cancel && self.now + self.set.tick_us < r.end;
            for n in (0..r.attempts.len() as u32).filter(|n| cancel && r.attempts[*n as usize].out) {
                acts.push(Action::Cancel { id, attempt: n });
            }
            let (key, unsent) = (r.customer, r.attempts.is_empty());
            if let Some(c) = self.customers.get_mut(&key).filter(|_| unsent) {
                c.level += r.units; // never sent on, so never counted
            }
            self.line_up(key, false); // `pump` clears the waiting line of what has ended
        }
        if self.requests.get(&id).is_some_and(|r| !r.attempts.iter().any(|a| a.out)) {
            self.requests.remove(&id);
        }
    }
}

/// How much more rarely than with a few gateways each hears of a customer that comes through so many.
fn rarely(spread: u32) -> f64 {
    (spread as f64 / FEW).sqrt().max(1.0)
}

impl Server {
    /// What was learned of this server and still holds. Not heard of, it is soon taken for one like the
    /// rest; else one that was slow once would never be tried again.
    fn known(&self, now: Micros, learned: f64, usual: f64) -> f64 {
        usual + (learned - usual) * (-((now - self.heard_at) as f64) / FORGET).exp()
    }
}
