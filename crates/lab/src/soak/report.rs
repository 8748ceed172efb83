//! What a soak comes to: a row for each day, and the rules that were broken, by cases and by runs.

use crate::system::Day;
use simulator::scenario::Scenario;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

#[derive(Clone, Debug)]
pub struct Row {
    pub seed: u64,
    /// What the day is about.
    pub about: &'static str,
    pub proxies: usize,
    pub served: usize,
    pub owed: usize,
    pub probes: u64,
    /// Broken rules, and how many cases of each.
    pub broken: BTreeMap<&'static str, usize>,
    pub own_ends: usize,
    pub rollouts: usize,
    /// Rollouts not over as they should be by their term; these alone do not fail a day.
    pub missed_duties: usize,
    /// By how much a process's loop and the rig's own clock were late, in milliseconds.
    pub process_lag_ms: u64,
    pub rig_lag_ms: u64,
    /// Why the day could not be played.
    pub unplayed: Option<String>,
}

impl Row {
    pub fn of(seed: u64, about: &'static str, scenario: &Scenario, day: &Day, process_lag_ms: u64) -> Row {
        let mut broken = BTreeMap::new();
        for breach in &day.breaches {
            *broken.entry(breach.rule).or_default() += 1;
        }
        let (served, owed) = day.record.served(0, day.record.ends);
        Row {
            seed,
            about,
            proxies: scenario.edges,
            served,
            owed,
            probes: day.observed.probes,
            broken,
            own_ends: day.own_ends.len(),
            rollouts: day.observed.rollouts.len(),
            missed_duties: day.missed_duties.len(),
            process_lag_ms,
            rig_lag_ms: day.observed.rig_lag / 1000,
            unplayed: None,
        }
    }

    pub fn unplayed(seed: u64, about: &'static str, scenario: &Scenario, why: &str) -> Row {
        Row {
            seed,
            about,
            proxies: scenario.edges,
            served: 0,
            owed: 0,
            probes: 0,
            broken: BTreeMap::new(),
            own_ends: 0,
            rollouts: 0,
            missed_duties: 0,
            process_lag_ms: 0,
            rig_lag_ms: 0,
            unplayed: Some(why.to_string()),
        }
    }

    /// All rules held, no process ended by itself, and the day was played.
    pub fn kept(&self) -> bool {
        self.broken.is_empty() && self.own_ends == 0 && self.unplayed.is_none()
    }

    fn verdict(&self) -> String {
        if let Some(why) = &self.unplayed {
            return format!("not played: {why}");
        }
        let mut parts: Vec<String> = self.broken.iter().map(|(rule, n)| format!("{rule} {n}")).collect();
        if self.own_ends > 0 {
            parts.push(format!("{} ended by themselves", self.own_ends));
        }
        if parts.is_empty() { "kept".to_string() } else { parts.join(", ") }
    }

    pub fn line(&self) -> String {
        format!(
            "seed {:4}  {:8} {:4} proxies  {:6} of {:6} served  {:5} probes  {} rollouts, {} not over by the term  late: processes {:5} ms, rig {:4} ms  {}",
            self.seed,
            self.about,
            self.proxies,
            self.served,
            self.owed,
            self.probes,
            self.rollouts,
            self.missed_duties,
            self.process_lag_ms,
            self.rig_lag_ms,
            self.verdict()
        )
    }
}

pub struct Report {
    pub rows: Vec<Row>,
}

impl Report {
    pub fn failed(&self) -> usize {
        self.rows.iter().filter(|row| !row.kept()).count()
    }

    /// The sum, in words.
    pub fn summary(&self) -> String {
        let mut out = format!("{} of {} days failed\n", self.failed(), self.rows.len());
        let mut rules: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for (rule, cases) in self.rows.iter().flat_map(|row| &row.broken) {
            let sum = rules.entry(rule).or_default();
            *sum = (sum.0 + cases, sum.1 + 1);
        }
        for (rule, (cases, days)) in rules {
            let _ = writeln!(out, "{rule}: {cases} cases on {days} days");
        }
        let rollouts: usize = self.rows.iter().map(|row| row.rollouts).sum();
        let missed: usize = self.rows.iter().map(|row| row.missed_duties).sum();
        let _ = writeln!(out, "{missed} of {rollouts} rollouts not over as wanted by their term");
        let own_ends: usize = self.rows.iter().map(|row| row.own_ends).sum();
        if own_ends > 0 {
            let _ = writeln!(out, "{own_ends} processes ended by themselves");
        }
        out
    }

    /// `report.txt` and `report.csv`.
    pub fn write(&self, dir: &Path) -> Result<(), String> {
        let mut text: String = self.rows.iter().map(|row| row.line() + "\n").collect();
        text.push('\n');
        text.push_str(&self.summary());
        text.push_str(
            "Servers, clients and operators are stand-ins; the three programs are real processes.\n",
        );
        let path = dir.join("report.txt");
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        self.write_csv(&dir.join("report.csv"))
    }

    fn write_csv(&self, path: &Path) -> Result<(), String> {
        let cannot = |e: csv::Error| format!("{}: {e}", path.display());
        let mut csv = csv::Writer::from_path(path).map_err(cannot)?;
        csv.write_record([
            "seed",
            "kind",
            "proxies",
            "owed",
            "served",
            "probes",
            "rollouts",
            "missed_duties",
            "process_lag_ms",
            "rig_lag_ms",
            "verdict",
        ])
        .map_err(cannot)?;
        for row in &self.rows {
            csv.write_record([
                row.seed.to_string(),
                row.about.to_string(),
                row.proxies.to_string(),
                row.owed.to_string(),
                row.served.to_string(),
                row.probes.to_string(),
                row.rollouts.to_string(),
                row.missed_duties.to_string(),
                row.process_lag_ms.to_string(),
                row.rig_lag_ms.to_string(),
                row.verdict(),
            ])
            .map_err(cannot)?;
        }
        csv.flush().map_err(|e| format!("{}: {e}", path.display()))
    }
}
