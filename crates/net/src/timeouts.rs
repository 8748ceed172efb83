//! Deadlines of the attempts of requests. The deadline of an attempt that has ended stays in the heap and is skipped
//! later.

use crate::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Deadlines with request id and attempt number, the earliest first.
#[derive(Default)]
pub struct Timeouts(BinaryHeap<Reverse<(Micros, u64, u32)>>);

impl Timeouts {
    pub fn add(&mut self, at: Micros, id: u64, attempt: u32) {
        self.0.push(Reverse((at, id, attempt)));
    }

    /// Removes and returns the next request and attempt whose deadline has passed.
    pub fn due(&mut self, now: Micros) -> Option<(u64, u32)> {
        let Reverse((_, id, attempt)) = self.0.peek().copied().filter(|t| t.0.0 <= now)?;
        self.0.pop();
        Some((id, attempt))
    }

    /// The earliest deadline of an attempt for which `pending` is true; earlier entries are removed.
    pub fn next(&mut self, pending: impl Fn(u64, u32) -> bool) -> Option<Micros> {
        while let Some(Reverse((at, id, attempt))) = self.0.peek().copied() {
            if pending(id, attempt) {
                return Some(at);
            }
            self.0.pop();
        }
        None
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }
}
