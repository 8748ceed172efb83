//! Fire drills in a proxy, as a state machine of their own: which request meets a rehearsed fault, by which grant, until
//! when, and what is told of it. It acts around the decisions on requests and is told to none of them; see
//! docs/system/drills.md.

use cluster::drill::{Drill, Drills as Agreed, Rows, Said};
use cluster::talk::Lease;
use cluster::{Micros, Rev};
use settings::drill::{Fault, key_name};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A request that asks for a grant is held back so long at the most, and so great a part of its time.
const HOLD_US: Micros = 400_000;
const HOLD_PART: Micros = 3;
/// What was told is told again after so long, until it is in the log; and what is no question goes out so often.
const AGAIN_US: Micros = 1_000_000;
/// With more than this untold a rule no longer acts: it could not be accounted for.
const MOST_UNTOLD: usize = 128;
/// The guard looks at so much time, and at no fewer failures than this.
const WINDOW_US: Micros = 5_000_000;
const FEWEST: u32 = 10;

/// A request as a rule sees it.
pub struct Meeting<'a> {
    pub id: u64,
    pub tenant: Option<&'a str>,
    pub key: Option<&'a str>,
    pub route: &'a str,
    /// Its header lines.
    pub head: &'a [u8],
    pub attempt: &'a [u8],
    pub left_us: Micros,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    Pass,
    /// Asked for; `granted` tells, or `late` after this time.
    Hold(Micros),
    Meets(Met),
}

/// A request that meets its fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Met {
    pub epoch: Rev,
    pub fault: Fault,
}

/// What one life of this proxy has to say of one drill.
#[derive(Default)]
struct Account {
    /// The number of the first that is not in the log yet.
    first: u64,
    untold: VecDeque<Said>,
    told_at: Micros,
    /// Something must go out at once.
    urgent: bool,
}

impl Account {
    fn say(&mut self, said: Said) -> u64 {
        self.urgent |= !matches!(said, Said::Met { .. });
        self.untold.push_back(said);
        self.first + self.untold.len() as u64 - 1
    }
}

struct Rule {
    drill: Drill,
    /// The first end that was heard of, and until when it was heard that it still runs.
    ends: Micros,
    heard_until: Micros,
    /// Requests that wait for their grants, by the grants' numbers; None: it waits no more.
    asked: BTreeMap<u64, Option<u64>>,
    /// Grants that came too late for those who asked.
    spare: Vec<u64>,
    guard: Watch,
}

#[derive(Default)]
struct Watch {
    tripped: bool,
    /// Of others: asked and failed before, in thousandths.
    before: u32,
    since: Micros,
    asked: u32,
    failed: u32,
    /// Failures of the caller that met no rehearsed fault.
    real: u32,
}

pub struct Drills {
    ip: Ipv4Addr,
    life: u64,
    beat_us: Micros,
    rules: BTreeMap<Rev, Rule>,
    leases: BTreeMap<Rev, (Micros, Micros)>,
    accounts: BTreeMap<Rev, Account>,
    /// Requests of callers that are drilled, and the drill; those that met a fault.
    callers: BTreeMap<u64, Rev>,
    met: BTreeSet<u64>,
}

impl Drills {
    pub fn new(ip: Ipv4Addr, life: u64, beat_us: Micros) -> Drills {
        let (rules, leases, accounts) = Default::default();
        let (callers, met) = Default::default();
        Drills { ip, life, beat_us, rules, leases, accounts, callers, met }
    }

    /// Nothing is rehearsed and nothing is to be told.
    pub fn idle(&self) -> bool {
        self.rules.is_empty() && self.accounts.is_empty()
    }

    /// The agreed drills, and what part of others' requests has failed here so far, in thousandths. Tells which held
    /// requests go on, and what those meet that were granted a fault.
    pub fn learn(&mut self, now: Micros, agreed: &Agreed, failed: u32) -> Vec<(u64, Option<Met>)> {
        let running: BTreeSet<Rev> = agreed.running().map(|h| h.epoch).collect();
        let mut free = Vec::new();
        for held in agreed.0.values() {
            let up_to = held.tellers.get(&(self.ip, self.life)).map_or(0, |t| t.up_to);
            if let Some(account) = self.accounts.get_mut(&held.epoch) {
                while account.first <= up_to && account.untold.pop_front().is_some() {
                    account.first += 1;
                }
            }
            let Some(rule) = self.rules.get_mut(&held.epoch) else { continue };
            let answered: Vec<u64> = rule.asked.keys().copied().take_while(|n| *n <= up_to).collect();
            for number in answered {
                let waits = rule.asked.remove(&number).flatten();
                let granted = held.granted(self.ip, self.life, number) == Some(true);
                match waits {
                    None if granted => rule.spare.push(number),
                    None => {}
                    Some(id) if granted && rule.acts(now) => free.push((id, held.epoch, Some(number))),
                    Some(id) => free.push((id, held.epoch, None)),
                }
            }
        }
        for (_, rule) in self.rules.iter_mut().filter(|(epoch, _)| !running.contains(*epoch)) {
            free.extend(std::mem::take(&mut rule.asked).into_values().flatten().map(|id| (id, 0, None)));
        }
        let free = free.into_iter().map(|(id, epoch, grant)| {
            let met = grant.and_then(|_| self.meet(id, epoch, grant, None));
            (id, met)
        });
        let free = free.collect();
        self.rules.retain(|epoch, _| running.contains(epoch));
        let known = |epoch: &Rev| agreed.0.values().any(|h| h.epoch == *epoch);
        self.accounts.retain(|e, a| running.contains(e) || (known(e) && !a.untold.is_empty()));
        self.leases.retain(|_, (ends, _)| now < *ends);
        for held in agreed.running().filter(|h| !self.rules.contains_key(&h.epoch)).collect::<Vec<_>>() {
            let guard = Watch { before: failed, since: now, ..Watch::default() };
            let (ends, heard_until) = self.leases.get(&held.epoch).copied().unwrap_or((0, 0));
            let (asked, spare) = Default::default();
            let rule = Rule { drill: held.drill.clone(), ends, heard_until, asked, spare, guard };
            self.rules.insert(held.epoch, rule);
        }
        free
    }

    /// The drills that still run, and how long they have. A word that comes late may only shorten that.
    pub fn lease(&mut self, now: Micros, leases: &[Lease]) {
        for lease in leases {
            let ends = now + Micros::from(lease.left_ms) * 1000;
            let known = self.leases.entry(lease.epoch).or_insert((ends, 0));
            *known = (ends.min(known.0), now + self.beat_us);
            if let Some(rule) = self.rules.get_mut(&lease.epoch) {
                (rule.ends, rule.heard_until) = *known;
            }
        }
    }

    pub fn meets(&mut self, now: Micros, m: &Meeting) -> Verdict {
        let found = self.rules.iter_mut().find(|(_, rule)| rule.acts(now) && rule.matches(m));
        let Some((epoch, rule)) = found else { return Verdict::Pass };
        let epoch = *epoch;
        self.callers.insert(m.id, epoch);
        if !drawn(m.attempt, epoch, rule.drill.share) {
            return Verdict::Pass;
        }
        let account = self.accounts.entry(epoch).or_insert(Account { first: 1, ..Account::default() });
        if account.untold.len() >= MOST_UNTOLD {
            return Verdict::Pass;
        }
        let attempt = String::from_utf8_lossy(m.attempt).into_owned();
        if rule.drill.count.is_none() {
            return self.meet(m.id, epoch, None, Some(attempt)).map_or(Verdict::Pass, Verdict::Meets);
        }
        if let Some(grant) = rule.spare.pop() {
            let met = self.meet(m.id, epoch, Some(grant), Some(attempt));
            return met.map_or(Verdict::Pass, Verdict::Meets);
        }
        let number = account.say(Said::Ask(attempt));
        rule.asked.insert(number, Some(m.id));
        Verdict::Hold(now + HOLD_US.min(m.left_us / HOLD_PART))
    }

    /// Notes that a request meets its fault. `attempt`: as it was not told when it was asked for.
    fn meet(&mut self, id: u64, epoch: Rev, grant: Option<u64>, attempt: Option<String>) -> Option<Met> {
        let (rule, account) = (self.rules.get(&epoch)?, self.accounts.get_mut(&epoch)?);
        self.met.insert(id);
        account.say(Said::Met { attempt: attempt.unwrap_or_default(), grant });
        Some(Met { epoch, fault: rule.drill.fault.clone() })
    }

    /// A held request goes on, or has gone: its grant, should it come, is another's.
    pub fn late(&mut self, id: u64) {
        for waits in self.rules.values_mut().flat_map(|r| r.asked.values_mut()) {
            waits.take_if(|w| *w == id);
        }
    }

    /// It was answered as it would have been without the drill.
    pub fn real(&mut self, id: u64) {
        self.met.remove(&id);
    }

    pub fn gone(&mut self, id: u64) {
        self.late(id);
        self.callers.remove(&id);
        self.met.remove(&id);
    }

    /// A request was answered. Others' failures, and the caller's real ones, may end a drill.
    pub fn answered(&mut self, now: Micros, id: u64, status: u16) {
        let failed = matches!(status, 408 | 429) || status >= 500;
        let of = self.callers.remove(&id);
        let real = !self.met.remove(&id);
        for (epoch, rule) in &mut self.rules {
            let (watch, bound) = (&mut rule.guard, rule.drill.guard);
            if of == Some(*epoch) {
                watch.real += u32::from(failed && real);
            } else if of.is_none() {
                if now > watch.since + WINDOW_US {
                    (watch.since, watch.asked, watch.failed) = (now, 0, 0);
                }
                (watch.asked, watch.failed) = (watch.asked + 1, watch.failed + u32::from(failed));
            }
            let part = watch.failed * 1000 / watch.asked.max(1);
            let why = match () {
                _ if watch.tripped => continue,
                _ if watch.real >= bound.real => format!("{} real failures of the caller", watch.real),
                _ if watch.failed >= FEWEST && part > watch.before + bound.others => {
                    format!("{part} in a thousand of others failed, {} before", watch.before)
                }
                _ => continue,
            };
            watch.tripped = true;
            let account = self.accounts.entry(*epoch).or_insert(Account { first: 1, ..Account::default() });
            account.say(Said::Guard(why));
        }
    }

    /// What is to be told now.
    pub fn tells(&mut self, now: Micros) -> Vec<Rows> {
        let mut rows = Vec::new();
        for (epoch, account) in &mut self.accounts {
            let due = account.urgent || now >= account.told_at + AGAIN_US;
            if !account.untold.is_empty() && due {
                (account.told_at, account.urgent) = (now, false);
                let said = account.untold.iter().cloned().collect();
                rows.push(Rows { epoch: *epoch, ip: self.ip, life: self.life, first: account.first, said });
            }
        }
        rows
    }

    pub fn wake_at(&self) -> Micros {
        let due = self.accounts.values().filter(|a| !a.untold.is_empty());
        due.map(|a| if a.urgent { 0 } else { a.told_at + AGAIN_US }).min().unwrap_or(Micros::MAX)
    }
}

impl Rule {
    fn acts(&self, now: Micros) -> bool {
        now < self.ends.min(self.heard_until) && !self.guard.tripped
    }

    fn matches(&self, m: &Meeting) -> bool {
        let c = &self.drill.caller;
        let is = |want: &Option<String>, found: Option<&str>| want.is_none() || want.as_deref() == found;
        let key = || m.key.map(key_name);
        let header = |(name, value): &(String, String)| {
            let lines = m.head.split(|b| *b == b'\n').filter_map(|l| std::str::from_utf8(l).ok());
            let mut pairs = lines.filter_map(|l| l.split_once(':'));
            pairs.any(|(n, v)| n.trim().eq_ignore_ascii_case(name) && v.trim() == value)
        };
        is(&c.tenant, m.tenant)
            && is(&c.route, Some(m.route))
            && (c.key.is_none() || c.key == key())
            && c.header.as_ref().is_none_or(header)
    }
}

/// Whether an attempt is of the share: by its own name, so no chance of others is used up.
fn drawn(attempt: &[u8], epoch: Rev, share: u32) -> bool {
    xxh3_64_with_seed(attempt, epoch) % 1_000_000 < u64::from(share)
}
