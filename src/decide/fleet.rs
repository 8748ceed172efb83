//! The fleets: the servers of each service as discovery lists them, and each fleet's capacity.

use super::records::{Decider, Fleet, Server, Task, Tier};
use super::{target::Aimd, target::WINDOW_US, tries::DEFAULT_RETRY_BUDGET};
use crate::interface::*;
use std::collections::BTreeMap;

impl Fleet {
    pub fn new(config: &Settings) -> Fleet {
        let aim = config.classes.iter().map(|c| c.aim_us).min().unwrap_or(1) as f64;
        let (tiers, aimd) = (vec![Tier::default()], Aimd::new(aim));
        let retry_tokens = config.retry_budget.unwrap_or(DEFAULT_RETRY_BUDGET)[1];
        Fleet { tiers, aimd, retry_tokens, ..Fleet::default() }
    }

    pub fn target(&self, config: &Settings) -> f64 {
        self.aimd.target(self.capacity, config.balancers)
    }

    pub fn tier(&mut self, distance: u32) -> &mut Tier {
        let place = self.tiers.partition_point(|t| t.distance < distance);
        if self.tiers.get(place).is_none_or(|t| t.distance != distance) {
            self.tiers.insert(place, Tier { distance, ..Tier::default() });
        }
        &mut self.tiers[place]
    }

    /// Recomputes the fleet's capacity, in warm servers.
    fn update_capacity(&mut self, now: Micros, config: &Settings, servers: &BTreeMap<u64, Server>) {
        let each = self.aimd.latency / 1e6 * config.balancers as f64 / self.aimd.permits;
        self.capacity = 0.0;
        for t in &mut self.tiers {
            t.warm = t.up.iter().map(|k| servers[k].ramp(now, config).unwrap_or(1.0)).sum();
            self.capacity += t.up.iter().map(|k| servers[k].capacity(now, config, each)).sum::<f64>();
        }
        self.capacity_at = now;
    }

    pub fn update(&mut self, now: Micros, config: &Settings, servers: &BTreeMap<u64, Server>) {
        if now >= self.capacity_at + WINDOW_US / 4 {
            self.update_capacity(now, config, servers);
        }
        self.aimd.grow(now, self.capacity, config.balancers);
    }
}

impl Decider {
    pub(super) fn update_servers(&mut self, kind: ListKind, entries: &[Entry]) {
        if kind == ListKind::Failed {
            // Exponential backoff with jitter, well within the time after which a gateway counts as informed.
            self.subscribe_failures = (self.subscribe_failures + 1).min(3);
            let wait = (self.config.ask_within_us / 16).clamp(1, 60_000_000) << self.subscribe_failures;
            self.tasks.insert((self.now + wait + self.rng.u64(0..=wait / 4), Task::Subscribe));
            return;
        }
        self.subscribe_failures = 0;
        if kind != ListKind::Changes {
            self.servers.values_mut().for_each(|s| s.up = false);
        }
        for e in entries.iter().filter(|e| (e.service as usize) < self.fleets.len()) {
            let s = self.servers.entry(e.server).or_default();
            let fleet = e.service as usize;
            if s.latency == 0.0 || e.up_since_us > s.up_since || fleet != s.fleet {
                // New or restarted: what was learned of the process before it no longer applies.
                let (in_flight, latency) = (s.in_flight, self.fleets[fleet].aimd.latency);
                *s = Server { in_flight, latency, fleet, ..Server::default() };
            }
            let was_rate_limited = s.rate_limited(self.now, &self.config);
            (s.zone, s.cell, s.up, s.up_since) = (e.zone, e.cell, e.state == State::Up, e.up_since_us);
            s.share = if e.share.is_finite() { e.share.max(0.0) } else { 1.0 };
            (s.distance, s.cold_rate, s.listed_cold_until) = (e.distance, e.cold_rate, e.cold_until_us);
            if s.rate_limited(self.now, &self.config) && !was_rate_limited {
                // All gateways learn of it at the same time: spreads their first requests to it.
                s.token_at = self.now + self.rng.u64(0..=s.token_interval());
            }
        }
        self.servers.retain(|_, s| s.up || s.in_flight > 0);
        for (n, fleet) in self.fleets.iter_mut().enumerate() {
            for t in &mut fleet.tiers {
                let here = |s: &Server| s.up && (s.fleet, s.distance) == (n, t.distance);
                t.up.retain(|k| self.servers.get(k).is_some_and(here));
            }
        }
        for (k, s) in self.servers.iter().filter(|(_, s)| s.up) {
            let up = &mut self.fleets[s.fleet].tier(s.distance).up;
            if !up.contains(k) {
                up.insert(self.rng.usize(0..=up.len()), *k); // each position is equally likely
            }
        }
        self.fleets.iter_mut().for_each(|f| f.update_capacity(self.now, &self.config, &self.servers));
    }
}
