//! Fault-injection drills in a proxy, as a state machine: which request gets a rehearsed fault, by which
//! grant, until when, and what is reported about it. It acts around the decisions on requests, which learn
//! nothing of it; see docs/system/drills.md.
//!
//! A drill may bound the number of its faults. Then each fault needs a grant in the agreed state, and the
//! request waits for the answer.

use cluster::drill::{Drill, Drills as Agreed, Rows, Said};
use cluster::talk::Lease;
use cluster::{Micros, Rev};
use settings::drill::{Fault, key_name};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The longest time that a request waits for a grant.
const MAX_HOLD_US: Micros = 400_000;
/// A request also waits no longer than its remaining time divided by this.
const MAX_HOLD_DIVISOR: Micros = 3;
/// An unconfirmed report is repeated after this time; reports that are not urgent go out at most this often.
const RESEND_US: Micros = 1_000_000;
/// With this many reports unconfirmed a drill injects nothing more, because its faults couldn't be reported.
const MAX_UNCONFIRMED: usize = 128;
/// The window over which the guard counts the answers to other callers.
const GUARD_WINDOW_US: Micros = 5_000_000;
/// The guard needs at least this many failures in a window.
const MIN_GUARD_FAILURES: u32 = 10;

/// What a drill sees of a request.
pub struct DrilledRequest<'a> {
    pub id: u64,
    pub tenant: Option<&'a str>,
    pub key: Option<&'a str>,
    pub route: &'a str,
    /// The header lines.
    pub head: &'a [u8],
    pub attempt: &'a [u8],
    pub left_us: Micros,
}

/// What a drill does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrillDecision {
    /// The request goes on without a fault.
    Pass,
    /// A grant was asked for: the request waits for it, at most until this time.
    Hold(Micros),
    Inject(InjectedFault),
}

/// A fault that is injected into a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InjectedFault {
    /// The drill's epoch.
    pub epoch: Rev,
    pub fault: Fault,
}

/// The reports of this run of the proxy on one drill, in order.
#[derive(Default)]
struct ReportQueue {
    /// The number of the first report that isn't in the agreed state yet.
    first: u64,
    /// Reports that aren't in the agreed state yet.
    unconfirmed: VecDeque<Said>,
    sent_at: Micros,
    /// A report must go out at once.
    urgent: bool,
}

impl ReportQueue {
    /// Appends a report and returns its number.
    fn push(&mut self, said: Said) -> u64 {
        self.urgent |= !matches!(said, Said::Met { .. });
        self.unconfirmed.push_back(said);
        self.first + self.unconfirmed.len() as u64 - 1
    }
}

/// A running drill.
struct Rule {
    drill: Drill,
    /// The earliest end that a lease has given, and the time until which the last lease holds.
    ends_at: Micros,
    lease_until: Micros,
    /// The requests that wait for a grant, by the number of the report that asked for it; None: the request
    /// no longer waits.
    waiting: BTreeMap<u64, Option<u64>>,
    /// Grants that came too late for the requests that asked for them.
    unused_grants: Vec<u64>,
    guard: GuardState,
}

/// What a drill's guard has counted.
#[derive(Default)]
struct GuardState {
    tripped: bool,
    /// The failure rate of requests at this proxy before the drill, per thousand.
    failed_before: u32,
    window_start: Micros,
    /// Answers to other callers in the window, and the failures among them.
    asked: u32,
    failed: u32,
    /// Failures of the drilled caller into which no fault was injected.
    real: u32,
}

/// The drills of this run of the proxy.
pub struct Drills {
    ip: Ipv4Addr,
    /// Identifies this run of the proxy.
    life: u64,
    beat_us: Micros,
    rules: BTreeMap<Rev, Rule>,
    leases: BTreeMap<Rev, (Micros, Micros)>,
    queues: BTreeMap<Rev, ReportQueue>,
    /// Requests of drilled callers, with the epoch of the drill; and requests into which a fault was
    /// injected.
    drilled: BTreeMap<u64, Rev>,
    injected: BTreeSet<u64>,
}

impl Drills {
    pub fn new(ip: Ipv4Addr, life: u64, beat_us: Micros) -> Drills {
        let (rules, leases, queues) = Default::default();
        let (drilled, injected) = Default::default();
        Drills { ip, life, beat_us, rules, leases, queues, drilled, injected }
    }

    /// No drill runs and nothing is left to report.
    pub fn is_idle(&self) -> bool {
        self.rules.is_empty() && self.queues.is_empty()
    }

    /// Applies the agreed drills. `failed`: the failure rate of all requests at this proxy so far, per
    /// thousand. Returns the waiting requests that go on, each with the fault that it was granted, if any.
    pub fn apply_state(
        &mut self,
        now: Micros,
        agreed: &Agreed,
        failed: u32,
    ) -> Vec<(u64, Option<InjectedFault>)> {
        let running: BTreeSet<Rev> = agreed.running().map(|h| h.epoch).collect();
        let mut released = Vec::new();
        for held in agreed.0.values() {
            let up_to = held.tellers.get(&(self.ip, self.life)).map_or(0, |t| t.up_to);
            if let Some(queue) = self.queues.get_mut(&held.epoch) {
                while queue.first <= up_to && queue.unconfirmed.pop_front().is_some() {
                    queue.first += 1;
                }
            }
            let Some(rule) = self.rules.get_mut(&held.epoch) else { continue };
            let answered: Vec<u64> = rule.waiting.keys().copied().take_while(|n| *n <= up_to).collect();
            for number in answered {
                let waiting_id = rule.waiting.remove(&number).flatten();
                let granted = held.granted(self.ip, self.life, number) == Some(true);
                match waiting_id {
                    None if granted => rule.unused_grants.push(number),
                    None => {}
                    Some(id) if granted && rule.is_active(now) => {
                        released.push((id, held.epoch, Some(number)))
                    }
                    Some(id) => released.push((id, held.epoch, None)),
                }
            }
        }
        for (_, rule) in self.rules.iter_mut().filter(|(epoch, _)| !running.contains(*epoch)) {
            released
                .extend(std::mem::take(&mut rule.waiting).into_values().flatten().map(|id| (id, 0, None)));
        }
        let released = released.into_iter().map(|(id, epoch, grant)| {
            let fault = grant.and_then(|_| self.inject(id, epoch, grant, None));
            (id, fault)
        });
        let released = released.collect();
        self.rules.retain(|epoch, _| running.contains(epoch));
        let known = |epoch: &Rev| agreed.0.values().any(|h| h.epoch == *epoch);
        self.queues.retain(|e, a| running.contains(e) || (known(e) && !a.unconfirmed.is_empty()));
        self.leases.retain(|_, (ends_at, _)| now < *ends_at);
        for held in agreed.running().filter(|h| !self.rules.contains_key(&h.epoch)).collect::<Vec<_>>() {
            let guard = GuardState { failed_before: failed, window_start: now, ..GuardState::default() };
            let (ends_at, lease_until) = self.leases.get(&held.epoch).copied().unwrap_or((0, 0));
            let (waiting, unused_grants) = Default::default();
            let rule =
                Rule { drill: held.drill.clone(), ends_at, lease_until, waiting, unused_grants, guard };
            self.rules.insert(held.epoch, rule);
        }
        released
    }

    /// Applies leases: which drills still run, and for how long. A lease that was delayed can only shorten
    /// that time.
    pub fn renew_leases(&mut self, now: Micros, leases: &[Lease]) {
        for lease in leases {
            let ends_at = now + Micros::from(lease.left_ms) * 1000;
            let known = self.leases.entry(lease.epoch).or_insert((ends_at, 0));
            *known = (ends_at.min(known.0), now + self.beat_us);
            if let Some(rule) = self.rules.get_mut(&lease.epoch) {
                (rule.ends_at, rule.lease_until) = *known;
            }
        }
    }

    /// Decides whether a request gets a fault, goes on without one, or waits for a grant.
    pub fn decide(&mut self, now: Micros, request: &DrilledRequest) -> DrillDecision {
        let found = self.rules.iter_mut().find(|(_, rule)| rule.is_active(now) && rule.matches(request));
        let Some((epoch, rule)) = found else { return DrillDecision::Pass };
        let epoch = *epoch;
        self.drilled.insert(request.id, epoch);
        if !in_share(request.attempt, epoch, rule.drill.share) {
            return DrillDecision::Pass;
        }
        let queue = self.queues.entry(epoch).or_insert(ReportQueue { first: 1, ..ReportQueue::default() });
        if queue.unconfirmed.len() >= MAX_UNCONFIRMED {
            return DrillDecision::Pass;
        }
        let attempt = String::from_utf8_lossy(request.attempt).into_owned();
        if rule.drill.count.is_none() {
            return self
                .inject(request.id, epoch, None, Some(attempt))
                .map_or(DrillDecision::Pass, DrillDecision::Inject);
        }
        if let Some(grant) = rule.unused_grants.pop() {
            let fault = self.inject(request.id, epoch, Some(grant), Some(attempt));
            return fault.map_or(DrillDecision::Pass, DrillDecision::Inject);
        }
        let number = queue.push(Said::Ask(attempt));
        rule.waiting.insert(number, Some(request.id));
        DrillDecision::Hold(now + MAX_HOLD_US.min(request.left_us / MAX_HOLD_DIVISOR))
    }

    /// Injects the drill's fault into a request. `attempt`: its name, unless the request for a grant has
    /// named it.
    fn inject(
        &mut self,
        id: u64,
        epoch: Rev,
        grant: Option<u64>,
        attempt: Option<String>,
    ) -> Option<InjectedFault> {
        let (rule, queue) = (self.rules.get(&epoch)?, self.queues.get_mut(&epoch)?);
        self.injected.insert(id);
        queue.push(Said::Met { attempt: attempt.unwrap_or_default(), grant });
        Some(InjectedFault { epoch, fault: rule.drill.fault.clone() })
    }

    /// A waiting request goes on without a grant or is gone; if its grant still comes, another request uses
    /// it.
    pub fn stop_waiting(&mut self, id: u64) {
        for waiting_id in self.rules.values_mut().flat_map(|r| r.waiting.values_mut()) {
            waiting_id.take_if(|w| *w == id);
        }
    }

    /// The request was answered as it would have been without the drill.
    pub fn mark_uninjected(&mut self, id: u64) {
        self.injected.remove(&id);
    }

    /// Drops all that is kept of a request.
    pub fn forget(&mut self, id: u64) {
        self.stop_waiting(id);
        self.drilled.remove(&id);
        self.injected.remove(&id);
    }

    /// Counts an answer. Failures of other callers, and failures of the drilled caller that aren't injected,
    /// can end a drill.
    pub fn record_answer(&mut self, now: Micros, id: u64, status: u16) {
        let failed = matches!(status, 408 | 429) || status >= 500;
        let drill_of_caller = self.drilled.remove(&id);
        let real = !self.injected.remove(&id);
        for (epoch, rule) in &mut self.rules {
            let (guard, bound) = (&mut rule.guard, rule.drill.guard);
            if drill_of_caller == Some(*epoch) {
                guard.real += u32::from(failed && real);
            } else if drill_of_caller.is_none() {
                if now > guard.window_start + GUARD_WINDOW_US {
                    (guard.window_start, guard.asked, guard.failed) = (now, 0, 0);
                }
                (guard.asked, guard.failed) = (guard.asked + 1, guard.failed + u32::from(failed));
            }
            let failed_per_thousand = guard.failed * 1000 / guard.asked.max(1);
            let why = match () {
                _ if guard.tripped => continue,
                _ if guard.real >= bound.real => format!("{} real failures of the caller", guard.real),
                _ if guard.failed >= MIN_GUARD_FAILURES
                    && failed_per_thousand > guard.failed_before + bound.others =>
                {
                    format!(
                        "{failed_per_thousand} in a thousand of others failed, {} before",
                        guard.failed_before
                    )
                }
                _ => continue,
            };
            guard.tripped = true;
            let queue =
                self.queues.entry(*epoch).or_insert(ReportQueue { first: 1, ..ReportQueue::default() });
            queue.push(Said::Guard(why));
        }
    }

    /// The reports that are to go out now.
    pub fn due_reports(&mut self, now: Micros) -> Vec<Rows> {
        let mut rows = Vec::new();
        for (epoch, queue) in &mut self.queues {
            let due = queue.urgent || now >= queue.sent_at + RESEND_US;
            if !queue.unconfirmed.is_empty() && due {
                (queue.sent_at, queue.urgent) = (now, false);
                let said = queue.unconfirmed.iter().cloned().collect();
                rows.push(Rows { epoch: *epoch, ip: self.ip, life: self.life, first: queue.first, said });
            }
        }
        rows
    }

    pub fn wake_at(&self) -> Micros {
        let due = self.queues.values().filter(|a| !a.unconfirmed.is_empty());
        due.map(|a| if a.urgent { 0 } else { a.sent_at + RESEND_US }).min().unwrap_or(Micros::MAX)
    }
}

impl Rule {
    /// Whether it may inject faults now: its lease is valid, and its guard has not tripped.
    fn is_active(&self, now: Micros) -> bool {
        now < self.ends_at.min(self.lease_until) && !self.guard.tripped
    }

    fn matches(&self, request: &DrilledRequest) -> bool {
        let c = &self.drill.caller;
        let matches_or_any =
            |want: &Option<String>, found: Option<&str>| want.is_none() || want.as_deref() == found;
        let key = || request.key.map(key_name);
        let header = |(name, value): &(String, String)| {
            let lines = request.head.split(|b| *b == b'\n').filter_map(|l| std::str::from_utf8(l).ok());
            let mut pairs = lines.filter_map(|l| l.split_once(':'));
            pairs.any(|(n, v)| n.trim().eq_ignore_ascii_case(name) && v.trim() == value)
        };
        matches_or_any(&c.tenant, request.tenant)
            && matches_or_any(&c.route, Some(request.route))
            && (c.key.is_none() || c.key == key())
            && c.header.as_ref().is_none_or(header)
    }
}

/// Whether an attempt belongs to the drilled share. It is derived from the attempt's name, so that no random
/// numbers that other decisions use are consumed.
fn in_share(attempt: &[u8], epoch: Rev, share: u32) -> bool {
    xxh3_64_with_seed(attempt, epoch) % 1_000_000 < u64::from(share)
}
