//! What a program may hold: descriptors, and memory for bodies. Counts alone; who holds something gives it
//! back by dropping it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Descriptors. A part is kept for servers: clients could otherwise take those that their own requests need.
/// When the clients' part runs short, each answer ends its connection, which is the one way to part that
/// cannot cross a request. The last few are a lane for being turned away: a request whose connection the
/// machine has accepted must be answered, also when there is no room to serve it.
pub struct Fds {
    room: usize,
    kept: usize,
    open: [AtomicUsize; 2],
}

#[derive(Clone, Copy)]
pub enum Side {
    Clients = 0,
    Servers = 1,
}

/// Descriptors beside connections: standard streams, event loop, timers, listener, discovery, signals.
const OTHERS: usize = 24;
/// One in so many is kept for servers; with so few left clients are short of them, or turned away.
const KEPT_PART: usize = 4;
const SHORT_PART: usize = 8;
const LANE_PART: usize = 16;

impl Fds {
    pub fn new(limit: usize) -> Fds {
        let room = limit.saturating_sub(OTHERS);
        Fds { room, kept: room / KEPT_PART, open: Default::default() }
    }

    /// Leave to open one more descriptor, given back when it is dropped.
    pub fn take(self: &Arc<Fds>, side: Side) -> Option<Fd> {
        if self.left(side) == 0 {
            return None;
        }
        self.open[side as usize].fetch_add(1, Ordering::Relaxed);
        Some(Fd { fds: self.clone(), side })
    }

    fn left(&self, side: Side) -> usize {
        let (clients, servers) = (self.open(Side::Clients), self.open(Side::Servers));
        match side {
            Side::Clients => self.room.saturating_sub(clients + servers.max(self.kept)),
            Side::Servers => self.room.saturating_sub(clients + servers),
        }
    }

    /// Clients' connections must give way.
    pub fn short(&self) -> bool {
        self.left(Side::Clients) < self.room / SHORT_PART
    }

    /// Only the lane is left to clients.
    pub fn full(&self) -> bool {
        self.left(Side::Clients) < self.room / LANE_PART
    }

    /// So many connections may stay idle of which nobody knows whether they will ask again.
    pub fn most_sitting(&self) -> usize {
        self.room / SHORT_PART
    }

    pub fn open(&self, side: Side) -> usize {
        self.open[side as usize].load(Ordering::Relaxed)
    }
}

pub struct Fd {
    fds: Arc<Fds>,
    side: Side,
}

impl Drop for Fd {
    fn drop(&mut self) {
        self.fds.open[self.side as usize].fetch_sub(1, Ordering::Relaxed);
    }
}

/// Memory for the bodies of requests. What one connection may hold is bounded elsewhere; together they may
/// hold this part of the limit, the rest being for answers, connections and the program.
pub struct Memory {
    most: usize,
    held: AtomicUsize,
}

const BODIES_PART: (u64, u64) = (3, 8);

impl Memory {
    pub fn new(memory_mb: u64) -> Memory {
        let most = memory_mb.saturating_mul(1024 * 1024) / BODIES_PART.1 * BODIES_PART.0;
        Memory { most: usize::try_from(most).unwrap_or(usize::MAX), held: AtomicUsize::new(0) }
    }

    /// Leave to hold so many bytes, given back when it is dropped.
    pub fn take(self: &Arc<Memory>, bytes: usize) -> Option<Lease> {
        let take = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= self.most);
        let taken = self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.ok().map(|_| Lease { memory: self.clone(), bytes })
    }
}

pub struct Lease {
    memory: Arc<Memory>,
    bytes: usize,
}

impl Lease {
    /// Leave to hold so many bytes in all; false, and as before, if they are not to be had.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let Some(more) = bytes.checked_sub(self.bytes).filter(|more| *more > 0) else { return true };
        let Some(mut lease) = self.memory.take(more) else { return false };
        self.bytes += std::mem::take(&mut lease.bytes);
        true
    }
}

/// A body, and the leave to hold it.
#[derive(Default)]
pub struct Held {
    pub bytes: Vec<u8>,
    pub lease: Option<Lease>,
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.memory.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bodies_hold_no_more_than_their_part_together() {
        let memory = Arc::new(Memory::new(32));
        let held: Vec<Lease> = std::iter::from_fn(|| memory.take(128 * 1024)).collect();
        assert_eq!(held.len(), 96, "12 of 32 MB");
        assert!(memory.take(1).is_none() && memory.take(usize::MAX).is_none());
        drop(held);
        let mut grown = memory.take(1).expect("there is room");
        assert!(!grown.grow(12 * 1024 * 1024 + 1) && grown.grow(12 * 1024 * 1024));
        assert!(memory.take(1).is_none());
        drop(grown);
        assert!(memory.take(1).is_some());
    }

    #[test]
    fn neither_side_can_take_all_descriptors() {
        let fds = Arc::new(Fds::new(24 + 160));
        let mut clients: Vec<Fd> = std::iter::from_fn(|| fds.take(Side::Clients)).take(105).collect();
        assert!(fds.short() && !fds.full());
        clients.extend(std::iter::from_fn(|| fds.take(Side::Clients)));
        assert!(fds.full());
        assert_eq!(clients.len(), 120);
        let servers: Vec<Fd> = std::iter::from_fn(|| fds.take(Side::Servers)).collect();
        assert_eq!(servers.len(), 40);
        drop(clients);
        let more: Vec<Fd> = std::iter::from_fn(|| fds.take(Side::Servers)).collect();
        assert_eq!((servers.len(), more.len()), (40, 120));
    }
}
