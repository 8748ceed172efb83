//! Until when drills may act, as far as this registry knows, on its own steady clock. The agreed state says that there is a
//! drill, not until when: a log that is replayed would begin it anew. See docs/system/drills.md.

use cluster::drill::{DrillChange, Drills};
use cluster::talk::Lease;
use cluster::{Micros, Rev};
use std::collections::BTreeMap;

/// A drill of which nobody can tell the end is ended after so many beats.
const BEATS_LOST: Micros = 4;

#[derive(Default)]
pub struct Leases {
    ends: BTreeMap<Rev, Micros>,
    /// Those without an end, and since when.
    lost: BTreeMap<Rev, Micros>,
}

impl Leases {
    /// An end that was heard of; only the first that is can be later than what was known.
    pub fn hear(&mut self, epoch: Rev, ends: Micros) {
        let known = self.ends.entry(epoch).or_insert(ends);
        *known = ends.min(*known);
    }

    /// When a running drill ends.
    pub fn ends(&self, epoch: Rev) -> Option<Micros> {
        self.ends.get(&epoch).copied()
    }

    /// What others are to be told.
    pub fn tell(&self, now: Micros, drills: &Drills) -> Vec<Lease> {
        let left = |epoch: Rev| {
            // Rounded up: told to and fro, an end would creep nearer else.
            let ms = self.ends.get(&epoch)?.saturating_sub(now).div_ceil(1000);
            (ms > 0).then_some(Lease { epoch, left_ms: u32::try_from(ms).unwrap_or(u32::MAX) })
        };
        drills.running().filter_map(|h| left(h.epoch)).collect()
    }

    /// Those whose time is up, and those of which nobody can tell. For the registry beside the leader.
    pub fn over(&mut self, now: Micros, beat_us: Micros, drills: &Drills) -> Vec<DrillChange> {
        let running: BTreeMap<Rev, &str> =
            drills.running().map(|h| (h.epoch, h.drill.name.as_str())).collect();
        self.ends.retain(|epoch, ends| running.contains_key(epoch) || *ends > now);
        self.lost.retain(|epoch, _| running.contains_key(epoch) && !self.ends.contains_key(epoch));
        let mut over = Vec::new();
        for (epoch, name) in running {
            let why = match self.ends.get(&epoch) {
                Some(ends) if *ends <= now => "its time was up",
                Some(_) => continue,
                None if now > *self.lost.entry(epoch).or_insert(now) + BEATS_LOST * beat_us => {
                    "nobody could tell its end any more"
                }
                None => continue,
            };
            let (name, why) = (name.to_string(), why.to_string());
            over.push(DrillChange::Stop { name, epoch: Some(epoch), why });
        }
        over
    }
}
