//! Those outside: servers, clients and the operator, as the protocol has them.

use crate::net::{Body, Conn, ConnId, Event, Kind, Owner, Work, Worked};
use crate::odd::{Ill, Oddness};
use crate::plan::{DEADLINE, HOST, PAUSE, Plan, Wish};
use crate::process::BEAT;
use crate::record::{self, Arrival, Fate, ReadBack, Request, Spoken, Try, Vouched};
use crate::scenario::{Rooms, route_of};
use crate::world::{Ev, World};
use crate::{MS, Micros, SECOND};
use cluster::booking::Phase;
use registry::calls;
use settings::Config;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// What every proper clock shows when a day begins, in milliseconds since 1970.
pub const DAY_MS: u64 = 1_800_000_000_000;

#[derive(Default)]
pub struct Order {
    pub request: Rc<calls::Request>,
    pub plan: Option<Plan>,
    /// Its place among the record's changes, or evacuations.
    pub change: Option<usize>,
    /// One of a storm's operators sent it.
    pub writer: Option<usize>,
    pub evacuation: Option<usize>,
    /// Of a drill: its place among the record's, and whether it is to end.
    drill: Option<(usize, bool)>,
    /// Its place among the record's bookings, and whether it ends one.
    booking: Option<(usize, bool)>,
    /// Its place among the record's rollouts.
    pub rollout: Option<usize>,
    tries: u32,
    pub done: bool,
    /// Not sent again after this.
    until: Micros,
}

impl Order {
    pub fn of(request: calls::Request, until: Micros) -> Order {
        Order { request: Rc::new(request), until, ..Order::default() }
    }

    /// A rollout, by its place among the record's.
    pub fn rollout(request: calls::Request, at: usize, until: Micros) -> Order {
        Order { rollout: Some(at), ..Order::of(request, until) }
    }

    /// A change by one of a storm's operators.
    pub fn written(request: calls::Request, change: usize, writer: usize) -> Order {
        Order { change: Some(change), writer: Some(writer), ..Order::of(request, Micros::MAX) }
    }
}

// ---- servers ----

pub struct Place {
    pub addr: SocketAddr,
    pub zone: usize,
    pub service: String,
    pub name: String,
    /// Of the servers' software here.
    pub version: String,
    /// The scenario's rollout that brings this version.
    pub rollout: Option<usize>,
    /// A server is to run here, but for faults.
    pub stands: bool,
    pub server: Option<Server>,
    pub lives: u32,
}

pub struct Server {
    pub id: String,
    pub life: u64,
    pub service: String,
    pub started: Micros,
    slots: usize,
    queue: VecDeque<(ConnId, Rc<Work>, usize)>,
    /// Under work: the connection, the work, and the try's arrival.
    work: BTreeMap<u64, (ConnId, Rc<Work>)>,
    works: u64,
    /// Of what is under work, that which will have a bad answer.
    bad: BTreeSet<u64>,
    sequence: u64,
    ask: usize,
    pub draining: bool,
    leaving: bool,
    beat_out: bool,
    cold_until: Micros,
    /// Nobody has acknowledged yet that it has turned cold.
    cold_untold: bool,
    /// Answers lost until then.
    pub loses_until: Micros,
    pub pauses_until: Micros,
    pub slow_until: Micros,
    pub odd: Oddness,
}

impl Server {
    pub fn has_work(&self) -> bool {
        !self.work.is_empty()
    }
}

pub enum CallFor {
    Beat {
        place: usize,
        life: u64,
        draining: bool,
        cold: bool,
    },
    Leave {
        place: usize,
        life: u64,
    },
    Order(usize),
    ReadBack,
    /// By a storm's operator, or by one that only reads.
    Look {
        from: Micros,
        writer: Option<usize>,
    },
    Copy {
        change: usize,
        sent: Micros,
    },
    ReadDrill(usize),
    Rollout {
        at: usize,
        from: Micros,
    },
    Listed,
    Status {
        from: Micros,
    },
    Resolve(usize),
}

// ---- clients ----

pub struct Client {
    pub zone: usize,
    pub tenant: usize,
    pub key: String,
    addresses: Vec<SocketAddr>,
    fresh_until: Micros,
    asking: Option<Vec<usize>>,
    shunned: BTreeMap<SocketAddr, Micros>,
    waiting: Vec<u64>,
    /// Keeps an answer three times as long as it is told.
    lazy: bool,
}

/// A request as its client sees it, over all its tries.
pub struct Wanted {
    client: usize,
    until: Micros,
    tries: u32,
    host: String,
    path: String,
    once: bool,
    over: bool,
}

/// For what was acknowledged to reach the proxies in touch.
const NEWS: Micros = 300 * MS;
const MOST_TRIES: u32 = 4;
/// Of a client that tries again at once and often.
const HASTY_TRIES: u32 = 12;

impl World {
    // ---- calls on the system ----

    pub fn call(&mut self, from: Owner, core: usize, request: Rc<calls::Request>, why: CallFor) {
        let conn = self.dial(Kind::Call, from, Owner::Registry(core));
        self.calls.insert(conn, (request, why));
        self.at(self.now + SECOND, Ev::CallTimeout(conn));
    }

    pub fn call_timeout(&mut self, conn: ConnId) {
        if let Some((_, why)) = self.calls.remove(&conn) {
            if let Some(from) = self.net.conns.get(&conn).map(|c| c.ends[0].owner) {
                self.close(conn, from);
            }
            self.called(why, None, conn);
        }
    }

    pub fn outside_told(&mut self, owner: Owner, conn: ConnId, event: Event) {
        if self.calls.contains_key(&conn) {
            match event {
                Event::Up => {
                    let request = self.calls[&conn].0.clone();
                    self.note(format!("{owner:?} calls {} {}", request.method, request.target));
                    self.send(conn, owner, Body::Call(request));
                    if let (_, CallFor::Order(_)) = self.calls[&conn] {
                        self.fire("sent");
                    }
                }
                Event::Got(Body::Called(answer)) => {
                    let (_, why) = self.calls.remove(&conn).expect("there");
                    let by = self.net.conns.get(&conn).map(|c| c.ends[1].owner);
                    if answer.status >= 300 {
                        self.note(format!("{by:?} answers {owner:?}: {} {}", answer.status, &*answer.body));
                    }
                    self.close(conn, owner);
                    let by = by.map_or(0, |o| self.host_of(o));
                    self.answered_by = by;
                    let what = match why {
                        CallFor::Beat { .. } => Some(Vouched::Beat),
                        CallFor::Order(_) => Some(Vouched::Order),
                        CallFor::ReadBack => Some(Vouched::Read),
                        CallFor::Resolve(_) => Some(Vouched::Directory),
                        _ => None,
                    };
                    if let Some(what) = what.filter(|_| (200..300).contains(&answer.status)) {
                        self.record.spoken.push(Spoken { at: self.now, by, what });
                    }
                    self.called(why, Some(answer), conn);
                }
                Event::Down => {
                    let (_, why) = self.calls.remove(&conn).expect("there");
                    self.called(why, None, conn);
                }
                _ => {}
            }
            return;
        }
        match owner {
            Owner::Server(n) => self.server_told(n, conn, event),
            Owner::Clients(_) => self.client_told(owner, conn, event),
            _ => {}
        }
    }

    fn called(&mut self, why: CallFor, answer: Option<Rc<calls::Answer>>, _: ConnId) {
        let status = answer.as_ref().map_or(0, |a| a.status);
        match why {
            CallFor::Beat { place, life, draining, cold } => {
                let (now, (_, rate)) = (self.now, self.plan.cold);
                let Some(s) = self.server(place, life) else { return };
                s.beat_out = false;
                if (200..300).contains(&status) {
                    // Before that nobody could know; a moment more is left for the word to go round.
                    if cold && std::mem::take(&mut s.cold_untold) {
                        let (server, from, until) = (s.id.clone(), now + NEWS, s.cold_until);
                        self.record.colds.push(record::Cold { server, from, until, rate });
                    }
                    let Some(s) = self.server(place, life) else { return };
                    if draining && s.draining {
                        let id = s.id.clone();
                        let by = self.answered_by;
                        if !self.record.leaves.iter().any(|l| l.server == id) {
                            self.record.leaves.push(record::Leave { server: id, at: self.now, by });
                            self.fire("drain");
                            let serve = self.record.bounds.drain_limit + 500 * MS;
                            self.at(self.now + serve, Ev::Leave(place, life));
                        }
                    }
                } else {
                    s.ask += 1;
                    let pause = if s.ask % 3 == 0 { 300 * MS } else { 1 };
                    self.at(self.now + pause, Ev::Beat(place, life, false));
                }
            }
            CallFor::Leave { place, life } => {
                let by = self.answered_by;
                let Some(s) = self.server(place, life) else { return };
                if (200..300).contains(&status) {
                    let id = s.id.clone();
                    if !self.record.leaves.iter().any(|l| l.server == id) {
                        self.record.leaves.push(record::Leave { server: id, at: self.now, by });
                    }
                    self.at(self.now + 200 * MS, Ev::Quit(place, life));
                } else {
                    s.ask += 1;
                    self.at(self.now + 300 * MS, Ev::Leave(place, life));
                }
            }
            CallFor::Order(number) => self.ordered(number, answer.as_deref()),
            CallFor::ReadBack => {
                if status == 200 {
                    let body = &answer.expect("there").body;
                    let config = Config::read(body.as_bytes()).ok().map(Rc::new);
                    self.record.read_back.push(ReadBack { at: self.now, config });
                } else if status == 404 {
                    self.record.read_back.push(ReadBack { at: self.now, config: None });
                }
                self.at(self.now + 500 * MS, Ev::ReadBack);
            }
            CallFor::Look { from, writer } => self.looked(from, writer, answer.as_deref()),
            CallFor::Copy { change, sent } => self.copied(change, sent, answer.as_deref()),
            CallFor::ReadDrill(number) => self.drill_read(number, answer.as_deref()),
            CallFor::Rollout { at, from } => self.rollout_shown(at, from, answer.as_deref()),
            CallFor::Status { from } => self.status_read(from, answer.as_deref()),
            CallFor::Listed => {
                let read = answer.filter(|a| a.status == 200).and_then(|a| jzon::parse(&a.body).ok());
                if let Some(read) = read {
                    let text = |v: &jzon::JsonValue| v.as_str().unwrap_or("").to_string();
                    let one = |b: &jzon::JsonValue| {
                        let flight = b["flight_count"].as_u32().unwrap_or(0);
                        (text(&b["booking_name"]), text(&b["booking_phase"]), flight)
                    };
                    let bookings = read["booking_list"].members().map(one).collect();
                    self.record.listed.push(record::Listed { at: self.now, bookings });
                }
            }
            CallFor::Resolve(client) => self.resolved(client, answer.as_deref()),
        }
    }

    // ---- servers ----

    fn server(&mut self, place: usize, life: u64) -> Option<&mut Server> {
        self.places[place].server.as_mut().filter(|s| s.life == life)
    }

    /// A server starts at this place; `cold`: during traffic.
    pub fn server_starts(&mut self, place: usize, service: Option<String>, cold: bool) {
        if !self.places[place].stands {
            return;
        }
        let host = self.host_of(Owner::Server(place));
        self.hosts[host].power = true;
        if self.places[place].server.is_some() {
            return;
        }
        let life = self.draw_life();
        let cores = self.record.cores;
        let first = self.chance(place as u64).usize(0..cores);
        let (now, (period, rate)) = (self.now, self.plan.cold);
        let period = (period * 1e6) as Micros;
        let p = &mut self.places[place];
        p.lives += 1;
        if let Some(service) = service {
            p.service = service;
        }
        let id = format!("{}-{}", p.name, p.lives);
        let service = p.service.clone();
        let cold_until = if cold { now + period } else { 0 };
        p.server = Some(Server {
            id: id.clone(),
            life,
            service,
            started: now,
            slots: 3,
            queue: VecDeque::new(),
            work: BTreeMap::new(),
            works: 0,
            bad: BTreeSet::new(),
            sequence: 0,
            ask: first,
            draining: false,
            leaving: false,
            beat_out: false,
            cold_until,
            cold_untold: false,
            loses_until: 0,
            pauses_until: 0,
            slow_until: 0,
            odd: Oddness::default(),
        });
        let p = &self.places[place];
        if p.rollout.is_some() {
            self.record.versions.insert(id.clone(), p.version.clone());
        }
        let room = record::Room {
            server: id.clone(),
            service: self.places[place].service.clone(),
            zone: self.zones[self.places[place].zone].0.clone(),
            slots: 3,
            from: cold_until.max(now),
            until: Micros::MAX,
        };
        self.record.rooms.push(room);
        if cold {
            self.record.colds.push(record::Cold { server: id, from: now, until: cold_until, rate });
        }
        let spread = self.chance(place as u64).u64(0..200 * MS);
        self.at(now + spread, Ev::Beat(place, life, true));
    }

    /// A server turns cold in the middle of its life, and says so at once.
    pub fn chill(&mut self, place: usize) {
        let until = self.now + (self.plan.cold.0 * 1e6) as Micros;
        self.unwell(place, until);
        if let Some(s) = &mut self.places[place].server {
            (s.cold_until, s.cold_untold, s.beat_out) = (until, true, false);
            let life = s.life;
            self.at(self.now, Ev::Beat(place, life, false));
        }
    }

    /// A server is no room until then.
    pub fn unwell(&mut self, place: usize, until: Micros) {
        let Some(s) = &self.places[place].server else { return };
        let (id, now) = (&s.id, self.now);
        let mut after = None;
        for room in self.record.rooms.iter_mut().filter(|r| r.server == *id && r.until > now) {
            let back = record::Room { from: until.max(room.from), ..room.clone() };
            room.until = now;
            after = (until < Micros::MAX).then_some(back);
        }
        self.record.rooms.extend(after);
    }

    pub fn server_ends(&mut self, place: usize, dark: bool) {
        if self.places[place].server.is_some() {
            self.note(format!("server {} ends", self.places[place].name));
        }
        self.unwell(place, Micros::MAX);
        self.places[place].server = None;
        if dark {
            let host = self.host_of(Owner::Server(place));
            self.hosts[host].power = false;
        }
        self.drop_ends(Owner::Server(place), dark);
    }

    pub fn beat(&mut self, place: usize, life: u64, periodic: bool) {
        let zone = self.zones[self.places[place].zone].0.clone();
        let (now, cores, addr) = (self.now, self.record.cores, self.places[place].addr);
        let version = self.places[place].version.clone();
        let Some(s) = self.server(place, life) else { return };
        let busy = std::mem::replace(&mut s.beat_out, true);
        if !busy {
            s.sequence += 1;
            let left = s.cold_until.saturating_sub(now) as f64 / 1e3;
            let state = if s.draining { "draining" } else { "available" };
            let body = jzon::object! {
                server_address: addr.to_string(),
                information: jzon::object! {
                    service_ref: s.service.as_str(),
                    config_version: version,
                    zone_name: zone,
                    slot_count: s.slots
                },
                status_report: jzon::object! {
                    server_state: state, call_sequence: s.sequence, cold_left_ms: left
                },
            };
            let target = format!("/api/instances/{}", s.id);
            let body = body.dump().into_bytes();
            let request = calls::Request { method: "PUT".into(), target, if_match: None, body };
            let (core, draining, cold) = (s.ask % cores, s.draining, s.cold_until > now);
            self.call(
                Owner::Server(place),
                core,
                Rc::new(request),
                CallFor::Beat { place, life, draining, cold },
            );
        }
        if periodic {
            let next = BEAT - BEAT / 20 + self.chance(place as u64).u64(0..BEAT / 10);
            self.at(now + next, Ev::Beat(place, life, true));
        }
    }

    /// Draining begins: told at once.
    pub fn drain(&mut self, place: usize) {
        let now = self.now;
        self.unwell(place, Micros::MAX);
        let Some(s) = &mut self.places[place].server else { return };
        s.draining = true;
        s.beat_out = false;
        let life = s.life;
        self.at(now, Ev::Beat(place, life, false));
        // Without an acknowledgement it still ends.
        self.at(now + 12 * SECOND, Ev::Leave(place, life));
        self.at(now + 18 * SECOND, Ev::Quit(place, life));
    }

    pub fn leave(&mut self, place: usize, life: u64) {
        let cores = self.record.cores;
        let Some(s) = self.server(place, life) else { return };
        if std::mem::replace(&mut s.leaving, true) && s.beat_out {
            return;
        }
        let core = s.ask % cores;
        let target = format!("/api/instances/{}", s.id);
        let request = calls::Request { method: "DELETE".into(), target, if_match: None, body: Vec::new() };
        self.call(Owner::Server(place), core, Rc::new(request), CallFor::Leave { place, life });
    }

    fn server_told(&mut self, place: usize, conn: ConnId, event: Event) {
        match event {
            Event::Got(Body::Work(work)) => self.work_came(place, conn, work),
            Event::Down => {
                if let Some(s) = &mut self.places[place].server {
                    s.odd.rested.remove(&conn);
                    s.queue.retain(|(c, ..)| *c != conn);
                    let cut: Vec<Rc<Work>> =
                        s.work.extract_if(.., |_, (c, _)| *c == conn).map(|(_, w)| w.1).collect();
                    for work in &cut {
                        self.cut_at_work(place, work.name);
                    }
                    if !cut.is_empty() {
                        self.next_work(place);
                    }
                }
            }
            _ => {}
        }
    }

    fn work_came(&mut self, place: usize, conn: ConnId, work: Rc<Work>) {
        let (zone, region) = self.zones[self.places[place].zone].clone();
        let now = self.now;
        let head = String::from_utf8_lossy(&work.head).into_owned();
        let tenant = head.lines().find_map(|l| l.strip_prefix("X-Tenant-Name: ")).map(str::to_string);
        let from = self.hosts[work.edge].zone;
        let grey = self.places[place].server.as_ref().and_then(|s| s.odd.grey(now, from));
        let ill = grey.filter(|(_, part)| self.chance(11).f64() < *part).map(|(how, _)| how);
        let Some(s) = &mut self.places[place].server else { return };
        if s.odd.forgot(now, conn) {
            return self.close(conn, Owner::Server(place)); // before anything was read
        }
        if let Some(owed) = s.odd.owed.remove(&conn) {
            self.send(conn, Owner::Server(place), Body::Worked(owed));
        }
        let Some(s) = &mut self.places[place].server else { return };
        let mut arrival = Arrival {
            sent: work.sent,
            at: now,
            edge: work.edge,
            life: work.life,
            server: s.id.clone(),
            service: s.service.clone(),
            zone,
            region,
            tenant,
            turned_away: None,
            ran: None,
            broke: false,
            cut: None,
        };
        let status = match () {
            _ if work.instance != s.id => Some(421),
            _ if ill == Some(Ill::Shed) => Some(503),
            _ if s.work.len() >= s.slots && s.queue.len() >= 3 => Some(503),
            _ => None,
        };
        arrival.turned_away = status;
        if status.is_none() && matches!(ill, Some(Ill::Reset | Ill::Hang | Ill::Errors)) {
            (arrival.ran, arrival.broke) = (Some(now), matches!(ill, Some(Ill::Reset | Ill::Hang)));
        }
        let cold = now < s.cold_until;
        let (id, edge, name) = (s.id.clone(), work.edge, work.name);
        let arrivals = &mut self.record.tries[work.name as usize].arrivals;
        arrivals.push(arrival);
        let at = arrivals.len() - 1;
        if self.log.is_some() {
            let cold = if cold { ", cold" } else { "" };
            self.note(format!("try {name} from machine {edge} at {id}{cold}: {status:?}"));
        }
        let Some(s) = &mut self.places[place].server else { return };
        match status {
            Some(status) => {
                let worked = Worked { name, status, not_run: true, seal: None, garbled: false };
                self.send(conn, Owner::Server(place), Body::Worked(Rc::new(worked)));
            }
            None => match ill {
                None | Some(Ill::Shed | Ill::Garble | Ill::Extra) => {
                    match ill {
                        Some(Ill::Garble) => _ = s.odd.garbles.insert(conn),
                        Some(Ill::Extra) => _ = s.odd.doubles.insert(conn),
                        _ => {}
                    }
                    s.queue.push_back((conn, work, at));
                    self.next_work(place);
                }
                Some(Ill::Hang) => {}
                Some(Ill::Reset) => self.close(conn, Owner::Server(place)),
                Some(Ill::Errors) => {
                    let worked = Worked { name, status: 500, not_run: false, seal: None, garbled: false };
                    self.send(conn, Owner::Server(place), Body::Worked(Rc::new(worked)));
                }
            },
        }
    }

    fn next_work(&mut self, place: usize) {
        let (now, base) = (self.now, self.scenario.work);
        loop {
            let factor = 0.5 + self.chance(place as u64).f64();
            let Some(s) = &mut self.places[place].server else { return };
            if s.work.len() >= s.slots {
                return;
            }
            let Some((conn, work, at)) = s.queue.pop_front() else { return };
            let arrival = &mut self.record.tries[work.name as usize].arrivals[at];
            if work.until <= now {
                arrival.turned_away = Some(503);
                let name = work.name;
                let worked = Worked { name, status: 503, not_run: true, seal: None, garbled: false };
                self.send(conn, Owner::Server(place), Body::Worked(Rc::new(worked)));
                continue;
            }
            arrival.ran = Some(now);
            let bad = self.goes_bad(place, &work);
            let slower = if bad { self.badness(place).0 } else { 1.0 };
            let Some(s) = &mut self.places[place].server else { return };
            s.works += 1;
            let number = s.works;
            let slow = if now < s.cold_until || now < s.slow_until { 3.0 } else { 1.0 };
            let pause = if now < s.pauses_until { PAUSE } else { 0 };
            let took = (base as f64 * factor * slow * slower) as Micros + pause;
            let life = s.life;
            if bad {
                s.bad.insert(number);
            }
            s.work.insert(number, (conn, work));
            self.at(now + took, Ev::Worked(place, life, number));
        }
    }

    /// The other end of the connection was closed while this server worked on the try.
    fn cut_at_work(&mut self, place: usize, name: u64) {
        let (now, Some(server)) = (self.now, &self.places[place].server) else { return };
        let arrivals = &mut self.record.tries[name as usize].arrivals;
        if let Some(a) = arrivals.iter_mut().rev().find(|a| a.server == server.id && a.ran.is_some()) {
            a.cut = Some(now);
        }
    }

    /// The server broke off what it had run of this try.
    pub fn broke_off(&mut self, name: u64) {
        let tried = &mut self.record.tries[name as usize];
        if let Some(a) = tried.arrivals.iter_mut().rev().find(|a| a.ran.is_some()) {
            a.broke = true;
        }
    }

    /// A server resets connections, each by this chance; what it worked on there is dropped.
    pub fn reset_some(&mut self, place: usize, part: f64) {
        let me = Owner::Server(place);
        let held = |c: &Conn| c.kind == Kind::Work && c.ends[1].owner == me && c.ends[1].open;
        let ids: Vec<ConnId> = self.net.conns.iter().filter(|(_, c)| held(c)).map(|(id, _)| *id).collect();
        for conn in ids {
            if self.chance(14).f64() >= part {
                continue;
            }
            let Some(s) = &self.places[place].server else { return };
            let names: Vec<u64> = s.work.values().filter(|(c, _)| *c == conn).map(|(_, w)| w.name).collect();
            names.into_iter().for_each(|name| self.broke_off(name));
            self.server_told(place, conn, Event::Down);
            self.close(conn, me);
        }
    }

    pub fn worked(&mut self, place: usize, life: u64, number: u64) {
        let now = self.now;
        let fails_if_bad = self.badness(place).1;
        let Some(s) = self.server(place, life) else { return };
        let bad = s.bad.remove(&number);
        let Some((conn, work)) = s.work.remove(&number) else { return };
        s.odd.rested.insert(conn, now);
        let lost = now < s.loses_until;
        let fails = bad && fails_if_bad;
        if bad && !lost {
            self.answered_badly(place);
        }
        if lost {
            // It ran, and its answer is lost.
            self.broke_off(work.name);
            self.close(conn, Owner::Server(place));
        } else {
            let (status, seal) = match () {
                _ if fails => (500, None),
                _ if now <= work.until => (200, Some(work.name)),
                _ => (504, None),
            };
            let Some(s) = self.server(place, life) else { return };
            let how = if s.odd.garbles.remove(&conn) { Some(Ill::Garble) } else { None };
            let how = if s.odd.doubles.remove(&conn) { Some(Ill::Extra) } else { how };
            let late = how == Some(Ill::Extra) && self.chance(13).bool();
            let garbled = how == Some(Ill::Garble);
            if garbled {
                self.broke_off(work.name);
            }
            let worked = Rc::new(Worked { name: work.name, status, not_run: false, seal, garbled });
            self.send(conn, Owner::Server(place), Body::Worked(worked.clone()));
            if late && let Some(s) = self.server(place, life) {
                s.odd.owed.insert(conn, worked); // once the next request is on the connection
            } else if how == Some(Ill::Extra) {
                self.send(conn, Owner::Server(place), Body::Worked(worked));
            }
        }
        self.next_work(place);
    }

    // ---- clients ----

    pub fn client_arrives(&mut self) {
        let rate = self.scenario.rate * if self.now < self.hot.1 { 1.0 + self.hot.2 } else { 1.0 };
        let gap = (-(1.0 - self.chance(1).f64()).ln() / rate * 1e6) as Micros;
        if self.now + gap < self.traffic_ends {
            self.at(self.now + gap.max(1), Ev::Arrive);
        }
        let clients = self.clients.len();
        let mut client = self.chance(2).usize(0..clients);
        if self.now < self.hot.1 && self.chance(3).f64() < self.hot.2 / (1.0 + self.hot.2) {
            let tenant = self.hot.0;
            let of: Vec<usize> =
                (0..self.clients.len()).filter(|c| self.clients[*c].tenant == tenant).collect();
            client = of[self.chance(4).usize(0..of.len())];
        }
        let routes = self.plan.routes.len();
        let route = self.chance(5).usize(0..routes);
        // Nothing is owed for what a tenant asks beyond its limit.
        let unowed = self.now < self.hot.1 && self.clients[client].tenant == self.hot.0;
        self.client_asks(client, route, unowed);
    }

    /// One more of a crowd.
    pub fn crowd_arrives(&mut self, number: usize) {
        let (tenant, service, rate, last, unowed) = self.crowds[number].clone();
        let gap = (-(1.0 - self.chance(10).f64()).ln() / rate * 1e6) as Micros;
        let route = self.plan.routes.iter().position(|r| r.path == route_of(&service));
        if self.now + gap < last.min(self.traffic_ends) {
            self.at(self.now + gap.max(1), Ev::Crowd(number));
        }
        let of: Vec<usize> = (0..self.clients.len()).filter(|c| self.clients[*c].tenant == tenant).collect();
        if let (Some(route), false) = (route, of.is_empty()) {
            let client = of[self.chance(10).usize(0..of.len())];
            self.client_asks(client, route, unowed);
        }
    }

    fn client_asks(&mut self, client: usize, route: usize, unowed: bool) {
        let r = &self.plan.routes[route];
        let (path, once) = (format!("/{}/{}", r.path, self.record.requests.len()), r.kind == "unsafe");
        let number = self.record.requests.len() as u64;
        let tenant = self.clients[client].tenant;
        self.record.requests.push(Request { sent: self.now, served: None, unowed, tenant });
        let until = self.now + DEADLINE;
        let host = HOST.to_string();
        self.wanted.push(Wanted { client, until, tries: 0, host, path, once, over: false });
        self.at(until, Ev::Deadline(number));
        self.try_request(number);
    }

    pub fn try_request(&mut self, number: u64) {
        let now = self.now;
        let w = &self.wanted[number as usize];
        if w.over || now >= w.until {
            return;
        }
        let client = w.client;
        if now >= self.clients[client].fresh_until {
            self.ask_directory(client);
        }
        let c = &mut self.clients[client];
        if c.addresses.is_empty() {
            c.waiting.push(number);
            return;
        }
        c.shunned.retain(|_, until| *until > now);
        let open: Vec<SocketAddr> =
            c.addresses.iter().filter(|a| !c.shunned.contains_key(a)).copied().collect();
        let from = if open.is_empty() { c.addresses.clone() } else { open };
        let (zone, key) = (c.zone, c.key.clone());
        let address = from[self.chance(number).usize(0..from.len())];
        let edge = self.proxy_at(address);
        let w = &mut self.wanted[number as usize];
        w.tries += 1;
        let attempt = self.record.tries.len() as u64;
        self.record.tries.push(Try {
            request: number,
            edge: self.record.cores + edge,
            life: 0,
            sent: now,
            until: w.until,
            host: w.host.clone(),
            path: w.path.clone(),
            key: Some(key),
            once: w.once,
            ..Try::default()
        });
        let conn = self.dial(Kind::Request, Owner::Clients(zone), Owner::Proxy(edge));
        self.out.insert(conn, (attempt, address));
    }

    fn client_told(&mut self, owner: Owner, conn: ConnId, event: Event) {
        let Some((attempt, address)) = self.out.get(&conn).copied() else { return };
        let request = self.record.tries[attempt as usize].request;
        let client = self.wanted[request as usize].client;
        match event {
            Event::Up => {
                let life = self.net.conns.get(&conn).map_or(0, |c| c.ends[1].life);
                let t = &mut self.record.tries[attempt as usize];
                (t.life, t.sent) = (life, self.now);
                self.send(conn, owner, Body::Ask(attempt));
            }
            Event::Got(Body::Answer(answer)) => {
                self.out.remove(&conn);
                self.close(conn, owner);
                let text = String::from_utf8_lossy(&answer.headers).into_owned();
                let field = |name: &str| text.lines().find_map(|l| l.strip_prefix(name)).map(str::to_string);
                let seal = field("X-Server-Seal: ").and_then(|s| s.parse().ok());
                let wait = field("Retry-After: ").and_then(|s| s.parse::<f64>().ok());
                let (status, now) = (answer.status, self.now);
                self.record.tries[attempt as usize].answer = Some(record::Answer { at: now, status, seal });
                let w = &mut self.wanted[request as usize];
                if (200..300).contains(&status) {
                    w.over = true;
                    self.record.requests[request as usize].served = Some(now);
                    return;
                }
                if matches!(status, 400 | 401 | 404 | 413 | 431) {
                    w.over = true;
                    // Nothing is owed for what no configuration allows.
                    self.record.requests[request as usize].unowed |= self.revoked(client);
                    return;
                }
                self.record.requests[request as usize].unowed |= status == 429;
                let promise = matches!(status, 408 | 421 | 429 | 503);
                let left = self.wanted[request as usize].until.saturating_sub(now);
                let wait = wait.map_or(0, |s| ((s * 1e6) as Micros).min(left / 3));
                self.again(request, promise, wait.max(20 * MS));
            }
            Event::Down => {
                self.out.remove(&conn);
                let now = self.now;
                let up = self.net.conns.get(&conn).is_some_and(|c| c.up);
                let t = &mut self.record.tries[attempt as usize];
                if up {
                    t.broken = Some(now);
                }
                let unread = t.read.is_none() && !up;
                self.clients[client].shunned.insert(address, now + 3 * SECOND);
                self.again(request, unread, 50 * MS);
            }
            _ => {}
        }
    }

    fn again(&mut self, request: u64, not_run: bool, wait: Micros) {
        let w = &mut self.wanted[request as usize];
        let (part, until) = self.hasty;
        // The first of them, whoever they are.
        let hasty = self.now < until && (w.client as f64) < part * self.clients.len() as f64;
        let most = if hasty { HASTY_TRIES } else { MOST_TRIES };
        if w.tries >= most || (w.once && !not_run) {
            w.over = true;
            return;
        }
        let wait = if hasty { MS } else { wait };
        let more = self.chance(request).u64(0..20 * MS);
        self.at(self.now + wait + more, Ev::Try(request));
    }

    pub fn deadline(&mut self, request: u64) {
        let w = &mut self.wanted[request as usize];
        w.over = true;
        let of = |t: &u64| self.record.tries[*t as usize].request == request;
        let conns: Vec<ConnId> = self.out.iter().filter(|(_, (t, _))| of(t)).map(|(c, _)| *c).collect();
        for conn in conns {
            self.out.remove(&conn);
            if let Some(owner) = self.net.conns.get(&conn).map(|c| c.ends[0].owner) {
                self.close(conn, owner);
            }
        }
    }

    /// The proxy itself has ended while this try had no answer.
    pub fn cut_off(&mut self, attempt: u64) {
        let now = self.now;
        self.record.tries[attempt as usize].broken.get_or_insert(now);
    }

    /// A configuration that may be in force does not allow it any more.
    fn revoked(&self, client: usize) -> bool {
        let key = &self.clients[client].key;
        let holds = |c: &record::Change| c.config.tenants.iter().flatten().any(|t| t.keys.contains(key));
        self.record.changes.iter().any(|c| !c.invalid && !holds(c))
    }

    fn ask_directory(&mut self, client: usize) {
        let cores = self.record.cores;
        let c = &mut self.clients[client];
        if c.asking.is_some() {
            return;
        }
        let zone = c.zone;
        let mut order: Vec<usize> = (0..cores).collect();
        self.chance(client as u64).shuffle(&mut order);
        order.sort_by_key(|n| self.hosts[*n].zone != zone);
        order.truncate(3);
        order.reverse();
        self.clients[client].asking = Some(order);
        self.ask_next(client);
    }

    fn ask_next(&mut self, client: usize) {
        let (zone, region) = self.zones[self.clients[client].zone].clone();
        let c = &mut self.clients[client];
        let Some(core) = c.asking.as_mut().and_then(Vec::pop) else {
            c.asking = None;
            c.fresh_until = self.now + 500 * MS;
            let waiting = std::mem::take(&mut c.waiting);
            for number in waiting {
                self.at(self.now + 500 * MS, Ev::Try(number));
            }
            return;
        };
        let from = Owner::Clients(c.zone);
        let target = format!("/api/resolution?entity_name={HOST}&region_name={region}&zone_name={zone}");
        let request = calls::Request { method: "GET".into(), target, if_match: None, body: Vec::new() };
        self.call(from, core, Rc::new(request), CallFor::Resolve(client));
    }

    fn resolved(&mut self, client: usize, answer: Option<&calls::Answer>) {
        let found = answer.filter(|a| a.status == 200).and_then(|a| jzon::parse(&a.body).ok());
        let Some(found) = found else { return self.ask_next(client) };
        let list = found["address_list"].as_array().into_iter().flatten();
        let addresses: Vec<SocketAddr> = list.filter_map(|v| v.as_str()?.parse().ok()).collect();
        let valid = found["validity_s"].as_f64().unwrap_or(0.0).min(self.record.bounds.ttl_s);
        let now = self.now;
        let c = &mut self.clients[client];
        c.asking = None;
        c.addresses = addresses;
        let keeps = if c.lazy { 3.0 } else { 1.0 };
        c.fresh_until = now + (valid * keeps * 1e6) as Micros;
        for number in std::mem::take(&mut c.waiting) {
            self.try_request(number);
        }
    }

    pub fn clients_come(&mut self) {
        let n = self.scenario.clients;
        for i in 0..n {
            let tenant = i % self.plan.tenants.len();
            let key = self.plan.tenants[tenant].keys[0].clone();
            let zone = (i / self.plan.tenants.len()) % self.zones.len();
            self.clients.push(Client {
                zone,
                tenant,
                key,
                addresses: Vec::new(),
                fresh_until: 0,
                asking: None,
                shunned: BTreeMap::new(),
                waiting: Vec::new(),
                lazy: i % 5 == 4,
            });
        }
    }

    // ---- the operator ----

    /// Plans and sends a change; `rival`: on the version that is known, whatever else is under way.
    pub fn wish(&mut self, wish: Wish, rival: bool) {
        if !rival && self.busy() {
            self.wishes.push_back(wish);
            return;
        }
        if let Wish::Evacuate { zone, on } = &wish {
            let method = if *on { "POST" } else { "DELETE" };
            let target = format!("/api/evacuation/{zone}");
            let request = calls::Request { method: method.into(), target, if_match: None, body: Vec::new() };
            let (sent, zone, on) = (self.now, zone.clone(), *on);
            self.record.evacuations.push(record::Evacuation { sent, zone, on, fate: Fate::Open });
            let evacuation = Some(self.record.evacuations.len() - 1);
            let until = self.now + self.record.bounds.ack_limit;
            return self.order(Order { evacuation, ..Order::of(request, until) });
        }
        if matches!(wish, Wish::Drill(_) | Wish::StopDrill { .. }) {
            return self.wish_drill(wish);
        }
        if let Wish::Book(_) | Wish::Unbook { .. } = &wish {
            return self.wish_room(wish);
        }
        let base = self.plan.version;
        let version = base + 1 + u32::from(rival) + self.chance(6).u32(0..3) * 2;
        let wished = self.plan.wished(&wish, version);
        let config = Rc::new(wished.config(&self.plan));
        // In a storm it cannot know what a part would be put into.
        let whole = !self.operators.writers.is_empty();
        let (method, if_match, body) = if whole { wished.put(base) } else { wished.call(base) };
        let (plan, invalid, if_match) = (wished.plan, wished.invalid, Some(if_match));
        let target = "/api/configuration".into();
        let request = calls::Request { method: method.into(), target, if_match, body: body.into_bytes() };
        let (sent, version) = (self.now, plan.version);
        self.record.changes.push(record::Change { sent, version, base, config, invalid, fate: Fate::Open });
        let change = Some(self.record.changes.len() - 1);
        let plan = (!invalid).then_some(plan);
        self.order(Order { plan, change, ..Order::of(request, Micros::MAX) });
    }

    /// Books room, or ends a booking.
    fn wish_room(&mut self, wish: Wish) {
        let now = self.now;
        match (self.scenario.rooms, &wish) {
            (Rooms::Agreed, _) => {}
            (Rooms::OwnClocks, Wish::Book(b)) => {
                for n in 0..self.proxies.len() {
                    let ahead = self.hosts[self.record.cores + n].ahead * MS as i64;
                    let by_its_clock = |at: Micros| at.saturating_add_signed(-ahead);
                    for (at, phase) in [
                        (now, Phase::Planned),
                        (by_its_clock(b.opens), Phase::Open),
                        (by_its_clock(b.closes), Phase::Closing),
                    ] {
                        self.at(at, Ev::Own(n, Rc::new(b.clone()), phase));
                    }
                }
                return self.next_wish();
            }
            _ => return self.next_wish(),
        }
        let (method, name, body, place) = match wish {
            Wish::Book(b) => {
                let body = jzon::object! {
                    tenant_refs: b.tenants.clone(),
                    route_refs: b.routes.clone(),
                    service_ref: b.service.as_str(),
                    flight_count: b.flight,
                    opens_ms: DAY_MS + b.opens / MS,
                    closes_ms: DAY_MS + b.closes / MS,
                    ramp_ms: b.ramp / MS,
                    unused_room: if b.hold { "hold" } else { "lend" },
                };
                let name = b.name.clone();
                self.record.bookings.push(record::Booking { sent: now, ..b });
                ("PUT", name, body.dump(), (self.record.bookings.len() - 1, false))
            }
            Wish::Unbook { name } => {
                let Some(at) = self.record.bookings.iter().rposition(|b| b.name == name) else { return };
                self.record.bookings[at].ended = Some((now, Fate::Open));
                ("DELETE", name, String::new(), (at, true))
            }
            _ => return,
        };
        let target = format!("/api/bookings/{name}");
        let request =
            calls::Request { method: method.into(), target, if_match: None, body: body.into_bytes() };
        self.order(Order { booking: Some(place), ..Order::of(request, Micros::MAX) });
    }

    fn wish_drill(&mut self, wish: Wish) {
        let now = self.now;
        let (method, name, body, drill) = match wish {
            Wish::Drill(drill) => {
                let body = drill.write().dump().into_bytes();
                let (name, fate) = (drill.name.clone(), Fate::Open);
                let (sent, drill) = (now, *drill);
                let (stop_sent, stopped, report, guarded) = Default::default();
                let kept = record::Rehearsal { drill, sent, fate, stop_sent, stopped, report, guarded };
                self.record.rehearsals.push(kept);
                ("PUT", name, body, (self.record.rehearsals.len() - 1, false))
            }
            Wish::StopDrill { name } => {
                let at = self.record.rehearsals.iter().position(|r| r.drill.name == name);
                let at = at.expect("the scenario stops a drill that it began");
                self.record.rehearsals[at].stop_sent = Some(now);
                ("DELETE", name, Vec::new(), (at, true))
            }
            _ => return,
        };
        let target = format!("/api/drills/{name}");
        let request = calls::Request { method: method.into(), target, if_match: None, body };
        let until = now + self.record.bounds.ack_limit;
        self.order(Order { drill: Some(drill), ..Order::of(request, until) });
    }

    pub fn read_drill(&mut self, number: usize) {
        let cores = self.record.cores;
        let core = self.chance(9).usize(0..cores);
        let target = format!("/api/drills/{}", self.record.rehearsals[number].drill.name);
        let request = calls::Request { method: "GET".into(), target, if_match: None, body: Vec::new() };
        self.call(Owner::Operator, core, Rc::new(request), CallFor::ReadDrill(number));
    }

    fn drill_read(&mut self, number: usize, answer: Option<&calls::Answer>) {
        let found = answer.filter(|a| a.status == 200).and_then(|a| jzon::parse(&a.body).ok());
        if let Some(v) = found {
            let met = v["attempt_list"].members().filter(|a| a["attempt_state"] == "met");
            let named = met.filter_map(|a| a["attempt_id"].as_str()?.parse().ok()).collect();
            let why = v["end_reason"].as_str().unwrap_or("");
            self.record.rehearsals[number].guarded = why.starts_with("guard");
            self.record.rehearsals[number].report = Some((named, v["met_count"].as_u32().unwrap_or(0)));
        }
        self.at(self.now + 500 * MS, Ev::ReadDrill(number));
    }

    pub fn order(&mut self, order: Order) {
        self.orders.push(order);
        self.send_order(self.orders.len() - 1);
    }

    pub fn send_order(&mut self, number: usize) {
        let cores = self.record.cores;
        let core = self.chance(number as u64).usize(0..cores);
        let now = self.now;
        let o = &mut self.orders[number];
        o.tries += 1;
        let request = o.request.clone();
        if now > o.until {
            o.done = true;
            if let Some(at) = o.evacuation {
                self.record.evacuations[at].fate = Fate::GivenUp(now);
            }
            return self.next_wish();
        }
        if let Some(change) = self.orders[number].change {
            self.copy_later(change);
        }
        self.call(Owner::Operator, core, request, CallFor::Order(number));
    }

    fn ordered(&mut self, number: usize, answer: Option<&calls::Answer>) {
        let now = self.now;
        let answer = answer.filter(|a| !self.ack_is_lost(number, a.status));
        let status = answer.map_or(0, |a| a.status);
        let o = &mut self.orders[number];
        let ends = matches!(status, 400 | 409 | 412 | 413 | 422);
        if !(200..300).contains(&status) && !ends {
            let pause = (50 * MS) << o.tries.min(4);
            return self.at(now + pause, Ev::Order(number));
        }
        o.done = true;
        let (plan, change, evacuation) = (o.plan.clone(), o.change, o.evacuation);
        let (drill, booking, rollout) = (o.drill, o.booking, o.rollout);
        let fate = if ends { Fate::Refused(now) } else { Fate::Acknowledged(now) };
        self.note(format!("order {number}: {fate:?} {}", answer.map_or("", |a| &*a.body)));
        if let Some(at) = change {
            self.record.changes[at].fate = fate;
            if !ends {
                let known = self.plan.version.max(self.record.changes[at].version);
                self.plan = Plan { version: known, ..plan.unwrap_or_else(|| self.plan.clone()) };
            }
        }
        if let Some(at) = evacuation {
            self.record.evacuations[at].fate = fate;
        }
        if let Some(at) = rollout {
            self.record.rollouts[at].fate = fate;
        }
        match drill {
            Some((at, false)) => {
                self.record.rehearsals[at].fate = fate;
                let last = self.record.ends.saturating_sub(self.record.bounds.contact);
                self.at(last, Ev::ReadDrill(at));
            }
            Some((at, true)) if !ends => self.record.rehearsals[at].stopped = Some(now),
            _ => {}
        }
        match booking {
            Some((at, false)) => self.record.bookings[at].fate = fate,
            Some((at, true)) => {
                if let Some(ended) = &mut self.record.bookings[at].ended {
                    ended.1 = fate;
                }
            }
            None => {}
        }
        if !ends {
            self.fire("order");
        }
        match self.orders[number].writer {
            Some(writer) => self.written_by(writer),
            None => self.next_wish(),
        }
    }

    fn next_wish(&mut self) {
        // Beside a rival that is still open it would go behind the others.
        if !self.busy()
            && let Some(wish) = self.wishes.pop_front()
        {
            self.wish(wish, false);
        }
    }

    fn busy(&self) -> bool {
        self.orders.iter().any(|o| !o.done && o.writer.is_none() && o.rollout.is_none())
    }

    pub fn read_back(&mut self) {
        let cores = self.record.cores;
        let core = self.chance(7).usize(0..cores);
        let target = "/api/configuration".into();
        let request = calls::Request { method: "GET".into(), target, if_match: None, body: Vec::new() };
        self.call(Owner::Operator, core, Rc::new(request), CallFor::ReadBack);
        if !self.record.evacuations.is_empty() {
            self.read_status(core);
        }
        if !self.record.bookings.is_empty() {
            let target = "/api/bookings".into();
            let request = calls::Request { method: "GET".into(), target, if_match: None, body: Vec::new() };
            self.call(Owner::Operator, core, Rc::new(request), CallFor::Listed);
        }
    }

    /// Proxies that the directory may name are at these addresses.
    fn proxy_at(&self, address: SocketAddr) -> usize {
        (0..self.proxies.len())
            .find(|n| SocketAddr::from((self.hosts[self.record.cores + n].ip, 8686)) == address)
            .expect("the directory names proxies")
    }

    pub fn server_at(&self, address: SocketAddr) -> Option<usize> {
        self.places.iter().position(|p| p.addr == address)
    }
}
