//! `curlewfront status`, `servers` and `nodes`: what one registry knows, which may be older than what is agreed.

use crate::error::CommandError;
use crate::registries::Registries;
use crate::table::{cell, list};
use clap::Command;
use jzon::JsonValue;

pub fn commands() -> [Command; 3] {
    [
        Command::new("status").about("The state of the registry that answers: core, leader, followers"),
        Command::new("servers").about("The servers, as the registry that answers knows them"),
        Command::new("nodes").about("The proxies, as the registry that answers knows them"),
    ]
}

const SERVERS: [(&str, &str); 8] = [
    ("SERVER", "server_id"),
    ("SERVICE", "service_ref"),
    ("ADDRESS", "server_address"),
    ("ZONE", "zone_name"),
    ("SLOTS", "slot_count"),
    ("STATE", "server_state"),
    ("COLD MS", "cold_left_ms"),
    ("HEARD MS AGO", "heard_ms_ago"),
];
const NODES: [(&str, &str); 7] = [
    ("PROXY", "node_name"),
    ("IP", "ip_address"),
    ("ZONE", "zone_name"),
    ("REGION", "region_name"),
    ("READY", "ready"),
    ("HEARD MS AGO", "heard_ms_ago"),
    ("REVISION", "revision"),
];
const FOLLOWERS: [(&str, &str); 3] =
    [("FOLLOWER", "node_name"), ("IP", "ip_address"), ("REVISION", "revision")];

pub fn run(name: &str, json: bool, registries: &Registries) -> Result<String, CommandError> {
    let target = match name {
        "servers" => "/api/instances",
        other => &format!("/api/{other}"),
    };
    let (raw, value) = registries.get(target)?;
    if json {
        return Ok(raw + "\n");
    }
    let view = seen_by(&value);
    Ok(match name {
        "servers" => view + &list(&value["instance_list"], &SERVERS),
        "nodes" => view + &list(&value["node_list"], &NODES),
        _ => view + &status(&value),
    })
}

/// The line above a view: which registry answered, and up to which revision of the log it knows.
pub fn seen_by(value: &JsonValue) -> String {
    format!("as seen by {} at revision {}\n", cell(&value["answered_by"]), cell(&value["revision"]))
}

fn status(value: &JsonValue) -> String {
    let mut out = String::new();
    let core = value["core_list"].members();
    let core = core.map(|m| format!("{} ({})", cell(&m["ip_address"]), cell(&m["zone_name"])));
    for (name, text) in [
        ("configuration", cell(&value["config_version"])),
        ("core", core.collect::<Vec<_>>().join(", ")),
        ("fresh", cell(&value["fresh"])),
        ("leads", cell(&value["leads"])),
        ("evacuated", cell(&value["evacuated_zones"])),
    ] {
        out.push_str(&format!("{name:<14} {text}\n"));
    }
    out + &list(&value["follower_list"], &FOLLOWERS)
}
