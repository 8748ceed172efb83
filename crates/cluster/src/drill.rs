//! Fire drills as they are agreed on: which there are, whom they met, how they ended. What a drill is and why it is kept
//! so: docs/system/drills.md.

use crate::Rev;
use serde::{Deserialize, Serialize};
use settings::config::Config;
pub use settings::drill::{Caller, Drill, Fault, Guard, Ran};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// At once.
pub const MOST_RUNNING: usize = 4;
/// Those that have ended are remembered, so that a late repeat of a call does not begin one anew.
const MOST_KEPT: usize = 16;
/// Attempts that are named, the last ones; of a counted drill all are.
const MOST_NAMED: usize = 64;
/// Lives of proxies that are told apart.
const MOST_TELLERS: usize = 512;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrillChange {
    Start(Box<Drill>),
    /// `epoch`: of that one alone.
    Stop {
        name: String,
        epoch: Option<Rev>,
        why: String,
    },
    Rows(Vec<Rows>),
}

/// What one life of a proxy has to say of a drill, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    pub epoch: Rev,
    pub ip: Ipv4Addr,
    pub life: u64,
    /// The number of the first; the others follow.
    pub first: u64,
    pub said: Vec<Said>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    /// May this attempt meet the fault? Of a counted drill.
    Ask(String),
    /// This attempt met it; by the grant of that number.
    Met { attempt: String, grant: Option<u64> },
    /// It must end.
    Guard(String),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub ip: Ipv4Addr,
    pub life: u64,
    pub number: u64,
    pub attempt: String,
    /// Else granted, and not met yet.
    pub met: bool,
}

/// How far a life of a proxy has been heard, and how many of its attempts met the fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Teller {
    pub up_to: u64,
    pub met: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    pub drill: Drill,
    /// The revision at which it began.
    pub epoch: Rev,
    /// Why; None: it runs.
    pub ended: Option<String>,
    pub tellers: BTreeMap<(Ipv4Addr, u64), Teller>,
    pub rows: Vec<Row>,
}

impl Held {
    pub fn met(&self) -> u32 {
        self.tellers.values().map(|t| t.met).sum()
    }

    /// Whether this question was granted; None: it has not been heard.
    pub fn granted(&self, ip: Ipv4Addr, life: u64, number: u64) -> Option<bool> {
        let heard = self.tellers.get(&(ip, life)).is_some_and(|t| t.up_to >= number);
        let of = |r: &Row| (r.ip, r.life, r.number) == (ip, life, number);
        heard.then(|| self.rows.iter().any(of))
    }

    fn end(&mut self, why: &str) {
        self.ended.get_or_insert_with(|| why.to_string());
    }

    fn hear(&mut self, rows: &Rows) {
        let by = (rows.ip, rows.life);
        if self.tellers.len() >= MOST_TELLERS && !self.tellers.contains_key(&by) {
            return;
        }
        for (number, said) in (rows.first..).zip(&rows.said) {
            let teller = self.tellers.entry(by).or_default();
            // Each once and in order: what is missing is told again.
            if number != teller.up_to + 1 {
                continue;
            }
            teller.up_to = number;
            let row = |attempt: &str, met| Row {
                ip: rows.ip,
                life: rows.life,
                number,
                attempt: attempt.to_string(),
                met,
            };
            match said {
                Said::Ask(attempt) => {
                    let may = self.drill.count.is_some_and(|count| self.rows.len() < count as usize);
                    if may && self.ended.is_none() {
                        self.rows.push(row(attempt, false));
                    }
                }
                Said::Met { attempt, grant: None } if self.drill.count.is_none() => {
                    teller.met += 1;
                    self.rows.push(row(attempt, true));
                    if self.rows.len() > MOST_NAMED {
                        self.rows.remove(0);
                    }
                }
                Said::Met { attempt, grant } => {
                    let of = |r: &&mut Row| (r.ip, r.life) == by && Some(r.number) == *grant && !r.met;
                    if let Some(r) = self.rows.iter_mut().find(of) {
                        teller.met += 1;
                        r.met = true;
                        // Left out where it is the one that asked.
                        if !attempt.is_empty() {
                            r.attempt = attempt.clone();
                        }
                    }
                }
                Said::Guard(why) => self.end(&format!("guard: {why}")),
            }
        }
        if self.drill.count.is_some_and(|count| self.met() >= count) {
            self.end("met as often as asked for");
        }
    }
}

/// All of them, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drills(pub BTreeMap<String, Held>);

impl Drills {
    pub fn running(&self) -> impl Iterator<Item = &Held> {
        self.0.values().filter(|h| h.ended.is_none())
    }

    /// Whether it could begin now; false: it has, and may have ended since.
    pub fn consider(&self, drill: &Drill, config: Option<&Config>) -> Result<bool, String> {
        if let Some(held) = self.0.get(&drill.name) {
            return match &held.ended {
                _ if held.drill == *drill => Ok(false),
                None => Err("name: another drill of this name runs".into()),
                Some(why) => Err(format!("name: a drill of this name has ended ({why}); take another name")),
            };
        }
        if self.running().count() >= MOST_RUNNING {
            return Err(format!("too many at once: {MOST_RUNNING} run"));
        }
        let config = config.ok_or("no configuration yet")?;
        drill.check(config).map_err(|e| e.to_string())?;
        Ok(true)
    }

    pub fn apply(&mut self, rev: Rev, change: &DrillChange, config: Option<&Config>) -> Result<(), String> {
        match change {
            DrillChange::Start(drill) => {
                if self.consider(drill, config)? {
                    let held = Held {
                        drill: (**drill).clone(),
                        epoch: rev,
                        ended: None,
                        tellers: BTreeMap::new(),
                        rows: Vec::new(),
                    };
                    self.0.insert(drill.name.clone(), held);
                    self.forget();
                }
            }
            DrillChange::Stop { name, epoch, why } => {
                let held = self.0.get_mut(name).filter(|h| epoch.is_none_or(|e| e == h.epoch));
                if let Some(held) = held {
                    held.end(why);
                }
            }
            DrillChange::Rows(all) => {
                for rows in all {
                    if let Some(held) = self.0.values_mut().find(|h| h.epoch == rows.epoch) {
                        held.hear(rows);
                    }
                }
            }
        }
        Ok(())
    }

    /// The oldest of those that have ended.
    fn forget(&mut self) {
        while self.0.len() > MOST_KEPT {
            let ended = self.0.values().filter(|h| h.ended.is_some());
            let Some(oldest) = ended.min_by_key(|h| h.epoch).map(|h| h.drill.name.clone()) else { return };
            self.0.remove(&oldest);
        }
    }
}
