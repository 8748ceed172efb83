//! One connection to a server: carries one attempt at a time.

use super::{Ended, Heard, Job, Served, Settings, ToConn, ToServer, Wire};
use crate::Micros;
use crate::errors::{AttemptError, Cause, Progress};
use crate::http::{self, Body};
use crate::limits::Fd;
use crate::mailbox::Mailbox;
use crate::net::{Watched, events};
use crate::ring::{Bytes, Filled, Outgoing, Ring};
use crate::room::Room;
use may::sync::mpsc::Sender;
use std::io::{self, ErrorKind, Read};
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
    let mut link = Link {
        with,
        io,
        inbox,
        incoming: Ring::default(),
        outgoing: Outgoing::default(),
        job: Some(job),
        progress: Progress::Dialing,
        begun_at: 0,
        written: 0,
        used: false,
        ahead: 0,
        surplus: false,
        whole_by: None,
        moved: 0,
        answer: None,
        _fd: fd,
    };
    may::go!(move || {
        // A panic ends this connection alone; its attempt still gets its outcome.
        let end = catch_unwind(AssertUnwindSafe(|| link.run()));
        let unsent = end.unwrap_or_else(|_| {
            link.fail(Cause::Panic);
            None
        });
        let (number, server) = (link.with.number, link.with.server.clone());
        drop(link);
        let _ = server.send(ToServer::Ended { conn: number, unsent });
    });
}

/// An answer on its way in.
struct Reply<Said> {
    status: u16,
    close: bool,
    keep_us: Option<Micros>,
    /// None: it is no answer to this attempt.
    said: Option<Said>,
    body: Body,
}

struct Link<W: Wire> {
    with: With<W>,
    io: Watched<TcpStream>,
    inbox: Arc<Mailbox<ToConn<W::Note>>>,
    incoming: Ring,
    outgoing: Outgoing,
    job: Option<Job<W::Note>>,
    progress: Progress,
    /// When this attempt began to be written.
    begun_at: Micros,
    /// Bytes written of this attempt.
    written: usize,
    /// It has carried an attempt before.
    used: bool,
    /// Heads read for this attempt.
    ahead: u32,
    /// An answer to an earlier attempt has come: whose the next one would be is not known well enough.
    surplus: bool,
    /// When the answer must be whole, or a further piece of it there: begun, it comes in one go, or not at
    /// all.
    whole_by: Option<Micros>,
    /// Bytes read of the answer since that was set.
    moved: usize,
    answer: Option<Reply<W::Said>>,
    _fd: Fd,
}

/// Heads before the answer's own: interim answers (1xx) before one is no answer, and surplus ones.
const MOST_AHEAD: u32 = 16;

impl<W: Wire> Link<W> {
    /// Carries attempts until the connection ends; gives back one of which nothing was written.
    fn run(&mut self) -> Option<Job<W::Note>> {
        let mut seen = 0;
        loop {
            while let Some(told) = self.inbox.pop() {
                match told {
                    ToConn::Carry(job) => {
                        self.job = Some(job);
                        (self.progress, self.written, self.begun_at) = (Progress::Writing, 0, 0);
                        (self.ahead, self.whole_by, self.moved) = (0, None, 0);
                        if !self.quiet() {
                            return self.job.take();
                        }
                        self.fill();
                    }
                    ToConn::End(why) => {
                        if let Some(cause) = why {
                            self.fail(cause);
                        }
                        self.job = None;
                        return None;
                    }
                }
            }
            match self.step(seen) {
                Ok(false) => seen = self.io.wait(),
                Ok(true) => return None,
                Err(cause) => {
                    if self.used && self.progress == Progress::Writing && self.written == 0 {
                        return self.job.take();
                    }
                    self.fail(cause);
                    return None;
                }
            }
        }
    }

    /// What the events call for; true when the connection is of no more use and nothing is owed for it.
    fn step(&mut self, seen: usize) -> Result<bool, Cause> {
        if self.progress == Progress::Dialing {
            if let Some(e) = self.io.inner().take_error().map_err(Cause::Io)? {
                return Err(Cause::Io(e));
            }
            if seen & events::WRITABLE == 0 || seen & events::HANG_UP != 0 {
                return if seen & events::ENDED != 0 { Err(Cause::Ended) } else { Ok(false) };
            }
            let _ = self.with.server.send(ToServer::Connected { conn: self.with.number });
            self.progress = Progress::Writing;
            self.fill();
        }
        if seen & (events::READABLE | events::ENDED) != 0 && self.read(seen & events::ENDED != 0)? {
            return Ok(true);
        }
        self.write()?;
        self.hurry()?;
        Ok(false)
    }

    /// An answer that has begun and stops, its length a lie or its server gone, must not hold the request
    /// until its time is up: another attempt may still be in time. It could harm where servers pause for
    /// longer within one.
    fn hurry(&mut self) -> Result<(), Cause> {
        if self.job.is_none() || (self.answer.is_none() && self.incoming.is_empty()) {
            return Ok(());
        }
        let (now, patience) = (self.with.room.clock.now(), self.with.settings.answer_us);
        if self.moved >= http::PIECE {
            (self.moved, self.whole_by) = (0, None);
        }
        let whole_by = *self.whole_by.get_or_insert_with(|| {
            let inbox = self.inbox.clone();
            self.with.room.alarms.after(patience + 1, move || inbox.ring());
            now + patience
        });
        if now >= whole_by { Err(Cause::Malformed("answer not whole in time")) } else { Ok(()) }
    }

    /// Nothing is there to be read. Else the server has ended the connection, or sent bytes that nobody asked
    /// for and that must not pass for the answer to what is written next.
    fn quiet(&self) -> bool {
        let mut socket = self.io.inner();
        socket.read(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// Makes the request ready to be written.
    fn fill(&mut self) {
        let Some(job) = &self.job else { return };
        self.begun_at = self.with.room.clock.now();
        let left = job.until.saturating_sub(self.begun_at).max(1);
        let (passage, out) = (&job.passage, &mut self.outgoing);
        out.push(&passage.head);
        let mut lines = Vec::with_capacity(64);
        self.with.wire.last_lines(job, left, &mut lines);
        let length = passage.body.bytes.len();
        let bare = [b"GET ".as_slice(), b"HEAD "].iter().any(|method| passage.head.starts_with(method));
        if length > 0 || !bare {
            lines.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
        lines.extend_from_slice(b"\r\n");
        out.push(&lines);
        out.push_held(Bytes::Shared(passage.clone()));
        self.written = 0;
    }

    fn write(&mut self) -> Result<(), Cause> {
        let held = self.outgoing.len();
        let done = self.outgoing.flush(self.io.inner());
        self.written += held - self.outgoing.len();
        done.map_err(Cause::Io)?;
        if self.progress == Progress::Writing && self.job.is_some() {
            self.progress = Progress::Written;
        }
        Ok(())
    }

    /// Reads what is there; true when the connection is of no more use and nothing is owed for it.
    fn read(&mut self, ended: bool) -> Result<bool, Cause> {
        loop {
            match self.take_in() {
                Ok(None) => {}
                Ok(Some(filled)) if filled.bytes == 0 => {
                    if let Some(answer) = &mut self.answer {
                        answer.body.end();
                    }
                    return if self.digest()? || self.job.is_none() { Ok(true) } else { Err(Cause::Ended) };
                }
                Ok(Some(filled)) => {
                    if self.job.is_none() {
                        return Ok(true); // nothing was asked: whatever this is, it answers no request
                    }
                    self.moved += filled.bytes;
                    if self.digest()? {
                        return Ok(true);
                    }
                    if !filled.full && !ended {
                        return Ok(false);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) if self.job.is_none() => return Ok(true),
                Err(e) => return Err(Cause::Io(e)),
            }
        }
    }

    /// One read: into a body of which much is still to come, or into the ring.
    fn take_in(&mut self) -> io::Result<Option<Filled>> {
        let mut socket = self.io.inner();
        if self.incoming.is_empty()
            && let Some(answer) = &mut self.answer
            && let Some(filled) = answer.body.fill(|room| socket.read(room))?
        {
            return Ok(Some(filled));
        }
        self.incoming.fill(self.with.settings.bounds.held(), |room| socket.read(room))
    }

    /// Makes what it can of the bytes at hand; true when the connection has served its last attempt.
    fn digest(&mut self) -> Result<bool, Cause> {
        let malformed = |e: http::Bad| Cause::Malformed(e.what);
        loop {
            if self.answer.is_none() && !self.head().map_err(malformed)? {
                return Ok(false);
            }
            let Some(answer) = &mut self.answer else { continue };
            let used = answer.body.take(self.incoming.bytes()).map_err(malformed)?;
            self.incoming.consume(used);
            if !answer.body.done() {
                return Ok(false);
            }
            let Some(answer) = self.answer.take() else { continue };
            let (status, body) = (answer.status, answer.body.content);
            match answer.said {
                Some(said) => {
                    let served = Served { status, said, body };
                    return Ok(self.finish(served, answer.close, answer.keep_us));
                }
                // The attempt's own is awaited anew.
                None => (self.surplus, self.moved, self.whole_by) = (true, 0, None),
            }
        }
    }

    /// Reads one head, if it is there whole.
    fn head(&mut self) -> Result<bool, http::Bad> {
        let Some(job) = &self.job else { return Ok(false) };
        let bounds = self.with.settings.bounds;
        let mut slots = http::NO_HEADERS;
        let to_head = job.passage.head.starts_with(b"HEAD ");
        let head = http::response(self.incoming.bytes(), &mut slots, bounds, to_head)?;
        let Some(head) = head else { return Ok(false) };
        let bad = |what| Err(http::Bad { status: 502, what });
        if head.status == 101 {
            return bad("protocol changed");
        }
        self.ahead += 1;
        if self.ahead > MOST_AHEAD {
            return bad("no end of interim answers");
        }
        let len = head.len;
        if head.status >= 200 {
            let said = match self.with.wire.heard(job, &head) {
                Heard::Mine(said) => Some(said),
                Heard::Surplus => None,
            };
            if said.is_some() {
                self.progress = self.progress.max(Progress::Answering);
            }
            self.answer = Some(Reply {
                status: head.status,
                close: head.close,
                keep_us: http::keep_alive(head.headers).map(|s| s.saturating_mul(1_000_000)),
                said,
                body: Body::new(head.framing, bounds),
            });
        }
        self.incoming.consume(len);
        Ok(true)
    }

    /// The answer is whole: tells the wire, and whether the connection can carry no more.
    fn finish(&mut self, served: Served<W::Said>, close: bool, keep_us: Option<Micros>) -> bool {
        let Some(Job { id, attempt, note, .. }) = self.job.take() else { return true };
        // An answer before the whole request was written, or bytes after it, leave no clear state behind.
        let last = close || self.surplus || !self.outgoing.is_empty() || !self.incoming.is_empty();
        if !last {
            self.used = true;
            // Before the answer is told: what is sent as soon as it is known finds this connection free.
            let _ = self.with.server.send(ToServer::Free { conn: self.with.number, keep_us });
        }
        self.with.wire.ended(Ended { id, attempt, note, begun_at: self.begun_at, outcome: Ok(served) });
        last
    }

    fn fail(&mut self, cause: Cause) {
        if let Some(job) = self.job.take() {
            let error = AttemptError { progress: self.progress, cause };
            self.with.wire.ended(Ended::failed(job, self.begun_at, error));
        }
    }
}
