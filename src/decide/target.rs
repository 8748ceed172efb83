//! The target concurrency of one fleet: permits that grow slowly in use and are cut on overload (AIMD).

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// AIMD: permits for each server of the fleet, over all gateways, at the start; what is gained a second and
/// the least, as parts of what a server was seen to bear with ease; and the least target of a gateway.
const START_PER_SERVER: f64 = 3.0;
const GAIN: f64 = 0.05;
const LEAST: f64 = 0.33;
const LEAST_TARGET: f64 = 1.0;
/// While the usual time is under this multiple of its least, the gain is so many times as large.
const IDLE_UNDER: f64 = 1.15;
const IDLE_GAIN: f64 = 5.0;
/// AIMD: what a cut leaves of the target, and the part of the last second's outcomes that calls for one.
const CUT_TO: f64 = 0.8;
const BAD_MARK: f64 = 0.1;
pub(super) const WINDOW: Micros = 1_000_000;
/// So many outcomes are looked at though the last second had fewer: a tenth of five says nothing.
const LEAST_SEEN: usize = 20;
/// One server in so many may be at its worst without the fleet being blamed for it.
const BLAME_SPARES: usize = 4;
/// A request waits while this many usual deviations past the mean time of an answer are left to it.
const WAIT_DEVIATIONS: f64 = 2.0;
/// Weight of one outcome in a moving average; the fleet's own move four times as slowly.
pub(super) const LEARN: f64 = 0.15;

#[derive(Default)]
pub(super) struct Target {
    /// Permits for each server, and what a server has been seen to bear with ease.
    pub permits: f64,
    size: f64,
    grown_at: Micros,
    cut_at: Option<Micros>,
    pub out: u32,
    /// Outcomes of the last second, or the last few: when, which server, failed or not, reached or not.
    recent: VecDeque<(Micros, u64, bool, bool)>,
    /// The fleet's usual time to an answer.
    pub mean: f64,
    least_mean: f64,
    deviation: f64,
}

impl Target {
    pub fn new(aim: f64) -> Target {
        let (permits, mean) = (START_PER_SERVER, aim / 8.0);
        Target { permits, size: permits, mean, least_mean: mean, deviation: mean / 2.0, ..Target::default() }
    }

    /// The target itself. It is held as permits for each server, so that it follows the size of a fleet that
    /// shrinks, grows, or drops off the list and comes back; `strength` is that size, in warm servers.
    pub fn at(&self, strength: f64, balancers: u32) -> f64 {
        (self.permits * strength / balancers as f64).max(LEAST_TARGET)
    }

    /// The time that an attempt needs to be answered in all likelihood.
    pub fn needs(&self) -> Micros {
        (self.mean + WAIT_DEVIATIONS * self.deviation) as Micros
    }

    pub fn grow(&mut self, now: Micros, strength: f64, balancers: u32) {
        let dt = (now - self.grown_at) as f64 / 1e6;
        self.grown_at = now;
        self.least_mean = (self.least_mean * (1.0 + 0.01 * dt)).min(self.mean);
        if self.out as f64 >= self.at(strength, balancers) / 2.0 {
            // While answers take no longer than they ever did, the servers are larger than the target.
            let idle = self.mean < self.least_mean * IDLE_UNDER;
            self.permits += GAIN * self.size * dt * if idle { IDLE_GAIN } else { 1.0 };
            if idle {
                self.size = self.size.max(self.permits);
            }
        }
    }

    /// An answer took so long.
    pub fn took(&mut self, taken: f64) {
        self.deviation += ((taken - self.mean).abs() - self.deviation) * LEARN / 4.0;
        self.mean += (taken - self.mean) * LEARN / 4.0;
    }

    /// An attempt has ended, in time or not; `aim` is the least time between two cuts.
    pub fn ended(&mut self, now: Micros, aim: Micros, server: u64, outcome: Outcome, bad: bool) {
        // These tell of their server, but requests at fault and broken connections not of the fleet's load.
        if !matches!(outcome, Outcome::Rejected | Outcome::Reset) {
            self.recent.push_back((now, server, bad, outcome != Outcome::ConnectFailed));
        }
        while self.recent.len() > LEAST_SEEN && self.recent[0].0 + WINDOW < now {
            self.recent.pop_front();
        }
        if bad && self.cut_at.is_none_or(|at| now >= at + aim) && self.overloaded() {
            self.permits = (self.permits * CUT_TO).max(LEAST * self.size);
            self.cut_at = Some(now);
        }
    }

    /// More than a tenth of the last second's outcomes were bad, the worst few servers left out, and those
    /// that take no connection at all: a cut would not help those.
    fn overloaded(&self) -> bool {
        let mut by_server: BTreeMap<u64, (u32, u32, bool)> = BTreeMap::new();
        for (_, server, bad, reached) in &self.recent {
            let seen = by_server.entry(*server).or_default();
            *seen = (seen.0 + u32::from(*bad), seen.1 + 1, seen.2 || *reached);
        }
        let mut seen: Vec<_> = by_server.into_values().filter(|s| s.2).collect();
        seen.sort_unstable_by(|a: &(u32, u32, bool), b| b.cmp(a));
        let rest = &seen[seen.len() / BLAME_SPARES..];
        let (bad, all) = rest.iter().fold((0, 0), |(bad, all), s| (bad + s.0, all + s.1));
        bad > 1 && f64::from(bad) > BAD_MARK * f64::from(all)
    }
}
