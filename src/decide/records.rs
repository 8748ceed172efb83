//! What a gateway remembers: plain records without a decision or a tuned value, and their start.

use super::target::Target;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Task {
    /// A waiting request can no longer be answered in time, or the time of another is up.
    End(u64),
    /// A customer that was held up may be tried again at a fleet.
    Ready(u64, usize),
    /// Discovery is to be asked.
    Ask,
}

/// One gateway's decisions.
pub struct Decider {
    pub(super) set: Settings,
    pub(super) rng: fastrand::Rng,
    pub(super) now: Micros,
    pub(super) started: Option<Micros>,
    pub(super) servers: BTreeMap<u64, Server>,
    /// One for each service.
    pub(super) fleets: Vec<Fleet>,
    pub(crate) customers: HashMap<u64, Customer>,
    pub(crate) requests: HashMap<u64, Request>,
    /// All customers, looked through a few at a time for those that can be forgotten.
    pub(super) roster: VecDeque<u64>,
    pub(super) agenda: BTreeSet<(Micros, Task)>,
    pub(super) armed: Option<Micros>,
    pub(super) asks_failed: u32,
    /// For each class the time that first tries usually have left, and how sure that is.
    pub(super) usual_left: Vec<(Micros, u32)>,
    /// Requests that ended unserved and may come again.
    pub(super) turned_away: u32,
}

impl Decider {
    /// How long this gateway has been at work, in seconds.
    pub(super) fn age(&self) -> f64 {
        (self.now - self.started.unwrap_or(self.now)) as f64 / 1e6
    }

    pub fn new(set: Settings, seed: u64) -> Result<Decider, SettingsError> {
        let mut new = Decider {
            set: Settings::default(),
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            started: None,
            servers: BTreeMap::new(),
            fleets: Vec::new(),
            customers: HashMap::new(),
            requests: HashMap::new(),
            roster: VecDeque::new(),
            agenda: BTreeSet::new(),
            armed: None,
            asks_failed: 0,
            turned_away: 0,
            usual_left: Vec::new(),
        };
        new.reconfigure(set)?;
        Ok(new)
    }
}

/// The servers of one service, and what was learned of them together.
#[derive(Default)]
pub struct Fleet {
    /// Those that are up, the nearest first.
    pub tiers: Vec<Tier>,
    /// What they are worth in warm ones of which this gateway has an even part, as counted last.
    pub strength: f64,
    pub counted_at: Micros,
    pub load: Target,
    /// Customers with a request that may be next, each at most once. Who comes new goes first, as most time
    /// is left to it; who was served goes last. First come first served would send all too late in a jam.
    pub ring: VecDeque<u64>,
    /// Further attempts that may be made.
    pub retries: f64,
    /// The longest aim of the requests that came for it.
    pub aim: Micros,
    /// What bookings hold of it here, and how many attempts of each booking are out.
    pub holds: Vec<Hold>,
    pub booked_out: BTreeMap<u32, u32>,
}

/// Servers that are as near as each other.
#[derive(Default)]
pub struct Tier {
    pub distance: u32,
    /// In an order that `pick` shuffles as it draws.
    pub up: Vec<u64>,
    /// What they are worth in warm ones, as counted last; what was sent lately, as a moving sum.
    pub warm: f64,
    pub sent: f64,
    pub sent_at: Micros,
}

#[derive(Default)]
pub struct Customer {
    pub plan: usize,
    pub spread: u32,
    pub first_gateway: u32,
    /// Levels of its bucket and of its ceiling's store here.
    pub level: f64,
    pub ceiling: f64,
    pub filled_at: Micros,
    pub units_out: f64,
    pub attempts_out: u32,
    /// What waits for each fleet that it has asked of.
    pub lines: Vec<Line>,
    pub sent_at: Micros,
    /// What the meter says is used of the quota, and when.
    pub used: f64,
    pub used_at: Option<Micros>,
}

/// A customer's requests that wait for one fleet, and whether the fleet's ring holds it.
#[derive(Default)]
pub struct Line {
    pub fleet: usize,
    pub waiting: VecDeque<u64>,
    pub in_ring: bool,
}

pub struct Attempt {
    pub server: u64,
    pub zone: u32,
    pub cell: u32,
    pub sent_at: Micros,
    pub out: bool,
    pub may_have_run: bool,
}

pub struct Request {
    /// What was asked, its units made sane.
    pub asked: NewRequest,
    /// An answer by `best_by` earns its full worth, one after `end` nothing.
    pub best_by: Micros,
    pub end: Micros,
    pub attempts: Vec<Attempt>,
    /// Lots drawn for a cold server, one for each attempt.
    pub lots: usize,
    pub waits: bool,
    pub streaming: bool,
    pub done: bool,
}

#[derive(Default)]
pub struct Server {
    pub fleet: usize,
    pub zone: u32,
    pub cell: u32,
    pub distance: u32,
    pub share: f64,
    pub up: bool,
    pub up_since: Micros,
    /// What was told of its being cold, and when it may be sent the next request then.
    pub told_cold_until: Micros,
    pub cold_rate: f64,
    pub token_at: Micros,
    pub out: u32,
    /// Moving averages: time taken, and part of the outcomes that failed.
    pub latency: f64,
    pub bad: f64,
    pub heard_at: Micros,
}

impl Customer {
    /// What waits for a fleet.
    pub fn line(&mut self, fleet: usize) -> &mut VecDeque<u64> {
        if !self.lines.iter().any(|l| l.fleet == fleet) {
            self.lines.push(Line { fleet, ..Line::default() });
        }
        &mut self.lines.iter_mut().find(|l| l.fleet == fleet).expect("there now").waiting
    }
}
