//! `curlewfront config`: looks at the configuration, checks one, puts one in force.

mod diff;
mod show;

use crate::arguments::text_of;
use crate::error::CommandError;
use crate::registries::{Call, Registries, text};
use crate::table::cell;
use clap::{Arg, ArgAction, ArgMatches, Command};
use jzon::JsonValue;
use settings::Config;
use settings::config::{if_match, show_version};

const TARGET: &str = "/api/configuration";

pub fn command() -> Command {
    let file = |name: &'static str| Arg::new(name).value_name(name).required(true);
    let put = |name: &'static str, about: &'static str| {
        let base = Arg::new("base").long("base").value_name("VERSION").required(true);
        let dry_run = Arg::new("dry-run").long("dry-run").action(ArgAction::SetTrue);
        Command::new(name)
            .about(about)
            .arg(file("FILE"))
            .arg(base.help("The version that it builds on, as hexadecimal digits; 0: there is none yet"))
            .arg(dry_run.help("Only prints what would change"))
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

pub fn run(
    given: &ArgMatches,
    registries: impl Fn() -> Result<Registries, CommandError>,
) -> Result<String, CommandError> {
    let Some((name, given)) = given.subcommand() else {
        return Err(CommandError::Usage("config: show, check, put, patch or diff".into()));
    };
    match name {
        "show" => show(&registries()?, given.get_flag("raw") || given.get_flag("json")),
        "check" => {
            let (path, bytes) = file(given, "FILE")?;
            let config = read(&path, &bytes)?;
            Ok(format!("{path}: good, version {}, {}\n", show_version(config.version), show::sizes(&config)))
        }
        "diff" => {
            let ((a, one), (b, other)) = (file(given, "A")?, file(given, "B")?);
            Ok(diff::between(&value(&read(&a, &one)?), &value(&read(&b, &other)?)))
        }
        _ => put(name == "patch", given, &registries()?),
    }
}

fn file(given: &ArgMatches, name: &str) -> Result<(String, Vec<u8>), CommandError> {
    let path = given.get_one::<String>(name).cloned().unwrap_or_default();
    match std::fs::read(&path) {
        Ok(bytes) => Ok((path, bytes)),
        Err(e) => Err(CommandError::Usage(format!("{path}: {e}"))),
    }
}

fn read(path: &str, bytes: &[u8]) -> Result<Config, CommandError> {
    Config::read(bytes).map_err(|e| CommandError::Refused(format!("{path}: {e}")))
}

fn value(config: &Config) -> JsonValue {
    jzon::parse(config.text()).unwrap_or(JsonValue::Null)
}

/// The newest configuration; None: there is none yet.
fn newest(registries: &Registries) -> Result<Option<Config>, CommandError> {
    match registries.send(&Call::without_body("GET", TARGET)) {
        Ok(bytes) => read("the configuration in force", &bytes).map(Some),
        Err(CommandError::RefusedByRegistry { status: 404, .. }) => Ok(None),
        Err(failed) => Err(failed),
    }
}

fn put(patch: bool, given: &ArgMatches, registries: &Registries) -> Result<String, CommandError> {
    let (path, bytes) = file(given, "FILE")?;
    let base = text_of(given, "base");
    let wrong = || CommandError::Usage(format!("--base: expected hexadecimal digits, found {base:?}"));
    let version = if_match(base).ok_or_else(wrong)?;
    if given.get_flag("dry-run") {
        return dry_run(patch, &path, &bytes, version, registries);
    }
    if !patch {
        read(&path, &bytes)?; // refused here with the words that a registry would use
    }
    let base = show_version(version);
    let method = if patch { "PATCH" } else { "PUT" };
    registries.send(&Call { method, target: TARGET.into(), if_match: Some(&base), body: &bytes })?;
    let made = jzon::parse(&text(bytes)).map(|v| cell(&v["config_version"])).unwrap_or_default();
    Ok(format!("version {made} is taken\n"))
}

/// What the order would do to the configuration as it is read now. Nothing is changed.
fn dry_run(
    patch: bool,
    path: &str,
    bytes: &[u8],
    base: u32,
    registries: &Registries,
) -> Result<String, CommandError> {
    let now = newest(registries)?;
    let current = now.as_ref().map_or(0, |c| c.version);
    if base != current {
        return Err(CommandError::Refused(format!("another version is current: {}", show_version(current))));
    }
    let made = match (&now, patch) {
        (_, false) => read(path, bytes)?,
        (Some(now), true) => now.patch(bytes).map_err(|e| CommandError::Refused(format!("{path}: {e}")))?,
        (None, true) => return Err(CommandError::Refused("there is no configuration to alter yet".into())),
    };
    made.check_version(current).map_err(|e| CommandError::Refused(format!("{path}: {e}")))?;
    let before = now.as_ref().map_or(JsonValue::Null, value);
    Ok(diff::between(&before, &value(&made)))
}

fn show(registries: &Registries, raw: bool) -> Result<String, CommandError> {
    if raw {
        return Ok(text(registries.send(&Call::without_body("GET", TARGET))?) + "\n");
    }
    let Some(config) = newest(registries)? else {
        return Err(CommandError::Refused("there is no configuration yet".into()));
    };
    Ok(show::tables(&config))
}
