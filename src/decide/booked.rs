//! Booked capacity: permits of a fleet that go to a booking's requests before all others. Without a hold, as
//! in `curlewfront-gateway`, all decisions are the same as without this file.

use super::records::{Decider, Fleet};
use crate::interface::*;

/// What is left to other requests, however much is booked: a fraction of the room, and a minimum.
const UNBOOKED_SHARE: f64 = 0.125;
const UNBOOKED_MIN: f64 = 1.0;

impl Decider {
    /// Replaces all holds. Requests keep the booking under which they came.
    pub fn hold(&mut self, now: Micros, holds: &[Hold], actions: &mut Vec<Action>) {
        for (n, fleet) in self.fleets.iter_mut().enumerate() {
            fleet.holds = holds.iter().filter(|h| h.service as usize == n).copied().collect();
        }
        self.handle(now, Event::Timer { token: 0 }, actions);
    }

    /// How many attempts may be in flight at a fleet, counting the next one. If a hold has room, a request of
    /// its booking is moved to the front and there is no bound. What a hold reserves is not for others.
    pub(super) fn room(&mut self, n: usize) -> f64 {
        let fleet = &self.fleets[n];
        if fleet.holds.is_empty() {
            return fleet.target(&self.config);
        }
        let (room, limits) = (fleet.room(&self.config), fleet.limits(&self.config));
        let in_flight = |booking| fleet.booked_in_flight.get(&booking).copied().unwrap_or(0);
        let (mut reserved, mut used) = (0, 0);
        let mut open = Vec::new();
        for (h, limit) in fleet.holds.iter().zip(limits) {
            reserved += h.reserved.min(limit).saturating_sub(in_flight(h.booking));
            used += limit.min(in_flight(h.booking));
            if in_flight(h.booking) < limit {
                open.push(h.booking);
            }
        }
        if !open.is_empty() && self.move_to_front(n, &open) {
            return f64::INFINITY;
        }
        // Holds leave others their minimum.
        (room - f64::from(reserved)).max(f64::from(used) + (UNBOOKED_SHARE * room).max(UNBOOKED_MIN))
    }

    /// Moves the first queued request of one of these bookings to the front.
    fn move_to_front(&mut self, n: usize, open: &[u32]) -> bool {
        let Decider { fleets, customers, requests, .. } = self;
        let round_robin = &mut fleets[n].round_robin;
        for place in 0..round_robin.len() {
            let key = round_robin[place];
            let Some(c) = customers.get_mut(&key) else { continue };
            let queue = c.queue(n);
            let matches =
                |id: &u64| requests.get(id).is_some_and(|r| r.queued && open.contains(&r.params.booking));
            let Some(at) = queue.iter().position(matches) else { continue };
            let id = queue.remove(at).expect("just found");
            queue.push_front(id);
            round_robin.remove(place);
            round_robin.push_front(key);
            return true;
        }
        false
    }

    /// Whether its booking has room for it here, however much its customer has in flight.
    pub(super) fn booking_has_room(&self, r: &NewRequest) -> bool {
        let fleet = &self.fleets[r.service as usize];
        let in_flight = fleet.booked_in_flight.get(&r.booking).copied().unwrap_or(0);
        let mut limits = fleet.holds.iter().zip(fleet.limits(&self.config));
        limits.any(|(h, limit)| h.booking == r.booking && in_flight < limit)
    }
}

impl Fleet {
    /// The target plus what bookings move to this gateway, or less what they move away: gateways that receive
    /// a booking's requests get more, the total over all gateways is unchanged. Others keep their minimum.
    fn room(&self, config: &Settings) -> f64 {
        let target = self.target(config);
        let moved: f64 = self.holds.iter().map(|h| h.moved).sum();
        (target + moved).max(target.min((UNBOOKED_SHARE * target).max(UNBOOKED_MIN)))
    }

    /// The room as a multiple of the target.
    pub fn room_factor(&self, config: &Settings) -> f64 {
        if self.holds.is_empty() { 1.0 } else { self.room(config) / self.target(config) }
    }

    /// How many requests of each hold have priority: its full count, or all holds scaled down alike if the
    /// room does not suffice.
    fn limits(&self, config: &Settings) -> Vec<u32> {
        let free = self.room(config);
        let all: u32 = self.holds.iter().map(|h| h.priority).sum();
        let scale = if f64::from(all) > free { free / f64::from(all) } else { 1.0 };
        self.holds.iter().map(|h| (f64::from(h.priority) * scale) as u32).collect()
    }

    /// Counts an attempt that was sent or, if `ended`, has ended.
    pub fn count_attempt(&mut self, booking: u32, ended: bool) {
        self.aimd.in_flight = if ended { self.aimd.in_flight - 1 } else { self.aimd.in_flight + 1 };
        if booking > 0 {
            let in_flight = self.booked_in_flight.entry(booking).or_default();
            *in_flight = if ended { in_flight.saturating_sub(1) } else { *in_flight + 1 };
            if *in_flight == 0 {
                self.booked_in_flight.remove(&booking);
            }
        }
    }
}
