//! Whom a proxy follows.

mod common;

use cluster::copy::Copy;
use cluster::talk::{Age, Down, News, Standing, Up};
use common::{SECOND, ZONES, node};
use proxy::feed::{Feed, Input, Output};
use std::net::Ipv4Addr;

const BEAT: u64 = SECOND;

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 9, last)
}

fn feed(seeds: &[u8]) -> Feed {
    let zones = ZONES.map(|(z, r)| (z.to_string(), r.to_string())).into();
    Feed::new(node(1, "north-b"), zones, seeds.iter().map(|n| ip(*n)).collect(), BEAT, 3, SECOND)
}

fn tell(feed: &mut Feed, now: u64, input: Input) -> Vec<Output> {
    tell_at(feed, 0, now, input)
}

/// With a copy that has come so far.
fn tell_at(feed: &mut Feed, rev: u64, now: u64, input: Input) -> Vec<Output> {
    let (mut out, mut copy) = (Vec::new(), Copy::default());
    copy.apply(now, rev, None);
    if feed.reports(now) {
        feed.uses(Vec::new());
    }
    feed.handle(now, input, &copy, &mut out);
    out
}

fn link(out: &[Output]) -> Option<Ipv4Addr> {
    out.iter().find_map(|o| if let Output::Link { ip, .. } = o { Some(*ip) } else { None })
}

/// Of the registry that is followed by this link; they are numbered from 1.
fn standing(link: u64, fresh: bool) -> Input {
    let core = vec![(ip(1), "south-a".into()), (ip(2), "north-a".into()), (ip(3), "north-b".into())];
    let (path, away) = (Vec::new(), Vec::new());
    let fresh_ms = fresh.then_some(0);
    Input::Got(
        link,
        Down::Standing(Standing { rev: 0, fresh_ms, core, path, head: None, away, said_at: None }),
    )
}

fn report(out: &[Output]) -> Option<(u64, u64)> {
    out.iter().find_map(|o| match o {
        Output::Say(_, Up::Report { rev, seen, .. }) => Some((*rev, seen[0].count)),
        _ => None,
    })
}

/// Until it goes on to another: what it is told every quarter of a beat; how long that took.
fn left_after(feed: &mut Feed, from: u64, input: impl Fn() -> Option<Input>) -> (Ipv4Addr, u64) {
    for step in 1..20 {
        let now = from + step * BEAT / 4;
        let mut out = tell(feed, now, Input::Tick);
        if let Some(input) = input().filter(|_| link(&out).is_none()) {
            out = tell(feed, now, input);
        }
        if let Some(to) = link(&out) {
            return (to, now - from);
        }
    }
    panic!("it stays for ever");
}

#[test]
fn it_leaves_a_registry_that_is_silent_or_hears_no_news_itself() {
    for (told, leaves) in [(None, true), (Some(false), true), (Some(true), false)] {
        let mut feed = feed(&[1, 2]);
        let first = link(&tell(&mut feed, SECOND, Input::Tick)).expect("links at once");
        tell(&mut feed, SECOND, Input::Linked(1));
        tell(&mut feed, SECOND, standing(1, true));
        assert!(feed.was_fresh());
        if leaves {
            let (to, took) = left_after(&mut feed, SECOND, || told.map(|fresh| standing(1, fresh)));
            assert!(to != first && took <= BEAT + BEAT / 4, "{told:?}: {took}");
        } else {
            for step in 1..20 {
                let now = SECOND + step * BEAT / 4;
                assert_eq!(link(&tell(&mut feed, now, standing(1, true))), None);
            }
        }
    }
}

#[test]
fn a_registry_that_says_that_it_is_cut_off_is_left_at_once_for_one_that_is_not_known_to_be() {
    let mut feed = feed(&[1, 2]);
    let first = link(&tell(&mut feed, SECOND, Input::Tick)).expect("links at once");
    tell(&mut feed, SECOND, Input::Linked(1));
    tell(&mut feed, SECOND, standing(1, true));
    // An election is no reason; a third of a beat of it is.
    tell(&mut feed, SECOND, standing(1, false));
    assert_eq!(link(&tell(&mut feed, SECOND + BEAT / 3 - 1, Input::Tick)), None);
    tell(&mut feed, SECOND + BEAT / 3 - 1, standing(1, true));
    let now = SECOND + BEAT / 2;
    tell(&mut feed, now, standing(1, false));
    assert_eq!(feed.wake_at(), now + BEAT / 3);
    let now = now + BEAT / 3;
    let second = link(&tell(&mut feed, now, Input::Tick)).expect("goes on");
    assert_ne!(second, first);
    // One that says so from the beginning is not waited for; where all do, each has its time.
    tell(&mut feed, now, Input::Linked(2));
    let mut met = vec![first, second];
    let mut number = 2;
    while let Some(next) = link(&tell(&mut feed, now, standing(number, false))) {
        number += 1;
        met.push(next);
        tell(&mut feed, now, Input::Linked(number));
    }
    met.sort();
    assert_eq!(met, [ip(1), ip(2), ip(3)], "all were asked, none of them twice");
    assert!(feed.wake_at() >= now + BEAT / 3, "and it does not go round without end");
}

#[test]
fn it_follows_the_nearest_that_has_not_failed_and_comes_back_to_it() {
    let mut feed = feed(&[1]);
    let mut now = SECOND;
    assert_eq!(link(&tell(&mut feed, now, Input::Tick)), Some(ip(1)), "the only one it knows");
    tell(&mut feed, now, Input::Linked(1));
    tell(&mut feed, now, standing(1, true));
    let mut went = Vec::new();
    for number in 1..=4 {
        now += 1000;
        went.extend(link(&tell(&mut feed, now, Input::Broken(number))));
    }
    assert_eq!(went, [ip(3), ip(2), ip(1), ip(3)], "by nearness, then by who failed longest ago");
    tell(&mut feed, now, Input::Linked(5));
    tell(&mut feed, now, standing(5, true));
    // One that does not answer the call is left, too.
    let now = now + 10 * BEAT;
    assert_eq!(link(&tell(&mut feed, now, Input::Broken(5))), Some(ip(2)));
    let (to, took) = left_after(&mut feed, now, || None);
    assert!(to == ip(1) && took <= BEAT, "{to} {took}");
}

#[test]
fn it_tells_how_far_it_has_come_regularly_and_sooner_where_it_matters() {
    let mut feed = feed(&[1]);
    tell(&mut feed, SECOND, Input::Tick);
    let out = tell_at(&mut feed, 7, SECOND, Input::Linked(1));
    assert!(matches!(&out[0], Output::Say(1, Up::Hello { rev: 7, .. })));
    assert_eq!(report(&out), None, "it is asked for the use of tenants first");
    assert_eq!(report(&tell_at(&mut feed, 7, SECOND, Input::Tick)), Some((7, 1)));
    let news = News::Run { from: 7, to: 9, commands: Vec::new() };
    let out = tell_at(&mut feed, 7, SECOND + 10_000, Input::Got(1, Down::News(news)));
    assert!(matches!(out[..], [Output::News(News::Run { from: 7, to: 9, .. })]));
    assert_eq!(report(&tell_at(&mut feed, 9, SECOND + 20_000, Input::Changed)), None);
    feed.hurry();
    assert_eq!(report(&tell_at(&mut feed, 9, SECOND + 100_000, Input::Tick)), Some((9, 2)));
    feed.hurry();
    assert_eq!(report(&tell_at(&mut feed, 9, SECOND + 150_000, Input::Tick)), None, "not all the time");
    assert_eq!(report(&tell_at(&mut feed, 9, SECOND + 200_000, Input::Tick)), Some((9, 3)));
    // With the standings of the registry, and without them a little later.
    let mut now = SECOND + 200_000 + BEAT / 3;
    assert_eq!(report(&tell_at(&mut feed, 9, now, standing(1, true))), None);
    assert_eq!(report(&tell_at(&mut feed, 9, now, Input::Tick)), Some((9, 4)));
    now += BEAT / 3;
    assert_eq!(report(&tell_at(&mut feed, 9, now, Input::Tick)), None);
    now += BEAT / 10;
    assert_eq!(report(&tell_at(&mut feed, 9, now, Input::Tick)), Some((9, 5)));
}

#[test]
fn a_registry_that_is_dark_is_left_sooner_while_another_has_not_failed() {
    let mut feed = feed(&[1, 2, 3]);
    let mut now = SECOND;
    let (mut asked, mut waited) =
        (vec![link(&tell(&mut feed, now, Input::Tick)).expect("links at once")], vec![]);
    for _ in 0..3 {
        waited.push(feed.wake_at() - now);
        now = feed.wake_at();
        asked.push(link(&tell(&mut feed, now, Input::Tick)).expect("goes on to the next"));
    }
    assert!(waited[1] == waited[0] && waited[0] < waited[2], "the last one has longer: {waited:?}");
    assert!(asked[0] != asked[1] && !asked[..2].contains(&asked[2]) && asked[3] == asked[0], "{asked:?}");
}

/// Says that it is fresh, by its own clock at that time.
fn said(link: u64, said_at: u64) -> Input {
    let core = vec![(ip(1), "south-a".into()), (ip(2), "north-a".into()), (ip(3), "north-b".into())];
    let (path, away) = (Vec::new(), Vec::new());
    let said_at = Some(said_at);
    Input::Got(
        link,
        Down::Standing(Standing { rev: 0, fresh_ms: Some(0), core, path, head: None, away, said_at }),
    )
}

/// Seen as late configurations and requests to servers that leave, at proxies that nothing was done to: news waited behind
/// news on a slow link, and each standing that came through counted from when it came. So a proxy that was seconds behind
/// took itself for fresh and never left. What proved it: links that carry all at once.
#[test]
fn a_standing_that_waited_on_its_way_is_as_old_as_it_is() {
    const THERE: u64 = 77 * SECOND;
    for late in [0, 2 * SECOND] {
        let mut feed = feed(&[1, 2]);
        let mut now = SECOND;
        link(&tell(&mut feed, now, Input::Tick)).expect("links at once");
        tell(&mut feed, now, Input::Linked(1));
        tell(&mut feed, now, said(1, THERE));
        let greeted = now;
        // Each is said in time, and comes a little later than the one before.
        let mut left = None;
        for step in 1..=20 {
            now = greeted + step * BEAT / 3;
            let waited = late * step / 20;
            let out = tell(&mut feed, now, said(1, THERE + (now - greeted) - waited));
            if link(&out).is_some() {
                left = Some(waited);
                break;
            }
            assert_eq!(feed.fresh_at().map(|at| now - at), Some(waited), "its age is known");
        }
        assert_eq!(left.is_some(), late > 0, "it is left once it is too late");
        assert!(left.is_none_or(|waited| waited <= SECOND + BEAT / 3), "and not much after that: {left:?}");
    }
}

/// The clocks of two processes have begun at different times; the one who answers may be slow in it.
#[test]
fn what_the_first_answer_took_counts_against_it() {
    let mut feed = feed(&[1, 2]);
    tell(&mut feed, SECOND, Input::Tick);
    tell(&mut feed, SECOND, Input::Linked(1));
    let slow = BEAT / 2;
    tell(&mut feed, SECOND + slow, said(1, 5));
    assert_eq!(feed.fresh_at(), Some(SECOND), "it may have been said as soon as it was asked");
    tell(&mut feed, SECOND + 2 * slow, said(1, 5 + slow));
    assert_eq!(feed.fresh_at(), Some(SECOND + slow));
}

/// What is passed down the tree tells how old it is already, over all links that it came by.
#[test]
fn readings_and_leases_that_waited_on_their_way_are_as_old_as_they_are() {
    const THERE: u64 = 90 * SECOND;
    let mut feed = feed(&[1, 2]);
    tell(&mut feed, SECOND, Input::Tick);
    tell(&mut feed, SECOND, Input::Linked(1));
    tell(&mut feed, SECOND, said(1, THERE));
    tell(&mut feed, SECOND, Input::Below(7, Up::Hello { node: node(5, "north-b"), rev: 0 }));
    let now = SECOND + BEAT / 4;
    // Made a tenth of a second before it was said, and 50 ms on its way.
    let already = SECOND / 10;
    let waited = SECOND / 20;
    let made_at = now - waited - already;
    let old = Some(Age { at: THERE + BEAT / 4 - waited, age_us: already });
    for down in [Down::Meter(Vec::new(), old), Down::Leases(Vec::new(), old)] {
        let out = tell(&mut feed, now, Input::Got(1, down));
        let taken = out.iter().find_map(|o| match o {
            Output::Meter(_, at) | Output::Leases(_, at) => Some(*at),
            _ => None,
        });
        assert_eq!(taken, Some(made_at));
        let passed = out.iter().find_map(|o| match o {
            Output::Tell(7, Down::Meter(_, said) | Down::Leases(_, said)) => *said,
            _ => None,
        });
        assert_eq!(passed, Some(Age { at: now, age_us: waited + already }));
    }
}
