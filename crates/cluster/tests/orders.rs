//! One order, one answer: calls that come again, late, twice, beside others, and after much else was forgotten.

use cluster::booking::{BookChange, Booking, Unused};
use cluster::copy::Copy;
use cluster::drill::{Drill, DrillChange};
use cluster::orders::{MOST_CHANGES, MOST_SUBJECTS};
use cluster::rollout::RolloutChange;
use cluster::state::{Change, Command, Done, State};
use std::collections::BTreeMap;

fn body(version: u32, limit: u32) -> Vec<u8> {
    let body = format!(
        r#"{{"config_version":"{version:08x}","limits":{{"idle_limit_ms":{limit}}},
        "route_list":{{"column_set":[],"row_set":[]}},"service_list":{{"column_set":[],"row_set":[]}}}}"#
    );
    body.into_bytes()
}

fn put(base: u32, version: u32, limit: u32) -> Change {
    Change { base, patch: false, body: body(version, limit) }
}

fn patch(base: u32, version: u32) -> Change {
    Change { base, patch: true, body: format!(r#"{{"config_version":"{version:08x}"}}"#).into_bytes() }
}

fn apply(state: &mut State, command: Command) -> Done {
    let rev = state.rev + 1;
    state.apply(0, rev, &command)
}

fn configure(state: &mut State, change: &Change) -> Done {
    apply(state, Command::Configure(change.clone()))
}

fn again(state: &State) -> State {
    State::read(0, &state.write(0)).expect("as written")
}

/// A call (its number and base), its answer, and the versions before and after it.
#[derive(Clone, Debug)]
struct Step {
    call: usize,
    base: u32,
    done: Done,
    versions: (u32, u32),
}

/// One order, one answer, whatever its copies meet.
fn sound(steps: &[Step]) -> Result<(), String> {
    let mut winners: BTreeMap<u32, usize> = BTreeMap::new();
    let mut taken: Vec<usize> = Vec::new();
    for s in steps {
        let before = taken.contains(&s.call);
        match &s.done {
            Done::Taken if before && s.versions.0 != s.versions.1 => {
                return Err(format!("call {} was applied twice", s.call));
            }
            Done::Taken if before => {}
            Done::Taken => {
                if let Some(other) = winners.insert(s.base, s.call) {
                    return Err(format!("calls {other} and {} on {} are both confirmed", s.call, s.base));
                }
                if (s.base, s.versions.0) != (s.versions.0, s.base) || s.versions.1 <= s.base {
                    return Err(format!("call {} was taken on another version", s.call));
                }
                taken.push(s.call);
            }
            Done::Conflict { .. } | Done::Invalid(_) if before => {
                return Err(format!("call {} was taken, and then refused", s.call));
            }
            _ if s.versions.0 != s.versions.1 => {
                return Err(format!("call {} changed something and was not confirmed", s.call));
            }
            _ => {}
        }
    }
    Ok(())
}

fn play(calls: &[Change], order: &[usize], between: impl Fn(&State) -> State) -> Vec<Step> {
    let mut state = State::default();
    let mut steps = Vec::new();
    for call in order {
        let before = state.version();
        let done = configure(&mut state, &calls[*call]);
        let versions = (before, state.version());
        steps.push(Step { call: *call, base: calls[*call].base, done, versions });
        state = between(&state);
    }
    steps
}

/// Several callers' calls: two with one number, a put and a patch with one number, one on what another made, one that is
/// invalid, one that is invalid and stale.
fn calls() -> [Change; 7] {
    let mut stale = put(1, 1, 5);
    stale.body.truncate(30);
    [put(0, 1, 1), put(1, 2, 2), put(1, 2, 3), patch(1, 2), put(2, 4, 4), patch(2, 2), stale]
}

#[test]
fn every_order_of_a_few_calls_and_their_repeats_is_sound() {
    let calls = calls();
    let (n, long) = (calls.len(), 5);
    let forgetful = |s: &State| State::read(0, &s.write_without_calls(0)).expect("as written");
    for number in 0..n.pow(long) {
        let order: Vec<usize> = (0..long).map(|at| number / n.pow(at) % n).collect();
        for (way, steps) in [
            play(&calls, &order, State::clone),
            play(&calls, &order, again),
            // All is forgotten after each: no answer is wrong, some are unclear.
            play(&calls, &order, forgetful),
        ]
        .iter()
        .enumerate()
        {
            assert_eq!(sound(steps), Ok(()), "{order:?}: {steps:?}");
            let unclear = steps.iter().any(|s| matches!(s.done, Done::Forgotten { .. }));
            assert!(way == 2 || !unclear, "{order:?}: {steps:?}");
        }
    }
}

#[test]
fn what_would_be_wrong_is_found() {
    let calls = calls();
    let fine = play(&calls, &[0, 1, 2, 1, 4, 1], State::clone);
    assert_eq!(sound(&fine), Ok(()));
    let planted = |step: usize, change: &dyn Fn(&mut Step)| {
        let mut steps = fine.clone();
        change(&mut steps[step]);
        sound(&steps).expect_err("planted")
    };
    let refused = Done::Conflict { current: 2 };
    assert!(planted(2, &|s| s.done = Done::Taken).contains("both confirmed"));
    assert!(planted(3, &|s| s.done = refused.clone()).contains("then refused"), "too short a memory");
    assert!(planted(5, &|s| s.done = Done::Invalid("old".into())).contains("then refused"));
    assert!(planted(3, &|s| s.versions = (2, 3)).contains("applied twice"));
    assert!(planted(2, &|s| s.versions = (2, 3)).contains("not confirmed"));
}

#[test]
fn thousands_of_changes_later_a_repeat_has_its_answer() {
    let mut state = State::default();
    // Versions climb by uneven steps.
    let versions: Vec<u32> = (0..2 * MOST_CHANGES as u32 / 3).map(|n| 3 * n + 1 + n % 2).collect();
    let bases: Vec<u32> = [0].into_iter().chain(versions.iter().copied()).collect();
    for (base, version) in bases.iter().zip(&versions) {
        assert_eq!(configure(&mut state, &put(*base, *version, 1)), Done::Taken);
    }
    let current = state.version();
    let plain = state.clone();
    for mut state in [plain.clone(), again(&plain)] {
        for (base, version) in bases.iter().zip(&versions) {
            assert_eq!(configure(&mut state, &put(*base, *version, 1)), Done::Taken, "again");
            assert_eq!(
                configure(&mut state, &put(*base, *version, 2)),
                Done::Conflict { current },
                "another"
            );
            assert_eq!(configure(&mut state, &put(*base + 1, *version, 1)), Done::Conflict { current });
        }
        assert_eq!(state.version(), current);
    }
}

#[test]
fn what_is_forgotten_is_left_unclear_and_what_was_never_taken_is_refused() {
    let mut state = State::default();
    let last = MOST_CHANGES as u32 + 700;
    for version in 1..=last {
        assert_eq!(configure(&mut state, &put(version - 1, version, 1)), Done::Taken);
    }
    let none = Done::Conflict { current: last };
    for mut state in [state.clone(), again(&state)] {
        let from = state.changes.from();
        assert_eq!((from, state.changes.len()), (700, MOST_CHANGES));
        for old in 1..from {
            let done = configure(&mut state, &put(old, old + 1, 1));
            assert_eq!(done, Done::Forgotten { from }, "perhaps it was taken");
            // Had it been taken, `from` would never have been current.
            assert_eq!(configure(&mut state, &put(old, from + 1, 1)), none);
            let mut broken = put(old, old + 1, 1);
            broken.body.pop();
            assert!(matches!(configure(&mut state, &broken), Done::Invalid(_)), "it never was");
        }
        assert_eq!(configure(&mut state, &put(from, from + 1, 1)), Done::Taken);
        assert_eq!(configure(&mut state, &put(from, from + 1, 2)), none);
        // The first of all is not forgotten: who knows of nothing builds on none.
        assert_eq!(configure(&mut state, &put(0, 1, 1)), Done::Taken);
        assert_eq!(configure(&mut state, &put(0, 1, 2)), none);
        assert_eq!(configure(&mut state, &put(0, last + 1, 1)), none);
        assert_eq!(state.version(), last);
    }
    // Bounded, and told in docs/system/orders.md.
    let bytes = state.write(0).len();
    println!("{bytes} bytes with {MOST_CHANGES} changes");
    assert!(bytes < 14 * MOST_CHANGES, "{bytes}");
    // Proxies decide the same without it, and are spared its bytes.
    let mut copy = Copy::of(State::read(0, &state.write_without_calls(0)).expect("as written"));
    assert!(state.write_without_calls(0).len() < 400);
    for change in [put(last, last + 1, 1), put(1, 2, 1), put(last, last + 2, 1), patch(last + 1, last + 5)] {
        let rev = state.rev + 1;
        state.apply(0, rev, &Command::Configure(change.clone()));
        copy.apply(0, rev, Some(Command::Configure(change)));
        assert_eq!(copy.state.config, state.config);
    }
    assert_eq!(state.version(), last + 5);
}

/// As the first form was written, by programs that remembered 256 calls without saying what the first built on.
#[test]
fn states_of_the_first_form_open() {
    for total in [1u32, 255, 256, 300] {
        let calls: Vec<Change> = (0..total).map(|n| put(n, n + 1, 1)).collect();
        let first = total.saturating_sub(256);
        let sum = |n: u32| (n + 1, cluster::orders::fingerprint(&calls[n as usize]));
        let sums: Vec<(u32, u64)> = (first..total).map(sum).collect();
        let none: Vec<String> = Vec::new();
        let config = Some(body(total, 1));
        let old = (1u32, 900u64, config, sums, none.clone(), none.clone(), none.clone(), none);
        let old = postcard::to_stdvec(&old).expect("plain data");
        let read = State::read(0, &old).expect("readable");
        for mut state in [again(&read), read] {
            assert_eq!((state.version(), state.rev), (total, 900));
            for n in 0..total {
                let done = configure(&mut state, &calls[n as usize]);
                let known = total < 256 || n > first;
                assert_eq!(done == Done::Taken, known, "{n} of {total}: {done:?}");
                assert!(known || matches!(done, Done::Forgotten { .. }), "{n} of {total}: {done:?}");
            }
            assert_eq!(configure(&mut state, &put(total - 1, total, 2)), Done::Conflict { current: total });
        }
    }
}

// ---- orders that name no version ----

fn evacuate(seen: u64, on: bool) -> Command {
    Command::fenced(seen, Command::Evacuate { zone: "a".into(), on })
}

/// An operator evacuates, takes it back, evacuates again, each once the one before is acknowledged; each call goes to two
/// registries, one of which may lag, and each copy may come at any later time.
#[test]
fn late_copies_of_evacuations_undo_nothing() {
    fn go(state: &State, order: usize, waiting: &[(usize, Command)], fence: bool, seen: &mut [u32; 2]) {
        for (at, (of, command)) in waiting.iter().enumerate() {
            let mut state = state.clone();
            let done = apply(&mut state, command.clone());
            let mut rest = waiting.to_vec();
            rest.remove(at);
            let wanted = |order: usize| order.is_multiple_of(2);
            if *of < order || (*of == order && done != Done::Taken) {
                // All that was acknowledged holds on.
                let holds = state.evacuated.contains("a") == (order > 0 && wanted(order - 1));
                seen[usize::from(holds)] += 1;
                assert!(holds || !fence, "a late copy undid order {}", order - 1);
                if holds {
                    go(&state, order, &rest, fence, seen);
                }
            } else {
                assert_eq!(state.evacuated.contains("a"), wanted(order));
                if order < 2 {
                    for lag in [0, 1] {
                        let mut next = rest.clone();
                        let now = if fence { state.rev } else { u64::MAX };
                        next.push((order + 1, evacuate(now, wanted(order + 1))));
                        next.push((order + 1, evacuate(now.saturating_sub(lag), wanted(order + 1))));
                        go(&state, order + 1, &next, fence, seen);
                    }
                }
            }
        }
    }
    let first = |seen| vec![(0, evacuate(seen, true)), (0, evacuate(seen, true))];
    let mut seen = [0, 0];
    go(&State::default(), 0, &first(0), true, &mut seen);
    assert_eq!(seen[0], 0);
    assert!(seen[1] > 50, "{seen:?}");
    // Without the fence it happens.
    let mut seen = [0, 0];
    go(&State::default(), 0, &first(u64::MAX), false, &mut seen);
    assert!(seen[0] > 0, "{seen:?}");
}

#[test]
fn an_evacuation_is_decided_alike_by_all_copies_and_after_a_snapshot() {
    let mut state = State::default();
    assert_eq!(apply(&mut state, evacuate(0, true)), Done::Taken);
    assert_eq!(apply(&mut state, evacuate(0, true)), Done::Taken, "it holds already");
    assert_eq!(apply(&mut state, evacuate(2, false)), Done::Taken);
    assert_eq!(state.write(0)[0], 3, "the third form, as nothing of the fourth is in it");
    let proxy = State::read(0, &state.write_without_calls(0)).expect("as written");
    for mut copy in [state.clone(), again(&state), proxy] {
        assert_eq!(apply(&mut copy, evacuate(1, true)), Done::Overtaken, "a late copy");
        assert!(copy.evacuated.is_empty());
        assert_eq!(apply(&mut copy, evacuate(3, true)), Done::Taken, "a new one");
    }
    // Other subjects push it out: then what was known before is too old.
    for n in 0..=MOST_SUBJECTS {
        let order = Command::Evacuate { zone: format!("z{n}"), on: true };
        let done = apply(&mut state, Command::fenced(3, order));
        assert_eq!(done, Done::Taken);
    }
    assert_eq!(state.subjects.len(), MOST_SUBJECTS);
    assert_eq!(apply(&mut state, evacuate(1, true)), Done::Overtaken);
    let now = state.rev;
    assert_eq!(apply(&mut state, evacuate(now, true)), Done::Taken);
}

fn booking(flight: u32) -> Booking {
    Booking {
        name: "a".into(),
        tenants: vec!["reed".into()],
        routes: vec![],
        service: "heron".into(),
        flight,
        residence_ms: 250,
        opens_ms: 100,
        closes_ms: 200,
        ramp_ms: 10,
        unused: Unused::Lend,
    }
}

#[test]
fn a_booking_that_was_taken_is_acknowledged_again_and_not_taken_again() {
    let mut state = State::default();
    let book = |seen, flight, base, room| {
        let put = BookChange::Put { booking: booking(flight), base, room };
        Command::fenced(seen, Command::Book(put))
    };
    let cancel = |seen| {
        let cancel = BookChange::Cancel { name: "a".into() };
        Command::fenced(seen, Command::Book(cancel))
    };
    assert_eq!(apply(&mut state, book(0, 6, 0, 10)), Done::Taken);
    assert_eq!(
        apply(&mut state, book(0, 4, 0, 10)),
        Done::Unbooked(cluster::booking::Unbooked::Outdated { epoch: 1 })
    );
    assert_eq!(apply(&mut state, book(1, 4, 1, 10)), Done::Taken);
    let mut state = again(&state);
    // Whatever room is counted by now.
    assert_eq!(apply(&mut state, book(0, 6, 0, 1)), Done::Taken, "the first again");
    assert_eq!((state.bookings["a"].booking.flight, state.bookings["a"].epoch), (4, 2));
    let now = state.rev;
    assert_eq!(apply(&mut state, cancel(now)), Done::Taken);
    assert_eq!(apply(&mut state, cancel(now)), Done::Taken);
    assert_eq!(apply(&mut state, book(now, 4, 1, 10)), Done::Taken, "again, and it stays ended");
    assert!(state.bookings["a"].cancelled);
    // Booked anew; the end that comes late is that of the other.
    let later = state.rev;
    assert_eq!(apply(&mut state, book(later, 4, 3, 10)), Done::Taken);
    assert_eq!(apply(&mut state, cancel(now)), Done::Overtaken);
    assert!(!state.bookings["a"].cancelled);
}

#[test]
fn a_drill_begins_once() {
    let mut state = State::default();
    let config = r#"{"config_version":"00000001","limits":{},"route_list":{"column_set":["entity_name","host_name",
        "path_prefix","route_kind","service_ref","deadline_ms"],"row_set":[["get","h","/","safe","heron",2000]]},
        "service_list":{"column_set":["entity_name"],"row_set":[["heron"]]},
        "tenant_list":{"column_set":["entity_name","access_keys"],"row_set":[["reed",["k1"]]]}}"#;
    configure(&mut state, &Change { base: 0, patch: false, body: config.into() });
    let fenced = |seen, of: DrillChange| Command::fenced(seen, Command::Drill(of));
    let start = |name: &str| {
        let body = r#"{"caller":{"tenant_name":"reed"},"fault":{"fault_kind":"lost"},"duration_ms":9000,
            "asked_by":"a","reason":"b"}"#;
        DrillChange::Start(Box::new(Drill::read(name, body.as_bytes()).expect("a drill")))
    };
    let stop = |name: &str| DrillChange::Stop { name: name.into(), epoch: None, why: "stopped".into() };
    let seen = state.rev;
    assert_eq!(apply(&mut state, fenced(seen, start("d"))), Done::Taken);
    let epoch = state.drills.0["d"].epoch;
    assert_eq!(apply(&mut state, fenced(seen, stop("d"))), Done::Overtaken, "the end of an earlier one");
    let now = state.rev;
    assert_eq!(apply(&mut state, fenced(now, stop("d"))), Done::Taken);
    assert_eq!(apply(&mut state, fenced(seen, start("d"))), Done::Taken, "again: it has begun, and ended");
    assert_eq!((state.drills.0["d"].epoch, state.drills.running().count()), (epoch, 0));
    // Others push it out; its late copy begins nothing.
    for n in 0..17 {
        let now = state.rev;
        let name = format!("e{n}");
        assert_eq!(apply(&mut state, fenced(now, start(&name))), Done::Taken);
        let now = state.rev;
        assert_eq!(apply(&mut state, fenced(now, stop(&name))), Done::Taken);
    }
    assert!(!state.drills.0.contains_key("d"));
    assert_eq!(apply(&mut state, fenced(seen, start("d"))), Done::Overtaken);
    assert_eq!(state.drills.running().count(), 0);
}

/// Guards against a zone that opens again after its evacuation was acknowledged: a take-back that its operator gave up
/// comes late, and the evacuation that was ordered after it had found the zone still evacuated.
#[test]
fn an_evacuation_that_is_acknowledged_is_not_undone_by_a_take_back_that_was_given_up() {
    let mut state = State::default();
    assert_eq!(apply(&mut state, evacuate(0, true)), Done::Taken);
    let given_up = evacuate(state.rev, false);
    let again = evacuate(state.rev, true);
    assert_eq!(apply(&mut state, again), Done::Taken);
    assert_eq!(apply(&mut state, given_up), Done::Overtaken);
    assert!(state.evacuated.contains("a"));
}

/// An operator's orders of one zone, each acknowledged or given up before the next. All copies that registries have read
/// of an order are under way from then on, with the revision that the registry had come to.
#[derive(Clone)]
struct Orders {
    state: State,
    /// The order of each copy, and what is proposed.
    copies: Vec<(usize, Command)>,
    /// What each order was.
    wanted: Vec<bool>,
    acknowledged: Option<usize>,
}

impl Orders {
    /// Lands any one of the copies. One of an order before the last acknowledged one may not change anything.
    fn land(&self, at: usize) -> Result<Orders, String> {
        let mut next = self.clone();
        let (order, command) = next.copies.remove(at);
        let before = next.state.evacuated.contains("a");
        let done = apply(&mut next.state, command);
        let after = next.state.evacuated.contains("a");
        if next.acknowledged.is_some_and(|last| order < last) {
            let says = format!("{:?}, then a copy of {order}: {done:?}", next.wanted);
            return if before == after { Ok(next) } else { Err(says) };
        }
        if done == Done::Taken && order + 1 == next.wanted.len() {
            assert_eq!(after, next.wanted[order], "an order that is acknowledged holds");
            next.acknowledged = Some(order);
        }
        Ok(next)
    }

    fn order(&self, on: bool, lag: u64) -> Orders {
        let mut next = self.clone();
        let rev = next.state.rev;
        let copy = |seen| (next.wanted.len(), evacuate(seen, on));
        let (fresh, old) = (copy(rev), copy(rev.saturating_sub(lag)));
        next.copies.extend([fresh, old]);
        next.wanted.push(on);
        next
    }

    fn explore(&self, orders: usize, landings: usize, seen: &mut usize) -> Result<(), String> {
        *seen += 1;
        for at in 0..self.copies.len().min(if landings > 0 { usize::MAX } else { 0 }) {
            self.land(at)?.explore(orders, landings - 1, seen)?;
        }
        if self.wanted.len() < orders {
            for (on, lag) in [(true, 0), (true, 1), (false, 0), (false, 1)] {
                self.order(on, lag).explore(orders, landings, seen)?;
            }
        }
        Ok(())
    }
}

/// Guards against the same in every course of a few orders: any of them given up, the same one ordered twice in a row, two
/// copies of each, through registries one of which may lag, each copy at any later time.
#[test]
fn no_copy_of_an_order_undoes_one_that_was_acknowledged_after_it() {
    let start = Orders { state: State::default(), copies: vec![], wanted: vec![], acknowledged: None };
    let mut seen = 0;
    assert_eq!(start.explore(3, 5, &mut seen), Ok(()));
    assert!(seen > 10_000, "{seen}");
}

/// Guards against bookings and rollouts that are back after their end was acknowledged, in the same way: the end found
/// them ended, and the order that was given up before it comes late.
#[test]
fn an_end_that_is_acknowledged_is_not_undone_by_a_beginning_that_was_given_up() {
    let book = |base| Command::Book(BookChange::Put { booking: booking(6), base, room: 10 });
    let cancel = || Command::Book(BookChange::Cancel { name: "a".into() });
    let mut state = State::default();
    assert_eq!(apply(&mut state, Command::fenced(0, book(0))), Done::Taken);
    let rev = state.rev;
    assert_eq!(apply(&mut state, Command::fenced(rev, cancel())), Done::Taken);
    let mut anew = booking(4);
    anew.flight = 4;
    let epoch = state.bookings["a"].epoch;
    let given_up = Command::Book(BookChange::Put { booking: anew, base: epoch, room: 10 });
    let rev = state.rev;
    assert_eq!(apply(&mut state, Command::fenced(rev, cancel())), Done::Taken, "it has ended already");
    assert_eq!(apply(&mut state, Command::fenced(rev, given_up)), Done::Overtaken);
    assert!(state.bookings["a"].cancelled);

    let config = r#"{"config_version":"00000001","limits":{},"route_list":{"column_set":[],"row_set":[]},
        "service_list":{"column_set":["entity_name"],"row_set":[["heron"]]}}"#;
    configure(&mut state, &Change { base: 0, patch: false, body: config.into() });
    let order = r#"{"service_ref":"heron","target_version":"v2","rollout_term_s":9}"#;
    let order = cluster::rollout::Order::read(order.as_bytes()).expect("an order");
    let rev = state.rev;
    let given_up = Command::fenced(rev, Command::Rollout(RolloutChange::Start { order, after: None }));
    let stop = Command::Rollout(RolloutChange::Stop { service: "heron".into() });
    assert_eq!(apply(&mut state, Command::fenced(rev, stop)), Done::Taken, "none runs");
    assert_eq!(apply(&mut state, given_up), Done::Overtaken);
    assert!(state.rollouts.running_of("heron").is_none());
}

/// A log of an earlier program, which fenced orders once, is applied as that program did: its replicas may have snapshots
/// from after any of its entries.
#[test]
fn orders_of_earlier_programs_keep_their_meaning() {
    let once =
        |seen, on| Command::Fenced { seen, order: Box::new(Command::Evacuate { zone: "a".into(), on }) };
    let mut state = State::default();
    for (command, done) in [
        (once(0, true), Done::Taken),
        (once(1, true), Done::Taken),
        (once(1, false), Done::Taken),
        (once(1, true), Done::Overtaken),
    ] {
        assert_eq!(apply(&mut state, command), done);
    }
    assert!(state.evacuated.is_empty());
}
