//! The list of tests that may fail: what passes over them must hold them to being known, failing and few.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;

/// Tests in the stand-in's workspace: (name, fails).
const TESTS: [(&str, bool); 3] = [("slow::stops", true), ("holds", false), ("slow::stops_late", false)];

struct Case {
    folder: PathBuf,
}

impl Case {
    /// A list, and a stand-in for the runner that knows `TESTS`.
    fn new(name: &str, list: &str) -> Case {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("known-red-{name}"));
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join("list"), list).unwrap();
        let mut runner = "#!/bin/sh\nfor last; do :; done\nif [ \"$last\" = --list ]; then\n".to_owned();
        for (test, _) in TESTS {
            runner += &format!("echo '{test}: test'\n");
        }
        runner += "exit 0\nfi\ncase \"$last\" in\n";
        for (test, fails) in TESTS {
            let (verdict, code) = if fails { ("FAILED", 101) } else { ("ok", 0) };
            runner += &format!("'{test}') echo 'test {test} ... {verdict}'; exit {code};;\n");
        }
        runner += "esac\n";
        let path = folder.join("runner");
        fs::write(&path, runner).unwrap();
        fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).unwrap();
        Case { folder }
    }

    /// Whether it passed, and all it said.
    fn run(&self, verb: &str) -> (bool, String) {
        let script = concat!(env!("CARGO_MANIFEST_DIR"), "/scripts/known-red");
        let mut command = Command::new(script);
        command.arg(verb).arg(self.folder.join("list")).env("KNOWN_RED_CARGO", self.folder.join("runner"));
        let out = command.output().unwrap();
        let said = [out.stdout, out.stderr].concat();
        (out.status.success(), String::from_utf8(said).unwrap())
    }
}

#[test]
fn an_empty_list_passes_over_nothing() {
    let case = Case::new("empty", "# nothing\n\n");
    assert_eq!(case.run("skip"), (true, String::new()));
    assert_eq!(case.run("verify"), (true, String::new()));
}

#[test]
fn a_test_that_fails_is_passed_over_by_its_whole_name_and_printed() {
    let case = Case::new("fails", "slow::stops | a wait without an end | 7\n");
    assert_eq!(case.run("skip"), (true, "--exact\n--skip\nslow::stops\n".to_owned()));
    assert_eq!(case.run("verify"), (true, "known red: slow::stops | a wait without an end | 7\n".to_owned()));
}

#[test]
fn a_listed_test_that_passes_or_is_unknown_fails_the_check() {
    let (passed, said) = Case::new("passes", "holds | none | 7\n").run("verify");
    assert!(!passed && said.contains("holds passes"), "{said}");
    let (passed, said) = Case::new("unknown", "stops | none | 7\n").run("verify");
    assert!(!passed && said.contains("0 tests"), "{said}");
}

#[test]
fn a_list_that_is_too_long_or_lacks_a_cause_is_refused() {
    let four = "a | b | 1\nc | d | 2\ne | f | 3\ng | h | 4\n";
    for (name, list) in [("long", four), ("bare", "slow::stops\n"), ("no-issue", "slow::stops | cause |\n")] {
        let case = Case::new(name, list);
        assert!(!case.run("skip").0 && !case.run("verify").0, "{list}");
    }
}
