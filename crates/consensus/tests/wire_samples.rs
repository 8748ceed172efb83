//! Frozen samples of what members send each other and keep on disk. The file `samples/wire.txt` holds the bytes of each
//! sample below as the program wrote them when the file was made: this program writes the same bytes for the same values,
//! and reads them.
//!
//! Postcard carries positions, not names, so the samples hold the order of fields and variants. After a deliberate change of
//! form, `cargo test -p curlewfront-consensus --test wire_samples -- --ignored` writes the file anew; a change that old
//! programs must bear adds samples and leaves the old rows as they are.

use consensus::disk::{FORMAT, Store, decode_checksummed, encode_checksummed};
use consensus::{
    Entry, HardState, Member, Membership, Message, Payload, PersistentState, Snapshot, decode, encode,
};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;

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

fn message_again(bytes: &[u8]) -> Result<Vec<u8>, String> {
    let (disk, message) = decode(bytes).ok_or("not a message")?;
    Ok(encode(disk, &message))
}

fn sealed_again(bytes: &[u8]) -> Result<Vec<u8>, String> {
    Ok(encode_checksummed(&decode_checksummed::<HardState>(bytes)?))
}

fn of<T: Serialize + DeserializeOwned>(kind: &str, all: Vec<(&str, T)>) -> Vec<Sample> {
    let one = |(name, value): (&str, T)| {
        let name = if name.is_empty() { kind.to_string() } else { format!("{kind}.{name}") };
        Sample { name, bytes: postcard::to_stdvec(&value).expect("plain data"), again: again::<T> }
    };
    all.into_iter().map(one).collect()
}

const ME: Member = ip(1);
const DISK: u64 = 4711;

const fn ip(last: u8) -> Member {
    Member::new(10, 9, 8, last)
}

fn membership() -> Membership {
    Membership { members: [(ip(1), DISK), (ip(2), 0), (ip(3), 301)].into() }
}

fn later_roster() -> Membership {
    Membership { members: [(ip(1), DISK), (ip(4), 302)].into() }
}

fn payloads() -> Vec<(&'static str, Payload)> {
    vec![
        ("nothing", Payload::Noop),
        ("roster", Payload::Membership(membership())),
        ("data", Payload::Data(vec![1, 2, 3, 250])),
        ("joint", Payload::Joint { old: membership(), new: later_roster() }),
    ]
}

/// One of each payload.
fn entries() -> Vec<Entry> {
    let payloads = payloads().into_iter().map(|(_, payload)| payload);
    payloads.zip(311..).map(|(payload, index)| Entry { term: 310, index, payload }).collect()
}

fn snapshot() -> Snapshot {
    Snapshot { index: 320, term: 321, membership: membership(), membership_index: 322, data: vec![4, 5, 251] }
}

fn hard() -> HardState {
    HardState { term: 330, vote: Some(ip(2)), commit: 331, voter: true }
}

/// What a disk can hold: the entries follow on the base.
fn saved() -> PersistentState {
    let snapshot = Snapshot { index: 312, term: 309, ..snapshot() };
    PersistentState { hard: hard(), snapshot: Arc::new(snapshot), base: (310, 308), entries: entries() }
}

fn messages() -> Vec<(&'static str, Message)> {
    let part = Message::SnapshotChunk {
        term: 360,
        round: 361,
        index: 362,
        index_term: 363,
        membership: membership(),
        membership_index: 364,
        total: 70_000,
        offset: 65_536,
        bytes: vec![6, 7, 252],
    };
    vec![
        ("hello", Message::JoinRequest),
        ("leads", Message::LeaderHint(Some(ip(2)))),
        ("leads_unknown", Message::LeaderHint(None)),
        (
            "ask",
            Message::RequestVote {
                pre_vote: true,
                leadership_transfer: false,
                term: 340,
                last_index: 341,
                last_term: 342,
            },
        ),
        (
            "ask_urged",
            Message::RequestVote {
                pre_vote: false,
                leadership_transfer: true,
                term: 340,
                last_index: 341,
                last_term: 342,
            },
        ),
        ("vote", Message::VoteResponse { pre_vote: true, term: 343, granted: false, commit: 344 }),
        ("vote_granted", Message::VoteResponse { pre_vote: false, term: 343, granted: true, commit: 344 }),
        (
            "append",
            Message::AppendEntries {
                term: 345,
                round: 346,
                prev_index: 347,
                prev_term: 348,
                commit: 349,
                entries: entries(),
            },
        ),
        (
            "ack",
            Message::AppendResponse {
                term: 350,
                round: 351,
                success: true,
                match_index: 352,
                commit: 353,
                voter: false,
            },
        ),
        (
            "ack_standing",
            Message::AppendResponse {
                term: 350,
                round: 351,
                success: false,
                match_index: 352,
                commit: 353,
                voter: true,
            },
        ),
        ("part", part),
        ("got", Message::SnapshotChunkResponse { term: 370, round: 371, index: 372, offset: 373 }),
        ("take", Message::TimeoutNow { term: 374 }),
        ("leave", Message::Leaving { term: 375 }),
    ]
}

fn samples() -> Vec<Sample> {
    let mut all = of("Roster", vec![("", membership())]);
    all.extend(of("Payload", payloads()));
    all.extend(of("Entry", vec![("", Entry { term: 303, index: 304, payload: Payload::Data(vec![8]) })]));
    all.extend(of("Snapshot", vec![("", snapshot())]));
    all.extend(of("Hard", vec![("", hard()), ("of_no_vote", HardState { vote: None, ..hard() })]));
    all.extend(of("Saved", vec![("", saved())]));
    let sent = messages().into_iter().map(|(name, message)| Sample {
        name: format!("Message.{name}"),
        bytes: encode(DISK, &message),
        again: message_again,
    });
    all.extend(sent);
    all.push(Sample { name: "sealed".into(), bytes: encode_checksummed(&hard()), again: sealed_again });
    all
}

// ---- the rows of a store ----

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("consensus-samples-{name}-{}", std::process::id()));
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

type Rows = BTreeMap<String, Vec<u8>>;

/// The rows that a store of [`saved`] has on disk, as `store.meta.KEY` and `store.log.INDEX`.
fn rows_of_a_store() -> Rows {
    let folder = Folder::new("write");
    drop(Store::open(&folder.0, ME, || (DISK, saved())).expect("made"));
    let db = Database::open(folder.0.join("ratchet.redb")).expect("a store");
    let t = db.begin_read().expect("a read");
    let mut rows = Rows::new();
    for row in t.open_table(META).expect("a table").iter().expect("rows") {
        let (key, value) = row.expect("a row");
        rows.insert(format!("store.meta.{}", key.value()), value.value().to_vec());
    }
    for row in t.open_table(LOG).expect("a table").iter().expect("rows") {
        let (index, value) = row.expect("a row");
        rows.insert(format!("store.log.{}", index.value()), value.value().to_vec());
    }
    rows
}

/// The store that has these rows, as a member reads it.
fn read_of_a_store(rows: &Rows) -> (u64, PersistentState) {
    let folder = Folder::new("read");
    let db = Database::create(folder.0.join("ratchet.redb")).expect("a store");
    let t = db.begin_write().expect("a write");
    {
        let mut meta = t.open_table(META).expect("a table");
        let mut log = t.open_table(LOG).expect("a table");
        for (name, bytes) in rows {
            if let Some(key) = name.strip_prefix("store.meta.") {
                meta.insert(key, bytes.as_slice()).expect("written");
            } else if let Some(index) = name.strip_prefix("store.log.") {
                log.insert(index.parse::<u64>().expect("a number"), bytes.as_slice()).expect("written");
            }
        }
    }
    t.commit().expect("written");
    drop(db);
    let (store, saved) = Store::open(&folder.0, ME, || panic!("it is there")).expect("read");
    (store.disk(), saved)
}

// ---- the file: a name and bytes on each line ----

fn path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/samples/wire.txt")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn stored() -> Rows {
    let text = std::fs::read_to_string(path()).expect("the file is there");
    let row = |line: &str| {
        let (name, hex) = line.split_once(' ').expect("a name, and bytes");
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
        (name.to_string(), (0..hex.len()).step_by(2).map(byte).collect())
    };
    text.lines().map(row).collect()
}

/// All that this program writes, by the names in the file.
fn written() -> Rows {
    let mut all = rows_of_a_store();
    let stored = all.len();
    let samples = samples();
    let count = samples.len();
    all.extend(samples.into_iter().map(|s| (s.name, s.bytes)));
    assert_eq!(all.len(), stored + count, "each name once");
    all
}

#[test]
#[ignore = "writes the file of this program's forms"]
fn write_this_programs_samples() {
    let line = |(name, bytes): (&String, &Vec<u8>)| format!("{name} {}\n", hex(bytes));
    let text: String = written().iter().map(line).collect();
    std::fs::write(path(), text).expect("written");
}

#[test]
fn each_value_is_written_as_the_bytes_in_the_file() {
    let (written, stored) = (written(), stored());
    assert!(written.keys().eq(stored.keys()), "{:?}\n{:?}", written.keys(), stored.keys());
    for (name, bytes) in &written {
        assert_eq!(hex(bytes), hex(&stored[name]), "{name}");
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

#[test]
fn a_store_of_the_rows_in_the_file_is_read() {
    let (disk, found) = read_of_a_store(&stored());
    assert_eq!((disk, found), (DISK, saved()));
    assert_eq!(FORMAT, 1, "the rows in the file are of this form");
}
