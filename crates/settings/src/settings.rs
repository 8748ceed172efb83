//! What one process is told by its settings file.

use crate::facts::{Facts, MOST, Res, Trouble, parse};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// The variable that holds the path of the settings file.
pub const VARIABLE: &str = "CURLEWFRONT_NODE_FILE";

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub name: String,
    pub role: String,
    pub class: String,
    /// What callers from outside reach here: `edge`, `control`, `directory`.
    pub serves: BTreeSet<String>,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub region: String,
    pub loss_counted: bool,
    pub initial_start: bool,
    pub data_directory: Option<PathBuf>,
    pub limits: Machine,
    pub listen: BTreeMap<String, SocketAddr>,
    /// From the first through the last.
    pub internal_ports: RangeInclusive<u16>,
    pub seeds: Vec<SocketAddr>,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    pub beat_period_ms: u64,
    pub rule_parts: BTreeSet<String>,
    pub tolerance: Tolerance,
    pub bounds: Bounds,
}

/// What the machine has; none: not told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Machine {
    pub cpu_fraction: Option<f64>,
    pub core_count: Option<f64>,
    pub memory_size_mb: Option<u64>,
    pub descriptor_limit: Option<u64>,
    pub link_rate_mbps: Option<f64>,
    pub disk_size_mb: Option<u64>,
}

/// What may be lost at one time while every rule is still kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tolerance {
    pub machines: u64,
    pub zones: u64,
    pub regions: u64,
}

/// One struct of figures that go by their names in the file; a figure left out belongs to a part not in
/// force.
macro_rules! bounds {
    ($($read:ident: $type:ty { $($name:ident),* $(,)? })*) => {
        #[derive(Clone, Copy, Debug, Default, PartialEq)]
        pub struct Bounds { $($(pub $name: Option<$type>,)*)* }

        impl Bounds {
            fn read(f: &Facts) -> Res<Bounds> {
                Ok(Bounds { $($($name: $read(f, stringify!($name))?,)*)* })
            }
        }
    };
}

bounds! {
    millis: u64 {
        contact_ms, ack_limit_ms, drain_limit_ms, loss_slack_ms, config_apply_ms, revert_slack_ms,
        stretch_max_ms, revocation_ms, evacuation_ms, revert_limit_ms,
    }
    figure: f64 {
        seed_delay_s, reuse_delay_s, sync_time_s, grace_period_s, retry_ratio, retry_window_s, retry_slack,
        quota_period_s, quota_excess, quota_margin, exposure_share, exposure_margin, cold_excess, cold_margin, recovery_s, ttl_max_s,
    }
    truth: bool { revocation_global }
}

/// Milliseconds may be written as a fraction; what is kept is never longer than what is told.
fn millis(f: &Facts, key: &str) -> Res<Option<u64>> {
    Ok(f.number(key)?.map(|n| n as u64))
}

fn figure(f: &Facts, key: &str) -> Res<Option<f64>> {
    f.number(key)
}

fn truth(f: &Facts, key: &str) -> Res<Option<bool>> {
    f.truth(key)
}

impl Settings {
    /// Reads the file that the environment names.
    pub fn load() -> Res<Settings> {
        let unreadable = |path: &str, why: String| Trouble::Unreadable { path: path.to_string(), why };
        let path = std::env::var(VARIABLE).map_err(|e| unreadable(VARIABLE, e.to_string()))?;
        let text = std::fs::read_to_string(&path).map_err(|e| unreadable(&path, e.to_string()))?;
        Settings::read(&text)
    }

    pub fn read(text: &str) -> Res<Settings> {
        let value = parse(text.as_bytes())?;
        let top = Facts::of("", &value)?;
        let (node, net) = (top.must_inner("self_node")?, top.must_inner("network_terms")?);
        let (platform, terms) = (top.must_inner("platform_terms")?, top.must_inner("term_table")?);
        let (zone, region) = (node.name("zone_name")?, node.name("region_name")?);
        let mut zones: BTreeMap<String, String> =
            net.map("zones", "the name of a region", |r| Some(r.to_string()))?.into_iter().collect();
        zones.entry(zone.clone()).or_insert_with(|| region.clone());
        let ip = "an IPv4 address";
        let beat = "beat_period_ms";
        Ok(Settings {
            name: node.name("node_name")?,
            role: node.text("node_role")?.unwrap_or_default().to_string(),
            class: node.text("machine_class")?.unwrap_or_default().to_string(),
            serves: node.texts("served_roles")?.into_iter().collect(),
            ip: node.must("ip_address", ip, node.parsed("ip_address", ip))?,
            zone,
            region,
            loss_counted: node.truth("loss_counted")?.unwrap_or(false),
            initial_start: node.truth("initial_start")?.unwrap_or(false),
            data_directory: node.text("data_directory")?.map(PathBuf::from),
            limits: node.inner("limits")?.map_or(Ok(Machine::default()), |f| machine(&f))?,
            listen: net.map("listen_table", ADDRESS, |a| a.parse().ok())?.into_iter().collect(),
            internal_ports: ports(&net)?,
            seeds: net.each("seed_nodes", ADDRESS, |a| a.parse().ok())?,
            zones,
            beat_period_ms: platform.must(
                beat,
                "a number of milliseconds above 0",
                millis(&platform, beat).map(|n| n.filter(|n| *n > 0)),
            )?,
            rule_parts: terms.texts("rule_parts")?.into_iter().collect(),
            tolerance: match terms.inner("loss_tolerance")? {
                None => Tolerance::default(),
                Some(f) => Tolerance {
                    machines: f.whole("machine_losses", "", MOST)?.unwrap_or(0),
                    zones: f.whole("zones", "", MOST)?.unwrap_or(0),
                    regions: f.whole("region_losses", "", MOST)?.unwrap_or(0),
                },
            },
            bounds: terms.inner("rule_bounds")?.map_or(Ok(Bounds::default()), |f| Bounds::read(&f))?,
        })
    }

    pub fn front_plain(&self) -> Res<SocketAddr> {
        self.address("front_plain")
    }

    pub fn readiness(&self) -> Res<SocketAddr> {
        self.address("readiness")
    }

    pub fn control(&self) -> Res<SocketAddr> {
        self.address("control_port")
    }

    pub fn directory(&self) -> Res<SocketAddr> {
        self.address("directory_port")
    }

    /// The address by that name; what is missing is named, as a role that serves it cannot do without.
    pub fn address(&self, name: &str) -> Res<SocketAddr> {
        let missing = || Trouble::Unfit {
            path: format!("network_terms.listen_table.{name}"),
            expected: ADDRESS.to_string(),
            found: "nothing".to_string(),
        };
        self.listen.get(name).copied().ok_or_else(missing)
    }

    pub fn in_force(&self, part: &str) -> bool {
        self.rule_parts.contains(part)
    }
}

const ADDRESS: &str = "an address and port";

fn machine(f: &Facts) -> Res<Machine> {
    Ok(Machine {
        cpu_fraction: f.number("cpu_fraction")?,
        core_count: f.number("core_count")?,
        memory_size_mb: f.number("memory_size_mb")?.map(|n| n as u64),
        descriptor_limit: f.number("descriptor_limit")?.map(|n| n as u64),
        link_rate_mbps: f.number("link_rate_mbps")?,
        disk_size_mb: f.number("disk_size_mb")?.map(|n| n as u64),
    })
}

fn ports(net: &Facts) -> Res<RangeInclusive<u16>> {
    let told: Vec<_> = net.list("internal_ports")?.iter().map(|v| v.as_f64()).collect();
    match told[..] {
        [Some(first), Some(last)] if first >= 1.0 && first <= last && last <= f64::from(u16::MAX) => {
            Ok(first as u16..=last as u16)
        }
        _ => Err(net.bad("internal_ports", "the first and the last port")),
    }
}
