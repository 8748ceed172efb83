//! How the proxy's listeners read requests: those of clients, and the platform's readiness probes.

use crate::Message;
use net::Micros;
use net::http::{self, Bad, Bounds};
use net::listener::{Answer, ClientTimeouts, Handler, HeadAction, Reply};
use net::memory::BufferedBody;
use proxy::dispatcher::ClientRequest;
use runtime::event_loop::Inbox;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// The most requests of one client's connection that are in flight at once.
const MAX_PIPELINED: usize = 16;
/// The limits of clients' requests until there is a configuration: bytes of the head and of the body, microseconds to
/// wait for the header and on an idle connection.
const DEFAULT_LIMITS: (usize, usize, u64, u64) = (16 * 1024, 1 << 20, 3_000_000, 15_000_000);
/// The status and limits that the listeners' connections read.
pub(crate) struct Status {
    pub(crate) ready: AtomicBool,
    pub(crate) draining: AtomicBool,
    pub(crate) max_head_bytes: AtomicUsize,
    pub(crate) max_body_bytes: AtomicUsize,
    pub(crate) header_wait_us: AtomicU64,
    pub(crate) idle_us: AtomicU64,
}

impl Default for Status {
    fn default() -> Status {
        let (head, body, wait, idle) = DEFAULT_LIMITS;
        Status {
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            max_head_bytes: AtomicUsize::new(head),
            max_body_bytes: AtomicUsize::new(body),
            header_wait_us: AtomicU64::new(wait),
            idle_us: AtomicU64::new(idle),
        }
    }
}

fn refusal(bad: &Bad) -> Answer {
    Answer::text(bad.status, format!("{}\n", bad.what))
}

/// Takes requests of clients.
pub(crate) struct ClientHandler {
    pub(crate) inbox: Inbox<Message>,
    pub(crate) status: Arc<Status>,
}

/// Headers of a client that are not forwarded to servers.
const NOT_FORWARDED: [&str; 4] = ["X-Time-Left", "Authorization", "X-Tenant-Name", "X-Expected-Instance"];

/// The longest time that a client may wait that has told so many whole milliseconds: it may have rounded down.
fn latest_us(left_ms: u64) -> Micros {
    left_ms.saturating_add(1).saturating_mul(1000)
}

impl Handler for ClientHandler {
    type Request = ClientRequest;

    fn bounds(&self) -> Bounds {
        let get = |n: &AtomicUsize| n.load(Ordering::Relaxed);
        Bounds { head: get(&self.status.max_head_bytes), body: get(&self.status.max_body_bytes) }
    }

    fn timeouts(&self) -> ClientTimeouts {
        let get = |n: &AtomicU64| n.load(Ordering::Relaxed);
        let (wait, idle) = (get(&self.status.header_wait_us), get(&self.status.idle_us));
        ClientTimeouts {
            first_request_us: None,
            read_us: wait,
            write_us: idle,
            idle_after_one_us: idle,
            idle_us: idle,
        }
    }

    fn head(&self, head: &http::Request) -> Result<HeadAction<ClientRequest>, Bad> {
        let text =
            |name| http::header(head.headers, name).and_then(|v| std::str::from_utf8(v).ok()).map(str::trim);
        let attempt_id = text("X-Attempt-Id").filter(|id| !id.is_empty());
        let attempt_id = attempt_id.ok_or(Bad { status: 400, what: "no X-Attempt-Id" })?;
        let left = text("X-Time-Left").map(|t| t.parse::<u64>());
        let left_us = left.transpose().map_err(|_| Bad { status: 400, what: "malformed X-Time-Left" })?;
        let key = text("Authorization").and_then(|v| v.split_once(' '));
        let key = key.filter(|(kind, _)| kind.eq_ignore_ascii_case("Token"));
        let mut lines = Vec::with_capacity(head.len);
        http::copy_end_to_end_headers(head.headers, &NOT_FORWARDED, &mut lines);
        Ok(HeadAction::Accept(ClientRequest {
            id: 0,
            method: head.method.to_string(),
            target: head.target.to_string(),
            host: text("Host").unwrap_or("").to_string(),
            attempt_id: attempt_id.as_bytes().into(),
            left_us: left_us.map(latest_us),
            key: key.map(|(_, key)| key.trim().to_string()),
            head: lines,
            body: BufferedBody::default(),
        }))
    }

    fn handle(&self, id: u64, request: ClientRequest, body: BufferedBody, reply: Reply) {
        self.inbox.post(Message::Request(ClientRequest { id, body, ..request }, reply));
    }

    fn max_pipelined(&self) -> usize {
        MAX_PIPELINED
    }

    fn client_gone(&self, id: u64) {
        self.inbox.post(Message::ClientGone(id));
    }

    fn draining(&self) -> bool {
        self.status.draining.load(Ordering::Relaxed)
    }

    fn refusal(&self, bad: &Bad) -> Answer {
        refusal(bad)
    }
}

/// Answers the platform's readiness probe.
pub(crate) struct ReadinessHandler {
    pub(crate) status: Arc<Status>,
}

impl Handler for ReadinessHandler {
    type Request = ();

    fn bounds(&self) -> Bounds {
        Bounds { head: DEFAULT_LIMITS.0, body: 4096 }
    }

    fn timeouts(&self) -> ClientTimeouts {
        let (read_us, idle_us) = (DEFAULT_LIMITS.2, DEFAULT_LIMITS.3);
        ClientTimeouts {
            first_request_us: None,
            read_us,
            write_us: read_us,
            idle_after_one_us: idle_us,
            idle_us,
        }
    }

    fn head(&self, head: &http::Request) -> Result<HeadAction<()>, Bad> {
        Ok(HeadAction::Answer(match settings::api::Call::of(head.method, head.target) {
            Some((settings::api::Call::Ready, _)) if self.status.ready.load(Ordering::Relaxed) => {
                Answer::text(200, "ready\n")
            }
            Some((settings::api::Call::Ready, _)) => Answer::text(503, "not ready\n"),
            _ => Answer::text(404, "no such call\n"),
        }))
    }

    fn handle(&self, _: u64, (): (), _: BufferedBody, reply: Reply) {
        reply.send(Answer::text(404, "no such call\n"));
    }

    fn client_gone(&self, _: u64) {}

    fn draining(&self) -> bool {
        false
    }

    fn refusal(&self, bad: &Bad) -> Answer {
        refusal(bad)
    }
}
