//! Whom the directory names.

mod common;

use common::*;
use jzon::JsonValue;

const PROXIES: [(u8, &str); 5] =
    [(1, "north-a"), (2, "north-a"), (3, "north-b"), (4, "south-a"), (5, "south-b")];

fn named(r: &mut Registry, query: &str) -> Vec<u8> {
    let call = r.call("GET", &format!("/api/resolution?entity_name=h{query}"), None, "");
    let (status, body) = r.answers[&call].clone();
    if status != 200 {
        return Vec::new();
    }
    let body = jzon::parse(&body).expect("JSON");
    let last = |a: &JsonValue| a.as_str()?.strip_prefix("10.9.1.")?.strip_suffix(":80")?.parse().ok();
    body["address_list"].members().map(|a| last(a).expect("a proxy")).collect()
}

#[test]
fn the_directory_names_ready_proxies_of_the_zone_then_of_the_region_then_all() {
    // Who reports to be ready; what is asked for; who is named.
    for (ready, query, expected) in [
        (&[1, 2, 3, 4, 5][..], "&zone_name=north-a", &[1, 2][..]),
        (&[2, 3, 4, 5], "&zone_name=north-a", &[2]),
        (&[3, 4, 5], "&zone_name=north-a", &[3]),
        (&[4, 5], "&zone_name=north-a", &[4, 5]),
        (&[1, 2, 3, 4, 5], "&region_name=south", &[4, 5]),
        (&[1, 2, 3, 4, 5], "&zone_name=moon&region_name=south", &[4, 5]),
        (&[1, 3, 5], "&region_name=moon", &[1, 3, 5]),
        (&[1, 3, 5], "", &[1, 3, 5]),
        (&[], "&zone_name=north-a", &[1, 2]), // it may be this registry that hears nothing
        (&[], "", &[1, 2, 3, 4, 5]),
    ] {
        let mut r = Registry::new(vec![nodes(&PROXIES)]);
        r.wait(3 * BEAT);
        for (n, _) in PROXIES {
            r.report(n.into(), n, 1, ready.contains(&n), 1);
        }
        assert_eq!(named(&mut r, query), expected, "{ready:?} {query}");
    }
    let mut r = Registry::new(Vec::new());
    let (none, bad) = (
        r.call("GET", "/api/resolution?entity_name=h", None, ""),
        r.call("GET", "/api/resolution", None, ""),
    );
    assert_eq!((r.status(none), r.status(bad)), (Some(503), Some(400)));
}

#[test]
fn silence_and_the_word_of_another_registry_count() {
    let mut r = Registry::new(vec![nodes(&PROXIES)]);
    assert_eq!(
        named(&mut r, "&zone_name=north-a"),
        [1, 2],
        "it has just started: who is known is taken for alive"
    );
    // 1 is heard of by the other registry; 2 reported here once, long ago.
    r.report(2, 2, 1, true, 1);
    r.pass(3 * BEAT, &[], &[1]);
    assert_eq!(named(&mut r, "&zone_name=north-a"), [1]);
    // An older report of the same life says nothing; a new life does.
    r.report(2, 2, 1, true, 1);
    assert_eq!(named(&mut r, "&zone_name=north-a"), [1]);
    r.report(2, 2, 2, true, 1);
    assert_eq!(named(&mut r, "&zone_name=north-a"), [1, 2]);
    r.report(2, 2, 3, false, 1);
    assert_eq!(named(&mut r, "&zone_name=north-a"), [1]);
}
