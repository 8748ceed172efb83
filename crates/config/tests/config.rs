//! Valid configurations of a gateway, and the errors for invalid ones.

use curlewfront_config::{Config, Members};
use serde_json::{Value, json};

/// The keys are fixed by the format of the configuration, which comes from outside: `localities` are the zones,
/// `tiersOfService` the plans.
fn valid() -> Value {
    json!({
        "name": "n3", "listen": "127.0.0.1:9000", "discovery": "127.0.0.2:8500", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
        "known": {"version": 41, "full": true, "servers": [
            {"id": "s-1", "addr": "127.0.0.3:9000", "zone": "a", "kind": "m", "cell": 3, "state": "Ready",
             "weight": 1.5, "started_ms": 7}]},
        "settings": {
            "balancers": 2, "index": 1, "localities": ["a", "b"], "a new key": [],
            "classes": [{"name": "view", "aimUs": 100, "deadlineUs": 400, "effect": "repeatable"}],
            "tiersOfService": [{"name": "team", "unitsPerS": 2.0, "depth": 4.0}],
            "permissions": {"connIdleUs": 9_000_000, "dialTimeoutUs": 100_000}
        }
    })
}

fn read(value: &Value) -> Result<Config, String> {
    Config::read(&value.to_string(), |_| None)
}

#[test]
fn a_complete_configuration_is_read() {
    let config = read(&valid()).expect("valid");
    assert_eq!((config.name.as_str(), config.seed), ("n3", 0x8c1f_30d2_7a5b_e964));
    assert_eq!((config.memory_mb, config.sockets), (64, 512));
    assert_eq!((config.conn_idle_us, config.dial_timeout_us), (9_000_000, 100_000));
    assert_eq!(
        (config.classes, config.plans, config.zones.len()),
        (vec!["view".into()], vec!["team".into()], 2)
    );
    assert_eq!((config.known.version, config.known.servers[0].cell), (41, 3));
    assert_eq!(config.settings.index, 1);
}

#[test]
fn absent_keys_have_defaults() {
    let mut value = valid();
    for key in ["limits", "known", "seed", "name"] {
        value.as_object_mut().expect("an object").remove(key);
    }
    value["settings"].as_object_mut().expect("an object").remove("permissions");
    let config = read(&value).expect("valid");
    assert!(config.memory_mb > 0 && config.sockets > 0 && config.known.servers.is_empty());
    assert!(config.conn_idle_us > 0 && config.dial_timeout_us > 0);
}

/// On a reload the environment variable, which still has the value of the start, must not hide a change of the file.
#[test]
fn on_reload_the_discovery_of_the_file_takes_precedence_over_the_variable() {
    let path = std::env::temp_dir().join(format!("curlewfront-reload-{}.json", std::process::id()));
    let env = |name: &str| match name {
        "EDGE_CONFIG" => path.to_str().map(str::to_string),
        "EDGE_DISCOVERY" => Some("127.0.0.8:8500".to_string()),
        "EDGE_LISTEN" => Some("127.0.0.9:1".to_string()),
        _ => None,
    };
    std::fs::write(&path, valid().to_string()).expect("written");
    let (first, reloaded) = (Config::load(env).expect("valid"), Config::reload(env).expect("valid"));
    assert_eq!(first.discovery.to_string(), "127.0.0.8:8500");
    assert_eq!(reloaded.discovery.to_string(), "127.0.0.2:8500");
    assert_eq!(reloaded.listen, first.listen, "the variable still takes precedence for listen");
    assert!(first.changed_keys_needing_restart(&reloaded).is_empty());
    let mut value = valid();
    value.as_object_mut().expect("an object").remove("discovery");
    value["limits"]["sockets"] = json!(100);
    std::fs::write(&path, value.to_string()).expect("written");
    let without = Config::reload(env).expect("valid");
    assert_eq!(without.discovery.to_string(), "127.0.0.8:8500");
    assert_eq!(first.changed_keys_needing_restart(&without), ["limits"]);
    std::fs::remove_file(&path).expect("removed");
}

#[test]
fn variables_take_precedence_over_the_file() {
    let env = |name: &str| match name {
        "EDGE_LISTEN" => Some("127.0.0.9:1".to_string()),
        "EDGE_NAME" => Some("other".to_string()),
        _ => None,
    };
    let config = Config::read(&valid().to_string(), env).expect("valid");
    assert_eq!((config.listen.to_string().as_str(), config.name.as_str()), ("127.0.0.9:1", "other"));
    let error = Config::read(&valid().to_string(), |_| Some("nowhere".into())).expect_err("no address");
    assert!(error.contains("EDGE_LISTEN") && error.contains("nowhere"), "{error}");
}

/// The error names the invalid key.
#[test]
fn the_error_for_an_invalid_value_names_its_key() {
    let cases: [(&str, Value, &str); 25] = [
        ("/listen", json!("here"), "listen"),
        ("/listen", json!(null), "listen"),
        ("/discovery", json!(7), "discovery"),
        ("/seed", json!("xyz"), "seed"),
        ("/limits", json!([]), "limits"),
        ("/limits/sockets", json!(3), "limits.sockets"),
        ("/limits/memory_mb", json!("much"), "limits.memory_mb"),
        ("/known/servers/0/state", json!("Up"), "known: servers[0].state"),
        ("/known/servers/0/addr", json!("x"), "known: servers[0].addr"),
        ("/known/servers/0/id", json!(""), "known: servers[0].id"),
        ("/known/servers", json!(3), "known: servers"),
        ("/settings", json!(3), "settings"),
        ("/settings/balancers", json!("two"), "settings.balancers"),
        ("/settings/index", json!(2), "settings.index"),
        ("/settings/balancers", json!(0), "settings.balancers"),
        ("/settings/classes/0/deadlineUs", json!(0), "settings.classes[0].deadlineUs"),
        ("/settings/tiersOfService/0/depth", json!(-1.0), "settings.tiersOfService[0].depth"),
        ("/settings/classes", json!([]), "settings.classes"),
        ("/settings/classes/0/effect", json!("odd"), "settings.classes[0].effect"),
        ("/settings/classes/0/aimUs", json!(-3), "settings.classes[0].aimUs"),
        ("/settings/classes/0/name", json!(""), "settings.classes[].name"),
        ("/settings/tiersOfService/0/unitsPerS", json!("x"), "settings.tiersOfService[0].unitsPerS"),
        ("/settings/localities", json!([1]), "localities"),
        ("/settings/permissions", json!(1), "settings.permissions"),
        ("/settings/permissions/dialTimeoutUs", json!("x"), "dialTimeoutUs"),
    ];
    for (at, bad, expected) in cases {
        let mut value = valid();
        *value.pointer_mut(at).expect("a key") = bad;
        let error = read(&value).expect_err(at);
        assert!(error.contains(expected), "{at}: {error:?} does not contain {expected:?}");
    }
    let duplicate =
        json!([valid()["settings"]["tiersOfService"][0], valid()["settings"]["tiersOfService"][0]]);
    let mut value = valid();
    value["settings"]["tiersOfService"] = duplicate;
    assert!(read(&value).expect_err("one name for two").contains("tiersOfService"));
    assert!(Config::read("{", |_| None).expect_err("no JSON").contains("not JSON"));
    assert!(Config::load(|_| None).expect_err("no file").contains("EDGE_CONFIG"));
    assert!(Config::load(|_| Some("/nowhere/x".into())).expect_err("no file").contains("/nowhere/x"));
}

#[test]
fn a_server_that_is_gone_needs_no_address() {
    let line = json!({"version": 2, "full": false, "servers": [{"id": "s-1", "state": "Gone"}]});
    let members = Members::read(&line).expect("valid");
    assert!(members.servers[0].addr.is_none() && !members.full);
}

#[test]
fn the_fleet_object_is_optional_and_each_key_is_checked() {
    assert!(read(&valid()).expect("valid").fleet.is_none());
    let mut with_fleet = valid();
    with_fleet["fleet"] = json!({
        "installation": "here", "listen": "127.0.0.1:7300", "control": "127.0.0.1:7301", "dir": "/var/lib/curlewfront",
        "voters": [{"name": "n1", "addr": "10.0.0.1:7300"}, {"name": "n2", "addr": "10.0.0.2:7300"},
                   {"name": "n3", "addr": "10.0.0.3:7300"}],
    });
    let fleet = read(&with_fleet).expect("valid").fleet.expect("a fleet");
    assert!(fleet.votes("n3") && !fleet.votes("n4"));
    assert_eq!((fleet.election_us, fleet.lease_us, fleet.compact_after), (1_000_000, 6_000_000, 4096));
    let bad = [
        ("/fleet/installation", json!(""), "fleet.installation"),
        ("/fleet/dir", json!(""), "fleet.dir"),
        ("/fleet/listen", json!("here"), "fleet.listen"),
        ("/fleet/listen", json!(null), "fleet.listen"),
        ("/fleet/control", json!("10.0.0.1:7301"), "fleet.control"),
        ("/fleet/voters", json!([]), "fleet.voters"),
        ("/fleet/voters/1/name", json!("n1"), "fleet.voters[1].name"),
        ("/fleet/voters/1/addr", json!("x"), "fleet.voters[1].addr"),
        ("/name", json!(""), "name"),
    ];
    for (at, value, expected) in bad {
        let mut config = with_fleet.clone();
        *config.pointer_mut(at).expect("there") = value.clone();
        let error = read(&config).expect_err("refused");
        assert!(error.starts_with(expected), "{at} {value}: {error}");
    }
    for (key, value, expected) in [("electionMs", 10, "fleet.electionMs"), ("leaseMs", 1500, "fleet.leaseMs")]
    {
        let mut config = with_fleet.clone();
        config["fleet"][key] = json!(value);
        let error = read(&config).expect_err("refused");
        assert!(error.starts_with(expected), "{key} {value}: {error}");
    }
}
