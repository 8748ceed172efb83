//! A rollout as an operator orders it: the traffic of a service is to be moved to servers of another version.

use crate::facts::{Facts, Res, parse};
use jzon::JsonValue;
use serde::{Deserialize, Serialize};

/// The longest term of a rollout, in seconds.
pub const MAX_TERM_S: f64 = 86_400.0;

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub service: String,
    /// The version of the servers' software that is to take the traffic.
    pub target_version: String,
    /// The rollout is to be completed or reverted within this time, in milliseconds.
    pub term_ms: u32,
}

/// How far a rollout has come, as operators are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    InProgress,
    Completed,
    Reverted,
}

impl Progress {
    pub fn name(self) -> &'static str {
        match self {
            Progress::InProgress => "in_progress",
            Progress::Completed => "completed",
            Progress::Reverted => "reverted",
        }
    }
}

impl Order {
    /// Reads the body of the call that starts a rollout.
    pub fn read(bytes: &[u8]) -> Res<Order> {
        let value = parse(bytes)?;
        let top = Facts::of("", &value)?;
        let term = "a number of seconds above 0 and up to 86400";
        let term_s = top.must("rollout_term_s", term, top.number("rollout_term_s"))?;
        let term_ms = (term_s * 1000.0).floor();
        if !(1.0..=MAX_TERM_S * 1000.0).contains(&term_ms) {
            return Err(top.bad("rollout_term_s", term));
        }
        Ok(Order {
            service: top.name("service_ref")?,
            target_version: top.name("target_version")?,
            term_ms: term_ms as u32,
        })
    }

    /// The order as a call would bring it.
    pub fn write(&self) -> JsonValue {
        jzon::object! {
            service_ref: self.service.as_str(),
            target_version: self.target_version.as_str(),
            rollout_term_s: f64::from(self.term_ms) / 1000.0,
        }
    }
}
