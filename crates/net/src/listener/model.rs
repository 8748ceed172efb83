//! Model test of one client connection with a handler that answers in any order. Small cases run in all possible
//! sequences of events, larger ones in random sequences. Input may be split at any byte; answers may fail, be cut or
//! end the connection; the client may close its side, and the handler may drain, at any step.

#[path = "../../tests/common/tape.rs"]
mod tape;

use super::connection::{Client, Next};
use super::held::{HOLD_GRACE_US, LEAST_RATE};
use super::*;
use crate::clock::{Alarms, Clock};
use crate::http::NO_HEADERS;
use crate::socket::{Stream, events};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::rc::Rc;
use tape::Tape;

const BOUNDS: Bounds = Bounds { head: 2048, body: 2048 };

#[derive(Default)]
struct Streams {
    to_listener: VecDeque<u8>,
    client_closed: bool,
    to_client: Vec<u8>,
    /// The client does not read.
    blocked: bool,
    shut_down: bool,
}

/// A simulated connection.
#[derive(Clone, Default)]
struct Pipe(Rc<RefCell<Streams>>);

impl Read for Pipe {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let mut streams = self.0.borrow_mut();
        match streams.to_listener.is_empty() {
            false => streams.to_listener.read(buf),
            true if streams.client_closed => Ok(0),
            true => Err(ErrorKind::WouldBlock.into()),
        }
    }
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut streams = self.0.borrow_mut();
        if streams.blocked {
            return Err(ErrorKind::WouldBlock.into());
        }
        streams.to_client.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Stream for Pipe {
    fn socket(&self) -> impl Read + Write {
        self.clone()
    }

    fn shutdown(&self, _: Shutdown) -> io::Result<()> {
        self.0.borrow_mut().shut_down = true;
        Ok(())
    }
}

/// A handler that keeps requests for the test to answer.
#[derive(Default)]
struct ManualHandler {
    unanswered: Mutex<Vec<(u64, String, Reply)>>,
    received: Mutex<Vec<(u64, String)>>,
    gone: Mutex<Vec<u64>>,
    draining: AtomicBool,
    drops_abandoned: AtomicBool,
}

impl Handler for ManualHandler {
    type Request = String;

    fn bounds(&self) -> Bounds {
        BOUNDS
    }

    fn timeouts(&self) -> ClientTimeouts {
        let (read_us, idle_us) = (60_000_000, 60_000_000);
        ClientTimeouts {
            first_request_us: None,
            read_us,
            write_us: read_us,
            idle_after_one_us: idle_us,
            idle_us,
        }
    }

    fn head(&self, head: &http::Request) -> Result<HeadAction<String>, Bad> {
        match head.target {
            "/bad" => Err(Bad { status: 404, what: "" }),
            "/now" => Ok(HeadAction::Answer(Answer::text(200, "/now"))),
            target => Ok(HeadAction::Accept(target.to_string())),
        }
    }

    fn handle(&self, id: u64, request: String, body: BufferedBody, reply: Reply) {
        let whole = format!("{request}{}", String::from_utf8_lossy(&body.bytes));
        self.received.lock().expect("not poisoned").push((id, whole.clone()));
        self.unanswered.lock().expect("not poisoned").push((id, whole, reply));
    }

    fn max_pipelined(&self) -> usize {
        3
    }

    fn drops_abandoned(&self) -> bool {
        self.drops_abandoned.load(Ordering::Relaxed)
    }

    fn client_gone(&self, id: u64) {
        self.gone.lock().expect("not poisoned").push(id);
    }

    fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    fn refusal(&self, bad: &Bad) -> Answer {
        Answer::text(bad.status, "")
    }
}

/// A choice of true or false; in random runs seldom true.
fn seldom(tape: &mut Tape) -> bool {
    let of = if tape.rng.is_some() { 8 } else { 2 };
    tape.pick(of) == 1
}

/// Requests of a client, with the body that the answer must have (empty: an error).
const REQUESTS: [(&str, &str); 7] = [
    ("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n", "/1"),
    ("POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", "/2abc"),
    ("POST /3 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n", "/3de"),
    ("GET /now HTTP/1.1\r\nHost: x\r\n\r\n", "/now"),
    ("GET /5 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "/5"),
    ("GET /bad HTTP/1.1\r\nHost: x\r\n\r\n", ""),
    ("no request at all\r\n\r\n", ""),
];

/// A fault planted to show that the checks find it.
#[derive(Clone, Copy, PartialEq, Debug)]
enum PlantedFault {
    /// An answer carries the body of another request.
    OutOfOrder,
    /// A cut answer is sent as a complete one.
    CutLooksWhole,
}

/// A connection that has just been accepted.
fn connect(
    resources: &Arc<Resources>,
    alarm: &Alarm,
    handler: &Arc<ManualHandler>,
) -> (Client<ManualHandler, Pipe>, Pipe) {
    let listener = Arc::new(Listener {
        resources: resources.clone(),
        handler: handler.clone(),
        addr: "127.0.0.1:1".parse().expect("an address"),
        open: Mutex::default(),
        waker: alarm.waker(),
        paused: AtomicBool::new(false),
        stopped: AtomicBool::new(false),
        closed: AtomicBool::new(false),
        idle_after_one: AtomicUsize::new(0),
        evicted_at: AtomicU64::new(u64::MAX / 2),
    });
    let connection = Arc::new(Connection {
        inbox: Arc::new(Mailbox::new(alarm.waker())),
        state: AtomicU8::new(State::Idle as u8),
        since: AtomicU64::new(0),
        opened_at: 0,
        request_count: AtomicU32::new(0),
        held: Held::default(),
    });
    let (pipe, fd) = (Pipe::default(), resources.fds.take(ConnectionKind::Client).expect("a descriptor"));
    (Client::new(pipe.clone(), listener, connection, fd), pipe)
}

/// Runs one connection whose client sends the requests `sent`, indexes into `REQUESTS`; returns what went wrong, if
/// anything. The first word says what:
///
/// | Word | Fault |
/// |---|---|
/// | `HEARD` | The handler received other requests than were sent, or in another order. |
/// | `OWED` | At the end a request was not answered, and not reported as gone or reported so without cause. |
/// | `GARBLED` | What the client reads is not the complete head of an answer. |
/// | `UNFRAMED` | The head of an answer gives no length. |
/// | `UNASKED` | An answer follows the last one due: the connection was to be closed, or no request is left. |
/// | `MIXED` | An answer has not the body of its request, nor the start of it if one was cut. |
/// | `SHORT` | A body ends early although no answer was cut, or the connection has not ended. |
fn run(
    resources: &Arc<Resources>,
    alarm: &Alarm,
    tape: &mut Tape,
    sent: &[usize],
    planted: Option<PlantedFault>,
) -> Option<String> {
    let handler = Arc::new(ManualHandler::default());
    let (mut client, pipe) = connect(resources, alarm, &handler);
    let bytes: Vec<u8> = sent.iter().flat_map(|n| REQUESTS[*n].0.bytes()).collect();
    let split = tape.pick(bytes.len());
    let mut parts = vec![bytes[split..].to_vec(), bytes[..split].to_vec()];
    let (mut over, mut cut, mut client_left) = (false, false, false);
    // How often the handler may leave its requests unanswered while something else happens.
    let mut waits = 2;
    let mut answered: Vec<(u64, Vec<u8>)> = Vec::new();
    for _ in 0..40 {
        let mut events = 0;
        if let Some(part) = parts.pop() {
            pipe.0.borrow_mut().to_listener.extend(part);
            events = events::READABLE;
        } else if !client_left && seldom(tape) {
            client_left = true;
            pipe.0.borrow_mut().client_closed = true;
            events = events::READABLE | events::ENDED;
        }
        let waiting = handler.unanswered.lock().expect("not poisoned").len();
        if events == 0 && waiting == 0 && parts.is_empty() {
            break;
        }
        // Any of the waiting requests is answered, in some way.
        let wait = waiting > 0 && waits > 0 && tape.pick(2) == 1;
        waits -= usize::from(wait);
        if waiting > 0 && !wait {
            let (id, whole, reply) =
                handler.unanswered.lock().expect("not poisoned").remove(tape.pick(waiting));
            let mut answer = Answer::new(200, Vec::new(), whole.clone().into_bytes());
            match tape.pick(5) {
                1 => answer.status = 502,
                2 => answer.close = true,
                3 => (answer.cut, cut) = (true, true),
                4 => handler.draining.store(true, Ordering::Relaxed),
                _ => {}
            }
            if planted == Some(PlantedFault::OutOfOrder) && waiting > 1 {
                let other = &handler.unanswered.lock().expect("not poisoned")[0].1;
                answer.body = other.clone().into_bytes().into();
            }
            if planted == Some(PlantedFault::CutLooksWhole) && answer.cut {
                answer.cut = false;
                answer.body = whole.as_bytes()[..whole.len() / 2].to_vec().into();
            }
            answered.push((id, whole.into_bytes()));
            reply.send(answer);
        }
        let mut next = client.step(events);
        while next == Next::Again {
            next = client.step(0);
        }
        if next != Next::Wait {
            over = true;
            break;
        }
    }
    client.report_unanswered();
    let streams = pipe.0.borrow();
    let received = handler.received.lock().expect("not poisoned").clone();
    // Requests come to the handler complete and in order, and each is answered or reported as gone.
    let expected: Vec<&str> =
        sent.iter().map(|n| REQUESTS[*n].1).filter(|b| !["", "/now"].contains(b)).collect();
    if !expected.iter().zip(&received).all(|(e, r)| *e == r.1) || received.len() > expected.len() {
        return Some(format!("HEARD {received:?}"));
    }
    for (id, _) in &received {
        let gone = handler.gone.lock().expect("not poisoned").contains(id);
        let answered = answered.iter().any(|s| s.0 == *id);
        if over && !answered && (!gone || (!client_left && !cut)) {
            return Some(format!("OWED {id}"));
        }
    }
    // The client reads complete answers in the order of its requests, up to an end that it can recognise.
    let (mut rest, mut n, mut last) = (&streams.to_client[..], 0, false);
    while !rest.is_empty() {
        let mut slots = NO_HEADERS;
        let head = match http::response(rest, &mut slots, BOUNDS, false) {
            Ok(Some(head)) => head,
            other => return Some(format!("GARBLED {other:?}")),
        };
        let http::Framing::Length(length) = head.framing else { return Some("UNFRAMED".into()) };
        let close_requested = sent[..n.min(sent.len())].contains(&4);
        if last || close_requested || n >= sent.len() {
            return Some("UNASKED".into());
        }
        last = head.close;
        let body = &rest[head.len..rest.len().min(head.len + length)];
        let wanted = REQUESTS[sent[n]].1;
        let short = body.len() < length;
        let right = body == wanted.as_bytes() || (short && cut && wanted.as_bytes().starts_with(body));
        // An error answer of the listener itself ends the connection and has no body.
        let listener_error =
            body.is_empty() && last && (400..500).contains(&head.status) && wanted.is_empty();
        if !right && !listener_error {
            return Some(format!("MIXED answer {n}: {}", String::from_utf8_lossy(body)));
        }
        if short && !(cut && over) {
            return Some("SHORT".into());
        }
        rest = &rest[head.len + body.len()..];
        n += 1;
    }
    None
}

fn resources() -> Arc<Resources> {
    let clock = Clock::start();
    let alarms = Alarms::start(clock).expect("a timer");
    Arc::new(Resources::new(4000, 64, clock, alarms, Box::new(|_| {})))
}

/// Runs all sequences of events with the requests `sent`, indexes into `REQUESTS`.
/// Returns how many ran, and the first fault found.
fn run_all(sent: &[usize], planted: Option<PlantedFault>) -> (u64, Option<String>) {
    let (resources, alarm) = (resources(), Alarm::new(Clock::start()).expect("a timer"));
    let mut tape = Tape::new(None);
    let mut count = 0;
    loop {
        count += 1;
        if let Some(fault) = run(&resources, &alarm, &mut tape, sent, planted) {
            let picks: Vec<usize> = tape.picks.iter().map(|p| p.0).collect();
            return (count, Some(format!("{fault} in {picks:?}")));
        }
        if !tape.next_combination() {
            return (count, None);
        }
    }
}

#[test]
fn in_all_small_sequences_a_client_reads_whole_answers_in_its_order() {
    for sent in [&[0][..], &[1], &[2], &[6], &[0, 4], &[4, 0], &[3, 0], &[0, 5]] {
        let (count, fault) = run_all(sent, None);
        println!("{sent:?}: {count} sequences");
        assert_eq!(fault, None, "{sent:?}");
    }
}

#[test]
fn in_longer_random_sequences_a_client_reads_whole_answers_in_its_order() {
    let (resources, alarm) = (resources(), Alarm::new(Clock::start()).expect("a timer"));
    for seed in 0..4000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let sent: Vec<usize> = (0..rng.usize(2..7)).map(|_| rng.usize(0..REQUESTS.len())).collect();
        let mut tape = Tape::new(Some(rng));
        let fault = run(&resources, &alarm, &mut tape, &sent, None);
        assert_eq!(fault, None, "seed {seed}: {sent:?}");
    }
}

#[test]
fn answers_out_of_order_and_cut_ones_that_look_whole_are_seen() {
    for (planted, sent) in [(PlantedFault::OutOfOrder, &[0, 4][..]), (PlantedFault::CutLooksWhole, &[0])] {
        let (_, fault) = run_all(sent, Some(planted));
        println!("{planted:?}: {fault:?}");
        assert!(fault.is_some_and(|f| f.starts_with("MIXED")), "{planted:?}");
    }
}

/// Guards against an order that takes effect long after its caller has turned elsewhere: the process was stopped, and finds
/// the request and the end of its connection at once.
#[test]
fn a_request_whose_client_has_closed_already_is_dropped_if_the_handler_wants_that() {
    let (resources, alarm) = (resources(), Alarm::new(Clock::start()).expect("a timer"));
    for (request, drops) in [(0, false), (0, true), (1, false), (1, true)] {
        let handler = Arc::new(ManualHandler::default());
        handler.drops_abandoned.store(drops, Ordering::Relaxed);
        let (mut client, pipe) = connect(&resources, &alarm, &handler);
        let send = || pipe.0.borrow_mut().to_listener.extend(REQUESTS[request].0.bytes());
        let received = || handler.received.lock().expect("not poisoned").len();
        send();
        assert_eq!((client.step(events::READABLE), received()), (Next::Wait, 1), "its client waits");
        let (_, whole, reply) = handler.unanswered.lock().expect("not poisoned").remove(0);
        reply.send(Answer::text(200, whole));
        send();
        pipe.0.borrow_mut().client_closed = true;
        client.step(events::READABLE);
        assert_eq!(received(), if drops { 1 } else { 2 }, "request {request}");
    }
}

/// Guards against a request that is taken seconds after its program was asked to stop, and is cut off with the one before
/// it when the program's time is over: a client had sent it behind a request whose answer took long.
#[test]
fn a_draining_connection_takes_no_request_behind_one_that_waits() {
    let (resources, alarm) = (resources(), Alarm::new(Clock::start()).expect("a timer"));
    let handler = Arc::new(ManualHandler::default());
    let (mut client, pipe) = connect(&resources, &alarm, &handler);
    let send = |client: &mut Client<ManualHandler, Pipe>| {
        pipe.0.borrow_mut().to_listener.extend(REQUESTS[0].0.bytes());
        client.step(events::READABLE)
    };
    assert_eq!((send(&mut client), send(&mut client)), (Next::Wait, Next::Wait));
    handler.draining.store(true, Ordering::Relaxed);
    assert_eq!(send(&mut client), Next::Wait);
    let taken = std::mem::take(&mut *handler.unanswered.lock().expect("not poisoned"));
    assert_eq!(taken.len(), 2, "those that came before");
    taken.into_iter().for_each(|(_, whole, reply)| reply.send(Answer::text(200, whole)));
    assert_eq!(client.step(0), Next::Linger, "the connection ends with the last answer");
    assert_eq!(handler.received.lock().expect("not poisoned").len(), 2);
    let told = String::from_utf8_lossy(&pipe.0.borrow().to_client).into_owned();
    assert_eq!((told.matches("HTTP/1.1 200").count(), told.matches("Connection: close").count()), (2, 1));
}

/// A connection whose client has sent the request `sent`, an index into `REQUESTS`, and reads nothing.
fn asked(
    resources: &Arc<Resources>,
    handler: &Arc<ManualHandler>,
    sent: usize,
) -> (Client<ManualHandler, Pipe>, Pipe) {
    let (mut client, pipe) = connect(resources, &Alarm::new(Clock::start()).expect("a timer"), handler);
    pipe.0.borrow_mut().to_listener.extend(REQUESTS[sent].0.bytes());
    assert_eq!(client.step(events::READABLE), Next::Wait);
    (client, pipe)
}

fn answer_with(handler: &ManualHandler, body: crate::ring::Bytes) {
    let (_, _, reply) = handler.unanswered.lock().expect("not poisoned").remove(0);
    reply.send(Answer::new(200, Vec::new(), body));
}

const LONG_BYTES: usize = 1 << 20;

/// The room of an answer is free again only once its client has taken it or the connection is closed.
#[test]
fn an_evicted_connection_ends_and_what_it_held_is_free() {
    let (resources, handler) = (resources(), Arc::new(ManualHandler::default()));
    let (mut client, pipe) = asked(&resources, &handler, 0);
    pipe.0.borrow_mut().blocked = true;
    let lease = resources.memory.try_hold(LONG_BYTES);
    answer_with(&handler, BufferedBody { bytes: vec![0; LONG_BYTES], lease }.into());
    assert_eq!(client.step(0), Next::Wait);
    let held = &client.connection.held;
    assert!(held.bytes.load(Ordering::Relaxed) >= LONG_BYTES && resources.memory.used() >= LONG_BYTES);
    client.connection.inbox.post(ToConnection::Evict);
    assert_eq!(client.step(0), Next::Close);
    drop(client);
    assert_eq!(resources.memory.used(), 0);
}

/// The client took its answer while the order was on its way, and has sent its next request.
#[test]
fn a_connection_that_holds_nothing_any_more_is_not_evicted() {
    let (resources, handler) = (resources(), Arc::new(ManualHandler::default()));
    let (mut client, pipe) = asked(&resources, &handler, 0);
    client.connection.inbox.post(ToConnection::Evict);
    assert_eq!(client.step(0), Next::Wait);
    answer_with(&handler, b"/1".to_vec().into());
    assert_eq!(client.step(0), Next::Wait);
    assert!(pipe.0.borrow().to_client.starts_with(b"HTTP/1.1 200 "));
}

/// Its request has not run and never will, and the client is told so.
#[test]
fn a_connection_that_is_evicted_within_its_request_is_refused() {
    let (resources, handler) = (resources(), Arc::new(ManualHandler::default()));
    let (mut client, pipe) = connect(&resources, &Alarm::new(Clock::start()).expect("a timer"), &handler);
    let request = b"POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\na";
    pipe.0.borrow_mut().to_listener.extend(request);
    assert_eq!(client.step(events::READABLE), Next::Wait);
    client.connection.inbox.post(ToConnection::Evict);
    pipe.0.borrow_mut().to_listener.extend(b"bc");
    assert_eq!(client.step(events::READABLE), Next::Linger);
    assert!(pipe.0.borrow().to_client.starts_with(b"HTTP/1.1 503 "));
    assert!(handler.received.lock().expect("not poisoned").is_empty(), "it was not passed on");
}

/// A refusal would promise that the request has not run: only one that reads gets it.
#[test]
fn the_programs_own_long_answer_without_room_is_refused_only_where_nothing_was_changed() {
    let (resources, handler) = (resources(), Arc::new(ManualHandler::default()));
    for (sent, start) in [(0, b"HTTP/1.1 503 ".as_slice()), (1, b"")] {
        let (mut client, pipe) = asked(&resources, &handler, sent);
        let _all = resources.memory.hold(32 << 20);
        answer_with(&handler, vec![0; LONG_BYTES].into());
        let next = client.step(0);
        assert_eq!(next == Next::Linger, sent == 1, "{sent}");
        let told = &pipe.0.borrow().to_client;
        assert!(told.starts_with(start) && told.is_empty() == start.is_empty(), "{sent}");
    }
}

#[test]
fn only_those_who_hold_long_and_move_little_are_slow() {
    let held = Held::default();
    assert_eq!(held.slow_rate(10 * HOLD_GRACE_US), None, "it holds nothing");
    held.since.store(HOLD_GRACE_US, Ordering::Relaxed);
    assert_eq!(held.slow_rate(2 * HOLD_GRACE_US - 1), None, "not yet");
    assert_eq!(held.slow_rate(2 * HOLD_GRACE_US), Some(0));
    held.moved.store(LEAST_RATE as usize - 1, Ordering::Relaxed);
    assert_eq!(held.slow_rate(2 * HOLD_GRACE_US), Some(LEAST_RATE - 1));
    assert_eq!(held.slow_rate(3 * HOLD_GRACE_US), Some(LEAST_RATE / 2 - 1), "over the whole time");
    held.moved.store(LEAST_RATE as usize, Ordering::Relaxed);
    assert_eq!(held.slow_rate(2 * HOLD_GRACE_US), None);
}
