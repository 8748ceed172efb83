//! `curlewfront config`: looks at the configuration, checks one, puts one in force.

mod diff;

use crate::ask::{Failed, Order, Registries, text};
use crate::table::{Table, cell};
use clap::{Arg, ArgAction, ArgMatches, Command};
use jig::Config;
use jig::config::{if_match, show_version};
use jzon::JsonValue;

const TARGET: &str = "/api/configuration";

pub fn command() -> Command {
    let file = |name: &'static str| Arg::new(name).value_name(name).required(true);
    let put = |name: &'static str, about: &'static str| {
        let base = Arg::new("base").long("base").value_name("VERSION").required(true);
        let dry = Arg::new("dry-run").long("dry-run").action(ArgAction::SetTrue);
        Command::new(name)
            .about(about)
            .arg(file("FILE"))
            .arg(base.help("The version that it builds on, as hexadecimal digits; 0: there is none yet"))
            .arg(dry.help("Only prints what would change"))
    };
    let raw = Arg::new("raw").long("raw").action(ArgAction::SetTrue).help("As it was put");
    Command::new("config")
        .about("The configuration")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("show").about("The newest configuration").arg(raw))
        .subcommand(Command::new("check").about("Whether a file could be put; asks nobody").arg(file("FILE")))
        .subcommand(put("put", "Puts a whole configuration in force"))
        .subcommand(put("patch", "Alters named items of the configuration"))
        .subcommand(
            Command::new("diff").about("What differs between two files").arg(file("A")).arg(file("B")),
        )
}

pub fn run(given: &ArgMatches, at: impl Fn() -> Result<Registries, Failed>) -> Result<String, Failed> {
    let Some((name, given)) = given.subcommand() else {
        return Err(Failed::Usage("config: show, check, put, patch or diff".into()));
    };
    match name {
        "show" => show(&at()?, given.get_flag("raw") || given.get_flag("json")),
        "check" => {
            let (path, bytes) = file(given, "FILE")?;
            let config = read(&path, &bytes)?;
            Ok(format!("{path}: good, version {}, {}\n", show_version(config.version), sizes(&config)))
        }
        "diff" => {
            let ((a, one), (b, other)) = (file(given, "A")?, file(given, "B")?);
            Ok(diff::between(&value(&read(&a, &one)?), &value(&read(&b, &other)?)))
        }
        _ => put(name == "patch", given, &at()?),
    }
}

fn file(given: &ArgMatches, name: &str) -> Result<(String, Vec<u8>), Failed> {
    let path = given.get_one::<String>(name).cloned().unwrap_or_default();
    match std::fs::read(&path) {
        Ok(bytes) => Ok((path, bytes)),
        Err(e) => Err(Failed::Usage(format!("{path}: {e}"))),
    }
}

fn read(path: &str, bytes: &[u8]) -> Result<Config, Failed> {
    Config::read(bytes).map_err(|e| Failed::Refused(format!("{path}: {e}")))
}

fn value(config: &Config) -> JsonValue {
    jzon::parse(config.text()).unwrap_or(JsonValue::Null)
}

fn sizes(config: &Config) -> String {
    let tenants =
        config.tenants.as_ref().map_or("no keys needed".to_string(), |t| format!("{} tenants", t.len()));
    format!("{} routes, {} services, {tenants}", config.routes.len(), config.services.len())
}

/// The newest configuration; None: there is none yet.
fn newest(at: &Registries) -> Result<Option<Config>, Failed> {
    match at.ask(&Order::plain("GET", TARGET)) {
        Ok(bytes) => read("the configuration in force", &bytes).map(Some),
        Err(Failed::Refused(why)) if why.ends_with("(404)") => Ok(None),
        Err(failed) => Err(failed),
    }
}

fn put(patch: bool, given: &ArgMatches, at: &Registries) -> Result<String, Failed> {
    let (path, bytes) = file(given, "FILE")?;
    let base = given.get_one::<String>("base").map_or("", String::as_str);
    let wrong = || Failed::Usage(format!("--base: expected hexadecimal digits, found {base:?}"));
    let version = if_match(base).ok_or_else(wrong)?;
    if given.get_flag("dry-run") {
        return dry(patch, &path, &bytes, version, at);
    }
    if !patch {
        read(&path, &bytes)?; // refused here already, with the same words
    }
    let base = show_version(version);
    let method = if patch { "PATCH" } else { "PUT" };
    at.ask(&Order { method, target: TARGET.into(), base: Some(&base), body: &bytes })?;
    let made = jzon::parse(&text(bytes)).map(|v| cell(&v["config_version"])).unwrap_or_default();
    Ok(format!("version {made} is taken\n"))
}

/// What the order would do to the configuration as it is read now. Nothing is changed.
fn dry(patch: bool, path: &str, bytes: &[u8], base: u32, at: &Registries) -> Result<String, Failed> {
    let now = newest(at)?;
    let current = now.as_ref().map_or(0, |c| c.version);
    if base != current {
        return Err(Failed::Refused(format!("another version is current: {}", show_version(current))));
    }
    let made = match (&now, patch) {
        (_, false) => read(path, bytes)?,
        (Some(now), true) => now.patch(bytes).map_err(|e| Failed::Refused(format!("{path}: {e}")))?,
        (None, true) => return Err(Failed::Refused("there is no configuration to alter yet".into())),
    };
    made.check_version(current).map_err(|e| Failed::Refused(format!("{path}: {e}")))?;
    let before = now.as_ref().map_or(JsonValue::Null, value);
    Ok(diff::between(&before, &value(&made)))
}

fn show(at: &Registries, raw: bool) -> Result<String, Failed> {
    if raw {
        return Ok(text(at.ask(&Order::plain("GET", TARGET))?) + "\n");
    }
    let Some(config) = newest(at)? else {
        return Err(Failed::Refused("there is no configuration yet".into()));
    };
    let mut out = format!("version {}, {}\n\n", show_version(config.version), sizes(&config));
    let names = |list: &[String]| if list.is_empty() { "-".to_string() } else { list.join(",") };
    let heads = [
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
    let mut routes = Table::new(&heads);
    for r in &config.routes {
        let to = match r.to.as_slice() {
            [(one, _)] => one.clone(),
            many => {
                many.iter().map(|(name, weight)| format!("{name}:{weight}")).collect::<Vec<_>>().join(",")
            }
        };
        let keys = if config.tenants.is_some() && !r.keyless { "yes" } else { "no" };
        routes.row(vec![
            r.name.clone(),
            r.host.clone(),
            r.prefix.clone(),
            format!("{:?}", r.kind).to_lowercase(),
            r.deadline_ms.to_string(),
            r.target_ms.to_string(),
            r.priority.to_string(),
            r.attempts.to_string(),
            keys.into(),
            names(&r.homes),
            to,
        ]);
    }
    out.push_str(&routes.show());
    let or_dash = |text: Option<String>| text.unwrap_or_else(|| "-".into());
    let mut services = Table::new(&["SERVICE", "HEALTH", "CONNECTIONS", "COLD S", "COLD A SECOND"]);
    for s in &config.services {
        services.row(vec![
            s.name.clone(),
            or_dash(s.health_path.clone()),
            or_dash(s.connection_cap.map(|c| c.to_string())),
            s.cold_period_s.to_string(),
            or_dash(s.cold_rate_s.map(|c| c.to_string())),
        ]);
    }
    out.push_str(&format!("\n{}", services.show()));
    if let Some(list) = &config.tenants {
        let mut tenants = Table::new(&["TENANT", "KEYS", "PRIORITY", "A SECOND", "BURST", "HOMES"]);
        for t in list {
            // The keys themselves are not for screens: --raw has them.
            tenants.row(vec![
                t.name.clone(),
                t.keys.len().to_string(),
                or_dash(t.priority.map(|p| p.to_string())),
                if t.rate == 0.0 { "no limit".into() } else { t.rate.to_string() },
                t.burst.to_string(),
                names(&t.homes),
            ]);
        }
        out.push_str(&format!("\n{}", tenants.show()));
    }
    let l = &config.limits;
    out.push_str(&format!(
        "\nheads up to {} bytes within {} ms, bodies up to {} bytes, idle up to {} ms\n",
        l.max_header_bytes, l.header_wait_ms, l.max_body_bytes, l.idle_limit_ms
    ));
    Ok(out)
}
