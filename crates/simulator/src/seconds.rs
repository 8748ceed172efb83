//! A day with drills by the second: the caller, and everybody else beside the same day without the drills.

use crate::record::{Record, Try};
use crate::{Micros, SECOND};
use std::fmt::Write;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    /// Tries of the caller, those that met the fault, those that were a success.
    pub asked: usize,
    pub met: usize,
    pub well: usize,
    /// Everybody else's tries, successes, and the mean time of these in milliseconds.
    pub others: usize,
    pub others_well: usize,
    pub others_ms: f64,
}

pub fn by_second(record: &Record, drilled: &dyn Fn(&Try) -> bool) -> Vec<Second> {
    let mut rows = vec![Second::default(); (record.ends / SECOND) as usize + 1];
    for (n, t) in record.tries.iter().enumerate() {
        let row = &mut rows[(t.sent / SECOND) as usize];
        let good = t.answer.as_ref().filter(|a| a.status < 300);
        if drilled(t) {
            row.asked += 1;
            row.met += usize::from(record.met.iter().any(|m| m.attempt == n as u64));
            row.well += usize::from(good.is_some());
        } else {
            row.others += 1;
            if let Some(a) = good {
                row.others_well += 1;
                row.others_ms += (a.at - t.sent) as f64 / 1e3;
            }
        }
    }
    for row in &mut rows {
        row.others_ms /= row.others_well.max(1) as f64;
    }
    rows
}

/// Of the requests of the caller that may run once: asked, run once, run twice or more, never run.
pub fn reconciled(record: &Record, drilled: &dyn Fn(&Try) -> bool) -> [usize; 4] {
    let mut sums = [0; 4];
    for (number, _) in record.requests.iter().enumerate() {
        let tries: Vec<&Try> = record.tries.iter().filter(|t| t.request == number as u64).collect();
        if !tries.iter().any(|t| t.once && drilled(t)) {
            continue;
        }
        let ran = tries.iter().flat_map(|t| &t.arrivals).filter(|a| a.ran.is_some()).count();
        sums[0] += 1;
        sums[match ran {
            0 => 3,
            1 => 1,
            _ => 2,
        }] += 1;
    }
    sums
}

pub fn csv(with: &[Second], without: &[Second]) -> String {
    let mut out = "second,caller_asked,caller_met,caller_success,others_asked,others_success,others_mean_ms,\
        others_asked_without,others_success_without,others_mean_ms_without\n"
        .to_string();
    for (n, (a, b)) in with.iter().zip(without).enumerate() {
        let _ = writeln!(
            out,
            "{n},{},{},{},{},{},{:.3},{},{},{:.3}",
            a.asked,
            a.met,
            a.well,
            a.others,
            a.others_well,
            a.others_ms,
            b.others,
            b.others_well,
            b.others_ms
        );
    }
    out
}

const WIDE: f64 = 760.0;
const HIGH: f64 = 150.0;

/// Two panels: the caller (asked, success, met), and the others' mean time with and without the drill.
pub fn svg(with: &[Second], without: &[Second]) -> String {
    let step = WIDE / with.len().max(1) as f64;
    let line = |of: &dyn Fn(&Second) -> f64, rows: &[Second], most: f64, top: f64| {
        let at = |(n, row): (usize, &Second)| {
            format!("{:.1},{:.1}", 40.0 + n as f64 * step, top + HIGH - of(row) / most.max(1.0) * HIGH)
        };
        rows.iter().enumerate().map(at).collect::<Vec<_>>().join(" ")
    };
    let most = with.iter().map(|s| s.asked as f64).fold(1.0, f64::max);
    let slow = with.iter().chain(without).map(|s| s.others_ms).fold(1.0, f64::max);
    let mut out =
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"820\" height=\"400\" font-family=\"sans-serif\" \
         font-size=\"12\">\n<rect width=\"820\" height=\"400\" fill=\"white\"/>\n"
            .to_string();
    let mut text = |x: f64, y: f64, text: &str| {
        let _ = writeln!(out, "<text x=\"{x}\" y=\"{y}\">{text}</text>");
    };
    text(
        40.0,
        18.0,
        "caller, tries a second: grey asked, green success, red met the rehearsed fault (simulated)",
    );
    text(
        40.0,
        208.0,
        "everybody else, mean ms of a success: blue with the drill, black dashes without (simulated)",
    );
    text(4.0, 34.0, &format!("{most:.0}"));
    text(4.0, 224.0, &format!("{slow:.0}"));
    text(40.0, 394.0, &format!("0 to {} s", with.len() - 1));
    for (points, colour, dash) in [
        (line(&|s| s.asked as f64, with, most, 28.0), "#999", ""),
        (line(&|s| s.well as f64, with, most, 28.0), "#2a2", ""),
        (line(&|s| s.met as f64, with, most, 28.0), "#c22", ""),
        (line(&|s| s.others_ms, with, slow, 218.0), "#25c", ""),
        (line(&|s| s.others_ms, without, slow, 218.0), "#000", " stroke-dasharray=\"4 4\""),
    ] {
        let _ = writeln!(
            out,
            "<polyline points=\"{points}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\"{dash}/>"
        );
    }
    out + "</svg>\n"
}

/// What the day is looked at by: those that any of its drills is for.
pub fn callers(record: &Record) -> impl Fn(&Try) -> bool + '_ {
    |t| record.rehearsals.iter().any(|r| record.of_caller(&r.drill, t))
}

/// When the caller was well again: the first success after the last fault that it met.
pub fn well_again(record: &Record, drilled: &dyn Fn(&Try) -> bool) -> Option<(Micros, Micros)> {
    let last = record.met.iter().map(|m| m.at).max()?;
    let good = |t: &&Try| drilled(t) && t.sent > last && t.answer.as_ref().is_some_and(|a| a.status < 300);
    let first = record.tries.iter().filter(good).map(|t| t.answer.as_ref().map_or(0, |a| a.at)).min()?;
    Some((last, first))
}
