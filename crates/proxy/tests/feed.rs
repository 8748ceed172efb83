//! Which parent a proxy follows, and what it reports.

mod common;

use cluster::copy::Copy;
use cluster::talk::{Age, Down, News, Standing, Up};
use common::{SECOND, ZONES, node};
use proxy::feed::{Feed, Input, Output};
use std::net::Ipv4Addr;

/// The beat period, in microseconds. Reports go out about every third of it.
const BEAT: u64 = SECOND;

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 9, last)
}

fn feed(seeds: &[u8]) -> Feed {
    let zones = ZONES.map(|(z, r)| (z.to_string(), r.to_string())).into();
    Feed::new(node(1, "north-b"), zones, seeds.iter().map(|n| ip(*n)).collect(), BEAT, 3, SECOND)
}

fn handle_input(feed: &mut Feed, now: u64, input: Input) -> Vec<Output> {
    handle_at_revision(feed, 0, now, input)
}

/// Handles the input with a copy at this revision.
fn handle_at_revision(feed: &mut Feed, rev: u64, now: u64, input: Input) -> Vec<Output> {
    let (mut out, mut copy) = (Vec::new(), Copy::default());
    copy.apply(now, rev, None);
    if feed.report_due(now) {
        feed.set_usage(Vec::new());
    }
    feed.handle(now, input, &copy, &mut out);
    out
}

fn connect_target(out: &[Output]) -> Option<Ipv4Addr> {
    out.iter().find_map(|o| if let Output::Connect { ip, .. } = o { Some(*ip) } else { None })
}

/// A standing (status message) of the registry on this link, which says whether its copy is fresh; links are numbered
/// from 1.
fn standing(link: u64, fresh: bool) -> Input {
    let core = vec![(ip(1), "south-a".into()), (ip(2), "north-a".into()), (ip(3), "north-b".into())];
    let (path, away) = (Vec::new(), Vec::new());
    let fresh_ms = fresh.then_some(0);
    Input::Received(
        link,
        Down::Standing(Standing { rev: 0, fresh_ms, core, path, head: None, away, said_at: None }),
    )
}

fn report(out: &[Output]) -> Option<(u64, u64)> {
    out.iter().find_map(|o| match o {
        Output::SendUp(_, Up::Report { rev, seen, .. }) => Some((*rev, seen[0].count)),
        _ => None,
    })
}

/// Gives the input every quarter of a beat until the feed connects to another registry; returns that one and the time
/// taken.
fn left_after(feed: &mut Feed, from: u64, input: impl Fn() -> Option<Input>) -> (Ipv4Addr, u64) {
    for step in 1..20 {
        let now = from + step * BEAT / 4;
        let mut out = handle_input(feed, now, Input::Tick);
        if let Some(input) = input().filter(|_| connect_target(&out).is_none()) {
            out = handle_input(feed, now, input);
        }
        if let Some(to) = connect_target(&out) {
            return (to, now - from);
        }
    }
    panic!("it never leaves its parent");
}

#[test]
fn a_proxy_leaves_a_parent_that_is_silent_or_stale() {
    for (told, leaves) in [(None, true), (Some(false), true), (Some(true), false)] {
        let mut feed = feed(&[1, 2]);
        let first = connect_target(&handle_input(&mut feed, SECOND, Input::Tick)).expect("links at once");
        handle_input(&mut feed, SECOND, Input::Connected(1));
        handle_input(&mut feed, SECOND, standing(1, true));
        assert!(feed.has_been_fresh());
        if leaves {
            let (to, took) = left_after(&mut feed, SECOND, || told.map(|fresh| standing(1, fresh)));
            assert!(to != first && took <= BEAT + BEAT / 4, "{told:?}: {took}");
        } else {
            for step in 1..20 {
                let now = SECOND + step * BEAT / 4;
                assert_eq!(connect_target(&handle_input(&mut feed, now, standing(1, true))), None);
            }
        }
    }
}

#[test]
fn a_stale_registry_is_left_after_a_third_of_a_beat_or_at_once_if_it_was_never_fresh() {
    let mut feed = feed(&[1, 2]);
    let first = connect_target(&handle_input(&mut feed, SECOND, Input::Tick)).expect("links at once");
    handle_input(&mut feed, SECOND, Input::Connected(1));
    handle_input(&mut feed, SECOND, standing(1, true));
    // A short interruption, such as an election, is no reason to leave; a third of a beat is.
    handle_input(&mut feed, SECOND, standing(1, false));
    assert_eq!(connect_target(&handle_input(&mut feed, SECOND + BEAT / 3 - 1, Input::Tick)), None);
    handle_input(&mut feed, SECOND + BEAT / 3 - 1, standing(1, true));
    let now = SECOND + BEAT / 2;
    handle_input(&mut feed, now, standing(1, false));
    assert_eq!(feed.wake_at(), now + BEAT / 3);
    let now = now + BEAT / 3;
    let second = connect_target(&handle_input(&mut feed, now, Input::Tick)).expect("goes on");
    assert_ne!(second, first);
    // A registry whose first standing says that its copy is stale is left at once. If all do, each is given the full
    // time.
    handle_input(&mut feed, now, Input::Connected(2));
    let mut asked = vec![first, second];
    let mut number = 2;
    while let Some(next) = connect_target(&handle_input(&mut feed, now, standing(number, false))) {
        number += 1;
        asked.push(next);
        handle_input(&mut feed, now, Input::Connected(number));
    }
    asked.sort();
    assert_eq!(asked, [ip(1), ip(2), ip(3)], "all were asked, none of them twice");
    assert!(feed.wake_at() >= now + BEAT / 3, "and it does not go through them in an endless loop");
}

#[test]
fn it_follows_the_nearest_that_has_not_failed_and_comes_back_to_it() {
    let mut feed = feed(&[1]);
    let mut now = SECOND;
    assert_eq!(
        connect_target(&handle_input(&mut feed, now, Input::Tick)),
        Some(ip(1)),
        "the only known registry"
    );
    handle_input(&mut feed, now, Input::Connected(1));
    handle_input(&mut feed, now, standing(1, true));
    let mut went = Vec::new();
    for number in 1..=4 {
        now += 1000;
        went.extend(connect_target(&handle_input(&mut feed, now, Input::Disconnected(number))));
    }
    assert_eq!(went, [ip(3), ip(2), ip(1), ip(3)], "by nearness, then by who failed longest ago");
    handle_input(&mut feed, now, Input::Connected(5));
    handle_input(&mut feed, now, standing(5, true));
    // A registry that does not answer the connection attempt is left, too.
    let now = now + 10 * BEAT;
    assert_eq!(connect_target(&handle_input(&mut feed, now, Input::Disconnected(5))), Some(ip(2)));
    let (to, took) = left_after(&mut feed, now, || None);
    assert!(to == ip(1) && took <= BEAT, "{to} {took}");
}

#[test]
fn a_proxy_reports_its_revision_periodically_and_early_on_request() {
    let mut feed = feed(&[1]);
    handle_input(&mut feed, SECOND, Input::Tick);
    let out = handle_at_revision(&mut feed, 7, SECOND, Input::Connected(1));
    assert!(matches!(&out[0], Output::SendUp(1, Up::Hello { rev: 7, .. })));
    assert_eq!(report(&out), None, "the use of tenants must be set first");
    assert_eq!(report(&handle_at_revision(&mut feed, 7, SECOND, Input::Tick)), Some((7, 1)));
    let news = News::Run { from: 7, to: 9, commands: Vec::new() };
    let out = handle_at_revision(&mut feed, 7, SECOND + 10_000, Input::Received(1, Down::News(news)));
    assert!(matches!(out[..], [Output::News(News::Run { from: 7, to: 9, .. })]));
    assert_eq!(report(&handle_at_revision(&mut feed, 9, SECOND + 20_000, Input::CopyChanged)), None);
    feed.report_soon();
    assert_eq!(report(&handle_at_revision(&mut feed, 9, SECOND + 100_000, Input::Tick)), Some((9, 2)));
    feed.report_soon();
    assert_eq!(
        report(&handle_at_revision(&mut feed, 9, SECOND + 150_000, Input::Tick)),
        None,
        "not too often"
    );
    assert_eq!(report(&handle_at_revision(&mut feed, 9, SECOND + 200_000, Input::Tick)), Some((9, 3)));
    // With each standing of the registry, and a little later if none arrives.
    let mut now = SECOND + 200_000 + BEAT / 3;
    assert_eq!(report(&handle_at_revision(&mut feed, 9, now, standing(1, true))), None);
    assert_eq!(report(&handle_at_revision(&mut feed, 9, now, Input::Tick)), Some((9, 4)));
    now += BEAT / 3;
    assert_eq!(report(&handle_at_revision(&mut feed, 9, now, Input::Tick)), None);
    now += BEAT / 10;
    assert_eq!(report(&handle_at_revision(&mut feed, 9, now, Input::Tick)), Some((9, 5)));
}

#[test]
fn a_registry_that_does_not_answer_the_connection_attempt_is_left_sooner_while_another_has_not_failed() {
    let mut feed = feed(&[1, 2, 3]);
    let mut now = SECOND;
    let (mut asked, mut waited) =
        (vec![connect_target(&handle_input(&mut feed, now, Input::Tick)).expect("links at once")], vec![]);
    for _ in 0..3 {
        waited.push(feed.wake_at() - now);
        now = feed.wake_at();
        asked.push(connect_target(&handle_input(&mut feed, now, Input::Tick)).expect("goes on to the next"));
    }
    assert!(waited[1] == waited[0] && waited[0] < waited[2], "the last one is given more time: {waited:?}");
    assert!(asked[0] != asked[1] && !asked[..2].contains(&asked[2]) && asked[3] == asked[0], "{asked:?}");
}

/// A standing that says that the registry's copy is fresh, sent at this time by the registry's clock.
fn standing_sent_at(link: u64, said_at: u64) -> Input {
    let core = vec![(ip(1), "south-a".into()), (ip(2), "north-a".into()), (ip(3), "north-b".into())];
    let (path, away) = (Vec::new(), Vec::new());
    let said_at = Some(said_at);
    Input::Received(
        link,
        Down::Standing(Standing { rev: 0, fresh_ms: Some(0), core, path, head: None, away, said_at }),
    )
}

/// Guards against taking a standing for as new as its arrival. When messages queue on a slow link, a standing arrives
/// long after it was sent. A proxy that counts it from its arrival takes its copy for fresh although it is seconds
/// behind, and keeps its parent. This showed as late configurations and as requests to servers that were leaving, at
/// proxies without any fault of their own.
#[test]
fn a_delayed_standing_counts_from_when_it_was_sent() {
    /// The parent's clock when it sends its first standing.
    const PARENT_CLOCK: u64 = 77 * SECOND;
    for late in [0, 2 * SECOND] {
        let mut feed = feed(&[1, 2]);
        let mut now = SECOND;
        connect_target(&handle_input(&mut feed, now, Input::Tick)).expect("links at once");
        handle_input(&mut feed, now, Input::Connected(1));
        handle_input(&mut feed, now, standing_sent_at(1, PARENT_CLOCK));
        let first_standing_at = now;
        // Each is sent in time, and is delayed a little more than the one before.
        let mut left_at_delay = None;
        for step in 1..=20 {
            now = first_standing_at + step * BEAT / 3;
            let waited = late * step / 20;
            let out = handle_input(
                &mut feed,
                now,
                standing_sent_at(1, PARENT_CLOCK + (now - first_standing_at) - waited),
            );
            if connect_target(&out).is_some() {
                left_at_delay = Some(waited);
                break;
            }
            assert_eq!(feed.fresh_at().map(|at| now - at), Some(waited), "the delay counts");
        }
        assert_eq!(left_at_delay.is_some(), late > 0, "the parent is left once the delay is too long");
        assert!(
            left_at_delay.is_none_or(|waited| waited <= SECOND + BEAT / 3),
            "and soon after that: {left_at_delay:?}"
        );
    }
}

/// The clocks of two processes start at different times, and the first answer may be slow.
#[test]
fn the_delay_of_the_first_standing_counts_as_its_age() {
    let mut feed = feed(&[1, 2]);
    handle_input(&mut feed, SECOND, Input::Tick);
    handle_input(&mut feed, SECOND, Input::Connected(1));
    let slow = BEAT / 2;
    handle_input(&mut feed, SECOND + slow, standing_sent_at(1, 5));
    assert_eq!(feed.fresh_at(), Some(SECOND), "it may have been sent as soon as it was asked for");
    handle_input(&mut feed, SECOND + 2 * slow, standing_sent_at(1, 5 + slow));
    assert_eq!(feed.fresh_at(), Some(SECOND + slow));
}

/// A message that is passed down the tree tells its age, summed over all links so far.
#[test]
fn delayed_readings_and_leases_count_from_when_they_were_made() {
    /// The parent's clock when it sends its first standing.
    const PARENT_CLOCK: u64 = 90 * SECOND;
    let mut feed = feed(&[1, 2]);
    handle_input(&mut feed, SECOND, Input::Tick);
    handle_input(&mut feed, SECOND, Input::Connected(1));
    handle_input(&mut feed, SECOND, standing_sent_at(1, PARENT_CLOCK));
    handle_input(&mut feed, SECOND, Input::FromFollower(7, Up::Hello { node: node(5, "north-b"), rev: 0 }));
    let now = SECOND + BEAT / 4;
    // Made a tenth of a second before it was sent, and 50 ms on its way.
    let age_when_sent = SECOND / 10;
    let waited = SECOND / 20;
    let made_at = now - waited - age_when_sent;
    let old = Some(Age { at: PARENT_CLOCK + BEAT / 4 - waited, age_us: age_when_sent });
    for down in [Down::Meter(Vec::new(), old), Down::Leases(Vec::new(), old)] {
        let out = handle_input(&mut feed, now, Input::Received(1, down));
        let taken = out.iter().find_map(|o| match o {
            Output::Meter(_, at) | Output::Leases(_, at) => Some(*at),
            _ => None,
        });
        assert_eq!(taken, Some(made_at));
        let passed = out.iter().find_map(|o| match o {
            Output::SendDown(7, Down::Meter(_, said) | Down::Leases(_, said)) => *said,
            _ => None,
        });
        assert_eq!(passed, Some(Age { at: now, age_us: waited + age_when_sent }));
    }
}
