//! What the links that others open to this process may hold: descriptors, and memory for frames that are not whole yet.
//! Any process that reaches the port may open one, and need not say who it is.

use net::Micros;
use net::limits::{ConnectionKind, Fd};
use net::memory::{Lease, MAX_SMALL_BYTES, Memory};
use net::resources::Resources;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The part of the program's memory for frames that are being received, as numerator and denominator.
const FRAME_FRACTION: (u64, u64) = (1, 8);
/// The time within which a link must have brought its opening. Both sides send it at once.
pub const OPENING_TIMEOUT_US: Micros = 5_000_000;

/// The limits of all links that one process accepts.
pub struct LinkLimits {
    resources: Arc<Resources>,
    memory: Arc<Memory>,
    max_links: usize,
    open_links: AtomicUsize,
}

impl LinkLimits {
    /// Up to `max_links` at once. Their descriptors are those reserved for connections to servers. `min_frame_bytes`: what
    /// there is memory for in any case.
    pub fn new(
        resources: Arc<Resources>,
        memory_mb: u64,
        max_links: usize,
        min_frame_bytes: usize,
    ) -> Arc<LinkLimits> {
        let (numerator, denominator) = FRAME_FRACTION;
        let bytes = memory_mb.saturating_mul(1024 * 1024) / denominator * numerator;
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX).max(min_frame_bytes);
        let memory = Arc::new(Memory::with_limit(bytes));
        Arc::new(LinkLimits { resources, memory, max_links, open_links: AtomicUsize::new(0) })
    }

    /// A permit for one more link; None if there is no room for it.
    pub fn accept(self: &Arc<LinkLimits>) -> Option<LinkPermit> {
        if self.open_links.load(Ordering::Relaxed) >= self.max_links {
            return None;
        }
        let fd = self.resources.fds.take(ConnectionKind::Server)?;
        self.open_links.fetch_add(1, Ordering::Relaxed);
        Some(LinkPermit {
            limits: self.clone(),
            opened_at: self.resources.clock.now(),
            frames: self.memory.hold(0),
            _fd: fd,
        })
    }
}

/// The permit of one accepted link.
pub struct LinkPermit {
    limits: Arc<LinkLimits>,
    opened_at: Micros,
    frames: Lease,
    _fd: Fd,
}

impl Drop for LinkPermit {
    fn drop(&mut self) {
        self.limits.open_links.fetch_sub(1, Ordering::Relaxed);
    }
}

impl LinkPermit {
    /// Calls `wake` once the opening must have come.
    pub fn wake_when_opening_is_due(&self, wake: impl FnOnce() + Send + 'static) {
        self.limits.resources.alarms.after(OPENING_TIMEOUT_US, wake);
    }

    /// Fails if the link holds more than there is memory for, or has not brought its opening in time.
    pub fn check(&mut self, buffered_bytes: usize, opening_checked: bool) -> Result<(), String> {
        if buffered_bytes != self.frames.bytes() {
            self.frames.resize(buffered_bytes);
        }
        if buffered_bytes > MAX_SMALL_BYTES && self.limits.memory.is_exhausted() {
            return Err("no memory for its frames".into());
        }
        if !opening_checked && self.limits.resources.clock.now() >= self.opened_at + OPENING_TIMEOUT_US {
            return Err("no opening in time".into());
        }
        Ok(())
    }
}
