//! What the group agrees on: members with their incarnations and leases, and versioned documents. A pure state
//! machine: equal commands in equal order give equal states at every voter.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The most that a document's key and value may hold, in bytes, and how many documents there may be.
pub const MOST_KEY: usize = 256;
pub const MOST_VALUE: usize = 1 << 20;
pub const MOST_DOCUMENTS: usize = 4096;
/// Callers whose last answer is kept, so that a call sent again is not carried out again; the longest silent go first.
pub const MOST_CALLERS: usize = 4096;
/// Members that may be registered at once, in whatever state.
pub const MOST_MEMBERS: usize = 1024;
/// The form of the state on disk and on the wire. Another form is refused.
pub const FORMAT: u32 = 1;

/// Who asks, and the number of the call: a caller (drawn by chance at its start) numbers its calls from 1 on and sends
/// one at a time, so a number not above the last one is a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallId {
    pub caller: u64,
    pub number: u64,
}

/// A change of the state. Each is an entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A gateway asks to be the one under its name.
    Register { name: String, life: Life, voter: bool },
    /// Its lease has run out (proposed by the leader), or it gave it back.
    Expire { name: String, incarnation: u64, released: bool },
    /// Writes a document, or deletes it (`value` none). With `if_version`, only if that is its version now; 0: only if
    /// there is none.
    Put { key: String, value: Option<Vec<u8>>, if_version: Option<u64> },
    /// Who may come to vote, under this name.
    Allow { name: String, vote: bool },
    /// Where the voters are: carried by each change of who votes.
    Voters { change: VoterChange },
}

/// One process of a gateway. The disk's number is drawn when its store is made, so a process that shows the number
/// of the last one runs on the same store, and as a store is open in one process at a time, the last one is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Life {
    pub disk: u64,
    pub process: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoterChange {
    /// `id` follows the log as `name`, without a vote yet.
    Learn {
        id: u64,
        name: String,
        addr: String,
    },
    /// `id` votes from here on; another `id` of the same name no longer does.
    Promote {
        id: u64,
    },
    Remove {
        id: u64,
    },
}

/// What became of a command, as its caller is told it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Applied {
    Registered {
        incarnation: u64,
    },
    /// Another process holds the name, with a lease.
    NameTaken {
        incarnation: u64,
    },
    Expired,
    /// The document's version now.
    Put {
        version: u64,
    },
    /// It is at another version than the caller said.
    Conflict {
        version: u64,
    },
    /// Against a bound; says which.
    Refused {
        why: String,
    },
    VotersChanged,
    /// An older call of this caller, whose answer is no longer kept; it was carried out or passed over long ago.
    Old,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lease {
    Held,
    Expired,
    Released,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub life: Life,
    /// Grows with each registration of any member: a token that orders the lives of a name.
    pub incarnation: u64,
    pub lease: Lease,
    pub voter: bool,
    /// The state's revision when this last changed.
    pub revision: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// None: deleted; its version stays, so that a later one is not taken for it.
    pub value: Option<Vec<u8>>,
    pub version: u64,
    pub revision: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterInfo {
    pub name: String,
    pub addr: String,
    pub votes: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Last {
    number: u64,
    applied: Applied,
    revision: u64,
}

/// The whole of what is agreed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Grows by one with each command that changed anything.
    pub revision: u64,
    pub incarnations: u64,
    pub members: BTreeMap<String, Member>,
    pub documents: BTreeMap<String, Document>,
    /// By their numbers in the consensus.
    pub voters: BTreeMap<u64, VoterInfo>,
    /// Names under which a disk may come to vote.
    pub allowed: BTreeSet<String>,
    callers: BTreeMap<u64, Last>,
}

/// What changed after a revision: whole members and documents, as they are now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    pub since: u64,
    pub revision: u64,
    pub members: Vec<(String, Member)>,
    pub documents: Vec<(String, Document)>,
    pub voters: Vec<(u64, VoterInfo)>,
    pub allowed: BTreeSet<String>,
}

impl State {
    /// Carries out a command. A call that was carried out before gets its answer again.
    pub fn apply(&mut self, id: Option<CallId>, command: &Command) -> Applied {
        if let Some(id) = id
            && let Some(last) = self.callers.get(&id.caller)
            && id.number <= last.number
        {
            return if id.number == last.number { last.applied.clone() } else { Applied::Old };
        }
        let applied = self.carry_out(command);
        if let Some(id) = id {
            let last = Last { number: id.number, applied: applied.clone(), revision: self.revision };
            self.callers.insert(id.caller, last);
            if self.callers.len() > MOST_CALLERS {
                let oldest = self.callers.iter().min_by_key(|(c, l)| (l.revision, **c)).map(|(c, _)| *c);
                oldest.map(|c| self.callers.remove(&c));
            }
        }
        applied
    }

    fn carry_out(&mut self, command: &Command) -> Applied {
        match command {
            Command::Register { name, life, voter } => self.register(name, *life, *voter),
            Command::Expire { name, incarnation, released } => {
                let revision = self.revision + 1;
                if let Some(m) = self.members.get_mut(name)
                    && m.incarnation == *incarnation
                    && m.lease == Lease::Held
                {
                    m.lease = if *released { Lease::Released } else { Lease::Expired };
                    m.revision = revision;
                    self.revision = revision;
                }
                Applied::Expired
            }
            Command::Put { key, value, if_version } => self.put(key, value.as_deref(), *if_version),
            Command::Allow { name, vote } => {
                let changed =
                    if *vote { self.allowed.insert(name.clone()) } else { self.allowed.remove(name) };
                self.revision += u64::from(changed);
                Applied::VotersChanged
            }
            Command::Voters { change } => {
                match change {
                    VoterChange::Learn { id, name, addr } => {
                        let info = VoterInfo { name: name.clone(), addr: addr.clone(), votes: false };
                        self.voters.insert(*id, info);
                    }
                    VoterChange::Promote { id } => {
                        if let Some(v) = self.voters.get_mut(id) {
                            v.votes = true;
                        }
                    }
                    VoterChange::Remove { id } => {
                        self.voters.remove(id);
                    }
                }
                self.revision += 1;
                Applied::VotersChanged
            }
        }
    }

    fn register(&mut self, name: &str, life: Life, voter: bool) -> Applied {
        if name.is_empty() || name.len() > MOST_KEY {
            return Applied::Refused { why: format!("name: expected 1 to {MOST_KEY} bytes") };
        }
        match self.members.get(name) {
            Some(m) if m.life == life && m.lease == Lease::Held => {
                return Applied::Registered { incarnation: m.incarnation };
            }
            // The same store, so the process before is gone: no need to wait for the end of its lease.
            Some(m) if m.lease == Lease::Held && m.life.disk != life.disk => {
                return Applied::NameTaken { incarnation: m.incarnation };
            }
            None if self.members.len() >= MOST_MEMBERS => {
                let gone = self.members.iter().filter(|(_, m)| m.lease != Lease::Held);
                let Some(oldest) = gone.min_by_key(|(_, m)| m.revision).map(|(n, _)| n.clone()) else {
                    return Applied::Refused { why: format!("more than {MOST_MEMBERS} members") };
                };
                self.members.remove(&oldest);
            }
            _ => {}
        }
        self.revision += 1;
        self.incarnations += 1;
        let incarnation = self.incarnations;
        let member = Member { life, incarnation, lease: Lease::Held, voter, revision: self.revision };
        self.members.insert(name.to_string(), member);
        Applied::Registered { incarnation }
    }

    fn put(&mut self, key: &str, value: Option<&[u8]>, if_version: Option<u64>) -> Applied {
        if key.is_empty() || key.len() > MOST_KEY {
            return Applied::Refused { why: format!("key: expected 1 to {MOST_KEY} bytes") };
        }
        if value.is_some_and(|v| v.len() > MOST_VALUE) {
            return Applied::Refused { why: format!("value of {key:?}: more than {MOST_VALUE} bytes") };
        }
        let there = self.documents.get(key);
        let version = there.map_or(0, |d| d.version);
        // A deleted document counts as none for who wants to create it.
        let shown = if there.is_some_and(|d| d.value.is_some()) { version } else { 0 };
        if if_version.is_some_and(|wanted| wanted != shown) {
            return Applied::Conflict { version: shown };
        }
        if value.is_none() && shown == 0 {
            return Applied::Put { version: 0 };
        }
        if there.is_none() && self.documents.len() >= MOST_DOCUMENTS {
            return Applied::Refused { why: format!("more than {MOST_DOCUMENTS} documents") };
        }
        self.revision += 1;
        let document =
            Document { value: value.map(<[u8]>::to_vec), version: version + 1, revision: self.revision };
        self.documents.insert(key.to_string(), document);
        Applied::Put { version: if value.is_some() { version + 1 } else { 0 } }
    }

    /// A document's version and value; version 0 and none where there is none.
    pub fn get(&self, key: &str) -> (u64, Option<&[u8]>) {
        match self.documents.get(key) {
            Some(Document { value: Some(value), version, .. }) => (*version, Some(value)),
            _ => (0, None),
        }
    }

    /// What changed after `since`, the oldest changes first, as much as fits `most` bytes of values and at least one
    /// of each: `revision` of the answer says how far it goes, so the next page asks on from there.
    pub fn changes(&self, since: u64, most: usize) -> Changes {
        enum Row<'a> {
            Member(&'a String, &'a Member),
            Document(&'a String, &'a Document),
        }
        let members =
            self.members.iter().map(|(n, m)| (m.revision, Row::Member(n, m))).filter(|(r, _)| *r > since);
        let documents =
            self.documents.iter().map(|(n, d)| (d.revision, Row::Document(n, d))).filter(|(r, _)| *r > since);
        let mut rows: Vec<_> = members.chain(documents).collect();
        rows.sort_by_key(|(revision, _)| *revision);
        let voters = self.voters.iter().map(|(id, v)| (*id, v.clone())).collect();
        let mut changes = Changes { since, voters, allowed: self.allowed.clone(), ..Changes::default() };
        let mut held = 0;
        for (revision, row) in rows {
            held += match &row {
                Row::Member(n, _) => n.len() + 64,
                Row::Document(n, d) => n.len() + 32 + d.value.as_ref().map_or(0, Vec::len),
            };
            if held > most && !(changes.members.is_empty() && changes.documents.is_empty()) {
                break;
            }
            changes.revision = revision;
            match row {
                Row::Member(n, m) => changes.members.push((n.clone(), m.clone())),
                Row::Document(n, d) => changes.documents.push((n.clone(), d.clone())),
            }
        }
        if held <= most {
            changes.revision = self.revision;
        }
        changes
    }

    /// Takes changes over into a copy that a watcher keeps. False if they do not follow on what it has.
    pub fn follow(&mut self, changes: Changes) -> bool {
        if changes.since != self.revision || changes.revision < changes.since {
            return false;
        }
        self.members.extend(changes.members);
        self.documents.extend(changes.documents);
        self.voters = changes.voters.into_iter().collect();
        self.allowed = changes.allowed;
        self.revision = changes.revision;
        true
    }

    /// The state as bytes: form, check sum, content.
    pub fn encode(&self) -> Vec<u8> {
        let content = postcard::to_stdvec(self).expect("plain data");
        let mut bytes = FORMAT.to_be_bytes().to_vec();
        bytes.extend(crc32fast::hash(&content).to_be_bytes());
        bytes.extend(content);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Result<State, String> {
        let head = |at: usize| bytes.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes);
        let (Some(format), Some(sum), Some(content)) = (head(0), head(4), bytes.get(8..)) else {
            return Err(format!("state of {} bytes: cut short", bytes.len()));
        };
        if format != FORMAT {
            return Err(format!("state in form {format}: this program reads form {FORMAT}"));
        }
        if crc32fast::hash(content) != sum {
            return Err("state: its check sum does not match".into());
        }
        postcard::from_bytes(content).map_err(|e| format!("state: {e}"))
    }
}
