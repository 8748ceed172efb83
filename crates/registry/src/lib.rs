//! The registry. Its decisions stand in [`board`]; `main.rs` is the shell around them.

pub mod board;
pub mod bookings;
pub mod calls;
pub mod drills;
pub mod meter;
pub mod presence;
pub mod rollouts;
pub mod show;
