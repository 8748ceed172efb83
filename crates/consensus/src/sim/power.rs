//! Power is lost at each sync in turn, on simulated disks. The checker is the simulator's, which is tested with
//! injected faults there.

use super::{Event, MS, Sim, fault_free_group};
use crate::{Micros, PersistentState};
use std::cmp::Reverse;

/// How the observed machine comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Return {
    Soon,
    /// Seconds after the others.
    Late,
    /// With an old copy of its disk, as a non-voter.
    OldCopy,
    /// With an empty disk.
    EmptyDisk,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Target {
    Leader,
    Follower,
    All,
}

const LATE_RESTART: Micros = 3000 * MS;

impl Sim {
    /// Runs until `count` writes have been synced. Without `notify_last` the replica isn't notified of the last one.
    fn run_syncs(&mut self, count: usize, notify_last: bool) {
        let mut seen = 0;
        while seen < count {
            let Reverse((at, _, event)) = self.queue.pop().expect("clients ask on");
            self.now = at;
            seen += usize::from(matches!(event, Event::Synced { .. }));
            if seen < count || notify_last {
                self.handle_event(event);
            } else {
                // The replica that loses power is never notified.
                self.schedule(at, event);
            }
        }
    }

    fn cut_power(&mut self, leader: usize, target: Target, return_mode: Return) {
        let one = if target == Target::Follower { (leader + 1) % self.nodes.len() } else { leader };
        for node in (0..self.nodes.len()).filter(|n| target == Target::All || *n == one) {
            let late = node == one && return_mode == Return::Late;
            self.restart(node, 5 * MS, if late { LATE_RESTART } else { 30 * MS });
            if late {
                let incarnation = self.nodes[node].incarnation;
                self.queue.retain(|Reverse((.., e))| *e != Event::Start { node, incarnation });
                self.schedule(self.now + LATE_RESTART, Event::Start { node, incarnation });
            }
        }
        let disk = self.rng.u64(2000..);
        let n = &mut self.nodes[one];
        match return_mode {
            Return::OldCopy => (n.disk, n.saved) = (disk, n.old_copy.1.clone().into_non_voter()),
            Return::EmptyDisk => (n.disk, n.saved) = (disk, PersistentState::empty()),
            Return::Soon | Return::Late => {}
        }
    }

    /// Runs until a proposal made from now on is acknowledged, and returns how long that took.
    pub(super) fn until_acked(&mut self) -> Option<Micros> {
        let (from, ticket) = (self.now, self.ticket);
        while self.now < from + 20_000 * MS {
            self.run(self.now + 5 * MS);
            if self.checker.acked.last().is_some_and(|t| *t > ticket) {
                return Some(self.now - from);
            }
        }
        None
    }
}

/// How long nothing was acknowledged, or what went wrong.
fn outage_after_power_loss(
    point: usize,
    members: usize,
    target: Target,
    return_mode: Return,
) -> Result<Micros, String> {
    let (mut sim, leader) = fault_free_group(point as u64, members);
    for n in &mut sim.nodes {
        n.old_copy = (n.disk, n.saved.clone());
    }
    sim.run(sim.now + 200 * MS);
    sim.run_syncs(1 + point / 2, point.is_multiple_of(2));
    sim.cut_power(leader, target, return_mode);
    let time = sim.until_acked();
    sim.recover_and_check();
    match (sim.violation, time) {
        (Some(wrong), _) => Err(wrong),
        (None, None) => Err("nothing is acknowledged any more".into()),
        (None, Some(time)) => Ok(time),
    }
}

fn points(default: usize) -> usize {
    std::env::var("RATCHET_POINTS").ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// Runs all points on several threads.
fn run_points<T: Send>(points: usize, run: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let part = |p: usize| (p..points).step_by(4).map(&run).collect::<Vec<T>>();
    std::thread::scope(|scope| {
        let part = &part;
        let threads: Vec<_> = (0..4).map(|p| scope.spawn(move || part(p))).collect();
        threads.into_iter().flat_map(|t| t.join().expect("no panic")).collect()
    })
}

fn min_median_max(mut times: Vec<Micros>) -> String {
    times.sort_unstable();
    let ms = |at: usize| times[at] / MS;
    format!("{},{},{}", ms(0), ms(times.len() / 2), ms(times.len() - 1))
}

#[test]
fn power_loss_at_any_sync_loses_nothing_acknowledged_and_the_group_recovers() {
    println!("members,loses power,comes back,least ms,median ms,most ms");
    for members in [3, 5] {
        for target in [Target::Leader, Target::Follower, Target::All] {
            for return_mode in [Return::Soon, Return::Late, Return::OldCopy, Return::EmptyDisk] {
                let outcomes = run_points(points(4), |point| {
                    outage_after_power_loss(point, members, target, return_mode)
                });
                let times: Result<Vec<Micros>, String> = outcomes.into_iter().collect();
                let times = times.unwrap_or_else(|e| panic!("{members} {target:?} {return_mode:?}: {e}"));
                println!("{members},{target:?},{return_mode:?},{}", min_median_max(times));
            }
        }
    }
}
