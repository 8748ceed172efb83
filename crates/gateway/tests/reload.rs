//! A new configuration under way: SIGHUP.

mod common;

use common::*;
use std::time::Duration;

fn setup_of(servers: &[&Server]) -> (Discovery, Gateway) {
    let discovery = Discovery::start();
    let gateway = Gateway::start(&Setup::with(servers), &discovery);
    until("it watches", || discovery.watches() == 1);
    (discovery, gateway)
}

/// The watch moves at once, though the variable still names the old place; all is asked for again there, as another
/// discovery may count its versions anew; and the list stays in force meanwhile.
#[test]
fn the_watch_moves_to_the_discovery_that_the_new_file_names() {
    let (one, two) = (Server::start(), Server::start());
    let (old, gateway) = setup_of(&[&one]);
    let new = Discovery::start();
    gateway.reload(&gateway.config_with(&new));
    assert_eq!(gateway.client().ask(&post(1500, "x")).status(), 200);
    until("it watches the new one", || new.watches() == 1);
    assert_eq!(new.asked.lock().unwrap()[0], "GET /catalog/members?watch=1&after=0 HTTP/1.1");
    new.tell(&list(1, true, &[("s-1", two.addr, "Ready")]));
    until("the new list counts", || {
        gateway.client().ask(&post(1500, "x")).status() == 200 && two.requests() > 0
    });
    old.tell(&list(9, true, &[("s-0", one.addr, "Ready")]));
    std::thread::sleep(Duration::from_millis(50));
    let before = one.requests();
    assert_eq!(gateway.client().ask(&post(1500, "x")).status(), 200);
    assert_eq!(one.requests(), before, "the old one has nothing to say any more");
}

#[test]
fn a_file_that_is_no_good_changes_nothing() {
    let (one, two) = (Server::start(), Server::start());
    let (discovery, mut gateway) = setup_of(&[&one]);
    let new = Discovery::start();
    let good = gateway.config_with(&new);
    let bad =
        [&good[..good.len() / 2], "", "{}", &good.replace("team", ""), &good.replace("127.0.0.1:", "x:")];
    for text in bad {
        gateway.reload(text);
        std::thread::sleep(Duration::from_millis(30));
        assert_eq!(gateway.client().ask(&post(1500, "x")).status(), 200, "{text:.60}");
    }
    assert!(gateway.ended(Duration::from_millis(100)).is_none());
    assert_eq!((discovery.watches(), new.watches()), (1, 0), "the watch stands as it did");
    discovery.tell(&list(2, true, &[("s-1", two.addr, "Ready")]));
    until("it still counts", || gateway.client().ask(&post(1500, "x")).status() == 200 && two.requests() > 0);
    gateway.reload(&good);
    until("a good one after it does", || new.watches() == 1);
}

/// Two at once: the last one counts. While the gateway drains it still hears what is told, and ends as it should.
#[test]
fn two_in_a_row_and_one_while_it_drains() {
    let server = Server::start();
    let (first, mut gateway) = setup_of(&[&server]);
    let (second, third) = (Discovery::start(), Discovery::start());
    gateway.reload(&gateway.config_with(&second));
    std::thread::sleep(Duration::from_millis(20));
    gateway.reload(&gateway.config_with(&third));
    until("it watches the last", || third.watches() == 1);
    gateway.reload(&gateway.config_with(&first));
    until("and goes back", || first.watches() == 2);
    server.then(Act::Late(Duration::from_millis(900), ok("late")));
    let mut held = gateway.client();
    held.send(&post(1900, "x"));
    until("the server has it", || server.requests() == 1);
    gateway.terminate();
    std::thread::sleep(Duration::from_millis(50));
    gateway.reload(&gateway.config_with(&third));
    until("it moves while it drains", || third.watches() == 2);
    assert_eq!(held.read().expect("an answer").status(), 200);
    assert_eq!(gateway.ended(Duration::from_secs(5)).expect("it ends").code(), Some(0));
}

/// A new discovery that says nothing is asked again well before what it has to tell counts as told (4 s).
#[test]
fn a_new_discovery_that_is_not_there_yet_is_found_soon() {
    let server = Server::start();
    let (_old, gateway) = setup_of(&[&server]);
    let (_kept, addr) = keep_port();
    let text = gateway.config_with(&Discovery::start());
    let (front, rest) = text.split_once(r#""discovery":""#).expect("it names one");
    let (_, rest) = rest.split_once('"').expect("whole");
    gateway.reload(&format!(r#"{front}"discovery":"{addr}"{rest}"#));
    std::thread::sleep(Duration::from_millis(400));
    let from = std::time::Instant::now();
    let place = std::net::TcpListener::bind(addr).expect("still free");
    place.accept().expect("asked");
    assert!(from.elapsed() < Duration::from_millis(1500), "{:?}", from.elapsed());
}
