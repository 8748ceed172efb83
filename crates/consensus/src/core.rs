//! The decisions of one member.

use crate::log::Log;
use crate::{
    Disk, Entry, Hard, Input, Member, Message, Micros, NotLeader, Output, Payload, Role, Roster, Saved,
    Snapshot, Timing,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Entries sent to a member beyond what it has acknowledged.
const WINDOW: u64 = 512;
/// So many entries are sent without waiting for an answer to those before.
const FULL: u64 = 32;
/// Bytes of entries in one message, about.
const BATCH_BYTES: usize = 128 << 10;
/// Bytes of entries on their way to a member: a link that carries little is not to hold seconds of them.
const FLIGHT_BYTES: usize = 256 << 10;
/// Parts of a snapshot on their way.
const PARTS: u64 = 2;
/// A learner this close to the end of the log is named in the roster.
const CAUGHT_UP: u64 = 16;
/// A learner that is silent for so long is forgotten.
const LEARNER_SILENCE: Micros = 5_000_000;
const MAX_MEMBERS: usize = 9;
const MAX_LEARNERS: usize = 9;
/// A leader that is leaving waits so long for a learner that is being brought up to date.
const HANDS_OVER: Micros = 2_000_000;
/// A member that says that it is leaving is taken at its word for so long after it last said so.
const LEAVING: Micros = 3_000_000;

/// A fault planted for tests of the tests.
#[cfg(test)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Fault {
    AckBeforeSync,
    /// A wiped machine comes back as its old self; the simulator's part.
    WipedVotes,
    /// An old copy of a disk comes back as its old self; the simulator's part.
    OldCopyVotes,
    CountNewcomerEarly,
    ForgetVote,
    /// A read is answered without a round that shows that the leader still leads.
    ReadUnconfirmed,
    /// A snapshot that comes late is taken over what is newer.
    SnapshotOverTail,
    /// A snapshot is acknowledged before it is on disk.
    AckInstallBeforeSync,
    /// A transfer starts over with every newer snapshot.
    TransferStartsOver,
    /// What has come of another snapshot is kept as the beginning of this one.
    PartOfAnother,
    /// A member that hears of a leader by parts of a snapshot only takes what it has for all.
    FreshByParts,
    /// Who holds a new roster elects by it alone before it is committed.
    SwapWithoutJoint,
    /// A newcomer counts as holding all as soon as it is named.
    LeaverDroppedEarly,
    /// A roster is proposed before the one before it is committed.
    SecondChangeEarly,
    /// The roster before the last one elects on.
    RemovedVotes,
    /// A snapshot is taken without its roster.
    RosterLost,
    /// Nobody's place is ever taken from another address.
    NeverReplaced,
}

#[cfg(test)]
macro_rules! fault {
    ($self:ident, $fault:ident) => {
        $self.fault == Some(Fault::$fault)
    };
}
#[cfg(not(test))]
macro_rules! fault {
    ($self:ident, $fault:ident) => {
        false
    };
}

/// What a vote says and stands on: term, standing, vote.
type Safe = (u64, bool, Option<Member>);

/// A snapshot on its way to a member.
#[cfg_attr(test, derive(Clone, Hash))]
struct Transfer {
    /// The one that it began with, also when a newer one is made: a transfer that started over each time might never end.
    snapshot: Arc<Snapshot>,
    /// So much has come, and so much was sent; None: nothing yet, as where it has no bytes.
    come: u64,
    sent: Option<u64>,
    /// The round of the last part: an answer to a later one shows what of the parts was lost, however slow the link is.
    round: u64,
}

impl Transfer {
    fn new(snapshot: Arc<Snapshot>) -> Transfer {
        Transfer { snapshot, come: 0, sent: None, round: 0 }
    }

    fn total(&self) -> u64 {
        self.snapshot.data.len() as u64
    }

    /// Whether the newest snapshot is to be sent instead: what comes after this one is no longer kept, or is more than
    /// what is thrown away. Where a link carries more than there are changes, that comes to an end.
    fn outdated(&self, log: &Log) -> bool {
        let (at, newest) = (self.snapshot.index, &log.snapshot);
        let spent = newest.data.len() as u64 + self.sent.unwrap_or_default();
        let spared = spent.saturating_sub(self.total()) as usize + 1;
        at < log.base() || at < newest.index && log.bytes(at + 1, newest.index + 1, spared) >= spared
    }
}

/// A leader's picture of one disk.
#[cfg_attr(test, derive(Clone, Hash))]
struct Peer {
    disk: Disk,
    next: u64,
    matched: u64,
    /// The latest round that it has answered.
    round: u64,
    /// When it last answered.
    heard: Option<Micros>,
    standing: bool,
    /// Where its log parts from the leader's is still to be found: one try at a time.
    probing: bool,
    /// A snapshot on its way.
    transfer: Option<Transfer>,
    /// A learner counts as alive with answers from this round on.
    since: u64,
    /// What it last said to be committed.
    commit: u64,
    /// When it last said that it is leaving.
    leaving: Option<Micros>,
}

impl Peer {
    fn new(disk: Disk, next: u64, since: u64) -> Peer {
        Peer {
            disk,
            next,
            matched: 0,
            round: 0,
            heard: None,
            standing: false,
            probing: true,
            transfer: None,
            since,
            commit: 0,
            leaving: None,
        }
    }

    fn leaves(&self, now: Micros) -> bool {
        self.leaving.is_some_and(|at| now < at + LEAVING)
    }
}

/// What only a leader has.
#[cfg_attr(test, derive(Clone, Hash))]
struct Lead {
    peers: BTreeMap<Member, Peer>,
    learners: BTreeMap<Member, Peer>,
    /// Its first entry.
    first: u64,
    round: u64,
    beat: Micros,
    since: Micros,
    /// Proposals by entry.
    tickets: BTreeMap<u64, u64>,
    /// Reads, and the round that has to be confirmed for each.
    reads: Vec<(u64, u64)>,
}

impl Lead {
    /// The oldest snapshot that is on its way: what comes after it will be needed.
    fn hold(&self) -> Option<u64> {
        let all = self.peers.values().chain(self.learners.values());
        all.filter_map(|p| p.transfer.as_ref()).map(|t| t.snapshot.index).min()
    }
}

#[cfg_attr(test, derive(Clone, Hash))]
pub struct Ratchet {
    me: Member,
    disk: Disk,
    timing: Timing,
    chance: u64,
    seeds: Vec<Member>,
    log: Log,
    hard: Hard,
    hard_dirty: bool,
    /// What is on disk of it.
    safe: Safe,
    /// The write under way: number, when it began, what is in it.
    writing: Option<(u64, Micros, Safe)>,
    writes: u64,
    /// To be sent once the write of this number is on disk.
    held: Vec<(u64, Member, Message)>,
    role: Role,
    leader: Option<Member>,
    /// When a leader was last heard.
    heard: Option<Micros>,
    /// When to ask for votes, or to call again.
    due: Micros,
    votes: BTreeSet<(Member, Disk)>,
    /// A leader has asked to be followed up.
    urged: bool,
    lead: Option<Box<Lead>>,
    /// A follower's log agrees with the leader's up to here.
    verified: u64,
    told: u64,
    round: u64,
    /// An answer that waits for the disk: whether the log fits, and if not, where to try next.
    owes: Option<(bool, u64)>,
    /// How far `told` shows what was acknowledged: not while only parts of a snapshot come from a leader.
    told_by_leader: bool,
    /// A snapshot that is coming in, and the term of the leader that sends it: another one's may have other bytes.
    coming: Option<(u64, Snapshot)>,
    /// Entries up to here were handed to the host.
    given: u64,
    /// How many members there are to be.
    size: usize,
    /// When the host said that it is about to stop.
    leaving: Option<Micros>,
    #[cfg(test)]
    pub(crate) fault: Option<Fault>,
}

impl Ratchet {
    /// `disk`: the number of this disk; `saved`: what is on it. The host has loaded `saved.snapshot` into its
    /// state.
    pub fn new(me: Member, disk: Disk, saved: Saved, seed: u64, timing: Timing, now: Micros) -> Ratchet {
        let mut hard = saved.hard.clone();
        let given = saved.snapshot.index;
        let log = Log::new(saved);
        hard.commit = hard.commit.min(log.last()).max(given);
        let safe = (hard.term, hard.standing, hard.vote);
        let mut consensus = Ratchet {
            me,
            disk,
            timing,
            chance: seed ^ 0x9e37_79b9_7f4a_7c15,
            seeds: Vec::new(),
            log,
            hard,
            hard_dirty: false,
            safe,
            writing: None,
            writes: 0,
            held: Vec::new(),
            role: Role::Follower,
            leader: None,
            heard: None,
            due: now,
            votes: BTreeSet::new(),
            urged: false,
            lead: None,
            verified: 0,
            told: 0,
            told_by_leader: false,
            round: 0,
            owes: None,
            coming: None,
            given,
            size: MAX_MEMBERS,
            leaving: None,
            #[cfg(test)]
            fault: None,
        };
        if consensus.campaigns() {
            consensus.due = now + consensus.draw(timing.election);
        }
        consensus
    }

    pub fn leader(&self) -> Option<Member> {
        self.leader
    }

    pub fn role(&self) -> Role {
        self.role
    }

    pub fn term(&self) -> u64 {
        self.hard.term
    }

    pub fn commit(&self) -> u64 {
        self.hard.commit
    }

    /// How far the leader has committed, as it last told: beyond what is committed here where its entries do not come.
    pub fn told(&self) -> u64 {
        self.told.max(self.hard.commit)
    }

    /// Whether [`Ratchet::told`] reaches all that was acknowledged until lately: a leader of this term has told it, and has
    /// committed an entry of its own, so that it knows what those before it have committed.
    pub fn knows(&self) -> bool {
        if fault!(self, FreshByParts) {
            return self.leader.is_some();
        }
        let told = self.lead.is_some() || self.leader.is_some() && self.told_by_leader;
        told && self.log.term(self.told().min(self.log.last())) == Some(self.hard.term)
    }

    pub fn last(&self) -> u64 {
        self.log.last()
    }

    pub fn disk(&self) -> Disk {
        self.disk
    }

    /// Whether this disk votes and counts.
    pub fn standing(&self) -> bool {
        self.hard.standing
    }

    /// Whether the host, which is about to stop, had better serve on: another is taking this member's place.
    pub fn is_being_replaced(&self) -> bool {
        let (index, roster) = self.log.roster();
        let out = !roster.members.is_empty() && !roster.names(self.me, self.disk);
        out && (index > self.hard.commit && self.hard.standing || self.lead.is_some())
            || self.leaving.is_some_and(|at| self.brings_up(at))
    }

    /// Whether a learner answers that may take this leader's place.
    fn brings_up(&self, now: Micros) -> bool {
        let limit = self.timing.election.1;
        let answers = |p: &Peer| !p.leaves(now) && p.heard.is_some_and(|at| now < at + limit);
        self.lead.as_ref().is_some_and(|lead| lead.learners.values().any(answers))
    }

    /// The latest roster in the log, committed or not.
    pub fn roster(&self) -> &Roster {
        self.log.roster().1
    }

    /// The first entry that is still kept: the host may hand a snapshot once this lies far back.
    pub fn first(&self) -> u64 {
        self.log.base() + 1
    }

    /// The snapshot on disk or on its way there.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.log.snapshot
    }

    /// Whether its log, in memory, has this entry or has left it behind.
    #[cfg(test)]
    pub(crate) fn holds(&self, index: u64, term: u64) -> bool {
        index <= self.log.base() || self.log.term(index) == Some(term)
    }

    /// All that it remembers of times lies so much further back, and chance begins anew: members that differ in
    /// nothing else become alike.
    #[cfg(test)]
    pub(crate) fn rebase(&mut self, by: Micros) {
        let back = |at: &mut Micros| *at = at.saturating_sub(by);
        self.chance = 0;
        back(&mut self.due);
        self.heard.iter_mut().for_each(back);
        self.writing.iter_mut().for_each(|w| back(&mut w.1));
        self.leaving.iter_mut().for_each(back);
        let Some(lead) = &mut self.lead else { return };
        back(&mut lead.beat);
        back(&mut lead.since);
        for peer in lead.peers.values_mut().chain(lead.learners.values_mut()) {
            peer.heard.iter_mut().for_each(back);
            peer.leaving.iter_mut().for_each(back);
        }
    }

    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Output) {
        if self.role == Role::Out {
            match input {
                Input::Propose { ticket, .. } => out.proposed.push((ticket, Err(NotLeader(None)))),
                Input::Read { ticket } => out.read.push((ticket, Err(NotLeader(None)))),
                _ => {}
            }
            out.wake_at = Micros::MAX;
            return;
        }
        match input {
            Input::Tick => {}
            Input::Message { from, from_disk, message } if from != self.me => {
                self.message(now, from, from_disk, message, out)
            }
            Input::Message { .. } => {}
            Input::Written { number } => self.written(now, number, out),
            Input::WriteFailed => {
                self.follow(now, self.hard.term, None, out);
                self.role = Role::Out;
                self.held.clear();
                out.wake_at = Micros::MAX;
                return;
            }
            Input::Propose { ticket, data } => match self.lead.is_some() {
                true => {
                    let index = self.append(Payload::Data(data));
                    self.lead.as_mut().expect("leads").tickets.insert(index, ticket);
                }
                false => out.proposed.push((ticket, Err(NotLeader(self.leader)))),
            },
            Input::Read { ticket } => match &mut self.lead {
                Some(lead) => lead.reads.push((ticket, lead.round + 1)),
                None => out.read.push((ticket, Err(NotLeader(self.leader)))),
            },
            Input::Snapshot { index, data } => {
                if index <= self.given {
                    let hold = self.lead.as_ref().and_then(|lead| lead.hold());
                    self.log.compact(index, data, self.timing.tail, hold);
                }
            }
            Input::Seeds(seeds) => self.seeds = seeds,
            Input::Size(size) => self.size = size.min(MAX_MEMBERS),
            Input::Yield => {
                self.leaving = Some(now);
                // A spare that has caught up takes this place while it still leads; one that is being brought up to date
                // would have to begin anew with another leader.
                if !self.change(now) && !self.brings_up(now) {
                    self.hand_over(now, out);
                    self.say_leaving(now, out);
                }
            }
        }
        self.timers(now, out);
        if self.lead.is_some() {
            self.change(now);
            self.advance();
            self.retire(now, out);
        }
        if self.lead.is_some() {
            self.answer_reads(now, out);
            self.serve(now, out);
        }
        self.give(out);
        self.write(now, out);
        self.wake(now, out);
    }

    fn draw(&mut self, (from, to): (Micros, Micros)) -> Micros {
        self.chance = self.chance.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.chance;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        from + (z ^ (z >> 31)) % (to - from).max(1)
    }

    // Time

    fn timers(&mut self, now: Micros, out: &mut Output) {
        if self.lead.is_some() {
            let slow = self.writing.is_some_and(|(_, began, _)| now >= began + self.timing.disk);
            let waited = self.leaving.is_some_and(|at| now >= at + HANDS_OVER && now < at + LEAVING);
            if slow || waited && self.log.roster().1.names(self.me, self.disk) {
                self.hand_over(now, out);
            } else if !self.hears_majority(now) {
                self.follow(now, self.hard.term, None, out);
            }
            return;
        }
        if now < self.due {
            return;
        }
        if self.campaigns() {
            let busy = self.writing.is_some_and(|(_, began, _)| now >= began + self.timing.election.0 / 2);
            if busy {
                self.due = now + self.draw(self.timing.retry);
            } else {
                self.campaign(now, true, out);
            }
        } else {
            self.due = now + self.timing.hello;
            self.leader = None;
            let mut to: BTreeSet<Member> = self.seeds.iter().copied().collect();
            to.extend(self.log.roster().1.members.keys());
            to.remove(&self.me);
            out.send.extend(to.into_iter().map(|m| (m, Message::Hello)));
        }
    }

    fn wake(&self, now: Micros, out: &mut Output) {
        let mut at = match &self.lead {
            Some(lead) => lead.beat,
            None => self.due,
        };
        if let (Some(_), Some((_, began, _))) = (&self.lead, &self.writing) {
            at = at.min(began + self.timing.disk);
        }
        out.wake_at = at.max(now);
    }

    // Who is a majority

    /// The roster before the latest one, while that is not known to be committed: a majority of each is needed.
    fn before(&self) -> Option<&Roster> {
        let (index, _) = self.log.roster();
        if index <= self.hard.commit { None } else { self.log.before() }
    }

    /// The highest value that a majority of the roster's disks has.
    fn majority(&self, roster: &Roster, of: impl Fn(Member, Disk) -> u64) -> u64 {
        let mut values: Vec<u64> = roster.members.iter().map(|(m, d)| of(*m, *d)).collect();
        values.sort_unstable();
        if values.is_empty() { 0 } else { values[(values.len() - 1) / 2] }
    }

    /// The highest value that majorities of all rosters in force have, of what a leader knows of its members.
    fn agreed(&self, mine: u64, of: impl Fn(&Peer) -> u64) -> u64 {
        let Some(lead) = &self.lead else { return 0 };
        let of = |member: Member, disk: Disk| {
            if member == self.me {
                return if disk == self.disk { mine } else { 0 };
            }
            match lead.peers.get(&member).filter(|p| p.disk == disk) {
                Some(p) if fault!(self, LeaverDroppedEarly) && !p.standing => u64::MAX,
                Some(p) => of(p),
                None => 0,
            }
        };
        let latest = self.majority(self.log.roster().1, of);
        match self.before().filter(|_| !fault!(self, CountNewcomerEarly)) {
            Some(before) => latest.min(self.majority(before, of)),
            None => latest,
        }
    }

    fn elected(&self) -> bool {
        let by = |r: &Roster| self.majority(r, |m, d| u64::from(self.votes.contains(&(m, d)))) > 0;
        if fault!(self, RemovedVotes) && self.log.before().is_some_and(by) {
            return true;
        }
        let before = self.before().filter(|_| !fault!(self, SwapWithoutJoint));
        by(self.log.roster().1) && before.is_none_or(by)
    }

    /// Whether majorities have answered within an election time.
    fn hears_majority(&self, now: Micros) -> bool {
        let Some(lead) = &self.lead else { return false };
        let limit = self.timing.election.1;
        let live = |member: Member, disk: Disk| match lead.peers.get(&member) {
            Some(p) if p.disk == disk => u64::from(p.heard.unwrap_or(lead.since) + limit > now),
            Some(_) => 0,
            None => u64::from(member == self.me && disk == self.disk),
        };
        let by = |r: &Roster| self.majority(r, live) > 0;
        by(self.log.roster().1) && self.before().is_none_or(by)
    }

    // Roles

    /// A member of either roster in force; a newcomer, too, as it may be the only one to hold its roster.
    fn campaigns(&self) -> bool {
        self.hard.standing || self.log.roster().1.names(self.me, self.disk)
    }

    fn set_term(&mut self, term: u64) {
        if term > self.hard.term {
            (self.hard.term, self.hard.vote) = (term, None);
            self.hard_dirty = true;
        }
    }

    /// Becomes a follower in this term, if it is not one yet.
    fn follow(&mut self, now: Micros, term: u64, leader: Option<Member>, out: &mut Output) {
        let fresh = term > self.hard.term;
        self.set_term(term);
        if self.role != Role::Follower || fresh {
            // What has come of a snapshot stays: a member on a slow link may ask for votes between two parts.
            (self.verified, self.round, self.owes, self.told_by_leader) = (0, 0, None, false);
            self.due = self.due.max(now + self.draw(self.timing.election));
        }
        self.role = Role::Follower;
        self.leader = leader;
        if let Some(lead) = self.lead.take() {
            self.heard = None;
            self.due = now + self.draw(self.timing.election);
            out.lost.extend(lead.tickets.into_values());
            out.read.extend(lead.reads.into_iter().map(|(t, _)| (t, Err(NotLeader(leader)))));
        }
    }

    /// A leader of the current or a newer term has spoken.
    fn hear_leader(&mut self, now: Micros, term: u64, leader: Member, out: &mut Output) {
        if term > self.hard.term || self.role != Role::Follower || self.leader != Some(leader) {
            self.follow(now, term, Some(leader), out);
        }
        if self.hard.vote.is_none() {
            // No second vote in this term, not even by one that has just come to stand.
            self.hard.vote = Some(leader);
            self.hard_dirty = true;
        }
        self.heard = Some(now);
        self.urged = false;
        self.due = now + self.draw(self.timing.election);
    }

    fn campaign(&mut self, now: Micros, pre: bool, out: &mut Output) {
        self.votes.clear();
        self.leader = None;
        self.due = now + self.draw(self.timing.retry);
        let (last, last_term) = (self.log.last(), self.log.last_term());
        let term = self.hard.term + 1;
        let ask = Message::Ask { pre, urged: self.urged, term, last, last_term };
        if pre {
            self.role = Role::Asking;
        } else {
            self.role = Role::Candidate;
            self.set_term(term);
            self.hard.vote = Some(self.me);
            self.hard_dirty = true;
            // Counts and is asked for once it is on disk; elections on slow disks get the time they need.
            self.due = now + self.draw(self.timing.election) / 2;
        }
        let mut to: BTreeSet<Member> = self.log.roster().1.members.keys().copied().collect();
        let before = if fault!(self, RemovedVotes) { self.log.before() } else { self.before() };
        to.extend(before.iter().flat_map(|b| b.members.keys().copied()));
        to.remove(&self.me);
        if pre {
            out.send.extend(to.into_iter().map(|m| (m, ask.clone())));
            self.voted(now, (self.me, self.disk), out);
        } else {
            let number = self.writes + 1;
            self.held.extend(to.into_iter().map(|m| (number, m, ask.clone())));
        }
    }

    fn voted(&mut self, now: Micros, by: (Member, Disk), out: &mut Output) {
        self.votes.insert(by);
        if !self.elected() {
            return;
        }
        match self.role {
            Role::Asking => self.campaign(now, false, out),
            Role::Candidate if self.votes.contains(&(self.me, self.disk)) => self.win(now),
            _ => {}
        }
    }

    fn win(&mut self, now: Micros) {
        self.role = Role::Leader;
        self.leader = Some(self.me);
        self.urged = false;
        let next = self.log.last() + 1;
        // Where both rosters name an address, the later one's disk is the one that is there.
        let before = self.before().into_iter().flat_map(|r| &r.members);
        let others = before.chain(&self.log.roster().1.members).filter(|(m, _)| **m != self.me);
        let peers = others.map(|(m, d)| (*m, Peer::new(*d, next, 0))).collect();
        self.lead = Some(Box::new(Lead {
            peers,
            learners: BTreeMap::new(),
            first: next,
            round: 0,
            beat: now,
            since: now,
            tickets: BTreeMap::new(),
            reads: Vec::new(),
        }));
        self.append(Payload::Nothing);
    }

    /// A leader goes, and asks the member that is furthest to take over.
    fn hand_over(&mut self, now: Micros, out: &mut Output) {
        let Some(lead) = &self.lead else { return };
        let limit = now.saturating_sub(self.timing.election.0);
        let roster = self.log.roster().1;
        let heard = |p: &Peer| p.heard.is_some_and(|at| at >= limit);
        let able = lead.peers.iter().filter(|(m, p)| p.standing && roster.names(**m, p.disk) && heard(p));
        if let Some((member, _)) = able.max_by_key(|(_, p)| p.matched) {
            out.send.push((*member, Message::Take { term: self.hard.term }));
        }
        self.follow(now, self.hard.term, None, out);
    }

    // Messages

    fn message(&mut self, now: Micros, from: Member, disk: Disk, message: Message, out: &mut Output) {
        match message {
            Message::Hello => self.hello(now, from, disk, out),
            Message::Leads(leader) => {
                // Also to one that takes itself for a member, and whose place another has taken.
                let lost = self.leader.is_none() && self.lead.is_none();
                if let Some(leader) = leader.filter(|l| lost && *l != self.me && *l != from) {
                    out.send.push((leader, Message::Hello));
                }
            }
            Message::Ask { pre, urged, term, last, last_term } => {
                self.asked(now, from, (pre, urged), term, (last_term, last), out);
                let named = |r: &Roster| r.names(from, disk);
                let strange = !named(self.log.roster().1) && !self.before().is_some_and(named);
                if pre && strange && (self.lead.is_some() || self.leader.is_some()) {
                    self.hello(now, from, disk, out);
                }
            }
            Message::Vote { pre, term, granted, commit } => {
                if !granted && term > self.hard.term {
                    self.follow(now, term, None, out);
                    return;
                }
                let wanted = match self.role {
                    Role::Asking => pre && term == self.hard.term + 1,
                    Role::Candidate => !pre && term == self.hard.term,
                    _ => false,
                };
                if granted && wanted {
                    self.voted(now, (from, disk), out);
                    if self.lead.is_some() {
                        self.learn_commit(commit);
                    }
                }
            }
            Message::Append { term, round, prev, prev_term, commit, entries } => {
                if term < self.hard.term {
                    self.refuse(from, round, out);
                } else if self.lead.is_none() {
                    self.hear_leader(now, term, from, out);
                    (self.told, self.told_by_leader) = (commit, true);
                    self.appended(from, round, (prev, prev_term), commit, entries, out);
                    self.say_leaving(now, out);
                }
            }
            Message::Part { term, round, .. } if term < self.hard.term => self.refuse(from, round, out),
            Message::Part { .. } if self.lead.is_some() => {}
            Message::Part { term, round, index, index_term, roster, roster_index, total, offset, bytes } => {
                self.hear_leader(now, term, from, out);
                self.round = self.round.max(round);
                let new = Snapshot { index, term: index_term, roster, roster_index, data: Vec::new() };
                self.part(from, new, total, offset, &bytes, out);
            }
            Message::Ack { term, .. } | Message::Got { term, .. } if term > self.hard.term => {
                self.follow(now, term, None, out)
            }
            Message::Ack { term, round, fits, matched, commit, standing } => {
                if term == self.hard.term && self.lead.is_some() {
                    self.acked(now, (from, disk), round, fits, matched, (standing, commit), out);
                    self.learn_commit(commit);
                }
            }
            Message::Got { term, round, index, offset } => {
                if term == self.hard.term
                    && let Some(peer) = self.peer(from, disk)
                {
                    peer.heard = Some(now);
                    let late = round < peer.round;
                    peer.round = peer.round.max(round);
                    if let Some(t) = &mut peer.transfer
                        && t.snapshot.index == index
                        && offset <= t.total()
                        && (offset > t.come || !late)
                    {
                        t.come = offset;
                        t.sent = t.sent.max(Some(offset));
                    }
                }
            }
            Message::Take { term } => {
                if term == self.hard.term && self.leader == Some(from) && self.campaigns() {
                    self.urged = true;
                    self.campaign(now, true, out);
                }
            }
            Message::Leave { term } => {
                if term == self.hard.term
                    && let Some(peer) = self.peer(from, disk)
                {
                    peer.leaving = Some(now);
                }
            }
        }
    }

    /// Tells one that leads in an old term of the new one, once that is on disk.
    fn refuse(&mut self, from: Member, round: u64, out: &mut Output) {
        let message = Message::Ack {
            term: self.hard.term,
            round,
            fits: false,
            matched: self.log.last(),
            commit: self.hard.commit,
            standing: false,
        };
        if self.safe.0 == self.hard.term {
            out.send.push((from, message));
        }
    }

    fn hello(&mut self, now: Micros, from: Member, disk: Disk, out: &mut Output) {
        let (_, roster) = self.log.roster();
        let named = |r: &Roster| r.names(from, disk);
        // A founder's disk that another has followed at its address is never that disk again.
        let stale = disk == 0 && roster.members.contains_key(&from);
        let known = named(roster) || self.before().is_some_and(named);
        let next = self.log.last() + 1;
        let Some(lead) = &mut self.lead else {
            out.send.push((from, Message::Leads(self.leader)));
            return;
        };
        let learns = lead.learners.get(&from);
        let full = learns.is_none() && lead.learners.len() >= MAX_LEARNERS;
        if stale || known || full || learns.is_some_and(|p| p.disk == disk) {
            return;
        }
        // Only answers to what is sent from now on show that the machine has this disk after the one in the
        // roster.
        let peer = Peer { heard: Some(now), ..Peer::new(disk, next, lead.round + 1) };
        lead.learners.insert(from, peer);
        lead.beat = now;
    }

    fn asked(
        &mut self,
        now: Micros,
        from: Member,
        (pre, urged): (bool, bool),
        term: u64,
        end: (u64, u64),
        out: &mut Output,
    ) {
        // Named or not: one that lags may not know the candidate, or be named itself without knowing it yet.
        let window = self.timing.election.0.saturating_sub(self.timing.heartbeat);
        let live = self.lead.is_some() || self.heard.is_some_and(|at| now < at + window);
        let live = live && !urged;
        if !pre && !live && term > self.hard.term {
            self.follow(now, term, None, out);
        }
        let new_enough = end >= (self.log.last_term(), self.log.last());
        let free = match pre {
            true => term > self.hard.term,
            // Once, not again to the same address either: it may have another disk by now.
            false => term == self.hard.term && self.hard.vote.is_none() && self.lead.is_none(),
        };
        let granted = !live && new_enough && free;
        let told = if granted { term } else { self.hard.term };
        let answer = Message::Vote { pre, term: told, granted, commit: self.hard.commit };
        if granted && !pre {
            self.hard.vote = Some(from);
            self.hard_dirty = true;
            if self.campaigns() {
                self.due = now + self.draw(self.timing.election);
            }
        }
        if self.safe_vote() || pre && self.safe.0 == self.hard.term {
            out.send.push((from, answer));
        } else {
            self.held.push((self.writes + 1, from, answer));
        }
    }

    /// Whether all that a vote says is on disk.
    fn safe_vote(&self) -> bool {
        !self.hard_dirty && self.writing.is_none_or(|(_, _, safe)| safe == self.safe) && self.held.is_empty()
    }

    fn appended(
        &mut self,
        from: Member,
        round: u64,
        (prev, prev_term): (u64, u64),
        commit: u64,
        entries: Vec<Entry>,
        out: &mut Output,
    ) {
        self.round = self.round.max(round);
        let known = prev <= self.hard.commit || self.log.term(prev) == Some(prev_term);
        if !known {
            // Where to try next: an entry whose term is not newer than the leader's at that place.
            let mut hint = self.log.last().min(prev.saturating_sub(1));
            while hint > self.hard.commit && self.log.term(hint).is_some_and(|t| t > prev_term) {
                hint -= 1;
            }
            self.ack(from, false, hint, out);
            return;
        }
        let end = prev + entries.len() as u64;
        let carries = !entries.is_empty();
        for entry in entries {
            if entry.index <= self.hard.commit || self.log.term(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last() {
                self.log.truncate(entry.index);
            }
            self.log.push(entry);
        }
        self.verified = self.verified.max(end).max(self.hard.commit);
        self.learn_commit(commit.min(self.verified));
        if carries && self.log.synced < self.verified && !fault!(self, AckBeforeSync) {
            self.owes = Some((true, 0));
        } else {
            self.ack(from, true, 0, out);
        }
    }

    /// Answers the leader, as far as it is on disk; later if not even the term is.
    fn ack(&mut self, to: Member, fits: bool, hint: u64, out: &mut Output) {
        if self.safe.0 != self.hard.term && !fault!(self, AckBeforeSync) {
            self.owes = Some((fits, hint));
            return;
        }
        let synced = if fault!(self, AckBeforeSync) { self.log.last() } else { self.log.synced };
        out.send.push((
            to,
            Message::Ack {
                term: self.hard.term,
                round: self.round,
                fits,
                matched: if fits { self.verified.min(synced) } else { hint },
                commit: self.hard.commit,
                standing: self.safe.1,
            },
        ));
    }

    fn part(&mut self, from: Member, new: Snapshot, total: u64, offset: u64, bytes: &[u8], out: &mut Output) {
        let (index, leader_term) = (new.index, self.hard.term);
        if index <= self.hard.commit && !fault!(self, SnapshotOverTail) {
            // It is known already: go on with entries.
            self.verified = self.verified.max(index);
            self.coming.take_if(|(_, c)| c.index <= index);
            self.ack(from, true, 0, out);
            return;
        }
        let same = |(t, c): &(u64, Snapshot)| (*t, c.index, c.term) == (leader_term, index, new.term);
        match &self.coming {
            // Doubled or overtaken: this leader has gone on to a newer one.
            Some((t, c)) if *t == leader_term && c.index > index => return,
            Some(coming) if same(coming) || fault!(self, PartOfAnother) => {}
            _ => self.coming = Some((leader_term, new)),
        }
        let (_, coming) = self.coming.as_mut().expect("just made");
        if coming.data.len() as u64 == offset {
            coming.data.extend_from_slice(bytes);
        }
        let offset = coming.data.len() as u64;
        // Also of the last part: what it waits for then is the disk.
        if self.safe.0 == self.hard.term {
            let (term, round) = (self.hard.term, self.round);
            out.send.push((from, Message::Got { term, round, index, offset }));
        }
        if offset < total {
            return;
        }
        #[allow(unused_mut)]
        let (_, mut snapshot) = self.coming.take().expect("whole");
        if fault!(self, RosterLost) {
            snapshot.roster = self.log.roster().1.clone();
        }
        let snapshot = Arc::new(snapshot);
        let index = snapshot.index;
        if fault!(self, SnapshotOverTail) && (self.log.base()..self.log.last()).contains(&index) {
            self.log.truncate(index + 1);
        }
        self.log.install(snapshot.clone());
        self.verified = index;
        self.given = index;
        out.committed.clear();
        out.installed = Some(snapshot);
        self.learn_commit(index);
        self.owes = Some((true, 0));
        if fault!(self, AckInstallBeforeSync) {
            let (term, round, commit) = (self.hard.term, self.round, index);
            let standing = self.safe.1;
            out.send.push((from, Message::Ack { term, round, fits: true, matched: index, commit, standing }));
        }
    }

    // The leader

    fn append(&mut self, payload: Payload) -> u64 {
        let index = self.log.last() + 1;
        self.log.push(Entry { term: self.hard.term, index, payload });
        index
    }

    fn peer(&mut self, member: Member, disk: Disk) -> Option<&mut Peer> {
        let lead = self.lead.as_mut()?;
        let learner = lead.learners.get_mut(&member).filter(|p| p.disk == disk);
        learner.or_else(|| lead.peers.get_mut(&member).filter(|p| p.disk == disk))
    }

    #[allow(clippy::too_many_arguments)]
    fn acked(
        &mut self,
        now: Micros,
        (from, disk): (Member, Disk),
        round: u64,
        fits: bool,
        matched: u64,
        (standing, commit): (bool, u64),
        out: &mut Output,
    ) {
        let (last, base) = (self.log.last(), self.log.base());
        let Some(peer) = self.peer(from, disk) else {
            // What was meant for the disk before it has reached a new one.
            return self.hello(now, from, disk, out);
        };
        peer.heard = Some(now);
        let newest = round > peer.round;
        peer.round = peer.round.max(round);
        peer.standing = standing;
        peer.commit = peer.commit.max(commit);
        if !fits {
            if let Some(t) = &mut peer.transfer {
                // It had all of it and lacks it again: it ended before that was on disk.
                if t.come == t.total() && t.sent.is_some() && newest && matched < t.snapshot.index {
                    (t.come, t.sent) = (0, None);
                }
                return;
            }
            if newest && matched < peer.matched {
                // What it had on disk is gone: an old copy. It counts again as far as it then has it again.
                peer.matched = 0;
            }
            // An answer that was overtaken says nothing; the next message finds out.
            if matched < peer.next {
                peer.next = matched.max(peer.matched) + 1;
                peer.probing = true;
                self.send_to(now, from, disk, true, out);
            }
            return;
        }
        peer.matched = peer.matched.max(matched.min(last));
        peer.next = peer.next.max(peer.matched + 1);
        peer.probing = false;
        if peer.next > base {
            peer.transfer = None;
        }
    }

    /// A learner that has caught up takes a member's place, or joins; whether a roster was proposed.
    fn change(&mut self, now: Micros) -> bool {
        let Some(lead) = &self.lead else { return false };
        if lead.learners.is_empty() {
            return false;
        }
        let (last, base, commit) = (self.log.last(), self.log.base(), self.hard.commit);
        let (index, roster) = self.log.roster();
        if commit < lead.first || index > commit && !fault!(self, SecondChangeEarly) {
            return false;
        }
        let limit = self.timing.election.1;
        let heard = |p: &Peer| p.heard.is_some_and(|at| now < at + limit);
        let near = |p: &Peer| p.matched >= base && p.matched + CAUGHT_UP >= last && p.round >= p.since;
        let ready = |p: &Peer| near(p) && !p.probing && heard(p) && !p.leaves(now);
        let mut ready = lead.learners.iter().filter(|(_, p)| ready(p));
        let own = ready.clone().find(|(m, _)| roster.members.contains_key(m));
        let Some((newcomer, disk)) = own.or_else(|| ready.next()).map(|(m, p)| (*m, p.disk)) else {
            return false;
        };
        let gone = match own {
            Some(_) => Some(newcomer),
            None => self.gone(now, lead, roster),
        };
        // One more that raises the majority would weaken a group that is not whole.
        let whole = || roster.members.len() % 2 == 0 || lead.peers.values().all(|p| p.standing && heard(p));
        if gone.is_none() && (roster.members.len() >= self.size || !whole()) {
            return false;
        }
        let old = roster.clone();
        let mut new = old.clone();
        if let Some(gone) = gone {
            new.members.remove(&gone);
        }
        new.members.insert(newcomer, disk);
        let lead = self.lead.as_mut().expect("leads");
        let peer = lead.learners.remove(&newcomer).expect("there");
        lead.peers.insert(newcomer, peer);
        self.append(Payload::Joint { old, new });
        true
    }

    /// The member whose place is free: that leaves, or has been silent longest, for long enough.
    fn gone(&self, now: Micros, lead: &Lead, roster: &Roster) -> Option<Member> {
        if fault!(self, NeverReplaced) {
            return None;
        }
        let leaves = |m: &&Member| match lead.peers.get(m) {
            Some(peer) => peer.leaves(now),
            None => self.leaving.is_some_and(|at| now < at + LEAVING),
        };
        let leaver = roster.members.keys().find(leaves).copied();
        leaver.or_else(|| {
            let heard = |p: &Peer| p.heard.unwrap_or(lead.since);
            let peers = lead.peers.iter().filter(|(m, p)| roster.names(**m, p.disk));
            let silent = peers.filter(|(_, p)| heard(p) + self.timing.gone <= now);
            silent.min_by_key(|(_, p)| heard(p)).map(|(m, _)| *m)
        })
    }

    /// A leader that no committed roster names goes once a majority that stays knows so.
    fn retire(&mut self, now: Micros, out: &mut Output) {
        let Some(lead) = &self.lead else { return };
        let (index, roster) = self.log.roster();
        if index > self.hard.commit || roster.names(self.me, self.disk) {
            return;
        }
        let knows = |m: Member, d: Disk| {
            let peer = lead.peers.get(&m).filter(|p| p.disk == d);
            u64::from(peer.is_some_and(|p| p.standing && p.commit >= index))
        };
        if self.majority(roster, knows) > 0 {
            self.hand_over(now, out);
        }
    }

    fn say_leaving(&mut self, now: Micros, out: &mut Output) {
        let leaves = self.leaving.is_some_and(|at| now < at + LEAVING);
        if let Some(leader) = self.leader.filter(|l| leaves && *l != self.me) {
            out.send.push((leader, Message::Leave { term: self.hard.term }));
        }
    }

    /// A leader commits what a majority has on disk.
    fn advance(&mut self) {
        loop {
            let commit = self.hard.commit;
            let mut to = self.agreed(self.log.synced, |p| p.matched);
            if to <= commit || self.log.term(to) != Some(self.hard.term) {
                return;
            }
            let (roster, _) = self.log.roster();
            if roster > commit {
                // What is after a roster needs that roster's majority.
                to = to.min(roster);
            }
            self.learn_commit(to);
        }
    }

    fn learn_commit(&mut self, to: u64) {
        let to = to.min(self.log.last());
        if to <= self.hard.commit {
            return;
        }
        let before = std::mem::replace(&mut self.hard.commit, to);
        let (index, roster) = self.log.roster();
        if let Some(lead) = &mut self.lead
            && index <= to
            && index > before
        {
            // All are to know at once; whose place is taken, or is not, learns from now on.
            lead.beat = 0;
            let out = lead.peers.extract_if(.., |m, p| !roster.names(*m, p.disk));
            lead.learners.extend(out);
        }
        // The latest roster may still be open; the one before it then is not, or this one would not be there.
        let named = match index <= to {
            true => roster.names(self.me, self.disk),
            false => self.log.before().is_some_and(|b| b.names(self.me, self.disk)),
        };
        // That a roster is committed is known only by the commit index: it must outlive a restart.
        if named != self.hard.standing || index <= to && index > before {
            self.hard.standing = named;
            self.hard_dirty = true;
        }
    }

    fn answer_reads(&mut self, now: Micros, out: &mut Output) {
        let confirmed =
            if fault!(self, ReadUnconfirmed) { u64::MAX } else { self.agreed(u64::MAX, |p| p.round) };
        let commit = self.hard.commit;
        let Some(lead) = &mut self.lead else { return };
        if lead.reads.is_empty() || commit < lead.first {
            return;
        }
        lead.reads.retain(|(ticket, round)| {
            let done = *round <= confirmed;
            if done {
                out.read.push((*ticket, Ok(commit)));
            }
            !done
        });
        // One round at a time: reads that come meanwhile share the next.
        if !lead.reads.is_empty() && confirmed >= lead.round {
            lead.beat = now;
        }
    }

    fn serve(&mut self, now: Micros, out: &mut Output) {
        let Some(lead) = &mut self.lead else { return };
        let silent = |p: &Peer| p.heard.is_none_or(|at| now >= at + LEARNER_SILENCE);
        lead.learners.retain(|_, p| !silent(p));
        // Nothing is held back in the log for one that is not there.
        lead.peers.values_mut().filter(|p| silent(p)).for_each(|p| p.transfer = None);
        let beat = now >= lead.beat;
        if beat {
            lead.round += 1;
            lead.beat = now + self.timing.heartbeat;
        }
        // A machine that learns with a new disk is not sent what its old one lacks: its answers would be taken for answers
        // to what the new one was sent.
        let limit = self.timing.election.1;
        let gone = |(m, p): &(&Member, &Peer)| {
            let learns = lead.learners.get(*m).is_some_and(|l| l.heard > p.heard);
            learns && p.heard.is_none_or(|at| now >= at + limit)
        };
        let peers = lead.peers.iter().filter(|p| !gone(p)).chain(&lead.learners).map(|(m, p)| (*m, p.disk));
        for (member, disk) in peers.collect::<Vec<_>>() {
            self.send_to(now, member, disk, beat, out);
        }
    }

    /// Sends what this disk lacks, and at a beat something in any case.
    fn send_to(&mut self, now: Micros, member: Member, disk: Disk, beat: bool, out: &mut Output) {
        let (term, commit, last) = (self.hard.term, self.hard.commit, self.log.last());
        let Some(lead) = &mut self.lead else { return };
        let round = lead.round;
        let found = lead.learners.get_mut(&member).filter(|p| p.disk == disk);
        let Some(peer) = found.or_else(|| lead.peers.get_mut(&member).filter(|p| p.disk == disk)) else {
            return;
        };
        if peer.next <= self.log.base() {
            let there = peer.heard.is_some_and(|at| now < at + self.timing.election.1);
            if let Some(t) = &mut peer.transfer
                && peer.round > t.round
                && t.sent.is_some_and(|sent| sent > t.come)
            {
                t.sent = if t.come > 0 { Some(t.come) } else { None };
            }
            let newest = &self.log.snapshot;
            let over = fault!(self, TransferStartsOver);
            peer.transfer.take_if(|t| over && t.snapshot.index < newest.index || t.outdated(&self.log));
            let part = self.timing.part as u64;
            let mut sends = false;
            if there && peer.transfer.is_none() {
                peer.transfer = Some(Transfer::new(newest.clone()));
            }
            while let Some(t) = &mut peer.transfer
                && there
                && t.sent.is_none_or(|sent| sent < t.total().min(t.come + PARTS * part))
            {
                let offset = t.sent.unwrap_or_default();
                let end = t.total().min(offset + part);
                let bytes = t.snapshot.data[offset as usize..end as usize].to_vec();
                (t.sent, t.round, sends) = (Some(end), round, true);
                let Snapshot { index, term: index_term, ref roster, roster_index, .. } = *t.snapshot;
                let (roster, total) = (roster.clone(), t.total());
                let part = Message::Part {
                    term,
                    round,
                    index,
                    index_term,
                    roster,
                    roster_index,
                    total,
                    offset,
                    bytes,
                };
                out.send.push((member, part));
            }
            if sends {
                return;
            }
            if !beat {
                return;
            }
            // Keeps it from campaigning meanwhile; fits where its log does.
            let prev = self.log.base();
            let prev_term = self.log.term(prev).unwrap_or_default();
            let entries = Vec::new();
            out.send.push((member, Message::Append { term, round, prev, prev_term, commit, entries }));
            return;
        }
        let mut entries = Vec::new();
        let mut bytes = 0;
        // What comes while a batch is on its way goes together with the next.
        let under_way = !peer.probing && peer.next - 1 > peer.matched;
        if under_way && !beat && last - (peer.next - 1) < FULL {
            return;
        }
        let room = WINDOW.saturating_sub(peer.next - 1 - peer.matched.min(peer.next - 1));
        let flight = self.log.bytes(peer.matched + 1, peer.next, FLIGHT_BYTES);
        if !peer.probing || beat {
            let room = if peer.probing { room.min(1) } else { room };
            while (entries.len() as u64) < room && bytes < BATCH_BYTES && flight + bytes < FLIGHT_BYTES {
                let Some(entry) = self.log.get(peer.next + entries.len() as u64) else { break };
                bytes += entry.size();
                entries.push(entry.clone());
            }
        }
        if entries.is_empty() && !beat {
            return;
        }
        let prev = peer.next - 1;
        let prev_term = self.log.term(prev).unwrap_or_default();
        if !peer.probing {
            peer.next += entries.len() as u64;
        }
        debug_assert!(peer.next <= last + 1);
        out.send.push((member, Message::Append { term, round, prev, prev_term, commit, entries }));
    }

    // Out

    fn give(&mut self, out: &mut Output) {
        while self.given < self.hard.commit {
            let Some(entry) = self.log.get(self.given + 1) else { break };
            self.given += 1;
            out.committed.push(entry.clone());
        }
        if let Some(lead) = &mut self.lead {
            while let Some(first) = lead.tickets.first_entry() {
                if *first.key() > self.given {
                    break;
                }
                let (index, ticket) = first.remove_entry();
                out.proposed.push((ticket, Ok(index)));
            }
        }
    }

    fn write(&mut self, now: Micros, out: &mut Output) {
        if self.writing.is_some() || !(self.hard_dirty || self.log.is_dirty()) {
            return;
        }
        self.writes += 1;
        self.hard_dirty = false;
        #[allow(unused_mut)]
        let mut hard = self.hard.clone();
        if fault!(self, ForgetVote) {
            hard.vote = None;
        }
        self.writing = Some((self.writes, now, (hard.term, hard.standing, self.hard.vote)));
        out.write = Some(self.log.write(self.writes, hard));
    }

    fn written(&mut self, now: Micros, number: u64, out: &mut Output) {
        match self.writing {
            Some((n, _, safe)) if n == number => self.safe = safe,
            _ => return,
        }
        self.writing = None;
        self.log.written();
        for (_, to, message) in self.held.extract_if(.., |(n, ..)| *n <= number) {
            out.send.push((to, message));
        }
        if self.role == Role::Candidate && self.safe.0 == self.hard.term && self.hard.vote == Some(self.me) {
            self.voted(now, (self.me, self.disk), out);
        }
        if let (Some((fits, hint)), Role::Follower, Some(leader)) = (self.owes, self.role, self.leader) {
            self.owes = (fits && self.log.synced < self.verified).then_some((true, 0));
            self.ack(leader, fits, hint, out);
        }
    }
}
