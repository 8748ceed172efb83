//! What a gateway knows of the fleet group, as text and as JSON.

use curlewfront_fleet::state::Lease;
use curlewfront_fleet::wire::NodeStatus;
use serde_json::{Value, json};
use std::fmt::Write as _;

fn lease_name(lease: Lease) -> &'static str {
    match lease {
        Lease::Held => "held",
        Lease::Expired => "expired",
        Lease::Released => "released",
    }
}

/// For programs.
pub fn json(s: &NodeStatus) -> Value {
    let voters: Vec<Value> = s
        .state
        .voters
        .iter()
        .map(|(id, v)| json!({"id": format!("{id:x}"), "name": v.name, "addr": v.addr, "votes": v.votes}))
        .collect();
    let members: Vec<Value> = s
        .state
        .members
        .iter()
        .map(|(n, m)| json!({"name": n, "incarnation": m.incarnation, "lease": lease_name(m.lease), "voter": m.voter}))
        .collect();
    let documents: Vec<Value> = s
        .state
        .documents
        .iter()
        .filter_map(|(k, d)| {
            let bytes = d.value.as_ref()?.len();
            Some(json!({"key": k, "version": d.version, "bytes": bytes}))
        })
        .collect();
    json!({
        "installation": s.installation, "name": s.name, "disk": format!("{:x}", s.disk),
        "group": format!("{:x}", s.group), "role": s.role, "leader": s.leader, "incarnation": s.incarnation,
        "lease_left_ms": s.lease_left_ms, "revision": s.state.revision, "trouble": s.trouble,
        "term": s.voter.as_ref().map(|v| v.term), "commit": s.voter.as_ref().map(|v| v.commit),
        "applied": s.voter.as_ref().map(|v| v.applied), "snapshot": s.voter.as_ref().map(|v| v.snapshot),
        "log_entries": s.voter.as_ref().map(|v| v.log_entries),
        "voters": voters, "members": members, "documents": documents,
        "counts": {
            "frames_in": s.counts.frames_in, "frames_out": s.counts.frames_out, "dropped": s.counts.dropped,
            "refused": s.counts.refused, "links_broken": s.counts.links_broken, "syncs": s.counts.syncs,
            "calls": s.counts.calls, "calls_failed": s.counts.calls_failed, "renewed": s.counts.renewed,
            "leases_lost": s.counts.leases_lost, "elections": s.counts.elections, "snapshots": s.counts.snapshots,
        },
    })
}

/// For people.
pub fn text(s: &NodeStatus) -> String {
    let mut text = String::new();
    let leader = if s.leader.is_empty() { "none known" } else { &s.leader };
    let _ = writeln!(
        text,
        "{} of {}: {}, leader {leader}, revision {}",
        s.name, s.installation, s.role, s.state.revision
    );
    if !s.trouble.is_empty() {
        let _ = writeln!(text, "trouble: {}", s.trouble);
    }
    let _ = match s.incarnation {
        0 => writeln!(text, "no lease"),
        i => writeln!(text, "incarnation {i}, lease for {} ms more", s.lease_left_ms),
    };
    for (id, v) in &s.state.voters {
        let part = if v.votes { "votes" } else { "learns" };
        let _ = writeln!(text, "voter  {:<24} {part:<9} {} disk {id:x}", v.name, v.addr);
    }
    for (name, m) in &s.state.members {
        let part = if m.voter { "voter" } else { "watcher" };
        let _ = writeln!(
            text,
            "member {name:<24} {:<9} incarnation {} {part}",
            lease_name(m.lease),
            m.incarnation
        );
    }
    text
}
