//! Who stands where among the proxies of a region: the order that rendezvous hashing gives them, and the tree
//! in it.

use cluster::state::Node;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use xxhash_rust::xxh3::xxh3_64;

/// Followers that the order gives each relay.
pub const FAN: usize = 8;
/// Relays that news may come through.
pub const DEEPEST: usize = 4;

/// The live ones of a region, the head first. `me` counts as alive, whatever is told.
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

/// The place in the order that this place follows; the head follows none.
pub fn above(place: usize) -> Option<usize> {
    place.checked_sub(1).map(|p| p / FAN)
}

/// Relays between this place and the registry.
pub fn depth(place: usize) -> usize {
    above(place).map_or(0, |above| 1 + depth(above))
}
