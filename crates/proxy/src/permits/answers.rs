//! What was answered lately: an ask that comes again gets the same answer, and no more permits.
//!
//! This saves permits, no more: of several answers to one ask the asker takes one.

use super::asker::VALID_US;
use super::issuer::Issued;
use rack::Micros;
use std::collections::VecDeque;
use std::net::Ipv4Addr;

/// An ask that is still worth an answer was first said no longer ago.
const KEPT_US: Micros = VALID_US;

#[derive(Clone, Debug, Default)]
pub struct Answers {
    /// When, to whom, under which number, and what; the oldest first.
    lately: VecDeque<(Micros, Ipv4Addr, u64, Issued)>,
}

impl Answers {
    /// What this ask was answered before, if it was.
    pub fn again(&mut self, now: Micros, from: Ipv4Addr, ask: u64) -> Option<Issued> {
        while self.lately.front().is_some_and(|(at, ..)| *at + KEPT_US < now) {
            self.lately.pop_front();
        }
        let known = self.lately.iter().rev().find(|(_, ip, number, _)| (*ip, *number) == (from, ask));
        known.map(|(.., issued)| *issued)
    }

    /// An ask was answered, with permits or with none.
    pub fn note(&mut self, now: Micros, from: Ipv4Addr, ask: u64, issued: Option<Issued>) {
        if let Some(issued) = issued {
            self.lately.push_back((now, from, ask, issued));
        }
    }
}
