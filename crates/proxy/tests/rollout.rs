//! Tests of rollouts at a proxy: how many requests go to which version in each stage, and what is reported.

mod common;

use cluster::rollout::{Order, RolloutChange, Stage};
use cluster::state::{Command, ServerChange};
use common::*;
use proxy::dispatcher::Execution;
use proxy::rollout::{Exposure, Rollouts};

const SHARE: f64 = 0.08;

fn reports_version(id: &str, version: &str) -> Command {
    Command::Servers(vec![ServerChange::Runs { id: id.into(), version: version.into() }])
}

/// Four servers of the old version and four of the new one, with a rollout that has started.
fn with_rollout() -> Proxy {
    let all = ["o1", "o2", "o3", "o4", "n1", "n2", "n3", "n4"].map(|id| (id, "north-a"));
    let mut proxy = Proxy::with(&all);
    for (id, _) in all {
        proxy.learn(reports_version(id, if id.starts_with('o') { "v1" } else { "v2" }));
    }
    let order = Order { service: "heron".into(), target_version: "v2".into(), term_ms: 10_000 };
    proxy.learn(Command::Rollout(RolloutChange::Start { order, after: None }));
    proxy
}

fn advance(proxy: &mut Proxy, to: Stage) {
    let epoch = proxy.dispatcher.copy.state.rollouts.0["heron"].epoch;
    let (service, reason) = ("heron".to_string(), String::new());
    proxy.learn(Command::Rollout(RolloutChange::Advance { service, epoch, to, reason }));
}

/// Sends requests one after the other; returns how many went to the new version.
fn sent_to_new(proxy: &mut Proxy, requests: u32) -> u32 {
    let mut new = 0;
    for _ in 0..requests {
        let id = proxy.ask("/get/a", Some("k1"));
        new += u32::from(proxy.goes_to().expect("sent").starts_with('n'));
        proxy.now += 5_000;
        proxy.served(id, 0, 200, false);
    }
    new
}

/// Guards against a bad version getting as many requests as its servers can handle.
#[test]
fn a_version_on_trial_gets_its_share_of_this_proxys_requests_and_never_more() {
    let mut proxy = with_rollout();
    let (mut asked, mut new) = (0, 0);
    for _ in 0..50 {
        asked += 20;
        new += sent_to_new(&mut proxy, 20);
        assert!(f64::from(new) <= SHARE * f64::from(asked), "{new} of {asked}");
    }
    assert!(f64::from(new) >= 0.9 * SHARE * f64::from(asked), "{new} of {asked}");
}

#[test]
fn each_stage_sends_where_it_should() {
    let mut proxy = with_rollout();
    advance(&mut proxy, Stage::Partial);
    let up = |proxy: &Proxy, side: char| proxy.up().iter().filter(|id| id.starts_with(side)).count();
    assert_eq!((up(&proxy, 'o'), up(&proxy, 'n')), (4, 1), "a quarter of the new ones");
    advance(&mut proxy, Stage::Whole);
    assert_eq!((up(&proxy, 'o'), up(&proxy, 'n')), (0, 4));
    assert_eq!(sent_to_new(&mut proxy, 100), 100);
    advance(&mut proxy, Stage::Completed);
    assert_eq!(sent_to_new(&mut proxy, 100), 100);
}

#[test]
fn a_reverted_version_gets_nothing_also_where_no_other_serves() {
    let mut proxy = with_rollout();
    advance(&mut proxy, Stage::Reverted);
    assert_eq!(sent_to_new(&mut proxy, 200), 0);
    for id in ["o1", "o2", "o3", "o4"] {
        proxy.learn(Command::Servers(vec![ServerChange::Gone { id: id.into(), said: true }]));
    }
    proxy.ask("/get/a", Some("k1"));
    assert_eq!(proxy.goes_to(), None);
}

#[test]
fn old_servers_serve_on_where_the_new_ones_are_gone_before_it_is_completed() {
    let mut proxy = with_rollout();
    advance(&mut proxy, Stage::Whole);
    for id in ["n1", "n2", "n3", "n4"] {
        proxy.learn(Command::Servers(vec![ServerChange::Gone { id: id.into(), said: true }]));
    }
    assert_eq!(sent_to_new(&mut proxy, 20), 0);
}

#[test]
fn a_further_try_of_a_request_that_failed_on_trial_goes_to_the_old_version() {
    let mut proxy = with_rollout();
    let mut failed = 0;
    for _ in 0..200 {
        let id = proxy.ask("/get/a", Some("k1"));
        let on_trial = proxy.goes_to().expect("sent").starts_with('n');
        proxy.now += 5_000;
        if on_trial {
            failed += 1;
            proxy.broken(id, 0, Execution::MayHaveRun);
            assert!(proxy.goes_to().expect("sent again").starts_with('o'));
            proxy.served(id, 1, 200, false);
        } else {
            proxy.served(id, 0, 200, false);
        }
    }
    assert!(failed > 5);
}

#[test]
fn outcomes_of_both_versions_and_attempts_in_flight_are_reported() {
    let mut proxy = with_rollout();
    let (mut served, mut failed) = (0, 0);
    for _ in 0..105 {
        let id = proxy.ask("/get/a", Some("k1"));
        let on_trial = proxy.goes_to().expect("sent").starts_with('n');
        proxy.now += 5_000;
        served += u32::from(!on_trial);
        failed += u32::from(on_trial);
        proxy.served(id, 0, if on_trial { 404 } else { 200 }, false);
    }
    let out = proxy.ask("/get/a", Some("k1"));
    assert!(proxy.goes_to().expect("sent").starts_with('o'));
    proxy.now += SECOND;
    let tallies = proxy.dispatcher.tallies(proxy.now);
    let [tally] = &tallies[..] else { panic!("one rollout: {tallies:?}") };
    let [route] = &tally.routes[..] else { panic!("one route: {tally:?}") };
    assert_eq!((route.old.ended, route.old.failed), (served, 0));
    assert_eq!((route.new.ended, route.new.failed), (failed, failed));
    assert_eq!(route.old.times.iter().sum::<u32>(), served);
    assert_eq!((tally.old_out, tally.rev), (1, proxy.dispatcher.copy.rev()));
    proxy.served(out, 0, 200, false);
    proxy.now += SECOND;
    assert_eq!(proxy.dispatcher.tallies(proxy.now)[0].old_out, 0);
    advance(&mut proxy, Stage::Reverted);
    proxy.now += SECOND;
    assert!(proxy.dispatcher.tallies(proxy.now).is_empty(), "it has ended");
}

/// Guards against giving the margin to each run of a proxy, which would add up over repeated restarts.
#[test]
fn a_part_of_the_margin_goes_to_proxies_that_ran_before_the_rollout_alone() {
    let exposure = Exposure::from_settings(Some(0.1), Some(50.0));
    for (uptime_us, reserved) in [(20 * SECOND, 11), (SECOND, 0)] {
        let ip = node(1, "north-a").ip;
        let mut rollouts = Rollouts::new(ip, 7, exposure, SECOND, 0);
        let proxy = with_rollout();
        rollouts.apply_state(uptime_us, &proxy.dispatcher.copy.state.rollouts, 2, |_| Some(0));
        let granted = (0..100).filter(|_| rollouts.reserve(0, 7)).count();
        assert_eq!(granted, reserved, "of 25 for two proxies, one of them left for other routes");
    }
}

/// Guards against promoting a version that fails on a rarely used route because of the answers of other
/// routes.
#[test]
fn a_route_that_is_little_used_is_on_trial_as_often_as_it_may_be() {
    let mut proxy = with_rollout();
    let mut rare = [0, 0];
    for n in 0..1000 {
        let path = if n % 20 == 0 { "/load/a" } else { "/get/a" };
        let id = proxy.ask(path, Some("k1"));
        let new = proxy.goes_to().expect("sent").starts_with('n');
        if path == "/load/a" {
            rare[usize::from(new)] += 1;
        }
        proxy.now += 5_000;
        proxy.served(id, 0, 200, false);
    }
    assert!(rare[1] >= 20 && rare[0] >= 25, "at the old version and at the new one: {rare:?}");
}

/// Guards against rebuilding the list for each of hundreds of servers that start beside the old ones, which
/// keeps a proxy from serving requests meanwhile.
#[test]
fn servers_that_come_in_a_row_while_a_rollout_runs_are_listed_together_and_those_that_leave_at_once() {
    let mut proxy = with_rollout();
    proxy.now += SECOND;
    proxy.learn(server(20, "n20", "heron", "north-a", 0));
    let listed = proxy.ids.len();
    for n in 21..40 {
        proxy.learn(server(n, &format!("n{n}"), "heron", "north-a", 0));
        assert_eq!(proxy.ids.len(), listed, "not yet");
    }
    proxy.now += SECOND / 4;
    proxy.tell(proxy::dispatcher::Input::Tick);
    assert_eq!(proxy.ids.len(), listed + 19);
    proxy.learn(Command::Servers(vec![ServerChange::Draining { id: "o1".into() }]));
    assert!(!proxy.up().contains(&"o1"));
}

// Guards against a version that is judged by the answers of two routes as if they were one, as a route's name has passed
// to another.
#[test]
fn answers_are_counted_for_the_path_that_was_asked_whatever_its_routes_name() {
    let mut proxy = with_rollout();
    let answers_by_route = |proxy: &mut Proxy| -> Vec<u32> {
        proxy.now = proxy.now.max(proxy.dispatcher.wake_at()) + SECOND;
        let tallies = proxy.dispatcher.tallies(proxy.now);
        let routes = tallies.iter().flat_map(|t| &t.routes);
        let mut ended: Vec<u32> = routes.map(|r| r.old.ended + r.new.ended).collect();
        ended.sort();
        ended
    };
    sent_to_new(&mut proxy, 20);
    assert_eq!(answers_by_route(&mut proxy), [20]);
    let swapped = [
        r#"["put","h","/get/","safe","heron",null,2000,1000,3,false,null]"#,
        r#"["get","h","/put/","unsafe","heron",null,2000,1000,3,false,null]"#,
    ];
    proxy.learn(config(2, &swapped));
    for _ in 0..7 {
        let id = proxy.ask("/put/a", Some("k1"));
        proxy.now += 5_000;
        proxy.served(id, 0, 200, false);
    }
    sent_to_new(&mut proxy, 3);
    assert_eq!(answers_by_route(&mut proxy), [7, 23]);
}
