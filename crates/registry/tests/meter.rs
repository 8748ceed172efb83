//! Metering of the proxies' usage reports.

mod common;

use cluster::copy::Copy;
use cluster::state::{Change, Command};
use cluster::talk::{Down, Reading, Up, Usage, Use, tenant_key};
use common::*;
use registry::control_plane::{Input, Output};
use registry::meter::Meter;

fn commands() -> Vec<Command> {
    let change = Change { base: 0, patch: false, body: config(1).into_bytes() };
    vec![
        add_nodes(&[(1, "north-a"), (2, "north-a"), (3, "north-a"), (4, "north-a")]),
        Command::Configure(change),
    ]
}

/// A copy that has applied all of them.
fn committed_copy() -> Copy {
    let mut copy = Copy::default();
    for (rev, command) in (1..).zip(commands()) {
        copy.apply(SECOND, rev, Some(command));
    }
    copy
}

fn usage(last: u8, life: u64, count: u64, wanted: u32, used: u32) -> Usage {
    let tenants = vec![Use { tenant: tenant_key("reed"), wanted, used }];
    Usage { ip: node(last, "north-a").ip, life, count, tenants }
}

#[test]
fn readings_sum_the_newest_reports_and_count_silent_proxies_with_their_even_share() {
    let copy = committed_copy();
    let mut meter = Meter::new(HEARTBEAT / 3);
    assert_eq!(meter.read(SECOND, &copy.state), [], "no demand");
    // The even share is 5 requests per second each. Columns: who reports what, and the total demand read then.
    for (last, life, count, wanted, used, read) in [
        (1, 1, 1, 9_000, 6_000, 24_000),
        (2, 1, 5, 1_000, 1_000, 20_000),
        (2, 1, 4, 90_000, 90_000, 20_000), // older
        (2, 2, 1, 2_000, 2_000, 21_000),   // a new life starts its own count
        (3, 1, 1, 0, 0, 16_000),
        (4, 1, 1, 0, 0, 11_000),
        (9, 1, 1, 70_000, 70_000, 11_000), // not in the agreed state
    ] {
        meter.take(SECOND, usage(last, life, count, wanted, used), false);
        let all = meter.read(SECOND, &copy.state);
        assert_eq!(all[0].wanted, read, "{last} {life} {count}");
    }
    // Use is smoothed over some reports: it was 21 per second at the first reading and is 8 now.
    let smoothed = meter.read(SECOND + HEARTBEAT / 2, &copy.state)[0].used;
    assert!((9_000..21_000).contains(&smoothed), "{smoothed}");
    // A flood is more than chance and is read at once.
    meter.take(SECOND + HEARTBEAT / 2, usage(3, 1, 2, 60_000, 60_000), false);
    let flood = meter.read(SECOND + HEARTBEAT / 2, &copy.state)[0].used;
    assert_eq!(flood, 68_000);
    assert_eq!(meter.take_unsent().len(), 4);
    assert_eq!(meter.take_unsent().len(), 0, "sent once");
    meter.take(SECOND, usage(1, 1, 2, 0, 0), true);
    assert_eq!(meter.take_unsent().len(), 0, "its sender has it already");
    // Reports expire: all proxies are silent again.
    assert_eq!(meter.read(SECOND + 3 * HEARTBEAT, &copy.state), []);
}

#[test]
fn usage_reports_are_passed_on_before_the_next_round() {
    let mut r = Registry::new(commands());
    r.handle(Input::Proxy(7, Up::Hello { node: node(1, "north-a"), rev: 2 }));
    r.run_for(HEARTBEAT / 3);
    r.run_for(1000);
    let report = usage(1, 1, 1, 30_000, 9_000);
    r.handle(Input::Proxy(7, Up::Report { rev: 2, head: None, seen: Vec::new(), usage: vec![report] }));
    r.now = r.control_plane.wake_at();
    r.handle(Input::Tick);
    let readings: Vec<&Reading> = r
        .out
        .iter()
        .flat_map(|o| if let Output::Proxy(7, Down::Meter(m, _)) = o { &m[..] } else { &[] })
        .collect();
    assert_eq!((readings.len(), readings[0].wanted, readings[0].used), (1, 45_000, 24_000));
    let gossip = r.out.iter().filter(|o| matches!(o, Output::Peer(PEER_IP, g) if g.usage.len() == 1));
    assert_eq!(gossip.count(), 1);
    assert!(r.now <= SECOND + HEARTBEAT / 3 + 100_000, "well before its usual round");
}

/// Guards against a flood that goes unnoticed because each of many proxies sees too little of it to call it a rise.
#[test]
fn a_flood_made_of_small_rises_at_many_proxies_is_reported_at_once() {
    let copy = committed_copy();
    let mut meter = Meter::new(HEARTBEAT / 3);
    for last in 1..=4 {
        meter.take(SECOND, usage(last, 1, 1, 3_000, 3_000), false);
    }
    let quota = 20_000; // reed's, in thousandths of a request a second
    assert!(meter.read(SECOND, &copy.state)[0].wanted < quota);
    let urgent: Vec<bool> =
        (1..=4).map(|last| meter.take(SECOND, usage(last, 1, 2, 9_000, 3_000), false)).collect();
    assert_eq!(urgent, [false, true, false, false], "only when the sum exceeds the quota");
    let again = meter.take(SECOND, usage(1, 1, 3, 9_500, 3_000), false);
    assert!(!again, "it is a flood already");
}

/// Guards against proxies that restart in a row while a tenant floods: without readings, each would send too much
/// until the next round.
#[test]
fn a_new_proxy_gets_readings_at_once_if_most_proxies_have_reported() {
    let mut r = Registry::new(commands());
    let hello = |last| Input::Proxy(u64::from(last), Up::Hello { node: node(last, "north-a"), rev: 0 });
    let readings_sent = |r: &Registry, to: u64| {
        let of = |o: &&Output| matches!(o, Output::Proxy(link, Down::Meter(..)) if *link == to);
        r.out.iter().filter(of).count()
    };
    r.handle(hello(1));
    r.run_for(HEARTBEAT);
    assert_eq!(readings_sent(&r, 1), 0, "a registry without reports sends no readings");
    for last in 1..=4 {
        let usage = vec![usage(last, 1, 1, 9_000, 6_000)];
        r.handle(Input::Proxy(1, Up::Report { rev: 2, head: None, seen: Vec::new(), usage }));
    }
    r.run_for(HEARTBEAT / 2);
    assert!(readings_sent(&r, 1) > 0);
    r.out.clear();
    r.handle(hello(5));
    let age = r.out.iter().find_map(|o| match o {
        Output::Proxy(5, Down::Meter(readings, age)) => Some((readings.len(), age.expect("with its age"))),
        _ => None,
    });
    let (readings, age) = age.expect("sent on connecting");
    assert_eq!((readings, age.at), (1, r.now));
    assert!(age.age_us <= HEARTBEAT / 3, "{age:?}");
}
