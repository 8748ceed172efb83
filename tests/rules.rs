//! The rules that hold under any valid settings: one answer in time, no forbidden repeats, no attempts to servers that
//! drain, slow start, and no harm from unexpected events.

mod common;
use common::*;
use curlewfront::*;
use std::collections::HashMap;

fn gateway(effect: Effect) -> Gateway {
    let mut set = settings(no_quota());
    set.classes = vec![class(effect)];
    let mut g = Gateway::new(set);
    let entry = |server| Entry { zone: (server % 2) as u32, cell: (server % 4) as u32, ..up(server) };
    g.list(ListKind::Saved, &(1..=8).map(entry).collect::<Vec<_>>());
    g
}

#[test]
fn every_request_is_answered_before_its_time_is_up() {
    for left_us in [0, 20 * MS, 300 * MS, 3 * SEC] {
        let mut g = Gateway::with_servers(settings(no_quota()), 2);
        let mut actions = g.submit(NewRequest { left_us, ..request(1) });
        actions.extend(g.advance(left_us.max(20 * MS)));
        assert_eq!(refused(&actions) + failed(&actions), 1, "with {left_us} left");
    }
}

#[test]
fn no_server_at_all_means_waiting_and_then_a_refusal() {
    let mut g = Gateway::with_servers(settings(no_quota()), 0);
    let mut actions = g.submit(request(1));
    assert!(refused(&actions) == 0);
    actions.extend(g.advance(SEC));
    assert_eq!((sent(&actions).len(), refused(&actions)), (0, 1));
    // A server that comes up in time gets the waiting request.
    g.submit(request(2));
    g.list(ListKind::Full, &[up(1)]);
    assert_eq!(sent(&g.advance(100 * MS)), [1]);
}

#[test]
fn a_request_that_may_have_run_once_is_neither_sent_again_nor_refused() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset] {
        let mut g = gateway(Effect::Once);
        let server = sent(&g.submit(request(1)))[0];
        assert_eq!(sent(&g.advance(700 * MS)).len(), 0, "no second copy");
        let actions = g.end_attempt(attempt_end(1, 0, server, outcome));
        assert_eq!((sent(&actions).len(), refused(&actions), failed(&actions)), (0, 0, 1), "{outcome:?}");
    }
}

#[test]
fn a_request_that_never_ran_is_sent_again_even_if_it_must_not_run_twice() {
    for outcome in [Outcome::Full, Outcome::ConnectFailed] {
        let mut g = gateway(Effect::Once);
        let server = sent(&g.submit(request(1)))[0];
        let actions = g.end_attempt(attempt_end(1, 0, server, outcome));
        assert_eq!(sent(&actions).len(), 1, "{outcome:?}");
    }
}

#[test]
fn a_keyed_request_stays_in_its_group_and_its_window() {
    for group in [Group::Zone, Group::Cell] {
        for first in 0..20 {
            let mut g = gateway(Effect::ByKey { group, window_us: 200 * MS });
            let server = sent(&g.submit(request(first)))[0];
            let again = sent(&g.end_attempt(attempt_end(first, 0, server, Outcome::Error)));
            let same = if group == Group::Zone { 2 } else { 4 };
            assert!(again.iter().all(|s| s % same == server % same), "{group:?}: {server} then {again:?}");
            assert_eq!(again.len(), 1);
            // After the window it may not be sent again, and as it may have run it may not be refused.
            g.now += 250 * MS;
            let actions = g.end_attempt(attempt_end(first, 1, again[0], Outcome::Error));
            let later = g.advance(SEC);
            assert_eq!(sent(&actions).len() + sent(&later).len(), 0);
            assert_eq!((failed(&actions) + failed(&later), refused(&actions) + refused(&later)), (1, 0));
        }
    }
}

#[test]
fn no_two_attempts_of_a_request_are_out_together() {
    let mut g = Gateway::with_servers(settings(no_quota()), 8);
    assert_eq!(sent(&g.submit(request(1))).len(), 1);
    assert_eq!(sent(&g.advance(980 * MS)).len(), 0);
}

#[test]
fn what_is_out_is_cancelled_when_the_client_leaves_where_that_is_allowed() {
    for may_cancel in [false, true] {
        let mut g = Gateway::with_servers(Settings { may_cancel, ..settings(no_quota()) }, 8);
        g.submit(request(1));
        let actions = g.handle(Event::Withdrawn { id: 1 });
        assert_eq!(actions.contains(&Action::Cancel { id: 1, attempt: 0 }), may_cancel);
    }
}

#[test]
fn a_stream_under_way_has_no_deadline_and_is_not_answered_again() {
    let mut g = gateway(Effect::Repeatable);
    let server = sent(&g.submit(request(1)))[0];
    g.handle(Event::Started { id: 1, attempt: 0 });
    let mut actions = g.advance(5 * SEC);
    actions.extend(g.end_attempt(AttemptEnd { closed: true, ..attempt_end(1, 0, server, Outcome::Reset) }));
    assert_eq!((sent(&actions).len(), refused(&actions), failed(&actions)), (0, 0, 0));
}

#[test]
fn nothing_goes_to_a_server_that_drains_is_gone_or_fell_off_the_list() {
    let drains = Entry { state: State::Draining, ..up(1) };
    let gone = Entry { state: State::Gone, ..up(1) };
    for (kind, list) in [
        (ListKind::Changes, vec![drains]),
        (ListKind::Changes, vec![gone]),
        (ListKind::Full, vec![up(2)]),
        (ListKind::Full, vec![up(2), drains]),
    ] {
        let mut g = Gateway::with_servers(settings(no_quota()), 2);
        g.list(kind, &list);
        for id in 0..50 {
            for server in sent(&g.submit(NewRequest { customer: id, ..request(id) })) {
                assert_eq!(server, 2);
                g.end_attempt(attempt_end(id, 0, server, Outcome::Ok));
            }
        }
    }
}

/// Requests sent to a server that joins after 400 requests, and to one that was there from the start.
fn cold_against_warm(up_since_us: Micros) -> (u32, u32) {
    let mut g = Gateway::with_servers(settings(no_quota()), 4);
    let mut hits = [0u32; 6];
    for id in 0..800 {
        if id == 400 {
            hits = [0; 6];
            g.list(ListKind::Changes, &[Entry { up_since_us, ..up(5) }]);
        }
        for server in sent(&g.submit(NewRequest { customer: id, ..request(id) })) {
            hits[server as usize] += 1;
            g.end_attempt(AttemptEnd { latency_us: 9 * MS, ..attempt_end(id, 0, server, Outcome::Ok) });
        }
        // Several in flight at once, so that not only the limit of one at a time applies.
        g.advance(5 * MS);
    }
    (hits[5], hits[1])
}

#[test]
fn a_cold_server_gets_no_more_than_its_ramp_and_a_warm_one_its_full_part() {
    let mut set = settings(no_quota());
    set.cold_from = 0.2;
    let mut g = Gateway::with_servers(set, 4);
    let now = g.now;
    g.list(ListKind::Changes, &[Entry { up_since_us: now, ..up(5) }]);
    let mut sends = 0;
    for id in 0..300 {
        sends +=
            sent(&g.submit(NewRequest { customer: id, ..request(id) })).iter().filter(|s| **s == 5).count();
    }
    assert!(sends <= 4, "{sends} in flight to a server that has just started");
    let (late, warm) = cold_against_warm(T0 - 100 * SEC);
    assert!(late * 2 > warm, "{late} against {warm}");
}

/// 60 gateways with two requests a second each, all just started, and 20 servers of which one is cold: compares what they
/// send together to it and to a warm one over 2 s, the time after which an overloaded cold server fails.
#[test]
fn many_gateways_together_spare_a_cold_server_though_each_has_seen_nothing() {
    let mut set = settings(no_quota());
    (set.balancers, set.cold_from, set.fall_us) = (60, 0.3, 2 * SEC);
    let (mut cold, mut warm, mut all) = (0, 0, 0);
    for index in 0..60 {
        let set = Settings { index, ..set.clone() };
        let mut g = Gateway::seeded(set, 1000 + u64::from(index));
        let list: Vec<Entry> =
            (1..=20).map(|id| Entry { up_since_us: if id == 20 { T0 - MS } else { 0 }, ..up(id) }).collect();
        g.list(ListKind::Saved, &list);
        for n in 0..4 {
            let id = u64::from(index) * 8 + n;
            for server in sent(&g.submit(NewRequest { customer: id, ..request(id) })) {
                all += 1;
                cold += u32::from(server == 20);
                warm += u32::from(server < 20);
                g.end_attempt(attempt_end(id, 0, server, Outcome::Ok));
            }
            g.advance(500 * MS);
        }
    }
    assert_eq!(all, 240);
    // Warm servers get 12 each; the cold one can take 0.3 of that, and fails at twice as much.
    assert!(cold * 19 <= warm * 6 / 10 + 19, "{cold} to the cold server, {warm} to 19 warm ones");
}

#[test]
fn a_fleet_that_is_all_cold_still_gets_its_ramps_part() {
    let mut g = Gateway::new(settings(no_quota()));
    let list: Vec<Entry> = (1..=4).map(|id| Entry { up_since_us: T0 - MS, ..up(id) }).collect();
    g.list(ListKind::Saved, &list);
    let mut through = 0;
    for id in 0..400 {
        for server in sent(&g.submit(NewRequest { customer: id, ..request(id) })) {
            through += 1;
            g.end_attempt(attempt_end(id, 0, server, Outcome::Ok));
        }
        g.advance(5 * MS);
    }
    assert!((80..240).contains(&through), "{through} of 400 at a ramp of 0.3 to 0.4");
}

#[test]
fn a_zone_that_comes_back_cold_relieves_the_warm_servers_by_its_ramp() {
    let mut g = Gateway::new(settings(no_quota()));
    let list: Vec<Entry> =
        (1..=20).map(|id| Entry { up_since_us: if id > 10 { T0 - MS } else { 0 }, ..up(id) }).collect();
    g.list(ListKind::Saved, &list);
    let mut cold = 0;
    for id in 0..1000 {
        for server in sent(&g.submit(NewRequest { customer: id, ..request(id) })) {
            cold += u32::from(server > 10);
            g.end_attempt(attempt_end(id, 0, server, Outcome::Ok));
        }
        g.advance(MS);
    }
    // Ten at a ramp of 0.3 beside ten warm ones: 230 of 1000 would load both alike, twice as much is the limit.
    assert!((190..300).contains(&cold), "{cold} of 1000");
}

#[test]
fn discovery_on_request_is_asked_at_start_and_again_after_a_failure_in_time() {
    let set = Settings { ask_for_list: true, ..settings(no_quota()) };
    let mut g = Gateway::new(set);
    let actions = g.list(ListKind::Saved, &[up(1)]);
    assert!(actions.contains(&Action::Watch));
    for _ in 0..6 {
        g.list(ListKind::Failed, &[]);
        let actions = g.advance(16 * SEC);
        assert_eq!(actions.iter().filter(|a| **a == Action::Watch).count(), 1);
    }
    // The earlier list is still in use.
    assert_eq!(sent(&g.submit(request(1))), [1]);
}

#[test]
fn late_repeated_and_unknown_events_do_no_harm() {
    let mut g = Gateway::with_servers(settings(no_quota()), 2);
    let server = sent(&g.submit(request(1)))[0];
    g.end_attempt(attempt_end(1, 0, server, Outcome::Ok));
    assert!(g.end_attempt(attempt_end(1, 0, server, Outcome::Ok)).is_empty());
    assert!(g.end_attempt(attempt_end(77, 3, 999, Outcome::Error)).is_empty());
    assert!(g.end_attempt(attempt_end(1, 9, server, Outcome::Error)).is_empty());
    g.handle(Event::Withdrawn { id: 1 });
    g.handle(Event::Started { id: 55, attempt: 0 });
    g.handle(Event::Timer { token: 123 });
    assert_eq!(sent(&g.submit(request(2))).len(), 1);
    assert!(sent(&g.submit(request(2))).is_empty(), "an id is accepted once");
}

#[test]
fn a_class_or_plan_that_was_never_set_is_refused() {
    let mut g = Gateway::with_servers(settings(no_quota()), 2);
    assert_eq!(refused(&g.submit(NewRequest { class: 9, ..request(1) })), 1);
    assert_eq!(refused(&g.submit(NewRequest { plan: 9, ..request(2) })), 1);
    assert_eq!(
        sent(&g.submit(NewRequest { units: f64::NAN, spread: 0, first_gateway: 99, ..request(3) })).len(),
        1
    );
}

#[test]
fn settings_that_make_no_sense_are_rejected() {
    let good = settings(rate(4.0, 8.0));
    let invalidate: [fn(&mut Settings); 7] = [
        |s| s.classes.clear(),
        |s| s.plans.clear(),
        |s| s.classes[0].aim_us = 0,
        |s| s.plans[0].rate = f64::NAN,
        |s| s.plans[0].ceiling_burst = f64::INFINITY,
        |s| s.balancers = 0,
        |s| s.cold_from = -1.0,
    ];
    assert!(Decider::new(good.clone(), 1).is_ok());
    for (n, invalidate) in invalidate.iter().enumerate() {
        let mut set = good.clone();
        invalidate(&mut set);
        assert!(Decider::new(set, 1).is_err(), "case {n}");
    }
}

/// Random traffic, outcomes, lists and settings; asserts what must always hold and returns all actions.
fn random_traffic(seed: u64, effect: Effect) -> Vec<(Micros, Action)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut set = settings(Plan { at_once: 3 * (seed % 2) as u32, ..rate(30.0, 20.0) });
    set.classes = vec![class(effect)];
    set.may_cancel = !seed.is_multiple_of(4);
    set.attempts_cap = 1 + (seed % 5) as u32;
    set.cold_us *= seed % 2;
    let mut g = Gateway::with_servers(set, 6);
    let mut open: HashMap<u64, Micros> = HashMap::new();
    let mut in_flight: Vec<(u64, u32, u64, Micros)> = Vec::new();
    let mut tries: HashMap<u64, u32> = HashMap::new();
    let mut down = [None; 7];
    for step in 0..30_000u64 {
        g.now += MS;
        let mut actions = Vec::new();
        if rng.u32(0..300) == 0 {
            let server = rng.u64(1..7);
            let state = [State::Up, State::Draining, State::Gone][rng.usize(0..3)];
            let up_since_us = if rng.bool() { g.now } else { 0 };
            down[server as usize] = (state != State::Up).then_some(g.now);
            actions.extend(
                g.list(ListKind::Changes, &[Entry { state, up_since_us, zone: 0, cell: 0, ..up(server) }]),
            );
        }
        actions.extend(g.handle(Event::Timer { token: 0 }));
        if rng.u32(0..10) == 0 {
            let left_us = rng.u64(10..3000) * MS;
            open.insert(step, g.now + left_us);
            actions.extend(g.submit(NewRequest { customer: rng.u64(0..12), left_us, ..request(step) }));
        }
        let mut rounds = 0;
        loop {
            for act in actions.drain(..) {
                match act {
                    Action::Send { id, server, timeout_us } => {
                        assert!(open.contains_key(&id), "{id} sent after its final answer");
                        assert!(down[server as usize].is_none(), "sent to {server} that drains");
                        let n = tries.entry(id).or_default();
                        let latency = rng.u64(1..1200) * MS;
                        in_flight.push((id, *n, server, g.now + latency.min(timeout_us)));
                        *n += 1;
                    }
                    Action::Refuse { id, .. } | Action::Fail { id } => {
                        let until = open.remove(&id).unwrap_or_else(|| panic!("{id} answered twice"));
                        assert!(g.now <= until + 16 * MS, "{id} answered late");
                    }
                    _ => {}
                }
            }
            let Some(at) = in_flight.iter().position(|a| a.3 <= g.now) else { break };
            let (id, attempt, server, _) = in_flight.swap_remove(at);
            let outcomes =
                [Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::TimedOut, Outcome::Full, Outcome::Reset];
            let outcome = outcomes[rng.usize(0..outcomes.len())];
            let closed = outcome == Outcome::Ok || !open.contains_key(&id);
            if outcome == Outcome::Ok {
                open.remove(&id);
            }
            actions = g.end_attempt(AttemptEnd { closed, ..attempt_end(id, attempt, server, outcome) });
            rounds += 1;
            assert!(rounds < 1000);
        }
        open.retain(|id, until| {
            assert!(g.now <= *until + 16 * MS, "{id} never answered");
            true
        });
    }
    g.log
}

#[test]
fn one_answer_in_time_and_nothing_after_it_whatever_happens() {
    let keyed = |group| Effect::ByKey { group, window_us: SEC };
    for (n, effect) in
        [Effect::Repeatable, Effect::Once, keyed(Group::All), keyed(Group::Cell)].into_iter().enumerate()
    {
        for seed in 0..6 {
            let log = random_traffic(seed * 7 + n as u64, effect);
            assert!(log.iter().filter(|(_, a)| matches!(a, Action::Send { .. })).count() > 100);
        }
    }
}

#[test]
fn equal_events_give_equal_actions() {
    assert_eq!(random_traffic(5, Effect::Repeatable), random_traffic(5, Effect::Repeatable));
}
