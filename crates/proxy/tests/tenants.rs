//! Tests of how proxies and the registries' meter share a tenant's quota.

mod common;

use cluster::copy::Copy;
use cluster::talk::{Reading, Usage, tenant_key};
use common::*;
use proxy::routing_view::{EvenShare, RoutingView};
use proxy::tenants::{Quota, Tenants};
use registry::meter::Meter;

const REPORT_PERIOD_US: u64 = SECOND / 3;

struct Setup {
    copy: Copy,
    view: RoutingView,
    plan: usize,
}

fn setup(proxies: u8) -> Setup {
    let all: Vec<(u8, &str)> = (1..=proxies).map(|n| (n, "north-a")).collect();
    let copy = copy(SECOND, vec![nodes(&all), config(1, &ROUTES)]);
    let mut view = RoutingView::new(place(1, "north-a"));
    view.apply_config(copy.state.config.as_ref().expect("a configuration"), proxies.into());
    let plan = view.plan("sedge");
    Setup { copy, view, plan }
}

impl Setup {
    /// A proxy that gets `asked` requests between two reports, and its report.
    fn proxy(&self, last: u8, asked: u32) -> (Tenants, Usage) {
        let mut tenants = Tenants::new(REPORT_PERIOD_US, 7);
        tenants.take_report(SECOND, |plan| self.view.report_key(plan));
        (0..asked).for_each(|_| tenants.record_request(self.plan));
        let told = tenants.take_report(SECOND + REPORT_PERIOD_US, |plan| self.view.report_key(plan));
        (tenants, Usage { ip: node(last, "north-a").ip, life: 1, count: 1, tenants: told })
    }

    fn read(&self, meter: &mut Meter) -> Option<Reading> {
        let all = meter.read(SECOND + REPORT_PERIOD_US, &self.copy.state);
        all.into_iter().find(|r| r.tenant == tenant_key("sedge"))
    }

    /// The share of the quota that a proxy takes for itself.
    fn share(&self, tenants: &mut Tenants, reading: Option<&Reading>) -> f64 {
        let (now, all) = (SECOND + REPORT_PERIOD_US, self.copy.state.nodes.len());
        if let Some(reading) = reading {
            tenants.apply_reading(
                now,
                now,
                self.plan,
                reading,
                all,
                Quota { rate: f64::INFINITY, burst: 1.0 },
            );
        }
        1.0 / f64::from(tenants.spread(now, self.plan, all))
    }
}

/// The scaled shares add up to the quota. Even shares come on top: they are no upper bound, and a proxy that
/// has a smaller scaled share, or gets no readings, still has its even share.
#[test]
fn shares_above_the_even_one_leave_the_others_their_scaled_part() {
    let mut rng = fastrand::Rng::with_seed(5);
    for round in 0..300 {
        let proxies = [2, 11, 40, 85, 150][round % 5];
        let (setup, even) = (setup(proxies), 1.0 / f64::from(proxies));
        // A few proxies with much demand, many with little or none; some of them neither send reports nor
        // get readings.
        let (high_demand, low_demand, silent) = (rng.f64() * 0.3, rng.f64(), rng.f64() * 0.5);
        let mut meter = Meter::new(REPORT_PERIOD_US);
        let mut all: Vec<(Tenants, bool)> = (1..=proxies)
            .map(|last| {
                let few = if rng.f64() < low_demand { rng.u32(0..4) } else { 0 };
                let asked = if rng.f64() < high_demand { rng.u32(20..60) } else { few };
                let (tenants, usage) = setup.proxy(last, asked);
                let heard = rng.f64() >= silent;
                if heard {
                    meter.take(SECOND + REPORT_PERIOD_US, usage, false);
                }
                (tenants, heard)
            })
            .collect();
        let Some(reading) = setup.read(&mut meter) else { continue };
        let least = even / (f64::from(reading.shares) / 1000.0);
        let shares = all.iter_mut().map(|(t, heard)| setup.share(t, Some(&reading).filter(|_| *heard)));
        let shares: Vec<f64> = shares.collect();
        assert!(shares.iter().all(|s| *s >= even - 1e-9 && *s <= 1.0));
        let scaled: f64 = shares.iter().map(|s| if *s > even + 1e-9 { *s } else { least }).sum();
        assert!(scaled <= 1.002, "{proxies} proxies, round {round}: {scaled}");
    }
}

#[test]
fn a_registry_that_hears_only_some_reads_no_less_of_a_quota_that_is_wanted() {
    let setup = setup(10);
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..100 {
        // No proxy sends more than its even share, which is what may be expected of proxies that are cut
        // off.
        let usages: Vec<Usage> = (1..=10)
            .map(|last| {
                let mut usage = setup.proxy(last, 5).1;
                usage.tenants[0].used = rng.u32(0..=200);
                usage
            })
            .collect();
        let (mut whole, mut some) = (Meter::new(REPORT_PERIOD_US), Meter::new(REPORT_PERIOD_US));
        for usage in &usages {
            whole.take(SECOND + REPORT_PERIOD_US, usage.clone(), true);
            if rng.bool() {
                some.take(SECOND + REPORT_PERIOD_US, usage.clone(), true);
            }
        }
        if let (Some(all), Some(part)) = (setup.read(&mut whole), setup.read(&mut some)) {
            assert!(part.used >= all.used, "{} of {}", part.used, all.used);
        }
    }
}

/// Guards against a rate that rises faster than it falls, which reads far too high where a proxy gets a
/// request only now and then.
#[test]
fn a_rise_is_told_ahead_of_time_and_the_rate_is_that_of_the_requests() {
    let setup = setup(10);
    let mut tenants = Tenants::new(REPORT_PERIOD_US, 7);
    let mut wanted = |asked: u32, at: u64| {
        (0..asked).for_each(|_| tenants.record_request(setup.plan));
        let report_early = std::mem::take(&mut tenants.report_early);
        (
            report_early,
            tenants
                .take_report(SECOND + at * REPORT_PERIOD_US, |plan| setup.view.report_key(plan))
                .first()
                .map_or(0, |u| u.wanted),
        )
    };
    wanted(0, 0);
    assert!(!wanted(2, 1).0);
    let (report_early, told) = wanted(30, 2);
    assert!(report_early && told > 40_000, "half of 90 a second at the least: {told}");
    // One request in every tenth report: the reported rates average to the actual one.
    let sum: u32 = (3..203).map(|at| wanted(u32::from(at % 10 == 0), at).1).sum();
    let asked = 20_000_000 / REPORT_PERIOD_US as u32 * 1000;
    assert!(sum.abs_diff(asked + told) < asked / 4, "{sum} of {asked}, and what was left of {told}");
}

#[test]
fn an_old_reading_and_a_silent_meter_leave_the_even_share() {
    let setup = setup(10);
    let (mut tenants, usage) = setup.proxy(1, 50);
    assert_eq!(setup.share(&mut tenants, None), 0.1);
    let mut meter = Meter::new(REPORT_PERIOD_US);
    meter.take(SECOND + REPORT_PERIOD_US, usage, false);
    let cut_off = setup.read(&mut meter).expect("read");
    let share = setup.share(&mut tenants, Some(&cut_off));
    assert!(share < 0.6, "silent proxies may use their shares: {share}");
    for last in 2..=10 {
        meter.take(SECOND + REPORT_PERIOD_US, setup.proxy(last, 0).1, true);
    }
    let reading = setup.read(&mut meter).expect("read");
    assert!(setup.share(&mut tenants, Some(&reading)) > 0.3, "only this proxy has demand");
    assert_eq!(tenants.spread(SECOND + 5 * REPORT_PERIOD_US, setup.plan, 10), 10);
}

/// Whatever the readings were, what a proxy sends after the last one stays within the leeway; a later
/// reading forgives what had been reported by then.
#[test]
fn what_is_sent_ahead_of_the_even_share_is_bounded_once_nobody_is_heard() {
    let setup = setup(10);
    let even = EvenShare { rate: 6.0, burst: 2.0, ahead: 3.0 };
    let (mut tenants, usage) = setup.proxy(1, 8);
    let mut meter = Meter::new(REPORT_PERIOD_US);
    meter.take(SECOND + REPORT_PERIOD_US, usage, false);
    for last in 2..=10 {
        meter.take(SECOND + REPORT_PERIOD_US, setup.proxy(last, 4).1, true);
    }
    let reading = setup.read(&mut meter).expect("read");
    let share = setup.share(&mut tenants, Some(&reading));
    // Sends until the proxy is told that nothing more may be sent ahead.
    let now = SECOND + REPORT_PERIOD_US;
    let sent_until_exhausted =
        |tenants: &mut Tenants, now| (1..100).find(|_| tenants.spend(now, setup.plan, even, 10));
    let granted = (share - 0.1) * 60.0 * REPORT_PERIOD_US as f64 / 1e6;
    let first = sent_until_exhausted(&mut tenants, now).expect("bounded");
    assert!((first as f64) < 2.0 + 3.0 + granted + 1.0, "{first} beside {granted}");
    assert_eq!(tenants.spread(now, setup.plan, 10), 10, "the even share is left");
    // Paid back by the even share alone, at six requests per second.
    assert!(sent_until_exhausted(&mut tenants, now + SECOND / 2).is_some_and(|n| n <= 4));
    tenants.take_report(now + SECOND / 2, |n| setup.view.report_key(n));
    setup.share(&mut tenants, Some(&reading));
    assert!(
        sent_until_exhausted(&mut tenants, now + SECOND / 2).is_some_and(|n| n > 1),
        "reported, read and forgiven"
    );
}

/// A reading with a demand above the quota (`flood`) or below it.
fn reading(flood: bool) -> Reading {
    let wanted = if flood { 900_000 } else { 30_000 };
    Reading { tenant: tenant_key("sedge"), wanted, used: 60_000, shares: 1_000 }
}

/// What was sent ahead before the flood was read must be paid back: no reading during the flood forgives it.
#[test]
fn in_a_flood_a_proxy_sends_what_its_share_earns_and_pays_back_first() {
    let setup = setup(10);
    let even = EvenShare { rate: 6.0, burst: 2.0, ahead: 13.0 };
    let quota = Quota { rate: 60.0, burst: even.burst };
    for seed in 0..20 {
        let mut tenants = Tenants::new(REPORT_PERIOD_US, seed);
        let mut now = SECOND;
        tenants.apply_reading(now, now, setup.plan, &reading(false), 10, quota);
        let before = (0..15).filter(|_| !tenants.spend(now, setup.plan, even, 10)).count();
        assert!(before >= 13, "sent ahead while no reading reports a flood");
        // Reported, so that a forgiving reading would forgive all of it.
        tenants.take_report(now, |plan| setup.view.report_key(plan));
        let mut sent = 15.0;
        for _ in 0..3 * 15 {
            now += REPORT_PERIOD_US / 3;
            if (now - SECOND).is_multiple_of(REPORT_PERIOD_US) {
                tenants.apply_reading(now, now, setup.plan, &reading(true), 10, quota);
            }
            for _ in 0..100 {
                if now < SECOND + REPORT_PERIOD_US || !tenants.may_send(now, setup.plan, even, 10) {
                    break;
                }
                tenants.spend(now, setup.plan, even, 10);
                sent += 1.0;
            }
        }
        let seconds = (now - SECOND) as f64 / 1e6;
        let allowed = even.burst + even.rate * seconds;
        assert!(sent <= allowed, "seed {seed}: {sent} in {seconds} s, {allowed} allowed");
        assert!(sent >= 0.6 * allowed, "seed {seed}: {sent} of {allowed}: too little of the share is used");
    }
}

/// With an even burst of less than one request, all proxies together start no faster than the quota allows.
#[test]
fn in_a_flood_proxies_with_less_than_a_request_each_send_in_turn() {
    let setup = setup(87);
    let even = EvenShare { rate: 24.0 / 87.0, burst: 24.0 / 87.0, ahead: 2.0 };
    let quota = Quota { rate: 24.0, burst: even.burst };
    let mut proxies: Vec<Tenants> = (0..87).map(|seed| Tenants::new(REPORT_PERIOD_US, seed)).collect();
    let mut sent = 0;
    for step in 0..20 {
        let now = SECOND + step * REPORT_PERIOD_US / 4;
        for tenants in &mut proxies {
            if step % 4 == 0 {
                tenants.record_request(setup.plan);
                tenants.apply_reading(now, now, setup.plan, &reading(true), 87, quota);
            }
            if tenants.may_send(now, setup.plan, even, 87) {
                tenants.spend(now, setup.plan, even, 87);
                sent += 1;
            }
        }
    }
    let seconds = 20.0 * REPORT_PERIOD_US as f64 / 4.0 / 1e6;
    let allowed = 24.0 * seconds + 24.0;
    assert!(f64::from(sent) <= allowed, "{sent} in {seconds} s, {allowed} allowed");
    let least = 0.6 * 24.0 * seconds;
    assert!(f64::from(sent) >= least, "{sent} in {seconds} s, at least {least} expected");
}

/// A reading that was delayed must grant nothing that only a new one may grant.
#[test]
fn a_reading_holds_from_when_it_was_made() {
    let quota = Quota { rate: 10.0, burst: 1.0 };
    let all_here = Reading { tenant: 0, wanted: 5_000, used: 5_000, shares: 1_000 };
    for (made_ago, spread) in [(0, 1), (10 * REPORT_PERIOD_US, 10)] {
        let mut tenants = Tenants::new(REPORT_PERIOD_US, 1);
        let now = 100 * REPORT_PERIOD_US;
        tenants.take_report(now - REPORT_PERIOD_US, |_| 0);
        (0..20).for_each(|_| tenants.record_request(1));
        tenants.take_report(now, |_| 0);
        tenants.apply_reading(now, now - made_ago, 1, &all_here, 10, quota);
        assert_eq!(tenants.spread(now, 1, 10), spread, "made {made_ago} us ago");
    }
}

/// A reading that reports the end of a flood just after many proxies have restarted must not let anyone send
/// ahead.
#[test]
fn nothing_is_sent_ahead_for_a_while_after_a_flood() {
    let (quota, even) = (Quota { rate: 10.0, burst: 0.5 }, EvenShare { rate: 0.1, burst: 0.5, ahead: 2.0 });
    let flood = Reading { tenant: 0, wanted: 60_000, used: 9_000, shares: 100_000 };
    let over = Reading { tenant: 0, wanted: 3_000, used: 3_000, shares: 100_000 };
    let mut tenants = Tenants::new(REPORT_PERIOD_US, 1);
    let now = 10 * REPORT_PERIOD_US;
    tenants.apply_reading(now, now, 1, &flood, 100, quota);
    tenants.spend(now, 1, even, 100);
    tenants.apply_reading(now + REPORT_PERIOD_US, now + REPORT_PERIOD_US, 1, &over, 100, quota);
    assert!(
        !tenants.may_send(now + REPORT_PERIOD_US, 1, even, 100),
        "readings fluctuate: nothing is forgiven yet"
    );
    let later = now + 20 * REPORT_PERIOD_US;
    tenants.apply_reading(later, later, 1, &over, 100, quota);
    assert!(tenants.may_send(later, 1, even, 100), "the flood is over");
}
