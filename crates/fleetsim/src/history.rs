//! What clients of the group's documents saw, and whether it is linearizable: as if each call had taken effect at one
//! instant between asking and answer. The search is that of the `stateright` crate.

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

/// Whether the history of one key, from an empty document on, is that of one document.
pub fn linearizable(history: &[Done], key: usize) -> bool {
    let mut steps: Vec<(u64, usize, Option<Op>, Option<Ret>)> = Vec::new();
    for (n, done) in history.iter().filter(|d| d.key == key).enumerate() {
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
            assert!(!linearizable(history, 0), "{history:?}");
        }
    }
}
