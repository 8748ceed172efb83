//! Reads a gateway's configuration, checks it and fills in defaults. The error for an invalid value names its key;
//! unknown keys are ignored.

mod fleet;
mod json;
mod members;
mod settings;

pub use fleet::{Fleet, Voter};
pub use json::{JsonObject, Res, show};
pub use members::{Member, Members};
pub use settings::settings;

use curlewfront::{Micros, Settings};
use serde_json::Value;
use std::net::SocketAddr;

/// Defaults of the machine's limits and of the treatment of connections.
const DEFAULT_MEMORY_MB: u64 = 192;
const DEFAULT_SOCKETS: u64 = 1024;
const DEFAULT_CONN_IDLE_US: Micros = 15_000_000;
const DEFAULT_DIAL_TIMEOUT_US: Micros = 250_000;
/// With fewer descriptors none would be left for clients beside those for servers.
const MIN_SOCKETS: u64 = 64;

/// The configuration of one gateway.
#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub memory_mb: u64,
    /// Limit of open descriptors.
    pub sockets: usize,
    /// The list of servers as last known, perhaps outdated.
    pub known: Members,
    pub settings: Settings,
    /// Names of classes, plans and zones, by their position in the settings.
    pub classes: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
    pub conn_idle_us: Micros,
    pub dial_timeout_us: Micros,
    pub answer_slack_us: Micros,
    /// Its membership in the fleet group; `None` without a `fleet` object.
    pub fleet: Option<Fleet>,
}

impl Config {
    /// Reads the file that `EDGE_CONFIG` names. `env` looks up environment variables, which take precedence over the file.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Res<Config> {
        Config::from_file(env, false)
    }

    /// Reads the whole file again while the gateway runs. Here `discovery` of the file takes precedence over the
    /// environment variable: the file may have been changed, while the variable still has the value of the start.
    pub fn reload(env: impl Fn(&str) -> Option<String>) -> Res<Config> {
        Config::from_file(env, true)
    }

    fn from_file(env: impl Fn(&str) -> Option<String>, reload: bool) -> Res<Config> {
        let path =
            env("EDGE_CONFIG").ok_or("EDGE_CONFIG: expected the path of the configuration, found nothing")?;
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("EDGE_CONFIG: cannot read {path:?}: {e}"))?;
        Config::build(&text, env, reload).map_err(|e| format!("{path}: {e}"))
    }

    /// The keys that differ in `other` and take effect only after a restart.
    pub fn changed_keys_needing_restart(&self, other: &Config) -> Vec<&'static str> {
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

    /// Reads a configuration from its text.
    pub fn read(text: &str, env: impl Fn(&str) -> Option<String>) -> Res<Config> {
        Config::build(text, env, false)
    }

    fn build(text: &str, env: impl Fn(&str) -> Option<String>, reload: bool) -> Res<Config> {
        let value: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
        let object = value.as_object().ok_or("expected an object")?;
        let root = JsonObject(object, String::new());
        let text_of = |variable: &str, key: &str| -> Res<String> {
            let in_file = root.string(key)?;
            let file_first = reload && key == "discovery" && !in_file.is_empty();
            let variable = env(variable).filter(|v| !v.is_empty() && !file_first);
            Ok(variable.unwrap_or_else(|| in_file.to_string()))
        };
        let address = |variable: &str, key: &str| -> Res<SocketAddr> {
            let text = text_of(variable, key)?;
            text.parse()
                .map_err(|_| format!("{key} ({variable}): expected an address and port, found {text:?}"))
        };
        let (listen, discovery) =
            (address("EDGE_LISTEN", "listen")?, address("EDGE_DISCOVERY", "discovery")?);
        let limits = root.object("limits")?;
        let sockets = or_default(limits.u64("sockets")?, DEFAULT_SOCKETS);
        if sockets < MIN_SOCKETS {
            return Err(limits.error("sockets", "64 or more"));
        }
        let known = match root.get("known") {
            None => Members::default(),
            Some(v) => Members::read(v).map_err(|e| format!("known: {e}"))?,
        };
        let settings_object = root.object("settings")?;
        let settings = settings(settings_object.0).map_err(|e| format!("settings.{e}"))?;
        check_settings(&settings_object, &settings)?;
        let (permissions, rules) = (settings_object.object("permissions")?, settings_object.object("rules")?);
        let classes = settings_object.names("classes")?;
        let plans = settings_object.names("tiersOfService")?;
        for (key, names) in [("classes", &classes), ("tiersOfService", &plans)] {
            let duplicate = names.iter().enumerate().any(|(n, a)| names[..n].contains(a));
            if duplicate || names.iter().any(String::is_empty) {
                return Err(format!("settings.{key}[].name: expected a unique name for each"));
            }
        }
        let name = text_of("EDGE_NAME", "name")?;
        let fleet = root.get("fleet").map(|_| Fleet::read(&root.object("fleet")?, &name)).transpose()?;
        Ok(Config {
            name,
            fleet,
            listen,
            discovery,
            seed: seed(&root)?,
            memory_mb: or_default(limits.u64("memory_mb")?, DEFAULT_MEMORY_MB),
            sockets: usize::try_from(sockets).map_err(|_| limits.error("sockets", "a smaller number"))?,
            known,
            settings,
            classes,
            plans,
            zones: settings_object.strings("localities")?,
            conn_idle_us: or_default(permissions.u64("connIdleUs")?, DEFAULT_CONN_IDLE_US),
            dial_timeout_us: or_default(permissions.u64("dialTimeoutUs")?, DEFAULT_DIAL_TIMEOUT_US),
            answer_slack_us: rules.u64("answerSlackUs")?,
        })
    }
}

/// Zero, the value of an absent key, stands for the default.
fn or_default(value: u64, default: u64) -> u64 {
    if value == 0 { default } else { value }
}

/// Reads the seed: a string of hex digits, or a number.
fn seed(object: &JsonObject) -> Res<u64> {
    match object.get("seed") {
        None => Ok(0),
        Some(Value::String(s)) => {
            u64::from_str_radix(s, 16).map_err(|_| object.error("seed", "up to 16 hex digits"))
        }
        Some(_) => object.u64("seed"),
    }
}

/// Checks the values of well-formed settings; the error names the key.
fn check_settings(object: &JsonObject, settings: &Settings) -> Res<()> {
    if settings.balancers == 0 {
        return Err(object.error("balancers", "1 or more"));
    }
    if settings.index >= settings.balancers {
        return Err(object.error("index", "less than the number of gateways in balancers"));
    }
    for (class, class_object) in settings.classes.iter().zip(object.objects("classes")?) {
        for (key, us) in [("aimUs", class.aim_us), ("deadlineUs", class.deadline_us)] {
            if us == 0 {
                return Err(class_object.error(key, "1 or more"));
            }
        }
    }
    for (plan, plan_object) in settings.plans.iter().zip(object.objects("tiersOfService")?) {
        let figures = [plan.rate, plan.burst, plan.ceiling_rate, plan.ceiling_burst];
        for (key, figure) in ["unitsPerS", "depth", "capRate", "capDepth"].into_iter().zip(figures) {
            if !(figure.is_finite() && figure >= 0.0) {
                return Err(plan_object.error(key, "0 or more"));
            }
        }
    }
    for (key, empty) in
        [("classes", settings.classes.is_empty()), ("tiersOfService", settings.plans.is_empty())]
    {
        if empty {
            return Err(object.error(key, "one or more"));
        }
    }
    settings.check().map_err(|e| format!("settings: {e}"))
}
