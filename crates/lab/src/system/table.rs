//! What a day of real processes comes to: a table for the screen, figures by second as CSV and chart, and the account of
//! broken rules.

use super::{Day, SECOND, TRAFFIC};
use crate::report::{Series, draw_lines, font, histogram, ms};
use hdrhistogram::Histogram;
use plotters::style::{BLUE, GREEN, RED};
use simulator::record::Record;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// One second of the day, by when requests were first sent.
pub struct Second {
    pub asked: u64,
    pub served: u64,
    pub unserved: u64,
    pub further: u64,
    pub refused: u64,
    took: Histogram<u64>,
}

pub fn seconds(record: &Record) -> BTreeMap<u64, Second> {
    let mut out: BTreeMap<u64, Second> = BTreeMap::new();
    let new = || Second { asked: 0, served: 0, unserved: 0, further: 0, refused: 0, took: histogram() };
    for r in record.requests.iter().filter(|r| !r.unowed) {
        let s = out.entry(r.sent / SECOND).or_insert_with(new);
        s.asked += 1;
        match r.served {
            Some(at) => {
                s.served += 1;
                let _ = s.took.record((at - r.sent).max(1));
            }
            None => s.unserved += 1,
        }
    }
    let mut seen = std::collections::BTreeSet::new();
    for t in &record.tries {
        let sent = record.requests[t.request as usize].sent;
        let s = out.entry(sent / SECOND).or_insert_with(new);
        s.further += u64::from(!seen.insert(t.request));
        s.refused += u64::from(t.answer.as_ref().is_some_and(|a| matches!(a.status, 408 | 421 | 429 | 503)));
    }
    out
}

fn clock(day: &Day, at: u64) -> String {
    let marks = day.notes.iter().filter(|(when, _)| when / SECOND == at);
    marks.map(|(_, what)| what.as_str()).collect::<Vec<_>>().join("; ")
}

/// The table by second with what was done, and the sum of the day.
pub fn show(day: &Day) -> String {
    let mut out = String::from(
        "second  asked  served  unserved  tries again  refusals  p50 ms  p99 ms  what was done\n",
    );
    for (at, s) in seconds(&day.record) {
        let _ = writeln!(
            out,
            "{at:6}  {:5}  {:6}  {:8}  {:11}  {:8}  {:6.0}  {:6.0}  {}",
            s.asked,
            s.served,
            s.unserved,
            s.further,
            s.refused,
            ms(&s.took, 0.5),
            ms(&s.took, 0.99),
            clock(day, at)
        );
    }
    let (served, all) = day.record.served(0, day.record.ends);
    let _ = writeln!(
        out,
        "\n{served} of {all} requests that were owed an answer were served, in {} tries; {} configurations, {} evacuations; \
         {} processes ended by themselves.",
        day.record.tries.len(),
        day.record.changes.len(),
        day.record.evacuations.len(),
        day.own_ends.len()
    );
    out.push_str("Servers, clients and operator are stand-ins; the three programs are real.\n");
    for what in &day.missed_duties {
        let _ = writeln!(out, "duty missed: {what}");
    }
    for what in &day.unmet {
        let _ = writeln!(out, "NOT KEPT {what}");
    }
    if day.unmet.is_empty() {
        out.push_str("No rule was broken.\n");
    }
    out
}

/// `seconds.csv`, `seconds.svg`, `latency.svg` (and `.png`), `summary.txt`, and the trails of broken rules.
pub fn write(day: &Day, dir: &Path) -> Result<(), String> {
    let at = |name: &str| dir.join(name);
    let seconds = seconds(&day.record);
    let path = at("seconds.csv");
    let cannot = |e: csv::Error| format!("{}: {e}", path.display());
    let mut csv = csv::Writer::from_path(&path).map_err(cannot)?;
    csv.write_record([
        "second",
        "asked",
        "served",
        "unserved",
        "further_tries",
        "refusals",
        "p50_ms",
        "p99_ms",
        "done",
    ])
    .map_err(cannot)?;
    for (n, s) in &seconds {
        let counts = [*n, s.asked, s.served, s.unserved, s.further, s.refused].map(|n| n.to_string());
        let times = [ms(&s.took, 0.5), ms(&s.took, 0.99)].map(|t| format!("{t:.1}"));
        let row = counts.into_iter().chain(times).chain([clock(day, *n)]);
        csv.write_record(row).map_err(cannot)?;
    }
    csv.flush().map_err(|e| format!("{}: {e}", path.display()))?;
    let text = |name: &str, text: String| {
        std::fs::write(at(name), text).map_err(|e| format!("{}: {e}", at(name).display()))
    };
    text("summary.txt", show(day))?;
    text("breaches.txt", trails(day))?;
    if !font() {
        return Ok(());
    }
    let line = |of: &dyn Fn(&Second) -> f64| -> Vec<(f64, f64)> {
        seconds.iter().map(|(n, s)| ((n - TRAFFIC / SECOND) as f64, of(s))).collect()
    };
    let marks: Vec<(f64, String)> = day
        .notes
        .iter()
        .filter(|(when, what)| *when > TRAFFIC && (what.contains("killed") || what.contains("version")))
        .map(|(when, what)| ((when - TRAFFIC) as f64 / 1e6, what.clone()))
        .collect();
    let counts: Series = vec![
        ("served".into(), GREEN, line(&|s| s.served as f64)),
        ("refusals".into(), BLUE, line(&|s| s.refused as f64)),
        ("unserved".into(), RED, line(&|s| s.unserved as f64)),
    ];
    let times: Series = vec![
        ("p50".into(), BLUE, line(&|s| ms(&s.took, 0.5))),
        ("p99".into(), RED, line(&|s| ms(&s.took, 0.99))),
    ];
    draw_lines(&at("seconds"), "requests, by when they were first sent", "a second", &counts, &marks)?;
    draw_lines(&at("latency"), "from the first try to the answer", "milliseconds", &times, &marks)
}

pub fn trails(day: &Day) -> String {
    let mut out = String::new();
    for b in &day.breaches {
        let _ = writeln!(out, "{}: {}", b.rule, b.what);
        if let Some(n) = b.attempt {
            out.push_str(&day.record.trail(n));
        }
        out.push('\n');
    }
    out
}
