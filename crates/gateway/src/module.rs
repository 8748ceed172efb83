//! The module's actor: owns the decisions and the table of open requests. It hands events to the decisions,
//! one clock reading for each batch, and carries out what they answer. It decides nothing itself.

use crate::gate::Gate;
use crate::messages::{Asked, Carried, Ended, Told};
use crate::servers::{self, Back};
use curlewfront::{Action, Decider, Entry, Event, ListKind, Micros, NewRequest, Outcome, Return, State};
use curlewfront_config::Members;
use net::clock::Alarm;
use net::door::{Answer, Reply};
use net::errors::AttemptError;
use net::limits::Side;
use net::pool::{Job, Passage, Peer};
use net::timeouts::Timeouts;
use std::collections::hash_map::Entry::Occupied;
use std::collections::{HashMap, HashSet, VecDeque};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::Ordering;

struct Open {
    name: Arc<[u8]>,
    client: Option<Reply>,
    passage: Arc<Passage>,
    until: Micros,
    most_units: f64,
    tries: Vec<Try>,
    /// The client has its answer, or has gone.
    closed: bool,
}

impl Open {
    /// The one final answer; nothing where the client has it or has gone.
    fn answer(&mut self, answer: Answer) {
        let client = self.client.take().filter(|_| !self.closed);
        self.closed = true;
        if let Some(client) = client {
            client.send(answer);
        }
    }
}

struct Try {
    server: u64,
    to: Option<Peer<Back>>,
    sent_at: Micros,
    out: bool,
}

#[derive(Default)]
struct Counts {
    asked: u64,
    served: u64,
    refused: u64,
    rejected: u64,
    failed: u64,
    withdrawn: u64,
    sent: u64,
    outcomes: [u64; 9],
    batches: u64,
    events: u64,
    latest_us: Micros,
}

struct Module {
    gate: Arc<Gate>,
    wire: Arc<Back>,
    decider: Decider,
    lives: u64,
    now: Micros,
    open: HashMap<u64, Open>,
    /// The names of open requests: one that comes under the name of another would be taken for its second copy.
    names: HashSet<Arc<[u8]>>,
    /// Time-outs of attempts; those of ended ones are passed over.
    timeouts: Timeouts,
    /// When the decisions want to be called.
    timer: Option<Micros>,
    list: HashMap<String, Entry>,
    /// The actors of the servers on the list, by the decisions' numbers.
    peers: HashMap<u64, Peer<Back>>,
    servers: u64,
    /// Numbers of zones, by name: those of the configuration and of servers on the list. A number is never
    /// given twice, so a name that leaves and comes back is a zone unlike any before, which can only forbid a
    /// repeat within a zone, never allow one. Guards against a table that grows with every name a list brings.
    zones: HashMap<String, u32>,
    next_zone: u32,
    acts: Vec<Action>,
    /// Outcomes that came of carrying out an action.
    back: VecDeque<Ended>,
    counts: Counts,
    report_at: Micros,
    shown_at: Micros,
    error: Option<AttemptError>,
}

fn refused(retry_after_us: Micros) -> Answer {
    let wait = retry_after_us as f64 / 1e6;
    let line = if retry_after_us > 0 { format!("Retry-After: {wait:.3}\r\n") } else { String::new() };
    Answer::new(429, line.into_bytes(), Vec::new())
}

/// Messages taken before the connections get their turn again.
const BATCH: usize = 64;
const REPORT_US: Micros = 10_000_000;
const SHOW_US: Micros = 100_000;

pub fn start(gate: Arc<Gate>, decider: Decider, mut alarm: Alarm) {
    let mut module = Module::new(gate, decider);
    may::go!(move || {
        let known = module.gate.config.known.clone();
        module.members(&known, ListKind::Saved);
        module.settle();
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            module.gate.module.take(BATCH, &mut batch);
            let more = batch.len() == BATCH;
            module.now = module.gate.room.clock.now();
            module.counts.batches += 1;
            for told in batch.drain(..) {
                module.guard(|m| m.take(told));
            }
            module.guard(Module::due);
            module.show();
            let next = module.next_due();
            if more {
                may::coroutine::yield_now();
            } else if let Err(e) = alarm.wait(next) {
                slog::error!(module.gate.log, "cannot set a timer"; "error" => %e);
            }
        }
    });
}

impl Module {
    fn new(gate: Arc<Gate>, decider: Decider) -> Module {
        let now = gate.room.clock.now();
        Module {
            zones: gate.config.zones.iter().enumerate().map(|(n, z)| (z.clone(), n as u32)).collect(),
            next_zone: gate.config.zones.len() as u32,
            wire: Arc::new(Back(gate.clone())),
            gate,
            decider,
            lives: 0,
            now,
            open: HashMap::new(),
            names: HashSet::new(),
            timeouts: Timeouts::default(),
            timer: None,
            list: HashMap::new(),
            peers: HashMap::new(),
            servers: 0,
            acts: Vec::new(),
            back: VecDeque::new(),
            counts: Counts::default(),
            report_at: now + REPORT_US,
            shown_at: 0,
            error: None,
        }
    }

    /// A panic in one event must not end the gateway, nor leave its clients without an answer.
    fn guard(&mut self, work: impl FnOnce(&mut Module)) {
        let done = catch_unwind(AssertUnwindSafe(|| {
            work(self);
            self.settle();
        }));
        if done.is_err() {
            self.start_again();
        }
    }

    fn take(&mut self, told: Told) {
        match told {
            Told::Asked(asked) => self.asked(*asked),
            Told::Withdrawn { id } => {
                if let Some(open) = self.open.get_mut(&id).filter(|o| !o.closed) {
                    open.closed = true;
                    self.counts.withdrawn += 1;
                    self.decide(Event::Withdrawn { id });
                    self.forget(id);
                }
            }
            Told::Ended(ended) => self.ended(ended),
            Told::Members(members) => {
                let kind = if members.full { ListKind::Full } else { ListKind::Changes };
                self.members(&members, kind);
            }
            Told::Crowded => {
                for to in self.peers.values() {
                    to.close_idle();
                }
            }
        }
    }

    fn asked(&mut self, asked: Asked) {
        let Asked { id, name, client, class, plan, customer, until, .. } = asked;
        let Asked { units, most_units, spread, first, repeat, passage, .. } = asked;
        self.counts.asked += 1;
        if !self.names.insert(name.clone()) {
            // The owner goes on. Its name is free once nothing of it is out any more, its answer given or not.
            self.counts.rejected += 1;
            if let Some(client) = client {
                client.send(Answer::text(409, ""));
            }
            return;
        }
        // What the request waited in the mailbox comes off the time that is left to it.
        let left_us = until.saturating_sub(self.now);
        let passage = Arc::new(passage);
        let open = Open { name, client, passage, until, most_units, tries: Vec::new(), closed: false };
        self.open.insert(id, open);
        let request = NewRequest {
            id,
            class,
            plan,
            customer,
            left_us,
            units,
            spread,
            first,
            repeat,
            ..NewRequest::default()
        };
        self.decide(Event::Request(request));
    }

    /// An attempt has ended. One that was given up has had its outcome already.
    fn ended(&mut self, ended: Ended) {
        let Ended { id, attempt, mut outcome, used, units, answer, error } = ended;
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(one) = open.tries.get_mut(attempt as usize).filter(|t| t.out) else { return };
        one.out = false;
        let final_one = matches!(outcome, Outcome::Ok | Outcome::Rejected);
        if final_one && answer.is_none() {
            outcome = Outcome::Error; // no whole answer, nothing to pass on
        }
        let (server, latency_us) = (one.server, self.now.saturating_sub(one.sent_at));
        if let Some(answer) = answer.filter(|_| final_one && !open.closed) {
            self.counts.served += u64::from(outcome == Outcome::Ok);
            self.counts.rejected += u64::from(outcome == Outcome::Rejected);
            open.answer(answer);
        }
        let (closed, most_units) = (open.closed, open.most_units);
        self.counts.outcomes[outcome as usize] += 1;
        if error.is_some() {
            self.error = error;
        }
        let final_units = units.filter(|u| *u > 0.0 && *u <= most_units);
        self.decide(Event::Returned(Return {
            id,
            attempt,
            server,
            outcome,
            latency_us,
            closed,
            used,
            final_units,
        }));
        self.forget(id);
    }

    fn forget(&mut self, id: u64) {
        if let Occupied(open) = self.open.entry(id)
            && open.get().closed
            && !open.get().tries.iter().any(|t| t.out)
        {
            self.names.remove(&open.remove().name);
        }
    }

    /// Hands outcomes that came of the last actions to the decisions.
    fn settle(&mut self) {
        while let Some(ended) = self.back.pop_front() {
            self.ended(ended);
        }
    }

    fn decide(&mut self, event: Event) {
        self.counts.events += 1;
        let mut acts = std::mem::take(&mut self.acts);
        self.decider.handle(self.now, event, &mut acts);
        for act in acts.drain(..) {
            self.act(act);
        }
        self.acts = acts;
    }

    fn act(&mut self, act: Action) {
        match act {
            Action::Send { id, server, timeout_us } => self.send(id, server, timeout_us),
            Action::Refuse { id, retry_after_us, .. } => {
                self.counts.refused += 1;
                self.answer(id, refused(retry_after_us));
            }
            Action::Fail { id } => {
                self.counts.failed += 1;
                self.answer(id, Answer::text(502, ""));
            }
            Action::Cancel { id, attempt } => self.give_up(id, attempt, Outcome::Cancelled),
            Action::Watch => {} // discovery is watched at all times
            Action::Timer { at_us, .. } => self.timer = Some(at_us),
        }
    }

    fn send(&mut self, id: u64, server: u64, timeout_us: Micros) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = open.tries.len() as u32;
        let until = self.now.saturating_add(timeout_us).min(open.until);
        let to = self.peers.get(&server).cloned();
        let again = open.tries.iter().any(|t| t.server == server);
        let sent = to.as_ref().is_some_and(|to| {
            let (passage, carried) = (open.passage.clone(), Carried::one_more(&self.gate.carried));
            to.send(Job { id, attempt, passage, again, until, note: carried })
        });
        open.tries.push(Try { server, to, sent_at: self.now, out: true });
        self.counts.sent += 1;
        self.timeouts.add(until, id, attempt);
        if !sent {
            self.back.push_back(Ended::bare(id, attempt, Outcome::ConnectFailed));
        }
    }

    fn answer(&mut self, id: u64, answer: Answer) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.answer(answer);
        self.forget(id);
    }

    /// Stops waiting for an attempt: its connection closes, and this is its outcome.
    fn give_up(&mut self, id: u64, attempt: u32, outcome: Outcome) {
        let Some(open) = self.open.get(&id) else { return };
        let Some(one) = open.tries.get(attempt as usize).filter(|t| t.out) else { return };
        if let Some(to) = &one.to {
            let late = (outcome == Outcome::TimedOut).then_some(one.sent_at);
            to.give_up(id, attempt, late);
        }
        self.back.push_back(Ended::bare(id, attempt, outcome));
    }

    /// All that is due by now.
    fn due(&mut self) {
        while let Some((id, attempt)) = self.timeouts.due(self.now) {
            self.give_up(id, attempt, Outcome::TimedOut);
            self.settle();
        }
        if let Some(at) = self.timer.filter(|at| *at <= self.now) {
            self.counts.latest_us = self.counts.latest_us.max(self.now - at);
            self.timer = None;
            self.decide(Event::Timer { token: 0 });
            self.settle();
        }
        if self.report_at <= self.now {
            self.report();
        }
    }

    fn next_due(&mut self) -> Option<Micros> {
        let open = &self.open;
        let out = |id, attempt: u32| {
            open.get(&id).and_then(|o| o.tries.get(attempt as usize)).is_some_and(|t| t.out)
        };
        let timeout = self.timeouts.next(out);
        [timeout, self.timer, Some(self.report_at)].into_iter().flatten().min()
    }

    // ---- the list of servers ----

    fn members(&mut self, members: &Members, kind: ListKind) {
        if kind == ListKind::Saved && members.servers.is_empty() {
            return;
        }
        if kind != ListKind::Changes {
            let named: HashSet<&str> = members.servers.iter().map(|m| m.id.as_str()).collect();
            self.list.retain(|id, listed| {
                let stays = named.contains(id.as_str());
                if !stays && let Some(to) = self.peers.remove(&listed.server) {
                    to.gone();
                }
                stays
            });
        }
        let mut entries = Vec::with_capacity(members.servers.len());
        for m in &members.servers {
            let known = self.list.get(&m.id).map(|l| l.server);
            let server = known.unwrap_or(self.servers);
            self.servers += u64::from(known.is_none());
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
                self.list.remove(&m.id);
                if let Some(to) = self.peers.remove(&server) {
                    to.gone();
                }
                continue;
            }
            let before = self.list.insert(m.id.clone(), entry);
            match (self.peers.get(&server), m.addr) {
                (Some(to), Some(addr)) => {
                    // Connections to the process before it are dead, told or not.
                    if before.is_some_and(|b| b.up_since_us != entry.up_since_us) {
                        to.close_idle();
                    }
                    to.listed(addr, up);
                }
                (None, Some(addr)) if up => {
                    self.peers.insert(server, servers::start(addr, &self.wire));
                }
                _ => {}
            }
        }
        let (configured, listed) = (&self.gate.config.zones, self.list.values().map(|l| l.zone));
        let listed: HashSet<u32> = listed.collect();
        self.zones.retain(|name, zone| listed.contains(zone) || configured.contains(name));
        let up = self.list.values().filter(|l| l.state == State::Up).count();
        slog::info!(self.gate.log, "list of servers"; "kind" => ?kind, "version" => members.version,
            "changed" => entries.len(), "up" => up, "known" => self.list.len());
        self.decide(Event::List { kind, entries });
        self.gate.ready.store(true, Ordering::Relaxed);
    }

    // ---- trouble and report ----

    /// After a panic: all that was held is answered as failed, which promises nothing, and the decisions start
    /// again from the list, as after a restart.
    fn start_again(&mut self) {
        self.lives += 1;
        slog::crit!(self.gate.log, "the module panicked and starts again"; "open" => self.open.len());
        self.names.clear();
        for (id, mut open) in std::mem::take(&mut self.open) {
            open.answer(Answer::text(502, ""));
            for (n, one) in open.tries.iter().enumerate().filter(|(_, t)| t.out) {
                if let Some(to) = &one.to {
                    to.give_up(id, n as u32, None);
                }
            }
        }
        self.timeouts.clear();
        self.back.clear();
        self.timer = None;
        let seed = self.gate.config.seed.wrapping_add(self.lives);
        match Decider::new(self.gate.config.settings.clone(), seed) {
            Ok(decider) => self.decider = decider,
            Err(e) => return slog::crit!(self.gate.log, "cannot start again"; "error" => %e),
        }
        let mut entries: Vec<Entry> = self.list.values().copied().collect();
        entries.sort_unstable_by_key(|e| e.server);
        let event = Event::List { kind: ListKind::Full, entries };
        let _ = catch_unwind(AssertUnwindSafe(|| self.decide(event)));
    }

    /// Attempts that the decisions hold to be out.
    fn out(&self) -> usize {
        self.open.values().flat_map(|o| &o.tries).filter(|t| t.out).count()
    }

    /// What `/_stats` tells, at most ten times a second.
    fn show(&mut self) {
        if self.now < self.shown_at + SHOW_US {
            return;
        }
        self.shown_at = self.now;
        let shown = &self.gate.shown;
        shown.set_target(self.decider.target());
        shown.out.store(self.out(), Ordering::Relaxed);
        shown.open.store(self.open.len(), Ordering::Relaxed);
    }

    fn report(&mut self) {
        let c = std::mem::take(&mut self.counts);
        if c.asked > 0 {
            let error = self.error.take().map_or_else(|| "none".to_string(), |e| e.to_string());
            slog::info!(self.gate.log, "last 10 s";
                "asked" => c.asked, "served" => c.served, "refused" => c.refused, "failed" => c.failed,
                "rejected" => c.rejected, "no_room" => self.gate.room.no_room.swap(0, Ordering::Relaxed), "withdrawn" => c.withdrawn, "sent" => c.sent,
                "ok,error,full,timeout,connect,reset,cancelled,moot,rejected" => ?c.outcomes, "open" => self.open.len(),
                "out" => self.out(),
                "carried" => self.gate.carried.load(Ordering::Relaxed),
                "target" => format!("{:.1}", self.decider.target()), "batches" => c.batches, "events" => c.events,
                "timer_late_us" => c.latest_us, "client_conns" => self.gate.room.fds.open(Side::Clients),
                "server_conns" => self.gate.room.fds.open(Side::Servers), "last_error" => error);
        }
        self.report_at = self.now + REPORT_US;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::gate::tests::gate;
    use net::limits::Held;
    use std::sync::mpsc::{Sender, channel};

    fn module() -> Module {
        let gate = gate();
        let decider = Decider::new(gate.config.settings.clone(), 1).expect("good settings");
        Module::new(gate, decider)
    }

    fn ask(module: &mut Module, id: u64, client: &Sender<(u64, Answer)>) {
        let passage = Passage { head: b"GET / HTTP/1.1\r\n".to_vec(), body: Held::default() };
        let until = module.gate.room.clock.now() + 1_500_000;
        let (units, spread, first, repeat) = (1.0, 1, 0, false);
        let client = client.clone();
        let client = Some(Reply::call(id, move |answer| client.send((id, answer)).expect("heard")));
        let name = id.to_string().into_bytes().into();
        let asked = Asked {
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
        module.now = module.gate.room.clock.now();
        module.guard(|m| m.take(Told::Asked(Box::new(asked))));
    }

    /// Whatever goes wrong inside, each request gets its one answer and the next ones are served.
    #[test]
    fn after_a_panic_all_that_was_held_is_answered_and_it_goes_on() {
        let mut module = module();
        let known = module.gate.config.known.clone();
        module.members(&known, ListKind::Saved);
        let (client, answers) = channel();
        ask(&mut module, 1, &client);
        ask(&mut module, 2, &client);
        assert_eq!(module.open.len(), 2);
        assert!(answers.try_recv().is_err(), "both are on their way");
        module.guard(|_| panic!("as a fault would"));
        let mut answered = Vec::new();
        while let Ok((id, answer)) = answers.try_recv() {
            assert_eq!(answer.status, 502);
            answered.push(id);
        }
        answered.sort_unstable();
        assert_eq!(answered, [1, 2]);
        assert!(module.open.is_empty());
        ask(&mut module, 3, &client);
        assert_eq!(module.open[&3].tries.len(), 1, "sent on: the list is still known");
        // What comes late of the attempts before is passed over.
        let (outcome, used, units, error) = (Outcome::Ok, None, None, None);
        let answer = Some(Answer::text(200, ""));
        let late = Ended { id: 1, attempt: 0, outcome, used, units, answer, error };
        module.guard(|m| m.take(Told::Ended(late)));
        assert!(answers.try_recv().is_err());
    }

    /// A list that brings ever new zone names must not grow the table of zones; a name that comes back is
    /// given a number unlike its earlier one.
    #[test]
    fn zones_of_servers_gone_are_forgotten() {
        let mut module = module();
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
            module.members(&Members { version: n, full: true, servers }, ListKind::Full);
            assert!(module.zones.len() <= 3, "{} zones known", module.zones.len());
            let number = module.list[&format!("s-z{}", n % 50)].zone;
            if n == 0 {
                first = Some(number);
            } else if n == 50 {
                assert_ne!(Some(number), first, "a zone that came back is a new one");
            }
        }
    }

    #[test]
    fn an_attempt_has_one_outcome_and_a_request_one_answer() {
        let mut module = module();
        let known = module.gate.config.known.clone();
        module.members(&known, ListKind::Saved);
        let (client, answers) = channel();
        ask(&mut module, 1, &client);
        let served = || {
            let (outcome, used, units, error) = (Outcome::Ok, None, None, None);
            let answer = Some(Answer::text(200, "1"));
            Told::Ended(Ended { id: 1, attempt: 0, outcome, used, units, answer, error })
        };
        module.guard(|m| m.take(served()));
        module.guard(|m| m.take(served()));
        module.guard(|m| m.take(Told::Withdrawn { id: 1 }));
        assert!(matches!(answers.try_recv(), Ok((1, Answer { status: 200, .. }))));
        assert!(answers.try_recv().is_err());
        assert!(module.open.is_empty());
    }
}
