//! Slow start: a server that has just started, or comes back, bears little at first.

use super::records::Server;
use crate::interface::*;

/// Work for a cold server, as a part of what makes it fall.
const COLD_PART: f64 = 0.5;

impl Server {
    fn cold_until(&self, set: &Settings) -> Micros {
        let by_start = if self.up_since > 0 { self.up_since.saturating_add(set.cold_us) } else { 0 };
        if self.told_cold_until > 0 { self.told_cold_until } else { by_start }
    }

    /// The part of a warm server's work that a cold one is given, where no rate is told for it.
    pub fn ramp(&self, now: Micros, set: &Settings) -> Option<f64> {
        let until = self.cold_until(set);
        let age = now.saturating_sub(until.saturating_sub(set.cold_us)) as f64 / set.cold_us.max(1) as f64;
        let part = (set.fall_multiple * COLD_PART).min(1.0) * (set.cold_from + (1.0 - set.cold_from) * age);
        (now < until && self.cold_rate <= 0.0).then_some(part)
    }

    /// Whether it is cold and has a rate instead of the ramp: a bucket with room for one request.
    pub fn metered(&self, now: Micros, set: &Settings) -> bool {
        self.cold_rate > 0.0 && now < self.cold_until(set)
    }

    /// The time in which that bucket fills.
    pub fn token_us(&self) -> Micros {
        (1e6 / self.cold_rate).ceil() as Micros
    }

    /// What it adds to its fleet, in warm servers of which this gateway has an even part: a cold one its
    /// ramp, or what its rate has out at once (Little's law), `each` being the time of an answer by permits.
    pub fn worth(&self, now: Micros, set: &Settings, each: f64) -> f64 {
        let warm = self.ramp(now, set).unwrap_or(1.0) * self.share;
        if self.metered(now, set) { (self.cold_rate * each).min(warm) } else { warm }
    }
}
