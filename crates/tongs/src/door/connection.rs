//! One client's connection: reads requests, hands them to the module, writes the answers.

use super::request::{self, HEALTH, STATS};
use super::{Clients, Known};
use crate::http::{self, Bad, Body, Framing};
use crate::limits::Fd;
use crate::messages::{Answer, Asked, Doing, ToClient, Told};
use crate::ring::Ring;
use crate::servers::events;
use curlewfront::Micros;
use may::io::{CoIo, WaitIo};
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, TcpStream};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Starts the actor of a connection that was just taken.
pub(super) fn start(all: Arc<Clients>, known: Arc<Known>, number: u64, io: CoIo<TcpStream>, fd: Fd) {
    let mut client = Client {
        io,
        all,
        known,
        incoming: Ring::default(),
        outgoing: Ring::default(),
        part: None,
        waiting: None,
        more: false,
        held: false,
        streak: 0,
        paused: false,
        last: false,
        closing: false,
        hung: false,
        ended: false,
        _fd: fd,
    };
    may::go!(move || {
        // A panic ends this connection alone; the request it held is answered and given up.
        if catch_unwind(AssertUnwindSafe(|| client.run())).is_err() {
            let _ = catch_unwind(AssertUnwindSafe(|| client.fall()));
        }
        if let Some(id) = client.waiting.take() {
            client.all.gate.module.post(Told::Withdrawn { id });
        }
        let all = client.all.clone();
        all.open().remove(&number);
        drop(client);
        all.resume();
    });
}

/// A request of which the head is read and the body is on its way.
struct Part {
    asked: Asked,
    body: Body,
}

struct Client {
    io: CoIo<TcpStream>,
    all: Arc<Clients>,
    known: Arc<Known>,
    incoming: Ring,
    outgoing: Ring,
    part: Option<Part>,
    /// The request that the module has.
    waiting: Option<u64>,
    /// There may be bytes to read that no event will tell of again.
    more: bool,
    /// What has come waits for answers to be taken.
    held: bool,
    /// Requests answered one after the other without a word from the event loop.
    streak: u32,
    /// So much was read in one turn that the others have theirs first.
    paused: bool,
    /// The request under way is the last one on this connection.
    last: bool,
    /// Nothing is read any more; the connection ends once all is written.
    closing: bool,
    /// The client has closed its side; read up to there, it has ended. No event tells of it twice, and a break may
    /// come in between.
    hung: bool,
    ended: bool,
    _fd: Fd,
}

/// After so many requests in a row a connection takes a break. The event loop is asked only when no coroutine is
/// ready: one client that sends without end would otherwise be all that the gateway sees.
const MOST_STREAK: u32 = 32;
const BREAK_US: Micros = 1_000;
/// So many reads in a row, and a connection takes a break for the same reason.
const MOST_READS: usize = 16;
/// How long the client's end is awaited after the last answer; and how long at the most while bytes keep coming:
/// cut short while it still sends, it could lose the answer that tells it why.
const LINGER_US: Micros = 500_000;
const MOST_LINGER_US: Micros = 5_000_000;
const SCRAP: usize = 16 * 1024;
/// Read ahead of a request under way.
const AHEAD: usize = 4096;

const NO_ROOM: Bad = Bad { status: 503, what: "no room" };
/// What a connection is told that is ended before it has brought a request.
const UNHEARD: Bad = Bad { status: 503, what: "ended before a request came" };

impl Client {
    fn run(&mut self) {
        let mut seen = events::READABLE;
        loop {
            while let Some(told) = self.known.inbox.pop() {
                match told {
                    ToClient::Answer { id, answer } => self.answer(id, answer),
                    ToClient::GoOn => (self.streak, self.paused) = (0, false),
                    ToClient::Close(chosen_for) => {
                        // Nothing is owed to one that is idle between requests: a request that crosses the close is
                        // sent again by its client. But one that has come by now, or an answer to it, is owed.
                        self.more = true;
                        self.read();
                        if self.doing() != chosen_for {
                            continue;
                        }
                        match chosen_for {
                            Doing::Reading => {
                                self.refuse(&Bad { status: 408, what: "request not whole in time" })
                            }
                            // Its first request may be on its way, and a client whose new connection ends in silence
                            // cannot tell whether it was heard: told first, it reads that as the answer to what
                            // crosses. Could harm a client that takes bytes it never asked for as an error.
                            Doing::Idle if self.known.expected(self.all.gate.clock.now()) => {
                                self.refuse(&UNHEARD)
                            }
                            _ => {
                                // At once: what comes between this look and the end is lost to its client.
                                let _ = self.io.inner().shutdown(Shutdown::Both);
                                return;
                            }
                        }
                    }
                }
            }
            if seen & (events::READABLE | events::ENDED) != 0 {
                self.more = true;
                self.streak = if self.streak > MOST_STREAK { self.streak } else { 0 };
            }
            self.hung |= seen & events::ENDED != 0;
            self.digest();
            self.read();
            if self.write().is_err() || self.ended {
                return; // gone; what waits is withdrawn
            }
            if self.held && self.outgoing.len() < http::MOST_BODY {
                (self.held, seen) = (false, 0);
                continue;
            }
            if self.closing && self.outgoing.is_empty() {
                return self.part_with();
            }
            self.show();
            seen = self.io.wait_io();
        }
    }

    fn doing(&self) -> Doing {
        let nothing = self.part.is_none() && self.incoming.is_empty();
        match self.waiting {
            Some(_) => Doing::Waiting,
            None if !self.outgoing.is_empty() => Doing::Writing,
            None if nothing => Doing::Idle,
            None => Doing::Reading,
        }
    }

    /// Shows the others what this connection is doing, and since when.
    fn show(&mut self) {
        let doing = self.doing();
        if self.known.doing.swap(doing as u8, Ordering::Relaxed) != doing as u8 {
            // One reading of the clock for each request, where it ends.
            let since = if doing == Doing::Waiting { 0 } else { self.all.gate.clock.now() };
            self.known.since.store(since, Ordering::Relaxed);
        }
    }

    /// The last answer must reach the client: closing with bytes unread would reset the connection and could
    /// take the answer along. So this side ends first, and the client's end is awaited for a short while; longer
    /// while it still sends, in turns with the others, as some send at full speed and without end.
    fn part_with(&mut self) {
        if self.io.inner().shutdown(Shutdown::Write).is_err() {
            return;
        }
        self.known.doing.store(Doing::Parting as u8, Ordering::Relaxed);
        self.incoming = Ring::default();
        let from = self.all.gate.clock.now();
        let (mut heard, mut woken, mut scrap) = (from, 0, vec![0; SCRAP]);
        loop {
            let mut socket = self.io.inner();
            let mut all_read = false;
            for _ in 0..MOST_READS {
                match socket.read(&mut scrap) {
                    Ok(0) => return,
                    Ok(_) => heard = self.all.gate.clock.now(),
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {
                        all_read = true;
                        break;
                    }
                    Err(_) => return,
                }
            }
            let now = self.all.gate.clock.now();
            let until = (heard + LINGER_US).min(from + MOST_LINGER_US);
            // With all read that came, nothing is lost if the client heeds the end it was told of.
            if now >= until || (all_read && self.all.gate.fds.short()) {
                return;
            }
            let wake_at = if all_read { until } else { now + BREAK_US };
            if woken <= now || wake_at < woken {
                woken = wake_at;
                let known = self.known.clone();
                self.all.gate.alarms.after(wake_at - now, move || known.inbox.ring());
            }
            self.io.wait_io();
        }
    }

    /// Ends the connection by an answer that says why: where the next request would begin is not known.
    fn refuse(&mut self, bad: &Bad) {
        self.closing = true;
        self.part = None;
        self.say(bad.status, bad.what, b"");
    }

    /// After a panic: what waits gets an answer all the same, if none has begun.
    fn fall(&mut self) {
        if self.outgoing.is_empty() {
            self.say(500, "", b"");
            let _ = self.write();
        }
    }

    /// Reads and digests what is there. While a request is under way little of the next ones is read.
    fn read(&mut self) {
        for _ in 0..MOST_READS {
            if !self.more || self.ended || self.closing || self.paused {
                return;
            }
            let most = if self.waiting.is_some() { AHEAD } else { http::MOST_HELD };
            let mut socket = self.io.inner();
            match self.incoming.fill(most, |room| socket.read(room)) {
                Ok(None) => {
                    self.ended |= self.hung && self.waiting.is_some(); // its end stands behind more than we hold
                    return;
                }
                Ok(Some(filled)) => {
                    self.ended = filled.bytes == 0;
                    self.more = filled.full || self.hung;
                    self.digest();
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.more = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.ended = true,
            }
        }
        self.paused = true; // to be gone on with after the others' turn
        self.rest();
    }

    fn rest(&self) {
        let known = self.known.clone();
        self.all.gate.alarms.after(BREAK_US, move || known.inbox.post(ToClient::GoOn));
    }

    /// Makes what it can of the bytes at hand.
    fn digest(&mut self) {
        while self.waiting.is_none() && !self.closing && !self.ended {
            // An answer that is not taken holds up the next: their sum must not grow.
            self.held = self.outgoing.len() >= http::MOST_BODY;
            if self.held || self.streak > MOST_STREAK {
                return;
            }
            if self.streak == MOST_STREAK {
                self.streak += 1;
                self.rest();
                return;
            }
            match self.advance() {
                Ok(true) => {}
                Ok(false) => return,
                Err(bad) => self.refuse(&bad),
            }
        }
    }

    /// One step: a head, or the rest of a body. False when more bytes are needed.
    fn advance(&mut self) -> Result<bool, Bad> {
        if let Some(part) = &mut self.part {
            let used = part.body.take(self.incoming.bytes())?;
            self.incoming.consume(used);
            if part.body.done()
                && let Some(part) = self.part.take()
            {
                self.ask(part);
                return Ok(true);
            }
            return Ok(false);
        }
        if self.incoming.is_empty() {
            return Ok(false);
        }
        let gate = &self.all.gate;
        let mut slots = http::NO_HEADERS;
        let Some(head) = http::request(self.incoming.bytes(), &mut slots)? else { return Ok(false) };
        let (len, last, wants) = (head.len, head.close, head.wants_continue);
        if head.target == HEALTH || head.target == STATS {
            let asks_stats = head.target == STATS;
            let body = Body::new(head.framing);
            if !body.done() {
                return Err(Bad { status: 400, what: "a body where none belongs" });
            }
            let ready = gate.ready();
            self.incoming.consume(len);
            self.last = last;
            self.known.asked.fetch_add(1, Ordering::Relaxed);
            if asks_stats {
                let stats = gate.stats();
                self.say(200, "", format!("{stats}\n").as_bytes());
            } else if ready {
                self.say(200, "", b"ready\n");
            } else {
                self.say(503, "", b"no list yet\n");
            }
            return Ok(true);
        }
        let mut asked = request::read(gate, &head)?;
        asked.passage.lease = match head.framing {
            Framing::Length(0) => None,
            // Once here and once on its way out; how much a chunked one brings is not known.
            Framing::Length(n) => Some(gate.memory.take(2 * n).ok_or(NO_ROOM)?),
            _ => Some(gate.memory.take(2 * http::MOST_BODY).ok_or(NO_ROOM)?),
        };
        let body = Body::new(head.framing);
        self.incoming.consume(len);
        self.last = last;
        if wants && self.incoming.is_empty() && !body.done() {
            self.outgoing.push(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        self.part = Some(Part { asked, body });
        Ok(true)
    }

    /// The request is whole: over to the module.
    fn ask(&mut self, part: Part) {
        // One that has brought requests before takes nothing from the lane; nor does the first request on a new one
        // while others only sit there: hundreds that connect and stay silent must not keep out who has something to
        // ask.
        let first = self.known.asked.fetch_add(1, Ordering::Relaxed) == 0;
        if first && self.all.gate.fds.full() && !self.all.make_room(true) {
            self.last = true;
            self.all.gate.no_room.fetch_add(1, Ordering::Relaxed);
            return self.say(NO_ROOM.status, NO_ROOM.what, b"");
        }
        let Part { mut asked, body } = part;
        let gate = &self.all.gate;
        // `until` holds the time allowed up to here; it counts from the last byte.
        asked.until += gate.clock.now();
        asked.id = self.all.ids.fetch_add(1, Ordering::Relaxed);
        asked.client = Some(self.known.inbox.clone());
        asked.passage.body = body.content;
        self.waiting = Some(asked.id);
        gate.module.post(Told::Asked(Box::new(asked)));
    }

    fn answer(&mut self, id: u64, answer: Answer) {
        if self.waiting != Some(id) {
            return;
        }
        self.waiting = None;
        match answer {
            Answer::Served(rest) => {
                self.status(200);
                self.outgoing.push(&rest);
            }
            Answer::Refused { retry_after_us } => {
                self.status(429);
                if retry_after_us > 0 {
                    let wait = retry_after_us as f64 / 1e6;
                    self.outgoing.push(format!("Retry-After: {wait:.3}\r\n").as_bytes());
                }
                self.outgoing.push(b"Content-Length: 0\r\n\r\n");
            }
            Answer::Rejected { status } => self.say(status, "", b""),
            Answer::Failed => self.say(502, "", b""),
        }
    }

    fn status(&mut self, status: u16) {
        self.streak += 1;
        let fds = &self.all.gate.fds;
        // Who comes often is the last to give way, as it would only have to connect again: now and then one.
        let crowded = if self.known.asked() < 2 {
            fds.short() || !self.all.may_sit()
        } else {
            fds.full() && self.all.may_part()
        };
        self.closing |= self.last || self.all.gate.draining() || crowded;
        let close = if self.closing { "Connection: close\r\n" } else { "" };
        let reason = http::reason(status);
        if status == 200 && !self.closing {
            self.outgoing.push(b"HTTP/1.1 200 OK\r\n");
        } else {
            self.outgoing.push(format!("HTTP/1.1 {status} {reason}\r\n{close}").as_bytes());
        }
    }

    /// An answer of our own.
    fn say(&mut self, status: u16, why: &str, body: &[u8]) {
        self.status(status);
        let line = if why.is_empty() { "" } else { "\n" };
        let length = why.len() + line.len() + body.len();
        let kind = if length > 0 { "Content-Type: text/plain\r\n" } else { "" };
        self.outgoing.push(format!("{kind}Content-Length: {length}\r\n\r\n{why}{line}").as_bytes());
        self.outgoing.push(body);
    }

    fn write(&mut self) -> io::Result<()> {
        self.outgoing.flush(self.io.inner())
    }
}
