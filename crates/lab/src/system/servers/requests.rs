//! What a stand-in server does with the requests that reach it, one connection at a time.

use super::super::log::{Book, Log, arrival};
use super::super::observed::{BadAnswer, TimeHanded};
use super::super::rollouts::{ERROR_PART, Quality, SLOW_TIMES};
use super::super::{MS, SECOND};
use super::{Life, SLOTS, Servers, body, payload};
use crate::http::{Conn, Request, header, response};
use simulator::Micros;
use simulator::plan::PAUSE;
use simulator::record::Arrival;
use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::SemaphorePermit;

/// Requests that may wait for a slot.
const QUEUE: usize = SLOTS;
/// Kept connections are closed after this; callers are told a second less.
const IDLE: Duration = Duration::from_secs(11);
/// A cold or slowed server takes so many times as long.
const SLOWER: f64 = 3.0;
/// A request that names no time left may take so long.
const UNTOLD: Micros = 60 * SECOND;

/// Answers the requests of a connection until one of the two sides ends it.
pub async fn serve(servers: Arc<Servers>, life: Arc<Life>, stream: TcpStream) {
    let mut conn = Conn::new(stream);
    while let Ok(Ok(Some(request))) = tokio::time::timeout(IDLE, conn.read_request()).await {
        let answer = match Attempt::take(&servers, &life, &conn.stream, &request) {
            Ok(attempt) => attempt.answer(&request).await,
            Err(refusal) => Some(refusal),
        };
        let Some(answer) = answer else { return };
        if conn.write(&answer).await.is_err() {
            return;
        }
    }
}

/// One attempt of a client's try at this server.
struct Attempt<'a> {
    servers: &'a Servers,
    life: &'a Life,
    stream: &'a TcpStream,
    /// The name of the try, as text and as its number.
    name: String,
    number: u64,
    /// The place of this arrival among those of the try.
    at: usize,
    /// When the time that was handed over is used up.
    until: Micros,
}

impl<'a> Attempt<'a> {
    /// Puts down that it has come. Err: the answer by which it is turned away.
    fn take(
        servers: &'a Servers,
        life: &'a Life,
        stream: &'a TcpStream,
        request: &Request,
    ) -> Result<Attempt<'a>, Vec<u8>> {
        let (log, now) = (&servers.log, servers.log.now());
        let name = request.header("X-Attempt-Id").unwrap_or("").to_string();
        let asked = u64::from_str_radix(&name, 16).ok();
        let Some(number) = asked.filter(|n| asked_for(&mut log.book(), *n, request, life)) else {
            return Err(not_run(&name, 400));
        };
        let elsewhere = request.header("X-Expected-Instance").is_some_and(|id| id != life.id);
        let full = life.slots.available_permits() == 0 && life.waiting.load(Relaxed) >= QUEUE;
        let turned_away = if elsewhere { Some(421) } else { full.then_some(503) };
        let at = add_arrival(log, number, life, request, now, turned_away);
        if let Some(status) = turned_away {
            return Err(not_run(&name, status));
        }
        let left = request.header("X-Time-Left").and_then(|t| t.parse::<u64>().ok()).map(|ms| ms * MS);
        log.book().observed.handed.push(TimeHanded { attempt: number, at: now, left });
        let until = now + left.unwrap_or(UNTOLD);
        Ok(Attempt { servers, life, stream, name, number, at, until })
    }

    /// None: the connection ends without a whole answer.
    async fn answer(&self, request: &Request) -> Option<Vec<u8>> {
        let Some(_slot) = self.slot().await else {
            self.note(|arrival| arrival.turned_away = Some(503));
            return Some(not_run(&self.name, 503));
        };
        let begun = self.servers.log.now();
        self.note(|arrival| arrival.ran = Some(begun));
        let _working = Working(self);
        if !self.works_for(self.work_us(begun)).await {
            return self.cut();
        }
        if self.servers.log.now() < self.life.loses_until.load(Relaxed) {
            return self.break_off();
        }
        let (status, answer) = self.result(request, begun);
        if status != 200 || begun >= self.life.pauses_until.load(Relaxed) {
            return Some(answer);
        }
        self.begin_and_pause(&answer).await
    }

    /// A slot to work in. None: the time is up, or the caller has gone.
    async fn slot(&self) -> Option<SemaphorePermit<'a>> {
        self.life.waiting.fetch_add(1, Relaxed);
        let left = self.until.saturating_sub(self.servers.log.now());
        let slot = tokio::select! {
            slot = self.life.slots.acquire() => slot.ok(),
            () = tokio::time::sleep(Duration::from_micros(left)) => None,
            () = closed(self.stream) => None,
        };
        self.life.waiting.fetch_sub(1, Relaxed);
        slot.filter(|_| self.servers.log.now() < self.until)
    }

    fn work_us(&self, begun: Micros) -> Micros {
        let slow_until = self.life.cold_until.load(Relaxed).max(self.life.slow_until.load(Relaxed));
        let slowed = if begun < slow_until { SLOWER } else { 1.0 };
        let by_version = if self.life.quality == Quality::Slow { SLOW_TIMES } else { 1.0 };
        (self.servers.work as f64 * (0.5 + self.servers.chance()) * slowed * by_version) as Micros
    }

    /// The status and the answer once the work is done.
    fn result(&self, request: &Request, begun: Micros) -> (u16, Vec<u8>) {
        let log = &self.servers.log;
        let keep_alive = format!("timeout={}", IDLE.as_secs() - 1);
        let mut headers = vec![("X-Attempt-Id", self.name.clone()), ("Keep-Alive", keep_alive)];
        if log.now() > self.until {
            return (504, response(504, &headers, b""));
        }
        let fails = self.life.quality.fails(begun - self.life.begun) && self.servers.chance() < ERROR_PART;
        if fails || self.life.quality == Quality::Slow {
            let bad = BadAnswer { at: log.now(), server: self.life.id.clone() };
            log.book().observed.bad_answers.push(bad);
        }
        if fails {
            return (500, response(500, &headers, b""));
        }
        headers.push(("X-Server-Seal", self.name.clone()));
        (200, response(200, &headers, &body(self.number, request.target.starts_with("/r-kawe/"))))
    }

    /// Writes all but the last byte, and works on before that one.
    async fn begin_and_pause(&self, answer: &[u8]) -> Option<Vec<u8>> {
        let (begin, rest) = answer.split_at(answer.len() - 1);
        if write_all(self.stream, begin).await.is_err() || !self.works_for(PAUSE).await {
            return self.cut();
        }
        if self.servers.log.now() > self.until {
            return self.break_off();
        }
        Some(rest.to_vec())
    }

    /// Whether the caller stays until this much work is done.
    async fn works_for(&self, work_us: Micros) -> bool {
        tokio::select! {
            () = tokio::time::sleep(Duration::from_micros(work_us)) => true,
            () = closed(self.stream) => false,
        }
    }

    /// The caller has gone.
    fn cut(&self) -> Option<Vec<u8>> {
        let now = self.servers.log.now();
        self.note(|arrival| arrival.cut = Some(now));
        None
    }

    /// The server itself ends the connection.
    fn break_off(&self) -> Option<Vec<u8>> {
        self.note(|arrival| arrival.broke = true);
        None
    }

    fn note(&self, change: impl FnOnce(&mut Arrival)) {
        change(arrival(&mut self.servers.log.book(), self.number, self.at));
    }
}

/// Puts down when the work ended, and that the server itself broke off if it ends while it works.
struct Working<'a>(&'a Attempt<'a>);

impl Drop for Working<'_> {
    fn drop(&mut self) {
        let Attempt { servers, life, number, at, .. } = self.0;
        let now = servers.log.now();
        let mut book = servers.log.book();
        book.observed.worked_until.insert(*number, now);
        if life.ended.load(Relaxed) {
            arrival(&mut book, *number, *at).broke = true;
        }
    }
}

/// The answer to a request that this server has not run.
fn not_run(name: &str, status: u16) -> Vec<u8> {
    let headers = [("X-Attempt-Id", name.to_string()), ("X-Not-Executed", "1".to_string())];
    response(status, &headers, b"")
}

/// Returns its place among the arrivals of its try.
fn add_arrival(
    log: &Log,
    number: u64,
    life: &Life,
    request: &Request,
    now: Micros,
    turned_away: Option<u16>,
) -> usize {
    let mut book = log.book();
    let tried = &mut book.tries[number as usize];
    let (edge, proxy_life) = (tried.edge, tried.life);
    tried.arrivals.push(Arrival {
        // When the proxy sent it is not seen from here; over loopback it is the same moment.
        sent: now,
        at: now,
        edge,
        life: proxy_life,
        server: life.id.clone(),
        service: life.service.clone(),
        zone: life.zone.clone(),
        region: life.region.clone(),
        tenant: request.header("X-Tenant-Name").map(str::to_string),
        turned_away,
        ran: None,
        broke: false,
        cut: None,
    });
    tried.arrivals.len() - 1
}

/// Whoever called has gone.
async fn closed(stream: &TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}

async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Whether a client sent this, just so; what nobody sent is put down.
fn asked_for(book: &mut Book, n: u64, request: &Request, life: &Life) -> bool {
    let wrong = match book.tries.get(n as usize) {
        None => Some("a try that no client sent".to_string()),
        Some(t) => {
            let (method, sent) = if t.once { ("POST", payload(n)) } else { ("GET", Vec::new()) };
            let same = request.method == method && request.target == t.path && request.body == sent;
            let key = header(&request.headers, "Authorization").is_some();
            if !same {
                Some(format!("changed on the way: {} {}", request.method, request.target))
            } else {
                key.then(|| "the tenant's key was passed on".to_string())
            }
        }
    };
    if let Some(what) = wrong.clone() {
        book.unasked.push((Some(n), format!("at {}: {what}", life.id)));
    }
    wrong.is_none()
}
