//! The meter: what all proxies together do for each tenant. Each registry adds up what the proxies report, those that
//! follow the other registries included, so there is no single one that could be lost.
//!
//! A proxy that is not heard of counts as using its even share: it may. So a registry that is cut off from the others
//! reads too much, never too little, and the proxies that follow it keep to less.

use rack::Micros;
use rack::state::State;
use rack::talk::{Reading, Usage, Use, tenant_key};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Reports hold for so many times the time between two of them.
const HOLD: Micros = 3;

struct Report {
    usage: Usage,
    heard_at: Micros,
    told: bool,
}

pub struct Meter {
    every_us: Micros,
    reports: BTreeMap<Ipv4Addr, Report>,
}

impl Meter {
    /// `every_us`: how often proxies report.
    pub fn new(every_us: Micros) -> Meter {
        Meter { every_us, reports: BTreeMap::new() }
    }

    /// A report, from the proxy itself or by another registry (`told`). An older one than is known is passed over.
    pub fn take(&mut self, now: Micros, usage: Usage, told: bool) {
        let known = self.reports.get(&usage.ip);
        if known.is_some_and(|k| k.usage.life == usage.life && k.usage.count >= usage.count) {
            return;
        }
        self.reports.insert(usage.ip, Report { usage, heard_at: now, told });
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

    /// Readings of all tenants that have a quota and that anybody asks anything for.
    pub fn read(&mut self, now: Micros, state: &State) -> Vec<Reading> {
        self.reports.retain(|ip, _| state.nodes.contains_key(ip));
        let Some(config) = &state.config else { return Vec::new() };
        let nodes = state.nodes.len().max(1) as u64;
        let hold = HOLD * self.every_us;
        let heard: Vec<&Report> = self.reports.values().filter(|r| now <= r.heard_at + hold).collect();
        let silent = nodes.saturating_sub(heard.len() as u64);
        let tenants = config.tenants.iter().flatten().filter(|t| t.rate > 0.0);
        let read = tenants.filter_map(|t| {
            let key = tenant_key(&t.name);
            let even = (t.rate * 1000.0) as u64 / nodes;
            let of = |r: &&Report| r.usage.tenants.iter().find(|u| u.tenant == key).copied();
            let uses: Vec<Use> = heard.iter().filter_map(of).collect();
            let wanted = uses.iter().map(|u| u64::from(u.wanted)).sum::<u64>() + silent * even;
            let used = uses.iter().map(|u| u64::from(u.used)).sum::<u64>() + silent * even;
            // Rounded once: with many proxies each part is only a few thousandths.
            let even = 1.0 / nodes as f64;
            let part = |u: &Use| (f64::from(u.wanted) / wanted.max(1) as f64).max(even);
            let idle = (nodes - uses.len() as u64) as f64;
            let shares = uses.iter().map(part).sum::<f64>() + idle * even;
            let shares = (shares * 1000.0).ceil() as u64;
            let short = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
            (!uses.is_empty()).then(|| Reading {
                tenant: key,
                wanted: short(wanted),
                used: short(used),
                shares: short(shares),
            })
        });
        read.collect()
    }
}
