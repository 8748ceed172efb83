//! Replicated log with one elected leader, after Raft: an entry is committed once a majority of the members has it on
//! disk.
//!
//! [`Replica`] is the state machine of one member: inputs in; messages, writes and results out. It has no clock,
//! randomness or I/O of its own: the time comes with every input, and random numbers come from a seed. [`disk`] stores
//! what it writes.
//!
//! # Elections and the log
//!
//! A member runs a pre-vote before it raises the term, and nobody grants a vote while a live leader is heard. So a
//! member that restarts often, or can only send or only receive, does not depose a leader. A leader that hears from no
//! majority for an election timeout, or whose disk doesn't finish a write in time, steps down. What a vote or an
//! acknowledgement states is on disk before the message is sent; the leader counts its own disk by the same rule. An
//! entry is committed when a majority has it, together with an entry of the leader's own term at or after it.
//!
//! # Membership changes, and why two majorities always intersect
//!
//! A member is a machine *and a disk*. A disk gets a number of its own when its store is created (0 for founders). A lost
//! disk never returns: whatever comes back at its address has another disk number and is a non-voter. So no
//! member ever forgets what it promised. A non-voter sends a join request and is brought up to date as a learner. It
//! then replaces the former disk at its own address, or a member at another address that leaves or has been silent for
//! too long, or it takes a free place; otherwise it stays a learner as a spare.
//!
//! - *One log entry R changes the membership from O (old) to N (new).* A replica that has R but doesn't know that it is
//!   committed elects, commits and reads by a majority of O *and* a majority of N; one that knows, by a majority of N;
//!   one that lacks R, by a majority of O.
//! - *A later candidate that lacks R* needs a majority of O. That intersects the majority of O that committed R, so
//!   some voter refuses. A candidate that has R, whether or not it knows that R is committed, needs a majority of N,
//!   and so do all commits after R: these majorities intersect. What O committed before R precedes R in every log that
//!   has R.
//! - *No replica relies on N alone too early.* A replica learns that R is committed from a leader of the term that
//!   committed it or of a later term, so a replica that knows campaigns in a later term.
//! - *One change at a time.* R is proposed only when the previous membership is known to be committed and the leader
//!   has committed an entry of its own term.
//! - *One vote per term*, and no second one to the same address, which may have another disk by then. A vote is granted
//!   to anyone, by term and log only: a voter that lags may not know who has replaced whom. A candidate counts the
//!   votes of the disks that its memberships contain. The pre-vote keeps non-members from deposing a leader.
//! - *A replica that knows that R is committed says so.* Append and vote responses carry the sender's commit index, and
//!   a replica persists its commit index as soon as it passes a membership entry. So O isn't needed again after a
//!   restart.
//! - *Voter* means that a committed membership contains this disk, as far as the replica knows.
//!
//! The alternatives, and who is replaced when: `docs/system/membership.md`.

mod core;
pub mod disk;
pub mod file;
mod log;
#[cfg(test)]
mod model;
#[cfg(test)]
mod sim;

pub use crate::core::Replica;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

/// How far the indexes and terms of a group recovered from one disk lie beyond those found on that disk.
pub const RECOVERY_GAP: u64 = 1 << 20;

pub type Micros = u64;
/// The address of a machine.
pub type Member = Ipv4Addr;
/// The number of a member's disk; founders start with 0.
pub type Disk = u64;

/// The voting members, each with its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub struct Membership {
    pub members: BTreeMap<Member, Disk>,
}

impl Membership {
    pub fn contains(&self, member: Member, disk: Disk) -> bool {
        self.members.get(&member) == Some(&disk)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub enum Payload {
    /// A new leader's first entry.
    Noop,
    /// A membership without its predecessor. No longer written; see [`Payload::Joint`].
    Membership(Membership),
    Data(Vec<u8>),
    /// A change of the membership. It carries both, because a new member may have nothing earlier. It is a separate
    /// variant so that an older program, which goes by one majority at a time, doesn't mistake it for
    /// [`Payload::Membership`].
    Joint {
        old: Membership,
        new: Membership,
    },
}

impl Payload {
    /// The membership that this entry introduces, if any.
    pub fn membership(&self) -> Option<&Membership> {
        match self {
            Payload::Membership(new) | Payload::Joint { new, .. } => Some(new),
            Payload::Noop | Payload::Data(_) => None,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub struct Entry {
    pub term: u64,
    pub index: u64,
    pub payload: Payload,
}

impl Entry {
    /// Approximate size on the wire or on disk, in bytes.
    pub fn size(&self) -> usize {
        32 + if let Payload::Data(data) = &self.payload { data.len() } else { 64 }
    }
}

/// How many bytes of entries cost as much as a snapshot of `state_bytes`. Once the log has grown that long a snapshot
/// is due, and no longer log tail is kept.
pub fn snapshot_threshold(state_bytes: usize) -> usize {
    state_bytes.max(64 << 10)
}

/// The host's state after entry `index` was applied, and the membership at that point.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub struct Snapshot {
    pub index: u64,
    pub term: u64,
    pub membership: Membership,
    /// The entry that introduced this membership.
    pub membership_index: u64,
    pub data: Vec<u8>,
}

/// What a member has to persist besides the log and the snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub struct HardState {
    pub term: u64,
    pub vote: Option<Member>,
    /// Entries up to this index are known to be committed; more may be.
    pub commit: u64,
    /// A committed membership is known to contain this disk.
    pub voter: bool,
}

/// All that a member has on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub struct PersistentState {
    pub hard: HardState,
    pub snapshot: Arc<Snapshot>,
    /// Index and term of the entry before the first one kept.
    pub base: (u64, u64),
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// The initial state of a founder, whose disk has number 0 in the first membership.
    pub fn founding(members: impl IntoIterator<Item = Member>) -> PersistentState {
        let membership = Membership { members: members.into_iter().map(|m| (m, 0)).collect() };
        let snapshot = Arc::new(Snapshot { membership, ..Snapshot::default() });
        let hard = HardState { voter: true, ..HardState::default() };
        PersistentState { hard, snapshot, ..PersistentState::default() }
    }

    /// The initial state of a disk that belongs to no group yet.
    pub fn empty() -> PersistentState {
        PersistentState::default()
    }

    /// The state of a disk restored from an old copy, under a disk number of its own. It may lack votes and entries
    /// promised since the copy was made, so it is a non-voter that has to join again, and brings its log along.
    pub fn into_non_voter(mut self) -> PersistentState {
        (self.hard.voter, self.hard.vote) = (false, None);
        self
    }

    /// A new group with `me` as its only member, from what one disk of the old group has left. `data` is the host's
    /// state after the last entry. Term and index lie far beyond any that the old group can have reached unseen, so a
    /// member that still has the old group's log replaces all of it.
    pub fn recovered(&self, me: Member, disk: Disk, data: Vec<u8>) -> PersistentState {
        let (index, term) = (self.last_index() + RECOVERY_GAP, self.hard.term + RECOVERY_GAP);
        let membership = Membership { members: [(me, disk)].into() };
        let snapshot = Snapshot { index, term, membership, membership_index: index, data };
        let hard = HardState { term, vote: None, commit: index, voter: true };
        PersistentState { hard, snapshot: Arc::new(snapshot), base: (index, term), entries: Vec::new() }
    }

    /// The index of the last entry, or of the base if no entry is kept.
    pub fn last_index(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    /// The latest membership on this disk, committed or not.
    pub fn membership(&self) -> &Membership {
        let mut later = self.entries.iter().rev().filter(|e| e.index > self.snapshot.index);
        let latest = later.find_map(|e| e.payload.membership());
        latest.unwrap_or(&self.snapshot.membership)
    }
}

/// To be written to disk atomically, in the order of the numbers, and synced before [`Input::Written`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Write {
    pub number: u64,
    pub hard: HardState,
    pub snapshot: Option<Arc<Snapshot>>,
    /// Index and term of the last entry to drop from the beginning of the log.
    pub base: (u64, u64),
    /// Entries from this index on are dropped; then `entries` are appended.
    pub truncate_from: Option<u64>,
    pub entries: Vec<Entry>,
}

impl Write {
    /// Applies the write to what is on disk.
    pub fn apply(&self, saved: &mut PersistentState) {
        saved.hard = self.hard.clone();
        if let Some(snapshot) = &self.snapshot {
            saved.snapshot = snapshot.clone();
        }
        saved.base = self.base;
        if let Some(from) = self.truncate_from {
            saved.entries.retain(|e| e.index < from);
            saved.entries.extend(self.entries.iter().cloned());
        }
        saved.entries.retain(|e| e.index > self.base.0);
    }
}

/// A message between members. The sender and its disk are given beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub enum Message {
    /// A disk that no membership contains asks to join.
    JoinRequest,
    /// The answer to a join request of one that isn't the leader: who leads, if known.
    LeaderHint(Option<Member>),
    /// A candidate asks for a vote or, with `pre_vote`, whether it would get one.
    RequestVote {
        pre_vote: bool,
        /// The leader asked the candidate to take over, so a voter need not wait for the leader to fall silent.
        leadership_transfer: bool,
        term: u64,
        last_index: u64,
        last_term: u64,
    },
    VoteResponse {
        pre_vote: bool,
        term: u64,
        granted: bool,
        commit: u64,
    },
    AppendEntries {
        term: u64,
        round: u64,
        prev_index: u64,
        prev_term: u64,
        commit: u64,
        entries: Vec<Entry>,
    },
    /// With `success`, the log matches the leader's up to `match_index`, synced. Otherwise `match_index` is where the
    /// leader should try next.
    AppendResponse {
        term: u64,
        round: u64,
        success: bool,
        match_index: u64,
        commit: u64,
        voter: bool,
    },
    SnapshotChunk {
        term: u64,
        round: u64,
        index: u64,
        index_term: u64,
        membership: Membership,
        membership_index: u64,
        total: u64,
        offset: u64,
        bytes: Vec<u8>,
    },
    /// How many bytes of the snapshot have been received.
    SnapshotChunkResponse {
        term: u64,
        round: u64,
        index: u64,
        offset: u64,
    },
    /// A leader that steps down asks its most up-to-date follower to campaign at once.
    TimeoutNow {
        term: u64,
    },
    /// The sender's host is about to stop, perhaps for good.
    Leaving {
        term: u64,
    },
}

/// Encodes a message together with the sender's disk.
pub fn encode(disk: Disk, message: &Message) -> Vec<u8> {
    postcard::to_stdvec(&(disk, message)).expect("plain data")
}

pub fn decode(bytes: &[u8]) -> Option<(Disk, Message)> {
    postcard::from_bytes(bytes).ok()
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The time of [`Output::wake_at`] has come.
    Tick,
    Message {
        from: Member,
        from_disk: Disk,
        message: Message,
    },
    /// The write with this number is synced.
    Written {
        number: u64,
    },
    /// A write failed. The replica takes no further part until its store is opened again.
    WriteFailed,
    Propose {
        ticket: u64,
        data: Vec<u8>,
    },
    Read {
        ticket: u64,
    },
    /// The host's state after applying entry `index`; entries well before it may be dropped.
    Snapshot {
        index: u64,
        data: Vec<u8>,
    },
    /// Machines that may know the group.
    Seeds(Vec<Member>),
    /// The intended number of voters; a learner beyond that waits for a place.
    TargetSize(usize),
    /// The host is about to stop: a leader transfers leadership, and a learner that has caught up replaces this member.
    PrepareToStop,
}

/// This replica isn't the leader; the member that is, if known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader(pub Option<Member>);

/// What the host has to do. It does all of it, then clears it.
#[derive(Clone, Debug, Default)]
pub struct Output {
    pub send: Vec<(Member, Message)>,
    pub write: Option<Write>,
    /// Replaces the host's state, before `committed` is applied.
    pub installed: Option<Arc<Snapshot>>,
    /// Entries to apply, in order and without gaps.
    pub committed: Vec<Entry>,
    /// Per ticket: the proposal is committed at this index, or was not accepted.
    pub proposed: Vec<(u64, Result<u64, NotLeader>)>,
    /// Per ticket: the read may be answered once the entry at this index is applied.
    pub read: Vec<(u64, Result<u64, NotLeader>)>,
    /// Tickets of proposals whose outcome this replica will never learn.
    pub lost: Vec<u64>,
    pub wake_at: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// A follower or a learner.
    Follower,
    /// Runs a pre-vote.
    PreCandidate,
    Candidate,
    Leader,
    /// A write to the disk failed.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    pub heartbeat_interval: Micros,
    /// Range from which a member draws how long its leader may be silent before it campaigns.
    pub election_timeout: (Micros, Micros),
    /// Range from which the time between two campaigns is drawn.
    pub campaign_retry: (Micros, Micros),
    /// A leader steps down when a write takes longer.
    pub disk_write_limit: Micros,
    /// Time between the join requests of a non-voter.
    pub join_retry: Micros,
    /// A member that is silent for this long is replaced by a learner that has caught up.
    pub replace_after: Micros,
    /// Entries kept before a snapshot.
    pub log_tail_entries: u64,
    /// Bytes of a snapshot in one message: a link of 1 Mbit/s carries them within an election timeout.
    pub snapshot_chunk_bytes: usize,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat_interval: 100_000,
            election_timeout: (500_000, 900_000),
            campaign_retry: (120_000, 320_000),
            disk_write_limit: 1_500_000,
            join_retry: 500_000,
            replace_after: 1_500_000,
            log_tail_entries: 256,
            snapshot_chunk_bytes: if cfg!(test) { 1 << 10 } else { 64 << 10 },
        }
    }
}
