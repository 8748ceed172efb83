//! What a registry makes of tallies: by the counts alone, whenever and however often they come.

use cluster::rollout::{Answers, Order, Rollout, RouteTally, Stage, Tally};
use registry::rollouts::{Ground, Tallies};
use std::net::Ipv4Addr;

const SECOND: u64 = 1_000_000;
const PROXY: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const ORDERED_AT: u64 = 100 * SECOND;

fn rollout(stage: Stage) -> Rollout {
    let order = Order { service: "heron".to_string(), target_version: "v2".to_string(), term_ms: 14_000 };
    Rollout {
        order,
        epoch: 3,
        stage,
        stage_rev: 9,
        reason: String::new(),
        old_versions: ["v1".to_string()].into(),
        retired: Default::default(),
        ordered_at: ORDERED_AT as i64,
        stage_at: ORDERED_AT as i64,
    }
}

fn answers(ended: u32, failed: u32) -> Answers {
    let mut answers = Answers { ended, failed, times: Vec::new() };
    (failed..ended).for_each(|_| answers.took(200_000));
    answers
}

struct Registry {
    tallies: Tallies,
    now: u64,
    count: u64,
}

impl Registry {
    fn new() -> Registry {
        Registry { tallies: Tallies::default(), now: ORDERED_AT, count: 0 }
    }

    /// A third of a second later a life of the proxy tells what it counted so far.
    fn hears(&mut self, life: u64, old: Answers, new: Answers, rev: u64, old_out: u32) {
        self.now += SECOND / 3;
        self.count += 1;
        let routes = vec![RouteTally { route: 7, old, new }];
        let (ip, count) = (PROXY, self.count);
        self.tallies.take(self.now, Tally { ip, life, count, epoch: 3, rev, old_out, routes }, false);
    }

    fn step(&self, rollout: &Rollout) -> Option<Stage> {
        let proxies = [PROXY];
        let (tallies, now) = (&self.tallies, self.now);
        let ground =
            Ground { now, tallies, proxies: &proxies, tally_us: SECOND / 3, settle_us: 5 * SECOND / 2 };
        ground.step(rollout).map(|step| step.to)
    }
}

/// Guards against a version that turns bad late and is not seen for all the good answers before.
#[test]
fn good_answers_of_before_do_not_hide_that_a_version_turned_bad() {
    let mut r = Registry::new();
    r.hears(1, answers(20_000, 0), answers(3_000, 0), 9, 0);
    assert_eq!(r.step(&rollout(Stage::Trial)), None);
    // 1.3 % of all, less than is borne.
    r.hears(1, answers(20_500, 0), answers(3_060, 40), 9, 0);
    assert_eq!(r.step(&rollout(Stage::Trial)), Some(Stage::Reverted));
}

/// Guards against evidence that is lost when the proxy that gathered it ends.
#[test]
fn what_a_proxy_counted_stays_when_it_begins_a_new_life() {
    let mut r = Registry::new();
    r.hears(1, answers(500, 0), answers(20, 5), 9, 0);
    assert_eq!(r.step(&rollout(Stage::Trial)), None, "five of twenty are too few to tell");
    (2..=4).for_each(|life| r.hears(life, answers(500, 0), answers(20, 5), 9, 0));
    assert_eq!(r.step(&rollout(Stage::Trial)), Some(Stage::Reverted));
}

/// Guards against counts that weigh more the more often they are told.
#[test]
fn the_same_counts_told_again_add_nothing() {
    let mut r = Registry::new();
    for _ in 0..15 {
        r.hears(1, answers(2_000, 10), answers(60, 6), 9, 0);
        assert_eq!(r.step(&rollout(Stage::Trial)), None);
    }
}

#[test]
fn a_trouble_of_all_servers_that_begins_late_says_nothing_of_the_version() {
    let mut r = Registry::new();
    r.hears(1, answers(10_000, 0), answers(900, 0), 9, 0);
    r.hears(1, answers(11_000, 300), answers(1_000, 30), 9, 0);
    assert_eq!(r.step(&rollout(Stage::Trial)), None);
}

/// Guards against a rollout that is said to be completed, so that the old servers stop, while a proxy still sends there.
#[test]
fn it_is_not_completed_before_each_proxy_has_taken_up_that_the_new_servers_serve_alone() {
    let whole = |stage_at: u64| Rollout { stage_at: stage_at as i64, ..rollout(Stage::Whole) };
    let mut r = Registry::new();
    r.now = ORDERED_AT + 13 * SECOND;
    let stage_at = r.now - 3 * SECOND / 2;
    r.hears(1, answers(2_000, 0), answers(2_000, 0), 8, 0);
    assert_eq!(r.step(&whole(stage_at)), None, "its copy is older than the stage");
    r.hears(1, answers(2_000, 0), answers(2_000, 0), 9, 2);
    assert_eq!(r.step(&whole(r.now - SECOND)), None, "two are out, and there is time");
    assert_eq!(r.step(&whole(stage_at)), Some(Stage::Completed), "the term is near");
    r.hears(1, answers(2_000, 0), answers(2_000, 0), 9, 0);
    assert_eq!(r.step(&whole(r.now - SECOND)), Some(Stage::Completed));
}
