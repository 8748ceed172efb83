//! The names that leave a process, as the code writes them, against the page `docs/system/outward-names.md`: each key and
//! each value of an enum that comes out of a sample of the lab's files, of a gateway's configuration and of the objects of
//! `settings` is a word of the page's section for it; and each name in the section of stored data is written in the sources.

use curlewfront_lab::compare::{Comparison, Spread};
use curlewfront_lab::discovery::{Member, known};
use curlewfront_lab::gateways::Gateway;
use curlewfront_lab::record::{
    AttemptEnd, AttemptRow, FaultRow, GatewayRow, ListRow, Record, ServerRow, ToldRow, TryEnd, TryRow,
};
use curlewfront_lab::report::{self, ClassFigures};
use curlewfront_lab::rules::{self, Verdict};
use curlewfront_lab::run::Cpu;
use curlewfront_lab::scenario::{FaultKind, Scenario};
use curlewfront_lab::{group, run};
use serde::Serialize;
use serde_json::{Value, json};
use settings::api;
use settings::drill::{Caller, Drill, Fault, Guard};
use settings::rollout::{Order, Progress};
use settings::scheme::{Program, Scheme};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

const LAB: &str = "Command `curlewfront-lab` and its scenarios, tables and reports";
const LAB_FILES: &str = "Written files of the lab";
const FIELDS: &str = "Calls of clients, servers and operators: JSON fields";
const VALUES: &str = "Calls: values of fields";
const SETTINGS: &str = "Settings of the system's programs and of an installation";
const GATEWAY: &str = "Configuration of a gateway and the settings of its decisions";
const STORED: &str = "Stored data: files, tables, keys, marks";
const PROGRAMS: &str = "Programs, roles and deploy files";

// ---- the page ----

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The words of the indented lines, by section.
fn page() -> BTreeMap<String, BTreeSet<String>> {
    let text = std::fs::read_to_string(root().join("docs/system/outward-names.md")).expect("the page");
    let mut sections: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let mut section = String::new();
    for line in text.lines() {
        if let Some(title) = line.strip_prefix("## ") {
            section = title.to_string();
        } else if line.starts_with("    ") {
            sections.entry(section.clone()).or_default().extend(line.split_whitespace().map(str::to_string));
        }
    }
    sections
}

fn section(title: &str) -> BTreeSet<String> {
    page().remove(title).unwrap_or_else(|| panic!("the page has no section {title:?}"))
}

/// Fails with those names that the section does not have. Names of more than one word are listed word by word.
fn listed(title: &str, what: &str, names: impl IntoIterator<Item = String>) {
    let words = section(title);
    let phrases: BTreeSet<String> = names.into_iter().collect();
    let names: BTreeSet<&str> = phrases.iter().flat_map(|phrase| phrase.split(' ')).collect();
    assert!(!names.is_empty(), "{what}: the sample has no name");
    let missing: Vec<&&str> = names.iter().filter(|name| !words.contains(**name)).collect();
    assert!(missing.is_empty(), "{what}: not in section {title:?}: {missing:?}");
}

// ---- names that come out ----

/// The keys of all objects within a value.
fn keys(value: &Value) -> BTreeSet<String> {
    match value {
        Value::Object(fields) => {
            let inner = fields.values().flat_map(keys);
            fields.keys().cloned().chain(inner).collect()
        }
        Value::Array(all) => all.iter().flat_map(keys).collect(),
        _ => BTreeSet::new(),
    }
}

fn json_of<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).expect("plain data")
}

fn keys_of<T: Serialize>(value: &T) -> BTreeSet<String> {
    keys(&json_of(value))
}

fn keys_in(text: &str) -> BTreeSet<String> {
    keys(&serde_json::from_str(text).expect("JSON"))
}

/// What each of these values is written as.
fn texts<T: Serialize>(values: &[T]) -> Vec<String> {
    values.iter().map(|v| json_of(v).as_str().expect("a text").to_string()).collect()
}

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("curlewfront-lab-names-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

// ---- the lab's record ----

const TRY_ENDS: [TryEnd; 7] = [
    TryEnd::Served,
    TryEnd::Refused,
    TryEnd::Failed,
    TryEnd::Rejected,
    TryEnd::GaveUp,
    TryEnd::Lost,
    TryEnd::NotTaken,
];

const ATTEMPT_ENDS: [AttemptEnd; 7] = [
    AttemptEnd::Served,
    AttemptEnd::Error,
    AttemptEnd::TurnedAway,
    AttemptEnd::Reset,
    AttemptEnd::Spoilt,
    AttemptEnd::Cancelled,
    AttemptEnd::Unanswered,
];

fn a_try(end: TryEnd) -> TryRow {
    TryRow {
        id: "a".into(),
        request: 1,
        try_no: 0,
        customer: 2,
        plan: 0,
        class: 0,
        units: 1,
        gateway: 0,
        sent_us: 3,
        timeout_us: 4,
        end_us: 5,
        status: 200,
        end,
        retry_after_ms: Some(1.5),
        resent_us: Some(6),
    }
}

fn an_attempt(end: AttemptEnd) -> AttemptRow {
    AttemptRow { id: "a".into(), server: 0, at_us: 1, end_us: 2, end, customer: 2, units: 1 }
}

fn record() -> Record {
    let server =
        ServerRow { server: 0, name: "s0".into(), zone: "a".into(), started_us: 0, cold: true, slots: 4 };
    Record {
        tries: TRY_ENDS.map(a_try).into(),
        attempts: ATTEMPT_ENDS.map(an_attempt).into(),
        servers: vec![server],
        list: vec![ListRow { version: 1, at_us: 0, server: 0, state: "Ready".into() }],
        told: vec![ToldRow { gateway: 0, version: 1, at_us: 1 }],
        faults: vec![FaultRow { at_us: 1, kind: "kill".into(), target: "0".into(), until_us: 2 }],
        gateways: vec![GatewayRow::event(1, 0, "killed")],
    }
}

/// Each file of a record, by name, and the names of its columns.
fn columns(dir: &Path) -> BTreeMap<String, Vec<String>> {
    let header = |path: PathBuf| {
        let name = path.file_name().expect("a name").to_string_lossy().into_owned();
        let mut reader = csv::Reader::from_path(&path).expect("a table");
        (name, reader.headers().expect("a header").iter().map(str::to_string).collect())
    };
    std::fs::read_dir(dir).expect("a folder").map(|file| header(file.expect("a file").path())).collect()
}

#[test]
fn the_tables_of_a_record_have_listed_names_columns_and_ends() {
    let folder = Folder::new("record");
    record().write(&folder.0).expect("written");
    let columns = columns(&folder.0);
    assert_eq!(columns.len(), 7, "one table for each part");
    listed(LAB_FILES, "the record's files", columns.keys().cloned());
    for (file, columns) in columns {
        listed(LAB, &file, columns);
    }
    listed(LAB, "the record's parts", keys_of(&record()));
    listed(LAB, "ends of tries", texts(&TRY_ENDS));
    listed(LAB, "ends of attempts", texts(&ATTEMPT_ENDS));
    assert_eq!(Record::read(&folder.0).expect("read"), record());
}

// ---- scenarios ----

const SCENARIO: &str = r#"
name = "names"
duration_s = 5
gateways = 1

[servers]
count = 4

[[class]]
name = "view"
aim_ms = 800
deadline_ms = 1500

[[class]]
name = "pay"
aim_ms = 1000
deadline_ms = 2000
effect = "by_key"
window_ms = 10
group = "zone"

[[plan]]
name = "basic"
rate = 2.0
burst = 6
customers = 1

[[fault]]
at_s = 1
kind = "zone_lost"
zone = "a"
"#;

const FAULT_KINDS: [FaultKind; 16] = [
    FaultKind::Slow,
    FaultKind::FailFast,
    FaultKind::Silent,
    FaultKind::Reset,
    FaultKind::Spoil,
    FaultKind::Replace,
    FaultKind::Drain,
    FaultKind::ZoneLost,
    FaultKind::ZoneCut,
    FaultKind::ListLate,
    FaultKind::ListStale,
    FaultKind::ListFlap,
    FaultKind::ListShrink,
    FaultKind::Kill,
    FaultKind::RestartAll,
    FaultKind::Reload,
];

fn scenario() -> Scenario {
    Scenario::parse(SCENARIO).expect("a good scenario")
}

#[test]
fn the_keys_and_kinds_of_a_scenario_are_listed_and_read_again() {
    let text = toml::to_string(&scenario()).expect("TOML");
    listed(LAB, "a scenario", keys_of(&toml::from_str::<toml::Table>(&text).expect("TOML")));
    listed(LAB, "kinds of faults", texts(&FAULT_KINDS));
    listed(LAB, "the zones of a scenario that names none", scenario().servers.zones);
    listed(LAB, "effects and groups", scenario().classes.into_iter().flat_map(|c| [c.effect, c.group]));
    Scenario::parse(&text).expect("what is written is read");
}

/// Its keys are read and never written, so each is named here; one that is unknown would be refused.
const GROUP_SCENARIO: &str = r#"
name = "names"
kind = "group"
seed = 1
duration_s = 10
voters = 3
watchers = 1
election_ms = 300
lease_ms = 2000
compact_after = 64
clients = 3
keys = 3
pause_ms = 60
drawn = 1

[[fault]]
kind = "pause"
at_s = 1
for_s = 2
member = "leader"
ms = 50
point = "append"
"#;

#[test]
fn the_keys_and_kinds_of_a_groups_scenario_are_listed() {
    group::Scenario::parse(GROUP_SCENARIO).expect("every key is known");
    listed(LAB, "a group's scenario", keys_of(&toml::from_str::<toml::Table>(GROUP_SCENARIO).expect("TOML")));
    listed(LAB, "kinds of a group's faults", group::KINDS.map(str::to_string));
}

// ---- reports ----

fn verdict() -> Verdict {
    let broken = rules::Break { rule: rules::RULES[0], at_us: 1, what: "why".into() };
    Verdict { breaks: vec![broken], lost_to_kills: 1 }
}

#[test]
fn the_names_of_a_report_are_listed() {
    listed(LAB, "rules", rules::RULES.map(str::to_string));
    listed(LAB, "breaks.json", keys_of(&verdict()));
    listed(LAB, "processor times", keys_of(&Cpu::default()));
    let outcome = run::Outcome {
        record: record(),
        verdict: verdict(),
        cpu: Cpu::default(),
        scenario: scenario(),
        load_us: (0, 1_000_000),
    };
    let mut summary = report::summarize(&outcome, "n0");
    let (class, count) = ("view".to_string(), 1);
    let figures = ClassFigures { class, tries: count, served: count, p50_ms: 1.0, p99_ms: 1.0, max_ms: 1.0 };
    summary.classes = vec![figures];
    listed(LAB, "summary.json", keys_of(&summary));
    let figures = report::flat(&summary).into_iter().map(|(name, _)| name);
    listed(LAB, "summary.csv", figures.flat_map(|f| f.split('.').map(str::to_string).collect::<Vec<_>>()));
    listed(LAB, "compared figures", report::key_figures(&summary).into_iter().map(|f| f.0.to_string()));
}

#[test]
fn the_names_of_a_comparison_are_listed() {
    let spread = Spread { median: 1.0, least: 0.0, most: 2.0 };
    let figures = vec![("worth".to_string(), spread.clone(), spread)];
    let text = |s: &str| s.to_string();
    let compared =
        Comparison { scenario: text("names"), a: text("n0"), b: text("n1"), seeds: vec![1], figures };
    listed(LAB, "compare.json", keys_of(&compared));
}

#[test]
fn the_names_of_a_groups_summary_are_listed() {
    let summary = group::Summary {
        scenario: "names".into(),
        seed: 1,
        calls: 1,
        answered: 1,
        writes: 1,
        put_p50_ms: 1.0,
        put_p99_ms: 1.0,
        elections: 1,
        faults: group::KINDS.map(|kind| (kind.to_string(), 1)).into(),
        crossed: [("append".to_string(), 1)].into(),
        breaks: vec![group::Break { invariant: "linearizable", what: "why".into() }],
    };
    listed(LAB, "a group's summary", keys_of(&summary));
    listed(LAB, "an invariant", summary.breaks.iter().map(|b| b.invariant.to_string()));
}

// ---- what a gateway is told ----

fn member() -> Member {
    let text = |s: &str| s.to_string();
    Member {
        id: text("s0"),
        addr: text("127.0.0.1:1"),
        zone: text("a"),
        kind: text("utu"),
        cell: 0,
        state: text("Ready"),
        weight: 1.0,
        started_ms: 1,
    }
}

#[test]
fn the_names_of_a_list_and_of_a_gateways_configuration_are_listed() {
    let list = BTreeMap::from([(0, member())]);
    let folder = Folder::new("gateway");
    let discovery = ([127, 0, 0, 1], 1).into();
    Gateway::new(&scenario(), 0, &folder.0, discovery, (1, &list), 1).expect("its configuration is written");
    let text = std::fs::read_to_string(folder.0.join("n0.json")).expect("its configuration");
    listed(GATEWAY, "a gateway's configuration", keys_in(&text));
    listed(LAB, "a gateway's configuration", keys_in(&text));
    listed(GATEWAY, "the list", keys(&known(1, &list)));
}

// ---- the objects of settings ----

fn drill(fault: Fault) -> Drill {
    let text = |s: &str| Some(s.to_string());
    let header = Some(("X-Client-Id".to_string(), "c".to_string()));
    Drill {
        name: "monday".into(),
        caller: Caller { tenant: text("reed"), key: text("0a1b2c3d"), route: text("pay"), header },
        fault,
        share: 1,
        count: Some(1),
        for_ms: 1,
        by: "one".into(),
        why: "why".into(),
        guard: Guard { others: 1, real: 1 },
    }
}

fn faults() -> Vec<Fault> {
    vec![
        Fault::Late { ms: 1 },
        Fault::Refused,
        Fault::NoServer,
        Fault::UnreachableServer("s".into()),
        Fault::UnreachableZone("z".into()),
        Fault::Closed,
        Fault::Lost,
        Fault::Cut,
        Fault::Slow { ms: 1 },
    ]
}

#[test]
fn the_names_of_a_drill_and_of_a_rollouts_order_are_listed() {
    for fault in faults() {
        let name = fault.name().to_string();
        let written = drill(fault).write().dump();
        assert!(written.contains(&format!("\"fault_kind\":\"{name}\"")), "{written}");
        listed(FIELDS, "a drill", keys_in(&written));
        listed(VALUES, "a kind of fault", [name]);
    }
    let order = Order { service: "heron".into(), target_version: "v2".into(), term_ms: 1 };
    listed(FIELDS, "a rollout's order", keys_in(&order.write().dump()));
    let progress = [Progress::InProgress, Progress::Completed, Progress::Reverted];
    listed(VALUES, "how far a rollout is", progress.map(|p| p.name().to_string()));
}

#[test]
fn the_names_of_answers_to_servers_and_clients_are_listed() {
    let address = ([127, 0, 0, 1], 80).into();
    listed(FIELDS, "an answer to a server", keys_in(&api::beat_answer(Some(address))));
    listed(FIELDS, "an answer to a client", keys_in(&api::resolution_answer(&[address], 1.0)));
    let refused = Drill::read("monday", b"{}").expect_err("it lacks all");
    listed(FIELDS, "a refusal", keys_in(&api::refusal(&refused)));
}

#[test]
fn the_names_of_the_settings_files_of_an_installation_are_listed() {
    let zones = [("z1", "r1"), ("z2", "r2")].map(|(zone, region)| (zone.to_string(), region.to_string()));
    let scheme = Scheme::loopback([9, 8], 2, 2, &zones, "/tmp/names").expect("a scheme");
    let named: BTreeSet<String> = zones.into_iter().flat_map(|(zone, region)| [zone, region]).collect();
    let parts = scheme.parts(true).expect("proper settings");
    for part in &parts {
        let keys = keys_in(&part.settings).into_iter().filter(|key| !named.contains(key));
        listed(SETTINGS, &part.file(), keys);
    }
    let programs = [Program::Store, Program::Registry, Program::Proxy];
    assert!(programs.iter().all(|program| parts.iter().any(|part| part.program == *program)));
    listed(PROGRAMS, "roles", programs.map(|program| program.name().to_string()));
}

// ---- stored data ----

fn sources(dir: &Path, out: &mut String) {
    for entry in std::fs::read_dir(dir).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, out);
        } else if path.extension().is_some_and(|e| e == "rs") {
            let text = std::fs::read_to_string(&path).expect("a source file");
            let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
            code.for_each(|line| out.extend([line, "\n"]));
        }
    }
}

/// Whether the sources write the name: as a literal, or as a literal and an ending that a format appends (`{name}.new`,
/// `{name}.aside-{number}`).
fn written(name: &str, sources: &str) -> bool {
    let literal = |text: &str| sources.contains(&format!("\"{text}\""));
    let appended = |at: usize| {
        let (file, ending) = name.split_at(at);
        let fixed = ending.trim_end_matches(|c: char| c.is_ascii_digit());
        let close = if fixed == ending { "\"" } else { "{" };
        literal(file) && sources.contains(&format!("}}{fixed}{close}"))
    };
    literal(name) || name.match_indices('.').any(|(at, _)| appended(at))
}

#[test]
fn each_name_of_stored_data_is_written_in_the_sources() {
    let mut text = String::new();
    for entry in std::fs::read_dir(root().join("crates")).expect("the crates") {
        let src = entry.expect("an entry").path().join("src");
        if src.is_dir() {
            sources(&src, &mut text);
        }
    }
    let missing: Vec<String> = section(STORED).into_iter().filter(|name| !written(name, &text)).collect();
    assert!(missing.is_empty(), "in section {STORED:?}, and not in the sources: {missing:?}");
    for name in ["ratchet.redb.older", "ratchet.redb.older-1", "a table that no source names"] {
        assert!(!written(name, &text), "{name}");
    }
}

/// A name that the page lacks is told from one that it has.
#[test]
fn a_name_that_the_page_lacks_is_found_by_name() {
    let value = json!({"name": 1, "no_such_key": [{"seed": 2}]});
    let found =
        std::panic::catch_unwind(|| listed(LAB, "a sample", keys(&value))).expect_err("it is missing");
    let why = found.downcast_ref::<String>().expect("a message");
    assert!(why.contains("[\"no_such_key\"]"), "{why}");
}
