//! Configurations that come while requests are under way: route names that pass from one route to another, routes whose
//! kind changes, and services of split routes that get another weight.

mod common;

use cluster::state::Command;
use common::*;
use proxy::dispatcher::{Execution, Input};

/// A route of the service heron.
fn route(name: &str, path: &str, kind: &str) -> String {
    format!(r#"["{name}","h","{path}","{kind}","heron",null,2000,1000,3,true,null]"#)
}

fn configured(version: u32, routes: &[String]) -> Command {
    let routes: Vec<&str> = routes.iter().map(String::as_str).collect();
    config(version, &routes)
}

/// A proxy with these routes as its first configuration and two servers of the service heron.
fn proxy_with(routes: &[String]) -> Proxy {
    let mut proxy = Proxy::new(vec![nodes(&[(1, "north-a")]), configured(1, routes)]);
    proxy.learn(server(1, "a", "heron", "north-a", 0));
    proxy.learn(server(2, "b", "heron", "north-a", 0));
    proxy
}

fn pay_and_news() -> Vec<String> {
    vec![route("route-1", "/pay/", "unsafe"), route("route-2", "/news/", "safe")]
}

/// Configurations after which the name of the route /pay/ belongs to a safe route, or the path has another kind, and what
/// makes each.
fn changes_of_pay() -> Vec<(&'static str, Vec<String>)> {
    let safe = |name| route(name, "/news/", "safe");
    vec![
        (
            "a route is added at the head, and all names move by one",
            vec![route("route-1", "/top/", "safe"), route("route-2", "/pay/", "unsafe"), safe("route-3")],
        ),
        ("two routes swap their names", vec![safe("route-1"), route("route-2", "/pay/", "unsafe")]),
        ("the route is gone, and the names after it move down by one", vec![safe("route-1")]),
        ("the path is safe from now on", vec![route("route-1", "/pay/", "safe"), safe("route-2")]),
    ]
}

// Guards against a payment that runs twice as its route's name passes to a safe route.
#[test]
fn an_unsafe_request_that_has_run_is_not_sent_again_whatever_becomes_of_its_routes_name() {
    for (change, routes) in changes_of_pay() {
        for answered in [true, false] {
            let mut proxy = proxy_with(&pay_and_news());
            let id = proxy.ask("/pay/", None);
            proxy.learn(configured(2, &routes));
            match answered {
                true => proxy.served(id, 0, 500, false),
                false => proxy.broken(id, 0, Execution::MayHaveRun),
            }
            let status = if answered { 500 } else { 502 };
            assert_eq!((proxy.goes_to(), proxy.status()), (None, Some(status)), "{change}");
        }
    }
}

// Guards against a payment that is refused though it has run, as it ends too late for a retry.
#[test]
fn an_unsafe_request_that_has_run_is_not_refused_whatever_becomes_of_its_routes_name() {
    for (change, routes) in changes_of_pay() {
        let mut proxy = proxy_with(&pay_and_news());
        let id = proxy.ask("/pay/", None);
        proxy.learn(configured(2, &routes));
        proxy.now += 3 * SECOND / 2;
        proxy.served(id, 0, 500, false);
        assert_eq!(proxy.status(), Some(500), "{change}");
    }
}

// Guards against the same for a request that waits for a server while the names change.
#[test]
fn an_unsafe_request_that_waits_stays_unsafe_whatever_becomes_of_its_routes_name() {
    for (change, routes) in changes_of_pay() {
        let mut proxy = proxy_with(&pay_and_news());
        proxy.learn(evacuate("north-a", true));
        let id = proxy.ask("/pay/", None);
        assert_eq!(proxy.goes_to(), None);
        proxy.learn(configured(2, &routes));
        proxy.learn(evacuate("north-a", false));
        proxy.now += SECOND / 4;
        proxy.tell(Input::Tick);
        assert!(proxy.goes_to().is_some(), "{change}");
        proxy.broken(id, 0, Execution::MayHaveRun);
        assert_eq!((proxy.goes_to(), proxy.status()), (None, Some(502)), "{change}");
    }
}

// Guards against a failure in place of a retry, or of a refusal after which the client may come again.
#[test]
fn a_safe_request_stays_safe_when_its_routes_name_passes_to_an_unsafe_route() {
    let swapped = [route("route-1", "/news/", "safe"), route("route-2", "/pay/", "unsafe")];
    for late in [false, true] {
        let mut proxy = proxy_with(&pay_and_news());
        let id = proxy.ask("/news/", None);
        proxy.learn(configured(2, &swapped));
        proxy.now += if late { 3 * SECOND / 2 } else { 0 };
        proxy.broken(id, 0, Execution::MayHaveRun);
        assert_eq!((proxy.goes_to().is_some(), proxy.status()), (!late, late.then_some(503)), "late: {late}");
    }
}

// Guards against the same over two changes within one request's time.
#[test]
fn a_request_keeps_its_kind_over_several_changes() {
    let mut proxy = proxy_with(&pay_and_news());
    let id = proxy.ask("/pay/", None);
    for (version, (_, routes)) in (2..).zip(changes_of_pay()) {
        proxy.learn(configured(version, &routes));
    }
    proxy.served(id, 0, 500, false);
    assert_eq!((proxy.goes_to(), proxy.status()), (None, Some(500)));
}
