//! When the registry beside the leader gives the slots of quotas' homes to whom.

mod common;

use common::*;
use pegboard::quota_homes::QuotaHomes;
use rack::quota::{HANDOVER_US, QuotaChange, SLOTS, ZoneAssignment};
use rack::state::{Command, Node, NodeChange, State};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

fn up(last: u8, zone: &str) -> NodeChange {
    let ip = Ipv4Addr::new(10, 0, 0, last);
    NodeChange::Up(Node {
        ip,
        name: format!("e{last}"),
        zone: zone.into(),
        region: "r".into(),
        front: (ip, 80).into(),
    })
}

fn gone(last: u8) -> NodeChange {
    NodeChange::Gone { ip: Ipv4Addr::new(10, 0, 0, last) }
}

/// The agreed state and the registry beside its leader; all that it proposes lands.
struct Core {
    now: u64,
    state: State,
    duty: QuotaHomes,
    dead: BTreeSet<Ipv4Addr>,
}

impl Core {
    fn new(nodes: Vec<NodeChange>) -> Core {
        let (state, duty, dead) = Default::default();
        let mut core = Core { now: SECOND, state, duty, dead };
        core.apply(Command::Nodes(nodes));
        core
    }

    fn apply(&mut self, command: Command) {
        let rev = self.state.rev + 1;
        self.state.apply(self.now, rev, &command);
    }

    /// Time passes in rounds; what was proposed.
    fn pass(&mut self, us: u64) -> Vec<QuotaChange> {
        let (until, mut changes) = (self.now + us, Vec::new());
        while self.now < until {
            self.now += SECOND / 2;
            self.duty.look(self.now, &self.state);
            let alive = self.state.nodes.keys().filter(|ip| !self.dead.contains(ip)).copied().collect();
            if let Some(change) = self.duty.due(self.now, &self.state, &alive) {
                self.apply(Command::Quota(change.clone()));
                changes.push(change);
            }
        }
        changes
    }

    /// How many slots of a zone each holds; those of nobody under 0.
    fn held(&self, zone: &str) -> BTreeMap<u8, usize> {
        let slots = self.state.homes.zones().find(|(name, _)| *name == zone).map(|(_, slots)| slots);
        let mut held = BTreeMap::new();
        for slot in slots.into_iter().flatten() {
            *held.entry(slot.holder.map_or(0, |ip| ip.octets()[3])).or_default() += 1;
        }
        held
    }
}

#[test]
fn the_first_table_is_made_at_once_when_all_have_joined_and_evenly() {
    let mut core = Core::new(vec![up(1, "a")]);
    core.pass(SECOND / 2);
    core.apply(Command::Nodes(vec![up(2, "a"), up(3, "a"), up(4, "b")]));
    assert_eq!(core.pass(SECOND / 2), [], "more may be coming");
    core.pass(2 * SECOND);
    assert_eq!(core.held("a"), BTreeMap::from([(1, 22), (2, 21), (3, 21)]));
    assert_eq!(core.held("b"), BTreeMap::from([(4, SLOTS)]));
    assert_eq!(core.pass(60 * SECOND), [], "nothing more to do");
}

#[test]
fn a_slot_is_given_away_again_only_after_the_lease_of_its_holder() {
    let mut core = Core::new(vec![up(1, "a"), up(2, "a")]);
    core.pass(3 * SECOND);
    core.apply(Command::Nodes(vec![gone(1)]));
    let since = core.now;
    while core.pass(SECOND / 2).is_empty() {}
    assert!(
        core.now - since >= HANDOVER_US && core.now - since <= HANDOVER_US + SECOND,
        "{}",
        core.now - since
    );
    assert_eq!(core.held("a"), BTreeMap::from([(2, SLOTS)]));
    // Vacant, held and vacant again: the time before does not count.
    core.apply(Command::Nodes(vec![up(1, "a"), gone(2)]));
    core.pass(HANDOVER_US - SECOND);
    let vacant = core.state.homes.slot("a", 0).expect("a slot");
    let given = rack::quota::Assignment { slot: 0, epoch: vacant.epoch, holder: Ipv4Addr::new(10, 0, 0, 1) };
    let given = vec![ZoneAssignment { zone: "a".into(), slots: vec![given] }];
    core.apply(Command::Quota(QuotaChange::Assign(given)));
    core.apply(Command::Nodes(vec![gone(1), up(3, "a")]));
    core.pass(3 * SECOND);
    assert_eq!(core.state.homes.slot("a", 0).expect("a slot").holder, None);
    assert!(core.state.homes.slot("a", 1).expect("a slot").holder.is_some(), "it was vacant all the time");
    // Another registry has seen nothing.
    core.duty = QuotaHomes::default();
    core.pass(HANDOVER_US - SECOND);
    assert_eq!(core.held("a").get(&0), Some(&1));
    core.pass(2 * SECOND);
    assert_eq!(core.held("a").get(&0), None);
}

#[test]
fn a_zone_that_comes_later_waits_until_all_know_of_it_and_one_that_has_gone_leaves() {
    let mut core = Core::new(vec![up(1, "a")]);
    core.pass(3 * SECOND);
    core.apply(Command::Nodes(vec![up(2, "b")]));
    core.pass(3 * SECOND);
    assert_eq!((core.state.homes.parts(), core.held("b")), (2, BTreeMap::from([(0, SLOTS)])));
    core.pass(HANDOVER_US);
    assert_eq!(core.held("b"), BTreeMap::from([(2, SLOTS)]));
    core.apply(Command::Nodes(vec![gone(2)]));
    core.pass(50 * SECOND);
    assert_eq!(core.state.homes.parts(), 2, "it may come back");
    core.pass(20 * SECOND);
    assert_eq!(core.state.homes.parts(), 1);
}

#[test]
fn slots_go_only_to_proxies_that_are_heard_of() {
    let mut core = Core::new(vec![up(1, "a"), up(2, "a")]);
    core.dead.insert(Ipv4Addr::new(10, 0, 0, 1));
    core.pass(3 * SECOND);
    assert_eq!(core.held("a"), BTreeMap::from([(2, SLOTS)]));
}

#[test]
fn only_a_registry_beside_a_leader_proposes_and_one_change_at_a_time() {
    let start = || Registry::new(vec![nodes(&[(1, "north-a"), (2, "south-a")])]);
    let mut r = start();
    r.stands(true, false);
    r.pass(9 * SECOND, &[], &[1, 2]);
    assert!(r.quota.is_empty(), "it does not lead");
    let mut r = start();
    r.stands(true, true);
    r.pass(9 * SECOND, &[], &[1, 2]);
    let opened = |r: &Registry| {
        r.quota
            .iter()
            .all(|(_, c)| matches!(c, Command::Quota(QuotaChange::Open { zones }) if zones.len() == 2))
    };
    assert!(!r.quota.is_empty() && opened(&r), "{:?}", r.quota);
    let (ticket, change) = r.quota.pop().expect("proposed");
    r.quota.clear();
    r.proposed.push((ticket, change));
    r.land();
    r.pass(2 * SECOND, &[], &[1, 2]);
    assert!(
        matches!(&r.quota[0].1, Command::Quota(QuotaChange::Assign(zones)) if zones.len() == 2),
        "{:?}",
        r.quota
    );
}
