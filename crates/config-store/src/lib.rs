//! The store of configuration. Its decisions stand in [`chest`], around the agreement (`consensus`); `main.rs` is the
//! shell around them.

pub mod chest;
pub mod store;
