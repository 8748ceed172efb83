//! A registry whose store, or which itself, no longer knows what the majority has agreed on.

mod common;

use cluster::state::{Command, Done, NodeChange, ServerChange};
use cluster::talk::{Down, FRESH_US, FromStore, Gossip, ToStore, Unsure, Up};
use common::*;
use registry::control_plane::{Input, Output};

const INSTANCE_PATH: &str = "/api/instances/i-1";

fn registry_with_members() -> Registry {
    Registry::new(vec![
        add_nodes(&[(1, "north-a"), (2, "north-b"), (3, "south-a")]),
        add_server("i-1", "10.9.2.1:80"),
    ])
}

fn heartbeat_status(r: &mut Registry, sequence: u64) -> Option<u16> {
    let call =
        r.call("PUT", INSTANCE_PATH, None, &heartbeat_body("10.9.2.1:80", "available", sequence, false));
    r.status(call)
}

fn resolution_status(r: &mut Registry) -> Option<u16> {
    let call = r.call("GET", "/api/resolution?entity_name=h&region_name=north&zone_name=north-a", None, "");
    r.status(call)
}

fn report_proxy(r: &mut Registry, last: u8, count: u64) {
    let report = Up::Report { rev: 0, head: None, seen: vec![proxy_report(last, count)], usage: Vec::new() };
    r.handle(Input::Proxy(last.into(), report));
}

fn freshness_sent(r: &Registry) -> Option<Option<u32>> {
    let sent = r.out.iter().rev();
    sent.filter_map(|o| match o {
        Output::Proxy(_, Down::Standing(s)) => Some(s.fresh_ms),
        _ => None,
    })
    .next()
}

#[test]
fn a_registry_whose_store_is_not_fresh_sends_servers_elsewhere_and_refuses_nothing_for_good() {
    let mut r = registry_with_members();
    assert_eq!(heartbeat_status(&mut r, 1), Some(200));
    r.set_store_standing(false, false);
    assert_eq!(heartbeat_status(&mut r, 2), Some(503), "the others do not hear of it");
    let leaves = r.call("DELETE", INSTANCE_PATH, None, "");
    assert_eq!(r.status(leaves), Some(503));
    assert!(r.proposed.is_empty(), "nothing is left that could commit later");
    r.set_store_standing(true, false);
    assert_eq!(heartbeat_status(&mut r, 3), Some(200));
    // An instance that has left stays away, whichever registry answers.
    r.commit(Command::Servers(vec![ServerChange::Gone { id: "i-1".into(), said: true }]));
    r.set_store_standing(false, false);
    assert_eq!(heartbeat_status(&mut r, 4), Some(200), "a late call of an instance that has left");
}

#[test]
fn a_store_that_hangs_beside_a_live_registry_makes_it_stale_within_the_bound() {
    let mut r = registry_with_members();
    r.handle(Input::Proxy(1, Up::Hello { node: node(1, "north-a"), rev: 0 }));
    r.store_hangs = true;
    r.run_for(FRESH_US - 1);
    assert_eq!(heartbeat_status(&mut r, 1), Some(200));
    r.run_for(1);
    assert_eq!(heartbeat_status(&mut r, 2), Some(503), "the link is up, but the store does not answer");
    r.run_for(HEARTBEAT / 3);
    assert_eq!(freshness_sent(&r), Some(None), "proxies are told to go elsewhere");
}

#[test]
fn what_the_store_said_before_the_registry_was_stopped_does_not_make_it_fresh() {
    let mut r = registry_with_members();
    r.run_for(SECOND);
    let asked = r.now;
    r.pause(20 * SECOND);
    // The answer waited in the link meanwhile and is read before any call.
    let old =
        FromStore::Standing { core: vec![OWN_IP, PEER_IP], fresh_ms: Some(0), leads: true, term: 1, asked };
    r.store_hangs = true;
    r.handle(Input::Store(old));
    assert_eq!(heartbeat_status(&mut r, 1), Some(503));
    assert_eq!(resolution_status(&mut r), Some(503));
    r.store_hangs = false;
    r.run_for(SECOND);
    assert_eq!(heartbeat_status(&mut r, 2), Some(200), "asked and answered anew");
}

#[test]
fn a_paused_registry_of_the_leader_removes_no_members_when_it_resumes() {
    let mut r = registry_with_members();
    r.set_store_standing(true, true);
    r.run_with_gossip(10 * SECOND, &["i-1"], &[1, 2, 3]);
    r.pause(20 * SECOND);
    r.handle(Input::Tick);
    assert!(r.proposed.is_empty(), "the silence was its own: {:?}", r.proposed);
    r.run_with_gossip(20 * SECOND, &["i-1"], &[1, 2, 3]);
    assert!(r.proposed.is_empty(), "{:?}", r.proposed);
    r.run_with_gossip(5 * SECOND, &[], &[1, 2, 3]);
    assert!(
        matches!(&r.proposed[..], [(_, Command::Servers(c))] if matches!(c[..], [ServerChange::Gone { .. }]))
    );
}

#[test]
fn a_leader_command_carries_the_term_of_its_store_and_the_wait_restarts_in_the_next_term() {
    let mut r = registry_with_members();
    r.set_store_standing(true, true);
    r.run_with_gossip(3 * SECOND, &[], &[1, 2, 3]);
    // In another term, earlier silence does not count.
    r.term = 2;
    r.set_store_standing(true, true);
    r.run_with_gossip(3 * SECOND, &[], &[1, 2, 3]);
    assert!(r.proposed.is_empty(), "{:?}", r.proposed);
    r.run_with_gossip(3 * SECOND, &[], &[1, 2, 3]);
    // The store no longer leads when the command arrives: it is not taken, and is proposed again if it is still due.
    let (ticket, _) = r.proposed.remove(0);
    r.report_result(ticket, Err(Unsure::Not));
    r.run_with_gossip(SECOND, &[], &[1, 2, 3]);
    assert_eq!(r.proposed.len(), 1);
}

#[test]
fn an_answer_that_came_too_late_for_its_caller_does_not_go_out_as_if_it_were_new() {
    let mut r = registry_with_members();
    let read = r.call("GET", "/api/configuration", None, "");
    let ticket = r.reads.remove(0);
    let order = r.call("POST", "/api/evacuation/north-a", None, "");
    let (proposed, command) = r.proposed.remove(0);
    let (rev, done) = r.commit(command);
    assert_eq!(done, Done::Taken);
    r.pause(SECOND);
    r.handle(Input::Store(FromStore::Reads { ticket, result: Ok(rev) }));
    r.report_result(proposed, Ok((rev, done)));
    assert_eq!((r.status(read), r.status(order)), (Some(503), Some(503)));
}

#[test]
fn a_directory_that_is_cut_off_answers_while_proxies_come_to_it_and_not_longer() {
    let mut r = registry_with_members();
    for last in [1, 2, 3] {
        report_proxy(&mut r, last, 1);
    }
    r.set_store_standing(false, false);
    assert_eq!(resolution_status(&mut r), Some(200), "proxies still report here: no registry is fresh");
    r.run_for(4 * HEARTBEAT);
    assert_eq!(resolution_status(&mut r), Some(200));
    r.run_for(1);
    assert_eq!(resolution_status(&mut r), Some(503), "they report to a fresh registry");
    report_proxy(&mut r, 3, 2);
    assert_eq!(resolution_status(&mut r), Some(200));
    let call = r.call("GET", "/api/resolution?entity_name=h&region_name=north&zone_name=north-a", None, "");
    assert!(r.answers[&call].1.contains("10.9.1.1:80"), "silence does not rule out the proxies of the zone");
}

#[test]
fn proxies_that_another_registry_told_of_are_given_time_when_it_falls_silent_itself() {
    let mut r = registry_with_members();
    let gossip = |count, nodes: &[u8]| {
        let (servers, usage, heads, leases) = Default::default();
        let (zone, nodes) = ("south-a".to_string(), nodes.iter().map(|n| proxy_report(*n, count)).collect());
        Input::Peer(Gossip {
            ip: PEER_IP,
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
    let named_count = |r: &mut Registry| {
        let call =
            r.call("GET", "/api/resolution?entity_name=h&region_name=north&zone_name=north-a", None, "");
        r.answers[&call].1.matches("10.9.1.").count()
    };
    r.run_with_gossip(3 * HEARTBEAT, &[], &[]);
    // Of the two proxies of the zone, one reports to the other registry and one reports here.
    r.commit(Command::Nodes(vec![NodeChange::Up(node(4, "north-a"))]));
    r.handle(gossip(1, &[1]));
    for count in 1..=6 {
        report_proxy(&mut r, 4, count);
        r.run_for(HEARTBEAT / 3);
    }
    assert_eq!(named_count(&mut r), 2, "that registry is silent, so the proxy may still be there");
    for count in 7..=12 {
        report_proxy(&mut r, 4, count);
        r.run_for(HEARTBEAT / 3);
    }
    assert_eq!(named_count(&mut r), 1, "it had time to come to another");
    // A registry that still sends gossip, but not about that proxy, shows that the proxy is gone.
    r.handle(gossip(2, &[1]));
    for count in 13..=16 {
        report_proxy(&mut r, 4, count);
        r.handle(gossip(2, &[]));
        r.run_for(HEARTBEAT / 3);
    }
    assert_eq!(named_count(&mut r), 1);
    assert!(!r.out.iter().any(|o| matches!(o, Output::Store(ToStore::Duty { .. }))));
}

#[test]
fn no_order_is_refused_for_good_by_a_copy_that_may_be_old() {
    let mut r = registry_with_members();
    let orders = [("DELETE", "/api/drills/x"), ("GET", "/api/drills/x"), ("GET", "/api/bookings/x")];
    for (fresh, status) in [(true, 404), (false, 503)] {
        r.set_store_standing(fresh, false);
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
