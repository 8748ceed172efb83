//! A booking of room at the back end as an operator sends it, and whether it can be meant under a configuration.

use crate::config::{Config, Route};
use crate::facts::{Facts, MOST, Res, clash, parse, unfit};
use std::collections::BTreeSet;

/// Most names of tenants or routes.
const MOST_NAMES: usize = 64;
/// In one ramp, of the window: two of them fit into it.
const RAMPS: u64 = 2;

/// How much: one is told, the other follows by Little's law.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Much {
    Flight(u32),
    RateS(f64),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    pub tenants: Vec<String>,
    pub routes: Vec<String>,
    pub service: String,
    pub much: Much,
    /// Times of day, in milliseconds since 1970.
    pub opens_ms: u64,
    pub closes_ms: u64,
    pub ramp_ms: u32,
    /// Others may use what is not in use.
    pub lend: bool,
}

/// What the configuration says of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Meant {
    pub flight: u32,
    /// The longest aim of the routes it is for.
    pub residence_ms: u32,
    /// What the tenants' quotas come to, in requests in flight; None: one of them has no quota, or it is for all.
    pub quota_flight: Option<u32>,
    /// The regions whose servers its requests may go to; None: all.
    pub homes: Option<BTreeSet<String>>,
}

impl Asked {
    pub fn read(bytes: &[u8]) -> Res<Asked> {
        let value = parse(bytes)?;
        let f = Facts::of("", &value)?;
        let names = |key: &str| -> Res<Vec<String>> {
            let mut names = f.each(key, "a name", |n| (!n.is_empty()).then(|| n.to_string()))?;
            names.sort();
            names.dedup();
            if names.len() > MOST_NAMES {
                return Err(f.bad(key, &format!("at most {MOST_NAMES} names")));
            }
            Ok(names)
        };
        let (tenants, routes) = (names("tenant_refs")?, names("route_refs")?);
        if tenants.is_empty() && routes.is_empty() {
            return Err(unfit(f.path("tenant_refs"), "a tenant, or a route in route_refs", None));
        }
        let much = match (f.count("flight_count")?, f.number("rate_per_s")?) {
            (Some(n), None) if n > 0 => Much::Flight(n),
            (None, Some(n)) if n > 0.0 => Much::RateS(n),
            (None, Some(_)) => return Err(f.bad("rate_per_s", "a number above 0")),
            (Some(_), Some(_)) => {
                return Err(clash("rate_per_s", "flight_count is given too: one follows from the other"));
            }
            _ => return Err(f.bad("flight_count", "a whole number above 0, or rate_per_s")),
        };
        let opens_ms = f.must_whole("opens_ms", "milliseconds since 1970", MOST)?;
        let closes_ms = f.must_whole("closes_ms", "milliseconds since 1970", MOST)?;
        if closes_ms <= opens_ms {
            return Err(clash("closes_ms", "not after opens_ms"));
        }
        let ramp_ms = f.count("ramp_ms")?.unwrap_or(0);
        if u64::from(ramp_ms) * RAMPS > closes_ms - opens_ms {
            return Err(f.bad("ramp_ms", "milliseconds, at most half of the window"));
        }
        let lend = match f.text("unused_room")? {
            None | Some("lend") => true,
            Some("hold") => false,
            Some(_) => return Err(f.bad("unused_room", "lend or hold")),
        };
        let service = f.name("service_ref")?;
        Ok(Asked { tenants, routes, service, much, opens_ms, closes_ms, ramp_ms, lend })
    }

    pub fn under(&self, config: &Config) -> Res<Meant> {
        if !config.services.iter().any(|s| s.name == self.service) {
            return Err(clash("service_ref", format!("no service {:?} in the configuration", self.service)));
        }
        // Room may be booked at a service on standby, ahead of the configuration that gives it a weight.
        let goes = |r: &&Route| {
            r.to.iter().any(|(service, _)| *service == self.service) || r.standby.contains(&self.service)
        };
        let mut routes: Vec<&Route> = Vec::new();
        for (i, name) in self.routes.iter().enumerate() {
            let refused = |why: &str| clash(format!("route_refs[{i}]"), format!("{why} {name:?}"));
            let known = config.routes.iter().find(|r| r.name == *name);
            let known = known.ok_or_else(|| refused("no route of this name in the configuration:"))?;
            if !goes(&known) {
                return Err(refused("the service of this booking is not one of the route"));
            }
            routes.push(known);
        }
        if self.routes.is_empty() {
            routes = config.routes.iter().filter(goes).collect();
        }
        let Some(residence_ms) = routes.iter().map(|r| r.target_ms).max() else {
            return Err(clash("service_ref", format!("no route goes to {:?}", self.service)));
        };
        // A route that aims at nothing is never in flight.
        let residence_ms = u32::try_from(residence_ms).unwrap_or(u32::MAX).max(1);
        let seconds = f64::from(residence_ms) / 1000.0;
        let mut quota_s = (!self.tenants.is_empty()).then_some(0.0);
        let mut homes = Homes::default();
        homes.meet(routes.iter().map(|r| &r.homes));
        let mut tenants = Vec::new();
        for (i, name) in self.tenants.iter().enumerate() {
            let known = config.tenants.iter().flatten().find(|t| t.name == *name);
            let known = known.ok_or_else(|| {
                clash(format!("tenant_refs[{i}]"), format!("no tenant {name:?} in the configuration"))
            })?;
            quota_s = quota_s.filter(|_| known.rate > 0.0).map(|all| all + known.rate);
            tenants.push(&known.homes);
        }
        homes.meet(tenants);
        let flight = match self.much {
            Much::Flight(n) => n,
            Much::RateS(rate) => whole((rate * seconds).ceil()).max(1),
        };
        let quota_flight = quota_s.map(|rate| whole((rate * seconds).floor()));
        Ok(Meant { flight, residence_ms, quota_flight, homes: homes.0 })
    }
}

fn whole(n: f64) -> u32 {
    n.clamp(0.0, f64::from(u32::MAX)) as u32
}

/// Regions that are left; None: all.
#[derive(Default)]
struct Homes(Option<BTreeSet<String>>);

impl Homes {
    /// Only those in which one of `lists` is at home; an empty list is at home everywhere.
    fn meet<'a>(&mut self, lists: impl IntoIterator<Item = &'a Vec<String>>) {
        let lists: Vec<&Vec<String>> = lists.into_iter().collect();
        if lists.is_empty() || lists.iter().any(|l| l.is_empty()) {
            return;
        }
        let any: BTreeSet<String> = lists.into_iter().flatten().cloned().collect();
        self.0 = Some(match self.0.take() {
            Some(left) => left.intersection(&any).cloned().collect(),
            None => any,
        });
    }
}
