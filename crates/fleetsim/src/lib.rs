//! The fleet group simulated ([`sim`]), and the judge of what its clients saw ([`history`]), which real processes are
//! judged by too. Apart from the group's own crate, so that neither is in the gateway.

pub mod history;
pub mod sim;
