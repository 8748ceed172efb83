//! The registry. Its decisions stand in [`control_plane`]; `main.rs` is the shell around them.

pub mod bookings;
pub mod calls;
pub mod control_plane;
pub mod drills;
pub mod meter;
pub mod presence;
pub mod rollouts;
pub mod views;
