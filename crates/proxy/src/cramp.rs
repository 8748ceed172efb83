//! The cramp: how much of each booking's room this proxy holds, as a state machine. What is agreed of bookings, how fresh
//! that is, and the time on this proxy's own steady clock come in; what to hold comes out. No time of day is read here.
//!
//! A part that shrinks binds at once. One that grows is taken only `settle` after it was heard, by when all others in
//! touch have heard it too; who has heard nothing for that long holds nothing. So at any time the parts that are held come
//! to no more than one division, which every copy has checked, whoever is cut off. See docs/system/bookings.md.

use crate::book::Book;
use cluster::Micros;
use cluster::booking::{Booked, Booking, Phase, Unused, key};
use cluster::state::State;
use curlewfront::Hold;
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

/// How often what is held is looked at while it is taken up or given back.
const STEP_US: Micros = 50_000;

/// The stated times of bookings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Within this all that are in touch have heard what is agreed.
    pub settle_us: Micros,
    /// So long after its end an open booking that nobody closes is closed here.
    pub hold_us: Micros,
}

impl Default for Times {
    fn default() -> Times {
        Times { settle_us: 3_000_000, hold_us: 5_000_000 }
    }
}

struct Held {
    number: u32,
    booking: Booking,
    epoch: u64,
    phase: Phase,
    opened_at: Option<Micros>,
    /// Since when it is given back, and how much of it had been taken up by then.
    closed_at: Option<(Micros, f64)>,
    part: u32,
    /// Parts before this one, and until when they bind.
    before: VecDeque<(Micros, u32)>,
}

/// What this proxy shows of a booking.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shown {
    pub open: bool,
    /// In force now.
    pub part: u32,
    pub first: u32,
}

pub struct Cramp {
    me: Ipv4Addr,
    times: Times,
    held: BTreeMap<String, Held>,
    /// Names by their numbers, from 1; none is given twice.
    names: Vec<String>,
    fresh_at: Option<Micros>,
    /// Until then nothing is held, as what was agreed meanwhile is not known.
    unsure_until: Micros,
    /// The longest that a request waits or is under way.
    keep_us: Micros,
}

impl Cramp {
    pub fn new(me: Ipv4Addr, times: Times) -> Cramp {
        let (held, names) = (BTreeMap::new(), Vec::new());
        Cramp { me, times, held, names, fresh_at: None, unsure_until: 0, keep_us: 0 }
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// How long a request may take by the configuration.
    pub fn keep(&mut self, longest_us: Micros) {
        self.keep_us = longest_us;
    }

    /// When this proxy last held all that was acknowledged; whether it had been out of touch. Then it begins anew.
    pub fn fresh(&mut self, now: Micros, at: Option<Micros>) -> bool {
        let lapsed = at != self.fresh_at && self.stale(now);
        if lapsed {
            self.unsure_until = now + self.times.settle_us;
        }
        self.fresh_at = at;
        lapsed
    }

    fn stale(&self, now: Micros) -> bool {
        self.fresh_at.is_none_or(|at| now > at + self.times.settle_us)
    }

    /// Takes over what is agreed, after each single change of it; `jumped`: divisions between may have been passed over.
    pub fn learn(&mut self, now: Micros, state: &State, jumped: bool) {
        if jumped {
            self.unsure_until = now + self.times.settle_us;
        }
        for (name, booked) in state.bookings.iter() {
            self.learn_one(now, name, booked);
        }
        for (name, held) in &mut self.held {
            if !state.bookings.contains_key(name) {
                held.turn(now, now, Phase::Ended);
            }
        }
        let keep_us = self.keep_us;
        self.held.retain(|_, h| !h.over(now, keep_us));
    }

    fn learn_one(&mut self, now: Micros, name: &str, booked: &Booked) {
        if booked.phase == Phase::Ended && !self.held.contains_key(name) {
            return;
        }
        let number = match self.names.iter().position(|n| n == name) {
            Some(at) => at + 1,
            None => {
                self.names.push(name.to_string());
                self.names.len()
            }
        };
        let held = self.held.entry(name.to_string()).or_insert_with(|| Held {
            number: number as u32,
            booking: booked.booking.clone(),
            epoch: 0,
            phase: Phase::Planned,
            opened_at: None,
            closed_at: None,
            part: 0,
            before: VecDeque::new(),
        });
        if held.epoch < booked.epoch {
            held.epoch = booked.epoch;
            held.booking = booked.booking.clone();
            held.turn(now, now.saturating_sub(booked.lasted_us(now)), booked.phase);
        }
        held.before.retain(|b| now < b.0);
        let part = if booked.phase == Phase::Ended { held.part } else { booked.division.part(self.me) };
        if part != held.part {
            held.before.push_back((now + self.times.settle_us, held.part));
            held.part = part;
        }
    }

    /// The number of the booking that a request comes under now; 0: none.
    pub fn booking(&self, now: Micros, tenant: Option<&str>, route: &str, service: &str) -> u32 {
        let fits = |h: &&Held| {
            let b = &h.booking;
            let of = |names: &[String], name: Option<&str>| {
                names.is_empty() || name.is_some_and(|name| names.iter().any(|n| n == name))
            };
            h.taken_up(now, self.times.hold_us) > 0.0
                && b.service == service
                && of(&b.tenants, tenant)
                && of(&b.routes, Some(route))
        };
        self.held.values().find(fits).map_or(0, |h| h.number)
    }

    /// Under this the use of a booking is reported.
    pub fn key(&self, number: usize) -> u32 {
        number.checked_sub(1).and_then(|n| self.names.get(n)).map_or(0, |name| key(name))
    }

    /// What to hold now, at so many proxies.
    pub fn holds(&mut self, now: Micros, nodes: usize, book: &Book) -> Vec<Hold> {
        let mut holds = Vec::new();
        let (times, keep_us) = (self.times, self.keep_us);
        self.held.retain(|_, h| !h.over(now, keep_us));
        if self.stale(now) || now < self.unsure_until {
            return holds;
        }
        for h in self.held.values_mut() {
            h.lease(now, times.hold_us);
            let part = h.in_force(now);
            let taken_up = h.taken_up(now, times.hold_us);
            let first = whole(part, h.lately(now, keep_us, times.hold_us));
            let Some(service) = book.service(&h.booking.service) else { continue };
            let even = f64::from(h.booking.flight) / nodes.max(1) as f64;
            let moved = (f64::from(part) - even) * taken_up;
            let kept = if h.booking.unused == Unused::Hold { whole(part, taken_up) } else { 0 };
            if first > 0 || moved != 0.0 {
                holds.push(Hold { booking: h.number, service, first, kept, moved });
            }
        }
        holds
    }

    /// When what is held changes though nothing is heard.
    pub fn wake_at(&self, now: Micros) -> Micros {
        if self.held.is_empty() {
            return Micros::MAX;
        }
        let stale = self.fresh_at.map(|at| at + self.times.settle_us + 1);
        let mut times: Vec<Micros> = stale.into_iter().chain([self.unsure_until]).collect();
        for h in self.held.values() {
            times.extend(h.before.iter().map(|b| b.0));
            let ramp_us = h.ramp_us();
            if let Some(opened) = h.opened_at {
                let lease = opened + h.window_us() + self.times.hold_us;
                times.push(lease);
                if now < opened + ramp_us {
                    times.push(now + STEP_US);
                }
            }
            if let Some((closed, _)) = h.closed_at {
                times.push(closed + ramp_us + self.keep_us);
                if now < closed + ramp_us + self.keep_us {
                    times.push(now + STEP_US);
                }
            }
        }
        times.into_iter().filter(|at| *at > now).min().unwrap_or(Micros::MAX)
    }

    /// What is held of each booking, for who watches.
    pub fn show(&self, now: Micros) -> BTreeMap<&str, Shown> {
        let sure = !self.stale(now) && now >= self.unsure_until;
        let one = |h: &Held| {
            let part = if sure { h.in_force(now) } else { 0 };
            let open = h.opened_at.is_some() && h.closed_at.is_none();
            Shown { open, part, first: whole(part, h.taken_up(now, self.times.hold_us)) }
        };
        self.held.iter().map(|(name, h)| (name.as_str(), one(h))).collect()
    }
}

/// So much of a part, in whole permits and never more.
fn whole(part: u32, taken_up: f64) -> u32 {
    (f64::from(part) * taken_up) as u32
}

impl Held {
    /// It has come into this phase at that time. Phases of one epoch do not go back; a booking that is planned anew
    /// under its name has not opened yet.
    fn turn(&mut self, now: Micros, at: Micros, phase: Phase) {
        match phase {
            Phase::Planned => (self.opened_at, self.closed_at) = (None, None),
            Phase::Open => {
                self.opened_at.get_or_insert(at);
                // Closed here by itself at most: its end has been put off.
                self.closed_at = None;
            }
            Phase::Closing | Phase::Ended => {
                // One that was never seen open is given back as if it had been: what is left is the ramp.
                let opened = match self.opened_at {
                    Some(opened) => opened,
                    None if phase == Phase::Closing => at.saturating_sub(self.ramp_us()),
                    None => {
                        self.phase = phase;
                        return;
                    }
                };
                self.opened_at = Some(opened);
                if self.closed_at.is_none() {
                    self.closed_at = Some((at.min(now), self.opened(at)));
                }
            }
        }
        self.phase = phase;
    }

    fn ramp_us(&self) -> Micros {
        Micros::from(self.booking.ramp_ms) * 1000
    }

    fn window_us(&self) -> Micros {
        self.booking.closes_ms.saturating_sub(self.booking.opens_ms).saturating_mul(1000)
    }

    /// Nobody has closed it in time.
    fn lease(&mut self, now: Micros, hold_us: Micros) {
        let Some(opened) = self.opened_at.filter(|_| self.closed_at.is_none()) else { return };
        let end = opened + self.window_us() + hold_us;
        if now >= end {
            self.closed_at = Some((end, self.opened(end)));
        }
    }

    /// How much of it is taken up by opening alone.
    fn opened(&self, now: Micros) -> f64 {
        let Some(at) = self.opened_at else { return 0.0 };
        let (since, ramp) = (now.saturating_sub(at) as f64, self.ramp_us() as f64);
        if ramp > 0.0 { (since / ramp).min(1.0) } else { 1.0 }
    }

    /// How much of the part is held: from none to all over the ramp, and back.
    fn taken_up(&self, now: Micros, hold_us: Micros) -> f64 {
        let lease = self.opened_at.map(|at| at + self.window_us() + hold_us);
        let closed = self.closed_at.or(lease.filter(|end| now >= *end).map(|end| (end, self.opened(end))));
        let Some((at, from)) = closed.filter(|c| now >= c.0) else { return self.opened(now) };
        let (since, ramp) = (now.saturating_sub(at) as f64, self.ramp_us() as f64);
        if ramp > 0.0 { (from - since / ramp).max(0.0) } else { 0.0 }
    }

    /// The most that was held while requests came that may still be here: they end under the phase under which they were
    /// taken.
    fn lately(&self, now: Micros, keep_us: Micros, hold_us: Micros) -> f64 {
        let now_up = self.taken_up(now, hold_us);
        match self.closed_at {
            Some((at, from)) if now < at + keep_us => from,
            Some(_) => now_up.max(self.taken_up(now.saturating_sub(keep_us), hold_us)),
            None => now_up,
        }
    }

    fn in_force(&self, now: Micros) -> u32 {
        let binding = self.before.iter().filter(|b| now < b.0).map(|b| b.1);
        binding.chain([self.part]).min().unwrap_or(0)
    }

    /// Nothing more is held under it, and no request is left.
    fn over(&self, now: Micros, keep_us: Micros) -> bool {
        match (self.phase, self.closed_at) {
            (Phase::Ended, None) => true,
            (_, Some((at, _))) => now > at + self.ramp_us() + keep_us && self.phase >= Phase::Closing,
            _ => false,
        }
    }
}
