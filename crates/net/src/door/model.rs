//! One client's connection before a desk that answers in any order: all courses at small size, by chance at larger.
//! What comes may be split at each byte; the desk's answers may fail, be cut, or end the connection; the client
//! may close its side, and the desk may drain, at any step.

#[path = "../../tests/common/tape.rs"]
mod tape;

use super::connection::{Client, Turn};
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
struct Ends {
    to_door: VecDeque<u8>,
    closed: bool,
    to_client: Vec<u8>,
    over: bool,
}

#[derive(Clone, Default)]
struct Pipe(Rc<RefCell<Ends>>);

impl Read for Pipe {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let mut ends = self.0.borrow_mut();
        match ends.to_door.is_empty() {
            false => ends.to_door.read(buf),
            true if ends.closed => Ok(0),
            true => Err(ErrorKind::WouldBlock.into()),
        }
    }
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.borrow_mut().to_client.extend_from_slice(bytes);
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

    fn end(&self, _: Shutdown) -> io::Result<()> {
        self.0.borrow_mut().over = true;
        Ok(())
    }
}

/// Keeps what it is asked.
#[derive(Default)]
struct Hand {
    asked: Mutex<Vec<(u64, String, Reply)>>,
    heard: Mutex<Vec<(u64, String)>>,
    withdrawn: Mutex<Vec<u64>>,
    draining: AtomicBool,
}

impl Desk for Hand {
    type Ask = String;

    fn bounds(&self) -> Bounds {
        BOUNDS
    }

    fn patience(&self) -> Patience {
        let (read_us, idle_us) = (60_000_000, 60_000_000);
        Patience { first_us: None, read_us, write_us: read_us, once_idle_us: idle_us, idle_us }
    }

    fn head(&self, head: &http::Request) -> Result<super::Heard<String>, Bad> {
        match head.target {
            "/bad" => Err(Bad { status: 404, what: "" }),
            "/now" => Ok(super::Heard::Say(Answer::text(200, "/now"))),
            target => Ok(super::Heard::Take(target.to_string())),
        }
    }

    fn asked(&self, id: u64, ask: String, body: Held, reply: Reply) {
        let whole = format!("{ask}{}", String::from_utf8_lossy(&body.bytes));
        self.heard.lock().expect("whole").push((id, whole.clone()));
        self.asked.lock().expect("whole").push((id, whole, reply));
    }

    fn abreast(&self) -> usize {
        3
    }

    fn withdrawn(&self, id: u64) {
        self.withdrawn.lock().expect("whole").push(id);
    }

    fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    fn refusal(&self, bad: &Bad) -> Answer {
        Answer::text(bad.status, "")
    }
}

/// Yes or no; by chance seldom yes.
fn seldom(tape: &mut Tape) -> bool {
    let of = if tape.rng.is_some() { 8 } else { 2 };
    tape.pick(of) == 1
}

/// What a client sends; what its answer must bear; whether the connection must end with it.
const REQUESTS: [(&str, &str); 7] = [
    ("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n", "/1"),
    ("POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", "/2abc"),
    ("POST /3 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n", "/3de"),
    ("GET /now HTTP/1.1\r\nHost: x\r\n\r\n", "/now"),
    ("GET /5 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "/5"),
    ("GET /bad HTTP/1.1\r\nHost: x\r\n\r\n", ""),
    ("no request at all\r\n\r\n", ""),
];

#[derive(Clone, Copy, PartialEq, Debug)]
enum Plant {
    OutOfOrder,
    CutLooksWhole,
}

/// One connection; what of it is wrong.
fn course(
    room: &Arc<Room>,
    alarm: &Alarm,
    tape: &mut Tape,
    sent: &[usize],
    plant: Option<Plant>,
) -> Option<String> {
    let desk = Arc::new(Hand::default());
    let door = Arc::new(Door {
        room: room.clone(),
        desk: desk.clone(),
        addr: "127.0.0.1:1".parse().expect("an address"),
        open: Mutex::default(),
        bell: alarm.bell(),
        paused: AtomicBool::new(false),
        shut: AtomicBool::new(false),
        sitting: AtomicUsize::new(0),
        parted_at: AtomicU64::new(u64::MAX / 2),
    });
    let known = Arc::new(Known {
        inbox: Arc::new(Mailbox::new(alarm.bell())),
        doing: AtomicU8::new(Doing::Idle as u8),
        since: AtomicU64::new(0),
        born: 0,
        asked: AtomicU32::new(0),
    });
    let (pipe, fd) = (Pipe::default(), room.fds.take(Side::Clients).expect("room"));
    let mut client = Client::new(pipe.clone(), door, known, fd);
    let bytes: Vec<u8> = sent.iter().flat_map(|n| REQUESTS[*n].0.bytes()).collect();
    let split = tape.pick(bytes.len());
    let mut parts = vec![bytes[split..].to_vec(), bytes[..split].to_vec()];
    let (mut over, mut cut, mut left) = (false, false, false);
    // So often the desk lets something else come first.
    let mut waits = 2;
    let mut said: Vec<(u64, Vec<u8>)> = Vec::new();
    for _ in 0..40 {
        let mut seen = 0;
        if let Some(part) = parts.pop() {
            pipe.0.borrow_mut().to_door.extend(part);
            seen = events::READABLE;
        } else if !left && seldom(tape) {
            left = true;
            pipe.0.borrow_mut().closed = true;
            seen = events::READABLE | events::ENDED;
        }
        let waiting = desk.asked.lock().expect("whole").len();
        if seen == 0 && waiting == 0 && parts.is_empty() {
            break;
        }
        // Any of those that wait is answered, in some way.
        let wait = waiting > 0 && waits > 0 && tape.pick(2) == 1;
        waits -= usize::from(wait);
        if waiting > 0 && !wait {
            let (id, whole, reply) = desk.asked.lock().expect("whole").remove(tape.pick(waiting));
            let mut answer = Answer::new(200, Vec::new(), whole.clone().into_bytes());
            match tape.pick(5) {
                1 => answer.status = 502,
                2 => answer.close = true,
                3 => (answer.cut, cut) = (true, true),
                4 => desk.draining.store(true, Ordering::Relaxed),
                _ => {}
            }
            if plant == Some(Plant::OutOfOrder) && waiting > 1 {
                let other = &desk.asked.lock().expect("whole")[0].1;
                answer.body = other.clone().into_bytes().into();
            }
            if plant == Some(Plant::CutLooksWhole) && answer.cut {
                answer.cut = false;
                answer.body = whole.as_bytes()[..whole.len() / 2].to_vec().into();
            }
            said.push((id, whole.into_bytes()));
            reply.send(answer);
        }
        let mut turn = client.turn(seen);
        while turn == Turn::Again {
            turn = client.turn(0);
        }
        if turn != Turn::Wait {
            over = true;
            break;
        }
    }
    client.leave();
    let (ends, heard) = (pipe.0.borrow(), desk.heard.lock().expect("whole").clone());
    // Each request that the desk had is answered by it or withdrawn, and is whole and in its order.
    let expected: Vec<&str> =
        sent.iter().map(|n| REQUESTS[*n].1).filter(|b| !["", "/now"].contains(b)).collect();
    if !expected.iter().zip(&heard).all(|(e, h)| *e == h.1) || heard.len() > expected.len() {
        return Some(format!("HEARD {heard:?}"));
    }
    for (id, _) in &heard {
        let gone = desk.withdrawn.lock().expect("whole").contains(id);
        let answered = said.iter().any(|s| s.0 == *id);
        if over && !answered && (!gone || (!left && !cut)) {
            return Some(format!("OWED {id}"));
        }
    }
    // What the client reads: whole answers, in the order of its requests, until an end that shows.
    let (mut rest, mut n, mut last) = (&ends.to_client[..], 0, false);
    while !rest.is_empty() {
        let mut slots = NO_HEADERS;
        let head = match http::response(rest, &mut slots, BOUNDS, false) {
            Ok(Some(head)) => head,
            other => return Some(format!("GARBLED {other:?}")),
        };
        let http::Framing::Length(length) = head.framing else { return Some("UNFRAMED".into()) };
        let parted = sent[..n.min(sent.len())].contains(&4);
        if last || parted || n >= sent.len() {
            return Some("UNASKED".into());
        }
        last = head.close;
        let body = &rest[head.len..rest.len().min(head.len + length)];
        let wanted = REQUESTS[sent[n]].1;
        let short = body.len() < length;
        let right = body == wanted.as_bytes() || (short && cut && wanted.as_bytes().starts_with(body));
        // An answer of the door's own ends the connection and bears nothing.
        let own = body.is_empty() && last && (400..500).contains(&head.status) && wanted.is_empty();
        if !right && !own {
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

fn room() -> Arc<Room> {
    let clock = Clock::start();
    let alarms = Alarms::start(clock).expect("a timer");
    Arc::new(Room::new(4000, 64, clock, alarms, Box::new(|_| {})))
}

/// All courses of what is sent; how many, and the first with a fault.
fn all(sent: &[usize], plant: Option<Plant>) -> (u64, Option<String>) {
    let (room, alarm) = (room(), Alarm::new(Clock::start()).expect("a timer"));
    let mut tape = Tape::new(None);
    let mut count = 0;
    loop {
        count += 1;
        if let Some(fault) = course(&room, &alarm, &mut tape, sent, plant) {
            let picks: Vec<usize> = tape.picks.iter().map(|p| p.0).collect();
            return (count, Some(format!("{fault} in {picks:?}")));
        }
        if !tape.turn_over() {
            return (count, None);
        }
    }
}

#[test]
fn in_all_small_courses_a_client_reads_whole_answers_in_its_order() {
    for sent in [&[0][..], &[1], &[2], &[6], &[0, 4], &[4, 0], &[3, 0], &[0, 5]] {
        let (count, fault) = all(sent, None);
        println!("{sent:?}: {count} courses");
        assert_eq!(fault, None, "{sent:?}");
    }
}

#[test]
fn so_it_does_in_longer_courses_by_chance() {
    let (room, alarm) = (room(), Alarm::new(Clock::start()).expect("a timer"));
    for seed in 0..4000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let sent: Vec<usize> = (0..rng.usize(2..7)).map(|_| rng.usize(0..REQUESTS.len())).collect();
        let mut tape = Tape::new(Some(rng));
        let fault = course(&room, &alarm, &mut tape, &sent, None);
        assert_eq!(fault, None, "seed {seed}: {sent:?}");
    }
}

#[test]
fn answers_out_of_order_and_cut_ones_that_look_whole_are_seen() {
    for (plant, sent) in [(Plant::OutOfOrder, &[0, 4][..]), (Plant::CutLooksWhole, &[0])] {
        let (_, fault) = all(sent, Some(plant));
        println!("{plant:?}: {fault:?}");
        assert!(fault.is_some_and(|f| f.starts_with("MIXED")), "{plant:?}");
    }
}
