//! The log as the consensus crate reads it: a copy in memory of what the disk holds, and the plain types in which log,
//! votes and messages go to disk and over the wire. The crate's own protobuf coding is used for none of these, so no
//! byte from the network or the disk ever reaches its parser.

use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Message, MessageType, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};
use serde::{Deserialize, Serialize};

/// An entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    pub term: u64,
    pub index: u64,
    /// A change of who votes.
    pub conf: bool,
    pub data: Vec<u8>,
    pub context: Vec<u8>,
}

/// The vote and what is known to be agreed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hard {
    pub term: u64,
    pub vote: u64,
    pub commit: u64,
}

/// The state up to an index, in place of the log before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snap {
    pub index: u64,
    pub term: u64,
    pub voters: Vec<u64>,
    pub learners: Vec<u64>,
    pub data: Vec<u8>,
}

/// All that a voter keeps on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Saved {
    pub hard: Hard,
    pub snap: Snap,
    pub entries: Vec<LogEntry>,
}

/// What is to be on disk before anything that follows from it is sent. Applied in the order of its fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// Takes the place of the log up to its index; `keep` says from which index on entries stay.
    pub snap: Option<(Snap, u64)>,
    /// The first of them takes the place of all entries from its index on.
    pub entries: Vec<LogEntry>,
    pub hard: Option<Hard>,
}

impl Write {
    pub fn is_empty(&self) -> bool {
        self.snap.is_none() && self.entries.is_empty() && self.hard.is_none()
    }

    /// The same on what a disk holds: what a store's own writing has to equal.
    pub fn apply(&self, saved: &mut Saved) {
        if let Some((snap, keep)) = &self.snap {
            saved.entries.retain(|e| e.index >= *keep && *keep > 0);
            saved.snap = snap.clone();
        }
        if let Some(first) = self.entries.first() {
            saved.entries.retain(|e| e.index < first.index);
            saved.entries.extend(self.entries.iter().cloned());
        }
        if let Some(hard) = self.hard {
            saved.hard = hard;
        }
    }
}

/// A message between voters. The fields are those of the consensus crate; a snapshot's data goes apart, in parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    kind: u8,
    pub to: u64,
    pub from: u64,
    pub term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<LogEntry>,
    commit: u64,
    commit_term: u64,
    pub snap: Option<Snap>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

/// The kinds that may cross the wire, by their place here. A proposal is not among them: only a leader proposes.
const KINDS: [MessageType; 12] = [
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgTransferLeader,
    MessageType::MsgTimeoutNow,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
    MessageType::MsgReadIndexResp,
];

impl PeerMessage {
    /// None for kinds that stay within a voter.
    pub fn of(m: Message) -> Option<PeerMessage> {
        let kind = KINDS.iter().position(|k| *k == m.get_msg_type())? as u8;
        let snap = m.snapshot.as_ref().map(snap_of).filter(|s| s.index > 0);
        Some(PeerMessage {
            kind,
            to: m.to,
            from: m.from,
            term: m.term,
            log_term: m.log_term,
            index: m.index,
            entries: m.entries.iter().map(entry_of).collect(),
            commit: m.commit,
            commit_term: m.commit_term,
            snap,
            request_snapshot: m.request_snapshot,
            reject: m.reject,
            reject_hint: m.reject_hint,
            context: m.context.to_vec(),
            priority: m.priority,
        })
    }

    pub fn into_raft(self) -> Option<Message> {
        let mut m = Message::default();
        m.set_msg_type(*KINDS.get(self.kind as usize)?);
        (m.to, m.from, m.term) = (self.to, self.from, self.term);
        (m.log_term, m.index) = (self.log_term, self.index);
        m.set_entries(self.entries.into_iter().map(entry_to).collect());
        (m.commit, m.commit_term, m.request_snapshot) =
            (self.commit, self.commit_term, self.request_snapshot);
        (m.reject, m.reject_hint, m.priority) = (self.reject, self.reject_hint, self.priority);
        m.context = self.context.into();
        if let Some(snap) = self.snap {
            m.set_snapshot(snap_to(snap));
        }
        Some(m)
    }

    /// What it is, for logs, and for faults that wait for a point in the course of things.
    pub fn name(&self) -> &'static str {
        const NAMES: [&str; 12] = [
            "append",
            "append_answer",
            "vote",
            "vote_answer",
            "snapshot",
            "heartbeat",
            "heartbeat_answer",
            "transfer",
            "campaign_now",
            "prevote",
            "prevote_answer",
            "read_answer",
        ];
        NAMES.get(self.kind as usize).copied().unwrap_or("unknown")
    }

    pub fn carries_entries(&self) -> bool {
        !self.entries.is_empty()
    }
}

pub fn entry_of(e: &Entry) -> LogEntry {
    let conf = e.get_entry_type() != EntryType::EntryNormal;
    LogEntry { term: e.term, index: e.index, conf, data: e.data.to_vec(), context: e.context.to_vec() }
}

fn entry_to(e: LogEntry) -> Entry {
    let mut entry = Entry::default();
    entry.set_entry_type(if e.conf { EntryType::EntryConfChange } else { EntryType::EntryNormal });
    (entry.term, entry.index) = (e.term, e.index);
    (entry.data, entry.context) = (e.data.into(), e.context.into());
    entry
}

pub fn snap_of(s: &Snapshot) -> Snap {
    let meta = s.get_metadata();
    let conf = meta.get_conf_state();
    Snap {
        index: meta.index,
        term: meta.term,
        voters: conf.voters.clone(),
        learners: conf.learners.clone(),
        data: s.data.to_vec(),
    }
}

fn snap_to(s: Snap) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let meta = snapshot.mut_metadata();
    (meta.index, meta.term) = (s.index, s.term);
    *meta.mut_conf_state() = conf_state(&s.voters, &s.learners);
    snapshot.data = s.data.into();
    snapshot
}

fn conf_state(voters: &[u64], learners: &[u64]) -> ConfState {
    ConfState { voters: voters.to_vec(), learners: learners.to_vec(), ..ConfState::default() }
}

pub fn hard_of(h: &HardState) -> Hard {
    Hard { term: h.term, vote: h.vote, commit: h.commit }
}

/// The copy in memory.
#[derive(Debug, Default)]
pub struct Mirror {
    pub saved: Saved,
}

impl Mirror {
    fn first(&self) -> u64 {
        self.saved.entries.first().map_or(self.saved.snap.index + 1, |e| e.index)
    }

    fn last(&self) -> u64 {
        self.saved.entries.last().map_or(self.saved.snap.index, |e| e.index)
    }

    /// The term of an entry, for a snapshot that ends with it.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.saved.snap.index {
            return Some(self.saved.snap.term);
        }
        let at = index.checked_sub(self.first())?;
        self.saved.entries.get(at as usize).map(|e| e.term)
    }
}

impl Storage for Mirror {
    fn initial_state(&self) -> Result<RaftState> {
        let mut hard = HardState::default();
        (hard.term, hard.vote, hard.commit) =
            (self.saved.hard.term, self.saved.hard.vote, self.saved.hard.commit);
        Ok(RaftState::new(hard, conf_state(&self.saved.snap.voters, &self.saved.snap.learners)))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        if low < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let (from, to) = ((low - self.first()) as usize, (high - self.first()) as usize);
        let Some(range) = self.saved.entries.get(from..to) else {
            return Err(Error::Store(StorageError::Unavailable));
        };
        let most = max_size.into().unwrap_or(u64::MAX);
        let mut size = 0;
        let fits = |e: &&LogEntry| {
            let first = size == 0;
            size += 32 + (e.data.len() + e.context.len()) as u64;
            first || size <= most
        };
        Ok(range.iter().take_while(fits).cloned().map(entry_to).collect())
    }

    fn term(&self, index: u64) -> Result<u64> {
        match self.term_at(index) {
            Some(term) => Ok(term),
            None if index < self.first() => Err(Error::Store(StorageError::Compacted)),
            None => Err(Error::Store(StorageError::Unavailable)),
        }
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.first())
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> Result<Snapshot> {
        if self.saved.snap.index < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(snap_to(self.saved.snap.clone()))
    }
}
