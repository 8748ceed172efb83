//! The protocol of one connection to a server, without its socket: what is written for an attempt, what received
//! bytes mean, and what is known of an attempt when the connection fails. The coroutine in `connection.rs` waits for
//! events and passes its socket to each call; model tests pass a simulated one.
//!
//! Received bytes belong to the answer of an attempt only between its first written byte and the end of that answer.
//! Any other bytes end the connection. States and rules are described in `docs/system/answers.md`.

use super::{Ended, Job, ResponseMatch, Served, Wire};
use crate::Micros;
use crate::errors::{AttemptError, Cause, Progress};
use crate::http::{self, Body, Bounds};
use crate::memory::{BufferedBody, Lease, Reservation, Reserver, Ticket};
use crate::ring::{Bytes, Filled, Outgoing, Ring};
use std::io::{self, ErrorKind, Read, Write};

/// The result of reading.
pub enum ReadResult<W: Wire> {
    /// More bytes are needed.
    Wait,
    /// The attempt has a complete answer, and the connection may carry the next one. The server keeps it open for
    /// `keep_us`, if it says so.
    Reusable { ended: Ended<W>, keep_us: Option<Micros> },
    /// The connection cannot be used any more. Its attempt, if it had one, has a complete answer.
    Finished { ended: Option<Ended<W>> },
}

/// What becomes of the attempt of a failed connection.
pub enum AfterFailure<W: Wire> {
    /// There was no attempt.
    Nothing,
    /// No byte of it was written, as the connection had died while idle: it may go to another connection.
    Unsent(Job<W::Note>),
    Failed(Ended<W>),
}

/// An answer that is being received.
struct IncomingAnswer<HeadInfo> {
    status: u16,
    close: bool,
    keep_us: Option<Micros>,
    /// None: it is not the answer to this attempt.
    head_info: Option<HeadInfo>,
    body: Body,
    /// The room that is reserved for the body.
    lease: Option<Lease>,
}

impl<HeadInfo> IncomingAnswer<HeadInfo> {
    fn reserved_bytes(&self) -> usize {
        self.lease.as_ref().map_or(0, Lease::bytes)
    }

    fn add_room(&mut self, room: Lease) {
        match &mut self.lease {
            Some(lease) => lease.join(room),
            None => self.lease = Some(room),
        }
        self.body.allocate(self.reserved_bytes());
    }

    /// The whole body, which holds no more room than it needs.
    fn take_body(&mut self) -> BufferedBody {
        let mut bytes = std::mem::take(&mut self.body.content);
        bytes.shrink_to_fit();
        let mut lease = self.lease.take();
        lease.iter_mut().for_each(|lease| lease.shrink(bytes.len()));
        BufferedBody { bytes, lease }
    }
}

/// The state of one connection to a server.
pub struct Exchange<W: Wire> {
    bounds: Bounds,
    /// Time for an answer that has begun to be complete, or to bring its next block; None: no limit.
    answer_us: Option<Micros>,
    incoming: Ring,
    outgoing: Outgoing,
    job: Option<Job<W::Note>>,
    connected: bool,
    /// It has carried an attempt to its answer.
    used: bool,
    /// When this attempt began to be written.
    begun_at: Micros,
    /// Bytes written of this attempt.
    written_bytes: usize,
    /// Length of its head.
    head_bytes: usize,
    /// Response heads read for this attempt.
    heads_read: u32,
    /// A surplus answer has come. The connection is not reused, as it would not be certain to which attempt the next
    /// answer belongs.
    surplus: bool,
    /// When the answer must be complete, or its next block must have come. An answer that has begun is expected to
    /// arrive without long pauses.
    answer_deadline: Option<Micros>,
    /// Bytes read of the answer since that was set.
    progress_bytes: usize,
    answer: Option<IncomingAnswer<W::HeadInfo>>,
    room: Reserver,
    /// The answer waits for room; nothing is read meanwhile.
    waiting: Option<Ticket>,
}

/// The most response heads for one attempt, with those of interim (1xx) and surplus answers. More are treated as an
/// error.
const MAX_HEADS: u32 = 16;

impl<W: Wire> Exchange<W> {
    /// The state of a connection that is being opened for `job`.
    pub fn new(job: Job<W::Note>, bounds: Bounds, answer_us: Option<Micros>, room: Reserver) -> Exchange<W> {
        Exchange {
            bounds,
            answer_us,
            incoming: Ring::default(),
            outgoing: Outgoing::default(),
            job: Some(job),
            connected: false,
            used: false,
            begun_at: 0,
            written_bytes: 0,
            head_bytes: usize::MAX,
            heads_read: 0,
            surplus: false,
            answer_deadline: None,
            progress_bytes: 0,
            answer: None,
            room,
            waiting: None,
        }
    }

    pub fn is_connected(&self) -> bool {
        self.connected
    }

    /// Whether its answer waits for room. It is then to be read again once that is granted.
    pub fn is_waiting_for_room(&self) -> bool {
        self.waiting.is_some()
    }

    /// Whether no attempt is under way.
    pub fn is_idle(&self) -> bool {
        self.job.is_none()
    }

    /// Whether this attempt is under way.
    pub fn carries(&self, id: u64, attempt: u32) -> bool {
        self.job.as_ref().is_some_and(|job| (job.id, job.attempt) == (id, attempt))
    }

    /// How far the attempt has come, derived from what was written and read.
    fn progress(&self) -> Progress {
        match &self.answer {
            _ if !self.connected => Progress::Dialing,
            Some(IncomingAnswer { head_info: Some(_), .. }) => Progress::Answering,
            _ if self.written_bytes >= self.head_bytes => Progress::Written,
            _ => Progress::Writing,
        }
    }

    /// To be called when the connection is established.
    pub fn connected(&mut self, wire: &W, now: Micros) {
        self.connected = true;
        self.queue_request(wire, now);
    }

    /// Starts the next attempt. Returns it if the connection is no longer as the last answer left it.
    pub fn carry(
        &mut self,
        job: Job<W::Note>,
        wire: &W,
        now: Micros,
        socket: &mut impl Read,
    ) -> Result<(), Job<W::Note>> {
        // Otherwise the server has closed the connection, or has sent unrequested bytes, which must not be taken for
        // the answer to the next attempt.
        if !nothing_to_read(socket) || !self.is_reusable() {
            return Err(job);
        }
        self.job = Some(job);
        (self.begun_at, self.written_bytes, self.head_bytes) = (0, 0, usize::MAX);
        (self.heads_read, self.answer_deadline, self.progress_bytes) = (0, None, 0);
        self.queue_request(wire, now);
        Ok(())
    }

    /// Whether it may carry another attempt: nothing is left of the one before, in either direction.
    fn is_reusable(&self) -> bool {
        let clear = self.outgoing.is_empty() && self.incoming.is_empty() && self.answer.is_none();
        self.connected && self.job.is_none() && clear && !self.surplus
    }

    /// Queues the request for writing.
    fn queue_request(&mut self, wire: &W, now: Micros) {
        let Some(job) = &self.job else { return };
        self.begun_at = now;
        let left = job.until.saturating_sub(now).max(1);
        let (request, out) = (&job.request, &mut self.outgoing);
        out.push(&request.head);
        let mut headers = Vec::with_capacity(64);
        wire.attempt_headers(job, left, &mut headers);
        let length = request.body.bytes.len();
        let bodiless = [b"GET ".as_slice(), b"HEAD "].iter().any(|method| request.head.starts_with(method));
        if length > 0 || !bodiless {
            headers.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
        headers.extend_from_slice(b"\r\n");
        out.push(&headers);
        self.head_bytes = out.len();
        out.push_bytes(Bytes::Shared(request.clone()));
        self.written_bytes = 0;
    }

    /// Writes as much as the socket accepts now.
    pub fn write(&mut self, socket: impl Write) -> Result<(), Cause> {
        let before = self.outgoing.len();
        let result = self.outgoing.flush(socket);
        self.written_bytes += before - self.outgoing.len();
        result.map_err(Cause::Io)
    }

    /// Reads what has come. `ended`: the server has closed its side or the connection has failed. After `Wait` and
    /// `Reusable` nothing is left to be read.
    pub fn read(&mut self, wire: &W, socket: &mut impl Read, ended: bool) -> Result<ReadResult<W>, Cause> {
        if self.is_waiting_for_room()
            && let Some(outcome) = self.process_input(wire)?
        {
            return Ok(result_of(outcome, true, socket));
        }
        loop {
            // Bytes that are not read hold their server up.
            if self.is_waiting_for_room() {
                return Ok(ReadResult::Wait);
            }
            match self.read_once(socket) {
                Ok(None) => {}
                Ok(Some(filled)) if filled.bytes == 0 => {
                    if let Some(answer) = &mut self.answer {
                        answer.body.end();
                    }
                    return match self.process_input(wire)? {
                        Some((ended, _)) => Ok(ReadResult::Finished { ended: Some(ended) }),
                        None if self.job.is_none() => Ok(ReadResult::Finished { ended: None }),
                        None => Err(Cause::Ended),
                    };
                }
                Ok(Some(filled)) => {
                    // No attempt is under way, so these bytes answer no request.
                    if self.job.is_none() {
                        return Ok(ReadResult::Finished { ended: None });
                    }
                    if self.written_bytes == 0 {
                        return Err(Cause::Malformed("bytes before the request"));
                    }
                    self.progress_bytes += filled.bytes;
                    let more = filled.full || ended;
                    if let Some(outcome) = self.process_input(wire)? {
                        return Ok(result_of(outcome, more, socket));
                    }
                    if !more {
                        return Ok(ReadResult::Wait);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(ReadResult::Wait),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) if self.job.is_none() => return Ok(ReadResult::Finished { ended: None }),
                Err(e) => return Err(Cause::Io(e)),
            }
        }
    }

    /// Reads once: directly into a body of which much is still to come, or into the buffer.
    fn read_once(&mut self, socket: &mut impl Read) -> io::Result<Option<Filled>> {
        if self.incoming.is_empty()
            && let Some(answer) = &mut self.answer
            && let Some(filled) = answer.body.fill(|room| socket.read(room))?
        {
            return Ok(Some(filled));
        }
        self.incoming.fill(self.bounds.buffer_bytes(), |room| socket.read(room))
    }

    /// Processes as much as possible of the buffered bytes. Returns the outcome of the attempt once its answer is
    /// complete and, if the connection can be reused, for how long the server keeps it open.
    fn process_input(&mut self, wire: &W) -> Result<Option<AnswerOutcome<W>>, Cause> {
        let malformed = |e: http::Bad| Cause::Malformed(e.what);
        loop {
            if self.answer.is_none() && !self.read_head(wire).map_err(malformed)? {
                return Ok(None);
            }
            if !self.make_room()? {
                return Ok(None);
            }
            let Some(answer) = &mut self.answer else { continue };
            let input = self.incoming.bytes();
            let taken = input.len().min(answer.body.max_input_bytes(answer.reserved_bytes()));
            let more_input = taken < input.len();
            let used = answer.body.take(&input[..taken]).map_err(malformed)?;
            self.incoming.consume(used);
            if !answer.body.done() {
                if more_input {
                    continue;
                }
                return Ok(None);
            }
            let Some(mut answer) = self.answer.take() else { continue };
            let Some(head_info) = answer.head_info.take() else {
                // The answer to this attempt is still awaited.
                (self.surplus, self.progress_bytes, self.answer_deadline) = (true, 0, None);
                continue;
            };
            let Some(Job { id, attempt, note, .. }) = self.job.take() else { return Ok(None) };
            let served = Served { status: answer.status, head_info, body: answer.take_body() };
            let ended = Ended { id, attempt, note, begun_at: self.begun_at, outcome: Ok(served) };
            self.used = true;
            // After an answer that came before the request was completely written, or with further bytes behind it,
            // the state of the connection is not certain.
            let reusable = !answer.close && self.is_reusable();
            return Ok(Some((ended, reusable.then_some(answer.keep_us))));
        }
    }

    /// Reserves room for what comes next of the answer. False: it waits for that.
    fn make_room(&mut self) -> Result<bool, Cause> {
        let Some(answer) = &mut self.answer else { return Ok(true) };
        if let Some(ticket) = &self.waiting {
            let Some(room) = ticket.take() else { return Ok(false) };
            self.waiting = None;
            answer.add_room(room);
        }
        let max_growing = self.room.max_growing_bytes();
        let bytes = answer.body.unreserved_bytes(answer.reserved_bytes(), max_growing);
        if bytes == 0 {
            return Ok(true);
        }
        match self.room.reserve(bytes) {
            Reservation::Granted(room) => answer.add_room(room),
            Reservation::Waiting(ticket) => self.waiting = Some(ticket),
            Reservation::TooLarge => return Err(Cause::Malformed("answer larger than there is memory for")),
        }
        Ok(self.waiting.is_none())
    }

    /// Parses one head; false while it is incomplete.
    fn read_head(&mut self, wire: &W) -> Result<bool, http::Bad> {
        let Some(job) = &self.job else { return Ok(false) };
        let mut slots = http::NO_HEADERS;
        let to_head = job.request.head.starts_with(b"HEAD ");
        let head = http::response(self.incoming.bytes(), &mut slots, self.bounds, to_head)?;
        let Some(head) = head else { return Ok(false) };
        let bad = |what| Err(http::Bad { status: 502, what });
        if head.status == 101 {
            return bad("protocol changed");
        }
        self.heads_read += 1;
        if self.heads_read > MAX_HEADS {
            return bad("no end of interim answers");
        }
        let len = head.len;
        if head.status >= 200 {
            let head_info = match wire.response_head(job, &head) {
                ResponseMatch::Expected(head_info) => Some(head_info),
                ResponseMatch::Surplus => None,
            };
            self.answer = Some(IncomingAnswer {
                status: head.status,
                close: head.close,
                keep_us: http::keep_alive_timeout_s(head.headers).map(|s| s.saturating_mul(1_000_000)),
                head_info,
                body: Body::new(head.framing, self.bounds),
                lease: None,
            });
        }
        self.incoming.consume(len);
        Ok(true)
    }

    /// Fails if an answer that has begun makes no progress within the limit, if there is one. This cuts off servers that
    /// pause for longer within an answer. Some: the time after which this is to be called again.
    pub fn check_timeout(&mut self, now: Micros) -> Result<Option<Micros>, Cause> {
        let Some(answer_us) = self.answer_us else { return Ok(None) };
        if self.job.is_none() || (self.answer.is_none() && self.incoming.is_empty()) {
            return Ok(None);
        }
        if self.is_waiting_for_room() {
            self.answer_deadline = None; // the server is not what it waits for
            return Ok(None);
        }
        if self.progress_bytes >= http::BLOCK_BYTES {
            (self.progress_bytes, self.answer_deadline) = (0, None);
        }
        let next_check = self.answer_deadline.is_none().then_some(answer_us + 1);
        let deadline = *self.answer_deadline.get_or_insert(now + answer_us);
        if now >= deadline { Err(Cause::Malformed("answer not whole in time")) } else { Ok(next_check) }
    }

    /// Drops the attempt without an outcome.
    pub fn give_up(&mut self) {
        self.job = None;
    }

    /// To be called when the connection has failed; returns what becomes of its attempt.
    pub fn fail(&mut self, cause: Cause) -> AfterFailure<W> {
        let progress = self.progress();
        let Some(job) = self.job.take() else { return AfterFailure::Nothing };
        // An attempt that made a coroutine panic is not moved: it could cause a panic elsewhere.
        let unsent = self.used && self.written_bytes == 0 && progress == Progress::Writing;
        if unsent && !matches!(cause, Cause::Panic) {
            return AfterFailure::Unsent(job);
        }
        AfterFailure::Failed(Ended::failed(
            job,
            self.begun_at,
            AttemptError { progress, cause, connection: None },
        ))
    }
}

/// The outcome of an attempt with a whole answer, and for how long the server keeps the connection open if it can be
/// reused.
type AnswerOutcome<W> = (Ended<W>, Option<Option<Micros>>);

/// `more`: there may be more to read.
fn result_of<W: Wire>(
    (ended, keep_us): AnswerOutcome<W>,
    more: bool,
    socket: &mut impl Read,
) -> ReadResult<W> {
    match keep_us {
        Some(keep_us) if !more || nothing_to_read(socket) => ReadResult::Reusable { ended, keep_us },
        _ => ReadResult::Finished { ended: Some(ended) },
    }
}

/// Whether nothing is there to be read, and the peer has not closed its side.
fn nothing_to_read(socket: &mut impl Read) -> bool {
    socket.read(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}
