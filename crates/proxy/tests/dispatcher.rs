//! The dispatcher of requests: which server gets a request, how often it is retried, and what may be answered.

mod common;

use cluster::talk::News;
use common::*;
use proxy::dispatcher::{Execution, Input, Output};

#[test]
fn an_evacuation_shuts_the_servers_of_its_own_zone_though_names_and_numbers_differ_in_order() {
    // The last by name is listed first.
    let mut proxy = Proxy::with(&[("z", "north-a"), ("m", "north-b"), ("a", "north-a"), ("k", "south-a")]);
    proxy.learn(evacuate("north-b", true));
    assert_eq!(proxy.up(), ["z", "a", "k"]);
    proxy.learn(evacuate("north-a", true));
    assert_eq!(proxy.up(), ["k"]);
    for _ in 0..3 {
        proxy.ask("/get/", Some("k1"));
        assert_eq!(proxy.goes_to(), Some("k"));
    }
}

#[test]
fn a_download_stays_in_its_region_only_while_a_server_there_may_take_it() {
    // Path, key, whether north-b serves; the expected server. The route /far/ and the tenant of k2 may be served only
    // in the south.
    for (path, key, open, to) in [
        ("/load/", "k1", true, "n"),
        ("/load/", "k1", false, "s"),
        ("/load/", "k2", true, "s"),
        ("/far/", "", true, "s"),
    ] {
        let mut proxy = Proxy::with(&[("s", "south-a"), ("n", "north-b")]);
        proxy.learn(evacuate("north-b", !open));
        proxy.ask(path, Some(key));
        assert_eq!(proxy.goes_to(), Some(to), "{path} {key} {open}");
    }
    // A full server makes only a small request go to another region, not a download.
    for (path, second) in [("/load/", "n"), ("/get/", "s")] {
        let mut proxy = Proxy::with(&[("s", "south-a"), ("n", "north-a")]);
        let id = proxy.ask(path, Some("k1"));
        assert_eq!(proxy.goes_to(), Some("n"));
        proxy.served(id, 0, 503, true);
        assert!(proxy.goes_to().is_none_or(|to| to == second), "{path}");
        assert!(path == "/load/" || proxy.goes_to().is_some());
    }
}

#[test]
fn a_farther_server_is_used_when_the_nearer_one_has_this_proxys_share_in_flight() {
    let mut proxy = Proxy::with(&[("far", "south-a"), ("near", "north-a")]);
    let went: Vec<String> = (0..6)
        .map(|_| {
            proxy.ask("/get/", Some("k1"));
            proxy.goes_to().expect("both have room").to_string()
        })
        .collect();
    assert_eq!(went, ["near", "near", "near", "far", "far", "far"]);
}

#[test]
fn a_request_goes_on_by_route_and_key_with_its_tenant_and_without_the_key() {
    for (path, key, status) in [
        ("/none/", Some("k1"), 404),
        ("/get", Some("k1"), 404),
        ("/get/", None, 401),
        ("/get/", Some("k9"), 401),
        ("/get/?of=/open/", None, 401),
    ] {
        let mut proxy = Proxy::with(&[("a", "north-a")]);
        proxy.ask(path, key);
        assert_eq!((proxy.status(), proxy.goes_to()), (Some(status), None), "{path} {key:?}");
    }
    for (path, key, tenant) in [
        ("/get/x?k=1", Some("k1"), "X-Tenant-Name: reed\r\n"),
        ("/open/", Some("k9"), ""),
        ("/open/", None, ""),
    ] {
        let mut proxy = Proxy::with(&[("a", "north-a")]);
        proxy.ask(path, key);
        let head = String::from_utf8(proxy.sent().expect("sent").request.head.clone()).expect("text");
        assert_eq!(head, format!("GET {path} HTTP/1.1\r\nAccept: all\r\n{tenant}"));
    }
    let mut proxy = Proxy::with(&[("a", "north-a")]);
    proxy.ask("/get/deep/x", None);
    assert!(proxy.out.is_empty(), "the longest prefix wins; that route's service has no server yet");
    while proxy.status().is_none() {
        proxy.now = proxy.dispatcher.wake_at();
        proxy.tell(Input::Tick);
        assert!(proxy.sent().is_none());
    }
    assert_eq!(proxy.status(), Some(503));
    let mut empty = Proxy::new(Vec::new());
    empty.ask("/get/", Some("k1"));
    assert_eq!(empty.status(), Some(503), "no configuration yet");
    assert!(empty.says_when());
}

#[test]
fn a_server_that_answers_421_gets_nothing_more_under_its_old_name() {
    let mut proxy = Proxy::with(&[("a", "north-a"), ("b", "north-a")]);
    let id = proxy.ask("/put/", Some("k1"));
    let first = proxy.goes_to().expect("sent").to_string();
    let other = if first == "a" { "b" } else { "a" };
    proxy.served(id, 0, 421, false);
    assert_eq!(proxy.goes_to(), Some(other), "it did not run there, so it is sent to another server");
    assert_eq!(proxy.up(), [other]);
    proxy.served(id, 1, 200, false);
    assert_eq!(proxy.status(), Some(200));
    proxy.learn(nodes(&[(2, "north-b")]));
    for _ in 0..10 {
        let id = proxy.ask("/get/", Some("k1"));
        assert_eq!(proxy.goes_to(), Some(other));
        proxy.served(id, 0, 200, false);
    }
    // The server that has taken over the address is listed like any other.
    let number = if first == "a" { 1 } else { 2 };
    proxy.learn(server(number, "new", "heron", "north-a", 0));
    assert_eq!(proxy.up(), [other, "new"]);
}

// Guards against a server that gets nothing for good: what was learned of an address holds for the one that its name has now.
#[test]
fn a_server_that_answered_421_is_used_again_once_it_is_listed_at_another_address() {
    let mut proxy = Proxy::with(&[("a", "north-a")]);
    let id = proxy.ask("/put/", Some("k1"));
    proxy.served(id, 0, 421, false);
    assert!(proxy.up().is_empty());
    proxy.learn(server(2, "a", "heron", "north-a", 0));
    assert_eq!(proxy.up(), ["a"]);
}

// Guards against a request that runs at a service it was not sent to: an attempt waits for a connection to a server whose
// name comes to stand for a server of another service.
#[test]
fn a_name_that_comes_to_stand_for_a_server_of_another_service_is_another_server() {
    let mut proxy = Proxy::with(&[("a", "north-a")]);
    proxy.ask("/get/", Some("k1"));
    let first = proxy.sent().expect("sent").server;
    proxy.learn(server(1, "a", "stilt", "north-a", 0));
    let removed = |o: &Output| matches!(o, Output::ServerRemoved { server } if *server == first);
    assert!(proxy.out.iter().any(removed), "connections to it are not used any more");
    assert_eq!(proxy.up(), ["a"]);
    proxy.ask("/get/deep/", None);
    assert_ne!(proxy.sent().expect("sent").server, first);
}

#[test]
fn only_a_request_that_has_not_run_is_answered_as_not_executed() {
    // How the first attempt at an unsafe request ends: status, whether the server says that it has not run it; the
    // answer, or none if another server is tried.
    for (status, not_run, answer) in [
        (200, false, Some(200)),
        (400, false, Some(400)),
        (500, false, Some(500)),
        (503, false, Some(502)),
        (429, false, Some(502)),
        (408, false, Some(502)),
        (503, true, None),
        (429, true, None),
        (421, false, None),
    ] {
        let mut proxy = Proxy::with(&[("a", "north-a"), ("b", "north-a")]);
        let id = proxy.ask("/put/", Some("k1"));
        let first = proxy.goes_to().expect("sent").to_string();
        proxy.served(id, 0, status, not_run);
        assert_eq!(proxy.status(), answer, "{status} {not_run}");
        assert_eq!(proxy.sent().is_some(), answer.is_none(), "{status} {not_run}");
        assert!(proxy.goes_to().is_none_or(|to| to != first), "another server");
    }
    // It has run nowhere, so the answer may say so.
    let mut proxy = Proxy::with(&[("a", "north-a"), ("b", "north-a"), ("c", "north-a")]);
    let id = proxy.ask("/put/", Some("k1"));
    for attempt in 0..3 {
        assert!(proxy.sent().is_some());
        proxy.served(id, attempt, 503, true);
    }
    assert_eq!((proxy.status(), proxy.goes_to()), (Some(503), None));
    assert!(proxy.says_when());
    // Refused by one server, and possibly run by another: the answer may no longer say that it has not run.
    let mut proxy = Proxy::with(&[("a", "north-a"), ("b", "north-a")]);
    let id = proxy.ask("/put/", Some("k1"));
    proxy.served(id, 0, 503, true);
    proxy.broken(id, 1, Execution::MayHaveRun);
    assert_eq!(proxy.status(), Some(502));
    assert_eq!(proxy.dispatcher.open_requests(), 0);
}

#[test]
fn after_a_broken_connection_only_what_may_run_twice_or_never_ran_goes_again() {
    for (path, execution, again) in [
        ("/put/", Execution::MayHaveRun, false),
        ("/put/", Execution::NeverRan, true),
        ("/get/", Execution::MayHaveRun, true),
        ("/get/", Execution::NeverRan, true),
        ("/load/", Execution::MayHaveRun, true),
    ] {
        let mut proxy = Proxy::with(&[("a", "north-a"), ("b", "north-a")]);
        let id = proxy.ask(path, Some("k1"));
        let first = proxy.goes_to().expect("sent").to_string();
        proxy.broken(id, 0, execution);
        assert_eq!(proxy.sent().is_some(), again, "{path} {execution:?}");
        assert_eq!(proxy.status(), (!again).then_some(502), "{path} {execution:?}");
        assert!(proxy.goes_to().is_none_or(|to| to != first), "another server");
    }
    // No answer at all: an unsafe request is not retried after its timeout, and gets 504, which does not say that it
    // has not run.
    let mut proxy = Proxy::with(&[("a", "north-a"), ("b", "north-a")]);
    proxy.ask("/put/", Some("k1"));
    proxy.now = proxy.sent().expect("sent").until;
    proxy.tell(Input::Tick);
    assert_eq!((proxy.status(), proxy.goes_to()), (Some(504), None));
}

#[test]
fn an_attempt_has_the_smaller_of_the_clients_and_the_routes_time() {
    for (left_ms, most_ms) in [(None, 2000), (Some(500), 500), (Some(9000), 2000)] {
        let mut proxy = Proxy::with(&[("a", "north-a")]);
        proxy.ask_within("/get/", Some("k1"), left_ms.map(|ms: u64| ms * 1000));
        let within = proxy.sent().expect("sent").until - proxy.now;
        assert_eq!(within, most_ms * 1000, "{left_ms:?}");
    }
}

#[test]
fn beyond_its_quota_a_tenant_is_told_so_and_when_to_come_again() {
    let many: Vec<(u8, &str)> = (1..=11).map(|n| (n, "north-a")).collect();
    for nodes_known in [1, 11] {
        let mut proxy = Proxy::with(&[("a", "north-a")]);
        proxy.learn(nodes(&many[..nodes_known]));
        let mut sent = 0;
        for _ in 0..20 {
            proxy.ask("/get/", Some("k3"));
            match proxy.status() {
                None => sent += 1,
                Some(status) => {
                    assert_eq!(status, 429);
                    assert!(proxy.says_when());
                }
            }
        }
        // A proxy that has just started uses one request of the burst of 40, however many proxies there are: the
        // previous process may have spent the rest.
        assert_eq!(sent, 1, "of {nodes_known} proxies");
        proxy.ask("/get/", Some("k1"));
        assert_eq!(proxy.status(), None, "other tenants are not affected");
    }
}

#[test]
fn older_or_gapped_updates_do_not_change_the_state() {
    let mut proxy = Proxy::with(&[("a", "north-a"), ("b", "north-b")]);
    let old = proxy.dispatcher.copy.state.write(proxy.now);
    let rev = proxy.rev;
    proxy.learn(evacuate("north-a", true));
    proxy.learn(config(2, &ROUTES[1..]));
    proxy.tell(Input::News(News::Whole(old)));
    assert!(proxy.out.is_empty());
    proxy.tell(Input::News(News::Run {
        from: rev,
        to: rev + 1,
        commands: vec![(rev + 1, evacuate("north-a", false))],
    }));
    assert!(proxy.out.is_empty());
    // A run of commands that starts beyond the known revision is not applied either.
    let to = proxy.rev + 5;
    proxy.tell(Input::News(News::Run { from: to - 1, to, commands: vec![(to, evacuate("north-b", true))] }));
    assert_eq!((proxy.up(), proxy.dispatcher.copy.rev()), (vec!["b"], proxy.rev));
    proxy.ask("/get/", Some("k1"));
    assert_eq!(proxy.status(), Some(404), "the route of the older configuration");
}

#[test]
fn a_new_configuration_leaves_requests_under_way_as_they_were_asked() {
    let mut proxy = Proxy::with(&[("a", "north-a"), ("b", "north-a")]);
    let (done, retried) = (proxy.ask("/get/", Some("k1")), proxy.ask("/get/", Some("k1")));
    let unsafe_request = proxy.ask("/put/", Some("k1"));
    // The first route is gone and the others are reversed: positions in the list have no meaning.
    let rest: Vec<&str> = ROUTES[1..].iter().rev().copied().collect();
    proxy.learn(config(2, &rest));
    assert!(proxy.sent().is_none() && proxy.answer().is_none());
    proxy.served(done, 0, 200, false);
    assert_eq!(proxy.status(), Some(200));
    proxy.broken(retried, 0, Execution::MayHaveRun);
    assert!(proxy.sent().is_some(), "still safe");
    proxy.served(retried, 1, 200, false);
    assert_eq!(proxy.status(), Some(200));
    proxy.broken(unsafe_request, 0, Execution::MayHaveRun);
    assert_eq!((proxy.status(), proxy.goes_to()), (Some(502), None), "still unsafe");
    proxy.ask("/get/", Some("k1"));
    assert_eq!(proxy.status(), Some(404));
    assert_eq!(proxy.dispatcher.open_requests(), 0);
}

#[test]
fn a_split_leads_only_to_services_that_have_servers() {
    let mut proxy = Proxy::with(&[]);
    proxy.learn(server(9, "s", "stilt", "north-a", 0));
    let all_go_to = |proxy: &mut Proxy, ids: &[&str]| {
        let mut seen = std::collections::BTreeSet::new();
        for _ in 0..60 {
            let id = proxy.ask("/both/", None);
            seen.insert(proxy.goes_to().expect("sent").to_string());
            proxy.served(id, 0, 200, false);
        }
        assert_eq!(seen.iter().map(String::as_str).collect::<Vec<_>>(), ids);
    };
    all_go_to(&mut proxy, &["s"]);
    proxy.learn(server(1, "h", "heron", "north-b", 0));
    all_go_to(&mut proxy, &["h", "s"]);
    proxy.learn(evacuate("north-b", true));
    all_go_to(&mut proxy, &["s"]);
}
