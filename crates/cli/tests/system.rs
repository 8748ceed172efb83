//! `curlewfront system init`, and whether the programs take what it writes.

use settings::Settings;
use std::path::PathBuf;
use std::process::{Command, Output};

fn init(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_curlewfront"))
        .args(["system", "init"])
        .args(args)
        .output()
        .expect("it runs")
}

fn folder(name: &str) -> (PathBuf, String) {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&dir);
    let text = dir.to_string_lossy().into_owned();
    (dir, text)
}

#[test]
fn files_are_written_once_and_never_over_those_of_a_system_at_work() {
    let (dir, text) = folder("init");
    let done =
        init(&["--dir", &text, "--core", "2", "--edge", "3", "--zones", "a=x,b=y", "--net", "127.9.8.0"]);
    assert!(done.status.success(), "{done:?}");
    let mut files: Vec<String> = std::fs::read_dir(&dir)
        .expect("the folder")
        .map(|f| f.expect("a file").file_name().to_string_lossy().into_owned())
        .collect();
    files.sort();
    assert_eq!(files.len(), 2 * 2 + 3, "{files:?}");
    for file in &files {
        let read = std::fs::read_to_string(dir.join(file)).expect("text");
        let s = Settings::read(&read).expect("proper settings");
        assert!(s.ip.to_string().starts_with("127.9.8."), "{}", s.ip);
        assert!(String::from_utf8_lossy(&done.stdout).contains(file), "how to start {file}");
    }
    let mine = dir.join("edge-2.proxy.json");
    std::fs::write(&mine, "changed").expect("written");
    let again = init(&["--dir", &text]);
    assert_eq!(again.status.code(), Some(1));
    assert_eq!(std::fs::read_to_string(&mine).expect("text"), "changed");
    assert!(init(&["--dir", &text, "--force"]).status.success());
}

#[test]
fn wrong_use_is_said_to_be_so() {
    let (_, text) = folder("wrong");
    for more in [["--core", "0"], ["--edge", "900"], ["--zones", "a"], ["--net", "10.0.0.0"]] {
        let done = init(&["--dir", &text, more[0], more[1]]);
        assert_eq!(done.status.code(), Some(2), "{more:?}: {done:?}");
    }
}
