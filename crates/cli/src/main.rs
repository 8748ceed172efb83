//! `curlewfront`: the operator's command. `fleet` speaks with the fleet group of the old gateways, `store` with nobody: it
//! works on the folder of a store that does not run. All else speaks with the registries of the whole system.

mod booking;
mod config;
mod drill;
mod error;
mod fleet;
mod registries;
mod rollout;
mod show;
mod store;
mod system;
mod table;
mod zone;

use clap::{Arg, ArgAction, ArgMatches, Args, Command, FromArgMatches, value_parser};
use error::CommandError;
use registries::Registries;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;

const AFTER: &str = "\
Exit codes: 0 done; 1 refused, with the reason, or a watched rollout was reverted; 2 wrong usage; 3 no registry could be
reached, or it is unclear whether the order was taken (an order may be repeated unchanged). `fleet` has its own, see
docs/fleet/operating.md.";

fn command() -> Command {
    let at = Arg::new("at")
        .long("at")
        .value_name("IP:PORT")
        .env("CURLEWFRONT_AT")
        .global(true)
        .action(ArgAction::Append)
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr))
        .help("A registry's control port; several are tried in turn");
    let json = Arg::new("json")
        .long("json")
        .global(true)
        .action(ArgAction::SetTrue)
        .help("Shows the answer as it came, instead of tables");
    Command::new("curlewfront")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The operator's command")
        .after_help(AFTER)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args([at, json])
        .subcommand(config::command())
        .subcommand(drill::command())
        .subcommand(booking::command())
        .subcommand(rollout::command())
        .subcommands(zone::commands())
        .subcommands(show::commands())
        .subcommand(system::command())
        .subcommand(store::command())
        .subcommand(fleet::FleetArgs::augment_args(
            Command::new("fleet").about("The group of gateways that agree on one durable state"),
        ))
}

fn main() -> ExitCode {
    let given = command().get_matches();
    let Some((name, given)) = given.subcommand() else { return ExitCode::from(2) };
    if name == "fleet" {
        return match fleet::FleetArgs::from_arg_matches(given) {
            Ok(args) => ExitCode::from(fleet::run(&args)),
            Err(e) => e.exit(),
        };
    }
    match work(name, given) {
        Ok(text) => {
            // Who reads may have read enough.
            let _ = std::io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(failed) => {
            eprintln!("curlewfront: {failed}");
            ExitCode::from(failed.exit_code())
        }
    }
}

/// What is to be printed.
fn work(name: &str, given: &ArgMatches) -> Result<String, CommandError> {
    let registries = || Registries::new(given.get_many("at").into_iter().flatten().copied().collect());
    match name {
        "config" => config::run(given, registries),
        "drill" => drill::run(given, registries),
        "store" => store::run(given),
        "booking" => booking::run(given, &registries()?),
        "rollout" => rollout::run(given, &registries()?),
        "system" => system::run(given),
        "evacuate" | "return" => zone::run(name, given, &registries()?),
        _ => show::run(name, given.get_flag("json"), &registries()?),
    }
}
