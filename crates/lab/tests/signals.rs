//! Signals that come while a program is only just starting, in an order that a pipe in place of the settings file keeps:
//! the program has begun, and has not read its settings yet.

mod common;

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
    let programs = ["curlewfront-planchest", "curlewfront-pegboard", "curlewfront-proxy"];
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
        kill(Pid::from_raw(child.id() as i32), Signal::SIGHUP).expect("it runs");
        let _ = settings.write_all(b"{}");
        drop(settings);
        let ended = child.wait().expect("it ends, as these settings are no good");
        assert_eq!((ended.signal(), ended.code()), (None, Some(1)), "{program}");
    }
}
