//! What the system's own processes put on their links and disks, as counts: for measurements, not for the judge.

use crate::net::Kind;
use crate::record::Host;
use crate::world::World;
use crate::{Micros, SECOND};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub struct OnLink {
    pub messages: u64,
    pub bytes: u64,
    /// The second that is being counted, what came together in it, and the most of any second.
    second: u64,
    within: u64,
    pub most_a_second: u64,
}

impl OnLink {
    fn count(&mut self, now: Micros, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
        if self.second != now / SECOND {
            (self.second, self.within) = (now / SECOND, 0);
        }
        self.within += bytes;
        self.most_a_second = self.most_a_second.max(self.within);
    }
}

/// Between two machines, both ways together. Bytes are those of messages, without what TCP and IP add.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Sent and received, by machine.
    pub hosts: Vec<OnLink>,
    pub kinds: BTreeMap<&'static str, (u64, u64)>,
    pub between_zones: u64,
    pub between_regions: u64,
    /// Writes of the stores that reached a disk.
    pub syncs: u64,
}

impl World {
    pub fn carried(&mut self, kind: Kind, from: Host, to: Host, bytes: usize) {
        if from == to {
            return; // on one machine
        }
        let (now, bytes) = (self.now, bytes as u64);
        let kind = match kind {
            Kind::Fellow => "agreement",
            Kind::Gossip => "gossip",
            Kind::News => "registry and proxy",
            Kind::Relay => "proxy and proxy",
            Kind::Watch => "watchers",
            Kind::Local | Kind::Request | Kind::Work | Kind::Call => "other",
        };
        let (a, b) = (&self.zones[self.hosts[from].zone], &self.zones[self.hosts[to].zone]);
        let load = &mut self.load;
        if a.1 != b.1 {
            load.between_regions += bytes;
        } else if a.0 != b.0 {
            load.between_zones += bytes;
        }
        let sum = load.kinds.entry(kind).or_default();
        *sum = (sum.0 + 1, sum.1 + bytes);
        for host in [from, to] {
            load.hosts[host].count(now, bytes);
        }
    }
}

/// A size of the system. Each part can be varied alone; what is not said is as many servers and tenants for each proxy
/// as a grown deployment has, and a route for each service.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub edges: usize,
    pub servers: usize,
    pub tenants: usize,
    pub routes: usize,
    pub rate: f64,
}

const SERVICES: [&str; 3] = ["tiro", "utu", "kawe"];

impl Size {
    pub fn of(edges: usize) -> Size {
        let of = |each: f64| (edges as f64 * each).round() as usize;
        Size { edges, servers: of(4.4), tenants: edges, routes: SERVICES.len(), rate: edges as f64 * 6.0 }
    }

    /// A client at least for each tenant; the requests do not grow with the tenants.
    fn clients(&self) -> usize {
        self.tenants.max(self.edges * 6)
    }

    /// A calm day, and from [`WAVE`] on a change of the configuration and a third of the servers replaced in turn.
    pub fn day(&self) -> String {
        let mut text = format!("cores a b a b a\nedges {}\ntenants {}\n", self.edges, self.tenants);
        let (clients, routes, ends) = (self.clients(), self.routes, ENDS / SECOND);
        text +=
            &format!("routes {routes}\nclients {clients}\nrate {}\nquota 60\nseconds {ends}\n", self.rate);
        for (i, name) in SERVICES.iter().enumerate() {
            text += &format!("service {name} {}\n", (self.servers + i) / 3);
        }
        text += &format!("at {} shift r-tiro to kawe\n", WAVE / SECOND);
        for n in 0..self.servers / 3 / 3 {
            for (i, name) in SERVICES.iter().enumerate() {
                let at = WAVE as f64 / 1e6 + 0.5 + 8.0 * (n * 3 + i) as f64 / (self.servers as f64 / 3.0);
                text += &format!("at {at:.3} drain {name}{} back 0\n", n + 1);
            }
        }
        text
    }
}

/// Calm is counted from the first to the second, the wave from there to the third.
pub const CALM: Micros = 14 * SECOND;
pub const WAVE: Micros = 26 * SECOND;
pub const WAVED: Micros = 46 * SECOND;
const ENDS: Micros = 52 * SECOND;

/// What came together in a span.
#[derive(Clone, Debug)]
pub struct Span {
    pub seconds: f64,
    pub load: Load,
    pub requests: usize,
}

impl Load {
    fn since(&self, before: &Load) -> Load {
        let less = |(a, b): (&OnLink, &OnLink)| OnLink {
            messages: a.messages - b.messages,
            bytes: a.bytes - b.bytes,
            ..a.clone()
        };
        let kinds = self.kinds.iter().map(|(kind, (messages, bytes))| {
            let (m, b) = before.kinds.get(kind).copied().unwrap_or_default();
            (*kind, (messages - m, bytes - b))
        });
        Load {
            hosts: self.hosts.iter().zip(&before.hosts).map(less).collect(),
            kinds: kinds.collect(),
            between_zones: self.between_zones - before.between_zones,
            between_regions: self.between_regions - before.between_regions,
            syncs: self.syncs - before.syncs,
        }
    }
}

/// Plays the day of a size: its calm span and its wave, and the record.
pub fn measure(size: Size, seed: u64) -> miette::Result<([Span; 2], crate::record::Record)> {
    let mut scenario = crate::scenario::Scenario::read(&size.day())?;
    scenario.readers = 0; // the system's own traffic alone
    let mut world = World::new(scenario, seed);
    let mut spans = Vec::new();
    for (from, to) in [(CALM, WAVE), (WAVE, WAVED)] {
        world.until(from);
        let (before, asked) = (world.load.clone(), world.record.requests.len());
        world.load.hosts.iter_mut().for_each(|h| h.most_a_second = 0);
        world.until(to);
        let (load, requests) = (world.load.since(&before), world.record.requests.len() - asked);
        spans.push(Span { seconds: (to - from) as f64 / 1e6, load, requests });
    }
    let (record, _) = world.play();
    Ok((spans.try_into().expect("two spans"), record))
}

/// The head of the table that [`row`] fills.
pub const COLUMNS: &str = "proxies,servers,tenants,routes,span,requests_s,proxy_link_bytes_s,proxy_link_most_bytes_s,\
    core_link_bytes_s,messages_s,registry_proxy_bytes_s,proxy_proxy_bytes_s,watchers_bytes_s,gossip_bytes_s,\
    agreement_bytes_s,between_regions_bytes_s,syncs_s";

pub fn row(size: Size, name: &str, span: &Span, cores: usize) -> String {
    let (l, s) = (&span.load, span.seconds);
    let proxies = &l.hosts[cores..cores + size.edges];
    let mean = |hosts: &[OnLink]| hosts.iter().map(|h| h.bytes).sum::<u64>() as f64 / hosts.len() as f64 / s;
    let most = proxies.iter().map(|h| h.most_a_second).max().unwrap_or(0);
    let kind = |name: &str| l.kinds.get(name).copied().unwrap_or_default();
    let messages: u64 = l.kinds.values().map(|k| k.0).sum();
    let kinds = ["registry and proxy", "proxy and proxy", "watchers", "gossip", "agreement"];
    let kinds = kinds.map(|k| format!("{:.0}", kind(k).1 as f64 / s)).join(",");
    format!(
        "{},{},{},{},{name},{:.0},{:.0},{most},{:.0},{:.0},{kinds},{:.0},{:.2}",
        size.edges,
        size.servers,
        size.tenants,
        size.routes,
        span.requests as f64 / s,
        mean(proxies),
        mean(&l.hosts[..cores]),
        messages as f64 / s,
        l.between_regions as f64 / s,
        l.syncs as f64 / s,
    )
}
