//! Rollouts: EXPOSURE, DUTY and, of rollouts that were acknowledged, LOST.

use super::{Judge, arrivals};
use crate::Micros;
use crate::record::{Arrival, Fate, Host, Rollout, Seen, Try};
use settings::rollout::Progress;
use std::collections::BTreeMap;

/// Bad answers of a version after which it is to get no more.
const BAD_ANSWERS: usize = 50;

impl Rollout {
    fn name(&self) -> String {
        format!("{} to {}", self.service, self.version)
    }

    fn term_ends(&self) -> Micros {
        self.sent + self.term
    }
}

impl<'r> Judge<'r> {
    pub(super) fn rollouts(&mut self) {
        let r = self.r;
        for rollout in &r.rollouts {
            if rollout.bad {
                self.share_of_bad(rollout);
                self.after_bad_answers(rollout);
            }
            self.duty(rollout);
            self.goes_back(rollout);
        }
        self.rollouts_kept();
    }

    /// The machine and more than half of the core have been without trouble for the time of contact.
    fn reached(&self, edge: Host, at: Micros) -> bool {
        let since = at.saturating_sub(self.r.bounds.contact);
        let core = (0..self.r.cores).filter(|n| self.r.calm(since, at, |h| h == *n)).count();
        core * 2 > self.r.cores && self.r.calm(since, at, |h| h == edge)
    }

    /// What reached servers of a version.
    fn of_version(&self, rollout: &'r Rollout) -> impl Iterator<Item = (u64, &'r Try, &'r Arrival)> {
        let r = self.r;
        arrivals(r).filter(|(_, _, a)| {
            a.service == rollout.service
                && a.turned_away != Some(421)
                && r.versions.get(&a.server).is_some_and(|v| *v == rollout.version)
        })
    }

    /// A bad version gets more than its share of what reaches the service between the order and its term.
    fn share_of_bad(&mut self, rollout: &'r Rollout) {
        let (b, span) = (&self.r.bounds, rollout.sent..=rollout.term_ends());
        let of =
            |a: &Arrival| a.service == rollout.service && a.turned_away != Some(421) && span.contains(&a.at);
        let all = arrivals(self.r).filter(|(_, _, a)| of(a)).count();
        let most = b.exposure_share * all as f64 + b.exposure_margin;
        let new = self.of_version(rollout).filter(|(_, _, a)| span.contains(&a.at));
        let got: Vec<u64> = new.filter(|(_, _, a)| self.reached(a.edge, a.sent)).map(|(n, ..)| n).collect();
        if got.len() as f64 > most {
            let what =
                format!("{} of {all} requests reached bad {}, {most:.0} may", got.len(), rollout.name());
            self.breach("EXPOSURE", got[most as usize], what);
        }
    }

    /// A bad version gets a request too long after so many bad answers, counted since the core was last unsettled.
    fn after_bad_answers(&mut self, rollout: &'r Rollout) {
        let r = self.r;
        let mut bad = rollout.bad_answers.clone();
        bad.sort_unstable();
        let settled_since = |at: Micros| {
            let core = r.troubles.iter().filter(|t| t.host < r.cores && t.from <= at);
            core.map(|t| t.until.min(at)).max().unwrap_or(0)
        };
        let due = |at: Micros| {
            let first = bad.partition_point(|b| *b < settled_since(at));
            bad.get(first + BAD_ANSWERS - 1).map(|b| b + r.bounds.revert_limit)
        };
        let late = self
            .of_version(rollout)
            .find(|(_, _, a)| due(a.sent).is_some_and(|due| a.sent > due) && r.in_touch(a.edge, a.sent));
        if let Some((n, _, a)) = late {
            let after = (a.sent - due(a.sent).unwrap_or(a.sent)) as f64 / 1e6;
            let what =
                format!("reached {} {after:.3} s after bad {} was to get no more", a.server, rollout.name());
            self.breach("EXPOSURE", n, what);
        }
    }

    /// A good version is completed by its term, a bad one reverted.
    fn duty(&mut self, rollout: &Rollout) {
        let due = if rollout.bad { Progress::Reverted } else { Progress::Completed };
        let end = rollout.seen.iter().find(|s| s.is_over(&rollout.version));
        let found = end.and_then(|s| s.state.as_ref()).map(|s| s.0);
        let in_time = end.is_some_and(|s| s.from <= rollout.term_ends());
        if found == Some(due) && in_time {
            return;
        }
        let at = end.map(|s| format!(" at {:.3}", s.at as f64 / 1e6)).unwrap_or_default();
        let found = found.unwrap_or(Progress::InProgress).name();
        let (due, term) = (due.name(), rollout.term_ends() as f64 / 1e6);
        let what = format!("{} is {found}{at}, due is {due} by {term:.3}", rollout.name());
        self.breach("DUTY", None, what);
    }

    /// A rollout that has ended is seen to run again, or to have ended otherwise.
    fn goes_back(&mut self, rollout: &Rollout) {
        let mut ended: Option<(&Seen, Progress)> = None;
        for seen in &rollout.seen {
            let Some((progress, version)) = &seen.state else { continue };
            if *version != rollout.version {
                continue;
            }
            match ended {
                Some((first, was)) if *progress != was && seen.from >= first.at => {
                    let (name, at) = (rollout.name(), seen.at as f64 / 1e6);
                    let what = format!("{name} was {}, and is {} at {at:.3}", was.name(), progress.name());
                    return self.breach("LOST", None, what);
                }
                None if *progress != Progress::InProgress => ended = Some((seen, *progress)),
                _ => {}
            }
        }
    }

    /// The last rollout of each service that was acknowledged, or a later one, is there whenever one looks.
    fn rollouts_kept(&mut self) {
        let r = self.r;
        let mut gone: BTreeMap<&str, String> = BTreeMap::new();
        for (n, rollout) in r.rollouts.iter().enumerate() {
            let Fate::Acknowledged(acked) = rollout.fate else { continue };
            let of = || r.rollouts.iter().filter(|o| o.service == rollout.service);
            let may: Vec<&str> = r.rollouts[n..]
                .iter()
                .filter(|o| o.service == rollout.service)
                .map(|o| o.version.as_str())
                .collect();
            let seen = of().flat_map(|o| &o.seen).filter(|s| s.from >= acked);
            for s in seen {
                let there = s.state.as_ref().is_some_and(|(_, version)| may.contains(&version.as_str()));
                if !there {
                    let (name, at) = (rollout.name(), s.at as f64 / 1e6);
                    gone.entry(&rollout.service)
                        .or_insert_with(|| format!("{name} was acknowledged, and is gone at {at:.3}"));
                }
            }
        }
        gone.into_values().for_each(|what| self.breach("LOST", None, what));
    }
}
