//! Small scenarios on loopback with a handful of real gateways: the verdicts go by counts and bounds, never by
//! speed. The gateway is the debug build of the workspace, built here if it is not there yet.

mod common;

use common::gateway;
use curlewfront_lab::gateways::Program;
use curlewfront_lab::record::TryEnd;
use curlewfront_lab::report;
use curlewfront_lab::run::{self, Options, Outcome};
use curlewfront_lab::scenario::Scenario;
use std::path::PathBuf;

fn lab() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_curlewfront-lab"))
}

const BASE: &str = r#"
name = "small"
seed = 7
duration_s = 6
gateways = 3

[servers]
count = 8
service_ms = 20

[clients]
retries = 1

[[class]]
name = "view"
aim_ms = 800
deadline_ms = 1500

[[class]]
name = "pay"
aim_ms = 1000
deadline_ms = 2000
effect = "once"
share = 0.5

[[plan]]
name = "basic"
rate = 2.0
burst = 6
customers = 60

[[plan]]
name = "farm"
rate = 10.0
burst = 20
ceiling_rate = 12
ceiling_burst = 24
customers = 4
spread = [0.6, 1.0]
"#;

fn play(extra: &str, program: Program, name: &str) -> Outcome {
    let s = Scenario::parse(&format!("{BASE}\n{extra}")).expect("a good scenario");
    let out = std::env::temp_dir().join(format!("curlewfront-lab-test-{name}-{}", std::process::id()));
    let options = Options { program, out: out.clone(), seed: None };
    let rt = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    let outcome = rt.block_on(run::run(s, &options)).expect("the run goes through");
    let summary = report::summarize(&outcome, name);
    report::write(&out, &summary, &outcome).expect("the report is written");
    let _ = std::fs::remove_dir_all(&out);
    outcome
}

fn ours() -> Program {
    Program { path: gateway(), args: vec![] }
}

fn count(o: &Outcome, end: TryEnd) -> usize {
    o.record.tries.iter().filter(|t| t.end == end).count()
}

#[test]
fn a_calm_run_keeps_every_rule_and_serves() {
    let o = play("", ours(), "calm");
    assert!(o.verdict.kept(), "{:?}", o.verdict.breaks);
    let served = count(&o, TryEnd::Served);
    assert!(served * 2 > o.record.tries.len(), "{served} of {} served", o.record.tries.len());
    assert_eq!(count(&o, TryEnd::Lost), 0);
    assert!(o.record.attempts.len() >= served, "every served try has its attempt at a server");
    assert!(o.record.gateways.iter().any(|g| g.what == "sample"), "the gateways told their state");
}

#[test]
fn drains_and_a_replaced_fleet_keep_the_rules() {
    let faults = r#"
[[fault]]
at_s = 1
kind = "replace"
share = 0.5
for_s = 2

[[fault]]
at_s = 2
kind = "fail_fast"
share = 0.25
for_s = 2
"#;
    let o = play(faults, ours(), "replace");
    assert!(o.verdict.kept(), "{:?}", o.verdict.breaks);
    assert!(o.record.servers.iter().filter(|s| s.cold).count() >= 4, "new servers started cold");
    assert!(o.record.told.iter().any(|t| t.version > 1), "the gateways were told of the changes");
    let drained: Vec<usize> =
        o.record.list.iter().filter(|l| l.state == "Terminating").map(|l| l.server).collect();
    assert!(!drained.is_empty());
}

#[test]
fn a_killed_gateway_is_counted_and_its_requests_are_not_dropped_from_the_record() {
    let faults = r#"
[[fault]]
at_s = 2
kind = "kill"
share = 0.34
restart_s = 1.5
"#;
    let o = play(faults, ours(), "kill");
    assert!(o.verdict.kept(), "{:?}", o.verdict.breaks);
    let killed = o.record.gateways.iter().filter(|g| g.what == "killed").count();
    assert_eq!(killed, 1);
    assert!(o.record.gateways.iter().filter(|g| g.what == "started").count() >= 4, "started again");
    // Every request of the schedule has a row for each of its tries, whatever became of them.
    let mut numbers: Vec<u64> = o.record.tries.iter().map(|t| t.request).collect();
    numbers.sort_unstable();
    numbers.dedup();
    assert_eq!(numbers.len() as u64, numbers.last().map_or(0, |n| n + 1), "no request missing");
}

#[test]
fn the_baselines_play_the_same_scenario() {
    let me = lab();
    let rr = Program { path: me, args: vec!["baseline".into(), "round-robin".into()] };
    let o = play("", rr, "round-robin");
    assert!(count(&o, TryEnd::Served) > 0);
    assert_eq!(count(&o, TryEnd::Refused), 0, "round robin refuses nothing while servers have room");
}

#[test]
fn a_scenario_with_a_fault_in_the_wrong_place_is_refused_by_name() {
    let bad = Scenario::parse(&format!("{BASE}\n[[fault]]\nat_s = 60\nkind = \"slow\"\n")).unwrap_err();
    assert!(bad.contains("fault[0].at_s"), "{bad}");
    let unknown = Scenario::parse(&format!("{BASE}\n[[fault]]\nat_s = 1\nkind = \"melt\"\n")).unwrap_err();
    assert!(unknown.contains("melt"), "{unknown}");
    let typo = Scenario::parse(&BASE.replace("count = 8", "count = 8\nslotz = 3")).unwrap_err();
    assert!(typo.contains("slotz"), "{typo}");
}
