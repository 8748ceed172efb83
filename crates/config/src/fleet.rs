//! The `fleet` object: a gateway's part in the fleet group. Without it the group is off.

use crate::facts::{Facts, Res};
use curlewfront::Micros;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Where nothing else is said. A lease outlasts an election, so that the loss of a leader ends no lease.
const ELECTION_MS: u64 = 1_000;
const LEASE_MS: u64 = 6_000;
const COMPACT_AFTER: u64 = 4_096;

/// A voter's name and where this gateway reaches it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voter {
    pub name: String,
    pub addr: SocketAddr,
}

/// What a gateway is told of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Gateways of other installations are refused.
    pub installation: String,
    /// Where other gateways reach this one; only voters need one.
    pub listen: Option<SocketAddr>,
    /// Where the operator's command reaches it; on loopback.
    pub control: Option<SocketAddr>,
    /// The folder of its store.
    pub dir: PathBuf,
    pub voters: Vec<Voter>,
    pub election_us: Micros,
    pub lease_us: Micros,
    pub compact_after: u64,
    /// Holds writes in the process until they are synced, so that SIGKILL loses what a power loss would.
    pub hold_unsynced: bool,
    /// Lets the control address move the group's clock, for tests.
    pub test_clock: bool,
}

impl Fleet {
    /// Whether the gateway of this name votes.
    pub fn votes(&self, name: &str) -> bool {
        self.voters.iter().any(|v| v.name == name)
    }

    pub(crate) fn read(f: &Facts, name: &str) -> Res<Fleet> {
        let address = |f: &Facts, key: &str| -> Res<Option<SocketAddr>> {
            let text = f.word(key)?;
            if text.is_empty() {
                return Ok(None);
            }
            text.parse().map(Some).map_err(|_| f.bad(key, "an address and port"))
        };
        let mut voters: Vec<Voter> = Vec::new();
        for v in f.each("voters")? {
            let name = v.word("name")?.to_string();
            if name.is_empty() || voters.iter().any(|other| other.name == name) {
                return Err(v.bad("name", "a name of its own for each"));
            }
            let addr = address(&v, "addr")?.ok_or_else(|| v.bad("addr", "an address and port"))?;
            voters.push(Voter { name, addr });
        }
        if ![1, 3, 5, 7].contains(&voters.len()) {
            return Err(format!("{}voters: expected 1, 3, 5 or 7 of them, found {}", f.1, voters.len()));
        }
        let or = |key: &str, default: u64| f.whole(key).map(|v| if v == 0 { default } else { v });
        let (election_ms, lease_ms) = (or("electionMs", ELECTION_MS)?, or("leaseMs", LEASE_MS)?);
        if !(50..=60_000).contains(&election_ms) {
            return Err(f.bad("electionMs", "50 to 60000"));
        }
        if !(2 * election_ms..=600_000).contains(&lease_ms) {
            return Err(f.bad("leaseMs", "at least twice electionMs, at most 600000"));
        }
        let fleet = Fleet {
            installation: f.word("installation")?.to_string(),
            listen: address(f, "listen")?,
            control: address(f, "control")?,
            dir: PathBuf::from(f.word("dir")?),
            voters,
            election_us: election_ms * 1000,
            lease_us: lease_ms * 1000,
            compact_after: or("compactAfter", COMPACT_AFTER)?.max(8),
            hold_unsynced: f.truth("holdUnsynced")?,
            test_clock: f.truth("testClock")?,
        };
        if fleet.installation.is_empty() {
            return Err(f.bad("installation", "a name"));
        }
        if name.is_empty() {
            return Err("name: expected a name of its own for each gateway of a fleet, found nothing".into());
        }
        if fleet.dir.as_os_str().is_empty() {
            return Err(f.bad("dir", "a folder for the store"));
        }
        if fleet.votes(name) && fleet.listen.is_none() {
            return Err(f.bad("listen", "an address and port, as this gateway is a voter"));
        }
        if fleet.control.is_some_and(|a| !a.ip().is_loopback()) {
            return Err(f.bad("control", "an address on loopback"));
        }
        Ok(fleet)
    }
}
