//! `curlewfront rollout` against stand-in registries: what is asked, what is shown, and the exit codes.

mod common;

use common::{Does, run, says, stand_in};
use std::net::{SocketAddr, TcpListener};

/// An answer about a rollout: its epoch, state, stage and reason, and the answers counted of the new version.
fn told(epoch: u32, state: &str, stage: &str, reason: &str, answers: Option<u32>) -> Does {
    let left = if state == "in_progress" { "7400" } else { "null" };
    let new = match answers {
        Some(n) => format!(
            r#""answer_count":{n},"failure_count":3,"median_ms":{{"from":201.6,"below":254}},
               "percentile_95_ms":{{"from":8192.5,"below":null}}"#
        ),
        None => r#""answer_count":null,"failure_count":null,"median_ms":null,"percentile_95_ms":null"#.into(),
    };
    says(
        200,
        &format!(
            r#"{{"service_ref":"heron","target_version":"v2","rollout_term_s":12,"server_state":"{state}",
            "stage":"{stage}","reason":"{reason}","epoch":{epoch},"left_ms":{left},
            "old_side":{{"version_names":["v0","v1"],"server_count":10,"answer_count":2000,"failure_count":0,
            "median_ms":null,"percentile_95_ms":null}},
            "new_side":{{"version_names":["v2"],"server_count":4,{new}}}}}"#
        ),
    )
}

fn trial(answers: Option<u32>) -> Does {
    told(17, "in_progress", "trial", "ordered", answers)
}

fn watch(at: &[SocketAddr]) -> (i32, String, String) {
    run(at, &["rollout", "watch", "heron", "--every", "1"])
}

/// A port on which nobody listens.
fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port")
}

/// The cells of a row of a report.
fn row<'a>(report: &'a str, what: &str) -> Vec<&'a str> {
    let line =
        report.lines().find_map(|l| l.strip_prefix(what)).unwrap_or_else(|| panic!("{what}: {report}"));
    line.split("  ").map(str::trim).filter(|cell| !cell.is_empty()).collect()
}

#[test]
fn an_order_is_sent_as_it_was_said_and_a_refusal_names_its_reason() {
    let under_way = r#"{"trouble":"a rollout to v2 is under way"}"#;
    let unknown = r#"{"trouble":"no service \"crane\" in the configuration"}"#;
    let (at, calls) =
        stand_in(vec![says(200, "{}"), says(409, under_way), says(404, unknown), says(200, "{}")]);
    let start = |service, version| run(&[at], &["rollout", "start", service, version, "--term", "12.5"]);
    let (code, said, why) = start("heron", "v2");
    assert_eq!(
        (code, said.as_str()),
        (0, "heron: rollout to v2 is ordered, to end within 12.5 s\n"),
        "{why}"
    );
    let (code, _, why) = start("heron", "v3");
    assert_eq!((code, why.contains("a rollout to v2 is under way (409)")), (1, true), "{why}");
    let (code, _, why) = start("crane", "v2");
    assert_eq!((code, why.contains(r#"no service "crane" in the configuration (404)"#)), (1, true), "{why}");
    let json = run(&[at], &["rollout", "start", "heron", "v2", "--term", "12", "--json"]);
    assert_eq!((json.0, json.1.as_str()), (0, "{}\n"));
    let calls = calls.join().expect("the stand-in");
    assert!(calls[0].starts_with("POST /api/rollouts HTTP/1.1\r\n"), "{}", calls[0]);
    let order = r#"{"service_ref":"heron","target_version":"v2","rollout_term_s":12.5}"#;
    assert!(calls[0].ends_with(order), "{}", calls[0]);
}

#[test]
fn bad_input_names_what_is_wrong_and_asks_nobody() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    for (args, words) in [
        (vec!["start", "heron", "v2"], "--term <SECONDS>"),
        (
            vec!["start", "heron", "v2", "--term", "0"],
            "'0' for '--term <SECONDS>': expected a number of seconds",
        ),
        (vec!["start", "heron", "v2", "--term", "NaN"], "from 0.001 to 86400"),
        (vec!["start", "heron", "v2", "--term", "86401"], "from 0.001 to 86400"),
        (vec!["start", "heron", "v2", "--term", "soon"], "from 0.001 to 86400"),
        (vec!["start", "heron", "--term", "9"], "<VERSION>"),
        (vec!["start", "", "v2", "--term", "9"], "SERVICE: expected a name that is not empty"),
        (vec!["start", "heron", "", "--term", "9"], "VERSION: expected a name that is not empty"),
        (vec!["watch", "heron", "--every", "0"], "--every <MS>"),
        (vec!["stop"], "<SERVICE>"),
    ] {
        let (code, said, why) = run(&[at], &[&["rollout"], &args[..]].concat());
        assert_eq!((code, said.as_str()), (2, ""), "{args:?}");
        assert!(why.contains(words), "{args:?}: {why}");
    }
    listener.set_nonblocking(true).expect("a socket");
    assert!(listener.accept().is_err());
}

#[test]
fn a_rollout_is_watched_through_its_stages_until_it_is_completed() {
    let (at, calls) = stand_in(vec![
        says(200, "{}"),
        trial(None),
        trial(Some(60)),
        told(17, "in_progress", "whole", "does as well", Some(300)),
        told(17, "completed", "completed", "nothing goes to the old servers", None),
    ]);
    let (code, said, why) =
        run(&[at], &["rollout", "start", "heron", "v2", "--term", "12", "--watch", "--every", "1"]);
    assert_eq!((code, why.as_str()), (0, ""), "{said}");
    let lines: Vec<&str> = said.lines().collect();
    assert_eq!(lines[1], "heron to v2: in_progress, stage trial, 7.4 s left; reason: ordered");
    assert_eq!(lines[2], "heron to v2: in_progress, stage whole, 7.4 s left; reason: does as well");
    assert_eq!(lines[3..5], ["heron to v2: completed", "reason: nothing goes to the old servers"]);
    assert_eq!(row(&said, "versions"), ["v0,v1", "v2"]);
    assert_eq!(row(&said, "servers"), ["10", "4"]);
    // The counts are the last that were seen: an ended rollout has none.
    assert_eq!(row(&said, "answers"), ["2000", "300"]);
    assert_eq!(row(&said, "failures in 100"), ["0.0", "1.0"]);
    assert_eq!(row(&said, "median ms"), ["-", "202 to 254"]);
    assert_eq!(row(&said, "95 in 100 within ms"), ["-", "8192 or more"]);
    assert!(said.ends_with("nothing is sent to the old servers any more; they may stop\n"), "{said}");
    let calls = calls.join().expect("the stand-in");
    assert!(calls[1..].iter().all(|call| call.starts_with("GET /api/rollouts/heron ")), "{calls:?}");
}

#[test]
fn a_watched_rollout_that_is_reverted_ends_with_its_reason_and_one() {
    let (at, _) = stand_in(vec![trial(Some(60)), told(17, "reverted", "reverted", "9 of 60 failed", None)]);
    let (code, said, why) = watch(&[at]);
    assert_eq!((code, why.as_str()), (1, "curlewfront: reverted: 9 of 60 failed\n"));
    assert!(said.contains("heron to v2: reverted\nreason: 9 of 60 failed\n"), "{said}");
    assert!(
        said.ends_with("nothing is sent to the new servers any more; the old ones serve as before\n"),
        "{said}"
    );
}

/// Guards against a watch that gives up as soon as a leader is lost, or that takes silence for an end.
#[test]
fn a_watch_outlasts_registries_that_do_not_answer_for_a_while_but_not_for_ever() {
    let away = || says(503, r#"{"trouble":"no leader"}"#);
    let mut does = vec![trial(None)];
    does.extend((0..9).map(|_| away()));
    does.push(trial(None));
    does.extend((0..9).map(|_| away()));
    does.push(told(17, "completed", "completed", "done", None));
    let (at, _) = stand_in(does);
    let (code, said, why) = watch(&[at]);
    assert_eq!((code, why.matches("no leader (503)").count()), (0, 18), "{said}{why}");
    let (code, _, why) = watch(&[nobody()]);
    assert_eq!((code, why.matches("asked again").count()), (3, 10), "{why}");
}

/// Guards against the outcome of a later rollout being told as that of the one that is watched.
#[test]
fn a_watch_ends_where_another_rollout_of_the_service_has_begun() {
    let (at, _) = stand_in(vec![trial(None), told(18, "completed", "completed", "done", None)]);
    let (code, said, why) = watch(&[at]);
    assert_eq!((code, said.contains("completed")), (1, false), "{said}");
    assert!(why.contains("another one of this service has begun"), "{why}");
    let (at, _) = stand_in(vec![says(404, r#"{"trouble":"no rollout of \"heron\""}"#)]);
    let (code, _, why) = watch(&[at]);
    assert_eq!((code, why.contains("no rollout of \"heron\" (404)")), (1, true), "{why}");
}

#[test]
fn a_stop_tells_how_the_rollout_ended() {
    let (at, calls) = stand_in(vec![
        says(200, "{}"),
        told(17, "reverted", "reverted", "stopped by an operator", None),
        says(200, "{}"),
        told(17, "completed", "completed", "done", None),
        says(200, "{}"),
        says(503, "{}"),
    ]);
    let stop = || run(&[at], &["rollout", "stop", "heron"]);
    assert_eq!(stop().1, "heron: reverted: stopped by an operator\n");
    assert_eq!(stop().1, "heron: completed: done\n", "it was too late");
    assert_eq!(stop().1, "heron: has ended; no registry tells how\n");
    let calls = calls.join().expect("the stand-in");
    assert!(calls[0].starts_with("DELETE /api/rollouts/heron "), "{}", calls[0]);
}

#[test]
fn the_last_rollout_of_each_service_is_listed() {
    let row = |service: &str, state: &str, left: &str| {
        format!(
            r#"{{"service_ref":"{service}","target_version":"v2","server_state":"{state}","stage":"trial",
            "left_ms":{left},"reason":"r"}}"#
        )
    };
    let body = format!(
        r#"{{"rollout_list":[{},{}]}}"#,
        row("heron", "in_progress", "7400"),
        row("stilt", "reverted", "null")
    );
    let (at, _) = stand_in(vec![says(200, &body), says(200, &body)]);
    let (code, said, why) = run(&[at], &["rollout", "list"]);
    assert_eq!(code, 0, "{why}");
    let lines: Vec<Vec<&str>> = said.lines().map(|l| l.split_whitespace().collect()).collect();
    assert_eq!(lines[1], ["heron", "v2", "in_progress", "trial", "7400", "r"]);
    assert_eq!(lines[2], ["stilt", "v2", "reverted", "trial", "-", "r"]);
    assert_eq!(run(&[at], &["rollout", "list", "--json"]).1, format!("{body}\n"));
}

#[test]
fn a_watch_for_programs_prints_the_last_answer_alone() {
    let (at, _) = stand_in(vec![trial(Some(60)), told(17, "completed", "completed", "done", None)]);
    let (code, said, why) = run(&[at], &["rollout", "watch", "heron", "--every", "1", "--json"]);
    assert_eq!((code, why.as_str()), (0, ""));
    assert!(said.starts_with('{') && said.contains(r#""server_state":"completed""#), "{said}");
    assert!(!said.contains("in_progress"), "{said}");
}
