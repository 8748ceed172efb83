//! Fuzz tests of the parsing of servers' answers and clients' requests, on a corpus of messages that are split at
//! each byte, truncated, concatenated, and corrupted at random. Seeds and numbers of cases are fixed.

use net::Micros;
use net::clock::{Alarms, Clock};
use net::errors::{Cause, Progress};
use net::http::{self, Bad, Body, Bounds, NO_HEADERS};
use net::listener::{self, Answer, ClientTimeouts, Handler, Listener, Reply};
use net::memory::{BufferedBody, Memory, Reserver};
use net::pool::exchange::{AfterFailure, Exchange, ReadResult};
use net::pool::{Ended, ForwardedRequest, Job, Peer, ResponseMatch, Served, Settings, Wire};
use net::resources::Resources;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

const BOUNDS: Bounds = Bounds { head: 4096, body: 4096 };

/// The messages of a corpus by name, each with the expected result and the bytes.
fn corpus(directory: &str) -> BTreeMap<String, (String, Vec<u8>)> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus").join(directory);
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

/// Takes an answer with `X-Id: 1` as the expected one.
struct ById;

impl Wire for ById {
    type Note = ();
    type HeadInfo = ();

    fn attempt_headers(&self, _: &Job<()>, _: Micros, _: &mut Vec<u8>) {}

    fn response_head(&self, _: &Job<()>, head: &http::Response) -> ResponseMatch<()> {
        if http::header(head.headers, "X-Id") == Some(b"1") {
            ResponseMatch::Expected(())
        } else {
            ResponseMatch::Surplus
        }
    }

    fn ended(&self, _: Ended<ById>) {}
}

/// A simulated socket: gives the bytes, then would block, ends or fails.
struct Input<'b> {
    bytes: &'b [u8],
    error: Option<ErrorKind>,
    ended: bool,
}

impl Read for Input<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        match (self.bytes.is_empty(), self.error) {
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

/// The outcome of an attempt whose answer comes in these parts, followed by that end of the connection.
fn attempt_outcome(method: &str, parts: &[&[u8]], end: End) -> String {
    let head = format!("{method} / HTTP/1.1\r\nHost: x\r\n").into_bytes();
    let request = Arc::new(ForwardedRequest { head, body: BufferedBody::default() });
    let job = Job { id: 1, attempt: 0, request, same_server_retry: false, until: 9_000_000, note: () };
    let mut exchange =
        Exchange::new(job, BOUNDS, Some(1_000_000), Reserver::new(Arc::new(Memory::new(256)), || {}));
    exchange.connected(&ById, 1);
    exchange.write(io::sink()).expect("taken");
    let mut result = String::new();
    for (n, part) in parts.iter().chain([&&b""[..]]).enumerate() {
        let last = n == parts.len();
        let error = (last && end == End::Reset).then_some(ErrorKind::ConnectionReset);
        let ended = last && end == End::Closed;
        if last && end == End::Open {
            break;
        }
        let mut input = Input { bytes: part, error, ended };
        match exchange.read(&ById, &mut input, ended || error.is_some()) {
            Ok(ReadResult::Wait) => {}
            Ok(ReadResult::Reusable { ended, .. }) => result = format!("{} free", answer_text(ended)),
            Ok(ReadResult::Finished { ended: Some(ended) }) => return format!("{} over", answer_text(ended)),
            Ok(ReadResult::Finished { ended: None }) => return result.replace("free", "over"),
            Err(cause) => return failure(&mut exchange, cause),
        }
    }
    if result.is_empty() { "waits".into() } else { result }
}

fn answer_text(ended: Ended<ById>) -> String {
    let served = ended.outcome.expect("an answer");
    let body = String::from_utf8_lossy(&served.body).into_owned();
    format!("{} {}", served.status, if body.is_empty() { "-" } else { &body })
}

/// The outcome of a failed attempt. As its request is written, it must not count as one that never ran.
fn failure(exchange: &mut Exchange<ById>, cause: Cause) -> String {
    let AfterFailure::Failed(ended) = exchange.fail(cause) else { panic!("an attempt without an outcome") };
    let error = ended.outcome.err().expect("no answer");
    assert!(error.progress >= Progress::Written && !error.never_ran());
    "broken".into()
}

/// The corpus of answers: name, method of the request, expected outcome, bytes.
fn answers() -> Vec<(String, String, String, Vec<u8>)> {
    let read = |(name, (expected, bytes)): (String, (String, Vec<u8>))| {
        let (method, expected) = expected.split_once('\n').expect("a method");
        (name, method.to_string(), expected.to_string(), bytes)
    };
    corpus("answers").into_iter().map(read).collect()
}

/// The status and body alone, without what becomes of the connection.
fn outcome(result: &str) -> &str {
    result.trim_end_matches(" free").trim_end_matches(" over")
}

#[test]
fn an_answer_is_the_same_wherever_it_is_split_and_whole_only_whole() {
    for (name, method, expected, bytes) in answers() {
        assert!(bytes.len() < 400, "{name}: small");
        // If the server closes right after a complete answer, the connection ends, whatever the answer says.
        let closed = attempt_outcome(&method, &[&bytes], End::Closed);
        assert_eq!(outcome(&closed), outcome(&expected), "{name}");
        if expected.ends_with(" free") {
            assert_eq!(attempt_outcome(&method, &[&bytes], End::Open), expected, "{name}");
        }
        let to_end = name == "to-the-end";
        for at in 0..=bytes.len() {
            let (one, two) = bytes.split_at(at);
            let split = attempt_outcome(&method, &[one, two], End::Closed);
            assert_eq!(outcome(&split), outcome(&expected), "{name} split at {at}");
            // Truncated there, the outcome is the same or a failure. If the body ends with the connection, only a
            // reset shows that it was truncated.
            for end in [End::Closed, End::Reset] {
                let cut = attempt_outcome(&method, &[one], end);
                let same = outcome(&cut) == outcome(&expected);
                let undetectable = to_end && end == End::Closed;
                assert!(same || cut == "broken" || undetectable, "{name} cut at {at}: {cut}");
            }
        }
        let each: Vec<&[u8]> = bytes.chunks(1).collect();
        assert_eq!(
            outcome(&attempt_outcome(&method, &each, End::Closed)),
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
                let result = attempt_outcome(method, &parts, End::Open);
                assert_eq!(outcome(&result), outcome(expected), "{name} {other}");
                assert!(result.ends_with(" over"), "{name} {other}: {result}");
            }
        }
    }
}

/// Corrupts a message at random: bytes are changed, dropped, inserted or repeated, or a part of
/// another message is inserted.
fn corrupt(rng: &mut fastrand::Rng, bytes: &mut Vec<u8>, other: &[u8]) {
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

/// The number of corrupted messages per test, one for each seed.
const CORRUPTED_CASES: u64 = 20_000;

#[test]
fn spoiled_answers_are_the_same_wherever_they_are_split() {
    let all = answers();
    for seed in 0..CORRUPTED_CASES {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (name, method, _, bytes) = rng.choice(&all).expect("some");
        let mut bytes = bytes.clone();
        let other = &rng.choice(&all).expect("some").3;
        corrupt(&mut rng, &mut bytes, other);
        let unsplit = attempt_outcome(method, &[&bytes], End::Closed);
        let (one, two) = bytes.split_at(rng.usize(0..=bytes.len()));
        let split = attempt_outcome(method, &[one, two], End::Closed);
        assert_eq!(
            outcome(&split),
            outcome(&unsplit),
            "seed {seed}: {name} {:?}",
            String::from_utf8_lossy(&bytes)
        );
    }
}

// ---- requests ----

/// The requests read from these parts, one a line; last the status of a refusal, or `wants more`.
fn requests_read(parts: &[&[u8]]) -> Vec<String> {
    let (mut buffer, mut result, mut body) = (Vec::new(), Vec::new(), None::<(String, Body)>);
    for part in parts {
        buffer.extend_from_slice(part);
        loop {
            if let Some((line, incoming)) = &mut body {
                match incoming.take(&buffer) {
                    Err(bad) => {
                        result.push(bad.status.to_string());
                        return result;
                    }
                    Ok(used) => _ = buffer.drain(..used),
                }
                if !incoming.done() {
                    break;
                }
                let content = String::from_utf8_lossy(&incoming.content).into_owned();
                result.push(format!("{line} {content}").trim_end().to_string());
                body = None;
            }
            let mut slots = NO_HEADERS;
            let (line, len, new) = match http::request(&buffer, &mut slots, BOUNDS) {
                Ok(None) => break,
                Ok(Some(head)) => {
                    (format!("{} {}", head.method, head.target), head.len, Body::new(head.framing, BOUNDS))
                }
                Err(bad) => {
                    result.push(bad.status.to_string());
                    return result;
                }
            };
            buffer.drain(..len);
            body = Some((line, new));
        }
    }
    if !buffer.is_empty() || body.is_some() {
        result.push("wants more".into());
    }
    result
}

#[test]
fn requests_are_the_same_wherever_they_are_split_and_however_they_are_glued() {
    let all = corpus("requests");
    for (name, (expected, bytes)) in &all {
        let expected: Vec<&str> = expected.lines().collect();
        assert_eq!(requests_read(&[bytes]), expected, "{name}");
        let good = expected.iter().all(|l| l.starts_with(['G', 'P']));
        for at in 0..=bytes.len() {
            let (one, two) = bytes.split_at(at);
            assert_eq!(requests_read(&[one, two]), expected, "{name} split at {at}");
            // Truncated, it gives no request that the complete bytes do not give.
            let cut = requests_read(&[one]);
            let whole = cut.iter().filter(|l| *l != "wants more");
            assert!(whole.zip(&expected).all(|(a, b)| a == b), "{name} cut at {at}: {cut:?}");
        }
        let each: Vec<&[u8]> = bytes.chunks(1).collect();
        assert_eq!(requests_read(&each), expected, "{name} byte by byte");
        for (other, (more, following)) in all.iter().filter(|_| good) {
            let both: Vec<&str> = expected.iter().copied().chain(more.lines()).collect();
            assert_eq!(requests_read(&[&[bytes.as_slice(), following].concat()]), both, "{name} {other}");
        }
    }
}

#[test]
fn spoiled_requests_are_the_same_wherever_they_are_split() {
    let all: Vec<Vec<u8>> = corpus("requests").into_values().map(|r| r.1).collect();
    for seed in 0..CORRUPTED_CASES {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut bytes = rng.choice(&all).expect("some").clone();
        let other = rng.choice(&all).expect("some");
        corrupt(&mut rng, &mut bytes, other);
        let unsplit = requests_read(&[&bytes]);
        let (one, two) = bytes.split_at(rng.usize(0..=bytes.len()));
        assert_eq!(requests_read(&[one, two]), unsplit, "seed {seed}: {:?}", String::from_utf8_lossy(&bytes));
    }
}

// ---- the same over sockets ----

/// Limit of each wait.
const WAIT: Duration = Duration::from_secs(10);

fn resources() -> Arc<Resources> {
    static RESOURCES: OnceLock<Arc<Resources>> = OnceLock::new();
    let start = || {
        net::set_up();
        let clock = Clock::start();
        let alarms = Alarms::start(clock).expect("a timer");
        Arc::new(Resources::new(4000, 1024, clock, alarms, Box::new(|what| eprintln!("{what}"))))
    };
    RESOURCES.get_or_init(start).clone()
}

/// Reads answers as `ById` does, and sends outcomes to the test.
struct Reporting(Mutex<Sender<Result<String, bool>>>);

impl Wire for Reporting {
    type Note = ();
    type HeadInfo = ();

    fn attempt_headers(&self, _: &Job<()>, _: Micros, _: &mut Vec<u8>) {}

    fn response_head(&self, job: &Job<()>, head: &http::Response) -> ResponseMatch<()> {
        ById.response_head(job, head)
    }

    fn ended(&self, ended: Ended<Reporting>) {
        let Ended { id, attempt, note, begun_at, outcome } = ended;
        let result = outcome.map_err(|e| e.never_ran()).map(|s| {
            answer_text(Ended {
                id,
                attempt,
                note,
                begun_at,
                outcome: Ok(Served { head_info: (), status: s.status, body: s.body }),
            })
        });
        let _ = self.0.lock().expect("not poisoned").send(result);
    }
}

#[test]
fn answers_are_the_same_over_sockets() {
    for (name, method, expected, bytes) in answers() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (sender, results) = channel();
        let settings = Settings {
            dial_us: 5_000_000,
            answer_us: Some(5_000_000),
            idle_us: 30_000_000,
            max_connections: 10,
            tcp_user_timeout: None,
            bounds: BOUNDS,
        };
        let addr = listener.local_addr().expect("bound");
        let peer = Peer::start(addr, resources(), Arc::new(Reporting(Mutex::new(sender))), settings);
        for (id, at) in (1..).zip([0, bytes.len() / 3, bytes.len() / 2, bytes.len().saturating_sub(1)]) {
            let head = format!("{method} / HTTP/1.1\r\nHost: x\r\n").into_bytes();
            let request = Arc::new(ForwardedRequest { head, body: BufferedBody::default() });
            let until = resources().clock.now() + 10_000_000;
            assert!(peer.send(Job { id, attempt: 0, request, same_server_retry: true, until, note: () }));
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
            // The pool may have closed the connection already.
            let _ = server.write_all(&bytes[at..]);
            drop(server);
            match results.recv_timeout(WAIT).expect("an outcome") {
                Ok(result) => assert_eq!(result, outcome(&expected), "{name} split at {at}"),
                Err(never_ran) => assert!(!never_ran && expected == "broken", "{name} split at {at}"),
            }
        }
        peer.remove();
    }
}

/// Answers with the request it got.
struct Echo;

impl Handler for Echo {
    type Request = String;

    fn bounds(&self) -> Bounds {
        BOUNDS
    }

    fn timeouts(&self) -> ClientTimeouts {
        let us = 30_000_000;
        ClientTimeouts {
            first_request_us: None,
            read_us: 300_000,
            write_us: us,
            idle_after_one_us: us,
            idle_us: us,
        }
    }

    fn head(&self, head: &http::Request) -> Result<listener::HeadAction<String>, Bad> {
        Ok(listener::HeadAction::Accept(format!("{} {}", head.method, head.target)))
    }

    fn handle(&self, _: u64, request: String, body: BufferedBody, reply: Reply) {
        let content = String::from_utf8_lossy(&body.bytes).into_owned();
        reply.send(Answer::text(200, format!("{request} {content}").trim_end()));
    }

    fn client_gone(&self, _: u64) {}

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
    let listener = Listener::start(any, resources(), Arc::new(Echo)).expect("a port");
    for (name, (expected, bytes)) in corpus("requests") {
        for at in [0, bytes.len() / 3, bytes.len() / 2, bytes.len() - 1] {
            let mut client = TcpStream::connect(listener.addr()).expect("connects");
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
