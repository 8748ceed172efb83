//! Routes that are split: parts of weight 0 get nothing, whatever becomes of the others.

mod common;

use cluster::state::{Command, ServerChange};
use common::*;
use proxy::dispatcher::Input;
use proxy::split::pick_service;
use settings::config::Config;
use std::collections::BTreeMap;

fn split_route(parts: &[(&str, u32)]) -> String {
    let part =
        |(service, weight): &(&str, u32)| format!(r#"{{"service_ref":"{service}","split_weight":{weight}}}"#);
    let parts: Vec<String> = parts.iter().map(part).collect();
    format!(r#"["pay","h","/pay/","unsafe",null,[{}],2000,1000,2,true,null]"#, parts.join(","))
}

fn configured(version: u32, parts: &[(&str, u32)]) -> Command {
    config(version, &[&split_route(parts)])
}

fn gone(id: &str) -> Command {
    Command::Servers(vec![ServerChange::Gone { id: id.into(), said: true }])
}

fn draining(number: u8, id: &str, service: &str, zone: &str) -> Command {
    let Command::Servers(mut changes) = server(number, id, service, zone, 0) else { panic!("servers") };
    let [ServerChange::Up(server)] = &mut changes[..] else { panic!("one server") };
    server.draining = true;
    Command::Servers(changes)
}

const IN_USE: (&str, u32) = ("heron", 100);
const STANDBY: (&str, u32) = ("stilt", 0);

/// The service heron with one server in north-a, and stilt, which stands by with two in north-b.
fn servers() -> [Command; 3] {
    [
        server(1, "h", "heron", "north-a", 0),
        server(2, "s", "stilt", "north-b", 0),
        server(3, "t", "stilt", "north-b", 0),
    ]
}

fn proxy_with(parts: &[(&str, u32)]) -> Proxy {
    let mut proxy = Proxy::new(vec![nodes(&[(1, "north-a"), (2, "north-b")]), configured(1, parts)]);
    servers().into_iter().for_each(|s| proxy.learn(s));
    proxy
}

/// Asks, and lets time pass until there is an answer: none was sent to a server, and it says when to come again.
fn is_refused_in_time(proxy: &mut Proxy, case: &str) {
    let asked_at = proxy.now;
    proxy.ask("/pay/", None);
    while proxy.status().is_none() {
        assert_eq!(proxy.goes_to(), None, "{case}");
        proxy.now = proxy.dispatcher.wake_at();
        proxy.tell(Input::Tick);
    }
    assert_eq!((proxy.status(), proxy.says_when()), (Some(503), true), "{case}");
    assert!(proxy.now <= asked_at + 2 * SECOND, "{case}: within the route's deadline");
}

/// What takes the only server of the service in use away.
fn losses() -> Vec<(&'static str, Command)> {
    vec![
        ("evacuated", evacuate("north-a", true)),
        ("gone", gone("h")),
        ("draining", draining(1, "h", "heron", "north-a")),
        // The proxies of its zone warm it up, and this one is not among them.
        ("cold elsewhere", server(1, "h", "heron", "north-b", 60_000)),
    ]
}

// Guards against payments at a service that is being set up: the zone of the service in use is evacuated, or its servers
// are lost in another way.
#[test]
fn a_part_of_weight_0_gets_nothing_while_the_others_have_no_server() {
    for parts in [[STANDBY, IN_USE], [IN_USE, STANDBY]] {
        for (case, loss) in losses() {
            let mut proxy = proxy_with(&parts);
            let id = proxy.ask("/pay/", None);
            assert_eq!(proxy.goes_to(), Some("h"));
            proxy.served(id, 0, 200, false);
            proxy.learn(loss);
            for _ in 0..5 {
                is_refused_in_time(&mut proxy, &format!("{case}, {parts:?}"));
            }
        }
    }
}

// Guards against the same at a proxy that has just started, or whose only server of the service in use answers 421.
#[test]
fn a_part_of_weight_0_gets_nothing_while_no_other_server_is_known() {
    let mut proxy = Proxy::new(vec![nodes(&[(1, "north-a")]), configured(1, &[STANDBY, IN_USE])]);
    proxy.learn(servers()[1].clone());
    is_refused_in_time(&mut proxy, "unknown yet");
    proxy.learn(servers()[0].clone());
    let id = proxy.ask("/pay/", None);
    assert_eq!(proxy.goes_to(), Some("h"));
    for attempt in 0..2 {
        assert!(proxy.goes_to().is_none_or(|to| to == "h"), "a retry stays with the service");
        proxy.served(id, attempt, 421, false);
    }
    assert_eq!(proxy.status(), Some(503));
    is_refused_in_time(&mut proxy, "another server at its address");
}

// Guards against requests that go back to the service that a later version has set to weight 0.
#[test]
fn a_part_that_is_lowered_to_0_gets_nothing_more_though_the_other_has_no_server() {
    let mut proxy = proxy_with(&[("stilt", 90), ("heron", 10)]);
    proxy.learn(gone("h"));
    let id = proxy.ask("/pay/", None);
    assert!(proxy.goes_to().is_some_and(|id| ["s", "t"].contains(&id)));
    proxy.served(id, 0, 200, false);
    proxy.learn(configured(2, &[STANDBY, IN_USE]));
    is_refused_in_time(&mut proxy, "lowered to 0");
}

#[test]
fn a_request_waits_for_the_service_in_use() {
    let mut proxy = proxy_with(&[STANDBY, IN_USE]);
    proxy.learn(evacuate("north-a", true));
    proxy.ask("/pay/", None);
    assert_eq!((proxy.goes_to(), proxy.status()), (None, None));
    proxy.learn(evacuate("north-a", false));
    proxy.now += SECOND / 4;
    proxy.tell(Input::Tick);
    assert_eq!(proxy.goes_to(), Some("h"));
}

/// How often each service is drawn in 1,000 requests, by those that have a server.
fn drawn(parts: &[(&str, u32)], with_server: &[&str]) -> BTreeMap<String, u32> {
    let Command::Configure(change) = configured(1, parts) else { panic!("a configuration") };
    let config = Config::read(&change.body).expect("a proper configuration");
    let mut rng = fastrand::Rng::with_seed(7);
    let mut drawn = BTreeMap::new();
    for _ in 0..1000 {
        let service = pick_service(&config.routes[0], |name| with_server.contains(&name), &mut rng);
        *drawn.entry(service.expect("a service").to_string()).or_default() += 1;
    }
    drawn
}

// Guards against all requests waiting for the first part while no part has a server: they would all run there once they
// may.
#[test]
fn requests_that_wait_are_divided_by_weight_as_others_are() {
    for with_server in [&["heron", "stilt"][..], &[]] {
        let drawn = drawn(&[("stilt", 25), ("heron", 75)], with_server);
        assert!((200..300).contains(&drawn["stilt"]), "{drawn:?}");
        assert_eq!(drawn["stilt"] + drawn["heron"], 1000);
    }
    assert_eq!(drawn(&[("stilt", 25), ("heron", 75)], &["stilt"]), [("stilt".to_string(), 1000)].into());
    assert_eq!(drawn(&[STANDBY, IN_USE], &["stilt"]), [("heron".to_string(), 1000)].into());
}
