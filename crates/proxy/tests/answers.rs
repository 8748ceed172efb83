//! A model test of the dispatcher and of the connections to servers. Servers answer late, twice, in part, without being
//! asked, or reset at each byte, and clients leave at any step. Small setups are explored exhaustively, larger ones by
//! random runs. All code is the proxy's own except the I/O loop around a connection, for which `on_event` and `send`
//! stand in.

mod common;
#[path = "../../net/tests/common/tape.rs"]
mod tape;

use cluster::Micros;
use common::*;
use httparse::Header;
use net::errors::Cause;
use net::http::{Bounds, Response};
use net::memory::{BufferedBody, Memory, Reserver};
use net::pool::exchange::{AfterFailure, Exchange, ReadResult};
use net::pool::{self, ResponseMatch, Wire};
use proxy::dispatcher::{Answer, AttemptResult, ClientRequest, Execution, Input, Job, Output, ServerAnswer};
use proxy::servers::{AnswerInfo, AttemptInfo, ServerWire, pool_settings};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::sync::{Arc, Mutex};
use tape::Tape;

type Report = Box<dyn Fn(u64, u32, AttemptResult) + Send + Sync>;
type Carried = pool::Job<AttemptInfo>;

const BOUNDS: Bounds = Bounds { head: 4096, body: 4096 };
/// The limit of pauses within an answer where servers do not name attempts, as at the gateway.
const ANSWER_US: Micros = 300_000;

/// A bug injected between the parts, which `check` must detect.
#[derive(Clone, Copy, PartialEq, Debug)]
enum InjectedBug {
    ReuseUnreadConnection,
    SameConnectionAgain,
    RetryAfterSilence,
    RetryAfterReset,
    ClaimNotExecuted,
    TruncatedAsComplete,
}

/// How the server has closed a connection.
#[derive(Clone, Copy, PartialEq)]
enum Closed {
    Orderly,
    Reset,
}

/// The bytes of a connection in both directions.
#[derive(Default)]
struct Pipe {
    to_proxy: VecDeque<u8>,
    closed: Option<Closed>,
    to_server: Vec<u8>,
    /// The bytes that the server still accepts.
    write_budget: usize,
}

impl Read for Pipe {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        match self.closed {
            _ if !self.to_proxy.is_empty() => self.to_proxy.read(buf),
            None => Err(ErrorKind::WouldBlock.into()),
            Some(Closed::Orderly) => Ok(0),
            Some(Closed::Reset) => Err(ErrorKind::ConnectionReset.into()),
        }
    }
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.closed == Some(Closed::Reset) {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let n = bytes.len().min(self.write_budget);
        self.write_budget -= n;
        self.to_server.extend_from_slice(&bytes[..n]);
        if n == 0 { Err(ErrorKind::WouldBlock.into()) } else { Ok(n) }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The proxy's protocol with servers. `ignore_ids`: every answer is taken as if it named the awaited attempt, so that
/// the connection's own checks must be enough, as they must be where servers do not name attempts.
struct Protocol {
    servers: ServerWire<Report>,
    ignore_ids: bool,
}

impl Wire for Protocol {
    type Note = AttemptInfo;
    type HeadInfo = AnswerInfo;

    fn attempt_headers(&self, job: &Carried, left_us: Micros, out: &mut Vec<u8>) {
        self.servers.attempt_headers(job, left_us, out);
    }

    fn response_head(&self, job: &Carried, head: &Response) -> ResponseMatch<AnswerInfo> {
        let mut headers = head.headers.to_vec();
        if self.ignore_ids {
            headers.retain(|h| h.name != "X-Attempt-Id");
            headers.push(Header { name: "X-Attempt-Id", value: &job.note.name });
        }
        let Response { status, len, framing, close, .. } = *head;
        self.servers.response_head(job, &Response { status, headers: &headers, len, framing, close })
    }

    fn ended(&self, ended: pool::Ended<Protocol>) {
        let pool::Ended { id, attempt, note, begun_at, outcome } = ended;
        let outcome =
            outcome.map(|s| pool::Served { status: s.status, head_info: s.head_info, body: s.body });
        self.servers.ended(pool::Ended { id, attempt, note, begun_at, outcome });
    }
}

/// Room for all answers of the model.
fn room() -> Reserver {
    Reserver::new(Arc::new(Memory::new(256)), || {})
}

struct Conn {
    server: u64,
    exchange: Exchange<Protocol>,
    pipe: Pipe,
    attempt: Option<(u64, u32)>,
    idle: bool,
    open: bool,
    /// When the exchange wants to check for a stalled answer.
    stall_check_at: Option<Micros>,
    /// A surplus answer that the server sends while the connection is idle or once the next request is on it.
    surplus: Vec<u8>,
    /// The second part of an answer that arrives in two parts.
    remainder: Vec<u8>,
}

#[derive(Default)]
struct Request {
    /// It may run at most once.
    once: bool,
    client_left: bool,
    /// How often servers received it whole and did not refuse it.
    runs: u32,
    /// The bodies of servers' answers to it.
    bodies: Vec<Vec<u8>>,
    answers: Vec<Answer>,
}

struct World {
    proxy: Proxy,
    wire: Protocol,
    ended: Arc<Mutex<Vec<(u64, u32, AttemptResult)>>>,
    conns: Vec<Conn>,
    requests: BTreeMap<u64, Request>,
    tape: Tape,
    /// Whether a message may be split or cut at each byte, or only at a few positions.
    each_byte: bool,
    bug: Option<InjectedBug>,
    faults: usize,
    violations: Vec<String>,
}

impl World {
    fn new(tape: Tape, setup: &Setup, bug: Option<InjectedBug>) -> World {
        let ended = Arc::new(Mutex::new(Vec::new()));
        let results = ended.clone();
        let report: Report =
            Box::new(move |id, n, end| results.lock().expect("not poisoned").push((id, n, end)));
        let all = [("a", "north-a"), ("b", "north-a")];
        World {
            proxy: Proxy::with(&all[..setup.servers]),
            wire: Protocol { servers: ServerWire::new(report), ignore_ids: setup.ignore_ids },
            ended,
            conns: Vec::new(),
            requests: BTreeMap::new(),
            tape,
            each_byte: setup.each_byte,
            bug,
            faults: setup.faults,
            violations: Vec::new(),
        }
    }

    fn ask(&mut self, id: u64, once: bool) {
        self.requests.insert(id, Request { once, ..Request::default() });
        let name = format!("n{id}");
        let (method, path) = if once { ("POST", "/put/") } else { ("GET", "/get/") };
        let head = format!("X-Attempt-Id: {name}\r\n").into_bytes();
        let bytes = if once { b"four".to_vec() } else { Vec::new() };
        self.tell(Input::Request(ClientRequest {
            id,
            method: method.into(),
            target: path.into(),
            host: "h".into(),
            attempt_id: name.into_bytes().into(),
            left_us: None,
            key: Some("k1".into()),
            head,
            body: BufferedBody { bytes, lease: None },
        }));
    }

    fn tell(&mut self, input: Input) {
        self.proxy.tell(input);
        for output in std::mem::take(&mut self.proxy.out) {
            match output {
                Output::Send(Job {
                    id,
                    attempt,
                    server,
                    attempt_id,
                    instance,
                    request,
                    same_server_retry,
                    until,
                    list_rev: _,
                }) => {
                    let same_server_retry =
                        same_server_retry && self.bug != Some(InjectedBug::SameConnectionAgain);
                    let job = Carried {
                        id,
                        attempt,
                        request,
                        same_server_retry,
                        until,
                        note: AttemptInfo { name: attempt_id, instance },
                    };
                    self.send(server, job);
                }
                Output::CancelAttempt { id, attempt, .. } => {
                    for conn in self.conns.iter_mut().filter(|c| c.attempt == Some((id, attempt))) {
                        conn.exchange.give_up();
                        (conn.open, conn.attempt) = (false, None);
                    }
                }
                Output::Answer(id, mut answer) => {
                    if self.bug == Some(InjectedBug::ClaimNotExecuted) && matches!(answer.status, 502 | 504) {
                        answer.status = 503;
                    }
                    self.requests.get_mut(&id).expect("asked").answers.push(answer);
                }
                _ => {}
            }
        }
    }

    // ---- connections ----

    /// Sends an attempt over an idle connection or a new one.
    fn send(&mut self, server: u64, mut job: Carried) {
        let answer_us = if self.wire.ignore_ids { Some(ANSWER_US) } else { pool_settings().answer_us };
        let key = Some((job.id, job.attempt));
        for n in 0..self.conns.len() {
            let conn = &mut self.conns[n];
            let reuse_unread = self.bug == Some(InjectedBug::ReuseUnreadConnection);
            if !conn.idle || !conn.open || conn.server != server || (job.same_server_retry && !reuse_unread) {
                continue;
            }
            conn.idle = false;
            // A surplus answer arrives while the connection is idle, or right after the request.
            if !conn.surplus.is_empty() && self.tape.pick(2) == 0 {
                conn.pipe.to_proxy.extend(conn.surplus.drain(..));
            }
            if reuse_unread {
                conn.exchange = Exchange::new(job, BOUNDS, answer_us, room());
                conn.exchange.connected(&self.wire, self.proxy.now);
                conn.attempt = key;
                return self.write_request(n);
            }
            match conn.exchange.carry(job, &self.wire, self.proxy.now, &mut conn.pipe) {
                Ok(()) => {
                    conn.attempt = key;
                    return self.write_request(n);
                }
                Err(back) => (conn.open, job) = (false, back),
            }
        }
        let mut exchange = Exchange::new(job, BOUNDS, answer_us, room());
        if self.pick_fault(2) == 1 {
            // The connection does not come up.
            return match exchange.fail(Cause::DialTimeout) {
                AfterFailure::Failed(ended) => self.wire.ended(ended),
                _ => self.violations.push("an attempt without an outcome".into()),
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
            stall_check_at: None,
            surplus: Vec::new(),
            remainder: Vec::new(),
        });
        self.write_request(self.conns.len() - 1);
    }

    /// Writes the request, during which the connection may fail.
    fn write_request(&mut self, n: usize) {
        let conn = &mut self.conns[n];
        conn.pipe.to_server.clear();
        conn.pipe.write_budget = usize::MAX;
        let mut readable = false;
        if !conn.surplus.is_empty() && (self.wire.ignore_ids || self.tape.pick(2) == 0) {
            // It arrives before the first byte is written, and the socket has been reported readable.
            conn.pipe.to_proxy.extend(conn.surplus.drain(..));
            readable = true;
        }
        if self.pick_fault(2) == 1 {
            let at = self.pick_position(180);
            let conn = &mut self.conns[n];
            conn.pipe.write_budget = at;
            self.on_event(n, readable);
            self.conns[n].pipe.closed = Some(Closed::Reset);
            readable = true;
        }
        self.on_event(n, readable);
    }

    /// What the I/O loop does at an event of the socket.
    fn on_event(&mut self, n: usize, readable: bool) {
        if !self.conns[n].open {
            return;
        }
        let (now, conn) = (self.proxy.now, &mut self.conns[n]);
        let ended = conn.pipe.closed.is_some();
        let read = if readable {
            conn.exchange.read(&self.wire, &mut conn.pipe, ended)
        } else {
            Ok(ReadResult::Wait)
        };
        let step = read.and_then(|then| {
            match then {
                ReadResult::Wait => {}
                ReadResult::Reusable { ended, .. } => {
                    (conn.attempt, conn.idle) = (None, true);
                    self.wire.ended(ended);
                }
                ReadResult::Finished { ended } => {
                    let reuse_unread =
                        self.bug == Some(InjectedBug::ReuseUnreadConnection) && conn.pipe.closed.is_none();
                    (conn.attempt, conn.open, conn.idle) = (None, reuse_unread, reuse_unread);
                    ended.into_iter().for_each(|e| self.wire.ended(e));
                    return Ok(());
                }
            }
            conn.exchange.write(&mut conn.pipe)?;
            if let Some(wait) = conn.exchange.check_timeout(now)? {
                conn.stall_check_at = Some(now + wait);
            }
            Ok(())
        });
        let Err(cause) = step else { return };
        (conn.open, conn.idle, conn.attempt) = (false, false, None);
        let server = conn.server;
        match conn.exchange.fail(cause) {
            AfterFailure::Nothing => {}
            AfterFailure::Unsent(job) => self.send(server, job),
            AfterFailure::Failed(ended) => self.wire.ended(ended),
        }
    }

    // ---- servers ----

    /// Picks one of `of` behaviours, of which the first is the correct one, until all faults are used up.
    fn pick_fault(&mut self, of: usize) -> usize {
        if self.faults == 0 {
            return 0;
        }
        let behaviour = self.tape.pick(of);
        self.faults -= usize::from(behaviour > 0);
        behaviour
    }

    /// Picks a position within a message of this length.
    fn pick_position(&mut self, of: usize) -> usize {
        if self.each_byte {
            return self.tape.pick(of);
        }
        [0, 1, of / 2, of - 1][self.tape.pick(4)]
    }

    /// Lets the server act if it has a complete request or the second part of an answer to send.
    fn serve(&mut self, n: usize) -> bool {
        let conn = &mut self.conns[n];
        if !conn.remainder.is_empty() {
            conn.pipe.to_proxy.extend(conn.remainder.drain(..));
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
        let behaviour = self.pick_fault(18);
        let refused = matches!(behaviour, 3 | 4 | 8 | 12);
        let request = self.requests.get_mut(&id).expect("asked");
        request.runs += u32::from(!refused);
        if request.once && request.runs > 1 {
            self.violations.push(format!("TWICE {id}"));
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
        let refusal = say(503, "X-Not-Executed: 1\r\n");
        if !refused {
            request.bodies.push(content.clone().into_bytes());
        }
        let positions = good.len();
        let at = if matches!(behaviour, 5..=7 | 16) { self.pick_position(positions) } else { 0 };
        let conn = &mut self.conns[n];
        // A surplus answer that is still due comes in place of the awaited one.
        conn.pipe.to_proxy.extend(conn.surplus.drain(..));
        let (bytes, closed) = match behaviour {
            1 => ([good.clone(), good].concat(), None),
            2 => {
                conn.surplus = good.clone();
                (good, None)
            }
            3 => (refusal, None),
            4 => {
                conn.surplus = refusal.clone();
                (refusal, None)
            }
            5 => (good[..at].to_vec(), Some(Closed::Orderly)),
            6 => (good[..at].to_vec(), Some(Closed::Reset)),
            7 => (good[..at].to_vec(), None), // then nothing more
            8 => (Vec::new(), Some(Closed::Reset)),
            9 => (b"\x00garble\r\n\r\n".to_vec(), None),
            10 => (say(500, ""), None),
            11 if !self.wire.ignore_ids => ([say(500, "X-Of: nobody\r\n"), good].concat(), None),
            12 => (say(421, "X-Not-Executed: 1\r\n"), None),
            13 => ([b"HTTP/1.1 103 Early\r\n\r\n".to_vec(), good].concat(), None),
            14 => (say(503, ""), None),
            15 => (say(408, ""), None),
            16 => {
                conn.remainder = good[at..].to_vec();
                (good[..at].to_vec(), None)
            }
            17 => {
                conn.surplus = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray".to_vec();
                (good, None)
            }
            _ => (good, None),
        };
        conn.pipe.to_proxy.extend(bytes);
        conn.pipe.closed = closed;
        true
    }

    // ---- one run ----

    /// Runs until every request is answered or its client has left.
    fn run_to_end(&mut self) {
        for _ in 0..500 {
            let ended = std::mem::take(&mut *self.ended.lock().expect("not poisoned"));
            for (id, attempt, end) in ended {
                let end = self.apply_bug(end);
                self.tell(Input::AttemptEnded { id, attempt, end });
            }
            if !self.ended.lock().expect("not poisoned").is_empty() {
                continue;
            }
            self.client_may_leave();
            let mut acted = false;
            for n in 0..self.conns.len() {
                if self.conns[n].open && self.serve(n) {
                    acted = true;
                    self.on_event(n, true);
                }
            }
            if acted {
                continue;
            }
            if self.requests.values().all(|r| r.client_left || !r.answers.is_empty()) {
                return;
            }
            self.advance_clock();
        }
        self.violations.push("no end".into());
    }

    /// Lets a client leave, if that fault is picked.
    fn client_may_leave(&mut self) {
        let waiting = |r: &Request| !r.client_left && r.answers.is_empty();
        let Some(id) = self.requests.iter().find(|(_, r)| waiting(r)).map(|(id, _)| *id) else { return };
        if self.pick_fault(2) == 1 {
            self.requests.get_mut(&id).expect("there").client_left = true;
            self.tell(Input::ClientGone(id));
        }
    }

    /// Advances the clock to the next time at which something is due.
    fn advance_clock(&mut self) {
        if self.bug == Some(InjectedBug::RetryAfterSilence)
            && let Some((id, attempt)) = self.conns.iter().find_map(|c| c.attempt.filter(|_| c.open))
        {
            let end = AttemptResult::Broken { execution: Execution::NeverRan };
            return self.tell(Input::AttemptEnded { id, attempt, end });
        }
        let stall_check = self.conns.iter().filter(|c| c.open).filter_map(|c| c.stall_check_at).min();
        let at = self.proxy.dispatcher.wake_at().min(stall_check.unwrap_or(Micros::MAX));
        self.proxy.now = self.proxy.now.max(at);
        for n in 0..self.conns.len() {
            if self.conns[n].stall_check_at.is_some_and(|at| at <= self.proxy.now) {
                self.conns[n].stall_check_at = None;
                self.on_event(n, false);
            }
        }
        self.tell(Input::Tick);
    }

    fn apply_bug(&self, end: AttemptResult) -> AttemptResult {
        match (self.bug, end) {
            (Some(InjectedBug::RetryAfterReset), AttemptResult::Broken { .. }) => {
                AttemptResult::Broken { execution: Execution::NeverRan }
            }
            (
                Some(InjectedBug::TruncatedAsComplete),
                AttemptResult::Broken { execution: Execution::MayHaveRun },
            ) => {
                let (headers, body) = (Vec::new(), b"n1/1/xx".to_vec().into());
                AttemptResult::Answered(ServerAnswer { status: 200, not_run: false, headers, body })
            }
            (_, end) => end,
        }
    }

    /// The rules that were broken during the run.
    fn check(mut self) -> (Tape, Vec<String>) {
        for (id, r) in &self.requests {
            if r.answers.len() > 1 || (r.answers.is_empty() && !r.client_left) {
                self.violations.push(format!("{} answers to {id}", r.answers.len()));
            }
            for a in &r.answers {
                if (200..300).contains(&a.status) && !r.bodies.contains(&a.body.bytes) {
                    self.violations.push(format!("MIXED {id}"));
                }
                if r.once && matches!(a.status, 408 | 421 | 429 | 503) && r.runs > 0 {
                    self.violations.push(format!("REFUSED {id}"));
                }
            }
        }
        (self.tape, self.violations)
    }
}

struct Setup {
    servers: usize,
    /// Requests one after the other, and whether each may run only once.
    requests: &'static [bool],
    /// After this many faults the servers answer correctly.
    faults: usize,
    each_byte: bool,
    /// Answers do not name their attempts; surplus ones arrive while a connection is idle.
    ignore_ids: bool,
}

fn run(tape: Tape, setup: &Setup, bug: Option<InjectedBug>) -> (Tape, Vec<String>) {
    let mut world = World::new(tape, setup, bug);
    for (id, once) in (1..).zip(setup.requests) {
        world.ask(id, *once);
        world.run_to_end();
    }
    world.check()
}

/// Explores all runs of a setup; returns their number and the first violation.
fn explore(setup: &Setup, bug: Option<InjectedBug>) -> (u64, Option<String>) {
    let mut tape = Tape::new(None);
    for count in 1.. {
        let (tape_after, violations) = run(tape, setup, bug);
        if let Some(first) = violations.first() {
            let picks: Vec<usize> = tape_after.picks.iter().map(|p| p.0).collect();
            return (count, Some(format!("{first} in {picks:?}")));
        }
        tape = tape_after;
        if !tape.next_combination() {
            return (count, None);
        }
    }
    unreachable!()
}

const SMALL: [Setup; 6] = [
    Setup { servers: 1, requests: &[true], faults: 1, each_byte: true, ignore_ids: false },
    Setup { servers: 1, requests: &[false, true], faults: 1, each_byte: true, ignore_ids: false },
    Setup { servers: 2, requests: &[true], faults: 2, each_byte: false, ignore_ids: false },
    Setup { servers: 1, requests: &[true, false], faults: 2, each_byte: false, ignore_ids: false },
    Setup { servers: 1, requests: &[true, true], faults: 1, each_byte: true, ignore_ids: true },
    Setup { servers: 1, requests: &[false, true], faults: 2, each_byte: false, ignore_ids: true },
];

#[test]
fn in_all_small_runs_answers_are_complete_and_their_own_and_unsafe_requests_run_once() {
    for setup in SMALL {
        let (count, broken) = explore(&setup, None);
        println!("{} servers, {:?}, {} faults: {count} runs", setup.servers, setup.requests, setup.faults);
        assert_eq!(broken, None);
    }
}

/// A random run with up to eight requests, some of them at once, and up to a dozen faults.
fn random_run(seed: u64) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let servers = rng.usize(1..=2);
    let (faults, each_byte, ignore_ids) = (rng.usize(2..=12), rng.bool(), rng.u32(0..4) == 0);
    let setup = Setup { servers, requests: &[], faults, each_byte, ignore_ids };
    let (requests, at_once) = (rng.u64(2..=8), rng.u64(1..=4));
    let tape = Tape::new(Some(rng));
    let mut world = World::new(tape, &setup, None);
    for id in 1..=requests {
        let once = world.tape.pick(3) > 0;
        world.ask(id, once);
        if id % at_once == 0 || id == requests {
            world.run_to_end();
        }
    }
    world.check().1
}

/// The number of random runs; `ANSWERS_COURSES=1000000 cargo test --release --test answers` runs more.
const RANDOM_RUNS: u64 = 2000;

#[test]
fn the_same_holds_in_larger_random_runs() {
    let count = std::env::var("ANSWERS_COURSES").ok().and_then(|n| n.parse().ok()).unwrap_or(RANDOM_RUNS);
    for seed in 0..count {
        assert_eq!(random_run(seed), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn each_injected_bug_is_detected() {
    for (bug, rules) in [
        (InjectedBug::ReuseUnreadConnection, ["TWICE", "REFUSED"]),
        (InjectedBug::SameConnectionAgain, ["TWICE", "REFUSED"]),
        (InjectedBug::RetryAfterSilence, ["TWICE", "REFUSED"]),
        (InjectedBug::RetryAfterReset, ["TWICE", "REFUSED"]),
        (InjectedBug::ClaimNotExecuted, ["REFUSED", "REFUSED"]),
        (InjectedBug::TruncatedAsComplete, ["MIXED", "MIXED"]),
    ] {
        let detected = SMALL.iter().find_map(|setup| explore(setup, Some(bug)).1);
        println!("{bug:?}: {detected:?}");
        assert!(detected.is_some_and(|b| rules.iter().any(|r| b.starts_with(r))), "{bug:?}");
    }
}
