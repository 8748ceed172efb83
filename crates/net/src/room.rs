//! What all listeners and pools of one program share.

use crate::clock::{Alarms, Clock};
use crate::limits::{Fds, Memory};
use std::fmt::Arguments;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize};

/// Takes a warning to the program's log.
pub type Warn = Box<dyn Fn(Arguments) + Send + Sync>;

pub struct Room {
    pub clock: Clock,
    pub alarms: Alarms,
    pub fds: Arc<Fds>,
    pub memory: Arc<Memory>,
    /// Requests that were turned away for want of descriptors since somebody last took the count.
    pub no_room: AtomicUsize,
    pub(crate) warn: Warn,
    /// Numbers of connections and requests, of all listeners together.
    pub(crate) ids: AtomicU64,
}

impl Room {
    /// `sockets` descriptors at the most, and a part of `memory_mb` for requests' bodies.
    pub fn new(sockets: usize, memory_mb: u64, clock: Clock, alarms: Alarms, warn: Warn) -> Room {
        Room {
            clock,
            alarms,
            fds: Arc::new(Fds::new(sockets)),
            memory: Arc::new(Memory::new(memory_mb)),
            no_room: AtomicUsize::new(0),
            warn,
            ids: AtomicU64::new(1),
        }
    }
}
