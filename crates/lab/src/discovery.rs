//! The stand-in discovery: the list of servers with its versions, and an agent for each gateway that serves it as
//! PROTOCOL says: `GET /catalog/members` for the whole list, `GET /catalog/members?watch=1&after=N` for a chunked
//! answer that stays open and carries one JSON object a line with what changed, an empty line every 2 s while
//! nothing does.
//!
//! Each agent has its own delay, and may be made to hold back (stale) or to fall silent. Every version written to a
//! gateway is recorded with its time, which is when the gateway counts as told.

use crate::fleet::Clock;
use crate::record::{ListRow, Recorder, ToldRow};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A server as the list names it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Member {
    pub id: String,
    pub addr: String,
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    pub state: String,
    pub weight: f64,
    pub started_ms: u64,
}

/// The whole list at a version, by server number.
pub type Snapshot = Arc<BTreeMap<usize, Member>>;
type Versions = BTreeMap<u64, (u64, Snapshot)>;

/// The list's versions: each with the whole list as it was, and when it was made.
pub struct List {
    versions: Mutex<Versions>,
    changed: watch::Sender<u64>,
    rec: Arc<Recorder>,
    clock: Clock,
}

/// Versions kept for watches that ask from an older one; older ones get the whole list.
const KEPT: usize = 4096;

impl List {
    pub fn new(clock: Clock, rec: Arc<Recorder>, first: BTreeMap<usize, Member>) -> Arc<List> {
        let (changed, _) = watch::channel(1);
        for (server, m) in &first {
            rec.listed(ListRow { version: 1, at_us: 0, server: *server, state: m.state.clone() });
        }
        let versions = Mutex::new(BTreeMap::from([(1, (0, Arc::new(first)))]));
        Arc::new(List { versions, changed, rec, clock })
    }

    fn lock(&self) -> MutexGuard<'_, Versions> {
        self.versions.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The newest version, its time and list.
    pub fn newest(&self) -> (u64, u64, Arc<BTreeMap<usize, Member>>) {
        let v = self.lock();
        let (version, (at, list)) = v.last_key_value().expect("a first version");
        (*version, *at, list.clone())
    }

    /// Makes a new version from the newest by `change`, if it changes anything.
    pub fn change(&self, change: impl FnOnce(&mut BTreeMap<usize, Member>)) {
        let at = self.clock.now();
        let mut v = self.lock();
        let (&version, (_, list)) = v.last_key_value().expect("a first version");
        let mut next = (**list).clone();
        change(&mut next);
        if next == **list {
            return;
        }
        for (server, m) in &next {
            if list.get(server) != Some(m) {
                self.rec.listed(ListRow {
                    version: version + 1,
                    at_us: at,
                    server: *server,
                    state: m.state.clone(),
                });
            }
        }
        for server in list.keys().filter(|s| !next.contains_key(s)) {
            self.rec.listed(ListRow {
                version: version + 1,
                at_us: at,
                server: *server,
                state: "Gone".into(),
            });
        }
        v.insert(version + 1, (at, Arc::new(next)));
        while v.len() > KEPT {
            v.pop_first();
        }
        drop(v);
        self.changed.send_replace(version + 1);
    }

    /// The newest version made at or before `at`, and no later than `most`.
    fn as_of(&self, at: u64, most: u64) -> Option<(u64, Arc<BTreeMap<usize, Member>>)> {
        let v = self.lock();
        v.iter()
            .rev()
            .find(|(version, (made, _))| *made <= at && **version <= most)
            .map(|(n, (_, l))| (*n, l.clone()))
    }

    fn version(&self, version: u64) -> Option<Arc<BTreeMap<usize, Member>>> {
        self.lock().get(&version).map(|(_, l)| l.clone())
    }
}

/// What an agent does now.
#[derive(Clone, Copy, Debug)]
pub struct Mood {
    /// Changes reach the gateway this long after they were made.
    pub delay_us: u64,
    /// Tells nothing newer than this version.
    pub frozen_at: Option<u64>,
    /// Says nothing at all: no answers, no empty lines.
    pub silent: bool,
}

/// The agent on one gateway's machine.
pub struct Agent {
    pub gateway: usize,
    pub addr: SocketAddr,
    list: Arc<List>,
    mood: Mutex<Mood>,
    rec: Arc<Recorder>,
    clock: Clock,
}

impl Agent {
    pub async fn start(gateway: usize, list: Arc<List>, delay_us: u64) -> std::io::Result<Arc<Agent>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (rec, clock) = (list.rec.clone(), list.clock);
        let mood = Mutex::new(Mood { delay_us, frozen_at: None, silent: false });
        let agent = Arc::new(Agent { gateway, addr, list, mood, rec, clock });
        let serving = agent.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().answer(stream));
            }
        });
        Ok(agent)
    }

    pub fn mood(&self) -> Mood {
        *self.mood.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn set_mood(&self, change: impl FnOnce(&mut Mood)) {
        change(&mut self.mood.lock().unwrap_or_else(|e| e.into_inner()));
    }

    /// What this gateway may be told now.
    fn visible(&self) -> Option<(u64, Arc<BTreeMap<usize, Member>>)> {
        let mood = self.mood();
        let at = self.clock.now().saturating_sub(mood.delay_us);
        self.list.as_of(at, mood.frozen_at.unwrap_or(u64::MAX))
    }

    async fn answer(self: Arc<Agent>, stream: TcpStream) {
        let mut conn = crate::http::Conn::new(stream);
        while let Ok(Some(request)) = conn.read_request().await {
            while self.mood().silent {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            let target = request.target.clone();
            if !target.starts_with("/catalog/members") {
                let _ = conn.write(&crate::http::response(404, &[], b"")).await;
                continue;
            }
            let query = target.split_once('?').map_or("", |(_, q)| q);
            let after =
                query.split('&').find_map(|kv| kv.strip_prefix("after=")).and_then(|v| v.parse().ok());
            if query.split('&').any(|kv| kv == "watch=1") {
                let _ = self.watch(conn, after.unwrap_or(0)).await;
                return;
            }
            let Some((version, list)) = self.visible() else { return };
            let body = body(version, true, list.values());
            self.rec.told(ToldRow { gateway: self.gateway, version, at_us: self.clock.now() });
            let head = [("Content-Type", "application/json".to_string())];
            if conn.write(&crate::http::response(200, &head, body.as_bytes())).await.is_err() {
                return;
            }
        }
    }

    async fn watch(&self, mut conn: crate::http::Conn, after: u64) -> std::io::Result<()> {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        conn.write(head.as_bytes()).await?;
        let mut told = after;
        let mut changed = self.list.changed.subscribe();
        loop {
            if let Some((version, list)) = self.visible().filter(|(v, _)| *v != told) {
                let line = match self.list.version(told).filter(|_| told > 0) {
                    Some(before) => {
                        let moved =
                            list.iter().filter(|(s, m)| before.get(s) != Some(m)).map(|(_, m)| m.clone());
                        let gone = before
                            .iter()
                            .filter(|(s, _)| !list.contains_key(s))
                            .map(|(_, m)| Member { state: "Gone".into(), ..m.clone() });
                        let members: Vec<Member> = moved.chain(gone).collect();
                        body(version, false, members.iter())
                    }
                    None => body(version, true, list.values()),
                };
                if !self.mood().silent {
                    chunk(&mut conn, format!("{line}\n").as_bytes()).await?;
                    self.rec.told(ToldRow { gateway: self.gateway, version, at_us: self.clock.now() });
                    told = version;
                }
            }
            // A change made now is visible after the delay: look again then, or every 2 s for the empty line.
            let delay = Duration::from_micros(self.mood().delay_us.max(1));
            tokio::select! {
                _ = changed.changed() => { tokio::time::sleep(delay).await; }
                _ = tokio::time::sleep(Duration::from_secs(2)) => {
                    if !self.mood().silent {
                        chunk(&mut conn, b"\n").await?;
                    }
                }
            }
        }
    }
}

async fn chunk(conn: &mut crate::http::Conn, data: &[u8]) -> std::io::Result<()> {
    let mut out = format!("{:x}\r\n", data.len()).into_bytes();
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
    conn.stream.write_all(&out).await
}

fn body<'a>(version: u64, full: bool, members: impl Iterator<Item = &'a Member>) -> String {
    #[derive(Serialize)]
    struct Body<'a> {
        version: u64,
        full: bool,
        servers: Vec<&'a Member>,
    }
    serde_json::to_string(&Body { version, full, servers: members.collect() }).expect("plain data")
}

/// The list as a gateway's configuration names it (`known`).
pub fn known(version: u64, list: &BTreeMap<usize, Member>) -> serde_json::Value {
    serde_json::json!({"version": version, "full": true, "servers": list.values().collect::<Vec<_>>()})
}
