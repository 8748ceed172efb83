//! Frozen samples of what processes send each other and of what the agreed state is written as. The file
//! `samples/wire.txt` holds the bytes of each sample below as the program wrote them when the file was made: this program
//! writes the same bytes for the same values, and reads them.
//!
//! Postcard carries positions, not names, so the samples hold the order of fields and variants. After a deliberate change of
//! form, `cargo test -p curlewfront-cluster --test wire_samples -- --ignored` writes the file anew; a change that old
//! programs must bear adds samples and leaves the old rows as they are.

use cluster::booking::{BookChange, Booked, Booking, Division, Phase, Unbooked, Unused};
use cluster::drill::{Caller, Drill, DrillChange, Drills, Fault, Guard, Held, Row, Rows, Said, Teller};
use cluster::orders;
use cluster::rollout::{
    Answers, Declined, Order, Rollout, RolloutChange, Rollouts, RouteTally, Stage, Tally,
};
use cluster::state::{Change, Command, Done, Node, NodeChange, Server, ServerChange, State};
use cluster::talk::{
    Age, Down, FromStore, Gossip, Head, Here, Lease, News, Reading, Seen, Standing, StorePeer, ToStore,
    Unsure, Up, Usage, Use,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::path::PathBuf;

// ---- the samples: a name, the bytes, and whether reading and writing them again gives the same bytes ----

struct Sample {
    name: String,
    bytes: Vec<u8>,
    /// Reads bytes as the sample's type and writes what was read.
    again: fn(&[u8]) -> Result<Vec<u8>, String>,
}

fn again<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Result<Vec<u8>, String> {
    let (value, rest) = postcard::take_from_bytes::<T>(bytes).map_err(|e| e.to_string())?;
    if !rest.is_empty() {
        return Err(format!("{} bytes are left over", rest.len()));
    }
    postcard::to_stdvec(&value).map_err(|e| e.to_string())
}

fn state_again(bytes: &[u8]) -> Result<Vec<u8>, String> {
    State::read(NOW, bytes).map(|state| state.write(NOW))
}

#[derive(Default)]
struct Samples(Vec<Sample>);

impl Samples {
    /// The samples of one type: each with a name of its own.
    fn of<T: Serialize + DeserializeOwned>(&mut self, kind: &str, all: Vec<(&str, T)>) {
        for (name, value) in all {
            let bytes = postcard::to_stdvec(&value).expect("plain data");
            let name = if name.is_empty() { kind.to_string() } else { format!("{kind}.{name}") };
            self.0.push(Sample { name, bytes, again: again::<T> });
        }
    }

    fn state(&mut self, name: &str, state: &State) {
        let name = format!("State.{name}");
        self.0.push(Sample { name, bytes: state.write(NOW), again: state_again });
    }
}

const NOW: u64 = 5_000_000;

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 2, last)
}

fn text(s: &str) -> String {
    s.to_string()
}

// ---- state and commands ----

fn server(id: &str, last: u8) -> Server {
    Server {
        id: text(id),
        service: text("orders"),
        addr: (ip(last), 8081).into(),
        zone: text("zone-a"),
        slots: 17,
        draining: true,
        cold_ms: 1900,
        noted_at: 0,
    }
}

fn node() -> Node {
    Node {
        ip: ip(40),
        name: text("edge-7"),
        zone: text("zone-b"),
        region: text("north"),
        front: (ip(41), 8443).into(),
    }
}

fn change() -> Change {
    Change { base: 300, patch: true, body: vec![1, 2, 3, 250] }
}

fn server_changes() -> Vec<(&'static str, ServerChange)> {
    vec![
        ("up", ServerChange::Up(server("s-1", 60))),
        (
            "up_of_ip_v6",
            ServerChange::Up(Server { addr: ([1, 2, 3, 4, 5, 6, 7, 8], 8082).into(), ..server("s-2", 61) }),
        ),
        ("draining", ServerChange::Draining { id: text("s-3") }),
        ("cold", ServerChange::Cold { id: text("s-4"), left_ms: 700 }),
        ("gone", ServerChange::Gone { id: text("s-5"), said: true }),
        ("runs", ServerChange::Runs { id: text("s-6"), version: text("v9") }),
    ]
}

fn node_changes() -> Vec<(&'static str, NodeChange)> {
    vec![("up", NodeChange::Up(node())), ("gone", NodeChange::Gone { ip: ip(42) })]
}

fn values<T>(named: Vec<(&str, T)>) -> Vec<T> {
    named.into_iter().map(|(_, value)| value).collect()
}

fn commands() -> Vec<(&'static str, Command)> {
    let order = Command::Evacuate { zone: text("zone-d"), on: false };
    vec![
        ("configure", Command::Configure(change())),
        ("evacuate", Command::Evacuate { zone: text("zone-c"), on: true }),
        ("servers", Command::Servers(values(server_changes()))),
        ("nodes", Command::Nodes(values(node_changes()))),
        ("book", Command::Book(BookChange::Cancel { name: text("opening") })),
        ("drill", Command::Drill(DrillChange::Rows(vec![rows()]))),
        ("fenced", Command::Fenced { seen: 301, order: Box::new(order) }),
        ("rollout", Command::Rollout(RolloutChange::Stop { service: text("orders") })),
    ]
}

fn done() -> Vec<(&'static str, Done)> {
    vec![
        ("taken", Done::Taken),
        ("conflict", Done::Conflict { current: 302 }),
        ("invalid", Done::Invalid(text("limits: why"))),
        ("unbooked", Done::Unbooked(Unbooked::Full { free: 303 })),
        ("overtaken", Done::Overtaken),
        ("forgotten", Done::Forgotten { from: 304 }),
        ("declined", Done::Declined(Declined::UnderWay { target_version: text("v8") })),
    ]
}

// ---- bookings ----

fn booking() -> Booking {
    Booking {
        name: text("opening"),
        tenants: vec![text("reed"), text("sedge")],
        routes: vec![text("pay")],
        service: text("orders"),
        flight: 310,
        residence_ms: 311,
        opens_ms: 1_700_000_000_001,
        closes_ms: 1_700_000_000_002,
        ramp_ms: 312,
        unused: Unused::Hold,
    }
}

fn parts() -> BTreeMap<Ipv4Addr, u32> {
    [(ip(43), 150), (ip(44), 151)].into()
}

fn booked() -> Booked {
    Booked {
        booking: booking(),
        phase: Phase::Open,
        epoch: 313,
        division: Division { number: 314, parts: parts() },
        cancelled: true,
        passed_ms: 315,
        noted_at: 0,
    }
}

fn book_changes() -> Vec<(&'static str, BookChange)> {
    let name = || text("opening");
    vec![
        ("put", BookChange::Put { booking: booking(), base: 316, room: 317 }),
        ("cancel", BookChange::Cancel { name: name() }),
        ("phase", BookChange::Phase { name: name(), epoch: 318, phase: Phase::Closing }),
        ("divide", BookChange::Divide { name: name(), number: 319, parts: parts() }),
    ]
}

fn bookings(all: &mut Samples) {
    all.of("Unused", vec![("lend", Unused::Lend), ("hold", Unused::Hold)]);
    all.of("Booking", vec![("", booking())]);
    all.of(
        "Phase",
        vec![
            ("planned", Phase::Planned),
            ("open", Phase::Open),
            ("closing", Phase::Closing),
            ("ended", Phase::Ended),
        ],
    );
    all.of("Division", vec![("", Division { number: 320, parts: parts() })]);
    all.of("Booked", vec![("", booked())]);
    all.of("BookChange", book_changes());
    all.of(
        "Unbooked",
        vec![
            ("outdated", Unbooked::Outdated { epoch: 321 }),
            ("full", Unbooked::Full { free: 322 }),
            ("too_many", Unbooked::TooMany),
            ("fixed", Unbooked::Fixed(text("opens_ms: it has opened"))),
            ("undivided", Unbooked::Undivided),
        ],
    );
}

// ---- drills ----

fn caller() -> Caller {
    Caller {
        tenant: Some(text("reed")),
        key: Some(text("0a1b2c3d")),
        route: Some(text("pay")),
        header: Some((text("X-Client-Id"), text("c-9"))),
    }
}

fn faults() -> Vec<(&'static str, Fault)> {
    vec![
        ("late", Fault::Late { ms: 330 }),
        ("refused", Fault::Refused),
        ("no_server", Fault::NoServer),
        ("unreachable_server", Fault::UnreachableServer(text("s-7"))),
        ("unreachable_zone", Fault::UnreachableZone(text("zone-e"))),
        ("closed", Fault::Closed),
        ("lost", Fault::Lost),
        ("cut", Fault::Cut),
        ("slow", Fault::Slow { ms: 331 }),
    ]
}

fn drill() -> Drill {
    Drill {
        name: text("monday"),
        caller: caller(),
        fault: Fault::Slow { ms: 332 },
        share: 250_000,
        count: Some(33),
        for_ms: 60_001,
        by: text("an operator"),
        why: text("a rehearsal"),
        guard: Guard { others: 101, real: 21 },
    }
}

fn said() -> Vec<(&'static str, Said)> {
    vec![
        ("ask", Said::Ask(text("a-1"))),
        ("met", Said::Met { attempt: text("a-2"), grant: Some(333) }),
        ("met_without_grant", Said::Met { attempt: text("a-3"), grant: None }),
        ("guard", Said::Guard(text("others failed"))),
    ]
}

fn rows() -> Rows {
    Rows { epoch: 334, ip: ip(45), life: 335, first: 336, said: values(said()) }
}

fn row() -> Row {
    Row { ip: ip(46), life: 337, number: 338, attempt: text("a-4"), met: true }
}

fn held() -> Held {
    Held {
        drill: drill(),
        epoch: 339,
        ended: Some(text("stopped")),
        tellers: [((ip(47), 340), Teller { up_to: 341, met: 42 })].into(),
        rows: vec![row()],
    }
}

fn drills(all: &mut Samples) {
    all.of("Caller", vec![("", caller()), ("of_nobody", Caller::default())]);
    all.of("Fault", faults());
    all.of("Guard", vec![("", Guard { others: 102, real: 22 })]);
    all.of("Drill", vec![("", drill())]);
    all.of(
        "DrillChange",
        vec![
            ("start", DrillChange::Start(Box::new(drill()))),
            ("stop", DrillChange::Stop { name: text("monday"), epoch: Some(342), why: text("seen enough") }),
            ("rows", DrillChange::Rows(vec![rows()])),
        ],
    );
    all.of("Said", said());
    all.of("Rows", vec![("", rows())]);
    all.of("Row", vec![("", row())]);
    all.of("Teller", vec![("", Teller { up_to: 343, met: 44 })]);
    all.of("Held", vec![("", held())]);
    all.of("Drills", vec![("", Drills([(text("monday"), held())].into()))]);
}

// ---- rollouts ----

fn order() -> Order {
    Order { service: text("orders"), target_version: text("v9"), term_ms: 350 }
}

fn rollout() -> Rollout {
    Rollout {
        order: order(),
        epoch: 351,
        stage: Stage::Partial,
        stage_rev: 352,
        reason: text("as good as before"),
        old_versions: [text("v7"), text("v8")].into(),
        retired: [text("v6")].into(),
        ordered_at: 353,
        stage_at: -354,
    }
}

fn answers(ended: u32) -> Answers {
    Answers { ended, failed: ended + 1, times: vec![ended + 2, 0, ended + 3] }
}

fn route_tally() -> RouteTally {
    RouteTally { route: 360, old: answers(361), new: answers(371) }
}

fn tally() -> Tally {
    Tally {
        ip: ip(48),
        life: 380,
        count: 381,
        epoch: 382,
        rev: 383,
        old_out: 384,
        routes: vec![route_tally()],
    }
}

fn rollouts(all: &mut Samples) {
    all.of("Order", vec![("", order())]);
    all.of(
        "Stage",
        vec![
            ("trial", Stage::Trial),
            ("partial", Stage::Partial),
            ("whole", Stage::Whole),
            ("completed", Stage::Completed),
            ("reverted", Stage::Reverted),
        ],
    );
    let advance = RolloutChange::Advance {
        service: text("orders"),
        epoch: 385,
        to: Stage::Whole,
        reason: text("no slower"),
    };
    all.of(
        "RolloutChange",
        vec![
            ("start", RolloutChange::Start { order: order(), after: Some(386) }),
            ("advance", advance),
            ("stop", RolloutChange::Stop { service: text("orders") }),
        ],
    );
    all.of("Rollout", vec![("", rollout())]);
    all.of("Rollouts", vec![("", Rollouts([(text("orders"), rollout())].into()))]);
    all.of(
        "Declined",
        vec![
            ("under_way", Declined::UnderWay { target_version: text("v9") }),
            ("no_service", Declined::NoService),
        ],
    );
    all.of("Answers", vec![("", answers(387))]);
    all.of("RouteTally", vec![("", route_tally())]);
    all.of("Tally", vec![("", tally())]);
}

// ---- messages ----

fn news() -> Vec<(&'static str, News)> {
    let run = commands().into_iter().enumerate().map(|(n, (_, command))| (401 + n as u64, command));
    vec![
        ("whole", News::Whole(vec![4, 5, 6, 251])),
        ("run", News::Run { from: 400, to: 420, commands: run.collect() }),
    ]
}

fn evacuate() -> Command {
    Command::Evacuate { zone: text("zone-f"), on: true }
}

fn to_store() -> Vec<(&'static str, ToStore)> {
    vec![
        ("follow", ToStore::Follow { rev: 430 }),
        ("propose", ToStore::Propose { ticket: 431, command: evacuate() }),
        ("read", ToStore::Read { ticket: 432 }),
        ("stand", ToStore::Stand { asked: 433 }),
        ("duty", ToStore::Duty { ticket: 434, term: 435, command: evacuate() }),
    ]
}

fn from_store() -> Vec<(&'static str, FromStore)> {
    let taken = |(name, done): (&'static str, Done)| {
        (name, FromStore::Proposed { ticket: 440, result: Ok((441, done)) })
    };
    let mut all: Vec<_> = done().into_iter().map(taken).collect();
    let standing = FromStore::Standing {
        core: vec![ip(1), ip(2)],
        fresh_ms: Some(442),
        leads: true,
        term: 443,
        asked: 444,
    };
    all.extend([
        ("news", FromStore::News(News::Whole(vec![7, 8]))),
        ("standing", standing),
        ("proposed_not", FromStore::Proposed { ticket: 445, result: Err(Unsure::Not) }),
        ("proposed_perhaps", FromStore::Proposed { ticket: 446, result: Err(Unsure::Perhaps) }),
        ("reads", FromStore::Reads { ticket: 447, result: Ok(448) }),
        ("reads_not", FromStore::Reads { ticket: 449, result: Err(Unsure::Not) }),
    ]);
    all
}

/// The messages around the agreement; those of the agreement are samples of the consensus crate.
fn store_peer() -> Vec<(&'static str, StorePeer<(u8, String)>)> {
    let message = (200, text("any"));
    vec![
        ("iam", StorePeer::Iam { ip: ip(3), disk: 450 }),
        ("agree", StorePeer::Agree { from_disk: 451, message }),
        ("propose", StorePeer::Propose { ticket: 452, command: evacuate() }),
        ("proposed", StorePeer::Proposed { ticket: 453, result: Ok((454, Done::Overtaken)) }),
        ("proposed_perhaps", StorePeer::Proposed { ticket: 455, result: Err(Unsure::Perhaps) }),
        ("read", StorePeer::Read { ticket: 456 }),
        ("reads", StorePeer::Reads { ticket: 457, result: Ok(458) }),
        ("reads_not", StorePeer::Reads { ticket: 459, result: Err(Unsure::Not) }),
    ]
}

fn head() -> Head {
    Head { epoch: 460, ip: ip(49) }
}

fn seen() -> Seen {
    Seen {
        ip: ip(50),
        life: 461,
        count: 462,
        ready: true,
        rev: 463,
        suspects: vec![(ip(51), 464), (ip(52), 0)],
    }
}

fn usage() -> Usage {
    Usage { ip: ip(53), life: 465, count: 466, tenants: vec![Use { tenant: 467, wanted: 468, used: 469 }] }
}

fn lease() -> Lease {
    Lease { epoch: 470, left_ms: 471 }
}

fn gossip() -> Gossip {
    Gossip {
        ip: ip(54),
        zone: text("zone-g"),
        servers: vec![(text("s-8"), 472), (text("s-9"), 473)],
        nodes: vec![seen()],
        usage: vec![usage()],
        heads: vec![(text("north"), head())],
        day_ms: Some(1_700_000_000_003),
        leases: vec![lease()],
        tallies: vec![tally()],
    }
}

/// Whole, and without what is left out at its end.
fn gossips() -> Vec<(&'static str, Gossip)> {
    let leases = || Gossip { tallies: Vec::new(), ..gossip() };
    let day = || Gossip { leases: Vec::new(), ..leases() };
    vec![
        ("tallies", gossip()),
        ("tallies_alone", Gossip { day_ms: None, leases: Vec::new(), ..gossip() }),
        ("leases", leases()),
        ("leases_alone", Gossip { day_ms: None, ..leases() }),
        ("day", day()),
        ("short", Gossip { day_ms: None, ..day() }),
    ]
}

fn standing() -> Standing {
    Standing {
        rev: 480,
        fresh_ms: Some(481),
        core: vec![(ip(4), text("zone-h"))],
        path: vec![ip(55)],
        head: Some(head()),
        away: vec![ip(56)],
        said_at: Some(482),
    }
}

fn reading() -> Reading {
    Reading { tenant: 483, wanted: 484, used: 485, shares: 486 }
}

fn up() -> Vec<(&'static str, Up)> {
    vec![
        ("hello", Up::Hello { node: node(), rev: 490 }),
        ("report", Up::Report { rev: 491, head: Some(head()), seen: vec![seen()], usage: vec![usage()] }),
        ("drill", Up::Drill(vec![rows()])),
        ("rollout", Up::Rollout(vec![tally()])),
    ]
}

fn down() -> Vec<(&'static str, Down)> {
    let age = Some(Age { at: 492, age_us: 493 });
    vec![
        ("news", Down::News(News::Whole(vec![9, 10]))),
        ("standing", Down::Standing(standing())),
        ("standing_without_time", Down::Standing(Standing { said_at: None, ..standing() })),
        ("meter", Down::Meter(vec![reading()], age)),
        ("meter_without_age", Down::Meter(vec![reading()], None)),
        ("leases", Down::Leases(vec![lease()], age)),
        ("leases_without_age", Down::Leases(vec![lease()], None)),
    ]
}

fn messages(all: &mut Samples) {
    all.of("News", news());
    all.of("ToStore", to_store());
    all.of("FromStore", from_store());
    all.of("Unsure", vec![("not", Unsure::Not), ("perhaps", Unsure::Perhaps)]);
    all.of("StorePeer", store_peer());
    all.of("Gossip", gossips());
    all.of("Lease", vec![("", lease())]);
    all.of("Head", vec![("", head())]);
    all.of("Seen", vec![("", seen())]);
    all.of("Here", vec![("", Here { life: 494, count: 495 })]);
    all.of("Use", vec![("", Use { tenant: 496, wanted: 497, used: 498 })]);
    all.of("Usage", vec![("", usage())]);
    all.of("Reading", vec![("", reading())]);
    all.of("Up", up());
    all.of("Down", down());
    all.of("Age", vec![("", Age { at: 499, age_us: 500 })]);
    all.of("Standing", vec![("", standing())]);
}

// ---- the state ----

const CONFIG: &str = r#"{"config_version":"00000001","limits":{},
    "route_list":{"column_set":[],"row_set":[]},
    "service_list":{"column_set":["entity_name"],"row_set":[["orders"]]}}"#;

/// The state after these commands, the first at revision 1.
fn state_of(commands: &[Command]) -> State {
    let mut state = State::default();
    for (at, command) in commands.iter().enumerate() {
        let done = state.apply(NOW, at as u64 + 1, command);
        assert_eq!(done, Done::Taken, "{command:?}");
    }
    state
}

fn plain_commands() -> Vec<Command> {
    let servers = vec![
        ServerChange::Up(server("s-1", 60)),
        ServerChange::Up(Server { draining: false, cold_ms: 0, ..server("s-2", 61) }),
        ServerChange::Gone { id: text("s-3"), said: true },
    ];
    vec![
        Command::Configure(Change { base: 0, patch: false, body: CONFIG.as_bytes().to_vec() }),
        Command::Evacuate { zone: text("zone-c"), on: true },
        Command::Servers(servers),
        Command::Nodes(vec![NodeChange::Up(node())]),
    ]
}

/// One state of each form that is written: plain; with a booking and a drill; with a zone that came back and an order under
/// a fence; with versions and a rollout.
fn states() -> Vec<(&'static str, State)> {
    let mut commands = plain_commands();
    let plain = state_of(&commands);
    let put = BookChange::Put { booking: booking(), base: 0, room: 400 };
    let divide = BookChange::Divide { name: text("opening"), number: 1, parts: parts() };
    commands.extend([Command::Book(put), Command::Book(divide)]);
    let mut booked = state_of(&commands);
    booked.drills = Drills([(text("monday"), held())].into());
    let back = Command::Evacuate { zone: text("zone-c"), on: false };
    commands.push(Command::Fenced { seen: 6, order: Box::new(back) });
    let mut returned = state_of(&commands);
    returned.drills = booked.drills.clone();
    let runs = ServerChange::Runs { id: text("s-1"), version: text("v8") };
    let start = RolloutChange::Start { order: order(), after: None };
    commands.extend([Command::Servers(vec![runs]), Command::Rollout(start)]);
    let mut versioned = state_of(&commands);
    versioned.drills = booked.drills.clone();
    vec![("plain", plain), ("booked", booked), ("returned", returned), ("versioned", versioned)]
}

fn samples() -> Vec<Sample> {
    let mut all = Samples::default();
    all.of("Change", vec![("", change())]);
    all.of("Server", vec![("", server("s-1", 60))]);
    all.of("ServerChange", server_changes());
    all.of("Node", vec![("", node())]);
    all.of("NodeChange", node_changes());
    all.of("Command", commands());
    all.of("Done", done());
    bookings(&mut all);
    drills(&mut all);
    rollouts(&mut all);
    messages(&mut all);
    states().iter().for_each(|(name, state)| all.state(name, state));
    all.0
}

// ---- the file: a name and bytes on each line ----

fn path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/samples/wire.txt")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn stored() -> BTreeMap<String, Vec<u8>> {
    let text = std::fs::read_to_string(path()).expect("the file is there");
    let row = |line: &str| {
        let (name, hex) = line.split_once(' ').expect("a name, and bytes");
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
        (name.to_string(), (0..hex.len()).step_by(2).map(byte).collect())
    };
    text.lines().map(row).collect()
}

#[test]
#[ignore = "writes the file of this program's forms"]
fn write_this_programs_samples() {
    let line = |s: &Sample| format!("{} {}\n", s.name, hex(&s.bytes));
    let text: String = samples().iter().map(line).collect();
    std::fs::write(path(), text).expect("written");
}

#[test]
fn each_sample_has_a_row_and_each_row_a_sample() {
    let mut names: Vec<String> = samples().into_iter().map(|s| s.name).collect();
    names.sort();
    assert!(names.windows(2).all(|two| two[0] != two[1]), "each name once");
    let stored: Vec<String> = stored().into_keys().collect();
    assert_eq!(names, stored);
}

#[test]
fn each_value_is_written_as_the_bytes_in_the_file() {
    let stored = stored();
    for sample in samples() {
        assert_eq!(Some(hex(&sample.bytes)), stored.get(&sample.name).map(|b| hex(b)), "{}", sample.name);
    }
}

#[test]
fn the_bytes_in_the_file_are_read_and_written_again_as_they_are() {
    let stored = stored();
    for sample in samples() {
        let bytes = &stored[&sample.name];
        let again = (sample.again)(bytes).unwrap_or_else(|e| panic!("{}: {e}", sample.name));
        assert_eq!(hex(&again), hex(bytes), "{}", sample.name);
    }
}

/// A call that is sent again, and who is reported on, are known by these figures, also to another build.
#[test]
fn the_fingerprints_of_calls_stay() {
    let change = orders::fingerprint(&change());
    let booking = orders::booking_fingerprint(&booking(), 316);
    let names = (cluster::talk::tenant_key("reed"), cluster::booking::key("opening"));
    assert_eq!((change, booking, names), FINGERPRINTS);
}

const FINGERPRINTS: (u64, u64, (u32, u32)) =
    (913572783441292950, 2998723722589933957, (4211337753, 3884874506));
