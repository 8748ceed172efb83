//! State of a gateway's decisions: plain records without logic or tuned constants, and their initial values.

use super::target::Aimd;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Task {
    /// A queued request can no longer be answered in time, or another has reached its deadline.
    Expire(u64),
    /// A delayed customer may be scheduled again at a fleet.
    Resume(u64, usize),
    /// Subscribe to the list of servers.
    Subscribe,
}

/// Admission control and load balancing of one gateway.
pub struct Decider {
    pub(super) config: Settings,
    pub(super) rng: fastrand::Rng,
    pub(super) now: Micros,
    pub(super) started: Option<Micros>,
    pub(super) servers: BTreeMap<u64, Server>,
    /// One per service.
    pub(super) fleets: Vec<Fleet>,
    pub(crate) customers: HashMap<u64, Customer>,
    pub(crate) requests: HashMap<u64, Request>,
    /// All customers, checked a few at a time for those that can be forgotten.
    pub(super) eviction_queue: VecDeque<u64>,
    pub(super) tasks: BTreeSet<(Micros, Task)>,
    pub(super) next_wakeup: Option<Micros>,
    pub(super) subscribe_failures: u32,
    /// Per class: the time that first tries usually have left, and the confidence in it.
    pub(super) usual_time_left: Vec<(Micros, u32)>,
    /// Requests that ended unserved, so may be retried by their clients.
    pub(super) unserved: u32,
}

impl Decider {
    /// Seconds since the first event.
    pub(super) fn age(&self) -> f64 {
        (self.now - self.started.unwrap_or(self.now)) as f64 / 1e6
    }

    pub fn new(config: Settings, seed: u64) -> Result<Decider, SettingsError> {
        let mut new = Decider {
            config: Settings::default(),
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            started: None,
            servers: BTreeMap::new(),
            fleets: Vec::new(),
            customers: HashMap::new(),
            requests: HashMap::new(),
            eviction_queue: VecDeque::new(),
            tasks: BTreeSet::new(),
            next_wakeup: None,
            subscribe_failures: 0,
            unserved: 0,
            usual_time_left: Vec::new(),
        };
        new.reconfigure(config)?;
        Ok(new)
    }
}

/// The servers of one service and their shared state.
#[derive(Default)]
pub struct Fleet {
    /// Servers that are up, nearest tier first.
    pub tiers: Vec<Tier>,
    /// Capacity in warm servers of which this gateway has an even share.
    pub capacity: f64,
    /// When `capacity` was computed.
    pub capacity_at: Micros,
    pub aimd: Aimd,
    /// Customers whose next request may be sent, each at most once; the one in front is served next.
    /// A customer goes in front when a new request of it arrives, as that has the most time left, or when one
    /// is to be tried again. It goes to the back when one was just sent, and in all other cases.
    /// First come, first served would make all late in overload.
    pub round_robin: VecDeque<u64>,
    /// Tokens of the retry budget.
    pub retry_tokens: f64,
    /// The longest `aim_us` among the classes of the requests received for it: an answer within that time has
    /// its full worth.
    pub aim: Micros,
    /// Capacity held for bookings here.
    pub holds: Vec<Hold>,
    /// Each booking's attempts in flight.
    pub booked_in_flight: BTreeMap<u32, u32>,
}

/// Servers at the same distance.
#[derive(Default)]
pub struct Tier {
    pub distance: u32,
    /// Shuffled by `pick_server` as it draws; the first ones are this gateway's subset.
    pub up: Vec<u64>,
    /// Sum of the servers' ramps, a warm server counting as 1.
    pub warm: f64,
    /// A decaying count of the requests sent.
    pub sent: f64,
    /// When a request was last sent, and `sent` last decayed.
    pub sent_at: Micros,
}

#[derive(Default)]
pub struct Customer {
    pub plan: usize,
    /// Number of gateways that receive its requests, from index `first_gateway` on.
    pub spread: u32,
    pub first_gateway: u32,
    /// Tokens in its bucket.
    pub tokens: f64,
    /// Tokens in the bucket of its ceiling.
    pub ceiling_tokens: f64,
    pub refilled_at: Micros,
    pub units_in_flight: f64,
    pub in_flight: u32,
    /// Queued requests for each fleet.
    pub queues: Vec<Queue>,
    pub sent_at: Micros,
    /// The fraction of the quota used, by meter readings.
    pub used: f64,
    /// The time of the last meter reading.
    pub used_at: Option<Micros>,
}

/// A customer's queued requests for one fleet, and whether it is in the fleet's round robin.
#[derive(Default)]
pub struct Queue {
    pub fleet: usize,
    pub waiting: VecDeque<u64>,
    pub scheduled: bool,
}

pub struct Attempt {
    pub server: u64,
    pub zone: u32,
    pub cell: u32,
    pub sent_at: Micros,
    pub in_flight: bool,
    pub may_have_run: bool,
}

/// A request that was accepted. What its class said at that moment holds to its end: the settings may give the
/// class's number another effect or aim while it waits, is at a server, or is between two attempts.
pub struct Request {
    /// The request as received, its units made finite and not negative.
    pub params: NewRequest,
    pub effect: Effect,
    /// The target latency of its class.
    pub aim_us: Micros,
    /// An answer by `best_by` has its full worth, one after `deadline` none.
    pub best_by: Micros,
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    /// The number of the attempt, from 1, for which `pick_server` last looked for a server.
    /// Only its first try for an attempt may pick a cold server by the ramp.
    pub draws: usize,
    pub queued: bool,
    pub streaming: bool,
    pub done: bool,
}

impl Request {
    /// A request that waits for its first attempt.
    pub fn new(params: NewRequest, class: Class, best_by: Micros, deadline: Micros) -> Request {
        Request {
            params,
            effect: class.effect,
            aim_us: class.aim_us,
            best_by,
            deadline,
            attempts: Vec::new(),
            draws: 0,
            queued: true,
            streaming: false,
            done: false,
        }
    }
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
    /// The end of its cold phase as listed; 0 if none is listed.
    pub listed_cold_until: Micros,
    /// Requests a second that this gateway may send it while it is cold; 0: by the ramp.
    pub cold_rate: f64,
    /// When its rate next allows a request.
    pub token_at: Micros,
    pub in_flight: u32,
    /// Moving average of its latency in microseconds.
    pub latency: f64,
    /// Moving average of the fraction of outcomes that failed.
    pub error_rate: f64,
    pub updated_at: Micros,
}

impl Customer {
    /// The queue for a fleet.
    pub fn queue(&mut self, fleet: usize) -> &mut VecDeque<u64> {
        if !self.queues.iter().any(|q| q.fleet == fleet) {
            self.queues.push(Queue { fleet, ..Queue::default() });
        }
        &mut self.queues.iter_mut().find(|q| q.fleet == fleet).expect("there now").waiting
    }
}
