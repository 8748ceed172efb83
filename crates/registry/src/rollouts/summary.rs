//! The summary of both versions that operators see while a rollout runs.

use super::Tallies;
use cluster::rollout::{Answers, TIME_BUCKETS, time_bucket};
use cluster::{Micros, Rev};

/// A time in microseconds that is in the last bucket.
const MAX_TIME_US: Micros = 1 << 40;

/// What was counted of one version, over all routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// All requests that ended with an answer or with a failure of the server, and the failures among them.
    pub ended: u32,
    pub failed: u32,
    pub median: Option<TimeRange>,
    pub percentile_95: Option<TimeRange>,
}

/// A bucket of times, in microseconds: its lower bound, and its exclusive upper bound; the last bucket has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeRange {
    pub from_us: Micros,
    pub below_us: Option<Micros>,
}

impl Tallies {
    /// What proxies have reported of the old and of the new version; none before the first report. Only for views.
    pub fn summary(&self, epoch: Rev) -> Option<(Summary, Summary)> {
        if !self.has_reports(epoch) {
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

/// The bucket with the given percentile of the times.
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

/// The lower bound of a bucket, found by bisection, so that [`time_bucket`] alone defines the buckets.
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
