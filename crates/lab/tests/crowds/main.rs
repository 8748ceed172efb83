//! Crowds of clients that don't behave, before real processes whose memory and descriptors are few. Each test brings one
//! kind of crowd to one door and checks that every process runs on within its machine's limits, and that an ordinary
//! request is answered. Run one at a time:
//!
//!     cargo test -p curlewfront-lab --test crowds -- --test-threads=1

#[path = "../common/mod.rs"]
mod common;
mod servers;
mod site;
mod wire;

use servers::LONG_BYTES;
use site::{BIG_CONFIG_ROUTES, DESCRIPTORS, MAX_BODY_BYTES, Site};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

/// Clients of a crowd that asks for long answers: together two and a half times the memory of the machine.
const READERS: usize = 30;
/// Clients of a crowd that sends several requests at once.
const PIPELINING: usize = 4;
/// Requests that such a client sends at once.
const PIPELINED: usize = 16;
/// What a slow reader takes at a time, in bytes.
const SIP_BYTES: usize = 16 * 1024;
/// How often a slow reader reads.
const SIPS: usize = 20;
/// How often a client that leaves comes again.
const VISITS: usize = 4;
/// Clients of a crowd that sends long bodies.
const SENDERS: usize = 30;
/// What each of them sends of its body, in bytes.
const SENT_BODY_BYTES: usize = 8 << 20;
/// Bytes of a head that never ends: within the limit of a head.
const HEAD_BYTES: usize = 14_000;
/// Callers that ask a registry for its configuration.
const CALLERS: usize = 300;
/// A body that a registry accepts, in bytes.
const CONTROL_BODY_BYTES: usize = 4_000_000;

/// Clients that have sent what they had to send.
fn crowd(count: usize, to: SocketAddr, request: &[u8]) -> Vec<TcpStream> {
    let client = |_| {
        let mut stream = wire::connect(to).expect("a connection");
        stream.write_all(request).expect("the request is taken");
        stream
    };
    (0..count).map(client).collect()
}

/// Each client's request has been answered, at least in part, or its connection closed.
fn await_answers(crowd: &[TcpStream]) {
    crowd.iter().for_each(wire::wait_until_answered_or_closed);
}

fn hold_after(site: &Site, crowd: Vec<TcpStream>) {
    site.serves_an_ordinary_request();
    site.stays_within_its_limits();
    drop(crowd);
    site.serves_an_ordinary_request();
    site.stays_within_its_limits();
}

#[test]
fn long_answers_that_nobody_reads() {
    let site = Site::start("unread");
    let crowd = crowd(READERS, site.front(), &wire::get("/long/file", "crowd"));
    await_answers(&crowd);
    hold_after(&site, crowd);
}

#[test]
fn long_answers_without_a_length_that_nobody_reads() {
    let site = Site::start("unread-chunked");
    let crowd = crowd(READERS, site.front(), &wire::get("/long/chunked", "crowd"));
    await_answers(&crowd);
    hold_after(&site, crowd);
}

#[test]
fn long_answers_that_are_read_a_little_at_a_time() {
    let site = Site::start("sipped");
    let mut crowd = crowd(READERS, site.front(), &wire::get("/long/file", "crowd"));
    await_answers(&crowd);
    for _ in 0..SIPS {
        crowd.retain_mut(|client| wire::read_some(client, SIP_BYTES));
        site.serves_an_ordinary_request();
    }
    hold_after(&site, crowd);
}

#[test]
fn many_requests_at_once_whose_answers_nobody_reads() {
    let site = Site::start("pipelined");
    let requests = wire::get("/long/file", "crowd").repeat(PIPELINED);
    let crowd = crowd(PIPELINING, site.front(), &requests);
    await_answers(&crowd);
    hold_after(&site, crowd);
}

#[test]
fn clients_that_ask_and_leave_and_come_again() {
    let site = Site::start("leaving");
    for _ in 0..VISITS {
        let crowd = crowd(READERS, site.front(), &wire::get("/long/file", "crowd"));
        await_answers(&crowd);
        drop(crowd);
    }
    hold_after(&site, Vec::new());
}

/// A client that takes what it is sent gets its long answer beside a crowd that does not.
#[test]
fn a_long_answer_that_is_read_beside_those_that_are_not() {
    let site = Site::start("beside");
    let crowd = crowd(READERS, site.front(), &wire::get("/long/file", "crowd"));
    await_answers(&crowd);
    let request = wire::get("/long/file", "reader");
    let whole = || wire::call(site.front(), &request).is_ok_and(|a| a.body.len() == LONG_BYTES);
    site::wait_for("a long answer is read whole", whole);
    hold_after(&site, crowd);
}

#[test]
fn bodies_with_a_length_that_never_end() {
    let site = Site::start("bodies");
    let head = format!(
        "POST /put/it HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: crowd\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    let mut crowd = crowd(SENDERS, site.front(), head.as_bytes());
    let body = vec![b'x'; SENT_BODY_BYTES];
    crowd.iter_mut().for_each(|client| wire::write_until_answered(client, &body));
    hold_after(&site, crowd);
}

#[test]
fn bodies_in_chunks_that_never_end() {
    let site = Site::start("chunks");
    let head =
        "POST /put/it HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: crowd\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut crowd = crowd(SENDERS, site.front(), head.as_bytes());
    let chunk = [b"1000\r\n".as_slice(), &[b'x'; 0x1000], b"\r\n"].concat();
    let chunks = chunk.repeat(SENT_BODY_BYTES / 0x1000);
    crowd.iter_mut().for_each(|client| wire::write_until_answered(client, &chunks));
    hold_after(&site, crowd);
}

#[test]
fn heads_that_never_end() {
    let site = Site::start("heads");
    let mut head = wire::get("/short/", "crowd");
    head.truncate(head.len() - 2);
    head.extend_from_slice(b"X-Filler: ");
    head.resize(HEAD_BYTES, b'x');
    let crowd = crowd_that_may_be_refused(DESCRIPTORS as usize, site.front(), &head);
    hold_after(&site, crowd);
}

#[test]
fn connections_that_send_nothing() {
    let site = Site::start("silent");
    let crowd = crowd_that_may_be_refused(DESCRIPTORS as usize, site.front(), b"");
    hold_after(&site, crowd);
}

/// More connections than the process has descriptors for: some are closed, or wait to be accepted.
fn crowd_that_may_be_refused(count: usize, to: SocketAddr, request: &[u8]) -> Vec<TcpStream> {
    let client = |_| {
        let mut stream = wire::connect(to).ok()?;
        stream.write_all(request).ok()?;
        Some(stream)
    };
    (0..count).filter_map(client).collect()
}

#[test]
fn all_kinds_at_once() {
    let site = Site::start("mixed");
    let (front, file) = (site.front(), wire::get("/long/file", "crowd"));
    let mut all = crowd(READERS, front, &file);
    all.extend(crowd(READERS, front, &wire::get("/long/chunked", "crowd")));
    all.extend(crowd(PIPELINING, front, &file.repeat(PIPELINED)));
    let head = format!(
        "POST /put/it HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: crowd\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    let mut senders = crowd(SENDERS, front, head.as_bytes());
    let body = vec![b'x'; SENT_BODY_BYTES];
    senders.iter_mut().for_each(|client| wire::write_until_answered(client, &body));
    await_answers(&all);
    all.extend(senders);
    hold_after(&site, all);
}

#[test]
fn a_long_configuration_that_nobody_reads() {
    let site = Site::with_routes("configuration", BIG_CONFIG_ROUTES);
    let request = b"GET /api/configuration HTTP/1.1\r\nHost: control\r\n\r\n";
    let crowd = crowd(CALLERS, site.control(0), request);
    await_answers(&crowd);
    let whole = || wire::call(site.control(0), request).is_ok_and(|a| a.status == 200);
    site::wait_for("the configuration is read", whole);
    hold_after(&site, crowd);
}

/// Guards against values that take many times the memory of the text they are read from.
#[test]
fn bodies_of_many_small_values_at_a_registry() {
    let site = Site::start("control-bodies");
    let head = "PUT /api/configuration HTTP/1.1\r\nHost: control\r\nIf-Match: 00000001\r\n";
    let body = format!("[{}1]", "1,".repeat(CONTROL_BODY_BYTES / 2 - 2));
    let request = wire::with_body(head, body.as_bytes());
    let (most, last) = request.split_at(request.len() - 1);
    let connect = |_| wire::connect(site.control(0)).expect("a connection");
    let mut crowd: Vec<TcpStream> = (0..SENDERS).map(connect).collect();
    crowd.iter_mut().for_each(|client| wire::write_until_answered(client, most));
    // All bodies become whole together.
    crowd.iter_mut().for_each(|client| wire::write_until_answered(client, last));
    await_answers(&crowd);
    let request = b"GET /api/status HTTP/1.1\r\nHost: control\r\n\r\n";
    let answers = || wire::call(site.control(0), request).is_ok_and(|a| a.status == 200);
    site::wait_for("the registry answers", answers);
    hold_after(&site, crowd);
}
