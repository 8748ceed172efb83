//! Server choice: least loaded of two random servers, by latency and errors learned from outcomes.

use super::records::{Decider, Server, Tier};
use super::target::EWMA_WEIGHT;
use crate::interface::*;

/// Error rate from which a server is avoided while there are others; also the weight of a failed connection.
const UNHEALTHY: f64 = 0.5;
/// Time constant, in microseconds, with which latency and error rate decay without new outcomes.
const FORGET_US: f64 = 3e6;
/// Size of a gateway's subset of servers, per request sent within `FORGET_US`, and the smallest; an answer
/// slower than `SLOW_FACTOR` times the fleet's average removes its server from the subset.
const SUBSET_PER_SEND: f64 = 0.3;
const SUBSET_MIN: usize = 5;
const SLOW_FACTOR: f64 = 4.0;
/// Most attempts in flight to a server, in shares of the target: one that turned slow must not fill up.
const MAX_LOAD_FACTOR: f64 = 2.0;
/// Most by which the chance of a cold server is scaled up while many are cold.
const MAX_COLD_BOOST: f64 = 1.5;

impl Server {
    /// A learned value, decayed to the usual one over time: else one that was slow once would stay unused.
    fn decayed(&self, now: Micros, learned: f64, usual: f64) -> f64 {
        usual + (learned - usual) * (-((now - self.updated_at) as f64) / FORGET_US).exp()
    }
    fn unhealthy(&self, now: Micros) -> bool {
        self.decayed(now, self.error_rate, 0.0) >= UNHEALTHY
    }
}

impl Tier {
    /// Subsetting: only the first so many of `up` are used, few enough to hear from each several times before
    /// what was learned decays. A failing or slow one is swapped for a random one outside. Without it, each
    /// of hundreds of gateways would send a slow or failing server requests until it learns of that, and
    /// connect to every server. Drawback: a subset that turns bad as a whole is replaced only step by step.
    fn subset_size(&self, now: Micros) -> usize {
        ((self.recent_sends(now) * SUBSET_PER_SEND) as usize).max(SUBSET_MIN).min(self.up.len())
    }

    pub fn recent_sends(&self, now: Micros) -> f64 {
        self.sent * (-((now - self.sent_at) as f64) / FORGET_US).exp()
    }
}

impl Decider {
    /// Of two random eligible servers of the nearest tier, the one with less work from here for its speed.
    /// Farther tiers are used while all nearer servers are full, tried, unhealthy or at their share. A cold
    /// server is drawn as often as any other but accepts only its ramp's fraction of draws, so all gateways
    /// together send it that fraction of a full load, however few requests each of them has.
    pub(super) fn pick_server(&mut self, id: u64) -> Option<u64> {
        let Decider { fleets, servers, requests, rng, config, now, .. } = self;
        let (config, now, r) = (&*config, *now, requests.get_mut(&id).expect("waits"));
        let (draws, draws_before) = (r.attempts.len() + 1, r.draws);
        r.draws = draws;
        let (r, fleet) = (&*r, &mut fleets[r.fleet()]);
        let usual = fleet.aimd.latency;
        let even_share = fleet.aimd.permits / config.balancers as f64 * fleet.room_factor(config);
        let usable = |s: &Server| {
            let room = (s.in_flight as f64) < (MAX_LOAD_FACTOR * even_share * s.share).max(1.0);
            room && (now >= s.token_at || !s.rate_limited(now, config)) && r.allows(s, now)
        };
        let cost = |s: &Server| {
            let served = 1.0 - s.decayed(now, s.error_rate, 0.0).min(0.9);
            (s.in_flight as f64 + 1.0) * s.decayed(now, s.latency, usual) / (served * served)
        };
        let tried = |server: u64| r.attempts.iter().any(|a| a.server == server);
        let mut best_so_far: Option<((bool, bool, bool), u64)> = None;
        for tier in fleet.tiers.iter_mut().take_while(|t| t.distance <= r.params.max_distance) {
            let (subset, many) = (tier.subset_size(now), tier.up.len());
            let up = &mut tier.up;
            let drawn = rng.usize(0..many.max(1));
            let ramp =
                up.get(drawn).map(|k| &servers[k]).filter(|s| usable(s)).and_then(|s| s.ramp(now, config));
            let boost = (many as f64 / tier.warm).min(MAX_COLD_BOOST);
            if draws_before < draws && ramp.is_some_and(|ramp| rng.f64() < ramp * boost) {
                return Some(up[drawn]);
            }
            let mut found: Option<(f64, u64)> = None;
            for n in 0..many {
                up.swap(n, rng.usize(n..if n < subset { subset } else { many }));
                let s = &servers[&up[n]];
                if s.ramp(now, config).is_some() || !usable(s) {
                    continue;
                }
                let next = (cost(s) * if tried(up[n]) { f64::MAX.sqrt() } else { 1.0 }, up[n]);
                let second = found.is_some();
                let best = found.filter(|one| one.0 <= next.0).unwrap_or(next);
                found = Some(best);
                if second && !servers[&best.1].unhealthy(now) {
                    break;
                }
            }
            let Some((_, server)) = found else { continue };
            let s = &servers[&server];
            let drawbacks =
                (tried(server), s.unhealthy(now), s.in_flight as f64 >= (even_share * s.share).max(1.0));
            if best_so_far.is_none_or(|l| drawbacks < l.0) {
                best_so_far = Some((drawbacks, server));
            }
            if drawbacks == (false, false, false) {
                break;
            }
        }
        best_so_far.map(|l| l.1)
    }

    pub(super) fn record_outcome(&mut self, server: u64, outcome: Outcome, latency: f64, late: bool) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        let several = self.fleets.len() > 1;
        let fleet = &mut self.fleets[s.fleet];
        let aimd = &mut fleet.aimd;
        let failed = !matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::NotSent);
        if outcome == Outcome::Ok || (outcome != Outcome::NotSent && latency > s.latency) {
            s.latency = s.decayed(self.now, s.latency, aimd.latency);
            s.latency += (latency - s.latency) * EWMA_WEIGHT;
        }
        if matches!(outcome, Outcome::Cancelled | Outcome::NotSent) {
            return;
        }
        if !failed {
            aimd.record_latency(latency);
        }
        let poor = failed || latency > SLOW_FACTOR * aimd.latency;
        s.error_rate = s.decayed(self.now, s.error_rate, 0.0);
        s.error_rate += (f64::from(failed) - s.error_rate)
            * if outcome == Outcome::ConnectFailed { UNHEALTHY } else { EWMA_WEIGHT };
        s.updated_at = self.now;
        // A single fleet uses the aims of all classes; one of several only those of the requests it gets.
        let aim = self.config.classes.iter().map(|c| c.aim_us).max().unwrap_or(0);
        let aim = if several { fleet.aim } else { aim };
        aimd.record_outcome(self.now, aim, server, outcome, failed || late);
        let tier = fleet.tier(s.distance);
        let (subset, many) = (tier.subset_size(self.now), tier.up.len());
        let position = (poor && subset < many).then(|| tier.up[..subset].iter().position(|k| *k == server));
        if let Some(Some(n)) = position {
            tier.up.swap(n, self.rng.usize(subset..many));
        }
    }
}
