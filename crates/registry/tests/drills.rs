//! Drills at a registry: what it refuses, whom it tells how long they have, what it hands to the log, when it ends one.

mod common;

use cluster::drill::{DrillChange, Rows, Said};
use cluster::state::{Change, Command};
use cluster::talk::{Down, Gossip, Lease, Up};
use common::*;
use registry::board::{Input, Output};

fn registry() -> Registry {
    let change = Change { base: 0, patch: false, body: config(1).into_bytes() };
    Registry::new(vec![Command::Configure(change), nodes(&[(1, "north-a")])])
}

fn body(caller: &str, fault: &str) -> String {
    format!(
        r#"{{"caller":{caller},"fault":{fault},"count":2,"duration_ms":9000,"asked_by":"a","reason":"b"}}"#
    )
}

const REED: &str = r#"{"tenant_name":"reed"}"#;
const LOST: &str = r#"{"fault_kind":"lost"}"#;

fn told(r: &Registry) -> (Option<Lease>, Option<Lease>) {
    let mut told = (None, None);
    for output in &r.out {
        match output {
            Output::Proxy(_, Down::Leases(leases, _)) => told.0 = leases.first().copied(),
            Output::Peer(_, gossip) => told.1 = gossip.leases.first().copied(),
            _ => {}
        }
    }
    told
}

#[test]
fn a_drill_that_meets_nobody_or_everybody_is_refused_and_a_dry_run_changes_nothing() {
    let mut r = registry();
    for (target, body, status, words) in [
        ("x", body(r#"{"tenant_name":"fern"}"#, LOST), 422, "no tenant"),
        ("x", body(r#"{"route_name":"get"}"#, LOST), 400, "matches everybody"),
        ("x", body(REED, r#"{"fault_kind":"unreachable","server_id":"s9"}"#), 422, "no server"),
        ("x", body(REED, r#"{"fault_kind":"unreachable","zone_name":"west"}"#), 422, "no zone"),
        ("x?dry_run=true", body(REED, LOST), 200, r#""met_at_most":0"#),
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
fn who_took_the_call_tells_how_long_it_may_last_and_ends_it() {
    let mut r = registry();
    r.tell(Input::Proxy(5, Up::Hello { node: node(1, "north-a"), rev: 0 }));
    let call = r.call("PUT", "/api/drills/x", None, &body(REED, LOST));
    r.wait(100_000);
    let (ticket, command) = r.proposed.remove(0);
    let landed = r.lands(command);
    let lease = Lease { epoch: landed.0, left_ms: 8_900 };
    assert_eq!(told(&r), (Some(lease), Some(lease)), "at once, to followers and registries");
    r.result(ticket, Ok(landed));
    assert_eq!(r.status(call), Some(200));

    // A question goes to the log at once, what was met with the next round.
    let rows =
        |first, said| vec![Rows { epoch: lease.epoch, ip: node(1, "north-a").ip, life: 3, first, said }];
    r.tell(Input::Proxy(5, Up::Drill(rows(1, vec![Said::Ask("try-1".into())]))));
    assert_eq!(r.proposed.len(), 1);
    r.land();
    r.tell(Input::Proxy(5, Up::Drill(rows(1, vec![Said::Ask("try-1".into())]))));
    assert!(r.proposed.is_empty(), "it is in the log");
    let met = Said::Met { attempt: String::new(), grant: Some(1) };
    r.tell(Input::Proxy(5, Up::Drill(rows(2, vec![met]))));
    assert!(r.proposed.is_empty());
    r.wait(BEAT);
    r.land();
    let call = r.call("GET", "/api/drills/x", None, "");
    let text = &r.answers[&call].1;
    assert!(text.contains(r#""met_count":1"#) && text.contains(r#""node_name":"edge-1""#), "{text}");
    assert!(text.contains(r#""attempt_id":"try-1""#), "{text}");

    // Its time is up: beside the leader it ends in the log, and nobody is told of it any more.
    r.stands(true, true);
    r.wait(10 * SECOND);
    let ended = r.proposed.iter().any(
        |(_, c)| matches!(c, Command::Drill(DrillChange::Stop { epoch, .. }) if *epoch == Some(lease.epoch)),
    );
    assert!(ended, "{:?}", r.proposed);
    r.wait(BEAT);
    assert_eq!(told(&r), (None, None));
}

#[test]
fn a_registry_that_did_not_take_the_call_knows_the_end_from_the_others_or_ends_the_drill() {
    let mut r = registry();
    r.tell(Input::Proxy(5, Up::Hello { node: node(1, "north-a"), rev: 0 }));
    let start = |name| {
        let drill = settings::drill::Drill::read(name, body(REED, LOST).as_bytes()).expect("a drill");
        Command::Drill(DrillChange::Start(Box::new(drill)))
    };
    let (epoch, _) = r.lands(start("x"));
    r.wait(BEAT);
    assert_eq!(told(&r), (None, None), "it cannot tell");
    let gossip = |left_ms| {
        let (servers, nodes, usage, heads) = Default::default();
        let (zone, leases) = ("south-a".to_string(), vec![Lease { epoch, left_ms }]);
        Input::Peer(Gossip {
            ip: OTHER,
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
    r.tell(gossip(5_000));
    r.tell(gossip(9_000)); // held up on its way: it does not make it longer
    r.wait(BEAT);
    // The third round of that beat came a microsecond before its end; what is left is rounded up.
    assert_eq!(told(&r).0, Some(Lease { epoch, left_ms: 4_001 }));

    let (lost, _) = r.lands(start("y"));
    r.stands(true, true);
    for _ in 0..20 {
        r.wait(BEAT / 3);
    }
    let ends =
        |c: &Command, of| matches!(c, Command::Drill(DrillChange::Stop { epoch, .. }) if *epoch == Some(of));
    assert!(r.proposed.iter().any(|(_, c)| ends(c, lost)), "{:?}", r.proposed);
}
