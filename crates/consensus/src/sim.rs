//! A group of replicas in simulated time, with random failures, and a checker of the safety properties.

use crate::core::Fault;
use crate::{
    Disk, Entry, Input, Member, Message, Micros, Output, Payload, PersistentState, Replica, Role, Timing,
    Write, decode, encode,
};
use fastrand::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};

mod catching_up;
mod members;
mod power;

const MS: Micros = 1000;
/// The number of the first spare's disk; founders have disk 0.
const FIRST_SPARE_DISK: Disk = 1000;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Deliver {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    Synced {
        node: usize,
        incarnation: u64,
        number: u64,
    },
    Wake {
        node: usize,
        incarnation: u64,
    },
    Start {
        node: usize,
        incarnation: u64,
    },
    Client,
    InjectFailure,
    WipeVoterOfSuccessor {
        leader: usize,
    },
    ResumeDisk {
        node: usize,
    },
    /// A host that was told to stop ends, unless its member is being replaced.
    StopUnlessReplaced {
        node: usize,
        incarnation: u64,
        until: Micros,
    },
}

struct Node {
    /// Counts starts and ends, so that events for an earlier run are ignored.
    incarnation: u64,
    disk: Disk,
    saved: PersistentState,
    consensus: Option<Replica>,
    write: Option<(Write, bool)>,
    disk_hung: bool,
    sync_time: (Micros, Micros),
    /// How far its clock is ahead: the machine was suspended, or the clock jumped.
    clock_offset: Micros,
    /// An earlier copy of the disk, with the disk's number.
    old_copy: (Disk, PersistentState),
    applied: u64,
    state: Vec<u64>,
    wake_at: Micros,
}

struct Sim {
    rng: Rng,
    now: Micros,
    seq: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    nodes: Vec<Node>,
    founders: usize,
    cut_links: BTreeSet<(usize, usize)>,
    lossy_network: bool,
    failures_stopped: bool,
    timing: Timing,
    fault: Option<Fault>,
    /// Members crash right after granting a vote.
    restart_after_vote: bool,
    /// The target size and the seeds given to members at start. Without seeds they get the founders.
    target_size: Option<usize>,
    seeds: Option<Vec<usize>>,
    /// Bytes added to each ticket, and the transmission time of a byte.
    padding: usize,
    us_per_byte: Option<f64>,
    /// When each link is free again.
    links: BTreeMap<(usize, usize), Micros>,
    checker: Checker,
    violation: Option<String>,
    /// The violation is only that the group did not recover.
    not_recovered: bool,
    ticket: u64,
    /// Pending reads, with the highest acknowledged index when each was requested.
    reads: BTreeMap<(usize, u64), u64>,
    coverage: Coverage,
}

#[derive(Default)]
struct Checker {
    leaders: BTreeMap<u64, usize>,
    committed: BTreeMap<u64, Entry>,
    acked: BTreeSet<u64>,
    acked_index: u64,
}

/// Counts of what the schedules exercised.
#[derive(Clone, Copy, Debug, Default)]
struct Coverage {
    leaders: usize,
    committed: u64,
    acked: usize,
    reads: usize,
    lost: usize,
    wiped: usize,
    /// Old copies of disks that were restored.
    copies: usize,
    installed: usize,
    memberships: usize,
}

fn member(node: usize) -> Member {
    Member::new(10, 0, 0, node as u8 + 1)
}

impl Node {
    fn new(disk: Disk, saved: PersistentState) -> Node {
        Node {
            incarnation: 0,
            disk,
            saved,
            consensus: None,
            write: None,
            disk_hung: false,
            sync_time: (MS, 3 * MS),
            clock_offset: 0,
            old_copy: (0, PersistentState::empty()),
            applied: 0,
            state: Vec::new(),
            wake_at: Micros::MAX,
        }
    }
}

impl Sim {
    fn new(seed: u64, fault: Option<Fault>) -> Sim {
        let mut rng = Rng::with_seed(seed);
        let (founders, extra) = [(3, 0), (3, 0), (3, 1), (5, 0), (3, 2)][rng.usize(..5)];
        let timing = match rng.u8(..4) {
            0 => Timing { log_tail_entries: 8, ..Timing::default() },
            1 => Timing {
                log_tail_entries: 5,
                election_timeout: (150 * MS, 800 * MS),
                heartbeat_interval: 50 * MS,
                ..Timing::default()
            },
            2 => Timing { log_tail_entries: 3, election_timeout: (300 * MS, 340 * MS), ..Timing::default() },
            _ => Timing {
                log_tail_entries: 20,
                election_timeout: (200 * MS, 210 * MS),
                heartbeat_interval: 50 * MS,
                ..Timing::default()
            },
        };
        let restart_after_vote = rng.bool();
        let mut sim = Sim {
            rng,
            now: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            nodes: Vec::new(),
            founders,
            cut_links: BTreeSet::new(),
            lossy_network: false,
            failures_stopped: false,
            timing,
            fault,
            restart_after_vote,
            target_size: None,
            seeds: None,
            padding: 0,
            us_per_byte: None,
            links: BTreeMap::new(),
            checker: Checker::default(),
            violation: None,
            not_recovered: false,
            ticket: 0,
            reads: BTreeMap::new(),
            coverage: Coverage::default(),
        };
        for node in 0..founders + extra {
            let founder = node < founders;
            let disk = if founder { 0 } else { FIRST_SPARE_DISK + node as u64 };
            let saved = if founder { sim.founding() } else { PersistentState::empty() };
            sim.nodes.push(Node::new(disk, saved));
            let at = sim.rng.u64(..if founder { 50 } else { 3000 }) * MS;
            sim.schedule(at, Event::Start { node, incarnation: 0 });
        }
        sim.schedule(100 * MS, Event::Client);
        sim.schedule(900 * MS, Event::InjectFailure);
        sim
    }

    fn founding(&self) -> PersistentState {
        PersistentState::founding((0..self.founders).map(member))
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq, event)));
    }

    fn run(&mut self, until: Micros) {
        while self.violation.is_none() {
            match self.queue.peek() {
                Some(Reverse((at, ..))) if *at <= until => {}
                _ => break,
            }
            let Reverse((at, _, event)) = self.queue.pop().expect("seen");
            self.now = at;
            self.handle_event(event);
        }
        self.now = until;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver { to, from, bytes } => {
                if !self.cut_links.contains(&(from, to)) {
                    let (from_disk, message) = decode(&bytes).expect("as it was sent");
                    self.input(to, Input::Message { from: member(from), from_disk, message });
                }
            }
            Event::Synced { node, incarnation, number } => {
                let n = &mut self.nodes[node];
                if n.incarnation != incarnation || n.write.as_ref().is_none_or(|(w, _)| w.number != number) {
                    return;
                }
                if n.disk_hung {
                    n.write.as_mut().expect("there").1 = true;
                    return;
                }
                let (write, _) = n.write.take().expect("there");
                write.apply(&mut n.saved);
                self.input(node, Input::Written { number });
            }
            Event::Wake { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation && self.nodes[node].wake_at <= self.now {
                    self.nodes[node].wake_at = Micros::MAX;
                    self.input(node, Input::Tick);
                }
            }
            Event::Start { node, incarnation } => self.start(node, incarnation),
            Event::StopUnlessReplaced { node, incarnation, until } => {
                self.stop_unless_replaced(node, incarnation, until)
            }
            Event::Client => self.client(),
            Event::InjectFailure if self.failures_stopped => {}
            Event::InjectFailure => self.inject_failure(),
            Event::WipeVoterOfSuccessor { leader } => self.wipe_voter_of_successor(leader),
            Event::ResumeDisk { node } => {
                let n = &mut self.nodes[node];
                (n.disk_hung, n.sync_time) = (false, (MS, 3 * MS));
                let incarnation = n.incarnation;
                if let Some((write, true)) = &n.write {
                    let number = write.number;
                    self.schedule(self.now + MS, Event::Synced { node, incarnation, number });
                }
            }
        }
    }

    fn start(&mut self, node: usize, incarnation: u64) {
        let founding = self.founding();
        let seed = self.rng.u64(..);
        let now = self.now + self.nodes[node].clock_offset;
        let n = &mut self.nodes[node];
        if n.incarnation != incarnation || n.consensus.is_some() {
            return;
        }
        if n.saved == PersistentState::empty()
            && self.fault == Some(Fault::WipedDiskVotes)
            && node < self.founders
        {
            (n.saved, n.disk) = (founding, 0);
        }
        n.incarnation += 1;
        n.wake_at = Micros::MAX;
        n.applied = n.saved.snapshot.index;
        n.state = unpack(&n.saved.snapshot.data, self.padding);
        let mut consensus = Replica::new(member(node), n.disk, n.saved.clone(), seed, self.timing, now);
        consensus.fault = self.fault;
        n.consensus = Some(consensus);
        let seeds = self.seeds.clone().unwrap_or_else(|| (0..self.founders).collect());
        self.input(node, Input::Seeds(seeds.into_iter().map(member).collect()));
        if let Some(size) = self.target_size {
            self.input(node, Input::TargetSize(size));
        }
    }

    /// The process ends; a write in progress is on disk as a whole or not at all.
    fn crash(&mut self, node: usize) {
        let kept = self.rng.bool();
        let n = &mut self.nodes[node];
        n.incarnation += 1;
        n.consensus = None;
        if let Some((write, _)) = n.write.take()
            && kept
            && !n.disk_hung
        {
            write.apply(&mut n.saved);
        }
        self.reads.retain(|(at, _), _| *at != node);
    }

    fn restart(&mut self, node: usize, from: Micros, to: Micros) {
        self.crash(node);
        let at = self.now + self.rng.u64(from..=to);
        let incarnation = self.nodes[node].incarnation;
        self.schedule(at, Event::Start { node, incarnation });
    }

    /// Replaces a disk by an empty one, if the group can tolerate that now.
    fn wipe(&mut self, node: usize) {
        // A spare that has never been a member may be in any state. A member counts as down until it is a voter
        // and has that on disk.
        let is_member = |at: usize, disk: Disk| {
            let memberships = self.nodes.iter().filter_map(|n| n.consensus.as_ref()).map(Replica::membership);
            memberships.filter(|r| r.contains(member(at), disk)).count() > 0
        };
        let healthy = |(at, n): (usize, &Node)| {
            let never_member =
                (FIRST_SPARE_DISK..FIRST_SPARE_DISK + 10).contains(&n.disk) && !is_member(at, n.disk);
            never_member
                || n.saved.hard.voter && n.consensus.as_ref().is_some_and(|r| r.role() != Role::Failed)
        };
        if !self.nodes.iter().enumerate().all(healthy) || !is_member(node, self.nodes[node].disk) {
            return;
        }
        self.restart(node, 0, 400 * MS);
        self.coverage.wiped += 1;
        let disk = self.rng.u64(2000..);
        let n = &mut self.nodes[node];
        (n.saved, n.disk) = (PersistentState::empty(), disk);
    }

    /// Replaces a disk by an old copy of one that this machine had, if the group can tolerate the loss of the disk.
    fn restore_old_copy(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        self.wipe(node);
        let n = &mut self.nodes[node];
        if n.incarnation == incarnation {
            return;
        }
        let (disk, copy) = n.old_copy.clone();
        self.coverage.copies += usize::from(copy != PersistentState::empty());
        if self.fault == Some(Fault::OldCopyVotes) {
            if copy != PersistentState::empty() {
                (n.disk, n.saved) = (disk, copy);
            }
        } else {
            n.saved = copy.into_non_voter();
        }
    }

    fn input(&mut self, node: usize, input: Input) {
        let tail = self.timing.log_tail_entries;
        let mut out = Output::default();
        let n = &mut self.nodes[node];
        let now = self.now + n.clock_offset;
        let Some(consensus) = &mut n.consensus else { return };
        consensus.handle(now, input, &mut out);
        if consensus.role() == Role::Leader {
            let (term, leads) = (consensus.term(), &mut self.checker.leaders);
            if *leads.entry(term).or_insert(node) != node {
                self.violation = Some(format!("two leaders of term {term}"));
            }
        }
        if let Some(snapshot) = &out.installed {
            self.coverage.installed += 1;
            let state = unpack(&snapshot.data, self.padding);
            let expected = values(self.checker.committed.range(..=snapshot.index).map(|(_, e)| e));
            if state != expected {
                self.violation =
                    Some(format!("snapshot {} of node {node} is not what was committed", snapshot.index));
            }
            (n.applied, n.state) = (snapshot.index, state);
        }
        let mut snapshot_due = false;
        for entry in out.committed {
            if entry.index != n.applied + 1 {
                self.violation = Some(format!("node {node} applies {} after {}", entry.index, n.applied));
            }
            n.applied = entry.index;
            n.state.extend(values(std::iter::once(&entry)));
            snapshot_due |= entry.index % (tail + 17) == 0;
            self.coverage.memberships += usize::from(entry.payload.membership().is_some());
            let index = entry.index;
            let first = self.checker.committed.entry(index).or_insert_with(|| entry.clone());
            if *first != entry {
                self.violation =
                    Some(format!("node {node} has another entry {index}: {entry:?}, was {first:?}"));
            }
        }
        for (ticket, result) in out.proposed {
            if let Ok(index) = result {
                let found = self.checker.committed.get(&index).map(|e| &e.payload);
                if found != Some(&Payload::Data(pack(&[ticket], self.padding))) {
                    self.violation = Some(format!("{ticket} is acknowledged as {index}, where it is not"));
                }
                self.checker.acked.insert(ticket);
                self.checker.acked_index = self.checker.acked_index.max(index);
            }
        }
        for (ticket, result) in out.read {
            let min_index = self.reads.remove(&(node, ticket)).expect("asked for");
            if let Ok(index) = result {
                self.coverage.reads += 1;
                if index < min_index {
                    self.violation = Some(format!("a read at {index}, {min_index} was acknowledged before"));
                }
            }
        }
        self.coverage.lost += out.lost.len();
        let incarnation = n.incarnation;
        let disk = n.disk;
        if let Some(write) = out.write {
            assert!(n.write.is_none(), "one write at a time");
            let number = write.number;
            n.write = Some((write, false));
            let at = self.now + self.rng.u64(n.sync_time.0..=n.sync_time.1);
            self.schedule(at, Event::Synced { node, incarnation, number });
        }
        let n = &mut self.nodes[node];
        let wake =
            if out.wake_at == Micros::MAX { Micros::MAX } else { out.wake_at.saturating_sub(n.clock_offset) };
        if wake < n.wake_at {
            n.wake_at = wake.max(self.now + 1);
            let at = n.wake_at;
            self.schedule(at, Event::Wake { node, incarnation });
        }
        let mut voted = false;
        for (to, message) in out.send {
            voted |= matches!(message, Message::VoteResponse { pre_vote: false, granted: true, .. });
            self.send(node, to, disk, &message);
        }
        if voted && self.restart_after_vote && !self.failures_stopped && self.rng.bool() {
            self.restart(node, MS, 4 * MS);
        } else if snapshot_due {
            let n = &self.nodes[node];
            let (index, data) = (n.applied, pack(&n.state, self.padding));
            self.input(node, Input::Snapshot { index, data });
        }
    }

    fn send(&mut self, from: usize, to: Member, disk: Disk, message: &Message) {
        let to = to.octets()[3] as usize - 1;
        if self.cut_links.contains(&(from, to)) {
            return;
        }
        let lossy_network = self.lossy_network && !self.failures_stopped;
        if lossy_network && self.rng.u8(..10) == 0 {
            return;
        }
        let duplicates_request = self.restart_after_vote
            && !self.failures_stopped
            && matches!(message, Message::RequestVote { pre_vote: false, .. });
        let copies =
            if duplicates_request { 3 } else { 1 + u8::from(lossy_network && self.rng.u8(..8) == 0) };
        for _ in 0..copies {
            let late = lossy_network && self.rng.u8(..6) == 0;
            let late = late || duplicates_request && self.rng.bool();
            let delay = self.rng.u64(match (late, duplicates_request) {
                (true, true) => MS..=20 * MS,
                (true, false) => MS..=400 * MS,
                _ => MS / 2..=3 * MS,
            });
            let bytes = encode(disk, message);
            let mut sent = self.now;
            if let Some(us_per_byte) = self.us_per_byte {
                let taken = self.links.entry((from, to)).or_default();
                sent = sent.max(*taken) + (bytes.len() as f64 * us_per_byte) as Micros;
                *taken = sent;
            }
            self.schedule(sent + delay, Event::Deliver { to, from, bytes });
        }
    }

    fn client(&mut self) {
        let pause = self.rng.u64(5..60) * MS;
        self.schedule(self.now + pause, Event::Client);
        for _ in 0..self.rng.usize(1..4) {
            let any = self.rng.usize(..self.nodes.len());
            let leads = |n: &Node| n.consensus.as_ref().is_some_and(|r| r.role() == Role::Leader);
            let leading: Vec<usize> = (0..self.nodes.len()).filter(|n| leads(&self.nodes[*n])).collect();
            let node = if leading.is_empty() { any } else { leading[self.rng.usize(..leading.len())] };
            self.ticket += 1;
            let ticket = self.ticket;
            if self.nodes[node].consensus.is_none() {
                continue;
            }
            if self.rng.bool() {
                self.input(node, Input::Propose { ticket, data: pack(&[ticket], self.padding) });
            } else {
                self.reads.insert((node, ticket), self.checker.acked_index);
                self.input(node, Input::Read { ticket });
            }
        }
    }

    fn leader(&self) -> Option<usize> {
        let leads = |n: &Node| n.consensus.as_ref().filter(|r| r.role() == Role::Leader).map(Replica::term);
        (0..self.nodes.len())
            .filter(|n| leads(&self.nodes[*n]).is_some())
            .max_by_key(|n| leads(&self.nodes[*n]))
    }

    fn inject_failure(&mut self) {
        let pause = self.rng.u64(50..700) * MS;
        self.schedule(self.now + pause, Event::InjectFailure);
        let count = self.nodes.len();
        let node = match self.leader() {
            Some(leader) if self.rng.bool() => leader,
            _ => self.rng.usize(..count),
        };
        let other = (node + self.rng.usize(1..count)) % count;
        for n in &mut self.nodes {
            if self.rng.bool() {
                n.old_copy = (n.disk, n.saved.clone());
            }
        }
        match self.rng.u8(..21) {
            16 | 20 => self.restore_old_copy(node),
            17 => {
                // Two halves that cannot reach each other; both still reach `node`.
                let half = |n: usize| (n + count - node) % count <= count / 2;
                let apart = |a: &usize, b: &usize| *a != node && *b != node && half(*a) != half(*b);
                for a in 0..count {
                    self.cut_links.extend((0..count).filter(|b| apart(&a, b)).map(|b| (a, b)));
                }
            }
            18 => {
                // A one-way cut: either nothing that it sends arrives, or it receives nothing.
                let says = self.rng.bool();
                let others = (0..count).filter(|o| *o != node);
                self.cut_links.extend(others.map(|o| if says { (node, o) } else { (o, node) }));
            }
            19 => {
                let by = self.rng.u64(10..20_000) * MS;
                self.nodes[node].clock_offset += by;
                self.input(node, Input::Tick);
            }
            0 => {
                self.cut_links.insert((node, other));
            }
            1 => self.isolate(node),
            2 | 3 => self.cut_links.clear(),
            4 => self.restart(node, 10 * MS, 2000 * MS),
            5 | 15 => {
                // All lose power. Two that cannot reach each other may both campaign afterwards.
                let spread = self.rng.u64(6..60) * MS;
                (0..count).for_each(|n| self.restart(n, 5 * MS, spread));
                if self.restart_after_vote || self.rng.bool() {
                    self.cut_links.extend([(node, other), (other, node)]);
                }
            }
            6 | 7 => self.wipe(node),
            8 => {
                self.nodes[node].disk_hung = true;
                let at = self.now + self.rng.u64(200..4000) * MS;
                self.schedule(at, Event::ResumeDisk { node });
            }
            9 => {
                let all = self.rng.bool();
                for n in (0..count).filter(|n| all || *n == node) {
                    self.nodes[n].sync_time = (20 * MS, 200 * MS);
                }
            }
            10 => self.lossy_network = !self.lossy_network,
            11 => {
                self.nodes[node].write = None;
                self.input(node, Input::WriteFailed);
                if self.nodes[node].consensus.is_some() {
                    self.restart(node, 100 * MS, 1000 * MS);
                }
            }
            12 => self.input(node, Input::PrepareToStop),
            13 | 14 => {
                // A leader is cut off. Before it notices, a member that voted for its successor loses its disk.
                if let Some(leader) = self.leader() {
                    self.cut_links.clear();
                    self.isolate(leader);
                    self.schedule(self.now + MS, Event::WipeVoterOfSuccessor { leader });
                }
            }
            _ => {}
        }
    }

    fn isolate(&mut self, node: usize) {
        for other in (0..self.nodes.len()).filter(|o| *o != node) {
            self.cut_links.insert((node, other));
            self.cut_links.insert((other, node));
        }
    }

    fn wipe_voter_of_successor(&mut self, leader: usize) {
        let leads = |n: usize| self.nodes[n].consensus.as_ref().is_some_and(|r| r.role() == Role::Leader);
        let others = (0..self.nodes.len()).filter(|n| *n != leader);
        let voters = match others.clone().find(|n| leads(*n)) {
            Some(next) => others.filter(|n| *n != next).collect(),
            None => Vec::new(),
        };
        let leads = leads(leader);
        if !leads || self.failures_stopped {
            return;
        }
        if voters.is_empty() {
            self.schedule(self.now + 5 * MS, Event::WipeVoterOfSuccessor { leader });
            return;
        }
        let node = voters[self.rng.usize(..voters.len())];
        let incarnation = self.nodes[node].incarnation;
        self.wipe(node);
        if self.nodes[node].incarnation == incarnation {
            return;
        }
        let incarnation = self.nodes[node].incarnation;
        self.schedule(self.now + MS, Event::Start { node, incarnation });
        self.isolate(node);
        self.cut_links.remove(&(node, leader));
        self.cut_links.remove(&(leader, node));
    }

    /// Stops all failures, then checks that the group recovers and has all that was acknowledged.
    fn recover_and_check(&mut self) {
        self.failures_stopped = true;
        self.cut_links.clear();
        for node in 0..self.nodes.len() {
            self.handle_event(Event::ResumeDisk { node });
            let down = self.nodes[node].consensus.as_ref().is_none_or(|r| r.role() == Role::Failed);
            if down {
                self.restart(node, 0, 10 * MS);
            }
        }
        self.run(self.now + 5000 * MS);
        if self.violation.is_some() {
            return;
        }
        let before = self.checker.acked.len();
        self.run(self.now + 1000 * MS);
        // No more client requests; those in progress finish.
        self.queue.retain(|Reverse((.., event))| *event != Event::Client);
        self.run(self.now + 500 * MS);
        if self.violation.is_some() {
            return;
        }
        let mut report = |what: String| self.violation.get_or_insert(what).clone();
        if self.checker.acked.len() <= before {
            report("nothing is acknowledged after the failures stopped".into());
        }
        let state = &self.nodes[0].state;
        for (at, node) in self.nodes.iter().enumerate() {
            let consensus = node.consensus.as_ref().expect("all run");
            if !consensus.is_voter() || !consensus.membership().contains(member(at), node.disk) {
                report(format!("node {at} is no voter"));
            }
            if node.state != *state {
                report(format!("node {at} has another state"));
            }
        }
        let present: BTreeSet<u64> = state.iter().copied().collect();
        self.not_recovered = self.violation.is_some();
        if self.not_recovered {
            return;
        }
        if let Some(lost) = self.checker.acked.iter().find(|ticket| !present.contains(ticket)) {
            self.violation = Some(format!("ticket {lost} was acknowledged and is lost"));
        }
    }
}

fn values<'a>(entries: impl Iterator<Item = &'a Entry>) -> Vec<u64> {
    let data = entries.filter_map(|e| match &e.payload {
        Payload::Data(data) => Some(u64::from_le_bytes(data[..8].try_into().expect("a number"))),
        _ => None,
    });
    data.collect()
}

/// Encodes each value in eight bytes and `padding` zero bytes.
fn pack(state: &[u64], padding: usize) -> Vec<u8> {
    let one = |v: &u64| v.to_le_bytes().into_iter().chain(std::iter::repeat_n(0, padding));
    state.iter().flat_map(one).collect()
}

fn unpack(data: &[u8], padding: usize) -> Vec<u64> {
    data.chunks(8 + padding).map(|c| u64::from_le_bytes(c[..8].try_into().expect("numbers"))).collect()
}

/// The coverage, or the violation and whether it is only that the group did not recover.
type Outcome = Result<Coverage, (bool, String)>;

fn run_seed(seed: u64, fault: Option<Fault>) -> Outcome {
    let mut sim = Sim::new(seed, fault);
    let until = sim.rng.u64(4000..8000) * MS;
    sim.run(until);
    sim.recover_and_check();
    if let Some(violation) = sim.violation {
        return Err((sim.not_recovered, violation));
    }
    let (leaders, acked) = (sim.checker.leaders.len(), sim.checker.acked.len());
    let committed = *sim.checker.committed.keys().last().expect("some");
    Ok(Coverage { leaders, acked, committed, ..sim.coverage })
}

/// Runs the seeds on several threads. With an injected fault it stops at the first safety violation.
fn run_seeds(seeds: std::ops::Range<u64>, fault: Option<Fault>) -> Vec<(u64, Outcome)> {
    let parts = 8;
    let caught = AtomicBool::new(false);
    let part = |p: u64| {
        let mut outcomes = Vec::new();
        for seed in seeds.clone().filter(|s| s % parts == p) {
            if fault.is_some() && caught.load(Relaxed) {
                break;
            }
            let result = run_seed(seed, fault);
            caught.fetch_or(matches!(result, Err((false, _))), Relaxed);
            outcomes.push((seed, result));
        }
        outcomes
    };
    std::thread::scope(|scope| {
        let part = &part;
        let threads: Vec<_> = (0..parts).map(|p| scope.spawn(move || part(p))).collect();
        threads.into_iter().flat_map(|t| t.join().expect("no panic")).collect()
    })
}

fn seeds(default: u64) -> std::ops::Range<u64> {
    let count = std::env::var("RATCHET_SEEDS").ok().and_then(|n| n.parse().ok());
    0..count.unwrap_or(default)
}

#[test]
fn random_failures_never_break_agreement_and_the_group_recovers() {
    let outcomes = run_seeds(seeds(240), None);
    let mut sum = Coverage::default();
    let mut wrong = Vec::new();
    for (seed, result) in outcomes {
        match result {
            Ok(seen) => {
                sum.leaders += seen.leaders;
                sum.committed += seen.committed;
                sum.acked += seen.acked;
                sum.reads += seen.reads;
                sum.lost += seen.lost;
                sum.wiped += seen.wiped;
                sum.copies += seen.copies;
                sum.installed += seen.installed;
                sum.memberships += seen.memberships;
            }
            Err(e) => wrong.push((seed, e)),
        }
    }
    wrong.sort();
    assert!(wrong.is_empty(), "{} seeds: {:#?}", wrong.len(), &wrong[..wrong.len().min(12)]);
    println!("{sum:?}");
    for (what, count) in [
        ("leaders", sum.leaders),
        ("reads", sum.reads),
        ("lost", sum.lost),
        ("wiped", sum.wiped),
        ("copies", sum.copies),
        ("installed", sum.installed),
        ("memberships", sum.memberships),
    ] {
        assert!(count > 100, "only {count} {what}");
    }
}

/// Shows that the checker detects violations: each injected fault has to be found.
#[test]
fn injected_faults_are_detected() {
    for fault in [
        Fault::AckBeforeSync,
        Fault::WipedDiskVotes,
        Fault::OldCopyVotes,
        Fault::CommitWithoutJoint,
        Fault::ForgetVote,
        Fault::ReadUnconfirmed,
    ] {
        let outcomes = run_seeds(seeds(2000), Some(fault));
        let caught: Vec<&String> = outcomes
            .iter()
            .filter_map(|(_, r)| r.as_ref().err())
            .filter(|(not_recovered, _)| !not_recovered)
            .map(|(_, e)| e)
            .collect();
        println!("{fault:?}: {} of {}, e.g. {:?}", caught.len(), outcomes.len(), caught.first());
        assert!(!caught.is_empty(), "{fault:?} is not detected in {} seeds", outcomes.len());
    }
}

/// Three founders with a leader, and no failures but those that the test injects.
fn three_members(seed: u64) -> (Sim, usize) {
    fault_free_group(seed, 3)
}

fn fault_free_group(seed: u64, members: usize) -> (Sim, usize) {
    let mut sim = Sim::new(seed, None);
    sim.queue.clear();
    (sim.founders, sim.failures_stopped, sim.timing) = (members, true, Timing::default());
    let founding = sim.founding();
    sim.nodes = (0..members).map(|_| Node::new(0, founding.clone())).collect();
    (0..members).for_each(|node| sim.schedule(node as u64 * MS, Event::Start { node, incarnation: 0 }));
    sim.schedule(100 * MS, Event::Client);
    sim.run(4000 * MS);
    let leader = sim.leader().expect("elected");
    (sim, leader)
}

#[test]
fn a_member_that_restarts_often_or_is_cut_off_one_way_deposes_no_leader() {
    for seed in 0..8 {
        let (mut sim, leader) = three_members(seed);
        let (other, terms) = ((leader + 1) % 3, sim.checker.leaders.len());
        for cut in [(leader, other), (other, leader)] {
            sim.cut_links = BTreeSet::from([cut]);
            sim.run(sim.now + 5000 * MS);
        }
        for _ in 0..6 {
            sim.cut_links.clear();
            sim.isolate(other);
            sim.run(sim.now + 1200 * MS);
            sim.cut_links.clear();
            sim.restart(other, MS, 300 * MS);
            sim.run(sim.now + 700 * MS);
        }
        assert_eq!((sim.leader(), sim.checker.leaders.len()), (Some(leader), terms), "seed {seed}");
        assert_eq!(sim.violation, None);
    }
}

#[test]
fn a_leader_that_crashes_or_whose_disk_hangs_is_soon_replaced() {
    for seed in 0..16 {
        let (mut sim, leader) = three_members(seed);
        let hangs = seed % 2 == 0;
        if hangs {
            sim.nodes[leader].disk_hung = true;
        } else {
            sim.crash(leader);
        }
        // The disk write limit or the election timeout, then time for an election or two.
        sim.run(sim.now + if hangs { 1500 * MS } else { 900 * MS } + 800 * MS);
        assert!(sim.leader().is_some_and(|l| l != leader), "seed {seed}");
        let before = sim.checker.acked.len();
        sim.run(sim.now + 300 * MS);
        assert!(sim.checker.acked.len() > before && sim.violation.is_none(), "seed {seed}");
    }
}
