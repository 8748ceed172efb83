//! The group on made-up networks and disks: drawn schedules of faults, the invariants, linearizability of what clients
//! saw, and planted violations that the checks must find.

use curlewfront_fleetsim::history::linearizable;
use curlewfront_fleetsim::sim::{Fault, Plan, Planted, Report, run};

fn faults_found(plan: &Plan, report: &Report) -> Vec<String> {
    let mut found = report.breaks.clone();
    for key in 0..plan.keys {
        if !linearizable(&report.history, key) {
            found.push(format!("the history of k{key} is not linearizable"));
        }
    }
    found
}

#[test]
fn drawn_schedules_keep_every_invariant() {
    let (mut elections, mut snapshots, mut answered) = (0, 0, 0);
    // Some for CI; `FLEET_SIM_SEEDS=5000 FLEET_SIM_FIRST=1 cargo test --release -p curlewfront-fleetsim` for a search.
    let seeds: u64 = std::env::var("FLEET_SIM_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(60);
    let first: u64 = std::env::var("FLEET_SIM_FIRST").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let mut bad = Vec::new();
    for seed in first..first + seeds {
        let plan = Plan::drawn(seed);
        let report = run(&plan);
        let found = faults_found(&plan, &report);
        if !found.is_empty() {
            bad.push(format!("seed {seed}, {:?}: {found:?}", plan.faults));
        }
        elections += report.elections;
        snapshots += report.snapshots_taken;
        answered += report.history.iter().filter(|d| d.answered.is_some()).count();
    }
    assert!(bad.is_empty(), "{} of {seeds}:\n{}", bad.len(), bad.join("\n"));
    // Else the schedules test nothing.
    assert!(
        elections > seeds && snapshots > seeds / 20,
        "{elections} elections, {snapshots} snapshots taken"
    );
    assert!(answered as u64 > seeds * 30, "{answered} calls answered");
}

#[test]
fn the_same_seed_gives_the_same_course() {
    for seed in [3, 17, 40] {
        let plan = Plan::drawn(seed);
        let (a, b) = (run(&plan), run(&plan));
        assert_eq!((a.trace, a.events), (b.trace, b.events), "seed {seed}");
        assert_eq!(a.history, b.history);
        assert_ne!(a.trace, run(&Plan { seed: seed + 1, ..plan.clone() }).trace);
    }
}

/// Each planted violation is found within so many seeds.
fn found_within(planted: Planted, most: u64) {
    for seed in 1..=most {
        let mut plan = Plan::drawn(seed);
        plan.planted = Some(planted);
        // Without anything that ends a life or a leader's reign there would be nothing to find.
        plan.faults.push((2_000_000, 400_000, Fault::PowerLoss));
        plan.faults.push((4_000_000, 900_000, Fault::Isolate { voter: seed as usize % plan.voters }));
        if planted == Planted::FastClock {
            (plan.members, plan.twins) = (plan.members.max(1), 1);
        }
        let report = run(&plan);
        if !faults_found(&plan, &report).is_empty() {
            return;
        }
    }
    panic!("{planted:?} not found within {most} seeds");
}

#[test]
fn a_disk_that_lies_about_its_syncs_is_found() {
    found_within(Planted::LyingDisk, 40);
}

#[test]
fn reads_from_a_voters_own_state_are_found() {
    found_within(Planted::StaleRead, 40);
}

#[test]
fn a_call_carried_out_twice_is_found() {
    found_within(Planted::CallTwice, 60);
}

#[test]
fn a_clock_that_ends_leases_early_is_found() {
    found_within(Planted::FastClock, 40);
}
