//! Until when drills may act, as far as this registry knows, on its own steady clock. The agreed state holds only
//! that a drill runs, not until when, because replaying the log would start its time anew. See docs/system/drills.md.

use cluster::drill::{DrillChange, Drills};
use cluster::talk::Lease;
use cluster::{Micros, Rev};
use std::collections::BTreeMap;

/// A drill whose end no registry knows is ended after this many heartbeat intervals.
const UNKNOWN_END_HEARTBEATS: Micros = 4;

#[derive(Default)]
pub struct Leases {
    ends: BTreeMap<Rev, Micros>,
    /// Drills without a known end, and since when that is so.
    unknown_end_since: BTreeMap<Rev, Micros>,
}

impl Leases {
    /// Records when a drill ends. A later report can only bring the end forward: a message that was delayed names an
    /// end that is too late.
    pub fn learn(&mut self, epoch: Rev, ends: Micros) {
        let known = self.ends.entry(epoch).or_insert(ends);
        *known = ends.min(*known);
    }

    /// When a running drill ends, if that is known.
    pub fn ends(&self, epoch: Rev) -> Option<Micros> {
        self.ends.get(&epoch).copied()
    }

    /// The time left of all running drills, for registries and proxies.
    pub fn to_gossip(&self, now: Micros, drills: &Drills) -> Vec<Lease> {
        let left = |epoch: Rev| {
            // Rounded up, because otherwise the end would creep closer with every exchange.
            let ms = self.ends.get(&epoch)?.saturating_sub(now).div_ceil(1000);
            (ms > 0).then_some(Lease { epoch, left_ms: u32::try_from(ms).unwrap_or(u32::MAX) })
        };
        drills.running().filter_map(|h| left(h.epoch)).collect()
    }

    /// Changes that end drills whose time is up or whose end no registry knows. For the registry on the leader's
    /// machine.
    pub fn expired(&mut self, now: Micros, heartbeat_us: Micros, drills: &Drills) -> Vec<DrillChange> {
        let running: BTreeMap<Rev, &str> =
            drills.running().map(|h| (h.epoch, h.drill.name.as_str())).collect();
        self.ends.retain(|epoch, ends| running.contains_key(epoch) || *ends > now);
        self.unknown_end_since
            .retain(|epoch, _| running.contains_key(epoch) && !self.ends.contains_key(epoch));
        let mut expired = Vec::new();
        for (epoch, name) in running {
            let why = match self.ends.get(&epoch) {
                Some(ends) if *ends <= now => "its time was up",
                Some(_) => continue,
                None if now
                    > *self.unknown_end_since.entry(epoch).or_insert(now)
                        + UNKNOWN_END_HEARTBEATS * heartbeat_us =>
                {
                    "nobody could tell its end any more"
                }
                None => continue,
            };
            let (name, why) = (name.to_string(), why.to_string());
            expired.push(DrillChange::Stop { name, epoch: Some(epoch), why });
        }
        expired
    }
}
