//! The error of a failed attempt, with the progress the attempt had made.

use crate::Micros;
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

/// The history of a connection when its attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionHistory {
    /// Time since it began to be opened.
    pub age_us: Micros,
    /// Time since it was established; None: it never was.
    pub established_us: Option<Micros>,
    /// The number of attempts it was given, with the one that failed.
    pub attempts: u32,
}

#[derive(Debug)]
pub struct AttemptError {
    pub progress: Progress,
    pub cause: Cause,
    /// None: the attempt was not given to a connection.
    pub connection: Option<ConnectionHistory>,
}

impl AttemptError {
    /// An attempt that fails before any connection is opened for it.
    pub fn without_connection(cause: Cause) -> AttemptError {
        AttemptError { progress: Progress::Dialing, cause, connection: None }
    }

    /// True if the pool itself ended the connection although the server may be working on the request.
    pub fn cut_by_pool(&self) -> bool {
        matches!(self.cause, Cause::DialTimeout | Cause::ServerGone) && !self.never_ran()
    }

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
            Cause::Ended => write!(f, "the server ended the connection {at}"),
            Cause::Malformed(what) => write!(f, "{what} {at}"),
            Cause::DialTimeout => write!(f, "the pool closed a connection not established in time {at}"),
            Cause::MostConnections => write!(f, "no connection left {at}"),
            Cause::NoDescriptor => write!(f, "no descriptor left {at}"),
            Cause::ServerGone => write!(f, "the pool closed it as its server left the list {at}"),
            Cause::Panic => write!(f, "panic {at}"),
        }?;
        self.connection.map_or(Ok(()), |connection| write!(f, "; {connection}"))
    }
}

impl fmt::Display for ConnectionHistory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |us: Micros| us / 1000;
        write!(f, "connection opened {} ms ago, ", ms(self.age_us))?;
        match self.established_us {
            Some(us) => write!(f, "established {} ms ago", ms(us))?,
            None => write!(f, "never established")?,
        }
        write!(f, ", attempt {} on it", self.attempts)
    }
}

impl std::error::Error for AttemptError {}

#[cfg(test)]
mod tests;
