//! What is remembered of operators' orders, so that each has one answer however often it comes. Part of the agreed state,
//! bounded. How it was weighed: docs/system/orders.md.

use crate::Rev;
use crate::booking::{BookChange, Booking};
use crate::drill::DrillChange;
use crate::rollout::RolloutChange;
use crate::state::{Change, Command};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Changes of the configuration whose exact call is remembered: four days of 3,900.
pub const MOST_CHANGES: usize = 16_384;
/// So many did programs remember that wrote the first two forms of a state.
const MOST_ONCE: usize = 256;
/// Subjects of other orders whose last change is remembered.
pub const MOST_SUBJECTS: usize = 256;
/// Exact calls that are remembered of one subject.
const MOST_CALLS: usize = 8;

/// Whether an order was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    Yes,
    No,
    /// It is too old to know.
    Perhaps,
}

/// The exact call: by this one that is sent again is known.
pub fn fingerprint(change: &Change) -> u64 {
    xxh3_64_with_seed(&change.body, u64::from(change.base) << 1 | u64::from(change.patch))
}

/// The same of a booking, whatever room the registry counted that took the call.
pub fn booking_fingerprint(booking: &Booking, base: u64) -> u64 {
    xxh3_64(&postcard::to_stdvec(&(booking, base)).expect("plain data"))
}

/// The versions that were current, in order, and which call made each. Versions climb, so a change is taken once at
/// most, whatever is forgotten; what is remembered only tells the answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The change that built on none. Operators that know of nothing build on that at any time.
    first: Option<(u32, u64)>,
    /// Each builds on the one before it.
    last: VecDeque<(u32, u64)>,
    /// What the first of `last` builds on.
    from: u32,
}

impl Changes {
    /// `wanted`: the version that the change would make.
    pub fn find(&self, base: u32, call: u64, wanted: impl FnOnce() -> Option<u32>) -> Taken {
        let made = match base {
            0 if self.first.is_some() => self.first,
            _ if base < self.from => {
                // The next version after its base was `from` or an older one.
                let may = wanted().is_some_and(|version| base < version && version <= self.from);
                return if may { Taken::Perhaps } else { Taken::No };
            }
            _ if base == self.from => self.last.front().copied(),
            _ => match self.last.binary_search_by_key(&base, |(version, _)| *version) {
                Ok(at) => self.last.get(at + 1).copied(),
                Err(_) => None,
            },
        };
        if made.is_some_and(|(_, by)| by == call) { Taken::Yes } else { Taken::No }
    }

    pub(crate) fn take(&mut self, version: u32, call: u64) {
        if self.last.len() >= MOST_CHANGES {
            self.forget_oldest();
        }
        self.last.push_back((version, call));
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.last.pop_front() {
            if self.from == 0 {
                self.first = Some(oldest);
            }
            self.from = oldest.0;
        }
    }

    /// The oldest base of which all is known.
    pub fn from(&self) -> u32 {
        self.from
    }

    pub fn len(&self) -> usize {
        self.last.len()
    }

    pub fn is_empty(&self) -> bool {
        self.last.is_empty()
    }

    pub(crate) fn written(&self) -> Vec<(u32, u64)> {
        self.last.iter().copied().collect()
    }

    /// Whether older programs would read it as it is meant.
    pub(crate) fn plain(&self) -> bool {
        self.from == 0 && self.last.len() < MOST_ONCE
    }

    /// As the first two forms have it: they do not say what the first remembered one builds on.
    pub(crate) fn of_old(last: Vec<(u32, u64)>, version: u32) -> Changes {
        let mut changes = Changes { first: None, last: last.into(), from: 0 };
        if changes.last.len() >= MOST_ONCE {
            changes.forget_oldest();
            changes.first = None;
        }
        // Left out for followers that decide on no order.
        if changes.last.is_empty() {
            changes.from = version;
        }
        changes
    }
}

/// The last change of something that is ordered by name, and the exact calls that were taken for it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Subject {
    rev: Rev,
    calls: VecDeque<u64>,
}

/// Orders that name no version: a copy of such a call cannot be told from a new one. So it comes with the revision of
/// the registry that took it, as a fencing token: it has no effect once its subject was changed after that.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subjects {
    all: BTreeMap<String, Subject>,
    /// Nothing older is known of those that are not among `all`.
    from: Rev,
}

/// What an order is about.
pub fn subject(command: &Command) -> Option<String> {
    match command {
        Command::Evacuate { zone, .. } => Some(format!("zone {zone}")),
        Command::Book(BookChange::Put { booking, .. }) => Some(format!("booking {}", booking.name)),
        Command::Book(BookChange::Cancel { name }) => Some(format!("booking {name}")),
        Command::Drill(DrillChange::Start(drill)) => Some(format!("drill {}", drill.name)),
        Command::Drill(DrillChange::Stop { name, epoch: None, .. }) => Some(format!("drill {name}")),
        Command::Rollout(RolloutChange::Start { order, .. }) => Some(format!("rollout {}", order.service)),
        Command::Rollout(RolloutChange::Stop { service }) => Some(format!("rollout {service}")),
        _ => None,
    }
}

impl Subjects {
    /// Whether it was changed after that revision, as far as is known.
    pub fn changed_after(&self, subject: &str, seen: Rev) -> bool {
        self.all.get(subject).map_or(self.from, |s| s.rev) > seen
    }

    pub fn took(&self, subject: &str, call: u64) -> bool {
        self.all.get(subject).is_some_and(|s| s.calls.contains(&call))
    }

    pub(crate) fn change(&mut self, subject: &str, rev: Rev, call: Option<u64>) {
        let s = self.all.entry(subject.to_string()).or_default();
        s.rev = rev;
        s.calls.extend(call);
        if s.calls.len() > MOST_CALLS {
            s.calls.pop_front();
        }
        if self.all.len() > MOST_SUBJECTS {
            let oldest = self.all.iter().min_by_key(|(_, s)| s.rev).map(|(name, s)| (name.clone(), s.rev));
            if let Some((name, rev)) = oldest {
                self.all.remove(&name);
                self.from = rev;
            }
        }
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty() && self.from == 0
    }
}

/// What a state holds of orders from its third form on; the calls themselves are where they were.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Written {
    first: Option<(u32, u64)>,
    from: u32,
    subjects: Subjects,
}

impl Written {
    pub(crate) fn of(changes: &Changes, subjects: &Subjects) -> Written {
        Written { first: changes.first, from: changes.from, subjects: subjects.clone() }
    }

    pub(crate) fn read(self, last: Vec<(u32, u64)>) -> (Changes, Subjects) {
        (Changes { first: self.first, last: last.into(), from: self.from }, self.subjects)
    }
}
