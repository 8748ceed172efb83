//! This proxy among those that watch each other: it tells its watchers that it is there, and notices when one
//! that it watches no longer does. By datagrams, of which some are lost.

use cluster::Micros;
use cluster::state::Node;
use cluster::talk::Here;
use cluster::watch::watchers;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// So many in a row have not come from one that is suspected.
const MISSED: Micros = 3;

struct Heard {
    at: Micros,
    life: u64,
    count: u64,
}

pub struct Watch {
    now: Micros,
    node: Node,
    every_us: Micros,
    here: Here,
    round_at: Micros,
    /// The region's proxies, as the names below were drawn from them.
    known: Vec<Ipv4Addr>,
    watchers: Vec<Ipv4Addr>,
    watched: BTreeMap<Ipv4Addr, Heard>,
}

impl Watch {
    /// `every_us`: between two rounds.
    pub fn new(node: Node, every_us: Micros, life: u64, now: Micros) -> Watch {
        Watch {
            now,
            node,
            every_us,
            here: Here { life, count: 0 },
            round_at: now,
            known: Vec::new(),
            watchers: Vec::new(),
            watched: BTreeMap::new(),
        }
    }

    pub fn wake_at(&self) -> Micros {
        self.round_at
    }

    /// The proxies there are, as agreed.
    pub fn known(&mut self, now: Micros, nodes: &BTreeMap<Ipv4Addr, Node>) {
        self.passes(now);
        let here = || nodes.values().filter(|n| n.region == self.node.region);
        if here().map(|n| n.ip).eq(self.known.iter().copied()) {
            return;
        }
        self.known = here().map(|n| n.ip).collect();
        self.watchers = watchers(nodes, &self.node);
        let (me, now) = (self.node.ip, self.now);
        let mine = here().filter(|n| n.ip != me && watchers(nodes, n).contains(&me)).map(|n| n.ip);
        let mut before = std::mem::take(&mut self.watched);
        self.watched =
            mine.map(|ip| (ip, before.remove(&ip).unwrap_or(Heard { at: now, life: 0, count: 0 }))).collect();
    }

    /// Whoever was not running itself, or not called, knows nothing of others' silence.
    fn passes(&mut self, now: Micros) {
        let away = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if away > 2 * self.every_us {
            for heard in self.watched.values_mut() {
                heard.at += away;
            }
        }
    }

    pub fn heard(&mut self, now: Micros, from: Ipv4Addr, here: Here) {
        self.passes(now);
        if let Some(heard) = self.watched.get_mut(&from)
            && (heard.life != here.life || heard.count < here.count)
        {
            *heard = Heard { at: self.now, life: here.life, count: here.count };
        }
    }

    /// Who is to be told now that this proxy is there. `soon`: something else goes out now, so this may go
    /// along.
    pub fn round(&mut self, now: Micros, soon: bool) -> Option<(Here, &[Ipv4Addr])> {
        self.passes(now);
        let early = if soon { self.every_us / 4 } else { 0 };
        if self.now + early < self.round_at {
            return None;
        }
        self.round_at = self.now + self.every_us;
        self.here.count += 1;
        Some((self.here, &self.watchers))
    }

    /// Those that have said nothing for too long, and their lives; 0: never heard.
    pub fn suspects(&self) -> Vec<(Ipv4Addr, u64)> {
        let patience = MISSED * self.every_us + self.every_us / 2;
        let silent = self.watched.iter().filter(|(_, heard)| self.now > heard.at + patience);
        silent.map(|(ip, heard)| (*ip, heard.life)).collect()
    }
}
