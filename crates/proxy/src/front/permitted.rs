//! Attempts of tenants with a quota go to a server only with a permit ([`crate::permits`]).

use super::{Answer, Front, Output};
use crate::book::Place;
use crate::permits::asker::{Refusal, Try};
use crate::permits::{Counts, Effect, Permits};
use curlewfront::{Micros, Outcome};
use rack::talk::Permit;
use std::net::Ipv4Addr;

/// A refused client is told to come again after this time at the least.
const SOONEST_US: Micros = 250_000;

/// An attempt that waits for a permit: how long its server is to have for an answer.
pub(super) struct Awaiting {
    timeout_us: Micros,
}

pub(super) fn permits(place: &Place, seed: u64) -> Permits {
    Permits::new(place.ip, place.zone.clone(), place.region.clone(), place.zones.clone(), seed)
}

fn refusal(why: Refusal, wait_us: Micros) -> Answer {
    let after = wait_us.max(SOONEST_US);
    match why {
        Refusal::Spent => Answer::later(429, "beyond the quota", after),
        Refusal::NoHome => Answer::later(503, "no home of the quota answers", after),
    }
}

impl Front {
    /// What a request is answered that would get no permit now, and that nobody need be asked for.
    pub(super) fn without_permit(&self, plan: usize) -> Option<Answer> {
        let tenant = self.book.quota_key(plan)?;
        let (why, wait_us) = self.permits.refuses(self.now, tenant)?;
        Some(refusal(why, wait_us))
    }

    pub(super) fn await_permit(&mut self, tenant: u32, one: Try, timeout_us: Micros, out: &mut Vec<Output>) {
        self.awaiting.insert(one, Awaiting { timeout_us });
        let mut effects = Vec::new();
        self.permits.want(self.now, tenant, one, &self.book, &mut effects);
        self.carry_out(effects, out);
    }

    pub(super) fn hear_permit(&mut self, from: Ipv4Addr, message: Permit, out: &mut Vec<Output>) {
        let mut effects = Vec::new();
        self.permits.heard(self.now, from, message, &self.book, &mut effects);
        self.carry_out(effects, out);
    }

    pub(super) fn permits_due(&mut self, out: &mut Vec<Output>) {
        let mut effects = Vec::new();
        self.permits.tick(self.now, &self.book, &mut effects);
        self.carry_out(effects, out);
        self.settle(out);
    }

    fn carry_out(&mut self, effects: Vec<Effect>, out: &mut Vec<Output>) {
        for effect in effects {
            match effect {
                Effect::Say(to, message) => out.push(Output::Permit(to, message)),
                Effect::Go { one, until } => self.go_with_permit(one, until, out),
                Effect::Refuse { one, why, wait_us } => self.refuse_try(one, refusal(why, wait_us), out),
            }
        }
    }

    fn go_with_permit(&mut self, one: Try, until: Micros, out: &mut Vec<Output>) {
        let Some(Awaiting { timeout_us }) = self.awaiting.remove(&one) else { return };
        if let Some(open) = self.open.get_mut(&one.0) {
            open.permit_until = until;
        }
        self.transmit(one, timeout_us, out);
    }

    /// An attempt that got no permit was never sent, which tells the decisions nothing of its server.
    fn refuse_try(&mut self, (id, attempt): Try, refusal: Answer, out: &mut Vec<Output>) {
        if self.awaiting.remove(&(id, attempt)).is_none() {
            return;
        }
        let Some(open) = self.open.get_mut(&id) else { return };
        self.counts.refused += u64::from(!open.closed);
        let answer = open.spare.take().unwrap_or(refusal);
        self.answer(id, answer, out);
        self.back.push_back((id, attempt, Outcome::Moot));
    }

    /// Counts of permits asked for, issued and refused.
    pub fn permit_counts(&self) -> Counts {
        self.permits.counts
    }
}
