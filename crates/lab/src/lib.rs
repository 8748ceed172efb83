//! curlewfront's laboratory: real gateway processes against stand-in servers, discovery and clients on loopback,
//! faults played from a scenario, every request and attempt recorded, the five rules checked from the record,
//! tables and charts written. `docs/lab-design.md` tells why it is built so; `docs/lab/README.md` how to use it.

pub mod baseline;
pub mod compare;
pub mod discovery;
pub mod documents;
pub mod fleet;
pub mod gateways;
pub mod group;
pub mod http;
pub mod launch;
pub mod load;
pub mod measure;
pub mod record;
pub mod report;
pub mod rig;
pub mod rules;
pub mod run;
pub mod scenario;
pub mod soak;
pub mod stores;
pub mod system;
