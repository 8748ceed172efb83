//! What a soaked installation looks like: its places, machines, servers and clients, and the bounds of its rules.

/// The bounds of the large deployments, by the names of the settings.
const LARGE_BOUNDS: [(&str, f64); 8] = [
    ("contact_ms", 6000.0),
    ("ack_limit_ms", 10_000.0),
    ("sync_time_s", 6.0),
    ("drain_limit_ms", 5000.0),
    ("grace_period_s", 10.0),
    ("config_apply_ms", 5000.0),
    ("retry_slack", 630.0),
    ("cold_margin", 10.0),
];

#[derive(Clone, Debug)]
pub struct Shape {
    /// Zones with their regions.
    pub zones: Vec<(String, String)>,
    /// The zones of the core machines.
    pub cores: Vec<String>,
    /// Proxies of a usual day, at least and at most, and of one with as many processes as are let.
    pub proxies: (usize, usize),
    pub crowded: usize,
    /// One day of so many is a crowded one.
    pub crowded_every: u64,
    pub services: Vec<(String, usize)>,
    pub tenants: usize,
    /// Requests a second that a tenant may send.
    pub quota: u32,
    pub routes: usize,
    pub clients: usize,
    pub rate: f64,
    /// The length of a day, in seconds.
    pub length_s: u64,
    pub bounds: Vec<(String, f64)>,
}

fn named(pairs: &[(&str, &str)]) -> Vec<(String, String)> {
    pairs.iter().map(|(a, b)| (a.to_string(), b.to_string())).collect()
}

fn counted(pairs: &[(&str, usize)]) -> Vec<(String, usize)> {
    pairs.iter().map(|(name, n)| (name.to_string(), *n)).collect()
}

impl Shape {
    /// Ten zones in two regions, five core machines in the zones of one, hundreds of proxies: the large deployment, with as
    /// many servers and requests as one process can stand in for.
    pub fn large() -> Shape {
        let zones = (1..=5).flat_map(|n| {
            [(format!("south-{n}"), "south".to_string()), (format!("north-{n}"), "north".to_string())]
        });
        Shape {
            zones: zones.collect(),
            cores: (1..=5).map(|n| format!("south-{n}")).collect(),
            proxies: (60, 110),
            crowded: 240,
            crowded_every: 6,
            services: counted(&[("tiro", 40), ("utu", 20), ("kawe", 10), ("mahere", 30)]),
            tenants: 40,
            quota: 20,
            routes: 12,
            clients: 300,
            rate: 250.0,
            length_s: 40,
            bounds: LARGE_BOUNDS.map(|(name, value)| (name.to_string(), value)).to_vec(),
        }
    }

    /// The same rules over a few processes, for a run of a minute.
    pub fn small() -> Shape {
        Shape {
            zones: named(&[
                ("south-1", "south"),
                ("north-1", "north"),
                ("south-2", "south"),
                ("north-2", "north"),
            ]),
            cores: ["south-1", "south-2", "south-1"].map(str::to_string).to_vec(),
            proxies: (6, 10),
            crowded: 16,
            crowded_every: 4,
            services: counted(&[("tiro", 6), ("utu", 5), ("kawe", 4), ("mahere", 5)]),
            tenants: 8,
            quota: 20,
            routes: 6,
            clients: 40,
            rate: 40.0,
            length_s: 36,
            ..Shape::large()
        }
    }
}
