//! What the lab's tests share.

use curlewfront_lab::system::Day;
use curlewfront_lab::system::observed::RolloutState;
use curlewfront_lab::system::rollouts::Quality;
use std::path::PathBuf;

/// Bad versions that a registry told to be completed.
#[allow(dead_code)]
pub fn completed_bad_versions(day: &Day) -> Vec<String> {
    let seen = &day.observed;
    let completed = |version: &str| {
        let views = seen.rollout_views.iter().filter_map(|v| v.told.as_ref());
        views.into_iter().any(|(told, state)| told == version && *state == RolloutState::Completed)
    };
    let bad = seen.rollouts.iter().filter(|r| r.quality != Quality::Good && completed(&r.version));
    bad.map(|r| format!("{} of {}", r.version, r.service)).collect()
}

/// The folder of programs, with those of these packages in it: built once for all tests of a file, at once if they are
/// up to date.
#[allow(dead_code)]
pub fn built(packages: &[&str]) -> PathBuf {
    static BUILT: std::sync::Once = std::sync::Once::new();
    BUILT.call_once(|| {
        let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
        let named = packages.iter().flat_map(|p| ["-p", p]);
        let built = std::process::Command::new(cargo).args(["build", "--locked"]).args(named).status();
        assert!(built.expect("cargo runs").success(), "{packages:?} build");
    });
    let exe = std::env::current_exe().expect("the test's own path");
    exe.parent().and_then(|d| d.parent()).expect("target/<profile>").to_path_buf()
}

/// The gateway of this text.
#[allow(dead_code)]
pub fn gateway() -> PathBuf {
    built(&["curlewfront-gateway"]).join("curlewfront-gateway")
}
