//! Parsing of HTTP/1.1 messages, without I/O. Heads are parsed by httparse; bodies are read by length, in chunks, or
//! up to the end of the connection.

use crate::ring::Filled;
use httparse::{Header, Status};
use std::io;

/// The most headers that a message may have.
pub const MAX_HEADERS: usize = 64;
/// The most bytes of a body that one read takes. Each such block also counts as progress: timeouts start anew.
pub const BLOCK_BYTES: usize = 64 * 1024;

/// Size limits of a message, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    pub head: usize,
    pub body: usize,
}

impl Bounds {
    /// The capacity of a receive buffer that can hold the largest accepted head and a block of what follows.
    pub fn buffer_bytes(&self) -> usize {
        self.head + BLOCK_BYTES
    }
}

/// Why a message is invalid, and the status with which a client is told so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bad {
    pub status: u16,
    pub what: &'static str,
}

const fn bad(what: &'static str) -> Bad {
    Bad { status: 400, what }
}

/// Space for the headers of a head that is parsed.
pub type Slots<'b> = [Header<'b>; MAX_HEADERS];
pub const NO_HEADERS: Slots<'static> = [httparse::EMPTY_HEADER; MAX_HEADERS];

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    /// The body ends with the connection.
    ToEnd,
}

/// The head of a request.
#[derive(Debug)]
pub struct Request<'h, 'b> {
    pub method: &'b str,
    pub target: &'b str,
    pub headers: &'h [Header<'b>],
    /// Length of the head in bytes.
    pub len: usize,
    pub framing: Framing,
    /// The connection ends after this request.
    pub close: bool,
    /// The client waits for `100 Continue` before it sends the body.
    pub wants_continue: bool,
}

/// The head of a response.
#[derive(Debug)]
pub struct Response<'h, 'b> {
    pub status: u16,
    pub headers: &'h [Header<'b>],
    /// Length of the head in bytes.
    pub len: usize,
    pub framing: Framing,
    /// The connection ends after this response.
    pub close: bool,
}

/// Parses the head of a request; None while it is incomplete.
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
    let common = parse_common(headers, parsed.version == Some(0))?;
    match headers.iter().filter(|h| h.name.eq_ignore_ascii_case("Host")).count() {
        0 if parsed.version == Some(1) => return Err(bad("no Host")),
        0 | 1 => {}
        // Two machines could pick different ones: the request would be routed by one Host and run by the other.
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

/// Parses the head of a response; None while it is incomplete. A response to HEAD has no body, whatever its headers
/// say.
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
    let mut common = parse_common(headers, parsed.version == Some(0))?;
    // A 204 must not have a body. Should one follow all the same, its bytes must not be taken for the next response.
    common.close |= status == 204 && !matches!(common.framing, None | Some(Framing::Length(0)));
    let framing = match common.framing {
        _ if to_head || bodiless(status) => Framing::Length(0),
        Some(Framing::Length(n)) if n > bounds.body => return Err(TOO_LARGE),
        Some(framing) => framing,
        // The connection stays open unless one side says otherwise, so the end of this body could not be determined.
        None if !common.close => return Err(bad("no length")),
        None => Framing::ToEnd,
    };
    Ok(Some(Response { status, headers, len, framing, close: common.close }))
}

/// A response with this status has no body.
pub fn bodiless(status: u16) -> bool {
    status < 200 || status == 204 || status == 304
}

/// What the headers of requests and responses have in common.
struct Common {
    framing: Option<Framing>,
    close: bool,
}

/// Parses framing and connection headers. A message with two lengths is refused: two machines could read its body in
/// two ways.
fn parse_common(headers: &[Header], http_1_0: bool) -> Result<Common, Bad> {
    let (mut length, mut chunked, mut close) = (None, false, http_1_0);
    for h in headers {
        if h.name.eq_ignore_ascii_case("Content-Length") {
            let n = parse_length(h.value).ok_or(bad("malformed Content-Length"))?;
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
            for option in list_items(h.value) {
                close = (close || option.eq_ignore_ascii_case(b"close"))
                    && !option.eq_ignore_ascii_case(b"keep-alive");
            }
        }
    }
    match (length, chunked) {
        (Some(_), true) => Err(bad("two lengths")),
        (None, true) if http_1_0 => Err(bad("chunks in HTTP/1.0")),
        (None, true) => Ok(Common { framing: Some(Framing::Chunked), close }),
        (length, false) => Ok(Common { framing: length.map(Framing::Length), close }),
    }
}

/// The items of a comma-separated header value.
fn list_items(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value.split(|b| *b == b',').map(<[u8]>::trim_ascii)
}

fn parse_length(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).ok()?;
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

/// Parses a plain decimal number: digits and a point, no sign, no exponent, no `inf` or `NaN`.
pub fn decimal(text: &str) -> Option<f64> {
    let is_plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    if is_plain { text.parse().ok() } else { None }
}

/// How long the peer says that it keeps an idle connection open, in whole seconds.
pub fn keep_alive_timeout_s(headers: &[Header]) -> Option<u64> {
    let value = std::str::from_utf8(header(headers, "Keep-Alive")?).ok()?;
    value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse().ok())
}

/// The value of the first header of that name, in any case.
pub fn header<'b>(headers: &[Header<'b>], name: &str) -> Option<&'b [u8]> {
    headers.iter().find(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value)
}

/// Writes the end-to-end headers to `out`. Left out are hop-by-hop headers, framing headers, which are written anew,
/// and those that `skip` names.
pub fn copy_end_to_end_headers(headers: &[Header], skip: &[&str], out: &mut Vec<u8>) {
    const HOP_BY_HOP: [&str; 10] = [
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
        let left_out = HOP_BY_HOP.iter().any(is) || skip.iter().any(is);
        if left_out
            || (!named.is_empty()
                && list_items(named).any(|item| item.eq_ignore_ascii_case(h.name.as_bytes())))
        {
            continue;
        }
        out.extend_from_slice(h.name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(h.value);
        out.extend_from_slice(b"\r\n");
    }
}

/// A body that is being received.
#[derive(Debug)]
pub struct Body {
    state: BodyState,
    /// Bytes of the lines around chunks that were read so far.
    line_bytes: usize,
    max_bytes: usize,
    pub content: Vec<u8>,
}

#[derive(Debug, PartialEq)]
enum BodyState {
    /// So many bytes are still to come, of a body of known length.
    Left(usize),
    ToEnd,
    ChunkSize,
    /// So many bytes of this chunk are still to come.
    Chunk(usize),
    ChunkEnd,
    Trailer,
    Done,
}

/// The longest size or trailer line of a chunked body, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// All such lines of a body together may be so many times as long as the largest allowed body: a chunked body that
/// brings little content and never ends must not be read for ever.
const MAX_LINE_BYTES_FACTOR: usize = 8;
/// A body whose length is not known grows to this size before the largest one is reserved for it.
const LARGE_STEP_BYTES: usize = 1 << 20;
/// The least room for further input: a line around chunks must fit.
const MIN_ROOM_BYTES: usize = 2 * MAX_CHUNK_LINE_BYTES;
/// Bytes reserved for a body before any of it has come, as its claimed length may be false.
const MAX_INITIAL_CAPACITY_BYTES: usize = 4096;
/// With at least so many bytes still to come, a body is read directly instead of through a ring buffer.
const MIN_DIRECT_READ_BYTES: usize = 16 * 1024;

impl Body {
    pub fn new(framing: Framing, bounds: Bounds) -> Body {
        let (state, capacity) = match framing {
            Framing::Length(0) => (BodyState::Done, 0),
            Framing::Length(n) => (BodyState::Left(n), n.min(MAX_INITIAL_CAPACITY_BYTES)),
            Framing::Chunked => (BodyState::ChunkSize, 0),
            Framing::ToEnd => (BodyState::ToEnd, 0),
        };
        Body { state, line_bytes: 0, max_bytes: bounds.body, content: Vec::with_capacity(capacity) }
    }

    pub fn done(&self) -> bool {
        self.state == BodyState::Done
    }

    /// To be called when the connection has ended: completes a body that ends with the connection.
    pub fn end(&mut self) {
        if self.state == BodyState::ToEnd {
            self.state = BodyState::Done;
        }
    }

    /// How many bytes more must be reserved before further input is taken, with `reserved` bytes so far. A length that is
    /// known is reserved whole; otherwise the reservation grows in few steps, of which the last but one is `max_growing`.
    pub fn unreserved_bytes(&self, reserved: usize, max_growing: usize) -> usize {
        let needed = match self.state {
            BodyState::Done => 0,
            BodyState::Left(left) => self.content.len() + left,
            _ if reserved >= self.max_bytes || self.content.len() + MIN_ROOM_BYTES <= reserved => 0,
            _ => {
                let steps = [BLOCK_BYTES, LARGE_STEP_BYTES, max_growing, self.max_bytes];
                let step = steps.into_iter().find(|step| *step > reserved).unwrap_or(self.max_bytes);
                step.min(self.max_bytes)
            }
        };
        needed.saturating_sub(reserved)
    }

    /// How much input may be taken with so many bytes reserved.
    pub fn max_input_bytes(&self, reserved: usize) -> usize {
        match self.state {
            BodyState::Done | BodyState::Left(_) => usize::MAX,
            _ if reserved >= self.max_bytes => usize::MAX,
            _ => reserved.saturating_sub(self.content.len()),
        }
    }

    /// Allocates the store for a body of up to so many bytes at once, so that it is not copied as it grows.
    pub fn allocate(&mut self, bytes: usize) {
        self.content.reserve_exact(bytes.saturating_sub(self.content.len()));
    }

    /// Calls `read` once, directly into the body, if much of it is still to come. Otherwise reads nothing and returns
    /// None: the bytes are to be passed to `take`.
    pub fn fill(&mut self, read: impl FnOnce(&mut [u8]) -> io::Result<usize>) -> io::Result<Option<Filled>> {
        let BodyState::Left(left) = self.state else { return Ok(None) };
        let (at, room) = (self.content.len(), left.min(BLOCK_BYTES));
        if left < MIN_DIRECT_READ_BYTES || room > self.max_bytes.saturating_sub(at) {
            return Ok(None);
        }
        if self.content.capacity() < at + room {
            // Doubled instead of reserved whole, as the claimed length may be false; never beyond that length.
            self.content.reserve_exact(left.min(at.max(room)));
        }
        self.content.resize(at + room, 0);
        let got = read(&mut self.content[at..]);
        let n = *got.as_ref().unwrap_or(&0);
        self.content.truncate(at + n);
        self.state = if n == left { BodyState::Done } else { BodyState::Left(left - n) };
        got.map(|bytes| Some(Filled { bytes, full: bytes == room }))
    }

    /// Consumes the bytes at the front of `input` that belong to the body, and returns how many they were.
    pub fn take(&mut self, input: &[u8]) -> Result<usize, Bad> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match self.state {
                BodyState::Done => return Ok(used),
                BodyState::Left(n) | BodyState::Chunk(n) => {
                    let now = n.min(rest.len());
                    self.add(&rest[..now])?;
                    used += now;
                    let chunk = matches!(self.state, BodyState::Chunk(_));
                    self.state = match (n - now, chunk) {
                        (0, true) => BodyState::ChunkEnd,
                        (0, false) => BodyState::Done,
                        (left, true) => BodyState::Chunk(left),
                        (left, false) => BodyState::Left(left),
                    };
                    if n > now {
                        return Ok(used);
                    }
                }
                BodyState::ToEnd => {
                    self.add(rest)?;
                    return Ok(input.len());
                }
                BodyState::ChunkSize | BodyState::ChunkEnd | BodyState::Trailer => {
                    let Some(end) = rest.iter().take(MAX_CHUNK_LINE_BYTES).position(|b| *b == b'\n') else {
                        return if rest.len() >= MAX_CHUNK_LINE_BYTES {
                            Err(bad("long chunk line"))
                        } else {
                            Ok(used)
                        };
                    };
                    let line = rest[..end].trim_ascii();
                    used += end + 1;
                    self.line_bytes += end + 1;
                    if self.line_bytes > self.max_bytes.saturating_mul(MAX_LINE_BYTES_FACTOR) {
                        return Err(bad("too many chunks"));
                    }
                    self.state = match self.state {
                        BodyState::ChunkSize => match chunk_size(line)? {
                            0 => BodyState::Trailer,
                            n => BodyState::Chunk(n),
                        },
                        BodyState::ChunkEnd if line.is_empty() => BodyState::ChunkSize,
                        BodyState::ChunkEnd => return Err(bad("chunk longer than its size")),
                        _ if line.is_empty() => BodyState::Done,
                        _ => BodyState::Trailer,
                    };
                }
            }
        }
    }

    fn add(&mut self, bytes: &[u8]) -> Result<(), Bad> {
        if bytes.len() > self.max_bytes.saturating_sub(self.content.len()) {
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

/// The reason phrase of a status line.
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
        copy_end_to_end_headers(head.headers, &["X-Skip"], &mut out);
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
        assert!(endless.take(&[b'1'; MAX_CHUNK_LINE_BYTES + 1]).is_err());
        let mut trailers = Body::new(Framing::Chunked, BOUNDS);
        assert!(trailers.take(b"0\r\n").is_ok());
        let lines = b"X-Trailer: more of it\r\n".repeat(1000);
        assert!((0..1000).any(|_| trailers.take(&lines).is_err()), "trailers without end");
        assert!(
            Body::new(Framing::Length(usize::MAX), BOUNDS).content.capacity() <= MAX_INITIAL_CAPACITY_BYTES
        );
    }
}
