//! The tree that proxies form, with the registry's own board at its root, on simulated time.

use cluster::copy::Copy;
use cluster::state::{Command, Node};
use cluster::talk::{Down, FromStore, Gossip, Head, News, Standing, ToStore, Up, Use};
use cluster::{Micros, Rev};
use proxy::feed::{Feed, Input, Output};
use proxy::tree;
use registry::board::{self, Board, Terms};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

const MS: Micros = 1000;
const SECOND: Micros = 1000 * MS;
const BEAT: Micros = 1500 * MS;
/// An acknowledged version must be in force everywhere.
const APPLIED: Micros = 3 * SECOND;

const USE: Use = Use { tenant: 1, wanted: 2000, used: 1000 };

fn core(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 9, 0, last)
}

fn node(last: u8) -> Node {
    let (ip, region) =
        (Ipv4Addr::new(10, 9, 1, last), if last.is_multiple_of(2) { "north" } else { "south" });
    let (name, front) = (format!("edge-{last}"), (ip, 8686).into());
    Node { ip, name, zone: format!("{region}-a"), region: region.into(), front }
}

fn zones() -> BTreeMap<String, String> {
    [("north-a", "north"), ("south-a", "south")].map(|(z, r)| (z.to_string(), r.to_string())).into()
}

struct Proxy {
    node: Node,
    copy: Copy,
    feed: Feed,
}

struct Wire {
    child: (Ipv4Addr, u64),
    to: Ipv4Addr,
}

enum Event {
    Linked(u64),
    Down(u64, Down),
    Up(u64, Up),
    /// The link's child, or its other end, learns that it has ended.
    ChildLoses(Wire),
    OtherLoses(u64, Wire),
    Peer(Ipv4Addr, Gossip),
}

#[derive(Default)]
struct World {
    now: Micros,
    events: BTreeMap<(Micros, u64), Event>,
    numbers: u64,
    proxies: BTreeMap<Ipv4Addr, Proxy>,
    boards: BTreeMap<Ipv4Addr, Board>,
    wires: BTreeMap<u64, Wire>,
    /// They say and hear nothing.
    frozen: BTreeSet<Ipv4Addr>,
    rev: Rev,
    /// Draws who is told which proxies to be away.
    confused: Option<u64>,
    messages: u64,
}

/// What a store answers that holds all; the first of the core leads.
fn stands(core: &[Ipv4Addr], me: Ipv4Addr, asked: Micros) -> FromStore {
    let (core, leads) = (core.to_vec(), me == core[0]);
    FromStore::Standing { core, fresh_ms: Some(0), leads, term: 1, asked }
}

impl World {
    fn new(registries: u8, proxies: u8) -> World {
        let mut world = World { now: SECOND, ..World::default() };
        let ips: Vec<Ipv4Addr> = (1..=registries).map(core).collect();
        for me in &ips {
            let (zone, zones) = ("north-a".to_string(), zones());
            let terms = Terms {
                me: *me,
                zone,
                zones,
                beat_us: BEAT,
                ttl_s: 5.0,
                sync_us: 5 * SECOND,
                settle_us: 2 * SECOND,
                zones_lost: 1,
                repeat_us: 10 * SECOND,
            };
            let mut board = Board::new(terms, world.now);
            let mut out = Vec::new();
            board.handle(world.now, board::Input::StoreUp, &mut out);
            let standing = stands(&ips, *me, world.now);
            board.handle(world.now, board::Input::Store(standing), &mut out);
            world.boards.insert(*me, board);
        }
        for last in 1..=proxies {
            world.start(node(last));
        }
        world
    }

    fn start(&mut self, node: Node) {
        let seeds = self.boards.keys().copied().collect();
        let feed = Feed::new(node.clone(), zones(), seeds, BEAT, self.now, self.now);
        self.proxies.insert(node.ip, Proxy { node, copy: Copy::default(), feed });
    }

    fn post(&mut self, wait: Micros, event: Event) {
        self.numbers += 1;
        self.events.insert((self.now + wait, self.numbers), event);
    }

    /// On the way to this machine; core machines are in the north.
    fn delay(&self, child: Ipv4Addr, to: Ipv4Addr) -> Micros {
        let south = self.proxies.get(&child).is_some_and(|p| p.node.region == "south");
        if self.boards.contains_key(&to) && south { 17 * MS } else { MS }
    }

    fn commit(&mut self, command: Command) -> Rev {
        self.rev += 1;
        let run = News::Run { from: self.rev - 1, to: self.rev, commands: vec![(self.rev, command)] };
        for ip in self.boards.keys().copied().collect::<Vec<_>>() {
            self.board(ip, board::Input::Store(FromStore::News(run.clone())));
        }
        self.rev
    }

    fn board(&mut self, ip: Ipv4Addr, input: board::Input) {
        if self.frozen.contains(&ip) {
            return;
        }
        let mut out = Vec::new();
        self.boards.get_mut(&ip).unwrap().handle(self.now, input, &mut out);
        for output in out {
            match output {
                board::Output::Proxy(link, down) => self.down(link, down),
                board::Output::Peer(to, gossip) => self.post(MS, Event::Peer(to, gossip)),
                board::Output::Store(ToStore::Propose { ticket, command }) => {
                    let rev = self.commit(command);
                    let result = Ok((rev, cluster::state::Done::Taken));
                    self.board(ip, board::Input::Store(FromStore::Proposed { ticket, result }));
                }
                board::Output::Store(ToStore::Stand { asked }) => {
                    let core: Vec<Ipv4Addr> = self.boards.keys().copied().collect();
                    self.board(ip, board::Input::Store(stands(&core, ip, asked)));
                }
                _ => {}
            }
        }
    }

    fn down(&mut self, link: u64, mut down: Down) {
        let Some(wire) = self.wires.get(&link) else { return };
        if let (Down::Standing(s), Some(seed)) = (&mut down, &mut self.confused) {
            let others = self.proxies.keys().filter(|_| {
                *seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                *seed >> 33 & 3 == 0
            });
            s.away = others.copied().collect();
        }
        self.messages += 1;
        self.post(self.delay(wire.child.0, wire.to), Event::Down(link, down));
    }

    fn end(&mut self, link: u64, by_child: bool) {
        if let Some(wire) = self.wires.remove(&link) {
            let wait = self.delay(wire.child.0, wire.to);
            if by_child {
                self.post(wait, Event::OtherLoses(link, wire));
            } else {
                self.post(wait, Event::ChildLoses(wire));
            }
        }
    }

    fn proxy(&mut self, ip: Ipv4Addr, input: Input) {
        if self.frozen.contains(&ip) {
            return;
        }
        let mut proxy = self.proxies.remove(&ip).unwrap();
        let (mut out, mut inputs) = (Vec::new(), vec![input]);
        while let Some(input) = inputs.pop() {
            let mut some = Vec::new();
            proxy.feed.ready = proxy.feed.was_fresh();
            if proxy.feed.reports(self.now) {
                proxy.feed.uses(vec![USE]);
            }
            proxy.feed.handle(self.now, input, &proxy.copy, &mut some);
            for output in some {
                if let Output::News(news) = output {
                    proxy.copy.take(self.now, news);
                    inputs.push(Input::Changed);
                } else {
                    out.push(output);
                }
            }
        }
        self.proxies.insert(ip, proxy);
        for output in out {
            match output {
                Output::Link { link, ip: to, relay } => {
                    assert_eq!(relay, !self.boards.contains_key(&to));
                    self.numbers += 1;
                    let (number, child) = (self.numbers, (ip, link));
                    self.wires.insert(number, Wire { child, to });
                    if !self.frozen.contains(&to) {
                        self.post(2 * self.delay(ip, to), Event::Linked(number));
                    }
                }
                Output::Unlink(link) => {
                    let found = self.wires.iter().find(|(_, w)| w.child == (ip, link)).map(|(n, _)| *n);
                    if let Some(number) = found {
                        self.end(number, true);
                    }
                }
                Output::Say(link, up) => {
                    let found = self.wires.iter().find(|(_, w)| w.child == (ip, link));
                    if let Up::Report { usage, .. } = &up {
                        assert!(usage.iter().all(|u| u.tenants == [USE]), "a report that tells no use");
                    }
                    if let Some((number, to)) = found.map(|(n, w)| (*n, w.to)) {
                        self.messages += 1;
                        self.post(self.delay(ip, to), Event::Up(number, up));
                    }
                }
                Output::Tell(link, down) => self.down(link, down),
                Output::Refuse(link) => self.end(link, false),
                Output::News(_) | Output::Meter(..) | Output::Leases(..) => {}
            }
        }
    }

    fn deliver(&mut self, event: Event) {
        let ends = |world: &World, link: u64| world.wires.get(&link).map(|w| (w.child, w.to));
        match event {
            Event::Linked(link) => {
                let Some(((ip, number), _)) = ends(self, link) else { return };
                self.proxy(ip, Input::Linked(number));
            }
            Event::Down(link, down) => {
                let Some(((ip, number), _)) = ends(self, link) else { return };
                self.proxy(ip, Input::Got(number, down));
            }
            Event::Up(link, up) => {
                let Some((_, to)) = ends(self, link) else { return };
                if self.boards.contains_key(&to) {
                    self.board(to, board::Input::Proxy(link, up));
                } else {
                    self.proxy(to, Input::Below(link, up));
                }
            }
            Event::ChildLoses(wire) => self.proxy(wire.child.0, Input::Broken(wire.child.1)),
            Event::OtherLoses(link, wire) if self.boards.contains_key(&wire.to) => {
                self.board(wire.to, board::Input::ProxyDown(link));
            }
            Event::OtherLoses(link, wire) => self.proxy(wire.to, Input::BelowGone(link)),
            Event::Peer(to, gossip) => self.board(to, board::Input::Peer(gossip)),
        }
    }

    fn run(&mut self, for_us: Micros) {
        let until = self.now + for_us;
        loop {
            let live = |ip: &&Ipv4Addr| !self.frozen.contains(ip);
            let proxies = self.proxies.keys().filter(live).map(|ip| (self.proxies[ip].feed.wake_at(), *ip));
            let boards = self.boards.keys().filter(live).map(|ip| (self.boards[ip].wake_at(), *ip));
            let wake = proxies.chain(boards).min();
            let event = self.events.keys().next().map_or(Micros::MAX, |k| k.0);
            let next = event.min(wake.map_or(Micros::MAX, |w| w.0));
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            if event <= next {
                let (_, event) = self.events.pop_first().unwrap();
                self.deliver(event);
            } else if let Some((_, ip)) = wake {
                if self.boards.contains_key(&ip) {
                    self.board(ip, board::Input::Tick);
                } else {
                    self.proxy(ip, Input::Tick);
                }
            }
        }
    }

    fn live(&self) -> impl Iterator<Item = &Proxy> {
        self.proxies.values().filter(|p| !self.frozen.contains(&p.node.ip))
    }

    /// The proxies of a region that follow a registry.
    fn heads(&self, region: &str) -> Vec<Ipv4Addr> {
        let here = self.live().filter(|p| p.node.region == region);
        here.filter(|p| p.feed.follows().is_none_or(|f| f.1 == 0)).map(|p| p.node.ip).collect()
    }

    fn epoch(&self, region: &str) -> Head {
        let known: BTreeSet<Head> =
            self.live().filter(|p| p.node.region == region).map(|p| p.feed.head().unwrap()).collect();
        assert_eq!(known.len(), 1, "all know the same head: {known:?}");
        known.into_iter().next().unwrap()
    }

    /// Something that has been acknowledged now is everywhere in time.
    fn reaches_all(&mut self) {
        let rev = self.commit(Command::Evacuate { zone: "south-a".into(), on: true });
        self.run(APPLIED);
        let behind: Vec<_> =
            self.live().filter(|p| p.copy.rev() < rev).map(|p| (p.node.ip, p.feed.follows())).collect();
        assert!(behind.is_empty(), "{behind:?} at {}", self.now);
    }
}

#[test]
fn one_proxy_of_each_region_follows_a_registry_and_the_others_follow_in_order() {
    let mut world = World::new(3, 30);
    world.run(15 * SECOND);
    for region in ["north", "south"] {
        let heads = world.heads(region);
        assert_eq!(heads.len(), 1, "{region}: {heads:?}");
        assert_eq!(world.epoch(region).ip, heads[0]);
        let here = world.live().filter(|p| p.node.region == region);
        let depths: Vec<usize> = here.map(|p| p.feed.follows().unwrap().1).collect();
        let at = |depth| depths.iter().filter(|d| **d == depth).count();
        assert_eq!((at(0), at(1), at(2)), (1, tree::FAN, 15 - 1 - tree::FAN));
    }
    // Calm: one standing and one report for each link.
    let before = world.messages;
    world.run(3 * SECOND);
    let each = (world.messages - before) as f64 / (30.0 * 6.0);
    assert!(each < 2.1, "{each} messages for each proxy and pulse");
    world.reaches_all();
    // And the registries name them all.
    for board in world.boards.values() {
        assert!(world.proxies.keys().all(|ip| board.presence.alive(world.now, &board.copy.state, *ip)));
    }
}

#[test]
fn a_head_that_freezes_costs_nobody_the_news_nor_its_place_in_the_directory() {
    let mut world = World::new(3, 30);
    world.run(15 * SECOND);
    let before = world.epoch("south");
    world.frozen.insert(before.ip);
    let rev = world.commit(Command::Evacuate { zone: "south-a".into(), on: true });
    for _ in 0..60 {
        world.run(50 * MS);
        for board in world.boards.values() {
            let lost: Vec<_> = world
                .live()
                .filter(|p| !board.presence.alive(world.now, &board.copy.state, p.node.ip))
                .collect();
            assert!(lost.is_empty(), "{} and {} more are alive", lost[0].node.ip, lost.len() - 1);
        }
    }
    assert!(world.live().all(|p| p.copy.rev() >= rev), "within the bound");
    world.run(15 * SECOND);
    let after = world.epoch("south");
    assert!(after.epoch > before.epoch && after.ip != before.ip);
    assert_eq!(world.heads("south"), [after.ip]);

    // It comes back: it is the first again, under yet another epoch.
    world.frozen.clear();
    world.run(20 * SECOND);
    let again = world.epoch("south");
    assert!(again.epoch > after.epoch);
    assert_eq!((world.heads("south"), again.ip), (vec![before.ip], before.ip));
}

#[test]
fn a_relay_that_ends_in_order_is_left_at_once() {
    let mut world = World::new(1, 20);
    world.run(15 * SECOND);
    let head = world.epoch("north").ip;
    world.proxy(head, Input::Ends);
    world.run(100 * MS);
    assert!(world.live().all(|p| p.feed.follows().is_some_and(|f| f.0 != head)));
}

#[test]
fn whoever_is_told_whatever_of_the_others_the_news_arrive_and_no_circle_lasts() {
    for seed in 1..=5 {
        let mut world = World::new(2, 24);
        world.confused = Some(seed);
        world.run(10 * SECOND);
        for _ in 0..8 {
            world.reaches_all();
            for p in world.live() {
                assert!(p.feed.follows().is_some_and(|f| f.1 <= tree::DEEPEST), "seed {seed}");
            }
        }
        world.confused = None;
        world.run(30 * SECOND);
        for region in ["north", "south"] {
            assert_eq!(world.heads(region), [world.epoch(region).ip], "seed {seed}");
        }
    }
}

fn standing(fresh_ms: u32, path: Vec<Ipv4Addr>, head: Head) -> Standing {
    let core = vec![(core(1), "north-a".into())];
    Standing { rev: 1, fresh_ms: Some(fresh_ms), core, path, head: Some(head), away: vec![], said_at: None }
}

/// A proxy that has moved from the registry to the relay that the order names.
struct Follower {
    feed: Feed,
    copy: Copy,
    link: u64,
    now: Micros,
    head: Head,
    order: Vec<Ipv4Addr>,
}

impl Follower {
    fn new() -> Follower {
        let mut copy = Copy::default();
        let ups = (1..=12).map(|n| cluster::state::NodeChange::Up(node(n * 2))).collect();
        copy.apply(0, 1, Some(Command::Nodes(ups)));
        let order = tree::order(&copy.state.nodes, "north", core(9), &BTreeSet::new());
        let me = copy.state.nodes[&order[3]].clone();
        let feed = Feed::new(me, zones(), vec![core(1)], BEAT, 1, 0);
        let head = Head { epoch: 5, ip: order[0] };
        let mut f = Follower { feed, copy, link: 1, now: 0, head, order };
        f.take(Input::Tick);
        f.take(Input::Linked(1));
        let to = |o: &Output| match o {
            Output::Link { link, ip, relay: true } => Some((*link, *ip)),
            _ => None,
        };
        let (relay, ip) = loop {
            let out = f.take(Input::Got(1, Down::Standing(standing(0, vec![], f.head))));
            if let Some(found) = out.iter().find_map(to) {
                break found;
            }
            f.now += 500 * MS;
            assert!(f.now < 10 * SECOND, "it would go to the relay");
        };
        assert_eq!(ip, f.order[0]);
        f.take(Input::Linked(relay));
        f.link = relay;
        let out = f.take(Input::Got(relay, Down::Standing(standing(0, vec![ip], f.head))));
        assert!(out.iter().any(|o| matches!(o, Output::Unlink(1))), "the registry is left only now");
        f
    }

    fn take(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.feed.handle(self.now, input, &self.copy, &mut out);
        out
    }

    /// Whether it goes to the registry when the relay says this.
    fn leaves(&mut self, said: Standing) -> bool {
        let out = self.take(Input::Got(self.link, Down::Standing(said)));
        out.iter().any(|o| matches!(o, Output::Link { ip, relay: false, .. } if *ip == core(1)))
    }
}

#[test]
fn a_relay_whose_own_source_has_failed_is_left_when_it_had_its_chance_to_find_another() {
    let mut f = Follower::new();
    let (path, mut old) = (vec![f.order[0]], 0);
    while !f.leaves(standing(old, path.clone(), f.head)) {
        (f.now, old) = (f.now + 250 * MS, old + 250);
        assert!(old <= 1750, "given up in time");
    }
    assert!(old >= 1500);
}

#[test]
fn a_relay_is_left_in_a_circle_and_when_its_head_is_over_and_when_news_were_lost() {
    let mut f = Follower::new();
    let path = vec![f.order[0]];
    assert!(!f.leaves(standing(0, path.clone(), f.head)));
    assert!(f.leaves(standing(0, vec![f.order[3], f.order[0]], f.head)), "a circle");

    let mut f = Follower::new();
    assert!(!f.leaves(standing(0, path.clone(), Head { epoch: 6, ip: f.order[1] })));
    assert!(f.leaves(standing(0, path.clone(), f.head)), "an older head");

    let mut f = Follower::new();
    let ahead = Standing { rev: 2, ..standing(0, path.clone(), f.head) };
    let left = (0..8).any(|_| {
        f.now += 250 * MS;
        f.leaves(ahead.clone())
    });
    assert!(left, "what is ahead of the copy here does not make it fresh");

    let mut f = Follower::new();
    let up = Up::Hello { node: f.copy.state.nodes[&f.order[0]].clone(), rev: 1 };
    let out = f.take(Input::Below(77, up));
    assert!(out.iter().any(|o| matches!(o, Output::Refuse(77))), "whom it follows cannot follow it");
}

#[test]
fn one_proxy_more_leaves_the_others_in_their_order() {
    let nodes: BTreeMap<Ipv4Addr, Node> = (1..=60).map(|n| (node(n).ip, node(n))).collect();
    let before = tree::order(&nodes, "north", core(9), &BTreeSet::new());
    assert_eq!(before.len(), 30);
    let gone = before[4];
    let fewer: BTreeMap<_, _> = nodes.into_iter().filter(|(ip, _)| *ip != gone).collect();
    let after = tree::order(&fewer, "north", core(9), &BTreeSet::new());
    assert!(before.into_iter().filter(|ip| *ip != gone).eq(after));
}
