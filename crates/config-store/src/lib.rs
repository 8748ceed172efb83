//! The store of configuration. Its decisions stand in [`replica`], around the agreement (`consensus`); `main.rs` is the
//! shell around them.

pub mod replica;
pub mod store;
