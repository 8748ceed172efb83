//! The config store as a state machine: the consensus member, the state that its log produces, and the local registries
//! that follow that state. It does no I/O and reads no clock: inputs carry events and the time, outputs say what to do.

use cluster::copy::Copy;
use cluster::state::{Command, Done, State};
use cluster::talk::{FRESH_US, FromStore, StorePeer, ToStore, Unsure};
use cluster::{Micros, Rev};
use consensus::{Disk, Message, NotLeader, Payload, PersistentState, Role, Timing, Write};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

pub type Peer = StorePeer<Message>;

pub enum Input {
    Tick,
    Peer(Ipv4Addr, Peer),
    /// A message from a registry on this machine, with the number of its link.
    Local(u64, ToStore),
    LocalDown(u64),
    /// The write with this number is synced to disk.
    Written(u64),
    WriteFailed,
    /// The process has been asked to stop; it may exit at [`Replica::ends_at`].
    Stop,
    /// From the settings: the target number of voting members, and the machines to ask for the group.
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

/// Period of the status messages to followers while nothing changes and none asks.
const STATUS_PERIOD_US: Micros = 500_000;
/// Period of the reads that ask the leader for the commit index, which keep this replica fresh.
const FRESHNESS_READ_PERIOD_US: Micros = 300_000;
/// A replica is woken at least every [`FRESHNESS_READ_PERIOD_US`]: after a longer gap than this its process was suspended,
/// and its timers run before the inputs that have queued up.
const SUSPENDED_US: Micros = 2 * FRESHNESS_READ_PERIOD_US;
/// Timeout of a call that was forwarded to the leader.
const FORWARD_TIMEOUT_US: Micros = 1_000_000;
/// How long a stopping replica waits for another one to become leader or to start replacing it.
const HANDOVER_TIMEOUT_US: Micros = 400_000;
/// Upper limit on the wait of a stopping replica while another one is replacing it.
const REPLACEMENT_TIMEOUT_US: Micros = 2_500_000;
/// How long a stopping replica runs on after it was replaced, so that the other members learn of the replacement.
const LINGER_US: Micros = 150_000;
/// Number of applied entries after which a snapshot is made.
const SNAPSHOT_ENTRIES: u64 = 256;
/// A snapshot is also made when the entries since the last one take this many times its size; a small
/// snapshot counts as the least size that consensus uses for it.
const SNAPSHOT_SIZE_FACTOR: usize = 4;
/// The ticket after which a process numbers its calls. Each incarnation has a range of its own: the leader may still answer
/// a call of an earlier incarnation, and that answer must not be taken for one to a call of this incarnation.
fn first_ticket(incarnation: u64) -> u64 {
    (incarnation & INCARNATION_MASK) << TICKET_BITS
}
/// Bits of a ticket that number the calls of one incarnation; the incarnation is in the bits above.
const TICKET_BITS: u32 = 28;
const INCARNATION_MASK: u64 = (1 << 28) - 1;
/// Number of results of applied entries that are kept for the proposals waiting for them.
const MAX_RESULTS: usize = 1024;

/// Where the answer to a call goes.
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
    /// This replica, to learn whether it is fresh.
    Freshness {
        asked_at: Micros,
    },
}

#[derive(Clone, Copy, Debug)]
enum CallKind {
    Propose,
    Read,
}

/// A call that was forwarded to the leader.
struct ForwardedCall {
    caller: Caller,
    kind: CallKind,
    deadline: Micros,
}

/// The state of a replica as it is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    pub leader: Option<Ipv4Addr>,
    pub term: u64,
    pub fresh: bool,
}

impl std::fmt::Display for Status {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let fresh = if self.fresh { "fresh" } else { "not fresh" };
        match self.leader {
            Some(leader) => write!(f, "term {}: following {leader}, {fresh}", self.term),
            None => write!(f, "term {}: no leader, {fresh}", self.term),
        }
    }
}

/// One replica of the configuration state: takes part in consensus, applies committed commands, and serves the registries
/// on its machine and the calls that other stores forward to it.
pub struct Replica {
    me: Ipv4Addr,
    disk: Disk,
    now: Micros,
    consensus: consensus::Replica,
    out: consensus::Output,
    pub copy: Copy,
    seeds: Vec<Ipv4Addr>,
    /// By link, the registries on this machine and the revision up to which each has been sent the state.
    followers: BTreeMap<u64, Rev>,
    /// By link, the time (by the registry's clock) of its last status query; it goes back with the status.
    status_queries: BTreeMap<u64, Micros>,
    /// Calls in progress in consensus here, by ticket.
    pending: BTreeMap<u64, (Caller, CallKind)>,
    /// Calls forwarded to the leader, by ticket.
    forwarded: BTreeMap<u64, ForwardedCall>,
    last_ticket: u64,
    /// Results of the entries applied last.
    results: VecDeque<(Rev, Done)>,
    /// Proposals that are committed and not yet applied here.
    committed: Vec<(Caller, Rev)>,
    snapshot_at: Rev,
    /// Size of the last snapshot in bytes.
    snapshot_bytes: usize,
    /// Size of the entries applied since the last snapshot, in bytes.
    bytes_since_snapshot: usize,
    /// Set when the committed log or snapshot cannot be decoded by this version; the replica then takes no further part.
    unreadable: Option<String>,
    /// What followers were last told: core members, whether fresh, whether leader, term.
    reported: Option<(Vec<Ipv4Addr>, bool, bool, u64)>,
    next_status_at: Micros,
    /// When it was asked to stop, and when the process may exit.
    stopping: Option<(Micros, Micros)>,
    next_freshness_read_at: Micros,
    /// Answered freshness reads whose revision is not applied yet: when each was asked, and that revision.
    freshness_reads: VecDeque<(Micros, Rev)>,
    /// Start time of the latest freshness read whose revision is applied here.
    fresh_at: Option<Micros>,
}

impl Replica {
    /// `saved`: the content of disk number `disk`; `incarnation`: a random number drawn at each start.
    pub fn new(
        me: Ipv4Addr,
        disk: Disk,
        saved: PersistentState,
        seeds: Vec<Ipv4Addr>,
        incarnation: u64,
        now: Micros,
    ) -> Result<Replica, String> {
        let mut state = State::default();
        if !saved.snapshot.data.is_empty() {
            state = State::read(now, &saved.snapshot.data)?;
        }
        state.rev = state.rev.max(saved.snapshot.index);
        let (snapshot_at, snapshot_bytes) = (state.rev, saved.snapshot.data.len());
        let consensus = consensus::Replica::new(me, disk, saved, incarnation, Timing::default(), now);
        let mut replica = Replica {
            me,
            disk,
            now,
            consensus,
            out: consensus::Output::default(),
            copy: Copy::of(state),
            seeds: seeds.clone(),
            followers: BTreeMap::new(),
            status_queries: BTreeMap::new(),
            pending: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            last_ticket: first_ticket(incarnation),
            results: VecDeque::new(),
            committed: Vec::new(),
            snapshot_at,
            snapshot_bytes,
            bytes_since_snapshot: 0,
            unreadable: None,
            reported: None,
            next_status_at: now,
            stopping: None,
            next_freshness_read_at: now,
            freshness_reads: VecDeque::new(),
            fresh_at: None,
        };
        replica.consensus.handle(now, consensus::Input::Seeds(seeds), &mut replica.out);
        Ok(replica)
    }

    pub fn disk(&self) -> Disk {
        self.disk
    }

    /// The other stores to connect to: the members of the core and the seeds.
    pub fn peers(&self) -> BTreeSet<Ipv4Addr> {
        let members = self.consensus.membership().members.keys().copied();
        members.chain(self.seeds.iter().copied()).filter(|ip| *ip != self.me).collect()
    }

    pub fn wake_at(&self) -> Micros {
        let forwarded = self.forwarded.values().map(|f| f.deadline).min().unwrap_or(Micros::MAX);
        let ends = self.stopping.map_or(Micros::MAX, |(_, at)| if at > self.now { at } else { Micros::MAX });
        self.out.wake_at.min(forwarded).min(self.next_status_at).min(self.next_freshness_read_at).min(ends)
    }

    /// When the process may exit, if it was asked to stop.
    pub fn ends_at(&self) -> Option<Micros> {
        self.stopping.map(|(_, at)| at)
    }

    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        let was_suspended = now > self.now + SUSPENDED_US;
        self.now = self.now.max(now);
        if was_suspended {
            // Steps down if no majority has answered meanwhile: the input must not be handled as if it still led.
            self.step_consensus(consensus::Input::Tick, out);
        }
        match input {
            Input::Tick => self.step_consensus(consensus::Input::Tick, out),
            Input::Written(number) => self.step_consensus(consensus::Input::Written { number }, out),
            Input::WriteFailed => self.step_consensus(consensus::Input::WriteFailed, out),
            Input::Stop => {
                self.stopping.get_or_insert((self.now, self.now + HANDOVER_TIMEOUT_US));
                self.step_consensus(consensus::Input::PrepareToStop, out);
            }
            Input::Settings { size, seeds } => {
                if let Some(size) = size {
                    self.step_consensus(consensus::Input::TargetSize(size), out);
                }
                self.seeds = seeds.clone();
                self.step_consensus(consensus::Input::Seeds(seeds), out);
            }
            Input::Peer(ip, peer) => self.handle_peer(ip, peer, out),
            Input::Local(link, ToStore::Follow { rev }) => {
                self.followers.insert(link, rev);
                self.reported = None;
                self.send_news(link, out);
            }
            Input::Local(link, ToStore::Propose { ticket, command }) => {
                self.propose(Caller::Local { link, ticket }, command, true, out);
            }
            Input::Local(link, ToStore::Read { ticket }) => {
                self.read(Caller::Local { link, ticket }, true, out);
            }
            Input::Local(link, ToStore::Stand { asked }) => {
                self.status_queries.insert(link, asked);
                self.reported = None;
            }
            Input::Local(link, ToStore::Duty { ticket, term, command }) => {
                let caller = Caller::Local { link, ticket };
                match self.leads() && self.consensus.term() == term {
                    true => self.propose(caller, command, false, out),
                    false => self.answer(caller, CallKind::Propose, Err(Unsure::Not), out),
                }
            }
            Input::LocalDown(link) => {
                self.followers.remove(&link);
                self.status_queries.remove(&link);
            }
        }
        if self.now >= self.next_freshness_read_at {
            self.next_freshness_read_at = self.now + FRESHNESS_READ_PERIOD_US;
            // Non-voting replicas read as well: a copy that holds all committed entries is fresh whether or not it votes.
            if self.consensus.is_voter() || self.consensus.leader().is_some() {
                self.read(Caller::Freshness { asked_at: self.now }, true, out);
            }
        }
        if let Some((asked_at, exit_at)) = &mut self.stopping
            && self.consensus.is_being_replaced()
        {
            *exit_at = (*exit_at).max(self.now + LINGER_US).min(*asked_at + REPLACEMENT_TIMEOUT_US);
        }
        self.expire_forwarded(out);
        self.report_status(out);
    }

    // ---- calls ----

    fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    /// Proposes the command here if this replica leads, else forwards it to the leader. `may_forward`: false for a call
    /// that was forwarded already, or that only this replica may take.
    fn propose(&mut self, caller: Caller, command: Command, may_forward: bool, out: &mut Vec<Output>) {
        let ticket = self.next_ticket();
        match self.consensus.leader() {
            Some(leader) if leader == self.me => {
                self.pending.insert(ticket, (caller, CallKind::Propose));
                let data = postcard::to_stdvec(&command).expect("plain data");
                self.step_consensus(consensus::Input::Propose { ticket, data }, out);
            }
            Some(leader) if may_forward => {
                let deadline = self.now + FORWARD_TIMEOUT_US;
                self.forwarded.insert(ticket, ForwardedCall { caller, kind: CallKind::Propose, deadline });
                out.push(Output::Peer(leader, Peer::Propose { ticket, command }));
            }
            _ => self.answer(caller, CallKind::Propose, Err(Unsure::Not), out),
        }
    }

    /// Reads the commit index here if this replica leads, else from the leader.
    fn read(&mut self, caller: Caller, may_forward: bool, out: &mut Vec<Output>) {
        let ticket = self.next_ticket();
        match self.consensus.leader() {
            Some(leader) if leader == self.me => {
                self.pending.insert(ticket, (caller, CallKind::Read));
                self.step_consensus(consensus::Input::Read { ticket }, out);
            }
            Some(leader) if may_forward => {
                let deadline = self.now + FORWARD_TIMEOUT_US;
                self.forwarded.insert(ticket, ForwardedCall { caller, kind: CallKind::Read, deadline });
                out.push(Output::Peer(leader, Peer::Read { ticket }));
            }
            _ => self.answer(caller, CallKind::Read, Err(Unsure::Not), out),
        }
    }

    fn answer(
        &mut self,
        caller: Caller,
        kind: CallKind,
        result: Result<(Rev, Done), Unsure>,
        out: &mut Vec<Output>,
    ) {
        let read_result = result.as_ref().map(|(rev, _)| *rev).map_err(|e| *e);
        if let Caller::Freshness { asked_at } = caller {
            self.freshness_reads.extend(read_result.ok().map(|rev| (asked_at, rev)));
            return;
        }
        out.push(match (caller, kind) {
            (Caller::Local { link, ticket }, CallKind::Propose) => {
                Output::Local(link, FromStore::Proposed { ticket, result })
            }
            (Caller::Local { link, ticket }, CallKind::Read) => {
                Output::Local(link, FromStore::Reads { ticket, result: read_result })
            }
            (Caller::Peer { ip, ticket }, CallKind::Propose) => {
                Output::Peer(ip, Peer::Proposed { ticket, result })
            }
            (Caller::Peer { ip, ticket }, CallKind::Read) => {
                Output::Peer(ip, Peer::Reads { ticket, result: read_result })
            }
            (Caller::Freshness { .. }, _) => return,
        });
    }

    fn handle_peer(&mut self, ip: Ipv4Addr, peer: Peer, out: &mut Vec<Output>) {
        match peer {
            Peer::Iam { .. } => {}
            Peer::Agree { from_disk, message } => {
                self.step_consensus(consensus::Input::Message { from: ip, from_disk, message }, out);
            }
            Peer::Propose { ticket, command } => {
                self.propose(Caller::Peer { ip, ticket }, command, false, out);
            }
            Peer::Read { ticket } => self.read(Caller::Peer { ip, ticket }, false, out),
            Peer::Proposed { ticket, result } => {
                if let Some(call) = self.forwarded.remove(&ticket) {
                    self.answer(call.caller, call.kind, result, out);
                }
            }
            Peer::Reads { ticket, result } => {
                if let Some(call) = self.forwarded.remove(&ticket) {
                    self.answer(call.caller, call.kind, result.map(|rev| (rev, Done::Taken)), out);
                }
            }
        }
    }

    fn expire_forwarded(&mut self, out: &mut Vec<Output>) {
        while let Some(ticket) = self.forwarded.iter().find(|(_, f)| f.deadline <= self.now).map(|(t, _)| *t)
        {
            if let Some(call) = self.forwarded.remove(&ticket) {
                self.answer(call.caller, call.kind, Err(Unsure::Perhaps), out);
            }
        }
    }

    // ---- consensus ----

    /// Passes an input to consensus and carries out what it returns.
    fn step_consensus(&mut self, input: consensus::Input, out: &mut Vec<Output>) {
        self.consensus.handle(self.now, input, &mut self.out);
        let rev_before = self.copy.rev();
        let mut output = std::mem::take(&mut self.out);
        self.out.wake_at = output.wake_at;
        if let Err(why) = self.apply_committed(&mut output) {
            // Neither sends nor writes anything of this step, so that a version that can read the data finds the disk as
            // it was. The reported write failure makes consensus take no further part.
            self.unreadable = Some(why);
            (output.send, output.write) = (Vec::new(), None);
            self.consensus.handle(self.now, consensus::Input::WriteFailed, &mut output);
            self.out.wake_at = output.wake_at;
        }
        for (to, message) in output.send.drain(..) {
            out.push(Output::Peer(to, Peer::Agree { from_disk: self.disk, message }));
        }
        if let Some(write) = output.write.take() {
            out.push(Output::Write(write));
        }
        let results = output.proposed.drain(..).chain(output.read.drain(..));
        for (ticket, result) in results {
            let Some((caller, kind)) = self.pending.remove(&ticket) else { continue };
            match (kind, result) {
                (_, Err(NotLeader(_))) => self.answer(caller, kind, Err(Unsure::Not), out),
                (CallKind::Read, Ok(rev)) => self.answer(caller, kind, Ok((rev, Done::Taken)), out),
                (CallKind::Propose, Ok(rev)) => self.committed.push((caller, rev)),
            }
        }
        for ticket in output.lost.drain(..) {
            if let Some((caller, kind)) = self.pending.remove(&ticket) {
                self.answer(caller, kind, Err(Unsure::Perhaps), out);
            }
        }
        let rev_now = self.copy.rev();
        let (applied, waiting) = self.committed.drain(..).partition(|(_, rev)| *rev <= rev_now);
        self.committed = waiting;
        let applied: Vec<(Caller, Rev)> = applied;
        for (caller, rev) in applied {
            let found = self.results.iter().rev().find(|(at, _)| *at == rev).map(|(_, done)| done.clone());
            self.answer(caller, CallKind::Propose, found.map(|d| (rev, d)).ok_or(Unsure::Perhaps), out);
        }
        if rev_now > rev_before {
            let links: Vec<u64> = self.followers.keys().copied().collect();
            links.into_iter().for_each(|link| self.send_news(link, out));
        }
        let large = self.bytes_since_snapshot
            >= SNAPSHOT_SIZE_FACTOR * consensus::snapshot_threshold(self.snapshot_bytes);
        if rev_now >= self.snapshot_at + SNAPSHOT_ENTRIES || rev_now > self.snapshot_at && large {
            let data = self.copy.state.write(self.now);
            (self.snapshot_at, self.snapshot_bytes, self.bytes_since_snapshot) = (rev_now, data.len(), 0);
            self.step_consensus(consensus::Input::Snapshot { index: rev_now, data }, out);
        }
    }

    /// Installs the leader's snapshot and applies committed entries. Fails if this version cannot decode one: skipping it
    /// would make this state differ from that of the other replicas.
    fn apply_committed(&mut self, output: &mut consensus::Output) -> Result<(), String> {
        if let Some(snapshot) = output.installed.take() {
            let mut state = State::read(self.now, &snapshot.data)
                .map_err(|why| format!("the leader's snapshot at entry {}: {why}", snapshot.index))?;
            state.rev = state.rev.max(snapshot.index);
            self.copy = Copy::of(state);
            (self.snapshot_at, self.bytes_since_snapshot) = (self.copy.rev(), 0);
            self.snapshot_bytes = snapshot.data.len();
        }
        for entry in output.committed.drain(..) {
            self.bytes_since_snapshot += entry.size();
            let command = match entry.payload {
                Payload::Data(data) => Some(postcard::from_bytes::<Command>(&data).map_err(|e| {
                    format!("entry {} is not a command that this version can decode: {e}", entry.index)
                })?),
                Payload::Noop | Payload::Membership(_) | Payload::Joint { .. } => None,
            };
            let result = self.copy.apply(self.now, entry.index, command);
            self.results.push_back((entry.index, result));
            if self.results.len() > MAX_RESULTS {
                self.results.pop_front();
            }
        }
        Ok(())
    }

    /// Why the committed log or snapshot cannot be decoded by this version, if so.
    pub fn unreadable(&self) -> Option<&str> {
        self.unreadable.as_deref()
    }

    // ---- followers ----

    fn send_news(&mut self, link: u64, out: &mut Vec<Output>) {
        let Some(rev) = self.followers.get_mut(&link) else { return };
        if let Some(news) = self.copy.since(self.now, *rev) {
            *rev = self.copy.rev();
            out.push(Output::Local(link, FromStore::News(news)));
        }
    }

    /// Whether this replica holds all that was acknowledged up to some moment within the last [`FRESH_US`].
    pub fn fresh(&self) -> bool {
        self.fresh_ms().is_some()
    }

    /// Milliseconds since the start of the last freshness read that is applied; `None` once that is [`FRESH_US`] ago.
    fn fresh_ms(&self) -> Option<u32> {
        let readable = self.unreadable.is_none();
        let at = self.fresh_at.filter(|at| readable && self.now < at + FRESH_US)?;
        u32::try_from((self.now - at) / 1000).ok()
    }

    /// Advances `fresh_at` over the freshness reads whose revision is applied by now.
    fn update_fresh_at(&mut self) {
        while let Some((asked_at, _)) = self.freshness_reads.pop_front_if(|(_, rev)| *rev <= self.copy.rev())
        {
            self.fresh_at = self.fresh_at.max(Some(asked_at));
        }
    }

    pub fn status(&self) -> Status {
        Status { leader: self.consensus.leader(), term: self.consensus.term(), fresh: self.fresh() }
    }

    pub fn leads(&self) -> bool {
        self.consensus.role() == Role::Leader
    }

    /// Sends followers the status if it has changed, a follower has asked for it or the period has passed.
    fn report_status(&mut self, out: &mut Vec<Output>) {
        self.update_fresh_at();
        let core: Vec<Ipv4Addr> = self.consensus.membership().members.keys().copied().collect();
        let status = (core, self.fresh(), self.leads(), self.consensus.term());
        if self.now < self.next_status_at && self.reported.as_ref() == Some(&status) {
            return;
        }
        self.next_status_at = self.now + STATUS_PERIOD_US;
        for link in self.followers.keys() {
            let (core, _, leads, term) = status.clone();
            let (fresh_ms, asked) =
                (self.fresh_ms(), self.status_queries.get(link).copied().unwrap_or_default());
            out.push(Output::Local(*link, FromStore::Standing { core, fresh_ms, leads, term, asked }));
        }
        self.reported = Some(status);
    }
}
