//! The messages between actors. They have a file of their own so that the files of actors depend on each other in one
//! direction only: an actor's file imports the files of the actors that it starts, and none of the files of actors
//! that it merely sends messages to.

use curlewfront::{Micros, Outcome};
use curlewfront_config::Members;
use net::errors::AttemptError;
use net::listener::{Answer, Reply};
use net::pool::ForwardedRequest;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A message to the decision actor.
pub enum DecisionMessage {
    Request(Box<ClientRequest>),
    /// The client has gone before its answer.
    Withdrawn {
        id: u64,
    },
    AttemptEnded(AttemptEnd),
    ServerList(Members),
    /// No descriptor is left: idle connections to servers must be closed.
    DescriptorsExhausted,
}

/// A client's complete and well-formed request.
pub struct ClientRequest {
    /// Number of the request within this gateway.
    pub id: u64,
    /// The client's own name for the request (`Request-Id`).
    pub name: Arc<[u8]>,
    pub client: Option<Reply>,
    pub class: usize,
    pub plan: usize,
    pub customer: u64,
    /// When the client stops waiting.
    pub until: Micros,
    pub units: f64,
    /// The most units that a request of this plan can use.
    pub most_units: f64,
    pub spread: u32,
    pub first: u32,
    pub repeat: bool,
    pub passage: ForwardedRequest,
}

/// How an attempt ended.
pub struct AttemptEnd {
    /// The request.
    pub id: u64,
    pub attempt: u32,
    pub outcome: Outcome,
    /// The customer's use by all gateways, as a fraction of its quota, if the server reported it.
    pub used: Option<f64>,
    /// The units that the request really used, if the server reported them.
    pub units: Option<f64>,
    pub answer: Option<Answer>,
    pub error: Option<AttemptError>,
}

impl AttemptEnd {
    pub fn without_answer(id: u64, attempt: u32, outcome: Outcome) -> AttemptEnd {
        AttemptEnd { id, attempt, outcome, used: None, units: None, answer: None, error: None }
    }
}

/// Counts one attempt as being on a server connection or queued for one, until it is dropped with the attempt.
pub struct InPoolGuard(Arc<AtomicUsize>);

impl InPoolGuard {
    pub fn new(count: &Arc<AtomicUsize>) -> InPoolGuard {
        count.fetch_add(1, Ordering::Relaxed);
        InPoolGuard(count.clone())
    }
}

impl Drop for InPoolGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
