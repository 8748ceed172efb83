//! The registry as a state machine: calls of servers, operators and clients, links to its store, to the other
//! registries and to the proxies come in; answers and messages go out. No I/O, no clock.

mod booking;
mod rollout;

use crate::bookings::{Clocks, Duty};
use crate::calls::{self, Answer, Request};
use crate::drills::Leases;
use crate::meter::Meter;
use crate::presence::Presence;
use crate::rollouts::Tallies;
use crate::show::View;
use cluster::copy::{Copy, Took};
use cluster::drill::{DrillChange, Rows, Said};
use cluster::follow::Followers;
use cluster::rollout::Tally;
use cluster::state::{Change, Command, Done, Node, NodeChange, Server, ServerChange};
use cluster::talk::{
    Age, Down, FRESH_US, FromStore, Gossip, Head, News, Reading, Seen, Standing, ToStore, Unsure, Up, Usage,
};
use cluster::{Micros, Rev};
use settings::api::{self, Beat, Call};
use settings::config::if_match;
use settings::drill::{Drill, Fault};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// What this registry is told at its start.
#[derive(Clone, Debug)]
pub struct Terms {
    pub me: Ipv4Addr,
    pub zone: String,
    /// Zones and their regions.
    pub zones: BTreeMap<String, String>,
    /// How often servers call.
    pub beat_us: Micros,
    /// The longest time that a directory's answer may be kept.
    pub ttl_s: f64,
    /// Longest time a lost machine may need to catch up, before it is written off.
    pub sync_us: Micros,
    /// Within so long every proxy in touch has taken up what was agreed.
    pub settle_us: Micros,
    /// How many zones may be lost at one time.
    pub zones_lost: usize,
    /// For so long an operator repeats an order that was not answered.
    pub repeat_us: Micros,
}

pub use rollout::REPEAT_US;

pub enum Input {
    Tick,
    Call(u64, Request),
    CallGone(u64),
    Store(FromStore),
    StoreDown,
    StoreUp,
    Peer(Gossip),
    Proxy(u64, Up),
    ProxyDown(u64),
}

#[derive(Debug)]
pub enum Output {
    Answer(u64, Answer),
    Store(ToStore),
    Peer(Ipv4Addr, Gossip),
    Proxy(u64, Down),
}

/// Beats between two messages of the registry's own, as a part of the servers' beat.
const PARTS: Micros = 3;
/// Reports of tenants' use are gathered for so long before the proxies are told the sum.
const METER_US: Micros = 60_000;
/// For each proxy, where there are many: each round goes to all of them.
const METER_EACH_US: Micros = 4_000;
/// Between two questions to the store of how it stands.
const ASK_US: Micros = 250_000;
/// A call's caller moves on after a second of silence.
const CALL_US: Micros = 900_000;
/// A server is written off after so many beats unheard, a proxy after so many times the catching up.
const BEATS_GONE: Micros = 4;
const SYNCS_GONE: Micros = 5;
/// Told to callers that are to go on elsewhere at once.
const CUT_OFF: &str = "this machine does not hear the majority";
/// Another registry's time of day counts for so many beats.
const CLOCK_BEATS: Micros = 2;

/// What waits for its command to come back, or for the state to have come far enough.
enum Wait {
    /// A server's call: answered once the change of this number, or a later one, is in the state.
    Batch(u64),
    /// An operator's.
    Command { ticket: u64, at: Option<Rev>, done: Option<Done> },
    /// The configuration is read once the state has come so far.
    Read { ticket: u64, at: Option<Rev> },
    /// So are the rollouts.
    Rollouts { ticket: u64, at: Option<Rev>, shown: rollout::Shown },
}

struct Waiting {
    until: Micros,
    wait: Wait,
}

pub struct Board {
    terms: Terms,
    now: Micros,
    pub copy: Copy,
    store_up: bool,
    core: Vec<Ipv4Addr>,
    /// Where the core's machines are, as far as they have said.
    places: BTreeMap<Ipv4Addr, String>,
    /// Until when this registry may speak for what is agreed, if its store says nothing more; and since when it may
    /// without a break.
    fresh_until: Micros,
    fresh_since: Micros,
    /// The store is asked again.
    ask_at: Micros,
    leads: bool,
    leads_since: Micros,
    /// The store's term: the fencing token of all that is done beside the leader.
    term: u64,
    /// Its ticket, and when it was sent; where the last of these landed.
    under_way_duty: Option<(u64, Micros)>,
    duty_landed: Rev,
    pub presence: Presence,
    meter: Meter,
    /// Readings go out ahead of time, as a proxy has reported ahead of time.
    meter_at: Micros,
    /// The last readings and when they were made, if they tell how things stand.
    readings: Option<(Micros, Vec<Reading>)>,
    /// Links of followers that have not been told any.
    unread: BTreeSet<u64>,
    followers: Followers,
    /// The greatest that was told of each region.
    heads: BTreeMap<String, Head>,
    waiting: BTreeMap<u64, Waiting>,
    tickets: u64,
    /// Changes of servers and proxies on their way into the log: those gathered for the next command, its number, and
    /// the command under way (its ticket, when it was sent).
    servers: Vec<ServerChange>,
    nodes: Vec<NodeChange>,
    /// Those of proxies that were sent, until the state has them or they are lost.
    nodes_under_way: Vec<NodeChange>,
    batch: u64,
    under_way: Option<(u64, Micros)>,
    /// Numbers of the batches that are done, up to this one; the revision at which it is in the state.
    landed: u64,
    landed_at: Rev,
    next_round: Micros,
    leases: Leases,
    /// Drills that were asked for here, and when each would end.
    asked: Vec<(Drill, Micros)>,
    /// What proxies said of drills, for the next command.
    rows: Vec<Rows>,
    clocks: Clocks,
    duty: Duty,
    under_way_booked: booking::UnderWay,
    /// What proxies counted of rollouts.
    tallies: Tallies,
}

impl Board {
    pub fn new(terms: Terms, now: Micros) -> Board {
        Board {
            now,
            copy: Copy::default(),
            store_up: false,
            core: Vec::new(),
            places: BTreeMap::from([(terms.me, terms.zone.clone())]),
            fresh_until: 0,
            fresh_since: now,
            ask_at: now,
            leads: false,
            leads_since: now,
            term: 0,
            under_way_duty: None,
            duty_landed: 0,
            presence: Presence::new(now, terms.beat_us),
            meter: Meter::new(terms.beat_us / PARTS),
            meter_at: Micros::MAX,
            readings: None,
            unread: BTreeSet::new(),
            followers: Followers::default(),
            heads: BTreeMap::new(),
            waiting: BTreeMap::new(),
            tickets: 0,
            servers: Vec::new(),
            nodes: Vec::new(),
            nodes_under_way: Vec::new(),
            batch: 1,
            under_way: None,
            landed: 0,
            landed_at: 0,
            next_round: now,
            leases: Leases::default(),
            asked: Vec::new(),
            rows: Vec::new(),
            clocks: Clocks::new(CLOCK_BEATS * terms.beat_us),
            duty: Duty::new(terms.beat_us, terms.settle_us),
            under_way_booked: Default::default(),
            tallies: Tallies::default(),
            terms,
        }
    }

    /// When it wants to be called again, whatever comes.
    pub fn wake_at(&self) -> Micros {
        let calls = self.waiting.values().map(|w| w.until).min();
        let ask = if self.store_up { self.ask_at } else { Micros::MAX };
        calls.unwrap_or(Micros::MAX).min(self.next_round).min(self.meter_at).min(ask)
    }

    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Tick => {}
            Input::Call(id, request) => self.call(id, &request, out),
            Input::CallGone(id) => {
                self.waiting.remove(&id);
            }
            Input::Store(message) => self.store(message, out),
            Input::StoreUp => {
                (self.store_up, self.ask_at) = (true, self.now);
                out.push(Output::Store(ToStore::Follow { rev: self.copy.rev() }));
            }
            Input::StoreDown => {
                (self.store_up, self.fresh_until, self.leads) = (false, 0, false);
                (self.under_way, self.under_way_duty) = (None, None);
                self.forget_booked();
                // What was under way may be lost: it is gathered anew as its callers come again.
                let unsure: Vec<u64> = self.waiting.keys().copied().collect();
                for id in unsure {
                    self.answer(id, Answer::unavailable("the store of this machine is away"), out);
                }
            }
            Input::Peer(gossip) => {
                self.places.insert(gossip.ip, gossip.zone.clone());
                self.presence.told(self.now, &gossip);
                if let Some(day_ms) = gossip.day_ms.filter(|day| *day > 0) {
                    self.clocks.heard(self.now, gossip.ip, day_ms);
                }
                for usage in gossip.usage {
                    self.usage(usage, true);
                }
                self.take_tallies(gossip.tallies, true);
                for (region, head) in gossip.heads {
                    self.head(region, head);
                }
                for lease in gossip.leases {
                    self.leases.hear(lease.epoch, self.now + Micros::from(lease.left_ms) * 1000);
                }
            }
            Input::Proxy(link, up) => self.proxy(link, up, out),
            Input::ProxyDown(link) => {
                self.unread.remove(&link);
                self.followers.gone(link);
            }
        }
        if self.store_up && self.now >= self.ask_at {
            self.ask_at = self.now + ASK_US;
            out.push(Output::Store(ToStore::Stand { asked: self.now }));
        }
        self.round(out);
        self.propose(out);
        self.settle(out);
    }

    // ---- calls from outside ----

    fn call(&mut self, id: u64, request: &Request, out: &mut Vec<Output>) {
        let (call, argument) = match Call::of(&request.method, &request.target) {
            Some(found) => found,
            None => return out.push(Output::Answer(id, Answer::error(404, "no such call"))),
        };
        let argument = argument.unwrap_or_default();
        // These are decided, and may be refused for good, by what this copy holds.
        let by_copy = matches!(
            call,
            Call::PutBooking
                | Call::CancelBooking
                | Call::ReadBooking
                | Call::ListBookings
                | Call::PutDrill
                | Call::StopDrill
                | Call::ShowDrill
                | Call::StartRollout
                | Call::StopRollout
        );
        let answer = match call {
            _ if by_copy && !self.is_fresh() => Some(Answer::unavailable(CUT_OFF)),
            Call::Resolve => self.resolve(&request.target),
            Call::Beat => match Beat::read(&request.body) {
                Err(why) => Some(Answer::error(400, &why.to_string())),
                Ok(beat) => self.beat(id, &argument, beat),
            },
            Call::Leave => self.leave(id, &argument),
            Call::PutConfig | Call::PatchConfig => {
                let base = request.if_match.as_deref().and_then(if_match);
                match base {
                    None => {
                        let why = "If-Match: the version that this builds on is needed, 0 for the first";
                        Some(Answer::error(400, why))
                    }
                    Some(base) => {
                        let patch = call == Call::PatchConfig;
                        let change = Change { base, patch, body: request.body.clone() };
                        match self.copy.state.consider(&change) {
                            // Whatever the version is, this can be taken at none.
                            Err(Done::Invalid(why)) if !patch => Some(Answer::error(400, &why)),
                            _ => self.command(id, Command::Configure(change), out),
                        }
                    }
                }
            }
            Call::ReadConfig => {
                let ticket = self.ticket();
                out.push(Output::Store(ToStore::Read { ticket }));
                self.wait(id, Wait::Read { ticket, at: None })
            }
            Call::Evacuate | Call::Restore => {
                if self.terms.zones.contains_key(&argument) {
                    let on = call == Call::Evacuate;
                    self.order(id, Command::Evacuate { zone: argument, on }, out)
                } else {
                    Some(Answer::error(404, &format!("no zone {argument:?}")))
                }
            }
            Call::PutBooking => self.put_booking(id, &argument, request, out),
            Call::CancelBooking => self.cancel_booking(id, &argument, request, out),
            Call::ReadBooking => Some(self.read_booking(&argument)),
            Call::ListBookings => Some(self.list_bookings()),
            Call::Status => Some(self.view().status()),
            Call::ListInstances => Some(self.view().instances()),
            Call::ListNodes => Some(self.view().nodes()),
            Call::PutDrill => self.put_drill(id, &argument, request, out),
            Call::StopDrill => {
                if self.copy.state.drills.0.contains_key(&argument) {
                    let why = "stopped by an operator".to_string();
                    let stop = DrillChange::Stop { name: argument, epoch: None, why };
                    self.order(id, Command::Drill(stop), out)
                } else {
                    Some(Answer::error(404, &format!("no drill {argument:?}")))
                }
            }
            Call::ListDrills => Some(self.view().drills()),
            Call::StartRollout => self.start_rollout(id, request, out),
            Call::StopRollout => self.stop_rollout(id, argument, out),
            Call::ShowRollout => self.show_rollouts(id, rollout::Shown::Of(argument), out),
            Call::ListRollouts => self.show_rollouts(id, rollout::Shown::All, out),
            Call::ShowDrill => Some(self.view().drill(&argument)),
            Call::Ready => Some(Answer::error(404, "not served here")),
        };
        if let Some(answer) = answer {
            out.push(Output::Answer(id, answer));
        }
    }

    fn put_drill(&mut self, id: u64, name: &str, request: &Request, out: &mut Vec<Output>) -> Option<Answer> {
        let drill = match Drill::read(name, &request.body) {
            Ok(drill) => drill,
            Err(why) => return Some(Answer::error(400, &why.to_string())),
        };
        let state = &self.copy.state;
        let place = match &drill.fault {
            Fault::UnreachableServer(id) if !state.servers.contains_key(id) => {
                Err(format!("no server {id:?}"))
            }
            Fault::UnreachableZone(zone) if !self.terms.zones.contains_key(zone) => {
                Err(format!("no zone {zone:?}"))
            }
            _ => Ok(()),
        };
        let may = place.and_then(|()| state.drills.consider(&drill, state.config.as_deref()));
        if let Err(why) = may {
            return Some(Answer::error(422, &why));
        }
        match api::dry_run(&request.target) {
            Err(why) => return Some(Answer::error(400, &why.to_string())),
            Ok(true) => {
                let wanted = drill.caller.tenant.as_ref().map(|t| self.meter.wanted(self.now, t));
                return Some(self.view().rehearsed(&drill, wanted));
            }
            Ok(false) => {}
        }
        self.asked.retain(|(_, ends)| *ends > self.now);
        self.asked.push((drill.clone(), self.now + Micros::from(drill.for_ms) * 1000));
        self.order(id, Command::Drill(DrillChange::Start(Box::new(drill))), out)
    }

    /// Drills that were asked for here have begun: all are told how long they have.
    fn begin_drills(&mut self, out: &mut Vec<Output>) {
        let begun = self.copy.state.drills.running().filter(|h| self.leases.ends(h.epoch).is_none());
        let ends = |drill: &Drill| self.asked.iter().find(|(d, _)| d == drill).map(|(_, ends)| *ends);
        let begun: Vec<(Rev, Micros)> = begun.filter_map(|h| Some((h.epoch, ends(&h.drill)?))).collect();
        if begun.is_empty() {
            return;
        }
        begun.into_iter().for_each(|(epoch, ends)| self.leases.hear(epoch, ends));
        self.gossip(Vec::new(), Vec::new(), Vec::new(), Vec::new(), Vec::new(), out);
        self.tell_leases(out);
    }

    fn tell_leases(&self, out: &mut Vec<Output>) {
        let leases = self.leases.tell(self.now, &self.copy.state.drills);
        if !leases.is_empty() {
            let said = Age::first(self.now);
            out.extend(self.followers.links().map(|l| Output::Proxy(l, Down::Leases(leases.clone(), said))));
        }
    }

    /// Questions and alarms go on at once, the rest with the next round.
    fn drill_rows(&mut self, rows: Vec<Rows>, out: &mut Vec<Output>) {
        let state = &self.copy.state.drills;
        let heard = |r: &Rows| {
            let of = state.0.values().find(|h| h.epoch == r.epoch);
            of.is_none_or(|h| {
                h.tellers.get(&(r.ip, r.life)).is_some_and(|t| t.up_to + 1 >= r.first + r.said.len() as u64)
            })
        };
        let new: Vec<Rows> = rows.into_iter().filter(|r| !heard(r)).collect();
        let urgent = new.iter().flat_map(|r| &r.said).any(|s| !matches!(s, Said::Met { .. }));
        for rows in new {
            self.rows.retain(|r| (r.epoch, r.ip, r.life) != (rows.epoch, rows.ip, rows.life));
            self.rows.push(rows);
        }
        if urgent {
            self.propose_rows(out);
        }
    }

    fn propose_rows(&mut self, out: &mut Vec<Output>) {
        if !self.rows.is_empty() && self.store_up {
            let command = Command::Drill(DrillChange::Rows(std::mem::take(&mut self.rows)));
            let ticket = self.ticket();
            out.push(Output::Store(ToStore::Propose { ticket, command }));
        }
    }

    /// Beside the leader: those whose time is up end in the log.
    fn end_drills(&mut self, out: &mut Vec<Output>) {
        if self.copy.state.drills.0.is_empty() {
            return;
        }
        let over = self.leases.over(self.now, self.terms.beat_us, &self.copy.state.drills);
        if !(self.leads && self.is_fresh()) {
            return;
        }
        for stop in over {
            self.on_duty(Command::Drill(stop), out);
        }
    }

    fn view(&self) -> View<'_> {
        View {
            now: self.now,
            me: self.terms.me,
            state: &self.copy.state,
            presence: &self.presence,
            core: &self.core,
            places: &self.places,
            fresh: self.is_fresh(),
            leads: self.leads && self.store_up,
            leases: &self.leases,
            followers: self.followers.iter().map(|(_, f)| (&f.node, f.rev())).collect(),
        }
    }

    /// Whether this registry may speak for what the majority has agreed: its copy held all of it within [`FRESH_US`].
    fn is_fresh(&self) -> bool {
        self.store_up && self.now < self.fresh_until
    }

    /// Something that only the registry beside the leader may do: it lands in this term or never.
    fn on_duty(&mut self, command: Command, out: &mut Vec<Output>) -> u64 {
        let (ticket, term) = (self.ticket(), self.term);
        out.push(Output::Store(ToStore::Duty { ticket, term, command }));
        ticket
    }

    fn ticket(&mut self) -> u64 {
        self.tickets += 1;
        self.tickets
    }

    fn wait(&mut self, id: u64, wait: Wait) -> Option<Answer> {
        if !self.store_up {
            return Some(Answer::unavailable("the store of this machine is away"));
        }
        self.waiting.insert(id, Waiting { until: self.now + CALL_US, wait });
        None
    }

    /// A command that names no version of what it changes: this copy's revision is its fencing token.
    fn order(&mut self, id: u64, order: Command, out: &mut Vec<Output>) -> Option<Answer> {
        let seen = self.copy.rev();
        self.command(id, Command::Fenced { seen, order: Box::new(order) }, out)
    }

    fn command(&mut self, id: u64, command: Command, out: &mut Vec<Output>) -> Option<Answer> {
        let ticket = self.ticket();
        let refused = self.wait(id, Wait::Command { ticket, at: None, done: None });
        if refused.is_none() {
            out.push(Output::Store(ToStore::Propose { ticket, command }));
        }
        refused
    }

    /// A server tells of itself. Acknowledged once all that it tells is in the log; nearly always it is.
    fn beat(&mut self, id: u64, server: &str, beat: Beat) -> Option<Answer> {
        if self.copy.state.has_gone(server) {
            return Some(Answer::ok()); // a late call of a life that has ended, which is never taken back
        }
        let latest = self.presence.beat(self.now, server, beat.sequence);
        // The others do not hear what is said here: they would write off a server that stays.
        if !self.is_fresh() {
            return Some(Answer::unavailable(CUT_OFF));
        }
        let draining = beat.state == api::State::Draining;
        if !latest {
            // It has said more since. That it leaves is acknowledged by what is agreed alone, whatever else was heard.
            let agreed = !draining || self.copy.state.servers.get(server).is_some_and(|s| s.draining);
            return Some(if agreed { Answer::ok() } else { Answer::unavailable("it has said more since") });
        }
        let cold_ms = u32::try_from(beat.cold_left_ms).unwrap_or(u32::MAX);
        let known = self.copy.state.servers.get(server);
        let version = beat.information.as_ref().and_then(|about| about.version.clone());
        let tells_version = version.filter(|v| self.copy.state.versions.get(server) != Some(v));
        let change = match (known, beat.information) {
            (Some(s), _) if draining && !s.draining => ServerChange::Draining { id: server.into() },
            // Told to be cold though it was taken for warm, or for warm again much sooner.
            (Some(s), _) if !s.draining && calls::colder(s, self.now, cold_ms) => {
                ServerChange::Cold { id: server.into(), left_ms: cold_ms }
            }
            (Some(_), _) => match tells_version.clone() {
                Some(version) => ServerChange::Runs { id: server.into(), version },
                None => return Some(Answer::ok()),
            },
            (None, Some(about)) => ServerChange::Up(Server {
                id: server.into(),
                service: about.service,
                addr: beat.address,
                zone: about.zone,
                slots: about.slots,
                draining,
                cold_ms,
                noted_at: 0,
            }),
            (None, None) => return Some(Answer::error(400, "information: needed at first")),
        };
        let runs = tells_version.map(|version| ServerChange::Runs { id: server.into(), version });
        for change in [Some(change), runs].into_iter().flatten() {
            if !self.servers.contains(&change) {
                self.servers.push(change);
            }
        }
        let batch = self.batch;
        self.wait(id, Wait::Batch(batch))
    }

    fn leave(&mut self, id: u64, server: &str) -> Option<Answer> {
        if self.copy.state.has_gone(server) {
            return Some(Answer::ok());
        }
        if !self.is_fresh() {
            return Some(Answer::unavailable(CUT_OFF));
        }
        self.servers.push(ServerChange::Gone { id: server.into(), said: true });
        let batch = self.batch;
        self.wait(id, Wait::Batch(batch))
    }

    fn resolve(&self, target: &str) -> Option<Answer> {
        let query = match api::Resolution::read(target) {
            Ok(query) => query,
            Err(why) => return Some(Answer::error(400, &why.to_string())),
        };
        let region = query.region.or_else(|| self.terms.zones.get(query.zone.as_deref()?).cloned());
        let (zone, region) = (query.zone.as_deref(), region.as_deref());
        // Cut off, nobody's silence says anything. Proxies that find a fresh registry are no longer heard of here; while
        // some are, there is none, and what was agreed last holds.
        let fresh = self.is_fresh();
        if !fresh && !self.presence.hears_proxies(self.now) {
            return Some(Answer::unavailable(CUT_OFF));
        }
        let nodes = self.presence.choose(self.now, &self.copy.state, zone, region, fresh);
        if nodes.is_empty() {
            return Some(Answer::unavailable("no proxy is known"));
        }
        Some(Answer::resolution(&nodes, self.terms.ttl_s))
    }

    fn answer(&mut self, id: u64, answer: Answer, out: &mut Vec<Output>) {
        if self.waiting.remove(&id).is_some() {
            out.push(Output::Answer(id, answer));
        }
    }

    // ---- the store ----

    fn store(&mut self, message: FromStore, out: &mut Vec<Output>) {
        match message {
            FromStore::News(news) => self.news(news, out),
            FromStore::Standing { core, fresh_ms, leads, term, asked } => {
                // Whatever waited on its way counts from when it was asked for.
                let left = fresh_ms.and_then(|ms| FRESH_US.checked_sub(Micros::from(ms) * 1000));
                let until = left.filter(|_| asked > 0).map_or(0, |left| asked + left);
                if !self.is_fresh() && self.now < until {
                    self.fresh_since = self.now;
                }
                if leads && (!self.leads || term != self.term) {
                    self.leads_since = self.now;
                }
                (self.core, self.leads, self.term) = (core, leads, term);
                self.fresh_until = if fresh_ms.is_some() { self.fresh_until.max(until) } else { 0 };
            }
            FromStore::Proposed { ticket, result } => {
                if self.under_way.is_some_and(|(t, _)| t == ticket) {
                    self.under_way = None;
                    let number = self.batch - 1;
                    match result {
                        Ok((rev, _)) => (self.landed, self.landed_at) = (number, rev),
                        // Its callers come again; the next to land must not pass for this one.
                        Err(_) => self.lose(number, out),
                    }
                    return;
                }
                if self.under_way_duty.is_some_and(|(t, _)| t == ticket) {
                    self.under_way_duty = None;
                    self.duty_landed = result.map_or(self.duty_landed, |(rev, _)| rev);
                    return;
                }
                if self.under_way_booked.ended(ticket, result.as_ref().ok().map(|(rev, _)| *rev)) {
                    return;
                }
                let found = self.waiting.iter_mut().find_map(|(id, w)| match &mut w.wait {
                    Wait::Command { ticket: t, at, done } if *t == ticket => Some((*id, at, done)),
                    _ => None,
                });
                let Some((id, at, done)) = found else { return };
                match result {
                    Ok((rev, is)) => (*at, *done) = (Some(rev), Some(is)),
                    Err(Unsure::Not) => self.answer(id, Answer::unavailable("no leader"), out),
                    Err(Unsure::Perhaps) => {
                        self.answer(id, Answer::unavailable("the leader was lost: perhaps taken"), out);
                    }
                }
            }
            FromStore::Reads { ticket, result } => {
                let found = self.waiting.iter_mut().find_map(|(id, w)| match &mut w.wait {
                    Wait::Read { ticket: t, at } | Wait::Rollouts { ticket: t, at, .. } if *t == ticket => {
                        Some((*id, at))
                    }
                    _ => None,
                });
                let Some((id, at)) = found else { return };
                match result {
                    Ok(rev) => *at = Some(rev),
                    Err(_) => self.answer(id, Answer::unavailable("no leader"), out),
                }
            }
        }
    }

    fn lose(&mut self, batch: u64, out: &mut Vec<Output>) {
        let of = |w: &Waiting| matches!(w.wait, Wait::Batch(number) if number == batch);
        let callers: Vec<u64> = self.waiting.iter().filter(|(_, w)| of(w)).map(|(id, _)| *id).collect();
        for id in callers {
            self.answer(id, Answer::unavailable("not agreed, or perhaps: tell it again"), out);
        }
    }

    fn news(&mut self, news: News, out: &mut Vec<Output>) {
        match self.copy.take(self.now, news) {
            Took::Changed => {}
            Took::Nothing => return,
            // Begins anew from what is here.
            Took::Gap | Took::Broken => {
                return out.push(Output::Store(ToStore::Follow { rev: self.copy.rev() }));
            }
        }
        self.presence.known(self.now, &self.copy.state);
        self.feed(out);
        if !self.asked.is_empty() {
            self.begin_drills(out);
        }
    }

    fn feed(&mut self, out: &mut Vec<Output>) {
        self.followers.feed(self.now, &self.copy, |link, down| out.push(Output::Proxy(link, down)));
    }

    /// Hands what was gathered of servers and proxies to the store, one command at a time.
    fn propose(&mut self, out: &mut Vec<Output>) {
        if self.under_way.is_some_and(|(_, at)| self.now > at + 2 * CALL_US) {
            self.under_way = None;
            self.nodes_under_way.clear();
        }
        if self.under_way.is_none() && self.landed_at <= self.copy.rev() {
            self.nodes_under_way.clear();
        }
        if !self.store_up || self.under_way.is_some() {
            return;
        }
        let command = if !self.servers.is_empty() {
            Command::Servers(std::mem::take(&mut self.servers))
        } else if !self.nodes.is_empty() {
            self.nodes_under_way = std::mem::take(&mut self.nodes);
            Command::Nodes(self.nodes_under_way.clone())
        } else {
            return;
        };
        let ticket = self.ticket();
        self.batch += 1;
        self.under_way = Some((ticket, self.now));
        out.push(Output::Store(ToStore::Propose { ticket, command }));
    }

    /// Answers those whose change has landed or whose time is up.
    fn settle(&mut self, out: &mut Vec<Output>) {
        let (rev, landed, landed_at) = (self.copy.rev(), self.landed, self.landed_at);
        let mut answers = Vec::new();
        for (id, w) in &self.waiting {
            let answer = match &w.wait {
                // Also when the answer is there by now: this process was stopped, and the caller has gone on.
                _ if w.until <= self.now => Some(Answer::unavailable("not agreed in time")),
                Wait::Batch(number) if *number <= landed && landed_at <= rev => Some(Answer::ok()),
                Wait::Command { at: Some(at), done: Some(done), .. } if *at <= rev => {
                    Some(Answer::done(done))
                }
                Wait::Read { at: Some(at), .. } if *at <= rev => Some(match &self.copy.state.config {
                    Some(config) => Answer::json(200, config.write()),
                    None => Answer::error(404, "no configuration yet"),
                }),
                Wait::Rollouts { at: Some(at), shown, .. } if *at <= rev => Some(self.rollouts_shown(shown)),
                _ => None,
            };
            answers.extend(answer.map(|a| (*id, a)));
        }
        for (id, answer) in answers {
            self.answer(id, answer, out);
        }
    }

    // ---- proxies and the other registries ----

    fn proxy(&mut self, link: u64, up: Up, out: &mut Vec<Output>) {
        match up {
            Up::Hello { node, rev } => {
                self.join(&node);
                out.push(Output::Proxy(link, self.standing(&node.region)));
                self.followers.hello(link, node, rev);
                self.feed(out);
                self.unread.insert(link);
                self.tell_unread(out);
            }
            Up::Report { rev, head, seen, usage } => {
                for u in usage {
                    self.usage(u, false);
                }
                for s in seen {
                    self.presence.seen(self.now, s);
                }
                let Some(f) = self.followers.reported(link, rev) else { return };
                let node = f.node.clone();
                if let Some(head) = head {
                    self.head(node.region.clone(), head);
                }
                self.join(&node);
                self.feed(out);
            }
            Up::Drill(rows) => self.drill_rows(rows, out),
            Up::Rollout(tallies) => self.take_tallies(tallies, false),
        }
    }

    /// A proxy that follows here is to be in the state. Many come at once where all start: those that come while others are on
    /// their way into the log go with the next command.
    fn join(&mut self, node: &Node) {
        let joins = |change: &NodeChange| matches!(change, NodeChange::Up(joins) if joins == node);
        let in_state = self.copy.state.nodes.get(&node.ip) == Some(node);
        if !in_state && !self.nodes.iter().chain(&self.nodes_under_way).any(joins) {
            self.nodes.push(NodeChange::Up(node.clone()));
        }
    }

    /// What followers of a region are told.
    fn standing(&self, region: &str) -> Down {
        let place = |ip: &Ipv4Addr| (*ip, self.places.get(ip).cloned().unwrap_or_default());
        let nodes = self.copy.state.nodes.values().filter(|n| n.region == region);
        let away = nodes.map(|n| n.ip).filter(|ip| !self.presence.alive(self.now, &self.copy.state, *ip));
        Down::Standing(Standing {
            rev: self.copy.rev(),
            fresh_ms: self.is_fresh().then_some(0),
            core: self.core.iter().map(place).collect(),
            path: Vec::new(),
            head: self.heads.get(region).copied(),
            away: away.collect(),
            said_at: Some(self.now),
        })
    }

    fn head(&mut self, region: String, head: Head) {
        let known = self.heads.entry(region).or_insert(head);
        *known = head.max(*known);
    }

    fn usage(&mut self, usage: Usage, told: bool) {
        let rises = self.meter.take(self.now, usage, told);
        let gather = if rises { 0 } else { METER_EACH_US * self.copy.state.nodes.len() as Micros };
        self.meter_at = self.meter_at.min(self.now + METER_US.max(gather));
    }

    /// Tells the other registries what was reported here, and the proxies what it all comes to.
    fn tell_meter(&mut self, out: &mut Vec<Output>) {
        self.meter_at = Micros::MAX;
        let usage = self.meter.news();
        if !usage.is_empty() {
            self.gossip(Vec::new(), Vec::new(), usage, Vec::new(), Vec::new(), out);
        }
        let readings = self.meter.read(self.now, &self.copy.state);
        let tells = self.meter.hears_most(self.now, &self.copy.state);
        if !readings.is_empty() {
            for link in self.followers.links() {
                out.push(Output::Proxy(link, Down::Meter(readings.clone(), Age::first(self.now))));
            }
            self.unread.clear();
        }
        self.readings = tells.then_some((self.now, readings));
        self.tell_unread(out);
    }

    /// A proxy that begins here knows nothing of what the others use: it is told at once, also that nothing is.
    fn tell_unread(&mut self, out: &mut Vec<Output>) {
        let Some((made_at, readings)) = &self.readings else { return };
        for link in std::mem::take(&mut self.unread) {
            let age = Age::again(self.now, *made_at);
            out.push(Output::Proxy(link, Down::Meter(readings.clone(), age)));
        }
    }

    fn gossip(
        &self,
        servers: Vec<(String, u64)>,
        nodes: Vec<Seen>,
        usage: Vec<Usage>,
        heads: Vec<(String, Head)>,
        tallies: Vec<Tally>,
        out: &mut Vec<Output>,
    ) {
        let (me, zone) = (self.terms.me, &self.terms.zone);
        let leases = self.leases.tell(self.now, &self.copy.state.drills);
        let day_ms = self.day_to_tell().or((!leases.is_empty()).then_some(0));
        for ip in self.core.iter().filter(|c| **c != me) {
            let (zone, servers) = (zone.clone(), servers.clone());
            let (nodes, usage, heads) = (nodes.clone(), usage.clone(), heads.clone());
            let (leases, tallies) = (leases.clone(), tallies.clone());
            let gossip = Gossip { ip: me, zone, servers, nodes, usage, heads, day_ms, leases, tallies };
            out.push(Output::Peer(*ip, gossip));
        }
    }

    /// What is done from time to time.
    fn round(&mut self, out: &mut Vec<Output>) {
        if self.now >= self.meter_at.min(self.next_round) {
            self.tell_meter(out);
        }
        if self.now < self.next_round {
            return;
        }
        self.next_round = self.now + self.terms.beat_us / PARTS;
        let mut standings = BTreeMap::new();
        for (link, f) in self.followers.iter() {
            let region = f.node.region.as_str();
            let standing = standings.entry(region).or_insert_with(|| self.standing(region));
            out.push(Output::Proxy(link, standing.clone()));
        }
        let (servers, nodes) = self.presence.news();
        let heads = self.heads.iter().map(|(region, head)| (region.clone(), *head)).collect();
        let tallies = self.tallies.news();
        self.gossip(servers, nodes, Vec::new(), heads, tallies, out);
        self.tell_leases(out);
        self.propose_rows(out);
        self.end_drills(out);
        self.tend_rollouts(out);
        self.write_off(out);
        self.tend_bookings(out);
    }

    /// Servers and proxies that nobody has heard of. Only beside a leader that has led long enough for all registries
    /// to have told it what they hear: the others' silence would look the same.
    fn write_off(&mut self, out: &mut Vec<Output>) {
        let (server_us, node_us) = (BEATS_GONE * self.terms.beat_us, SYNCS_GONE * self.terms.sync_us);
        if self.under_way_duty.is_some_and(|(_, at)| self.now > at + 2 * CALL_US) {
            self.under_way_duty = None;
        }
        let busy = self.under_way.is_some() || self.under_way_duty.is_some();
        if !(self.leads && self.is_fresh()) || busy || self.copy.rev() < self.duty_landed {
            return;
        }
        let since = self.fresh_since.max(self.leads_since);
        let state = &self.copy.state;
        let lost = |after: Micros| self.now > since + after;
        let servers: Vec<String> =
            if lost(server_us) { self.presence.servers_unheard(self.now, server_us) } else { Vec::new() };
        let nodes: Vec<Ipv4Addr> =
            if lost(node_us) { self.presence.nodes_unseen(self.now, node_us) } else { Vec::new() };
        let servers = servers.into_iter().filter(|id| state.servers.contains_key(id));
        let servers: Vec<_> = servers.map(|id| ServerChange::Gone { id, said: false }).collect();
        let nodes = nodes.into_iter().filter(|ip| state.nodes.contains_key(ip));
        let nodes: Vec<_> = nodes.map(|ip| NodeChange::Gone { ip }).collect();
        let command = match (servers.is_empty(), nodes.is_empty()) {
            (false, _) => Command::Servers(servers),
            (true, false) => Command::Nodes(nodes),
            (true, true) => return,
        };
        self.under_way_duty = Some((self.on_duty(command, out), self.now));
    }
}
