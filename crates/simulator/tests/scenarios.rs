//! Every file of `scenarios/` is played with several seeds and must hold what it says.

use simulator::hunt::{play, report};
use simulator::scenario::Scenario;
use std::path::Path;

const SEEDS: u64 = if cfg!(debug_assertions) { 1 } else { 4 };

fn scenario(path: &Path) -> datatest_stable::Result<()> {
    let scenario = Scenario::read(&std::fs::read_to_string(path)?).map_err(|e| e.to_string())?;
    for seed in 1..=SEEDS {
        let played = play(&scenario, seed, false);
        if !played.unmet.is_empty() {
            return Err(format!("seed {seed}:\n{}", report(&played)).into());
        }
    }
    Ok(())
}

datatest_stable::harness! {
    { test = scenario, root = "scenarios", pattern = r"\.txt$" },
}
