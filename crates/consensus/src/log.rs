//! The log in memory, the rosters in it, and what of it is not on disk yet.

use crate::{Entry, Hard, Payload, Roster, Saved, Snapshot, Write, enough};
use std::collections::VecDeque;
use std::sync::Arc;

/// What is held back for those that are sent an older snapshot; who needs more starts over with a newer one.
const HELD_BYTES: usize = 16 << 20;

#[cfg_attr(test, derive(Clone, Hash))]
pub struct Log {
    pub snapshot: Arc<Snapshot>,
    base: (u64, u64),
    entries: VecDeque<Entry>,
    /// Rosters by the entry that made them: the one of the snapshot, then those after it.
    rosters: Vec<(u64, Roster)>,
    /// Entries up to here are on disk.
    pub synced: u64,
    /// What the write under way makes of `synced`.
    writing: u64,
    dirty_from: Option<u64>,
    dirty_snapshot: bool,
    dirty_base: bool,
}

impl Log {
    pub fn new(saved: Saved) -> Log {
        let mut log = Log {
            rosters: vec![(saved.snapshot.roster_index, saved.snapshot.roster.clone())],
            snapshot: saved.snapshot,
            base: saved.base,
            entries: VecDeque::with_capacity(saved.entries.len()),
            synced: 0,
            writing: 0,
            dirty_from: None,
            dirty_snapshot: false,
            dirty_base: false,
        };
        for entry in saved.entries {
            log.push(entry);
        }
        (log.synced, log.dirty_from) = (log.last(), None);
        log
    }

    pub fn last(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base.1, |e| e.term)
    }

    /// The entry before the first one kept.
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

    /// The roster that counts last, and the entry that made it.
    pub fn roster(&self) -> (u64, &Roster) {
        let (index, roster) = self.rosters.last().expect("the snapshot's at least");
        (*index, roster)
    }

    /// The roster before the last one.
    pub fn before(&self) -> Option<&Roster> {
        let (index, _) = self.roster();
        match self.get(index).map(|e| &e.payload) {
            Some(Payload::Joint { old, .. }) => Some(old),
            _ => self.rosters.iter().rev().nth(1).map(|(_, roster)| roster),
        }
    }

    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last() + 1);
        if let Some(roster) = entry.payload.roster()
            && entry.index > self.snapshot.index
        {
            self.rosters.push((entry.index, roster.clone()));
        }
        self.dirty_from.get_or_insert(entry.index);
        self.entries.push_back(entry);
    }

    /// Drops entry `from` and all after it.
    pub fn truncate(&mut self, from: u64) {
        self.entries.truncate((from - self.base.0 - 1) as usize);
        self.rosters.retain(|(index, _)| *index < from || *index <= self.snapshot.index);
        self.dirty(from);
    }

    fn dirty(&mut self, from: u64) {
        self.dirty_from = Some(self.dirty_from.map_or(from, |d| d.min(from)));
        self.synced = self.synced.min(from - 1);
        self.writing = self.writing.min(from - 1);
    }

    /// Bytes of the entries from `from` to before `to`, or of so many of them that `most` is reached.
    pub fn bytes(&self, from: u64, to: u64, most: usize) -> usize {
        let mut bytes = 0;
        for index in from.max(self.base.0 + 1)..to {
            bytes += self.get(index).map_or(0, Entry::size);
            if bytes >= most {
                break;
            }
        }
        bytes
    }

    /// The host's own snapshot: what is well before it goes. Of the tail no more stays than the snapshot has bytes, or it
    /// would be dearer to send. What comes after entry `hold` stays while that is bounded.
    pub fn compact(&mut self, index: u64, data: Vec<u8>, tail: u64, hold: Option<u64>) {
        let Some(term) = self.term(index).filter(|_| index > self.snapshot.index) else { return };
        let at = self.rosters.iter().rposition(|(i, _)| *i <= index).expect("the snapshot's at least");
        self.rosters.drain(..at);
        let (roster_index, roster) = self.rosters[0].clone();
        self.snapshot = Arc::new(Snapshot { index, term, roster, roster_index, data });
        self.dirty_snapshot = true;
        let (mut base, mut room) = (index, enough(self.snapshot.data.len()));
        while base > index.saturating_sub(tail) && base > self.base.0 {
            let Some(rest) = room.checked_sub(self.get(base).map_or(0, Entry::size)) else { break };
            (base, room) = (base - 1, rest);
        }
        if let Some(hold) = hold.filter(|hold| *hold < base)
            && self.bytes(hold + 1, base + 1, HELD_BYTES) < HELD_BYTES
        {
            base = hold;
        }
        if base > self.base.0 {
            let term = self.term(base).expect("kept until now");
            self.entries.drain(..(base - self.base.0) as usize);
            self.base = (base, term);
            self.dirty_base = true;
        }
    }

    /// A leader's snapshot, which reaches further than what is known here.
    pub fn install(&mut self, snapshot: Arc<Snapshot>) {
        let (index, term) = (snapshot.index, snapshot.term);
        let fits = self.term(index) == Some(term);
        self.rosters.retain(|(i, _)| fits && *i > index);
        self.rosters.insert(0, (snapshot.roster_index, snapshot.roster.clone()));
        if fits {
            self.entries.drain(..(index - self.base.0) as usize);
        } else {
            self.entries.clear();
        }
        self.base = (index, term);
        self.snapshot = snapshot;
        self.dirty_snapshot = true;
        if !fits {
            self.dirty(index + 1);
            // What is on disk is of another log, until the snapshot is there.
            (self.synced, self.writing) = (0, 0);
        }
    }

    pub fn is_dirty(&self) -> bool {
        self.dirty_from.is_some() || self.dirty_snapshot || self.dirty_base
    }

    /// All that is not on disk yet.
    pub fn write(&mut self, number: u64, hard: Hard) -> Write {
        let from = self.dirty_from.take().map(|from| from.max(self.base.0 + 1));
        let entries = from.map_or(Vec::new(), |from| {
            let skip = (from - self.base.0 - 1) as usize;
            self.entries.iter().skip(skip).cloned().collect()
        });
        let snapshot = std::mem::take(&mut self.dirty_snapshot).then(|| self.snapshot.clone());
        self.dirty_base = false;
        self.writing = self.last();
        Write { number, hard, snapshot, base: self.base, from, entries }
    }

    /// The write under way is on disk.
    pub fn written(&mut self) {
        self.synced = self.writing;
    }
}
