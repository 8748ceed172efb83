//! Tests of the errors of attempts.

use super::*;

/// An attempt that may have run must not count as one that never ran: if it were sent again, it could take
/// effect twice.
#[test]
fn only_what_was_not_written_whole_never_ran() {
    let never_ran = |progress| AttemptError { progress, cause: Cause::Ended, connection: None }.never_ran();
    assert!(never_ran(Progress::Dialing));
    assert!(never_ran(Progress::Writing));
    assert!(!never_ran(Progress::Written));
    assert!(!never_ran(Progress::Answering));
}

/// On call, an attempt that this process cut must be told apart from one that its server or a late answer ended.
#[test]
fn an_attempt_that_the_pool_cut_at_work_is_told_apart_and_shows_its_connection() {
    let connection = ConnectionHistory { age_us: 609_400, established_us: Some(9_200), attempts: 1 };
    let error = |progress, cause| AttemptError { progress, cause, connection: Some(connection) };
    assert!(error(Progress::Written, Cause::DialTimeout).cut_by_pool());
    assert!(error(Progress::Answering, Cause::ServerGone).cut_by_pool());
    assert!(!error(Progress::Dialing, Cause::DialTimeout).cut_by_pool());
    assert!(!error(Progress::Written, Cause::Ended).cut_by_pool());
    assert_eq!(
        error(Progress::Written, Cause::DialTimeout).to_string(),
        "the pool closed a connection not established in time before an answer; \
         connection opened 609 ms ago, established 9 ms ago, attempt 1 on it"
    );
    let never = ConnectionHistory { established_us: None, ..connection };
    assert!(never.to_string().contains("never established"));
}
