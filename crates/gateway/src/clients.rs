//! The gateway towards its clients: reads the headers of their requests and hands the requests to the decision actor.

use crate::messages::{ClientRequest, DecisionMessage};
use crate::request;
use crate::shared::Shared;
use net::Micros;
use net::http::{self, Bad, Bounds, Framing};
use net::listener::{Answer, ClientTimeouts, Handler, HeadAction, Reply};
use net::memory::BufferedBody;
use net::pool::ForwardedRequest;
use std::sync::Arc;

/// Size limits in bytes of a client's or a server's message.
pub const BOUNDS: Bounds = Bounds { head: 16 * 1024, body: 64 * 1024 };

/// Answered by the gateway itself: whether a list of servers is known.
const HEALTH: &str = "/_health";
/// Answered by the gateway itself: the figures that the decision actor last published.
const STATS: &str = "/_stats";

/// Time for the first request of a connection. A client is owed an error or a close within 3 s.
const FIRST_US: Micros = 2_000_000;
/// Time to send a request that has begun.
const READ_US: Micros = 2_000_000;
const WRITE_US: Micros = 5_000_000;
/// Time that a connection may be idle after its only request so far.
const ONCE_IDLE_US: Micros = 2_100_000;
/// Time that a connection may be idle after several requests.
const IDLE_US: Micros = 60_000_000;

/// Sent on a connection that is closed before it has brought a request.
const NO_REQUEST_YET: Bad = Bad { status: 503, what: "ended before a request came" };

pub struct ClientHandler(pub Arc<Shared>);

impl Handler for ClientHandler {
    type Request = Box<ClientRequest>;

    fn bounds(&self) -> Bounds {
        BOUNDS
    }

    fn timeouts(&self) -> ClientTimeouts {
        ClientTimeouts {
            first_request_us: Some(FIRST_US),
            read_us: READ_US,
            write_us: WRITE_US,
            idle_after_one_us: ONCE_IDLE_US,
            idle_us: IDLE_US,
        }
    }

    fn head(&self, head: &http::Request) -> Result<HeadAction<Box<ClientRequest>>, Bad> {
        let shared = &self.0;
        if head.target != HEALTH && head.target != STATS {
            return request::read(shared, head).map(|request| HeadAction::Accept(Box::new(request)));
        }
        if head.framing != Framing::Length(0) {
            return Err(Bad { status: 400, what: "unexpected body" });
        }
        Ok(HeadAction::Answer(if head.target == STATS {
            Answer::text(200, format!("{}\n", shared.stats()))
        } else if shared.ready() {
            Answer::text(200, "ready\n")
        } else {
            Answer::text(503, "no list yet\n")
        }))
    }

    fn handle(&self, id: u64, mut request: Box<ClientRequest>, body: BufferedBody, reply: Reply) {
        // Up to here `until` is the time allowed, which counts from the last byte of the request.
        request.until += self.0.room.clock.now();
        request.id = id;
        request.client = Some(reply);
        request.passage = ForwardedRequest { head: std::mem::take(&mut request.passage.head), body };
        self.0.decisions.post(DecisionMessage::Request(request));
    }

    fn client_gone(&self, id: u64) {
        self.0.decisions.post(DecisionMessage::Withdrawn { id });
    }

    fn draining(&self) -> bool {
        self.0.draining()
    }

    fn refusal(&self, bad: &Bad) -> Answer {
        let line_end = if bad.what.is_empty() { "" } else { "\n" };
        Answer::text(bad.status, format!("{}{line_end}", bad.what))
    }

    fn close_before_request(&self) -> Option<Bad> {
        Some(NO_REQUEST_YET)
    }

    fn descriptors_exhausted(&self) {
        self.0.decisions.post(DecisionMessage::DescriptorsExhausted);
    }
}
