//! The store's folder in an operator's hands: checked, listed, backed up, put back, founded anew.

use cluster::state::{Command, State};
use cluster::talk::ToStore;
use config_store::chest::{Chest, Input, Output};
use config_store::store;
use consensus::disk::{self, Store};
use consensus::{Disk, Entry, Hard, Payload, Saved, Write};
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

const SECOND: u64 = 1_000_000;

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 8, 0, last)
}

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("planchest-store-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn at(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn evacuate(zone: &str) -> Command {
    Command::Evacuate { zone: zone.into(), on: true }
}

/// A store of `who` with an evacuation in each entry of term 1; the first `commit` of them count.
fn filled(dir: &Path, who: u8, zones: &[&str], commit: u64) -> Saved {
    let founders = [ip(1), ip(2), ip(3)];
    let (store, mut saved) = Store::open(dir, ip(who), || (0, Saved::founding(founders))).expect("made");
    let data = |zone: &str| Payload::Data(postcard::to_stdvec(&evacuate(zone)).expect("plain"));
    let entries = zones.iter().enumerate();
    let write = Write {
        number: 1,
        hard: Hard { term: 1, vote: Some(ip(1)), commit, standing: true },
        from: Some(1),
        entries: entries.map(|(n, z)| Entry { term: 1, index: n as u64 + 1, payload: data(z) }).collect(),
        ..Write::default()
    };
    store.write(&write).expect("written");
    write.apply(&mut saved);
    saved
}

fn bytes(dir: &Path) -> Vec<u8> {
    std::fs::read(dir.join("ratchet.redb")).expect("there")
}

#[test]
fn looking_changes_nothing_and_names_what_is_wrong() {
    let folder = Folder::new("look");
    let dir = folder.at("a");
    filled(&dir, 1, &["north", "south"], 1);
    let before = bytes(&dir);
    let said = store::check(&dir).expect("sound");
    assert!(said.contains("10.8.0.1, disk 0, votes and counts") && said.contains("entries 1 to 2"), "{said}");
    assert!(said.contains("known to count up to 1") && said.contains("north, south"), "{said}");
    let said = store::dump(&dir).expect("readable");
    assert!(said.contains("evacuate south (not known to count)"), "{said}");
    assert_eq!(bytes(&dir), before);
    let open = Store::open(&dir, ip(1), || panic!("it is there")).expect("opened");
    assert!(store::check(&dir).expect_err("in use").contains("in use by another process"));
    drop(open);

    // A byte that has changed; a store of a later program; a log that no member writes.
    let broken = folder.at("broken");
    filled(&broken, 1, &["north", "a-zone-with-a-name-to-be-found"], 2);
    let mut changed = bytes(&broken);
    let name = b"a-zone-with-a-name-to-be-found";
    let at: Vec<usize> =
        changed.windows(name.len()).enumerate().filter(|(_, w)| w == name).map(|p| p.0).collect();
    assert!(!at.is_empty());
    at.iter().for_each(|at| changed[at + 3] ^= 1);
    std::fs::write(broken.join("ratchet.redb"), changed).expect("changed");
    assert!(store::check(&broken).expect_err("refused").contains("ratchet.redb"));
    let odd = folder.at("odd");
    filled(&odd, 1, &["north"], 7);
    assert!(store::check(&odd).expect_err("refused").contains("entry 7 is said to count"));
    let cut = folder.at("cut");
    std::fs::create_dir_all(&cut).expect("a folder");
    std::fs::write(cut.join("ratchet.redb"), &before[..before.len() / 3]).expect("cut");
    assert!(store::check(&cut).is_err());
    assert!(store::check(&folder.at("nothing")).is_err());
    assert!(!folder.at("nothing").exists(), "looking makes no folder");
}

#[test]
fn a_backup_comes_back_whole_as_a_stranger_and_over_nothing_unasked() {
    let folder = Folder::new("back");
    let (dir, file) = (folder.at("a"), folder.at("a.backup"));
    let saved = filled(&dir, 1, &["north", "south"], 2);
    store::backup(&dir, &file).expect("written");
    let first = std::fs::read(&file).expect("there");
    assert!(store::backup(&dir, &file).is_err(), "a backup is not written over");
    assert_eq!(std::fs::read(&file).expect("there"), first);

    let to = folder.at("b");
    let said = store::restore(&file, &to, None, 77, false).expect("restored");
    assert!(said.contains("disk 77 of 10.8.0.1") && said.contains("stranger"), "{said}");
    let look = disk::look(&to).expect("there");
    assert_eq!((look.disk, look.member), (77, ip(1)));
    assert_eq!(look.saved, saved.stranger());
    assert!(!look.saved.hard.standing && look.saved.hard.vote.is_none());
    let before = bytes(&to);
    let error = store::restore(&file, &to, None, 78, false).expect_err("not empty");
    assert!(error.contains("is not empty") && bytes(&to) == before, "{error}");
    let said = store::restore(&file, &to, Some(ip(2)), 78, true).expect("asked for");
    assert!(said.contains("set aside: disk 77"), "{said}");
    assert_eq!(disk::look(&to).expect("there").member, ip(2));
    assert_eq!(std::fs::read(to.join("ratchet.redb.aside-1")).expect("kept"), before);

    // Of a later program, changed by a byte, cut short.
    let mut later = first.clone();
    later[8] += 1;
    let mut changed = first.clone();
    *changed.last_mut().expect("some") ^= 1;
    for (bytes, why) in [
        (later, "has form 2"),
        (changed, "check sum"),
        (first[..9].to_vec(), "cut short"),
        (vec![1], "no backup"),
    ] {
        std::fs::write(&file, bytes).expect("written");
        let error = store::restore(&file, &folder.at("c"), None, 79, false).expect_err("refused");
        assert!(error.contains(why), "{error}");
        assert!(!folder.at("c").exists());
    }
}

/// Machines with stores on disks of the test's own, whose messages all arrive.
struct Site {
    now: u64,
    machines: BTreeMap<Ipv4Addr, (Chest, Saved)>,
    on_the_way: VecDeque<(Ipv4Addr, Ipv4Addr, config_store::chest::Peer)>,
    acked: usize,
}

impl Site {
    fn start(&mut self, who: Ipv4Addr, disk: Disk, saved: Saved) {
        let seeds = vec![ip(1), ip(2), ip(3)];
        let chest = Chest::new(who, disk, saved.clone(), seeds, disk + u64::from(who.octets()[3]), self.now)
            .expect("readable");
        self.machines.insert(who, (chest, saved));
    }

    fn tell(&mut self, who: Ipv4Addr, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let Some((chest, saved)) = self.machines.get_mut(&who) else { return };
            let mut out = Vec::new();
            chest.handle(self.now, input, &mut out);
            for output in out {
                match output {
                    Output::Write(write) => {
                        write.apply(saved);
                        inputs.push_back(Input::Written(write.number));
                    }
                    Output::Peer(to, peer) => self.on_the_way.push_back((who, to, peer)),
                    Output::Local(_, cluster::talk::FromStore::Proposed { result: Ok(_), .. }) => {
                        self.acked += 1
                    }
                    Output::Local(..) => {}
                }
            }
        }
    }

    fn pass(&mut self, us: u64) {
        let end = self.now + us;
        while self.now < end {
            while let Some((from, to, peer)) = self.on_the_way.pop_front() {
                self.tell(to, Input::Peer(from, peer));
            }
            self.now += 10_000;
            for who in self.machines.keys().copied().collect::<Vec<_>>() {
                if self.machines[&who].0.wake_at() <= self.now {
                    self.tell(who, Input::Tick);
                }
            }
        }
    }

    fn state(&self, who: u8) -> &State {
        &self.machines[&ip(who)].0.copy.state
    }
}

#[test]
fn a_core_founded_anew_keeps_what_its_disk_had_and_lets_the_others_in() {
    let folder = Folder::new("anew");
    let dir = folder.at("a");
    filled(&dir, 1, &["north", "south"], 1);
    let before = bytes(&dir);
    let said = store::refound(&dir, 500, false).expect("shown");
    assert!(said.contains("May be lost") && said.contains("10.8.0.2, 10.8.0.3"), "{said}");
    assert!(said.contains("1 more are on this disk") && said.contains("Nothing was done"), "{said}");
    assert_eq!(bytes(&dir), before, "only shown");
    store::refound(&dir, 500, true).expect("done");
    assert_eq!(bytes_of(&dir, "ratchet.redb.aside-1"), before, "the old one is kept");
    let look = disk::look(&dir).expect("there");
    assert_eq!((look.disk, look.saved.roster().members.len()), (500, 1));

    let mut site = Site { now: SECOND, machines: BTreeMap::new(), on_the_way: VecDeque::new(), acked: 0 };
    site.start(ip(1), look.disk, look.saved);
    site.pass(3 * SECOND);
    assert!(site.machines[&ip(1)].0.leads(), "alone it is the majority");
    for (who, disk) in [(2, 600), (3, 700)] {
        site.start(ip(who), disk, Saved::blank());
        site.pass(5 * SECOND);
        assert!(site.machines[&ip(who)].0.fresh(), "{who} is let in");
    }
    // One of the old core that did come back: more of the old log than was kept, and it cannot mix in.
    let old = folder.at("old");
    let more = filled(&old, 2, &["north", "south", "east", "west"], 4);
    site.start(ip(2), 0, more);
    site.pass(5 * SECOND);
    let command = evacuate("new");
    for _ in 0..2 {
        for who in [1, 2, 3] {
            let ask = ToStore::Propose { ticket: 1, command: command.clone() };
            site.tell(ip(who), Input::Local(1, ask));
        }
        site.pass(SECOND);
    }
    assert!(site.acked > 0, "two of three go on");
    for who in [1, 3] {
        let zones: Vec<&str> = site.state(who).evacuated.iter().map(String::as_str).collect();
        assert_eq!(zones, ["new", "north", "south"], "at {who}");
    }
}

fn bytes_of(dir: &Path, name: &str) -> Vec<u8> {
    std::fs::read(dir.join(name)).expect("there")
}

/// An old copy beside two that went on: it lacks what was acknowledged since, and nothing of it is lost.
#[test]
fn an_old_copy_is_let_in_as_a_stranger_and_takes_what_it_lacks() {
    let folder = Folder::new("old");
    let mut site = Site { now: SECOND, machines: BTreeMap::new(), on_the_way: VecDeque::new(), acked: 0 };
    for who in [1, 2, 3] {
        site.start(ip(who), 0, Saved::founding([ip(1), ip(2), ip(3)]));
    }
    site.pass(3 * SECOND);
    let dir = folder.at("a");
    let copy = site.machines[&ip(3)].1.clone();
    Store::open(&dir, ip(3), || (0, copy)).expect("made");
    store::backup(&dir, &folder.at("backup")).expect("written");
    for zone in ["a", "b", "c"] {
        let ask = ToStore::Propose { ticket: 1, command: evacuate(zone) };
        site.tell(ip(1), Input::Local(1, ask));
        site.pass(SECOND);
    }
    assert_eq!(site.acked, 3);
    store::restore(&folder.at("backup"), &folder.at("b"), None, 900, false).expect("restored");
    let look = disk::look(&folder.at("b")).expect("there");
    site.start(ip(3), look.disk, look.saved);
    assert!(!site.machines[&ip(3)].0.fresh());
    site.pass(5 * SECOND);
    assert!(site.machines[&ip(3)].0.fresh(), "let in");
    assert_eq!(site.state(3).evacuated.len(), 3);
}
