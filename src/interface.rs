//! The interface of the decision module: its settings, the events that it handles and the actions that it returns.
//! Plain data only; times are microseconds on one clock that never runs backwards.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Settings of a gateway, given at its start; `Decider::reconfigure` replaces them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of gateways.
    pub balancers: u32,
    /// Index of this gateway among them, from 0.
    pub index: u32,
    pub classes: Vec<Class>,
    pub plans: Vec<Plan>,
    /// The list of servers comes only after a subscription (`Action::Watch`).
    pub ask_for_list: bool,
    /// Period over which the meter sums up use; 0: no meter.
    pub meter_us: Micros,
    /// A request's units are an estimate that its answer corrects.
    pub trued_up: bool,
    /// Smallest interval between two times at which events are handled.
    pub tick_us: Micros,
    /// Clients mark their retries (`NewRequest::repeat`).
    pub marks_retry: bool,
    /// Attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// Refusals tell the client when to try again.
    pub retry_after: bool,
    pub max_retry_after_us: Micros,
    /// Most attempts for one request, unless it has a bound of its own.
    pub attempts_cap: u32,
    /// Time after which a gateway counts as informed of a change of the list.
    pub ask_within_us: Micros,
    /// Slow start: the fraction of a warm server's load that one which has just started can take.
    pub cold_from: f64,
    /// Slow start: how long a server is cold after its start.
    pub cold_us: Micros,
    /// A cold server fails above this multiple of the load that it can take.
    pub fall_multiple: f64,
    /// How long it takes to fail above that; no decision depends on it.
    pub fall_us: Micros,
    /// A starting gateway has one request of a customer's burst: it may have spent the rest before a restart.
    pub starts_empty: bool,
    /// While the meter reads less than this fraction of a quota used, a customer has a burst of at least
    /// `light_use_burst` units at each gateway; 0: off.
    pub light_use_below: f64,
    pub light_use_burst: f64,
    /// Retry budget: tokens per first attempt, most tokens saved, cost of a retry after a reset; None: the default.
    pub retry_budget: Option<[f64; 3]>,
    /// Number of services, each with its own fleet of servers; 0 and 1 both mean one.
    pub services: u32,
}

impl Settings {
    /// Checks that the settings are valid.
    pub fn check(&self) -> Result<(), SettingsError> {
        let valid = |x: &f64| x.is_finite() && *x >= 0.0;
        let plan_ok = |p: &Plan| {
            [p.rate, p.burst, p.ceiling_rate, p.ceiling_burst, p.over_worth, p.over_cost].iter().all(valid)
        };
        let class_ok = |c: &Class| c.aim_us > 0 && c.deadline_us > 0 && valid(&c.late_worth);
        if self.balancers == 0 || self.index >= self.balancers {
            return Err(SettingsError("index must be less than the number of gateways"));
        }
        if self.classes.is_empty() || !self.classes.iter().all(class_ok) {
            return Err(SettingsError(
                "there must be classes, each with an aim and a deadline above 0 and a finite late worth of 0 or more",
            ));
        }
        if self.plans.is_empty() || !self.plans.iter().all(plan_ok) {
            return Err(SettingsError(
                "there must be plans, with finite rates, bursts, worths and costs of 0 or more",
            ));
        }
        if ![self.cold_from, self.fall_multiple].iter().all(valid) {
            return Err(SettingsError(
                "the cold start fraction and the fall multiple must be finite and 0 or more",
            ));
        }
        Ok(())
    }
}

/// A class of requests. A request is handled to its end by what its class said when it was accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Target latency: an answer within it has its full worth.
    pub aim_us: Micros,
    /// Time that a client gives a request, all its tries included.
    pub deadline_us: Micros,
    /// Fraction of its worth that an answer after the aim still has.
    pub late_worth: f64,
    pub effect: Effect,
}

/// Whether a request may safely run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may run any number of times.
    Repeatable,
    /// The servers of `group` drop repeats, for `window_us` from the first attempt that may have run.
    ByKey { group: Group, window_us: Micros },
    /// It must not run twice.
    Once,
}

/// Which servers share the keys by which repeats are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// A plan and its quotas, which apply per customer, over all gateways together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Units per second; 0: no rate quota.
    pub rate: f64,
    /// Depth of the token bucket, in units.
    pub burst: f64,
    /// Most attempts in flight; 0: no limit.
    pub at_once: u32,
    /// Units per second of the hard ceiling; 0: none.
    pub ceiling_rate: f64,
    pub ceiling_burst: f64,
    /// What a request sent beyond the quota earns, and what sending it costs, as fractions of its worth.
    pub over_worth: f64,
    pub over_cost: f64,
}

/// An entry of the list of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    pub server: u64,
    pub zone: u32,
    pub cell: u32,
    pub state: State,
    pub weight: f64,
    /// Time of the last start; 0: long ago.
    pub up_since_us: Micros,
    /// The service that it belongs to.
    pub service: u32,
    /// Servers with a lower distance are preferred.
    pub distance: u32,
    /// The share of its load expected from this gateway, as a multiple of the even share.
    pub share: f64,
    /// Requests per second that this gateway may send it while it is cold; 0: by the slow-start ramp.
    pub cold_rate: f64,
    /// End of its cold phase; 0: `cold_us` after its start.
    pub cold_until_us: Micros,
}

impl Default for Entry {
    /// A warm server of the first service, of which this gateway has an even share.
    fn default() -> Entry {
        Entry {
            server: 0,
            zone: 0,
            cell: 0,
            state: State::Up,
            weight: 1.0,
            up_since_us: 0,
            service: 0,
            distance: 0,
            share: 1.0,
            cold_rate: 0.0,
            cold_until_us: 0,
        }
    }
}

/// The state of a server on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    /// Takes no new requests.
    Draining,
    Gone,
}

/// What an update of the list of servers contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as last saved here, possibly outdated.
    Saved,
    /// Discovery did not answer or ended the subscription; there are no entries.
    Failed,
}

/// The ways in which an attempt can end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    /// The server was full and did not run it.
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    /// Never sent.
    NotSent,
    /// The server rejected the request as invalid; any other server would too.
    Rejected,
}

impl Outcome {
    /// Whether the attempt certainly did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A request from a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRequest {
    pub id: u64,
    pub class: usize,
    pub plan: usize,
    pub customer: u64,
    /// Time until the client gives up this try.
    pub left_us: Micros,
    pub units: f64,
    /// Number of gateways that receive this customer's requests, from index `first_gateway` on.
    pub spread: u32,
    pub first_gateway: u32,
    /// The client marks this as a retry (only with `Settings::marks_retry`).
    pub repeat: bool,
    /// The service that it is for.
    pub service: u32,
    /// Bit set of the zones, numbered below 64, whose servers it may go to; 0 or all bits: any server.
    pub zones: u64,
    /// The same for its retries.
    pub retry_zones: u64,
    /// Most attempts; 0: `Settings::attempts_cap`.
    pub max_attempts: u32,
    /// Largest distance of a server that it may go to.
    pub max_distance: u32,
    /// The booking that it belongs to; 0: none.
    pub booking: u32,
}

impl Default for NewRequest {
    /// A request that may go to any server of the first service.
    fn default() -> NewRequest {
        NewRequest {
            id: 0,
            class: 0,
            plan: 0,
            customer: 0,
            left_us: 0,
            units: 1.0,
            spread: 1,
            first_gateway: 0,
            repeat: false,
            service: 0,
            zones: u64::MAX,
            retry_zones: u64::MAX,
            max_attempts: 0,
            max_distance: u32::MAX,
            booking: 0,
        }
    }
}

/// This gateway's share of the capacity of a fleet that a booking holds, in attempts in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hold {
    /// Number of the booking, above 0.
    pub booking: u32,
    pub service: u32,
    /// While fewer of its requests than this are in flight here, they go before all others.
    pub priority: u32,
    /// How many of these are kept free for them while unused.
    pub reserved: u32,
    /// Capacity that the booking moves to this gateway from others: its share less the even share.
    pub moved: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    pub id: u64,
    pub attempt: u32,
    pub server: u64,
    pub outcome: Outcome,
    pub latency_us: Micros,
    /// The request has ended, with this attempt or before.
    pub closed: bool,
    /// Meter reading: the customer's use over all gateways, as a fraction of its quota.
    pub used: Option<f64>,
    /// The actual units of the request.
    pub final_units: Option<f64>,
}

/// An event for the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    List {
        kind: ListKind,
        entries: Vec<Entry>,
    },
    Request(NewRequest),
    /// The answer to a request has begun to stream to the client.
    Started {
        id: u64,
        attempt: u32,
    },
    AttemptEnded(AttemptEnd),
    /// The client has given up the request.
    Withdrawn {
        id: u64,
    },
    Timer {
        token: u64,
    },
    /// A meter reading that comes without an answer; `used` as in `AttemptEnd`.
    MeterReading {
        customer: u64,
        used: f64,
    },
}

/// An action for the gateway to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        id: u64,
        server: u64,
        timeout_us: Micros,
    },
    /// Final answer: not served, and safe to try again.
    Refuse {
        id: u64,
        retry_after_us: Micros,
        /// The customer is over its quota.
        over_quota: bool,
    },
    /// Final answer: not served, and it may or may not have run.
    Fail {
        id: u64,
    },
    Cancel {
        id: u64,
        attempt: u32,
    },
    /// Subscribe to the list of servers.
    Watch,
    Timer {
        at_us: Micros,
        token: u64,
    },
}

/// Invalid settings, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings make no sense: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
