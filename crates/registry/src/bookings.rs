//! Bookings of capacity: the time of day, the room that can be booked, and the changes that are due. No I/O, no
//! clock.
//!
//! One registry, the one on the leader's machine, changes phases, by the median of the registries' clocks. Each
//! change names the epoch it builds on, so a late or repeated one has no effect.

use crate::calls::Answer;
use cluster::Micros;
use cluster::booking::{BookChange, Booked, Booking, Bookings, DayMs, Phase, Unbooked, Unused, divide};
use cluster::state::State;
use jzon::JsonValue;
use settings::config::show_version;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// One of this many bookable slots stays unbooked for all other requests.
const UNBOOKABLE_ONE_IN: u32 = 4;
/// Heartbeat intervals between two divisions of one booking; the pause is at least the propagation time. What one
/// division takes from a proxy must have taken effect everywhere before the next gives it to another;
/// `crates/cluster/tests/division.rs` has the sequence that would otherwise exceed the booking.
const DIVISION_INTERVAL_HEARTBEATS: Micros = 2;
/// A booking is divided this many heartbeat intervals and propagation times before it opens, so that every proxy has
/// applied its part by then.
const DIVIDE_AHEAD_HEARTBEATS: Micros = 6;
const DIVIDE_AHEAD_PROPAGATIONS: Micros = 2;
/// Weight of demand against 1 for even parts: four fifths follow demand and one fifth is split evenly, so that a
/// proxy that gets its first requests has a part already.
const DEMAND_WEIGHT: u64 = 4;

// ---- the time of day ----

/// The registries' clocks. Their median counts, so that a single clock that jumps has no effect.
#[derive(Default)]
pub struct Clocks {
    valid_us: Micros,
    own: Option<(Micros, DayMs)>,
    peers: BTreeMap<Ipv4Addr, (Micros, DayMs)>,
    last: Option<(Micros, DayMs)>,
}

impl Clocks {
    /// `valid_us`: how long a time received from another registry stays valid.
    pub fn new(valid_us: Micros) -> Clocks {
        Clocks { valid_us, ..Clocks::default() }
    }

    pub fn set_own(&mut self, now: Micros, day_ms: DayMs) {
        self.own = Some((now, day_ms));
    }

    pub fn set_peer(&mut self, now: Micros, ip: Ipv4Addr, day_ms: DayMs) {
        self.peers.insert(ip, (now, day_ms));
    }

    pub fn own(&self, now: Micros) -> Option<DayMs> {
        self.own.map(|at| time_of_day_at(now, at))
    }

    /// The median time of day and the number of clocks it is taken from, including this registry's own.
    pub fn median(&mut self, now: Micros) -> Option<(DayMs, usize)> {
        self.peers.retain(|_, (at, _)| now <= *at + self.valid_us);
        let mut all: Vec<DayMs> =
            self.peers.values().chain(&self.own).map(|at| time_of_day_at(now, *at)).collect();
        all.sort();
        let (low, high) = (*all.get(all.len().checked_sub(1)? / 2)?, all[all.len() / 2]);
        // Of the two middle ones, the one closer to the continuation of the previous reading.
        let day = match self.last.map(|last| time_of_day_at(now, last)) {
            Some(was) if was.abs_diff(high) < was.abs_diff(low) => high,
            _ => low,
        };
        self.last = Some((now, day));
        Some((day, all.len()))
    }
}

fn time_of_day_at(now: Micros, (at, day_ms): (Micros, DayMs)) -> DayMs {
    day_ms + now.saturating_sub(at) / 1000
}

// ---- the room ----

/// The state from which free capacity is computed.
pub struct Capacity<'a> {
    pub now: Micros,
    pub day_ms: DayMs,
    pub state: &'a State,
    /// Zone names and the region of each.
    pub zones: &'a BTreeMap<String, String>,
    /// How many zones may fail at the same time.
    pub tolerated_zone_losses: usize,
}

impl Capacity<'_> {
    /// The slots that all bookings of the service may share while this one lasts: those of servers that will be warm
    /// when it opens, without the largest zones, which may fail, and without the part kept for all other requests.
    pub fn room(&self, booking: &Booking, homes: Option<&BTreeSet<String>>) -> u32 {
        let opens_at = self.now + booking.opens_ms.saturating_sub(self.day_ms).saturating_mul(1000);
        let config = self.state.config.as_ref();
        let service = config.and_then(|c| c.services.iter().find(|s| s.name == booking.service));
        let cold_us = service.map_or(0, |s| (s.cold_period_s * 1e6) as Micros);
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        for s in self.state.servers.values().filter(|s| s.service == booking.service && !s.draining) {
            let home = homes.is_none_or(|h| self.zones.get(&s.zone).is_some_and(|region| h.contains(region)));
            let back = self.state.returned.get(&s.zone).map_or(0, |at| at + cold_us);
            let warm = s.cold_until_at_most().max(back) <= opens_at;
            if home && warm && !self.state.evacuated.contains(&s.zone) {
                let zone = slots.entry(&s.zone).or_default();
                *zone = zone.saturating_add(s.slots);
            }
        }
        let mut slots: Vec<u32> = slots.into_values().collect();
        slots.sort();
        slots.truncate(slots.len().saturating_sub(self.tolerated_zone_losses));
        let all = slots.into_iter().fold(0, u32::saturating_add);
        all - all.div_ceil(UNBOOKABLE_ONE_IN)
    }

    /// The part of its tenants' quota that their other bookings leave.
    pub fn quota_free(&self, booking: &Booking, quota: u32) -> u32 {
        let theirs = |b: &Booking| b.tenants.iter().any(|t| booking.tenants.contains(t));
        quota.saturating_sub(self.state.bookings.peak(booking, theirs))
    }
}

// ---- what is due ----

/// Decides which change of a booking is due. Remembers when each division was first seen, so that the next one does
/// not follow too soon, whichever registry makes it.
pub struct BookingScheduler {
    heartbeat_us: Micros,
    propagation_us: Micros,
    divisions_seen: BTreeMap<String, (u64, Micros)>,
}

impl BookingScheduler {
    /// `propagation_us`: every reachable proxy has applied a committed change within this time.
    pub fn new(heartbeat_us: Micros, propagation_us: Micros) -> BookingScheduler {
        BookingScheduler { heartbeat_us, propagation_us, divisions_seen: BTreeMap::new() }
    }

    pub fn observe(&mut self, now: Micros, bookings: &Bookings) {
        self.divisions_seen.retain(|name, _| bookings.contains_key(name));
        for (name, b) in bookings.iter() {
            let seen = self.divisions_seen.entry(name.clone()).or_insert((0, 0));
            if seen.0 != b.division.number {
                *seen = (b.division.number, now);
            }
        }
    }

    /// The next change that is due, phases before divisions; a later one is found once this one has committed.
    /// `alive`: proxies that take requests; `wanted`: the demand reported by a proxy for the booking with a key.
    pub fn due(
        &self,
        now: Micros,
        day_ms: DayMs,
        bookings: &Bookings,
        alive: &BTreeSet<Ipv4Addr>,
        wanted: impl Fn(u32, Ipv4Addr) -> u32,
    ) -> Option<BookChange> {
        let phase_change = bookings.iter().find_map(|(name, b)| {
            let phase = self.due_phase(now, day_ms, b)?;
            Some(BookChange::Phase { name: name.clone(), epoch: b.epoch, phase })
        });
        phase_change.or_else(|| {
            bookings.iter().find_map(|(name, b)| {
                let seen = self.divisions_seen.get(name).map_or(0, |d| d.1);
                let apart = (DIVISION_INTERVAL_HEARTBEATS * self.heartbeat_us).max(self.propagation_us);
                let soon = b.division.number > 0 && now < seen + apart;
                if soon || !self.is_dividable(day_ms, b) {
                    return None;
                }
                let wanted = |ip| u64::from(wanted(b.booking.key(), ip));
                let parts = rebalanced_parts(b, alive, wanted)?;
                Some(BookChange::Divide { name: name.clone(), number: b.division.number + 1, parts })
            })
        })
    }

    fn due_phase(&self, now: Micros, day_ms: DayMs, b: &Booked) -> Option<Phase> {
        let ramp_us = u64::from(b.booking.ramp_ms) * 1000;
        match b.phase {
            Phase::Planned if day_ms >= b.booking.closes_ms => Some(Phase::Ended),
            Phase::Planned if day_ms >= b.booking.opens_ms => Some(Phase::Open),
            Phase::Open if day_ms >= b.booking.closes_ms => Some(Phase::Closing),
            // Measured on this registry's steady clock: by then every proxy has learned of the closing and has
            // returned its part.
            Phase::Closing if b.lasted_us(now) >= ramp_us + self.propagation_us => Some(Phase::Ended),
            _ => None,
        }
    }

    fn is_dividable(&self, day_ms: DayMs, b: &Booked) -> bool {
        let ahead_ms = (DIVIDE_AHEAD_HEARTBEATS * self.heartbeat_us
            + DIVIDE_AHEAD_PROPAGATIONS * self.propagation_us)
            / 1000;
        match b.phase {
            Phase::Planned => day_ms + ahead_ms >= b.booking.opens_ms,
            Phase::Open => true,
            Phase::Closing | Phase::Ended => false,
        }
    }
}

/// The parts as they should be, or none if the present ones are good enough.
fn rebalanced_parts(
    b: &Booked,
    alive: &BTreeSet<Ipv4Addr>,
    wanted: impl Fn(Ipv4Addr) -> u64,
) -> Option<BTreeMap<Ipv4Addr, u32>> {
    if alive.is_empty() {
        return None;
    }
    let all: u64 = alive.iter().map(|ip| wanted(*ip)).sum();
    let weight = |ip: &Ipv4Addr| wanted(*ip) * DEMAND_WEIGHT * alive.len() as u64 + all;
    let mut parts = divide(b.booking.flight, &alive.iter().map(|ip| (*ip, weight(ip))).collect());
    parts.retain(|_, part| *part > 0);
    let held: u64 = alive.iter().map(|ip| u64::from(b.division.part(*ip))).sum();
    // Whether demand has moved a part by more than chance; the random deviation of a count is about its square root.
    let moved = |ip: &Ipv4Addr| {
        let (is, should) = (b.division.part(*ip), parts.get(ip).copied().unwrap_or(0));
        let by = u64::from(is.abs_diff(should));
        by * by > u64::from(is)
    };
    (held < u64::from(b.booking.flight) || alive.iter().any(moved)).then_some(parts)
}

// ---- answers ----

/// An epoch as callers send it in If-Match.
pub fn format_epoch(epoch: u64) -> String {
    show_version(u32::try_from(epoch).unwrap_or(u32::MAX))
}

pub fn no_room_answer(why: &str, free: u32) -> Answer {
    let trouble = format!("{why}: {free} in flight are free");
    Answer::json(409, jzon::object! { trouble: trouble, free_count: free }.dump())
}

pub fn refusal_answer(why: &Unbooked) -> Answer {
    match why {
        Unbooked::Outdated { epoch: 0 } => Answer::error(404, "no booking of this name"),
        Unbooked::Outdated { epoch } => {
            Answer::error(412, &format!("it has changed since: its epoch is {}", format_epoch(*epoch)))
        }
        Unbooked::Full { free } => no_room_answer("the service has no such room over this window", *free),
        Unbooked::TooMany => Answer::error(409, "as many bookings as are kept"),
        Unbooked::Fixed(what) => Answer::error(409, what),
        Unbooked::Undivided => Answer::error(409, "parts of another division, or more than the booking"),
    }
}

pub fn booking_view(b: &Booked) -> JsonValue {
    let booking = &b.booking;
    let phase = match b.phase {
        Phase::Planned => "planned",
        Phase::Open => "open",
        Phase::Closing => "closing",
        Phase::Ended => "ended",
    };
    jzon::object! {
        booking_name: booking.name.as_str(),
        booking_phase: phase,
        booking_epoch: format_epoch(b.epoch),
        cancelled: b.cancelled,
        tenant_refs: booking.tenants.clone(),
        route_refs: booking.routes.clone(),
        service_ref: booking.service.as_str(),
        flight_count: booking.flight,
        rate_per_s: round_to_thousandths(booking.rate_s()),
        opens_ms: booking.opens_ms,
        closes_ms: booking.closes_ms,
        ramp_ms: booking.ramp_ms,
        unused_room: if booking.unused == Unused::Lend { "lend" } else { "hold" },
        division_number: b.division.number,
        divided_count: b.division.sum(),
    }
}

pub fn round_to_thousandths(n: f64) -> f64 {
    (n * 1000.0).round() / 1000.0
}
