//! The log in memory, the memberships in it, and which part of it isn't on disk yet.

use crate::{Entry, HardState, Membership, Payload, PersistentState, Snapshot, Write, snapshot_threshold};
use std::collections::VecDeque;
use std::sync::Arc;

/// Bytes of entries kept for members that are being sent an older snapshot. If they need more, their transfer starts
/// over with a newer snapshot.
const MAX_KEPT_BYTES: usize = 16 << 20;

#[cfg_attr(test, derive(Clone, Hash))]
pub struct Log {
    pub snapshot: Arc<Snapshot>,
    /// Index and term of the entry before the first one kept.
    base: (u64, u64),
    entries: VecDeque<Entry>,
    /// Memberships with the index of the entry that introduced them: the snapshot's first, then the later ones.
    memberships: Vec<(u64, Membership)>,
    /// Entries up to this index are on disk.
    pub synced: u64,
    /// The value of `synced` once the write in progress is on disk.
    synced_after_write: u64,
    /// Entries from this index on have changed since the last write was taken.
    dirty_from: Option<u64>,
    dirty_snapshot: bool,
    dirty_base: bool,
}

impl Log {
    pub fn new(saved: PersistentState) -> Log {
        let mut log = Log {
            memberships: vec![(saved.snapshot.membership_index, saved.snapshot.membership.clone())],
            snapshot: saved.snapshot,
            base: saved.base,
            entries: VecDeque::with_capacity(saved.entries.len()),
            synced: 0,
            synced_after_write: 0,
            dirty_from: None,
            dirty_snapshot: false,
            dirty_base: false,
        };
        for entry in saved.entries {
            log.push(entry);
        }
        (log.synced, log.dirty_from) = (log.last_index(), None);
        log
    }

    pub fn last_index(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base.1, |e| e.term)
    }

    /// The index of the entry before the first one kept.
    pub fn base(&self) -> u64 {
        self.base.0
    }

    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.0 { Some(self.base.1) } else { self.get(index).map(|e| e.term) }
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.base.0 + 1)?;
        self.entries.get(at as usize)
    }

    /// The latest membership, and the index of the entry that introduced it.
    pub fn membership(&self) -> (u64, &Membership) {
        let (index, membership) = self.memberships.last().expect("at least the snapshot's membership");
        (*index, membership)
    }

    /// The membership before the latest one.
    pub fn previous_membership(&self) -> Option<&Membership> {
        let (index, _) = self.membership();
        match self.get(index).map(|e| &e.payload) {
            Some(Payload::Joint { old, .. }) => Some(old),
            _ => self.memberships.iter().rev().nth(1).map(|(_, membership)| membership),
        }
    }

    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Some(membership) = entry.payload.membership()
            && entry.index > self.snapshot.index
        {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.dirty_from.get_or_insert(entry.index);
        self.entries.push_back(entry);
    }

    /// Drops entry `from` and all entries after it.
    pub fn truncate(&mut self, from: u64) {
        self.entries.truncate((from - self.base.0 - 1) as usize);
        self.memberships.retain(|(index, _)| *index < from || *index <= self.snapshot.index);
        self.mark_dirty(from);
    }

    fn mark_dirty(&mut self, from: u64) {
        self.dirty_from = Some(self.dirty_from.map_or(from, |d| d.min(from)));
        self.synced = self.synced.min(from - 1);
        self.synced_after_write = self.synced_after_write.min(from - 1);
    }

    /// The bytes of the entries in `from..to`, counted until `limit` is reached.
    pub fn bytes(&self, from: u64, to: u64, limit: usize) -> usize {
        let mut bytes = 0;
        for index in from.max(self.base.0 + 1)..to {
            bytes += self.get(index).map_or(0, Entry::size);
            if bytes >= limit {
                break;
            }
        }
        bytes
    }

    /// Takes over the host's snapshot and drops entries well before it. At most `tail` entries before it are kept, and
    /// no more bytes of them than [`snapshot_threshold`], or sending them would cost more than the snapshot. Entries
    /// after `keep_after` are kept as well, as long as they have fewer than [`MAX_KEPT_BYTES`].
    pub fn compact(&mut self, index: u64, data: Vec<u8>, tail: u64, keep_after: Option<u64>) {
        let Some(term) = self.term(index).filter(|_| index > self.snapshot.index) else { return };
        let at = self
            .memberships
            .iter()
            .rposition(|(i, _)| *i <= index)
            .expect("at least the snapshot's membership");
        self.memberships.drain(..at);
        let (membership_index, membership) = self.memberships[0].clone();
        self.snapshot = Arc::new(Snapshot { index, term, membership, membership_index, data });
        self.dirty_snapshot = true;
        let (mut base, mut budget) = (index, snapshot_threshold(self.snapshot.data.len()));
        while base > index.saturating_sub(tail) && base > self.base.0 {
            let Some(remaining) = budget.checked_sub(self.get(base).map_or(0, Entry::size)) else { break };
            (base, budget) = (base - 1, remaining);
        }
        if let Some(keep_after) = keep_after.filter(|keep_after| *keep_after < base)
            && self.bytes(keep_after + 1, base + 1, MAX_KEPT_BYTES) < MAX_KEPT_BYTES
        {
            base = keep_after;
        }
        if base > self.base.0 {
            let term = self.term(base).expect("still kept");
            self.entries.drain(..(base - self.base.0) as usize);
            self.base = (base, term);
            self.dirty_base = true;
        }
    }

    /// Installs a leader's snapshot, which goes beyond what is committed here.
    pub fn install(&mut self, snapshot: Arc<Snapshot>) {
        let (index, term) = (snapshot.index, snapshot.term);
        let matches = self.term(index) == Some(term);
        self.memberships.retain(|(i, _)| matches && *i > index);
        self.memberships.insert(0, (snapshot.membership_index, snapshot.membership.clone()));
        if matches {
            self.entries.drain(..(index - self.base.0) as usize);
        } else {
            self.entries.clear();
        }
        self.base = (index, term);
        self.snapshot = snapshot;
        self.dirty_snapshot = true;
        if !matches {
            self.mark_dirty(index + 1);
            // Until the snapshot is written, the disk holds entries of a different log.
            (self.synced, self.synced_after_write) = (0, 0);
        }
    }

    pub fn is_dirty(&self) -> bool {
        self.dirty_from.is_some() || self.dirty_snapshot || self.dirty_base
    }

    /// Takes all that isn't on disk yet as one write.
    pub fn take_write(&mut self, number: u64, hard: HardState) -> Write {
        let from = self.dirty_from.take().map(|from| from.max(self.base.0 + 1));
        let entries = from.map_or(Vec::new(), |from| {
            let skip = (from - self.base.0 - 1) as usize;
            self.entries.iter().skip(skip).cloned().collect()
        });
        let snapshot = std::mem::take(&mut self.dirty_snapshot).then(|| self.snapshot.clone());
        self.dirty_base = false;
        self.synced_after_write = self.last_index();
        Write { number, hard, snapshot, base: self.base, truncate_from: from, entries }
    }

    /// The write in progress is on disk.
    pub fn write_finished(&mut self) {
        self.synced = self.synced_after_write;
    }
}
