//! The decision actor: owns the decisions (`Decider`) and the table of open requests. It passes events to the
//! decisions, with one clock reading per batch, and carries out the actions that they return. It decides nothing
//! itself.

use crate::messages::{AttemptEnd, ClientRequest, DecisionMessage, InPoolGuard};
use crate::servers::{self, ServerHandler};
use crate::shared::Shared;
use curlewfront::{Action, Decider, Entry, Event, ListKind, Micros, NewRequest, Outcome, State};
use curlewfront_config::Members;
use net::clock::Alarm;
use net::errors::AttemptError;
use net::limits::ConnectionKind;
use net::listener::{Answer, Reply};
use net::pool::{ForwardedRequest, Job, Peer};
use net::timeouts::Timeouts;
use std::collections::hash_map::Entry::Occupied;
use std::collections::{HashMap, HashSet, VecDeque};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::Ordering;

struct OpenRequest {
    /// The client's own name for the request.
    name: Arc<[u8]>,
    client: Option<Reply>,
    passage: Arc<ForwardedRequest>,
    /// When the client stops waiting.
    until: Micros,
    /// The most units that a request of its plan can use.
    most_units: f64,
    attempts: Vec<Attempt>,
    /// The client has had its answer, or has gone.
    closed: bool,
}

impl OpenRequest {
    /// Sends the final answer, unless the client has had one or has gone.
    fn answer(&mut self, answer: Answer) {
        let client = self.client.take().filter(|_| !self.closed);
        self.closed = true;
        if let Some(client) = client {
            client.send(answer);
        }
    }
}

struct Attempt {
    server: u64,
    peer: Option<Peer<ServerHandler>>,
    sent_at: Micros,
    /// Its outcome is still to come.
    in_flight: bool,
}

/// Counts since the last report in the log.
#[derive(Default)]
struct Counts {
    requests: u64,
    served: u64,
    refused: u64,
    rejected: u64,
    failed: u64,
    withdrawn: u64,
    sent: u64,
    /// By `Outcome`.
    outcomes: [u64; 9],
    batches: u64,
    events: u64,
    /// The longest time by which the decisions' timer was served late.
    timer_late_us: Micros,
}

struct DecisionActor {
    shared: Arc<Shared>,
    handler: Arc<ServerHandler>,
    decider: Decider,
    /// Restarts of the decisions after a panic.
    restarts: u64,
    /// The clock reading of the current batch.
    now: Micros,
    open: HashMap<u64, OpenRequest>,
    /// The clients' names of open requests. A request under the name of an open one is refused, because servers would
    /// take it for a second copy of that one.
    names: HashSet<Arc<[u8]>>,
    /// Timeouts of attempts; those of attempts that have ended are ignored.
    timeouts: Timeouts,
    /// When the decisions want to be called.
    timer: Option<Micros>,
    /// The servers on the list, by id.
    servers: HashMap<String, Entry>,
    /// The actors of these servers, by the number that the decisions know the server by.
    peers: HashMap<u64, Peer<ServerHandler>>,
    next_server: u64,
    /// Numbers of zones by name: those of the configuration and those of servers on the list. Other names are removed,
    /// so the table does not grow with every name that a list brings. A number is never reused, so a name that
    /// disappears and comes back counts as a new zone. That can only forbid a repeat within a zone, never allow one.
    zones: HashMap<String, u32>,
    next_zone: u32,
    /// Buffer for the actions that the decisions return.
    actions: Vec<Action>,
    /// Ends of attempts that resulted from carrying out actions, yet to be passed to the decisions.
    pending_ends: VecDeque<AttemptEnd>,
    counts: Counts,
    /// When the next report is written to the log.
    report_at: Micros,
    /// When the figures of `/_stats` were last published.
    published_at: Micros,
    /// The last error of an attempt since the last report.
    last_error: Option<AttemptError>,
}

fn too_many_requests(retry_after_us: Micros) -> Answer {
    let seconds = retry_after_us as f64 / 1e6;
    let header = if retry_after_us > 0 { format!("Retry-After: {seconds:.3}\r\n") } else { String::new() };
    Answer::new(429, header.into_bytes(), Vec::new())
}

/// Messages handled before the coroutines of connections run again.
const BATCH: usize = 64;
/// Period of the report in the log.
const REPORT_US: Micros = 10_000_000;
/// Shortest period between two updates of the figures of `/_stats`.
const PUBLISH_US: Micros = 100_000;

pub fn start(shared: Arc<Shared>, decider: Decider, mut alarm: Alarm) {
    let mut actor = DecisionActor::new(shared, decider);
    may::go!(move || {
        let known = actor.shared.config.known.clone();
        actor.update_servers(&known, ListKind::Saved);
        actor.handle_pending_ends();
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            actor.shared.decisions.take(BATCH, &mut batch);
            let more = batch.len() == BATCH;
            actor.now = actor.shared.room.clock.now();
            actor.counts.batches += 1;
            for message in batch.drain(..) {
                actor.catch_panic(|a| a.handle(message));
            }
            actor.catch_panic(DecisionActor::run_due);
            actor.publish();
            let next = actor.next_due();
            if more {
                may::coroutine::yield_now();
            } else if let Err(e) = alarm.wait(next) {
                slog::error!(actor.shared.log, "cannot set a timer"; "error" => %e);
            }
        }
    });
}

impl DecisionActor {
    fn new(shared: Arc<Shared>, decider: Decider) -> DecisionActor {
        let now = shared.room.clock.now();
        DecisionActor {
            zones: shared.config.zones.iter().enumerate().map(|(n, z)| (z.clone(), n as u32)).collect(),
            next_zone: shared.config.zones.len() as u32,
            handler: Arc::new(ServerHandler(shared.clone())),
            shared,
            decider,
            restarts: 0,
            now,
            open: HashMap::new(),
            names: HashSet::new(),
            timeouts: Timeouts::default(),
            timer: None,
            servers: HashMap::new(),
            peers: HashMap::new(),
            next_server: 0,
            actions: Vec::new(),
            pending_ends: VecDeque::new(),
            counts: Counts::default(),
            report_at: now + REPORT_US,
            published_at: 0,
            last_error: None,
        }
    }

    /// Runs `work`; a panic in it neither ends the gateway nor leaves clients without an answer.
    fn catch_panic(&mut self, work: impl FnOnce(&mut DecisionActor)) {
        let done = catch_unwind(AssertUnwindSafe(|| {
            work(self);
            self.handle_pending_ends();
        }));
        if done.is_err() {
            self.restart();
        }
    }

    fn handle(&mut self, message: DecisionMessage) {
        match message {
            DecisionMessage::Request(request) => self.on_request(*request),
            DecisionMessage::Withdrawn { id } => {
                if let Some(open) = self.open.get_mut(&id).filter(|o| !o.closed) {
                    open.closed = true;
                    self.counts.withdrawn += 1;
                    self.decide(Event::Withdrawn { id });
                    self.remove_if_done(id);
                }
            }
            DecisionMessage::AttemptEnded(end) => self.on_attempt_end(end),
            DecisionMessage::ServerList(members) => {
                let kind = if members.full { ListKind::Full } else { ListKind::Changes };
                self.update_servers(&members, kind);
            }
            DecisionMessage::DescriptorsExhausted => {
                for peer in self.peers.values() {
                    peer.close_idle();
                }
            }
        }
    }

    fn on_request(&mut self, request: ClientRequest) {
        let ClientRequest { id, name, client, class, plan, customer, until, .. } = request;
        let ClientRequest { units, most_units, spread, first, repeat, passage, .. } = request;
        self.counts.requests += 1;
        if !self.names.insert(name.clone()) {
            // The request that holds the name goes on. The name is free again once that request has ended and none of
            // its attempts is in flight.
            self.counts.rejected += 1;
            if let Some(client) = client {
                client.send(Answer::text(409, ""));
            }
            return;
        }
        // The time that the request waited in the mailbox counts as used.
        let left_us = until.saturating_sub(self.now);
        let passage = Arc::new(passage);
        let open =
            OpenRequest { name, client, passage, until, most_units, attempts: Vec::new(), closed: false };
        self.open.insert(id, open);
        let request = NewRequest {
            id,
            class,
            plan,
            customer,
            left_us,
            units,
            spread,
            first_gateway: first,
            repeat,
            ..NewRequest::default()
        };
        self.decide(Event::Request(request));
    }

    /// Handles the end of an attempt. One that was given up has had its outcome before, so its end is ignored.
    fn on_attempt_end(&mut self, end: AttemptEnd) {
        let AttemptEnd { id, attempt, mut outcome, used, units, answer, error } = end;
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(record) = open.attempts.get_mut(attempt as usize).filter(|a| a.in_flight) else { return };
        record.in_flight = false;
        let final_outcome = matches!(outcome, Outcome::Ok | Outcome::Rejected);
        if final_outcome && answer.is_none() {
            outcome = Outcome::Error; // no complete answer to pass on
        }
        let (server, latency_us) = (record.server, self.now.saturating_sub(record.sent_at));
        if let Some(answer) = answer.filter(|_| final_outcome && !open.closed) {
            self.counts.served += u64::from(outcome == Outcome::Ok);
            self.counts.rejected += u64::from(outcome == Outcome::Rejected);
            open.answer(answer);
        }
        let (closed, most_units) = (open.closed, open.most_units);
        self.counts.outcomes[outcome as usize] += 1;
        if error.is_some() {
            self.last_error = error;
        }
        let final_units = units.filter(|u| *u > 0.0 && *u <= most_units);
        self.decide(Event::AttemptEnded(curlewfront::AttemptEnd {
            id,
            attempt,
            server,
            outcome,
            latency_us,
            closed,
            used,
            final_units,
        }));
        self.remove_if_done(id);
    }

    /// Removes a request once its client has its answer or has gone and no attempt is in flight.
    fn remove_if_done(&mut self, id: u64) {
        if let Occupied(open) = self.open.entry(id)
            && open.get().closed
            && !open.get().attempts.iter().any(|a| a.in_flight)
        {
            self.names.remove(&open.remove().name);
        }
    }

    /// Passes the ends of attempts that resulted from the last actions to the decisions.
    fn handle_pending_ends(&mut self) {
        while let Some(end) = self.pending_ends.pop_front() {
            self.on_attempt_end(end);
        }
    }

    /// Passes an event to the decisions and carries out the actions that they return.
    fn decide(&mut self, event: Event) {
        self.counts.events += 1;
        let mut actions = std::mem::take(&mut self.actions);
        self.decider.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { id, server, timeout_us } => self.send(id, server, timeout_us),
            Action::Refuse { id, retry_after_us, .. } => {
                self.counts.refused += 1;
                self.answer(id, too_many_requests(retry_after_us));
            }
            Action::Fail { id } => {
                self.counts.failed += 1;
                self.answer(id, Answer::text(502, ""));
            }
            Action::Cancel { id, attempt } => self.give_up(id, attempt, Outcome::Cancelled),
            Action::Watch => {} // discovery is always watched
            Action::Timer { at_us, .. } => self.timer = Some(at_us),
        }
    }

    fn send(&mut self, id: u64, server: u64, timeout_us: Micros) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = open.attempts.len() as u32;
        let until = self.now.saturating_add(timeout_us).min(open.until);
        let peer = self.peers.get(&server).cloned();
        let same_server = open.attempts.iter().any(|a| a.server == server);
        let sent = peer.as_ref().is_some_and(|peer| {
            let (passage, note) = (open.passage.clone(), InPoolGuard::new(&self.shared.attempts_in_pools));
            peer.send(Job { id, attempt, request: passage, same_server_retry: same_server, until, note })
        });
        open.attempts.push(Attempt { server, peer, sent_at: self.now, in_flight: true });
        self.counts.sent += 1;
        self.timeouts.add(until, id, attempt);
        if !sent {
            self.pending_ends.push_back(AttemptEnd::without_answer(id, attempt, Outcome::ConnectFailed));
        }
    }

    fn answer(&mut self, id: u64, answer: Answer) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.answer(answer);
        self.remove_if_done(id);
    }

    /// Gives an attempt up: its connection is closed, and it ends with this outcome.
    fn give_up(&mut self, id: u64, attempt: u32, outcome: Outcome) {
        let Some(open) = self.open.get(&id) else { return };
        let Some(record) = open.attempts.get(attempt as usize).filter(|a| a.in_flight) else { return };
        if let Some(peer) = &record.peer {
            let late = (outcome == Outcome::TimedOut).then_some(record.sent_at);
            peer.give_up(id, attempt, late);
        }
        self.pending_ends.push_back(AttemptEnd::without_answer(id, attempt, outcome));
    }

    /// Handles all timeouts and timers that are due.
    fn run_due(&mut self) {
        while let Some((id, attempt)) = self.timeouts.due(self.now) {
            self.give_up(id, attempt, Outcome::TimedOut);
            self.handle_pending_ends();
        }
        if let Some(at) = self.timer.filter(|at| *at <= self.now) {
            self.counts.timer_late_us = self.counts.timer_late_us.max(self.now - at);
            self.timer = None;
            self.decide(Event::Timer { token: 0 });
            self.handle_pending_ends();
        }
        if self.report_at <= self.now {
            self.report();
        }
    }

    fn next_due(&mut self) -> Option<Micros> {
        let open = &self.open;
        let in_flight = |id, attempt: u32| {
            open.get(&id).and_then(|o| o.attempts.get(attempt as usize)).is_some_and(|a| a.in_flight)
        };
        let timeout = self.timeouts.next(in_flight);
        [timeout, self.timer, Some(self.report_at)].into_iter().flatten().min()
    }

    // ---- the list of servers ----

    fn update_servers(&mut self, members: &Members, kind: ListKind) {
        if kind == ListKind::Saved && members.servers.is_empty() {
            return;
        }
        if kind != ListKind::Changes {
            let ids: HashSet<&str> = members.servers.iter().map(|m| m.id.as_str()).collect();
            self.servers.retain(|id, listed| {
                let stays = ids.contains(id.as_str());
                if !stays && let Some(peer) = self.peers.remove(&listed.server) {
                    peer.remove();
                }
                stays
            });
        }
        let mut entries = Vec::with_capacity(members.servers.len());
        for m in &members.servers {
            let known = self.servers.get(&m.id).map(|s| s.server);
            let server = known.unwrap_or(self.next_server);
            self.next_server += u64::from(known.is_none());
            let zone = match self.zones.get(&m.zone) {
                Some(zone) => *zone,
                None => {
                    let zone = self.next_zone;
                    self.next_zone = self.next_zone.saturating_add(1);
                    self.zones.insert(m.zone.clone(), zone);
                    zone
                }
            };
            let entry = Entry {
                server,
                zone,
                cell: m.cell,
                state: m.state,
                weight: m.weight,
                up_since_us: m.started_ms.saturating_mul(1000),
                ..Entry::default()
            };
            entries.push(entry);
            let up = m.state == State::Up;
            if m.state == State::Gone {
                self.servers.remove(&m.id);
                if let Some(peer) = self.peers.remove(&server) {
                    peer.remove();
                }
                continue;
            }
            let before = self.servers.insert(m.id.clone(), entry);
            match (self.peers.get(&server), m.addr) {
                (Some(peer), Some(addr)) => {
                    // The server has restarted: connections to its earlier process are dead, whether or not they were
                    // closed.
                    if before.is_some_and(|b| b.up_since_us != entry.up_since_us) {
                        peer.close_idle();
                    }
                    peer.update(addr, up);
                }
                (None, Some(addr)) if up => {
                    self.peers.insert(server, servers::start(addr, &self.handler));
                }
                _ => {}
            }
        }
        let (configured, listed) = (&self.shared.config.zones, self.servers.values().map(|s| s.zone));
        let listed: HashSet<u32> = listed.collect();
        self.zones.retain(|name, zone| listed.contains(zone) || configured.contains(name));
        let up = self.servers.values().filter(|s| s.state == State::Up).count();
        slog::info!(self.shared.log, "list of servers"; "kind" => ?kind, "version" => members.version,
            "changed" => entries.len(), "up" => up, "known" => self.servers.len());
        self.decide(Event::List { kind, entries });
        self.shared.ready.store(true, Ordering::Relaxed);
    }

    // ---- panics, statistics and the report in the log ----

    /// After a panic: answers all open requests with 502, which leaves open whether they ran, and starts new decisions
    /// from the current list, as after a restart of the program.
    fn restart(&mut self) {
        self.restarts += 1;
        slog::crit!(self.shared.log, "the module panicked and starts again"; "open" => self.open.len());
        self.names.clear();
        for (id, mut open) in std::mem::take(&mut self.open) {
            open.answer(Answer::text(502, ""));
            for (n, record) in open.attempts.iter().enumerate().filter(|(_, a)| a.in_flight) {
                if let Some(peer) = &record.peer {
                    peer.give_up(id, n as u32, None);
                }
            }
        }
        self.timeouts.clear();
        self.pending_ends.clear();
        self.timer = None;
        let seed = self.shared.config.seed.wrapping_add(self.restarts);
        match Decider::new(self.shared.config.settings.clone(), seed) {
            Ok(decider) => self.decider = decider,
            Err(e) => return slog::crit!(self.shared.log, "cannot start again"; "error" => %e),
        }
        let mut entries: Vec<Entry> = self.servers.values().copied().collect();
        entries.sort_unstable_by_key(|e| e.server);
        let event = Event::List { kind: ListKind::Full, entries };
        let _ = catch_unwind(AssertUnwindSafe(|| self.decide(event)));
    }

    /// The number of attempts that the decisions count as in flight.
    fn attempts_in_flight(&self) -> usize {
        self.open.values().flat_map(|o| &o.attempts).filter(|a| a.in_flight).count()
    }

    /// Publishes the figures of `/_stats`, at most every `PUBLISH_US`.
    fn publish(&mut self) {
        if self.now < self.published_at + PUBLISH_US {
            return;
        }
        self.published_at = self.now;
        let published = &self.shared.published;
        published.set_target(self.decider.target());
        published.in_flight.store(self.attempts_in_flight(), Ordering::Relaxed);
        published.open_requests.store(self.open.len(), Ordering::Relaxed);
    }

    /// Writes the report to the log.
    fn report(&mut self) {
        let c = std::mem::take(&mut self.counts);
        if c.requests > 0 {
            let error = self.last_error.take().map_or_else(|| "none".to_string(), |e| e.to_string());
            slog::info!(self.shared.log, "last 10 s";
                "asked" => c.requests, "served" => c.served, "refused" => c.refused, "failed" => c.failed,
                "rejected" => c.rejected,
                "no_room" => self.shared.room.refused_without_descriptors.swap(0, Ordering::Relaxed),
                "withdrawn" => c.withdrawn, "sent" => c.sent,
                "ok,error,full,timeout,connect,reset,cancelled,moot,rejected" => ?c.outcomes,
                "open" => self.open.len(), "out" => self.attempts_in_flight(),
                "carried" => self.shared.attempts_in_pools.load(Ordering::Relaxed),
                "target" => format!("{:.1}", self.decider.target()), "batches" => c.batches, "events" => c.events,
                "timer_late_us" => c.timer_late_us,
                "client_conns" => self.shared.room.fds.open(ConnectionKind::Client),
                "server_conns" => self.shared.room.fds.open(ConnectionKind::Server), "last_error" => error);
        }
        self.report_at = self.now + REPORT_US;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::shared::tests::shared;
    use net::memory::BufferedBody;
    use std::sync::mpsc::{Sender, channel};

    fn actor() -> DecisionActor {
        let shared = shared();
        let decider = Decider::new(shared.config.settings.clone(), 1).expect("good settings");
        DecisionActor::new(shared, decider)
    }

    fn send_request(actor: &mut DecisionActor, id: u64, client: &Sender<(u64, Answer)>) {
        let passage =
            ForwardedRequest { head: b"GET / HTTP/1.1\r\n".to_vec(), body: BufferedBody::default() };
        let until = actor.shared.room.clock.now() + 1_500_000;
        let (units, spread, first, repeat) = (1.0, 1, 0, false);
        let client = client.clone();
        let client = Some(Reply::call(id, move |answer| {
            client.send((id, answer)).expect("the test receives answers")
        }));
        let name = id.to_string().into_bytes().into();
        let request = ClientRequest {
            id,
            name,
            client,
            class: 0,
            plan: 0,
            customer: 7,
            until,
            units,
            most_units: 100.0,
            spread,
            first,
            repeat,
            passage,
        };
        actor.now = actor.shared.room.clock.now();
        actor.catch_panic(|a| a.handle(DecisionMessage::Request(Box::new(request))));
    }

    /// A panic in the decision actor must neither leave a request without its one answer nor keep later requests from
    /// being served.
    #[test]
    fn after_a_panic_open_requests_are_answered_and_new_ones_served() {
        let mut actor = actor();
        let known = actor.shared.config.known.clone();
        actor.update_servers(&known, ListKind::Saved);
        let (client, answers) = channel();
        send_request(&mut actor, 1, &client);
        send_request(&mut actor, 2, &client);
        assert_eq!(actor.open.len(), 2);
        assert!(answers.try_recv().is_err(), "both are in flight");
        actor.catch_panic(|_| panic!("planted by the test"));
        let mut answered = Vec::new();
        while let Ok((id, answer)) = answers.try_recv() {
            assert_eq!(answer.status, 502);
            answered.push(id);
        }
        answered.sort_unstable();
        assert_eq!(answered, [1, 2]);
        assert!(actor.open.is_empty());
        send_request(&mut actor, 3, &client);
        assert_eq!(actor.open[&3].attempts.len(), 1, "sent on: the list is still known");
        // The late end of an attempt from before the panic is ignored.
        let (outcome, used, units, error) = (Outcome::Ok, None, None, None);
        let answer = Some(Answer::text(200, ""));
        let late = AttemptEnd { id: 1, attempt: 0, outcome, used, units, answer, error };
        actor.catch_panic(|a| a.handle(DecisionMessage::AttemptEnded(late)));
        assert!(answers.try_recv().is_err());
    }

    /// The table of zones must not grow while lists keep bringing new zone names. A zone name that comes back gets
    /// another number than before.
    #[test]
    fn zones_of_removed_servers_are_forgotten() {
        let mut actor = actor();
        let member = |zone: &str| curlewfront_config::Member {
            id: format!("s-{zone}"),
            addr: Some("127.0.0.1:9".parse().expect("an address")),
            zone: zone.to_string(),
            cell: 0,
            state: State::Up,
            weight: 1.0,
            started_ms: 0,
        };
        let mut first = None;
        for n in 0..200 {
            let servers = vec![member("a"), member(&format!("z{}", n % 50))];
            actor.update_servers(&Members { version: n, full: true, servers }, ListKind::Full);
            assert!(actor.zones.len() <= 3, "{} zones known", actor.zones.len());
            let number = actor.servers[&format!("s-z{}", n % 50)].zone;
            if n == 0 {
                first = Some(number);
            } else if n == 50 {
                assert_ne!(Some(number), first, "a zone that came back is a new one");
            }
        }
    }

    #[test]
    fn an_attempt_has_one_outcome_and_a_request_one_answer() {
        let mut actor = actor();
        let known = actor.shared.config.known.clone();
        actor.update_servers(&known, ListKind::Saved);
        let (client, answers) = channel();
        send_request(&mut actor, 1, &client);
        let served = || {
            let (outcome, used, units, error) = (Outcome::Ok, None, None, None);
            let answer = Some(Answer::text(200, "1"));
            DecisionMessage::AttemptEnded(AttemptEnd {
                id: 1,
                attempt: 0,
                outcome,
                used,
                units,
                answer,
                error,
            })
        };
        actor.catch_panic(|a| a.handle(served()));
        actor.catch_panic(|a| a.handle(served()));
        actor.catch_panic(|a| a.handle(DecisionMessage::Withdrawn { id: 1 }));
        assert!(matches!(answers.try_recv(), Ok((1, Answer { status: 200, .. }))));
        assert!(answers.try_recv().is_err());
        assert!(actor.open.is_empty());
    }
}
