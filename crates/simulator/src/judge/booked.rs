//! Room booked ahead: PARTS, SPREAD, ROOM, FLOOR, EDGE and BOOKED.

use super::{Judge, Says};
use crate::record::{Booking, Fate, Held, Host, Try};
use crate::{MS, Micros, SECOND};
use std::collections::BTreeMap;

/// Routes of the days' configurations aim at this.
const AIM: Micros = 800 * MS;
/// What bookings leave of healthy room to others, one part of so many.
const OTHERS: u32 = 8;
/// Clocks are told on the way through the network; a phase is not turned earlier than its time but for that.
const EARLY: Micros = 200 * MS;
/// A floor is looked at over so long, where so many asked at a proxy.
const FLOOR_OVER: Micros = 3 * SECOND;
const FLOOR_OF: usize = 10;

fn acknowledged(fate: Fate) -> Option<Micros> {
    if let Fate::Acknowledged(at) = fate { Some(at) } else { None }
}

impl Booking {
    /// When it closes: ahead of time, or by its window.
    fn ends(&self) -> Micros {
        self.ended.map_or(self.closes, |(sent, _)| sent.min(self.closes))
    }
}

/// What one proxy holds of one booking over a day.
type Line<'r> = Vec<&'r Held>;

impl<'r> Judge<'r> {
    pub(super) fn bookings(&mut self) {
        if self.r.bookings.is_empty() {
            return;
        }
        self.parts();
        self.spread();
        self.room_and_floors();
        self.edges();
        self.kept();
    }

    /// At no time do the parts come to more than what is booked.
    fn parts(&mut self) {
        let r = self.r;
        let mut now: BTreeMap<(&str, Host), u32> = BTreeMap::new();
        for h in &r.held {
            now.insert((&h.booking, h.edge), h.part);
            let sum: u32 = now.iter().filter(|(k, _)| k.0 == h.booking).map(|(_, part)| part).sum();
            let of = r.bookings.iter().filter(|b| b.name == h.booking && b.sent <= h.at);
            let most = of.filter(|b| !matches!(b.fate, Fate::Refused(_))).map(|b| b.flight).max();
            if most.is_none_or(|most| sum > most) {
                let at = h.at as f64 / 1e6;
                let what = format!("{sum} of {} are held at {at:.3}, {most:?} are booked", h.booking);
                return self.breach("PARTS", None, what);
            }
        }
    }

    fn lines(&self, name: &str) -> BTreeMap<Host, Line<'r>> {
        let mut lines: BTreeMap<Host, Line> = BTreeMap::new();
        for h in self.r.held.iter().filter(|h| h.booking == name) {
            lines.entry(h.edge).or_default().push(h);
        }
        lines
    }

    /// All proxies in touch open, and close, within the time in which they take up what is agreed, and by the true time
    /// of day.
    fn spread(&mut self) {
        let r = self.r;
        let (apply, contact) = (r.bounds.config_apply, r.bounds.contact);
        for b in r.bookings.iter().filter(|b| acknowledged(b.fate).is_some()) {
            let lines = self.lines(&b.name);
            let acked = acknowledged(b.fate).unwrap_or(0);
            for (open, due) in [(true, b.opens.max(acked)), (false, b.ends())] {
                if (open && b.ends() <= b.opens) || due + apply + SECOND > r.ends {
                    continue;
                }
                let mut turned: Vec<(Host, Option<Micros>)> = Vec::new();
                for edge in r.cores..r.cores + r.edges {
                    let line = lines.get(&edge).map(Vec::as_slice).unwrap_or_default();
                    let at = line.iter().find(|h| h.at + EARLY >= due && h.open == open).map(|h| h.at);
                    let was = line.iter().rfind(|h| h.at + EARLY < due).is_some_and(|h| h.open);
                    if was == open {
                        let (at, turn) = (due as f64 / 1e6, if open { "open" } else { "shut" });
                        let what = format!("machine {edge} has {} {turn} well before {at:.3}", b.name);
                        self.breach("SPREAD", None, what);
                    } else {
                        turned.push((edge, at));
                    }
                }
                let calm = |from: Micros, to: Micros, edge: Option<Host>| {
                    let since = from.saturating_sub(contact);
                    r.calm(since, to, |h| Some(h) == edge || h < r.cores)
                };
                // While the core is settled, it is time when it is time; else, once the first has heard.
                let first = turned.iter().filter_map(|t| t.1).min();
                let from = if calm(due, due + apply, None) { Some(due) } else { first };
                let Some(from) = from else { continue };
                for (edge, at) in turned {
                    if at.is_none_or(|at| at > from + apply) && calm(from, from + apply, Some(edge)) {
                        let turn = if open { "opened" } else { "closed" };
                        let what = format!(
                            "machine {edge} has not {turn} {} by {:.3}, it did at {at:?}",
                            b.name,
                            (from + apply) as f64 / 1e6
                        );
                        self.breach("SPREAD", None, what);
                    }
                }
            }
        }
    }

    /// The booking that a try comes under, by what it asks for.
    fn under(&self, t: &Try) -> Option<&'r Booking> {
        let newest = self.in_force(t.sent, t.sent).1.pop()?;
        let Says::Go { services, tenant, .. } = self.says(newest, t) else { return None };
        let route = t.path.split('/').nth(1).unwrap_or("");
        self.r.bookings.iter().filter(|b| acknowledged(b.fate).is_some()).find(|b| {
            services.contains(b.service.as_str())
                && services.len() == 1
                && (b.tenants.is_empty() || tenant.is_some_and(|t| b.tenants.iter().any(|n| n == t)))
                && (b.routes.is_empty() || b.routes.iter().any(|n| n == route))
        })
    }

    /// Slots of servers that were well all that time, and before for long enough to be known.
    fn healthy(&self, service: &str, from: Micros, to: Micros) -> u32 {
        let r = self.r;
        let since = from.saturating_sub(r.bounds.contact);
        let evacuated = |zone: &str| {
            let mut of = r.evacuations.iter().filter(|e| e.zone == zone && e.sent <= to);
            of.next_back().is_some_and(|e| e.on || e.sent + r.bounds.contact > from)
        };
        let well = r.rooms.iter().filter(|x| x.service == service && x.from <= since && to <= x.until);
        well.filter(|x| !evacuated(&x.zone)).map(|x| x.slots).sum()
    }

    /// Healthy room covers all that is booked of this service and what is left to others.
    fn covers(&self, service: &str, from: Micros, to: Micros) -> bool {
        let open = |b: &&Booking| b.service == service && b.opens < to && from < b.ends() + b.ramp;
        let booked: u32 = self.r.bookings.iter().filter(open).map(|b| b.flight).sum();
        let room = self.healthy(service, from, to);
        room.saturating_sub(room.div_ceil(OTHERS)) >= booked
    }

    /// No booked request within the booking is refused for room or kept waiting past its aim while healthy room covers
    /// the booking; and some of all others are let through.
    fn room_and_floors(&mut self) {
        let r = self.r;
        let mut under: BTreeMap<(&str, Host), Vec<(u64, &Try)>> = BTreeMap::new();
        let mut others: BTreeMap<(&str, Host), Vec<&Try>> = BTreeMap::new();
        for (n, t) in r.tries.iter().enumerate() {
            match self.under(t) {
                Some(b) => under.entry((&b.name, t.edge)).or_default().push((n as u64, t)),
                None => {
                    let route = t.path.split('/').nth(1).unwrap_or("");
                    let service = route.strip_prefix("r-").unwrap_or("");
                    others.entry((service, t.edge)).or_default().push(t);
                }
            }
        }
        let end = |t: &Try| t.answer.as_ref().map(|a| a.at).or(t.broken).unwrap_or(t.until).min(t.until);
        let let_through = |t: &Try| t.arrivals.iter().map(|a| a.sent).min();
        let mut found: Vec<(&'static str, Option<u64>, String)> = Vec::new();
        for b in r.bookings.iter().filter(|b| acknowledged(b.fate).is_some()) {
            for (edge, line) in self.lines(&b.name) {
                let mine = under.get(&(b.name.as_str(), edge)).map(Vec::as_slice).unwrap_or_default();
                for (n, t) in mine {
                    let due = t.sent + AIM;
                    let first = least_first(&line, t.sent, due.min(end(t)));
                    let abreast = mine.iter().filter(|(_, o)| o.sent <= t.sent && t.sent < end(o)).count();
                    let within = abreast <= first as usize;
                    if !within || !r.in_touch(edge, due) || !self.covers(&b.service, t.sent, due) {
                        continue;
                    }
                    let went = let_through(t);
                    let refused = t.answer.as_ref().is_some_and(|a| a.status == 503) && !t.given;
                    let late = went.map_or(end(t) > due, |at| at > due);
                    if refused || late {
                        let how = if refused { "refused" } else { "kept waiting" };
                        let what = format!("{how} as number {abreast} of {first} held of {}", b.name);
                        found.push(("ROOM", Some(*n), what));
                    }
                }
                let asked = others.get(&(b.service.as_str(), edge)).map(Vec::as_slice).unwrap_or_default();
                let mut from = b.opens;
                while from + FLOOR_OVER < b.ends() {
                    let to = from + FLOOR_OVER;
                    let then: Vec<&&Try> =
                        asked.iter().filter(|t| (from..to - AIM).contains(&t.sent)).collect();
                    let calm = r.in_touch(edge, to) && self.covers(&b.service, from, to);
                    let none = !then.iter().any(|t| let_through(t).is_some());
                    if then.len() >= FLOOR_OF && none && calm {
                        let at = from as f64 / 1e6;
                        let what =
                            format!("of {} others at machine {edge} from {at:.3} none went", then.len());
                        found.push(("FLOOR", None, what));
                    }
                    from += SECOND;
                }
            }
        }
        found.into_iter().for_each(|(rule, n, what)| self.breach(rule, n, what));
    }

    /// Nothing that is under way when a booking opens or closes is cut off for it.
    fn edges(&mut self) {
        let r = self.r;
        let mut found = Vec::new();
        for (n, t) in r.tries.iter().enumerate() {
            let (Some(broken), Some(read)) = (t.broken, t.read) else { continue };
            let turns = r.bookings.iter().flat_map(|b| [b.opens, b.ends()]);
            let across = |at: Micros| read < at + r.bounds.config_apply + 2 * SECOND && at < broken;
            let server_broke = t.arrivals.iter().any(|a| a.broke);
            let calm = r.calm(read, broken, |h| h == t.edge);
            if turns.into_iter().any(across) && calm && !server_broke && broken < t.until {
                found.push(n as u64);
            }
        }
        found.into_iter().for_each(|n| self.breach("EDGE", n, "cut off as a booking turned".into()));
    }

    /// What was acknowledged is there at the end of the day.
    fn kept(&mut self) {
        let r = self.r;
        let Some(last) = r.listed.last() else {
            return self.breach("BOOKED", None, "the bookings do not come when read at the end".into());
        };
        let mut newest: BTreeMap<&str, &Booking> = BTreeMap::new();
        for b in r.bookings.iter().filter(|b| acknowledged(b.fate).is_some_and(|at| at + SECOND < last.at)) {
            newest.insert(&b.name, b);
        }
        for (name, b) in newest {
            let found = last.bookings.iter().find(|l| l.0 == name);
            let ended = b.ended.and_then(|e| acknowledged(e.1)).is_some_and(|at| at + SECOND < last.at);
            let later = r.bookings.iter().any(|o| o.name == name && o.sent > b.sent && o.fate == Fate::Open);
            let wrong = match found {
                None => Some("it is not there".to_string()),
                Some((_, _, flight)) if *flight != b.flight && !later => Some(format!("it is of {flight}")),
                Some((_, phase, _)) if ended && matches!(phase.as_str(), "planned" | "open") => {
                    Some(format!("it is {phase}, though its end was acknowledged"))
                }
                _ => None,
            };
            if let Some(wrong) = wrong {
                self.breach("BOOKED", None, format!("booking {name} was acknowledged; {wrong}"));
            }
        }
    }
}

/// The least that was taken up over that time.
fn least_first(line: &[&Held], from: Micros, to: Micros) -> u32 {
    let before = line.iter().rfind(|h| h.at <= from).map_or(0, |h| h.first);
    let within = line.iter().filter(|h| from < h.at && h.at <= to).map(|h| h.first);
    within.chain([before]).min().unwrap_or(0)
}
