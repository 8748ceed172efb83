//! Whether a process that was started has its signal handlers in place. A signal that comes before ends it, and no program
//! can guard against that, so the rig waits; and as a program that takes long is a fault, the wait is judged.

use nix::sys::signal::Signal;
use nix::unistd::Pid;
use simulator::{Micros, SECOND};

/// From the start of a process until its handlers are in place, at the most.
pub const HANDLERS_LIMIT: Micros = 3 * SECOND;
/// The kernel's name for the set of signals that a process catches.
const CAUGHT: &str = "SigCgt:";

/// Whether this process catches the signal now. False too where there is no such process.
pub fn catches(pid: Pid, signal: Signal) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    caught(&status).is_some_and(|set| set & (1 << (signal as u32 - 1)) != 0)
}

/// The set of caught signals of a `/proc/PID/status`.
fn caught(status: &str) -> Option<u64> {
    let set = status.lines().find_map(|line| line.strip_prefix(CAUGHT))?;
    u64::from_str_radix(set.trim(), 16).ok()
}
