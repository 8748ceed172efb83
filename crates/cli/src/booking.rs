//! `curlewfront booking`: makes, lists, shows and cancels bookings of a service's capacity.

mod arguments;
mod view;

use crate::arguments::{name_of, text_of};
use crate::error::CommandError;
use crate::registries::{Call, Registries, escape, text};
pub use arguments::command;
use clap::ArgMatches;
use jzon::JsonValue;

const TARGET: &str = "/api/bookings";

pub fn run(given: &ArgMatches, registries: &Registries) -> Result<String, CommandError> {
    let Some((call, given)) = given.subcommand() else {
        return Err(CommandError::Usage("booking: put, list, show or cancel".into()));
    };
    let json = given.get_flag("json");
    if call == "list" {
        let (raw, value) = registries.get(TARGET)?;
        return Ok(if json { raw + "\n" } else { view::all(&value) });
    }
    let name = name_of(given, "name", "NAME")?;
    let target = format!("{TARGET}/{}", escape(name));
    if call == "show" {
        let (raw, value) = registries.get(&target)?;
        return Ok(if json { raw + "\n" } else { view::one(&value) });
    }
    let dry_run = given.get_flag("dry-run");
    let target = if dry_run { target + "?dry_run=true" } else { target };
    let answer = match call {
        "put" => put(target, given, registries)?,
        _ => text(registries.send(&Call::without_body("DELETE", target))?),
    };
    Ok(match (json, dry_run, call) {
        (true, ..) => answer + "\n",
        (_, true, "put") => view::dry_run(name, &jzon::parse(&answer).unwrap_or(JsonValue::Null)),
        (_, false, "put") => format!("{name}: booked\n"),
        (_, true, _) => format!("{name}: would end\n"),
        (_, false, _) => format!("{name}: ends\n"),
    })
}

fn put(target: String, given: &ArgMatches, registries: &Registries) -> Result<String, CommandError> {
    let body = body(given).dump();
    let if_match = given.get_one::<String>("base").map(String::as_str);
    let call = Call { method: "PUT", target, if_match, body: body.as_bytes() };
    Ok(text(registries.send(&call)?))
}

fn body(given: &ArgMatches) -> JsonValue {
    let names = |id: &str| -> Vec<String> { given.get_many(id).into_iter().flatten().cloned().collect() };
    let mut body = jzon::object! {
        tenant_refs: names("tenant"),
        route_refs: names("route"),
        service_ref: text_of(given, "service"),
        ramp_ms: given.get_one::<u32>("ramp").copied(),
        unused_room: if given.get_flag("hold") { "hold" } else { "lend" },
        opens_ms: given.get_one::<i64>("opens").copied(),
        closes_ms: given.get_one::<i64>("closes").copied(),
    };
    if let Some(count) = given.get_one::<u32>("flight") {
        body["flight_count"] = (*count).into();
    }
    if let Some(rate) = given.get_one::<f64>("rate") {
        body["rate_per_s"] = (*rate).into();
    }
    body
}
