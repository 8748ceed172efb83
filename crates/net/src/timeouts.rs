//! When the attempts of requests run out of time. One that has ended meanwhile is passed over as its time is looked at.

use crate::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[derive(Default)]
pub struct Timeouts(BinaryHeap<Reverse<(Micros, u64, u32)>>);

impl Timeouts {
    pub fn add(&mut self, at: Micros, id: u64, attempt: u32) {
        self.0.push(Reverse((at, id, attempt)));
    }

    /// The next request and attempt whose time is up.
    pub fn due(&mut self, now: Micros) -> Option<(u64, u32)> {
        let Reverse((_, id, attempt)) = self.0.peek().copied().filter(|t| t.0.0 <= now)?;
        self.0.pop();
        Some((id, attempt))
    }

    /// When the first is due of those that are still out.
    pub fn next(&mut self, out: impl Fn(u64, u32) -> bool) -> Option<Micros> {
        while let Some(Reverse((at, id, attempt))) = self.0.peek().copied() {
            if out(id, attempt) {
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
