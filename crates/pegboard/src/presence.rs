//! Who is heard of: servers by their calls, proxies by their reports. Not agreed, only passed on: each registry tells
//! the others what it heard, and judges for itself.

use rack::Micros;
use rack::state::{Node, State};
use rack::talk::{Gossip, Seen};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A proxy that has not been heard of for so many reports is not named to clients.
const REPORTS: Micros = 3;
/// Most addresses of an answer.
const MOST: usize = 64;

struct Server {
    /// The number of its last call.
    sequence: u64,
    heard_at: Micros,
    told: bool,
}

struct Proxy {
    last: Option<Seen>,
    heard_at: Micros,
    told: bool,
}

pub struct Presence {
    started: Micros,
    beat_us: Micros,
    servers: BTreeMap<String, Server>,
    proxies: BTreeMap<Ipv4Addr, Proxy>,
}

impl Presence {
    pub fn new(now: Micros, beat_us: Micros) -> Presence {
        Presence { started: now, beat_us, servers: BTreeMap::new(), proxies: BTreeMap::new() }
    }

    /// A server has called here. False if it has already said more.
    pub fn beat(&mut self, now: Micros, id: &str, sequence: u64) -> bool {
        self.heard(now, id, sequence, false)
    }

    fn heard(&mut self, now: Micros, id: &str, sequence: u64, told: bool) -> bool {
        match self.servers.get_mut(id) {
            Some(s) if sequence < s.sequence => false,
            Some(s) if sequence == s.sequence && told => true,
            Some(s) => {
                (s.sequence, s.heard_at, s.told) = (sequence, now, told);
                true
            }
            None => {
                self.servers.insert(id.to_string(), Server { sequence, heard_at: now, told });
                true
            }
        }
    }

    /// A proxy has reported, here or below.
    pub fn seen(&mut self, now: Micros, seen: Seen) {
        self.see(now, seen, false);
    }

    fn see(&mut self, now: Micros, seen: Seen, told: bool) {
        let p = self.proxies.entry(seen.ip).or_insert(Proxy { last: None, heard_at: now, told });
        if p.last.is_none_or(|last| last.life != seen.life || last.count < seen.count) {
            (p.last, p.heard_at, p.told) = (Some(seen), now, told);
        }
    }

    pub fn told(&mut self, now: Micros, gossip: &Gossip) {
        for (id, sequence) in &gossip.servers {
            self.heard(now, id, *sequence, true);
        }
        for seen in &gossip.nodes {
            self.see(now, *seen, true);
        }
    }

    /// What was heard here since the last time, for the other registries.
    pub fn news(&mut self) -> (Vec<(String, u64)>, Vec<Seen>) {
        let fresh = self.servers.iter_mut().filter(|(_, s)| !s.told);
        let servers = fresh.map(|(id, s)| {
            s.told = true;
            (id.clone(), s.sequence)
        });
        let servers = servers.collect();
        let fresh = self.proxies.values_mut().filter(|p| !p.told);
        let nodes = fresh.filter_map(|p| {
            p.told = true;
            p.last
        });
        (servers, nodes.collect())
    }

    /// Who is in the state counts as heard of when that was first known; who has left it is forgotten.
    pub fn known(&mut self, now: Micros, state: &State) {
        for id in state.servers.keys() {
            if !self.servers.contains_key(id) {
                self.servers.insert(id.clone(), Server { sequence: 0, heard_at: now, told: true });
            }
        }
        let (beat, forget) = (self.beat_us, |heard: Micros, beat: Micros| now > heard + 20 * beat);
        self.servers.retain(|id, s| state.servers.contains_key(id) || !forget(s.heard_at, beat));
        for ip in state.nodes.keys() {
            self.proxies.entry(*ip).or_insert(Proxy { last: None, heard_at: now, told: true });
        }
        self.proxies.retain(|ip, p| state.nodes.contains_key(ip) || !forget(p.heard_at, beat));
    }

    /// When a server last called, here or where it was told of.
    pub fn server_heard_at(&self, id: &str) -> Option<Micros> {
        self.servers.get(id).filter(|s| s.sequence > 0).map(|s| s.heard_at)
    }

    /// When a proxy last reported, and what.
    pub fn proxy_heard(&self, ip: Ipv4Addr) -> Option<(Micros, Seen)> {
        let p = self.proxies.get(&ip)?;
        p.last.map(|seen| (p.heard_at, seen))
    }

    pub fn servers_unheard(&self, now: Micros, for_us: Micros) -> Vec<String> {
        let lost = self.servers.iter().filter(|(_, s)| now > s.heard_at + for_us);
        lost.map(|(id, _)| id.clone()).collect()
    }

    pub fn nodes_unseen(&self, now: Micros, for_us: Micros) -> Vec<Ipv4Addr> {
        self.proxies.iter().filter(|(_, p)| now > p.heard_at + for_us).map(|(ip, _)| *ip).collect()
    }

    /// Whether clients may be sent to this proxy. One of which a registry that has just started knows nothing yet is
    /// taken for alive, for as long as reports may be late.
    pub fn alive(&self, now: Micros, ip: Ipv4Addr) -> bool {
        let patience = REPORTS * self.beat_us / 3 + self.beat_us / 6;
        match self.proxies.get(&ip) {
            Some(Proxy { last: Some(last), heard_at, .. }) => last.ready && now <= heard_at + patience,
            _ => now <= self.started + 2 * self.beat_us,
        }
    }

    /// The proxies for a client of this zone: those of its zone, else of its region, else all; alive ones, and where
    /// none seems alive those that are known, as it may be this registry that hears nothing.
    pub fn choose<'s>(
        &self,
        now: Micros,
        state: &'s State,
        zone: Option<&str>,
        region: Option<&str>,
    ) -> Vec<&'s Node> {
        let near: [&dyn Fn(&Node) -> bool; 3] =
            [&|n| zone.is_some_and(|z| n.zone == z), &|n| region.is_some_and(|r| n.region == r), &|_| true];
        for alive in [true, false] {
            for near in near {
                let fits = |n: &&Node| near(n) && (!alive || self.alive(now, n.ip));
                let found: Vec<&Node> = state.nodes.values().filter(fits).take(MOST).collect();
                if !found.is_empty() {
                    return found;
                }
            }
        }
        Vec::new()
    }
}
