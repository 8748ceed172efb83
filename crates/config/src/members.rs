//! The list of servers in the format of service discovery.

use crate::json::{JsonObject, Res, show};
use curlewfront::State;
use serde_json::Value;
use std::net::SocketAddr;

/// The full list of servers, or the entries that changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Members {
    pub version: u64,
    pub full: bool,
    pub servers: Vec<Member>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub id: String,
    /// `None` only for a server that is gone, which needs no address.
    pub addr: Option<SocketAddr>,
    pub zone: String,
    pub cell: u32,
    pub state: State,
    pub weight: f64,
    pub started_ms: u64,
}

impl Members {
    pub fn read(value: &Value) -> Res<Members> {
        let object =
            value.as_object().ok_or_else(|| format!("expected a list, found {}", show(Some(value))))?;
        let list = JsonObject(object, String::new());
        let servers = list.objects("servers")?.iter().map(member).collect::<Res<_>>()?;
        Ok(Members { version: list.u64("version")?, full: list.bool("full")?, servers })
    }
}

fn member(object: &JsonObject) -> Res<Member> {
    let state = match object.string("state")? {
        "Ready" => State::Up,
        "Terminating" => State::Draining,
        "Gone" => State::Gone,
        _ => return Err(object.error("state", "Ready, Terminating or Gone")),
    };
    let addr: Option<SocketAddr> = object.string("addr")?.parse().ok();
    if addr.is_none() && state != State::Gone {
        return Err(object.error("addr", "an address and port"));
    }
    let id = object.string("id")?.to_string();
    if id.is_empty() {
        return Err(object.error("id", "a name"));
    }
    Ok(Member {
        id,
        addr,
        zone: object.string("zone")?.to_string(),
        cell: object.u32("cell")?,
        state,
        weight: object.get("weight").map_or(Ok(1.0), |_| object.f64("weight"))?,
        started_ms: object.u64("started_ms")?,
    })
}
