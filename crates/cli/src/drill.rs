//! `curlewfront drill`: starts, lists, shows and stops drills: faults that are injected on purpose for one caller.

mod view;

use crate::arguments::{name_of, text_of};
use crate::error::CommandError;
use crate::registries::{Call, Registries, escape, text};
use clap::{Arg, ArgAction, ArgMatches, Command};
use jzon::JsonValue;

const TARGET: &str = "/api/drills";

pub fn command() -> Command {
    let name = || Arg::new("NAME").value_name("NAME").required(true);
    let file = Arg::new("FILE").value_name("FILE").required(true);
    let dry_run = Arg::new("dry-run").long("dry-run").action(ArgAction::SetTrue);
    Command::new("drill")
        .about("Faults injected on purpose for one caller")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("start")
                .about("Starts a drill as a file describes it")
                .args([
                    name(),
                    file.help("JSON: the caller, the fault, how often, for how long, who asks and why"),
                ])
                .arg(dry_run.help("Asks what it would do, and changes nothing")),
        )
        .subcommand(Command::new("list").about("The running drills, and the last that have ended"))
        .subcommand(Command::new("show").about("One drill: its state, proxies and attempts").arg(name()))
        .subcommand(Command::new("stop").about("Stops a drill").arg(name()))
        .subcommand(
            Command::new("key-name")
                .about("The name that stands for a key in a drill; reads the key from standard input"),
        )
}

pub fn run(
    given: &ArgMatches,
    registries: impl Fn() -> Result<Registries, CommandError>,
) -> Result<String, CommandError> {
    let Some((call, given)) = given.subcommand() else {
        return Err(CommandError::Usage("drill: start, list, show or stop".into()));
    };
    if call == "key-name" {
        let mut key = String::new();
        let read = std::io::stdin().read_line(&mut key);
        read.map_err(|e| CommandError::Usage(format!("standard input: {e}")))?;
        return Ok(settings::drill::key_name(key.trim()) + "\n");
    }
    let json = given.get_flag("json");
    if call == "list" {
        let (raw, value) = registries()?.get(TARGET)?;
        return Ok(if json { raw + "\n" } else { view::all(&value) });
    }
    let name = name_of(given, "NAME", "NAME")?;
    let target = format!("{TARGET}/{}", escape(name));
    match call {
        "show" => {
            let (raw, value) = registries()?.get(&target)?;
            Ok(if json { raw + "\n" } else { view::one(&value) })
        }
        "stop" => {
            registries()?.send(&Call::without_body("DELETE", target))?;
            Ok(format!("{name}: stopped\n"))
        }
        _ => start(name, &target, given, json, &registries()?),
    }
}

fn start(
    name: &str,
    target: &str,
    given: &ArgMatches,
    json: bool,
    registries: &Registries,
) -> Result<String, CommandError> {
    let path = text_of(given, "FILE");
    let body = std::fs::read(path).map_err(|e| CommandError::Usage(format!("{path}: {e}")))?;
    let drill =
        settings::drill::Drill::read(name, &body).map_err(|e| CommandError::Refused(e.to_string()))?;
    let dry_run = given.get_flag("dry-run");
    let target = if dry_run { format!("{target}?dry_run=true") } else { target.to_string() };
    let answer = text(registries.send(&Call { method: "PUT", target, if_match: None, body: &body })?);
    if json {
        return Ok(answer + "\n");
    }
    if !dry_run {
        return Ok(format!("{name}: runs for {} s\n", f64::from(drill.for_ms) / 1e3));
    }
    let value = jzon::parse(&answer).unwrap_or(JsonValue::Null);
    Ok(view::dry_run(name, drill.fault.name(), &value))
}
