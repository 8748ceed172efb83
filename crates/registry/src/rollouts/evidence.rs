//! The strength of the evidence against a new version: a sequential test of two proportions that may be evaluated as
//! often as wished.
//!
//! The share of bad answers of the new version is compared with that of the old one over the same time, plus a
//! tolerance. How bad a bad version is, is not known: the likelihood ratio is averaged over several larger shares (the
//! mixture of Robbins 1970, used by Johari, Pekelis and Walsh 2017 for tests under continuous monitoring). Nor is it
//! known when it turned bad: the averages are summed over all times at which it may have (Roberts 1966). If the share
//! is exactly at the tolerance, that sum is on average the number of evaluations. By Markov's inequality it then
//! exceeds `evaluations / chance` with at most this chance, whenever one looks. The chance
//! is divided by the number of tests. The old version's share is itself an estimate, so one standard deviation is added
//! to it.

use super::tallies::Interval;
use cluster::rollout::{Answers, RouteTally};
use std::collections::BTreeSet;

/// Accepted chance that a good version is reverted, if its servers were all alike.
const FALSE_REVERT_CHANCE: f64 = 0.005;
/// Tolerated differences in the shares of failed and of slow answers, because servers of one version differ too.
const FAILED_TOLERANCE: f64 = 0.03;
const SLOW_TOLERANCE: f64 = 0.04;
/// The larger shares of bad answers that the test looks for are `tolerated + (1 - tolerated) * excess`, for each of
/// these.
const EXCESS_SHARES: [f64; 6] = [0.05, 0.1, 0.2, 0.35, 0.5, 0.8];
/// With fewer bad answers a version is not reverted, and with fewer failed ones it is not held back.
const MIN_BAD_ANSWERS: u32 = 5;
const MIN_DOUBTFUL_FAILED: u32 = 3;
/// With fewer slow answers, of which a good version has some too, it is not held back either.
const MIN_DOUBTFUL_SLOW: u32 = 8;
/// With enough bad answers, a version is doubtful from this likelihood ratio on, over the best single span: the larger
/// shares then explain the counts 20 times as well, on average, as the tolerated share.
const DOUBT_ANY_SPAN: f64 = 20.0;
/// It is doubtful from this ratio on over the whole span, which is the longest. Less than 1 is enough there: the share
/// is above the tolerated one, and the larger shares explain the counts at least half as well, on average.
const DOUBT_WHOLE_SPAN: f64 = 0.5;
/// The old version's share is taken over a span long enough to have this many of its answers.
const MIN_OLD_ANSWERS: u32 = 100;
/// On one route, this many answers with the share of all routes are added to the old version's, so that a route with
/// little traffic has an estimate too.
const PRIOR_ANSWERS: f64 = 50.0;
/// The lowest bucket above which there is at most this part of the old version's answers is the one to compare with: an
/// answer is slow if it is more than `SLOW_BUCKETS` buckets above that one.
const SLOW_QUANTILE: f64 = 0.25;
const SLOW_BUCKETS: usize = 2;
/// With fewer timed answers of the old version, times are not compared.
const MIN_TIMED_ANSWERS: u32 = 40;

/// The evidence against a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Finding {
    /// Enough to revert.
    Bad(String),
    /// Enough to wait.
    Doubtful(String),
    Nothing,
}

/// A count of bad answers (`part`) out of all (`whole`).
#[derive(Clone, Copy, Default)]
struct Share {
    part: u32,
    whole: u32,
}

impl Share {
    fn plus(self, other: Share) -> Share {
        Share { part: self.part + other.part, whole: self.whole + other.whole }
    }

    /// The share plus its standard deviation, smoothed so that zero out of a few is not taken as impossible.
    fn upper(self) -> f64 {
        self.upper_beside(0.5, 1.0)
    }

    /// The same, as if `whole` more answers had been counted, `part` of them bad.
    fn upper_beside(self, part: f64, whole: f64) -> f64 {
        let whole = f64::from(self.whole) + whole;
        let rate = (f64::from(self.part) + part) / whole;
        rate + (rate * (1.0 - rate) / whole).sqrt()
    }

    /// The logarithm of the likelihood ratio: how much likelier the counts are under shares larger than `tolerated`,
    /// averaged over these, than under `tolerated`.
    fn log_likelihood_ratio(self, tolerated: f64) -> f64 {
        let (bad, good) = (f64::from(self.part), f64::from(self.whole - self.part));
        let of = |excess: f64| {
            let larger = tolerated + (1.0 - tolerated) * excess;
            bad * (larger / tolerated).ln() + good * ((1.0 - larger) / (1.0 - tolerated)).ln()
        };
        log_sum(EXCESS_SHARES.map(of)) - (EXCESS_SHARES.len() as f64).ln()
    }
}

/// The logarithm of a sum of numbers given by their logarithms.
fn log_sum(logs: impl IntoIterator<Item = f64> + Clone) -> f64 {
    let most = logs.clone().into_iter().fold(f64::NEG_INFINITY, f64::max);
    if most == f64::NEG_INFINITY {
        return most;
    }
    most + logs.into_iter().map(|l| (l - most).exp()).sum::<f64>().ln()
}

/// Both versions' shares of one kind of bad answer, for each span of time from some interval until now, the shortest
/// first.
struct Spans {
    old: Vec<Share>,
    new: Vec<Share>,
}

impl Spans {
    fn of<'i>(intervals: &'i [Interval], shares: impl Fn(&'i Interval) -> (Share, Share)) -> Spans {
        let mut spans = Spans { old: Vec::new(), new: Vec::new() };
        let (mut old, mut new) = (Share::default(), Share::default());
        for interval in intervals.iter().rev() {
            let (more_old, more_new) = shares(interval);
            (old, new) = (old.plus(more_old), new.plus(more_new));
            spans.old.push(old);
            spans.new.push(new);
        }
        spans
    }

    /// The old version's share to compare with for a span.
    fn old_baseline(&self, span: usize) -> Share {
        let enough = self.old[span..].iter().find(|o| o.whole >= MIN_OLD_ANSWERS).or(self.old.last());
        enough.copied().unwrap_or_default()
    }
}

/// One comparison of the two versions.
struct Comparison<'s> {
    spans: &'s Spans,
    /// The shares over all routes, if `spans` are of a single route.
    all: Option<&'s Spans>,
    tolerance: f64,
    min_doubtful: u32,
    what: &'static str,
}

impl<'s> Comparison<'s> {
    fn failed(spans: &'s Spans, all: Option<&'s Spans>) -> Comparison<'s> {
        let (tolerance, min_doubtful) = (FAILED_TOLERANCE, MIN_DOUBTFUL_FAILED);
        Comparison { spans, all, tolerance, min_doubtful, what: "failed" }
    }

    fn slow(spans: &'s Spans) -> Comparison<'s> {
        let (tolerance, min_doubtful) = (SLOW_TOLERANCE, MIN_DOUBTFUL_SLOW);
        Comparison { spans, all: None, tolerance, min_doubtful, what: "were slow" }
    }

    /// The largest share of bad answers that is tolerated over a span.
    fn tolerated(&self, span: usize) -> f64 {
        let old = self.spans.old_baseline(span);
        let expected = match self.all.map(|all| all.old_baseline(span).upper()) {
            Some(all) => all.max(old.upper_beside(PRIOR_ANSWERS * all, PRIOR_ANSWERS)),
            None => old.upper(),
        };
        (expected + self.tolerance).min(0.99)
    }
}

/// What was counted of a rollout, and how often it is evaluated.
pub(super) struct Evidence<'a> {
    pub(super) intervals: &'a [Interval],
    pub(super) evaluations: f64,
    /// Tolerated differences in addition to the usual ones.
    pub(super) extra_tolerance: f64,
}

impl Evidence<'_> {
    pub(super) fn finding(&self) -> Finding {
        let routes: BTreeSet<u32> = self.intervals.iter().flat_map(|i| i.routes.keys().copied()).collect();
        let tests = 1.0 + 2.0 * routes.len() as f64;
        let threshold = (self.evaluations.max(1.0) * tests / FALSE_REVERT_CHANCE).ln();
        let failures = |r: &RouteTally| (failed(&r.old), failed(&r.new));
        let all = Spans::of(self.intervals, |i| sum(i.routes.values().map(failures)));
        let mut findings = vec![self.evaluate(Comparison::failed(&all, None), threshold)];
        for route in routes {
            let on_route = |i: &Interval| i.routes.get(&route).map(failures).unwrap_or_default();
            let spans = Spans::of(self.intervals, on_route);
            findings.push(self.evaluate(Comparison::failed(&spans, Some(&all)), threshold));
            // Routes differ in their response times, so times are compared only route by route.
            if let Some(spans) = self.slow_spans(route) {
                findings.push(self.evaluate(Comparison::slow(&spans), threshold));
            }
        }
        let bad = findings.iter().position(|f| matches!(f, Finding::Bad(_)));
        let worst = bad.or_else(|| findings.iter().position(|f| *f != Finding::Nothing));
        worst.map_or(Finding::Nothing, |n| findings.swap_remove(n))
    }

    fn evaluate(&self, comparison: Comparison, threshold: f64) -> Finding {
        evaluate(
            &Comparison { tolerance: comparison.tolerance + self.extra_tolerance, ..comparison },
            threshold,
        )
    }

    fn slow_spans(&self, route: u32) -> Option<Spans> {
        let tallies = || self.intervals.iter().filter_map(|i| i.routes.get(&route));
        let mut old = Answers::default();
        tallies().for_each(|t| old.add(&t.old));
        let from = slow_from(&old.times)?;
        let slow = |a: &Answers| Share { part: a.times.iter().skip(from).sum(), whole: a.times.iter().sum() };
        let of =
            |i: &Interval| i.routes.get(&route).map(|t| (slow(&t.old), slow(&t.new))).unwrap_or_default();
        Some(Spans::of(self.intervals, of))
    }
}

fn failed(a: &Answers) -> Share {
    Share { part: a.failed.min(a.ended), whole: a.ended }
}

fn sum(shares: impl Iterator<Item = (Share, Share)>) -> (Share, Share) {
    shares.fold(Default::default(), |(old, new): (Share, Share), (o, n)| (old.plus(o), new.plus(n)))
}

/// The bucket from which on an answer is slow, derived from the old version's times.
fn slow_from(old: &[u32]) -> Option<usize> {
    let whole: u32 = old.iter().sum();
    if whole < MIN_TIMED_ANSWERS {
        return None;
    }
    let most = (f64::from(whole) * SLOW_QUANTILE) as u32;
    let mut beyond = 0;
    let from = (0..old.len()).rev().find(|n| {
        beyond += old[*n];
        beyond > most
    });
    from.map(|n| n + 1 + SLOW_BUCKETS)
}

fn evaluate(comparison: &Comparison, threshold: f64) -> Finding {
    let spans = comparison.spans;
    let mut ratios: Vec<(f64, usize)> = Vec::new();
    for (span, new) in spans.new.iter().enumerate().filter(|(_, new)| new.part > 0) {
        let tolerated = comparison.tolerated(span);
        // A share within the tolerance adds next to nothing.
        if f64::from(new.part) > tolerated * f64::from(new.whole) {
            ratios.push((new.log_likelihood_ratio(tolerated), span));
        }
    }
    let Some(&(strongest, span)) = ratios.iter().max_by(|a, b| a.0.total_cmp(&b.0)) else {
        return Finding::Nothing;
    };
    let (new, old) = (spans.new[span], spans.old[span]);
    let reason = || {
        let (part, whole, what) = (new.part, new.whole, comparison.what);
        format!("{part} of {whole} answers {what}, of the old version's {} of {}", old.part, old.whole)
    };
    let sum = log_sum(ratios.iter().map(|(ratio, _)| *ratio));
    if sum >= threshold && new.part >= MIN_BAD_ANSWERS {
        return Finding::Bad(reason());
    }
    let whole = ratios.iter().any(|(r, s)| *s + 1 == spans.new.len() && *r >= DOUBT_WHOLE_SPAN.ln());
    if new.part >= comparison.min_doubtful && (strongest >= DOUBT_ANY_SPAN.ln() || whole) {
        return Finding::Doubtful(reason());
    }
    Finding::Nothing
}
