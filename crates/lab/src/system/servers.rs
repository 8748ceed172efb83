//! Stand-in servers that make themselves known: each calls the registries as the protocol has it, works on a few
//! requests at a time, seals its answers with the name of the try, and puts down everything that reaches it.

use super::call::{Call, good};
use super::log::{Log, arrival, lock};
use super::machines::Machines;
use super::observed::{BadAnswer, TimeHanded};
use super::rollouts::{ERROR_PART, PlannedRollout, Quality, SLOW_TIMES, server_prefix};
use super::{MS, SECOND, all};
use crate::http::{Conn, Request, header, response};
use rand::{Rng, SeedableRng, rngs::StdRng};
use simulator::Micros;
use simulator::plan::PAUSE;
use simulator::record::{Arrival, Cold, Leave};
use simulator::scenario::Scenario;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};

const SLOTS: usize = 3;
const QUEUE: usize = 3;
const FIRST_PORT: u16 = 8080;
/// The version of all servers that run from the beginning.
const FIRST_VERSION: &str = "v1";
/// Servers of a new version start within so long of each other.
const START_SPREAD: Micros = 500 * MS;
/// Servers share this many addresses and differ by port.
const ADDRESSES: usize = 3;
/// Kept connections are closed after this; callers are told a second less.
const IDLE: Duration = Duration::from_secs(11);
/// For what was acknowledged to reach the proxies in touch.
const NEWS: Micros = 300 * MS;
/// A cold or slowed server takes so many times as long.
const SLOWER: f64 = 3.0;
/// A request that names no time left may take so long.
const UNTOLD: Micros = 60 * SECOND;
/// Without an acknowledgement a server that leaves still ends.
const LEAVES_ANYWAY: Micros = 12 * SECOND;

/// The body that belongs to a try; clients know it too.
pub fn body(attempt: u64, download: bool) -> Vec<u8> {
    format!("{attempt:016x};").repeat(if download { 1200 } else { 8 }).into_bytes()
}

/// What a try that may run once carries.
pub fn payload(attempt: u64) -> Vec<u8> {
    format!("once {attempt:016x}").into_bytes()
}

pub struct Place {
    pub name: String,
    service: Mutex<String>,
    addr: SocketAddr,
    zone: String,
    region: String,
    /// Of its software.
    version: String,
    quality: Quality,
    /// No server starts here: those of the version have not begun, or have been stopped for good.
    retired: AtomicBool,
    lives: AtomicUsize,
    now: Mutex<Option<(Arc<Life>, JoinHandle<()>)>>,
}

/// One start of a server.
struct Life {
    id: String,
    service: String,
    version: String,
    quality: Quality,
    begun: Micros,
    addr: SocketAddr,
    zone: String,
    region: String,
    slots: Semaphore,
    waiting: AtomicUsize,
    sequence: AtomicU64,
    ask: AtomicUsize,
    draining: AtomicBool,
    ended: AtomicBool,
    cold_until: AtomicU64,
    /// Nobody has acknowledged yet that it has turned cold.
    cold_untold: AtomicBool,
    loses_until: AtomicU64,
    pauses_until: AtomicU64,
    slow_until: AtomicU64,
}

pub struct Servers {
    pub places: Vec<Place>,
    log: Arc<Log>,
    machines: Arc<Machines>,
    work: Micros,
    cold: (f64, f64),
    beat: Micros,
    drain_limit: Micros,
    rng: Mutex<StdRng>,
}

impl Servers {
    pub fn new(
        s: &Scenario,
        rollouts: &[PlannedRollout],
        log: Arc<Log>,
        machines: Arc<Machines>,
        drain_limit: Micros,
        seed: u64,
    ) -> Servers {
        let block = machines.block.parts;
        let mut places: Vec<Place> = Vec::new();
        let mut add = |service: &str, prefix: String, n: usize, rollout: Option<&PlannedRollout>| {
            for i in 0..n {
                let ip = settings::scheme::FIRST_SERVER + (places.len() % ADDRESSES) as u8;
                let port = FIRST_PORT + (places.len() / ADDRESSES) as u16;
                let (zone, region) = s.zones[i % s.zones.len()].clone();
                places.push(Place {
                    name: format!("{prefix}{}", i + 1),
                    service: Mutex::new(service.to_string()),
                    addr: (Ipv4Addr::new(127, block[0], block[1], ip), port).into(),
                    zone,
                    region,
                    version: rollout.map_or(FIRST_VERSION, |r| &r.version).to_string(),
                    quality: rollout.map_or(Quality::Good, |r| r.quality),
                    retired: AtomicBool::new(rollout.is_some()),
                    lives: AtomicUsize::new(0),
                    now: Mutex::new(None),
                });
            }
        };
        for (service, n) in &s.servers {
            add(service, service.clone(), *n, None);
        }
        for rollout in rollouts {
            let n = s.servers.iter().find(|(name, _)| *name == rollout.service).map_or(0, |(_, n)| *n);
            add(&rollout.service, server_prefix(&rollout.service, &rollout.version), n, Some(rollout));
        }
        let beat = machines.scheme.beat_period_ms * MS;
        let rng = Mutex::new(StdRng::seed_from_u64(seed));
        Servers { places, log, machines, work: s.work, cold: s.cold, beat, drain_limit, rng }
    }

    pub fn named(&self, who: &str) -> Vec<usize> {
        let named = |p: &Place| p.name == who || *lock(&p.service) == who;
        (0..self.places.len()).filter(|n| named(&self.places[*n])).collect()
    }

    pub fn in_zone(&self, zone: &str) -> Vec<usize> {
        (0..self.places.len()).filter(|n| self.places[*n].zone == zone).collect()
    }

    fn chance(&self) -> f64 {
        lock(&self.rng).r#gen()
    }

    fn life(&self, place: usize) -> Option<Arc<Life>> {
        lock(&self.places[place].now).as_ref().map(|(life, _)| life.clone())
    }

    fn of_version(&self, service: &str, version: &str) -> Vec<usize> {
        let is = |p: &Place| p.version == version && *lock(&p.service) == service;
        (0..self.places.len()).filter(|n| is(&self.places[*n])).collect()
    }

    /// The servers of a new version start, spread over a moment.
    pub async fn start_version(self: &Arc<Self>, service: &str, version: &str) {
        let starts = self.of_version(service, version).into_iter().map(|place| async move {
            tokio::time::sleep(Duration::from_micros((START_SPREAD as f64 * self.chance()) as u64)).await;
            self.places[place].retired.store(false, Relaxed);
            self.start(place, None, true).await;
        });
        all(starts).await;
    }

    /// No more servers of this version start; which there are.
    pub fn retire_version(&self, service: &str, version: &str) -> Vec<usize> {
        let places = self.of_version(service, version);
        places.iter().for_each(|n| self.places[*n].retired.store(true, Relaxed));
        places
    }

    /// All servers of the service but those of this version stop at once and for good.
    pub fn retire_others(&self, service: &str, version: &str) {
        for (n, p) in self.places.iter().enumerate() {
            if p.version != version && *lock(&p.service) == service {
                p.retired.store(true, Relaxed);
                self.end(n);
            }
        }
    }

    /// A server starts at this place, unless one is there; `cold`: during traffic.
    pub async fn start(self: &Arc<Self>, place: usize, service: Option<String>, cold: bool) {
        let p = &self.places[place];
        if let Some(service) = service {
            *lock(&p.service) = service;
        }
        if p.retired.load(Relaxed) || lock(&p.now).is_some() {
            return;
        }
        let listener = match TcpListener::bind(p.addr).await {
            Ok(listener) => listener,
            Err(e) => return self.log.note(format!("server {}: {}: {e}", p.name, p.addr)),
        };
        let now = self.log.now();
        let until = if cold { now + (self.cold.0 * 1e6) as Micros } else { 0 };
        let life = Arc::new(Life {
            id: format!("{}-{}", p.name, p.lives.fetch_add(1, Relaxed) + 1),
            service: lock(&p.service).clone(),
            version: p.version.clone(),
            quality: p.quality,
            begun: now,
            addr: p.addr,
            zone: p.zone.clone(),
            region: p.region.clone(),
            slots: Semaphore::new(SLOTS),
            waiting: AtomicUsize::new(0),
            sequence: AtomicU64::new(0),
            ask: AtomicUsize::new((self.chance() * self.machines.cores() as f64) as usize),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            cold_until: AtomicU64::new(until),
            cold_untold: AtomicBool::new(false),
            loses_until: AtomicU64::new(0),
            pauses_until: AtomicU64::new(0),
            slow_until: AtomicU64::new(0),
        });
        if cold {
            let server = life.id.clone();
            self.log.book().colds.push(Cold { server, from: now, until, rate: self.cold.1 });
        }
        let (me, mine) = (self.clone(), life.clone());
        let task = tokio::spawn(async move {
            // Dropped with the task: a server that ends ends all its connections.
            let mut held = JoinSet::new();
            held.spawn(beats(me.clone(), mine.clone()));
            loop {
                tokio::select! {
                    taken = listener.accept() => {
                        if let Ok((stream, _)) = taken {
                            held.spawn(serve(me.clone(), mine.clone(), stream));
                        }
                    }
                    Some(_) = held.join_next() => {}
                }
            }
        });
        *lock(&p.now) = Some((life, task));
    }

    /// A server ends at once.
    pub fn end(&self, place: usize) {
        if let Some((life, task)) = lock(&self.places[place].now).take() {
            life.ended.store(true, Relaxed);
            task.abort();
            self.log.note(format!("server {} ends", life.id));
        }
    }

    pub fn end_all(&self) {
        (0..self.places.len()).for_each(|n| self.end(n));
    }

    /// Tells that it leaves, serves on, and ends.
    pub async fn drain(self: &Arc<Self>, place: usize) {
        let Some(life) = self.life(place) else { return };
        life.draining.store(true, Relaxed);
        self.log.note(format!("server {} drains", life.id));
        let begun = self.log.now();
        let told = loop {
            if life.ended.load(Relaxed) {
                return;
            }
            if self.beat(&life).await {
                break true;
            }
            if self.log.now() > begun + LEAVES_ANYWAY {
                break false;
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        };
        if told {
            tokio::time::sleep(Duration::from_micros(self.drain_limit + 500 * MS)).await;
        }
        for _ in 0..6 {
            let core = life.ask.load(Relaxed) % self.machines.cores();
            let left = Call::plain("DELETE", format!("/api/instances/{}", life.id));
            if good(&left.on(self.machines.control(core), || {}).await) {
                self.left(&life, core);
                break;
            }
            life.ask.fetch_add(1, Relaxed);
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        // Another may have taken the place since.
        if self.life(place).is_some_and(|l| Arc::ptr_eq(&l, &life)) {
            self.end(place);
        }
    }

    /// A server turns cold in the middle of its life, and says so at once.
    pub async fn chill(&self, place: usize) {
        let Some(life) = self.life(place) else { return };
        life.cold_until.store(self.log.now() + (self.cold.0 * 1e6) as Micros, Relaxed);
        life.cold_untold.store(true, Relaxed);
        self.beat(&life).await;
    }

    pub fn lose(&self, place: usize, last: Micros) {
        if let Some(life) = self.life(place) {
            life.loses_until.store(self.log.now() + last, Relaxed);
        }
    }

    pub fn pause(&self, place: usize, last: Micros) {
        if let Some(life) = self.life(place) {
            life.pauses_until.store(self.log.now() + last, Relaxed);
        }
    }

    pub fn slow(&self, place: usize, last: Micros) {
        if let Some(life) = self.life(place) {
            life.slow_until.store(self.log.now() + last, Relaxed);
        }
    }

    fn left(&self, life: &Life, by: usize) {
        let at = self.log.now();
        let mut book = self.log.book();
        if !book.leaves.iter().any(|l| l.server == life.id) {
            book.leaves.push(Leave { server: life.id.clone(), at, by });
        }
    }

    /// One call: whether it was acknowledged.
    async fn beat(&self, life: &Life) -> bool {
        let now = self.log.now();
        let (draining, cold_until) = (life.draining.load(Relaxed), life.cold_until.load(Relaxed));
        let cold = cold_until > now;
        let body = jzon::object! {
            server_address: life.addr.to_string(),
            information: {
                service_ref: life.service.as_str(), config_version: life.version.as_str(),
                zone_name: life.zone.as_str(), slot_count: SLOTS
            },
            status_report: {
                server_state: if draining { "draining" } else { "available" },
                call_sequence: life.sequence.fetch_add(1, Relaxed) + 1,
                cold_left_ms: cold_until.saturating_sub(now) as f64 / 1e3
            },
        }
        .dump();
        let core = life.ask.load(Relaxed) % self.machines.cores();
        let target = format!("/api/instances/{}", life.id);
        let call = Call { method: "PUT", target, if_match: None, body: &body };
        if !good(&call.on(self.machines.control(core), || {}).await) {
            life.ask.fetch_add(1, Relaxed);
            return false;
        }
        // Before that nobody could know; a moment more is left for the word to go round.
        if cold && life.cold_untold.swap(false, Relaxed) {
            let from = self.log.now() + NEWS;
            let (server, rate) = (life.id.clone(), self.cold.1);
            self.log.book().colds.push(Cold { server, from, until: cold_until, rate });
        }
        if draining {
            self.left(life, core);
        }
        true
    }
}

async fn beats(servers: Arc<Servers>, life: Arc<Life>) {
    let mut failed = 0;
    loop {
        let wait = if servers.beat(&life).await {
            failed = 0;
            let period = servers.beat as f64;
            (period * (0.95 + servers.chance() / 10.0)) as Micros
        } else {
            failed += 1;
            if failed % 3 == 0 { 300 * MS } else { MS }
        };
        tokio::time::sleep(Duration::from_micros(wait)).await;
    }
}

/// Puts down that the server itself broke off, if it ends while it works.
struct Working<'a> {
    log: &'a Log,
    life: &'a Life,
    attempt: u64,
    at: usize,
}

impl Drop for Working<'_> {
    fn drop(&mut self) {
        let now = self.log.now();
        let mut book = self.log.book();
        book.observed.worked_until.insert(self.attempt, now);
        if self.life.ended.load(Relaxed) {
            arrival(&mut book, self.attempt, self.at).broke = true;
        }
    }
}

async fn serve(servers: Arc<Servers>, life: Arc<Life>, stream: TcpStream) {
    let mut conn = Conn::new(stream);
    while let Ok(Ok(Some(request))) = tokio::time::timeout(IDLE, conn.read_request()).await {
        let Some(answer) = work(&servers, &life, &conn.stream, &request).await else { return };
        if conn.write(&answer).await.is_err() {
            return;
        }
    }
}

/// Whoever called has gone.
async fn closed(stream: &TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}

/// None: the connection ends without an answer.
async fn work(servers: &Servers, life: &Life, stream: &TcpStream, request: &Request) -> Option<Vec<u8>> {
    let (log, now) = (&servers.log, servers.log.now());
    let named = request.header("X-Attempt-Id").unwrap_or("").to_string();
    let not_run = |status: u16| {
        let headers = [("X-Attempt-Id", named.clone()), ("X-Not-Executed", "1".to_string())];
        Some(response(status, &headers, b""))
    };
    let asked = u64::from_str_radix(&named, 16).ok();
    let Some(attempt) = asked.filter(|n| asked_for(&mut log.book(), *n, request, life)) else {
        return not_run(400);
    };
    let elsewhere = request.header("X-Expected-Instance").is_some_and(|id| id != life.id);
    let full = life.slots.available_permits() == 0 && life.waiting.load(Relaxed) >= QUEUE;
    let turned_away = if elsewhere { Some(421) } else { full.then_some(503) };
    let at = {
        let mut book = log.book();
        let tried = &mut book.tries[attempt as usize];
        let (edge, proxy_life) = (tried.edge, tried.life);
        tried.arrivals.push(Arrival {
            // When the proxy sent it is not seen from here; over loopback it is the same moment.
            sent: now,
            at: now,
            edge,
            life: proxy_life,
            server: life.id.clone(),
            service: life.service.clone(),
            zone: life.zone.clone(),
            region: life.region.clone(),
            tenant: request.header("X-Tenant-Name").map(str::to_string),
            turned_away,
            ran: None,
            broke: false,
            cut: None,
        });
        tried.arrivals.len() - 1
    };
    if let Some(status) = turned_away {
        return not_run(status);
    }
    let told = request.header("X-Time-Left").and_then(|t| t.parse::<u64>().ok()).map(|ms| ms * MS);
    log.book().observed.handed.push(TimeHanded { attempt, at: now, left: told });
    let left = told.unwrap_or(UNTOLD);
    life.waiting.fetch_add(1, Relaxed);
    let turn = tokio::select! {
        turn = life.slots.acquire() => turn.ok(),
        () = tokio::time::sleep(Duration::from_micros(left)) => None,
        () = closed(stream) => None,
    };
    life.waiting.fetch_sub(1, Relaxed);
    let Some(_turn) = turn.filter(|_| log.now() < now + left) else {
        arrival(&mut log.book(), attempt, at).turned_away = Some(503);
        return not_run(503);
    };
    let begun = log.now();
    arrival(&mut log.book(), attempt, at).ran = Some(begun);
    let _working = Working { log, life, attempt, at };
    let slow = begun < life.cold_until.load(Relaxed).max(life.slow_until.load(Relaxed));
    let slow_version = life.quality == Quality::Slow;
    let times = if slow { SLOWER } else { 1.0 } * if slow_version { SLOW_TIMES } else { 1.0 };
    let took = servers.work as f64 * (0.5 + servers.chance()) * times;
    if works_undisturbed(stream, took as Micros).await.is_none() {
        let now = log.now();
        arrival(&mut log.book(), attempt, at).cut = Some(now);
        return None;
    }
    if log.now() < life.loses_until.load(Relaxed) {
        arrival(&mut log.book(), attempt, at).broke = true;
        return None;
    }
    let mut headers =
        vec![("X-Attempt-Id", named.clone()), ("Keep-Alive", format!("timeout={}", IDLE.as_secs() - 1))];
    if log.now() > now + left {
        return Some(response(504, &headers, b""));
    }
    let fails = life.quality.fails(begun - life.begun) && servers.chance() < ERROR_PART;
    if fails || slow_version {
        let bad = BadAnswer { at: log.now(), server: life.id.clone() };
        log.book().observed.bad_answers.push(bad);
    }
    if fails {
        return Some(response(500, &headers, b""));
    }
    headers.push(("X-Server-Seal", named.clone()));
    let whole = response(200, &headers, &body(attempt, request.target.starts_with("/r-kawe/")));
    if begun >= life.pauses_until.load(Relaxed) {
        return Some(whole);
    }
    let (begin, rest) = whole.split_at(whole.len() - 1);
    if write_all(stream, begin).await.is_err() || works_undisturbed(stream, PAUSE).await.is_none() {
        let now = log.now();
        arrival(&mut log.book(), attempt, at).cut = Some(now);
        return None;
    }
    if log.now() > now + left {
        arrival(&mut log.book(), attempt, at).broke = true;
        return None;
    }
    Some(rest.to_vec())
}

/// None: the caller has gone meanwhile.
async fn works_undisturbed(stream: &TcpStream, for_us: Micros) -> Option<()> {
    tokio::select! {
        () = tokio::time::sleep(Duration::from_micros(for_us)) => Some(()),
        () = closed(stream) => None,
    }
}

async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Whether a client sent this, just so; what nobody sent is put down.
fn asked_for(book: &mut super::log::Book, n: u64, request: &Request, life: &Life) -> bool {
    let wrong = match book.tries.get(n as usize) {
        None => Some("a try that no client sent".to_string()),
        Some(t) => {
            let (method, sent) = if t.once { ("POST", payload(n)) } else { ("GET", Vec::new()) };
            let same = request.method == method && request.target == t.path && request.body == sent;
            let key = header(&request.headers, "Authorization").is_some();
            if !same {
                Some(format!("changed on the way: {} {}", request.method, request.target))
            } else {
                key.then(|| "the tenant's key was passed on".to_string())
            }
        }
    };
    if let Some(what) = wrong.clone() {
        book.unasked.push((Some(n), format!("at {}: {what}", life.id)));
    }
    wrong.is_none()
}
