//! The config store: keeps the replicated configuration log on disk. [`replica`] is its state machine around `consensus`,
//! [`store`] looks after the directory of a store that is not running, and `main.rs` runs the process.

pub mod replica;
pub mod store;
