//! Model checking: explores every execution of a small group up to a number of steps, breadth first. The replicas are
//! the production code; the network loses, duplicates and reorders messages, and a disk keeps a write in progress or
//! not. The numbers of timeouts, restarts, proposals and so on are limited, so that each level is finite; within these
//! limits the exploration is exhaustive.
//!
//! A member's clock advances only when its next timer fires, independently of the others, so that any order of timeouts
//! is covered. Times are kept relative to now and random times are fixed, so that members that will act alike have
//! equal states.

use crate::core::Fault;
use crate::{
    Disk, Entry, Input, Member, Membership, Message, Micros, Output, Payload, PersistentState, Replica, Role,
    Timing, Write,
};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// The current time at every member: stored times are moved back instead of advancing it.
const NOW: Micros = 100_000_000;
/// Ranges of a single value, so that random times are fixed.
const TIMING: Timing = Timing {
    heartbeat_interval: 100_000,
    election_timeout: (500_000, 500_001),
    campaign_retry: (120_000, 120_001),
    disk_write_limit: 1_500_000,
    join_retry: 500_000,
    replace_after: 1_500_000,
    log_tail_entries: 0,
    snapshot_chunk_bytes: 1 << 10,
};
/// The first number of the disks that replace wiped ones.
const FIRST_NEW_DISK: Disk = 100;
/// The first number of the spares' disks.
const FIRST_SPARE_DISK: Disk = 50;

#[derive(Clone, Hash)]
struct Node {
    disk: Disk,
    saved: PersistentState,
    write: Option<Write>,
    consensus: Replica,
    wake: Micros,
    applied: u64,
}

#[derive(Clone, Hash)]
struct Packet {
    to: usize,
    from: usize,
    disk: Disk,
    message: Message,
}

/// A value with its hash, which is computed once.
struct Hashed<T>(u64, Arc<T>);

impl<T> Clone for Hashed<T> {
    fn clone(&self) -> Hashed<T> {
        Hashed(self.0, self.1.clone())
    }
}

impl<T: Hash> Hashed<T> {
    fn of(value: T) -> Hashed<T> {
        Hashed(hash_of(&value), Arc::new(value))
    }
}

fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// How often each kind of event may still happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Budget {
    /// Timers of members that aren't leaders, and heartbeats of leaders.
    timeouts: u8,
    heartbeats: u8,
    restarts: u8,
    wipes: u8,
    proposals: u8,
    reads: u8,
    duplicates: u8,
    snapshots: u8,
    stops: u8,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    /// Delivers a message and keeps a copy in the network.
    Duplicate(usize),
    Synced(usize),
    Timer(usize),
    Propose(usize),
    Read(usize),
    /// The process restarts; the flag tells whether the write in progress is on disk.
    Restart(usize, bool),
    Wipe(usize),
    /// The host hands over a snapshot.
    Snapshot(usize),
    /// The host is about to stop.
    PrepareToStop(usize),
}

/// What has happened, as far as later states are checked against it.
#[derive(Clone, Default, Hash)]
struct History {
    leaders: BTreeMap<u64, usize>,
    votes: BTreeMap<(usize, Disk, u64), Member>,
    committed: Vec<Entry>,
    reads: BTreeMap<(usize, u64), u64>,
    tickets: u64,
    wiped: u8,
    answered: u8,
}

#[derive(Clone)]
struct Model {
    nodes: Vec<Hashed<Node>>,
    founders: usize,
    /// Messages in flight, ordered by their hashes.
    net: Vec<Hashed<Packet>>,
    budget: Budget,
    history: Arc<History>,
    fault: Option<Fault>,
    violation: Option<String>,
}

fn member(node: usize) -> Member {
    Member::new(10, 0, 0, node as u8 + 1)
}

fn node_of(member: Member) -> usize {
    member.octets()[3] as usize - 1
}

/// Whether a disk has an entry, in the log or covered by its snapshot.
fn holds(saved: &PersistentState, entry: &Entry) -> bool {
    saved.snapshot.index >= entry.index || saved.entries.iter().any(|e| e == entry)
}

impl Model {
    fn new(members: usize, fault: Option<Fault>) -> Model {
        Model::with_spares(members, 0, fault)
    }

    fn with_spares(members: usize, spares: usize, fault: Option<Fault>) -> Model {
        let founding = PersistentState::founding((0..members).map(member));
        let mut model = Model {
            nodes: Vec::new(),
            founders: members,
            net: Vec::new(),
            budget: Budget::default(),
            history: Arc::default(),
            fault,
            violation: None,
        };
        let raw = |node| Hashed::of(model.node(node, 0, founding.clone()));
        let spare = |spare| {
            Hashed::of(model.node(
                members + spare,
                FIRST_SPARE_DISK + spare as Disk,
                PersistentState::empty(),
            ))
        };
        model.nodes = (0..members).map(raw).chain((0..spares).map(spare)).collect();
        (0..members + spares).for_each(|node| model.seeds(node));
        model
    }

    fn node(&self, node: usize, disk: Disk, saved: PersistentState) -> Node {
        let mut consensus = Replica::new(member(node), disk, saved.clone(), 0, TIMING, NOW);
        consensus.fault = self.fault;
        let applied = saved.snapshot.index;
        Node { disk, saved, write: None, consensus, wake: NOW, applied }
    }

    /// A process starts from what is on its disk; its pending reads are dropped.
    fn start(&mut self, n: usize, disk: Disk, saved: PersistentState) {
        self.nodes[n] = Hashed::of(self.node(n, disk, saved));
        Arc::make_mut(&mut self.history).reads.retain(|(node, _), _| *node != n);
        self.seeds(n);
    }

    fn seeds(&mut self, n: usize) {
        let seeds = (0..self.nodes.len()).filter(|other| *other != n).map(member).collect();
        self.input(n, NOW, Input::Seeds(seeds));
        if self.nodes.len() > self.founders {
            self.input(n, NOW, Input::TargetSize(self.founders));
        }
    }

    fn report(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (i, packet) in self.net.iter().enumerate() {
            if i > 0 && self.net[i - 1].0 == packet.0 {
                continue;
            }
            steps.push(Step::Deliver(i));
            if self.budget.duplicates > 0 {
                steps.push(Step::Duplicate(i));
            }
        }
        for (n, node) in self.nodes.iter().enumerate() {
            let (node, budget) = (&node.1, &self.budget);
            let leads = node.consensus.role() == Role::Leader;
            if node.write.is_some() {
                steps.push(Step::Synced(n));
            }
            if if leads { budget.heartbeats } else { budget.timeouts } > 0 {
                steps.push(Step::Timer(n));
            }
            if leads && budget.proposals > 0 {
                steps.push(Step::Propose(n));
            }
            if leads && budget.reads > 0 {
                steps.push(Step::Read(n));
            }
            if budget.restarts > 0 {
                steps.push(Step::Restart(n, false));
                if node.write.is_some() {
                    steps.push(Step::Restart(n, true));
                }
            }
            if budget.wipes > 0 {
                steps.push(Step::Wipe(n));
            }
            if budget.snapshots > 0 && node.applied > node.consensus.snapshot().index {
                steps.push(Step::Snapshot(n));
            }
            if budget.stops > 0 && node.consensus.is_voter() {
                steps.push(Step::PrepareToStop(n));
            }
        }
        steps
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Deliver(i) | Step::Duplicate(i) => {
                let packet = match step {
                    Step::Duplicate(_) => {
                        self.budget.duplicates -= 1;
                        self.net[i].clone()
                    }
                    _ => self.net.remove(i),
                };
                let Packet { to, from, disk, message } = (*packet.1).clone();
                self.input(to, NOW, Input::Message { from: member(from), from_disk: disk, message });
            }
            Step::Synced(n) => {
                let mut node = (*self.nodes[n].1).clone();
                let write = node.write.take().expect("in progress");
                write.apply(&mut node.saved);
                self.nodes[n].1 = Arc::new(node);
                self.input(n, NOW, Input::Written { number: write.number });
            }
            Step::Timer(n) => {
                let node = &self.nodes[n].1;
                match node.consensus.role() {
                    Role::Leader => self.budget.heartbeats -= 1,
                    _ => self.budget.timeouts -= 1,
                }
                let now = node.wake.max(NOW);
                self.input(n, now, Input::Tick);
            }
            Step::Propose(n) => {
                self.budget.proposals -= 1;
                let history = Arc::make_mut(&mut self.history);
                history.tickets += 1;
                let (ticket, data) = (history.tickets, history.tickets.to_le_bytes().to_vec());
                self.input(n, NOW, Input::Propose { ticket, data });
            }
            Step::Read(n) => {
                self.budget.reads -= 1;
                let history = Arc::make_mut(&mut self.history);
                history.tickets += 1;
                let ticket = history.tickets;
                history.reads.insert((n, ticket), history.committed.len() as u64);
                self.input(n, NOW, Input::Read { ticket });
            }
            Step::Restart(n, kept) => {
                self.budget.restarts -= 1;
                let mut saved = self.nodes[n].1.saved.clone();
                if let Some(write) = self.nodes[n].1.write.as_ref().filter(|_| kept) {
                    write.apply(&mut saved);
                }
                self.start(n, self.nodes[n].1.disk, saved);
            }
            Step::Wipe(n) => {
                self.budget.wipes -= 1;
                let history = Arc::make_mut(&mut self.history);
                history.wiped += 1;
                let (disk, saved) = match self.fault {
                    Some(Fault::WipedDiskVotes) => {
                        (0, PersistentState::founding((0..self.founders).map(member)))
                    }
                    _ => (FIRST_NEW_DISK + Disk::from(history.wiped), PersistentState::empty()),
                };
                self.start(n, disk, saved);
            }
            Step::Snapshot(n) => {
                self.budget.snapshots -= 1;
                let index = self.nodes[n].1.applied;
                self.input(n, NOW, Input::Snapshot { index, data: Vec::new() });
            }
            Step::PrepareToStop(n) => {
                self.budget.stops -= 1;
                self.input(n, NOW, Input::PrepareToStop);
            }
        }
        self.check_disks();
    }

    fn input(&mut self, n: usize, now: Micros, input: Input) {
        let mut node = (*self.nodes[n].1).clone();
        let mut out = Output::default();
        let was_leader = node.consensus.role() == Role::Leader;
        node.consensus.handle(now, input, &mut out);
        node.consensus.rebase(now - NOW);
        node.wake = out.wake_at.saturating_sub(now - NOW);
        let mut history = (*self.history).clone();
        if node.consensus.role() == Role::Leader {
            let term = node.consensus.term();
            if *history.leaders.entry(term).or_insert(n) != n {
                self.report(format!("two leaders of term {term}"));
            }
            let missing = history.committed.iter().find(|e| !node.consensus.holds(e.index, e.term));
            if let (false, Some(entry)) = (was_leader, missing) {
                self.report(format!(
                    "{n} leads term {term} without entry {}, which is committed",
                    entry.index
                ));
            }
        }
        if let Some(snapshot) = &out.installed {
            if snapshot.index < node.applied {
                self.report(format!("{n} goes back from {} to {}", node.applied, snapshot.index));
            }
            node.applied = snapshot.index;
        }
        for entry in out.committed {
            if entry.index != node.applied + 1 {
                self.report(format!("{n} applies {} after {}", entry.index, node.applied));
            }
            node.applied = entry.index;
            match history.committed.get(entry.index as usize - 1) {
                Some(first) if *first != entry => {
                    self.report(format!(
                        "{n} has another entry {} than the first committed one",
                        entry.index
                    ));
                }
                Some(_) => {}
                None if history.committed.len() as u64 + 1 == entry.index => history.committed.push(entry),
                None => self.report(format!("{n} applies {}, far ahead", entry.index)),
            }
        }
        for (ticket, result) in out.proposed {
            let data = Payload::Data(ticket.to_le_bytes().to_vec());
            if let Ok(index) = result
                && history.committed.get(index as usize - 1).is_none_or(|e| e.payload != data)
            {
                self.report(format!("{ticket} is acknowledged as {index}, where it is not"));
            }
        }
        for (ticket, result) in out.read {
            let min_index = history.reads.remove(&(n, ticket)).expect("asked for");
            if let Ok(index) = result {
                history.answered += 1;
                if index < min_index {
                    self.report(format!(
                        "{n} reads at {index}, {min_index} was committed before the request"
                    ));
                }
            }
        }
        for (to, message) in out.send {
            if let Message::VoteResponse { pre_vote: false, granted: true, term, .. } = message
                && *history.votes.entry((n, node.disk, term)).or_insert(to) != to
            {
                self.report(format!("{n} votes twice in term {term}"));
            }
            let to = node_of(to);
            if to < self.nodes.len() {
                let packet = Hashed::of(Packet { to, from: n, disk: node.disk, message });
                let place = self.net.partition_point(|p| p.0 < packet.0);
                self.net.insert(place, packet);
            }
        }
        if let Some(write) = out.write {
            assert!(node.write.is_none(), "one write at a time");
            node.write = Some(write);
        }
        self.nodes[n] = Hashed::of(node);
        self.history = Arc::new(history);
    }

    /// Checks that every committed entry is on the disks of a majority, as long as no disk was wiped.
    fn check_disks(&mut self) {
        if self.history.wiped > 0 {
            return;
        }
        let latest = self.history.committed.iter().rev().find_map(|e| e.payload.membership().cloned());
        let founders = || Membership { members: (0..self.founders).map(|n| (member(n), 0)).collect() };
        let membership = latest.unwrap_or_else(founders);
        let is_member = |(n, node): &(usize, &Hashed<Node>)| membership.contains(member(*n), node.1.disk);
        let lacking = self.history.committed.iter().find(|entry| {
            let members = self.nodes.iter().enumerate().filter(is_member);
            members.filter(|(_, n)| holds(&n.1.saved, entry)).count() <= membership.members.len() / 2
        });
        if let Some(index) = lacking.map(|e| e.index) {
            self.report(format!("entry {index} is committed and on no majority's disks"));
        }
    }

    fn hash(&self) -> u64 {
        let nodes: Vec<u64> = self.nodes.iter().map(|n| n.0).collect();
        let net: Vec<u64> = self.net.iter().map(|p| p.0).collect();
        hash_of(&(nodes, net, self.budget, &*self.history))
    }

    // Initial states

    /// Delivers all messages among these members and syncs all their writes until none is left. Messages to or from
    /// others are lost.
    fn deliver_all(&mut self, among: &[usize]) {
        for _ in 0..1000 {
            self.net.retain(|p| among.contains(&p.1.to) && among.contains(&p.1.from));
            match among.iter().find(|n| self.nodes[**n].1.write.is_some()) {
                Some(n) => self.step(Step::Synced(*n)),
                None if self.net.is_empty() => return,
                None => self.step(Step::Deliver(0)),
            }
        }
        panic!("the network does not become idle");
    }

    fn timeout(&mut self, n: usize, among: &[usize]) {
        (self.budget.timeouts, self.budget.heartbeats) = (1, 1);
        self.step(Step::Timer(n));
        self.deliver_all(among);
        self.budget = Budget::default();
    }

    fn propose(&mut self, n: usize, among: &[usize]) {
        self.budget.proposals = 1;
        self.step(Step::Propose(n));
        self.deliver_all(among);
        self.budget = Budget::default();
    }

    /// Lets enough time pass that this member may vote for a new leader.
    fn forget_leader(&mut self, n: usize) {
        let mut node = (*self.nodes[n].1).clone();
        let by = TIMING.election_timeout.0 - 1;
        node.consensus.rebase(by);
        node.wake -= by;
        self.nodes[n] = Hashed::of(node);
    }

    /// Member 0 leads, and all know that its first entry is committed.
    fn with_leader(members: usize, fault: Option<Fault>) -> Model {
        let mut model = Model::new(members, fault);
        let all: Vec<usize> = (0..members).collect();
        model.timeout(0, &all);
        model.timeout(0, &all);
        assert!(model.nodes.iter().all(|n| n.1.applied == 1));
        model
    }

    /// A bare majority with the leader has committed one more entry. All but the leader may vote for another.
    fn partitioned(members: usize, fault: Option<Fault>) -> Model {
        let mut model = Model::with_leader(members, fault);
        let near: Vec<usize> = (0..=members / 2).collect();
        model.propose(0, &near);
        assert_eq!(model.history.committed.len(), 2);
        (1..members).for_each(|n| model.forget_leader(n));
        model
    }

    /// The same, and the leader has compacted its log, so that a member that lags needs the snapshot.
    fn compacted(members: usize, fault: Option<Fault>) -> Model {
        let mut model = Model::with_leader(members, fault);
        let near: Vec<usize> = (0..=members / 2).collect();
        model.propose(0, &near);
        model.budget.snapshots = 1;
        model.step(Step::Snapshot(0));
        model.deliver_all(&near);
        model.budget = Budget::default();
        model
    }

    /// The others follow member 1, which has committed an entry; the previous leader doesn't know.
    fn with_unaware_leader(members: usize, fault: Option<Fault>) -> Model {
        let mut model = Model::with_leader(members, fault);
        (1..members).for_each(|n| model.forget_leader(n));
        let others: Vec<usize> = (1..members).collect();
        model.timeout(1, &others);
        assert_eq!((model.history.leaders.len(), model.history.committed.len()), (2, 2));
        model
    }

    /// Members 0 and 1 are candidates in the same term.
    fn two_candidates(members: usize, fault: Option<Fault>) -> Model {
        let mut model = Model::new(members, fault);
        model.budget.timeouts = 2;
        model.step(Step::Timer(0));
        model.step(Step::Timer(1));
        model.budget = Budget::default();
        let first = |p: &Hashed<Packet>| {
            matches!(
                p.1.message,
                Message::RequestVote { pre_vote: true, .. } | Message::VoteResponse { pre_vote: true, .. }
            )
        };
        loop {
            if let Some(i) = model.net.iter().position(first) {
                model.step(Step::Deliver(i));
            } else if let Some(n) = model.nodes.iter().position(|n| n.1.write.is_some()) {
                model.step(Step::Synced(n));
            } else {
                return model;
            }
        }
    }

    /// All have a committed entry, and a chunk of an older snapshot is still in flight to the last member.
    fn with_delayed_chunk(members: usize, fault: Option<Fault>) -> Model {
        let mut model = Model::compacted(members, fault);
        let (last, all) = (members - 1, (0..members).collect::<Vec<usize>>());
        model.budget.heartbeats = 1;
        model.step(Step::Timer(0));
        let part =
            |p: &Hashed<Packet>| p.1.to == last && matches!(p.1.message, Message::SnapshotChunk { .. });
        let between = |p: &Hashed<Packet>| [0, last].contains(&p.1.to) && [0, last].contains(&p.1.from);
        let late = loop {
            match model.net.iter().find(|p| part(p)) {
                Some(late) => break late.clone(),
                None => {
                    let i = model.net.iter().position(between).expect("messages in flight");
                    model.step(Step::Deliver(i));
                }
            }
        };
        model.deliver_all(&all);
        model.propose(0, &all);
        model.timeout(0, &all);
        assert!(model.nodes.iter().all(|n| n.1.applied == 3));
        model.net.push(late);
        model
    }

    /// `spares` spares are learners and have caught up.
    fn with_caught_up_spares(members: usize, spares: usize, fault: Option<Fault>) -> Model {
        let mut model = Model::with_spares(members, spares, fault);
        let all: Vec<usize> = (0..members).collect();
        model.timeout(0, &all);
        model.timeout(0, &all);
        for spare in members..members + spares {
            model.timeout(spare, &[0, spare]);
        }
        let everybody: Vec<usize> = (0..members + spares).collect();
        model.timeout(0, &everybody);
        assert!(model.nodes.iter().all(|n| n.1.applied == 1), "all hold the first entry");
        model
    }

    /// This member has reported that it is leaving, and the leader has proposed a membership without it that no other
    /// member has received yet.
    fn start_leaving(&mut self, n: usize) {
        self.budget.stops = 1;
        self.step(Step::PrepareToStop(n));
        if n != 0 {
            let leave = |p: &Hashed<Packet>| p.1.to == 0 && matches!(p.1.message, Message::Leaving { .. });
            let i = self.net.iter().position(leave).expect("it says so");
            self.step(Step::Deliver(i));
        }
        self.budget = Budget::default();
    }

    /// A spare is to replace the last founder; only the leader has the entry.
    fn replacement_proposed(members: usize, fault: Option<Fault>) -> Model {
        let mut model = Model::with_caught_up_spares(members, 1, fault);
        model.start_leaving(members - 1);
        (1..members).for_each(|n| model.forget_leader(n));
        model
    }

    /// A spare is to replace the leader itself.
    fn leader_replacement_proposed(members: usize, fault: Option<Fault>) -> Model {
        let mut model = Model::with_caught_up_spares(members, 1, fault);
        model.start_leaving(0);
        (1..members).for_each(|n| model.forget_leader(n));
        model
    }

    /// Two sides: the leader and the new member with as few others as make a majority of the new membership; and the
    /// rest, which is a majority of the old membership.
    fn sides(members: usize) -> (Vec<usize>, Vec<usize>) {
        let far = members / 2;
        ([0, members].into_iter().chain(1..far).collect(), (far..members).collect())
    }

    /// A majority of the new membership that is no majority of the old one has the entry.
    fn half_replaced(members: usize, fault: Option<Fault>) -> Model {
        let mut model = Model::replacement_proposed(members, fault);
        let (near, _) = Model::sides(members);
        model.deliver_all(&near);
        model
    }

    /// The same with two members leaving and two new ones, who make up the new majority with the leader.
    fn half_replaced_twice(members: usize, fault: Option<Fault>) -> Model {
        let mut model = Model::with_caught_up_spares(members, 2, fault);
        let (mut near, far) = Model::sides(members);
        near.push(members + 1);
        model.start_leaving(members - 1);
        model.start_leaving(members - 2);
        far.iter().for_each(|n| model.forget_leader(*n));
        model.deliver_all(&near);
        model
    }

    /// As `half_replaced`; the other side has elected a new leader, and the old one was restarted.
    fn half_replaced_and_new_leader(members: usize, fault: Option<Fault>) -> Model {
        let mut model = Model::half_replaced(members, fault);
        let (near, far) = Model::sides(members);
        model.timeout(far[0], &far);
        model.budget.restarts = 1;
        model.step(Step::Restart(0, false));
        near.iter().for_each(|n| model.forget_leader(*n));
        model.budget = Budget::default();
        model
    }

    /// The new membership is committed and known to all but one remaining member: the leader, the new member and the
    /// one that left know it.
    fn replaced(members: usize, fault: Option<Fault>) -> Model {
        let mut model = Model::with_caught_up_spares(members, 2, fault);
        let lags = members / 2;
        let others: Vec<usize> = (0..=members).filter(|n| *n != lags).collect();
        model.start_leaving(members - 1);
        model.deliver_all(&others);
        model.timeout(0, &others);
        assert!(model.nodes[members].1.consensus.is_voter() && model.history.committed.len() == 2);
        (1..=members).for_each(|n| model.forget_leader(n));
        model
    }

    /// The same, and the leader has proposed to replace the member that lags, which is leaving, by another spare.
    fn replaced_again(members: usize, fault: Option<Fault>) -> Model {
        let mut model = Model::replaced(members, fault);
        let lags = members / 2;
        model.timeout(0, &(0..members).collect::<Vec<_>>());
        model.timeout(0, &[0, members + 1]);
        model.forget_leader(lags);
        model.start_leaving(lags);
        assert!(model.nodes[0].1.consensus.membership().members.contains_key(&member(members + 1)));
        model
    }

    /// All know the new membership. A majority of it has committed one more entry; the others, including the one that
    /// left, may vote for another leader.
    fn replaced_and_partitioned(members: usize, fault: Option<Fault>) -> Model {
        let mut model = Model::replacement_proposed(members, fault);
        let all: Vec<usize> = (0..=members).collect();
        let (near, far) = Model::sides(members);
        model.deliver_all(&all);
        model.timeout(0, &all);
        model.propose(0, &near);
        assert_eq!(model.history.committed.len(), 3);
        far.iter().for_each(|n| model.forget_leader(*n));
        model
    }

    /// The same, but one member lagged and has received the new membership by a snapshot.
    fn replaced_and_compacted(members: usize, fault: Option<Fault>) -> Model {
        let mut model = Model::replaced(members, fault);
        let (near, far) = Model::sides(members);
        model.budget.snapshots = 1;
        model.step(Step::Snapshot(0));
        let lags = members / 2;
        model.deliver_all(&[0, lags]);
        model.timeout(0, &[0, lags]);
        model.timeout(0, &[0, lags]);
        assert_eq!(model.nodes[lags].1.applied, 2);
        model.propose(0, &near);
        far.iter().for_each(|n| model.forget_leader(*n));
        model
    }

    /// This member runs a pre-vote among these members, and if it succeeds is about to request votes.
    fn run_pre_vote(mut self, n: usize, among: &[usize]) -> Model {
        self.budget.timeouts = 1;
        self.step(Step::Timer(n));
        self.budget = Budget::default();
        let first = |p: &Hashed<Packet>| {
            let pre_vote = matches!(
                p.1.message,
                Message::RequestVote { pre_vote: true, .. } | Message::VoteResponse { pre_vote: true, .. }
            );
            pre_vote && among.contains(&p.1.to) && among.contains(&p.1.from)
        };
        while let Some(i) = self.net.iter().position(first) {
            self.step(Step::Deliver(i));
        }
        self.net.retain(|p| among.contains(&p.1.to) && among.contains(&p.1.from));
        self
    }

    /// The first member of the side without the leader runs a pre-vote there.
    fn far_side_runs_pre_vote(self) -> Model {
        let (_, far) = Model::sides(self.founders);
        self.run_pre_vote(far[0], &far)
    }

    /// A disk was lost. Its machine is back with another one and has sent a join request to the leader.
    fn disk_replaced(members: usize, fault: Option<Fault>) -> Model {
        let mut model = Model::partitioned(members, fault);
        model.budget = Budget { wipes: 1, ..Budget::default() };
        model.step(Step::Wipe(1));
        model.net.retain(|p| p.1.to == 0);
        model.budget = Budget::default();
        model
    }
}

/// The result of an exploration.
#[derive(Clone, Debug, Default)]
struct Exploration {
    states: usize,
    levels: usize,
    /// No step was possible in any state of the last level.
    exhausted: bool,
    terms: usize,
    committed: usize,
    reads: usize,
    memberships: usize,
    /// The first violation found, with a shortest path to it.
    violation: Option<String>,
}

/// Explores all executions of up to `depth` steps. Panics beyond `max_states` states.
fn explore(start: Model, budget: Budget, depth: usize, max_states: usize) -> Exploration {
    let mut start = start;
    start.budget = budget;
    let mut seen = HashSet::from([start.hash()]);
    // How each state was reached: its predecessor and the step.
    let mut paths: Vec<(u32, Step)> = vec![(0, Step::Timer(0))];
    let mut level = vec![(0u32, start.clone())];
    let mut found = Exploration { states: 1, ..Exploration::default() };
    for at in 1..=depth {
        let threads = 4.min(level.len().div_ceil(64));
        let part = level.len().div_ceil(threads);
        let next = |states: &[(u32, Model)]| {
            let mut made: Vec<(u64, u32, Step, Model)> = Vec::new();
            for (from, model) in states {
                for step in model.steps() {
                    let mut next = model.clone();
                    next.step(step);
                    let hash = next.hash();
                    if !seen.contains(&hash) {
                        made.push((hash, *from, step, next));
                    }
                }
            }
            made
        };
        let made: Vec<Vec<_>> = std::thread::scope(|scope| {
            let next = &next;
            let threads: Vec<_> =
                level.chunks(part).map(|states| scope.spawn(move || next(states))).collect();
            threads.into_iter().map(|t| t.join().expect("no panic")).collect()
        });
        level = Vec::new();
        for (hash, from, step, model) in made.into_iter().flatten() {
            if !seen.insert(hash) {
                continue;
            }
            paths.push((from, step));
            let path = paths.len() as u32 - 1;
            if let Some(wrong) = &model.violation {
                found.violation =
                    Some(format!("{wrong}, after {at} steps: {}", describe_path(&start, &paths, path)));
                (found.states, found.levels) = (paths.len(), at);
                return found;
            }
            found.terms = found.terms.max(model.history.leaders.len());
            found.committed = found.committed.max(model.history.committed.len());
            found.reads = found.reads.max(model.history.answered as usize);
            let memberships = model.history.committed.iter().filter(|e| e.payload.membership().is_some());
            found.memberships = found.memberships.max(memberships.count());
            level.push((path, model));
        }
        (found.states, found.levels, found.exhausted) = (paths.len(), at, level.is_empty());
        assert!(found.states <= max_states, "more than {max_states} states at level {at}");
        if level.is_empty() {
            break;
        }
    }
    found
}

/// Describes the steps that lead to a state.
fn describe_path(start: &Model, paths: &[(u32, Step)], to: u32) -> String {
    let mut steps = Vec::new();
    let mut at = to;
    while at != 0 {
        let (from, step) = paths[at as usize];
        steps.push(step);
        at = from;
    }
    let mut model = start.clone();
    let mut words = Vec::new();
    for step in steps.into_iter().rev() {
        words.push(match step {
            Step::Deliver(i) | Step::Duplicate(i) => {
                let Packet { to, from, message, .. } = &*model.net[i].1;
                let kind = format!("{message:?}");
                format!("{from} to {to}: {}", kind.split([' ', '(']).next().unwrap_or_default())
            }
            other => format!("{other:?}"),
        });
        model.step(step);
    }
    words.join("; ")
}

type Scenario = fn(usize, Option<Fault>) -> Model;

const NO_EVENTS: Budget = Budget {
    timeouts: 0,
    heartbeats: 0,
    restarts: 0,
    wipes: 0,
    proposals: 0,
    reads: 0,
    duplicates: 0,
    snapshots: 0,
    stops: 0,
};

/// The initial states, the events that may happen, and the numbers of steps with three members and with five.
const SCENARIOS: [(&str, Scenario, Budget, [usize; 2]); 14] = [
    ("founding", Model::new, Budget { timeouts: 2, restarts: 1, proposals: 1, ..NO_EVENTS }, [8, 6]),
    (
        "with leader",
        Model::with_leader,
        Budget { timeouts: 2, heartbeats: 1, restarts: 1, proposals: 1, reads: 1, ..NO_EVENTS },
        [6, 4],
    ),
    (
        "partitioned",
        Model::partitioned,
        Budget { timeouts: 2, heartbeats: 1, restarts: 1, reads: 1, ..NO_EVENTS },
        [6, 4],
    ),
    (
        "compacted",
        Model::compacted,
        Budget { heartbeats: 1, duplicates: 1, proposals: 1, restarts: 1, ..NO_EVENTS },
        [7, 5],
    ),
    (
        "disk replaced",
        Model::disk_replaced,
        Budget { heartbeats: 1, timeouts: 2, proposals: 1, duplicates: 1, ..NO_EVENTS },
        [6, 4],
    ),
    (
        "unaware leader",
        Model::with_unaware_leader,
        Budget { heartbeats: 2, timeouts: 1, proposals: 1, reads: 1, ..NO_EVENTS },
        [6, 4],
    ),
    (
        "two candidates",
        Model::two_candidates,
        Budget { timeouts: 1, restarts: 1, duplicates: 1, ..NO_EVENTS },
        [5, 4],
    ),
    (
        "delayed chunk",
        Model::with_delayed_chunk,
        Budget { timeouts: 1, heartbeats: 1, restarts: 1, duplicates: 1, ..NO_EVENTS },
        [6, 4],
    ),
    (
        "replacement proposed",
        Model::replacement_proposed,
        Budget { timeouts: 2, heartbeats: 1, restarts: 1, proposals: 1, ..NO_EVENTS },
        [5, 4],
    ),
    (
        "leader replacement proposed",
        Model::leader_replacement_proposed,
        Budget { timeouts: 2, heartbeats: 1, restarts: 1, ..NO_EVENTS },
        [5, 4],
    ),
    (
        "half replaced, new leader",
        Model::half_replaced_and_new_leader,
        Budget { timeouts: 2, heartbeats: 1, restarts: 1, ..NO_EVENTS },
        [6, 4],
    ),
    (
        "replaced",
        Model::replaced,
        Budget { timeouts: 2, heartbeats: 1, restarts: 1, stops: 1, ..NO_EVENTS },
        [5, 4],
    ),
    (
        "replaced again",
        Model::replaced_again,
        Budget { timeouts: 2, heartbeats: 1, restarts: 1, ..NO_EVENTS },
        [5, 4],
    ),
    (
        "replaced, a disk lost",
        Model::replaced,
        Budget { timeouts: 2, heartbeats: 1, wipes: 1, ..NO_EVENTS },
        [5, 4],
    ),
];

fn explore_scenarios(five: bool, deeper: usize) {
    let (mut states, mut reads) = (0, 0);
    for (name, start, budget, depth) in SCENARIOS {
        let members = if five { 5 } else { 3 };
        let found = explore(start(members, None), budget, depth[usize::from(five)] + deeper, 4_000_000);
        println!("{members} members, {name}: {found:?}");
        assert_eq!(found.violation, None, "{name}");
        (states, reads) = (states + found.states, reads + found.reads);
    }
    assert!(states > 5_000 && (five || reads > 0), "{states} states, {reads} reads");
}

#[test]
fn no_execution_of_three_members_breaks_agreement() {
    explore_scenarios(false, 0);
}

#[test]
fn no_execution_of_five_members_breaks_agreement() {
    explore_scenarios(true, 0);
}

/// Takes some minutes and under 3 GB in a release build:
/// `cargo test -p curlewfront-consensus --release -- --ignored deeper`
#[test]
#[ignore = "long"]
fn no_deeper_execution_breaks_agreement() {
    explore_scenarios(false, 3);
    explore_scenarios(true, 2);
}

#[test]
fn every_injected_fault_is_found() {
    let restarts = Budget { proposals: 1, restarts: 1, ..NO_EVENTS };
    let once = Budget { timeouts: 1, ..NO_EVENTS };
    let near_side_runs_pre_vote: Scenario =
        |m, f| Model::half_replaced_and_new_leader(m, f).run_pre_vote(0, &Model::sides(m).0);
    let faults: [(Fault, Scenario, Budget, usize); 11] = [
        (Fault::AckBeforeSync, Model::with_leader, restarts, 6),
        (Fault::ForgetVote, Model::two_candidates, restarts, 8),
        (Fault::WipedDiskVotes, Model::partitioned, Budget { wipes: 1, ..once }, 13),
        (Fault::ReadUnconfirmed, Model::with_unaware_leader, Budget { reads: 1, ..NO_EVENTS }, 2),
        (Fault::StaleSnapshotInstalled, Model::with_delayed_chunk, NO_EVENTS, 2),
        (Fault::ElectWithoutJoint, near_side_runs_pre_vote, NO_EVENTS, 14),
        (
            Fault::CommitWithoutJoint,
            |m, f| Model::half_replaced(m, f).far_side_runs_pre_vote(),
            NO_EVENTS,
            14,
        ),
        (Fault::NewMemberCountsAsUpToDate, Model::replacement_proposed, NO_EVENTS, 8),
        (
            Fault::OverlappingChanges,
            |m, f| Model::half_replaced_twice(m, f).far_side_runs_pre_vote(),
            NO_EVENTS,
            14,
        ),
        (
            Fault::PreviousMembershipElects,
            |m, f| Model::replaced_and_partitioned(m, f).far_side_runs_pre_vote(),
            NO_EVENTS,
            14,
        ),
        (
            Fault::SnapshotMembershipLost,
            |m, f| Model::replaced_and_compacted(m, f).far_side_runs_pre_vote(),
            NO_EVENTS,
            14,
        ),
    ];
    for members in [3, 5] {
        for (fault, start, budget, depth) in faults {
            let found = explore(start(members, Some(fault)), budget, depth, 400_000);
            println!("{members} members, {fault:?}: {found:?}");
            assert!(found.violation.is_some(), "{members} {fault:?}: {found:?}");
            if budget == NO_EVENTS {
                let unfaulted = explore(start(members, None), budget, found.levels, 400_000);
                assert_eq!(unfaulted.violation, None, "{members}, without {fault:?}");
            }
        }
    }
}
