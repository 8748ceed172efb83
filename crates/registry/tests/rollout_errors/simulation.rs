//! A rollout on simulated time: clients, servers of two versions, proxies that send requests and report tallies, and
//! the verdict. No sockets, no clock; the same seed gives the same run.

use cluster::rollout::{Answers, Order, Rollout, RouteTally, Stage, Tally};
use fastrand::Rng;
use registry::rollouts::{Evaluation, Tallies};
use std::net::Ipv4Addr;

/// Times are in ticks of this many microseconds, unless their names say otherwise.
pub const TICK_US: u64 = 10_000;
const TICKS_PER_SECOND: usize = 100;
/// Numbers of proxies, of servers of each version, and of new servers on trial.
const PROXIES: usize = 85;
const SERVERS: usize = 157;
const TRIAL_SERVERS: usize = 16;
/// Concurrent requests per server.
const SLOTS: u8 = 3;
/// How long new servers are cold; they take twice as long then.
const COLD_TICKS: usize = 3 * TICKS_PER_SECOND;
/// Between two tallies of a proxy, and between two evaluations by the registry.
const TALLY_INTERVAL_TICKS: usize = 26;
const ROUND_TICKS: usize = 33;
const TIMEOUT_TICKS: usize = 4 * TICKS_PER_SECOND;
const MEAN_WORK_S: f64 = 0.22;
/// The standard deviation of the logarithm of the work.
const WORK_SIGMA: f64 = 0.5;
/// The part of requests that go to the new version during the trial.
const TRIAL_SHARE: f64 = 0.08;
/// The most trial requests that a proxy may be behind its share.
const MAX_CREDIT: f64 = 2.0;
/// The tick of the order; the rollout starts with it.
const ORDER_TICK: usize = TICKS_PER_SECOND;

/// What is wrong with the answers of a bad version.
#[derive(Clone, Copy, Debug)]
pub enum Defect {
    Errors,
    /// Slower by this factor.
    Slow(f64),
}

/// When they are wrong.
#[derive(Clone, Copy, Debug)]
pub enum When {
    AtOnce,
    /// From this many seconds after the order on.
    Late(f64),
    /// When a server has this many requests in flight, the new one included.
    AtLoad(u8),
    /// Once the version gets more than the trial's share of requests.
    FromPartial,
    OnRareRoute,
}

#[derive(Clone, Copy, Debug)]
pub struct BadVersion {
    pub share: f64,
    pub bad: Defect,
    pub when: When,
}

/// Faults that have nothing to do with the version.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disturbance {
    /// The part of their answers that some servers garble or lose, and the part of the servers that do, from a number
    /// of seconds after the order on.
    pub garbled: (f64, f64),
    pub garbled_from_s: f64,
    /// The part of the servers that are slower, and the factor.
    pub slow: (f64, f64),
    /// The part of the servers that fail half of their requests.
    pub half_failing: f64,
    /// The part of the proxies that stop four seconds after the order and restart a second later.
    pub killed: f64,
    /// The part of the proxies that serve but whose tallies do not arrive.
    pub not_reporting: f64,
    /// How often a failed request is retried, at least once.
    pub retry_storm: usize,
    /// The time of a change of leader, in seconds after the order; 0: none. No decision is made for two seconds after
    /// it, and then by a registry that has just started.
    pub leader_lost_s: f64,
}

#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub rate: f64,
    pub rare_rate: f64,
    pub term_s: usize,
    /// The part of the new servers that serve at the partial stage.
    pub partial: f64,
    /// Whether the trial's share goes to requests of rare routes first.
    pub rare_first: bool,
    pub version: Option<BadVersion>,
    pub disturbance: Disturbance,
}

impl Scenario {
    pub fn usual() -> Scenario {
        Scenario {
            rate: 906.0,
            rare_rate: 10.0,
            term_s: 14,
            partial: 0.25,
            rare_first: true,
            version: None,
            disturbance: Disturbance::default(),
        }
    }
}

/// The result of a simulated rollout.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub stage: Stage,
    /// Seconds from the order to the end of the rollout.
    pub over_s: Option<f64>,
    /// Requests to the service and to its new version, from the order to the term.
    pub all: usize,
    pub new: usize,
    /// Requests to the new version that were sent later than the settings allow after its 50th bad answer.
    pub after_limit: usize,
    pub reason: String,
}

/// A bad version may get this part of all requests, plus a number of requests.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_MARGIN: f64 = 50.0;
/// A version must be reverted within this time after this many bad answers.
const REVERT_LIMIT_TICKS: usize = 5 * TICKS_PER_SECOND;
const MIN_BAD_ANSWERS: usize = 50;

impl Outcome {
    /// The requests of the new version as a part of what a bad version may get.
    pub fn exposure(&self) -> f64 {
        self.new as f64 / (EXPOSURE_SHARE * self.all as f64 + EXPOSURE_MARGIN)
    }
}

#[derive(Clone, Copy)]
struct Server {
    new: bool,
    factor: f64,
    half_failing: bool,
    garbled: bool,
    in_flight: u8,
}

struct Proxy {
    life: u64,
    count: u64,
    stage: Stage,
    stage_rev: u64,
    credit: f64,
    old_out: u32,
    routes: Vec<RouteTally>,
    tally_phase: usize,
    not_reporting: bool,
    /// The delay with which it applies committed changes.
    lag_ticks: usize,
    down_until_tick: usize,
}

#[derive(Clone, Copy)]
struct Completion {
    proxy: usize,
    life: u64,
    route: usize,
    server: usize,
    failed: bool,
    bad: bool,
    taken_us: Option<u64>,
    tries: usize,
}

struct Simulation {
    scenario: Scenario,
    rng: Rng,
    servers: Vec<Server>,
    proxies: Vec<Proxy>,
    completions: Vec<Vec<Completion>>,
    /// Tallies in transit to the registry, by the tick of their arrival.
    tallies_in_transit: Vec<Vec<Tally>>,
    rollout: Rollout,
    stage_changes: Vec<(usize, Stage, u64)>,
    new_sent_ticks: Vec<usize>,
    all: usize,
    bad_answers: usize,
    revert_limit_tick: Option<usize>,
}

/// Simulates one rollout to its end, at most until two seconds after its term.
pub fn simulate(scenario: Scenario, seed: u64) -> Outcome {
    let last = ORDER_TICK + scenario.term_s * TICKS_PER_SECOND + 2 * TICKS_PER_SECOND;
    let mut simulation = Simulation::new(scenario, seed, last);
    let mut tallies = Tallies::default();
    let mut pending_step: Option<(usize, Stage, String)> = None;
    let mut over_at_tick = None;
    let mut no_leader_until = 0;
    let leader_lost_tick = ORDER_TICK as f64 + scenario.disturbance.leader_lost_s * TICKS_PER_SECOND as f64;
    for now in ORDER_TICK..last {
        if scenario.disturbance.leader_lost_s > 0.0 && now == leader_lost_tick as usize {
            (tallies, pending_step, no_leader_until) = (Tallies::default(), None, now + 2 * TICKS_PER_SECOND);
        }
        simulation.complete_requests(now);
        simulation.generate_requests(now);
        simulation.send_tallies(now);
        for tally in std::mem::take(&mut simulation.tallies_in_transit[now]) {
            tallies.take(now as u64 * TICK_US, tally, false);
        }
        if let Some((_, to, reason)) = pending_step.take_if(|(at, ..)| *at <= now) {
            simulation.commit_stage(now, to, reason);
            if simulation.rollout.stage.is_over() {
                over_at_tick = Some(now);
            }
        }
        if now % ROUND_TICKS == 0
            && now >= no_leader_until
            && pending_step.is_none()
            && over_at_tick.is_none()
        {
            let serving = simulation.serving(now);
            let evaluation = Evaluation {
                now: now as u64 * TICK_US,
                tallies: &tallies,
                proxies: &serving,
                tally_us: TALLY_INTERVAL_TICKS as u64 * TICK_US,
                propagation_us: 2_500_000,
            };
            // The delay of a commit on the disks of a majority, in another region.
            pending_step = evaluation
                .step(&simulation.rollout)
                .map(|s| (now + simulation.rng.usize(8..20), s.to, s.reason));
        }
    }
    simulation.outcome(over_at_tick)
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64, last: usize) -> Simulation {
        let mut rng = Rng::with_seed(seed);
        let disturbance = scenario.disturbance;
        let mut server = |n: usize| {
            let slow = rng.f64() < disturbance.slow.0;
            Server {
                new: n >= SERVERS,
                factor: [0.7, 0.7, 1.6][rng.usize(0..3)] * if slow { disturbance.slow.1 } else { 1.0 },
                half_failing: rng.f64() < disturbance.half_failing,
                garbled: rng.f64() < disturbance.garbled.1,
                in_flight: 0,
            }
        };
        let servers = (0..2 * SERVERS).map(&mut server).collect();
        let proxy = |n: usize| Proxy {
            life: n as u64,
            count: 0,
            stage: Stage::Trial,
            stage_rev: 1,
            credit: 0.0,
            old_out: 0,
            routes: Vec::new(),
            tally_phase: rng.usize(0..TALLY_INTERVAL_TICKS),
            not_reporting: rng.f64() < disturbance.not_reporting,
            lag_ticks: rng.usize(8..50),
            down_until_tick: 0,
        };
        let proxies = (0..PROXIES).map(proxy).collect();
        let order = Order {
            service: "heron".to_string(),
            target_version: "v2".to_string(),
            term_ms: scenario.term_s as u32 * 1000,
        };
        let at = ORDER_TICK as i64 * TICK_US as i64;
        let rollout = Rollout {
            order,
            epoch: 1,
            stage: Stage::Trial,
            stage_rev: 1,
            reason: String::new(),
            old_versions: ["v1".to_string()].into(),
            retired: Default::default(),
            ordered_at: at,
            stage_at: at,
        };
        Simulation {
            scenario,
            rng,
            servers,
            proxies,
            completions: (0..last + 1).map(|_| Vec::new()).collect(),
            tallies_in_transit: (0..last + 1).map(|_| Vec::new()).collect(),
            rollout,
            stage_changes: Vec::new(),
            new_sent_ticks: Vec::new(),
            all: 0,
            bad_answers: 0,
            revert_limit_tick: None,
        }
    }

    fn term_at(&self) -> usize {
        ORDER_TICK + self.scenario.term_s * TICKS_PER_SECOND
    }

    fn commit_stage(&mut self, now: usize, to: Stage, reason: String) {
        let rev = self.rollout.stage_rev + 1;
        (self.rollout.stage, self.rollout.stage_rev) = (to, rev);
        self.rollout.stage_at = now as i64 * TICK_US as i64;
        self.rollout.reason = reason;
        self.stage_changes.push((now, to, rev));
    }

    fn serving(&self, now: usize) -> Vec<Ipv4Addr> {
        let up = self.proxies.iter().enumerate().filter(|(_, p)| p.down_until_tick <= now);
        up.map(|(n, _)| address(n)).collect()
    }

    fn generate_requests(&mut self, now: usize) {
        for (rate, route) in [(self.scenario.rate - self.scenario.rare_rate, 0), (self.scenario.rare_rate, 1)]
        {
            for _ in 0..self.poisson(rate / TICKS_PER_SECOND as f64) {
                let proxy = self.rng.usize(0..PROXIES);
                if self.proxies[proxy].down_until_tick <= now {
                    self.request(now, proxy, route, 0);
                }
            }
        }
    }

    fn poisson(&mut self, mean: f64) -> usize {
        let (limit, mut product, mut count) = ((-mean).exp(), self.rng.f64(), 0);
        while product > limit {
            product *= self.rng.f64();
            count += 1;
        }
        count
    }

    fn request(&mut self, now: usize, proxy: usize, route: usize, tries: usize) {
        self.apply_changes(now, proxy);
        let Some(server) = self.choose_server(proxy, route, tries) else { return };
        let new = self.servers[server].new;
        if now < self.term_at() {
            self.all += 1;
        }
        if new {
            self.new_sent_ticks.push(now);
        }
        self.send(now, proxy, route, server, tries);
    }

    /// Lets a proxy apply the changes that have reached it.
    fn apply_changes(&mut self, now: usize, proxy: usize) {
        let p = &mut self.proxies[proxy];
        for (_, stage, rev) in self.stage_changes.iter().filter(|(at, ..)| at + p.lag_ticks <= now) {
            (p.stage, p.stage_rev) = (*stage, *rev);
        }
    }

    /// A server with a free slot, if one of three random probes finds it.
    fn choose_server(&mut self, proxy: usize, route: usize, tries: usize) -> Option<usize> {
        let (old, new) = (0..SERVERS, SERVERS..2 * SERVERS);
        let partial = (SERVERS as f64 * self.scenario.partial).ceil() as usize;
        let set = match self.proxies[proxy].stage {
            Stage::Trial => {
                if tries == 0 && self.take_trial_slot(proxy, route) {
                    if let Some(server) = self.probe_servers(SERVERS..SERVERS + TRIAL_SERVERS) {
                        return Some(server);
                    }
                    self.proxies[proxy].credit += 1.0;
                }
                old
            }
            Stage::Partial => 0..SERVERS + partial,
            Stage::Whole | Stage::Completed => new,
            Stage::Reverted => old,
        };
        self.probe_servers(set)
    }

    fn probe_servers(&mut self, set: std::ops::Range<usize>) -> Option<usize> {
        (0..3).map(|_| self.rng.usize(set.clone())).find(|s| self.servers[*s].in_flight < SLOTS)
    }

    fn take_trial_slot(&mut self, proxy: usize, route: usize) -> bool {
        // At most every second request of a rare route goes to the new version, so that the old one has answers on it
        // as well.
        let rare_first = self.scenario.rare_first && (route == 0 || self.rng.bool());
        let p = &mut self.proxies[proxy];
        let max_credit = if rare_first { MAX_CREDIT + 1.0 } else { MAX_CREDIT };
        p.credit = (p.credit + TRIAL_SHARE).min(max_credit);
        let needed = if rare_first && route == 0 { 2.0 } else { 1.0 };
        let has_credit = p.credit >= needed;
        p.credit -= if has_credit { 1.0 } else { 0.0 };
        has_credit
    }

    fn send(&mut self, now: usize, proxy: usize, route: usize, server: usize, tries: usize) {
        let s = self.servers[server];
        let cold = s.new && now < ORDER_TICK + COLD_TICKS;
        let bad = s.new && self.is_bad(now, route, server);
        let mut work_s = self.work_s() * s.factor * if cold { 2.0 } else { 1.0 };
        let mut failed = s.half_failing && self.rng.f64() < 0.5;
        let disturbance = self.scenario.disturbance;
        let garbling_started =
            now as f64 >= ORDER_TICK as f64 + disturbance.garbled_from_s * TICKS_PER_SECOND as f64;
        let garbled = s.garbled && garbling_started && self.rng.f64() < disturbance.garbled.0;
        match self.scenario.version.map(|v| v.bad).filter(|_| bad) {
            Some(Defect::Errors) => failed = true,
            Some(Defect::Slow(times)) => work_s *= times,
            None => {}
        }
        // Half of them are lost: there is no answer until the timeout.
        let lost = garbled && self.rng.bool();
        let ticks = ((work_s * TICKS_PER_SECOND as f64) as usize).max(1);
        let timed_out = lost || ticks >= TIMEOUT_TICKS;
        let ticks = if timed_out { TIMEOUT_TICKS } else { ticks };
        failed |= garbled || timed_out;
        let taken_us = (!cold).then_some(ticks as u64 * TICK_US);
        self.servers[server].in_flight += 1;
        let p = &mut self.proxies[proxy];
        p.old_out += u32::from(!s.new);
        let life = p.life;
        let last = self.completions.len() - 1;
        let end = Completion { proxy, life, route, server, failed, bad, taken_us, tries };
        self.completions[(now + ticks).min(last)].push(end);
    }

    fn work_s(&mut self) -> f64 {
        // A normal deviate by the Box-Muller transform.
        let (a, b) = (1.0 - self.rng.f64(), self.rng.f64());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        let tail = if self.rng.f64() < 0.01 { 5.0 } else { 1.0 };
        MEAN_WORK_S * (WORK_SIGMA * normal - WORK_SIGMA * WORK_SIGMA / 2.0).exp() * tail
    }

    fn is_bad(&mut self, now: usize, route: usize, server: usize) -> bool {
        let Some(version) = self.scenario.version else { return false };
        let applies = match version.when {
            When::AtOnce => true,
            When::Late(s) => now as f64 >= ORDER_TICK as f64 + s * TICKS_PER_SECOND as f64,
            When::AtLoad(in_flight) => self.servers[server].in_flight + 1 >= in_flight,
            When::FromPartial => self.rollout.stage > Stage::Trial,
            When::OnRareRoute => route == 1,
        };
        applies && self.rng.f64() < version.share
    }

    fn complete_requests(&mut self, now: usize) {
        for end in std::mem::take(&mut self.completions[now]) {
            let new = self.servers[end.server].new;
            self.servers[end.server].in_flight -= 1;
            if end.bad {
                self.bad_answers += 1;
                if self.bad_answers == MIN_BAD_ANSWERS {
                    self.revert_limit_tick = Some(now + REVERT_LIMIT_TICKS);
                }
            }
            let p = &mut self.proxies[end.proxy];
            if p.life != end.life {
                continue;
            }
            p.old_out -= u32::from(!new);
            p.count(end, new);
            if end.failed && end.tries < self.scenario.disturbance.retry_storm.max(1) {
                self.request(now, end.proxy, end.route, end.tries + 1);
            }
        }
    }

    fn send_tallies(&mut self, now: usize) {
        let killed = self.scenario.disturbance.killed;
        if killed > 0.0 && now == ORDER_TICK + 4 * TICKS_PER_SECOND {
            for p in &mut self.proxies {
                if self.rng.f64() < killed {
                    p.restart(now + TICKS_PER_SECOND);
                }
            }
        }
        for n in 0..PROXIES {
            self.apply_changes(now, n);
            let p = &mut self.proxies[n];
            if now % TALLY_INTERVAL_TICKS != p.tally_phase || p.down_until_tick > now || p.not_reporting {
                continue;
            }
            p.count += 1;
            let tally = Tally {
                ip: address(n),
                life: p.life,
                count: p.count,
                epoch: 1,
                rev: p.stage_rev,
                old_out: p.old_out,
                routes: p.routes.clone(),
            };
            let at = now + self.rng.usize(8..30);
            if let Some(due) = self.tallies_in_transit.get_mut(at) {
                due.push(tally);
            }
        }
    }

    fn outcome(self, over_at_tick: Option<usize>) -> Outcome {
        let term_at = self.term_at();
        let after_limit = |at: &&usize| self.revert_limit_tick.is_some_and(|limit| **at > limit);
        Outcome {
            stage: self.rollout.stage,
            over_s: over_at_tick.map(|at| (at - ORDER_TICK) as f64 / TICKS_PER_SECOND as f64),
            all: self.all,
            new: self.new_sent_ticks.iter().filter(|at| **at < term_at).count(),
            after_limit: self.new_sent_ticks.iter().filter(after_limit).count(),
            reason: self.rollout.reason,
        }
    }
}

impl Proxy {
    fn count(&mut self, end: Completion, new: bool) {
        while self.routes.len() <= end.route {
            let route = self.routes.len() as u32;
            self.routes.push(RouteTally { route, old: Answers::default(), new: Answers::default() });
        }
        let tally = &mut self.routes[end.route];
        let answers = if new { &mut tally.new } else { &mut tally.old };
        answers.ended += 1;
        answers.failed += u32::from(end.failed);
        if let Some(taken_us) = end.taken_us.filter(|_| !end.failed) {
            answers.took(taken_us);
        }
    }

    /// Starts a new life; what it counted and did not report is lost.
    fn restart(&mut self, back_at: usize) {
        self.life += PROXIES as u64;
        (self.count, self.credit, self.old_out) = (0, 0.0, 0);
        self.routes.clear();
        self.down_until_tick = back_at;
    }
}

fn address(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}
