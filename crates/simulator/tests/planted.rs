//! Each rule catches a breach of it that is planted in the record of a good day.

use settings::rollout::Progress;
use simulator::hunt::{others_differ, play, without_drills};
use simulator::judge::judge;
use simulator::record::{
    Answer, Arrival, Closing, Cold, Dark, Fate, Record, Spoken, Trouble, Try, Unheard, Vouched,
};
use simulator::scenario::Scenario;
use simulator::{MS, Micros, SECOND};
use std::rc::Rc;

/// A day with one of everything.
const DAY: &str = "
seconds 46
at 12 shift r-tiro to kawe
at 13 evacuate b
at 13 drain utu1
at 24 return b
at 30 homes r-kawe to north
at 31 revoke t1
";

fn day() -> Record {
    let played = play(&Scenario::read(DAY).expect("a scenario"), 7, false);
    assert_eq!(played.unmet, Vec::<String>::new());
    played.record
}

fn caught(rule: &str, plant: impl FnOnce(&mut Record)) {
    let mut record = day();
    plant(&mut record);
    let found = judge(&record);
    assert!(found.iter().any(|b| b.rule == rule), "{rule} is not caught; found: {found:?}");
}

/// A try on this route, sent after `after` and served.
fn one(r: &mut Record, route: &str, after: u64) -> usize {
    let fits = |t: &Try| t.path.starts_with(&format!("/{route}/")) && t.sent > after * SECOND;
    r.tries.iter().position(|t| fits(t) && t.arrivals.len() == 1 && t.answer.is_some()).expect("there is one")
}

fn again(r: &mut Record, n: usize, change: impl FnOnce(&mut Arrival)) {
    let mut more = r.tries[n].arrivals[0].clone();
    change(&mut more);
    r.tries[n].arrivals.push(more);
}

#[test]
fn a_request_that_may_run_once_runs_twice() {
    caught("TWICE", |r| {
        let n = one(r, "r-utu", 10);
        again(r, n, |_| {});
    });
}

#[test]
fn a_refused_request_has_run() {
    caught("REFUSED", |r| {
        let n = one(r, "r-utu", 10);
        r.tries[n].answer.as_mut().expect("answered").status = 503;
    });
}

#[test]
fn an_answer_belongs_to_another_request() {
    caught("MIXED", |r| {
        let n = one(r, "r-tiro", 10);
        r.tries[n].answer.as_mut().expect("answered").seal = Some(n as u64 + 1);
    });
}

#[test]
fn a_request_goes_to_a_service_that_it_was_never_sent_to() {
    caught("ROUTE", |r| {
        let n = one(r, "r-tiro", 10);
        r.tries[n].arrivals[0].service = "utu".into();
    });
}

#[test]
fn a_request_runs_for_another_tenant() {
    caught("ROUTE", |r| {
        let n = one(r, "r-tiro", 10);
        r.tries[n].arrivals[0].tenant = Some("nobody".into());
    });
}

#[test]
fn an_older_version_is_used_for_too_long() {
    caught("CONFIG", |r| {
        let n = one(r, "r-tiro", 16);
        r.tries[n].arrivals[0].service = "tiro".into();
    });
}

#[test]
fn a_revoked_key_is_served() {
    caught("CONFIG", |r| {
        let n = one(r, "r-utu", 35);
        r.tries[n].key = Some("key-t1".into());
        r.tries[n].arrivals[0].tenant = Some("t1".into());
    });
}

#[test]
fn a_machine_goes_back() {
    caught("CONFIG", |r| {
        // While it need not have the new version yet, it had shown it before.
        let Fate::Acknowledged(acked) = r.changes[1].fate else { panic!("acknowledged") };
        let n = one(r, "r-tiro", 16);
        let t = &mut r.tries[n];
        (t.sent, t.answer.as_mut().expect("answered").at) = (acked + 2 * SECOND, acked + 2100 * MS);
        let a = &mut t.arrivals[0];
        (a.sent, a.at, a.ran) = (acked + 2 * SECOND, acked + 2010 * MS, Some(acked + 2010 * MS));
        let early = t.clone();
        r.tries[n].arrivals[0].service = "tiro".into();
        let mut first = early;
        first.sent = acked + 50 * MS;
        (first.arrivals[0].at, first.arrivals[0].ran) = (acked + 60 * MS, Some(acked + 60 * MS));
        let number = r.tries.len() as u64;
        first.answer = Some(Answer { at: acked + 70 * MS, status: 200, seal: Some(number) });
        r.tries.push(first);
    });
}

#[test]
fn two_changes_of_one_version_are_acknowledged() {
    caught("CONFIG", |r| {
        let mut twin = r.changes[1].clone();
        twin.version += 1;
        r.changes.push(twin);
    });
}

#[test]
fn an_invalid_configuration_is_acknowledged() {
    caught("CONFIG", |r| r.changes[1].invalid = true);
}

#[test]
fn an_older_version_is_read_back() {
    caught("CONFIG", |r| {
        let older = r.changes[1].config.clone();
        r.read_back.iter_mut().for_each(|b| b.config = Some(older.clone()));
    });
}

#[test]
fn something_else_is_read_back() {
    caught("CONFIG", |r| {
        let mut other = (*r.changes[1].config).clone();
        other.version = r.changes.last().expect("there").version;
        r.read_back.iter_mut().for_each(|b| b.config = Some(Rc::new(other.clone())));
    });
}

#[test]
fn an_acknowledged_change_is_gone_after_the_closing_fault() {
    caught("LOST", |r| {
        let older = r.changes[1].config.clone();
        r.read_back.iter_mut().for_each(|b| b.config = Some(older.clone()));
        r.closing = Some(Closing { at: 34 * SECOND, back: 35 * SECOND });
    });
}

#[test]
fn proper_requests_are_denied() {
    caught("DENIED", |r| {
        for _ in 0..8 {
            let n = one(r, "r-utu", 16);
            let t = &mut r.tries[n];
            t.answer.as_mut().expect("answered").status = 404;
            t.arrivals.clear();
        }
    });
}

#[test]
fn an_order_is_not_acknowledged_in_time() {
    caught("ACK", |r| r.changes[1].fate = Fate::Acknowledged(19 * SECOND));
}

#[test]
fn a_server_that_left_is_reached() {
    caught("DRAIN", |r| {
        let (server, at) = (r.leaves[0].server.clone(), r.leaves[0].at + 3_200 * MS);
        let n = one(r, "r-utu", 16);
        let a = &mut r.tries[n].arrivals[0];
        (a.server, a.sent, a.at) = (server, at, at);
    });
}

#[test]
fn an_evacuated_zone_is_reached() {
    caught("EVAC", |r| {
        let n = one(r, "r-utu", 20);
        r.tries[n].arrivals[0].zone = "b".into();
    });
}

#[test]
fn a_request_leaves_its_homes() {
    caught("HOME", |r| {
        let n = one(r, "r-kawe", 36);
        r.tries[n].arrivals[0].region = "south".into();
    });
}

#[test]
fn a_tenant_gets_more_than_its_share() {
    caught("QUOTA", |r| {
        let n = one(r, "r-tiro", 16);
        (0..450).for_each(|_| again(r, n, |_| {}));
    });
}

#[test]
fn too_many_further_tries() {
    caught("BUDGET", |r| {
        let n = one(r, "r-tiro", 16);
        (0..200).for_each(|_| again(r, n, |a| a.turned_away = Some(503)));
    });
}

#[test]
fn a_cold_server_gets_too_much() {
    caught("FAILBACK", |r| {
        let n = one(r, "r-tiro", 16);
        let server = r.tries[n].arrivals[0].server.clone();
        let (from, until) = (0, 46 * SECOND);
        r.colds.push(Cold { server, from, until, rate: 4.0 });
        (0..12).for_each(|_| again(r, n, |_| {}));
    });
}

#[test]
fn a_request_is_cut_off_around_an_end_in_order() {
    caught("LOST", |r| {
        let n = one(r, "r-tiro", 16);
        let t = &mut r.tries[n];
        let at = t.answer.take().expect("answered").at;
        t.broken = Some(at);
        let (from, until) = (at - SECOND, at + 6 * SECOND);
        r.troubles.push(Trouble { host: t.edge, from, until, planned: true, what: "asked to end".into() });
    });
}

/// Plants an answer of the proxy, 503, to a request that its server worked on until it was cut off. It was sent, and cut
/// off, so long after the SIGTERM of the proxy.
fn given_up_at_work(r: &mut Record, sent: Micros, cut: Micros) {
    let n = one(r, "r-tiro", 20);
    let t = &mut r.tries[n];
    let answer = t.answer.as_mut().expect("answered");
    (answer.status, answer.seal) = (503, None);
    let (from, at) = (answer.at - cut, answer.at);
    (t.sent, t.until) = (from + sent, at + SECOND);
    t.arrivals[0].cut = Some(at);
    let until = from + 6 * SECOND;
    r.troubles.push(Trouble { host: t.edge, from, until, planned: true, what: "asked to end".into() });
}

/// What the incident LOST looked like: the client has a whole answer, but not that of the server at work.
#[test]
fn a_request_is_given_up_after_sigterm_while_its_server_works_on_it() {
    caught("LOST", |r| given_up_at_work(r, 500 * MS, SECOND));
    caught("LOST", |r| given_up_at_work(r, 3_500 * MS, 5_500 * MS));
}

/// A process has to end by the end of its grace.
#[test]
fn a_request_that_lasts_into_the_last_sixth_of_the_grace_may_be_given_up() {
    let mut record = day();
    given_up_at_work(&mut record, 2_500 * MS, 5_500 * MS);
    assert!(judge(&record).iter().all(|b| b.rule != "LOST"));
}

#[test]
fn nothing_is_served_after_the_closing_fault() {
    caught("RECOVER", |r| {
        r.closing = Some(Closing { at: 14 * SECOND, back: 15 * SECOND });
        r.requests.iter_mut().filter(|q| q.sent > 30 * SECOND).for_each(|q| q.served = None);
    });
}

/// A day with a launch.
const LAUNCH: &str = "
seconds 40
rate 40
at 10 book night tenants t0 routes r-tiro service tiro flight 8 from 18 to 30 ramp 500 hold
at 18 crowd t0 to tiro 30 for 12
";

fn caught_at_launch(rule: &str, plant: impl FnOnce(&mut Record)) {
    let played = play(&Scenario::read(LAUNCH).expect("a scenario"), 5, false);
    assert_eq!(played.unmet, Vec::<String>::new());
    let mut record = played.record;
    plant(&mut record);
    let found = judge(&record);
    assert!(found.iter().any(|b| b.rule == rule), "{rule} is not caught; found: {found:?}");
}

#[test]
fn more_is_held_than_was_booked() {
    caught_at_launch("PARTS", |r| {
        let at = r.held.iter().position(|h| h.open && h.part > 0).expect("held");
        r.held[at].part += 8;
    });
}

#[test]
fn a_proxy_opens_late_or_by_itself() {
    for by in [4 * SECOND as i64, -(3 * SECOND as i64)] {
        caught_at_launch("SPREAD", |r| {
            let edge = r.held.iter().find(|h| h.open).expect("opens").edge;
            let mine = r.held.iter_mut().filter(|h| h.edge == edge && h.open && h.at < 25 * SECOND);
            mine.for_each(|h| h.at = h.at.saturating_add_signed(by));
        });
    }
}

#[test]
fn a_booked_request_is_refused_or_waits() {
    for status in [503, 200] {
        caught_at_launch("ROOM", |r| {
            let alone = |t: &Try| {
                t.path.starts_with("/r-tiro/")
                    && t.key.as_deref() == Some("key-t0")
                    && (21 * SECOND..28 * SECOND).contains(&t.sent)
            };
            let holds = |h: Option<&simulator::record::Held>| h.is_some_and(|h| h.first > 0);
            let fits =
                |t: &&mut Try| alone(t) && holds(r.held.iter().rfind(|h| h.edge == t.edge && h.at < t.sent));
            for t in r.tries.iter_mut().filter(fits) {
                if status == 503 {
                    t.arrivals.clear();
                    t.given = false;
                    t.answer.as_mut().expect("answered").status = 503;
                } else {
                    t.arrivals.iter_mut().for_each(|a| a.sent = t.sent + 900 * MS);
                    t.answer.as_mut().expect("answered").at = t.sent + 1000 * MS;
                }
            }
        });
    }
}

#[test]
fn others_get_nothing_at_a_proxy() {
    caught_at_launch("FLOOR", |r| {
        let edge = r.held.iter().find(|h| h.open).expect("opens").edge;
        let asks = |t: &&mut Try| {
            t.path.starts_with("/r-tiro/") && t.key.as_deref() != Some("key-t0") && t.edge == edge
        };
        let (n, at) = (20, 20 * SECOND);
        let one = r.tries.iter_mut().find(asks).expect("there is one").clone();
        for i in 0..n {
            let sent = at + i * 100 * MS;
            r.tries.push(Try {
                sent,
                until: sent + 3 * SECOND,
                given: false,
                arrivals: Vec::new(),
                answer: None,
                ..one.clone()
            });
        }
        r.tries.iter_mut().filter(asks).for_each(|t| t.arrivals.clear());
    });
}

#[test]
fn a_request_is_cut_off_as_a_booking_opens() {
    caught_at_launch("EDGE", |r| {
        let across =
            |t: &Try| t.read.is_some_and(|at| (18 * SECOND..19 * SECOND).contains(&at)) && t.answer.is_some();
        let t = r.tries.iter_mut().find(|t| across(t)).expect("there is one");
        t.broken = Some(t.answer.take().expect("answered").at);
    });
}

#[test]
fn an_acknowledged_booking_is_gone() {
    caught_at_launch("BOOKED", |r| r.listed.iter_mut().for_each(|l| l.bookings.clear()));
    caught_at_launch("BOOKED", |r| r.listed.iter_mut().for_each(|l| l.bookings[0].2 += 1));
}

#[test]
fn an_order_of_a_zone_is_undone_by_a_late_copy() {
    caught("EVAC", |r| r.zones.iter_mut().for_each(|z| z.evacuated.push("b".into())));
    caught("EVAC", |r| r.evacuations.retain(|e| e.on));
    caught("EVAC", |r| {
        r.evacuations[0].fate = Fate::GivenUp(r.evacuations[0].sent + SECOND);
        r.zones.iter_mut().for_each(|z| z.evacuated.push("b".into()));
    });
}

#[test]
fn an_order_of_a_zone_is_given_up_in_calm() {
    caught("ACK", |r| {
        let until = r.evacuations[0].sent + r.bounds.ack_limit;
        r.evacuations[0].fate = Fate::GivenUp(until + 1);
    });
}

/// The same seed is the same day.
#[test]
fn chance_comes_from_the_seed_alone() {
    let text = simulator::hunt::draw(11);
    let scenario = Scenario::read(&text).expect("a scenario");
    let of = |seed| format!("{:?}", play(&scenario, seed, false).record);
    assert_eq!(of(3), of(3));
    assert_ne!(of(3), of(4));
}

/// A day with a rollout of a good version, and one of a bad version.
const ROLLOUTS: &str = "
seconds 50
rate 45
quota 1000
service utu 12
service tiro 12
at 8 crowd t0 to utu 140 for 20
at 10 rollout utu to v2 within 12
at 24 crowd t0 to tiro 140 for 20
at 26 rollout tiro to v2 within 12 bad errors
";

fn caught_in_a_rollout(rule: &str, plant: impl FnOnce(&mut Record)) {
    let played = play(&Scenario::read(ROLLOUTS).expect("a scenario"), 7, false);
    assert_eq!(played.unmet, Vec::<String>::new());
    let mut record = played.record;
    plant(&mut record);
    let found = judge(&record);
    assert!(found.iter().any(|b| b.rule == rule), "{rule} is not caught; found: {found:?}");
}

/// A try that reached the bad version.
fn at_the_bad_version(r: &Record) -> usize {
    let there = |a: &Arrival| a.service == "tiro" && r.versions.contains_key(&a.server);
    r.tries.iter().position(|t| t.arrivals.iter().any(there)).expect("there is one")
}

/// Nothing was seen of a rollout before its term was over.
fn seen_after_the_term(r: &mut Record, number: usize) {
    let rollout = &mut r.rollouts[number];
    let ends = rollout.sent + rollout.term;
    rollout.seen.retain(|s| s.from > ends);
}

#[test]
fn a_bad_version_gets_more_than_its_share() {
    caught_in_a_rollout("EXPOSURE", |r| {
        let n = at_the_bad_version(r);
        (0..500).for_each(|_| again(r, n, |_| {}));
    });
}

#[test]
fn a_bad_version_gets_a_request_after_it_was_to_get_no_more() {
    caught_in_a_rollout("EXPOSURE", |r| {
        let n = at_the_bad_version(r);
        let known = r.rollouts[1].sent + SECOND;
        r.rollouts[1].bad_answers = vec![known; 50];
        again(r, n, |a| (a.sent, a.at) = (known + 5 * SECOND + MS, known + 5 * SECOND + 2 * MS));
    });
}

#[test]
fn a_good_version_is_not_completed_by_its_term() {
    caught_in_a_rollout("DUTY", |r| seen_after_the_term(r, 0));
    caught_in_a_rollout("DUTY", |r| r.rollouts[0].bad = true);
}

#[test]
fn a_bad_version_is_not_reverted_by_its_term() {
    caught_in_a_rollout("DUTY", |r| seen_after_the_term(r, 1));
    caught_in_a_rollout("DUTY", |r| r.rollouts[1].bad = false);
}

#[test]
fn an_order_of_a_rollout_stays_without_an_acknowledgement() {
    caught_in_a_rollout("ACK", |r| r.rollouts[0].fate = Fate::Open);
}

#[test]
fn an_acknowledged_rollout_is_gone() {
    for number in [0, 1] {
        caught_in_a_rollout("LOST", |r| r.rollouts[number].seen.last_mut().expect("some").state = None);
    }
    caught_in_a_rollout("LOST", |r| {
        let last = r.rollouts[0].seen.last_mut().expect("some");
        last.state.as_mut().expect("there").1 = "v1".into();
    });
}

#[test]
fn a_rollout_that_ended_goes_back() {
    for to in [Progress::InProgress, Progress::Reverted] {
        caught_in_a_rollout("LOST", |r| {
            r.rollouts[0].seen.last_mut().expect("some").state.as_mut().expect("there").0 = to;
        });
    }
}

/// A day with a drill.
const DRILLED: &str = "
seconds 40
at 12 drill pay lost of t0 on r-utu for 12
at 26 drill no refused of t1 count 3 for 6
";

fn caught_in_a_drill(rule: &str, plant: impl FnOnce(&mut Record)) {
    let played = play(&Scenario::read(DRILLED).expect("a scenario"), 7, false);
    assert_eq!(played.unmet, Vec::<String>::new());
    let mut record = played.record;
    assert!(record.met.len() > 5, "it met somebody");
    plant(&mut record);
    let found = judge(&record);
    assert!(found.iter().any(|b| b.rule == rule), "{rule} is not caught; found: {found:?}");
}

#[test]
fn a_rule_acts_after_an_acknowledged_stop() {
    caught_in_a_drill("END", |r| {
        let last = r.met.iter().filter(|m| m.of == 0).map(|m| m.at).max().expect("some");
        r.rehearsals[0].stopped = Some(last - 3 * SECOND - MS);
    });
}

#[test]
fn a_rule_outlives_its_time() {
    caught_in_a_drill("END", |r| r.rehearsals[0].drill.for_ms = 1_000);
}

#[test]
fn a_count_is_exceeded() {
    caught_in_a_drill("COUNT", |r| r.rehearsals[1].drill.count = Some(2));
}

#[test]
fn another_caller_meets_the_fault() {
    caught_in_a_drill("CALLER", |r| {
        let other = one(r, "r-tiro", 14) as u64;
        r.met[0].attempt = other;
    });
}

#[test]
fn a_refused_request_goes_out() {
    caught_in_a_drill("SENT", |r| {
        let n = one(r, "r-tiro", 14);
        let arrival = r.tries[n].arrivals[0].clone();
        let met = r.met.iter().find(|m| m.of == 1).expect("some").attempt;
        r.tries[met as usize].arrivals.push(arrival);
    });
}

#[test]
fn a_lost_answer_looks_whole() {
    caught_in_a_drill("WHOLE", |r| {
        let met = r.met[0].attempt as usize;
        r.tries[met].answer = Some(Answer { at: r.met[0].at, status: 200, seal: Some(met as u64) });
    });
}

#[test]
fn a_payment_whose_answer_was_lost_runs_again() {
    caught_in_a_drill("TWICE", |r| {
        let met = r.met.iter().find(|m| m.of == 0).expect("some").attempt as usize;
        again(r, met, |_| {});
    });
}

#[test]
fn what_ran_is_promised_not_to_have() {
    caught_in_a_drill("REFUSED", |r| {
        let met = r.met.iter().find(|m| m.of == 0).expect("some").attempt as usize;
        r.tries[met].answer.as_mut().expect("502").status = 503;
    });
}

#[test]
fn a_rule_does_not_follow() {
    caught_in_a_drill("FOLLOW", |r| {
        // Well before the drill ends: the last one may have come just as it did.
        let late = r.met.iter().rposition(|m| m.of == 0 && m.at < 22 * SECOND).expect("some");
        r.met.remove(late);
    });
}

#[test]
fn anothers_answer_comes_at_another_time() {
    let scenario = Scenario::read(&format!("chance apart\n{DRILLED}")).expect("a scenario");
    let twin = without_drills(&scenario, 7);
    let mut other = twin.clone();
    let n = one(&mut other, "r-tiro", 14);
    assert_eq!(others_differ(&twin, &other), None);
    other.tries[n].answer.as_mut().expect("answered").at += 1;
    assert!(others_differ(&twin, &other).is_some());
}

/// The first core machine hears nobody for 20 s, and nobody it.
fn cut_off(r: &mut Record, one_way: bool) {
    let (from, until) = (12 * SECOND, 32 * SECOND);
    for other in 1..r.cores {
        r.unheard.push(Unheard { from, until, by: other, of: 0 });
        if !one_way {
            r.unheard.push(Unheard { from, until, by: 0, of: other });
        }
    }
    // What it really said in that time is not what is planted.
    r.spoken.retain(|s| s.by != 0 || s.at < from || s.at >= until);
}

#[test]
fn a_machine_that_is_cut_off_vouches_for_what_the_majority_agrees() {
    for one_way in [false, true] {
        for what in [Vouched::Beat, Vouched::Order, Vouched::Read] {
            caught("STALE", |r| {
                cut_off(r, one_way);
                assert!(!judge(r).iter().any(|b| b.rule == "STALE"));
                r.spoken.push(Spoken { at: 15 * SECOND, by: 0, what });
            });
        }
    }
    caught("STALE", |r| {
        cut_off(r, false);
        r.spoken.push(Spoken { at: 24 * SECOND, by: 0, what: Vouched::Directory });
    });
}

#[test]
fn a_registry_goes_on_vouching_beside_a_store_that_hangs() {
    caught("STALE", |r| {
        r.dark.push(Dark { host: 0, from: 12 * SECOND, until: 32 * SECOND });
        r.spoken.retain(|s| s.by != 0 || s.at < 12 * SECOND || s.at >= 32 * SECOND);
        r.spoken.push(Spoken { at: 15 * SECOND, by: 0, what: Vouched::Beat });
    });
}
