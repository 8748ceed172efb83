//! Launches on simulated time, three ways: room that is agreed on and booked ahead, no booking, and each proxy holding an
//! even part by its own clock. Tells by second how long booked and other requests took.

use crate::report::{Series, draw_lines, font};
use hdrhistogram::Histogram;
use plotters::prelude::*;
use simulator::hunt::play;
use simulator::record::{Record, Request};
use simulator::scenario::{Rooms, Scenario, What};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;

const SECOND: u64 = 1_000_000;
const WAYS: [(&str, Rooms, RGBColor); 3] = [
    ("booked", Rooms::Agreed, GREEN),
    ("no booking", Rooms::None, RED),
    ("own clocks", Rooms::OwnClocks, BLUE),
];
/// What is not served counts as this long, the deadline of every request.
const UNSERVED_MS: u64 = 3_000;

struct Taken {
    times: Histogram<u64>,
    asked: u64,
    served: u64,
}

impl Default for Taken {
    fn default() -> Taken {
        let times = Histogram::new_with_bounds(1, 60_000, 3).expect("fixed bounds");
        Taken { times, asked: 0, served: 0 }
    }
}

impl Taken {
    fn add(&mut self, r: &Request) {
        self.asked += 1;
        self.served += u64::from(r.served.is_some());
        let ms = r.served.map_or(UNSERVED_MS, |at| (at - r.sent) / 1000);
        self.times.saturating_record(ms.max(1));
    }

    fn ms(&self, part: f64) -> u64 {
        if self.asked == 0 { 0 } else { self.times.value_at_quantile(part) }
    }

    fn served_of_100(&self) -> f64 {
        100.0 * self.served as f64 / self.asked.max(1) as f64
    }
}

/// By second of the day: what was asked for by those who are booked for, and by the others.
type BySecond = Vec<[Taken; 2]>;

/// What is asked of the service that is booked; whether by those whom it is booked for.
fn of_service<'r>(r: &'r Record, service: &str, tenants: &BTreeSet<usize>) -> Vec<(bool, &'r Request)> {
    let prefix = format!("/r-{service}/");
    let asked: BTreeSet<u64> =
        r.tries.iter().filter(|t| t.path.starts_with(&prefix)).map(|t| t.request).collect();
    let asked = asked.into_iter().filter_map(|n| r.requests.get(n as usize));
    asked.map(|q| (tenants.contains(&q.tenant), q)).collect()
}

pub fn run(path: &Path, out: &Path, seeds: u64) -> Result<String, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let scenario = Scenario::read(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let booked = scenario.events.iter().find_map(|(_, what)| match what {
        What::Change { wish: simulator::Wish::Book(b), .. } => Some(b.clone()),
        _ => None,
    });
    let booked = booked.ok_or_else(|| format!("{}: nothing is booked", path.display()))?;
    let tenants: BTreeSet<usize> =
        booked.tenants.iter().filter_map(|t| t.strip_prefix('t').and_then(|n| n.parse().ok())).collect();
    let seconds = (scenario.ends / SECOND) as usize;
    let mut all: Vec<(BySecond, [Taken; 2], usize)> = Vec::new();
    for (_, rooms, _) in WAYS {
        let mut by_second: BySecond = (0..seconds).map(|_| Default::default()).collect();
        let mut window: [Taken; 2] = Default::default();
        let mut broken = 0;
        for seed in 1..=seeds {
            let played = play(&Scenario { rooms, ..scenario.clone() }, seed, false);
            broken += played.breaches.len();
            for (ours, request) in of_service(&played.record, &booked.service, &tenants) {
                let kind = usize::from(!ours);
                if let Some(at) = by_second.get_mut((request.sent / SECOND) as usize) {
                    at[kind].add(request);
                }
                if (booked.opens..booked.closes).contains(&request.sent) {
                    window[kind].add(request);
                }
            }
        }
        all.push((by_second, window, broken));
    }
    write_csv(&out.join("launch.csv"), &all).map_err(|e| e.to_string())?;
    if font() {
        let marks = [(booked.opens, "opens"), (booked.closes, "closes")];
        let marks = marks.map(|(at, what)| (at as f64 / 1e6, what.to_string()));
        for (kind, name) in ["booked", "others"].into_iter().enumerate() {
            let line = |b: &BySecond| {
                let seconds = b.iter().enumerate().filter(|(_, s)| s[kind].asked > 0);
                seconds.map(|(n, s)| (n as f64, s[kind].ms(0.95) as f64)).collect()
            };
            let lines = WAYS.iter().zip(&all).map(|(way, a)| (way.0.to_string(), way.2, line(&a.0)));
            let series: Series = lines.collect();
            let title = format!("simulated launch, requests of the {name}: 95 in 100 are answered within");
            draw_lines(&out.join(format!("launch-{name}")), &title, "milliseconds", &series, &marks)?;
        }
    }
    Ok(table(&all, seeds))
}

fn write_csv(path: &Path, all: &[(BySecond, [Taken; 2], usize)]) -> std::io::Result<()> {
    let mut csv = csv::Writer::from_path(path)?;
    csv.write_record(["way", "requests", "second", "asked", "served", "p50_ms", "p95_ms"])?;
    for ((way, ..), (by_second, ..)) in WAYS.iter().zip(all) {
        for (second, both) in by_second.iter().enumerate() {
            for (kind, taken) in ["booked", "others"].into_iter().zip(both).filter(|(_, t)| t.asked > 0) {
                let numbers = [second as u64, taken.asked, taken.served, taken.ms(0.5), taken.ms(0.95)];
                let numbers = numbers.map(|n| n.to_string());
                csv.write_record([*way, kind].into_iter().chain(numbers.iter().map(String::as_str)))?;
            }
        }
    }
    csv.flush()
}

fn table(all: &[(BySecond, [Taken; 2], usize)], seeds: u64) -> String {
    let mut out =
        format!("In the window, over {seeds} seeds; what is not served counts as {UNSERVED_MS} ms.\n\n");
    out.push_str("| way | requests | asked | served of 100 | p50 ms | p95 ms | p99 ms |\n");
    out.push_str("| --- | --- | --- | --- | --- | --- | --- |\n");
    for ((way, ..), (_, window, _)) in WAYS.iter().zip(all) {
        for (kind, t) in ["booked", "others"].into_iter().zip(window) {
            let (p50, p95, p99) = (t.ms(0.5), t.ms(0.95), t.ms(0.99));
            let served = t.served_of_100();
            let _ = writeln!(out, "| {way} | {kind} | {} | {served:.1} | {p50} | {p95} | {p99} |", t.asked);
        }
    }
    let broken: Vec<String> = WAYS.iter().zip(all).map(|(way, a)| format!("{} {}", way.0, a.2)).collect();
    let _ = writeln!(out, "\nBreaches of any rule: {}.", broken.join(", "));
    out
}
