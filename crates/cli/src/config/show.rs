//! A configuration as tables: routes, services, tenants, limits.

use crate::table::Table;
use settings::Config;
use settings::config::{Route, show_version};

const ROUTE_COLUMNS: [&str; 11] = [
    "ROUTE",
    "HOST",
    "PREFIX",
    "KIND",
    "DEADLINE MS",
    "TARGET MS",
    "PRIORITY",
    "TRIES",
    "KEYS",
    "HOMES",
    "TO",
];
const SERVICE_COLUMNS: [&str; 5] = ["SERVICE", "HEALTH", "CONNECTIONS", "COLD S", "COLD A SECOND"];
const TENANT_COLUMNS: [&str; 6] = ["TENANT", "KEYS", "PRIORITY", "A SECOND", "BURST", "HOMES"];

pub fn tables(config: &Config) -> String {
    let heading = format!("version {}, {}\n", show_version(config.version), sizes(config));
    let parts =
        [Some(heading), Some(routes(config)), Some(services(config)), tenants(config), Some(limits(config))];
    parts.into_iter().flatten().collect::<Vec<_>>().join("\n")
}

/// How many routes, services and tenants there are.
pub fn sizes(config: &Config) -> String {
    let tenants = config.tenants.as_ref();
    let tenants = tenants.map_or("no keys needed".to_string(), |list| format!("{} tenants", list.len()));
    format!("{} routes, {} services, {tenants}", config.routes.len(), config.services.len())
}

fn routes(config: &Config) -> String {
    let mut table = Table::new(&ROUTE_COLUMNS);
    for route in &config.routes {
        let needs_key = config.tenants.is_some() && !route.keyless;
        table.row(vec![
            route.name.clone(),
            route.host.clone(),
            route.prefix.clone(),
            format!("{:?}", route.kind).to_lowercase(),
            route.deadline_ms.to_string(),
            route.target_ms.to_string(),
            route.priority.to_string(),
            route.attempts.to_string(),
            if needs_key { "yes" } else { "no" }.to_string(),
            names(&route.homes),
            destinations(route),
        ]);
    }
    table.show()
}

/// The services that a route leads to, with their weights where there are several, those on standby last.
fn destinations(route: &Route) -> String {
    if let ([(service, _)], []) = (route.to.as_slice(), route.standby.as_slice()) {
        return service.clone();
    }
    let weighted = route.to.iter().map(|(service, weight)| format!("{service}:{weight}"));
    let standby = route.standby.iter().map(|service| format!("{service}:0"));
    weighted.chain(standby).collect::<Vec<_>>().join(",")
}

fn services(config: &Config) -> String {
    let mut table = Table::new(&SERVICE_COLUMNS);
    for service in &config.services {
        table.row(vec![
            service.name.clone(),
            or_dash(service.health_path.clone()),
            or_dash(service.connection_cap),
            service.cold_period_s.to_string(),
            or_dash(service.cold_rate_s),
        ]);
    }
    table.show()
}

/// None: no keys are needed. The keys themselves are only in the raw configuration.
fn tenants(config: &Config) -> Option<String> {
    let mut table = Table::new(&TENANT_COLUMNS);
    for tenant in config.tenants.as_ref()? {
        table.row(vec![
            tenant.name.clone(),
            tenant.keys.len().to_string(),
            or_dash(tenant.priority),
            if tenant.rate == 0.0 { "no limit".into() } else { tenant.rate.to_string() },
            tenant.burst.to_string(),
            names(&tenant.homes),
        ]);
    }
    Some(table.show())
}

fn limits(config: &Config) -> String {
    let limits = &config.limits;
    format!(
        "heads up to {} bytes within {} ms, bodies up to {} bytes, idle up to {} ms\n",
        limits.max_header_bytes, limits.header_wait_ms, limits.max_body_bytes, limits.idle_limit_ms
    )
}

fn names(list: &[String]) -> String {
    if list.is_empty() { "-".to_string() } else { list.join(",") }
}

fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or("-".to_string(), |value| value.to_string())
}
