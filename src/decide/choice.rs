//! Which server a request goes to, and what the answers tell of each server.

use super::records::{Decider, Server, Tier};
use super::target::LEARN;
use crate::interface::*;

/// Who fails more than this is passed by while there are others; a failed connection weighs as much.
const ILL: f64 = 0.5;
/// Time over which what was learned of a server's speed fades, when nothing more is heard.
const FORGET: f64 = 3e6;
/// Servers that a gateway keeps to, for each request that it sends within that time, and the fewest; how slow
/// an answer, as a multiple of the usual, ends that.
const KEPT_TO: f64 = 0.3;
const FEWEST: usize = 5;
const SLOW_OVER: f64 = 4.0;
/// Our work out at one server, as a multiple of its part of the target, at the most.
const MOST_HELD: f64 = 2.0;
/// How much more often a cold server is drawn while many are cold.
const MOST_CROWDED: f64 = 1.5;

impl Server {
    /// What was learned of this server and still holds. Not heard of, it is soon taken for one like the
    /// rest; else one that was slow once would never be tried again.
    fn known(&self, now: Micros, learned: f64, usual: f64) -> f64 {
        usual + (learned - usual) * (-((now - self.heard_at) as f64) / FORGET).exp()
    }
    fn ill(&self, now: Micros) -> bool {
        self.known(now, self.bad, 0.0) >= ILL
    }
}

impl Tier {
    /// A gateway keeps to so many servers, the first of `up`, that it hears of each some times before what it
    /// learned of it fades. Who fails it or is slow gives its place to another, drawn from the whole fleet.
    /// Guards against what hundreds of gateways do that meet each server seldom: each sends request after
    /// request to a slow or failing server before it has learned of it, and opens connections to all of them.
    /// It could harm where the few it keeps to turn bad together, until it has found others.
    fn familiar(&self, now: Micros) -> usize {
        ((self.lately_sent(now) * KEPT_TO) as usize).max(FEWEST).min(self.up.len())
    }

    pub fn lately_sent(&self, now: Micros) -> f64 {
        self.sent * (-((now - self.sent_at) as f64) / FORGET).exp()
    }
}

impl Decider {
    /// Of two random servers of the nearest tier that may have the request the one with less work of ours
    /// for its speed; farther ones while all nearer ones are full, tried, ill, or have their part out. A cold
    /// server is drawn as often as any other but takes its ramp's part of its draws, so all gateways together
    /// send it that part of what a server gets, however few requests each of them has.
    pub(super) fn pick(&mut self, id: u64) -> Option<u64> {
        let Decider { fleets, servers, requests, rng, set, now, .. } = self;
        let (set, now, r) = (&*set, *now, requests.get_mut(&id).expect("waits"));
        let (lots, lots_drawn) = (r.attempts.len() + 1, r.lots);
        r.lots = lots;
        let (r, fleet) = (&*r, &mut fleets[r.fleet()]);
        let (effect, mean) = (set.classes[r.asked.class].effect, fleet.load.mean);
        // A server that turned slow must not fill up with our work.
        let even = fleet.load.permits / set.balancers as f64 * fleet.lift(set);
        let fits = |s: &Server| {
            let room = (s.out as f64) < (MOST_HELD * even * s.share).max(1.0);
            room && (now >= s.token_at || !s.metered(now, set)) && r.allows(s, effect, now)
        };
        let cost = |s: &Server| {
            let served = 1.0 - s.known(now, s.bad, 0.0).min(0.9);
            (s.out as f64 + 1.0) * s.known(now, s.latency, mean) / (served * served)
        };
        let tried = |server: u64| r.attempts.iter().any(|a| a.server == server);
        let mut last_resort: Option<((bool, bool, bool), u64)> = None;
        for tier in fleet.tiers.iter_mut().take_while(|t| t.distance <= r.asked.max_distance) {
            let (familiar, many) = (tier.familiar(now), tier.up.len());
            let up = &mut tier.up;
            let lot = rng.usize(0..many.max(1));
            let ramp = up.get(lot).map(|k| &servers[k]).filter(|s| fits(s)).and_then(|s| s.ramp(now, set));
            let crowded = (many as f64 / tier.warm).min(MOST_CROWDED);
            if lots_drawn < lots && ramp.is_some_and(|ramp| rng.f64() < ramp * crowded) {
                return Some(up[lot]);
            }
            let mut found: Option<(f64, u64)> = None;
            for n in 0..many {
                up.swap(n, rng.usize(n..if n < familiar { familiar } else { many }));
                let s = &servers[&up[n]];
                if s.ramp(now, set).is_some() || !fits(s) {
                    continue;
                }
                let next = (cost(s) * if tried(up[n]) { f64::MAX.sqrt() } else { 1.0 }, up[n]);
                let second = found.is_some();
                let best = found.filter(|one| one.0 <= next.0).unwrap_or(next);
                found = Some(best);
                if second && !servers[&best.1].ill(now) {
                    break;
                }
            }
            let Some((_, server)) = found else { continue };
            let s = &servers[&server];
            let faults = (tried(server), s.ill(now), s.out as f64 >= (even * s.share).max(1.0));
            if last_resort.is_none_or(|l| faults < l.0) {
                last_resort = Some((faults, server));
            }
            if faults == (false, false, false) {
                break;
            }
        }
        last_resort.map(|l| l.1)
    }

    pub(super) fn learn(&mut self, server: u64, outcome: Outcome, taken: f64, late: bool) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        let several = self.fleets.len() > 1;
        let fleet = &mut self.fleets[s.fleet];
        let load = &mut fleet.load;
        let bad = !matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::NotSent);
        if outcome == Outcome::Ok || (outcome != Outcome::NotSent && taken > s.latency) {
            s.latency = s.known(self.now, s.latency, load.mean);
            s.latency += (taken - s.latency) * LEARN;
        }
        if matches!(outcome, Outcome::Cancelled | Outcome::NotSent) {
            return;
        }
        if !bad {
            load.took(taken);
        }
        let unwell = bad || taken > SLOW_OVER * load.mean;
        s.bad = s.known(self.now, s.bad, 0.0);
        s.bad += (f64::from(bad) - s.bad) * if outcome == Outcome::ConnectFailed { ILL } else { LEARN };
        s.heard_at = self.now;
        // One fleet is judged by all classes; of several each by those that come for it.
        let aim = self.set.classes.iter().map(|c| c.aim_us).max().unwrap_or(0);
        let aim = if several { fleet.aim } else { aim };
        load.ended(self.now, aim, server, outcome, bad || late);
        let tier = fleet.tier(s.distance);
        let (familiar, many) = (tier.familiar(self.now), tier.up.len());
        let place =
            (unwell && familiar < many).then(|| tier.up[..familiar].iter().position(|k| *k == server));
        if let Some(Some(n)) = place {
            tier.up.swap(n, self.rng.usize(familiar..many));
        }
    }
}
