//! The limit on open descriptors. It only counts: a holder gets a permit, and dropping the permit releases its share.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The limit on open descriptors. A part is reserved for connections to servers: client connections could otherwise
/// take the descriptors that their own requests need. When few are left for clients, each answer closes its
/// connection, the only way to close that cannot collide with a request on its way. The last few serve only to
/// refuse requests: a request whose connection the machine has accepted must be answered, even if it cannot be
/// served.
pub struct Fds {
    /// Descriptors for connections of both kinds.
    connection_limit: usize,
    reserved_for_servers: usize,
    open: [AtomicUsize; 2],
}

#[derive(Clone, Copy)]
pub enum ConnectionKind {
    Client = 0,
    Server = 1,
}

/// Descriptors that are no connections: standard streams, event loop, timers, listener, discovery, signals.
const OTHER_DESCRIPTORS: usize = 24;
/// One descriptor in so many is reserved for connections to servers.
const SERVER_RESERVE_DIVISOR: usize = 4;
/// Below this part of the descriptors (one in so many), client connections are closed to free some.
const SHORT_DIVISOR: usize = 8;
/// Below this part (one in so many), new requests of clients are refused.
const REFUSE_DIVISOR: usize = 16;

impl Fds {
    pub fn new(limit: usize) -> Fds {
        let connection_limit = limit.saturating_sub(OTHER_DESCRIPTORS);
        let reserved_for_servers = connection_limit / SERVER_RESERVE_DIVISOR;
        Fds { connection_limit, reserved_for_servers, open: Default::default() }
    }

    /// A permit to open one more descriptor, released when it is dropped; None if there is none left.
    pub fn take(self: &Arc<Fds>, kind: ConnectionKind) -> Option<Fd> {
        if self.left(kind) == 0 {
            return None;
        }
        self.open[kind as usize].fetch_add(1, Ordering::Relaxed);
        Some(Fd { fds: self.clone(), kind })
    }

    fn left(&self, kind: ConnectionKind) -> usize {
        let (clients, servers) = (self.open(ConnectionKind::Client), self.open(ConnectionKind::Server));
        match kind {
            ConnectionKind::Client => {
                self.connection_limit.saturating_sub(clients + servers.max(self.reserved_for_servers))
            }
            ConnectionKind::Server => self.connection_limit.saturating_sub(clients + servers),
        }
    }

    /// So few descriptors are left for clients that client connections must be closed.
    pub fn short(&self) -> bool {
        self.left(ConnectionKind::Client) < self.connection_limit / SHORT_DIVISOR
    }

    /// Only the descriptors for refusing requests are left for clients.
    pub fn full(&self) -> bool {
        self.left(ConnectionKind::Client) < self.connection_limit / REFUSE_DIVISOR
    }

    /// How many client connections may stay idle after a single request, as it is not known whether they will
    /// send another.
    pub fn max_idle_after_one_request(&self) -> usize {
        self.connection_limit / SHORT_DIVISOR
    }

    /// The number of open connections of that kind.
    pub fn open(&self, kind: ConnectionKind) -> usize {
        self.open[kind as usize].load(Ordering::Relaxed)
    }
}

/// A permit to hold one open descriptor.
pub struct Fd {
    fds: Arc<Fds>,
    kind: ConnectionKind,
}

impl Drop for Fd {
    fn drop(&mut self) {
        self.fds.open[self.kind as usize].fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn neither_side_can_take_all_descriptors() {
        let fds = Arc::new(Fds::new(24 + 160));
        let mut clients: Vec<Fd> =
            std::iter::from_fn(|| fds.take(ConnectionKind::Client)).take(105).collect();
        assert!(fds.short() && !fds.full());
        clients.extend(std::iter::from_fn(|| fds.take(ConnectionKind::Client)));
        assert!(fds.full());
        assert_eq!(clients.len(), 120);
        let servers: Vec<Fd> = std::iter::from_fn(|| fds.take(ConnectionKind::Server)).collect();
        assert_eq!(servers.len(), 40);
        drop(clients);
        let more: Vec<Fd> = std::iter::from_fn(|| fds.take(ConnectionKind::Server)).collect();
        assert_eq!((servers.len(), more.len()), (40, 120));
    }
}
