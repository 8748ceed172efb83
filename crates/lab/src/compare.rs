//! `lab compare`: two programs (builds, or a build and a baseline) played on the same seeds, each several times,
//! side by side; the medians with their least and most, so that a change is judged against the noise.

use crate::gateways::Program;
use crate::report::{self, Summary};
use crate::run::{self, Options};
use crate::scenario::Scenario;
use serde::Serialize;
use std::path::{Path, PathBuf};

/// What a program named on the command line stands for: `curlewfront` (the release gateway), `round-robin` and
/// `token-bucket` (the lab's baselines), or the path of a program started as a gateway is.
pub fn program(name: &str) -> Result<Program, String> {
    let me = std::env::current_exe().map_err(|e| format!("cannot find the lab's own program: {e}"))?;
    match name {
        "curlewfront" => {
            let path = std::env::var_os("CURLEWFRONT_GATEWAY")
                .map(PathBuf::from)
                .unwrap_or_else(|| PathBuf::from("target/release/curlewfront-gateway"));
            if !path.exists() {
                return Err(format!("{}: no such program; build it with `make build`", path.display()));
            }
            Ok(Program { path, args: vec![] })
        }
        "round-robin" | "token-bucket" => {
            Ok(Program { path: me, args: vec!["baseline".into(), name.into()] })
        }
        path => {
            let path = PathBuf::from(path);
            if !path.exists() {
                return Err(format!("{}: no such program", path.display()));
            }
            Ok(Program { path, args: vec![] })
        }
    }
}

/// A figure of one side over its runs.
#[derive(Clone, Debug, Serialize)]
pub struct Spread {
    pub median: f64,
    pub least: f64,
    pub most: f64,
}

fn spread(mut xs: Vec<f64>) -> Spread {
    xs.sort_by(f64::total_cmp);
    let n = xs.len();
    let median = if n == 0 {
        0.0
    } else if n % 2 == 1 {
        xs[n / 2]
    } else {
        (xs[n / 2 - 1] + xs[n / 2]) / 2.0
    };
    Spread { median, least: xs.first().copied().unwrap_or(0.0), most: xs.last().copied().unwrap_or(0.0) }
}

/// The comparison: for each figure, both sides.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    pub scenario: String,
    pub a: String,
    pub b: String,
    pub seeds: Vec<u64>,
    pub figures: Vec<(String, Spread, Spread)>,
}

/// Plays both sides on `runs` seeds from the scenario's, A then B on each, into `out/a-SEED` and `out/b-SEED`.
pub async fn compare(s: &Scenario, a: &str, b: &str, runs: u32, out: &Path) -> Result<Comparison, String> {
    let sides = [(a, program(a)?), (b, program(b)?)];
    let seeds: Vec<u64> = (0..u64::from(runs)).map(|k| s.seed + k).collect();
    let mut summaries: [Vec<Summary>; 2] = [Vec::new(), Vec::new()];
    for &seed in &seeds {
        for (n, (name, program)) in sides.iter().enumerate() {
            let dir = out.join(format!("{}-{seed}", ["a", "b"][n]));
            let options = Options { program: program.clone(), out: dir.clone(), seed: Some(seed) };
            let outcome = run::run(s.clone(), &options).await?;
            let summary = report::summarize(&outcome, name);
            report::write(&dir, &summary, &outcome)?;
            eprintln!(
                "{} seed {seed}: served {:.3}, goodput {:.1}/s, p99 {:.0} ms, rules {}",
                ["a", "b"][n],
                summary.requests_served,
                summary.goodput_per_s,
                summary.p99_ms,
                if summary.rules_kept { "kept" } else { "BROKEN" }
            );
            summaries[n].push(summary);
        }
    }
    let names: Vec<&'static str> = report::key_figures(&summaries[0][0]).into_iter().map(|f| f.0).collect();
    let side =
        |n: usize, k: usize| spread(summaries[n].iter().map(|s| report::key_figures(s)[k].1).collect());
    let figures =
        names.iter().enumerate().map(|(k, name)| (name.to_string(), side(0, k), side(1, k))).collect();
    let c = Comparison { scenario: s.name.clone(), a: a.into(), b: b.into(), seeds, figures };
    let json = serde_json::to_string_pretty(&c).expect("plain data");
    std::fs::write(out.join("compare.json"), json).map_err(|e| format!("{}: {e}", out.display()))?;
    let mut w = csv::Writer::from_path(out.join("compare.csv")).map_err(|e| e.to_string())?;
    w.write_record(["figure", "a median", "a least", "a most", "b median", "b least", "b most"])
        .map_err(|e| e.to_string())?;
    for (name, x, y) in &c.figures {
        let row = [name.clone()]
            .into_iter()
            .chain([x.median, x.least, x.most, y.median, y.least, y.most].map(|v| format!("{v:.4}")));
        w.write_record(row).map_err(|e| e.to_string())?;
    }
    w.flush().map_err(|e| e.to_string())?;
    Ok(c)
}

/// The comparison as a table for a terminal or a page.
pub fn table(c: &Comparison) -> String {
    let mut out = format!("| figure | {} | {} |\n| --- | --- | --- |\n", c.a, c.b);
    for (name, x, y) in &c.figures {
        let cell = |s: &Spread| format!("{:.3} [{:.3}, {:.3}]", s.median, s.least, s.most);
        out.push_str(&format!("| {name} | {} | {} |\n", cell(x), cell(y)));
    }
    out
}

/// A run's summary made anew from its record and scenario, with the processor times and length of its first.
pub fn summary_again(dir: &Path) -> Result<Summary, String> {
    let path = dir.join("summary.json");
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let old: serde_json::Value =
        serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let (scenario, record, verdict) = run::check_again(dir)?;
    let tries = record.tries.len().max(1) as f64;
    let per = |k: &str| old[k].as_f64().unwrap_or(0.0) * tries / 1e6;
    let cpu = run::Cpu { lab_s: per("lab_cpu_us_per_try"), gateways_s: per("gateways_cpu_us_per_try") };
    let start = record.tries.iter().map(|t| t.sent_us).min().unwrap_or(0);
    let load_us = (start, start + (old["load_s"].as_f64().unwrap_or(0.0) * 1e6) as u64);
    let outcome = run::Outcome { record, verdict, cpu, scenario, load_us };
    Ok(report::summarize(&outcome, old["program"].as_str().unwrap_or("")))
}

/// Gathers the summaries of many runs into one table (`table.csv`, `table.md`) and a chart of requests served by
/// scenario and size, one bar for each program (`served.svg`, `served.png`).
pub fn gather(out: &Path, runs: &[PathBuf]) -> Result<String, String> {
    let mut rows: Vec<serde_json::Value> = Vec::new();
    for dir in runs {
        rows.push(serde_json::to_value(summary_again(dir)?).expect("plain data"));
    }
    let cols = [
        "scenario",
        "gateways",
        "program",
        "requests",
        "worth",
        "requests_served",
        "goodput_per_s",
        "p50_ms",
        "p99_ms",
        "beyond_quota",
        "refused_with_room",
        "lost",
        "rules_kept",
        "lab_cpu_us_per_try",
        "gateways_cpu_us_per_try",
    ];
    let cell = |r: &serde_json::Value, c: &str| match &r[c] {
        serde_json::Value::Number(n) if n.is_f64() => format!("{:.3}", n.as_f64().unwrap_or(0.0)),
        serde_json::Value::String(s) => s.clone(),
        v => v.to_string(),
    };
    std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    let mut w = csv::Writer::from_path(out.join("table.csv")).map_err(|e| e.to_string())?;
    w.write_record(cols).map_err(|e| e.to_string())?;
    let mut md = format!("| {} |\n|{}\n", cols.join(" | "), " --- |".repeat(cols.len()));
    for r in &rows {
        let cells: Vec<String> = cols.iter().map(|c| cell(r, c)).collect();
        w.write_record(&cells).map_err(|e| e.to_string())?;
        md.push_str(&format!("| {} |\n", cells.join(" | ")));
    }
    w.flush().map_err(|e| e.to_string())?;
    std::fs::write(out.join("table.md"), &md).map_err(|e| format!("{}: {e}", out.display()))?;
    crate::report::bars(out, &rows)?;
    Ok(md)
}
