//! The gateway before its clients: reads the headers that its requests carry, and hands them to the module.

use crate::gate::Gate;
use crate::messages::{Asked, Told};
use crate::request;
use net::Micros;
use net::door::{Answer, Desk, Heard, Patience, Reply};
use net::http::{self, Bad, Bounds, Framing};
use net::limits::Held;
use net::pool::Passage;
use std::sync::Arc;

/// Of a message, a client's or a server's.
pub const BOUNDS: Bounds = Bounds { head: 16 * 1024, body: 64 * 1024 };

/// Answered here: whether the list is known, and what the module last said of itself.
const HEALTH: &str = "/_health";
const STATS: &str = "/_stats";

/// A client is owed an error or a close within 3 s.
const FIRST_US: Micros = 2_000_000;
const READ_US: Micros = 2_000_000;
const WRITE_US: Micros = 5_000_000;
const ONCE_IDLE_US: Micros = 2_100_000;
const IDLE_US: Micros = 60_000_000;

/// What a connection is told that is ended before it has brought a request.
const UNHEARD: Bad = Bad { status: 503, what: "ended before a request came" };

pub struct Front(pub Arc<Gate>);

impl Desk for Front {
    type Ask = Box<Asked>;

    fn bounds(&self) -> Bounds {
        BOUNDS
    }

    fn patience(&self) -> Patience {
        Patience {
            first_us: Some(FIRST_US),
            read_us: READ_US,
            write_us: WRITE_US,
            once_idle_us: ONCE_IDLE_US,
            idle_us: IDLE_US,
        }
    }

    fn head(&self, head: &http::Request) -> Result<Heard<Box<Asked>>, Bad> {
        let gate = &self.0;
        if head.target != HEALTH && head.target != STATS {
            return request::read(gate, head).map(|asked| Heard::Take(Box::new(asked)));
        }
        if head.framing != Framing::Length(0) {
            return Err(Bad { status: 400, what: "a body where none belongs" });
        }
        Ok(Heard::Say(if head.target == STATS {
            Answer::text(200, format!("{}\n", gate.stats()))
        } else if gate.ready() {
            Answer::text(200, "ready\n")
        } else {
            Answer::text(503, "no list yet\n")
        }))
    }

    fn asked(&self, id: u64, mut asked: Box<Asked>, body: Held, reply: Reply) {
        // `until` holds the time allowed up to here; it counts from the last byte.
        asked.until += self.0.room.clock.now();
        asked.id = id;
        asked.client = Some(reply);
        asked.passage = Passage { head: std::mem::take(&mut asked.passage.head), body };
        self.0.module.post(Told::Asked(asked));
    }

    fn withdrawn(&self, id: u64) {
        self.0.module.post(Told::Withdrawn { id });
    }

    fn draining(&self) -> bool {
        self.0.draining()
    }

    fn refusal(&self, bad: &Bad) -> Answer {
        let line = if bad.what.is_empty() { "" } else { "\n" };
        Answer::text(bad.status, format!("{}{line}", bad.what))
    }

    fn unheard(&self) -> Option<Bad> {
        Some(UNHEARD)
    }

    fn crowded(&self) {
        self.0.module.post(Told::Crowded);
    }
}
