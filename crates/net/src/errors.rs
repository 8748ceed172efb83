//! The error of a failed attempt, with the progress the attempt had made.

use std::fmt;
use std::io;

/// How far an attempt had come when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// No connection yet.
    Dialing,
    /// Connected; the request's head is not completely written.
    Writing,
    /// The head is completely written, which is enough for a server to act on it; its answer has not begun.
    Written,
    /// An answer has begun.
    Answering,
}

/// Why an attempt failed.
#[derive(Debug)]
pub enum Cause {
    Io(io::Error),
    /// The server closed the connection.
    Ended,
    /// The bytes received are no valid HTTP response, or a response that is too large or too late.
    Malformed(&'static str),
    /// The connection was not established in time.
    DialTimeout,
    /// The limit on open descriptors is reached.
    NoDescriptor,
    /// The pool of this server has reached its maximum number of connections.
    MostConnections,
    /// The server was taken off the list, or stopped taking requests, before anything was written to it.
    ServerGone,
    /// The connection's coroutine panicked.
    Panic,
}

#[derive(Debug)]
pub struct AttemptError {
    pub progress: Progress,
    pub cause: Cause,
}

impl AttemptError {
    /// True if the server cannot have run the request: its head was not completely written.
    pub fn never_ran(&self) -> bool {
        self.progress < Progress::Written
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = match self.progress {
            Progress::Dialing => "while connecting",
            Progress::Writing => "while the request was written",
            Progress::Written => "before an answer",
            Progress::Answering => "within the answer",
        };
        match &self.cause {
            Cause::Io(e) => write!(f, "{e} {at}"),
            Cause::Ended => write!(f, "connection ended {at}"),
            Cause::Malformed(what) => write!(f, "{what} {at}"),
            Cause::DialTimeout => write!(f, "not up in time {at}"),
            Cause::MostConnections => write!(f, "no connection left {at}"),
            Cause::NoDescriptor => write!(f, "no descriptor left {at}"),
            Cause::ServerGone => write!(f, "server left the list {at}"),
            Cause::Panic => write!(f, "panic {at}"),
        }
    }
}

impl std::error::Error for AttemptError {}

#[cfg(test)]
mod tests {
    use super::*;

    /// An attempt that may have run must not count as one that never ran: if it were sent again, it could take
    /// effect twice.
    #[test]
    fn only_what_was_not_written_whole_never_ran() {
        let never_ran = |progress| AttemptError { progress, cause: Cause::Ended }.never_ran();
        assert!(never_ran(Progress::Dialing));
        assert!(never_ran(Progress::Writing));
        assert!(!never_ran(Progress::Written));
        assert!(!never_ran(Progress::Answering));
    }
}
