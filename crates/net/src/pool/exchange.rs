//! What one connection to a server does with the attempts it carries, without its socket: what is written,
//! what the bytes that come are, and what is known of an attempt once the connection fails. The shell beside
//! it (`connection.rs`) waits, and lends its socket to each call; a model lends what it likes.
//!
//! Bytes are an answer to an attempt only from its first byte written up to the end of that answer. Whatever
//! else comes ends the connection. The states and rules stand in `docs/system/answers.md`.

use super::{Ended, Heard, Job, Served, Wire};
use crate::Micros;
use crate::errors::{AttemptError, Cause, Progress};
use crate::http::{self, Body, Bounds};
use crate::ring::{Bytes, Filled, Outgoing, Ring};
use std::io::{self, ErrorKind, Read, Write};

/// What follows from bytes that came.
pub enum Then<W: Wire> {
    /// More is to come.
    Wait,
    /// Its attempt has a whole answer, and the connection may carry the next; its server keeps it for so long.
    Free { ended: Ended<W>, keep_us: Option<Micros> },
    /// The connection is of no more use. Its attempt, if it had one, has a whole answer.
    Over { ended: Option<Ended<W>> },
}

/// What is left of an attempt whose connection has failed.
pub enum Left<W: Wire> {
    Nothing,
    /// No byte of it was written to a connection that had died while idle: it may go to another one.
    Unsent(Job<W::Note>),
    Failed(Ended<W>),
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

pub struct Exchange<W: Wire> {
    bounds: Bounds,
    /// For an answer that has begun to be whole, or to bring its next piece.
    answer_us: Micros,
    incoming: Ring,
    outgoing: Outgoing,
    job: Option<Job<W::Note>>,
    connected: bool,
    /// It has carried an attempt before.
    used: bool,
    /// When this attempt began to be written.
    begun_at: Micros,
    /// Bytes written of this attempt, and how many its head has.
    written: usize,
    head: usize,
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
}

/// Heads before the answer's own: interim answers (1xx) before one is no answer, and surplus ones.
const MOST_AHEAD: u32 = 16;

impl<W: Wire> Exchange<W> {
    /// Of a connection that is being opened for `job`.
    pub fn new(job: Job<W::Note>, bounds: Bounds, answer_us: Micros) -> Exchange<W> {
        Exchange {
            bounds,
            answer_us,
            incoming: Ring::default(),
            outgoing: Outgoing::default(),
            job: Some(job),
            connected: false,
            used: false,
            begun_at: 0,
            written: 0,
            head: usize::MAX,
            ahead: 0,
            surplus: false,
            whole_by: None,
            moved: 0,
            answer: None,
        }
    }

    pub fn is_connected(&self) -> bool {
        self.connected
    }

    /// How far the attempt has come: counted, never set.
    fn progress(&self) -> Progress {
        match &self.answer {
            _ if !self.connected => Progress::Dialing,
            Some(Reply { said: Some(_), .. }) => Progress::Answering,
            _ if self.written >= self.head => Progress::Written,
            _ => Progress::Writing,
        }
    }

    /// The connection is up.
    pub fn connected(&mut self, wire: &W, now: Micros) {
        self.connected = true;
        self.fill(wire, now);
    }

    /// Takes the next attempt; gives it back where the connection is not as its last answer left it.
    pub fn carry(
        &mut self,
        job: Job<W::Note>,
        wire: &W,
        now: Micros,
        socket: &mut impl Read,
    ) -> Result<(), Job<W::Note>> {
        // Else the server has ended the connection, or sent bytes that nobody asked for and that must not
        // pass for the answer to what is written next.
        if !quiet(socket) || !self.fit() {
            return Err(job);
        }
        self.job = Some(job);
        (self.begun_at, self.written, self.head) = (0, 0, usize::MAX);
        (self.ahead, self.whole_by, self.moved) = (0, None, 0);
        self.fill(wire, now);
        Ok(())
    }

    /// It may carry an attempt: nothing is left of the one before, in either direction.
    fn fit(&self) -> bool {
        let clear = self.outgoing.is_empty() && self.incoming.is_empty() && self.answer.is_none();
        self.connected && self.job.is_none() && clear && !self.surplus
    }

    /// Makes the request ready to be written.
    fn fill(&mut self, wire: &W, now: Micros) {
        let Some(job) = &self.job else { return };
        self.begun_at = now;
        let left = job.until.saturating_sub(now).max(1);
        let (passage, out) = (&job.passage, &mut self.outgoing);
        out.push(&passage.head);
        let mut lines = Vec::with_capacity(64);
        wire.last_lines(job, left, &mut lines);
        let length = passage.body.bytes.len();
        let bare = [b"GET ".as_slice(), b"HEAD "].iter().any(|method| passage.head.starts_with(method));
        if length > 0 || !bare {
            lines.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
        lines.extend_from_slice(b"\r\n");
        out.push(&lines);
        self.head = out.len();
        out.push_held(Bytes::Shared(passage.clone()));
        self.written = 0;
    }

    /// Writes what the socket takes now.
    pub fn write(&mut self, socket: impl Write) -> Result<(), Cause> {
        let held = self.outgoing.len();
        let done = self.outgoing.flush(socket);
        self.written += held - self.outgoing.len();
        done.map_err(Cause::Io)
    }

    /// Reads what is there. `ended`: the other side has closed, or broken, its side. After `Wait` and `Free`
    /// nothing more is there to be read.
    pub fn read(&mut self, wire: &W, socket: &mut impl Read, ended: bool) -> Result<Then<W>, Cause> {
        loop {
            match self.take_in(socket) {
                Ok(None) => {}
                Ok(Some(filled)) if filled.bytes == 0 => {
                    if let Some(answer) = &mut self.answer {
                        answer.body.end();
                    }
                    return match self.digest(wire)? {
                        Some((ended, _)) => Ok(Then::Over { ended: Some(ended) }),
                        None if self.job.is_none() => Ok(Then::Over { ended: None }),
                        None => Err(Cause::Ended),
                    };
                }
                Ok(Some(filled)) => {
                    // Nothing was asked: whatever this is, it answers no request.
                    if self.job.is_none() {
                        return Ok(Then::Over { ended: None });
                    }
                    if self.written == 0 {
                        return Err(Cause::Malformed("bytes before the request"));
                    }
                    self.moved += filled.bytes;
                    let more = filled.full || ended;
                    if let Some((ended, keep_us)) = self.digest(wire)? {
                        return Ok(match keep_us {
                            Some(keep_us) if !more || quiet(socket) => Then::Free { ended, keep_us },
                            _ => Then::Over { ended: Some(ended) },
                        });
                    }
                    if !more {
                        return Ok(Then::Wait);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(Then::Wait),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) if self.job.is_none() => return Ok(Then::Over { ended: None }),
                Err(e) => return Err(Cause::Io(e)),
            }
        }
    }

    /// One read: into a body of which much is still to come, or into the ring.
    fn take_in(&mut self, socket: &mut impl Read) -> io::Result<Option<Filled>> {
        if self.incoming.is_empty()
            && let Some(answer) = &mut self.answer
            && let Some(filled) = answer.body.fill(|room| socket.read(room))?
        {
            return Ok(Some(filled));
        }
        self.incoming.fill(self.bounds.held(), |room| socket.read(room))
    }

    /// Makes what it can of the bytes at hand: the attempt's whole answer, and how long the connection is kept
    /// where it is fit for the next.
    #[allow(clippy::type_complexity)]
    fn digest(&mut self, wire: &W) -> Result<Option<(Ended<W>, Option<Option<Micros>>)>, Cause> {
        let malformed = |e: http::Bad| Cause::Malformed(e.what);
        loop {
            if self.answer.is_none() && !self.read_head(wire).map_err(malformed)? {
                return Ok(None);
            }
            let Some(answer) = &mut self.answer else { continue };
            let used = answer.body.take(self.incoming.bytes()).map_err(malformed)?;
            self.incoming.consume(used);
            if !answer.body.done() {
                return Ok(None);
            }
            let Some(answer) = self.answer.take() else { continue };
            let Some(said) = answer.said else {
                // The attempt's own is awaited anew.
                (self.surplus, self.moved, self.whole_by) = (true, 0, None);
                continue;
            };
            let Some(Job { id, attempt, note, .. }) = self.job.take() else { return Ok(None) };
            let served = Served { status: answer.status, said, body: answer.body.content };
            let ended = Ended { id, attempt, note, begun_at: self.begun_at, outcome: Ok(served) };
            self.used = true;
            // An answer before the whole request was written, or bytes after it, leave no clear state behind.
            let fit = !answer.close && self.fit();
            return Ok(Some((ended, fit.then_some(answer.keep_us))));
        }
    }

    /// Reads one head, if it is there whole.
    fn read_head(&mut self, wire: &W) -> Result<bool, http::Bad> {
        let Some(job) = &self.job else { return Ok(false) };
        let mut slots = http::NO_HEADERS;
        let to_head = job.passage.head.starts_with(b"HEAD ");
        let head = http::response(self.incoming.bytes(), &mut slots, self.bounds, to_head)?;
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
            let said = match wire.heard(job, &head) {
                Heard::Mine(said) => Some(said),
                Heard::Surplus => None,
            };
            self.answer = Some(Reply {
                status: head.status,
                close: head.close,
                keep_us: http::keep_alive(head.headers).map(|s| s.saturating_mul(1_000_000)),
                said,
                body: Body::new(head.framing, self.bounds),
            });
        }
        self.incoming.consume(len);
        Ok(true)
    }

    /// An answer that has begun and stops, its length a lie or its server gone, must not hold the request
    /// until its time is up: another attempt may still be in time. It could harm where servers pause for
    /// longer within one. Some: to be called again after so long.
    pub fn hurry(&mut self, now: Micros) -> Result<Option<Micros>, Cause> {
        if self.job.is_none() || (self.answer.is_none() && self.incoming.is_empty()) {
            return Ok(None);
        }
        if self.moved >= http::PIECE {
            (self.moved, self.whole_by) = (0, None);
        }
        let set = self.whole_by.is_none().then_some(self.answer_us + 1);
        let whole_by = *self.whole_by.get_or_insert(now + self.answer_us);
        if now >= whole_by { Err(Cause::Malformed("answer not whole in time")) } else { Ok(set) }
    }

    /// Nobody waits for the attempt any more; nothing is told of it.
    pub fn give_up(&mut self) {
        self.job = None;
    }

    /// The connection has failed. What it was writing is not written on.
    pub fn fail(&mut self, cause: Cause) -> Left<W> {
        let progress = self.progress();
        let Some(job) = self.job.take() else { return Left::Nothing };
        // One that made a coroutine panic could do so again elsewhere.
        let dead = self.used && self.written == 0 && progress == Progress::Writing;
        if dead && !matches!(cause, Cause::Panic) {
            return Left::Unsent(job);
        }
        Left::Failed(Ended::failed(job, self.begun_at, AttemptError { progress, cause }))
    }
}

/// Nothing is there to be read, and the other side has not ended.
fn quiet(socket: &mut impl Read) -> bool {
    socket.read(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}
