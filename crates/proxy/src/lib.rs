//! The proxy. [`dispatcher`] decides on requests, around the decisions that it shares with the gateway; [`book`]
//! turns the agreed state into their settings; [`feed`] keeps the news coming and passes them on; [`failure_detector`]
//! knows the silent, [`drill`] who meets a rehearsed fault, [`rollout`] what may go to a new version, [`servers`] whose an answer is. No I/O and no clock in any of them; `main.rs` is the shell.

pub mod book;
pub mod cramp;
pub mod dispatcher;
pub mod drill;
pub mod failure_detector;
pub mod feed;
pub mod relay;
pub mod rollout;
pub mod servers;
pub mod tenants;
pub mod tree;
