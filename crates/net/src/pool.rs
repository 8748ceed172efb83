//! A server: an actor for its address, which owns its idle connections and opens new ones, and a coroutine
//! for each connection, which carries one attempt at a time. What becomes of an attempt is told to the wire
//! once.
//!
//! An attempt is never sent again from here. Only one of which no byte was written, on a connection that had
//! died while idle, goes to another connection: no server can have seen any of it.

mod connection;
pub mod exchange;

use crate::Micros;
use crate::errors::{AttemptError, Cause, Progress};
use crate::http::{self, Bounds};
use crate::limits::{Held, Side};
use crate::mailbox::Mailbox;
use crate::room::Room;
use crate::socket;
use may::sync::mpsc::{Receiver, Sender, channel};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What is spoken with servers: writes the last lines of requests, reads the heads of answers, and is told
/// what became of attempts. One for all servers that are spoken to alike. All calls come on the coroutines'
/// thread.
pub trait Wire: Send + Sync + Sized + 'static {
    /// What an attempt carries along for this wire.
    type Note: Send + 'static;
    /// What is read out of an answer's head.
    type Said: Send + 'static;

    /// Whole lines, "Name: value\r\n", that end the head of this attempt; framing is not theirs. `left_us`,
    /// one at the least, is what is left of its time as it is written.
    fn last_lines(&self, job: &Job<Self::Note>, left_us: Micros, out: &mut Vec<u8>);

    /// An answer's head is whole; interim ones (1xx) are not shown.
    fn heard(&self, job: &Job<Self::Note>, head: &http::Response) -> Heard<Self::Said>;

    /// An attempt has ended; told once, and not of one that was given up.
    fn ended(&self, ended: Ended<Self>);

    /// No descriptor is left: idle connections to servers are to give way.
    fn crowded(&self) {}
}

/// What an answer's head is to the attempt that waits.
pub enum Heard<Said> {
    /// Its answer.
    Mine(Said),
    /// A further answer to an earlier request: it is read and dropped, the attempt's own is awaited behind
    /// it, and then the connection ends.
    Surplus,
}

/// A request as it goes to servers, but for the lines of the one attempt; shared by all of them and never
/// copied.
pub struct Passage {
    /// Request line and headers, without framing and without the blank line that ends them.
    pub head: Vec<u8>,
    pub body: Held,
}

/// One attempt.
pub struct Job<Note> {
    pub id: u64,
    pub attempt: u32,
    pub passage: Arc<Passage>,
    /// An earlier attempt of this request went to this server. It goes over a connection that has carried
    /// nothing yet: on one that carried the earlier attempt, a second answer to that one could not be told
    /// from the answer to this one.
    pub again: bool,
    /// When nobody waits any more.
    pub until: Micros,
    pub note: Note,
}

/// What became of an attempt.
pub struct Ended<W: Wire> {
    pub id: u64,
    pub attempt: u32,
    pub note: W::Note,
    /// When its connection began to write it; 0 if none did.
    pub begun_at: Micros,
    pub outcome: Result<Served<W::Said>, AttemptError>,
}

/// A whole answer.
pub struct Served<Said> {
    pub status: u16,
    pub said: Said,
    pub body: Vec<u8>,
}

/// Of one server's connections.
#[derive(Clone, Debug)]
pub struct Settings {
    /// For a connection to come up.
    pub dial_us: Micros,
    /// For an answer that has begun to be whole, or to bring its next 64 KB.
    pub answer_us: Micros,
    /// A connection idle for longer is not used again, where the server names no time (`Keep-Alive:
    /// timeout=N`).
    pub idle_us: Micros,
    /// Connections at the most.
    pub most: usize,
    /// Sent, and not acknowledged for so long, the connection has failed (`TCP_USER_TIMEOUT`).
    pub silence: Option<Duration>,
    /// Of an answer.
    pub bounds: Bounds,
}

/// A server, for those who send to it. Dropping it does not end the server's actor: `gone` does.
pub struct Peer<W: Wire>(Sender<ToServer<W>>);

impl<W: Wire> Clone for Peer<W> {
    fn clone(&self) -> Self {
        Peer(self.0.clone())
    }
}

impl<W: Wire> Peer<W> {
    /// Starts the actor of a server; it dials once there is something to send.
    pub fn start(addr: SocketAddr, room: Arc<Room>, wire: Arc<W>, settings: Settings) -> Peer<W> {
        let (me, inbox) = channel();
        let server = Server::new(addr, room, wire, settings, me.clone());
        may::go!(move || server.run(&inbox));
        Peer(me)
    }

    /// False where the server's actor has ended: nothing is told of the attempt then.
    pub fn send(&self, job: Job<W::Note>) -> bool {
        self.0.send(ToServer::Send(job)).is_ok()
    }

    /// Closes the attempt's connection; nothing more is told of it. `late`: its time was up, and this is when
    /// it was sent.
    pub fn give_up(&self, id: u64, attempt: u32, late: Option<Micros>) {
        self.tell(ToServer::GiveUp { id, attempt, late });
    }

    /// Where it is from now on, and whether it takes requests.
    pub fn listed(&self, addr: SocketAddr, up: bool) {
        self.tell(ToServer::Listed { addr, up });
    }

    /// Off the list for good: its actor ends with its last attempt, unless it is listed again before.
    pub fn gone(&self) {
        self.tell(ToServer::Gone);
    }

    pub fn close_idle(&self) {
        self.tell(ToServer::CloseIdle);
    }

    /// For connections opened from now on; the most and the idle time hold at once.
    pub fn set(&self, settings: Settings) {
        self.tell(ToServer::Set(settings));
    }

    fn tell(&self, told: ToServer<W>) {
        let _ = self.0.send(told); // its actor may have ended
    }
}

/// What a server's actor is told.
enum ToServer<W: Wire> {
    Send(Job<W::Note>),
    GiveUp {
        id: u64,
        attempt: u32,
        late: Option<Micros>,
    },
    Listed {
        addr: SocketAddr,
        up: bool,
    },
    Gone,
    CloseIdle,
    Set(Settings),
    /// By one of its connections: ready for the next attempt; the server keeps it open for so long.
    Free {
        conn: u64,
        keep_us: Option<Micros>,
    },
    Connected {
        conn: u64,
    },
    /// By one of its connections: it has ended; of this attempt nothing was written.
    Ended {
        conn: u64,
        unsent: Option<Job<W::Note>>,
    },
    DialTimeout {
        conn: u64,
    },
    Sweep,
}

enum ToConn<Note> {
    Carry(Job<Note>),
    /// End; if an attempt is still to be told of, this is why it failed.
    End(Option<Cause>),
}

struct Conn<Note> {
    inbox: Arc<Mailbox<ToConn<Note>>>,
    connected: bool,
    job: Option<(u64, u32)>,
}

/// A connection that waits for its next attempt.
#[derive(Clone, Copy)]
struct Idle {
    conn: u64,
    since: Micros,
    /// Its server keeps it open up to then.
    until: Option<Micros>,
}

struct Server<W: Wire> {
    addr: SocketAddr,
    up: bool,
    gone: bool,
    room: Arc<Room>,
    wire: Arc<W>,
    settings: Settings,
    me: Sender<ToServer<W>>,
    conns: HashMap<u64, Conn<W::Note>>,
    /// The newest last.
    idle: VecDeque<Idle>,
    busy: HashMap<(u64, u32), u64>,
    count: u64,
    sweeping: bool,
    /// When it last answered, or took a connection.
    heard_at: Micros,
}

/// How long a connection rests after an answer, while others are idle.
const REST_US: Micros = 2_000;

/// A connection is not used in the last part of the time that its server keeps it: an attempt could cross its
/// end.
const KEEP_MARGIN_US: Micros = 1_000_000;

impl<W: Wire> Server<W> {
    fn new(
        addr: SocketAddr,
        room: Arc<Room>,
        wire: Arc<W>,
        settings: Settings,
        me: Sender<ToServer<W>>,
    ) -> Self {
        Server {
            addr,
            up: true,
            gone: false,
            room,
            wire,
            settings,
            me,
            conns: HashMap::new(),
            idle: VecDeque::new(),
            busy: HashMap::new(),
            count: 0,
            sweeping: false,
            heard_at: 0,
        }
    }

    fn run(mut self, inbox: &Receiver<ToServer<W>>) {
        while !(self.gone && self.conns.is_empty()) {
            let Ok(told) = inbox.recv() else { return };
            self.take(told);
        }
    }

    fn take(&mut self, told: ToServer<W>) {
        match told {
            ToServer::Send(job) => self.send(job),
            ToServer::GiveUp { id, attempt, late } => {
                if let Some(conn) = self.busy.remove(&(id, attempt)) {
                    self.end(conn, None);
                }
                // Not a word since that attempt was sent: its machine may be gone, which open connections
                // never tell. A new connection does, soon, and proves that the attempt never ran. Should it
                // only be slow, a few handshakes are lost.
                if late.is_some_and(|sent_at| self.heard_at < sent_at) {
                    self.close_idle();
                }
            }
            ToServer::Listed { addr, up } => {
                if addr != self.addr || !up {
                    self.close_idle();
                }
                (self.addr, self.up, self.gone) = (addr, up, false);
                self.end_dials();
            }
            ToServer::Gone => {
                (self.up, self.gone) = (false, true);
                self.close_idle();
                self.end_dials();
            }
            ToServer::CloseIdle => self.close_idle(),
            ToServer::Set(settings) => {
                self.settings = settings;
                self.retire();
            }
            ToServer::Free { conn, keep_us } => {
                let Some(c) = self.conns.get_mut(&conn) else { return };
                if let Some(job) = c.job.take() {
                    self.busy.remove(&job);
                }
                self.heard_at = self.room.clock.now();
                if !self.up {
                    return self.end(conn, None);
                }
                let since = self.heard_at;
                let until = keep_us.map(|keep| since.saturating_add(keep - KEEP_MARGIN_US.min(keep / 2)));
                self.idle.push_back(Idle { conn, since, until });
                self.sweep_later();
            }
            ToServer::Connected { conn } => {
                if let Some(c) = self.conns.get_mut(&conn) {
                    c.connected = true;
                    self.heard_at = self.room.clock.now();
                }
            }
            ToServer::Ended { conn, unsent } => {
                let Some(c) = self.conns.remove(&conn) else { return };
                // It may have ended while an attempt was on its way to it: that one was never touched either.
                // One that was given up meanwhile must not go out any more.
                let handed = std::iter::from_fn(|| c.inbox.pop()).find_map(|told| match told {
                    ToConn::Carry(job) => Some(job),
                    ToConn::End(_) => None,
                });
                let wanted = c.job.is_some_and(|key| self.busy.remove(&key).is_some());
                if let Some(job) = unsent.or(handed).filter(|_| wanted) {
                    self.send(job);
                }
            }
            ToServer::DialTimeout { conn } => {
                if self.conns.get(&conn).is_some_and(|c| !c.connected) {
                    self.end(conn, Some(Cause::DialTimeout));
                }
            }
            ToServer::Sweep => {
                self.sweeping = false;
                self.retire();
                self.sweep_later();
            }
        }
    }

    /// An attempt that waits for a connection must not be sent late to a server that drains.
    fn end_dials(&mut self) {
        if self.up {
            return;
        }
        let dialing: Vec<u64> = self.conns.iter().filter(|(_, c)| !c.connected).map(|(n, _)| *n).collect();
        for conn in dialing {
            self.end(conn, Some(Cause::ServerGone));
        }
    }

    fn end(&mut self, conn: u64, why: Option<Cause>) {
        if let Some(c) = self.conns.get(&conn) {
            c.inbox.post(ToConn::End(why));
        }
    }

    fn close_idle(&mut self) {
        for idle in std::mem::take(&mut self.idle) {
            self.end(idle.conn, None);
        }
    }

    /// A connection that the server might close any moment is worth less than a new one: an attempt written
    /// to it would count as one that may have run.
    fn retire(&mut self) {
        let (now, idle_us) = (self.room.clock.now(), self.settings.idle_us);
        let (stay, old) = std::mem::take(&mut self.idle)
            .into_iter()
            .partition(|i| i.until.unwrap_or(i.since.saturating_add(idle_us)) >= now);
        self.idle = stay;
        let old: VecDeque<Idle> = old;
        for idle in old {
            self.end(idle.conn, None);
        }
    }

    fn sweep_later(&mut self) {
        if !self.sweeping && !self.idle.is_empty() {
            self.sweeping = true;
            let me = self.me.clone();
            self.room.alarms.after(self.settings.idle_us / 3 + 1, move || {
                let _ = me.send(ToServer::Sweep);
            });
        }
    }

    fn send(&mut self, job: Job<W::Note>) {
        if !self.up {
            return self.refuse(job, Cause::ServerGone);
        }
        self.retire();
        while !job.again
            && let Some(conn) = self.rested()
        {
            if let Some(c) = self.conns.get_mut(&conn) {
                c.job = Some((job.id, job.attempt));
                self.busy.insert((job.id, job.attempt), conn);
                return c.inbox.post(ToConn::Carry(job));
            }
        }
        self.dial(job);
    }

    /// The newest idle connection, but one that has rested if there is any: bytes that a server sends unasked
    /// right behind an answer are seen by then, and cannot be taken for the answer to what is written next.
    fn rested(&mut self) -> Option<u64> {
        let before = self.room.clock.now().saturating_sub(REST_US);
        let place = self.idle.iter().rposition(|idle| idle.since <= before);
        let place = place.or(self.idle.len().checked_sub(1))?;
        self.idle.remove(place).map(|idle| idle.conn)
    }

    fn refuse(&self, job: Job<W::Note>, cause: Cause) {
        let error = AttemptError { progress: Progress::Dialing, cause };
        self.wire.ended(Ended::failed(job, 0, error));
    }

    fn dial(&mut self, job: Job<W::Note>) {
        if self.conns.len() >= self.settings.most {
            return self.refuse(job, Cause::MostConnections);
        }
        let Some(fd) = self.room.fds.take(Side::Servers) else {
            self.wire.crowded();
            return self.refuse(job, Cause::NoDescriptor);
        };
        let io = match socket::connect(self.addr, self.settings.silence) {
            Ok(io) => io,
            Err(e) => {
                // Also where the system gives fewer descriptors than the configuration says.
                if matches!(e.raw_os_error(), Some(EMFILE | ENFILE)) {
                    self.wire.crowded();
                }
                return self.refuse(job, Cause::Io(e));
            }
        };
        self.count += 1;
        let (conn, key) = (self.count, (job.id, job.attempt));
        let inbox = Arc::new(Mailbox::new(io.bell()));
        self.conns.insert(conn, Conn { inbox: inbox.clone(), connected: false, job: Some(key) });
        self.busy.insert(key, conn);
        let with = connection::With {
            number: conn,
            room: self.room.clone(),
            wire: self.wire.clone(),
            settings: self.settings.clone(),
            server: self.me.clone(),
        };
        connection::start(with, io, inbox, job, fd);
        let me = self.me.clone();
        self.room.alarms.after(self.settings.dial_us, move || {
            let _ = me.send(ToServer::DialTimeout { conn });
        });
    }
}

const EMFILE: i32 = nix::errno::Errno::EMFILE as i32;
const ENFILE: i32 = nix::errno::Errno::ENFILE as i32;

impl<W: Wire> Ended<W> {
    fn failed(job: Job<W::Note>, begun_at: Micros, error: AttemptError) -> Ended<W> {
        Ended { id: job.id, attempt: job.attempt, note: job.note, begun_at, outcome: Err(error) }
    }
}

/// A large body goes out from where it is, for all attempts.
impl AsRef<[u8]> for Passage {
    fn as_ref(&self) -> &[u8] {
        &self.body.bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clock::{Alarm, Alarms, Clock};
    use std::net::TcpListener;

    struct Mute;

    impl Wire for Mute {
        type Note = ();
        type Said = ();

        fn last_lines(&self, _: &Job<()>, _: Micros, _: &mut Vec<u8>) {}

        fn heard(&self, _: &Job<()>, _: &http::Response) -> Heard<()> {
            Heard::Mine(())
        }

        fn ended(&self, _: Ended<Mute>) {}
    }

    /// A server's actor with one connection that has just ended, an attempt in its mailbox.
    fn server(listener: &TcpListener) -> Server<Mute> {
        let clock = Clock::start();
        let alarms = Alarms::start(clock).expect("a timer");
        let room = Arc::new(Room::new(1000, 64, clock, alarms, Box::new(|_| {})));
        let inbox = Arc::new(Mailbox::new(Alarm::new(clock).expect("a timer").bell()));
        let passage = Arc::new(Passage { head: b"GET / HTTP/1.1\r\n".to_vec(), body: Held::default() });
        inbox.post(ToConn::Carry(Job {
            id: 5,
            attempt: 0,
            passage,
            again: false,
            until: clock.now() + 1_000_000,
            note: (),
        }));
        let settings = Settings {
            dial_us: 100_000,
            answer_us: 100_000,
            idle_us: 1_000_000,
            most: 1000,
            silence: None,
            bounds: Bounds { head: 4096, body: 4096 },
        };
        let addr = listener.local_addr().expect("bound");
        let mut server = Server::new(addr, room, Arc::new(Mute), settings, channel().0);
        server.conns.insert(1, Conn { inbox, connected: true, job: Some((5, 0)) });
        server.busy.insert((5, 0), 1);
        server.count = 1;
        server
    }

    /// Else the attempt would be lost between the two, and its client wait to the end.
    #[test]
    fn an_attempt_handed_to_a_connection_that_has_ended_goes_to_another() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut server = server(&listener);
        server.take(ToServer::Ended { conn: 1, unsent: None });
        assert_eq!(server.busy, HashMap::from([((5, 0), 2)]));
        assert!(server.conns.contains_key(&2) && !server.conns.contains_key(&1));
        assert!(listener.accept().is_ok());
    }

    #[test]
    fn a_connection_that_has_rested_goes_before_one_that_was_just_used() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut server = server(&listener);
        let now = server.room.clock.now();
        let idle = |(conn, since)| Idle { conn, since, until: None };
        server.idle = [(1, now - 50_000), (2, now - 20_000), (3, now), (4, now)].map(idle).into();
        let order: Vec<u64> = std::iter::from_fn(|| server.rested()).collect();
        assert_eq!(order, [2, 1, 4, 3]);
    }

    /// On the connection that carried the first, a second answer to it could not be told from this one's.
    #[test]
    fn a_second_attempt_of_a_request_gets_a_connection_of_its_own() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut server = server(&listener);
        server.take(ToServer::Free { conn: 1, keep_us: None });
        let passage = Arc::new(Passage { head: b"GET / HTTP/1.1\r\n".to_vec(), body: Held::default() });
        let until = server.room.clock.now() + 1_000_000;
        for (id, again, conn) in [(5, true, 2), (6, false, 1)] {
            let passage = passage.clone();
            server.take(ToServer::Send(Job { id, attempt: 1, passage, again, until, note: () }));
            assert_eq!(server.busy[&(id, 1)], conn);
        }
    }

    /// Its request has had its answer: sent now it would run for nobody, or twice.
    #[test]
    fn an_attempt_given_up_meanwhile_is_not_sent() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut server = server(&listener);
        server.take(ToServer::GiveUp { id: 5, attempt: 0, late: None });
        server.take(ToServer::Ended { conn: 1, unsent: None });
        assert!(server.busy.is_empty() && server.conns.is_empty());
    }

    #[test]
    fn a_connection_is_used_no_longer_than_its_server_keeps_it() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut server = server(&listener);
        server.settings.idle_us = 60_000_000;
        let now = server.room.clock.now();
        let idle = |(conn, until)| Idle { conn, since: now - 30_000_000, until };
        server.idle = [(1, None), (2, Some(now - 1)), (3, Some(now + 9_000_000))].map(idle).into();
        server.retire();
        assert_eq!(server.idle.iter().map(|i| i.conn).collect::<Vec<u64>>(), [1, 3]);
        server.take(ToServer::Set(Settings { idle_us: 1_000_000, ..server.settings.clone() }));
        assert_eq!(server.idle.iter().map(|i| i.conn).collect::<Vec<u64>>(), [3], "what it says goes first");
    }

    #[test]
    fn no_more_connections_are_opened_than_there_may_be() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut server = server(&listener);
        server.settings.most = 1;
        let passage = Arc::new(Passage { head: b"GET / HTTP/1.1\r\n".to_vec(), body: Held::default() });
        let until = server.room.clock.now() + 1_000_000;
        server.take(ToServer::Send(Job { id: 6, attempt: 0, passage, again: false, until, note: () }));
        assert!(!server.busy.contains_key(&(6, 0)) && server.conns.len() == 1);
    }
}
