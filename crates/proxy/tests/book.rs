//! What a proxy makes of the agreed state for its decisions.

mod common;

use cluster::state::Command;
use common::*;
use curlewfront::{Entry, State};
use proxy::book::Book;

const SIX: [(u8, &str); 6] =
    [(1, "north-a"), (2, "north-a"), (3, "north-b"), (4, "north-b"), (5, "south-a"), (6, "south-a")];

/// The lists that all proxies make, each entry with the name of its server and its proxy's zone.
fn lists(now: u64, copy: &cluster::copy::Copy) -> Vec<(String, String, Entry)> {
    let all = copy.state.nodes.values().flat_map(|n| {
        let mut book = Book::new(place(n.ip.octets()[3], &n.zone));
        book.learn(copy.state.config.as_ref().expect("a configuration"), copy.state.nodes.len());
        let list = book.list(now, &copy.state);
        let peers = list.peers;
        list.entries.into_iter().map(move |e| (peers[&e.server].0.id.to_string(), n.zone.clone(), e))
    });
    all.collect()
}

fn parts(copy: &cluster::copy::Copy, id: &str) -> Vec<(String, f64)> {
    let mut of: Vec<(String, f64)> =
        lists(SECOND, copy).into_iter().filter(|l| l.0 == id).map(|(_, zone, e)| (zone, e.part)).collect();
    of.dedup();
    of
}

#[test]
fn a_servers_part_is_counted_by_the_proxies_for_which_it_is_nearest() {
    let start = [
        nodes(&SIX),
        config(1, &ROUTES),
        server(1, "a", "heron", "north-a", 0),
        server(2, "b", "heron", "north-b", 0),
        server(3, "s", "heron", "south-a", 0),
        server(4, "t", "stilt", "north-b", 0),
    ];
    // Zones emptied; for each server what the proxies of each zone that it is nearest to count on, times a sixth.
    type Counted = &'static [(&'static str, f64)];
    let cases: [(&[&str], &str, Counted); 6] = [
        (&[], "a", &[("north-a", 3.0), ("north-b", 1.0), ("south-a", 1.0)]),
        (&["north-b"], "a", &[("north-a", 1.5), ("north-b", 1.5), ("south-a", 1.0)]),
        (&["north-b"], "s", &[("north-a", 1.0), ("north-b", 1.0), ("south-a", 3.0)]),
        (&["north-a", "north-b"], "s", &[("north-a", 1.0), ("north-b", 1.0), ("south-a", 1.0)]),
        (&["south-a"], "a", &[("north-a", 1.5), ("north-b", 1.0), ("south-a", 1.5)]),
        // A service that only one zone has is everybody's.
        (&[], "t", &[("north-a", 1.0), ("north-b", 1.0), ("south-a", 1.0)]),
    ];
    for (emptied, id, counted) in cases {
        let commands = start.iter().cloned().chain(emptied.iter().map(|z| evacuate(z, true)));
        let copy = copy(SECOND, commands.collect());
        let counted: Vec<(String, f64)> = counted.iter().map(|(z, part)| (z.to_string(), *part)).collect();
        assert_eq!(parts(&copy, id), counted, "{emptied:?} {id}");
    }
}

fn cold_at(now: u64, zones_of_proxies: &[(u8, &str)], then: Vec<(u64, Command)>) -> Vec<(String, Entry)> {
    let mut copy = copy(SECOND, vec![nodes(zones_of_proxies), config(1, &ROUTES)]);
    for (at, command) in then {
        let rev = copy.rev() + 1;
        copy.apply(at, rev, Some(command));
    }
    lists(now, &copy).into_iter().map(|(_, zone, entry)| (zone, entry)).collect()
}

#[test]
fn few_proxies_of_its_own_zone_bring_up_a_cold_server_and_keep_its_rate_together() {
    let many: Vec<(u8, &str)> =
        (1..=5).map(|n| (n, "north-a")).chain((6..=9).map(|n| (n, "south-a"))).collect();
    // Proxies, where the server is; how many bring it up, and of which zone.
    for (proxies, at, few, zone) in [
        (&many[..], "north-a", 3, Some("north-a")),
        (&many[3..], "north-a", 2, Some("north-a")),
        (&many[..], "north-b", 3, None),
    ] {
        let up = vec![(SECOND, server(1, "a", "heron", at, 2000))];
        let seen = cold_at(2 * SECOND, proxies, up.clone());
        let shares: Vec<&(String, Entry)> = seen.iter().filter(|s| s.1.state == State::Up).collect();
        assert_eq!(shares.len(), few);
        assert!(shares.iter().all(|s| zone.is_none_or(|z| s.0 == z)));
        let rate: f64 = shares.iter().map(|s| s.1.cold_rate).sum();
        assert!((rate - 6.0).abs() < 1e-9, "{rate}, as told");
        assert!(seen.iter().all(|s| s.1.cold_until_us == 3 * SECOND));
        let warm = cold_at(3 * SECOND, proxies, up);
        assert!(warm.iter().all(|s| s.1.state == State::Up && s.1.cold_until_us == 0), "everybody's by now");
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
    let until = |now, cold_ms| cold_at(now, &[(1, "north-a")], then(cold_ms))[0].1.cold_until_us;
    assert_eq!(until(10 * SECOND, 0), 12 * SECOND);
    assert_eq!(until(12 * SECOND, 0), 0);
    assert_eq!(until(10 * SECOND, 20_000), 21 * SECOND, "what it said itself, where that is longer");
    // A zone that was never emptied has not come back.
    let only =
        vec![(SECOND, server(1, "a", "heron", "north-a", 0)), (9 * SECOND, evacuate("north-a", false))];
    assert_eq!(cold_at(10 * SECOND, &[(1, "north-a")], only)[0].1.cold_until_us, 0);
}

#[test]
fn the_list_is_made_anew_when_a_server_turns_warm() {
    let two: Vec<(u8, &str)> = vec![(1, "north-a"), (2, "north-b")];
    let mut proxy = Proxy::new(vec![nodes(&two), config(1, &ROUTES)]);
    proxy.learn(server(1, "b", "heron", "north-b", 500));
    assert!(proxy.up().is_empty(), "its own zone's proxy brings it up");
    assert_eq!(proxy.front.wake_at(), SECOND + 500_000);
    proxy.now = proxy.front.wake_at();
    proxy.tell(proxy::front::Input::Tick);
    assert_eq!(proxy.up(), ["b"]);
}
