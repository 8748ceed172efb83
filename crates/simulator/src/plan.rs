//! The operator's model of the configuration, and what an operator may want changed.

use crate::record::Booking;
use crate::scenario::{Scenario, route_of};
use crate::{MS, Micros, SECOND};
use settings::Config;
use settings::config::show_version;
use settings::drill::Drill;

/// A route. Operators mean it by its path; its name in the configuration may pass to another route.
#[derive(Clone, Debug)]
pub struct RoutePlan {
    pub name: String,
    /// The path prefix without its slashes.
    pub path: String,
    pub kind: &'static str,
    pub to: Vec<(String, u32)>,
    pub homes: Vec<String>,
}

#[derive(Clone, Debug)]
pub struct TenantPlan {
    pub name: String,
    pub keys: Vec<String>,
    pub rate: u32,
}

#[derive(Clone, Debug, Default)]
pub struct Plan {
    pub version: u32,
    pub services: Vec<String>,
    pub routes: Vec<RoutePlan>,
    pub tenants: Vec<TenantPlan>,
    pub cold: (f64, f64),
    /// Routes are named by their places in the list, so that names move as routes come and go.
    pub names_by_place: bool,
}

pub const HOST: &str = "front.example";
pub const DEADLINE: Micros = 3 * SECOND;
/// How long servers that pause do so within an answer.
pub const PAUSE: Micros = 2200 * MS;

impl Plan {
    fn route_rows(&self, routes: &[RoutePlan]) -> jzon::JsonValue {
        let columns = [
            "entity_name",
            "host_name",
            "path_prefix",
            "route_kind",
            "deadline_ms",
            "target_ms",
            "weighted_split",
            "attempt_limit",
            "home_regions",
        ];
        let mut rows = jzon::JsonValue::new_array();
        for r in routes {
            let mut split = jzon::JsonValue::new_array();
            for (service, weight) in &r.to {
                let one = jzon::object! { service_ref: service.as_str(), split_weight: *weight };
                split.push(one).expect("a list");
            }
            let prefix = format!("/{}/", r.path);
            let row = jzon::array![
                r.name.as_str(),
                HOST,
                prefix,
                r.kind,
                DEADLINE / MS,
                800,
                split,
                2,
                r.homes.clone()
            ];
            rows.push(row).expect("a list");
        }
        jzon::object! { column_set: columns.to_vec(), row_set: rows }
    }

    pub fn whole(&self) -> String {
        let mut services = jzon::JsonValue::new_array();
        for s in &self.services {
            services.push(jzon::array![s.as_str(), "/health", self.cold.0, self.cold.1]).expect("a list");
        }
        let mut tenants = jzon::JsonValue::new_array();
        for t in &self.tenants {
            let row = jzon::array![t.name.as_str(), t.keys.clone(), t.rate, t.rate];
            tenants.push(row).expect("a list");
        }
        let service_columns = vec!["entity_name", "health_path", "cold_period_s", "cold_rate_s"];
        let tenant_columns = vec!["entity_name", "access_keys", "rate_per_s", "burst_size"];
        let whole = jzon::object! {
            config_version: show_version(self.version),
            route_list: self.route_rows(&self.routes),
            service_list: jzon::object! { column_set: service_columns, row_set: services },
            limits: jzon::object! {
                max_header_bytes: 16384,
                max_body_bytes: 1 << 20,
                header_wait_ms: 3000,
                idle_limit_ms: 15000
            },
            tenant_list: jzon::object! { column_set: tenant_columns, row_set: tenants },
        };
        whole.dump()
    }

    /// The change of one route alone.
    pub fn patch(&self, route: &str) -> String {
        let routes: Vec<RoutePlan> = self.routes.iter().filter(|r| r.path == route).cloned().collect();
        let patch = jzon::object! {
            config_version: show_version(self.version),
            upsert_items: jzon::object! { route_list: self.route_rows(&routes) },
        };
        patch.dump()
    }
}

/// What makes a configuration one that can never be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    UnknownService,
    /// Its second half is missing.
    CutShort,
    BarePrefix,
    LongDeadline,
    OddKind,
    SharedKey,
    OldVersion,
}

impl Flaw {
    pub const ALL: [(&'static str, Flaw); 7] = [
        ("unknown-service", Flaw::UnknownService),
        ("cut-short", Flaw::CutShort),
        ("bare-prefix", Flaw::BarePrefix),
        ("long-deadline", Flaw::LongDeadline),
        ("odd-kind", Flaw::OddKind),
        ("shared-key", Flaw::SharedKey),
        ("old-version", Flaw::OldVersion),
    ];

    pub fn named(name: &str) -> Option<Flaw> {
        Flaw::ALL.iter().find(|(known, _)| *known == name).map(|(_, flaw)| *flaw)
    }

    /// A proper configuration's text, spoiled.
    fn spoil(self, text: String) -> String {
        match self {
            Flaw::UnknownService | Flaw::SharedKey | Flaw::OldVersion => text,
            Flaw::CutShort => text[..text.len() / 2].to_string(),
            Flaw::BarePrefix => text.replacen("\"/r-", "\"r-", 1),
            Flaw::LongDeadline => text.replacen(&format!(",{},", DEADLINE / MS), ",600001,", 1),
            Flaw::OddKind => text.replacen("\"safe\"", "\"sage\"", 1),
        }
    }
}

/// What an operator wants changed.
#[derive(Clone, Debug)]
pub enum Wish {
    First,
    Shift {
        route: String,
        service: String,
        patch: bool,
    },
    /// Services with their weights.
    Split {
        route: String,
        parts: Vec<(String, u32)>,
    },
    Revoke {
        tenant: String,
    },
    Rekey {
        tenant: String,
    },
    Rate {
        tenant: String,
        rate: u32,
    },
    Homes {
        route: String,
        regions: Vec<String>,
    },
    /// `first`: at the head of the list, where it is at the end otherwise.
    AddRoute {
        route: String,
        service: String,
        first: bool,
    },
    RemoveRoute {
        route: String,
    },
    /// Two routes get each other's names.
    SwapNames {
        one: String,
        other: String,
    },
    /// Routes are named by their places from now on.
    NameByPlace,
    Invalid {
        flaw: Flaw,
    },
    Evacuate {
        zone: String,
        on: bool,
    },
    Drill(Box<Drill>),
    StopDrill {
        name: String,
    },
    Book(Booking),
    Unbook {
        name: String,
    },
}

impl Wish {
    /// Whether it is a change of the configuration.
    pub fn configures(&self) -> bool {
        use Wish::{Book, Drill, Evacuate, StopDrill, Unbook};
        !matches!(self, Evacuate { .. } | Drill(_) | StopDrill { .. } | Book(_) | Unbook { .. })
    }
}

/// What a wish makes of a plan.
pub struct Wished {
    pub plan: Plan,
    /// Sent as a patch of this route alone.
    patch: Option<String>,
    /// It can never be taken.
    pub invalid: bool,
    flaw: Option<Flaw>,
}

impl Wished {
    /// What would be in force; where it can never be taken, what is.
    pub fn config(&self, now: &Plan) -> Config {
        let plan = if self.invalid { now } else { &self.plan };
        Config::read(plan.whole().as_bytes()).expect("a plan makes a proper configuration")
    }

    /// The call that asks for it: its method, what it builds on, its body.
    pub fn call(&self, base: u32) -> (&'static str, String, String) {
        match &self.patch {
            Some(route) if base > 0 => ("PATCH", show_version(base), self.plan.patch(route)),
            _ => self.put(base),
        }
    }

    /// The same, whole.
    pub fn put(&self, base: u32) -> (&'static str, String, String) {
        let if_match = if base == 0 { "0".to_string() } else { show_version(base) };
        let whole = self.plan.whole();
        ("PUT", if_match, self.flaw.map_or(whole.clone(), |flaw| flaw.spoil(whole)))
    }
}

impl Plan {
    /// With which a scenario begins.
    pub fn of(scenario: &Scenario) -> Plan {
        let kinds = ["safe", "unsafe", "download"];
        let services = scenario.servers.len();
        let routes = (0..scenario.routes.max(services)).map(|n| {
            let service = &scenario.servers[n % services].0;
            let name = route_of(service);
            let name = if n < services { name } else { format!("{name}-{}", n / services + 1) };
            RoutePlan {
                path: name.clone(),
                name,
                kind: kinds[n % services % 3],
                to: vec![(service.clone(), 1)],
                homes: Vec::new(),
            }
        });
        let tenants = (0..scenario.tenants).map(|t| TenantPlan {
            name: format!("t{t}"),
            keys: vec![format!("key-t{t}")],
            rate: scenario.quota,
        });
        Plan {
            version: 0,
            services: scenario.servers.iter().map(|s| s.0.clone()).collect(),
            routes: routes.collect(),
            tenants: tenants.collect(),
            cold: scenario.cold,
            names_by_place: false,
        }
    }

    fn route_mut(&mut self, path: &str) -> Option<&mut RoutePlan> {
        self.routes.iter_mut().find(|r| r.path == path)
    }

    fn swap_names(&mut self, one: &str, other: &str) {
        let place = |path: &str| self.routes.iter().position(|r| r.path == path);
        let (Some(one), Some(other)) = (place(one), place(other)) else { return };
        if self.names_by_place {
            return self.routes.swap(one, other);
        }
        let name = self.routes[one].name.clone();
        self.routes[one].name = std::mem::replace(&mut self.routes[other].name, name);
    }

    fn name_by_place(&mut self) {
        for (n, route) in self.routes.iter_mut().enumerate() {
            route.name = format!("route-{}", n + 1);
        }
    }

    pub fn wished(&self, wish: &Wish, version: u32) -> Wished {
        let mut plan = Plan { version, ..self.clone() };
        let (mut patch, mut found) = (None, None);
        let tenant = |plan: &mut Plan, name: &str| plan.tenants.iter().position(|t| t.name == name);
        match wish.clone() {
            Wish::First => {}
            Wish::Shift { route, service, patch: part } => {
                if let Some(r) = plan.route_mut(&route) {
                    r.to = vec![(service, 1)];
                }
                patch = part.then_some(route);
            }
            Wish::Split { route, parts } => {
                if let Some(r) = plan.route_mut(&route) {
                    r.to = parts;
                }
                patch = Some(route);
            }
            Wish::Revoke { tenant: name } => {
                if let Some(at) = tenant(&mut plan, &name) {
                    plan.tenants[at].keys.remove(0);
                }
            }
            Wish::Rekey { tenant: name } => {
                if let Some(at) = tenant(&mut plan, &name) {
                    let key = format!("key-{name}-v{}", plan.version);
                    plan.tenants[at].keys.push(key);
                }
            }
            Wish::Rate { tenant: name, rate } => {
                if let Some(at) = tenant(&mut plan, &name) {
                    plan.tenants[at].rate = rate;
                }
            }
            Wish::Homes { route, regions } => {
                if let Some(r) = plan.route_mut(&route) {
                    r.homes = regions;
                }
            }
            Wish::AddRoute { route, service, first } => {
                let to = vec![(service, 1)];
                let place = if first { 0 } else { plan.routes.len() };
                let (name, path) = (route.clone(), route);
                plan.routes.insert(place, RoutePlan { name, path, kind: "safe", to, homes: Vec::new() });
            }
            Wish::RemoveRoute { route } => plan.routes.retain(|r| r.path != route),
            Wish::SwapNames { one, other } => plan.swap_names(&one, &other),
            Wish::NameByPlace => plan.names_by_place = true,
            Wish::Invalid { flaw } => {
                found = Some(flaw);
                match flaw {
                    Flaw::UnknownService => plan.routes[0].to = vec![("no-such-service".into(), 1)],
                    Flaw::SharedKey => {
                        let key = plan.tenants[0].keys[0].clone();
                        plan.tenants[1].keys.push(key);
                    }
                    Flaw::OldVersion => plan.version = self.version,
                    Flaw::CutShort | Flaw::BarePrefix | Flaw::LongDeadline | Flaw::OddKind => {}
                }
            }
            // Orders that are not configurations.
            Wish::Evacuate { .. }
            | Wish::Drill(_)
            | Wish::StopDrill { .. }
            | Wish::Book(_)
            | Wish::Unbook { .. } => {}
        }
        if plan.names_by_place {
            plan.name_by_place();
        }
        Wished { plan, patch, invalid: found.is_some(), flaw: found }
    }
}
