//! What a command is about, in one line for logs and for listings of a store.

use crate::booking::BookChange;
use crate::drill::DrillChange;
use crate::rollout::RolloutChange;
use crate::state::{Command, NodeChange, ServerChange};
use std::fmt::{Display, Formatter, Result};

impl Display for Command {
    fn fmt(&self, f: &mut Formatter) -> Result {
        match self {
            Command::Configure(c) => {
                let what = if c.patch { "patch" } else { "configuration" };
                write!(f, "{what} on {:08x}, {} bytes", c.base, c.body.len())
            }
            Command::Evacuate { zone, on } => write!(f, "{} {zone}", if *on { "evacuate" } else { "return" }),
            Command::Servers(changes) => write!(f, "servers: {}", joined(changes)),
            Command::Nodes(changes) => write!(f, "proxies: {}", joined(changes)),
            Command::Book(change) => change.fmt(f),
            Command::Drill(change) => change.fmt(f),
            Command::Rollout(change) => change.fmt(f),
            Command::Fenced { seen, order } => match &**order {
                Command::Fenced { order, .. } => write!(f, "{order}, as of {seen}"),
                order => write!(f, "{order}, as of {seen}"),
            },
        }
    }
}

fn joined(all: &[impl Display]) -> String {
    all.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}

impl Display for ServerChange {
    fn fmt(&self, f: &mut Formatter) -> Result {
        match self {
            ServerChange::Up(s) => write!(f, "{} up", s.id),
            ServerChange::Draining { id } => write!(f, "{id} drains"),
            ServerChange::Cold { id, .. } => write!(f, "{id} cold"),
            ServerChange::Gone { id, .. } => write!(f, "{id} gone"),
            ServerChange::Runs { id, version } => write!(f, "{id} runs {version}"),
        }
    }
}

impl Display for NodeChange {
    fn fmt(&self, f: &mut Formatter) -> Result {
        match self {
            NodeChange::Up(n) => write!(f, "{} up", n.name),
            NodeChange::Gone { ip } => write!(f, "{ip} gone"),
        }
    }
}

impl Display for BookChange {
    fn fmt(&self, f: &mut Formatter) -> Result {
        match self {
            BookChange::Put { booking, .. } => write!(f, "booking {}", booking.name),
            BookChange::Cancel { name } => write!(f, "booking {name} cancelled"),
            BookChange::Phase { name, epoch, .. } => write!(f, "booking {name} goes on from phase {epoch}"),
            BookChange::Divide { name, number, parts } => {
                write!(f, "booking {name} divided over {}, number {number}", parts.len())
            }
        }
    }
}

impl Display for DrillChange {
    fn fmt(&self, f: &mut Formatter) -> Result {
        match self {
            DrillChange::Start(drill) => write!(f, "drill {}", drill.name),
            DrillChange::Stop { name, why, .. } => write!(f, "drill {name} ended: {why}"),
            DrillChange::Rows(rows) => write!(f, "drills: reports of {} proxies", rows.len()),
        }
    }
}

impl Display for RolloutChange {
    fn fmt(&self, f: &mut Formatter) -> Result {
        match self {
            RolloutChange::Start { order, .. } => {
                write!(f, "rollout of {} to {}", order.service, order.target_version)
            }
            RolloutChange::Advance { service, to, reason, .. } => {
                write!(f, "rollout of {service} {}: {reason}", to.name())
            }
            RolloutChange::Stop { service } => write!(f, "rollout of {service} stopped"),
        }
    }
}
