//! Where this proxy has its news from: chooses whom to follow, notices when nothing new can come from there, and goes
//! on to the next.

use rack::state::Node;
use rack::talk::{Down, News, Reading, Seen, Up, Usage, Use};
use rack::{Micros, Rev};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use xxhash_rust::xxh3::xxh3_64;

pub enum Input {
    Tick,
    /// The link that was asked for is up.
    Linked,
    Broken,
    Got(Down),
}

#[derive(Debug)]
pub enum Output {
    /// Link to the registry on that machine; an earlier link is ended.
    Link(Ipv4Addr),
    Say(Up),
    News(News),
    Meter(Vec<Reading>),
}

/// A registry is given up after so many of its messages have not come, each a third of a beat after the one before.
const MISSED: Micros = 3;
/// Between two reports at the least.
const HURRY_US: Micros = 100_000;
const DIAL_US: Micros = 700_000;
/// Who failed is tried again after others, for so many beats.
const SHUNNED: Micros = 4;

struct Parent {
    ip: Ipv4Addr,
    since: Micros,
    linked: bool,
    heard_at: Micros,
    fresh_at: Micros,
}

pub struct Feed {
    now: Micros,
    node: Node,
    zones: BTreeMap<String, String>,
    beat_us: Micros,
    life: u64,
    count: u64,
    pub ready: bool,
    rev: Rev,
    seeds: Vec<Ipv4Addr>,
    core: BTreeMap<Ipv4Addr, String>,
    failed: BTreeMap<Ipv4Addr, Micros>,
    parent: Option<Parent>,
    /// Has followed somebody who held all that was acknowledged.
    pub was_fresh: bool,
    report_at: Micros,
    reported_at: Micros,
    uses: Vec<Use>,
}

impl Feed {
    pub fn new(
        node: Node,
        zones: BTreeMap<String, String>,
        seeds: Vec<Ipv4Addr>,
        beat_us: Micros,
        life: u64,
        now: Micros,
    ) -> Feed {
        Feed {
            now,
            node,
            zones,
            beat_us,
            life,
            count: 0,
            ready: false,
            rev: 0,
            seeds,
            core: BTreeMap::new(),
            failed: BTreeMap::new(),
            parent: None,
            was_fresh: false,
            report_at: now,
            reported_at: 0,
            uses: Vec::new(),
        }
    }

    pub fn reseed(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// The state has come this far.
    pub fn at(&mut self, rev: Rev) {
        self.rev = rev;
    }

    pub fn wake_at(&self) -> Micros {
        let part = self.beat_us / 3;
        let parent = self.parent.as_ref().map_or(self.now, |p| {
            if p.linked {
                (p.heard_at + MISSED * part).min(p.fresh_at + MISSED * part)
            } else {
                p.since + DIAL_US
            }
        });
        parent.min(self.report_at)
    }

    /// Reports soon, as something that others act on has changed.
    pub fn hurry(&mut self) {
        self.report_at = self.report_at.min(self.reported_at + HURRY_US);
    }

    /// Whether a report is due: `uses` then says what it is to tell.
    pub fn reports(&self, now: Micros) -> bool {
        now >= self.report_at && self.parent.as_ref().is_some_and(|p| p.linked)
    }

    pub fn uses(&mut self, uses: Vec<Use>) {
        self.uses = uses;
    }

    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Tick => {}
            Input::Linked => {
                if let Some(p) = &mut self.parent {
                    (p.linked, p.heard_at, p.fresh_at) = (true, self.now, self.now);
                    out.push(Output::Say(Up::Hello { node: self.node.clone(), rev: self.rev }));
                    self.report_at = self.now;
                }
            }
            Input::Broken => self.leave(),
            Input::Got(down) => {
                if let Some(p) = &mut self.parent {
                    p.heard_at = self.now;
                }
                match down {
                    Down::News(news) => out.push(Output::News(news)),
                    Down::Standing { core, fresh } => self.standing(core, fresh),
                    Down::Meter(readings) => out.push(Output::Meter(readings)),
                }
            }
        }
        let part = self.beat_us / 3;
        if let Some(p) = &self.parent {
            let silent = p.linked && self.now >= p.heard_at + MISSED * part;
            let stale = p.linked && self.now >= p.fresh_at + MISSED * part;
            if silent || stale || (!p.linked && self.now >= p.since + DIAL_US) {
                self.leave();
            }
        }
        if self.parent.is_none()
            && let Some(ip) = self.choose()
        {
            let (since, heard_at, fresh_at) = (self.now, self.now, self.now);
            self.parent = Some(Parent { ip, since, linked: false, heard_at, fresh_at });
            out.push(Output::Link(ip));
        }
        if self.now >= self.report_at {
            (self.report_at, self.reported_at) = (self.now + part, self.now);
            if self.parent.as_ref().is_some_and(|p| p.linked) {
                self.count += 1;
                let (ip, life, count, ready) = (self.node.ip, self.life, self.count, self.ready);
                let seen = vec![Seen { ip, life, count, ready }];
                let usage = Usage { ip, life, count, tenants: std::mem::take(&mut self.uses) };
                out.push(Output::Say(Up::Report { rev: self.rev, seen, usage: vec![usage] }));
            }
        }
    }

    fn standing(&mut self, core: Vec<(Ipv4Addr, String)>, fresh: bool) {
        if !core.is_empty() {
            self.core = core.into_iter().collect();
        }
        let now = self.now;
        if let Some(p) = self.parent.as_mut().filter(|_| fresh) {
            p.fresh_at = now;
            self.was_fresh = true;
            self.failed.remove(&p.ip);
        }
    }

    fn leave(&mut self) {
        if let Some(p) = self.parent.take() {
            self.failed.insert(p.ip, self.now);
        }
    }

    /// The nearest that has not failed lately; among equally near ones each proxy has its own order.
    fn choose(&self) -> Option<Ipv4Addr> {
        let all: BTreeSet<Ipv4Addr> = self.core.keys().chain(&self.seeds).copied().collect();
        let shunned = SHUNNED * self.beat_us;
        all.into_iter().min_by_key(|ip| {
            let failed = self.failed.get(ip).filter(|at| self.now < **at + shunned);
            let weight = xxh3_64(&[self.node.ip.octets(), ip.octets()].concat());
            (failed.copied().unwrap_or(0), self.near(*ip), weight)
        })
    }

    fn near(&self, ip: Ipv4Addr) -> u32 {
        let Some(zone) = self.core.get(&ip).filter(|z| !z.is_empty()) else { return 2 };
        match self.zones.get(zone) {
            _ if *zone == self.node.zone => 0,
            Some(region) if *region == self.node.region => 1,
            _ => 3,
        }
    }
}
