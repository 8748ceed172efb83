//! What clients, servers and the platform saw beside the record: connections that were kept, answers of the directory,
//! readiness, and the time that servers were handed.

use super::rollouts::Quality;
use simulator::Micros;
use simulator::record::{Fate, Host};
use std::collections::{BTreeMap, BTreeSet};

/// A process was asked whether it is ready.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Readiness {
    pub at: Micros,
    pub host: Host,
    pub life: u64,
    pub ready: bool,
}

/// The directory named a proxy that had not run for so long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StaleAddress {
    pub at: Micros,
    /// The core machine that answered.
    pub by: Host,
    pub host: Host,
    pub down_for: Micros,
}

/// A request came to a server with so much time left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeHanded {
    pub attempt: u64,
    pub at: Micros,
    pub left: Option<Micros>,
}

/// What one life of a process used of the processor.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessorUse {
    pub name: String,
    pub life: u64,
    pub ms: u64,
}

/// A process had no signal handlers so long after its start.
#[derive(Clone, Debug, PartialEq)]
pub struct LateHandlers {
    pub at: Micros,
    pub process: String,
    pub life: u64,
    pub waited: Micros,
}

/// A rollout as an operator ordered it.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderedRollout {
    pub sent: Micros,
    pub service: String,
    pub version: String,
    pub quality: Quality,
    pub term: Micros,
    pub fate: Fate,
}

/// What a registry told of a service's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    InProgress,
    Completed,
    Reverted,
}

impl RolloutState {
    pub fn read(word: &str) -> Option<RolloutState> {
        match word {
            "in_progress" => Some(RolloutState::InProgress),
            "completed" => Some(RolloutState::Completed),
            "reverted" => Some(RolloutState::Reverted),
            _ => None,
        }
    }
}

/// A reading of a service's rollout, between these moments.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutView {
    pub from: Micros,
    pub until: Micros,
    pub service: String,
    /// The version and its state; none: there is no rollout.
    pub told: Option<(String, RolloutState)>,
    /// Why it is so, in the registry's words.
    pub reason: String,
}

/// A server of a bad version answered with an error, or several times slower than the others.
#[derive(Clone, Debug, PartialEq)]
pub struct BadAnswer {
    pub at: Micros,
    pub server: String,
}

#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// Tries over a connection that had carried requests before.
    pub over_kept: BTreeSet<u64>,
    /// When a client left before its answer.
    pub left: BTreeMap<u64, Micros>,
    /// When a server ended its work on a try, whatever came of it.
    pub worked_until: BTreeMap<u64, Micros>,
    pub handed: Vec<TimeHanded>,
    pub readiness: Vec<Readiness>,
    pub stale_addresses: Vec<StaleAddress>,
    pub processors: Vec<ProcessorUse>,
    /// The most by which the rig's own clock was late.
    pub rig_lag: Micros,
    pub probes: u64,
    pub late_handlers: Vec<LateHandlers>,
    pub rollouts: Vec<OrderedRollout>,
    pub rollout_views: Vec<RolloutView>,
    pub bad_answers: Vec<BadAnswer>,
}
