//! What this proxy does for each tenant, and the part of the tenants' quotas that follows from the meter's readings.
//!
//! The even share over all proxies is what a proxy has while the meter is silent. While it speaks, a proxy's share is
//! the larger of the even one and its part of what is wanted everywhere, scaled so that all shares come to the whole.
//!
//! Readings are late, and shares are of no use as a bound. What all proxies send together is bounded by permits
//! ([`crate::permits`]).

use rack::Micros;
use rack::talk::{Reading, Use};

/// A reading holds for so many times the time between two reports.
const HOLD: Micros = 3;
/// Weight of the time since the last report in the moving rates.
const LEARN: f64 = 0.5;
/// Readings are in thousandths, which must not make one more of a whole number.
const ROUNDED: f64 = 0.999;
/// So many requests beyond what was last reported are told ahead of time.
const JUMP: f64 = 4.0;
/// A tenant floods that uses this part of its quota and wants more than it by that factor.
const NEAR: f64 = 0.65;
const FLOODED: f64 = 1.0;
#[derive(Clone, Default)]
struct Tenant {
    asked: u32,
    sent: u32,
    wanted: f64,
    used: f64,
    /// One over the share, and when it was read.
    spread: f64,
    read_at: Option<Micros>,
    /// More is wanted than the quota brings.
    flooded: bool,
}

pub struct Tenants {
    every_us: Micros,
    told_at: Micros,
    /// By the number of the plan.
    all: Vec<Tenant>,
    pub hurries: bool,
}

impl Tenants {
    /// `every_us`: how often a report goes out.
    pub fn new(every_us: Micros) -> Tenants {
        Tenants { every_us, told_at: 0, all: Vec::new(), hurries: false }
    }

    fn of(&mut self, plan: usize) -> &mut Tenant {
        if self.all.len() <= plan {
            self.all.resize(plan + 1, Tenant::default());
        }
        &mut self.all[plan]
    }

    pub fn asked(&mut self, plan: usize) {
        let every_s = self.every_us as f64 / 1e6;
        let t = self.of(plan);
        t.asked += 1;
        let jumps = f64::from(t.asked) > 2.0 * t.wanted * every_s + JUMP;
        self.hurries |= plan > 0 && jumps;
    }

    /// One is sent on.
    pub fn sent(&mut self, number: usize) {
        self.of(number).sent += 1;
    }

    /// What the next report tells, each under its `key`; counts from there on anew.
    pub fn uses(&mut self, now: Micros, key: impl Fn(usize) -> u32) -> Vec<Use> {
        let passed = (now.saturating_sub(self.told_at)).max(1) as f64;
        self.told_at = now;
        let (seconds, learn) = (passed / 1e6, (LEARN * passed / self.every_us as f64).min(1.0));
        let mut uses = Vec::new();
        for (plan, t) in self.all.iter_mut().enumerate().skip(1) {
            t.wanted += (f64::from(t.asked) / seconds - t.wanted) * learn;
            t.used += (f64::from(t.sent) / seconds - t.used) * learn;
            (t.asked, t.sent) = (0, 0);
            let (wanted, used) = ((t.wanted * 1000.0) as u32, (t.used * 1000.0) as u32);
            if wanted > 10 {
                uses.push(Use { tenant: key(plan), wanted, used });
            }
        }
        uses
    }

    /// Tells what part of the rate counts as used: in a flood what is wanted, as what is used says only how well it is held
    /// back.
    pub fn read(&mut self, now: Micros, plan: usize, reading: &Reading, nodes: usize, rate: f64) -> f64 {
        let t = self.of(plan);
        let wanted = f64::from(reading.wanted) / 1000.0;
        let part = (t.wanted / wanted.max(0.001)).max(1.0 / nodes.max(1) as f64).min(1.0);
        t.spread = f64::from(reading.shares) / 1000.0 / part;
        t.read_at = Some(now);
        let used = f64::from(reading.used) / 1000.0 / rate;
        t.flooded = used > NEAR && wanted > FLOODED * rate;
        if t.flooded { used.max(wanted / rate) } else { used }
    }

    /// Over how many proxies a tenant's quota is spread, as this one sees it.
    pub fn spread(&self, now: Micros, plan: usize, nodes: usize) -> u32 {
        let nodes = nodes.max(1) as u32;
        self.read_of(now, plan).map_or(nodes, |t| ((t.spread * ROUNDED).ceil() as u32).clamp(1, nodes))
    }

    /// What a request draws from the bucket here. In a flood all is spent that is granted, so the even shares of those
    /// that want less must not come on top of the others': they too are scaled, which the spread cannot tell, as it is
    /// no larger than the number of proxies.
    pub fn draws(&self, now: Micros, plan: usize, nodes: usize) -> f64 {
        let flood = self.read_of(now, plan).filter(|t| t.flooded);
        flood.map_or(1.0, |t| (t.spread / nodes.max(1) as f64).max(1.0))
    }

    /// A tenant of which the meter has spoken lately.
    fn read_of(&self, now: Micros, plan: usize) -> Option<&Tenant> {
        let hold = HOLD * self.every_us;
        self.all.get(plan).filter(|t| t.read_at.is_some_and(|at| now <= at + hold))
    }
}
