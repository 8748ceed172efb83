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
        // Not the addresses: all founders must come to one number, however each of them is reached.
        let disks: Vec<_> = founders.iter().map(|f| (&f.name, f.disk)).collect();
        let bytes = postcard::to_stdvec(&(installation, disks)).expect("plain data");
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
    others: Vec<String>,
    /// When each was heard of, with the disk and the address that it told itself: the same for all who ask.
    heard: BTreeMap<String, (Micros, Founder, Group)>,
}

impl Unborn {
    /// `me`: name, disk and address of this voter; `voters`: all names that the configuration gives, this one's too.
    pub fn new(installation: &str, me: Founder, voters: &[String]) -> Unborn {
        let others = voters.iter().filter(|n| **n != me.name).cloned().collect();
        Unborn { installation: installation.to_string(), me, others, heard: BTreeMap::new() }
    }

    /// A voter has said who it is.
    pub fn heard(&mut self, now: Micros, who: Founder, group: Group) {
        if self.others.contains(&who.name) {
            self.heard.insert(who.name.clone(), (now, who, group));
        }
    }

    pub fn decide(&self, now: Micros) -> Birth {
        let fresh = |name: &String| self.heard.get(name).filter(|(at, ..)| now < at + FRESH_US);
        if let Some((_, _, group)) = self.others.iter().filter_map(fresh).find(|(.., g)| g.born()) {
            let counted = group.founders.iter().any(|f| f.disk == self.me.disk);
            return if counted { Birth::Found(group.clone()) } else { Birth::Join(group.clone()) };
        }
        let missing: Vec<String> = self.others.iter().filter(|n| fresh(n).is_none()).cloned().collect();
        if !missing.is_empty() {
            return Birth::Wait { missing };
        }
        let mut founders = vec![self.me.clone()];
        founders.extend(self.others.iter().filter_map(|name| Some(fresh(name)?.1.clone())));
        Birth::Found(Group::of(&self.installation, founders))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn voters(n: usize) -> Vec<String> {
        (0..n).map(|i| format!("v{i}")).collect()
    }

    fn founder(i: u64) -> Founder {
        Founder { name: format!("v{i}"), disk: 100 + i, addr: format!("a{i}") }
    }

    fn unborn(i: u64, n: usize) -> Unborn {
        Unborn::new("here", founder(i), &voters(n))
    }

    #[test]
    fn all_unborn_found_one_and_the_same_group() {
        let mut groups = Vec::new();
        for i in 0..3 {
            let mut u = unborn(i, 3);
            assert!(matches!(u.decide(0), Birth::Wait { missing } if missing.len() == 2));
            for o in (0..3).filter(|o| *o != i) {
                u.heard(10, founder(o), Group::default());
            }
            let Birth::Found(group) = u.decide(20) else { panic!("all answered") };
            groups.push(group);
        }
        assert!(groups.iter().all(|g| *g == groups[0]) && groups[0].born());
        assert_eq!(groups[0].first().snap.voters, [100, 101, 102]);
    }

    #[test]
    fn a_group_is_the_same_however_its_voters_are_reached() {
        let moved = |i| Founder { addr: format!("relay{i}"), ..founder(i) };
        let one = Group::of("here", (0..3).map(founder).collect());
        assert_eq!(one.number, Group::of("here", (0..3).rev().map(moved).collect()).number);
        assert_ne!(one.number, Group::of("there", (0..3).map(founder).collect()).number);
        assert_ne!(one.number, Group::of("here", (1..4).map(founder).collect()).number);
    }

    #[test]
    fn a_majority_is_not_enough_to_found_and_old_answers_do_not_count() {
        let mut u = unborn(0, 3);
        u.heard(0, founder(1), Group::default());
        assert_eq!(u.decide(1), Birth::Wait { missing: vec!["v2".into()] });
        u.heard(FRESH_US, founder(2), Group::default());
        assert_eq!(u.decide(FRESH_US + 1), Birth::Wait { missing: vec!["v1".into()] });
        u.heard(FRESH_US, founder(9), Group::default());
        assert!(matches!(u.decide(FRESH_US + 1), Birth::Wait { .. }), "only who is named counts");
    }

    #[test]
    fn an_empty_disk_does_not_come_back_as_its_old_self() {
        let founders: Vec<Founder> =
            (0..3).map(|i| Founder { name: format!("v{i}"), disk: 100 + i, addr: format!("a{i}") }).collect();
        let group = Group::of("here", founders);
        // Never born, counted by the founders: it never voted, so it may begin as one of them.
        let mut late = unborn(2, 3);
        late.heard(0, founder(0), group.clone());
        assert_eq!(late.decide(1), Birth::Found(group.clone()));
        // Its disk was lost: another number, so it asks to be taken in.
        let mut lost = Unborn::new("here", Founder { disk: 777, ..founder(2) }, &voters(3));
        lost.heard(0, founder(1), Group::default());
        lost.heard(0, founder(0), group.clone());
        assert_eq!(lost.decide(1), Birth::Join(group));
    }
}
