//! The fleet group: the gateways of one installation agree on a small durable state (who is a member, and versioned
//! documents). A few of them, named in the configuration, are *voters* and keep a replicated log; the others are
//! *watchers* that register, keep a lease and follow. No request of a client asks any of this.
//!
//! The decisions are in modules without I/O, clock or random source: [`state`] (what is agreed), [`voter`] (a voter
//! around the consensus crate), [`member`] (a gateway's registration, lease and following), [`birth`] (how a group
//! comes to be and how an empty disk comes back), [`parts`] (a snapshot sent in pieces). Around them: [`disk`] (the
//! store), [`wire`] (frames), [`run`] (sockets and time, on a thread of its own). The simulator in
//! `crates/fleetsim` plays the same modules on a network, disks and a clock that it makes up.
//!
//! What each assumes: clocks never run backwards within a process and run at rates that differ by less than an eighth;
//! what a disk has synced stays; messages may be lost, late, doubled and out of order, but not changed (TCP).

pub mod birth;
pub mod control;
pub mod disk;
pub mod member;
pub mod mirror;
pub mod parts;
pub mod run;
pub mod state;
pub mod voter;
pub mod wire;

/// Time in microseconds, of a clock that never runs backwards within a process.
pub type Micros = u64;
