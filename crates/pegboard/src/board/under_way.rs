//! A proposal of the registry's own that is on its way into the log.

use rack::{Micros, Rev};

/// At most one proposal of a kind is under way at a time.
#[derive(Default)]
pub(super) struct UnderWay {
    /// The ticket, and when it was sent.
    sent: Option<(u64, Micros)>,
    /// Where the last one landed.
    landed: Rev,
}

impl UnderWay {
    pub(super) fn send(&mut self, ticket: u64, now: Micros) {
        self.sent = Some((ticket, now));
    }

    /// Whether one is under way, or has landed at a revision that the copy has not come to yet.
    pub(super) fn is_busy(&self, copy: Rev) -> bool {
        self.sent.is_some() || copy < self.landed
    }

    /// Whether this ticket was the one under way, which then no longer is; `landed`: where, if it has.
    pub(super) fn ended(&mut self, ticket: u64, landed: Option<Rev>) -> bool {
        let ours = self.sent.is_some_and(|(sent, _)| sent == ticket);
        if ours {
            self.sent = None;
            self.landed = landed.unwrap_or(self.landed);
        }
        ours
    }

    /// One that was sent before this time is waited for no longer.
    pub(super) fn give_up_before(&mut self, time: Micros) {
        self.sent = self.sent.filter(|(_, at)| *at >= time);
    }

    /// The link to the store broke: whether it landed is not heard any more.
    pub(super) fn forget(&mut self) {
        self.sent = None;
    }
}
