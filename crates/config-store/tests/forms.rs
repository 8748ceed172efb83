//! Compatibility of stored and transmitted formats: this version reads what an earlier one wrote. The rows of a store, a
//! backup and the messages between stores are kept as that version wrote them (`forms/`), and the values that they stand for
//! are built here in code. Rows of a newer format are refused, and the error names its number.
//!
//! After a change of a format, the file of the old one stays, and `cargo test -p curlewfront-config-store --test forms --
//! --ignored` with `FORMS=NAME` writes another one.

use cluster::booking::{BookChange, Booking, Unused};
use cluster::state::{Change, Command, Node, NodeChange, Server, ServerChange, State};
use cluster::talk::StorePeer;
use config_store::replica::Replica;
use config_store::store;
use consensus::disk::{Store, decode_checksummed, encode_checksummed};
use consensus::{
    Entry, HardState, Member, Membership, Message, Payload, PersistentState, Snapshot, decode, encode,
};
use redb::{Database, ReadableTable, TableDefinition};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const ME: Member = ip(1);
const DISK: u64 = 4711;

const fn ip(last: u8) -> Member {
    Member::new(10, 8, 0, last)
}

struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> TempDir {
        let path = std::env::temp_dir().join(format!("planchest-forms-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a directory");
        TempDir(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

// ---- the values that were written ----

fn server(id: &str, last: u8) -> Server {
    Server {
        id: id.into(),
        service: "heron".into(),
        addr: (ip(last), 8080).into(),
        zone: "a".into(),
        slots: 4,
        draining: false,
        cold_ms: 1500,
        noted_at: 0,
    }
}

fn commands() -> Vec<Command> {
    let body = r#"{"config_version":"00000001","limits":{},"route_list":{"column_set":[],"row_set":[]},
        "service_list":{"column_set":[],"row_set":[]}}"#;
    let node = Node {
        ip: ip(50),
        name: "edge-1".into(),
        zone: "a".into(),
        region: "r".into(),
        front: (ip(50), 80).into(),
    };
    let booking = Booking {
        name: "opening".into(),
        tenants: vec!["reed".into()],
        routes: vec!["pay".into()],
        service: "heron".into(),
        flight: 8,
        residence_ms: 250,
        opens_ms: 100,
        closes_ms: 200,
        ramp_ms: 10,
        unused: Unused::Lend,
    };
    vec![
        Command::Configure(Change { base: 0, patch: false, body: body.as_bytes().to_vec() }),
        Command::Evacuate { zone: "b".into(), on: true },
        Command::Servers(vec![ServerChange::Up(server("s1", 60)), ServerChange::Up(server("s2", 61))]),
        Command::Servers(vec![
            ServerChange::Draining { id: "s1".into() },
            ServerChange::Cold { id: "s2".into(), left_ms: 700 },
            ServerChange::Gone { id: "s0".into(), said: true },
        ]),
        Command::Nodes(vec![NodeChange::Up(node), NodeChange::Gone { ip: ip(51) }]),
        Command::Book(BookChange::Put { booking, base: 0, room: 8 }),
    ]
}

fn membership() -> Membership {
    Membership { members: [(ip(1), DISK), (ip(2), 0), (ip(3), 0)].into() }
}

/// The state after the first `count` commands.
fn state(count: usize) -> State {
    let mut state = State::default();
    for (at, command) in commands().iter().take(count).enumerate() {
        state.apply(0, at as u64 + 1, command);
    }
    state
}

/// A snapshot after `count` commands; then the last of them and the others as entries, a leader's first entry and a membership.
fn saved(count: usize) -> PersistentState {
    let entry = |index: u64, payload| Entry { term: 2 + index / 6, index, payload };
    let (all, last) = (commands(), commands().len() as u64);
    let data = |c: &Command| Payload::Data(postcard::to_stdvec(c).expect("plain data"));
    let mut entries: Vec<Entry> = all.iter().enumerate().map(|(n, c)| entry(n as u64 + 1, data(c))).collect();
    entries.push(entry(last + 1, Payload::Noop));
    entries.push(entry(last + 2, Payload::Membership(membership())));
    let base = count as u64 - 1;
    let entries = entries.split_off(base as usize);
    let snapshot = Snapshot {
        index: count as u64,
        term: 2,
        membership: Membership { members: (1..4).map(|n| (ip(n), 0)).collect() },
        membership_index: 0,
        data: state(count).write(0),
    };
    let hard = HardState { term: 4, vote: Some(ip(2)), commit: last + 2, voter: true };
    PersistentState { hard, snapshot: Arc::new(snapshot), base: (base, 2), entries }
}

fn messages() -> Vec<Message> {
    let entries = saved(3).entries;
    vec![
        Message::JoinRequest,
        Message::LeaderHint(Some(ip(2))),
        Message::RequestVote {
            pre_vote: true,
            leadership_transfer: false,
            term: 7,
            last_index: 300,
            last_term: 6,
        },
        Message::VoteResponse { pre_vote: false, term: 7, granted: true, commit: 299 },
        Message::AppendEntries { term: 7, round: 900, prev_index: 300, prev_term: 6, commit: 299, entries },
        Message::AppendResponse {
            term: 7,
            round: 900,
            success: true,
            match_index: 301,
            commit: 300,
            voter: true,
        },
        Message::SnapshotChunk {
            term: 7,
            round: 901,
            index: 256,
            index_term: 6,
            membership: membership(),
            membership_index: 12,
            total: 70_000,
            offset: 65_536,
            bytes: vec![1, 2, 3],
        },
        Message::SnapshotChunkResponse { term: 7, round: 901, index: 256, offset: 65_539 },
        Message::TimeoutNow { term: 7 },
    ]
}

fn peer_message(message: Message) -> Vec<u8> {
    postcard::to_stdvec(&StorePeer::Agree { from_disk: DISK, message }).expect("plain data")
}

// ---- the file: on each line a name and bytes in hex ----

type Rows = BTreeMap<String, Vec<u8>>;

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/forms").join(format!("{name}.txt"))
}

fn read_file(name: &str) -> Rows {
    let text = std::fs::read_to_string(path(name)).expect("the file is there");
    let row = |line: &str| {
        let (name, hex) = line.split_once(' ').expect("a name, and bytes");
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
        (name.to_string(), (0..hex.len()).step_by(2).map(byte).collect())
    };
    text.lines().map(row).collect()
}

/// Creates a store with these rows.
fn write_rows(temp: &TempDir, rows: &Rows) {
    let db = Database::create(temp.0.join("ratchet.redb")).expect("a store");
    let t = db.begin_write().expect("a write");
    {
        let mut meta = t.open_table(META).expect("a table");
        let mut log = t.open_table(LOG).expect("a table");
        for (name, bytes) in rows {
            match name.strip_prefix("log:") {
                Some(index) => drop(log.insert(index.parse::<u64>().expect("a number"), bytes.as_slice())),
                None => {
                    if let Some(key) = name.strip_prefix("meta:") {
                        meta.insert(key, bytes.as_slice()).expect("written");
                    }
                }
            }
        }
    }
    t.commit().expect("written");
}

fn read_rows(temp: &TempDir) -> Rows {
    let db = Database::open(temp.0.join("ratchet.redb")).expect("a store");
    let t = redb::ReadableDatabase::begin_read(&db).expect("a read");
    let meta = t.open_table(META).expect("a table");
    let log = t.open_table(LOG).expect("a table");
    let mut rows = Rows::new();
    for row in meta.iter().expect("rows") {
        let (key, value) = row.expect("a row");
        rows.insert(format!("meta:{}", key.value()), value.value().to_vec());
    }
    for row in log.iter().expect("rows") {
        let (index, value) = row.expect("a row");
        rows.insert(format!("log:{:03}", index.value()), value.value().to_vec());
    }
    rows
}

#[test]
#[ignore = "writes the sample file of the current formats"]
fn write_sample_of_current_formats() {
    let name = std::env::var("FORMS").expect("a name for the file");
    let temp = TempDir::new("write");
    Store::open(&temp.0, ME, || (DISK, saved(3))).expect("created");
    let mut all = read_rows(&temp);
    store::backup(&temp.0, &temp.0.join("backup")).expect("written");
    all.insert("backup".into(), std::fs::read(temp.0.join("backup")).expect("exists"));
    all.insert("state:plain".into(), state(5).write(0));
    all.insert("state:booked".into(), state(6).write(0));
    for (n, message) in messages().into_iter().enumerate() {
        all.insert(format!("message:{n}"), encode(DISK, &message));
        all.insert(format!("frame:{n}"), peer_message(message));
    }
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    let text: String = all.iter().map(|(name, bytes)| format!("{name} {}\n", hex(bytes))).collect();
    std::fs::write(path(&name), text).expect("written");
}

// ---- reading it back ----

#[test]
fn a_store_of_an_earlier_version_is_read_and_continues() {
    let stored = read_file("first");
    let temp = TempDir::new("store");
    write_rows(&temp, &stored);
    let (store, found) = Store::open(&temp.0, ME, || panic!("the store exists")).expect("read");
    assert_eq!((store.disk(), &found), (DISK, &saved(3)));
    // A replica starts on it, and the store still passes its check.
    let mut replica = Replica::new(ME, DISK, found, vec![ip(2)], 1, 0).expect("its state is read");
    assert_eq!(replica.copy.state.version(), 1);
    let mut out = Vec::new();
    replica.handle(1, config_store::replica::Input::Tick, &mut out);
    drop(store);
    let text = store::check(&temp.0).expect("sound");
    assert!(text.contains("voting member") && text.contains("configuration  00000001"), "{text}");
}

#[test]
fn states_backups_and_messages_of_an_earlier_version_are_read() {
    let stored = read_file("first");
    for (name, count) in [("state:plain", 5), ("state:booked", 6)] {
        let found = State::read(0, &stored[name]).expect("read");
        assert_eq!(found.write(0), state(count).write(0), "{name}");
        assert!(found.evacuated.contains("b") && found.servers["s1"].draining && found.has_gone("s0"));
    }
    let (from, temp) = (TempDir::new("backup"), TempDir::new("restored"));
    let file = from.0.join("backup");
    std::fs::write(&file, &stored["backup"]).expect("written");
    store::restore(&file, &temp.0, None, 99, false).expect("restored");
    let (_, found) = Store::open(&temp.0, ME, || panic!("the store exists")).expect("read");
    assert_eq!(found.entries, saved(3).entries);
    for (n, message) in messages().into_iter().enumerate() {
        let name = format!("message:{n}");
        assert_eq!(decode(&stored[&name]), Some((DISK, message.clone())), "{name}");
        let peer: StorePeer<Message> = postcard::from_bytes(&stored[&format!("frame:{n}")]).expect("read");
        assert!(matches!(peer, StorePeer::Agree { from_disk: DISK, message: m } if m == message));
    }
}

#[derive(Serialize)]
struct Newer {
    format: u32,
    what: &'static str,
}

#[test]
fn a_newer_format_is_refused_by_number_and_left_unchanged() {
    let mut stored = read_file("first");
    stored.insert("meta:owner".into(), encode_checksummed(&Newer { format: 77, what: "of a later program" }));
    let temp = TempDir::new("newer");
    write_rows(&temp, &stored);
    let error = Store::open(&temp.0, ME, || panic!("the store exists")).err().expect("refused").to_string();
    assert!(error.contains("form 77") && error.contains("this program reads form"), "{error}");
    assert!(store::check(&temp.0).is_err_and(|e| e.contains("form 77")));
    stored.retain(|name, _| name.starts_with("meta:") || name.starts_with("log:"));
    assert_eq!(read_rows(&temp), stored, "nothing is overwritten");
    // A corrupted row gives another error than a row of another format.
    let mut bytes = read_file("first")["meta:hard"].clone();
    *bytes.last_mut().expect("some") ^= 1;
    assert!(decode_checksummed::<HardState>(&bytes).is_err_and(|e| e.contains("check sum")));
}
