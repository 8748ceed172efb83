//! One call on one registry: a connection, a request, an answer that is read whole, and redirects.

use super::Call;
use net::http::{self, Body, Bounds, NO_HEADERS};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// For one registry, with its redirects.
const TIMEOUT: Duration = Duration::from_secs(2);
/// A socket's timeout of zero would mean none.
const MIN_SOCKET_TIMEOUT: Duration = Duration::from_millis(1);
const MAX_REDIRECTS: usize = 2;
/// Of an answer, in bytes.
const BOUNDS: Bounds = Bounds { head: 16 * 1024, body: 64 << 20 };
const READ_BUFFER_BYTES: usize = 16 * 1024;

pub struct Answer {
    pub status: u16,
    location: Option<String>,
    pub body: Vec<u8>,
}

/// Why there is no answer.
pub struct Failure {
    pub reason: String,
    /// Whether the registry may have got the call.
    pub sent: bool,
}

/// The time that is left for a registry.
#[derive(Clone, Copy)]
struct Deadline(Instant);

impl Deadline {
    fn left(self) -> Duration {
        self.0.saturating_duration_since(Instant::now()).max(MIN_SOCKET_TIMEOUT)
    }

    fn is_over(self) -> bool {
        self.left() <= MIN_SOCKET_TIMEOUT
    }
}

/// Sends a call, and again to where a 307 names.
pub fn with_redirects(address: SocketAddr, call: &Call) -> Result<Answer, Failure> {
    let (mut address, mut target) = (address, call.target.clone());
    let deadline = Deadline(Instant::now() + TIMEOUT);
    for _ in 0..MAX_REDIRECTS {
        let answer = exchange(address, &request(call, address, &target), deadline)?;
        let location = match (answer.status, &answer.location) {
            (307, Some(location)) => location,
            _ => return Ok(answer),
        };
        let unreadable = || Failure { reason: format!("redirected to {location:?}"), sent: false };
        (address, target) = address_and_target(location).ok_or_else(unreadable)?;
    }
    exchange(address, &request(call, address, &target), deadline)
}

fn address_and_target(location: &str) -> Option<(SocketAddr, String)> {
    let (host, path) = location.strip_prefix("http://")?.split_once('/')?;
    Some((host.parse().ok()?, format!("/{path}")))
}

fn request(call: &Call, address: SocketAddr, target: &str) -> Vec<u8> {
    let mut head = format!("{} {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n", call.method);
    if let Some(version) = call.if_match {
        head.push_str(&format!("If-Match: {version}\r\n"));
    }
    if !call.body.is_empty() {
        head.push_str("Content-Type: application/json\r\n");
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", call.body.len()));
    [head.as_bytes(), call.body].concat()
}

fn exchange(address: SocketAddr, request: &[u8], deadline: Deadline) -> Result<Answer, Failure> {
    let failure = |sent: bool| move |reason: String| Failure { reason, sent };
    let connect = || -> std::io::Result<TcpStream> {
        let stream = TcpStream::connect_timeout(&address, deadline.left())?;
        stream.set_write_timeout(Some(deadline.left()))?;
        Ok(stream)
    };
    let mut stream = connect().map_err(|e| failure(false)(describe(&e)))?;
    // A refusal may come before the request has been sent whole: it is read all the same.
    let written = stream.write_all(request);
    match (read(&mut stream, deadline), written) {
        (Ok(answer), _) => Ok(answer),
        (Err(_), Err(e)) => Err(failure(true)(describe(&e))),
        (Err(reason), Ok(())) => Err(failure(true)(reason)),
    }
}

fn describe(error: &std::io::Error) -> String {
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => format!("no answer within {TIMEOUT:?}"),
        _ => error.to_string(),
    }
}

/// Reads until the answer is whole.
fn read(stream: &mut TcpStream, deadline: Deadline) -> Result<Answer, String> {
    let mut reader = AnswerReader::default();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let count =
            match stream.set_read_timeout(Some(deadline.left())).and_then(|()| stream.read(&mut buffer)) {
                Ok(count) => count,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(format!("no whole answer within {TIMEOUT:?}"));
                }
                Err(e) => return Err(e.to_string()),
            };
        if let Some(answer) = reader.take(&buffer[..count])? {
            return Ok(answer);
        }
        if count == 0 || deadline.is_over() {
            return Err("ended before the answer was whole".into());
        }
    }
}

/// An answer of which a part has come.
#[derive(Default)]
struct AnswerReader {
    input: Vec<u8>,
    /// Once the head has come, and the body as far as it has.
    begun: Option<(Answer, Body)>,
}

impl AnswerReader {
    /// Takes what has come next; nothing means that the connection has ended. The answer, once it is whole.
    fn take(&mut self, bytes: &[u8]) -> Result<Option<Answer>, String> {
        self.input.extend_from_slice(bytes);
        self.take_head()?;
        let Some((answer, body)) = &mut self.begun else { return Ok(None) };
        let used = body.take(&self.input).map_err(|bad| bad.what)?;
        self.input.drain(..used);
        if bytes.is_empty() {
            body.end();
        }
        if !body.done() {
            return Ok(None);
        }
        answer.body = std::mem::take(&mut body.content);
        Ok(self.begun.take().map(|(answer, _)| answer))
    }

    /// Interim answers (1xx) are passed over.
    fn take_head(&mut self) -> Result<(), String> {
        while self.begun.is_none() {
            let mut slots = NO_HEADERS;
            let head = http::response(&self.input, &mut slots, BOUNDS, false).map_err(|bad| bad.what)?;
            let Some(head) = head else { break };
            if head.status >= 200 {
                let location = http::header(head.headers, "Location");
                let location = location.map(|l| String::from_utf8_lossy(l).trim().to_string());
                let answer = Answer { status: head.status, location, body: Vec::new() };
                self.begun = Some((answer, Body::new(head.framing, BOUNDS)));
            }
            let length = head.len;
            self.input.drain(..length);
        }
        Ok(())
    }
}
