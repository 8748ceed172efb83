//! A proxy as a relay for its followers: it sends them updates of the state and collects their reports, which go up
//! with its own.

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
    /// All proxies below this one in the tree, and until when each counts as present.
    below: BTreeMap<Ipv4Addr, Micros>,
    /// Reports from below that have not gone up yet.
    seen: BTreeMap<Ipv4Addr, Seen>,
    usage: BTreeMap<Ipv4Addr, Usage>,
}

impl Relay {
    /// Takes a follower's report, each part of which goes up unchanged. False: the link is not a follower's.
    pub fn report_received(
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

    /// Whether this proxy is below this one in the tree.
    pub fn is_below(&self, now: Micros, ip: Ipv4Addr) -> bool {
        self.below.get(&ip).is_some_and(|until| now < *until)
            || self.followers.iter().any(|(_, f)| f.node.ip == ip)
    }

    /// The reports from below since the last call.
    pub fn take_reports(&mut self, now: Micros) -> (Vec<Seen>, Vec<Usage>) {
        self.below.retain(|_, until| now < *until);
        let (seen, usage) = (std::mem::take(&mut self.seen), std::mem::take(&mut self.usage));
        (seen.into_values().collect(), usage.into_values().collect())
    }

    pub fn add_follower(&mut self, link: u64, node: Node, rev: Rev, until: Micros) {
        self.below.insert(node.ip, until);
        self.followers.hello(link, node, rev);
    }

    /// Sends each follower the updates of the copy that it lacks.
    pub fn send_news(&mut self, now: Micros, copy: &Copy, send: impl FnMut(u64, Down)) {
        self.followers.feed(now, copy, send);
    }
}
