//! Days of the whole system with real processes: `curlewfront-config-store`, `-registry` and `-proxy` as child processes on
//! addresses of 127.0.0.0/8; servers, clients and an operator in this process; what they saw, judged by the same judge
//! as days on simulated time. `docs/lab/system.md` says how it is used, and what it cannot play.

mod call;
mod clients;
mod connections;
pub mod handlers;
pub mod log;
pub mod machines;
pub mod observed;
mod operator;
mod play;
mod rollout_play;
pub mod rollout_rules;
pub mod rollouts;
pub mod rules;
mod servers;
pub mod table;
mod watcher;

use clients::Clients;
use jzon::JsonValue;
use log::Log;
use machines::{Block, Machines};
use observed::Observed;
use operator::Operator;
use play::{Armed, Player};
use rollout_play::RolloutPlayer;
use rollouts::{PlannedRollout, Script};
use servers::Servers;
use settings::Scheme;
use simulator::hunt::unmet;
use simulator::judge::{Breach, judge};
use simulator::plan::{Plan, Wish};
use simulator::record::{Bounds, Record};
use simulator::scenario::Scenario;
use simulator::{MS, Micros, SECOND};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;
use tokio::task::JoinSet;
use watcher::Watcher;

/// Traffic begins at this second of the scenario's day, and ends so long before it.
const TRAFFIC: Micros = 8 * SECOND;
const QUIET: Micros = 4 * SECOND;
/// For the system to be ready for traffic.
const START: Duration = Duration::from_secs(60);
/// For what is under way at the end of a day.
const LAST: Duration = Duration::from_secs(20);
const MOST_SERVERS: usize = 1200;

pub struct Options {
    /// Settings, logs, the stores' folders and the results.
    pub out: PathBuf,
    /// Where the three programs are.
    pub bin: PathBuf,
    pub seed: u64,
    /// Tells on standard output what is done as it is done.
    pub loud: bool,
    /// Processes write each line of their logs at once.
    pub verbose: bool,
}

pub struct Day {
    pub record: Record,
    pub breaches: Vec<Breach>,
    /// What was expected and did not come about, broken rules among it.
    pub unmet: Vec<String>,
    pub own_ends: Vec<String>,
    /// Rollouts that were not over as they should have been by their term.
    pub missed_duties: Vec<String>,
    pub notes: Vec<(Micros, String)>,
    pub observed: Observed,
}

/// The bounds of the rules as a settings file has them: what is judged is what the programs were told.
fn told(b: &Bounds) -> JsonValue {
    let mut out = settings::scheme::usual_bounds();
    let ms = |t: Micros| JsonValue::from(t / MS);
    let s = |t: Micros| JsonValue::from(t as f64 / 1e6);
    out["contact_ms"] = ms(b.contact);
    out["ack_limit_ms"] = ms(b.ack_limit);
    out["drain_limit_ms"] = ms(b.drain_limit);
    out["loss_slack_ms"] = ms(b.loss_slack);
    out["config_apply_ms"] = ms(b.config_apply);
    out["revert_slack_ms"] = ms(b.revert_slack);
    out["evacuation_ms"] = ms(b.evacuation);
    out["grace_period_s"] = s(b.grace);
    out["recovery_s"] = s(b.recovery);
    out["retry_window_s"] = s(b.retry_window);
    out["quota_period_s"] = s(b.quota_period);
    out["reuse_delay_s"] = s(b.reuse_delay);
    out["sync_time_s"] = s(b.sync);
    out["retry_ratio"] = b.retry_ratio.into();
    out["retry_slack"] = b.retry_slack.into();
    out["quota_excess"] = b.quota_excess.into();
    out["quota_margin"] = b.quota_margin.into();
    out["cold_excess"] = b.cold_excess.into();
    out["cold_margin"] = b.cold_margin.into();
    out["ttl_max_s"] = b.ttl_s.into();
    out["exposure_share"] = rollout_rules::EXPOSURE_SHARE.into();
    out["exposure_margin"] = rollout_rules::EXPOSURE_MARGIN.into();
    out["revert_limit_ms"] = ms(rollout_rules::REVERT_LIMIT);
    out
}

fn scheme(s: &Scenario, bounds: &Bounds, block: [u8; 2], data: &str) -> Result<Scheme, String> {
    let scheme = Scheme::loopback(block, s.cores.len(), s.edges, &s.zones, data);
    let mut scheme = scheme.map_err(|e| e.to_string())?;
    for (machine, zone) in scheme.core.iter_mut().zip(&s.cores) {
        machine.zone = zone.clone();
    }
    scheme.bounds = told(bounds);
    Ok(scheme)
}

/// Plays a day. All that it started has ended when this returns.
pub async fn run(script: &Script, options: &Options) -> Result<Day, String> {
    let s = &script.scenario;
    let zones: Vec<String> = s.zones.iter().map(|z| z.0.clone()).collect();
    play::fits(s, &zones)?;
    let of_service = |name: &str| s.servers.iter().filter(|x| x.0 == name).map(|x| x.1).sum::<usize>();
    let first: usize = s.servers.iter().map(|x| x.1).sum();
    let places = first + script.rollouts.iter().map(|r| of_service(&r.service)).sum::<usize>();
    if places > MOST_SERVERS || s.ends <= TRAFFIC + QUIET {
        return Err(format!("a day has up to {MOST_SERVERS} servers and more than 12 seconds"));
    }
    let dir = &options.out;
    let data = dir.join("data");
    // A store that finds an older day's disk would not found a core.
    if data.exists() {
        std::fs::remove_dir_all(&data).map_err(|e| format!("{}: {e}", data.display()))?;
    }
    std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let dir = dir.canonicalize().map_err(|e| format!("{}: {e}", dir.display()))?;
    let (bounds, block) = (s.bounds.clone(), Block::take()?);
    let scheme = scheme(s, &bounds, block.parts, &dir.join("data").to_string_lossy())?;
    let cores = scheme.core.len();
    let machines = Arc::new(Machines::new(scheme, block, &dir, &options.bin, options.verbose)?);
    let log = Arc::new(Log::new(options.loud));
    let day = Playing {
        s,
        rollouts: &script.rollouts,
        log: log.clone(),
        machines: machines.clone(),
        bounds: bounds.clone(),
        seed: options.seed,
    };
    let played = day.play().await;
    // In order where there is time for it, and in any case: each process is killed when the machines are dropped.
    machines.stop(&log, Duration::from_micros(bounds.grace)).await;
    played?;
    let book = std::mem::take(&mut *log.book());
    let (own_ends, notes) = (book.own_ends.clone(), book.notes.clone());
    let (observed, hangups) = (book.observed.clone(), book.hangups.clone());
    let (record, unasked) = log::close(book, bounds, cores, s.ends);
    let mut breaches = judge(&record);
    breaches.extend(unasked);
    breaches.extend(rules::judge(&record, &observed, &hangups));
    let of_rollouts = rollout_rules::judge(&record, &observed);
    breaches.extend(of_rollouts.breaches);
    let missed_duties = of_rollouts.missed_duties;
    let mut unmet = unmet(s, &record, &breaches);
    unmet.extend(own_ends.iter().map(|name| format!("{name} ended by itself")));
    Ok(Day { record, breaches, unmet, own_ends, missed_duties, notes, observed })
}

struct Playing<'a> {
    s: &'a Scenario,
    rollouts: &'a [PlannedRollout],
    log: Arc<Log>,
    machines: Arc<Machines>,
    bounds: Bounds,
    seed: u64,
}

impl Playing<'_> {
    async fn play(&self) -> Result<(), String> {
        let (s, log, machines) = (self.s, &self.log, &self.machines);
        let (send, mut fired) = tokio::sync::mpsc::unbounded_channel();
        let armed = Arc::new(Armed::new(send));
        let limit = self.bounds.drain_limit;
        let servers =
            Arc::new(Servers::new(s, self.rollouts, log.clone(), machines.clone(), limit, self.seed));
        let plan = Plan::of(s);
        let clients = Clients::new(s, &plan, log.clone(), machines.clone(), self.seed ^ 1);
        let clients = Arc::new(clients);
        let operator = Operator::new(plan, log.clone(), machines.clone(), armed.clone(), s, self.seed ^ 2);
        let operator = Arc::new(operator);
        machines.start_all()?;
        log.note(format!("{} processes started in {}", machines.processes.len(), machines.dir.display()));
        // Dropped at the end of the day, with all that is still under way.
        let mut held = JoinSet::new();
        let (watched, watching) = (machines.clone(), log.clone());
        held.spawn(async move { watched.watch(&watching).await });
        for n in 0..servers.places.len() {
            servers.start(n, None, false).await;
        }
        let ready = async {
            operator.wish(Wish::First, false).await;
            while machines.ready().await < s.edges {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        let timely = tokio::time::timeout(START, ready).await;
        timely.map_err(|_| {
            format!("not ready within {START:?}; the programs' logs are in {}", machines.dir.display())
        })?;
        log.ready();
        log.note(format!("all {} proxies are ready: traffic begins", s.edges));
        let grace = Duration::from_micros(self.bounds.grace);
        let player = Arc::new(Player {
            log: log.clone(),
            machines: machines.clone(),
            servers: servers.clone(),
            clients: clients.clone(),
            operator: operator.clone(),
            armed,
            grace,
            config_apply: self.bounds.config_apply,
            probes: s.probes,
            hangups: AtomicUsize::new(1),
        });
        if s.probes {
            Arc::new(Watcher::new(log.clone(), machines.clone(), self.seed ^ 3)).start(s.readers, &mut held);
        }
        let mut open = JoinSet::new();
        open.spawn(clients.traffic(operator.plan.clone(), s.ends - QUIET));
        for (at, what) in s.events.clone() {
            let player = player.clone();
            open.spawn(async move {
                player.log.until(at).await;
                player.act(what).await;
            });
        }
        for of_service in by_service(self.rollouts) {
            let (log, servers, operator) = (log.clone(), servers.clone(), operator.clone());
            open.spawn(Arc::new(RolloutPlayer { log, servers, operator, ends: s.ends }).play(of_service));
        }
        let (reader, reads_from) = (operator.clone(), s.ends.saturating_sub(self.bounds.contact));
        let reading = log.clone();
        open.spawn(async move {
            reading.until(reads_from).await;
            reader.read_back().await;
        });
        let rest = Duration::from_micros(s.ends.saturating_sub(log.now())) + LAST;
        let all = async {
            let mut ended = false;
            while !ended {
                tokio::select! {
                    Some(what) = fired.recv() => {
                        open.spawn(player.clone().act(what));
                    }
                    done = open.join_next() => match done {
                        None => ended = true,
                        Some(Err(e)) if e.is_panic() => return Err(format!("a part of the rig failed: {e}")),
                        Some(_) => {}
                    }
                }
            }
            Ok(())
        };
        let ended = tokio::time::timeout(rest, all).await;
        servers.end_all();
        ended.map_err(|_| "something that was done did not come to its end".to_string())?
    }
}

fn by_service(rollouts: &[PlannedRollout]) -> Vec<Vec<PlannedRollout>> {
    let mut services: BTreeMap<&str, Vec<PlannedRollout>> = BTreeMap::new();
    for rollout in rollouts {
        services.entry(&rollout.service).or_default().push(rollout.clone());
    }
    services.into_values().collect()
}

/// All at once, to the end of the last.
async fn all<F: Future<Output = ()>>(work: impl Iterator<Item = F>) {
    let mut open: Vec<_> = work.map(Box::pin).collect();
    std::future::poll_fn(|cx| {
        open.retain_mut(|f| f.as_mut().poll(cx).is_pending());
        if open.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
    .await;
}
