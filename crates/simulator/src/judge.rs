//! Whether a record keeps the rules, each by what clients, servers and operators saw alone.

mod booked;
mod history;
mod rollouts;
mod vouched;

use crate::record::{Answer, Arrival, Change, Evacuation, Fate, Kind, Record, Trouble, Try};
use crate::{Micros, SECOND};
use settings::Config;
use settings::drill::Fault;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
pub struct Breach {
    pub rule: &'static str,
    pub what: String,
    /// The try that shows it.
    pub attempt: Option<u64>,
}

/// A record with what is looked up in it again and again.
struct Judge<'r> {
    r: &'r Record,
    indexes: Vec<settings::Index>,
    out: Vec<Breach>,
}

/// What a configuration makes of a request.
#[derive(Debug, PartialEq)]
enum Says<'c> {
    NoRoute,
    NoKey,
    Go { services: BTreeSet<&'c str>, tenant: Option<&'c str>, homes: Vec<&'c [String]> },
}

/// When a try was sent, when it was seen handled, by which versions at least and at most, and which try.
type Effect = (Micros, Micros, u32, u32, u64);

/// How a request was seen to be handled.
#[derive(Debug)]
enum Seen<'r> {
    Ran(&'r Arrival),
    Refused(u16),
}

/// Of requests sent up to so long after SIGTERM, those may be given up that last into the last sixth of the grace.
const LATE_AFTER_END: Micros = 3 * SECOND;

pub fn judge(record: &Record) -> Vec<Breach> {
    let indexes = record.changes.iter().map(|c| c.config.index()).collect();
    let mut j = Judge { r: record, indexes, out: Vec::new() };
    for (number, t) in record.tries.iter().enumerate() {
        j.requests(number as u64, t);
        j.routes(number as u64, t);
    }
    j.going_back();
    j.denied();
    j.orders();
    j.history();
    j.acknowledgements();
    j.draining();
    j.evacuations();
    j.evacuated();
    j.quotas();
    j.budgets();
    j.cold();
    j.drills();
    j.recovery();
    j.bookings();
    j.vouched();
    j.rollouts();
    j.out
}

fn arrivals(r: &Record) -> impl Iterator<Item = (u64, &Try, &Arrival)> {
    r.tries.iter().enumerate().flat_map(|(n, t)| t.arrivals.iter().map(move |a| (n as u64, t, a)))
}

impl<'r> Judge<'r> {
    fn breach(&mut self, rule: &'static str, attempt: impl Into<Option<u64>>, what: String) {
        self.out.push(Breach { rule, what, attempt: attempt.into() });
    }

    // ---- single requests ----

    fn requests(&mut self, n: u64, t: &Try) {
        let runs = t.arrivals.iter().filter(|a| a.ran.is_some()).count();
        if t.once && runs > 1 {
            self.breach("TWICE", n, format!("ran {runs} times"));
        }
        if let Some(Answer { status, seal, at }) = &t.answer {
            if t.once && matches!(status, 408 | 421 | 429 | 503) && runs > 0 {
                self.breach("REFUSED", n, format!("answered {status}, yet it ran"));
            }
            if (200..300).contains(status) && *seal != Some(n) {
                self.breach("MIXED", n, format!("answered {status} with the seal {seal:?}"));
            }
            if (200..300).contains(status) && !t.arrivals.iter().any(|a| a.ran.is_some_and(|r| r <= *at)) {
                self.breach("MIXED", n, "a success of what no server had run".into());
            }
        }
        self.lost(n, t);
        self.given_up_at_work(n, t);
    }

    /// Ended without an answer around planned work.
    fn lost(&mut self, n: u64, t: &Try) {
        let (Some(broken), Some(read)) = (t.broken, t.read) else { return };
        let b = &self.r.bounds;
        let passed = t.arrivals.iter().map(|a| a.sent).min().is_some_and(|at| at < broken);
        let due = passed || broken > read + b.loss_slack;
        let planned =
            self.r.troubles.iter().any(|x| {
                x.planned && x.host == t.edge && (x.from..=x.from + b.grace + SECOND).contains(&broken)
            });
        let server_broke = t.arrivals.iter().any(|a| a.broke);
        if due && planned && self.calm_until(t, broken) && !server_broke && broken < t.until {
            self.breach("LOST", n, "cut off around an end in order".into());
        }
    }

    /// Whether there was no unplanned trouble from the contact time before a try until its end, nor the closing fault.
    fn calm_until(&self, t: &Try, end: Micros) -> bool {
        let since = t.sent.saturating_sub(self.r.bounds.contact);
        let unplanned = self.r.troubles.iter().any(|x| !x.planned && x.from <= end && x.until >= since);
        let before_closing = self.r.closing.as_ref().is_none_or(|c| end < c.at);
        !unplanned && before_closing
    }

    /// After SIGTERM a request was cut off at its server, and the proxy's own answer stands in the place of the server's.
    fn given_up_at_work(&mut self, n: u64, t: &Try) {
        let Some(answer) = t.answer.as_ref().filter(|a| a.seal.is_none()) else { return };
        let answer_of_a_server = |a: &Arrival| a.ran.is_some() && a.cut.is_none();
        if t.arrivals.iter().any(|a| a.broke || answer_of_a_server(a)) {
            return;
        }
        let b = &self.r.bounds;
        let stopping = |cut: Micros| {
            self.r.troubles.iter().any(|x| {
                let grace = x.from..=x.from + b.grace + SECOND;
                let long = t.sent <= x.from + LATE_AFTER_END && cut >= x.from + b.grace - b.grace / 6;
                x.planned && x.host == t.edge && grace.contains(&cut) && !long
            })
        };
        let cut = t.arrivals.iter().filter_map(|a| a.cut).any(|cut| cut < t.until && stopping(cut));
        if cut && self.calm_until(t, answer.at) {
            self.breach("LOST", n, "given up after SIGTERM while its server worked on it".into());
        }
    }

    // ---- configurations ----

    fn says(&self, change: usize, t: &Try) -> Says<'r> {
        let config: &'r Config = &self.r.changes[change].config;
        let index = &self.indexes[change];
        let Some(route) = index.route(&t.host, &t.path).map(|n| &config.routes[n]) else {
            return Says::NoRoute;
        };
        let mut homes = vec![route.homes.as_slice()];
        let mut tenant = None;
        if index.needs_keys() && !route.keyless {
            let found = t.key.as_deref().and_then(|k| index.tenant_by_key(k));
            let Some(found) = found else { return Says::NoKey };
            let found = &config.tenants.as_ref().expect("it needs keys")[found];
            tenant = Some(found.name.as_str());
            homes.push(&found.homes);
        }
        let services = route.to.iter().filter(|(_, w)| *w > 0.0).map(|(s, _)| s.as_str()).collect();
        homes.retain(|h| !h.is_empty());
        Says::Go { services, tenant, homes }
    }

    fn allows(&self, change: usize, t: &Try, seen: &Seen) -> bool {
        match (self.says(change, t), seen) {
            (Says::Go { services, tenant, .. }, Seen::Ran(a)) => {
                services.contains(a.service.as_str()) && tenant == a.tenant.as_deref()
            }
            (Says::NoRoute, Seen::Refused(status)) => *status == 404,
            (Says::NoKey, Seen::Refused(status)) => matches!(status, 401 | 403),
            _ => false,
        }
    }

    /// What was seen of a try, and when.
    fn seen<'t>(&self, t: &'t Try) -> Vec<(Micros, Seen<'t>)> {
        let ran = t.arrivals.iter().filter_map(|a| a.ran.map(|at| (at, Seen::Ran(a))));
        let refused = t.answer.iter().filter(|a| matches!(a.status, 401 | 403 | 404));
        ran.chain(refused.map(|a| (a.at, Seen::Refused(a.status)))).collect()
    }

    /// Versions that may be in force for a request sent at `sent` and seen at `at`, and those among them that
    /// are not too old for it.
    fn in_force(&self, sent: Micros, at: Micros) -> (Vec<usize>, Vec<usize>) {
        let apply = self.r.bounds.config_apply;
        let acked = |c: &Change| matches!(c.fate, Fate::Acknowledged(a) if a + apply < sent);
        let newest = self.r.changes.iter().filter(|c| acked(c)).map(|c| c.version).max().unwrap_or(0);
        let may = |c: &Change| c.sent <= at && !c.invalid && !matches!(c.fate, Fate::Refused(_));
        let all: Vec<usize> = (0..self.r.changes.len()).filter(|i| may(&self.r.changes[*i])).collect();
        let new = all.iter().filter(|i| self.r.changes[**i].version >= newest).copied().collect();
        (all, new)
    }

    fn routes(&mut self, n: u64, t: &Try) {
        for (at, seen) in self.seen(t) {
            let (all, new) = self.in_force(t.sent, at);
            if !all.iter().any(|c| self.allows(*c, t, &seen)) {
                // A refusal that no version asks for is judged as DENIED.
                if let Seen::Ran(a) = seen {
                    let what = format!("ran at {} of {} for {:?}", a.server, a.service, a.tenant);
                    self.breach("ROUTE", n, what);
                }
            } else if !new.iter().any(|c| self.allows(*c, t, &seen)) && self.r.in_touch(t.edge, t.sent) {
                self.breach("CONFIG", n, format!("handled as only an older version allows: {seen:?}"));
            }
        }
        for a in t.arrivals.iter().filter(|a| a.turned_away != Some(421)) {
            let (all, new) = self.in_force(t.sent, a.at);
            let may = if self.r.in_touch(t.edge, t.sent) { new } else { all };
            let at_home = may.iter().any(|c| match self.says(*c, t) {
                Says::Go { homes, .. } => homes.iter().all(|h| h.contains(&a.region)),
                _ => true,
            });
            if !at_home {
                self.breach("HOME", n, format!("reached {} in {}", a.server, a.region));
            }
        }
    }

    /// Within one life, effects of a version are followed by effects of older ones alone.
    fn going_back(&mut self) {
        let mut seen: BTreeMap<(usize, u64), Vec<Effect>> = BTreeMap::new();
        for (n, t) in self.r.tries.iter().enumerate() {
            for (at, what) in self.seen(t) {
                let (all, _) = self.in_force(t.sent, at);
                let allow = all.iter().filter(|c| self.allows(**c, t, &what));
                let versions: Vec<u32> = allow.map(|c| self.r.changes[*c].version).collect();
                if let (Some(least), Some(most)) = (versions.iter().min(), versions.iter().max()) {
                    let of = seen.entry((t.edge, t.life)).or_default();
                    of.push((t.sent, at, *least, *most, n as u64));
                }
            }
        }
        let slack = self.r.bounds.revert_slack;
        for ((edge, _), mut list) in seen {
            list.sort_by_key(|x| x.1);
            let mut effects: Vec<(Micros, u32)> = Vec::new();
            for (_, at, least, ..) in &list {
                if effects.last().is_none_or(|e| e.1 < *least) {
                    effects.push((*at, *least));
                }
            }
            for (sent, _, _, most, n) in list {
                let known = effects.iter().rev().find(|(at, _)| at + slack < sent);
                if let Some((at, version)) = known.filter(|k| k.1 > most) {
                    let what = format!(
                        "machine {edge} went back to {most} at most, after {version} at {:.3}",
                        *at as f64 / 1e6
                    );
                    self.breach("CONFIG", n, what);
                }
            }
        }
    }

    fn denied(&mut self) {
        let mut found = Vec::new();
        for (n, t) in self.r.tries.iter().enumerate() {
            let Some(a) = &t.answer else { continue };
            let mine = (300..500).contains(&a.status) && !matches!(a.status, 408 | 409 | 421 | 429);
            if !mine {
                continue;
            }
            let (_, new) = self.in_force(t.sent, a.at);
            let proper = !new.is_empty() && new.iter().all(|c| matches!(self.says(*c, t), Says::Go { .. }));
            if proper && self.r.in_touch(t.edge, t.sent) {
                found.push((n as u64, a.status));
            }
        }
        if found.len() > 5 + self.r.tries.len() / 500 {
            let what = format!("{} proper requests, the first with {}", found.len(), found[0].1);
            self.breach("DENIED", found[0].0, what);
        }
    }

    // ---- what was acknowledged ----

    fn orders(&mut self) {
        let mut by_base: BTreeMap<u32, u32> = BTreeMap::new();
        let mut newest = 0;
        for c in &self.r.changes {
            if let Fate::Acknowledged(_) = c.fate {
                newest = newest.max(c.version);
                if c.invalid {
                    let what = format!("version {} is invalid and was acknowledged", c.version);
                    self.breach("CONFIG", None, what);
                }
                if let Some(other) = by_base.insert(c.base, c.version) {
                    let what = format!("both {other} and {} on {} were acknowledged", c.version, c.base);
                    self.breach("CONFIG", None, what);
                }
            }
        }
        let Some(last) = self.r.read_back.last() else {
            return self.breach("CONFIG", None, "it does not come when read at the end".into());
        };
        // A change that was acknowledged under way of the last reading is not judged by it.
        let acked = self.r.changes.iter().filter(|c| match c.fate {
            Fate::Acknowledged(at) => at + SECOND < last.at,
            _ => false,
        });
        let newest = acked.map(|c| c.version).max().unwrap_or(0).min(newest);
        let read = last.config.as_ref().map_or(0, |c| c.version);
        if read < newest {
            let lost = self.r.closing.is_some();
            let what = format!("read back {read}, though {newest} was acknowledged");
            self.breach(if lost { "LOST" } else { "CONFIG" }, None, what);
        }
        let Some(config) = &last.config else { return };
        let same = |a: &Config, b: &Config| {
            (&a.routes, &a.services, &a.tenants, a.limits) == (&b.routes, &b.services, &b.tenants, b.limits)
        };
        let sent = |c: &&Change| c.version == read && !c.invalid;
        if !self.r.changes.iter().filter(sent).any(|c| same(&c.config, config)) {
            self.breach("CONFIG", None, format!("what is read back as {read} was never sent so"));
        }
        let refused = |c: &Change| c.version == read && (c.invalid || matches!(c.fate, Fate::Refused(_)));
        let others = self.r.changes.iter().any(|c| c.version == read && !refused(c));
        if self.r.changes.iter().any(refused) && !others {
            self.breach("CONFIG", None, format!("version {read} is in force, and was refused"));
        }
    }

    /// A proper order stays without an acknowledgement though the core was settled for long enough.
    fn acknowledgements(&mut self) {
        let r = self.r;
        let end = |f: Fate| match f {
            Fate::Open => r.ends,
            Fate::Acknowledged(at) | Fate::Refused(at) | Fate::GivenUp(at) => at,
        };
        // An answer that was lost on its way is one of the system's.
        let answered = |fate, of| r.lost_answers.get(&of).map_or(fate, |at| Fate::Acknowledged(*at));
        let changes = r.changes.iter().enumerate().filter(|(_, c)| !c.invalid);
        let changes = changes
            .map(|(n, c)| (c.sent, answered(c.fate, (Kind::Change, n)), format!("version {}", c.version)));
        let moves = r.evacuations.iter().enumerate().map(|(n, e)| {
            (e.sent, answered(e.fate, (Kind::Evacuation, n)), format!("evacuation of {}", e.zone))
        });
        let booked = r.bookings.iter().map(|b| (b.sent, b.fate, format!("booking {}", b.name)));
        let unbooked = r.bookings.iter().filter_map(|b| {
            b.ended.map(|(sent, fate)| (sent, fate, format!("the end of booking {}", b.name)))
        });
        let mut late = Vec::new();
        let rollouts = r.rollouts.iter().enumerate().map(|(n, o)| {
            let what = format!("rollout of {} to {}", o.service, o.version);
            (o.sent, answered(o.fate, (Kind::Rollout, n)), what)
        });
        for (sent, fate, what) in changes.chain(moves).chain(booked).chain(unbooked).chain(rollouts) {
            let mut at = sent;
            while at + r.bounds.ack_limit < end(fate) {
                let calm_from = at.saturating_sub(r.bounds.contact);
                if r.calm(calm_from, at + r.bounds.ack_limit, |_| true) {
                    late.push(format!(
                        "{what}, sent at {:.3}, was not acknowledged in time",
                        sent as f64 / 1e6
                    ));
                    break;
                }
                at += SECOND / 2;
            }
        }
        late.into_iter().for_each(|what| self.breach("ACK", None, what));
    }

    fn draining(&mut self) {
        let limit = self.r.bounds.drain_limit;
        for (n, _, a) in arrivals(self.r).filter(|x| x.2.turned_away != Some(421)) {
            let left = self.r.leaves.iter().find(|l| l.server == a.server && l.at + limit < a.at);
            // Whoever acknowledged it, in touch or not.
            if let Some(l) = left
                && self.r.in_touch(a.edge, a.sent)
            {
                let late = (a.at - l.at) as f64 / 1e6;
                let what = format!("reached {} {late:.3} s after its leaving was acknowledged", a.server);
                self.breach("DRAIN", n, what);
            }
        }
    }

    fn evacuations(&mut self) {
        for (i, e) in self.r.evacuations.iter().enumerate().filter(|(_, e)| e.on) {
            let Fate::Acknowledged(acked) = e.fate else { continue };
            let back = self.r.evacuations[i..].iter().find(|b| b.zone == e.zone && !b.on);
            let back = back.map_or(Micros::MAX, |b| b.sent);
            let from = acked + self.r.bounds.evacuation;
            for (n, _, a) in arrivals(self.r) {
                let after = a.zone == e.zone && (from..back).contains(&a.at);
                if after && a.turned_away != Some(421) && self.r.in_touch(a.edge, a.sent) {
                    let late = (a.at - acked) as f64 / 1e6;
                    let what = format!("reached {} {late:.3} s after {} was evacuated", a.server, e.zone);
                    self.breach("EVAC", n, what);
                }
            }
        }
    }

    /// At the end of the day the last order of each zone holds, whatever copies of earlier ones came late.
    fn evacuated(&mut self) {
        let r = self.r;
        let Some(read) =
            r.zones.iter().rfind(|z| r.calm(z.from.saturating_sub(r.bounds.contact), z.from, |_| true))
        else {
            return;
        };
        let zones: BTreeSet<&String> = r.evacuations.iter().map(|e| &e.zone).collect();
        for zone in zones {
            let of = || r.evacuations.iter().filter(|e| e.zone == *zone);
            let over = of().all(|e| matches!(e.fate, Fate::Acknowledged(_) | Fate::GivenUp(_)));
            let acknowledged =
                |e: &Evacuation| matches!(e.fate, Fate::Acknowledged(at) if at + SECOND < read.from);
            let clear = over && of().next_back().is_some_and(acknowledged);
            let last = of().next_back().is_some_and(|e| e.on);
            if clear && last != read.evacuated.contains(zone) {
                let what = if last { "its evacuation is gone" } else { "it is evacuated, though taken back" };
                self.breach("EVAC", None, format!("{zone}: {what} at {:.3}", read.from as f64 / 1e6));
            }
        }
    }

    // ---- what is counted over all machines ----

    fn quotas(&mut self) {
        let b = self.r.bounds.clone();
        let mut of: BTreeMap<&str, Vec<(Micros, Micros)>> = BTreeMap::new();
        for (_, t, a) in arrivals(self.r).filter(|x| x.2.ran.is_some()) {
            if let Some(tenant) = &a.tenant {
                of.entry(tenant).or_default().push((t.sent, a.at));
            }
        }
        for (name, mut times) in of {
            let limits = self.r.changes.iter().filter(|c| !c.invalid).flat_map(|c| &c.config.tenants);
            let limits: Vec<(f64, f64)> =
                limits.flatten().filter(|t| t.name == name).map(|t| (t.rate, t.burst)).collect();
            if limits.iter().any(|l| l.0 == 0.0) {
                continue;
            }
            // The highest of the day: a lower one binds only later.
            let most = limits.iter().map(|(r, s)| r * b.quota_period as f64 / 1e6 + s).fold(0.0, f64::max);
            let most = most * (1.0 + b.quota_excess) + b.quota_margin;
            let (count, at) = within_both(&mut times, b.quota_period);
            if count as f64 > most {
                let at = at as f64 / 1e6;
                let what = format!("{count} of {name} ran in a window until {at:.3}, {most:.0} may");
                self.breach("QUOTA", None, what);
            }
        }
    }

    fn budgets(&mut self) {
        let b = self.r.bounds.clone();
        let mut more: BTreeMap<&str, Vec<Micros>> = BTreeMap::new();
        let mut asked: BTreeMap<&str, Vec<Micros>> = BTreeMap::new();
        for t in &self.r.tries {
            for a in t.arrivals.iter().skip(1) {
                more.entry(&a.service).or_default().push(a.at);
            }
            let mut to: BTreeSet<&str> = BTreeSet::new();
            for c in 0..self.r.changes.len() {
                if let Says::Go { services, .. } = self.says(c, t) {
                    to.extend(services);
                }
            }
            for service in to {
                asked.entry(service).or_default().push(t.sent);
            }
        }
        for (service, mut again) in more {
            again.sort_unstable();
            let asked = asked.remove(service).unwrap_or_default();
            let span = b.retry_window;
            for (i, first) in again.iter().enumerate() {
                let end = first + span;
                let count = again[i..].iter().take_while(|at| **at < end).count();
                let within =
                    |from: Micros, to: Micros| asked.iter().filter(|s| (from..to).contains(*s)).count();
                let half = first.saturating_sub(span / 2);
                let base = within(*first, end)
                    .max(within(first.saturating_sub(span), *first))
                    .max(within(half, half + span));
                let most = b.retry_ratio * base as f64 + b.retry_slack;
                if count as f64 > most {
                    let what = format!("{count} further tries at {service} in a window, {most:.0} may be");
                    self.breach("BUDGET", None, what);
                    break;
                }
            }
        }
    }

    fn cold(&mut self) {
        let b = self.r.bounds.clone();
        for c in &self.r.colds {
            let there = |a: &Arrival| a.server == c.server && (c.from..c.until).contains(&a.at);
            let mut times: Vec<(Micros, Micros)> = arrivals(self.r)
                .filter(|(_, _, a)| there(a) && a.turned_away != Some(421))
                .map(|(_, _, a)| (a.sent, a.at))
                .collect();
            let most = c.rate * b.cold_excess + b.cold_margin;
            let (count, at) = within_both(&mut times, SECOND);
            if count as f64 > most {
                let at = at as f64 / 1e6;
                let what = format!("{count} in a second until {at:.3} at {}, cold; {most:.0} may", c.server);
                self.breach("FAILBACK", None, what);
            }
        }
    }

    // ---- drills ----

    fn drills(&mut self) {
        let r = self.r;
        let apply = r.bounds.config_apply;
        for m in &r.met {
            let (of, t) = (&r.rehearsals[m.of], &r.tries[m.attempt as usize]);
            let late = |end: Option<Micros>| end.is_some_and(|at| m.at > at + apply);
            let begun = match of.fate {
                Fate::Acknowledged(at) => Some(at + Micros::from(of.drill.for_ms) * 1000),
                _ => None,
            };
            if late(of.stopped) || late(begun) {
                self.breach("END", m.attempt, format!("met drill {} after its end", of.drill.name));
            }
            if !r.of_caller(&of.drill, t) {
                self.breach("CALLER", m.attempt, format!("met drill {}, which is another's", of.drill.name));
            }
            let never = matches!(of.drill.fault, Fault::Refused | Fault::NoServer | Fault::Closed);
            if never && !t.arrivals.is_empty() {
                self.breach("SENT", m.attempt, format!("{}, yet it was sent", of.drill.fault.name()));
            }
            let unwhole = never || matches!(of.drill.fault, Fault::Lost | Fault::Cut);
            if unwhole && t.answer.as_ref().is_some_and(|a| a.status < 300) {
                self.breach("WHOLE", m.attempt, format!("{}, yet a success", of.drill.fault.name()));
            }
        }
        for (n, of) in r.rehearsals.iter().enumerate() {
            let met = r.met.iter().filter(|m| m.of == n).count();
            if let Some(count) = of.drill.count.filter(|c| met > *c as usize) {
                self.breach("COUNT", None, format!("{met} met drill {}, {count} may", of.drill.name));
            }
            if of.drill.count.is_none() && of.drill.share == 1_000_000 {
                self.follows(n);
            }
        }
    }

    /// Each request of the caller at a proxy in touch meets the fault while the drill runs.
    fn follows(&mut self, n: usize) {
        let r = self.r;
        let of = &r.rehearsals[n];
        let Fate::Acknowledged(begun) = of.fate else { return };
        if of.guarded {
            return;
        }
        let ends = begun.min(of.sent) + Micros::from(of.drill.for_ms) * 1000;
        let ends = ends.min(of.stop_sent.unwrap_or(Micros::MAX));
        let met: BTreeSet<u64> = r.met.iter().filter(|m| m.of == n).map(|m| m.attempt).collect();
        // With all registries lost at once nobody knows its end, so it lapses.
        let with_all = |t: &&Trouble| {
            let beside = |o: &Trouble| o.from <= t.until && o.until >= t.from;
            t.host < r.cores
                && t.until > of.sent
                && (0..r.cores).all(|h| r.troubles.iter().any(|o| o.host == h && beside(o)))
        };
        let lost = r.troubles.iter().filter(with_all).map(|t| t.from).min();
        let ends = ends.min(lost.unwrap_or(Micros::MAX));
        let from = begun + r.bounds.config_apply;
        let mut missed = None;
        for (number, t) in r.tries.iter().enumerate().filter(|(_, t)| r.of_caller(&of.drill, t)) {
            let Some(read) = t.read.filter(|at| (from..ends).contains(at)) else { continue };
            if !met.contains(&(number as u64)) && r.in_touch(t.edge, read) {
                let first = missed.get_or_insert((number as u64, 0));
                first.1 += 1;
            }
        }
        if let Some((first, count)) = missed {
            let what = format!("drill {} did not follow its caller {count} times", of.drill.name);
            self.breach("FOLLOW", first, what);
        }
    }

    fn recovery(&mut self) {
        let Some(closing) = &self.r.closing else { return };
        let part = |(served, all): (usize, usize)| if all == 0 { 0.0 } else { served as f64 / all as f64 };
        let before = part(self.r.served(0, closing.at));
        let from = closing.back + self.r.bounds.recovery;
        let sent = self.r.served(from, Micros::MAX);
        if before >= 0.25 && sent.1 > 0 && part(sent) < 0.25 {
            let what = format!("{} of {} served after the closing fault", sent.0, sent.1);
            self.breach("RECOVER", None, what);
        }
    }
}

/// The most that were both sent and came within a span of this length.
fn within_both(times: &mut [(Micros, Micros)], span: Micros) -> (usize, Micros) {
    times.sort_unstable_by_key(|t| t.1);
    let mut most = (0, 0);
    for (i, (_, end)) in times.iter().enumerate() {
        let from = (end + 1).saturating_sub(span);
        let inside = times[..=i].iter().rev().take_while(|t| t.1 >= from).filter(|t| t.0 >= from);
        most = most.max((inside.count(), *end));
    }
    most
}
