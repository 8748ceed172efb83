//! The group on a made-up network, disks and clock: thousands of schedules of faults in seconds, each the same again for
//! the same seed. It drives the very modules that the processes run (`curlewfront_fleet::voter`, `::member`); what it
//! makes up is when messages, syncs, crashes and faults happen.
//!
//! What it records: every call of every client from asking to answer (to be checked for linearizability), and, while it
//! runs, the breaks of the invariants that can be seen at once:
//!
//! 1. *Agreed is agreed*: two voters that have applied the same entries hold the same state, through every restart.
//! 2. *One leader a term.*
//! 3. *One holder*: no two processes believe at one instant that they hold the lease of one name.
//! 4. *Life goes on*: once all faults are healed, a write is agreed and every member has its lease, in a stated time.

use crate::history::{Done, Op, Ret};
use curlewfront_fleet::Micros;
use curlewfront_fleet::member::{self, Member};
use curlewfront_fleet::mirror::{PeerMessage, Saved, Write};
use curlewfront_fleet::state::{Applied, CallId, Command, Life};
use curlewfront_fleet::voter::{self, Out, Request, Response, Voter};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use slog::Logger;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// What goes wrong, for how long.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Nothing from `from` reaches `to`.
    LinkCut { from: usize, to: usize },
    /// One voter hears nobody and is heard by nobody.
    Isolate { voter: usize },
    /// A voter is heard, but hears nobody (or the other way round).
    OneWay { voter: usize, deaf: bool },
    /// All parties on `side` are cut off from all others.
    Partition { side: Vec<usize> },
    /// The process stands still (SIGSTOP) and goes on where it was.
    Pause { voter: usize },
    /// SIGKILL, started again at the end.
    Kill { voter: usize },
    /// All voters at once; a write that was not synced is lost or kept, by chance.
    PowerLoss,
    /// Killed, and started again with an empty disk.
    DiskEmpty { voter: usize },
    /// Every message takes this much longer.
    Delay { us: Micros },
    /// This share of messages is lost.
    Loss { share: f64 },
    /// A voter's disk takes this long for each sync.
    SlowDisk { voter: usize, us: Micros },
}

impl Fault {
    pub fn name(&self) -> &'static str {
        match self {
            Fault::LinkCut { .. } => "link_cut",
            Fault::Isolate { .. } => "isolate",
            Fault::OneWay { .. } => "one_way",
            Fault::Partition { .. } => "partition",
            Fault::Pause { .. } => "pause",
            Fault::Kill { .. } => "kill",
            Fault::PowerLoss => "power_loss",
            Fault::DiskEmpty { .. } => "disk_empty",
            Fault::Delay { .. } => "delay",
            Fault::Loss { .. } => "loss",
            Fault::SlowDisk { .. } => "slow_disk",
        }
    }
}

/// A violation built in on purpose, which the checks must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Disks say that they have synced and have not: the last writes are gone after a crash.
    LyingDisk,
    /// Reads are answered from a voter's own state, whoever it is.
    StaleRead,
    /// A call sent again is a new call: a write may be carried out twice.
    CallTwice,
    /// The leader's clock runs four times too fast: leases end while their holders count on them.
    FastClock,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub voters: usize,
    pub members: usize,
    /// The first of so many names is claimed by two processes with stores of their own.
    pub twins: usize,
    pub clients: usize,
    pub keys: usize,
    /// Calls of each client, one after the other.
    pub calls: usize,
    pub for_us: Micros,
    /// How long after the last fault all has to be well again.
    pub settle_us: Micros,
    pub election_us: Micros,
    pub lease_us: Micros,
    pub compact_after: u64,
    pub faults: Vec<(Micros, Micros, Fault)>,
    pub planted: Option<Planted>,
}

impl Plan {
    /// A plan drawn from a seed: sizes, and overlapping faults of every kind.
    pub fn drawn(seed: u64) -> Plan {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x0070_6c61_6e00);
        let voters = if rng.gen_bool(0.5) { 3 } else { 5 };
        let members = rng.gen_range(0..6);
        let for_us = 12_000_000;
        let mut plan = Plan {
            seed,
            voters,
            members,
            twins: usize::from(members > 0 && rng.gen_bool(0.5)),
            clients: 3,
            keys: 2,
            calls: 14,
            for_us,
            settle_us: 12_000_000,
            election_us: 300_000,
            lease_us: 900_000,
            compact_after: *[8, 32, 10_000].choose(&mut rng).expect("some"),
            faults: Vec::new(),
            planted: None,
        };
        let parties = plan.parties();
        for _ in 0..rng.gen_range(1..8) {
            let at = rng.gen_range(500_000..for_us * 3 / 4);
            let last = rng.gen_range(50_000..3_000_000).min(for_us - at);
            let voter = rng.gen_range(0..voters);
            let fault = match rng.gen_range(0..11) {
                0 => Fault::LinkCut { from: voter, to: (voter + 1 + rng.gen_range(0..voters - 1)) % voters },
                1 => Fault::Isolate { voter },
                2 => Fault::OneWay { voter, deaf: rng.gen_bool(0.5) },
                3 => {
                    let mut all: Vec<usize> = (0..parties).collect();
                    all.shuffle(&mut rng);
                    all.truncate(rng.gen_range(1..parties));
                    Fault::Partition { side: all }
                }
                4 => Fault::Pause { voter },
                5 => Fault::Kill { voter },
                6 => Fault::PowerLoss,
                // A second disk lost before the first is made good may take the majority along: that is no fault that
                // a group outlives, so one a plan.
                7 if !plan.faults.iter().any(|(.., f)| matches!(f, Fault::DiskEmpty { .. })) => {
                    Fault::DiskEmpty { voter }
                }
                8 => Fault::Loss { share: rng.gen_range(0.01..0.4) },
                9 => Fault::SlowDisk { voter, us: rng.gen_range(5_000..200_000) },
                _ => Fault::Delay { us: rng.gen_range(1_000..120_000) },
            };
            plan.faults.push((at, last, fault));
        }
        plan.faults.sort_by_key(|(at, ..)| *at);
        plan
    }

    fn parties(&self) -> usize {
        self.voters + self.members + self.twins + self.clients
    }
}

/// What a run gives.
#[derive(Debug, Default)]
pub struct Report {
    pub history: Vec<Done>,
    pub breaks: Vec<String>,
    /// Check sum over all that happened, in order.
    pub trace: u32,
    pub events: u64,
    pub elections: u64,
    pub snapshots_taken: u64,
    pub leases_lost: u64,
    /// Times without a leader that a majority of the voters could have heard, each from loss to the next election won.
    pub leaderless: Vec<Micros>,
    /// Calls that reached voters, by tenth of a second.
    pub calls: Vec<u32>,
}

#[derive(Debug)]
enum Event {
    Peer {
        to: usize,
        message: PeerMessage,
    },
    Call {
        from: usize,
        to: usize,
        token: u64,
        request: Request,
    },
    Answer {
        to: usize,
        token: u64,
        response: Response,
    },
    Synced {
        voter: usize,
        life: u64,
    },
    VoterTime {
        voter: usize,
        life: u64,
    },
    MemberTime {
        member: usize,
    },
    ClientTime {
        client: usize,
    },
    Begin(usize),
    End(usize),
    /// A voter with an empty disk asks to be taken in.
    Join {
        voter: usize,
        life: u64,
    },
}

struct Node {
    id: u64,
    voter: Option<Voter>,
    life: u64,
    saved: Saved,
    /// What a lying disk really holds.
    old: Saved,
    old_age: u32,
    syncing: Option<Write>,
    paused: bool,
    held: VecDeque<Event>,
    next: Option<Micros>,
    sync_us: Micros,
    joining: bool,
}

struct Client {
    number: u64,
    call: Option<(usize, Op, Request, Micros)>,
    until: Micros,
    target: usize,
    /// The target is what a voter has named: not passed by for having been silent.
    told: bool,
    left: usize,
    token: u64,
    versions: Vec<u64>,
    caller: u64,
}

struct World<'a> {
    plan: &'a Plan,
    rng: SmallRng,
    now: Micros,
    seq: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    store: BTreeMap<usize, Event>,
    nodes: Vec<Node>,
    ids: BTreeMap<u64, usize>,
    members: Vec<Member>,
    clients: Vec<Client>,
    active: Vec<bool>,
    asked: Vec<(usize, u64)>,
    states: BTreeMap<u64, u32>,
    leaders: BTreeMap<u64, u64>,
    leaderless_since: Option<Micros>,
    report: Report,
    sum: crc32fast::Hasher,
    log: Logger,
}

const NET_US: Micros = 300;

/// Plays a plan to its end.
pub fn run(plan: &Plan) -> Report {
    let mut world = World::new(plan);
    world.play();
    world.report.trace = world.sum.clone().finalize();
    world.report
}

impl<'a> World<'a> {
    fn new(plan: &'a Plan) -> World<'a> {
        let log = Logger::root(slog::Discard, slog::o!());
        let rng = SmallRng::seed_from_u64(plan.seed);
        let founders: Vec<_> =
            (0..plan.voters).map(|v| (v as u64 + 1, format!("v{v}"), format!("a{v}"))).collect();
        let first = voter::first(&founders);
        let nodes = (0..plan.voters)
            .map(|v| Node {
                id: v as u64 + 1,
                voter: None,
                life: 0,
                saved: first.clone(),
                old: first.clone(),
                old_age: 0,
                syncing: None,
                paused: false,
                held: VecDeque::new(),
                next: None,
                sync_us: 1_000,
                joining: false,
            })
            .collect();
        let names: Vec<String> = founders.iter().map(|f| f.1.clone()).collect();
        let members = (0..plan.members + plan.twins)
            .map(|m| {
                let setup = member::Setup {
                    name: format!("w{}", if m < plan.members { m } else { m - plan.members }),
                    life: Life { disk: 1000 + m as u64, process: 5000 + m as u64 },
                    voter: false,
                    voters: names.clone(),
                    lease_us: plan.lease_us,
                    seed: plan.seed ^ (m as u64) << 20,
                };
                Member::new(setup, 0)
            })
            .collect();
        let clients = (0..plan.clients)
            .map(|c| Client {
                number: 0,
                call: None,
                until: 0,
                target: c % plan.voters,
                told: false,
                left: plan.calls,
                token: 0,
                versions: vec![0; plan.keys],
                caller: 9000 + c as u64,
            })
            .collect();
        World {
            plan,
            rng,
            now: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            store: BTreeMap::new(),
            nodes,
            ids: (0..plan.voters).map(|v| (v as u64 + 1, v)).collect(),
            members,
            clients,
            active: vec![false; plan.faults.len()],
            asked: Vec::new(),
            states: BTreeMap::new(),
            leaders: BTreeMap::new(),
            leaderless_since: Some(0),
            report: Report::default(),
            sum: crc32fast::Hasher::new(),
            log,
        }
    }

    fn at(&mut self, when: Micros, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((when, self.seq, self.seq as usize)));
        self.store.insert(self.seq as usize, event);
    }

    fn note(&mut self, what: &[u8]) {
        self.sum.update(&self.now.to_be_bytes());
        self.sum.update(what);
        self.report.events += 1;
    }

    fn break_of(&mut self, what: String) {
        if self.report.breaks.len() < 20 {
            self.report.breaks.push(format!("at {} ms: {what}", self.now / 1000));
        }
    }

    fn play(&mut self) {
        for v in 0..self.plan.voters {
            self.start(v);
        }
        for m in 0..self.members.len() {
            self.at(0, Event::MemberTime { member: m });
        }
        for c in 0..self.clients.len() {
            self.at(200_000, Event::ClientTime { client: c });
        }
        for (n, (at, last, _)) in self.plan.faults.iter().enumerate() {
            self.at(*at, Event::Begin(n));
            self.at(at + last, Event::End(n));
        }
        let healed = self.plan.faults.iter().map(|(at, last, _)| at + last).max().unwrap_or(0);
        let end = self.plan.for_us.max(healed) + self.plan.settle_us;
        while let Some(Reverse((when, _, id))) = self.queue.pop() {
            if when > end {
                break;
            }
            self.now = when;
            if let Some(event) = self.store.remove(&id) {
                self.event(event);
            }
        }
        self.now = end;
        self.all_well();
    }

    /// The fourth invariant, at the end.
    fn all_well(&mut self) {
        let leads = self.nodes.iter().filter(|n| n.voter.as_ref().is_some_and(Voter::leads)).count();
        if leads != 1 {
            self.break_of(format!("{leads} leaders long after the last fault"));
        }
        let unanswered = self.clients.iter().filter(|c| c.call.is_some() || c.left > 0).count();
        if unanswered > 0 {
            self.break_of(format!("{unanswered} clients without their answers long after the last fault"));
        }
        for v in 0..self.plan.voters {
            let votes = self.nodes[v].voter.as_ref().is_some_and(|v| v.status().votes);
            if !votes {
                self.break_of(format!("v{v} without a vote long after the last fault"));
            }
        }
        for name in 0..self.plan.members {
            let twin = (name < self.plan.twins).then_some(self.plan.members + name);
            let held = |m: usize| self.members[m].held(self.now).is_some();
            if !held(name) && !twin.is_some_and(held) {
                self.break_of(format!("w{name} without a lease long after the last fault"));
            }
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Begin(n) => self.fault(n, true),
            Event::End(n) => self.fault(n, false),
            Event::MemberTime { member } => self.member_time(member),
            Event::ClientTime { client } => self.client_time(client),
            Event::Answer { to, token, response } => self.answered(to, token, response),
            Event::Peer { to, .. }
            | Event::Call { to, .. }
            | Event::VoterTime { voter: to, .. }
            | Event::Join { voter: to, .. }
                if self.nodes[to].paused || self.nodes[to].syncing.is_some() =>
            {
                self.nodes[to].held.push_back(event);
            }
            Event::Synced { voter, .. } if self.nodes[voter].paused => {
                self.nodes[voter].held.push_front(event);
            }
            Event::Peer { to, message } => {
                self.note(format!("{to} {} {}", message.name(), message.from).as_bytes());
                if let Some(voter) = self.nodes[to].voter.as_mut() {
                    voter.message(message);
                    self.pump(to);
                }
            }
            Event::Call { from, to, token, request } => {
                let tenth = (self.now / 100_000) as usize;
                if self.report.calls.len() <= tenth {
                    self.report.calls.resize(tenth + 1, 0);
                }
                self.report.calls[tenth] += 1;
                self.call(from, to, token, request);
            }
            Event::Synced { voter, life } => {
                if self.nodes[voter].life == life {
                    let node = &mut self.nodes[voter];
                    if let Some(write) = node.syncing.take() {
                        write.apply(&mut node.saved);
                        node.old_age += 1;
                        if node.old_age > 6 {
                            (node.old, node.old_age) = (node.saved.clone(), 0);
                        }
                    }
                    if let Some(v) = node.voter.as_mut() {
                        v.synced();
                    }
                    self.pump(voter);
                    self.go_on(voter);
                }
            }
            Event::VoterTime { voter, life } => {
                if self.nodes[voter].life == life {
                    self.nodes[voter].next = None;
                    let fast = self.plan.planted == Some(Planted::FastClock);
                    let now = if fast { self.now * 4 } else { self.now };
                    if let Some(v) = self.nodes[voter].voter.as_mut() {
                        v.time(now);
                    }
                    self.pump(voter);
                }
            }
            Event::Join { voter, life } => {
                let node = &self.nodes[voter];
                if node.life == life && node.joining {
                    let (id, to) = (node.id, self.rng.gen_range(0..self.plan.voters));
                    let request = Request::Join { id, name: format!("v{voter}"), addr: format!("a{voter}") };
                    self.send_call(voter, to, u64::MAX, request);
                    self.at(self.now + 150_000, Event::Join { voter, life });
                }
            }
        }
    }

    /// What came while a process stood still, or its disk was at work.
    fn go_on(&mut self, v: usize) {
        while !self.nodes[v].paused {
            let synced = matches!(self.nodes[v].held.front(), Some(Event::Synced { .. }));
            if self.nodes[v].syncing.is_some() && !synced {
                return;
            }
            let Some(event) = self.nodes[v].held.pop_front() else { return };
            self.event(event);
        }
    }

    fn start(&mut self, v: usize) {
        let node = &mut self.nodes[v];
        node.life += 1;
        let fast = self.plan.planted == Some(Planted::FastClock);
        let setup = voter::Setup {
            id: node.id,
            election_us: if fast { self.plan.election_us * 4 } else { self.plan.election_us },
            lease_us: self.plan.lease_us,
            seed: self.plan.seed ^ node.life << 32,
            compact_after: self.plan.compact_after,
        };
        let now = if fast { self.now * 4 } else { self.now };
        match Voter::new(setup, node.saved.clone(), now, &self.log) {
            Ok(voter) => node.voter = Some(voter),
            Err(e) => self.break_of(format!("v{v} cannot start: {e}")),
        }
        if self.nodes[v].joining {
            let life = self.nodes[v].life;
            self.at(self.now, Event::Join { voter: v, life });
        }
        self.pump(v);
    }

    fn stop(&mut self, v: usize) {
        let lying = self.plan.planted == Some(Planted::LyingDisk);
        let kept = self.rng.gen_bool(0.5);
        let node = &mut self.nodes[v];
        if let Some(write) = node.syncing.take()
            && kept
        {
            write.apply(&mut node.saved);
        }
        if lying {
            node.saved = node.old.clone();
        }
        (node.voter, node.next, node.paused) = (None, None, false);
        node.life += 1;
        node.held.clear();
    }

    fn fault(&mut self, n: usize, begins: bool) {
        let (_, _, fault) = &self.plan.faults[n];
        self.note(format!("{} {begins}", fault.name()).as_bytes());
        self.active[n] = begins;
        let others_down = |w: &World, v: usize| {
            let over = w.plan.faults.iter().zip(&w.active);
            over.filter(|(_, on)| **on).any(|((.., f), _)| match f {
                Fault::Kill { voter } | Fault::DiskEmpty { voter } => *voter == v,
                Fault::PowerLoss => true,
                _ => false,
            })
        };
        match fault.clone() {
            Fault::Kill { voter } if begins => self.stop(voter),
            Fault::DiskEmpty { voter } if begins => {
                self.stop(voter);
                let node = &mut self.nodes[voter];
                node.id = 100 + n as u64;
                (node.saved, node.old, node.joining) = (Saved::default(), Saved::default(), true);
                self.ids.insert(100 + n as u64, voter);
            }
            Fault::PowerLoss if begins => (0..self.plan.voters).for_each(|v| self.stop(v)),
            Fault::Kill { .. } | Fault::DiskEmpty { .. } | Fault::PowerLoss => {
                for v in 0..self.plan.voters {
                    if self.nodes[v].voter.is_none() && !others_down(self, v) {
                        self.start(v);
                    }
                }
            }
            Fault::Pause { voter } => {
                let still = self.plan.faults.iter().zip(&self.active);
                let still = still
                    .filter(|(_, on)| **on)
                    .any(|((.., f), _)| matches!(f, Fault::Pause { voter: v } if *v == voter));
                if self.nodes[voter].voter.is_some() {
                    self.nodes[voter].paused = still;
                }
                self.go_on(voter);
            }
            Fault::SlowDisk { voter, us } => self.nodes[voter].sync_us = if begins { us } else { 1_000 },
            _ => {}
        }
    }

    /// Whether what `from` sends now reaches `to`, and after how long.
    fn link(&mut self, from: usize, to: usize) -> Option<Micros> {
        let mut extra = 0;
        let mut lost = 0.0f64;
        for ((.., fault), _) in self.plan.faults.iter().zip(&self.active).filter(|(_, on)| **on) {
            match fault {
                Fault::LinkCut { from: f, to: t } if (*f, *t) == (from, to) => return None,
                Fault::Isolate { voter } if (*voter == from || *voter == to) && from != to => return None,
                Fault::OneWay { voter, deaf: true } if *voter == to => return None,
                Fault::OneWay { voter, deaf: false } if *voter == from => return None,
                Fault::Partition { side } if side.contains(&from) != side.contains(&to) => return None,
                Fault::Delay { us } => extra += self.rng.gen_range(0..=*us),
                Fault::Loss { share } => lost = lost.max(*share),
                _ => {}
            }
        }
        if lost > 0.0 && self.rng.gen_bool(lost) {
            return None;
        }
        Some(NET_US / 2 + self.rng.gen_range(0..NET_US) + extra)
    }

    fn pump(&mut self, v: usize) {
        if self.nodes[v].syncing.is_some() {
            return;
        }
        let Some(voter) = self.nodes[v].voter.as_mut() else { return };
        let write = voter.write();
        let out = voter.take();
        let (due, status) = (voter.due(), voter.status());
        if write.is_none() && out.is_empty() && self.nodes[v].next.is_some() {
            return;
        }
        if status.leads {
            let id = status.id;
            if *self.leaders.entry(status.term).or_insert(id) != id {
                self.break_of(format!("two leaders in term {}", status.term));
            }
        }
        self.see_leader();
        if write.is_none() {
            self.same_state(v, status.applied);
        }
        for one in out {
            self.carry_out(v, one);
        }
        if let Some(write) = write {
            let life = self.nodes[v].life;
            let sync = self.nodes[v].sync_us;
            let sync = self.rng.gen_range(sync / 4..sync + 1);
            self.nodes[v].syncing = Some(write);
            self.at(self.now + sync, Event::Synced { voter: v, life });
        }
        if self.nodes[v].next.is_none() {
            let fast = self.plan.planted == Some(Planted::FastClock);
            let due = if fast { due.div_ceil(4) } else { due }.max(self.now + 1);
            self.nodes[v].next = Some(due);
            let life = self.nodes[v].life;
            self.at(due, Event::VoterTime { voter: v, life });
        }
    }

    /// The first invariant: by the index up to which a voter has applied.
    fn same_state(&mut self, v: usize, applied: u64) {
        let Some(voter) = self.nodes[v].voter.as_ref() else { return };
        let sum = crc32fast::hash(&voter.state.encode());
        if *self.states.entry(applied).or_insert(sum) != sum {
            self.break_of(format!("v{v} holds another state at entry {applied} than a voter before"));
        }
    }

    fn see_leader(&mut self) {
        let leads = self.nodes.iter().any(|n| !n.paused && n.voter.as_ref().is_some_and(Voter::leads));
        match (leads, self.leaderless_since) {
            (true, Some(since)) => {
                self.report.leaderless.push(self.now - since);
                self.report.elections += 1;
                self.leaderless_since = None;
            }
            (false, None) => self.leaderless_since = Some(self.now),
            _ => {}
        }
    }

    fn carry_out(&mut self, v: usize, out: Out) {
        match out {
            Out::Send(message) => {
                let Some(to) = self.ids.get(&message.to).copied() else { return };
                // A disk that is gone is not reached under its old number.
                if self.nodes[to].id == message.to
                    && let Some(us) = self.link(v, to)
                {
                    self.at(self.now + us, Event::Peer { to, message });
                }
            }
            Out::Answer { token, response } => {
                let Some((from, token)) = self.asked.get(token as usize).copied() else { return };
                if let Some(us) = self.link(v, from) {
                    self.at(self.now + us, Event::Answer { to: from, token, response });
                }
            }
            Out::Event(voter::Event::SnapshotTaken { .. }) => self.report.snapshots_taken += 1,
            Out::Event(_) => {}
        }
    }

    fn send_call(&mut self, from: usize, to: usize, token: u64, request: Request) {
        if let Some(us) = self.link(from, to) {
            self.at(self.now + us, Event::Call { from, to, token, request });
        }
    }

    fn call(&mut self, from: usize, to: usize, token: u64, request: Request) {
        if self.plan.planted == Some(Planted::StaleRead)
            && let (Request::Get { key }, Some(voter)) = (&request, self.nodes[to].voter.as_ref())
        {
            let (version, value) = voter.state.get(key);
            let response = Response::Document { version, value: value.map(<[u8]>::to_vec) };
            if let Some(us) = self.link(to, from) {
                self.at(self.now + us, Event::Answer { to: from, token, response });
            }
            return;
        }
        let own = self.asked.len() as u64;
        self.asked.push((from, token));
        if let Some(voter) = self.nodes[to].voter.as_mut() {
            voter.request(own, request);
            self.pump(to);
        }
    }

    fn answered(&mut self, to: usize, token: u64, response: Response) {
        if to < self.plan.voters {
            let taken_in = matches!(response, Response::Applied(Applied::VotersChanged));
            self.nodes[to].joining &= !taken_in;
            return;
        }
        let member = to - self.plan.voters;
        if member < self.members.len() {
            self.note(format!("member {member}").as_bytes());
            self.members[member].answer(self.now, token, response);
            return self.member_time(member);
        }
        self.client_answer(member - self.members.len(), token, response);
    }

    fn member_time(&mut self, m: usize) {
        let call = self.members[m].time(self.now);
        for event in self.members[m].events() {
            match event {
                member::Event::Lost { .. } => self.report.leases_lost += 1,
                member::Event::Held { .. } => self.one_holder(m),
                _ => {}
            }
        }
        if let Some(call) = call {
            let to = call.to[1..].parse().unwrap_or(0);
            self.send_call(self.plan.voters + m, to, call.token, call.request);
        }
        let due = self.members[m].due().max(self.now + 1);
        self.at(due, Event::MemberTime { member: m });
    }

    /// The third invariant.
    fn one_holder(&mut self, m: usize) {
        let other = if m >= self.plan.members {
            m - self.plan.members
        } else if m < self.plan.twins {
            self.plan.members + m
        } else {
            return;
        };
        let held = |m: usize| self.members[m].held(self.now).is_some();
        if held(m) && held(other) {
            self.break_of(format!("two processes hold the lease of {m} and {other}"));
        }
    }

    fn client_time(&mut self, c: usize) {
        let party = self.plan.voters + self.members.len() + c;
        let client = &mut self.clients[c];
        if client.call.is_none() {
            if client.left == 0 {
                return;
            }
            client.left -= 1;
            client.number += 1;
            let key = self.rng.gen_range(0..self.plan.keys);
            let name = format!("k{key}");
            let (op, request) = if self.rng.gen_bool(0.5) {
                (Op::Get, Request::Get { key: name })
            } else {
                let value = client.caller * 1000 + client.number;
                let if_version = self.rng.gen_bool(0.5).then_some(client.versions[key]);
                let id = CallId { caller: client.caller, number: client.number };
                let bytes = Some(value.to_be_bytes().to_vec());
                let command = Command::Put { key: name, value: bytes, if_version };
                (Op::Put { value, if_version }, Request::Change { id, command })
            };
            client.call = Some((key, op, request, self.now));
            self.report.history.push(Done { client: c, key, op, asked: self.now, answered: None });
        } else if self.now < client.until {
            return;
        } else if !std::mem::take(&mut client.told) {
            client.target = (client.target + 1) % self.plan.voters;
        }
        let client = &mut self.clients[c];
        client.token += 1;
        client.until = self.now + 250_000;
        if self.plan.planted == Some(Planted::StaleRead) {
            client.target = self.rng.gen_range(0..self.plan.voters);
        }
        let (to, token, until) = (client.target, client.token, client.until);
        let Some((.., request, _)) = client.call.as_mut() else { return };
        if self.plan.planted == Some(Planted::CallTwice)
            && let Request::Change { id, .. } = request
        {
            id.number = token + 1_000_000;
        }
        let request = request.clone();
        self.send_call(party, to, token, request);
        self.at(until, Event::ClientTime { client: c });
    }

    fn client_answer(&mut self, c: usize, token: u64, response: Response) {
        self.note(format!("client {c}").as_bytes());
        let client = &mut self.clients[c];
        if client.token != token {
            return;
        }
        let Some((key, ..)) = client.call else { return };
        let number = |v: Vec<u8>| v.try_into().map(u64::from_be_bytes).unwrap_or(u64::MAX);
        let ret = match response {
            Response::Applied(Applied::Put { version }) => Ret::Put(version),
            Response::Applied(Applied::Conflict { version }) => Ret::Conflict(version),
            Response::Document { version, value } => Ret::Got { version, value: value.map(number) },
            Response::NotLeader { leader } => {
                let named = leader.and_then(|n| n[1..].parse().ok());
                client.target = named.unwrap_or((client.target + 1) % self.plan.voters);
                client.told = true;
                // Asked again soon, but not at once: nobody may be elected yet.
                client.until = self.now + 20_000;
                let until = client.until;
                return self.at(until, Event::ClientTime { client: c });
            }
            _ => {
                client.until = self.now + 50_000;
                let until = client.until;
                return self.at(until, Event::ClientTime { client: c });
            }
        };
        client.versions[key] = match &ret {
            Ret::Put(version) | Ret::Conflict(version) | Ret::Got { version, .. } => *version,
        };
        (client.call, client.told) = (None, false);
        let (now, history) = (self.now, &mut self.report.history);
        if let Some(done) = history.iter_mut().rev().find(|d| d.client == c && d.answered.is_none()) {
            done.answered = Some((now, ret));
        }
        let pause = self.rng.gen_range(10_000..900_000);
        self.at(self.now + pause, Event::ClientTime { client: c });
    }
}
