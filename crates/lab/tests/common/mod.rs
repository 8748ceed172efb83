//! What the lab's tests share.

use std::path::PathBuf;

/// The gateway of this text: built once for all tests here (at once if it is up to date).
pub fn gateway() -> PathBuf {
    static BUILT: std::sync::Once = std::sync::Once::new();
    BUILT.call_once(|| {
        let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
        let built = std::process::Command::new(cargo)
            .args(["build", "--locked", "-p", "curlewfront-gateway"])
            .status()
            .expect("cargo runs");
        assert!(built.success(), "the gateway builds");
    });
    let exe = std::env::current_exe().expect("the test's own path");
    let dir = exe.parent().and_then(|d| d.parent()).expect("target/<profile>").to_path_buf();
    dir.join("curlewfront-gateway")
}
