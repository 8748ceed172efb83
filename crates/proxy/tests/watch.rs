//! Proxies that watch each other, and the registry that hears of their suspicions.

use cluster::copy::Copy;
use cluster::state::{Command, Node, NodeChange};
use cluster::talk::{Here, Seen};
use cluster::{Micros, watch};
use proxy::watch::Watch;
use registry::presence::Presence;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

const MS: Micros = 1000;
const ROUND: Micros = 500 * MS;

fn node(last: u8) -> Node {
    let ip = Ipv4Addr::new(10, 9, 1, last);
    let (name, front) = (format!("edge-{last}"), (ip, 8686).into());
    Node { ip, name, zone: "north-a".into(), region: "north".into(), front }
}

fn nodes(count: u8) -> BTreeMap<Ipv4Addr, Node> {
    (1..=count).map(|n| (node(n).ip, node(n))).collect()
}

/// All proxies in rounds; those of `silent` neither say nor hear anything.
struct World {
    now: Micros,
    all: BTreeMap<Ipv4Addr, Watch>,
}

impl World {
    fn new(nodes: &BTreeMap<Ipv4Addr, Node>) -> World {
        let start = |n: &Node| {
            let mut watch = Watch::new(n.clone(), ROUND, u64::from(n.ip.octets()[3]), 0);
            watch.known(0, nodes);
            (n.ip, watch)
        };
        World { now: 0, all: nodes.values().map(start).collect() }
    }

    fn round(&mut self, silent: &BTreeSet<Ipv4Addr>, lost: impl Fn(Ipv4Addr, Ipv4Addr) -> bool) {
        let mut said: Vec<(Ipv4Addr, Ipv4Addr, Here)> = Vec::new();
        for (ip, watch) in self.all.iter_mut().filter(|(ip, _)| !silent.contains(ip)) {
            let (here, to) = watch.round(self.now, false).expect("a round is due");
            said.extend(to.iter().map(|to| (*ip, *to, here)));
        }
        for (from, to, here) in said.into_iter().filter(|(f, t, _)| !lost(*f, *t) && !silent.contains(t)) {
            self.all.get_mut(&to).unwrap().heard(self.now, from, here);
        }
        self.now += ROUND;
    }

    /// Who suspects whom, of those that are not silent themselves.
    fn suspicions(&self, silent: &BTreeSet<Ipv4Addr>) -> BTreeSet<(Ipv4Addr, Ipv4Addr)> {
        let awake = self.all.iter().filter(|(ip, _)| !silent.contains(ip));
        awake.flat_map(|(by, w)| w.suspects().into_iter().map(|(ip, _)| (ip, *by))).collect()
    }
}

#[test]
fn a_frozen_proxy_is_suspected_by_its_watchers_alone_and_lost_datagrams_make_no_suspicion() {
    let nodes = nodes(12);
    let mut world = World::new(&nodes);
    let none = BTreeSet::new();
    // Each loses two of three.
    for n in 0..30 {
        world.round(&none, |_, _| n % 3 > 0);
        assert!(world.suspicions(&none).is_empty(), "round {n}");
    }
    world.round(&none, |_, _| false);
    let frozen = node(5).ip;
    let silent = BTreeSet::from([frozen]);
    for n in 0..5 {
        world.round(&silent, |_, _| false);
        assert!(n >= 3 || world.suspicions(&silent).is_empty(), "round {n}");
    }
    let by: BTreeSet<_> = watch::watchers(&nodes, &node(5)).into_iter().map(|by| (frozen, by)).collect();
    assert_eq!(by.len(), watch::WATCHERS);
    assert_eq!(world.suspicions(&silent), by);
    // It wakes: nobody suspects it, and it suspects nobody of what it missed itself.
    world.round(&none, |_, _| false);
    world.round(&none, |_, _| false);
    assert!(world.suspicions(&none).is_empty());
}

#[test]
fn one_proxy_more_or_less_changes_few_names() {
    let (many, few) = (nodes(30), nodes(29));
    let names = |nodes: &BTreeMap<Ipv4Addr, Node>| -> BTreeSet<(Ipv4Addr, Ipv4Addr)> {
        let each = few.values().map(|n| (n.ip, watch::watchers(nodes, n)));
        each.flat_map(|(ip, by)| by.into_iter().map(move |by| (ip, by))).collect()
    };
    let (before, after) = (names(&few), names(&many));
    assert_eq!(before.len(), 29 * watch::WATCHERS);
    let new = node(30).ip;
    assert!(after.difference(&before).all(|(_, by)| *by == new), "only the new one is new anywhere");
    assert!(after.difference(&before).count() < 9, "about three watch it, so it watches about three");
}

#[test]
fn two_watchers_together_take_a_silent_proxy_out_of_the_directory_sooner() {
    let mut copy = Copy::default();
    let ups = (1..=5).map(|n| NodeChange::Up(node(n))).collect();
    copy.apply(0, 1, Some(Command::Nodes(ups)));
    let mut presence = Presence::new(0, 3 * ROUND);
    presence.known(0, &copy.state);
    let seen = |n: u8, count, suspects: &[(Ipv4Addr, u64)]| Seen {
        ip: node(n).ip,
        life: 7,
        count,
        ready: true,
        rev: 1,
        suspects: suspects.to_vec(),
    };
    for n in 1..=5 {
        presence.seen(0, seen(n, 1, &[]));
    }
    let (ip, now) = (node(1).ip, 1400 * MS);
    presence.seen(now, seen(2, 2, &[(ip, 7)]));
    presence.seen(now, seen(3, 2, &[(ip, 6)]));
    assert!(presence.alive(now, &copy.state, ip), "one alone may be cut off; another means an earlier life");
    presence.seen(now, seen(3, 3, &[(ip, 7)]));
    assert!(!presence.alive(now, &copy.state, ip));
    presence.seen(now, seen(1, 2, &[]));
    assert!(presence.alive(now, &copy.state, ip), "it speaks for itself");
    presence.seen(now, seen(3, 4, &[]));
    assert!(presence.alive(now + 1400 * MS, &copy.state, ip), "not suspected by two any more");
}
