//! Error rates of the verdict on a new version, from many simulated rollouts: good versions that are reverted or
//! late, and bad ones that are promoted or exceed their exposure limit. The ignored test prints the table of
//! docs/system/rollouts.md.

mod simulation;

use cluster::rollout::Stage;
use simulation::{BadVersion, Defect, Disturbance, Outcome, Scenario, When, simulate};

/// The seeds used to set the constants of the verdict, kept apart from those of the published table.
const TUNING_SEEDS: std::ops::Range<u64> = 0..40;
const EVALUATION_SEEDS: std::ops::Range<u64> = 30_000..30_100;

/// The results of all runs of one scenario.
#[derive(Clone, Copy, Default)]
struct Counts {
    runs: usize,
    reverted: usize,
    late: usize,
    not_reverted: usize,
    over_bound: usize,
    after_limit: usize,
    max_exposure: f64,
    last_end_s: f64,
}

impl Counts {
    fn of(outcomes: &[Outcome], term_s: usize) -> Counts {
        let count = |f: &dyn Fn(&Outcome) -> bool| outcomes.iter().filter(|o| f(o)).count();
        let in_term = |o: &Outcome| o.over_s.is_some_and(|s| s <= term_s as f64);
        Counts {
            runs: outcomes.len(),
            reverted: count(&|o| o.stage == Stage::Reverted),
            late: count(&|o| o.stage != Stage::Reverted && !in_term(o)),
            not_reverted: count(&|o| o.stage != Stage::Reverted || !in_term(o)),
            over_bound: count(&|o| o.exposure() > 1.0),
            after_limit: count(&|o| o.after_limit > 0),
            max_exposure: outcomes.iter().map(Outcome::exposure).fold(0.0, f64::max),
            last_end_s: outcomes.iter().filter_map(|o| o.over_s).fold(0.0, f64::max),
        }
    }
}

fn run(scenario: Scenario, seeds: std::ops::Range<u64>) -> Counts {
    let outcomes: Vec<Outcome> = seeds.map(|seed| simulate(scenario, seed)).collect();
    if std::env::var("ROLLOUT_REASONS").is_ok() {
        outcomes.iter().for_each(|o| eprintln!("{:?} {:?} {}", o.stage, o.over_s, o.reason));
    }
    Counts::of(&outcomes, scenario.term_s)
}

fn good(name: &'static str, disturbance: Disturbance) -> (&'static str, Scenario) {
    (name, Scenario { disturbance, ..Scenario::usual() })
}

fn bad(name: &'static str, share: f64, bad: Defect, when: When) -> (&'static str, Scenario) {
    (name, Scenario { version: Some(BadVersion { share, bad, when }), ..Scenario::usual() })
}

fn good_kinds() -> Vec<(&'static str, Scenario)> {
    let none = Disturbance::default();
    vec![
        good("calm", none),
        ("calm, 350 requests a second", Scenario { rate: 350.0, ..Scenario::usual() }),
        good("5 % garbled or lost at 40 % of the servers", Disturbance { garbled: (0.05, 0.4), ..none }),
        good(
            "5 % garbled or lost at all servers, from 4 s on",
            Disturbance { garbled: (0.05, 1.0), garbled_from_s: 4.0, ..none },
        ),
        good("4 % of the servers fail half", Disturbance { half_failing: 0.04, ..none }),
        good("10 % of the servers 4 times slower", Disturbance { slow: (0.1, 4.0), ..none }),
        good("40 % of the proxies killed at 4 s", Disturbance { killed: 0.4, ..none }),
        good(
            "retry storm: 5 further tries, 5 % garbled at 40 %",
            Disturbance { garbled: (0.05, 0.4), retry_storm: 5, ..none },
        ),
        good("a third of the proxies not reporting", Disturbance { not_reporting: 0.33, ..none }),
        good("leader lost at 6 s, its tallies too", Disturbance { leader_lost_s: 6.0, ..none }),
    ]
}

fn bad_kinds() -> Vec<(&'static str, Scenario)> {
    let errors = Defect::Errors;
    let leader_lost = Disturbance { leader_lost_s: 3.0, ..Disturbance::default() };
    let (_, late) = bad("", 0.4, errors, When::Late(3.0));
    let (_, late_slow) = bad("", 0.3, Defect::Slow(4.0), When::Late(5.0));
    let (_, at_once) = bad("", 0.3, errors, When::AtOnce);
    let (_, slow) = bad("", 0.5, Defect::Slow(4.0), When::AtOnce);
    let (_, rare) = bad("", 0.3, errors, When::OnRareRoute);
    let (_, from_partial) = bad("", 0.3, errors, When::FromPartial);
    vec![
        bad("0.5 errors at once", 0.5, errors, When::AtOnce),
        bad("0.3 errors at once", 0.3, errors, When::AtOnce),
        bad("0.2 errors at once", 0.2, errors, When::AtOnce),
        bad("0.15 errors at once", 0.15, errors, When::AtOnce),
        bad("0.1 errors at once", 0.1, errors, When::AtOnce),
        bad("0.3 errors from 3 s on", 0.3, errors, When::Late(3.0)),
        bad("0.3 errors from 5 s on", 0.3, errors, When::Late(5.0)),
        bad("0.3 errors from 7 s on", 0.3, errors, When::Late(7.0)),
        bad("0.5 four times slower", 0.5, Defect::Slow(4.0), When::AtOnce),
        bad("0.3 four times slower", 0.3, Defect::Slow(4.0), When::AtOnce),
        bad("0.3 four times slower from 5 s on", 0.3, Defect::Slow(4.0), When::Late(5.0)),
        (
            "0.3 four times slower from 5 s on, a half at the partial stage",
            Scenario { partial: 0.5, ..late_slow },
        ),
        bad("all eight times slower", 1.0, Defect::Slow(8.0), When::AtOnce),
        bad("0.3 errors at 2 requests a server", 0.3, errors, When::AtLoad(2)),
        bad("0.5 slower x 6 at 2 requests a server", 0.5, Defect::Slow(6.0), When::AtLoad(2)),
        bad("0.3 errors from the partial stage on", 0.3, errors, When::FromPartial),
        ("0.3 errors from the partial stage on, a half there", Scenario { partial: 0.5, ..from_partial }),
        bad("0.5 errors on a route of 10/s", 0.5, errors, When::OnRareRoute),
        ("0.3 errors on a route of 10/s", rare),
        ("0.3 errors on a route of 10/s, rare routes not first", Scenario { rare_first: false, ..rare }),
        ("0.3 errors on a route of 40/s", Scenario { rare_rate: 40.0, ..rare }),
        ("0.3 errors at once, 350 requests a second", Scenario { rate: 350.0, ..at_once }),
        ("0.5 four times slower, 350 requests a second", Scenario { rate: 350.0, ..slow }),
        ("0.4 errors from 3 s on, leader lost at 3 s", Scenario { disturbance: leader_lost, ..late }),
    ]
}

/// Whether a scenario is selected by the environment variable, which holds a part of its name.
fn is_selected(name: &str) -> bool {
    std::env::var("ROLLOUT_KINDS").map_or(true, |part| name.contains(&part))
}

fn table(seeds: std::ops::Range<u64>) {
    println!("seeds {seeds:?}");
    println!(
        "| good version beside | term | reverted | late | last over at |\n| --- | --- | --- | --- | --- |"
    );
    for (name, scenario) in good_kinds().into_iter().filter(|(name, _)| is_selected(name)) {
        for term_s in [12, 16] {
            let c = run(Scenario { term_s, ..scenario }, seeds.clone());
            println!(
                "| {name} | {term_s} | {} of {} | {} | {:.1} |",
                c.reverted, c.runs, c.late, c.last_end_s
            );
        }
    }
    println!(
        "\n| bad version | term | not reverted | over the bound | after the limit | most of the bound used | last over at |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (name, scenario) in bad_kinds().into_iter().filter(|(name, _)| is_selected(name)) {
        for term_s in [12, 16] {
            let c = run(Scenario { term_s, ..scenario }, seeds.clone());
            let (not_reverted, runs, over_bound, after) =
                (c.not_reverted, c.runs, c.over_bound, c.after_limit);
            println!(
                "| {name} | {term_s} | {not_reverted} of {runs} | {over_bound} | {after} | {:.2} | {:.1} |",
                c.max_exposure, c.last_end_s
            );
        }
    }
}

/// Guards against a good version that is reverted or late because of faults that have nothing to do with it.
#[test]
fn a_good_version_completes_by_its_term_beside_other_troubles() {
    let none = Disturbance::default();
    for (name, scenario) in [
        good("calm", none),
        good("garbled", Disturbance { garbled: (0.03, 0.4), ..none }),
        good("slow servers", Disturbance { slow: (0.03, 4.0), ..none }),
        good("proxies killed", Disturbance { killed: 0.4, ..none }),
        good("proxies silent", Disturbance { not_reporting: 0.33, ..none }),
        good("leader lost", Disturbance { leader_lost_s: 6.0, ..none }),
    ] {
        for seed in 0..2 {
            let outcome = simulate(scenario, seed);
            let in_term = outcome.over_s.is_some_and(|s| s <= scenario.term_s as f64);
            assert!(outcome.stage == Stage::Completed && in_term, "{name}, seed {seed}: {outcome:?}");
        }
    }
}

/// Guards against a bad version that is promoted, or that gets more requests than the settings allow.
#[test]
fn a_bad_version_is_reverted_before_it_had_more_than_it_may_get() {
    for (name, scenario) in [
        bad("errors", 0.5, Defect::Errors, When::AtOnce),
        bad("fewer errors", 0.2, Defect::Errors, When::AtOnce),
        bad("late errors", 0.3, Defect::Errors, When::Late(5.0)),
        bad("slow", 0.5, Defect::Slow(4.0), When::AtOnce),
        bad("all slow", 1.0, Defect::Slow(8.0), When::AtOnce),
        bad("errors under load", 0.3, Defect::Errors, When::AtLoad(2)),
        bad("errors from the partial stage on", 0.3, Defect::Errors, When::FromPartial),
        bad("errors on a rare route", 0.5, Defect::Errors, When::OnRareRoute),
    ] {
        for seed in 0..2 {
            let outcome = simulate(scenario, seed);
            let bound = outcome.exposure() <= 1.0 && outcome.after_limit == 0;
            assert!(outcome.stage == Stage::Reverted && bound, "{name}, seed {seed}: {outcome:?}");
        }
    }
}

#[test]
#[ignore = "the whole table takes minutes in a debug build"]
fn table_of_both_errors() {
    let tuning = std::env::var("ROLLOUT_CHOOSE").is_ok();
    table(if tuning { TUNING_SEEDS } else { EVALUATION_SEEDS });
}
