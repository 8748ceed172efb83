//! What client connections hold of bodies and answers, and which of them are too slow to go on while others need memory.

use crate::Micros;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// While others need memory: how long a connection may hold a body or an answer at whatever rate.
pub(super) const HOLD_GRACE_US: Micros = 1_000_000;
/// While others need memory: the rate below which a connection may be closed, over the whole time for which it has held
/// a body or an answer, in bytes per second.
pub(super) const LEAST_RATE: u64 = 256 * 1024;

/// What a connection holds of bodies and answers, and how fast its client takes or brings them.
#[derive(Default)]
pub(super) struct Held {
    pub bytes: AtomicUsize,
    /// Since when it has held anything without a break; 0: it holds nothing.
    pub since: AtomicU64,
    /// Bytes read and written since then.
    pub moved: AtomicUsize,
}

impl Held {
    /// The rate at which its bytes have moved, in bytes per second, if that is too slow while others need memory.
    pub fn slow_rate(&self, now: Micros) -> Option<u64> {
        let since = self.since.load(Ordering::Relaxed);
        let age = now.saturating_sub(since);
        if since == 0 || age < HOLD_GRACE_US {
            return None;
        }
        let rate = self.moved.load(Ordering::Relaxed) as u64 * 1_000_000 / age;
        (rate < LEAST_RATE).then_some(rate)
    }
}
