//! The arguments of `curlewfront booking`.

use chrono::{DateTime, Utc};
use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};

pub fn command() -> Command {
    Command::new("booking")
        .about("Capacity of a service that is reserved ahead of time")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(put())
        .subcommand(Command::new("list").about("All bookings"))
        .subcommand(Command::new("show").about("One booking, and the part that each proxy holds").arg(name()))
        .subcommand(
            Command::new("cancel")
                .about("Ends a booking; one that is open closes now")
                .args([name(), dry_run()]),
        )
}

fn put() -> Command {
    let many = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("NAME").action(ArgAction::Append).help(help)
    };
    let time = |name: &'static str| {
        let time = Arg::new(name).long(name).value_name("TIME").required(true).value_parser(time_ms);
        time.help("As 2027-03-01T18:00:00Z, or +SECONDS from now by this machine's clock")
    };
    let flight = Arg::new("flight").long("flight").value_name("N").value_parser(value_parser!(u32));
    let rate = Arg::new("rate").long("rate").value_name("N").value_parser(value_parser!(f64));
    let ramp =
        Arg::new("ramp").long("ramp").value_name("MS").default_value("0").value_parser(value_parser!(u32));
    let hold = Arg::new("hold").long("hold").action(ArgAction::SetTrue);
    let base = Arg::new("base").long("base").value_name("EPOCH");
    Command::new("put")
        .about("Makes or changes a booking")
        .arg(name())
        .arg(Arg::new("service").long("service").value_name("NAME").required(true))
        .arg(many("tenant", "For requests of this tenant; may be given again"))
        .arg(many("route", "For requests on this route; may be given again"))
        .arg(flight.help("Requests in flight at one time"))
        .arg(rate.help("Requests a second, instead of requests in flight"))
        .group(ArgGroup::new("amount").args(["flight", "rate"]).required(true))
        .args([time("opens"), time("closes")])
        .arg(ramp.help("Milliseconds over which it is taken up, and given back"))
        .arg(hold.help("Others may not use what is not in use"))
        .arg(base.help("The epoch that a change builds on"))
        .arg(dry_run())
}

fn name() -> Arg {
    Arg::new("name").value_name("NAME").required(true)
}

fn dry_run() -> Arg {
    let dry_run = Arg::new("dry-run").long("dry-run").action(ArgAction::SetTrue);
    dry_run.help("Asks what the call would do, and changes nothing")
}

/// Milliseconds since 1970.
fn time_ms(given: &str) -> Result<i64, String> {
    match given.strip_prefix('+') {
        Some(seconds) => {
            let seconds: u32 = seconds.parse().map_err(|_| "expected +SECONDS".to_string())?;
            Ok(Utc::now().timestamp_millis() + i64::from(seconds) * 1000)
        }
        None => DateTime::parse_from_rfc3339(given).map(|t| t.timestamp_millis()).map_err(|e| e.to_string()),
    }
}
