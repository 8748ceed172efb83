//! Schemes of whole installations, and the settings that are made of them.

use settings::scheme::Program;
use settings::{Scheme, Settings};

const FILE: &str = r#"{"zones": {"north-a": "north", "south-a": "south"}, "data_directory": "/var/lib/curlewfront/",
    "core": [{"ip_address": "10.0.0.4", "zone_name": "north-a", "node_name": "attic"},
             {"ip_address": "10.0.0.5", "zone_name": "south-a"}],
    "edge": [{"ip_address": "10.0.1.4", "zone_name": "south-a"}],
    "ports": {"front_plain": 80}, "rule_bounds": {"grace_period_s": 9}}"#;

#[test]
fn each_process_of_a_scheme_gets_settings_that_it_can_read() {
    let scheme = Scheme::read(FILE).expect("a proper scheme");
    let parts = scheme.parts(true).expect("proper settings");
    let files: Vec<String> = parts.iter().map(|p| p.file()).collect();
    let wanted = [
        "attic.planchest.json",
        "attic.pegboard.json",
        "core-2.planchest.json",
        "core-2.pegboard.json",
        "edge-1.proxy.json",
    ];
    assert_eq!(files, wanted);
    for part in &parts {
        let s = Settings::read(&part.settings).expect("read back");
        assert_eq!((s.ip, &s.zone, s.initial_start), (part.machine.ip, &part.machine.zone, true));
        assert_eq!(s.region, scheme.zones[&s.zone]);
        assert_eq!(s.seeds, scheme.seeds(), "alike on all");
        assert_eq!(s.bounds.grace_period_s, Some(9.0));
        let folder = s.data_directory.as_ref().map(|d| d.to_string_lossy().into_owned());
        match part.program {
            Program::Store => assert_eq!(folder, Some(format!("/var/lib/curlewfront/{}", s.name))),
            Program::Registry => assert_eq!((folder, s.control().unwrap().port()), (None, 8688)),
            Program::Proxy => assert_eq!((folder, s.front_plain().unwrap().port()), (None, 80)),
        }
    }
    let later = scheme.parts(false).expect("proper settings");
    assert!(later.iter().all(|p| !Settings::read(&p.settings).unwrap().initial_start));
}

/// Each file would be good by itself.
#[test]
fn what_would_not_work_together_is_refused_with_the_place() {
    let refused = |from: &str, to: &str| {
        let text = FILE.replace(from, to);
        assert_ne!(text, FILE);
        Scheme::read(&text).expect_err("refused").to_string()
    };
    assert_eq!(refused("10.0.0.5", "10.0.0.4"), "core-2: 10.0.0.4 belongs to another machine too");
    assert_eq!(
        refused("\"attic\"", "\"../attic\""),
        "../attic: a name of letters, digits and dashes that no other machine has"
    );
    assert_eq!(
        refused("\"attic\"", "\"core-2\""),
        "core-2: a name of letters, digits and dashes that no other machine has"
    );
    assert_eq!(
        refused("{\"ip_address\": \"10.0.1.4\", \"zone_name\": \"south-a\"}", ""),
        "edge: at least one is needed"
    );
    assert_eq!(refused("\"front_plain\": 80", "\"front_plain\": 7741"), "ports: two of them are the same");
    assert_eq!(
        refused("\"front_plain\": 80", "\"last_internal\": 7744"),
        "ports: at least 6 internal ones are needed"
    );
    assert_eq!(
        refused("10.0.1.4", "edge.example"),
        "edge[0].ip_address: expected an IPv4 address, found \"edge.example\""
    );
}
