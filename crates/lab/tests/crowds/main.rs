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
use site::{BIG_CONFIG_ROUTES, DESCRIPTORS, MAX_BODY_BYTES, Site, configuration_order};
use std::io::{Read, Write};
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
/// A body for which a machine has memory in calm, in bytes: a third of it.
const CALM_BODY_BYTES: usize = 32 << 20;
/// Bytes of a head that never ends: within the limit of a head.
const HEAD_BYTES: usize = 14_000;
/// Connections that bring their requests a byte at a time.
const DRIPPING: usize = 200;
/// Bytes that each of them brings.
const DRIPPED_BYTES: usize = 20;
/// Chunks of one byte that a client sends.
const TINY_CHUNKS: usize = 200_000;
/// Lines of a trailer that a client sends.
const TRAILERS: usize = 100_000;
/// Links that send half a frame.
const LINKS: usize = 30;
/// The largest frame of a link.
const FRAME_BYTES: u32 = 8 << 20;
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

/// The limits refuse no single request that the machine has memory for, and no client that reads slowly, in calm.
#[test]
fn a_long_body_and_an_answer_that_is_read_slowly_in_calm() {
    let site = Site::start("calm");
    let head = "POST /put/it HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: calm\r\n";
    let request = wire::with_body(head, &vec![b'x'; CALM_BODY_BYTES]);
    let served = wire::call(site.front(), &request).expect("an answer");
    assert_eq!((served.status, &served.body[..]), (200, servers::SHORT));
    let mut reader = crowd(1, site.front(), &wire::get("/long/file", "calm"));
    await_answers(&reader);
    let mut read = 0;
    while read < LONG_BYTES {
        let mut sip = vec![0; SIP_BYTES];
        let taken = reader[0].read(&mut sip).expect("the answer goes on");
        assert!(taken > 0, "closed after {read} bytes");
        read += taken;
    }
    hold_after(&site, reader);
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

/// Guards against many connections that each bring one byte now and then.
#[test]
fn heads_that_come_a_byte_at_a_time() {
    let site = Site::start("drip");
    let head = wire::get("/short/", "crowd");
    let mut crowd = crowd_that_may_be_refused(DRIPPING, site.front(), b"");
    for byte in &head[..DRIPPED_BYTES] {
        crowd.retain_mut(|client| client.write_all(&[*byte]).is_ok());
        site.serves_an_ordinary_request();
    }
    hold_after(&site, crowd);
}

#[test]
fn bodies_of_tiny_chunks_and_endless_trailers() {
    let site = Site::start("tiny-chunks");
    let head =
        "POST /put/it HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: crowd\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut crowd = crowd(SENDERS, site.front(), head.as_bytes());
    let chunks = b"1\r\nx\r\n".repeat(TINY_CHUNKS);
    let trailers = [b"0\r\n".as_slice(), &b"X-Trailer: more of it\r\n".repeat(TRAILERS)].concat();
    for (n, client) in crowd.iter_mut().enumerate() {
        wire::write_until_answered(client, if n % 2 == 0 { &chunks } else { &trailers });
    }
    hold_after(&site, crowd);
}

#[test]
fn bodies_that_are_announced_and_never_sent() {
    let site = Site::start("expected");
    let head = format!(
        "POST /put/it HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: crowd\r\nExpect: 100-continue\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    let crowd = crowd(SENDERS, site.front(), head.as_bytes());
    await_answers(&crowd);
    hold_after(&site, crowd);
}

#[test]
fn bodies_that_go_on_after_the_answer() {
    let site = Site::start("late-bodies");
    let head = format!(
        "POST /no/route HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: crowd\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    let mut crowd = crowd(SENDERS, site.front(), head.as_bytes());
    let body = vec![b'x'; SENT_BODY_BYTES];
    // Until the proxy closes the connection.
    crowd.iter_mut().for_each(|client| drop(client.write_all(&body)));
    hold_after(&site, crowd);
}

#[test]
fn connections_that_are_reset_in_the_middle() {
    let site = Site::start("resets");
    for _ in 0..VISITS {
        let readers = crowd(READERS, site.front(), &wire::get("/long/file", "crowd"));
        let halves = crowd(
            READERS,
            site.front(),
            b"POST /put/it HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf",
        );
        await_answers(&readers);
        readers.into_iter().chain(halves).for_each(wire::reset);
        site.serves_an_ordinary_request();
    }
    hold_after(&site, Vec::new());
}

#[test]
fn heads_of_long_answers_asked_for_many_at_once() {
    let site = Site::start("head-requests");
    let request = wire::get("/long/file", "crowd");
    let request = [b"HEAD".as_slice(), &request[b"GET".len()..]].concat().repeat(PIPELINED);
    let crowd = crowd(READERS, site.front(), &request);
    await_answers(&crowd);
    hold_after(&site, crowd);
}

#[test]
fn silent_connections_at_the_readiness_port() {
    let site = Site::start("readiness");
    let crowd = crowd_that_may_be_refused(DESCRIPTORS as usize, site.readiness(), b"");
    site.is_ready();
    hold_after(&site, crowd);
}

#[test]
fn silent_connections_at_a_directory() {
    let site = Site::start("directory");
    let crowd = crowd_that_may_be_refused(DESCRIPTORS as usize, site.directory(0), b"GET /api/resol");
    let request = b"GET /api/resolution?entity_name=h HTTP/1.1\r\nHost: directory\r\n\r\n";
    let answers = || wire::call(site.directory(0), request).is_ok_and(|a| a.status == 200);
    site::wait_for("the directory answers", answers);
    hold_after(&site, crowd);
}

#[test]
fn silent_links_between_processes() {
    let site = Site::start("links");
    let mut crowd = Vec::new();
    for door in [site.relay(), site.news(0), site.store_peers(0)] {
        crowd.extend(crowd_that_may_be_refused(DESCRIPTORS as usize, door, b""));
    }
    hold_after(&site, crowd);
}

/// Guards against frames that claim the most and never become whole.
#[test]
fn half_frames_on_links_between_processes() {
    let site = Site::start("frames");
    let mut crowd = Vec::new();
    for door in [site.relay(), site.news(0), site.store_peers(0)] {
        crowd.extend(crowd_that_may_be_refused(LINKS, door, &half_frame()));
    }
    hold_after(&site, crowd);
}

/// The opening of a link and the beginning of the largest frame.
fn half_frame() -> Vec<u8> {
    let mut bytes = [b"cfl".as_slice(), &[runtime::link::PROTOCOL_VERSION]].concat();
    bytes.extend_from_slice(&FRAME_BYTES.to_be_bytes());
    bytes.resize(FRAME_BYTES as usize, 0);
    bytes
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

/// Whole orders, each on top of a version that is not current any more.
#[test]
fn long_configurations_that_come_too_late() {
    let site = Site::with_routes("late-orders", BIG_CONFIG_ROUTES);
    let request = configuration_order(2, 0, BIG_CONFIG_ROUTES);
    let connect = |_| wire::connect(site.control(0)).expect("a connection");
    let mut crowd: Vec<TcpStream> = (0..SENDERS).map(connect).collect();
    crowd.iter_mut().for_each(|client| wire::write_until_answered(client, &request));
    await_answers(&crowd);
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
