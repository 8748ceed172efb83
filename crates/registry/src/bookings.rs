//! Bookings at the registry: what time it is, what room there is, and what of the bookings is due. No I/O, no clock.
//!
//! Phases are turned by one registry, the one beside the leader, by the time of day that most registries go by. What it
//! orders names the epoch that it builds on, so an order that comes late, or twice, has no effect.

use crate::calls::Answer;
use cluster::Micros;
use cluster::booking::{BookChange, Booked, Booking, Bookings, DayMs, Phase, Unbooked, Unused, divide};
use cluster::state::State;
use jzon::JsonValue;
use settings::config::show_version;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// Of the slots that may be booked, one in so many stays for all others.
const OTHERS: u32 = 4;
/// Divisions of one booking lie so many beats apart, and never less than a settling: what the last one took away has
/// bound everywhere before another one gives it to somebody (`crates/cluster/tests/division.rs` has the course that would
/// exceed the booking).
const BEATS_APART: Micros = 2;
/// A booking is divided, so that every proxy has taken up its part, so many beats and settlings before it opens.
const BEATS_AHEAD: Micros = 6;
const SETTLES_AHEAD: Micros = 2;
/// A fifth is divided evenly, the rest by demand: who is asked for the first time has something.
const BY_DEMAND: u64 = 4;

// ---- the time of day ----

/// The times of day that the registries go by. Their middle one counts, so that one clock that jumps moves nothing.
#[derive(Default)]
pub struct Clocks {
    hold_us: Micros,
    mine: Option<(Micros, DayMs)>,
    told: BTreeMap<Ipv4Addr, (Micros, DayMs)>,
    last: Option<(Micros, DayMs)>,
}

impl Clocks {
    /// `hold_us`: a time that was told counts for so long.
    pub fn new(hold_us: Micros) -> Clocks {
        Clocks { hold_us, ..Clocks::default() }
    }

    pub fn set(&mut self, now: Micros, day_ms: DayMs) {
        self.mine = Some((now, day_ms));
    }

    pub fn heard(&mut self, now: Micros, ip: Ipv4Addr, day_ms: DayMs) {
        self.told.insert(ip, (now, day_ms));
    }

    pub fn mine(&self, now: Micros) -> Option<DayMs> {
        self.mine.map(|at| on(now, at))
    }

    /// The middle one and of how many, this registry's own among them.
    pub fn read(&mut self, now: Micros) -> Option<(DayMs, usize)> {
        self.told.retain(|_, (at, _)| now <= *at + self.hold_us);
        let mut all: Vec<DayMs> = self.told.values().chain(&self.mine).map(|at| on(now, *at)).collect();
        all.sort();
        let (low, high) = (*all.get(all.len().checked_sub(1)? / 2)?, all[all.len() / 2]);
        // Of two it is the one that goes on from what was read before.
        let day = match self.last.map(|last| on(now, last)) {
            Some(was) if was.abs_diff(high) < was.abs_diff(low) => high,
            _ => low,
        };
        self.last = Some((now, day));
        Some((day, all.len()))
    }
}

fn on(now: Micros, (at, day_ms): (Micros, DayMs)) -> DayMs {
    day_ms + now.saturating_sub(at) / 1000
}

// ---- the room ----

/// Where room is looked for.
pub struct Ground<'a> {
    pub now: Micros,
    pub day_ms: DayMs,
    pub state: &'a State,
    /// Zones and their regions.
    pub zones: &'a BTreeMap<String, String>,
    /// How many zones may be lost at one time.
    pub zones_lost: usize,
}

impl Ground<'_> {
    /// What all bookings of its service together may come to while this one lasts: the slots of servers that will be
    /// warm, without the largest zones, as these may be lost, and without what stays for all others.
    pub fn room(&self, booking: &Booking, homes: Option<&BTreeSet<String>>) -> u32 {
        let opens_at = self.now + booking.opens_ms.saturating_sub(self.day_ms).saturating_mul(1000);
        let config = self.state.config.as_ref();
        let service = config.and_then(|c| c.services.iter().find(|s| s.name == booking.service));
        let cold_us = service.map_or(0, |s| (s.cold_period_s * 1e6) as Micros);
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        for s in self.state.servers.values().filter(|s| s.service == booking.service && !s.draining) {
            let home = homes.is_none_or(|h| self.zones.get(&s.zone).is_some_and(|region| h.contains(region)));
            let back = self.state.returned.get(&s.zone).map_or(0, |at| at + cold_us);
            let warm = s.cold_until().max(back) <= opens_at;
            if home && warm && !self.state.evacuated.contains(&s.zone) {
                let zone = slots.entry(&s.zone).or_default();
                *zone = zone.saturating_add(s.slots);
            }
        }
        let mut slots: Vec<u32> = slots.into_values().collect();
        slots.sort();
        slots.truncate(slots.len().saturating_sub(self.zones_lost));
        let all = slots.into_iter().fold(0, u32::saturating_add);
        all - all.div_ceil(OTHERS)
    }

    /// What of its tenants' quotas other bookings of theirs leave.
    pub fn quota_free(&self, booking: &Booking, quota: u32) -> u32 {
        let theirs = |b: &Booking| b.tenants.iter().any(|t| booking.tenants.contains(t));
        quota.saturating_sub(self.state.bookings.peak(booking, theirs))
    }
}

// ---- what is due ----

/// Keeps when each division was first seen, so that the next one is not made too soon after it, whoever makes it.
pub struct Duty {
    beat_us: Micros,
    settle_us: Micros,
    divided: BTreeMap<String, (u64, Micros)>,
}

impl Duty {
    /// `settle_us`: within so long every proxy in touch has taken up what it was told.
    pub fn new(beat_us: Micros, settle_us: Micros) -> Duty {
        Duty { beat_us, settle_us, divided: BTreeMap::new() }
    }

    pub fn look(&mut self, now: Micros, bookings: &Bookings) {
        self.divided.retain(|name, _| bookings.contains_key(name));
        for (name, b) in bookings.iter() {
            let seen = self.divided.entry(name.clone()).or_insert((0, 0));
            if seen.0 != b.division.number {
                *seen = (b.division.number, now);
            }
        }
    }

    /// The next change, phases before divisions; a later one is found once this one has landed. `alive`: proxies that
    /// take requests; `wanted`: what was asked of one for the booking of a key.
    pub fn due(
        &self,
        now: Micros,
        day_ms: DayMs,
        bookings: &Bookings,
        alive: &BTreeSet<Ipv4Addr>,
        wanted: impl Fn(u32, Ipv4Addr) -> u32,
    ) -> Option<BookChange> {
        let turns = bookings.iter().find_map(|(name, b)| {
            let phase = self.turn(now, day_ms, b)?;
            Some(BookChange::Phase { name: name.clone(), epoch: b.epoch, phase })
        });
        turns.or_else(|| {
            bookings.iter().find_map(|(name, b)| {
                let seen = self.divided.get(name).map_or(0, |d| d.1);
                let apart = (BEATS_APART * self.beat_us).max(self.settle_us);
                let soon = b.division.number > 0 && now < seen + apart;
                if soon || !self.armed(day_ms, b) {
                    return None;
                }
                let wanted = |ip| u64::from(wanted(b.booking.key(), ip));
                let parts = division(b, alive, wanted)?;
                Some(BookChange::Divide { name: name.clone(), number: b.division.number + 1, parts })
            })
        })
    }

    fn turn(&self, now: Micros, day_ms: DayMs, b: &Booked) -> Option<Phase> {
        let ramp_us = u64::from(b.booking.ramp_ms) * 1000;
        match b.phase {
            Phase::Planned if day_ms >= b.booking.closes_ms => Some(Phase::Ended),
            Phase::Planned if day_ms >= b.booking.opens_ms => Some(Phase::Open),
            Phase::Open if day_ms >= b.booking.closes_ms => Some(Phase::Closing),
            // By this registry's own clock: every proxy has heard by then that it closes, and has given all back.
            Phase::Closing if b.lasted_us(now) >= ramp_us + self.settle_us => Some(Phase::Ended),
            _ => None,
        }
    }

    fn armed(&self, day_ms: DayMs, b: &Booked) -> bool {
        let ahead_ms = (BEATS_AHEAD * self.beat_us + SETTLES_AHEAD * self.settle_us) / 1000;
        match b.phase {
            Phase::Planned => day_ms + ahead_ms >= b.booking.opens_ms,
            Phase::Open => true,
            Phase::Closing | Phase::Ended => false,
        }
    }
}

/// The parts as they should be; None: as they are will do.
fn division(
    b: &Booked,
    alive: &BTreeSet<Ipv4Addr>,
    wanted: impl Fn(Ipv4Addr) -> u64,
) -> Option<BTreeMap<Ipv4Addr, u32>> {
    if alive.is_empty() {
        return None;
    }
    let all: u64 = alive.iter().map(|ip| wanted(*ip)).sum();
    let weight = |ip: &Ipv4Addr| wanted(*ip) * BY_DEMAND * alive.len() as u64 + all;
    let mut parts = divide(b.booking.flight, &alive.iter().map(|ip| (*ip, weight(ip))).collect());
    parts.retain(|_, part| *part > 0);
    let held: u64 = alive.iter().map(|ip| u64::from(b.division.part(*ip))).sum();
    // A part that demand has moved by more than chance: so many requests that come by chance are off by a root of it.
    let moved = |ip: &Ipv4Addr| {
        let (is, should) = (b.division.part(*ip), parts.get(ip).copied().unwrap_or(0));
        let by = u64::from(is.abs_diff(should));
        by * by > u64::from(is)
    };
    (held < u64::from(b.booking.flight) || alive.iter().any(moved)).then_some(parts)
}

// ---- answers ----

/// An epoch as callers give it in If-Match.
pub fn show_epoch(epoch: u64) -> String {
    show_version(u32::try_from(epoch).unwrap_or(u32::MAX))
}

pub fn full(why: &str, free: u32) -> Answer {
    let trouble = format!("{why}: {free} in flight are free");
    Answer::json(409, jzon::object! { trouble: trouble, free_count: free }.dump())
}

pub fn unbooked(why: &Unbooked) -> Answer {
    match why {
        Unbooked::Outdated { epoch: 0 } => Answer::error(404, "no booking of this name"),
        Unbooked::Outdated { epoch } => {
            Answer::error(412, &format!("it has changed since: its epoch is {}", show_epoch(*epoch)))
        }
        Unbooked::Full { free } => full("the service has no such room over this window", *free),
        Unbooked::TooMany => Answer::error(409, "as many bookings as are kept"),
        Unbooked::Fixed(what) => Answer::error(409, what),
        Unbooked::Undivided => Answer::error(409, "parts of another division, or more than the booking"),
    }
}

pub fn show(b: &Booked) -> JsonValue {
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
        booking_epoch: show_epoch(b.epoch),
        cancelled: b.cancelled,
        tenant_refs: booking.tenants.clone(),
        route_refs: booking.routes.clone(),
        service_ref: booking.service.as_str(),
        flight_count: booking.flight,
        rate_per_s: rounded(booking.rate_s()),
        opens_ms: booking.opens_ms,
        closes_ms: booking.closes_ms,
        ramp_ms: booking.ramp_ms,
        unused_room: if booking.unused == Unused::Lend { "lend" } else { "hold" },
        division_number: b.division.number,
        divided_count: b.division.sum(),
    }
}

pub fn rounded(n: f64) -> f64 {
    (n * 1000.0).round() / 1000.0
}
