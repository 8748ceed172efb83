//! The interface of the decision module: what it is set, what it is told, what it answers.
//! Plain data only; times are microseconds on one clock that never runs backwards.

/// A point on the clock, or a length of time, in microseconds.
pub type Micros = u64;

/// What a gateway is told once, at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub balancers: u32,
    /// Number of this gateway among them, from 0.
    pub index: u32,
    pub classes: Vec<Class>,
    pub plans: Vec<Plan>,
    /// The list of servers comes only when asked for.
    pub ask_for_list: bool,
    /// Period over which the meter totals use; 0: no meter.
    pub meter_us: Micros,
    /// A request's units are a guess that its answer corrects.
    pub trued_up: bool,
    /// Smallest gap between two moments at which events are handled.
    pub tick_us: Micros,
    /// Clients tell which of their tries are repeats.
    pub marks_retry: bool,
    pub may_cancel: bool,
    pub retry_after: bool,
    pub max_retry_after_us: Micros,
    pub attempts_cap: u32,
    pub ask_within_us: Micros,
    pub cold_from: f64,
    pub cold_us: Micros,
    pub fall_multiple: f64,
    pub fall_us: Micros,
    /// A gateway that starts counts on one request of a customer's burst: an earlier life may have spent the rest.
    pub starts_empty: bool,
    /// While the meter reads less than this part of a quota used, a customer may use so many units at once at any
    /// gateway; 0: off.
    pub light_use_below: f64,
    pub light_use_burst: f64,
    /// Further attempts for each first one, how many may be saved up, what one after a reset costs; None: as usual.
    pub retry_budget: Option<[f64; 3]>,
    /// Separate fleets of servers, numbered from 0; 0 and 1 both mean one.
    pub services: u32,
}

impl Settings {
    /// Whether these settings make sense; what to do under them is decided elsewhere.
    pub fn check(&self) -> Result<(), SettingsError> {
        let sane = |x: &f64| x.is_finite() && *x >= 0.0;
        let plan_ok = |p: &Plan| {
            [p.rate, p.burst, p.ceiling_rate, p.ceiling_burst, p.over_worth, p.over_cost].iter().all(sane)
        };
        let class_ok = |c: &Class| c.aim_us > 0 && c.deadline_us > 0 && sane(&c.late_worth);
        if self.balancers == 0 || self.index >= self.balancers {
            return Err(SettingsError("this gateway must be one of the gateways"));
        }
        if self.classes.is_empty() || !self.classes.iter().all(class_ok) {
            return Err(SettingsError(
                "there must be classes, each with an aim, a deadline and a late worth",
            ));
        }
        if self.plans.is_empty() || !self.plans.iter().all(plan_ok) {
            return Err(SettingsError("there must be plans, their rates and bursts finite and not negative"));
        }
        if ![self.cold_from, self.fall_multiple].iter().all(sane) {
            return Err(SettingsError("the figures of a cold server must be finite and not negative"));
        }
        Ok(())
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub aim_us: Micros,
    pub deadline_us: Micros,
    /// Part of the worth that an answer past the aim still earns.
    pub late_worth: f64,
    pub effect: Effect,
}

/// How safe a repeat is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Repeatable,
    /// Repeats are dropped by the servers of `group`, for `window_us` from the first send that may have run.
    ByKey {
        group: Group,
        window_us: Micros,
    },
    Once,
}

/// The servers that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// A plan and its quotas, which hold for each customer over all gateways together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Units a second; 0: no such quota.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Attempts out at once; 0: no such quota.
    pub at_once: u32,
    /// Units a second of the hard ceiling; 0: none.
    pub ceiling_rate: f64,
    pub ceiling_burst: f64,
    /// What a request sent on beyond the quota earns, and what sending it costs, as parts of its worth.
    pub over_worth: f64,
    pub over_cost: f64,
}

/// A line of the list of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    pub server: u64,
    pub zone: u32,
    pub cell: u32,
    pub state: State,
    pub weight: f64,
    /// Time of the last start; 0: long ago.
    pub up_since_us: Micros,
    /// The fleet that it belongs to.
    pub service: u32,
    /// How far it is: those of a lower number are tried before those of a higher one.
    pub distance: u32,
    /// The part of its work that is expected through this gateway, as a multiple of the even part.
    pub share: f64,
    /// Requests a second that this gateway may send it while it is cold; 0: as its ramp says.
    pub cold_rate: f64,
    /// Cold until then; 0: for `cold_us` from its start.
    pub cold_until_us: Micros,
}

impl Default for Entry {
    /// A warm server of the first fleet, of which this gateway has an even part.
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as it was last known here, perhaps outdated.
    Saved,
    /// Discovery did not answer, or ended the subscription.
    Failed,
}

/// The ways in which an attempt can end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    /// Turned away unseen.
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    /// Never sent.
    NotSent,
    /// The server says that the request itself is at fault: any other would say the same.
    Rejected,
}

impl Outcome {
    /// The attempt is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A request that a client has sent here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRequest {
    pub id: u64,
    pub class: usize,
    pub plan: usize,
    pub customer: u64,
    /// Time left before the client gives this try up.
    pub left_us: Micros,
    pub units: f64,
    /// Number of gateways that this customer's requests come through, from number `first_gateway` on.
    pub spread: u32,
    pub first_gateway: u32,
    /// The client has tried before, where clients tell.
    pub repeat: bool,
    /// The fleet that it is for.
    pub service: u32,
    /// Zones whose servers it may go to, a bit for each number under 64; 0, like all bits: any server.
    pub zones: u64,
    /// The same for its further attempts.
    pub retry_zones: u64,
    /// Attempts at the most; 0: as many as the settings allow.
    pub max_attempts: u32,
    /// It may go to no server whose `distance` is above this.
    pub max_distance: u32,
    /// The booking under which it came; 0: none.
    pub booking: u32,
}

impl Default for NewRequest {
    /// A request that may go to any server of the first fleet.
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

/// Room of a fleet that is booked, as far as it is this gateway's.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hold {
    /// Its number, above 0.
    pub booking: u32,
    pub service: u32,
    /// While fewer of its requests than this are out here, they go before all others.
    pub priority: u32,
    /// So many of these are left free for them while they are not used.
    pub reserved: u32,
    /// This gateway's part less the even one.
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
    /// The request has ended, by this outcome or before.
    pub closed: bool,
    /// The customer's use by all gateways, as a part of its quota.
    pub used: Option<f64>,
    /// The true units of the request.
    pub final_units: Option<f64>,
}

/// What a gateway is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    List {
        kind: ListKind,
        entries: Vec<Entry>,
    },
    Request(NewRequest),
    /// The answer to a streamed request has begun.
    Started {
        id: u64,
        attempt: u32,
    },
    AttemptEnded(AttemptEnd),
    /// The client has given up.
    Withdrawn {
        id: u64,
    },
    Timer {
        token: u64,
    },
    /// A reading of the meter that comes by itself: the customer's use, as in `AttemptEnd`.
    MeterReading {
        customer: u64,
        used: f64,
    },
}

/// What a gateway does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        id: u64,
        server: u64,
        timeout_us: Micros,
    },
    /// Final answer: not done, trying again is harmless.
    Refuse {
        id: u64,
        retry_after_us: Micros,
        /// Its customer has asked for more than its quota.
        over_quota: bool,
    },
    /// Final answer that promises nothing.
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

/// Settings that make no sense, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings make no sense: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
