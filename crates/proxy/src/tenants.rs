//! Counts what this proxy does for each tenant, and derives this proxy's share of the tenants' quotas from
//! the readings of the registries' meter.
//!
//! While the meter is silent a proxy has the even share over all proxies. Otherwise its share is the larger
//! of the even one and its part of the total demand, scaled so that all shares add up to the quota.
//!
//! Readings are late. So each proxy keeps a balance of its even share. It may run ahead of that share only
//! by its part of the leeway and by what a reading has granted, until a later reading covers what was sent
//! ahead. If all contact is lost, the sum that all proxies have sent ahead is therefore bounded, and it is
//! paid back out of the even shares.
//!
//! A flood is a time in which a tenant wants more than its quota. During a flood nothing sent ahead is
//! forgiven and nothing more is sent ahead: each proxy earns its scaled share, and first pays back what it
//! sent ahead before the flood was read. So all proxies together send the quota, plus what they were ahead
//! when the flood was read.

use crate::routing_view::EvenShare;
use cluster::Micros;
use cluster::talk::{Reading, Use};

/// A reading is valid for this many report periods from when it was made.
const READING_VALIDITY_PERIODS: Micros = 3;
/// What a reading grants above the even share may be sent ahead for this fraction of a report period.
const GRANT_PERIODS: f64 = 0.5;
/// Weight of a full report period in the moving averages of the rates.
const SMOOTHING: f64 = 0.5;
/// Readings come in thousandths; the factor keeps their rounding from turning a whole number into the next
/// one.
const ROUNDING_TOLERANCE: f64 = 0.999;
/// A report goes out early if the requests since the last one exceed twice the expected number by this many.
const EARLY_REPORT_EXCESS: f64 = 4.0;
/// A tenant is in a flood if it uses more than this fraction of its quota and wants more than the quota
/// times [`FLOOD_WANTED_FACTOR`].
const FLOOD_USED_FRACTION: f64 = 0.65;
/// See [`FLOOD_USED_FRACTION`].
const FLOOD_WANTED_FACTOR: f64 = 1.0;
/// Nothing is forgiven for this many report periods after a flood, because readings fluctuate.
const UNFORGIVING_PERIODS: Micros = 6;
/// During a flood a proxy earns this fraction of its share; the rest pays back what all proxies sent ahead
/// before the flood was read.
const FLOOD_SHARE_FRACTION: f64 = 0.92;

#[derive(Clone, Default)]
struct TenantState {
    /// Requests since the last report: those that arrived, and those that were sent on.
    asked: u32,
    sent: u32,
    /// Moving averages of both, per second.
    wanted: f64,
    used: f64,
    /// One divided by this proxy's share of the quota, and when the reading that says so was made.
    spread: f64,
    reading_made_at: Option<Micros>,
    /// The last reading reported a flood; and until when nothing is forgiven because of it.
    flooded: bool,
    unforgiving_until: Micros,
    /// What is left of this proxy's share, negative by what was sent ahead of it; and the part of what was
    /// sent ahead that isn't reported yet.
    balance: f64,
    balance_at: Micros,
    unreported_ahead: f64,
    /// All that may be sent ahead has been sent, until the next reading.
    exhausted: bool,
}

impl TenantState {
    /// What is left of this proxy's share now. During a flood it grows by the scaled share, which may be
    /// less than the even one.
    fn balance_now(&self, now: Micros, even: EvenShare, nodes: usize, flooded: bool) -> f64 {
        let scaled = if flooded { FLOOD_SHARE_FRACTION * nodes as f64 / self.spread.max(1.0) } else { 1.0 };
        let passed_s = now.saturating_sub(self.balance_at) as f64 / 1e6;
        let max_balance = if flooded { even.burst.max(1.0) } else { even.burst };
        (self.balance + even.rate * scaled * passed_s).min(max_balance)
    }
}

/// A tenant's quota in requests per second, and this proxy's even part of its burst.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    pub rate: f64,
    pub burst: f64,
}

/// Usage and quota shares at this proxy, by plan; also used with the numbers of bookings instead of plans.
pub struct Tenants {
    report_period_us: Micros,
    reported_at: Micros,
    /// Indexed by plan number.
    by_plan: Vec<TenantState>,
    rng: fastrand::Rng,
    /// The next report should go out at once, because the demand for a tenant rises quickly.
    pub report_early: bool,
}

impl Tenants {
    /// `report_period_us`: the time between two reports. `seed`: for the random order in which proxies start
    /// sending in a flood.
    pub fn new(report_period_us: Micros, seed: u64) -> Tenants {
        let rng = fastrand::Rng::with_seed(seed);
        Tenants { report_period_us, reported_at: 0, by_plan: Vec::new(), rng, report_early: false }
    }

    fn state_mut(&mut self, plan: usize) -> &mut TenantState {
        if self.by_plan.len() <= plan {
            self.by_plan.resize(plan + 1, TenantState::default());
        }
        &mut self.by_plan[plan]
    }

    /// Counts a request that arrived, whether or not it is sent on.
    pub fn record_request(&mut self, plan: usize) {
        let report_period_s = self.report_period_us as f64 / 1e6;
        let t = self.state_mut(plan);
        t.asked += 1;
        let rises = f64::from(t.asked) > 2.0 * t.wanted * report_period_s + EARLY_REPORT_EXCESS;
        self.report_early |= plan > 0 && rises;
    }

    /// Counts a request that is sent on, without charging it to a quota.
    pub fn record_sent(&mut self, plan: usize) {
        self.state_mut(plan).sent += 1;
    }

    /// Charges a request that is sent on. Returns true if it was the last one that may be sent ahead of the
    /// even share.
    pub fn spend(&mut self, now: Micros, plan: usize, even: EvenShare, nodes: usize) -> bool {
        let granted = (1.0 / f64::from(self.spread(now, plan, nodes)) - 1.0 / nodes.max(1) as f64).max(0.0);
        let granted = granted * even.rate * nodes as f64 * GRANT_PERIODS * self.report_period_us as f64 / 1e6;
        let (ahead, flooded) = (even.ahead + granted, self.is_flooded(now, plan));
        self.record_sent(plan);
        let t = self.state_mut(plan);
        if plan == 0 || even.rate <= 0.0 {
            return false;
        }
        t.balance = t.balance_now(now, even, nodes, flooded) - 1.0;
        t.balance_at = now;
        t.unreported_ahead += (-t.balance).clamp(0.0, 1.0);
        let exhausted = t.balance - 1.0 < -ahead;
        t.exhausted |= exhausted;
        exhausted
    }

    /// Whether the balance allows another request. Outside a flood it always does; during one, what was sent
    /// ahead must be paid back first.
    pub fn may_send(&self, now: Micros, plan: usize, even: EvenShare, nodes: usize) -> bool {
        if plan == 0 || even.rate <= 0.0 {
            return true;
        }
        let Some(t) = self.by_plan.get(plan) else { return true };
        // Just after many proxies have restarted, readings can report the end of a flood too early.
        let flooded = self.is_flooded(now, plan) || now < t.unforgiving_until;
        !flooded || t.balance_now(now, even, nodes, true) >= 1.0
    }

    /// Whether the last reading is still valid and reports a flood.
    fn is_flooded(&self, now: Micros, plan: usize) -> bool {
        self.with_valid_reading(now, plan).is_some_and(|t| t.flooded)
    }

    /// Returns the usage since the last report, each tenant under its `key`, and resets the counters.
    pub fn take_report(&mut self, now: Micros, key: impl Fn(usize) -> u32) -> Vec<Use> {
        let passed_us = (now.saturating_sub(self.reported_at)).max(1) as f64;
        self.reported_at = now;
        let (seconds, weight) =
            (passed_us / 1e6, (SMOOTHING * passed_us / self.report_period_us as f64).min(1.0));
        let mut uses = Vec::new();
        for (plan, t) in self.by_plan.iter_mut().enumerate().skip(1) {
            t.wanted += (f64::from(t.asked) / seconds - t.wanted) * weight;
            t.used += (f64::from(t.sent) / seconds - t.used) * weight;
            (t.asked, t.sent, t.unreported_ahead) = (0, 0, 0.0);
            let (wanted, used) = ((t.wanted * 1000.0) as u32, (t.used * 1000.0) as u32);
            if wanted > 10 {
                uses.push(Use { tenant: key(plan), wanted, used });
            }
        }
        uses
    }

    /// Applies a reading that was made at `made_at`. Returns the fraction of the rate that counts as used:
    /// in a flood the demand, because usage then only shows how well it is held back.
    pub fn apply_reading(
        &mut self,
        now: Micros,
        made_at: Micros,
        plan: usize,
        reading: &Reading,
        nodes: usize,
        quota: Quota,
    ) -> f64 {
        let (report_period_us, Quota { rate, burst }) = (self.report_period_us, quota);
        self.state_mut(plan);
        let t = &mut self.by_plan[plan];
        let wanted = f64::from(reading.wanted) / 1000.0;
        let demand_share = (t.wanted / wanted.max(0.001)).max(1.0 / nodes.max(1) as f64).min(1.0);
        t.spread = f64::from(reading.shares) / 1000.0 / demand_share;
        t.reading_made_at = Some(made_at);
        let used = f64::from(reading.used) / 1000.0 / rate;
        t.flooded = used > FLOOD_USED_FRACTION && wanted > FLOOD_WANTED_FACTOR * rate;
        t.exhausted = false;
        if t.flooded {
            if now >= t.unforgiving_until && burst < 1.0 {
                // Many proxies have less than one request each: random balances make them send one after the
                // other, instead of all sending their first request at once.
                t.balance = t.balance.min(0.0) + self.rng.f64();
            }
            t.unforgiving_until = now + UNFORGIVING_PERIODS * report_period_us;
        } else if now >= t.unforgiving_until {
            t.balance = t.balance.max(-t.unreported_ahead);
        }
        if t.flooded { used.max(wanted / rate) } else { used }
    }

    /// The number of proxies over which a tenant's quota is divided, as this proxy sees it; one divided by
    /// its share.
    pub fn spread(&self, now: Micros, plan: usize, nodes: usize) -> u32 {
        let nodes = nodes.max(1) as u32;
        self.with_usable_reading(now, plan)
            .map_or(nodes, |t| ((t.spread * ROUNDING_TOLERANCE).ceil() as u32).clamp(1, nodes))
    }

    /// What a request costs of this proxy's share. In a flood the granted shares use up the quota, so the
    /// even shares of proxies that want less must not be added to them: they are scaled down, too. The
    /// spread can't express that, because it is no larger than the number of proxies.
    pub fn request_cost(&self, now: Micros, plan: usize, nodes: usize) -> f64 {
        let flood = self.with_usable_reading(now, plan).filter(|t| t.flooded);
        flood.map_or(1.0, |t| (t.spread / nodes.max(1) as f64).max(1.0))
    }

    /// The tenant's state, if it has a valid reading.
    fn with_valid_reading(&self, now: Micros, plan: usize) -> Option<&TenantState> {
        let validity_us = READING_VALIDITY_PERIODS * self.report_period_us;
        self.by_plan.get(plan).filter(|t| t.reading_made_at.is_some_and(|at| now <= at + validity_us))
    }

    /// The same, unless all that may be sent ahead has been sent.
    fn with_usable_reading(&self, now: Micros, plan: usize) -> Option<&TenantState> {
        self.with_valid_reading(now, plan).filter(|t| !t.exhausted)
    }
}
