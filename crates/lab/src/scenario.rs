//! A scenario: the size of a run, its servers, customers, clients and the faults at their times, read from TOML.
//!
//! Every key, its unit and its default is in `docs/lab/README.md`. Unknown keys are errors; every error names the
//! file, line and column (from `toml`) or the key and why (from [`Scenario::check`]).

use serde::{Deserialize, Serialize};
use std::path::Path;

/// A whole scenario, as read from its file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// Seeds the schedule: arrivals, customers, which servers and gateways a fault takes.
    #[serde(default = "one")]
    pub seed: u64,
    /// Seconds of load, after all gateways answer their health check.
    pub duration_s: f64,
    /// Gateway processes.
    pub gateways: usize,
    pub servers: Servers,
    #[serde(default)]
    pub meter: Meter,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub limits: Limits,
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    #[serde(rename = "plan")]
    pub plans: Vec<Plan>,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// The stand-in servers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    pub count: usize,
    #[serde(default = "zones")]
    pub zones: Vec<String>,
    /// Requests in work at once; beyond them a request waits.
    #[serde(default = "slots")]
    pub slots: usize,
    /// Requests that may wait; beyond them a request is turned away (503, `Not-Started: 1`).
    #[serde(default = "queue")]
    pub queue: usize,
    /// Mean service time in milliseconds and its coefficient of variation (log-normal).
    #[serde(default = "service_ms")]
    pub service_ms: f64,
    #[serde(default = "half")]
    pub service_cv: f64,
    /// Each request held beyond the slots makes service this much slower, as a part of the mean.
    #[serde(default = "slow_per_extra")]
    pub slow_per_extra: f64,
    /// Connections a server holds at once; a request on one beyond them is turned away.
    #[serde(default = "max_conns")]
    pub max_conns: usize,
    /// A connection idle this long is closed by the server.
    #[serde(default = "idle_close_s")]
    pub idle_close_s: f64,
    /// A server that starts bears this part of its slots, rising evenly to all of them over `cold_s`.
    #[serde(default = "cold_from")]
    pub cold_from: f64,
    #[serde(default = "cold_s")]
    pub cold_s: f64,
    /// A cold server that holds more than this multiple of what it bears for `fall_ms` falls over: it fails all it
    /// is given for `down_s`.
    #[serde(default = "fall_multiple")]
    pub fall_multiple: f64,
    #[serde(default = "fall_ms")]
    pub fall_ms: f64,
    #[serde(default = "down_s")]
    pub down_s: f64,
    /// Bytes of a served answer's body.
    #[serde(default = "answer_bytes")]
    pub answer_bytes: usize,
}

/// The meter: answers carry the customer's use over all servers in the last finished period, in percent of its
/// rate, `late_ms` after that period ended.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Meter {
    #[serde(default = "yes")]
    pub on: bool,
    #[serde(default = "meter_period_ms")]
    pub period_ms: f64,
    #[serde(default = "meter_late_ms")]
    pub late_ms: f64,
}

/// The stand-in discovery: one agent for each gateway, each with its own delay.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// A change reaches a gateway's agent this long after it was made.
    #[serde(default = "delay_ms")]
    pub delay_ms: f64,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Further tries after a refusal or a failure.
    #[serde(default = "one_retry")]
    pub retries: u32,
    /// Share of clients that wait as long as `Retry-After` says; the others wait `backoff_ms`.
    #[serde(default = "honour")]
    pub honour: f64,
    #[serde(default = "backoff_ms")]
    pub backoff_ms: f64,
    /// Share of clients that try again at once, whatever they are told.
    #[serde(default)]
    pub at_once: f64,
    /// A try is given up after this part of its deadline.
    #[serde(default = "give_up")]
    pub give_up: f64,
    /// Share of clients that give up after a tenth of that.
    #[serde(default)]
    pub impatient: f64,
    /// Mark later tries with `Client-Retry: 1`.
    #[serde(default = "yes")]
    pub marks_retry: bool,
    /// Share of requests of classes with a body that send one of `huge_body_kb`, or send theirs slowly.
    #[serde(default)]
    pub huge_body: f64,
    #[serde(default = "huge_body_kb")]
    pub huge_body_kb: usize,
    #[serde(default)]
    pub slow_body: f64,
    /// The front takes this long to notice a gateway that died.
    #[serde(default = "notice_s")]
    pub notice_s: f64,
    /// How unevenly a customer's requests are spread over its gateways: the deviation of the logarithm of their
    /// weights.
    #[serde(default = "skew")]
    pub skew: f64,
}

/// What each gateway may hold.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    #[serde(default = "memory_mb")]
    pub memory_mb: u64,
    #[serde(default = "sockets")]
    pub sockets: u64,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    pub aim_ms: f64,
    pub deadline_ms: f64,
    /// `repeatable` (GET, no body), `once` or `by_key` (with `window_ms` and `group`).
    #[serde(default = "repeatable")]
    pub effect: String,
    #[serde(default)]
    pub window_ms: f64,
    #[serde(default = "all")]
    pub group: String,
    /// Share of the requests.
    #[serde(default = "one_f")]
    pub share: f64,
}

/// A plan, and how many of its customers come and how much they ask.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    /// Units a second over all gateways, and the store's size; 0: no such quota.
    pub rate: f64,
    #[serde(default)]
    pub burst: f64,
    /// Attempts out at once over all gateways; 0: none.
    #[serde(default)]
    pub at_once: u32,
    #[serde(default)]
    pub ceiling_rate: f64,
    #[serde(default)]
    pub ceiling_burst: f64,
    pub customers: usize,
    /// A customer's set of gateways, as a share of all of them, drawn evenly between these.
    #[serde(default = "spread")]
    pub spread: [f64; 2],
    /// Units of a request, drawn evenly between these whole numbers.
    #[serde(default = "units")]
    pub units: [u32; 2],
    /// Shares of customers that ask a part of their rate, nearly all of it, far more all the time, or far more
    /// in spikes; the rest ask `calm_use`.
    #[serde(default = "calm_use")]
    pub calm_use: [f64; 2],
    #[serde(default)]
    pub heavy: f64,
    #[serde(default = "heavy_x")]
    pub heavy_x: [f64; 2],
    #[serde(default)]
    pub spiky: f64,
    #[serde(default = "spike_x")]
    pub spike_x: [f64; 2],
    #[serde(default = "spike_s")]
    pub spike_s: f64,
    #[serde(default = "spike_every_s")]
    pub spike_every_s: f64,
}

/// A fault at a time. Which servers or gateways it takes is drawn from the seed.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at_s: f64,
    pub kind: FaultKind,
    /// How long it lasts; 0: to the end (for `replace`, `drain`, `kill`: the time over which it is spread).
    #[serde(default)]
    pub for_s: f64,
    /// Share of the servers (or of the gateways, for faults of gateways) it takes.
    #[serde(default = "one_f")]
    pub share: f64,
    /// A zone, for `zone_lost` and `zone_cut`; the first zone where none is named.
    #[serde(default)]
    pub zone: Option<String>,
    /// How many times slower, for `slow`.
    #[serde(default = "slow_factor")]
    pub factor: f64,
    /// Seconds after which a killed gateway starts again; 0: never.
    #[serde(default)]
    pub restart_s: f64,
}

/// The kinds of fault.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Servers answer `factor` times slower.
    Slow,
    /// Servers answer 500 at once.
    FailFast,
    /// Servers take connections and requests and never answer.
    Silent,
    /// Servers reset connections under requests.
    Reset,
    /// Servers answer with spoilt framing.
    Spoil,
    /// Servers are replaced by new, cold ones, spread over `for_s`: listed as draining, gone after the grace.
    Replace,
    /// Servers are listed as draining and stay so.
    Drain,
    /// A zone's processes die: connections reset and refused; back cold after `for_s`.
    ZoneLost,
    /// A zone is cut off: its servers are silent for `for_s`.
    ZoneCut,
    /// Changes of the list reach a share of the gateways `factor` seconds late.
    ListLate,
    /// The list stops for a share of the gateways: nothing more is told to them.
    ListStale,
    /// A share of the servers leave the list and come back every second.
    ListFlap,
    /// The list names only the rest of the servers for a while; they are not touched.
    ListShrink,
    /// A share of the gateways are killed with SIGKILL; they start again after `restart_s`.
    Kill,
    /// All gateways are restarted a tenth at a time with SIGTERM, over `for_s`.
    RestartAll,
    /// A new configuration with SIGHUP: discovery moves to a new agent for each gateway.
    Reload,
}

impl FaultKind {
    /// Faults that take gateways rather than servers.
    pub fn of_gateways(self) -> bool {
        matches!(
            self,
            FaultKind::Kill
                | FaultKind::RestartAll
                | FaultKind::Reload
                | FaultKind::ListLate
                | FaultKind::ListStale
        )
    }
}

impl Plan {
    /// What a customer's use is measured against, units a second: its rate, or without one what its attempts at once
    /// come to at a quarter of a second each.
    pub fn usual_rate(&self) -> f64 {
        if self.rate > 0.0 { self.rate } else { f64::from(self.at_once) * 4.0 }
    }
}

impl Scenario {
    /// Reads and checks a scenario file.
    pub fn load(path: &Path) -> Result<Scenario, String> {
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("{}: cannot read: {e}", path.display()))?;
        Scenario::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Parses and checks the text of a scenario.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        scenario.check()?;
        Ok(scenario)
    }

    /// What cannot be played, named by its key.
    pub fn check(&self) -> Result<(), String> {
        let bad = |key: &str, why: &str| Err(format!("{key}: {why}"));
        let share = |x: f64| (0.0..=1.0).contains(&x);
        if !(self.duration_s > 0.0 && self.duration_s <= 3600.0) {
            return bad("duration_s", "expected more than 0 and at most 3600 seconds");
        }
        if !(1..=64).contains(&self.gateways) {
            return bad("gateways", "expected 1 to 64 gateway processes");
        }
        let s = &self.servers;
        if !(1..=1000).contains(&s.count) {
            return bad("servers.count", "expected 1 to 1000 servers");
        }
        if s.zones.is_empty() || s.zones.iter().any(|z| z.is_empty()) {
            return bad("servers.zones", "expected one name or more, none empty");
        }
        if s.slots == 0 || s.max_conns == 0 {
            return bad("servers.slots", "expected slots and max_conns of 1 or more");
        }
        if !(s.service_ms > 0.0 && s.service_cv >= 0.0 && s.slow_per_extra >= 0.0) {
            return bad(
                "servers.service_ms",
                "expected a time above 0, a deviation and a slowing of 0 or more",
            );
        }
        if !(share(s.cold_from) && s.cold_s >= 0.0 && s.fall_multiple >= 1.0 && s.fall_ms >= 0.0) {
            return bad(
                "servers.cold_from",
                "expected cold_from in 0..=1, cold_s and fall_ms of 0 or more, fall_multiple of 1 or more",
            );
        }
        if !(self.meter.period_ms >= 10.0 && self.meter.late_ms >= 0.0) {
            return bad("meter.period_ms", "expected a period of 10 ms or more and a lateness of 0 or more");
        }
        let c = &self.clients;
        for (key, x) in [
            ("clients.honour", c.honour),
            ("clients.at_once", c.at_once),
            ("clients.impatient", c.impatient),
            ("clients.huge_body", c.huge_body),
            ("clients.slow_body", c.slow_body),
        ] {
            if !share(x) {
                return bad(key, "expected a share in 0..=1");
            }
        }
        if !(c.give_up > 0.0 && c.give_up <= 1.0) {
            return bad("clients.give_up", "expected a part of the deadline above 0 and at most 1");
        }
        if self.limits.sockets < 64 {
            return bad("limits.sockets", "expected 64 or more");
        }
        if self.classes.is_empty() {
            return bad("class", "expected one class or more");
        }
        for (n, k) in self.classes.iter().enumerate() {
            let key = |part: &str| format!("class[{n}].{part}");
            if k.name.is_empty() || self.classes[..n].iter().any(|o| o.name == k.name) {
                return bad(&key("name"), "expected a name of its own");
            }
            if !(k.aim_ms > 0.0 && k.deadline_ms >= k.aim_ms) {
                return bad(&key("aim_ms"), "expected an aim above 0 and a deadline no shorter");
            }
            if !matches!(k.effect.as_str(), "repeatable" | "once" | "by_key") {
                return bad(&key("effect"), "expected repeatable, once or by_key");
            }
            if !matches!(k.group.as_str(), "all" | "zone" | "cell") {
                return bad(&key("group"), "expected all, zone or cell");
            }
            if k.share.is_nan() || k.share <= 0.0 {
                return bad(&key("share"), "expected a share above 0");
            }
        }
        if self.plans.is_empty() {
            return bad("plan", "expected one plan or more");
        }
        for (n, p) in self.plans.iter().enumerate() {
            let key = |part: &str| format!("plan[{n}].{part}");
            if p.name.is_empty() || self.plans[..n].iter().any(|o| o.name == p.name) {
                return bad(&key("name"), "expected a name of its own");
            }
            if !(p.rate >= 0.0 && p.burst >= 0.0 && p.ceiling_rate >= 0.0 && p.ceiling_burst >= 0.0) {
                return bad(&key("rate"), "expected rates and stores of 0 or more");
            }
            if p.rate == 0.0 && p.at_once == 0 {
                return bad(&key("rate"), "expected a rate or at_once: a plan without either has no quota");
            }
            if !(p.spread[0] > 0.0 && p.spread[0] <= p.spread[1] && p.spread[1] <= 1.0) {
                return bad(&key("spread"), "expected two shares of the gateways, 0 < a <= b <= 1");
            }
            if !(p.units[0] >= 1 && p.units[0] <= p.units[1]) {
                return bad(&key("units"), "expected two whole numbers, 1 <= a <= b");
            }
            if !(share(p.heavy) && share(p.spiky) && p.heavy + p.spiky <= 1.0) {
                return bad(
                    &key("heavy"),
                    "expected shares of heavy and spiky customers that add up to 1 at most",
                );
            }
            let pair = |x: [f64; 2]| x[0] >= 0.0 && x[0] <= x[1];
            if !(pair(p.calm_use) && pair(p.heavy_x) && pair(p.spike_x)) {
                return bad(
                    &key("calm_use"),
                    "expected pairs a <= b of 0 or more for calm_use, heavy_x, spike_x",
                );
            }
            if !(p.spike_s > 0.0 && p.spike_every_s > p.spike_s) {
                return bad(&key("spike_s"), "expected spikes shorter than the time between them");
            }
        }
        let customers: usize = self.plans.iter().map(|p| p.customers).sum();
        if customers == 0 || customers > 100_000 {
            return bad("plan[].customers", "expected 1 to 100000 customers in all");
        }
        for (n, f) in self.faults.iter().enumerate() {
            let key = |part: &str| format!("fault[{n}].{part}");
            if !(f.at_s >= 0.0 && f.at_s < self.duration_s) {
                return bad(&key("at_s"), "expected a time within the run");
            }
            if !(f.for_s >= 0.0 && share(f.share) && f.share > 0.0) {
                return bad(&key("share"), "expected a share above 0 and at most 1, and a time of 0 or more");
            }
            if let Some(zone) = &f.zone
                && !s.zones.contains(zone)
            {
                return bad(&key("zone"), "expected one of servers.zones");
            }
            if !(f.factor > 0.0 && f.restart_s >= 0.0) {
                return bad(&key("factor"), "expected a factor above 0 and a restart of 0 or more seconds");
            }
        }
        Ok(())
    }

    /// The zone that a fault of a zone takes.
    pub fn zone_of(&self, fault: &Fault) -> String {
        fault.zone.clone().unwrap_or_else(|| self.servers.zones[0].clone())
    }
}

fn one() -> u64 {
    1
}
fn one_f() -> f64 {
    1.0
}
fn half() -> f64 {
    0.5
}
fn yes() -> bool {
    true
}
fn zones() -> Vec<String> {
    vec!["a".into(), "b".into()]
}
fn slots() -> usize {
    4
}
fn queue() -> usize {
    16
}
fn service_ms() -> f64 {
    40.0
}
fn slow_per_extra() -> f64 {
    0.05
}
fn max_conns() -> usize {
    256
}
fn idle_close_s() -> f64 {
    15.0
}
fn cold_from() -> f64 {
    0.3
}
fn cold_s() -> f64 {
    10.0
}
fn fall_multiple() -> f64 {
    2.0
}
fn fall_ms() -> f64 {
    1500.0
}
fn down_s() -> f64 {
    3.0
}
fn answer_bytes() -> usize {
    256
}
fn meter_period_ms() -> f64 {
    1000.0
}
fn meter_late_ms() -> f64 {
    500.0
}
fn delay_ms() -> f64 {
    100.0
}
fn one_retry() -> u32 {
    1
}
fn honour() -> f64 {
    0.8
}
fn backoff_ms() -> f64 {
    100.0
}
fn give_up() -> f64 {
    1.0
}
fn huge_body_kb() -> usize {
    48
}
fn notice_s() -> f64 {
    2.0
}
fn skew() -> f64 {
    0.8
}
fn memory_mb() -> u64 {
    192
}
fn sockets() -> u64 {
    1024
}
fn repeatable() -> String {
    "repeatable".into()
}
fn all() -> String {
    "all".into()
}
fn spread() -> [f64; 2] {
    [0.3, 1.0]
}
fn units() -> [u32; 2] {
    [1, 3]
}
fn calm_use() -> [f64; 2] {
    [0.15, 0.5]
}
fn heavy_x() -> [f64; 2] {
    [1.6, 5.0]
}
fn spike_x() -> [f64; 2] {
    [2.0, 8.0]
}
fn spike_s() -> f64 {
    2.0
}
fn spike_every_s() -> f64 {
    15.0
}
fn slow_factor() -> f64 {
    5.0
}

impl Default for Meter {
    fn default() -> Meter {
        Meter { on: true, period_ms: meter_period_ms(), late_ms: meter_late_ms() }
    }
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { delay_ms: delay_ms() }
    }
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            retries: one_retry(),
            honour: honour(),
            backoff_ms: backoff_ms(),
            at_once: 0.0,
            give_up: give_up(),
            impatient: 0.0,
            marks_retry: true,
            huge_body: 0.0,
            huge_body_kb: huge_body_kb(),
            slow_body: 0.0,
            notice_s: notice_s(),
            skew: skew(),
        }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { memory_mb: memory_mb(), sockets: sockets() }
    }
}
