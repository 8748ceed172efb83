//! The gateway towards its servers: what it adds to their requests, and how their answers map to outcomes.

use crate::clients::BOUNDS;
use crate::messages::{AttemptEnd, DecisionMessage, InPoolGuard};
use crate::shared::Shared;
use curlewfront::Outcome;
use net::Micros;
use net::http;
use net::listener::Answer;
use net::pool::{Ended, Job, Peer, ResponseMatch, Settings, Wire};
use std::net::SocketAddr;
use std::sync::Arc;

pub struct ServerHandler(pub Arc<Shared>);

/// What is read from the head of an answer.
pub struct AnswerHead {
    /// The server says that it did not start on the request.
    never_ran: bool,
    /// The customer's use by all gateways, as a fraction of its quota.
    used: Option<f64>,
    /// The units that the request really used.
    units: Option<f64>,
    /// The header lines that are passed on to the client.
    passed_on: Vec<u8>,
}

/// Starts the actor that owns the connections to one server.
pub fn start(addr: SocketAddr, handler: &Arc<ServerHandler>) -> Peer<ServerHandler> {
    let config = &handler.0.config;
    let settings = Settings {
        dial_us: config.dial_timeout_us,
        // A server that takes longer than this counts as unreachable, even if it has begun to answer.
        answer_us: Some(config.dial_timeout_us),
        // An old connection that the server might close at any moment is worth less than a new one: an attempt written
        // to it would count as one that may have run.
        idle_us: config.conn_idle_us / 2,
        max_connections: usize::MAX,
        tcp_user_timeout: None,
        bounds: BOUNDS,
    };
    Peer::start(addr, handler.0.room.clone(), handler.clone(), settings)
}

/// The largest figure in an answer that is believed. For `X-Meter`, which is in percent, this is a use of a hundred
/// times the quota; anything larger is taken for a mistake.
const MAX_FIGURE: f64 = 1e4;

/// Reads a figure from a header of an answer. One that cannot be read is ignored; the answer itself stays valid.
fn figure(text: &str) -> Option<f64> {
    http::decimal(text.trim()).filter(|n| *n <= MAX_FIGURE)
}

impl Wire for ServerHandler {
    type Note = InPoolGuard;
    type HeadInfo = AnswerHead;

    fn attempt_headers(&self, _: &Job<InPoolGuard>, left_us: Micros, out: &mut Vec<u8>) {
        out.extend_from_slice(format!("Request-Timeout: {left_us}u\r\n").as_bytes());
    }

    fn response_head(&self, _: &Job<InPoolGuard>, head: &http::Response) -> ResponseMatch<AnswerHead> {
        let text = |name| http::header(head.headers, name).and_then(|v| std::str::from_utf8(v).ok());
        let number = |name| text(name).and_then(figure);
        let mut passed_on = Vec::new();
        if head.status == 200 {
            http::copy_end_to_end_headers(
                head.headers,
                &["X-Meter", "X-Settled", "Server-Load"],
                &mut passed_on,
            );
        }
        ResponseMatch::Expected(AnswerHead {
            never_ran: text("Not-Started").is_some_and(|v| v.trim() == "1"),
            used: number("X-Meter").map(|percent| percent / 100.0),
            units: number("X-Settled"),
            passed_on,
        })
    }

    fn ended(&self, ended: Ended<ServerHandler>) {
        let (id, attempt) = (ended.id, ended.attempt);
        let end = match ended.outcome {
            Ok(served) => {
                let outcome = match served.status {
                    200 => Outcome::Ok,
                    503 | 504 if served.head_info.never_ran => Outcome::Full,
                    // Another server would reject it too, and it says nothing about the health of this one.
                    400..500 => Outcome::Rejected,
                    _ => Outcome::Error,
                };
                let answer = match outcome {
                    Outcome::Ok => Some(Answer::new(200, served.head_info.passed_on, served.body)),
                    Outcome::Rejected => Some(Answer::text(served.status, "")),
                    _ => None,
                };
                let (used, units) = (served.head_info.used, served.head_info.units);
                AttemptEnd { id, attempt, outcome, used, units, answer, error: None }
            }
            Err(error) => {
                let outcome = if error.never_ran() { Outcome::ConnectFailed } else { Outcome::Reset };
                AttemptEnd { error: Some(error), ..AttemptEnd::without_answer(id, attempt, outcome) }
            }
        };
        self.0.decisions.post(DecisionMessage::AttemptEnded(end));
    }

    fn descriptors_exhausted(&self) {
        self.0.decisions.post(DecisionMessage::DescriptorsExhausted);
    }
}
