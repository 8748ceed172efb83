//! Members that come back after a while, or with an empty disk, over links of limited bandwidth: how long it takes and
//! how many bytes are sent until they have caught up, with failures in between. They must never apply anything that
//! wasn't committed.

use crate::core::Fault;
use crate::{
    Disk, Entry, Input, Member, Membership, Message, Micros, Output, Payload, PersistentState, Replica, Role,
    Timing, Write, encode,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const MS: Micros = 1000;
const SECOND: Micros = 1000 * MS;
/// The number of the empty disk that a member gets in place of its own.
const REPLACED_DISK: Disk = 4711;
/// Bytes of a frame beside its content.
const FRAME_OVERHEAD: usize = 4 + 66;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Deliver { to: usize, from: usize, incarnation: u64, bytes: Vec<u8> },
    Synced { node: usize, incarnation: u64, number: u64 },
    Wake { node: usize, incarnation: u64 },
    Start { node: usize, incarnation: u64 },
    Client,
}

struct Node {
    incarnation: u64,
    disk: Disk,
    saved: PersistentState,
    consensus: Option<Replica>,
    write: Option<Write>,
    wake_at: Micros,
    applied: u64,
    /// Number and bytes of the entries since the last snapshot.
    since_snapshot: (u64, usize),
    syncs: usize,
    /// The highest index acknowledged when this node started or last became leader. When the node claims to be up to
    /// date, it must have applied at least this index.
    acked_at_start: u64,
    /// Whether this node led at the previous check.
    was_leader: bool,
}

/// The conditions of a run.
#[derive(Clone, Copy)]
struct Conditions {
    /// Bandwidth of a link, in megabits a second.
    mbps: f64,
    /// Delay of a link.
    delay: Micros,
    /// How long a sync of a disk takes.
    sync: Micros,
    /// Bytes of the host's state.
    state: usize,
    /// Bytes of an entry's data; 8 if this is less.
    entry: usize,
    /// Time between two entries of the client.
    pause: Micros,
    /// The setting `log_tail_entries` of each replica.
    tail: u64,
}

const DEFAULT_CONDITIONS: Conditions = Conditions {
    mbps: 1000.0,
    delay: MS,
    sync: 3 * MS,
    state: 60_000,
    entry: 2_000,
    pause: 50 * MS,
    tail: 256,
};

/// How a message is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    Normal,
    Lost,
    Duplicated,
    /// Later by this much, so that others overtake it.
    Delayed(Micros),
}

type DeliveryPolicy = fn(&Message, usize) -> Delivery;

struct Cluster {
    conditions: Conditions,
    now: Micros,
    seq: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    nodes: Vec<Node>,
    fault: Option<Fault>,
    /// When each link is free again, and the bytes that it has carried.
    links: BTreeMap<(usize, usize), (Micros, u64)>,
    /// The longest time that a message has waited for its link.
    max_link_wait: Micros,
    delivery_policy: DeliveryPolicy,
    sent: usize,
    committed: BTreeMap<u64, Entry>,
    acked: u64,
    clients_idle: bool,
    ticket: u64,
    installed: usize,
    violation: Option<String>,
}

fn member(node: usize) -> Member {
    Member::new(10, 0, 0, node as u8 + 1)
}

/// The state at `index` as `node` writes it. No two states share a chunk, so mixing chunks of two snapshots is noticed.
fn state_bytes(index: u64, node: u64, size: usize) -> Vec<u8> {
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

impl Cluster {
    /// A group of founders with a leader.
    fn new(members: usize, conditions: Conditions, fault: Option<Fault>) -> Cluster {
        let mut cluster = Cluster {
            conditions,
            now: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            nodes: Vec::new(),
            fault,
            links: BTreeMap::new(),
            max_link_wait: 0,
            delivery_policy: |_, _| Delivery::Normal,
            sent: 0,
            committed: BTreeMap::new(),
            acked: 0,
            clients_idle: true,
            ticket: 0,
            installed: 0,
            violation: None,
        };
        for node in 0..members {
            cluster.add(0, PersistentState::founding((0..members).map(member)));
            cluster.start(node);
        }
        cluster.schedule(0, Event::Client);
        let led = cluster.run_until(20 * SECOND, |cluster| cluster.leader().is_some());
        led.expect("a leader");
        cluster
    }

    fn add(&mut self, disk: Disk, saved: PersistentState) -> usize {
        let (consensus, write, wake_at) = (None, None, Micros::MAX);
        let (incarnation, applied, since_snapshot, syncs, acked_at_start, was_leader) =
            (0, 0, (0, 0), 0, 0, false);
        let node = Node {
            incarnation,
            disk,
            saved,
            consensus,
            write,
            wake_at,
            applied,
            since_snapshot,
            syncs,
            acked_at_start,
            was_leader,
        };
        self.nodes.push(node);
        self.nodes.len() - 1
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq, event)));
    }

    fn leader(&self) -> Option<usize> {
        let leads = |n: &Node| n.consensus.as_ref().filter(|r| r.role() == Role::Leader).map(Replica::term);
        let all = (0..self.nodes.len()).filter(|n| leads(&self.nodes[*n]).is_some());
        all.max_by_key(|n| leads(&self.nodes[*n]))
    }

    fn start(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        self.schedule(self.now, Event::Start { node, incarnation });
    }

    /// The process ends; `kept` tells whether the write in progress reached the disk.
    fn crash(&mut self, node: usize, kept: bool) {
        let n = &mut self.nodes[node];
        n.incarnation += 1;
        n.consensus = None;
        if let Some(write) = n.write.take()
            && kept
        {
            write.apply(&mut n.saved);
        }
    }

    fn run_next_event(&mut self) {
        let Reverse((at, _, event)) = self.queue.pop().expect("clients keep sending");
        self.now = at;
        match event {
            Event::Deliver { to, from, incarnation, bytes } => {
                // Messages to a process that has ended are lost.
                if self.nodes[to].incarnation == incarnation {
                    let (from_disk, message) = crate::decode(&bytes).expect("as it was sent");
                    self.input(to, Input::Message { from: member(from), from_disk, message });
                }
            }
            Event::Synced { node, incarnation, number } => {
                let n = &mut self.nodes[node];
                if n.incarnation == incarnation {
                    n.write.take().expect("there").apply(&mut n.saved);
                    n.syncs += 1;
                    self.input(node, Input::Written { number });
                }
            }
            Event::Wake { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation && self.nodes[node].wake_at <= self.now {
                    self.nodes[node].wake_at = Micros::MAX;
                    self.input(node, Input::Tick);
                }
            }
            Event::Start { node, incarnation } => {
                let n = &mut self.nodes[node];
                if n.incarnation != incarnation || n.consensus.is_some() {
                    return;
                }
                n.wake_at = Micros::MAX;
                (n.applied, n.since_snapshot) = (n.saved.snapshot.index, (0, 0));
                (n.acked_at_start, n.was_leader) = (self.acked, false);
                let timing = Timing {
                    log_tail_entries: self.conditions.tail,
                    snapshot_chunk_bytes: 64 << 10,
                    ..Timing::default()
                };
                let seed = node as u64 + 7 * n.incarnation;
                let mut consensus =
                    Replica::new(member(node), n.disk, n.saved.clone(), seed, timing, self.now);
                consensus.fault = self.fault;
                n.consensus = Some(consensus);
                let seeds = (0..self.nodes.len()).map(member).collect();
                self.input(node, Input::Seeds(seeds));
            }
            Event::Client => {
                self.schedule(self.now + self.conditions.pause, Event::Client);
                if !self.clients_idle {
                    self.propose();
                }
            }
        }
    }

    fn propose(&mut self) {
        let Some(leader) = self.leader() else { return };
        self.ticket += 1;
        let (ticket, mut data) = (self.ticket, self.ticket.to_le_bytes().to_vec());
        data.resize(self.conditions.entry.max(8), 0);
        self.input(leader, Input::Propose { ticket, data });
    }

    fn input(&mut self, node: usize, input: Input) {
        let mut out = Output::default();
        let Some(consensus) = &mut self.nodes[node].consensus else { return };
        consensus.handle(self.now, input, &mut out);
        let incarnation = self.nodes[node].incarnation;
        if let Some(snapshot) = &out.installed {
            self.installed += 1;
            let by = snapshot.data.get(8..16).and_then(|b| Some(u64::from_le_bytes(b.try_into().ok()?)));
            if snapshot.data != state_bytes(snapshot.index, by.unwrap_or_default(), self.conditions.state) {
                self.violation =
                    Some(format!("node {node}: snapshot {} is not what was made", snapshot.index));
            }
            if snapshot.membership != self.membership_at(snapshot.index) {
                self.violation = Some(format!(
                    "node {node} takes a different membership with snapshot {}",
                    snapshot.index
                ));
            }
            if snapshot.index < self.nodes[node].applied {
                self.violation = Some(format!("node {node} goes back to {}", snapshot.index));
            }
            (self.nodes[node].applied, self.nodes[node].since_snapshot) = (snapshot.index, (0, 0));
        }
        for entry in out.committed {
            let n = &mut self.nodes[node];
            if entry.index != n.applied + 1 {
                self.violation = Some(format!("node {node} applies {} after {}", entry.index, n.applied));
            }
            n.applied = entry.index;
            n.since_snapshot.0 += 1;
            if let Payload::Data(data) = &entry.payload {
                n.since_snapshot.1 += data.len();
            }
            let first = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
            if *first != entry {
                self.violation = Some(format!("node {node} has another entry {}", entry.index));
            }
        }
        for (_, result) in out.proposed {
            self.acked = self.acked.max(result.unwrap_or_default());
        }
        if let Some(write) = out.write {
            let number = write.number;
            self.nodes[node].write = Some(write);
            self.schedule(self.now + self.conditions.sync, Event::Synced { node, incarnation, number });
        }
        if out.wake_at < self.nodes[node].wake_at {
            let at = out.wake_at.max(self.now + 1);
            self.nodes[node].wake_at = at;
            self.schedule(at, Event::Wake { node, incarnation });
        }
        let disk = self.nodes[node].disk;
        for (to, message) in out.send {
            self.check_ack(node, &message);
            self.send(node, to, disk, &message);
        }
        self.check_up_to_date(node);
        // Takes a snapshot by the same rule as the config store.
        let n = &self.nodes[node];
        if n.since_snapshot.0 >= 256
            || n.since_snapshot.1 >= 4 * crate::snapshot_threshold(self.conditions.state)
        {
            let index = n.applied;
            self.nodes[node].since_snapshot = (0, 0);
            self.input(
                node,
                Input::Snapshot { index, data: state_bytes(index, node as u64, self.conditions.state) },
            );
        }
    }

    /// The membership in force after entry `index`.
    fn membership_at(&self, index: u64) -> Membership {
        let founders = Membership { members: (0..3).map(|n| (member(n), 0)).collect() };
        let made = self.committed.range(..=index).rev().find_map(|(_, e)| match &e.payload {
            Payload::Membership(membership) | Payload::Joint { new: membership, .. } => {
                Some(membership.clone())
            }
            _ => None,
        });
        made.unwrap_or(founders)
    }

    /// Checks that what is acknowledged is on disk.
    fn check_ack(&mut self, node: usize, message: &Message) {
        let on_disk = self.nodes[node].saved.last_index();
        if let Message::AppendResponse { success: true, match_index, .. } = message
            && *match_index > on_disk
        {
            self.violation = Some(format!("node {node} acknowledges {match_index}, its disk has {on_disk}"));
        }
    }

    /// Checks that a member that claims to have all that was recently acknowledged, by the rule of the config store,
    /// has it, and that a voter has a membership.
    fn check_up_to_date(&mut self, node: usize) {
        let (acked, n) = (self.acked, &mut self.nodes[node]);
        let Some(r) = &n.consensus else { return };
        let leads = r.role() == Role::Leader;
        if leads && !n.was_leader {
            n.acked_at_start = acked;
        }
        n.was_leader = leads;
        let up_to_date =
            r.leader().is_some() && r.is_voter() && r.knows_leader_commit() && n.applied >= r.leader_commit();
        if up_to_date && n.applied < n.acked_at_start {
            self.violation = Some(format!(
                "node {node} claims to be up to date at {}, {} was acknowledged",
                n.applied, n.acked_at_start
            ));
        }
        if r.is_voter() && r.membership().members.is_empty() {
            self.violation = Some(format!("node {node} is a voter without a membership"));
        }
    }

    fn send(&mut self, from: usize, to: Member, disk: Disk, message: &Message) {
        let to = to.octets()[3] as usize - 1;
        if to >= self.nodes.len() || self.nodes[to].consensus.is_none() {
            return;
        }
        let bytes = encode(disk, message);
        self.sent += 1;
        let delivery = (self.delivery_policy)(message, self.sent);
        let copies = match delivery {
            Delivery::Lost => 0,
            Delivery::Duplicated => 2,
            Delivery::Normal | Delivery::Delayed(_) => 1,
        };
        let late = if let Delivery::Delayed(by) = delivery { by } else { 0 };
        for _ in 0..copies {
            let size = bytes.len() + FRAME_OVERHEAD;
            let (free, carried) = self.links.entry((from, to)).or_default();
            self.max_link_wait = self.max_link_wait.max(free.saturating_sub(self.now));
            *free = (*free).max(self.now) + (size as f64 * 8.0 / self.conditions.mbps) as Micros;
            *carried += size as u64;
            let at = *free + self.conditions.delay + late;
            let incarnation = self.nodes[to].incarnation;
            self.schedule(at, Event::Deliver { to, from, incarnation, bytes: bytes.clone() });
        }
    }

    fn run(&mut self, us: Micros) {
        let until = self.now + us;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            self.run_next_event();
        }
        self.now = until;
    }

    /// Runs until `done`, and returns how long that took.
    fn run_until(&mut self, limit: Micros, done: impl Fn(&Cluster) -> bool) -> Result<Micros, String> {
        let from = self.now;
        while !done(self) {
            if let Some(wrong) = &self.violation {
                return Err(wrong.clone());
            }
            if self.now > from + limit {
                return Err(format!("not within {} ms", limit / MS));
            }
            self.run_next_event();
        }
        self.violation.clone().map_or(Ok(self.now - from), Err)
    }

    /// Proposes `count` changes and waits until they are acknowledged.
    fn make_changes(&mut self, count: u64) {
        let target = self.acked + count;
        for _ in 0..count {
            self.propose();
            self.run(10 * MS);
        }
        self.run_until(120 * SECOND, |cluster| cluster.acked >= target).expect("acknowledged");
    }

    fn bytes_sent_to(&self, to: usize) -> u64 {
        self.links.iter().filter(|((_, t), _)| *t == to).map(|(_, (_, bytes))| *bytes).sum()
    }

    /// Whether it is a voter and has all that is committed, except for a few entries in flight.
    fn is_caught_up(&self, node: usize) -> bool {
        let Some(consensus) = &self.nodes[node].consensus else { return false };
        let top = self.committed.last_key_value().map_or(0, |(index, _)| *index);
        consensus.is_voter() && self.nodes[node].applied + 16 >= top && consensus.leader().is_some()
    }
}

/// A follower of three members is down while `changes` are made and comes back. Returns the time in ms until it has
/// caught up, and the bytes sent to it.
fn restart_after_changes(changes: u64, conditions: Conditions) -> Result<(Micros, u64), String> {
    let mut cluster = Cluster::new(3, Conditions { mbps: 1000.0, ..conditions }, None);
    cluster.make_changes(5);
    let node = (cluster.leader().expect("leads") + 1) % 3;
    cluster.crash(node, false);
    cluster.make_changes(changes);
    let target = cluster.acked;
    cluster.conditions.mbps = conditions.mbps;
    let before = cluster.bytes_sent_to(node);
    cluster.start(node);
    let time = cluster.run_until(600 * SECOND, |cluster| {
        cluster.nodes[node].applied >= target && cluster.is_caught_up(node)
    })?;
    Ok((time / MS, cluster.bytes_sent_to(node) - before))
}

fn join_with_empty_disk(
    conditions: Conditions,
    fault: Option<Fault>,
    limit: Micros,
) -> Result<(Micros, u64, Cluster), String> {
    let mut cluster = Cluster::new(3, Conditions { mbps: 1000.0, ..conditions }, fault);
    cluster.make_changes(600);
    let leader = cluster.leader().expect("leads");
    let node = (leader + 1) % 3;
    cluster.crash(node, false);
    cluster.nodes[node].disk = REPLACED_DISK;
    cluster.nodes[node].saved = PersistentState::empty();
    (cluster.conditions.mbps, cluster.clients_idle) = (conditions.mbps, false);
    let before = cluster.bytes_sent_to(node);
    cluster.start(node);
    let time = cluster.run_until(limit, |cluster| cluster.is_caught_up(node))?;
    let bytes = cluster.bytes_sent_to(node) - before;
    Ok((time / MS, bytes, cluster))
}

/// A state of many chunks, over a link that takes seconds for it.
const LARGE_STATE: Conditions =
    Conditions { mbps: 4.0, delay: 10 * MS, state: 2_000_000, entry: 300, ..DEFAULT_CONDITIONS };

#[test]
fn bytes_sent_to_a_returning_member_do_not_grow_with_the_changes() {
    for (state, entry) in [(60_000, 300), (60_000, 60_000), (500_000, 300)] {
        for changes in [10, 100, 300, 1000] {
            let conditions = Conditions { mbps: 4.0, state, entry, delay: 10 * MS, ..DEFAULT_CONDITIONS };
            let (ms, bytes) = restart_after_changes(changes, conditions)
                .unwrap_or_else(|e| panic!("{state} {entry} {changes}: {e}"));
            // The snapshot, the entries after it until the next one is made, and the log tail before it.
            let most = state as u64 + 5 * crate::snapshot_threshold(state) as u64 + 20_000;
            assert!(bytes < most, "{state} {entry} {changes}: {bytes} bytes");
            assert!(ms < 1000 + most * 8 / 4000, "{state} {entry} {changes}: {ms} ms");
        }
    }
}

#[test]
fn a_transfer_ends_while_changes_go_on_and_newer_snapshots_are_made() {
    for mbps in [1.0, 4.0] {
        let conditions = Conditions { mbps, ..LARGE_STATE };
        let least_ms = conditions.state as u64 * 8 / (mbps * 1000.0) as u64;
        let (ms, bytes, _) = join_with_empty_disk(conditions, None, 60 * SECOND).expect("caught up");
        assert!(ms < least_ms * 3 / 2, "{ms} ms");
        assert!(bytes < conditions.state as u64 * 3 / 2, "{bytes} bytes");
    }
    let faulty = Conditions { mbps: 1.0, ..LARGE_STATE };
    let e = join_with_empty_disk(faulty, Some(Fault::TransferRestarts), 60 * SECOND).err().expect("never");
    assert!(e.contains("not within"), "{e}");
}

/// A follower of three members comes back after hundreds of changes, while more are made, over a link that takes
/// seconds for the state.
fn restart_behind(conditions: Conditions, fault: Option<Fault>) -> (Cluster, usize) {
    let mut cluster = Cluster::new(3, Conditions { mbps: 1000.0, ..conditions }, fault);
    cluster.make_changes(5);
    let node = (cluster.leader().expect("leads") + 1) % 3;
    cluster.crash(node, false);
    cluster.make_changes(600);
    (cluster.conditions.mbps, cluster.clients_idle) = (conditions.mbps, false);
    cluster.start(node);
    (cluster, node)
}

#[test]
fn a_snapshot_transfer_over_a_slow_link_neither_deposes_the_leader_nor_starts_over() {
    let (mut cluster, node) = restart_behind(Conditions { mbps: 0.5, state: 500_000, ..LARGE_STATE }, None);
    let (leader, term) = (cluster.leader(), cluster.nodes[node].saved.hard.term);
    let us = cluster.run_until(30 * SECOND, |cluster| cluster.is_caught_up(node)).expect("caught up");
    // 8 s for the state, and the other messages.
    assert!(us < 14 * SECOND, "{us}");
    assert_eq!((cluster.leader(), cluster.nodes[node].saved.hard.term), (leader, term));
}

#[test]
fn bytes_queued_for_a_slow_link_are_bounded() {
    // 100 entries of 20 KB, fewer than call for a snapshot, and a state of many chunks.
    for (state, changes) in [(2_000_000, 100), (2_000_000, 600)] {
        let conditions = Conditions { mbps: 4.0, entry: 20_000, state, pause: SECOND, ..LARGE_STATE };
        let mut cluster = Cluster::new(3, Conditions { mbps: 1000.0, ..conditions }, None);
        cluster.make_changes(5);
        let node = (cluster.leader().expect("leads") + 1) % 3;
        cluster.crash(node, false);
        cluster.make_changes(changes);
        (cluster.conditions.mbps, cluster.max_link_wait, cluster.links) = (4.0, 0, BTreeMap::new());
        cluster.start(node);
        cluster.run_until(60 * SECOND, |cluster| cluster.is_caught_up(node)).expect("caught up");
        assert!(cluster.max_link_wait < 800 * MS, "{changes}: {} us", cluster.max_link_wait);
    }
}

/// Some of the chunks and of the responses to them are lost, duplicated or reordered.
#[test]
fn chunks_that_are_lost_duplicated_or_reordered_do_no_harm() {
    let policies: [DeliveryPolicy; 4] = [
        |m, n| match m {
            Message::SnapshotChunk { .. } if n % 3 == 0 => Delivery::Lost,
            _ => Delivery::Normal,
        },
        |m, n| match m {
            Message::SnapshotChunk { .. } | Message::SnapshotChunkResponse { .. } if n % 2 == 0 => {
                Delivery::Duplicated
            }
            _ => Delivery::Normal,
        },
        |m, n| match m {
            Message::SnapshotChunk { .. } | Message::AppendResponse { .. } if n % 5 == 0 => {
                Delivery::Delayed(700 * MS)
            }
            _ => Delivery::Normal,
        },
        |m, n| match m {
            Message::SnapshotChunkResponse { .. } if n % 2 == 0 => Delivery::Lost,
            Message::AppendEntries { .. } | Message::SnapshotChunk { .. } if n % 7 == 0 => {
                Delivery::Delayed(300 * MS)
            }
            _ => Delivery::Normal,
        },
    ];
    for (at, policy) in policies.into_iter().enumerate() {
        let (mut cluster, node) = restart_behind(Conditions { mbps: 10.0, ..LARGE_STATE }, None);
        cluster.delivery_policy = policy;
        let result =
            cluster.run_until(90 * SECOND, |cluster| cluster.is_caught_up(node) && cluster.installed > 0);
        result.unwrap_or_else(|e| panic!("policy {at}: {e}"));
    }
}

/// The leader crashes when a part of its snapshot has been received. The next leader's snapshot is a different one.
fn leader_restarts_during_transfer(fault: Option<Fault>) -> Result<(), String> {
    for point in 1..12 {
        let (mut cluster, node) = restart_behind(LARGE_STATE, fault);
        cluster.run(point * 400 * MS);
        let leader = cluster.leader().expect("leads");
        cluster.crash(leader, true);
        cluster.run(100 * MS);
        cluster.start(leader);
        cluster
            .run_until(60 * SECOND, |cluster| cluster.is_caught_up(node) && cluster.is_caught_up(leader))
            .map_err(|e| format!("{point}: {e}"))?;
    }
    Ok(())
}

#[test]
fn a_snapshot_transfer_completes_after_the_leader_restarts_and_never_mixes_two_snapshots() {
    leader_restarts_during_transfer(None).expect("caught up");
    let e = leader_restarts_during_transfer(Some(Fault::ChunksMixed)).expect_err("detected");
    assert!(e.contains("is not what was made"), "{e}");
}

/// One member is down while another's disk is replaced, so the first learns of the new disk only from a snapshot. There
/// are five members: of three, the one that is down and the one with the replaced disk would leave no majority.
#[test]
fn a_snapshot_carries_the_membership() {
    let with_replaced_disk = |fault| {
        let mut cluster = Cluster::new(5, DEFAULT_CONDITIONS, fault);
        cluster.make_changes(5);
        let leader = cluster.leader().expect("leads");
        let (node, other) = ((leader + 1) % 5, (leader + 2) % 5);
        cluster.crash(node, false);
        cluster.crash(other, false);
        (cluster.nodes[other].disk, cluster.nodes[other].saved) = (REPLACED_DISK, PersistentState::empty());
        cluster.start(other);
        cluster.run_until(20 * SECOND, |cluster| cluster.is_caught_up(other))?;
        cluster.make_changes(600);
        cluster.start(node);
        cluster.run_until(20 * SECOND, |cluster| cluster.is_caught_up(node))?;
        let consensus = cluster.nodes[node].consensus.as_ref().expect("runs");
        Ok(consensus.membership().contains(member(other), REPLACED_DISK))
    };
    assert_eq!(with_replaced_disk(None), Ok(true));
    let e: String = with_replaced_disk(Some(Fault::SnapshotMembershipLost)).expect_err("detected");
    assert!(e.contains("takes a different membership"), "{e}");
}

/// Power is lost at each sync in turn, from the start of the member until it has caught up, and in the middle of the
/// transfer.
fn interrupt_at_each_sync(fault: Option<Fault>) -> Result<usize, String> {
    let mut cuts = 0;
    for point in 0..40 {
        let conditions = Conditions { mbps: 20.0, delay: 2 * MS, state: 500_000, ..LARGE_STATE };
        let (mut cluster, node) = restart_behind(conditions, fault);
        if point < 32 {
            let syncs = point / 2;
            cluster.run_until(20 * SECOND, |cluster| {
                cluster.nodes[node].write.is_some() && cluster.nodes[node].syncs >= syncs
            })?;
        } else {
            cluster.run((point as u64 - 31) * 25 * MS);
        }
        cuts += usize::from(!cluster.is_caught_up(node));
        cluster.crash(node, point % 2 == 0);
        cluster.run(30 * MS);
        cluster.start(node);
        cluster
            .run_until(20 * SECOND, |cluster| cluster.is_caught_up(node))
            .map_err(|e| format!("{point}: {e}"))?;
        // Another member may crash now: what this one acknowledged is on its disk.
        let leader = cluster.leader().expect("leads");
        cluster.crash(leader, false);
        let acked = cluster.acked;
        cluster
            .run_until(20 * SECOND, |cluster| cluster.acked > acked + 5)
            .map_err(|e| format!("{point}, then: {e}"))?;
    }
    Ok(cuts)
}

#[test]
fn a_snapshot_install_interrupted_at_any_sync_is_resumed() {
    let cuts = interrupt_at_each_sync(None).expect("caught up");
    assert!(cuts > 12, "only {cuts} of 40 interruptions came before the member had caught up");
    let e = interrupt_at_each_sync(Some(Fault::AckInstallBeforeSync)).expect_err("detected");
    assert!(e.contains("its disk has"), "{e}");
}

/// A member that restarts during a transfer first receives snapshot chunks, which don't tell what is committed.
#[test]
fn no_restarted_member_claims_to_be_up_to_date_with_its_old_state() {
    let restart_during_transfer = |fault| {
        for point in 0..12 {
            let conditions = Conditions { mbps: 2.0, delay: 60 * MS, state: 500_000, ..LARGE_STATE };
            let (mut cluster, node) = restart_behind(conditions, fault);
            cluster.run(1000 * MS + point * 37 * MS);
            cluster.crash(node, false);
            cluster.start(node);
            cluster.run_until(60 * SECOND, |cluster| cluster.is_caught_up(node))?;
        }
        Ok(())
    };
    restart_during_transfer(None).expect("caught up");
    let e: String = restart_during_transfer(Some(Fault::FreshFromChunks)).expect_err("detected");
    assert!(e.contains("claims to be up to date at"), "{e}");
    // A new leader has all entries, but doesn't know that they are committed until an entry of its own term is.
    let with_new_leaders = |fault| {
        for point in 0..20 {
            let mut cluster =
                Cluster::new(3, Conditions { delay: 5 * MS, pause: 3 * MS, ..DEFAULT_CONDITIONS }, fault);
            cluster.clients_idle = false;
            cluster.run(2 * SECOND + point * 7 * MS);
            let (leader, acked) = (cluster.leader().expect("leads"), cluster.acked);
            cluster.crash(leader, false);
            cluster.run_until(20 * SECOND, |cluster| cluster.acked > acked)?;
        }
        Ok(())
    };
    with_new_leaders(None).expect("goes on");
    let e: String = with_new_leaders(Some(Fault::FreshFromChunks)).expect_err("detected");
    assert!(e.contains("claims to be up to date at"), "{e}");
}

/// A follower's disk is replaced by an old copy. The same leader, which remembers the later acknowledgements, brings it
/// up to date again.
#[test]
fn a_member_with_a_restored_old_disk_is_brought_up_to_date_by_the_same_leader() {
    for changes in [20, 700] {
        let mut cluster = Cluster::new(3, DEFAULT_CONDITIONS, None);
        cluster.make_changes(30);
        let leader = cluster.leader().expect("leads");
        let node = (leader + 1) % 3;
        let copy = cluster.nodes[node].saved.clone();
        cluster.make_changes(changes);
        cluster.crash(node, true);
        cluster.nodes[node].saved = copy;
        cluster.start(node);
        let sent = cluster.sent;
        cluster.run_until(10 * SECOND, |cluster| cluster.is_caught_up(node)).expect("caught up");
        assert!(cluster.sent - sent < 400, "{} messages", cluster.sent - sent);
        assert_eq!(cluster.leader(), Some(leader));
    }
}

#[test]
#[ignore = "prints the table of docs/system/catching-up.md"]
fn measure() {
    println!("comes back,mbit/s,state KB,entry B,changes,ms,KB sent to it");
    for mbps in [4.0, 1000.0] {
        for (state, entry) in [(60_000, 300), (60_000, 60_000), (2_000_000, 300)] {
            for changes in [10, 100, 300, 1000, 3000] {
                let conditions = Conditions { mbps, state, entry, delay: 10 * MS, ..DEFAULT_CONDITIONS };
                let row = match restart_after_changes(changes, conditions) {
                    Ok((ms, bytes)) => format!("{ms},{}", bytes / 1000),
                    Err(e) => e,
                };
                println!("restarted,{mbps},{},{entry},{changes},{row}", state / 1000);
            }
        }
    }
    for mbps in [1.0, 4.0, 1000.0] {
        for state in [60_000, 2_000_000, 8_000_000] {
            let conditions = Conditions { mbps, state, entry: 300, delay: 10 * MS, ..DEFAULT_CONDITIONS };
            let row = match join_with_empty_disk(conditions, None, 300 * SECOND) {
                Ok((ms, bytes, _)) => format!("{ms},{}", bytes / 1000),
                Err(e) => e,
            };
            println!("empty disk, a change every 50 ms,{mbps},{},300,600 and on,{row}", state / 1000);
        }
    }
}
