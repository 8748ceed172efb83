//! Tracks how much of the capacity of each booking this proxy has reserved, as a state machine. Its inputs
//! are the agreed bookings, how fresh that information is, and this proxy's monotonic clock; its output is
//! what the decisions reserve. It never reads the time of day.
//!
//! A smaller part takes effect at once. A larger one takes effect only `settle_us` after this proxy learned
//! of it: by then all other proxies in contact have learned of it, too. A proxy that has learned nothing for
//! that long reserves nothing. So at any time the reserved parts add up to no more than one division, which
//! every copy of the state has checked, whichever proxies are cut off. See docs/system/bookings.md.

use crate::routing_view::RoutingView;
use cluster::Micros;
use cluster::booking::{Booked, Booking, Phase, Unused, key};
use cluster::state::State;
use curlewfront::Hold;
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

/// How often the reserved amount is updated during a ramp.
const STEP_US: Micros = 50_000;

/// Time limits of bookings, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BookingTimes {
    /// Within this time all proxies that are in contact learn of an agreed change.
    pub settle_us: Micros,
    /// If nobody closes an open booking, this proxy closes it this long after its planned end.
    pub hold_us: Micros,
}

impl Default for BookingTimes {
    fn default() -> BookingTimes {
        BookingTimes { settle_us: 3_000_000, hold_us: 5_000_000 }
    }
}

struct Reservation {
    number: u32,
    booking: Booking,
    epoch: u64,
    phase: Phase,
    opened_at: Option<Micros>,
    /// When closing began, and the fraction that was reserved by then.
    closed_at: Option<(Micros, f64)>,
    /// This proxy's part of the last division.
    part: u32,
    /// Earlier parts that still bind, each with the time until which it does.
    earlier_parts: VecDeque<(Micros, u32)>,
}

/// The state of a reservation, for monitoring.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReservationStatus {
    pub open: bool,
    /// The part in effect now.
    pub part: u32,
    /// In-flight requests of the booking that go before all others.
    pub first: u32,
}

/// The reservations of this proxy, by booking name.
pub struct Reservations {
    own_ip: Ipv4Addr,
    times: BookingTimes,
    by_name: BTreeMap<String, Reservation>,
    /// Booking names by number, from 1; no number is given twice.
    names: Vec<String>,
    fresh_at: Option<Micros>,
    /// Nothing is reserved until then, because agreed changes may have been missed.
    suspended_until: Micros,
    /// The longest time that a request may wait or be in flight.
    longest_request_us: Micros,
}

impl Reservations {
    pub fn new(own_ip: Ipv4Addr, times: BookingTimes) -> Reservations {
        let (by_name, names) = (BTreeMap::new(), Vec::new());
        Reservations {
            own_ip,
            times,
            by_name,
            names,
            fresh_at: None,
            suspended_until: 0,
            longest_request_us: 0,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Sets the longest time that a request may take by the configuration.
    pub fn set_longest_request(&mut self, longest_us: Micros) {
        self.longest_request_us = longest_us;
    }

    /// Sets when this proxy last had everything that was acknowledged. Returns whether it had been out of
    /// contact; then it reserves nothing for `settle_us`.
    pub fn set_fresh_at(&mut self, now: Micros, at: Option<Micros>) -> bool {
        let lapsed = at != self.fresh_at && self.is_stale(now);
        if lapsed {
            self.suspended_until = now + self.times.settle_us;
        }
        self.fresh_at = at;
        lapsed
    }

    fn is_stale(&self, now: Micros) -> bool {
        self.fresh_at.is_none_or(|at| now > at + self.times.settle_us)
    }

    /// Applies the agreed state; must be called after each single change of bookings. `jumped`: divisions in
    /// between may have been skipped.
    pub fn apply_state(&mut self, now: Micros, state: &State, jumped: bool) {
        if jumped {
            self.suspended_until = now + self.times.settle_us;
        }
        for (name, booked) in state.bookings.iter() {
            self.apply_booking(now, name, booked);
        }
        for (name, reservation) in &mut self.by_name {
            if !state.bookings.contains_key(name) {
                reservation.enter_phase(now, now, Phase::Ended);
            }
        }
        let longest_request_us = self.longest_request_us;
        self.by_name.retain(|_, r| !r.is_over(now, longest_request_us));
    }

    fn apply_booking(&mut self, now: Micros, name: &str, booked: &Booked) {
        if booked.phase == Phase::Ended && !self.by_name.contains_key(name) {
            return;
        }
        let number = match self.names.iter().position(|n| n == name) {
            Some(at) => at + 1,
            None => {
                self.names.push(name.to_string());
                self.names.len()
            }
        };
        let reservation = self.by_name.entry(name.to_string()).or_insert_with(|| Reservation {
            number: number as u32,
            booking: booked.booking.clone(),
            epoch: 0,
            phase: Phase::Planned,
            opened_at: None,
            closed_at: None,
            part: 0,
            earlier_parts: VecDeque::new(),
        });
        if reservation.epoch < booked.epoch {
            reservation.epoch = booked.epoch;
            reservation.booking = booked.booking.clone();
            reservation.enter_phase(now, now.saturating_sub(booked.lasted_us(now)), booked.phase);
        }
        reservation.earlier_parts.retain(|b| now < b.0);
        let part =
            if booked.phase == Phase::Ended { reservation.part } else { booked.division.part(self.own_ip) };
        if part != reservation.part {
            reservation.earlier_parts.push_back((now + self.times.settle_us, reservation.part));
            reservation.part = part;
        }
    }

    /// The number of the booking that a request counts towards now; 0: none.
    pub fn booking_number(&self, now: Micros, tenant: Option<&str>, route: &str, service: &str) -> u32 {
        let fits = |r: &&Reservation| {
            let b = &r.booking;
            let of = |names: &[String], name: Option<&str>| {
                names.is_empty() || name.is_some_and(|name| names.iter().any(|n| n == name))
            };
            r.reserved_fraction(now, self.times.hold_us) > 0.0
                && b.service == service
                && of(&b.tenants, tenant)
                && of(&b.routes, Some(route))
        };
        self.by_name.values().find(fits).map_or(0, |r| r.number)
    }

    /// The key under which usage reports name a booking.
    pub fn report_key(&self, number: usize) -> u32 {
        number.checked_sub(1).and_then(|n| self.names.get(n)).map_or(0, |name| key(name))
    }

    /// What the decisions are to reserve now, with `nodes` proxies.
    pub fn holds(&mut self, now: Micros, nodes: usize, routing: &RoutingView) -> Vec<Hold> {
        let mut holds = Vec::new();
        let (times, longest_request_us) = (self.times, self.longest_request_us);
        self.by_name.retain(|_, r| !r.is_over(now, longest_request_us));
        if self.is_stale(now) || now < self.suspended_until {
            return holds;
        }
        for r in self.by_name.values_mut() {
            r.close_if_overdue(now, times.hold_us);
            let part = r.effective_part(now);
            let reserved_fraction = r.reserved_fraction(now, times.hold_us);
            let first = whole_permits(part, r.recent_peak_fraction(now, longest_request_us, times.hold_us));
            let Some(service) = routing.service(&r.booking.service) else { continue };
            let even = f64::from(r.booking.flight) / nodes.max(1) as f64;
            let moved = (f64::from(part) - even) * reserved_fraction;
            let kept =
                if r.booking.unused == Unused::Hold { whole_permits(part, reserved_fraction) } else { 0 };
            if first > 0 || moved != 0.0 {
                holds.push(Hold { booking: r.number, service, priority: first, reserved: kept, moved });
            }
        }
        holds
    }

    /// When the reserved amounts change next if nothing is learned.
    pub fn wake_at(&self, now: Micros) -> Micros {
        if self.by_name.is_empty() {
            return Micros::MAX;
        }
        let stale = self.fresh_at.map(|at| at + self.times.settle_us + 1);
        let mut times: Vec<Micros> = stale.into_iter().chain([self.suspended_until]).collect();
        for r in self.by_name.values() {
            times.extend(r.earlier_parts.iter().map(|b| b.0));
            let ramp_us = r.ramp_us();
            if let Some(opened) = r.opened_at {
                let overdue_at = opened + r.window_us() + self.times.hold_us;
                times.push(overdue_at);
                if now < opened + ramp_us {
                    times.push(now + STEP_US);
                }
            }
            if let Some((closed, _)) = r.closed_at {
                times.push(closed + ramp_us + self.longest_request_us);
                if now < closed + ramp_us + self.longest_request_us {
                    times.push(now + STEP_US);
                }
            }
        }
        times.into_iter().filter(|at| *at > now).min().unwrap_or(Micros::MAX)
    }

    /// The state of each reservation, for monitoring.
    pub fn status(&self, now: Micros) -> BTreeMap<&str, ReservationStatus> {
        let in_contact = !self.is_stale(now) && now >= self.suspended_until;
        let one = |r: &Reservation| {
            let part = if in_contact { r.effective_part(now) } else { 0 };
            let open = r.opened_at.is_some() && r.closed_at.is_none();
            ReservationStatus {
                open,
                part,
                first: whole_permits(part, r.reserved_fraction(now, self.times.hold_us)),
            }
        };
        self.by_name.iter().map(|(name, r)| (name.as_str(), one(r))).collect()
    }
}

/// A fraction of a part in whole permits, rounded down.
fn whole_permits(part: u32, reserved_fraction: f64) -> u32 {
    (f64::from(part) * reserved_fraction) as u32
}

impl Reservation {
    /// Enters a phase that began at `at`. Within one epoch phases don't go back; a booking that is planned
    /// anew under its name hasn't opened yet.
    fn enter_phase(&mut self, now: Micros, at: Micros, phase: Phase) {
        match phase {
            Phase::Planned => (self.opened_at, self.closed_at) = (None, None),
            Phase::Open => {
                self.opened_at.get_or_insert(at);
                // Only this proxy itself can have closed it before; its end has been postponed since.
                self.closed_at = None;
            }
            Phase::Closing | Phase::Ended => {
                // If this proxy never saw it open, it is released as if it had been fully open, so only the
                // ramp down is left.
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
                    self.closed_at = Some((at.min(now), self.ramp_up_fraction(at)));
                }
            }
        }
        self.phase = phase;
    }

    fn ramp_us(&self) -> Micros {
        Micros::from(self.booking.ramp_ms) * 1000
    }

    /// The planned time between opening and closing.
    fn window_us(&self) -> Micros {
        self.booking.closes_ms.saturating_sub(self.booking.opens_ms).saturating_mul(1000)
    }

    /// Closes the booking if nobody else has done so in time.
    fn close_if_overdue(&mut self, now: Micros, hold_us: Micros) {
        let Some(opened) = self.opened_at.filter(|_| self.closed_at.is_none()) else { return };
        let end = opened + self.window_us() + hold_us;
        if now >= end {
            self.closed_at = Some((end, self.ramp_up_fraction(end)));
        }
    }

    /// The fraction that is reserved by the ramp up alone.
    fn ramp_up_fraction(&self, now: Micros) -> f64 {
        let Some(at) = self.opened_at else { return 0.0 };
        let (since, ramp) = (now.saturating_sub(at) as f64, self.ramp_us() as f64);
        if ramp > 0.0 { (since / ramp).min(1.0) } else { 1.0 }
    }

    /// The fraction of the part that is reserved: it rises from 0 to 1 over the ramp, and falls back after
    /// closing.
    fn reserved_fraction(&self, now: Micros, hold_us: Micros) -> f64 {
        let overdue_at = self.opened_at.map(|at| at + self.window_us() + hold_us);
        let closed = self
            .closed_at
            .or(overdue_at.filter(|end| now >= *end).map(|end| (end, self.ramp_up_fraction(end))));
        let Some((at, from)) = closed.filter(|c| now >= c.0) else { return self.ramp_up_fraction(now) };
        let (since, ramp) = (now.saturating_sub(at) as f64, self.ramp_us() as f64);
        if ramp > 0.0 { (from - since / ramp).max(0.0) } else { 0.0 }
    }

    /// The largest reserved fraction while requests arrived that may still be in flight, because a request
    /// stays under the booking until it ends.
    fn recent_peak_fraction(&self, now: Micros, longest_request_us: Micros, hold_us: Micros) -> f64 {
        let fraction_now = self.reserved_fraction(now, hold_us);
        match self.closed_at {
            Some((at, from)) if now < at + longest_request_us => from,
            Some(_) => {
                fraction_now.max(self.reserved_fraction(now.saturating_sub(longest_request_us), hold_us))
            }
            None => fraction_now,
        }
    }

    /// The smallest of the current part and the earlier ones that still bind.
    fn effective_part(&self, now: Micros) -> u32 {
        let binding = self.earlier_parts.iter().filter(|b| now < b.0).map(|b| b.1);
        binding.chain([self.part]).min().unwrap_or(0)
    }

    /// Nothing is reserved any more, and no request under the booking is left.
    fn is_over(&self, now: Micros, longest_request_us: Micros) -> bool {
        match (self.phase, self.closed_at) {
            (Phase::Ended, None) => true,
            (_, Some((at, _))) => {
                now > at + self.ramp_us() + longest_request_us && self.phase >= Phase::Closing
            }
            _ => false,
        }
    }
}
