//! Plays scenarios, says what of them does not hold, and draws days by chance.

use crate::judge::{Breach, judge};
use crate::plan::Wish;
use crate::record::{Change, Fate, Record, Try};
use crate::scenario::{Expect, Scenario, What};
use crate::world::World;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

pub struct Played {
    pub record: Record,
    pub breaches: Vec<Breach>,
    /// What was expected and did not come about; rules that were not expected to be broken among it.
    pub unmet: Vec<String>,
    pub log: Option<Vec<String>>,
}

pub fn play(scenario: &Scenario, seed: u64, log: bool) -> Played {
    let mut world = World::new(scenario.clone(), seed);
    world.log = log.then(Vec::new);
    let (record, log) = world.play();
    let breaches = judge(&record);
    let mut unmet = unmet(scenario, &record, &breaches);
    if scenario.expects.iter().any(|e| matches!(e, Expect::OthersSame)) {
        unmet.extend(others_differ(&record, &without_drills(scenario, seed)));
    }
    Played { record, breaches, unmet, log }
}

/// The same day without its drills.
pub fn without_drills(scenario: &Scenario, seed: u64) -> Record {
    let mut twin = scenario.clone();
    let drill = |w: &What| {
        matches!(w, What::Change { wish: Wish::Drill(_) | Wish::StopDrill { .. }, .. } | What::OneNode { .. })
    };
    twin.events.retain(|(_, what)| !drill(what));
    World::new(twin, seed).play().0
}

/// The first request of another caller whose tries, places, answers or times are not those of the other day.
pub fn others_differ(record: &Record, twin: &Record) -> Option<String> {
    let drilled = |t: &Try| record.rehearsals.iter().any(|r| record.of_caller(&r.drill, t));
    let tries = |r: &Record| {
        let mut of: BTreeMap<u64, Vec<String>> = BTreeMap::new();
        for t in r.tries.iter().filter(|t| !drilled(t)) {
            let answer = t.answer.as_ref().map(|a| (a.at, a.status));
            let ran: Vec<_> =
                t.arrivals.iter().map(|a| (a.sent, a.at, &a.server, a.turned_away, a.ran)).collect();
            let seen = format!("{:?}", (t.sent, t.edge, &t.path, t.read, ran, answer, t.broken));
            of.entry(t.request).or_default().push(seen);
        }
        of
    };
    let (with, without) = (tries(record), tries(twin));
    let all: BTreeSet<u64> = with.keys().chain(without.keys()).copied().collect();
    let differs: Vec<u64> = all.iter().copied().filter(|n| with.get(n) != without.get(n)).collect();
    let first = differs.first()?;
    let (a, b) = (with.get(first), without.get(first));
    Some(format!("OTHERS: {} of {} differ, first {first}: {a:?} for {b:?}", differs.len(), all.len()))
}

/// What was expected of a scenario and did not come about.
pub fn unmet(scenario: &Scenario, record: &Record, breaches: &[Breach]) -> Vec<String> {
    let mut out = Vec::new();
    let expected = |rule: &str| {
        scenario.expects.iter().any(|e| match e {
            Expect::Broken(r) => r == rule,
            Expect::DutyOpen => rule == "DUTY",
            _ => false,
        })
    };
    for b in breaches.iter().filter(|b| !expected(b.rule)) {
        out.push(match b.attempt {
            Some(n) => format!("{}: try {n}: {}", b.rule, b.what),
            None => format!("{}: {}", b.rule, b.what),
        });
    }
    for expect in &scenario.expects {
        match expect {
            Expect::Served { least, from } => {
                let (served, all) = record.served(*from, record.ends);
                if all == 0 || (served as f64) < *least / 100.0 * all as f64 {
                    out.push(format!("{served} of {all} were served, {least} in a hundred are expected"));
                }
            }
            Expect::Acknowledged => {
                let taken = |c: &Change| matches!(c.fate, Fate::Acknowledged(_));
                for c in record.changes.iter().filter(|c| !c.invalid && !taken(c)) {
                    // One of two on the same version loses.
                    if !record.changes.iter().any(|o| o.base == c.base && taken(o)) {
                        out.push(format!("version {} was not acknowledged: {:?}", c.version, c.fate));
                    }
                }
                for b in record.bookings.iter().filter(|b| !matches!(b.fate, Fate::Acknowledged(_))) {
                    out.push(format!("the booking of {} was not acknowledged: {:?}", b.name, b.fate));
                }
                for o in record.rollouts.iter().filter(|o| !matches!(o.fate, Fate::Acknowledged(_))) {
                    let name = format!("{} to {}", o.service, o.version);
                    out.push(format!("the rollout of {name} was not acknowledged: {:?}", o.fate));
                }
                for e in record.evacuations.iter().filter(|e| !matches!(e.fate, Fate::Acknowledged(_))) {
                    let on = if e.on { "evacuation" } else { "return" };
                    out.push(format!("the {on} of {} was not acknowledged: {:?}", e.zone, e.fate));
                }
            }
            Expect::Met(count) => {
                if record.met.len() != *count {
                    out.push(format!("{} met a rehearsed fault, {count} are expected", record.met.len()));
                }
            }
            Expect::Reconciled => {
                for (n, r) in record.rehearsals.iter().enumerate() {
                    let met = record.met.iter().filter(|m| m.of == n).map(|m| m.attempt);
                    let met: BTreeSet<u64> = met.collect();
                    let told = r
                        .report
                        .clone()
                        .map(|(named, count)| (named.into_iter().collect::<BTreeSet<u64>>(), count as usize));
                    let all = |(named, count): &(BTreeSet<u64>, usize)| {
                        *count == met.len() && named.is_subset(&met) && named.len() == met.len().min(64)
                    };
                    if !told.as_ref().is_some_and(all) {
                        out.push(format!(
                            "the report of {} tells {told:?}, met it have {met:?}",
                            r.drill.name
                        ));
                    }
                }
            }
            Expect::OthersSame | Expect::DutyOpen => {}
            Expect::Tenant { tenant, least, from } => {
                let of =
                    record.requests.iter().filter(|r| r.tenant == *tenant && !r.unowed && r.sent >= *from);
                let (served, all) =
                    of.fold((0, 0), |(s, all), r| (s + usize::from(r.served.is_some()), all + 1));
                if (served as f64) < *least / 100.0 * all as f64 {
                    out.push(format!(
                        "{served} of {all} of t{tenant} were served, {least} in a hundred are expected"
                    ));
                }
            }
            Expect::Refused(many) => {
                let refused = |f: Fate| matches!(f, Fate::Refused(_));
                let found = record.bookings.iter().filter(|b| refused(b.fate)).count();
                if found != *many {
                    out.push(format!("{found} bookings were refused, {many} were expected"));
                }
            }
            Expect::Broken(rule) => {
                if !breaches.iter().any(|b| b.rule == rule) {
                    out.push(format!("{rule} was expected to be broken and is not"));
                }
            }
        }
    }
    out
}

/// A day of faults drawn from `seed`, as the text of a scenario. What is lost at one time stays within what
/// may be.
pub fn draw(seed: u64) -> String {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0xd1f1);
    let mut text = String::new();
    let pick = |rng: &mut fastrand::Rng, of: &[&str]| of[rng.usize(0..of.len())].to_string();
    let cores = pick(&mut rng, &["a b a", "a c a", "a b c"]);
    let edges = rng.usize(4..=10);
    let _ = writeln!(text, "cores {cores}\nedges {edges}\nrate {}", rng.u32(15..40));
    if rng.u32(0..4) == 0 {
        let _ = writeln!(text, "sync {}", rng.u32(5..60));
    }
    let core = |rng: &mut fastrand::Rng| format!("core{}", rng.u32(1..=3));
    let edge = |rng: &mut fastrand::Rng| format!("edge{}", rng.usize(1..=edges));
    let services = ["tiro", "utu", "kawe"];
    let server = |rng: &mut fastrand::Rng| {
        let s = pick(rng, &services);
        format!("{s}{}", rng.u32(1..=4))
    };
    let mut at = 9.0 + rng.f64() * 5.0;
    let mut lines: Vec<(f64, String)> = Vec::new();
    let mut evacuated: Option<(f64, String)> = None;
    for _ in 0..rng.u32(2..=4) {
        let back = format!("{:.2}", 0.2 + rng.f64() * 4.0);
        // Heavy faults: one at a time, with time to catch up after each.
        let (what, last) = match rng.u32(0..13) {
            0 => (format!("kill leader back {back}"), 6.0),
            1 => (format!("kill {} back {back}", core(&mut rng)), 6.0),
            2 => ("kill cores back 0.5".into(), 6.0),
            3 => (format!("power {} back {back}", core(&mut rng)), 6.0),
            4 => (format!("wipe {} back {back}", core(&mut rng)), 9.0),
            5 => {
                let last = 1.0 + rng.f64() * 7.0;
                let one_way = if rng.bool() { " oneway" } else { "" };
                let who = pick(&mut rng, &["leader", "core1", "core2", "core3"]);
                let from = pick(&mut rng, &["all", "cores"]);
                (format!("cut {who} from {from} for {last:.2}{one_way}"), last + 5.0)
            }
            6 => {
                let last = 1.0 + rng.f64() * 9.0;
                let from = pick(&mut rng, &["all", "cores", "machines"]);
                (format!("cut {} from {from} for {last:.2}", edge(&mut rng)), 2.0)
            }
            7 => (format!("kill {} back {back}", edge(&mut rng)), 1.0),
            8 => (format!("term {} back {back}", edge(&mut rng)), 1.0),
            9 => (format!("term {} back {back}", core(&mut rng)), 13.0),
            10 => {
                let zone = pick(&mut rng, &["zone:b", "zone:c", "zone:d"]);
                (format!("power {zone} back {back}"), 8.0)
            }
            11 => ("kill machines back 0.7".into(), 7.0),
            _ => (format!("slow-disk leader {} for 4", rng.u32(20..400)), 5.0),
        };
        // Many faults come just as something is under way, or is acknowledged.
        let trigger = pick(&mut rng, &["", "", "when sent ", "when order ", "when drain "]);
        if trigger == "when drain " {
            lines.push((at + 0.01, format!("drain {} back 1", server(&mut rng))));
        } else if !trigger.is_empty() || rng.bool() {
            let (a, b) = (pick(&mut rng, &services), pick(&mut rng, &services));
            let change = match rng.u32(0..6) {
                0 => format!("patch r-{a} to {b}"),
                1 => format!("split r-{a} to {a} {b}"),
                2 => format!("rekey t{}", rng.u32(0..3)),
                3 => format!("quota-of t{} {}", rng.u32(0..3), rng.u32(30..90)),
                _ => format!("shift r-{a} to {b}"),
            };
            lines.push((at + 0.01, change.clone()));
            if rng.u32(0..3) == 0 {
                lines.push((at + 0.011, format!("rival shift r-{b} to {a}")));
            }
        }
        lines.push((at, format!("{trigger}{what}")));
        at += last + rng.f64() * 5.0;
    }
    for _ in 0..rng.u32(0..4) {
        let when = 9.0 + rng.f64() * (at - 9.0);
        let what = match rng.u32(0..9) {
            0 => format!("crash {} back 2", server(&mut rng)),
            1 => format!("crash {} dark back 3", server(&mut rng)),
            2 => format!("replace {} by {} after 2", server(&mut rng), pick(&mut rng, &services)),
            3 => format!("drain {} back 1", server(&mut rng)),
            4 => format!("lose {} for 2", pick(&mut rng, &services)),
            5 => format!("cold {}", pick(&mut rng, &services)),
            6 => format!("hot {} 3 for 5", rng.u32(0..3)),
            7 => format!("slow {} for 4", pick(&mut rng, &services)),
            _ => {
                let zone = pick(&mut rng, &["a", "b", "c", "d"]);
                evacuated.get_or_insert((when, zone));
                continue;
            }
        };
        lines.push((when, what));
    }
    if let Some((when, zone)) = evacuated {
        lines.push((when, format!("evacuate {zone}")));
        lines.push((when + 8.0, format!("return {zone}")));
        lines.push((when + 7.9, format!("cold {}", pick(&mut rng, &services))));
        at = at.max(when + 9.0);
    }
    let mut ends = at + 12.0;
    if rng.u32(0..3) == 0 {
        let closing = pick(
            &mut rng,
            &["power machines back 2", "kill machines back 0.8", "wipe core1 back 2", "wipe core3 back 1"],
        );
        lines.push((at, format!("when order closing {closing}")));
        if closing.starts_with("wipe") && rng.bool() {
            lines.push((at + 0.001, "when order power cores back 2".into()));
        }
        lines.push((at + 0.01, "shift r-tiro to kawe".into()));
        ends = at + 32.0;
    }
    // Drawn last, so that the days before it was there stay as they were.
    if rng.u32(0..3) == 0 {
        let from = 9.0 + rng.f64() * (at - 9.0);
        let faults =
            ["lost", "cut", "refused", "no_server", "closed", "late 500", "slow 300", "unreachable zone:a"];
        let (fault, tenant) = (pick(&mut rng, &faults), rng.u32(0..3));
        let often = pick(&mut rng, &["", "share 0.4 ", "count 5 ", "on r-utu ", "on r-utu count 2 "]);
        let last = 3.0 + rng.f64() * 12.0;
        lines.push((from, format!("drill x {fault} of t{tenant} {often}for {last:.2}")));
        if rng.bool() {
            lines.push((from + last * rng.f64(), "drill-stop x".into()));
        }
    }
    if rng.u32(0..3) == 0 {
        let from = 9.0 + rng.f64() * (at - 9.0);
        let last = 4.0 + rng.f64() * (at - from).max(1.0);
        let (many, every) = (rng.u32(2..=8), pick(&mut rng, &["0.05", "0.2", "0.6"]));
        lines.push((from, format!("storm {many} every {every} for {last:.2}")));
        if rng.bool() {
            lines.push((from, format!("lose-acks {} for {last:.2}", rng.u32(20..80))));
        }
        if rng.bool() {
            lines.push((from, format!("copies {} late {} for {last:.2}", rng.u32(10..60), rng.u32(1..8))));
        }
        if rng.bool() {
            let cut = from + last * rng.f64();
            let one_way = if rng.bool() { " oneway" } else { "" };
            lines.push((cut, format!("cut leader from cores for {:.2}{one_way}", 0.5 + rng.f64() * 3.0)));
        }
    }
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let _ = writeln!(text, "seconds {ends:.1}");
    for (at, line) in lines {
        let _ = writeln!(text, "at {at:.3} {line}");
    }
    text
}

/// A day of servers that answer as they should not, lost and reset connections, machines that stand still or
/// end in order, and changes of the configuration, at once and again and again.
pub fn draw_answers(seed: u64) -> String {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0xa75e);
    let services = ["tiro", "utu", "kawe"];
    let edges = rng.usize(3..=8);
    let mut text = format!("cores a b a\nedges {edges}\nrate {}\nseconds 60\n", rng.u32(20..60));
    for _ in 0..rng.u32(12..30) {
        let at = 9.0 + rng.f64() * 40.0;
        let service = *rng.choice(&services).expect("some");
        let one = format!("{service}{}", rng.u32(1..=4));
        let server = if rng.bool() { service.to_string() } else { one.clone() };
        let (part, last) = (rng.u32(2..60), 1.0 + rng.f64() * 6.0);
        let edge = rng.usize(1..=edges);
        let other = rng.choice(&services).expect("some");
        let what = match rng.u32(0..14) {
            0 | 1 => format!("grey {server} garble {part} for {last:.2}"),
            2 | 3 => format!("grey {server} extra {part} for {last:.2}"),
            4 => format!("grey {server} reset {part} for {last:.2}"),
            5 => format!("grey {server} shed {part} for {last:.2}"),
            6 => format!("lose {server} for {last:.2}"),
            7 | 8 => format!("reset {server} {part}"),
            9 => format!("freeze edge{edge} for {:.2}", last / 2.0),
            10 => format!("term edge{edge} back {:.2}", 0.2 + rng.f64()),
            11 => format!("replace {one} by {other} after 2"),
            12 => format!("crash {one} {}back 2", if rng.bool() { "dark " } else { "" }),
            _ => format!("patch r-{service} to {other}"),
        };
        let _ = writeln!(text, "at {at:.3} {what}");
    }
    text
}

/// A day of two rollouts, one of a good version, and of faults around them. What is lost at one time stays within what may be.
pub fn draw_rollouts(seed: u64) -> String {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x7011);
    let cores = *rng.choice(&["a b a", "a c a", "a b a b a"]).expect("some");
    let edges = rng.usize(4..=10);
    let mut text =
        format!("cores {cores}\nedges {edges}\nrate 60\nquota 1000\nservice utu 12\nservice tiro 12\n");
    let bad = match rng.u32(0..3) {
        0 => "slow".to_string(),
        1 => format!("late {:.1}", 1.0 + rng.f64() * 3.0),
        _ => format!("errors share {:.1}", 0.3 + rng.f64() * 0.7),
    };
    let mut lines = vec![
        (8.0, "crowd t0 to utu 140 for 60".to_string()),
        (8.0, "crowd t1 to tiro 140 for 60".to_string()),
        (10.0, "rollout utu to v2 within 12".to_string()),
        (10.0 + rng.f64(), format!("rollout tiro to v2 within 12 bad {bad}")),
    ];
    let mut at = 9.5 + rng.f64() * 3.0;
    while at < 22.0 {
        let (back, last) = (0.2 + rng.f64() * 3.0, 1.0 + rng.f64() * 4.0);
        let edge = rng.usize(1..=edges);
        let (what, pause) = match rng.u32(0..12) {
            0 => (format!("kill leader back {back:.2}"), 5.0),
            1 => (format!("power core2 back {back:.2}"), 5.0),
            2 => (format!("wipe core3 back {back:.2}"), 8.0),
            3 => (format!("cut leader from all for {last:.2}"), last + 4.0),
            4 => (format!("cut leader from cores for {last:.2} oneway"), last + 4.0),
            5 => (format!("cut edge{edge} from all for {last:.2}"), 1.0),
            6 => (format!("power edge{edge} back {back:.2}"), 1.0),
            7 => (format!("term edge{edge} back {back:.2}"), 1.0),
            8 => ("kill machines back 0.7".to_string(), 7.0),
            9 => (format!("lose-acks 60 for {last:.2}"), 1.0),
            10 => (format!("power zone:b back {back:.2}"), 8.0),
            _ => (format!("replace-core core3 after {back:.2}"), 9.0),
        };
        let trigger = if rng.u32(0..4) == 0 && at < 10.0 { "when order " } else { "" };
        lines.push((at, format!("{trigger}{what}")));
        at += pause + rng.f64() * 4.0;
    }
    let closes = at.max(14.0);
    if rng.bool() {
        lines.push((closes, "closing power machines back 2".to_string()));
        if rng.bool() {
            lines.push((closes, "wipe core1 back 2".to_string()));
        }
    }
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let _ = writeln!(text, "seconds {:.1}\nexpect duty open", closes + 30.0);
    for (at, line) in lines {
        let _ = writeln!(text, "at {at:.3} {line}");
    }
    text
}

/// What a reader needs of a day on which something does not hold.
pub fn report(played: &Played) -> String {
    let mut out = String::new();
    for line in played.unmet.iter().take(12) {
        let _ = writeln!(out, "{line}");
    }
    if played.unmet.len() > 12 {
        let _ = writeln!(out, "and {} more", played.unmet.len() - 12);
    }
    let mut shown = Vec::new();
    for b in &played.breaches {
        if let Some(n) = b.attempt.filter(|_| !shown.contains(&b.rule)) {
            shown.push(b.rule);
            let _ = write!(out, "-- {}: the trail of try {n}\n{}", b.rule, played.record.trail(n));
        }
    }
    out
}

/// The trails of requests that were owed an answer and had none, in order.
pub fn unserved(record: &Record, most: usize) -> String {
    let lost = record.requests.iter().enumerate().filter(|(_, r)| !r.unowed && r.served.is_none());
    let mut out = String::new();
    for (n, r) in lost.take(most) {
        let _ = writeln!(out, "-- request {n}, sent at {:.3}, was not served", r.sent as f64 / 1e6);
        for t in (0..record.tries.len()).filter(|t| record.tries[*t].request == n as u64) {
            out.push_str(&record.trail(t as u64));
        }
    }
    out
}

/// What became of the tries, by the second in which they were sent: how many were served, and why the others were not.
pub fn reasons(record: &Record) -> String {
    let mut seconds: BTreeMap<u64, BTreeMap<String, usize>> = BTreeMap::new();
    for t in &record.tries {
        let full = t.arrivals.iter().filter(|a| a.turned_away.is_some()).count();
        let what = match &t.answer {
            Some(a) if a.status < 300 => "served".to_string(),
            Some(a) if full > 0 => format!("{} turned away", a.status),
            Some(a) if t.given => format!("{} given", a.status),
            Some(a) => format!("{} not given", a.status),
            None if t.broken.is_some() => "closed".to_string(),
            None if t.read.is_none() => "not read".to_string(),
            None => "no answer".to_string(),
        };
        *seconds.entry(t.sent / crate::SECOND).or_default().entry(what).or_default() += 1;
    }
    let mut out = String::new();
    for (second, counts) in seconds {
        let counts: Vec<String> = counts.iter().map(|(what, n)| format!("{what} {n}")).collect();
        let _ = writeln!(out, "{second:>4} s: {}", counts.join(", "));
    }
    out
}
