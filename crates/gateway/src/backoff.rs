//! Pacing of calls to service discovery: computed from a seed and the number of gateways, without I/O or a clock.
//!
//! Discovery is one service of fixed capacity for the whole fleet. One gateway that calls again at once does no harm.
//! When hundreds lose their watch at the same moment and all call again at once, they keep its queue full: calls are
//! rejected, or answered after the caller has timed out, and no gateway learns of drained servers meanwhile. So all
//! waits here grow with the number of gateways and are randomized.
//!
//! Where lists are pushed there is no such queue: the agent on the gateway's machine answers by itself, and whatever
//! that agent has heard counts as known to the gateway. A gateway that waits between two calls would miss it, so it
//! calls again almost at once.

use curlewfront::Micros;

/// Time that each gateway adds to the period over which the calls of a fleet are spread.
const SPREAD_PER_GATEWAY_US: Micros = 20_000;
const MIN_SPREAD_US: Micros = 50_000;
/// What discovery announces counts as known within seconds, so the spread must stay below that.
const MAX_SPREAD_US: Micros = 4_000_000;
/// The longest pause is this multiple of the spread, kept between `MIN_LONGEST_PAUSE_US` and `MAX_LONGEST_PAUSE_US`.
const LONGEST_PAUSE_SPREADS: Micros = 16;
const MIN_LONGEST_PAUSE_US: Micros = 1_000_000;
const MAX_LONGEST_PAUSE_US: Micros = 6_000_000;

/// Computes the waits between one gateway's calls to discovery.
pub struct Backoff {
    rng: fastrand::Rng,
    spread_us: Micros,
    /// Lists are pushed to the agent on this machine.
    pushed: bool,
    /// Consecutive calls that brought nothing.
    failures: u32,
}

impl Backoff {
    pub fn new(gateways: u32, pushed: bool, seed: u64) -> Backoff {
        let gateways = if pushed { 0 } else { gateways };
        let spread_us =
            SPREAD_PER_GATEWAY_US.saturating_mul(u64::from(gateways)).clamp(MIN_SPREAD_US, MAX_SPREAD_US);
        Backoff { rng: fastrand::Rng::with_seed(seed), spread_us, pushed, failures: 0 }
    }

    /// The wait after a watch that brought something and has ended. The watches of all other gateways may have ended
    /// at the same moment.
    pub fn after_watch_end(&mut self) -> Micros {
        self.failures = 0;
        MIN_SPREAD_US + self.rng.u64(0..=self.spread_us)
    }

    /// The wait after a call that brought nothing: half of a pause that doubles with each failure, plus a random part
    /// of up to the whole pause.
    pub fn after_failure(&mut self) -> Micros {
        let longest =
            (self.spread_us * LONGEST_PAUSE_SPREADS).clamp(MIN_LONGEST_PAUSE_US, MAX_LONGEST_PAUSE_US);
        let longest = if self.pushed { self.spread_us } else { longest };
        let pause = (self.spread_us << self.failures.min(8)).min(longest);
        self.failures += 1;
        pause / 2 + self.rng.u64(0..=pause)
    }

    /// Forgets the failures: the address of discovery has changed, which all gateways learn at about the same time.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::{BTreeSet, VecDeque};

    const FLEET: u32 = 100;

    /// Models a discovery service that handles one call at a time, rejects a call while its queue holds more than two
    /// timeouts' worth of work, and fails calls that have waited for one timeout. `next_wait` gives a gateway's wait
    /// before it calls again; a gateway gives a call up after `call_timeout`. Returns when each gateway was served.
    fn simulate_discovery(
        mut next_wait: impl FnMut(usize) -> Micros,
        call_timeout: Micros,
    ) -> Vec<Option<Micros>> {
        const SERVICE_TIME_US: Micros = 50_000;
        const TIMEOUT_US: Micros = 2_000_000;
        let mut calls_due: BTreeSet<(Micros, usize)> = (0..FLEET as usize).map(|n| (0, n)).collect();
        let (mut served, mut free_at) = (vec![None; FLEET as usize], 0);
        let mut queue: VecDeque<(Micros, usize)> = VecDeque::new();
        while let Some((now, n)) = calls_due.pop_first().filter(|call| call.0 < 20_000_000) {
            // Work on calls that have waited too long, or whose caller has left, is wasted but still takes its time.
            while free_at <= now
                && let Some((at, caller)) = queue.pop_front()
            {
                free_at = free_at.max(at) + SERVICE_TIME_US;
                if served[caller].is_none() && free_at <= at + TIMEOUT_US.min(call_timeout) {
                    served[caller] = Some(free_at);
                }
            }
            if served[n].is_some() {
                continue;
            }
            let queued_us = queue.len() as Micros * SERVICE_TIME_US;
            let rejected = queued_us > 2 * TIMEOUT_US;
            let known_at = if rejected { now } else { now + TIMEOUT_US.min(call_timeout) };
            if !rejected {
                queue.push_back((now, n));
            }
            calls_due.insert((known_at + next_wait(n).max(1), n));
        }
        served
    }

    /// A whole fleet calls at the same moment while discovery can take one call from each gateway in 5 s. Paced, all
    /// gateways are served within 20 s. Gateways that call again within a second, and give a call up after one, keep
    /// the queue full, and fewer of them are served.
    #[test]
    fn a_fleet_that_calls_at_once_is_served_before_long() {
        let mut backoffs: Vec<Backoff> =
            (0..FLEET).map(|n| Backoff::new(FLEET, false, u64::from(n))).collect();
        let paced = simulate_discovery(|n| backoffs[n].after_failure(), 3_000_000);
        assert!(paced.iter().all(|at| at.is_some_and(|at| at < 20_000_000)), "{paced:?}");
        let early = paced.iter().flatten().filter(|at| **at < 10_000_000).count();
        assert!(early >= 60, "{early} of {FLEET} within 10 s");

        let mut rng = fastrand::Rng::with_seed(1);
        let mut failures = vec![0_u32; FLEET as usize];
        let hasty = simulate_discovery(
            |n| {
                failures[n] += 1;
                let wait = (50_000 << failures[n].min(5)).min(1_000_000);
                wait + rng.u64(0..=wait)
            },
            1_000_000,
        );
        let hasty = hasty.iter().flatten().filter(|at| **at < 10_000_000).count();
        assert!(hasty < early, "hasty {hasty}, paced {early}");
    }

    /// Gateways that differ only in their seed must not call again in lockstep.
    #[test]
    fn three_hundred_gateways_come_back_spread_out() {
        let mut backoffs: Vec<Backoff> = (0..300).map(|n| Backoff::new(300, false, n)).collect();
        for round in 0..4 {
            let mut waits: Vec<Micros> = backoffs.iter_mut().map(Backoff::after_failure).collect();
            waits.sort_unstable();
            let span = waits[299] - waits[0];
            assert!(span >= 3_000_000, "round {round}: all within {span} us");
            let most = waits.iter().map(|w| waits.iter().filter(|x| (*w..w + 100_000).contains(*x)).count());
            assert!(most.max() <= Some(30), "round {round}: more than a tenth in one tenth of a second");
            assert!(waits[299] <= 9_000_000, "round {round}: {} us until one calls again", waits[299]);
        }
    }

    /// A few gateways cannot overload discovery, and a list that comes late is worth less, so their waits are short.
    #[test]
    fn a_few_gateways_call_again_soon_and_ever_later_while_it_fails() {
        let mut backoff = Backoff::new(2, false, 7);
        assert!(backoff.after_watch_end() <= 100_000);
        assert!(backoff.after_failure() <= 75_000);
        let later: Vec<Micros> = (0..20).map(|_| backoff.after_failure()).collect();
        assert!(later.iter().all(|w| *w <= 1_500_000));
        assert!(later[10..].iter().all(|w| *w >= 400_000));
        backoff.after_watch_end();
        assert!(backoff.after_failure() <= 75_000, "counts from zero after a watch that worked");
    }

    /// What the agent hears counts as known to the gateway, so the next call must follow soon however long discovery
    /// has been silent.
    #[test]
    fn where_lists_are_pushed_each_call_follows_on_the_last() {
        let mut backoff = Backoff::new(300, true, 7);
        let mut waits: Vec<Micros> = (0..40).map(|_| backoff.after_failure()).collect();
        waits.push(backoff.after_watch_end());
        assert!(waits.iter().all(|w| (20_000..=100_000).contains(w)), "{waits:?}");
    }
}
