//! Attempts may take until the deadline of their request: a silent server is no reason to end them sooner.

mod common;
use common::*;
use curlewfront::*;

/// A gateway whose answers past the aim are still worth something.
fn gateway() -> Gateway {
    let mut set = settings(no_quota());
    set.classes[0].late_worth = 0.2;
    Gateway::with_servers(set, 4)
}

fn timeouts(actions: &[Action]) -> Vec<Micros> {
    let timeout = |action: &Action| match action {
        Action::Send { timeout_us, .. } => Some(*timeout_us),
        _ => None,
    };
    actions.iter().filter_map(timeout).collect()
}

fn ends_a_request(action: &Action) -> bool {
    matches!(action, Action::Cancel { .. } | Action::Refuse { .. } | Action::Fail { .. })
}

// Guards against attempts that are cut while their servers work, some milliseconds before the deadline.
#[test]
fn an_attempt_is_given_up_at_the_deadline_and_not_before() {
    for left_us in [1200 * MS, 2 * SEC, 3 * SEC] {
        let mut g = gateway();
        let actions = g.submit(NewRequest { left_us, ..request(1) });
        assert_eq!(timeouts(&actions), [left_us]);
        let before = g.advance(left_us - 1);
        assert!(!before.iter().any(ends_a_request), "{left_us}: {before:?}");
        let at_the_deadline = g.advance(1);
        assert_eq!(refused(&at_the_deadline) + failed(&at_the_deadline), 1, "{left_us}");
    }
}

// Guards against the same for a second attempt: it has what is left until the same deadline.
#[test]
fn a_retry_is_given_up_at_the_deadline_and_not_before() {
    let mut g = gateway();
    let server = sent(&g.submit(request(1)))[0];
    g.advance(200 * MS);
    let again = g.end_attempt(attempt_end(1, 0, server, Outcome::Error));
    assert_eq!(timeouts(&again), [2800 * MS]);
    let before = g.advance(2800 * MS - 1);
    assert!(!before.iter().any(ends_a_request), "{before:?}");
}
