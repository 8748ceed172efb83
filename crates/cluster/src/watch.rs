//! Who watches whom: rendezvous hashing names for each proxy a few others of its region, alike for all that
//! know the same proxies. Regions are watched from within: bytes between them are dear, and who watches is
//! who would follow.

use crate::state::Node;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use xxhash_rust::xxh3::xxh3_64;

pub const WATCHERS: usize = 3;

fn others(nodes: &BTreeMap<Ipv4Addr, Node>, of: &Node) -> impl Iterator<Item = Ipv4Addr> {
    nodes.values().filter(|n| n.region == of.region && n.ip != of.ip).map(|n| n.ip)
}

/// Those who watch this proxy.
pub fn watchers(nodes: &BTreeMap<Ipv4Addr, Node>, of: &Node) -> Vec<Ipv4Addr> {
    let weight = |by: &Ipv4Addr| xxh3_64(&[of.ip.octets(), by.octets()].concat());
    let mut named: Vec<(u64, Ipv4Addr)> = others(nodes, of).map(|by| (weight(&by), by)).collect();
    named.sort_unstable();
    named.into_iter().rev().take(WATCHERS).map(|(_, by)| by).collect()
}

/// How many watchers must find a proxy silent for that to count.
pub fn enough(nodes: &BTreeMap<Ipv4Addr, Node>, of: &Node) -> usize {
    others(nodes, of).take(2).count()
}
