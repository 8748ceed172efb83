//! The list of known test failures: `scripts/known-red` skips them, and must check that each exists, still fails and is
//! described in full.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;

/// Tests that the fake test runner knows: (name, fails).
const TESTS: [(&str, bool); 8] = [
    ("slow::stops", true),
    ("holds", false),
    ("slow::stops_late", false),
    ("slow::hangs", true),
    ("slow::waits", true),
    ("slow::loops", true),
    ("twice::told", true),
    ("twice::told", true),
];

struct Case {
    folder: PathBuf,
}

impl Case {
    /// Writes a list and a fake test runner that knows `TESTS`.
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

    /// Runs the script; returns whether it passed, and its output.
    fn run(&self, subcommand: &str) -> (bool, String) {
        let script = concat!(env!("CARGO_MANIFEST_DIR"), "/scripts/known-red");
        let mut command = Command::new(script);
        command
            .arg(subcommand)
            .arg(self.folder.join("list"))
            .env("KNOWN_RED_CARGO", self.folder.join("runner"));
        let result = command.output().unwrap();
        let output = [result.stdout, result.stderr].concat();
        (result.status.success(), String::from_utf8(output).unwrap())
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
    let case = Case::new("fails", "slow::stops | cargo test slow, seed 3 | waits without an end | 7\n");
    assert_eq!(case.run("skip"), (true, "--exact\n--skip\nslow::stops\n".to_owned()));
    assert_eq!(
        case.run("verify"),
        (true, "known red: slow::stops | cargo test slow, seed 3 | waits without an end | 7\n".to_owned())
    );
}

#[test]
fn a_listed_test_that_passes_or_is_unknown_fails_the_check() {
    let (passed, output) = Case::new("passes", "holds | cargo test | none | 7\n").run("verify");
    assert!(!passed && output.contains("holds passes"), "{output}");
    let (passed, output) = Case::new("unknown", "stops | cargo test | none | 7\n").run("verify");
    assert!(!passed && output.contains("0 tests"), "{output}");
}

// Guards against a check that drops entries of a long list: each must be skipped, printed and checked to fail.
#[test]
fn every_test_of_a_long_list_is_passed_over_and_held_to_fail() {
    let line = |name: &str| format!("{name} | cargo test | none | 7\n");
    let failing = ["slow::stops", "slow::hangs", "slow::waits", "slow::loops"];
    let case = Case::new("long", &failing.map(line).concat());
    let skipped: String = failing.map(|name| format!("--skip\n{name}\n")).concat();
    assert_eq!(case.run("skip"), (true, format!("--exact\n{skipped}")));
    let printed: String = failing.map(|name| format!("known red: {}", line(name))).concat();
    assert_eq!(case.run("verify"), (true, printed));
    let (passed, output) =
        Case::new("long-passes", &(failing.map(line).concat() + &line("holds"))).run("verify");
    assert!(!passed && output.contains("holds passes"), "{output}");
}

#[test]
fn an_entry_without_its_four_fields_is_refused() {
    let lists = [
        ("bare", "slow::stops\n"),
        ("old-form", "slow::stops | cause | 7\n"),
        ("no-command", "slow::stops | | seen | 7\n"),
        ("nothing-seen", "slow::stops | cargo test | | 7\n"),
        ("no-issue", "slow::stops | cargo test | seen |\n"),
        ("no-test", " | cargo test | seen | 7\n"),
        ("two-words", "slow stops | cargo test | seen | 7\n"),
        ("five-fields", "slow::stops | cargo test | seen | 7 | more\n"),
        ("second-line", "slow::stops | cargo test | seen | 7\nslow::hangs\n"),
    ];
    for (name, list) in lists {
        let case = Case::new(name, list);
        assert!(!case.run("skip").0 && !case.run("verify").0, "{list}");
    }
}

// Guards against an entry whose name two tests have: one of them could pass unnoticed.
#[test]
fn a_name_of_two_tests_is_refused() {
    let (passed, output) = Case::new("twice", "twice::told | cargo test | none | 7\n").run("verify");
    assert!(!passed && output.contains("2 tests"), "{output}");
}
