//! A rehearsed fault at a proxy: whom it meets, what it makes of the answer, that the decisions hear nothing of it, and when
//! it is over.

mod common;

use cluster::drill::{DrillChange, Rows, Said};
use cluster::state::Command;
use cluster::talk::Lease;
use common::*;
use proxy::front::{Input, Output, Reached};
use settings::drill::Drill;

/// For the tenant of k1, which has no limit.
fn start(proxy: &mut Proxy, name: &str, fault: &str, rest: &str) -> u64 {
    let body = format!(
        r#"{{"caller":{{"tenant_name":"reed"}},"fault":{{"fault_kind":{fault}}},{rest}"duration_ms":60000,
        "asked_by":"a","reason":"b"}}"#
    );
    let drill = Drill::read(name, body.as_bytes()).expect("a drill");
    proxy.learn(Command::Drill(DrillChange::Start(Box::new(drill))));
    let epoch = proxy.rev;
    lease(proxy, epoch, 60_000);
    epoch
}

fn lease(proxy: &mut Proxy, epoch: u64, left_ms: u32) {
    let now = proxy.now;
    proxy.tell(Input::Leases(vec![Lease { epoch, left_ms }], now));
}

fn rows(proxy: &mut Proxy) -> Vec<Rows> {
    let now = proxy.now;
    proxy.front.drill_rows(now)
}

/// What it has said is in the log.
fn land(proxy: &mut Proxy) -> Vec<Said> {
    let rows = rows(proxy);
    proxy.learn(Command::Drill(DrillChange::Rows(rows.clone())));
    rows.into_iter().flat_map(|r| r.said).collect()
}

#[test]
fn what_is_never_to_go_out_does_not_and_only_the_caller_meets_it() {
    for (fault, status) in [(r#""refused""#, Some(503)), (r#""no_server""#, Some(503)), (r#""closed""#, None)]
    {
        let mut proxy = Proxy::with(&[("n", "north-a")]);
        start(&mut proxy, "x", fault, "");
        proxy.ask("/put/", Some("k1"));
        assert_eq!((proxy.sent().is_none(), proxy.status()), (true, status), "{fault}");
        assert!(status.is_none() || proxy.says_when());
        assert_eq!(proxy.out.iter().any(|o| matches!(o, Output::Close(_))), status.is_none());
        proxy.ask("/put/", Some("k3"));
        assert!(proxy.sent().is_some(), "another's");
        proxy.ask("/put/", Some("no such key"));
        assert_eq!(proxy.status(), Some(401));
    }
}

#[test]
fn what_ran_is_never_answered_by_a_promise_nor_sent_again() {
    let mut proxy = Proxy::with(&[("n", "north-a"), ("m", "north-a")]);
    start(&mut proxy, "x", r#""lost""#, "");
    for path in ["/put/", "/get/"] {
        let id = proxy.ask(path, Some("k1"));
        proxy.served(id, 0, 200, false);
        assert_eq!((proxy.status(), proxy.sent().is_none()), (Some(502), true), "{path}");
    }
    // A server that says that it did not run it is believed: no rehearsal hides a real fault.
    let id = proxy.ask("/put/", Some("k1"));
    proxy.served(id, 0, 503, true);
    assert!(proxy.sent().is_some(), "the other server has room");
    proxy.broken(id, 1, Reached::MayHaveRun);
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

/// The same requests of others go to the same servers, whatever the drilled caller's met meanwhile.
#[test]
fn the_decisions_hear_nothing_of_a_rehearsal() {
    let play = |drilled: bool| {
        let mut proxy = Proxy::with(&[("n", "north-a"), ("m", "north-a"), ("l", "north-b")]);
        if drilled {
            start(&mut proxy, "x", r#""lost""#, "");
        }
        let mut went = Vec::new();
        for n in 0..60 {
            let key = if n % 3 == 0 { "k1" } else { "k3" };
            let id = proxy.ask("/get/", Some(key));
            went.push(proxy.goes_to().map(str::to_string));
            proxy.now += 20_000;
            proxy.served(id, 0, 200, false);
        }
        went
    };
    assert_eq!(play(true), play(false));
    // One unreachable server: never sent there, and no worse in anybody's eyes.
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
fn a_counted_fault_waits_for_its_grant_and_one_that_comes_late_is_the_next_requests() {
    let mut proxy = Proxy::with(&[("n", "north-a")]);
    start(&mut proxy, "x", r#""refused""#, r#""count":2,"#);
    proxy.ask("/get/", Some("k1"));
    assert!(proxy.out.is_empty(), "held back");
    assert_eq!(land(&mut proxy), [Said::Ask("name".into())]);
    assert_eq!(proxy.status(), Some(503), "granted");
    // Nobody answers: it goes on without.
    proxy.ask("/get/", Some("k1"));
    proxy.now += 400_000;
    proxy.tell(Input::Tick);
    assert!(proxy.sent().is_some());
    let said = land(&mut proxy);
    assert!(matches!(&said[..], [Said::Met { grant: Some(1), .. }, Said::Ask(_)]), "{said:?}");
    proxy.ask("/get/", Some("k1"));
    assert_eq!(proxy.status(), Some(503), "by the late grant, without asking");
    proxy.now += SECOND;
    assert!(matches!(&land(&mut proxy)[..], [Said::Met { grant: Some(3), .. }]));
    proxy.ask("/get/", Some("k1"));
    assert!(proxy.sent().is_some(), "the count is used up");
    assert!(rows(&mut proxy).is_empty());
}

#[test]
fn a_rule_lapses_without_news_and_a_late_word_does_not_make_it_longer() {
    let mut proxy = Proxy::with(&[("n", "north-a")]);
    let epoch = start(&mut proxy, "x", r#""refused""#, "");
    let mut meets = |us: u64, left: Option<u32>| {
        proxy.now += us;
        if let Some(left_ms) = left {
            lease(&mut proxy, epoch, left_ms);
        }
        proxy.ask("/get/", Some("k1"));
        proxy.status() == Some(503)
    };
    assert!(meets(900_000, None));
    assert!(!meets(200_000, None), "a beat without a word");
    assert!(meets(0, Some(58_000)));
    assert!(meets(500_000, Some(400)));
    assert!(!meets(450_000, Some(58_000)), "held up on its way");
    // A drill of which no lease has come does not act.
    let mut proxy = Proxy::with(&[("n", "north-a")]);
    let epoch = start(&mut proxy, "x", r#""refused""#, "");
    proxy.learn(Command::Drill(DrillChange::Stop { name: "x".into(), epoch: None, why: "stopped".into() }));
    lease(&mut proxy, epoch, 50_000);
    proxy.ask("/get/", Some("k1"));
    assert!(proxy.sent().is_some(), "stopped");
}

#[test]
fn real_failures_end_a_drill() {
    let mut proxy = Proxy::with(&[("n", "north-a")]);
    start(&mut proxy, "x", r#""late","delay_ms":1"#, r#""guard":{"real_failures":2},"#);
    for _ in 0..2 {
        let id = proxy.ask("/put/", Some("k1"));
        proxy.broken(id, 0, Reached::MayHaveRun);
    }
    let said = land(&mut proxy);
    assert!(said.iter().any(|s| matches!(s, Said::Guard(why) if why.contains("2 real"))), "{said:?}");
    assert_eq!(proxy.front.copy.state.drills.running().count(), 0);
}
