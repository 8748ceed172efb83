//! Calls on the registries: one after the other, until one has given an answer that counts.

use jzon::JsonValue;
use miette::Diagnostic;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use thiserror::Error;
use tongs::http::{self, Body, Bounds, NO_HEADERS};

/// For each registry, all told.
const PATIENCE: Duration = Duration::from_secs(2);
const BOUNDS: Bounds = Bounds { head: 16 * 1024, body: 64 << 20 };
const REDIRECTS: usize = 2;
const PIECE: usize = 16 * 1024;
/// A time-out of nothing would be none.
const AT_LEAST: Duration = Duration::from_millis(1);

#[derive(Debug, Error, Diagnostic)]
pub enum Failed {
    #[error("refused: {0}")]
    #[diagnostic(code(curlewfront::refused))]
    Refused(String),
    /// A rollout that was watched did not complete.
    #[error("reverted: {0}")]
    #[diagnostic(code(curlewfront::reverted))]
    Reverted(String),
    #[error("{0}")]
    #[diagnostic(code(curlewfront::usage))]
    Usage(String),
    #[error("no registry answered: {0}")]
    #[diagnostic(code(curlewfront::unreachable))]
    Unreachable(String),
    #[error("unclear, it may have been taken; the same order may be given again: {0}")]
    #[diagnostic(code(curlewfront::unclear))]
    Unclear(String),
}

impl Failed {
    pub fn code(&self) -> u8 {
        match self {
            Failed::Refused(_) | Failed::Reverted(_) => 1,
            Failed::Usage(_) => 2,
            Failed::Unreachable(_) | Failed::Unclear(_) => 3,
        }
    }
}

pub struct Order<'a> {
    pub method: &'a str,
    pub target: String,
    /// The version that it builds on.
    pub base: Option<&'a str>,
    pub body: &'a [u8],
}

impl<'a> Order<'a> {
    pub fn plain(method: &'a str, target: impl Into<String>) -> Order<'a> {
        Order { method, target: target.into(), base: None, body: &[] }
    }

    fn write(&self, addr: SocketAddr, target: &str) -> Vec<u8> {
        let mut out = format!("{} {target} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n", self.method);
        if let Some(base) = self.base {
            out.push_str(&format!("If-Match: {base}\r\n"));
        }
        if !self.body.is_empty() {
            out.push_str("Content-Type: application/json\r\n");
        }
        out.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        [out.as_bytes(), self.body].concat()
    }
}

struct Answer {
    status: u16,
    location: Option<String>,
    body: Vec<u8>,
}

/// What went wrong on the way to an answer.
struct Trouble {
    why: String,
    /// Something was sent.
    sent: bool,
}

pub struct Registries {
    at: Vec<SocketAddr>,
}

impl Registries {
    pub fn new(at: Vec<SocketAddr>) -> Result<Registries, Failed> {
        match at.is_empty() {
            true => Err(Failed::Usage(
                "--at IP:PORT (or CURLEWFRONT_AT) is needed: a registry's control port".into(),
            )),
            false => Ok(Registries { at }),
        }
    }

    /// The body of the answer. An order that changes something is given to the next registry unchanged where it
    /// failed at one: who has taken it already says so again.
    pub fn ask(&self, order: &Order) -> Result<Vec<u8>, Failed> {
        let (mut unclear, mut troubles) = (false, Vec::new());
        for at in &self.at {
            match follow(*at, order) {
                Ok(a) if (200..300).contains(&a.status) => return Ok(a.body),
                Ok(a) if (400..500).contains(&a.status) && ![408, 429].contains(&a.status) => {
                    return Err(Failed::Refused(format!("{} ({})", reason(&a), a.status)));
                }
                Ok(a) => {
                    // A 5xx may come after the order has gone on its way; 408 and 429 promise that it has not.
                    unclear |= a.status >= 500;
                    troubles.push(format!("{at}: {} ({})", reason(&a), a.status));
                }
                Err(t) => {
                    unclear |= t.sent;
                    troubles.push(format!("{at}: {}", t.why));
                }
            }
        }
        let why = troubles.join("; ");
        match unclear && order.method != "GET" {
            true => Err(Failed::Unclear(why)),
            false => Err(Failed::Unreachable(why)),
        }
    }

    /// What a call that only looks is answered, as it came and as it reads.
    pub fn read(&self, target: &str) -> Result<(String, JsonValue), Failed> {
        let text = text(self.ask(&Order::plain("GET", target))?);
        let value =
            jzon::parse(&text).map_err(|e| Failed::Unreachable(format!("an answer that is no JSON: {e}")))?;
        Ok((text, value))
    }
}

pub fn text(bytes: Vec<u8>) -> String {
    String::from_utf8_lossy(&bytes).into_owned()
}

/// As a part of a path.
pub fn escape(text: &str) -> String {
    let one = |b: u8| match b {
        b if b.is_ascii_alphanumeric() || b"-._~".contains(&b) => char::from(b).to_string(),
        b => format!("%{b:02X}"),
    };
    text.bytes().map(one).collect()
}

fn reason(answer: &Answer) -> String {
    let text = String::from_utf8_lossy(&answer.body);
    let told = jzon::parse(&text).ok().and_then(|v| v["trouble"].as_str().map(str::to_string));
    told.unwrap_or_else(|| http::reason(answer.status).to_string())
}

fn follow(at: SocketAddr, order: &Order) -> Result<Answer, Trouble> {
    let (mut addr, mut target) = (at, order.target.clone());
    let until = Instant::now() + PATIENCE;
    for _ in 0..REDIRECTS {
        let answer = once(addr, &order.write(addr, &target), until)?;
        let location = match (answer.status, &answer.location) {
            (307, Some(location)) => location,
            _ => return Ok(answer),
        };
        let place = location.strip_prefix("http://").and_then(|rest| {
            let (host, path) = rest.split_once('/')?;
            Some((host.parse().ok()?, format!("/{path}")))
        });
        let lost = || Trouble { why: format!("sent elsewhere, to {location:?}"), sent: false };
        (addr, target) = place.ok_or_else(lost)?;
    }
    once(addr, &order.write(addr, &target), until)
}

fn once(addr: SocketAddr, request: &[u8], until: Instant) -> Result<Answer, Trouble> {
    let left = || until.saturating_duration_since(Instant::now()).max(AT_LEAST);
    let mut sent = false;
    let mut talk = || -> Result<Answer, String> {
        let io = |e: std::io::Error| match e.kind() {
            ErrorKind::WouldBlock | ErrorKind::TimedOut => format!("no answer within {PATIENCE:?}"),
            _ => e.to_string(),
        };
        let mut stream = TcpStream::connect_timeout(&addr, left()).map_err(io)?;
        stream.set_write_timeout(Some(left())).map_err(io)?;
        sent = true;
        // A refusal may come before all has been sent: it is read all the same.
        let written = stream.write_all(request);
        let mut input = Vec::new();
        match read(&mut stream, &mut input, left) {
            Ok(answer) => Ok(answer),
            Err(why) => written.map_err(io).and(Err(why)),
        }
    };
    let answer = talk();
    answer.map_err(|why| Trouble { why, sent })
}

/// Reads until the answer is there whole.
fn read(stream: &mut TcpStream, input: &mut Vec<u8>, left: impl Fn() -> Duration) -> Result<Answer, String> {
    let mut piece = vec![0; PIECE];
    let mut head: Option<(u16, Option<String>, Body)> = None;
    loop {
        let got = match stream.set_read_timeout(Some(left())).and_then(|()| stream.read(&mut piece)) {
            Ok(n) => n,
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(format!("no whole answer within {PATIENCE:?}"));
            }
            Err(e) => return Err(e.to_string()),
        };
        input.extend_from_slice(&piece[..got]);
        while head.is_none() {
            let mut slots = NO_HEADERS;
            let Some(r) = http::response(input, &mut slots, BOUNDS, false).map_err(|b| b.what)? else {
                break;
            };
            let (len, status) = (r.len, r.status);
            if status >= 200 {
                let location = http::header(r.headers, "Location");
                let location = location.map(|l| String::from_utf8_lossy(l).trim().to_string());
                head = Some((status, location, Body::new(r.framing, BOUNDS)));
            }
            input.drain(..len);
        }
        if let Some((status, location, body)) = &mut head {
            let used = body.take(input).map_err(|b| b.what)?;
            input.drain(..used);
            if got == 0 {
                body.end();
            }
            if body.done() {
                let (location, body) = (location.take(), std::mem::take(&mut body.content));
                return Ok(Answer { status: *status, location, body });
            }
        }
        if got == 0 || left() <= AT_LEAST {
            return Err("ended before the answer was whole".into());
        }
    }
}
