//! The issuing side of permits: a token bucket for each tenant that this proxy is home for.
//!
//! Levels are whole numbers of millionths of a permit. A bucket begins empty, and begins anew under a new epoch of its
//! slot: so that of a home and of those before it in the same slot, no more is ever issued than by one bucket.

use rack::{Micros, Rev};
use std::collections::BTreeMap;

/// Millionths of a permit in one.
const WHOLE: u64 = 1_000_000;
/// Permits that are lent ahead, before they are needed, may be spent for so long.
pub const LENT_US: Micros = 3_000_000;
/// The part of a stock that may be lent at a time, and the part that is kept back for those who need one now.
const LENT_PART: f64 = 0.6;
const KEPT_PART: f64 = 0.25;
/// The longest time after which somebody who got none is told to come again: some of those who were told a time do not come.
const LONGEST_WAIT_US: Micros = 1_000_000;

/// One zone's part of a quota, in millionths of a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    /// Earned in a second.
    pub rate: u64,
    /// Saved up at the most.
    pub stock: u64,
}

impl Part {
    /// A part of so many permits a second, of which so many are saved up; at least one is, as else none would ever be issued.
    pub fn new(rate: f64, stock: f64) -> Part {
        let millionths = |permits: f64| (permits * WHOLE as f64) as u64;
        Part { rate: millionths(rate), stock: millionths(stock).max(WHOLE) }
    }

    /// How much of the stock may be lent at a time, in millionths. Too little for one permit is none.
    fn lendable(&self) -> u64 {
        let lendable = (self.stock as f64 * LENT_PART) as u64;
        if self.stock - lendable < WHOLE || lendable < WHOLE { 0 } else { lendable }
    }
}

/// What an ask comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Issued {
    pub count: u32,
    /// Beside those, so many are lent for [`LENT_US`].
    pub ahead: u32,
    /// When it is worth asking again, where that was less than asked for.
    pub wait_us: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Bucket {
    epoch: Rev,
    level: u64,
    filled_at: Micros,
    /// Permits that were lent, in millionths, and until when each may be spent. Spent or not, they take room until then.
    lent: Vec<(Micros, u64)>,
    /// Permits up to this time have been spoken for by those who were told to come again.
    promised_until: Micros,
}

/// The buckets of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Issuer {
    buckets: BTreeMap<u32, Bucket>,
}

impl Issuer {
    /// Up to so many permits of a tenant, whose slot is held here under this epoch; `ahead`: so many more are welcome, but
    /// not needed yet.
    pub fn issue(
        &mut self,
        now: Micros,
        tenant: u32,
        epoch: Rev,
        part: Part,
        wanted: u32,
        ahead: u32,
    ) -> Issued {
        let empty = Bucket::new(now, epoch, part);
        let bucket = self.buckets.entry(tenant).or_insert_with(|| empty.clone());
        if bucket.epoch != epoch {
            *bucket = empty;
        }
        bucket.fill(now, part);
        let count = u32::try_from(bucket.level / WHOLE).unwrap_or(u32::MAX).min(wanted);
        bucket.level -= u64::from(count) * WHOLE;
        let wait_us = if count < wanted { bucket.promise(now, part) } else { 0 };
        let ahead = if count < wanted { 0 } else { bucket.lend(now, part, ahead) };
        Issued { count, ahead, wait_us }
    }

    /// Begins to fill the buckets of these tenants, whose slots are held here under these epochs, before anybody asks.
    /// Those of all others are forgotten.
    pub fn hold(&mut self, now: Micros, held: &BTreeMap<u32, (Rev, Part)>) {
        self.buckets
            .retain(|tenant, bucket| held.get(tenant).is_some_and(|(epoch, _)| *epoch == bucket.epoch));
        for (tenant, (epoch, part)) in held {
            self.buckets.entry(*tenant).or_insert_with(|| Bucket::new(now, *epoch, *part));
        }
    }

    /// How many permits of a tenant could be issued now.
    pub fn level(&self, now: Micros, tenant: u32, part: Part) -> f64 {
        let filled = self.buckets.get(&tenant).cloned().map(|mut bucket| {
            bucket.fill(now, part);
            bucket.level as f64 / WHOLE as f64
        });
        filled.unwrap_or(0.0)
    }
}

impl Bucket {
    /// What an earlier holder of the slot, or an earlier process of this one, may have lent takes its room.
    fn new(now: Micros, epoch: Rev, part: Part) -> Bucket {
        let lent = vec![(now + LENT_US, part.lendable())];
        Bucket { epoch, level: 0, filled_at: now, lent, promised_until: now }
    }

    fn fill(&mut self, now: Micros, part: Part) {
        let passed = now.saturating_sub(self.filled_at);
        let earned = u128::from(part.rate) * u128::from(passed) / u128::from(WHOLE);
        let earned = u64::try_from(earned).unwrap_or(u64::MAX);
        self.lent.retain(|(until, _)| now <= *until);
        let room = part.stock.saturating_sub(self.out());
        self.level = self.level.saturating_add(earned).min(room);
        self.filled_at = self.filled_at.max(now);
    }

    /// What is lent and may still be spent.
    fn out(&self) -> u64 {
        self.lent.iter().map(|(_, lent)| lent).sum()
    }

    /// Lends up to so many of what is there in plenty.
    fn lend(&mut self, now: Micros, part: Part, wanted: u32) -> u32 {
        let plenty = self.level.saturating_sub((part.stock as f64 * KEPT_PART) as u64);
        let room = part.lendable().saturating_sub(self.out());
        let count = (plenty.min(room) / WHOLE).min(u64::from(wanted));
        if count > 0 {
            self.level -= count * WHOLE;
            self.lent.push((now + LENT_US, count * WHOLE));
        }
        count as u32
    }

    /// How long until a permit that nobody else was told of. So those who got none come one after the other, and not all
    /// at the moment at which there is one.
    fn promise(&mut self, now: Micros, part: Part) -> Micros {
        let each_us = (WHOLE * WHOLE).checked_div(part.rate).unwrap_or(LONGEST_WAIT_US);
        let short = WHOLE.saturating_sub(self.level);
        let next = now + (short * WHOLE).checked_div(part.rate).unwrap_or(LONGEST_WAIT_US);
        let at = next.max(self.promised_until).min(now + LONGEST_WAIT_US);
        self.promised_until = at + each_us;
        at - now
    }
}
