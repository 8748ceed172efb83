//! The budget for memory that others make a program hold, and answers that wait for room in it.

use net::Micros;
use net::http::{self, Body, Bounds, Framing};
use net::memory::{BufferedBody, Lease, MAX_SMALL_BYTES, Memory, Reservation, Reserver, Ticket};
use net::pool::exchange::{Exchange, ReadResult};
use net::pool::{Ended, ForwardedRequest, Job, ResponseMatch, Wire};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

const MB: usize = 1 << 20;

/// A reserver, and how often it was told that a reservation was granted.
fn reserver(memory: &Arc<Memory>) -> (Reserver, Arc<AtomicUsize>) {
    let granted = Arc::new(AtomicUsize::new(0));
    let counter = granted.clone();
    let wake = move || {
        counter.fetch_add(1, Ordering::Relaxed);
    };
    (Reserver::new(memory.clone(), wake), granted)
}

fn granted(reservation: Reservation) -> Lease {
    match reservation {
        Reservation::Granted(lease) => lease,
        _ => panic!("there is room"),
    }
}

fn waiting(reservation: Reservation) -> Ticket {
    match reservation {
        Reservation::Waiting(ticket) => ticket,
        _ => panic!("there is no room"),
    }
}

#[test]
fn bodies_hold_no_more_than_their_part_together() {
    let memory = Arc::new(Memory::new(32));
    let leases: Vec<Lease> = std::iter::from_fn(|| memory.take(128 * 1024)).collect();
    assert_eq!(leases.len(), 96, "12 of 32 MB");
    assert!(memory.take(1).is_none() && memory.take(usize::MAX).is_none());
    drop(leases);
    let mut grown = memory.take(1).expect("there is room");
    assert!(!grown.grow(12 * 1024 * 1024 + 1) && grown.grow(12 * 1024 * 1024));
    assert!(memory.take(1).is_none());
    drop(grown);
    assert!(memory.take(1).is_some());
}

#[test]
fn reservations_are_granted_in_their_order() {
    let memory = Arc::new(Memory::new(32)); // 16 MB, of which 2 are for what is small
    let (room, woken) = reserver(&memory);
    let first = granted(room.reserve(10 * MB));
    let second = waiting(room.reserve(8 * MB));
    let third = waiting(room.reserve(MB));
    assert!(second.take().is_none() && third.take().is_none(), "not before one that came earlier");
    drop(first);
    assert_eq!(woken.load(Ordering::Relaxed), 2);
    assert!(second.take().is_some_and(|lease| lease.bytes() == 8 * MB));
    assert!(second.take().is_none(), "a ticket brings one lease");
    assert!(third.take().is_some());
    assert_eq!(memory.used(), 0);
}

/// Otherwise one that was given up would hold up all behind it, or its room would be lost.
#[test]
fn a_reservation_that_is_given_up_leaves_its_place_and_its_room() {
    let memory = Arc::new(Memory::new(32));
    let (room, _) = reserver(&memory);
    let first = granted(room.reserve(8 * MB));
    let (second, third) = (waiting(room.reserve(8 * MB)), waiting(room.reserve(4 * MB)));
    drop(second);
    assert!(third.take().is_some(), "it is first now, and fits");
    let fourth = waiting(room.reserve(8 * MB));
    drop(first);
    drop(fourth); // granted, never taken
    assert_eq!(memory.used(), 0);
    assert!(matches!(room.reserve(15 * MB), Reservation::TooLarge), "it would wait for ever");
}

#[test]
fn what_is_small_has_room_beside_what_is_large() {
    let memory = Arc::new(Memory::new(32));
    let (room, _) = reserver(&memory);
    let large: Vec<Lease> = (0..7).map(|_| granted(room.reserve(2 * MB))).collect();
    let waits = waiting(room.reserve(MB));
    assert!(memory.take(MAX_SMALL_BYTES + 1).is_none());
    let body = memory.take(MAX_SMALL_BYTES).expect("a small body");
    let answer = granted(room.reserve(MAX_SMALL_BYTES));
    drop((large, waits, body, answer));
    assert_eq!(memory.used(), 0);
}

#[test]
fn demand_is_what_waits_beyond_what_is_free_and_a_refusal_counts_once() {
    let memory = Arc::new(Memory::new(32));
    let (room, _) = reserver(&memory);
    assert_eq!((memory.take_demand(), memory.is_short()), (0, false));
    let held = granted(room.reserve(10 * MB));
    let waits = waiting(room.reserve(8 * MB));
    assert_eq!(memory.take_demand(), 4 * MB);
    drop(waits);
    assert_eq!(memory.take_demand(), 0);
    assert!(memory.take(6 * MB).is_none() && memory.is_short());
    assert_eq!((memory.take_demand(), memory.take_demand()), (2 * MB, 0));
    drop(held);
    let buffers = memory.hold(17 * MB);
    assert!(memory.is_exhausted());
    assert_eq!(memory.take_demand(), MB);
    drop(buffers);
}

/// Chance drives holders that reserve, take, shrink and drop: the count is exact throughout, large holders leave the
/// reserve free, and everything that waits is granted once the others are done.
#[test]
fn in_random_sequences_nothing_is_lost_and_none_waits_for_ever() {
    for seed in 0..500 {
        let mut chance = fastrand::Rng::with_seed(seed);
        let memory = Arc::new(Memory::new(32));
        let (room, _) = reserver(&memory);
        let (mut leases, mut tickets): (Vec<Lease>, Vec<Ticket>) = Default::default();
        for _ in 0..200 {
            match chance.u8(..6) {
                0 | 1 => match room.reserve(chance.usize(1..14 * MB)) {
                    Reservation::Granted(lease) => leases.push(lease),
                    Reservation::Waiting(ticket) => tickets.push(ticket),
                    Reservation::TooLarge => panic!("seed {seed}: it fits"),
                },
                2 => leases.extend(memory.take(chance.usize(1..4 * MB))),
                3 if !leases.is_empty() => drop(leases.swap_remove(chance.usize(..leases.len()))),
                4 if !leases.is_empty() => {
                    let at = chance.usize(..leases.len());
                    let bytes = leases[at].bytes() / 2;
                    leases[at].shrink(bytes);
                }
                5 if !tickets.is_empty() => drop(tickets.swap_remove(chance.usize(..tickets.len()))),
                _ => {}
            }
            tickets.retain(|ticket| match ticket.take() {
                Some(lease) => {
                    leases.push(lease);
                    false
                }
                None => true,
            });
            let held: usize = leases.iter().map(Lease::bytes).sum();
            assert_eq!(held, memory.used(), "seed {seed}");
            assert!(held <= 16 * MB, "seed {seed}");
        }
        leases.clear();
        while !tickets.is_empty() {
            let before = tickets.len();
            tickets.retain(|ticket| ticket.take().is_none());
            assert!(tickets.len() < before, "seed {seed}: {before} wait for ever");
        }
        assert_eq!(memory.used(), 0, "seed {seed}");
    }
}

// ---- bodies ----

#[test]
fn a_known_length_is_reserved_whole_and_an_unknown_one_in_few_steps() {
    let bounds = Bounds { head: 4096, body: 32 * MB };
    let known = Body::new(Framing::Length(5 * MB), bounds);
    assert_eq!(known.unreserved_bytes(0, 10 * MB), 5 * MB);
    assert_eq!(known.unreserved_bytes(5 * MB, 10 * MB), 0);
    for framing in [Framing::Chunked, Framing::ToEnd] {
        let mut body = Body::new(framing, bounds);
        let (mut reserved, mut steps) = (0, Vec::new());
        while reserved < 32 * MB {
            body.content.resize(reserved, 0);
            reserved += body.unreserved_bytes(reserved, 10 * MB);
            steps.push(reserved);
        }
        assert_eq!(steps, [http::BLOCK_BYTES, MB, 10 * MB, 32 * MB]);
        assert_eq!(body.unreserved_bytes(reserved, 10 * MB), 0);
    }
}

// ---- answers that wait ----

struct PlainWire;

impl Wire for PlainWire {
    type Note = ();
    type HeadInfo = ();

    fn attempt_headers(&self, _: &Job<()>, _: Micros, _: &mut Vec<u8>) {}

    fn response_head(&self, _: &Job<()>, _: &http::Response) -> ResponseMatch<()> {
        ResponseMatch::Expected(())
    }

    fn ended(&self, _: Ended<PlainWire>) {}
}

/// What a server has written and is not read yet.
#[derive(Default)]
struct Socket {
    unread: VecDeque<u8>,
    ended: bool,
}

impl Read for Socket {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        match self.unread.is_empty() && !self.ended {
            true => Err(ErrorKind::WouldBlock.into()),
            false => self.unread.read(buffer),
        }
    }
}

const BOUNDS: Bounds = Bounds { head: 4096, body: 4 * MB };
const BODY_BYTES: usize = MB;

fn written(room: Reserver) -> Exchange<PlainWire> {
    let request =
        Arc::new(ForwardedRequest { head: b"GET / HTTP/1.1\r\n".to_vec(), body: BufferedBody::default() });
    let job = Job { id: 1, attempt: 0, request, same_server_retry: false, until: 1_000_000, note: () };
    let mut exchange = Exchange::new(job, BOUNDS, None, room);
    exchange.connected(&PlainWire, 1);
    exchange.write(io::sink()).expect("written");
    exchange
}

/// An answer with this body in each of the framings, and whether the server closes its connection after it.
fn answers(body: &[u8]) -> [(Vec<u8>, bool); 3] {
    let known = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    let mut chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for piece in body.chunks(5000) {
        chunked.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        chunked.extend_from_slice(piece);
        chunked.extend_from_slice(b"\r\n");
    }
    chunked.extend_from_slice(b"0\r\n\r\n");
    let to_end = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_vec();
    [([known, body.to_vec()].concat(), false), (chunked, false), ([to_end, body.to_vec()].concat(), true)]
}

/// An answer waits unread while there is no room, is read whole once there is, and holds just what it needs.
#[test]
fn an_answer_is_left_with_its_server_until_there_is_room() {
    let body: Vec<u8> = (0..BODY_BYTES).map(|n| (n % 251) as u8).collect();
    for (answer, closes) in answers(&body) {
        let memory = Arc::new(Memory::new(32));
        let (room, woken) = reserver(&memory);
        let (other, _) = reserver(&memory);
        // What is small is used up too.
        let mut held: Vec<Lease> = (0..14).map(|_| granted(other.reserve(MB))).collect();
        held.extend((0..32).map(|_| granted(other.reserve(MAX_SMALL_BYTES))));
        let mut exchange = written(room);
        let mut socket = Socket { unread: answer.into(), ended: closes };
        let before = socket.unread.len();
        assert!(matches!(exchange.read(&PlainWire, &mut socket, closes), Ok(ReadResult::Wait)));
        assert!(exchange.is_waiting_for_room() && before - socket.unread.len() <= BOUNDS.buffer_bytes());
        assert!(matches!(exchange.read(&PlainWire, &mut socket, closes), Ok(ReadResult::Wait)), "still none");
        held.clear();
        assert_eq!(woken.load(Ordering::Relaxed), 1);
        let whole = match exchange.read(&PlainWire, &mut socket, closes).expect("an answer") {
            ReadResult::Reusable { ended, .. } | ReadResult::Finished { ended: Some(ended) } => ended,
            _ => panic!("not whole"),
        };
        let served = whole.outcome.expect("an answer");
        assert!(served.body.bytes == body);
        assert_eq!(memory.used(), body.len());
        drop(served);
        assert_eq!(memory.used(), 0);
    }
}

/// Its attempt is given up while it waits: the room that it was to get goes to the next.
#[test]
fn an_answer_that_is_given_up_while_it_waits_holds_nothing() {
    let memory = Arc::new(Memory::new(32));
    let (room, _) = reserver(&memory);
    let (other, _) = reserver(&memory);
    let held = granted(other.reserve(14 * MB));
    let mut exchange = written(room);
    let [(answer, _), ..] = answers(&vec![b'x'; BODY_BYTES]);
    let mut socket = Socket { unread: answer.into(), ended: false };
    assert!(matches!(exchange.read(&PlainWire, &mut socket, false), Ok(ReadResult::Wait)));
    drop(held);
    drop(exchange);
    assert_eq!(memory.used(), 0);
}
