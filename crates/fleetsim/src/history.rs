//! What clients of the group's documents saw, and whether it is linearizable: as if each call had taken effect at one
//! instant between asking and answer. The search is that of the `stateright` crate.

use std::collections::BTreeMap;

use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};

/// A call on one document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Op {
    /// Value, and the version it must be at, if any was named.
    Put {
        value: u64,
        if_version: Option<u64>,
    },
    Get,
}

/// What came back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ret {
    /// The version after it.
    Put(u64),
    /// The other version that stood in its way.
    Conflict(u64),
    Got {
        version: u64,
        value: Option<u64>,
    },
}

/// One call. Times are of one clock, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Done {
    pub client: usize,
    pub key: usize,
    pub op: Op,
    pub asked: u64,
    /// None: never answered; it may have been carried out.
    pub answered: Option<(u64, Ret)>,
}

/// One document, done to by one call after the other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Doc {
    version: u64,
    value: Option<u64>,
}

impl SequentialSpec for Doc {
    type Op = Op;
    type Ret = Ret;
    fn invoke(&mut self, op: &Op) -> Ret {
        match op {
            Op::Put { if_version: Some(v), .. } if *v != self.version => Ret::Conflict(self.version),
            Op::Put { value, .. } => {
                *self = Doc { version: self.version + 1, value: Some(*value) };
                Ret::Put(self.version)
            }
            Op::Get => Ret::Got { version: self.version, value: self.value },
        }
    }
}

/// Histories of one key up to this length go to the search as well, whose cost may grow exponentially.
const MOST_SEARCHED: usize = 60;

/// Whether the history of one key, from an empty document on, is that of one document. Any length is judged by the
/// order of versions ([`in_order`]), short ones by the crate's search too.
pub fn linearizable(history: &[Done], key: usize) -> bool {
    let one: Vec<&Done> = history.iter().filter(|d| d.key == key).collect();
    in_order(&one).is_ok() && (one.len() > MOST_SEARCHED || searched(&one))
}

/// Versions name the place of each call in the one order that there can be, so the history is linearizable just if
/// that order fits the times: nothing that was asked after an answer comes before it, each version has one writer, and
/// what was read is what that writer wrote. Writes without an answer fill the versions that nobody claims.
pub fn in_order(history: &[&Done]) -> Result<(), String> {
    let mut wrote: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    let mut open: BTreeMap<u64, u64> = BTreeMap::new();
    // Version, whether it wrote it, asked, answered.
    let mut steps: Vec<(u64, bool, u64, u64)> = Vec::new();
    for d in history {
        match (d.op, d.answered) {
            (Op::Put { value, .. }, Some((at, Ret::Put(version)))) => {
                if wrote.insert(version, (value, d.asked)).is_some() {
                    return Err(format!("version {version} was written twice"));
                }
                steps.push((version, true, d.asked, at));
            }
            (_, Some((at, Ret::Conflict(version) | Ret::Got { version, .. }))) => {
                steps.push((version, false, d.asked, at));
            }
            (Op::Put { value, .. }, None) => drop(open.insert(value, d.asked)),
            _ => {}
        }
    }
    for d in history {
        let Some((_, Ret::Got { version, value })) = d.answered else { continue };
        let Some(value) = value else {
            if version != 0 {
                return Err(format!("version {version} was read without a value"));
            }
            continue;
        };
        match wrote.get(&version) {
            Some((written, _)) if *written == value => {}
            Some((written, _)) => return Err(format!("version {version}: {value} read, {written} written")),
            None => {
                let Some(asked) = open.remove(&value) else {
                    return Err(format!("version {version}: {value} was read, and nobody wrote it"));
                };
                wrote.insert(version, (value, asked));
            }
        }
    }
    let highest = steps.iter().map(|s| s.0).max().unwrap_or(0);
    let unclaimed = (1..=highest).filter(|v| !wrote.contains_key(v)).count();
    if unclaimed > open.len() {
        return Err(format!(
            "{unclaimed} versions up to {highest} that nobody wrote, {} writes open",
            open.len()
        ));
    }
    // By answer: the highest version answered before a call was asked.
    let mut by_answer: Vec<_> = steps.iter().map(|(version, _, _, at)| (*at, *version)).collect();
    by_answer.sort_unstable();
    let mut highest_by = Vec::with_capacity(by_answer.len());
    let mut most = 0;
    for (at, version) in &by_answer {
        most = most.max(*version);
        highest_by.push((*at, most));
    }
    for (version, writes, asked, at) in &steps {
        let before = highest_by.partition_point(|(answered, _)| answered < asked);
        let least = if before == 0 { 0 } else { highest_by[before - 1].1 + u64::from(*writes) };
        if *version < least {
            return Err(format!("version {version}, asked at {asked}, though {least} was due by then"));
        }
        if let Some((v, (_, later))) = wrote.range(..=*version).find(|(_, (_, written))| written > at) {
            return Err(format!("version {version} answered at {at}, version {v} only asked for at {later}"));
        }
    }
    Ok(())
}

fn searched(history: &[&Done]) -> bool {
    let mut steps: Vec<(u64, usize, Option<Op>, Option<Ret>)> = Vec::new();
    for (n, done) in history.iter().enumerate() {
        steps.push((done.asked, n, Some(done.op), None));
        if let Some((at, ret)) = done.answered {
            steps.push((at, n, None, Some(ret)));
        }
    }
    // At one instant, asking comes before answering: the wider reading.
    steps.sort_by_key(|(at, n, op, _)| (*at, op.is_none(), *n));
    let mut tester = LinearizabilityTester::new(Doc::default());
    for (_, n, op, ret) in steps {
        // Each call is a thread of its own, so neither can fail.
        if let Some(op) = op {
            let _ = tester.on_invoke(n, op);
        }
        if let Some(ret) = ret {
            let _ = tester.on_return(n, ret);
        }
    }
    tester.is_consistent()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn done(op: Op, asked: u64, at: u64, ret: Ret) -> Done {
        Done { client: 0, key: 0, op, asked, answered: Some((at, ret)) }
    }

    fn put(value: u64) -> Op {
        Op::Put { value, if_version: None }
    }

    #[test]
    fn what_one_document_could_have_shown_passes() {
        let history = [
            done(put(1), 0, 10, Ret::Put(1)),
            done(put(2), 5, 30, Ret::Put(2)),
            done(Op::Get, 8, 20, Ret::Got { version: 2, value: Some(2) }),
            Done { client: 1, key: 0, op: put(3), asked: 40, answered: None },
            done(Op::Get, 50, 60, Ret::Got { version: 3, value: Some(3) }),
            done(Op::Put { value: 4, if_version: Some(1) }, 70, 80, Ret::Conflict(3)),
        ];
        assert!(linearizable(&history, 0));
    }

    #[test]
    fn a_stale_read_a_lost_write_and_one_done_twice_are_caught() {
        let first = done(put(1), 0, 10, Ret::Put(1));
        let stale = [first.clone(), done(Op::Get, 20, 30, Ret::Got { version: 0, value: None })];
        let lost = [first.clone(), done(put(2), 20, 30, Ret::Put(1))];
        let twice = [
            first,
            done(put(2), 20, 30, Ret::Put(2)),
            done(Op::Get, 40, 50, Ret::Got { version: 3, value: Some(2) }),
        ];
        for history in [&stale[..], &lost[..], &twice[..]] {
            let one: Vec<&Done> = history.iter().collect();
            assert!(!searched(&one) && in_order(&one).is_err(), "{history:?}");
        }
    }

    /// Both judges agree on small histories, good and spoilt.
    #[test]
    fn the_order_of_versions_and_the_search_say_the_same() {
        let (mut good, mut bad) = (0, 0);
        for seed in 0..3000u64 {
            let mut x = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
            let mut next = |n: u64| {
                x ^= x << 13;
                x ^= x >> 7;
                x ^= x << 17;
                x % n
            };
            let mut doc = Doc::default();
            let mut history = Vec::new();
            for n in 0..6 {
                let op = if next(2) == 0 { Op::Get } else { put(n + 1) };
                // Takes effect now; asked and answered somewhat before and after.
                let instant = 100 + n * 10;
                let ret = doc.invoke(&op);
                let (asked, at) = (instant - next(40), instant + next(40));
                let lost = matches!(op, Op::Put { .. }) && next(4) == 0;
                history.push(Done { client: 0, key: 0, op, asked, answered: (!lost).then_some((at, ret)) });
            }
            if next(2) == 0 {
                let n = next(6) as usize;
                match &mut history[n].answered {
                    Some((_, Ret::Got { version, .. })) => *version += 1,
                    Some((_, Ret::Put(version))) => *version = 1 + next(4),
                    _ => {}
                }
            }
            let one: Vec<&Done> = history.iter().collect();
            let (a, b) = (in_order(&one), searched(&one));
            assert_eq!(a.is_ok(), b, "{a:?}: {history:#?}");
            *(if b { &mut good } else { &mut bad }) += 1;
        }
        assert!(good > 500 && bad > 500, "{good} good, {bad} bad");
    }
}
