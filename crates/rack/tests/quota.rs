//! The table of quotas' homes, as commands change it and as it is written down.

use rack::quota::{Assignment, QuotaChange, SLOTS, Slot, ZoneAssignment, slot_of};
use rack::state::{Command, Done, FORMAT, FORMAT_WITHOUT_HOMES, Node, NodeChange, State};
use std::net::Ipv4Addr;

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn node(last: u8, zone: &str) -> NodeChange {
    let (ip, region) = (ip(last), "north".to_string());
    NodeChange::Up(Node {
        ip,
        name: format!("edge-{last}"),
        zone: zone.into(),
        region,
        front: (ip, 80).into(),
    })
}

/// A log that is applied as it is written.
#[derive(Default)]
struct Log(State);

impl Log {
    fn apply(&mut self, command: Command) -> Done {
        let rev = self.0.rev + 1;
        self.0.apply(0, rev, &command)
    }

    fn open(&mut self, zones: &[&str]) {
        let zones = zones.iter().map(|z| z.to_string()).collect();
        assert_eq!(self.apply(Command::Quota(QuotaChange::Open { zones })), Done::Taken);
    }

    fn assign(&mut self, zone: &str, slots: &[(u8, u64, u8)]) -> Done {
        let one = |(slot, epoch, last): &(u8, u64, u8)| Assignment {
            slot: *slot,
            epoch: *epoch,
            holder: ip(*last),
        };
        let slots = slots.iter().map(one).collect();
        self.apply(Command::Quota(QuotaChange::Assign(vec![ZoneAssignment { zone: zone.into(), slots }])))
    }

    fn slot(&self, zone: &str, slot: usize) -> Slot {
        self.0.homes.slot(zone, slot).expect("a slot")
    }
}

fn two_zones() -> Log {
    let mut log = Log::default();
    log.apply(Command::Nodes(vec![node(1, "a"), node(2, "a"), node(3, "b")]));
    log.open(&["a", "b"]);
    log
}

#[test]
fn a_slot_is_given_only_while_it_is_vacant_under_the_epoch_that_is_named() {
    let mut log = two_zones();
    assert_eq!((log.0.homes.parts(), log.slot("a", 0)), (2, Slot { holder: None, epoch: 0 }));
    log.assign("a", &[(0, 0, 1)]);
    let held = Slot { holder: Some(ip(1)), epoch: log.0.rev };
    assert_eq!(log.slot("a", 0), held);
    // Held already; under another epoch; to a proxy of another zone, or to none that is known; beyond the last slot.
    for (slot, epoch, last) in [(0, 0, 2), (0, held.epoch, 2), (1, 7, 2), (1, 0, 3), (1, 0, 9), (255, 0, 2)] {
        log.assign("a", &[(slot, epoch, last)]);
        assert_eq!((log.slot("a", 0), log.slot("a", 1).holder), (held, None), "{slot} {epoch} {last}");
    }
    assert!(matches!(log.assign("c", &[(0, 0, 1)]), Done::Invalid(why) if why.contains("\"c\"")));
    assert_eq!(log.0.homes.held_by("a", 0, ip(1)), Some(held.epoch));
    assert_eq!(log.0.homes.held_by("a", 0, ip(2)), None);
}

#[test]
fn a_proxy_that_goes_or_moves_leaves_its_slots_vacant_under_a_new_epoch() {
    for leaves in [NodeChange::Gone { ip: ip(1) }, node(1, "b")] {
        let mut log = two_zones();
        log.assign("a", &[(0, 0, 1), (1, 0, 2)]);
        let before = log.slot("a", 0).epoch;
        log.apply(Command::Nodes(vec![leaves]));
        let vacant = Slot { holder: None, epoch: log.0.rev };
        assert!(log.slot("a", 0) == vacant && vacant.epoch > before);
        assert_eq!(log.slot("a", 1).holder, Some(ip(2)), "others keep theirs");
        // A command that was on its way from before is without effect.
        log.assign("a", &[(0, 0, 2), (0, before, 2)]);
        assert_eq!(log.slot("a", 0), vacant);
    }
    let mut log = two_zones();
    log.assign("a", &[(0, 0, 1)]);
    let held = log.slot("a", 0);
    log.apply(Command::Nodes(vec![node(1, "a")]));
    assert_eq!(log.slot("a", 0), held, "a new process of the same proxy");
}

#[test]
fn a_zone_that_comes_later_may_have_been_counted_in_the_others_parts() {
    let mut log = two_zones();
    log.apply(Command::Nodes(vec![node(4, "c")]));
    log.open(&["c", "a"]);
    let opened = log.0.rev;
    assert_eq!((log.0.homes.parts(), log.slot("c", 0)), (3, Slot { holder: None, epoch: opened }));
    assert_eq!(log.slot("a", 0).epoch, 0, "as it was");
    // It closes only while nobody holds a slot of it.
    log.assign("c", &[(0, opened, 4)]);
    let close = || Command::Quota(QuotaChange::Close { zone: "c".into() });
    assert!(matches!(log.apply(close()), Done::Invalid(_)));
    log.apply(Command::Nodes(vec![NodeChange::Gone { ip: ip(4) }]));
    assert_eq!((log.apply(close()), log.0.homes.parts()), (Done::Taken, 2));
    assert!(matches!(log.apply(close()), Done::Invalid(_)));
}

#[test]
fn the_table_is_read_as_it_was_written_and_a_state_without_one_in_the_form_before() {
    let mut log = two_zones();
    log.assign("a", &[(0, 0, 1), (5, 0, 2), (63, 0, 1)]);
    log.apply(Command::Nodes(vec![NodeChange::Gone { ip: ip(2) }]));
    for bytes in [log.0.write(0), log.0.write_without_calls(0)] {
        assert_eq!(u32::from(bytes[0]), FORMAT);
        assert_eq!(State::read(0, &bytes).expect("as written").homes, log.0.homes);
        for cut in 1..40 {
            assert!(State::read(0, &bytes[..bytes.len() - cut]).is_err(), "{cut} bytes short");
        }
    }
    let mut bare = Log::default();
    bare.apply(Command::Nodes(vec![node(1, "a")]));
    let bytes = bare.0.write(0);
    assert!(u32::from(bytes[0]) <= FORMAT_WITHOUT_HOMES);
    assert!(State::read(0, &bytes).expect("as written").homes.is_empty());
}

#[test]
fn tenants_are_spread_over_the_slots() {
    let mut counts = [0; SLOTS];
    (0..6400).for_each(|n| counts[slot_of(&format!("tenant-{n}"))] += 1);
    assert!(counts.iter().all(|count| (60..=150).contains(count)), "{counts:?}");
}
