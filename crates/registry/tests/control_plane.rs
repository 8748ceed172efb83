//! Guards against a registry that acknowledges what is not in the agreed state.

mod common;

use cluster::state::{Command, Done, ServerChange};
use cluster::talk::{FromStore, News, ToStore, Unsure, Up};
use common::*;
use registry::control_plane::{Input, Output};

const A: &str = "10.9.2.1:80";

#[test]
fn a_beat_is_acknowledged_once_its_change_is_in_the_state() {
    // The news may arrive before the result, or after it.
    for news_first in [true, false] {
        let mut r = Registry::new(Vec::new());
        let first = r.heartbeat("a", A, "available", 1);
        let more = r.heartbeat("b", "10.9.2.2:80", "available", 1);
        assert_eq!((r.status(first), r.proposed.len()), (None, 1), "one command at a time");
        let (ticket, command) = r.proposed.remove(0);
        if news_first {
            let landed = r.commit(command);
            assert_eq!(r.status(first), None);
            r.report_result(ticket, Ok(landed));
        } else {
            r.report_result(ticket, Ok((1, Done::Taken)));
            assert_eq!(r.status(first), None, "this copy is behind");
            r.commit(command);
        }
        assert_eq!((r.status(first), r.status(more)), (Some(200), None));
        r.commit_proposed();
        assert_eq!((r.status(more), r.servers()), (Some(200), vec!["a", "b"]));
        let known = r.call("PUT", "/api/instances/a", None, &heartbeat_body(A, "available", 2, false));
        assert_eq!((r.status(known), r.proposed.len()), (Some(200), 0), "nothing new");
        let unknown = r.call("PUT", "/api/instances/c", None, &heartbeat_body(A, "available", 2, false));
        assert_eq!(r.status(unknown), Some(400));
    }
}

#[test]
fn a_beat_whose_change_was_lost_is_not_acknowledged_by_a_later_one() {
    for why in [Unsure::Not, Unsure::Perhaps] {
        let mut r = Registry::new(Vec::new());
        let lost = r.heartbeat("a", A, "available", 1);
        let next = r.heartbeat("b", "10.9.2.2:80", "available", 1);
        let (ticket, _) = r.proposed.remove(0);
        r.report_result(ticket, Err(why));
        r.commit_proposed();
        assert_eq!((r.status(next), r.servers()), (Some(200), vec!["b"]));
        r.run_for(SECOND);
        assert_eq!(r.status(lost), Some(503));
        let again = r.heartbeat("a", A, "available", 2);
        r.commit_proposed();
        assert_eq!((r.status(again), r.servers()), (Some(200), vec!["a", "b"]));
    }
}

#[test]
fn nothing_is_acknowledged_without_a_store() {
    let mut r = Registry::new(Vec::new());
    let waits = r.heartbeat("a", A, "available", 1);
    r.handle(Input::StoreDown);
    let (late, order) =
        (r.heartbeat("b", A, "available", 1), r.call("POST", "/api/evacuation/north-a", None, ""));
    for call in [waits, late, order] {
        assert_eq!(r.status(call), Some(503));
    }
    // A store that does not answer acknowledges nothing either.
    r.handle(Input::StoreUp);
    let call = r.heartbeat("c", A, "available", 1);
    r.run_for(SECOND);
    assert_eq!(r.status(call), Some(503));
}

#[test]
fn late_beats_undo_neither_draining_nor_leaving() {
    let mut r = Registry::new(vec![add_server("a", A)]);
    let drains = r.heartbeat("a", A, "draining", 5);
    r.commit_proposed();
    assert_eq!(r.status(drains), Some(200));
    // Sent before the report of draining, and wrongly after it.
    for sequence in [4, 6] {
        let late = r.heartbeat("a", A, "available", sequence);
        assert_eq!((r.status(late), r.proposed.len()), (Some(200), 0));
    }
    assert!(r.control_plane.copy.state.servers["a"].draining);
    // A heartbeat that was gathered before the server left commits after that.
    let mut r = Registry::new(Vec::new());
    r.heartbeat("a", A, "available", 1);
    let (_, up) = r.proposed[0].clone();
    r.commit_proposed();
    let leaves = r.call("DELETE", "/api/instances/a", None, "");
    assert_eq!(r.status(leaves), None);
    r.commit_proposed();
    assert_eq!((r.status(leaves), r.servers().len()), (Some(200), 0));
    r.commit(up);
    let late = r.heartbeat("a", A, "available", 9);
    r.commit_proposed();
    assert_eq!((r.status(late), r.servers().len()), (Some(200), 0));
    // Told to leave and to stay at the same time: leaving wins.
    r.heartbeat("b", A, "available", 1);
    r.call("DELETE", "/api/instances/b", None, "");
    r.heartbeat("b", A, "available", 2);
    r.commit_proposed();
    assert!(r.servers().is_empty());
}

#[test]
fn a_new_life_at_an_address_ends_the_old_one() {
    let mut r = Registry::new(vec![add_server("old", A)]);
    r.heartbeat("new", A, "available", 1);
    r.commit_proposed();
    assert_eq!(r.servers(), ["new"]);
    r.heartbeat("old", A, "available", 50);
    r.commit_proposed();
    assert_eq!(r.servers(), ["new"], "the old instance has ended, whether it reports or not");
}

#[test]
fn a_server_that_was_only_unheard_comes_back_and_one_that_left_does_not() {
    for (said, back) in [(false, true), (true, false)] {
        let gone = Command::Servers(vec![ServerChange::Gone { id: "a".into(), said }]);
        let mut r = Registry::new(vec![add_server("a", A), gone]);
        r.heartbeat("a", A, "available", 3);
        r.commit_proposed();
        assert_eq!(r.servers().len(), usize::from(back));
    }
}

#[test]
fn configurations_are_answered_by_what_became_of_them() {
    let (one, two, three) = (config(1), config(2), config(3));
    let patch = r#"{"config_version":"00000002","remove_names":{"tenant_list":["reed"]}}"#;
    let bad = r#"{"config_version":"00000002","remove_names":{"service_list":["heron"]}}"#;
    // On a state with version 1, which was put as `one` on base 0.
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
        r.commit_proposed();
        assert_eq!(r.status(first), Some(200));
        let call = r.call(method, "/api/configuration", base, body);
        r.commit_proposed();
        assert_eq!(r.status(call), Some(status), "{method} {base:?} {body}");
        let version = r.control_plane.copy.state.version();
        assert_eq!(version, if status == 200 && body != one { 2 } else { 1 });
    }
    // An unclear result, then the same request again, although the first was applied.
    let mut r = Registry::new(Vec::new());
    let call = r.call("PUT", "/api/configuration", Some("0"), &one);
    let (ticket, command) = r.proposed.remove(0);
    r.report_result(ticket, Err(Unsure::Perhaps));
    assert_eq!(r.status(call), Some(503));
    r.commit(command);
    let again = r.call("PUT", "/api/configuration", Some("0"), &one);
    r.commit_proposed();
    assert_eq!(r.status(again), Some(200));
}

#[test]
fn a_read_shows_all_that_was_acknowledged_before_it() {
    let mut r = Registry::new(Vec::new());
    let early = r.call("GET", "/api/configuration", None, "");
    let ticket = r.reads.remove(0);
    r.handle(Input::Store(FromStore::Reads { ticket, result: Ok(0) }));
    assert_eq!(r.status(early), Some(404));
    // Another registry has acknowledged the first configuration; this registry's copy is behind.
    let call = r.call("GET", "/api/configuration", None, "");
    let ticket = r.reads.remove(0);
    r.handle(Input::Store(FromStore::Reads { ticket, result: Ok(1) }));
    assert_eq!(r.status(call), None);
    r.call("PUT", "/api/configuration", Some("0"), &config(1));
    r.commit_proposed();
    assert_eq!(r.answers[&call], (200, config(1)), "as it was sent");
    let unclear = r.call("GET", "/api/configuration", None, "");
    let ticket = r.reads.remove(0);
    r.handle(Input::Store(FromStore::Reads { ticket, result: Err(Unsure::Not) }));
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
        r.commit_proposed();
        assert_eq!(r.status(call), status.or(Some(200)));
        assert_eq!(r.control_plane.copy.state.evacuated.len(), emptied);
    }
    let call = r.call("GET", "/api/moon", None, "");
    assert_eq!(r.status(call), Some(404));
}

#[test]
fn only_the_registry_of_a_leader_that_has_led_for_long_removes_servers() {
    let removals = |r: &Registry| match r.proposed.first() {
        Some((_, Command::Servers(changes))) => changes.clone(),
        _ => Vec::new(),
    };
    let gone = vec![ServerChange::Gone { id: "b".into(), said: false }];
    let start = || Registry::new(vec![add_server("a", A), add_server("b", "10.9.2.2:80")]);
    // The other registry hears `a`; no registry hears `b`.
    let mut r = start();
    r.run_with_gossip(9 * HEARTBEAT, &["a"], &[]);
    assert!(r.proposed.is_empty(), "it does not lead");
    r.set_store_standing(true, true);
    r.run_with_gossip(4 * HEARTBEAT, &["a"], &[]);
    assert!(r.proposed.is_empty(), "it may not have received all gossip yet");
    r.set_store_standing(true, false);
    r.set_store_standing(true, true);
    r.run_with_gossip(3 * HEARTBEAT, &["a"], &[]);
    assert!(r.proposed.is_empty(), "it has led anew since then");
    r.run_with_gossip(2 * HEARTBEAT, &["a"], &[]);
    assert_eq!(removals(&r), gone);
    r.commit_proposed();
    assert_eq!(r.servers(), ["a"]);
    // A registry that is not fresh removes nothing, however long it waits.
    let mut r = start();
    r.set_store_standing(false, true);
    r.run_with_gossip(9 * HEARTBEAT, &["a"], &[]);
    assert!(r.proposed.is_empty());
    // The same for a proxy, after a longer time.
    let mut r = Registry::new(vec![add_nodes(&[(1, "north-a"), (2, "north-a")])]);
    r.set_store_standing(true, true);
    r.run_with_gossip(9 * SECOND, &[], &[1]);
    assert!(r.proposed.is_empty());
    r.run_with_gossip(2 * SECOND, &[], &[1]);
    r.commit_proposed();
    assert_eq!(r.control_plane.copy.state.nodes.len(), 1);
}

#[test]
fn a_follower_that_stays_behind_is_fed_again_from_where_it_is() {
    let mut r = Registry::new(vec![add_server("a", A), add_nodes(&[(1, "north-a")])]);
    r.handle(Input::Proxy(7, Up::Hello { node: node(1, "north-a"), rev: 1 }));
    assert_eq!(r.news_sent_to(7), Some((1, 2)));
    r.commit(add_server("b", "10.9.2.2:80"));
    assert_eq!(r.news_sent_to(7), Some((2, 3)));
    // The report may have crossed the news on its way; the same report again has not.
    r.report(7, 1, 1, true, 2);
    assert_eq!(r.news_sent_to(7), None);
    r.report(7, 1, 2, true, 2);
    assert_eq!(r.news_sent_to(7), Some((2, 3)));
    r.report(7, 1, 3, true, 3);
    r.report(7, 1, 4, true, 3);
    assert_eq!(r.news_sent_to(7), None);
    // A follower that is ahead of this registry keeps what it has.
    r.handle(Input::Proxy(8, Up::Hello { node: node(1, "north-a"), rev: 5 }));
    assert_eq!(r.news_sent_to(8), None);
    r.commit(add_server("c", "10.9.2.3:80"));
    assert_eq!((r.news_sent_to(7), r.news_sent_to(8)), (Some((3, 4)), None));
    // After a gap in the store's news, the registry asks again from its own revision.
    r.handle(Input::Store(FromStore::News(News::Run { from: 9, to: 10, commands: Vec::new() })));
    assert!(matches!(r.out[..], [Output::Store(ToStore::Follow { rev: 4 })]));
}

/// Guards against a slow start of many proxies: those that join while a batch is in flight must not have to wait for
/// their next report.
#[test]
fn proxies_that_join_at_the_same_time_come_into_the_state_with_the_next_command() {
    let mut r = Registry::new(vec![]);
    r.set_store_standing(true, true);
    for last in 1..=40 {
        r.handle(Input::Proxy(u64::from(last), Up::Hello { node: node(last, "north-a"), rev: 0 }));
        r.report(last.into(), last, 1, true, 0);
    }
    assert_eq!(r.proposed.len(), 1, "one command at a time");
    let (ticket, command) = r.proposed.remove(0);
    let landed = r.commit(command);
    r.report_result(ticket, Ok(landed));
    assert_eq!(
        (r.control_plane.copy.state.nodes.len(), r.proposed.len()),
        (1, 1),
        "the others are under way"
    );
    // Their next reports meanwhile add nobody twice.
    for last in 1..=40 {
        r.report(last.into(), last, 2, true, 0);
    }
    let Command::Nodes(joined) = &r.proposed[0].1 else { panic!("{:?}", r.proposed) };
    assert_eq!(joined.len(), 39);
    r.commit_proposed();
    assert_eq!((r.control_plane.copy.state.nodes.len(), r.proposed.len()), (40, 0));
    // A change that was lost is proposed again after the next report.
    r.handle(Input::Proxy(50, Up::Hello { node: node(50, "north-a"), rev: 0 }));
    let (ticket, _) = r.proposed.remove(0);
    r.report_result(ticket, Err(Unsure::Perhaps));
    r.report(50, 50, 1, true, 0);
    r.commit_proposed();
    assert_eq!(r.control_plane.copy.state.nodes.len(), 41);
}

/// Guards against an early acknowledgement when calls of a leaving server overlap and the older one is answered after
/// the newer, which waits for the log. The acknowledgement would rest on what was heard, not on what is agreed; if
/// the leader is lost then, no proxy ever learns that the server leaves.
#[test]
fn an_overtaken_call_that_says_draining_is_not_acknowledged_before_it_is_agreed() {
    let mut r = Registry::new(vec![add_server("a", A)]);
    let newer = r.heartbeat("a", A, "draining", 6);
    let older = r.heartbeat("a", A, "draining", 5);
    assert_ne!(r.status(older), Some(200), "nothing is in the state yet");
    r.commit_proposed();
    assert_eq!(r.status(newer), Some(200));
    let late = r.heartbeat("a", A, "draining", 4);
    assert_eq!(r.status(late), Some(200), "it is agreed by now");
}
