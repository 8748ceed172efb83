//! Dispatches requests to servers. This is a state machine without I/O: requests, results of attempts and state updates
//! come in; attempts to send and answers go out.
//!
//! To the client, 429 and 503 promise that the request has not run and will not. They are therefore sent only where
//! that is known, or where the request may run more than once anyway.

use crate::drill::{DrillDecision, DrilledRequest, Drills, InjectedFault};
use crate::reservations::{ReservationStatus, Reservations};
use crate::rollout::{AttemptEnd, RolloutServer, Rollouts, Side};
use crate::routing_view::{Peer, ProxySettings, RoutingView, SAME_REGION, ServerList};
use crate::split::pick_service;
use crate::tenants::{Quota, Tenants};
use cluster::Rev;
use cluster::copy::{Copy, Took};
use cluster::drill::Rows;
use cluster::rollout::Tally;
use cluster::state::{Command, ServerChange, State};
use cluster::talk::{Lease, News, Reading, Use, route_key};
use curlewfront::{Action, Decider, Event, Hold, ListKind, Micros, NewRequest, Outcome};
use net::memory::BufferedBody;
use net::pool::ForwardedRequest;
use net::timeouts::Timeouts;
use settings::config::{Config, Index, Kind, Route, Tenant};
use settings::drill::{Fault, Ran};
use std::collections::hash_map::Entry::Occupied;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// A client's complete request.
pub struct ClientRequest {
    pub id: u64,
    pub method: String,
    pub target: String,
    pub host: String,
    /// The client's name for this try (`X-Attempt-Id`).
    pub attempt_id: Arc<[u8]>,
    /// The time that the client still allows (`X-Time-Left`).
    pub left_us: Option<Micros>,
    /// The access key of a tenant (`Authorization`).
    pub key: Option<String>,
    /// Header lines to forward to the server.
    pub head: Vec<u8>,
    pub body: BufferedBody,
}

/// How an attempt ended.
pub enum AttemptResult {
    /// With a complete answer.
    Answered(ServerAnswer),
    /// Without a complete answer.
    Broken { execution: Execution },
}

/// Whether the server may have run an attempt that ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The server cannot have run it.
    NeverRan,
    MayHaveRun,
}

/// A server's answer.
pub struct ServerAnswer {
    pub status: u16,
    /// The server says that it did not run the request.
    pub not_run: bool,
    /// Header lines to forward to the client.
    pub headers: Vec<u8>,
    pub body: BufferedBody,
}

pub enum Input {
    /// Time has passed.
    Tick,
    Request(ClientRequest),
    /// The client of this request has left before its answer.
    ClientGone(u64),
    AttemptEnded {
        id: u64,
        attempt: u32,
        end: AttemptResult,
    },
    News(News),
    /// Readings of what tenants use of their quotas, and the earliest time at which they may have been made.
    Meter(Vec<Reading>, Micros),
    /// How long drills may still run, and when that was said. The time is never too early, as no drill may end early.
    Leases(Vec<Lease>, Micros),
}

pub enum Output {
    Send(Job),
    /// Stop waiting for an attempt and close its connection.
    CancelAttempt {
        id: u64,
        attempt: u32,
        server: u64,
        /// When the attempt was sent, if it has timed out.
        timed_out_sent_at: Option<Micros>,
    },
    Answer(u64, Answer),
    /// Fault of a drill: send the head and half of the body, then close the connection.
    Cut(u64, Answer),
    /// Fault of a drill: send the body in pieces over this time.
    Slow(u64, Answer, Micros),
    /// Fault of a drill: close the connection without an answer.
    Close(u64),
    /// A drill injects its fault into this request; for the log.
    DrillFault {
        id: u64,
        attempt_id: Arc<[u8]>,
        injected: InjectedFault,
    },
    /// A server is new, or has changed. `up`: it may get new requests.
    Server {
        server: u64,
        peer: Peer,
        up: bool,
    },
    /// A server has left the list.
    ServerRemoved {
        server: u64,
    },
}

/// One attempt at a request, to be sent to a server.
pub struct Job {
    pub id: u64,
    pub attempt: u32,
    pub server: u64,
    pub attempt_id: Arc<[u8]>,
    /// The server instance that may run it; another one at the same address must refuse it.
    pub instance: Arc<str>,
    pub request: Arc<ForwardedRequest>,
    /// An earlier attempt of this request went to this server.
    pub same_server_retry: bool,
    /// When the attempt times out.
    pub until: Micros,
    /// The revision of the list by which the server was chosen.
    pub list_rev: Rev,
}

/// An answer to a client.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<u8>,
    pub body: BufferedBody,
}

impl Answer {
    fn text(status: u16, why: &str) -> Answer {
        let headers = b"Content-Type: text/plain\r\n".to_vec();
        Answer { status, headers, body: format!("{why}\n").into_bytes().into() }
    }

    /// The request has not run; `after`: when the client may try again.
    fn retry_later(status: u16, why: &str, after: Micros) -> Answer {
        let mut answer = Answer::text(status, why);
        let seconds = after.max(1_000) as f64 / 1e6;
        answer.headers.extend_from_slice(format!("Retry-After: {seconds:.3}\r\n").as_bytes());
        answer
    }
}

struct Attempt {
    server: u64,
    sent_at: Micros,
    in_flight: bool,
    /// The side of its server in a rollout of its service, if one was running.
    placed: Option<RolloutServer>,
}

/// A request that has no final answer yet, or has attempts in flight.
///
/// A configuration that comes meanwhile changes nothing of it. Here or in its [`NewRequest`] it carries what its route and
/// tenant said when it was accepted: service, kind, deadline, target, zones, attempt limit, tenant and booking. Only
/// figures that are shared with other requests are the newest, and are found by numbers that never change their meaning:
/// the tenant's quota, the state of a service and its servers, the room of a booking, the share of a trial.
struct OpenRequest {
    attempt_id: Arc<[u8]>,
    /// The request without the lines that differ between attempts.
    forwarded: Arc<ForwardedRequest>,
    deadline: Micros,
    /// Number of the tenant's plan; 0: no tenant.
    plan: usize,
    /// Number of the booking that it counts under; 0: none.
    booking: u32,
    service: u32,
    /// [`route_key`] of its route.
    route: u32,
    /// It may go to a server on trial and has not yet used that part of the trial's share.
    trial_reserved: bool,
    attempts: Vec<Attempt>,
    /// The last error answer of a server, forwarded if no attempt succeeds.
    fallback: Option<Answer>,
    /// An attempt has timed out.
    timed_out: bool,
    /// It has been answered, or its client has left.
    closed: bool,
    /// The fault that a drill injects into it.
    drill_fault: Option<Fault>,
}

/// Counters of this proxy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests of clients.
    pub asked: u64,
    /// Requests answered with a server's success.
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Attempts.
    pub sent: u64,
    /// Attempts that reached another instance than the one listed (status 421).
    pub wrong_instance: u64,
}

pub struct Dispatcher {
    now: Micros,
    /// This proxy's copy of the agreed cluster state.
    pub copy: Copy,
    config: Option<(Arc<Config>, Index)>,
    routing_view: RoutingView,
    decider: Decider,
    rng: fastrand::Rng,
    beat_us: Micros,
    place: ProxySettings,
    requests: HashMap<u64, OpenRequest>,
    timeouts: Timeouts,
    /// When the decider wants to be called again.
    decider_timer: Option<Micros>,
    /// The listed servers, and whether each may get new requests.
    peers: BTreeMap<u64, (Peer, bool)>,
    /// The number of proxies and the index of this one, as the decider was last told.
    membership: (usize, usize),
    /// When the list of servers is to be rebuilt though no update comes.
    relist_at: Option<Micros>,
    listed_at: Micros,
    /// The revision of the state from which the list of servers was last built.
    list_rev: Rev,
    tenants: Tenants,
    reservations: Reservations,
    /// Requests counted for each booking.
    booking_usage: Tenants,
    /// The reservations for bookings, as the decider was last told.
    holds: Vec<Hold>,
    /// When the reservations are next computed.
    holds_due_at: Micros,
    /// Plans that have just used up what this proxy may send ahead of a quota reading.
    exhausted_plans: Vec<usize>,
    /// Buffer that is reused between calls of the decider.
    actions: Vec<Action>,
    /// Outcomes of attempts that the decider has not been told yet.
    outcomes: VecDeque<(u64, u32, Outcome)>,
    rollouts: Rollouts,
    /// The side of each server whose service has a running rollout.
    placements: BTreeMap<u64, RolloutServer>,
    drills: Drills,
    /// Requests that wait for a drill's grant: since when, and until when.
    awaiting_grant: BTreeMap<u64, (ClientRequest, Micros, Micros)>,
    /// Answers that a drill delays, by when they are sent.
    delayed_answers: BTreeMap<(Micros, u64), Answer>,
    pub counts: Counts,
}

impl Dispatcher {
    pub fn new(place: ProxySettings, beat_us: Micros, seed: u64, now: Micros) -> Dispatcher {
        let routing_view = RoutingView::new(place.clone());
        let settings = routing_view.settings(1, 0, beat_us);
        Dispatcher {
            now,
            copy: Copy::default(),
            config: None,
            decider: Decider::new(settings, seed).expect("the initial settings are valid"),
            routing_view,
            rng: fastrand::Rng::with_seed(seed ^ 1),
            beat_us,
            rollouts: Rollouts::new(place.ip, seed, place.exposure, beat_us, now),
            placements: BTreeMap::new(),
            drills: Drills::new(place.ip, seed, beat_us),
            awaiting_grant: BTreeMap::new(),
            delayed_answers: BTreeMap::new(),
            reservations: Reservations::new(place.ip, place.booking_times),
            booking_usage: Tenants::new(beat_us / 3, seed),
            holds: Vec::new(),
            holds_due_at: Micros::MAX,
            place,
            requests: HashMap::new(),
            timeouts: Timeouts::default(),
            decider_timer: None,
            peers: BTreeMap::new(),
            membership: (1, 0),
            relist_at: None,
            listed_at: 0,
            list_rev: 0,
            tenants: Tenants::new(beat_us / 3, seed),
            exhausted_plans: Vec::new(),
            actions: Vec::new(),
            outcomes: VecDeque::new(),
            counts: Counts::default(),
        }
    }

    /// Whether there are a configuration and servers.
    pub fn ready(&self) -> bool {
        self.config.is_some() && !self.peers.is_empty()
    }

    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    pub fn limits(&self) -> Option<&settings::config::Limits> {
        self.config.as_ref().map(|(c, _)| &c.limits)
    }

    /// When `handle` is to be called again if nothing else happens.
    pub fn wake_at(&mut self) -> Micros {
        let requests = &self.requests;
        let in_flight = |id, attempt: u32| {
            requests.get(&id).and_then(|r| r.attempts.get(attempt as usize)).is_some_and(|t| t.in_flight)
        };
        let timeout = self.timeouts.next(in_flight);
        let delayed = self.delayed_answers.keys().next().map(|(at, _)| *at);
        let grant = self.awaiting_grant.values().map(|(_, _, until)| *until).min();
        let due = [timeout, self.decider_timer, self.relist_at, delayed, grant].into_iter().flatten().min();
        due.unwrap_or(Micros::MAX)
            .min(self.holds_due_at)
            .min(self.drills.wake_at())
            .min(self.rollouts.wake_at())
    }

    /// Handles one input and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        let before = out.len();
        match input {
            Input::Tick => {}
            Input::Request(request) => self.handle_request(request, out),
            Input::ClientGone(id) => {
                self.leave_drills(id);
                if let Some(request) = self.requests.get_mut(&id).filter(|r| !r.closed) {
                    request.closed = true;
                    self.decide(Event::Withdrawn { id }, out);
                    self.remove_if_done(id);
                }
            }
            Input::AttemptEnded { id, attempt, end } => self.attempt_ended(id, attempt, end, out),
            Input::News(news) => self.apply_news(news, out),
            Input::Meter(readings, made_at) => self.apply_readings(&readings, made_at, out),
            Input::Leases(leases, made_at) => self.drills.renew_leases(made_at, &leases),
        }
        self.report_outcomes(out);
        self.run_due(out);
        if !self.drills.is_idle() {
            for output in &out[before..] {
                if let Output::Answer(id, Answer { status, .. })
                | Output::Cut(id, Answer { status, .. })
                | Output::Slow(id, Answer { status, .. }, _) = output
                {
                    self.drills.record_answer(self.now, *id, *status);
                }
            }
        }
    }

    // ---- requests ----

    fn handle_request(&mut self, request: ClientRequest, out: &mut Vec<Output>) {
        self.counts.asked += 1;
        let verdict = if self.drills.is_idle() { DrillDecision::Pass } else { self.check_drills(&request) };
        match verdict {
            DrillDecision::Pass => self.accept(request, None, out),
            DrillDecision::Hold(until) => {
                _ = self.awaiting_grant.insert(request.id, (request, self.now, until))
            }
            DrillDecision::Inject(injected) => self.apply_drill_fault(request, injected, out),
        }
    }

    fn accept(&mut self, request: ClientRequest, drill_fault: Option<Fault>, out: &mut Vec<Output>) {
        let id = request.id;
        match self.admit(request, drill_fault) {
            Err(answer) => out.push(Output::Answer(id, answer)),
            Ok(new_request) => self.decide(Event::Request(new_request), out),
        }
    }

    fn admit(&mut self, request: ClientRequest, drill_fault: Option<Fault>) -> Result<NewRequest, Answer> {
        let Matched { position, route, tenant } = match_request(&self.config, &request)?;
        let mut zones = self.routing_view.zones_in_regions(&route.homes)
            & tenant.map_or(u64::MAX, |t| self.routing_view.zones_in_regions(&t.homes));
        if let Some(Fault::UnreachableZone(zone)) = &drill_fault {
            zones &= self.routing_view.zones_except(zone);
        }
        zones = self.routing_view.regular_zones(zones);
        if zones == 0 {
            return Err(Answer::retry_later(503, "no region may serve this", RETRY_AFTER_US));
        }
        let has_server = |name: &str| {
            let service = self.routing_view.service(name);
            self.peers.values().any(|(p, up)| *up && Some(p.service) == service)
        };
        let drawn = pick_service(route, has_server, &mut self.rng);
        let Some(service) = drawn.and_then(|name| self.routing_view.service(name)) else {
            return Err(Answer::retry_later(503, "no server is known", RETRY_AFTER_US));
        };
        let left_us = request.left_us.unwrap_or(Micros::MAX).min(route.deadline_ms * 1000);
        let plan = tenant.map_or(0, |t| self.routing_view.plan(&t.name));
        self.tenants.record_request(plan);
        let nodes = self.copy.state.nodes.len();
        if !self.tenants.may_send(self.now, plan, self.routing_view.even_share(plan, nodes), nodes) {
            self.counts.refused += 1;
            return Err(Answer::retry_later(429, "beyond the quota", RETRY_AFTER_US));
        }
        let booking = self.booking_of(tenant, route, service);
        if booking > 0 {
            self.booking_usage.record_request(booking as usize);
        }
        let route_key = route_key(&route.host, &route.prefix);
        let trial_reserved = drill_fault.is_none() && self.rollouts.reserve(service, route_key);
        let trials = if trial_reserved { self.routing_view.trial_zones(zones) } else { 0 };
        let accepted = OpenRequest {
            attempt_id: request.attempt_id.clone(),
            forwarded: Arc::new(ForwardedRequest {
                head: request_head(&request, tenant),
                body: request.body,
            }),
            deadline: self.now + left_us,
            plan,
            booking,
            service,
            route: route_key,
            trial_reserved,
            attempts: Vec::new(),
            fallback: None,
            timed_out: false,
            closed: false,
            drill_fault,
        };
        let new_request = NewRequest {
            id: request.id,
            class: self.routing_view.class(position),
            plan,
            customer: plan as u64,
            left_us,
            spread: self.tenants.spread(self.now, plan, nodes),
            units: self.tenants.request_cost(self.now, plan, nodes),
            service,
            zones: zones | trials,
            retry_zones: zones,
            max_attempts: route.attempts,
            max_distance: self.max_distance(route, service, zones),
            booking,
            ..NewRequest::default()
        };
        self.requests.insert(request.id, accepted);
        Ok(new_request)
    }

    /// How far a request may be sent. Downloads stay in their region while it has a server for them, as carrying large
    /// answers between regions costs more than they are worth.
    fn max_distance(&self, route: &Route, service: u32, zones: u64) -> u32 {
        let here = |(p, up): &(Peer, bool)| {
            *up && p.service == service && p.near <= SAME_REGION && (p.zone >= 64 || zones & 1 << p.zone != 0)
        };
        if route.kind == Kind::Download && self.peers.values().any(here) {
            self.routing_view.reach(service, SAME_REGION)
        } else {
            u32::MAX
        }
    }

    fn attempt_ended(&mut self, id: u64, attempt: u32, end: AttemptResult, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(this_attempt) = request.attempts.get(attempt as usize).filter(|t| t.in_flight) else {
            return;
        };
        let (server, wrong_instance) =
            (this_attempt.server, matches!(&end, AttemptResult::Answered(s) if s.status == 421));
        let taken_us = self.now.saturating_sub(this_attempt.sent_at);
        if let (Some(placed), None) = (this_attempt.placed, &request.drill_fault)
            && let Some(ended) = version_outcome(&end, taken_us, placed.cold_until > this_attempt.sent_at)
        {
            self.rollouts.record_end(placed, request.route, ended);
        }
        let outcome = match end {
            AttemptResult::Broken { execution: Execution::NeverRan } => Outcome::ConnectFailed,
            AttemptResult::Broken { execution: Execution::MayHaveRun } => Outcome::Reset,
            AttemptResult::Answered(served) => match outcome_of(&served) {
                outcome @ (Outcome::Ok | Outcome::Rejected) => {
                    if !request.closed {
                        let ServerAnswer { status, headers, body, .. } = served;
                        self.counts.served += u64::from(outcome == Outcome::Ok);
                        request.closed = true;
                        let answer = Answer { status, headers, body };
                        match request.drill_fault.take() {
                            None => out.push(Output::Answer(id, answer)),
                            Some(fault) => answer_with_fault(
                                &mut self.delayed_answers,
                                (id, self.now, request.deadline),
                                fault,
                                answer,
                                out,
                            ),
                        }
                    }
                    outcome
                }
                outcome => {
                    // Forwarded if no other attempt succeeds, unless the client would read it as a promise that the
                    // request has not run, which this server did not give.
                    let promise = matches!(served.status, 408 | 421 | 429 | 503);
                    if !promise {
                        let ServerAnswer { status, headers, body, .. } = served;
                        request.fallback = Some(Answer { status, headers, body });
                    }
                    outcome
                }
            },
        };
        if wrong_instance {
            self.counts.wrong_instance += 1;
            self.routing_view.mark_misdirected(server);
            self.relist_at = Some(self.now);
        }
        self.outcomes.push_back((id, attempt, outcome));
    }

    /// Reports outcomes and exhausted plans to the decider.
    fn report_outcomes(&mut self, out: &mut Vec<Output>) {
        while let Some((id, attempt, outcome)) = self.outcomes.pop_front() {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            let closed = request.closed;
            let Some(this_attempt) = request.attempts.get_mut(attempt as usize).filter(|t| t.in_flight)
            else {
                continue;
            };
            this_attempt.in_flight = false;
            let (server, latency_us) = (this_attempt.server, self.now.saturating_sub(this_attempt.sent_at));
            let (used, final_units) = (None, None);
            let back = curlewfront::AttemptEnd {
                id,
                attempt,
                server,
                outcome,
                latency_us,
                closed,
                used,
                final_units,
            };
            self.decide(Event::AttemptEnded(back), out);
            self.remove_if_done(id);
        }
        while let Some(plan) = self.exhausted_plans.pop() {
            self.decide(Event::MeterReading { customer: plan as u64, used: EXHAUSTED_USE }, out);
        }
    }

    fn decide(&mut self, event: Event, out: &mut Vec<Output>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.decider.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(action, out);
        }
        self.actions = actions;
    }

    fn apply_action(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send { id, server, timeout_us } => self.send(id, server, timeout_us, out),
            Action::Refuse { id, retry_after_us, over_quota } => {
                self.counts.refused += 1;
                let (status, why) = if over_quota { (429, "beyond the quota") } else { (503, "not now") };
                self.answer(id, Answer::retry_later(status, why, retry_after_us), out);
            }
            Action::Fail { id } => {
                self.counts.failed += 1;
                let Some(request) = self.requests.get_mut(&id) else { return };
                let (fallback, status) = (request.fallback.take(), if request.timed_out { 504 } else { 502 });
                self.answer(id, fallback.unwrap_or_else(|| Answer::text(status, "no whole answer")), out);
            }
            Action::Cancel { id, attempt } => self.cancel_attempt(id, attempt, Outcome::Cancelled, out),
            Action::Watch => {}
            Action::Timer { at_us, .. } => self.decider_timer = Some(at_us),
        }
    }

    fn send(&mut self, id: u64, server: u64, timeout_us: Micros, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.len() as u32;
        if let Some(Fault::UnreachableServer(away)) = &request.drill_fault
            && self.peers.get(&server).is_some_and(|(p, _)| *p.id == **away)
        {
            // Never sent; the outcome `NotSent` tells the decider nothing about that server.
            request.attempts.push(Attempt { server, sent_at: self.now, in_flight: true, placed: None });
            request.closed = true;
            out.push(Output::Answer(id, Answer::retry_later(503, "not now", RETRY_AFTER_US)));
            return self.outcomes.push_back((id, attempt, Outcome::NotSent));
        }
        let until = self.now.saturating_add(timeout_us).min(request.deadline);
        if attempt == 0 {
            let (plan, nodes) = (request.plan, self.copy.state.nodes.len());
            if self.tenants.spend(self.now, plan, self.routing_view.even_share(plan, nodes), nodes) {
                self.exhausted_plans.push(plan);
            }
            if request.booking > 0 {
                self.booking_usage.record_sent(request.booking as usize);
            }
            self.rollouts.record_first_try(request.service, request.route);
        }
        let placed = self.placements.get(&server).copied();
        if std::mem::take(&mut request.trial_reserved) && !placed.is_some_and(|p| p.trial) {
            self.rollouts.give_back(request.service);
        }
        let same_server_retry = request.attempts.iter().any(|t| t.server == server);
        request.attempts.push(Attempt { server, sent_at: self.now, in_flight: true, placed });
        self.timeouts.add(until, id, attempt);
        self.counts.sent += 1;
        let Some((peer, _)) = self.peers.get(&server) else {
            return self.outcomes.push_back((id, attempt, Outcome::ConnectFailed));
        };
        let (attempt_id, instance, forwarded) =
            (request.attempt_id.clone(), peer.id.clone(), request.forwarded.clone());
        out.push(Output::Send(Job {
            id,
            attempt,
            server,
            attempt_id,
            instance,
            request: forwarded,
            same_server_retry,
            until,
            list_rev: self.list_rev,
        }));
    }

    fn answer(&mut self, id: u64, answer: Answer, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.closed {
            request.closed = true;
            if request.drill_fault.take().is_some_and(|f| f.ran() == Ran::AsServed) {
                self.drills.mark_uninjected(id);
            }
            out.push(Output::Answer(id, answer));
        }
        self.remove_if_done(id);
    }

    fn cancel_attempt(&mut self, id: u64, attempt: u32, outcome: Outcome, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(this_attempt) = request.attempts.get(attempt as usize).filter(|t| t.in_flight) else {
            return;
        };
        let late = (outcome == Outcome::TimedOut).then_some(this_attempt.sent_at);
        request.timed_out |= late.is_some();
        if let (Some(placed), Some(_), None) = (this_attempt.placed, late, &request.drill_fault) {
            self.rollouts.record_end(placed, request.route, AttemptEnd::Failed);
        }
        out.push(Output::CancelAttempt { id, attempt, server: this_attempt.server, timed_out_sent_at: late });
        self.outcomes.push_back((id, attempt, outcome));
    }

    fn remove_if_done(&mut self, id: u64) {
        if let Occupied(entry) = self.requests.entry(id)
            && entry.get().closed
            && !entry.get().attempts.iter().any(|t| t.in_flight)
        {
            let request = entry.remove();
            if request.trial_reserved {
                self.rollouts.give_back(request.service);
            }
        }
    }

    fn run_due(&mut self, out: &mut Vec<Output>) {
        while let Some((id, attempt)) = self.timeouts.due(self.now) {
            self.cancel_attempt(id, attempt, Outcome::TimedOut, out);
            self.report_outcomes(out);
        }
        if self.decider_timer.is_some_and(|at| at <= self.now) {
            self.decider_timer = None;
            self.decide(Event::Timer { token: 0 }, out);
            self.report_outcomes(out);
        }
        if self.relist_at.is_some_and(|at| at <= self.now) {
            self.rebuild_list(out);
        }
        while let Some(entry) = self.delayed_answers.first_entry().filter(|e| e.key().0 <= self.now) {
            let ((_, id), answer) = entry.remove_entry();
            out.push(Output::Answer(id, answer));
        }
        let waited = self.awaiting_grant.iter().filter(|(_, (_, _, until))| *until <= self.now);
        for id in waited.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.drills.stop_waiting(id);
            self.resume(id, None, out);
        }
        if self.holds_due_at <= self.now {
            self.update_holds(out);
        }
    }

    // ---- drills ----

    /// Whether a drill applies to this request.
    fn check_drills(&mut self, request: &ClientRequest) -> DrillDecision {
        // A request without a route or with a wrong key is refused as usual, by `accept`.
        let Ok(Matched { route, tenant, .. }) = match_request(&self.config, request) else {
            return DrillDecision::Pass;
        };
        let meeting = DrilledRequest {
            id: request.id,
            tenant: tenant.map(|t| t.name.as_str()),
            key: request.key.as_deref(),
            route: &route.name,
            head: &request.head,
            attempt: &request.attempt_id,
            left_us: request.left_us.unwrap_or(Micros::MAX).min(route.deadline_ms * 1000),
        };
        self.drills.decide(self.now, &meeting)
    }

    /// Continues a request that waited for a drill's grant; `injected`: the granted fault.
    fn resume(&mut self, id: u64, injected: Option<InjectedFault>, out: &mut Vec<Output>) {
        let Some((mut request, since, _)) = self.awaiting_grant.remove(&id) else { return };
        request.left_us = request.left_us.map(|left| left.saturating_sub(self.now - since));
        match injected {
            Some(injected) => self.apply_drill_fault(request, injected, out),
            None => self.accept(request, None, out),
        }
    }

    fn apply_drill_fault(&mut self, request: ClientRequest, injected: InjectedFault, out: &mut Vec<Output>) {
        let (id, fault) = (request.id, injected.fault.clone());
        out.push(Output::DrillFault { id, attempt_id: request.attempt_id.clone(), injected });
        match fault {
            Fault::Refused => {
                out.push(Output::Answer(id, Answer::retry_later(503, "not now", RETRY_AFTER_US)))
            }
            Fault::NoServer => {
                out.push(Output::Answer(id, Answer::retry_later(503, "no server is known", RETRY_AFTER_US)))
            }
            Fault::Closed => {
                self.drills.forget(id);
                out.push(Output::Close(id));
            }
            fault => self.accept(request, Some(fault), out),
        }
    }

    fn leave_drills(&mut self, id: u64) {
        self.awaiting_grant.remove(&id);
        self.delayed_answers.retain(|(_, request), _| *request != id);
        self.drills.forget(id);
    }

    /// Rows on drills that are to be sent up the tree now.
    pub fn drill_rows(&mut self, now: Micros) -> Vec<Rows> {
        if self.drills.is_idle() { Vec::new() } else { self.drills.due_reports(now) }
    }

    /// Tallies of rollouts that are to be sent up the tree now.
    pub fn tallies(&mut self, now: Micros) -> Vec<Tally> {
        // By the present side of each server, so that attempts sent before the rollout began count too.
        let (requests, placements) = (&self.requests, &self.placements);
        let old_in_flight = |epoch| {
            let on_old_side = |p: &RolloutServer| p.epoch == epoch && p.side == Side::Old;
            let old = |t: &&Attempt| t.in_flight && placements.get(&t.server).is_some_and(on_old_side);
            requests.values().flat_map(|r| &r.attempts).filter(old).count() as u32
        };
        self.rollouts.tallies(now, self.copy.rev(), old_in_flight)
    }

    fn update_drills(&mut self, out: &mut Vec<Output>) {
        let agreed = &self.copy.state.drills;
        if agreed.0.is_empty() && self.drills.is_idle() {
            return;
        }
        let c = &self.counts;
        let failed_permille = ((c.refused + c.failed) * 1000 / c.asked.max(1)) as u32;
        for (id, injected) in self.drills.apply_state(self.now, agreed, failed_permille) {
            self.resume(id, injected, out);
        }
    }

    // ---- quotas ----

    /// The use of tenants and bookings at this proxy since the last call, for the next report.
    pub fn tenant_usage(&mut self, now: Micros) -> Vec<Use> {
        let mut uses = self.tenants.take_report(now, |plan| self.routing_view.report_key(plan));
        if !self.reservations.is_empty() {
            uses.extend(self.booking_usage.take_report(now, |number| self.reservations.report_key(number)));
        }
        uses
    }

    /// Whether demand has jumped, so that the next report should go out early. Resets itself.
    pub fn wants_early_report(&mut self) -> bool {
        std::mem::take(&mut self.tenants.report_early) | std::mem::take(&mut self.booking_usage.report_early)
    }

    fn apply_readings(&mut self, readings: &[Reading], made_at: Micros, out: &mut Vec<Output>) {
        let nodes = self.copy.state.nodes.len();
        for (plan, rate) in self.routing_view.quotas() {
            let key = self.routing_view.report_key(plan);
            if let Some(reading) = readings.iter().find(|r| r.tenant == key) {
                let quota = Quota { rate, burst: self.routing_view.even_share(plan, nodes).burst };
                let used = self.tenants.apply_reading(self.now, made_at, plan, reading, nodes, quota);
                self.decide(Event::MeterReading { customer: plan as u64, used }, out);
            }
        }
    }

    // ---- state updates ----

    fn apply_news(&mut self, news: News, out: &mut Vec<Output>) {
        // If commands are missing, they are sent again after the next report, which tells this copy's revision.
        let is_drill = |c: &Command| matches!(c, Command::Drill(_));
        let only_adds_servers = only_adds_servers(&news);
        let only_drills = matches!(&news, News::Run { commands, .. }
            if !commands.is_empty() && commands.iter().all(|(_, c)| is_drill(c)));
        if !self.update_copy(news) {
            return;
        }
        self.update_drills(out);
        if only_drills {
            return; // nothing that the decider depends on
        }
        let newer = self.copy.state.config.as_ref();
        let newer = newer.filter(|new| self.config.as_ref().is_none_or(|(c, _)| !Arc::ptr_eq(c, new)));
        let nodes = &self.copy.state.nodes;
        let index = nodes.keys().position(|ip| *ip == self.place.ip).unwrap_or(0);
        let membership = (nodes.len(), index);
        // Most updates concern servers, which the decider's settings do not depend on.
        if newer.is_some() || membership != self.membership {
            if let Some(config) = newer {
                self.config = Some((config.clone(), config.index()));
            }
            self.membership = membership;
            self.reconfigure();
        }
        let routing_view = &self.routing_view;
        self.rollouts.apply_state(self.now, &self.copy.state.rollouts, membership.0, |service| {
            routing_view.service(service)
        });
        let rebuild_at = self.listed_at + RELIST_INTERVAL_US;
        if only_adds_servers && !self.rollouts.is_idle() && self.now < rebuild_at {
            self.relist_at = Some(self.relist_at.map_or(rebuild_at, |at| at.min(rebuild_at)));
            return;
        }
        self.rebuild_list(out);
    }

    /// Applies an update to the copy; true: the copy has changed. Where there are bookings, commands are applied one at
    /// a time, because a share that was smaller only for a moment binds too.
    fn update_copy(&mut self, news: News) -> bool {
        let booked = !self.copy.state.bookings.is_empty();
        let mut changed = false;
        match news {
            News::Run { mut from, to, commands }
                if booked || commands.iter().any(|c| matches!(c.1, Command::Book(_))) =>
            {
                let last = commands.last().map_or(from, |c| c.0);
                for (rev, command) in commands {
                    let single = News::Run { from, to: rev, commands: vec![(rev, command)] };
                    if self.copy.take(self.now, single) == Took::Changed {
                        changed = true;
                        self.reservations.apply_state(self.now, &self.copy.state, false);
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
                    self.reservations.apply_state(self.now, &self.copy.state, true);
                }
            }
            News::Run { .. } => changed = self.copy.take(self.now, news) == Took::Changed,
        }
        if !self.reservations.is_empty() {
            self.holds_due_at = self.now;
        }
        changed
    }

    // ---- bookings ----

    /// The number of the booking that a request counts under; 0: none.
    fn booking_of(&self, tenant: Option<&Tenant>, route: &Route, service: u32) -> u32 {
        if self.reservations.is_empty() {
            return 0;
        }
        let to = route.to.iter().find(|(name, _)| self.routing_view.service(name) == Some(service));
        let to = to.map_or("", |(name, _)| name);
        self.reservations.booking_number(self.now, tenant.map(|t| t.name.as_str()), &route.name, to)
    }

    /// `at`: when this proxy last held all acknowledged state, as the feed knows it.
    pub fn set_fresh_at(&mut self, now: Micros, at: Option<Micros>) {
        self.now = self.now.max(now);
        if self.reservations.set_fresh_at(self.now, at) && !self.reservations.is_empty() {
            self.holds_due_at = self.now;
        }
    }

    /// Recomputes this proxy's reservations for bookings and tells the decider if they have changed.
    fn update_holds(&mut self, out: &mut Vec<Output>) {
        let holds = self.reservations.holds(self.now, self.copy.state.nodes.len(), &self.routing_view);
        self.holds_due_at = self.reservations.wake_at(self.now);
        if holds == self.holds {
            return;
        }
        self.holds = holds;
        let mut actions = std::mem::take(&mut self.actions);
        self.decider.hold(self.now, &self.holds, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(action, out);
        }
        self.actions = actions;
        self.report_outcomes(out);
    }

    /// Applies the bookings of this state directly: for baselines without replicated state, which get no updates.
    pub fn apply_bookings(&mut self, now: Micros, state: &State) {
        self.now = self.now.max(now);
        self.reservations.apply_state(self.now, state, false);
        self.holds_due_at = self.now;
    }

    /// This proxy's share of each booking, for observers.
    pub fn bookings(&self) -> BTreeMap<&str, ReservationStatus> {
        self.reservations.status(self.now)
    }

    /// Sets the decider by the configuration and the number of proxies.
    fn reconfigure(&mut self) {
        let (nodes, index) = self.membership;
        if let Some((config, _)) = &self.config {
            self.routing_view.apply_config(config, nodes);
            let longest = config.routes.iter().map(|r| r.deadline_ms).max().unwrap_or(0);
            self.reservations.set_longest_request(longest * 1000);
        }
        let balancers = nodes.max(index + 1) as u32;
        let settings = self.routing_view.settings(balancers, index as u32, self.beat_us);
        // An accepted configuration always makes valid settings; if it did not, the old ones would stay in force.
        let _ = self.decider.reconfigure(settings);
    }

    fn rebuild_list(&mut self, out: &mut Vec<Output>) {
        let ServerList { entries, peers, rollout_servers, changes_at } =
            self.routing_view.server_list(self.now, &self.copy.state);
        (self.relist_at, self.listed_at, self.placements) = (changes_at, self.now, rollout_servers);
        self.list_rev = self.copy.rev();
        let gone: Vec<u64> = self.peers.keys().filter(|n| !peers.contains_key(n)).copied().collect();
        for server in gone {
            self.peers.remove(&server);
            out.push(Output::ServerRemoved { server });
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

/// The shortest time between two rebuilds of the list of servers for added servers during a rollout, when hundreds of
/// them appear, each with an update of its own.
const RELIST_INTERVAL_US: Micros = 150_000;

/// Whether the update only adds servers or their versions.
fn only_adds_servers(news: &News) -> bool {
    let adds = |c: &ServerChange| matches!(c, ServerChange::Up(_) | ServerChange::Runs { .. });
    let adds_only = |command: &Command| matches!(command, Command::Servers(all) if all.iter().all(adds));
    matches!(news, News::Run { commands, .. } if !commands.is_empty() && commands.iter().all(|(_, c)| adds_only(c)))
}

/// The use of a quota, as a fraction of it, that the decider is told for a plan that has used up what may be sent ahead
/// of a reading: above 1, so that only this proxy's even share remains from now on and savings count as spent.
const EXHAUSTED_USE: f64 = 1.2;

/// The `Retry-After` of refusals that are decided here and not by the decider.
const RETRY_AFTER_US: Micros = 500_000;

/// What the configuration says of a request.
struct Matched<'c> {
    /// The route's place in the configuration.
    position: usize,
    route: &'c Route,
    tenant: Option<&'c Tenant>,
}

/// The route and the tenant of a request, or the answer that refuses it.
fn match_request<'c>(
    config: &'c Option<(Arc<Config>, Index)>,
    request: &ClientRequest,
) -> Result<Matched<'c>, Answer> {
    let Some((config, index)) = config else {
        return Err(Answer::retry_later(503, "no configuration yet", 200_000));
    };
    let path = request.target.split(['?', '#']).next().unwrap_or("");
    let Some(position) = index.route(&request.host, path) else {
        return Err(Answer::text(404, "no route"));
    };
    let route = &config.routes[position];
    if !index.needs_keys() || route.keyless {
        return Ok(Matched { position, route, tenant: None });
    }
    let found = request.key.as_deref().and_then(|k| index.tenant_by_key(k));
    let Some(found) = found else { return Err(Answer::text(401, "no such key")) };
    Ok(Matched { position, route, tenant: config.tenants.as_ref().map(|t| &t[found]) })
}

/// Applies a drill's fault to a server's complete answer. The request has run, so no answer here may promise that it
/// has not.
fn answer_with_fault(
    delayed: &mut BTreeMap<(Micros, u64), Answer>,
    (id, now, until): (u64, Micros, Micros),
    fault: Fault,
    answer: Answer,
    out: &mut Vec<Output>,
) {
    match fault {
        Fault::Late { ms } => {
            let at = now + Micros::from(ms) * 1000;
            if at < until {
                delayed.insert((at, id), answer);
            } else {
                delayed.insert((until.max(now), id), Answer::text(504, "no whole answer"));
            }
        }
        Fault::Slow { ms } => out.push(Output::Slow(id, answer, Micros::from(ms) * 1000)),
        Fault::Cut => out.push(Output::Cut(id, answer)),
        Fault::Lost => out.push(Output::Answer(id, Answer::text(502, "no whole answer"))),
        _ => out.push(Output::Answer(id, answer)),
    }
}

/// What the result of an attempt says about the version of its server, if anything.
fn version_outcome(end: &AttemptResult, taken_us: Micros, cold: bool) -> Option<AttemptEnd> {
    match end {
        AttemptResult::Broken { execution: Execution::NeverRan } => None,
        AttemptResult::Broken { execution: Execution::MayHaveRun } => Some(AttemptEnd::Failed),
        AttemptResult::Answered(served) => match outcome_of(served) {
            Outcome::Ok => Some(AttemptEnd::Served { taken_us, cold }),
            Outcome::Full | Outcome::ConnectFailed => None,
            _ => Some(AttemptEnd::Failed),
        },
    }
}

/// The outcome of an attempt that a server has answered.
fn outcome_of(served: &ServerAnswer) -> Outcome {
    match served.status {
        // Misdirected: another instance has the address by now. It did not run, and says nothing about the load.
        421 => Outcome::ConnectFailed,
        _ if served.not_run => Outcome::Full,
        200..400 => Outcome::Ok,
        // Without `X-Not-Executed` these do not promise that the request has not run.
        408 | 429 => Outcome::Error,
        400..500 => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

/// The request line and the headers that go to every server.
fn request_head(request: &ClientRequest, tenant: Option<&Tenant>) -> Vec<u8> {
    let mut head = Vec::with_capacity(request.head.len() + request.target.len() + 160);
    for part in [&request.method, " ", &request.target, " HTTP/1.1\r\n"] {
        head.extend_from_slice(part.as_bytes());
    }
    head.extend_from_slice(&request.head);
    if let Some(tenant) = tenant {
        head.extend_from_slice(format!("X-Tenant-Name: {}\r\n", tenant.name).as_bytes());
    }
    head
}
