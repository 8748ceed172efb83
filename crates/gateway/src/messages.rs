//! What the actors tell each other. One file that all share: an actor's file needs those of the actors it starts, never
//! the files of those that it only sends to, so the files stand in a line and not in a circle.

use crate::errors::AttemptError;
use crate::limits::Lease;
use crate::mailbox::Mailbox;
use curlewfront::{Micros, Outcome};
use curlewfront_config::Members;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// What a client's connection is told.
pub enum ToClient {
    Answer {
        id: u64,
        answer: Answer,
    },
    /// Close if this is still all that it does.
    Close(Doing),
    /// After a break: it may read on.
    GoOn,
}

pub enum Answer {
    /// Headers, blank line and body of a server's answer, as they go to the client.
    Served(Vec<u8>),
    Refused {
        retry_after_us: Micros,
    },
    /// The request itself is at fault.
    Rejected {
        status: u16,
    },
    Failed,
}

/// What a connection is doing, as far as it matters to the others.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Doing {
    Idle,
    /// The module has its request.
    Waiting,
    /// A part of a request has come.
    Reading,
    /// An answer is not yet taken.
    Writing,
    /// It ends; nothing more is owed.
    Parting,
}

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
    pub client: Option<Arc<Mailbox<ToClient>>>,
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
    pub fn failed(job: &Job, error: AttemptError) -> Ended {
        let outcome = error.outcome();
        Ended { error: Some(error), ..Ended::bare(job.id, job.attempt, outcome) }
    }

    /// An outcome that no answer came with.
    pub fn bare(id: u64, attempt: u32, outcome: Outcome) -> Ended {
        Ended { id, attempt, outcome, used: None, units: None, answer: None, error: None }
    }
}

/// A request as it goes to a server, but for the time that is left.
pub struct Passage {
    /// Request line and headers, without the blank line that ends them.
    pub head: Vec<u8>,
    pub body: Vec<u8>,
    /// Leave to hold the body.
    pub lease: Option<Lease>,
}

pub struct Job {
    pub id: u64,
    pub attempt: u32,
    pub passage: Arc<Passage>,
    /// When the gateway stops waiting.
    pub until: Micros,
    pub _carried: Carried,
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

/// What a server's actor is told.
pub enum ToServer {
    Send(Job),
    /// `late`: its time was up, and this is when it was sent.
    GiveUp {
        id: u64,
        attempt: u32,
        late: Option<Micros>,
    },
    Listed {
        addr: SocketAddr,
        up: bool,
    },
    /// Off the list for good.
    Gone,
    CloseIdle,
    /// By one of its connections: ready for the next attempt.
    Free {
        conn: u64,
    },
    Connected {
        conn: u64,
    },
    /// By one of its connections: it has ended; of this attempt nothing was written.
    Ended {
        conn: u64,
        unsent: Option<Job>,
    },
    DialTimeout {
        conn: u64,
    },
    Sweep,
}
