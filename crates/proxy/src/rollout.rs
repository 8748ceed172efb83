//! Rollouts in a proxy: which requests may go to servers of a new version, and what came of those that went to either
//! version. See docs/system/rollouts.md.
//!
//! While a version is on trial, each proxy sends it no more than a fixed share of the requests that it sends to the service
//! itself. So the share holds over all proxies together, whatever any of them knows of the others.

use cluster::rollout::{Answers, Rollouts as Agreed, RouteTally, Stage, Tally, tally_interval};
use cluster::{Micros, Rev};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The part of the settings' bound that a trial may use: what arrives is not quite what was sent.
const EXPOSURE_USED: f64 = 0.8;
/// Where the settings tell no bound.
const DEFAULT_EXPOSURE: f64 = 0.1;
/// Requests that a proxy may be behind its share, and catch up with.
const MAX_CREDIT: f64 = 3.0;
/// Places in the share go to routes of which little is asked first, as their answers are few: others leave one in reserve.
const BUSY_ROUTE_CREDIT: f64 = 2.0;
/// A route is busy that has this part of what this proxy sends to the service.
const BUSY_PART: f64 = 0.25;
/// The part of the settings' margin that a trial may use besides, divided over all proxies: where little is asked the share
/// alone would show nothing.
const MARGIN_USED: f64 = 0.5;
/// A proxy that has run for less than this before it learns of a rollout gets no part of the margin: an earlier life of it may
/// have had it.
const MARGIN_AFTER_US: Micros = 5_000_000;

/// Which versions a server belongs to while a rollout runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Old,
    New,
}

/// A server of a service with a running rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placed {
    pub epoch: Rev,
    pub side: Side,
    /// It is on trial: only requests that the share allows may go there.
    pub trial: bool,
    pub cold_until: Micros,
}

/// How an attempt ended, as far as it tells of the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Served { taken_us: Micros, cold: bool },
    Failed,
}

struct Running {
    service: u32,
    stage: Stage,
    /// Requests that may yet go to servers on trial.
    credit: f64,
    routes: BTreeMap<u32, RouteTally>,
    /// Requests that were sent to the service, by route; and the routes whose last one took a place.
    sent: BTreeMap<u32, u32>,
    took_last: BTreeSet<u32>,
}

impl Running {
    fn is_busy(&self, route: u32) -> bool {
        let all: u32 = self.sent.values().sum();
        let of_route = self.sent.get(&route).copied().unwrap_or(0);
        f64::from(of_route) >= BUSY_PART * f64::from(all)
    }

    /// Every second request of a route at the most, so that its answers at the old version are counted, too.
    fn may_take(&mut self, route: u32) -> bool {
        if self.took_last.remove(&route) {
            return false;
        }
        let least = if self.is_busy(route) { BUSY_ROUTE_CREDIT } else { 1.0 };
        self.credit >= least
    }
}

/// The running rollouts as this life of a proxy sees them, by their epochs.
pub struct Rollouts {
    ip: Ipv4Addr,
    life: u64,
    exposure: Exposure,
    started: Micros,
    beat_us: Micros,
    /// Between two tallies, and how long this proxy waits with one that all proxies have a reason to send at once.
    tally_us: Micros,
    stagger: f64,
    running: BTreeMap<Rev, Running>,
    count: u64,
    tally_at: Micros,
}

/// What a version on trial may get, over all proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// Of a service's requests.
    pub share: f64,
    /// Requests besides.
    pub margin: f64,
}

impl Exposure {
    /// Less than the settings allow, as what arrives is not quite what was sent.
    pub fn of(exposure_share: Option<f64>, exposure_margin: Option<f64>) -> Exposure {
        Exposure {
            share: EXPOSURE_USED * exposure_share.unwrap_or(DEFAULT_EXPOSURE).clamp(0.0, 1.0),
            margin: MARGIN_USED * exposure_margin.unwrap_or(0.0).max(0.0),
        }
    }
}

impl Rollouts {
    /// `beat_us`: between two calls of a server.
    pub fn new(ip: Ipv4Addr, life: u64, exposure: Exposure, beat_us: Micros, now: Micros) -> Rollouts {
        Rollouts {
            ip,
            life,
            exposure,
            started: now,
            beat_us,
            tally_us: tally_interval(beat_us, 1),
            stagger: xxh3_64_with_seed(&ip.octets(), life) as f64 / u64::MAX as f64,
            running: BTreeMap::new(),
            count: 0,
            tally_at: Micros::MAX,
        }
    }

    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    pub fn wake_at(&self) -> Micros {
        if self.is_idle() { Micros::MAX } else { self.tally_at }
    }

    /// Takes over what is agreed among so many proxies; `number` gives the number of a service.
    pub fn learn(
        &mut self,
        now: Micros,
        agreed: &Agreed,
        proxies: usize,
        number: impl Fn(&str) -> Option<u32>,
    ) {
        self.tally_us = tally_interval(self.beat_us, proxies);
        let soon = now + (self.tally_us as f64 * self.stagger) as Micros;
        self.running.retain(|epoch, _| agreed.running().any(|r| r.epoch == *epoch));
        for rollout in agreed.running() {
            let Some(service) = number(&rollout.order.service) else { continue };
            let stage = rollout.stage;
            let settled = now >= self.started + MARGIN_AFTER_US;
            let credit = if settled { self.exposure.margin / proxies.max(1) as f64 } else { 0.0 };
            let (routes, sent, took_last) = Default::default();
            let new = || Running { service, stage, credit, routes, sent, took_last };
            let running = self.running.entry(rollout.epoch).or_insert_with(new);
            if running.stage != stage {
                running.stage = stage;
                self.tally_at = self.tally_at.min(soon);
            }
        }
        if !self.is_idle() && self.tally_at == Micros::MAX {
            self.tally_at = soon;
        }
        if self.is_idle() {
            self.tally_at = Micros::MAX;
        }
    }

    fn on_trial(&mut self, service: u32) -> Option<&mut Running> {
        self.running.values_mut().find(|r| r.service == service && r.stage == Stage::Trial)
    }

    /// Takes one request's place in the share, if there is one; it is given back by [`Rollouts::give_back`].
    pub fn reserve(&mut self, service: u32, route: u32) -> bool {
        let Some(running) = self.on_trial(service) else { return false };
        if !running.may_take(route) {
            return false;
        }
        running.credit -= 1.0;
        running.took_last.insert(route);
        true
    }

    /// A request that had a place was not sent to a server on trial.
    pub fn give_back(&mut self, service: u32) {
        if let Some(running) = self.on_trial(service) {
            running.credit += 1.0;
        }
    }

    /// A request went to the service for the first time, to whichever server.
    pub fn sent(&mut self, service: u32, route: u32) {
        let share = self.exposure.share;
        if let Some(running) = self.on_trial(service) {
            *running.sent.entry(route).or_default() += 1;
            running.credit = (running.credit + share).min(MAX_CREDIT.max(running.credit));
        }
    }

    /// An attempt at a server of either side ended.
    pub fn ended(&mut self, placed: Placed, route: u32, ended: Ended) {
        let Some(running) = self.running.get_mut(&placed.epoch) else { return };
        let none = || RouteTally { route, old: Answers::default(), new: Answers::default() };
        let tally = running.routes.entry(route).or_insert_with(none);
        let answers = match placed.side {
            Side::Old => &mut tally.old,
            Side::New => &mut tally.new,
        };
        answers.ended += 1;
        match ended {
            Ended::Failed => answers.failed += 1,
            Ended::Served { taken_us, cold: false } => answers.took(taken_us),
            Ended::Served { cold: true, .. } => {}
        }
    }

    /// What is to go to the registries now, if it is time. `rev`: how far the copy here has come; `old_out`: attempts that
    /// are out at servers of the old side, for each rollout.
    pub fn tallies(&mut self, now: Micros, rev: Rev, old_out: impl Fn(Rev) -> u32) -> Vec<Tally> {
        if now < self.wake_at() {
            return Vec::new();
        }
        self.tally_at = now + self.tally_us;
        self.count += 1;
        let tally = |(epoch, running): (&Rev, &Running)| Tally {
            ip: self.ip,
            life: self.life,
            count: self.count,
            epoch: *epoch,
            rev,
            old_out: old_out(*epoch),
            routes: running.routes.values().cloned().collect(),
        };
        self.running.iter().map(tally).collect()
    }
}
