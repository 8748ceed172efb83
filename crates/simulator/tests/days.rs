//! Days drawn by chance keep every rule. What a seed breaks is played again by `curlewfront-simulator day --seed N`.

use simulator::hunt::{draw, draw_answers, draw_rollouts, play, report};
use simulator::scenario::Scenario;

const DAYS: u64 = if cfg!(debug_assertions) { 30 } else { 150 };

#[test]
fn days_by_chance_keep_every_rule() {
    for seed in 1..=DAYS {
        let text = draw(seed);
        let played = play(&Scenario::read(&text).expect("a scenario"), seed, false);
        assert!(played.unmet.is_empty(), "day {seed}:\n{text}{}", report(&played));
    }
}

#[test]
fn so_do_days_of_answers_that_are_not_as_they_should_be() {
    for seed in 1..=DAYS {
        let text = draw_answers(seed);
        let played = play(&Scenario::read(&text).expect("a scenario"), seed, false);
        assert!(played.unmet.is_empty(), "day {seed}:\n{text}{}", report(&played));
    }
}

/// Rollouts have more requests, so there are fewer of these days.
#[test]
fn so_do_days_of_rollouts() {
    for seed in 1..=DAYS / 10 {
        let text = draw_rollouts(seed);
        let played = play(&Scenario::read(&text).expect("a scenario"), seed, false);
        assert!(played.unmet.is_empty(), "day {seed}:\n{text}{}", report(&played));
    }
}
