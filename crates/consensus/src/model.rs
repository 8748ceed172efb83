//! Every course that a small group can take up to a number of steps, level by level: members as they are in service,
//! a net that loses, doubles and reorders, disks that keep a write under way or not. What may go wrong is counted out
//! (so many elections, ends, proposals), so that each level is finite; within that nothing is left out.
//!
//! A member's clock runs only when its next time is due, each by itself: any order of time-outs is among the courses.
//! Times are kept as differences, and the drawn ones are alike, so that members that will act alike are alike.

use crate::core::Fault;
use crate::{
    Disk, Entry, Input, Member, Message, Micros, Output, Payload, Ratchet, Role, Roster, Saved, Timing, Write,
};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// The time at every member, always.
const NOW: Micros = 100_000_000;
/// No times are drawn but these.
const TIMING: Timing = Timing {
    heartbeat: 100_000,
    election: (500_000, 500_001),
    retry: (120_000, 120_001),
    disk: 1_500_000,
    hello: 500_000,
    gone: 1_500_000,
    tail: 0,
    part: 1 << 10,
};
/// Disks that were made anew count from here.
const ANEW: Disk = 100;
/// Those of spares.
const SPARE: Disk = 50;

#[derive(Clone, Hash)]
struct Node {
    disk: Disk,
    saved: Saved,
    write: Option<Write>,
    consensus: Ratchet,
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

/// A value beside its hash, which is taken once.
struct Sum<T>(u64, Arc<T>);

impl<T> Clone for Sum<T> {
    fn clone(&self) -> Sum<T> {
        Sum(self.0, self.1.clone())
    }
}

impl<T: Hash> Sum<T> {
    fn of(value: T) -> Sum<T> {
        Sum(sum(&value), Arc::new(value))
    }
}

fn sum(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// How often each may still happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Left {
    /// Time-outs of those that do not lead, and beats of those that do.
    times: u8,
    beats: u8,
    ends: u8,
    wipes: u8,
    proposals: u8,
    reads: u8,
    doubles: u8,
    folds: u8,
    leaves: u8,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    /// Delivered, and still on its way.
    Double(usize),
    Synced(usize),
    Time(usize),
    Propose(usize),
    Read(usize),
    /// The process ends and begins anew; whether the write under way is on disk.
    End(usize, bool),
    Wipe(usize),
    /// The host hands a snapshot.
    Fold(usize),
    /// The host is about to stop.
    Leave(usize),
}

/// What has happened, as far as it has to hold later.
#[derive(Clone, Default, Hash)]
struct Judge {
    leaders: BTreeMap<u64, usize>,
    votes: BTreeMap<(usize, Disk, u64), Member>,
    committed: Vec<Entry>,
    reads: BTreeMap<(usize, u64), u64>,
    tickets: u64,
    wiped: u8,
    answered: u8,
}

#[derive(Clone)]
struct World {
    nodes: Vec<Sum<Node>>,
    founders: usize,
    /// In order of their hashes.
    net: Vec<Sum<Packet>>,
    left: Left,
    judge: Arc<Judge>,
    fault: Option<Fault>,
    wrong: Option<String>,
}

fn member(node: usize) -> Member {
    Member::new(10, 0, 0, node as u8 + 1)
}

fn at(member: Member) -> usize {
    member.octets()[3] as usize - 1
}

/// Whether a disk has an entry, as such or within its snapshot.
fn holds(saved: &Saved, entry: &Entry) -> bool {
    saved.snapshot.index >= entry.index || saved.entries.iter().any(|e| e == entry)
}

impl World {
    fn new(members: usize, fault: Option<Fault>) -> World {
        World::with_spares(members, 0, fault)
    }

    fn with_spares(members: usize, spares: usize, fault: Option<Fault>) -> World {
        let founding = Saved::founding((0..members).map(member));
        let mut world = World {
            nodes: Vec::new(),
            founders: members,
            net: Vec::new(),
            left: Left::default(),
            judge: Arc::default(),
            fault,
            wrong: None,
        };
        let raw = |node| Sum::of(world.node(node, 0, founding.clone()));
        let spare = |spare| Sum::of(world.node(members + spare, SPARE + spare as Disk, Saved::blank()));
        world.nodes = (0..members).map(raw).chain((0..spares).map(spare)).collect();
        (0..members + spares).for_each(|node| world.seeds(node));
        world
    }

    fn node(&self, node: usize, disk: Disk, saved: Saved) -> Node {
        let mut consensus = Ratchet::new(member(node), disk, saved.clone(), 0, TIMING, NOW);
        consensus.fault = self.fault;
        let applied = saved.snapshot.index;
        Node { disk, saved, write: None, consensus, wake: NOW, applied }
    }

    /// A process begins on what the disk holds; what it had asked for before is nobody's any more.
    fn start(&mut self, n: usize, disk: Disk, saved: Saved) {
        self.nodes[n] = Sum::of(self.node(n, disk, saved));
        Arc::make_mut(&mut self.judge).reads.retain(|(node, _), _| *node != n);
        self.seeds(n);
    }

    fn seeds(&mut self, n: usize) {
        let seeds = (0..self.nodes.len()).filter(|other| *other != n).map(member).collect();
        self.input(n, NOW, Input::Seeds(seeds));
        if self.nodes.len() > self.founders {
            self.input(n, NOW, Input::Size(self.founders));
        }
    }

    fn wrong(&mut self, what: String) {
        self.wrong.get_or_insert(what);
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (i, packet) in self.net.iter().enumerate() {
            if i > 0 && self.net[i - 1].0 == packet.0 {
                continue;
            }
            steps.push(Step::Deliver(i));
            if self.left.doubles > 0 {
                steps.push(Step::Double(i));
            }
        }
        for (n, node) in self.nodes.iter().enumerate() {
            let (node, left) = (&node.1, &self.left);
            let leads = node.consensus.role() == Role::Leader;
            if node.write.is_some() {
                steps.push(Step::Synced(n));
            }
            if if leads { left.beats } else { left.times } > 0 {
                steps.push(Step::Time(n));
            }
            if leads && left.proposals > 0 {
                steps.push(Step::Propose(n));
            }
            if leads && left.reads > 0 {
                steps.push(Step::Read(n));
            }
            if left.ends > 0 {
                steps.push(Step::End(n, false));
                if node.write.is_some() {
                    steps.push(Step::End(n, true));
                }
            }
            if left.wipes > 0 {
                steps.push(Step::Wipe(n));
            }
            if left.folds > 0 && node.applied > node.consensus.snapshot().index {
                steps.push(Step::Fold(n));
            }
            if left.leaves > 0 && node.consensus.standing() {
                steps.push(Step::Leave(n));
            }
        }
        steps
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Deliver(i) | Step::Double(i) => {
                let packet = match step {
                    Step::Double(_) => {
                        self.left.doubles -= 1;
                        self.net[i].clone()
                    }
                    _ => self.net.remove(i),
                };
                let Packet { to, from, disk, message } = (*packet.1).clone();
                self.input(to, NOW, Input::Message { from: member(from), from_disk: disk, message });
            }
            Step::Synced(n) => {
                let mut node = (*self.nodes[n].1).clone();
                let write = node.write.take().expect("under way");
                write.apply(&mut node.saved);
                self.nodes[n].1 = Arc::new(node);
                self.input(n, NOW, Input::Written { number: write.number });
            }
            Step::Time(n) => {
                let node = &self.nodes[n].1;
                match node.consensus.role() {
                    Role::Leader => self.left.beats -= 1,
                    _ => self.left.times -= 1,
                }
                let now = node.wake.max(NOW);
                self.input(n, now, Input::Tick);
            }
            Step::Propose(n) => {
                self.left.proposals -= 1;
                let judge = Arc::make_mut(&mut self.judge);
                judge.tickets += 1;
                let (ticket, data) = (judge.tickets, judge.tickets.to_le_bytes().to_vec());
                self.input(n, NOW, Input::Propose { ticket, data });
            }
            Step::Read(n) => {
                self.left.reads -= 1;
                let judge = Arc::make_mut(&mut self.judge);
                judge.tickets += 1;
                let ticket = judge.tickets;
                judge.reads.insert((n, ticket), judge.committed.len() as u64);
                self.input(n, NOW, Input::Read { ticket });
            }
            Step::End(n, kept) => {
                self.left.ends -= 1;
                let mut saved = self.nodes[n].1.saved.clone();
                if let Some(write) = self.nodes[n].1.write.as_ref().filter(|_| kept) {
                    write.apply(&mut saved);
                }
                self.start(n, self.nodes[n].1.disk, saved);
            }
            Step::Wipe(n) => {
                self.left.wipes -= 1;
                let judge = Arc::make_mut(&mut self.judge);
                judge.wiped += 1;
                let (disk, saved) = match self.fault {
                    Some(Fault::WipedVotes) => (0, Saved::founding((0..self.founders).map(member))),
                    _ => (ANEW + Disk::from(judge.wiped), Saved::blank()),
                };
                self.start(n, disk, saved);
            }
            Step::Fold(n) => {
                self.left.folds -= 1;
                let index = self.nodes[n].1.applied;
                self.input(n, NOW, Input::Snapshot { index, data: Vec::new() });
            }
            Step::Leave(n) => {
                self.left.leaves -= 1;
                self.input(n, NOW, Input::Yield);
            }
        }
        self.check_disks();
    }

    fn input(&mut self, n: usize, now: Micros, input: Input) {
        let mut node = (*self.nodes[n].1).clone();
        let mut out = Output::default();
        let led = node.consensus.role() == Role::Leader;
        node.consensus.handle(now, input, &mut out);
        node.consensus.rebase(now - NOW);
        node.wake = out.wake_at.saturating_sub(now - NOW);
        let mut judge = (*self.judge).clone();
        if node.consensus.role() == Role::Leader {
            let term = node.consensus.term();
            if *judge.leaders.entry(term).or_insert(n) != n {
                self.wrong(format!("two leaders of term {term}"));
            }
            let lacks = judge.committed.iter().find(|e| !node.consensus.holds(e.index, e.term));
            if let (false, Some(entry)) = (led, lacks) {
                self.wrong(format!("{n} leads term {term} without entry {}, which counts", entry.index));
            }
        }
        if let Some(snapshot) = &out.installed {
            if snapshot.index < node.applied {
                self.wrong(format!("{n} goes back from {} to {}", node.applied, snapshot.index));
            }
            node.applied = snapshot.index;
        }
        for entry in out.committed {
            if entry.index != node.applied + 1 {
                self.wrong(format!("{n} applies {} after {}", entry.index, node.applied));
            }
            node.applied = entry.index;
            match judge.committed.get(entry.index as usize - 1) {
                Some(first) if *first != entry => {
                    self.wrong(format!("{n} has another entry {} than the first that counted", entry.index));
                }
                Some(_) => {}
                None if judge.committed.len() as u64 + 1 == entry.index => judge.committed.push(entry),
                None => self.wrong(format!("{n} applies {}, far ahead", entry.index)),
            }
        }
        for (ticket, result) in out.proposed {
            let data = Payload::Data(ticket.to_le_bytes().to_vec());
            if let Ok(index) = result
                && judge.committed.get(index as usize - 1).is_none_or(|e| e.payload != data)
            {
                self.wrong(format!("{ticket} is acknowledged as {index}, where it is not"));
            }
        }
        for (ticket, result) in out.read {
            let least = judge.reads.remove(&(n, ticket)).expect("asked for");
            if let Ok(index) = result {
                judge.answered += 1;
                if index < least {
                    self.wrong(format!("{n} reads at {index}, {least} counted before it was asked"));
                }
            }
        }
        for (to, message) in out.send {
            if let Message::Vote { pre: false, granted: true, term, .. } = message
                && *judge.votes.entry((n, node.disk, term)).or_insert(to) != to
            {
                self.wrong(format!("{n} votes twice in term {term}"));
            }
            let to = at(to);
            if to < self.nodes.len() {
                let packet = Sum::of(Packet { to, from: n, disk: node.disk, message });
                let place = self.net.partition_point(|p| p.0 < packet.0);
                self.net.insert(place, packet);
            }
        }
        if let Some(write) = out.write {
            assert!(node.write.is_none(), "one write at a time");
            node.write = Some(write);
        }
        self.nodes[n] = Sum::of(node);
        self.judge = Arc::new(judge);
    }

    /// What counts is on a majority's disks at any time, as long as none was taken away.
    fn check_disks(&mut self) {
        if self.judge.wiped > 0 {
            return;
        }
        let made = self.judge.committed.iter().rev().find_map(|e| e.payload.roster().cloned());
        let founders = || Roster { members: (0..self.founders).map(|n| (member(n), 0)).collect() };
        let roster = made.unwrap_or_else(founders);
        let named = |(n, node): &(usize, &Sum<Node>)| roster.names(member(*n), node.1.disk);
        let lacking = self.judge.committed.iter().find(|entry| {
            let members = self.nodes.iter().enumerate().filter(named);
            members.filter(|(_, n)| holds(&n.1.saved, entry)).count() <= roster.members.len() / 2
        });
        if let Some(index) = lacking.map(|e| e.index) {
            self.wrong(format!("entry {index} counts and is on no majority's disks"));
        }
    }

    fn sum(&self) -> u64 {
        let nodes: Vec<u64> = self.nodes.iter().map(|n| n.0).collect();
        let net: Vec<u64> = self.net.iter().map(|p| p.0).collect();
        sum(&(nodes, net, self.left, &*self.judge))
    }

    // Where courses begin

    /// All that is on its way among these arrives and is synced, until nothing is; what goes to others is lost.
    fn calm(&mut self, among: &[usize]) {
        for _ in 0..1000 {
            self.net.retain(|p| among.contains(&p.1.to) && among.contains(&p.1.from));
            match among.iter().find(|n| self.nodes[**n].1.write.is_some()) {
                Some(n) => self.step(Step::Synced(*n)),
                None if self.net.is_empty() => return,
                None => self.step(Step::Deliver(0)),
            }
        }
        panic!("it does not come to rest");
    }

    fn times(&mut self, n: usize, among: &[usize]) {
        (self.left.times, self.left.beats) = (1, 1);
        self.step(Step::Time(n));
        self.calm(among);
        self.left = Left::default();
    }

    fn propose(&mut self, n: usize, among: &[usize]) {
        self.left.proposals = 1;
        self.step(Step::Propose(n));
        self.calm(among);
        self.left = Left::default();
    }

    /// Hears of no leader for longer than binds it.
    fn waits(&mut self, n: usize) {
        let mut node = (*self.nodes[n].1).clone();
        let by = TIMING.election.0 - 1;
        node.consensus.rebase(by);
        node.wake -= by;
        self.nodes[n] = Sum::of(node);
    }

    /// Member 0 leads, and all know that its first entry counts.
    fn led(members: usize, fault: Option<Fault>) -> World {
        let mut world = World::new(members, fault);
        let all: Vec<usize> = (0..members).collect();
        world.times(0, &all);
        world.times(0, &all);
        assert!(world.nodes.iter().all(|n| n.1.applied == 1));
        world
    }

    /// A bare majority around the leader has one entry more, which counts; the others wait for a leader.
    fn parted(members: usize, fault: Option<Fault>) -> World {
        let mut world = World::led(members, fault);
        let near: Vec<usize> = (0..=members / 2).collect();
        world.propose(0, &near);
        assert_eq!(world.judge.committed.len(), 2);
        (1..members).for_each(|n| world.waits(n));
        world
    }

    /// As before, and the leader keeps a snapshot only: whoever lags needs it.
    fn folded(members: usize, fault: Option<Fault>) -> World {
        let mut world = World::led(members, fault);
        let near: Vec<usize> = (0..=members / 2).collect();
        world.propose(0, &near);
        world.left.folds = 1;
        world.step(Step::Fold(0));
        world.calm(&near);
        world.left = Left::default();
        world
    }

    /// The others follow member 1, which has had an entry counted; the leader before it knows nothing of that.
    fn succeeded(members: usize, fault: Option<Fault>) -> World {
        let mut world = World::led(members, fault);
        (1..members).for_each(|n| world.waits(n));
        let others: Vec<usize> = (1..members).collect();
        world.times(1, &others);
        assert_eq!((world.judge.leaders.len(), world.judge.committed.len()), (2, 2));
        world
    }

    /// Members 0 and 1 ask for votes in the same term.
    fn rivals(members: usize, fault: Option<Fault>) -> World {
        let mut world = World::new(members, fault);
        world.left.times = 2;
        world.step(Step::Time(0));
        world.step(Step::Time(1));
        world.left = Left::default();
        let first = |p: &Sum<Packet>| {
            matches!(p.1.message, Message::Ask { pre: true, .. } | Message::Vote { pre: true, .. })
        };
        loop {
            if let Some(i) = world.net.iter().position(first) {
                world.step(Step::Deliver(i));
            } else if let Some(n) = world.nodes.iter().position(|n| n.1.write.is_some()) {
                world.step(Step::Synced(n));
            } else {
                return world;
            }
        }
    }

    /// All have an entry that counts, and the part of an older snapshot is still on its way to the last member.
    fn belated(members: usize, fault: Option<Fault>) -> World {
        let mut world = World::folded(members, fault);
        let (last, all) = (members - 1, (0..members).collect::<Vec<usize>>());
        world.left.beats = 1;
        world.step(Step::Time(0));
        let part = |p: &Sum<Packet>| p.1.to == last && matches!(p.1.message, Message::Part { .. });
        let between = |p: &Sum<Packet>| [0, last].contains(&p.1.to) && [0, last].contains(&p.1.from);
        let late = loop {
            match world.net.iter().find(|p| part(p)) {
                Some(late) => break late.clone(),
                None => {
                    let i = world.net.iter().position(between).expect("they speak");
                    world.step(Step::Deliver(i));
                }
            }
        };
        world.calm(&all);
        world.propose(0, &all);
        world.times(0, &all);
        assert!(world.nodes.iter().all(|n| n.1.applied == 3));
        world.net.push(late);
        world
    }

    /// Spares have called the leader and hold all; `spares` of them.
    fn spared(members: usize, spares: usize, fault: Option<Fault>) -> World {
        let mut world = World::with_spares(members, spares, fault);
        let all: Vec<usize> = (0..members).collect();
        world.times(0, &all);
        world.times(0, &all);
        for spare in members..members + spares {
            world.times(spare, &[0, spare]);
        }
        let everybody: Vec<usize> = (0..members + spares).collect();
        world.times(0, &everybody);
        assert!(world.nodes.iter().all(|n| n.1.applied == 1), "all hold the first entry");
        world
    }

    /// This member says that it is leaving, and the leader has proposed the roster without it; nobody has got that.
    fn says_leaving(&mut self, n: usize) {
        self.left.leaves = 1;
        self.step(Step::Leave(n));
        if n != 0 {
            let leave = |p: &Sum<Packet>| p.1.to == 0 && matches!(p.1.message, Message::Leave { .. });
            let i = self.net.iter().position(leave).expect("it says so");
            self.step(Step::Deliver(i));
        }
        self.left = Left::default();
    }

    /// A spare is to take the place of the last founder; nobody but the leader knows.
    fn swapping(members: usize, fault: Option<Fault>) -> World {
        let mut world = World::spared(members, 1, fault);
        world.says_leaving(members - 1);
        (1..members).for_each(|n| world.waits(n));
        world
    }

    /// The same of the leader itself.
    fn leader_leaves(members: usize, fault: Option<Fault>) -> World {
        let mut world = World::spared(members, 1, fault);
        world.says_leaving(0);
        (1..members).for_each(|n| world.waits(n));
        world
    }

    /// The leader, the newcomer and as few others as make a majority of the new roster; the others are one of the old.
    fn sides(members: usize) -> (Vec<usize>, Vec<usize>) {
        let far = members / 2;
        ([0, members].into_iter().chain(1..far).collect(), (far..members).collect())
    }

    /// The new roster has gone round a majority of itself that is none of the old one.
    fn half_swapped(members: usize, fault: Option<Fault>) -> World {
        let mut world = World::swapping(members, fault);
        let (near, _) = World::sides(members);
        world.calm(&near);
        world
    }

    /// The same with two that leave and two newcomers: of the new majority none but the leader was of the old one.
    fn half_swapped_twice(members: usize, fault: Option<Fault>) -> World {
        let mut world = World::spared(members, 2, fault);
        let (mut near, far) = World::sides(members);
        near.push(members + 1);
        world.says_leaving(members - 1);
        world.says_leaving(members - 2);
        far.iter().for_each(|n| world.waits(*n));
        world.calm(&near);
        world
    }

    /// As above, and the others have gone on without the old leader, which was started again.
    fn half_swapped_and_followed_up(members: usize, fault: Option<Fault>) -> World {
        let mut world = World::half_swapped(members, fault);
        let (near, far) = World::sides(members);
        world.times(far[0], &far);
        world.left.ends = 1;
        world.step(Step::End(0, false));
        near.iter().for_each(|n| world.waits(*n));
        world.left = Left::default();
        world
    }

    /// Only one that stays has not heard of the new roster. It counts; the leader knows, the newcomer, and who left.
    fn swapped(members: usize, fault: Option<Fault>) -> World {
        let mut world = World::spared(members, 2, fault);
        let lags = members / 2;
        let others: Vec<usize> = (0..=members).filter(|n| *n != lags).collect();
        world.says_leaving(members - 1);
        world.calm(&others);
        world.times(0, &others);
        assert!(world.nodes[members].1.consensus.standing() && world.judge.committed.len() == 2);
        (1..=members).for_each(|n| world.waits(n));
        world
    }

    /// The same, the next who leaves has said so, and the leader has proposed that, too.
    fn swapped_again(members: usize, fault: Option<Fault>) -> World {
        let mut world = World::swapped(members, fault);
        let lags = members / 2;
        world.times(0, &(0..members).collect::<Vec<_>>());
        world.times(0, &[0, members + 1]);
        world.waits(lags);
        world.says_leaving(lags);
        assert!(world.nodes[0].1.consensus.roster().members.contains_key(&member(members + 1)));
        world
    }

    /// All know the new roster. A majority of it has one entry more, which counts; the others, with who left, wait.
    fn swapped_and_parted(members: usize, fault: Option<Fault>) -> World {
        let mut world = World::swapping(members, fault);
        let all: Vec<usize> = (0..=members).collect();
        let (near, far) = World::sides(members);
        world.calm(&all);
        world.times(0, &all);
        world.propose(0, &near);
        assert_eq!(world.judge.committed.len(), 3);
        far.iter().for_each(|n| world.waits(*n));
        world
    }

    /// One that lagged was given the new roster by a snapshot; the rest as before.
    fn swapped_and_folded(members: usize, fault: Option<Fault>) -> World {
        let mut world = World::swapped(members, fault);
        let (near, far) = World::sides(members);
        world.left.folds = 1;
        world.step(Step::Fold(0));
        let lags = members / 2;
        world.calm(&[0, lags]);
        world.times(0, &[0, lags]);
        world.times(0, &[0, lags]);
        assert_eq!(world.nodes[lags].1.applied, 2);
        world.propose(0, &near);
        far.iter().for_each(|n| world.waits(*n));
        world
    }

    /// This member has asked these whether it would be voted for, and if so is about to ask for votes.
    fn asking(mut self, n: usize, among: &[usize]) -> World {
        self.left.times = 1;
        self.step(Step::Time(n));
        self.left = Left::default();
        let first = |p: &Sum<Packet>| {
            let pre = matches!(p.1.message, Message::Ask { pre: true, .. } | Message::Vote { pre: true, .. });
            pre && among.contains(&p.1.to) && among.contains(&p.1.from)
        };
        while let Some(i) = self.net.iter().position(first) {
            self.step(Step::Deliver(i));
        }
        self.net.retain(|p| among.contains(&p.1.to) && among.contains(&p.1.from));
        self
    }

    /// The first of the far side asks the others there.
    fn far_asks(self) -> World {
        let (_, far) = World::sides(self.founders);
        self.asking(far[0], &far)
    }

    /// A disk was lost, its machine is back with another one, and has called the leader.
    fn wiped(members: usize, fault: Option<Fault>) -> World {
        let mut world = World::parted(members, fault);
        world.left = Left { wipes: 1, ..Left::default() };
        world.step(Step::Wipe(1));
        world.net.retain(|p| p.1.to == 0);
        world.left = Left::default();
        world
    }
}

/// What the courses came to.
#[derive(Clone, Debug, Default)]
struct Found {
    states: usize,
    levels: usize,
    /// All states of the last level had nothing left to happen.
    whole: bool,
    terms: usize,
    committed: usize,
    reads: usize,
    rosters: usize,
    /// The first that is wrong, by the shortest way.
    wrong: Option<String>,
}

/// All courses of up to `depth` steps. `most`: states, before it gives up.
fn courses(start: World, left: Left, depth: usize, most: usize) -> Found {
    let mut start = start;
    start.left = left;
    let mut seen = HashSet::from([start.sum()]);
    // How each state was reached: the one before, and the step.
    let mut ways: Vec<(u32, Step)> = vec![(0, Step::Time(0))];
    let mut level = vec![(0u32, start.clone())];
    let mut found = Found { states: 1, ..Found::default() };
    for at in 1..=depth {
        let threads = 4.min(level.len().div_ceil(64));
        let part = level.len().div_ceil(threads);
        let next = |states: &[(u32, World)]| {
            let mut made: Vec<(u64, u32, Step, World)> = Vec::new();
            for (from, world) in states {
                for step in world.steps() {
                    let mut next = world.clone();
                    next.step(step);
                    let sum = next.sum();
                    if !seen.contains(&sum) {
                        made.push((sum, *from, step, next));
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
        for (sum, from, step, world) in made.into_iter().flatten() {
            if !seen.insert(sum) {
                continue;
            }
            ways.push((from, step));
            let way = ways.len() as u32 - 1;
            if let Some(wrong) = &world.wrong {
                found.wrong = Some(format!("{wrong}, after {at} steps: {}", told(&start, &ways, way)));
                (found.states, found.levels) = (ways.len(), at);
                return found;
            }
            found.terms = found.terms.max(world.judge.leaders.len());
            found.committed = found.committed.max(world.judge.committed.len());
            found.reads = found.reads.max(world.judge.answered as usize);
            let rosters = world.judge.committed.iter().filter(|e| e.payload.roster().is_some());
            found.rosters = found.rosters.max(rosters.count());
            level.push((way, world));
        }
        (found.states, found.levels, found.whole) = (ways.len(), at, level.is_empty());
        assert!(found.states <= most, "more than {most} states at level {at}");
        if level.is_empty() {
            break;
        }
    }
    found
}

/// The steps that led somewhere, in words.
fn told(start: &World, ways: &[(u32, Step)], to: u32) -> String {
    let mut steps = Vec::new();
    let mut at = to;
    while at != 0 {
        let (from, step) = ways[at as usize];
        steps.push(step);
        at = from;
    }
    let mut world = start.clone();
    let mut words = Vec::new();
    for step in steps.into_iter().rev() {
        words.push(match step {
            Step::Deliver(i) | Step::Double(i) => {
                let Packet { to, from, message, .. } = &*world.net[i].1;
                let kind = format!("{message:?}");
                format!("{from} to {to}: {}", kind.split([' ', '(']).next().unwrap_or_default())
            }
            other => format!("{other:?}"),
        });
        world.step(step);
    }
    words.join("; ")
}

type Start = fn(usize, Option<Fault>) -> World;

const QUIET: Left =
    Left { times: 0, beats: 0, ends: 0, wipes: 0, proposals: 0, reads: 0, doubles: 0, folds: 0, leaves: 0 };

/// Where courses begin, what may happen on them, how many steps are taken with three members and with five.
const COURSES: [(&str, Start, Left, [usize; 2]); 14] = [
    ("founding", World::new, Left { times: 2, ends: 1, proposals: 1, ..QUIET }, [8, 6]),
    ("led", World::led, Left { times: 2, beats: 1, ends: 1, proposals: 1, reads: 1, ..QUIET }, [6, 4]),
    ("parted", World::parted, Left { times: 2, beats: 1, ends: 1, reads: 1, ..QUIET }, [6, 4]),
    ("folded", World::folded, Left { beats: 1, doubles: 1, proposals: 1, ends: 1, ..QUIET }, [7, 5]),
    ("wiped", World::wiped, Left { beats: 1, times: 2, proposals: 1, doubles: 1, ..QUIET }, [6, 4]),
    ("succeeded", World::succeeded, Left { beats: 2, times: 1, proposals: 1, reads: 1, ..QUIET }, [6, 4]),
    ("rivals", World::rivals, Left { times: 1, ends: 1, doubles: 1, ..QUIET }, [5, 4]),
    ("belated", World::belated, Left { times: 1, beats: 1, ends: 1, doubles: 1, ..QUIET }, [6, 4]),
    ("swapping", World::swapping, Left { times: 2, beats: 1, ends: 1, proposals: 1, ..QUIET }, [5, 4]),
    ("leader leaves", World::leader_leaves, Left { times: 2, beats: 1, ends: 1, ..QUIET }, [5, 4]),
    (
        "half swapped",
        World::half_swapped_and_followed_up,
        Left { times: 2, beats: 1, ends: 1, ..QUIET },
        [6, 4],
    ),
    ("swapped", World::swapped, Left { times: 2, beats: 1, ends: 1, leaves: 1, ..QUIET }, [5, 4]),
    ("swapped again", World::swapped_again, Left { times: 2, beats: 1, ends: 1, ..QUIET }, [5, 4]),
    ("swapped, a disk lost", World::swapped, Left { times: 2, beats: 1, wipes: 1, ..QUIET }, [5, 4]),
];

fn every_course(five: bool, deeper: usize) {
    let (mut states, mut reads) = (0, 0);
    for (name, start, left, depth) in COURSES {
        let members = if five { 5 } else { 3 };
        let found = courses(start(members, None), left, depth[usize::from(five)] + deeper, 4_000_000);
        println!("{members} members, {name}: {found:?}");
        assert_eq!(found.wrong, None, "{name}");
        (states, reads) = (states + found.states, reads + found.reads);
    }
    assert!(states > 5_000 && (five || reads > 0), "{states} states, {reads} reads");
}

#[test]
fn no_course_of_three_breaks_the_agreement() {
    every_course(false, 0);
}

#[test]
fn no_course_of_five_breaks_the_agreement() {
    every_course(true, 0);
}

/// In a release build, some minutes and under 3 GB: `cargo test -p curlewfront-consensus --release -- --ignored deeper`
#[test]
#[ignore = "long"]
fn no_deeper_course_breaks_the_agreement() {
    every_course(false, 3);
    every_course(true, 2);
}

#[test]
fn every_planted_fault_is_found() {
    let ends = Left { proposals: 1, ends: 1, ..QUIET };
    let once = Left { times: 1, ..QUIET };
    let near_asks: Start = |m, f| World::half_swapped_and_followed_up(m, f).asking(0, &World::sides(m).0);
    let faults: [(Fault, Start, Left, usize); 11] = [
        (Fault::AckBeforeSync, World::led, ends, 6),
        (Fault::ForgetVote, World::rivals, ends, 8),
        (Fault::WipedVotes, World::parted, Left { wipes: 1, ..once }, 13),
        (Fault::ReadUnconfirmed, World::succeeded, Left { reads: 1, ..QUIET }, 2),
        (Fault::SnapshotOverTail, World::belated, QUIET, 2),
        (Fault::SwapWithoutJoint, near_asks, QUIET, 14),
        (Fault::CountNewcomerEarly, |m, f| World::half_swapped(m, f).far_asks(), QUIET, 14),
        (Fault::LeaverDroppedEarly, World::swapping, QUIET, 8),
        (Fault::SecondChangeEarly, |m, f| World::half_swapped_twice(m, f).far_asks(), QUIET, 14),
        (Fault::RemovedVotes, |m, f| World::swapped_and_parted(m, f).far_asks(), QUIET, 14),
        (Fault::RosterLost, |m, f| World::swapped_and_folded(m, f).far_asks(), QUIET, 14),
    ];
    for members in [3, 5] {
        for (fault, start, left, depth) in faults {
            let found = courses(start(members, Some(fault)), left, depth, 400_000);
            println!("{members} members, {fault:?}: {found:?}");
            assert!(found.wrong.is_some(), "{members} {fault:?}: {found:?}");
            if left == QUIET {
                let right = courses(start(members, None), left, found.levels, 400_000);
                assert_eq!(right.wrong, None, "{members}, without {fault:?}");
            }
        }
    }
}
