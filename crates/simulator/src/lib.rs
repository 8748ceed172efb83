//! Days of the whole system in one process, on simulated time, by chance that a seed decides: the state
//! machines of the three programs, with everything that their shells and the world do put in by [`world`];
//! the servers, clients and operators outside; what they saw ([`record`]), and whether that keeps the rules
//! ([`judge`]).

pub mod hunt;
pub mod judge;
pub mod load;
mod net;
pub mod odd;
mod operators;
mod outside;
pub mod plan;
mod process;
pub mod record;
pub mod rollout;
pub mod route_days;
pub mod scenario;
pub mod seconds;
pub mod weigh;
pub mod world;

pub use plan::Wish;

pub type Micros = u64;
pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
