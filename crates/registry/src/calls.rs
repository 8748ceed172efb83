//! Calls from servers, operators and clients as parsed from HTTP, and the answers to them.

use cluster::rollout::Declined;
use cluster::state::{Done, Node};
use settings::config::show_version;
use std::ops::Deref;
use std::sync::Arc;

/// An HTTP request before its path and body are interpreted.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub if_match: Option<String>,
    pub body: Vec<u8>,
}

/// The text of an answer.
#[derive(Clone, Debug)]
pub enum AnswerBody {
    Own(String),
    /// The configuration, as all who read it get it: one copy in memory.
    Configuration(Arc<str>),
}

impl Deref for AnswerBody {
    type Target = str;

    fn deref(&self) -> &str {
        match self {
            AnswerBody::Own(text) => text,
            AnswerBody::Configuration(text) => text,
        }
    }
}

impl From<String> for AnswerBody {
    fn from(text: String) -> AnswerBody {
        AnswerBody::Own(text)
    }
}

impl From<Arc<str>> for AnswerBody {
    fn from(text: Arc<str>) -> AnswerBody {
        AnswerBody::Configuration(text)
    }
}

impl PartialEq for AnswerBody {
    fn eq(&self, other: &AnswerBody) -> bool {
        **self == **other
    }
}

impl Eq for AnswerBody {}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub body: AnswerBody,
}

impl Answer {
    pub fn json(status: u16, body: impl Into<AnswerBody>) -> Answer {
        Answer { status, body: body.into() }
    }

    pub fn ok() -> Answer {
        Answer::json(200, "{}".to_string())
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
            Done::Unbooked(why) => crate::bookings::refusal_answer(why),
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
