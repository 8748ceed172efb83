//! The world: time, chance, machines, and what is done to them.

use crate::load::Load;
use crate::net::{Body, ConnId, Event, Net, Owner};
use crate::operators::Operators;
use crate::outside::{CallFor, Client, Order, Place, Wanted};
use crate::plan::{Plan, Wish};
use crate::process::{Disk, Process, Proxy, Registry, START, Store};
use crate::record::{Booking, Closing, Dark, Host, Record, Trouble, Unheard};
use crate::rollout::{self, FIRST_VERSION, Rollout};
use crate::scenario::{Scenario, What};
use crate::{MS, Micros, SECOND};
use cluster::booking::Phase;
use cluster::talk::Here;
use registry::calls;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

pub enum Ev {
    Wake(Owner, u64),
    Start(Owner),
    /// A process is ended if it is still of this life.
    Kill(Owner, u64),
    PowerOn(Host),
    Written(usize, u64, u64),
    Syn(ConnId),
    SynAck(ConnId),
    DialTimeout(ConnId),
    Packet(ConnId, usize, u64, Body),
    Reset(ConnId, usize),
    Silence(ConnId, usize),
    Here(usize, usize, Here),
    CallTimeout(ConnId),
    Heal(Rc<BTreeSet<(Host, Host)>>),
    /// Goes on after it was stopped.
    Resume(Owner, u64),
    Do(Box<What>),
    Quick(usize),
    Beat(usize, u64, bool),
    Leave(usize, u64),
    Quit(usize, u64),
    Worked(usize, u64, u64),
    ServerStarts(usize, Option<String>, bool),
    Traffic,
    Arrive,
    Crowd(usize),
    /// A proxy takes a booking for in that phase without agreeing with anybody.
    Own(usize, Rc<Booking>, Phase),
    Try(u64),
    Deadline(u64),
    Order(usize),
    ReadBack,
    Look(usize),
    Write(usize),
    Copy(usize),
    ReadDrill(usize),
    /// An operator asks how far a rollout is.
    AskRollout(usize),
    /// A server of a version that was reverted drains.
    Retire(usize),
    /// A rehearsed answer that comes slowly is whole.
    Slowly(usize, u64, ConnId, Rc<proxy::dispatcher::Answer>),
}

pub struct HostAt {
    pub ip: Ipv4Addr,
    pub zone: usize,
    pub power: bool,
    /// It has been started before.
    pub begun: bool,
    /// How far its time of day is ahead, in milliseconds.
    pub ahead: i64,
}

/// An event and its place among those of the same time.
struct Due(Micros, u64, Ev);

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// A program of the core that is stopped: which life of it, until when, and what has come for it.
struct Stalled {
    life: u64,
    until: Micros,
    came: Vec<(ConnId, Event)>,
}

pub struct World {
    pub now: Micros,
    due: BinaryHeap<Reverse<Due>>,
    count: u64,
    rng: fastrand::Rng,
    seed: u64,
    pub scenario: Scenario,
    pub record: Record,
    pub zones: Vec<(String, String)>,
    pub hosts: Vec<HostAt>,
    pub net: Net,
    pub stores: Vec<Option<Process<Store>>>,
    pub disks: Vec<Disk>,
    pub registries: Vec<Option<Process<Registry>>>,
    pub proxies: Vec<Option<Process<Proxy>>>,
    pub places: Vec<Place>,
    pub clients: Vec<Client>,
    pub wanted: Vec<Wanted>,
    /// Tries under way, by their connection.
    pub out: BTreeMap<ConnId, (u64, SocketAddr)>,
    pub calls: BTreeMap<ConnId, (Rc<calls::Request>, CallFor)>,
    pub answered_by: Host,
    pub plan: Plan,
    pub orders: Vec<Order>,
    pub wishes: VecDeque<Wish>,
    pub operators: Operators,
    /// Those of the scenario.
    pub rollouts: Vec<Rollout>,
    /// Their chance.
    pub others: fastrand::Rng,
    /// A tenant that sends more, until when, by how many times.
    pub hot: (usize, Micros, f64),
    /// Tenants that ask a service for so many more a second, until when, and whether nothing is owed for it.
    pub crowds: Vec<(usize, String, f64, Micros, bool)>,
    /// Which part of the clients try again at once and often, and until when.
    pub hasty: (f64, Micros),
    pub traffic_ends: Micros,
    /// The core machines that settings files name.
    pub seeds: Vec<Ipv4Addr>,
    pub load: Load,
    armed: Vec<(String, What)>,
    stalled: BTreeMap<Owner, Stalled>,
    lives: u64,
    /// The process that is being worked on, out of its place meanwhile.
    pub at_work: Option<(Owner, u64)>,
    /// Drills act at this proxy alone.
    pub one_node: Option<usize>,
    /// Machines that stand still, and until when.
    pub frozen: BTreeMap<Host, Micros>,
    pub log: Option<Vec<String>>,
}

/// Traffic starts so long after the machines do.
const TRAFFIC: Micros = 8 * SECOND;

impl World {
    pub fn new(scenario: Scenario, seed: u64) -> World {
        let zone = |name: &str| scenario.zones.iter().position(|z| z.0 == name).unwrap_or(0);
        let (zones, cores, edges) = (scenario.zones.clone(), scenario.cores.len(), scenario.edges);
        let mut hosts = Vec::new();
        let mut host = |ip: [u8; 4], zone: usize, power: bool| {
            hosts.push(HostAt { ip: ip.into(), zone, power, begun: false, ahead: 0 });
        };
        for (n, z) in scenario.cores.iter().enumerate() {
            host([10, 0, 0, n as u8 + 1], zone(z), true);
        }
        for n in 0..edges {
            host([10, 1, (n / 250) as u8, (n % 250) as u8 + 1], n % zones.len(), true);
        }
        let mut places = Vec::new();
        for (service, n) in &scenario.servers {
            for i in 0..*n {
                let at = places.len();
                let zone = i % zones.len();
                let ip = [10, 2, (at / 250) as u8, (at % 250) as u8 + 1];
                host(ip, zone, true);
                let addr = SocketAddr::from((ip, 8080));
                let (service, name) = (service.clone(), format!("{service}{}", i + 1));
                let version = FIRST_VERSION.to_string();
                let (rollout, stands) = (None, true);
                places.push(Place {
                    addr,
                    zone,
                    service,
                    name,
                    version,
                    rollout,
                    stands,
                    server: None,
                    lives: 0,
                });
            }
        }
        // Those of new versions, as many and in the same zones, stand there once their rollout is ordered.
        let rollouts = rollout::all_of(&scenario);
        for (number, of) in rollouts.iter().enumerate() {
            let n = scenario.servers.iter().find(|(service, _)| *service == of.service).map_or(0, |s| s.1);
            for i in 0..n {
                let at = places.len();
                let zone = i % zones.len();
                let ip = [10, 2, (at / 250) as u8, (at % 250) as u8 + 1];
                host(ip, zone, true);
                let (addr, service) = (SocketAddr::from((ip, 8080)), of.service.clone());
                let (version, name) = (of.version.clone(), format!("{service}-{}-{}", of.version, i + 1));
                let (rollout, stands) = (Some(number), false);
                places.push(Place {
                    addr,
                    zone,
                    service,
                    name,
                    version,
                    rollout,
                    stands,
                    server: None,
                    lives: 0,
                });
            }
        }
        for z in 0..zones.len() {
            host([10, 3, 0, z as u8 + 1], z, true);
        }
        host([10, 4, 0, 1], 0, true);
        let plan = Plan::of(&scenario);
        let bounds = scenario.bounds.clone();
        let traffic_ends = scenario.ends.saturating_sub(4 * SECOND);
        let record = Record { cores, edges, ends: scenario.ends, bounds, ..Record::default() };
        let mut world = World {
            now: 0,
            due: BinaryHeap::new(),
            count: 0,
            rng: fastrand::Rng::with_seed(seed),
            seed,
            record,
            zones,
            hosts,
            net: Net::default(),
            stores: (0..cores).map(|_| None).collect(),
            disks: (0..cores).map(|_| Disk::default()).collect(),
            registries: (0..cores).map(|_| None).collect(),
            proxies: (0..edges).map(|_| None).collect(),
            places,
            clients: Vec::new(),
            wanted: Vec::new(),
            out: BTreeMap::new(),
            calls: BTreeMap::new(),
            answered_by: 0,
            plan,
            orders: Vec::new(),
            wishes: VecDeque::new(),
            operators: Operators::default(),
            rollouts,
            others: fastrand::Rng::with_seed(seed ^ 0x0be7_a705),
            hot: (0, 0, 0.0),
            crowds: Vec::new(),
            hasty: (0.0, 0),
            traffic_ends,
            seeds: Vec::new(),
            load: Load::default(),
            armed: Vec::new(),
            stalled: BTreeMap::new(),
            lives: 0,
            at_work: None,
            one_node: None,
            log: None,
            frozen: BTreeMap::new(),
            scenario,
        };
        world.seeds = world.core_ips();
        world.load.hosts = vec![Default::default(); world.hosts.len()];
        world.set_up();
        world
    }

    fn set_up(&mut self) {
        for n in 0..self.record.cores {
            let a = self.chance(n as u64).u64(0..300 * MS);
            let b = self.chance(n as u64 | 1 << 10).u64(0..300 * MS);
            self.at(a, Ev::Start(Owner::Store(n)));
            self.at(b, Ev::Start(Owner::Registry(n)));
        }
        for n in 0..self.proxies.len() {
            let at = self.chance(n as u64 | 1 << 11).u64(0..300 * MS);
            self.at(at, Ev::Start(Owner::Proxy(n)));
        }
        for n in (0..self.places.len()).filter(|n| self.places[*n].stands).collect::<Vec<_>>() {
            let at = SECOND + self.chance(n as u64 | 1 << 12).u64(0..SECOND);
            self.at(at, Ev::ServerStarts(n, None, false));
        }
        self.clients_come();
        self.at(TRAFFIC, Ev::Traffic);
        for n in 0..self.scenario.events.len() {
            self.at(self.scenario.events[n].0, Ev::Quick(n));
        }
        let contact = self.record.bounds.contact;
        self.at(self.scenario.ends.saturating_sub(contact), Ev::ReadBack);
        for reader in 0..self.scenario.readers {
            let first = self.others.u64(SECOND..3 * SECOND);
            self.at(first, Ev::Look(reader));
        }
    }

    /// Plays the day.
    pub fn play(mut self) -> (Record, Option<Vec<String>>) {
        self.until(self.scenario.ends);
        (self.record, self.log)
    }

    /// Goes on to this time.
    pub fn until(&mut self, ends: Micros) {
        if self.now == 0 {
            self.at(SECOND, Ev::Do(Box::new(What::Change { wish: Wish::First, rival: false })));
        }
        while self.due.peek().is_some_and(|Reverse(due)| due.0 <= ends) {
            let Some(Reverse(Due(at, _, event))) = self.due.pop() else { return };
            self.now = at;
            self.event(event);
        }
    }

    pub fn at(&mut self, at: Micros, event: Ev) {
        self.count += 1;
        self.due.push(Reverse(Due(at.max(self.now), self.count, event)));
    }

    pub fn note(&mut self, what: String) {
        let now = self.now;
        if let Some(log) = &mut self.log {
            log.push(format!("{:9.3} {what}", now as f64 / 1e6));
        }
    }

    /// Chance at a place. Where the scenario has it apart, it is of that place and this time alone, so that what is drawn
    /// elsewhere changes nothing here.
    pub fn chance(&mut self, place: u64) -> &mut fastrand::Rng {
        if self.scenario.apart {
            let mut mixed = fastrand::Rng::with_seed(self.seed ^ self.now.rotate_left(32));
            self.rng = fastrand::Rng::with_seed(mixed.u64(..) ^ place.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        }
        &mut self.rng
    }

    pub fn draw_life(&mut self) -> u64 {
        self.lives += 1;
        // Drawn, as real lives are, yet never twice.
        let lives = self.lives;
        (self.chance(lives).u64(1..1 << 40) << 16) | lives
    }

    pub fn core_ips(&self) -> Vec<Ipv4Addr> {
        self.hosts[..self.record.cores.min(3)].iter().map(|h| h.ip).collect()
    }

    pub fn core_at(&self, ip: Ipv4Addr) -> Option<usize> {
        self.hosts[..self.record.cores].iter().position(|h| h.ip == ip)
    }

    pub fn relay_at(&self, ip: Ipv4Addr) -> Option<usize> {
        let edges = &self.hosts[self.record.cores..self.record.cores + self.proxies.len()];
        edges.iter().position(|h| h.ip == ip)
    }

    pub fn host_of(&self, owner: Owner) -> Host {
        let (cores, edges) = (self.record.cores, self.proxies.len());
        match owner {
            Owner::Store(n) | Owner::Registry(n) => n,
            Owner::Proxy(n) => cores + n,
            Owner::Server(n) => cores + edges + n,
            Owner::Clients(z) => cores + edges + self.places.len() + z,
            Owner::Operator => self.hosts.len() - 1,
        }
    }

    /// The life of who is at this end now, if anyone.
    pub fn life(&self, owner: Owner) -> Option<u64> {
        if let Some((who, life)) = self.at_work
            && who == owner
        {
            return Some(life);
        }
        match owner {
            Owner::Store(n) => self.stores[n].as_ref().map(|p| p.life),
            Owner::Registry(n) => self.registries[n].as_ref().map(|p| p.life),
            Owner::Proxy(n) => self.proxies[n].as_ref().map(|p| p.life),
            Owner::Server(n) => self.places[n].server.as_ref().map(|s| s.life),
            Owner::Clients(_) | Owner::Operator => Some(1),
        }
    }

    /// Stopped, its kernel goes on taking connections and what comes over them.
    fn stalled_until(&self, owner: Owner) -> Option<Micros> {
        let stalled = self.stalled.get(&owner)?;
        (self.life(owner) == Some(stalled.life)).then_some(stalled.until)
    }

    fn stall(&mut self, owner: Owner, last: Micros) {
        assert!(
            matches!(owner, Owner::Store(_) | Owner::Registry(_)),
            "{owner:?}: only programs of the core"
        );
        let Some(life) = self.life(owner) else { return };
        self.stalled.insert(owner, Stalled { life, until: self.now + last, came: Vec::new() });
        self.at(self.now + last, Ev::Resume(owner, life));
        if let Owner::Store(host) = owner {
            self.record.dark.push(Dark { host, from: self.now, until: self.now + last });
        }
    }

    fn resume(&mut self, owner: Owner, life: u64) {
        let Some(stalled) = self.stalled.remove(&owner) else { return };
        if self.life(owner) == Some(life) {
            self.note(format!("{owner:?} goes on"));
            let mut by_connection: BTreeMap<ConnId, Vec<Event>> = BTreeMap::new();
            for (conn, event) in stalled.came {
                by_connection.entry(conn).or_default().push(event);
            }
            // A process finds all its connections readable at once, and reads one after the other in any order.
            let mut connections: Vec<(ConnId, Vec<Event>)> = by_connection.into_iter().collect();
            self.chance(11).shuffle(&mut connections);
            for (conn, events) in connections {
                events.into_iter().for_each(|event| self.told(owner, conn, event));
            }
        }
    }

    pub fn told(&mut self, owner: Owner, conn: ConnId, event: Event) {
        if self.stalled_until(owner).is_some() {
            let stalled = self.stalled.get_mut(&owner).expect("just seen");
            return stalled.came.push((conn, event));
        }
        match owner {
            Owner::Store(_) | Owner::Registry(_) | Owner::Proxy(_)
                if !self.calls.contains_key(&conn) || matches!(owner, Owner::Registry(_)) =>
            {
                self.process_told(owner, conn, event);
            }
            _ => self.outside_told(owner, conn, event),
        }
    }

    fn event(&mut self, event: Ev) {
        // What happens at a machine that stands still happens once it goes on.
        if !self.frozen.is_empty()
            && let Some(until) = self.place_of(&event).and_then(|host| self.frozen.get(&host).copied())
            && until > self.now
        {
            return self.at(until, event);
        }
        match event {
            Ev::Wake(owner, life) => match self.stalled_until(owner) {
                Some(until) => self.at(until, Ev::Wake(owner, life)),
                None => self.woken(owner, life),
            },
            Ev::Start(owner) => self.start(owner),
            Ev::Kill(owner, life) => {
                if self.life(owner) == Some(life) {
                    self.end(owner, false);
                }
            }
            Ev::PowerOn(host) => self.hosts[host].power = true,
            Ev::Written(n, life, number) => match self.stalled_until(Owner::Store(n)) {
                Some(until) => self.at(until, Ev::Written(n, life, number)),
                None => self.written(n, life, number),
            },
            Ev::Syn(conn) => self.syn(conn),
            Ev::SynAck(conn) => self.syn_ack(conn),
            Ev::DialTimeout(conn) => self.dial_timeout(conn),
            Ev::Packet(conn, side, number, body) => self.packet(conn, side, number, body),
            Ev::Reset(conn, side) => self.reset(conn, side),
            Ev::Silence(conn, side) => self.silence(conn, side),
            Ev::Here(from, to, here) => self.here(from, to, here),
            Ev::CallTimeout(conn) => self.call_timeout(conn),
            Ev::Heal(ways) => self.heal(&ways),
            Ev::Resume(owner, life) => self.resume(owner, life),
            Ev::Do(what) => self.act(*what),
            Ev::Quick(n) => self.act(self.scenario.events[n].1.clone()),
            Ev::Beat(place, life, periodic) => self.beat(place, life, periodic),
            Ev::Leave(place, life) => self.leave(place, life),
            Ev::Quit(place, life) => {
                if self.life(Owner::Server(place)) == Some(life) {
                    self.server_ends(place, false);
                }
            }
            Ev::Worked(place, life, number) => self.worked(place, life, number),
            Ev::ServerStarts(place, service, cold) => self.server_starts(place, service, cold),
            Ev::Traffic | Ev::Arrive => self.client_arrives(),
            Ev::Own(n, booking, phase) => self.holds_alone(n, &booking, phase),
            Ev::Crowd(number) => self.crowd_arrives(number),
            Ev::Try(number) => self.try_request(number),
            Ev::Deadline(number) => self.deadline(number),
            Ev::Order(number) => self.send_order(number),
            Ev::ReadBack => self.read_back(),
            Ev::Look(reader) => self.look(reader),
            Ev::Write(writer) => self.write_begins(writer),
            Ev::Copy(change) => self.copy(change),
            Ev::ReadDrill(number) => self.read_drill(number),
            Ev::AskRollout(at) => self.ask_rollout(at),
            Ev::Retire(place) => self.drain(place),
            Ev::Slowly(n, life, conn, answer) => {
                if self.life(Owner::Proxy(n)) == Some(life) {
                    self.send(conn, Owner::Proxy(n), Body::Answer(answer));
                }
            }
        }
    }

    /// Something has come about that may have been waited for.
    pub fn fire(&mut self, event: &str) {
        let (now, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.armed).into_iter().partition(|(e, _)| e == event);
        self.armed = rest;
        // A call that was sent is given time to be under way.
        let after = if event == "sent" { self.chance(8).u64(0..8 * MS) } else { 0 };
        for (_, what) in now {
            self.at(self.now + after, Ev::Do(Box::new(what)));
        }
    }

    // ---- what is done ----

    pub fn hosts_named(&self, who: &str) -> Vec<Host> {
        let (cores, edges, all) = (self.record.cores, self.proxies.len(), self.hosts.len());
        let numbered = |prefix: &str, first: usize, count: usize| {
            let n: usize = who.strip_prefix(prefix)?.parse().ok()?;
            (1..=count).contains(&n).then(|| vec![first + n - 1])
        };
        match who {
            "leader" => self.leader().into_iter().collect(),
            "cores" => (0..cores).collect(),
            "edges" => (cores..cores + edges).collect(),
            "machines" => (0..cores + edges).collect(),
            "all" => (0..all).collect(),
            "operator" => vec![all - 1],
            "servers" => (cores + edges..cores + edges + self.places.len()).collect(),
            "clients" => (cores + edges + self.places.len()..all - 1).collect(),
            "followers" => (0..cores).filter(|n| Some(*n) != self.leader()).collect(),
            _ => {
                let zone = |name: &str| self.zones.iter().position(|z| z.0 == name);
                let found = match who.strip_prefix("zone:").and_then(zone) {
                    // Clients and the operator are elsewhere.
                    Some(z) => {
                        let last = cores + edges + self.places.len();
                        Some((0..last).filter(|h| self.hosts[*h].zone == z).collect())
                    }
                    None => numbered("core", 0, cores).or_else(|| numbered("edge", cores, edges)),
                };
                found.unwrap_or_else(|| panic!("the scenario names {who:?}, who is not there"))
            }
        }
    }

    fn owners_on(&self, host: Host) -> Vec<Owner> {
        let (cores, edges) = (self.record.cores, self.proxies.len());
        match host {
            h if h < cores => vec![Owner::Store(h), Owner::Registry(h)],
            h if h < cores + edges => vec![Owner::Proxy(h - cores)],
            h if h < cores + edges + self.places.len() => vec![Owner::Server(h - cores - edges)],
            _ => Vec::new(),
        }
    }

    pub fn owners_named(&self, who: &str) -> Vec<Owner> {
        let numbered = |prefix: &str| who.strip_prefix(prefix).and_then(|n| n.parse::<usize>().ok());
        if let Some(n) = numbered("store") {
            return vec![Owner::Store(n - 1)];
        }
        if let Some(n) = numbered("registry") {
            return vec![Owner::Registry(n - 1)];
        }
        self.hosts_named(who).into_iter().flat_map(|h| self.owners_on(h)).collect()
    }

    pub fn places_named(&self, who: &str) -> Vec<usize> {
        let named = |p: &Place| p.name == who || p.service == who;
        let found: Vec<usize> = (0..self.places.len()).filter(|n| named(&self.places[*n])).collect();
        assert!(!found.is_empty(), "the scenario names the server {who:?}, which is not there");
        found.into_iter().filter(|n| self.places[*n].stands).collect()
    }

    pub fn trouble(
        &mut self,
        hosts: impl IntoIterator<Item = Host>,
        last: Micros,
        planned: bool,
        what: &str,
    ) {
        let machines = self.record.cores + self.proxies.len();
        let (from, until) = (self.now, self.now + last);
        for host in hosts.into_iter().filter(|h| *h < machines).collect::<BTreeSet<_>>() {
            let what = format!("{what}: machine {host}");
            self.note(what.clone());
            self.record.troubles.push(Trouble { host, from, until, planned, what });
        }
    }

    fn stop_owner(&mut self, owner: Owner, dark: bool, back: Micros) {
        match owner {
            Owner::Server(place) => {
                self.server_ends(place, dark);
                self.at(self.now + back, Ev::ServerStarts(place, None, true));
            }
            _ => {
                if let Owner::Store(host) = owner {
                    self.record.dark.push(Dark { host, from: self.now, until: self.now + back + START });
                }
                self.end(owner, dark);
                self.at(self.now + back + START, Ev::Start(owner));
            }
        }
    }

    fn act(&mut self, what: What) {
        let now = self.now;
        match what {
            What::Kill { who, back } => {
                let owners = self.owners_named(&who);
                let hosts: Vec<Host> = owners.iter().map(|o| self.host_of(*o)).collect();
                self.trouble(hosts, back + START, false, "killed");
                for owner in owners {
                    self.stop_owner(owner, false, back);
                }
            }
            What::Stall { who, last } => {
                let owners = self.owners_named(&who);
                let hosts: Vec<Host> = owners.iter().map(|o| self.host_of(*o)).collect();
                self.trouble(hosts, last, false, "stopped");
                owners.into_iter().for_each(|owner| self.stall(owner, last));
            }
            What::Power { who, back } => self.lose_power(&who, back, false),
            What::Wipe { who, back } => self.lose_power(&who, back, true),
            What::Term { who, back } => {
                let owners = self.owners_named(&who);
                let hosts: Vec<Host> = owners.iter().map(|o| self.host_of(*o)).collect();
                let grace = self.record.bounds.grace;
                self.trouble(hosts, grace + back + START, true, "asked to end");
                for owner in owners {
                    if let Some(life) = self.life(owner) {
                        self.ask_to_end(owner);
                        self.at(now + grace, Ev::Kill(owner, life));
                        self.at(now + grace + back, Ev::Start(owner));
                    }
                }
            }
            // Settings files that change are `settings` on simulated time; read again as they are, they change nothing.
            What::Hangup { .. } => {}
            What::Cut { a, b, last, one_way } => {
                let (a, b) = (self.hosts_named(&a), self.hosts_named(&b));
                let mut ways = BTreeSet::new();
                for (x, y) in a.iter().flat_map(|x| b.iter().map(move |y| (*x, *y))) {
                    if x != y && !(a.contains(&y) && b.contains(&y)) {
                        ways.insert((x, y));
                        if !one_way {
                            ways.insert((y, x));
                        }
                    }
                }
                let touched: BTreeSet<Host> = ways.iter().flat_map(|(x, y)| [*x, *y]).collect();
                // Cut off from the whole world, only those cut off are in trouble.
                let whole = b.len() == self.hosts.len();
                let touched: Vec<Host> = touched.into_iter().filter(|h| !whole || a.contains(h)).collect();
                self.trouble(touched, last, false, "cut");
                let until = now + last;
                let unheard = ways.iter().map(|(of, by)| Unheard { from: now, until, by: *by, of: *of });
                self.record.unheard.extend(unheard);
                self.cut(&ways);
                self.at(now + last, Ev::Heal(Rc::new(ways)));
            }
            What::SlowDisk { who, by, last } => {
                let hosts = self.hosts_named(&who);
                if last > 0 {
                    self.trouble(hosts.clone(), last, false, "slow disk");
                    let back = What::SlowDisk { who: who.clone(), by: 0, last: 0 };
                    self.at(now + last, Ev::Do(Box::new(back)));
                }
                for host in hosts {
                    self.disks[host].slow = by;
                }
            }
            What::Change { wish, rival } => self.wish(wish, rival),
            What::Crash { server, dark, back } => {
                for place in self.places_named(&server) {
                    self.server_ends(place, dark);
                    if let Some(back) = back {
                        self.at(now + back, Ev::ServerStarts(place, None, true));
                    }
                }
            }
            What::Replace { server, service, after } => {
                for place in self.places_named(&server) {
                    self.server_ends(place, false);
                    self.at(now + after, Ev::ServerStarts(place, Some(service.clone()), true));
                }
            }
            What::Drain { server, back } => {
                for place in self.places_named(&server) {
                    self.drain(place);
                    if let Some(back) = back {
                        self.at(now + 18 * SECOND + back, Ev::ServerStarts(place, None, true));
                    }
                }
            }
            What::Cold { server } => {
                for place in self.places_named(&server) {
                    self.chill(place);
                }
            }
            What::Lose { server, last } => {
                for place in self.places_named(&server) {
                    self.unwell(place, now + last);
                    if let Some(s) = &mut self.places[place].server {
                        s.loses_until = now + last;
                    }
                }
            }
            What::Pause { server, last } => {
                for place in self.places_named(&server) {
                    if let Some(s) = &mut self.places[place].server {
                        s.pauses_until = now + last;
                    }
                }
            }
            What::Slow { server, last } => {
                for place in self.places_named(&server) {
                    self.unwell(place, now + last);
                    if let Some(s) = &mut self.places[place].server {
                        s.slow_until = now + last;
                    }
                }
            }
            What::Hot { tenant, times, last } => self.hot = (tenant, now + last, times),
            What::OneNode { who } => {
                let first = self.record.cores;
                self.one_node = self.hosts_named(&who).first().map(|h| h - first);
            }
            What::Clock { who, by } => {
                for host in self.hosts_named(&who) {
                    self.hosts[host].ahead = by;
                }
            }
            What::Crowd { tenant, service, rate, last, unowed } => {
                self.crowds.push((tenant, service, rate, now + last, unowed));
                self.crowd_arrives(self.crowds.len() - 1);
            }
            What::Odd(odd) => self.odd(odd),
            What::When { event, then } => self.armed.push((event, *then)),
            What::Closing(what) => {
                self.act(*what);
                let back = self.record.troubles.iter().map(|t| t.until).max().unwrap_or(now);
                self.record.closing = Some(Closing { at: now, back });
            }
        }
    }

    /// A machine of the core goes for good, and an empty one at another address comes in its place; settings files name it.
    pub fn replace_core(&mut self, who: &str, after: Micros) {
        self.lose_power(who, after, true);
        for host in self.hosts_named(who) {
            let [a, b, c, d] = self.hosts[host].ip.octets();
            let (old, new) = (self.hosts[host].ip, Ipv4Addr::from([a, b, c + 1, d]));
            self.hosts[host].ip = new;
            self.seeds.iter_mut().filter(|ip| **ip == old).for_each(|ip| *ip = new);
        }
        for owner in self.owners_named("machines") {
            self.reseed(owner);
        }
    }

    fn lose_power(&mut self, who: &str, back: Micros, wiped: bool) {
        let hosts = self.hosts_named(who);
        self.trouble(hosts.clone(), back + START, false, if wiped { "wiped" } else { "without power" });
        for host in hosts {
            let owners = self.owners_on(host);
            if owners.is_empty() {
                continue;
            }
            self.hosts[host].power = false;
            self.at(self.now + back, Ev::PowerOn(host));
            for owner in owners {
                self.stop_owner(owner, true, back);
            }
            if wiped && host < self.disks.len() {
                self.disks[host].saved = None;
            }
        }
    }
}
