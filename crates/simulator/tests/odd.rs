//! The stranger troubles do what their statements say: each leaves its mark in the record, where and while it should.

use simulator::hunt::play;
use simulator::record::{Arrival, Record, Try};
use simulator::scenario::Scenario;
use simulator::{MS, SECOND};
use std::collections::BTreeSet;

fn record(day: &str) -> Record {
    let played = play(&Scenario::read(day).expect("a scenario"), 5, false);
    assert_eq!(played.unmet, Vec::<String>::new());
    played.record
}

/// Tries that came to a server between these seconds, with how they fared there.
fn at<'a>(
    r: &'a Record,
    server: &'a str,
    from: u64,
    to: u64,
) -> impl Iterator<Item = (&'a Try, &'a Arrival)> {
    let here =
        move |a: &Arrival| a.server.starts_with(server) && (from * SECOND..to * SECOND).contains(&a.at);
    r.tries.iter().flat_map(|t| t.arrivals.iter().map(move |a| (t, a))).filter(move |(_, a)| here(a))
}

#[test]
fn a_grey_server_fails_the_callers_of_its_zone_and_while_it_is_ill() {
    let r = record("seconds 40\nat 12 grey tiro shed 100 for 8 to b\nat 12 grey kawe1 reset 100 for 8");
    // Proxies stand round the four zones, after three core machines.
    let in_b = |a: &Arrival| (a.edge - r.cores) % 4 == 1;
    let shed = |a: &Arrival| a.turned_away == Some(503);
    assert!(at(&r, "tiro", 12, 20).any(|(_, a)| in_b(a)));
    assert!(at(&r, "tiro", 12, 20).all(|(_, a)| shed(a) == in_b(a)));
    assert!(at(&r, "kawe1", 12, 20).any(|(_, a)| a.broke));
    assert!(!at(&r, "kawe1", 21, 40).any(|(_, a)| a.broke));
}

#[test]
fn a_server_that_flaps_lives_again_and_again() {
    let r = record("seconds 40\nat 12 flap tiro1 every 3 for 9");
    let lives: BTreeSet<&str> = at(&r, "tiro1", 9, 40).map(|(_, a)| a.server.as_str()).collect();
    assert!(lives.len() >= 3, "{lives:?}");
}

#[test]
fn a_forgotten_connection_breaks_what_is_sent_over_it_unread() {
    let calm = record("seconds 40\nrate 12");
    let r = record("seconds 40\nrate 12\nat 12 forget utu after 0.3 for 8");
    let broken = |r: &Record| r.requests.iter().filter(|q| q.served.is_none()).count();
    assert!(broken(&r) > broken(&calm));
    // None of those that were lost had come to a server: they were not read.
    let lost = |t: &&Try| r.requests[t.request as usize].served.is_none();
    assert!(r.tries.iter().filter(lost).all(|t| t.arrivals.iter().all(|a| a.ran.is_none())));
}

#[test]
fn machines_are_ended_in_turn_and_live_again() {
    let r = record("seconds 60\nat 12 roll edges by 2 every 3 back 1");
    let ended: Vec<u64> = r.troubles.iter().filter(|t| t.planned).map(|t| t.from / MS).collect();
    assert_eq!(ended, [12, 12, 15, 15, 18, 18, 21, 21].map(|s| s * 1000));
    let lives =
        |edge: usize| r.tries.iter().filter(move |t| t.edge == edge && t.read.is_some()).map(|t| t.life);
    for edge in r.cores..r.cores + 8 {
        assert_eq!(lives(edge).collect::<BTreeSet<u64>>().len(), 2, "lives of machine {edge}");
    }
}

#[test]
fn clients_that_move_ask_in_their_new_zone() {
    let r = record("seconds 60\nat 12 move 100 from a to c");
    let of_a = |from: u64, to: u64| {
        let sent = r.tries.iter().filter(|t| (from * SECOND..to * SECOND).contains(&t.sent));
        let (here, all) =
            sent.fold((0, 0), |(h, n), t| (h + usize::from((t.edge - r.cores).is_multiple_of(4)), n + 1));
        here as f64 / all as f64
    };
    // Answers of the directory are kept for up to three times as long as they say.
    let (before, after) = (of_a(8, 12), of_a(30, 56));
    assert!(before > 0.1 && after < before / 2.0, "{before:.2} before, {after:.2} after");
}

#[test]
fn garbled_and_second_answers_reach_nobody() {
    let r = record("seconds 40\nat 12 grey tiro garble 100 for 8\nat 12 grey utu extra 100 for 8");
    assert!(at(&r, "tiro", 12, 20).filter(|(_, a)| a.ran.is_some()).all(|(_, a)| a.broke));
    assert!(!at(&r, "tiro", 21, 40).any(|(_, a)| a.broke));
    // A second answer is nobody's: its connection ends, and all go on as if it had not come.
    let calm = record("seconds 40");
    let dialed = |r: &Record| at(r, "utu", 12, 20).filter(|(t, _)| t.answer.is_some()).count();
    assert!(dialed(&r) > 0 && dialed(&calm) > 0);
    let served = |t: &Try| r.requests[t.request as usize].served.is_some();
    assert!(
        at(&r, "utu", 12, 20).filter(|(t, _)| served(t)).count() * 10 > at(&r, "utu", 12, 20).count() * 9
    );
}

#[test]
fn reset_connections_lose_what_was_under_work_on_them() {
    let r = record("seconds 40\nrate 60\nat 14 reset kawe 100\nat 15 reset kawe 100");
    let broke: Vec<u64> = at(&r, "kawe", 9, 40).filter(|(_, a)| a.broke).map(|(_, a)| a.at / MS).collect();
    assert!(!broke.is_empty() && broke.iter().all(|at| (13_000..15_000).contains(at)), "{broke:?}");
}

#[test]
fn a_frozen_machine_stands_still_and_goes_on() {
    let r = record("seconds 40\nat 14 freeze edge1 for 3");
    let of = |from: u64, to: u64| {
        let here = move |t: &&Try| t.edge == r.cores && (from * SECOND..to * SECOND).contains(&t.sent);
        r.tries
            .iter()
            .flat_map(|t| t.arrivals.iter().map(move |a| (t, a)))
            .filter(|(t, _)| here(t))
            .map(|(_, a)| a.sent / MS)
            .collect::<Vec<u64>>()
    };
    assert!(of(9, 14).len() > 3);
    assert!(
        of(9, 40).iter().all(|at| !(14_001..17_000).contains(at)),
        "nothing is sent while it stands still"
    );
    assert!(of(18, 40).len() > 3, "it goes on");
}
