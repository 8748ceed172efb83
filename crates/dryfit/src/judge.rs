//! Whether a record keeps the rules.

use crate::record::Record;

#[derive(Clone, Debug)]
pub struct Breach {
    pub rule: &'static str,
    pub what: String,
    /// The try that shows it.
    pub attempt: Option<u64>,
}

pub fn judge(_: &Record) -> Vec<Breach> {
    Vec::new()
}
