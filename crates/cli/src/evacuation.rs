//! `curlewfront evacuate ZONE` and `return ZONE`: takes a zone's servers out of use, and back.

use crate::arguments::name_of;
use crate::error::CommandError;
use crate::registries::{Call, Registries, escape};
use clap::{Arg, ArgMatches, Command};

pub fn commands() -> [Command; 2] {
    let zone = || Arg::new("zone").value_name("ZONE").required(true);
    [
        Command::new("evacuate").about("Takes the servers of a zone out of use").arg(zone()),
        Command::new("return").about("Puts the servers of an evacuated zone back to use").arg(zone()),
    ]
}

pub fn run(command: &str, given: &ArgMatches, registries: &Registries) -> Result<String, CommandError> {
    let zone = name_of(given, "zone", "ZONE")?;
    let (method, outcome) = match command {
        "evacuate" => ("POST", "evacuated"),
        _ => ("DELETE", "back in use"),
    };
    registries.send(&Call::without_body(method, format!("/api/evacuation/{}", escape(zone))))?;
    Ok(format!("{zone}: {outcome}\n"))
}
