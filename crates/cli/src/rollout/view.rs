//! One rollout as text: both versions side by side.

use crate::table::{Table, cell};
use jzon::JsonValue;

/// State, reason and time left, and below them the figures of both versions.
pub fn show(value: &JsonValue) -> String {
    let (old, new) = (&value["old_side"], &value["new_side"]);
    let mut table = Table::new(&["", "OLD", "NEW"]);
    for (what, figure) in FIGURES {
        table.row(vec![what.to_string(), figure(old), figure(new)]);
    }
    format!("{}\nreason: {}\n{}", heading(value), cell(&value["reason"]), table.show())
}

/// One line: which rollout, its state and stage, and how much of its term is left.
pub fn heading(value: &JsonValue) -> String {
    let (state, stage) = (cell(&value["server_state"]), cell(&value["stage"]));
    let stage = if state == stage { String::new() } else { format!(", stage {stage}") };
    let left = value["left_ms"].as_f64().map(|ms| format!(", {:.1} s left", ms / 1e3)).unwrap_or_default();
    format!("{} to {}: {state}{stage}{left}", cell(&value["service_ref"]), cell(&value["target_version"]))
}

type Figure = fn(&JsonValue) -> String;

/// What is told of each side.
const FIGURES: [(&str, Figure); 7] = [
    ("versions", |side| cell(&side["version_names"])),
    ("servers", |side| cell(&side["server_count"])),
    ("answers", |side| cell(&side["answer_count"])),
    ("failures", |side| cell(&side["failure_count"])),
    ("failures in 100", failures_in_100),
    ("median ms", |side| range(&side["median_ms"])),
    ("95 in 100 within ms", |side| range(&side["percentile_95_ms"])),
];

fn failures_in_100(side: &JsonValue) -> String {
    match (side["failure_count"].as_f64(), side["answer_count"].as_f64()) {
        (Some(failed), Some(answers)) if answers > 0.0 => format!("{:.1}", 100.0 * failed / answers),
        _ => "-".into(),
    }
}

/// The bucket that a time falls into.
fn range(range: &JsonValue) -> String {
    match (range["from"].as_f64(), range["below"].as_f64()) {
        (Some(from), Some(below)) => format!("{from:.0} to {below:.0}"),
        (Some(from), None) => format!("{from:.0} or more"),
        _ => "-".into(),
    }
}
