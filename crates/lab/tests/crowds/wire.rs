//! HTTP as ordinary callers and the clients of a crowd speak it, on blocking sockets.

use crate::site::HANG;
use socket2::{Domain, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The receive buffer of a client on a thin link, in bytes.
const SMALL_RECEIVE_BUFFER: usize = 8 * 1024;
/// After this an ordinary caller gives a try up.
const PATIENCE: Duration = Duration::from_secs(10);

pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

pub fn get(path: &str, attempt: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {attempt}\r\n\r\n").into_bytes()
}

/// `head`: request line and headers, without the final blank line.
pub fn with_body(head: &str, body: &[u8]) -> Vec<u8> {
    let mut request = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    request.extend_from_slice(body);
    request
}

/// A connection with a small receive buffer, so that little is on its way to a client that does not read.
pub fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER)?;
    socket.connect_timeout(&to.into(), HANG)?;
    let stream = TcpStream::from(socket);
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(HANG))?;
    stream.set_write_timeout(Some(HANG))?;
    Ok(stream)
}

/// One request on a connection of its own, whose answer is read whole.
pub fn call(to: SocketAddr, request: &[u8]) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    stream.write_all(request)?;
    read_answer(&mut stream)
}

fn read_answer(stream: &mut TcpStream) -> io::Result<Answer> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or(ErrorKind::InvalidData)?;
    let mut body = vec![0; header(&head, "Content-Length").and_then(|v| v.parse().ok()).unwrap_or(0)];
    stream.read_exact(&mut body)?;
    Ok(Answer { status, body })
}

pub fn header<'h>(head: &'h str, name: &str) -> Option<&'h str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.trim().eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Waits until an answer has begun or the connection has ended, without reading anything.
pub fn wait_until_answered_or_closed(stream: &TcpStream) {
    match stream.peek(&mut [0]) {
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            panic!("in vain: an answer or the end of the connection")
        }
        _ => {}
    }
}

/// Reads up to `most` bytes, as far as they have come. False: the connection has ended.
pub fn read_some(stream: &mut TcpStream, most: usize) -> bool {
    stream.set_nonblocking(true).expect("an option");
    let mut buffer = vec![0; most];
    let read = stream.read(&mut buffer);
    stream.set_nonblocking(false).expect("an option");
    match read {
        Ok(n) => n > 0,
        Err(e) => e.kind() == ErrorKind::WouldBlock,
    }
}

/// Closes a connection with a reset.
pub fn reset(stream: TcpStream) {
    let socket = Socket::from(stream);
    socket.set_linger(Some(Duration::ZERO)).expect("an option");
}

/// Writes all of it, unless an answer comes or the connection ends before.
pub fn write_until_answered(stream: &mut TcpStream, bytes: &[u8]) {
    for piece in bytes.chunks(64 * 1024) {
        if stream.write_all(piece).is_err() || has_answer(stream) {
            return;
        }
    }
}

fn has_answer(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("an option");
    let seen = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("an option");
    !matches!(seen, Err(e) if e.kind() == ErrorKind::WouldBlock)
}
