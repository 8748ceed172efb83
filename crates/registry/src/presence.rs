//! Liveness of servers (by their heartbeats) and proxies (by their reports). It is not agreed on but gossiped: each
//! registry sends the others what it has heard, and each decides for itself.

use cluster::Micros;
use cluster::state::{Node, State};
use cluster::talk::{Gossip, Seen};
use cluster::watch;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A proxy is not named to clients after this many report intervals without a report.
const UNHEARD_REPORTS: Micros = 3;
/// The same for a proxy that its watchers do not hear either.
const SUSPECTED_UNHEARD_REPORTS: Micros = 2;
/// Members that reported to a registry that is now silent get this many more heartbeat intervals to find another one.
const FAILOVER_HEARTBEATS: Micros = 2;
/// A registry is silent after this many half rounds without gossip (six half rounds per heartbeat interval).
const SILENT_HALF_ROUNDS: Micros = 3;
/// While no registry is fresh, each proxy tries this one again within this many heartbeat intervals.
const PROXY_VISIT_HEARTBEATS: Micros = 4;
/// The most addresses in one answer of the directory.
const MAX_ADDRESSES: usize = 64;
/// Members that are not in the agreed state are forgotten after this many heartbeat intervals of silence.
const FORGET_HEARTBEATS: Micros = 20;

struct Server {
    /// The sequence number of its last heartbeat.
    sequence: u64,
    heard_at: Micros,
    gossiped: bool,
    /// The registry it reported to; none: this one.
    reported_by: Option<Ipv4Addr>,
}

struct Proxy {
    last: Option<Seen>,
    heard_at: Micros,
    gossiped: bool,
    reported_by: Option<Ipv4Addr>,
}

pub struct Presence {
    started: Micros,
    heartbeat_us: Micros,
    servers: BTreeMap<String, Server>,
    proxies: BTreeMap<Ipv4Addr, Proxy>,
    /// For each suspected proxy, the proxies that suspect it and the life (process start) they mean.
    suspected: BTreeMap<Ipv4Addr, BTreeMap<Ipv4Addr, u64>>,
    /// When each of the other registries last sent gossip.
    registries: BTreeMap<Ipv4Addr, Micros>,
}

impl Presence {
    pub fn new(now: Micros, heartbeat_us: Micros) -> Presence {
        let (servers, proxies, suspected) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Presence { started: now, heartbeat_us, servers, proxies, suspected, registries: BTreeMap::new() }
    }

    /// Takes a server's heartbeat. Returns false if a newer one is known.
    pub fn heartbeat(&mut self, now: Micros, id: &str, sequence: u64) -> bool {
        self.record_server(now, id, sequence, None)
    }

    fn record_server(&mut self, now: Micros, id: &str, sequence: u64, reported_by: Option<Ipv4Addr>) -> bool {
        let gossiped = reported_by.is_some();
        match self.servers.get_mut(id) {
            Some(s) if sequence < s.sequence => false,
            Some(s) if sequence == s.sequence && gossiped => true,
            Some(s) => {
                (s.sequence, s.heard_at, s.gossiped, s.reported_by) = (sequence, now, gossiped, reported_by);
                true
            }
            None => {
                self.servers
                    .insert(id.to_string(), Server { sequence, heard_at: now, gossiped, reported_by });
                true
            }
        }
    }

    /// Takes a proxy's report that came to this registry, directly or through a relay.
    pub fn proxy_reported(&mut self, now: Micros, seen: Seen) {
        self.record_proxy(now, seen, None);
    }

    fn record_proxy(&mut self, now: Micros, seen: Seen, reported_by: Option<Ipv4Addr>) {
        let gossiped = reported_by.is_some();
        let p =
            self.proxies.entry(seen.ip).or_insert(Proxy { last: None, heard_at: now, gossiped, reported_by });
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
        (p.last, p.heard_at, p.gossiped, p.reported_by) = (Some(seen), now, gossiped, reported_by);
    }

    pub fn take_gossip(&mut self, now: Micros, gossip: &Gossip) {
        self.registries.insert(gossip.ip, now);
        for (id, sequence) in &gossip.servers {
            self.record_server(now, id, *sequence, Some(gossip.ip));
        }
        for seen in &gossip.nodes {
            self.record_proxy(now, seen.clone(), Some(gossip.ip));
        }
    }

    /// What this registry has heard since the last call, for the other registries.
    pub fn take_unsent(&mut self) -> (Vec<(String, u64)>, Vec<Seen>) {
        let unsent = self.servers.iter_mut().filter(|(_, s)| !s.gossiped);
        let servers = unsent.map(|(id, s)| {
            s.gossiped = true;
            (id.clone(), s.sequence)
        });
        let servers = servers.collect();
        let unsent = self.proxies.values_mut().filter(|p| !p.gossiped);
        let nodes = unsent.filter_map(|p| {
            p.gossiped = true;
            p.last.clone()
        });
        (servers, nodes.collect())
    }

    /// Members of the agreed state count as heard when they were first known; those no longer in it are forgotten
    /// after some time.
    pub fn sync_with_state(&mut self, now: Micros, state: &State) {
        for id in state.servers.keys() {
            if !self.servers.contains_key(id) {
                self.servers.insert(
                    id.clone(),
                    Server { sequence: 0, heard_at: now, gossiped: true, reported_by: None },
                );
            }
        }
        let forget_us = FORGET_HEARTBEATS * self.heartbeat_us;
        self.servers.retain(|id, s| state.servers.contains_key(id) || now <= s.heard_at + forget_us);
        for ip in state.nodes.keys() {
            self.proxies.entry(*ip).or_insert(Proxy {
                last: None,
                heard_at: now,
                gossiped: true,
                reported_by: None,
            });
        }
        self.proxies.retain(|ip, p| state.nodes.contains_key(ip) || now <= p.heard_at + forget_us);
    }

    /// When a server's last heartbeat arrived, here or at another registry.
    pub fn server_heard_at(&self, id: &str) -> Option<Micros> {
        self.servers.get(id).filter(|s| s.sequence > 0).map(|s| s.heard_at)
    }

    /// When a proxy last reported, and its report.
    pub fn proxy_heard(&self, ip: Ipv4Addr) -> Option<(Micros, &Seen)> {
        let p = self.proxies.get(&ip)?;
        p.last.as_ref().map(|seen| (p.heard_at, seen))
    }

    pub fn silent_servers(&self, now: Micros, for_us: Micros) -> Vec<String> {
        let lost = self
            .servers
            .iter()
            .filter(|(_, s)| now > s.heard_at + for_us + self.failover_allowance(now, s.reported_by));
        lost.map(|(id, _)| id.clone()).collect()
    }

    /// How much more silence of a member is accepted if the registry it reported to is silent itself; that registry
    /// may be the only one that has failed.
    fn failover_allowance(&self, now: Micros, reported_by: Option<Ipv4Addr>) -> Micros {
        let last_gossip = reported_by.and_then(|by| self.registries.get(&by));
        let silent = last_gossip.is_some_and(|at| now > at + SILENT_HALF_ROUNDS * self.heartbeat_us / 6);
        if silent { FAILOVER_HEARTBEATS * self.heartbeat_us } else { 0 }
    }

    /// Whether any proxy has reported here recently and not to another registry since.
    pub fn hears_proxies(&self, now: Micros) -> bool {
        let here = |p: &Proxy| p.last.is_some() && p.reported_by.is_none();
        let heard = |p: &Proxy| here(p) && now <= p.heard_at + PROXY_VISIT_HEARTBEATS * self.heartbeat_us;
        self.proxies.values().any(heard)
    }

    pub fn silent_proxies(&self, now: Micros, for_us: Micros) -> Vec<Ipv4Addr> {
        self.proxies.iter().filter(|(_, p)| now > p.heard_at + for_us).map(|(ip, _)| *ip).collect()
    }

    /// Whether clients may be sent to this proxy. While this registry has just started and knows nothing of a proxy
    /// yet, the proxy counts as alive for as long as its report may take.
    pub fn is_alive(&self, now: Micros, state: &State, ip: Ipv4Addr) -> bool {
        match self.proxies.get(&ip) {
            Some(Proxy { last: Some(last), heard_at, reported_by, .. }) => {
                let limit = match self.is_suspected(now, state, last) {
                    true => self.silence_limit(SUSPECTED_UNHEARD_REPORTS),
                    false => self.silence_limit(UNHEARD_REPORTS) + self.failover_allowance(now, *reported_by),
                };
                last.ready && now <= heard_at + limit
            }
            _ => now <= self.started + 2 * self.heartbeat_us,
        }
    }

    fn silence_limit(&self, reports: Micros) -> Micros {
        reports * self.heartbeat_us / 3 + self.heartbeat_us / 6
    }

    /// Whether enough of the watchers of a proxy that are heard themselves do not hear its current life.
    fn is_suspected(&self, now: Micros, state: &State, last: &Seen) -> bool {
        let (Some(by), Some(node)) = (self.suspected.get(&last.ip), state.nodes.get(&last.ip)) else {
            return false;
        };
        let heard = |by: &Ipv4Addr| {
            self.proxies.get(by).is_some_and(|p| now <= p.heard_at + self.silence_limit(UNHEARD_REPORTS))
        };
        let count = by.iter().filter(|(by, life)| [0, last.life].contains(life) && heard(by)).count();
        count > 0 && count >= watch::enough(&state.nodes, node)
    }

    /// The proxies for a client of this zone: those of its zone, else of its region, else all. Live ones are
    /// preferred; if none seems alive, all known ones are named, because it may be this registry that hears nothing.
    /// If the copy is not fresh, all proxies are named that have not reported to be shutting down.
    pub fn choose_proxies<'s>(
        &self,
        now: Micros,
        state: &'s State,
        zone: Option<&str>,
        region: Option<&str>,
        fresh: bool,
    ) -> Vec<&'s Node> {
        let is_stopping =
            |ip| self.proxies.get(&ip).and_then(|p| p.last.as_ref()).is_some_and(|last| !last.ready);
        let is_usable = |ip| if fresh { self.is_alive(now, state, ip) } else { !is_stopping(ip) };
        let nearness: [&dyn Fn(&Node) -> bool; 3] =
            [&|n| zone.is_some_and(|z| n.zone == z), &|n| region.is_some_and(|r| n.region == r), &|_| true];
        for alive in [true, false] {
            for near in nearness {
                let fits = |n: &&Node| near(n) && (!alive || is_usable(n.ip));
                let found: Vec<&Node> = state.nodes.values().filter(fits).take(MAX_ADDRESSES).collect();
                if !found.is_empty() {
                    return found;
                }
            }
        }
        Vec::new()
    }
}
