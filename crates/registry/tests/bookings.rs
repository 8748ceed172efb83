//! Bookings at the registry: calls, the time of day, the duty.

mod common;

use cluster::booking::{BookChange, Booking, Bookings, Phase, Unused, key};
use cluster::state::{Change, Command, NodeChange};
use cluster::talk::{Gossip, Seen, Up, Usage, Use};
use common::*;
use registry::board::{Input, Output};
use registry::bookings::{Clocks, Duty};
use std::collections::{BTreeSet, HashSet, VecDeque};
use std::net::Ipv4Addr;
use std::rc::Rc;

const DAY: u64 = 1_800_000_000_000;

fn configure() -> Command {
    Command::Configure(Change { base: 0, patch: false, body: config(1).into_bytes() })
}

/// Eight servers of four slots, half of them in each of two zones: 32, 16 without the larger zone, 12 to be booked.
fn grounds() -> Vec<Command> {
    let mut commands = vec![configure(), nodes(&[(1, "north-a"), (2, "north-b"), (3, "south-a")])];
    for n in 0..8 {
        let mut up = server(&format!("s{n}"), &format!("10.9.2.{n}:80"));
        if let Command::Servers(changes) = &mut up
            && let cluster::state::ServerChange::Up(s) = &mut changes[0]
            && n % 2 == 1
        {
            s.zone = "south-a".into();
        }
        commands.push(up);
    }
    commands
}

/// A registry and the time of day on it; `ahead_ms`: the other registry's against it.
struct Day {
    r: Registry,
    mine_ms: i64,
    ahead_ms: Option<i64>,
    count: u64,
    wanted: Vec<(u8, u32)>,
}

impl Day {
    fn new() -> Day {
        let r = Registry::new(grounds());
        let mut day = Day { r, mine_ms: 0, ahead_ms: Some(0), count: 1, wanted: Vec::new() };
        day.r.stands(true, true);
        day.pass(2 * SECOND);
        day
    }

    fn now_ms(&self) -> u64 {
        DAY + self.r.now / 1000
    }

    fn tell(&mut self) {
        self.r.board.tell_day(self.r.now, (self.now_ms() as i64 + self.mine_ms) as u64);
    }

    /// All of three proxies are heard, and all that the registry orders lands.
    fn pass(&mut self, us: u64) {
        let end = self.r.now + us;
        while self.r.now < end {
            self.r.now = (self.r.now + BEAT / 6).min(end);
            self.count += 1;
            self.tell();
            let life = 9;
            let report = |n: u8| {
                let ip = node(n, "north-a").ip;
                let seen = Seen { ip, life, count: self.count, ready: true, rev: 0, suspects: vec![] };
                let mine = self.wanted.iter().filter(|w| w.0 == n);
                let tenants = mine
                    .map(|w| Use { tenant: key("launch"), wanted: w.1 * 1000, used: w.1 * 500 })
                    .collect();
                (seen, Usage { ip, life, count: self.count, tenants })
            };
            let (nodes, usage) = [1, 2, 3].map(report).into_iter().unzip();
            let now_ms = self.now_ms() as i64;
            let day_ms = self.ahead_ms.map(|ahead| (now_ms + ahead) as u64);
            let (zone, servers, heads) = ("south-a".into(), Vec::new(), Vec::new());
            self.r.tell(Input::Peer(Gossip {
                ip: OTHER,
                zone,
                servers,
                nodes,
                usage,
                heads,
                day_ms,
                leases: vec![],
                tallies: vec![],
            }));
            self.r.land();
        }
    }

    fn put(&mut self, body: &str) -> (u16, String) {
        self.call("PUT", "/api/bookings/launch", None, body)
    }

    fn call(&mut self, method: &str, target: &str, base: Option<&str>, body: &str) -> (u16, String) {
        self.tell();
        let call = self.r.call(method, target, base, body);
        self.r.land();
        self.r.answers.get(&call).cloned().expect("an answer")
    }

    fn phase(&self) -> Phase {
        self.r.board.copy.state.bookings["launch"].phase
    }
}

fn body(more: &str, opens_ms: u64, closes_ms: u64) -> String {
    format!(
        r#"{{"route_refs":["get"],"service_ref":"heron","opens_ms":{opens_ms},"closes_ms":{closes_ms},{more}}}"#
    )
}

#[test]
fn a_booking_is_answered_by_what_became_of_it() {
    let mut day = Day::new();
    let (opens, closes) = (day.now_ms() + 60_000, day.now_ms() + 120_000);
    let good = body(r#""flight_count":8"#, opens, closes);
    let dry = day.call("PUT", "/api/bookings/launch?dry_run=true", None, &good);
    let said = jzon::parse(&dry.1).expect("JSON");
    assert_eq!((dry.0, &said["room_count"], &said["free_count"]), (200, &12.into(), &12.into()));
    assert!(day.r.board.copy.state.bookings.is_empty());
    assert_eq!(day.put(&good).0, 200);
    assert_eq!(day.put(&good).0, 200, "the same again");
    let (status, why) = day.put(&body(r#""flight_count":9"#, opens, closes));
    assert_eq!(status, 412, "{why}");
    // By Little's law, with the route's deadline as its aim: 8 a second for two seconds.
    let (status, why) = day.call(
        "PUT",
        "/api/bookings/other",
        None,
        &body(r#""rate_per_s":8,"unused_room":"hold""#, opens, closes),
    );
    assert_eq!(status, 409, "{why}");
    assert_eq!(jzon::parse(&why).expect("JSON")["free_count"], 4);
    let changed =
        day.call("PUT", "/api/bookings/launch", Some("1"), &body(r#""flight_count":9"#, opens, closes));
    assert_eq!(changed.0, 200, "{}", changed.1);
    let shown = jzon::parse(&day.call("GET", "/api/bookings/launch", None, "").1).expect("JSON");
    let told =
        (&shown["booking_phase"], &shown["flight_count"], &shown["rate_per_s"], &shown["booking_epoch"]);
    assert_eq!(told, (&"planned".into(), &9.into(), &4.5.into(), &"00000002".into()));
    assert_eq!(day.call("DELETE", "/api/bookings/launch", None, "").0, 200);
    assert_eq!(day.call("DELETE", "/api/bookings/launch", None, "").0, 200, "the same again");
    assert_eq!(day.call("DELETE", "/api/bookings/nobody", None, "").0, 404);
}

#[test]
fn a_booking_that_cannot_be_had_is_refused_with_the_field_or_the_free_room() {
    let mut day = Day::new();
    let now = day.now_ms();
    let (soon, later) = (now + 60_000, now + 120_000);
    let flight = r#""flight_count":8"#;
    for (body, status, words) in [
        ("{".to_string(), 400, "not JSON"),
        (body(flight, now - 9_000, now - 5_000), 422, "closes_ms"),
        (body(flight, later, soon), 422, "closes_ms"),
        (body(r#""flight_count":0"#, soon, later), 422, "flight_count"),
        (body(r#""flight_count":8,"rate_per_s":4"#, soon, later), 422, "rate_per_s"),
        (body(r#""flight_count":8,"ramp_ms":30001"#, soon, later), 422, "ramp_ms"),
        (body(flight, soon, later).replace("\"get\"", "\"put\""), 422, "route_refs[0]"),
        (body(flight, soon, later).replace("heron", "stilt"), 422, "service_ref"),
        (body(flight, soon, later).replace("\"get\"", ""), 422, "tenant_refs"),
        (body(r#""flight_count":8,"tenant_refs":["rush"]"#, soon, later), 422, "tenant_refs[0]"),
        (body(r#""flight_count":13"#, soon, later), 409, "12 in flight are free"),
    ] {
        let (is, why) = day.put(&body);
        assert_eq!((is, why.contains(words)), (status, true), "{body}: {why}");
    }
    // Twenty a second for two seconds are 40 in flight: the tenant's own quota does not bind here; with an evacuated
    // zone only its other servers count, and a cold one counts once it is warm.
    day.r.lands(Command::Evacuate { zone: "south-a".into(), on: true });
    assert_eq!(day.put(&body(r#""flight_count":1"#, soon, later)).0, 409, "the last zone may be lost too");
    day.r.lands(Command::Evacuate { zone: "south-a".into(), on: false });
    let cold = |left_ms| {
        let ids = (0..8).map(|n| format!("s{n}"));
        Command::Servers(ids.map(|id| cluster::state::ServerChange::Cold { id, left_ms }).collect())
    };
    day.r.lands(cold(90_000));
    assert_eq!(day.put(&body(r#""flight_count":1"#, soon, later)).0, 409, "cold when it opens");
    day.r.lands(cold(30_000));
    assert_eq!(day.put(&body(r#""flight_count":12"#, soon, later)).0, 200);
}

#[test]
fn a_booking_lifts_no_quota() {
    let mut day = Day::new();
    let (soon, later) = (day.now_ms() + 60_000, day.now_ms() + 120_000);
    let small = config(2).replace(r#"["k1"],20,4"#, r#"["k1"],2,4"#);
    day.r.lands(Command::Configure(Change { base: 1, patch: false, body: small.into_bytes() }));
    let (status, why) = day.put(&body(r#""tenant_refs":["reed"],"flight_count":5"#, soon, later));
    assert_eq!((status, why.contains("quotas") && why.contains("4 in flight")), (409, true), "{why}");
    assert_eq!(day.put(&body(r#""tenant_refs":["reed"],"flight_count":3"#, soon, later)).0, 200);
    // Another one of the same tenant has what is left.
    let other = body(r#""tenant_refs":["reed"],"flight_count":2"#, soon, later);
    let (status, why) = day.call("PUT", "/api/bookings/other", None, &other);
    assert_eq!((status, why.contains("1 in flight")), (409, true), "{why}");
}

#[test]
fn a_booking_is_divided_before_it_opens_and_follows_demand() {
    let mut day = Day::new();
    let (opens, closes) = (day.now_ms() + 60_000, day.now_ms() + 120_000);
    assert_eq!(day.put(&body(r#""flight_count":12"#, opens, closes)).0, 200);
    day.pass(20 * SECOND);
    let division = |day: &Day| day.r.board.copy.state.bookings["launch"].division.clone();
    assert_eq!(division(&day).number, 0, "much too early");
    day.pass(39 * SECOND);
    assert_eq!((day.phase(), division(&day).number), (Phase::Planned, 1));
    assert_eq!(division(&day).parts.into_values().collect::<Vec<_>>(), [4, 4, 4]);
    day.pass(2 * SECOND);
    assert_eq!(day.phase(), Phase::Open);
    day.wanted = vec![(1, 30), (2, 30), (3, 30)];
    day.pass(10 * SECOND);
    assert_eq!(division(&day).number, 1, "nothing has moved");
    day.wanted = vec![(1, 90)];
    day.pass(10 * SECOND);
    let parts = division(&day).parts;
    assert_eq!((division(&day).number, parts.into_values().collect::<Vec<_>>()), (2, vec![10, 1, 1]));
    // One is written off: its part goes to the others.
    day.r.lands(Command::Nodes(vec![NodeChange::Gone { ip: node(1, "north-a").ip }]));
    day.pass(3 * SECOND);
    assert_eq!((division(&day).number, division(&day).sum()), (3, 12));
    let shown = jzon::parse(&day.call("GET", "/api/bookings/launch", None, "").1).expect("JSON");
    assert_eq!((&shown["divided_count"], shown["holder_list"].len()), (&12.into(), 2));
    day.pass(60 * SECOND);
    assert_eq!((day.phase(), division(&day).sum()), (Phase::Ended, 0));
}

#[test]
fn a_clock_that_jumps_turns_nothing_and_too_few_clocks_turn_nothing() {
    for (mine, other) in [(3_600_000, 0), (-3_600_000, 0), (0, 3_600_000), (0, -3_600_000)] {
        let mut day = Day::new();
        let (opens, closes) = (day.now_ms() + 30_000, day.now_ms() + 90_000);
        assert_eq!(day.put(&body(r#""flight_count":12"#, opens, closes)).0, 200);
        day.pass(20 * SECOND);
        (day.mine_ms, day.ahead_ms) = (mine, Some(other));
        day.pass(9 * SECOND);
        assert_eq!(day.phase(), Phase::Planned, "{mine} {other}");
        day.pass(2 * SECOND);
        assert_eq!(day.phase(), Phase::Open, "{mine} {other}");
        day.pass(61 * SECOND);
        assert!(day.phase() >= Phase::Closing, "{mine} {other}");
    }
    let mut day = Day::new();
    let (opens, closes) = (day.now_ms() + 30_000, day.now_ms() + 90_000);
    assert_eq!(day.put(&body(r#""flight_count":12"#, opens, closes)).0, 200);
    day.ahead_ms = None;
    day.pass(40 * SECOND);
    assert_eq!(day.phase(), Phase::Planned, "its own clock is one of two");
    day.ahead_ms = Some(0);
    day.pass(SECOND);
    assert_eq!(day.phase(), Phase::Open);
}

#[test]
fn a_leader_that_is_lost_at_the_opening_opens_nothing_twice() {
    let mut day = Day::new();
    let (opens, closes) = (day.now_ms() + 30_000, day.now_ms() + 90_000);
    assert_eq!(day.put(&body(r#""flight_count":12"#, opens, closes)).0, 200);
    day.pass(29 * SECOND);
    // The order is given, and the leader is lost with it.
    day.r.wait(2 * SECOND);
    day.tell();
    let heard = day.now_ms();
    let (zone, servers, nodes) = ("south-a".to_string(), Vec::new(), Vec::new());
    let (usage, heads, day_ms) = (Vec::new(), Vec::new(), Some(heard));
    day.r.tell(Input::Peer(Gossip {
        ip: OTHER,
        zone,
        servers,
        nodes,
        usage,
        heads,
        day_ms,
        leases: vec![],
        tallies: vec![],
    }));
    let orders = std::mem::take(&mut day.r.proposed);
    let late = orders.into_iter().find(|(_, c)| matches!(c, Command::Book(BookChange::Phase { .. })));
    let (_, late) = late.expect("an order to open");
    day.r.stands(false, false);
    // The registry beside the next leader opens it; then the first order comes after all.
    let open = BookChange::Phase { name: "launch".into(), epoch: 1, phase: Phase::Open };
    day.r.lands(Command::Book(open));
    let before = day.r.board.copy.state.bookings["launch"].clone();
    day.r.lands(late);
    assert_eq!(day.r.board.copy.state.bookings["launch"], before);
    // Without the duty nothing is ordered, however late it is.
    day.pass(100 * SECOND);
    assert_eq!(day.phase(), Phase::Open);
    day.r.stands(true, true);
    day.pass(4 * SECOND);
    assert!(day.phase() > Phase::Open);
}

#[test]
fn without_a_booking_no_time_is_told_and_nothing_ordered() {
    let mut r = Registry::new(grounds());
    r.stands(true, true);
    for _ in 0..20 {
        r.now += BEAT / 3;
        r.board.tell_day(r.now, DAY);
        r.tell(Input::Tick);
        let told = r.out.iter().filter_map(|o| match o {
            Output::Peer(_, gossip) => Some(gossip.day_ms),
            _ => None,
        });
        assert!(told.clone().all(|day| day.is_none()));
    }
    let book = |c: &(u64, Command)| matches!(c.1, Command::Book(_));
    assert!(!r.proposed.iter().any(book));
    // Nor do pseudo tenants count as tenants: a report of one makes no reading.
    let usage = Usage {
        ip: node(1, "north-a").ip,
        life: 1,
        count: 1,
        tenants: vec![Use { tenant: key("launch"), wanted: 9000, used: 9000 }],
    };
    r.tell(Input::Proxy(1, Up::Report { rev: 0, head: None, seen: vec![], usage: vec![usage] }));
    r.wait(BEAT);
    assert!(!r.out.iter().any(|o| matches!(o, Output::Proxy(_, cluster::talk::Down::Meter(..)))));
}

// ---- all courses of a small installation ----

const OPENS: u64 = 2;
const CLOSES: u64 = 4;
const LAST: u64 = 5;

/// Three registries, one of whose clocks has jumped; what each has ordered may come late; three proxies that hear.
#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    /// True time.
    time: u64,
    /// Whose clock has jumped, and whether forward.
    jumped: Option<(usize, bool)>,
    leads: usize,
    ordered: [Option<(u64, Phase)>; 3],
    phase: Phase,
    /// When it opened.
    opened: Option<u64>,
    proxies: [Phase; 3],
}

/// A course on which a phase is early or goes back; and how many states there are. `by_middle`: as it is meant; else
/// each registry goes by its own clock.
fn search(by_middle: bool) -> (Option<World>, usize) {
    let booking = Booking {
        name: "launch".into(),
        tenants: vec!["reed".into()],
        routes: vec![],
        service: "heron".into(),
        flight: 1,
        residence_ms: 100,
        opens_ms: DAY + OPENS,
        closes_ms: DAY + CLOSES,
        ramp_ms: 0,
        unused: Unused::Hold,
    };
    let mut agreed = Bookings::default();
    agreed.apply(0, &BookChange::Put { booking, base: 0, room: 1 }).expect("room");
    let first = World {
        time: 0,
        jumped: None,
        leads: 0,
        ordered: [None; 3],
        phase: Phase::Planned,
        opened: None,
        proxies: [Phase::Planned; 3],
    };
    let duty = Duty::new(1, 0);
    let mut seen = HashSet::from([first.clone()]);
    let mut queue = VecDeque::from([(Rc::new(agreed), first)]);
    while let Some((agreed, world)) = queue.pop_front() {
        let early = world.opened.is_some_and(|at| at < OPENS)
            || (world.phase >= Phase::Closing && world.time < CLOSES);
        if early || world.proxies.iter().any(|p| *p > world.phase) {
            return (Some(world), seen.len());
        }
        let mut next: Vec<(Rc<Bookings>, World)> = Vec::new();
        if world.time < LAST {
            next.push((agreed.clone(), World { time: world.time + 1, ..world.clone() }));
        }
        if world.jumped.is_none() {
            for jump in (0..3).flat_map(|r| [(r, true), (r, false)]) {
                next.push((agreed.clone(), World { jumped: Some(jump), ..world.clone() }));
            }
        }
        for leads in 0..3 {
            next.push((agreed.clone(), World { leads, ..world.clone() }));
        }
        let clock = |r: usize| match world.jumped {
            Some((who, true)) if who == r => DAY + world.time + 1000,
            Some((who, false)) if who == r => DAY + world.time - 1000,
            _ => DAY + world.time,
        };
        let mut clocks = Clocks::new(1);
        clocks.set(0, clock(world.leads));
        if by_middle {
            for r in (0..3).filter(|r| *r != world.leads) {
                clocks.heard(0, Ipv4Addr::new(10, 0, 0, r as u8), clock(r));
            }
        }
        let (day_ms, _) = clocks.read(0).expect("a clock");
        let due = duty.due(0, day_ms, &agreed, &BTreeSet::new(), |_, _| 0);
        if let Some(BookChange::Phase { epoch, phase, .. }) = due {
            let mut on = world.clone();
            on.ordered[world.leads] = Some((epoch, phase));
            next.push((agreed.clone(), on));
        }
        for (r, ordered) in world.ordered.iter().enumerate() {
            let Some((epoch, phase)) = *ordered else { continue };
            let (mut changed, mut on) = (Bookings::clone(&agreed), world.clone());
            on.ordered[r] = None;
            let order = BookChange::Phase { name: "launch".into(), epoch, phase };
            if changed.apply(0, &order).is_ok() {
                on.phase = phase;
                on.opened = if phase == Phase::Open { Some(world.time) } else { world.opened };
                next.push((Rc::new(changed), on));
            } else {
                assert_eq!(changed, *agreed, "what comes late changes nothing");
                next.push((agreed.clone(), on));
            }
        }
        for n in 0..3 {
            let mut on = world.clone();
            on.proxies[n] = world.phase;
            on.proxies.sort(); // which of them it is makes no difference
            next.push((agreed.clone(), on));
        }
        for (agreed, world) in next {
            if seen.insert(world.clone()) {
                queue.push_back((agreed, world));
            }
        }
    }
    (None, seen.len())
}

#[test]
fn no_course_with_one_clock_wrong_opens_or_closes_early() {
    let (early, states) = search(true);
    assert!(early.is_none());
    assert!(states > 10_000, "{states} states are not all courses");
    assert!(search(false).0.is_some(), "each by its own clock does");
}
