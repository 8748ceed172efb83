//! Usage metering of tenants over all proxies. Each registry adds up the reports of all proxies, including those that
//! follow other registries, so metering does not depend on any single registry.
//!
//! A proxy without a recent report counts as using its even share, because it may do so. A registry that is cut off
//! from the others therefore reads too much, never too little, and the proxies that follow it send less.

use cluster::Micros;
use cluster::state::State;
use cluster::talk::{Reading, Usage, Use, tenant_key};
use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;

/// A report stays valid for this many report intervals.
const REPORT_VALID_INTERVALS: Micros = 3;
/// Time constant of the moving mean of what is used, in microseconds.
const SMOOTHING_US: f64 = 1_500_000.0;
/// A sum above the mean by more than this many square roots of it is taken at once.
const SUDDEN_RISE_ROOTS: f64 = 3.0;
/// A report is a rise if demand has more than doubled and grown by this much besides, in thousandths of a request per
/// second. Less may be chance.
const MIN_RISE_MILLI_PER_S: u32 = 4_000;
/// Readings are meaningful once this part (numerator, denominator) of the proxies reports.
const MOST_PROXIES: (usize, usize) = (3, 4);
/// Demand for a tenant above this multiple of its rate is a flood.
const FLOOD_FACTOR: f64 = 1.05;

struct Report {
    usage: Usage,
    heard_at: Micros,
    gossiped: bool,
}

pub struct Meter {
    report_interval_us: Micros,
    reports: BTreeMap<Ipv4Addr, Report>,
    /// By tenant: when it was last read, and the moving mean of what was used.
    smoothed_use: HashMap<u32, (Micros, f64)>,
    /// By tenant with a quota: the reported demand, and the demand above which it is a flood, both in thousandths of
    /// a request per second.
    flood_sums: HashMap<u32, (u64, u64)>,
}

impl Meter {
    /// `report_interval_us`: how often proxies report.
    pub fn new(report_interval_us: Micros) -> Meter {
        Meter {
            report_interval_us,
            reports: BTreeMap::new(),
            smoothed_use: HashMap::new(),
            flood_sums: HashMap::new(),
        }
    }

    /// Takes a report, from the proxy itself or from another registry (`gossiped`). A report older than the known one
    /// is ignored. Returns true if it shows a rise that others should learn of at once.
    pub fn take(&mut self, now: Micros, usage: Usage, gossiped: bool) -> bool {
        let known = self.reports.get(&usage.ip);
        if known.is_some_and(|k| k.usage.life == usage.life && k.usage.count >= usage.count) {
            return false;
        }
        let before = |tenant| {
            let uses = known.iter().flat_map(|k| &k.usage.tenants);
            uses.filter(|u| u.tenant == tenant).map(|u| u.wanted).sum::<u32>()
        };
        let rises =
            |u: &Use| u.wanted > before(u.tenant).saturating_mul(2).saturating_add(MIN_RISE_MILLI_PER_S);
        let rises = usage.tenants.iter().any(rises) | self.starts_flood(&usage);
        self.reports.insert(usage.ip, Report { usage, heard_at: now, gossiped });
        rises
    }

    /// Updates the sums of demand and returns whether this report turns the demand for a tenant into a flood.
    fn starts_flood(&mut self, usage: &Usage) -> bool {
        let before = self.reports.get(&usage.ip).into_iter().flat_map(|r| &r.usage.tenants);
        let mut was: HashMap<u32, u64> = before.map(|u| (u.tenant, u64::from(u.wanted))).collect();
        let mut floods = false;
        for used in &usage.tenants {
            let was = was.remove(&used.tenant).unwrap_or(0);
            let Some((sum, from)) = self.flood_sums.get_mut(&used.tenant) else { continue };
            let now = (*sum + u64::from(used.wanted)).saturating_sub(was);
            floods |= *sum <= *from && now > *from;
            *sum = now;
        }
        for (tenant, wanted) in was {
            if let Some((sum, _)) = self.flood_sums.get_mut(&tenant) {
                *sum = sum.saturating_sub(wanted);
            }
        }
        floods
    }

    /// Whether most proxies have reported recently. Not so just after a start of this registry, when readings do not
    /// show the real usage.
    pub fn hears_most_proxies(&self, now: Micros, state: &State) -> bool {
        let heard = |r: &&Report| {
            now <= r.heard_at + REPORT_VALID_INTERVALS * self.report_interval_us
                && state.nodes.contains_key(&r.usage.ip)
        };
        let heard = self.reports.values().filter(heard).count();
        heard * MOST_PROXIES.1 >= state.nodes.len() * MOST_PROXIES.0
    }

    /// Reports received here since the last call, for the other registries.
    pub fn take_unsent(&mut self) -> Vec<Usage> {
        let unsent = self.reports.values_mut().filter(|r| !r.gossiped);
        unsent
            .map(|r| {
                r.gossiped = true;
                r.usage.clone()
            })
            .collect()
    }

    /// Recent demand for a tenant in requests per second, from the proxies with valid reports.
    pub fn demand_per_s(&self, now: Micros, tenant: &str) -> f64 {
        let key = tenant_key(tenant);
        let heard = self
            .reports
            .values()
            .filter(|r| now <= r.heard_at + REPORT_VALID_INTERVALS * self.report_interval_us);
        let uses = heard.flat_map(|r| &r.usage.tenants).filter(|u| u.tenant == key);
        uses.fold(0.0, |sum, u| sum + f64::from(u.wanted) / 1000.0)
    }

    /// What a proxy's valid report says under a key.
    pub fn usage_of(&self, now: Micros, key: u32, ip: Ipv4Addr) -> Option<Use> {
        let report = self
            .reports
            .get(&ip)
            .filter(|r| now <= r.heard_at + REPORT_VALID_INTERVALS * self.report_interval_us)?;
        report.usage.tenants.iter().find(|u| u.tenant == key).copied()
    }

    /// Readings of all tenants that have a quota and any demand.
    pub fn read(&mut self, now: Micros, state: &State) -> Vec<Reading> {
        self.reports.retain(|ip, _| state.nodes.contains_key(ip));
        let Some(config) = &state.config else { return Vec::new() };
        let nodes = state.nodes.len().max(1);
        let valid_us = REPORT_VALID_INTERVALS * self.report_interval_us;
        let mut uses: HashMap<u32, Vec<Use>> = HashMap::new();
        let mut unheard_proxies = nodes;
        for r in self.reports.values().filter(|r| now <= r.heard_at + valid_us) {
            unheard_proxies -= 1;
            r.usage.tenants.iter().for_each(|u| uses.entry(u.tenant).or_default().push(*u));
        }
        self.smoothed_use.retain(|tenant, _| uses.contains_key(tenant));
        let mut readings = Vec::with_capacity(uses.len());
        for t in config.tenants.iter().flatten().filter(|t| t.rate > 0.0) {
            let tenant = tenant_key(&t.name);
            let Some(uses) = uses.get(&tenant) else { continue };
            let unheard_rate = unheard_proxies as f64 * t.rate / nodes as f64;
            let sum = |of: fn(&Use) -> u32| uses.iter().map(|u| f64::from(of(u)) / 1000.0).sum::<f64>();
            let wanted = uses.iter().map(|u| u64::from(u.wanted)).sum();
            self.flood_sums.insert(tenant, (wanted, (FLOOD_FACTOR * t.rate * 1000.0) as u64));
            let (all_wanted, all_used) = (sum(|u| u.wanted) + unheard_rate, sum(|u| u.used) + unheard_rate);
            let (at, mean) = self.smoothed_use.entry(tenant).or_insert((now, all_used));
            *mean = smoothed(*mean, all_used, now.saturating_sub(*at) as f64);
            *at = now;
            // Rounded only once, because with many proxies each part is just a few thousandths.
            let even = 1.0 / nodes as f64;
            let part = |u: &Use| (f64::from(u.wanted) / 1000.0 / all_wanted.max(0.001)).max(even);
            let shares = uses.iter().map(part).sum::<f64>() + (nodes - uses.len().min(nodes)) as f64 * even;
            let short = |n: f64| (n * 1000.0).ceil().min(f64::from(u32::MAX)) as u32;
            let (wanted, used, shares) = (short(all_wanted), short(*mean), short(shares));
            readings.push(Reading { tenant, wanted, used, shares });
        }
        readings
    }
}

/// A moving mean that jumps at once to a value above what chance explains: the count of random arrivals rarely
/// exceeds its mean by more than a few times the square root.
fn smoothed(mean: f64, now: f64, passed_us: f64) -> f64 {
    if now > mean + SUDDEN_RISE_ROOTS * mean.max(1.0).sqrt() {
        return now;
    }
    mean + (now - mean) * (1.0 - (-passed_us / SMOOTHING_US).exp())
}
