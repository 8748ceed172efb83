//! How strongly what was counted speaks against a new version: a sequential test of two shares that may be looked at as often
//! as wished.
//!
//! The share of bad answers of the new version is held against that of the old one over the same time, plus a tolerance. The
//! ratio of likelihoods is averaged over several larger shares (the mixture of Robbins 1970, as Johari, Pekelis and Walsh 2017
//! use it for tests that are watched), and summed over all times from which the version may have been bad (Roberts 1966). At
//! the border of what is tolerated that sum is on average the number of looks, so it exceeds `looks / chance` with at most
//! this chance, whenever one looks. The old version's share is itself an estimate; it is taken larger by one standard
//! deviation.

use super::tallies::Interval;
use cluster::rollout::{Answers, RouteTally};
use std::collections::BTreeSet;

/// A good version may be reverted with this chance, were its servers alike.
const FALSE_REVERT: f64 = 0.005;
/// Differences that are borne: of failures, and of slow answers, as servers of one version differ.
const FAILED_TOLERANCE: f64 = 0.03;
const SLOW_TOLERANCE: f64 = 0.04;
/// Bad versions are looked for whose share of bad answers is larger by these parts of what remains to all.
const EXCESSES: [f64; 6] = [0.05, 0.1, 0.2, 0.35, 0.5, 0.8];
/// Fewer bad answers than this are no reason to revert, or to wait.
const MIN_BAD: u32 = 5;
const MIN_DOUBTFUL: u32 = 3;
/// Likewise for slow answers, of which a good version has some.
const MIN_DOUBTFUL_SLOW: u32 = 8;
/// Evidence that is enough to wait: the likelihoods' ratio over any span of time, and over all of it.
const DOUBT_ANY: f64 = 20.0;
const DOUBT_WHOLE: f64 = 0.5;
/// The old version's share is taken from as long a time as it takes to have so many of its answers.
const MIN_OLD: u32 = 100;
/// As many answers of all routes count beside those of a route, so that one that is little used is not without an estimate.
const PRIOR: f64 = 50.0;
/// The part of the old version's answers that take longest; answers are slow that take longer than those by so many buckets.
const SLOW_PART: f64 = 0.25;
const SLOW_BUCKETS: usize = 2;
/// Fewer answers of the old version than this say nothing of times.
const MIN_TIMES: u32 = 40;

/// What speaks against a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Finding {
    /// Enough to revert.
    Bad(String),
    /// Enough to wait.
    Doubtful(String),
    Nothing,
}

/// A part of a whole, counted.
#[derive(Clone, Copy, Default)]
struct Share {
    part: u32,
    whole: u32,
}

impl Share {
    fn plus(self, other: Share) -> Share {
        Share { part: self.part + other.part, whole: self.whole + other.whole }
    }

    /// Smoothed, so that none of few is not taken for never, and larger by its standard deviation.
    fn upper(self) -> f64 {
        self.upper_beside(0.5, 1.0)
    }

    /// As if so many more had been counted, and so many of them bad.
    fn upper_beside(self, part: f64, whole: f64) -> f64 {
        let whole = f64::from(self.whole) + whole;
        let rate = (f64::from(self.part) + part) / whole;
        rate + (rate * (1.0 - rate) / whole).sqrt()
    }

    /// How much likelier it is under larger shares than under this one, on average over these; as a logarithm.
    fn likelihood_ratio(self, tolerated: f64) -> f64 {
        let (bad, good) = (f64::from(self.part), f64::from(self.whole - self.part));
        let of = |excess: f64| {
            let larger = tolerated + (1.0 - tolerated) * excess;
            bad * (larger / tolerated).ln() + good * ((1.0 - larger) / (1.0 - tolerated)).ln()
        };
        log_sum(EXCESSES.map(of)) - (EXCESSES.len() as f64).ln()
    }
}

/// The logarithm of a sum of numbers that are given by their logarithms.
fn log_sum(logs: impl IntoIterator<Item = f64> + Clone) -> f64 {
    let most = logs.clone().into_iter().fold(f64::NEG_INFINITY, f64::max);
    if most == f64::NEG_INFINITY {
        return most;
    }
    most + logs.into_iter().map(|l| (l - most).exp()).sum::<f64>().ln()
}

/// The two versions' shares of one kind of bad answer, for each span of time from some interval until now, the shortest first.
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

    /// What of the old version is to be reckoned with over a span.
    fn old(&self, span: usize) -> Share {
        let enough = self.old[span..].iter().find(|o| o.whole >= MIN_OLD).or(self.old.last());
        enough.copied().unwrap_or_default()
    }
}

/// What a version's shares are held against.
struct Trial<'s> {
    spans: &'s Spans,
    /// Those of all routes, where these are of one.
    all: Option<&'s Spans>,
    tolerance: f64,
    min_doubtful: u32,
    what: &'static str,
}

impl<'s> Trial<'s> {
    fn failing(spans: &'s Spans, all: Option<&'s Spans>) -> Trial<'s> {
        let (tolerance, min_doubtful) = (FAILED_TOLERANCE, MIN_DOUBTFUL);
        Trial { spans, all, tolerance, min_doubtful, what: "failed" }
    }

    fn slow(spans: &'s Spans) -> Trial<'s> {
        let (tolerance, min_doubtful) = (SLOW_TOLERANCE, MIN_DOUBTFUL_SLOW);
        Trial { spans, all: None, tolerance, min_doubtful, what: "were slow" }
    }

    /// The largest share that is borne over a span.
    fn tolerated(&self, span: usize) -> f64 {
        let old = self.spans.old(span);
        let expected = match self.all.map(|all| all.old(span).upper()) {
            Some(all) => all.max(old.upper_beside(PRIOR * all, PRIOR)),
            None => old.upper(),
        };
        (expected + self.tolerance).min(0.99)
    }
}

/// What was counted of a rollout, and how often it is looked at.
pub(super) struct Evidence<'a> {
    pub(super) intervals: &'a [Interval],
    pub(super) looks: f64,
    /// Differences that are borne besides the usual ones.
    pub(super) extra_tolerance: f64,
}

impl Evidence<'_> {
    pub(super) fn finding(&self) -> Finding {
        let routes: BTreeSet<u32> = self.intervals.iter().flat_map(|i| i.routes.keys().copied()).collect();
        let tests = 1.0 + 2.0 * routes.len() as f64;
        let bar = (self.looks.max(1.0) * tests / FALSE_REVERT).ln();
        let failures = |r: &RouteTally| (failed(&r.old), failed(&r.new));
        let all = Spans::of(self.intervals, |i| sum(i.routes.values().map(failures)));
        let mut findings = vec![self.judge(Trial::failing(&all, None), bar)];
        for route in routes {
            let on_route = |i: &Interval| i.routes.get(&route).map(failures).unwrap_or_default();
            let spans = Spans::of(self.intervals, on_route);
            findings.push(self.judge(Trial::failing(&spans, Some(&all)), bar));
            // Times of several routes are not alike, so these are compared route by route alone.
            if let Some(spans) = self.slow_spans(route) {
                findings.push(self.judge(Trial::slow(&spans), bar));
            }
        }
        let bad = findings.iter().position(|f| matches!(f, Finding::Bad(_)));
        let worst = bad.or_else(|| findings.iter().position(|f| *f != Finding::Nothing));
        worst.map_or(Finding::Nothing, |n| findings.swap_remove(n))
    }

    fn judge(&self, trial: Trial, bar: f64) -> Finding {
        judge(&Trial { tolerance: trial.tolerance + self.extra_tolerance, ..trial }, bar)
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

/// The bucket from which on an answer is slow: beyond all but the slowest of the old version.
fn slow_from(old: &[u32]) -> Option<usize> {
    let whole: u32 = old.iter().sum();
    if whole < MIN_TIMES {
        return None;
    }
    let most = (f64::from(whole) * SLOW_PART) as u32;
    let mut beyond = 0;
    let from = (0..old.len()).rev().find(|n| {
        beyond += old[*n];
        beyond > most
    });
    from.map(|n| n + 1 + SLOW_BUCKETS)
}

fn judge(trial: &Trial, bar: f64) -> Finding {
    let spans = trial.spans;
    let mut ratios: Vec<(f64, usize)> = Vec::new();
    for (span, new) in spans.new.iter().enumerate().filter(|(_, new)| new.part > 0) {
        let tolerated = trial.tolerated(span);
        // What is no larger than what is borne adds nothing to speak of.
        if f64::from(new.part) > tolerated * f64::from(new.whole) {
            ratios.push((new.likelihood_ratio(tolerated), span));
        }
    }
    let Some(&(most, span)) = ratios.iter().max_by(|a, b| a.0.total_cmp(&b.0)) else {
        return Finding::Nothing;
    };
    let (new, old) = (spans.new[span], spans.old[span]);
    let reason = || {
        let (part, whole, what) = (new.part, new.whole, trial.what);
        format!("{part} of {whole} answers {what}, of the old version's {} of {}", old.part, old.whole)
    };
    let sum = log_sum(ratios.iter().map(|(ratio, _)| *ratio));
    if sum >= bar && new.part >= MIN_BAD {
        return Finding::Bad(reason());
    }
    let whole = ratios.iter().any(|(r, s)| *s + 1 == spans.new.len() && *r >= DOUBT_WHOLE.ln());
    if new.part >= trial.min_doubtful && (most >= DOUBT_ANY.ln() || whole) {
        return Finding::Doubtful(reason());
    }
    Finding::Nothing
}
