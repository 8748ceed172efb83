//! The coroutine of one connection to a server, which carries one attempt at a time.

use super::exchange::{AfterFailure, Exchange, ReadResult};
use super::{Expected, Job, Settings, ToConn, ToServer, Wire};
use crate::Micros;
use crate::errors::{Cause, ConnectionHistory};
use crate::limits::Fd;
use crate::mailbox::Mailbox;
use crate::memory::{CONNECTION_BYTES, Lease, Reserver};
use crate::resources::Resources;
use crate::socket::{Watched, events};
use may::sync::mpsc::Sender;
use std::net::TcpStream;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

/// What a connection gets from its server's actor.
pub(super) struct Context<W: Wire> {
    pub number: u64,
    pub resources: Arc<Resources>,
    pub wire: Arc<W>,
    pub settings: Settings,
    pub server: Sender<ToServer<W>>,
}

/// Starts the coroutine of a connection that is being opened for `job`.
pub(super) fn start<W: Wire>(
    context: Context<W>,
    io: Watched<TcpStream>,
    inbox: Arc<Mailbox<ToConn<W::Note>>>,
    job: Job<W::Note>,
    fd: Fd,
) {
    let waked = inbox.clone();
    let room = Reserver::new(context.resources.memory.clone(), move || waked.wake());
    let exchange = Exchange::new(job, context.settings.bounds, context.settings.answer_us, room);
    let opened_at = context.resources.clock.now();
    let buffers = context.resources.memory.hold(CONNECTION_BYTES);
    let mut connection = Connection {
        context,
        io,
        inbox,
        exchange,
        opened_at,
        established_at: None,
        attempts: 1,
        peer_closed: false,
        _fd: fd,
        _buffers: buffers,
    };
    may::go!(move || {
        // A panic ends only this connection; the outcome of its attempt is still reported.
        let result = catch_unwind(AssertUnwindSafe(|| connection.run()));
        let unsent = result.unwrap_or_else(|_| connection.fail(Cause::Panic));
        let (number, server) = (connection.context.number, connection.context.server.clone());
        drop(connection);
        let _ = server.send(ToServer::Ended { conn: number, unsent });
    });
}

struct Connection<W: Wire> {
    context: Context<W>,
    io: Watched<TcpStream>,
    inbox: Arc<Mailbox<ToConn<W::Note>>>,
    exchange: Exchange<W>,
    opened_at: Micros,
    established_at: Option<Micros>,
    /// Attempts that it was given.
    attempts: u32,
    /// The server has closed its side, or the connection has failed. What came before may still wait to be read.
    peer_closed: bool,
    _fd: Fd,
    _buffers: Lease,
}

impl<W: Wire> Connection<W> {
    /// Carries attempts until the connection ends. Returns an attempt of which nothing was written, if there is one.
    fn run(&mut self) -> Option<Job<W::Note>> {
        let mut events = 0;
        loop {
            while let Some(message) = self.inbox.pop() {
                match message {
                    ToConn::Carry(job) => {
                        self.attempts += 1;
                        let (wire, now) = (&*self.context.wire, self.context.resources.clock.now());
                        if let Err(job) = self.exchange.carry(job, wire, now, &mut self.io.inner()) {
                            return Some(job);
                        }
                    }
                    ToConn::Close(Expected::Dialing(cause)) if !self.exchange.is_connected() => {
                        return self.fail(cause);
                    }
                    ToConn::Close(Expected::Idle) if self.exchange.is_idle() => return None,
                    ToConn::Close(Expected::Carrying(id, attempt)) if self.exchange.carries(id, attempt) => {
                        self.exchange.give_up();
                        return None;
                    }
                    // Its state has changed since the actor heard of it.
                    ToConn::Close(_) => {}
                }
            }
            match self.step(events) {
                Ok(false) => events = self.io.wait(),
                Ok(true) => return None,
                Err(cause) => return self.fail(cause),
            }
        }
    }

    /// Handles the given events. Returns true if the connection cannot be used any more and no failure is to be
    /// reported.
    fn step(&mut self, events: usize) -> Result<bool, Cause> {
        let (resources, wire) = (&self.context.resources, &*self.context.wire);
        if !self.exchange.is_connected() {
            if let Some(e) = self.io.inner().take_error().map_err(Cause::Io)? {
                return Err(Cause::Io(e));
            }
            if events & events::WRITABLE == 0 || events & events::HANG_UP != 0 {
                return if events & events::ENDED != 0 { Err(Cause::Ended) } else { Ok(false) };
            }
            let _ = self.context.server.send(ToServer::Connected { conn: self.context.number });
            let now = resources.clock.now();
            self.established_at = Some(now);
            self.exchange.connected(wire, now);
        }
        self.peer_closed |= events & events::ENDED != 0;
        let readable = events & (events::READABLE | events::ENDED) != 0;
        if readable || self.exchange.is_waiting_for_room() {
            match self.exchange.read(wire, &mut self.io.inner(), self.peer_closed)? {
                ReadResult::Wait => {}
                ReadResult::Reusable { ended, keep_us } => {
                    // Before the outcome is reported, so that an attempt sent right after it finds this connection
                    // idle.
                    let _ = self.context.server.send(ToServer::Free { conn: self.context.number, keep_us });
                    wire.ended(ended);
                }
                ReadResult::Finished { ended } => {
                    if let Some(ended) = ended {
                        wire.ended(ended);
                    }
                    return Ok(true);
                }
            }
        }
        self.exchange.write(self.io.inner())?;
        if let Some(wait) = self.exchange.check_timeout(resources.clock.now())? {
            let inbox = self.inbox.clone();
            resources.alarms.after(wait, move || inbox.wake());
        }
        Ok(false)
    }

    /// Reports a failed attempt, or returns it if nothing was written of it and it may go to another connection.
    fn fail(&mut self, cause: Cause) -> Option<Job<W::Note>> {
        match self.exchange.fail(cause) {
            AfterFailure::Nothing => None,
            AfterFailure::Unsent(job) => Some(job),
            AfterFailure::Failed(mut ended) => {
                if let Err(error) = &mut ended.outcome {
                    error.connection = Some(self.history());
                }
                self.context.wire.ended(ended);
                None
            }
        }
    }

    fn history(&self) -> ConnectionHistory {
        let now = self.context.resources.clock.now();
        ConnectionHistory {
            age_us: now.saturating_sub(self.opened_at),
            established_us: self.established_at.map(|at| now.saturating_sub(at)),
            attempts: self.attempts,
        }
    }
}
