//! How an attempt failed, as a value that carries how far it had come.

use std::fmt;
use std::io;

/// How far an attempt had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// No connection yet.
    Dialing,
    /// Connected; the last byte of the request's head is not written.
    Writing,
    /// The head is written whole, which is enough for a server to act on it; its answer has not begun.
    Written,
    /// An answer has begun.
    Answering,
}

#[derive(Debug)]
pub enum Cause {
    Io(io::Error),
    /// The other side ended the connection.
    Ended,
    /// What came is no HTTP answer, or too large a one.
    Malformed(&'static str),
    /// The connection did not come up in time.
    DialTimeout,
    /// No descriptor is left.
    NoDescriptor,
    /// The server has as many connections as it may have.
    MostConnections,
    /// The server left the list before anything was written to it.
    ServerGone,
    /// A panic in the connection's coroutine.
    Panic,
}

#[derive(Debug)]
pub struct AttemptError {
    pub progress: Progress,
    pub cause: Cause,
}

impl AttemptError {
    /// Only a request whose head was not written whole is known not to have run.
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

    /// In doubt an attempt may have run: taken for one that did not, it could have its effect twice.
    #[test]
    fn only_what_was_not_written_whole_never_ran() {
        let never_ran = |progress| AttemptError { progress, cause: Cause::Ended }.never_ran();
        assert!(never_ran(Progress::Dialing));
        assert!(never_ran(Progress::Writing));
        assert!(!never_ran(Progress::Written));
        assert!(!never_ran(Progress::Answering));
    }
}
