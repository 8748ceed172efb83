//! Pools and listeners over sockets on the loopback address. The test plays the server and the clients, and answers
//! the handler's requests. Answers are matched to attempts by an id. All waits are bounded.

use may::io::CoIo;
use net::Micros;
use net::clock::{Alarms, Clock};
use net::errors::Progress;
use net::http::{self, Bad, Bounds};
use net::limits::{ConnectionKind, Fd};
use net::listener::{Answer, ClientTimeouts, Handler, HeadAction, Listener, Reply};
use net::memory::BufferedBody;
use net::pool::{self, Ended, ForwardedRequest, Job, Peer, Settings, Wire};
use net::resources::Resources;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

/// Limit of each wait.
const WAIT: Duration = Duration::from_secs(10);
const BOUNDS: Bounds = Bounds { head: 16 * 1024, body: 32 * 1024 * 1024 };

/// Each test has its own resources: if one test took all descriptors, answers of the others would close connections.
fn resources() -> Arc<Resources> {
    resources_with(4000)
}

fn resources_with(sockets: usize) -> Arc<Resources> {
    net::set_up();
    let clock = Clock::start();
    let alarms = Alarms::start(clock).expect("a timer");
    Arc::new(Resources::new(sockets, 1024, clock, alarms, Box::new(|what| eprintln!("{what}"))))
}

// ---- the pool alone ----

/// Matches answers by `X-Id`, and sends outcomes to the test.
struct ById {
    outcomes: Mutex<Sender<Ended<ById>>>,
    /// Called before each outcome is sent.
    before: OnceLock<Box<dyn Fn() + Send + Sync>>,
}

impl Wire for ById {
    type Note = Vec<u8>;
    type HeadInfo = ();

    fn attempt_headers(&self, job: &Job<Vec<u8>>, _: Micros, out: &mut Vec<u8>) {
        out.extend_from_slice(&[b"X-Id: ", job.note.as_slice(), b"\r\n"].concat());
    }

    fn response_head(&self, job: &Job<Vec<u8>>, head: &http::Response) -> pool::ResponseMatch<()> {
        let expected = http::header(head.headers, "X-Id") == Some(&job.note);
        if expected { pool::ResponseMatch::Expected(()) } else { pool::ResponseMatch::Surplus }
    }

    fn ended(&self, ended: Ended<ById>) {
        if let Some(before) = self.before.get() {
            before();
        }
        let _ = self.outcomes.lock().expect("not poisoned").send(ended);
    }
}

struct Server {
    listener: TcpListener,
    peer: Peer<ById>,
    wire: Arc<ById>,
    clock: Clock,
    ended: Receiver<Ended<ById>>,
}

/// Settings of a pool whose time limits only a hang reaches.
fn pool_settings() -> Settings {
    Settings {
        dial_us: 5_000_000,
        answer_us: Some(5_000_000),
        idle_us: 30_000_000,
        max_connections: 10,
        tcp_user_timeout: Some(WAIT),
        bounds: BOUNDS,
    }
}

impl Server {
    fn start() -> Server {
        Server::start_with(pool_settings())
    }

    fn start_with(settings: Settings) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (outcomes, ended) = channel();
        let addr = listener.local_addr().expect("bound");
        let wire = Arc::new(ById { outcomes: Mutex::new(outcomes), before: OnceLock::new() });
        let resources = resources();
        let clock = resources.clock;
        let peer = Peer::start(addr, resources, wire.clone(), settings);
        Server { listener, peer, wire, clock, ended }
    }

    fn send(&self, id: u64, body: Vec<u8>) {
        self.send_by("POST", id, body);
    }

    fn send_by(&self, method: &str, id: u64, body: Vec<u8>) {
        assert!(self.peer.send(job(self.clock, method, id, body)));
    }

    fn accept(&self) -> BufReader<TcpStream> {
        let (stream, _) = self.listener.accept().expect("a connection");
        stream.set_read_timeout(Some(WAIT)).expect("an option");
        BufReader::new(stream)
    }

    fn ended(&self) -> Ended<ById> {
        self.ended.recv_timeout(WAIT).expect("an outcome")
    }

    fn served(&self) -> (u64, Vec<u8>) {
        let ended = self.ended();
        (ended.id, ended.outcome.expect("an answer").body.bytes.clone())
    }
}

fn job(clock: Clock, method: &str, id: u64, body: Vec<u8>) -> Job<Vec<u8>> {
    let head = format!("{method} /{id} HTTP/1.1\r\nHost: x\r\n").into_bytes();
    let request = Arc::new(ForwardedRequest { head, body: BufferedBody { bytes: body, lease: None } });
    Job {
        id,
        attempt: 0,
        request,
        same_server_retry: false,
        until: clock.now() + 10_000_000,
        note: id.to_string().into_bytes(),
    }
}

/// Reads a head, and a body of the length in the head; None at the end of the connection.
fn message(from: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let (mut head, mut body) = (String::new(), Vec::new());
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")?.parse().ok());
    body.resize(length.unwrap_or(0), 0);
    from.read_exact(&mut body).ok()?;
    Some((head, body))
}

fn write(conn: &BufReader<TcpStream>, bytes: impl AsRef<[u8]>) {
    conn.get_ref().write_all(bytes.as_ref()).expect("taken");
}

fn answer(id: u64, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn a_surplus_answer_is_passed_over_and_its_connection_ends_after_the_right_one() {
    let server = Server::start();
    server.send(1, Vec::new());
    let mut conn = server.accept();
    message(&mut conn).expect("a request");
    write(&conn, answer(1, "one"));
    assert_eq!(server.served(), (1, b"one".to_vec()));
    server.send(2, Vec::new());
    message(&mut conn).expect("a request on the same connection");
    write(&conn, answer(1, "one once more"));
    write(&conn, answer(2, "two"));
    assert_eq!(server.served(), (2, b"two".to_vec()));
    assert!(message(&mut conn).is_none(), "ended");
    server.send(3, Vec::new());
    let mut conn = server.accept();
    message(&mut conn).expect("a request");
    // Only an answer to another request comes, so this attempt has no answer.
    write(&conn, answer(2, "two once more"));
    drop(conn);
    let error = server.ended().outcome.err().expect("no answer");
    assert_eq!(error.progress, Progress::Written);
}

/// The next attempt is sent from within the report of the answer, on the coroutines' own thread: it can't be sent any
/// earlier.
#[test]
fn what_is_sent_as_soon_as_an_answer_is_known_goes_over_the_same_connection() {
    let server = Server::start();
    let (peer, clock, sent) = (server.peer.clone(), server.clock, AtomicBool::new(false));
    let before = Box::new(move || {
        if !sent.swap(true, Ordering::Relaxed) {
            assert!(peer.send(job(clock, "POST", 2, Vec::new())));
        }
    });
    assert!(server.wire.before.set(before).is_ok());
    server.send(1, Vec::new());
    let mut conn = server.accept();
    message(&mut conn).expect("a request");
    write(&conn, answer(1, "one"));
    message(&mut conn).expect("a request on the same connection");
    write(&conn, answer(2, "two"));
    assert_eq!((server.served(), server.served()), ((1, b"one".to_vec()), (2, b"two".to_vec())));
    server.listener.set_nonblocking(true).expect("an option");
    assert!(
        server.listener.accept().is_err_and(|e| e.kind() == ErrorKind::WouldBlock),
        "no other was opened"
    );
}

/// Whichever comes first, the connection or the limit of its time to come up: an attempt whose request the server has
/// got gets the server's answer, and the others never ran. No order is planted, so this also covers those that the tests
/// of the actor don't bring about.
#[test]
fn an_attempt_whose_connect_limit_ends_as_its_connection_comes_up_is_answered_or_never_ran() {
    const ATTEMPTS: u64 = 2_000;
    const LONGEST_LIMIT_US: u64 = 150;
    let server = Server::start_with(Settings { max_connections: usize::MAX, ..pool_settings() });
    let accepting = server.listener.try_clone().expect("a descriptor");
    std::thread::spawn(move || {
        for stream in accepting.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut conn = BufReader::new(stream);
                if let Some((head, _)) = message(&mut conn) {
                    let id = head[1 + head.find('/').expect("a path")..].split(' ').next().expect("an id");
                    let id = id.parse().expect("a number");
                    let _ = conn.get_mut().write_all(answer(id, "got").as_bytes());
                    let _ = conn.read(&mut [0]);
                }
            });
        }
    });
    let (mut answered, mut cut) = (0, Vec::new());
    for id in 0..ATTEMPTS {
        let dial_us = id % LONGEST_LIMIT_US;
        server.peer.set(Settings { dial_us, max_connections: usize::MAX, ..pool_settings() });
        server.peer.close_idle();
        server.send_by("GET", id, Vec::new());
        match server.ended().outcome {
            Ok(_) => answered += 1,
            Err(error) if error.never_ran() => {}
            Err(error) => cut.push(error.to_string()),
        }
    }
    assert!(cut.is_empty(), "{} cut, {answered} answered: {:?}", cut.len(), cut.first());
}

#[test]
fn an_answer_cut_short_is_never_one() {
    let server = Server::start();
    server.send(1, Vec::new());
    let mut conn = server.accept();
    message(&mut conn).expect("a request");
    let whole = answer(1, &"x".repeat(1_000_000));
    write(&conn, &whole.as_bytes()[..whole.len() - 1]);
    drop(conn);
    let error = server.ended().outcome.err().expect("no whole answer");
    assert_eq!(error.progress, Progress::Answering);
    assert!(!error.never_ran());
}

#[test]
fn large_bodies_go_both_ways_and_head_has_none() {
    let server = Server::start();
    let large: Vec<u8> = (0..20_000_000_u32).map(|n| (n % 251) as u8).collect();
    server.send(1, large.clone());
    let mut conn = server.accept();
    let (head, body) = message(&mut conn).expect("a request");
    assert!(head.contains("X-Id: 1\r\nContent-Length: 20000000\r\n"), "{head}");
    assert!(body == large);
    write(&conn, format!("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: {}\r\n\r\n", body.len()));
    write(&conn, &body);
    assert!(server.served() == (1, large));
    server.send_by("HEAD", 2, Vec::new());
    let (head, _) = message(&mut conn).expect("a request");
    assert!(!head.contains("Content-Length"), "{head}");
    write(&conn, "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 500\r\n\r\n");
    assert_eq!(server.served(), (2, Vec::new()));
}

// ---- the listener alone ----

/// Passes requests to the test, which answers them.
struct ManualHandler {
    requests: Mutex<Sender<(String, BufferedBody, Reply)>>,
    gone: Mutex<Sender<u64>>,
    draining: AtomicBool,
    idle_us: AtomicU64,
    read_us: AtomicU64,
    /// Called whenever the timeouts are read.
    on_timeouts: OnceLock<Box<dyn Fn() + Send + Sync>>,
}

impl Handler for ManualHandler {
    type Request = String;

    fn bounds(&self) -> Bounds {
        BOUNDS
    }

    fn timeouts(&self) -> ClientTimeouts {
        if let Some(call) = self.on_timeouts.get() {
            call();
        }
        let (idle_us, read_us) = (self.idle_us.load(Ordering::Relaxed), self.read_us.load(Ordering::Relaxed));
        ClientTimeouts {
            first_request_us: None,
            read_us,
            write_us: 5_000_000,
            idle_after_one_us: idle_us,
            idle_us,
        }
    }

    fn head(&self, head: &http::Request) -> Result<HeadAction<String>, Bad> {
        match head.target {
            "/bad" => Err(Bad { status: 404, what: "no route" }),
            "/now" => Ok(HeadAction::Answer(Answer::text(200, "now"))),
            target => Ok(HeadAction::Accept(target.to_string())),
        }
    }

    fn handle(&self, _: u64, request: String, body: BufferedBody, reply: Reply) {
        let _ = self.requests.lock().expect("not poisoned").send((request, body, reply));
    }

    fn client_gone(&self, id: u64) {
        let _ = self.gone.lock().expect("not poisoned").send(id);
    }

    fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    fn refusal(&self, bad: &Bad) -> Answer {
        Answer::text(bad.status, bad.what)
    }
}

struct ListenerTest {
    resources: Arc<Resources>,
    handler: Arc<ManualHandler>,
    addr: SocketAddr,
    requests: Receiver<(String, BufferedBody, Reply)>,
    gone: Receiver<u64>,
}

fn start_test() -> ListenerTest {
    start_listener().0
}

/// Also returns the listener itself.
fn start_listener() -> (ListenerTest, Arc<Listener<ManualHandler>>) {
    start_listener_with(resources())
}

fn start_listener_with(resources: Arc<Resources>) -> (ListenerTest, Arc<Listener<ManualHandler>>) {
    let ((request_sender, requests), (gone_sender, gone)) = (channel(), channel());
    let handler = ManualHandler {
        requests: Mutex::new(request_sender),
        gone: Mutex::new(gone_sender),
        draining: AtomicBool::new(false),
        idle_us: AtomicU64::new(30_000_000),
        read_us: AtomicU64::new(30_000_000),
        on_timeouts: OnceLock::new(),
    };
    let handler = Arc::new(handler);
    let any = "127.0.0.1:0".parse().expect("an address");
    let listener = Listener::start(any, resources.clone(), handler.clone()).expect("a port");
    (ListenerTest { resources, handler, addr: listener.addr(), requests, gone }, listener)
}

impl ListenerTest {
    fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.addr).expect("connects");
        stream.set_read_timeout(Some(WAIT)).expect("an option");
        BufReader::new(stream)
    }

    fn request(&self) -> (String, BufferedBody, Reply) {
        self.requests.recv_timeout(WAIT).expect("a request")
    }
}

#[test]
fn requests_sent_ahead_are_answered_in_their_order() {
    let test = start_test();
    let mut client = test.connect();
    let get = |target: &str| format!("GET {target} HTTP/1.1\r\nHost: x\r\n\r\n");
    write(&client, [get("/1"), get("/now"), get("/2")].concat());
    for (target, status) in [("/1", 200), ("/2", 503)] {
        let (request, _, reply) = test.request();
        assert_eq!(request, target);
        reply.send(Answer::text(status, target));
    }
    let answers: Vec<Vec<u8>> = (0..3).map(|_| message(&mut client).expect("an answer").1).collect();
    assert_eq!(answers, [b"/1".to_vec(), b"now".to_vec(), b"/2".to_vec()]);
    write(&client, get("/lost"));
    drop(test.request());
    assert!(message(&mut client).expect("an answer").0.starts_with("HTTP/1.1 502 "));
    write(&client, get("/left"));
    let (_, _, reply) = test.request();
    drop(client);
    test.gone.recv_timeout(WAIT).expect("reported");
    reply.send(Answer::text(200, "to nobody"));
}

/// Descriptors run short between a request and its answer: the client has to send the pipelined request again.
#[test]
fn an_answer_where_descriptors_are_short_ends_its_connection_before_what_was_sent_ahead() {
    let test = start_test();
    let mut client = test.connect();
    write(&client, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    let (_, _, reply) = test.request();
    let fds = &test.resources.fds;
    let taken: Vec<Fd> =
        std::iter::from_fn(|| (!fds.short()).then(|| fds.take(ConnectionKind::Client))?).collect();
    assert!(fds.short() && !taken.is_empty());
    reply.send(Answer::text(200, "one"));
    let (head, body) = message(&mut client).expect("an answer");
    assert!(head.contains("Connection: close") && body == b"one", "{head}");
    assert_eq!(client.read(&mut [0]).expect("ended"), 0);
    assert!(test.requests.try_recv().is_err(), "not handled");
}

#[test]
fn bodies_of_both_kinds_come_whole_and_large_answers_leave_whole() {
    let test = start_test();
    let large: Vec<u8> = (0..9_000_000_u32).map(|n| (n % 253) as u8).collect();
    let mut client = test.connect();
    let mut chunked = b"POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in large.chunks(100_000) {
        chunked.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        chunked.extend_from_slice(chunk);
        chunked.extend_from_slice(b"\r\n");
    }
    chunked.extend_from_slice(b"0\r\n\r\n");
    write(&client, chunked);
    write(&client, format!("POST /l HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", large.len()));
    let mut writer = client.get_ref().try_clone().expect("a handle");
    let sent = large.clone();
    let sending = std::thread::spawn(move || writer.write_all(&sent).expect("taken"));
    for _ in 0..2 {
        let (_, body, reply) = test.request();
        assert!(body.bytes == large);
        reply.send(Answer::new(200, Vec::new(), body.bytes));
        assert!(message(&mut client).expect("an answer").1 == large);
    }
    sending.join().expect("sent");
    write(&client, "HEAD /h HTTP/1.1\r\nHost: x\r\n\r\nGET /bad HTTP/1.1\r\nHost: x\r\n\r\n");
    test.request().2.send(Answer::text(200, "unseen"));
    let mut rest = String::new();
    client.read_to_string(&mut rest).expect("up to the end");
    let (head, after) = rest.split_once("\r\n\r\n").expect("a head");
    assert!(head.contains("Content-Length: 6"), "{head}");
    assert!(after.starts_with("HTTP/1.1 404 ") && after.contains("Connection: close"), "{after}");
}

#[test]
fn half_a_request_is_answered_408_and_a_draining_handler_closes_all_connections() {
    let test = start_test();
    test.handler.read_us.store(200_000, Ordering::Relaxed);
    let mut half = test.connect();
    write(&half, "GET /half HTTP/1.1\r\n");
    assert!(message(&mut half).expect("an answer").0.starts_with("HTTP/1.1 408 "));
    let (mut idle, mut busy) = (test.connect(), test.connect());
    write(&idle, "GET /now HTTP/1.1\r\nHost: x\r\n\r\n");
    message(&mut idle).expect("an answer");
    write(&busy, "GET /busy HTTP/1.1\r\nHost: x\r\n\r\n");
    let (_, _, reply) = test.request();
    test.handler.draining.store(true, Ordering::Relaxed);
    assert!(message(&mut idle).is_none(), "closed");
    reply.send(Answer::text(200, "still"));
    let (head, body) = message(&mut busy).expect("an answer");
    assert!(head.contains("Connection: close") && body == b"still");
    assert!(message(&mut busy).is_none());
}

#[test]
fn a_stopped_listener_serves_connections_that_had_come_and_no_later_ones() {
    let (test, listener) = start_listener();
    let mut early = test.connect();
    write(&early, "GET /early HTTP/1.1\r\nHost: x\r\n\r\n");
    let (_, _, reply) = test.request();
    listener.stop_accepting();
    // Once the listening socket is closed, connections are refused or reset; until then they are served as usual.
    let mut late = Vec::new();
    while let Ok(stream) = TcpStream::connect(test.addr) {
        late.push(stream);
        assert!(late.len() < 100_000, "the listener stays open");
    }
    // The early one, and those that may wait in the backlog.
    assert!(listener.count() <= 1 + 1025, "{} accepted", listener.count());
    reply.send(Answer::text(200, "still"));
    assert_eq!(message(&mut early).expect("an answer").1, b"still");
    write(&early, "GET /more HTTP/1.1\r\nHost: x\r\n\r\n");
    test.request().2.send(Answer::text(200, "more"));
    assert_eq!(message(&mut early).expect("an answer").1, b"more", "an open connection is still served");
    drop((early, late));
    let until = std::time::Instant::now() + WAIT;
    while listener.count() > 0 {
        assert!(std::time::Instant::now() < until, "all have left");
        std::thread::yield_now();
    }
}

/// A program that ends by its listener's word must not end while connections wait to be accepted.
#[test]
fn a_stopped_listener_is_closed_only_once_it_has_accepted_what_had_come() {
    const CLIENTS: usize = 50;
    let (test, listener) = start_listener();
    let clients: Vec<TcpStream> =
        (0..CLIENTS).map(|_| TcpStream::connect(test.addr).expect("a connection")).collect();
    assert!(!listener.is_closed());
    listener.stop_accepting();
    let until = std::time::Instant::now() + WAIT;
    while !listener.is_closed() {
        assert!(std::time::Instant::now() < until, "the listener closes");
        std::thread::yield_now();
    }
    assert_eq!(listener.count(), CLIENTS);
    assert!(TcpStream::connect(test.addr).is_err());
    drop(clients);
}

/// When descriptors are short, the handler's timeouts are read for each accepted connection. Here each such call
/// stops the listener and begins another connection, so that one is always waiting to be accepted.
#[test]
fn a_stopped_listener_is_not_kept_open_by_clients_that_go_on_connecting() {
    let (test, listener) = start_listener_with(resources_with(40_000));
    let fds = &test.resources.fds;
    let taken: Vec<Fd> =
        std::iter::from_fn(|| (!fds.short()).then(|| fds.take(ConnectionKind::Client))?).collect();
    let (begun, addr) = (Arc::new(Mutex::new(Vec::new())), test.addr);
    let more = begun.clone();
    let call = Box::new(move || {
        listener.stop_accepting();
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_nonblocking(true).expect("an option");
        let _ = socket.connect(&addr.into());
        more.lock().expect("not poisoned").push(socket);
    });
    assert!(test.handler.on_timeouts.set(call).is_ok());
    let until = std::time::Instant::now() + WAIT;
    let refused = |e: std::io::Error| e.kind() == ErrorKind::ConnectionRefused;
    while !TcpStream::connect_timeout(&addr, WAIT).is_err_and(refused) {
        assert!(std::time::Instant::now() < until, "the listener stays open");
    }
    let begun = begun.lock().expect("not poisoned").len();
    // The timeouts are read once or twice for each accepted connection, at its start and its end; 1025 may have
    // waited.
    assert!(begun <= 2500, "{begun} after it was stopped");
    drop(taken);
}

#[test]
fn a_cut_answer_cannot_pass_for_whole_and_a_paced_one_comes_whole() {
    let test = start_test();
    let get = |target: &str| format!("GET {target} HTTP/1.1\r\nHost: x\r\n\r\n");
    let mut client = test.connect();
    write(&client, [get("/slow"), get("/next")].concat());
    let body: Vec<u8> = (0..1000_u32).map(|n| (n % 251) as u8).collect();
    test.request().2.send(Answer { pace_us: 80_000, ..Answer::new(200, Vec::new(), body.clone()) });
    test.request().2.send(Answer::text(200, "next"));
    assert!(message(&mut client).expect("an answer").1 == body);
    assert_eq!(message(&mut client).expect("an answer").1, b"next");
    write(&client, get("/cut"));
    test.request().2.send(Answer { cut: true, ..Answer::new(200, Vec::new(), body.clone()) });
    let mut rest = Vec::new();
    client.read_to_end(&mut rest).expect("up to the end");
    let rest = String::from_utf8_lossy(&rest).into_owned();
    let (head, half) = rest.split_once("\r\n\r\n").expect("a head");
    assert!(head.contains("Content-Length: 1000") && half.len() < 1000, "{head}");
    let mut client = test.connect();
    write(&client, get("/closed"));
    test.request().2.send(Answer { cut: true, ..Answer::new(200, Vec::new(), Vec::new()) });
    assert_eq!(client.read_to_end(&mut Vec::new()).expect("up to the end"), 0);
}

// ---- if an event is lost all the same ----

struct RawDescriptor(RawFd);

impl AsRawFd for RawDescriptor {
    fn as_raw_fd(&self) -> RawFd {
        self.0
    }
}

/// The row of /proc/net/tcp for this program's socket at `at` whose other end is at `from`.
fn socket_row(at: SocketAddr, from: SocketAddr) -> Vec<String> {
    let hex = |addr: SocketAddr| match addr {
        SocketAddr::V4(v4) => format!("{:08X}:{:04X}", u32::from_ne_bytes(v4.ip().octets()), v4.port()),
        SocketAddr::V6(_) => unreachable!("loopback"),
    };
    let table = std::fs::read_to_string("/proc/net/tcp").expect("sockets");
    let mut rows = table.lines().map(|l| l.split_whitespace().map(str::to_string).collect::<Vec<_>>());
    rows.find(|r| r[1] == hex(at) && r[2] == hex(from)).expect("that one")
}

/// Ends the event loop's watch of that socket: from here on its coroutine is woken only by its waker.
fn stop_watching(at: SocketAddr, from: SocketAddr) {
    let link = format!("socket:[{}]", socket_row(at, from)[9]);
    let mut fds = std::fs::read_dir("/proc/self/fd").expect("descriptors").flatten();
    let fd = fds.find(|e| std::fs::read_link(e.path()).is_ok_and(|to| to.as_os_str() == link.as_str()));
    let number = fd.expect("open").file_name().into_string().expect("a number").parse().expect("a number");
    // This fails, as the descriptor is watched already; dropping what was created for it ends the watch.
    assert!(CoIo::new(RawDescriptor(number)).is_err());
}

/// Waits until so many bytes have come and are unread.
fn wait_for_unread(at: SocketAddr, from: SocketAddr, bytes: usize) {
    let until = std::time::Instant::now() + WAIT;
    let unread = || usize::from_str_radix(&socket_row(at, from)[4][9..], 16).expect("a number");
    while unread() != bytes {
        assert!(std::time::Instant::now() < until, "the bytes have come and are unread");
        std::thread::yield_now();
    }
}

/// The delay is bounded by the idle timeout and the interval of the listener's sweeps.
#[test]
fn a_request_that_no_event_tells_of_is_served_when_its_connection_is_looked_at() {
    let test = start_test();
    let mut client = test.connect();
    write(&client, "GET /now HTTP/1.1\r\nHost: x\r\n\r\n");
    message(&mut client).expect("an answer");
    let (at, from) = (test.addr, client.get_ref().local_addr().expect("bound"));
    stop_watching(at, from);
    let request = "GET /late HTTP/1.1\r\nHost: x\r\n\r\n";
    write(&client, request);
    wait_for_unread(at, from, request.len());
    test.handler.idle_us.store(1, Ordering::Relaxed);
    let (request, _, reply) = test.request();
    test.handler.idle_us.store(30_000_000, Ordering::Relaxed);
    reply.send(Answer::text(200, "late"));
    assert_eq!((request.as_str(), message(&mut client).expect("an answer").1), ("/late", b"late".to_vec()));
}

/// The delay is bounded by the deadline of the attempt, which is enforced by its sender.
#[test]
fn an_attempt_whose_answer_no_event_tells_of_can_be_given_up() {
    let server = Server::start();
    server.send(1, Vec::new());
    let mut conn = server.accept();
    message(&mut conn).expect("a request");
    let (at, from) =
        (conn.get_ref().peer_addr().expect("bound"), server.listener.local_addr().expect("bound"));
    stop_watching(at, from);
    write(&conn, answer(1, "one"));
    wait_for_unread(at, from, answer(1, "one").len());
    server.peer.give_up(1, 0, None);
    // As an answer is unread, the connection ends with a reset.
    let end = conn.read(&mut [0]);
    assert!(matches!(end, Ok(0)) || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    server.send(2, Vec::new());
    let mut conn = server.accept();
    message(&mut conn).expect("a request on another connection");
    write(&conn, answer(2, "two"));
    assert_eq!(server.served(), (2, b"two".to_vec()));
}

// Guards against attempts that wait until their deadline for a machine that has vanished after it began to answer.
#[test]
fn a_silent_server_is_probed_where_unacknowledged_data_ends_a_connection() {
    let _set_up = resources();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("bound");
    for user_timeout in [Some(WAIT), None] {
        let connected = net::socket::connect(addr, user_timeout).expect("a connection");
        let socket = socket2::SockRef::from(connected.inner());
        assert_eq!(socket.keepalive().expect("an option"), user_timeout.is_some());
        assert_eq!(socket.tcp_user_timeout().expect("an option"), user_timeout);
    }
}
