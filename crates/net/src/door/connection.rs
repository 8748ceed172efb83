//! One client's connection: reads requests, hands them to the desk, writes the answers.

use super::{Answer, Desk, Doing, Door, Heard, Known, Reply, To, ToClient};
use crate::Micros;
use crate::http::{self, Bad, Body, Framing};
use crate::limits::{Fd, Held, Lease};
use crate::ring::{Bytes, Filled, Outgoing, Ring};
use crate::socket::{Stream, Watched, events};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, TcpStream};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Starts the actor of a connection that was just taken.
pub(super) fn start<D: Desk>(
    all: Arc<Door<D>>,
    known: Arc<Known>,
    number: u64,
    io: Watched<TcpStream>,
    fd: Fd,
) {
    let mut client = Client::new(io, all, known, fd);
    may::go!(move || {
        // A panic ends this connection alone; the request it held is answered and given up.
        if catch_unwind(AssertUnwindSafe(|| client.run())).is_err() {
            let _ = catch_unwind(AssertUnwindSafe(|| client.fall()));
        }
        client.leave();
        let all = client.all.clone();
        all.open().remove(&number);
        drop(client);
        all.resume();
    });
}

/// A request of which the head is read and the body is on its way.
struct Part<Ask> {
    due: Due,
    heard: Heard<Ask>,
    body: Body,
    lease: Option<Lease>,
}

/// A request that is owed an answer. Answers go out in the order of the requests.
#[derive(Default)]
struct Due {
    /// Its number, where the desk has it.
    id: u64,
    answer: Option<Answer>,
    /// To HEAD only the head of the answer goes out.
    head_only: bool,
    /// The last one on this connection.
    last: bool,
    /// It changes nothing and brings nothing, so others of its kind may be under way beside it.
    light: bool,
}

struct Paced {
    body: Bytes,
    gone: usize,
    piece: usize,
    every_us: Micros,
}

/// Pieces of a paced body.
const PIECES: usize = 8;

pub(super) struct Client<D: Desk, S = Watched<TcpStream>> {
    io: S,
    all: Arc<Door<D>>,
    known: Arc<Known>,
    incoming: Ring,
    outgoing: Outgoing,
    part: Option<Part<D::Ask>>,
    /// The requests that are owed an answer, in their order.
    line: VecDeque<Due>,
    /// The rest of a body that goes out in pieces; nothing else is said meanwhile.
    paced: Option<Paced>,
    /// No further request is read; the connection ends with the last answer that is owed.
    deaf: bool,
    /// Bytes read of a body or written of an answer since the connection last showed what it does.
    moved: usize,
    /// There may be bytes to read that no event will tell of again.
    more: bool,
    /// What has come waits for answers to be taken.
    held: bool,
    /// Requests answered one after the other without a word from the event loop.
    streak: u32,
    /// So much was read in one turn that the others have theirs first.
    paused: bool,
    /// Nothing is read any more; the connection ends once all is written.
    closing: bool,
    /// The client has closed its side; read up to there, it has ended. No event tells of it twice, and a
    /// break may come in between.
    hung: bool,
    ended: bool,
    _fd: Fd,
}

/// After so many requests in a row a connection takes a break. The event loop is asked only when no coroutine
/// is ready: one client that sends without end would otherwise be all that the program sees.
const MOST_STREAK: u32 = 32;
const BREAK_US: Micros = 1_000;
/// So many reads in a row, and a connection takes a break for the same reason.
const MOST_READS: usize = 16;
/// How long the client's end is awaited after the last answer; and how long at the most while bytes keep
/// coming: cut short while it still sends, it could lose the answer that tells it why.
const LINGER_US: Micros = 500_000;
const MOST_LINGER_US: Micros = 5_000_000;
const SCRAP: usize = 16 * 1024;
/// Read ahead of a request under way.
const AHEAD: usize = 4096;

/// Answers that are not taken hold up the next from here on: their sum must not grow.
const MOST_OUT: usize = 64 * 1024;
/// A body that nobody wants is read and dropped up to this.
const MOST_DROPPED: usize = 64 * 1024;

const NO_ROOM: Bad = Bad { status: 503, what: "no room" };
const LOST: Bad = Bad { status: 502, what: "" };

/// What a connection does next.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// Until something happens.
    Wait,
    /// It goes on at once.
    Again,
    /// All is said: it ends, and the client's end is awaited.
    Part,
    /// The client has gone, or is cut off; what waits is withdrawn.
    Over,
}

impl<D: Desk> Client<D> {
    fn run(&mut self) {
        let mut seen = events::READABLE;
        loop {
            match self.turn(seen) {
                Turn::Wait => seen = self.io.wait(),
                Turn::Again => seen = 0,
                Turn::Part => return self.part_with(),
                Turn::Over => return,
            }
        }
    }

    /// The last answer must reach the client: closing with bytes unread would reset the connection and could
    /// take the answer along. So this side ends first, and the client's end is awaited for a short while;
    /// longer while it still sends, in turns with the others, as some send at full speed and without end.
    fn part_with(&mut self) {
        if self.io.inner().shutdown(Shutdown::Write).is_err() {
            return;
        }
        self.known.doing.store(Doing::Parting as u8, Ordering::Relaxed);
        self.incoming = Ring::default();
        let from = self.all.room.clock.now();
        let (mut heard, mut woken, mut scrap) = (from, 0, vec![0; SCRAP]);
        loop {
            let mut socket = self.io.inner();
            let mut all_read = false;
            for _ in 0..MOST_READS {
                match socket.read(&mut scrap) {
                    Ok(0) => return,
                    Ok(_) => heard = self.all.room.clock.now(),
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {
                        all_read = true;
                        break;
                    }
                    Err(_) => return,
                }
            }
            let now = self.all.room.clock.now();
            let until = (heard + LINGER_US).min(from + MOST_LINGER_US);
            // With all read that came, nothing is lost if the client heeds the end it was told of.
            if now >= until || (all_read && self.all.room.fds.short()) {
                return;
            }
            let wake_at = if all_read { until } else { now + BREAK_US };
            if woken <= now || wake_at < woken {
                woken = wake_at;
                let known = self.known.clone();
                self.all.room.alarms.after(wake_at - now, move || known.inbox.ring());
            }
            self.io.wait();
        }
    }
}

impl<D: Desk, S: Stream> Client<D, S> {
    pub(super) fn new(io: S, all: Arc<Door<D>>, known: Arc<Known>, fd: Fd) -> Self {
        Client {
            io,
            all,
            known,
            incoming: Ring::default(),
            outgoing: Outgoing::default(),
            part: None,
            line: VecDeque::new(),
            paced: None,
            deaf: false,
            moved: 0,
            more: false,
            held: false,
            streak: 0,
            paused: false,
            closing: false,
            hung: false,
            ended: false,
            _fd: fd,
        }
    }

    /// What is still owed when it ends is not wanted any more.
    pub(super) fn leave(&mut self) {
        for due in self.line.drain(..).filter(|d| d.answer.is_none()) {
            self.all.desk.withdrawn(due.id);
        }
    }

    /// What the mailbox and the events `seen` call for.
    pub(super) fn turn(&mut self, seen: usize) -> Turn {
        while let Some(told) = self.known.inbox.pop() {
            match told {
                ToClient::Answer { id, answer } => self.answer(id, answer),
                ToClient::Lost { id } => self.answer(id, self.all.desk.refusal(&LOST)),
                ToClient::GoOn => (self.streak, self.paused) = (0, false),
                ToClient::Piece => self.piece(),
                ToClient::Close(chosen_for) => {
                    // Nothing is owed to one that is idle between requests: a request that crosses the
                    // close is sent again by its client. But one that has come by now, or an answer to
                    // it, is owed.
                    self.more = true;
                    self.read();
                    if self.doing() != chosen_for {
                        continue;
                    }
                    match chosen_for {
                        Doing::Reading => {
                            self.refuse(&Bad { status: 408, what: "request not whole in time" })
                        }
                        _ => match self.unheard(chosen_for) {
                            Some(bad) => self.refuse(&bad),
                            None => {
                                // At once: what comes between this look and the end is lost to its client.
                                let _ = self.io.end(Shutdown::Both);
                                return Turn::Over;
                            }
                        },
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
            return Turn::Over;
        }
        if self.held && self.outgoing.len() < MOST_OUT {
            self.held = false;
            return Turn::Again;
        }
        if self.closing && self.outgoing.is_empty() && self.paced.is_none() {
            return Turn::Part;
        }
        self.show();
        Turn::Wait
    }

    /// What it is told if it ends now. Its first request may be on its way, and a client whose new connection
    /// ends in silence cannot tell whether it was heard: told first, it reads that as the answer to what
    /// crosses. Could harm a client that takes bytes it never asked for as an error.
    fn unheard(&self, doing: Doing) -> Option<Bad> {
        let (now, patience) = (self.all.room.clock.now(), self.all.desk.patience());
        let expected = doing == Doing::Idle && self.known.expected(now, &patience);
        self.all.desk.unheard().filter(|_| expected)
    }

    fn doing(&self) -> Doing {
        let nothing = self.part.is_none() && self.incoming.is_empty();
        match nothing {
            _ if !self.line.is_empty() => Doing::Waiting,
            _ if !self.outgoing.is_empty() || self.paced.is_some() => Doing::Writing,
            true => Doing::Idle,
            false => Doing::Reading,
        }
    }

    /// Shows the others what this connection is doing, and since when.
    fn show(&mut self) {
        let doing = self.doing();
        let more = self.moved >= http::PIECE;
        self.moved %= http::PIECE;
        if self.known.doing.swap(doing as u8, Ordering::Relaxed) != doing as u8 || more {
            // One reading of the clock for each request, where it ends.
            let since = if doing == Doing::Waiting { 0 } else { self.all.room.clock.now() };
            self.known.since.store(since, Ordering::Relaxed);
        }
    }

    /// Ends the connection by an answer that says why: where the next request would begin is not known.
    fn refuse(&mut self, bad: &Bad) {
        self.part = None;
        let answer = Some(self.all.desk.refusal(bad));
        self.line.push_back(Due { answer, last: true, ..Due::default() });
        self.deaf = true;
        self.respond();
    }

    /// After a panic: what waits gets an answer all the same, if none has begun.
    fn fall(&mut self) {
        if self.outgoing.is_empty() {
            let bad = Bad { status: 500, what: "" };
            match self.line.front_mut() {
                Some(due) if due.answer.is_none() => {
                    self.all.desk.withdrawn(due.id);
                    (due.answer, due.last) = (Some(self.all.desk.refusal(&bad)), true);
                    self.respond();
                }
                _ => self.refuse(&bad),
            }
            let _ = self.write();
        }
    }

    /// Reads and digests what is there. While a request is under way little of the next ones is read.
    fn read(&mut self) {
        for _ in 0..MOST_READS {
            if !self.more || self.ended || self.closing || self.deaf || self.paused {
                return;
            }
            let most = if !self.line.is_empty() { AHEAD } else { self.all.desk.bounds().held() };
            match self.fill(most) {
                Ok(None) => {
                    self.ended |= self.hung && !self.line.is_empty(); // its end stands behind more than we hold
                    return;
                }
                Ok(Some(filled)) => {
                    self.moved += filled.bytes;
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

    /// One read: into a body of which much is still to come, or into the ring.
    fn fill(&mut self, most: usize) -> io::Result<Option<Filled>> {
        let mut socket = self.io.socket();
        if self.incoming.is_empty()
            && let Some(part) = &mut self.part
            && let Some(filled) = part.body.fill(|room| socket.read(room))?
        {
            return Ok(Some(filled));
        }
        self.incoming.fill(most, |room| socket.read(room))
    }

    fn rest(&self) {
        let known = self.known.clone();
        self.all.room.alarms.after(BREAK_US, move || known.inbox.post(ToClient::GoOn));
    }

    /// Whether a further request may be read: the next, or beside others that change nothing.
    fn may_take(&self) -> bool {
        let most = self.all.desk.abreast();
        !self.deaf && (self.line.is_empty() || (self.line.len() < most && self.line.iter().all(|d| d.light)))
    }

    /// Makes what it can of the bytes at hand.
    fn digest(&mut self) {
        while self.may_take() && !self.closing && !self.ended {
            self.held = self.outgoing.len() >= MOST_OUT;
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
            if part.lease.as_mut().is_some_and(|lease| !lease.grow(part.body.content.len())) {
                return Err(NO_ROOM);
            }
            if part.body.done()
                && let Some(part) = self.part.take()
            {
                self.whole(part);
                return Ok(true);
            }
            return Ok(false);
        }
        if self.incoming.is_empty() {
            return Ok(false);
        }
        let (room, bounds) = (&self.all.room, self.all.desk.bounds());
        let mut slots = http::NO_HEADERS;
        let Some(head) = http::request(self.incoming.bytes(), &mut slots, bounds)? else { return Ok(false) };
        let light = matches!(head.method, "GET" | "HEAD") && head.framing == Framing::Length(0);
        if !light && !self.line.is_empty() {
            return Ok(false); // its turn comes once all before it are answered
        }
        let mut heard = self.all.desk.head(&head)?;
        let expected = match head.framing {
            Framing::Length(n) => n,
            // How much it brings is not known; the leave grows with it.
            _ => http::PIECE.min(bounds.body),
        };
        let (mut body, mut lease) = (Body::new(head.framing, bounds), None);
        match &mut heard {
            Heard::Take(_) if expected > 0 => lease = Some(room.memory.take(expected).ok_or(NO_ROOM)?),
            Heard::Take(_) => {}
            Heard::Say(answer) => {
                let dropped = matches!(head.framing, Framing::Length(0..=MOST_DROPPED));
                if !dropped || (expected > 0 && head.wants_continue) {
                    answer.close = true;
                    body = Body::new(Framing::Length(0), bounds);
                }
            }
        }
        let (len, wants) = (head.len, head.wants_continue);
        let due = Due { head_only: head.method == "HEAD", last: head.close, light, ..Due::default() };
        self.incoming.consume(len);
        if wants && self.incoming.is_empty() && !body.done() {
            self.outgoing.push(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        self.part = Some(Part { due, heard, body, lease });
        Ok(true)
    }

    /// The request is whole: over to the desk, if it is not answered already.
    fn whole(&mut self, part: Part<D::Ask>) {
        // One that has brought requests before takes nothing from the lane; nor does the first request on a
        // new one while others only sit there: hundreds that connect and stay silent must not keep out who
        // has something to ask.
        let first = self.known.asked.fetch_add(1, Ordering::Relaxed) == 0;
        let mut due = part.due;
        self.deaf |= due.last;
        let ask = match part.heard {
            Heard::Say(answer) => {
                due.answer = Some(answer);
                self.line.push_back(due);
                return self.respond();
            }
            Heard::Take(ask) => ask,
        };
        let all = self.all.clone();
        if first && all.room.fds.full() && !all.make_room(true) {
            all.room.no_room.fetch_add(1, Ordering::Relaxed);
            (due.last, due.answer) = (true, Some(all.desk.refusal(&NO_ROOM)));
            self.line.push_back(due);
            return self.respond();
        }
        due.id = all.room.ids.fetch_add(1, Ordering::Relaxed);
        let id = due.id;
        self.line.push_back(due);
        let body = Held { bytes: part.body.content, lease: part.lease };
        all.desk.asked(id, ask, body, Reply { id, to: To::Conn(self.known.inbox.clone()) });
    }

    fn answer(&mut self, id: u64, answer: Answer) {
        if let Some(due) = self.line.iter_mut().find(|d| d.id == id && d.answer.is_none()) {
            due.answer = Some(answer);
            self.respond();
        }
    }

    /// Sends what is there of the answers that are next.
    fn respond(&mut self) {
        while self.paced.is_none() && !self.closing && self.line.front().is_some_and(|d| d.answer.is_some()) {
            if let Some(due) = self.line.pop_front()
                && let Some(answer) = due.answer
            {
                self.say(answer, due.head_only, due.last);
            }
        }
    }

    fn say(&mut self, answer: Answer, head_only: bool, last: bool) {
        self.streak += 1;
        if answer.cut && answer.body.as_ref().is_empty() {
            (self.deaf, self.closing) = (true, true);
            return;
        }
        let (fds, status) = (&self.all.room.fds, answer.status);
        // Who comes often is the last to give way, as it would only have to connect again: now and then one.
        let crowded = if self.known.asked() < 2 {
            fds.short() || !self.all.may_sit()
        } else {
            fds.full() && self.all.may_part()
        };
        // What is under way behind it is answered first.
        self.deaf |= last || answer.close || self.all.desk.draining() || crowded;
        self.closing |= answer.cut || (self.deaf && self.line.is_empty());
        self.deaf |= self.closing;
        if status == 200 && !self.closing {
            self.outgoing.push(b"HTTP/1.1 200 OK\r\n");
        } else {
            let close = if self.closing { "Connection: close\r\n" } else { "" };
            let reason = http::reason(status);
            self.outgoing.push(format!("HTTP/1.1 {status} {reason}\r\n{close}").as_bytes());
        }
        self.outgoing.push(&answer.headers);
        let length = answer.body.as_ref().len();
        // To HEAD the length is that of the body that GET would have; where it is not known, none is told.
        let unsaid = http::bodiless(status) || (head_only && length == 0);
        if unsaid {
            self.outgoing.push(b"\r\n");
        } else {
            self.outgoing.push(format!("Content-Length: {length}\r\n\r\n").as_bytes());
        }
        if unsaid || head_only {
            return;
        }
        if answer.cut {
            self.outgoing.push(&answer.body.as_ref()[..length / 2]);
        } else if answer.pace_us > 0 && length > 0 {
            let (piece, every_us) = (length.div_ceil(PIECES), answer.pace_us / PIECES as Micros);
            self.paced = Some(Paced { body: answer.body, gone: 0, piece, every_us });
            self.piece();
        } else {
            self.outgoing.push_held(answer.body);
        }
    }

    /// The next piece of a paced body, and when the one after it is due.
    fn piece(&mut self) {
        let Some(mut p) = self.paced.take() else { return };
        let to = (p.gone + p.piece).min(p.body.as_ref().len());
        self.outgoing.push(&p.body.as_ref()[p.gone..to]);
        p.gone = to;
        if to == p.body.as_ref().len() {
            return self.respond();
        }
        let (known, every_us) = (self.known.clone(), p.every_us);
        self.paced = Some(p);
        self.all.room.alarms.after(every_us, move || known.inbox.post(ToClient::Piece));
    }

    fn write(&mut self) -> io::Result<()> {
        let held = self.outgoing.len();
        let done = self.outgoing.flush(self.io.socket());
        self.moved += held - self.outgoing.len();
        done
    }
}
