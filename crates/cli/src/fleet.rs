//! `curlewfront fleet`: speaks with the fleet group through any one gateway's control address.

use clap::{Args, Subcommand};
use curlewfront_fleet::control::{Control, Failed};
use curlewfront_fleet::state::{Applied, Command, Lease};
use curlewfront_fleet::voter::{Request, Response};
use curlewfront_fleet::wire::NodeStatus;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Args)]
pub struct FleetArgs {
    /// The control address of any gateway of the installation (its `fleet.control`)
    #[arg(long, env = "CURLEWFRONT_CONTROL", global = true, default_value = "127.0.0.1:7301")]
    control: SocketAddr,
    /// Seconds to wait for an answer
    #[arg(long, global = true, default_value_t = 8.0)]
    within: f64,
    #[command(subcommand)]
    what: Fleet,
}

#[derive(Subcommand)]
enum Fleet {
    /// What this gateway knows: leader, voters, members and their leases
    Status {
        #[arg(long)]
        json: bool,
    },
    /// Prints a document; its version goes to standard error
    Get { key: String },
    /// Writes a document from standard input, or from --value
    Put {
        key: String,
        #[arg(long)]
        value: Option<String>,
        /// Only if this is its version now; 0: only if there is none
        #[arg(long)]
        if_version: Option<u64>,
    },
    /// Deletes a document
    Delete {
        key: String,
        #[arg(long)]
        if_version: Option<u64>,
    },
    /// Who may vote
    Voters {
        #[command(subcommand)]
        what: Voters,
    },
}

#[derive(Subcommand)]
enum Voters {
    /// Lets a gateway of this name come to vote; it joins when it is started with itself among its voters
    Add { name: String },
    /// Takes a voter's vote and its leave to come back
    Remove { name: String },
}

/// The code with which the command ends: 0 done; 1 refused, or not there (a version that differs, no such document,
/// not a voter); 2 wrong usage; 3 the gateway cannot be reached; 4 no leader answered in time (a change may yet be
/// carried out).
pub fn run(args: &FleetArgs) -> u8 {
    match fleet(args) {
        Ok(code) => code,
        Err(failed) => {
            eprintln!("curlewfront: {failed}");
            match failed {
                Failed::Unreachable(_) => 3,
                Failed::NoLeader => 4,
            }
        }
    }
}

fn fleet(args: &FleetArgs) -> Result<u8, Failed> {
    let within = Duration::from_secs_f64(args.within.clamp(0.1, 600.0));
    let mut control = Control::open(args.control, within)?;
    Ok(match &args.what {
        Fleet::Status { json } => {
            let status = control.status()?;
            if *json {
                println!("{:#}", as_json(&status));
            } else {
                print!("{}", as_text(&status));
            }
            0
        }
        Fleet::Get { key } => match control.request(Request::Get { key: key.clone() })? {
            Response::Document { version, value: Some(value) } => {
                eprintln!("version {version}");
                let _ = std::io::stdout().write_all(&value);
                0
            }
            Response::Document { .. } => {
                eprintln!("curlewfront: no document {key:?}");
                1
            }
            other => said(&other),
        },
        Fleet::Put { key, value, if_version } => {
            let value = match value {
                Some(value) => value.clone().into_bytes(),
                None => {
                    let mut bytes = Vec::new();
                    if let Err(e) = std::io::stdin().read_to_end(&mut bytes) {
                        eprintln!("curlewfront: standard input: {e}");
                        return Ok(2);
                    }
                    bytes
                }
            };
            let command = Command::Put { key: key.clone(), value: Some(value), if_version: *if_version };
            said(&control.command(command)?)
        }
        Fleet::Delete { key, if_version } => {
            let command = Command::Put { key: key.clone(), value: None, if_version: *if_version };
            said(&control.command(command)?)
        }
        Fleet::Voters { what: Voters::Add { name } } => {
            said(&control.command(Command::Allow { name: name.clone(), vote: true })?)
        }
        Fleet::Voters { what: Voters::Remove { name } } => {
            said(&control.request(Request::RemoveVoter { name: name.clone() })?)
        }
    })
}

/// Says what became of a change, and with which code the command ends.
fn said(response: &Response) -> u8 {
    match response {
        Response::Applied(Applied::Put { version }) => {
            println!("version {version}");
            0
        }
        Response::Applied(Applied::VotersChanged) => {
            println!("done");
            0
        }
        Response::Applied(Applied::Conflict { version }) => {
            eprintln!("curlewfront: nothing written: it is at version {version}");
            1
        }
        Response::Applied(Applied::Refused { why }) | Response::Refused { why } => {
            eprintln!("curlewfront: refused: {why}");
            1
        }
        other => {
            eprintln!("curlewfront: an answer that has no place here: {other:?}");
            3
        }
    }
}

fn lease(lease: Lease) -> &'static str {
    match lease {
        Lease::Held => "held",
        Lease::Expired => "expired",
        Lease::Released => "released",
    }
}

fn as_json(s: &NodeStatus) -> Value {
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
        .map(|(n, m)| json!({"name": n, "incarnation": m.incarnation, "lease": lease(m.lease), "voter": m.voter}))
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

fn as_text(s: &NodeStatus) -> String {
    use std::fmt::Write as _;
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
        let _ =
            writeln!(text, "member {name:<24} {:<9} incarnation {} {part}", lease(m.lease), m.incarnation);
    }
    text
}
