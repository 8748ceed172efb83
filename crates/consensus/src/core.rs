//! The decisions of one member.

use crate::log::Log;
use crate::{
    Disk, Entry, HardState, Input, Member, Membership, Message, Micros, NotLeader, Output, Payload,
    PersistentState, Role, Snapshot, Timing,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Entries sent to a member beyond those that it has acknowledged.
const MAX_UNACKED_ENTRIES: u64 = 512;
/// This many pending entries are sent without waiting for the response to the batch before.
const FULL_BATCH_ENTRIES: u64 = 32;
/// Approximate bytes of entries in one message.
const BATCH_BYTES: usize = 128 << 10;
/// Bytes of unacknowledged entries per member, so that a slow link doesn't queue seconds of them.
const MAX_IN_FLIGHT_BYTES: usize = 256 << 10;
/// Unacknowledged chunks of a snapshot per member.
const MAX_IN_FLIGHT_CHUNKS: u64 = 2;
/// A learner that lacks at most this many entries may become a voter.
const CAUGHT_UP_ENTRIES: u64 = 16;
/// A learner that is silent for this long is removed.
const LEARNER_SILENCE: Micros = 5_000_000;
const MAX_MEMBERS: usize = 9;
const MAX_LEARNERS: usize = 9;
/// How long a leader that is leaving waits for a learner to catch up.
const LEARNER_CATCH_UP_LIMIT: Micros = 2_000_000;
/// How long a member counts as leaving after it last reported that.
const LEAVING_VALIDITY: Micros = 3_000_000;

/// An injected fault, by which the tests show that their checks detect violations.
#[cfg(test)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Fault {
    AckBeforeSync,
    /// A machine with a wiped disk comes back under its old disk number. Injected by the simulator.
    WipedDiskVotes,
    /// An old copy of a disk comes back under its old disk number. Injected by the simulator.
    OldCopyVotes,
    /// Entries are committed by the new majority alone before the membership change is committed.
    CommitWithoutJoint,
    /// The vote is not persisted.
    ForgetVote,
    /// A read is answered without a heartbeat round that confirms the leader.
    ReadUnconfirmed,
    /// A delayed snapshot replaces newer entries.
    StaleSnapshotInstalled,
    /// A snapshot is acknowledged before it is on disk.
    AckInstallBeforeSync,
    /// A snapshot transfer starts over with every newer snapshot.
    TransferRestarts,
    /// Chunks received of another snapshot are kept as the beginning of this one.
    ChunksMixed,
    /// A member that has received only snapshot chunks from the leader considers itself up to date.
    FreshFromChunks,
    /// A replica that has a membership change elects by the new majority alone before the change is committed.
    ElectWithoutJoint,
    /// A new member counts as having the whole log as soon as the membership contains it.
    NewMemberCountsAsUpToDate,
    /// A membership change is proposed before the previous one is committed.
    OverlappingChanges,
    /// The previous membership may still elect after the change is committed.
    PreviousMembershipElects,
    /// A snapshot is installed without its membership.
    SnapshotMembershipLost,
    /// No member is ever replaced by one at another address.
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

/// The part of the hard state that votes depend on: term, voter, vote.
type DurableVote = (u64, bool, Option<Member>);

/// A snapshot transfer to a member.
#[cfg_attr(test, derive(Clone, Hash))]
struct SnapshotTransfer {
    /// The snapshot that the transfer began with, even when a newer one is made: a transfer that started over each time
    /// might never end.
    snapshot: Arc<Snapshot>,
    /// Bytes acknowledged and bytes sent. `sent` is None before the first chunk, as a snapshot may have no bytes.
    received: u64,
    sent: Option<u64>,
    /// The round of the last chunk sent. A response to a later round shows which chunks were lost, however slow the
    /// link.
    round: u64,
}

impl SnapshotTransfer {
    fn new(snapshot: Arc<Snapshot>) -> SnapshotTransfer {
        SnapshotTransfer { snapshot, received: 0, sent: None, round: 0 }
    }

    fn total(&self) -> u64 {
        self.snapshot.data.len() as u64
    }

    /// Whether to send the newest snapshot instead: entries after this one are no longer kept, or finishing this one
    /// and sending the entries up to the newest costs more than starting over. This terminates as long as the link is
    /// faster than the rate of changes.
    fn outdated(&self, log: &Log) -> bool {
        let (at, newest) = (self.snapshot.index, &log.snapshot);
        let restart_cost = newest.data.len() as u64 + self.sent.unwrap_or_default();
        let limit = restart_cost.saturating_sub(self.total()) as usize + 1;
        at < log.base() || at < newest.index && log.bytes(at + 1, newest.index + 1, limit) >= limit
    }
}

/// The leader's view of one member and its disk.
#[cfg_attr(test, derive(Clone, Hash))]
struct Peer {
    disk: Disk,
    next_index: u64,
    match_index: u64,
    /// The latest round that it has responded to.
    round: u64,
    /// When it last responded.
    last_heard: Option<Micros>,
    voter: bool,
    /// The index up to which its log matches the leader's isn't known yet: one attempt at a time.
    probing: bool,
    /// The snapshot being sent to it.
    transfer: Option<SnapshotTransfer>,
    /// Responses to rounds from this one on show that a learner is alive.
    live_from_round: u64,
    /// The highest commit index that it has reported.
    commit: u64,
    /// When it last reported that it is leaving.
    leaving_reported: Option<Micros>,
}

impl Peer {
    fn new(disk: Disk, next_index: u64, live_from_round: u64) -> Peer {
        Peer {
            disk,
            next_index,
            match_index: 0,
            round: 0,
            last_heard: None,
            voter: false,
            probing: true,
            transfer: None,
            live_from_round,
            commit: 0,
            leaving_reported: None,
        }
    }

    fn is_leaving(&self, now: Micros) -> bool {
        self.leaving_reported.is_some_and(|at| now < at + LEAVING_VALIDITY)
    }
}

/// The state that only a leader has.
#[cfg_attr(test, derive(Clone, Hash))]
struct Leadership {
    peers: BTreeMap<Member, Peer>,
    learners: BTreeMap<Member, Peer>,
    /// The index of the first entry of its term.
    first_index: u64,
    round: u64,
    next_heartbeat: Micros,
    elected_at: Micros,
    /// The ticket of each proposal, by index.
    proposals: BTreeMap<u64, u64>,
    /// The ticket of each read, with the round that has to be confirmed for it.
    reads: Vec<(u64, u64)>,
}

impl Leadership {
    /// The index of the oldest snapshot being transferred: the entries after it will be needed.
    fn oldest_transfer(&self) -> Option<u64> {
        let all = self.peers.values().chain(self.learners.values());
        all.filter_map(|p| p.transfer.as_ref()).map(|t| t.snapshot.index).min()
    }
}

/// The consensus state machine of one member. It does no I/O and reads no clock: see [`Replica::handle`].
#[cfg_attr(test, derive(Clone, Hash))]
pub struct Replica {
    me: Member,
    disk: Disk,
    timing: Timing,
    rng_state: u64,
    seeds: Vec<Member>,
    log: Log,
    hard: HardState,
    hard_dirty: bool,
    /// The part of `hard` that is on disk.
    durable: DurableVote,
    /// The write in progress: its number, start time and content.
    writing: Option<(u64, Micros, DurableVote)>,
    writes: u64,
    /// Messages to send once the write with the given number is on disk.
    send_after_write: Vec<(u64, Member, Message)>,
    role: Role,
    leader: Option<Member>,
    /// When it last heard from a leader.
    last_heard: Option<Micros>,
    /// When to campaign or, as a non-voter, to send the next join request.
    next_attempt: Micros,
    votes: BTreeSet<(Member, Disk)>,
    /// The leader has asked this replica to take over.
    leadership_transfer: bool,
    leadership: Option<Box<Leadership>>,
    /// A follower's log matches the leader's up to this index.
    verified: u64,
    /// The commit index that the leader last reported.
    leader_commit: u64,
    round: u64,
    /// An append response that waits for the disk: whether the log matches, and if not, the index to try next.
    pending_response: Option<(bool, u64)>,
    /// Whether this term's leader has reported its commit index. Snapshot chunks alone don't carry it.
    leader_commit_known: bool,
    /// The snapshot being received, with the term of its sender: another leader's snapshot may have other bytes.
    incoming_snapshot: Option<(u64, Snapshot)>,
    /// Entries up to this index were handed to the host.
    delivered: u64,
    /// The intended number of voters.
    target_size: usize,
    /// When the host reported that it is about to stop.
    leaving_since: Option<Micros>,
    #[cfg(test)]
    pub(crate) fault: Option<Fault>,
}

impl Replica {
    /// `disk` is the number of this disk, `saved` what is on it. The host has loaded `saved.snapshot` into its state.
    pub fn new(
        me: Member,
        disk: Disk,
        saved: PersistentState,
        seed: u64,
        timing: Timing,
        now: Micros,
    ) -> Replica {
        let mut hard = saved.hard.clone();
        let delivered = saved.snapshot.index;
        let log = Log::new(saved);
        hard.commit = hard.commit.min(log.last_index()).max(delivered);
        let durable = (hard.term, hard.voter, hard.vote);
        let mut consensus = Replica {
            me,
            disk,
            timing,
            rng_state: seed ^ 0x9e37_79b9_7f4a_7c15,
            seeds: Vec::new(),
            log,
            hard,
            hard_dirty: false,
            durable,
            writing: None,
            writes: 0,
            send_after_write: Vec::new(),
            role: Role::Follower,
            leader: None,
            last_heard: None,
            next_attempt: now,
            votes: BTreeSet::new(),
            leadership_transfer: false,
            leadership: None,
            verified: 0,
            leader_commit: 0,
            leader_commit_known: false,
            round: 0,
            pending_response: None,
            incoming_snapshot: None,
            delivered,
            target_size: MAX_MEMBERS,
            leaving_since: None,
            #[cfg(test)]
            fault: None,
        };
        if consensus.can_campaign() {
            consensus.next_attempt = now + consensus.random_in(timing.election_timeout);
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

    pub fn commit_index(&self) -> u64 {
        self.hard.commit
    }

    /// The leader's commit index, as last reported. It is beyond [`Replica::commit_index`] while entries are missing
    /// here.
    pub fn leader_commit(&self) -> u64 {
        self.leader_commit.max(self.hard.commit)
    }

    /// Whether [`Replica::leader_commit`] covers all that was acknowledged until recently: this term's leader has
    /// reported it, and has committed an entry of its own term, so it knows what earlier leaders have committed.
    pub fn knows_leader_commit(&self) -> bool {
        if fault!(self, FreshFromChunks) {
            return self.leader.is_some();
        }
        let known = self.leadership.is_some() || self.leader.is_some() && self.leader_commit_known;
        known && self.log.term(self.leader_commit().min(self.log.last_index())) == Some(self.hard.term)
    }

    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    pub fn disk(&self) -> Disk {
        self.disk
    }

    /// Whether a committed membership is known to contain this disk.
    pub fn is_voter(&self) -> bool {
        self.hard.voter
    }

    /// Whether a host that is about to stop should run on for now, because another member is replacing this one.
    pub fn is_being_replaced(&self) -> bool {
        let (index, membership) = self.log.membership();
        let removed = !membership.members.is_empty() && !membership.contains(self.me, self.disk);
        removed && (index > self.hard.commit && self.hard.voter || self.leadership.is_some())
            || self.leaving_since.is_some_and(|at| self.has_live_learner(at))
    }

    /// Whether this is the leader and has a live learner that may replace it.
    fn has_live_learner(&self, now: Micros) -> bool {
        let limit = self.timing.election_timeout.1;
        let answers = |p: &Peer| !p.is_leaving(now) && p.last_heard.is_some_and(|at| now < at + limit);
        self.leadership.as_ref().is_some_and(|lead| lead.learners.values().any(answers))
    }

    /// The latest membership in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// The first entry that is still kept. The host may hand over a snapshot once this lies far back.
    pub fn first_index(&self) -> u64 {
        self.log.base() + 1
    }

    /// The snapshot that is on disk or being written.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.log.snapshot
    }

    /// Whether the log in memory has this entry or has already dropped it.
    #[cfg(test)]
    pub(crate) fn holds(&self, index: u64, term: u64) -> bool {
        index <= self.log.base() || self.log.term(index) == Some(term)
    }

    /// Moves all stored times back by `by` and resets the random state, so that replicas that differ in nothing else
    /// become equal.
    #[cfg(test)]
    pub(crate) fn rebase(&mut self, by: Micros) {
        let back = |at: &mut Micros| *at = at.saturating_sub(by);
        self.rng_state = 0;
        back(&mut self.next_attempt);
        self.last_heard.iter_mut().for_each(back);
        self.writing.iter_mut().for_each(|w| back(&mut w.1));
        self.leaving_since.iter_mut().for_each(back);
        let Some(lead) = &mut self.leadership else { return };
        back(&mut lead.next_heartbeat);
        back(&mut lead.elected_at);
        for peer in lead.peers.values_mut().chain(lead.learners.values_mut()) {
            peer.last_heard.iter_mut().for_each(back);
            peer.leaving_reported.iter_mut().for_each(back);
        }
    }

    /// Handles one input at time `now` and adds what the host has to do to `out`.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Output) {
        if self.role == Role::Failed {
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
                self.handle_message(now, from, from_disk, message, out)
            }
            Input::Message { .. } => {}
            Input::Written { number } => self.write_finished(now, number, out),
            Input::WriteFailed => {
                self.become_follower(now, self.hard.term, None, out);
                self.role = Role::Failed;
                self.send_after_write.clear();
                out.wake_at = Micros::MAX;
                return;
            }
            Input::Propose { ticket, data } => match self.leadership.is_some() {
                true => {
                    let index = self.append(Payload::Data(data));
                    self.leadership.as_mut().expect("leads").proposals.insert(index, ticket);
                }
                false => out.proposed.push((ticket, Err(NotLeader(self.leader)))),
            },
            Input::Read { ticket } => match &mut self.leadership {
                Some(lead) => lead.reads.push((ticket, lead.round + 1)),
                None => out.read.push((ticket, Err(NotLeader(self.leader)))),
            },
            Input::Snapshot { index, data } => {
                if index <= self.delivered {
                    let keep_after = self.leadership.as_ref().and_then(|lead| lead.oldest_transfer());
                    self.log.compact(index, data, self.timing.log_tail_entries, keep_after);
                }
            }
            Input::Seeds(seeds) => self.seeds = seeds,
            Input::TargetSize(size) => self.target_size = size.min(MAX_MEMBERS),
            Input::PrepareToStop => {
                self.leaving_since = Some(now);
                // A learner that has caught up replaces this member while it still leads. For one that is still
                // catching up the leader waits: under another leader it would have to start over.
                if !self.propose_membership_change(now) && !self.has_live_learner(now) {
                    self.transfer_leadership(now, out);
                    self.report_leaving(now, out);
                }
            }
        }
        self.check_timers(now, out);
        if self.leadership.is_some() {
            self.propose_membership_change(now);
            self.advance_commit();
            self.step_down_if_removed(now, out);
        }
        if self.leadership.is_some() {
            self.answer_reads(now, out);
            self.replicate(now, out);
        }
        self.deliver_committed(out);
        self.start_write(now, out);
        self.set_wake_up(now, out);
    }

    fn random_in(&mut self, (from, to): (Micros, Micros)) -> Micros {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.rng_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        from + (z ^ (z >> 31)) % (to - from).max(1)
    }

    // Timers

    fn check_timers(&mut self, now: Micros, out: &mut Output) {
        if self.leadership.is_some() {
            let slow = self.writing.is_some_and(|(_, began, _)| now >= began + self.timing.disk_write_limit);
            let waited_for_learner = self
                .leaving_since
                .is_some_and(|at| now >= at + LEARNER_CATCH_UP_LIMIT && now < at + LEAVING_VALIDITY);
            if slow || waited_for_learner && self.log.membership().1.contains(self.me, self.disk) {
                self.transfer_leadership(now, out);
            } else if !self.hears_majority(now) {
                self.become_follower(now, self.hard.term, None, out);
            }
            return;
        }
        if now < self.next_attempt {
            return;
        }
        if self.can_campaign() {
            let busy =
                self.writing.is_some_and(|(_, began, _)| now >= began + self.timing.election_timeout.0 / 2);
            if busy {
                self.next_attempt = now + self.random_in(self.timing.campaign_retry);
            } else {
                self.campaign(now, true, out);
            }
        } else {
            self.next_attempt = now + self.timing.join_retry;
            self.leader = None;
            let mut to: BTreeSet<Member> = self.seeds.iter().copied().collect();
            to.extend(self.log.membership().1.members.keys());
            to.remove(&self.me);
            out.send.extend(to.into_iter().map(|m| (m, Message::JoinRequest)));
        }
    }

    fn set_wake_up(&self, now: Micros, out: &mut Output) {
        let mut at = match &self.leadership {
            Some(lead) => lead.next_heartbeat,
            None => self.next_attempt,
        };
        if let (Some(_), Some((_, began, _))) = (&self.leadership, &self.writing) {
            at = at.min(began + self.timing.disk_write_limit);
        }
        out.wake_at = at.max(now);
    }

    // Majorities

    /// The membership before the latest one, as long as the latest isn't known to be committed: then a majority of each
    /// is needed.
    fn previous_membership(&self) -> Option<&Membership> {
        let (index, _) = self.log.membership();
        if index <= self.hard.commit { None } else { self.log.previous_membership() }
    }

    /// The highest value that a majority of the members has reached.
    fn majority_value(&self, membership: &Membership, value_of: impl Fn(Member, Disk) -> u64) -> u64 {
        let mut values: Vec<u64> = membership.members.iter().map(|(m, d)| value_of(*m, *d)).collect();
        values.sort_unstable();
        if values.is_empty() { 0 } else { values[(values.len() - 1) / 2] }
    }

    /// The highest value that a majority of every membership in force has reached, as far as the leader knows.
    fn joint_majority_value(&self, own_value: u64, value_of: impl Fn(&Peer) -> u64) -> u64 {
        let Some(lead) = &self.leadership else { return 0 };
        let value_of = |member: Member, disk: Disk| {
            if member == self.me {
                return if disk == self.disk { own_value } else { 0 };
            }
            match lead.peers.get(&member).filter(|p| p.disk == disk) {
                Some(p) if fault!(self, NewMemberCountsAsUpToDate) && !p.voter => u64::MAX,
                Some(p) => value_of(p),
                None => 0,
            }
        };
        let latest = self.majority_value(self.log.membership().1, value_of);
        match self.previous_membership().filter(|_| !fault!(self, CommitWithoutJoint)) {
            Some(previous) => latest.min(self.majority_value(previous, value_of)),
            None => latest,
        }
    }

    fn has_majority_of_votes(&self) -> bool {
        let elects =
            |m: &Membership| self.majority_value(m, |m, d| u64::from(self.votes.contains(&(m, d)))) > 0;
        if fault!(self, PreviousMembershipElects) && self.log.previous_membership().is_some_and(elects) {
            return true;
        }
        let previous = self.previous_membership().filter(|_| !fault!(self, ElectWithoutJoint));
        elects(self.log.membership().1) && previous.is_none_or(elects)
    }

    /// Whether a majority of every membership in force has responded within an election timeout.
    fn hears_majority(&self, now: Micros) -> bool {
        let Some(lead) = &self.leadership else { return false };
        let limit = self.timing.election_timeout.1;
        let live = |member: Member, disk: Disk| match lead.peers.get(&member) {
            Some(p) if p.disk == disk => u64::from(p.last_heard.unwrap_or(lead.elected_at) + limit > now),
            Some(_) => 0,
            None => u64::from(member == self.me && disk == self.disk),
        };
        let responds = |m: &Membership| self.majority_value(m, live) > 0;
        responds(self.log.membership().1) && self.previous_membership().is_none_or(responds)
    }

    // Roles

    /// Members of either membership in force may campaign, including a new one: it may be the only replica that has
    /// the entry with its membership.
    fn can_campaign(&self) -> bool {
        self.hard.voter || self.log.membership().1.contains(self.me, self.disk)
    }

    fn advance_term(&mut self, term: u64) {
        if term > self.hard.term {
            (self.hard.term, self.hard.vote) = (term, None);
            self.hard_dirty = true;
        }
    }

    /// Becomes a follower in this term, if it isn't one yet.
    fn become_follower(&mut self, now: Micros, term: u64, leader: Option<Member>, out: &mut Output) {
        let new_term = term > self.hard.term;
        self.advance_term(term);
        if self.role != Role::Follower || new_term {
            // A partly received snapshot is kept: a member on a slow link may campaign between two chunks.
            (self.verified, self.round, self.pending_response, self.leader_commit_known) =
                (0, 0, None, false);
            self.next_attempt = self.next_attempt.max(now + self.random_in(self.timing.election_timeout));
        }
        self.role = Role::Follower;
        self.leader = leader;
        if let Some(lead) = self.leadership.take() {
            self.last_heard = None;
            self.next_attempt = now + self.random_in(self.timing.election_timeout);
            out.lost.extend(lead.proposals.into_values());
            out.read.extend(lead.reads.into_iter().map(|(t, _)| (t, Err(NotLeader(leader)))));
        }
    }

    /// Handles that a leader of the current or a newer term has sent something.
    fn observe_leader(&mut self, now: Micros, term: u64, leader: Member, out: &mut Output) {
        if term > self.hard.term || self.role != Role::Follower || self.leader != Some(leader) {
            self.become_follower(now, term, Some(leader), out);
        }
        if self.hard.vote.is_none() {
            // Rules out a second vote in this term, even by a replica that has just become a voter.
            self.hard.vote = Some(leader);
            self.hard_dirty = true;
        }
        self.last_heard = Some(now);
        self.leadership_transfer = false;
        self.next_attempt = now + self.random_in(self.timing.election_timeout);
    }

    fn campaign(&mut self, now: Micros, pre_vote: bool, out: &mut Output) {
        self.votes.clear();
        self.leader = None;
        self.next_attempt = now + self.random_in(self.timing.campaign_retry);
        let (last, last_term) = (self.log.last_index(), self.log.last_term());
        let term = self.hard.term + 1;
        let request = Message::RequestVote {
            pre_vote,
            leadership_transfer: self.leadership_transfer,
            term,
            last_index: last,
            last_term,
        };
        if pre_vote {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            self.advance_term(term);
            self.hard.vote = Some(self.me);
            self.hard_dirty = true;
            // The own vote counts, and others are asked, only once it is on disk. The next attempt is drawn from the
            // election timeout rather than the retry time, so that elections on slow disks have enough time.
            self.next_attempt = now + self.random_in(self.timing.election_timeout) / 2;
        }
        let mut to: BTreeSet<Member> = self.log.membership().1.members.keys().copied().collect();
        let previous = if fault!(self, PreviousMembershipElects) {
            self.log.previous_membership()
        } else {
            self.previous_membership()
        };
        to.extend(previous.iter().flat_map(|p| p.members.keys().copied()));
        to.remove(&self.me);
        if pre_vote {
            out.send.extend(to.into_iter().map(|m| (m, request.clone())));
            self.record_vote(now, (self.me, self.disk), out);
        } else {
            let number = self.writes + 1;
            self.send_after_write.extend(to.into_iter().map(|m| (number, m, request.clone())));
        }
    }

    fn record_vote(&mut self, now: Micros, by: (Member, Disk), out: &mut Output) {
        self.votes.insert(by);
        if !self.has_majority_of_votes() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(now, false, out),
            Role::Candidate if self.votes.contains(&(self.me, self.disk)) => self.become_leader(now),
            _ => {}
        }
    }

    fn become_leader(&mut self, now: Micros) {
        self.role = Role::Leader;
        self.leader = Some(self.me);
        self.leadership_transfer = false;
        let next = self.log.last_index() + 1;
        // Where both memberships contain an address, the disk of the later one is the current one.
        let previous = self.previous_membership().into_iter().flat_map(|p| &p.members);
        let others = previous.chain(&self.log.membership().1.members).filter(|(m, _)| **m != self.me);
        let peers = others.map(|(m, d)| (*m, Peer::new(*d, next, 0))).collect();
        self.leadership = Some(Box::new(Leadership {
            peers,
            learners: BTreeMap::new(),
            first_index: next,
            round: 0,
            next_heartbeat: now,
            elected_at: now,
            proposals: BTreeMap::new(),
            reads: Vec::new(),
        }));
        self.append(Payload::Noop);
    }

    /// Steps down as leader, and asks the most up-to-date voter to take over.
    fn transfer_leadership(&mut self, now: Micros, out: &mut Output) {
        let Some(lead) = &self.leadership else { return };
        let limit = now.saturating_sub(self.timing.election_timeout.0);
        let membership = self.log.membership().1;
        let heard = |p: &Peer| p.last_heard.is_some_and(|at| at >= limit);
        let candidates =
            lead.peers.iter().filter(|(m, p)| p.voter && membership.contains(**m, p.disk) && heard(p));
        if let Some((member, _)) = candidates.max_by_key(|(_, p)| p.match_index) {
            out.send.push((*member, Message::TimeoutNow { term: self.hard.term }));
        }
        self.become_follower(now, self.hard.term, None, out);
    }

    // Messages

    fn handle_message(&mut self, now: Micros, from: Member, disk: Disk, message: Message, out: &mut Output) {
        match message {
            Message::JoinRequest => self.handle_join_request(now, from, disk, out),
            Message::LeaderHint(leader) => {
                // Also applies to a replica that believes to be a member but has been replaced.
                let no_leader = self.leader.is_none() && self.leadership.is_none();
                if let Some(leader) = leader.filter(|l| no_leader && *l != self.me && *l != from) {
                    out.send.push((leader, Message::JoinRequest));
                }
            }
            Message::RequestVote { pre_vote, leadership_transfer, term, last_index, last_term } => {
                self.handle_vote_request(
                    now,
                    from,
                    (pre_vote, leadership_transfer),
                    term,
                    (last_term, last_index),
                    out,
                );
                let is_member = |m: &Membership| m.contains(from, disk);
                let non_member =
                    !is_member(self.log.membership().1) && !self.previous_membership().is_some_and(is_member);
                if pre_vote && non_member && (self.leadership.is_some() || self.leader.is_some()) {
                    self.handle_join_request(now, from, disk, out);
                }
            }
            Message::VoteResponse { pre_vote, term, granted, commit } => {
                if !granted && term > self.hard.term {
                    self.become_follower(now, term, None, out);
                    return;
                }
                let expected = match self.role {
                    Role::PreCandidate => pre_vote && term == self.hard.term + 1,
                    Role::Candidate => !pre_vote && term == self.hard.term,
                    _ => false,
                };
                if granted && expected {
                    self.record_vote(now, (from, disk), out);
                    if self.leadership.is_some() {
                        self.update_commit(commit);
                    }
                }
            }
            Message::AppendEntries { term, round, prev_index, prev_term, commit, entries } => {
                if term < self.hard.term {
                    self.reject_stale_leader(from, round, out);
                } else if self.leadership.is_none() {
                    self.observe_leader(now, term, from, out);
                    (self.leader_commit, self.leader_commit_known) = (commit, true);
                    self.handle_append(from, round, (prev_index, prev_term), commit, entries, out);
                    self.report_leaving(now, out);
                }
            }
            Message::SnapshotChunk { term, round, .. } if term < self.hard.term => {
                self.reject_stale_leader(from, round, out)
            }
            Message::SnapshotChunk { .. } if self.leadership.is_some() => {}
            Message::SnapshotChunk {
                term,
                round,
                index,
                index_term,
                membership,
                membership_index,
                total,
                offset,
                bytes,
            } => {
                self.observe_leader(now, term, from, out);
                self.round = self.round.max(round);
                let new =
                    Snapshot { index, term: index_term, membership, membership_index, data: Vec::new() };
                self.handle_snapshot_chunk(from, new, total, offset, &bytes, out);
            }
            Message::AppendResponse { term, .. } | Message::SnapshotChunkResponse { term, .. }
                if term > self.hard.term =>
            {
                self.become_follower(now, term, None, out)
            }
            Message::AppendResponse { term, round, success, match_index, commit, voter } => {
                if term == self.hard.term && self.leadership.is_some() {
                    self.handle_append_response(
                        now,
                        (from, disk),
                        round,
                        success,
                        match_index,
                        (voter, commit),
                        out,
                    );
                    self.update_commit(commit);
                }
            }
            Message::SnapshotChunkResponse { term, round, index, offset } => {
                if term == self.hard.term
                    && let Some(peer) = self.peer(from, disk)
                {
                    peer.last_heard = Some(now);
                    let stale = round < peer.round;
                    peer.round = peer.round.max(round);
                    if let Some(t) = &mut peer.transfer
                        && t.snapshot.index == index
                        && offset <= t.total()
                        && (offset > t.received || !stale)
                    {
                        t.received = offset;
                        t.sent = t.sent.max(Some(offset));
                    }
                }
            }
            Message::TimeoutNow { term } => {
                if term == self.hard.term && self.leader == Some(from) && self.can_campaign() {
                    self.leadership_transfer = true;
                    self.campaign(now, true, out);
                }
            }
            Message::Leaving { term } => {
                if term == self.hard.term
                    && let Some(peer) = self.peer(from, disk)
                {
                    peer.leaving_reported = Some(now);
                }
            }
        }
    }

    /// Tells a leader of an older term about the current term, once that is on disk.
    fn reject_stale_leader(&mut self, from: Member, round: u64, out: &mut Output) {
        let message = Message::AppendResponse {
            term: self.hard.term,
            round,
            success: false,
            match_index: self.log.last_index(),
            commit: self.hard.commit,
            voter: false,
        };
        if self.durable.0 == self.hard.term {
            out.send.push((from, message));
        }
    }

    fn handle_join_request(&mut self, now: Micros, from: Member, disk: Disk, out: &mut Output) {
        let (_, membership) = self.log.membership();
        let is_member = |m: &Membership| m.contains(from, disk);
        // Disk 0 at an address where the membership has another disk: a founder's disk is never used again once
        // it is replaced.
        let stale = disk == 0 && membership.members.contains_key(&from);
        let known = is_member(membership) || self.previous_membership().is_some_and(is_member);
        let next = self.log.last_index() + 1;
        let Some(lead) = &mut self.leadership else {
            out.send.push((from, Message::LeaderHint(self.leader)));
            return;
        };
        let learner = lead.learners.get(&from);
        let full = learner.is_none() && lead.learners.len() >= MAX_LEARNERS;
        if stale || known || full || learner.is_some_and(|p| p.disk == disk) {
            return;
        }
        // Only responses to rounds from now on show that the machine runs with this disk and no longer with the one
        // in the membership.
        let peer = Peer { last_heard: Some(now), ..Peer::new(disk, next, lead.round + 1) };
        lead.learners.insert(from, peer);
        lead.next_heartbeat = now;
    }

    fn handle_vote_request(
        &mut self,
        now: Micros,
        from: Member,
        (pre_vote, leadership_transfer): (bool, bool),
        term: u64,
        last_entry: (u64, u64),
        out: &mut Output,
    ) {
        // Members or not: a replica that lags may not know the candidate's membership, or not know yet that it is
        // a member itself.
        let window = self.timing.election_timeout.0.saturating_sub(self.timing.heartbeat_interval);
        let leader_alive = self.leadership.is_some() || self.last_heard.is_some_and(|at| now < at + window);
        let leader_alive = leader_alive && !leadership_transfer;
        if !pre_vote && !leader_alive && term > self.hard.term {
            self.become_follower(now, term, None, out);
        }
        let up_to_date = last_entry >= (self.log.last_term(), self.log.last_index());
        let may_vote = match pre_vote {
            true => term > self.hard.term,
            // Only once, even for the same address: it may have another disk by now.
            false => term == self.hard.term && self.hard.vote.is_none() && self.leadership.is_none(),
        };
        let granted = !leader_alive && up_to_date && may_vote;
        let response_term = if granted { term } else { self.hard.term };
        let response =
            Message::VoteResponse { pre_vote, term: response_term, granted, commit: self.hard.commit };
        if granted && !pre_vote {
            self.hard.vote = Some(from);
            self.hard_dirty = true;
            if self.can_campaign() {
                self.next_attempt = now + self.random_in(self.timing.election_timeout);
            }
        }
        if self.vote_is_durable() || pre_vote && self.durable.0 == self.hard.term {
            out.send.push((from, response));
        } else {
            self.send_after_write.push((self.writes + 1, from, response));
        }
    }

    /// Whether all that a vote response states is on disk.
    fn vote_is_durable(&self) -> bool {
        !self.hard_dirty
            && self.writing.is_none_or(|(_, _, durable)| durable == self.durable)
            && self.send_after_write.is_empty()
    }

    fn handle_append(
        &mut self,
        from: Member,
        round: u64,
        (prev_index, prev_term): (u64, u64),
        commit: u64,
        entries: Vec<Entry>,
        out: &mut Output,
    ) {
        self.round = self.round.max(round);
        let matches = prev_index <= self.hard.commit || self.log.term(prev_index) == Some(prev_term);
        if !matches {
            // Where the leader should try next: the last entry whose term isn't newer than the leader's `prev_term`.
            let mut hint = self.log.last_index().min(prev_index.saturating_sub(1));
            while hint > self.hard.commit && self.log.term(hint).is_some_and(|t| t > prev_term) {
                hint -= 1;
            }
            self.send_append_response(from, false, hint, out);
            return;
        }
        let end = prev_index + entries.len() as u64;
        let has_entries = !entries.is_empty();
        for entry in entries {
            if entry.index <= self.hard.commit || self.log.term(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last_index() {
                self.log.truncate(entry.index);
            }
            self.log.push(entry);
        }
        self.verified = self.verified.max(end).max(self.hard.commit);
        self.update_commit(commit.min(self.verified));
        if has_entries && self.log.synced < self.verified && !fault!(self, AckBeforeSync) {
            self.pending_response = Some((true, 0));
        } else {
            self.send_append_response(from, true, 0, out);
        }
    }

    /// Acknowledges to the leader what is on disk, or defers the response if not even the term is.
    fn send_append_response(&mut self, to: Member, success: bool, hint: u64, out: &mut Output) {
        if self.durable.0 != self.hard.term && !fault!(self, AckBeforeSync) {
            self.pending_response = Some((success, hint));
            return;
        }
        let synced = if fault!(self, AckBeforeSync) { self.log.last_index() } else { self.log.synced };
        out.send.push((
            to,
            Message::AppendResponse {
                term: self.hard.term,
                round: self.round,
                success,
                match_index: if success { self.verified.min(synced) } else { hint },
                commit: self.hard.commit,
                voter: self.durable.1,
            },
        ));
    }

    fn handle_snapshot_chunk(
        &mut self,
        from: Member,
        header: Snapshot,
        total: u64,
        offset: u64,
        bytes: &[u8],
        out: &mut Output,
    ) {
        let (index, leader_term) = (header.index, self.hard.term);
        if index <= self.hard.commit && !fault!(self, StaleSnapshotInstalled) {
            // These entries are committed here already, so the leader can continue with entries.
            self.verified = self.verified.max(index);
            self.incoming_snapshot.take_if(|(_, c)| c.index <= index);
            self.send_append_response(from, true, 0, out);
            return;
        }
        let is_same = |(t, c): &(u64, Snapshot)| (*t, c.index, c.term) == (leader_term, index, header.term);
        match &self.incoming_snapshot {
            // A duplicate or delayed chunk: this leader has switched to a newer snapshot.
            Some((t, c)) if *t == leader_term && c.index > index => return,
            Some(incoming) if is_same(incoming) || fault!(self, ChunksMixed) => {}
            _ => self.incoming_snapshot = Some((leader_term, header)),
        }
        let (_, incoming) = self.incoming_snapshot.as_mut().expect("just made");
        if incoming.data.len() as u64 == offset {
            incoming.data.extend_from_slice(bytes);
        }
        let offset = incoming.data.len() as u64;
        // Also sent for the last chunk: the acknowledgement of the snapshot has to wait for the disk.
        if self.durable.0 == self.hard.term {
            let (term, round) = (self.hard.term, self.round);
            out.send.push((from, Message::SnapshotChunkResponse { term, round, index, offset }));
        }
        if offset < total {
            return;
        }
        #[allow(unused_mut)]
        let (_, mut snapshot) = self.incoming_snapshot.take().expect("complete");
        if fault!(self, SnapshotMembershipLost) {
            snapshot.membership = self.log.membership().1.clone();
        }
        let snapshot = Arc::new(snapshot);
        let index = snapshot.index;
        if fault!(self, StaleSnapshotInstalled) && (self.log.base()..self.log.last_index()).contains(&index) {
            self.log.truncate(index + 1);
        }
        self.log.install(snapshot.clone());
        self.verified = index;
        self.delivered = index;
        out.committed.clear();
        out.installed = Some(snapshot);
        self.update_commit(index);
        self.pending_response = Some((true, 0));
        if fault!(self, AckInstallBeforeSync) {
            let (term, round, commit) = (self.hard.term, self.round, index);
            let voter = self.durable.1;
            out.send.push((
                from,
                Message::AppendResponse { term, round, success: true, match_index: index, commit, voter },
            ));
        }
    }

    // Leader

    fn append(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        self.log.push(Entry { term: self.hard.term, index, payload });
        index
    }

    fn peer(&mut self, member: Member, disk: Disk) -> Option<&mut Peer> {
        let lead = self.leadership.as_mut()?;
        let learner = lead.learners.get_mut(&member).filter(|p| p.disk == disk);
        learner.or_else(|| lead.peers.get_mut(&member).filter(|p| p.disk == disk))
    }

    #[allow(clippy::too_many_arguments)]
    fn handle_append_response(
        &mut self,
        now: Micros,
        (from, disk): (Member, Disk),
        round: u64,
        success: bool,
        match_index: u64,
        (voter, commit): (bool, u64),
        out: &mut Output,
    ) {
        let (last, base) = (self.log.last_index(), self.log.base());
        let Some(peer) = self.peer(from, disk) else {
            // The message was meant for the previous disk and has reached a new one.
            return self.handle_join_request(now, from, disk, out);
        };
        peer.last_heard = Some(now);
        let newest = round > peer.round;
        peer.round = peer.round.max(round);
        peer.voter = voter;
        peer.commit = peer.commit.max(commit);
        if !success {
            if let Some(t) = &mut peer.transfer {
                // It had received the whole snapshot and lacks it again: it stopped before that was on disk.
                if t.received == t.total() && t.sent.is_some() && newest && match_index < t.snapshot.index {
                    (t.received, t.sent) = (0, None);
                }
                return;
            }
            if newest && match_index < peer.match_index {
                // Its disk lost entries that were synced: an old copy was restored. It counts only for what it
                // acknowledges from now on.
                peer.match_index = 0;
            }
            // A delayed response says nothing new; the next message finds out.
            if match_index < peer.next_index {
                peer.next_index = match_index.max(peer.match_index) + 1;
                peer.probing = true;
                self.replicate_to(now, from, disk, true, out);
            }
            return;
        }
        peer.match_index = peer.match_index.max(match_index.min(last));
        peer.next_index = peer.next_index.max(peer.match_index + 1);
        peer.probing = false;
        if peer.next_index > base {
            peer.transfer = None;
        }
    }

    /// Lets a learner that has caught up replace a member or join. Returns whether a membership was proposed.
    fn propose_membership_change(&mut self, now: Micros) -> bool {
        let Some(lead) = &self.leadership else { return false };
        if lead.learners.is_empty() {
            return false;
        }
        let (last, base, commit) = (self.log.last_index(), self.log.base(), self.hard.commit);
        let (index, membership) = self.log.membership();
        if commit < lead.first_index || index > commit && !fault!(self, OverlappingChanges) {
            return false;
        }
        let limit = self.timing.election_timeout.1;
        let heard = |p: &Peer| p.last_heard.is_some_and(|at| now < at + limit);
        let caught_up = |p: &Peer| {
            p.match_index >= base && p.match_index + CAUGHT_UP_ENTRIES >= last && p.round >= p.live_from_round
        };
        let ready = |p: &Peer| caught_up(p) && !p.probing && heard(p) && !p.is_leaving(now);
        let mut ready = lead.learners.iter().filter(|(_, p)| ready(p));
        let same_address = ready.clone().find(|(m, _)| membership.members.contains_key(m));
        let Some((learner, disk)) = same_address.or_else(|| ready.next()).map(|(m, p)| (*m, p.disk)) else {
            return false;
        };
        let replaced = match same_address {
            Some(_) => Some(learner),
            None => self.replaceable_member(now, lead, membership),
        };
        // One more member that raises the majority would weaken a group in which some member is down.
        let all_healthy =
            || membership.members.len() % 2 == 0 || lead.peers.values().all(|p| p.voter && heard(p));
        if replaced.is_none() && (membership.members.len() >= self.target_size || !all_healthy()) {
            return false;
        }
        let old = membership.clone();
        let mut new = old.clone();
        if let Some(replaced) = replaced {
            new.members.remove(&replaced);
        }
        new.members.insert(learner, disk);
        let lead = self.leadership.as_mut().expect("leads");
        let peer = lead.learners.remove(&learner).expect("there");
        lead.peers.insert(learner, peer);
        self.append(Payload::Joint { old, new });
        true
    }

    /// The member to replace: one that is leaving, or else the one silent for the longest time, if long enough.
    fn replaceable_member(&self, now: Micros, lead: &Leadership, membership: &Membership) -> Option<Member> {
        if fault!(self, NeverReplaced) {
            return None;
        }
        let is_leaving = |m: &&Member| match lead.peers.get(m) {
            Some(peer) => peer.is_leaving(now),
            None => self.leaving_since.is_some_and(|at| now < at + LEAVING_VALIDITY),
        };
        let leaving = membership.members.keys().find(is_leaving).copied();
        leaving.or_else(|| {
            let heard = |p: &Peer| p.last_heard.unwrap_or(lead.elected_at);
            let peers = lead.peers.iter().filter(|(m, p)| membership.contains(**m, p.disk));
            let silent = peers.filter(|(_, p)| heard(p) + self.timing.replace_after <= now);
            silent.min_by_key(|(_, p)| heard(p)).map(|(m, _)| *m)
        })
    }

    /// A leader that the committed membership no longer contains steps down once a majority of that membership knows
    /// that it is committed.
    fn step_down_if_removed(&mut self, now: Micros, out: &mut Output) {
        let Some(lead) = &self.leadership else { return };
        let (index, membership) = self.log.membership();
        if index > self.hard.commit || membership.contains(self.me, self.disk) {
            return;
        }
        let knows = |m: Member, d: Disk| {
            let peer = lead.peers.get(&m).filter(|p| p.disk == d);
            u64::from(peer.is_some_and(|p| p.voter && p.commit >= index))
        };
        if self.majority_value(membership, knows) > 0 {
            self.transfer_leadership(now, out);
        }
    }

    fn report_leaving(&mut self, now: Micros, out: &mut Output) {
        let is_leaving = self.leaving_since.is_some_and(|at| now < at + LEAVING_VALIDITY);
        if let Some(leader) = self.leader.filter(|l| is_leaving && *l != self.me) {
            out.send.push((leader, Message::Leaving { term: self.hard.term }));
        }
    }

    /// Commits what a majority has on disk.
    fn advance_commit(&mut self) {
        loop {
            let commit = self.hard.commit;
            let mut to = self.joint_majority_value(self.log.synced, |p| p.match_index);
            if to <= commit || self.log.term(to) != Some(self.hard.term) {
                return;
            }
            let (membership_index, _) = self.log.membership();
            if membership_index > commit {
                // Entries after a membership change need a majority of the new membership.
                to = to.min(membership_index);
            }
            self.update_commit(to);
        }
    }

    fn update_commit(&mut self, to: u64) {
        let to = to.min(self.log.last_index());
        if to <= self.hard.commit {
            return;
        }
        let previous_commit = std::mem::replace(&mut self.hard.commit, to);
        let (index, membership) = self.log.membership();
        if let Some(lead) = &mut self.leadership
            && index <= to
            && index > previous_commit
        {
            // All are told at once. Peers that the new membership doesn't contain continue as learners.
            lead.next_heartbeat = 0;
            let removed = lead.peers.extract_if(.., |m, p| !membership.contains(*m, p.disk));
            lead.learners.extend(removed);
        }
        // If the latest membership isn't committed yet, the one before it is, or the latest wouldn't have been
        // proposed.
        let voter = match index <= to {
            true => membership.contains(self.me, self.disk),
            false => self.log.previous_membership().is_some_and(|b| b.contains(self.me, self.disk)),
        };
        // Only the commit index shows that a membership is committed, so it has to survive a restart.
        if voter != self.hard.voter || index <= to && index > previous_commit {
            self.hard.voter = voter;
            self.hard_dirty = true;
        }
    }

    fn answer_reads(&mut self, now: Micros, out: &mut Output) {
        let confirmed = if fault!(self, ReadUnconfirmed) {
            u64::MAX
        } else {
            self.joint_majority_value(u64::MAX, |p| p.round)
        };
        let commit = self.hard.commit;
        let Some(lead) = &mut self.leadership else { return };
        if lead.reads.is_empty() || commit < lead.first_index {
            return;
        }
        lead.reads.retain(|(ticket, round)| {
            let done = *round <= confirmed;
            if done {
                out.read.push((*ticket, Ok(commit)));
            }
            !done
        });
        // One round at a time: reads that arrive in the meantime share the next round.
        if !lead.reads.is_empty() && confirmed >= lead.round {
            lead.next_heartbeat = now;
        }
    }

    fn replicate(&mut self, now: Micros, out: &mut Output) {
        let Some(lead) = &mut self.leadership else { return };
        let silent = |p: &Peer| p.last_heard.is_none_or(|at| now >= at + LEARNER_SILENCE);
        lead.learners.retain(|_, p| !silent(p));
        // The log keeps nothing for a member that isn't reachable.
        lead.peers.values_mut().filter(|p| silent(p)).for_each(|p| p.transfer = None);
        let heartbeat_due = now >= lead.next_heartbeat;
        if heartbeat_due {
            lead.round += 1;
            lead.next_heartbeat = now + self.timing.heartbeat_interval;
        }
        // While a machine catches up with a new disk, nothing is sent for its old disk: the responses would be taken
        // for responses to what the new disk was sent.
        let limit = self.timing.election_timeout.1;
        let superseded = |(m, p): &(&Member, &Peer)| {
            let learner_is_newer = lead.learners.get(*m).is_some_and(|l| l.last_heard > p.last_heard);
            learner_is_newer && p.last_heard.is_none_or(|at| now >= at + limit)
        };
        let peers =
            lead.peers.iter().filter(|p| !superseded(p)).chain(&lead.learners).map(|(m, p)| (*m, p.disk));
        for (member, disk) in peers.collect::<Vec<_>>() {
            self.replicate_to(now, member, disk, heartbeat_due, out);
        }
    }

    /// Sends the entries or snapshot chunks that this disk lacks, and at a heartbeat an empty message if there are
    /// none.
    fn replicate_to(
        &mut self,
        now: Micros,
        member: Member,
        disk: Disk,
        heartbeat_due: bool,
        out: &mut Output,
    ) {
        let (term, commit, last) = (self.hard.term, self.hard.commit, self.log.last_index());
        let Some(lead) = &mut self.leadership else { return };
        let round = lead.round;
        let found = lead.learners.get_mut(&member).filter(|p| p.disk == disk);
        let Some(peer) = found.or_else(|| lead.peers.get_mut(&member).filter(|p| p.disk == disk)) else {
            return;
        };
        if peer.next_index <= self.log.base() {
            let reachable = peer.last_heard.is_some_and(|at| now < at + self.timing.election_timeout.1);
            if let Some(t) = &mut peer.transfer
                && peer.round > t.round
                && t.sent.is_some_and(|sent| sent > t.received)
            {
                t.sent = if t.received > 0 { Some(t.received) } else { None };
            }
            let newest = &self.log.snapshot;
            let restart = fault!(self, TransferRestarts);
            peer.transfer.take_if(|t| restart && t.snapshot.index < newest.index || t.outdated(&self.log));
            let chunk = self.timing.snapshot_chunk_bytes as u64;
            let mut sent_any = false;
            if reachable && peer.transfer.is_none() {
                peer.transfer = Some(SnapshotTransfer::new(newest.clone()));
            }
            while let Some(t) = &mut peer.transfer
                && reachable
                && t.sent.is_none_or(|sent| sent < t.total().min(t.received + MAX_IN_FLIGHT_CHUNKS * chunk))
            {
                let offset = t.sent.unwrap_or_default();
                let end = t.total().min(offset + chunk);
                let bytes = t.snapshot.data[offset as usize..end as usize].to_vec();
                (t.sent, t.round, sent_any) = (Some(end), round, true);
                let Snapshot { index, term: index_term, ref membership, membership_index, .. } = *t.snapshot;
                let (membership, total) = (membership.clone(), t.total());
                let chunk = Message::SnapshotChunk {
                    term,
                    round,
                    index,
                    index_term,
                    membership,
                    membership_index,
                    total,
                    offset,
                    bytes,
                };
                out.send.push((member, chunk));
            }
            if sent_any {
                return;
            }
            if !heartbeat_due {
                return;
            }
            // Keeps the member from campaigning in the meantime. It succeeds if the log matches at the base.
            let prev_index = self.log.base();
            let prev_term = self.log.term(prev_index).unwrap_or_default();
            let entries = Vec::new();
            out.send.push((
                member,
                Message::AppendEntries { term, round, prev_index, prev_term, commit, entries },
            ));
            return;
        }
        let mut entries = Vec::new();
        let mut bytes = 0;
        // Entries that arrive while a batch is in flight are sent together in the next one.
        let batch_in_flight = !peer.probing && peer.next_index - 1 > peer.match_index;
        if batch_in_flight && !heartbeat_due && last - (peer.next_index - 1) < FULL_BATCH_ENTRIES {
            return;
        }
        let max_entries = MAX_UNACKED_ENTRIES
            .saturating_sub(peer.next_index - 1 - peer.match_index.min(peer.next_index - 1));
        let in_flight = self.log.bytes(peer.match_index + 1, peer.next_index, MAX_IN_FLIGHT_BYTES);
        if !peer.probing || heartbeat_due {
            let max_entries = if peer.probing { max_entries.min(1) } else { max_entries };
            while (entries.len() as u64) < max_entries
                && bytes < BATCH_BYTES
                && in_flight + bytes < MAX_IN_FLIGHT_BYTES
            {
                let Some(entry) = self.log.get(peer.next_index + entries.len() as u64) else { break };
                bytes += entry.size();
                entries.push(entry.clone());
            }
        }
        if entries.is_empty() && !heartbeat_due {
            return;
        }
        let prev_index = peer.next_index - 1;
        let prev_term = self.log.term(prev_index).unwrap_or_default();
        if !peer.probing {
            peer.next_index += entries.len() as u64;
        }
        debug_assert!(peer.next_index <= last + 1);
        out.send
            .push((member, Message::AppendEntries { term, round, prev_index, prev_term, commit, entries }));
    }

    // Output

    fn deliver_committed(&mut self, out: &mut Output) {
        while self.delivered < self.hard.commit {
            let Some(entry) = self.log.get(self.delivered + 1) else { break };
            self.delivered += 1;
            out.committed.push(entry.clone());
        }
        if let Some(lead) = &mut self.leadership {
            while let Some(first) = lead.proposals.first_entry() {
                if *first.key() > self.delivered {
                    break;
                }
                let (index, ticket) = first.remove_entry();
                out.proposed.push((ticket, Ok(index)));
            }
        }
    }

    fn start_write(&mut self, now: Micros, out: &mut Output) {
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
        self.writing = Some((self.writes, now, (hard.term, hard.voter, self.hard.vote)));
        out.write = Some(self.log.take_write(self.writes, hard));
    }

    fn write_finished(&mut self, now: Micros, number: u64, out: &mut Output) {
        match self.writing {
            Some((n, _, durable)) if n == number => self.durable = durable,
            _ => return,
        }
        self.writing = None;
        self.log.write_finished();
        for (_, to, message) in self.send_after_write.extract_if(.., |(n, ..)| *n <= number) {
            out.send.push((to, message));
        }
        if self.role == Role::Candidate && self.durable.0 == self.hard.term && self.hard.vote == Some(self.me)
        {
            self.record_vote(now, (self.me, self.disk), out);
        }
        if let (Some((success, hint)), Role::Follower, Some(leader)) =
            (self.pending_response, self.role, self.leader)
        {
            self.pending_response = (success && self.log.synced < self.verified).then_some((true, 0));
            self.send_append_response(leader, success, hint, out);
        }
    }
}
