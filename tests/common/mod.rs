//! A gateway driven by scripted events, and helpers shared by the tests.
#![allow(dead_code)]

use curlewfront::*;

pub const SEC: Micros = 1_000_000;
pub const MS: Micros = 1_000;
pub const T0: Micros = 1_000 * SEC;

pub fn class(effect: Effect) -> Class {
    Class { aim_us: SEC, deadline_us: 3 * SEC, late_worth: 0.0, effect }
}

pub fn settings(plan: Plan) -> Settings {
    Settings {
        balancers: 2,
        index: 0,
        classes: vec![class(Effect::Repeatable)],
        plans: vec![plan],
        ask_for_list: false,
        meter_us: SEC,
        trued_up: false,
        tick_us: 4 * MS,
        marks_retry: false,
        may_cancel: true,
        retry_after: true,
        max_retry_after_us: SEC,
        attempts_cap: 4,
        ask_within_us: 16 * SEC,
        cold_from: 0.3,
        cold_us: 16 * SEC,
        fall_multiple: 2.0,
        fall_us: 2 * SEC,
        services: 1,
        starts_empty: false,
        retry_budget: None,
        light_use_below: 0.0,
        light_use_burst: 0.0,
    }
}

/// A plan without quotas.
pub fn no_quota() -> Plan {
    Plan::default()
}

pub fn rate(rate: f64, burst: f64) -> Plan {
    Plan { rate, burst, ..Plan::default() }
}

pub fn up(server: u64) -> Entry {
    Entry { server, cell: server as u32, ..Entry::default() }
}

pub fn request(id: u64) -> NewRequest {
    NewRequest { id, customer: 7, left_us: 3 * SEC, spread: 2, ..NewRequest::default() }
}

pub fn attempt_end(id: u64, attempt: u32, server: u64, outcome: Outcome) -> AttemptEnd {
    AttemptEnd {
        id,
        attempt,
        server,
        outcome,
        latency_us: 50 * MS,
        closed: outcome == Outcome::Ok,
        used: None,
        final_units: None,
    }
}

pub struct Gateway {
    pub decider: Decider,
    pub now: Micros,
    /// All actions so far, with their times.
    pub log: Vec<(Micros, Action)>,
}

impl Gateway {
    pub fn new(set: Settings) -> Gateway {
        Gateway::seeded(set, 42)
    }

    /// A gateway with its own random seed, for tests of many gateways.
    pub fn seeded(set: Settings, seed: u64) -> Gateway {
        Gateway { decider: Decider::new(set, seed).expect("good settings"), now: T0, log: Vec::new() }
    }

    /// A gateway with `servers` warm servers, numbered from 1.
    pub fn with_servers(set: Settings, servers: u64) -> Gateway {
        let mut g = Gateway::new(set);
        g.list(ListKind::Saved, &(1..=servers).map(up).collect::<Vec<_>>());
        g
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.decider.handle(self.now, event, &mut actions);
        self.log.extend(actions.iter().cloned().map(|a| (self.now, a)));
        actions
    }

    pub fn list(&mut self, kind: ListKind, entries: &[Entry]) -> Vec<Action> {
        self.handle(Event::List { kind, entries: entries.to_vec() })
    }

    pub fn submit(&mut self, r: NewRequest) -> Vec<Action> {
        self.handle(Event::Request(r))
    }

    pub fn end_attempt(&mut self, r: AttemptEnd) -> Vec<Action> {
        self.handle(Event::AttemptEnded(r))
    }

    /// Advances the clock by `time`, with a timer event each millisecond.
    pub fn advance(&mut self, time: Micros) -> Vec<Action> {
        let until = self.now + time;
        let mut actions = Vec::new();
        while self.now < until {
            self.now = (self.now + MS).min(until);
            actions.extend(self.handle(Event::Timer { token: 0 }));
        }
        actions
    }
}

/// The servers to which attempts were sent.
pub fn sent(actions: &[Action]) -> Vec<u64> {
    actions
        .iter()
        .filter_map(|a| if let Action::Send { server, .. } = a { Some(*server) } else { None })
        .collect()
}

pub fn refused(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count()
}

pub fn failed(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Fail { .. })).count()
}
