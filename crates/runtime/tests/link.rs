//! Links to programs of another protocol version are refused with a clear error, before any message is read.

use runtime::link::{self, Event, PROTOCOL_VERSION, check_opening};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

/// Only a test that hangs reaches this limit.
const HANG: Duration = Duration::from_secs(30);

#[derive(Debug, PartialEq)]
enum Seen {
    Up,
    Received(u32),
    Down,
}

/// A link to a stub, which has read the opening.
fn connect() -> (TcpStream, [u8; 4], Receiver<Seen>, link::LinkHandle) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (sender, events) = channel();
    let handle = link::dial(listener.local_addr().expect("bound"), HANG, move |_, event: Event<u32>| {
        let _ = sender.send(match event {
            Event::Up => Seen::Up,
            Event::Received(n) => Seen::Received(n),
            Event::Down => Seen::Down,
        });
    });
    let (mut stream, _) = listener.accept().expect("connected");
    stream.set_read_timeout(Some(HANG)).expect("set");
    let mut opening = [0; 4];
    stream.read_exact(&mut opening).expect("an opening");
    assert_eq!(events.recv_timeout(HANG), Ok(Seen::Up));
    (stream, opening, events, handle.expect("a link"))
}

/// The message 5 in its frame.
const FIVE: [u8; 5] = [0, 0, 0, 1, 5];

#[test]
fn frames_count_only_after_an_opening_of_this_version() {
    let (mut stream, opening, events, handle) = connect();
    assert_eq!((&opening[..3], opening[3]), (&b"cfl"[..], PROTOCOL_VERSION));
    // In pieces, as the network may deliver it.
    stream.write_all(&opening[..2]).expect("written");
    stream.write_all(&[&opening[2..], &FIVE, &FIVE].concat()).expect("written");
    assert_eq!(events.recv_timeout(HANG), Ok(Seen::Received(5)));
    assert_eq!(events.recv_timeout(HANG), Ok(Seen::Received(5)));
    drop((stream, handle));
    assert_eq!(events.recv_timeout(HANG), Ok(Seen::Down));

    // A program from before there were versions begins with a frame, a later one with its own version.
    let later = [opening[0], opening[1], opening[2], PROTOCOL_VERSION + 1];
    for bytes in [&FIVE[..], &[&later[..], &FIVE].concat()] {
        let (mut stream, _, events, _handle) = connect();
        stream.write_all(bytes).expect("written");
        assert_eq!(events.recv_timeout(HANG), Ok(Seen::Down), "no message of it is accepted");
    }
}

#[test]
fn errors_name_both_versions() {
    assert_eq!(check_opening([b'c', b'f', b'l', PROTOCOL_VERSION]), Ok(()));
    let later = check_opening([b'c', b'f', b'l', 77]).expect_err("refused");
    assert!(
        later.contains("version 77") && later.contains(&format!("this program version {PROTOCOL_VERSION}")),
        "{later}"
    );
    let earlier = check_opening([0, 0, 0, 1]).expect_err("refused");
    assert!(earlier.contains("version 1 or is no program of curlewfront"), "{earlier}");
}
