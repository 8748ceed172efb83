//! The names in what a registry answers operators with, against the page `docs/system/outward-names.md`: each key and each
//! state that comes out of its views is a word of the page's section for it.

mod common;

use cluster::booking::{Booked, Booking, Division, Phase, Unused};
use cluster::drill::{DrillChange, Rows, Said};
use cluster::rollout::{Answers, Stage, Tally};
use cluster::state::{Change, Command, Server, ServerChange};
use cluster::talk::{FromStore, Gossip, Up};
use common::*;
use jzon::JsonValue;
use registry::bookings;
use registry::control_plane::Input;
use settings::drill::Drill;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

const FIELDS: &str = "Calls of clients, servers and operators: JSON fields";
const VALUES: &str = "Calls: values of fields";

/// The words of the indented lines of a section.
fn section(title: &str) -> BTreeSet<String> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/system/outward-names.md");
    let text = std::fs::read_to_string(page).expect("the page");
    let mut lines = text.lines().skip_while(|line| line.strip_prefix("## ") != Some(title)).skip(1);
    let lines = lines.by_ref().take_while(|line| !line.starts_with("## "));
    let words = lines.filter(|line| line.starts_with("    ")).flat_map(str::split_whitespace);
    let words: BTreeSet<String> = words.map(str::to_string).collect();
    assert!(!words.is_empty(), "the page has no section {title:?}");
    words
}

/// Fails with those names that the section does not have.
fn listed(title: &str, what: &str, names: impl IntoIterator<Item = String>) {
    let (words, names) = (section(title), names.into_iter().collect::<BTreeSet<_>>());
    assert!(!names.is_empty(), "{what}: the sample has no name");
    let missing: Vec<&String> = names.iter().filter(|name| !words.contains(*name)).collect();
    assert!(missing.is_empty(), "{what}: not in section {title:?}: {missing:?}");
}

fn keys(value: &JsonValue) -> BTreeSet<String> {
    let inner = value.members().flat_map(keys);
    let fields = value.entries().flat_map(|(key, value)| [key.to_string()].into_iter().chain(keys(value)));
    inner.chain(fields.collect::<Vec<_>>()).collect()
}

/// The values of the fields that hold one of a few words.
fn states(value: &JsonValue) -> BTreeSet<String> {
    const FIELDS: [&str; 7] = [
        "attempt_state",
        "booking_phase",
        "drill_state",
        "fault_kind",
        "server_state",
        "stage",
        "unused_room",
    ];
    let own = value.entries().filter(|(key, _)| FIELDS.contains(key));
    let own: Vec<String> = own.filter_map(|(_, v)| v.as_str().map(str::to_string)).collect();
    let inner = value.entries().map(|(_, v)| v).chain(value.members()).flat_map(states);
    inner.chain(own).collect()
}

/// Checks an object that is told, and gives it back.
fn told(what: &str, text: &str) -> JsonValue {
    let value = jzon::parse(text).expect("JSON");
    if !value.is_empty() {
        listed(FIELDS, what, keys(&value));
    }
    let states = states(&value);
    if !states.is_empty() {
        listed(VALUES, what, states);
    }
    value
}

/// Calls a registry, which reads up to where its store has come if it must.
fn call(r: &mut Registry, method: &str, target: &str, body: &str, status: u16) -> JsonValue {
    let call = r.call(method, target, None, body);
    r.commit_proposed();
    let rev = r.store.rev();
    for ticket in std::mem::take(&mut r.reads) {
        r.handle(Input::Store(FromStore::Reads { ticket, result: Ok(rev) }));
    }
    let (found, text) = r.answers[&call].clone();
    assert_eq!(found, status, "{method} {target}: {text}");
    if text.is_empty() { JsonValue::Null } else { told(&format!("{method} {target}"), &text) }
}

fn registry() -> Registry {
    let change = Change { base: 0, patch: false, body: config(1).into_bytes() };
    let up = |id, last| add_server(id, &format!("10.9.2.{last}:80"));
    let draining = Command::Servers(vec![ServerChange::Draining { id: "s2".into() }]);
    let evacuate = Command::Evacuate { zone: "south-b".into(), on: true };
    let commands = vec![
        Command::Configure(change),
        add_nodes(&[(1, "north-a"), (2, "north-b")]),
        up("s1", 1),
        up("s2", 2),
        draining,
        evacuate,
    ];
    let mut r = Registry::new(commands);
    r.set_store_standing(true, true);
    r.handle(Input::Proxy(5, Up::Hello { node: node(1, "north-a"), rev: 0 }));
    r
}

#[test]
fn the_names_in_views_of_a_registry_its_servers_and_its_proxies_are_listed() {
    let mut r = registry();
    let status = call(&mut r, "GET", "/api/status", "", 200);
    assert!(!status["core_list"].is_empty() && !status["follower_list"].is_empty(), "{status}");
    let instances = call(&mut r, "GET", "/api/instances", "", 200);
    assert_eq!(states(&instances).len(), 2, "available and draining: {instances}");
    let nodes = call(&mut r, "GET", "/api/nodes", "", 200);
    assert_eq!(nodes["node_list"].len(), 2);
    call(&mut r, "GET", "/api/drills/none", "", 404);
}

#[test]
fn the_names_in_views_of_drills_are_listed() {
    let mut r = registry();
    let body = r#"{"caller":{"tenant_name":"reed","header":{"header_name":"X-Client-Id","header_value":"c"}},
        "fault":{"fault_kind":"lost"},"count":2,"duration_ms":9000,"asked_by":"a","reason":"b"}"#;
    call(&mut r, "PUT", "/api/drills/x?dry_run=true", body, 200);
    let drill = Drill::read("x", body.as_bytes()).expect("a drill");
    let (epoch, _) = r.commit(Command::Drill(DrillChange::Start(Box::new(drill))));
    let said = vec![
        Said::Ask("try-1".into()),
        Said::Ask("try-2".into()),
        Said::Met { attempt: String::new(), grant: Some(1) },
    ];
    let rows = Rows { epoch, ip: node(1, "north-a").ip, life: 3, first: 1, said };
    r.commit(Command::Drill(DrillChange::Rows(vec![rows])));
    let running = call(&mut r, "GET", "/api/drills/x", "", 200);
    assert!(["met", "granted", "running"].iter().all(|s| states(&running).contains(*s)), "{running}");
    assert!(!running["node_list"].is_empty(), "{running}");
    let stop = DrillChange::Stop { name: "x".into(), epoch: None, why: "seen enough".into() };
    r.commit(Command::Drill(stop));
    let ended = call(&mut r, "GET", "/api/drills", "", 200);
    assert_eq!(ended["drill_list"][0]["drill_state"], "ended");
}

#[test]
fn the_names_in_views_of_a_rollout_are_listed_at_each_stage() {
    let mut r = registry();
    let order = r#"{"service_ref":"heron","target_version":"v2","rollout_term_s":10}"#;
    call(&mut r, "POST", "/api/rollouts", order, 200);
    let epoch = r.control_plane.copy.state.rollouts.0["heron"].epoch;
    let answers = || {
        let mut answers = Answers { ended: 400, failed: 1, times: Vec::new() };
        (0..399).for_each(|_| answers.took(200_000));
        answers
    };
    let route = cluster::rollout::RouteTally { route: 7, old: answers(), new: answers() };
    let (ip, rev) = (node(1, "north-a").ip, r.control_plane.copy.rev());
    let tally = Tally { ip, life: 1, count: 1, epoch, rev, old_out: 3, routes: vec![route] };
    r.handle(Input::Proxy(5, Up::Rollout(vec![tally])));
    let shown = call(&mut r, "GET", "/api/rollouts/heron", "", 200);
    assert!(!shown["old_side"]["median_ms"].is_null(), "{shown}");
    for to in [Stage::Partial, Stage::Whole, Stage::Completed, Stage::Reverted] {
        let rollout = r.control_plane.copy.state.rollouts.0.get_mut("heron").expect("a rollout");
        rollout.stage = to;
        let shown = call(&mut r, "GET", "/api/rollouts/heron", "", 200);
        assert_eq!(shown["stage"], to.name());
    }
    call(&mut r, "GET", "/api/rollouts", "", 200);
}

fn booking(unused: Unused) -> Booking {
    Booking {
        name: "launch".into(),
        tenants: vec!["reed".into()],
        routes: vec!["get".into()],
        service: "heron".into(),
        flight: 4,
        residence_ms: 1000,
        opens_ms: 1_800_000_000_000,
        closes_ms: 1_800_000_060_000,
        ramp_ms: 5,
        unused,
    }
}

#[test]
fn the_names_in_views_of_bookings_are_listed_in_each_phase() {
    let phases = [Phase::Planned, Phase::Open, Phase::Closing, Phase::Ended];
    for (n, phase) in phases.into_iter().enumerate() {
        let parts = BTreeMap::from([(node(1, "north-a").ip, 4)]);
        let booked = Booked {
            booking: booking(if n == 0 { Unused::Lend } else { Unused::Hold }),
            phase,
            epoch: 1,
            division: Division { number: 1, parts },
            cancelled: false,
            passed_ms: 0,
            noted_at: 0,
        };
        told("a booking", &bookings::booking_view(&booked).dump());
    }
    told("a full service", &bookings::no_room_answer("no room", 3).body);
    let mut r = registry();
    let day_ms = 1_700_000_000_000;
    r.control_plane.set_time_of_day(r.now, day_ms);
    let put = cluster::booking::BookChange::Put { booking: booking(Unused::Lend), base: 0, room: 9 };
    r.commit(Command::Book(put));
    let shown = call(&mut r, "GET", "/api/bookings/launch", "", 200);
    assert!(!shown["holder_list"].is_empty(), "{shown}");
    call(&mut r, "GET", "/api/bookings", "", 200);
}

/// So many that there is room to be booked when one of the zones is lost.
fn servers_of_two_zones() -> Command {
    let one = |n: u8| {
        let zone = ["north-a", "south-a"][usize::from(n % 2)];
        ServerChange::Up(Server {
            id: format!("room-{n}"),
            service: "heron".into(),
            addr: ([10, 9, 3, n], 80).into(),
            zone: zone.into(),
            slots: 4,
            draining: false,
            cold_ms: 0,
            noted_at: 0,
        })
    };
    Command::Servers((0..8).map(one).collect())
}

/// The other machine of the core tells its time of day, so that a majority has.
fn other_tells_day(r: &mut Registry, day_ms: u64) {
    let (servers, nodes, usage, heads) = Default::default();
    let (zone, leases, tallies) = ("south-a".into(), Vec::new(), Vec::new());
    let day_ms = Some(day_ms);
    r.handle(Input::Peer(Gossip {
        ip: PEER_IP,
        zone,
        servers,
        nodes,
        usage,
        heads,
        day_ms,
        leases,
        tallies,
    }));
}

#[test]
fn the_names_in_the_answer_to_a_booking_that_is_only_tried_are_listed() {
    let mut r = registry();
    r.commit(servers_of_two_zones());
    let day_ms = 1_700_000_000_000;
    r.control_plane.set_time_of_day(r.now, day_ms);
    other_tells_day(&mut r, day_ms);
    let body = format!(
        r#"{{"route_refs":["get"],"service_ref":"heron","opens_ms":{},"closes_ms":{},"flight_count":1}}"#,
        day_ms + 60_000,
        day_ms + 120_000
    );
    let tried = call(&mut r, "PUT", "/api/bookings/launch?dry_run=true", &body, 200);
    assert_eq!(tried["dry_run"], true, "{tried}");
}
