//! What the registry tells operators of itself, of servers and of proxies.

use cluster::state::{Command, Node, NodeChange, Server, ServerChange};
use cluster::talk::{FromStore, News, Seen, Up};
use jzon::JsonValue;
use registry::board::{Board, Input, Output, Terms};
use registry::calls::Request;
use std::net::Ipv4Addr;

const ME: Ipv4Addr = Ipv4Addr::new(10, 9, 0, 4);
const SECOND: u64 = 1_000_000;

fn board() -> Board {
    let zones = [("north-a", "north"), ("south-a", "south")];
    let terms = Terms {
        me: ME,
        zone: "north-a".into(),
        zones: zones.map(|(z, r)| (z.to_string(), r.to_string())).into(),
        beat_us: SECOND,
        ttl_s: 5.0,
        sync_us: 4 * SECOND,
        settle_us: 2 * SECOND,
        zones_lost: 1,
        repeat_us: 10 * SECOND,
    };
    Board::new(terms, 0)
}

fn call(board: &mut Board, now: u64, method: &str, target: &str, body: &str) -> (u16, JsonValue) {
    let request = Request { method: method.into(), target: target.into(), if_match: None, body: body.into() };
    let mut out = Vec::new();
    board.handle(now, Input::Call(1, request), &mut out);
    let answer = out.into_iter().find_map(|o| match o {
        Output::Answer(1, answer) => Some(answer),
        _ => None,
    });
    let answer = answer.expect("answered at once");
    (answer.status, jzon::parse(&answer.body).expect("JSON"))
}

fn node(last: u8) -> Node {
    let ip = Ipv4Addr::new(10, 9, 1, last);
    let (name, front) = (format!("edge-{last}"), (ip, 8686).into());
    Node { ip, name, zone: "north-a".into(), region: "north".into(), front }
}

fn learn(board: &mut Board, now: u64) {
    let server = |id: &str, cold_ms| Server {
        id: id.into(),
        service: "heron".into(),
        addr: "10.9.2.1:80".parse().unwrap(),
        zone: "south-a".into(),
        slots: 2,
        draining: false,
        cold_ms,
        noted_at: 0,
    };
    let commands = vec![
        (2, Command::Nodes(vec![NodeChange::Up(node(1)), NodeChange::Up(node(2))])),
        (3, Command::Servers(vec![ServerChange::Up(server("i-1", 2500))])),
        (4, Command::Evacuate { zone: "south-a".into(), on: true }),
    ];
    let mut out = Vec::new();
    board.handle(now, Input::StoreUp, &mut out);
    let news = News::Run { from: 0, to: 5, commands };
    board.handle(now, Input::Store(FromStore::News(news)), &mut out);
    stands(board, now);
}

/// The store answers that it leads and holds all that is agreed.
fn stands(board: &mut Board, now: u64) {
    let core = vec![ME, Ipv4Addr::new(10, 9, 0, 5)];
    let standing = FromStore::Standing { core, fresh_ms: Some(0), leads: true, term: 1, asked: now };
    board.handle(now, Input::Store(standing), &mut Vec::new());
}

#[test]
fn a_registry_that_knows_nothing_says_so() {
    let mut board = board();
    let (status, body) = call(&mut board, 0, "GET", "/api/status", "");
    assert_eq!(status, 200);
    assert_eq!((&body["answered_by"], &body["revision"]), (&ME.to_string().into(), &0.into()));
    assert!(body["config_version"].is_null());
    assert_eq!((&body["fresh"], &body["leads"]), (&false.into(), &false.into()));
    assert!(call(&mut board, 0, "GET", "/api/instances", "").1["instance_list"].is_empty());
    assert!(call(&mut board, 0, "GET", "/api/nodes", "").1["node_list"].is_empty());
}

#[test]
fn the_state_and_what_was_heard_are_shown_without_asking_the_store() {
    let mut board = board();
    learn(&mut board, SECOND);
    stands(&mut board, 2 * SECOND);
    let (_, body) = call(&mut board, 2 * SECOND, "GET", "/api/instances", "");
    let server = &body["instance_list"][0];
    assert_eq!(body["revision"], 5);
    assert_eq!((&server["server_id"], &server["cold_left_ms"]), (&"i-1".into(), &1500.into()));
    assert!(server["heard_ms_ago"].is_null(), "it has not called since this registry started");

    let beat =
        r#"{"server_address":"10.9.2.1:80","status_report":{"server_state":"available","call_sequence":3}}"#;
    assert_eq!(call(&mut board, 2 * SECOND, "PUT", "/api/instances/i-1", beat).0, 200);
    let mut out = Vec::new();
    board.handle(2 * SECOND, Input::Proxy(7, Up::Hello { node: node(1), rev: 0 }), &mut out);
    let seen = Seen { ip: node(1).ip, life: 9, count: 1, ready: true, rev: 3, suspects: vec![] };
    let report = Up::Report { rev: 3, head: None, seen: vec![seen], usage: Vec::new() };
    board.handle(2 * SECOND, Input::Proxy(7, report), &mut out);

    let now = 2 * SECOND + 250_000;
    let (_, body) = call(&mut board, now, "GET", "/api/instances", "");
    assert_eq!(body["instance_list"][0]["heard_ms_ago"], 250);
    let (_, body) = call(&mut board, now, "GET", "/api/nodes", "");
    let (one, two) = (&body["node_list"][0], &body["node_list"][1]);
    assert_eq!((&one["ready"], &one["heard_ms_ago"]), (&true.into(), &250.into()));
    assert_eq!(one["revision"], 3, "what it reported, not what it was sent");
    assert!(two["ready"].is_null() && two["heard_ms_ago"].is_null() && two["revision"].is_null());
    let (_, body) = call(&mut board, now, "GET", "/api/status", "");
    assert_eq!((&body["fresh"], &body["leads"]), (&true.into(), &true.into()));
    assert_eq!(body["evacuated_zones"], jzon::array!["south-a"]);
    assert_eq!(body["core_list"][0]["zone_name"], "north-a");
    assert!(body["core_list"][1]["zone_name"].is_null(), "that machine has not said where it is");
    assert_eq!(body["follower_list"].len(), 1);
    assert_eq!(body["follower_list"][0]["revision"], 3);
    board.handle(now, Input::StoreDown, &mut out);
    assert_eq!(call(&mut board, now, "GET", "/api/status", "").1["fresh"], false);
}
