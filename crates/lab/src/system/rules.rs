//! Rules that need more than the record of `simulator`: connections that are kept, readiness, the directory's answers, and the
//! time that is handed on. Each is judged from what clients, servers and the platform saw.

use super::observed::{Observed, Readiness};
use simulator::judge::Breach;
use simulator::plan::DEADLINE;
use simulator::record::{Host, Record, Trouble, Try};
use simulator::{Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet};

/// Requests cut off on kept connections, sent on too often, or met after their client has gone: so many are forgiven.
const FORGIVEN: usize = 3;
/// Servers that a try may go to, as the plan's routes have it.
const ATTEMPT_LIMIT: usize = 2;
/// After this much more than a deadline an answer is missing; and this long after a client has gone, work is in vain.
const SLACK: Micros = SECOND / 2;
/// Requests past their deadline from which on they are judged.
const LATE_LEAST: usize = 8;
/// Requests handed to servers with too much time from which on they are judged.
const HANDED_LEAST: usize = 20;
/// After SIGTERM a process is not to count as ready for longer than this.
const LEAVES_READY: Micros = 4 * SECOND;
/// How much longer than the contact time the directory may name a proxy that is gone.
const NAMED: Micros = 3 * SECOND;
/// Requests on added routes from which on these are judged.
const ADDED_LEAST: usize = 20;
/// Refusals for good of what all configurations allow, from machines out of touch.
const DENIED_APART: usize = 10;

pub fn judge(record: &Record, observed: &Observed, hangups: &[(Micros, Host)]) -> Vec<Breach> {
    let judge = Judge { record, observed, hangups };
    let found = [
        judge.kept_connections(),
        judge.hangups(),
        judge.servers_of_a_try(),
        judge.time_handed(),
        judge.clients_gone(),
        judge.deadlines(),
        judge.added_routes(),
        judge.ready_after_end(),
        judge.stale_directory(),
        judge.denied_apart(),
        judge.handlers(),
    ];
    found.into_iter().flatten().collect()
}

struct Judge<'r> {
    record: &'r Record,
    observed: &'r Observed,
    hangups: &'r [(Micros, Host)],
}

fn breach(rule: &'static str, attempt: Option<u64>, what: String) -> Option<Breach> {
    Some(Breach { rule, what, attempt })
}

fn seconds(at: Micros) -> f64 {
    at as f64 / 1e6
}

impl<'r> Judge<'r> {
    fn tries(&self) -> impl Iterator<Item = (u64, &'r Try)> {
        self.record.tries.iter().enumerate().map(|(n, t)| (n as u64, t))
    }

    fn in_touch(&self, t: &Try, at: Micros) -> bool {
        self.record.in_touch(t.edge, t.sent) && self.record.in_touch(t.edge, at)
    }

    /// A request passed on to a server that did not break off, and then cut off from its client.
    fn cut_off(t: &Try) -> Option<Micros> {
        let broken = t.broken.filter(|at| *at < t.until)?;
        let passed_on = t.arrivals.iter().any(|a| a.at < broken);
        let server_broke = t.arrivals.iter().any(|a| a.broke);
        (passed_on && !server_broke).then_some(broken)
    }

    /// LOST, at any time: a machine in touch cuts off requests that came over kept connections.
    fn kept_connections(&self) -> Option<Breach> {
        let kept = self.tries().filter(|(n, _)| self.observed.over_kept.contains(n));
        let cut = kept.filter(|(_, t)| Self::cut_off(t).is_some_and(|at| self.in_touch(t, at)));
        let cut: Vec<u64> = cut.map(|(n, _)| n).collect();
        if cut.len() <= FORGIVEN {
            return None;
        }
        breach("LOST", cut.first().copied(), format!("{} cut off over kept connections", cut.len()))
    }

    /// LOST: cut off after the SIGHUP of its machine, for requests that were sent up to the time in which a configuration
    /// applies.
    fn hangups(&self) -> Option<Breach> {
        let bounds = &self.record.bounds;
        let near = |t: &Try, broken: Micros| {
            self.hangups.iter().any(|(at, host)| {
                *host == t.edge && t.sent <= at + bounds.config_apply && broken >= *at && t.until > *at
            })
        };
        // What is done to this machine besides is judged with that.
        let otherwise = |t: &Try, broken: Micros| {
            let since = t.sent.saturating_sub(bounds.contact);
            let counts = |x: &Trouble| !x.planned || x.host == t.edge;
            self.record.troubles.iter().any(|x| x.from <= broken && x.until >= since && counts(x))
        };
        let cut = self
            .tries()
            .find(|(_, t)| Self::cut_off(t).is_some_and(|broken| near(t, broken) && !otherwise(t, broken)));
        let (n, _) = cut?;
        breach("LOST", Some(n), "cut off after a SIGHUP".into())
    }

    /// BUDGET: one try on more servers than its route allows.
    fn servers_of_a_try(&self) -> Option<Breach> {
        let servers = |t: &Try| t.arrivals.iter().map(|a| a.server.as_str()).collect::<BTreeSet<_>>().len();
        let broke = |t: &Try| t.arrivals.iter().any(|a| a.broke);
        let many = self.tries().filter(|(_, t)| !broke(t) && servers(t) > ATTEMPT_LIMIT);
        let many: Vec<u64> = many.map(|(n, _)| n).collect();
        if many.len() <= FORGIVEN {
            return None;
        }
        breach(
            "BUDGET",
            many.first().copied(),
            format!("{} tries on more than {ATTEMPT_LIMIT} servers", many.len()),
        )
    }

    /// BUDGET: servers are handed more time than the client has left.
    fn time_handed(&self) -> Option<Breach> {
        let of_touch = self.observed.handed.iter().filter(|h| {
            self.record.tries.get(h.attempt as usize).is_some_and(|t| self.record.in_touch(t.edge, t.sent))
        });
        let (mut all, mut wrong) = (0, Vec::new());
        for handed in of_touch {
            let t = &self.record.tries[handed.attempt as usize];
            let whole = t.until.saturating_sub(t.sent);
            all += 1;
            if handed.left.is_none_or(|left| left > whole + SLACK || handed.at + left > t.until + 2 * SLACK) {
                wrong.push(handed.attempt);
            }
        }
        if wrong.len() <= HANDED_LEAST || wrong.len() * 5 <= all {
            return None;
        }
        breach("BUDGET", wrong.first().copied(), format!("{} of {all} with too much time left", wrong.len()))
    }

    /// GONE: work goes on for clients that have left.
    fn clients_gone(&self) -> Option<Breach> {
        let (mut later, mut long, mut worked) = (Vec::new(), 0, Vec::new());
        for (n, left) in &self.observed.left {
            let t = &self.record.tries[*n as usize];
            if !self.in_touch(t, *left) {
                continue;
            }
            if t.arrivals.iter().any(|a| a.at > left + SLACK) {
                later.push(*n);
            }
            if t.arrivals.iter().any(|a| a.ran.is_some()) {
                long += 1;
                if self.observed.worked_until.get(n).is_some_and(|at| *at > left + SLACK) {
                    worked.push(*n);
                }
            }
        }
        if later.len() > FORGIVEN {
            return breach(
                "GONE",
                later.first().copied(),
                format!("{} came after their clients had left", later.len()),
            );
        }
        if worked.len() <= FORGIVEN || worked.len() * 4 <= long {
            return None;
        }
        breach("GONE", worked.first().copied(), format!("{} of {long} worked on in vain", worked.len()))
    }

    /// CONFIG: what is unanswered at its route's deadline has its answer soon after.
    fn deadlines(&self) -> Option<Breach> {
        let patient = self.tries().filter(|(_, t)| t.until > t.sent + DEADLINE + SLACK && t.read.is_some());
        let late = patient.filter(|(_, t)| {
            let answered =
                t.answer.as_ref().map_or(Micros::MAX, |a| a.at).min(t.broken.unwrap_or(Micros::MAX));
            answered > t.sent + DEADLINE && self.in_touch(t, t.sent + DEADLINE + SLACK)
        });
        let late: Vec<(u64, &Try)> = late.collect();
        let missing = late.iter().filter(|(_, t)| {
            t.answer.as_ref().is_none_or(|a| a.at > t.sent + DEADLINE + SLACK) && t.broken.is_none()
        });
        let missing: Vec<u64> = missing.map(|(n, _)| *n).collect();
        if missing.len() < LATE_LEAST || missing.len() * 4 <= late.len() {
            return None;
        }
        let what =
            format!("{} of {} have no answer half a second past the deadline", missing.len(), late.len());
        breach("CONFIG", missing.first().copied(), what)
    }

    /// CONFIG: routes that were added are served as those of the first configuration are.
    fn added_routes(&self) -> Option<Breach> {
        let first = self.record.changes.first()?;
        let names = |c: &simulator::record::Change| -> BTreeSet<String> {
            c.config.routes.iter().map(|r| r.prefix.clone()).collect()
        };
        let firsts = names(first);
        // When each route that is there at the end was acknowledged.
        let mut added: BTreeMap<String, Micros> = BTreeMap::new();
        for change in &self.record.changes {
            if let simulator::record::Fate::Acknowledged(at) = change.fate
                && !change.invalid
            {
                let now = names(change);
                added.retain(|name, _| now.contains(name));
                for name in now.difference(&firsts) {
                    added.entry(name.clone()).or_insert(at + self.record.bounds.config_apply);
                }
            }
        }
        let mut counts = [(0usize, 0usize); 2];
        for (_, t) in self.tries() {
            let name = match t.path.rfind('/') {
                Some(end) => &t.path[..=end],
                None => continue,
            };
            let place = match added.get(name) {
                Some(from) if t.sent > *from => 1,
                _ if firsts.contains(name) => 0,
                _ => continue,
            };
            if self.record.in_touch(t.edge, t.sent) {
                let served = t.answer.as_ref().is_some_and(|a| a.status < 300);
                counts[place].0 += usize::from(served);
                counts[place].1 += 1;
            }
        }
        let [(first_served, first_all), (added_served, added_all)] = counts;
        let part = |served: usize, all: usize| served as f64 / all.max(1) as f64;
        if added_all < ADDED_LEAST || part(added_served, added_all) * 4.0 >= part(first_served, first_all) {
            return None;
        }
        let what = format!(
            "{added_served} of {added_all} on added routes were served, {first_served} of {first_all} on the first"
        );
        breach("CONFIG", None, what)
    }

    /// DRAIN: processes that were asked to end still count as ready. Two questions in a row without a 200 take one out.
    fn ready_after_end(&self) -> Option<Breach> {
        let mut asked: BTreeMap<(Host, u64), Vec<&Readiness>> = BTreeMap::new();
        for seen in &self.observed.readiness {
            asked.entry((seen.host, seen.life)).or_default().push(seen);
        }
        let (mut ready, mut stay) = (0usize, Vec::new());
        for ended in self.record.troubles.iter().filter(|t| t.planned && t.what.starts_with("asked to end")) {
            let lives = asked.iter().filter(|((host, _), _)| *host == ended.host);
            for (_, seen) in lives {
                let Some(last) = seen.iter().rfind(|s| s.at <= ended.from) else { continue };
                let later = seen.iter().filter(|s| s.at > ended.from + LEAVES_READY);
                let mut later = later.take_while(|s| s.at < ended.from + self.record.bounds.grace);
                ready += usize::from(last.ready);
                if last.ready && later.any(|s| s.ready) {
                    stay.push(ended.host);
                }
            }
        }
        if stay.len() < 2 || stay.len() * 4 <= ready {
            return None;
        }
        breach("DRAIN", None, format!("{} of {ready} still count as ready 4 s after SIGTERM", stay.len()))
    }

    /// DRAIN: the directory names proxies that are long gone.
    fn stale_directory(&self) -> Option<Breach> {
        let limit = self.record.bounds.contact + NAMED;
        let stale = self.observed.stale_addresses.iter();
        let stale = stale.filter(|s| s.down_for > limit && self.record.in_touch(s.by, s.at));
        let stale: Vec<_> = stale.collect();
        if stale.len() <= FORGIVEN {
            return None;
        }
        let first = stale[0];
        let what = format!(
            "{} answers name a proxy that is gone, the first at {:.3} machine {}, {:.1} s after its end",
            stale.len(),
            seconds(first.at),
            first.host,
            seconds(first.down_for)
        );
        breach("DRAIN", None, what)
    }

    /// START: a process that was started has its signal handlers soon.
    fn handlers(&self) -> Option<Breach> {
        let late = &self.observed.late_handlers;
        let first = late.first()?;
        let what = format!(
            "{} starts without signal handlers in time, the first {} at {:.3}, {:.1} s after its start",
            late.len(),
            first.process,
            seconds(first.at),
            seconds(first.waited)
        );
        breach("START", None, what)
    }

    /// DENIED: machines out of touch refuse for good what every configuration of the day allows.
    fn denied_apart(&self) -> Option<Breach> {
        let everywhere = |t: &Try| {
            self.record.changes.iter().filter(|c| !c.invalid).all(|c| {
                let route = c.config.routes.iter().any(|r| t.path.starts_with(&r.prefix));
                let tenants = c.config.tenants.as_deref().unwrap_or_default();
                let key = t.key.as_ref().is_none_or(|k| tenants.iter().any(|tenant| tenant.keys.contains(k)));
                route && key
            })
        };
        let refused = self.tries().filter(|(_, t)| {
            t.answer.as_ref().is_some_and(|a| matches!(a.status, 401 | 403 | 404)) && everywhere(t)
        });
        let apart: Vec<u64> =
            refused.filter(|(_, t)| !self.record.in_touch(t.edge, t.sent)).map(|(n, _)| n).collect();
        if apart.len() <= DENIED_APART {
            return None;
        }
        breach("DENIED", apart.first().copied(), format!("{} refused for good out of touch", apart.len()))
    }
}
