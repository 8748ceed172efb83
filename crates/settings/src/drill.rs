//! A fire drill as an operator asks for it: a rehearsed fault for one caller. Read by hand, and checked against a
//! configuration, so that a rule that meets nobody, everybody, or has no end is refused with the reason.

use crate::config::Config;
use crate::facts::{Facts, Res, clash, parse};
use jzon::JsonValue;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

const HOUR_MS: u64 = 3_600_000;
const MINUTE_MS: u64 = 60_000;
/// A count is kept entry by entry.
pub const MOST_COUNT: u64 = 64;
/// Where the guard is left out: others' failures may rise by so much, in thousandths of their requests; so many real
/// failures the caller may have.
const GUARD: Guard = Guard { others: 100, real: 20 };
/// Headers that every request has, or that the proxy uses up.
const NO_CALLER: [&str; 5] = ["Host", "Authorization", "Content-Length", "Connection", "X-Tenant-Name"];
/// Shares are kept in millionths.
const WHOLE: f64 = 1e6;

/// All that are given must match.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    pub tenant: Option<String>,
    /// [`key_name`] of the key.
    pub key: Option<String>,
    pub route: Option<String>,
    pub header: Option<(String, String)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    Late { ms: u32 },
    Refused,
    NoServer,
    UnreachableServer(String),
    UnreachableZone(String),
    Closed,
    Lost,
    Cut,
    Slow { ms: u32 },
}

/// Whether a request that meets a fault may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It is not sent, and will not be.
    Never,
    /// A server's answer was there: it ran as that says.
    AsServed,
}

impl Fault {
    pub fn ran(&self) -> Ran {
        match self {
            Fault::Late { .. } | Fault::Lost | Fault::Cut | Fault::Slow { .. } => Ran::AsServed,
            _ => Ran::Never,
        }
    }

    pub fn name(&self) -> &'static str {
        match self {
            Fault::Late { .. } => "late",
            Fault::Refused => "refused",
            Fault::NoServer => "no_server",
            Fault::UnreachableServer(_) | Fault::UnreachableZone(_) => "unreachable",
            Fault::Closed => "closed",
            Fault::Lost => "lost",
            Fault::Cut => "cut",
            Fault::Slow { .. } => "slow",
        }
    }
}

/// When a drill ends by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guard {
    /// Others' failures have risen by this, in thousandths of their requests.
    pub others: u32,
    /// So many of the caller's requests have failed that met no rehearsed fault.
    pub real: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drill {
    pub name: String,
    pub caller: Caller,
    pub fault: Fault,
    /// In millionths of the caller's requests.
    pub share: u32,
    /// Over the whole mesh.
    pub count: Option<u32>,
    pub for_ms: u32,
    pub by: String,
    pub why: String,
    pub guard: Guard,
}

/// What a key is called where it must not be seen.
pub fn key_name(key: &str) -> String {
    format!("{:08x}", xxh3_64(key.as_bytes()) as u32)
}

impl Drill {
    pub fn read(name: &str, bytes: &[u8]) -> Res<Drill> {
        let value = parse(bytes)?;
        let top = Facts::of("", &value)?;
        let sane = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        if name.is_empty() || name.len() > 64 || !name.bytes().all(sane) {
            return Err(clash("name", "up to 64 letters, digits, dashes, dots"));
        }
        let share = top.number("share")?.unwrap_or(1.0);
        if share <= 0.0 || share > 1.0 {
            return Err(top.bad("share", "a part above 0 and up to 1"));
        }
        let count = top.whole("count", "", MOST_COUNT)?;
        if count == Some(0) {
            return Err(top.bad("count", "at least 1"));
        }
        let for_ms = top.must_whole("duration_ms", "milliseconds", HOUR_MS)?;
        if for_ms == 0 {
            return Err(top.bad("duration_ms", "an end, at least a millisecond away"));
        }
        let guard = top.inner("guard")?;
        let mut kept = GUARD;
        if let Some(g) = &guard {
            kept.others = g.number("others_share")?.map_or(kept.others, |n| (n.min(1.0) * 1000.0) as u32);
            kept.real = g.count("real_failures")?.unwrap_or(kept.real);
        }
        Ok(Drill {
            name: name.to_string(),
            caller: caller(&top.must_inner("caller")?)?,
            fault: fault(&top.must_inner("fault")?)?,
            share: (share * WHOLE).ceil() as u32,
            count: count.map(|n| n as u32),
            for_ms: for_ms as u32,
            by: top.name("asked_by")?,
            why: top.name("reason")?,
            guard: kept,
        })
    }

    /// Whether the caller is somebody by this configuration, and not everybody.
    pub fn check(&self, config: &Config) -> Res<()> {
        let c = &self.caller;
        let route = c.route.as_ref().map(|name| {
            let found = config.routes.iter().find(|r| r.name == *name);
            found.ok_or_else(|| clash("caller.route_name", format!("no route {name:?}")))
        });
        let route = route.transpose()?;
        if c.tenant.is_none() && c.key.is_none() {
            return Ok(());
        }
        if route.is_some_and(|r| r.keyless) {
            let why = "the route asks for no key, so its callers have no tenant";
            return Err(clash("caller.route_name", why));
        }
        let mut tenants: Vec<_> = config.tenants.iter().flatten().collect();
        if let Some(name) = &c.tenant {
            tenants.retain(|t| t.name == *name);
            if tenants.is_empty() {
                return Err(clash("caller.tenant_name", format!("no tenant {name:?}")));
            }
        }
        if let Some(key) = &c.key
            && !tenants.iter().any(|t| t.keys.iter().any(|k| key_name(k) == *key))
        {
            return Err(clash("caller.key_name", format!("no key of such a tenant is named {key:?}")));
        }
        Ok(())
    }

    /// As it is read.
    pub fn write(&self) -> JsonValue {
        let c = &self.caller;
        let header = c.header.as_ref().map_or(
            JsonValue::Null,
            |(name, value)| jzon::object! { header_name: name.as_str(), header_value: value.as_str() },
        );
        let mut fault = jzon::object! { fault_kind: self.fault.name() };
        match &self.fault {
            Fault::Late { ms } | Fault::Slow { ms } => fault["delay_ms"] = (*ms).into(),
            Fault::UnreachableServer(id) => fault["server_id"] = id.as_str().into(),
            Fault::UnreachableZone(zone) => fault["zone_name"] = zone.as_str().into(),
            _ => {}
        }
        jzon::object! {
            caller: {
                tenant_name: c.tenant.as_deref(),
                key_name: c.key.as_deref(),
                route_name: c.route.as_deref(),
                header: header,
            },
            fault: fault,
            share: f64::from(self.share) / WHOLE,
            count: self.count,
            duration_ms: self.for_ms,
            asked_by: self.by.as_str(),
            reason: self.why.as_str(),
            guard: { others_share: f64::from(self.guard.others) / 1000.0, real_failures: self.guard.real },
        }
    }
}

fn caller(f: &Facts) -> Res<Caller> {
    let text = |key: &str| f.at(key).map(|_| f.name(key)).transpose();
    let header = f
        .inner("header")?
        .map(|h| -> Res<(String, String)> { Ok((h.name("header_name")?, h.name("header_value")?)) });
    let header: Option<(String, String)> = header.transpose()?;
    let caller =
        Caller { tenant: text("tenant_name")?, key: text("key_name")?, route: text("route_name")?, header };
    if let Some((name, _)) = &caller.header
        && NO_CALLER.iter().any(|n| n.eq_ignore_ascii_case(name))
    {
        return Err(clash(f.path("header"), format!("{name} tells no caller from another")));
    }
    if caller.tenant.is_none() && caller.key.is_none() && caller.header.is_none() {
        return Err(clash("caller", "matches everybody: a tenant_name, key_name or header is needed"));
    }
    Ok(caller)
}

fn fault(f: &Facts) -> Res<Fault> {
    let ms = || {
        let ms = f.must_whole("delay_ms", "milliseconds", MINUTE_MS)?;
        if ms == 0 { Err(f.bad("delay_ms", "at least 1")) } else { Ok(ms as u32) }
    };
    Ok(match f.text("fault_kind")? {
        Some("late") => Fault::Late { ms: ms()? },
        Some("slow") => Fault::Slow { ms: ms()? },
        Some("refused") => Fault::Refused,
        Some("no_server") => Fault::NoServer,
        Some("closed") => Fault::Closed,
        Some("lost") => Fault::Lost,
        Some("cut") => Fault::Cut,
        Some("unreachable") => match (f.at("server_id"), f.at("zone_name")) {
            (Some(_), None) => Fault::UnreachableServer(f.name("server_id")?),
            (None, Some(_)) => Fault::UnreachableZone(f.name("zone_name")?),
            _ => return Err(f.bad("server_id", "either a server_id or a zone_name")),
        },
        _ => {
            let all = "late, refused, no_server, unreachable, closed, lost, cut or slow";
            return Err(f.bad("fault_kind", all));
        }
    })
}
