//! Capacity held for bookings: priority, reserved or lent capacity, and what is left to other requests.

mod common;
use common::*;
use curlewfront::*;
use std::collections::BTreeMap;

/// One of two gateways, with a target of twelve: eight servers at three permits each.
fn gateway() -> Gateway {
    let g = Gateway::with_servers(settings(no_quota()), 8);
    assert_eq!(g.decider.target(), 12.0);
    g
}

fn hold(g: &mut Gateway, holds: &[Hold]) -> Vec<Action> {
    let mut actions = Vec::new();
    g.decider.hold(g.now, holds, &mut actions);
    g.log.extend(actions.iter().cloned().map(|a| (g.now, a)));
    actions
}

const HELD: Hold = Hold { booking: 3, service: 0, priority: 4, reserved: 4, moved: 0.0 };

fn other(id: u64) -> NewRequest {
    NewRequest { customer: id % 9, ..request(id) }
}

fn booked(id: u64) -> NewRequest {
    NewRequest { customer: 100 + id % 9, booking: 3, ..request(id) }
}

fn sends(actions: &[Action]) -> Vec<(u64, u64)> {
    let one = |a: &Action| if let Action::Send { id, server, .. } = a { Some((*id, *server)) } else { None };
    actions.iter().filter_map(one).collect()
}

/// Submits all and returns those sent at once, with their servers.
fn submit_all(g: &mut Gateway, all: impl IntoIterator<Item = NewRequest>) -> Vec<(u64, u64)> {
    all.into_iter().flat_map(|r| sends(&g.submit(r))).collect()
}

#[test]
fn what_is_held_is_free_for_the_booking_however_many_others_come() {
    let mut g = gateway();
    hold(&mut g, &[HELD]);
    assert_eq!(submit_all(&mut g, (0..40).map(other)).len(), 8);
    let went = submit_all(&mut g, (100..110).map(booked));
    assert_eq!(went.len(), 4, "as many as are held, up to the target");
}

#[test]
fn lent_capacity_goes_to_the_booking_at_once_and_is_repaid_as_others_end() {
    let mut g = gateway();
    hold(&mut g, &[Hold { reserved: 0, ..HELD }]);
    let mut lent = submit_all(&mut g, (0..40).map(other));
    assert_eq!(lent.len(), 12, "all that the booking does not use");
    let went = submit_all(&mut g, (100..110).map(booked));
    assert_eq!(went.len(), 4);
    assert!(
        !g.log.iter().any(|(_, a)| matches!(a, Action::Cancel { .. })),
        "no attempt in flight is cancelled"
    );
    // Four too many are in flight: the next four that end are not replaced.
    for n in 0..4 {
        let (id, server) = lent.remove(0);
        assert_eq!(sends(&g.end_attempt(attempt_end(id, 0, server, Outcome::Ok))), [], "end {n}");
    }
    let (id, server) = lent.remove(0);
    assert_eq!(sends(&g.end_attempt(attempt_end(id, 0, server, Outcome::Ok))).len(), 1);
}

#[test]
fn a_request_of_a_booking_passes_those_that_wait_and_its_own_customers_others() {
    let mut g = gateway();
    let in_flight = submit_all(&mut g, (0..40).map(other));
    assert_eq!(in_flight.len(), 12);
    // Customer 5 already waits with a request that is not booked.
    assert_eq!(submit_all(&mut g, [NewRequest { customer: 5, booking: 3, ..request(50) }]), []);
    let actions = hold(&mut g, &[Hold { priority: 1, ..HELD }]);
    assert_eq!(sends(&actions).iter().map(|s| s.0).collect::<Vec<_>>(), [50]);
}

#[test]
fn a_booking_far_over_its_hold_leaves_others_their_room() {
    let mut g = gateway();
    hold(&mut g, &[HELD]);
    let mut in_flight = submit_all(&mut g, (0..400).map(booked));
    in_flight.extend(submit_all(&mut g, (1000..1300).map(other)));
    // Both kinds keep long queues; each end makes room for the next.
    let mut served: BTreeMap<bool, usize> = BTreeMap::new();
    for _ in 0..200 {
        let (id, server) = in_flight.remove(0);
        *served.entry(id < 1000).or_default() += 1;
        in_flight.extend(sends(&g.end_attempt(attempt_end(id, 0, server, Outcome::Ok))));
    }
    // Outside of the hold, customers take turns: others get at least half of two thirds.
    assert!(served[&false] >= 60, "{served:?}");
    assert!(served[&true] >= 60, "{served:?}");
}

#[test]
fn a_booking_does_not_take_all_of_a_fleet_that_is_mostly_gone() {
    let mut g = gateway();
    hold(&mut g, &[Hold { priority: 12, reserved: 12, ..HELD }]);
    g.list(ListKind::Full, &[up(1), up(2)]);
    assert_eq!(g.decider.target(), 3.0);
    let mut in_flight = submit_all(&mut g, (0..100).map(booked));
    in_flight.extend(submit_all(&mut g, (1000..1100).map(other)));
    assert!(in_flight.len() <= 4, "one more at the most: {in_flight:?}");
    let mut others = 0;
    for _ in 0..30 {
        let (id, server) = in_flight.remove(0);
        others += usize::from(id >= 1000);
        in_flight.extend(sends(&g.end_attempt(attempt_end(id, 0, server, Outcome::Ok))));
    }
    assert!(others >= 5, "{others} of 30");
}

#[test]
fn two_holds_that_do_not_fit_are_cut_alike() {
    let mut g = gateway();
    let second = Hold { booking: 4, priority: 20, reserved: 20, ..HELD };
    hold(&mut g, &[Hold { priority: 20, reserved: 20, ..HELD }, second]);
    assert_eq!(submit_all(&mut g, (100..140).map(other)).len(), 1, "an eighth, and at least one");
    let both = (0..60).map(|id| NewRequest { booking: 3 + (id % 2) as u32, ..other(id) });
    let went = submit_all(&mut g, both);
    let of = |odd| went.iter().filter(|(id, _)| id % 2 == odd).count();
    assert_eq!((of(0), of(1)), (6, 6), "{went:?}");
}

#[test]
fn room_moves_to_where_the_booking_is_used() {
    for (moved, room) in [(6.0, 18), (-6.0, 6), (-100.0, 1)] {
        let mut g = gateway();
        hold(&mut g, &[Hold { moved, priority: 0, reserved: 0, ..HELD }]);
        assert_eq!(submit_all(&mut g, (0..60).map(other)).len(), room, "{moved}");
    }
}

/// A booking without a hold, or whose hold has ended, must not change any decision.
#[test]
fn without_a_hold_a_booking_changes_nothing() {
    let run = |mark: u32, held: bool| {
        let mut g = gateway();
        if held {
            hold(&mut g, &[HELD]);
            hold(&mut g, &[]);
        }
        let mut in_flight = Vec::new();
        for id in 0..300 {
            let r = NewRequest { booking: if id % 3 == 0 { mark } else { 0 }, ..other(id) };
            in_flight.extend(sends(&g.submit(r)));
            if id % 2 == 1 && !in_flight.is_empty() {
                let (done, server) = in_flight.remove(0);
                let outcome = if done % 7 == 0 { Outcome::TimedOut } else { Outcome::Ok };
                in_flight.extend(sends(
                    &g.end_attempt(AttemptEnd { closed: true, ..attempt_end(done, 0, server, outcome) }),
                ));
            }
            g.advance(3 * MS);
        }
        g.log
    };
    let plain = run(0, false);
    assert_eq!(plain, run(3, false));
    assert_eq!(plain, run(3, true));
    assert!(plain.iter().filter(|(_, a)| matches!(a, Action::Send { .. })).count() > 50);
}

/// Answers take longer than the aim and other requests wait: a booked request still gets the capacity held for it.
#[test]
fn what_is_held_is_there_for_a_request_that_would_come_late() {
    let mut settings = settings(no_quota());
    settings.classes[0].late_worth = 0.2;
    let mut g = Gateway::with_servers(settings, 8);
    for id in 0..60 {
        let (_, server) = submit_all(&mut g, [other(id)])[0];
        g.end_attempt(AttemptEnd { latency_us: 2_800 * MS, ..attempt_end(id, 0, server, Outcome::Ok) });
    }
    hold(&mut g, &[HELD]);
    let refused = |actions: &[Action], id: u64| {
        actions.iter().any(|a| matches!(a, Action::Refuse { id: of, .. } if *of == id))
    };
    let actions: Vec<(u64, Vec<Action>)> = (200..240).map(|id| (id, g.submit(other(id)))).collect();
    assert!(actions.iter().any(|(id, actions)| refused(actions, *id)), "others are refused at once");
    let went = submit_all(&mut g, (300..304).map(booked));
    assert_eq!(went.iter().map(|s| s.0).collect::<Vec<_>>(), [300, 301, 302, 303]);
    // Beyond the hold a booked request is treated like any other.
    let beyond = g.submit(booked(310));
    assert!(refused(&beyond, 310), "{beyond:?}");
}
