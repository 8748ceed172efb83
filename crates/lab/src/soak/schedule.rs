//! Draws a day's schedule from a seed: a scenario in text, so that it can be read, played again and cut down by hand.

use super::shape::Shape;
use crate::system::rollouts::Quality;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng, rngs::StdRng};
use simulator::plan::Flaw;
use std::fmt::Write;

/// Traffic runs between these, in seconds; what is done is done between them.
pub(super) const FIRST: f64 = 8.5;
/// Nothing new is begun so long before the day ends.
pub(super) const LAST: f64 = 7.0;
/// Terms of rollouts, in seconds, at least and at most.
const TERMS: (f64, f64) = (13.0, 18.0);
/// Rollouts are drawn from a source of their own, so that the rest of a seed's day stays as it was without them.
const ROLLOUTS: u64 = 0x726f_6c6c_6f75_7473;

/// What a day is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Planned work alone: signals and changes in series, back ends that leave.
    Planned,
    /// The same, with core machines that are asked to end.
    Core,
    /// Processes are killed, alone, by zone, by role and all at once.
    Kills,
    /// A tenant sends many times its usual while proxies end and start.
    Flood,
    /// All of it.
    Mixed,
}

const KINDS: [Kind; 5] = [Kind::Planned, Kind::Core, Kind::Kills, Kind::Flood, Kind::Mixed];

impl Kind {
    pub fn of(seed: u64) -> Kind {
        KINDS[(seed % KINDS.len() as u64) as usize]
    }

    pub fn name(self) -> &'static str {
        match self {
            Kind::Planned => "planned",
            Kind::Core => "core",
            Kind::Kills => "kills",
            Kind::Flood => "flood",
            Kind::Mixed => "mixed",
        }
    }
}

/// A schedule that is being drawn.
pub(super) struct Draft<'s> {
    pub(super) shape: &'s Shape,
    pub(super) rng: StdRng,
    pub(super) text: String,
    pub(super) proxies: usize,
    /// Servers that were not asked to leave yet, by name.
    servers: Vec<String>,
    added: Vec<String>,
    names: usize,
}

/// The scenario of this seed.
pub fn draw(shape: &Shape, seed: u64) -> String {
    let mut draft = Draft::new(shape, seed);
    draft.head(seed, Kind::of(seed).name());
    let (from, to) = (FIRST, shape.length_s as f64 - LAST);
    match Kind::of(seed) {
        Kind::Planned => {
            draft.ends_in_series(from, to, 3);
            draft.hangups(from, to, 6);
            draft.changes(from, to, (0.3, 1.2));
            draft.leaving_servers(from, to, (0.5, 2.0));
            draft.paused_answers(from, to, 4);
        }
        Kind::Core => {
            draft.core_ends(from, from + (to - from) * 0.5);
            draft.ends_in_series(from, to, 2);
            draft.hangups(from, to, 4);
            draft.changes(from, to, (0.3, 1.2));
            draft.leaving_servers(from, to, (0.5, 2.0));
        }
        Kind::Kills => {
            draft.kills(from, from + (to - from) * 0.55);
            draft.changes(from, to, (0.4, 1.5));
            draft.leaving_servers(from, to, (0.5, 2.0));
            draft.ends_in_series(from + (to - from) * 0.3, to, 1);
        }
        Kind::Flood => {
            draft.floods(from + 1.0, to);
            draft.ends_in_series(from, to, 3);
            draft.changes(from, to, (1.0, 3.0));
        }
        Kind::Mixed => {
            draft.kills(from, from + (to - from) * 0.4);
            draft.core_ends(from, from + (to - from) * 0.4);
            draft.floods(from + 2.0, to);
            draft.servers_in_trouble(from, to);
            draft.ends_in_series(from, to, 2);
            draft.hangups(from, to, 3);
            draft.changes(from, to, (0.3, 1.5));
            draft.leaving_servers(from, to, (0.7, 2.5));
        }
    }
    draft.rng = StdRng::seed_from_u64(seed ^ ROLLOUTS);
    draft.rollouts(from, to);
    draft.text
}

impl<'s> Draft<'s> {
    pub(super) fn new(shape: &'s Shape, seed: u64) -> Draft<'s> {
        let mut rng = StdRng::seed_from_u64(seed);
        let crowded = seed % shape.crowded_every == shape.crowded_every - 1;
        let usual = rng.gen_range(shape.proxies.0..=shape.proxies.1);
        let proxies = if crowded { shape.crowded } else { usual };
        let servers = shape.services.iter().flat_map(|(name, n)| (1..=*n).map(move |k| format!("{name}{k}")));
        let servers = servers.collect();
        Draft { shape, rng, text: String::new(), proxies, servers, added: Vec::new(), names: 0 }
    }
}

impl Draft<'_> {
    fn line(&mut self, line: std::fmt::Arguments) {
        let _ = writeln!(self.text, "{line}");
    }

    pub(super) fn at(&mut self, at: f64, what: std::fmt::Arguments) {
        let _ = writeln!(self.text, "at {at:.2} {what}");
    }

    /// `about`: what the day is about.
    pub(super) fn head(&mut self, seed: u64, about: &str) {
        let shape = self.shape;
        let proxies = self.proxies;
        self.line(format_args!("# soak seed {seed}: {about}, {proxies} proxies"));
        self.line(format_args!("seconds {}", shape.length_s));
        for (zone, region) in &shape.zones {
            self.line(format_args!("zone {zone} {region}"));
        }
        self.line(format_args!("cores {}", shape.cores.join(" ")));
        self.line(format_args!("edges {proxies}"));
        for (service, n) in &shape.services {
            self.line(format_args!("service {service} {n}"));
        }
        self.line(format_args!("tenants {}", shape.tenants));
        self.line(format_args!("quota {}", shape.quota));
        self.line(format_args!("routes {}", shape.routes));
        self.line(format_args!("clients {}", shape.clients));
        self.line(format_args!("rate {}", shape.rate));
        self.line(format_args!("work 60"));
        self.line(format_args!("connections kept"));
        self.line(format_args!("probe changes"));
        for (name, value) in &shape.bounds {
            self.line(format_args!("bound {name} {value}"));
        }
    }

    fn service(&mut self) -> String {
        let services = &self.shape.services;
        services[self.rng.gen_range(0..services.len())].0.clone()
    }

    fn server(&mut self) -> Option<String> {
        let left = self.servers.len();
        // Each service keeps most of its servers.
        let all: usize = self.shape.services.iter().map(|s| s.1).sum();
        (left * 2 > all).then(|| {
            let place = self.rng.gen_range(0..left);
            self.servers.swap_remove(place)
        })
    }

    /// SIGTERM to all proxies in turn, several times over, each series at its own pace.
    pub(super) fn ends_in_series(&mut self, from: f64, to: f64, series: usize) {
        for _ in 0..series {
            let begins = self.rng.gen_range(from..from + (to - from) * 0.5);
            let whole = self.rng.gen_range(3.0..(to - begins).max(4.0));
            let every = [0.2, 0.5, 0.8, 1.3][self.rng.gen_range(0..4)];
            let by = ((self.proxies as f64 * every / whole).ceil() as usize).max(1);
            let back = self.rng.gen_range(0.2..2.0);
            self.at(begins, format_args!("roll edges by {by} every {every} back {back:.2}"));
        }
    }

    pub(super) fn hangups(&mut self, from: f64, to: f64, count: usize) {
        for _ in 0..count {
            let at = self.rng.gen_range(from..to);
            let who = ["edges", "edges", "cores", "leader"][self.rng.gen_range(0..4)];
            self.at(at, format_args!("hup {who}"));
            if self.rng.gen_bool(0.5) {
                self.at(at + self.rng.clone().gen_range(0.05..0.5), format_args!("hup {who}"));
            }
        }
    }

    /// Configurations one after the other, at times two on one version, and invalid ones between.
    pub(super) fn changes(&mut self, from: f64, to: f64, gap: (f64, f64)) {
        let mut at = from;
        while at < to {
            let what = self.change();
            self.at(at, format_args!("{what}"));
            if self.rng.gen_bool(0.12) {
                let rival = self.shift();
                self.at(at + 0.01, format_args!("rival {rival}"));
            }
            at += self.rng.gen_range(gap.0..gap.1);
        }
    }

    fn shift(&mut self) -> String {
        let (route, service) = (self.service(), self.service());
        let word = if self.rng.gen_bool(0.5) { "shift" } else { "patch" };
        format!("{word} r-{route} to {service}")
    }

    fn change(&mut self) -> String {
        let tenant = self.rng.gen_range(0..self.shape.tenants);
        let (route, one, other) = (self.service(), self.service(), self.service());
        match self.rng.gen_range(0..20) {
            0..=8 => self.shift(),
            9..=11 => {
                self.names += 1;
                let name = format!("added-{}", self.names);
                self.added.push(name.clone());
                format!("add-route {name} to {one}")
            }
            12 | 13 if !self.added.is_empty() => {
                let place = self.rng.gen_range(0..self.added.len());
                let name = self.added.swap_remove(place);
                format!("remove-route {name}")
            }
            14 => format!("split r-{route} to {one} {other}"),
            15 => format!("rekey t{tenant}"),
            16 => {
                let (flaw, _) = Flaw::ALL[self.rng.gen_range(0..Flaw::ALL.len())];
                format!("invalid {flaw}")
            }
            17 => {
                let regions = ["south", "north", "south north"];
                format!("homes r-{route} to {}", regions[self.rng.gen_range(0..regions.len())])
            }
            _ => self.shift(),
        }
    }

    /// One to three rollouts that overlap with all else, at times one more of the same service after the first.
    pub(super) fn rollouts(&mut self, from: f64, to: f64) {
        let mut services: Vec<String> = self.shape.services.iter().map(|s| s.0.clone()).collect();
        services.shuffle(&mut self.rng);
        services.truncate(self.rng.gen_range(1..4));
        for service in services {
            let at = self.rng.gen_range(from..from + (to - from) * 0.3);
            self.rollout(at, &service);
            if self.rng.gen_bool(0.4) {
                self.rollout(at + 4.0, &service);
            }
        }
    }

    fn rollout(&mut self, at: f64, service: &str) {
        // Half of them are good.
        let quality = Quality::ALL[self.rng.gen_range(0..6usize).saturating_sub(2)];
        let term = self.rng.gen_range(TERMS.0..TERMS.1);
        self.at(at, format_args!("rollout {service} {} term {term:.2}", quality.name()));
    }

    fn leaving_servers(&mut self, from: f64, to: f64, gap: (f64, f64)) {
        let mut at = from;
        while at < to {
            at += self.rng.gen_range(gap.0..gap.1);
            let Some(server) = self.server() else { return };
            if self.rng.gen_bool(0.4) {
                let back = self.rng.gen_range(1.0..4.0);
                self.at(at, format_args!("drain {server} back {back:.2}"));
            } else {
                self.at(at, format_args!("drain {server}"));
            }
        }
    }

    /// Core machines end in turn, as many as may be away at once overlapping.
    fn core_ends(&mut self, from: f64, to: f64) {
        let cores = self.shape.cores.len();
        let mut order: Vec<usize> = (1..=cores).collect();
        order.shuffle(&mut self.rng);
        let gap = (to - from) / cores as f64;
        let pace = self.rng.gen_range(0.3..1.0);
        for (n, core) in order.into_iter().enumerate() {
            let at = from + gap * pace * n as f64;
            let back = self.rng.gen_range(0.2..gap.max(0.5));
            let word = if self.rng.gen_bool(0.75) { "term" } else { "kill" };
            self.at(at, format_args!("{word} core{core} back {back:.2}"));
        }
        if self.rng.gen_bool(0.5) {
            let at = self.rng.gen_range(from..to);
            self.at(at, format_args!("when order kill leader back 1"));
        }
    }

    fn kills(&mut self, from: f64, to: f64) {
        let count = self.rng.gen_range(3..6);
        for _ in 0..count {
            let at = self.rng.gen_range(from..to);
            let back = self.rng.gen_range(0.3..2.0);
            let zone = self.shape.zones[self.rng.gen_range(0..self.shape.zones.len())].0.clone();
            let proxy = self.rng.gen_range(1..=self.proxies);
            let who = match self.rng.gen_range(0..8) {
                0 => "edges".to_string(),
                1 => "leader".to_string(),
                2 => "followers".to_string(),
                3 => "cores".to_string(),
                4 => "all".to_string(),
                5 | 6 => format!("zone:{zone}"),
                _ => format!("edge{proxy}"),
            };
            let armed = ["", "when sent ", "when order ", "when drain "][self.rng.gen_range(0..4)];
            self.at(at, format_args!("{armed}kill {who} back {back:.2}"));
        }
    }

    fn floods(&mut self, from: f64, to: f64) {
        let at = self.rng.gen_range(from..from + (to - from) * 0.4);
        let tenant = self.rng.gen_range(0..self.shape.tenants);
        // As many times the whole rate as makes several times the tenant's quota.
        let times = self.rng.gen_range(4.0..8.0) * f64::from(self.shape.quota) / self.shape.rate;
        let last = self.rng.gen_range(5.0..12.0);
        self.at(at, format_args!("hot {tenant} {times:.2} for {last:.2}"));
    }

    pub(super) fn servers_in_trouble(&mut self, from: f64, to: f64) {
        let count = self.rng.gen_range(2..6);
        for _ in 0..count {
            let at = self.rng.gen_range(from..to);
            let Some(server) = self.server() else { return };
            let service = self.service();
            let what = match self.rng.gen_range(0..4) {
                0 => format!("crash {server} back 1.5"),
                1 => format!("replace {server} by {service} after 2.5"),
                2 => format!("slow {server} for 4"),
                _ => format!("cold {server}"),
            };
            self.at(at, format_args!("{what}"));
        }
        if self.rng.gen_bool(0.5) {
            self.evacuation(from, to);
        }
    }

    /// One zone is emptied for 8 s.
    pub(super) fn evacuation(&mut self, from: f64, to: f64) {
        let zone = self.shape.zones[self.rng.gen_range(0..self.shape.zones.len())].0.clone();
        let at = self.rng.gen_range(from..from + (to - from) * 0.5);
        self.at(at, format_args!("evacuate {zone}"));
        self.at(at + 8.0, format_args!("return {zone}"));
    }

    /// Single servers pause within their answers, for longer than most requests last.
    pub(super) fn paused_answers(&mut self, from: f64, to: f64, count: usize) {
        for _ in 0..count {
            let (at, last) = (self.rng.gen_range(from..to), self.rng.gen_range(0.5..1.5));
            let (service, count) =
                self.shape.services[self.rng.gen_range(0..self.shape.services.len())].clone();
            let server = self.rng.gen_range(1..=count);
            self.at(at, format_args!("pause {service}{server} for {last:.2}"));
        }
    }

    /// Answers of whole services are lost after the work, so that what may run twice is sent again.
    pub(super) fn lost_answers(&mut self, from: f64, to: f64, count: usize) {
        for _ in 0..count {
            let (at, last) = (self.rng.gen_range(from..to), self.rng.gen_range(0.5..2.0));
            let service = self.service();
            self.at(at, format_args!("lose {service} for {last:.2}"));
        }
    }
}
