//! HTTP/1.1 as the lab's stand-ins speak it: heads by `httparse`, bodies by length or in chunks, one message at a
//! time on a connection. Faults are written by the stand-ins themselves, beside this.

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Heads larger than this are refused.
const MOST_HEAD: usize = 64 * 1024;
/// Bodies larger than this are refused.
const MOST_BODY: usize = 8 * 1024 * 1024;

/// A request, whole.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// An answer, whole.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// The value of a header, by its name in any case.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

fn broken(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

/// A connection with what has been read of it and not yet taken.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

enum Framing {
    Length(usize),
    Chunked,
    /// To the end of the connection (answers without either).
    Close,
}

fn framing(headers: &[(String, String)], is_response: bool) -> io::Result<Framing> {
    if header(headers, "Transfer-Encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        return Ok(Framing::Chunked);
    }
    match header(headers, "Content-Length") {
        Some(v) => {
            let n: usize = v.parse().map_err(|_| broken("malformed Content-Length"))?;
            if n > MOST_BODY {
                return Err(broken("body too large"));
            }
            Ok(Framing::Length(n))
        }
        None if is_response => Ok(Framing::Close),
        None => Ok(Framing::Length(0)),
    }
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buf: Vec::with_capacity(4096) }
    }

    /// Bytes read and not yet taken.
    pub fn pending(&self) -> usize {
        self.buf.len()
    }

    /// Reads more; `Ok(false)` at the end of the connection.
    async fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0u8; 16 * 1024];
        let n = self.stream.read(&mut chunk).await?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    }

    /// Reads until a whole head is there; `Ok(None)` at a clean end before any byte.
    async fn head_end(&mut self) -> io::Result<Option<usize>> {
        loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                return Ok(Some(at + 4));
            }
            if self.buf.len() > MOST_HEAD {
                return Err(broken("head too large"));
            }
            if !self.fill().await? {
                return if self.buf.is_empty() {
                    Ok(None)
                } else {
                    Err(io::Error::new(io::ErrorKind::UnexpectedEof, "connection ended within a head"))
                };
            }
        }
    }

    /// The next request; `Ok(None)` where the peer ended the connection between requests.
    pub async fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some(end) = self.head_end().await? else { return Ok(None) };
        let mut slots = [httparse::EMPTY_HEADER; 64];
        let mut parsed = httparse::Request::new(&mut slots);
        match parsed.parse(&self.buf[..end]) {
            Ok(httparse::Status::Complete(_)) => {}
            _ => return Err(broken("malformed request head")),
        }
        let method = parsed.method.unwrap_or("").to_string();
        let target = parsed.path.unwrap_or("").to_string();
        let headers = owned(parsed.headers);
        self.buf.drain(..end);
        let body = self.body(framing(&headers, false)?).await?;
        Ok(Some(Request { method, target, headers, body }))
    }

    /// The next answer, whole; interim answers (1xx) are passed over.
    pub async fn read_response(&mut self) -> io::Result<Response> {
        loop {
            let mut response = self.read_response_head().await?;
            if !(100..200).contains(&response.status) {
                response.body = self.body(framing(&response.headers, true)?).await?;
                return Ok(response);
            }
        }
    }

    /// The head of an answer whose body comes in chunks, for a watch: the body is then read by
    /// [`Conn::next_chunk`].
    pub async fn read_response_head(&mut self) -> io::Result<Response> {
        let end = self.head_end().await?.ok_or_else(|| {
            io::Error::new(io::ErrorKind::UnexpectedEof, "connection ended before an answer")
        })?;
        let mut slots = [httparse::EMPTY_HEADER; 64];
        let mut parsed = httparse::Response::new(&mut slots);
        match parsed.parse(&self.buf[..end]) {
            Ok(httparse::Status::Complete(_)) => {}
            _ => return Err(broken("malformed answer head")),
        }
        let response =
            Response { status: parsed.code.unwrap_or(0), headers: owned(parsed.headers), body: vec![] };
        self.buf.drain(..end);
        Ok(response)
    }

    /// The next chunk of a chunked body; `Ok(None)` at its last one.
    pub async fn next_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line().await?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| broken("malformed chunk size"))?;
        if size > MOST_BODY {
            return Err(broken("chunk too large"));
        }
        if size == 0 {
            // Trailers, to the empty line.
            while !self.line().await?.is_empty() {}
            return Ok(None);
        }
        let data = self.exactly(size).await?;
        if !self.line().await?.is_empty() {
            return Err(broken("chunk without its line end"));
        }
        Ok(Some(data))
    }

    async fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 2);
                return Ok(line);
            }
            if self.buf.len() > MOST_HEAD {
                return Err(broken("line too long"));
            }
            if !self.fill().await? {
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "connection ended within a line"));
            }
        }
    }

    async fn exactly(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            if !self.fill().await? {
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "connection ended within a body"));
            }
        }
        Ok(self.buf.drain(..n).collect())
    }

    async fn body(&mut self, framing: Framing) -> io::Result<Vec<u8>> {
        match framing {
            Framing::Length(n) => self.exactly(n).await,
            Framing::Chunked => {
                let mut body = Vec::new();
                while let Some(chunk) = self.next_chunk().await? {
                    body.extend_from_slice(&chunk);
                    if body.len() > MOST_BODY {
                        return Err(broken("body too large"));
                    }
                }
                Ok(body)
            }
            Framing::Close => {
                while self.fill().await? {
                    if self.buf.len() > MOST_BODY {
                        return Err(broken("body too large"));
                    }
                }
                Ok(std::mem::take(&mut self.buf))
            }
        }
    }

    /// Writes all of `bytes`.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }
}

fn owned(headers: &[httparse::Header]) -> Vec<(String, String)> {
    headers.iter().map(|h| (h.name.to_string(), String::from_utf8_lossy(h.value).into_owned())).collect()
}

/// An answer's bytes: status, headers, a body with its length.
pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    };
    let mut out = format!("HTTP/1.1 {status} {reason}\r\n").into_bytes();
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out
}

/// A request's bytes.
pub fn request(method: &str, target: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    if !body.is_empty() || method != "GET" {
        out.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}
