//! What operators see of both versions while a rollout runs.

use super::Tallies;
use cluster::rollout::{Answers, TIME_BUCKETS, time_bucket};
use cluster::{Micros, Rev};

/// A time that is in the last bucket.
const MAX_TIME_US: Micros = 1 << 40;

/// What was counted of one side of a rollout, over all routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// All that ended with an answer or with a failure of the server's, and of those the failures.
    pub ended: u32,
    pub failed: u32,
    pub median: Option<TimeRange>,
    pub percentile_95: Option<TimeRange>,
}

/// A bucket of times, in microseconds: the least that belongs to it, and the least above it. The last has no bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeRange {
    pub from_us: Micros,
    pub below_us: Option<Micros>,
}

impl Tallies {
    /// What proxies have told here of the old and of the new version; None before any has. For views alone.
    pub fn summary(&self, epoch: Rev) -> Option<(Summary, Summary)> {
        if !self.knows(epoch) {
            return None;
        }
        let (mut old, mut new) = (Answers::default(), Answers::default());
        for route in self.intervals(epoch).iter().flat_map(|i| i.routes.values()) {
            old.add(&route.old);
            new.add(&route.new);
        }
        Some((Summary::of(&old), Summary::of(&new)))
    }
}

impl Summary {
    fn of(answers: &Answers) -> Summary {
        Summary {
            ended: answers.ended,
            failed: answers.failed,
            median: percentile(&answers.times, 50),
            percentile_95: percentile(&answers.times, 95),
        }
    }
}

/// The bucket below whose end so many in a hundred of the times lie.
fn percentile(times: &[u32], per_cent: u64) -> Option<TimeRange> {
    let all: u64 = times.iter().map(|n| u64::from(*n)).sum();
    let mut up_to = 0;
    let bucket = times.iter().position(|n| {
        up_to += u64::from(*n);
        all > 0 && up_to * 100 >= all * per_cent
    })?;
    let below_us = (bucket + 1 < TIME_BUCKETS).then(|| bucket_start_us(bucket + 1));
    Some(TimeRange { from_us: bucket_start_us(bucket), below_us })
}

/// The least time that belongs to a bucket, by bisection, so that [`time_bucket`] alone says where buckets begin.
fn bucket_start_us(bucket: usize) -> Micros {
    let (mut low, mut high) = (0, MAX_TIME_US);
    while low < high {
        let middle = low + (high - low) / 2;
        match time_bucket(middle) < bucket {
            true => low = middle + 1,
            false => high = middle,
        }
    }
    low
}
