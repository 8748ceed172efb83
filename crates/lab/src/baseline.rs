//! Two plain policies, only as lines to compare against, run as gateway processes of the lab's own program
//! (`curlewfront-lab baseline POLICY`, with `EDGE_CONFIG` as a gateway has it):
//!
//! - `round-robin`: every request to the next server of the list that is ready; no limits, no further attempts.
//! - `token-bucket`: the same, behind a token bucket for each customer at its plan's rate over its spread, with
//!   the burst split alike (one unit at the least); beyond it, 429 with `Retry-After`.
//!
//! Neither holds a target, a cap on what is in flight, or any of the rules' guards.

use crate::fleet::{metering, span_us};
use crate::http::{self, Conn, Request};
use curlewfront::State;
use curlewfront_config::{Config, Member, Members};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// The plain policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Policy {
    RoundRobin,
    TokenBucket,
}

struct Proxy {
    policy: Policy,
    config: Config,
    servers: Mutex<Vec<SocketAddr>>,
    next: AtomicUsize,
    buckets: Mutex<HashMap<u64, (f64, Instant)>>,
    known: std::sync::atomic::AtomicBool,
}

/// Runs a plain policy until the process is ended.
pub async fn serve(policy: Policy) -> Result<(), String> {
    let config = Config::load(|k| std::env::var(k).ok())?;
    let listener =
        TcpListener::bind(config.listen).await.map_err(|e| format!("listen {}: {e}", config.listen))?;
    let proxy = Arc::new(Proxy {
        policy,
        servers: Mutex::new(ready(config.known.servers.iter())),
        known: (!config.known.servers.is_empty()).into(),
        config,
        next: AtomicUsize::new(0),
        buckets: Mutex::new(HashMap::new()),
    });
    tokio::spawn(proxy.clone().watch());
    loop {
        let (stream, _) = listener.accept().await.map_err(|e| e.to_string())?;
        tokio::spawn(proxy.clone().client(stream));
    }
}

/// The addresses of those that are up, in order.
fn ready<'a>(servers: impl Iterator<Item = &'a Member>) -> Vec<SocketAddr> {
    let mut up: Vec<SocketAddr> = servers.filter(|s| s.state == State::Up).filter_map(|s| s.addr).collect();
    up.sort();
    up
}

impl Proxy {
    /// Follows discovery's watch; a whole list replaces, changes edit.
    async fn watch(self: Arc<Proxy>) {
        let mut version = 0;
        let mut all: HashMap<String, Member> = HashMap::new();
        loop {
            let Ok(stream) = TcpStream::connect(self.config.discovery).await else {
                tokio::time::sleep(Duration::from_millis(500)).await;
                continue;
            };
            let mut conn = Conn::new(stream);
            let path = format!("/catalog/members?watch=1&after={version}");
            let head = [("Host", "discovery".to_string())];
            if conn.write(&http::request("GET", &path, &head, b"")).await.is_err()
                || conn.read_response_head().await.is_err()
            {
                tokio::time::sleep(Duration::from_millis(500)).await;
                continue;
            }
            while let Ok(Some(chunk)) = conn.next_chunk().await {
                for line in chunk.split(|b| *b == b'\n').filter(|l| !l.iter().all(u8::is_ascii_whitespace)) {
                    let Ok(value) = serde_json::from_slice::<serde_json::Value>(line) else { continue };
                    let Ok(members) = Members::read(&value) else { continue };
                    if members.full {
                        all.clear();
                    }
                    for m in members.servers {
                        if m.state == State::Gone {
                            all.remove(&m.id);
                        } else {
                            all.insert(m.id.clone(), m);
                        }
                    }
                    version = members.version;
                    *self.servers.lock().unwrap_or_else(|e| e.into_inner()) = ready(all.values());
                    self.known.store(true, Ordering::Relaxed);
                }
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    async fn client(self: Arc<Proxy>, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(request)) = conn.read_request().await {
            let answer = if request.target == "/_health" {
                let known = self.known.load(Ordering::Relaxed);
                http::response(if known { 200 } else { 503 }, &[], b"")
            } else {
                self.forward(&request).await
            };
            if conn.write(&answer).await.is_err() {
                return;
            }
        }
    }

    /// Whether the customer's bucket here holds the request's units; takes them if so.
    fn admit(&self, request: &Request) -> bool {
        if self.policy == Policy::RoundRobin {
            return true;
        }
        let plans = &self.config.plans;
        let plan = request.header("X-Contract").and_then(|p| plans.iter().position(|n| n == p));
        let customer = request.header("X-Client-Id").and_then(|c| u64::from_str_radix(c, 16).ok());
        let (Some(plan), Some(customer), Some(units), Some(spread)) =
            (plan, customer, metering(request, "units"), metering(request, "spread"))
        else {
            return true;
        };
        let p = &self.config.settings.plans[plan];
        if p.rate <= 0.0 {
            return true;
        }
        let spread = spread.max(1.0);
        let (rate, burst) = (p.rate / spread, (p.burst / spread).max(1.0));
        let mut buckets = self.buckets.lock().unwrap_or_else(|e| e.into_inner());
        let now = Instant::now();
        let (level, then) = buckets.entry(customer).or_insert((burst, now));
        *level = (*level + rate * now.duration_since(*then).as_secs_f64()).min(burst);
        *then = now;
        if *level >= units.min(burst) {
            *level -= units;
            true
        } else {
            false
        }
    }

    async fn forward(&self, request: &Request) -> Vec<u8> {
        if !self.admit(request) {
            return http::response(429, &[("Retry-After", "0.2".into())], b"over quota\n");
        }
        let server = {
            let servers = self.servers.lock().unwrap_or_else(|e| e.into_inner());
            if servers.is_empty() {
                return http::response(503, &[("Retry-After", "0.5".into())], b"no server\n");
            }
            servers[self.next.fetch_add(1, Ordering::Relaxed) % servers.len()]
        };
        let timeout = request
            .header("Request-Timeout")
            .and_then(span_us)
            .map_or(Duration::from_secs(5), Duration::from_micros);
        let head: Vec<(&str, String)> = request
            .headers
            .iter()
            .filter(|(n, _)| {
                !n.eq_ignore_ascii_case("Content-Length") && !n.eq_ignore_ascii_case("Connection")
            })
            .map(|(n, v)| (n.as_str(), v.clone()))
            .collect();
        let bytes = http::request(&request.method, &request.target, &head, &request.body);
        let once = async {
            let mut conn = Conn::new(TcpStream::connect(server).await?);
            conn.write(&bytes).await?;
            conn.read_response().await
        };
        match tokio::time::timeout(timeout, once).await {
            Ok(Ok(r)) if r.status == 200 => http::response(200, &[], &r.body),
            Ok(Ok(r)) if r.header("Not-Started") == Some("1") => http::response(503, &[], b"turned away\n"),
            Ok(Ok(r)) => http::response(if r.status >= 500 { 502 } else { r.status }, &[], b""),
            _ => http::response(502, &[], b"no answer\n"),
        }
    }
}
