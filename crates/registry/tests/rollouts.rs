//! Rollouts at a registry: calls and their answers, and what the one beside the leader decides from what proxies counted.

mod common;

use cluster::rollout::{Answers, RolloutChange, RouteTally, Stage, Tally};
use cluster::state::{Change, Command, ServerChange};
use cluster::talk::{FromStore, Up};
use common::*;
use registry::board::Input;

const ORDER: &str = r#"{"service_ref":"heron","target_version":"v2","rollout_term_s":10}"#;
const LINK: u64 = 5;
const ROUTE: u32 = 7;

fn registry() -> Registry {
    let change = Change { base: 0, patch: false, body: config(1).into_bytes() };
    let mut r = Registry::new(vec![Command::Configure(change), nodes(&[(1, "north-a")])]);
    r.tell(Input::Proxy(LINK, Up::Hello { node: node(1, "north-a"), rev: 0 }));
    r
}

fn ordered() -> Registry {
    let mut r = registry();
    let call = r.call("POST", "/api/rollouts", None, ORDER);
    r.land();
    assert_eq!(r.status(call), Some(200));
    r
}

/// A rollout's state as an operator reads it.
fn shown(r: &mut Registry) -> (u16, String) {
    let call = r.call("GET", "/api/rollouts/heron", None, "");
    let (ticket, rev) = (r.reads.pop().expect("read by the log"), r.store.rev());
    r.tell(Input::Store(FromStore::Reads { ticket, result: Ok(rev) }));
    r.answers[&call].clone()
}

fn stage(r: &Registry) -> Stage {
    r.board.copy.state.rollouts.0["heron"].stage
}

/// Answers, of which so many failed and the rest took so long.
fn answers(ended: u32, failed: u32, taken_us: u64) -> Answers {
    let mut answers = Answers { ended, failed, times: Vec::new() };
    (failed..ended).for_each(|_| answers.took(taken_us));
    answers
}

/// The one proxy tells what it counted, and time passes with it alive.
fn tells(r: &mut Registry, count: u64, old: Answers, new: Answers, old_out: u32) {
    let rollout = &r.board.copy.state.rollouts.0["heron"];
    let tally = Tally {
        ip: node(1, "north-a").ip,
        life: 1,
        count,
        epoch: rollout.epoch,
        rev: r.board.copy.rev(),
        old_out,
        routes: vec![RouteTally { route: ROUTE, old, new }],
    };
    let rev = r.board.copy.rev();
    r.report(LINK, 1, count, true, rev);
    r.tell(Input::Proxy(LINK, Up::Rollout(vec![tally])));
}

/// The same counts each third of a second, for so long.
fn goes_on(r: &mut Registry, us: u64, old: &Answers, new: &Answers, old_out: u32) {
    r.stands(true, true);
    let end = r.now + us;
    while r.now < end {
        r.wait((SECOND / 3).min(end - r.now));
        let count = r.now;
        tells(r, count, old.clone(), new.clone(), old_out);
        r.land();
    }
}

/// Guards against an order of a rollout that no registry takes: its operator asked until the time for it was over.
#[test]
fn an_order_of_a_rollout_is_acknowledged_once_it_is_agreed_and_again_when_it_is_repeated() {
    let mut r = registry();
    let call = r.call("POST", "/api/rollouts", None, ORDER);
    assert_eq!(r.status(call), None, "not before it is in the log");
    r.land();
    assert_eq!(r.status(call), Some(200));
    let again = r.call("POST", "/api/rollouts", None, ORDER);
    r.land();
    assert_eq!(r.status(again), Some(200));
    let (status, body) = shown(&mut r);
    assert_eq!(status, 200);
    for part in [r#""server_state":"in_progress""#, r#""target_version":"v2""#, r#""service_ref":"heron""#] {
        assert!(body.contains(part), "{body}");
    }
}

#[test]
fn what_cannot_be_rolled_out_is_refused_with_the_reason() {
    let mut r = ordered();
    for (body, status, words) in [
        ("{", 400, "trouble"),
        (r#"{"service_ref":"heron","target_version":"v2"}"#, 400, "rollout_term_s"),
        (r#"{"service_ref":"crane","target_version":"v2","rollout_term_s":10}"#, 404, "no such service"),
        (r#"{"service_ref":"heron","target_version":"v3","rollout_term_s":10}"#, 409, "v2 is under way"),
    ] {
        let call = r.call("POST", "/api/rollouts", None, body);
        r.land();
        let (found, text) = &r.answers[&call];
        assert!(*found == status && text.contains(words), "{body}: {found} {text}");
    }
    let call = r.call("DELETE", "/api/rollouts/stilt", None, "");
    assert_eq!(r.status(call), Some(404));
    r.stands(false, false);
    let call = r.call("POST", "/api/rollouts", None, ORDER);
    assert_eq!(r.status(call), Some(503), "it may lag behind what is agreed");
}

#[test]
fn a_good_version_goes_through_its_stages_and_completes_when_the_old_servers_are_idle() {
    let mut r = ordered();
    let (old, new) = (answers(2000, 4, 200_000), answers(160, 1, 210_000));
    goes_on(&mut r, 4 * SECOND, &old, &new, 9);
    assert_eq!(stage(&r), Stage::Trial, "it may turn bad yet");
    goes_on(&mut r, 1_200_000, &old, &new, 9);
    assert_eq!(stage(&r), Stage::Partial);
    goes_on(&mut r, 800_000, &old, &new, 9);
    assert_eq!(stage(&r), Stage::Partial, "nothing was seen of it at this stage");
    let (old, new) = (answers(2300, 5, 200_000), answers(220, 1, 210_000));
    goes_on(&mut r, SECOND, &old, &new, 9);
    assert_eq!(stage(&r), Stage::Whole);
    goes_on(&mut r, SECOND, &old, &new, 3);
    assert_eq!(stage(&r), Stage::Whole, "three requests are still out at old servers");
    goes_on(&mut r, SECOND, &old, &new, 0);
    assert_eq!(stage(&r), Stage::Completed);
    assert!(shown(&mut r).1.contains(r#""server_state":"completed""#));
}

#[test]
fn a_version_whose_answers_fail_or_are_slow_is_reverted() {
    let old = answers(2000, 4, 200_000);
    let half = |taken_us| {
        let mut half = answers(40, 0, 210_000);
        half.add(&answers(40, 0, taken_us));
        half
    };
    for new in [answers(80, 40, 200_000), half(1_600_000)] {
        let mut r = ordered();
        goes_on(&mut r, SECOND, &old, &new, 0);
        assert_eq!(stage(&r), Stage::Reverted, "{:?}", r.board.copy.state.rollouts);
        assert!(shown(&mut r).1.contains(r#""server_state":"reverted""#));
    }
}

/// What harms both versions alike says nothing of the new one.
#[test]
fn a_trouble_that_both_versions_have_does_not_revert() {
    let mut r = ordered();
    let (old, new) = (answers(2000, 400, 200_000), answers(160, 36, 210_000));
    goes_on(&mut r, 6 * SECOND, &old, &new, 0);
    assert!(stage(&r) >= Stage::Partial && stage(&r) != Stage::Reverted, "{:?}", stage(&r));
}

#[test]
fn a_version_of_which_too_little_was_seen_is_reverted_by_its_term() {
    let mut r = ordered();
    goes_on(&mut r, 8 * SECOND, &answers(2000, 0, 200_000), &answers(3, 0, 200_000), 0);
    assert_eq!(stage(&r), Stage::Trial);
    goes_on(&mut r, SECOND, &answers(2000, 0, 200_000), &answers(3, 0, 200_000), 0);
    assert_eq!(stage(&r), Stage::Reverted);
}

#[test]
fn a_registry_that_does_not_lead_or_is_cut_off_decides_nothing() {
    let mut r = ordered();
    for (fresh, leads) in [(true, false), (false, true)] {
        r.stands(fresh, leads);
        tells(&mut r, 1, answers(2000, 0, 200_000), answers(80, 40, 200_000), 0);
        r.wait(SECOND);
        assert!(
            r.proposed.iter().all(|(_, c)| !matches!(c, Command::Rollout(RolloutChange::Advance { .. })))
        );
        assert_eq!(stage(&r), Stage::Trial);
    }
}

/// Guards against an operator who cannot see how the versions compare before the verdict.
#[test]
fn the_view_of_a_rollout_tells_servers_counts_and_times_of_both_versions() {
    let mut r = ordered();
    for (id, version) in [("i-1", Some("v1")), ("i-2", None), ("i-3", Some("v2"))] {
        r.lands(server(id, &format!("10.9.2.{}:80", &id[2..])));
        if let Some(version) = version {
            r.lands(Command::Servers(vec![ServerChange::Runs { id: id.into(), version: version.into() }]));
        }
    }
    let view = |r: &mut Registry| jzon::parse(&shown(r).1).expect("JSON");
    assert!(view(&mut r)["new_side"]["answer_count"].is_null(), "no proxy has told of it");
    let mut new = answers(90, 0, 210_000);
    new.add(&answers(11, 1, 900_000));
    r.stands(true, false);
    r.wait(SECOND);
    tells(&mut r, 1, answers(2000, 4, 200_000), new, 0);
    let seen = view(&mut r);
    let (old, new) = (&seen["old_side"], &seen["new_side"]);
    assert_eq!(seen["left_ms"], 9000);
    assert_eq!((old["server_count"].as_u32(), new["server_count"].as_u32()), (Some(2), Some(1)));
    assert_eq!(
        (old["version_names"].dump(), new["version_names"].dump()),
        (r#"["v1"]"#.into(), r#"["v2"]"#.into())
    );
    assert_eq!((old["answer_count"].as_u32(), old["failure_count"].as_u32()), (Some(2000), Some(4)));
    assert_eq!((new["answer_count"].as_u32(), new["failure_count"].as_u32()), (Some(101), Some(1)));
    let holds = |range: &jzon::JsonValue, ms: f64| {
        let (from, below) = (range["from"].as_f64().expect("ms"), range["below"].as_f64().expect("ms"));
        assert!(from <= ms && ms < below && below < 1.3 * from, "{ms} in {range}");
    };
    holds(&old["median_ms"], 200.0);
    holds(&old["percentile_95_ms"], 200.0);
    holds(&new["median_ms"], 210.0);
    holds(&new["percentile_95_ms"], 900.0);
    let call = r.call("DELETE", "/api/rollouts/heron", None, "");
    r.land();
    assert_eq!(r.status(call), Some(200));
    let seen = view(&mut r);
    assert!(seen["left_ms"].is_null() && seen["server_state"] == "reverted", "{seen}");
}
