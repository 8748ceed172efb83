//! One rollout played on simulated time: clients, servers of two versions, proxies that send, count and tell, and the verdict.
//! No sockets, no clock; the same seed plays the same.

use cluster::rollout::{Answers, Order, Rollout, RouteTally, Stage, Tally};
use fastrand::Rng;
use registry::rollouts::{Ground, Tallies};
use std::net::Ipv4Addr;

/// All times in ticks of so many microseconds.
pub const TICK_US: u64 = 10_000;
const SECOND: usize = 100;
const PROXIES: usize = 85;
const SERVERS: usize = 157;
const ON_TRIAL: usize = 16;
const SLOTS: u8 = 3;
const COLD: usize = 3 * SECOND;
const TALLY: usize = 26;
const ROUND: usize = 33;
const TIMEOUT: usize = 4 * SECOND;
const MEAN_WORK_S: f64 = 0.22;
const SPREAD: f64 = 0.5;
const TRIAL_SHARE: f64 = 0.08;
/// What a proxy may be behind its share.
const MAX_CREDIT: f64 = 2.0;
/// From the first request before the order on.
const BEFORE: usize = SECOND;

/// How bad answers are bad.
#[derive(Clone, Copy, Debug)]
pub enum Bad {
    Errors,
    /// So many times slower.
    Slow(f64),
}

/// When they are.
#[derive(Clone, Copy, Debug)]
pub enum When {
    AtOnce,
    /// From so many seconds after the order on.
    Late(f64),
    /// Where a server has so many requests at a time.
    AtLoad(u8),
    /// Once the version gets more than a trial's share.
    FromPartial,
    OnRareRoute,
}

#[derive(Clone, Copy, Debug)]
pub struct Version {
    pub share: f64,
    pub bad: Bad,
    pub when: When,
}

/// Troubles that have nothing to do with the version.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    /// Part of the answers of some servers that are garbled or lost, and the part of the servers, from some second on.
    pub garbled: (f64, f64),
    pub garbled_from_s: f64,
    /// Part of the servers that are so many times slower.
    pub slow: (f64, f64),
    /// Part of the servers that fail half of their answers.
    pub grey: f64,
    /// Part of the proxies that end, at some second, and begin a new life a second later.
    pub killed: f64,
    /// Part of the proxies that serve but whose tallies do not come.
    pub silent: f64,
    /// Each answer that fails is asked for so many times more.
    pub storm: usize,
    /// A second at which the leader changes: nothing is decided for two seconds, and a registry that was just started decides.
    pub leader_lost_s: f64,
}

#[derive(Clone, Copy, Debug)]
pub struct Scene {
    pub rate: f64,
    pub rare_rate: f64,
    pub term_s: usize,
    /// Part of the new servers that serve at the partial stage.
    pub partial: f64,
    /// Whether places in the share go to rare routes first.
    pub rare_first: bool,
    pub version: Option<Version>,
    pub trouble: Trouble,
}

impl Scene {
    pub fn usual() -> Scene {
        Scene {
            rate: 906.0,
            rare_rate: 10.0,
            term_s: 14,
            partial: 0.25,
            rare_first: true,
            version: None,
            trouble: Trouble::default(),
        }
    }
}

/// How it went.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub stage: Stage,
    /// Seconds from the order until it was over.
    pub over_s: Option<f64>,
    /// Requests to the service and to its new version, between the order and the term.
    pub all: usize,
    pub new: usize,
    /// Requests to the new version later than the settings allow after its 50th bad answer.
    pub after_limit: usize,
    pub reason: String,
}

const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_MARGIN: f64 = 50.0;
const REVERT_LIMIT: usize = 5 * SECOND;
const BAD_ANSWERS: usize = 50;

impl Outcome {
    /// The part of what a bad version may get that it got.
    pub fn exposure(&self) -> f64 {
        self.new as f64 / (EXPOSURE_SHARE * self.all as f64 + EXPOSURE_MARGIN)
    }
}

#[derive(Clone, Copy)]
struct Server {
    new: bool,
    factor: f64,
    grey: bool,
    garbled: bool,
    out: u8,
}

struct Proxy {
    life: u64,
    count: u64,
    stage: Stage,
    stage_rev: u64,
    credit: f64,
    old_out: u32,
    routes: Vec<RouteTally>,
    phase: usize,
    silent: bool,
    /// It takes up what is agreed so many ticks later.
    lag: usize,
    down_until: usize,
}

#[derive(Clone, Copy)]
struct Ended {
    proxy: usize,
    life: u64,
    route: usize,
    server: usize,
    failed: bool,
    bad: bool,
    taken_us: Option<u64>,
    tries: usize,
}

struct Play {
    scene: Scene,
    rng: Rng,
    servers: Vec<Server>,
    proxies: Vec<Proxy>,
    ends: Vec<Vec<Ended>>,
    /// Tallies under way to the registry.
    told: Vec<Vec<Tally>>,
    rollout: Rollout,
    changes: Vec<(usize, Stage, u64)>,
    new_sent: Vec<usize>,
    all: usize,
    bad_answers: usize,
    limit_at: Option<usize>,
}

/// Plays one rollout to its end, at the latest to two seconds past its term.
pub fn play(scene: Scene, seed: u64) -> Outcome {
    let last = BEFORE + scene.term_s * SECOND + 2 * SECOND;
    let mut play = Play::new(scene, seed, last);
    let mut tallies = Tallies::default();
    let mut decided: Option<(usize, Stage, String)> = None;
    let mut over_at = None;
    let mut quiet_until = 0;
    let (lost_at, ends_at) = (BEFORE as f64 + scene.trouble.leader_lost_s * SECOND as f64, last);
    for now in BEFORE..ends_at {
        if scene.trouble.leader_lost_s > 0.0 && now == lost_at as usize {
            (tallies, decided, quiet_until) = (Tallies::default(), None, now + 2 * SECOND);
        }
        play.ended(now);
        play.arrive(now);
        play.tell(now);
        for tally in std::mem::take(&mut play.told[now]) {
            tallies.take(now as u64 * TICK_US, tally, false);
        }
        if let Some((_, to, reason)) = decided.take_if(|(at, ..)| *at <= now) {
            play.agree(now, to, reason);
            if play.rollout.stage.is_over() {
                over_at = Some(now);
            }
        }
        if now % ROUND == 0 && now >= quiet_until && decided.is_none() && over_at.is_none() {
            let serving = play.serving(now);
            let ground = Ground {
                now: now as u64 * TICK_US,
                tallies: &tallies,
                proxies: &serving,
                tally_us: TALLY as u64 * TICK_US,
                settle_us: 2_500_000,
            };
            // Written to a majority's disks, in another region.
            decided = ground.step(&play.rollout).map(|s| (now + play.rng.usize(8..20), s.to, s.reason));
        }
    }
    play.outcome(over_at)
}

impl Play {
    fn new(scene: Scene, seed: u64, last: usize) -> Play {
        let mut rng = Rng::with_seed(seed);
        let trouble = scene.trouble;
        let mut server = |n: usize| {
            let slow = rng.f64() < trouble.slow.0;
            Server {
                new: n >= SERVERS,
                factor: [0.7, 0.7, 1.6][rng.usize(0..3)] * if slow { trouble.slow.1 } else { 1.0 },
                grey: rng.f64() < trouble.grey,
                garbled: rng.f64() < trouble.garbled.1,
                out: 0,
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
            phase: rng.usize(0..TALLY),
            silent: rng.f64() < trouble.silent,
            lag: rng.usize(8..50),
            down_until: 0,
        };
        let proxies = (0..PROXIES).map(proxy).collect();
        let order = Order {
            service: "heron".to_string(),
            target_version: "v2".to_string(),
            term_ms: scene.term_s as u32 * 1000,
        };
        let at = BEFORE as i64 * TICK_US as i64;
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
        Play {
            scene,
            rng,
            servers,
            proxies,
            ends: (0..last + 1).map(|_| Vec::new()).collect(),
            told: (0..last + 1).map(|_| Vec::new()).collect(),
            rollout,
            changes: Vec::new(),
            new_sent: Vec::new(),
            all: 0,
            bad_answers: 0,
            limit_at: None,
        }
    }

    fn term_at(&self) -> usize {
        BEFORE + self.scene.term_s * SECOND
    }

    fn agree(&mut self, now: usize, to: Stage, reason: String) {
        let rev = self.rollout.stage_rev + 1;
        (self.rollout.stage, self.rollout.stage_rev) = (to, rev);
        self.rollout.stage_at = now as i64 * TICK_US as i64;
        self.rollout.reason = reason;
        self.changes.push((now, to, rev));
    }

    fn serving(&self, now: usize) -> Vec<Ipv4Addr> {
        let up = self.proxies.iter().enumerate().filter(|(_, p)| p.down_until <= now);
        up.map(|(n, _)| address(n)).collect()
    }

    fn arrive(&mut self, now: usize) {
        for (rate, route) in [(self.scene.rate - self.scene.rare_rate, 0), (self.scene.rare_rate, 1)] {
            for _ in 0..self.poisson(rate / SECOND as f64) {
                let proxy = self.rng.usize(0..PROXIES);
                if self.proxies[proxy].down_until <= now {
                    self.request(now, proxy, route, 0);
                }
            }
        }
    }

    fn poisson(&mut self, mean: f64) -> usize {
        let (least, mut product, mut count) = ((-mean).exp(), self.rng.f64(), 0);
        while product > least {
            product *= self.rng.f64();
            count += 1;
        }
        count
    }

    fn request(&mut self, now: usize, proxy: usize, route: usize, tries: usize) {
        self.learn(now, proxy);
        let Some(server) = self.choose(proxy, route, tries) else { return };
        let new = self.servers[server].new;
        if now < self.term_at() {
            self.all += 1;
        }
        if new {
            self.new_sent.push(now);
        }
        self.send(now, proxy, route, server, tries);
    }

    /// A proxy takes up what was agreed a while ago.
    fn learn(&mut self, now: usize, proxy: usize) {
        let p = &mut self.proxies[proxy];
        for (_, stage, rev) in self.changes.iter().filter(|(at, ..)| at + p.lag <= now) {
            (p.stage, p.stage_rev) = (*stage, *rev);
        }
    }

    /// A server that has room, if it is found at the third look.
    fn choose(&mut self, proxy: usize, route: usize, tries: usize) -> Option<usize> {
        let (old, new) = (0..SERVERS, SERVERS..2 * SERVERS);
        let partial = (SERVERS as f64 * self.scene.partial).ceil() as usize;
        let set = match self.proxies[proxy].stage {
            Stage::Trial => {
                if tries == 0 && self.reserve(proxy, route) {
                    if let Some(server) = self.look(SERVERS..SERVERS + ON_TRIAL) {
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
        self.look(set)
    }

    fn look(&mut self, set: std::ops::Range<usize>) -> Option<usize> {
        (0..3).map(|_| self.rng.usize(set.clone())).find(|s| self.servers[*s].out < SLOTS)
    }

    fn reserve(&mut self, proxy: usize, route: usize) -> bool {
        // At most every second request of a rare route, so that it has answers of the old version as well.
        let rare_first = self.scene.rare_first && (route == 0 || self.rng.bool());
        let p = &mut self.proxies[proxy];
        let most = if rare_first { MAX_CREDIT + 1.0 } else { MAX_CREDIT };
        p.credit = (p.credit + TRIAL_SHARE).min(most);
        let needed = if rare_first && route == 0 { 2.0 } else { 1.0 };
        let has = p.credit >= needed;
        p.credit -= if has { 1.0 } else { 0.0 };
        has
    }

    fn send(&mut self, now: usize, proxy: usize, route: usize, server: usize, tries: usize) {
        let s = self.servers[server];
        let cold = s.new && now < BEFORE + COLD;
        let bad = s.new && self.is_bad(now, route, server);
        let mut work_s = self.work_s() * s.factor * if cold { 2.0 } else { 1.0 };
        let mut failed = s.grey && self.rng.f64() < 0.5;
        let trouble = self.scene.trouble;
        let garbles = now as f64 >= BEFORE as f64 + trouble.garbled_from_s * SECOND as f64;
        let garbled = s.garbled && garbles && self.rng.f64() < trouble.garbled.0;
        match self.scene.version.map(|v| v.bad).filter(|_| bad) {
            Some(Bad::Errors) => failed = true,
            Some(Bad::Slow(times)) => work_s *= times,
            None => {}
        }
        // One half of them is lost: nothing comes until the timeout.
        let lost = garbled && self.rng.bool();
        let ticks = ((work_s * SECOND as f64) as usize).max(1);
        let timed_out = lost || ticks >= TIMEOUT;
        let ticks = if timed_out { TIMEOUT } else { ticks };
        failed |= garbled || timed_out;
        let taken_us = (!cold).then_some(ticks as u64 * TICK_US);
        self.servers[server].out += 1;
        let p = &mut self.proxies[proxy];
        p.old_out += u32::from(!s.new);
        let life = p.life;
        let last = self.ends.len() - 1;
        let end = Ended { proxy, life, route, server, failed, bad, taken_us, tries };
        self.ends[(now + ticks).min(last)].push(end);
    }

    fn work_s(&mut self) -> f64 {
        // Box and Muller's normal deviate.
        let (a, b) = (1.0 - self.rng.f64(), self.rng.f64());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        let tail = if self.rng.f64() < 0.01 { 5.0 } else { 1.0 };
        MEAN_WORK_S * (SPREAD * normal - SPREAD * SPREAD / 2.0).exp() * tail
    }

    fn is_bad(&mut self, now: usize, route: usize, server: usize) -> bool {
        let Some(version) = self.scene.version else { return false };
        let holds = match version.when {
            When::AtOnce => true,
            When::Late(s) => now as f64 >= BEFORE as f64 + s * SECOND as f64,
            When::AtLoad(out) => self.servers[server].out + 1 >= out,
            When::FromPartial => self.rollout.stage > Stage::Trial,
            When::OnRareRoute => route == 1,
        };
        holds && self.rng.f64() < version.share
    }

    fn ended(&mut self, now: usize) {
        for end in std::mem::take(&mut self.ends[now]) {
            let new = self.servers[end.server].new;
            self.servers[end.server].out -= 1;
            if end.bad {
                self.bad_answers += 1;
                if self.bad_answers == BAD_ANSWERS {
                    self.limit_at = Some(now + REVERT_LIMIT);
                }
            }
            let p = &mut self.proxies[end.proxy];
            if p.life != end.life {
                continue;
            }
            p.old_out -= u32::from(!new);
            p.count(end, new);
            if end.failed && end.tries < self.scene.trouble.storm.max(1) {
                self.request(now, end.proxy, end.route, end.tries + 1);
            }
        }
    }

    fn tell(&mut self, now: usize) {
        let killed = self.scene.trouble.killed;
        if killed > 0.0 && now == BEFORE + 4 * SECOND {
            for p in &mut self.proxies {
                if self.rng.f64() < killed {
                    p.ends(now + SECOND);
                }
            }
        }
        for n in 0..PROXIES {
            self.learn(now, n);
            let p = &mut self.proxies[n];
            if now % TALLY != p.phase || p.down_until > now || p.silent {
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
            if let Some(under_way) = self.told.get_mut(at) {
                under_way.push(tally);
            }
        }
    }

    fn outcome(self, over_at: Option<usize>) -> Outcome {
        let term_at = self.term_at();
        let later = |at: &&usize| self.limit_at.is_some_and(|limit| **at > limit);
        Outcome {
            stage: self.rollout.stage,
            over_s: over_at.map(|at| (at - BEFORE) as f64 / SECOND as f64),
            all: self.all,
            new: self.new_sent.iter().filter(|at| **at < term_at).count(),
            after_limit: self.new_sent.iter().filter(later).count(),
            reason: self.rollout.reason,
        }
    }
}

impl Proxy {
    fn count(&mut self, end: Ended, new: bool) {
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

    /// It loses what it counted.
    fn ends(&mut self, back_at: usize) {
        self.life += PROXIES as u64;
        (self.count, self.credit, self.old_out) = (0, 0.0, 0);
        self.routes.clear();
        self.down_until = back_at;
    }
}

fn address(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}
