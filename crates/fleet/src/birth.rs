//! How a group comes to be, and how a voter whose disk is empty finds its place. No I/O.
//!
//! A voter's number in the consensus is the number of its disk, drawn when the store was made. A store is *born* once:
//! into one group, whose founders are then written in it. A voter with an unborn store asks all voters that the
//! configuration names who they are:
//!
//! - all of them answer, freshly, that they are unborn: it founds the group of just these disks;
//! - one is born, and its founders count this very disk: the same group, the same start (it never voted);
//! - one is born, and this disk is not among its founders: the group is older than this disk. It joins as a new
//!   member, and the vote of the disk that was lost ends.
//!
//! Two founders may count different disks only if a disk was lost in the moments between; then no two majorities of
//! one installation can work, as the disks they share are born into one group alone.

use crate::Micros;
use crate::mirror::Saved;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An answer older than this says nothing of now.
const FRESH_US: Micros = 2_000_000;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Founder {
    pub name: String,
    pub disk: u64,
    pub addr: String,
}

/// A group's founding, as it is written in each voter's store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// 0: not born.
    pub number: u64,
    pub founders: Vec<Founder>,
}

impl Group {
    pub fn of(installation: &str, mut founders: Vec<Founder>) -> Group {
        founders.sort();
        let bytes = postcard::to_stdvec(&(installation, &founders)).expect("plain data");
        Group { number: u64::from(crc32fast::hash(&bytes)) | 1 << 32, founders }
    }

    pub fn born(&self) -> bool {
        self.number != 0
    }

    /// What a founder's disk holds at first.
    pub fn first(&self) -> Saved {
        let voters: Vec<_> = self.founders.iter().map(|f| (f.disk, f.name.clone(), f.addr.clone())).collect();
        crate::voter::first(&voters)
    }
}

/// What an unborn voter is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Birth {
    /// Ask on; who has not answered.
    Wait { missing: Vec<String> },
    /// Write this group and begin as one of its founders.
    Found(Group),
    /// Write this group and ask its leader to be taken in.
    Join(Group),
}

pub struct Unborn {
    installation: String,
    me: Founder,
    others: Vec<(String, String)>,
    heard: BTreeMap<String, (Micros, u64, Group)>,
}

impl Unborn {
    /// `voters`: all names and addresses that the configuration gives, this one's too.
    pub fn new(installation: &str, name: &str, disk: u64, voters: &[(String, String)]) -> Unborn {
        let addr = voters.iter().find(|(n, _)| n == name).map(|(_, a)| a.clone()).unwrap_or_default();
        let others = voters.iter().filter(|(n, _)| n != name).cloned().collect();
        let me = Founder { name: name.to_string(), disk, addr };
        Unborn { installation: installation.to_string(), me, others, heard: BTreeMap::new() }
    }

    /// A voter has said who it is.
    pub fn heard(&mut self, now: Micros, name: &str, disk: u64, group: Group) {
        if self.others.iter().any(|(n, _)| n == name) {
            self.heard.insert(name.to_string(), (now, disk, group));
        }
    }

    pub fn decide(&self, now: Micros) -> Birth {
        let fresh = |name: &String| self.heard.get(name).filter(|(at, ..)| now < at + FRESH_US);
        if let Some((_, _, group)) = self.others.iter().filter_map(|(n, _)| fresh(n)).find(|(.., g)| g.born())
        {
            let counted = group.founders.iter().any(|f| f.disk == self.me.disk);
            return if counted { Birth::Found(group.clone()) } else { Birth::Join(group.clone()) };
        }
        let missing: Vec<String> =
            self.others.iter().map(|(n, _)| n).filter(|n| fresh(n).is_none()).cloned().collect();
        if !missing.is_empty() {
            return Birth::Wait { missing };
        }
        let mut founders = vec![self.me.clone()];
        founders.extend(self.others.iter().filter_map(|(name, addr)| {
            let (_, disk, _) = fresh(name)?;
            Some(Founder { name: name.clone(), disk: *disk, addr: addr.clone() })
        }));
        Birth::Found(Group::of(&self.installation, founders))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn voters(n: usize) -> Vec<(String, String)> {
        (0..n).map(|i| (format!("v{i}"), format!("a{i}"))).collect()
    }

    fn unborn(i: u64, n: usize) -> Unborn {
        Unborn::new("here", &format!("v{i}"), 100 + i, &voters(n))
    }

    #[test]
    fn all_unborn_found_one_and_the_same_group() {
        let mut groups = Vec::new();
        for i in 0..3 {
            let mut u = unborn(i, 3);
            assert!(matches!(u.decide(0), Birth::Wait { missing } if missing.len() == 2));
            for o in (0..3).filter(|o| *o != i) {
                u.heard(10, &format!("v{o}"), 100 + o, Group::default());
            }
            let Birth::Found(group) = u.decide(20) else { panic!("all answered") };
            groups.push(group);
        }
        assert!(groups.iter().all(|g| *g == groups[0]) && groups[0].born());
        assert_eq!(groups[0].first().snap.voters, [100, 101, 102]);
    }

    #[test]
    fn a_majority_is_not_enough_to_found_and_old_answers_do_not_count() {
        let mut u = unborn(0, 3);
        u.heard(0, "v1", 101, Group::default());
        assert_eq!(u.decide(1), Birth::Wait { missing: vec!["v2".into()] });
        u.heard(FRESH_US, "v2", 102, Group::default());
        assert_eq!(u.decide(FRESH_US + 1), Birth::Wait { missing: vec!["v1".into()] });
        u.heard(FRESH_US, "stranger", 9, Group::default());
        assert!(matches!(u.decide(FRESH_US + 1), Birth::Wait { .. }), "only who is named counts");
    }

    #[test]
    fn an_empty_disk_does_not_come_back_as_its_old_self() {
        let founders: Vec<Founder> =
            (0..3).map(|i| Founder { name: format!("v{i}"), disk: 100 + i, addr: format!("a{i}") }).collect();
        let group = Group::of("here", founders);
        // Never born, counted by the founders: it never voted, so it may begin as one of them.
        let mut late = unborn(2, 3);
        late.heard(0, "v0", 100, group.clone());
        assert_eq!(late.decide(1), Birth::Found(group.clone()));
        // Its disk was lost: another number, so it asks to be taken in.
        let mut lost = Unborn::new("here", "v2", 777, &voters(3));
        lost.heard(0, "v1", 101, Group::default());
        lost.heard(0, "v0", 100, group.clone());
        assert_eq!(lost.decide(1), Birth::Join(group));
    }
}
