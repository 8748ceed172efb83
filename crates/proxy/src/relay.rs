//! What a proxy does for those that follow it: passes news and readings on at once, says how it stands
//! itself, and gathers their reports for its own.

use cluster::copy::Copy;
use cluster::follow::Followers;
use cluster::state::Node;
use cluster::talk::{Down, Seen, Usage};
use cluster::{Micros, Rev};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

#[derive(Default)]
pub struct Relay {
    pub followers: Followers,
    /// All below, and until when each counts as being there.
    below: BTreeMap<Ipv4Addr, Micros>,
    seen: BTreeMap<Ipv4Addr, Seen>,
    usage: BTreeMap<Ipv4Addr, Usage>,
}

impl Relay {
    /// A report from below; each part of it is handed on unchanged. False: nobody who follows here.
    pub fn reported(
        &mut self,
        link: u64,
        rev: Rev,
        seen: Vec<Seen>,
        usage: Vec<Usage>,
        until: Micros,
    ) -> bool {
        if self.followers.reported(link, rev).is_none() {
            return false;
        }
        self.below.extend(seen.iter().map(|s| (s.ip, until)));
        self.seen.extend(seen.into_iter().map(|s| (s.ip, s)));
        self.usage.extend(usage.into_iter().map(|u| (u.ip, u)));
        true
    }

    pub fn below(&self, now: Micros, ip: Ipv4Addr) -> bool {
        self.below.get(&ip).is_some_and(|until| now < *until)
            || self.followers.iter().any(|(_, f)| f.node.ip == ip)
    }

    /// What came from below since the last time.
    pub fn gathered(&mut self, now: Micros) -> (Vec<Seen>, Vec<Usage>) {
        self.below.retain(|_, until| now < *until);
        let (seen, usage) = (std::mem::take(&mut self.seen), std::mem::take(&mut self.usage));
        (seen.into_values().collect(), usage.into_values().collect())
    }

    /// Takes a follower in.
    pub fn hello(&mut self, link: u64, node: Node, rev: Rev, until: Micros) {
        self.below.insert(node.ip, until);
        self.followers.hello(link, node, rev);
    }

    /// Those to whom something of the copy is new are told it.
    pub fn feed(&mut self, now: Micros, copy: &Copy, tell: impl FnMut(u64, Down)) {
        self.followers.feed(now, copy, tell);
    }
}
