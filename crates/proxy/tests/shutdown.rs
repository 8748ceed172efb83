//! When a proxy that was asked to stop closes its listener and exits.

use proxy::shutdown::{ListenerStatus, Shutdown, Step};

const SECOND: u64 = 1_000_000;
const ACCEPTING: ListenerStatus = ListenerStatus { closed: false, open_connections: 0 };
const CLOSED: ListenerStatus = ListenerStatus { closed: true, open_connections: 0 };

fn stopping_since(at: u64) -> Shutdown {
    let mut shutdown = Shutdown::new(6 * SECOND);
    shutdown.request(at);
    shutdown
}

#[test]
fn without_a_signal_it_serves() {
    let shutdown = Shutdown::new(6 * SECOND);
    assert_eq!(shutdown.step(100 * SECOND, CLOSED), Step::Serve);
}

#[test]
fn it_accepts_for_a_while_then_waits_for_the_last_connection() {
    let shutdown = stopping_since(SECOND);
    assert_eq!(shutdown.step(2 * SECOND, ACCEPTING), Step::Serve);
    assert_eq!(shutdown.step(3 * SECOND, ACCEPTING), Step::StopAccepting);
    let open = ListenerStatus { closed: true, open_connections: 1 };
    assert_eq!(shutdown.step(4 * SECOND, open), Step::StopAccepting);
    assert_eq!(shutdown.step(4 * SECOND, CLOSED), Step::Exit);
}

/// On a busy machine the first look may come late, when connections still wait to be accepted: they would be reset.
#[test]
fn a_late_look_does_not_end_it_before_its_listener_has_accepted_what_had_come() {
    let shutdown = stopping_since(0);
    assert_eq!(shutdown.step(4 * SECOND, ACCEPTING), Step::StopAccepting);
}

#[test]
fn it_ends_before_the_grace_period_is_over_whatever_is_open() {
    let mut shutdown = stopping_since(0);
    shutdown.request(3 * SECOND);
    let open = ListenerStatus { closed: true, open_connections: 9 };
    assert_eq!(shutdown.step(5 * SECOND, open), Step::StopAccepting);
    assert_eq!(shutdown.step(6 * SECOND - 500_000, open), Step::Exit, "counted from the first signal");
}
