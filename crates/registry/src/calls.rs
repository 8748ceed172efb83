//! Calls from outside, read far enough to be decided on, and the answers to them.

use cluster::Micros;
use cluster::rollout::Declined;
use cluster::state::{Done, Node, Server};
use settings::config::show_version;

/// A call as it came.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub if_match: Option<String>,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Answer {
    pub fn json(status: u16, body: String) -> Answer {
        Answer { status, body }
    }

    pub fn ok() -> Answer {
        Answer::json(200, "{}".into())
    }

    pub fn error(status: u16, why: &str) -> Answer {
        Answer::json(status, jzon::object! { trouble: why }.dump())
    }

    pub fn unavailable(why: &str) -> Answer {
        Answer::error(503, why)
    }

    pub fn done(done: &Done) -> Answer {
        match done {
            Done::Taken => Answer::ok(),
            Done::Conflict { current } => {
                Answer::error(412, &format!("another version is current: {}", show_version(*current)))
            }
            Done::Invalid(why) => Answer::error(400, why),
            Done::Overtaken => Answer::unavailable(
                "something newer was ordered meanwhile: send it again if it is still wanted",
            ),
            Done::Forgotten { from } => Answer::unavailable(&format!(
                "older than what is remembered, which is from {} on: perhaps it was taken; read what is current",
                show_version(*from)
            )),
            Done::Unbooked(why) => crate::bookings::unbooked(why),
            Done::Declined(Declined::NoService) => Answer::error(404, "no such service in the configuration"),
            Done::Declined(Declined::UnderWay { target_version }) => {
                Answer::error(409, &format!("a rollout to {target_version} is under way"))
            }
        }
    }

    pub fn resolution(nodes: &[&Node], validity_s: f64) -> Answer {
        let list: Vec<_> = nodes.iter().map(|n| n.front).collect();
        Answer::json(200, settings::api::resolution_answer(&list, validity_s))
    }
}

/// Cold for longer than was known, by more than a call may be late.
pub fn colder(server: &Server, now: Micros, left_ms: u32) -> bool {
    const LATE_MS: u64 = 500;
    left_ms > 0 && now + u64::from(left_ms) * 1000 > server.cold_until() + LATE_MS * 1000
}
