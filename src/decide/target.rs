//! Target concurrency of one fleet by AIMD: additive increase while in use, multiplicative cut on overload.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// Permits per server, over all gateways, at the start; the gain per second and the minimum, as fractions of
/// `known_good`; the least target of a gateway.
const INITIAL_PERMITS: f64 = 3.0;
const GAIN_PER_S: f64 = 0.05;
const MIN_PERMITS: f64 = 0.33;
const MIN_TARGET: f64 = 1.0;
/// While the average latency is below this multiple of its minimum, the gain is `UNLOADED_GAIN` times larger.
const UNLOADED_LATENCY: f64 = 1.15;
const UNLOADED_GAIN: f64 = 5.0;
/// The fraction of the target that a cut leaves, and the fraction of bad outcomes that triggers one.
const DECREASE_TO: f64 = 0.8;
const OVERLOAD_RATE: f64 = 0.1;
pub(super) const WINDOW_US: Micros = 1_000_000;
/// Outcomes kept even if older than the window: a tenth of five outcomes would be meaningless.
const MIN_OUTCOMES: usize = 20;
/// The worst one in this many servers is ignored when the fleet is checked for overload.
const EXCUSED_SERVERS: usize = 4;
/// A request may wait while it has left the average latency plus this many mean deviations.
const LATENCY_DEVIATIONS: f64 = 2.0;
/// Weight of one outcome in a server's moving averages (EWMA); the fleet's use a quarter of it.
pub(super) const EWMA_WEIGHT: f64 = 0.15;

#[derive(Default)]
pub(super) struct Aimd {
    /// Permits per server, and the most of them with which latency has stayed near its minimum.
    pub permits: f64,
    known_good: f64,
    grown_at: Micros,
    cut_at: Option<Micros>,
    pub in_flight: u32,
    /// Outcomes of the window, or the last few: time, server, whether bad, whether it connected.
    recent: VecDeque<(Micros, u64, bool, bool)>,
    /// Moving average of the fleet's latency, in microseconds.
    pub latency: f64,
    min_latency: f64,
    deviation: f64,
}

impl Aimd {
    pub fn new(aim: f64) -> Aimd {
        let (permits, latency) = (INITIAL_PERMITS, aim / 8.0);
        let (known_good, min_latency, deviation) = (permits, latency, latency / 2.0);
        Aimd { permits, known_good, latency, min_latency, deviation, ..Aimd::default() }
    }

    /// This gateway's target. It is stored as permits per server, so it follows a fleet that shrinks, grows,
    /// or leaves the list and comes back; `capacity` is the fleet's size in warm servers.
    pub fn target(&self, capacity: f64, balancers: u32) -> f64 {
        (self.permits * capacity / balancers as f64).max(MIN_TARGET)
    }

    /// The time within which an attempt is likely to be answered.
    pub fn likely_latency(&self) -> Micros {
        (self.latency + LATENCY_DEVIATIONS * self.deviation) as Micros
    }

    pub fn grow(&mut self, now: Micros, capacity: f64, balancers: u32) {
        let dt = (now - self.grown_at) as f64 / 1e6;
        self.grown_at = now;
        self.min_latency = (self.min_latency * (1.0 + 0.01 * dt)).min(self.latency);
        if self.in_flight as f64 >= self.target(capacity, balancers) / 2.0 {
            // While latency stays near its minimum, the servers can take more than the target.
            let unloaded = self.latency < self.min_latency * UNLOADED_LATENCY;
            self.permits += GAIN_PER_S * self.known_good * dt * if unloaded { UNLOADED_GAIN } else { 1.0 };
            if unloaded {
                self.known_good = self.known_good.max(self.permits);
            }
        }
    }

    pub fn record_latency(&mut self, latency: f64) {
        self.deviation += ((latency - self.latency).abs() - self.deviation) * EWMA_WEIGHT / 4.0;
        self.latency += (latency - self.latency) * EWMA_WEIGHT / 4.0;
    }

    /// Records an outcome, bad if failed or late, and cuts on overload, at most once per `aim`.
    pub fn record_outcome(&mut self, now: Micros, aim: Micros, server: u64, outcome: Outcome, bad: bool) {
        // Faulty requests and broken connections are no sign of load on the fleet.
        if !matches!(outcome, Outcome::Rejected | Outcome::Reset) {
            self.recent.push_back((now, server, bad, outcome != Outcome::ConnectFailed));
        }
        while self.recent.len() > MIN_OUTCOMES && self.recent[0].0 + WINDOW_US < now {
            self.recent.pop_front();
        }
        if bad && self.cut_at.is_none_or(|at| now >= at + aim) && self.overloaded() {
            self.permits = (self.permits * DECREASE_TO).max(MIN_PERMITS * self.known_good);
            self.cut_at = Some(now);
        }
    }

    /// Whether more than `OVERLOAD_RATE` of the outcomes were bad, leaving out the worst servers, and those
    /// that accept no connection at all, which a cut would not help.
    fn overloaded(&self) -> bool {
        let mut by_server: BTreeMap<u64, (u32, u32, bool)> = BTreeMap::new();
        for (_, server, bad, connected) in &self.recent {
            let seen = by_server.entry(*server).or_default();
            *seen = (seen.0 + u32::from(*bad), seen.1 + 1, seen.2 || *connected);
        }
        let mut servers: Vec<_> = by_server.into_values().filter(|s| s.2).collect();
        servers.sort_unstable_by(|a: &(u32, u32, bool), b| b.cmp(a));
        let rest = &servers[servers.len() / EXCUSED_SERVERS..];
        let (bad, all) = rest.iter().fold((0, 0), |(bad, all), s| (bad + s.0, all + s.1));
        bad > 1 && f64::from(bad) > OVERLOAD_RATE * f64::from(all)
    }
}
