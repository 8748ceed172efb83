//! Stand-in servers, many in one process, each on a listener of its own on loopback, speaking the server side of
//! PROTOCOL: a request is taken when its last byte has arrived; 200 and a body when served, 500 on an error, 503
//! with `Not-Started: 1` when it is turned away (waiting room full, draining, too many connections) and 504 with
//! `Not-Started: 1` when its time ran out before it began. A given-up attempt is seen as the gateway closing the
//! connection or ending its sending.
//!
//! The model of a server: `slots` requests in work at once, `queue` more may wait; service time log-normal, slower by
//! `slow_per_extra` for each request held beyond the slots. A cold server bears a part of its slots rising evenly to
//! all over `cold_s`; held above `fall_multiple` of that for `fall_ms`, it falls over and fails all for `down_s`.
//! Faults act on top: slow, failing fast, silent, resetting under requests, spoilt answers, dead.

use crate::http::{self, Conn, Request};
use crate::record::{AttemptEnd, AttemptRow, Recorder, ServerRow};
use crate::scenario::Servers;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, LogNormal};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};

/// The lab's clock: microseconds since the run began.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Unix time at the start, in microseconds, for `started_ms` in the list.
    unix_us: u64,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_us: unix.as_micros() as u64 }
    }
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }
    pub fn unix_ms(&self, at_us: u64) -> u64 {
        (self.unix_us + at_us) / 1000
    }
    /// Sleeps until `at_us` on this clock.
    pub async fn until(&self, at_us: u64) {
        let now = self.now();
        if at_us > now {
            tokio::time::sleep(Duration::from_micros(at_us - now)).await;
        }
    }
}

/// The meter: each customer's units taken by all servers, by period.
pub struct Meter {
    pub on: bool,
    period_us: u64,
    late_us: u64,
    /// By customer: (period, units) of the last few periods.
    used: Mutex<HashMap<u64, VecDeque<(u64, f64)>>>,
}

impl Meter {
    pub fn new(on: bool, period_ms: f64, late_ms: f64) -> Meter {
        let period_us = (period_ms * 1000.0).max(10_000.0) as u64;
        Meter { on, period_us, late_us: (late_ms * 1000.0) as u64, used: Mutex::new(HashMap::new()) }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, VecDeque<(u64, f64)>>> {
        self.used.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Past periods that a reading may still ask for.
    fn kept(&self) -> u64 {
        self.late_us / self.period_us + 3
    }

    pub fn take(&self, customer: u64, units: f64, at_us: u64) {
        let (period, keep) = (at_us / self.period_us, self.kept());
        let mut used = self.lock();
        let periods = used.entry(customer).or_default();
        match periods.back_mut() {
            Some((p, u)) if *p == period => *u += units,
            _ => periods.push_back((period, units)),
        }
        while periods.front().is_some_and(|(p, _)| *p + keep < period) {
            periods.pop_front();
        }
    }

    /// The customer's use in percent of `rate` in the last period that finished `late` before now.
    pub fn reading(&self, customer: u64, rate: f64, at_us: u64) -> Option<f64> {
        if !self.on || rate <= 0.0 {
            return None;
        }
        let finished = (at_us.saturating_sub(self.late_us) / self.period_us).checked_sub(1)?;
        let used = self.lock();
        let units =
            used.get(&customer).and_then(|ps| ps.iter().find(|(p, _)| *p == finished)).map_or(0.0, |x| x.1);
        Some(100.0 * units / (rate * self.period_us as f64 / 1e6))
    }

    /// Customers it keeps periods of: bounded by those that asked in the last few periods.
    pub fn forget_idle(&self, at_us: u64) {
        let (period, keep) = (at_us / self.period_us, self.kept());
        self.lock().retain(|_, ps| ps.back().is_some_and(|(p, _)| *p + keep >= period));
    }
}

/// Faults that act on a server now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub slow: f64,
    pub fail_fast: bool,
    pub silent: bool,
    pub reset: bool,
    pub spoil: bool,
}

struct State {
    /// The process runs; when not, its listener is closed and its connections are reset.
    alive: bool,
    draining: bool,
    faults: Faults,
    in_work: usize,
    waiting: VecDeque<oneshot::Sender<()>>,
    conns: usize,
    over_since: Option<u64>,
    down_until: u64,
    /// Its current life: when it started, and whether it started cold.
    started_us: u64,
    cold: bool,
    spoilt: u64,
}

/// One stand-in server.
pub struct Server {
    pub num: usize,
    pub name: String,
    pub zone: String,
    pub addr: SocketAddr,
    model: Servers,
    state: Mutex<State>,
    /// Rung when the process dies, so that its connections end.
    died: Notify,
    lives: AtomicU64,
}

/// What all servers share: the clock, the record, the meter and the plans' rates by name.
pub struct Shared {
    pub clock: Clock,
    pub rec: Arc<Recorder>,
    pub meter: Meter,
    pub rates: HashMap<String, f64>,
    pub seed: u64,
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn started_us(&self) -> u64 {
        self.lock().started_us
    }

    pub fn alive(&self) -> bool {
        self.lock().alive
    }

    /// The part of its slots that it bears now.
    fn bears(&self, s: &State, now: u64) -> f64 {
        let m = &self.model;
        let slots = m.slots as f64;
        if !s.cold || m.cold_s <= 0.0 {
            return slots;
        }
        let age = (now.saturating_sub(s.started_us) as f64 / (m.cold_s * 1e6)).min(1.0);
        slots * (m.cold_from + (1.0 - m.cold_from) * age)
    }

    pub fn set_faults(&self, f: impl FnOnce(&mut Faults)) {
        f(&mut self.lock().faults);
    }

    pub fn set_draining(&self, draining: bool) {
        self.lock().draining = draining;
    }

    /// The process dies: new connections are refused, open ones reset.
    pub fn kill(&self) {
        let mut s = self.lock();
        s.alive = false;
        s.waiting.clear();
        drop(s);
        self.died.notify_waiters();
    }

    /// Falls behind the held requests: checks the fall of a cold server.
    fn check_fall(&self, s: &mut State, now: u64) {
        let m = &self.model;
        let held = (s.in_work + s.waiting.len()) as f64;
        if s.cold && held > m.fall_multiple * self.bears(s, now) {
            let since = *s.over_since.get_or_insert(now);
            if now > since + (m.fall_ms * 1000.0) as u64 {
                s.down_until = now + (m.down_s * 1e6) as u64;
                s.over_since = None;
            }
        } else {
            s.over_since = None;
        }
    }

    /// Lets the next waiting request begin, if there is room.
    fn release(&self, s: &mut State, now: u64) {
        while (s.in_work as f64) < self.bears(s, now).max(1.0) {
            let Some(next) = s.waiting.pop_front() else { break };
            if next.send(()).is_ok() {
                s.in_work += 1;
            }
        }
    }
}

/// Starts a server on a listener of its own and records its life. `cold` for one that starts now cold.
pub async fn start(
    shared: Arc<Shared>,
    num: usize,
    name: String,
    zone: String,
    model: Servers,
    cold: bool,
) -> std::io::Result<Arc<Server>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let now = shared.clock.now();
    let state = State {
        alive: true,
        draining: false,
        faults: Faults::default(),
        in_work: 0,
        waiting: VecDeque::new(),
        conns: 0,
        over_since: None,
        down_until: 0,
        started_us: if cold { now } else { 0 },
        cold,
        spoilt: 0,
    };
    let server = Arc::new(Server {
        num,
        name: name.clone(),
        zone: zone.clone(),
        addr,
        model: model.clone(),
        state: Mutex::new(state),
        died: Notify::new(),
        lives: AtomicU64::new(1),
    });
    shared.rec.server(ServerRow { server: num, name, zone, started_us: now, cold, slots: model.slots });
    tokio::spawn(serve(shared, server.clone(), listener));
    Ok(server)
}

/// Starts the process of a server that died, cold, on its old address. Its number and name stay.
pub async fn revive(shared: Arc<Shared>, server: Arc<Server>) -> std::io::Result<()> {
    let listener = bind_again(server.addr).await?;
    let now = shared.clock.now();
    {
        let mut s = server.lock();
        (s.alive, s.cold, s.started_us, s.draining) = (true, true, now, false);
        (s.in_work, s.over_since, s.down_until) = (0, None, 0);
    }
    server.lives.fetch_add(1, Ordering::Relaxed);
    shared.rec.server(ServerRow {
        server: server.num,
        name: server.name.clone(),
        zone: server.zone.clone(),
        started_us: now,
        cold: true,
        slots: server.model.slots,
    });
    tokio::spawn(serve(shared, server, listener));
    Ok(())
}

/// The port may still be held for a moment by connections that end.
async fn bind_again(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let mut last = None;
    for _ in 0..50 {
        match TcpListener::bind(addr).await {
            Ok(l) => return Ok(l),
            Err(e) => last = Some(e),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Err(last.unwrap_or_else(|| std::io::Error::other("cannot bind again")))
}

async fn serve(shared: Arc<Shared>, server: Arc<Server>, listener: TcpListener) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                if !server.alive() {
                    reset(&stream);
                    break;
                }
                tokio::spawn(connection(shared.clone(), server.clone(), stream));
            }
            _ = server.died.notified() => break,
        }
    }
    // The listener is dropped here: new connections are refused.
}

/// Makes a connection end with a reset rather than an orderly close, once it is dropped.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn connection(shared: Arc<Shared>, server: Arc<Server>, stream: TcpStream) {
    let too_many = {
        let mut s = server.lock();
        s.conns += 1;
        s.conns > server.model.max_conns
    };
    let mut conn = Conn::new(stream);
    let idle = Duration::from_secs_f64(server.model.idle_close_s.max(0.001));
    let life = server.lives.load(Ordering::Relaxed);
    let mut rng = StdRng::seed_from_u64(shared.seed ^ (server.num as u64) << 20 ^ shared.clock.now());
    loop {
        let request = tokio::select! {
            r = tokio::time::timeout(idle, conn.read_request()) => r,
            _ = server.died.notified() => { break; }
        };
        let request = match request {
            Ok(Ok(Some(r))) => r,
            _ => break, // idle, ended, or not HTTP
        };
        if !server.alive() || server.lives.load(Ordering::Relaxed) != life {
            break;
        }
        let keep = handle(&shared, &server, &mut conn, request, too_many, &mut rng).await;
        if !keep {
            break;
        }
    }
    server.lock().conns -= 1;
    if !server.alive() {
        reset(&conn.stream);
    }
}

enum Turn {
    Now,
    Wait(oneshot::Receiver<()>),
    Full,
}

/// One request; whether the connection goes on.
async fn handle(
    shared: &Shared,
    server: &Server,
    conn: &mut Conn,
    request: Request,
    too_many: bool,
    rng: &mut StdRng,
) -> bool {
    let at = shared.clock.now();
    let id = request.header("Request-Id").unwrap_or("").to_string();
    if id.is_empty() {
        let _ = conn.write(&http::response(404, &[], b"no Request-Id\n")).await;
        return true;
    }
    let customer = request.header("X-Client-Id").and_then(|c| u64::from_str_radix(c, 16).ok()).unwrap_or(0);
    let units = metering(&request, "units").map_or(1, |u| u.round() as u32);
    let rate = request.header("X-Contract").and_then(|p| shared.rates.get(p)).copied().unwrap_or(0.0);
    let timeout_us = request.header("Request-Timeout").and_then(span_us).unwrap_or(u64::MAX / 4);
    let row = |end: AttemptEnd, end_us: u64| AttemptRow {
        id: id.clone(),
        server: server.num,
        at_us: at,
        end_us,
        end,
        customer,
        units,
    };
    let (faults, draining, down) = {
        let s = server.lock();
        (s.faults, s.draining, s.down_until > at)
    };
    if too_many || draining {
        shared.rec.attempt(row(AttemptEnd::TurnedAway, at));
        let _ = conn.write(&http::response(503, &[("Not-Started", "1".into())], b"turned away\n")).await;
        return !too_many;
    }
    if faults.silent {
        // Holds the connection and says nothing until the gateway gives up.
        let ended = conn.stream.readable().await;
        let mut byte = [0u8; 1];
        let _ = ended.and(conn.stream.try_read(&mut byte));
        shared.rec.attempt(row(AttemptEnd::Unanswered, shared.clock.now()));
        return false;
    }
    shared.meter.take(customer, f64::from(units), at);
    if faults.reset {
        shared.rec.attempt(row(AttemptEnd::Reset, at));
        reset(&conn.stream);
        return false;
    }
    if faults.spoil {
        shared.rec.attempt(row(AttemptEnd::Spoilt, at));
        let n = {
            let mut s = server.lock();
            s.spoilt += 1;
            s.spoilt
        };
        let spoilt: &[u8] = match n % 3 {
            0 => b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nshort",
            1 => b"HTTP/1.1 2x0 Fine\r\n\r\n",
            _ => b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 9\r\n\r\nabc",
        };
        let _ = conn.write(spoilt).await;
        return false;
    }
    if faults.fail_fast || down {
        shared.rec.attempt(row(AttemptEnd::Error, at));
        return conn.write(&http::response(500, &[], b"failed\n")).await.is_ok();
    }
    // Wait for a slot, in turn; turned away when the waiting room is full.
    let turn = {
        let mut s = server.lock();
        server.check_fall(&mut s, at);
        if (s.in_work as f64) < server.bears(&s, at).max(1.0) {
            s.in_work += 1;
            Turn::Now
        } else if s.waiting.len() < server.model.queue {
            let (tx, rx) = oneshot::channel();
            s.waiting.push_back(tx);
            Turn::Wait(rx)
        } else {
            Turn::Full
        }
    };
    let turn = match turn {
        Turn::Now => None,
        Turn::Wait(rx) => Some(rx),
        Turn::Full => {
            shared.rec.attempt(row(AttemptEnd::TurnedAway, at));
            let head = [("Not-Started", "1".to_string())];
            return conn.write(&http::response(503, &head, b"queue full\n")).await.is_ok();
        }
    };
    if let Some(turn) = turn {
        let deadline = Duration::from_micros(timeout_us);
        let waited = tokio::select! {
            t = tokio::time::timeout(deadline, turn) => t,
            _ = closed(&conn.stream) => {
                shared.rec.attempt(row(AttemptEnd::Cancelled, shared.clock.now()));
                return false;
            }
        };
        match waited {
            Ok(Ok(())) => {}
            Ok(Err(_)) => {
                // The process died while it waited.
                shared.rec.attempt(row(AttemptEnd::Reset, shared.clock.now()));
                reset(&conn.stream);
                return false;
            }
            Err(_) => {
                shared.rec.attempt(row(AttemptEnd::TurnedAway, shared.clock.now()));
                let head = [("Not-Started", "1".to_string())];
                return conn.write(&http::response(504, &head, b"over before it began\n")).await.is_ok();
            }
        }
    }
    let service = {
        let s = server.lock();
        let extra = (s.in_work + s.waiting.len()) as f64 - server.bears(&s, shared.clock.now());
        let mean = server.model.service_ms * 1000.0 * (1.0 + server.model.slow_per_extra * extra.max(0.0));
        let sigma = (1.0 + server.model.service_cv.powi(2)).ln().sqrt();
        let law = LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma).expect("a log-normal law");
        law.sample(rng) * if faults.slow > 0.0 { faults.slow } else { 1.0 }
    };
    let done = tokio::select! {
        _ = tokio::time::sleep(Duration::from_micros(service as u64)) => true,
        _ = closed(&conn.stream) => false,
        _ = server.died.notified() => false,
    };
    let now = shared.clock.now();
    {
        let mut s = server.lock();
        s.in_work = s.in_work.saturating_sub(1);
        server.release(&mut s, now);
        server.check_fall(&mut s, now);
    }
    if !done {
        let end = if server.alive() { AttemptEnd::Cancelled } else { AttemptEnd::Reset };
        shared.rec.attempt(row(end, now));
        return false;
    }
    let mut head = Vec::new();
    if let Some(use_percent) = shared.meter.reading(customer, rate, now) {
        head.push(("X-Meter", format!("{use_percent:.1}")));
    }
    let body = vec![b'x'; server.model.answer_bytes];
    shared.rec.attempt(row(AttemptEnd::Served, now));
    conn.write(&http::response(200, &head, &body)).await.is_ok()
}

/// Resolves when the peer has ended its sending or the connection broke; stray bytes are not looked at.
async fn closed(stream: &TcpStream) {
    loop {
        if stream.readable().await.is_err() {
            return;
        }
        let mut byte = [0u8; 1];
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            Ok(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

/// A figure of `X-Metering` by its name: `units=2,spread=3,first=1`.
pub fn metering(request: &Request, name: &str) -> Option<f64> {
    let figures = request.header("X-Metering")?.split(',');
    figures.filter_map(|part| part.trim().split_once('=')).find(|(k, _)| *k == name)?.1.parse().ok()
}

/// `480m` or `480u`, in microseconds.
pub fn span_us(text: &str) -> Option<u64> {
    let (n, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let n: f64 = n.parse().ok()?;
    match unit {
        "m" => Some((n * 1000.0) as u64),
        "u" => Some(n as u64),
        _ => None,
    }
}

/// Draws `count` distinct numbers below `of`, by the seed.
pub fn draw(rng: &mut StdRng, of: usize, count: usize) -> Vec<usize> {
    let mut all: Vec<usize> = (0..of).collect();
    for n in 0..count.min(of) {
        let pick = rng.gen_range(n..of);
        all.swap(n, pick);
    }
    all.truncate(count.min(of));
    all
}
