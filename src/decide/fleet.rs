//! The fleets: which servers each service has, as discovery lists them, and what stands for each fleet.

use super::records::{Decider, Fleet, Server, Task, Tier};
use super::{target::Target, target::WINDOW, tries::RETRY};
use crate::interface::*;
use std::collections::BTreeMap;

impl Fleet {
    pub fn new(set: &Settings) -> Fleet {
        let aim = set.classes.iter().map(|c| c.aim_us).min().unwrap_or(1) as f64;
        let (tiers, load) = (vec![Tier::default()], Target::new(aim));
        Fleet { tiers, load, retries: set.retry_budget.unwrap_or(RETRY)[1], ..Fleet::default() }
    }

    pub fn target(&self, set: &Settings) -> f64 {
        self.load.at(self.strength, set.balancers)
    }

    pub fn tier(&mut self, distance: u32) -> &mut Tier {
        let place = self.tiers.partition_point(|t| t.distance < distance);
        if self.tiers.get(place).is_none_or(|t| t.distance != distance) {
            self.tiers.insert(place, Tier { distance, ..Tier::default() });
        }
        &mut self.tiers[place]
    }

    /// How many warm servers the fleet is worth.
    fn count(&mut self, now: Micros, set: &Settings, servers: &BTreeMap<u64, Server>) {
        let each = self.load.mean / 1e6 * set.balancers as f64 / self.load.permits;
        self.strength = 0.0;
        for t in &mut self.tiers {
            t.warm = t.up.iter().map(|k| servers[k].ramp(now, set).unwrap_or(1.0)).sum();
            self.strength += t.up.iter().map(|k| servers[k].worth(now, set, each)).sum::<f64>();
        }
        self.counted_at = now;
    }

    pub fn grow(&mut self, now: Micros, set: &Settings, servers: &BTreeMap<u64, Server>) {
        if now >= self.counted_at + WINDOW / 4 {
            self.count(now, set, servers);
        }
        self.load.grow(now, self.strength, set.balancers);
    }
}

impl Decider {
    pub(super) fn listed(&mut self, kind: ListKind, entries: &[Entry]) {
        if kind == ListKind::Failed {
            // Asked again ever more slowly, yet well within the time after which we count as told.
            self.asks_failed = (self.asks_failed + 1).min(3);
            let wait = (self.set.ask_within_us / 16).clamp(1, 60_000_000) << self.asks_failed;
            self.agenda.insert((self.now + wait + self.rng.u64(0..=wait / 4), Task::Ask));
            return;
        }
        self.asks_failed = 0;
        if kind != ListKind::Changes {
            self.servers.values_mut().for_each(|s| s.up = false);
        }
        for e in entries.iter().filter(|e| (e.service as usize) < self.fleets.len()) {
            let s = self.servers.entry(e.server).or_default();
            let fleet = e.service as usize;
            if s.latency == 0.0 || e.up_since_us > s.up_since || fleet != s.fleet {
                // New, or started anew: nothing learned of the process before it holds.
                let (out, latency) = (s.out, self.fleets[fleet].load.mean);
                *s = Server { out, latency, fleet, ..Server::default() };
            }
            let was_metered = s.metered(self.now, &self.set);
            (s.zone, s.cell, s.up, s.up_since) = (e.zone, e.cell, e.state == State::Up, e.up_since_us);
            s.share = if e.share.is_finite() { e.share.max(0.0) } else { 1.0 };
            (s.distance, s.cold_rate, s.told_cold_until) = (e.distance, e.cold_rate, e.cold_until_us);
            if s.metered(self.now, &self.set) && !was_metered {
                // All gateways learn of it at once, and are not to send it their first at once.
                s.token_at = self.now + self.rng.u64(0..=s.token_us());
            }
        }
        self.servers.retain(|_, s| s.up || s.out > 0);
        for (n, fleet) in self.fleets.iter_mut().enumerate() {
            for t in &mut fleet.tiers {
                let here = |s: &Server| s.up && (s.fleet, s.distance) == (n, t.distance);
                t.up.retain(|k| self.servers.get(k).is_some_and(here));
            }
        }
        for (k, s) in self.servers.iter().filter(|(_, s)| s.up) {
            let up = &mut self.fleets[s.fleet].tier(s.distance).up;
            if !up.contains(k) {
                up.insert(self.rng.usize(0..=up.len()), *k); // all places are as likely
            }
        }
        self.fleets.iter_mut().for_each(|f| f.count(self.now, &self.set, &self.servers));
    }
}
