//! Tests of the actor of a server, which hand it messages in a chosen order.

use super::*;
use crate::clock::{Alarm, Alarms, Clock};
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Mutex, mpsc};

/// Limit of each wait; only a hang reaches it.
const WAIT: Duration = Duration::from_secs(10);

/// Sends the outcome of each attempt to the test: the status, or the error.
struct RecordingWire(Mutex<mpsc::Sender<Outcome>>);

type Outcome = Result<u16, AttemptError>;

impl Wire for RecordingWire {
    type Note = ();
    type HeadInfo = ();

    fn attempt_headers(&self, _: &Job<()>, _: Micros, _: &mut Vec<u8>) {}

    fn response_head(&self, _: &Job<()>, _: &http::Response) -> ResponseMatch<()> {
        ResponseMatch::Expected(())
    }

    fn ended(&self, ended: Ended<RecordingWire>) {
        let outcome = ended.outcome.map(|served| served.status);
        let _ = self.0.lock().expect("not poisoned").send(outcome);
    }
}

fn job(clock: Clock, id: u64, attempt: u32, same_server_retry: bool) -> Job<()> {
    let request =
        Arc::new(ForwardedRequest { head: b"GET / HTTP/1.1\r\n".to_vec(), body: BufferedBody::default() });
    Job { id, attempt, request, same_server_retry, until: clock.now() + 10_000_000, note: () }
}

/// A server's actor without connections, and the outcomes of its attempts. No message of a connection reaches the
/// actor: the test hands it those that it is to have handled.
fn new_server(addr: SocketAddr) -> (Server<RecordingWire>, mpsc::Receiver<Outcome>) {
    crate::set_up();
    let clock = Clock::start();
    let alarms = Alarms::start(clock).expect("a timer");
    let resources = Arc::new(Resources::new(1000, 64, clock, alarms, Box::new(|_| {})));
    let settings = Settings {
        dial_us: 100_000,
        answer_us: Some(100_000),
        idle_us: 1_000_000,
        max_connections: 1000,
        tcp_user_timeout: None,
        bounds: Bounds { head: 4096, body: 4096 },
    };
    let (outcomes, ended) = mpsc::channel();
    let wire = Arc::new(RecordingWire(Mutex::new(outcomes)));
    (Server::new(addr, resources, wire, settings, channel().0), ended)
}

/// A server's actor with one connection that has just ended with an attempt in its mailbox.
fn server(listener: &TcpListener) -> Server<RecordingWire> {
    let (mut server, _) = new_server(listener.local_addr().expect("bound"));
    let clock = server.resources.clock;
    let inbox = Arc::new(Mailbox::new(Alarm::new(clock).expect("a timer").waker()));
    inbox.post(ToConn::Carry(job(clock, 5, 0, false)));
    server.conns.insert(1, Conn { inbox, connected: true, job: Some((5, 0)) });
    server.busy.insert((5, 0), 1);
    server.last_conn = 1;
    server
}

/// Otherwise the attempt would be lost, and its client would wait until its deadline.
#[test]
fn an_attempt_handed_to_a_connection_that_has_ended_goes_to_another() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut server = server(&listener);
    server.handle(ToServer::Ended { conn: 1, unsent: None });
    assert_eq!(server.busy, HashMap::from([((5, 0), 2)]));
    assert!(server.conns.contains_key(&2) && !server.conns.contains_key(&1));
    assert!(listener.accept().is_ok());
}

#[test]
fn a_connection_that_has_rested_goes_before_one_that_was_just_used() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut server = server(&listener);
    let now = server.resources.clock.now();
    let idle = |(conn, since)| Idle { conn, since, until: None };
    server.idle = [(1, now - 50_000), (2, now - 20_000), (3, now), (4, now)].map(idle).into();
    let order: Vec<u64> = std::iter::from_fn(|| server.take_idle()).collect();
    assert_eq!(order, [2, 1, 4, 3]);
}

/// On the connection that carried the first attempt, a second answer to it could not be told from this one's
/// answer.
#[test]
fn a_second_attempt_of_a_request_gets_a_connection_of_its_own() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut server = server(&listener);
    server.handle(ToServer::Free { conn: 1, keep_us: None });
    let request =
        Arc::new(ForwardedRequest { head: b"GET / HTTP/1.1\r\n".to_vec(), body: BufferedBody::default() });
    let until = server.resources.clock.now() + 1_000_000;
    for (id, same_server_retry, conn) in [(5, true, 2), (6, false, 1)] {
        let request = request.clone();
        server.handle(ToServer::Send(Job { id, attempt: 1, request, same_server_retry, until, note: () }));
        assert_eq!(server.busy[&(id, 1)], conn);
    }
}

/// Its request is already answered: if it were sent now, it would run for nobody, or twice.
#[test]
fn an_attempt_given_up_meanwhile_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut server = server(&listener);
    server.handle(ToServer::GiveUp { id: 5, attempt: 0, late: None });
    server.handle(ToServer::Ended { conn: 1, unsent: None });
    assert!(server.busy.is_empty() && server.conns.is_empty());
}

#[test]
fn a_connection_is_used_no_longer_than_its_server_keeps_it() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut server = server(&listener);
    server.settings.idle_us = 60_000_000;
    let now = server.resources.clock.now();
    let idle = |(conn, until)| Idle { conn, since: now - 30_000_000, until };
    server.idle = [(1, None), (2, Some(now - 1)), (3, Some(now + 9_000_000))].map(idle).into();
    server.close_expired();
    assert_eq!(server.idle.iter().map(|i| i.conn).collect::<Vec<u64>>(), [1, 3]);
    server.handle(ToServer::Set(Settings { idle_us: 1_000_000, ..server.settings.clone() }));
    assert_eq!(server.idle.iter().map(|i| i.conn).collect::<Vec<u64>>(), [3], "what it says goes first");
}

#[test]
fn no_more_connections_are_opened_than_there_may_be() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut server = server(&listener);
    server.settings.max_connections = 1;
    let request =
        Arc::new(ForwardedRequest { head: b"GET / HTTP/1.1\r\n".to_vec(), body: BufferedBody::default() });
    let until = server.resources.clock.now() + 1_000_000;
    server.handle(ToServer::Send(Job {
        id: 6,
        attempt: 0,
        request,
        same_server_retry: false,
        until,
        note: (),
    }));
    assert!(!server.busy.contains_key(&(6, 0)) && server.conns.len() == 1);
}

fn accept(listener: &TcpListener) -> BufReader<TcpStream> {
    let (stream, _) = listener.accept().expect("a connection");
    stream.set_read_timeout(Some(WAIT)).expect("an option");
    BufReader::new(stream)
}

fn read_request(stream: &mut BufReader<TcpStream>) {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(stream.read_line(&mut head).expect("a request") > 0);
    }
}

fn answer(stream: &mut BufReader<TcpStream>) {
    // An error shows that the connection has been cut; the outcome of the attempt says so too.
    let _ = stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
}

/// The actor handles `message` when its server is already at work on an attempt over a new connection, whose
/// `Connected` has not reached the actor yet. Returns the outcome of the attempt, which the server then answers.
fn outcome_of_an_attempt_at_work_when(
    message: impl FnOnce(SocketAddr) -> ToServer<RecordingWire>,
) -> Outcome {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("bound");
    let (mut server, ended) = new_server(addr);
    server.handle(ToServer::Send(job(server.resources.clock, 1, 0, false)));
    let mut stream = accept(&listener);
    read_request(&mut stream);
    server.handle(message(addr));
    answer(&mut stream);
    ended.recv_timeout(WAIT).expect("an outcome")
}

/// Otherwise a connection that comes up as its time to be established runs out is cut while its server works.
#[test]
fn a_connect_timeout_does_not_cut_an_attempt_at_work() {
    let outcome = outcome_of_an_attempt_at_work_when(|_| ToServer::DialTimeout { conn: 1 });
    assert!(matches!(outcome, Ok(200)), "{outcome:?}");
}

/// A server that drains finishes what it has begun.
#[test]
fn a_server_that_stops_taking_requests_keeps_an_attempt_at_work() {
    let outcome = outcome_of_an_attempt_at_work_when(|addr| ToServer::Update { addr, up: false });
    assert!(matches!(outcome, Ok(200)), "{outcome:?}");
}

/// A server that leaves the list may still finish what it has begun.
#[test]
fn a_server_that_leaves_the_list_keeps_an_attempt_at_work() {
    let outcome = outcome_of_an_attempt_at_work_when(|_| ToServer::Remove);
    assert!(matches!(outcome, Ok(200)), "{outcome:?}");
}

/// The same messages do end a connection that is not established: its attempt may still go to another server.
#[test]
fn a_connection_that_is_not_established_ends_and_its_attempt_never_ran() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(0).expect("listening");
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().expect("bound");
    let _fills_the_queue = TcpStream::connect(addr).expect("a connection");
    let (mut server, ended) = new_server(addr);
    let messages =
        [ToServer::DialTimeout { conn: 1 }, ToServer::Update { addr, up: false }, ToServer::Remove];
    for (id, message) in (1..).zip(messages) {
        server.up = true;
        server.handle(ToServer::Send(job(server.resources.clock, id, 0, false)));
        server.handle(message);
        let error = ended.recv_timeout(WAIT).expect("an outcome").expect_err("no connection");
        assert!(error.never_ran() && matches!(error.cause, Cause::DialTimeout | Cause::ServerGone));
        assert_eq!(error.connection.expect("one was opened").established_us, None);
    }
}

/// The answer of an attempt crosses the order to give the attempt up: the connection is as usable as after any answer.
#[test]
fn an_attempt_given_up_after_its_answer_does_not_cost_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (mut server, ended) = new_server(listener.local_addr().expect("bound"));
    server.handle(ToServer::Send(job(server.resources.clock, 1, 0, false)));
    let mut stream = accept(&listener);
    read_request(&mut stream);
    answer(&mut stream);
    assert!(matches!(ended.recv_timeout(WAIT).expect("an outcome"), Ok(200)));
    server.handle(ToServer::GiveUp { id: 1, attempt: 0, late: None });
    server.handle(ToServer::Free { conn: 1, keep_us: None });
    server.handle(ToServer::Send(job(server.resources.clock, 2, 0, false)));
    read_request(&mut stream);
    answer(&mut stream);
    assert!(matches!(ended.recv_timeout(WAIT).expect("an outcome"), Ok(200)));
}
