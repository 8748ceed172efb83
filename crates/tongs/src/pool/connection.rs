//! One connection to a server: carries one attempt at a time.

use super::{Job, ToConn, ToServer, events};
use crate::errors::{AttemptError, Cause, Progress};
use crate::gate::Gate;
use crate::http::{self, Body};
use crate::limits::Fd;
use crate::mailbox::Mailbox;
use crate::messages::{Answer, Ended, Told};
use crate::ring::Ring;
use curlewfront::{Micros, Outcome};
use may::io::{CoIo, WaitIo};
use may::sync::mpsc::Sender;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

/// Starts the actor of a connection that is being opened for `job`.
pub(super) fn start(
    number: u64,
    io: CoIo<TcpStream>,
    inbox: Arc<Mailbox<ToConn>>,
    gate: Arc<Gate>,
    server: Sender<ToServer>,
    job: Job,
    fd: Fd,
) {
    let mut link = Link {
        number,
        io,
        inbox,
        gate,
        server,
        incoming: Ring::default(),
        outgoing: Ring::default(),
        job: Some(job),
        progress: Progress::Dialing,
        written: 0,
        used: false,
        ahead: 0,
        whole_by: None,
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
        let (number, server) = (link.number, link.server.clone());
        drop(link);
        let _ = server.send(ToServer::Ended { conn: number, unsent });
    });
}

/// An answer on its way in.
struct Reply {
    status: u16,
    never_ran: bool,
    close: bool,
    used: Option<f64>,
    units: Option<f64>,
    /// Headers that are passed on.
    head: Vec<u8>,
    body: Body,
}

struct Link {
    number: u64,
    io: CoIo<TcpStream>,
    inbox: Arc<Mailbox<ToConn>>,
    gate: Arc<Gate>,
    server: Sender<ToServer>,
    incoming: Ring,
    outgoing: Ring,
    job: Option<Job>,
    progress: Progress,
    /// Bytes written of this attempt.
    written: usize,
    /// It has carried an attempt before.
    used: bool,
    /// Heads read for this attempt.
    ahead: u32,
    /// When the answer must be whole: begun, it comes in one go, or not at all.
    whole_by: Option<Micros>,
    answer: Option<Reply>,
    _fd: Fd,
}

/// Interim answers (1xx) before one is no answer.
const MOST_AHEAD: u32 = 16;
/// The largest figure that is believed: a use of a hundred times the quota. A larger one is a mistake, as is one that
/// is no number.
const MOST_FIGURE: f64 = 1e4;

/// A figure beside an answer: one that cannot be read is passed over, the answer holds all the same.
fn figure(text: &str) -> Option<f64> {
    http::decimal(text.trim()).filter(|n| *n <= MOST_FIGURE)
}

impl Link {
    /// Carries attempts until the connection ends; gives back one of which nothing was written.
    fn run(&mut self) -> Option<Job> {
        let mut seen = 0;
        loop {
            while let Some(told) = self.inbox.pop() {
                match told {
                    ToConn::Carry(job) => {
                        self.job = Some(job);
                        (self.progress, self.written) = (Progress::Writing, 0);
                        (self.ahead, self.whole_by) = (0, None);
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
                Ok(false) => seen = self.io.wait_io(),
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
            let _ = self.server.send(ToServer::Connected { conn: self.number });
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

    /// An answer that has begun and stops, its length a lie or its server gone, must not hold the request until its
    /// time is up: another attempt may still be in time. The limit is the one on connecting, after which a server
    /// counts as out of reach. It could harm where bodies take longer than that to send.
    fn hurry(&mut self) -> Result<(), Cause> {
        if self.job.is_none() || (self.answer.is_none() && self.incoming.is_empty()) {
            return Ok(());
        }
        let (now, patience) = (self.gate.clock.now(), self.gate.config.dial_timeout_us);
        let whole_by = *self.whole_by.get_or_insert_with(|| {
            let inbox = self.inbox.clone();
            self.gate.alarms.after(patience + 1, move || inbox.ring());
            now + patience
        });
        if now >= whole_by { Err(Cause::Malformed("answer not whole in time")) } else { Ok(()) }
    }

    /// Nothing is there to be read. Else the server has ended the connection, or sent bytes that nobody asked for
    /// and that must not pass for the answer to what is written next.
    fn quiet(&self) -> bool {
        let mut socket = self.io.inner();
        socket.read(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// Makes the request ready to be written.
    fn fill(&mut self) {
        let Some(job) = &self.job else { return };
        let left = job.until.saturating_sub(self.gate.clock.now()).max(1);
        let (passage, out) = (&job.passage, &mut self.outgoing);
        out.push(&passage.head);
        let length = passage.body.len();
        if length == 0 && passage.head.starts_with(b"GET ") {
            out.push(format!("Request-Timeout: {left}u\r\n\r\n").as_bytes());
        } else {
            out.push(format!("Request-Timeout: {left}u\r\nContent-Length: {length}\r\n\r\n").as_bytes());
        }
        out.push(&passage.body);
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
            let mut socket = self.io.inner();
            match self.incoming.fill(http::MOST_HELD, |room| socket.read(room)) {
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

    /// Makes what it can of the bytes at hand; true when the connection has served its last attempt.
    fn digest(&mut self) -> Result<bool, Cause> {
        let malformed = |e: http::Bad| Cause::Malformed(e.what);
        while self.answer.is_none() {
            let mut slots = http::NO_HEADERS;
            let bytes = self.incoming.bytes();
            let Some(head) = http::response(bytes, &mut slots).map_err(malformed)? else {
                return Ok(false);
            };
            if head.status == 101 {
                return Err(Cause::Malformed("protocol changed"));
            }
            self.ahead += 1;
            if self.ahead > MOST_AHEAD {
                return Err(Cause::Malformed("no end of interim answers"));
            }
            let len = head.len;
            if head.status >= 200 {
                let text = |name| http::header(head.headers, name).and_then(|v| std::str::from_utf8(v).ok());
                let number = |name| text(name).and_then(figure);
                let mut pass = Vec::new();
                if head.status == 200 {
                    http::pass_on(head.headers, &["X-Meter", "X-Settled", "Server-Load"], &mut pass);
                }
                self.answer = Some(Reply {
                    status: head.status,
                    never_ran: text("Not-Started").is_some_and(|v| v.trim() == "1"),
                    close: head.close,
                    used: number("X-Meter").map(|percent| percent / 100.0),
                    units: number("X-Settled"),
                    head: pass,
                    body: Body::new(head.framing),
                });
                self.progress = self.progress.max(Progress::Answering);
            }
            self.incoming.consume(len);
        }
        if let Some(answer) = &mut self.answer {
            let used = answer.body.take(self.incoming.bytes()).map_err(malformed)?;
            self.incoming.consume(used);
            if answer.body.done() {
                return Ok(self.finish());
            }
        }
        Ok(false)
    }

    /// The answer is whole: tells the module, and whether the connection can carry no more.
    fn finish(&mut self) -> bool {
        let (Some(answer), Some(job)) = (self.answer.take(), self.job.take()) else { return true };
        let outcome = match answer.status {
            200 => Outcome::Ok,
            503 | 504 if answer.never_ran => Outcome::Full,
            // Sent to others it would fare no better, and it says nothing of how the fleet is.
            400..500 => Outcome::Rejected,
            _ => Outcome::Error,
        };
        let reply = match outcome {
            Outcome::Ok => {
                let mut rest = answer.head;
                let body = answer.body.content;
                rest.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
                rest.extend_from_slice(&body);
                Some(Answer::Served(rest))
            }
            Outcome::Rejected => Some(Answer::Rejected { status: answer.status }),
            _ => None,
        };
        let (id, attempt) = (job.id, job.attempt);
        let (used, units) = (answer.used, answer.units);
        let ended = Ended { id, attempt, outcome, used, units, answer: reply, error: None };
        self.gate.module.post(Told::Ended(ended));
        // An answer before the whole request was written, or bytes after it, leave no clear state behind.
        if answer.close || !self.outgoing.is_empty() || !self.incoming.is_empty() {
            return true;
        }
        self.used = true;
        let _ = self.server.send(ToServer::Free { conn: self.number });
        false
    }

    fn fail(&mut self, cause: Cause) {
        if let Some(job) = self.job.take() {
            let error = AttemptError { progress: self.progress, cause };
            self.gate.module.post(Told::Ended(Ended::failed(&job, error)));
        }
    }
}
