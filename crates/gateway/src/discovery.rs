//! Discovery: watches the list of servers, one JSON object a line, and hands it on. A watch that falls silent
//! is given up and taken up again from the last version; the list at hand stays in force meanwhile. When the
//! configuration names another discovery, the watch moves there at once.

use crate::calls::Calls;
use crate::clients::BOUNDS;
use crate::gate::Gate;
use crate::messages::Told;
use curlewfront::Micros;
use curlewfront_config::Members;
use net::clock::Alarm;
use net::http::{self, Body};
use net::ring::{Outgoing, Ring};
use net::socket::{Watched, connect, events};
use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// While nothing changes a line comes every 2 s: so long without one, and the watch is taken for dead. What
/// discovery has to tell counts as told some seconds later whether it came or not, so the next watch must stand
/// well within that time. After a move it is 4 s, and the next watch needs up to one of them.
const SILENCE_US: Micros = 2_600_000;
/// A connection that takes so long to come up is no good: the agent is on this machine.
const CONNECT_US: Micros = 1_000_000;
/// The agent may have to wait for discovery, which has a line of callers when many come at once. Who leaves the line
/// and joins it anew has made it longer and gets nothing, so this stands above the time that a call may wait there.
const ANSWER_US: Micros = 3_000_000;
/// The longest line: a list of many thousand servers.
const MOST_LINE: usize = 4 * 1024 * 1024;

pub fn start(gate: Arc<Gate>, mut pause: Alarm) -> io::Result<()> {
    let settings = &gate.config.settings;
    let mut calls = Calls::new(settings.balancers, !settings.ask_for_list, gate.config.seed);
    let work = move || {
        let (mut host, mut version) = (gate.config.discovery, gate.config.known.version);
        // The first call at once: the list saved here may name servers long gone, and whatever the agent holds of that
        // counts as told from the start.
        let mut wait = 0;
        loop {
            gate.list.rehang(pause.bell());
            pause.sleep_while(wait, || gate.list.is_empty());
            if let Some(moved) = std::iter::from_fn(|| gate.list.pop()).last() {
                // Another discovery may count its versions anew: all is asked for again, the list stays meanwhile.
                (host, version) = (moved, 0);
                calls.moved();
            }
            let before = version;
            let (mut beats, called_at) = (0, gate.room.clock.now());
            let why = watch(&gate, host, &mut version, &mut beats).err();
            let why = why.map_or_else(|| "ended".to_string(), |e| e.to_string());
            slog::warn!(gate.log, "watch of the list ended"; "why" => why, "at" => %host, "version" => version,
                "lines" => beats);
            // One that lasted no longer than a call may wait for its answer was turned away, whatever came before.
            let served = version != before || gate.room.clock.now() >= called_at + ANSWER_US;
            wait = if served { calls.after_end() } else { calls.after_failure() };
        }
    };
    // Reading JSON needs more room than connections do.
    may::go!(may::coroutine::Builder::new().stack_size(STACK), work)?;
    Ok(())
}

/// In machine words.
const STACK: usize = 0x8000;

fn malformed(what: impl ToString) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, what.to_string())
}

/// One watch, up to its end.
fn watch(gate: &Arc<Gate>, host: SocketAddr, version: &mut u64, beats: &mut u64) -> io::Result<()> {
    let io = connect(host, None)?;
    gate.list.rehang(io.bell());
    let mut patience = Patience { gate, io: &io, until: gate.room.clock.now() + CONNECT_US, armed: None };
    let mut seen = 0;
    while seen & events::WRITABLE == 0 {
        if let Some(e) = io.inner().take_error()? {
            return Err(e);
        }
        patience.check("connection never came up")?;
        seen = io.wait();
    }
    patience.until = gate.room.clock.now() + ANSWER_US;
    let ask = format!("GET /catalog/members?watch=1&after={version} HTTP/1.1\r\nHost: {host}\r\n\r\n");
    let (mut incoming, mut outgoing) = (Ring::default(), Outgoing::default());
    outgoing.push(ask.as_bytes());
    let (mut body, mut line) = (None, Vec::new());
    loop {
        let mut socket = io.inner();
        outgoing.flush(socket)?;
        loop {
            match incoming.fill(BOUNDS.held(), |room| socket.read(room)) {
                Ok(Some(filled)) if filled.bytes == 0 => return Ok(()),
                Ok(_) => {
                    digest(gate, &mut incoming, &mut body, &mut line, version, beats)?;
                    if body.is_some() {
                        patience.until = gate.room.clock.now() + SILENCE_US;
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
        patience.check("silent")?;
        io.wait();
    }
}

/// Ends a wait that has lasted too long, or for a discovery that is the right one no more.
struct Patience<'a> {
    gate: &'a Gate,
    io: &'a Watched<TcpStream>,
    until: Micros,
    /// When the bell will be rung next.
    armed: Option<Micros>,
}

impl Patience<'_> {
    fn check(&mut self, what: &str) -> io::Result<()> {
        let now = self.gate.room.clock.now();
        if !self.gate.list.is_empty() {
            return Err(io::Error::other("moved"));
        }
        if now >= self.until {
            return Err(io::Error::new(ErrorKind::TimedOut, what.to_string()));
        }
        if self.armed.is_none_or(|at| at <= now) {
            let at = self.until + 1000;
            self.armed = Some(at);
            let bell = self.io.bell();
            self.gate.room.alarms.after(at - now, move || bell.ring());
        }
        Ok(())
    }
}

fn digest(
    gate: &Gate,
    incoming: &mut Ring,
    body: &mut Option<Body>,
    line: &mut Vec<u8>,
    version: &mut u64,
    beats: &mut u64,
) -> io::Result<()> {
    if body.is_none() {
        let mut slots = http::NO_HEADERS;
        let head =
            http::response(incoming.bytes(), &mut slots, BOUNDS, false).map_err(|e| malformed(e.what))?;
        let Some(head) = head else { return Ok(()) };
        if head.status != 200 {
            return Err(malformed(format!("discovery answered {}", head.status)));
        }
        let (len, framing) = (head.len, head.framing);
        incoming.consume(len);
        *body = Some(Body::new(framing, BOUNDS));
    }
    while let Some(body) = body.as_mut().filter(|_| !incoming.is_empty()) {
        // In pieces, so that a long list never has to fit the limit of a message's body.
        let bytes = incoming.bytes();
        let piece = bytes.len().min(BOUNDS.body / 2);
        let used = body.take(&bytes[..piece]).map_err(|e| malformed(e.what))?;
        incoming.consume(used);
        for part in std::mem::take(&mut body.content).split_inclusive(|b| *b == b'\n') {
            line.extend_from_slice(part);
            if line.len() > MOST_LINE {
                return Err(malformed("line too long"));
            }
            if part.ends_with(b"\n") {
                *beats += 1;
                tell(gate, line, version)?;
                line.clear();
            }
        }
        if used == 0 {
            break;
        }
    }
    Ok(())
}

fn tell(gate: &Gate, line: &[u8], version: &mut u64) -> io::Result<()> {
    let text = line.trim_ascii();
    if text.is_empty() {
        return Ok(());
    }
    let value = serde_json::from_slice(text).map_err(malformed)?;
    let members = Members::read(&value).map_err(malformed)?;
    *version = members.version;
    gate.module.post(Told::Members(members));
    Ok(())
}
