//! Who looks on all day: the platform that asks proxies whether they are ready, operators that read the configuration,
//! what each process uses of the processor, and how late the rig's own clock is.

use super::call::{Call, good};
use super::log::{Log, SeenConfiguration, lock};
use super::machines::{Machines, Process};
use super::observed::{ProcessorUse, Readiness};
use super::{MS, SECOND};
use rand::{Rng, SeedableRng, rngs::StdRng};
use settings::scheme::Program;
use simulator::Micros;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;

/// Between two questions whether a proxy is ready.
const READY_EVERY: Duration = Duration::from_secs(1);
/// Between two looks at the processor time of all.
const SAMPLE_EVERY: Duration = Duration::from_millis(500);
const TICK: Duration = Duration::from_millis(20);
/// Pause between two readings of one operator, at least and at most.
const READ_EVERY: (Micros, Micros) = (300 * MS, 1_200 * MS);

pub struct Watcher {
    log: Arc<Log>,
    machines: Arc<Machines>,
    rng: Mutex<StdRng>,
}

impl Watcher {
    pub fn new(log: Arc<Log>, machines: Arc<Machines>, seed: u64) -> Watcher {
        Watcher { log, machines, rng: Mutex::new(StdRng::seed_from_u64(seed)) }
    }

    /// Starts all that look on; they end when `held` is dropped.
    pub fn start(self: &Arc<Self>, readers: usize, held: &mut JoinSet<()>) {
        held.spawn(self.clone().readiness());
        held.spawn(self.clone().processors());
        held.spawn(self.clone().own_lag());
        for _ in 0..readers {
            held.spawn(self.clone().read());
        }
    }

    async fn readiness(self: Arc<Self>) {
        let mut every = tokio::time::interval(READY_EVERY);
        loop {
            every.tick().await;
            let mut asked = JoinSet::new();
            for place in 0..self.machines.processes.len() {
                if self.machines.processes[place].program == Program::Proxy {
                    asked.spawn(self.clone().ask(place));
                }
            }
            while asked.join_next().await.is_some() {}
        }
    }

    async fn ask(self: Arc<Self>, place: usize) {
        let process = &self.machines.processes[place];
        if process.down_for().is_some() {
            return;
        }
        let life = process.life();
        let answer = Call::plain("GET", "/api/readiness").on(self.machines.readiness(process), || {}).await;
        let (at, host, ready) = (self.log.now(), process.host, good(&answer));
        self.log.book().observed.readiness.push(Readiness { at, host, life, ready });
    }

    /// The last that was seen of each life counts.
    async fn processors(self: Arc<Self>) {
        let mut used: BTreeMap<(usize, u64), u64> = BTreeMap::new();
        loop {
            for (place, process) in self.machines.processes.iter().enumerate() {
                if let Some(time) = process.processor_time() {
                    used.insert((place, time.life), time.ms);
                }
            }
            let name = |place: usize| self.machines.processes[place].name.clone();
            let uses = used.iter().map(|((place, life), ms)| ProcessorUse {
                name: name(*place),
                life: *life,
                ms: *ms,
            });
            self.log.book().observed.processors = uses.collect();
            tokio::time::sleep(SAMPLE_EVERY).await;
        }
    }

    async fn own_lag(self: Arc<Self>) {
        loop {
            let before = std::time::Instant::now();
            tokio::time::sleep(TICK).await;
            let late = before.elapsed().saturating_sub(TICK).as_micros() as Micros;
            let mut book = self.log.book();
            book.observed.rig_lag = book.observed.rig_lag.max(late);
        }
    }

    async fn read(self: Arc<Self>) {
        loop {
            let (core, pause) = {
                let mut rng = lock(&self.rng);
                (rng.gen_range(0..self.machines.cores()), rng.gen_range(READ_EVERY.0..READ_EVERY.1))
            };
            let from = self.log.now();
            let call = Call::plain("GET", "/api/configuration");
            let answer = call.on(self.machines.control(core), || {}).await;
            let until = self.log.now();
            let text = match answer {
                Some(a) if a.status == 200 => Some(Some(String::from_utf8_lossy(&a.body).into_owned())),
                Some(a) if a.status == 404 => Some(None),
                _ => None,
            };
            if let Some(text) = text {
                self.log.book().looks.push(SeenConfiguration { from, until, text });
            }
            tokio::time::sleep(Duration::from_micros(pause)).await;
        }
    }
}

/// The proxies that run now.
pub fn running_proxies(machines: &Machines) -> impl Iterator<Item = &Process> {
    let proxies = machines.processes.iter().filter(|p| p.program == Program::Proxy);
    proxies.filter(|p| p.down_for().is_none())
}

/// For what a change that was acknowledged binds from then on.
pub fn once_applied(config_apply: Micros) -> Duration {
    Duration::from_micros(config_apply + SECOND / 10)
}
