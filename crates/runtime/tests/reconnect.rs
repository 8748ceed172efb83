//! When a link to another process is opened again.

use runtime::link::ReconnectState;

const SECOND: u64 = 1_000_000;

/// What is sent to a machine that is down is lost without an error, so an attempt may hang though the machine is
/// running by now.
#[test]
fn a_machine_that_connects_here_is_connected_to_at_once_though_an_attempt_hangs() {
    let mut state = ReconnectState::default();
    assert!(state.due(SECOND));
    state.on_dialed();
    assert!(!state.due(2 * SECOND), "it hangs");
    assert!(state.on_peer_connected(2 * SECOND));
    assert!(state.wake_at() <= 2 * SECOND && state.due(2 * SECOND), "tried again at once");
    state.on_dialed();
    state.on_up();
    assert!(!state.on_peer_connected(3 * SECOND) && !state.due(3 * SECOND), "a link that is up stays up");
    state.on_down(3 * SECOND);
    assert!(
        !state.due(3 * SECOND) && state.due(state.wake_at()),
        "a link that broke is opened again after a delay"
    );
}
