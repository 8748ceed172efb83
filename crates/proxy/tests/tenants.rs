//! How proxies and the registries' meter share a tenant's quota.

mod common;

use cluster::copy::Copy;
use cluster::talk::{Reading, Usage, tenant_key};
use common::*;
use proxy::book::{Book, Even};
use proxy::tenants::{Quota, Tenants};
use registry::meter::Meter;

const EVERY: u64 = SECOND / 3;

struct Site {
    copy: Copy,
    book: Book,
    plan: usize,
}

fn site(proxies: u8) -> Site {
    let all: Vec<(u8, &str)> = (1..=proxies).map(|n| (n, "north-a")).collect();
    let copy = copy(SECOND, vec![nodes(&all), config(1, &ROUTES)]);
    let mut book = Book::new(place(1, "north-a"));
    book.learn(copy.state.config.as_ref().expect("a configuration"), proxies.into());
    let plan = book.plan("sedge");
    Site { copy, book, plan }
}

impl Site {
    /// A proxy that is asked so often between two reports, and its report.
    fn proxy(&self, last: u8, asked: u32) -> (Tenants, Usage) {
        let mut tenants = Tenants::new(EVERY, 7);
        tenants.uses(SECOND, |plan| self.book.key(plan));
        (0..asked).for_each(|_| tenants.asked(self.plan));
        let told = tenants.uses(SECOND + EVERY, |plan| self.book.key(plan));
        (tenants, Usage { ip: node(last, "north-a").ip, life: 1, count: 1, tenants: told })
    }

    fn read(&self, meter: &mut Meter) -> Option<Reading> {
        let all = meter.read(SECOND + EVERY, &self.copy.state);
        all.into_iter().find(|r| r.tenant == tenant_key("sedge"))
    }

    /// The part of the quota that a proxy takes for itself.
    fn share(&self, tenants: &mut Tenants, reading: Option<&Reading>) -> f64 {
        let (now, all) = (SECOND + EVERY, self.copy.state.nodes.len());
        if let Some(reading) = reading {
            tenants.read(now, now, self.plan, reading, all, Quota { rate: f64::INFINITY, burst: 1.0 });
        }
        1.0 / f64::from(tenants.spread(now, self.plan, all))
    }
}

/// The scaled shares come to the whole. What goes beyond it is the even share, which is nobody's upper bound: a proxy
/// whose scaled share is smaller, or that hears nothing, has that nonetheless.
#[test]
fn shares_above_the_even_one_leave_the_others_their_scaled_part() {
    let mut rng = fastrand::Rng::with_seed(5);
    for round in 0..300 {
        let proxies = [2, 11, 40, 85, 150][round % 5];
        let (site, even) = (site(proxies), 1.0 / f64::from(proxies));
        // Few that are asked for much, many for some or for nothing; some of them hear and tell nothing.
        let (much, some, silent) = (rng.f64() * 0.3, rng.f64(), rng.f64() * 0.5);
        let mut meter = Meter::new(EVERY);
        let mut all: Vec<(Tenants, bool)> = (1..=proxies)
            .map(|last| {
                let few = if rng.f64() < some { rng.u32(0..4) } else { 0 };
                let asked = if rng.f64() < much { rng.u32(20..60) } else { few };
                let (tenants, usage) = site.proxy(last, asked);
                let heard = rng.f64() >= silent;
                if heard {
                    meter.take(SECOND + EVERY, usage, false);
                }
                (tenants, heard)
            })
            .collect();
        let Some(reading) = site.read(&mut meter) else { continue };
        let least = even / (f64::from(reading.shares) / 1000.0);
        let shares = all.iter_mut().map(|(t, heard)| site.share(t, Some(&reading).filter(|_| *heard)));
        let shares: Vec<f64> = shares.collect();
        assert!(shares.iter().all(|s| *s >= even - 1e-9 && *s <= 1.0));
        let scaled: f64 = shares.iter().map(|s| if *s > even + 1e-9 { *s } else { least }).sum();
        assert!(scaled <= 1.002, "{proxies} proxies, round {round}: {scaled}");
    }
}

#[test]
fn a_registry_that_hears_only_some_reads_no_less_of_a_quota_that_is_wanted() {
    let site = site(10);
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..100 {
        // Nobody sends more than its even share, which is what may be expected of those that are cut off.
        let usages: Vec<Usage> = (1..=10)
            .map(|last| {
                let mut usage = site.proxy(last, 5).1;
                usage.tenants[0].used = rng.u32(0..=200);
                usage
            })
            .collect();
        let (mut whole, mut some) = (Meter::new(EVERY), Meter::new(EVERY));
        for usage in &usages {
            whole.take(SECOND + EVERY, usage.clone(), true);
            if rng.bool() {
                some.take(SECOND + EVERY, usage.clone(), true);
            }
        }
        if let (Some(all), Some(part)) = (site.read(&mut whole), site.read(&mut some)) {
            assert!(part.used >= all.used, "{} of {}", part.used, all.used);
        }
    }
}

/// A rate that rises faster than it falls would read far too much where a proxy sees a request now and then.
#[test]
fn a_rise_is_told_ahead_of_time_and_the_rate_is_that_of_the_requests() {
    let site = site(10);
    let mut tenants = Tenants::new(EVERY, 7);
    let mut wanted = |asked: u32, at: u64| {
        (0..asked).for_each(|_| tenants.asked(site.plan));
        let hurries = std::mem::take(&mut tenants.hurries);
        (
            hurries,
            tenants.uses(SECOND + at * EVERY, |plan| site.book.key(plan)).first().map_or(0, |u| u.wanted),
        )
    };
    wanted(0, 0);
    assert!(!wanted(2, 1).0);
    let (hurries, told) = wanted(30, 2);
    assert!(hurries && told > 40_000, "half of 90 a second at the least: {told}");
    // One request in each tenth report: the mean of what is told is what is asked.
    let sum: u32 = (3..203).map(|at| wanted(u32::from(at % 10 == 0), at).1).sum();
    let asked = 20_000_000 / EVERY as u32 * 1000;
    assert!(sum.abs_diff(asked + told) < asked / 4, "{sum} of {asked}, and what was left of {told}");
}

#[test]
fn an_old_reading_and_a_silent_meter_leave_the_even_share() {
    let site = site(10);
    let (mut tenants, usage) = site.proxy(1, 50);
    assert_eq!(site.share(&mut tenants, None), 0.1);
    let mut meter = Meter::new(EVERY);
    meter.take(SECOND + EVERY, usage, false);
    let cut_off = site.read(&mut meter).expect("read");
    let share = site.share(&mut tenants, Some(&cut_off));
    assert!(share < 0.6, "the silent others may have theirs: {share}");
    for last in 2..=10 {
        meter.take(SECOND + EVERY, site.proxy(last, 0).1, true);
    }
    let reading = site.read(&mut meter).expect("read");
    assert!(site.share(&mut tenants, Some(&reading)) > 0.3, "it alone asks");
    assert_eq!(tenants.spread(SECOND + 5 * EVERY, site.plan, 10), 10);
}

/// However the readings stood, what all send in a period after the last of them stays within the leeway; a later one
/// forgives what it can have seen.
#[test]
fn what_is_sent_ahead_of_the_even_share_is_bounded_once_nobody_is_heard() {
    let site = site(10);
    let even = Even { rate: 6.0, burst: 2.0, ahead: 3.0 };
    let (mut tenants, usage) = site.proxy(1, 8);
    let mut meter = Meter::new(EVERY);
    meter.take(SECOND + EVERY, usage, false);
    for last in 2..=10 {
        meter.take(SECOND + EVERY, site.proxy(last, 4).1, true);
    }
    let reading = site.read(&mut meter).expect("read");
    let share = site.share(&mut tenants, Some(&reading));
    // As much as it likes, until it is told that this was all.
    let now = SECOND + EVERY;
    let until = |tenants: &mut Tenants, now| (1..100).find(|_| tenants.sent(now, site.plan, even, 10));
    let granted = (share - 0.1) * 60.0 * EVERY as f64 / 1e6;
    let first = until(&mut tenants, now).expect("bounded");
    assert!((first as f64) < 2.0 + 3.0 + granted + 1.0, "{first} beside {granted}");
    assert_eq!(tenants.spread(now, site.plan, 10), 10, "the even share is left");
    // Paid back by the even share alone: six a second.
    assert!(until(&mut tenants, now + SECOND / 2).is_some_and(|n| n <= 4));
    tenants.uses(now + SECOND / 2, |n| site.book.key(n));
    site.share(&mut tenants, Some(&reading));
    assert!(until(&mut tenants, now + SECOND / 2).is_some_and(|n| n > 1), "told, read and forgiven");
}

/// A reading that says that more is wanted than the quota brings, or one that does not.
fn reading(flood: bool) -> Reading {
    let wanted = if flood { 900_000 } else { 30_000 };
    Reading { tenant: tenant_key("sedge"), wanted, used: 60_000, shares: 1_000 }
}

/// What was sent ahead before the flood was read is paid back, whatever readings come: none of them forgives it.
#[test]
fn in_a_flood_a_proxy_sends_what_its_share_earns_and_pays_back_first() {
    let site = site(10);
    let even = Even { rate: 6.0, burst: 2.0, ahead: 13.0 };
    let quota = Quota { rate: 60.0, burst: even.burst };
    for seed in 0..20 {
        let mut tenants = Tenants::new(EVERY, seed);
        let mut now = SECOND;
        tenants.read(now, now, site.plan, &reading(false), 10, quota);
        let before = (0..15).filter(|_| !tenants.sent(now, site.plan, even, 10)).count();
        assert!(before >= 13, "ahead while nobody has told of a flood");
        // Told, so that a reading which forgives would forgive all of it.
        tenants.uses(now, |plan| site.book.key(plan));
        let mut sent = 15.0;
        for _ in 0..3 * 15 {
            now += EVERY / 3;
            if (now - SECOND).is_multiple_of(EVERY) {
                tenants.read(now, now, site.plan, &reading(true), 10, quota);
            }
            for _ in 0..100 {
                if now < SECOND + EVERY || !tenants.may_send(now, site.plan, even, 10) {
                    break;
                }
                tenants.sent(now, site.plan, even, 10);
                sent += 1.0;
            }
        }
        let seconds = (now - SECOND) as f64 / 1e6;
        let most = even.burst + even.rate * seconds;
        assert!(sent <= most, "seed {seed}: {sent} in {seconds} s, {most} may");
        assert!(sent >= 0.6 * most, "seed {seed}: {sent} of {most}: the share is used");
    }
}

/// Where the even burst is under one request all proxies together begin no faster than the quota allows.
#[test]
fn in_a_flood_proxies_with_less_than_a_request_each_send_in_turn() {
    let site = site(87);
    let even = Even { rate: 24.0 / 87.0, burst: 24.0 / 87.0, ahead: 2.0 };
    let quota = Quota { rate: 24.0, burst: even.burst };
    let mut proxies: Vec<Tenants> = (0..87).map(|seed| Tenants::new(EVERY, seed)).collect();
    let mut sent = 0;
    for step in 0..20 {
        let now = SECOND + step * EVERY / 4;
        for tenants in &mut proxies {
            if step % 4 == 0 {
                tenants.asked(site.plan);
                tenants.read(now, now, site.plan, &reading(true), 87, quota);
            }
            if tenants.may_send(now, site.plan, even, 87) {
                tenants.sent(now, site.plan, even, 87);
                sent += 1;
            }
        }
    }
    let seconds = 20.0 * EVERY as f64 / 4.0 / 1e6;
    let most = 24.0 * seconds + 24.0;
    assert!(f64::from(sent) <= most, "{sent} in {seconds} s, {most} may");
    let least = 0.6 * 24.0 * seconds;
    assert!(f64::from(sent) >= least, "{sent} in {seconds} s, at least {least}: they begin in turn, at once");
}

/// A reading that was long on its way grants nothing that it would grant when it is new.
#[test]
fn a_reading_holds_from_when_it_was_made() {
    let quota = Quota { rate: 10.0, burst: 1.0 };
    let all_here = Reading { tenant: 0, wanted: 5_000, used: 5_000, shares: 1_000 };
    for (made_ago, spread) in [(0, 1), (10 * EVERY, 10)] {
        let mut tenants = Tenants::new(EVERY, 1);
        let now = 100 * EVERY;
        tenants.uses(now - EVERY, |_| 0);
        (0..20).for_each(|_| tenants.asked(1));
        tenants.uses(now, |_| 0);
        tenants.read(now, now - made_ago, 1, &all_here, 10, quota);
        assert_eq!(tenants.spread(now, 1, 10), spread, "made {made_ago} us ago");
    }
}

/// A reading that calls a flood over just after many proxies have begun anew lets nobody send ahead.
#[test]
fn nothing_is_sent_ahead_for_a_while_after_a_flood() {
    let (quota, even) = (Quota { rate: 10.0, burst: 0.5 }, Even { rate: 0.1, burst: 0.5, ahead: 2.0 });
    let flood = Reading { tenant: 0, wanted: 60_000, used: 9_000, shares: 100_000 };
    let over = Reading { tenant: 0, wanted: 3_000, used: 3_000, shares: 100_000 };
    let mut tenants = Tenants::new(EVERY, 1);
    let now = 10 * EVERY;
    tenants.read(now, now, 1, &flood, 100, quota);
    tenants.sent(now, 1, even, 100);
    tenants.read(now + EVERY, now + EVERY, 1, &over, 100, quota);
    assert!(!tenants.may_send(now + EVERY, 1, even, 100), "readings waver");
    let later = now + 20 * EVERY;
    tenants.read(later, later, 1, &over, 100, quota);
    assert!(tenants.may_send(later, 1, even, 100), "the flood is over");
}
