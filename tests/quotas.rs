//! Buckets, slices, caps, ceilings.

mod common;
use common::*;
use curlewfront::*;

/// A request of a customer that comes through this gateway alone: nothing is split.
fn sole(id: u64) -> NewRequest {
    NewRequest { spread: 1, ..request(id) }
}

#[test]
fn the_bucket_lets_its_burst_through_and_then_its_rate() {
    let mut g = Gateway::with_servers(settings(rate(2.0, 4.0)), 4);
    for id in 0..4 {
        assert_eq!(refused(&g.ask(sole(id))), 0, "request {id} is inside the burst");
    }
    assert_eq!(refused(&g.ask(sole(4))), 1);
    // Two units a second: one after half a second, not before.
    g.pass(490 * MS);
    assert_eq!(refused(&g.ask(sole(5))), 1);
    g.pass(20 * MS);
    assert_eq!(refused(&g.ask(sole(6))), 0);
}

#[test]
fn the_burst_here_is_at_least_the_even_part_and_less_than_all() {
    let mut g = Gateway::with_servers(settings(rate(0.1, 20.0)), 4);
    let through = (0..30).filter(|id| refused(&g.ask(request(*id))) == 0).count();
    assert!((10..20).contains(&through), "{through} of a burst of 20 over two gateways");
}

#[test]
fn over_quota_is_told_when_there_will_be_room() {
    let mut g = Gateway::with_servers(settings(rate(2.0, 1.0)), 4);
    g.ask(sole(0));
    let acts = g.ask(sole(1));
    assert!(
        matches!(acts[0], Action::Refuse { id: 1, retry_after_us, .. } if retry_after_us.abs_diff(500 * MS) < 2)
    );
}

#[test]
fn a_retry_after_stays_within_what_clients_honour_and_is_left_out_where_not_allowed() {
    let mut set = settings(rate(0.1, 2.0));
    let mut g = Gateway::with_servers(set.clone(), 4);
    g.ask(request(0));
    assert!(matches!(g.ask(request(1))[0], Action::Refuse { retry_after_us, .. } if retry_after_us == SEC));
    set.retry_after = false;
    let mut g = Gateway::with_servers(set, 4);
    g.ask(request(0));
    assert!(matches!(g.ask(request(1))[0], Action::Refuse { retry_after_us: 0, .. }));
}

#[test]
fn the_true_units_take_the_place_of_the_guess() {
    let mut set = settings(rate(4.0, 8.0));
    set.trued_up = true;
    let mut g = Gateway::with_servers(set, 4);
    let server = sent(&g.ask(request(0)))[0];
    g.back(AttemptEnd { final_units: Some(4.0), ..answer(0, 0, server, Outcome::Ok) });
    // Four of the four units here are gone, not one.
    assert_eq!(refused(&g.ask(request(1))), 1);
}

#[test]
fn a_malformed_settlement_or_meter_reading_is_passed_over() {
    let mut set = settings(rate(4.0, 8.0));
    set.trued_up = true;
    let mut g = Gateway::with_servers(set, 4);
    let server = sent(&g.ask(request(0)))[0];
    g.back(AttemptEnd {
        final_units: Some(f64::NAN),
        used: Some(f64::NAN),
        ..answer(0, 0, server, Outcome::Ok)
    });
    for id in 1..4 {
        assert_eq!(refused(&g.ask(request(id))), 0);
    }
    assert_eq!(refused(&g.ask(request(4))), 1);
}

/// How many requests get through in ten seconds when the meter reads `used`, or says nothing.
fn let_through(plan: Plan, used: Option<f64>) -> usize {
    let mut g = Gateway::with_servers(settings(plan), 8);
    let mut through = 0;
    for id in 0..2000 {
        let acts = g.ask(request(id));
        for server in sent(&acts) {
            through += 1;
            g.back(AttemptEnd { used, ..answer(id, 0, server, Outcome::Ok) });
        }
        g.pass(10 * MS);
    }
    through
}

#[test]
fn a_slice_rises_by_the_room_the_meter_leaves_and_falls_back_without_it() {
    let silent = let_through(rate(10.0, 10.0), None);
    let full = let_through(rate(10.0, 10.0), Some(1.0));
    let idle = let_through(rate(10.0, 10.0), Some(0.1));
    // Twenty seconds at five a second, and five of the burst.
    assert!((104..=106).contains(&silent), "{silent}");
    assert_eq!(full, silent);
    assert!(idle > silent + 20, "room of 0.9 must raise {silent}, not only to {idle}");
    assert!(idle <= 5 + 190, "never above the even share and the room, {idle}");
}

/// How many of 60 requests get through in 75 seconds at one of 90 gateways, answered with this reading.
fn one_of_ninety(plan: Plan, used: f64) -> usize {
    let set = Settings { balancers: 90, index: 3, ..settings(plan) };
    let mut g = Gateway::with_servers(set, 8);
    let mut through = 0;
    for id in 0..60 {
        let mut acts = g.ask(NewRequest { spread: 90, ..request(id) });
        for _ in 0..125 {
            for act in acts.drain(..) {
                if let Action::Send { id, server, .. } = act {
                    through += 1;
                    g.back(AttemptEnd { used: Some(used), ..answer(id, 0, server, Outcome::Ok) });
                }
            }
            acts = g.pass(10 * MS);
        }
    }
    through
}

#[test]
fn a_calm_customer_of_many_gateways_gets_what_it_asks_at_one_of_them_and_a_heavy_one_the_even_share() {
    // Its traffic is uneven: a request each 1.25 s here, nearly four times the even share.
    let calm = one_of_ninety(rate(20.0, 25.0), 0.4);
    let heavy = one_of_ninety(rate(20.0, 25.0), 3.0);
    assert!(calm >= 54, "{calm} of 60, though the meter leaves room");
    assert!((14..=19).contains(&heavy), "{heavy} in 75 s at 20/90 a second");
}

#[test]
fn a_full_limit_over_many_gateways_is_kept_on_the_average_over_time() {
    // Two attempts over ninety gateways: none of them has a part of one. While the meter reads no more than
    // half, one goes out at a time; once it reads too much, so seldom that all together come to the limit.
    let calm = one_of_ninety(Plan { at_once: 2, ..Plan::default() }, 0.5);
    let over = one_of_ninety(Plan { at_once: 2, ..Plan::default() }, 2.0);
    assert!(calm >= 54, "{calm} of 60");
    assert!((1..=10).contains(&over), "{over} of 60");
}

#[test]
fn a_first_low_reading_is_believed_where_the_next_will_be_long_in_coming() {
    // Three requests within the meter's delay, after one answer: with many gateways the first reading counts.
    let through = |spread: u32| {
        let set = Settings { balancers: 100, ..settings(rate(20.0, 10.0)) };
        let mut g = Gateway::with_servers(set, 8);
        let mut through = 0;
        for id in 0..40 {
            for server in sent(&g.ask(NewRequest { spread, ..request(id) })) {
                through += 1;
                let used = (id == 0).then_some(0.1);
                g.back(AttemptEnd { used, ..answer(id, 0, server, Outcome::Ok) });
            }
            g.pass(100 * MS);
        }
        through
    };
    // 20/100 a second is the even share, one in four seconds beside the burst.
    assert!(through(100) >= 4, "{}", through(100));
}

#[test]
fn beside_a_rate_a_part_of_a_limit_under_one_is_kept_over_time_and_what_it_holds_back_waits() {
    // Two attempts over eight gateways: a quarter of one here. Answers take a tenth of a second, so the next
    // may go out four tenths after the last; the meter tells only the rate, which is far from full.
    let plan = Plan { at_once: 2, ..rate(400.0, 400.0) };
    let set = Settings { balancers: 8, index: 1, ..settings(plan) };
    let mut g = Gateway::with_servers(set, 8);
    let mut sends = Vec::new();
    for id in 0..400 {
        g.ask(NewRequest { spread: 8, ..request(id) });
        for step in 0..20 {
            let out = g.log.iter().rev().take_while(|(at, _)| *at == g.now).find_map(|(_, a)| match a {
                Action::Send { id, server, .. } => Some((*id, *server)),
                _ => None,
            });
            if let Some((id, server)) = out.filter(|o| sends.last().is_none_or(|(_, last)| *last != o.0)) {
                sends.push((g.now, id));
                let n = AttemptEnd {
                    latency_us: 100 * MS,
                    used: Some(0.1),
                    ..answer(id, 0, server, Outcome::Ok)
                };
                g.back(n);
            }
            if step % 2 == 0 {
                g.pass(MS);
            }
        }
    }
    let gaps: Vec<Micros> = sends.windows(2).map(|w| w[1].0 - w[0].0).collect();
    assert!(sends.len() >= 8, "what waits goes out: {sends:?}");
    assert!(gaps.iter().all(|gap| *gap >= 350 * MS), "{gaps:?}");
}

#[test]
fn what_a_full_limit_holds_back_is_refused_at_once_and_told_when_to_come_again() {
    let set = Settings { balancers: 90, ..settings(Plan { at_once: 2, ..Plan::default() }) };
    let mut g = Gateway::with_servers(set, 8);
    let server = sent(&g.ask(NewRequest { spread: 90, ..request(0) }))[0];
    g.back(AttemptEnd { used: Some(2.0), ..answer(0, 0, server, Outcome::Ok) });
    let acts = g.ask(NewRequest { spread: 90, ..request(1) });
    assert!(
        acts.iter().any(|a| matches!(a, Action::Refuse { id: 1, retry_after_us, .. } if *retry_after_us > 0))
    );
}

#[test]
fn under_a_ceiling_slices_stay_even() {
    let plan = Plan { ceiling_rate: 20.0, ceiling_burst: 20.0, ..rate(10.0, 10.0) };
    assert_eq!(let_through(plan.clone(), Some(0.1)), let_through(plan, None));
}

#[test]
fn a_flood_after_a_calm_past_loses_the_raised_slice_at_once() {
    let mut g = Gateway::with_servers(settings(rate(10.0, 10.0)), 8);
    let mut through = [0, 0];
    for id in 0..4000 {
        let acts = g.ask(request(id));
        let phase = usize::from(id >= 2000);
        for server in sent(&acts) {
            through[phase] += 1;
            let used = Some(if phase == 0 { 0.1 } else { 2.0 });
            g.back(AttemptEnd { used, ..answer(id, 0, server, Outcome::Ok) });
        }
        g.pass(10 * MS);
    }
    assert!(through[0] > 125, "raised while calm: {}", through[0]);
    assert!(through[1] <= 101, "five a second once the meter reads full: {}", through[1]);
}

#[test]
fn what_a_customer_has_out_is_capped_by_littles_law_and_the_rest_waits() {
    // Slice 2 x aim 1 s + burst here 4 = 6 units out; the bucket alone would let more through in time.
    let mut g = Gateway::with_servers(settings(rate(4.0, 8.0)), 8);
    let mut out = 0;
    for id in 0..12 {
        out += sent(&g.ask(request(id))).len();
        out += sent(&g.pass(400 * MS)).len();
        if id == 5 {
            assert!(out <= 6, "{out}");
        }
    }
    assert!(g.log.iter().any(|(_, a)| matches!(a, Action::Send { .. })));
}

#[test]
fn a_told_limit_is_split_in_whole_parts_that_add_up_to_it() {
    let plan = Plan { at_once: 5, ..Plan::default() };
    let mut total = 0;
    for index in 0..2 {
        let mut g = Gateway::with_servers(Settings { index, ..settings(plan.clone()) }, 8);
        total += (0..10).map(|id| sent(&g.ask(request(id))).len()).sum::<usize>();
    }
    assert_eq!(total, 5);
}

#[test]
fn a_further_attempt_counts_as_out_where_attempts_are_capped() {
    let mut g = Gateway::with_servers(settings(Plan { at_once: 2, ..Plan::default() }), 8);
    let server = sent(&g.ask(request(0)))[0];
    assert_eq!(sent(&g.ask(request(1))).len(), 0, "its part is one");
    let again = sent(&g.back(answer(0, 0, server, Outcome::Error)));
    assert_eq!(again.len(), 1, "the further attempt or the other request, not both");
}

#[test]
fn the_least_attempt_gives_way_while_the_meter_reads_a_small_limit_full() {
    let set = Settings { balancers: 4, index: 0, ..settings(Plan { at_once: 2, ..Plan::default() }) };
    let ask = |id| NewRequest { spread: 4, ..request(id) };
    let mut g = Gateway::with_servers(set, 8);
    // A part of half an attempt: the least one goes out.
    let server = sent(&g.ask(ask(0)))[0];
    g.back(AttemptEnd { used: Some(1.5), ..answer(0, 0, server, Outcome::Ok) });
    assert_eq!(sent(&g.ask(ask(1))).len(), 0);
    // Once the meter is silent, one goes out again.
    g.pass(3 * SEC);
    assert_eq!(sent(&g.ask(ask(2))).len(), 1);
}

#[test]
fn a_ceiling_starts_empty_and_fills_at_the_even_rate() {
    let plan = Plan { ceiling_rate: 4.0, ceiling_burst: 8.0, ..Plan::default() };
    let mut g = Gateway::with_servers(settings(plan), 8);
    assert_eq!(sent(&g.ask(request(0))).len(), 0, "an earlier life may have spent it all");
    let acts = g.pass(520 * MS);
    assert_eq!(sent(&acts).len(), 1, "two units a second here");
}

/// Several gateways, restarts included, against the customer's true store.
#[test]
fn even_parts_of_a_ceiling_never_overdraw_it_together() {
    for seed in 0..6u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let plan = Plan { ceiling_rate: 12.0, ceiling_burst: 30.0, ..Plan::default() };
        let set = |index| Settings { balancers: 3, index, ..settings(plan.clone()) };
        let mut gateways: Vec<_> = (0..3).map(|i| Gateway::with_servers(set(i), 8)).collect();
        let (mut store, mut id, mut sends) = (30.0f64, 0, 0);
        for _ in 0..20_000 {
            store = (store + 12.0 * 0.001).min(30.0);
            let which = rng.usize(0..3);
            if rng.u32(0..4000) == 0 {
                let now = gateways[which].now;
                gateways[which] = Gateway::new(set(which as u32));
                gateways[which].now = now;
                gateways[which].list(ListKind::Saved, &(1..=8).map(up).collect::<Vec<_>>());
            }
            for (n, g) in gateways.iter_mut().enumerate() {
                g.now += MS;
                let mut acts = g.tell(Event::Timer { token: 0 });
                if n == which && rng.u32(0..8) == 0 {
                    id += 1;
                    let units = rng.u32(1..=5) as f64;
                    acts.extend(g.ask(NewRequest {
                        units,
                        spread: 3,
                        id: id * 8 + units as u64,
                        ..request(0)
                    }));
                }
                for act in acts {
                    if let Action::Send { id, server, .. } = act {
                        store -= (id % 8) as f64;
                        sends += 1;
                        g.back(answer(id, 0, server, Outcome::Ok));
                    }
                }
            }
            assert!(store >= -1e-6, "overdrawn to {store} with seed {seed}");
        }
        assert!(sends > 50, "the test must send, not only {sends}");
    }
}

#[test]
fn one_off_customers_are_forgotten() {
    // Seen from outside: a customer that comes again after long is as good as new, and the work for an event
    // stays the same, so a hundred thousand strangers take no longer than their number.
    for plan in [rate(4.0, 8.0), free(), Plan { at_once: 4, ..Plan::default() }] {
        let mut g = Gateway::with_servers(settings(plan), 8);
        for id in 0..100_000u64 {
            g.now += MS;
            let acts = g.ask(NewRequest { customer: 1000 + id, ..request(id) });
            for server in sent(&acts) {
                g.back(answer(id, 0, server, Outcome::Ok));
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
    let mut through = [0, 0];
    for id in 0..4000 {
        let phase = usize::from(id >= 2000);
        // The second half comes after a pause longer than two periods of the meter, and the meter stays silent.
        if id == 2000 {
            g.pass(3 * SEC);
        }
        for server in sent(&g.ask(request(id))) {
            through[phase] += 1;
            let used = (phase == 0).then_some(0.1);
            g.back(AttemptEnd { used, ..answer(id, 0, server, Outcome::Ok) });
        }
        g.pass(10 * MS);
    }
    assert!(through[0] > 125, "{through:?}");
    assert!(through[1] <= 106, "{through:?}");
}

/// A plan whose excess earns something and costs nothing has room at each of many gateways; one whose excess
/// costs keeps its even shares, and so does the former at a few gateways.
#[test]
fn many_gateways_grant_most_of_a_quota_where_going_beyond_it_loses_nothing() {
    let lossless = Plan { over_worth: 0.3, ..rate(20.0, 25.0) };
    let costly = Plan { over_worth: 0.3, over_cost: 1.2, ..rate(20.0, 25.0) };
    assert!(one_of_ninety(lossless.clone(), 1.0) >= 58);
    assert_eq!(one_of_ninety(costly, 1.0), one_of_ninety(rate(20.0, 25.0), 1.0));
    assert_eq!(let_through(lossless, Some(1.0)), let_through(rate(20.0, 25.0), Some(1.0)));
}

// Guards against requests refused below a small quota that comes through many gateways: with room read, the larger
// burst asked for a whole request saved up, which an even share earns in seconds.
#[test]
fn each_reading_that_shows_room_lets_one_more_request_out_at_any_of_many_gateways() {
    // Ten a second over 85 gateways; here three are asked a second, at one gateway for a while.
    for (used, least, most) in [(0.6, 28, 30), (0.9, 0, 12)] {
        let bounds = Settings {
            balancers: 85,
            light_use_below: 0.85,
            light_use_burst: 4.0,
            ..settings(rate(10.0, 4.0))
        };
        let mut g = Gateway::with_servers(Settings { starts_empty: true, meter_us: 300 * MS, ..bounds }, 8);
        let mut through = 0;
        for id in 0..30 {
            let mut acts = g.ask(NewRequest { spread: 85, ..request(id) });
            acts.extend(g.pass(300 * MS));
            for act in acts {
                if let Action::Send { id, server, .. } = act {
                    through += 1;
                    g.back(answer(id, 0, server, Outcome::Ok));
                }
            }
            g.tell(Event::MeterReading { customer: 7, used });
        }
        assert!((least..=most).contains(&through), "{through} of 30 at a reading of {used}");
    }
}
