//! The store as a state machine: the agreement, the state that its log makes, and those who follow it. No I/O, no clock.

use cluster::copy::Copy;
use cluster::state::{Command, Done, State};
use cluster::talk::{FRESH_US, FromStore, StorePeer, ToStore, Unsure};
use cluster::{Micros, Rev};
use consensus::{Disk, Message, NotLeader, Payload, Ratchet, Role, Saved, Timing, Write};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

pub type Peer = StorePeer<Message>;

pub enum Input {
    Tick,
    Peer(Ipv4Addr, Peer),
    /// By a registry that is linked to this store.
    Local(u64, ToStore),
    LocalDown(u64),
    Written(u64),
    WriteFailed,
    /// The program is about to end: it may once [`Chest::ends_at`] has come.
    Stop,
    /// As the settings have it: how many members the core is to have, and who is asked for the group.
    Settings {
        size: Option<usize>,
        seeds: Vec<Ipv4Addr>,
    },
}

#[derive(Debug)]
pub enum Output {
    Peer(Ipv4Addr, Peer),
    Local(u64, FromStore),
    Write(Write),
}

/// How often followers are told how this store stands, if nothing changes and none asks.
const STANDING_US: Micros = 500_000;
/// Between two questions to the leader of how far the log is agreed.
const ASK_US: Micros = 300_000;
/// Who was not called for so long, though it wanted to be, was stopped: its own timers come before what is waiting.
const AWAY_US: Micros = 2 * ASK_US;
/// A call handed to the leader is given up after so long.
const HANDED_US: Micros = 1_000_000;
/// A store that is asked to end waits so long for another to lead, or to take its place.
const HAND_OVER_US: Micros = 400_000;
/// While another is taking its place it goes on, so long at most, and this much beyond the moment that it is done: the
/// others are to know it, too.
const REPLACED_US: Micros = 2_500_000;
const LINGER_US: Micros = 150_000;
/// Entries applied between two snapshots, and, in states of this one's size, their bytes.
const SNAPSHOT_EVERY: u64 = 256;
const SNAPSHOT_STATES: usize = 4;
/// Calls are numbered from here on in each life, by what the life was drawn: an answer to a call of another life, which the
/// leader still had, must not be taken for that to a call of this one.
fn first_ticket(life: u64) -> u64 {
    (life & LIFE_BITS) << CALL_BITS
}
/// So many calls of a life are told apart, and so many lives.
const CALL_BITS: u32 = 28;
const LIFE_BITS: u64 = (1 << 28) - 1;
/// Results kept until their callers are told.
const RESULTS: usize = 1024;

/// Who waits for an answer.
#[derive(Clone, Copy, Debug)]
enum Caller {
    Local {
        link: u64,
        ticket: u64,
    },
    Peer {
        ip: Ipv4Addr,
        ticket: u64,
    },
    /// This store, to know whether it is fresh.
    Own {
        asked: Micros,
    },
}

#[derive(Clone, Copy, Debug)]
enum Call {
    Propose,
    Read,
}

struct Handed {
    caller: Caller,
    call: Call,
    until: Micros,
}

/// How a store stands, for its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    pub leader: Option<Ipv4Addr>,
    pub term: u64,
    pub fresh: bool,
}

impl std::fmt::Display for Standing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let fresh = if self.fresh { "fresh" } else { "not fresh" };
        match self.leader {
            Some(leader) => write!(f, "term {}: follows {leader}, {fresh}", self.term),
            None => write!(f, "term {}: nobody leads, {fresh}", self.term),
        }
    }
}

pub struct Chest {
    me: Ipv4Addr,
    disk: Disk,
    now: Micros,
    consensus: Ratchet,
    out: consensus::Output,
    pub copy: Copy,
    seeds: Vec<Ipv4Addr>,
    followers: BTreeMap<u64, Rev>,
    /// The last question of each that was answered or is now.
    asked: BTreeMap<u64, Micros>,
    /// Calls under way here, and those handed to the leader, by our ticket.
    calls: BTreeMap<u64, (Caller, Call)>,
    handed: BTreeMap<u64, Handed>,
    tickets: u64,
    /// What became of the last entries.
    results: VecDeque<(Rev, Done)>,
    /// Committed here, not applied yet.
    settled: Vec<(Caller, Rev)>,
    snapshot_at: Rev,
    /// Bytes of the last snapshot, and of the entries after it.
    snapshot_bytes: usize,
    since_bytes: usize,
    /// What the others agree on that this program cannot read: it takes no part any more.
    unreadable: Option<String>,
    stood: Option<(Vec<Ipv4Addr>, bool, bool, u64)>,
    standing_at: Micros,
    /// When it was asked to end, and when it may.
    stops: Option<(Micros, Micros)>,
    ask_at: Micros,
    /// Asked then, the log was agreed up to there.
    agreed: VecDeque<(Micros, Rev)>,
    /// The latest of those times whose entries are all in the copy here.
    fresh_at: Option<Micros>,
}

impl Chest {
    /// `saved`: what is on disk number `disk`; `life`: drawn at each start.
    pub fn new(
        me: Ipv4Addr,
        disk: Disk,
        saved: Saved,
        seeds: Vec<Ipv4Addr>,
        life: u64,
        now: Micros,
    ) -> Result<Chest, String> {
        let mut state = State::default();
        if !saved.snapshot.data.is_empty() {
            state = State::read(now, &saved.snapshot.data)?;
        }
        state.rev = state.rev.max(saved.snapshot.index);
        let (snapshot_at, snapshot_bytes) = (state.rev, saved.snapshot.data.len());
        let consensus = Ratchet::new(me, disk, saved, life, Timing::default(), now);
        let mut chest = Chest {
            me,
            disk,
            now,
            consensus,
            out: consensus::Output::default(),
            copy: Copy::of(state),
            seeds: seeds.clone(),
            followers: BTreeMap::new(),
            asked: BTreeMap::new(),
            calls: BTreeMap::new(),
            handed: BTreeMap::new(),
            tickets: first_ticket(life),
            results: VecDeque::new(),
            settled: Vec::new(),
            snapshot_at,
            snapshot_bytes,
            since_bytes: 0,
            unreadable: None,
            stood: None,
            standing_at: now,
            stops: None,
            ask_at: now,
            agreed: VecDeque::new(),
            fresh_at: None,
        };
        chest.consensus.handle(now, consensus::Input::Seeds(seeds), &mut chest.out);
        Ok(chest)
    }

    pub fn disk(&self) -> Disk {
        self.disk
    }

    /// The other stores that it speaks with.
    pub fn fellows(&self) -> BTreeSet<Ipv4Addr> {
        let members = self.consensus.roster().members.keys().copied();
        members.chain(self.seeds.iter().copied()).filter(|ip| *ip != self.me).collect()
    }

    pub fn wake_at(&self) -> Micros {
        let handed = self.handed.values().map(|h| h.until).min().unwrap_or(Micros::MAX);
        let ends = self.stops.map_or(Micros::MAX, |(_, at)| if at > self.now { at } else { Micros::MAX });
        self.out.wake_at.min(handed).min(self.standing_at).min(self.ask_at).min(ends)
    }

    /// When the program may end, once it was asked to.
    pub fn ends_at(&self) -> Option<Micros> {
        self.stops.map(|(_, at)| at)
    }

    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        let away = now > self.now + AWAY_US;
        self.now = self.now.max(now);
        if away {
            // It leads no longer, if nobody has answered meanwhile: what comes now must not be taken as if it did.
            self.agree(consensus::Input::Tick, out);
        }
        match input {
            Input::Tick => self.agree(consensus::Input::Tick, out),
            Input::Written(number) => self.agree(consensus::Input::Written { number }, out),
            Input::WriteFailed => self.agree(consensus::Input::WriteFailed, out),
            Input::Stop => {
                self.stops.get_or_insert((self.now, self.now + HAND_OVER_US));
                self.agree(consensus::Input::Yield, out);
            }
            Input::Settings { size, seeds } => {
                if let Some(size) = size {
                    self.agree(consensus::Input::Size(size), out);
                }
                self.seeds = seeds.clone();
                self.agree(consensus::Input::Seeds(seeds), out);
            }
            Input::Peer(ip, peer) => self.peer(ip, peer, out),
            Input::Local(link, ToStore::Follow { rev }) => {
                self.followers.insert(link, rev);
                self.stood = None;
                self.feed(link, out);
            }
            Input::Local(link, ToStore::Propose { ticket, command }) => {
                self.propose(Caller::Local { link, ticket }, command, true, out);
            }
            Input::Local(link, ToStore::Read { ticket }) => {
                self.read(Caller::Local { link, ticket }, true, out);
            }
            Input::Local(link, ToStore::Stand { asked }) => {
                self.asked.insert(link, asked);
                self.stood = None;
            }
            Input::Local(link, ToStore::Duty { ticket, term, command }) => {
                let caller = Caller::Local { link, ticket };
                match self.leads() && self.consensus.term() == term {
                    true => self.propose(caller, command, false, out),
                    false => self.tell(caller, Call::Propose, Err(Unsure::Not), out),
                }
            }
            Input::LocalDown(link) => {
                self.followers.remove(&link);
                self.asked.remove(&link);
            }
        }
        if self.now >= self.ask_at {
            self.ask_at = self.now + ASK_US;
            // Spares ask, too: what was agreed and is here makes a copy fresh, whoever counts.
            if self.consensus.standing() || self.consensus.leader().is_some() {
                self.read(Caller::Own { asked: self.now }, true, out);
            }
        }
        if let Some((asked, at)) = &mut self.stops
            && self.consensus.is_being_replaced()
        {
            *at = (*at).max(self.now + LINGER_US).min(*asked + REPLACED_US);
        }
        self.give_up(out);
        self.stand(out);
    }

    // ---- calls ----

    fn ticket(&mut self) -> u64 {
        self.tickets += 1;
        self.tickets
    }

    /// Here if this store leads, else by who does; `hand_on`: it has not been handed on before.
    fn propose(&mut self, caller: Caller, command: Command, hand_on: bool, out: &mut Vec<Output>) {
        let ticket = self.ticket();
        match self.consensus.leader() {
            Some(leader) if leader == self.me => {
                self.calls.insert(ticket, (caller, Call::Propose));
                let data = postcard::to_stdvec(&command).expect("plain data");
                self.agree(consensus::Input::Propose { ticket, data }, out);
            }
            Some(leader) if hand_on => {
                let until = self.now + HANDED_US;
                self.handed.insert(ticket, Handed { caller, call: Call::Propose, until });
                out.push(Output::Peer(leader, Peer::Propose { ticket, command }));
            }
            _ => self.tell(caller, Call::Propose, Err(Unsure::Not), out),
        }
    }

    fn read(&mut self, caller: Caller, hand_on: bool, out: &mut Vec<Output>) {
        let ticket = self.ticket();
        match self.consensus.leader() {
            Some(leader) if leader == self.me => {
                self.calls.insert(ticket, (caller, Call::Read));
                self.agree(consensus::Input::Read { ticket }, out);
            }
            Some(leader) if hand_on => {
                let until = self.now + HANDED_US;
                self.handed.insert(ticket, Handed { caller, call: Call::Read, until });
                out.push(Output::Peer(leader, Peer::Read { ticket }));
            }
            _ => self.tell(caller, Call::Read, Err(Unsure::Not), out),
        }
    }

    fn tell(
        &mut self,
        caller: Caller,
        call: Call,
        result: Result<(Rev, Done), Unsure>,
        out: &mut Vec<Output>,
    ) {
        let reads = result.as_ref().map(|(rev, _)| *rev).map_err(|e| *e);
        if let Caller::Own { asked } = caller {
            self.agreed.extend(reads.ok().map(|rev| (asked, rev)));
            return;
        }
        out.push(match (caller, call) {
            (Caller::Local { link, ticket }, Call::Propose) => {
                Output::Local(link, FromStore::Proposed { ticket, result })
            }
            (Caller::Local { link, ticket }, Call::Read) => {
                Output::Local(link, FromStore::Reads { ticket, result: reads })
            }
            (Caller::Peer { ip, ticket }, Call::Propose) => {
                Output::Peer(ip, Peer::Proposed { ticket, result })
            }
            (Caller::Peer { ip, ticket }, Call::Read) => {
                Output::Peer(ip, Peer::Reads { ticket, result: reads })
            }
            (Caller::Own { .. }, _) => return,
        });
    }

    fn peer(&mut self, ip: Ipv4Addr, peer: Peer, out: &mut Vec<Output>) {
        match peer {
            Peer::Iam { .. } => {}
            Peer::Agree { from_disk, message } => {
                self.agree(consensus::Input::Message { from: ip, from_disk, message }, out);
            }
            Peer::Propose { ticket, command } => {
                self.propose(Caller::Peer { ip, ticket }, command, false, out);
            }
            Peer::Read { ticket } => self.read(Caller::Peer { ip, ticket }, false, out),
            Peer::Proposed { ticket, result } => {
                if let Some(h) = self.handed.remove(&ticket) {
                    self.tell(h.caller, h.call, result, out);
                }
            }
            Peer::Reads { ticket, result } => {
                if let Some(h) = self.handed.remove(&ticket) {
                    self.tell(h.caller, h.call, result.map(|rev| (rev, Done::Taken)), out);
                }
            }
        }
    }

    fn give_up(&mut self, out: &mut Vec<Output>) {
        while let Some(ticket) = self.handed.iter().find(|(_, h)| h.until <= self.now).map(|(t, _)| *t) {
            if let Some(h) = self.handed.remove(&ticket) {
                self.tell(h.caller, h.call, Err(Unsure::Perhaps), out);
            }
        }
    }

    // ---- the agreement ----

    fn agree(&mut self, input: consensus::Input, out: &mut Vec<Output>) {
        self.consensus.handle(self.now, input, &mut self.out);
        let rev = self.copy.rev();
        let mut done = std::mem::take(&mut self.out);
        self.out.wake_at = done.wake_at;
        if let Err(why) = self.take_over(&mut done) {
            // Nothing of it goes to the disk, so that a program that can read it finds what was there before.
            self.unreadable = Some(why);
            (done.send, done.write) = (Vec::new(), None);
            self.consensus.handle(self.now, consensus::Input::WriteFailed, &mut done);
            self.out.wake_at = done.wake_at;
        }
        for (to, message) in done.send.drain(..) {
            out.push(Output::Peer(to, Peer::Agree { from_disk: self.disk, message }));
        }
        if let Some(write) = done.write.take() {
            out.push(Output::Write(write));
        }
        let results = done.proposed.drain(..).chain(done.read.drain(..));
        for (ticket, result) in results {
            let Some((caller, call)) = self.calls.remove(&ticket) else { continue };
            match (call, result) {
                (_, Err(NotLeader(_))) => self.tell(caller, call, Err(Unsure::Not), out),
                (Call::Read, Ok(rev)) => self.tell(caller, call, Ok((rev, Done::Taken)), out),
                (Call::Propose, Ok(rev)) => self.settled.push((caller, rev)),
            }
        }
        for ticket in done.lost.drain(..) {
            if let Some((caller, call)) = self.calls.remove(&ticket) {
                self.tell(caller, call, Err(Unsure::Perhaps), out);
            }
        }
        let here = self.copy.rev();
        let (ready, wait) = self.settled.drain(..).partition(|(_, rev)| *rev <= here);
        self.settled = wait;
        let ready: Vec<(Caller, Rev)> = ready;
        for (caller, rev) in ready {
            let found = self.results.iter().rev().find(|(at, _)| *at == rev).map(|(_, done)| done.clone());
            self.tell(caller, Call::Propose, found.map(|d| (rev, d)).ok_or(Unsure::Perhaps), out);
        }
        if here > rev {
            let links: Vec<u64> = self.followers.keys().copied().collect();
            links.into_iter().for_each(|link| self.feed(link, out));
        }
        let large = self.since_bytes >= SNAPSHOT_STATES * consensus::enough(self.snapshot_bytes);
        if here >= self.snapshot_at + SNAPSHOT_EVERY || here > self.snapshot_at && large {
            let data = self.copy.state.write(self.now);
            (self.snapshot_at, self.snapshot_bytes, self.since_bytes) = (here, data.len(), 0);
            self.agree(consensus::Input::Snapshot { index: here, data }, out);
        }
    }

    /// Takes over what is agreed. Err: this program cannot read it; to go on without would be another state.
    fn take_over(&mut self, done: &mut consensus::Output) -> Result<(), String> {
        if let Some(snapshot) = done.installed.take() {
            let mut state = State::read(self.now, &snapshot.data)
                .map_err(|why| format!("the others' state at entry {}: {why}", snapshot.index))?;
            state.rev = state.rev.max(snapshot.index);
            self.copy = Copy::of(state);
            (self.snapshot_at, self.since_bytes) = (self.copy.rev(), 0);
            self.snapshot_bytes = snapshot.data.len();
        }
        for entry in done.committed.drain(..) {
            self.since_bytes += entry.size();
            let command = match entry.payload {
                Payload::Data(data) => Some(
                    postcard::from_bytes::<Command>(&data)
                        .map_err(|e| format!("entry {} is no command of this program: {e}", entry.index))?,
                ),
                Payload::Nothing | Payload::Roster(_) | Payload::Joint { .. } => None,
            };
            let result = self.copy.apply(self.now, entry.index, command);
            self.results.push_back((entry.index, result));
            if self.results.len() > RESULTS {
                self.results.pop_front();
            }
        }
        Ok(())
    }

    /// What the others agree on that this program cannot read.
    pub fn unreadable(&self) -> Option<&str> {
        self.unreadable.as_deref()
    }

    // ---- those who follow ----

    fn feed(&mut self, link: u64, out: &mut Vec<Output>) {
        let Some(rev) = self.followers.get_mut(&link) else { return };
        if let Some(news) = self.copy.since(self.now, *rev) {
            *rev = self.copy.rev();
            out.push(Output::Local(link, FromStore::News(news)));
        }
    }

    /// Whether this store held, within [`FRESH_US`], all that was acknowledged by then.
    pub fn fresh(&self) -> bool {
        self.fresh_ms().is_some()
    }

    fn fresh_ms(&self) -> Option<u32> {
        let reads = self.unreadable.is_none();
        let at = self.fresh_at.filter(|at| reads && self.now < at + FRESH_US)?;
        u32::try_from((self.now - at) / 1000).ok()
    }

    /// What was agreed when it was asked for, and has all come since.
    fn catch_up(&mut self) {
        while let Some((asked, _)) = self.agreed.pop_front_if(|(_, rev)| *rev <= self.copy.rev()) {
            self.fresh_at = self.fresh_at.max(Some(asked));
        }
    }

    pub fn standing(&self) -> Standing {
        Standing { leader: self.consensus.leader(), term: self.consensus.term(), fresh: self.fresh() }
    }

    pub fn leads(&self) -> bool {
        self.consensus.role() == Role::Leader
    }

    fn stand(&mut self, out: &mut Vec<Output>) {
        self.catch_up();
        let core: Vec<Ipv4Addr> = self.consensus.roster().members.keys().copied().collect();
        let stands = (core, self.fresh(), self.leads(), self.consensus.term());
        if self.now < self.standing_at && self.stood.as_ref() == Some(&stands) {
            return;
        }
        self.standing_at = self.now + STANDING_US;
        for link in self.followers.keys() {
            let (core, _, leads, term) = stands.clone();
            let (fresh_ms, asked) = (self.fresh_ms(), self.asked.get(link).copied().unwrap_or_default());
            out.push(Output::Local(*link, FromStore::Standing { core, fresh_ms, leads, term, asked }));
        }
        self.stood = Some(stands);
    }
}
