//! The fleet group as real gateway processes on loopback, with faults between them. Verdicts go by order and counts;
//! the times are bounds that only a hang reaches.

mod common;

use common::gateway;
use curlewfront_fleet::control::Control;
use curlewfront_fleet::state::{Applied, Command, Lease};
use curlewfront_fleet::voter::{Request, Response};
use curlewfront_fleetsim::history::{Done, linearizable};
use curlewfront_lab::documents::Clients;
use curlewfront_lab::rig::{Fault, Rig, Setup};
use std::sync::Arc;
use std::time::Duration;

const HANGS: Duration = Duration::from_secs(40);
const KEYS: usize = 2;

struct Played {
    rig: Arc<Rig>,
    dir: std::path::PathBuf,
}

impl Drop for Played {
    fn drop(&mut self) {
        (0..self.rig.members()).for_each(|n| self.rig.stop(n));
        if std::thread::panicking() {
            for n in 0..self.rig.members() {
                let log = self.rig.log(n);
                let lines: Vec<&str> = log.lines().filter(|l| !l.contains("watch of the list")).collect();
                let log = lines.join("\n");
                let from = log.len().saturating_sub(2500);
                eprintln!("--- g{n}\n{}", log.get(from..).unwrap_or(&log));
            }
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// A group that is up: all members registered, a leader known.
fn group(name: &str, voters: usize, watchers: usize) -> Played {
    let dir = std::env::temp_dir().join(format!("curlewfront-group-{name}-{}", std::process::id()));
    let setup = Setup {
        program: gateway(),
        dir: dir.clone(),
        voters,
        watchers,
        election_ms: 300,
        lease_ms: 2_000,
        compact_after: 64,
    };
    let played = Played { rig: Arc::new(Rig::new(setup).expect("a rig")), dir };
    played.rig.start_all().expect("all start");
    assert!(
        played.rig.until(HANGS, |r| r.leased() == r.members()),
        "{} of the members are up",
        played.rig.leased()
    );
    played
}

fn put(rig: &Rig, member: usize, key: &str, value: &str) -> Option<u64> {
    let mut control = Control::open(rig.control(member), Duration::from_secs(8)).ok()?;
    let command = Command::Put { key: key.into(), value: Some(value.into()), if_version: None };
    match control.command(command) {
        Ok(Response::Applied(Applied::Put { version })) => Some(version),
        _ => None,
    }
}

fn get(rig: &Rig, member: usize, key: &str) -> Option<(u64, Option<Vec<u8>>)> {
    let mut control = Control::open(rig.control(member), Duration::from_secs(8)).ok()?;
    match control.request(Request::Get { key: key.into() }) {
        Ok(Response::Document { version, value }) => Some((version, value)),
        _ => None,
    }
}

fn judge(history: &[Done]) {
    for key in 0..KEYS {
        let seen: Vec<&Done> = history.iter().filter(|d| d.key == key).collect();
        assert!(linearizable(history, key), "k{key}: {seen:#?}");
    }
}

/// Plays a fault under load; afterwards a write goes through, everyone has a lease, and the history is good.
fn play(played: &Played, fault: impl Fn(&Rig, usize) -> Fault, elected: bool) {
    let rig = &played.rig;
    assert!(rig.until(HANGS, |r| r.leader().is_some()), "a leader");
    let clients = Clients::start(rig, 3, KEYS, Duration::from_millis(60), 7);
    assert!(rig.until(HANGS, |_| clients.answered() >= 10), "calls are answered before the fault");
    let leader = rig.leader().expect("a leader");
    let fault = fault(rig, leader);
    rig.inject(&fault).expect("injected");
    if elected {
        let other = |r: &Rig| {
            (0..r.voters())
                .filter(|n| *n != leader)
                .any(|n| r.status(n).is_ok_and(|s| s.voter.is_some_and(|v| v.leads)))
        };
        assert!(rig.until(HANGS, other), "another leads while {fault:?} goes on");
        let before = clients.answered();
        assert!(rig.until(HANGS, |_| clients.answered() >= before + 5), "calls are answered under {fault:?}");
    } else {
        std::thread::sleep(Duration::from_millis(900));
    }
    rig.heal(&fault).expect("healed");
    let before = clients.answered();
    assert!(rig.until(HANGS, |_| clients.answered() >= before + 10), "calls are answered after {fault:?}");
    assert!(rig.until(HANGS, |r| r.leased() == r.members()), "{} leases after {fault:?}", rig.leased());
    judge(&clients.finish());
}

#[test]
fn five_processes_agree_and_a_watcher_reads_what_a_voter_wrote() {
    let played = group("agree", 3, 2);
    let rig = &played.rig;
    let tasks =
        std::fs::read_dir(format!("/proc/{}/task", rig.pid(0).expect("it runs"))).expect("its threads");
    let named =
        |t: std::fs::DirEntry| std::fs::read_to_string(t.path().join("comm")).is_ok_and(|n| n == "fleet\n");
    assert!(tasks.flatten().any(named), "on, it is a thread of its own");
    assert_eq!(put(rig, 0, "plan", "one"), Some(1));
    assert_eq!(put(rig, 4, "plan", "two"), Some(2), "through a watcher");
    assert_eq!(get(rig, 3, "plan"), Some((2, Some("two".into()))));
    // The watchers follow without being asked.
    let follows =
        |r: &Rig| (3..5).all(|n| r.status(n).is_ok_and(|s| s.state.get("plan") == (2, Some(&b"two"[..]))));
    assert!(rig.until(HANGS, follows), "the watchers have it");
    let mut control = Control::open(rig.control(1), HANGS).expect("reached");
    let command = Command::Put { key: "plan".into(), value: Some(b"three".to_vec()), if_version: Some(1) };
    assert_eq!(control.command(command), Ok(Response::Applied(Applied::Conflict { version: 2 })));
    // An orderly end gives the lease back.
    assert!(rig.terminate(4, HANGS));
    let released = |r: &Rig| r.status(0).is_ok_and(|s| s.state.members["g4"].lease == Lease::Released);
    assert!(rig.until(HANGS, released), "its lease is given back");
}

#[test]
fn a_killed_leader_is_followed_by_another() {
    play(&group("killed", 3, 2), |_, leader| Fault::Kill { member: leader }, true);
}

#[test]
fn a_paused_leader_serves_nothing_old_when_it_wakes() {
    play(&group("paused", 3, 2), |_, leader| Fault::Pause { member: leader }, true);
}

#[test]
fn a_link_cut_one_way_only_is_borne() {
    play(&group("oneway", 3, 2), |_, leader| Fault::LinkCut { from: leader, to: (leader + 1) % 3 }, false);
}

#[test]
fn a_leader_that_is_cut_off_gives_way_and_comes_back() {
    let others = |r: &Rig, leader| (0..r.members()).filter(|n| *n != leader).collect();
    play(&group("cutoff", 3, 2), |r, leader| Fault::Partition { side: others(r, leader) }, true);
}

#[test]
fn a_majority_that_is_lost_answers_nothing_and_goes_on_when_it_is_back() {
    let played = group("majority", 5, 0);
    let rig = &played.rig;
    assert!(put(rig, 0, "before", "x").is_some());
    let side = Fault::Partition { side: vec![0, 1] };
    let three = Fault::Partition { side: vec![2] };
    rig.inject(&side).expect("cut");
    rig.inject(&three).expect("cut");
    // Two, one and two: nobody has three of five.
    let mut control = Control::open(rig.control(3), Duration::from_secs(9)).expect("reached");
    let command = Command::Put { key: "during".into(), value: Some(b"x".to_vec()), if_version: None };
    let failed = control.command(command).expect_err("nobody agrees");
    assert_eq!(failed, curlewfront_fleet::control::Failed::NoLeader);
    rig.heal(&three).expect("healed");
    rig.heal(&side).expect("healed");
    assert!(rig.until(HANGS, |r| put(r, 1, "after", "x").is_some()), "a write goes through");
    assert_eq!(get(rig, 4, "before").map(|g| g.1), Some(Some("x".into())));
}

#[test]
fn a_power_loss_of_all_undoes_nothing_that_was_agreed() {
    let played = group("power", 3, 2);
    let rig = &played.rig;
    let mut agreed = Vec::new();
    for round in 0..3 {
        for n in 0..30 {
            let (key, value) = (format!("d{}", n % 7), format!("{round}-{n}"));
            if put(rig, n % 5, &key, &value).is_some() {
                agreed.retain(|(k, _)| *k != key);
                agreed.push((key, value));
            }
        }
        // In the midst of writes: whatever is not synced at this instant is gone.
        let writer = Clients::start(rig, 2, KEYS, Duration::from_millis(1), round);
        assert!(rig.until(HANGS, |_| writer.answered() >= 10), "writes go on");
        rig.inject(&Fault::PowerLoss).expect("killed");
        let history = writer.finish();
        rig.heal(&Fault::PowerLoss).expect("started");
        assert!(rig.until(HANGS, |r| r.leased() == r.members()), "{} are up again", rig.leased());
        for (key, value) in &agreed {
            let got = get(rig, 0, key).and_then(|g| g.1);
            assert_eq!(got.as_deref(), Some(value.as_bytes()), "{key} after round {round}");
        }
        // The versions go on where the answered writes left them.
        for key in 0..KEYS {
            let answered = history.iter().filter(|d| d.key == key && d.answered.is_some());
            let last = answered.filter_map(|d| match d.answered {
                Some((_, curlewfront_fleetsim::history::Ret::Put(v))) => Some(v),
                _ => None,
            });
            let version = get(rig, 1, &curlewfront_lab::documents::key(key)).map_or(0, |g| g.0);
            assert!(version >= last.max().unwrap_or(0), "k{key} fell back to version {version}");
        }
    }
}

#[test]
fn an_empty_disk_joins_as_a_new_member_and_not_as_its_old_self() {
    let played = group("empty", 3, 2);
    let rig = &played.rig;
    let old = rig.status(1).expect("up").disk;
    play(&played, |_, _| Fault::DiskEmpty { member: 1 }, false);
    let replaced = |r: &Rig| {
        r.status(0).is_ok_and(|s| {
            let voters: Vec<_> = s.state.voters.iter().filter(|(_, v)| v.votes).collect();
            voters.len() == 3 && voters.iter().all(|(id, _)| **id != old)
        })
    };
    assert!(rig.until(HANGS, replaced), "{:?}", rig.status(0).map(|s| s.state.voters));
    assert_ne!(rig.status(1).expect("up").disk, old);
    // The new disk counts: with another voter gone, the two that are left agree.
    rig.inject(&Fault::Kill { member: 2 }).expect("killed");
    assert!(rig.until(HANGS, |r| put(r, 0, "with-the-new-disk", "x").is_some()));
}

#[test]
fn a_second_process_of_a_name_is_refused_and_the_first_stays() {
    let played = group("twin", 3, 2);
    let rig = &played.rig;
    let first = rig.status(4).expect("up");
    let twin = rig.twin(4).expect("started");
    let refused = |_: &Rig| {
        let status = Control::open(twin.control, HANGS).and_then(|mut c| c.status());
        status.is_ok_and(|s| s.incarnation == 0 && s.trouble.contains("holds the name"))
    };
    assert!(rig.until(HANGS, refused), "the second is told so");
    // Renewals went on meanwhile, under the same incarnation.
    let renewed = rig.status(4).expect("up");
    assert_eq!(renewed.incarnation, first.incarnation);
    assert!(rig.until(HANGS, |r| r.status(4).is_ok_and(|s| s.counts.renewed > renewed.counts.renewed + 2)));
    assert_eq!(rig.status(4).expect("up").incarnation, first.incarnation);
}

#[test]
fn a_snapshot_comes_through_links_that_break_all_the_time() {
    let played = group("snapshot", 3, 0);
    let rig = &played.rig;
    assert!(rig.until(HANGS, |r| r.leader().is_some_and(|l| l != 2) || {
        let _ = r.inject(&Fault::Pause { member: 2 });
        std::thread::sleep(Duration::from_millis(900));
        let _ = r.heal(&Fault::Pause { member: 2 });
        false
    }));
    rig.inject(&Fault::Kill { member: 2 }).expect("killed");
    let large = "x".repeat(100_000);
    for n in 0..100 {
        assert!(rig.until(HANGS, |r| put(r, 0, &format!("big{}", n % 20), &large).is_some()));
    }
    // 2 MB through links that take 3 ms a step and break each time they have carried a window of four parts and half of
    // the next: however fast the machine is, no connection carries the snapshot whole, and each brings it on.
    let slow = Fault::LinkDelay { ms: 3 };
    let breaks = Fault::LinkResetAfter { to: 2, bytes: 6 * 64 * 1024 };
    rig.inject(&slow).expect("slow");
    rig.inject(&breaks).expect("breaking");
    rig.start(2).expect("started");
    let there = |r: &Rig| {
        r.status(2)
            .is_ok_and(|s| s.state.documents.contains_key("big19") && s.voter.is_some_and(|v| v.snapshot > 1))
    };
    assert!(rig.until(HANGS, there), "{:?}", rig.status(2).map(|s| s.voter));
    rig.heal(&breaks).expect("healed");
}
