//! `curlewfront fleet`: calls on the fleet group, through any one gateway's control address.

mod view;

use clap::{Args, Subcommand};
use curlewfront_fleet::control::{Control, Failed};
use curlewfront_fleet::state::{Applied, Command};
use curlewfront_fleet::voter::{Request, Response};
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
                println!("{:#}", view::json(&status));
            } else {
                print!("{}", view::text(&status));
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
            other => print_outcome(&other),
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
            print_outcome(&control.command(command)?)
        }
        Fleet::Delete { key, if_version } => {
            let command = Command::Put { key: key.clone(), value: None, if_version: *if_version };
            print_outcome(&control.command(command)?)
        }
        Fleet::Voters { what: Voters::Add { name } } => {
            print_outcome(&control.command(Command::Allow { name: name.clone(), vote: true })?)
        }
        Fleet::Voters { what: Voters::Remove { name } } => {
            print_outcome(&control.request(Request::RemoveVoter { name: name.clone() })?)
        }
    })
}

/// Prints what became of a change; the exit code.
fn print_outcome(response: &Response) -> u8 {
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
