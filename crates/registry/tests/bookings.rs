//! Bookings at the registry: calls, the time of day, and the scheduling of their changes.

mod common;

use cluster::booking::{BookChange, Booking, Bookings, Phase, Unused, key};
use cluster::state::{Change, Command, NodeChange};
use cluster::talk::{Gossip, Seen, Up, Usage, Use};
use common::*;
use registry::bookings::{BookingScheduler, Clocks};
use registry::control_plane::{Input, Output};
use std::collections::{BTreeSet, HashSet, VecDeque};
use std::net::Ipv4Addr;
use std::rc::Rc;

/// The time of day at simulated time 0, in milliseconds since 1970.
const TIME_AT_ZERO_MS: u64 = 1_800_000_000_000;

fn configure() -> Command {
    Command::Configure(Change { base: 0, patch: false, body: config(1).into_bytes() })
}

/// Eight servers with four slots each, half of them in each of two zones: 32 slots, 16 without the larger zone, 12 of
/// which can be booked.
fn initial_commands() -> Vec<Command> {
    let mut commands = vec![configure(), add_nodes(&[(1, "north-a"), (2, "north-b"), (3, "south-a")])];
    for n in 0..8 {
        let mut up = add_server(&format!("s{n}"), &format!("10.9.2.{n}:80"));
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

/// A registry with a time of day. The offsets are those of its own clock and of the other registry's from true time;
/// none: the other registry sends no time.
struct Day {
    r: Registry,
    own_offset_ms: i64,
    peer_offset_ms: Option<i64>,
    count: u64,
    wanted: Vec<(u8, u32)>,
}

impl Day {
    fn new() -> Day {
        let r = Registry::new(initial_commands());
        let mut day = Day { r, own_offset_ms: 0, peer_offset_ms: Some(0), count: 1, wanted: Vec::new() };
        day.r.set_store_standing(true, true);
        day.run_for(2 * SECOND);
        day
    }

    fn now_ms(&self) -> u64 {
        TIME_AT_ZERO_MS + self.r.now / 1000
    }

    fn set_time_of_day(&mut self) {
        self.r.control_plane.set_time_of_day(self.r.now, (self.now_ms() as i64 + self.own_offset_ms) as u64);
    }

    /// Lets time pass while all three proxies are heard and everything the registry proposes commits.
    fn run_for(&mut self, us: u64) {
        let end = self.r.now + us;
        while self.r.now < end {
            self.r.now = (self.r.now + HEARTBEAT / 6).min(end);
            self.count += 1;
            self.set_time_of_day();
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
            let day_ms = self.peer_offset_ms.map(|ahead| (now_ms + ahead) as u64);
            let (zone, servers, heads) = ("south-a".into(), Vec::new(), Vec::new());
            self.r.handle(Input::Peer(Gossip {
                ip: PEER_IP,
                zone,
                servers,
                nodes,
                usage,
                heads,
                day_ms,
                leases: vec![],
                tallies: vec![],
            }));
            self.r.commit_proposed();
        }
    }

    fn put(&mut self, body: &str) -> (u16, String) {
        self.call("PUT", "/api/bookings/launch", None, body)
    }

    fn call(&mut self, method: &str, target: &str, base: Option<&str>, body: &str) -> (u16, String) {
        self.set_time_of_day();
        let call = self.r.call(method, target, base, body);
        self.r.commit_proposed();
        self.r.answers.get(&call).cloned().expect("an answer")
    }

    fn phase(&self) -> Phase {
        self.r.control_plane.copy.state.bookings["launch"].phase
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
    let answer = jzon::parse(&dry.1).expect("JSON");
    assert_eq!((dry.0, &answer["room_count"], &answer["free_count"]), (200, &12.into(), &12.into()));
    assert!(day.r.control_plane.copy.state.bookings.is_empty());
    assert_eq!(day.put(&good).0, 200);
    assert_eq!(day.put(&good).0, 200, "the same again");
    let (status, why) = day.put(&body(r#""flight_count":9"#, opens, closes));
    assert_eq!(status, 412, "{why}");
    // By Little's law with the route's deadline as the residence time: 8 requests per second for two seconds are 16
    // in flight.
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
    let fields =
        (&shown["booking_phase"], &shown["flight_count"], &shown["rate_per_s"], &shown["booking_epoch"]);
    assert_eq!(fields, (&"planned".into(), &9.into(), &4.5.into(), &"00000002".into()));
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
    // 20 requests per second for two seconds are 40 in flight, so the tenant's quota is not the limit here. With one
    // zone evacuated only the servers of the other count, and a cold server counts once it is warm.
    day.r.commit(Command::Evacuate { zone: "south-a".into(), on: true });
    assert_eq!(day.put(&body(r#""flight_count":1"#, soon, later)).0, 409, "the last zone may fail too");
    day.r.commit(Command::Evacuate { zone: "south-a".into(), on: false });
    let cold = |left_ms| {
        let ids = (0..8).map(|n| format!("s{n}"));
        Command::Servers(ids.map(|id| cluster::state::ServerChange::Cold { id, left_ms }).collect())
    };
    day.r.commit(cold(90_000));
    assert_eq!(day.put(&body(r#""flight_count":1"#, soon, later)).0, 409, "cold when it opens");
    day.r.commit(cold(30_000));
    assert_eq!(day.put(&body(r#""flight_count":12"#, soon, later)).0, 200);
}

#[test]
fn a_booking_lifts_no_quota() {
    let mut day = Day::new();
    let (soon, later) = (day.now_ms() + 60_000, day.now_ms() + 120_000);
    let small = config(2).replace(r#"["k1"],20,4"#, r#"["k1"],2,4"#);
    day.r.commit(Command::Configure(Change { base: 1, patch: false, body: small.into_bytes() }));
    let (status, why) = day.put(&body(r#""tenant_refs":["reed"],"flight_count":5"#, soon, later));
    assert_eq!((status, why.contains("quotas") && why.contains("4 in flight")), (409, true), "{why}");
    assert_eq!(day.put(&body(r#""tenant_refs":["reed"],"flight_count":3"#, soon, later)).0, 200);
    // Another booking of the same tenant gets what is left.
    let other = body(r#""tenant_refs":["reed"],"flight_count":2"#, soon, later);
    let (status, why) = day.call("PUT", "/api/bookings/other", None, &other);
    assert_eq!((status, why.contains("1 in flight")), (409, true), "{why}");
}

#[test]
fn a_booking_is_divided_before_it_opens_and_follows_demand() {
    let mut day = Day::new();
    let (opens, closes) = (day.now_ms() + 60_000, day.now_ms() + 120_000);
    assert_eq!(day.put(&body(r#""flight_count":12"#, opens, closes)).0, 200);
    day.run_for(20 * SECOND);
    let division = |day: &Day| day.r.control_plane.copy.state.bookings["launch"].division.clone();
    assert_eq!(division(&day).number, 0, "much too early");
    day.run_for(39 * SECOND);
    assert_eq!((day.phase(), division(&day).number), (Phase::Planned, 1));
    assert_eq!(division(&day).parts.into_values().collect::<Vec<_>>(), [4, 4, 4]);
    day.run_for(2 * SECOND);
    assert_eq!(day.phase(), Phase::Open);
    day.wanted = vec![(1, 30), (2, 30), (3, 30)];
    day.run_for(10 * SECOND);
    assert_eq!(division(&day).number, 1, "demand has not changed");
    day.wanted = vec![(1, 90)];
    day.run_for(10 * SECOND);
    let parts = division(&day).parts;
    assert_eq!((division(&day).number, parts.into_values().collect::<Vec<_>>()), (2, vec![10, 1, 1]));
    // One proxy is removed: its part goes to the others.
    day.r.commit(Command::Nodes(vec![NodeChange::Gone { ip: node(1, "north-a").ip }]));
    day.run_for(3 * SECOND);
    assert_eq!((division(&day).number, division(&day).sum()), (3, 12));
    let shown = jzon::parse(&day.call("GET", "/api/bookings/launch", None, "").1).expect("JSON");
    assert_eq!((&shown["divided_count"], shown["holder_list"].len()), (&12.into(), 2));
    day.run_for(60 * SECOND);
    assert_eq!((day.phase(), division(&day).sum()), (Phase::Ended, 0));
}

#[test]
fn a_clock_that_jumps_turns_nothing_and_too_few_clocks_turn_nothing() {
    for (mine, other) in [(3_600_000, 0), (-3_600_000, 0), (0, 3_600_000), (0, -3_600_000)] {
        let mut day = Day::new();
        let (opens, closes) = (day.now_ms() + 30_000, day.now_ms() + 90_000);
        assert_eq!(day.put(&body(r#""flight_count":12"#, opens, closes)).0, 200);
        day.run_for(20 * SECOND);
        (day.own_offset_ms, day.peer_offset_ms) = (mine, Some(other));
        day.run_for(9 * SECOND);
        assert_eq!(day.phase(), Phase::Planned, "{mine} {other}");
        day.run_for(2 * SECOND);
        assert_eq!(day.phase(), Phase::Open, "{mine} {other}");
        day.run_for(61 * SECOND);
        assert!(day.phase() >= Phase::Closing, "{mine} {other}");
    }
    let mut day = Day::new();
    let (opens, closes) = (day.now_ms() + 30_000, day.now_ms() + 90_000);
    assert_eq!(day.put(&body(r#""flight_count":12"#, opens, closes)).0, 200);
    day.peer_offset_ms = None;
    day.run_for(40 * SECOND);
    assert_eq!(day.phase(), Phase::Planned, "its own clock is one of two");
    day.peer_offset_ms = Some(0);
    day.run_for(SECOND);
    assert_eq!(day.phase(), Phase::Open);
}

#[test]
fn a_leader_that_is_lost_at_the_opening_opens_nothing_twice() {
    let mut day = Day::new();
    let (opens, closes) = (day.now_ms() + 30_000, day.now_ms() + 90_000);
    assert_eq!(day.put(&body(r#""flight_count":12"#, opens, closes)).0, 200);
    day.run_for(29 * SECOND);
    // The change is proposed, and the leader is lost with it.
    day.r.run_for(2 * SECOND);
    day.set_time_of_day();
    let heard = day.now_ms();
    let (zone, servers, nodes) = ("south-a".to_string(), Vec::new(), Vec::new());
    let (usage, heads, day_ms) = (Vec::new(), Vec::new(), Some(heard));
    day.r.handle(Input::Peer(Gossip {
        ip: PEER_IP,
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
    day.r.set_store_standing(false, false);
    // The registry of the next leader opens the booking; then the first change commits after all.
    let open = BookChange::Phase { name: "launch".into(), epoch: 1, phase: Phase::Open };
    day.r.commit(Command::Book(open));
    let before = day.r.control_plane.copy.state.bookings["launch"].clone();
    day.r.commit(late);
    assert_eq!(day.r.control_plane.copy.state.bookings["launch"], before);
    // A registry that is not the leader's proposes nothing, however late it is.
    day.run_for(100 * SECOND);
    assert_eq!(day.phase(), Phase::Open);
    day.r.set_store_standing(true, true);
    day.run_for(4 * SECOND);
    assert!(day.phase() > Phase::Open);
}

#[test]
fn without_bookings_no_time_of_day_is_gossiped_and_nothing_is_proposed() {
    let mut r = Registry::new(initial_commands());
    r.set_store_standing(true, true);
    for _ in 0..20 {
        r.now += HEARTBEAT / 3;
        r.control_plane.set_time_of_day(r.now, TIME_AT_ZERO_MS);
        r.handle(Input::Tick);
        let gossiped = r.out.iter().filter_map(|o| match o {
            Output::Peer(_, gossip) => Some(gossip.day_ms),
            _ => None,
        });
        assert!(gossiped.clone().all(|day| day.is_none()));
    }
    let book = |c: &(u64, Command)| matches!(c.1, Command::Book(_));
    assert!(!r.proposed.iter().any(book));
    // The key of a booking is not a tenant either: a report under it makes no reading.
    let usage = Usage {
        ip: node(1, "north-a").ip,
        life: 1,
        count: 1,
        tenants: vec![Use { tenant: key("launch"), wanted: 9000, used: 9000 }],
    };
    r.handle(Input::Proxy(1, Up::Report { rev: 0, head: None, seen: vec![], usage: vec![usage] }));
    r.run_for(HEARTBEAT);
    assert!(!r.out.iter().any(|o| matches!(o, Output::Proxy(_, cluster::talk::Down::Meter(..)))));
}

// ---- all sequences of events of a small installation ----

/// In milliseconds of true time.
const OPENS_AT: u64 = 2;
const CLOSES_AT: u64 = 4;
const LAST_TIME: u64 = 5;

/// A state of the model: three registries, one of whose clocks has jumped and whose changes may commit late, and
/// three proxies that learn of the phase.
#[derive(Clone, PartialEq, Eq, Hash)]
struct ModelState {
    /// True time.
    time: u64,
    /// Whose clock has jumped, and whether forward.
    jumped: Option<(usize, bool)>,
    leads: usize,
    ordered: [Option<(u64, Phase)>; 3],
    phase: Phase,
    /// When the booking opened.
    opened: Option<u64>,
    proxies: [Phase; 3],
}

/// Searches all sequences of events for one in which a phase is early or goes back; also returns the number of
/// states. `by_median`: the registries go by the median of their clocks, as they really do; otherwise each goes by
/// its own.
fn find_early_phase(by_median: bool) -> (Option<ModelState>, usize) {
    let booking = Booking {
        name: "launch".into(),
        tenants: vec!["reed".into()],
        routes: vec![],
        service: "heron".into(),
        flight: 1,
        residence_ms: 100,
        opens_ms: TIME_AT_ZERO_MS + OPENS_AT,
        closes_ms: TIME_AT_ZERO_MS + CLOSES_AT,
        ramp_ms: 0,
        unused: Unused::Hold,
    };
    let mut agreed = Bookings::default();
    agreed.apply(0, &BookChange::Put { booking, base: 0, room: 1 }).expect("room");
    let first = ModelState {
        time: 0,
        jumped: None,
        leads: 0,
        ordered: [None; 3],
        phase: Phase::Planned,
        opened: None,
        proxies: [Phase::Planned; 3],
    };
    let scheduler = BookingScheduler::new(1, 0);
    let mut seen = HashSet::from([first.clone()]);
    let mut queue = VecDeque::from([(Rc::new(agreed), first)]);
    while let Some((agreed, state)) = queue.pop_front() {
        let early = state.opened.is_some_and(|at| at < OPENS_AT)
            || (state.phase >= Phase::Closing && state.time < CLOSES_AT);
        if early || state.proxies.iter().any(|p| *p > state.phase) {
            return (Some(state), seen.len());
        }
        let mut next: Vec<(Rc<Bookings>, ModelState)> = Vec::new();
        if state.time < LAST_TIME {
            next.push((agreed.clone(), ModelState { time: state.time + 1, ..state.clone() }));
        }
        if state.jumped.is_none() {
            for jump in (0..3).flat_map(|r| [(r, true), (r, false)]) {
                next.push((agreed.clone(), ModelState { jumped: Some(jump), ..state.clone() }));
            }
        }
        for leads in 0..3 {
            next.push((agreed.clone(), ModelState { leads, ..state.clone() }));
        }
        let clock = |r: usize| match state.jumped {
            Some((who, true)) if who == r => TIME_AT_ZERO_MS + state.time + 1000,
            Some((who, false)) if who == r => TIME_AT_ZERO_MS + state.time - 1000,
            _ => TIME_AT_ZERO_MS + state.time,
        };
        let mut clocks = Clocks::new(1);
        clocks.set_own(0, clock(state.leads));
        if by_median {
            for r in (0..3).filter(|r| *r != state.leads) {
                clocks.set_peer(0, Ipv4Addr::new(10, 0, 0, r as u8), clock(r));
            }
        }
        let (day_ms, _) = clocks.median(0).expect("a clock");
        let due = scheduler.due(0, day_ms, &agreed, &BTreeSet::new(), |_, _| 0);
        if let Some(BookChange::Phase { epoch, phase, .. }) = due {
            let mut next_state = state.clone();
            next_state.ordered[state.leads] = Some((epoch, phase));
            next.push((agreed.clone(), next_state));
        }
        for (r, ordered) in state.ordered.iter().enumerate() {
            let Some((epoch, phase)) = *ordered else { continue };
            let (mut changed, mut next_state) = (Bookings::clone(&agreed), state.clone());
            next_state.ordered[r] = None;
            let order = BookChange::Phase { name: "launch".into(), epoch, phase };
            if changed.apply(0, &order).is_ok() {
                next_state.phase = phase;
                next_state.opened = if phase == Phase::Open { Some(state.time) } else { state.opened };
                next.push((Rc::new(changed), next_state));
            } else {
                assert_eq!(changed, *agreed, "a late order changes nothing");
                next.push((agreed.clone(), next_state));
            }
        }
        for n in 0..3 {
            let mut next_state = state.clone();
            next_state.proxies[n] = state.phase;
            next_state.proxies.sort(); // the proxies are interchangeable
            next.push((agreed.clone(), next_state));
        }
        for (agreed, state) in next {
            if seen.insert(state.clone()) {
                queue.push_back((agreed, state));
            }
        }
    }
    (None, seen.len())
}

#[test]
fn no_sequence_of_events_with_one_wrong_clock_opens_or_closes_early() {
    let (early, states) = find_early_phase(true);
    assert!(early.is_none());
    assert!(states > 10_000, "{states} states are too few for all sequences");
    assert!(find_early_phase(false).0.is_some(), "with each registry on its own clock, a phase is early");
}
