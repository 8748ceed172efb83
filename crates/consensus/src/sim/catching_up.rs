//! Members that come back late, or new, on links that carry so much: how long and how many bytes it takes until they have
//! all, what breaks in between, and that they never take up anything but what was committed.

use crate::core::Fault;
use crate::{
    Disk, Entry, Input, Member, Message, Micros, Output, Payload, Ratchet, Role, Roster, Saved, Timing,
    Write, encode,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const MS: Micros = 1000;
const SECOND: Micros = 1000 * MS;
/// What a frame costs beside its content.
const FRAME: usize = 4 + 66;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Deliver { to: usize, from: usize, life: u64, bytes: Vec<u8> },
    Synced { node: usize, life: u64, number: u64 },
    Wake { node: usize, life: u64 },
    Start { node: usize, life: u64 },
    Client,
}

struct Node {
    life: u64,
    disk: Disk,
    saved: Saved,
    consensus: Option<Ratchet>,
    write: Option<Write>,
    wake: Micros,
    applied: u64,
    /// Entries and their bytes since the last snapshot.
    since: (u64, usize),
    syncs: usize,
    /// What was acknowledged when it started, or began to lead: who says to be fresh shows no less.
    least: u64,
    leads: bool,
}

/// How things are.
#[derive(Clone, Copy)]
struct Terms {
    mbps: f64,
    delay: Micros,
    sync: Micros,
    /// Bytes of the host's state and of an entry, and between two entries.
    state: usize,
    entry: usize,
    pause: Micros,
    tail: u64,
}

const TERMS: Terms =
    Terms { mbps: 1000.0, delay: MS, sync: 3 * MS, state: 60_000, entry: 2_000, pause: 50 * MS, tail: 256 };

/// What happens to a message on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Luck {
    Well,
    Lost,
    Twice,
    /// So much later than it should, and others overtake it.
    Late(Micros),
}

type Lot = fn(&Message, usize) -> Luck;

struct World {
    terms: Terms,
    now: Micros,
    seq: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    nodes: Vec<Node>,
    fault: Option<Fault>,
    /// When a link is free again, and the bytes that it has carried.
    links: BTreeMap<(usize, usize), (Micros, u64)>,
    /// The longest that a message waited for the link to be free.
    waited: Micros,
    luck: Lot,
    sent: usize,
    committed: BTreeMap<u64, Entry>,
    acked: u64,
    quiet: bool,
    ticket: u64,
    installed: usize,
    wrong: Option<String>,
}

fn member(node: usize) -> Member {
    Member::new(10, 0, 0, node as u8 + 1)
}

/// The state at `index` as `node` writes it: no two are alike anywhere, so that parts of two never make one.
fn state(index: u64, node: u64, size: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(size + 8);
    let mut z = (index << 8 | node).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    bytes.extend(index.to_le_bytes());
    bytes.extend(node.to_le_bytes());
    while bytes.len() < size {
        z = z.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        bytes.extend(z.to_le_bytes());
    }
    bytes
}

impl World {
    /// Founders with a leader.
    fn new(members: usize, terms: Terms, fault: Option<Fault>) -> World {
        let mut world = World {
            terms,
            now: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            nodes: Vec::new(),
            fault,
            links: BTreeMap::new(),
            waited: 0,
            luck: |_, _| Luck::Well,
            sent: 0,
            committed: BTreeMap::new(),
            acked: 0,
            quiet: true,
            ticket: 0,
            installed: 0,
            wrong: None,
        };
        for node in 0..members {
            world.add(0, Saved::founding((0..members).map(member)));
            world.start(node);
        }
        world.at(0, Event::Client);
        let led = world.until(20 * SECOND, |w| w.leader().is_some());
        led.expect("a leader");
        world
    }

    fn add(&mut self, disk: Disk, saved: Saved) -> usize {
        let (consensus, write, wake) = (None, None, Micros::MAX);
        let (life, applied, since, syncs, least, leads) = (0, 0, (0, 0), 0, 0, false);
        let node = Node { life, disk, saved, consensus, write, wake, applied, since, syncs, least, leads };
        self.nodes.push(node);
        self.nodes.len() - 1
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq, event)));
    }

    fn leader(&self) -> Option<usize> {
        let leads = |n: &Node| n.consensus.as_ref().filter(|r| r.role() == Role::Leader).map(Ratchet::term);
        let all = (0..self.nodes.len()).filter(|n| leads(&self.nodes[*n]).is_some());
        all.max_by_key(|n| leads(&self.nodes[*n]))
    }

    fn start(&mut self, node: usize) {
        let life = self.nodes[node].life;
        self.at(self.now, Event::Start { node, life });
    }

    /// The process ends; `kept`: the write under way reached the disk.
    fn end(&mut self, node: usize, kept: bool) {
        let n = &mut self.nodes[node];
        n.life += 1;
        n.consensus = None;
        if let Some(write) = n.write.take()
            && kept
        {
            write.apply(&mut n.saved);
        }
    }

    fn step(&mut self) {
        let Reverse((at, _, event)) = self.queue.pop().expect("clients ask on");
        self.now = at;
        match event {
            Event::Deliver { to, from, life, bytes } => {
                // What was under way to a process that ended goes nowhere.
                if self.nodes[to].life == life {
                    let (from_disk, message) = crate::decode(&bytes).expect("as it was sent");
                    self.input(to, Input::Message { from: member(from), from_disk, message });
                }
            }
            Event::Synced { node, life, number } => {
                let n = &mut self.nodes[node];
                if n.life == life {
                    n.write.take().expect("there").apply(&mut n.saved);
                    n.syncs += 1;
                    self.input(node, Input::Written { number });
                }
            }
            Event::Wake { node, life } => {
                if self.nodes[node].life == life && self.nodes[node].wake <= self.now {
                    self.nodes[node].wake = Micros::MAX;
                    self.input(node, Input::Tick);
                }
            }
            Event::Start { node, life } => {
                let n = &mut self.nodes[node];
                if n.life != life || n.consensus.is_some() {
                    return;
                }
                n.wake = Micros::MAX;
                (n.applied, n.since) = (n.saved.snapshot.index, (0, 0));
                (n.least, n.leads) = (self.acked, false);
                let timing = Timing { tail: self.terms.tail, part: 64 << 10, ..Timing::default() };
                let seed = node as u64 + 7 * n.life;
                let mut consensus =
                    Ratchet::new(member(node), n.disk, n.saved.clone(), seed, timing, self.now);
                consensus.fault = self.fault;
                n.consensus = Some(consensus);
                let seeds = (0..self.nodes.len()).map(member).collect();
                self.input(node, Input::Seeds(seeds));
            }
            Event::Client => {
                self.at(self.now + self.terms.pause, Event::Client);
                if !self.quiet {
                    self.propose();
                }
            }
        }
    }

    fn propose(&mut self) {
        let Some(leader) = self.leader() else { return };
        self.ticket += 1;
        let (ticket, mut data) = (self.ticket, self.ticket.to_le_bytes().to_vec());
        data.resize(self.terms.entry.max(8), 0);
        self.input(leader, Input::Propose { ticket, data });
    }

    fn input(&mut self, node: usize, input: Input) {
        let mut out = Output::default();
        let Some(consensus) = &mut self.nodes[node].consensus else { return };
        consensus.handle(self.now, input, &mut out);
        let life = self.nodes[node].life;
        if let Some(snapshot) = &out.installed {
            self.installed += 1;
            let by = snapshot.data.get(8..16).and_then(|b| Some(u64::from_le_bytes(b.try_into().ok()?)));
            if snapshot.data != state(snapshot.index, by.unwrap_or_default(), self.terms.state) {
                self.wrong = Some(format!("node {node}: snapshot {} is not what was made", snapshot.index));
            }
            if snapshot.roster != self.rosters(snapshot.index) {
                self.wrong =
                    Some(format!("node {node} takes another roster with snapshot {}", snapshot.index));
            }
            if snapshot.index < self.nodes[node].applied {
                self.wrong = Some(format!("node {node} goes back to {}", snapshot.index));
            }
            (self.nodes[node].applied, self.nodes[node].since) = (snapshot.index, (0, 0));
        }
        for entry in out.committed {
            let n = &mut self.nodes[node];
            if entry.index != n.applied + 1 {
                self.wrong = Some(format!("node {node} applies {} after {}", entry.index, n.applied));
            }
            n.applied = entry.index;
            n.since.0 += 1;
            if let Payload::Data(data) = &entry.payload {
                n.since.1 += data.len();
            }
            let first = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
            if *first != entry {
                self.wrong = Some(format!("node {node} has another entry {}", entry.index));
            }
        }
        for (_, result) in out.proposed {
            self.acked = self.acked.max(result.unwrap_or_default());
        }
        if let Some(write) = out.write {
            let number = write.number;
            self.nodes[node].write = Some(write);
            self.at(self.now + self.terms.sync, Event::Synced { node, life, number });
        }
        if out.wake_at < self.nodes[node].wake {
            let at = out.wake_at.max(self.now + 1);
            self.nodes[node].wake = at;
            self.at(at, Event::Wake { node, life });
        }
        let disk = self.nodes[node].disk;
        for (to, message) in out.send {
            self.check_ack(node, &message);
            self.send(node, to, disk, &message);
        }
        self.check_fresh(node);
        // As a store does it.
        let n = &self.nodes[node];
        if n.since.0 >= 256 || n.since.1 >= 4 * crate::enough(self.terms.state) {
            let index = n.applied;
            self.nodes[node].since = (0, 0);
            self.input(node, Input::Snapshot { index, data: state(index, node as u64, self.terms.state) });
        }
    }

    /// The roster that counts after entry `index`.
    fn rosters(&self, index: u64) -> Roster {
        let founders = Roster { members: (0..3).map(|n| (member(n), 0)).collect() };
        let made = self.committed.range(..=index).rev().find_map(|(_, e)| match &e.payload {
            Payload::Roster(roster) | Payload::Joint { new: roster, .. } => Some(roster.clone()),
            _ => None,
        });
        made.unwrap_or(founders)
    }

    /// What is acknowledged is on disk.
    fn check_ack(&mut self, node: usize, message: &Message) {
        let there = self.nodes[node].saved.last();
        if let Message::Ack { fits: true, matched, .. } = message
            && *matched > there
        {
            self.wrong = Some(format!("node {node} acknowledges {matched}, its disk has {there}"));
        }
    }

    /// Who says to hold all that was acknowledged until lately, as a store judges it, does. Who stands knows a group.
    fn check_fresh(&mut self, node: usize) {
        let (acked, n) = (self.acked, &mut self.nodes[node]);
        let Some(r) = &n.consensus else { return };
        let leads = r.role() == Role::Leader;
        if leads && !n.leads {
            n.least = acked;
        }
        n.leads = leads;
        let fresh = r.leader().is_some() && r.standing() && r.knows() && n.applied >= r.told();
        if fresh && n.applied < n.least {
            self.wrong =
                Some(format!("node {node} says fresh at {}, {} was acknowledged", n.applied, n.least));
        }
        if r.standing() && r.roster().members.is_empty() {
            self.wrong = Some(format!("node {node} stands and knows no group"));
        }
    }

    fn send(&mut self, from: usize, to: Member, disk: Disk, message: &Message) {
        let to = to.octets()[3] as usize - 1;
        if to >= self.nodes.len() || self.nodes[to].consensus.is_none() {
            return;
        }
        let bytes = encode(disk, message);
        self.sent += 1;
        let luck = (self.luck)(message, self.sent);
        let copies = match luck {
            Luck::Lost => 0,
            Luck::Twice => 2,
            Luck::Well | Luck::Late(_) => 1,
        };
        let late = if let Luck::Late(by) = luck { by } else { 0 };
        for _ in 0..copies {
            let size = bytes.len() + FRAME;
            let (free, carried) = self.links.entry((from, to)).or_default();
            self.waited = self.waited.max(free.saturating_sub(self.now));
            *free = (*free).max(self.now) + (size as f64 * 8.0 / self.terms.mbps) as Micros;
            *carried += size as u64;
            let at = *free + self.terms.delay + late;
            let life = self.nodes[to].life;
            self.at(at, Event::Deliver { to, from, life, bytes: bytes.clone() });
        }
    }

    fn run(&mut self, us: Micros) {
        let until = self.now + us;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            self.step();
        }
        self.now = until;
    }

    /// How long it takes.
    fn until(&mut self, most: Micros, done: impl Fn(&World) -> bool) -> Result<Micros, String> {
        let from = self.now;
        while !done(self) {
            if let Some(wrong) = &self.wrong {
                return Err(wrong.clone());
            }
            if self.now > from + most {
                return Err(format!("not within {} ms", most / MS));
            }
            self.step();
        }
        self.wrong.clone().map_or(Ok(self.now - from), Err)
    }

    /// Makes so many changes.
    fn change(&mut self, count: u64) {
        let target = self.acked + count;
        for _ in 0..count {
            self.propose();
            self.run(10 * MS);
        }
        self.until(120 * SECOND, |w| w.acked >= target).expect("acknowledged");
    }

    fn carried(&self, to: usize) -> u64 {
        self.links.iter().filter(|((_, t), _)| *t == to).map(|(_, (_, bytes))| *bytes).sum()
    }

    /// It has all that is committed, a few entries that are under way excepted, and stands.
    fn level(&self, node: usize) -> bool {
        let Some(consensus) = &self.nodes[node].consensus else { return false };
        let top = self.committed.last_key_value().map_or(0, |(index, _)| *index);
        consensus.standing() && self.nodes[node].applied + 16 >= top && consensus.leader().is_some()
    }
}

/// A follower of three, down while `changes` are made, comes back. How long until it has all, in ms, and the bytes to it.
fn returns(changes: u64, terms: Terms) -> Result<(Micros, u64), String> {
    let mut w = World::new(3, Terms { mbps: 1000.0, ..terms }, None);
    w.change(5);
    let node = (w.leader().expect("leads") + 1) % 3;
    w.end(node, false);
    w.change(changes);
    let target = w.acked;
    w.terms.mbps = terms.mbps;
    let before = w.carried(node);
    w.start(node);
    let time = w.until(600 * SECOND, |w| w.nodes[node].applied >= target && w.level(node))?;
    Ok((time / MS, w.carried(node) - before))
}

fn joins(terms: Terms, fault: Option<Fault>, most: Micros) -> Result<(Micros, u64, World), String> {
    let mut w = World::new(3, Terms { mbps: 1000.0, ..terms }, fault);
    w.change(600);
    let leader = w.leader().expect("leads");
    let node = (leader + 1) % 3;
    w.end(node, false);
    w.nodes[node].disk = 4711;
    w.nodes[node].saved = Saved::blank();
    (w.terms.mbps, w.quiet) = (terms.mbps, false);
    let before = w.carried(node);
    w.start(node);
    let time = w.until(most, |w| w.level(node))?;
    let bytes = w.carried(node) - before;
    Ok((time / MS, bytes, w))
}

/// A state in many parts, on a link that takes seconds for it.
const LARGE: Terms = Terms { mbps: 4.0, delay: 10 * MS, state: 2_000_000, entry: 300, ..TERMS };

#[test]
fn what_a_member_that_was_away_is_sent_does_not_grow_with_the_changes() {
    for (state, entry) in [(60_000, 300), (60_000, 60_000), (500_000, 300)] {
        for changes in [10, 100, 300, 1000] {
            let terms = Terms { mbps: 4.0, state, entry, delay: 10 * MS, ..TERMS };
            let (ms, bytes) =
                returns(changes, terms).unwrap_or_else(|e| panic!("{state} {entry} {changes}: {e}"));
            // The snapshot, what may come after it before the next one is made, and the tail before it.
            let most = state as u64 + 5 * crate::enough(state) as u64 + 20_000;
            assert!(bytes < most, "{state} {entry} {changes}: {bytes} bytes");
            assert!(ms < 1000 + most * 8 / 4000, "{state} {entry} {changes}: {ms} ms");
        }
    }
}

#[test]
fn a_transfer_ends_while_changes_go_on_and_newer_snapshots_are_made() {
    for mbps in [1.0, 4.0] {
        let terms = Terms { mbps, ..LARGE };
        let least_ms = terms.state as u64 * 8 / (mbps * 1000.0) as u64;
        let (ms, bytes, _) = joins(terms, None, 60 * SECOND).expect("level");
        assert!(ms < least_ms * 3 / 2, "{ms} ms");
        assert!(bytes < terms.state as u64 * 3 / 2, "{bytes} bytes");
    }
    let faulty = Terms { mbps: 1.0, ..LARGE };
    let e = joins(faulty, Some(Fault::TransferStartsOver), 60 * SECOND).err().expect("never");
    assert!(e.contains("not within"), "{e}");
}

/// A follower of three comes back after hundreds of changes while there are more, and hears of its leader by a link that
/// takes seconds for its state.
fn back(terms: Terms, fault: Option<Fault>) -> (World, usize) {
    let mut w = World::new(3, Terms { mbps: 1000.0, ..terms }, fault);
    w.change(5);
    let node = (w.leader().expect("leads") + 1) % 3;
    w.end(node, false);
    w.change(600);
    (w.terms.mbps, w.quiet) = (terms.mbps, false);
    w.start(node);
    (w, node)
}

#[test]
fn a_slow_link_unseats_nobody_and_loses_nothing_of_a_transfer() {
    let (mut w, node) = back(Terms { mbps: 0.5, state: 500_000, ..LARGE }, None);
    let (leader, term) = (w.leader(), w.nodes[node].saved.hard.term);
    let us = w.until(30 * SECOND, |w| w.level(node)).expect("level");
    // 8 s for the state, and what else is said.
    assert!(us < 14 * SECOND, "{us}");
    assert_eq!((w.leader(), w.nodes[node].saved.hard.term), (leader, term));
}

#[test]
fn what_waits_for_a_slow_link_is_bounded() {
    // 100 entries of 20 KB that no snapshot makes up for, and a state in many parts.
    for (state, changes) in [(2_000_000, 100), (2_000_000, 600)] {
        let terms = Terms { mbps: 4.0, entry: 20_000, state, pause: SECOND, ..LARGE };
        let mut w = World::new(3, Terms { mbps: 1000.0, ..terms }, None);
        w.change(5);
        let node = (w.leader().expect("leads") + 1) % 3;
        w.end(node, false);
        w.change(changes);
        (w.terms.mbps, w.waited, w.links) = (4.0, 0, BTreeMap::new());
        w.start(node);
        w.until(60 * SECOND, |w| w.level(node)).expect("level");
        assert!(w.waited < 800 * MS, "{changes}: {} us", w.waited);
    }
}

/// Of its parts, and the answers to them, some are lost, some come twice and some are overtaken.
#[test]
fn parts_that_are_lost_doubled_or_overtaken_harm_nothing() {
    let lots: [Lot; 4] = [
        |m, n| match m {
            Message::Part { .. } if n % 3 == 0 => Luck::Lost,
            _ => Luck::Well,
        },
        |m, n| match m {
            Message::Part { .. } | Message::Got { .. } if n % 2 == 0 => Luck::Twice,
            _ => Luck::Well,
        },
        |m, n| match m {
            Message::Part { .. } | Message::Ack { .. } if n % 5 == 0 => Luck::Late(700 * MS),
            _ => Luck::Well,
        },
        |m, n| match m {
            Message::Got { .. } if n % 2 == 0 => Luck::Lost,
            Message::Append { .. } | Message::Part { .. } if n % 7 == 0 => Luck::Late(300 * MS),
            _ => Luck::Well,
        },
    ];
    for (at, lot) in lots.into_iter().enumerate() {
        let (mut w, node) = back(Terms { mbps: 10.0, ..LARGE }, None);
        w.luck = lot;
        let level = w.until(90 * SECOND, |w| w.level(node) && w.installed > 0);
        level.unwrap_or_else(|e| panic!("lot {at}: {e}"));
    }
}

/// The leader ends while a part of its snapshot has come; the next one's is another.
fn changes_hands(fault: Option<Fault>) -> Result<(), String> {
    for point in 1..12 {
        let (mut w, node) = back(LARGE, fault);
        w.run(point * 400 * MS);
        let leader = w.leader().expect("leads");
        w.end(leader, true);
        w.run(100 * MS);
        w.start(leader);
        w.until(60 * SECOND, |w| w.level(node) && w.level(leader)).map_err(|e| format!("{point}: {e}"))?;
    }
    Ok(())
}

#[test]
fn a_transfer_survives_its_leader_and_never_mixes_two_snapshots() {
    changes_hands(None).expect("level");
    let e = changes_hands(Some(Fault::PartOfAnother)).expect_err("seen");
    assert!(e.contains("is not what was made"), "{e}");
}

/// A disk takes another's place while a member is down: it learns of that by a snapshot alone. Of five, as an old roster
/// of three does not do without the member.
#[test]
fn a_snapshot_brings_the_roster_along() {
    let replaced = |fault| {
        let mut w = World::new(5, TERMS, fault);
        w.change(5);
        let leader = w.leader().expect("leads");
        let (node, other) = ((leader + 1) % 5, (leader + 2) % 5);
        w.end(node, false);
        w.end(other, false);
        (w.nodes[other].disk, w.nodes[other].saved) = (4711, Saved::blank());
        w.start(other);
        w.until(20 * SECOND, |w| w.level(other))?;
        w.change(600);
        w.start(node);
        w.until(20 * SECOND, |w| w.level(node))?;
        let consensus = w.nodes[node].consensus.as_ref().expect("runs");
        Ok(consensus.roster().names(member(other), 4711))
    };
    assert_eq!(replaced(None), Ok(true));
    let e: String = replaced(Some(Fault::RosterLost)).expect_err("seen");
    assert!(e.contains("takes another roster"), "{e}");
}

/// Its power is lost at each of its syncs in turn, from its start until it is level, and in the middle of the transfer.
fn cut_off_at_each_sync(fault: Option<Fault>) -> Result<usize, String> {
    let mut cuts = 0;
    for point in 0..40 {
        let terms = Terms { mbps: 20.0, delay: 2 * MS, state: 500_000, ..LARGE };
        let (mut w, node) = back(terms, fault);
        if point < 32 {
            let syncs = point / 2;
            w.until(20 * SECOND, |w| w.nodes[node].write.is_some() && w.nodes[node].syncs >= syncs)?;
        } else {
            w.run((point as u64 - 31) * 25 * MS);
        }
        cuts += usize::from(!w.level(node));
        w.end(node, point % 2 == 0);
        w.run(30 * MS);
        w.start(node);
        w.until(20 * SECOND, |w| w.level(node)).map_err(|e| format!("{point}: {e}"))?;
        // The others may go: what it acknowledged is there.
        let leader = w.leader().expect("leads");
        w.end(leader, false);
        let acked = w.acked;
        w.until(20 * SECOND, |w| w.acked > acked + 5).map_err(|e| format!("{point}, then: {e}"))?;
    }
    Ok(cuts)
}

#[test]
fn an_install_that_is_cut_off_at_any_sync_is_taken_up_again() {
    let cuts = cut_off_at_each_sync(None).expect("level");
    assert!(cuts > 12, "{cuts} fell before it was level");
    let e = cut_off_at_each_sync(Some(Fault::AckInstallBeforeSync)).expect_err("seen");
    assert!(e.contains("its disk has"), "{e}");
}

/// Started again while a transfer is on its way, it hears parts of a snapshot first: they do not say what counts.
#[test]
fn nobody_says_to_be_fresh_with_what_it_had_when_it_ended() {
    let restarted = |fault| {
        for point in 0..12 {
            let terms = Terms { mbps: 2.0, delay: 60 * MS, state: 500_000, ..LARGE };
            let (mut w, node) = back(terms, fault);
            w.run(1000 * MS + point * 37 * MS);
            w.end(node, false);
            w.start(node);
            w.until(60 * SECOND, |w| w.level(node))?;
        }
        Ok(())
    };
    restarted(None).expect("level");
    let e: String = restarted(Some(Fault::FreshByParts)).expect_err("seen");
    assert!(e.contains("says fresh at"), "{e}");
    // One that begins to lead holds all, and knows of none of it that it counts, until an entry of its own does.
    let followed = |fault| {
        for point in 0..20 {
            let mut w = World::new(3, Terms { delay: 5 * MS, pause: 3 * MS, ..TERMS }, fault);
            w.quiet = false;
            w.run(2 * SECOND + point * 7 * MS);
            let (leader, acked) = (w.leader().expect("leads"), w.acked);
            w.end(leader, false);
            w.until(20 * SECOND, |w| w.acked > acked)?;
        }
        Ok(())
    };
    followed(None).expect("goes on");
    let e: String = followed(Some(Fault::FreshByParts)).expect_err("seen");
    assert!(e.contains("says fresh at"), "{e}");
}

/// An old copy of its disk is put back under a follower: the leader, who knows what it had, brings it up to date again.
#[test]
fn a_member_whose_disk_went_back_is_brought_up_to_date_by_the_same_leader() {
    for changes in [20, 700] {
        let mut w = World::new(3, TERMS, None);
        w.change(30);
        let leader = w.leader().expect("leads");
        let node = (leader + 1) % 3;
        let copy = w.nodes[node].saved.clone();
        w.change(changes);
        w.end(node, true);
        w.nodes[node].saved = copy;
        w.start(node);
        let sent = w.sent;
        w.until(10 * SECOND, |w| w.level(node)).expect("level");
        assert!(w.sent - sent < 400, "{} messages", w.sent - sent);
        assert_eq!(w.leader(), Some(leader));
    }
}

#[test]
#[ignore = "prints the table of docs/system/catching-up.md"]
fn measure() {
    println!("comes back,mbit/s,state KB,entry B,changes,ms,KB sent to it");
    for mbps in [4.0, 1000.0] {
        for (state, entry) in [(60_000, 300), (60_000, 60_000), (2_000_000, 300)] {
            for changes in [10, 100, 300, 1000, 3000] {
                let terms = Terms { mbps, state, entry, delay: 10 * MS, ..TERMS };
                let told = match returns(changes, terms) {
                    Ok((ms, bytes)) => format!("{ms},{}", bytes / 1000),
                    Err(e) => e,
                };
                println!("restarted,{mbps},{},{entry},{changes},{told}", state / 1000);
            }
        }
    }
    for mbps in [1.0, 4.0, 1000.0] {
        for state in [60_000, 2_000_000, 8_000_000] {
            let terms = Terms { mbps, state, entry: 300, delay: 10 * MS, ..TERMS };
            let told = match joins(terms, None, 300 * SECOND) {
                Ok((ms, bytes, _)) => format!("{ms},{}", bytes / 1000),
                Err(e) => e,
            };
            println!("empty disk, a change every 50 ms,{mbps},{},300,600 and on,{told}", state / 1000);
        }
    }
}
