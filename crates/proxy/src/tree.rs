//! The tree of the proxies of a region: rendezvous hashing puts the proxies in an order, and positions in that order
//! form the tree.

use cluster::state::Node;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use xxhash_rust::xxh3::xxh3_64;

/// Followers of each relay in the tree.
pub const FANOUT: usize = 8;
/// The most relays between a proxy and the registry.
pub const MAX_RELAYS: usize = 4;

/// The live proxies of a region, the head first. `me` counts as live even if it is in `away`.
pub fn order(
    nodes: &BTreeMap<Ipv4Addr, Node>,
    region: &str,
    me: Ipv4Addr,
    away: &BTreeSet<Ipv4Addr>,
) -> Vec<Ipv4Addr> {
    let here = nodes.values().filter(|n| n.region == region).map(|n| n.ip);
    let mut live: Vec<Ipv4Addr> = here.filter(|ip| *ip == me || !away.contains(ip)).collect();
    live.sort_by_cached_key(|ip| (xxh3_64(&[region.as_bytes(), &ip.octets()].concat()), *ip));
    live
}

/// The position that the one at `position` follows; the head, at 0, follows none.
pub fn parent(position: usize) -> Option<usize> {
    position.checked_sub(1).map(|p| p / FANOUT)
}

/// The number of relays between this position and the registry.
pub fn depth(position: usize) -> usize {
    parent(position).map_or(0, |parent| 1 + depth(parent))
}
