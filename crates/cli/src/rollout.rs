//! `curlewfront rollout`: orders, watches, lists and stops rollouts of a service to another version.

mod view;
mod watch;

use crate::arguments::name_of;
use crate::error::CommandError;
use crate::registries::{Call, Registries, escape, text};
use crate::table::{cell, list};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use jzon::JsonValue;
use settings::rollout::MAX_TERM_S;
use std::time::Duration;

const TARGET: &str = "/api/rollouts";
/// The shortest term, in seconds: terms are counted in milliseconds.
const MIN_TERM_S: f64 = 0.001;

const ROLLOUTS: [(&str, &str); 6] = [
    ("SERVICE", "service_ref"),
    ("VERSION", "target_version"),
    ("STATE", "server_state"),
    ("STAGE", "stage"),
    ("LEFT MS", "left_ms"),
    ("REASON", "reason"),
];

pub fn command() -> Command {
    let service = || Arg::new("service").value_name("SERVICE").required(true).help("The name of the service");
    let version = Arg::new("version").value_name("VERSION").required(true);
    let term = Arg::new("term").long("term").value_name("SECONDS").required(true).value_parser(seconds);
    let watch = Arg::new("watch").long("watch").action(ArgAction::SetTrue);
    let every = || {
        let every = Arg::new("every").long("every").value_name("MS").default_value("1000");
        every
            .value_parser(value_parser!(u64).range(1..))
            .help("Milliseconds between two questions to a registry")
    };
    Command::new("rollout")
        .about("Moves a service to servers of another version, if they do as well")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("start")
                .about("Orders a rollout; the same order again changes nothing")
                .arg(service())
                .arg(version.help("The version that the new servers report as config_version"))
                .arg(term.help("It is completed or reverted within so many seconds"))
                .arg(watch.help("Then watches it to its end"))
                .arg(every()),
        )
        .subcommand(
            Command::new("watch")
                .about("Shows both versions side by side until the rollout ends")
                .after_help(watch::EXIT_CODES)
                .arg(service())
                .arg(every()),
        )
        .subcommand(Command::new("list").about("The last rollout of each service"))
        .subcommand(Command::new("stop").about("Reverts a rollout that is under way").arg(service()))
}

/// The term of a rollout.
fn seconds(given: &str) -> Result<f64, String> {
    let bounds = format!("a number of seconds from {MIN_TERM_S} to {MAX_TERM_S}");
    let number: f64 = given.parse().map_err(|_| format!("expected {bounds}"))?;
    match (MIN_TERM_S..=MAX_TERM_S).contains(&number) {
        true => Ok(number),
        false => Err(format!("expected {bounds}")),
    }
}

pub fn run(given: &ArgMatches, registries: &Registries) -> Result<String, CommandError> {
    let Some((call, given)) = given.subcommand() else {
        return Err(CommandError::Usage("rollout: start, watch, list or stop".into()));
    };
    let json = given.get_flag("json");
    if call == "list" {
        let (raw, value) = registries.get(TARGET)?;
        return Ok(if json { raw + "\n" } else { list(&value["rollout_list"], &ROLLOUTS) });
    }
    let service = name_of(given, "service", "SERVICE")?;
    let target = format!("{TARGET}/{}", escape(service));
    let every = || Duration::from_millis(given.get_one::<u64>("every").copied().unwrap_or_default());
    match call {
        "watch" => watch::to_its_end(&target, every(), json, registries),
        "stop" => stop(service, &target, json, registries),
        _ => {
            let ordered = start(service, given, json, registries)?;
            if !given.get_flag("watch") {
                return Ok(ordered);
            }
            if !json {
                print!("{ordered}");
            }
            watch::to_its_end(&target, every(), json, registries)
        }
    }
}

fn start(
    service: &str,
    given: &ArgMatches,
    json: bool,
    registries: &Registries,
) -> Result<String, CommandError> {
    let version = name_of(given, "version", "VERSION")?;
    let term_s = given.get_one::<f64>("term").copied().unwrap_or_default();
    let order = jzon::object! { service_ref: service, target_version: version, rollout_term_s: term_s };
    let body = order.dump();
    let call = Call { method: "POST", target: TARGET.into(), if_match: None, body: body.as_bytes() };
    let answer = text(registries.send(&call)?);
    Ok(match json {
        true => answer + "\n",
        false => format!("{service}: rollout to {version} is ordered, to end within {term_s} s\n"),
    })
}

/// A rollout that has ended stays as it ended, so its state is told and not taken for granted.
fn stop(service: &str, target: &str, json: bool, registries: &Registries) -> Result<String, CommandError> {
    registries.send(&Call::without_body("DELETE", target))?;
    let (raw, value) = match registries.get(target) {
        Ok(read) => read,
        Err(_) if !json => return Ok(format!("{service}: has ended; no registry tells how\n")),
        Err(failed) => return Err(failed),
    };
    Ok(if json { raw + "\n" } else { ended(service, &value) })
}

fn ended(service: &str, value: &JsonValue) -> String {
    format!("{service}: {}: {}\n", cell(&value["server_state"]), cell(&value["reason"]))
}
