//! The one place where configuration is read, checked and given defaults. What is said of a bad value names
//! its key; keys that are not known are passed over.

mod facts;
mod fleet;
mod members;
mod settings;

pub use facts::{Facts, Res, show};
pub use fleet::{Fleet, Voter};
pub use members::{Member, Members};
pub use settings::settings;

use curlewfront::{Micros, Settings};
use serde_json::Value;
use std::net::SocketAddr;

/// Where nothing else is said: what a machine of this kind may hold, and how connections are treated.
const MEMORY_MB: u64 = 192;
const SOCKETS: u64 = 1024;
const CONN_IDLE_US: Micros = 15_000_000;
const DIAL_TIMEOUT_US: Micros = 250_000;
/// Fewer descriptors leave no room for clients beside servers.
const LEAST_SOCKETS: u64 = 64;

/// All that one gateway on sockets is told before it starts.
#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub memory_mb: u64,
    pub sockets: usize,
    pub known: Members,
    pub settings: Settings,
    /// Names on the sockets, by position in the settings.
    pub classes: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
    pub conn_idle_us: Micros,
    pub dial_timeout_us: Micros,
    pub answer_slack_us: Micros,
    /// Its part in the fleet group; none: the group is off.
    pub fleet: Option<Fleet>,
}

impl Config {
    /// Reads the file that `EDGE_CONFIG` names; `env` looks up the variables, which go before the file.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Res<Config> {
        Config::from_file(env, false)
    }

    /// Reads the file anew, as a whole, while the gateway runs. Its `discovery` goes before the variable then: the
    /// file is what was changed, while the variable is that of the start.
    pub fn reload(env: impl Fn(&str) -> Option<String>) -> Res<Config> {
        Config::from_file(env, true)
    }

    fn from_file(env: impl Fn(&str) -> Option<String>, again: bool) -> Res<Config> {
        let path =
            env("EDGE_CONFIG").ok_or("EDGE_CONFIG: expected the path of the configuration, found nothing")?;
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("EDGE_CONFIG: cannot read {path:?}: {e}"))?;
        Config::build(&text, env, again).map_err(|e| format!("{path}: {e}"))
    }

    /// The keys that differ in `other` and that a running gateway does not take over.
    pub fn fixed_that_differ(&self, other: &Config) -> Vec<&'static str> {
        let same = [
            ("name", self.name == other.name),
            ("listen", self.listen == other.listen),
            ("fleet", self.fleet == other.fleet),
            ("limits", (self.memory_mb, self.sockets) == (other.memory_mb, other.sockets)),
            (
                "settings",
                self.settings == other.settings
                    && (&self.classes, &self.plans, &self.zones)
                        == (&other.classes, &other.plans, &other.zones)
                    && (self.conn_idle_us, self.dial_timeout_us)
                        == (other.conn_idle_us, other.dial_timeout_us),
            ),
        ];
        same.into_iter().filter(|(_, same)| !same).map(|(key, _)| key).collect()
    }

    pub fn read(text: &str, env: impl Fn(&str) -> Option<String>) -> Res<Config> {
        Config::build(text, env, false)
    }

    fn build(text: &str, env: impl Fn(&str) -> Option<String>, again: bool) -> Res<Config> {
        let value: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
        let object = value.as_object().ok_or("expected an object")?;
        let f = Facts(object, String::new());
        let told = |variable: &str, key: &str| -> Res<String> {
            let written = f.word(key)?;
            let file_first = again && key == "discovery" && !written.is_empty();
            let variable = env(variable).filter(|v| !v.is_empty() && !file_first);
            Ok(variable.unwrap_or_else(|| written.to_string()))
        };
        let address = |variable: &str, key: &str| -> Res<SocketAddr> {
            let text = told(variable, key)?;
            text.parse()
                .map_err(|_| format!("{key} ({variable}): expected an address and port, found {text:?}"))
        };
        let (listen, discovery) =
            (address("EDGE_LISTEN", "listen")?, address("EDGE_DISCOVERY", "discovery")?);
        let limits = f.inner("limits")?;
        let sockets = or(limits.whole("sockets")?, SOCKETS);
        if sockets < LEAST_SOCKETS {
            return Err(limits.bad("sockets", "64 or more"));
        }
        let known = match f.at("known") {
            None => Members::default(),
            Some(v) => Members::read(v).map_err(|e| format!("known: {e}"))?,
        };
        let facts = f.inner("settings")?;
        let settings = settings(facts.0).map_err(|e| format!("settings.{e}"))?;
        sense(&facts, &settings)?;
        let (allow, rules) = (facts.inner("permissions")?, facts.inner("rules")?);
        let classes = facts.names("classes")?;
        let plans = facts.names("tiersOfService")?;
        for (key, names) in [("classes", &classes), ("tiersOfService", &plans)] {
            let twice = names.iter().enumerate().any(|(n, a)| names[..n].contains(a));
            if twice || names.iter().any(String::is_empty) {
                return Err(format!("settings.{key}[].name: expected a name of its own for each"));
            }
        }
        let name = told("EDGE_NAME", "name")?;
        let fleet = f.at("fleet").map(|_| Fleet::read(&f.inner("fleet")?, &name)).transpose()?;
        Ok(Config {
            name,
            fleet,
            listen,
            discovery,
            seed: seed(&f)?,
            memory_mb: or(limits.whole("memory_mb")?, MEMORY_MB),
            sockets: usize::try_from(sockets).map_err(|_| limits.bad("sockets", "a smaller number"))?,
            known,
            settings,
            classes,
            plans,
            zones: facts.words("localities")?,
            conn_idle_us: or(allow.whole("connIdleUs")?, CONN_IDLE_US),
            dial_timeout_us: or(allow.whole("dialTimeoutUs")?, DIAL_TIMEOUT_US),
            answer_slack_us: rules.whole("answerSlackUs")?,
        })
    }
}

fn or(value: u64, default: u64) -> u64 {
    if value == 0 { default } else { value }
}

/// Hex digits, or a number.
fn seed(f: &Facts) -> Res<u64> {
    match f.at("seed") {
        None => Ok(0),
        Some(Value::String(s)) => {
            u64::from_str_radix(s, 16).map_err(|_| f.bad("seed", "up to 16 hex digits"))
        }
        Some(_) => f.whole("seed"),
    }
}

/// Names the key of settings that are well formed and make no sense.
fn sense(facts: &Facts, settings: &Settings) -> Res<()> {
    if settings.balancers == 0 {
        return Err(facts.bad("balancers", "1 or more"));
    }
    if settings.index >= settings.balancers {
        return Err(facts.bad("index", "less than the number of gateways in balancers"));
    }
    for (class, f) in settings.classes.iter().zip(facts.each("classes")?) {
        for (key, us) in [("aimUs", class.aim_us), ("deadlineUs", class.deadline_us)] {
            if us == 0 {
                return Err(f.bad(key, "1 or more"));
            }
        }
    }
    for (plan, f) in settings.plans.iter().zip(facts.each("tiersOfService")?) {
        let figures = [plan.rate, plan.burst, plan.ceiling_rate, plan.ceiling_burst];
        for (key, figure) in ["unitsPerS", "depth", "capRate", "capDepth"].into_iter().zip(figures) {
            if !(figure.is_finite() && figure >= 0.0) {
                return Err(f.bad(key, "0 or more"));
            }
        }
    }
    for (key, none) in
        [("classes", settings.classes.is_empty()), ("tiersOfService", settings.plans.is_empty())]
    {
        if none {
            return Err(facts.bad(key, "one or more"));
        }
    }
    settings.check().map_err(|e| format!("settings: {e}"))
}
