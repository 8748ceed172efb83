//! Room that bookings hold: who goes first, what is kept or lent, and what is left to all others.

mod common;
use common::*;
use curlewfront::*;
use std::collections::BTreeMap;

/// One gateway of two with room for twelve: eight servers at three permits each.
fn gateway() -> Gateway {
    let g = Gateway::with_servers(settings(free()), 8);
    assert_eq!(g.decider.target(), 12.0);
    g
}

fn hold(g: &mut Gateway, holds: &[Hold]) -> Vec<Action> {
    let mut acts = Vec::new();
    g.decider.hold(g.now, holds, &mut acts);
    g.log.extend(acts.iter().cloned().map(|a| (g.now, a)));
    acts
}

const HELD: Hold = Hold { booking: 3, service: 0, priority: 4, reserved: 4, moved: 0.0 };

fn other(id: u64) -> NewRequest {
    NewRequest { customer: id % 9, ..request(id) }
}

fn booked(id: u64) -> NewRequest {
    NewRequest { customer: 100 + id % 9, booking: 3, ..request(id) }
}

fn sends(acts: &[Action]) -> Vec<(u64, u64)> {
    let one = |a: &Action| if let Action::Send { id, server, .. } = a { Some((*id, *server)) } else { None };
    acts.iter().filter_map(one).collect()
}

/// Asks for each and says which went out at once.
fn ask_all(g: &mut Gateway, all: impl IntoIterator<Item = NewRequest>) -> Vec<(u64, u64)> {
    all.into_iter().flat_map(|r| sends(&g.ask(r))).collect()
}

#[test]
fn what_is_held_is_free_for_the_booking_however_many_others_come() {
    let mut g = gateway();
    hold(&mut g, &[HELD]);
    assert_eq!(ask_all(&mut g, (0..40).map(other)).len(), 8);
    let went = ask_all(&mut g, (100..110).map(booked));
    assert_eq!(went.len(), 4, "up to the hold, and no further than the target");
}

#[test]
fn what_is_lent_is_there_for_the_booking_at_once_and_comes_back_as_others_end() {
    let mut g = gateway();
    hold(&mut g, &[Hold { reserved: 0, ..HELD }]);
    let mut lent = ask_all(&mut g, (0..40).map(other));
    assert_eq!(lent.len(), 12, "all that is not in use");
    let went = ask_all(&mut g, (100..110).map(booked));
    assert_eq!(went.len(), 4);
    assert!(!g.log.iter().any(|(_, a)| matches!(a, Action::Cancel { .. })), "nothing in flight is cut");
    // Four too many are out: so many of the others' places go to nobody.
    for n in 0..4 {
        let (id, server) = lent.remove(0);
        assert_eq!(sends(&g.back(answer(id, 0, server, Outcome::Ok))), [], "place {n}");
    }
    let (id, server) = lent.remove(0);
    assert_eq!(sends(&g.back(answer(id, 0, server, Outcome::Ok))).len(), 1);
}

#[test]
fn a_request_of_a_booking_passes_those_that_wait_and_its_own_customers_others() {
    let mut g = gateway();
    let out = ask_all(&mut g, (0..40).map(other));
    assert_eq!(out.len(), 12);
    // Customer 5 waits already, for something that is not booked.
    assert_eq!(ask_all(&mut g, [NewRequest { customer: 5, booking: 3, ..request(50) }]), []);
    let acts = hold(&mut g, &[Hold { priority: 1, ..HELD }]);
    assert_eq!(sends(&acts).iter().map(|s| s.0).collect::<Vec<_>>(), [50]);
}

#[test]
fn ten_times_the_crowd_leaves_all_others_their_room() {
    let mut g = gateway();
    hold(&mut g, &[HELD]);
    let mut out = ask_all(&mut g, (0..400).map(booked));
    out.extend(ask_all(&mut g, (1000..1300).map(other)));
    // Both go on waiting in numbers; who ends makes room for the next.
    let mut served: BTreeMap<bool, usize> = BTreeMap::new();
    for _ in 0..200 {
        let (id, server) = out.remove(0);
        *served.entry(id < 1000).or_default() += 1;
        out.extend(sends(&g.back(answer(id, 0, server, Outcome::Ok))));
    }
    // By turns, a customer each, outside of what is held: others have half of two thirds at least.
    assert!(served[&false] >= 60, "{served:?}");
    assert!(served[&true] >= 60, "{served:?}");
}

#[test]
fn a_fleet_that_is_mostly_gone_is_not_the_bookings_alone() {
    let mut g = gateway();
    hold(&mut g, &[Hold { priority: 12, reserved: 12, ..HELD }]);
    g.list(ListKind::Full, &[up(1), up(2)]);
    assert_eq!(g.decider.target(), 3.0);
    let mut out = ask_all(&mut g, (0..100).map(booked));
    out.extend(ask_all(&mut g, (1000..1100).map(other)));
    assert!(out.len() <= 4, "one more at the most: {out:?}");
    let mut others = 0;
    for _ in 0..30 {
        let (id, server) = out.remove(0);
        others += usize::from(id >= 1000);
        out.extend(sends(&g.back(answer(id, 0, server, Outcome::Ok))));
    }
    assert!(others >= 5, "{others} of 30");
}

#[test]
fn two_holds_that_do_not_fit_are_cut_alike() {
    let mut g = gateway();
    let second = Hold { booking: 4, priority: 20, reserved: 20, ..HELD };
    hold(&mut g, &[Hold { priority: 20, reserved: 20, ..HELD }, second]);
    assert_eq!(ask_all(&mut g, (100..140).map(other)).len(), 1, "an eighth, at least one");
    let both = (0..60).map(|id| NewRequest { booking: 3 + (id % 2) as u32, ..other(id) });
    let went = ask_all(&mut g, both);
    let of = |odd| went.iter().filter(|(id, _)| id % 2 == odd).count();
    assert_eq!((of(0), of(1)), (6, 6), "{went:?}");
}

#[test]
fn room_moves_to_where_the_booking_is_used() {
    for (moved, room) in [(6.0, 18), (-6.0, 6), (-100.0, 1)] {
        let mut g = gateway();
        hold(&mut g, &[Hold { moved, priority: 0, reserved: 0, ..HELD }]);
        assert_eq!(ask_all(&mut g, (0..60).map(other)).len(), room, "{moved}");
    }
}

/// A booking without a hold costs nothing and changes nothing, nor does one that is over.
#[test]
fn without_a_hold_the_same_is_done_for_the_same() {
    let play = |mark: u32, held: bool| {
        let mut g = gateway();
        if held {
            hold(&mut g, &[HELD]);
            hold(&mut g, &[]);
        }
        let mut out = Vec::new();
        for id in 0..300 {
            let r = NewRequest { booking: if id % 3 == 0 { mark } else { 0 }, ..other(id) };
            out.extend(sends(&g.ask(r)));
            if id % 2 == 1 && !out.is_empty() {
                let (done, server) = out.remove(0);
                let outcome = if done % 7 == 0 { Outcome::TimedOut } else { Outcome::Ok };
                out.extend(sends(&g.back(AttemptEnd { closed: true, ..answer(done, 0, server, outcome) })));
            }
            g.pass(3 * MS);
        }
        g.log
    };
    let plain = play(0, false);
    assert_eq!(plain, play(3, false));
    assert_eq!(plain, play(3, true));
    assert!(plain.iter().filter(|(_, a)| matches!(a, Action::Send { .. })).count() > 50);
}

/// Its aim is past by what answers take, and others wait: what is held for it is free all the same.
#[test]
fn what_is_held_is_there_for_a_request_that_would_come_late() {
    let mut settings = settings(free());
    settings.classes[0].late_worth = 0.2;
    let mut g = Gateway::with_servers(settings, 8);
    for id in 0..60 {
        let (_, server) = ask_all(&mut g, [other(id)])[0];
        g.back(AttemptEnd { latency_us: 2_800 * MS, ..answer(id, 0, server, Outcome::Ok) });
    }
    hold(&mut g, &[HELD]);
    let refused = |acts: &[Action], id: u64| {
        acts.iter().any(|a| matches!(a, Action::Refuse { id: of, .. } if *of == id))
    };
    let acts: Vec<(u64, Vec<Action>)> = (200..240).map(|id| (id, g.ask(other(id)))).collect();
    assert!(acts.iter().any(|(id, acts)| refused(acts, *id)), "others are turned away at once");
    let went = ask_all(&mut g, (300..304).map(booked));
    assert_eq!(went.iter().map(|s| s.0).collect::<Vec<_>>(), [300, 301, 302, 303]);
    // Beyond what is held it is as any other.
    let beyond = g.ask(booked(310));
    assert!(refused(&beyond, 310), "{beyond:?}");
}
