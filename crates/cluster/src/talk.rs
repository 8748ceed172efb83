//! What curlewfront's processes say to each other. Links are TCP; a message is a frame of postcard.
//!
//! | from | to | messages |
//! | --- | --- | --- |
//! | registry | store on its machine | [`ToStore`], answered by [`FromStore`] |
//! | registry | registry | [`Gossip`] |
//! | proxy | registry, or a proxy nearer to it | [`Up`], answered by [`Down`] |
//! | proxy | its watchers, by datagrams | [`Here`] |
//!
//! Stores speak the messages of the agreement among themselves, with [`StorePeer`] around them.

use crate::drill::Rows;
use crate::rollout::Tally;
use crate::state::{Command, Done, Node};
use crate::{Micros, Rev};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::net::Ipv4Addr;

/// Where on each machine's internal ports, from the first, the programs listen.
pub const STORE_PEERS: u16 = 0;
pub const STORE_LOCAL: u16 = 1;
pub const REGISTRY_PEERS: u16 = 2;
pub const REGISTRY_NEWS: u16 = 3;
pub const PROXY_NEWS: u16 = 4;
pub const PROXY_WATCH: u16 = 5;

/// A core machine speaks for what is agreed for so long after it asked the leader, and a majority followed that leader
/// after it was asked. By its own clock, which no time of day moves, and from when it asked: a process that was stopped
/// knows by that alone that what it holds may be old.
pub const FRESH_US: Micros = 1_500_000;

/// Runs of commands, or a whole state where the run is no longer kept.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum News {
    /// The state as [`crate::state::State::write`] makes it.
    Whole(Vec<u8>),
    /// The commands after `from` up to `to`; entries without a command are left out.
    Run { from: Rev, to: Rev, commands: Vec<(Rev, Command)> },
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToStore {
    /// First: from where on news is wanted.
    Follow {
        rev: Rev,
    },
    Propose {
        ticket: u64,
        command: Command,
    },
    /// Up to where must a state have come that shows all that is acknowledged by now?
    Read {
        ticket: u64,
    },
    /// How does the store stand? `asked`: when that was, by the registry's clock.
    Stand {
        asked: Micros,
    },
    /// As [`ToStore::Propose`], if the store leads in this term: the fencing token of what only the registry beside the
    /// leader may do. It is never handed on to another leader.
    Duty {
        ticket: u64,
        term: u64,
        command: Command,
    },
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FromStore {
    News(News),
    /// The core machines; so many milliseconds ago this store asked, and was told since, how far the log is agreed, and
    /// holds all of that (none: longer than [`FRESH_US`]); whether it leads, and in which term; the last
    /// [`ToStore::Stand`] that it knew of.
    Standing {
        core: Vec<Ipv4Addr>,
        fresh_ms: Option<u32>,
        leads: bool,
        term: u64,
        asked: Micros,
    },
    Proposed {
        ticket: u64,
        result: Result<(Rev, Done), Unsure>,
    },
    Reads {
        ticket: u64,
        result: Result<Rev, Unsure>,
    },
}

/// Whether a command without an answer may have been carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unsure {
    /// It was not, and will not be.
    Not,
    Perhaps,
}

/// Between stores.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StorePeer<M> {
    /// First on each connection.
    Iam {
        ip: Ipv4Addr,
        disk: u64,
    },
    Agree {
        from_disk: u64,
        message: M,
    },
    /// To the leader, for a registry elsewhere.
    Propose {
        ticket: u64,
        command: Command,
    },
    Proposed {
        ticket: u64,
        result: Result<(Rev, Done), Unsure>,
    },
    Read {
        ticket: u64,
    },
    Reads {
        ticket: u64,
        result: Result<Rev, Unsure>,
    },
}

/// Between registries, about every half beat. The last fields are left out where nothing is told from there on, so that
/// they take no byte.
#[derive(Clone, Debug, Deserialize)]
pub struct Gossip {
    pub ip: Ipv4Addr,
    pub zone: String,
    /// Servers heard of since the last, with the number of their call and whether they are cold.
    pub servers: Vec<(String, u64)>,
    /// Proxies heard of since the last, and what they said of themselves.
    pub nodes: Vec<Seen>,
    pub usage: Vec<Usage>,
    /// The heads of regions, as they were told here.
    pub heads: Vec<(String, Head)>,
    /// The time of day there, in milliseconds since 1970. Told only where there is a booking. 0: not told.
    #[serde(deserialize_with = "at_the_end")]
    pub day_ms: Option<u64>,
    /// The drills whose end is known here.
    #[serde(deserialize_with = "at_the_end")]
    pub leases: Vec<Lease>,
    /// Tallies of rollouts that came here since the last.
    #[serde(deserialize_with = "at_the_end")]
    pub tallies: Vec<Tally>,
}

impl Serialize for Gossip {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        const FIELDS: usize = 9;
        let mut fields = to.serialize_tuple(FIELDS)?;
        fields.serialize_element(&self.ip)?;
        fields.serialize_element(&self.zone)?;
        fields.serialize_element(&self.servers)?;
        fields.serialize_element(&self.nodes)?;
        fields.serialize_element(&self.usage)?;
        fields.serialize_element(&self.heads)?;
        let tells_tallies = !self.tallies.is_empty();
        let tells_leases = tells_tallies || !self.leases.is_empty();
        if tells_leases || self.day_ms.is_some() {
            fields.serialize_element(&self.day_ms)?;
        }
        if tells_leases {
            fields.serialize_element(&self.leases)?;
        }
        if tells_tallies {
            fields.serialize_element(&self.tallies)?;
        }
        fields.end()
    }
}

/// A drill, by its epoch, may act for so long yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    pub epoch: Rev,
    pub left_ms: u32,
}

/// What may have been left out at the end of a message.
fn at_the_end<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(from: D) -> Result<T, D::Error> {
    Ok(T::deserialize(from).unwrap_or_default())
}

/// Who holds the duty to be a region's head, and since which epoch. Of two the greater holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Head {
    pub epoch: u64,
    pub ip: Ipv4Addr,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    pub ip: Ipv4Addr,
    /// Drawn at the start of each process.
    pub life: u64,
    /// Grows with each report of that life.
    pub count: u64,
    pub ready: bool,
    pub rev: Rev,
    /// Those it watches and does not hear, and the life that it heard last; 0: none.
    pub suspects: Vec<(Ipv4Addr, u64)>,
}

/// A proxy is there; about every third of a beat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Here {
    pub life: u64,
    pub count: u64,
}

/// What one proxy does for a tenant, in thousandths of a request a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
    /// [`tenant_key`] of its name.
    pub tenant: u32,
    /// What was asked of it here, and what of that was sent on.
    pub wanted: u32,
    pub used: u32,
}

/// All that one proxy reports of tenants; who is left out is asked for nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    pub ip: Ipv4Addr,
    pub life: u64,
    pub count: u64,
    pub tenants: Vec<Use>,
}

/// The meter's reading of a tenant over all proxies, in the same units. `shares`: what the proxies' shares come to, in
/// thousandths, where each has the larger of the even one and its part of what is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    pub tenant: u32,
    pub wanted: u32,
    pub used: u32,
    pub shares: u32,
}

/// A tenant as reports name it.
pub fn tenant_key(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

/// A route as tallies of rollouts name it: by the requests that it takes, as its name may pass to another route.
pub fn route_key(host: &str, prefix: &str) -> u32 {
    let seed = xxhash_rust::xxh3::xxh3_64(host.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(prefix.as_bytes(), seed) as u32
}

/// Up the tree of news.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Up {
    /// First: who asks, and from where on news is wanted.
    Hello { node: Node, rev: Rev },
    /// About every third of a beat: this proxy and those below it, and what they use of tenants' quotas. `head`: the
    /// greatest that is known of its region.
    Report { rev: Rev, head: Option<Head>, seen: Vec<Seen>, usage: Vec<Usage> },
    /// What proxies have to say of drills.
    Drill(Vec<Rows>),
    /// What proxies have counted of rollouts, about every third of a beat while there are any.
    Rollout(Vec<Tally>),
}

/// Down the tree of news.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Down {
    News(News),
    /// About every third of a beat.
    Standing(Standing),
    /// What tenants use of their quotas, as far as it is known.
    Meter(Vec<Reading>, #[serde(deserialize_with = "at_the_end")] Option<Age>),
    /// About every third of a beat, while drills run.
    Leases(Vec<Lease>, #[serde(deserialize_with = "at_the_end")] Option<Age>),
}

/// How old a message is: `age_us` when it was said, by the steady clock of who says it. Programs from before do not tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Age {
    pub at: Micros,
    pub age_us: Micros,
}

impl Age {
    /// By the one who knows it first.
    pub fn first(now: Micros) -> Option<Age> {
        Some(Age { at: now, age_us: 0 })
    }

    /// By one who passes it on.
    pub fn again(now: Micros, made_at: Micros) -> Option<Age> {
        Some(Age { at: now, age_us: now.saturating_sub(made_at) })
    }
}

/// How the one who is followed stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// How far its copy has come.
    pub rev: Rev,
    /// So many milliseconds ago that copy held all that was acknowledged.
    pub fresh_ms: Option<u32>,
    /// The core's machines and their zones; empty: as before.
    pub core: Vec<(Ipv4Addr, String)>,
    /// The relays that its news comes through, itself the last; none: a registry.
    pub path: Vec<Ipv4Addr>,
    /// The head of the follower's region under which it comes.
    pub head: Option<Head>,
    /// Proxies of that region that are not to be followed.
    pub away: Vec<Ipv4Addr>,
    /// When it was said, by the steady clock of who says it: what waits on its way is as old as that. Programs from before
    /// this field do not say.
    #[serde(skip_serializing_if = "Option::is_none", deserialize_with = "at_the_end")]
    pub said_at: Option<Micros>,
}
