//! What a process is told, and what operators configure: JSON read by hand, field by field. Fields that are
//! not known are passed over. What is said of a bad value names the path of its key.

pub mod api;
pub mod booking;
pub mod config;
pub mod drill;
pub mod facts;
pub mod rollout;
pub mod scheme;
pub mod settings;

pub use config::{Config, Index, Kind, Limits, Route, Service, Tenant};
pub use facts::Trouble;
pub use scheme::Scheme;
pub use settings::Settings;
