//! What this proxy does for each tenant, and the part of the tenants' quotas that follows from the meter's readings.
//!
//! The even share over all proxies is what a proxy has while the meter is silent. While it speaks, a proxy's share is
//! the larger of the even one and its part of what is wanted everywhere, scaled so that all shares come to the whole.
//!
//! Readings are late. So each proxy keeps an account of its even share, and may be ahead of it only by its part of the
//! leeway and by what a reading has granted it, until a later reading tells that this was seen. With nobody to talk to,
//! what all have sent ahead is a sum that was bounded before, and is paid back out of the even shares.
//!
//! In a flood nothing is forgiven and nothing more is sent ahead: each proxy earns its scaled share, and what it sent ahead
//! before the flood was read is paid back first. So what all send comes to the quota, and to what was ahead when the flood
//! was read.

use crate::book::Even;
use cluster::Micros;
use cluster::talk::{Reading, Use};

/// A reading holds for so many times the time between two reports, counted from when it was made.
const HOLD: Micros = 3;
/// What a reading grants above the even share may be sent ahead for this part of the time between two reports.
const GRANTED: f64 = 0.5;
/// Weight of the time since the last report in the moving rates.
const LEARN: f64 = 0.5;
/// Readings are in thousandths, which must not make one more of a whole number.
const ROUNDED: f64 = 0.999;
/// So many requests beyond what was last reported are told ahead of time.
const JUMP: f64 = 4.0;
/// A tenant floods that uses this part of its quota and wants more than it by that factor.
const NEAR: f64 = 0.65;
const FLOODED: f64 = 1.0;
/// So many times the time between two reports pass after a flood before anything is forgiven: readings waver.
const UNFORGIVEN: Micros = 6;
/// In a flood this part of the share is earned: the rest pays back what all sent ahead before it was read.
const EARNED: f64 = 0.92;

#[derive(Clone, Default)]
struct Tenant {
    asked: u32,
    sent: u32,
    wanted: f64,
    used: f64,
    /// One over the share, and when the reading that it is of was made.
    spread: f64,
    made_at: Option<Micros>,
    /// More is wanted than the quota brings, and until when nothing is forgiven for that.
    flooded: bool,
    unforgiven_until: Micros,
    /// What is left of the even share here, less what was sent ahead of it, and what of that is not told yet.
    own: f64,
    own_at: Micros,
    untold: f64,
    /// All that may be sent ahead is; until the next reading.
    spent: bool,
}

impl Tenant {
    /// What is left of this proxy's share now. In a flood the scaled share counts, which may be less than the even one.
    fn earned(&self, now: Micros, even: Even, nodes: usize, flooded: bool) -> f64 {
        let scaled = if flooded { EARNED * nodes as f64 / self.spread.max(1.0) } else { 1.0 };
        let passed_s = now.saturating_sub(self.own_at) as f64 / 1e6;
        let most = if flooded { even.burst.max(1.0) } else { even.burst };
        (self.own + even.rate * scaled * passed_s).min(most)
    }
}

/// What a tenant's quota brings a second, and this proxy's even part of its burst.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    pub rate: f64,
    pub burst: f64,
}

pub struct Tenants {
    every_us: Micros,
    told_at: Micros,
    /// By the number of the plan.
    all: Vec<Tenant>,
    rng: fastrand::Rng,
    pub hurries: bool,
}

impl Tenants {
    /// `every_us`: how often a report goes out. `seed`: of the chance by which proxies begin in turn.
    pub fn new(every_us: Micros, seed: u64) -> Tenants {
        let rng = fastrand::Rng::with_seed(seed);
        Tenants { every_us, told_at: 0, all: Vec::new(), rng, hurries: false }
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

    /// One is sent on of what no quota binds.
    pub fn passes(&mut self, number: usize) {
        self.of(number).sent += 1;
    }

    /// True if that was the last that may be sent here ahead of the even share.
    pub fn sent(&mut self, now: Micros, plan: usize, even: Even, nodes: usize) -> bool {
        let granted = (1.0 / f64::from(self.spread(now, plan, nodes)) - 1.0 / nodes.max(1) as f64).max(0.0);
        let granted = granted * even.rate * nodes as f64 * GRANTED * self.every_us as f64 / 1e6;
        let (ahead, flooded) = (even.ahead + granted, self.is_flooded(now, plan));
        self.passes(plan);
        let t = self.of(plan);
        if plan == 0 || even.rate <= 0.0 {
            return false;
        }
        t.own = t.earned(now, even, nodes, flooded) - 1.0;
        t.own_at = now;
        t.untold += (-t.own).clamp(0.0, 1.0);
        let spent = t.own - 1.0 < -ahead;
        t.spent |= spent;
        spent
    }

    /// Whether one more may be sent on by what is earned here: in a flood, what was sent ahead is paid back first.
    pub fn may_send(&self, now: Micros, plan: usize, even: Even, nodes: usize) -> bool {
        if plan == 0 || even.rate <= 0.0 {
            return true;
        }
        let Some(t) = self.all.get(plan) else { return true };
        // Where many have just begun anew, readings tell for a moment that a flood is over that is not.
        let floods = self.is_flooded(now, plan) || now < t.unforgiven_until;
        !floods || t.earned(now, even, nodes, true) >= 1.0
    }

    /// The last reading, if it still holds, tells of a flood.
    fn is_flooded(&self, now: Micros, plan: usize) -> bool {
        self.lately_read(now, plan).is_some_and(|t| t.flooded)
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
            (t.asked, t.sent, t.untold) = (0, 0, 0.0);
            let (wanted, used) = ((t.wanted * 1000.0) as u32, (t.used * 1000.0) as u32);
            if wanted > 10 {
                uses.push(Use { tenant: key(plan), wanted, used });
            }
        }
        uses
    }

    /// Takes a reading that was made then. Tells what part of the rate counts as used: in a flood what is wanted, as what is used says only
    /// how well it is held back.
    pub fn read(
        &mut self,
        now: Micros,
        made_at: Micros,
        plan: usize,
        reading: &Reading,
        nodes: usize,
        quota: Quota,
    ) -> f64 {
        let (every_us, Quota { rate, burst }) = (self.every_us, quota);
        self.of(plan);
        let t = &mut self.all[plan];
        let wanted = f64::from(reading.wanted) / 1000.0;
        let part = (t.wanted / wanted.max(0.001)).max(1.0 / nodes.max(1) as f64).min(1.0);
        t.spread = f64::from(reading.shares) / 1000.0 / part;
        t.made_at = Some(made_at);
        let used = f64::from(reading.used) / 1000.0 / rate;
        t.flooded = used > NEAR && wanted > FLOODED * rate;
        t.spent = false;
        if t.flooded {
            if now >= t.unforgiven_until && burst < 1.0 {
                // Many proxies with less than a request each: they send in turn, and not all their first at once.
                t.own = t.own.min(0.0) + self.rng.f64();
            }
            t.unforgiven_until = now + UNFORGIVEN * every_us;
        } else if now >= t.unforgiven_until {
            t.own = t.own.max(-t.untold);
        }
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
    fn lately_read(&self, now: Micros, plan: usize) -> Option<&Tenant> {
        let hold = HOLD * self.every_us;
        self.all.get(plan).filter(|t| t.made_at.is_some_and(|at| now <= at + hold))
    }

    /// The same, while not all that may be sent ahead is sent.
    fn read_of(&self, now: Micros, plan: usize) -> Option<&Tenant> {
        self.lately_read(now, plan).filter(|t| !t.spent)
    }
}
