//! A client connection: reads requests, passes them to the handler, writes the answers.

use super::{Answer, Connection, Handler, HeadAction, Listener, Reply, ReplyTarget, State, ToConnection};
use crate::Micros;
use crate::http::{self, Bad, Body, Framing};
use crate::limits::Fd;
use crate::memory::{BufferedBody, CONNECTION_BYTES, Lease, MAX_SMALL_BYTES};
use crate::ring::{Bytes, Filled, Outgoing, Ring};
use crate::socket::{Stream, Watched, events};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, TcpStream};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Starts the coroutine of a connection that was just accepted.
pub(super) fn start<H: Handler>(
    listener: Arc<Listener<H>>,
    connection: Arc<Connection>,
    id: u64,
    io: Watched<TcpStream>,
    fd: Fd,
) {
    let mut client = Client::new(io, listener, connection, fd);
    may::go!(move || {
        // A panic ends only this connection; its pending request is answered and reported as gone.
        if catch_unwind(AssertUnwindSafe(|| client.run())).is_err() {
            let _ = catch_unwind(AssertUnwindSafe(|| client.answer_after_panic()));
        }
        client.report_unanswered();
        let listener = client.listener.clone();
        listener.open().remove(&id);
        drop(client);
        listener.resume();
    });
}

/// A request whose head is parsed and whose body is being received.
struct PartialRequest<Request> {
    pending: PendingAnswer,
    action: HeadAction<Request>,
    body: Body,
    lease: Option<Lease>,
}

/// A request without a sent answer. Answers are sent in the order of the requests.
#[derive(Default)]
struct PendingAnswer {
    /// The id of the request, if the handler has it.
    id: u64,
    answer: Option<Answer>,
    /// Only the head of the answer is sent, as the request is a HEAD.
    head_only: bool,
    /// The last request on this connection.
    last: bool,
    /// GET or HEAD without a body: may be under way together with others of this kind.
    pipelinable: bool,
}

/// A body that is sent in pieces over time.
struct PacedBody {
    body: Bytes,
    sent: usize,
    piece_bytes: usize,
    interval_us: Micros,
}

/// The number of pieces in which a paced body is sent.
const PACED_PIECES: usize = 8;

/// The connection's side of the protocol, over a socket or a simulated stream.
pub(super) struct Client<H: Handler, S = Watched<TcpStream>> {
    io: S,
    listener: Arc<Listener<H>>,
    pub(super) connection: Arc<Connection>,
    incoming: Ring,
    outgoing: Outgoing,
    partial: Option<PartialRequest<H::Request>>,
    /// The requests without a sent answer, in their order.
    pending: VecDeque<PendingAnswer>,
    /// The rest of a body that is sent in pieces; nothing else is sent meanwhile.
    paced: Option<PacedBody>,
    /// No further request is read; the connection ends with the last pending answer.
    no_more_requests: bool,
    /// Bytes read or written since the last block of progress was recorded.
    progress_bytes: usize,
    /// Bytes read or written since the connection began.
    moved_bytes: usize,
    /// Of these, those from before it held what it holds now.
    moved_before: usize,
    /// The permit for its buffers.
    buffers: Lease,
    /// There may be bytes to read that no further event will announce.
    may_have_input: bool,
    /// Received requests wait until more of the answers is written.
    write_blocked: bool,
    /// Requests answered in a row without an event from the event loop.
    streak: u32,
    /// Reading takes a break for other connections, after many reads in a row.
    reading_paused: bool,
    /// Nothing is read any more; the connection ends once everything is written.
    closing: bool,
    /// The client has closed its side. No event announces this twice, and a break may come before the end is read.
    client_closed: bool,
    /// The end of the stream, or an error, was read.
    ended: bool,
    _fd: Fd,
}

/// After so many requests in a row a connection takes a break. The event loop is polled only when no coroutine is
/// ready: a client that sends without end would otherwise keep the program from serving any other.
const MAX_STREAK: u32 = 32;
/// Length of the break.
const BREAK_US: Micros = 1_000;
/// After so many reads in a row a connection takes a break, for the same reason.
const MAX_READS: usize = 16;
/// How long the connection waits for the client to close after the last answer, from the last bytes it sent.
const LINGER_US: Micros = 500_000;
/// The longest wait while bytes keep coming. A client that is cut off while it still sends could lose the answer that
/// tells it why.
const MAX_LINGER_US: Micros = 5_000_000;
/// Size of the buffer for bytes that are read and dropped meanwhile.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;
/// The most bytes that are read ahead while a request is under way.
const MAX_READ_AHEAD_BYTES: usize = 4096;

/// Backpressure: with so many bytes of answers unwritten, no further request is processed.
const MAX_UNWRITTEN_BYTES: usize = 64 * 1024;
/// The largest unwanted body that is read and dropped to keep the connection open.
const MAX_DROPPED_BODY_BYTES: usize = 64 * 1024;

const OVER_LIMIT: Bad = Bad { status: 503, what: "no room" };
const DROPPED: Bad = Bad { status: 502, what: "" };

/// What is sent in place of a long answer for which there is no memory: an error if the request has only read, or else
/// the end of the connection, as an error could promise that it has not run.
fn without_room(refusal: Answer, only_read: bool) -> Answer {
    if only_read { refusal } else { Answer { cut: true, body: Vec::new().into(), ..refusal } }
}

/// What a connection does next, after a step.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// Waits for an event or a message.
    Wait,
    /// Takes another step at once.
    Again,
    /// All answers are written: shuts down its side and waits for the client to close.
    Linger,
    /// Ends at once, as the client has gone or is cut off; the handler is told of pending requests.
    Close,
}

impl<H: Handler> Client<H> {
    fn run(&mut self) {
        let mut events = events::READABLE;
        loop {
            match self.step(events) {
                Next::Wait => events = self.io.wait(),
                Next::Again => events = 0,
                Next::Linger => return self.linger(),
                Next::Close => return,
            }
        }
    }

    /// Closes the connection so that the last answer reaches the client: closing with unread bytes would reset the
    /// connection, and the answer could be lost. So this side is shut down first, and then the client's end is
    /// awaited for a short while; for longer while it still sends. As some clients send at full speed and without
    /// end, reading takes breaks for the other connections.
    fn linger(&mut self) {
        if self.io.inner().shutdown(Shutdown::Write).is_err() {
            return;
        }
        self.connection.state.store(State::Lingering as u8, Ordering::Relaxed);
        self.incoming = Ring::default();
        let from = self.listener.resources.clock.now();
        let (mut last_read, mut wake_set_at, mut discarded) = (from, 0, vec![0; DISCARD_BUFFER_BYTES]);
        loop {
            let mut socket = self.io.inner();
            let mut all_read = false;
            for _ in 0..MAX_READS {
                match socket.read(&mut discarded) {
                    Ok(0) => return,
                    Ok(_) => last_read = self.listener.resources.clock.now(),
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {
                        all_read = true;
                        break;
                    }
                    Err(_) => return,
                }
            }
            let now = self.listener.resources.clock.now();
            let until = (last_read + LINGER_US).min(from + MAX_LINGER_US);
            // All received bytes are read, so closing does not reset the connection unless the client sends more.
            if now >= until || (all_read && self.listener.resources.fds.short()) {
                return;
            }
            let wake_at = if all_read { until } else { now + BREAK_US };
            if wake_set_at <= now || wake_at < wake_set_at {
                wake_set_at = wake_at;
                let connection = self.connection.clone();
                self.listener.resources.alarms.after(wake_at - now, move || connection.inbox.wake());
            }
            self.io.wait();
        }
    }
}

impl<H: Handler, S: Stream> Client<H, S> {
    pub(super) fn new(io: S, listener: Arc<Listener<H>>, connection: Arc<Connection>, fd: Fd) -> Self {
        let buffers = listener.resources.memory.hold(CONNECTION_BYTES);
        Client {
            io,
            listener,
            connection,
            incoming: Ring::default(),
            outgoing: Outgoing::default(),
            partial: None,
            pending: VecDeque::new(),
            paced: None,
            no_more_requests: false,
            progress_bytes: 0,
            moved_bytes: 0,
            moved_before: 0,
            buffers,
            may_have_input: false,
            write_blocked: false,
            streak: 0,
            reading_paused: false,
            closing: false,
            client_closed: false,
            ended: false,
            _fd: fd,
        }
    }

    /// Tells the handler that the requests still without an answer have lost their client.
    pub(super) fn report_unanswered(&mut self) {
        for pending in self.pending.drain(..).filter(|p| p.answer.is_none()) {
            self.listener.handler.client_gone(pending.id);
        }
    }

    /// Handles the messages in the mailbox and the given events.
    pub(super) fn step(&mut self, events: usize) -> Next {
        while let Some(message) = self.connection.inbox.pop() {
            match message {
                ToConnection::Answer { id, answer } => self.set_answer(id, answer),
                ToConnection::Dropped { id } => self.set_answer(id, self.listener.handler.refusal(&DROPPED)),
                ToConnection::Resume => (self.streak, self.reading_paused) = (0, false),
                ToConnection::NextPiece => self.send_piece(),
                ToConnection::Evict if self.held_bytes() == 0 => {}
                ToConnection::Evict if self.state() == State::Reading => self.refuse(&OVER_LIMIT),
                ToConnection::Evict => {
                    let _ = self.io.shutdown(Shutdown::Both);
                    return Next::Close;
                }
                ToConnection::Close(expected_state) => {
                    // An idle connection may be closed between requests: a client whose request crosses the
                    // close sends it again. But a request that has already come must be answered.
                    self.may_have_input = true;
                    self.read();
                    if self.state() != expected_state {
                        continue;
                    }
                    match expected_state {
                        State::Reading => {
                            self.refuse(&Bad { status: 408, what: "request not whole in time" })
                        }
                        _ => match self.error_on_close(expected_state) {
                            Some(bad) => self.refuse(&bad),
                            None => {
                                // At once, as a request that comes between the read above and the close is lost.
                                let _ = self.io.shutdown(Shutdown::Both);
                                return Next::Close;
                            }
                        },
                    }
                }
            }
        }
        if events & (events::READABLE | events::ENDED) != 0 {
            self.may_have_input = true;
            self.streak = if self.streak > MAX_STREAK { self.streak } else { 0 };
        }
        self.client_closed |= events & events::ENDED != 0;
        self.process_input();
        self.read();
        if self.write().is_err() || self.ended {
            return Next::Close;
        }
        if self.write_blocked && self.outgoing.len() < MAX_UNWRITTEN_BYTES {
            self.write_blocked = false;
            return Next::Again;
        }
        if self.closing && self.outgoing.is_empty() && self.paced.is_none() {
            return Next::Linger;
        }
        self.publish_state();
        Next::Wait
    }

    /// The error to send if the connection is closed now, before its first request. That request may be on its way,
    /// and without an answer its client could not tell whether it was received; it takes this error as the answer.
    /// This could harm clients that treat bytes they did not ask for as an error.
    fn error_on_close(&self, state: State) -> Option<Bad> {
        let (now, timeouts) = (self.listener.resources.clock.now(), self.listener.handler.timeouts());
        let expected = state == State::Idle && self.connection.awaits_first_request(now, &timeouts);
        self.listener.handler.close_before_request().filter(|_| expected)
    }

    fn state(&self) -> State {
        let no_input = self.partial.is_none() && self.incoming.is_empty();
        match no_input {
            _ if !self.pending.is_empty() => State::Waiting,
            _ if !self.outgoing.is_empty() || self.paced.is_some() => State::Writing,
            true => State::Idle,
            false => State::Reading,
        }
    }

    /// Publishes the state of this connection for its listener, and since when it lasts.
    fn publish_state(&mut self) {
        let state = self.state();
        let more = self.progress_bytes >= http::BLOCK_BYTES;
        self.progress_bytes %= http::BLOCK_BYTES;
        if self.connection.state.swap(state as u8, Ordering::Relaxed) != state as u8 || more {
            // The clock is read only once for each request, at its end.
            let since = if state == State::Waiting { 0 } else { self.listener.resources.clock.now() };
            self.connection.since.store(since, Ordering::Relaxed);
        }
        self.publish_held();
    }

    /// Publishes what it holds for others, and how much of that has moved.
    fn publish_held(&mut self) {
        let buffers = CONNECTION_BYTES + self.incoming.capacity() + self.outgoing.buffer_capacity();
        if buffers != self.buffers.bytes() {
            self.buffers.resize(buffers);
        }
        let (bytes, held) = (self.held_bytes(), &self.connection.held);
        let before = held.bytes.swap(bytes, Ordering::Relaxed);
        if bytes == 0 {
            if before > 0 {
                held.since.store(0, Ordering::Relaxed);
            }
            return;
        }
        if before == 0 {
            self.moved_before = self.moved_bytes;
            held.since.store(self.listener.resources.clock.now(), Ordering::Relaxed);
        }
        held.moved.store(self.moved_bytes - self.moved_before, Ordering::Relaxed);
    }

    /// The memory of bodies and answers that its client has yet to bring or to take.
    fn held_bytes(&self) -> usize {
        let body = self.partial.as_ref().and_then(|part| part.lease.as_ref()).map_or(0, Lease::bytes);
        let answers = self.pending.iter().filter_map(|p| p.answer.as_ref()).map(|a| a.body.as_ref().len());
        let paced = self.paced.as_ref().map_or(0, |p| p.body.as_ref().len());
        body + answers.sum::<usize>() + paced + self.outgoing.held_bytes()
    }

    /// Answers with an error and ends the connection, as it is not known where the next request would begin.
    fn refuse(&mut self, bad: &Bad) {
        self.partial = None;
        let answer = Some(self.listener.handler.refusal(bad));
        self.pending.push_back(PendingAnswer { answer, last: true, ..PendingAnswer::default() });
        self.no_more_requests = true;
        self.send_available_answers();
    }

    /// After a panic: answers the pending request with an error, if no answer has begun.
    fn answer_after_panic(&mut self) {
        if self.outgoing.is_empty() {
            let bad = Bad { status: 500, what: "" };
            match self.pending.front_mut() {
                Some(pending) if pending.answer.is_none() => {
                    self.listener.handler.client_gone(pending.id);
                    (pending.answer, pending.last) = (Some(self.listener.handler.refusal(&bad)), true);
                    self.send_available_answers();
                }
                _ => self.refuse(&bad),
            }
            let _ = self.write();
        }
    }

    /// Reads and processes what has come. While a request is under way, little of the next ones is read.
    fn read(&mut self) {
        for _ in 0..MAX_READS {
            if !self.may_have_input
                || self.ended
                || self.closing
                || self.no_more_requests
                || self.reading_paused
            {
                return;
            }
            let max_bytes = if !self.pending.is_empty() {
                MAX_READ_AHEAD_BYTES
            } else {
                self.listener.handler.bounds().buffer_bytes()
            };
            match self.fill(max_bytes) {
                Ok(None) => {
                    // The end comes after more bytes than the buffer may hold.
                    self.ended |= self.client_closed && !self.pending.is_empty();
                    return;
                }
                Ok(Some(filled)) => {
                    self.progress_bytes += filled.bytes;
                    self.moved_bytes += filled.bytes;
                    self.ended = filled.bytes == 0;
                    self.may_have_input = filled.full || self.client_closed;
                    self.process_input();
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.may_have_input = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.ended = true,
            }
        }
        self.reading_paused = true; // resumed after a break for the other connections
        self.take_break();
    }

    /// Reads once: directly into a body of which much is still to come, or into the buffer.
    fn fill(&mut self, max_bytes: usize) -> io::Result<Option<Filled>> {
        let mut socket = self.io.socket();
        if self.incoming.is_empty()
            && let Some(part) = &mut self.partial
            && let Some(filled) = part.body.fill(|room| socket.read(room))?
        {
            return Ok(Some(filled));
        }
        self.incoming.fill(max_bytes, |room| socket.read(room))
    }

    /// Reads ahead as far as there is room. Returns whether the end of the stream, or an error, was read.
    fn client_has_closed(&mut self) -> bool {
        loop {
            let mut socket = self.io.socket();
            match self.incoming.fill(MAX_READ_AHEAD_BYTES, |room| socket.read(room)) {
                Ok(Some(filled)) if filled.bytes > 0 => {}
                Ok(Some(_)) => return true,
                Ok(None) => return false,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return true,
            }
        }
    }

    /// Sets the timer that ends a break.
    fn take_break(&self) {
        let connection = self.connection.clone();
        self.listener.resources.alarms.after(BREAK_US, move || connection.inbox.post(ToConnection::Resume));
    }

    /// Whether another request may be processed: if none is under way, or together with others that may be pipelined. While
    /// the handler drains, none is taken behind another, as each could hold the connection open for its own time; the
    /// answer before it closes the connection, and the client sends it elsewhere. While memory is short, each would bring
    /// an answer that can only wait.
    fn may_process_request(&self) -> bool {
        let handler = &self.listener.handler;
        if self.no_more_requests || self.pending.is_empty() {
            return !self.no_more_requests;
        }
        let one_at_a_time = handler.draining() || self.listener.resources.memory.is_short();
        let max = if one_at_a_time { 1 } else { handler.max_pipelined() };
        self.pending.len() < max && self.pending.iter().all(|p| p.pipelinable)
    }

    /// Processes as much as possible of the buffered bytes.
    fn process_input(&mut self) {
        while self.may_process_request() && !self.closing && !self.ended {
            self.write_blocked = self.outgoing.len() >= MAX_UNWRITTEN_BYTES;
            if self.write_blocked || self.streak > MAX_STREAK {
                return;
            }
            if self.streak == MAX_STREAK {
                self.streak += 1;
                self.take_break();
                return;
            }
            match self.process_part() {
                Ok(true) => {}
                Ok(false) => return,
                Err(bad) => self.refuse(&bad),
            }
        }
    }

    /// Processes one head, or what has come of a body. Returns false if more bytes are needed.
    fn process_part(&mut self) -> Result<bool, Bad> {
        if let Some(part) = &mut self.partial {
            let used = part.body.take(self.incoming.bytes())?;
            self.incoming.consume(used);
            if part.lease.as_mut().is_some_and(|lease| !lease.grow(part.body.content.len())) {
                return Err(OVER_LIMIT);
            }
            if part.body.done()
                && let Some(part) = self.partial.take()
            {
                if self.listener.handler.drops_abandoned() && self.client_has_closed() {
                    self.ended = true;
                    return Ok(false);
                }
                self.pass_to_handler(part);
                return Ok(true);
            }
            return Ok(false);
        }
        if self.incoming.is_empty() {
            return Ok(false);
        }
        let (resources, bounds) = (&self.listener.resources, self.listener.handler.bounds());
        let mut slots = http::NO_HEADERS;
        let Some(head) = http::request(self.incoming.bytes(), &mut slots, bounds)? else { return Ok(false) };
        let pipelinable = matches!(head.method, "GET" | "HEAD") && head.framing == Framing::Length(0);
        if !pipelinable && !self.pending.is_empty() {
            return Ok(false); // processed once all requests before it are answered
        }
        let mut action = self.listener.handler.head(&head)?;
        let body_bytes = match head.framing {
            Framing::Length(n) => n,
            // The size is not known; the memory permit grows with the body.
            _ => http::BLOCK_BYTES.min(bounds.body),
        };
        let (mut body, mut lease) = (Body::new(head.framing, bounds), None);
        match &mut action {
            HeadAction::Accept(_) if body_bytes > 0 => {
                lease = Some(resources.memory.take(body_bytes).ok_or(OVER_LIMIT)?)
            }
            HeadAction::Accept(_) => {}
            HeadAction::Answer(answer) => {
                let dropped = matches!(head.framing, Framing::Length(0..=MAX_DROPPED_BODY_BYTES));
                if !dropped || (body_bytes > 0 && head.wants_continue) {
                    answer.close = true;
                    body = Body::new(Framing::Length(0), bounds);
                }
            }
        }
        let (len, wants) = (head.len, head.wants_continue);
        let pending = PendingAnswer {
            head_only: head.method == "HEAD",
            last: head.close,
            pipelinable,
            ..PendingAnswer::default()
        };
        self.incoming.consume(len);
        if wants && self.incoming.is_empty() && !body.done() {
            self.outgoing.push(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        self.partial = Some(PartialRequest { pending, action, body, lease });
        Ok(true)
    }

    /// Passes a complete request to the handler, unless it is answered already.
    fn pass_to_handler(&mut self, part: PartialRequest<H::Request>) {
        // When only the descriptors for refusing requests are left, the first request of a connection is served only
        // if another connection can be closed for it: hundreds of silent connections must not keep out a client that
        // has a request. Later requests on a connection are always served.
        let first = self.connection.request_count.fetch_add(1, Ordering::Relaxed) == 0;
        let mut pending = part.pending;
        self.no_more_requests |= pending.last;
        let request = match part.action {
            HeadAction::Answer(answer) => {
                pending.answer = Some(answer);
                self.pending.push_back(pending);
                return self.send_available_answers();
            }
            HeadAction::Accept(request) => request,
        };
        let listener = self.listener.clone();
        if first && listener.resources.fds.full() && !listener.evict_one(true) {
            listener.resources.refused_without_descriptors.fetch_add(1, Ordering::Relaxed);
            (pending.last, pending.answer) = (true, Some(listener.handler.refusal(&OVER_LIMIT)));
            self.pending.push_back(pending);
            return self.send_available_answers();
        }
        pending.id = listener.resources.ids.fetch_add(1, Ordering::Relaxed);
        let id = pending.id;
        self.pending.push_back(pending);
        let body = BufferedBody { bytes: part.body.content, lease: part.lease };
        listener.handler.handle(
            id,
            request,
            body,
            Reply { id, target: ReplyTarget::Connection(self.connection.inbox.clone()) },
        );
    }

    fn set_answer(&mut self, id: u64, mut answer: Answer) {
        if let Some(pending) = self.pending.iter_mut().find(|p| p.id == id && p.answer.is_none()) {
            // The program's own long answers; those of servers bring their permit.
            if let Bytes::Owned(bytes) = &mut answer.body
                && bytes.len() > MAX_SMALL_BYTES
            {
                let bytes = std::mem::take(bytes);
                let lease = self.listener.resources.memory.try_hold(bytes.len());
                answer = match lease {
                    Some(lease) => {
                        let body = BufferedBody { bytes, lease: Some(lease) };
                        Answer { body: body.into(), ..answer }
                    }
                    None => without_room(self.listener.handler.refusal(&OVER_LIMIT), pending.pipelinable),
                };
            }
            pending.answer = Some(answer);
            self.send_available_answers();
        }
    }

    /// Sends the answers that are available, up to the first request still without one.
    fn send_available_answers(&mut self) {
        while self.paced.is_none()
            && !self.closing
            && self.pending.front().is_some_and(|p| p.answer.is_some())
        {
            if let Some(pending) = self.pending.pop_front()
                && let Some(answer) = pending.answer
            {
                self.send_answer(answer, pending.head_only, pending.last);
            }
        }
    }

    fn send_answer(&mut self, answer: Answer, head_only: bool, last: bool) {
        self.streak += 1;
        if answer.cut && answer.body.as_ref().is_empty() {
            (self.no_more_requests, self.closing) = (true, true);
            return;
        }
        let (fds, status) = (&self.listener.resources.fds, answer.status);
        // A connection with several requests is closed last, and only now and then one, as its client would only have
        // to connect again.
        let evict = if self.connection.request_count() < 2 {
            fds.short() || !self.listener.may_stay_after_one()
        } else {
            fds.full() && self.listener.may_evict_active()
        };
        // The connection is closed only after the requests under way behind this one are answered.
        self.no_more_requests |= last || answer.close || self.listener.handler.draining() || evict;
        self.closing |= answer.cut || (self.no_more_requests && self.pending.is_empty());
        self.no_more_requests |= self.closing;
        if status == 200 && !self.closing {
            self.outgoing.push(b"HTTP/1.1 200 OK\r\n");
        } else {
            let close = if self.closing { "Connection: close\r\n" } else { "" };
            let reason = http::reason(status);
            self.outgoing.push(format!("HTTP/1.1 {status} {reason}\r\n{close}").as_bytes());
        }
        self.outgoing.push(&answer.headers);
        let length = answer.body.as_ref().len();
        // In response to HEAD the length is that of the body of a GET; if it is not known, no length is sent.
        let no_length = http::bodiless(status) || (head_only && length == 0);
        if no_length {
            self.outgoing.push(b"\r\n");
        } else {
            self.outgoing.push(format!("Content-Length: {length}\r\n\r\n").as_bytes());
        }
        if no_length || head_only {
            return;
        }
        if answer.cut {
            self.outgoing.push(&answer.body.as_ref()[..length / 2]);
        } else if answer.pace_us > 0 && length > 0 {
            let (piece_bytes, interval_us) =
                (length.div_ceil(PACED_PIECES), answer.pace_us / PACED_PIECES as Micros);
            self.paced = Some(PacedBody { body: answer.body, sent: 0, piece_bytes, interval_us });
            self.send_piece();
        } else {
            self.outgoing.push_bytes(answer.body);
        }
    }

    /// Sends the next piece of a paced body and sets the timer for the one after it.
    fn send_piece(&mut self) {
        let Some(mut p) = self.paced.take() else { return };
        let to = (p.sent + p.piece_bytes).min(p.body.as_ref().len());
        self.outgoing.push(&p.body.as_ref()[p.sent..to]);
        p.sent = to;
        if to == p.body.as_ref().len() {
            return self.send_available_answers();
        }
        let (connection, interval_us) = (self.connection.clone(), p.interval_us);
        self.paced = Some(p);
        self.listener
            .resources
            .alarms
            .after(interval_us, move || connection.inbox.post(ToConnection::NextPiece));
    }

    fn write(&mut self) -> io::Result<()> {
        let before = self.outgoing.len();
        let result = self.outgoing.flush(self.io.socket());
        self.progress_bytes += before - self.outgoing.len();
        self.moved_bytes += before - self.outgoing.len();
        result
    }
}
