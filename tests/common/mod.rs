//! A gateway under scripted events, with what every test needs to say only once.
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

/// A plan that never refuses.
pub fn free() -> Plan {
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

pub fn answer(id: u64, attempt: u32, server: u64, outcome: Outcome) -> AttemptEnd {
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
    /// All that was ever done, with its time.
    pub log: Vec<(Micros, Action)>,
}

impl Gateway {
    pub fn new(set: Settings) -> Gateway {
        Gateway::seeded(set, 42)
    }

    /// One of many, each with a chance of its own.
    pub fn seeded(set: Settings, seed: u64) -> Gateway {
        Gateway { decider: Decider::new(set, seed).expect("good settings"), now: T0, log: Vec::new() }
    }

    /// A gateway with so many warm servers, numbered from 1.
    pub fn with_servers(set: Settings, servers: u64) -> Gateway {
        let mut g = Gateway::new(set);
        g.list(ListKind::Saved, &(1..=servers).map(up).collect::<Vec<_>>());
        g
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut acts = Vec::new();
        self.decider.handle(self.now, event, &mut acts);
        self.log.extend(acts.iter().cloned().map(|a| (self.now, a)));
        acts
    }

    pub fn list(&mut self, kind: ListKind, entries: &[Entry]) -> Vec<Action> {
        self.tell(Event::List { kind, entries: entries.to_vec() })
    }

    pub fn ask(&mut self, r: NewRequest) -> Vec<Action> {
        self.tell(Event::Request(r))
    }

    pub fn back(&mut self, r: AttemptEnd) -> Vec<Action> {
        self.tell(Event::AttemptEnded(r))
    }

    /// Lets time pass, waking the gateway each millisecond as its timers would.
    pub fn pass(&mut self, time: Micros) -> Vec<Action> {
        let until = self.now + time;
        let mut acts = Vec::new();
        while self.now < until {
            self.now = (self.now + MS).min(until);
            acts.extend(self.tell(Event::Timer { token: 0 }));
        }
        acts
    }
}

/// The servers that were sent something.
pub fn sent(acts: &[Action]) -> Vec<u64> {
    acts.iter()
        .filter_map(|a| if let Action::Send { server, .. } = a { Some(*server) } else { None })
        .collect()
}

pub fn refused(acts: &[Action]) -> usize {
    acts.iter().filter(|a| matches!(a, Action::Refuse { .. })).count()
}

pub fn failed(acts: &[Action]) -> usize {
    acts.iter().filter(|a| matches!(a, Action::Fail { .. })).count()
}
