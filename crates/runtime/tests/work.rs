//! A program whose work has ended by a fault ends too. Each case is a process of its own: this test starts itself again.

use runtime::turn::Machine;
use runtime::{Start, run};
use std::process::{Command, ExitCode, Stdio};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// Names the case that this process is to play.
const CASE: &str = "CURLEWFRONT_TEST_CASE";

/// Only a hang takes so long.
const HANGS: Duration = Duration::from_secs(20);

struct Faulty {
    overflows: bool,
}

/// Each call takes a page of the stack, and none is the last.
fn deeper(depth: u64) -> u64 {
    let page = std::hint::black_box([depth; 512]);
    if std::hint::black_box(true) { deeper(depth + 1) + page[(depth % 512) as usize] } else { page[0] }
}

impl Machine for Faulty {
    type Told = ();

    fn take(&mut self, _now: u64, _told: Option<()>) {
        if self.overflows {
            std::hint::black_box(deeper(0));
        }
        panic!("a fault of the work");
    }

    fn wake_at(&mut self) -> u64 {
        0
    }
}

fn play(case: &str) -> ExitCode {
    let overflows = case == "overflow";
    run("faulty", "a program that fails", move |start: Start| {
        let stage = start.stage::<()>()?;
        // As where the work lies somewhere that is never cleaned up: the end of the channel says nothing.
        let (over, ended) = channel();
        std::mem::forget(over);
        stage.work(Faulty { overflows }, &ended)
    })
}

/// Seen in a soak with programs built for debugging: proxies that were asked to end overflowed the stack of their work. What
/// was left of them still took connections, counted as ready, and answered nothing until it was killed (160 requests cut off,
/// 11 of 16 proxies ready 4 s after SIGTERM). Cause: nobody looked whether the work goes on.
fn a_program_ends_with_its_work(settings: &std::path::Path) {
    for case in ["panic", "overflow"] {
        let mut command = Command::new(std::env::current_exe().expect("this test"));
        let command = command.env(CASE, case).arg("--settings").arg(settings);
        let mut child = command.stderr(Stdio::piped()).spawn().expect("it starts");
        let until = Instant::now() + HANGS;
        while child.try_wait().expect("a child").is_none() {
            if Instant::now() > until {
                let _ = child.kill();
                panic!("{case}: it goes on without its work");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        let output = child.wait_with_output().expect("it has ended");
        let said = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{case}: {said}");
        assert!(said.contains("the work has ended by a fault"), "{case}: {said}");
    }
}

fn main() -> ExitCode {
    if let Ok(case) = std::env::var(CASE) {
        return play(&case);
    }
    if std::env::args().any(|a| a == "--list") {
        println!("a_program_ends_with_its_work: test");
        return ExitCode::SUCCESS;
    }
    let zones = [("a".to_string(), "north".to_string())];
    let scheme = settings::Scheme::loopback([77, 1], 1, 1, &zones, "unused").expect("a scheme");
    let part = &scheme.parts(true).expect("settings")[0];
    let settings = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("work-settings.json");
    std::fs::write(&settings, &part.settings).expect("written");
    a_program_ends_with_its_work(&settings);
    println!("test result: ok. 1 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out");
    ExitCode::SUCCESS
}
