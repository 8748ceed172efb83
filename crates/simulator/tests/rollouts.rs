//! What scenarios say of rollouts comes about: servers start and stop as they should, and each kind of bad version is bad
//! in its own way alone.

use settings::rollout::Progress;
use simulator::hunt::play;
use simulator::record::{Arrival, Record, Try};
use simulator::scenario::Scenario;
use simulator::{MS, Micros, SECOND};

/// A day with a rollout at 10 s, and more.
fn day(order: &str, more: &str) -> Record {
    let text = format!(
        "seconds 34\nrate 60\nquota 1000\nroutes 6\nservice utu 12\nat 8 crowd t0 to utu 140 for 40\n\
         at 10 rollout utu to v2 within 12{order}\n{more}\n"
    );
    play(&Scenario::read(&text).expect("a scenario"), 3, false).record
}

fn at_version(r: &Record, new: bool) -> impl Iterator<Item = (&Try, &Arrival)> {
    let there = move |a: &Arrival| a.service == "utu" && r.versions.contains_key(&a.server) == new;
    r.tries.iter().flat_map(|t| t.arrivals.iter().map(move |a| (t, a))).filter(move |(_, a)| there(a))
}

/// When the operator saw the end, and which.
fn end(r: &Record) -> (Micros, Progress) {
    let seen = r.rollouts[0].seen.iter().find(|s| s.is_over("v2")).expect("it ends");
    (seen.at, seen.state.as_ref().expect("over").0)
}

fn failed(t: &Try) -> bool {
    t.answer.as_ref().is_some_and(|a| a.status == 500)
}

// Guards against old servers that run on once a rollout is completed.
#[test]
fn at_completed_the_old_servers_stop_at_once() {
    let r = day("", "");
    let (at, end) = end(&r);
    assert_eq!(end, Progress::Completed);
    assert!(at_version(&r, false).all(|(_, a)| a.at <= at));
    assert!(at_version(&r, true).any(|(_, a)| a.at > at + SECOND));
}

// Guards against servers of a new version that start before the order, or elsewhere than the old ones.
#[test]
fn the_new_servers_start_with_the_order_in_the_zones_of_the_old_ones() {
    let r = day("", "");
    let zones = |new: bool| {
        let rooms = r
            .rooms
            .iter()
            .filter(|room| room.service == "utu" && r.versions.contains_key(&room.server) == new);
        let mut zones: Vec<&str> = rooms.map(|room| room.zone.as_str()).collect();
        zones.sort_unstable();
        zones
    };
    assert_eq!(zones(true).len(), 12);
    assert_eq!(zones(true), zones(false));
    assert!(at_version(&r, true).all(|(_, a)| a.at > r.rollouts[0].sent));
    let cold = |c: &&simulator::record::Cold| r.versions.contains_key(&c.server);
    assert_eq!(r.colds.iter().filter(cold).count(), 12);
}

// Guards against servers of a reverted version that stay.
#[test]
fn at_reverted_the_new_servers_drain_some_seconds_later() {
    let r = day(" bad errors", "");
    let (at, end) = end(&r);
    assert_eq!(end, Progress::Reverted);
    let left: Vec<Micros> =
        r.leaves.iter().filter(|l| r.versions.contains_key(&l.server)).map(|l| l.at).collect();
    assert_eq!(left.len(), 12);
    assert!(left.iter().all(|l| *l > at + SECOND));
}

// Guards against a version that fails before its time.
#[test]
fn a_late_version_is_bad_only_later() {
    let r = day(" bad late 4", "");
    let (sent, bad) = (r.rollouts[0].sent, &r.rollouts[0].bad_answers);
    assert!(!bad.is_empty());
    assert!(bad.iter().all(|at| *at >= sent + 4 * SECOND));
}

// Guards against a version that is bad on other routes than its own.
#[test]
fn a_version_bad_on_one_route_is_good_on_the_others() {
    let r = day(" bad one-route r-utu-2 share 1", "");
    let on = |t: &Try| t.path.starts_with("/r-utu-2/");
    assert!(at_version(&r, true).any(|(t, _)| on(t) && failed(t)));
    assert!(at_version(&r, true).any(|(t, _)| !on(t)));
    assert!(!at_version(&r, true).any(|(t, _)| !on(t) && failed(t)));
}

// Guards against a slow version that fails, or is not slow.
#[test]
fn a_slow_version_takes_its_time_and_does_not_fail() {
    let r = day(" bad slow share 1", "");
    let warm = |a: &Arrival| a.at > r.rollouts[0].sent + 4 * SECOND;
    let took = |t: &Try, a: &Arrival| Some(t.answer.as_ref().filter(|x| x.status == 200)?.at - a.ran?);
    assert!(!at_version(&r, true).any(|(t, _)| failed(t)));
    let new: Vec<Micros> =
        at_version(&r, true).filter(|(_, a)| warm(a)).filter_map(|(t, a)| took(t, a)).collect();
    // Half of the usual work eight times, without the way back.
    assert!(!new.is_empty() && new.iter().all(|took| *took > 450 * MS));
}

// Guards against a version under load that is bad without it.
#[test]
fn a_version_bad_under_load_is_good_where_a_server_works_alone() {
    let r = day(" bad under-load share 1", "");
    let new: Vec<(&Try, &Arrival)> = at_version(&r, true).collect();
    let ran = |a: &Arrival| a.ran.filter(|_| a.turned_away.is_none());
    let beside = |t: &Try, a: &Arrival| {
        let other = |(o, b): &(&Try, &Arrival)| {
            let until = o.answer.as_ref().map_or(Micros::MAX, |x| x.at);
            !std::ptr::eq(*o, t)
                && b.server == a.server
                && ran(b).is_some_and(|at| at <= a.at)
                && until >= a.at
        };
        new.iter().any(other)
    };
    assert!(new.iter().any(|(t, _)| failed(t)));
    assert!(new.iter().filter(|(t, _)| failed(t)).all(|(t, a)| beside(t, a)));
}

// Guards against clients that are patient though they are to be hasty.
#[test]
fn hasty_clients_try_again_and_again() {
    let most = |r: &Record| {
        let mut tries = vec![0; r.requests.len()];
        r.tries.iter().for_each(|t| tries[t.request as usize] += 1);
        tries.into_iter().max().unwrap_or(0)
    };
    let shed = "at 12 grey tiro shed 100 for 6";
    assert!(most(&day("", shed)) <= 4);
    assert!(most(&day("", &format!("{shed}\nat 9 hasty 50 for 20"))) > 4);
}

// Guards against a machine of the core that does not come to serve in the place of one that is gone.
#[test]
fn a_replaced_machine_of_the_core_serves() {
    let r = day("", "at 12 replace-core core2 after 3");
    let by = |from: u64, to: u64| {
        r.spoken.iter().any(|s| s.by == 1 && (from * SECOND..to * SECOND).contains(&s.at))
    };
    assert!(by(9, 12) && !by(13, 15) && by(22, 30));
}
