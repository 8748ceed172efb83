//! What reads servers' answers and clients' requests, on a corpus that is split at each byte, cut, doubled, glued
//! together and spoiled by chance. All of it from seeds and in bounded number.

use net::Micros;
use net::clock::{Alarms, Clock};
use net::door::{self, Answer, Desk, Door, Patience, Reply};
use net::errors::{Cause, Progress};
use net::http::{self, Bad, Body, Bounds, NO_HEADERS};
use net::limits::Held;
use net::pool::exchange::{Exchange, Left, Then};
use net::pool::{Ended, Heard, Job, Passage, Peer, Served, Settings, Wire};
use net::room::Room;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

const BOUNDS: Bounds = Bounds { head: 4096, body: 4096 };

/// Name, what is expected, the bytes.
fn corpus(of: &str) -> BTreeMap<String, (String, Vec<u8>)> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus").join(of);
    let files = std::fs::read_dir(dir).expect("a corpus").map(|f| f.expect("a file").path());
    let read = |path: std::path::PathBuf| {
        let text = std::fs::read_to_string(&path).expect("text");
        let (expected, bytes) = text.split_once("---\n").expect("two parts");
        let bytes = bytes.strip_suffix('\n').unwrap_or(bytes).replace("\\\n", "\0");
        let bytes = bytes.replace('\n', "\r\n").replace('\0', "").into_bytes();
        let name = path.file_stem().expect("a name").to_string_lossy().into_owned();
        (name, (expected.trim_end().to_string(), bytes))
    };
    files.map(read).collect()
}

// ---- answers ----

struct ById;

impl Wire for ById {
    type Note = ();
    type Said = ();

    fn last_lines(&self, _: &Job<()>, _: Micros, _: &mut Vec<u8>) {}

    fn heard(&self, _: &Job<()>, head: &http::Response) -> Heard<()> {
        if http::header(head.headers, "X-Id") == Some(b"1") { Heard::Mine(()) } else { Heard::Surplus }
    }

    fn ended(&self, _: Ended<ById>) {}
}

/// Gives what has come, then nothing, or its end.
struct Come<'b> {
    bytes: &'b [u8],
    over: Option<ErrorKind>,
    ended: bool,
}

impl Read for Come<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        match (self.bytes.is_empty(), self.over) {
            (false, _) => self.bytes.read(buf),
            (true, Some(kind)) => Err(kind.into()),
            (true, None) if self.ended => Ok(0),
            (true, None) => Err(ErrorKind::WouldBlock.into()),
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum End {
    Open,
    Closed,
    Reset,
}

/// What becomes of an attempt to which these parts come one after the other, and then that end.
fn answered(method: &str, parts: &[&[u8]], end: End) -> String {
    let head = format!("{method} / HTTP/1.1\r\nHost: x\r\n").into_bytes();
    let passage = Arc::new(Passage { head, body: Held::default() });
    let job = Job { id: 1, attempt: 0, passage, again: false, until: 9_000_000, note: () };
    let mut exchange = Exchange::new(job, BOUNDS, 1_000_000);
    exchange.connected(&ById, 1);
    exchange.write(io::sink()).expect("taken");
    let mut told = String::new();
    for (n, part) in parts.iter().chain([&&b""[..]]).enumerate() {
        let last = n == parts.len();
        let over = (last && end == End::Reset).then_some(ErrorKind::ConnectionReset);
        let ended = last && end == End::Closed;
        if last && end == End::Open {
            break;
        }
        let mut come = Come { bytes: part, over, ended };
        match exchange.read(&ById, &mut come, ended || over.is_some()) {
            Ok(Then::Wait) => {}
            Ok(Then::Free { ended, .. }) => told = format!("{} free", whole(ended)),
            Ok(Then::Over { ended: Some(ended) }) => return format!("{} over", whole(ended)),
            Ok(Then::Over { ended: None }) => return told.replace("free", "over"),
            Err(cause) => return fails(&mut exchange, cause),
        }
    }
    if told.is_empty() { "waits".into() } else { told }
}

fn whole(ended: Ended<ById>) -> String {
    let served = ended.outcome.expect("an answer");
    let body = String::from_utf8_lossy(&served.body).into_owned();
    format!("{} {}", served.status, if body.is_empty() { "-" } else { &body })
}

/// Once the request is written a failure is never one of an attempt that has not run.
fn fails(exchange: &mut Exchange<ById>, cause: Cause) -> String {
    let Left::Failed(ended) = exchange.fail(cause) else { panic!("an attempt without an outcome") };
    let error = ended.outcome.err().expect("no answer");
    assert!(error.progress >= Progress::Written && !error.never_ran());
    "broken".into()
}

fn answers() -> Vec<(String, String, String, Vec<u8>)> {
    let read = |(name, (expected, bytes)): (String, (String, Vec<u8>))| {
        let (method, expected) = expected.split_once('\n').expect("a method");
        (name, method.to_string(), expected.to_string(), bytes)
    };
    corpus("answers").into_iter().map(read).collect()
}

/// The outcome alone, without what becomes of the connection.
fn outcome(told: &str) -> &str {
    told.trim_end_matches(" free").trim_end_matches(" over")
}

#[test]
fn an_answer_is_the_same_wherever_it_is_split_and_whole_only_whole() {
    for (name, method, expected, bytes) in answers() {
        assert!(bytes.len() < 400, "{name}: small");
        // An end right behind a whole answer ends the connection, whatever the answer says.
        let closed = answered(&method, &[&bytes], End::Closed);
        assert_eq!(outcome(&closed), outcome(&expected), "{name}");
        if expected.ends_with(" free") {
            assert_eq!(answered(&method, &[&bytes], End::Open), expected, "{name}");
        }
        let to_end = name == "to-the-end";
        for at in 0..=bytes.len() {
            let (one, two) = bytes.split_at(at);
            let split = answered(&method, &[one, two], End::Closed);
            assert_eq!(outcome(&split), outcome(&expected), "{name} split at {at}");
            // Cut there, it is what it was, or nothing; where only the end tells the end, a reset tells that it was cut.
            for end in [End::Closed, End::Reset] {
                let cut = answered(&method, &[one], end);
                let same = outcome(&cut) == outcome(&expected);
                let told = to_end && end == End::Closed;
                assert!(same || cut == "broken" || told, "{name} cut at {at}: {cut}");
            }
        }
        let each: Vec<&[u8]> = bytes.chunks(1).collect();
        assert_eq!(
            outcome(&answered(&method, &each, End::Closed)),
            outcome(&expected),
            "{name} byte by byte"
        );
    }
}

#[test]
fn what_is_glued_behind_an_answer_belongs_to_nobody_and_ends_the_connection() {
    let all = answers();
    for (name, method, expected, bytes) in all.iter().filter(|a| a.2.ends_with(" free")) {
        for (other, _, _, more) in all.iter().filter(|a| !a.3.is_empty()) {
            let glued = [bytes.as_slice(), more].concat();
            for parts in [vec![glued.as_slice()], vec![bytes.as_slice(), more]] {
                let told = answered(method, &parts, End::Open);
                assert_eq!(outcome(&told), outcome(expected), "{name} {other}");
                assert!(told.ends_with(" over"), "{name} {other}: {told}");
            }
        }
    }
}

/// Spoiled by chance: bytes changed, dropped, doubled, pieces of others put in.
fn spoil(rng: &mut fastrand::Rng, bytes: &mut Vec<u8>, other: &[u8]) {
    for _ in 0..rng.usize(1..4) {
        let at = rng.usize(0..=bytes.len());
        match rng.u32(0..5) {
            0 if at < bytes.len() => bytes[at] = rng.u8(..),
            1 if at < bytes.len() => _ = bytes.remove(at),
            2 => bytes.insert(at, *rng.choice(b"\r\n :;0f,\x00\xff").expect("some")),
            3 => {
                let to = rng.usize(at..=bytes.len());
                let piece = bytes[at..to].to_vec();
                bytes.splice(at..at, piece);
            }
            _ => {
                let from = rng.usize(0..=other.len());
                bytes.splice(at..at, other[from..].iter().copied());
            }
        }
    }
}

const SPOILED: u64 = 20_000;

#[test]
fn spoiled_answers_are_the_same_wherever_they_are_split() {
    let all = answers();
    for seed in 0..SPOILED {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (name, method, _, bytes) = rng.choice(&all).expect("some");
        let mut bytes = bytes.clone();
        let other = &rng.choice(&all).expect("some").3;
        spoil(&mut rng, &mut bytes, other);
        let told = answered(method, &[&bytes], End::Closed);
        let (one, two) = bytes.split_at(rng.usize(0..=bytes.len()));
        let split = answered(method, &[one, two], End::Closed);
        assert_eq!(
            outcome(&split),
            outcome(&told),
            "seed {seed}: {name} {:?}",
            String::from_utf8_lossy(&bytes)
        );
    }
}

// ---- requests ----

/// What is read of requests that come in these parts, one a line.
fn asked(parts: &[&[u8]]) -> Vec<String> {
    let (mut held, mut told, mut body) = (Vec::new(), Vec::new(), None::<(String, Body)>);
    for part in parts {
        held.extend_from_slice(part);
        loop {
            if let Some((line, on_its_way)) = &mut body {
                match on_its_way.take(&held) {
                    Err(bad) => {
                        told.push(bad.status.to_string());
                        return told;
                    }
                    Ok(used) => _ = held.drain(..used),
                }
                if !on_its_way.done() {
                    break;
                }
                let content = String::from_utf8_lossy(&on_its_way.content).into_owned();
                told.push(format!("{line} {content}").trim_end().to_string());
                body = None;
            }
            let mut slots = NO_HEADERS;
            let (line, len, new) = match http::request(&held, &mut slots, BOUNDS) {
                Ok(None) => break,
                Ok(Some(head)) => {
                    (format!("{} {}", head.method, head.target), head.len, Body::new(head.framing, BOUNDS))
                }
                Err(bad) => {
                    told.push(bad.status.to_string());
                    return told;
                }
            };
            held.drain(..len);
            body = Some((line, new));
        }
    }
    if !held.is_empty() || body.is_some() {
        told.push("wants more".into());
    }
    told
}

#[test]
fn requests_are_the_same_wherever_they_are_split_and_however_they_are_glued() {
    let all = corpus("requests");
    for (name, (expected, bytes)) in &all {
        let expected: Vec<&str> = expected.lines().collect();
        assert_eq!(asked(&[bytes]), expected, "{name}");
        let good = expected.iter().all(|l| l.starts_with(['G', 'P']));
        for at in 0..=bytes.len() {
            let (one, two) = bytes.split_at(at);
            assert_eq!(asked(&[one, two]), expected, "{name} split at {at}");
            // Cut, no request is there that was not there whole.
            let cut = asked(&[one]);
            let whole = cut.iter().filter(|l| *l != "wants more");
            assert!(whole.zip(&expected).all(|(a, b)| a == b), "{name} cut at {at}: {cut:?}");
        }
        let each: Vec<&[u8]> = bytes.chunks(1).collect();
        assert_eq!(asked(&each), expected, "{name} byte by byte");
        for (other, (more, behind)) in all.iter().filter(|_| good) {
            let both: Vec<&str> = expected.iter().copied().chain(more.lines()).collect();
            assert_eq!(asked(&[&[bytes.as_slice(), behind].concat()]), both, "{name} {other}");
        }
    }
}

#[test]
fn spoiled_requests_are_the_same_wherever_they_are_split() {
    let all: Vec<Vec<u8>> = corpus("requests").into_values().map(|r| r.1).collect();
    for seed in 0..SPOILED {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut bytes = rng.choice(&all).expect("some").clone();
        let other = rng.choice(&all).expect("some");
        spoil(&mut rng, &mut bytes, other);
        let told = asked(&[&bytes]);
        let (one, two) = bytes.split_at(rng.usize(0..=bytes.len()));
        assert_eq!(asked(&[one, two]), told, "seed {seed}: {:?}", String::from_utf8_lossy(&bytes));
    }
}

// ---- the same over sockets ----

const WAIT: Duration = Duration::from_secs(10);

fn room() -> Arc<Room> {
    static ROOM: OnceLock<Arc<Room>> = OnceLock::new();
    let start = || {
        net::set_up();
        let clock = Clock::start();
        let alarms = Alarms::start(clock).expect("a timer");
        Arc::new(Room::new(4000, 1024, clock, alarms, Box::new(|what| eprintln!("{what}"))))
    };
    ROOM.get_or_init(start).clone()
}

/// Reads answers as `ById` does, and passes on what has ended.
struct Telling(Mutex<Sender<Result<String, bool>>>);

impl Wire for Telling {
    type Note = ();
    type Said = ();

    fn last_lines(&self, _: &Job<()>, _: Micros, _: &mut Vec<u8>) {}

    fn heard(&self, job: &Job<()>, head: &http::Response) -> Heard<()> {
        ById.heard(job, head)
    }

    fn ended(&self, ended: Ended<Telling>) {
        let Ended { id, attempt, note, begun_at, outcome } = ended;
        let told = outcome.map_err(|e| e.never_ran()).map(|s| {
            whole(Ended {
                id,
                attempt,
                note,
                begun_at,
                outcome: Ok(Served { said: (), status: s.status, body: s.body }),
            })
        });
        let _ = self.0.lock().expect("whole").send(told);
    }
}

#[test]
fn answers_are_the_same_over_sockets() {
    for (name, method, expected, bytes) in answers() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (tell, told) = channel();
        let settings = Settings {
            dial_us: 5_000_000,
            answer_us: 5_000_000,
            idle_us: 30_000_000,
            most: 10,
            silence: None,
            bounds: BOUNDS,
        };
        let addr = listener.local_addr().expect("bound");
        let peer = Peer::start(addr, room(), Arc::new(Telling(Mutex::new(tell))), settings);
        for (id, at) in (1..).zip([0, bytes.len() / 3, bytes.len() / 2, bytes.len().saturating_sub(1)]) {
            let head = format!("{method} / HTTP/1.1\r\nHost: x\r\n").into_bytes();
            let passage = Arc::new(Passage { head, body: Held::default() });
            let until = room().clock.now() + 10_000_000;
            assert!(peer.send(Job { id, attempt: 0, passage, again: true, until, note: () }));
            let (mut server, _) = listener.accept().expect("a connection");
            server.set_nodelay(true).expect("an option");
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                server.read_exact(&mut byte).expect("a request");
                request.push(byte[0]);
            }
            server.write_all(&bytes[..at]).expect("taken");
            std::thread::yield_now();
            // The proxy may have heard enough, and be gone.
            let _ = server.write_all(&bytes[at..]);
            drop(server);
            match told.recv_timeout(WAIT).expect("told") {
                Ok(told) => assert_eq!(told, outcome(&expected), "{name} split at {at}"),
                Err(never_ran) => assert!(!never_ran && expected == "broken", "{name} split at {at}"),
            }
        }
        peer.gone();
    }
}

/// Answers with what it was asked.
struct Echo;

impl Desk for Echo {
    type Ask = String;

    fn bounds(&self) -> Bounds {
        BOUNDS
    }

    fn patience(&self) -> Patience {
        let us = 30_000_000;
        Patience { first_us: None, read_us: 300_000, write_us: us, once_idle_us: us, idle_us: us }
    }

    fn head(&self, head: &http::Request) -> Result<door::Heard<String>, Bad> {
        Ok(door::Heard::Take(format!("{} {}", head.method, head.target)))
    }

    fn asked(&self, _: u64, ask: String, body: Held, reply: Reply) {
        let content = String::from_utf8_lossy(&body.bytes).into_owned();
        reply.send(Answer::text(200, format!("{ask} {content}").trim_end()));
    }

    fn withdrawn(&self, _: u64) {}

    fn draining(&self) -> bool {
        false
    }

    fn refusal(&self, bad: &Bad) -> Answer {
        Answer::text(bad.status, "")
    }
}

#[test]
fn requests_are_the_same_over_sockets() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let door = Door::start(any, room(), Arc::new(Echo)).expect("a port");
    for (name, (expected, bytes)) in corpus("requests") {
        for at in [0, bytes.len() / 3, bytes.len() / 2, bytes.len() - 1] {
            let mut client = TcpStream::connect(door.addr()).expect("connects");
            client.set_read_timeout(Some(WAIT)).expect("an option");
            client.set_nodelay(true).expect("an option");
            client.write_all(&bytes[..at]).expect("taken");
            std::thread::yield_now();
            let _ = client.write_all(&bytes[at..]);
            let mut read = BufReader::new(client);
            for line in expected.lines() {
                let (status, body) = match line {
                    "wants more" => ("408", ""),
                    line if line.starts_with(['G', 'P']) => ("200", line),
                    status => (status, ""),
                };
                let (mut head, mut content) = (String::new(), Vec::new());
                while !head.ends_with("\r\n\r\n") {
                    assert!(
                        read.read_line(&mut head).expect("an answer") > 0,
                        "{name} split at {at}: {line}"
                    );
                }
                let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")?.parse().ok());
                content.resize(length.unwrap_or(0), 0);
                read.read_exact(&mut content).expect("a body");
                assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{name} split at {at}: {head}");
                assert_eq!(String::from_utf8_lossy(&content), body, "{name} split at {at}");
            }
        }
    }
}
