//! The end of a proxy after a signal to stop.
//!
//! New connections are accepted for a while, as clients that do not know yet that the proxy is not ready still connect;
//! then the listener is closed, and each open connection ends with its last answer. The proxy exits after the last one,
//! or shortly before its grace period is over.

use net::Micros;

/// New connections are accepted for this long after the signal.
const KEEP_ACCEPTING_US: Micros = 1_500_000;
/// Requests that are still in flight are abandoned this long before the grace period ends.
const GRACE_RESERVE_US: Micros = 500_000;

/// What the listener says of itself.
#[derive(Clone, Copy, Debug)]
pub struct ListenerStatus {
    /// It is closed, and all connections that had come before are accepted.
    pub closed: bool,
    pub open_connections: usize,
}

/// What the proxy is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Go on as before.
    Serve,
    /// Have the listener closed, and go on with the open connections.
    StopAccepting,
    Exit,
}

/// Whether, and since when, the proxy is stopping.
#[derive(Debug)]
pub struct Shutdown {
    grace_us: Micros,
    requested_at: Option<Micros>,
}

impl Shutdown {
    pub fn new(grace_us: Micros) -> Shutdown {
        Shutdown { grace_us, requested_at: None }
    }

    /// A signal to stop has come. Later ones change nothing.
    pub fn request(&mut self, now: Micros) {
        self.requested_at.get_or_insert(now);
    }

    pub fn is_requested(&self) -> bool {
        self.requested_at.is_some()
    }

    /// What is to be done now. However late this is asked, the proxy exits only once the listener itself says that it is
    /// closed and no connection is open, or at the end of the grace period.
    pub fn step(&self, now: Micros, listener: ListenerStatus) -> Step {
        let Some(requested_at) = self.requested_at else { return Step::Serve };
        let grace_over = now >= requested_at + self.grace_us.saturating_sub(GRACE_RESERVE_US);
        if grace_over || (listener.closed && listener.open_connections == 0) {
            return Step::Exit;
        }
        if now >= requested_at + KEEP_ACCEPTING_US { Step::StopAccepting } else { Step::Serve }
    }
}
