//! One run: servers, discovery and gateways up, the load and the faults played on their schedule, everything
//! ended, the record written and judged.

use crate::discovery::{Agent, List, Member};
use crate::fleet::{self, Clock, Meter, Server, Shared, draw};
use crate::gateways::{self, Gateway, Program};
use crate::load::{self, Clients, Pools};
use crate::record::{FaultRow, Record, Recorder};
use crate::rules::{self, CeilingRule, ClassRule, RuleSet, Verdict};
use crate::scenario::{Fault, FaultKind, Scenario};
use nix::sys::resource::UsageWho;
use rand::{SeedableRng, rngs::StdRng};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;

/// What a run is told besides its scenario.
#[derive(Clone, Debug)]
pub struct Options {
    pub program: Program,
    pub out: PathBuf,
    /// Replaces the scenario's seed.
    pub seed: Option<u64>,
}

/// What a run leaves: its record, the verdict of the rules, and its processor time.
pub struct Outcome {
    pub record: Record,
    pub verdict: Verdict,
    pub cpu: Cpu,
    pub scenario: Scenario,
    /// When the load began and ended, on the record's clock.
    pub load_us: (u64, u64),
}

/// Processor seconds of the lab itself and of the gateways (those that ended).
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Cpu {
    pub lab_s: f64,
    pub gateways_s: f64,
}

fn cpu_of(who: UsageWho) -> f64 {
    nix::sys::resource::getrusage(who).map_or(0.0, |u| {
        let t = |tv: nix::sys::time::TimeVal| tv.tv_sec() as f64 + tv.tv_usec() as f64 / 1e6;
        t(u.user_time()) + t(u.system_time())
    })
}

/// The rules of a scenario.
pub fn rule_set(s: &Scenario) -> RuleSet {
    let classes = s
        .classes
        .iter()
        .map(|c| match c.effect.as_str() {
            "once" => ClassRule::Once,
            "by_key" => {
                ClassRule::ByKey { window_us: (c.window_ms * 1000.0) as u64, by_zone: c.group == "zone" }
            }
            _ => ClassRule::Repeatable,
        })
        .collect();
    let plans = s
        .plans
        .iter()
        .map(|p| CeilingRule {
            rate: p.ceiling_rate,
            burst: p.ceiling_burst,
            slack: (0.1 * p.ceiling_burst).max(f64::from(p.units[1])),
        })
        .collect();
    RuleSet {
        classes,
        plans,
        slack_us: 50_000,
        drain_grace_us: 500_000,
        cold_us: (s.servers.cold_s * 1e6) as u64,
        cold_from: s.servers.cold_from,
        fall_multiple: s.servers.fall_multiple,
        fall_us: (s.servers.fall_ms * 1000.0) as u64,
    }
}

/// Everything a run holds while it goes.
struct World {
    s: Scenario,
    clock: Clock,
    rec: Arc<Recorder>,
    shared: Arc<Shared>,
    servers: Mutex<Vec<Arc<Server>>>,
    list: Arc<List>,
    agents: Mutex<Vec<Arc<Agent>>>,
    gateways: Arc<Vec<Gateway>>,
    clients: Mutex<Option<Arc<Clients>>>,
    program: Program,
    load_start: AtomicU64,
}

fn member(clock: &Clock, server: &Server, state: &str) -> Member {
    let started = server.started_us();
    Member {
        id: server.name.clone(),
        addr: server.addr.to_string(),
        zone: server.zone.clone(),
        kind: "m".into(),
        cell: 0,
        state: state.into(),
        weight: 1.0,
        started_ms: if started == 0 { 0 } else { clock.unix_ms(started) },
    }
}

impl World {
    fn servers(&self) -> Vec<Arc<Server>> {
        self.servers.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }

    fn fault_row(&self, f: &Fault, target: String) {
        let at_us = self.clock.now();
        let until_us = if f.for_s > 0.0 { at_us + (f.for_s * 1e6) as u64 } else { u64::MAX };
        self.rec.fault(FaultRow { at_us, kind: format!("{:?}", f.kind), target, until_us });
    }

    /// Servers in service now: alive and on the list as ready.
    fn serving(&self) -> Vec<Arc<Server>> {
        let (_, _, list) = self.list.newest();
        self.servers().into_iter().filter(|s| list.get(&s.num).is_some_and(|m| m.state == "Ready")).collect()
    }

    /// Discovery names the server in this state from now on.
    fn list_as(&self, server: &Server, state: &str) {
        let member = member(&self.clock, server, state);
        self.list.change(|l| drop(l.insert(server.num, member)));
    }

    /// Clients drop their idle connections to a gateway that ended.
    fn clients_forget(&self, gateway: usize) {
        if let Some(c) = self.clients.lock().unwrap_or_else(|e| e.into_inner()).as_ref() {
            c.pools.forget(gateway);
        }
    }

    async fn new_server(&self, zone: String) -> Result<Arc<Server>, String> {
        let num = self.servers().len();
        let name = format!("s-{num:04}");
        let server = fleet::start(self.shared.clone(), num, name, zone, self.s.servers.clone(), true)
            .await
            .map_err(|e| format!("cannot start a server: {e}"))?;
        self.servers.lock().unwrap_or_else(|e| e.into_inner()).push(server.clone());
        Ok(server)
    }

    async fn fault(self: Arc<World>, f: Fault, n: usize) {
        let mut rng = StdRng::seed_from_u64(self.s.seed ^ (n as u64 + 1).wrapping_mul(0x2545_f491_4f6c_dd1d));
        let start = self.load_start.load(Ordering::Relaxed);
        self.clock.until(start + (f.at_s * 1e6) as u64).await;
        let for_us = (f.for_s * 1e6) as u64;
        let pick_servers = |rng: &mut StdRng, pool: &[Arc<Server>]| -> Vec<Arc<Server>> {
            draw_share(rng, pool.len(), f.share).into_iter().map(|k| pool[k].clone()).collect()
        };
        let names =
            |servers: &[Arc<Server>]| servers.iter().map(|s| s.num.to_string()).collect::<Vec<_>>().join(" ");
        match f.kind {
            FaultKind::Slow
            | FaultKind::FailFast
            | FaultKind::Silent
            | FaultKind::Reset
            | FaultKind::Spoil => {
                let taken = pick_servers(&mut rng, &self.serving());
                self.fault_row(&f, names(&taken));
                let set = |s: &Server, on: bool| {
                    s.set_faults(|x| match f.kind {
                        FaultKind::Slow => x.slow = if on { f.factor } else { 0.0 },
                        FaultKind::FailFast => x.fail_fast = on,
                        FaultKind::Silent => x.silent = on,
                        FaultKind::Reset => x.reset = on,
                        _ => x.spoil = on,
                    })
                };
                taken.iter().for_each(|s| set(s, true));
                if for_us > 0 {
                    tokio::time::sleep(Duration::from_micros(for_us)).await;
                    taken.iter().for_each(|s| set(s, false));
                }
            }
            FaultKind::ZoneCut => {
                let zone = self.s.zone_of(&f);
                let taken: Vec<_> = self.serving().into_iter().filter(|s| s.zone == zone).collect();
                self.fault_row(&f, format!("zone {zone}: {}", names(&taken)));
                taken.iter().for_each(|s| s.set_faults(|x| x.silent = true));
                if for_us > 0 {
                    tokio::time::sleep(Duration::from_micros(for_us)).await;
                    taken.iter().for_each(|s| s.set_faults(|x| x.silent = false));
                }
            }
            FaultKind::ZoneLost => {
                let zone = self.s.zone_of(&f);
                let taken: Vec<_> = self.serving().into_iter().filter(|s| s.zone == zone).collect();
                self.fault_row(&f, format!("zone {zone}: {}", names(&taken)));
                taken.iter().for_each(|s| s.kill());
                if for_us > 0 {
                    tokio::time::sleep(Duration::from_micros(for_us)).await;
                    for s in &taken {
                        if fleet::revive(self.shared.clone(), s.clone()).await.is_ok() {
                            self.list_as(s, "Ready");
                        }
                    }
                }
            }
            FaultKind::Replace | FaultKind::Drain => {
                let taken = pick_servers(&mut rng, &self.serving());
                self.fault_row(&f, names(&taken));
                let step = for_us / taken.len().max(1) as u64;
                for old in taken {
                    old.set_draining(true);
                    self.list_as(&old, "Terminating");
                    if f.kind == FaultKind::Replace {
                        if let Ok(new) = self.new_server(old.zone.clone()).await {
                            self.list_as(&new, "Ready");
                        }
                        let (world, old) = (self.clone(), old.clone());
                        tokio::spawn(async move {
                            tokio::time::sleep(Duration::from_secs(2)).await;
                            world.list.change(|l| {
                                l.remove(&old.num);
                            });
                            old.kill();
                        });
                    }
                    tokio::time::sleep(Duration::from_micros(step)).await;
                }
            }
            FaultKind::ListFlap | FaultKind::ListShrink => {
                let taken = pick_servers(&mut rng, &self.serving());
                self.fault_row(&f, names(&taken));
                let until = self.clock.now() + for_us.max(1_000_000);
                let mut away = false;
                loop {
                    away = !away;
                    let entries: Vec<(usize, Member)> =
                        taken.iter().map(|s| (s.num, member(&self.clock, s, "Ready"))).collect();
                    self.list.change(|l| {
                        for (num, m) in entries {
                            if away {
                                l.remove(&num);
                            } else {
                                l.insert(num, m);
                            }
                        }
                    });
                    if !away && self.clock.now() >= until {
                        break;
                    }
                    let wait = if f.kind == FaultKind::ListFlap {
                        1_000_000
                    } else {
                        until.saturating_sub(self.clock.now())
                    };
                    tokio::time::sleep(Duration::from_micros(wait.max(1000))).await;
                }
            }
            FaultKind::ListLate | FaultKind::ListStale => {
                let agents = self.agents.lock().unwrap_or_else(|e| e.into_inner()).clone();
                let drawn = draw_share(&mut rng, agents.len(), f.share);
                self.fault_row(&f, gateway_names(&drawn));
                let taken: Vec<Arc<Agent>> = drawn.into_iter().map(|k| agents[k].clone()).collect();
                let (version, _, _) = self.list.newest();
                let before: Vec<_> = taken.iter().map(|a| a.mood()).collect();
                for a in &taken {
                    a.set_mood(|m| match f.kind {
                        FaultKind::ListLate => m.delay_us += (f.factor * 1e6) as u64,
                        _ => m.frozen_at = Some(version),
                    });
                }
                if for_us > 0 {
                    tokio::time::sleep(Duration::from_micros(for_us)).await;
                    for (a, mood) in taken.iter().zip(before) {
                        a.set_mood(|m| *m = mood);
                    }
                }
            }
            FaultKind::Kill => {
                let taken = draw_share(&mut rng, self.gateways.len(), f.share);
                self.fault_row(&f, gateway_names(&taken));
                let step = for_us / taken.len().max(1) as u64;
                for g in taken {
                    self.gateways[g].kill(&self.clock, &self.rec);
                    self.clients_forget(g);
                    if f.restart_s > 0.0 {
                        let world = self.clone();
                        let wait = Duration::from_secs_f64(f.restart_s);
                        tokio::spawn(async move {
                            tokio::time::sleep(wait).await;
                            world.start_gateway(g).await;
                        });
                    }
                    tokio::time::sleep(Duration::from_micros(step)).await;
                }
            }
            FaultKind::RestartAll => {
                self.fault_row(&f, "all".into());
                let n = self.gateways.len();
                let tenth = n.div_ceil(10).max(1);
                let step = for_us / n.div_ceil(tenth).max(1) as u64;
                for first in (0..n).step_by(tenth) {
                    let at = self.clock.now();
                    let group = first..(first + tenth).min(n);
                    let mut restarts: JoinSet<()> = group
                        .map(|g| {
                            let world = self.clone();
                            async move {
                                let gateway = &world.gateways[g];
                                gateway.terminate(&world.clock, &world.rec, Duration::from_secs(8)).await;
                                world.clients_forget(g);
                                world.start_gateway(g).await;
                            }
                        })
                        .collect();
                    while restarts.join_next().await.is_some() {}
                    self.clock.until(at + step).await;
                }
            }
            FaultKind::Reload => {
                self.fault_row(&f, "all".into());
                let delay = (self.s.discovery.delay_ms * 1000.0) as u64;
                for g in self.gateways.iter() {
                    let Ok(agent) = Agent::start(g.index, self.list.clone(), delay).await else { continue };
                    self.agents.lock().unwrap_or_else(|e| e.into_inner())[g.index] = agent.clone();
                    let addr = agent.addr.to_string();
                    let _ = g.reload(|c| c["discovery"] = serde_json::Value::String(addr));
                }
            }
        }
    }

    async fn start_gateway(&self, g: usize) {
        let gateway = &self.gateways[g];
        if gateway.start(&self.program, &self.clock, &self.rec).is_ok()
            && gateways::wait_healthy(gateway.listen, Duration::from_secs(30)).await
        {
            gateway.healthy();
        }
    }
}

/// Draws this share of so many, one at the least.
fn draw_share(rng: &mut StdRng, of: usize, share: f64) -> Vec<usize> {
    draw(rng, of, ((share * of as f64).round() as usize).max(1))
}

fn gateway_names(gateways: &[usize]) -> String {
    gateways.iter().map(|g| format!("n{g}")).collect::<Vec<_>>().join(" ")
}

/// Plays a scenario and writes its record into `options.out`.
pub async fn run(mut s: Scenario, options: &Options) -> Result<Outcome, String> {
    if let Some(seed) = options.seed {
        s.seed = seed;
    }
    std::fs::create_dir_all(&options.out).map_err(|e| format!("{}: {e}", options.out.display()))?;
    // Processor time is counted from here: a process that plays several runs adds them up.
    let (lab0, gateways0) = (cpu_of(UsageWho::RUSAGE_SELF), cpu_of(UsageWho::RUSAGE_CHILDREN));
    let clock = Clock::start();
    let rec = Arc::new(Recorder::default());
    let rates = s.plans.iter().map(|p| (p.name.clone(), p.rate)).collect();
    let meter = Meter::new(s.meter.on, s.meter.period_ms, s.meter.late_ms);
    let shared = Arc::new(Shared { clock, rec: rec.clone(), meter, rates, seed: s.seed });
    let mut servers = Vec::new();
    let mut first = BTreeMap::new();
    for n in 0..s.servers.count {
        let zone = s.servers.zones[n % s.servers.zones.len()].clone();
        let name = format!("s-{n:04}");
        let server = fleet::start(shared.clone(), n, name, zone, s.servers.clone(), false)
            .await
            .map_err(|e| format!("cannot start server {n}: {e}"))?;
        first.insert(n, member(&clock, &server, "Ready"));
        servers.push(server);
    }
    let list = List::new(clock, rec.clone(), first.clone());
    let delay = (s.discovery.delay_ms * 1000.0) as u64;
    let mut agents = Vec::new();
    let mut gateways = Vec::new();
    for g in 0..s.gateways {
        let agent = Agent::start(g, list.clone(), delay)
            .await
            .map_err(|e| format!("no agent for gateway {g}: {e}"))?;
        gateways.push(Gateway::new(
            &s,
            g,
            &options.out,
            agent.addr,
            (1, &first),
            s.seed ^ (g as u64 + 1) << 32,
        )?);
        agents.push(agent);
    }
    let gateways = Arc::new(gateways);
    let world = Arc::new(World {
        s: s.clone(),
        clock,
        rec: rec.clone(),
        shared: shared.clone(),
        servers: Mutex::new(servers),
        list,
        agents: Mutex::new(agents),
        gateways: gateways.clone(),
        clients: Mutex::new(None),
        program: options.program.clone(),
        load_start: AtomicU64::new(0),
    });
    for g in gateways.iter() {
        g.start(&options.program, &clock, &rec)?;
    }
    for g in gateways.iter() {
        if !gateways::wait_healthy(g.listen, Duration::from_secs(30)).await {
            return Err(format!(
                "gateway {} did not answer its health check within 30 s (see n{}.log)",
                g.index, g.index
            ));
        }
        g.healthy();
    }
    let mut rng = StdRng::seed_from_u64(s.seed);
    let customers = load::customers(&s, &mut rng);
    let arrivals = load::schedule(&s, &customers, &mut rng);
    let clients = Arc::new(Clients {
        scenario: s.clone(),
        customers,
        gateways: gateways.clone(),
        pools: Pools::new(s.gateways),
        clock,
        rec: rec.clone(),
        seed: s.seed,
        ids: AtomicU64::new(0),
        open: AtomicU64::new(0),
    });
    *world.clients.lock().unwrap_or_else(|e| e.into_inner()) = Some(clients.clone());
    let start = clock.now();
    world.load_start.store(start, Ordering::Relaxed);
    let end = start + (s.duration_s * 1e6) as u64;
    for (n, f) in s.faults.iter().enumerate() {
        tokio::spawn(world.clone().fault(f.clone(), n));
    }
    tokio::spawn(gateways::sample(gateways.clone(), clock, rec.clone(), Duration::from_millis(500), end));
    let watch = {
        let (gateways, rec) = (gateways.clone(), rec.clone());
        tokio::spawn(async move {
            while clock.now() < end {
                for g in gateways.iter() {
                    g.exited(&clock, &rec);
                }
                shared.meter.forget_idle(clock.now());
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        })
    };
    for (n, a) in arrivals.into_iter().enumerate() {
        clock.until(start + a.at_us).await;
        tokio::spawn(clients.clone().request(n as u64, a));
    }
    clock.until(end).await;
    let _ = watch.await;
    // What is still asked gets its time: the longest deadline and the tries after it.
    let longest = s.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let grace = Duration::from_secs_f64(longest / 1000.0 * f64::from(s.clients.retries + 1) + 2.0);
    let _ = tokio::time::timeout(grace, async {
        while clients.open.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    })
    .await;
    let load_end = clock.now();
    for g in gateways.iter() {
        g.terminate(&clock, &rec, Duration::from_secs(5)).await;
    }
    for server in world.servers() {
        server.kill();
    }
    let record = rec.finish();
    record.write(&options.out)?;
    let verdict = rules::check(&rule_set(&s), &record);
    let cpu = Cpu {
        lab_s: cpu_of(UsageWho::RUSAGE_SELF) - lab0,
        gateways_s: cpu_of(UsageWho::RUSAGE_CHILDREN) - gateways0,
    };
    std::fs::write(options.out.join("scenario.toml"), toml::to_string(&s).unwrap_or_default())
        .map_err(|e| format!("{}: {e}", options.out.display()))?;
    Ok(Outcome { record, verdict, cpu, scenario: s, load_us: (start, load_end) })
}

/// Reads a record written by a run and its scenario, and judges it again.
pub fn check_again(dir: &Path) -> Result<(Scenario, Record, Verdict), String> {
    let s = Scenario::load(&dir.join("scenario.toml"))?;
    let record = Record::read(dir)?;
    let verdict = rules::check(&rule_set(&s), &record);
    Ok((s, record, verdict))
}
