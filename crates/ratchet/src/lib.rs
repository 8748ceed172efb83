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
//! # Disks, and why a wiped machine is no danger
//!
//! A member's *disk* has a number, drawn when its store is made (0 for founders). Votes and acknowledgements
//! count only if they come from the disk that the roster names. A machine whose disk was lost comes back with
//! another number: it has forgotten its votes and entries, so it is a stranger that says Hello, is brought up
//! to date as a learner, and is then named in a new roster entry R in place of the old disk. It *stands*
//! (grants votes, campaigns, is counted) only once it knows R to be committed, and has that on its own disk.
//!
//! - *The old disk is dead when R is proposed.* The leader proposes R only after the newcomer has answered a
//!   message that was sent after the leader's log named the old disk. So the machine had the new disk after
//!   it had the old one. What the old disk promised was promised before; a late message of it says what was
//!   true and harms no more than any late message does.
//! - *R is committed by the others.* R, and all before it, needs a majority of the old roster in which the
//!   replaced disk never counts. So when the newcomer stands, a majority's worth of the *other* members holds
//!   R and every entry acknowledged before.
//! - *Two majorities meet outside the newcomer.* Of n members let m be a majority. R is on m of the n-1
//!   others. An election in which the newcomer votes has at least m-1 of the n-1 others, and m + (m-1) > n-1:
//!   someone votes who holds R, and it refuses a candidate that does not. An election without the newcomer
//!   has m of the n-1 others.
//! - *No second leader in the term of R.* The newcomer learns of R from the leader of some term, and whoever
//!   follows a leader without having voted in that term writes down that leader as its vote.
//! - *One change at a time.* R is proposed only when the roster before it is committed and the leader has
//!   committed an entry of its own term. Adding a member is the same with nobody replaced: a majority of n
//!   and a majority of n+1 members meet. While R is not known to be committed a candidate may win by the
//!   roster before it too; this majority meets that of R, and R's successor is only ever proposed once a
//!   majority of the old roster holds R.
//! - *An addition waits for a whole group* where it raises the majority: until it stands, a newcomer counts
//!   as one that is down. The same holds for a second loss before the first newcomer stands.
//! - *Who knows that R is committed says so.* Acknowledgements and votes carry the commit index of their
//!   sender, which is kept on disk; an elected leader has all that is committed and believes it. So R does
//!   not need the other members a second time after a restart.

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
        let made = later.find_map(|e| match &e.payload {
            Payload::Roster(roster) => Some(roster),
            _ => None,
        });
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
    /// The host is about to stop: a leader hands over.
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
    /// Entries kept before a snapshot.
    pub tail: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat: 100_000,
            election: (500_000, 900_000),
            retry: (120_000, 320_000),
            disk: 1_500_000,
            hello: 500_000,
            tail: 256,
        }
    }
}
