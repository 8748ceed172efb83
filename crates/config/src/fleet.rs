//! The `fleet` object: a gateway's membership in the fleet group. Without it the gateway takes no part in the group.

use crate::json::{JsonObject, Res};
use curlewfront::Micros;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Defaults. A lease outlasts an election, so that no lease ends because a leader is lost.
const DEFAULT_ELECTION_MS: u64 = 1_000;
const DEFAULT_LEASE_MS: u64 = 6_000;
/// In log entries.
const DEFAULT_COMPACT_AFTER: u64 = 4_096;

/// A voter's name and the address at which this gateway reaches it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voter {
    pub name: String,
    pub addr: SocketAddr,
}

/// The configuration of a gateway's membership in the fleet group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Gateways of other installations are refused.
    pub installation: String,
    /// The address at which other gateways reach this one; only voters need it.
    pub listen: Option<SocketAddr>,
    /// The loopback address for the operator's command.
    pub control: Option<SocketAddr>,
    /// The directory of its store.
    pub dir: PathBuf,
    pub voters: Vec<Voter>,
    pub election_us: Micros,
    pub lease_us: Micros,
    /// A snapshot is taken once so many entries have been applied since the last one.
    pub compact_after: u64,
    /// Keeps writes within the process until they are synced, so that SIGKILL loses what a power loss would lose.
    pub hold_unsynced: bool,
    /// Lets commands at the control address move the group's clock, for tests.
    pub test_clock: bool,
}

impl Fleet {
    /// Whether the gateway of this name is a voter.
    pub fn votes(&self, name: &str) -> bool {
        self.voters.iter().any(|v| v.name == name)
    }

    pub(crate) fn read(object: &JsonObject, name: &str) -> Res<Fleet> {
        let address = |object: &JsonObject, key: &str| -> Res<Option<SocketAddr>> {
            let text = object.string(key)?;
            if text.is_empty() {
                return Ok(None);
            }
            text.parse().map(Some).map_err(|_| object.error(key, "an address and port"))
        };
        let mut voters: Vec<Voter> = Vec::new();
        for voter in object.objects("voters")? {
            let name = voter.string("name")?.to_string();
            if name.is_empty() || voters.iter().any(|other| other.name == name) {
                return Err(voter.error("name", "a unique name"));
            }
            let addr = address(&voter, "addr")?.ok_or_else(|| voter.error("addr", "an address and port"))?;
            voters.push(Voter { name, addr });
        }
        if ![1, 3, 5, 7].contains(&voters.len()) {
            return Err(format!("{}voters: expected 1, 3, 5 or 7 of them, found {}", object.1, voters.len()));
        }
        let u64_or = |key: &str, default: u64| object.u64(key).map(|v| if v == 0 { default } else { v });
        let (election_ms, lease_ms) =
            (u64_or("electionMs", DEFAULT_ELECTION_MS)?, u64_or("leaseMs", DEFAULT_LEASE_MS)?);
        if !(50..=60_000).contains(&election_ms) {
            return Err(object.error("electionMs", "50 to 60000"));
        }
        if !(2 * election_ms..=600_000).contains(&lease_ms) {
            return Err(object.error("leaseMs", "at least twice electionMs, at most 600000"));
        }
        let fleet = Fleet {
            installation: object.string("installation")?.to_string(),
            listen: address(object, "listen")?,
            control: address(object, "control")?,
            dir: PathBuf::from(object.string("dir")?),
            voters,
            election_us: election_ms * 1000,
            lease_us: lease_ms * 1000,
            compact_after: u64_or("compactAfter", DEFAULT_COMPACT_AFTER)?.max(8),
            hold_unsynced: object.bool("holdUnsynced")?,
            test_clock: object.bool("testClock")?,
        };
        if fleet.installation.is_empty() {
            return Err(object.error("installation", "a name"));
        }
        if name.is_empty() {
            return Err("name: expected a unique name for each gateway of a fleet, found nothing".into());
        }
        if fleet.dir.as_os_str().is_empty() {
            return Err(object.error("dir", "a directory for the store"));
        }
        if fleet.votes(name) && fleet.listen.is_none() {
            return Err(object.error("listen", "an address and port, as this gateway is a voter"));
        }
        if fleet.control.is_some_and(|a| !a.ip().is_loopback()) {
            return Err(object.error("control", "an address on loopback"));
        }
        Ok(fleet)
    }
}
