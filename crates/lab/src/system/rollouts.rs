//! Days with rollouts: the lines of a scenario that order them, and what a new version's servers are like.
//!
//! `at 12 rollout tiro errors term 14`: at that second an operator orders that `tiro` moves to a new version, within 14 s. As
//! many servers of that version as the service has at first start beside the old ones. Versions are numbered by the lines.

use simulator::scenario::Scenario;
use simulator::{Micros, SECOND};

/// A version that turns bad later does so this long after the start of each server.
pub const LATE_AFTER: Micros = 3 * SECOND;
/// The part of a bad version's answers that are errors.
pub const ERROR_PART: f64 = 0.5;
/// A slow version takes so many times as long.
pub const SLOW_TIMES: f64 = 5.0;
const FIRST_NEW_VERSION: usize = 2;

/// What the servers of a new version are like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quality {
    Good,
    /// Part of the answers are errors.
    Errors,
    /// Answers take several times as long.
    Slow,
    /// Errors, some seconds after the start.
    Late,
}

impl Quality {
    pub const ALL: [Quality; 4] = [Quality::Good, Quality::Errors, Quality::Slow, Quality::Late];

    pub fn name(self) -> &'static str {
        match self {
            Quality::Good => "good",
            Quality::Errors => "errors",
            Quality::Slow => "slow",
            Quality::Late => "late",
        }
    }

    fn read(word: &str) -> Option<Quality> {
        Quality::ALL.into_iter().find(|quality| quality.name() == word)
    }

    /// Whether a server answers with errors at this age.
    pub fn fails(self, age: Micros) -> bool {
        self == Quality::Errors || (self == Quality::Late && age > LATE_AFTER)
    }
}

/// A rollout as the scenario plans it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRollout {
    pub at: Micros,
    pub service: String,
    pub version: String,
    pub quality: Quality,
    pub term: Micros,
}

/// A day of real processes: what `simulator` can play as well, and the rollouts.
pub struct Script {
    pub scenario: Scenario,
    pub rollouts: Vec<PlannedRollout>,
}

impl Script {
    pub fn read(text: &str) -> Result<Script, String> {
        let (ordered, others): (Vec<&str>, Vec<&str>) = text.lines().partition(|line| is_rollout(line));
        let scenario = Scenario::read(&others.join("\n")).map_err(|e| e.to_string())?;
        let planned = ordered.iter().enumerate().map(|(n, line)| planned(n, line, &scenario));
        let mut rollouts = planned.collect::<Result<Vec<PlannedRollout>, String>>()?;
        rollouts.sort_by_key(|rollout| rollout.at);
        Ok(Script { scenario, rollouts })
    }
}

fn is_rollout(line: &str) -> bool {
    let mut words = line.split_whitespace();
    words.next() == Some("at") && words.nth(1) == Some("rollout")
}

fn planned(n: usize, line: &str, scenario: &Scenario) -> Result<PlannedRollout, String> {
    let wrong = |why: &str| format!("{line:?}: {why}");
    let words: Vec<&str> = line.split_whitespace().collect();
    let ["at", at, "rollout", service, quality, "term", term] = words[..] else {
        return Err(wrong("not 'at SECOND rollout SERVICE QUALITY term SECONDS'"));
    };
    let seconds = |word: &str| {
        let number = word.parse::<f64>().ok().filter(|s| s.is_finite() && *s > 0.0);
        number.map(|s| (s * SECOND as f64) as Micros).ok_or_else(|| wrong("not a number of seconds"))
    };
    if !scenario.servers.iter().any(|(name, _)| name == service) {
        return Err(wrong("there is no such service"));
    }
    Ok(PlannedRollout {
        at: seconds(at)?,
        service: service.to_string(),
        version: format!("v{}", n + FIRST_NEW_VERSION),
        quality: Quality::read(quality).ok_or_else(|| wrong("not good, errors, slow or late"))?,
        term: seconds(term)?,
    })
}

/// How the names of the servers of a new version begin.
pub fn server_prefix(service: &str, version: &str) -> String {
    format!("{service}.{version}.")
}
