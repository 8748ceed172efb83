//! Frozen samples of what gateways of the fleet group send each other, tell an operator's command, and keep on disk. The
//! file `samples/wire.txt` holds the bytes of each sample below as the program wrote them when the file was made: this
//! program writes the same bytes for the same values, and reads them.
//!
//! Postcard carries positions, not names, so the samples hold the order of fields and variants. After a deliberate change of
//! form, `cargo test -p curlewfront-fleet --test wire_samples -- --ignored` writes the file anew; a change that old programs
//! must bear adds samples and leaves the old rows as they are.

use curlewfront_fleet::birth::{Founder, Group};
use curlewfront_fleet::disk::{Owner, Store, Unsynced};
use curlewfront_fleet::mirror::{Hard, LogEntry, PeerMessage, Saved, Snap, Write};
use curlewfront_fleet::parts::Piece;
use curlewfront_fleet::state::{
    Applied, CallId, Changes, Command, Document, Lease, Life, Member, State, VoterChange, VoterInfo,
};
use curlewfront_fleet::voter::{Request, Response, Status};
use curlewfront_fleet::wire::{self, Counts, Frame, Hello, NodeStatus, Reader, Told};
use raft::eraftpb::{ConfState, Entry, EntryType, Message, MessageType, Snapshot};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
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

fn frame_again(bytes: &[u8]) -> Result<Vec<u8>, String> {
    let mut reader = Reader::default();
    reader.push(bytes);
    let frame = reader.frame()?.ok_or("not a whole frame")?;
    match reader.rest() {
        0 => wire::encode(&frame),
        rest => Err(format!("{rest} bytes are left over")),
    }
}

fn state_again(bytes: &[u8]) -> Result<Vec<u8>, String> {
    State::decode(bytes).map(|state| state.encode())
}

fn of<T: Serialize + DeserializeOwned>(kind: &str, all: Vec<(&str, T)>) -> Vec<Sample> {
    let one = |(name, value): (&str, T)| {
        let name = if name.is_empty() { kind.to_string() } else { format!("{kind}.{name}") };
        Sample { name, bytes: postcard::to_stdvec(&value).expect("plain data"), again: again::<T> }
    };
    all.into_iter().map(one).collect()
}

fn text(s: &str) -> String {
    s.to_string()
}

// ---- the state and its commands ----

fn life() -> Life {
    Life { disk: 301, process: 302 }
}

fn call() -> CallId {
    CallId { caller: 303, number: 304 }
}

fn voter_changes() -> Vec<(&'static str, VoterChange)> {
    vec![
        ("learn", VoterChange::Learn { id: 305, name: text("n4"), addr: text("10.1.2.4:7000") }),
        ("promote", VoterChange::Promote { id: 306 }),
        ("remove", VoterChange::Remove { id: 307 }),
    ]
}

fn commands() -> Vec<(&'static str, Command)> {
    vec![
        ("register", Command::Register { name: text("n1"), life: life(), voter: true }),
        ("expire", Command::Expire { name: text("n2"), incarnation: 308, released: true }),
        ("put", Command::Put { key: text("limits"), value: Some(vec![1, 2, 250]), if_version: Some(309) }),
        ("delete", Command::Put { key: text("limits"), value: None, if_version: None }),
        ("allow", Command::Allow { name: text("n3"), vote: true }),
        ("voters", Command::Voters { change: VoterChange::Promote { id: 310 } }),
    ]
}

fn applied() -> Vec<(&'static str, Applied)> {
    vec![
        ("registered", Applied::Registered { incarnation: 311 }),
        ("name_taken", Applied::NameTaken { incarnation: 312 }),
        ("expired", Applied::Expired),
        ("put", Applied::Put { version: 313 }),
        ("conflict", Applied::Conflict { version: 314 }),
        ("refused", Applied::Refused { why: text("key: too long") }),
        ("voters_changed", Applied::VotersChanged),
        ("old", Applied::Old),
    ]
}

fn member() -> Member {
    Member { life: life(), incarnation: 315, lease: Lease::Released, voter: true, revision: 316 }
}

fn document() -> Document {
    Document { value: Some(vec![3, 4, 251]), version: 317, revision: 318 }
}

fn voter_info() -> VoterInfo {
    VoterInfo { name: text("n5"), addr: text("10.1.2.5:7000"), votes: true }
}

fn changes() -> Changes {
    Changes {
        since: 319,
        revision: 320,
        members: vec![(text("n1"), member())],
        documents: vec![(text("limits"), document())],
        voters: vec![(321, voter_info())],
        allowed: [text("n3"), text("n5")].into(),
    }
}

/// A state in which each part holds something, the last answers of callers too.
fn state() -> State {
    let register = |name: &str, process| Command::Register {
        name: text(name),
        life: Life { disk: process + 1, process },
        voter: process == 401,
    };
    let commands = [
        register("n1", 401),
        register("n2", 403),
        register("n3", 405),
        Command::Expire { name: text("n2"), incarnation: 2, released: true },
        Command::Expire { name: text("n3"), incarnation: 3, released: false },
        Command::Put { key: text("limits"), value: Some(vec![5, 6, 252]), if_version: None },
        Command::Put { key: text("gone"), value: Some(vec![7]), if_version: None },
        Command::Put { key: text("gone"), value: None, if_version: None },
        Command::Put { key: text("limits"), value: Some(vec![8]), if_version: Some(9) },
        Command::Allow { name: text("n4"), vote: true },
        Command::Voters { change: voter_changes().remove(0).1 },
        Command::Voters { change: VoterChange::Promote { id: 305 } },
    ];
    let mut state = State::default();
    for (n, command) in commands.iter().enumerate() {
        state.apply(Some(CallId { caller: 500 + n as u64, number: 600 + n as u64 }), command);
    }
    state
}

fn state_samples() -> Vec<Sample> {
    let mut all = of("CallId", vec![("", call())]);
    all.extend(of("Command", commands()));
    all.extend(of("Life", vec![("", life())]));
    all.extend(of("VoterChange", voter_changes()));
    all.extend(of("Applied", applied()));
    let leases = vec![("held", Lease::Held), ("expired", Lease::Expired), ("released", Lease::Released)];
    all.extend(of("Lease", leases));
    all.extend(of("Member", vec![("", member())]));
    let deleted = Document { value: None, ..document() };
    all.extend(of("Document", vec![("", document()), ("deleted", deleted)]));
    all.extend(of("VoterInfo", vec![("", voter_info())]));
    all.extend(of("Changes", vec![("", changes())]));
    all.extend(of("State", vec![("", state())]));
    all.push(Sample { name: text("State.encoded"), bytes: state().encode(), again: state_again });
    all
}

// ---- what a voter keeps and sends ----

fn founders() -> Vec<Founder> {
    let one = |name: &str, disk| Founder { name: text(name), disk, addr: format!("10.1.2.{disk}:7000") };
    vec![one("n1", 51), one("n2", 52)]
}

/// Its number is a sum over the founders and the installation.
fn group() -> Group {
    Group::of("north", founders())
}

fn log_entry(index: u64) -> LogEntry {
    LogEntry { term: 700, index, conf: true, data: vec![9, 253], context: vec![10, 254] }
}

fn hard() -> Hard {
    Hard { term: 710, vote: 711, commit: 712 }
}

fn snap() -> Snap {
    Snap { index: 720, term: 721, voters: vec![722, 723], learners: vec![724], data: vec![11, 255] }
}

fn saved() -> Saved {
    Saved { hard: hard(), snap: snap(), entries: vec![log_entry(721), log_entry(722)] }
}

/// The kinds of messages that cross the wire, by their names.
const KINDS: [(&str, MessageType); 12] = [
    ("append", MessageType::MsgAppend),
    ("append_answer", MessageType::MsgAppendResponse),
    ("vote", MessageType::MsgRequestVote),
    ("vote_answer", MessageType::MsgRequestVoteResponse),
    ("snapshot", MessageType::MsgSnapshot),
    ("heartbeat", MessageType::MsgHeartbeat),
    ("heartbeat_answer", MessageType::MsgHeartbeatResponse),
    ("transfer", MessageType::MsgTransferLeader),
    ("campaign_now", MessageType::MsgTimeoutNow),
    ("prevote", MessageType::MsgRequestPreVote),
    ("prevote_answer", MessageType::MsgRequestPreVoteResponse),
    ("read_answer", MessageType::MsgReadIndexResp),
];

fn raft_entry() -> Entry {
    let mut entry = Entry::default();
    entry.set_entry_type(EntryType::EntryConfChange);
    (entry.term, entry.index) = (730, 731);
    (entry.data, entry.context) = (vec![12, 1].into(), vec![13, 2].into());
    entry
}

fn raft_snapshot() -> Snapshot {
    let mut snapshot = Snapshot::default();
    let meta = snapshot.mut_metadata();
    (meta.index, meta.term) = (740, 741);
    let (voters, learners) = (vec![742, 743], vec![744]);
    *meta.mut_conf_state() = ConfState { voters, learners, ..ConfState::default() };
    snapshot.data = vec![14, 3].into();
    snapshot
}

/// A message of this kind with every field set, with a snapshot or without one.
fn peer_message(kind: MessageType, with_snapshot: bool) -> PeerMessage {
    let mut m = Message::default();
    m.set_msg_type(kind);
    (m.to, m.from, m.term) = (750, 751, 752);
    (m.log_term, m.index) = (753, 754);
    m.entries = vec![raft_entry()].into();
    (m.commit, m.commit_term, m.request_snapshot) = (755, 756, 757);
    (m.reject, m.reject_hint, m.priority) = (true, 758, -759);
    m.context = vec![15, 4].into();
    if with_snapshot {
        m.set_snapshot(raft_snapshot());
    }
    PeerMessage::of(m).expect("a kind that crosses the wire")
}

fn peer_messages() -> Vec<(&'static str, PeerMessage)> {
    let one = |(name, kind): (&'static str, MessageType)| {
        let message = peer_message(kind, kind == MessageType::MsgSnapshot);
        assert_eq!(message.name(), name);
        (name, message)
    };
    KINDS.into_iter().map(one).collect()
}

fn pieces() -> Vec<(&'static str, Piece)> {
    let message = Box::new(peer_message(MessageType::MsgSnapshot, true));
    vec![
        ("offer", Piece::Offer { number: 760, message, length: 761, sum: 762 }),
        ("ask", Piece::Ask { number: 763, offset: 764 }),
        ("part", Piece::Part { number: 765, offset: 766, bytes: vec![16, 5] }),
        ("done", Piece::Done { number: 767, whole: true }),
    ]
}

fn voter_samples() -> Vec<Sample> {
    let mut all = of("Founder", vec![("", founders().remove(0))]);
    all.extend(of("Group", vec![("", group()), ("unborn", Group::default())]));
    all.extend(of("LogEntry", vec![("", log_entry(701))]));
    all.extend(of("Hard", vec![("", hard())]));
    all.extend(of("Snap", vec![("", snap())]));
    all.extend(of("Saved", vec![("", saved())]));
    all.extend(of("PeerMessage", peer_messages()));
    all.extend(of("Piece", pieces()));
    let owner = Owner { format: 1, installation: text("north"), name: text("n1"), disk: 768 };
    all.extend(of("Owner", vec![("", owner)]));
    all
}

// ---- calls, answers, frames ----

fn requests() -> Vec<(&'static str, Request)> {
    vec![
        ("change", Request::Change { id: call(), command: commands().remove(2).1 }),
        ("get", Request::Get { key: text("limits") }),
        ("renew", Request::Renew { name: text("n1"), incarnation: 800 }),
        ("fetch", Request::Fetch { since: 801 }),
        ("status", Request::Status),
        ("join", Request::Join { id: 802, name: text("n6"), addr: text("10.1.2.6:7000") }),
        ("remove_voter", Request::RemoveVoter { name: text("n7") }),
    ]
}

fn status() -> Status {
    Status {
        id: 810,
        leader: 811,
        leads: true,
        term: 812,
        commit: 813,
        applied: 814,
        snapshot: 815,
        log_entries: 816,
        revision: 817,
        votes: false,
        won: 818,
    }
}

fn responses() -> Vec<(&'static str, Response)> {
    vec![
        ("applied", Response::Applied(Applied::Put { version: 820 })),
        ("document", Response::Document { version: 821, value: Some(vec![17, 6]) }),
        ("no_document", Response::Document { version: 0, value: None }),
        ("renewed", Response::Renewed { lease_us: 822, revision: 823 }),
        ("not_held", Response::NotHeld),
        ("changes", Response::Changes(changes())),
        ("status", Response::Status(status())),
        ("not_leader", Response::NotLeader { leader: Some(text("n2")) }),
        ("busy", Response::Busy),
        ("unknown", Response::Unknown),
        ("refused", Response::Refused { why: text("not a voter") }),
    ]
}

fn counts() -> Counts {
    Counts {
        frames_in: 830,
        frames_out: 831,
        dropped: 832,
        refused: 833,
        links_broken: 834,
        syncs: 835,
        calls: 836,
        calls_failed: 837,
        renewed: 838,
        leases_lost: 839,
        elections: 840,
        snapshots: 841,
    }
}

fn node_status() -> NodeStatus {
    NodeStatus {
        installation: text("north"),
        name: text("n1"),
        disk: 850,
        group: 851,
        role: text("voter"),
        leader: text("n2"),
        incarnation: 852,
        lease_left_ms: 853,
        voter: Some(status()),
        state: state(),
        counts: counts(),
        trouble: text("disk full"),
    }
}

fn told() -> Vec<(&'static str, Told)> {
    vec![
        ("response", Told::Response(Response::Busy)),
        ("status", Told::Status(Box::new(node_status()))),
        ("no_leader", Told::NoLeader),
    ]
}

fn hello() -> Hello {
    Hello::new("north", "n1", 860, 861, group()).at(text("10.1.2.1:7000"))
}

fn frames() -> Vec<(&'static str, Frame)> {
    vec![
        ("hello", Frame::Hello(hello())),
        ("refused", Frame::Refused { why: text("of another group") }),
        ("peer", Frame::Peer(peer_message(MessageType::MsgAppend, false))),
        ("piece", Frame::Piece { from: 862, to: 863, piece: Piece::Ask { number: 864, offset: 865 } }),
        ("call", Frame::Call { token: 866, request: Request::Fetch { since: 867 } }),
        ("answer", Frame::Answer { token: 868, response: Response::NotHeld }),
        ("tip", Frame::Tip { revision: 869 }),
        ("control", Frame::Control(Request::Get { key: text("limits") })),
        ("control_status", Frame::ControlStatus),
        ("control_clock", Frame::ControlClock { us: 870 }),
        ("control_answer", Frame::ControlAnswer(Box::new(Told::NoLeader))),
    ]
}

fn frame_samples() -> Vec<Sample> {
    let mut all = of("Request", requests());
    all.extend(of("Status", vec![("", status())]));
    all.extend(of("Response", responses()));
    all.extend(of("Counts", vec![("", counts())]));
    all.extend(of("NodeStatus", vec![("", node_status())]));
    all.extend(of("Told", told()));
    all.extend(of("Hello", vec![("", hello())]));
    let framed = frames().into_iter().map(|(name, frame)| Sample {
        name: format!("Frame.{name}"),
        bytes: wire::encode(&frame).expect("small"),
        again: frame_again,
    });
    all.extend(framed);
    all
}

fn samples() -> Vec<Sample> {
    let mut all = state_samples();
    all.extend(voter_samples());
    all.extend(frame_samples());
    all
}

// ---- the rows of a store ----

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const DISK: u64 = 880;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("fleet-samples-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn open(&self) -> Store {
        Store::open(&self.0, "north", "n1", DISK, Unsynced::System).expect("a store")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

type Rows = BTreeMap<String, Vec<u8>>;

/// The rows that a store has on disk that was born and holds [`saved`], as `store.meta.KEY` and `store.log.INDEX`.
fn rows_of_a_store() -> Rows {
    let folder = Folder::new("write");
    let store = folder.open();
    store.be_born(&group(), &saved()).expect("written");
    let write = Write { entries: saved().entries, hard: Some(hard()), ..Write::default() };
    store.write(&write).expect("written");
    drop(store);
    let db = Database::open(folder.0.join("fleet.redb")).expect("a store");
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

/// A store in this folder that has these rows.
fn lay(folder: &Folder, rows: &Rows) {
    let db = Database::create(folder.0.join("fleet.redb")).expect("a store");
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
    let folder = Folder::new("read");
    lay(&folder, &stored());
    let store = folder.open();
    let owner = Owner { format: 1, installation: text("north"), name: text("n1"), disk: DISK };
    assert_eq!(store.owner, owner);
    assert_eq!(store.load().expect("read"), (group(), saved()));
}
