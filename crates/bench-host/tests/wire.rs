//! Round trips against the built binary: every message of the wire, good and malformed.

use std::io::Write;
use std::process::{Command, Stdio};

struct Ran {
    good: bool,
    out: Vec<String>,
    err: String,
}

fn run(lines: &[String]) -> Ran {
    let mut child = Command::new(env!("CARGO_BIN_EXE_curlewfront-bench-host"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // It may stop reading at a bad line: what it says of it is looked at below.
    let _ = child.stdin.take().expect("piped").write_all(lines.join("\n").as_bytes());
    let output = child.wait_with_output().expect("it ends");
    Ran {
        good: output.status.success(),
        out: String::from_utf8(output.stdout).expect("UTF-8").lines().map(str::to_string).collect(),
        err: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}

const FACTS: &str = r#"{"balancers":2,"index":0,"zone":0,"granularityUs":4000,"membershipMode":"pushed","new key":[1],
"classes":[{"aimUs":1200000,"deadlineUs":4000000,"effect":"repeatable","gain":1.0,"group":"all","lateWorth":0.0,"windowUs":5000000}],
"familyInfo":{"meterUs":2000000,"truedUp":true},
"permissions":{"attemptsCap":5,"maxRetryAfterUs":500000,"mayCancel":true,"retryAfter":true,"secondCopies":true},
"rules":{"answerSlackUs":16000,"askWithinUs":10000000,"coldFrom":0.3,"coldUs":16000000,"fallMultiple":2.0,"fallUs":1500000},
"tiersOfService":[{"atOnce":0,"capDepth":0.0,"capRate":0.0,"depth":12.0,"unitsPerS":2.0}]}"#;

fn batch(at: u64, events: &str) -> String {
    format!(r#"{{"tUs":{at},"events":[{events}]}}"#)
}

fn enlist() -> String {
    let facts = FACTS.replace('\n', "");
    let list = r#"["register",0,[[51530247,0,0,0,"U",1,null],[747639282,1,0,0,"U",1.5,6100000]]]"#;
    let member = r#"["membership","gateway_3","SAVED",0,41]"#;
    batch(100_000_000, &format!(r#"["enlist","gateway_3",77,{facts}],{list},{member}"#))
}

/// After the set-up, one batch.
fn after(event: &str) -> Vec<String> {
    vec![enlist(), batch(101_000_000, event)]
}

const SUBMIT: &str =
    r#"["submit","gateway_3",213328294744516,0,0,"91f03b7c55d20a64",3000000,2,2,1,false,false]"#;

#[test]
fn an_empty_batch_gets_an_empty_reply_and_end_of_input_is_a_clean_exit() {
    let ran = run(&[r#"{"tUs":8412250,"events":[]}"#.into()]);
    assert!(ran.good, "{}", ran.err);
    assert_eq!(ran.out, [r#"{"out":[]}"#]);
    assert!(run(&[]).good);
}

#[test]
fn a_request_is_sent_on_and_a_timer_set() {
    let ran = run(&after(SUBMIT));
    assert!(ran.good, "{}", ran.err);
    assert!(ran.out[1].contains(r#"["callOut","gateway_3",213328294744516,"#), "{}", ran.out[1]);
    assert!(ran.out[1].contains(r#"["sleep","gateway_3","#), "{}", ran.out[1]);
}

#[test]
fn every_event_of_the_wire_is_read() {
    let events = [
        r#"["underWay","gateway_3",213328294744516,0,9250,51530247]"#,
        r#"["returned","gateway_3",213328294744516,0,51530247,"app_error",18500,false,86,null,{"latency_ms":14.5,"new":1}]"#,
        r#"["returned","gateway_3",213328294744516,0,51530247,"delivered",18500,true,86,3,{"latency_ms":14.5}]"#,
        r#"["returned","gateway_3",1,0,51530247,"shed",18500,false]"#,
        r#"["returned","gateway_3",1,0,51530247,"expired",18500,false]"#,
        r#"["returned","gateway_3",1,0,51530247,"dial_failed",18500,false]"#,
        r#"["returned","gateway_3",1,0,51530247,"dropped",18500,false]"#,
        r#"["returned","gateway_3",1,0,51530247,"revoked",18500,false]"#,
        r#"["returned","gateway_3",1,0,51530247,"unused",18500,false]"#,
        r#"["withdrawn","gateway_3",213328294744516]"#,
        r#"["peerData","gateway_3",2,"68692037"]"#,
        r#"["probed","gateway_3",747639282,"delivered",1400,{"latency_ms":14.5}]"#,
        r#"["tallyBack","gateway_3",2150,9041552,38,"delivered"]"#,
        r#"["wake","gateway_3",77]"#,
        r#"["register",3,[[51530247,0,0,0,"L",1,null],[747639282,1,0,0,"D",1.5,6100000]]]"#,
        r#"["membership","gateway_3","INCREMENTAL",0,42]"#,
        r#"["membership","gateway_3","FULL",0,43]"#,
        r#"["membership","gateway_3","FAILED",null,null]"#,
        r#"["shutdown","gateway_3"]"#,
    ];
    for event in events {
        let ran = run(&[enlist(), batch(101_000_000, SUBMIT), batch(101_100_000, event)]);
        assert!(ran.good, "{event}: {}", ran.err);
        assert_eq!(ran.out.len(), 3, "{event}");
    }
}

#[test]
fn the_actions_have_the_words_of_the_wire() {
    // No server is up: the request waits, and is refused with a retry-after in the end.
    let drain = r#"["register",0,[[51530247,0,0,0,"L",1,null]]],["membership","gateway_3","FULL",0,42]"#;
    let wake = batch(103_000_000, r#"["wake","gateway_3",0]"#);
    let ran = run(&[enlist(), batch(101_000_000, &format!("{drain},{SUBMIT}")), wake]);
    assert!(ran.good, "{}", ran.err);
    assert!(ran.out[2].contains(r#"["shed","gateway_3",213328294744516,"#), "{}", ran.out[2]);

    let once = enlist().replace("repeatable", "once").replace("pushed", "on_request");
    let sent = run(&[once.clone(), batch(101_000_000, SUBMIT)]);
    let server = if sent.out[1].contains("51530247") { "51530247" } else { "747639282" };
    let error = format!(r#"["returned","gateway_3",213328294744516,0,{server},"app_error",18500,false]"#);
    let ran = run(&[once, batch(101_000_000, SUBMIT), batch(101_100_000, &error)]);
    assert!(ran.good, "{}", ran.err);
    assert!(ran.out[0].contains(r#"["keepInformed","gateway_3",true]"#), "{}", ran.out[0]);
    assert!(ran.out[2].contains(r#"["endFailed","gateway_3",213328294744516]"#), "{}", ran.out[2]);

    let gone = r#"["withdrawn","gateway_3",213328294744516]"#;
    let ran = run(&[enlist(), batch(101_000_000, SUBMIT), batch(101_100_000, gone)]);
    assert!(ran.out[2].contains(r#"["recall","gateway_3",213328294744516,0]"#), "{}", ran.out[2]);
}

#[test]
fn settings_that_make_no_sense_end_the_run_in_plain_words() {
    let ran = run(&[enlist().replace(r#""aimUs":1200000"#, r#""aimUs":0"#)]);
    assert!(ran.good, "{}", ran.err);
    assert!(ran.out[0].contains(r#"["bailOut","gateway_3","settings make no sense"#), "{}", ran.out[0]);
}

/// What is said of a bad line names where it is bad; nothing is half written; the exit tells of it.
fn complains(lines: &[String], words: &[&str]) {
    let ran = run(lines);
    assert!(!ran.good, "{lines:?} was taken");
    assert_eq!(ran.out.len(), lines.len() - 1, "only whole replies to the lines before");
    assert!(ran.out.iter().all(|l| l.starts_with('{') && l.ends_with('}')));
    for word in words {
        assert!(ran.err.contains(word), "{:?} does not say {word:?}", ran.err);
    }
    assert!(!ran.err.contains("panicked"), "{}", ran.err);
}

#[test]
fn malformed_lines_get_a_plain_message_and_a_failing_exit() {
    complains(&["{\"tUs\":".into()], &["line 1", "not JSON"]);
    complains(&["[]".into()], &["line 1", "tUs"]);
    complains(&[r#"{"tUs":-4,"events":[]}"#.into()], &["tUs", "whole number"]);
    complains(&[r#"{"tUs":4}"#.into()], &["events", "array"]);
    complains(&[batch(1, "7")], &["event 0", "array"]);
    complains(&[batch(1, "[]")], &["event 0", "message name"]);
    complains(&[batch(1, r#"["nonsense","gateway_3"]"#)], &["unknown message", "nonsense"]);
    complains(
        &[batch(1, r#"["wake","gateway_9",1]"#)],
        &["wake", "an instance that was set up", "gateway_9"],
    );
    complains(&[batch(1, r#"["shutdown","gateway_9"]"#)], &["an instance that was set up"]);
    complains(&[batch(1, r#"["enlist","gateway_3",5,[]]"#)], &["enlist", "settings"]);
    complains(&[batch(1, r#"["register",0,[[1,0,0,0,"X",1,null]]]"#)], &["register", "U, L or D"]);
    complains(&[batch(1, r#"["register",0,[7]]"#)], &["register", "array"]);
    let bad_word = enlist().replace("repeatable", "sometimes");
    complains(&[bad_word], &["classes[0].effect", "repeatable, by_key or once", "sometimes"]);
    complains(
        &[enlist().replace(r#""balancers":2"#, r#""balancers":"two""#)],
        &["balancers", "whole number"],
    );
}

#[test]
fn missing_and_ill_typed_values_are_named() {
    let cases: [(&str, &[&str]); 12] = [
        (r#"["submit","gateway_3"]"#, &["submit", "value 2", "nothing"]),
        (r#"["submit","gateway_3",1.5,0,0,"00",1,1,1,0,false,false]"#, &["submit", "value 2", "1.5"]),
        (r#"["submit","gateway_3",1,0,0,"zz",1,1,1,0,false,false]"#, &["submit", "hex", "zz"]),
        (r#"["submit","gateway_3",1,0,0,"00",1,"a",1,0,false,false]"#, &["submit", "value 7", "number"]),
        (r#"["returned","gateway_3",1,0,5,"melted",1,true]"#, &["returned", "ending", "melted"]),
        (r#"["returned","gateway_3",1,0,5,"delivered",1,"yes"]"#, &["returned", "true or false"]),
        (r#"["returned","gateway_3",1,0,5,"delivered",1,true,0,0,7]"#, &["returned", "load report"]),
        (r#"["membership","gateway_3","PARTLY",0,1]"#, &["membership", "kind of a list"]),
        (r#"["membership","gateway_3","FULL",9,1]"#, &["membership", "a list that was set up", "9"]),
        (r#"["peerData","gateway_3",2,"6x"]"#, &["peerData", "hex"]),
        (r#"["tallyBack","gateway_3",2,3,4,"maybe"]"#, &["tallyBack", "ending"]),
        (r#"["underWay","gateway_3",1,4294967296,1,1]"#, &["underWay", "2^32"]),
    ];
    for (event, words) in cases {
        complains(&after(event), words);
    }
}

#[test]
fn instances_keep_to_themselves() {
    let two = enlist().replace("gateway_3", "gateway_5");
    let ran = run(&[enlist(), two, batch(101_000_000, SUBMIT)]);
    assert!(ran.good, "{}", ran.err);
    assert!(ran.out[2].contains("gateway_3") && !ran.out[2].contains("gateway_5"));
}
