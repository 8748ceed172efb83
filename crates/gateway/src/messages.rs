//! What the actors tell each other. One file that all share: an actor's file needs those of the actors it starts, never
//! the files of those that it only sends to, so the files stand in a line and not in a circle.

use curlewfront::{Micros, Outcome};
use curlewfront_config::Members;
use net::door::{Answer, Reply};
use net::errors::AttemptError;
use net::pool::Passage;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// What the module's actor is told.
pub enum Told {
    Asked(Box<Asked>),
    Withdrawn {
        id: u64,
    },
    Ended(Ended),
    Members(Members),
    /// No descriptor is left: idle connections to servers are to give way.
    Crowded,
}

/// A client's request, whole and well formed.
pub struct Asked {
    pub id: u64,
    /// What its client calls it.
    pub name: Arc<[u8]>,
    pub client: Option<Reply>,
    pub class: usize,
    pub plan: usize,
    pub customer: u64,
    /// When the client stops waiting.
    pub until: Micros,
    pub units: f64,
    /// More than this no request of its plan can draw.
    pub most_units: f64,
    pub spread: u32,
    pub first: u32,
    pub repeat: bool,
    pub passage: Passage,
}

/// What became of an attempt.
pub struct Ended {
    pub id: u64,
    pub attempt: u32,
    pub outcome: Outcome,
    pub used: Option<f64>,
    pub units: Option<f64>,
    pub answer: Option<Answer>,
    pub error: Option<AttemptError>,
}

impl Ended {
    /// An outcome that no answer came with.
    pub fn bare(id: u64, attempt: u32, outcome: Outcome) -> Ended {
        Ended { id, attempt, outcome, used: None, units: None, answer: None, error: None }
    }
}

/// Counts the attempts that are on connections or on their way to one, as long as it lives with its attempt.
pub struct Carried(Arc<AtomicUsize>);

impl Carried {
    pub fn one_more(count: &Arc<AtomicUsize>) -> Carried {
        count.fetch_add(1, Ordering::Relaxed);
        Carried(count.clone())
    }
}

impl Drop for Carried {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
