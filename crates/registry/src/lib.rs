//! The registry: the control-plane process. Its state machine is in [`control_plane`]; `main.rs` connects it to
//! sockets and the clock.

pub mod bookings;
pub mod calls;
pub mod control_plane;
pub mod drills;
pub mod held;
pub mod meter;
pub mod presence;
pub mod rollouts;
pub mod views;
