//! curlewfront: a front door that meters many customers' use of one shared service.
//!
//! The decisions stand in `decide`, their types in `interface`; both do no I/O.

mod decide;
mod interface;

pub use decide::Decider;
pub use interface::*;
