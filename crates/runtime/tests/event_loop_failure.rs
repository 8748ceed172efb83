//! A program whose main loop fails must exit. Each case is a process of its own, for which this test starts itself
//! again.

use runtime::event_loop::StateMachine;
use runtime::{Runtime, run};
use std::process::{Command, ExitCode, Stdio};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// Names the case that this process is to run.
const CASE: &str = "CURLEWFRONT_TEST_CASE";

/// Only a program that hangs takes this long.
const HANG: Duration = Duration::from_secs(20);

struct Faulty {
    overflows: bool,
}

/// Overflows the stack: each call takes a page of it, and the recursion never ends.
fn recurse(depth: u64) -> u64 {
    let page = std::hint::black_box([depth; 512]);
    if std::hint::black_box(true) { recurse(depth + 1) + page[(depth % 512) as usize] } else { page[0] }
}

impl StateMachine for Faulty {
    type Message = ();

    fn handle(&mut self, _now: u64, _told: Option<()>) {
        if self.overflows {
            std::hint::black_box(recurse(0));
        }
        panic!("a failure of the main loop");
    }

    fn wake_at(&mut self) -> u64 {
        0
    }
}

fn run_case(case: &str) -> ExitCode {
    let overflows = case == "overflow";
    run("faulty", "a program that fails", move |runtime: Runtime| {
        let event_loop = runtime.event_loop::<()>()?;
        // A stack that has overflowed is never cleaned up, so the sender is never dropped and the channel tells
        // nothing.
        let (sender, finished) = channel();
        std::mem::forget(sender);
        event_loop.run(Faulty { overflows }, &finished)
    })
}

/// Guards against programs that outlive their main loop, which nothing checked. In a soak with debug builds, proxies
/// that were asked to stop overflowed the stack of their main loop; the rest of the process still accepted connections,
/// counted as ready, and answered nothing until it was killed (160 requests cut off, 11 of 16 proxies ready 4 s after
/// SIGTERM).
fn a_program_ends_with_its_main_loop(settings: &std::path::Path) {
    for case in ["panic", "overflow"] {
        let mut command = Command::new(std::env::current_exe().expect("this test"));
        let command = command.env(CASE, case).arg("--settings").arg(settings);
        let mut child = command.stderr(Stdio::piped()).spawn().expect("it starts");
        let until = Instant::now() + HANG;
        while child.try_wait().expect("a child").is_none() {
            if Instant::now() > until {
                let _ = child.kill();
                panic!("{case}: it goes on without its main loop");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        let output = child.wait_with_output().expect("it has ended");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{case}: {stderr}");
        assert!(stderr.contains("the main loop has ended unexpectedly"), "{case}: {stderr}");
    }
}

fn main() -> ExitCode {
    if let Ok(case) = std::env::var(CASE) {
        return run_case(&case);
    }
    if std::env::args().any(|a| a == "--list") {
        println!("a_program_ends_with_its_main_loop: test");
        return ExitCode::SUCCESS;
    }
    let zones = [("a".to_string(), "north".to_string())];
    let scheme = settings::Scheme::loopback([77, 1], 1, 1, &zones, "unused").expect("a scheme");
    let part = &scheme.parts(true).expect("settings")[0];
    let settings = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("work-settings.json");
    std::fs::write(&settings, &part.settings).expect("written");
    a_program_ends_with_its_main_loop(&settings);
    println!("test result: ok. 1 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out");
    ExitCode::SUCCESS
}
