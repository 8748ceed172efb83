//! The whole of it on the loopback address: a desk that passes what it is asked to one server, by a wire that
//! knows answers by their id. All waits are bounded.

use may::io::CoIo;
use net::Micros;
use net::clock::{Alarms, Clock};
use net::door::{Answer, Desk, Door, Heard, Patience, Reply};
use net::errors::Progress;
use net::http::{self, Bad, Bounds};
use net::limits::{Fd, Held, Side};
use net::pool::{self, Ended, Job, Passage, Peer, Settings, Wire};
use net::room::Room;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(10);
const BOUNDS: Bounds = Bounds { head: 16 * 1024, body: 32 * 1024 * 1024 };

/// Each test has its own: where one takes all descriptors, the answers of others would end their connections.
fn room() -> Arc<Room> {
    room_of(4000)
}

fn room_of(sockets: usize) -> Arc<Room> {
    net::set_up();
    let clock = Clock::start();
    let alarms = Alarms::start(clock).expect("a timer");
    Arc::new(Room::new(sockets, 1024, clock, alarms, Box::new(|what| eprintln!("{what}"))))
}

// ---- the wire, alone ----

/// Passes on what has ended.
struct ById {
    told: Mutex<Sender<Ended<ById>>>,
    /// Called first, before anything is passed on.
    first: OnceLock<Box<dyn Fn() + Send + Sync>>,
}

impl Wire for ById {
    type Note = Vec<u8>;
    type Said = ();

    fn last_lines(&self, job: &Job<Vec<u8>>, _: Micros, out: &mut Vec<u8>) {
        out.extend_from_slice(&[b"X-Id: ", job.note.as_slice(), b"\r\n"].concat());
    }

    fn heard(&self, job: &Job<Vec<u8>>, head: &http::Response) -> pool::Heard<()> {
        let mine = http::header(head.headers, "X-Id") == Some(&job.note);
        if mine { pool::Heard::Mine(()) } else { pool::Heard::Surplus }
    }

    fn ended(&self, ended: Ended<ById>) {
        if let Some(first) = self.first.get() {
            first();
        }
        let _ = self.told.lock().expect("whole").send(ended);
    }
}

struct Server {
    listener: TcpListener,
    peer: Peer<ById>,
    wire: Arc<ById>,
    clock: Clock,
    ended: Receiver<Ended<ById>>,
}

impl Server {
    fn start() -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (told, ended) = channel();
        let settings = Settings {
            dial_us: 5_000_000,
            answer_us: 5_000_000,
            idle_us: 30_000_000,
            most: 10,
            silence: Some(WAIT),
            bounds: BOUNDS,
        };
        let addr = listener.local_addr().expect("bound");
        let wire = Arc::new(ById { told: Mutex::new(told), first: OnceLock::new() });
        let room = room();
        let clock = room.clock;
        let peer = Peer::start(addr, room, wire.clone(), settings);
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
        self.ended.recv_timeout(WAIT).expect("told")
    }

    fn served(&self) -> (u64, Vec<u8>) {
        let ended = self.ended();
        (ended.id, ended.outcome.expect("an answer").body)
    }
}

fn job(clock: Clock, method: &str, id: u64, body: Vec<u8>) -> Job<Vec<u8>> {
    let head = format!("{method} /{id} HTTP/1.1\r\nHost: x\r\n").into_bytes();
    let passage = Arc::new(Passage { head, body: Held { bytes: body, lease: None } });
    Job {
        id,
        attempt: 0,
        passage,
        again: false,
        until: clock.now() + 10_000_000,
        note: id.to_string().into_bytes(),
    }
}

/// A head and its body of the length that it tells; None at the end.
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

fn say(conn: &BufReader<TcpStream>, bytes: impl AsRef<[u8]>) {
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
    say(&conn, answer(1, "one"));
    assert_eq!(server.served(), (1, b"one".to_vec()));
    server.send(2, Vec::new());
    message(&mut conn).expect("a request on the same connection");
    say(&conn, answer(1, "one once more"));
    say(&conn, answer(2, "two"));
    assert_eq!(server.served(), (2, b"two".to_vec()));
    assert!(message(&mut conn).is_none(), "ended");
    server.send(3, Vec::new());
    let mut conn = server.accept();
    message(&mut conn).expect("a request");
    // Nothing but an answer to another: this attempt has had none.
    say(&conn, answer(2, "two once more"));
    drop(conn);
    let error = server.ended().outcome.err().expect("no answer");
    assert_eq!(error.progress, Progress::Written);
}

/// The next is sent while the wire is being told of the answer, on the coroutines' own thread: no order comes
/// before that one.
#[test]
fn what_is_sent_as_soon_as_an_answer_is_known_goes_over_the_same_connection() {
    let server = Server::start();
    let (peer, clock, sent) = (server.peer.clone(), server.clock, AtomicBool::new(false));
    let first = Box::new(move || {
        if !sent.swap(true, Ordering::Relaxed) {
            assert!(peer.send(job(clock, "POST", 2, Vec::new())));
        }
    });
    assert!(server.wire.first.set(first).is_ok());
    server.send(1, Vec::new());
    let mut conn = server.accept();
    message(&mut conn).expect("a request");
    say(&conn, answer(1, "one"));
    message(&mut conn).expect("a request on the same connection");
    say(&conn, answer(2, "two"));
    assert_eq!((server.served(), server.served()), ((1, b"one".to_vec()), (2, b"two".to_vec())));
    server.listener.set_nonblocking(true).expect("an option");
    assert!(
        server.listener.accept().is_err_and(|e| e.kind() == ErrorKind::WouldBlock),
        "no other was opened"
    );
}

#[test]
fn an_answer_cut_short_is_never_one() {
    let server = Server::start();
    server.send(1, Vec::new());
    let mut conn = server.accept();
    message(&mut conn).expect("a request");
    let whole = answer(1, &"x".repeat(1_000_000));
    say(&conn, &whole.as_bytes()[..whole.len() - 1]);
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
    say(&conn, format!("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: {}\r\n\r\n", body.len()));
    say(&conn, &body);
    assert!(server.served() == (1, large));
    server.send_by("HEAD", 2, Vec::new());
    let (head, _) = message(&mut conn).expect("a request");
    assert!(!head.contains("Content-Length"), "{head}");
    say(&conn, "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 500\r\n\r\n");
    assert_eq!(server.served(), (2, Vec::new()));
}

// ---- the door, alone ----

/// Hands requests to the test, which answers them.
struct Hand {
    asked: Mutex<Sender<(String, Held, Reply)>>,
    withdrawn: Mutex<Sender<u64>>,
    draining: AtomicBool,
    idle_us: AtomicU64,
    read_us: AtomicU64,
    /// Called whenever it is asked for its patience.
    asked_patience: OnceLock<Box<dyn Fn() + Send + Sync>>,
}

impl Desk for Hand {
    type Ask = String;

    fn bounds(&self) -> Bounds {
        BOUNDS
    }

    fn patience(&self) -> Patience {
        if let Some(call) = self.asked_patience.get() {
            call();
        }
        let (idle_us, read_us) = (self.idle_us.load(Ordering::Relaxed), self.read_us.load(Ordering::Relaxed));
        Patience { first_us: None, read_us, write_us: 5_000_000, once_idle_us: idle_us, idle_us }
    }

    fn head(&self, head: &http::Request) -> Result<Heard<String>, Bad> {
        match head.target {
            "/bad" => Err(Bad { status: 404, what: "no route" }),
            "/now" => Ok(Heard::Say(Answer::text(200, "now"))),
            target => Ok(Heard::Take(target.to_string())),
        }
    }

    fn asked(&self, _: u64, ask: String, body: Held, reply: Reply) {
        let _ = self.asked.lock().expect("whole").send((ask, body, reply));
    }

    fn withdrawn(&self, id: u64) {
        let _ = self.withdrawn.lock().expect("whole").send(id);
    }

    fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    fn refusal(&self, bad: &Bad) -> Answer {
        Answer::text(bad.status, bad.what)
    }
}

struct Open {
    room: Arc<Room>,
    desk: Arc<Hand>,
    addr: SocketAddr,
    asked: Receiver<(String, Held, Reply)>,
    withdrawn: Receiver<u64>,
}

fn open() -> Open {
    open_held().0
}

/// With the door itself.
fn open_held() -> (Open, Arc<Door<Hand>>) {
    open_held_in(room())
}

fn open_held_in(room: Arc<Room>) -> (Open, Arc<Door<Hand>>) {
    let ((tell, asked), (tell_gone, withdrawn)) = (channel(), channel());
    let desk = Hand {
        asked: Mutex::new(tell),
        withdrawn: Mutex::new(tell_gone),
        draining: AtomicBool::new(false),
        idle_us: AtomicU64::new(30_000_000),
        read_us: AtomicU64::new(30_000_000),
        asked_patience: OnceLock::new(),
    };
    let desk = Arc::new(desk);
    let any = "127.0.0.1:0".parse().expect("an address");
    let door = Door::start(any, room.clone(), desk.clone()).expect("a port");
    (Open { room, desk, addr: door.addr(), asked, withdrawn }, door)
}

impl Open {
    fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.addr).expect("connects");
        stream.set_read_timeout(Some(WAIT)).expect("an option");
        BufReader::new(stream)
    }

    fn asked(&self) -> (String, Held, Reply) {
        self.asked.recv_timeout(WAIT).expect("a request")
    }
}

#[test]
fn requests_sent_ahead_are_answered_in_their_order() {
    let door = open();
    let mut client = door.connect();
    let get = |target: &str| format!("GET {target} HTTP/1.1\r\nHost: x\r\n\r\n");
    say(&client, [get("/1"), get("/now"), get("/2")].concat());
    for (target, status) in [("/1", 200), ("/2", 503)] {
        let (asked, _, reply) = door.asked();
        assert_eq!(asked, target);
        reply.send(Answer::text(status, target));
    }
    let answers: Vec<Vec<u8>> = (0..3).map(|_| message(&mut client).expect("an answer").1).collect();
    assert_eq!(answers, [b"/1".to_vec(), b"now".to_vec(), b"/2".to_vec()]);
    say(&client, get("/lost"));
    drop(door.asked());
    assert!(message(&mut client).expect("an answer").0.starts_with("HTTP/1.1 502 "));
    say(&client, get("/left"));
    let (_, _, reply) = door.asked();
    drop(client);
    door.withdrawn.recv_timeout(WAIT).expect("told");
    reply.send(Answer::text(200, "to nobody"));
}

/// Descriptors run short between a request and its answer: what was sent ahead is left to be asked again.
#[test]
fn an_answer_where_descriptors_are_short_ends_its_connection_before_what_was_sent_ahead() {
    let door = open();
    let mut client = door.connect();
    say(&client, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    let (_, _, reply) = door.asked();
    let fds = &door.room.fds;
    let held: Vec<Fd> = std::iter::from_fn(|| (!fds.short()).then(|| fds.take(Side::Clients))?).collect();
    assert!(fds.short() && !held.is_empty());
    reply.send(Answer::text(200, "one"));
    let (head, body) = message(&mut client).expect("an answer");
    assert!(head.contains("Connection: close") && body == b"one", "{head}");
    assert_eq!(client.read(&mut [0]).expect("ended"), 0);
    assert!(door.asked.try_recv().is_err(), "not asked");
}

#[test]
fn bodies_of_both_kinds_come_whole_and_large_answers_leave_whole() {
    let door = open();
    let large: Vec<u8> = (0..9_000_000_u32).map(|n| (n % 253) as u8).collect();
    let mut client = door.connect();
    let mut chunked = b"POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in large.chunks(100_000) {
        chunked.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        chunked.extend_from_slice(chunk);
        chunked.extend_from_slice(b"\r\n");
    }
    chunked.extend_from_slice(b"0\r\n\r\n");
    say(&client, chunked);
    say(&client, format!("POST /l HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", large.len()));
    let mut writer = client.get_ref().try_clone().expect("a handle");
    let sent = large.clone();
    let sending = std::thread::spawn(move || writer.write_all(&sent).expect("taken"));
    for _ in 0..2 {
        let (_, body, reply) = door.asked();
        assert!(body.bytes == large);
        reply.send(Answer::new(200, Vec::new(), body.bytes));
        assert!(message(&mut client).expect("an answer").1 == large);
    }
    sending.join().expect("sent");
    say(&client, "HEAD /h HTTP/1.1\r\nHost: x\r\n\r\nGET /bad HTTP/1.1\r\nHost: x\r\n\r\n");
    door.asked().2.send(Answer::text(200, "unseen"));
    let mut rest = String::new();
    client.read_to_string(&mut rest).expect("up to the end");
    let (head, after) = rest.split_once("\r\n\r\n").expect("a head");
    assert!(head.contains("Content-Length: 6"), "{head}");
    assert!(after.starts_with("HTTP/1.1 404 ") && after.contains("Connection: close"), "{after}");
}

#[test]
fn half_a_request_is_told_so_and_a_draining_desk_parts_with_all() {
    let door = open();
    door.desk.read_us.store(200_000, Ordering::Relaxed);
    let mut half = door.connect();
    say(&half, "GET /half HTTP/1.1\r\n");
    assert!(message(&mut half).expect("an answer").0.starts_with("HTTP/1.1 408 "));
    let (mut idle, mut busy) = (door.connect(), door.connect());
    say(&idle, "GET /now HTTP/1.1\r\nHost: x\r\n\r\n");
    message(&mut idle).expect("an answer");
    say(&busy, "GET /busy HTTP/1.1\r\nHost: x\r\n\r\n");
    let (_, _, reply) = door.asked();
    door.desk.draining.store(true, Ordering::Relaxed);
    assert!(message(&mut idle).is_none(), "closed");
    reply.send(Answer::text(200, "still"));
    let (head, body) = message(&mut busy).expect("an answer");
    assert!(head.contains("Connection: close") && body == b"still");
    assert!(message(&mut busy).is_none());
}

#[test]
fn a_door_that_is_shut_takes_what_had_come_and_nobody_after() {
    let (door, held) = open_held();
    let mut early = door.connect();
    say(&early, "GET /early HTTP/1.1\r\nHost: x\r\n\r\n");
    let (_, _, reply) = door.asked();
    held.shut();
    // Refused, or ended unread, once the listener is gone; until then it is served like any other.
    let mut late = Vec::new();
    while let Ok(stream) = TcpStream::connect(door.addr) {
        late.push(stream);
        assert!(late.len() < 100_000, "the door stays open");
    }
    // The early one, and what the system lets wait.
    assert!(held.count() <= 1 + 1025, "{} taken", held.count());
    reply.send(Answer::text(200, "still"));
    assert_eq!(message(&mut early).expect("an answer").1, b"still");
    say(&early, "GET /more HTTP/1.1\r\nHost: x\r\n\r\n");
    door.asked().2.send(Answer::text(200, "more"));
    assert_eq!(message(&mut early).expect("an answer").1, b"more", "who is in stays in");
    drop((early, late));
    let until = std::time::Instant::now() + WAIT;
    while held.count() > 0 {
        assert!(std::time::Instant::now() < until, "all have left");
        std::thread::yield_now();
    }
}

/// Where descriptors are short the desk is asked for its patience with each connection that is taken. Here it
/// shuts the door, and begins to connect once more each time: there is always one that waits to be taken.
#[test]
fn a_door_that_is_shut_is_not_held_open_by_those_who_go_on_connecting() {
    let (door, held) = open_held_in(room_of(40_000));
    let fds = &door.room.fds;
    let leaves: Vec<Fd> = std::iter::from_fn(|| (!fds.short()).then(|| fds.take(Side::Clients))?).collect();
    let (begun, addr) = (Arc::new(Mutex::new(Vec::new())), door.addr);
    let more = begun.clone();
    let call = Box::new(move || {
        held.shut();
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_nonblocking(true).expect("an option");
        let _ = socket.connect(&addr.into());
        more.lock().expect("whole").push(socket);
    });
    assert!(door.desk.asked_patience.set(call).is_ok());
    let until = std::time::Instant::now() + WAIT;
    let refused = |e: std::io::Error| e.kind() == ErrorKind::ConnectionRefused;
    while !TcpStream::connect_timeout(&addr, WAIT).is_err_and(refused) {
        assert!(std::time::Instant::now() < until, "the door stays open");
    }
    let begun = begun.lock().expect("whole").len();
    // Each that is taken asks once or twice, as it comes and as it ends: 1025 may have waited.
    assert!(begun <= 2500, "{begun} after it was shut");
    drop(leaves);
}

#[test]
fn a_cut_answer_cannot_pass_for_whole_and_a_paced_one_comes_whole() {
    let door = open();
    let get = |target: &str| format!("GET {target} HTTP/1.1\r\nHost: x\r\n\r\n");
    let mut client = door.connect();
    say(&client, [get("/slow"), get("/next")].concat());
    let body: Vec<u8> = (0..1000_u32).map(|n| (n % 251) as u8).collect();
    door.asked().2.send(Answer { pace_us: 80_000, ..Answer::new(200, Vec::new(), body.clone()) });
    door.asked().2.send(Answer::text(200, "next"));
    assert!(message(&mut client).expect("an answer").1 == body);
    assert_eq!(message(&mut client).expect("an answer").1, b"next");
    say(&client, get("/cut"));
    door.asked().2.send(Answer { cut: true, ..Answer::new(200, Vec::new(), body.clone()) });
    let mut rest = Vec::new();
    client.read_to_end(&mut rest).expect("up to the end");
    let rest = String::from_utf8_lossy(&rest).into_owned();
    let (head, half) = rest.split_once("\r\n\r\n").expect("a head");
    assert!(head.contains("Content-Length: 1000") && half.len() < 1000, "{head}");
    let mut client = door.connect();
    say(&client, get("/closed"));
    door.asked().2.send(Answer { cut: true, ..Answer::new(200, Vec::new(), Vec::new()) });
    assert_eq!(client.read_to_end(&mut Vec::new()).expect("up to the end"), 0);
}

// ---- where the system's word is lost all the same ----

struct Number(RawFd);

impl AsRawFd for Number {
    fn as_raw_fd(&self) -> RawFd {
        self.0
    }
}

/// What the system tells of this program's socket at `at` whose other end is at `from`.
fn row(at: SocketAddr, from: SocketAddr) -> Vec<String> {
    let hex = |addr: SocketAddr| match addr {
        SocketAddr::V4(v4) => format!("{:08X}:{:04X}", u32::from_ne_bytes(v4.ip().octets()), v4.port()),
        SocketAddr::V6(_) => unreachable!("loopback"),
    };
    let table = std::fs::read_to_string("/proc/net/tcp").expect("sockets");
    let mut rows = table.lines().map(|l| l.split_whitespace().map(str::to_string).collect::<Vec<_>>());
    rows.find(|r| r[1] == hex(at) && r[2] == hex(from)).expect("that one")
}

/// Ends the watch of that socket: from here on its actor hears of nothing but its bell.
fn deafen(at: SocketAddr, from: SocketAddr) {
    let link = format!("socket:[{}]", row(at, from)[9]);
    let mut fds = std::fs::read_dir("/proc/self/fd").expect("descriptors").flatten();
    let fd = fds.find(|e| std::fs::read_link(e.path()).is_ok_and(|to| to.as_os_str() == link.as_str()));
    let number = fd.expect("open").file_name().into_string().expect("a number").parse().expect("a number");
    // Watched already, it is refused, and what was made for it ends the watch as it is dropped.
    assert!(CoIo::new(Number(number)).is_err());
}

/// Until so many bytes lie there unread.
fn lie_unread(at: SocketAddr, from: SocketAddr, bytes: usize) {
    let until = std::time::Instant::now() + WAIT;
    let unread = || usize::from_str_radix(&row(at, from)[4][9..], 16).expect("a number");
    while unread() != bytes {
        assert!(std::time::Instant::now() < until, "they have come and were not read");
        std::thread::yield_now();
    }
}

/// Bound: the time that the desk leaves idle connections, and a look.
#[test]
fn a_request_that_no_event_tells_of_is_served_when_its_connection_is_looked_at() {
    let door = open();
    let mut client = door.connect();
    say(&client, "GET /now HTTP/1.1\r\nHost: x\r\n\r\n");
    message(&mut client).expect("an answer");
    let (at, from) = (door.addr, client.get_ref().local_addr().expect("bound"));
    deafen(at, from);
    let request = "GET /late HTTP/1.1\r\nHost: x\r\n\r\n";
    say(&client, request);
    lie_unread(at, from, request.len());
    door.desk.idle_us.store(1, Ordering::Relaxed);
    let (asked, _, reply) = door.asked();
    door.desk.idle_us.store(30_000_000, Ordering::Relaxed);
    reply.send(Answer::text(200, "late"));
    assert_eq!((asked.as_str(), message(&mut client).expect("an answer").1), ("/late", b"late".to_vec()));
}

/// Bound: the time of the attempt, which whoever sent it keeps.
#[test]
fn an_attempt_whose_answer_no_event_tells_of_can_be_given_up() {
    let server = Server::start();
    server.send(1, Vec::new());
    let mut conn = server.accept();
    message(&mut conn).expect("a request");
    let (at, from) =
        (conn.get_ref().peer_addr().expect("bound"), server.listener.local_addr().expect("bound"));
    deafen(at, from);
    say(&conn, answer(1, "one"));
    lie_unread(at, from, answer(1, "one").len());
    server.peer.give_up(1, 0, None);
    // With an answer unread it ends by a reset.
    let end = conn.read(&mut [0]);
    assert!(matches!(end, Ok(0)) || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    server.send(2, Vec::new());
    let mut conn = server.accept();
    message(&mut conn).expect("a request on another connection");
    say(&conn, answer(2, "two"));
    assert_eq!(server.served(), (2, b"two".to_vec()));
}
