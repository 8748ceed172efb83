//! SIGHUP: the running gateway reads its configuration again.

mod common;

use common::*;
use std::time::Duration;

fn start_watching(servers: &[&Server]) -> (Discovery, Gateway) {
    let discovery = Discovery::start();
    let gateway = Gateway::start(&Setup::with(servers), &discovery);
    wait_until("it watches", || discovery.watches() == 1);
    (discovery, gateway)
}

/// The watch moves at once, although the environment variable still names the old discovery. The new one is asked for the
/// whole list, because it may number its versions differently; the current list stays in force meanwhile.
#[test]
fn the_watch_moves_to_the_discovery_that_the_new_file_names() {
    let (one, two) = (Server::start(), Server::start());
    let (old, gateway) = start_watching(&[&one]);
    let new = Discovery::start();
    gateway.reload(&gateway.config_with_discovery(&new));
    assert_eq!(gateway.client().request(&post(1500, "x")).status(), 200);
    wait_until("it watches the new one", || new.watches() == 1);
    assert_eq!(new.requests.lock().unwrap()[0], "GET /catalog/members?watch=1&after=0 HTTP/1.1");
    new.send_line(&list(1, true, &[("s-1", two.addr, "Ready")]));
    wait_until("the new list counts", || {
        gateway.client().request(&post(1500, "x")).status() == 200 && two.requests() > 0
    });
    old.send_line(&list(9, true, &[("s-0", one.addr, "Ready")]));
    std::thread::sleep(Duration::from_millis(50));
    let before = one.requests();
    assert_eq!(gateway.client().request(&post(1500, "x")).status(), 200);
    assert_eq!(one.requests(), before, "lists of the old discovery are ignored");
}

#[test]
fn an_invalid_file_changes_nothing() {
    let (one, two) = (Server::start(), Server::start());
    let (discovery, mut gateway) = start_watching(&[&one]);
    let new = Discovery::start();
    let good = gateway.config_with_discovery(&new);
    let bad =
        [&good[..good.len() / 2], "", "{}", &good.replace("team", ""), &good.replace("127.0.0.1:", "x:")];
    for text in bad {
        gateway.reload(text);
        std::thread::sleep(Duration::from_millis(30));
        assert_eq!(gateway.client().request(&post(1500, "x")).status(), 200, "{text:.60}");
    }
    assert!(gateway.wait_for_exit(Duration::from_millis(100)).is_none());
    assert_eq!((discovery.watches(), new.watches()), (1, 0), "the watch has not moved");
    discovery.send_line(&list(2, true, &[("s-1", two.addr, "Ready")]));
    wait_until("the old watch is still in force", || {
        gateway.client().request(&post(1500, "x")).status() == 200 && two.requests() > 0
    });
    gateway.reload(&good);
    wait_until("a valid file after it takes effect", || new.watches() == 1);
}

/// Of two reloads in a row the last one counts. A gateway that drains still reloads, and ends as usual.
#[test]
fn the_last_of_several_reloads_counts_also_while_draining() {
    let server = Server::start();
    let (first, mut gateway) = start_watching(&[&server]);
    let (second, third) = (Discovery::start(), Discovery::start());
    gateway.reload(&gateway.config_with_discovery(&second));
    std::thread::sleep(Duration::from_millis(20));
    gateway.reload(&gateway.config_with_discovery(&third));
    wait_until("it watches the last one", || third.watches() == 1);
    gateway.reload(&gateway.config_with_discovery(&first));
    wait_until("it goes back to the first", || first.watches() == 2);
    server.then(ServerAction::SendLate(Duration::from_millis(900), ok("late")));
    let mut waiting = gateway.client();
    waiting.send(&post(1900, "x"));
    wait_until("the server has it", || server.requests() == 1);
    gateway.terminate();
    std::thread::sleep(Duration::from_millis(50));
    gateway.reload(&gateway.config_with_discovery(&third));
    wait_until("it moves while it drains", || third.watches() == 2);
    assert_eq!(waiting.read().expect("an answer").status(), 200);
    assert_eq!(gateway.wait_for_exit(Duration::from_secs(5)).expect("it ends").code(), Some(0));
}

/// A new discovery that refuses connections is called again well before its announcements count as known (4 s).
#[test]
fn a_new_discovery_that_does_not_listen_yet_is_found_soon() {
    let server = Server::start();
    let (_old, gateway) = start_watching(&[&server]);
    let (_reserved, addr) = reserve_port();
    let text = gateway.config_with_discovery(&Discovery::start());
    let (front, rest) = text.split_once(r#""discovery":""#).expect("it names one");
    let (_, rest) = rest.split_once('"').expect("whole");
    gateway.reload(&format!(r#"{front}"discovery":"{addr}"{rest}"#));
    std::thread::sleep(Duration::from_millis(400));
    let started = std::time::Instant::now();
    let listener = std::net::TcpListener::bind(addr).expect("still free");
    listener.accept().expect("called");
    assert!(started.elapsed() < Duration::from_millis(1500), "{:?}", started.elapsed());
}
