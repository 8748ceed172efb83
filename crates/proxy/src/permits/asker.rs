//! The asking side of permits: tries that wait for one, and which homes they are asked of.
//!
//! Tries of one tenant that wait are asked for together, of one home at a time: that of this zone first, then those of the
//! other zones of the region, then the rest. A home that has none left is asked again at the time that it named, one that
//! does not answer after a while.

use super::issuer::Part;
use rack::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

/// A permit is spent within so long of when its ask was sent, or never.
pub const VALID_US: Micros = 250_000;
/// An answer of a home of this region, and of another one, is waited for so long.
const NEAR_ANSWER_US: Micros = 60_000;
const FAR_ANSWER_US: Micros = 200_000;
/// A home that did not answer, or that is not sure to be one, is passed over for so long.
const SILENT_US: Micros = 1_000_000;
const AWAY_US: Micros = 300_000;
/// Most permits of one ask.
const MOST_ASKED: usize = u8::MAX as usize;

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

/// An ask that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    pub ask: u64,
    pub zone: usize,
    pub ip: Ipv4Addr,
    pub count: u32,
    pub sent_at: Micros,
    /// An answer is waited for so long.
    until: Micros,
}

impl Asked {
    /// What this proxy asks of itself.
    pub fn here(ip: Ipv4Addr, zone: usize, count: u32, now: Micros) -> Asked {
        Asked { ask: 0, zone, ip, count, sent_at: now, until: now }
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
    silent_until: BTreeMap<Ipv4Addr, Micros>,
    next_ask: u64,
}

impl Asker {
    /// `first_ask`: the number of the first ask, drawn by chance, so that no answer to an earlier life fits.
    pub fn new(me: Ipv4Addr, first_ask: u64) -> Asker {
        Asker { me, queues: BTreeMap::new(), silent_until: BTreeMap::new(), next_ask: first_ask }
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

    pub fn wait(&mut self, tenant: u32, one: Try) {
        self.queues.entry(tenant).or_default().waiting.push_back(one);
    }

    /// A try that wants no permit any more.
    pub fn withdraw(&mut self, one: Try) {
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|waiting| *waiting != one);
        }
    }

    /// When an answer is no longer waited for.
    pub fn wake_at(&self) -> Micros {
        let asked = self.queues.values().filter_map(|q| q.asked.map(|asked| asked.until));
        asked.min().unwrap_or(Micros::MAX)
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
            self.silent_until.insert(asked.ip, now + SILENT_US);
        }
        late.is_some()
    }

    /// What to do for the tries of a tenant, whose homes are these by zones; the ask that is named is then under way.
    pub fn next(&mut self, now: Micros, tenant: u32, homes: &[Option<Reached>]) -> Next {
        let (me, silent) = (self.me, &self.silent_until);
        let Some(queue) = self.queues.get_mut(&tenant) else { return Next::Nothing };
        if queue.waiting.is_empty() || queue.asked.is_some() {
            return Next::Nothing;
        }
        queue.zones.resize(homes.len(), Zone::default());
        let count = queue.waiting.len().min(MOST_ASKED) as u32;
        let open = |(zone, home): (usize, &Option<Reached>)| {
            let home = home.filter(|home| queue.zones[zone].open_at(silent, home.ip) <= now)?;
            Some((zone, home))
        };
        let Some((zone, home)) = homes.iter().enumerate().find_map(open) else {
            return queue.nobody(now, homes, silent);
        };
        if home.ip == me {
            return Next::Here { zone, count };
        }
        let patience = if home.near { NEAR_ANSWER_US } else { FAR_ANSWER_US };
        let asked =
            Asked { ask: self.next_ask, zone, ip: home.ip, count, sent_at: now, until: now + patience };
        self.next_ask = self.next_ask.wrapping_add(1);
        queue.asked = Some(asked);
        Next::Ask(asked)
    }

    /// Whether nobody could be asked for a tenant now, were one more to wait.
    pub fn nobody(&self, now: Micros, tenant: u32, homes: &[Option<Reached>]) -> Option<(Refusal, Micros)> {
        let queue = self.queues.get(&tenant)?;
        if !queue.waiting.is_empty() || queue.zones.len() != homes.len() {
            return None;
        }
        let open = homes
            .iter()
            .zip(&queue.zones)
            .any(|(home, zone)| home.is_some_and(|home| zone.open_at(&self.silent_until, home.ip) <= now));
        match queue.nobody(now, homes, &self.silent_until) {
            Next::Nobody { why, wait_us } if !open => Some((why, wait_us)),
            _ => None,
        }
    }

    /// The ask that an answer is to, if it is under way and the answer comes in time.
    pub fn answered(&mut self, now: Micros, tenant: u32, from: Ipv4Addr, ask: u64) -> Option<Asked> {
        let queue = self.queues.get_mut(&tenant)?;
        let asked = queue.asked.take_if(|asked| asked.ask == ask && asked.ip == from)?;
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
    fn open_at(&self, silent: &BTreeMap<Ipv4Addr, Micros>, home: Ipv4Addr) -> Micros {
        let silent = silent.get(&home).copied().unwrap_or(0);
        self.spent_until.max(self.away_until).max(silent)
    }
}

impl Queue {
    fn nobody(&self, now: Micros, homes: &[Option<Reached>], silent: &BTreeMap<Ipv4Addr, Micros>) -> Next {
        let known = self.zones.iter().zip(homes).filter_map(|(zone, home)| home.map(|home| (zone, home)));
        let opens = known.map(|(zone, home)| zone.open_at(silent, home.ip)).min();
        let spent = self.zones.iter().any(|zone| zone.spent_until > now);
        let why = if spent { Refusal::Spent } else { Refusal::NoHome };
        Next::Nobody { why, wait_us: opens.map_or(SILENT_US, |at| at.saturating_sub(now)) }
    }
}

/// The part of a quota that one zone has, of so many.
pub fn part_of(rate: f64, stock: f64, zones: usize) -> Part {
    let zones = zones.max(1) as f64;
    Part::new(rate / zones, stock / zones)
}
