//! Quotas: token buckets, shares of a quota among gateways, caps on work in flight, ceilings.

mod common;
use common::*;
use curlewfront::*;

/// A request of a customer that uses only this gateway, so that no quota is split.
fn sole(id: u64) -> NewRequest {
    NewRequest { spread: 1, ..request(id) }
}

#[test]
fn the_bucket_lets_its_burst_through_and_then_its_rate() {
    let mut g = Gateway::with_servers(settings(rate(2.0, 4.0)), 4);
    for id in 0..4 {
        assert_eq!(refused(&g.submit(sole(id))), 0, "request {id} is within the burst");
    }
    assert_eq!(refused(&g.submit(sole(4))), 1);
    // Two units a second: the next one after half a second.
    g.advance(490 * MS);
    assert_eq!(refused(&g.submit(sole(5))), 1);
    g.advance(20 * MS);
    assert_eq!(refused(&g.submit(sole(6))), 0);
}

#[test]
fn the_burst_here_is_at_least_the_even_part_and_less_than_all() {
    let mut g = Gateway::with_servers(settings(rate(0.1, 20.0)), 4);
    let admitted = (0..30).filter(|id| refused(&g.submit(request(*id))) == 0).count();
    assert!((10..20).contains(&admitted), "{admitted} of a burst of 20 over two gateways");
}

#[test]
fn a_refusal_over_quota_says_when_there_will_be_room() {
    let mut g = Gateway::with_servers(settings(rate(2.0, 1.0)), 4);
    g.submit(sole(0));
    let actions = g.submit(sole(1));
    assert!(
        matches!(actions[0], Action::Refuse { id: 1, retry_after_us, .. } if retry_after_us.abs_diff(500 * MS) < 2)
    );
}

#[test]
fn a_retry_after_stays_within_what_clients_honour_and_is_left_out_where_not_allowed() {
    let mut set = settings(rate(0.1, 2.0));
    let mut g = Gateway::with_servers(set.clone(), 4);
    g.submit(request(0));
    assert!(
        matches!(g.submit(request(1))[0], Action::Refuse { retry_after_us, .. } if retry_after_us == SEC)
    );
    set.retry_after = false;
    let mut g = Gateway::with_servers(set, 4);
    g.submit(request(0));
    assert!(matches!(g.submit(request(1))[0], Action::Refuse { retry_after_us: 0, .. }));
}

#[test]
fn the_true_units_take_the_place_of_the_guess() {
    let mut set = settings(rate(4.0, 8.0));
    set.trued_up = true;
    let mut g = Gateway::with_servers(set, 4);
    let server = sent(&g.submit(request(0)))[0];
    g.end_attempt(AttemptEnd { final_units: Some(4.0), ..attempt_end(0, 0, server, Outcome::Ok) });
    // All four units of this gateway's share are used, not one.
    assert_eq!(refused(&g.submit(request(1))), 1);
}

#[test]
fn malformed_final_units_or_meter_readings_are_ignored() {
    let mut set = settings(rate(4.0, 8.0));
    set.trued_up = true;
    let mut g = Gateway::with_servers(set, 4);
    let server = sent(&g.submit(request(0)))[0];
    g.end_attempt(AttemptEnd {
        final_units: Some(f64::NAN),
        used: Some(f64::NAN),
        ..attempt_end(0, 0, server, Outcome::Ok)
    });
    for id in 1..4 {
        assert_eq!(refused(&g.submit(request(id))), 0);
    }
    assert_eq!(refused(&g.submit(request(4))), 1);
}

/// Requests served in 20 s while the meter reads `used`, or without readings.
fn served_with_reading(plan: Plan, used: Option<f64>) -> usize {
    let mut g = Gateway::with_servers(settings(plan), 8);
    let mut served = 0;
    for id in 0..2000 {
        let actions = g.submit(request(id));
        for server in sent(&actions) {
            served += 1;
            g.end_attempt(AttemptEnd { used, ..attempt_end(id, 0, server, Outcome::Ok) });
        }
        g.advance(10 * MS);
    }
    served
}

#[test]
fn the_share_of_a_quota_rises_with_the_unused_quota_read_and_falls_back_without_it() {
    let no_reading = served_with_reading(rate(10.0, 10.0), None);
    let full = served_with_reading(rate(10.0, 10.0), Some(1.0));
    let idle = served_with_reading(rate(10.0, 10.0), Some(0.1));
    // 20 s at five a second, and five of the burst.
    assert!((104..=106).contains(&no_reading), "{no_reading}");
    assert_eq!(full, no_reading);
    assert!(idle > no_reading + 20, "unused quota of 0.9 must raise {no_reading} further than to {idle}");
    assert!(idle <= 5 + 190, "{idle} exceeds the even share and the unused quota");
}

/// Requests served, of 60 in 75 s, at one of 90 gateways, with this reading on each answer.
fn served_at_one_of_ninety(plan: Plan, used: f64) -> usize {
    let set = Settings { balancers: 90, index: 3, ..settings(plan) };
    let mut g = Gateway::with_servers(set, 8);
    let mut served = 0;
    for id in 0..60 {
        let mut actions = g.submit(NewRequest { spread: 90, ..request(id) });
        for _ in 0..125 {
            for act in actions.drain(..) {
                if let Action::Send { id, server, .. } = act {
                    served += 1;
                    g.end_attempt(AttemptEnd { used: Some(used), ..attempt_end(id, 0, server, Outcome::Ok) });
                }
            }
            actions = g.advance(10 * MS);
        }
    }
    served
}

#[test]
fn a_calm_customer_of_many_gateways_gets_what_it_asks_at_one_of_them_and_a_heavy_one_the_even_share() {
    // The traffic is uneven: a request each 1.25 s here, nearly four times the even share.
    let light = served_at_one_of_ninety(rate(20.0, 25.0), 0.4);
    let heavy = served_at_one_of_ninety(rate(20.0, 25.0), 3.0);
    assert!(light >= 54, "{light} of 60, though quota is unused");
    assert!((14..=19).contains(&heavy), "{heavy} in 75 s at 20/90 a second");
}

#[test]
fn a_full_limit_over_many_gateways_is_kept_on_the_average_over_time() {
    // Two attempts over ninety gateways: each has a part under one. While the meter reads no more than half,
    // one is sent at a time; once it reads too much, so rarely that all gateways together keep the limit.
    let light = served_at_one_of_ninety(Plan { at_once: 2, ..Plan::default() }, 0.5);
    let over = served_at_one_of_ninety(Plan { at_once: 2, ..Plan::default() }, 2.0);
    assert!(light >= 54, "{light} of 60");
    assert!((1..=10).contains(&over), "{over} of 60");
}

#[test]
fn a_first_low_reading_counts_at_once_where_readings_are_rare() {
    // Many requests, but only the first answer has a reading: with many gateways the first reading counts.
    let served = |spread: u32| {
        let set = Settings { balancers: 100, ..settings(rate(20.0, 10.0)) };
        let mut g = Gateway::with_servers(set, 8);
        let mut served = 0;
        for id in 0..40 {
            for server in sent(&g.submit(NewRequest { spread, ..request(id) })) {
                served += 1;
                let used = (id == 0).then_some(0.1);
                g.end_attempt(AttemptEnd { used, ..attempt_end(id, 0, server, Outcome::Ok) });
            }
            g.advance(100 * MS);
        }
        served
    };
    // 20/100 a second is the even share, one in four seconds beside the burst.
    assert!(served(100) >= 4, "{}", served(100));
}

#[test]
fn with_a_rate_a_concurrency_limit_under_one_per_gateway_is_kept_over_time_and_requests_wait() {
    // Two attempts over eight gateways: a quarter of one here. Answers take 0.1 s, so the next attempt may be
    // sent 0.4 s after the last; the meter reads only the rate, which is far from full.
    let plan = Plan { at_once: 2, ..rate(400.0, 400.0) };
    let set = Settings { balancers: 8, index: 1, ..settings(plan) };
    let mut g = Gateway::with_servers(set, 8);
    let mut sends = Vec::new();
    for id in 0..400 {
        g.submit(NewRequest { spread: 8, ..request(id) });
        for step in 0..20 {
            let in_flight =
                g.log.iter().rev().take_while(|(at, _)| *at == g.now).find_map(|(_, a)| match a {
                    Action::Send { id, server, .. } => Some((*id, *server)),
                    _ => None,
                });
            if let Some((id, server)) =
                in_flight.filter(|o| sends.last().is_none_or(|(_, last)| *last != o.0))
            {
                sends.push((g.now, id));
                let n = AttemptEnd {
                    latency_us: 100 * MS,
                    used: Some(0.1),
                    ..attempt_end(id, 0, server, Outcome::Ok)
                };
                g.end_attempt(n);
            }
            if step % 2 == 0 {
                g.advance(MS);
            }
        }
    }
    let gaps: Vec<Micros> = sends.windows(2).map(|w| w[1].0 - w[0].0).collect();
    assert!(sends.len() >= 8, "waiting requests are sent: {sends:?}");
    assert!(gaps.iter().all(|gap| *gap >= 350 * MS), "{gaps:?}");
}

#[test]
fn a_request_over_a_full_limit_is_refused_at_once_with_a_retry_after() {
    let set = Settings { balancers: 90, ..settings(Plan { at_once: 2, ..Plan::default() }) };
    let mut g = Gateway::with_servers(set, 8);
    let server = sent(&g.submit(NewRequest { spread: 90, ..request(0) }))[0];
    g.end_attempt(AttemptEnd { used: Some(2.0), ..attempt_end(0, 0, server, Outcome::Ok) });
    let actions = g.submit(NewRequest { spread: 90, ..request(1) });
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::Refuse { id: 1, retry_after_us, .. } if *retry_after_us > 0))
    );
}

#[test]
fn under_a_ceiling_shares_stay_even() {
    let plan = Plan { ceiling_rate: 20.0, ceiling_burst: 20.0, ..rate(10.0, 10.0) };
    assert_eq!(served_with_reading(plan.clone(), Some(0.1)), served_with_reading(plan, None));
}

#[test]
fn a_flood_after_light_use_loses_the_raised_share_at_once() {
    let mut g = Gateway::with_servers(settings(rate(10.0, 10.0)), 8);
    let mut served = [0, 0];
    for id in 0..4000 {
        let actions = g.submit(request(id));
        let phase = usize::from(id >= 2000);
        for server in sent(&actions) {
            served[phase] += 1;
            let used = Some(if phase == 0 { 0.1 } else { 2.0 });
            g.end_attempt(AttemptEnd { used, ..attempt_end(id, 0, server, Outcome::Ok) });
        }
        g.advance(10 * MS);
    }
    assert!(served[0] > 125, "raised under light use: {}", served[0]);
    assert!(served[1] <= 101, "five a second once the meter reads full: {}", served[1]);
}

#[test]
fn what_a_customer_has_in_flight_is_capped_by_littles_law_and_the_rest_waits() {
    // Share of the rate 2/s x aim 1 s + local burst 4 = 6 units in flight; the bucket alone would allow more over time.
    let mut g = Gateway::with_servers(settings(rate(4.0, 8.0)), 8);
    let mut in_flight = 0;
    for id in 0..12 {
        in_flight += sent(&g.submit(request(id))).len();
        in_flight += sent(&g.advance(400 * MS)).len();
        if id == 5 {
            assert!(in_flight <= 6, "{in_flight}");
        }
    }
    assert!(g.log.iter().any(|(_, a)| matches!(a, Action::Send { .. })));
}

#[test]
fn a_concurrency_limit_is_split_in_whole_parts_that_add_up_to_it() {
    let plan = Plan { at_once: 5, ..Plan::default() };
    let mut total = 0;
    for index in 0..2 {
        let mut g = Gateway::with_servers(Settings { index, ..settings(plan.clone()) }, 8);
        total += (0..10).map(|id| sent(&g.submit(request(id))).len()).sum::<usize>();
    }
    assert_eq!(total, 5);
}

#[test]
fn a_retry_counts_as_in_flight_where_attempts_are_capped() {
    let mut g = Gateway::with_servers(settings(Plan { at_once: 2, ..Plan::default() }), 8);
    let server = sent(&g.submit(request(0)))[0];
    assert_eq!(sent(&g.submit(request(1))).len(), 0, "its part of the limit is one");
    let again = sent(&g.end_attempt(attempt_end(0, 0, server, Outcome::Error)));
    assert_eq!(again.len(), 1, "the retry or the other request, not both");
}

#[test]
fn no_attempt_is_sent_while_the_meter_reads_a_small_limit_full() {
    let set = Settings { balancers: 4, index: 0, ..settings(Plan { at_once: 2, ..Plan::default() }) };
    let ask = |id| NewRequest { spread: 4, ..request(id) };
    let mut g = Gateway::with_servers(set, 8);
    // Its part is half an attempt: one is sent all the same.
    let server = sent(&g.submit(ask(0)))[0];
    g.end_attempt(AttemptEnd { used: Some(1.5), ..attempt_end(0, 0, server, Outcome::Ok) });
    assert_eq!(sent(&g.submit(ask(1))).len(), 0);
    // Once the reading has expired, one is sent again.
    g.advance(3 * SEC);
    assert_eq!(sent(&g.submit(ask(2))).len(), 1);
}

#[test]
fn a_ceiling_starts_empty_and_fills_at_the_even_rate() {
    let plan = Plan { ceiling_rate: 4.0, ceiling_burst: 8.0, ..Plan::default() };
    let mut g = Gateway::with_servers(settings(plan), 8);
    assert_eq!(sent(&g.submit(request(0))).len(), 0, "it may all have been spent before a restart");
    let actions = g.advance(520 * MS);
    assert_eq!(sent(&actions).len(), 1, "two units a second here");
}

/// Several gateways, some restarted, against the true token bucket of the customer's ceiling.
#[test]
fn even_parts_of_a_ceiling_never_overdraw_it_together() {
    for seed in 0..6u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let plan = Plan { ceiling_rate: 12.0, ceiling_burst: 30.0, ..Plan::default() };
        let set = |index| Settings { balancers: 3, index, ..settings(plan.clone()) };
        let mut gateways: Vec<_> = (0..3).map(|i| Gateway::with_servers(set(i), 8)).collect();
        let (mut bucket, mut id, mut sends) = (30.0f64, 0, 0);
        for _ in 0..20_000 {
            bucket = (bucket + 12.0 * 0.001).min(30.0);
            let which = rng.usize(0..3);
            if rng.u32(0..4000) == 0 {
                let now = gateways[which].now;
                gateways[which] = Gateway::new(set(which as u32));
                gateways[which].now = now;
                gateways[which].list(ListKind::Saved, &(1..=8).map(up).collect::<Vec<_>>());
            }
            for (n, g) in gateways.iter_mut().enumerate() {
                g.now += MS;
                let mut actions = g.handle(Event::Timer { token: 0 });
                if n == which && rng.u32(0..8) == 0 {
                    id += 1;
                    let units = rng.u32(1..=5) as f64;
                    actions.extend(g.submit(NewRequest {
                        units,
                        spread: 3,
                        id: id * 8 + units as u64,
                        ..request(0)
                    }));
                }
                for act in actions {
                    if let Action::Send { id, server, .. } = act {
                        bucket -= (id % 8) as f64;
                        sends += 1;
                        g.end_attempt(attempt_end(id, 0, server, Outcome::Ok));
                    }
                }
            }
            assert!(bucket >= -1e-6, "overdrawn to {bucket} with seed {seed}");
        }
        assert!(sends > 50, "the test must send, not only {sends}");
    }
}

#[test]
fn one_off_customers_are_forgotten() {
    // A customer that returns after a long time is like a new one, so its state can be dropped; otherwise memory and
    // the work per event would grow with every one-off customer.
    for plan in [rate(4.0, 8.0), no_quota(), Plan { at_once: 4, ..Plan::default() }] {
        let mut g = Gateway::with_servers(settings(plan), 8);
        for id in 0..100_000u64 {
            g.now += MS;
            let actions = g.submit(NewRequest { customer: 1000 + id, ..request(id) });
            for server in sent(&actions) {
                g.end_attempt(attempt_end(id, 0, server, Outcome::Ok));
            }
            g.log.clear();
        }
        assert!(g.decider.customers_known() < 5_000, "{}", g.decider.customers_known());
        assert_eq!(g.decider.requests_known(), 0);
    }
}

#[test]
fn a_meter_that_falls_silent_gives_the_even_share_back() {
    let mut g = Gateway::with_servers(settings(rate(10.0, 10.0)), 8);
    let mut served = [0, 0];
    for id in 0..4000 {
        let phase = usize::from(id >= 2000);
        // The second half follows a pause of more than two meter periods and has no readings.
        if id == 2000 {
            g.advance(3 * SEC);
        }
        for server in sent(&g.submit(request(id))) {
            served[phase] += 1;
            let used = (phase == 0).then_some(0.1);
            g.end_attempt(AttemptEnd { used, ..attempt_end(id, 0, server, Outcome::Ok) });
        }
        g.advance(10 * MS);
    }
    assert!(served[0] > 125, "{served:?}");
    assert!(served[1] <= 106, "{served:?}");
}

/// A plan whose excess earns something and costs nothing gets most of its quota at each of many gateways; one whose
/// excess costs more than it earns keeps its even shares, and so does the first plan at a few gateways.
#[test]
fn many_gateways_grant_most_of_a_quota_where_going_beyond_it_loses_nothing() {
    let lossless = Plan { over_worth: 0.3, ..rate(20.0, 25.0) };
    let costly = Plan { over_worth: 0.3, over_cost: 1.2, ..rate(20.0, 25.0) };
    assert!(served_at_one_of_ninety(lossless.clone(), 1.0) >= 58);
    assert_eq!(served_at_one_of_ninety(costly, 1.0), served_at_one_of_ninety(rate(20.0, 25.0), 1.0));
    assert_eq!(served_with_reading(lossless, Some(1.0)), served_with_reading(rate(20.0, 25.0), Some(1.0)));
}

// Guards against refusals below a small quota over many gateways: although the meter reads unused quota, the larger
// burst requires the tokens of a whole request, which an even share earns only in seconds.
#[test]
fn each_reading_that_shows_room_lets_one_more_request_out_at_any_of_many_gateways() {
    // Ten a second over 85 gateways; one gateway gets three requests a second for a while.
    for (used, least, most) in [(0.6, 28, 30), (0.9, 0, 12)] {
        let bounds = Settings {
            balancers: 85,
            light_use_below: 0.85,
            light_use_burst: 4.0,
            ..settings(rate(10.0, 4.0))
        };
        let mut g = Gateway::with_servers(Settings { starts_empty: true, meter_us: 300 * MS, ..bounds }, 8);
        let mut served = 0;
        for id in 0..30 {
            let mut actions = g.submit(NewRequest { spread: 85, ..request(id) });
            actions.extend(g.advance(300 * MS));
            for act in actions {
                if let Action::Send { id, server, .. } = act {
                    served += 1;
                    g.end_attempt(attempt_end(id, 0, server, Outcome::Ok));
                }
            }
            g.handle(Event::MeterReading { customer: 7, used });
        }
        assert!((least..=most).contains(&served), "{served} of 30 at a reading of {used}");
    }
}
