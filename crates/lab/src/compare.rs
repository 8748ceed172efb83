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
