//! What the gateway speaks with its servers, and what their answers mean to the decisions.

use crate::clients::BOUNDS;
use crate::gate::Gate;
use crate::messages::{self, Carried, Told};
use curlewfront::Outcome;
use net::Micros;
use net::door::Answer;
use net::http;
use net::pool::{Ended, Heard, Job, Peer, Settings, Wire};
use std::net::SocketAddr;
use std::sync::Arc;

pub struct Back(pub Arc<Gate>);

/// Read out of the head of an answer.
pub struct Said {
    never_ran: bool,
    used: Option<f64>,
    units: Option<f64>,
    /// Headers that are passed on.
    head: Vec<u8>,
}

pub fn start(addr: SocketAddr, back: &Arc<Back>) -> Peer<Back> {
    let config = &back.0.config;
    let settings = Settings {
        dial_us: config.dial_timeout_us,
        // After that time a server counts as out of reach, whatever it has begun.
        answer_us: config.dial_timeout_us,
        // One that the server might close any moment is worth less than a new one: an attempt written to it would
        // count as one that may have run.
        idle_us: config.conn_idle_us / 2,
        most: usize::MAX,
        silence: None,
        bounds: BOUNDS,
    };
    Peer::start(addr, back.0.room.clone(), back.clone(), settings)
}

/// The largest figure that is believed: a use of a hundred times the quota. A larger one is a mistake, as is one that
/// is no number.
const MOST_FIGURE: f64 = 1e4;

/// A figure beside an answer: one that cannot be read is passed over, the answer holds all the same.
fn figure(text: &str) -> Option<f64> {
    http::decimal(text.trim()).filter(|n| *n <= MOST_FIGURE)
}

impl Wire for Back {
    type Note = Carried;
    type Said = Said;

    fn last_lines(&self, _: &Job<Carried>, left_us: Micros, out: &mut Vec<u8>) {
        out.extend_from_slice(format!("Request-Timeout: {left_us}u\r\n").as_bytes());
    }

    fn heard(&self, _: &Job<Carried>, head: &http::Response) -> Heard<Said> {
        let text = |name| http::header(head.headers, name).and_then(|v| std::str::from_utf8(v).ok());
        let number = |name| text(name).and_then(figure);
        let mut pass = Vec::new();
        if head.status == 200 {
            http::pass_on(head.headers, &["X-Meter", "X-Settled", "Server-Load"], &mut pass);
        }
        Heard::Mine(Said {
            never_ran: text("Not-Started").is_some_and(|v| v.trim() == "1"),
            used: number("X-Meter").map(|percent| percent / 100.0),
            units: number("X-Settled"),
            head: pass,
        })
    }

    fn ended(&self, ended: Ended<Back>) {
        let (id, attempt) = (ended.id, ended.attempt);
        let told = match ended.outcome {
            Ok(served) => {
                let outcome = match served.status {
                    200 => Outcome::Ok,
                    503 | 504 if served.said.never_ran => Outcome::Full,
                    // Sent to others it would fare no better, and it says nothing of how the fleet is.
                    400..500 => Outcome::Rejected,
                    _ => Outcome::Error,
                };
                let answer = match outcome {
                    Outcome::Ok => Some(Answer::new(200, served.said.head, served.body)),
                    Outcome::Rejected => Some(Answer::text(served.status, "")),
                    _ => None,
                };
                let (used, units) = (served.said.used, served.said.units);
                messages::Ended { id, attempt, outcome, used, units, answer, error: None }
            }
            Err(error) => {
                let outcome = if error.never_ran() { Outcome::ConnectFailed } else { Outcome::Reset };
                messages::Ended { error: Some(error), ..messages::Ended::bare(id, attempt, outcome) }
            }
        };
        self.0.module.post(Told::Ended(told));
    }

    fn crowded(&self) {
        self.0.module.post(Told::Crowded);
    }
}
