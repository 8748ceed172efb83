//! What happened in a run, as rows: every try of every client, every attempt at every server, the servers and
//! their lives, what discovery told each gateway and when, the faults, and samples of the gateways' state.
//!
//! Times are microseconds since the run began, on the lab's monotonic clock. The rows are kept in memory while
//! the run goes and written as CSV at its end (`tries.csv`, `attempts.csv`, ...), so that `lab check` can read
//! them again.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::path::Path;
use std::sync::Mutex;

/// How a client's try ended.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum TryEnd {
    /// 200 with a body.
    Served,
    /// 429 or 503: trying again is harmless.
    Refused,
    /// Any other 5xx.
    Failed,
    /// A 4xx: the request was at fault.
    Rejected,
    /// The client stopped waiting before any answer.
    GaveUp,
    /// The gateway took the request (its last byte was written) and the connection ended without an answer.
    Lost,
    /// No connection to the gateway, or it broke before the request was written whole.
    NotTaken,
}

/// One try of a client: a request under its own id.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct TryRow {
    /// The `Request-Id`, 16 hex digits.
    pub id: String,
    /// The client's request that this try belongs to, and which try of it this is (0 for the first).
    pub request: u64,
    pub try_no: u32,
    pub customer: u64,
    pub plan: usize,
    pub class: usize,
    pub units: u32,
    pub gateway: usize,
    /// When its last byte was written, and how long the client said it would wait from then.
    pub sent_us: u64,
    pub timeout_us: u64,
    /// When the answer's last byte came, or when the client stopped waiting.
    pub end_us: u64,
    pub status: u16,
    pub end: TryEnd,
    pub retry_after_ms: Option<f64>,
    /// When it was sent once more on a new connection, its first having ended without a byte of an answer (the
    /// close may have crossed the request, as PROTOCOL allows).
    pub resent_us: Option<u64>,
}

/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    Served,
    /// 500: it may have run.
    Error,
    /// 503 or 504 with `Not-Started: 1`: it never ran.
    TurnedAway,
    /// The server reset the connection under it, as a fault.
    Reset,
    /// The server's answer was spoilt, as a fault.
    Spoilt,
    /// The gateway closed the connection or ended its sending before the answer.
    Cancelled,
    /// The server never answered (silent, or the run ended).
    Unanswered,
}

impl AttemptEnd {
    /// Whether the request may have run at the server.
    pub fn may_have_run(self) -> bool {
        self != AttemptEnd::TurnedAway
    }
}

/// An attempt: a request whose last byte arrived at a server.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct AttemptRow {
    pub id: String,
    pub server: usize,
    pub at_us: u64,
    pub end_us: u64,
    pub end: AttemptEnd,
    pub customer: u64,
    pub units: u32,
}

/// A server process: its life and what it bears.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct ServerRow {
    pub server: usize,
    pub name: String,
    pub zone: String,
    /// Its start; cold from then for `cold_us` if `cold`.
    pub started_us: u64,
    pub cold: bool,
    pub slots: usize,
}

/// A change of the list: the version that first says it, the server, and its state from then.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct ListRow {
    pub version: u64,
    pub at_us: u64,
    pub server: usize,
    /// `Ready`, `Terminating` or `Gone`.
    pub state: String,
}

/// A version of the list written to a gateway's watch (or answered to its read).
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct ToldRow {
    pub gateway: usize,
    pub version: u64,
    pub at_us: u64,
}

/// A fault as it was carried out.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct FaultRow {
    pub at_us: u64,
    pub kind: String,
    /// Whom it took: server or gateway numbers, or a zone.
    pub target: String,
    pub until_us: u64,
}

/// What a gateway said of itself at a moment (its `/_stats`), or that it died or started.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct GatewayRow {
    pub at_us: u64,
    pub gateway: usize,
    /// `sample`, `killed`, `terminated`, `started`, `exited`.
    pub what: String,
    pub target: f64,
    pub out: u64,
    pub open: u64,
    /// Resident memory of its process, in KiB, from `/proc`.
    #[serde(default)]
    pub rss_kb: u64,
}

impl GatewayRow {
    /// A start, a kill, an end: no sample of its state.
    pub fn event(at_us: u64, gateway: usize, what: impl Into<String>) -> GatewayRow {
        GatewayRow { at_us, gateway, what: what.into(), target: 0.0, out: 0, open: 0, rss_kb: 0 }
    }
}

/// The whole record.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Record {
    pub tries: Vec<TryRow>,
    pub attempts: Vec<AttemptRow>,
    pub servers: Vec<ServerRow>,
    pub list: Vec<ListRow>,
    pub told: Vec<ToldRow>,
    pub faults: Vec<FaultRow>,
    pub gateways: Vec<GatewayRow>,
}

/// The record while a run goes: each part behind its own lock, taken for one push.
#[derive(Default)]
pub struct Recorder {
    pub tries: Mutex<Vec<TryRow>>,
    pub attempts: Mutex<Vec<AttemptRow>>,
    pub servers: Mutex<Vec<ServerRow>>,
    pub list: Mutex<Vec<ListRow>>,
    pub told: Mutex<Vec<ToldRow>>,
    pub faults: Mutex<Vec<FaultRow>>,
    pub gateways: Mutex<Vec<GatewayRow>>,
}

fn push<T>(rows: &Mutex<Vec<T>>, row: T) {
    rows.lock().unwrap_or_else(|e| e.into_inner()).push(row);
}

fn take<T>(rows: &Mutex<Vec<T>>) -> Vec<T> {
    std::mem::take(&mut *rows.lock().unwrap_or_else(|e| e.into_inner()))
}

impl Recorder {
    pub fn try_ended(&self, row: TryRow) {
        push(&self.tries, row);
    }
    pub fn attempt(&self, row: AttemptRow) {
        push(&self.attempts, row);
    }
    pub fn server(&self, row: ServerRow) {
        push(&self.servers, row);
    }
    pub fn listed(&self, row: ListRow) {
        push(&self.list, row);
    }
    pub fn told(&self, row: ToldRow) {
        push(&self.told, row);
    }
    pub fn fault(&self, row: FaultRow) {
        push(&self.faults, row);
    }
    pub fn gateway(&self, row: GatewayRow) {
        push(&self.gateways, row);
    }

    /// All rows so far, sorted by time; the recorder is empty after.
    pub fn finish(&self) -> Record {
        let mut r = Record {
            tries: take(&self.tries),
            attempts: take(&self.attempts),
            servers: take(&self.servers),
            list: take(&self.list),
            told: take(&self.told),
            faults: take(&self.faults),
            gateways: take(&self.gateways),
        };
        r.tries.sort_by_key(|t| (t.sent_us, t.request, t.try_no));
        r.attempts.sort_by_key(|a| a.at_us);
        r.servers.sort_by_key(|s| s.server);
        r.list.sort_by_key(|l| (l.version, l.server));
        r.told.sort_by_key(|t| (t.at_us, t.gateway));
        r.faults.sort_by_key(|f| f.at_us);
        r.gateways.sort_by_key(|g| (g.at_us, g.gateway));
        r
    }
}

impl Record {
    /// When each try, by its id, was first sent on: when its first attempt reached a server.
    pub fn first_sent(&self) -> HashMap<&str, u64> {
        let mut first = HashMap::new();
        for a in &self.attempts {
            first.entry(a.id.as_str()).or_insert(a.at_us);
        }
        first
    }

    /// Writes each part as a CSV file into `dir`.
    pub fn write(&self, dir: &Path) -> Result<(), String> {
        write_rows(&dir.join("tries.csv"), &self.tries)?;
        write_rows(&dir.join("attempts.csv"), &self.attempts)?;
        write_rows(&dir.join("servers.csv"), &self.servers)?;
        write_rows(&dir.join("list.csv"), &self.list)?;
        write_rows(&dir.join("told.csv"), &self.told)?;
        write_rows(&dir.join("faults.csv"), &self.faults)?;
        write_rows(&dir.join("gateways.csv"), &self.gateways)
    }

    /// Reads what [`Record::write`] wrote.
    pub fn read(dir: &Path) -> Result<Record, String> {
        Ok(Record {
            tries: read_rows(&dir.join("tries.csv"))?,
            attempts: read_rows(&dir.join("attempts.csv"))?,
            servers: read_rows(&dir.join("servers.csv"))?,
            list: read_rows(&dir.join("list.csv"))?,
            told: read_rows(&dir.join("told.csv"))?,
            faults: read_rows(&dir.join("faults.csv"))?,
            gateways: read_rows(&dir.join("gateways.csv"))?,
        })
    }
}

fn write_rows<T: Serialize>(path: &Path, rows: &[T]) -> Result<(), String> {
    let failed = |e: csv::Error| format!("{}: {e}", path.display());
    let mut w = csv::Writer::from_path(path).map_err(failed)?;
    for row in rows {
        w.serialize(row).map_err(failed)?;
    }
    w.flush().map_err(|e| format!("{}: {e}", path.display()))
}

fn read_rows<T: for<'de> Deserialize<'de>>(path: &Path) -> Result<Vec<T>, String> {
    let failed = |e: csv::Error| format!("{}: {e}", path.display());
    let mut r = csv::Reader::from_path(path).map_err(failed)?;
    r.deserialize().map(|row| row.map_err(failed)).collect()
}
