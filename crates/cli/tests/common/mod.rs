//! Stand-in registries on loopback, each of which answers a few calls and ends, and the built command run against them.
#![allow(dead_code)] // each test file uses a part of it

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::thread::JoinHandle;
use std::time::Duration;

/// What a stand-in does with a call: an answer, or nothing and the end of the connection.
pub type Does = Option<(u16, &'static str, String)>;

pub fn says(status: u16, body: &str) -> Does {
    Some((status, "", body.to_string()))
}

/// Takes one call for each of `does`, and gives back what it read.
pub fn stand_in(does: Vec<Does>) -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let calls = move || {
        let one = |does: Does| {
            let mut stream = listener.accept().expect("a call").0;
            let call = read(&mut stream);
            if let Some((status, more, body)) = does {
                let head = format!("HTTP/1.1 {status} x\r\n{more}Content-Length: {}\r\n\r\n", body.len());
                stream.write_all(format!("{head}{body}").as_bytes()).expect("an answer");
            }
            call
        };
        does.into_iter().map(one).collect()
    };
    (addr, std::thread::spawn(calls))
}

fn read(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a socket");
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a head");
        text.push(byte[0]);
    }
    let head = String::from_utf8(text).expect("text");
    let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")).expect("a length");
    let mut body = vec![0; length.parse().expect("a number")];
    stream.read_exact(&mut body).expect("a body");
    head + std::str::from_utf8(&body).expect("text")
}

/// Exit code, standard output and standard error.
pub fn run(at: &[SocketAddr], args: &[&str]) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewfront"));
    command.env_remove("CURLEWFRONT_AT").args(args);
    at.iter().for_each(|a| {
        command.args(["--at", &a.to_string()]);
    });
    let out = command.output().expect("the command runs");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (out.status.code().expect("a code"), text(out.stdout), text(out.stderr))
}
