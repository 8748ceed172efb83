//! The operator's commands on the directory of a store: check, dump, backup, restore and refound.

use cluster::state::{Command, State};
use cluster::talk::ToStore;
use config_store::replica::{Input, Output, Replica};
use config_store::store;
use consensus::disk::{self, Store};
use consensus::{Disk, Entry, HardState, Payload, PersistentState, Write};
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

const SECOND: u64 = 1_000_000;

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 8, 0, last)
}

struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> TempDir {
        let path = std::env::temp_dir().join(format!("planchest-store-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a directory");
        TempDir(path)
    }

    fn at(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn evacuate(zone: &str) -> Command {
    Command::Evacuate { zone: zone.into(), on: true }
}

/// Writes a store of `who` with one entry of term 1 for each evacuated zone, the first `commit` of them committed.
fn write_store(dir: &Path, who: u8, zones: &[&str], commit: u64) -> PersistentState {
    let founders = [ip(1), ip(2), ip(3)];
    let (store, mut saved) =
        Store::open(dir, ip(who), || (0, PersistentState::founding(founders))).expect("created");
    let data = |zone: &str| Payload::Data(postcard::to_stdvec(&evacuate(zone)).expect("serializable"));
    let entries = zones.iter().enumerate();
    let write = Write {
        number: 1,
        hard: HardState { term: 1, vote: Some(ip(1)), commit, voter: true },
        truncate_from: Some(1),
        entries: entries.map(|(n, z)| Entry { term: 1, index: n as u64 + 1, payload: data(z) }).collect(),
        ..Write::default()
    };
    store.write(&write).expect("written");
    write.apply(&mut saved);
    saved
}

fn store_bytes(dir: &Path) -> Vec<u8> {
    std::fs::read(dir.join("ratchet.redb")).expect("exists")
}

#[test]
fn check_and_dump_change_nothing_and_report_what_is_wrong() {
    let temp = TempDir::new("look");
    let dir = temp.at("a");
    write_store(&dir, 1, &["north", "south"], 1);
    let before = store_bytes(&dir);
    let text = store::check(&dir).expect("sound");
    assert!(text.contains("10.8.0.1, disk 0, voting member") && text.contains("entries 1 to 2"), "{text}");
    assert!(text.contains("known to be committed up to 1") && text.contains("north, south"), "{text}");
    let text = store::dump(&dir).expect("readable");
    assert!(text.contains("evacuate south (not known to be committed)"), "{text}");
    assert_eq!(store_bytes(&dir), before);
    let open = Store::open(&dir, ip(1), || panic!("the store exists")).expect("opened");
    assert!(store::check(&dir).expect_err("in use").contains("in use by another process"));
    drop(open);

    // A changed byte; a commit index beyond the end of the log; a file that is cut short; no store at all.
    let broken = temp.at("broken");
    write_store(&broken, 1, &["north", "a-zone-with-a-name-to-be-found"], 2);
    let mut changed = store_bytes(&broken);
    let name = b"a-zone-with-a-name-to-be-found";
    let at: Vec<usize> =
        changed.windows(name.len()).enumerate().filter(|(_, w)| w == name).map(|p| p.0).collect();
    assert!(!at.is_empty());
    at.iter().for_each(|at| changed[at + 3] ^= 1);
    std::fs::write(broken.join("ratchet.redb"), changed).expect("changed");
    assert!(store::check(&broken).expect_err("refused").contains("ratchet.redb"));
    let inconsistent = temp.at("odd");
    write_store(&inconsistent, 1, &["north"], 7);
    assert!(store::check(&inconsistent).expect_err("refused").contains("entry 7 is marked as committed"));
    let truncated = temp.at("cut");
    std::fs::create_dir_all(&truncated).expect("a directory");
    std::fs::write(truncated.join("ratchet.redb"), &before[..before.len() / 3]).expect("written");
    assert!(store::check(&truncated).is_err());
    assert!(store::check(&temp.at("nothing")).is_err());
    assert!(!temp.at("nothing").exists(), "check creates no directory");
}

#[test]
fn a_restored_backup_is_complete_has_no_vote_and_overwrites_nothing_unasked() {
    let temp = TempDir::new("back");
    let (dir, file) = (temp.at("a"), temp.at("a.backup"));
    let saved = write_store(&dir, 1, &["north", "south"], 2);
    store::backup(&dir, &file).expect("written");
    let first = std::fs::read(&file).expect("exists");
    assert!(store::backup(&dir, &file).is_err(), "an existing backup is not overwritten");
    assert_eq!(std::fs::read(&file).expect("exists"), first);

    let to = temp.at("b");
    let text = store::restore(&file, &to, None, 77, false).expect("restored");
    assert!(text.contains("disk 77 of 10.8.0.1") && text.contains("starts without a vote"), "{text}");
    let look = disk::inspect(&to).expect("exists");
    assert_eq!((look.disk, look.member), (77, ip(1)));
    assert_eq!(look.saved, saved.into_non_voter());
    assert!(!look.saved.hard.voter && look.saved.hard.vote.is_none());
    let before = store_bytes(&to);
    let error = store::restore(&file, &to, None, 78, false).expect_err("not empty");
    assert!(error.contains("is not empty") && store_bytes(&to) == before, "{error}");
    let text = store::restore(&file, &to, Some(ip(2)), 78, true).expect("--over was given");
    assert!(text.contains("set aside: disk 77"), "{text}");
    assert_eq!(disk::inspect(&to).expect("exists").member, ip(2));
    assert_eq!(std::fs::read(to.join("ratchet.redb.aside-1")).expect("kept"), before);

    // A backup of a later version, one with a changed byte, a truncated one, and a file that is none.
    let mut later = first.clone();
    later[8] += 1;
    let mut changed = first.clone();
    *changed.last_mut().expect("some") ^= 1;
    for (bytes, why) in [
        (later, "has form 2"),
        (changed, "check sum"),
        (first[..9].to_vec(), "truncated"),
        (vec![1], "not a backup"),
    ] {
        std::fs::write(&file, bytes).expect("written");
        let error = store::restore(&file, &temp.at("c"), None, 79, false).expect_err("refused");
        assert!(error.contains(why), "{error}");
        assert!(!temp.at("c").exists());
    }
}

/// Replicas in a simulated cluster that keeps their disks and delivers all messages.
struct Cluster {
    now: u64,
    machines: BTreeMap<Ipv4Addr, (Replica, PersistentState)>,
    in_flight: VecDeque<(Ipv4Addr, Ipv4Addr, config_store::replica::Peer)>,
    acknowledged: usize,
}

impl Cluster {
    fn start(&mut self, who: Ipv4Addr, disk: Disk, saved: PersistentState) {
        let seeds = vec![ip(1), ip(2), ip(3)];
        let replica =
            Replica::new(who, disk, saved.clone(), seeds, disk + u64::from(who.octets()[3]), self.now)
                .expect("readable");
        self.machines.insert(who, (replica, saved));
    }

    fn handle(&mut self, who: Ipv4Addr, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let Some((replica, saved)) = self.machines.get_mut(&who) else { return };
            let mut out = Vec::new();
            replica.handle(self.now, input, &mut out);
            for output in out {
                match output {
                    Output::Write(write) => {
                        write.apply(saved);
                        inputs.push_back(Input::Written(write.number));
                    }
                    Output::Peer(to, peer) => self.in_flight.push_back((who, to, peer)),
                    Output::Local(_, cluster::talk::FromStore::Proposed { result: Ok(_), .. }) => {
                        self.acknowledged += 1
                    }
                    Output::Local(..) => {}
                }
            }
        }
    }

    fn advance(&mut self, us: u64) {
        let end = self.now + us;
        while self.now < end {
            while let Some((from, to, peer)) = self.in_flight.pop_front() {
                self.handle(to, Input::Peer(from, peer));
            }
            self.now += 10_000;
            for who in self.machines.keys().copied().collect::<Vec<_>>() {
                if self.machines[&who].0.wake_at() <= self.now {
                    self.handle(who, Input::Tick);
                }
            }
        }
    }

    fn state(&self, who: u8) -> &State {
        &self.machines[&ip(who)].0.copy.state
    }
}

#[test]
fn a_core_founded_anew_keeps_the_state_of_its_disk_and_admits_the_others() {
    let temp = TempDir::new("anew");
    let dir = temp.at("a");
    write_store(&dir, 1, &["north", "south"], 1);
    let before = store_bytes(&dir);
    let text = store::refound(&dir, 500, false).expect("shown");
    assert!(text.contains("May be lost") && text.contains("10.8.0.2, 10.8.0.3"), "{text}");
    assert!(text.contains("1 more are on this disk") && text.contains("Nothing was done"), "{text}");
    assert_eq!(store_bytes(&dir), before, "without --yes nothing is changed");
    store::refound(&dir, 500, true).expect("done");
    assert_eq!(file_bytes(&dir, "ratchet.redb.aside-1"), before, "the old store is kept");
    let look = disk::inspect(&dir).expect("exists");
    assert_eq!((look.disk, look.saved.membership().members.len()), (500, 1));

    let mut cluster =
        Cluster { now: SECOND, machines: BTreeMap::new(), in_flight: VecDeque::new(), acknowledged: 0 };
    cluster.start(ip(1), look.disk, look.saved);
    cluster.advance(3 * SECOND);
    assert!(cluster.machines[&ip(1)].0.leads(), "alone it is the majority");
    for (who, disk) in [(2, 600), (3, 700)] {
        cluster.start(ip(who), disk, PersistentState::empty());
        cluster.advance(5 * SECOND);
        assert!(cluster.machines[&ip(who)].0.fresh(), "{who} is admitted");
    }
    // A member of the old core comes back with more of the old log than was kept: its entries must not enter the new log.
    let old = temp.at("old");
    let more = write_store(&old, 2, &["north", "south", "east", "west"], 4);
    cluster.start(ip(2), 0, more);
    cluster.advance(5 * SECOND);
    let command = evacuate("new");
    for _ in 0..2 {
        for who in [1, 2, 3] {
            let proposal = ToStore::Propose { ticket: 1, command: command.clone() };
            cluster.handle(ip(who), Input::Local(1, proposal));
        }
        cluster.advance(SECOND);
    }
    assert!(cluster.acknowledged > 0, "two of three make progress");
    for who in [1, 3] {
        let zones: Vec<&str> = cluster.state(who).evacuated.iter().map(String::as_str).collect();
        assert_eq!(zones, ["new", "north", "south"], "at {who}");
    }
}

fn file_bytes(dir: &Path, name: &str) -> Vec<u8> {
    std::fs::read(dir.join(name)).expect("exists")
}

/// A backup is restored beside two members that went on: it lacks what was acknowledged since, and nothing of that is lost.
#[test]
fn an_old_copy_is_admitted_without_a_vote_and_gets_what_it_lacks() {
    let temp = TempDir::new("old");
    let mut cluster =
        Cluster { now: SECOND, machines: BTreeMap::new(), in_flight: VecDeque::new(), acknowledged: 0 };
    for who in [1, 2, 3] {
        cluster.start(ip(who), 0, PersistentState::founding([ip(1), ip(2), ip(3)]));
    }
    cluster.advance(3 * SECOND);
    let dir = temp.at("a");
    let copy = cluster.machines[&ip(3)].1.clone();
    Store::open(&dir, ip(3), || (0, copy)).expect("created");
    store::backup(&dir, &temp.at("backup")).expect("written");
    for zone in ["a", "b", "c"] {
        let proposal = ToStore::Propose { ticket: 1, command: evacuate(zone) };
        cluster.handle(ip(1), Input::Local(1, proposal));
        cluster.advance(SECOND);
    }
    assert_eq!(cluster.acknowledged, 3);
    store::restore(&temp.at("backup"), &temp.at("b"), None, 900, false).expect("restored");
    let look = disk::inspect(&temp.at("b")).expect("exists");
    cluster.start(ip(3), look.disk, look.saved);
    assert!(!cluster.machines[&ip(3)].0.fresh());
    cluster.advance(5 * SECOND);
    assert!(cluster.machines[&ip(3)].0.fresh(), "admitted");
    assert_eq!(cluster.state(3).evacuated.len(), 3);
}
