//! `curlewfront booking`: room at the back end booked ahead, and how each proxy holds it.

use crate::error::CommandError;
use crate::registries::{Call, Registries, escape, text};
use crate::show::seen_by;
use crate::table::{cell, list};
use chrono::{DateTime, SecondsFormat, Utc};
use clap::{Arg, ArgAction, ArgGroup, ArgMatches, Command, value_parser};
use jzon::JsonValue;

const TARGET: &str = "/api/bookings";

const BOOKINGS: [(&str, &str); 8] = [
    ("BOOKING", "booking_name"),
    ("PHASE", "booking_phase"),
    ("SERVICE", "service_ref"),
    ("FLIGHT", "flight_count"),
    ("RATE A SECOND", "rate_per_s"),
    ("DIVIDED", "divided_count"),
    ("OPENS", "opens"),
    ("CLOSES", "closes"),
];
const HOLDERS: [(&str, &str); 7] = [
    ("PROXY", "node_name"),
    ("IP", "ip_address"),
    ("PART", "flight_count"),
    ("WANTED A SECOND", "wanted_per_s"),
    ("USED A SECOND", "used_per_s"),
    ("REVISION", "revision"),
    ("HEARD MS AGO", "heard_ms_ago"),
];

pub fn command() -> Command {
    let name = || Arg::new("name").value_name("NAME").required(true);
    let dry = || {
        let dry = Arg::new("dry-run").long("dry-run").action(ArgAction::SetTrue);
        dry.help("Only asks what would become of it")
    };
    let many = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("NAME").action(ArgAction::Append).help(help)
    };
    let time = |name: &'static str| {
        let time = Arg::new(name).long(name).value_name("TIME").required(true).value_parser(when);
        time.help("As 2027-03-01T18:00:00Z, or +SECONDS from now by this machine's clock")
    };
    let put = Command::new("put")
        .about("Books room, or changes a booking")
        .arg(name())
        .arg(Arg::new("service").long("service").value_name("NAME").required(true))
        .arg(many("tenant", "For requests of this tenant; may be given again"))
        .arg(many("route", "For requests on this route; may be given again"))
        .arg(
            Arg::new("flight")
                .long("flight")
                .value_name("N")
                .value_parser(value_parser!(u32))
                .help("Requests in flight at one time"),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("N")
                .value_parser(value_parser!(f64))
                .help("Requests a second, instead"),
        )
        .group(ArgGroup::new("much").args(["flight", "rate"]).required(true))
        .args([time("opens"), time("closes")])
        .arg(
            Arg::new("ramp")
                .long("ramp")
                .value_name("MS")
                .default_value("0")
                .value_parser(value_parser!(u32))
                .help("Taken up, and given back, over so many milliseconds"),
        )
        .arg(
            Arg::new("hold")
                .long("hold")
                .action(ArgAction::SetTrue)
                .help("Nobody else may use what is not in use"),
        )
        .arg(Arg::new("base").long("base").value_name("EPOCH").help("The epoch that a change builds on"))
        .arg(dry());
    Command::new("booking")
        .about("Room at the back end booked ahead")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(put)
        .subcommand(Command::new("list").about("The bookings"))
        .subcommand(Command::new("show").about("One, and how each proxy holds it").arg(name()))
        .subcommand(
            Command::new("cancel").about("Ends one; one that is open closes now").arg(name()).arg(dry()),
        )
}

/// Milliseconds since 1970.
fn when(said: &str) -> Result<i64, String> {
    match said.strip_prefix('+') {
        Some(seconds) => {
            let seconds: u32 = seconds.parse().map_err(|_| "expected +SECONDS".to_string())?;
            Ok(Utc::now().timestamp_millis() + i64::from(seconds) * 1000)
        }
        None => DateTime::parse_from_rfc3339(said).map(|t| t.timestamp_millis()).map_err(|e| e.to_string()),
    }
}

fn shown(ms: &JsonValue) -> String {
    let time = ms.as_i64().and_then(DateTime::<Utc>::from_timestamp_millis);
    time.map_or_else(|| cell(ms), |t| t.to_rfc3339_opts(SecondsFormat::Secs, true))
}

pub fn run(given: &ArgMatches, registries: &Registries) -> Result<String, CommandError> {
    let Some((what, given)) = given.subcommand() else {
        return Err(CommandError::Usage("booking: put, list, show or cancel".into()));
    };
    let json = given.get_flag("json");
    let name = match what {
        "list" => "",
        _ => given.get_one::<String>("name").map_or("", String::as_str),
    };
    let target = if name.is_empty() { TARGET.to_string() } else { format!("{TARGET}/{}", escape(name)) };
    match what {
        "list" | "show" => {
            let (raw, value) = registries.get(&target)?;
            Ok(if json { raw + "\n" } else { look(&value) })
        }
        _ => order(what == "put", name, target, given, registries, json),
    }
}

fn look(value: &JsonValue) -> String {
    let timed = |b: &JsonValue| {
        let mut b = b.clone();
        (b["opens"], b["closes"]) = (shown(&b["opens_ms"]).into(), shown(&b["closes_ms"]).into());
        b
    };
    if !value.has_key("booking_name") {
        let rows: Vec<JsonValue> = value["booking_list"].members().map(timed).collect();
        return seen_by(value) + &list(&rows.into(), &BOOKINGS);
    }
    let mut out = seen_by(value);
    out += &list(&vec![timed(value)].into(), &BOOKINGS);
    for (name, key) in [
        ("tenants", "tenant_refs"),
        ("routes", "route_refs"),
        ("ramp ms", "ramp_ms"),
        ("unused room", "unused_room"),
        ("epoch", "booking_epoch"),
        ("division", "division_number"),
        ("cancelled", "cancelled"),
    ] {
        out.push_str(&format!("{name:<14} {}\n", cell(&value[key])));
    }
    out + &list(&value["holder_list"], &HOLDERS)
}

fn order(
    put: bool,
    name: &str,
    target: String,
    given: &ArgMatches,
    registries: &Registries,
    json: bool,
) -> Result<String, CommandError> {
    let dry = given.get_flag("dry-run");
    let target = if dry { target + "?dry_run=true" } else { target };
    if !put {
        let answer = text(registries.send(&Call::without_body("DELETE", target))?);
        return Ok(match (json, dry) {
            (true, _) => answer + "\n",
            (_, true) => format!("{name}: would end\n"),
            _ => format!("{name}: ends\n"),
        });
    }
    let names = |key: &str| -> Vec<String> { given.get_many(key).into_iter().flatten().cloned().collect() };
    let mut body = jzon::object! {
        tenant_refs: names("tenant"),
        route_refs: names("route"),
        service_ref: given.get_one::<String>("service").map_or("", String::as_str),
        ramp_ms: given.get_one::<u32>("ramp").copied(),
        unused_room: if given.get_flag("hold") { "hold" } else { "lend" },
    };
    for (key, arg) in [("opens_ms", "opens"), ("closes_ms", "closes")] {
        body[key] = given.get_one::<i64>(arg).copied().into();
    }
    if let Some(n) = given.get_one::<u32>("flight") {
        body["flight_count"] = (*n).into();
    }
    if let Some(n) = given.get_one::<f64>("rate") {
        body["rate_per_s"] = (*n).into();
    }
    let base = given.get_one::<String>("base").map(String::as_str);
    let body = body.dump();
    let answer =
        text(registries.send(&Call { method: "PUT", target, if_match: base, body: body.as_bytes() })?);
    if json {
        return Ok(answer + "\n");
    }
    if !dry {
        return Ok(format!("{name}: booked\n"));
    }
    let value = jzon::parse(&answer).unwrap_or(JsonValue::Null);
    let figure = |key: &str| cell(&value[key]);
    Ok(format!(
        "{name}: would be booked: {} in flight, {} a second; free over the window {}, of {}\n",
        figure("flight_count"),
        figure("rate_per_s"),
        figure("free_count"),
        figure("room_count"),
    ))
}
