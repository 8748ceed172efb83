//! The calls in code against the file that states them.

use jzon::JsonValue;
use settings::api::{self, Beat, CALLS, Call, Resolution, State};
use settings::booking::Asked;
use settings::drill::{Drill, key_name};
use settings::rollout::Order;
use settings::{Config, config};
use std::collections::BTreeSet;
use yaml_rust2::{Yaml, YamlLoader};

const FILE: &str = include_str!("../../../docs/system/api/curlewfront.yaml");

fn stated() -> Yaml {
    YamlLoader::load_from_str(FILE).expect("YAML").remove(0)
}

fn json(yaml: &Yaml) -> JsonValue {
    match yaml {
        Yaml::Hash(map) => {
            let mut out = JsonValue::new_object();
            for (key, value) in map {
                out[key.as_str().expect("keys are texts")] = json(value);
            }
            out
        }
        Yaml::Array(list) => list.iter().map(json).collect::<Vec<_>>().into(),
        Yaml::String(text) => text.as_str().into(),
        Yaml::Boolean(truth) => (*truth).into(),
        Yaml::Null => JsonValue::Null,
        number => number.as_f64().or(number.as_i64().map(|n| n as f64)).expect("a number").into(),
    }
}

fn operations(file: &Yaml) -> Vec<(String, String, &Yaml)> {
    let paths = file["paths"].as_hash().expect("paths");
    let mut all = Vec::new();
    for (path, methods) in paths {
        for (method, operation) in methods.as_hash().expect("methods") {
            if method.as_str() != Some("parameters") {
                let method = method.as_str().expect("a method").to_uppercase();
                all.push((path.as_str().expect("a path").to_string(), method, operation));
            }
        }
    }
    all
}

#[test]
fn the_file_and_the_code_state_the_same_calls() {
    let file = stated();
    let told: BTreeSet<_> = operations(&file)
        .into_iter()
        .map(|(path, method, operation)| {
            let text = |yaml: &Yaml| yaml.as_str().expect("a text").to_string();
            (method, path, text(&operation["operationId"]), text(&operation["tags"][0]))
        })
        .collect();
    let coded = CALLS.iter().map(|(_, method, path, id, at)| {
        (method.to_string(), path.to_string(), id.to_string(), at.to_string())
    });
    let coded: BTreeSet<_> = coded.collect();
    assert_eq!(told, coded);
    assert_eq!(coded.len(), CALLS.len());
    for (call, method, path, ..) in CALLS {
        let (filled, argument) = match path.split_once('{') {
            Some((before, _)) => (format!("{before}a%2Fb?x=1"), Some("a/b".to_string())),
            None => (path.to_string(), None),
        };
        assert_eq!(Call::of(method, &filled), Some((call, argument)));
        assert_eq!(Call::of("OPTIONS", &filled), None);
        assert!(Call::any_at(&filled));
    }
    for wrong in ["/api/instances/", "/api/instances/a/b", "/api/instances/%zz", "/api/configuration/", "/"] {
        assert!(!Call::any_at(wrong), "{wrong}");
    }
}

#[test]
fn the_examples_of_the_file_are_read() {
    let file = stated();
    let mut read = Vec::new();
    let small = json(
        &file["paths"]["/api/configuration"]["put"]["requestBody"]["content"]["application/json"]["examples"]
            ["small"]["value"],
    );
    let small = Config::read(small.dump().as_bytes()).expect("the example of a configuration");
    for (_, _, operation) in operations(&file) {
        let id = operation["operationId"].as_str().expect("an id");
        let examples = &operation["requestBody"]["content"]["application/json"]["examples"];
        for (name, example) in examples.as_hash().into_iter().flatten() {
            let body = json(&example["value"]).dump();
            let name = name.as_str().expect("a name");
            read.push(format!("{id} {name}"));
            match id {
                "beat" => {
                    let beat = Beat::read(body.as_bytes()).expect(name);
                    assert_eq!(beat.information.is_some(), name == "first");
                    assert_eq!(beat.state == State::Draining, name == "later");
                }
                "putConfig" => assert_eq!(Config::read(body.as_bytes()).expect(name).routes.len(), 2),
                "patchConfig" => {
                    let patched = small.patch(body.as_bytes()).expect(name);
                    assert_eq!((patched.version, patched.routes.len()), (5, 1));
                    assert_eq!(patched.routes[0].to, [("stilt".to_string(), 1.0)]);
                }
                "putDrill" => {
                    let drill = Drill::read("payment", body.as_bytes()).expect(name);
                    let again = Drill::read("payment", drill.write().dump().as_bytes()).expect("as written");
                    assert_eq!((drill.check(&small), again), (Ok(()), drill));
                }
                "putBooking" => {
                    let meant = Asked::read(body.as_bytes()).expect(name).under(&small).expect(name);
                    // Thirty a second, half a second each, of a quota of forty.
                    assert_eq!((meant.flight, meant.quota_flight), (15, Some(20)));
                }
                "startRollout" => {
                    let order = Order::read(body.as_bytes()).expect(name);
                    let again = Order::read(order.write().dump().as_bytes()).expect("as written");
                    assert_eq!((order.term_ms, again), (12_000, order));
                }
                _ => panic!("{id} has an example that nothing reads"),
            }
        }
    }
    assert_eq!(
        read,
        [
            "beat first",
            "beat later",
            "putConfig small",
            "patchConfig moved",
            "putBooking release",
            "putDrill payment",
            "startRollout second"
        ]
    );

    let resolve = &file["paths"]["/api/resolution"]["get"];
    let query: Vec<String> = resolve["parameters"]
        .as_vec()
        .expect("parameters")
        .iter()
        .map(|p| {
            format!("{}={}", p["name"].as_str().unwrap(), p["example"].as_str().unwrap().replace('.', "%2e"))
        })
        .collect();
    let asked = Resolution::read(&format!("/api/resolution?{}", query.join("&"))).expect("the query");
    assert_eq!(asked.host, "marsh.example");
    assert_eq!((asked.region.as_deref(), asked.zone.as_deref()), (Some("north"), Some("north-a")));
    assert!(Resolution::read("/api/resolution?zone_name=a").unwrap_err().to_string().contains("entity_name"));

    let body = |answer: &Yaml, name: &str| {
        json(&answer["content"]["application/json"]["examples"][name]["value"]).dump()
    };
    let beat = &file["paths"]["/api/instances/{server_id}"]["put"]["responses"]["200"];
    assert_eq!(api::beat_answer(None), body(beat, "plain"));
    assert_eq!(api::beat_answer("10.9.0.7:8688".parse().ok()), body(beat, "elsewhere"));
    let addresses = ["10.9.1.2:8686".parse().unwrap()];
    assert_eq!(api::resolution_answer(&addresses, 2.5), body(&resolve["responses"]["200"], "one"));
    let refused = &file["components"]["responses"]["Refused"]["content"]["application/json"];
    let trouble = json(&refused["examples"]["deadline"]["value"]);
    assert_eq!(
        trouble["trouble"],
        "route_list.row_set[2].deadline_ms: expected a whole number of \
        milliseconds up to 600000, found -3"
    );
    let version = &file["components"]["parameters"]["if_match"]["example"];
    assert_eq!(version.as_str().and_then(config::if_match), Some(3));
}

#[test]
fn a_beat_that_lacks_something_names_it() {
    for (body, words) in [
        ("{}", "status_report: expected an object, found nothing"),
        (
            r#"{"status_report":{"server_state":"gone","call_sequence":1},"server_address":"10.0.0.1:1"}"#,
            "server_state: expected available or",
        ),
        (r#"{"status_report":{"server_state":"draining"},"server_address":"10.0.0.1:1"}"#, "call_sequence"),
        (
            r#"{"status_report":{"server_state":"draining","call_sequence":1},"server_address":"h"}"#,
            "found \"h\"",
        ),
    ] {
        let trouble = Beat::read(body.as_bytes()).unwrap_err().to_string();
        assert!(trouble.contains(words), "{trouble}");
    }
}

/// A rule that meets nobody, everybody, or has no end, and what is said of it.
#[test]
fn a_drill_that_may_not_be_is_refused_with_the_reason() {
    let body = |caller: &str, fault: &str, rest: &str| {
        format!(r#"{{"caller":{caller},"fault":{{"fault_kind":{fault}}},{rest}"asked_by":"a","reason":"b"}}"#)
    };
    let (end, reed) = (r#""duration_ms":1000,"#, r#"{"tenant_name":"reed"}"#);
    for (body, words) in [
        (body(r#"{"route_name":"get"}"#, r#""lost""#, end), "caller: matches everybody"),
        (body("{}", r#""lost""#, end), "caller: matches everybody"),
        (body(r#"{"header":{"header_name":"host","header_value":"h"}}"#, r#""lost""#, end), "no caller from"),
        (body(reed, r#""lost""#, ""), "duration_ms: expected a whole number of milliseconds up to 3600000"),
        (body(reed, r#""lost""#, r#""duration_ms":0,"#), "an end"),
        (body(reed, r#""fire""#, end), "fault.fault_kind: expected late, refused"),
        (body(reed, r#""late""#, end), "fault.delay_ms"),
        (body(reed, r#""unreachable""#, end), "either a server_id or a zone_name"),
        (body(reed, r#""lost""#, r#""duration_ms":1000,"count":0,"#), "count: expected at least 1"),
        (body(reed, r#""lost""#, r#""duration_ms":1000,"share":1.5,"#), "share: expected a part above 0"),
    ] {
        let trouble = Drill::read("x", body.as_bytes()).expect_err(words).to_string();
        assert!(trouble.contains(words), "{trouble}");
    }
    let config = r#"{"config_version":"00000001","limits":{},"route_list":{"column_set":["entity_name","host_name",
        "path_prefix","route_kind","service_ref","deadline_ms","keyless"],"row_set":[["get","h","/","safe","heron",2000,
        false],["open","h","/o/","safe","heron",2000,true]]},"service_list":{"column_set":["entity_name"],
        "row_set":[["heron"]]},"tenant_list":{"column_set":["entity_name","access_keys"],"row_set":[["reed",["k1"]],
        ["rush",["k2"]]]}}"#;
    let config = Config::read(config.as_bytes()).expect("a configuration");
    let other = key_name("k2");
    for (caller, words) in [
        (r#"{"tenant_name":"fern"}"#.to_string(), "no tenant \"fern\""),
        (r#"{"tenant_name":"reed","route_name":"put"}"#.into(), "no route \"put\""),
        (r#"{"tenant_name":"reed","route_name":"open"}"#.into(), "have no tenant"),
        (format!(r#"{{"tenant_name":"reed","key_name":"{other}"}}"#), "no key of such a tenant"),
    ] {
        let drill = Drill::read("x", body(&caller, r#""lost""#, end).as_bytes()).expect("in itself proper");
        let trouble = drill.check(&config).expect_err(words).to_string();
        assert!(trouble.contains(words), "{trouble}");
    }
    let mine = body(&format!(r#"{{"key_name":"{}"}}"#, key_name("k1")), r#""lost""#, end);
    assert_eq!(Drill::read("x", mine.as_bytes()).expect("proper").check(&config), Ok(()));
}

/// What no rollout can be is refused, and the field at fault is named.
#[test]
fn an_order_of_a_rollout_that_lacks_something_names_it() {
    for (body, words) in [
        ("{}", "rollout_term_s: expected a number of seconds above 0"),
        (r#"{"rollout_term_s":0,"service_ref":"a","target_version":"v2"}"#, "rollout_term_s"),
        (r#"{"rollout_term_s":1e9,"service_ref":"a","target_version":"v2"}"#, "rollout_term_s"),
        (r#"{"rollout_term_s":5,"target_version":"v2"}"#, "service_ref"),
        (r#"{"rollout_term_s":5,"service_ref":"a"}"#, "target_version"),
        (r#"{"rollout_term_s":5,"service_ref":"a","target_version":7}"#, "target_version"),
        ("[]", "expected an object"),
    ] {
        let trouble = Order::read(body.as_bytes()).expect_err(words).to_string();
        assert!(trouble.contains(words), "{trouble}");
    }
}
