//! Room booked ahead: permits of a fleet that are here for the requests of a booking before all others. The gateway in
//! service has no bookings, so nothing here is asked there; without a hold every figure is what it is without this file.

use super::records::{Decider, Fleet};
use crate::interface::*;

/// What is left to all others of the room here, however much is booked: a part of it, and the least.
const OTHERS: f64 = 0.125;
const OTHERS_LEAST: f64 = 1.0;

impl Decider {
    /// Takes the place of all holds before. Requests keep the booking under which they came.
    pub fn hold(&mut self, now: Micros, holds: &[Hold], acts: &mut Vec<Action>) {
        for (n, fleet) in self.fleets.iter_mut().enumerate() {
            fleet.holds = holds.iter().filter(|h| h.service as usize == n).copied().collect();
        }
        self.handle(now, Event::Timer { token: 0 }, acts);
    }

    /// How many may be out at a fleet for the next in line to be sent: no bound for one of a booking whose hold has
    /// room, which is put first in line. What a hold keeps free is not for others.
    pub(super) fn room(&mut self, n: usize) -> f64 {
        let fleet = &self.fleets[n];
        if fleet.holds.is_empty() {
            return fleet.target(&self.set);
        }
        let (room, limits) = (fleet.room(&self.set), fleet.limits(&self.set));
        let out = |booking| fleet.booked_out.get(&booking).copied().unwrap_or(0);
        let (mut kept, mut used) = (0, 0);
        let mut open = Vec::new();
        for (h, limit) in fleet.holds.iter().zip(limits) {
            kept += h.reserved.min(limit).saturating_sub(out(h.booking));
            used += limit.min(out(h.booking));
            if out(h.booking) < limit {
                open.push(h.booking);
            }
        }
        if !open.is_empty() && self.bring_first(n, &open) {
            return f64::INFINITY;
        }
        // What is held takes nothing from what others have at the least.
        (room - f64::from(kept)).max(f64::from(used) + (OTHERS * room).max(OTHERS_LEAST))
    }

    /// Puts the first in line that came under one of these bookings before all others.
    fn bring_first(&mut self, n: usize, open: &[u32]) -> bool {
        let Decider { fleets, customers, requests, .. } = self;
        let ring = &mut fleets[n].ring;
        for place in 0..ring.len() {
            let key = ring[place];
            let Some(c) = customers.get_mut(&key) else { continue };
            let line = c.line(n);
            let fits =
                |id: &u64| requests.get(id).is_some_and(|r| r.waits && open.contains(&r.asked.booking));
            let Some(at) = line.iter().position(fits) else { continue };
            let id = line.remove(at).expect("just found");
            line.push_front(id);
            ring.remove(place);
            ring.push_front(key);
            return true;
        }
        false
    }

    /// Whether its booking has room for it here, whatever its customer has out.
    pub(super) fn held_for(&self, r: &NewRequest) -> bool {
        let fleet = &self.fleets[r.service as usize];
        let out = fleet.booked_out.get(&r.booking).copied().unwrap_or(0);
        let mut limits = fleet.holds.iter().zip(fleet.limits(&self.set));
        limits.any(|(h, limit)| h.booking == r.booking && out < limit)
    }
}

impl Fleet {
    /// The target and what the bookings' divisions move to this gateway or away from it: where a booking's requests come
    /// in is more room, elsewhere less, and all gateways together have what they have without. Others keep their least.
    fn room(&self, set: &Settings) -> f64 {
        let target = self.target(set);
        let moved: f64 = self.holds.iter().map(|h| h.moved).sum();
        (target + moved).max(target.min((OTHERS * target).max(OTHERS_LEAST)))
    }

    /// The room as a multiple of the target.
    pub fn lift(&self, set: &Settings) -> f64 {
        if self.holds.is_empty() { 1.0 } else { self.room(set) / self.target(set) }
    }

    /// How many of each hold's requests go before others: all it is to have, as far as the room goes; where it does not,
    /// all holds are cut alike.
    fn limits(&self, set: &Settings) -> Vec<u32> {
        let free = self.room(set);
        let all: u32 = self.holds.iter().map(|h| h.priority).sum();
        let scale = if f64::from(all) > free { free / f64::from(all) } else { 1.0 };
        self.holds.iter().map(|h| (f64::from(h.priority) * scale) as u32).collect()
    }

    /// One more is out; or, `back`, one less.
    pub fn tally(&mut self, booking: u32, back: bool) {
        self.load.out = if back { self.load.out - 1 } else { self.load.out + 1 };
        if booking > 0 {
            let out = self.booked_out.entry(booking).or_default();
            *out = if back { out.saturating_sub(1) } else { *out + 1 };
            if *out == 0 {
                self.booked_out.remove(&booking);
            }
        }
    }
}
