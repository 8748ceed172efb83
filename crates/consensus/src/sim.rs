//! A group of members in simulated time, with all that can go wrong, and a judge of what they do.

use crate::core::Fault;
use crate::{
    Disk, Entry, Input, Member, Message, Micros, Output, Payload, Ratchet, Role, Saved, Timing, Write,
    decode, encode,
};
use fastrand::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};

mod catching_up;
mod members;
mod power;

const MS: Micros = 1000;
/// The first disks of those that are no founders.
const FIRST: Disk = 1000;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Deliver {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    Synced {
        node: usize,
        life: u64,
        number: u64,
    },
    Wake {
        node: usize,
        life: u64,
    },
    Start {
        node: usize,
        life: u64,
    },
    Client,
    Trouble,
    Trap {
        leader: usize,
    },
    Thaw {
        node: usize,
    },
    /// A host that was told to stop looks whether it may.
    Stopping {
        node: usize,
        life: u64,
        until: Micros,
    },
}

struct Node {
    /// Counts starts and ends, so that what was meant for an earlier run goes nowhere.
    life: u64,
    disk: Disk,
    saved: Saved,
    consensus: Option<Ratchet>,
    write: Option<(Write, bool)>,
    hung: bool,
    sync: (Micros, Micros),
    /// How far its clock is ahead: a machine that slept, a clock that jumped.
    ahead: Micros,
    /// A copy of the disk from some time ago, and whose it was.
    copy: (Disk, Saved),
    applied: u64,
    state: Vec<u64>,
    wake: Micros,
}

struct Sim {
    rng: Rng,
    now: Micros,
    seq: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    nodes: Vec<Node>,
    founders: usize,
    cuts: BTreeSet<(usize, usize)>,
    rough: bool,
    calm: bool,
    timing: Timing,
    fault: Option<Fault>,
    /// Sudden ends right after a vote.
    jumpy: bool,
    /// What members are told of the size of the group, and who is told to whoever starts; none: the founders.
    size: Option<usize>,
    seeds: Option<Vec<usize>>,
    /// Bytes beside each ticket, and how long a byte takes on a link.
    pad: usize,
    byte: Option<f64>,
    /// Until when each link is taken.
    links: BTreeMap<(usize, usize), Micros>,
    judge: Judge,
    wrong: Option<String>,
    /// What is wrong is only that the group did not come back.
    stalled: bool,
    ticket: u64,
    /// Reads under way, and the highest entry that was acknowledged when each came.
    reads: BTreeMap<(usize, u64), u64>,
    seen: Seen,
}

#[derive(Default)]
struct Judge {
    leaders: BTreeMap<u64, usize>,
    committed: BTreeMap<u64, Entry>,
    acked: BTreeSet<u64>,
    acked_to: u64,
}

/// That the schedules reach what they are for.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    leaders: usize,
    committed: u64,
    acked: usize,
    reads: usize,
    lost: usize,
    wiped: usize,
    /// Old copies of disks put back.
    copies: usize,
    installed: usize,
    rosters: usize,
}

fn member(node: usize) -> Member {
    Member::new(10, 0, 0, node as u8 + 1)
}

impl Node {
    fn new(disk: Disk, saved: Saved) -> Node {
        Node {
            life: 0,
            disk,
            saved,
            consensus: None,
            write: None,
            hung: false,
            sync: (MS, 3 * MS),
            ahead: 0,
            copy: (0, Saved::blank()),
            applied: 0,
            state: Vec::new(),
            wake: Micros::MAX,
        }
    }
}

impl Sim {
    fn new(seed: u64, fault: Option<Fault>) -> Sim {
        let mut rng = Rng::with_seed(seed);
        let (founders, extra) = [(3, 0), (3, 0), (3, 1), (5, 0), (3, 2)][rng.usize(..5)];
        let timing = match rng.u8(..4) {
            0 => Timing { tail: 8, ..Timing::default() },
            1 => Timing { tail: 5, election: (150 * MS, 800 * MS), heartbeat: 50 * MS, ..Timing::default() },
            2 => Timing { tail: 3, election: (300 * MS, 340 * MS), ..Timing::default() },
            _ => Timing { tail: 20, election: (200 * MS, 210 * MS), heartbeat: 50 * MS, ..Timing::default() },
        };
        let jumpy = rng.bool();
        let mut sim = Sim {
            rng,
            now: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            nodes: Vec::new(),
            founders,
            cuts: BTreeSet::new(),
            rough: false,
            calm: false,
            timing,
            fault,
            jumpy,
            size: None,
            seeds: None,
            pad: 0,
            byte: None,
            links: BTreeMap::new(),
            judge: Judge::default(),
            wrong: None,
            stalled: false,
            ticket: 0,
            reads: BTreeMap::new(),
            seen: Seen::default(),
        };
        for node in 0..founders + extra {
            let founder = node < founders;
            let disk = if founder { 0 } else { FIRST + node as u64 };
            let saved = if founder { sim.founding() } else { Saved::blank() };
            sim.nodes.push(Node::new(disk, saved));
            let at = sim.rng.u64(..if founder { 50 } else { 3000 }) * MS;
            sim.at(at, Event::Start { node, life: 0 });
        }
        sim.at(100 * MS, Event::Client);
        sim.at(900 * MS, Event::Trouble);
        sim
    }

    fn founding(&self) -> Saved {
        Saved::founding((0..self.founders).map(member))
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq, event)));
    }

    fn run(&mut self, until: Micros) {
        while self.wrong.is_none() {
            match self.queue.peek() {
                Some(Reverse((at, ..))) if *at <= until => {}
                _ => break,
            }
            let Reverse((at, _, event)) = self.queue.pop().expect("seen");
            self.now = at;
            self.step(event);
        }
        self.now = until;
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Deliver { to, from, bytes } => {
                if !self.cuts.contains(&(from, to)) {
                    let (from_disk, message) = decode(&bytes).expect("as it was sent");
                    self.input(to, Input::Message { from: member(from), from_disk, message });
                }
            }
            Event::Synced { node, life, number } => {
                let n = &mut self.nodes[node];
                if n.life != life || n.write.as_ref().is_none_or(|(w, _)| w.number != number) {
                    return;
                }
                if n.hung {
                    n.write.as_mut().expect("there").1 = true;
                    return;
                }
                let (write, _) = n.write.take().expect("there");
                write.apply(&mut n.saved);
                self.input(node, Input::Written { number });
            }
            Event::Wake { node, life } => {
                if self.nodes[node].life == life && self.nodes[node].wake <= self.now {
                    self.nodes[node].wake = Micros::MAX;
                    self.input(node, Input::Tick);
                }
            }
            Event::Start { node, life } => self.start(node, life),
            Event::Stopping { node, life, until } => self.stopping(node, life, until),
            Event::Client => self.client(),
            Event::Trouble if self.calm => {}
            Event::Trouble => self.trouble(),
            Event::Trap { leader } => self.trap(leader),
            Event::Thaw { node } => {
                let n = &mut self.nodes[node];
                (n.hung, n.sync) = (false, (MS, 3 * MS));
                let life = n.life;
                if let Some((write, true)) = &n.write {
                    let number = write.number;
                    self.at(self.now + MS, Event::Synced { node, life, number });
                }
            }
        }
    }

    fn start(&mut self, node: usize, life: u64) {
        let founding = self.founding();
        let seed = self.rng.u64(..);
        let now = self.now + self.nodes[node].ahead;
        let n = &mut self.nodes[node];
        if n.life != life || n.consensus.is_some() {
            return;
        }
        if n.saved == Saved::blank() && self.fault == Some(Fault::WipedVotes) && node < self.founders {
            (n.saved, n.disk) = (founding, 0);
        }
        n.life += 1;
        n.wake = Micros::MAX;
        n.applied = n.saved.snapshot.index;
        n.state = unpack(&n.saved.snapshot.data, self.pad);
        let mut consensus = Ratchet::new(member(node), n.disk, n.saved.clone(), seed, self.timing, now);
        consensus.fault = self.fault;
        n.consensus = Some(consensus);
        let seeds = self.seeds.clone().unwrap_or_else(|| (0..self.founders).collect());
        self.input(node, Input::Seeds(seeds.into_iter().map(member).collect()));
        if let Some(size) = self.size {
            self.input(node, Input::Size(size));
        }
    }

    /// The process ends; a write under way is on disk as a whole or not at all.
    fn end(&mut self, node: usize) {
        let kept = self.rng.bool();
        let n = &mut self.nodes[node];
        n.life += 1;
        n.consensus = None;
        if let Some((write, _)) = n.write.take()
            && kept
            && !n.hung
        {
            write.apply(&mut n.saved);
        }
        self.reads.retain(|(at, _), _| *at != node);
    }

    fn restart(&mut self, node: usize, from: Micros, to: Micros) {
        self.end(node);
        let at = self.now + self.rng.u64(from..=to);
        let life = self.nodes[node].life;
        self.at(at, Event::Start { node, life });
    }

    /// Loses a disk, if the group can bear that now.
    fn wipe(&mut self, node: usize) {
        // One that has never been of the group may come at any time; one that a roster names counts
        // as down until it stands and has that on disk.
        let named = |at: usize, disk: Disk| {
            let rosters = self.nodes.iter().filter_map(|n| n.consensus.as_ref()).map(Ratchet::roster);
            rosters.filter(|r| r.names(member(at), disk)).count() > 0
        };
        let well = |(at, n): (usize, &Node)| {
            let never = (FIRST..FIRST + 10).contains(&n.disk) && !named(at, n.disk);
            never || n.saved.hard.standing && n.consensus.as_ref().is_some_and(|r| r.role() != Role::Out)
        };
        if !self.nodes.iter().enumerate().all(well) || !named(node, self.nodes[node].disk) {
            return;
        }
        self.restart(node, 0, 400 * MS);
        self.seen.wiped += 1;
        let disk = self.rng.u64(2000..);
        let n = &mut self.nodes[node];
        (n.saved, n.disk) = (Saved::blank(), disk);
    }

    /// Its disk gives way to an old copy of one that this machine had, if the group can bear the loss of the disk.
    fn go_back(&mut self, node: usize) {
        let life = self.nodes[node].life;
        self.wipe(node);
        let n = &mut self.nodes[node];
        if n.life == life {
            return;
        }
        let (disk, copy) = n.copy.clone();
        self.seen.copies += usize::from(copy != Saved::blank());
        if self.fault == Some(Fault::OldCopyVotes) {
            if copy != Saved::blank() {
                (n.disk, n.saved) = (disk, copy);
            }
        } else {
            n.saved = copy.stranger();
        }
    }

    fn input(&mut self, node: usize, input: Input) {
        let tail = self.timing.tail;
        let mut out = Output::default();
        let n = &mut self.nodes[node];
        let now = self.now + n.ahead;
        let Some(consensus) = &mut n.consensus else { return };
        consensus.handle(now, input, &mut out);
        if consensus.role() == Role::Leader {
            let (term, leads) = (consensus.term(), &mut self.judge.leaders);
            if *leads.entry(term).or_insert(node) != node {
                self.wrong = Some(format!("two leaders of term {term}"));
            }
        }
        if let Some(snapshot) = &out.installed {
            self.seen.installed += 1;
            let state = unpack(&snapshot.data, self.pad);
            let wanted = values(self.judge.committed.range(..=snapshot.index).map(|(_, e)| e));
            if state != wanted {
                self.wrong =
                    Some(format!("snapshot {} of node {node} is not what was committed", snapshot.index));
            }
            (n.applied, n.state) = (snapshot.index, state);
        }
        let mut keep = false;
        for entry in out.committed {
            if entry.index != n.applied + 1 {
                self.wrong = Some(format!("node {node} applies {} after {}", entry.index, n.applied));
            }
            n.applied = entry.index;
            n.state.extend(values(std::iter::once(&entry)));
            keep |= entry.index % (tail + 17) == 0;
            self.seen.rosters += usize::from(entry.payload.roster().is_some());
            let index = entry.index;
            let first = self.judge.committed.entry(index).or_insert_with(|| entry.clone());
            if *first != entry {
                self.wrong = Some(format!("node {node} has another entry {index}: {entry:?}, was {first:?}"));
            }
        }
        for (ticket, result) in out.proposed {
            if let Ok(index) = result {
                let found = self.judge.committed.get(&index).map(|e| &e.payload);
                if found != Some(&Payload::Data(pack(&[ticket], self.pad))) {
                    self.wrong = Some(format!("{ticket} is acknowledged as {index}, where it is not"));
                }
                self.judge.acked.insert(ticket);
                self.judge.acked_to = self.judge.acked_to.max(index);
            }
        }
        for (ticket, result) in out.read {
            let least = self.reads.remove(&(node, ticket)).expect("asked for");
            if let Ok(index) = result {
                self.seen.reads += 1;
                if index < least {
                    self.wrong = Some(format!("a read at {index}, {least} was acknowledged before"));
                }
            }
        }
        self.seen.lost += out.lost.len();
        let life = n.life;
        let disk = n.disk;
        if let Some(write) = out.write {
            assert!(n.write.is_none(), "one write at a time");
            let number = write.number;
            n.write = Some((write, false));
            let at = self.now + self.rng.u64(n.sync.0..=n.sync.1);
            self.at(at, Event::Synced { node, life, number });
        }
        let n = &mut self.nodes[node];
        let wake = if out.wake_at == Micros::MAX { Micros::MAX } else { out.wake_at.saturating_sub(n.ahead) };
        if wake < n.wake {
            n.wake = wake.max(self.now + 1);
            let at = n.wake;
            self.at(at, Event::Wake { node, life });
        }
        let mut voted = false;
        for (to, message) in out.send {
            voted |= matches!(message, Message::Vote { pre: false, granted: true, .. });
            self.send(node, to, disk, &message);
        }
        if voted && self.jumpy && !self.calm && self.rng.bool() {
            self.restart(node, MS, 4 * MS);
        } else if keep {
            let n = &self.nodes[node];
            let (index, data) = (n.applied, pack(&n.state, self.pad));
            self.input(node, Input::Snapshot { index, data });
        }
    }

    fn send(&mut self, from: usize, to: Member, disk: Disk, message: &Message) {
        let to = to.octets()[3] as usize - 1;
        if self.cuts.contains(&(from, to)) {
            return;
        }
        let rough = self.rough && !self.calm;
        if rough && self.rng.u8(..10) == 0 {
            return;
        }
        let asks = self.jumpy && !self.calm && matches!(message, Message::Ask { pre: false, .. });
        let copies = if asks { 3 } else { 1 + u8::from(rough && self.rng.u8(..8) == 0) };
        for _ in 0..copies {
            let late = rough && self.rng.u8(..6) == 0;
            let late = late || asks && self.rng.bool();
            let delay = self.rng.u64(match (late, asks) {
                (true, true) => MS..=20 * MS,
                (true, false) => MS..=400 * MS,
                _ => MS / 2..=3 * MS,
            });
            let bytes = encode(disk, message);
            let mut sent = self.now;
            if let Some(byte) = self.byte {
                let taken = self.links.entry((from, to)).or_default();
                sent = sent.max(*taken) + (bytes.len() as f64 * byte) as Micros;
                *taken = sent;
            }
            self.at(sent + delay, Event::Deliver { to, from, bytes });
        }
    }

    fn client(&mut self) {
        let pause = self.rng.u64(5..60) * MS;
        self.at(self.now + pause, Event::Client);
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
                self.input(node, Input::Propose { ticket, data: pack(&[ticket], self.pad) });
            } else {
                self.reads.insert((node, ticket), self.judge.acked_to);
                self.input(node, Input::Read { ticket });
            }
        }
    }

    fn leader(&self) -> Option<usize> {
        let leads = |n: &Node| n.consensus.as_ref().filter(|r| r.role() == Role::Leader).map(Ratchet::term);
        (0..self.nodes.len())
            .filter(|n| leads(&self.nodes[*n]).is_some())
            .max_by_key(|n| leads(&self.nodes[*n]))
    }

    fn trouble(&mut self) {
        let pause = self.rng.u64(50..700) * MS;
        self.at(self.now + pause, Event::Trouble);
        let count = self.nodes.len();
        let node = match self.leader() {
            Some(leader) if self.rng.bool() => leader,
            _ => self.rng.usize(..count),
        };
        let other = (node + self.rng.usize(1..count)) % count;
        for n in &mut self.nodes {
            if self.rng.bool() {
                n.copy = (n.disk, n.saved.clone());
            }
        }
        match self.rng.u8(..21) {
            16 | 20 => self.go_back(node),
            17 => {
                // Two halves that only `node` hears, and that hear only `node`.
                let half = |n: usize| (n + count - node) % count <= count / 2;
                let apart = |a: &usize, b: &usize| *a != node && *b != node && half(*a) != half(*b);
                for a in 0..count {
                    self.cuts.extend((0..count).filter(|b| apart(&a, b)).map(|b| (a, b)));
                }
            }
            18 => {
                // One way: nothing that it says arrives, or it hears nothing.
                let says = self.rng.bool();
                let others = (0..count).filter(|o| *o != node);
                self.cuts.extend(others.map(|o| if says { (node, o) } else { (o, node) }));
            }
            19 => {
                let by = self.rng.u64(10..20_000) * MS;
                self.nodes[node].ahead += by;
                self.input(node, Input::Tick);
            }
            0 => {
                self.cuts.insert((node, other));
            }
            1 => self.isolate(node),
            2 | 3 => self.cuts.clear(),
            4 => self.restart(node, 10 * MS, 2000 * MS),
            5 | 15 => {
                // Power is lost everywhere; two that cannot hear each other may both ask for votes after it.
                let spread = self.rng.u64(6..60) * MS;
                (0..count).for_each(|n| self.restart(n, 5 * MS, spread));
                if self.jumpy || self.rng.bool() {
                    self.cuts.extend([(node, other), (other, node)]);
                }
            }
            6 | 7 => self.wipe(node),
            8 => {
                self.nodes[node].hung = true;
                let at = self.now + self.rng.u64(200..4000) * MS;
                self.at(at, Event::Thaw { node });
            }
            9 => {
                let all = self.rng.bool();
                for n in (0..count).filter(|n| all || *n == node) {
                    self.nodes[n].sync = (20 * MS, 200 * MS);
                }
            }
            10 => self.rough = !self.rough,
            11 => {
                self.nodes[node].write = None;
                self.input(node, Input::WriteFailed);
                if self.nodes[node].consensus.is_some() {
                    self.restart(node, 100 * MS, 1000 * MS);
                }
            }
            12 => self.input(node, Input::Yield),
            13 | 14 => {
                // A leader is cut off; while it does not know yet, one that elected its successor loses its
                // disk.
                if let Some(leader) = self.leader() {
                    self.cuts.clear();
                    self.isolate(leader);
                    self.at(self.now + MS, Event::Trap { leader });
                }
            }
            _ => {}
        }
    }

    fn isolate(&mut self, node: usize) {
        for other in (0..self.nodes.len()).filter(|o| *o != node) {
            self.cuts.insert((node, other));
            self.cuts.insert((other, node));
        }
    }

    fn trap(&mut self, leader: usize) {
        let leads = |n: usize| self.nodes[n].consensus.as_ref().is_some_and(|r| r.role() == Role::Leader);
        let others = (0..self.nodes.len()).filter(|n| *n != leader);
        let voters = match others.clone().find(|n| leads(*n)) {
            Some(next) => others.filter(|n| *n != next).collect(),
            None => Vec::new(),
        };
        let leads = leads(leader);
        if !leads || self.calm {
            return;
        }
        if voters.is_empty() {
            self.at(self.now + 5 * MS, Event::Trap { leader });
            return;
        }
        let node = voters[self.rng.usize(..voters.len())];
        let life = self.nodes[node].life;
        self.wipe(node);
        if self.nodes[node].life == life {
            return;
        }
        let life = self.nodes[node].life;
        self.at(self.now + MS, Event::Start { node, life });
        self.isolate(node);
        self.cuts.remove(&(node, leader));
        self.cuts.remove(&(leader, node));
    }

    /// All troubles end; everybody must come together, and agree on all that was acknowledged.
    fn settle(&mut self) {
        self.calm = true;
        self.cuts.clear();
        for node in 0..self.nodes.len() {
            self.step(Event::Thaw { node });
            let out = self.nodes[node].consensus.as_ref().is_none_or(|r| r.role() == Role::Out);
            if out {
                self.restart(node, 0, 10 * MS);
            }
        }
        self.run(self.now + 5000 * MS);
        if self.wrong.is_some() {
            return;
        }
        let before = self.judge.acked.len();
        self.run(self.now + 1000 * MS);
        // Nobody asks any more; what is under way comes to its end.
        self.queue.retain(|Reverse((.., event))| *event != Event::Client);
        self.run(self.now + 500 * MS);
        if self.wrong.is_some() {
            return;
        }
        let mut wrong = |what: String| self.wrong.get_or_insert(what).clone();
        if self.judge.acked.len() <= before {
            wrong("nothing is acknowledged after calm".into());
        }
        let state = &self.nodes[0].state;
        for (at, node) in self.nodes.iter().enumerate() {
            let consensus = node.consensus.as_ref().expect("all run");
            if !consensus.standing() || !consensus.roster().names(member(at), node.disk) {
                wrong(format!("node {at} does not stand"));
            }
            if node.state != *state {
                wrong(format!("node {at} has another state"));
            }
        }
        let there: BTreeSet<u64> = state.iter().copied().collect();
        self.stalled = self.wrong.is_some();
        if self.stalled {
            return;
        }
        if let Some(gone) = self.judge.acked.iter().find(|ticket| !there.contains(ticket)) {
            self.wrong = Some(format!("{gone} was acknowledged and is gone"));
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

/// Each value in eight bytes, and as many more as `pad` says.
fn pack(state: &[u64], pad: usize) -> Vec<u8> {
    let one = |v: &u64| v.to_le_bytes().into_iter().chain(std::iter::repeat_n(0, pad));
    state.iter().flat_map(one).collect()
}

fn unpack(data: &[u8], pad: usize) -> Vec<u64> {
    data.chunks(8 + pad).map(|c| u64::from_le_bytes(c[..8].try_into().expect("numbers"))).collect()
}

/// What was seen, or what is wrong, and whether that is only that the group did not come back.
type Played = Result<Seen, (bool, String)>;

fn play(seed: u64, fault: Option<Fault>) -> Played {
    let mut sim = Sim::new(seed, fault);
    let until = sim.rng.u64(4000..8000) * MS;
    sim.run(until);
    sim.settle();
    if let Some(wrong) = sim.wrong {
        return Err((sim.stalled, wrong));
    }
    let (leaders, acked) = (sim.judge.leaders.len(), sim.judge.acked.len());
    let committed = *sim.judge.committed.keys().last().expect("some");
    Ok(Seen { leaders, acked, committed, ..sim.seen })
}

/// The seeds in parts, each on a thread of its own; until one is wrong, if that is all that is asked for.
fn play_all(seeds: std::ops::Range<u64>, fault: Option<Fault>) -> Vec<(u64, Played)> {
    let parts = 8;
    let caught = AtomicBool::new(false);
    let part = |p: u64| {
        let mut played = Vec::new();
        for seed in seeds.clone().filter(|s| s % parts == p) {
            if fault.is_some() && caught.load(Relaxed) {
                break;
            }
            let result = play(seed, fault);
            caught.fetch_or(matches!(result, Err((false, _))), Relaxed);
            played.push((seed, result));
        }
        played
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
fn no_schedule_of_troubles_breaks_the_agreement_and_calm_brings_it_back() {
    let played = play_all(seeds(240), None);
    let mut sum = Seen::default();
    let mut wrong = Vec::new();
    for (seed, result) in played {
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
                sum.rosters += seen.rosters;
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
        ("rosters", sum.rosters),
    ] {
        assert!(count > 100, "only {count} {what}");
    }
}

/// The judge is worth its name only if it sees what is planted.
#[test]
fn planted_faults_are_seen() {
    for fault in [
        Fault::AckBeforeSync,
        Fault::WipedVotes,
        Fault::OldCopyVotes,
        Fault::CountNewcomerEarly,
        Fault::ForgetVote,
        Fault::ReadUnconfirmed,
    ] {
        let played = play_all(seeds(2000), Some(fault));
        let caught: Vec<&String> = played
            .iter()
            .filter_map(|(_, r)| r.as_ref().err())
            .filter(|(stalled, _)| !stalled)
            .map(|(_, e)| e)
            .collect();
        println!("{fault:?}: {} of {}, e.g. {:?}", caught.len(), played.len(), caught.first());
        assert!(!caught.is_empty(), "{fault:?} is not seen in {} seeds", played.len());
    }
}

/// Three founders, a leader, and no troubles but what the test makes.
fn quiet(seed: u64) -> (Sim, usize) {
    quiet_group(seed, 3)
}

fn quiet_group(seed: u64, members: usize) -> (Sim, usize) {
    let mut sim = Sim::new(seed, None);
    sim.queue.clear();
    (sim.founders, sim.calm, sim.timing) = (members, true, Timing::default());
    let founding = sim.founding();
    sim.nodes = (0..members).map(|_| Node::new(0, founding.clone())).collect();
    (0..members).for_each(|node| sim.at(node as u64 * MS, Event::Start { node, life: 0 }));
    sim.at(100 * MS, Event::Client);
    sim.run(4000 * MS);
    let leader = sim.leader().expect("elected");
    (sim, leader)
}

#[test]
fn a_member_that_flaps_or_is_cut_one_way_unseats_nobody() {
    for seed in 0..8 {
        let (mut sim, leader) = quiet(seed);
        let (other, terms) = ((leader + 1) % 3, sim.judge.leaders.len());
        for cut in [(leader, other), (other, leader)] {
            sim.cuts = BTreeSet::from([cut]);
            sim.run(sim.now + 5000 * MS);
        }
        for _ in 0..6 {
            sim.cuts.clear();
            sim.isolate(other);
            sim.run(sim.now + 1200 * MS);
            sim.cuts.clear();
            sim.restart(other, MS, 300 * MS);
            sim.run(sim.now + 700 * MS);
        }
        assert_eq!((sim.leader(), sim.judge.leaders.len()), (Some(leader), terms), "seed {seed}");
        assert_eq!(sim.wrong, None);
    }
}

#[test]
fn a_leader_that_dies_or_whose_disk_hangs_is_followed_up_soon() {
    for seed in 0..16 {
        let (mut sim, leader) = quiet(seed);
        let hangs = seed % 2 == 0;
        if hangs {
            sim.nodes[leader].hung = true;
        } else {
            sim.end(leader);
        }
        // The time that a disk is given, or the silence that is borne; then an election or two.
        sim.run(sim.now + if hangs { 1500 * MS } else { 900 * MS } + 800 * MS);
        assert!(sim.leader().is_some_and(|l| l != leader), "seed {seed}");
        let before = sim.judge.acked.len();
        sim.run(sim.now + 300 * MS);
        assert!(sim.judge.acked.len() > before && sim.wrong.is_none(), "seed {seed}");
    }
}
