//! The asking side of permits: tries that wait for one, and which homes they are asked of.
//!
//! A proxy that is asked for a tenant again and again also holds a few permits ahead, which the home lends for a while out of
//! plenty: then a try need not wait for an answer. Tries of one tenant that wait are asked for together, of one home at a time: that of this zone first, then those of the
//! other zones of the region, then the rest. A home that has none left is asked again at the time that it named, one that
//! does not answer after a while.

use super::issuer::{LENT_US, Part};
use rack::Micros;
use rack::talk::Permit;
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

/// A permit is spent within so long of when its ask was sent, or never.
pub const VALID_US: Micros = 500_000;
/// An answer of a home of this region, and of another one, is waited for so long.
const NEAR_ANSWER_US: Micros = 150_000;
const FAR_ANSWER_US: Micros = 400_000;
/// An ask without an answer is said again after so long, and again: datagrams are lost where a link is full. A home of
/// another region needs longer to answer.
const NEAR_AGAIN_US: Micros = 8_000;
const FAR_AGAIN_US: Micros = 90_000;
/// A home that did not answer is passed over for so long, twice as long after each further ask, and so long at the most: a
/// full link looks the same as a home that is gone.
const SILENT_US: Micros = 100_000;
const MOST_SILENT_US: Micros = 2_000_000;
/// When nobody is known to be asked again at a time, one is after so long. One that is not sure to be a home is passed over
/// for a while.
const NOBODY_US: Micros = 1_000_000;
const AWAY_US: Micros = 300_000;
/// Most permits of one ask.
const MOST_ASKED: usize = u8::MAX as usize;
/// Most permits that are held ahead, and how many tries must be expected while one may be spent for asking for any.
const MOST_AHEAD: f64 = 8.0;
const EXPECTED_AHEAD: f64 = 0.3;
/// Weight of the last gap between two tries in the mean.
const LEARN: f64 = 0.25;

/// One attempt of a request: the request's number and the attempt's.
pub type Try = (u64, u32);

/// Why a try gets no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No home has any left.
    Spent,
    /// No home is known that answers.
    NoHome,
}

/// A home of a tenant, as this proxy reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reached {
    pub ip: Ipv4Addr,
    /// In this proxy's region.
    pub near: bool,
}

/// A home that did not answer the last ask or asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Silence {
    until: Micros,
    last_us: Micros,
}

/// An ask that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    pub ask: u64,
    pub zone: usize,
    pub ip: Ipv4Addr,
    pub count: u32,
    pub ahead: u32,
    pub sent_at: Micros,
    /// It is said again then; and an answer is waited for so long.
    again_at: Micros,
    until: Micros,
    near: bool,
}

impl Asked {
    /// As it is said, alike each time.
    pub fn message(&self, tenant: u32) -> Permit {
        Permit::Ask { ask: self.ask, tenant, count: self.count as u8, ahead: self.ahead as u8 }
    }

    /// What this proxy asks of itself.
    pub fn here(ip: Ipv4Addr, zone: usize, count: u32, now: Micros) -> Asked {
        Asked { ask: 0, zone, ip, count, ahead: 0, sent_at: now, again_at: now, until: now, near: true }
    }
}

/// What is known of one zone's home of a tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Zone {
    /// It has none before this.
    spent_until: Micros,
    /// It is not asked before this, for another reason.
    away_until: Micros,
}

/// The tries of one tenant.
#[derive(Clone, Debug, Default)]
struct Queue {
    /// Permits held ahead, and until when each may be spent; those that end first come first.
    held: VecDeque<(Micros, u32)>,
    /// Nothing more is asked for ahead before this: there was not plenty.
    ahead_at: Micros,
    /// When the last try came, and the mean time between two.
    last_at: Option<Micros>,
    gap_us: f64,
    waiting: VecDeque<Try>,
    asked: Option<Asked>,
    zones: Vec<Zone>,
}

/// Whom to ask next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing waits, or an answer is awaited.
    Nothing,
    /// This many permits of the home of this zone, which is this proxy itself.
    Here { zone: usize, count: u32 },
    /// The same, of another proxy.
    Ask(Asked),
    /// Nobody can be asked now; when somebody can.
    Nobody { why: Refusal, wait_us: Micros },
}

/// All that wait at one proxy.
#[derive(Clone, Debug)]
pub struct Asker {
    me: Ipv4Addr,
    queues: BTreeMap<u32, Queue>,
    silent: BTreeMap<Ipv4Addr, Silence>,
    next_ask: u64,
}

impl Asker {
    /// `first_ask`: the number of the first ask, drawn by chance, so that no answer to an earlier life fits.
    pub fn new(me: Ipv4Addr, first_ask: u64) -> Asker {
        Asker { me, queues: BTreeMap::new(), silent: BTreeMap::new(), next_ask: first_ask }
    }

    /// The zones are others now: what was known of them by their places is forgotten.
    pub fn forget_zones(&mut self) {
        for queue in self.queues.values_mut() {
            queue.zones.clear();
            if let Some(asked) = &mut queue.asked {
                asked.zone = usize::MAX;
            }
        }
    }

    /// A try wants to go. If a permit is held for it: until when it may.
    pub fn wait(&mut self, now: Micros, tenant: u32, one: Try) -> Option<Micros> {
        let queue = self.queues.entry(tenant).or_default();
        queue.learn(now);
        let held = if queue.waiting.is_empty() { queue.take_held(now) } else { None };
        if held.is_none() {
            queue.waiting.push_back(one);
        }
        held
    }

    /// Permits were lent for an ask, of those that were welcome.
    pub fn hold(&mut self, now: Micros, tenant: u32, asked: Asked, lent: u32) {
        let Some(queue) = self.queues.get_mut(&tenant) else { return };
        if lent > 0 {
            queue.held.push_back((asked.sent_at + LENT_US, lent.min(asked.ahead)));
        } else if asked.ahead > 0 {
            queue.ahead_at = now + LENT_US;
        }
    }

    /// The first try that waits and a permit that is held for it, if there are both.
    pub fn take_held(&mut self, now: Micros, tenant: u32) -> Option<(Try, Micros)> {
        let queue = self.queues.get_mut(&tenant)?;
        let one = *queue.waiting.front()?;
        let until = queue.take_held(now)?;
        queue.waiting.pop_front();
        Some((one, until))
    }

    /// A try that wants no permit any more.
    pub fn withdraw(&mut self, one: Try) {
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|waiting| *waiting != one);
        }
    }

    /// When an ask is said again, or its answer is no longer waited for.
    pub fn wake_at(&self) -> Micros {
        let asked = self.queues.values().filter_map(|q| q.asked.map(|asked| asked.until.min(asked.again_at)));
        asked.min().unwrap_or(Micros::MAX)
    }

    /// The asks that are to be said again now, with their tenants.
    pub fn again(&mut self, now: Micros) -> Vec<(u32, Asked)> {
        let mut again = Vec::new();
        for (tenant, queue) in &mut self.queues {
            let due = queue.asked.as_mut().filter(|asked| now >= asked.again_at && now < asked.until);
            if let Some(asked) = due {
                asked.again_at = now + if asked.near { NEAR_AGAIN_US } else { FAR_AGAIN_US };
                again.push((*tenant, *asked));
            }
        }
        again
    }

    /// Tenants with an ask under way that is not waited for any longer.
    pub fn late(&self, now: Micros) -> Vec<u32> {
        let late = self.queues.iter().filter(|(_, q)| q.asked.is_some_and(|asked| now >= asked.until));
        late.map(|(tenant, _)| *tenant).collect()
    }

    /// Gives up an ask that was not answered in time, if there is one.
    pub fn time_out(&mut self, now: Micros, tenant: u32) -> bool {
        let queue = self.queues.get_mut(&tenant);
        let late = queue.and_then(|queue| queue.asked.take_if(|asked| now >= asked.until));
        if let Some(asked) = late {
            let before = self.silent.get(&asked.ip).map_or(0, |silence| silence.last_us);
            let last_us = (2 * before).clamp(SILENT_US, MOST_SILENT_US);
            self.silent.insert(asked.ip, Silence { until: now + last_us, last_us });
        }
        late.is_some()
    }

    /// What to do for the tries of a tenant, whose homes are these by zones; the ask that is named is then under way.
    pub fn next(&mut self, now: Micros, tenant: u32, homes: &[Option<Reached>]) -> Next {
        let (me, silent) = (self.me, &self.silent);
        let Some(queue) = self.queues.get_mut(&tenant) else { return Next::Nothing };
        let ahead = queue.wants_ahead(now);
        if queue.asked.is_some() || (queue.waiting.is_empty() && ahead == 0) {
            return Next::Nothing;
        }
        queue.zones.resize(homes.len(), Zone::default());
        let count = queue.waiting.len().min(MOST_ASKED) as u32;
        let open = |(zone, home): (usize, &Option<Reached>)| {
            let home = home.filter(|home| queue.zones[zone].open_at(silent, home.ip) <= now)?;
            Some((zone, home))
        };
        let Some((zone, home)) = homes.iter().enumerate().find_map(open) else {
            return if count > 0 { queue.nobody(now, homes, silent) } else { Next::Nothing };
        };
        // What is lent ahead is lent by the nearest home alone: a farther one is for what must go now.
        if count == 0 && (zone > 0 || home.ip == me) {
            return Next::Nothing;
        }
        if home.ip == me {
            return Next::Here { zone, count };
        }
        let ahead = if zone == 0 { ahead } else { 0 };
        let (again, patience) =
            if home.near { (NEAR_AGAIN_US, NEAR_ANSWER_US) } else { (FAR_AGAIN_US, FAR_ANSWER_US) };
        let asked = Asked {
            ask: self.next_ask,
            zone,
            ip: home.ip,
            count,
            ahead,
            sent_at: now,
            again_at: now + again,
            until: now + patience,
            near: home.near,
        };
        self.next_ask = self.next_ask.wrapping_add(1);
        queue.asked = Some(asked);
        Next::Ask(asked)
    }

    /// Whether nobody could be asked for a tenant now, were one more to wait.
    pub fn nobody(&self, now: Micros, tenant: u32, homes: &[Option<Reached>]) -> Option<(Refusal, Micros)> {
        let queue = self.queues.get(&tenant)?;
        let held = queue.held.iter().any(|(until, _)| now <= *until);
        if held || !queue.waiting.is_empty() || queue.zones.len() != homes.len() {
            return None;
        }
        let open = homes
            .iter()
            .zip(&queue.zones)
            .any(|(home, zone)| home.is_some_and(|home| zone.open_at(&self.silent, home.ip) <= now));
        match queue.nobody(now, homes, &self.silent) {
            Next::Nobody { why, wait_us } if !open => Some((why, wait_us)),
            _ => None,
        }
    }

    /// The ask that an answer is to, if it is under way and the answer comes in time.
    pub fn answered(&mut self, now: Micros, tenant: u32, from: Ipv4Addr, ask: u64) -> Option<Asked> {
        let queue = self.queues.get_mut(&tenant)?;
        let asked = queue.asked.take_if(|asked| asked.ask == ask && asked.ip == from)?;
        self.silent.remove(&from);
        (now <= asked.sent_at + VALID_US).then_some(asked)
    }

    /// The tenant of the ask under way with this number.
    pub fn tenant_of(&self, ask: u64) -> Option<u32> {
        let of = |queue: &Queue| queue.asked.is_some_and(|asked| asked.ask == ask);
        self.queues.iter().find(|(_, queue)| of(queue)).map(|(tenant, _)| *tenant)
    }

    /// The first tries that wait, as many as there are permits.
    pub fn spend(&mut self, tenant: u32, permits: u32) -> Vec<Try> {
        let Some(queue) = self.queues.get_mut(&tenant) else { return Vec::new() };
        let count = queue.waiting.len().min(permits as usize);
        queue.waiting.drain(..count).collect()
    }

    /// All tries of a tenant that wait.
    pub fn give_up(&mut self, tenant: u32) -> Vec<Try> {
        self.queues.get_mut(&tenant).map(|q| std::mem::take(&mut q.waiting).into()).unwrap_or_default()
    }

    /// The home of this zone has none before so long.
    pub fn is_spent(&mut self, now: Micros, tenant: u32, zone: usize, wait_us: Micros) {
        if let Some(zone) = self.zone(tenant, zone) {
            zone.spent_until = now + wait_us.max(1);
        }
    }

    /// The home of this zone is not sure to be one.
    pub fn is_away(&mut self, now: Micros, tenant: u32, zone: usize) {
        if let Some(zone) = self.zone(tenant, zone) {
            zone.away_until = now + AWAY_US;
        }
    }

    fn zone(&mut self, tenant: u32, zone: usize) -> Option<&mut Zone> {
        self.queues.get_mut(&tenant)?.zones.get_mut(zone)
    }
}

impl Zone {
    /// When its home may be asked.
    fn open_at(&self, silent: &BTreeMap<Ipv4Addr, Silence>, home: Ipv4Addr) -> Micros {
        let silent = silent.get(&home).map_or(0, |silence| silence.until);
        self.spent_until.max(self.away_until).max(silent)
    }
}

impl Queue {
    /// A try has come.
    fn learn(&mut self, now: Micros) {
        if let Some(last) = self.last_at {
            let gap = now.saturating_sub(last) as f64;
            self.gap_us =
                if self.gap_us == 0.0 { gap.max(1.0) } else { self.gap_us + LEARN * (gap - self.gap_us) };
        }
        self.last_at = Some(now);
    }

    fn take_held(&mut self, now: Micros) -> Option<Micros> {
        self.held.retain(|(until, count)| now <= *until && *count > 0);
        let (until, count) = self.held.front_mut()?;
        *count -= 1;
        Some(*until)
    }

    /// How many permits it is worth holding ahead that are not held yet: as many tries as are expected while they may be
    /// spent.
    fn wants_ahead(&self, now: Micros) -> u32 {
        if self.gap_us == 0.0 || now < self.ahead_at {
            return 0;
        }
        let expected = LENT_US as f64 / self.gap_us.max(1.0);
        let held: u32 = self.held.iter().filter(|(until, _)| now <= *until).map(|(_, count)| count).sum();
        if expected < EXPECTED_AHEAD || held > 0 { 0 } else { expected.clamp(1.0, MOST_AHEAD) as u32 }
    }

    fn nobody(&self, now: Micros, homes: &[Option<Reached>], silent: &BTreeMap<Ipv4Addr, Silence>) -> Next {
        let known = self.zones.iter().zip(homes).filter_map(|(zone, home)| home.map(|home| (zone, home)));
        let opens = known.map(|(zone, home)| zone.open_at(silent, home.ip)).min();
        let spent = self.zones.iter().any(|zone| zone.spent_until > now);
        let why = if spent { Refusal::Spent } else { Refusal::NoHome };
        Next::Nobody { why, wait_us: opens.map_or(NOBODY_US, |at| at.saturating_sub(now)) }
    }
}

/// The part of a quota that one zone has, of so many.
pub fn part_of(rate: f64, stock: f64, zones: usize) -> Part {
    let zones = zones.max(1) as f64;
    Part::new(rate / zones, stock / zones)
}
