//! Drills as text.

use crate::table::{Table, cell, list};
use jzon::JsonValue;

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

/// A row for each drill.
pub fn all(value: &JsonValue) -> String {
    list(&value["drill_list"], &DRILLS)
}

/// One drill, the proxies that carried it out, and the attempts that met its fault.
pub fn one(value: &JsonValue) -> String {
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

/// What a dry run tells of the fault of this kind.
pub fn dry_run(name: &str, fault: &str, value: &JsonValue) -> String {
    let runs = value["may_run"].as_bool() == Some(true);
    let runs = if runs { "runs, as its server answers" } else { "never runs" };
    let (rate, most) = (cell(&value["tenant_per_s"]), cell(&value["met_at_most"]));
    format!(
        "{name}: would be taken\na request that meets {fault}: {runs}\nthe tenant asks {rate} times a second\n\
         would meet it at most: {most}\n"
    )
}
