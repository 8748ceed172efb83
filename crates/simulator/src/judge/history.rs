//! HISTORY: the operators' record is that of one register of versions, which is read and compared and set at one moment
//! each, between the call and its answer (linearizability). Calls without a clear answer have taken effect at some
//! moment after they were sent, or never.
//!
//! Versions climb and each change names the one that it builds on, so what took effect is a chain. Mostly the record
//! tells it whole; where changes that nobody saw may stand in it, the ways are tried, up to a bound. Beyond it the day
//! counts as not kept.

use super::Judge;
use crate::Micros;
use crate::record::{Fate, Look, Record};
use settings::Config;
use std::collections::BTreeMap;

/// Steps of the search for a chain, on a day.
const MOST_STEPS: usize = 100_000;

/// The chain that was found, or why there is none.
type Found = Result<(), String>;

struct History<'r> {
    r: &'r Record,
    /// Changes that took effect, as an answer or a read tells.
    known: Vec<bool>,
    /// Changes by what they build on: those known, or where none is, those that may have taken effect.
    on: BTreeMap<u32, Vec<usize>>,
    /// What each read showed; None: nothing yet.
    looks: Vec<(&'r Look, Option<usize>)>,
    steps: usize,
}

impl Judge<'_> {
    pub(super) fn history(&mut self) {
        if let Err(why) = check(self.r) {
            self.breach("HISTORY", None, why);
        }
    }
}

fn same(a: &Config, b: &Config) -> bool {
    a.version == b.version
        && (&a.routes, &a.services, &a.tenants, a.limits) == (&b.routes, &b.services, &b.tenants, b.limits)
}

fn s(at: Micros) -> f64 {
    at as f64 / 1e6
}

fn check(r: &Record) -> Found {
    let acknowledged = |c: usize| matches!(r.changes[c].fate, Fate::Acknowledged(_));
    let mut known: Vec<bool> = (0..r.changes.len()).map(acknowledged).collect();
    let mut looks = Vec::new();
    for look in &r.looks {
        let Some(config) = &look.config else {
            looks.push((look, None));
            continue;
        };
        let fits = |c: &usize| same(&r.changes[*c].config, config) && !r.changes[*c].invalid;
        let open = |c: &usize| !matches!(r.changes[*c].fate, Fate::Refused(_));
        let all: Vec<usize> = (0..r.changes.len()).filter(fits).collect();
        // Of two alike, the one that may be.
        let of = all.iter().find(|c| known[**c]).or(all.iter().find(|c| open(c))).or(all.first());
        let Some(of) = of else {
            return Err(format!(
                "version {}, read at {:.3}, was never sent so",
                config.version,
                s(look.until)
            ));
        };
        if !open(of) {
            return Err(format!("version {}, read at {:.3}, was refused", config.version, s(look.until)));
        }
        known[*of] = true;
        looks.push((look, Some(*of)));
    }
    let mut on: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
    for (c, change) in r.changes.iter().enumerate() {
        if known[c] || (change.fate == Fate::Open && !change.invalid) {
            on.entry(change.base).or_default().push(c);
        }
    }
    for (base, all) in &mut on {
        let sure: Vec<usize> = all.iter().copied().filter(|c| known[*c]).collect();
        if let [first, second, ..] = sure[..] {
            let (first, second) = (r.changes[first].version, r.changes[second].version);
            return Err(format!("both {first} and {second} took effect on {base}"));
        }
        if !sure.is_empty() {
            *all = sure;
        }
    }
    let mut history = History { r, known, on, looks, steps: 0 };
    history.search(&mut Vec::new())
}

impl History<'_> {
    /// Whether some chain that begins so explains all.
    fn search(&mut self, chain: &mut Vec<usize>) -> Found {
        self.steps += 1;
        let current = chain.last().map_or(0, |c| self.r.changes[*c].version);
        let next = self.on.get(&current).cloned().unwrap_or_default();
        let must = next.iter().any(|c| self.known[*c]);
        // Unknown changes need not have taken effect: without them first.
        let mut why = if must { Ok(()) } else { self.explains(chain) };
        if !must && why.is_ok() {
            return why;
        }
        for c in next {
            if self.steps > MOST_STEPS {
                return Err(format!("not decided in {MOST_STEPS} steps"));
            }
            if self.r.changes[c].version <= current {
                why = Err(format!("version {} took effect on {current}", self.r.changes[c].version));
                continue;
            }
            chain.push(c);
            let found = self.search(chain);
            chain.pop();
            if found.is_ok() {
                return found;
            }
            why = found;
        }
        why
    }

    /// Whether moments can be found for this chain, each after the one before, so that all answers fit.
    fn explains(&self, chain: &[usize]) -> Found {
        let changes = &self.r.changes;
        let at: BTreeMap<usize, usize> = chain.iter().enumerate().map(|(i, c)| (*c, i + 1)).collect();
        if let Some(lost) = (0..changes.len()).find(|c| self.known[*c] && !at.contains_key(c)) {
            let (version, base) = (changes[lost].version, changes[lost].base);
            return Err(format!("version {version} took effect, though {base} was not current or is gone"));
        }
        // By place in the chain, 0 before all: the last beginning and the first end of a read.
        let n = chain.len();
        let (mut begins, mut ends) = (vec![0; n + 1], vec![Micros::MAX; n + 1]);
        for (look, of) in &self.looks {
            let i = of.map_or(0, |c| at[&c]);
            begins[i] = begins[i].max(look.from);
            ends[i] = ends[i].min(look.until);
        }
        // Each as late as it can be, then as early.
        let mut latest = vec![Micros::MAX; n + 2];
        for i in (1..=n).rev() {
            let acknowledged = match changes[chain[i - 1]].fate {
                Fate::Acknowledged(at) => at,
                _ => Micros::MAX,
            };
            latest[i] = latest[i + 1].min(ends[i]).min(acknowledged);
        }
        latest[0] = 0;
        let mut earliest = vec![0; n + 1];
        for i in 1..=n {
            let change = &changes[chain[i - 1]];
            earliest[i] = earliest[i - 1].max(change.sent).max(begins[i - 1]);
            if earliest[i] > latest[i] {
                return Err(format!(
                    "version {} took effect by {:.3}, yet what was before it was seen, or it was sent, at {:.3}",
                    change.version,
                    s(latest[i]),
                    s(earliest[i])
                ));
            }
        }
        self.refusals(chain, &earliest, &latest)?;
        self.repeats(&at, &latest)
    }

    /// Who was refused had another version before him at some moment.
    fn refusals(&self, chain: &[usize], earliest: &[Micros], latest: &[Micros]) -> Found {
        let changes = &self.r.changes;
        for change in changes.iter().filter(|c| !c.invalid) {
            let Fate::Refused(refused) = change.fate else { continue };
            let is = |c: &usize| changes[*c].version == change.base;
            let place = if change.base == 0 { Some(0) } else { chain.iter().position(is).map(|i| i + 1) };
            let Some(i) = place else { continue };
            let unseen = |(c, o): (usize, &crate::record::Change)| {
                o.base == change.base && o.fate == Fate::Open && o.sent < refused && !chain.contains(&c)
            };
            let moved = earliest.get(i + 1).is_some_and(|next| *next <= refused);
            if latest[i] < change.sent && !moved && !changes.iter().enumerate().any(unseen) {
                return Err(format!(
                    "version {}, sent at {:.3}, was refused though {} was current all the while",
                    change.version,
                    s(change.sent),
                    change.base
                ));
            }
        }
        Ok(())
    }

    /// Copies of calls that were taken before they were sent are not refused; those of refused ones are not taken.
    fn repeats(&self, at: &BTreeMap<usize, usize>, latest: &[Micros]) -> Found {
        for repeat in &self.r.repeats {
            let change = &self.r.changes[repeat.change];
            let taken = at.get(&repeat.change).is_some_and(|i| latest[*i] < repeat.sent);
            if taken && (400..500).contains(&repeat.status) && !matches!(repeat.status, 408 | 429) {
                return Err(format!(
                    "version {} was taken; sent again at {:.3}, it was refused with {}",
                    change.version,
                    s(repeat.sent),
                    repeat.status
                ));
            }
            if matches!(change.fate, Fate::Refused(_)) && (200..300).contains(&repeat.status) {
                return Err(format!("version {} was refused, and confirmed as well", change.version));
            }
        }
        Ok(())
    }
}
