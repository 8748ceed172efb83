//! What an earlier program wrote is read by this one. The rows of a store, a backup and the messages between stores are
//! kept as that program wrote them (`forms/`); the values that they stand for are made here by code. Rows of a newer form
//! are refused by its number.
//!
//! After a change of form, the file of the old one stays, and `cargo test -p curlewfront-config-store --test forms --
//! --ignored` with `FORMS=NAME` writes one more.

use cluster::booking::{BookChange, Booking, Unused};
use cluster::state::{Change, Command, Node, NodeChange, Server, ServerChange, State};
use cluster::talk::StorePeer;
use config_store::chest::Chest;
use config_store::store;
use consensus::disk::{Store, sealed, unsealed};
use consensus::{Entry, Hard, Member, Message, Payload, Roster, Saved, Snapshot, decode, encode};
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

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("planchest-forms-{name}-{}", std::process::id()));
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

// ---- what was written ----

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

fn roster() -> Roster {
    Roster { members: [(ip(1), DISK), (ip(2), 0), (ip(3), 0)].into() }
}

/// The state after so many commands.
fn state(count: usize) -> State {
    let mut state = State::default();
    for (at, command) in commands().iter().take(count).enumerate() {
        state.apply(0, at as u64 + 1, command);
    }
    state
}

/// A snapshot after `count` commands, then the others as entries, a roster and a leader's first entry.
fn saved(count: usize) -> Saved {
    let entry = |index: u64, payload| Entry { term: 2 + index / 6, index, payload };
    let (all, last) = (commands(), commands().len() as u64);
    let data = |c: &Command| Payload::Data(postcard::to_stdvec(c).expect("plain data"));
    let mut entries: Vec<Entry> = all.iter().enumerate().map(|(n, c)| entry(n as u64 + 1, data(c))).collect();
    entries.push(entry(last + 1, Payload::Nothing));
    entries.push(entry(last + 2, Payload::Roster(roster())));
    let base = count as u64 - 1;
    let entries = entries.split_off(base as usize);
    let snapshot = Snapshot {
        index: count as u64,
        term: 2,
        roster: Roster { members: (1..4).map(|n| (ip(n), 0)).collect() },
        roster_index: 0,
        data: state(count).write(0),
    };
    let hard = Hard { term: 4, vote: Some(ip(2)), commit: last + 2, standing: true };
    Saved { hard, snapshot: Arc::new(snapshot), base: (base, 2), entries }
}

fn messages() -> Vec<Message> {
    let entries = saved(3).entries;
    vec![
        Message::Hello,
        Message::Leads(Some(ip(2))),
        Message::Ask { pre: true, urged: false, term: 7, last: 300, last_term: 6 },
        Message::Vote { pre: false, term: 7, granted: true, commit: 299 },
        Message::Append { term: 7, round: 900, prev: 300, prev_term: 6, commit: 299, entries },
        Message::Ack { term: 7, round: 900, fits: true, matched: 301, commit: 300, standing: true },
        Message::Part {
            term: 7,
            round: 901,
            index: 256,
            index_term: 6,
            roster: roster(),
            roster_index: 12,
            total: 70_000,
            offset: 65_536,
            bytes: vec![1, 2, 3],
        },
        Message::Got { term: 7, round: 901, index: 256, offset: 65_539 },
        Message::Take { term: 7 },
    ]
}

fn framed(message: Message) -> Vec<u8> {
    postcard::to_stdvec(&StorePeer::Agree { from_disk: DISK, message }).expect("plain data")
}

// ---- the file: a name and bytes on each line ----

type Rows = BTreeMap<String, Vec<u8>>;

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/forms").join(format!("{name}.txt"))
}

fn read(name: &str) -> Rows {
    let text = std::fs::read_to_string(path(name)).expect("the file is there");
    let row = |line: &str| {
        let (name, hex) = line.split_once(' ').expect("a name, and bytes");
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
        (name.to_string(), (0..hex.len()).step_by(2).map(byte).collect())
    };
    text.lines().map(row).collect()
}

/// The store that has these rows.
fn lay(folder: &Folder, rows: &Rows) {
    let db = Database::create(folder.0.join("ratchet.redb")).expect("a store");
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

fn rows(folder: &Folder) -> Rows {
    let db = Database::open(folder.0.join("ratchet.redb")).expect("a store");
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
#[ignore = "writes the file of this program's forms"]
fn write_this_programs_forms() {
    let name = std::env::var("FORMS").expect("a name for the file");
    let folder = Folder::new("write");
    Store::open(&folder.0, ME, || (DISK, saved(3))).expect("made");
    let mut all = rows(&folder);
    store::backup(&folder.0, &folder.0.join("backup")).expect("written");
    all.insert("backup".into(), std::fs::read(folder.0.join("backup")).expect("there"));
    all.insert("state:plain".into(), state(5).write(0));
    all.insert("state:booked".into(), state(6).write(0));
    for (n, message) in messages().into_iter().enumerate() {
        all.insert(format!("message:{n}"), encode(DISK, &message));
        all.insert(format!("frame:{n}"), framed(message));
    }
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    let text: String = all.iter().map(|(name, bytes)| format!("{name} {}\n", hex(bytes))).collect();
    std::fs::write(path(&name), text).expect("written");
}

// ---- reading it ----

#[test]
fn a_store_of_the_earlier_program_is_read_and_goes_on() {
    let stored = read("first");
    let folder = Folder::new("store");
    lay(&folder, &stored);
    let (store, found) = Store::open(&folder.0, ME, || panic!("it is there")).expect("read");
    assert_eq!((store.disk(), &found), (DISK, &saved(3)));
    // What is written after it is read again beside it.
    let mut chest = Chest::new(ME, DISK, found, vec![ip(2)], 1, 0).expect("its state is read");
    assert_eq!(chest.copy.state.version(), 1);
    let mut out = Vec::new();
    chest.handle(1, config_store::chest::Input::Tick, &mut out);
    drop(store);
    let told = store::check(&folder.0).expect("sound");
    assert!(told.contains("votes and counts") && told.contains("configuration  00000001"), "{told}");
}

#[test]
fn states_backups_and_messages_of_the_earlier_program_are_read() {
    let stored = read("first");
    for (name, count) in [("state:plain", 5), ("state:booked", 6)] {
        let found = State::read(0, &stored[name]).expect("read");
        assert_eq!(found.write(0), state(count).write(0), "{name}");
        assert!(found.evacuated.contains("b") && found.servers["s1"].draining && found.has_gone("s0"));
    }
    let (from, folder) = (Folder::new("backup"), Folder::new("restored"));
    let file = from.0.join("backup");
    std::fs::write(&file, &stored["backup"]).expect("written");
    store::restore(&file, &folder.0, None, 99, false).expect("put back");
    let (_, found) = Store::open(&folder.0, ME, || panic!("it is there")).expect("read");
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
fn a_newer_form_is_refused_by_its_number_and_kept_as_it_is() {
    let mut stored = read("first");
    stored.insert("meta:owner".into(), sealed(&Newer { format: 77, what: "of a later program" }));
    let folder = Folder::new("newer");
    lay(&folder, &stored);
    let error = Store::open(&folder.0, ME, || panic!("it is there")).err().expect("refused").to_string();
    assert!(error.contains("form 77") && error.contains("this program reads form"), "{error}");
    assert!(store::check(&folder.0).is_err_and(|e| e.contains("form 77")));
    stored.retain(|name, _| name.starts_with("meta:") || name.starts_with("log:"));
    assert_eq!(rows(&folder), stored, "nothing is written over it");
    // A row that was changed is told from one of another form.
    let mut bytes = read("first")["meta:hard"].clone();
    *bytes.last_mut().expect("some") ^= 1;
    assert!(unsealed::<Hard>(&bytes).is_err_and(|e| e.contains("check sum")));
}
