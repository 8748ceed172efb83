//! The proxy's decisions on requests, as a state machine: requests, outcomes of attempts and news come in; attempts to
//! send and answers go out.
//!
//! What a status says is kept apart from how it came about: 429 and 503 promise that a request has not run and will not,
//! so they go out only where that is known or where the request may run more than once anyway.

use crate::book::{Book, List, Peer, Place, REGION};
use crate::cramp::{Cramp, Shown};
use crate::drill::{Drills, Meeting, Met, Verdict};
use crate::rollout::{Ended, Placed, Rollouts, Side};
use crate::tenants::{Quota, Tenants};
use cluster::copy::{Copy, Took};
use cluster::drill::Rows;
use cluster::rollout::Tally;
use cluster::state::{Command, ServerChange, State};
use cluster::talk::{Lease, News, Reading, Use, tenant_key};
use curlewfront::{Action, Decider, Event, Hold, ListKind, Micros, NewRequest, Outcome, Return};
use net::limits::Held;
use net::pool::Passage;
use net::timeouts::Timeouts;
use settings::config::{Config, Index, Kind, Route, Tenant};
use settings::drill::{Fault, Ran};
use std::collections::hash_map::Entry::Occupied;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// A client's request, whole.
pub struct Ask {
    pub id: u64,
    pub method: String,
    pub target: String,
    pub host: String,
    /// What its client calls this try.
    pub name: Arc<[u8]>,
    pub left_us: Option<Micros>,
    pub key: Option<String>,
    /// Header lines that are meant for the server.
    pub head: Vec<u8>,
    pub body: Held,
}

/// How an attempt ended.
pub enum End {
    /// With a whole answer.
    Answered(Served),
    /// Without one.
    Broken { reached: Reached },
}

/// How far an attempt without an answer had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reached {
    /// The server cannot have run it.
    NeverRan,
    MayHaveRun,
}

/// A server's answer.
pub struct Served {
    pub status: u16,
    /// The server says that it did not run the request.
    pub not_run: bool,
    /// Header lines that are meant for the client.
    pub headers: Vec<u8>,
    pub body: Vec<u8>,
}

pub enum Input {
    Tick,
    Asked(Ask),
    Withdrawn(u64),
    Ended {
        id: u64,
        attempt: u32,
        end: End,
    },
    News(News),
    /// With when they were made, at the least.
    Meter(Vec<Reading>, Micros),
    Leases(Vec<Lease>, Micros),
}

pub enum Output {
    Send(Job),
    /// Stop waiting for an attempt; its connection is of no more use.
    GiveUp {
        id: u64,
        attempt: u32,
        server: u64,
        late: Option<Micros>,
    },
    Answer(u64, Answer),
    /// Rehearsed: the head and half of the body, then the connection ends.
    Cut(u64, Answer),
    /// Rehearsed: the body comes in pieces over so long.
    Slow(u64, Answer, Micros),
    /// Rehearsed: the connection ends without an answer.
    Close(u64),
    /// A request meets a rehearsed fault; for who keeps the log.
    Rehearsed {
        id: u64,
        name: Arc<[u8]>,
        met: Met,
    },
    /// A server that is new, or that may or may not get more from now on.
    Server {
        server: u64,
        peer: Peer,
        up: bool,
    },
    Gone {
        server: u64,
    },
}

pub struct Job {
    pub id: u64,
    pub attempt: u32,
    pub server: u64,
    pub name: Arc<[u8]>,
    /// The one life of a server that may run it.
    pub instance: Arc<str>,
    pub passage: Arc<Passage>,
    /// An earlier attempt of this request went to this server.
    pub again: bool,
    pub until: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<u8>,
    pub body: Vec<u8>,
}

impl Answer {
    fn plain(status: u16, why: &str) -> Answer {
        let headers = b"Content-Type: text/plain\r\n".to_vec();
        Answer { status, headers, body: format!("{why}\n").into_bytes() }
    }

    /// Not run; when to come back.
    fn later(status: u16, why: &str, after: Micros) -> Answer {
        let mut answer = Answer::plain(status, why);
        let seconds = after.max(1_000) as f64 / 1e6;
        answer.headers.extend_from_slice(format!("Retry-After: {seconds:.3}\r\n").as_bytes());
        answer
    }
}

struct Try {
    server: u64,
    sent_at: Micros,
    out: bool,
    /// Where its server was placed, if a rollout of its service ran.
    placed: Option<Placed>,
}

struct Open {
    name: Arc<[u8]>,
    /// The request without what differs from server to server.
    passage: Arc<Passage>,
    until: Micros,
    plan: usize,
    booking: u32,
    service: u32,
    /// [`tenant_key`] of the route's name.
    route: u32,
    /// It has a place in the share of a version on trial that it has not used yet.
    reserved: bool,
    tries: Vec<Try>,
    /// The last answer that a server gave though it is no success.
    spare: Option<Answer>,
    timed_out: bool,
    closed: bool,
    rehearsed: Option<Fault>,
}

/// Counts, for who watches.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub asked: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub sent: u64,
    pub misled: u64,
}

pub struct Front {
    now: Micros,
    pub copy: Copy,
    config: Option<(Arc<Config>, Index)>,
    book: Book,
    decider: Decider,
    rng: fastrand::Rng,
    beat_us: Micros,
    place: Place,
    open: HashMap<u64, Open>,
    timeouts: Timeouts,
    timer: Option<Micros>,
    peers: BTreeMap<u64, (Peer, bool)>,
    /// How many proxies there are, and the place of this one, as the decisions know it.
    among: (usize, usize),
    relist_at: Option<Micros>,
    listed_at: Micros,
    tenants: Tenants,
    cramp: Cramp,
    /// What is done under each booking, and what of them was last told to the decisions.
    booked: Tenants,
    holds: Vec<Hold>,
    look_at: Micros,
    /// Plans of which all is sent that may be sent ahead.
    spent: Vec<usize>,
    acts: Vec<Action>,
    back: VecDeque<(u64, u32, Outcome)>,
    rollouts: Rollouts,
    /// Servers of services with a running rollout.
    placed: BTreeMap<u64, Placed>,
    drills: Drills,
    /// Requests that wait for a grant: since when, and until when.
    held: BTreeMap<u64, (Ask, Micros, Micros)>,
    /// Answers that a rehearsal holds back.
    late: BTreeMap<(Micros, u64), Answer>,
    pub counts: Counts,
}

impl Front {
    pub fn new(place: Place, beat_us: Micros, seed: u64, now: Micros) -> Front {
        let book = Book::new(place.clone());
        let settings = book.settings(1, 0, beat_us);
        Front {
            now,
            copy: Copy::default(),
            config: None,
            decider: Decider::new(settings, seed).expect("the first settings are sane"),
            book,
            rng: fastrand::Rng::with_seed(seed ^ 1),
            beat_us,
            rollouts: Rollouts::new(place.ip, seed, place.exposure, beat_us, now),
            placed: BTreeMap::new(),
            drills: Drills::new(place.ip, seed, beat_us),
            held: BTreeMap::new(),
            late: BTreeMap::new(),
            cramp: Cramp::new(place.ip, place.times),
            booked: Tenants::new(beat_us / 3, seed),
            holds: Vec::new(),
            look_at: Micros::MAX,
            place,
            open: HashMap::new(),
            timeouts: Timeouts::default(),
            timer: None,
            peers: BTreeMap::new(),
            among: (1, 0),
            relist_at: None,
            listed_at: 0,
            tenants: Tenants::new(beat_us / 3, seed),
            spent: Vec::new(),
            acts: Vec::new(),
            back: VecDeque::new(),
            counts: Counts::default(),
        }
    }

    /// It holds a configuration and knows servers.
    pub fn ready(&self) -> bool {
        self.config.is_some() && !self.peers.is_empty()
    }

    pub fn requests_open(&self) -> usize {
        self.open.len()
    }

    pub fn limits(&self) -> Option<&settings::config::Limits> {
        self.config.as_ref().map(|(c, _)| &c.limits)
    }

    pub fn wake_at(&mut self) -> Micros {
        let open = &self.open;
        let out = |id, attempt: u32| {
            open.get(&id).and_then(|o| o.tries.get(attempt as usize)).is_some_and(|t| t.out)
        };
        let timeout = self.timeouts.next(out);
        let late = self.late.keys().next().map(|(at, _)| *at);
        let held = self.held.values().map(|(_, _, until)| *until).min();
        let due = [timeout, self.timer, self.relist_at, late, held].into_iter().flatten().min();
        due.unwrap_or(Micros::MAX).min(self.look_at).min(self.drills.wake_at()).min(self.rollouts.wake_at())
    }

    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        let before = out.len();
        match input {
            Input::Tick => {}
            Input::Asked(ask) => self.asked(ask, out),
            Input::Withdrawn(id) => {
                self.leave_drills(id);
                if let Some(open) = self.open.get_mut(&id).filter(|o| !o.closed) {
                    open.closed = true;
                    self.decide(Event::Withdrawn { id }, out);
                    self.forget(id);
                }
            }
            Input::Ended { id, attempt, end } => self.ended(id, attempt, end, out),
            Input::News(news) => self.news(news, out),
            Input::Meter(readings, made_at) => self.meter(&readings, made_at, out),
            Input::Leases(leases, made_at) => self.drills.lease(made_at, &leases),
        }
        self.settle(out);
        self.due(out);
        if !self.drills.idle() {
            for output in &out[before..] {
                if let Output::Answer(id, Answer { status, .. })
                | Output::Cut(id, Answer { status, .. })
                | Output::Slow(id, Answer { status, .. }, _) = output
                {
                    self.drills.answered(self.now, *id, *status);
                }
            }
        }
    }

    // ---- requests ----

    fn asked(&mut self, ask: Ask, out: &mut Vec<Output>) {
        self.counts.asked += 1;
        let verdict = if self.drills.idle() { Verdict::Pass } else { self.rehearses(&ask) };
        match verdict {
            Verdict::Pass => self.take(ask, None, out),
            Verdict::Hold(until) => _ = self.held.insert(ask.id, (ask, self.now, until)),
            Verdict::Meets(met) => self.strike(ask, met, out),
        }
    }

    fn take(&mut self, ask: Ask, rehearsed: Option<Fault>, out: &mut Vec<Output>) {
        let id = ask.id;
        match self.admit(ask, rehearsed) {
            Err(answer) => out.push(Output::Answer(id, answer)),
            Ok(request) => self.decide(Event::Request(request), out),
        }
    }

    fn admit(&mut self, ask: Ask, rehearsed: Option<Fault>) -> Result<NewRequest, Answer> {
        let (route, tenant) = whose(&self.config, &ask)?;
        let mut zones =
            self.book.within(&route.homes) & tenant.map_or(u64::MAX, |t| self.book.within(&t.homes));
        if let Some(Fault::UnreachableZone(zone)) = &rehearsed {
            zones &= self.book.without(zone);
        }
        zones = self.book.without_trials(zones);
        if zones == 0 {
            return Err(Answer::later(503, "no region may serve this", RETRY_US));
        }
        let Some(service) = pick_service(&self.book, &self.peers, &mut self.rng, route) else {
            return Err(Answer::later(503, "no server is known", RETRY_US));
        };
        let left_us = ask.left_us.unwrap_or(Micros::MAX).min(route.deadline_ms * 1000);
        let plan = tenant.map_or(0, |t| self.book.plan(&t.name));
        self.tenants.asked(plan);
        let nodes = self.copy.state.nodes.len();
        if !self.tenants.may_send(self.now, plan, self.book.even(plan, nodes), nodes) {
            self.counts.refused += 1;
            return Err(Answer::later(429, "beyond the quota", RETRY_US));
        }
        let booking = self.come_under(tenant, route, service);
        if booking > 0 {
            self.booked.asked(booking as usize);
        }
        let route_key = tenant_key(&route.name);
        let reserved = rehearsed.is_none() && self.rollouts.reserve(service, route_key);
        let trials = if reserved { self.book.trials_in(zones) } else { 0 };
        let open = Open {
            name: ask.name.clone(),
            passage: Arc::new(Passage { head: head(&ask, tenant), body: ask.body }),
            until: self.now + left_us,
            plan,
            booking,
            service,
            route: route_key,
            reserved,
            tries: Vec::new(),
            spare: None,
            timed_out: false,
            closed: false,
            rehearsed,
        };
        let request = NewRequest {
            id: ask.id,
            class: self.book.class(&route.name),
            plan,
            customer: plan as u64,
            left_us,
            spread: self.tenants.spread(self.now, plan, nodes),
            units: self.tenants.draws(self.now, plan, nodes),
            service,
            zones: zones | trials,
            zones_again: zones,
            attempts: route.attempts,
            reach: self.reach(route, service, zones),
            booking,
            ..NewRequest::default()
        };
        self.open.insert(ask.id, open);
        Ok(request)
    }

    /// Large answers stay in their region while it has a server for them: carried far they cost more than they are
    /// worth.
    fn reach(&self, route: &Route, service: u32, zones: u64) -> u32 {
        let here = |(p, up): &(Peer, bool)| {
            *up && p.service == service && p.near <= REGION && (p.zone >= 64 || zones & 1 << p.zone != 0)
        };
        if route.kind == Kind::Download && self.peers.values().any(here) {
            self.book.reach(service, REGION)
        } else {
            u32::MAX
        }
    }

    fn ended(&mut self, id: u64, attempt: u32, end: End, out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(one) = open.tries.get(attempt as usize).filter(|t| t.out) else { return };
        let (server, wrong) = (one.server, matches!(&end, End::Answered(s) if s.status == 421));
        let taken_us = self.now.saturating_sub(one.sent_at);
        if let (Some(placed), None) = (one.placed, &open.rehearsed)
            && let Some(ended) = tells_of_version(&end, taken_us, placed.cold_until > one.sent_at)
        {
            self.rollouts.ended(placed, open.route, ended);
        }
        let outcome = match end {
            End::Broken { reached: Reached::NeverRan } => Outcome::ConnectFailed,
            End::Broken { reached: Reached::MayHaveRun } => Outcome::Reset,
            End::Answered(served) => match judge(&served) {
                outcome @ (Outcome::Ok | Outcome::Rejected) => {
                    if !open.closed {
                        let Served { status, headers, body, .. } = served;
                        self.counts.served += u64::from(outcome == Outcome::Ok);
                        open.closed = true;
                        let answer = Answer { status, headers, body };
                        match open.rehearsed.take() {
                            None => out.push(Output::Answer(id, answer)),
                            Some(fault) => {
                                spoil(&mut self.late, (id, self.now, open.until), fault, answer, out)
                            }
                        }
                    }
                    outcome
                }
                outcome => {
                    // Passed on if nothing better comes, but never as a promise that this server did not give.
                    let promise = matches!(served.status, 408 | 421 | 429 | 503);
                    if !promise {
                        let Served { status, headers, body, .. } = served;
                        open.spare = Some(Answer { status, headers, body });
                    }
                    outcome
                }
            },
        };
        if wrong {
            self.counts.misled += 1;
            self.book.mislead(server);
            self.relist_at = Some(self.now);
        }
        self.back.push_back((id, attempt, outcome));
    }

    /// Hands outcomes to the decisions.
    fn settle(&mut self, out: &mut Vec<Output>) {
        while let Some((id, attempt, outcome)) = self.back.pop_front() {
            let Some(open) = self.open.get_mut(&id) else { continue };
            let closed = open.closed;
            let Some(one) = open.tries.get_mut(attempt as usize).filter(|t| t.out) else { continue };
            one.out = false;
            let (server, latency_us) = (one.server, self.now.saturating_sub(one.sent_at));
            let (used, final_units) = (None, None);
            let back = Return { id, attempt, server, outcome, latency_us, closed, used, final_units };
            self.decide(Event::Returned(back), out);
            self.forget(id);
        }
        while let Some(plan) = self.spent.pop() {
            self.decide(Event::Used { customer: plan as u64, used: SPENT }, out);
        }
    }

    fn decide(&mut self, event: Event, out: &mut Vec<Output>) {
        let mut acts = std::mem::take(&mut self.acts);
        self.decider.handle(self.now, event, &mut acts);
        for act in acts.drain(..) {
            self.act(act, out);
        }
        self.acts = acts;
    }

    fn act(&mut self, act: Action, out: &mut Vec<Output>) {
        match act {
            Action::Send { id, server, timeout_us } => self.send(id, server, timeout_us, out),
            Action::Refuse { id, retry_after_us, over } => {
                self.counts.refused += 1;
                let (status, why) = if over { (429, "beyond the quota") } else { (503, "not now") };
                self.answer(id, Answer::later(status, why, retry_after_us), out);
            }
            Action::Fail { id } => {
                self.counts.failed += 1;
                let Some(open) = self.open.get_mut(&id) else { return };
                let (spare, status) = (open.spare.take(), if open.timed_out { 504 } else { 502 });
                self.answer(id, spare.unwrap_or_else(|| Answer::plain(status, "no whole answer")), out);
            }
            Action::Cancel { id, attempt } => self.give_up(id, attempt, Outcome::Cancelled, out),
            Action::Watch => {}
            Action::Timer { at_us, .. } => self.timer = Some(at_us),
        }
    }

    fn send(&mut self, id: u64, server: u64, timeout_us: Micros, out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = open.tries.len() as u32;
        if let Some(Fault::UnreachableServer(away)) = &open.rehearsed
            && self.peers.get(&server).is_some_and(|(p, _)| *p.id == **away)
        {
            // Never sent, which tells the decisions nothing of that server.
            open.tries.push(Try { server, sent_at: self.now, out: true, placed: None });
            open.closed = true;
            out.push(Output::Answer(id, Answer::later(503, "not now", RETRY_US)));
            return self.back.push_back((id, attempt, Outcome::Moot));
        }
        let until = self.now.saturating_add(timeout_us).min(open.until);
        if attempt == 0 {
            let (plan, nodes) = (open.plan, self.copy.state.nodes.len());
            if self.tenants.sent(self.now, plan, self.book.even(plan, nodes), nodes) {
                self.spent.push(plan);
            }
            if open.booking > 0 {
                self.booked.passes(open.booking as usize);
            }
            self.rollouts.sent(open.service, open.route);
        }
        let placed = self.placed.get(&server).copied();
        if std::mem::take(&mut open.reserved) && !placed.is_some_and(|p| p.trial) {
            self.rollouts.give_back(open.service);
        }
        let again = open.tries.iter().any(|t| t.server == server);
        open.tries.push(Try { server, sent_at: self.now, out: true, placed });
        self.timeouts.add(until, id, attempt);
        self.counts.sent += 1;
        let Some((peer, _)) = self.peers.get(&server) else {
            return self.back.push_back((id, attempt, Outcome::ConnectFailed));
        };
        let (name, instance, passage) = (open.name.clone(), peer.id.clone(), open.passage.clone());
        out.push(Output::Send(Job { id, attempt, server, name, instance, passage, again, until }));
    }

    fn answer(&mut self, id: u64, answer: Answer, out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if !open.closed {
            open.closed = true;
            if open.rehearsed.take().is_some_and(|f| f.ran() == Ran::AsServed) {
                self.drills.real(id);
            }
            out.push(Output::Answer(id, answer));
        }
        self.forget(id);
    }

    fn give_up(&mut self, id: u64, attempt: u32, outcome: Outcome, out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(one) = open.tries.get(attempt as usize).filter(|t| t.out) else { return };
        let late = (outcome == Outcome::TimedOut).then_some(one.sent_at);
        open.timed_out |= late.is_some();
        if let (Some(placed), Some(_), None) = (one.placed, late, &open.rehearsed) {
            self.rollouts.ended(placed, open.route, Ended::Failed);
        }
        out.push(Output::GiveUp { id, attempt, server: one.server, late });
        self.back.push_back((id, attempt, outcome));
    }

    fn forget(&mut self, id: u64) {
        if let Occupied(open) = self.open.entry(id)
            && open.get().closed
            && !open.get().tries.iter().any(|t| t.out)
        {
            let open = open.remove();
            if open.reserved {
                self.rollouts.give_back(open.service);
            }
        }
    }

    fn due(&mut self, out: &mut Vec<Output>) {
        while let Some((id, attempt)) = self.timeouts.due(self.now) {
            self.give_up(id, attempt, Outcome::TimedOut, out);
            self.settle(out);
        }
        if self.timer.is_some_and(|at| at <= self.now) {
            self.timer = None;
            self.decide(Event::Timer { token: 0 }, out);
            self.settle(out);
        }
        if self.relist_at.is_some_and(|at| at <= self.now) {
            self.relist(out);
        }
        while let Some(entry) = self.late.first_entry().filter(|e| e.key().0 <= self.now) {
            let ((_, id), answer) = entry.remove_entry();
            out.push(Output::Answer(id, answer));
        }
        let waited = self.held.iter().filter(|(_, (_, _, until))| *until <= self.now);
        for id in waited.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.drills.late(id);
            self.go_on(id, None, out);
        }
        if self.look_at <= self.now {
            self.hold(out);
        }
    }

    // ---- drills ----

    /// What becomes of a request whose caller may be drilled.
    fn rehearses(&mut self, ask: &Ask) -> Verdict {
        // What no configuration allows is refused as ever.
        let Ok((route, tenant)) = whose(&self.config, ask) else { return Verdict::Pass };
        let meeting = Meeting {
            id: ask.id,
            tenant: tenant.map(|t| t.name.as_str()),
            key: ask.key.as_deref(),
            route: &route.name,
            head: &ask.head,
            attempt: &ask.name,
            left_us: ask.left_us.unwrap_or(Micros::MAX).min(route.deadline_ms * 1000),
        };
        self.drills.meets(self.now, &meeting)
    }

    /// A request that waited for a grant goes on.
    fn go_on(&mut self, id: u64, met: Option<Met>, out: &mut Vec<Output>) {
        let Some((mut ask, since, _)) = self.held.remove(&id) else { return };
        ask.left_us = ask.left_us.map(|left| left.saturating_sub(self.now - since));
        match met {
            Some(met) => self.strike(ask, met, out),
            None => self.take(ask, None, out),
        }
    }

    fn strike(&mut self, ask: Ask, met: Met, out: &mut Vec<Output>) {
        let (id, fault) = (ask.id, met.fault.clone());
        out.push(Output::Rehearsed { id, name: ask.name.clone(), met });
        match fault {
            Fault::Refused => out.push(Output::Answer(id, Answer::later(503, "not now", RETRY_US))),
            Fault::NoServer => {
                out.push(Output::Answer(id, Answer::later(503, "no server is known", RETRY_US)))
            }
            Fault::Closed => {
                self.drills.gone(id);
                out.push(Output::Close(id));
            }
            fault => self.take(ask, Some(fault), out),
        }
    }

    fn leave_drills(&mut self, id: u64) {
        self.held.remove(&id);
        self.late.retain(|(_, of), _| *of != id);
        self.drills.gone(id);
    }

    /// What is to go up the tree of drills, if anything.
    pub fn drill_rows(&mut self, now: Micros) -> Vec<Rows> {
        if self.drills.idle() { Vec::new() } else { self.drills.tells(now) }
    }

    /// What is to go up the tree of rollouts, if anything.
    pub fn tallies(&mut self, now: Micros) -> Vec<Tally> {
        // By how servers are placed now: what was sent before the order counts too.
        let (open, placed) = (&self.open, &self.placed);
        let old_out = |epoch| {
            let of = |p: &Placed| p.epoch == epoch && p.side == Side::Old;
            let old = |t: &&Try| t.out && placed.get(&t.server).is_some_and(of);
            open.values().flat_map(|o| &o.tries).filter(old).count() as u32
        };
        self.rollouts.tallies(now, self.copy.rev(), old_out)
    }

    fn learn_drills(&mut self, out: &mut Vec<Output>) {
        let agreed = &self.copy.state.drills;
        if agreed.0.is_empty() && self.drills.idle() {
            return;
        }
        let c = &self.counts;
        let failed = ((c.refused + c.failed) * 1000 / c.asked.max(1)) as u32;
        for (id, met) in self.drills.learn(self.now, agreed, failed) {
            self.go_on(id, met, out);
        }
    }

    // ---- the meter ----

    /// What is done here for tenants, for the next report.
    pub fn uses(&mut self, now: Micros) -> Vec<Use> {
        let mut uses = self.tenants.uses(now, |plan| self.book.key(plan));
        if !self.cramp.is_empty() {
            uses.extend(self.booked.uses(now, |number| self.cramp.key(number)));
        }
        uses
    }

    /// Others should hear soon of what is asked here.
    pub fn hurries(&mut self) -> bool {
        std::mem::take(&mut self.tenants.hurries) | std::mem::take(&mut self.booked.hurries)
    }

    fn meter(&mut self, readings: &[Reading], made_at: Micros, out: &mut Vec<Output>) {
        let nodes = self.copy.state.nodes.len();
        for (plan, rate) in self.book.quotas() {
            let key = self.book.key(plan);
            if let Some(reading) = readings.iter().find(|r| r.tenant == key) {
                let quota = Quota { rate, burst: self.book.even(plan, nodes).burst };
                let used = self.tenants.read(self.now, made_at, plan, reading, nodes, quota);
                self.decide(Event::Used { customer: plan as u64, used }, out);
            }
        }
    }

    // ---- news ----

    fn news(&mut self, news: News, out: &mut Vec<Output>) {
        // A gap is mended by the next report, which tells how far this copy has come.
        let of_drills = |c: &Command| matches!(c, Command::Drill(_));
        let adds_servers_alone = adds_servers_alone(&news);
        let drills_alone = matches!(&news, News::Run { commands, .. }
            if !commands.is_empty() && commands.iter().all(|(_, c)| of_drills(c)));
        if !self.take_news(news) {
            return;
        }
        self.learn_drills(out);
        if drills_alone {
            return; // nothing that the decisions are to hear of
        }
        let newer = self.copy.state.config.as_ref();
        let newer = newer.filter(|new| self.config.as_ref().is_none_or(|(c, _)| !Arc::ptr_eq(c, new)));
        let nodes = &self.copy.state.nodes;
        let index = nodes.keys().position(|ip| *ip == self.place.ip).unwrap_or(0);
        let among = (nodes.len(), index);
        // Most news is of servers, which the settings of the decisions do not depend on.
        if newer.is_some() || among != self.among {
            if let Some(config) = newer {
                self.config = Some((config.clone(), config.index()));
            }
            self.among = among;
            self.settle_in();
        }
        let book = &self.book;
        self.rollouts.learn(self.now, &self.copy.state.rollouts, among.0, |service| book.service(service));
        let soon = self.listed_at + GATHER_US;
        if adds_servers_alone && !self.rollouts.is_idle() && self.now < soon {
            self.relist_at = Some(self.relist_at.map_or(soon, |at| at.min(soon)));
            return;
        }
        self.relist(out);
    }

    /// Takes news into the copy; where something is booked a command at a time, as a part that was smaller for a moment
    /// binds too.
    fn take_news(&mut self, news: News) -> bool {
        let booked = !self.copy.state.bookings.is_empty();
        let mut changed = false;
        match news {
            News::Run { mut from, to, commands }
                if booked || commands.iter().any(|c| matches!(c.1, Command::Book(_))) =>
            {
                let last = commands.last().map_or(from, |c| c.0);
                for (rev, command) in commands {
                    let one = News::Run { from, to: rev, commands: vec![(rev, command)] };
                    if self.copy.take(self.now, one) == Took::Changed {
                        changed = true;
                        self.cramp.learn(self.now, &self.copy.state, false);
                    }
                    from = rev;
                }
                let rest = News::Run { from: last, to, commands: Vec::new() };
                changed |= self.copy.take(self.now, rest) == Took::Changed;
            }
            News::Whole(_) => {
                changed = self.copy.take(self.now, news) == Took::Changed;
                let any = booked || !self.copy.state.bookings.is_empty();
                if changed && any {
                    self.cramp.learn(self.now, &self.copy.state, true);
                }
            }
            News::Run { .. } => changed = self.copy.take(self.now, news) == Took::Changed,
        }
        if !self.cramp.is_empty() {
            self.look_at = self.now;
        }
        changed
    }

    // ---- bookings ----

    /// The booking that a request comes under; 0: none.
    fn come_under(&self, tenant: Option<&Tenant>, route: &Route, service: u32) -> u32 {
        if self.cramp.is_empty() {
            return 0;
        }
        let to = route.to.iter().find(|(name, _)| self.book.service(name) == Some(service));
        let to = to.map_or("", |(name, _)| name);
        self.cramp.booking(self.now, tenant.map(|t| t.name.as_str()), &route.name, to)
    }

    /// When this proxy last held all that was acknowledged, as the feed has it.
    pub fn fresh(&mut self, now: Micros, at: Option<Micros>) {
        self.now = self.now.max(now);
        if self.cramp.fresh(self.now, at) && !self.cramp.is_empty() {
            self.look_at = self.now;
        }
    }

    /// Tells the decisions what bookings hold here, if that has changed.
    fn hold(&mut self, out: &mut Vec<Output>) {
        let holds = self.cramp.holds(self.now, self.copy.state.nodes.len(), &self.book);
        self.look_at = self.cramp.wake_at(self.now);
        if holds == self.holds {
            return;
        }
        self.holds = holds;
        let mut acts = std::mem::take(&mut self.acts);
        self.decider.hold(self.now, &self.holds, &mut acts);
        for act in acts.drain(..) {
            self.act(act, out);
        }
        self.acts = acts;
        self.settle(out);
    }

    /// Holds what this state has of bookings, which no news told of: for baselines that agree on nothing.
    pub fn hold_alone(&mut self, now: Micros, state: &State) {
        self.now = self.now.max(now);
        self.cramp.learn(self.now, state, false);
        self.look_at = self.now;
    }

    /// What is held of each booking here, for who watches.
    pub fn bookings(&self) -> BTreeMap<&str, Shown> {
        self.cramp.show(self.now)
    }

    /// Sets the decisions by the configuration and by how many proxies there are.
    fn settle_in(&mut self) {
        let (nodes, index) = self.among;
        if let Some((config, _)) = &self.config {
            self.book.learn(config, nodes);
            let longest = config.routes.iter().map(|r| r.deadline_ms).max().unwrap_or(0);
            self.cramp.keep(longest * 1000);
        }
        let balancers = nodes.max(index + 1) as u32;
        let settings = self.book.settings(balancers, index as u32, self.beat_us);
        // What was sane before stays in force: a configuration that is taken makes sane settings.
        let _ = self.decider.reconfigure(settings);
    }

    fn relist(&mut self, out: &mut Vec<Output>) {
        let List { entries, peers, placed, changes_at } = self.book.list(self.now, &self.copy.state);
        (self.relist_at, self.listed_at, self.placed) = (changes_at, self.now, placed);
        let gone: Vec<u64> = self.peers.keys().filter(|n| !peers.contains_key(n)).copied().collect();
        for server in gone {
            self.peers.remove(&server);
            out.push(Output::Gone { server });
        }
        for (server, now) in peers {
            if self.peers.get(&server) != Some(&now) {
                out.push(Output::Server { server, peer: now.0.clone(), up: now.1 });
                self.peers.insert(server, now);
            }
        }
        self.decide(Event::List { kind: ListKind::Full, entries }, out);
    }
}

/// While a rollout runs, servers come by the hundred, each with news of its own; the list is made anew for all that come within
/// so long.
const GATHER_US: Micros = 150_000;

/// The news tell of nothing but servers that are there, and take none away.
fn adds_servers_alone(news: &News) -> bool {
    let adds = |c: &ServerChange| matches!(c, ServerChange::Up(_) | ServerChange::Runs { .. });
    let of = |command: &Command| matches!(command, Command::Servers(all) if all.iter().all(adds));
    matches!(news, News::Run { commands, .. } if !commands.is_empty() && commands.iter().all(|(_, c)| of(c)))
}

/// A quota of which nothing is left but the even share, as from now: what was saved up is spent.
const SPENT: f64 = 1.2;

/// When there is nothing that could serve, it is worth asking again after so long.
const RETRY_US: Micros = 500_000;

/// The route and the tenant of a request, or why it may not be.
fn whose<'c>(
    config: &'c Option<(Arc<Config>, Index)>,
    ask: &Ask,
) -> Result<(&'c Route, Option<&'c Tenant>), Answer> {
    let Some((config, index)) = config else {
        return Err(Answer::later(503, "no configuration yet", 200_000));
    };
    let path = ask.target.split(['?', '#']).next().unwrap_or("");
    let Some(route) = index.route(&ask.host, path).map(|n| &config.routes[n]) else {
        return Err(Answer::plain(404, "no route"));
    };
    if !index.needs_keys() || route.keyless {
        return Ok((route, None));
    }
    let found = ask.key.as_deref().and_then(|k| index.tenant_by_key(k));
    let Some(found) = found else { return Err(Answer::plain(401, "no such key")) };
    Ok((route, config.tenants.as_ref().map(|t| &t[found])))
}

/// What a rehearsal makes of a server's whole answer. The request has run, so nothing of it is a promise.
fn spoil(
    late: &mut BTreeMap<(Micros, u64), Answer>,
    (id, now, until): (u64, Micros, Micros),
    fault: Fault,
    answer: Answer,
    out: &mut Vec<Output>,
) {
    match fault {
        Fault::Late { ms } => {
            let at = now + Micros::from(ms) * 1000;
            if at < until {
                late.insert((at, id), answer);
            } else {
                late.insert((until.max(now), id), Answer::plain(504, "no whole answer"));
            }
        }
        Fault::Slow { ms } => out.push(Output::Slow(id, answer, Micros::from(ms) * 1000)),
        Fault::Cut => out.push(Output::Cut(id, answer)),
        Fault::Lost => out.push(Output::Answer(id, Answer::plain(502, "no whole answer"))),
        _ => out.push(Output::Answer(id, answer)),
    }
}

/// What the end of an attempt says of the version of its server, if anything.
fn tells_of_version(end: &End, taken_us: Micros, cold: bool) -> Option<Ended> {
    match end {
        End::Broken { reached: Reached::NeverRan } => None,
        End::Broken { reached: Reached::MayHaveRun } => Some(Ended::Failed),
        End::Answered(served) => match judge(served) {
            Outcome::Ok => Some(Ended::Served { taken_us, cold }),
            Outcome::Full | Outcome::ConnectFailed => None,
            _ => Some(Ended::Failed),
        },
    }
}

/// What an answer says of its attempt.
fn judge(served: &Served) -> Outcome {
    match served.status {
        // Another server's address by now: it did not run there, and says nothing of the load.
        421 => Outcome::ConnectFailed,
        _ if served.not_run => Outcome::Full,
        200..400 => Outcome::Ok,
        // Promises that nobody gave: the request may have run.
        408 | 429 => Outcome::Error,
        400..500 => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

/// One of the route's services by weight, of those that have a server to be sent to.
fn pick_service(
    book: &Book,
    peers: &BTreeMap<u64, (Peer, bool)>,
    rng: &mut fastrand::Rng,
    route: &Route,
) -> Option<u32> {
    if let [(only, _)] = route.to.as_slice() {
        return book.service(only);
    }
    let lives = |name: &str| {
        book.service(name).is_some_and(|service| peers.values().any(|(p, up)| *up && p.service == service))
    };
    let alive: Vec<&(String, f64)> = route.to.iter().filter(|(name, w)| *w > 0.0 && lives(name)).collect();
    let all: f64 = alive.iter().map(|(_, w)| w).sum();
    let mut at = rng.f64() * all;
    for (name, weight) in &alive {
        at -= weight;
        if at < 0.0 {
            return book.service(name);
        }
    }
    alive.first().or(route.to.iter().collect::<Vec<_>>().first()).and_then(|(name, _)| book.service(name))
}

/// Request line and headers for any server.
fn head(ask: &Ask, tenant: Option<&Tenant>) -> Vec<u8> {
    let mut head = Vec::with_capacity(ask.head.len() + ask.target.len() + 160);
    for part in [&ask.method, " ", &ask.target, " HTTP/1.1\r\n"] {
        head.extend_from_slice(part.as_bytes());
    }
    head.extend_from_slice(&ask.head);
    if let Some(tenant) = tenant {
        head.extend_from_slice(format!("X-Tenant-Name: {}\r\n", tenant.name).as_bytes());
    }
    head
}
