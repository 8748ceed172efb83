//! Links of programs that speak in another form: refused by name on both sides, before anything is read.

use runtime::link::{self, Event, PROTOCOL_VERSION, check_opening};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

/// A bound that only a hang reaches.
const HANG: Duration = Duration::from_secs(30);

#[derive(Debug, PartialEq)]
enum Told {
    Up,
    Got(u32),
    Down,
}

/// A link to a stand-in, which has heard the opening.
fn linked() -> (TcpStream, [u8; 4], Receiver<Told>, link::LinkHandle) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (tell, told) = channel();
    let line = link::dial(listener.local_addr().expect("bound"), HANG, move |_, event: Event<u32>| {
        let _ = tell.send(match event {
            Event::Up => Told::Up,
            Event::Received(n) => Told::Got(n),
            Event::Down => Told::Down,
        });
    });
    let (mut stream, _) = listener.accept().expect("called");
    stream.set_read_timeout(Some(HANG)).expect("set");
    let mut opening = [0; 4];
    stream.read_exact(&mut opening).expect("it speaks first");
    assert_eq!(told.recv_timeout(HANG), Ok(Told::Up));
    (stream, opening, told, line.expect("a link"))
}

/// 5, framed.
const FIVE: [u8; 5] = [0, 0, 0, 1, 5];

#[test]
fn frames_count_only_behind_an_opening_of_this_form() {
    let (mut stream, opening, told, line) = linked();
    assert_eq!((&opening[..3], opening[3]), (&b"cfl"[..], PROTOCOL_VERSION));
    // In pieces, as the net may bring it.
    stream.write_all(&opening[..2]).expect("taken");
    stream.write_all(&[&opening[2..], &FIVE, &FIVE].concat()).expect("taken");
    assert_eq!(told.recv_timeout(HANG), Ok(Told::Got(5)));
    assert_eq!(told.recv_timeout(HANG), Ok(Told::Got(5)));
    drop((stream, line));
    assert_eq!(told.recv_timeout(HANG), Ok(Told::Down));

    // A program before forms were told begins with a frame; a later one with its own form.
    let later = [opening[0], opening[1], opening[2], PROTOCOL_VERSION + 1];
    for said in [&FIVE[..], &[&later[..], &FIVE].concat()] {
        let (mut stream, _, told, _line) = linked();
        stream.write_all(said).expect("taken");
        assert_eq!(told.recv_timeout(HANG), Ok(Told::Down), "nothing of it is taken in");
    }
}

#[test]
fn what_is_wrong_is_named() {
    assert_eq!(check_opening([b'c', b'f', b'l', PROTOCOL_VERSION]), Ok(()));
    let later = check_opening([b'c', b'f', b'l', 77]).expect_err("refused");
    assert!(
        later.contains("form 77") && later.contains(&format!("this program form {PROTOCOL_VERSION}")),
        "{later}"
    );
    let earlier = check_opening([0, 0, 0, 1]).expect_err("refused");
    assert!(earlier.contains("form 1 or is no program of curlewfront"), "{earlier}");
}
