//! Settings that change while requests are open: each request is handled by the class under which it was accepted.

mod common;
use common::*;
use curlewfront::*;

fn with_effect(effect: Effect) -> Settings {
    Settings { classes: vec![class(effect)], ..settings(no_quota()) }
}

/// A gateway with four servers and one request, and the server that has it.
fn accepted_under(effect: Effect) -> (Gateway, u64) {
    let mut g = Gateway::with_servers(with_effect(effect), 4);
    let server = sent(&g.submit(request(1)))[0];
    (g, server)
}

fn change_to(g: &mut Gateway, effect: Effect) {
    g.decider.reconfigure(with_effect(effect)).expect("valid settings");
}

// Guards against a request that runs twice: its class is made repeatable while it is at a server.
#[test]
fn a_request_that_must_not_run_twice_is_not_sent_again_when_its_class_becomes_repeatable() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::TimedOut] {
        let (mut g, server) = accepted_under(Effect::Once);
        change_to(&mut g, Effect::Repeatable);
        let actions = g.end_attempt(attempt_end(1, 0, server, outcome));
        assert_eq!((sent(&actions).len(), failed(&actions)), (0, 1), "{outcome:?}");
    }
}

// Guards against an answer that promises that a request has not run, though it has: too late for a retry.
#[test]
fn a_request_that_has_run_is_not_refused_when_its_class_becomes_repeatable() {
    let (mut g, server) = accepted_under(Effect::Once);
    change_to(&mut g, Effect::Repeatable);
    let mut actions = g.advance(SEC);
    actions.extend(g.end_attempt(attempt_end(1, 0, server, Outcome::Error)));
    assert_eq!((refused(&actions), failed(&actions)), (0, 1));
}

// Guards against the same for a request that waits for a server while its class changes.
#[test]
fn a_request_that_waits_is_sent_once_when_its_class_becomes_repeatable() {
    let mut g = Gateway::new(with_effect(Effect::Once));
    assert!(sent(&g.submit(request(1))).is_empty(), "there is no server yet");
    change_to(&mut g, Effect::Repeatable);
    g.list(ListKind::Saved, &[up(1), up(2)]);
    let server = sent(&g.advance(SEC / 4))[0];
    let actions = g.end_attempt(attempt_end(1, 0, server, Outcome::Reset));
    assert_eq!((sent(&actions).len(), failed(&actions)), (0, 1));
}

// Guards against a failure in place of a retry, and of a refusal after which the client may come again.
#[test]
fn a_repeatable_request_stays_repeatable_when_its_class_changes() {
    let (mut g, server) = accepted_under(Effect::Repeatable);
    change_to(&mut g, Effect::Once);
    let again = sent(&g.end_attempt(attempt_end(1, 0, server, Outcome::Error)));
    assert_eq!(again.len(), 1);
    let mut actions = g.advance(SEC);
    actions.extend(g.end_attempt(attempt_end(1, 1, again[0], Outcome::Error)));
    assert_eq!((refused(&actions), failed(&actions)), (1, 0));
}

// Guards against a repeat at servers that do not know the key of the first attempt.
#[test]
fn a_keyed_request_keeps_the_servers_that_drop_its_repeats() {
    let by_key = Effect::ByKey { group: Group::Cell, window_us: 10 * SEC };
    let (mut g, server) = accepted_under(by_key);
    change_to(&mut g, Effect::Repeatable);
    let actions = g.end_attempt(attempt_end(1, 0, server, Outcome::Error));
    assert!(sent(&actions).iter().all(|again| *again == server), "each server is a cell of its own");
}
