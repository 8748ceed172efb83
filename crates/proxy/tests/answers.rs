//! The proxy's decisions and what its connections do with attempts, before servers that answer late, twice, in part, to
//! nobody, or reset at each byte, and clients that leave at any step. All courses at small size, by chance at larger.
//! The code is that of the proxy; of its shell, the loop that lends a socket is here made anew (`turn`, `send`).

mod common;
#[path = "../../net/tests/common/tape.rs"]
mod tape;

use cluster::Micros;
use common::*;
use httparse::Header;
use net::errors::Cause;
use net::http::{Bounds, Response};
use net::limits::Held;
use net::pool::exchange::{Exchange, Left, Then};
use net::pool::{self, Heard, Wire};
use proxy::front::{Answer, Ask, End, Input, Job, Output, Reached, Served};
use proxy::servers::{Note, Said, Servers};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::sync::{Arc, Mutex};
use tape::Tape;

type Tell = Box<dyn Fn(u64, u32, End) + Send + Sync>;
type Carried = pool::Job<Note>;

const BOUNDS: Bounds = Bounds { head: 4096, body: 4096 };
const ANSWER_US: Micros = 300_000;

/// A rule broken on purpose between the parts; the judge must see it.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Plant {
    PutBackUnread,
    SameConnectionAgain,
    RetryAfterSilence,
    RetryAfterReset,
    PromiseInDoubt,
    CutLooksWhole,
}

#[derive(Clone, Copy, PartialEq)]
enum Over {
    End,
    Reset,
}

/// The two ends of a connection's bytes.
#[derive(Default)]
struct Pipe {
    to_proxy: VecDeque<u8>,
    over: Option<Over>,
    to_server: Vec<u8>,
    /// The server takes so many more bytes.
    room: usize,
}

impl Read for Pipe {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        match self.over {
            _ if !self.to_proxy.is_empty() => self.to_proxy.read(buf),
            None => Err(ErrorKind::WouldBlock.into()),
            Some(Over::End) => Ok(0),
            Some(Over::Reset) => Err(ErrorKind::ConnectionReset.into()),
        }
    }
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.over == Some(Over::Reset) {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let n = bytes.len().min(self.room);
        self.room -= n;
        self.to_server.extend_from_slice(&bytes[..n]);
        if n == 0 { Err(ErrorKind::WouldBlock.into()) } else { Ok(n) }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The proxy's reading of answers; `blind`: as if all answers had the name that is awaited, so that what the connection
/// does by itself must do, as it must where servers name nothing.
struct Speaker {
    servers: Servers<Tell>,
    blind: bool,
}

impl Wire for Speaker {
    type Note = Note;
    type Said = Said;

    fn last_lines(&self, job: &Carried, left_us: Micros, out: &mut Vec<u8>) {
        self.servers.last_lines(job, left_us, out);
    }

    fn heard(&self, job: &Carried, head: &Response) -> Heard<Said> {
        let mut headers = head.headers.to_vec();
        if self.blind {
            headers.retain(|h| h.name != "X-Attempt-Id");
            headers.push(Header { name: "X-Attempt-Id", value: &job.note.name });
        }
        let Response { status, len, framing, close, .. } = *head;
        self.servers.heard(job, &Response { status, headers: &headers, len, framing, close })
    }

    fn ended(&self, ended: pool::Ended<Speaker>) {
        let pool::Ended { id, attempt, note, begun_at, outcome } = ended;
        let outcome = outcome.map(|s| pool::Served { status: s.status, said: s.said, body: s.body });
        self.servers.ended(pool::Ended { id, attempt, note, begun_at, outcome });
    }
}

struct Conn {
    server: u64,
    exchange: Exchange<Speaker>,
    pipe: Pipe,
    attempt: Option<(u64, u32)>,
    idle: bool,
    open: bool,
    hurry_at: Option<Micros>,
    /// What its server will send a second time, once the connection has rested or the next request is on it.
    owed: Vec<u8>,
    /// The rest of an answer that comes in two parts.
    rest: Vec<u8>,
}

#[derive(Default)]
struct Request {
    once: bool,
    left: bool,
    /// Whole requests that servers took and did not turn away.
    runs: u32,
    /// Bodies of the answers that servers gave to it.
    bodies: Vec<Vec<u8>>,
    answers: Vec<Answer>,
}

struct World {
    proxy: Proxy,
    wire: Speaker,
    ended: Arc<Mutex<Vec<(u64, u32, End)>>>,
    conns: Vec<Conn>,
    requests: BTreeMap<u64, Request>,
    tape: Tape,
    /// Places within a message at which it is split or cut: all, or a few.
    each_byte: bool,
    plant: Option<Plant>,
    troubles: usize,
    breaches: Vec<String>,
}

impl World {
    fn new(tape: Tape, size: &Size, plant: Option<Plant>) -> World {
        let ended = Arc::new(Mutex::new(Vec::new()));
        let told = ended.clone();
        let tell: Tell = Box::new(move |id, n, end| told.lock().expect("whole").push((id, n, end)));
        let all = [("a", "north-a"), ("b", "north-a")];
        World {
            proxy: Proxy::with(&all[..size.servers]),
            wire: Speaker { servers: Servers::new(tell), blind: size.blind },
            ended,
            conns: Vec::new(),
            requests: BTreeMap::new(),
            tape,
            each_byte: size.each_byte,
            plant,
            troubles: size.troubles,
            breaches: Vec::new(),
        }
    }

    fn ask(&mut self, id: u64, once: bool) {
        self.requests.insert(id, Request { once, ..Request::default() });
        let name = format!("n{id}");
        let (method, path) = if once { ("POST", "/put/") } else { ("GET", "/get/") };
        let head = format!("X-Attempt-Id: {name}\r\n").into_bytes();
        let bytes = if once { b"four".to_vec() } else { Vec::new() };
        self.tell(Input::Asked(Ask {
            id,
            method: method.into(),
            target: path.into(),
            host: "h".into(),
            name: name.into_bytes().into(),
            left_us: None,
            key: Some("k1".into()),
            head,
            body: Held { bytes, lease: None },
        }));
    }

    fn tell(&mut self, input: Input) {
        self.proxy.tell(input);
        for output in std::mem::take(&mut self.proxy.out) {
            match output {
                Output::Send(Job { id, attempt, server, name, instance, passage, again, until }) => {
                    let again = again && self.plant != Some(Plant::SameConnectionAgain);
                    let job = Carried { id, attempt, passage, again, until, note: Note { name, instance } };
                    self.send(server, job);
                }
                Output::GiveUp { id, attempt, .. } => {
                    for conn in self.conns.iter_mut().filter(|c| c.attempt == Some((id, attempt))) {
                        conn.exchange.give_up();
                        (conn.open, conn.attempt) = (false, None);
                    }
                }
                Output::Answer(id, mut answer) => {
                    if self.plant == Some(Plant::PromiseInDoubt) && matches!(answer.status, 502 | 504) {
                        answer.status = 503;
                    }
                    self.requests.get_mut(&id).expect("asked").answers.push(answer);
                }
                _ => {}
            }
        }
    }

    // ---- the pool's part ----

    /// Over an idle connection, whichever, or a new one.
    fn send(&mut self, server: u64, mut job: Carried) {
        let key = Some((job.id, job.attempt));
        for n in 0..self.conns.len() {
            let conn = &mut self.conns[n];
            let put_back = self.plant == Some(Plant::PutBackUnread);
            if !conn.idle || !conn.open || conn.server != server || (job.again && !put_back) {
                continue;
            }
            conn.idle = false;
            // What the server sends unasked comes while the connection rests, or right behind the request.
            if !conn.owed.is_empty() && self.tape.pick(2) == 0 {
                conn.pipe.to_proxy.extend(conn.owed.drain(..));
            }
            if put_back {
                conn.exchange = Exchange::new(job, BOUNDS, ANSWER_US);
                conn.exchange.connected(&self.wire, self.proxy.now);
                conn.attempt = key;
                return self.begin(n);
            }
            match conn.exchange.carry(job, &self.wire, self.proxy.now, &mut conn.pipe) {
                Ok(()) => {
                    conn.attempt = key;
                    return self.begin(n);
                }
                Err(back) => (conn.open, job) = (false, back),
            }
        }
        let mut exchange = Exchange::new(job, BOUNDS, ANSWER_US);
        if self.trouble(2) == 1 {
            // It does not come up.
            return match exchange.fail(Cause::DialTimeout) {
                Left::Failed(ended) => self.wire.ended(ended),
                _ => self.breaches.push("an attempt without an outcome".into()),
            };
        }
        exchange.connected(&self.wire, self.proxy.now);
        self.conns.push(Conn {
            server,
            exchange,
            pipe: Pipe::default(),
            attempt: key,
            idle: false,
            open: true,
            hurry_at: None,
            owed: Vec::new(),
            rest: Vec::new(),
        });
        self.begin(self.conns.len() - 1);
    }

    /// What happens to the connection while the request is written.
    fn begin(&mut self, n: usize) {
        let conn = &mut self.conns[n];
        conn.pipe.to_server.clear();
        conn.pipe.room = usize::MAX;
        let mut told = false;
        if !conn.owed.is_empty() && (self.wire.blind || self.tape.pick(2) == 0) {
            // Before the first byte is written, and the event of it has come.
            conn.pipe.to_proxy.extend(conn.owed.drain(..));
            told = true;
        }
        if self.trouble(2) == 1 {
            let at = self.place(180);
            let conn = &mut self.conns[n];
            conn.pipe.room = at;
            self.turn(n, told);
            self.conns[n].pipe.over = Some(Over::Reset);
            told = true;
        }
        self.turn(n, told);
    }

    /// What the shell does at an event; `readable`: it says that there is something to read.
    fn turn(&mut self, n: usize, readable: bool) {
        if !self.conns[n].open {
            return;
        }
        let (now, conn) = (self.proxy.now, &mut self.conns[n]);
        let ended = conn.pipe.over.is_some();
        let read =
            if readable { conn.exchange.read(&self.wire, &mut conn.pipe, ended) } else { Ok(Then::Wait) };
        let step = read.and_then(|then| {
            match then {
                Then::Wait => {}
                Then::Free { ended, .. } => {
                    (conn.attempt, conn.idle) = (None, true);
                    self.wire.ended(ended);
                }
                Then::Over { ended } => {
                    let put_back = self.plant == Some(Plant::PutBackUnread) && conn.pipe.over.is_none();
                    (conn.attempt, conn.open, conn.idle) = (None, put_back, put_back);
                    ended.into_iter().for_each(|e| self.wire.ended(e));
                    return Ok(());
                }
            }
            conn.exchange.write(&mut conn.pipe)?;
            if let Some(wait) = conn.exchange.hurry(now)? {
                conn.hurry_at = Some(now + wait);
            }
            Ok(())
        });
        let Err(cause) = step else { return };
        (conn.open, conn.idle, conn.attempt) = (false, false, None);
        let server = conn.server;
        match conn.exchange.fail(cause) {
            Left::Nothing => {}
            Left::Unsent(job) => self.send(server, job),
            Left::Failed(ended) => self.wire.ended(ended),
        }
    }

    // ---- the servers' part ----

    /// One of so many ways, the first being the good one, as long as there are troubles to come.
    fn trouble(&mut self, of: usize) -> usize {
        if self.troubles == 0 {
            return 0;
        }
        let way = self.tape.pick(of);
        self.troubles -= usize::from(way > 0);
        way
    }

    /// A place within a message of this length.
    fn place(&mut self, of: usize) -> usize {
        if self.each_byte {
            return self.tape.pick(of);
        }
        [0, 1, of / 2, of - 1][self.tape.pick(4)]
    }

    /// A server that has a whole request acts on it.
    fn serve(&mut self, n: usize) -> bool {
        let conn = &mut self.conns[n];
        if !conn.rest.is_empty() {
            conn.pipe.to_proxy.extend(conn.rest.drain(..));
            return true;
        }
        let text = String::from_utf8(conn.pipe.to_server.clone()).expect("text");
        let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
        let line = |name: &str| head.lines().find_map(|l| l.strip_prefix(name));
        let length = line("Content-Length: ").map_or(0, |l| l.parse().expect("a length"));
        if body.len() < length {
            return false;
        }
        let name = line("X-Attempt-Id: ").expect("named").to_string();
        let id: u64 = name[1..].parse().expect("a number");
        conn.pipe.to_server.clear();
        let way = self.trouble(18);
        let turned_away = matches!(way, 3 | 4 | 8 | 12);
        let request = self.requests.get_mut(&id).expect("asked");
        request.runs += u32::from(!turned_away);
        if request.once && request.runs > 1 {
            self.breaches.push(format!("TWICE {id}"));
        }
        let content = format!("{name}/{}/{}", request.runs, "x".repeat(12));
        let say = |status: u16, lines: &str| {
            let named = if lines.contains("nobody") { "" } else { &name };
            let named = if named.is_empty() { String::new() } else { format!("X-Attempt-Id: {named}\r\n") };
            let length = content.len();
            format!("HTTP/1.1 {status} X\r\n{named}{lines}Content-Length: {length}\r\n\r\n{content}")
                .into_bytes()
        };
        let good = say(200, "");
        let away = say(503, "X-Not-Executed: 1\r\n");
        if !turned_away {
            request.bodies.push(content.clone().into_bytes());
        }
        let places = good.len();
        let at = if matches!(way, 5..=7 | 16) { self.place(places) } else { 0 };
        let conn = &mut self.conns[n];
        // In the place of the answer that is awaited.
        conn.pipe.to_proxy.extend(conn.owed.drain(..));
        let (now, over) = match way {
            1 => ([good.clone(), good].concat(), None),
            2 => {
                conn.owed = good.clone();
                (good, None)
            }
            3 => (away, None),
            4 => {
                conn.owed = away.clone();
                (away, None)
            }
            5 => (good[..at].to_vec(), Some(Over::End)),
            6 => (good[..at].to_vec(), Some(Over::Reset)),
            7 => (good[..at].to_vec(), None), // and silence
            8 => (Vec::new(), Some(Over::Reset)),
            9 => (b"\x00garble\r\n\r\n".to_vec(), None),
            10 => (say(500, ""), None),
            11 if !self.wire.blind => ([say(500, "X-Of: nobody\r\n"), good].concat(), None),
            12 => (say(421, "X-Not-Executed: 1\r\n"), None),
            13 => ([b"HTTP/1.1 103 Early\r\n\r\n".to_vec(), good].concat(), None),
            14 => (say(503, ""), None),
            15 => (say(408, ""), None),
            16 => {
                conn.rest = good[at..].to_vec();
                (good[..at].to_vec(), None)
            }
            17 => {
                conn.owed = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray".to_vec();
                (good, None)
            }
            _ => (good, None),
        };
        conn.pipe.to_proxy.extend(now);
        conn.pipe.over = over;
        true
    }

    // ---- the course ----

    /// Plays on until every request has had its answer or its client has left.
    fn settle(&mut self) {
        for _ in 0..500 {
            let ended = std::mem::take(&mut *self.ended.lock().expect("whole"));
            for (id, attempt, end) in ended {
                let end = self.spoil(end);
                self.tell(Input::Ended { id, attempt, end });
            }
            if !self.ended.lock().expect("whole").is_empty() {
                continue;
            }
            self.leave();
            let mut acted = false;
            for n in 0..self.conns.len() {
                if self.conns[n].open && self.serve(n) {
                    acted = true;
                    self.turn(n, true);
                }
            }
            if acted {
                continue;
            }
            if self.requests.values().all(|r| r.left || !r.answers.is_empty()) {
                return;
            }
            self.wait();
        }
        self.breaches.push("no end".into());
    }

    /// A client may leave.
    fn leave(&mut self) {
        let waiting = |r: &Request| !r.left && r.answers.is_empty();
        let Some(id) = self.requests.iter().find(|(_, r)| waiting(r)).map(|(id, _)| *id) else { return };
        if self.trouble(2) == 1 {
            self.requests.get_mut(&id).expect("there").left = true;
            self.tell(Input::Withdrawn(id));
        }
    }

    /// Nothing moves: on to the next time at which something is due.
    fn wait(&mut self) {
        if self.plant == Some(Plant::RetryAfterSilence)
            && let Some((id, attempt)) = self.conns.iter().find_map(|c| c.attempt.filter(|_| c.open))
        {
            let end = End::Broken { reached: Reached::NeverRan };
            return self.tell(Input::Ended { id, attempt, end });
        }
        let hurried = self.conns.iter().filter(|c| c.open).filter_map(|c| c.hurry_at).min();
        let at = self.proxy.front.wake_at().min(hurried.unwrap_or(Micros::MAX));
        self.proxy.now = self.proxy.now.max(at);
        for n in 0..self.conns.len() {
            if self.conns[n].hurry_at.is_some_and(|at| at <= self.proxy.now) {
                self.conns[n].hurry_at = None;
                self.turn(n, false);
            }
        }
        self.tell(Input::Tick);
    }

    fn spoil(&self, end: End) -> End {
        match (self.plant, end) {
            (Some(Plant::RetryAfterReset), End::Broken { .. }) => End::Broken { reached: Reached::NeverRan },
            (Some(Plant::CutLooksWhole), End::Broken { reached: Reached::MayHaveRun }) => {
                let (headers, body) = (Vec::new(), b"n1/1/xx".to_vec());
                End::Answered(Served { status: 200, not_run: false, headers, body })
            }
            (_, end) => end,
        }
    }

    /// What was broken in the whole course.
    fn judge(mut self) -> (Tape, Vec<String>) {
        for (id, r) in &self.requests {
            if r.answers.len() > 1 || (r.answers.is_empty() && !r.left) {
                self.breaches.push(format!("{} answers to {id}", r.answers.len()));
            }
            for a in &r.answers {
                if (200..300).contains(&a.status) && !r.bodies.contains(&a.body) {
                    self.breaches.push(format!("MIXED {id}"));
                }
                if r.once && matches!(a.status, 408 | 421 | 429 | 503) && r.runs > 0 {
                    self.breaches.push(format!("REFUSED {id}"));
                }
            }
        }
        (self.tape, self.breaches)
    }
}

struct Size {
    servers: usize,
    /// Requests one after the other, and whether each may run but once.
    asks: &'static [bool],
    /// After so many the servers answer as they should.
    troubles: usize,
    each_byte: bool,
    /// Answers have no names; surplus ones come while a connection rests.
    blind: bool,
}

fn course(tape: Tape, size: &Size, plant: Option<Plant>) -> (Tape, Vec<String>) {
    let mut world = World::new(tape, size, plant);
    for (id, once) in (1..).zip(size.asks) {
        world.ask(id, *once);
        world.settle();
    }
    world.judge()
}

/// All courses; how many, and the first in which something is broken.
fn all(size: &Size, plant: Option<Plant>) -> (u64, Option<String>) {
    let mut tape = Tape::new(None);
    for count in 1.. {
        let (after, breaches) = course(tape, size, plant);
        if let Some(first) = breaches.first() {
            let picks: Vec<usize> = after.picks.iter().map(|p| p.0).collect();
            return (count, Some(format!("{first} in {picks:?}")));
        }
        tape = after;
        if !tape.turn_over() {
            return (count, None);
        }
    }
    unreachable!()
}

const SMALL: [Size; 6] = [
    Size { servers: 1, asks: &[true], troubles: 1, each_byte: true, blind: false },
    Size { servers: 1, asks: &[false, true], troubles: 1, each_byte: true, blind: false },
    Size { servers: 2, asks: &[true], troubles: 2, each_byte: false, blind: false },
    Size { servers: 1, asks: &[true, false], troubles: 2, each_byte: false, blind: false },
    Size { servers: 1, asks: &[true, true], troubles: 1, each_byte: true, blind: true },
    Size { servers: 1, asks: &[false, true], troubles: 2, each_byte: false, blind: true },
];

#[test]
fn in_all_small_courses_each_answer_is_whole_and_its_own_and_once_is_once() {
    for size in SMALL {
        let (count, broken) = all(&size, None);
        println!("{} servers, {:?}, {} troubles: {count} courses", size.servers, size.asks, size.troubles);
        assert_eq!(broken, None);
    }
}

/// Up to eight requests, some of them at once, and a dozen troubles.
fn by_chance(seed: u64) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let servers = rng.usize(1..=2);
    let (troubles, each_byte, blind) = (rng.usize(2..=12), rng.bool(), rng.u32(0..4) == 0);
    let size = Size { servers, asks: &[], troubles, each_byte, blind };
    let (asks, at_once) = (rng.u64(2..=8), rng.u64(1..=4));
    let tape = Tape::new(Some(rng));
    let mut world = World::new(tape, &size, None);
    for id in 1..=asks {
        let once = world.tape.pick(3) > 0;
        world.ask(id, once);
        if id % at_once == 0 || id == asks {
            world.settle();
        }
    }
    world.judge().1
}

/// So many in a debug build; `ANSWERS_COURSES=1000000 cargo test --release --test answers` plays more.
const BY_CHANCE: u64 = 2000;

#[test]
fn so_it_is_in_larger_courses_by_chance() {
    let count = std::env::var("ANSWERS_COURSES").ok().and_then(|n| n.parse().ok()).unwrap_or(BY_CHANCE);
    for seed in 0..count {
        assert_eq!(by_chance(seed), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn each_rule_broken_on_purpose_is_seen() {
    for (plant, rules) in [
        (Plant::PutBackUnread, ["TWICE", "REFUSED"]),
        (Plant::SameConnectionAgain, ["TWICE", "REFUSED"]),
        (Plant::RetryAfterSilence, ["TWICE", "REFUSED"]),
        (Plant::RetryAfterReset, ["TWICE", "REFUSED"]),
        (Plant::PromiseInDoubt, ["REFUSED", "REFUSED"]),
        (Plant::CutLooksWhole, ["MIXED", "MIXED"]),
    ] {
        let seen = SMALL.iter().find_map(|size| all(size, Some(plant)).1);
        println!("{plant:?}: {seen:?}");
        assert!(seen.is_some_and(|b| rules.iter().any(|r| b.starts_with(r))), "{plant:?}");
    }
}
