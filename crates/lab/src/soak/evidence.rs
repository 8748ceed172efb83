//! What is kept of a day: the schedule, what was done when, the broken rules with their trails, and what each process used
//! of the processor. The processes' logs and settings lie beside it already.

use crate::system::{Day, table};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

pub const SCHEDULE: &str = "day.txt";

fn put(dir: &Path, name: &str, text: &str) -> Result<(), String> {
    let path = dir.join(name);
    std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// The schedule alone, of a day that could not be played.
pub fn write_schedule(dir: &Path, text: &str) -> Result<(), String> {
    std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    put(dir, SCHEDULE, text)
}

pub fn write(dir: &Path, text: &str, day: &Day) -> Result<(), String> {
    write_schedule(dir, text)?;
    let mut played = String::new();
    for (at, what) in &day.notes {
        let _ = writeln!(played, "{:9.3}  {what}", *at as f64 / 1e6);
    }
    put(dir, "played.txt", &played)?;
    put(dir, "summary.txt", &table::show(day))?;
    put(dir, "breaches.txt", &table::trails(day))?;
    put(dir, "rollouts.txt", &rollouts(day))?;
    let mut processors = String::from("process,life,processor_ms\n");
    for used in &day.observed.processors {
        let _ = writeln!(processors, "{},{},{}", used.name, used.life, used.ms);
    }
    put(dir, "processors.csv", &processors)
}

/// Each order, what was told of it whenever that changed, and the duties that were missed.
fn rollouts(day: &Day) -> String {
    let mut out = String::new();
    for r in &day.observed.rollouts {
        let (sent, quality, term) = (r.sent as f64 / 1e6, r.quality.name(), r.term as f64 / 1e6);
        let _ = writeln!(
            out,
            "{sent:9.3}  {} to {} ({quality}), term {term:.2}: {:?}",
            r.service, r.version, r.fate
        );
    }
    let mut last = BTreeMap::new();
    for view in &day.observed.rollout_views {
        let now = (&view.told, &view.reason);
        if last.insert(&view.service, now) != Some(now) {
            let _ = writeln!(
                out,
                "{:9.3}  {} is told as {:?}: {}",
                view.until as f64 / 1e6,
                view.service,
                view.told,
                view.reason
            );
        }
    }
    for missed in &day.missed_duties {
        let _ = writeln!(out, "duty missed: {missed}");
    }
    let _ = writeln!(out, "{} bad answers", day.observed.bad_answers.len());
    out
}

/// The most by which a process's loop was late, as the logs tell, in milliseconds.
pub fn worst_lag(dir: &Path) -> u64 {
    let files = std::fs::read_dir(dir).into_iter().flatten().flatten();
    let logs = files.filter(|f| f.path().extension().is_some_and(|e| e == "log"));
    let texts = logs.filter_map(|f| std::fs::read_to_string(f.path()).ok());
    texts.flat_map(|text| text.lines().filter_map(lag_of).collect::<Vec<_>>()).max().unwrap_or(0)
}

fn lag_of(line: &str) -> Option<u64> {
    let (_, rest) = line.split_once("the loop is ")?;
    rest.split_whitespace().next()?.parse().ok()
}
