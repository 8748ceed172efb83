//! The proxy's decisions on requests: which server, how often, and what may be answered.

mod common;

use cluster::talk::News;
use common::*;
use proxy::front::{Input, Reached};

#[test]
fn an_evacuation_shuts_the_servers_of_its_own_zone_though_names_and_numbers_differ_in_order() {
    // The last by name became known first.
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
    // Path, key, whether the north is open; where it goes. The route /far/ and the tenant of k2 are at home in the south.
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
    // Full is no reason to go far, save for what is small.
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
fn a_nearer_server_that_has_its_part_out_gives_way_to_a_farther_one() {
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
        let head = String::from_utf8(proxy.sent().expect("sent").passage.head.clone()).expect("text");
        assert_eq!(head, format!("GET {path} HTTP/1.1\r\nAccept: all\r\n{tenant}"));
    }
    let mut proxy = Proxy::with(&[("a", "north-a")]);
    proxy.ask("/get/deep/x", None);
    assert!(proxy.out.is_empty(), "the longest prefix counts: that route's service has no server yet");
    while proxy.status().is_none() {
        proxy.now = proxy.front.wake_at();
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
fn a_server_that_is_another_one_by_now_gets_nothing_more_under_its_old_name() {
    let mut proxy = Proxy::with(&[("a", "north-a"), ("b", "north-a")]);
    let id = proxy.ask("/put/", Some("k1"));
    let first = proxy.goes_to().expect("sent").to_string();
    let other = if first == "a" { "b" } else { "a" };
    proxy.served(id, 0, 421, false);
    assert_eq!(proxy.goes_to(), Some(other), "it did not run there, so it goes on");
    assert_eq!(proxy.up(), [other]);
    proxy.served(id, 1, 200, false);
    assert_eq!(proxy.status(), Some(200));
    proxy.learn(nodes(&[(2, "north-b")]));
    for _ in 0..10 {
        let id = proxy.ask("/get/", Some("k1"));
        assert_eq!(proxy.goes_to(), Some(other));
        proxy.served(id, 0, 200, false);
    }
    // Who has taken its address is a server like any other.
    let number = if first == "a" { 1 } else { 2 };
    proxy.learn(server(number, "new", "heron", "north-a", 0));
    assert_eq!(proxy.up(), [other, "new"]);
}

#[test]
fn no_answer_promises_what_no_server_promised() {
    // How the first attempt at an unsafe request ends: status, whether said not to have run; the answer, if it ends.
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
    // Nowhere run: the promise is true.
    let mut proxy = Proxy::with(&[("a", "north-a"), ("b", "north-a"), ("c", "north-a")]);
    let id = proxy.ask("/put/", Some("k1"));
    for attempt in 0..3 {
        assert!(proxy.sent().is_some());
        proxy.served(id, attempt, 503, true);
    }
    assert_eq!((proxy.status(), proxy.goes_to()), (Some(503), None));
    assert!(proxy.says_when());
    // Run once, refused elsewhere: no promise any more.
    let mut proxy = Proxy::with(&[("a", "north-a"), ("b", "north-a")]);
    let id = proxy.ask("/put/", Some("k1"));
    proxy.served(id, 0, 503, true);
    proxy.broken(id, 1, Reached::MayHaveRun);
    assert_eq!(proxy.status(), Some(502));
    assert_eq!(proxy.front.requests_open(), 0);
}

#[test]
fn after_a_broken_connection_only_what_may_run_twice_or_never_ran_goes_again() {
    for (path, reached, again) in [
        ("/put/", Reached::MayHaveRun, false),
        ("/put/", Reached::NeverRan, true),
        ("/get/", Reached::MayHaveRun, true),
        ("/get/", Reached::NeverRan, true),
        ("/load/", Reached::MayHaveRun, true),
    ] {
        let mut proxy = Proxy::with(&[("a", "north-a"), ("b", "north-a")]);
        let id = proxy.ask(path, Some("k1"));
        let first = proxy.goes_to().expect("sent").to_string();
        proxy.broken(id, 0, reached);
        assert_eq!(proxy.sent().is_some(), again, "{path} {reached:?}");
        assert_eq!(proxy.status(), (!again).then_some(502), "{path} {reached:?}");
        assert!(proxy.goes_to().is_none_or(|to| to != first), "another server");
    }
    // Silence: an unsafe request is not sent again when its time is up, and 504 promises nothing.
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
        assert!(within <= most_ms * 1000 && within > most_ms * 900, "{left_ms:?}: {within}");
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
        // Of its burst of 40 a proxy that starts counts on one request, however many there are: an earlier life may
        // have spent the rest.
        assert_eq!(sent, 1, "of {nodes_known} proxies");
        proxy.ask("/get/", Some("k1"));
        assert_eq!(proxy.status(), None, "others have their own");
    }
}

#[test]
fn what_is_known_never_goes_back() {
    let mut proxy = Proxy::with(&[("a", "north-a"), ("b", "north-b")]);
    let old = proxy.front.copy.state.write(proxy.now);
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
    // A run that begins beyond what is known is not taken either.
    let to = proxy.rev + 5;
    proxy.tell(Input::News(News::Run { from: to - 1, to, commands: vec![(to, evacuate("north-b", true))] }));
    assert_eq!((proxy.up(), proxy.front.copy.rev()), (vec!["b"], proxy.rev));
    proxy.ask("/get/", Some("k1"));
    assert_eq!(proxy.status(), Some(404), "the route of the older configuration");
}

#[test]
fn a_new_configuration_leaves_requests_under_way_as_they_were_asked() {
    let mut proxy = Proxy::with(&[("a", "north-a"), ("b", "north-a")]);
    let (done, moved) = (proxy.ask("/get/", Some("k1")), proxy.ask("/get/", Some("k1")));
    let once = proxy.ask("/put/", Some("k1"));
    // Without the first route, the others the other way round: places in the list mean nothing.
    let rest: Vec<&str> = ROUTES[1..].iter().rev().copied().collect();
    proxy.learn(config(2, &rest));
    assert!(proxy.sent().is_none() && proxy.answer().is_none());
    proxy.served(done, 0, 200, false);
    assert_eq!(proxy.status(), Some(200));
    proxy.broken(moved, 0, Reached::MayHaveRun);
    assert!(proxy.sent().is_some(), "still safe");
    proxy.served(moved, 1, 200, false);
    assert_eq!(proxy.status(), Some(200));
    proxy.broken(once, 0, Reached::MayHaveRun);
    assert_eq!((proxy.status(), proxy.goes_to()), (Some(502), None), "still unsafe");
    proxy.ask("/get/", Some("k1"));
    assert_eq!(proxy.status(), Some(404));
    assert_eq!(proxy.front.requests_open(), 0);
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
