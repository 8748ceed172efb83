//! Drills at a registry: refused requests, the time left that is sent to others, reports for the log, and the end of
//! a drill.

mod common;

use cluster::drill::{DrillChange, Rows, Said};
use cluster::state::{Change, Command};
use cluster::talk::{Down, Gossip, Lease, Up};
use common::*;
use registry::control_plane::{Input, Output};

fn registry() -> Registry {
    let change = Change { base: 0, patch: false, body: config(1).into_bytes() };
    Registry::new(vec![Command::Configure(change), add_nodes(&[(1, "north-a")])])
}

fn body(caller: &str, fault: &str) -> String {
    format!(
        r#"{{"caller":{caller},"fault":{fault},"count":2,"duration_ms":9000,"asked_by":"a","reason":"b"}}"#
    )
}

const TENANT_CALLER: &str = r#"{"tenant_name":"reed"}"#;
const LOST_FAULT: &str = r#"{"fault_kind":"lost"}"#;

fn leases_sent(r: &Registry) -> (Option<Lease>, Option<Lease>) {
    let mut sent = (None, None);
    for output in &r.out {
        match output {
            Output::Proxy(_, Down::Leases(leases, _)) => sent.0 = leases.first().copied(),
            Output::Peer(_, gossip) => sent.1 = gossip.leases.first().copied(),
            _ => {}
        }
    }
    sent
}

#[test]
fn a_drill_that_meets_nobody_or_everybody_is_refused_and_a_dry_run_changes_nothing() {
    let mut r = registry();
    for (target, body, status, words) in [
        ("x", body(r#"{"tenant_name":"fern"}"#, LOST_FAULT), 422, "no tenant"),
        ("x", body(r#"{"route_name":"get"}"#, LOST_FAULT), 400, "matches everybody"),
        ("x", body(TENANT_CALLER, r#"{"fault_kind":"unreachable","server_id":"s9"}"#), 422, "no server"),
        ("x", body(TENANT_CALLER, r#"{"fault_kind":"unreachable","zone_name":"west"}"#), 422, "no zone"),
        ("x?dry_run=true", body(TENANT_CALLER, LOST_FAULT), 200, r#""met_at_most":0"#),
    ] {
        let call = r.call("PUT", &format!("/api/drills/{target}"), None, &body);
        let (found, text) = &r.answers[&call];
        assert!(*found == status && text.contains(words), "{found} {text}");
    }
    assert!(r.proposed.is_empty());
    let call = r.call("DELETE", "/api/drills/x", None, "");
    assert_eq!(r.status(call), Some(404));
}

#[test]
fn the_registry_that_took_the_call_announces_the_end_of_a_drill_and_ends_it() {
    let mut r = registry();
    r.handle(Input::Proxy(5, Up::Hello { node: node(1, "north-a"), rev: 0 }));
    let call = r.call("PUT", "/api/drills/x", None, &body(TENANT_CALLER, LOST_FAULT));
    r.run_for(100_000);
    let (ticket, command) = r.proposed.remove(0);
    let landed = r.commit(command);
    let lease = Lease { epoch: landed.0, left_ms: 8_900 };
    assert_eq!(leases_sent(&r), (Some(lease), Some(lease)), "at once, to followers and registries");
    r.report_result(ticket, Ok(landed));
    assert_eq!(r.status(call), Some(200));

    // A request for a grant goes to the log at once, met faults with the next round.
    let rows =
        |first, said| vec![Rows { epoch: lease.epoch, ip: node(1, "north-a").ip, life: 3, first, said }];
    r.handle(Input::Proxy(5, Up::Drill(rows(1, vec![Said::Ask("try-1".into())]))));
    assert_eq!(r.proposed.len(), 1);
    r.commit_proposed();
    r.handle(Input::Proxy(5, Up::Drill(rows(1, vec![Said::Ask("try-1".into())]))));
    assert!(r.proposed.is_empty(), "it is in the log");
    let met = Said::Met { attempt: String::new(), grant: Some(1) };
    r.handle(Input::Proxy(5, Up::Drill(rows(2, vec![met]))));
    assert!(r.proposed.is_empty());
    r.run_for(HEARTBEAT);
    r.commit_proposed();
    let call = r.call("GET", "/api/drills/x", None, "");
    let text = &r.answers[&call].1;
    assert!(text.contains(r#""met_count":1"#) && text.contains(r#""node_name":"edge-1""#), "{text}");
    assert!(text.contains(r#""attempt_id":"try-1""#), "{text}");

    // Its time is up: on the leader's machine it is ended in the log, and its time left is no longer sent.
    r.set_store_standing(true, true);
    r.run_for(10 * SECOND);
    let ended = r.proposed.iter().any(
        |(_, c)| matches!(c, Command::Drill(DrillChange::Stop { epoch, .. }) if *epoch == Some(lease.epoch)),
    );
    assert!(ended, "{:?}", r.proposed);
    r.run_for(HEARTBEAT);
    assert_eq!(leases_sent(&r), (None, None));
}

#[test]
fn a_registry_that_did_not_take_the_call_knows_the_end_from_the_others_or_ends_the_drill() {
    let mut r = registry();
    r.handle(Input::Proxy(5, Up::Hello { node: node(1, "north-a"), rev: 0 }));
    let start = |name| {
        let drill =
            settings::drill::Drill::read(name, body(TENANT_CALLER, LOST_FAULT).as_bytes()).expect("a drill");
        Command::Drill(DrillChange::Start(Box::new(drill)))
    };
    let (epoch, _) = r.commit(start("x"));
    r.run_for(HEARTBEAT);
    assert_eq!(leases_sent(&r), (None, None), "it does not know the end");
    let gossip = |left_ms| {
        let (servers, nodes, usage, heads) = Default::default();
        let (zone, leases) = ("south-a".to_string(), vec![Lease { epoch, left_ms }]);
        Input::Peer(Gossip {
            ip: PEER_IP,
            zone,
            servers,
            nodes,
            usage,
            heads,
            day_ms: Some(0),
            leases,
            tallies: vec![],
        })
    };
    r.handle(gossip(5_000));
    r.handle(gossip(9_000)); // delayed on its way: the drill does not get longer
    r.run_for(HEARTBEAT);
    // The third round of that heartbeat interval came a microsecond before its end; the time left is rounded up.
    assert_eq!(leases_sent(&r).0, Some(Lease { epoch, left_ms: 4_001 }));

    let (lost, _) = r.commit(start("y"));
    r.set_store_standing(true, true);
    for _ in 0..20 {
        r.run_for(HEARTBEAT / 3);
    }
    let ends =
        |c: &Command, of| matches!(c, Command::Drill(DrillChange::Stop { epoch, .. }) if *epoch == Some(of));
    assert!(r.proposed.iter().any(|(_, c)| ends(c, lost)), "{:?}", r.proposed);
}
