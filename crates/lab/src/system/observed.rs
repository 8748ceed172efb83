//! What clients, servers and the platform saw beside the record: connections that were kept, answers of the directory,
//! readiness, and the time that servers were handed.

use dryfit::Micros;
use dryfit::record::Host;
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
}
