//! The registry as a state machine. Its inputs are calls from servers, operators and clients, and messages from its
//! store, the other registries and the proxies; its outputs are answers and messages. It does no I/O and reads no
//! clock.

mod booking;
mod drill;
mod rollout;

use crate::bookings::{BookingScheduler, Clocks};
use crate::calls::{Answer, Request};
use crate::drills::Leases;
use crate::meter::Meter;
use crate::presence::Presence;
use crate::rollouts::Tallies;
use crate::views::View;
use cluster::copy::{Copy, Took};
use cluster::drill::Rows;
use cluster::follow::Followers;
use cluster::rollout::Tally;
use cluster::state::{Change, Command, Done, Node, NodeChange, Server, ServerChange};
use cluster::talk::{
    Age, Down, FRESH_US, FromStore, Gossip, Head, News, Reading, Seen, Standing, ToStore, Unsure, Up, Usage,
};
use cluster::{Micros, Rev};
use settings::api::{self, Beat, Call};
use settings::config::if_match;
use settings::drill::Drill;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// What a registry is configured with at its start.
#[derive(Clone, Debug)]
pub struct Parameters {
    pub own_ip: Ipv4Addr,
    pub own_zone: String,
    /// Zone names and the region of each.
    pub zones: BTreeMap<String, String>,
    /// Interval between two heartbeats of a server.
    pub heartbeat_us: Micros,
    /// How long clients may cache an answer of the directory.
    pub directory_ttl_s: f64,
    /// The longest time a lost machine may need to catch up before it is removed.
    pub max_sync_us: Micros,
    /// Every reachable proxy has applied a committed change within this time.
    pub propagation_us: Micros,
    /// How many zones may fail at the same time.
    pub tolerated_zone_losses: usize,
    /// How long an operator repeats an order that got no answer.
    pub order_repeat_us: Micros,
}

pub use rollout::DEFAULT_ORDER_REPEAT_US;

/// What the state machine is given. A number is the id of a call or of a proxy's link.
pub enum Input {
    /// Nothing but the passing of time.
    Tick,
    Call(u64, Request),
    /// The caller has gone: no answer is needed.
    CallClosed(u64),
    Store(FromStore),
    StoreDown,
    StoreUp,
    Peer(Gossip),
    Proxy(u64, Up),
    ProxyDown(u64),
}

/// What the state machine wants sent, in the same terms.
#[derive(Debug)]
pub enum Output {
    Answer(u64, Answer),
    Store(ToStore),
    Peer(Ipv4Addr, Gossip),
    Proxy(u64, Down),
}

/// Rounds of the registry's own messages per server heartbeat.
const ROUNDS_PER_HEARTBEAT: Micros = 3;
/// Proxies' usage reports are gathered for this long before the totals are sent out.
const USAGE_GATHER_US: Micros = 60_000;
/// Gathering time per known proxy, where that is longer, because each round of readings goes to all proxies.
const USAGE_GATHER_PER_PROXY_US: Micros = 4_000;
/// Interval at which the store is asked for its standing.
const STORE_POLL_US: Micros = 250_000;
/// Callers give up after one second of silence, so a call is answered before that.
const CALL_TIMEOUT_US: Micros = 900_000;
/// A server is removed after this many heartbeat intervals of silence.
const SERVER_LOST_HEARTBEATS: Micros = 4;
/// A proxy is removed after this many times the longest catch-up time without a report.
const PROXY_LOST_SYNC_TIMES: Micros = 5;
/// Answer to callers that should try another registry at once.
const NOT_FRESH_MESSAGE: &str = "this machine does not hear the majority";
/// How many heartbeat intervals a time of day received from another registry stays valid.
const CLOCK_VALID_HEARTBEATS: Micros = 2;

/// What a pending call waits for: its command to commit, or this copy to reach a revision.
enum Awaited {
    /// A server's call. It is answered once the batch of this number, or a later one, has been applied.
    Batch(u64),
    /// An operator's order that is proposed once the store has answered a read, if the caller still waits then.
    Caller { ticket: u64, seen: Rev, order: Command },
    /// An operator's command.
    Command { ticket: u64, at: Option<Rev>, done: Option<Done> },
    /// A read of the configuration, answered once the copy has reached revision `at`.
    Read { ticket: u64, at: Option<Rev> },
    /// A read of rollouts, answered in the same way.
    Rollouts { ticket: u64, at: Option<Rev>, query: rollout::RolloutQuery },
}

/// A call that has not been answered yet.
struct PendingCall {
    deadline: Micros,
    awaited: Awaited,
}

/// One registry's view of the system and all that it does for others.
pub struct ControlPlane {
    parameters: Parameters,
    now: Micros,
    pub copy: Copy,
    store_up: bool,
    core: Vec<Ipv4Addr>,
    /// The zones of the core machines that have reported one.
    core_zones: BTreeMap<Ipv4Addr, String>,
    /// Until when the copy counts as fresh if the store sends nothing more, and since when it has been fresh without
    /// interruption.
    fresh_until: Micros,
    fresh_since: Micros,
    /// When the store is asked for its standing again.
    poll_store_at: Micros,
    leads: bool,
    leads_since: Micros,
    /// The store's term: the fencing token of every command that only the registry on the leader's machine may propose.
    term: u64,
    /// The removal of lost members that is in flight: its ticket and when it was sent. Then the revision of the last
    /// one that committed.
    removal_in_flight: Option<(u64, Micros)>,
    removal_rev: Rev,
    pub presence: Presence,
    meter: Meter,
    /// When usage readings go out, if before the next round. Set by usage reports.
    report_usage_at: Micros,
    /// The last readings and when they were made. None while too few proxies report for them to be meaningful.
    readings: Option<(Micros, Vec<Reading>)>,
    /// Links of followers that have not received any readings yet.
    links_without_readings: BTreeSet<u64>,
    followers: Followers,
    /// The newest head known of each region.
    relay_heads: BTreeMap<String, Head>,
    pending_calls: BTreeMap<u64, PendingCall>,
    last_ticket: u64,
    /// Changes of servers and proxies that wait for the next command to the log, the number of the batch they will
    /// form, and the batch in flight (its ticket and when it was sent).
    server_changes: Vec<ServerChange>,
    node_changes: Vec<NodeChange>,
    /// Changes of proxies in the batch in flight, kept until they are applied or lost.
    node_changes_in_flight: Vec<NodeChange>,
    next_batch: u64,
    batch_in_flight: Option<(u64, Micros)>,
    /// The last batch that is done with, and the revision at which it committed.
    committed_batch: u64,
    committed_batch_rev: Rev,
    next_round: Micros,
    leases: Leases,
    /// Drills requested at this registry, and when each would end.
    requested_drills: Vec<(Drill, Micros)>,
    /// Drill reports of proxies for the next command.
    drill_reports: Vec<Rows>,
    clocks: Clocks,
    booking_scheduler: BookingScheduler,
    booking_in_flight: booking::InFlight,
    /// Rollout tallies reported by proxies.
    tallies: Tallies,
}

impl ControlPlane {
    pub fn new(parameters: Parameters, now: Micros) -> ControlPlane {
        ControlPlane {
            now,
            copy: Copy::default(),
            store_up: false,
            core: Vec::new(),
            core_zones: BTreeMap::from([(parameters.own_ip, parameters.own_zone.clone())]),
            fresh_until: 0,
            fresh_since: now,
            poll_store_at: now,
            leads: false,
            leads_since: now,
            term: 0,
            removal_in_flight: None,
            removal_rev: 0,
            presence: Presence::new(now, parameters.heartbeat_us),
            meter: Meter::new(parameters.heartbeat_us / ROUNDS_PER_HEARTBEAT),
            report_usage_at: Micros::MAX,
            readings: None,
            links_without_readings: BTreeSet::new(),
            followers: Followers::default(),
            relay_heads: BTreeMap::new(),
            pending_calls: BTreeMap::new(),
            last_ticket: 0,
            server_changes: Vec::new(),
            node_changes: Vec::new(),
            node_changes_in_flight: Vec::new(),
            next_batch: 1,
            batch_in_flight: None,
            committed_batch: 0,
            committed_batch_rev: 0,
            next_round: now,
            leases: Leases::default(),
            requested_drills: Vec::new(),
            drill_reports: Vec::new(),
            clocks: Clocks::new(CLOCK_VALID_HEARTBEATS * parameters.heartbeat_us),
            booking_scheduler: BookingScheduler::new(parameters.heartbeat_us, parameters.propagation_us),
            booking_in_flight: Default::default(),
            tallies: Tallies::default(),
            parameters,
        }
    }

    /// When `handle` is to be called next, even without any input.
    pub fn wake_at(&self) -> Micros {
        let deadline = self.pending_calls.values().map(|call| call.deadline).min();
        let poll = if self.store_up { self.poll_store_at } else { Micros::MAX };
        deadline.unwrap_or(Micros::MAX).min(self.next_round).min(self.report_usage_at).min(poll)
    }

    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Tick => {}
            Input::Call(id, request) => self.take_call(id, &request, out),
            Input::CallClosed(id) => {
                if self.pending_calls.remove(&id).is_some() {
                    log::info!("call {id}: its caller has left before the answer");
                }
            }
            Input::Store(message) => self.take_store_message(message, out),
            Input::StoreUp => {
                (self.store_up, self.poll_store_at) = (true, self.now);
                out.push(Output::Store(ToStore::Follow { rev: self.copy.rev() }));
            }
            Input::StoreDown => {
                (self.store_up, self.fresh_until, self.leads) = (false, 0, false);
                (self.batch_in_flight, self.removal_in_flight) = (None, None);
                self.forget_booking_in_flight();
                // Commands in flight may be lost. Callers get a 503 and send the change again.
                let pending: Vec<u64> = self.pending_calls.keys().copied().collect();
                for id in pending {
                    self.answer_call(id, Answer::unavailable("the store of this machine is away"), out);
                }
            }
            Input::Peer(gossip) => {
                self.core_zones.insert(gossip.ip, gossip.zone.clone());
                self.presence.take_gossip(self.now, &gossip);
                if let Some(day_ms) = gossip.day_ms.filter(|day| *day > 0) {
                    self.clocks.set_peer(self.now, gossip.ip, day_ms);
                }
                for usage in gossip.usage {
                    self.take_usage(usage, true);
                }
                self.take_tallies(gossip.tallies, true);
                for (region, head) in gossip.heads {
                    self.take_head(region, head);
                }
                for lease in gossip.leases {
                    self.leases.learn(lease.epoch, self.now + Micros::from(lease.left_ms) * 1000);
                }
            }
            Input::Proxy(link, up) => self.take_proxy_message(link, up, out),
            Input::ProxyDown(link) => {
                self.links_without_readings.remove(&link);
                self.followers.gone(link);
            }
        }
        if self.store_up && self.now >= self.poll_store_at {
            self.poll_store_at = self.now + STORE_POLL_US;
            out.push(Output::Store(ToStore::Stand { asked: self.now }));
        }
        self.run_round(out);
        self.propose_batch(out);
        self.answer_finished_calls(out);
    }

    // ---- calls from outside ----

    fn take_call(&mut self, id: u64, request: &Request, out: &mut Vec<Output>) {
        let (call, argument) = match Call::of(&request.method, &request.target) {
            Some(found) => found,
            None => return out.push(Output::Answer(id, Answer::error(404, "no such call"))),
        };
        let argument = argument.unwrap_or_default();
        // These calls are decided from this copy, possibly with a final refusal, so they need a fresh copy.
        let decided_from_copy = matches!(
            call,
            Call::PutBooking
                | Call::CancelBooking
                | Call::ReadBooking
                | Call::ListBookings
                | Call::PutDrill
                | Call::StopDrill
                | Call::ShowDrill
                | Call::StartRollout
                | Call::StopRollout
        );
        let answer = match call {
            _ if decided_from_copy && !self.is_fresh() => Some(Answer::unavailable(NOT_FRESH_MESSAGE)),
            Call::Resolve => self.resolve(&request.target),
            Call::Beat => match Beat::read(&request.body) {
                Err(why) => Some(Answer::error(400, &why.to_string())),
                Ok(beat) => self.heartbeat(id, &argument, beat),
            },
            Call::Leave => self.deregister(id, &argument),
            Call::PutConfig | Call::PatchConfig => {
                let base = request.if_match.as_deref().and_then(if_match);
                match base {
                    None => {
                        let why = "If-Match: the version that this builds on is needed, 0 for the first";
                        Some(Answer::error(400, why))
                    }
                    Some(base) => {
                        let patch = call == Call::PatchConfig;
                        let change = Change { base, patch, body: request.body.clone() };
                        match self.copy.state.consider(&change) {
                            // Not valid on any version, so there is no need to ask the log.
                            Err(Done::Invalid(why)) if !patch => Some(Answer::error(400, &why)),
                            _ => self.propose_command(id, Command::Configure(change), out),
                        }
                    }
                }
            }
            Call::ReadConfig => {
                let ticket = self.next_ticket();
                out.push(Output::Store(ToStore::Read { ticket }));
                self.await_result(id, Awaited::Read { ticket, at: None })
            }
            Call::Evacuate | Call::Restore => {
                if self.parameters.zones.contains_key(&argument) {
                    let on = call == Call::Evacuate;
                    self.propose_fenced(id, Command::Evacuate { zone: argument, on }, out)
                } else {
                    Some(Answer::error(404, &format!("no zone {argument:?}")))
                }
            }
            Call::PutBooking => self.put_booking(id, &argument, request, out),
            Call::CancelBooking => self.cancel_booking(id, &argument, request, out),
            Call::ReadBooking => Some(self.read_booking(&argument)),
            Call::ListBookings => Some(self.list_bookings()),
            Call::Status => Some(self.view().status()),
            Call::ListInstances => Some(self.view().instances()),
            Call::ListNodes => Some(self.view().nodes()),
            Call::PutDrill => self.put_drill(id, &argument, request, out),
            Call::StopDrill => self.stop_drill(id, argument, out),
            Call::ListDrills => Some(self.view().drills()),
            Call::StartRollout => self.start_rollout(id, request, out),
            Call::StopRollout => self.stop_rollout(id, argument, out),
            Call::ShowRollout => self.show_rollouts(id, rollout::RolloutQuery::Of(argument), out),
            Call::ListRollouts => self.show_rollouts(id, rollout::RolloutQuery::All, out),
            Call::ShowDrill => Some(self.view().drill(&argument)),
            Call::Ready => Some(Answer::error(404, "not served here")),
        };
        if let Some(answer) = answer {
            out.push(Output::Answer(id, answer));
        }
    }

    fn view(&self) -> View<'_> {
        View {
            now: self.now,
            own_ip: self.parameters.own_ip,
            state: &self.copy.state,
            presence: &self.presence,
            core: &self.core,
            core_zones: &self.core_zones,
            fresh: self.is_fresh(),
            leads: self.leads && self.store_up,
            leases: &self.leases,
            followers: self.followers.iter().map(|(_, f)| (&f.node, f.rev())).collect(),
        }
    }

    /// Whether this copy held everything that a majority had agreed on within the last [`FRESH_US`].
    fn is_fresh(&self) -> bool {
        self.store_up && self.now < self.fresh_until
    }

    /// Proposes a command that only the registry on the leader's machine may propose. It commits in this term or never.
    fn propose_as_leader(&mut self, command: Command, out: &mut Vec<Output>) -> u64 {
        let (ticket, term) = (self.next_ticket(), self.term);
        out.push(Output::Store(ToStore::Duty { ticket, term, command }));
        ticket
    }

    fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    fn await_result(&mut self, id: u64, awaited: Awaited) -> Option<Answer> {
        if !self.store_up {
            return Some(Answer::unavailable("the store of this machine is away"));
        }
        self.pending_calls.insert(id, PendingCall { deadline: self.now + CALL_TIMEOUT_US, awaited });
        None
    }

    /// Takes an order that does not name the version it builds on; the revision of this copy is its fencing token. A call
    /// may have waited in its socket while this process was stopped, so that its caller has repeated it elsewhere and
    /// ordered otherwise since. By the time the store has answered a read, the end of such a call's connection is known.
    fn propose_fenced(&mut self, id: u64, order: Command, out: &mut Vec<Output>) -> Option<Answer> {
        let seen = self.copy.rev();
        log::info!("call {id}: {order}, read at revision {seen}");
        let ticket = self.next_ticket();
        let refusal = self.await_result(id, Awaited::Caller { ticket, seen, order });
        if refusal.is_none() {
            out.push(Output::Store(ToStore::Read { ticket }));
        }
        refusal
    }

    fn propose_command(&mut self, id: u64, command: Command, out: &mut Vec<Output>) -> Option<Answer> {
        let ticket = self.next_ticket();
        let refusal = self.await_result(id, Awaited::Command { ticket, at: None, done: None });
        if refusal.is_none() {
            out.push(Output::Store(ToStore::Propose { ticket, command }));
        }
        refusal
    }

    /// Takes a server's heartbeat. It is acknowledged once everything it reports is in the log, which is usually the
    /// case already.
    fn heartbeat(&mut self, id: u64, server: &str, beat: Beat) -> Option<Answer> {
        if self.copy.state.has_gone(server) {
            return Some(Answer::ok()); // a late call of an instance that has left for good
        }
        let latest = self.presence.heartbeat(self.now, server, beat.sequence);
        // Without contact, the other registries do not learn of this heartbeat and would remove a live server. The
        // server should call another registry.
        if !self.is_fresh() {
            return Some(Answer::unavailable(NOT_FRESH_MESSAGE));
        }
        let draining = beat.state == api::State::Draining;
        if !latest {
            // A newer heartbeat has arrived. A report of draining is acknowledged only from the agreed state: what
            // was merely heard could still be lost with the leader, and then no proxy would learn of it.
            let agreed = !draining || self.copy.state.servers.get(server).is_some_and(|s| s.draining);
            return Some(if agreed { Answer::ok() } else { Answer::unavailable("it has said more since") });
        }
        let cold_ms = u32::try_from(beat.cold_left_ms).unwrap_or(u32::MAX);
        let known = self.copy.state.servers.get(server);
        let version = beat.information.as_ref().and_then(|about| about.version.clone());
        let new_version = version.filter(|v| self.copy.state.versions.get(server) != Some(v));
        let change = match (known, beat.information) {
            (Some(s), _) if draining && !s.draining => ServerChange::Draining { id: server.into() },
            // Reported cold although it was known as warm, or for longer than known.
            (Some(s), _) if !s.draining && s.is_colder(self.now, cold_ms) => {
                ServerChange::Cold { id: server.into(), left_ms: cold_ms }
            }
            (Some(_), _) => match new_version.clone() {
                Some(version) => ServerChange::Runs { id: server.into(), version },
                None => return Some(Answer::ok()),
            },
            (None, Some(about)) => ServerChange::Up(Server {
                id: server.into(),
                service: about.service,
                addr: beat.address,
                zone: about.zone,
                slots: about.slots,
                draining,
                cold_ms,
                noted_at: 0,
            }),
            (None, None) => return Some(Answer::error(400, "information: needed at first")),
        };
        let version_change = new_version.map(|version| ServerChange::Runs { id: server.into(), version });
        for change in [Some(change), version_change].into_iter().flatten() {
            if !self.server_changes.contains(&change) {
                self.server_changes.push(change);
            }
        }
        let batch = self.next_batch;
        self.await_result(id, Awaited::Batch(batch))
    }

    fn deregister(&mut self, id: u64, server: &str) -> Option<Answer> {
        if self.copy.state.has_gone(server) {
            return Some(Answer::ok());
        }
        if !self.is_fresh() {
            return Some(Answer::unavailable(NOT_FRESH_MESSAGE));
        }
        self.server_changes.push(ServerChange::Gone { id: server.into(), said: true });
        let batch = self.next_batch;
        self.await_result(id, Awaited::Batch(batch))
    }

    fn resolve(&self, target: &str) -> Option<Answer> {
        let query = match api::Resolution::read(target) {
            Ok(query) => query,
            Err(why) => return Some(Answer::error(400, &why.to_string())),
        };
        let region = query.region.or_else(|| self.parameters.zones.get(query.zone.as_deref()?).cloned());
        let (zone, region) = (query.zone.as_deref(), region.as_deref());
        // A registry that is cut off cannot conclude anything from silence. Proxies that find a fresh registry stop
        // reporting here; while some still do, no registry is fresh, and the last agreed state is used.
        let fresh = self.is_fresh();
        if !fresh && !self.presence.hears_proxies(self.now) {
            return Some(Answer::unavailable(NOT_FRESH_MESSAGE));
        }
        let nodes = self.presence.choose_proxies(self.now, &self.copy.state, zone, region, fresh);
        if nodes.is_empty() {
            return Some(Answer::unavailable("no proxy is known"));
        }
        Some(Answer::resolution(&nodes, self.parameters.directory_ttl_s))
    }

    fn answer_call(&mut self, id: u64, answer: Answer, out: &mut Vec<Output>) {
        if self.pending_calls.remove(&id).is_some() {
            out.push(Output::Answer(id, answer));
        }
    }

    // ---- the store ----

    fn take_store_message(&mut self, message: FromStore, out: &mut Vec<Output>) {
        match message {
            FromStore::News(news) => self.apply_news(news, out),
            FromStore::Standing { core, fresh_ms, leads, term, asked } => {
                // Freshness counts from the time of the question, because the answer may have waited in the link.
                let left = fresh_ms.and_then(|ms| FRESH_US.checked_sub(Micros::from(ms) * 1000));
                let until = left.filter(|_| asked > 0).map_or(0, |left| asked + left);
                if !self.is_fresh() && self.now < until {
                    self.fresh_since = self.now;
                }
                if leads && (!self.leads || term != self.term) {
                    self.leads_since = self.now;
                }
                (self.core, self.leads, self.term) = (core, leads, term);
                self.fresh_until = if fresh_ms.is_some() { self.fresh_until.max(until) } else { 0 };
            }
            FromStore::Proposed { ticket, result } => {
                if self.batch_in_flight.is_some_and(|(t, _)| t == ticket) {
                    self.batch_in_flight = None;
                    let number = self.next_batch - 1;
                    match result {
                        Ok((rev, _)) => (self.committed_batch, self.committed_batch_rev) = (number, rev),
                        // Its callers retry. The next batch to commit must not be taken for this one.
                        Err(_) => self.fail_batch(number, out),
                    }
                    return;
                }
                if self.removal_in_flight.is_some_and(|(t, _)| t == ticket) {
                    self.removal_in_flight = None;
                    self.removal_rev = result.map_or(self.removal_rev, |(rev, _)| rev);
                    return;
                }
                if self.booking_in_flight.take_result(ticket, result.as_ref().ok().map(|(rev, _)| *rev)) {
                    return;
                }
                let found = self.pending_calls.iter_mut().find_map(|(id, call)| match &mut call.awaited {
                    Awaited::Command { ticket: t, at, done } if *t == ticket => Some((*id, at, done)),
                    _ => None,
                });
                let Some((id, at, done)) = found else { return };
                match result {
                    Ok((rev, is)) => (*at, *done) = (Some(rev), Some(is)),
                    Err(Unsure::Not) => self.answer_call(id, Answer::unavailable("no leader"), out),
                    Err(Unsure::Perhaps) => {
                        self.answer_call(id, Answer::unavailable("the leader was lost: perhaps taken"), out);
                    }
                }
            }
            FromStore::Reads { ticket, result } => self.take_read_result(ticket, result, out),
        }
    }

    fn take_read_result(&mut self, ticket: u64, result: Result<Rev, Unsure>, out: &mut Vec<Output>) {
        let asked = |call: &PendingCall| match &call.awaited {
            Awaited::Caller { ticket: t, .. }
            | Awaited::Read { ticket: t, .. }
            | Awaited::Rollouts { ticket: t, .. } => *t == ticket,
            Awaited::Batch(_) | Awaited::Command { .. } => false,
        };
        let Some((id, call)) = self.pending_calls.iter_mut().find(|(_, call)| asked(call)) else { return };
        let id = *id;
        let Ok(rev) = result else { return self.answer_call(id, Answer::unavailable("no leader"), out) };
        match &mut call.awaited {
            Awaited::Read { at, .. } | Awaited::Rollouts { at, .. } => *at = Some(rev),
            Awaited::Caller { seen, order, .. } if self.now < call.deadline => {
                let command = Command::fenced(*seen, order.clone());
                self.last_ticket += 1;
                let ticket = self.last_ticket;
                call.awaited = Awaited::Command { ticket, at: None, done: None };
                out.push(Output::Store(ToStore::Propose { ticket, command }));
            }
            _ => {}
        }
    }

    fn fail_batch(&mut self, batch: u64, out: &mut Vec<Output>) {
        let in_batch = |call: &PendingCall| matches!(call.awaited, Awaited::Batch(number) if number == batch);
        let callers: Vec<u64> =
            self.pending_calls.iter().filter(|(_, call)| in_batch(call)).map(|(id, _)| *id).collect();
        for id in callers {
            self.answer_call(id, Answer::unavailable("not agreed, or perhaps: tell it again"), out);
        }
    }

    fn apply_news(&mut self, news: News, out: &mut Vec<Output>) {
        match self.copy.take(self.now, news) {
            Took::Changed => {}
            Took::Nothing => return,
            // Asks the store for news from this copy's revision on.
            Took::Gap | Took::Broken => {
                return out.push(Output::Store(ToStore::Follow { rev: self.copy.rev() }));
            }
        }
        self.presence.sync_with_state(self.now, &self.copy.state);
        self.feed_followers(out);
        if !self.requested_drills.is_empty() {
            self.announce_started_drills(out);
        }
    }

    fn feed_followers(&mut self, out: &mut Vec<Output>) {
        self.followers.feed(self.now, &self.copy, |link, down| out.push(Output::Proxy(link, down)));
    }

    /// Proposes the gathered changes of servers and proxies, one command at a time.
    fn propose_batch(&mut self, out: &mut Vec<Output>) {
        if self.batch_in_flight.is_some_and(|(_, at)| self.now > at + 2 * CALL_TIMEOUT_US) {
            self.batch_in_flight = None;
            self.node_changes_in_flight.clear();
        }
        if self.batch_in_flight.is_none() && self.committed_batch_rev <= self.copy.rev() {
            self.node_changes_in_flight.clear();
        }
        if !self.store_up || self.batch_in_flight.is_some() {
            return;
        }
        let command = if !self.server_changes.is_empty() {
            Command::Servers(std::mem::take(&mut self.server_changes))
        } else if !self.node_changes.is_empty() {
            self.node_changes_in_flight = std::mem::take(&mut self.node_changes);
            Command::Nodes(self.node_changes_in_flight.clone())
        } else {
            return;
        };
        let ticket = self.next_ticket();
        self.next_batch += 1;
        self.batch_in_flight = Some((ticket, self.now));
        out.push(Output::Store(ToStore::Propose { ticket, command }));
    }

    /// Answers calls whose change has been applied or whose time is up.
    fn answer_finished_calls(&mut self, out: &mut Vec<Output>) {
        let (rev, committed_batch, committed_batch_rev) =
            (self.copy.rev(), self.committed_batch, self.committed_batch_rev);
        let mut answers = Vec::new();
        for (id, call) in &self.pending_calls {
            let answer = match &call.awaited {
                // Even if a result has arrived by now: this process may have been paused, and the caller has gone on.
                _ if call.deadline <= self.now => Some(Answer::unavailable("not agreed in time")),
                Awaited::Batch(number) if *number <= committed_batch && committed_batch_rev <= rev => {
                    Some(Answer::ok())
                }
                Awaited::Command { at: Some(at), done: Some(done), .. } if *at <= rev => {
                    Some(Answer::done(done))
                }
                Awaited::Read { at: Some(at), .. } if *at <= rev => Some(match &self.copy.state.config {
                    Some(config) => Answer::json(200, config.shared_text()),
                    None => Answer::error(404, "no configuration yet"),
                }),
                Awaited::Rollouts { at: Some(at), query, .. } if *at <= rev => {
                    Some(self.rollouts_answer(query))
                }
                _ => None,
            };
            answers.extend(answer.map(|a| (*id, a)));
        }
        for (id, answer) in answers {
            self.answer_call(id, answer, out);
        }
    }

    // ---- proxies and the other registries ----

    fn take_proxy_message(&mut self, link: u64, up: Up, out: &mut Vec<Output>) {
        match up {
            Up::Hello { node, rev } => {
                self.register_proxy(&node);
                out.push(Output::Proxy(link, self.standing_for(&node.region)));
                self.followers.hello(link, node, rev);
                self.feed_followers(out);
                self.links_without_readings.insert(link);
                self.send_missing_readings(out);
            }
            Up::Report { rev, head, seen, usage } => {
                for u in usage {
                    self.take_usage(u, false);
                }
                for s in seen {
                    self.presence.proxy_reported(self.now, s);
                }
                let Some(f) = self.followers.reported(link, rev) else { return };
                let node = f.node.clone();
                if let Some(head) = head {
                    self.take_head(node.region.clone(), head);
                }
                self.register_proxy(&node);
                self.feed_followers(out);
            }
            Up::Drill(rows) => self.take_drill_reports(rows, out),
            Up::Rollout(tallies) => self.take_tallies(tallies, false),
        }
    }

    /// Brings a following proxy into the agreed state. Many may join at once, for example when all start; those that
    /// join while a batch is in flight go into the next one.
    fn register_proxy(&mut self, node: &Node) {
        let is_same = |change: &NodeChange| matches!(change, NodeChange::Up(up) if up == node);
        let in_state = self.copy.state.nodes.get(&node.ip) == Some(node);
        if !in_state && !self.node_changes.iter().chain(&self.node_changes_in_flight).any(is_same) {
            self.node_changes.push(NodeChange::Up(node.clone()));
        }
    }

    /// The standing message for followers in a region.
    fn standing_for(&self, region: &str) -> Down {
        let zone_of = |ip: &Ipv4Addr| (*ip, self.core_zones.get(ip).cloned().unwrap_or_default());
        let nodes = self.copy.state.nodes.values().filter(|n| n.region == region);
        let away = nodes.map(|n| n.ip).filter(|ip| !self.presence.is_alive(self.now, &self.copy.state, *ip));
        Down::Standing(Standing {
            rev: self.copy.rev(),
            fresh_ms: self.is_fresh().then_some(0),
            core: self.core.iter().map(zone_of).collect(),
            path: Vec::new(),
            head: self.relay_heads.get(region).copied(),
            away: away.collect(),
            said_at: Some(self.now),
        })
    }

    fn take_head(&mut self, region: String, head: Head) {
        let known = self.relay_heads.entry(region).or_insert(head);
        *known = head.max(*known);
    }

    fn take_usage(&mut self, usage: Usage, gossiped: bool) {
        let urgent = self.meter.take(self.now, usage, gossiped);
        let gather =
            if urgent { 0 } else { USAGE_GATHER_PER_PROXY_US * self.copy.state.nodes.len() as Micros };
        self.report_usage_at = self.report_usage_at.min(self.now + USAGE_GATHER_US.max(gather));
    }

    /// Sends usage reports to the other registries and the readings of all usage to the proxies.
    fn send_readings(&mut self, out: &mut Vec<Output>) {
        self.report_usage_at = Micros::MAX;
        let usage = self.meter.take_unsent();
        if !usage.is_empty() {
            self.send_gossip(Vec::new(), Vec::new(), usage, Vec::new(), Vec::new(), out);
        }
        let readings = self.meter.read(self.now, &self.copy.state);
        let complete = self.meter.hears_most_proxies(self.now, &self.copy.state);
        if !readings.is_empty() {
            for link in self.followers.links() {
                out.push(Output::Proxy(link, Down::Meter(readings.clone(), Age::first(self.now))));
            }
            self.links_without_readings.clear();
        }
        self.readings = complete.then_some((self.now, readings));
        self.send_missing_readings(out);
    }

    /// Sends the last readings to proxies that have just connected, because they know nothing of the others' usage.
    /// Empty readings are sent too.
    fn send_missing_readings(&mut self, out: &mut Vec<Output>) {
        let Some((made_at, readings)) = &self.readings else { return };
        for link in std::mem::take(&mut self.links_without_readings) {
            let age = Age::again(self.now, *made_at);
            out.push(Output::Proxy(link, Down::Meter(readings.clone(), age)));
        }
    }

    fn send_gossip(
        &self,
        servers: Vec<(String, u64)>,
        nodes: Vec<Seen>,
        usage: Vec<Usage>,
        heads: Vec<(String, Head)>,
        tallies: Vec<Tally>,
        out: &mut Vec<Output>,
    ) {
        let (me, zone) = (self.parameters.own_ip, &self.parameters.own_zone);
        let leases = self.leases.to_gossip(self.now, &self.copy.state.drills);
        let day_ms = self.time_of_day_to_gossip().or((!leases.is_empty()).then_some(0));
        for ip in self.core.iter().filter(|c| **c != me) {
            let (zone, servers) = (zone.clone(), servers.clone());
            let (nodes, usage, heads) = (nodes.clone(), usage.clone(), heads.clone());
            let (leases, tallies) = (leases.clone(), tallies.clone());
            let gossip = Gossip { ip: me, zone, servers, nodes, usage, heads, day_ms, leases, tallies };
            out.push(Output::Peer(*ip, gossip));
        }
    }

    /// Sends the periodic messages and proposes what is due.
    fn run_round(&mut self, out: &mut Vec<Output>) {
        if self.now >= self.report_usage_at.min(self.next_round) {
            self.send_readings(out);
        }
        if self.now < self.next_round {
            return;
        }
        self.next_round = self.now + self.parameters.heartbeat_us / ROUNDS_PER_HEARTBEAT;
        let mut standings = BTreeMap::new();
        for (link, f) in self.followers.iter() {
            let region = f.node.region.as_str();
            let standing = standings.entry(region).or_insert_with(|| self.standing_for(region));
            out.push(Output::Proxy(link, standing.clone()));
        }
        let (servers, nodes) = self.presence.take_unsent();
        let heads = self.relay_heads.iter().map(|(region, head)| (region.clone(), *head)).collect();
        let tallies = self.tallies.take_unsent();
        self.send_gossip(servers, nodes, Vec::new(), heads, tallies, out);
        self.send_drill_leases(out);
        self.propose_drill_reports(out);
        self.end_expired_drills(out);
        self.advance_rollouts(out);
        self.remove_lost_members(out);
        self.advance_bookings(out);
    }

    /// Removes servers and proxies that no registry has heard of. Only done on the machine of a leader that has led
    /// long enough for all registries to have sent what they hear; before that, members known to others look silent.
    fn remove_lost_members(&mut self, out: &mut Vec<Output>) {
        let (server_us, node_us) = (
            SERVER_LOST_HEARTBEATS * self.parameters.heartbeat_us,
            PROXY_LOST_SYNC_TIMES * self.parameters.max_sync_us,
        );
        if self.removal_in_flight.is_some_and(|(_, at)| self.now > at + 2 * CALL_TIMEOUT_US) {
            self.removal_in_flight = None;
        }
        let busy = self.batch_in_flight.is_some() || self.removal_in_flight.is_some();
        if !(self.leads && self.is_fresh()) || busy || self.copy.rev() < self.removal_rev {
            return;
        }
        let since = self.fresh_since.max(self.leads_since);
        let state = &self.copy.state;
        let observed_for = |after: Micros| self.now > since + after;
        let servers: Vec<String> = if observed_for(server_us) {
            self.presence.silent_servers(self.now, server_us)
        } else {
            Vec::new()
        };
        let nodes: Vec<Ipv4Addr> =
            if observed_for(node_us) { self.presence.silent_proxies(self.now, node_us) } else { Vec::new() };
        let servers = servers.into_iter().filter(|id| state.servers.contains_key(id));
        let servers: Vec<_> = servers.map(|id| ServerChange::Gone { id, said: false }).collect();
        let nodes = nodes.into_iter().filter(|ip| state.nodes.contains_key(ip));
        let nodes: Vec<_> = nodes.map(|ip| NodeChange::Gone { ip }).collect();
        let command = match (servers.is_empty(), nodes.is_empty()) {
            (false, _) => Command::Servers(servers),
            (true, false) => Command::Nodes(nodes),
            (true, true) => return,
        };
        self.removal_in_flight = Some((self.propose_as_leader(command, out), self.now));
    }
}
