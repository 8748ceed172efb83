//! The agreed state and the commands that change it.

use crate::booking::{BookChange, Booked, Bookings, Phase, Unbooked};
use crate::drill::{DrillChange, Drills};
use crate::orders::{self, Changes, Subjects, Taken};
use crate::rollout::{Declined, Role, RolloutChange, Rollouts};
use crate::{Micros, Rev};
use serde::{Deserialize, Serialize};
use settings::config::{Config, show_version};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// The forms of a state on disk and between processes. A newer one is refused. One that has nothing of what came later is
/// written in the first form, so that it costs no byte more.
pub const FORMAT: u32 = 4;
const FIRST: u32 = 1;
const SECOND: u32 = 2;
const THIRD: u32 = 3;
/// How long it is written down that a zone has come back: servers are cold for seconds.
const RETURNED_US: Micros = 600_000_000;
/// Servers that have left are remembered, so that a late call of theirs does not bring them back.
const MOST_GONE: usize = 2048;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    Configure(Change),
    /// A zone's servers get nothing more, or again something.
    Evacuate {
        zone: String,
        on: bool,
    },
    Servers(Vec<ServerChange>),
    Nodes(Vec<NodeChange>),
    Book(BookChange),
    Drill(DrillChange),
    /// An order as a registry took it whose copy had come to `seen`: without effect if what it is about was changed after
    /// that, for then it is a late copy, or its operator could not know. Operators' orders are fenced twice; see
    /// [`Command::fenced`].
    Fenced {
        seen: Rev,
        order: Box<Command>,
    },
    Rollout(RolloutChange),
}

impl Command {
    /// An operator's order as a registry proposes it whose copy had come to `seen`. The second fence says that the order
    /// counts as its subject's last one whenever it is acknowledged, not only when it changes something. Logs of programs
    /// that wrote one fence keep their meaning, and those programs read two as one.
    pub fn fenced(seen: Rev, order: Command) -> Command {
        let once = Command::Fenced { seen, order: Box::new(order) };
        Command::Fenced { seen, order: Box::new(once) }
    }

    /// About what it takes on a link; more than that for those that are not configurations.
    pub fn size(&self) -> usize {
        16 + match self {
            Command::Configure(change) => change.body.len(),
            Command::Evacuate { zone, .. } => zone.len(),
            Command::Servers(changes) => 120 * changes.len(),
            Command::Nodes(changes) => 120 * changes.len(),
            Command::Book(_) => 512,
            Command::Drill(_) => 1024,
            Command::Fenced { order, .. } => order.size(),
            Command::Rollout(_) => 512,
        }
    }
}

/// A configuration as an operator sent it: whole, or the items that change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version that it builds on; 0: none.
    pub base: u32,
    pub patch: bool,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServerChange {
    Up(Server),
    Draining {
        id: String,
    },
    /// Cold (again) for so long.
    Cold {
        id: String,
        left_ms: u32,
    },
    /// `said`: by the server itself, so for good; else it was not heard of, and may be again.
    Gone {
        id: String,
        said: bool,
    },
    /// The version of the software that a server runs; it follows the server's `Up`.
    Runs {
        id: String,
        version: String,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub draining: bool,
    /// How long it stays cold, from when this was noted.
    pub cold_ms: u32,
    /// When this process learned that, on its own clock.
    #[serde(skip)]
    pub noted_at: Micros,
}

/// A heartbeat that says that a server stays cold for longer by up to this is not recorded: it may have been delayed.
pub const COLD_TOLERANCE_US: Micros = 100_000;

impl Server {
    /// When it is warm by the report that is recorded; 0: it was not reported as cold.
    pub fn cold_until(&self) -> Micros {
        if self.cold_ms == 0 { 0 } else { self.noted_at + Micros::from(self.cold_ms) * 1000 }
    }

    /// When it is warm by the latest report that may have come since and was not recorded.
    pub fn cold_until_at_most(&self) -> Micros {
        if self.cold_ms == 0 { 0 } else { self.cold_until() + COLD_TOLERANCE_US }
    }

    /// Whether a report at `now` that it stays cold for `left_ms` is to be recorded.
    pub fn is_colder(&self, now: Micros, left_ms: u32) -> bool {
        left_ms > 0 && now + Micros::from(left_ms) * 1000 > self.cold_until_at_most()
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeChange {
    Up(Node),
    Gone { ip: Ipv4Addr },
}

/// A proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    pub ip: Ipv4Addr,
    pub name: String,
    pub zone: String,
    pub region: String,
    /// Where clients reach it.
    pub front: SocketAddr,
}

/// After which orders a fence moves on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Records {
    /// Those that change something, in logs of earlier programs.
    Changes,
    /// All that are acknowledged.
    Acknowledged,
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Done {
    /// It holds, or held already.
    Taken,
    /// Another version is current.
    Conflict {
        current: u32,
    },
    /// It can never be taken; why.
    Invalid(String),
    Unbooked(Unbooked),
    /// Nothing became of it, as something newer was ordered meanwhile: whether an earlier copy of it was taken is not said.
    Overtaken,
    /// It builds on a version before this one, older than what is remembered: perhaps it was taken.
    Forgotten {
        from: u32,
    },
    Declined(Declined),
}

#[derive(Clone, Debug, Default)]
pub struct State {
    pub rev: Rev,
    pub config: Option<Arc<Config>>,
    /// The calls that were taken.
    pub changes: Changes,
    pub subjects: Subjects,
    pub evacuated: BTreeSet<String>,
    /// Zones whose evacuation was taken back, and when this process learned it: their servers may be cold.
    pub returned: BTreeMap<String, Micros>,
    pub servers: BTreeMap<String, Server>,
    /// The version of the software of each server that tells it.
    pub versions: BTreeMap<String, String>,
    gone: VecDeque<String>,
    pub nodes: BTreeMap<Ipv4Addr, Node>,
    pub bookings: Bookings,
    pub drills: Drills,
    pub rollouts: Rollouts,
}

/// A state as it is written down.
#[derive(Serialize, Deserialize)]
struct Written {
    format: u32,
    rev: Rev,
    config: Option<Vec<u8>>,
    taken: Vec<(u32, u64)>,
    evacuated: Vec<String>,
    servers: Vec<Server>,
    gone: Vec<String>,
    nodes: Vec<Node>,
}

/// What follows it from the second form on.
#[derive(Default, Serialize, Deserialize)]
struct Later {
    bookings: Vec<Booked>,
    drills: Drills,
}

/// What follows that from the third form on: zones whose evacuation was taken back, and how many ms ago.
#[derive(Default, Serialize, Deserialize)]
struct Returned(Vec<(String, u32)>);

/// What follows that from the fourth form on.
#[derive(Default, Serialize, Deserialize)]
struct Versions {
    /// Of the servers, in their order.
    versions: Vec<Option<String>>,
    rollouts: Rollouts,
}

impl State {
    pub fn version(&self) -> u32 {
        self.config.as_ref().map_or(0, |c| c.version)
    }

    /// Whether this change could be taken now; what `apply` would say of it.
    pub fn consider(&self, change: &Change) -> Result<Option<Config>, Done> {
        let wanted = || Config::version_in(&change.body);
        match self.changes.find(change.base, orders::fingerprint(change), wanted) {
            Taken::Yes => return Ok(None),
            Taken::Perhaps => {
                // What is invalid at any version was never taken.
                if !change.patch {
                    Config::read(&change.body).map_err(|e| Done::Invalid(e.to_string()))?;
                }
                return Err(Done::Forgotten { from: self.changes.from() });
            }
            Taken::No => {}
        }
        let made = match (&self.config, change.patch) {
            (_, false) => Config::read(&change.body),
            (Some(config), true) if config.version == change.base => config.patch(&change.body),
            (_, true) => return Err(Done::Conflict { current: self.version() }),
        };
        let made = made.map_err(|e| Done::Invalid(e.to_string()))?;
        if change.base != self.version() {
            return Err(Done::Conflict { current: self.version() });
        }
        if made.version <= change.base {
            let why = format!(
                "config_version: {} is not above the current one, {}",
                show_version(made.version),
                show_version(self.version())
            );
            return Err(Done::Invalid(why));
        }
        Ok(Some(made))
    }

    /// Carries out the command at `rev`. Commands at or below the state's own are passed over.
    pub fn apply(&mut self, now: Micros, rev: Rev, command: &Command) -> Done {
        if rev <= self.rev {
            return Done::Taken;
        }
        self.rev = rev;
        self.order(now, rev, command)
    }

    fn order(&mut self, now: Micros, rev: Rev, command: &Command) -> Done {
        match command {
            Command::Fenced { seen, order } => {
                let (order, records) = match &**order {
                    Command::Fenced { order, .. } => (order, Records::Acknowledged),
                    _ => (order, Records::Changes),
                };
                let done = self.fenced(now, rev, *seen, order, records);
                log::info!("revision {rev}: {order}, as of {seen}: {done:?}");
                done
            }
            Command::Configure(change) => match self.consider(change) {
                Ok(None) => Done::Taken,
                Ok(Some(config)) => {
                    self.changes.take(config.version, orders::fingerprint(change));
                    self.config = Some(Arc::new(config));
                    Done::Taken
                }
                Err(done) => done,
            },
            Command::Evacuate { zone, on } => {
                if *on {
                    self.evacuated.insert(zone.clone());
                    self.returned.remove(zone);
                } else if self.evacuated.remove(zone) {
                    self.returned.insert(zone.clone(), now);
                }
                Done::Taken
            }
            Command::Servers(changes) => {
                changes.iter().for_each(|c| self.server(now, c));
                Done::Taken
            }
            Command::Nodes(changes) => {
                for change in changes {
                    match change {
                        NodeChange::Up(node) => {
                            self.nodes.insert(node.ip, node.clone());
                        }
                        NodeChange::Gone { ip } => {
                            self.nodes.remove(ip);
                            self.bookings.lost(*ip);
                        }
                    }
                }
                Done::Taken
            }
            Command::Book(change) => match self.bookings.apply(now, change) {
                Ok(()) => Done::Taken,
                Err(why) => Done::Unbooked(why),
            },
            Command::Drill(change) => match self.drills.apply(rev, change, self.config.as_deref()) {
                Ok(()) => Done::Taken,
                Err(why) => Done::Invalid(why),
            },
            Command::Rollout(change) => match self.rollout(now, rev, change) {
                Ok(()) => Done::Taken,
                Err(why) => Done::Declined(why),
            },
        }
    }

    fn rollout(&mut self, now: Micros, rev: Rev, change: &RolloutChange) -> Result<(), Declined> {
        let service = match change {
            RolloutChange::Start { order, .. } => &order.service,
            RolloutChange::Advance { service, .. } | RolloutChange::Stop { service } => service,
        };
        let known = self.config.iter().flat_map(|c| &c.services).any(|s| s.name == *service);
        if matches!(change, RolloutChange::Start { .. }) && !known {
            return Err(Declined::NoService);
        }
        let servers = self.servers.values().filter(|s| s.service == *service);
        let versions: BTreeSet<Option<String>> = servers.map(|s| self.versions.get(&s.id).cloned()).collect();
        self.rollouts.apply(now, rev, change, &versions)
    }

    /// What the rollouts make of a server.
    pub fn role(&self, server: &Server) -> Role {
        self.rollouts.role(&server.service, self.versions.get(&server.id).map(String::as_str))
    }

    /// An order that holds already is acknowledged, also one that comes late.
    fn fenced(&mut self, now: Micros, rev: Rev, seen: Rev, order: &Command, records: Records) -> Done {
        let Some(subject) = orders::subject(order) else { return self.order(now, rev, order) };
        let mut call = None;
        // Whether it holds already, and whether what is known of its subject decides without the fence.
        let (holds, decides) = match order {
            Command::Evacuate { zone, on } => (self.evacuated.contains(zone) == *on, false),
            Command::Book(BookChange::Put { booking, base, room }) => {
                let fingerprint = orders::booking_fingerprint(booking, *base);
                call = Some(fingerprint);
                let known = self.bookings.get(&booking.name);
                let took = self.subjects.took(&subject, fingerprint);
                let holds = known.is_some_and(|k| (k.booking == *booking && !k.cancelled) || took);
                let decides = match records {
                    Records::Changes => known.is_some(),
                    Records::Acknowledged => self.bookings.consider(booking, *base, *room).is_err(),
                };
                (holds, decides)
            }
            Command::Book(BookChange::Cancel { name }) => {
                (self.bookings.get(name).is_some_and(|b| b.phase >= Phase::Closing), false)
            }
            Command::Drill(DrillChange::Start(drill)) => {
                let known = self.drills.0.get(&drill.name);
                (known.is_some_and(|h| h.drill == **drill), known.is_some())
            }
            Command::Drill(DrillChange::Stop { name, .. }) => {
                (self.drills.0.get(name).is_some_and(|h| h.ended.is_some()), false)
            }
            Command::Rollout(RolloutChange::Start { order, after }) => {
                (self.rollouts.holds(order, *after), self.rollouts.running_of(&order.service).is_some())
            }
            Command::Rollout(RolloutChange::Stop { service }) => {
                (self.rollouts.running_of(service).is_none(), false)
            }
            _ => (false, true),
        };
        if holds {
            if records == Records::Acknowledged {
                self.subjects.change(&subject, rev, None);
            }
            return Done::Taken;
        }
        if !decides && self.subjects.changed_after(&subject, seen) {
            return Done::Overtaken;
        }
        let done = self.order(now, rev, order);
        if done == Done::Taken {
            self.subjects.change(&subject, rev, call);
        }
        done
    }

    fn server(&mut self, now: Micros, change: &ServerChange) {
        match change {
            ServerChange::Up(server) => {
                if self.has_gone(&server.id) {
                    return;
                }
                // An address belongs to whoever came last: an older life there has ended, told or not.
                let others = self.servers.values().filter(|s| s.addr == server.addr && s.id != server.id);
                let old: Vec<String> = others.map(|s| s.id.clone()).collect();
                old.iter().for_each(|id| self.forget(id));
                let draining = self.servers.get(&server.id).is_some_and(|s| s.draining);
                let server =
                    Server { draining: draining || server.draining, noted_at: now, ..server.clone() };
                self.servers.insert(server.id.clone(), server);
            }
            ServerChange::Draining { id } => {
                if let Some(s) = self.servers.get_mut(id) {
                    s.draining = true;
                }
            }
            ServerChange::Cold { id, left_ms } => {
                if let Some(s) = self.servers.get_mut(id) {
                    (s.cold_ms, s.noted_at) = (*left_ms, now);
                }
            }
            ServerChange::Gone { id, said: true } => self.forget(id),
            ServerChange::Gone { id, said: false } => {
                self.servers.remove(id);
                self.versions.remove(id);
            }
            ServerChange::Runs { id, version } => {
                if self.servers.contains_key(id) {
                    self.versions.insert(id.clone(), version.clone());
                }
            }
        }
    }

    fn forget(&mut self, id: &str) {
        self.servers.remove(id);
        self.versions.remove(id);
        if !self.has_gone(id) {
            self.gone.push_back(id.to_string());
            if self.gone.len() > MOST_GONE {
                self.gone.pop_front();
            }
        }
    }

    /// It has left for good.
    pub fn has_gone(&self, id: &str) -> bool {
        self.gone.iter().any(|g| g == id)
    }

    /// The state as bytes, for a disk or another process.
    pub fn write(&self, now: Micros) -> Vec<u8> {
        self.written(now, true)
    }

    /// The state for a process that answers no operator: without the calls that were taken, which change nothing more.
    pub fn write_without_calls(&self, now: Micros) -> Vec<u8> {
        self.written(now, false)
    }

    fn written(&self, now: Micros, with_calls: bool) -> Vec<u8> {
        let left = |s: &Server| {
            let ms = s.cold_until().saturating_sub(now).div_ceil(1000);
            Server { cold_ms: u32::try_from(ms).unwrap_or(u32::MAX), ..s.clone() }
        };
        let later = Later { bookings: self.bookings.written(now), drills: self.drills.clone() };
        let ago = |at: &Micros| now.saturating_sub(*at);
        let lately = self.returned.iter().filter(|(_, at)| ago(at) < RETURNED_US);
        let returned = Returned(lately.map(|(zone, at)| (zone.clone(), (ago(at) / 1000) as u32)).collect());
        let plain = later.bookings.is_empty() && later.drills.0.is_empty();
        let calls_fit = !with_calls || self.changes.plain();
        let versioned = !self.versions.is_empty() || !self.rollouts.is_empty();
        let older = calls_fit && self.subjects.is_empty() && returned.0.is_empty() && !versioned;
        let written = Written {
            format: if versioned {
                FORMAT
            } else if !older {
                THIRD
            } else if plain {
                FIRST
            } else {
                SECOND
            },
            rev: self.rev,
            config: self.config.as_ref().map(|c| c.write().into_bytes()),
            taken: if with_calls { self.changes.written() } else { Vec::new() },
            evacuated: self.evacuated.iter().cloned().collect(),
            servers: self.servers.values().map(left).collect(),
            gone: self.gone.iter().cloned().collect(),
            nodes: self.nodes.values().cloned().collect(),
        };
        let mut bytes = postcard::to_stdvec(&written).expect("plain data");
        if !plain || !older {
            bytes.extend(postcard::to_stdvec(&later).expect("plain data"));
        }
        if !older {
            let without = Changes::of_old(Vec::new(), self.version());
            let changes = if with_calls { &self.changes } else { &without };
            let orders = orders::Written::of(changes, &self.subjects);
            bytes.extend(postcard::to_stdvec(&(orders, returned)).expect("plain data"));
        }
        if versioned {
            let versions = self.servers.keys().map(|id| self.versions.get(id).cloned()).collect();
            let versions = Versions { versions, rollouts: self.rollouts.written(now) };
            bytes.extend(postcard::to_stdvec(&versions).expect("plain data"));
        }
        bytes
    }

    pub fn read(now: Micros, bytes: &[u8]) -> Result<State, String> {
        // The form comes first, so that a newer one is told from a broken one.
        let format: u32 = postcard::take_from_bytes(bytes).map_err(|e| format!("state: {e}"))?.0;
        if !(FIRST..=FORMAT).contains(&format) {
            return Err(format!("state in form {format}: this program reads forms up to {FORMAT}"));
        }
        let (w, rest) = postcard::take_from_bytes::<Written>(bytes).map_err(|e| format!("state: {e}"))?;
        let (later, rest) = match format {
            FIRST => (Later::default(), rest),
            _ => postcard::take_from_bytes(rest).map_err(|e| format!("state: {e}"))?,
        };
        let since = |ms: u32| now.saturating_sub(Micros::from(ms) * 1000);
        let config = match w.config {
            Some(bytes) => {
                Some(Arc::new(Config::read(&bytes).map_err(|e| format!("state: its configuration: {e}"))?))
            }
            None => None,
        };
        let version = config.as_ref().map_or(0, |c: &Arc<Config>| c.version);
        let (((changes, subjects), Returned(returned)), rest) = match format {
            FIRST | SECOND => {
                let orders = (Changes::of_old(w.taken, version), Subjects::default());
                ((orders, Returned::default()), rest)
            }
            _ => {
                let read = postcard::take_from_bytes::<(orders::Written, Returned)>(rest);
                let ((orders, returned), rest) = read.map_err(|e| format!("state: {e}"))?;
                ((orders.read(w.taken), returned), rest)
            }
        };
        let Versions { versions, rollouts } = match format {
            FIRST..=THIRD => Versions::default(),
            _ => postcard::from_bytes(rest).map_err(|e| format!("state: {e}"))?,
        };
        let ids = w.servers.iter().map(|s| s.id.clone());
        let versions = ids.zip(versions).filter_map(|(id, version)| Some((id, version?))).collect();
        let servers = w.servers.into_iter().map(|s| (s.id.clone(), Server { noted_at: now, ..s })).collect();
        Ok(State {
            rev: w.rev,
            config,
            changes,
            subjects,
            evacuated: w.evacuated.into_iter().collect(),
            returned: returned.into_iter().map(|(zone, ms)| (zone, since(ms))).collect(),
            servers,
            versions,
            gone: w.gone.into(),
            nodes: w.nodes.into_iter().map(|n| (n.ip, n)).collect(),
            bookings: Bookings::read(now, later.bookings),
            drills: later.drills,
            rollouts: rollouts.read(now),
        })
    }
}
