//! What a registry knows, for operators: its own view, from its own copy and what it has heard. Nobody else is asked.

use crate::calls::Answer;
use crate::drills::Leases;
use crate::presence::Presence;
use cluster::drill::Held;
use cluster::state::{Node, State};
use cluster::{Micros, Rev};
use jzon::JsonValue;
use settings::config::show_version;
use settings::drill::{Drill, Ran};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

pub struct View<'a> {
    pub now: Micros,
    pub me: Ipv4Addr,
    pub state: &'a State,
    pub presence: &'a Presence,
    pub core: &'a [Ipv4Addr],
    /// The zones of the core's machines, as far as they have said.
    pub places: &'a BTreeMap<Ipv4Addr, String>,
    pub fresh: bool,
    pub leads: bool,
    pub leases: &'a Leases,
    /// The proxies that follow this registry, and how far each has come.
    pub followers: Vec<(&'a Node, Rev)>,
}

impl View<'_> {
    pub fn status(&self) -> Answer {
        let core = self.core.iter().map(|ip| {
            let zone = self.places.get(ip).map(String::as_str);
            jzon::object! { ip_address: ip.to_string(), zone_name: zone }
        });
        let followers = self.followers.iter().map(|(node, rev)| {
            jzon::object! { node_name: node.name.as_str(), ip_address: node.ip.to_string(), revision: *rev }
        });
        let evacuated: Vec<&str> = self.state.evacuated.iter().map(String::as_str).collect();
        self.answer(jzon::object! {
            config_version: self.state.config.as_ref().map(|c| show_version(c.version)),
            core_list: core.collect::<Vec<_>>(),
            fresh: self.fresh,
            leads: self.leads,
            evacuated_zones: evacuated,
            follower_list: followers.collect::<Vec<_>>(),
        })
    }

    pub fn instances(&self) -> Answer {
        let rows = self.state.servers.values().map(|s| {
            let heard = self.presence.server_heard_at(&s.id);
            jzon::object! {
                server_id: s.id.as_str(),
                service_ref: s.service.as_str(),
                server_address: s.addr.to_string(),
                zone_name: s.zone.as_str(),
                slot_count: s.slots,
                server_state: if s.draining { "draining" } else { "available" },
                cold_left_ms: s.cold_until().saturating_sub(self.now).div_ceil(1000),
                heard_ms_ago: heard.map(|at| self.ago(at)),
            }
        });
        self.answer(jzon::object! { instance_list: rows.collect::<Vec<_>>() })
    }

    pub fn nodes(&self) -> Answer {
        let rows = self.state.nodes.values().map(|n| {
            let (revision, heard_ms_ago) = self.seen(n.ip);
            jzon::object! {
                node_name: n.name.as_str(),
                ip_address: n.ip.to_string(),
                zone_name: n.zone.as_str(),
                region_name: n.region.as_str(),
                ready: self.presence.proxy_heard(n.ip).map(|(_, seen)| seen.ready),
                heard_ms_ago: heard_ms_ago,
                revision: revision,
            }
        });
        self.answer(jzon::object! { node_list: rows.collect::<Vec<_>>() })
    }

    pub fn drills(&self) -> Answer {
        let rows = self.state.drills.0.values().map(|h| self.short(h));
        self.answer(jzon::object! { drill_list: rows.collect::<Vec<_>>() })
    }

    /// What every view of a drill begins with.
    fn short(&self, held: &Held) -> JsonValue {
        let ends = self.leases.ends(held.epoch).filter(|_| held.ended.is_none());
        let mut row = held.drill.write();
        row["drill_name"] = held.drill.name.as_str().into();
        row["epoch"] = held.epoch.into();
        row["drill_state"] = if held.ended.is_none() { "running" } else { "ended" }.into();
        row["end_reason"] = held.ended.as_deref().into();
        row["left_ms"] = ends.map(|at| at.saturating_sub(self.now) / 1000).into();
        row["met_count"] = held.met().into();
        row
    }

    pub fn drill(&self, name: &str) -> Answer {
        let Some(held) = self.state.drills.0.get(name) else {
            return Answer::error(404, &format!("no drill {name:?}"));
        };
        let mut body = self.short(held);
        let named = |ip: &Ipv4Addr| self.state.nodes.get(ip).map(|n| n.name.clone());
        let mut nodes: BTreeMap<Ipv4Addr, u32> = BTreeMap::new();
        for ((ip, _), teller) in &held.tellers {
            *nodes.entry(*ip).or_default() += teller.met;
        }
        let nodes = nodes.iter().filter(|(_, met)| **met > 0);
        let nodes = nodes.map(
            |(ip, met)| jzon::object! { ip_address: ip.to_string(), node_name: named(ip), met_count: *met },
        );
        body["node_list"] = nodes.collect::<Vec<_>>().into();
        let attempts = held.rows.iter().map(|r| {
            let state = if r.met { "met" } else { "granted" };
            jzon::object! { attempt_id: r.attempt.as_str(), ip_address: r.ip.to_string(), attempt_state: state }
        });
        body["attempt_list"] = attempts.collect::<Vec<_>>().into();
        self.answer(body)
    }

    /// What a dry run tells.
    pub fn rehearsed(&self, drill: &Drill, wanted: Option<f64>) -> Answer {
        let mut body = drill.write();
        body["drill_name"] = drill.name.as_str().into();
        body["dry_run"] = true.into();
        body["may_run"] = (drill.fault.ran() == Ran::AsServed).into();
        body["tenant_per_s"] = wanted.into();
        let met = wanted.map(|w| {
            let all = w * f64::from(drill.share) / 1e6 * f64::from(drill.for_ms) / 1e3;
            drill.count.map_or(all, |c| all.min(f64::from(c)))
        });
        body["met_at_most"] = met.map(|n| n.round()).into();
        self.answer(body)
    }

    /// How far a proxy that is heard of has come, and how many milliseconds ago it said so.
    pub fn seen(&self, ip: Ipv4Addr) -> (Option<Rev>, Option<u64>) {
        // Those further down the tree say it in their reports.
        let follows = self.followers.iter().find(|(n, _)| n.ip == ip).map(|(_, rev)| *rev);
        let heard = self.presence.proxy_heard(ip);
        (follows.or(heard.map(|(_, seen)| seen.rev)), heard.map(|(at, _)| self.ago(at)))
    }

    fn ago(&self, at: Micros) -> u64 {
        self.now.saturating_sub(at) / 1000
    }

    /// With who answers and how far it has come, as another registry may say something else.
    pub fn answer(&self, mut body: JsonValue) -> Answer {
        body["answered_by"] = self.me.to_string().into();
        body["revision"] = self.state.rev.into();
        Answer::json(200, body.dump())
    }
}
