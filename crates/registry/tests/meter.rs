//! What the registry makes of the proxies' reports of use.

mod common;

use cluster::copy::Copy;
use cluster::state::{Change, Command};
use cluster::talk::{Down, Reading, Up, Usage, Use, tenant_key};
use common::*;
use registry::board::{Input, Output};
use registry::meter::Meter;

fn commands() -> Vec<Command> {
    let change = Change { base: 0, patch: false, body: config(1).into_bytes() };
    vec![nodes(&[(1, "north-a"), (2, "north-a"), (3, "north-a"), (4, "north-a")]), Command::Configure(change)]
}

/// A copy that has applied all of them.
fn agreed() -> Copy {
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
fn readings_add_up_what_is_new_and_take_the_even_share_for_who_is_silent() {
    let copy = agreed();
    let mut meter = Meter::new(BEAT / 3);
    assert_eq!(meter.read(SECOND, &copy.state), [], "nobody asks");
    // Even: 5 a second each. What is reported, by whom; what is read to be wanted then.
    for (last, life, count, wanted, used, read) in [
        (1, 1, 1, 9_000, 6_000, 24_000),
        (2, 1, 5, 1_000, 1_000, 20_000),
        (2, 1, 4, 90_000, 90_000, 20_000), // older
        (2, 2, 1, 2_000, 2_000, 21_000),   // a new life counts anew
        (3, 1, 1, 0, 0, 16_000),
        (4, 1, 1, 0, 0, 11_000),
        (9, 1, 1, 70_000, 70_000, 11_000), // no proxy that is agreed on
    ] {
        meter.take(SECOND, usage(last, life, count, wanted, used), false);
        let all = meter.read(SECOND, &copy.state);
        assert_eq!(all[0].wanted, read, "{last} {life} {count}");
    }
    // What is used is evened out over some reports; it was 21 a second when first read, and is 8.
    let evened = meter.read(SECOND + BEAT / 2, &copy.state)[0].used;
    assert!((9_000..21_000).contains(&evened), "{evened}");
    // A flood is no chance, and is read at once.
    meter.take(SECOND + BEAT / 2, usage(3, 1, 2, 60_000, 60_000), false);
    let flood = meter.read(SECOND + BEAT / 2, &copy.state)[0].used;
    assert_eq!(flood, 68_000);
    assert_eq!(meter.news().len(), 4);
    assert_eq!(meter.news().len(), 0, "told once");
    meter.take(SECOND, usage(1, 1, 2, 0, 0), true);
    assert_eq!(meter.news().len(), 0, "who told it knows it");
    // Reports grow old: all are silent again.
    assert_eq!(meter.read(SECOND + 3 * BEAT, &copy.state), []);
}

#[test]
fn proxies_are_told_soon_and_the_other_registries_too() {
    let mut r = Registry::new(commands());
    r.tell(Input::Proxy(7, Up::Hello { node: node(1, "north-a"), rev: 2 }));
    r.wait(BEAT / 3);
    r.wait(1000);
    let ahead = usage(1, 1, 1, 30_000, 9_000);
    r.tell(Input::Proxy(7, Up::Report { rev: 2, head: None, seen: Vec::new(), usage: vec![ahead] }));
    r.now = r.board.wake_at();
    r.tell(Input::Tick);
    let meter: Vec<&Reading> = r
        .out
        .iter()
        .flat_map(|o| if let Output::Proxy(7, Down::Meter(m, _)) = o { &m[..] } else { &[] })
        .collect();
    assert_eq!((meter.len(), meter[0].wanted, meter[0].used), (1, 45_000, 24_000));
    let told = r.out.iter().filter(|o| matches!(o, Output::Peer(OTHER, g) if g.usage.len() == 1));
    assert_eq!(told.count(), 1);
    assert!(r.now <= SECOND + BEAT / 3 + 100_000, "well before its usual round");
}

/// Each of many proxies sees too little to call it a rise; all together it is a flood.
#[test]
fn what_many_proxies_want_a_little_more_of_is_told_at_once() {
    let copy = agreed();
    let mut meter = Meter::new(BEAT / 3);
    for last in 1..=4 {
        meter.take(SECOND, usage(last, 1, 1, 3_000, 3_000), false);
    }
    let quota = 20_000; // reed's, in thousandths of a request a second
    assert!(meter.read(SECOND, &copy.state)[0].wanted < quota);
    let told: Vec<bool> =
        (1..=4).map(|last| meter.take(SECOND, usage(last, 1, 2, 9_000, 3_000), false)).collect();
    assert_eq!(told, [false, true, false, false], "once, when the sum passes the quota");
    let again = meter.take(SECOND, usage(1, 1, 3, 9_500, 3_000), false);
    assert!(!again, "it is a flood already");
}

/// Where proxies begin anew in a row while a tenant floods, each would otherwise send ahead until the next round tells it.
#[test]
fn a_proxy_that_begins_is_told_at_once_what_all_use_once_most_are_heard_of() {
    let mut r = Registry::new(commands());
    let hello = |last| Input::Proxy(u64::from(last), Up::Hello { node: node(last, "north-a"), rev: 0 });
    let meters = |r: &Registry, to: u64| {
        let of = |o: &&Output| matches!(o, Output::Proxy(link, Down::Meter(..)) if *link == to);
        r.out.iter().filter(of).count()
    };
    r.tell(hello(1));
    r.wait(BEAT);
    assert_eq!(meters(&r, 1), 0, "a registry that hears nobody cannot tell");
    for last in 1..=4 {
        let usage = vec![usage(last, 1, 1, 9_000, 6_000)];
        r.tell(Input::Proxy(1, Up::Report { rev: 2, head: None, seen: Vec::new(), usage }));
    }
    r.wait(BEAT / 2);
    assert!(meters(&r, 1) > 0);
    r.out.clear();
    r.tell(hello(5));
    let age = r.out.iter().find_map(|o| match o {
        Output::Proxy(5, Down::Meter(readings, age)) => {
            Some((readings.len(), age.expect("it tells its age")))
        }
        _ => None,
    });
    let (readings, age) = age.expect("told with its greeting");
    assert_eq!((readings, age.at), (1, r.now));
    assert!(age.age_us <= BEAT / 3, "{age:?}");
}
