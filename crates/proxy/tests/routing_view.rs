//! Tests of the server lists that proxies build from the agreed state.

mod common;

use cluster::state::{COLD_TOLERANCE_US, Command};
use common::*;
use curlewfront::{Entry, State};
use proxy::routing_view::RoutingView;

const SIX_PROXIES: [(u8, &str); 6] =
    [(1, "north-a"), (2, "north-a"), (3, "north-b"), (4, "north-b"), (5, "south-a"), (6, "south-a")];

/// The entries of the lists that all proxies build, each with its server's id and its proxy's zone.
fn all_entries(now: u64, copy: &cluster::copy::Copy) -> Vec<(String, String, Entry)> {
    let all = copy.state.nodes.values().flat_map(|n| {
        let mut view = RoutingView::new(place(n.ip.octets()[3], &n.zone));
        view.apply_config(copy.state.config.as_ref().expect("a configuration"), copy.state.nodes.len());
        let list = view.server_list(now, &copy.state);
        let peers = list.peers;
        list.entries.into_iter().map(move |e| (peers[&e.server].0.id.to_string(), n.zone.clone(), e))
    });
    all.collect()
}

fn parts_of(copy: &cluster::copy::Copy, id: &str) -> Vec<(String, f64)> {
    let mut of: Vec<(String, f64)> = all_entries(SECOND, copy)
        .into_iter()
        .filter(|l| l.0 == id)
        .map(|(_, zone, e)| (zone, e.share))
        .collect();
    of.dedup();
    of
}

#[test]
fn a_servers_part_is_counted_by_the_proxies_for_which_it_is_nearest() {
    let start = [
        nodes(&SIX_PROXIES),
        config(1, &ROUTES),
        server(1, "a", "heron", "north-a", 0),
        server(2, "b", "heron", "north-b", 0),
        server(3, "s", "heron", "south-a", 0),
        server(4, "t", "stilt", "north-b", 0),
    ];
    // Evacuated zones; a server; and for the proxies of each zone the server's expected part.
    type ExpectedParts = &'static [(&'static str, f64)];
    let cases: [(&[&str], &str, ExpectedParts); 6] = [
        (&[], "a", &[("north-a", 3.0), ("north-b", 1.0), ("south-a", 1.0)]),
        (&["north-b"], "a", &[("north-a", 1.5), ("north-b", 1.5), ("south-a", 1.0)]),
        (&["north-b"], "s", &[("north-a", 1.0), ("north-b", 1.0), ("south-a", 3.0)]),
        (&["north-a", "north-b"], "s", &[("north-a", 1.0), ("north-b", 1.0), ("south-a", 1.0)]),
        (&["south-a"], "a", &[("north-a", 1.5), ("north-b", 1.0), ("south-a", 1.5)]),
        // A service in only one zone is the nearest for all proxies.
        (&[], "t", &[("north-a", 1.0), ("north-b", 1.0), ("south-a", 1.0)]),
    ];
    for (evacuated, id, expected) in cases {
        let commands = start.iter().cloned().chain(evacuated.iter().map(|z| evacuate(z, true)));
        let copy = copy(SECOND, commands.collect());
        let expected: Vec<(String, f64)> = expected.iter().map(|(z, part)| (z.to_string(), *part)).collect();
        assert_eq!(parts_of(&copy, id), expected, "{evacuated:?} {id}");
    }
}

fn entries_after(now: u64, proxies: &[(u8, &str)], then: Vec<(u64, Command)>) -> Vec<(String, Entry)> {
    let mut copy = copy(SECOND, vec![nodes(proxies), config(1, &ROUTES)]);
    for (at, command) in then {
        let rev = copy.rev() + 1;
        copy.apply(at, rev, Some(command));
    }
    all_entries(now, &copy).into_iter().map(|(_, zone, entry)| (zone, entry)).collect()
}

#[test]
fn few_proxies_of_its_own_zone_bring_up_a_cold_server_and_keep_its_rate_together() {
    let many: Vec<(u8, &str)> =
        (1..=5).map(|n| (n, "north-a")).chain((6..=9).map(|n| (n, "south-a"))).collect();
    // The proxies, the server's zone, how many proxies warm it up, and the zone of those.
    for (proxies, at, expected_count, zone) in [
        (&many[..], "north-a", 3, Some("north-a")),
        (&many[3..], "north-a", 2, Some("north-a")),
        (&many[..], "north-b", 3, None),
    ] {
        let changes = vec![(SECOND, server(1, "a", "heron", at, 2000))];
        let seen = entries_after(2 * SECOND, proxies, changes.clone());
        let shares: Vec<&(String, Entry)> = seen.iter().filter(|s| s.1.state == State::Up).collect();
        assert_eq!(shares.len(), expected_count);
        assert!(shares.iter().all(|s| zone.is_none_or(|z| s.0 == z)));
        let rate: f64 = shares.iter().map(|s| s.1.cold_rate).sum();
        assert!((rate - 6.0).abs() < 1e-9, "{rate}, the configured rate");
        assert!(seen.iter().all(|s| s.1.cold_until_us == 3 * SECOND + COLD_TOLERANCE_US));
        let warm = entries_after(3 * SECOND + COLD_TOLERANCE_US, proxies, changes);
        assert!(
            warm.iter().all(|s| s.1.state == State::Up && s.1.cold_until_us == 0),
            "all proxies may use a warm server"
        );
    }
}

#[test]
fn the_servers_of_a_zone_that_comes_back_count_as_cold_for_their_period() {
    let then = |cold_ms| {
        vec![
            (SECOND, server(1, "a", "heron", "north-a", cold_ms)),
            (2 * SECOND, evacuate("north-a", true)),
            (9 * SECOND, evacuate("north-a", false)),
        ]
    };
    let until = |now, cold_ms| entries_after(now, &[(1, "north-a")], then(cold_ms))[0].1.cold_until_us;
    assert_eq!(until(10 * SECOND, 0), 12 * SECOND);
    assert_eq!(until(12 * SECOND, 0), 0);
    assert_eq!(
        until(10 * SECOND, 20_000),
        21 * SECOND + COLD_TOLERANCE_US,
        "the server's own, if it is longer"
    );
    // A zone that was never evacuated hasn't returned.
    let only =
        vec![(SECOND, server(1, "a", "heron", "north-a", 0)), (9 * SECOND, evacuate("north-a", false))];
    assert_eq!(entries_after(10 * SECOND, &[(1, "north-a")], only)[0].1.cold_until_us, 0);
}

#[test]
fn the_list_is_made_anew_when_a_server_turns_warm() {
    let two: Vec<(u8, &str)> = vec![(1, "north-a"), (2, "north-b")];
    let mut proxy = Proxy::new(vec![nodes(&two), config(1, &ROUTES)]);
    proxy.learn(server(1, "b", "heron", "north-b", 500));
    assert!(proxy.up().is_empty(), "only the proxy of its own zone warms it up");
    assert_eq!(proxy.dispatcher.wake_at(), SECOND + 500_000 + COLD_TOLERANCE_US);
    proxy.now = proxy.dispatcher.wake_at();
    proxy.tell(proxy::dispatcher::Input::Tick);
    assert_eq!(proxy.up(), ["b"]);
}

/// The classes of these paths, by the configuration that the view last applied.
fn classes_of(view: &RoutingView, copy: &cluster::copy::Copy, paths: &[&str]) -> Vec<usize> {
    let config = copy.state.config.as_ref().expect("a configuration");
    let class = |path: &&str| view.class(config.index().route("h", path).expect("a route"));
    paths.iter().map(class).collect()
}

// Guards against a route that takes over what was learned of another, as it gets that one's name.
#[test]
fn a_class_belongs_to_the_requests_of_a_route_and_not_to_its_name() {
    let route = |name: &str, path: &str, kind: &str| {
        format!(r#"["{name}","h","{path}","{kind}","heron",null,2000,1000,3,true,null]"#)
    };
    let mut view = RoutingView::new(place(1, "north-a"));
    let mut copy = copy(SECOND, vec![nodes(&SIX_PROXIES)]);
    let mut apply = |version: u32, routes: &[String], paths: &[&str]| {
        let routes: Vec<&str> = routes.iter().map(String::as_str).collect();
        let rev = copy.rev() + 1;
        copy.apply(SECOND, rev, Some(config(version, &routes)));
        view.apply_config(copy.state.config.as_ref().expect("a configuration"), 6);
        classes_of(&view, &copy, paths)
    };
    let paths = ["/pay/", "/news/"];
    let first = apply(1, &[route("r-1", "/pay/", "unsafe"), route("r-2", "/news/", "safe")], &paths);
    assert!(first[0] != first[1] && !first.contains(&0));
    let swapped = apply(2, &[route("r-1", "/news/", "safe"), route("r-2", "/pay/", "unsafe")], &paths);
    assert_eq!(swapped, first);
    let other = apply(3, &[route("r-1", "/top/", "safe")], &["/top/"]);
    assert!(!first.contains(&other[0]) && other[0] > 0, "the route with that name is gone for good");
    let another_kind = apply(4, &[route("r-1", "/pay/", "safe")], &["/pay/"]);
    assert!(![first[0], first[1], other[0], 0].contains(&another_kind[0]));
    let back = apply(5, &[route("r-9", "/pay/", "unsafe"), route("r-8", "/news/", "safe")], &paths);
    assert_eq!(back, first);
}

#[test]
fn of_two_routes_with_the_same_path_the_first_makes_the_class() {
    let twice = [
        r#"["one","h","/get/","safe","heron",null,2000,700,3,true,null]"#,
        r#"["two","h","/get/","safe","heron",null,2000,900,3,true,null]"#,
    ];
    let copy = copy(SECOND, vec![nodes(&SIX_PROXIES), config(1, &twice)]);
    let mut view = RoutingView::new(place(1, "north-a"));
    view.apply_config(copy.state.config.as_ref().expect("a configuration"), 6);
    let class = classes_of(&view, &copy, &["/get/"])[0];
    assert_eq!(view.settings(6, 0, SECOND).classes[class].aim_us, 700_000);
}
