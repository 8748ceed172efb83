//! One connection to a server: carries one attempt at a time.

use super::exchange::{Exchange, Left, Then};
use super::{Job, Settings, ToConn, ToServer, Wire};
use crate::errors::Cause;
use crate::limits::Fd;
use crate::mailbox::Mailbox;
use crate::room::Room;
use crate::socket::{Watched, events};
use may::sync::mpsc::Sender;
use std::net::TcpStream;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

/// What a connection has of its server's actor.
pub(super) struct With<W: Wire> {
    pub number: u64,
    pub room: Arc<Room>,
    pub wire: Arc<W>,
    pub settings: Settings,
    pub server: Sender<ToServer<W>>,
}

/// Starts the actor of a connection that is being opened for `job`.
pub(super) fn start<W: Wire>(
    with: With<W>,
    io: Watched<TcpStream>,
    inbox: Arc<Mailbox<ToConn<W::Note>>>,
    job: Job<W::Note>,
    fd: Fd,
) {
    let exchange = Exchange::new(job, with.settings.bounds, with.settings.answer_us);
    let mut link = Link { with, io, inbox, exchange, _fd: fd };
    may::go!(move || {
        // A panic ends this connection alone; its attempt still gets its outcome.
        let end = catch_unwind(AssertUnwindSafe(|| link.run()));
        let unsent = end.unwrap_or_else(|_| link.fail(Cause::Panic));
        let (number, server) = (link.with.number, link.with.server.clone());
        drop(link);
        let _ = server.send(ToServer::Ended { conn: number, unsent });
    });
}

struct Link<W: Wire> {
    with: With<W>,
    io: Watched<TcpStream>,
    inbox: Arc<Mailbox<ToConn<W::Note>>>,
    exchange: Exchange<W>,
    _fd: Fd,
}

impl<W: Wire> Link<W> {
    /// Carries attempts until the connection ends; gives back one of which nothing was written.
    fn run(&mut self) -> Option<Job<W::Note>> {
        let mut seen = 0;
        loop {
            while let Some(told) = self.inbox.pop() {
                match told {
                    ToConn::Carry(job) => {
                        let (wire, now) = (&*self.with.wire, self.with.room.clock.now());
                        if let Err(job) = self.exchange.carry(job, wire, now, &mut self.io.inner()) {
                            return Some(job);
                        }
                    }
                    ToConn::End(why) => {
                        if let Some(cause) = why {
                            return self.fail(cause);
                        }
                        self.exchange.give_up();
                        return None;
                    }
                }
            }
            match self.step(seen) {
                Ok(false) => seen = self.io.wait(),
                Ok(true) => return None,
                Err(cause) => return self.fail(cause),
            }
        }
    }

    /// What the events call for; true when the connection is of no more use and nothing is owed for it.
    fn step(&mut self, seen: usize) -> Result<bool, Cause> {
        let (room, wire) = (&self.with.room, &*self.with.wire);
        if !self.exchange.is_connected() {
            if let Some(e) = self.io.inner().take_error().map_err(Cause::Io)? {
                return Err(Cause::Io(e));
            }
            if seen & events::WRITABLE == 0 || seen & events::HANG_UP != 0 {
                return if seen & events::ENDED != 0 { Err(Cause::Ended) } else { Ok(false) };
            }
            let _ = self.with.server.send(ToServer::Connected { conn: self.with.number });
            self.exchange.connected(wire, room.clock.now());
        }
        if seen & (events::READABLE | events::ENDED) != 0 {
            match self.exchange.read(wire, &mut self.io.inner(), seen & events::ENDED != 0)? {
                Then::Wait => {}
                Then::Free { ended, keep_us } => {
                    // Before the answer is told: what is sent as soon as it is known finds this connection free.
                    let _ = self.with.server.send(ToServer::Free { conn: self.with.number, keep_us });
                    wire.ended(ended);
                }
                Then::Over { ended } => {
                    if let Some(ended) = ended {
                        wire.ended(ended);
                    }
                    return Ok(true);
                }
            }
        }
        self.exchange.write(self.io.inner())?;
        if let Some(wait) = self.exchange.hurry(room.clock.now())? {
            let inbox = self.inbox.clone();
            room.alarms.after(wait, move || inbox.ring());
        }
        Ok(false)
    }

    /// Tells of an attempt that has failed; gives back one of which nothing was written.
    fn fail(&mut self, cause: Cause) -> Option<Job<W::Note>> {
        match self.exchange.fail(cause) {
            Left::Nothing => None,
            Left::Unsent(job) => Some(job),
            Left::Failed(ended) => {
                self.with.wire.ended(ended);
                None
            }
        }
    }
}
