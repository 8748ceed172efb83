//! What a registry says and does whose store, or which itself, no longer knows what the majority agrees.

mod common;

use cluster::state::{Command, Done, NodeChange, ServerChange};
use cluster::talk::{Down, FRESH_US, FromStore, Gossip, ToStore, Unsure, Up};
use common::*;
use registry::board::{Input, Output};

const KNOWN: &str = "/api/instances/i-1";

fn registry() -> Registry {
    Registry::new(vec![
        nodes(&[(1, "north-a"), (2, "north-b"), (3, "south-a")]),
        server("i-1", "10.9.2.1:80"),
    ])
}

fn beats(r: &mut Registry, sequence: u64) -> Option<u16> {
    let call = r.call("PUT", KNOWN, None, &beat("10.9.2.1:80", "available", sequence, false));
    r.status(call)
}

fn resolves(r: &mut Registry) -> Option<u16> {
    let call = r.call("GET", "/api/resolution?entity_name=h&region_name=north&zone_name=north-a", None, "");
    r.status(call)
}

fn reports(r: &mut Registry, last: u8, count: u64) {
    let report = Up::Report { rev: 0, head: None, seen: vec![seen(last, count)], usage: Vec::new() };
    r.tell(Input::Proxy(last.into(), report));
}

fn standing(r: &Registry) -> Option<Option<u32>> {
    let told = r.out.iter().rev();
    told.filter_map(|o| match o {
        Output::Proxy(_, Down::Standing(s)) => Some(s.fresh_ms),
        _ => None,
    })
    .next()
}

#[test]
fn a_registry_whose_store_is_not_fresh_sends_servers_elsewhere_and_refuses_nothing_for_good() {
    let mut r = registry();
    assert_eq!(beats(&mut r, 1), Some(200));
    r.stands(false, false);
    assert_eq!(beats(&mut r, 2), Some(503), "the others do not hear of it");
    let leaves = r.call("DELETE", KNOWN, None, "");
    assert_eq!(r.status(leaves), Some(503));
    assert!(r.proposed.is_empty(), "nothing is left that would land later");
    r.stands(true, false);
    assert_eq!(beats(&mut r, 3), Some(200));
    // What has left has left for good, whoever knows it.
    r.lands(Command::Servers(vec![ServerChange::Gone { id: "i-1".into(), said: true }]));
    r.stands(false, false);
    assert_eq!(beats(&mut r, 4), Some(200), "a late call of a life that has ended");
}

#[test]
fn a_store_that_hangs_beside_a_live_registry_makes_it_stale_within_the_bound() {
    let mut r = registry();
    r.tell(Input::Proxy(1, Up::Hello { node: node(1, "north-a"), rev: 0 }));
    r.store_hangs = true;
    r.wait(FRESH_US - 1);
    assert_eq!(beats(&mut r, 1), Some(200));
    r.wait(1);
    assert_eq!(beats(&mut r, 2), Some(503), "its link stands, but it says nothing");
    r.wait(BEAT / 3);
    assert_eq!(standing(&r), Some(None), "proxies are told to go elsewhere");
}

#[test]
fn what_the_store_said_before_the_registry_was_stopped_does_not_make_it_fresh() {
    let mut r = registry();
    r.wait(SECOND);
    let asked = r.now;
    r.freeze(20 * SECOND);
    // The answer waited in the link meanwhile, and is read before any call.
    let old = FromStore::Standing { core: vec![ME, OTHER], fresh_ms: Some(0), leads: true, term: 1, asked };
    r.store_hangs = true;
    r.tell(Input::Store(old));
    assert_eq!(beats(&mut r, 1), Some(503));
    assert_eq!(resolves(&mut r), Some(503));
    r.store_hangs = false;
    r.wait(SECOND);
    assert_eq!(beats(&mut r, 2), Some(200), "asked and answered anew");
}

#[test]
fn a_registry_that_was_stopped_beside_the_leader_writes_nobody_off_when_it_wakes() {
    let mut r = registry();
    r.stands(true, true);
    r.pass(10 * SECOND, &["i-1"], &[1, 2, 3]);
    r.freeze(20 * SECOND);
    r.tell(Input::Tick);
    assert!(r.proposed.is_empty(), "all have been silent, as it did not listen: {:?}", r.proposed);
    r.pass(20 * SECOND, &["i-1"], &[1, 2, 3]);
    assert!(r.proposed.is_empty(), "{:?}", r.proposed);
    r.pass(5 * SECOND, &[], &[1, 2, 3]);
    assert!(
        matches!(&r.proposed[..], [(_, Command::Servers(c))] if matches!(c[..], [ServerChange::Gone { .. }]))
    );
}

#[test]
fn a_duty_bears_the_term_in_which_its_store_leads_and_waits_anew_in_the_next() {
    let mut r = registry();
    r.stands(true, true);
    r.pass(3 * SECOND, &[], &[1, 2, 3]);
    // Another term: what was not heard before does not count under it.
    r.term = 2;
    r.stands(true, true);
    r.pass(3 * SECOND, &[], &[1, 2, 3]);
    assert!(r.proposed.is_empty(), "{:?}", r.proposed);
    r.pass(3 * SECOND, &[], &[1, 2, 3]);
    // The store leads no more when it comes: it is not taken, and proposed again if it is still due.
    let (ticket, _) = r.proposed.remove(0);
    r.result(ticket, Err(Unsure::Not));
    r.pass(SECOND, &[], &[1, 2, 3]);
    assert_eq!(r.proposed.len(), 1);
}

#[test]
fn an_answer_that_came_too_late_for_its_caller_does_not_go_out_as_if_it_were_new() {
    let mut r = registry();
    let read = r.call("GET", "/api/configuration", None, "");
    let ticket = r.reads.remove(0);
    let order = r.call("POST", "/api/evacuation/north-a", None, "");
    let (proposed, command) = r.proposed.remove(0);
    let (rev, done) = r.lands(command);
    assert_eq!(done, Done::Taken);
    r.freeze(SECOND);
    r.tell(Input::Store(FromStore::Reads { ticket, result: Ok(rev) }));
    r.result(proposed, Ok((rev, done)));
    assert_eq!((r.status(read), r.status(order)), (Some(503), Some(503)));
}

#[test]
fn a_directory_that_is_cut_off_answers_while_proxies_come_to_it_and_not_longer() {
    let mut r = registry();
    for last in [1, 2, 3] {
        reports(&mut r, last, 1);
    }
    r.stands(false, false);
    assert_eq!(resolves(&mut r), Some(200), "they come by: no registry is fresh");
    r.wait(4 * BEAT);
    assert_eq!(resolves(&mut r), Some(200));
    r.wait(1);
    assert_eq!(resolves(&mut r), Some(503), "they have gone to one that is");
    reports(&mut r, 3, 2);
    assert_eq!(resolves(&mut r), Some(200));
    let call = r.call("GET", "/api/resolution?entity_name=h&region_name=north&zone_name=north-a", None, "");
    assert!(r.answers[&call].1.contains("10.9.1.1:80"), "silence says nothing about those of its zone");
}

#[test]
fn proxies_that_another_registry_told_of_are_given_time_when_it_falls_silent_itself() {
    let mut r = registry();
    let gossip = |count, nodes: &[u8]| {
        let (servers, usage, heads, leases) = Default::default();
        let (zone, nodes) = ("south-a".to_string(), nodes.iter().map(|n| seen(*n, count)).collect());
        Input::Peer(Gossip {
            ip: OTHER,
            zone,
            servers,
            nodes,
            usage,
            heads,
            day_ms: None,
            leases,
            tallies: vec![],
        })
    };
    let named = |r: &mut Registry| {
        let call =
            r.call("GET", "/api/resolution?entity_name=h&region_name=north&zone_name=north-a", None, "");
        r.answers[&call].1.matches("10.9.1.").count()
    };
    r.pass(3 * BEAT, &[], &[]);
    // One of two proxies of the zone is told of by the other registry, and the other reports here.
    r.lands(Command::Nodes(vec![NodeChange::Up(node(4, "north-a"))]));
    r.tell(gossip(1, &[1]));
    for count in 1..=6 {
        reports(&mut r, 4, count);
        r.wait(BEAT / 3);
    }
    assert_eq!(named(&mut r), 2, "that registry is silent, so that proxy need not be gone");
    for count in 7..=12 {
        reports(&mut r, 4, count);
        r.wait(BEAT / 3);
    }
    assert_eq!(named(&mut r), 1, "it had time to come to another");
    // A registry that goes on speaking, but not of that proxy, says that it is gone.
    r.tell(gossip(2, &[1]));
    for count in 13..=16 {
        reports(&mut r, 4, count);
        r.tell(gossip(2, &[]));
        r.wait(BEAT / 3);
    }
    assert_eq!(named(&mut r), 1);
    assert!(!r.out.iter().any(|o| matches!(o, Output::Store(ToStore::Duty { .. }))));
}

#[test]
fn no_order_is_refused_for_good_by_a_copy_that_may_be_old() {
    let mut r = registry();
    let orders = [("DELETE", "/api/drills/x"), ("GET", "/api/drills/x"), ("GET", "/api/bookings/x")];
    for (fresh, status) in [(true, 404), (false, 503)] {
        r.stands(fresh, false);
        for (method, target) in orders {
            let call = r.call(method, target, None, "");
            assert_eq!(r.status(call), Some(status), "{method} {target}: {:?}", r.answers.get(&call));
        }
    }
    let call = r.call("PUT", "/api/drills/x", None, &drill("unknown"));
    assert_eq!(r.status(call), Some(503));
    let call = r.call("DELETE", "/api/bookings/x", None, "");
    assert_eq!(r.status(call), Some(503));
}

fn drill(tenant: &str) -> String {
    format!(
        r#"{{"caller":{{"tenant_name":"{tenant}"}},"fault":{{"fault_kind":"lost"}},"duration_ms":9000,
        "asked_by":"operator","reason":"rehearsal"}}"#
    )
}
