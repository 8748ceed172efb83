//! `curlewfront evacuate ZONE` and `return ZONE`.

use crate::error::CommandError;
use crate::registries::{Call, Registries, escape};
use clap::{Arg, ArgMatches, Command};

pub fn commands() -> [Command; 2] {
    let zone = || Arg::new("zone").value_name("ZONE").required(true);
    [
        Command::new("evacuate").about("Nothing more is sent to the servers of a zone").arg(zone()),
        Command::new("return").about("Takes an evacuation back").arg(zone()),
    ]
}

pub fn run(name: &str, given: &ArgMatches, registries: &Registries) -> Result<String, CommandError> {
    let zone = given.get_one::<String>("zone").map_or("", String::as_str);
    if zone.is_empty() {
        return Err(CommandError::Usage("the name of a zone is needed".into()));
    }
    let target = format!("/api/evacuation/{}", escape(zone));
    let (method, said) = match name {
        "evacuate" => ("POST", "evacuated"),
        _ => ("DELETE", "back in use"),
    };
    registries.send(&Call::without_body(method, target))?;
    Ok(format!("{zone}: {said}\n"))
}
