//! The meter: what all proxies together do for each tenant. Each registry adds up what the proxies report, those that
//! follow the other registries included, so there is no single one that could be lost.
//!
//! A proxy that is not heard of counts as using its even share: it may. So a registry that is cut off from the others
//! reads too much, never too little, and the proxies that follow it keep to less.

use cluster::Micros;
use cluster::state::State;
use cluster::talk::{Reading, Usage, Use, tenant_key};
use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;

/// Reports hold for so many times the time between two of them.
const HOLD: Micros = 3;
/// Time over which sums are evened out, and how many roots of a sum a rise must come to for being taken at once.
const STEADY_US: f64 = 1_500_000.0;
const CHANCE: f64 = 3.0;
/// A rise at one proxy that is more than chance: twice what it was, and so much in thousandths of a request a second.
const RISE: u32 = 4_000;
/// So many of so many proxies are most of them.
const MOST: (usize, usize) = (3, 4);
/// More than so many times its rate is wanted of a tenant in a flood.
const FLOOD: f64 = 1.05;

struct Report {
    usage: Usage,
    heard_at: Micros,
    told: bool,
}

pub struct Meter {
    every_us: Micros,
    reports: BTreeMap<Ipv4Addr, Report>,
    /// By tenant: when it was last read, and the mean of what was used.
    sums: HashMap<u32, (Micros, f64)>,
    /// By tenant with a quota: what is reported to be wanted, and from where on that is a flood.
    floods: HashMap<u32, (u64, u64)>,
}

impl Meter {
    /// `every_us`: how often proxies report.
    pub fn new(every_us: Micros) -> Meter {
        Meter { every_us, reports: BTreeMap::new(), sums: HashMap::new(), floods: HashMap::new() }
    }

    /// A report, from the proxy itself or by another registry (`told`). An older one than is known is passed over. True
    /// if it tells of a rise that others should hear of at once.
    pub fn take(&mut self, now: Micros, usage: Usage, told: bool) -> bool {
        let known = self.reports.get(&usage.ip);
        if known.is_some_and(|k| k.usage.life == usage.life && k.usage.count >= usage.count) {
            return false;
        }
        let before = |tenant| {
            let uses = known.iter().flat_map(|k| &k.usage.tenants);
            uses.filter(|u| u.tenant == tenant).map(|u| u.wanted).sum::<u32>()
        };
        let rises = |u: &Use| u.wanted > before(u.tenant).saturating_mul(2).saturating_add(RISE);
        let rises = usage.tenants.iter().any(rises) | self.floods_now(&usage);
        self.reports.insert(usage.ip, Report { usage, heard_at: now, told });
        rises
    }

    /// Whether a report makes what is wanted of a tenant a flood, which it was not before.
    fn floods_now(&mut self, usage: &Usage) -> bool {
        let before = self.reports.get(&usage.ip).into_iter().flat_map(|r| &r.usage.tenants);
        let mut was: HashMap<u32, u64> = before.map(|u| (u.tenant, u64::from(u.wanted))).collect();
        let mut floods = false;
        for used in &usage.tenants {
            let was = was.remove(&used.tenant).unwrap_or(0);
            let Some((sum, from)) = self.floods.get_mut(&used.tenant) else { continue };
            let now = (*sum + u64::from(used.wanted)).saturating_sub(was);
            floods |= *sum <= *from && now > *from;
            *sum = now;
        }
        for (tenant, wanted) in was {
            if let Some((sum, _)) = self.floods.get_mut(&tenant) {
                *sum = sum.saturating_sub(wanted);
            }
        }
        floods
    }

    /// Whether most proxies are heard of, so that what is read tells how things stand: not just after the start of this
    /// registry.
    pub fn hears_most(&self, now: Micros, state: &State) -> bool {
        let heard =
            |r: &&Report| now <= r.heard_at + HOLD * self.every_us && state.nodes.contains_key(&r.usage.ip);
        let heard = self.reports.values().filter(heard).count();
        heard * MOST.1 >= state.nodes.len() * MOST.0
    }

    /// What was reported here since the last time, for the other registries.
    pub fn news(&mut self) -> Vec<Usage> {
        let fresh = self.reports.values_mut().filter(|r| !r.told);
        fresh
            .map(|r| {
                r.told = true;
                r.usage.clone()
            })
            .collect()
    }

    /// Requests a second that were lately asked for a tenant, by the proxies that are heard of.
    pub fn wanted(&self, now: Micros, tenant: &str) -> f64 {
        let key = tenant_key(tenant);
        let heard = self.reports.values().filter(|r| now <= r.heard_at + HOLD * self.every_us);
        let uses = heard.flat_map(|r| &r.usage.tenants).filter(|u| u.tenant == key);
        uses.fold(0.0, |sum, u| sum + f64::from(u.wanted) / 1000.0)
    }

    /// What a proxy that is heard of reports under a key.
    pub fn use_of(&self, now: Micros, key: u32, ip: Ipv4Addr) -> Option<Use> {
        let report = self.reports.get(&ip).filter(|r| now <= r.heard_at + HOLD * self.every_us)?;
        report.usage.tenants.iter().find(|u| u.tenant == key).copied()
    }

    /// Readings of all tenants that have a quota and that anybody asks anything for.
    pub fn read(&mut self, now: Micros, state: &State) -> Vec<Reading> {
        self.reports.retain(|ip, _| state.nodes.contains_key(ip));
        let Some(config) = &state.config else { return Vec::new() };
        let nodes = state.nodes.len().max(1);
        let hold = HOLD * self.every_us;
        let mut uses: HashMap<u32, Vec<Use>> = HashMap::new();
        let mut silent = nodes;
        for r in self.reports.values().filter(|r| now <= r.heard_at + hold) {
            silent -= 1;
            r.usage.tenants.iter().for_each(|u| uses.entry(u.tenant).or_default().push(*u));
        }
        self.sums.retain(|tenant, _| uses.contains_key(tenant));
        let mut readings = Vec::with_capacity(uses.len());
        for t in config.tenants.iter().flatten().filter(|t| t.rate > 0.0) {
            let tenant = tenant_key(&t.name);
            let Some(uses) = uses.get(&tenant) else { continue };
            let unheard = silent as f64 * t.rate / nodes as f64;
            let sum = |of: fn(&Use) -> u32| uses.iter().map(|u| f64::from(of(u)) / 1000.0).sum::<f64>();
            let wanted = uses.iter().map(|u| u64::from(u.wanted)).sum();
            self.floods.insert(tenant, (wanted, (FLOOD * t.rate * 1000.0) as u64));
            let (all_wanted, all_used) = (sum(|u| u.wanted) + unheard, sum(|u| u.used) + unheard);
            let (at, mean) = self.sums.entry(tenant).or_insert((now, all_used));
            *mean = steady(*mean, all_used, now.saturating_sub(*at) as f64);
            *at = now;
            // Rounded once: with many proxies each part is only a few thousandths.
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

/// A moving mean that follows at once what chance does not explain: requests that come by chance at a rate are seldom
/// off by more than a few roots of it.
fn steady(mean: f64, now: f64, passed_us: f64) -> f64 {
    if now > mean + CHANCE * mean.max(1.0).sqrt() {
        return now;
    }
    mean + (now - mean) * (1.0 - (-passed_us / STEADY_US).exp())
}
