//! A voter: the consensus crate around a log in memory, and the agreed state that the log makes. No I/O: it is told the
//! time, messages and requests, and says what to write, and, once that is synced, what to send and to answer.
//!
//! Order kept by whoever drives it: after each input, [`Voter::write`]; if it gives something, sync it, then
//! [`Voter::synced`]; again until there is nothing; then carry out [`Voter::take`]. So nothing is sent or answered as
//! agreed before it is on disk.
//!
//! Clock: one that never runs backwards. A gap (a stalled process, a clock that jumped) is seen and starts all leases
//! anew. Reads and renewals are answered only after a majority has confirmed that this is still the leader, so one that
//! was paused and woken serves nothing old.

use crate::Micros;
use crate::mirror::{self, LogEntry, Mirror, PeerMessage, Saved, Snap, Write};
use crate::state::{Applied, CallId, Changes, Command, Lease, State, VoterChange};
use raft::eraftpb::{ConfChange, ConfChangeType};
use raft::{Config, RawNode, Ready, StateRole};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use slog::Logger;
use std::collections::{BTreeMap, BTreeSet};

/// What a voter is set up with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its number in the consensus: that of its disk.
    pub id: u64,
    /// How long without a word from the leader before it asks for votes; a drawn part of as much again is added.
    pub election_us: Micros,
    /// How long a member's lease lasts from when it asked.
    pub lease_us: Micros,
    /// Draws the spread of elections.
    pub seed: u64,
    /// Entries applied beyond the last snapshot before the next is made.
    pub compact_after: u64,
}

/// Ticks of the consensus in an election's time; a heartbeat goes out every two.
const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// What one message of entries may hold, and how much may be proposed and not yet agreed.
const MOST_MESSAGE: u64 = 1 << 20;
const MOST_UNCOMMITTED: u64 = 8 << 20;
/// Requests that may wait at a voter; beyond it they are told to come back.
const MOST_WAITING: usize = 4096;
/// A page of changes, in bytes.
pub const PAGE: usize = 256 << 10;

/// What is asked of the group, by a member or on its behalf.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    Change {
        id: CallId,
        command: Command,
    },
    Get {
        key: String,
    },
    /// A member shows that it lives; the lease counts from when it asked.
    Renew {
        name: String,
        incarnation: u64,
    },
    Fetch {
        since: u64,
    },
    Status,
    /// A voter that came with an empty disk asks to follow and then to vote under its name.
    Join {
        id: u64,
        name: String,
        addr: String,
    },
    RemoveVoter {
        name: String,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    Applied(Applied),
    Document {
        version: u64,
        value: Option<Vec<u8>>,
    },
    Renewed {
        lease_us: Micros,
        revision: u64,
    },
    /// The name has another holder, or its lease has ended: register anew.
    NotHeld,
    Changes(Changes),
    Status(Status),
    /// Ask the one named, if one is known.
    NotLeader {
        leader: Option<String>,
    },
    /// Too much waits here, or no majority answers: come back.
    Busy,
    /// The leader changed under it: it may have been carried out. The same call again finds out.
    Unknown,
    Refused {
        why: String,
    },
}

/// What a voter knows of itself and the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    pub id: u64,
    pub leader: u64,
    pub leads: bool,
    pub term: u64,
    pub commit: u64,
    pub applied: u64,
    pub snapshot: u64,
    pub log_entries: u64,
    pub revision: u64,
    pub votes: bool,
    /// Elections that this voter has won since it started.
    pub won: u64,
}

/// What it wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Send(PeerMessage),
    Answer { token: u64, response: Response },
    Event(Event),
}

/// What an operator is told of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Leader {
        id: u64,
        term: u64,
    },
    NoLeader {
        term: u64,
    },
    LeaseEnded {
        name: String,
        incarnation: u64,
        released: bool,
    },
    Registered {
        name: String,
        incarnation: u64,
    },
    Snapshot {
        index: u64,
        bytes: usize,
    },
    SnapshotTaken {
        index: u64,
    },
    Voters {
        change: VoterChange,
    },
    /// Time went on without this voter: leases start anew.
    Gap {
        us: Micros,
    },
}

struct Read {
    token: u64,
    request: Request,
}

/// Why a replicated entry is in the log: the proposer's own number, so that its answer finds the asker.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Tag {
    proposer: u64,
    number: u64,
    call: Option<CallId>,
}

pub struct Voter {
    node: RawNode<Mirror>,
    pub state: State,
    setup: Setup,
    rng: SmallRng,
    now: Micros,
    next_tick: Micros,
    applied: u64,
    /// Entries of this life start at a drawn number: a number of the life before must not be taken for one of this.
    number: u64,
    proposed: BTreeMap<u64, u64>,
    reads: Vec<Read>,
    asked: BTreeMap<u64, Vec<Read>>,
    confirmed: Vec<(u64, Read)>,
    read_number: u64,
    asked_at: Micros,
    /// Of the lead: since when, and who was heard of when.
    since: Micros,
    heard: BTreeMap<String, (u64, Micros)>,
    ending: BTreeMap<String, Micros>,
    ready: Option<Ready>,
    snap_due: Option<(Snap, u64)>,
    /// A snapshot is wanted now, however short the log is.
    snap_now: bool,
    out: Vec<Out>,
    leader: u64,
    led: bool,
    won: u64,
    /// The election's time as last drawn, and for which term, role and leader.
    drawn: ((u64, u8, u64), usize),
    /// Lost disks whose name votes on another by now.
    lost: BTreeSet<u64>,
    conf_pending_until: Micros,
}

impl Voter {
    /// From what its disk holds; one that has no voters in it waits to be taught by a leader.
    pub fn new(setup: Setup, saved: Saved, now: Micros, log: &Logger) -> Result<Voter, String> {
        let state = if saved.snap.data.is_empty() {
            State::default()
        } else {
            State::decode(&saved.snap.data).map_err(|e| format!("snapshot: {e}"))?
        };
        let applied = saved.snap.index;
        let config = Config {
            id: setup.id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied,
            max_size_per_msg: MOST_MESSAGE,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: MOST_UNCOMMITTED,
            ..Config::default()
        };
        let mirror = Mirror { saved };
        let node = RawNode::new(&config, mirror, log).map_err(|e| format!("consensus: {e}"))?;
        let mut rng = SmallRng::seed_from_u64(setup.seed ^ setup.id);
        let number = rng.r#gen::<u64>() >> 1;
        let mut voter = Voter {
            node,
            state,
            next_tick: now + setup.election_us / ELECTION_TICKS as u64,
            setup,
            rng,
            now,
            applied,
            number,
            proposed: BTreeMap::new(),
            reads: Vec::new(),
            asked: BTreeMap::new(),
            confirmed: Vec::new(),
            read_number: number,
            asked_at: 0,
            since: now,
            heard: BTreeMap::new(),
            ending: BTreeMap::new(),
            ready: None,
            snap_due: None,
            snap_now: false,
            out: Vec::new(),
            leader: 0,
            led: false,
            won: 0,
            drawn: ((0, u8::MAX, 0), ELECTION_TICKS),
            lost: BTreeSet::new(),
            conf_pending_until: 0,
        };
        voter.draw_election();
        Ok(voter)
    }

    /// The crate draws its election times from a source of its own; they are set here, so that equal inputs and seeds
    /// give equal courses. Drawn anew whenever term, role or leader change.
    fn draw_election(&mut self) {
        let raft = &self.node.raft;
        let course = (raft.term, raft.state as u8, raft.leader_id);
        if self.drawn.0 != course {
            self.drawn = (course, self.rng.gen_range(ELECTION_TICKS..2 * ELECTION_TICKS));
        }
        self.node.raft.set_randomized_election_timeout(self.drawn.1);
    }

    fn tick_us(&self) -> Micros {
        (self.setup.election_us / ELECTION_TICKS as u64).max(1)
    }

    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// When it wants to be told the time next.
    pub fn due(&self) -> Micros {
        self.next_tick
    }

    pub fn status(&self) -> Status {
        let raft = &self.node.raft;
        let store = &self.node.store().saved;
        Status {
            id: self.setup.id,
            leader: raft.leader_id,
            leads: self.leads(),
            term: raft.term,
            commit: raft.raft_log.committed,
            applied: self.applied,
            snapshot: store.snap.index,
            log_entries: store.entries.len() as u64,
            revision: self.state.revision,
            votes: raft.prs().conf().voters().contains(self.setup.id),
            won: self.won,
        }
    }

    /// The name of the leader, if one is known.
    pub fn leader_name(&self) -> Option<String> {
        self.state.voters.get(&self.node.raft.leader_id).map(|v| v.name.clone())
    }

    /// Time has come to `now`: at most one tick of the consensus, however late it is, so that a process that was
    /// stalled hears what came meanwhile before it asks for votes.
    pub fn time(&mut self, now: Micros) {
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if gap > self.setup.election_us {
            self.out.push(Out::Event(Event::Gap { us: gap }));
            self.since = self.now;
        }
        if self.now < self.next_tick {
            return;
        }
        self.next_tick = self.now + self.tick_us();
        self.node.tick();
        self.draw_election();
        if self.leads() {
            self.end_leases();
            self.promote();
            // A majority that is silent: whoever waits is told, so that he asks elsewhere.
            if !self.asked.is_empty() && self.now > self.asked_at + 2 * self.setup.election_us {
                for (_, reads) in std::mem::take(&mut self.asked) {
                    reads.into_iter().for_each(|r| self.answer(r.token, Response::Busy));
                }
            }
        }
    }

    pub fn message(&mut self, message: PeerMessage) {
        if message.to != self.setup.id {
            return;
        }
        let Some(message) = message.into_raft() else { return };
        // Errors here are messages of voters that are none any more.
        let _ = self.node.step(message);
        self.draw_election();
    }

    pub fn unreachable(&mut self, id: u64) {
        self.node.report_unreachable(id);
    }

    /// What became of a snapshot on its way to a voter.
    pub fn snapshot_sent(&mut self, id: u64, whole: bool) {
        let status = if whole { raft::SnapshotStatus::Finish } else { raft::SnapshotStatus::Failure };
        self.node.report_snapshot(id, status);
    }

    /// Someone asks; the answer comes as [`Out::Answer`] with the same token, sooner or later.
    pub fn request(&mut self, token: u64, request: Request) {
        if !self.leads() {
            if matches!(request, Request::Status) {
                return self.answer(token, Response::Status(self.status()));
            }
            let leader = self.leader_name();
            return self.answer(token, Response::NotLeader { leader });
        }
        let waiting =
            self.proposed.len() + self.reads.len() + self.asked.values().map(Vec::len).sum::<usize>();
        if waiting >= MOST_WAITING {
            return self.answer(token, Response::Busy);
        }
        match request {
            Request::Change { command: Command::Voters { .. }, .. } => {
                let why = "changes of voters go by joining and removing".to_string();
                self.answer(token, Response::Refused { why });
            }
            Request::Change { id, command } => self.propose(Some(token), Some(id), &command),
            Request::Join { id, name, addr } => self.join(token, id, name, addr),
            Request::RemoveVoter { name } => self.remove_voter(token, &name),
            Request::Status => self.answer(token, Response::Status(self.status())),
            read => self.reads.push(Read { token, request: read }),
        }
    }

    fn answer(&mut self, token: u64, response: Response) {
        self.out.push(Out::Answer { token, response });
    }

    fn propose(&mut self, token: Option<u64>, call: Option<CallId>, command: &Command) {
        self.number += 1;
        let tag = Tag { proposer: self.setup.id, number: self.number, call };
        let context = postcard::to_stdvec(&tag).expect("plain data");
        let data = postcard::to_stdvec(command).expect("plain data");
        let proposed = match command {
            Command::Voters { change } => self.node.propose_conf_change(context, conf_change(change, data)),
            _ => self.node.propose(context, data),
        };
        match (proposed, token) {
            (Ok(()), Some(token)) => drop(self.proposed.insert(self.number, token)),
            (Err(_), Some(token)) => self.answer(token, Response::Busy),
            _ => {}
        }
    }

    /// At most one change of voters is under way at a time; the consensus passes over a second one.
    fn propose_voters(&mut self, token: Option<u64>, change: VoterChange) {
        if self.node.raft.has_pending_conf() || self.now < self.conf_pending_until {
            if let Some(token) = token {
                self.answer(token, Response::Busy);
            }
            return;
        }
        self.conf_pending_until = self.now + self.tick_us();
        self.propose(token, None, &Command::Voters { change });
    }

    fn join(&mut self, token: u64, id: u64, name: String, addr: String) {
        match self.state.voters.get(&id) {
            Some(v) if v.name == name => self.answer(token, Response::Applied(Applied::VotersChanged)),
            Some(v) => {
                let why = format!("the disk votes under the name {:?}", v.name);
                self.answer(token, Response::Refused { why });
            }
            None if !self.state.allowed.contains(&name) => {
                let why = format!("{name:?} may not vote: `curlewfront fleet voters add {name}` lets it");
                self.answer(token, Response::Refused { why });
            }
            // A learner of the same name that never came to vote gives way: its disk was lost in turn.
            None => match self.state.voters.iter().find(|(_, v)| v.name == name && !v.votes) {
                Some((old, _)) => {
                    let change = VoterChange::Remove { id: *old };
                    self.propose_voters(None, change);
                    self.answer(token, Response::Busy);
                }
                None => self.propose_voters(Some(token), VoterChange::Learn { id, name, addr }),
            },
        }
    }

    fn remove_voter(&mut self, token: u64, name: &str) {
        let votes = self.state.voters.values().filter(|v| v.votes).count();
        let found = self.state.voters.iter().find(|(_, v)| v.name == name).map(|(id, v)| (*id, v.votes));
        match found {
            None => {
                let why = format!("{name:?} is not a voter");
                self.answer(token, Response::Refused { why });
            }
            Some((_, true)) if votes == 1 => {
                let why = format!("{name:?} is the last voter");
                self.answer(token, Response::Refused { why });
            }
            Some((id, _)) => {
                self.propose(None, None, &Command::Allow { name: name.to_string(), vote: false });
                self.propose_voters(Some(token), VoterChange::Remove { id });
            }
        }
    }

    /// A learner that has caught up gets its vote, and then the lost disk of the same name loses its own: in this order
    /// there is never one vote fewer than before, and never two for one name for longer than one entry.
    fn promote(&mut self) {
        if self.node.raft.has_pending_conf() || self.now < self.conf_pending_until {
            return;
        }
        let learner = self.state.voters.iter().find(|(_, v)| !v.votes).map(|(id, v)| (*id, v.name.clone()));
        let Some((id, name)) = learner else {
            let lost = self.lost.iter().next().copied();
            if let Some(old) = lost {
                self.lost.remove(&old);
                if self.state.voters.contains_key(&old) {
                    self.propose_voters(None, VoterChange::Remove { id: old });
                }
            }
            return;
        };
        let committed = self.node.raft.raft_log.committed;
        let caught_up =
            self.node.raft.prs().get(id).is_some_and(|p| p.matched + 16 >= committed && p.recent_active);
        if caught_up {
            let old = self.state.voters.iter().find(|(o, v)| **o != id && v.name == name).map(|(o, _)| *o);
            self.lost.extend(old);
            self.propose_voters(None, VoterChange::Promote { id });
        }
    }

    /// Leases that nobody renewed for longer than a lease and an eighth, counted by the leader from when it heard, so
    /// later than any member counts its own. A new leader, and one whose time had a gap, starts all anew.
    fn end_leases(&mut self) {
        if !self.node.raft.commit_to_current_term() {
            return;
        }
        let most = self.setup.lease_us + self.setup.lease_us / 8;
        let (now, since) = (self.now, self.since);
        let ended = |(name, m): (&String, &crate::state::Member)| {
            let heard =
                self.heard.get(name).filter(|(i, _)| *i == m.incarnation).map_or(since, |(_, at)| *at);
            let over = m.lease == Lease::Held && now > heard.max(since) + most;
            let asked = self.ending.get(name).is_some_and(|at| now < at + most);
            (over && !asked).then(|| (name.clone(), m.incarnation))
        };
        let ended: Vec<_> = self.state.members.iter().filter_map(ended).collect();
        for (name, incarnation) in ended {
            self.ending.insert(name.clone(), now);
            self.propose(None, None, &Command::Expire { name, incarnation, released: false });
        }
    }

    fn start_reads(&mut self) {
        if !self.leads() || self.reads.is_empty() || !self.node.raft.commit_to_current_term() {
            return;
        }
        self.read_number += 1;
        self.asked_at = if self.asked.is_empty() { self.now } else { self.asked_at };
        self.node.read_index(self.read_number.to_be_bytes().to_vec());
        self.asked.insert(self.read_number, std::mem::take(&mut self.reads));
    }

    /// What is to be synced now; none when there is nothing left to do until the next input.
    pub fn write(&mut self) -> Option<Write> {
        debug_assert!(self.ready.is_none(), "the last write was not told to be synced");
        loop {
            self.start_reads();
            if !self.node.has_ready() {
                let snap = self.snap_due.take()?;
                let write = self.with_commit(Write { snap: Some(snap), ..Write::default() });
                write.apply(&mut self.node.mut_store().saved);
                return Some(write);
            }
            let mut ready = self.node.ready();
            if ready.ss().is_some() {
                self.role();
            }
            self.send(ready.take_messages());
            for read in ready.take_read_states() {
                self.confirm(read.index, &read.request_ctx);
            }
            let mut write = Write::default();
            if *ready.snapshot() != raft::eraftpb::Snapshot::default() {
                write.snap = Some((mirror::snap_of(ready.snapshot()), 0));
                self.snap_due = None;
            } else if let Some(snap) = self.snap_due.take() {
                write.snap = Some(snap);
            }
            write.entries = ready.entries().iter().map(mirror::entry_of).collect();
            // A commit alone need not be synced: it is found out again.
            if ready.must_sync() || !write.entries.is_empty() || write.snap.is_some() {
                write.hard = ready.hs().map(mirror::hard_of);
            } else if let Some(hard) = ready.hs() {
                self.node.mut_store().saved.hard = mirror::hard_of(hard);
            }
            let write = self.with_commit(write);
            write.apply(&mut self.node.mut_store().saved);
            self.ready = Some(ready);
            if !write.is_empty() {
                return Some(write);
            }
            self.synced();
        }
    }

    /// A snapshot goes to disk together with the knowledge that all of it is agreed, which else is not synced by itself:
    /// a log that begins behind what is known to be agreed could not be started from.
    fn with_commit(&self, mut write: Write) -> Write {
        if let Some((snap, _)) = &write.snap {
            let mut hard = write.hard.unwrap_or(self.node.store().saved.hard);
            hard.commit = hard.commit.max(snap.index);
            write.hard = Some(hard);
        }
        write
    }

    /// The last write is on disk for good.
    pub fn synced(&mut self) {
        let Some(mut ready) = self.ready.take() else { return };
        let later = ready.take_persisted_messages();
        self.send(later);
        let taken = mirror::snap_of(ready.snapshot());
        if taken.index > 0 {
            // Checked when it came in whole; a state that cannot be read is not gone on with.
            self.state = State::decode(&taken.data).expect("a snapshot that was checked");
            self.applied = taken.index;
            self.out.push(Out::Event(Event::SnapshotTaken { index: taken.index }));
        }
        let first = ready.take_committed_entries();
        let mut light = self.node.advance_append(ready);
        self.send(light.take_messages());
        let second = light.take_committed_entries();
        for entry in first.iter().chain(&second) {
            self.commit(&mirror::entry_of(entry));
        }
        self.node.advance_apply();
        self.answer_confirmed();
        self.compact();
    }

    fn send(&mut self, messages: Vec<raft::eraftpb::Message>) {
        self.out.extend(messages.into_iter().filter_map(PeerMessage::of).map(Out::Send));
    }

    /// What it wants done by now.
    pub fn take(&mut self) -> Vec<Out> {
        std::mem::take(&mut self.out)
    }

    /// The role or the leader has changed.
    fn role(&mut self) {
        let raft = &self.node.raft;
        let (leader, term, leads) = (raft.leader_id, raft.term, raft.state == StateRole::Leader);
        if leads && !self.led {
            self.since = self.now;
            self.won += 1;
            self.heard.clear();
            self.ending.clear();
            self.lost.clear();
        }
        if self.led && !leads {
            for (_, token) in std::mem::take(&mut self.proposed) {
                self.answer(token, Response::Unknown);
            }
            let asked: Vec<Read> = std::mem::take(&mut self.asked).into_values().flatten().collect();
            let confirmed = std::mem::take(&mut self.confirmed).into_iter().map(|(_, r)| r);
            let name = self.state.voters.get(&leader).map(|v| v.name.clone());
            for read in std::mem::take(&mut self.reads).into_iter().chain(asked).chain(confirmed) {
                self.answer(read.token, Response::NotLeader { leader: name.clone() });
            }
        }
        self.led = leads;
        if leader != self.leader {
            self.leader = leader;
            let event =
                if leader == 0 { Event::NoLeader { term } } else { Event::Leader { id: leader, term } };
            self.out.push(Out::Event(event));
        }
    }

    fn confirm(&mut self, index: u64, context: &[u8]) {
        let Ok(number) = context.try_into().map(u64::from_be_bytes) else { return };
        // One that is confirmed confirms those asked before it.
        let later = self.asked.split_off(&(number + 1));
        let done = std::mem::replace(&mut self.asked, later);
        self.asked_at = self.now;
        self.confirmed.extend(done.into_values().flatten().map(|r| (index, r)));
        self.answer_confirmed();
    }

    fn answer_confirmed(&mut self) {
        let applied = self.applied;
        let (ready, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.confirmed).into_iter().partition(|(index, _)| *index <= applied);
        self.confirmed = waiting;
        for (_, read) in ready {
            let response = self.read(&read.request);
            self.answer(read.token, response);
        }
    }

    fn read(&mut self, request: &Request) -> Response {
        match request {
            Request::Get { key } => {
                let (version, value) = self.state.get(key);
                Response::Document { version, value: value.map(<[u8]>::to_vec) }
            }
            Request::Renew { name, incarnation } => match self.state.members.get(name) {
                Some(m) if m.incarnation == *incarnation && m.lease == Lease::Held => {
                    self.heard.insert(name.clone(), (*incarnation, self.now));
                    Response::Renewed { lease_us: self.setup.lease_us, revision: self.state.revision }
                }
                _ => Response::NotHeld,
            },
            Request::Fetch { since } => Response::Changes(self.state.changes(*since, PAGE)),
            _ => Response::Refused { why: "not a question".into() },
        }
    }

    /// An entry that is agreed.
    fn commit(&mut self, entry: &LogEntry) {
        self.applied = entry.index;
        let Ok(tag) = postcard::from_bytes::<Tag>(&entry.context) else {
            return; // the empty entry with which a leader begins
        };
        let command = match postcard::from_bytes::<Command>(&command_bytes(entry)) {
            Ok(command) => command,
            Err(_) => return,
        };
        if let Command::Voters { change } = &command {
            let change_of = conf_change(change, Vec::new());
            let _ = self.node.apply_conf_change(&change_of);
            self.conf_pending_until = 0;
            // A newcomer can only take over a snapshot that counts it among the followers.
            self.snap_now |= matches!(change, VoterChange::Learn { .. });
            self.out.push(Out::Event(Event::Voters { change: change.clone() }));
        }
        let applied = self.state.apply(tag.call, &command);
        match (&command, &applied) {
            (Command::Register { name, .. }, Applied::Registered { incarnation }) => {
                self.heard.insert(name.clone(), (*incarnation, self.now));
                self.ending.remove(name);
                let (name, incarnation) = (name.clone(), *incarnation);
                self.out.push(Out::Event(Event::Registered { name, incarnation }));
            }
            (Command::Expire { name, incarnation, released }, _) => {
                self.ending.remove(name);
                let (name, incarnation, released) = (name.clone(), *incarnation, *released);
                self.out.push(Out::Event(Event::LeaseEnded { name, incarnation, released }));
            }
            _ => {}
        }
        if tag.proposer == self.setup.id
            && let Some(token) = self.proposed.remove(&tag.number)
        {
            self.answer(token, Response::Applied(applied));
        }
    }

    /// A snapshot takes the place of the log, but for the newest quarter, which voters a little behind still want.
    fn compact(&mut self) {
        let saved = &self.node.store().saved;
        let due = self.snap_now || self.applied >= saved.snap.index + self.setup.compact_after;
        if !due || self.snap_due.is_some() {
            return;
        }
        self.snap_now = false;
        let Some(term) = self.node.store().term_at(self.applied) else { return };
        let conf = self.node.raft.prs().conf().to_conf_state();
        let data = self.state.encode();
        self.out.push(Out::Event(Event::Snapshot { index: self.applied, bytes: data.len() }));
        let snap = Snap { index: self.applied, term, voters: conf.voters, learners: conf.learners, data };
        let keep = self.applied.saturating_sub(self.setup.compact_after / 4).max(1);
        self.snap_due = Some((snap, keep));
    }
}

/// The command of an entry; that of a change of voters stands in the consensus crate's own record, at its end.
fn command_bytes(entry: &LogEntry) -> Vec<u8> {
    if !entry.conf {
        return entry.data.clone();
    }
    // Length of what follows, four bytes, at the very end: the crate's record is read by nobody here.
    let Some(at) = entry.data.len().checked_sub(4) else { return Vec::new() };
    let length = u32::from_be_bytes(entry.data[at..].try_into().unwrap_or_default()) as usize;
    at.checked_sub(length).map_or(Vec::new(), |from| entry.data[from..at].to_vec())
}

/// The same change for the consensus crate. `context` is carried along at its end.
fn conf_change(change: &VoterChange, mut context: Vec<u8>) -> ConfChange {
    let mut c = ConfChange::default();
    let (kind, id) = match change {
        VoterChange::Learn { id, .. } => (ConfChangeType::AddLearnerNode, *id),
        VoterChange::Promote { id } => (ConfChangeType::AddNode, *id),
        VoterChange::Remove { id } => (ConfChangeType::RemoveNode, *id),
    };
    c.set_change_type(kind);
    c.node_id = id;
    if !context.is_empty() {
        let length = context.len() as u32;
        context.extend(length.to_be_bytes());
        c.context = context.into();
    }
    c
}

/// What the disks of a new group hold: the voters, by the numbers of their disks, and nothing else agreed yet.
pub fn first(voters: &[(u64, String, String)]) -> Saved {
    let mut state = State::default();
    for (id, name, addr) in voters {
        let info = crate::state::VoterInfo { name: name.clone(), addr: addr.clone(), votes: true };
        state.voters.insert(*id, info);
        state.allowed.insert(name.clone());
    }
    let ids: Vec<u64> = state.voters.keys().copied().collect();
    let snap = Snap { index: 1, term: 1, voters: ids, learners: Vec::new(), data: state.encode() };
    Saved { hard: mirror::Hard { term: 1, vote: 0, commit: 1 }, snap, entries: Vec::new() }
}
