//! Stand-in servers that make themselves known: each calls the registries as the protocol has it, works on a few
//! requests at a time, seals its answers with the name of the try, and puts down everything that reaches it.

mod requests;

use self::requests::serve;
use super::call::{Call, good};
use super::log::{Log, lock};
use super::machines::Machines;
use super::rollouts::{PlannedRollout, Quality, server_prefix};
use super::{MS, SECOND, all};
use rand::{Rng, SeedableRng, rngs::StdRng};
use simulator::Micros;
use simulator::record::{Cold, Leave};
use simulator::scenario::Scenario;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};

const SLOTS: usize = 3;
const FIRST_PORT: u16 = 8080;
/// The version of all servers that run from the beginning.
const FIRST_VERSION: &str = "v1";
/// Servers of a new version start within so long of each other.
const START_SPREAD: Micros = 500 * MS;
/// Servers share this many addresses and differ by port.
const ADDRESSES: usize = 3;
/// For what was acknowledged to reach the proxies in touch.
const NEWS: Micros = 300 * MS;
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
