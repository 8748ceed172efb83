//! Members that take each other's places, over and over, with further losses as soon as the tolerance allows them: the
//! group has to acknowledge again within a stated time.

use super::{Event, MS, Node, Sim, quiet_group};
use crate::core::Fault;
use crate::{Micros, Ratchet, Role, Saved};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// A newcomer, or one that is back with an empty disk, counts as lost for so long.
const SYNC: Micros = 4000 * MS;
/// After a loss that the tolerance allows, something is acknowledged again within this.
const AGAIN: Micros = 5000 * MS;
/// A host ends so long after it was told to; later, up to the second, while its member is being replaced; and so long
/// after that is over.
const STOP: Micros = 400 * MS;
const STOP_LATEST: Micros = 2500 * MS;
const LINGER: Micros = 150 * MS;

impl Sim {
    fn group(seed: u64, members: usize, fault: Option<Fault>) -> Sim {
        let (mut sim, _) = quiet_group(seed, members);
        (sim.fault, sim.size) = (fault, Some(members));
        sim.timing.tail = 40;
        for node in 0..members {
            // Again, with the fault, the size and the shorter log.
            sim.restart(node, 0, 5 * MS);
        }
        sim.run(sim.now + 3000 * MS);
        sim
    }

    fn live(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].consensus.is_some()).collect()
    }

    /// A machine at an address that nobody has had, told of those that are up now.
    fn newcomer(&mut self, at: Micros) -> usize {
        let disk = self.rng.u64(2000..);
        self.nodes.push(Node::new(disk, Saved::blank()));
        let node = self.nodes.len() - 1;
        self.seeds = Some(self.live());
        self.at(at, Event::Start { node, life: 0 });
        node
    }

    fn stop(&mut self, node: usize) {
        self.input(node, crate::Input::Yield);
        let life = self.nodes[node].life;
        self.at(self.now + STOP, Event::Stopping { node, life, until: self.now + STOP_LATEST });
    }

    pub(super) fn stopping(&mut self, node: usize, life: u64, until: Micros) {
        let n = &self.nodes[node];
        if n.life != life {
            return;
        }
        if self.now < until && n.consensus.as_ref().is_some_and(Ratchet::is_being_replaced) {
            self.at(self.now + LINGER, Event::Stopping { node, life, until });
        } else {
            self.end(node);
        }
    }

    /// The leader, or any that votes.
    fn voter(&mut self) -> usize {
        let leader = self.leader();
        let votes = |n: &usize| self.nodes[*n].consensus.as_ref().is_some_and(Ratchet::standing);
        let voters: Vec<usize> = self.live().into_iter().filter(votes).collect();
        match leader {
            Some(leader) if self.rng.bool() => leader,
            _ => voters[self.rng.usize(..voters.len())],
        }
    }

    /// Since when every member of the last roster has it on its own disk that this counts.
    fn whole(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let consensus = self.nodes[leader].consensus.as_ref().expect("leads");
        let knows = |n: &usize| {
            let n = &self.nodes[*n];
            n.saved.hard.standing && n.saved.roster() == consensus.roster()
        };
        let named = |n: &usize| consensus.roster().names(super::member(*n), self.nodes[*n].disk);
        let members: Vec<usize> = self.live().into_iter().filter(named).collect();
        members.len() == consensus.roster().members.len() && members.iter().all(knows)
    }

    /// One machine goes for good or is told to, and another takes its place; when that one started.
    fn replace(&mut self, gone: usize, planned: bool) -> (usize, Micros) {
        if planned {
            let (start, early) = (self.now + MS, self.rng.u64(200..1500) * MS);
            let newcomer = self.newcomer(start);
            self.run(start + early);
            self.stop(gone);
            (newcomer, start)
        } else {
            self.end(gone);
            let start = self.now + 1000 * MS;
            let newcomer = self.newcomer(start);
            self.run(start);
            (newcomer, start)
        }
    }

    /// One loss that has to be borne, and that is over by itself after a while.
    fn one_loss(&mut self) -> &'static str {
        let node = self.voter();
        match self.rng.u8(..7) {
            0 | 1 => {
                self.restart(node, 300 * MS, 3000 * MS);
                "kill"
            }
            2 => {
                self.restart(node, 5 * MS, 500 * MS);
                let disk = self.rng.u64(2000..);
                let n = &mut self.nodes[node];
                (n.saved, n.disk) = (Saved::blank(), disk);
                "wipe"
            }
            3 => {
                for n in self.live() {
                    self.restart(n, 5 * MS, 60 * MS);
                }
                "power"
            }
            4 => {
                self.isolate(node);
                "cut"
            }
            5 => {
                self.nodes[node].hung = true;
                let at = self.now + 2500 * MS;
                self.at(at, Event::Thaw { node });
                "disk"
            }
            _ => {
                self.stop(node);
                let life = self.nodes[node].life + 1;
                self.at(self.now + STOP_LATEST + 300 * MS, Event::Start { node, life });
                "restart"
            }
        }
    }

    /// All that run hold the same, and it holds all that was acknowledged.
    fn agree(&mut self) -> Result<(), String> {
        self.queue.retain(|std::cmp::Reverse((.., event))| *event != Event::Client);
        self.run(self.now + 3000 * MS);
        if let Some(wrong) = &self.wrong {
            return Err(wrong.clone());
        }
        let live = self.live();
        let state = &self.nodes[live[0]].state;
        if let Some(other) = live.iter().find(|n| self.nodes[**n].state != *state) {
            return Err(format!("node {other} has another state"));
        }
        let there: std::collections::BTreeSet<u64> = state.iter().copied().collect();
        match self.judge.acked.iter().find(|ticket| !there.contains(ticket)) {
            Some(gone) => Err(format!("{gone} was acknowledged and is gone")),
            None => Ok(()),
        }
    }
}

/// How long it took after each loss, the most of it; or what is wrong.
fn chain(seed: u64, rounds: usize, fault: Option<Fault>) -> Result<Micros, String> {
    let members = if seed.is_multiple_of(4) { 5 } else { 3 };
    let mut sim = Sim::group(seed, members, fault);
    let mut most = 0;
    for round in 0..rounds {
        let (gone, planned) = (sim.voter(), sim.rng.bool());
        let (_, mut start) = sim.replace(gone, planned);
        if sim.rng.u8(..4) == 0 {
            // A second newcomer at once; one of them has to wait.
            start = sim.now + 1;
            sim.newcomer(start);
        }
        sim.run(start + SYNC);
        let loss = sim.one_loss();
        let time = sim.until_acked();
        let what = |sim: &Sim| {
            let stands =
                |n: &Node| n.consensus.as_ref().map(|r| (r.role(), r.standing(), r.last(), r.commit()));
            let nodes: Vec<_> = sim.nodes.iter().map(stands).collect();
            format!(
                "round {round}, {gone} replaced, planned {planned}, then {loss}, at {}: {nodes:?}",
                sim.now
            )
        };
        if let Some(wrong) = &sim.wrong {
            return Err(format!("{wrong}; {}", what(&sim)));
        }
        match time {
            Some(time) if time <= AGAIN => most = most.max(time),
            Some(time) => return Err(format!("only after {time}: {}", what(&sim))),
            None => return Err(format!("nothing is acknowledged: {}", what(&sim))),
        }
        sim.cuts.clear();
        sim.run(sim.now + 3000 * MS + SYNC);
        let out = sim.live().into_iter().filter(|n| {
            sim.nodes[*n].consensus.as_ref().is_some_and(|r| r.role() == Role::Out || !r.standing())
        });
        // Spares go, so that the group stays small.
        for node in out.collect::<Vec<_>>() {
            sim.end(node);
        }
        if !sim.whole() {
            return Err(format!("not whole after calm: {}", what(&sim)));
        }
    }
    sim.agree().map(|()| most)
}

fn spread(mut times: Vec<Micros>) -> String {
    times.sort_unstable();
    let ms = |at: usize| times[at] / MS;
    format!("{},{},{}", ms(0), ms(times.len() / 2), ms(times.len() - 1))
}

fn all<T: Send>(count: u64, of: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let next = AtomicU64::new(0);
    let work = || {
        let mut done = Vec::new();
        loop {
            let seed = next.fetch_add(1, Relaxed);
            if seed >= count {
                return done;
            }
            done.push((seed, of(seed)));
        }
    };
    let mut played: Vec<(u64, T)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(work)).collect();
        threads.into_iter().flat_map(|t| t.join().expect("no panic")).collect()
    });
    played.sort_by_key(|(seed, _)| *seed);
    played.into_iter().map(|(_, t)| t).collect()
}

/// Replacements in a chain: few in the usual run, more where the count of chains is given.
fn rounds() -> usize {
    if std::env::var("RATCHET_CHAINS").is_ok() { 6 } else { 3 }
}

fn count(default: u64) -> u64 {
    std::env::var("RATCHET_CHAINS").ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

#[test]
fn after_each_of_a_chain_of_replacements_one_more_loss_is_borne() {
    let played = all(count(200), |seed| chain(seed, rounds(), None).map_err(|e| format!("seed {seed}: {e}")));
    let wrong: Vec<&String> = played.iter().filter_map(|r| r.as_ref().err()).collect();
    assert!(wrong.is_empty(), "{} chains: {:#?}", wrong.len(), &wrong[..wrong.len().min(5)]);
    println!("least, median, most ms: {}", spread(played.into_iter().flatten().collect()));
}

#[test]
fn a_group_that_never_replaces_anybody_is_seen_to_break() {
    let played = all(8, |seed| chain(seed, 6, Some(Fault::NeverReplaced)));
    assert!(played.iter().all(|r| r.is_err()), "{played:?}");
}

#[test]
fn a_group_whose_founders_were_all_replaced_ten_times_over_starts_again() {
    for members in [3, 5] {
        let played = all(2, |seed| {
            let mut sim = Sim::group(seed, members, None);
            for turn in 0..10 * members {
                let gone = sim.live()[0];
                let (newcomer, start) = sim.replace(gone, turn % 2 == 0);
                sim.run(start + SYNC);
                let named = |n: usize| sim.nodes[n].consensus.as_ref().is_some_and(Ratchet::standing);
                if !named(newcomer) || !sim.whole() || sim.live().len() != members {
                    return Err(format!("turn {turn}: {newcomer} is not a member for {gone}"));
                }
            }
            for node in sim.live() {
                sim.restart(node, 5 * MS, 100 * MS);
            }
            let time = sim.until_acked();
            sim.agree()?;
            time.filter(|t| *t <= AGAIN).ok_or("nothing is acknowledged".to_string())
        });
        println!("{members}: {played:?}");
        assert!(played.iter().all(Result::is_ok), "{members}: {played:?}");
    }
}

/// From the newcomer's start until a loss of any one is borne; and that it is.
fn borne(seed: u64, planned: bool, changes: u64, mbit: Option<f64>) -> Result<Micros, String> {
    let mut sim = Sim::group(seed, 3, None);
    if changes > 0 {
        // As many more as are asked for, each of two kilobytes.
        for node in 0..3 {
            sim.end(node);
            sim.nodes[node].saved = sim.founding();
            (sim.nodes[node].applied, sim.nodes[node].state) = (0, Vec::new());
        }
        (sim.judge, sim.pad) = (super::Judge::default(), 2000);
        (sim.timing.tail, sim.timing.part) = (256, 64 << 10);
        for node in 0..3 {
            let life = sim.nodes[node].life;
            sim.at(sim.now + 1, Event::Start { node, life });
        }
        let acked = |sim: &Sim| sim.judge.acked.len() as u64;
        while acked(&sim) < changes {
            sim.run(sim.now + 100 * MS);
        }
    }
    sim.byte = mbit.map(|mbit| 8.0 / mbit);
    sim.run(sim.now + 2000 * MS);
    let gone = sim.voter();
    let (_, start) = sim.replace(gone, planned);
    if planned {
        // What counts is the newcomer's time, so it is told at once.
        sim.run(start);
    }
    let end = start + 60_000 * MS;
    let out = |sim: &Sim| {
        let leader = sim.leader().and_then(|l| sim.nodes[l].consensus.as_ref());
        leader.is_some_and(|r| !r.roster().members.contains_key(&super::member(gone)))
    };
    while !(out(&sim) && sim.whole()) && sim.now < end && sim.wrong.is_none() {
        sim.run(sim.now + 5 * MS);
    }
    let time = sim.now - start;
    if sim.now >= end {
        return Err(format!("seed {seed}: never whole"));
    }
    let next = sim.voter();
    sim.end(next);
    let again = sim.until_acked();
    match &sim.wrong {
        Some(wrong) => Err(format!("seed {seed}: {wrong}")),
        None if again.is_none_or(|t| t > AGAIN) => {
            Err(format!("seed {seed}: {next} is not borne: {again:?}"))
        }
        None => Ok(time),
    }
}

#[test]
fn soon_after_a_newcomer_started_one_more_loss_is_borne() {
    println!("planned,changes,Mbit/s,least ms,median ms,most ms");
    for planned in [false, true] {
        for (changes, mbit) in [(0, None), (300, None), (300, Some(5.0))] {
            let played = all(count(12), |seed| borne(seed, planned, changes, mbit));
            let times: Result<Vec<Micros>, String> = played.into_iter().collect();
            let times = times.unwrap_or_else(|e| panic!("{planned} {changes} {mbit:?}: {e}"));
            let most = *times.iter().max().expect("some");
            println!("{planned},{changes},{mbit:?},{}", spread(times));
            assert!(most < SYNC, "{planned} {changes} {mbit:?}: {most}");
        }
    }
}
