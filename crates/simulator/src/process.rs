//! The three programs as their shells run them: what `main.rs` of each does between its machine and the world
//! is done here between the machine and the simulated world.

use crate::net::{Body, ConnId, Event, Kind, Owner, Work};
use crate::outside::DAY_MS;
use crate::record;
use crate::world::{Ev, World};
use crate::{MS, Micros};
use cluster::booking::{BookChange, Booking, Phase, Unused, divide};
use cluster::state::{Command, Node, State};
use cluster::talk::{Down, FromStore, Gossip, Here, ToStore, Up};
use config_store::replica::{self, Peer, Replica};
use consensus::{PersistentState, Write};
use net::memory::BufferedBody;
use proxy::dispatcher::{self, AttemptResult, ClientRequest, Dispatcher, Execution, ServerAnswer};
use proxy::failure_detector::FailureDetector;
use proxy::feed::{self, Feed};
use proxy::reservations::{BookingTimes, ReservationStatus};
use proxy::routing_view::{Leeway, ProxySettings};
use registry::control_plane::{self, ControlPlane, Parameters};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// As the shells have them.
const PARTING: Micros = 700 * MS;
const STILL_COMING: Micros = 1_500 * MS;
const SHUT: Micros = 50 * MS;
const SPARE: Micros = 500 * MS;
const LOOK: Micros = 50 * MS;
const AGAIN: Micros = 200 * MS;

pub const BEAT: Micros = 1_500 * MS;

#[derive(Default)]
struct Tie {
    conn: Option<ConnId>,
    up: bool,
    again_at: Micros,
}

impl Tie {
    fn rose(&mut self, conn: ConnId) -> bool {
        let mine = self.conn == Some(conn);
        self.up |= mine;
        mine
    }

    fn fell(&mut self, now: Micros, conn: ConnId) -> bool {
        let mine = self.conn == Some(conn);
        if mine {
            (self.conn, self.up, self.again_at) = (None, false, now + AGAIN);
        }
        mine
    }

    fn wake_at(&self) -> Micros {
        if self.conn.is_some() { Micros::MAX } else { self.again_at }
    }
}

pub struct Process<M> {
    pub life: u64,
    pub started: Micros,
    /// When it is to be woken, as far as that is on the calendar.
    wake: Micros,
    ends_at: Option<Micros>,
    pub machine: M,
}

impl<M> Process<M> {
    fn new(life: u64, started: Micros, machine: M) -> Process<M> {
        Process { life, started, wake: Micros::MAX, ends_at: None, machine }
    }

    fn clock(&self, now: Micros) -> Micros {
        now - self.started
    }
}

pub struct Store {
    pub replica: Replica,
    fellows: BTreeMap<Ipv4Addr, Tie>,
    taken: BTreeMap<ConnId, Option<Ipv4Addr>>,
    locals: BTreeSet<ConnId>,
    writes: VecDeque<Write>,
}

/// What is on a core machine's disk.
#[derive(Default)]
pub struct Disk {
    pub saved: Option<(u64, PersistentState)>,
    /// On its way to the disk.
    under_way: Option<Write>,
    pub slow: Micros,
}

pub struct Registry {
    control_plane: ControlPlane,
    store: Tie,
    peers: BTreeMap<Ipv4Addr, Tie>,
    calls: BTreeSet<ConnId>,
}

pub struct Proxy {
    pub front: Dispatcher,
    feed: Feed,
    watch: FailureDetector,
    /// Links to those who are followed, by the feed's numbers; links of followers.
    lines: BTreeMap<u64, ConnId>,
    followers: BTreeSet<ConnId>,
    /// Connections of clients.
    clients: BTreeSet<ConnId>,
    peers: BTreeMap<u64, SocketAddr>,
    /// Requests that wait for their answer, by their connection; the try that each is.
    open: BTreeMap<u64, u64>,
    /// Attempts under way: what they carry, and whether it was sent.
    work: BTreeMap<ConnId, Carried>,
    idle: BTreeMap<u64, Vec<ConnId>>,
    asked_at: Option<Micros>,
    /// What was last noted of the bookings held.
    held: BTreeMap<String, ReservationStatus>,
}

struct Carried {
    id: u64,
    attempt: u32,
    server: u64,
    work: Rc<Work>,
    sent: bool,
    /// An answer to another try has come on its connection.
    surplus: bool,
}

fn frame<T: Serialize>(message: &T) -> Body {
    Body::Frame(Rc::new(postcard::to_stdvec(message).expect("plain data")))
}

fn read<T: DeserializeOwned>(body: &Body) -> Option<T> {
    let Body::Frame(bytes) = body else { return None };
    Some(postcard::from_bytes(bytes).expect("a frame as it was written"))
}

impl World {
    /// Sees to it that a process is woken when it wants to be.
    fn wake<M>(&mut self, owner: Owner, p: &mut Process<M>, at: Micros) {
        if at == Micros::MAX {
            return;
        }
        // A timer fires a little late.
        let at = (p.started + at).max(self.now) + 60;
        if at < p.wake || p.wake <= self.now {
            p.wake = at;
            self.at(at, Ev::Wake(owner, p.life));
        }
    }

    pub fn woken(&mut self, owner: Owner, life: u64) {
        if self.life(owner) != Some(life) {
            return;
        }
        match owner {
            Owner::Store(n) => {
                let due = self.stores[n].as_ref().is_some_and(|p| p.wake <= self.now);
                if due {
                    self.store(n, Some(replica::Input::Tick));
                }
            }
            Owner::Registry(n) => {
                let due = self.registries[n].as_ref().is_some_and(|p| p.wake <= self.now);
                if due {
                    self.registry(n, Some(control_plane::Input::Tick));
                }
            }
            Owner::Proxy(n) => {
                let due = self.proxies[n].as_ref().is_some_and(|p| p.wake <= self.now);
                if due {
                    self.turn(n);
                }
            }
            _ => {}
        }
    }

    pub fn start(&mut self, owner: Owner) {
        let host = self.host_of(owner);
        if !self.hosts[host].power || self.life(owner).is_some() {
            return;
        }
        let life = self.draw_life();
        let ip = self.hosts[host].ip;
        let zone = self.zones[self.hosts[host].zone].clone();
        let (seeds, now) = (self.seeds.clone(), self.now);
        let zones: BTreeMap<String, String> = self.zones.iter().cloned().collect();
        self.note(format!("{owner:?} starts, life {life}"));
        match owner {
            Owner::Store(n) => {
                let founders = self.core_ips();
                // As settings tell it: as many losses are borne as this core can.
                let losses = self.record.cores.saturating_sub(1) / 2;
                let size = (losses > 0).then_some(2 * losses + 1);
                let initial = !std::mem::replace(&mut self.hosts[host].begun, true) && founders.contains(&ip);
                let saved = self.disks[n].saved.get_or_insert_with(|| match initial {
                    true => (0, PersistentState::founding(founders)),
                    false => (life, PersistentState::empty()),
                });
                let (disk, saved) = saved.clone();
                let replica = Replica::new(ip, disk, saved, seeds.clone(), life, 0);
                let replica = replica.expect("a state as it was written");
                let (fellows, taken) = Default::default();
                let (locals, writes) = Default::default();
                let store = Store { replica, fellows, taken, locals, writes };
                self.stores[n] = Some(Process::new(life, now, store));
                self.store(n, Some(replica::Input::Settings { size, seeds }));
            }
            Owner::Registry(n) => {
                let parameters = Parameters {
                    own_ip: ip,
                    own_zone: zone.0,
                    zones,
                    heartbeat_us: BEAT,
                    directory_ttl_s: self.record.bounds.ttl_s,
                    max_sync_us: self.record.bounds.sync,
                    propagation_us: self.record.bounds.config_apply,
                    tolerated_zone_losses: 1,
                    order_repeat_us: registry::control_plane::DEFAULT_ORDER_REPEAT_US,
                };
                let control_plane = ControlPlane::new(parameters, 0);
                let (store, peers, calls) = Default::default();
                self.registries[n] =
                    Some(Process::new(life, now, Registry { control_plane, store, peers, calls }));
                self.registry(n, None);
            }
            Owner::Proxy(n) => {
                let front = SocketAddr::from((ip, 8686));
                let b = &self.record.bounds;
                let period_s = b.quota_period as f64 / 1e6;
                let (retry_ratio, retry_slack) = (b.retry_ratio, b.retry_slack);
                let leeway = Leeway {
                    excess: b.quota_excess,
                    margin: b.quota_margin,
                    period_s,
                    retry_ratio,
                    retry_slack,
                };
                let (name, place) = (
                    format!("edge{}", n + 1),
                    ProxySettings {
                        ip,
                        zone: zone.0.clone(),
                        region: zone.1.clone(),
                        zones: zones.clone(),
                        leeway,
                        booking_times: BookingTimes { settle_us: b.config_apply, hold_us: b.contact },
                        exposure: proxy::rollout::Exposure::from_settings(
                            Some(b.exposure_share),
                            Some(b.exposure_margin),
                        ),
                    },
                );
                let node = Node { ip, name, zone: zone.0, region: zone.1, front };
                let watch = FailureDetector::new(node.clone(), BEAT / 3, life, 0);
                let proxy = Proxy {
                    front: Dispatcher::new(place, BEAT, life, 0),
                    feed: Feed::new(node, zones, seeds, BEAT, life, 0),
                    watch,
                    lines: BTreeMap::new(),
                    followers: BTreeSet::new(),
                    clients: BTreeSet::new(),
                    peers: BTreeMap::new(),
                    open: BTreeMap::new(),
                    work: BTreeMap::new(),
                    idle: BTreeMap::new(),
                    asked_at: None,
                    held: BTreeMap::new(),
                };
                self.proxies[n] = Some(Process::new(life, now, proxy));
                self.turn(n);
            }
            _ => {}
        }
    }

    /// A process ends, however it comes about; `dark`: its machine has no power any more.
    pub fn end(&mut self, owner: Owner, dark: bool) {
        if self.life(owner).is_none() {
            return;
        }
        self.note(format!("{owner:?} ends"));
        match owner {
            Owner::Store(n) => {
                self.stores[n] = None;
                // The write under way is there as a whole or not at all.
                let write = self.disks[n].under_way.take();
                if let (Some(write), true) = (write, self.chance(n as u64).bool())
                    && let Some((_, saved)) = &mut self.disks[n].saved
                {
                    write.apply(saved);
                }
            }
            Owner::Registry(n) => self.registries[n] = None,
            Owner::Proxy(n) => {
                if let Some(p) = self.proxies[n].take() {
                    let (at, edge, life) = (self.now, self.record.cores + n, p.life);
                    for booking in p.machine.held.into_keys() {
                        let (open, part, first) = (false, 0, 0);
                        self.record.held.push(record::Held { at, edge, life, booking, open, part, first });
                    }
                    for number in p.machine.open.values().filter(|_| !dark) {
                        self.cut_off(*number);
                    }
                }
            }
            _ => {}
        }
        self.drop_ends(owner, dark);
    }

    /// SIGTERM.
    pub fn ask_to_end(&mut self, owner: Owner) {
        match owner {
            Owner::Store(n) => {
                self.store(n, Some(replica::Input::Stop));
            }
            Owner::Registry(n) => {
                if let Some(p) = &mut self.registries[n] {
                    p.ends_at.get_or_insert(p.clock(self.now) + PARTING);
                    self.registry(n, None);
                }
            }
            Owner::Proxy(n) => {
                if let Some(p) = &mut self.proxies[n] {
                    let now = p.clock(self.now);
                    p.machine.asked_at.get_or_insert(now);
                    self.feed(n, Some(feed::Input::Shutdown));
                }
            }
            _ => {}
        }
    }

    pub fn process_told(&mut self, owner: Owner, conn: ConnId, event: Event) {
        match owner {
            Owner::Store(n) => self.store_told(n, conn, event),
            Owner::Registry(n) => self.registry_told(n, conn, event),
            Owner::Proxy(n) => self.proxy_told(n, conn, event),
            _ => {}
        }
    }

    // ---- the store ----

    fn store_told(&mut self, n: usize, conn: ConnId, event: Event) {
        let now = self.now;
        let Some(p) = &mut self.stores[n] else { return };
        let s = &mut p.machine;
        let input = match event {
            Event::Taken(Kind::Local) => {
                s.locals.insert(conn);
                None
            }
            Event::Taken(_) => {
                s.taken.insert(conn, None);
                None
            }
            Event::Up => {
                let rose = s.fellows.values_mut().any(|t| t.rose(conn));
                let iam = Peer::Iam { ip: self.hosts[n].ip, disk: s.replica.disk() };
                if rose {
                    self.send(conn, Owner::Store(n), frame(&iam));
                }
                None
            }
            Event::Got(body) if s.locals.contains(&conn) => {
                read::<ToStore>(&body).map(|m| replica::Input::Local(conn, m))
            }
            Event::Got(body) => match read::<Peer>(&body) {
                Some(Peer::Iam { ip, .. }) => {
                    s.taken.insert(conn, Some(ip));
                    None
                }
                Some(peer) => s.taken.get(&conn).copied().flatten().map(|ip| replica::Input::Peer(ip, peer)),
                None => None,
            },
            Event::Down => {
                let clock = p.started;
                s.fellows.values_mut().for_each(|t| {
                    t.fell(now - clock, conn);
                });
                s.taken.remove(&conn);
                s.locals.remove(&conn).then_some(replica::Input::LocalDown(conn))
            }
        };
        self.store(n, input);
    }

    fn store(&mut self, n: usize, input: Option<replica::Input>) {
        let Some(mut p) = self.stores[n].take() else { return };
        let me = Owner::Store(n);
        self.at_work = Some((me, p.life));
        let now = p.clock(self.now);
        let mut out = Vec::new();
        if let Some(input) = input {
            p.machine.replica.handle(now, input, &mut out);
        }
        let s = &mut p.machine;
        for output in out {
            match output {
                replica::Output::Peer(ip, peer) => {
                    let tie = s.fellows.entry(ip).or_default();
                    if let Some(conn) = tie.conn.filter(|_| tie.up) {
                        self.send(conn, me, frame(&peer));
                    }
                }
                replica::Output::Local(link, message) => {
                    if s.locals.contains(&link) {
                        self.send(link, me, frame(&message));
                    }
                }
                replica::Output::Write(write) => s.writes.push_back(write),
            }
        }
        if self.disks[n].under_way.is_none()
            && let Some(write) = s.writes.pop_front()
        {
            let sync = self.scenario.sync + self.disks[n].slow;
            let took = sync + self.chance(n as u64).u64(0..=sync / 2);
            self.at(self.now + took, Ev::Written(n, p.life, write.number));
            self.disks[n].under_way = Some(write);
        }
        for ip in s.replica.peers() {
            s.fellows.entry(ip).or_default();
        }
        for (ip, tie) in &mut s.fellows {
            if tie.conn.is_none()
                && now >= tie.again_at
                && let Some(to) = self.core_at(*ip)
            {
                tie.again_at = now + AGAIN;
                tie.conn = Some(self.dial(Kind::Fellow, me, Owner::Store(to)));
            }
        }
        let ties = s.fellows.values().map(Tie::wake_at).min().unwrap_or(Micros::MAX);
        let wake = s.replica.wake_at().min(ties);
        let over = s.replica.ends_at().is_some_and(|at| now >= at);
        self.wake(me, &mut p, wake);
        self.stores[n] = Some(p);
        self.at_work = None;
        if over {
            self.end(me, false);
        }
    }

    pub fn written(&mut self, n: usize, life: u64, number: u64) {
        if self.life(Owner::Store(n)) != Some(life) {
            return;
        }
        self.load.syncs += 1;
        let write = self.disks[n].under_way.take();
        if let (Some(write), Some((_, saved))) = (write, &mut self.disks[n].saved) {
            write.apply(saved);
        }
        self.store(n, Some(replica::Input::Written(number)));
    }

    // ---- the registry ----

    fn registry_told(&mut self, n: usize, conn: ConnId, event: Event) {
        let now = self.now;
        let Some(p) = &mut self.registries[n] else { return };
        let clock = now - p.started;
        let kind = self.net.conns.get(&conn).map(|c| c.kind);
        let r = &mut p.machine;
        let input = match event {
            Event::Taken(_) => None,
            Event::Up if kind == Some(Kind::Local) => {
                r.store.rose(conn).then_some(control_plane::Input::StoreUp)
            }
            Event::Up => {
                r.peers.values_mut().any(|t| t.rose(conn));
                None
            }
            Event::Got(Body::Call(request)) => {
                r.calls.insert(conn);
                Some(control_plane::Input::Call(conn, (*request).clone()))
            }
            Event::Got(body) => match kind {
                Some(Kind::Local) if r.store.up && r.store.conn == Some(conn) => {
                    read::<FromStore>(&body).map(control_plane::Input::Store)
                }
                Some(Kind::Gossip) => read::<Gossip>(&body).map(control_plane::Input::Peer),
                Some(Kind::News) => read::<Up>(&body).map(|up| control_plane::Input::Proxy(conn, up)),
                _ => None,
            },
            // The network may have forgotten a connection that ended while this process was stopped.
            Event::Down if r.calls.remove(&conn) => Some(control_plane::Input::CallClosed(conn)),
            Event::Down => match kind {
                Some(Kind::Local) => r.store.fell(clock, conn).then_some(control_plane::Input::StoreDown),
                Some(Kind::News) => Some(control_plane::Input::ProxyDown(conn)),
                Some(Kind::Call) => None,
                _ => {
                    r.peers.values_mut().for_each(|t| {
                        t.fell(clock, conn);
                    });
                    None
                }
            },
        };
        self.registry(n, input);
    }

    fn registry(&mut self, n: usize, input: Option<control_plane::Input>) {
        let Some(mut p) = self.registries[n].take() else { return };
        let me = Owner::Registry(n);
        self.at_work = Some((me, p.life));
        let now = p.clock(self.now);
        let mut out = Vec::new();
        let day_ms = DAY_MS.saturating_add_signed(self.hosts[n].ahead) + self.now / MS;
        p.machine.control_plane.set_time_of_day(now, day_ms);
        if let Some(input) = input {
            p.machine.control_plane.handle(now, input, &mut out);
        }
        let r = &mut p.machine;
        for output in out {
            match output {
                control_plane::Output::Answer(id, answer) => {
                    if r.calls.remove(&id) {
                        self.send(id, me, Body::Called(Rc::new(answer)));
                    }
                }
                control_plane::Output::Store(message) => {
                    if let Some(conn) = r.store.conn.filter(|_| r.store.up) {
                        self.send(conn, me, frame(&message));
                    }
                }
                control_plane::Output::Peer(ip, gossip) => {
                    let tie = r.peers.entry(ip).or_default();
                    if let Some(conn) = tie.conn.filter(|_| tie.up) {
                        self.send(conn, me, frame(&gossip));
                    }
                    if tie.conn.is_none()
                        && now >= tie.again_at
                        && let Some(to) = self.core_at(ip)
                    {
                        tie.again_at = now + AGAIN;
                        tie.conn = Some(self.dial(Kind::Gossip, me, Owner::Registry(to)));
                    }
                }
                control_plane::Output::Proxy(link, down) => self.send(link, me, frame(&down)),
            }
        }
        if r.store.conn.is_none() && now >= r.store.again_at {
            r.store.again_at = now + AGAIN;
            r.store.conn = Some(self.dial(Kind::Local, me, Owner::Store(n)));
        }
        let wake = r.control_plane.wake_at().min(r.store.wake_at()).min(p.ends_at.unwrap_or(Micros::MAX));
        let over = p.ends_at.is_some_and(|at| now >= at);
        self.wake(me, &mut p, wake);
        self.registries[n] = Some(p);
        self.at_work = None;
        if over {
            self.end(me, false);
        }
    }

    // ---- the proxy ----

    fn proxy_told(&mut self, n: usize, conn: ConnId, event: Event) {
        let Some(p) = &mut self.proxies[n] else { return };
        let Some(kind) = self.net.conns.get(&conn).map(|c| c.kind) else { return };
        let x = &mut p.machine;
        match (kind, event) {
            (Kind::Relay, Event::Taken(_)) => {
                x.followers.insert(conn);
            }
            (Kind::Relay, Event::Got(body)) if x.followers.contains(&conn) => {
                let input = read::<Up>(&body).map(|up| feed::Input::FromFollower(conn, up));
                self.feed(n, input);
            }
            (Kind::Relay, Event::Down) if x.followers.remove(&conn) => {
                self.feed(n, Some(feed::Input::FollowerGone(conn)));
            }
            (Kind::News | Kind::Relay, event) => {
                let Some(link) = x.lines.iter().find(|(_, c)| **c == conn).map(|(l, _)| *l) else { return };
                let input = match event {
                    Event::Up => feed::Input::Connected(link),
                    Event::Got(body) => match read::<Down>(&body) {
                        Some(down) => feed::Input::Received(link, down),
                        None => return,
                    },
                    Event::Down => feed::Input::Disconnected(link),
                    Event::Taken(_) => return,
                };
                self.feed(n, Some(input));
            }
            (Kind::Request, Event::Taken(_)) => {
                x.clients.insert(conn);
            }
            (Kind::Request, Event::Got(Body::Ask(number))) => {
                let now = self.now;
                let t = &mut self.record.tries[number as usize];
                t.read = Some(now);
                let ask = ClientRequest {
                    id: conn,
                    method: if t.once { "POST" } else { "GET" }.into(),
                    target: t.path.clone(),
                    host: t.host.clone(),
                    attempt_id: number.to_string().into_bytes().into(),
                    left_us: Some(t.until.saturating_sub(t.sent)),
                    key: t.key.clone(),
                    head: format!("X-Attempt-Id: {number}\r\n").into_bytes(),
                    body: BufferedBody::default(),
                };
                x.open.insert(conn, number);
                self.front(n, Some(dispatcher::Input::Request(ask)));
            }
            (Kind::Request, Event::Down) => {
                x.clients.remove(&conn);
                let open = x.open.remove(&conn).is_some();
                self.front(n, open.then_some(dispatcher::Input::ClientGone(conn)));
            }
            (Kind::Work, Event::Up) => {
                if let Some(c) = x.work.get_mut(&conn) {
                    c.sent = true;
                    let work = c.work.clone();
                    self.send(conn, Owner::Proxy(n), Body::Work(work));
                }
            }
            (Kind::Work, Event::Got(Body::Worked(w))) => {
                let mine = x.work.get(&conn).is_some_and(|c| c.work.name == w.name);
                if !mine && let Some(c) = x.work.get_mut(&conn) {
                    c.surplus = true; // another's: its own is awaited behind it
                } else if !mine {
                    // Nobody has asked: the connection is of no more use.
                    x.idle.values_mut().for_each(|idle| idle.retain(|c| *c != conn));
                    self.close(conn, Owner::Proxy(n));
                } else if let Some(c) = x.work.remove(&conn) {
                    if w.garbled {
                        self.close(conn, Owner::Proxy(n));
                        let end = AttemptResult::Broken { execution: Execution::MayHaveRun };
                        let input = dispatcher::Input::AttemptEnded { id: c.id, attempt: c.attempt, end };
                        return self.front(n, Some(input));
                    }
                    match c.surplus {
                        true => self.close(conn, Owner::Proxy(n)),
                        false => x.idle.entry(c.server).or_default().push(conn),
                    }
                    let seal = w.seal.map(|s| format!("X-Server-Seal: {s}\r\n")).unwrap_or_default();
                    let (headers, body) = (seal.into_bytes(), Vec::new());
                    let served =
                        ServerAnswer { status: w.status, not_run: w.not_run, headers, body: body.into() };
                    let end = AttemptResult::Answered(served);
                    self.front(
                        n,
                        Some(dispatcher::Input::AttemptEnded { id: c.id, attempt: c.attempt, end }),
                    );
                }
            }
            (Kind::Work, Event::Down) => {
                x.idle.values_mut().for_each(|idle| idle.retain(|c| *c != conn));
                if let Some(c) = x.work.remove(&conn) {
                    let execution = if c.sent { Execution::MayHaveRun } else { Execution::NeverRan };
                    let end = AttemptResult::Broken { execution };
                    self.front(
                        n,
                        Some(dispatcher::Input::AttemptEnded { id: c.id, attempt: c.attempt, end }),
                    );
                }
            }
            _ => {}
        }
    }

    fn front(&mut self, n: usize, input: Option<dispatcher::Input>) {
        let Some(mut p) = self.proxies[n].take() else { return };
        let me = Owner::Proxy(n);
        self.at_work = Some((me, p.life));
        let now = p.clock(self.now);
        let mut inputs: VecDeque<dispatcher::Input> = input.into_iter().collect();
        let mut out = Vec::new();
        while let Some(input) = inputs.pop_front() {
            p.machine.front.handle(now, input, &mut out);
            for output in out.drain(..) {
                if let Some(more) = self.front_out(n, (p.life, p.started), &mut p.machine, output) {
                    inputs.push_back(more);
                }
            }
        }
        let over = self.show(&mut p);
        self.held(n, &mut p);
        let x = &mut p.machine;
        let rows = x.front.drill_rows(now);
        let tallies = x.front.tallies(now);
        let looks = x.asked_at.map_or(Micros::MAX, |_| now + LOOK);
        if x.front.wants_early_report() {
            x.feed.report_soon();
        }
        let wake = x.front.wake_at().min(x.feed.wake_at()).min(x.watch.wake_at()).min(looks);
        self.wake(me, &mut p, wake);
        self.proxies[n] = Some(p);
        self.at_work = None;
        if over {
            return self.end(me, false);
        }
        if !rows.is_empty() {
            self.feed(n, Some(feed::Input::Drill(rows)));
        }
        if !tallies.is_empty() {
            self.feed(n, Some(feed::Input::Rollout(tallies)));
        }
    }

    /// A proxy that agrees with nobody holds an even part of a booking, by its own clock.
    pub fn holds_alone(&mut self, n: usize, b: &record::Booking, phase: Phase) {
        let even = self.proxies.len();
        let ips = (0..even).map(|n| (self.hosts[self.record.cores + n].ip, 1)).collect();
        let Some(p) = &mut self.proxies[n] else { return };
        let now = p.clock(self.now);
        let name = b.name.clone();
        let booking = Booking {
            name: name.clone(),
            tenants: b.tenants.clone(),
            routes: b.routes.clone(),
            service: b.service.clone(),
            flight: b.flight,
            residence_ms: 1,
            opens_ms: b.opens / MS,
            closes_ms: b.closes / MS,
            ramp_ms: (b.ramp / MS) as u32,
            unused: if b.hold { Unused::Hold } else { Unused::Lend },
        };
        let parts = divide(b.flight, &ips);
        let mut changes = vec![
            BookChange::Put { booking, base: 0, room: u32::MAX },
            BookChange::Divide { name: name.clone(), number: 1, parts },
        ];
        let phases = [Phase::Open, Phase::Closing].into_iter().filter(|p| *p <= phase);
        for (epoch, phase) in (1..).zip(phases) {
            changes.push(BookChange::Phase { name: name.clone(), epoch, phase });
        }
        let mut state = State::default();
        for (rev, change) in (1..).zip(changes) {
            state.apply(now, rev, &Command::Book(change));
        }
        p.machine.front.apply_bookings(now, &state);
        self.front(n, Some(dispatcher::Input::Tick));
    }

    /// Notes what is held of bookings, where that has changed.
    fn held(&mut self, n: usize, p: &mut Process<Proxy>) {
        let (at, edge, life) = (self.now, self.record.cores + n, p.life);
        let (shown, held) = (p.machine.front.bookings(), &mut p.machine.held);
        let none = ReservationStatus { open: false, part: 0, first: 0 };
        let names: BTreeSet<String> =
            held.keys().cloned().chain(shown.keys().map(|k| k.to_string())).collect();
        for booking in names {
            let now = shown.get(booking.as_str()).copied().unwrap_or(none);
            if held.insert(booking.clone(), now) != Some(now) {
                let ReservationStatus { open, part, first } = now;
                self.record.held.push(record::Held { at, edge, life, booking, open, part, first });
            }
        }
    }

    fn front_out(
        &mut self,
        n: usize,
        (life, started): (u64, Micros),
        x: &mut Proxy,
        output: dispatcher::Output,
    ) -> Option<dispatcher::Input> {
        let me = Owner::Proxy(n);
        match output {
            dispatcher::Output::Send(job) => {
                let number: u64 =
                    std::str::from_utf8(&job.attempt_id).expect("text").parse().expect("a number");
                self.record.tries[number as usize].given = true;
                let work = Rc::new(Work {
                    name: number,
                    instance: job.instance.to_string(),
                    sent: self.now,
                    until: started.saturating_add(job.until),
                    head: job.request.head.clone(),
                    edge: self.host_of(me),
                    life,
                });
                let Some(to) = x.peers.get(&job.server).and_then(|a| self.server_at(*a)) else {
                    let end = AttemptResult::Broken { execution: Execution::NeverRan };
                    return Some(dispatcher::Input::AttemptEnded { id: job.id, attempt: job.attempt, end });
                };
                let kept = x.idle.get_mut(&job.server).filter(|_| !job.same_server_retry).and_then(Vec::pop);
                let conn = kept.unwrap_or_else(|| self.dial(Kind::Work, me, Owner::Server(to)));
                let (id, attempt, server) = (job.id, job.attempt, job.server);
                if kept.is_some() {
                    self.send(conn, me, Body::Work(work.clone()));
                }
                x.work.insert(
                    conn,
                    Carried { id, attempt, server, work, sent: kept.is_some(), surplus: false },
                );
            }
            dispatcher::Output::CancelAttempt { id, attempt, .. } => {
                let found = x.work.iter().find(|(_, c)| c.id == id && c.attempt == attempt).map(|(c, _)| *c);
                if let Some(conn) = found {
                    x.work.remove(&conn);
                    self.close(conn, me);
                }
            }
            dispatcher::Output::Answer(id, answer) => {
                if x.open.remove(&id).is_some() {
                    self.send(id, me, Body::Answer(Rc::new(answer)));
                    if x.asked_at.is_some() {
                        // The last answer ends the connection.
                        x.clients.remove(&id);
                        self.close(id, me);
                    }
                }
            }
            dispatcher::Output::Cut(id, _) | dispatcher::Output::Close(id) => {
                if x.open.remove(&id).is_some() {
                    x.clients.remove(&id);
                    self.close(id, me);
                }
            }
            dispatcher::Output::Slow(id, answer, us) => {
                if x.open.remove(&id).is_some() {
                    self.at(self.now + us, Ev::Slowly(n, life, id, Rc::new(answer)));
                }
            }
            dispatcher::Output::DrillFault { attempt_id, injected, .. } => {
                let attempt = std::str::from_utf8(&attempt_id).expect("text").parse().expect("a number");
                let drills = &x.front.copy.state.drills.0;
                let name = drills.values().find(|h| h.epoch == injected.epoch).map(|h| h.drill.name.as_str());
                let of = self.record.rehearsals.iter().position(|r| Some(r.drill.name.as_str()) == name);
                let (at, edge, of) = (self.now, self.host_of(me), of.expect("an operator's drill"));
                self.record.met.push(record::Met { attempt, at, edge, of });
            }
            dispatcher::Output::Server { server, peer, .. } => {
                x.peers.insert(server, peer.addr);
            }
            dispatcher::Output::ServerRemoved { server } => {
                x.peers.remove(&server);
                for conn in x.idle.remove(&server).unwrap_or_default() {
                    self.close(conn, me);
                }
            }
        }
        None
    }

    /// What the shell shows of itself; whether all is over after a signal to end.
    fn show(&mut self, p: &mut Process<Proxy>) -> bool {
        let now = p.clock(self.now);
        let x = &mut p.machine;
        let ready = x.front.ready() && x.feed.has_been_fresh() && x.asked_at.is_none();
        if x.feed.ready != ready {
            x.feed.ready = ready;
            x.feed.report_soon();
        }
        let Some(asked_at) = x.asked_at else { return false };
        let late = now >= asked_at + self.record.bounds.grace.saturating_sub(SPARE);
        late || (x.clients.is_empty() && now >= asked_at + STILL_COMING + SHUT)
    }

    /// The listener of a proxy that ends is shut after a while.
    pub fn takes_clients(&self, n: usize) -> bool {
        let shut =
            |p: &Process<Proxy>| p.machine.asked_at.is_some_and(|at| p.clock(self.now) >= at + STILL_COMING);
        self.proxies[n].as_ref().is_some_and(|p| !shut(p))
    }

    fn feed(&mut self, n: usize, input: Option<feed::Input>) {
        let mut inputs: VecDeque<feed::Input> = input.into_iter().collect();
        while let Some(input) = inputs.pop_front() {
            let Some(mut p) = self.proxies[n].take() else { return };
            let me = Owner::Proxy(n);
            self.at_work = Some((me, p.life));
            let now = p.clock(self.now);
            let x = &mut p.machine;
            if x.feed.report_due(now) {
                x.feed.set_usage(x.front.tenant_usage(now));
            }
            let mut out = Vec::new();
            x.feed.handle(now, input, &x.front.copy, &mut out);
            x.front.set_fresh_at(now, x.feed.fresh_at());
            let mut fronts = Vec::new();
            for output in out {
                match output {
                    feed::Output::Connect { link, ip, relay } => {
                        let conn = match relay {
                            true => self.relay_at(ip).map(|to| self.dial(Kind::Relay, me, Owner::Proxy(to))),
                            false => {
                                self.core_at(ip).map(|to| self.dial(Kind::News, me, Owner::Registry(to)))
                            }
                        };
                        x.lines.extend(conn.map(|conn| (link, conn)));
                    }
                    feed::Output::Disconnect(link) => {
                        if let Some(conn) = x.lines.remove(&link) {
                            self.close(conn, me);
                        }
                    }
                    feed::Output::SendUp(link, up) => {
                        if let Some(conn) = x.lines.get(&link) {
                            self.send(*conn, me, frame(&up));
                        }
                        self.watch(n, x, now, true);
                    }
                    feed::Output::SendDown(conn, down) => {
                        if x.followers.contains(&conn) {
                            self.send(conn, me, frame(&down));
                        }
                    }
                    feed::Output::DropFollower(conn) => {
                        if x.followers.remove(&conn) {
                            self.close(conn, me);
                        }
                    }
                    feed::Output::Meter(readings, made_at) => {
                        fronts.push(dispatcher::Input::Meter(readings, made_at));
                    }
                    feed::Output::Leases(leases, made_at) => {
                        if self.one_node.is_none_or(|one| one == n) {
                            fronts.push(dispatcher::Input::Leases(leases, made_at));
                        }
                    }
                    feed::Output::News(news) => fronts.push(dispatcher::Input::News(news)),
                }
            }
            self.proxies[n] = Some(p);
            self.at_work = None;
            for input in fronts {
                let news = matches!(input, dispatcher::Input::News(_));
                self.front(n, Some(input));
                if let Some(p) = self.proxies[n].as_mut().filter(|_| news) {
                    let now = p.started;
                    p.machine.watch.set_nodes(self.now - now, &p.machine.front.copy.state.nodes);
                    inputs.push_back(feed::Input::CopyChanged);
                }
            }
        }
        self.front(n, None);
    }

    /// SIGHUP: the settings file is read anew. The other two programs take nothing from it while they run.
    pub fn reseed(&mut self, owner: Owner) {
        if let Owner::Proxy(n) = owner
            && let Some(p) = &mut self.proxies[n]
        {
            p.machine.feed.set_seeds(self.seeds.clone());
        }
    }

    /// Tells the watchers that this proxy is there, if it is time.
    fn watch(&mut self, n: usize, x: &mut Proxy, now: Micros, soon: bool) {
        let Some((here, watchers)) = x.watch.next_heartbeat(now, soon) else { return };
        for ip in watchers {
            if let Some(to) = self.relay_at(*ip) {
                self.datagram(n, to, here);
            }
        }
        x.feed.set_suspects(x.watch.suspects());
    }

    pub fn here(&mut self, from: usize, to: usize, here: Here) {
        let ip = self.hosts[self.host_of(Owner::Proxy(from))].ip;
        if let Some(p) = &mut self.proxies[to] {
            let now = p.clock(self.now);
            p.machine.watch.heartbeat_received(now, ip, here);
        }
    }

    /// What the shell does when only time has passed.
    fn turn(&mut self, n: usize) {
        self.front(n, Some(dispatcher::Input::Tick));
        if let Some(mut p) = self.proxies[n].take() {
            let now = p.clock(self.now);
            self.watch(n, &mut p.machine, now, false);
            self.proxies[n] = Some(p);
        }
        self.feed(n, Some(feed::Input::Tick));
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.stores.len()).find(|n| self.stores[*n].as_ref().is_some_and(|p| p.machine.replica.leads()))
    }
}

/// How long a process takes to start.
pub const START: Micros = 150 * MS;
