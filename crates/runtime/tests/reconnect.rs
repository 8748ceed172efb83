//! When a link to another process is opened.

use runtime::link::ReconnectState;

const SECOND: u64 = 1_000_000;

/// Whatever is sent to a machine that is dark is lost without a word, so an attempt hangs though the machine is there
/// by now.
#[test]
fn who_has_linked_to_here_is_linked_to_at_once_though_an_attempt_hangs() {
    let mut attempts = ReconnectState::default();
    assert!(attempts.due(SECOND));
    attempts.on_dialed();
    assert!(!attempts.due(2 * SECOND), "it hangs");
    assert!(attempts.on_peer_connected(2 * SECOND));
    assert!(attempts.wake_at() <= 2 * SECOND && attempts.due(2 * SECOND), "once more at once");
    attempts.on_dialed();
    attempts.on_up();
    assert!(!attempts.on_peer_connected(3 * SECOND) && !attempts.due(3 * SECOND), "what is up stays up");
    attempts.on_down(3 * SECOND);
    assert!(!attempts.due(3 * SECOND) && attempts.due(attempts.wake_at()), "what broke waits a little");
}
