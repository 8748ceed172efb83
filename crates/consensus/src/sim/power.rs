//! Power lost at one sync after the other, on simulated disks. The judge is the simulator's own, which is tried on planted
//! faults beside it.

use super::{Event, MS, Sim, quiet_group};
use crate::{Micros, Saved};
use std::cmp::Reverse;

/// How the machine that is looked at comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Back {
    Soon,
    /// Seconds after the others.
    Late,
    /// With an old copy of its disk, as a stranger.
    Old,
    /// With an empty disk.
    Empty,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Who {
    Leader,
    Follower,
    All,
}

const LATE: Micros = 3000 * MS;

impl Sim {
    /// Goes on until so many writes have been synced; where `told` is false, the last of them is not told.
    fn run_syncs(&mut self, count: usize, told: bool) {
        let mut seen = 0;
        while seen < count {
            let Reverse((at, _, event)) = self.queue.pop().expect("clients ask on");
            self.now = at;
            seen += usize::from(matches!(event, Event::Synced { .. }));
            if seen < count || told {
                self.step(event);
            } else {
                // Whoever loses its power never hears of it.
                self.at(at, event);
            }
        }
    }

    fn lose_power(&mut self, leader: usize, who: Who, back: Back) {
        let one = if who == Who::Follower { (leader + 1) % self.nodes.len() } else { leader };
        for node in (0..self.nodes.len()).filter(|n| who == Who::All || *n == one) {
            let late = node == one && back == Back::Late;
            self.restart(node, 5 * MS, if late { LATE } else { 30 * MS });
            if late {
                let life = self.nodes[node].life;
                self.queue.retain(|Reverse((.., e))| *e != Event::Start { node, life });
                self.at(self.now + LATE, Event::Start { node, life });
            }
        }
        let disk = self.rng.u64(2000..);
        let n = &mut self.nodes[one];
        match back {
            Back::Old => (n.disk, n.saved) = (disk, n.copy.1.clone().stranger()),
            Back::Empty => (n.disk, n.saved) = (disk, Saved::blank()),
            Back::Soon | Back::Late => {}
        }
    }

    /// Until a proposal is acknowledged that was made after now.
    pub(super) fn until_acked(&mut self) -> Option<Micros> {
        let (from, ticket) = (self.now, self.ticket);
        while self.now < from + 20_000 * MS {
            self.run(self.now + 5 * MS);
            if self.judge.acked.last().is_some_and(|t| *t > ticket) {
                return Some(self.now - from);
            }
        }
        None
    }
}

/// How long nothing was acknowledged; or what is wrong.
fn lost(point: usize, members: usize, who: Who, back: Back) -> Result<Micros, String> {
    let (mut sim, leader) = quiet_group(point as u64, members);
    for n in &mut sim.nodes {
        n.copy = (n.disk, n.saved.clone());
    }
    sim.run(sim.now + 200 * MS);
    sim.run_syncs(1 + point / 2, point.is_multiple_of(2));
    sim.lose_power(leader, who, back);
    let time = sim.until_acked();
    sim.settle();
    match (sim.wrong, time) {
        (Some(wrong), _) => Err(wrong),
        (None, None) => Err("nothing is acknowledged any more".into()),
        (None, Some(time)) => Ok(time),
    }
}

fn points(default: usize) -> usize {
    std::env::var("RATCHET_POINTS").ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// In parts, each on a thread of its own.
fn at_all<T: Send>(points: usize, of: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let part = |p: usize| (p..points).step_by(4).map(&of).collect::<Vec<T>>();
    std::thread::scope(|scope| {
        let part = &part;
        let threads: Vec<_> = (0..4).map(|p| scope.spawn(move || part(p))).collect();
        threads.into_iter().flat_map(|t| t.join().expect("no panic")).collect()
    })
}

fn spread(mut times: Vec<Micros>) -> String {
    times.sort_unstable();
    let ms = |at: usize| times[at] / MS;
    format!("{},{},{}", ms(0), ms(times.len() / 2), ms(times.len() - 1))
}

#[test]
fn power_lost_at_any_sync_loses_nothing_acknowledged_and_all_come_back() {
    println!("members,loses power,comes back,least ms,median ms,most ms");
    for members in [3, 5] {
        for who in [Who::Leader, Who::Follower, Who::All] {
            for back in [Back::Soon, Back::Late, Back::Old, Back::Empty] {
                let played = at_all(points(4), |point| lost(point, members, who, back));
                let times: Result<Vec<Micros>, String> = played.into_iter().collect();
                let times = times.unwrap_or_else(|e| panic!("{members} {who:?} {back:?}: {e}"));
                println!("{members},{who:?},{back:?},{}", spread(times));
            }
        }
    }
}
