//! Speaks the simulator's wire on standard input and output and hands each instance's events to a decider
//! of its own. Translation only: no decision is made here.

mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let stdin = io::stdin();
    let mut out = io::stdout().lock();
    let mut host = wire::Host::default();
    for (n, line) in stdin.lock().lines().enumerate() {
        let reply = line.map_err(|e| format!("cannot read: {e}")).and_then(|l| host.batch(&l));
        match reply {
            Ok(reply) => {
                if writeln!(out, "{reply}").and_then(|()| out.flush()).is_err() {
                    eprintln!("curlewfront-bench-host: cannot write the reply to line {}", n + 1);
                    return ExitCode::FAILURE;
                }
            }
            Err(why) => {
                eprintln!("curlewfront-bench-host: line {}: {why}", n + 1);
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
