//! Days by chance.
