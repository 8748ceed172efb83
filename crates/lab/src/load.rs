//! The load: customers of each plan with their sets of gateways and how much they ask, a schedule of arrivals
//! drawn from the seed (open loop: arrivals do not wait for answers), the front that spreads each customer over its
//! set and goes on sending to a gateway that died until it notices, and clients that try again.
//!
//! A request goes as PROTOCOL says: `GET` for a class safe to repeat, else `POST` with a body; `Request-Id` fresh
//! on every try, `Request-Class`, `X-Contract`, `X-Client-Id`, `Request-Timeout`, `X-Metering`, and
//! `Client-Retry: 1` on later tries where clients mark them.

use crate::fleet::Clock;
use crate::gateways::Gateway;
use crate::http::{self, Conn};
use crate::record::{Recorder, TryEnd, TryRow};
use crate::scenario::Scenario;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// How a customer asks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    Calm,
    Heavy,
    Spiky { x: f64, phase_s: f64 },
}

/// A customer: who it is, its plan, its set of gateways and how unevenly it uses them, and how much it asks.
#[derive(Clone, Debug)]
pub struct Customer {
    pub id: u64,
    pub plan: usize,
    pub spread: u32,
    pub first: u32,
    /// Cumulative weights over its set, in order from `first`.
    pub weights: Vec<f64>,
    pub kind: Kind,
    /// Units a second asked outside spikes.
    pub asks: f64,
    /// Whether its client waits as `Retry-After` says, tries again at once, gives up early.
    pub honours: bool,
    pub at_once: bool,
    pub impatient: bool,
}

/// One request as the schedule has it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at_us: u64,
    pub customer: u32,
    pub class: u16,
    pub units: u32,
    pub body: Body,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Body {
    None,
    Small,
    Huge,
    Slow,
}

/// Draws all customers of the scenario.
pub fn customers(s: &Scenario, rng: &mut StdRng) -> Vec<Customer> {
    let n = s.gateways as u32;
    let skew = LogNormal::new(0.0, s.clients.skew.max(1e-6)).expect("a log-normal law");
    let mut all = Vec::new();
    for (plan, p) in s.plans.iter().enumerate() {
        for _ in 0..p.customers {
            let share = rng.gen_range(p.spread[0]..=p.spread[1]);
            let spread = ((share * f64::from(n)).round() as u32).clamp(1, n);
            let mut sum = 0.0;
            let weights = (0..spread)
                .map(|_| {
                    sum += skew.sample(rng);
                    sum
                })
                .collect();
            let roll: f64 = rng.r#gen();
            let kind = if roll < p.heavy {
                Kind::Heavy
            } else if roll < p.heavy + p.spiky {
                Kind::Spiky {
                    x: rng.gen_range(p.spike_x[0]..=p.spike_x[1]),
                    phase_s: rng.gen_range(0.0..p.spike_every_s),
                }
            } else {
                Kind::Calm
            };
            let asks = p.usual_rate()
                * match kind {
                    Kind::Heavy => rng.gen_range(p.heavy_x[0]..=p.heavy_x[1]),
                    _ => rng.gen_range(p.calm_use[0]..=p.calm_use[1]),
                };
            all.push(Customer {
                id: rng.gen_range(1..(1u64 << 33)),
                plan,
                spread,
                first: rng.gen_range(0..n),
                weights,
                kind,
                asks,
                honours: rng.r#gen::<f64>() < s.clients.honour,
                at_once: rng.r#gen::<f64>() < s.clients.at_once,
                impatient: rng.r#gen::<f64>() < s.clients.impatient,
            });
        }
    }
    all
}

/// All arrivals of the run, in time order, from its start.
pub fn schedule(s: &Scenario, customers: &[Customer], rng: &mut StdRng) -> Vec<Arrival> {
    let shares: Vec<f64> = s.classes.iter().map(|c| c.share).collect();
    let total: f64 = shares.iter().sum();
    let end_us = (s.duration_s * 1e6) as u64;
    let mut arrivals = Vec::new();
    for (n, c) in customers.iter().enumerate() {
        let p = &s.plans[c.plan];
        let mean_units = f64::from(p.units[0] + p.units[1]) / 2.0;
        let peak = match c.kind {
            Kind::Spiky { x, .. } => p.usual_rate() * x,
            _ => c.asks,
        }
        .max(c.asks);
        let most = peak / mean_units;
        if most <= 0.0 {
            continue;
        }
        let gap = Exp::new(most).expect("a rate above 0");
        let mut t = 0.0;
        loop {
            t += gap.sample(rng);
            let at_us = (t * 1e6) as u64;
            if at_us >= end_us {
                break;
            }
            let now = match c.kind {
                Kind::Spiky { phase_s, .. } if (t + phase_s) % p.spike_every_s < p.spike_s => peak,
                _ => c.asks,
            };
            if rng.r#gen::<f64>() * peak > now {
                continue;
            }
            let mut pick = rng.r#gen::<f64>() * total;
            let class = shares.iter().position(|w| {
                pick -= w;
                pick < 0.0
            });
            let class = class.unwrap_or(shares.len() - 1);
            let repeatable = s.classes[class].effect == "repeatable";
            let roll: f64 = rng.r#gen();
            let body = if repeatable {
                Body::None
            } else if roll < s.clients.huge_body {
                Body::Huge
            } else if roll < s.clients.huge_body + s.clients.slow_body {
                Body::Slow
            } else {
                Body::Small
            };
            let units = rng.gen_range(p.units[0]..=p.units[1]);
            arrivals.push(Arrival { at_us, customer: n as u32, class: class as u16, units, body });
        }
    }
    arrivals.sort_by_key(|a| (a.at_us, a.customer));
    arrivals
}

/// Idle connections of clients to each gateway. One request at a time travels on a connection; a client opens
/// another once all of its are busy, and drops one left idle long enough that the gateway may be closing it.
pub struct Pools {
    idle: Vec<Mutex<Vec<(Conn, Instant)>>>,
}

/// A connection idle longer is not used again: the gateway may close it at any moment after 2 s.
const IDLE_KEPT: Duration = Duration::from_millis(1500);

impl Pools {
    pub fn new(gateways: usize) -> Pools {
        Pools { idle: (0..gateways).map(|_| Mutex::new(Vec::new())).collect() }
    }

    /// An idle connection that is still open: one that the gateway ended (its process may have gone) is passed
    /// over, as a client that looks before it writes does. A close that crosses the write is still possible.
    fn take(&self, gateway: usize) -> Option<Conn> {
        let mut idle = self.idle[gateway].lock().unwrap_or_else(|e| e.into_inner());
        while let Some((conn, since)) = idle.pop() {
            let mut byte = [0u8; 1];
            let open = matches!(conn.stream.try_read(&mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
            if since.elapsed() < IDLE_KEPT && open {
                return Some(conn);
            }
        }
        None
    }

    fn give(&self, gateway: usize, conn: Conn) {
        if conn.pending() == 0 {
            self.idle[gateway].lock().unwrap_or_else(|e| e.into_inner()).push((conn, Instant::now()));
        }
    }

    /// Drops all idle connections to a gateway, as clients do when it died.
    pub fn forget(&self, gateway: usize) {
        self.idle[gateway].lock().unwrap_or_else(|e| e.into_inner()).clear();
    }
}

/// What all clients share.
pub struct Clients {
    pub scenario: Scenario,
    pub customers: Vec<Customer>,
    pub gateways: Arc<Vec<Gateway>>,
    pub pools: Pools,
    pub clock: Clock,
    pub rec: Arc<Recorder>,
    pub seed: u64,
    pub ids: AtomicU64,
    /// Requests started and not yet ended.
    pub open: AtomicU64,
}

impl Clients {
    /// A gateway of the customer's set that the front sends to now, by the customer's weights.
    fn pick(&self, c: &Customer, rng: &mut StdRng) -> Option<usize> {
        let n = self.gateways.len();
        let now = self.clock.now();
        let notice = (self.scenario.clients.notice_s * 1e6) as u64;
        let sendable = |g: usize| {
            let up = self.gateways[g].up();
            up.healthy || up.died_at.is_some_and(|d| now < d + notice)
        };
        let total = *c.weights.last()?;
        for _ in 0..8 {
            let pick = rng.r#gen::<f64>() * total;
            let k = c.weights.iter().position(|w| pick < *w).unwrap_or(c.weights.len() - 1);
            let g = (c.first as usize + k) % n;
            if sendable(g) {
                return Some(g);
            }
        }
        (0..c.spread as usize).map(|k| (c.first as usize + k) % n).find(|g| sendable(*g))
    }

    /// One request of the schedule, with its client's further tries.
    pub async fn request(self: Arc<Clients>, number: u64, a: Arrival) {
        self.open.fetch_add(1, Ordering::Relaxed);
        let mut rng = StdRng::seed_from_u64(self.seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let c = &self.customers[a.customer as usize];
        let s = &self.scenario;
        for try_no in 0..=s.clients.retries {
            let Some(gateway) = self.pick(c, &mut rng) else {
                tokio::time::sleep(Duration::from_secs_f64(s.clients.backoff_ms / 1000.0)).await;
                continue;
            };
            let row = self.one_try(number, try_no, gateway, a, c).await;
            let (end, retry_after) = (row.end, row.retry_after_ms);
            self.rec.try_ended(row);
            if matches!(end, TryEnd::Served | TryEnd::Rejected | TryEnd::GaveUp) {
                break;
            }
            let wait_ms = if c.at_once {
                0.0
            } else if c.honours {
                retry_after.unwrap_or(s.clients.backoff_ms)
            } else {
                s.clients.backoff_ms
            };
            tokio::time::sleep(Duration::from_secs_f64(wait_ms / 1000.0)).await;
        }
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    async fn one_try(&self, number: u64, try_no: u32, gateway: usize, a: Arrival, c: &Customer) -> TryRow {
        let s = &self.scenario;
        let class = &s.classes[a.class as usize];
        let plan = &s.plans[c.plan];
        let id = format!("{:016x}", (self.seed << 40) ^ self.ids.fetch_add(1, Ordering::Relaxed) ^ (1 << 63));
        let timeout_ms = class.deadline_ms.round() as u64;
        let mut head = vec![
            ("Host", "service.internal".to_string()),
            ("Request-Id", id.clone()),
            ("Request-Class", class.name.clone()),
            ("X-Contract", plan.name.clone()),
            ("X-Client-Id", format!("{:016x}", c.id)),
            ("Request-Timeout", format!("{timeout_ms}m")),
            ("X-Metering", format!("units={},spread={},first={}", a.units, c.spread, c.first)),
        ];
        if try_no > 0 && s.clients.marks_retry {
            head.push(("Client-Retry", "1".to_string()));
        }
        let body = match a.body {
            Body::None => Vec::new(),
            Body::Small | Body::Slow => vec![b'b'; 64],
            Body::Huge => vec![b'h'; s.clients.huge_body_kb * 1024],
        };
        let method = if a.body == Body::None { "GET" } else { "POST" };
        let bytes = http::request(method, &format!("/{}", class.name), &head, &body);
        let mut row = TryRow {
            id,
            request: number,
            try_no,
            customer: c.id,
            plan: c.plan,
            class: a.class as usize,
            units: a.units,
            gateway,
            sent_us: self.clock.now(),
            timeout_us: timeout_ms * 1000,
            end_us: 0,
            status: 0,
            end: TryEnd::NotTaken,
            retry_after_ms: None,
            resent_us: None,
        };
        let addr = self.gateways[gateway].listen;
        let pooled = self.pools.take(gateway);
        let reused = pooled.is_some();
        let mut conn = match pooled {
            Some(conn) => conn,
            None => match connect(addr).await {
                Some(conn) => conn,
                None => {
                    row.end_us = self.clock.now();
                    return row;
                }
            },
        };
        let mut answer = self.send(&mut conn, &bytes, body.len(), a.body, &mut row, c).await;
        if reused && matches!(answer, Sent::EndedBare) {
            // The gateway closed the connection as the request went: once more on a new one, as PROTOCOL says.
            // `sent_us` stays that of the first write; the time of the second is `resent_us`.
            let first = row.sent_us;
            answer = match connect(addr).await {
                Some(fresh) => {
                    conn = fresh;
                    self.send(&mut conn, &bytes, body.len(), a.body, &mut row, c).await
                }
                None => Sent::NotTaken,
            };
            row.resent_us =
                Some(if matches!(answer, Sent::NotTaken) { self.clock.now() } else { row.sent_us });
            row.sent_us = first;
        }
        row.end_us = self.clock.now();
        match answer {
            Sent::NotTaken => {}
            Sent::GaveUp => row.end = TryEnd::GaveUp,
            Sent::EndedBare | Sent::Broken => row.end = TryEnd::Lost,
            Sent::Answer(r) => {
                row.status = r.status;
                row.retry_after_ms =
                    r.header("Retry-After").and_then(|v| v.parse::<f64>().ok()).map(|s| s * 1000.0);
                row.end = match r.status {
                    200 => TryEnd::Served,
                    429 | 503 => TryEnd::Refused,
                    400..=499 => TryEnd::Rejected,
                    _ => TryEnd::Failed,
                };
                let closes = r.header("Connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                if !closes {
                    self.pools.give(gateway, conn);
                }
            }
        }
        row
    }

    /// Writes a request and waits for its answer as the client's patience allows.
    async fn send(
        &self,
        conn: &mut Conn,
        bytes: &[u8],
        body: usize,
        kind: Body,
        row: &mut TryRow,
        c: &Customer,
    ) -> Sent {
        let s = &self.scenario;
        let written = if kind == Body::Slow {
            let cut = bytes.len() - body / 2;
            let first = conn.write(&bytes[..cut]).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            first.and(conn.write(&bytes[cut..]).await)
        } else {
            conn.write(bytes).await
        };
        row.sent_us = self.clock.now();
        if written.is_err() {
            return Sent::NotTaken;
        }
        // The client waits for its part of the deadline, or, where that is all of it, half a second more, so that
        // an answer later than its time is seen as such.
        let part = if c.impatient { s.clients.give_up / 10.0 } else { s.clients.give_up };
        let wait_us = (part * row.timeout_us as f64) as u64 + if part >= 1.0 { 600_000 } else { 0 };
        match tokio::time::timeout(Duration::from_micros(wait_us), conn.read_response()).await {
            Err(_) => Sent::GaveUp,
            Ok(Err(_)) if conn.pending() == 0 => Sent::EndedBare,
            Ok(Err(_)) => Sent::Broken,
            Ok(Ok(r)) => Sent::Answer(r),
        }
    }
}

/// What became of a request written to a connection.
enum Sent {
    NotTaken,
    GaveUp,
    /// The connection ended before any byte of an answer.
    EndedBare,
    /// It ended within an answer, or the answer could not be read.
    Broken,
    Answer(http::Response),
}

async fn connect(addr: std::net::SocketAddr) -> Option<Conn> {
    match tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => Some(Conn::new(stream)),
        _ => None,
    }
}
