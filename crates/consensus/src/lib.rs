//! One elected leader orders all changes in a log; a change counts once a majority of the members has it on
//! disk.
//!
//! [`Ratchet`] decides: inputs in, messages, writes and answers out, no clock, chance or I/O of its own.
//! [`disk`] keeps what it writes. Time is told with every input, chance comes from a seed.
//!
//! # Elections and the log
//!
//! A member asks first whether it would be voted for (pre-vote), and no one grants a vote while a live leader
//! is heard, so a member that flaps or is cut one way unseats nobody. A leader that hears no majority for an
//! election time, or whose disk does not finish a write, gives up. What a vote or an acknowledgement says is
//! on disk before it is sent; the leader counts its own disk by the same rule. An entry counts as committed
//! when a majority has it and an entry of the leader's own term at or after it.
//!
//! # Members, and why two majorities always meet
//!
//! A member is a machine *and a disk*. A disk has a number, drawn when its store is made (0 for founders); one that
//! was lost is gone for good, and what comes back at its address is a stranger. So no member ever forgets what it
//! promised. A stranger says Hello, is brought up to date as a learner, and takes the place of the disk before it, of a
//! member at another address that leaves or has fallen silent, or a free one; else it stays a learner, a spare.
//!
//! - *One entry R leads from the old roster O to the new one N.* Who holds R and does not know it to be committed
//!   elects, commits and reads by a majority of O *and* one of N; who knows it, by one of N; who lacks R, by one of O.
//! - *A later candidate that lacks R* needs a majority of O, which meets the one that committed R: someone there
//!   refuses it. One that holds R, knowing it to be committed or not, needs a majority of N, as do all commits after R:
//!   these meet. What O committed before R lies before R in every log that holds R.
//! - *Nobody goes by N alone too early.* That R is committed is heard from a leader of the term that committed it or of
//!   a later one, so who knows it campaigns in a later term.
//! - *One change at a time.* R is proposed only when the roster before it is known to be committed and the leader has
//!   committed an entry of its own term.
//! - *A vote is given once*, and not again to the same address, which may have another disk by then. It is given to
//!   anybody, by term and log: a voter that lags may not know who has taken another's place. A candidate counts
//!   the votes of disks that its rosters name. Strangers unseat nobody, by the pre-vote.
//! - *Who knows that R is committed says so.* Acknowledgements and votes carry the commit index of their sender, and a
//!   member puts it on disk as soon as it passes a roster. So O is not needed a second time after a restart.
//! - *Standing* says that a committed roster names this disk, as far as it knows.
//!
//! Ways weighed, who is replaced and when: `docs/system/membership.md`.

mod core;
pub mod disk;
pub mod file;
mod log;
#[cfg(test)]
mod model;
#[cfg(test)]
mod sim;

pub use crate::core::Ratchet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

/// How far a group that is founded anew goes ahead of the one before it, in entries and terms.
pub const REFOUNDED: u64 = 1 << 20;

pub type Micros = u64;
/// A machine.
pub type Member = Ipv4Addr;
/// The number of a member's disk; 0 is the one it was founded with.
pub type Disk = u64;

/// Who votes, and with which disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub struct Roster {
    pub members: BTreeMap<Member, Disk>,
}

impl Roster {
    pub fn names(&self, member: Member, disk: Disk) -> bool {
        self.members.get(&member) == Some(&disk)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub enum Payload {
    /// A new leader's first entry.
    Nothing,
    Roster(Roster),
    Data(Vec<u8>),
    /// From the old roster to the new one: both, as a newcomer may hold nothing of before. A kind of its own, so that a
    /// program that goes by one majority at a time does not take it for what it knows ([`Payload::Roster`], which is
    /// written no more).
    Joint {
        old: Roster,
        new: Roster,
    },
}

impl Payload {
    /// The roster that it makes, if it does.
    pub fn roster(&self) -> Option<&Roster> {
        match self {
            Payload::Roster(new) | Payload::Joint { new, .. } => Some(new),
            Payload::Nothing | Payload::Data(_) => None,
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
    /// About what it takes on a link or a disk.
    pub fn size(&self) -> usize {
        32 + if let Payload::Data(data) = &self.payload { data.len() } else { 64 }
    }
}

/// So many bytes of entries are as dear as a state of this size: a snapshot is due, and no longer tail is kept.
pub fn enough(state: usize) -> usize {
    state.max(64 << 10)
}

/// The host's state when entry `index` was applied, and the roster at that point.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub struct Snapshot {
    pub index: u64,
    pub term: u64,
    pub roster: Roster,
    /// The entry that made this roster.
    pub roster_index: u64,
    pub data: Vec<u8>,
}

/// What a member must not forget besides the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub struct Hard {
    pub term: u64,
    pub vote: Option<Member>,
    /// Known to be committed; a lower bound.
    pub commit: u64,
    /// This disk is known to be named by a committed roster.
    pub standing: bool,
}

/// What the disk holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub struct Saved {
    pub hard: Hard,
    pub snapshot: Arc<Snapshot>,
    /// Index and term of the entry before the first that is kept.
    pub base: (u64, u64),
    pub entries: Vec<Entry>,
}

impl Saved {
    /// The first start ever of a founder: its disk is number 0 in this roster of founders.
    pub fn founding(members: impl IntoIterator<Item = Member>) -> Saved {
        let roster = Roster { members: members.into_iter().map(|m| (m, 0)).collect() };
        let snapshot = Arc::new(Snapshot { roster, ..Snapshot::default() });
        Saved { hard: Hard { standing: true, ..Hard::default() }, snapshot, ..Saved::default() }
    }

    /// An empty disk that is nobody's yet.
    pub fn blank() -> Saved {
        Saved::default()
    }

    /// An old copy, put on a disk with a number of its own: it may lack what was promised since, votes and entries,
    /// so it is a stranger that has to be let in, and brings its log along.
    pub fn stranger(mut self) -> Saved {
        (self.hard.standing, self.hard.vote) = (false, None);
        self
    }

    /// A new group of one, from what a disk of the old one has left; `data`: the host's state after its last entry.
    /// Term and index are far beyond any that the old group can have reached unseen, so whoever still holds its log
    /// takes all anew.
    pub fn refounded(&self, me: Member, disk: Disk, data: Vec<u8>) -> Saved {
        let (index, term) = (self.last() + REFOUNDED, self.hard.term + REFOUNDED);
        let roster = Roster { members: [(me, disk)].into() };
        let snapshot = Snapshot { index, term, roster, roster_index: index, data };
        let hard = Hard { term, vote: None, commit: index, standing: true };
        Saved { hard, snapshot: Arc::new(snapshot), base: (index, term), entries: Vec::new() }
    }

    /// The last entry, or that of the snapshot.
    pub fn last(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    /// The roster that counts last on this disk.
    pub fn roster(&self) -> &Roster {
        let mut later = self.entries.iter().rev().filter(|e| e.index > self.snapshot.index);
        let made = later.find_map(|e| e.payload.roster());
        made.unwrap_or(&self.snapshot.roster)
    }
}

/// To be put on disk as a whole, in the order of the numbers, and synced before [`Input::Written`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Write {
    pub number: u64,
    pub hard: Hard,
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries up to this one are dropped; index and term.
    pub base: (u64, u64),
    /// Entries from this one on are dropped; then `entries` follow.
    pub from: Option<u64>,
    pub entries: Vec<Entry>,
}

impl Write {
    /// What the write does to what is on disk.
    pub fn apply(&self, saved: &mut Saved) {
        saved.hard = self.hard.clone();
        if let Some(snapshot) = &self.snapshot {
            saved.snapshot = snapshot.clone();
        }
        saved.base = self.base;
        if let Some(from) = self.from {
            saved.entries.retain(|e| e.index < from);
            saved.entries.extend(self.entries.iter().cloned());
        }
        saved.entries.retain(|e| e.index > self.base.0);
    }
}

/// Between members. Who sent it, and from which disk, is told beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub enum Message {
    /// From a disk that no roster names.
    Hello,
    /// The answer of one that does not lead.
    Leads(Option<Member>),
    /// A candidate asks for a vote, or whether there would be one.
    Ask {
        pre: bool,
        urged: bool,
        term: u64,
        last: u64,
        last_term: u64,
    },
    Vote {
        pre: bool,
        term: u64,
        granted: bool,
        commit: u64,
    },
    Append {
        term: u64,
        round: u64,
        prev: u64,
        prev_term: u64,
        commit: u64,
        entries: Vec<Entry>,
    },
    /// `fits`: the log agrees up to `matched`, synced. If not, `matched` is where to try next.
    Ack {
        term: u64,
        round: u64,
        fits: bool,
        matched: u64,
        commit: u64,
        standing: bool,
    },
    /// A piece of a snapshot.
    Part {
        term: u64,
        round: u64,
        index: u64,
        index_term: u64,
        roster: Roster,
        roster_index: u64,
        total: u64,
        offset: u64,
        bytes: Vec<u8>,
    },
    /// How much of the snapshot has come.
    Got {
        term: u64,
        round: u64,
        index: u64,
        offset: u64,
    },
    /// A leader that gives up asks its best follower to take over at once.
    Take {
        term: u64,
    },
    /// The sender's host is about to stop; perhaps for good.
    Leave {
        term: u64,
    },
}

/// A message as bytes, with the sender's disk.
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
    /// The write of this number is synced.
    Written {
        number: u64,
    },
    /// The disk refuses; the member takes no part any more until its store is opened again.
    WriteFailed,
    Propose {
        ticket: u64,
        data: Vec<u8>,
    },
    Read {
        ticket: u64,
    },
    /// The host's state after applying entry `index`; entries well before it may go.
    Snapshot {
        index: u64,
        data: Vec<u8>,
    },
    /// Machines that may know the group.
    Seeds(Vec<Member>),
    /// How many members there are to be; a newcomer beyond that waits for a place.
    Size(usize),
    /// The host is about to stop: a leader hands over, and a learner that has caught up takes this member's place.
    Yield,
}

/// Ask this member, if it is known who leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader(pub Option<Member>);

/// What is to be done. The host does it all, then clears it.
#[derive(Clone, Debug, Default)]
pub struct Output {
    pub send: Vec<(Member, Message)>,
    pub write: Option<Write>,
    /// The host's state is to be replaced by this one, before `committed`.
    pub installed: Option<Arc<Snapshot>>,
    /// To be applied, in order, without a gap.
    pub committed: Vec<Entry>,
    /// A proposal is committed as this entry, or was not taken.
    pub proposed: Vec<(u64, Result<u64, NotLeader>)>,
    /// A read may be answered once this entry is applied.
    pub read: Vec<(u64, Result<u64, NotLeader>)>,
    /// Proposals of which nobody here will know whether they will be committed.
    pub lost: Vec<u64>,
    pub wake_at: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Follows, or learns.
    Follower,
    /// Has asked whether it would be voted for.
    Asking,
    Candidate,
    Leader,
    /// The disk refused a write.
    Out,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    pub heartbeat: Micros,
    /// Silence of the leader before a member asks for votes: drawn between these.
    pub election: (Micros, Micros),
    /// Between tries to be elected.
    pub retry: (Micros, Micros),
    /// A leader gives up when a write takes longer.
    pub disk: Micros,
    /// Between a stranger's calls.
    pub hello: Micros,
    /// A member that is silent for so long gives way to a learner that has caught up.
    pub gone: Micros,
    /// Entries kept before a snapshot.
    pub tail: u64,
    /// Bytes of a snapshot in one message: a link of 1 Mbit/s carries them within an election time.
    pub part: usize,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat: 100_000,
            election: (500_000, 900_000),
            retry: (120_000, 320_000),
            disk: 1_500_000,
            hello: 500_000,
            gone: 1_500_000,
            tail: 256,
            part: if cfg!(test) { 1 << 10 } else { 64 << 10 },
        }
    }
}
