//! Signals that come while a program is only just starting, in an order that a pipe in place of the settings file keeps:
//! the program has begun, and has not read its settings yet.

mod common;

use curlewfront_lab::system::handlers::catches;
use nix::sys::signal::{Signal, kill};
use nix::sys::stat::Mode;
use nix::unistd::{Pid, mkfifo};
use std::io::Write;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// Seen in a soak (large, seeds 15 and 20): settings files change while proxies end and start in series. A proxy that had
/// just been started was told by SIGHUP before it watched for signals, and the signal ended it. What showed it: the process
/// had ended by itself 41 ms after its start, with an empty log, 53 ms after SIGHUP had gone to all.
#[test]
fn a_hangup_while_settings_are_read_ends_no_program() {
    let programs = ["curlewfront-config-store", "curlewfront-registry", "curlewfront-proxy"];
    let bin = common::built(&programs);
    for program in programs {
        let pipe = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{program}.settings"));
        let _ = std::fs::remove_file(&pipe);
        mkfifo(&pipe, Mode::S_IRWXU).expect("a pipe");
        let mut command = Command::new(bin.join(program));
        let mut child =
            command.arg("--settings").arg(&pipe).stderr(Stdio::null()).spawn().expect("it starts");
        // Opens once the program has opened the other end, to read.
        let mut settings =
            std::fs::OpenOptions::new().write(true).open(&pipe).expect("it reads its settings");
        let pid = Pid::from_raw(child.id() as i32);
        // Guards against a rig that sends signals to processes which do not watch for them yet.
        assert!(catches(pid, Signal::SIGHUP) && catches(pid, Signal::SIGTERM), "{program}");
        assert!(!catches(pid, Signal::SIGKILL), "{program}");
        kill(pid, Signal::SIGHUP).expect("it runs");
        let _ = settings.write_all(b"{}");
        drop(settings);
        let ended = child.wait().expect("it ends, as these settings are no good");
        assert_eq!((ended.signal(), ended.code()), (None, Some(1)), "{program}");
    }
}

#[test]
fn a_program_that_does_not_watch_for_signals_is_seen_to_catch_none() {
    let mut child = Command::new("sleep").arg("60").spawn().expect("it starts");
    let pid = Pid::from_raw(child.id() as i32);
    assert!(!catches(pid, Signal::SIGHUP) && !catches(pid, Signal::SIGTERM));
    child.kill().expect("it runs");
    child.wait().expect("it ends");
    assert!(!catches(pid, Signal::SIGTERM), "there is no such process any more");
}
