//! Who is heard of: servers by their calls, proxies by their reports. Not agreed, only passed on: each registry tells
//! the others what it heard, and judges for itself.

use cluster::Micros;
use cluster::state::{Node, State};
use cluster::talk::{Gossip, Seen};
use cluster::watch;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A proxy that has not been heard of for so many reports is not named to clients.
const REPORTS: Micros = 3;
/// One whose watchers do not hear it either, for so many.
const SUSPECT_REPORTS: Micros = 2;
/// Those that told it to a registry that is silent itself have so many beats more to find another one.
const MOVES: Micros = 2;
/// A registry is silent after so many of its rounds, in halves.
const ROUNDS: Micros = 3;
/// Where no registry is fresh, each proxy comes by within so many beats.
const COMES_BY: Micros = 4;
/// Most addresses of an answer.
const MOST: usize = 64;

struct Server {
    /// The number of its last call.
    sequence: u64,
    heard_at: Micros,
    told: bool,
    /// The registry that told of it.
    by: Option<Ipv4Addr>,
}

struct Proxy {
    last: Option<Seen>,
    heard_at: Micros,
    told: bool,
    by: Option<Ipv4Addr>,
}

pub struct Presence {
    started: Micros,
    beat_us: Micros,
    servers: BTreeMap<String, Server>,
    proxies: BTreeMap<Ipv4Addr, Proxy>,
    /// Who is suspected, by whom, and in which life.
    suspected: BTreeMap<Ipv4Addr, BTreeMap<Ipv4Addr, u64>>,
    /// When the other registries last spoke.
    registries: BTreeMap<Ipv4Addr, Micros>,
}

impl Presence {
    pub fn new(now: Micros, beat_us: Micros) -> Presence {
        let (servers, proxies, suspected) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Presence { started: now, beat_us, servers, proxies, suspected, registries: BTreeMap::new() }
    }

    /// A server has called here. False if it has already said more.
    pub fn beat(&mut self, now: Micros, id: &str, sequence: u64) -> bool {
        self.heard(now, id, sequence, None)
    }

    fn heard(&mut self, now: Micros, id: &str, sequence: u64, by: Option<Ipv4Addr>) -> bool {
        let told = by.is_some();
        match self.servers.get_mut(id) {
            Some(s) if sequence < s.sequence => false,
            Some(s) if sequence == s.sequence && told => true,
            Some(s) => {
                (s.sequence, s.heard_at, s.told, s.by) = (sequence, now, told, by);
                true
            }
            None => {
                self.servers.insert(id.to_string(), Server { sequence, heard_at: now, told, by });
                true
            }
        }
    }

    /// A proxy has reported, here or below.
    pub fn seen(&mut self, now: Micros, seen: Seen) {
        self.see(now, seen, None);
    }

    fn see(&mut self, now: Micros, seen: Seen, by: Option<Ipv4Addr>) {
        let told = by.is_some();
        let p = self.proxies.entry(seen.ip).or_insert(Proxy { last: None, heard_at: now, told, by });
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
        (p.last, p.heard_at, p.told, p.by) = (Some(seen), now, told, by);
    }

    pub fn told(&mut self, now: Micros, gossip: &Gossip) {
        self.registries.insert(gossip.ip, now);
        for (id, sequence) in &gossip.servers {
            self.heard(now, id, *sequence, Some(gossip.ip));
        }
        for seen in &gossip.nodes {
            self.see(now, seen.clone(), Some(gossip.ip));
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
                self.servers.insert(id.clone(), Server { sequence: 0, heard_at: now, told: true, by: None });
            }
        }
        let (beat, forget) = (self.beat_us, |heard: Micros, beat: Micros| now > heard + 20 * beat);
        self.servers.retain(|id, s| state.servers.contains_key(id) || !forget(s.heard_at, beat));
        for ip in state.nodes.keys() {
            self.proxies.entry(*ip).or_insert(Proxy { last: None, heard_at: now, told: true, by: None });
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
        let lost = self.servers.iter().filter(|(_, s)| now > s.heard_at + for_us + self.moves(now, s.by));
        lost.map(|(id, _)| id.clone()).collect()
    }

    /// How much longer the silence of somebody is borne of whom this registry told: it may be the only one that is silent.
    fn moves(&self, now: Micros, by: Option<Ipv4Addr>) -> Micros {
        let spoke = by.and_then(|by| self.registries.get(&by));
        let silent = spoke.is_some_and(|at| now > at + ROUNDS * self.beat_us / 6);
        if silent { MOVES * self.beat_us } else { 0 }
    }

    /// Whether any proxy has reported here lately, and not to another registry since.
    pub fn hears_proxies(&self, now: Micros) -> bool {
        let here = |p: &Proxy| p.last.is_some() && p.by.is_none();
        let heard = |p: &Proxy| here(p) && now <= p.heard_at + COMES_BY * self.beat_us;
        self.proxies.values().any(heard)
    }

    pub fn nodes_unseen(&self, now: Micros, for_us: Micros) -> Vec<Ipv4Addr> {
        self.proxies.iter().filter(|(_, p)| now > p.heard_at + for_us).map(|(ip, _)| *ip).collect()
    }

    /// Whether clients may be sent to this proxy. One of which a registry that has just started knows nothing yet is
    /// taken for alive, for as long as reports may be late.
    pub fn alive(&self, now: Micros, state: &State, ip: Ipv4Addr) -> bool {
        match self.proxies.get(&ip) {
            Some(Proxy { last: Some(last), heard_at, by, .. }) => {
                let patience = match self.suspect(now, state, last) {
                    true => self.patience(SUSPECT_REPORTS),
                    false => self.patience(REPORTS) + self.moves(now, *by),
                };
                last.ready && now <= heard_at + patience
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
    /// none seems alive those that are known, as it may be this registry that hears nothing. Not `fresh`: all that have
    /// not said that they end.
    pub fn choose<'s>(
        &self,
        now: Micros,
        state: &'s State,
        zone: Option<&str>,
        region: Option<&str>,
        fresh: bool,
    ) -> Vec<&'s Node> {
        let ends = |ip| self.proxies.get(&ip).and_then(|p| p.last.as_ref()).is_some_and(|last| !last.ready);
        let serves = |ip| if fresh { self.alive(now, state, ip) } else { !ends(ip) };
        let near: [&dyn Fn(&Node) -> bool; 3] =
            [&|n| zone.is_some_and(|z| n.zone == z), &|n| region.is_some_and(|r| n.region == r), &|_| true];
        for alive in [true, false] {
            for near in near {
                let fits = |n: &&Node| near(n) && (!alive || serves(n.ip));
                let found: Vec<&Node> = state.nodes.values().filter(fits).take(MOST).collect();
                if !found.is_empty() {
                    return found;
                }
            }
        }
        Vec::new()
    }
}
