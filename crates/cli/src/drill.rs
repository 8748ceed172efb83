//! `curlewfront drill`: begins, looks at and ends rehearsed faults.

use crate::error::CommandError;
use crate::registries::{Call, Registries, escape, text};
use crate::table::{Table, cell, list};
use clap::{Arg, ArgAction, ArgMatches, Command};
use jzon::JsonValue;

const TARGET: &str = "/api/drills";

pub fn command() -> Command {
    let name = || Arg::new("NAME").value_name("NAME").required(true);
    let file = Arg::new("FILE").value_name("FILE").required(true);
    let dry = Arg::new("dry-run").long("dry-run").action(ArgAction::SetTrue);
    Command::new("drill")
        .about("Rehearsed faults for one caller")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("start")
                .about("Begins a drill as a file describes it")
                .args([
                    name(),
                    file.help("JSON: the caller, the fault, how often, for how long, who asks and why"),
                ])
                .arg(dry.help("Only says what it would do")),
        )
        .subcommand(Command::new("list").about("The drills that run, and the last that have ended"))
        .subcommand(
            Command::new("show").about("One drill: which proxies, how many, which attempts").arg(name()),
        )
        .subcommand(Command::new("stop").about("Ends a drill").arg(name()))
        .subcommand(
            Command::new("key-name").about("What a key, read from standard input, is called in a drill"),
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
        return Ok(jig::drill::key_name(key.trim()) + "\n");
    }
    let json = given.get_flag("json");
    if call == "list" {
        let (raw, value) = registries()?.get(TARGET)?;
        return Ok(if json { raw + "\n" } else { list(&value["drill_list"], &DRILLS) });
    }
    let name = given.get_one::<String>("NAME").map_or("", String::as_str);
    let target = format!("{TARGET}/{}", escape(name));
    match call {
        "show" => {
            let (raw, value) = registries()?.get(&target)?;
            Ok(if json { raw + "\n" } else { report(&value) })
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
    let path = given.get_one::<String>("FILE").map_or("", String::as_str);
    let body = std::fs::read(path).map_err(|e| CommandError::Usage(format!("{path}: {e}")))?;
    let drill = jig::drill::Drill::read(name, &body).map_err(|e| CommandError::Refused(e.to_string()))?;
    let dry = given.get_flag("dry-run");
    let target = if dry { format!("{target}?dry_run=true") } else { target.to_string() };
    let told = text(registries.send(&Call { method: "PUT", target, if_match: None, body: &body })?);
    if json {
        return Ok(told + "\n");
    }
    if !dry {
        return Ok(format!("{name}: runs for {} s\n", f64::from(drill.for_ms) / 1e3));
    }
    let value = jzon::parse(&told).unwrap_or(JsonValue::Null);
    let ran =
        if value["may_run"].as_bool() == Some(true) { "runs, as its server answers" } else { "never runs" };
    Ok(format!(
        "{name}: would be taken\na request that meets {}: {ran}\nthe tenant asks {} times a second\nwould meet it at most: {}\n",
        drill.fault.name(),
        cell(&value["tenant_per_s"]),
        cell(&value["met_at_most"]),
    ))
}

const DRILLS: [(&str, &str); 6] = [
    ("DRILL", "drill_name"),
    ("STATE", "drill_state"),
    ("MET", "met_count"),
    ("COUNT", "count"),
    ("LEFT MS", "left_ms"),
    ("ENDED", "end_reason"),
];
const NODES: [(&str, &str); 3] = [("PROXY", "node_name"), ("IP", "ip_address"), ("MET", "met_count")];
const ATTEMPTS: [(&str, &str); 3] =
    [("ATTEMPT", "attempt_id"), ("IP", "ip_address"), ("STATE", "attempt_state")];

fn report(value: &JsonValue) -> String {
    let mut table = Table::new(&["DRILL", &cell(&value["drill_name"])]);
    for (what, text) in [
        ("state", cell(&value["drill_state"])),
        ("ended", cell(&value["end_reason"])),
        ("left ms", cell(&value["left_ms"])),
        ("fault", cell(&value["fault"]["fault_kind"])),
        ("tenant", cell(&value["caller"]["tenant_name"])),
        ("key", cell(&value["caller"]["key_name"])),
        ("route", cell(&value["caller"]["route_name"])),
        ("met", cell(&value["met_count"])),
        ("of", cell(&value["count"])),
        ("asked by", cell(&value["asked_by"])),
        ("reason", cell(&value["reason"])),
    ] {
        table.row(vec![what.to_string(), text]);
    }
    [table.show(), list(&value["node_list"], &NODES), list(&value["attempt_list"], &ATTEMPTS)].join("\n")
}
