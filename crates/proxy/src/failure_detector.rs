//! Failure detection between the proxies of a region: this proxy sends heartbeats to those that watch it, and suspects
//! those that it watches when their heartbeats stop. Heartbeats are datagrams, of which some are lost.

use cluster::Micros;
use cluster::state::Node;
use cluster::talk::Here;
use cluster::watch::watchers;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A proxy is suspected after this many missing heartbeats in a row.
const MISSED_HEARTBEATS: Micros = 3;

/// The last heartbeat of a watched proxy.
struct LastHeartbeat {
    at: Micros,
    life: u64,
    count: u64,
}

pub struct FailureDetector {
    now: Micros,
    node: Node,
    period_us: Micros,
    /// The last heartbeat that this proxy sent.
    here: Here,
    next_at: Micros,
    /// The region's proxies from which `watchers` and `watched` were computed.
    known: Vec<Ipv4Addr>,
    watchers: Vec<Ipv4Addr>,
    watched: BTreeMap<Ipv4Addr, LastHeartbeat>,
}

impl FailureDetector {
    /// `period_us`: between two heartbeats. `life`: drawn at the start of this process.
    pub fn new(node: Node, period_us: Micros, life: u64, now: Micros) -> FailureDetector {
        FailureDetector {
            now,
            node,
            period_us,
            here: Here { life, count: 0 },
            next_at: now,
            known: Vec::new(),
            watchers: Vec::new(),
            watched: BTreeMap::new(),
        }
    }

    pub fn wake_at(&self) -> Micros {
        self.next_at
    }

    /// Takes over the agreed list of proxies.
    pub fn set_nodes(&mut self, now: Micros, nodes: &BTreeMap<Ipv4Addr, Node>) {
        self.advance(now);
        let here = || nodes.values().filter(|n| n.region == self.node.region);
        if here().map(|n| n.ip).eq(self.known.iter().copied()) {
            return;
        }
        self.known = here().map(|n| n.ip).collect();
        self.watchers = watchers(nodes, &self.node);
        let (me, now) = (self.node.ip, self.now);
        let watched_by_me = here().filter(|n| n.ip != me && watchers(nodes, n).contains(&me)).map(|n| n.ip);
        let mut before = std::mem::take(&mut self.watched);
        self.watched = watched_by_me
            .map(|ip| (ip, before.remove(&ip).unwrap_or(LastHeartbeat { at: now, life: 0, count: 0 })))
            .collect();
    }

    /// Moves the clock on. While this process was stopped or not called, it could hear nothing, so that time does not
    /// count against the others.
    fn advance(&mut self, now: Micros) {
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if gap > 2 * self.period_us {
            for last in self.watched.values_mut() {
                last.at += gap;
            }
        }
    }

    pub fn heartbeat_received(&mut self, now: Micros, from: Ipv4Addr, here: Here) {
        self.advance(now);
        if let Some(last) = self.watched.get_mut(&from)
            && (last.life != here.life || last.count < here.count)
        {
            *last = LastHeartbeat { at: self.now, life: here.life, count: here.count };
        }
    }

    /// The heartbeat to send now, if one is due, and to whom. `soon`: another message is being sent anyway, so the
    /// heartbeat may go out a little early.
    pub fn next_heartbeat(&mut self, now: Micros, soon: bool) -> Option<(Here, &[Ipv4Addr])> {
        self.advance(now);
        let early = if soon { self.period_us / 4 } else { 0 };
        if self.now + early < self.next_at {
            return None;
        }
        self.next_at = self.now + self.period_us;
        self.here.count += 1;
        Some((self.here, &self.watchers))
    }

    /// The watched proxies whose heartbeats have stopped, and the last life that was heard of each; 0: none.
    pub fn suspects(&self) -> Vec<(Ipv4Addr, u64)> {
        let limit_us = MISSED_HEARTBEATS * self.period_us + self.period_us / 2;
        let silent = self.watched.iter().filter(|(_, last)| self.now > last.at + limit_us);
        silent.map(|(ip, last)| (*ip, last.life)).collect()
    }
}
