//! A gateway that cannot start says why and exits with a failure.

mod common;

use common::{Discovery, Gateway, Server, Setup, wait_until};
use std::process::Command;

fn run(config: &str) -> (bool, String) {
    let folder = std::env::temp_dir().join(format!("curlewfront-start-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("config.json");
    std::fs::write(&path, config).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewfront-gateway"));
    let command = command.env("EDGE_CONFIG", &path).env_remove("EDGE_LISTEN").env_remove("EDGE_DISCOVERY");
    let output = command.output().expect("it runs");
    let _ = std::fs::remove_dir_all(&folder);
    (output.status.success(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn a_bad_configuration_is_reported_and_ends_the_start() {
    let settings = r#"{"balancers":1,"classes":[{"name":"v","aimUs":1,"deadlineUs":2,"effect":"once"}],"tiersOfService":[{"name":"t"}]}"#;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let taken_addr = listener.local_addr().expect("bound");
    let cases = [
        ("{".to_string(), "not JSON"),
        ("{}".to_string(), "listen"),
        (format!(r#"{{"listen":"x","discovery":"127.0.0.1:1","settings":{settings}}}"#), "listen"),
        (
            r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{}}"#.to_string(),
            "settings.balancers",
        ),
        (
            format!(r#"{{"listen":"{}","discovery":"127.0.0.1:1","settings":{settings}}}"#, taken_addr),
            "cannot listen",
        ),
    ];
    for (config, expected) in cases {
        let (succeeded, error) = run(&config);
        assert!(!succeeded, "{config} was accepted");
        assert!(error.contains(expected) && !error.contains("panicked"), "{config}: {error}");
    }
}

/// Without `fleet` in its configuration a gateway takes no part in the fleet group: the group's thread does not run.
#[test]
fn the_fleet_group_is_off_unless_it_is_configured() {
    let (server, discovery) = (Server::start(), Discovery::start());
    let gateway = Gateway::start(&Setup::with(&[&server]), &discovery);
    // A thread gets its name when it first runs.
    wait_until("the others have their names", || gateway.threads().iter().any(|t| t == "signals"));
    let threads = gateway.threads();
    assert!(!threads.iter().any(|t| t == "fleet"), "{threads:?}");
    assert!(gateway.client().get("/_stats").is_some_and(|m| !m.body.contains("fleet")));
}
