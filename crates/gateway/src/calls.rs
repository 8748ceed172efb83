//! When to call discovery: plain arithmetic on a seed and the number of gateways, no I/O and no clock.
//!
//! Discovery is one service of fixed capacity for the whole fleet. One gateway that asks again at once does no
//! harm; hundreds that lose their watch in one moment and all do so keep its line full: calls are turned away, or
//! answered after their caller has left, and nobody hears of drained servers for as long as that lasts. So all
//! waits here grow with the number of gateways and have chance in them.
//!
//! Where lists are pushed there is no such line: the agent on the gateway's machine answers by itself, and once it has
//! heard something that counts as told. A gateway that waits between two calls then misses it, so it calls on at once.

use curlewfront::Micros;

/// What one gateway adds to the time over which a fleet's calls are spread.
const EACH_US: Micros = 20_000;
/// The spread at the least and, since what discovery has to tell counts as told within seconds, at the most.
const LEAST_SPREAD_US: Micros = 50_000;
const MOST_SPREAD_US: Micros = 4_000_000;
/// The longest pause is this multiple of the spread, or `MOST_PAUSE_US` if that is less, a second at least.
const MOST_TIMES: Micros = 16;
const MOST_PAUSE_US: Micros = 6_000_000;
const LEAST_PAUSE_US: Micros = 1_000_000;

/// Paces one gateway's calls.
pub struct Calls {
    rng: fastrand::Rng,
    spread: Micros,
    /// Lists are pushed.
    pushed: bool,
    /// Calls in a row that brought nothing.
    failed: u32,
}

impl Calls {
    pub fn new(gateways: u32, pushed: bool, seed: u64) -> Calls {
        let gateways = if pushed { 0 } else { gateways };
        let spread = EACH_US.saturating_mul(u64::from(gateways)).clamp(LEAST_SPREAD_US, MOST_SPREAD_US);
        Calls { rng: fastrand::Rng::with_seed(seed), spread, pushed, failed: 0 }
    }

    /// After a watch that brought something and has ended: all others may have ended with it.
    pub fn after_end(&mut self) -> Micros {
        self.failed = 0;
        LEAST_SPREAD_US + self.rng.u64(0..=self.spread)
    }

    /// After a call that brought nothing: doubled from call to call, as much again by chance.
    pub fn after_failure(&mut self) -> Micros {
        let most = (self.spread * MOST_TIMES).clamp(LEAST_PAUSE_US, MOST_PAUSE_US);
        let most = if self.pushed { self.spread } else { most };
        let pause = (self.spread << self.failed.min(8)).min(most);
        self.failed += 1;
        pause / 2 + self.rng.u64(0..=pause)
    }

    /// Discovery has another address: all gateways are told at about one time.
    pub fn moved(&mut self) {
        self.failed = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::{BTreeSet, VecDeque};

    const FLEET: u32 = 100;

    /// A discovery that serves one call in so long, in turn; that turns a call away where its line stands for more
    /// than two time-outs; and whose calls fail when they have waited for one. Returns when each gateway was served.
    fn served(mut again: impl FnMut(usize) -> Micros, patience: Micros) -> Vec<Option<Micros>> {
        const EACH: Micros = 50_000;
        const TIMEOUT: Micros = 2_000_000;
        let mut agenda: BTreeSet<(Micros, usize)> = (0..FLEET as usize).map(|n| (0, n)).collect();
        let (mut done, mut free_at) = (vec![None; FLEET as usize], 0);
        let mut line: VecDeque<(Micros, usize)> = VecDeque::new();
        while let Some((now, n)) = agenda.pop_first().filter(|a| a.0 < 20_000_000) {
            // Whoever has waited too long, or has left, is worked on in vain.
            while free_at <= now
                && let Some((at, who)) = line.pop_front()
            {
                free_at = free_at.max(at) + EACH;
                if done[who].is_none() && free_at <= at + TIMEOUT.min(patience) {
                    done[who] = Some(free_at);
                }
            }
            if done[n].is_some() {
                continue;
            }
            let ahead = line.len() as Micros * EACH;
            let turned_away = ahead > 2 * TIMEOUT;
            let known_at = if turned_away { now } else { now + TIMEOUT.min(patience) };
            if !turned_away {
                line.push_back((now, n));
            }
            agenda.insert((known_at + again(n).max(1), n));
        }
        done
    }

    /// Most gateways lose their watch in one moment while discovery bears one call from each in 5 s: paced, all are
    /// served before long; asking again within a second and leaving the line as soon, as they did, most never are.
    #[test]
    fn a_fleet_that_calls_at_once_is_served_before_long() {
        let mut calls: Vec<Calls> = (0..FLEET).map(|n| Calls::new(FLEET, false, u64::from(n))).collect();
        let paced = served(|n| calls[n].after_failure(), 3_000_000);
        assert!(paced.iter().all(|at| at.is_some_and(|at| at < 20_000_000)), "{paced:?}");
        let early = paced.iter().flatten().filter(|at| **at < 10_000_000).count();
        assert!(early >= 60, "{early} of {FLEET} within 10 s");

        let mut rng = fastrand::Rng::with_seed(1);
        let mut failed = vec![0_u32; FLEET as usize];
        let hasty = served(
            |n| {
                failed[n] += 1;
                let wait = (50_000 << failed[n].min(5)).min(1_000_000);
                wait + rng.u64(0..=wait)
            },
            1_000_000,
        );
        let hasty = hasty.iter().flatten().filter(|at| **at < 10_000_000).count();
        assert!(hasty < early, "hasty {hasty}, paced {early}");
    }

    /// Instances that differ in nothing but their seed come back in no common rhythm.
    #[test]
    fn three_hundred_gateways_come_back_spread_out() {
        let mut calls: Vec<Calls> = (0..300).map(|n| Calls::new(300, false, n)).collect();
        for round in 0..4 {
            let mut waits: Vec<Micros> = calls.iter_mut().map(Calls::after_failure).collect();
            waits.sort_unstable();
            let span = waits[299] - waits[0];
            assert!(span >= 3_000_000, "round {round}: all within {span} us");
            let most = waits.iter().map(|w| waits.iter().filter(|x| (*w..w + 100_000).contains(*x)).count());
            assert!(most.max() <= Some(30), "round {round}: more than a tenth in one tenth of a second");
            assert!(waits[299] <= 9_000_000, "round {round}: {} us until one calls again", waits[299]);
        }
    }

    /// Where few call there is no crowd to keep out of, and what is told late is worth less.
    #[test]
    fn a_few_gateways_call_again_soon_and_ever_later_while_it_fails() {
        let mut calls = Calls::new(2, false, 7);
        assert!(calls.after_end() <= 100_000);
        assert!(calls.after_failure() <= 75_000);
        let later: Vec<Micros> = (0..20).map(|_| calls.after_failure()).collect();
        assert!(later.iter().all(|w| *w <= 1_500_000));
        assert!(later[10..].iter().all(|w| *w >= 400_000));
        calls.after_end();
        assert!(calls.after_failure() <= 75_000, "counts anew after a watch that held");
    }

    /// What the agent hears counts as told: a call must stand again before it is late, however long it was silent.
    #[test]
    fn where_lists_are_pushed_each_call_follows_on_the_last() {
        let mut calls = Calls::new(300, true, 7);
        let mut waits: Vec<Micros> = (0..40).map(|_| calls.after_failure()).collect();
        waits.push(calls.after_end());
        assert!(waits.iter().all(|w| (20_000..=100_000).contains(w)), "{waits:?}");
    }
}
