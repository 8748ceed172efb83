//! `curlewfront`: the operator's command. Most subcommands call the registries of the whole system. `fleet` calls the fleet
//! group of the gateways; `store` and `system` work on files of this machine and call nobody.

mod arguments;
mod booking;
mod config;
mod drill;
mod error;
mod evacuation;
mod fleet;
mod registries;
mod rollout;
mod status;
mod store;
mod system;
mod table;

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
        .subcommands(evacuation::commands())
        .subcommands(status::commands())
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
    match output_of(name, given) {
        Ok(text) => {
            // A reader that closed the pipe has read what it wanted.
            let _ = std::io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("curlewfront: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Carries out a command; the text that is to be printed.
fn output_of(name: &str, given: &ArgMatches) -> Result<String, CommandError> {
    let registries = || Registries::new(given.get_many("at").into_iter().flatten().copied().collect());
    match name {
        "config" => config::run(given, registries),
        "drill" => drill::run(given, registries),
        "store" => store::run(given),
        "booking" => booking::run(given, &registries()?),
        "rollout" => rollout::run(given, &registries()?),
        "system" => system::run(given),
        "evacuate" | "return" => evacuation::run(name, given, &registries()?),
        _ => status::run(name, given.get_flag("json"), &registries()?),
    }
}
