//! A listener and its client connections: one actor that accepts, and one coroutine for each connection. A
//! well-formed request is passed to the listener's [`Handler`], which answers it once. Malformed requests are
//! answered here and never reach the handler. A connection has one request under way at a time, unless the handler
//! allows pipelining.

mod connection;
mod held;
#[cfg(test)]
mod model;

use crate::Micros;
use crate::clock::Alarm;
use crate::http::{self, Bad, Bounds};
use crate::limits::{ConnectionKind, Fd};
use crate::mailbox::{Mailbox, Waker};
use crate::memory::BufferedBody;
use crate::resources::Resources;
use crate::ring::Bytes;
use crate::socket::Watched;
use held::Held;
use socket2::{Domain, Type};
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Interprets and answers the requests of a listener's clients. All calls are made on the coroutines' thread and on a
/// small stack, so they must be short and must not block. A request that takes longer is answered later, through its
/// `Reply`.
pub trait Handler: Send + Sync + 'static {
    /// What this handler reads from the head of a request.
    type Request: Send + 'static;

    /// The size limits of requests; read for each request, so they may change.
    fn bounds(&self) -> Bounds;

    /// The timeouts of client connections; read repeatedly, so they may change.
    fn timeouts(&self) -> ClientTimeouts;

    /// Called with each complete head. An error is answered with `refusal` and ends the connection.
    fn head(&self, head: &http::Request) -> Result<HeadAction<Self::Request>, Bad>;

    /// Called with each complete request. `id` is unique among all listeners that share one `Resources`.
    fn handle(&self, id: u64, request: Self::Request, body: BufferedBody, reply: Reply);

    /// How many pipelined requests of one connection may be under way at once, if they are GET or HEAD without a
    /// body. Other requests are always handled one at a time.
    fn max_pipelined(&self) -> usize {
        1
    }

    /// Whether a complete request is dropped if its client has closed its side by then. Such a request may have waited
    /// for as long as this process was stopped, and its client may have sent it elsewhere since.
    fn drops_abandoned(&self) -> bool {
        false
    }

    /// The client has disconnected, or was disconnected, before its request was answered.
    fn client_gone(&self, id: u64);

    /// While true, each answer closes its connection, no request is taken behind one that waits, and idle connections are
    /// closed after half a second.
    fn draining(&self) -> bool;

    /// The answer to a request that the listener itself refuses: malformed, too large, too slow (408), over the
    /// limits on memory or descriptors (503), or dropped without an answer (500, 502).
    fn refusal(&self, bad: &Bad) -> Answer;

    /// The error sent on a connection that is closed before its first request, if any.
    fn close_before_request(&self) -> Option<Bad> {
        None
    }

    /// No descriptor is left for a new client connection; the program should close idle connections elsewhere.
    fn descriptors_exhausted(&self) {}
}

/// What a handler decides on the head of a request.
pub enum HeadAction<Request> {
    /// Read the body, then call `Handler::handle`.
    Accept(Request),
    /// Answer at once. A small body is read and dropped first; with a larger one the connection ends.
    Answer(Answer),
}

/// A response to a client.
pub struct Answer {
    pub status: u16,
    /// Complete lines, "Name: value\r\n", without the framing headers and `Connection`.
    pub headers: Vec<u8>,
    /// Kept until it is written; not copied if it is large. Not sent in response to HEAD or with 204 and 304.
    pub body: Bytes,
    /// The connection is closed in the middle of the body; if the body is empty, before any byte of the answer.
    pub cut: bool,
    /// The body is sent in pieces over this time; 0: at once.
    pub pace_us: Micros,
    /// The connection ends after this answer. It also does if the client asks for that or the handler is draining.
    pub close: bool,
}

impl Answer {
    pub fn new(status: u16, headers: Vec<u8>, body: impl Into<Bytes>) -> Answer {
        Answer { status, headers, body: body.into(), cut: false, pace_us: 0, close: false }
    }

    /// A plain-text answer.
    pub fn text(status: u16, text: impl Into<Vec<u8>>) -> Answer {
        let text = text.into();
        let headers = if text.is_empty() { Vec::new() } else { b"Content-Type: text/plain\r\n".to_vec() };
        Answer::new(status, headers, text)
    }
}

/// The handle through which a request is answered once, from any thread. If it is dropped unused, the request is
/// answered with `Handler::refusal` and status 502.
pub struct Reply {
    id: u64,
    target: ReplyTarget,
}

enum ReplyTarget {
    Connection(Arc<Mailbox<ToConnection>>),
    Callback(Box<dyn FnOnce(Answer) + Send + Sync>),
    /// The answer was sent already.
    None,
}

impl Reply {
    /// Passes the answer to `call`, for a request that did not come through a listener.
    pub fn call(id: u64, call: impl FnOnce(Answer) + Send + Sync + 'static) -> Reply {
        Reply { id, target: ReplyTarget::Callback(Box::new(call)) }
    }

    /// Sends the answer; it is ignored if the client has disconnected.
    pub fn send(mut self, answer: Answer) {
        match std::mem::replace(&mut self.target, ReplyTarget::None) {
            ReplyTarget::Connection(inbox) => inbox.post(ToConnection::Answer { id: self.id, answer }),
            ReplyTarget::Callback(call) => call(answer),
            ReplyTarget::None => {}
        }
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        if let ReplyTarget::Connection(inbox) = &self.target {
            inbox.post(ToConnection::Dropped { id: self.id });
        }
    }
}

/// Timeouts of client connections. The time for a request to be received or for an answer to be written starts anew
/// with each 64 KB transferred.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// Time from the connection's start until its first request is complete. None: `idle_us` and `read_us` apply, as
    /// to later requests.
    pub first_request_us: Option<Micros>,
    /// Time for a request to be complete once a part of it has come.
    pub read_us: Micros,
    /// Time for an answer to be written.
    pub write_us: Micros,
    /// Time that a connection may be idle after its first request.
    pub idle_after_one_us: Micros,
    /// Time that a connection may be idle after several requests, and before the first if `first_request_us` is None.
    pub idle_us: Micros,
}

/// A message to the coroutine of a client connection.
enum ToConnection {
    Answer {
        id: u64,
        answer: Answer,
    },
    /// The handler has dropped the request without an answer.
    Dropped {
        id: u64,
    },
    /// Time to send the next piece of a paced body.
    NextPiece,
    /// Others need the memory that it holds: refuse its request if that has not run, or close.
    Evict,
    /// Close the connection if it is still in this state.
    Close(State),
    /// The break is over: go on reading.
    Resume,
}

/// The state of a connection, as far as its listener needs it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Idle,
    /// A request is with the handler.
    Waiting,
    /// A request is partly received.
    Reading,
    /// An answer is not completely written.
    Writing,
    /// All answers are written; the connection waits for the client to close.
    Lingering,
}

/// What the listener knows of a connection.
struct Connection {
    inbox: Arc<Mailbox<ToConnection>>,
    state: AtomicU8,
    /// When it entered that state, or last made progress in it.
    since: AtomicU64,
    opened_at: Micros,
    /// Complete requests received.
    request_count: AtomicU32,
    held: Held,
}

impl Connection {
    fn state(&self) -> State {
        let stored = self.state.load(Ordering::Relaxed);
        let all = [State::Idle, State::Waiting, State::Reading, State::Writing, State::Lingering];
        all.into_iter().find(|s| *s as u8 == stored).unwrap_or(State::Waiting)
    }

    fn since(&self) -> Micros {
        self.since.load(Ordering::Relaxed)
    }

    fn request_count(&self) -> u32 {
        self.request_count.load(Ordering::Relaxed)
    }

    /// Whether its first request may still come.
    fn awaits_first_request(&self, now: Micros, timeouts: &ClientTimeouts) -> bool {
        self.request_count() == 0
            && now < self.opened_at + timeouts.first_request_us.unwrap_or(timeouts.idle_us)
    }

    /// The state it has been in for too long by `now`, whether or not descriptors are short. A client that sends
    /// nothing or half a request is told so in time, as it may be waiting for that. Connections that stay after a
    /// single request would use up the descriptors in the course of a long day; those with several requests may stay
    /// longest.
    fn overdue(&self, now: Micros, sweep: &Sweep) -> Option<State> {
        let (state, t) = (self.state(), &sweep.timeouts);
        let first =
            |other: Micros| t.first_request_us.map_or((self.since(), other), |first| (self.opened_at, first));
        let (from, timeout) = match (state, self.request_count()) {
            (State::Idle, 0) if sweep.descriptors_short => (self.opened_at, SHORT_FIRST_REQUEST_US),
            (State::Idle, 0) => first(t.idle_us),
            (State::Idle, 1) => (self.since(), t.idle_after_one_us),
            (State::Idle, _) => (self.since(), t.idle_us),
            (State::Reading, 0) => first(t.read_us),
            (State::Reading, _) => (self.since(), t.read_us),
            (State::Writing, _) => (self.since(), t.write_us),
            (State::Waiting | State::Lingering, _) => return None,
        };
        let drain = sweep.draining_since.filter(|_| state == State::Idle);
        let drain_until = drain.map_or(Micros::MAX, |at| at.max(self.since()) + DRAIN_IDLE_US);
        (now >= from.saturating_add(timeout).min(drain_until)).then_some(state)
    }

    /// How suitable it is to be closed when descriptors are short: the greatest is closed first. None: not to be
    /// closed.
    fn eviction_rank(&self, now: Micros, first_request_us: Micros, write_us: Micros) -> Option<(u8, Micros)> {
        let (rank, timeout) = match (self.state(), self.request_count()) {
            (State::Idle, 0) => (4, first_request_us),
            (State::Idle, 1) => (3, SHORT_IDLE_US),
            (State::Reading, _) => (2, SHORT_READ_US),
            (State::Idle, _) => (1, SHORT_IDLE_US),
            (State::Writing, _) => (0, write_us),
            (State::Waiting | State::Lingering, _) => return None,
        };
        let elapsed = now.saturating_sub(self.since());
        (elapsed >= timeout).then_some((rank, elapsed))
    }

    /// Tells it to close if it is still in `state`. It counts as waiting meanwhile, so that it is not chosen again.
    fn close(&self, state: State) {
        self.state.store(State::Waiting as u8, Ordering::Relaxed);
        self.inbox.post(ToConnection::Close(state));
    }
}

/// The conditions of one sweep over all connections.
struct Sweep {
    timeouts: ClientTimeouts,
    descriptors_short: bool,
    draining_since: Option<Micros>,
}

/// A listener and the open connections that it has accepted.
pub struct Listener<H: Handler> {
    resources: Arc<Resources>,
    handler: Arc<H>,
    addr: SocketAddr,
    open: Mutex<HashMap<u64, Arc<Connection>>>,
    waker: Waker,
    paused: AtomicBool,
    stopped: AtomicBool,
    /// The listening socket is closed.
    closed: AtomicBool,
    /// Idle connections with a single request: the count of the last sweep, and those answered since.
    idle_after_one: AtomicUsize,
    /// When a connection with several requests was last closed to free its descriptor.
    evicted_at: AtomicU64,
}

/// When descriptors are short, a connection without a request may be closed after this time: a first request comes
/// right after the connection, if at all.
const SHORT_FIRST_REQUEST_US: Micros = 100_000;
/// The same when a complete request needs the descriptor.
const URGENT_FIRST_REQUEST_US: Micros = 20_000;
/// When descriptors are short, a connection that is idle between requests may be closed after this time; the protocol
/// allows it no sooner.
const SHORT_IDLE_US: Micros = 2_000_000;
/// When descriptors are short, a connection with half a request may be closed after this time.
const SHORT_READ_US: Micros = 1_000_000;
/// While the handler drains, connections that are idle for this time are closed. The others are closed with an
/// answer.
const DRAIN_IDLE_US: Micros = 500_000;
/// Interval of the sweeps over all connections.
const SWEEP_INTERVAL_US: Micros = 100_000;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// How long accepting pauses when no descriptor is available.
const ACCEPT_PAUSE_US: Micros = 50_000;

impl<H: Handler> Listener<H> {
    /// Binds the address and starts to accept connections.
    pub fn start(
        listen: SocketAddr,
        resources: Arc<Resources>,
        handler: Arc<H>,
    ) -> io::Result<Arc<Listener<H>>> {
        let socket = socket2::Socket::new(Domain::for_address(listen), Type::STREAM, None)?;
        socket.set_reuse_address(true)?; // connections of an earlier process may still be closing
        socket.bind(&listen.into())?;
        socket.listen(BACKLOG)?;
        let socket = TcpListener::from(socket);
        let addr = socket.local_addr()?;
        let socket = Watched::new(socket)?;
        let mut alarm = Alarm::new(resources.clock)?;
        let listener = Arc::new(Listener {
            resources,
            handler,
            addr,
            open: Mutex::default(),
            waker: socket.waker(),
            paused: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            idle_after_one: AtomicUsize::new(0),
            evicted_at: AtomicU64::new(0),
        });
        let accepting = listener.clone();
        may::go!(move || {
            loop {
                accepting.accept(&socket);
                if accepting.stopped.load(Ordering::Relaxed) {
                    break;
                }
                socket.wait();
            }
            drop(socket);
            accepting.closed.store(true, Ordering::Relaxed);
        });
        let sweeping = listener.clone();
        may::go!(move || {
            let mut draining_since = None;
            loop {
                alarm.sleep(SWEEP_INTERVAL_US);
                sweeping.close_overdue(&mut draining_since);
                sweeping.evict_slowest();
            }
        });
        Ok(listener)
    }

    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn close_overdue(&self, draining_since: &mut Option<Micros>) {
        let now = self.resources.clock.now();
        if self.handler.draining() {
            draining_since.get_or_insert(now);
        }
        let (timeouts, descriptors_short) = (self.handler.timeouts(), self.resources.fds.short());
        let sweep = Sweep { timeouts, descriptors_short, draining_since: *draining_since };
        let open = self.open();
        let idle_after_one =
            open.values().filter(|c| c.request_count() == 1 && c.state() == State::Idle).count();
        self.idle_after_one.store(idle_after_one, Ordering::Relaxed);
        for connection in open.values() {
            if let Some(state) = connection.overdue(now, &sweep) {
                connection.close(state);
            }
        }
    }

    /// While others need memory, closes the connections whose clients move their bytes most slowly, as many as are needed.
    fn evict_slowest(&self) {
        let demand = self.resources.memory.take_demand();
        if demand == 0 {
            return;
        }
        let now = self.resources.clock.now();
        let open = self.open();
        let rated = open.values().filter_map(|c| c.held.slow_rate(now).map(|rate| (rate, c)));
        let mut slow: Vec<(u64, &Arc<Connection>)> = rated.collect();
        slow.sort_by_key(|(rate, _)| *rate);
        let (mut freed, mut count) = (0, 0);
        for (_, connection) in slow {
            if freed >= demand {
                break;
            }
            freed += connection.held.bytes.load(Ordering::Relaxed);
            count += 1;
            // It is not chosen again while it closes.
            connection.held.since.store(0, Ordering::Relaxed);
            connection.inbox.post(ToConnection::Evict);
        }
        if count > 0 {
            (self.resources.warn)(format_args!(
                "{count} connections of slow clients closed, which held {freed} bytes: others need the memory"
            ));
        }
    }

    fn open(&self) -> MutexGuard<'_, HashMap<u64, Arc<Connection>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts all waiting connections, as long as there are descriptors for them. Once the listener is stopped, it
    /// accepts no more than can have waited at that time: clients that keep connecting would otherwise keep it open.
    fn accept(self: &Arc<Self>, socket: &Watched<TcpListener>) {
        let mut left = BACKLOG + 1;
        while left > 0 {
            left -= i32::from(self.stopped.load(Ordering::Relaxed));
            if self.resources.memory.is_exhausted() {
                self.evict_one(false);
                return self.pause();
            }
            let Some(fd) = self.resources.fds.take(ConnectionKind::Client) else {
                self.evict_one(false);
                self.handler.descriptors_exhausted(); // for it to close idle connections to servers
                return self.pause();
            };
            match socket.inner().accept() {
                Ok((stream, _)) => {
                    if self.resources.fds.short() {
                        self.evict_one(false);
                    }
                    if let Err(e) = self.serve(stream, fd) {
                        (self.resources.warn)(format_args!("cannot serve a connection: {e}"));
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // The connection was gone before it was accepted.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(e) => {
                    // No descriptor or no memory, or an unexpected error that would recur at once.
                    self.evict_one(false);
                    (self.resources.warn)(format_args!("cannot accept a connection, pausing: {e}"));
                    return self.pause();
                }
            }
        }
    }

    /// Stops accepting until a connection ends, or for a short while. Without the pause it would spin, as the waiting
    /// connections are reported each time.
    fn pause(self: &Arc<Self>) {
        if !self.paused.swap(true, Ordering::Relaxed) {
            let listener = self.clone();
            self.resources.alarms.after(ACCEPT_PAUSE_US, move || listener.resume());
        }
    }

    fn resume(&self) {
        if self.paused.swap(false, Ordering::Relaxed) {
            self.waker.wake();
        }
    }

    /// Closes the open connection that is most suitable, if there is one, to free its descriptor. A connection
    /// without a request is closed sooner for a complete request (`for_request`) than for a new connection, which may
    /// never bring a request either.
    fn evict_one(&self, for_request: bool) -> bool {
        let first_request_us = if for_request { URGENT_FIRST_REQUEST_US } else { SHORT_FIRST_REQUEST_US };
        let (open, now) = (self.open(), self.resources.clock.now());
        let write_us = self.handler.timeouts().write_us;
        let ranked = open
            .values()
            .filter_map(|c| c.eviction_rank(now, first_request_us, write_us).map(|rank| (rank, c)));
        let found = ranked.max_by_key(|(rank, _)| *rank);
        if let Some((_, connection)) = found {
            connection.close(connection.state());
        }
        found.is_some()
    }

    /// Whether a connection may stay open after its first answer. Some clients never use a connection again, yet keep
    /// it open and may hold only so many: the kept ones would then stop them from sending requests at all.
    fn may_stay_after_one(&self) -> bool {
        self.idle_after_one.fetch_add(1, Ordering::Relaxed) < self.resources.fds.max_idle_after_one_request()
    }

    /// Whether a connection with several requests may be closed by its answer to free its descriptor: one in each
    /// sweep interval.
    fn may_evict_active(&self) -> bool {
        let now = self.resources.clock.now();
        let due = now >= self.evicted_at.load(Ordering::Relaxed) + SWEEP_INTERVAL_US;
        if due {
            self.evicted_at.store(now, Ordering::Relaxed);
        }
        due
    }

    /// Stops accepting connections; open ones go on.
    pub fn stop_accepting(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.waker.wake();
    }

    /// Whether it has stopped: the listening socket is closed, and all connections that had come before are accepted, as
    /// far as there were descriptors.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// The number of open connections, in whatever state.
    pub fn count(&self) -> usize {
        self.open().len()
    }

    /// The number of connections with a request, a part of one, or an answer that is not completely written.
    pub fn busy(&self) -> usize {
        let (now, timeouts) = (self.resources.clock.now(), self.handler.timeouts());
        let busy = |c: &&Arc<Connection>| match c.state() {
            State::Waiting => true,
            State::Reading => now < c.since() + timeouts.read_us,
            State::Writing => now < c.since() + timeouts.write_us,
            State::Idle | State::Lingering => false,
        };
        self.open().values().filter(busy).count()
    }

    fn serve(self: &Arc<Self>, stream: TcpStream, fd: Fd) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let io = Watched::new(stream)?;
        let inbox = Arc::new(Mailbox::new(io.waker()));
        let id = self.resources.ids.fetch_add(1, Ordering::Relaxed);
        let opened_at = self.resources.clock.now();
        let (state, since) = (AtomicU8::new(State::Idle as u8), AtomicU64::new(opened_at));
        let connection = Arc::new(Connection {
            inbox,
            state,
            since,
            opened_at,
            request_count: AtomicU32::new(0),
            held: Held::default(),
        });
        self.open().insert(id, connection.clone());
        connection::start(self.clone(), connection, id, io, fd);
        Ok(())
    }
}
