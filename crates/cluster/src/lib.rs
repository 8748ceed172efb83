//! The cluster: what all machines of one installation agree on ([`state`], [`booking`], [`orders`], [`rollout`]), the copies of it ([`copy`]), who
//! follows one ([`follow`]), who watches whom ([`watch`]), the commands that change it, and the messages
//! between curlewfront's own processes ([`talk`]). No I/O, no clock.
//!
//! The state is a function of the log: every process that holds it (store, registry, proxy) applies the same
//! commands in the same order. So news on its way to the proxies is a run of commands, not of whole states.

pub mod booking;
pub mod copy;
mod describe;
pub mod drill;
pub mod follow;
pub mod orders;
pub mod rollout;
pub mod state;
pub mod talk;
pub mod watch;

/// Time in microseconds, of a clock that never runs backwards within a process.
pub type Micros = u64;
/// A point in the agreed order: the log's index of the last command applied.
pub type Rev = u64;
