//! Members are replaced over and over, with another failure as soon as the group should tolerate one. The group has to
//! acknowledge proposals again within a stated time.

use super::{Event, MS, Node, Sim, fault_free_group};
use crate::core::Fault;
use crate::{Micros, PersistentState, Replica, Role};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// How long a new machine, or one that is back with an empty disk, counts as failed.
const CATCH_UP_LIMIT: Micros = 4000 * MS;
/// Within this time after a tolerated failure a proposal has to be acknowledged again.
const RECOVERY_LIMIT: Micros = 5000 * MS;
/// How long after it was told to stop a host ends.
const STOP_DELAY: Micros = 400 * MS;
/// The same at the latest, while its member is being replaced.
const STOP_LIMIT: Micros = 2500 * MS;
/// How often such a host checks whether it is still being replaced.
const STOP_RECHECK: Micros = 150 * MS;

impl Sim {
    fn group(seed: u64, members: usize, fault: Option<Fault>) -> Sim {
        let (mut sim, _) = fault_free_group(seed, members);
        (sim.fault, sim.target_size) = (fault, Some(members));
        sim.timing.log_tail_entries = 40;
        for node in 0..members {
            // Restarts with the fault, the target size and the shorter log.
            sim.restart(node, 0, 5 * MS);
        }
        sim.run(sim.now + 3000 * MS);
        sim
    }

    fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].consensus.is_some()).collect()
    }

    /// Adds a machine at a new address, with the running members as seeds.
    fn add_machine(&mut self, at: Micros) -> usize {
        let disk = self.rng.u64(2000..);
        self.nodes.push(Node::new(disk, PersistentState::empty()));
        let node = self.nodes.len() - 1;
        self.seeds = Some(self.running());
        self.schedule(at, Event::Start { node, incarnation: 0 });
        node
    }

    fn request_stop(&mut self, node: usize) {
        self.input(node, crate::Input::PrepareToStop);
        let incarnation = self.nodes[node].incarnation;
        self.schedule(
            self.now + STOP_DELAY,
            Event::StopUnlessReplaced { node, incarnation, until: self.now + STOP_LIMIT },
        );
    }

    pub(super) fn stop_unless_replaced(&mut self, node: usize, incarnation: u64, until: Micros) {
        let n = &self.nodes[node];
        if n.incarnation != incarnation {
            return;
        }
        if self.now < until && n.consensus.as_ref().is_some_and(Replica::is_being_replaced) {
            self.schedule(self.now + STOP_RECHECK, Event::StopUnlessReplaced { node, incarnation, until });
        } else {
            self.crash(node);
        }
    }

    /// The leader or a random voter.
    fn pick_voter(&mut self) -> usize {
        let leader = self.leader();
        let votes = |n: &usize| self.nodes[*n].consensus.as_ref().is_some_and(Replica::is_voter);
        let voters: Vec<usize> = self.running().into_iter().filter(votes).collect();
        match leader {
            Some(leader) if self.rng.bool() => leader,
            _ => voters[self.rng.usize(..voters.len())],
        }
    }

    /// Whether every member of the leader's membership runs, has that membership on its disk and knows that it is
    /// committed.
    fn all_members_ready(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let consensus = self.nodes[leader].consensus.as_ref().expect("leads");
        let knows = |n: &usize| {
            let n = &self.nodes[*n];
            n.saved.hard.voter && n.saved.membership() == consensus.membership()
        };
        let is_member = |n: &usize| consensus.membership().contains(super::member(*n), self.nodes[*n].disk);
        let members: Vec<usize> = self.running().into_iter().filter(is_member).collect();
        members.len() == consensus.membership().members.len() && members.iter().all(knows)
    }

    /// One machine crashes for good or is told to stop, and a new one replaces it. Returns the new one and its start
    /// time.
    fn replace(&mut self, leaving: usize, planned: bool) -> (usize, Micros) {
        if planned {
            let (start, early) = (self.now + MS, self.rng.u64(200..1500) * MS);
            let new_machine = self.add_machine(start);
            self.run(start + early);
            self.request_stop(leaving);
            (new_machine, start)
        } else {
            self.crash(leaving);
            let start = self.now + 1000 * MS;
            let new_machine = self.add_machine(start);
            self.run(start);
            (new_machine, start)
        }
    }

    /// Injects one failure that has to be tolerated and that ends by itself.
    fn inject_one_failure(&mut self) -> &'static str {
        let node = self.pick_voter();
        match self.rng.u8(..7) {
            0 | 1 => {
                self.restart(node, 300 * MS, 3000 * MS);
                "kill"
            }
            2 => {
                self.restart(node, 5 * MS, 500 * MS);
                let disk = self.rng.u64(2000..);
                let n = &mut self.nodes[node];
                (n.saved, n.disk) = (PersistentState::empty(), disk);
                "wipe"
            }
            3 => {
                for n in self.running() {
                    self.restart(n, 5 * MS, 60 * MS);
                }
                "power"
            }
            4 => {
                self.isolate(node);
                "cut"
            }
            5 => {
                self.nodes[node].disk_hung = true;
                let at = self.now + 2500 * MS;
                self.schedule(at, Event::ResumeDisk { node });
                "disk"
            }
            _ => {
                self.request_stop(node);
                let incarnation = self.nodes[node].incarnation + 1;
                self.schedule(self.now + STOP_LIMIT + 300 * MS, Event::Start { node, incarnation });
                "restart"
            }
        }
    }

    /// Checks that all running members have the same state and that it contains all that was acknowledged.
    fn check_agreement(&mut self) -> Result<(), String> {
        self.queue.retain(|std::cmp::Reverse((.., event))| *event != Event::Client);
        self.run(self.now + 3000 * MS);
        if let Some(wrong) = &self.violation {
            return Err(wrong.clone());
        }
        let running = self.running();
        let state = &self.nodes[running[0]].state;
        if let Some(other) = running.iter().find(|n| self.nodes[**n].state != *state) {
            return Err(format!("node {other} has another state"));
        }
        let present: std::collections::BTreeSet<u64> = state.iter().copied().collect();
        match self.checker.acked.iter().find(|ticket| !present.contains(ticket)) {
            Some(lost) => Err(format!("ticket {lost} was acknowledged and is lost")),
            None => Ok(()),
        }
    }
}

/// The longest time without an acknowledgement after a failure, or what went wrong.
fn replacement_chain(seed: u64, rounds: usize, fault: Option<Fault>) -> Result<Micros, String> {
    let members = if seed.is_multiple_of(4) { 5 } else { 3 };
    let mut sim = Sim::group(seed, members, fault);
    let mut longest = 0;
    for round in 0..rounds {
        let (leaving, planned) = (sim.pick_voter(), sim.rng.bool());
        let (_, mut start) = sim.replace(leaving, planned);
        if sim.rng.u8(..4) == 0 {
            // A second new machine at once; one of them has to wait.
            start = sim.now + 1;
            sim.add_machine(start);
        }
        sim.run(start + CATCH_UP_LIMIT);
        let loss = sim.inject_one_failure();
        let time = sim.until_acked();
        let what = |sim: &Sim| {
            let status = |n: &Node| {
                n.consensus.as_ref().map(|r| (r.role(), r.is_voter(), r.last_index(), r.commit_index()))
            };
            let nodes: Vec<_> = sim.nodes.iter().map(status).collect();
            format!(
                "round {round}, {leaving} replaced, planned {planned}, then {loss}, at {}: {nodes:?}",
                sim.now
            )
        };
        if let Some(wrong) = &sim.violation {
            return Err(format!("{wrong}; {}", what(&sim)));
        }
        match time {
            Some(time) if time <= RECOVERY_LIMIT => longest = longest.max(time),
            Some(time) => return Err(format!("only after {time}: {}", what(&sim))),
            None => return Err(format!("nothing is acknowledged: {}", what(&sim))),
        }
        sim.cut_links.clear();
        sim.run(sim.now + 3000 * MS + CATCH_UP_LIMIT);
        let spares = sim.running().into_iter().filter(|n| {
            sim.nodes[*n].consensus.as_ref().is_some_and(|r| r.role() == Role::Failed || !r.is_voter())
        });
        // Spares are stopped, so that the group stays small.
        for node in spares.collect::<Vec<_>>() {
            sim.crash(node);
        }
        if !sim.all_members_ready() {
            return Err(format!("not all members are ready after the failure ended: {}", what(&sim)));
        }
    }
    sim.check_agreement().map(|()| longest)
}

fn min_median_max(mut times: Vec<Micros>) -> String {
    times.sort_unstable();
    let ms = |at: usize| times[at] / MS;
    format!("{},{},{}", ms(0), ms(times.len() / 2), ms(times.len() - 1))
}

fn run_all<T: Send>(count: u64, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let next = AtomicU64::new(0);
    let work = || {
        let mut done = Vec::new();
        loop {
            let seed = next.fetch_add(1, Relaxed);
            if seed >= count {
                return done;
            }
            done.push((seed, run(seed)));
        }
    };
    let mut outcomes: Vec<(u64, T)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(work)).collect();
        threads.into_iter().flat_map(|t| t.join().expect("no panic")).collect()
    });
    outcomes.sort_by_key(|(seed, _)| *seed);
    outcomes.into_iter().map(|(_, t)| t).collect()
}

/// Replacements per chain: few by default, more if the number of chains is given.
fn rounds() -> usize {
    if std::env::var("RATCHET_CHAINS").is_ok() { 6 } else { 3 }
}

fn count(default: u64) -> u64 {
    std::env::var("RATCHET_CHAINS").ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

#[test]
fn after_each_of_a_chain_of_replacements_one_more_loss_is_tolerated() {
    let outcomes = run_all(count(200), |seed| {
        replacement_chain(seed, rounds(), None).map_err(|e| format!("seed {seed}: {e}"))
    });
    let wrong: Vec<&String> = outcomes.iter().filter_map(|r| r.as_ref().err()).collect();
    assert!(wrong.is_empty(), "{} chains: {:#?}", wrong.len(), &wrong[..wrong.len().min(5)]);
    println!("least, median, most ms: {}", min_median_max(outcomes.into_iter().flatten().collect()));
}

#[test]
fn a_group_that_never_replaces_a_member_fails_the_chain() {
    let outcomes = run_all(8, |seed| replacement_chain(seed, 6, Some(Fault::NeverReplaced)));
    assert!(outcomes.iter().all(|r| r.is_err()), "{outcomes:?}");
}

#[test]
fn a_group_whose_founders_were_all_replaced_ten_times_over_starts_again() {
    for members in [3, 5] {
        let outcomes = run_all(2, |seed| {
            let mut sim = Sim::group(seed, members, None);
            for turn in 0..10 * members {
                let leaving = sim.running()[0];
                let (new_machine, start) = sim.replace(leaving, turn % 2 == 0);
                sim.run(start + CATCH_UP_LIMIT);
                let votes = |n: usize| sim.nodes[n].consensus.as_ref().is_some_and(Replica::is_voter);
                if !votes(new_machine) || !sim.all_members_ready() || sim.running().len() != members {
                    return Err(format!("turn {turn}: {new_machine} is not a member for {leaving}"));
                }
            }
            for node in sim.running() {
                sim.restart(node, 5 * MS, 100 * MS);
            }
            let time = sim.until_acked();
            sim.check_agreement()?;
            time.filter(|t| *t <= RECOVERY_LIMIT).ok_or("nothing is acknowledged".to_string())
        });
        println!("{members}: {outcomes:?}");
        assert!(outcomes.iter().all(Result::is_ok), "{members}: {outcomes:?}");
    }
}

/// The time from the start of a new machine until the group tolerates the loss of any one member, and a check that it
/// does.
fn time_until_loss_tolerated(
    seed: u64,
    planned: bool,
    changes: u64,
    mbit: Option<f64>,
) -> Result<Micros, String> {
    let mut sim = Sim::group(seed, 3, None);
    if changes > 0 {
        // The given number of further changes, each of two kilobytes.
        for node in 0..3 {
            sim.crash(node);
            sim.nodes[node].saved = sim.founding();
            (sim.nodes[node].applied, sim.nodes[node].state) = (0, Vec::new());
        }
        (sim.checker, sim.padding) = (super::Checker::default(), 2000);
        (sim.timing.log_tail_entries, sim.timing.snapshot_chunk_bytes) = (256, 64 << 10);
        for node in 0..3 {
            let incarnation = sim.nodes[node].incarnation;
            sim.schedule(sim.now + 1, Event::Start { node, incarnation });
        }
        let acked = |sim: &Sim| sim.checker.acked.len() as u64;
        while acked(&sim) < changes {
            sim.run(sim.now + 100 * MS);
        }
    }
    sim.us_per_byte = mbit.map(|mbit| 8.0 / mbit);
    sim.run(sim.now + 2000 * MS);
    let leaving = sim.pick_voter();
    let (_, start) = sim.replace(leaving, planned);
    if planned {
        // Only the new machine's time is measured, so the stop is requested at once.
        sim.run(start);
    }
    let end = start + 60_000 * MS;
    let removed = |sim: &Sim| {
        let leader = sim.leader().and_then(|l| sim.nodes[l].consensus.as_ref());
        leader.is_some_and(|r| !r.membership().members.contains_key(&super::member(leaving)))
    };
    while !(removed(&sim) && sim.all_members_ready()) && sim.now < end && sim.violation.is_none() {
        sim.run(sim.now + 5 * MS);
    }
    let time = sim.now - start;
    if sim.now >= end {
        return Err(format!("seed {seed}: the new member never became ready"));
    }
    let next = sim.pick_voter();
    sim.crash(next);
    let recovery_time = sim.until_acked();
    match &sim.violation {
        Some(wrong) => Err(format!("seed {seed}: {wrong}")),
        None if recovery_time.is_none_or(|t| t > RECOVERY_LIMIT) => {
            Err(format!("seed {seed}: {next} is not tolerated: {recovery_time:?}"))
        }
        None => Ok(time),
    }
}

#[test]
fn soon_after_a_new_machine_started_one_more_loss_is_tolerated() {
    println!("planned,changes,Mbit/s,least ms,median ms,most ms");
    for planned in [false, true] {
        for (changes, mbit) in [(0, None), (300, None), (300, Some(5.0))] {
            let outcomes = run_all(count(12), |seed| time_until_loss_tolerated(seed, planned, changes, mbit));
            let times: Result<Vec<Micros>, String> = outcomes.into_iter().collect();
            let times = times.unwrap_or_else(|e| panic!("{planned} {changes} {mbit:?}: {e}"));
            let longest = *times.iter().max().expect("some");
            println!("{planned},{changes},{mbit:?},{}", min_median_max(times));
            assert!(longest < CATCH_UP_LIMIT, "{planned} {changes} {mbit:?}: {longest}");
        }
    }
}
