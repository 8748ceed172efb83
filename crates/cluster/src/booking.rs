//! Room at the back end that is booked ahead: what was agreed of each booking, and how it changes. All here is part of
//! the agreed state, so every copy decides alike.
//!
//! A booking goes [`Phase`] by phase and never back; each change has an epoch of its own. Its figure, requests in
//! flight, is divided over the proxies by a [`Division`] whose parts never come to more.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A time of day, in milliseconds since 1970.
pub type DayMs = u64;

/// Bookings that are planned or open, and those that have ended and are still shown.
pub const MOST: usize = 64;
const MOST_ENDED: usize = 32;

/// What happens to booked room that is not in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unused {
    /// Others may use it; it comes back as their requests end.
    Lend,
    Hold,
}

/// As an operator asked for it. Who is named by no tenant and no route is not booked for; where both are given, both
/// must fit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Booking {
    pub name: String,
    pub tenants: Vec<String>,
    pub routes: Vec<String>,
    pub service: String,
    /// Requests in flight at one time: the figure that is kept.
    pub flight: u32,
    /// How long one is in flight, for the rate that goes with that by Little's law.
    pub residence_ms: u32,
    pub opens_ms: DayMs,
    pub closes_ms: DayMs,
    /// Over so long it is taken up after opening, and given back after closing.
    pub ramp_ms: u32,
    pub unused: Unused,
}

impl Booking {
    /// Requests a second, by Little's law.
    pub fn rate_s(&self) -> f64 {
        f64::from(self.flight) * 1000.0 / f64::from(self.residence_ms.max(1))
    }

    /// When its room is free again.
    pub fn over_ms(&self) -> DayMs {
        self.closes_ms.saturating_add(u64::from(self.ramp_ms))
    }

    /// What of it cannot become what `to` says once it is open.
    fn fixed(&self, to: &Booking) -> Option<&'static str> {
        if self.opens_ms != to.opens_ms {
            Some("opens_ms: it has opened")
        } else if (&self.tenants, &self.routes) != (&to.tenants, &to.routes) {
            Some("tenant_refs, route_refs: it has opened")
        } else if self.service != to.service {
            Some("service_ref: it has opened")
        } else {
            None
        }
    }

    /// Under this its use is reported, beside that of tenants.
    pub fn key(&self) -> u32 {
        key(&self.name)
    }
}

/// Under this the use of a booking is reported; no tenant's name, as those are taken as they are.
pub fn key(name: &str) -> u32 {
    crate::talk::tenant_key(&format!("booking:{name}"))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    Planned,
    Open,
    /// Its room is being given back.
    Closing,
    Ended,
}

/// Who holds what. A later division has a greater number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Division {
    pub number: u64,
    pub parts: BTreeMap<Ipv4Addr, u32>,
}

impl Division {
    pub fn sum(&self) -> u64 {
        sum(&self.parts)
    }

    pub fn part(&self, ip: Ipv4Addr) -> u32 {
        self.parts.get(&ip).copied().unwrap_or(0)
    }
}

fn sum(parts: &BTreeMap<Ipv4Addr, u32>) -> u64 {
    parts.values().map(|p| u64::from(*p)).sum()
}

/// A booking and what has become of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Booked {
    pub booking: Booking,
    pub phase: Phase,
    /// Grows with each change of the booking or its phase.
    pub epoch: u64,
    pub division: Division,
    /// An operator ended it ahead of time.
    pub cancelled: bool,
    /// How long this phase had lasted when this process learned of it, and when that was on its own clock.
    pub passed_ms: u64,
    #[serde(skip)]
    pub noted_at: Micros,
}

impl Booked {
    /// How long it has been in this phase.
    pub fn lasted_us(&self, now: Micros) -> Micros {
        (self.passed_ms * 1000).saturating_add(now.saturating_sub(self.noted_at))
    }

    fn turn(&mut self, now: Micros, phase: Phase) {
        (self.phase, self.passed_ms, self.noted_at) = (phase, 0, now);
        if phase == Phase::Ended {
            self.division.parts.clear();
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BookChange {
    /// `base`: the epoch that it builds on, 0 where there is none. `room`: what all bookings of the service together may
    /// come to, as the registry that took the call counted it.
    Put {
        booking: Booking,
        base: u64,
        room: u32,
    },
    Cancel {
        name: String,
    },
    /// On from the phase of this epoch.
    Phase {
        name: String,
        epoch: u64,
        phase: Phase,
    },
    Divide {
        name: String,
        number: u64,
        parts: BTreeMap<Ipv4Addr, u32>,
    },
}

/// What became of a change that was not taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unbooked {
    /// It has changed since; 0: there is none.
    Outdated { epoch: u64 },
    /// So many in flight are free over the window.
    Full { free: u32 },
    /// More bookings than are kept.
    TooMany,
    /// This of an open booking cannot change.
    Fixed(String),
    /// Parts that come to more than the booking, or of another division than the next.
    Undivided,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bookings {
    all: BTreeMap<String, Booked>,
}

impl std::ops::Deref for Bookings {
    type Target = BTreeMap<String, Booked>;

    fn deref(&self) -> &BTreeMap<String, Booked> {
        &self.all
    }
}

impl Bookings {
    pub fn apply(&mut self, now: Micros, change: &BookChange) -> Result<(), Unbooked> {
        match change {
            BookChange::Put { booking, base, room } => self.put(now, booking, *base, *room),
            BookChange::Cancel { name } => {
                let booked = self.all.get_mut(name).ok_or(Unbooked::Outdated { epoch: 0 })?;
                let next = match booked.phase {
                    Phase::Planned => Phase::Ended,
                    Phase::Open => Phase::Closing,
                    Phase::Closing | Phase::Ended => return Ok(()),
                };
                booked.turn(now, next);
                booked.epoch += 1;
                booked.cancelled = true;
                self.forget();
                Ok(())
            }
            BookChange::Phase { name, epoch, phase } => {
                let known = self.all.get(name).map_or(0, |b| b.epoch);
                let booked = self.all.get_mut(name).filter(|b| b.epoch == *epoch && b.phase < *phase);
                let booked = booked.ok_or(Unbooked::Outdated { epoch: known })?;
                booked.turn(now, *phase);
                booked.epoch += 1;
                self.forget();
                Ok(())
            }
            BookChange::Divide { name, number, parts } => {
                let booked = self.all.get_mut(name).filter(|b| b.phase != Phase::Ended);
                let booked = booked.ok_or(Unbooked::Undivided)?;
                if *number != booked.division.number + 1 || sum(parts) > u64::from(booked.booking.flight) {
                    return Err(Unbooked::Undivided);
                }
                booked.division = Division { number: *number, parts: parts.clone() };
                Ok(())
            }
        }
    }

    /// What `apply` would say of this booking.
    pub fn consider(&self, booking: &Booking, base: u64, room: u32) -> Result<(), Unbooked> {
        let known = self.all.get(&booking.name);
        // An unclear call that comes again; one that was ended by hand is not to come back by that.
        if known.is_some_and(|k| k.booking == *booking && !k.cancelled) {
            return Ok(());
        }
        let epoch = known.map_or(0, |k| k.epoch);
        if epoch != base {
            return Err(Unbooked::Outdated { epoch });
        }
        let fixed = match known {
            Some(k) if k.phase == Phase::Closing => Some("it is closing"),
            Some(k) if k.phase == Phase::Open => k.booking.fixed(booking),
            _ => None,
        };
        if let Some(what) = fixed {
            return Err(Unbooked::Fixed(what.to_string()));
        }
        let lives = known.filter(|k| k.phase != Phase::Ended).map(|k| &k.booking);
        if lives.is_none() && self.all.values().filter(|b| b.phase != Phase::Ended).count() >= MOST {
            return Err(Unbooked::TooMany);
        }
        // Less of what it has already needs no room, whatever has become of the servers.
        let within = |old: &Booking| {
            let window = old.opens_ms <= booking.opens_ms && booking.over_ms() <= old.over_ms();
            window && old.service == booking.service && booking.flight <= old.flight
        };
        let free = room.saturating_sub(self.booked(&booking.service, booking));
        if booking.flight > free && !lives.is_some_and(within) {
            return Err(Unbooked::Full { free });
        }
        Ok(())
    }

    /// The most that others have booked of a service at any time of this booking.
    pub fn booked(&self, service: &str, of: &Booking) -> u32 {
        self.peak(of, |other| other.service == service)
    }

    /// The most that those others which `counts` picks have booked at any time of this booking.
    pub fn peak(&self, of: &Booking, counts: impl Fn(&Booking) -> bool) -> u32 {
        let live = self.all.values().filter(|b| b.phase != Phase::Ended).map(|b| &b.booking);
        let meets = |b: &&Booking| {
            b.name != of.name && counts(b) && b.opens_ms < of.over_ms() && of.opens_ms < b.over_ms()
        };
        let meeting: Vec<&Booking> = live.filter(meets).collect();
        let at = |t: DayMs| {
            let then = meeting.iter().filter(|b| b.opens_ms <= t && t < b.over_ms());
            then.fold(0u32, |sum, b| sum.saturating_add(b.flight))
        };
        // The sum rises only where one opens.
        let rises = meeting.iter().map(|b| b.opens_ms.max(of.opens_ms));
        rises.map(at).max().unwrap_or(0)
    }

    fn put(&mut self, now: Micros, booking: &Booking, base: u64, room: u32) -> Result<(), Unbooked> {
        self.consider(booking, base, room)?;
        match self.all.get_mut(&booking.name) {
            Some(known) if known.booking == *booking && !known.cancelled => {}
            Some(known) => {
                if known.phase == Phase::Ended {
                    known.turn(now, Phase::Planned);
                }
                known.epoch += 1;
                known.cancelled = false;
                known.booking = booking.clone();
                let weights = known.division.parts.iter().map(|(ip, part)| (*ip, u64::from(*part)));
                if known.division.sum() > u64::from(booking.flight) {
                    known.division.parts = divide(booking.flight, &weights.collect());
                    known.division.number += 1;
                }
            }
            None => {
                let booked = Booked {
                    booking: booking.clone(),
                    phase: Phase::Planned,
                    epoch: 1,
                    division: Division::default(),
                    cancelled: false,
                    passed_ms: 0,
                    noted_at: now,
                };
                self.all.insert(booking.name.clone(), booked);
            }
        }
        Ok(())
    }

    /// A proxy that was written off holds nothing.
    pub fn lost(&mut self, ip: Ipv4Addr) {
        self.all.values_mut().for_each(|b| _ = b.division.parts.remove(&ip));
    }

    /// Those that ended first are shown no longer.
    fn forget(&mut self) {
        let ended = self.all.values().filter(|b| b.phase == Phase::Ended);
        let mut ended: Vec<(DayMs, String)> =
            ended.map(|b| (b.booking.closes_ms, b.booking.name.clone())).collect();
        ended.sort();
        let many = ended.len().saturating_sub(MOST_ENDED);
        ended.iter().take(many).for_each(|(_, name)| _ = self.all.remove(name));
    }

    pub(crate) fn written(&self, now: Micros) -> Vec<Booked> {
        let passed = |b: &Booked| Booked { passed_ms: b.lasted_us(now) / 1000, ..b.clone() };
        self.all.values().map(passed).collect()
    }

    pub(crate) fn read(now: Micros, written: Vec<Booked>) -> Bookings {
        let one = |b: Booked| (b.booking.name.clone(), Booked { noted_at: now, ..b });
        Bookings { all: written.into_iter().map(one).collect() }
    }
}

/// Divides a whole by weights, the largest remainders first. Who has no weight gets nothing; where nobody has any, all
/// get alike.
pub fn divide(whole: u32, weights: &BTreeMap<Ipv4Addr, u64>) -> BTreeMap<Ipv4Addr, u32> {
    let none = weights.values().all(|w| *w == 0);
    let weight = |w: u64| u128::from(if none { 1 } else { w });
    let all: u128 = weights.values().map(|w| weight(*w)).sum();
    let mut parts = BTreeMap::new();
    let mut rests = Vec::with_capacity(weights.len());
    for (ip, w) in weights {
        let exact = u128::from(whole) * weight(*w);
        // Never more than the whole.
        parts.insert(*ip, (exact / all) as u32);
        rests.push((std::cmp::Reverse(exact % all), *ip));
    }
    rests.sort();
    let left = u64::from(whole) - sum(&parts);
    for (_, ip) in rests.iter().take(left as usize) {
        if let Some(part) = parts.get_mut(ip) {
            *part += 1;
        }
    }
    parts
}
