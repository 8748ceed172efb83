//! A listener and its clients: an actor with one coroutine for each connection. A connection carries one
//! request at a time; a well-formed one is handed to the desk behind the listener, which answers it once.
//! Malformed ones are answered here and never reach it.

mod connection;
#[cfg(test)]
mod model;

use crate::Micros;
use crate::clock::Alarm;
use crate::http::{self, Bad, Bounds};
use crate::limits::{Fd, Held, Side};
use crate::mailbox::{Bell, Mailbox};
use crate::ring::Bytes;
use crate::room::Room;
use crate::socket::Watched;
use socket2::{Domain, Type};
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What stands behind a listener: reads its clients' requests its own way and answers them. All calls come on
/// the coroutines' thread and on a small stack, so they are short and plain; what is not is answered later,
/// by the `Reply`.
pub trait Desk: Send + Sync + 'static {
    /// A request's head as this desk read it.
    type Ask: Send + 'static;

    /// What a request may measure; asked for each, so it may change.
    fn bounds(&self) -> Bounds;

    /// How long clients may take; asked again and again, so it may change.
    fn patience(&self) -> Patience;

    /// The head is whole. An error is answered by `refusal`, and ends the connection.
    fn head(&self, head: &http::Request) -> Result<Heard<Self::Ask>, Bad>;

    /// The request is whole. `id` is its own among all requests of all listeners of one `Room`.
    fn asked(&self, id: u64, ask: Self::Ask, body: Held, reply: Reply);

    /// So many requests of one connection may be under way at once, where they are GET or HEAD without a body and the
    /// client sends them before it has its answers.
    fn abreast(&self) -> usize {
        1
    }

    /// The client has gone before its answer.
    fn withdrawn(&self, id: u64);

    /// Answers from now on end their connections, and idle ones are closed after half a second.
    fn draining(&self) -> bool;

    /// The answer to a request that the listener itself turns away: malformed, too large, late (408), without
    /// room for it (503), or left without an answer (500, 502).
    fn refusal(&self, bad: &Bad) -> Answer;

    /// What a client is told whose connection ends before it has brought any request; by default nothing.
    fn unheard(&self) -> Option<Bad> {
        None
    }

    /// No descriptor is left for clients: others are to give way.
    fn crowded(&self) {}
}

/// What a desk makes of a request's head.
pub enum Heard<Ask> {
    /// The body is read, then `Desk::asked` is called.
    Take(Ask),
    /// Answered at once. A body that is small is read and dropped first; else the connection ends.
    Say(Answer),
}

pub struct Answer {
    pub status: u16,
    /// Whole lines, "Name: value\r\n", without framing and `Connection`.
    pub headers: Vec<u8>,
    /// Held until it is written, never copied if it is large. Not sent to HEAD nor with 204 and 304.
    pub body: Bytes,
    /// The connection ends in the middle of its body; where that is empty, without anything.
    pub cut: bool,
    /// The body goes out in pieces over so long; 0: at once.
    pub pace_us: Micros,
    /// The connection ends after it. So it does where the client asks for it, and while the desk is draining.
    pub close: bool,
}

impl Answer {
    pub fn new(status: u16, headers: Vec<u8>, body: impl Into<Bytes>) -> Answer {
        Answer { status, headers, body: body.into(), cut: false, pace_us: 0, close: false }
    }

    /// An answer in plain text.
    pub fn text(status: u16, text: impl Into<Vec<u8>>) -> Answer {
        let text = text.into();
        let headers = if text.is_empty() { Vec::new() } else { b"Content-Type: text/plain\r\n".to_vec() };
        Answer::new(status, headers, text)
    }
}

/// Where the one answer to a request goes, from any thread. Dropped without one, the request is answered by
/// `Desk::refusal` with 502.
pub struct Reply {
    id: u64,
    to: To,
}

enum To {
    Conn(Arc<Mailbox<ToClient>>),
    Call(Box<dyn FnOnce(Answer) + Send + Sync>),
    Nobody,
}

impl Reply {
    /// Hands the answer to `call`: for a request that came by no listener.
    pub fn call(id: u64, call: impl FnOnce(Answer) + Send + Sync + 'static) -> Reply {
        Reply { id, to: To::Call(Box::new(call)) }
    }

    /// Passed over where the client has gone.
    pub fn send(mut self, answer: Answer) {
        match std::mem::replace(&mut self.to, To::Nobody) {
            To::Conn(inbox) => inbox.post(ToClient::Answer { id: self.id, answer }),
            To::Call(call) => call(answer),
            To::Nobody => {}
        }
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        if let To::Conn(inbox) = &self.to {
            inbox.post(ToClient::Lost { id: self.id });
        }
    }
}

/// How long clients may take. A request or an answer on its way has the time again with each 64 KB of it.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Within so long a new connection must have brought its first whole request; None: it is as any other.
    pub first_us: Option<Micros>,
    /// For a request to be whole once a part of it has come.
    pub read_us: Micros,
    /// For an answer to be taken.
    pub write_us: Micros,
    /// A connection that has brought one request, or more, is closed when it has been idle so long.
    pub once_idle_us: Micros,
    pub idle_us: Micros,
}

/// What a client's connection is told.
enum ToClient {
    Answer {
        id: u64,
        answer: Answer,
    },
    /// Its desk has dropped the request.
    Lost {
        id: u64,
    },
    /// The next piece of a body that is paced.
    Piece,
    /// Close if this is still all that it does.
    Close(Doing),
    /// After a break: it may read on.
    GoOn,
}

/// What a connection is doing, as far as it matters to the others.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Doing {
    Idle,
    /// The desk has its request.
    Waiting,
    /// A part of a request has come.
    Reading,
    /// An answer is not yet taken.
    Writing,
    /// It ends; nothing more is owed.
    Parting,
}

/// A connection as the others know it.
struct Known {
    inbox: Arc<Mailbox<ToClient>>,
    doing: AtomicU8,
    since: AtomicU64,
    born: Micros,
    /// Whole requests that it has brought.
    asked: AtomicU32,
}

impl Known {
    fn doing(&self) -> Doing {
        let shown = self.doing.load(Ordering::Relaxed);
        let all = [Doing::Idle, Doing::Waiting, Doing::Reading, Doing::Writing, Doing::Parting];
        all.into_iter().find(|d| *d as u8 == shown).unwrap_or(Doing::Waiting)
    }

    fn since(&self) -> Micros {
        self.since.load(Ordering::Relaxed)
    }

    fn asked(&self) -> u32 {
        self.asked.load(Ordering::Relaxed)
    }

    /// Its first request is still to be expected.
    fn expected(&self, now: Micros, patience: &Patience) -> bool {
        self.asked() == 0 && now < self.born + patience.first_us.unwrap_or(patience.idle_us)
    }

    /// What it is to be ended for by `now`, if its descriptor is wanted or not. A client that sends nothing,
    /// or half a request, is told so in time: it may be waiting for that. Who asked once and stays would fill
    /// the descriptors in the course of a long day; who comes often is the last to go.
    fn overdue(&self, now: Micros, look: &Look) -> Option<Doing> {
        let (doing, p) = (self.doing(), &look.patience);
        let first = |other: Micros| p.first_us.map_or((self.since(), other), |first| (self.born, first));
        let (from, patience) = match (doing, self.asked()) {
            (Doing::Idle, 0) if look.short => (self.born, SILENT_US),
            (Doing::Idle, 0) => first(p.idle_us),
            (Doing::Idle, 1) => (self.since(), p.once_idle_us),
            (Doing::Idle, _) => (self.since(), p.idle_us),
            (Doing::Reading, 0) => first(p.read_us),
            (Doing::Reading, _) => (self.since(), p.read_us),
            (Doing::Writing, _) => (self.since(), p.write_us),
            (Doing::Waiting | Doing::Parting, _) => return None,
        };
        let parts = look.draining_since.filter(|_| doing == Doing::Idle);
        let parts_at = parts.map_or(Micros::MAX, |at| at.max(self.since()) + DRAIN_IDLE_US);
        (now >= from.saturating_add(patience).min(parts_at)).then_some(doing)
    }

    /// How well it can be done without, where descriptors are short: the greater, the better; None, not at
    /// all.
    fn spare(&self, now: Micros, silent_us: Micros, write_us: Micros) -> Option<(u8, Micros)> {
        let (rank, patience) = match (self.doing(), self.asked()) {
            (Doing::Idle, 0) => (4, silent_us),
            (Doing::Idle, 1) => (3, IDLE_PATIENCE_US),
            (Doing::Reading, _) => (2, READ_SHORT_US),
            (Doing::Idle, _) => (1, IDLE_PATIENCE_US),
            (Doing::Writing, _) => (0, write_us),
            (Doing::Waiting | Doing::Parting, _) => return None,
        };
        let for_so_long = now.saturating_sub(self.since());
        (for_so_long >= patience).then_some((rank, for_so_long))
    }

    /// Tells it to end, if it still does what it was chosen for; it is not chosen twice.
    fn close(&self, doing: Doing) {
        self.doing.store(Doing::Waiting as u8, Ordering::Relaxed);
        self.inbox.post(ToClient::Close(doing));
    }
}

/// What a look at all connections goes by.
struct Look {
    patience: Patience,
    short: bool,
    draining_since: Option<Micros>,
}

/// A listener and all open connections that came by it.
pub struct Door<D: Desk> {
    room: Arc<Room>,
    desk: Arc<D>,
    addr: SocketAddr,
    open: Mutex<HashMap<u64, Arc<Known>>>,
    bell: Bell,
    paused: AtomicBool,
    shut: AtomicBool,
    /// Idle connections that have asked once: as counted last, and those that have had their answer since.
    sitting: AtomicUsize,
    /// When one that comes often was last made to give way.
    parted_at: AtomicU64,
}

/// Where descriptors are short: after so long one that has brought nothing (its first request comes right
/// behind it, if at all), one that is idle between requests (by the protocol no sooner), one with half a
/// request.
const SILENT_US: Micros = 100_000;
const SILENT_SHORT_US: Micros = 20_000;
const IDLE_PATIENCE_US: Micros = 2_000_000;
const READ_SHORT_US: Micros = 1_000_000;
/// While the desk drains: connections that are used until then end with an answer; those idle all the while
/// are closed.
const DRAIN_IDLE_US: Micros = 500_000;
/// How often all connections are looked at.
const LOOK_EVERY_US: Micros = 100_000;
/// Connections that may wait to be taken.
const BACKLOG: i32 = 1024;
/// How long the listener waits when no descriptor is to be had.
const PAUSE_US: Micros = 50_000;

impl<D: Desk> Door<D> {
    /// Listens from the call on.
    pub fn start(listen: SocketAddr, room: Arc<Room>, desk: Arc<D>) -> io::Result<Arc<Door<D>>> {
        let socket = socket2::Socket::new(Domain::for_address(listen), Type::STREAM, None)?;
        socket.set_reuse_address(true)?; // connections of an earlier life may still be closing
        socket.bind(&listen.into())?;
        socket.listen(BACKLOG)?;
        let listener = TcpListener::from(socket);
        let addr = listener.local_addr()?;
        let listener = Watched::new(listener)?;
        let mut alarm = Alarm::new(room.clock)?;
        let door = Arc::new(Door {
            room,
            desk,
            addr,
            open: Mutex::default(),
            bell: listener.bell(),
            paused: AtomicBool::new(false),
            shut: AtomicBool::new(false),
            sitting: AtomicUsize::new(0),
            parted_at: AtomicU64::new(0),
        });
        let all = door.clone();
        may::go!(move || {
            loop {
                all.accept(&listener);
                if all.shut.load(Ordering::Relaxed) {
                    return; // ends the listener, with all taken that had come
                }
                listener.wait();
            }
        });
        let all = door.clone();
        may::go!(move || {
            let mut draining_since = None;
            loop {
                alarm.sleep(LOOK_EVERY_US);
                all.close_overdue(&mut draining_since);
            }
        });
        Ok(door)
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn close_overdue(&self, draining_since: &mut Option<Micros>) {
        let now = self.room.clock.now();
        if self.desk.draining() {
            draining_since.get_or_insert(now);
        }
        let (patience, short) = (self.desk.patience(), self.room.fds.short());
        let look = Look { patience, short, draining_since: *draining_since };
        let open = self.open();
        let sitting = open.values().filter(|k| k.asked() == 1 && k.doing() == Doing::Idle).count();
        self.sitting.store(sitting, Ordering::Relaxed);
        for known in open.values() {
            if let Some(doing) = known.overdue(now, &look) {
                known.close(doing);
            }
        }
    }

    fn open(&self) -> MutexGuard<'_, HashMap<u64, Arc<Known>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes all connections that wait, as long as there are descriptors for them. Once the door is shut, no more
    /// than may have come before: clients that connect without a pause would hold it open.
    fn accept(self: &Arc<Self>, listener: &Watched<TcpListener>) {
        let mut left = BACKLOG + 1;
        while left > 0 {
            left -= i32::from(self.shut.load(Ordering::Relaxed));
            let Some(fd) = self.room.fds.take(Side::Clients) else {
                self.make_room(false);
                self.desk.crowded(); // idle connections to servers give way too
                return self.pause();
            };
            match listener.inner().accept() {
                Ok((stream, _)) => {
                    if self.room.fds.short() {
                        self.make_room(false);
                    }
                    if let Err(e) = self.serve(stream, fd) {
                        (self.room.warn)(format_args!("cannot serve a connection: {e}"));
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // A connection that was gone before it was taken.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(e) => {
                    // No descriptor or no memory, or something unforeseen that would come again at once.
                    self.make_room(false);
                    (self.room.warn)(format_args!("cannot take a connection, pausing: {e}"));
                    return self.pause();
                }
            }
        }
    }

    /// Stops taking connections until one ends, or for a short while. It must not spin: the event that says
    /// that connections wait would be there each time.
    fn pause(self: &Arc<Self>) {
        if !self.paused.swap(true, Ordering::Relaxed) {
            let all = self.clone();
            self.room.alarms.after(PAUSE_US, move || all.resume());
        }
    }

    fn resume(&self) {
        if self.paused.swap(false, Ordering::Relaxed) {
            self.bell.ring();
        }
    }

    /// Near the limit the connection that can best be done without makes room, if there is one. For a request
    /// that is there, one that has said nothing yet gives way sooner than for a connection that may say
    /// nothing either.
    fn make_room(&self, asked: bool) -> bool {
        let silent_us = if asked { SILENT_SHORT_US } else { SILENT_US };
        let (open, now, write_us) = (self.open(), self.room.clock.now(), self.desk.patience().write_us);
        let spare = open.values().filter_map(|k| k.spare(now, silent_us, write_us).map(|rank| (rank, k)));
        let found = spare.max_by_key(|(rank, _)| *rank);
        if let Some((_, known)) = found {
            known.close(known.doing());
        }
        found.is_some()
    }

    /// Whether a connection may stay after its first answer. Some clients never ask again on one, yet keep
    /// it, and may hold only so many themselves: left open, these would keep them from asking at all.
    fn may_sit(&self) -> bool {
        self.sitting.fetch_add(1, Ordering::Relaxed) < self.room.fds.most_sitting()
    }

    /// Whether a connection that comes often may be ended by its answer to let others in.
    fn may_part(&self) -> bool {
        let now = self.room.clock.now();
        let due = now >= self.parted_at.load(Ordering::Relaxed) + LOOK_EVERY_US;
        if due {
            self.parted_at.store(now, Ordering::Relaxed);
        }
        due
    }

    /// Takes no more connections; those that are open go on.
    pub fn shut(&self) {
        self.shut.store(true, Ordering::Relaxed);
        self.bell.ring();
    }

    /// Connections that are open, whatever they do.
    pub fn count(&self) -> usize {
        self.open().len()
    }

    /// Connections with a request, or a part of one, or an answer that is not yet taken.
    pub fn busy(&self) -> usize {
        let (now, patience) = (self.room.clock.now(), self.desk.patience());
        let busy = |k: &&Arc<Known>| match k.doing() {
            Doing::Waiting => true,
            Doing::Reading => now < k.since() + patience.read_us,
            Doing::Writing => now < k.since() + patience.write_us,
            Doing::Idle | Doing::Parting => false,
        };
        self.open().values().filter(busy).count()
    }

    fn serve(self: &Arc<Self>, stream: TcpStream, fd: Fd) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let io = Watched::new(stream)?;
        let inbox = Arc::new(Mailbox::new(io.bell()));
        let number = self.room.ids.fetch_add(1, Ordering::Relaxed);
        let born = self.room.clock.now();
        let (doing, since) = (AtomicU8::new(Doing::Idle as u8), AtomicU64::new(born));
        let known = Arc::new(Known { inbox, doing, since, born, asked: AtomicU32::new(0) });
        self.open().insert(number, known.clone());
        connection::start(self.clone(), known, number, io, fd);
        Ok(())
    }
}
