//! Answers that pause after they have begun: a server may write while it still works on the rest.

use net::Micros;
use net::memory::{BufferedBody, Memory, Reserver};
use net::pool::exchange::{Exchange, ReadResult};
use net::pool::{ForwardedRequest, Job};
use proxy::dispatcher::AttemptResult;
use proxy::servers::{AttemptInfo, ServerWire, pool_settings};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read};
use std::sync::Arc;

type Wire = ServerWire<fn(u64, u32, AttemptResult)>;

const SENT_AT: Micros = 1_000_000;
const DEADLINE: Micros = SENT_AT + 12_000_000;
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 9\r\n\r\nall of it";

/// What a server has written and is not read yet.
#[derive(Default)]
struct Socket(VecDeque<u8>);

impl Read for Socket {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.0.is_empty() { Err(ErrorKind::WouldBlock.into()) } else { self.0.read(buffer) }
    }
}

fn wire() -> Wire {
    ServerWire::new(|_, _, _| {})
}

fn room() -> Reserver {
    Reserver::new(Arc::new(Memory::new(256)), || {})
}

/// An attempt that is written to its server.
fn written() -> Exchange<Wire> {
    let head = b"GET / HTTP/1.1\r\nX-Attempt-Id: a\r\n".to_vec();
    let request = Arc::new(ForwardedRequest { head, body: BufferedBody::default() });
    let note = AttemptInfo { name: b"a".as_slice().into(), instance: "i-1".into() };
    let job = Job { id: 1, attempt: 0, request, same_server_retry: false, until: DEADLINE, note };
    let settings = pool_settings();
    let mut exchange = Exchange::new(job, settings.bounds, settings.answer_us, room());
    exchange.connected(&wire(), SENT_AT);
    exchange.write(io::sink()).expect("written");
    exchange
}

/// Checks for a time-out whenever the connection asks for it, up to the deadline.
fn wait_until_the_deadline(exchange: &mut Exchange<Wire>) {
    let mut now = SENT_AT;
    while now < DEADLINE {
        let wait = exchange.check_timeout(now).unwrap_or_else(|e| panic!("{e:?} at {now}"));
        now += wait.unwrap_or(DEADLINE);
    }
    exchange.check_timeout(DEADLINE - 1).expect("no time-out");
}

// Guards against answers that are cut off while their server works: it had paused for two seconds.
#[test]
fn an_answer_may_pause_wherever_it_has_come_to_until_its_deadline() {
    for pause_after in 1..ANSWER.len() {
        let (mut exchange, mut socket) = (written(), Socket::default());
        socket.0.extend(&ANSWER[..pause_after]);
        let begun = exchange.read(&wire(), &mut socket, false).expect("a part of an answer");
        assert!(matches!(begun, ReadResult::Wait), "{pause_after}");
        wait_until_the_deadline(&mut exchange);
        socket.0.extend(&ANSWER[pause_after..]);
        let whole = exchange.read(&wire(), &mut socket, false).expect("the rest");
        let ReadResult::Reusable { ended, .. } = whole else { panic!("{pause_after}: not whole") };
        let served = ended.outcome.expect("an answer");
        assert_eq!((served.status, &served.body[..]), (200, &b"all of it"[..]));
    }
}
