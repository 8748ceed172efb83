//! HTTP/1.1 messages: pure, no I/O. Heads are read by httparse; bodies by length, in chunks, or to the end.

use crate::ring::Filled;
use httparse::{Header, Status};
use std::io;

pub const MOST_HEADERS: usize = 64;
/// How much of a body is dealt with at a time; an amount that counts as progress.
pub const PIECE: usize = 64 * 1024;

/// What a message may measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    pub head: usize,
    pub body: usize,
}

impl Bounds {
    /// A ring that holds so much can hold any head that is taken, and a piece of what follows.
    pub fn held(&self) -> usize {
        self.head + PIECE
    }
}

/// What is wrong with a message, and the status that says so to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bad {
    pub status: u16,
    pub what: &'static str,
}

const fn bad(what: &'static str) -> Bad {
    Bad { status: 400, what }
}

pub type Slots<'b> = [Header<'b>; MOST_HEADERS];
pub const NO_HEADERS: Slots<'static> = [httparse::EMPTY_HEADER; MOST_HEADERS];

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    /// Up to the end of the connection.
    ToEnd,
}

#[derive(Debug)]
pub struct Request<'h, 'b> {
    pub method: &'b str,
    pub target: &'b str,
    pub headers: &'h [Header<'b>],
    /// Bytes of the head.
    pub len: usize,
    pub framing: Framing,
    pub close: bool,
    pub wants_continue: bool,
}

#[derive(Debug)]
pub struct Response<'h, 'b> {
    pub status: u16,
    pub headers: &'h [Header<'b>],
    pub len: usize,
    pub framing: Framing,
    pub close: bool,
}

/// The head of a request, once it is there whole.
pub fn request<'h, 'b>(
    buf: &'b [u8],
    slots: &'h mut Slots<'b>,
    bounds: Bounds,
) -> Result<Option<Request<'h, 'b>>, Bad> {
    let mut parsed = httparse::Request::new(slots);
    let len = match parsed.parse(buf) {
        Ok(Status::Complete(len)) if len <= bounds.head => len,
        Ok(Status::Partial) if buf.len() <= bounds.head => return Ok(None),
        Ok(_) => return Err(Bad { status: 431, what: "head too large" }),
        Err(httparse::Error::TooManyHeaders) => return Err(Bad { status: 431, what: "too many headers" }),
        Err(_) => return Err(bad("malformed request")),
    };
    let headers: &'h [Header<'b>] = parsed.headers;
    let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
    let common = common(headers, parsed.version == Some(0))?;
    match headers.iter().filter(|h| h.name.eq_ignore_ascii_case("Host")).count() {
        0 if parsed.version == Some(1) => return Err(bad("no Host")),
        0 | 1 => {}
        // Read in two ways by two machines, it would be routed as one request and run as another.
        _ => return Err(bad("two Hosts")),
    }
    let framing = common.framing.unwrap_or(Framing::Length(0));
    if let Framing::Length(n) = framing
        && n > bounds.body
    {
        return Err(TOO_LARGE);
    }
    let wants_continue = header(headers, "Expect").is_some_and(|v| v.eq_ignore_ascii_case(b"100-continue"));
    Ok(Some(Request { method, target, headers, len, framing, close: common.close, wants_continue }))
}

const TOO_LARGE: Bad = Bad { status: 413, what: "body too large" };

/// The head of an answer, once it is there whole; one to HEAD has no body, whatever it says.
pub fn response<'h, 'b>(
    buf: &'b [u8],
    slots: &'h mut Slots<'b>,
    bounds: Bounds,
    to_head: bool,
) -> Result<Option<Response<'h, 'b>>, Bad> {
    let mut parsed = httparse::Response::new(slots);
    let len = match parsed.parse(buf) {
        Ok(Status::Complete(len)) => len,
        Ok(Status::Partial) if buf.len() <= bounds.head => return Ok(None),
        _ => return Err(bad("malformed answer")),
    };
    let headers: &'h [Header<'b>] = parsed.headers;
    let status = parsed.code.unwrap_or(0);
    if status < 100 {
        return Err(bad("no such status"));
    }
    let mut common = common(headers, parsed.version == Some(0))?;
    // It may not have a body. Should one follow all the same, its bytes must not meet the next request.
    common.close |= status == 204 && !matches!(common.framing, None | Some(Framing::Length(0)));
    let framing = match common.framing {
        _ if to_head || bodiless(status) => Framing::Length(0),
        Some(Framing::Length(n)) if n > bounds.body => return Err(TOO_LARGE),
        Some(framing) => framing,
        // Connections stay open unless one side says otherwise: without that word it has no end that could be
        // told.
        None if !common.close => return Err(bad("no length")),
        None => Framing::ToEnd,
    };
    Ok(Some(Response { status, headers, len, framing, close: common.close }))
}

/// An answer with this status has no body.
pub fn bodiless(status: u16) -> bool {
    status < 200 || status == 204 || status == 304
}

struct Common {
    framing: Option<Framing>,
    close: bool,
}

/// A body with two lengths could be read in two ways by two machines, so it is refused.
fn common(headers: &[Header], old: bool) -> Result<Common, Bad> {
    let (mut length, mut chunked, mut close) = (None, false, old);
    for h in headers {
        if h.name.eq_ignore_ascii_case("Content-Length") {
            let n = number(h.value).ok_or(bad("malformed Content-Length"))?;
            if length.is_some_and(|before| before != n) {
                return Err(bad("two lengths"));
            }
            length = Some(n);
        } else if h.name.eq_ignore_ascii_case("Transfer-Encoding") {
            if !h.value.eq_ignore_ascii_case(b"chunked") || chunked {
                return Err(Bad { status: 501, what: "unknown Transfer-Encoding" });
            }
            chunked = true;
        } else if h.name.eq_ignore_ascii_case("Connection") {
            for word in words(h.value) {
                close = (close || word.eq_ignore_ascii_case(b"close"))
                    && !word.eq_ignore_ascii_case(b"keep-alive");
            }
        }
    }
    match (length, chunked) {
        (Some(_), true) => Err(bad("two lengths")),
        (None, true) if old => Err(bad("chunks in HTTP/1.0")),
        (None, true) => Ok(Common { framing: Some(Framing::Chunked), close }),
        (length, false) => Ok(Common { framing: length.map(Framing::Length), close }),
    }
}

fn words(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value.split(|b| *b == b',').map(<[u8]>::trim_ascii)
}

fn number(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).ok()?;
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

/// A plain decimal: digits and a point, no sign, no exponent, nothing that is not a number.
pub fn decimal(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    if plain { text.parse().ok() } else { None }
}

/// How long the other side says that it keeps an idle connection, in whole seconds.
pub fn keep_alive(headers: &[Header]) -> Option<u64> {
    let value = std::str::from_utf8(header(headers, "Keep-Alive")?).ok()?;
    value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse().ok())
}

pub fn header<'b>(headers: &[Header<'b>], name: &str) -> Option<&'b [u8]> {
    headers.iter().find(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value)
}

/// Writes the headers that are meant for the other end: not those of one hop, nor the framing, which is made
/// anew, nor those that `skip` names.
pub fn pass_on(headers: &[Header], skip: &[&str], out: &mut Vec<u8>) {
    const HOP: [&str; 10] = [
        "Connection",
        "Content-Length",
        "Expect",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Connection",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    ];
    let named = header(headers, "Connection").unwrap_or(b"");
    for h in headers {
        let is = |n: &&str| n.eq_ignore_ascii_case(h.name);
        let hop = HOP.iter().any(is) || skip.iter().any(is);
        if hop || (!named.is_empty() && words(named).any(|w| w.eq_ignore_ascii_case(h.name.as_bytes()))) {
            continue;
        }
        out.extend_from_slice(h.name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(h.value);
        out.extend_from_slice(b"\r\n");
    }
}

/// A body on its way in.
#[derive(Debug)]
pub struct Body {
    state: Part,
    lines: usize,
    most: usize,
    pub content: Vec<u8>,
}

#[derive(Debug, PartialEq)]
enum Part {
    Left(usize),
    ToEnd,
    Size,
    Chunk(usize),
    ChunkEnd,
    Trailer,
    Done,
}

/// The longest line between chunks that is read, and all such lines of a body together: a body that brings
/// little and never ends must not be read for ever.
const MOST_LINE: usize = 1024;
const LINES_PART: usize = 8;
/// Room made for a body before any of it has come: its claimed length may be a lie.
const TRUSTED: usize = 4096;
/// With so much to come it is read without a ring in between.
const DIRECT: usize = 16 * 1024;

impl Body {
    pub fn new(framing: Framing, bounds: Bounds) -> Body {
        let (state, room) = match framing {
            Framing::Length(0) => (Part::Done, 0),
            Framing::Length(n) => (Part::Left(n), n.min(TRUSTED)),
            Framing::Chunked => (Part::Size, 0),
            Framing::ToEnd => (Part::ToEnd, 0),
        };
        Body { state, lines: 0, most: bounds.body, content: Vec::with_capacity(room) }
    }

    pub fn done(&self) -> bool {
        self.state == Part::Done
    }

    /// The connection has ended: the body is whole if that is how its end is told.
    pub fn end(&mut self) {
        if self.state == Part::ToEnd {
            self.state = Part::Done;
        }
    }

    /// One call of `read` into the body itself, where much of it is still to come. None where it comes by
    /// `take`: then nothing was read.
    pub fn fill(&mut self, read: impl FnOnce(&mut [u8]) -> io::Result<usize>) -> io::Result<Option<Filled>> {
        let Part::Left(left) = self.state else { return Ok(None) };
        let (at, room) = (self.content.len(), left.min(PIECE));
        if left < DIRECT || room > self.most.saturating_sub(at) {
            return Ok(None);
        }
        if self.content.capacity() < at + room {
            // Doubled, as its claimed length may be a lie, but never beyond that.
            self.content.reserve_exact(left.min(at.max(room)));
        }
        self.content.resize(at + room, 0);
        let got = read(&mut self.content[at..]);
        let n = *got.as_ref().unwrap_or(&0);
        self.content.truncate(at + n);
        self.state = if n == left { Part::Done } else { Part::Left(left - n) };
        got.map(|bytes| Some(Filled { bytes, full: bytes == room }))
    }

    /// Takes what belongs to the body from the front of `input` and tells how much that was.
    pub fn take(&mut self, input: &[u8]) -> Result<usize, Bad> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match self.state {
                Part::Done => return Ok(used),
                Part::Left(n) | Part::Chunk(n) => {
                    let now = n.min(rest.len());
                    self.add(&rest[..now])?;
                    used += now;
                    let chunk = matches!(self.state, Part::Chunk(_));
                    self.state = match (n - now, chunk) {
                        (0, true) => Part::ChunkEnd,
                        (0, false) => Part::Done,
                        (left, true) => Part::Chunk(left),
                        (left, false) => Part::Left(left),
                    };
                    if n > now {
                        return Ok(used);
                    }
                }
                Part::ToEnd => {
                    self.add(rest)?;
                    return Ok(input.len());
                }
                Part::Size | Part::ChunkEnd | Part::Trailer => {
                    let Some(end) = rest.iter().take(MOST_LINE).position(|b| *b == b'\n') else {
                        return if rest.len() >= MOST_LINE { Err(bad("long chunk line")) } else { Ok(used) };
                    };
                    let line = rest[..end].trim_ascii();
                    used += end + 1;
                    self.lines += end + 1;
                    if self.lines > self.most.saturating_mul(LINES_PART) {
                        return Err(bad("too many chunks"));
                    }
                    self.state = match self.state {
                        Part::Size => match chunk_size(line)? {
                            0 => Part::Trailer,
                            n => Part::Chunk(n),
                        },
                        Part::ChunkEnd if line.is_empty() => Part::Size,
                        Part::ChunkEnd => return Err(bad("chunk longer than its size")),
                        _ if line.is_empty() => Part::Done,
                        _ => Part::Trailer,
                    };
                }
            }
        }
    }

    fn add(&mut self, bytes: &[u8]) -> Result<(), Bad> {
        if bytes.len() > self.most.saturating_sub(self.content.len()) {
            return Err(TOO_LARGE);
        }
        self.content.extend_from_slice(bytes);
        Ok(())
    }
}

fn chunk_size(line: &[u8]) -> Result<usize, Bad> {
    let digits = line.split(|b| *b == b';').next().unwrap_or(b"").trim_ascii();
    let text = std::str::from_utf8(digits).map_err(|_| bad("malformed chunk size"))?;
    if text.is_empty() || text.len() > 8 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(bad("malformed chunk size"));
    }
    usize::from_str_radix(text, 16).map_err(|_| bad("malformed chunk size"))
}

pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        304 => "Not Modified",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BOUNDS: Bounds = Bounds { head: 16 * 1024, body: 64 * 1024 };

    fn framing(text: &[u8]) -> Result<Option<Framing>, Bad> {
        let mut slots = NO_HEADERS;
        response(text, &mut slots, BOUNDS, false).map(|head| head.map(|h| h.framing))
    }

    #[test]
    fn a_head_is_read_once_whole_wherever_it_is_split() {
        let text = b"POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
        let whole = text.len() - 3;
        for n in 0..text.len() {
            let mut slots = NO_HEADERS;
            let head = request(&text[..n], &mut slots, BOUNDS).expect("nothing is wrong");
            assert_eq!(head.is_some(), n >= whole, "{n}");
            if let Some(head) = head {
                assert_eq!((head.method, head.target, head.len), ("POST", "/a/b?c=d", whole));
                assert_eq!(head.framing, Framing::Length(3));
            }
        }
    }

    #[test]
    fn a_chunked_body_is_read_wherever_it_is_split_and_what_follows_stays() {
        let text = b"4;ext=1\r\nabcd\r\n0a\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\nnext";
        for n in 0..=text.len() {
            let mut body = Body::new(Framing::Chunked, BOUNDS);
            let used = body.take(&text[..n]).expect("nothing is wrong");
            let rest = body.take(&text[used..]).expect("nothing is wrong");
            assert!(body.done(), "{n}");
            assert_eq!(body.content, b"abcd0123456789");
            assert_eq!(&text[used + rest..], b"next");
        }
    }

    #[test]
    fn how_a_body_ends_is_never_in_doubt() {
        assert_eq!(framing(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"), Ok(Some(Framing::ToEnd)));
        assert_eq!(framing(b"HTTP/1.0 200 OK\r\n\r\n"), Ok(Some(Framing::ToEnd)));
        assert!(framing(b"HTTP/1.1 200 OK\r\n\r\n").is_err(), "it has no end");
        assert!(framing(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n").is_err());
        assert_eq!(framing(b"HTTP/1.1 204 No\r\n\r\n"), Ok(Some(Framing::Length(0))));
        assert_eq!(
            framing(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n"),
            Ok(Some(Framing::Length(5)))
        );
        for doubtful in [
            "Content-Length: 5\r\nContent-Length: 6",
            "Content-Length: 5\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: gzip",
            "Transfer-Encoding: chunked, chunked",
            "Content-Length: +5",
            "Content-Length: 0x5",
            "Content-Length:",
        ] {
            let text = format!("HTTP/1.1 200 OK\r\n{doubtful}\r\n\r\n");
            assert!(framing(text.as_bytes()).is_err(), "{doubtful}");
        }
    }

    #[test]
    fn only_what_is_meant_for_the_other_end_is_passed_on() {
        let text = b"HTTP/1.1 200 OK\r\nConnection: X-Hop, close\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nX-End: 2\r\nX-Skip: 3\r\nContent-Length: 0\r\n\r\n";
        let mut slots = NO_HEADERS;
        let head = response(text, &mut slots, BOUNDS, false).expect("good").expect("whole");
        let mut out = Vec::new();
        pass_on(head.headers, &["X-Skip"], &mut out);
        assert_eq!(out, b"X-End: 2\r\n");
        assert!(head.close);
    }

    #[test]
    fn a_body_beyond_the_limit_is_refused_before_it_is_held() {
        let mut body = Body::new(Framing::Chunked, BOUNDS);
        let chunk = [b"ffff\r\n".as_slice(), &[b'x'; 0xffff], b"\r\n"].concat();
        assert!(body.take(&chunk).is_ok());
        assert!(body.take(&chunk).is_err());
        let mut endless = Body::new(Framing::Chunked, BOUNDS);
        assert!(endless.take(&[b'1'; MOST_LINE + 1]).is_err());
        let mut trailers = Body::new(Framing::Chunked, BOUNDS);
        assert!(trailers.take(b"0\r\n").is_ok());
        let lines = b"X-Trailer: more of it\r\n".repeat(1000);
        assert!((0..1000).any(|_| trailers.take(&lines).is_err()), "trailers without end");
        assert!(Body::new(Framing::Length(usize::MAX), BOUNDS).content.capacity() <= TRUSTED);
    }
}
