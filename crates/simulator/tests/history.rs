//! The checker of operators' histories catches what is planted in the record of a day with several operators.

use simulator::hunt::play;
use simulator::judge::judge;
use simulator::record::{Change, Fate, Look, Record, Repeat};
use simulator::scenario::Scenario;
use simulator::{MS, SECOND};
use std::sync::OnceLock;

const DAY: &str = "
seconds 44
rate 5
at 9 storm 6 every 0.2 for 20
at 10 lose-acks 50 for 16
at 10 copies 30 late 5 for 16
at 16 kill leader back 1
at 22 cut leader from all for 3
at 20 shift r-tiro to kawe
";

fn day() -> Record {
    static TEXT: OnceLock<Scenario> = OnceLock::new();
    let scenario = TEXT.get_or_init(|| Scenario::read(DAY).expect("a scenario"));
    let played = play(scenario, 5, false);
    assert_eq!(played.unmet, Vec::<String>::new());
    played.record
}

fn caught(why: &str, plant: impl FnOnce(&mut Record)) {
    let mut record = day();
    plant(&mut record);
    let found: Vec<String> =
        judge(&record).into_iter().filter(|b| b.rule == "HISTORY").map(|b| b.what).collect();
    assert!(found.iter().any(|what| what.contains(why)), "{why:?} is not caught; found: {found:?}");
}

fn acknowledged(c: &Change) -> Option<u64> {
    if let Fate::Acknowledged(at) = c.fate { Some(at) } else { None }
}

/// The place of an acknowledged change that was sent after that, and of the one that built on it.
fn pair(r: &Record, after: u64) -> (usize, usize) {
    let taken = |c: &Change| acknowledged(c).is_some();
    let next = |n: usize| r.changes.iter().position(|c| taken(c) && c.base == r.changes[n].version);
    let all = (0..r.changes.len()).filter(|n| taken(&r.changes[*n]) && r.changes[*n].sent > after * SECOND);
    all.filter_map(|n| Some((n, next(n)?))).next().expect("there is one")
}

#[test]
fn a_day_has_a_history_worth_checking() {
    let r = day();
    let taken = r.changes.iter().filter(|c| acknowledged(c).is_some()).count();
    let refused = r.changes.iter().filter(|c| matches!(c.fate, Fate::Refused(_))).count();
    assert!(taken > 60 && refused > 20, "{taken} taken, {refused} refused");
    assert!(r.looks.len() > 150 && r.repeats.len() > 20, "{} and {}", r.looks.len(), r.repeats.len());
    // Several with one number; a put beside a patch is among them.
    let alike = |c: &&Change| {
        r.changes.iter().any(|o| (o.base, o.version) == (c.base, c.version) && o.sent != c.sent)
    };
    assert!(r.changes.iter().filter(alike).count() > 10);
}

#[test]
fn a_read_is_stale() {
    caught("yet what was before it was seen", |r| {
        let (first, next) = pair(r, 18);
        let at = acknowledged(&r.changes[next]).expect("acknowledged") + MS;
        let config = Some(r.changes[first].config.clone());
        r.looks.push(Look { from: at, until: at + MS, config });
    });
    caught("yet what was before it was seen", |r| {
        let at = 20 * SECOND;
        r.looks.push(Look { from: at, until: at + MS, config: None });
    });
}

#[test]
fn a_read_is_ahead_of_its_time() {
    caught("yet what was before it was seen", |r| {
        let (first, _) = pair(r, 18);
        let c = &r.changes[first];
        let (until, config) = (c.sent - MS, Some(c.config.clone()));
        r.looks.push(Look { from: until - MS, until, config });
    });
}

#[test]
fn two_on_one_version_are_confirmed() {
    caught("took effect on", |r| {
        let (n, _) = pair(r, 18);
        let base = r.changes[n].base;
        let loser = r.changes.iter().position(|c| c.base == base && matches!(c.fate, Fate::Refused(_)));
        let loser = loser.unwrap_or_else(|| {
            let twin = r.changes[n].clone();
            r.changes.push(twin);
            r.changes.len() - 1
        });
        r.changes[loser].fate = r.changes[n].fate;
    });
}

#[test]
fn an_acknowledged_change_is_lost() {
    // What came after it builds on what was before it.
    caught("took effect", |r| {
        let (first, next) = pair(r, 18);
        r.changes[next].base = r.changes[first].base;
    });
    // Nothing builds on it, and a later read does not show it.
    caught("yet what was before it was seen", |r| {
        let last = r.changes.iter().filter(|c| acknowledged(c).is_some()).max_by_key(|c| c.version);
        let last = last.expect("there are some").clone();
        let before = r.changes.iter().find(|c| c.version == last.base && acknowledged(c).is_some());
        let config = Some(before.expect("acknowledged").config.clone());
        r.looks.push(Look { from: 43 * SECOND, until: 43 * SECOND + MS, config });
    });
}

#[test]
fn a_change_that_was_taken_is_refused() {
    // Its operator is told so.
    for (seen, why) in [(true, "was refused"), (false, "took effect, though")] {
        caught(why, |r| {
            let all = (0..r.changes.len()).filter(|n| acknowledged(&r.changes[*n]).is_some());
            let is =
                |l: &Look, n: usize| l.config.as_ref().is_some_and(|c| c.version == r.changes[n].version);
            let built_on = |n: usize| {
                let next = |c: &Change| acknowledged(c).is_some() && c.base == r.changes[n].version;
                r.changes.iter().any(next)
            };
            let n = all.rev().find(|n| built_on(*n) && r.looks.iter().any(|l| is(l, *n)));
            let n = n.expect("one that was read and built on");
            let version = r.changes[n].version;
            r.changes[n].fate = Fate::Refused(acknowledged(&r.changes[n]).expect("acknowledged"));
            r.looks.retain(|l| seen || l.config.as_ref().is_none_or(|c| c.version != version));
        });
    }
    // A copy of it is.
    caught("sent again", |r| {
        let (first, _) = pair(r, 18);
        r.repeats.push(Repeat { change: first, sent: 40 * SECOND, status: 412 });
    });
    caught("confirmed as well", |r| {
        let change =
            r.changes.iter().position(|c| matches!(c.fate, Fate::Refused(_))).expect("there are some");
        r.repeats.push(Repeat { change, sent: 40 * SECOND, status: 200 });
    });
}

#[test]
fn a_change_of_what_is_current_is_refused() {
    caught("was current all the while", |r| {
        let last = r.changes.iter().filter(|c| acknowledged(c).is_some()).max_by_key(|c| c.version);
        let mut one = last.expect("there are some").clone();
        (one.base, one.version, one.sent) = (one.version, one.version + 9, 42 * SECOND);
        one.fate = Fate::Refused(42 * SECOND + MS);
        r.changes.push(one);
    });
}

#[test]
fn a_read_shows_what_nobody_sent() {
    caught("was never sent so", |r| {
        let (first, _) = pair(r, 18);
        let look = r.looks.iter_mut().rfind(|l| l.config.is_some()).expect("there are some");
        let mut config = (*r.changes[first].config).clone();
        config.limits.idle_limit_ms += 1;
        look.config = Some(std::rc::Rc::new(config));
    });
}

/// Many changes without an answer, on few versions: the search ends.
#[test]
fn the_search_is_bounded() {
    let mut r = day();
    let last = r.changes.iter().map(|c| c.version).max().expect("there are some");
    let one = r.changes.last().expect("there are some").clone();
    for version in 1..=60 {
        for base in 0..version {
            let (base, version) = (last + base, last + version);
            r.changes.push(Change { base, version, fate: Fate::Open, invalid: false, ..one.clone() });
        }
    }
    let found = judge(&r);
    assert!(found.iter().all(|b| b.rule != "HISTORY"), "{found:?}");
    // A read that none of them explains: it is given up, and that is said.
    let config = r.looks.iter().find_map(|l| l.config.clone());
    r.looks.push(Look { from: 43 * SECOND, until: 43 * SECOND + MS, config });
    assert!(judge(&r).iter().any(|b| b.rule == "HISTORY" && b.what.contains("not decided")));
}
