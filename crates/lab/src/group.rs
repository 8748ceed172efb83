//! Scenarios of the fleet group: real processes, clients of documents, faults at times and at named points, and a judge
//! that goes by the record of the run alone.

use crate::documents::{Clients, key};
use crate::rig::{self, Fault, Rig, Row, Setup};
use curlewfront_fleet::control::Control;
use curlewfront_fleet::state::{Applied, Command};
use curlewfront_fleet::voter::Response;
use curlewfront_fleetsim::history::{Done, Ret, linearizable};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// A scenario, as its TOML says it. Unknown keys are errors.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// Always `group`: what kind of scenario this is.
    kind: String,
    #[serde(default = "one")]
    pub seed: u64,
    pub duration_s: f64,
    pub voters: usize,
    #[serde(default)]
    pub watchers: usize,
    #[serde(default = "election")]
    pub election_ms: u64,
    #[serde(default = "lease")]
    pub lease_ms: u64,
    #[serde(default = "compact")]
    pub compact_after: u64,
    #[serde(default = "three")]
    pub clients: usize,
    #[serde(default = "three")]
    pub keys: usize,
    #[serde(default = "pause")]
    pub pause_ms: u64,
    /// So many faults are drawn from the seed, beside those written.
    #[serde(default)]
    pub drawn: usize,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Written>,
}

fn one() -> u64 {
    1
}
fn three() -> usize {
    3
}
fn election() -> u64 {
    300
}
fn lease() -> u64 {
    2_000
}
fn compact() -> u64 {
    64
}
fn pause() -> u64 {
    60
}

/// A fault as it is written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Written {
    pub kind: String,
    pub at_s: f64,
    #[serde(default = "some_time")]
    pub for_s: f64,
    /// `leader`, `follower`, `watcher`, `any`, or a number.
    #[serde(default = "any")]
    pub member: String,
    #[serde(default)]
    pub ms: u64,
    /// Waits, from its time on, until a frame of this kind crosses a link (`Rig::at_point`).
    #[serde(default)]
    pub point: String,
}

fn some_time() -> f64 {
    2.0
}
fn any() -> String {
    "any".into()
}

/// All kinds that a scenario can name.
pub const KINDS: [&str; 12] = [
    "link_cut",
    "partition",
    "link_delay",
    "link_stall",
    "link_reset",
    "link_half_frame",
    "pause",
    "kill",
    "power_loss",
    "disk_empty",
    "isolate",
    "clock_jump",
];
const POINTS: [&str; 8] =
    ["entries", "append", "append_answer", "vote", "vote_answer", "heartbeat", "snapshot_part", "call"];

impl Scenario {
    /// Whether a scenario's text is one of the group's.
    pub fn is_one(text: &str) -> bool {
        text.parse::<toml::Table>()
            .is_ok_and(|t| t.get("kind").and_then(toml::Value::as_str) == Some("group"))
    }

    pub fn parse(text: &str) -> Result<Scenario, String> {
        let s: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        let bad = |key: &str, why: &str| Err(format!("{key}: {why}"));
        if s.kind != "group" {
            return bad("kind", "expected group");
        }
        if ![1, 3, 5, 7].contains(&s.voters) {
            return bad("voters", "expected 1, 3, 5 or 7");
        }
        if s.voters + s.watchers > 64 {
            return bad("watchers", "expected at most 64 processes in all");
        }
        if !(1.0..=3600.0).contains(&s.duration_s) {
            return bad("duration_s", "expected 1 to 3600 seconds");
        }
        if !(50..=10_000).contains(&s.election_ms) {
            return bad("election_ms", "expected 50 to 10000");
        }
        if s.lease_ms < 2 * s.election_ms {
            return bad("lease_ms", "expected at least twice election_ms");
        }
        if s.keys == 0 || s.clients == 0 || s.clients > 64 {
            return bad("clients", "expected 1 to 64, and keys of 1 or more");
        }
        for (n, f) in s.faults.iter().enumerate() {
            if !KINDS.contains(&f.kind.as_str()) {
                return bad(&format!("fault[{n}].kind"), &format!("expected one of {}", KINDS.join(", ")));
            }
            if !(0.0..s.duration_s).contains(&f.at_s) {
                return bad(&format!("fault[{n}].at_s"), "expected a time within the run");
            }
            if !(0.0..=600.0).contains(&f.for_s) {
                return bad(&format!("fault[{n}].for_s"), "expected 0 to 600 seconds");
            }
            if !f.point.is_empty() && !POINTS.contains(&f.point.as_str()) {
                return bad(&format!("fault[{n}].point"), &format!("expected one of {}", POINTS.join(", ")));
            }
            let named = ["leader", "follower", "watcher", "any"].contains(&f.member.as_str());
            if !named && f.member.parse::<usize>().map_or(true, |m| m >= s.voters + s.watchers) {
                return bad(
                    &format!("fault[{n}].member"),
                    "expected leader, follower, watcher, any or a number",
                );
            }
        }
        Ok(s)
    }

    /// The written faults and those drawn from the seed, by time.
    pub fn schedule(&self, seed: u64) -> Vec<Written> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut all = self.faults.clone();
        for _ in 0..self.drawn {
            // A second disk lost before the first is made good may cost the majority: no group outlives that.
            let lost = all.iter().any(|f| f.kind == "disk_empty");
            let kinds: Vec<&&str> = KINDS.iter().filter(|k| !(lost && **k == "disk_empty")).collect();
            let kind = kinds.choose(&mut rng).expect("some").to_string();
            let members = ["leader", "leader", "follower", "any", "watcher"];
            all.push(Written {
                ms: match kind.as_str() {
                    "link_delay" => rng.gen_range(2..80),
                    "link_reset" => rng.gen_range(100..400),
                    _ => rng.gen_range(100..3000),
                },
                kind,
                at_s: rng.gen_range(0.1..self.duration_s * 0.8),
                for_s: rng.gen_range(0.2..4.0),
                member: members.choose(&mut rng).expect("some").to_string(),
                point: if rng.gen_bool(0.3) {
                    (*POINTS.choose(&mut rng).expect("some")).into()
                } else {
                    String::new()
                },
            });
        }
        all.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        all
    }
}

/// What one run leaves: all that the judge goes by.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub history: Vec<Done>,
    pub rows: Vec<Row>,
    /// From the logs: who was told to lead in which term, by whom.
    pub leaders: Vec<(u64, String)>,
    /// From the logs: registrations, in each process's order.
    pub registered: Vec<(String, String, u64)>,
    /// At the end, by member.
    pub ends: Vec<End>,
    /// A write long after the last fault was agreed.
    pub goes_on: bool,
}

/// A member at the end of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct End {
    pub role: String,
    pub wants_vote: bool,
    pub incarnation: u64,
    pub applied: u64,
    /// Check sum of a voter's state at that entry.
    pub state: u32,
    pub leads: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Break {
    pub invariant: &'static str,
    pub what: String,
}

/// Judges a record.
pub fn judge(record: &Record, keys: usize) -> Vec<Break> {
    let mut breaks = Vec::new();
    let mut broken = |invariant, what: String| breaks.push(Break { invariant, what });
    for k in 0..keys {
        if !linearizable(&record.history, k) {
            broken("linearizable", format!("the history of {} is not that of one document", key(k)));
        }
    }
    let mut terms: BTreeMap<u64, &String> = BTreeMap::new();
    for (term, id) in &record.leaders {
        if *terms.entry(*term).or_insert(id) != id {
            broken("one leader a term", format!("{id} and {} in term {term}", terms[term]));
        }
    }
    let mut held: BTreeMap<u64, &String> = BTreeMap::new();
    for (_, member, incarnation) in &record.registered {
        if *held.entry(*incarnation).or_insert(member) != member {
            broken("one holder", format!("incarnation {incarnation}: {member} and {}", held[incarnation]));
        }
    }
    let mut states: BTreeMap<u64, u32> = BTreeMap::new();
    for end in record.ends.iter().filter(|e| e.applied > 0) {
        if *states.entry(end.applied).or_insert(end.state) != end.state {
            broken("agreed is agreed", format!("two states after entry {}", end.applied));
        }
    }
    let leads = record.ends.iter().filter(|e| e.leads).count();
    if leads != 1 {
        broken("life goes on", format!("{leads} leaders at the end"));
    }
    if !record.goes_on {
        broken("life goes on", "no write was agreed at the end".into());
    }
    for (n, end) in record.ends.iter().enumerate() {
        if end.incarnation == 0 {
            broken("life goes on", format!("g{n} has no lease at the end"));
        }
        if end.wants_vote && end.role != "voter" {
            broken("life goes on", format!("g{n} is {} at the end", end.role));
        }
    }
    breaks
}

/// What a run came to.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    pub scenario: String,
    pub seed: u64,
    pub calls: usize,
    pub answered: usize,
    pub writes: usize,
    pub put_p50_ms: f64,
    pub put_p99_ms: f64,
    pub elections: usize,
    pub faults: BTreeMap<String, usize>,
    pub crossed: BTreeMap<String, u64>,
    pub breaks: Vec<Break>,
}

/// Plays a scenario into `out`.
pub fn run(
    s: &Scenario,
    program: PathBuf,
    out: &Path,
    seed: Option<u64>,
) -> Result<(Summary, Record), String> {
    let seed = seed.unwrap_or(s.seed);
    let dir = out.join("group");
    let _ = std::fs::remove_dir_all(&dir); // another run's stores are no part of this one
    let setup = Setup {
        program,
        dir,
        voters: s.voters,
        watchers: s.watchers,
        election_ms: s.election_ms,
        lease_ms: s.lease_ms,
        compact_after: s.compact_after,
    };
    let rig = Arc::new(Rig::new(setup)?);
    rig.start_all()?;
    if !rig.until(Duration::from_secs(60), |r| r.leased() == r.members()) {
        return Err(format!("{} of {} members are up after a minute", rig.leased(), rig.members()));
    }
    let clients = Clients::start(&rig, s.clients, s.keys, Duration::from_millis(s.pause_ms), seed);
    let begun = rig.now();
    let schedule = s.schedule(seed);
    let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x6d65_6d62);
    let mut under: Vec<(u64, Fault)> = Vec::new();
    let mut next = schedule.iter().peekable();
    let end = begun + (s.duration_s * 1e6) as u64;
    while rig.now() < end || !under.is_empty() {
        let now = rig.now();
        let (over, still): (Vec<_>, Vec<_>) = under.into_iter().partition(|(at, _)| now >= *at);
        under = still;
        for (_, fault) in over {
            // A member that another fault holds down still is left to that one.
            if !under.iter().any(|(_, other)| down(other, &fault)) {
                rig.heal(&fault)?;
            }
        }
        if let Some(written) = next.next_if(|w| now >= begun + (w.at_s * 1e6) as u64) {
            if !written.point.is_empty() {
                rig.at_point(&written.point, Duration::from_secs(1));
            }
            if let Some(fault) = fault_of(written, &rig, &under, &mut rng) {
                *kinds.entry(fault.name().into()).or_default() += 1;
                // One that cannot be carried out now (a member that is down has no clock to move) is passed over.
                if rig.inject(&fault).is_ok() {
                    under.push((rig.now() + (written.for_s * 1e6) as u64, fault));
                }
            }
            continue;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let well = Duration::from_secs(30);
    let _ = rig.until(well, |r| r.leased() == r.members() && r.leader().is_some());
    let _ = rig.until(well, |r| (0..r.voters()).all(|n| r.status(n).is_ok_and(|s| s.role == "voter")));
    let history = clients.finish();
    let goes_on = rig.until(well, agreed);
    let record = record(&rig, history, goes_on, s.voters);
    let summary = summarize(s, seed, &rig, &record, kinds, judge(&record, s.keys));
    write(out, &summary, &record)?;
    Ok((summary, record))
}

fn down(other: &Fault, fault: &Fault) -> bool {
    let member = |f: &Fault| match f {
        Fault::Kill { member } | Fault::DiskEmpty { member } | Fault::Pause { member } => Some(*member),
        _ => None,
    };
    match (other, fault) {
        (Fault::PowerLoss, Fault::Kill { .. } | Fault::DiskEmpty { .. }) => true,
        (Fault::Kill { .. } | Fault::DiskEmpty { .. }, Fault::PowerLoss) => false,
        _ => {
            std::mem::discriminant(other) == std::mem::discriminant(fault)
                && member(fault).is_none_or(|m| member(other) == Some(m))
        }
    }
}

fn agreed(rig: &Rig) -> bool {
    let Ok(mut control) = Control::open(rig.control(0), Duration::from_secs(6)) else { return false };
    let command = Command::Put { key: "lab/end".into(), value: Some(b"well".to_vec()), if_version: None };
    matches!(control.command(command), Ok(Response::Applied(Applied::Put { .. })))
}

/// The fault that is meant, of the members as they are now.
fn fault_of(w: &Written, rig: &Rig, under: &[(u64, Fault)], rng: &mut SmallRng) -> Option<Fault> {
    let voters: Vec<usize> = (0..rig.voters()).collect();
    let leader = rig.leader();
    let member = match w.member.as_str() {
        "leader" => leader.or_else(|| voters.choose(rng).copied())?,
        "follower" => {
            let others: Vec<usize> = voters.iter().copied().filter(|v| Some(*v) != leader).collect();
            others.choose(rng).copied()?
        }
        "watcher" => (rig.voters()..rig.members()).collect::<Vec<_>>().choose(rng).copied().unwrap_or(0),
        "any" => rng.gen_range(0..rig.members()),
        number => number.parse().ok()?,
    };
    let other = (member + rng.gen_range(1..rig.members().max(2))) % rig.members();
    Some(match w.kind.as_str() {
        "link_cut" => Fault::LinkCut { from: member, to: other },
        "isolate" => Fault::Partition { side: vec![member] },
        "partition" => {
            let mut all: Vec<usize> = (0..rig.members()).collect();
            all.shuffle(rng);
            all.truncate(rng.gen_range(1..rig.members().max(2)));
            Fault::Partition { side: all }
        }
        "link_delay" => Fault::LinkDelay { ms: w.ms.max(1) },
        "link_stall" => Fault::LinkStall { to: member % rig.voters() },
        "link_reset" => Fault::LinkReset { to: member % rig.voters(), every_ms: w.ms.max(50) },
        "link_half_frame" => Fault::LinkHalfFrame { to: member % rig.voters() },
        "pause" => Fault::Pause { member },
        "kill" => Fault::Kill { member },
        "power_loss" => Fault::PowerLoss,
        "disk_empty" => {
            // A disk lost while other voters are down as well would be a majority lost for good.
            let busy = |(_, f): &(u64, Fault)| {
                matches!(
                    f,
                    Fault::Kill { .. } | Fault::PowerLoss | Fault::DiskEmpty { .. } | Fault::Pause { .. }
                )
            };
            if under.iter().any(busy) {
                return None;
            }
            Fault::DiskEmpty { member }
        }
        _ => Fault::ClockJump { member, ms: w.ms.max(1) },
    })
}

fn record(rig: &Rig, history: Vec<Done>, goes_on: bool, voters: usize) -> Record {
    let (mut leaders, mut registered) = (Vec::new(), Vec::new());
    for n in 0..rig.members() {
        for line in rig.log(n).lines() {
            let value = |key: &str| {
                let from = line.find(&format!(" {key}: "))? + key.len() + 3;
                line[from..].split(',').next().map(|v| v.trim().to_string())
            };
            if line.contains(" INFO leader,") {
                let term = value("term").and_then(|t| t.parse().ok());
                leaders.extend(term.zip(value("id")));
            } else if line.contains(" INFO member registered,") {
                let incarnation = value("incarnation").and_then(|i| i.parse().ok());
                if let (Some(member), Some(incarnation)) = (value("member"), incarnation) {
                    registered.push((rig::name(n), member, incarnation));
                }
            }
        }
    }
    let ends = (0..rig.members())
        .map(|n| {
            let Ok(s) = rig.status(n) else { return End { wants_vote: n < voters, ..End::default() } };
            let voter = s.voter.unwrap_or_default();
            let state = crc32fast::hash(&s.state.encode());
            End {
                role: s.role,
                wants_vote: n < voters,
                incarnation: s.incarnation,
                applied: voter.applied,
                state,
                leads: voter.leads,
            }
        })
        .collect();
    Record { history, rows: rig.rows(), leaders, registered, ends, goes_on }
}

fn summarize(
    s: &Scenario,
    seed: u64,
    rig: &Rig,
    record: &Record,
    faults: BTreeMap<String, usize>,
    breaks: Vec<Break>,
) -> Summary {
    let mut times = hdrhistogram::Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    let puts = record.history.iter().filter_map(|d| match d.answered {
        Some((at, Ret::Put(_))) => Some(at.saturating_sub(d.asked)),
        _ => None,
    });
    puts.for_each(|us| times.saturating_record(us.max(1)));
    let terms: std::collections::BTreeSet<u64> = record.leaders.iter().map(|(t, _)| *t).collect();
    Summary {
        scenario: s.name.clone(),
        seed,
        calls: record.history.len(),
        answered: record.history.iter().filter(|d| d.answered.is_some()).count(),
        writes: times.len() as usize,
        put_p50_ms: times.value_at_quantile(0.5) as f64 / 1000.0,
        put_p99_ms: times.value_at_quantile(0.99) as f64 / 1000.0,
        elections: terms.len(),
        faults,
        crossed: rig.crossed().into_iter().map(|(k, v)| (k.to_string(), v)).collect(),
        breaks,
    }
}

fn write(out: &Path, summary: &Summary, record: &Record) -> Result<(), String> {
    let fail = |e: std::io::Error| format!("{}: {e}", out.display());
    std::fs::create_dir_all(out).map_err(fail)?;
    let text = serde_json::to_string_pretty(summary).expect("plain data");
    std::fs::write(out.join("summary.json"), text).map_err(fail)?;
    let mut w = csv::Writer::from_path(out.join("history.csv")).map_err(|e| e.to_string())?;
    w.write_record(["client", "key", "call", "asked_us", "answered_us", "answer"])
        .map_err(|e| e.to_string())?;
    for d in &record.history {
        let (at, ret) =
            d.answered.map_or((String::new(), String::new()), |(a, r)| (a.to_string(), format!("{r:?}")));
        let row = [d.client.to_string(), key(d.key), format!("{:?}", d.op), d.asked.to_string(), at, ret];
        w.write_record(&row).map_err(|e| e.to_string())?;
    }
    w.flush().map_err(fail)?;
    let mut w = csv::Writer::from_path(out.join("faults.csv")).map_err(|e| e.to_string())?;
    w.write_record(["at_us", "what"]).map_err(|e| e.to_string())?;
    for row in &record.rows {
        w.write_record([row.at_us.to_string(), row.what.clone()]).map_err(|e| e.to_string())?;
    }
    w.flush().map_err(fail)
}

#[cfg(test)]
mod tests {
    use super::*;
    use curlewfront_fleetsim::history::Op;

    fn good() -> Record {
        let end = |applied, leads| End {
            role: "voter".into(),
            wants_vote: true,
            incarnation: 1,
            applied,
            state: 7,
            leads,
        };
        let done = |op, asked, ret| Done { client: 0, key: 0, op, asked, answered: Some((asked + 5, ret)) };
        Record {
            history: vec![
                done(Op::Put { value: 1, if_version: None }, 0, Ret::Put(1)),
                done(Op::Get, 10, Ret::Got { version: 1, value: Some(1) }),
            ],
            rows: Vec::new(),
            leaders: vec![(2, "a".into()), (2, "a".into()), (3, "b".into())],
            registered: vec![("g0".into(), "g1".into(), 1), ("g2".into(), "g1".into(), 1)],
            ends: vec![end(9, true), end(9, false), end(8, false)],
            goes_on: true,
        }
    }

    #[test]
    fn a_good_record_passes() {
        assert_eq!(judge(&good(), 1), []);
    }

    /// Each invariant catches a violation planted in the record.
    #[test]
    fn planted_violations_are_caught_each_by_its_invariant() {
        type Plant = fn(&mut Record);
        let plants: [(&str, Plant); 8] = [
            ("linearizable", |r| r.history[1].answered = Some((20, Ret::Got { version: 0, value: None }))),
            ("one leader a term", |r| r.leaders.push((3, "c".into()))),
            ("one holder", |r| r.registered.push(("g0".into(), "g2".into(), 1))),
            ("agreed is agreed", |r| r.ends[1].state = 8),
            ("life goes on", |r| r.goes_on = false),
            ("life goes on", |r| r.ends[1].leads = true),
            ("life goes on", |r| r.ends[2].incarnation = 0),
            ("life goes on", |r| r.ends[2].role = "joining".into()),
        ];
        for (invariant, plant) in plants {
            let mut record = good();
            plant(&mut record);
            let found: Vec<&str> = judge(&record, 1).iter().map(|b| b.invariant).collect();
            assert_eq!(found, [invariant]);
        }
    }

    #[test]
    fn a_scenario_is_checked_key_by_key_and_its_schedule_is_the_seeds() {
        let base = "name = \"x\"\nkind = \"group\"\nduration_s = 10\nvoters = 3\ndrawn = 6\n";
        let s = Scenario::parse(base).expect("good");
        let times = |seed| s.schedule(seed).iter().map(|w| (w.kind.clone(), w.at_s)).collect::<Vec<_>>();
        assert_eq!(times(4), times(4));
        assert_ne!(times(4), times(5));
        for (line, says) in [
            ("voters = 4", "voters"),
            ("[[fault]]\nkind = \"melt\"\nat_s = 1", "fault[0].kind"),
            ("[[fault]]\nkind = \"kill\"\nat_s = 99", "fault[0].at_s"),
            ("[[fault]]\nkind = \"kill\"\nat_s = 1\nmember = \"nobody\"", "fault[0].member"),
            ("[[fault]]\nkind = \"kill\"\nat_s = 1\npoint = \"never\"", "fault[0].point"),
        ] {
            let text = if line.starts_with("voters") {
                base.replace("voters = 3", line)
            } else {
                format!("{base}{line}")
            };
            let error = Scenario::parse(&text).expect_err("refused");
            assert!(error.contains(says), "{line}: {error}");
        }
    }
}
