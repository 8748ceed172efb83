//! The operators' configuration: read whole, checked, altered by named items, and given back as it was sent.

use crate::facts::{Facts, MOST, Res, clash, parse, unfit};
use jzon::JsonValue;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

const TEN_MINUTES_MS: u64 = 600_000;
/// Where a limit is left out.
const LIMITS: Limits = Limits {
    max_header_bytes: 65_536,
    max_body_bytes: 1 << 26,
    header_wait_ms: 10_000,
    idle_limit_ms: 60_000,
};

#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    pub version: u32,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    pub limits: Limits,
    /// None: the configuration has no `tenant_list`, and requests need no keys.
    pub tenants: Option<Vec<Tenant>>,
    /// As it is laid out: what was put, or what a patch made of it. Unknown fields, columns and the forms of
    /// numbers live on here, at the price of the text alone.
    text: Arc<str>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    Safe,
    Unsafe,
    Download,
}

impl Kind {
    /// Whether a request may run more than once.
    pub fn repeatable(self) -> bool {
        self != Kind::Unsafe
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub prefix: String,
    pub kind: Kind,
    pub deadline_ms: u64,
    /// Left out: the deadline.
    pub target_ms: u64,
    /// 0, also where left out, is the highest.
    pub priority: u32,
    /// The services that may get its requests, with their weights, all above 0; one of weight 1 where the route is not
    /// split. Never empty.
    pub to: Vec<(String, f64)>,
    /// Services that its split names with weight 0. They get none of its requests, whatever becomes of the others.
    pub standby: Vec<String>,
    /// The servers that one try may be sent to; at least 1, also where left out.
    pub attempts: u32,
    pub keyless: bool,
    pub homes: Vec<String>,
}

/// Which requests come to a route, and what may be done with them. A route keeps its key under any name, and a route
/// that takes over the name of another does not take over its key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RouteKey {
    pub host: String,
    pub prefix: String,
    pub kind: Kind,
}

impl Route {
    pub fn key(&self) -> RouteKey {
        RouteKey { host: self.host.clone(), prefix: self.prefix.clone(), kind: self.kind }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    pub health_path: Option<String>,
    pub connection_cap: Option<u32>,
    pub protocol: Option<String>,
    pub tls: bool,
    pub cold_period_s: f64,
    /// None: a cold server has no bound.
    pub cold_rate_s: Option<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    pub name: String,
    pub keys: Vec<String>,
    pub priority: Option<u32>,
    /// Requests a second and a burst above that; a rate of 0: no limit.
    pub rate: f64,
    pub burst: f64,
    pub homes: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub max_header_bytes: u64,
    pub max_body_bytes: u64,
    pub header_wait_ms: u64,
    pub idle_limit_ms: u64,
}

/// A version as bodies carry it: eight hexadecimal digits.
pub fn version(text: &str) -> Option<u32> {
    (text.len() == 8).then(|| hexadecimal(text)).flatten()
}

pub fn show_version(version: u32) -> String {
    format!("{version:08x}")
}

/// The version in `If-Match`, in quotes or not, where `0` stands for none yet.
pub fn if_match(text: &str) -> Option<u32> {
    let text = text.trim();
    hexadecimal(text.strip_prefix('"').and_then(|t| t.strip_suffix('"')).unwrap_or(text))
}

fn hexadecimal(text: &str) -> Option<u32> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u32::from_str_radix(text, 16).ok()).flatten()
}

impl Config {
    /// Reads a whole configuration. What may not stand in any place is refused; whether its version is above
    /// the current one is for `check_version` to say.
    pub fn read(bytes: &[u8]) -> Res<Config> {
        let value = parse(bytes)?;
        let (routes, services, limits, tenants) = whole(&value)?;
        let version = version_of(&value)?;
        // `parse` has seen that the bytes are text.
        let text = String::from_utf8_lossy(bytes).into();
        Ok(Config { version, routes, services, limits, tenants, text })
    }

    /// The version that a whole configuration or a patch would make.
    pub fn version_in(bytes: &[u8]) -> Option<u32> {
        version_of(&parse(bytes).ok()?).ok()
    }

    /// The whole configuration, laid out as it is put.
    pub fn write(&self) -> String {
        self.text.to_string()
    }

    pub fn text(&self) -> &str {
        &self.text
    }

    /// The text, without a copy.
    pub fn shared_text(&self) -> Arc<str> {
        self.text.clone()
    }

    pub fn check_version(&self, current: u32) -> Res<()> {
        let (sent, current_text) = (show_version(self.version), show_version(current));
        match self.version > current {
            true => Ok(()),
            false => Err(clash("config_version", format!("{sent} is not above the current {current_text}"))),
        }
    }

    /// This configuration with named items altered. First the names to remove go (those not there are passed
    /// over), then items are replaced, each whole and in its place, or added at the end. A column that a
    /// replacing item does not give is left out of it; one that the table does not have yet is added to the
    /// table.
    pub fn patch(&self, bytes: &[u8]) -> Res<Config> {
        let patch = parse(bytes)?;
        let f = Facts::of("", &patch)?;
        version_of(&patch)?;
        let mut whole = parse(self.text.as_bytes())?;
        whole["config_version"] = patch["config_version"].clone();
        if f.inner("remove_names")?.is_some() {
            for (key, names) in patch["remove_names"].entries() {
                // Asking for a key that is not there would make it.
                if whole.has_key(key) {
                    remove(&mut whole[key], &format!("remove_names.{key}"), names)?;
                }
            }
        }
        if let Some(upsert) = f.inner("upsert_items")? {
            for (key, _) in patch["upsert_items"].entries() {
                if let Some(items) = Table::of(&upsert, key)? {
                    items.put_into(&mut whole[key])?;
                }
            }
        }
        Config::read(whole.dump().as_bytes())
    }

    pub fn index(&self) -> Index {
        let mut index = Index { hosts: HashMap::new(), keys: HashMap::new(), keyed: self.tenants.is_some() };
        for (i, route) in self.routes.iter().enumerate() {
            let host = index.hosts.entry(bare(&route.host).to_ascii_lowercase()).or_default();
            host.longest = host.longest.max(route.prefix.len());
            host.prefixes.entry(route.prefix.clone()).or_insert(i);
        }
        for (i, tenant) in self.tenants.iter().flatten().enumerate() {
            index.keys.extend(tenant.keys.iter().map(|key| (key.clone(), i)));
        }
        index
    }
}

fn version_of(value: &JsonValue) -> Res<u32> {
    let f = Facts::of("", value)?;
    let read = f.text("config_version")?.and_then(version);
    read.ok_or_else(|| f.bad("config_version", "eight hexadecimal digits"))
}

type Whole = (Vec<Route>, Vec<Service>, Limits, Option<Vec<Tenant>>);

fn whole(value: &JsonValue) -> Res<Whole> {
    let top = Facts::of("", value)?;
    let table = |key: &str| top.must(key, "column_set and row_set", Table::of(&top, key));
    let services = table("service_list")?.each(service)?;
    let known: BTreeSet<&str> = services.iter().map(|s| s.name.as_str()).collect();
    let routes = table("route_list")?.each(|f| route(f, &known))?;
    let tenants = Table::of(&top, "tenant_list")?.map(|t| t.each(tenant)).transpose()?;
    let mut holders: HashMap<&str, &str> = HashMap::new();
    for tenant in tenants.iter().flatten() {
        for key in &tenant.keys {
            // The key itself is not for logs.
            if let Some(other) = holders.insert(key, &tenant.name).filter(|other| *other != tenant.name) {
                return Err(clash("tenant_list", format!("{other:?} and {:?} share a key", tenant.name)));
            }
        }
    }
    let limits = limits(&top.must_inner("limits")?)?;
    Ok((routes, services, limits, tenants))
}

fn limits(f: &Facts) -> Res<Limits> {
    let read = |key, unit, or| Ok(f.whole(key, unit, MOST)?.unwrap_or(or));
    Ok(Limits {
        max_header_bytes: read("max_header_bytes", "bytes", LIMITS.max_header_bytes)?,
        max_body_bytes: read("max_body_bytes", "bytes", LIMITS.max_body_bytes)?,
        header_wait_ms: read("header_wait_ms", "milliseconds", LIMITS.header_wait_ms)?,
        idle_limit_ms: read("idle_limit_ms", "milliseconds", LIMITS.idle_limit_ms)?,
    })
}

fn route(f: &Facts, known: &BTreeSet<&str>) -> Res<Route> {
    let kind = match f.text("route_kind")? {
        Some("safe") => Kind::Safe,
        Some("unsafe") => Kind::Unsafe,
        Some("download") => Kind::Download,
        _ => return Err(f.bad("route_kind", "safe, unsafe or download")),
    };
    let prefix = f.name("path_prefix")?;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(f.bad("path_prefix", "a path that begins and ends with a slash"));
    }
    let deadline_ms = f.must_whole("deadline_ms", "milliseconds", TEN_MINUTES_MS)?;
    let Destinations { to, standby } = destinations(f, known)?;
    Ok(Route {
        name: f.name("entity_name")?,
        host: f.name("host_name")?,
        prefix,
        kind,
        deadline_ms,
        target_ms: f.whole("target_ms", "milliseconds", MOST)?.unwrap_or(deadline_ms),
        priority: f.count("priority_level")?.unwrap_or(0),
        to,
        standby,
        attempts: f.count("attempt_limit")?.unwrap_or(1).max(1),
        keyless: f.truth("keyless")?.unwrap_or(false),
        homes: f.texts("home_regions")?,
    })
}

/// Where the requests of a route may go.
struct Destinations {
    to: Vec<(String, f64)>,
    standby: Vec<String>,
}

/// A split goes before a single service; both may name only services that the configuration has.
fn destinations(f: &Facts, known: &BTreeSet<&str>) -> Res<Destinations> {
    let service = |f: &Facts| {
        let name = f.name("service_ref")?;
        match known.contains(name.as_str()) {
            true => Ok(name),
            false => Err(f.bad("service_ref", "a service of service_list")),
        }
    };
    let single = f.at("service_ref").map(|_| service(f)).transpose()?;
    let (mut to, mut standby) = (Vec::new(), Vec::new());
    for (i, part) in f.list("weighted_split")?.iter().enumerate() {
        let part = Facts::of(&format!("{}[{i}]", f.path("weighted_split")), part)?;
        let name = service(&part)?;
        let weight = "split_weight";
        let weight = part.must(weight, "a number that is not negative", part.number(weight))?;
        if weight > 0.0 { to.push((name, weight)) } else { standby.push(name) }
    }
    match (to.is_empty(), standby.is_empty(), single) {
        (false, ..) => Ok(Destinations { to, standby }),
        (true, false, _) => Err(f.bad("weighted_split", "a split_weight above 0")),
        (true, true, Some(name)) => Ok(Destinations { to: vec![(name, 1.0)], standby }),
        (true, true, None) => Err(f.bad("service_ref", "a service, or weighted_split")),
    }
}

fn service(f: &Facts) -> Res<Service> {
    Ok(Service {
        name: f.name("entity_name")?,
        health_path: f.text("health_path")?.map(str::to_string),
        connection_cap: f.count("connection_cap")?,
        protocol: f.text("protocol")?.map(str::to_string),
        tls: f.truth("tls_mode")?.unwrap_or(false),
        cold_period_s: f.number("cold_period_s")?.unwrap_or(0.0),
        cold_rate_s: f.number("cold_rate_s")?,
    })
}

fn tenant(f: &Facts) -> Res<Tenant> {
    Ok(Tenant {
        name: f.name("entity_name")?,
        keys: f.texts("access_keys")?,
        priority: f.count("priority_level")?,
        rate: f.number("rate_per_s")?.unwrap_or(0.0),
        burst: f.number("burst_size")?.unwrap_or(0.0),
        homes: f.texts("home_regions")?,
    })
}

/// Rows of values in the order of the columns, one of which holds the name of the item.
struct Table<'a> {
    path: String,
    columns: Vec<&'a str>,
    rows: Vec<&'a [JsonValue]>,
    names: Vec<&'a str>,
}

impl<'a> Table<'a> {
    fn of(f: &Facts<'a>, key: &str) -> Res<Option<Table<'a>>> {
        let Some(inner) = f.inner(key)? else { return Ok(None) };
        let columns = inner.each("column_set", "the name of a field", Some)?;
        if columns.iter().collect::<BTreeSet<_>>().len() < columns.len() {
            return Err(inner.bad("column_set", "each field once"));
        }
        // Without either list the table would pass for an empty one.
        for list in ["column_set", "row_set"] {
            inner.must(list, "a list", Ok(inner.at(list)))?;
        }
        let mut table = Table { path: f.path(key), columns, rows: Vec::new(), names: Vec::new() };
        let named = table.columns.iter().position(|c| *c == "entity_name");
        let mut seen = BTreeSet::new();
        for (i, row) in inner.list("row_set")?.iter().enumerate() {
            let path = format!("{}.row_set[{i}]", table.path);
            let expected = format!("a list of {} values", table.columns.len());
            let row = row
                .as_array()
                .filter(|r| r.len() == table.columns.len())
                .ok_or_else(|| unfit(path.clone(), &expected, Some(row)))?;
            let name = named.and_then(|at| row[at].as_str()).filter(|name| !name.is_empty());
            let name = name.ok_or_else(|| {
                let found = named.map(|at| &row[at]).filter(|v| !v.is_null());
                unfit(format!("{path}.entity_name"), "a text that is not empty", found)
            })?;
            if !seen.insert(name) {
                return Err(clash(path, format!("another item of this table is named {name:?}")));
            }
            table.rows.push(row);
            table.names.push(name);
        }
        Ok(Some(table))
    }

    fn each<T>(&self, read: impl Fn(&Facts) -> Res<T>) -> Res<Vec<T>> {
        let row = |(i, row): (usize, &&[JsonValue])| {
            read(&Facts::row(format!("{}.row_set[{i}]", self.path), &self.columns, row))
        };
        self.rows.iter().enumerate().map(row).collect()
    }

    /// Replaces and adds these items in the table `base`, which may not be there yet.
    fn put_into(&self, base: &mut JsonValue) -> Res<()> {
        if self.rows.is_empty() {
            return Ok(()); // a table without items may be without columns too
        }
        if base.is_null() {
            *base = jzon::object! { column_set: self.columns.clone(), row_set: jzon::array![] };
        }
        let column = |name: &str| JsonValue::from(name);
        let mut places = HashMap::new();
        for name in &self.columns {
            let columns = list(&mut base["column_set"], &self.path)?;
            let at = columns.iter().position(|c| c.as_str() == Some(name)).unwrap_or_else(|| {
                columns.push(column(name));
                columns.len() - 1
            });
            places.insert(*name, at);
        }
        let width = base["column_set"].len();
        let rows = list(&mut base["row_set"], &self.path)?;
        for row in rows.iter_mut() {
            list(row, &self.path)?.resize(width, JsonValue::Null);
        }
        let named = places["entity_name"];
        let mut at: HashMap<String, usize> =
            rows.iter().enumerate().filter_map(|(i, r)| Some((r[named].as_str()?.to_string(), i))).collect();
        for (name, values) in self.names.iter().zip(&self.rows) {
            let mut row = vec![JsonValue::Null; width];
            for (field, value) in self.columns.iter().zip(*values) {
                row[places[field]] = value.clone();
            }
            let i = *at.entry(name.to_string()).or_insert(rows.len());
            match rows.get_mut(i) {
                Some(there) => *there = row.into(),
                None => rows.push(row.into()),
            }
        }
        Ok(())
    }
}

fn remove(base: &mut JsonValue, path: &str, names: &JsonValue) -> Res<()> {
    if names.is_null() || base.is_null() {
        return Ok(());
    }
    let wanted: Option<BTreeSet<&str>> =
        names.as_array().and_then(|names| names.iter().map(|name| name.as_str()).collect());
    let wanted = wanted.ok_or_else(|| unfit(path.to_string(), "a list of names", Some(names)))?;
    let named = list(&mut base["column_set"], path)?.iter().position(|c| c.as_str() == Some("entity_name"));
    let gone = |row: &JsonValue| named.and_then(|at| row[at].as_str()).is_some_and(|n| wanted.contains(n));
    list(&mut base["row_set"], path)?.retain(|row| !gone(row));
    Ok(())
}

fn list<'a>(value: &'a mut JsonValue, path: &str) -> Res<&'a mut Vec<JsonValue>> {
    value.as_array_mut().ok_or_else(|| clash(path, "the configuration has no table of this name"))
}

/// Finds routes and tenants; holds positions in the configuration it was built from.
#[derive(Clone, Debug)]
pub struct Index {
    hosts: HashMap<String, Host>,
    keys: HashMap<String, usize>,
    keyed: bool,
}

#[derive(Clone, Debug, Default)]
struct Host {
    prefixes: HashMap<String, usize>,
    /// Bounds the work on a path of many slashes.
    longest: usize,
}

impl Index {
    /// The route of this host whose prefix begins the path and is longest; a port and a query do not count.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        let host = bare(host);
        let host = match host.bytes().any(|b| b.is_ascii_uppercase()) {
            true => self.hosts.get(&host.to_ascii_lowercase()),
            false => self.hosts.get(host),
        }?;
        let path = path.split(['?', '#']).next()?;
        let mut end = path.len().min(host.longest);
        loop {
            // Prefixes end with a slash; one byte stands for itself, so that no character is cut.
            end = path.as_bytes()[..end].iter().rposition(|b| *b == b'/')?;
            if let Some(route) = host.prefixes.get(&path[..=end]) {
                return Some(*route);
            }
        }
    }

    pub fn tenant_by_key(&self, key: &str) -> Option<usize> {
        self.keys.get(key).copied()
    }

    /// Whether requests carry keys, save on routes that are keyless.
    pub fn needs_keys(&self) -> bool {
        self.keyed
    }
}

/// A host without its port.
fn bare(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) && !name.ends_with(':') => name,
        _ => host,
    }
}
