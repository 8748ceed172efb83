//! Connections between hosts, as far as TCP shows them: in order, held up by a cut and sent again when it
//! heals, ended when nothing is acknowledged for too long, reset when nobody is there, silent when a host has
//! no power.

use crate::world::{Ev, World};
use crate::{MS, Micros, SECOND};
use cluster::talk::Here;
use registry::calls;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

pub type ConnId = u64;

/// Who holds an end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Owner {
    Store(usize),
    Registry(usize),
    Proxy(usize),
    Server(usize),
    /// The clients of a zone.
    Clients(usize),
    Operator,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Fellow,
    Local,
    Gossip,
    News,
    Relay,
    Watch,
    Request,
    Work,
    Call,
}

#[derive(Clone, Debug)]
pub enum Body {
    /// Between the system's own processes.
    Frame(Rc<Vec<u8>>),
    Call(Rc<calls::Request>),
    Called(Rc<calls::Answer>),
    /// A client's try.
    Ask(u64),
    Answer(Rc<proxy::front::Answer>),
    Work(Rc<Work>),
    Worked(Rc<Worked>),
    End,
}

/// A request as a server gets it.
#[derive(Debug)]
pub struct Work {
    pub name: u64,
    pub instance: String,
    pub sent: Micros,
    pub until: Micros,
    pub head: Vec<u8>,
    pub edge: usize,
    pub life: u64,
}

#[derive(Debug)]
pub struct Worked {
    /// The try that it answers.
    pub name: u64,
    pub status: u16,
    pub not_run: bool,
    pub seal: Option<u64>,
    /// Broken off, or bytes that are no answer.
    pub garbled: bool,
}

#[derive(Debug)]
pub enum Event {
    /// The other side has taken the connection.
    Up,
    /// A connection of this kind was taken here.
    Taken(Kind),
    Got(Body),
    Down,
}

pub struct End {
    pub owner: Owner,
    pub life: u64,
    pub open: bool,
}

#[derive(Default)]
struct Way {
    next: u64,
    last: Micros,
    stalled: BTreeMap<u64, Body>,
    unacked: VecDeque<(u64, Micros)>,
    delivered: u64,
}

pub struct Conn {
    pub kind: Kind,
    pub ends: [End; 2],
    ways: [Way; 2],
    pub up: bool,
}

/// What is sent and not acknowledged for so long ends a connection, and a try to open one.
const SILENCE: Micros = SECOND;
const DIAL_SERVER: Micros = 600 * MS;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Direction {
    Out,
    In,
}

#[derive(Default)]
pub struct Net {
    pub conns: BTreeMap<ConnId, Conn>,
    next: ConnId,
    /// One way, from host to host, and how many cuts hold it.
    cuts: BTreeMap<(usize, usize), u32>,
    /// Until when a host's link is taken up, out and in.
    taken_until: BTreeMap<(usize, Direction), Micros>,
}

impl Net {
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains_key(&(from, to))
    }
}

impl World {
    fn hosts(&self, conn: ConnId, side: usize) -> Option<(usize, usize)> {
        let c = self.net.conns.get(&conn)?;
        Some((self.host_of(c.ends[side].owner), self.host_of(c.ends[1 - side].owner)))
    }

    fn delay(&mut self, from: usize, to: usize) -> Micros {
        let (a, b) = (self.hosts[from].zone, self.hosts[to].zone);
        let base = match () {
            _ if from == to => 30,
            _ if a == b => 250,
            _ if self.zones[a].1 == self.zones[b].1 => 1_400,
            _ => self.scenario.far,
        };
        base + self.chance((from as u64) << 20 | to as u64).u64(0..=base / 8 + 20)
    }

    pub fn dial(&mut self, kind: Kind, from: Owner, to: Owner) -> ConnId {
        self.net.next += 1;
        let id = self.net.next;
        let life = self.life(from).unwrap_or(0);
        let near = End { owner: from, life, open: true };
        let far = End { owner: to, life: 0, open: false };
        self.net.conns.insert(id, Conn { kind, ends: [near, far], ways: Default::default(), up: false });
        let (a, b) = (self.host_of(from), self.host_of(to));
        let delay = self.delay(a, b);
        self.at(self.now + delay, Ev::Syn(id));
        let patience = if kind == Kind::Work { DIAL_SERVER } else { SILENCE };
        self.at(self.now + patience, Ev::DialTimeout(id));
        id
    }

    pub fn syn(&mut self, id: ConnId) {
        let Some((a, b)) = self.hosts(id, 0) else { return };
        if self.net.is_cut(a, b) || !self.hosts[b].power {
            return;
        }
        let to = self.net.conns[&id].ends[1].owner;
        let delay = self.delay(b, a);
        let taken = match (to, self.net.conns[&id].kind) {
            (Owner::Proxy(n), Kind::Request) => self.takes_clients(n),
            _ => true,
        };
        match self.life(to).filter(|_| taken) {
            None => self.at(self.now + delay, Ev::Reset(id, 0)),
            Some(life) => {
                let c = self.net.conns.get_mut(&id).expect("there");
                (c.ends[1].life, c.ends[1].open) = (life, true);
                let kind = c.kind;
                self.at(self.now + delay, Ev::SynAck(id));
                self.told(to, id, Event::Taken(kind));
            }
        }
    }

    /// The host at which an event happens.
    pub fn place_of(&self, event: &Ev) -> Option<usize> {
        match event {
            Ev::Wake(owner, _) => Some(self.host_of(*owner)),
            Ev::Written(n, ..) => Some(*n),
            Ev::Here(_, to, _) => Some(self.host_of(Owner::Proxy(*to))),
            Ev::Syn(conn) => self.hosts(*conn, 0).map(|(_, to)| to),
            Ev::SynAck(conn) | Ev::DialTimeout(conn) => self.hosts(*conn, 0).map(|(from, _)| from),
            Ev::Packet(conn, side, ..) => self.hosts(*conn, *side).map(|(_, to)| to),
            Ev::Reset(conn, side) | Ev::Silence(conn, side) => self.hosts(*conn, *side).map(|(of, _)| of),
            _ => None,
        }
    }

    pub fn syn_ack(&mut self, id: ConnId) {
        let Some((a, b)) = self.hosts(id, 0) else { return };
        if self.net.is_cut(b, a) {
            return;
        }
        let c = self.net.conns.get_mut(&id).expect("there");
        if c.ends[0].open {
            c.up = true;
            self.tell(id, 0, Event::Up);
        }
    }

    pub fn dial_timeout(&mut self, id: ConnId) {
        let Some(c) = self.net.conns.get_mut(&id) else { return };
        if !c.up && c.ends[0].open {
            c.ends[0].open = false;
            self.tell(id, 0, Event::Down);
            self.reset_other(id, 0);
        }
    }

    /// Tells the owner of an end, if it still lives.
    fn tell(&mut self, id: ConnId, side: usize, event: Event) {
        let Some(c) = self.net.conns.get(&id) else { return };
        let (owner, life) = (c.ends[side].owner, c.ends[side].life);
        if self.life(owner) == Some(life) {
            self.told(owner, id, event);
        }
        self.tidy(id);
    }

    fn tidy(&mut self, id: ConnId) {
        let done =
            |c: &Conn| !c.ends[0].open && !c.ends[1].open && c.ways.iter().all(|w| w.stalled.is_empty());
        if self.net.conns.get(&id).is_some_and(done) {
            let c = &self.net.conns[&id];
            // A connection that was never taken may still be: its first packet is on its way.
            if c.ends[1].life != 0 {
                self.net.conns.remove(&id);
            }
        }
    }

    pub fn send(&mut self, id: ConnId, from: Owner, body: Body) {
        let Some(c) = self.net.conns.get(&id) else { return };
        let side = usize::from(c.ends[0].owner != from);
        if c.ends[side].open {
            self.put(id, side, body);
        }
    }

    fn put(&mut self, id: ConnId, side: usize, body: Body) {
        let Some((a, b)) = self.hosts(id, side) else { return };
        let cut = self.net.is_cut(a, b);
        let now = self.now;
        if let Body::Frame(bytes) = &body {
            let kind = self.net.conns[&id].kind;
            self.carried(kind, a, b, bytes.len());
        }
        let queued = match &body {
            Body::Frame(bytes) => self.queue(a, b, bytes.len()),
            _ => 0,
        };
        let way = &mut self.net.conns.get_mut(&id).expect("there").ways[side];
        way.next += 1;
        let number = way.next;
        // What a slow link holds up is still acknowledged piece by piece.
        way.unacked.push_back((number, now + queued));
        let first = way.unacked.len() == 1;
        if cut || !way.stalled.is_empty() {
            way.stalled.insert(number, body);
        } else {
            self.fly(id, side, number, body, queued);
        }
        if first {
            self.at(now + SILENCE, Ev::Silence(id, side));
        }
    }

    /// Puts so many bytes on the links of both hosts: how long until the last of them is through.
    fn queue(&mut self, from: usize, to: usize, bytes: usize) -> Micros {
        let Some(rate) = self.scenario.link else { return 0 };
        let takes = bytes as u64 * SECOND / rate;
        let mut through = self.now;
        for (host, way) in [(from, Direction::Out), (to, Direction::In)] {
            if host >= self.record.cores {
                let until = self.net.taken_until.entry((host, way)).or_default();
                *until = (*until).max(self.now) + takes;
                through = through.max(*until);
            }
        }
        through - self.now
    }

    fn fly(&mut self, id: ConnId, side: usize, number: u64, body: Body, more: Micros) {
        let Some((a, b)) = self.hosts(id, side) else { return };
        let delay = self.delay(a, b);
        let now = self.now;
        let way = &mut self.net.conns.get_mut(&id).expect("there").ways[side];
        way.last = (now + delay + more).max(way.last + 1);
        let at = way.last;
        self.at(at, Ev::Packet(id, side, number, body));
    }

    pub fn packet(&mut self, id: ConnId, side: usize, number: u64, body: Body) {
        let Some((a, b)) = self.hosts(id, side) else { return };
        let (cut, back, power) = (self.net.is_cut(a, b), !self.net.is_cut(b, a), self.hosts[b].power);
        let c = self.net.conns.get_mut(&id).expect("there");
        if cut {
            c.ways[side].stalled.insert(number, body);
            return;
        }
        if !power {
            return;
        }
        let end = &c.ends[1 - side];
        if !end.open {
            if c.ends[side].open && back {
                let delay = self.delay(b, a);
                self.at(self.now + delay, Ev::Reset(id, side));
            }
            return;
        }
        let way = &mut c.ways[side];
        way.delivered = number;
        if back {
            way.unacked.retain(|u| u.0 > number);
        }
        match body {
            Body::End => {
                c.ends[1 - side].open = false;
                self.tell(id, 1 - side, Event::Down);
            }
            body => self.tell(id, 1 - side, Event::Got(body)),
        }
    }

    pub fn reset(&mut self, id: ConnId, side: usize) {
        let Some((to, from)) = self.hosts(id, side) else { return };
        if self.net.is_cut(from, to) || !self.hosts[to].power {
            return;
        }
        let end = &mut self.net.conns.get_mut(&id).expect("there").ends[side];
        if end.open {
            end.open = false;
            self.tell(id, side, Event::Down);
        }
    }

    fn reset_other(&mut self, id: ConnId, side: usize) {
        let Some((a, b)) = self.hosts(id, side) else { return };
        if !self.net.is_cut(a, b) && self.net.conns[&id].ends[1 - side].open {
            let delay = self.delay(a, b);
            self.at(self.now + delay, Ev::Reset(id, 1 - side));
        }
    }

    pub fn silence(&mut self, id: ConnId, side: usize) {
        let now = self.now;
        let Some(c) = self.net.conns.get_mut(&id) else { return };
        let Some((_, at)) = c.ways[side].unacked.front().copied().filter(|_| c.ends[side].open) else {
            return;
        };
        if at + SILENCE > now {
            return self.at(at + SILENCE, Ev::Silence(id, side));
        }
        c.ends[side].open = false;
        c.ways[side].stalled.clear();
        self.tell(id, side, Event::Down);
        self.reset_other(id, side);
    }

    /// Ends a connection from this side, after what was sent on it.
    pub fn close(&mut self, id: ConnId, from: Owner) {
        let Some(c) = self.net.conns.get_mut(&id) else { return };
        let side = usize::from(c.ends[0].owner != from);
        if c.ends[side].open {
            c.ends[side].open = false;
            if c.up || side == 1 {
                self.put(id, side, Body::End);
            }
            self.tidy(id);
        }
    }

    /// A process has ended: the system closes what it held; without power, nobody does.
    pub fn drop_ends(&mut self, owner: Owner, dark: bool) {
        let held = |c: &Conn| c.ends.iter().any(|e| e.open && e.owner == owner);
        let ids: Vec<ConnId> = self.net.conns.iter().filter(|(_, c)| held(c)).map(|(id, _)| *id).collect();
        for id in ids {
            if !dark {
                self.close(id, owner);
            } else if let Some(c) = self.net.conns.get_mut(&id) {
                let side = usize::from(c.ends[0].owner != owner);
                c.ends[side].open = false;
                c.ways[side].stalled.clear();
                self.tidy(id);
            }
        }
    }

    /// Some get lost.
    pub fn datagram(&mut self, from: usize, to: usize, here: Here) {
        let (a, b) = (self.host_of(Owner::Proxy(from)), self.host_of(Owner::Proxy(to)));
        if self.net.is_cut(a, b) || self.chance((a as u64) << 20 | b as u64 | 1 << 50).u32(0..100) == 0 {
            return;
        }
        self.carried(Kind::Watch, a, b, postcard::to_stdvec(&here).expect("plain data").len());
        let delay = self.delay(a, b);
        self.at(self.now + delay, Ev::Here(from, to, here));
    }

    pub fn cut(&mut self, ways: &BTreeSet<(usize, usize)>) {
        for way in ways {
            *self.net.cuts.entry(*way).or_default() += 1;
        }
    }

    pub fn heal(&mut self, ways: &BTreeSet<(usize, usize)>) {
        for way in ways {
            if let Some(n) = self.net.cuts.get_mut(way) {
                *n -= 1;
                if *n == 0 {
                    self.net.cuts.remove(way);
                }
            }
        }
        let ids: Vec<ConnId> = self.net.conns.keys().copied().collect();
        for (id, side) in ids.into_iter().flat_map(|id| [(id, 0), (id, 1)]) {
            let Some((a, b)) = self.hosts(id, side) else { continue };
            let (to, back) = (!self.net.is_cut(a, b), !self.net.is_cut(b, a));
            let way = &mut self.net.conns.get_mut(&id).expect("there").ways[side];
            if to && back {
                let delivered = way.delivered;
                way.unacked.retain(|u| u.0 > delivered);
            }
            if to && !way.stalled.is_empty() {
                let stalled = std::mem::take(&mut way.stalled);
                let again = self.chance(id << 1 | side as u64).u64(0..200 * MS);
                for (number, body) in stalled {
                    self.fly(id, side, number, body, again);
                }
            }
        }
    }
}
