//! Tests of drills at a proxy: whom a fault hits, how it changes the answer, that the decisions don't learn
//! of it, and when it ends.

mod common;

use cluster::drill::{DrillChange, Rows, Said};
use cluster::state::Command;
use cluster::talk::Lease;
use common::*;
use proxy::dispatcher::{Execution, Input, Output};
use settings::drill::Drill;

/// Starts a drill for the tenant of key k1, which has no quota.
fn start(proxy: &mut Proxy, name: &str, fault: &str, more_fields: &str) -> u64 {
    let body = format!(
        r#"{{"caller":{{"tenant_name":"reed"}},"fault":{{"fault_kind":{fault}}},{more_fields}"duration_ms":60000,
        "asked_by":"a","reason":"b"}}"#
    );
    let drill = Drill::read(name, body.as_bytes()).expect("a drill");
    proxy.learn(Command::Drill(DrillChange::Start(Box::new(drill))));
    let epoch = proxy.rev;
    send_lease(proxy, epoch, 60_000);
    epoch
}

fn send_lease(proxy: &mut Proxy, epoch: u64, left_ms: u32) {
    let now = proxy.now;
    proxy.tell(Input::Leases(vec![Lease { epoch, left_ms }], now));
}

fn due_reports(proxy: &mut Proxy) -> Vec<Rows> {
    let now = proxy.now;
    proxy.dispatcher.drill_rows(now)
}

/// Applies the pending reports to the agreed state, and returns them.
fn confirm_reports(proxy: &mut Proxy) -> Vec<Said> {
    let rows = due_reports(proxy);
    proxy.learn(Command::Drill(DrillChange::Rows(rows.clone())));
    rows.into_iter().flat_map(|r| r.said).collect()
}

#[test]
fn a_fault_before_sending_keeps_the_request_from_servers_and_hits_only_the_drilled_caller() {
    for (fault, status) in [(r#""refused""#, Some(503)), (r#""no_server""#, Some(503)), (r#""closed""#, None)]
    {
        let mut proxy = Proxy::with(&[("n", "north-a")]);
        start(&mut proxy, "x", fault, "");
        proxy.ask("/put/", Some("k1"));
        assert_eq!((proxy.sent().is_none(), proxy.status()), (true, status), "{fault}");
        assert!(status.is_none() || proxy.says_when());
        assert_eq!(proxy.out.iter().any(|o| matches!(o, Output::Close(_))), status.is_none());
        proxy.ask("/put/", Some("k3"));
        assert!(proxy.sent().is_some(), "another caller");
        proxy.ask("/put/", Some("no such key"));
        assert_eq!(proxy.status(), Some(401));
    }
}

#[test]
fn a_request_that_ran_is_never_answered_as_not_run_nor_retried() {
    let mut proxy = Proxy::with(&[("n", "north-a"), ("m", "north-a")]);
    start(&mut proxy, "x", r#""lost""#, "");
    for path in ["/put/", "/get/"] {
        let id = proxy.ask(path, Some("k1"));
        proxy.served(id, 0, 200, false);
        assert_eq!((proxy.status(), proxy.sent().is_none()), (Some(502), true), "{path}");
    }
    // A server that says it did not run the request is believed: a drill must not hide a real fault.
    let id = proxy.ask("/put/", Some("k1"));
    proxy.served(id, 0, 503, true);
    assert!(proxy.sent().is_some(), "the other server has room");
    proxy.broken(id, 1, Execution::MayHaveRun);
    assert_eq!(proxy.status(), Some(502));
}

#[test]
fn an_answer_comes_late_or_not_at_all_in_time_and_a_cut_one_is_marked() {
    let mut proxy = Proxy::with(&[("n", "north-a")]);
    start(&mut proxy, "x", r#""late","delay_ms":700"#, "");
    let id = proxy.ask("/get/", Some("k1"));
    proxy.served(id, 0, 200, false);
    assert_eq!(proxy.status(), None);
    proxy.now += 700_000;
    proxy.tell(Input::Tick);
    assert_eq!(proxy.status(), Some(200));
    let id = proxy.ask_within("/get/", Some("k1"), Some(500_000));
    proxy.served(id, 0, 200, false);
    proxy.now += 500_000;
    proxy.tell(Input::Tick);
    assert_eq!(proxy.status(), Some(504), "its time is up, and it ran");

    let mut proxy = Proxy::with(&[("n", "north-a")]);
    start(&mut proxy, "x", r#""cut""#, "");
    let id = proxy.ask("/put/", Some("k1"));
    proxy.served(id, 0, 200, false);
    assert!(proxy.status().is_none() && proxy.out.iter().any(|o| matches!(o, Output::Cut(_, _))));
}

/// Requests of other callers go to the same servers, whatever faults the drilled caller gets.
#[test]
fn the_decisions_are_not_affected_by_a_drill() {
    let destinations = |drilled: bool| {
        let mut proxy = Proxy::with(&[("n", "north-a"), ("m", "north-a"), ("l", "north-b")]);
        if drilled {
            start(&mut proxy, "x", r#""lost""#, "");
        }
        let mut servers = Vec::new();
        for n in 0..60 {
            let key = if n % 3 == 0 { "k1" } else { "k3" };
            let id = proxy.ask("/get/", Some(key));
            servers.push(proxy.goes_to().map(str::to_string));
            proxy.now += 20_000;
            proxy.served(id, 0, 200, false);
        }
        servers
    };
    assert_eq!(destinations(true), destinations(false));
    // A server that a drill makes unreachable gets nothing from the caller, and its rating doesn't suffer.
    let mut proxy = Proxy::with(&[("n", "north-a")]);
    start(&mut proxy, "y", r#""unreachable","server_id":"n""#, "");
    for _ in 0..20 {
        proxy.ask("/put/", Some("k1"));
        assert_eq!((proxy.sent().is_none(), proxy.status()), (true, Some(503)));
    }
    proxy.ask("/put/", Some("k3"));
    assert_eq!(proxy.goes_to(), Some("n"));
}

#[test]
fn a_counted_fault_waits_for_its_grant_and_a_late_grant_goes_to_the_next_request() {
    let mut proxy = Proxy::with(&[("n", "north-a")]);
    start(&mut proxy, "x", r#""refused""#, r#""count":2,"#);
    proxy.ask("/get/", Some("k1"));
    assert!(proxy.out.is_empty(), "waits for a grant");
    assert_eq!(confirm_reports(&mut proxy), [Said::Ask("name".into())]);
    assert_eq!(proxy.status(), Some(503), "granted");
    // No grant arrives: the request goes on without a fault.
    proxy.ask("/get/", Some("k1"));
    proxy.now += 400_000;
    proxy.tell(Input::Tick);
    assert!(proxy.sent().is_some());
    let said = confirm_reports(&mut proxy);
    assert!(matches!(&said[..], [Said::Met { grant: Some(1), .. }, Said::Ask(_)]), "{said:?}");
    proxy.ask("/get/", Some("k1"));
    assert_eq!(proxy.status(), Some(503), "by the late grant, without asking");
    proxy.now += SECOND;
    assert!(matches!(&confirm_reports(&mut proxy)[..], [Said::Met { grant: Some(3), .. }]));
    proxy.ask("/get/", Some("k1"));
    assert!(proxy.sent().is_some(), "the count is used up");
    assert!(due_reports(&mut proxy).is_empty());
}

#[test]
fn a_drill_lapses_without_a_lease_and_a_delayed_lease_does_not_extend_it() {
    let mut proxy = Proxy::with(&[("n", "north-a")]);
    let epoch = start(&mut proxy, "x", r#""refused""#, "");
    let mut gets_fault = |us: u64, left: Option<u32>| {
        proxy.now += us;
        if let Some(left_ms) = left {
            send_lease(&mut proxy, epoch, left_ms);
        }
        proxy.ask("/get/", Some("k1"));
        proxy.status() == Some(503)
    };
    assert!(gets_fault(900_000, None));
    assert!(!gets_fault(200_000, None), "no lease for a heartbeat period");
    assert!(gets_fault(0, Some(58_000)));
    assert!(gets_fault(500_000, Some(400)));
    assert!(!gets_fault(450_000, Some(58_000)), "a delayed lease");
    // A drill that was stopped does nothing, even if a lease for it still arrives.
    let mut proxy = Proxy::with(&[("n", "north-a")]);
    let epoch = start(&mut proxy, "x", r#""refused""#, "");
    proxy.learn(Command::Drill(DrillChange::Stop { name: "x".into(), epoch: None, why: "stopped".into() }));
    send_lease(&mut proxy, epoch, 50_000);
    proxy.ask("/get/", Some("k1"));
    assert!(proxy.sent().is_some(), "stopped");
}

#[test]
fn real_failures_end_a_drill() {
    let mut proxy = Proxy::with(&[("n", "north-a")]);
    start(&mut proxy, "x", r#""late","delay_ms":1"#, r#""guard":{"real_failures":2},"#);
    for _ in 0..2 {
        let id = proxy.ask("/put/", Some("k1"));
        proxy.broken(id, 0, Execution::MayHaveRun);
    }
    let said = confirm_reports(&mut proxy);
    assert!(said.iter().any(|s| matches!(s, Said::Guard(why) if why.contains("2 real"))), "{said:?}");
    assert_eq!(proxy.dispatcher.copy.state.drills.running().count(), 0);
}
