//! Slow start: a server that has just started, or comes back, gets little load at first.

use super::records::Server;
use crate::interface::*;

/// Load given to a cold server, as a fraction of the load at which it fails (`fall_multiple`).
const COLD_LOAD: f64 = 0.5;

impl Server {
    fn cold_until(&self, config: &Settings) -> Micros {
        let by_start = if self.up_since > 0 { self.up_since.saturating_add(config.cold_us) } else { 0 };
        if self.listed_cold_until > 0 { self.listed_cold_until } else { by_start }
    }

    /// The fraction of a warm server's load that a cold one gets; None if warm or limited by a rate.
    pub fn ramp(&self, now: Micros, config: &Settings) -> Option<f64> {
        let Settings { cold_from, cold_us, fall_multiple, .. } = *config;
        let until = self.cold_until(config);
        let age = now.saturating_sub(until.saturating_sub(cold_us)) as f64 / cold_us.max(1) as f64;
        let part = (fall_multiple * COLD_LOAD).min(1.0) * (cold_from + (1.0 - cold_from) * age);
        (now < until && self.cold_rate <= 0.0).then_some(part)
    }

    /// Whether it is cold and limited by a rate instead of the ramp: a token bucket that holds one request.
    pub fn rate_limited(&self, now: Micros, config: &Settings) -> bool {
        self.cold_rate > 0.0 && now < self.cold_until(config)
    }

    /// The time in which that bucket fills.
    pub fn token_interval(&self) -> Micros {
        (1e6 / self.cold_rate).ceil() as Micros
    }

    /// Its capacity, in warm servers of which this gateway has an even share: a cold one counts by its ramp,
    /// or by what its rate keeps in flight (Little's law); `each` is latency (s) x gateways / permits.
    pub fn capacity(&self, now: Micros, config: &Settings, each: f64) -> f64 {
        let warm = self.ramp(now, config).unwrap_or(1.0) * self.share;
        if self.rate_limited(now, config) { (self.cold_rate * each).min(warm) } else { warm }
    }
}
