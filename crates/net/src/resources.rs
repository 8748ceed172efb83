//! The clock, limits, log and numbering that all listeners and pools of one program share.

use crate::clock::{Alarms, Clock};
use crate::limits::Fds;
use crate::memory::Memory;
use std::fmt::Arguments;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize};

/// Writes a warning to the program's log.
pub type Warn = Box<dyn Fn(Arguments) + Send + Sync>;

/// Shared by all listeners and pools of one program.
pub struct Resources {
    pub clock: Clock,
    pub alarms: Alarms,
    pub fds: Arc<Fds>,
    pub memory: Arc<Memory>,
    /// Requests refused because descriptors ran out, since this count was last reset by its reader.
    pub refused_without_descriptors: AtomicUsize,
    pub(crate) warn: Warn,
    /// The next id of a connection or request, across all listeners.
    pub(crate) ids: AtomicU64,
}

impl Resources {
    /// Allows up to `sockets` descriptors, and a part of `memory_mb` for what others make the program hold.
    pub fn new(sockets: usize, memory_mb: u64, clock: Clock, alarms: Alarms, warn: Warn) -> Resources {
        Resources {
            clock,
            alarms,
            fds: Arc::new(Fds::new(sockets)),
            memory: Arc::new(Memory::new(memory_mb)),
            refused_without_descriptors: AtomicUsize::new(0),
            warn,
            ids: AtomicU64::new(1),
        }
    }
}
