//! The gateway's watch of the list of servers.

mod common;

use common::*;
use std::time::{Duration, Instant};

fn start_watching(servers: &[&Server]) -> (Discovery, Gateway) {
    let discovery = Discovery::start();
    let gateway = Gateway::start(&Setup::with(servers), &discovery);
    wait_until("it watches", || discovery.watches() == 1);
    (discovery, gateway)
}

fn serves(gateway: &Gateway, server: &Server) -> bool {
    let before = server.requests();
    (0..10).all(|_| gateway.client().request(&post(1500, "x")).status() == 200)
        && server.requests() == before + 10
}

#[test]
fn it_watches_from_the_version_it_knows_and_follows_changes() {
    let (one, two) = (Server::start(), Server::start());
    let (discovery, gateway) = start_watching(&[&one]);
    assert_eq!(discovery.requests.lock().unwrap()[0], "GET /catalog/members?watch=1&after=1 HTTP/1.1");
    discovery.send_keepalive();
    discovery.send_line(&list(2, false, &[("s-1", two.addr, "Ready")]));
    discovery.send_line(&list(3, false, &[("s-0", one.addr, "Terminating")]));
    wait_until("all requests go to the new server", || serves(&gateway, &two));
    discovery.send_line(&list(4, false, &[("s-0", one.addr, "Ready"), ("s-1", two.addr, "Gone")]));
    wait_until("all requests go to the first server again", || serves(&gateway, &one));
}

/// A server that a full list does not name gets no further requests, and its idle connections are closed.
#[test]
fn a_full_list_drops_those_it_does_not_name() {
    let (one, two) = (Server::start(), Server::start());
    let (discovery, gateway) = start_watching(&[&one]);
    assert!(serves(&gateway, &one));
    let descriptors_before = gateway.descriptors();
    discovery.send_line(&list(9, true, &[("s-1", two.addr, "Ready")]));
    wait_until("its idle connection closes", || gateway.descriptors() < descriptors_before);
    assert!(serves(&gateway, &two));
}

#[test]
fn a_server_that_moves_is_found_at_its_new_address() {
    let (old, new) = (Server::start(), Server::start());
    let (discovery, gateway) = start_watching(&[&old]);
    assert!(serves(&gateway, &old));
    discovery.send_line(&list(2, false, &[("s-0", new.addr, "Ready")]));
    wait_until("the new address is used", || serves(&gateway, &new));
}

#[test]
fn lines_may_be_split_anywhere_and_several_share_a_chunk() {
    let (one, two) = (Server::start(), Server::start());
    let (discovery, gateway) = start_watching(&[&one]);
    let first = list(2, false, &[("s-1", two.addr, "Ready")]);
    let both = format!("\n{first}\n{}\n\n", list(3, false, &[("s-0", one.addr, "Gone")]));
    for piece in both.as_bytes().chunks(7) {
        let framed = [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat();
        for byte in framed.chunks(3) {
            discovery.send_raw(byte);
            std::thread::sleep(Duration::from_micros(300));
        }
    }
    wait_until("both lines count", || serves(&gateway, &two));
}

#[test]
fn a_lost_watch_is_taken_up_from_the_last_version_and_the_list_stays() {
    let (one, two) = (Server::start(), Server::start());
    let (discovery, gateway) = start_watching(&[&one]);
    discovery.send_line(&list(7, false, &[]));
    std::thread::sleep(Duration::from_millis(50));
    discovery.close_watches();
    assert!(serves(&gateway, &one), "the current list stays in force");
    wait_until("it watches again", || discovery.watches() == 2);
    assert_eq!(discovery.requests.lock().unwrap()[1], "GET /catalog/members?watch=1&after=7 HTTP/1.1");
    discovery.send_line(&list(8, true, &[("s-1", two.addr, "Ready")]));
    wait_until("the new watch counts", || serves(&gateway, &two));
}

/// A line that is not a valid list ends the watch, not the gateway; the current list stays in force.
#[test]
fn nonsense_from_discovery_is_survived() {
    let (one, two) = (Server::start(), Server::start());
    let (discovery, gateway) = start_watching(&[&one]);
    let nonsense = [
        "{",
        "[1,2]",
        r#"{"version":"x"}"#,
        r#"{"version":5,"full":true,"servers":[{"id":"a","addr":"nowhere","state":"Ready"}]}"#,
        r#"{"version":5,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","state":"Odd"}]}"#,
    ];
    for (n, line) in nonsense.iter().enumerate() {
        let before = discovery.watches();
        assert!(before > n);
        discovery.send_line(line);
        wait_until("a new watch", || discovery.watches() > before);
        assert!(serves(&gateway, &one));
    }
    let before = discovery.watches();
    discovery.send_raw(b"zz\r\n");
    wait_until("a new watch", || discovery.watches() > before);
    discovery.send_line(&list(6, true, &[("s-1", two.addr, "Ready")]));
    wait_until("the list counts", || serves(&gateway, &two));
}

/// The watch is silent while its connection stays open: the machine at the other end may have vanished.
#[test]
fn a_silent_watch_is_given_up() {
    let one = Server::start();
    let (discovery, gateway) = start_watching(&[&one]);
    let started = Instant::now();
    wait_until("a new watch", || discovery.watches() == 2);
    let waited = started.elapsed();
    assert!(waited >= Duration::from_millis(2400), "a line comes every 2 s: {waited:?}");
    assert!(
        waited < Duration::from_millis(3900),
        "announcements count as known 4 s after a move: {waited:?}"
    );
    assert!(serves(&gateway, &one));
}

/// While empty lines keep coming, the watch is kept.
#[test]
fn a_quiet_watch_is_kept() {
    let one = Server::start();
    let (discovery, gateway) = start_watching(&[&one]);
    for _ in 0..3 {
        std::thread::sleep(Duration::from_secs(2));
        discovery.send_keepalive();
    }
    assert_eq!(discovery.watches(), 1);
    assert!(serves(&gateway, &one));
}

/// An agent accepts connections and never answers, as it does while discovery is down or has a long queue. It is called
/// again and again, but only after the time that a call may wait in that queue: otherwise a fleet that gives up and calls
/// again would keep the queue full by itself.
#[test]
fn a_silent_agent_is_called_again_at_intervals() {
    let one = Server::start();
    let agent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = agent.local_addr().expect("bound");
    let (accepted, accept_times) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for stream in agent.incoming().flatten() {
            open.push(stream);
            if accepted.send(Instant::now()).is_err() {
                return;
            }
        }
    });
    let mut discovery = Discovery::start();
    discovery.addr = addr;
    let gateway = Gateway::start(&Setup::with(&[&one]), &discovery);
    let times: Vec<Instant> =
        (0..4).map(|_| accept_times.recv_timeout(TIMEOUT).expect("called again")).collect();
    for pair in times.windows(2) {
        let gap = pair[1] - pair[0];
        assert!((2900..4000).contains(&gap.as_millis()), "{gap:?}");
    }
    assert!(serves(&gateway, &one));
}

/// A machine that was cut off and restarted has not closed the connections to its earlier process.
#[test]
fn a_restarted_server_gets_new_connections() {
    let one = Server::start();
    let (discovery, gateway) = start_watching(&[&one]);
    assert!(serves(&gateway, &one));
    let before = one.connections.load(std::sync::atomic::Ordering::SeqCst);
    assert!(serves(&gateway, &one));
    assert_eq!(one.connections.load(std::sync::atomic::Ordering::SeqCst), before, "used again");
    let descriptors_before = gateway.descriptors();
    let line = list(2, false, &[("s-0", one.addr, "Ready")]);
    discovery.send_line(&line.replace(r#""started_ms":0"#, r#""started_ms":1700000000000"#));
    wait_until("its idle connections close", || gateway.descriptors() < descriptors_before);
    assert!(serves(&gateway, &one));
    assert!(one.connections.load(std::sync::atomic::Ordering::SeqCst) > before);
}
