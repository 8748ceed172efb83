//! Pools of connections to servers. Each server has an actor that owns its idle connections and opens new ones, and
//! each connection has a coroutine that carries one attempt at a time. The outcome of an attempt is reported to the
//! [`Wire`] once.
//!
//! The pool does not retry. Only an attempt of which no byte was written, on a connection that had died while idle,
//! moves to another connection: the server cannot have seen any of it.

mod connection;
pub mod exchange;
#[cfg(test)]
mod tests;

use crate::Micros;
use crate::errors::{AttemptError, Cause};
use crate::http::{self, Bounds};
use crate::limits::ConnectionKind;
use crate::mailbox::Mailbox;
use crate::memory::BufferedBody;
use crate::resources::Resources;
use crate::socket;
use may::sync::mpsc::{Receiver, Sender, channel};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The program's part of the protocol with servers: it writes the headers of each attempt, reads the heads of
/// answers, and gets the outcomes of attempts. One instance can serve all servers of a kind. All calls are made on
/// the coroutines' thread.
pub trait Wire: Send + Sync + Sized + 'static {
    /// Data that the program attaches to an attempt.
    type Note: Send + 'static;
    /// What the program reads from the head of an answer.
    type HeadInfo: Send + 'static;

    /// Writes the headers of this attempt, as complete lines "Name: value\r\n" without framing headers; they follow
    /// those of the request. `left_us`, at least 1, is the time left for the attempt when it is written.
    fn attempt_headers(&self, job: &Job<Self::Note>, left_us: Micros, out: &mut Vec<u8>);

    /// Called with the complete head of each answer, except interim ones (1xx).
    fn response_head(&self, job: &Job<Self::Note>, head: &http::Response) -> ResponseMatch<Self::HeadInfo>;

    /// Called once when an attempt has ended, unless it was given up.
    fn ended(&self, ended: Ended<Self>);

    /// No descriptor is left for a new connection; the program should close idle connections to servers.
    fn descriptors_exhausted(&self) {}
}

/// Whether an answer belongs to the attempt under way.
pub enum ResponseMatch<HeadInfo> {
    /// It is the answer to this attempt.
    Expected(HeadInfo),
    /// It is another answer to an earlier request. It is read and dropped, the answer to this attempt is awaited
    /// after it, and then the connection is closed.
    Surplus,
}

/// A request as it is sent to servers, without the headers of the single attempt. Shared by all attempts; a large
/// body is not copied.
pub struct ForwardedRequest {
    /// Request line and headers, without framing headers and the final blank line.
    pub head: Vec<u8>,
    pub body: BufferedBody,
}

/// One attempt of a request.
pub struct Job<Note> {
    pub id: u64,
    pub attempt: u32,
    pub request: Arc<ForwardedRequest>,
    /// An earlier attempt of this request went to this server. This one gets a new connection: on the connection that
    /// carried the earlier attempt, a second answer to that attempt could not be told from the answer to this one.
    pub same_server_retry: bool,
    /// The deadline, after which the answer is of no use.
    pub until: Micros,
    pub note: Note,
}

/// The outcome of an attempt.
pub struct Ended<W: Wire> {
    pub id: u64,
    pub attempt: u32,
    pub note: W::Note,
    /// When a connection began to write it; 0 if none did.
    pub begun_at: Micros,
    pub outcome: Result<Served<W::HeadInfo>, AttemptError>,
}

/// A complete answer.
pub struct Served<HeadInfo> {
    pub status: u16,
    pub head_info: HeadInfo,
    pub body: BufferedBody,
}

/// Settings of the connections to one server.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time for a connection to be established.
    pub dial_us: Micros,
    /// Time for an answer that has begun to be complete, or to bring its next 64 KB; None: until its attempt is given up.
    pub answer_us: Option<Micros>,
    /// A connection idle for longer is not reused, unless the server names its own time (`Keep-Alive: timeout=N`).
    pub idle_us: Micros,
    pub max_connections: usize,
    /// The connection fails if sent data stays unacknowledged for so long (`TCP_USER_TIMEOUT`).
    pub tcp_user_timeout: Option<Duration>,
    /// Size limits of an answer.
    pub bounds: Bounds,
}

/// A handle of a server's actor. Dropping it does not end the actor; `remove` does.
pub struct Peer<W: Wire>(Sender<ToServer<W>>);

impl<W: Wire> Clone for Peer<W> {
    fn clone(&self) -> Self {
        Peer(self.0.clone())
    }
}

impl<W: Wire> Peer<W> {
    /// Starts the actor of a server. It opens connections only when there is something to send.
    pub fn start(addr: SocketAddr, resources: Arc<Resources>, wire: Arc<W>, settings: Settings) -> Peer<W> {
        let (sender, inbox) = channel();
        let server = Server::new(addr, resources, wire, settings, sender.clone());
        may::go!(move || server.run(&inbox));
        Peer(sender)
    }

    /// Sends an attempt. Returns false if the server's actor has ended; no outcome is reported then.
    pub fn send(&self, job: Job<W::Note>) -> bool {
        self.0.send(ToServer::Send(job)).is_ok()
    }

    /// Closes the attempt's connection; its outcome is not reported. `late`: set if the attempt timed out, to the
    /// time when it was sent.
    pub fn give_up(&self, id: u64, attempt: u32, late: Option<Micros>) {
        self.post(ToServer::GiveUp { id, attempt, late });
    }

    /// Sets the server's address, and whether it takes requests (`up`).
    pub fn update(&self, addr: SocketAddr, up: bool) {
        self.post(ToServer::Update { addr, up });
    }

    /// Ends the actor once its last connection has closed, unless `update` is called before.
    pub fn remove(&self) {
        self.post(ToServer::Remove);
    }

    pub fn close_idle(&self) {
        self.post(ToServer::CloseIdle);
    }

    /// Changes the settings. The maximum number of connections and the idle time apply at once, the others to
    /// connections opened from now on.
    pub fn set(&self, settings: Settings) {
        self.post(ToServer::Set(settings));
    }

    fn post(&self, message: ToServer<W>) {
        let _ = self.0.send(message); // its actor may have ended
    }
}

/// A message to a server's actor.
enum ToServer<W: Wire> {
    Send(Job<W::Note>),
    GiveUp {
        id: u64,
        attempt: u32,
        late: Option<Micros>,
    },
    Update {
        addr: SocketAddr,
        up: bool,
    },
    Remove,
    CloseIdle,
    Set(Settings),
    /// From a connection: it is ready for the next attempt, and the server keeps it open for `keep_us`.
    Free {
        conn: u64,
        keep_us: Option<Micros>,
    },
    /// From a connection: it is established.
    Connected {
        conn: u64,
    },
    /// From a connection: it has ended; nothing was written of the attempt `unsent`.
    Ended {
        conn: u64,
        unsent: Option<Job<W::Note>>,
    },
    DialTimeout {
        conn: u64,
    },
    Sweep,
}

/// A message to the coroutine of a connection.
enum ToConn<Note> {
    Carry(Job<Note>),
    /// Close the connection if it is still in this state.
    Close(Expected),
}

/// The state of a connection in which it is to be closed. The actor's copy of that state may be out of date, as a
/// message about a change may still be under way. So the actor only says which state it means, and the connection,
/// which knows whether a server may be at work, compares.
enum Expected {
    /// Not established yet. Its attempt fails with this cause.
    Dialing(Cause),
    /// No attempt is under way.
    Idle,
    /// This attempt is under way: request id and attempt number. It ends without an outcome.
    Carrying(u64, u32),
}

/// A connection, as its server's actor knows it.
struct Conn<Note> {
    inbox: Arc<Mailbox<ToConn<Note>>>,
    /// The connection has said that it is established.
    connected: bool,
    /// The request id and attempt number that it carries.
    job: Option<(u64, u32)>,
}

/// A connection that waits for its next attempt.
#[derive(Clone, Copy)]
struct Idle {
    conn: u64,
    since: Micros,
    /// When it is no longer to be used, if the server names the time for which it keeps idle connections.
    until: Option<Micros>,
}

/// The actor of a server.
struct Server<W: Wire> {
    addr: SocketAddr,
    /// It takes requests.
    up: bool,
    removed: bool,
    resources: Arc<Resources>,
    wire: Arc<W>,
    settings: Settings,
    sender: Sender<ToServer<W>>,
    conns: HashMap<u64, Conn<W::Note>>,
    /// Ordered by the time when they became idle, the latest last.
    idle: VecDeque<Idle>,
    /// The connection that carries each attempt.
    busy: HashMap<(u64, u32), u64>,
    /// The number of the connection opened last.
    last_conn: u64,
    sweep_scheduled: bool,
    /// When the server last answered or accepted a connection.
    last_heard_at: Micros,
}

/// A connection that became idle less than this ago is used only if no other is idle.
const REST_US: Micros = 2_000;

/// A connection is not used in the last part of the time that its server keeps it open: the attempt could collide
/// with the server's close.
const KEEP_MARGIN_US: Micros = 1_000_000;

impl<W: Wire> Server<W> {
    fn new(
        addr: SocketAddr,
        resources: Arc<Resources>,
        wire: Arc<W>,
        settings: Settings,
        sender: Sender<ToServer<W>>,
    ) -> Self {
        Server {
            addr,
            up: true,
            removed: false,
            resources,
            wire,
            settings,
            sender,
            conns: HashMap::new(),
            idle: VecDeque::new(),
            busy: HashMap::new(),
            last_conn: 0,
            sweep_scheduled: false,
            last_heard_at: 0,
        }
    }

    fn run(mut self, inbox: &Receiver<ToServer<W>>) {
        while !(self.removed && self.conns.is_empty()) {
            let Ok(message) = inbox.recv() else { return };
            self.handle(message);
        }
    }

    fn handle(&mut self, message: ToServer<W>) {
        match message {
            ToServer::Send(job) => self.send(job),
            ToServer::GiveUp { id, attempt, late } => {
                if let Some(conn) = self.busy.remove(&(id, attempt)) {
                    self.close(conn, Expected::Carrying(id, attempt));
                }
                // Nothing has come from the server since that attempt was sent: its machine may be gone, which open
                // connections do not show. A new connection shows it soon, and if it fails, proves that its attempt
                // never ran. If the server is only slow, this costs a few handshakes.
                if late.is_some_and(|sent_at| self.last_heard_at < sent_at) {
                    self.close_idle();
                }
            }
            ToServer::Update { addr, up } => {
                if addr != self.addr || !up {
                    self.close_idle();
                }
                (self.addr, self.up, self.removed) = (addr, up, false);
                self.fail_dialing();
            }
            ToServer::Remove => {
                (self.up, self.removed) = (false, true);
                self.close_idle();
                self.fail_dialing();
            }
            ToServer::CloseIdle => self.close_idle(),
            ToServer::Set(settings) => {
                self.settings = settings;
                self.close_expired();
            }
            ToServer::Free { conn, keep_us } => {
                let Some(c) = self.conns.get_mut(&conn) else { return };
                if let Some(job) = c.job.take() {
                    self.busy.remove(&job);
                }
                self.last_heard_at = self.resources.clock.now();
                if !self.up {
                    return self.close(conn, Expected::Idle);
                }
                let since = self.last_heard_at;
                let until = keep_us.map(|keep| since.saturating_add(keep - KEEP_MARGIN_US.min(keep / 2)));
                self.idle.push_back(Idle { conn, since, until });
                self.schedule_sweep();
            }
            ToServer::Connected { conn } => {
                if let Some(c) = self.conns.get_mut(&conn) {
                    c.connected = true;
                    self.last_heard_at = self.resources.clock.now();
                }
            }
            ToServer::Ended { conn, unsent } => {
                let Some(c) = self.conns.remove(&conn) else { return };
                // It may have ended with an attempt still in its mailbox, which was not sent either. An attempt that
                // was given up meanwhile must not be sent any more.
                let in_mailbox = std::iter::from_fn(|| c.inbox.pop()).find_map(|message| match message {
                    ToConn::Carry(job) => Some(job),
                    ToConn::Close(_) => None,
                });
                let wanted = c.job.is_some_and(|key| self.busy.remove(&key).is_some());
                if let Some(job) = unsent.or(in_mailbox).filter(|_| wanted) {
                    self.send(job);
                }
            }
            ToServer::DialTimeout { conn } => {
                if self.conns.get(&conn).is_some_and(|c| !c.connected) {
                    self.close(conn, Expected::Dialing(Cause::DialTimeout));
                }
            }
            ToServer::Sweep => {
                self.sweep_scheduled = false;
                self.close_expired();
                self.schedule_sweep();
            }
        }
    }

    /// If the server takes no requests, ends the connections that are not established: an attempt must not be sent
    /// late to a server that drains.
    fn fail_dialing(&mut self) {
        if self.up {
            return;
        }
        let dialing: Vec<u64> = self.conns.iter().filter(|(_, c)| !c.connected).map(|(n, _)| *n).collect();
        for conn in dialing {
            self.close(conn, Expected::Dialing(Cause::ServerGone));
        }
    }

    fn close(&mut self, conn: u64, expected: Expected) {
        if let Some(c) = self.conns.get(&conn) {
            c.inbox.post(ToConn::Close(expected));
        }
    }

    fn close_idle(&mut self) {
        for idle in std::mem::take(&mut self.idle) {
            self.close(idle.conn, Expected::Idle);
        }
    }

    /// Closes connections that have been idle too long. The server might close them at any moment, and an attempt
    /// written to such a connection would count as one that may have run, so a new connection is better.
    fn close_expired(&mut self) {
        let (now, idle_us) = (self.resources.clock.now(), self.settings.idle_us);
        let (kept, expired) = std::mem::take(&mut self.idle)
            .into_iter()
            .partition(|i| i.until.unwrap_or(i.since.saturating_add(idle_us)) >= now);
        self.idle = kept;
        let expired: VecDeque<Idle> = expired;
        for idle in expired {
            self.close(idle.conn, Expected::Idle);
        }
    }

    fn schedule_sweep(&mut self) {
        if !self.sweep_scheduled && !self.idle.is_empty() {
            self.sweep_scheduled = true;
            let sender = self.sender.clone();
            self.resources.alarms.after(self.settings.idle_us / 3 + 1, move || {
                let _ = sender.send(ToServer::Sweep);
            });
        }
    }

    fn send(&mut self, job: Job<W::Note>) {
        if !self.up {
            return self.report_failure(job, Cause::ServerGone);
        }
        self.close_expired();
        while !job.same_server_retry
            && let Some(conn) = self.take_idle()
        {
            if let Some(c) = self.conns.get_mut(&conn) {
                c.job = Some((job.id, job.attempt));
                self.busy.insert((job.id, job.attempt), conn);
                return c.inbox.post(ToConn::Carry(job));
            }
        }
        self.dial(job);
    }

    /// Takes an idle connection: the latest that has been idle for `REST_US`, or else the latest. Unrequested bytes
    /// that a server sends right after an answer have come by then, and cannot be taken for the answer to the next
    /// attempt.
    fn take_idle(&mut self) -> Option<u64> {
        let before = self.resources.clock.now().saturating_sub(REST_US);
        let position = self.idle.iter().rposition(|idle| idle.since <= before);
        let position = position.or(self.idle.len().checked_sub(1))?;
        self.idle.remove(position).map(|idle| idle.conn)
    }

    fn report_failure(&self, job: Job<W::Note>, cause: Cause) {
        self.wire.ended(Ended::failed(job, 0, AttemptError::without_connection(cause)));
    }

    fn dial(&mut self, job: Job<W::Note>) {
        if self.conns.len() >= self.settings.max_connections {
            return self.report_failure(job, Cause::MostConnections);
        }
        let Some(fd) = self.resources.fds.take(ConnectionKind::Server) else {
            self.wire.descriptors_exhausted();
            return self.report_failure(job, Cause::NoDescriptor);
        };
        let io = match socket::connect(self.addr, self.settings.tcp_user_timeout) {
            Ok(io) => io,
            Err(e) => {
                // The system may allow fewer descriptors than the configuration says.
                if matches!(e.raw_os_error(), Some(EMFILE | ENFILE)) {
                    self.wire.descriptors_exhausted();
                }
                return self.report_failure(job, Cause::Io(e));
            }
        };
        self.last_conn += 1;
        let (conn, key) = (self.last_conn, (job.id, job.attempt));
        let inbox = Arc::new(Mailbox::new(io.waker()));
        self.conns.insert(conn, Conn { inbox: inbox.clone(), connected: false, job: Some(key) });
        self.busy.insert(key, conn);
        let context = connection::Context {
            number: conn,
            resources: self.resources.clone(),
            wire: self.wire.clone(),
            settings: self.settings.clone(),
            server: self.sender.clone(),
        };
        connection::start(context, io, inbox, job, fd);
        let sender = self.sender.clone();
        self.resources.alarms.after(self.settings.dial_us, move || {
            let _ = sender.send(ToServer::DialTimeout { conn });
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

/// The body, which is sent without being copied for each attempt.
impl AsRef<[u8]> for ForwardedRequest {
    fn as_ref(&self) -> &[u8] {
        &self.body.bytes
    }
}
