//! Tests of what proxies reserve for a booking: never more than agreed in total, ramped up and down, and
//! without reading the time of day.

mod common;

use cluster::booking::{BookChange, Booking, Phase, Unused};
use cluster::copy::Copy;
use cluster::state::Command;
use cluster::talk::News;
use common::*;
use proxy::dispatcher::{Dispatcher, Input};
use proxy::reservations::{BookingTimes, Reservations};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

const MS: u64 = 1000;
const TIMES: BookingTimes = BookingTimes { settle_us: 3 * SECOND, hold_us: 5 * SECOND };

fn booking(flight: u32, ramp_ms: u32) -> Booking {
    Booking {
        name: "night".into(),
        tenants: vec!["reed".into()],
        routes: Vec::new(),
        service: "heron".into(),
        flight,
        residence_ms: 1000,
        opens_ms: 1_000_000,
        closes_ms: 1_060_000,
        ramp_ms,
        unused: Unused::Hold,
    }
}

fn put(booking: Booking, base: u64) -> Command {
    Command::Book(BookChange::Put { booking, base, room: 1000 })
}

fn phase(epoch: u64, phase: Phase) -> Command {
    Command::Book(BookChange::Phase { name: "night".into(), epoch, phase })
}

fn divide(number: u64, parts: &[u32]) -> Command {
    let parts = (1..).zip(parts).map(|(n, part)| (Ipv4Addr::new(10, 0, 0, n), *part)).collect();
    Command::Book(BookChange::Divide { name: "night".into(), number, parts })
}

/// A proxy that learns of each command at once; it stays in contact while [`SingleProxy::advance`] advances
/// the time.
struct SingleProxy {
    copy: Copy,
    reservations: Reservations,
    now: u64,
}

impl SingleProxy {
    fn new() -> SingleProxy {
        let mut proxy = SingleProxy {
            copy: Copy::default(),
            reservations: Reservations::new(node(1, "north-a").ip, TIMES),
            now: SECOND,
        };
        proxy.reservations.set_longest_request(2 * SECOND);
        proxy.reservations.set_fresh_at(proxy.now, Some(proxy.now));
        proxy.advance(4 * SECOND);
        proxy
    }

    fn learn(&mut self, command: Command) {
        let rev = self.copy.rev() + 1;
        self.copy.apply(self.now, rev, Some(command));
        self.reservations.apply_state(self.now, &self.copy.state, false);
    }

    /// Advances the time while in contact.
    fn advance(&mut self, us: u64) {
        let until = self.now + us;
        while self.now < until {
            self.now = (self.now + 500 * MS).min(until);
            self.reservations.set_fresh_at(self.now, Some(self.now));
        }
    }

    fn part(&self) -> u32 {
        self.reservations.status(self.now).get("night").map_or(0, |s| s.part)
    }

    fn first(&self) -> u32 {
        self.reservations.status(self.now).get("night").map_or(0, |s| s.first)
    }

    fn is_open_to_caller(&self) -> bool {
        self.reservations.booking_number(self.now, Some("reed"), "get", "heron") > 0
    }
}

#[test]
fn a_part_that_grows_waits_until_all_have_heard_and_one_that_shrinks_does_not() {
    let mut proxy = SingleProxy::new();
    proxy.learn(put(booking(12, 0), 0));
    proxy.learn(divide(1, &[4, 8]));
    proxy.advance(TIMES.settle_us - MS);
    assert_eq!(proxy.part(), 0);
    proxy.advance(MS);
    assert_eq!(proxy.part(), 4);
    proxy.learn(divide(2, &[9, 3]));
    proxy.advance(SECOND);
    proxy.learn(divide(3, &[6, 6]));
    assert_eq!(proxy.part(), 4);
    proxy.learn(divide(4, &[2, 10]));
    assert_eq!(proxy.part(), 2);
    proxy.learn(divide(5, &[12, 0]));
    proxy.advance(TIMES.settle_us - MS);
    assert_eq!(proxy.part(), 2);
    proxy.advance(MS);
    assert_eq!(proxy.part(), 12);
}

#[test]
fn a_reservation_follows_the_ramp_and_covers_only_the_booked_callers() {
    let mut proxy = SingleProxy::new();
    proxy.learn(put(booking(12, 4000), 0));
    proxy.learn(divide(1, &[8, 4]));
    proxy.advance(10 * SECOND);
    assert_eq!(
        (proxy.part(), proxy.first(), proxy.is_open_to_caller()),
        (8, 0, false),
        "divided but not open yet"
    );
    proxy.learn(phase(1, Phase::Open));
    let mut amounts = Vec::new();
    for _ in 0..9 {
        amounts.push(proxy.first());
        proxy.advance(500 * MS);
    }
    assert_eq!(amounts, [0, 1, 2, 3, 4, 5, 6, 7, 8]);
    assert!(proxy.is_open_to_caller());
    assert_eq!(proxy.reservations.booking_number(proxy.now, Some("rush"), "get", "heron"), 0);
    assert_eq!(proxy.reservations.booking_number(proxy.now, Some("reed"), "get", "stilt"), 0);
    proxy.learn(phase(2, Phase::Closing));
    proxy.advance(2 * SECOND);
    assert_eq!((proxy.first(), proxy.is_open_to_caller()), (4, true));
    proxy.advance(2 * SECOND);
    assert_eq!((proxy.first(), proxy.is_open_to_caller()), (0, false));
    proxy.advance(3 * SECOND);
    proxy.learn(phase(3, Phase::Ended));
    assert!(proxy.reservations.is_empty());
}

#[test]
fn a_booking_nobody_closes_ends_by_the_proxys_clock_and_one_nobody_opens_stays_closed() {
    let mut proxy = SingleProxy::new();
    proxy.learn(put(booking(12, 0), 0));
    proxy.learn(divide(1, &[8, 4]));
    proxy.advance(200 * SECOND);
    assert!(!proxy.is_open_to_caller());
    proxy.learn(phase(1, Phase::Open));
    proxy.advance(65 * SECOND - MS);
    assert!(proxy.is_open_to_caller());
    proxy.advance(MS);
    assert!(!proxy.is_open_to_caller());
    assert_eq!(proxy.first(), 0);
}

#[test]
fn a_proxy_out_of_contact_reserves_nothing_and_settles_before_it_reserves_again() {
    let mut proxy = SingleProxy::new();
    proxy.learn(put(booking(12, 0), 0));
    proxy.learn(divide(1, &[8, 4]));
    proxy.learn(phase(1, Phase::Open));
    proxy.advance(4 * SECOND);
    assert_eq!(proxy.first(), 8);
    proxy.now += TIMES.settle_us;
    assert_eq!(proxy.first(), 8);
    proxy.now += 1;
    assert_eq!((proxy.first(), proxy.is_open_to_caller()), (0, true));
    proxy.advance(TIMES.settle_us);
    assert_eq!(proxy.first(), 0);
    proxy.advance(MS * 500);
    assert_eq!(proxy.first(), 8);
}

/// Simulates three proxies with divisions at random times and news that come late, are cut off or arrive as
/// a whole state; proxies restart, too. Returns the largest excess over the booking, and the largest sum of
/// the parts. `blind`: proxies don't notice that they are out of contact.
fn simulate(seed: u64, blind: bool) -> (i64, u32) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let flight = 12;
    let mut log: Vec<(u64, Command)> = vec![(0, put(booking(flight, 0), 0)), (0, phase(1, Phase::Open))];
    let dispatcher = |n: u8| {
        let mut place = place(n, "north-a");
        place.booking_times = TIMES;
        Dispatcher::new(place, SECOND, 1, 0)
    };
    let mut proxies: Vec<(Dispatcher, u64)> = (1..=3).map(|n| (dispatcher(n), 0)).collect();
    let mut cut_off_until = [0u64; 3];
    let (mut excess, mut largest_sum) = (i64::MIN, 0);
    let mut number = 0;
    for step in 1..600u64 {
        let now = step * 100 * MS;
        if rng.u32(0..12) == 0 {
            number += 1;
            let (a, b) = (rng.u32(0..=flight), rng.u32(0..=flight));
            let parts = [a.min(b), a.abs_diff(b), flight - a.max(b)];
            log.push((now, divide(number, &parts)));
        }
        for n in 0..3 {
            if rng.u32(0..80) == 0 {
                cut_off_until[n] = now + rng.u64(0..10 * SECOND);
            }
            if rng.u32(0..200) == 0 {
                proxies[n] = (dispatcher(n as u8 + 1), 0);
            }
            let (dispatcher, at) = &mut proxies[n];
            // News are late by at most the time within which all proxies in contact learn of a change.
            let late = if rng.u32(0..4) == 0 { rng.u64(0..TIMES.settle_us) } else { 200 * MS };
            let heard = now.saturating_sub(late);
            if now >= cut_off_until[n] && rng.u32(0..3) > 0 && heard >= *at {
                let from = dispatcher.copy.rev();
                let up_to = log.iter().filter(|c| c.0 <= heard).count() as u64;
                if up_to > from {
                    let commands: Vec<_> =
                        (1..=up_to).zip(log.iter().map(|c| c.1.clone())).filter(|c| c.0 > from).collect();
                    let news = if rng.u32(0..4) == 0 {
                        let all = log.iter().take(up_to as usize).map(|c| c.1.clone());
                        News::Whole(copy(now, all.collect()).state.write(now))
                    } else {
                        News::Run { from, to: up_to, commands }
                    };
                    dispatcher.handle(now, Input::News(news), &mut Vec::new());
                }
                *at = heard;
                dispatcher.set_fresh_at(now, Some(heard));
            }
            if blind {
                dispatcher.set_fresh_at(now, Some(now));
            }
            dispatcher.handle(now, Input::Tick, &mut Vec::new());
        }
        let sum: u32 = proxies.iter().map(|p| p.0.bookings().get("night").map_or(0, |s| s.part)).sum();
        excess = excess.max(i64::from(sum) - i64::from(flight));
        largest_sum = largest_sum.max(sum);
    }
    (excess, largest_sum)
}

#[test]
fn parts_never_come_to_more_than_the_booking_whoever_is_cut_off() {
    let mut used = 0;
    for seed in 0..300 {
        let (excess, largest_sum) = simulate(seed, false);
        assert!(excess <= 0, "seed {seed}: {excess} more than booked");
        used += u32::from(largest_sum == 12);
    }
    assert!(used > 100, "seeds that reserved the whole booking: {used}");
    // Control: proxies that don't notice a lost connection keep parts that others have by now.
    assert!((0..30).any(|seed| simulate(seed, true).0 > 0));
}

#[test]
fn use_is_reported_under_the_bookings_own_key_and_not_without_one() {
    let mut proxy = Proxy::with(&[("a", "north-a"), ("b", "north-a")]);
    let key = cluster::booking::key("night");
    let reported = |proxy: &mut Proxy| -> BTreeMap<u32, u32> {
        for _ in 0..4 {
            proxy.ask("/get/", Some("k1"));
        }
        proxy.now += SECOND / 3;
        proxy.dispatcher.tenant_usage(proxy.now).into_iter().map(|u| (u.tenant, u.wanted)).collect()
    };
    assert!(!reported(&mut proxy).contains_key(&key));
    proxy.learn(put(booking(12, 0), 0));
    assert!(!reported(&mut proxy).contains_key(&key), "not open yet");
    proxy.learn(phase(1, Phase::Open));
    assert!(reported(&mut proxy).get(&key).is_some_and(|wanted| *wanted > 1000));
}
