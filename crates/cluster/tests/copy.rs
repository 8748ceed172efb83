//! Those who follow a copy and come back after hundreds of changes: what they are sent, and that it makes them alike.

use cluster::copy::{Copy, Took};
use cluster::follow::Followers;
use cluster::state::{Change, Command, Node, State};
use cluster::talk::{Down, News};
use std::net::Ipv4Addr;

const SECOND: u64 = 1_000_000;

/// A configuration of about so many bytes, most of them blanks.
fn put(version: u32, size: usize) -> Command {
    let body = format!(
        r#"{{"config_version":"{version:08x}","limits":{{}},"route_list":{{"column_set":[],"row_set":[]}},
        "service_list":{{"column_set":[],"row_set":[]}}{}}}"#,
        " ".repeat(size)
    );
    Command::Configure(Change { base: version - 1, patch: false, body: body.into_bytes() })
}

fn evacuate(zone: String, on: bool) -> Command {
    Command::Evacuate { zone, on }
}

fn bytes(news: &News) -> usize {
    postcard::to_stdvec(news).expect("plain data").len()
}

/// Changes of all sizes, and each copy on the way.
fn history(count: u64, size: usize) -> Vec<Copy> {
    let mut copy = Copy::default();
    let mut all = vec![copy.clone()];
    for rev in 1..=count {
        let command =
            if rev % 2 == 0 { put(rev as u32 / 2, size) } else { evacuate(format!("z{}", rev % 40), true) };
        copy.apply(rev, rev, Some(command));
        all.push(copy.clone());
    }
    all
}

#[test]
fn a_follower_that_was_away_for_any_number_of_changes_is_sent_no_more_than_a_state_and_is_alike() {
    for (count, size) in [(700, 0), (700, 20_000), (60, 400_000)] {
        let all = history(count, size);
        let last = all.last().expect("some");
        let whole = last.state.write(0).len();
        for behind in (0..count).step_by(37).chain([count - 1]) {
            let mut follower = all[behind as usize].clone();
            let news = last.since(0, follower.rev()).expect("behind");
            let length = bytes(&news);
            // A run is sent as it is while it is short, whatever the state is.
            assert!(length < whole.max(20_000 + size) + 100, "{count} {size} from {behind}: {length}");
            assert_eq!(follower.take(0, news), Took::Changed);
            assert_eq!(follower.state.write(0), last.state.write(0), "{count} {size} from {behind}");
        }
    }
}

#[test]
fn a_follower_that_links_again_goes_on_from_where_it_says_to_be() {
    let all = history(600, 20_000);
    let (early, last) = (&all[100], all.last().expect("some"));
    let mut follower = all[90].clone();
    let node = Node {
        ip: Ipv4Addr::LOCALHOST,
        name: "edge-1".into(),
        zone: "a".into(),
        region: "r".into(),
        front: (Ipv4Addr::LOCALHOST, 80).into(),
    };
    let mut followers = Followers::default();
    followers.hello(1, node.clone(), follower.rev());
    // Its link is gone with what was sent; it links to another copy, which is further.
    followers.feed(0, early, |_, _| {});
    followers.gone(1);
    let mut followers = Followers::default();
    followers.hello(2, node, follower.rev());
    let mut sent = Vec::new();
    followers.feed(0, last, |link, down| sent.push((link, down)));
    let [(2, Down::News(news))] = &sent[..] else { panic!("one message: {}", sent.len()) };
    assert!(bytes(news) < 60_000, "{}", bytes(news));
    assert_eq!(follower.take(0, news.clone()), Took::Changed);
    // One that answers no operator is alike in all but the calls that were taken.
    assert_eq!(follower.state.write_without_calls(0), last.state.write_without_calls(0));
    // What an older copy then says is passed over.
    assert_eq!(follower.take(0, early.since(0, 90).expect("news")), Took::Nothing);
    assert_eq!(follower.rev(), last.rev());
}

#[test]
fn a_zone_that_came_back_lately_is_told_with_a_whole_state() {
    let mut copy = Copy::default();
    copy.apply(10 * SECOND, 1, Some(evacuate("a".into(), true)));
    let plain = copy.state.write(12 * SECOND);
    assert_eq!(plain[0], 1, "the first form, as nothing of the later ones is in it");
    copy.apply(20 * SECOND, 2, Some(evacuate("a".into(), false)));
    let written = copy.state.write(23 * SECOND);
    assert_eq!(written[0], 3, "the third form, as nothing of the fourth is in it");
    let read = State::read(100 * SECOND, &written).expect("readable");
    assert_eq!(read.returned.get("a"), Some(&(97 * SECOND)), "3 s ago, by another clock");
    assert_eq!(copy.state.write(2000 * SECOND)[0], 1, "long ago");
    // A process whose clock began later than that takes the zone for returned at its start.
    assert_eq!(State::read(SECOND, &written).expect("readable").returned.get("a"), Some(&0));
}
