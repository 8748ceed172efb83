//! The registry's answers: what they acknowledge is in the agreed state.

mod common;

use cluster::state::{Command, Done, ServerChange};
use cluster::talk::{FromStore, News, ToStore, Unsure, Up};
use common::*;
use registry::board::{Input, Output};

const A: &str = "10.9.2.1:80";

#[test]
fn a_beat_is_acknowledged_once_its_change_is_in_the_state() {
    // The news may come before the result, or after it.
    for news_first in [true, false] {
        let mut r = Registry::new(Vec::new());
        let first = r.beat("a", A, "available", 1);
        let more = r.beat("b", "10.9.2.2:80", "available", 1);
        assert_eq!((r.status(first), r.proposed.len()), (None, 1), "one command at a time");
        let (ticket, command) = r.proposed.remove(0);
        if news_first {
            let landed = r.lands(command);
            assert_eq!(r.status(first), None);
            r.result(ticket, Ok(landed));
        } else {
            r.result(ticket, Ok((1, Done::Taken)));
            assert_eq!(r.status(first), None, "this copy is behind");
            r.lands(command);
        }
        assert_eq!((r.status(first), r.status(more)), (Some(200), None));
        r.land();
        assert_eq!((r.status(more), r.servers()), (Some(200), vec!["a", "b"]));
        let known = r.call("PUT", "/api/instances/a", None, &beat(A, "available", 2, false));
        assert_eq!((r.status(known), r.proposed.len()), (Some(200), 0), "nothing new");
        let stranger = r.call("PUT", "/api/instances/c", None, &beat(A, "available", 2, false));
        assert_eq!(r.status(stranger), Some(400));
    }
}

#[test]
fn a_beat_whose_change_was_lost_is_not_acknowledged_by_a_later_one() {
    for why in [Unsure::Not, Unsure::Perhaps] {
        let mut r = Registry::new(Vec::new());
        let lost = r.beat("a", A, "available", 1);
        let next = r.beat("b", "10.9.2.2:80", "available", 1);
        let (ticket, _) = r.proposed.remove(0);
        r.result(ticket, Err(why));
        r.land();
        assert_eq!((r.status(next), r.servers()), (Some(200), vec!["b"]));
        r.wait(SECOND);
        assert_eq!(r.status(lost), Some(503));
        let again = r.beat("a", A, "available", 2);
        r.land();
        assert_eq!((r.status(again), r.servers()), (Some(200), vec!["a", "b"]));
    }
}

#[test]
fn nothing_is_acknowledged_without_a_store() {
    let mut r = Registry::new(Vec::new());
    let waits = r.beat("a", A, "available", 1);
    r.tell(Input::StoreDown);
    let (late, order) = (r.beat("b", A, "available", 1), r.call("POST", "/api/evacuation/north-a", None, ""));
    for call in [waits, late, order] {
        assert_eq!(r.status(call), Some(503));
    }
    // Silence of the store is no acknowledgement either.
    r.tell(Input::StoreUp);
    let call = r.beat("c", A, "available", 1);
    r.wait(SECOND);
    assert_eq!(r.status(call), Some(503));
}

#[test]
fn late_beats_undo_neither_draining_nor_leaving() {
    let mut r = Registry::new(vec![server("a", A)]);
    let drains = r.beat("a", A, "draining", 5);
    r.land();
    assert_eq!(r.status(drains), Some(200));
    // Sent before it, and after it by a mistake.
    for sequence in [4, 6] {
        let late = r.beat("a", A, "available", sequence);
        assert_eq!((r.status(late), r.proposed.len()), (Some(200), 0));
    }
    assert!(r.board.copy.state.servers["a"].draining);
    // A beat that was gathered before the server left lands after that.
    let mut r = Registry::new(Vec::new());
    r.beat("a", A, "available", 1);
    let (_, up) = r.proposed[0].clone();
    r.land();
    let leaves = r.call("DELETE", "/api/instances/a", None, "");
    assert_eq!(r.status(leaves), None);
    r.land();
    assert_eq!((r.status(leaves), r.servers().len()), (Some(200), 0));
    r.lands(up);
    let late = r.beat("a", A, "available", 9);
    r.land();
    assert_eq!((r.status(late), r.servers().len()), (Some(200), 0));
    // Called to leave and to stay at once: what leaves has left.
    r.beat("b", A, "available", 1);
    r.call("DELETE", "/api/instances/b", None, "");
    r.beat("b", A, "available", 2);
    r.land();
    assert!(r.servers().is_empty());
}

#[test]
fn a_new_life_at_an_address_ends_the_old_one() {
    let mut r = Registry::new(vec![server("old", A)]);
    r.beat("new", A, "available", 1);
    r.land();
    assert_eq!(r.servers(), ["new"]);
    r.beat("old", A, "available", 50);
    r.land();
    assert_eq!(r.servers(), ["new"], "it has ended, told or not");
}

#[test]
fn a_server_that_was_only_unheard_comes_back_and_one_that_left_does_not() {
    for (said, back) in [(false, true), (true, false)] {
        let gone = Command::Servers(vec![ServerChange::Gone { id: "a".into(), said }]);
        let mut r = Registry::new(vec![server("a", A), gone]);
        r.beat("a", A, "available", 3);
        r.land();
        assert_eq!(r.servers().len(), usize::from(back));
    }
}

#[test]
fn configurations_are_answered_by_what_became_of_them() {
    let (one, two, three) = (config(1), config(2), config(3));
    let patch = r#"{"config_version":"00000002","remove_names":{"tenant_list":["reed"]}}"#;
    let bad = r#"{"config_version":"00000002","remove_names":{"service_list":["heron"]}}"#;
    // On a state with version 1, put as `one` on 0.
    for (method, base, body, status) in [
        ("PUT", Some("1"), two.as_str(), 200),
        ("PUT", Some("0"), one.as_str(), 200), // the same again: taken already
        ("PUT", Some("0"), two.as_str(), 412),
        ("PUT", Some("2"), three.as_str(), 412),
        ("PUT", Some("1"), one.as_str(), 400), // not above the current one
        ("PUT", Some("1"), "{}", 400),
        ("PUT", None, two.as_str(), 400),
        ("PATCH", Some("1"), patch, 200),
        ("PATCH", Some("0"), patch, 412),
        ("PATCH", Some("1"), bad, 400), // the route is left without its service
        ("PATCH", Some("1"), "{}", 400),
    ] {
        let mut r = Registry::new(Vec::new());
        let first = r.call("PUT", "/api/configuration", Some("0"), &one);
        assert_eq!(r.status(first), None);
        r.land();
        assert_eq!(r.status(first), Some(200));
        let call = r.call(method, "/api/configuration", base, body);
        r.land();
        assert_eq!(r.status(call), Some(status), "{method} {base:?} {body}");
        let version = r.board.copy.state.version();
        assert_eq!(version, if status == 200 && body != one { 2 } else { 1 });
    }
    // Unclear, then asked again unchanged, though it had been taken.
    let mut r = Registry::new(Vec::new());
    let call = r.call("PUT", "/api/configuration", Some("0"), &one);
    let (ticket, command) = r.proposed.remove(0);
    r.result(ticket, Err(Unsure::Perhaps));
    assert_eq!(r.status(call), Some(503));
    r.lands(command);
    let again = r.call("PUT", "/api/configuration", Some("0"), &one);
    r.land();
    assert_eq!(r.status(again), Some(200));
}

#[test]
fn a_read_shows_all_that_was_acknowledged_before_it() {
    let mut r = Registry::new(Vec::new());
    let early = r.call("GET", "/api/configuration", None, "");
    let ticket = r.reads.remove(0);
    r.tell(Input::Store(FromStore::Reads { ticket, result: Ok(0) }));
    assert_eq!(r.status(early), Some(404));
    // Another registry has acknowledged the first; this one's copy is behind.
    let call = r.call("GET", "/api/configuration", None, "");
    let ticket = r.reads.remove(0);
    r.tell(Input::Store(FromStore::Reads { ticket, result: Ok(1) }));
    assert_eq!(r.status(call), None);
    r.call("PUT", "/api/configuration", Some("0"), &config(1));
    r.land();
    assert_eq!(r.answers[&call], (200, config(1)), "as it was sent");
    let unclear = r.call("GET", "/api/configuration", None, "");
    let ticket = r.reads.remove(0);
    r.tell(Input::Store(FromStore::Reads { ticket, result: Err(Unsure::Not) }));
    assert_eq!(r.status(unclear), Some(503));
}

#[test]
fn only_zones_that_there_are_are_evacuated() {
    let mut r = Registry::new(Vec::new());
    for (method, zone, status, emptied) in [
        ("POST", "moon", Some(404), 0),
        ("POST", "south-a", None, 1),
        ("POST", "south-a", None, 1),
        ("DELETE", "moon", Some(404), 1),
        ("DELETE", "south-a", None, 0),
    ] {
        let call = r.call(method, &format!("/api/evacuation/{zone}"), None, "");
        assert_eq!(r.status(call), status, "{method} {zone}");
        r.land();
        assert_eq!(r.status(call), status.or(Some(200)));
        assert_eq!(r.board.copy.state.evacuated.len(), emptied);
    }
    let call = r.call("GET", "/api/moon", None, "");
    assert_eq!(r.status(call), Some(404));
}

#[test]
fn only_a_registry_beside_a_leader_that_has_led_for_long_writes_servers_off() {
    let lost = |r: &Registry| match r.proposed.first() {
        Some((_, Command::Servers(changes))) => changes.clone(),
        _ => Vec::new(),
    };
    let gone = vec![ServerChange::Gone { id: "b".into(), said: false }];
    let start = || Registry::new(vec![server("a", A), server("b", "10.9.2.2:80")]);
    // `a` is heard of by the other registry, `b` by nobody.
    let mut r = start();
    r.pass(9 * BEAT, &["a"], &[]);
    assert!(r.proposed.is_empty(), "it does not lead");
    r.stands(true, true);
    r.pass(4 * BEAT, &["a"], &[]);
    assert!(r.proposed.is_empty(), "nobody may have told it yet");
    r.stands(true, false);
    r.stands(true, true);
    r.pass(3 * BEAT, &["a"], &[]);
    assert!(r.proposed.is_empty(), "it has led anew since then");
    r.pass(2 * BEAT, &["a"], &[]);
    assert_eq!(lost(&r), gone);
    r.land();
    assert_eq!(r.servers(), ["a"]);
    // Not fresh: nothing is written off however long.
    let mut r = start();
    r.stands(false, true);
    r.pass(9 * BEAT, &["a"], &[]);
    assert!(r.proposed.is_empty());
    // A proxy in the same way, after a longer time.
    let mut r = Registry::new(vec![nodes(&[(1, "north-a"), (2, "north-a")])]);
    r.stands(true, true);
    r.pass(9 * SECOND, &[], &[1]);
    assert!(r.proposed.is_empty());
    r.pass(2 * SECOND, &[], &[1]);
    r.land();
    assert_eq!(r.board.copy.state.nodes.len(), 1);
}

#[test]
fn a_follower_that_stays_behind_is_fed_again_from_where_it_is() {
    let mut r = Registry::new(vec![server("a", A), nodes(&[(1, "north-a")])]);
    r.tell(Input::Proxy(7, Up::Hello { node: node(1, "north-a"), rev: 1 }));
    assert_eq!(r.fed(7), Some((1, 2)));
    r.lands(server("b", "10.9.2.2:80"));
    assert_eq!(r.fed(7), Some((2, 3)));
    // What it reports may have crossed the news; the same again has not.
    r.report(7, 1, 1, true, 2);
    assert_eq!(r.fed(7), None);
    r.report(7, 1, 2, true, 2);
    assert_eq!(r.fed(7), Some((2, 3)));
    r.report(7, 1, 3, true, 3);
    r.report(7, 1, 4, true, 3);
    assert_eq!(r.fed(7), None);
    // One that is ahead of this registry keeps what it has.
    r.tell(Input::Proxy(8, Up::Hello { node: node(1, "north-a"), rev: 5 }));
    assert_eq!(r.fed(8), None);
    r.lands(server("c", "10.9.2.3:80"));
    assert_eq!((r.fed(7), r.fed(8)), (Some((3, 4)), None));
    // A gap in what the store tells is mended from here.
    r.tell(Input::Store(FromStore::News(News::Run { from: 9, to: 10, commands: Vec::new() })));
    assert!(matches!(r.out[..], [Output::Store(ToStore::Follow { rev: 4 })]));
}

/// All start at once: those that come while others are on their way into the log are not put off to their next report.
#[test]
fn proxies_that_join_at_the_same_time_come_into_the_state_with_the_next_command() {
    let mut r = Registry::new(vec![]);
    r.stands(true, true);
    for last in 1..=40 {
        r.tell(Input::Proxy(u64::from(last), Up::Hello { node: node(last, "north-a"), rev: 0 }));
        r.report(last.into(), last, 1, true, 0);
    }
    assert_eq!(r.proposed.len(), 1, "one command at a time");
    let (ticket, command) = r.proposed.remove(0);
    let landed = r.lands(command);
    r.result(ticket, Ok(landed));
    assert_eq!((r.board.copy.state.nodes.len(), r.proposed.len()), (1, 1), "the others are under way");
    // Meanwhile they report again, which joins nobody twice.
    for last in 1..=40 {
        r.report(last.into(), last, 2, true, 0);
    }
    let Command::Nodes(joined) = &r.proposed[0].1 else { panic!("{:?}", r.proposed) };
    assert_eq!(joined.len(), 39);
    r.land();
    assert_eq!((r.board.copy.state.nodes.len(), r.proposed.len()), (40, 0));
    // What is lost on its way is told again by the next report.
    r.tell(Input::Proxy(50, Up::Hello { node: node(50, "north-a"), rev: 0 }));
    let (ticket, _) = r.proposed.remove(0);
    r.result(ticket, Err(Unsure::Perhaps));
    r.report(50, 50, 1, true, 0);
    r.land();
    assert_eq!(r.board.copy.state.nodes.len(), 41);
}

/// Seen by reading, where a leaving server's calls overlap: the older of two is answered after the newer, which waits for
/// the log. An acknowledgement then rests on what was heard, not on what is agreed; if the leader is lost, no proxy ever
/// learns that the server leaves.
#[test]
fn an_overtaken_call_that_says_draining_is_not_acknowledged_before_it_is_agreed() {
    let mut r = Registry::new(vec![server("a", A)]);
    let newer = r.beat("a", A, "draining", 6);
    let older = r.beat("a", A, "draining", 5);
    assert_ne!(r.status(older), Some(200), "nothing is in the state yet");
    r.land();
    assert_eq!(r.status(newer), Some(200));
    let late = r.beat("a", A, "draining", 4);
    assert_eq!(r.status(late), Some(200), "it is agreed by now");
}
