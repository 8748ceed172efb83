//! Who is heard of: servers by their calls, proxies by their reports. Not agreed, only passed on: each registry tells
//! the others what it heard, and judges for itself.

use rack::Micros;
use rack::state::{Node, State};
use rack::talk::{Gossip, Seen};
use rack::watch;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A proxy that has not been heard of for so many reports is not named to clients.
const REPORTS: Micros = 3;
/// One whose watchers do not hear it either, for so many.
const SUSPECT_REPORTS: Micros = 2;
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
    /// Who is suspected, by whom, and in which life.
    suspected: BTreeMap<Ipv4Addr, BTreeMap<Ipv4Addr, u64>>,
}

impl Presence {
    pub fn new(now: Micros, beat_us: Micros) -> Presence {
        let (servers, proxies, suspected) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Presence { started: now, beat_us, servers, proxies, suspected }
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
        if p.last.as_ref().is_some_and(|last| last.life == seen.life && last.count >= seen.count) {
            return;
        }
        let before = p.last.iter().flat_map(|last| &last.suspects);
        for (ip, _) in before {
            if let Some(by) = self.suspected.get_mut(ip) {
                by.remove(&seen.ip);
            }
        }
        self.suspected.retain(|_, by| !by.is_empty());
        for (ip, life) in &seen.suspects {
            self.suspected.entry(*ip).or_default().insert(seen.ip, *life);
        }
        (p.last, p.heard_at, p.told) = (Some(seen), now, told);
    }

    pub fn told(&mut self, now: Micros, gossip: &Gossip) {
        for (id, sequence) in &gossip.servers {
            self.heard(now, id, *sequence, true);
        }
        for seen in &gossip.nodes {
            self.see(now, seen.clone(), true);
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
            p.last.clone()
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
    pub fn proxy_heard(&self, ip: Ipv4Addr) -> Option<(Micros, &Seen)> {
        let p = self.proxies.get(&ip)?;
        p.last.as_ref().map(|seen| (p.heard_at, seen))
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
    pub fn alive(&self, now: Micros, state: &State, ip: Ipv4Addr) -> bool {
        match self.proxies.get(&ip) {
            Some(Proxy { last: Some(last), heard_at, .. }) => {
                let reports = if self.suspect(now, state, last) { SUSPECT_REPORTS } else { REPORTS };
                last.ready && now <= heard_at + self.patience(reports)
            }
            _ => now <= self.started + 2 * self.beat_us,
        }
    }

    fn patience(&self, reports: Micros) -> Micros {
        reports * self.beat_us / 3 + self.beat_us / 6
    }

    /// Whether enough of its watchers, of those that are heard of, do not hear this life of a proxy.
    fn suspect(&self, now: Micros, state: &State, last: &Seen) -> bool {
        let (Some(by), Some(node)) = (self.suspected.get(&last.ip), state.nodes.get(&last.ip)) else {
            return false;
        };
        let heard =
            |by: &Ipv4Addr| self.proxies.get(by).is_some_and(|p| now <= p.heard_at + self.patience(REPORTS));
        let count = by.iter().filter(|(by, life)| [0, last.life].contains(life) && heard(by)).count();
        count > 0 && count >= watch::enough(&state.nodes, node)
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
                let fits = |n: &&Node| near(n) && (!alive || self.alive(now, state, n.ip));
                let found: Vec<&Node> = state.nodes.values().filter(fits).take(MOST).collect();
                if !found.is_empty() {
                    return found;
                }
            }
        }
        Vec::new()
    }
}
