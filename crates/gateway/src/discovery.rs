//! The discovery actor: watches the list of servers, one JSON object per line, and hands each line to the decision
//! actor. A watch that falls silent is given up, and the next one continues from the last version; the current list
//! stays in force meanwhile. When the configuration names another discovery, the watch moves there at once.

use crate::backoff::Backoff;
use crate::clients::BOUNDS;
use crate::messages::DecisionMessage;
use crate::shared::Shared;
use curlewfront::Micros;
use curlewfront_config::Members;
use net::clock::Alarm;
use net::http::{self, Body};
use net::ring::{Outgoing, Ring};
use net::socket::{Watched, connect, events};
use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// A watch without a line for this long counts as dead: a line comes every 2 s even if nothing changes. What discovery
/// announces counts as known some seconds later whether it arrived or not, so the next watch must be up well within
/// that time. After a move to another discovery it is 4 s, of which the next watch needs up to one.
const SILENCE_US: Micros = 2_600_000;
/// The agent is on this machine, so a connection that takes longer than this is given up.
const CONNECT_US: Micros = 1_000_000;
/// The agent may have to wait for discovery, which queues calls when many come at once. A caller that gives up and calls
/// again only lengthens the queue and gets nothing, so this is longer than a call may wait there.
const ANSWER_US: Micros = 3_000_000;
/// In bytes; enough for a list of many thousand servers.
const MAX_LINE: usize = 4 * 1024 * 1024;
/// Stack size of the actor in machine words. Reading JSON needs more than a connection does.
const STACK_WORDS: usize = 0x8000;

pub fn start(shared: Arc<Shared>, mut alarm: Alarm) -> io::Result<()> {
    let settings = &shared.config.settings;
    let mut backoff = Backoff::new(settings.balancers, !settings.ask_for_list, shared.config.seed);
    let run = move || {
        let (mut host, mut version) = (shared.config.discovery, shared.config.known.version);
        // The first call is made at once: the saved list may name servers that are long gone, and all that the agent
        // has heard of them counts as known from the start.
        let mut wait = 0;
        loop {
            shared.discovery.set_waker(alarm.waker());
            alarm.sleep_while(wait, || shared.discovery.is_empty());
            if let Some(new_host) = std::iter::from_fn(|| shared.discovery.pop()).last() {
                // Another discovery may number its versions differently, so the whole list is requested again. The
                // current list stays in force meanwhile.
                (host, version) = (new_host, 0);
                backoff.reset();
            }
            let version_before = version;
            let (mut lines, called_at) = (0, shared.room.clock.now());
            let why = watch(&shared, host, &mut version, &mut lines).err();
            let why = why.map_or_else(|| "ended".to_string(), |e| e.to_string());
            slog::warn!(shared.log, "watch of the list ended"; "why" => why, "at" => %host, "version" => version,
                "lines" => lines);
            // A watch that brought no new version and lasted no longer than a call may wait for its answer counts as
            // rejected.
            let served = version != version_before || shared.room.clock.now() >= called_at + ANSWER_US;
            wait = if served { backoff.after_watch_end() } else { backoff.after_failure() };
        }
    };
    may::go!(may::coroutine::Builder::new().stack_size(STACK_WORDS), run)?;
    Ok(())
}

fn malformed(what: impl ToString) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, what.to_string())
}

/// Runs one watch until it ends. Updates `version` to that of the last list, and counts the lines received.
fn watch(shared: &Arc<Shared>, host: SocketAddr, version: &mut u64, lines: &mut u64) -> io::Result<()> {
    let io = connect(host, None)?;
    shared.discovery.set_waker(io.waker());
    let mut deadline =
        Deadline { shared, io: &io, until: shared.room.clock.now() + CONNECT_US, wake_at: None };
    let mut seen = 0;
    while seen & events::WRITABLE == 0 {
        if let Some(e) = io.inner().take_error()? {
            return Err(e);
        }
        deadline.check("connect timed out")?;
        seen = io.wait();
    }
    deadline.until = shared.room.clock.now() + ANSWER_US;
    let request = format!("GET /catalog/members?watch=1&after={version} HTTP/1.1\r\nHost: {host}\r\n\r\n");
    let (mut incoming, mut outgoing) = (Ring::default(), Outgoing::default());
    outgoing.push(request.as_bytes());
    let (mut body, mut line) = (None, Vec::new());
    loop {
        let mut socket = io.inner();
        outgoing.flush(socket)?;
        loop {
            match incoming.fill(BOUNDS.buffer_bytes(), |room| socket.read(room)) {
                Ok(Some(filled)) if filled.bytes == 0 => return Ok(()),
                Ok(_) => {
                    receive(shared, &mut incoming, &mut body, &mut line, version, lines)?;
                    if body.is_some() {
                        deadline.until = shared.room.clock.now() + SILENCE_US;
                    }
                    if body.as_ref().is_some_and(Body::done) {
                        return Ok(());
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        deadline.check("silent")?;
        io.wait();
    }
}

/// Ends a watch whose time is up, or whose discovery has been replaced by another.
struct Deadline<'a> {
    shared: &'a Shared,
    io: &'a Watched<TcpStream>,
    until: Micros,
    /// When the actor will be woken next.
    wake_at: Option<Micros>,
}

impl Deadline<'_> {
    fn check(&mut self, what: &str) -> io::Result<()> {
        let now = self.shared.room.clock.now();
        if !self.shared.discovery.is_empty() {
            return Err(io::Error::other("moved"));
        }
        if now >= self.until {
            return Err(io::Error::new(ErrorKind::TimedOut, what.to_string()));
        }
        if self.wake_at.is_none_or(|at| at <= now) {
            let at = self.until + 1000;
            self.wake_at = Some(at);
            let waker = self.io.waker();
            self.shared.room.alarms.after(at - now, move || waker.wake());
        }
        Ok(())
    }
}

/// Reads the answer from the bytes received so far and hands on each complete line.
fn receive(
    shared: &Shared,
    incoming: &mut Ring,
    body: &mut Option<Body>,
    line: &mut Vec<u8>,
    version: &mut u64,
    lines: &mut u64,
) -> io::Result<()> {
    if body.is_none() {
        let mut headers = http::NO_HEADERS;
        let head =
            http::response(incoming.bytes(), &mut headers, BOUNDS, false).map_err(|e| malformed(e.what))?;
        let Some(head) = head else { return Ok(()) };
        if head.status != 200 {
            return Err(malformed(format!("discovery answered {}", head.status)));
        }
        let (len, framing) = (head.len, head.framing);
        incoming.consume(len);
        *body = Some(Body::new(framing, BOUNDS));
    }
    while let Some(body) = body.as_mut().filter(|_| !incoming.is_empty()) {
        // Taken in pieces, because a long list may exceed the size limit of a message's body.
        let bytes = incoming.bytes();
        let piece = bytes.len().min(BOUNDS.body / 2);
        let used = body.take(&bytes[..piece]).map_err(|e| malformed(e.what))?;
        incoming.consume(used);
        for part in std::mem::take(&mut body.content).split_inclusive(|b| *b == b'\n') {
            line.extend_from_slice(part);
            if line.len() > MAX_LINE {
                return Err(malformed("line too long"));
            }
            if part.ends_with(b"\n") {
                *lines += 1;
                hand_on(shared, line, version)?;
                line.clear();
            }
        }
        if used == 0 {
            break;
        }
    }
    Ok(())
}

/// Hands the list in `line` to the decision actor. Empty lines are keepalives.
fn hand_on(shared: &Shared, line: &[u8], version: &mut u64) -> io::Result<()> {
    let text = line.trim_ascii();
    if text.is_empty() {
        return Ok(());
    }
    let value = serde_json::from_slice(text).map_err(malformed)?;
    let members = Members::read(&value).map_err(malformed)?;
    *version = members.version;
    shared.decisions.post(DecisionMessage::ServerList(members));
    Ok(())
}
