//! Stand-in servers with long answers. They register themselves and say again and again that they are there.

use crate::wire;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Length of a long answer, in bytes.
pub const LONG_BYTES: usize = 8 << 20;
/// The answer to an ordinary request.
pub const SHORT: &[u8] = b"short";
const COUNT: u8 = 3;
const FIRST_HOST: u8 = 251;
/// Requests that one server says it works on at once: more than a crowd sends.
const SLOTS: usize = 400;
const BEAT: Duration = Duration::from_millis(500);
/// Size of one write of a long answer, in bytes.
const PIECE_BYTES: usize = 64 * 1024;

#[derive(Default)]
pub struct Servers {
    stopped: AtomicBool,
}

impl Servers {
    pub fn start(parts: [u8; 2], control: Vec<SocketAddr>) -> Arc<Servers> {
        let servers = Arc::new(Servers::default());
        for host in FIRST_HOST..FIRST_HOST + COUNT {
            let ip = Ipv4Addr::new(127, parts[0], parts[1], host);
            let listener = TcpListener::bind((ip, 0)).expect("a free port");
            let addr = listener.local_addr().expect("bound");
            let (beating, control) = (servers.clone(), control.clone());
            std::thread::spawn(move || accept(&listener));
            std::thread::spawn(move || beating.beat(addr, &control));
        }
        servers
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn beat(&self, addr: SocketAddr, control: &[SocketAddr]) {
        let mut sequence = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            sequence += 1;
            let body = format!(
                r#"{{"server_address":"{addr}","information":{{"service_ref":"files","config_version":"v1",
                "zone_name":"a","slot_count":{SLOTS}}},"status_report":{{"server_state":"available",
                "call_sequence":{sequence},"cold_left_ms":0}}}}"#
            );
            let head =
                format!("PUT /api/instances/i-{}-{} HTTP/1.1\r\nHost: control\r\n", addr.ip(), addr.port());
            let request = wire::with_body(&head, body.as_bytes());
            for at in control {
                if wire::call(*at, &request).is_ok_and(|a| a.status == 200) {
                    break;
                }
            }
            std::thread::sleep(BEAT);
        }
    }
}

fn accept(listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        // An error means that the proxy has closed the connection.
        std::thread::spawn(move || serve(stream));
    }
}

fn serve(stream: TcpStream) -> io::Result<()> {
    let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if reader.read_line(&mut head)? == 0 {
                return Ok(());
            }
        }
        let length = wire::header(&head, "Content-Length").and_then(|v| v.parse().ok()).unwrap_or(0);
        io::copy(&mut reader.by_ref().take(length), &mut io::sink())?;
        let attempt = wire::header(&head, "X-Attempt-Id").unwrap_or("none");
        let path = head.split(' ').nth(1).unwrap_or("");
        answer(&mut writer, head.starts_with("HEAD "), path, attempt)?;
    }
}

fn answer(writer: &mut TcpStream, head_only: bool, path: &str, attempt: &str) -> io::Result<()> {
    let start = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal\r\n");
    if !path.starts_with("/long/") {
        writer.write_all(format!("{start}Content-Length: {}\r\n\r\n", SHORT.len()).as_bytes())?;
        return writer.write_all(SHORT);
    }
    if path.ends_with("/chunked") {
        return write_chunks(writer, &start);
    }
    writer.write_all(format!("{start}Content-Length: {LONG_BYTES}\r\n\r\n").as_bytes())?;
    if head_only {
        return Ok(());
    }
    (0..LONG_BYTES / PIECE_BYTES).try_for_each(|_| writer.write_all(&[b'x'; PIECE_BYTES]))
}

fn write_chunks(writer: &mut TcpStream, start: &str) -> io::Result<()> {
    writer.write_all(format!("{start}Transfer-Encoding: chunked\r\n\r\n").as_bytes())?;
    for _ in 0..LONG_BYTES / PIECE_BYTES {
        writer.write_all(format!("{PIECE_BYTES:x}\r\n").as_bytes())?;
        writer.write_all(&[b'x'; PIECE_BYTES])?;
        writer.write_all(b"\r\n")?;
    }
    writer.write_all(b"0\r\n\r\n")
}
