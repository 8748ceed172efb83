//! Bookings in the agreed state: what is taken, what is refused, and how they are written down.

use cluster::booking::{BookChange, Booking, Bookings, Phase, Unbooked, Unused, divide};
use cluster::state::{Command, Done, FORMAT, NodeChange, State};
use cluster::talk::{Gossip, Lease};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

fn booking(name: &str, flight: u32, opens_ms: u64, closes_ms: u64) -> Booking {
    Booking {
        name: name.into(),
        tenants: vec!["reed".into()],
        routes: vec![],
        service: "heron".into(),
        flight,
        residence_ms: 250,
        opens_ms,
        closes_ms,
        ramp_ms: 10,
        unused: Unused::Lend,
    }
}

fn put(booking: Booking, base: u64, room: u32) -> BookChange {
    BookChange::Put { booking, base, room }
}

fn phase(epoch: u64, phase: Phase) -> BookChange {
    BookChange::Phase { name: "a".into(), epoch, phase }
}

fn part(last: u8, n: u32) -> (Ipv4Addr, u32) {
    (Ipv4Addr::new(10, 9, 1, last), n)
}

fn divided(number: u64, parts: &[(Ipv4Addr, u32)]) -> BookChange {
    BookChange::Divide { name: "a".into(), number, parts: parts.iter().copied().collect() }
}

/// What must hold of every state, whatever commands have come.
fn sound(state: &State) -> Result<(), String> {
    for b in state.bookings.values() {
        if b.division.sum() > u64::from(b.booking.flight) {
            return Err(format!("{}: {} divided of {}", b.booking.name, b.division.sum(), b.booking.flight));
        }
        if b.phase == Phase::Ended && !b.division.parts.is_empty() {
            return Err(format!("{}: ended, and still held", b.booking.name));
        }
    }
    Ok(())
}

#[test]
fn a_call_that_comes_again_is_taken_once_and_does_not_bring_back_what_was_ended() {
    let mut all = Bookings::default();
    let call = put(booking("a", 8, 100, 200), 0, 8);
    for _ in 0..2 {
        assert_eq!(all.apply(0, &call), Ok(()));
        assert_eq!(all["a"].epoch, 1);
    }
    assert_eq!(all.apply(0, &put(booking("a", 9, 100, 200), 0, 9)), Err(Unbooked::Outdated { epoch: 1 }));
    for _ in 0..2 {
        assert_eq!(all.apply(0, &BookChange::Cancel { name: "a".into() }), Ok(()));
    }
    assert_eq!(all.apply(0, &call), Err(Unbooked::Outdated { epoch: 2 }));
    assert_eq!((all["a"].phase, all["a"].cancelled), (Phase::Ended, true));
    // Booked anew by somebody who has seen that it was ended.
    assert_eq!(all.apply(0, &put(booking("a", 8, 100, 200), 2, 8)), Ok(()));
    assert_eq!((all["a"].phase, all["a"].epoch, all["a"].cancelled), (Phase::Planned, 3, false));
    let unknown = BookChange::Cancel { name: "b".into() };
    assert_eq!(all.apply(0, &unknown), Err(Unbooked::Outdated { epoch: 0 }));
}

#[test]
fn phases_go_on_from_the_epoch_they_name_and_never_back() {
    let mut all = Bookings::default();
    all.apply(0, &put(booking("a", 8, 100, 200), 0, 8)).expect("room");
    all.apply(50_000, &phase(1, Phase::Open)).expect("it opens");
    assert_eq!(all["a"].lasted_us(80_000), 30_000);
    for late in
        [phase(1, Phase::Open), phase(1, Phase::Ended), phase(2, Phase::Planned), phase(2, Phase::Open)]
    {
        assert_eq!(all.apply(60_000, &late), Err(Unbooked::Outdated { epoch: 2 }), "{late:?}");
    }
    assert_eq!((all["a"].phase, all["a"].lasted_us(80_000)), (Phase::Open, 30_000));
    // An open one changes in what does not move its beginning.
    let later = Booking { flight: 4, ..booking("a", 4, 100, 300) };
    assert_eq!(all.apply(0, &put(later, 2, 8)), Ok(()));
    let moved = all.apply(0, &put(booking("a", 4, 150, 300), 3, 8));
    assert!(matches!(&moved, Err(Unbooked::Fixed(what)) if what.contains("opens_ms")), "{moved:?}");
    assert_eq!(all.apply(0, &BookChange::Cancel { name: "a".into() }), Ok(()));
    assert_eq!(all["a"].phase, Phase::Closing, "its room is given back over the ramp");
}

#[test]
fn what_meets_in_time_shares_the_room_and_what_does_not_has_it_alone() {
    let mut all = Bookings::default();
    all.apply(0, &put(booking("a", 6, 100, 200), 0, 10)).expect("room");
    all.apply(0, &put(booking("b", 3, 150, 250), 0, 10)).expect("room");
    let full = |all: &mut Bookings, flight, opens, closes| {
        all.clone().apply(0, &put(booking("c", flight, opens, closes), 0, 10))
    };
    assert_eq!(full(&mut all, 2, 120, 180), Err(Unbooked::Full { free: 1 }));
    // The first has closed at 200, and given back at 210.
    assert_eq!(full(&mut all, 5, 205, 300), Err(Unbooked::Full { free: 1 }));
    assert_eq!(full(&mut all, 7, 210, 300), Ok(()));
    assert_eq!(full(&mut all, 10, 260, 300), Ok(()));
    // Less of what it has needs no room, though servers were lost since; more does.
    assert_eq!(all.apply(0, &put(booking("a", 5, 100, 190), 1, 0)), Ok(()));
    assert_eq!(all.apply(0, &put(booking("a", 6, 100, 190), 2, 0)), Err(Unbooked::Full { free: 0 }));
}

#[test]
fn no_command_makes_the_parts_come_to_more_than_the_booking() {
    let (mut state, mut rev) = (State::default(), 0);
    let mut apply = |state: &mut State, change: BookChange| {
        rev += 1;
        let done = state.apply(0, rev, &Command::Book(change));
        sound(state).expect("sound");
        done
    };
    apply(&mut state, put(booking("a", 6, 100, 200), 0, 10));
    let refused = Done::Unbooked(Unbooked::Undivided);
    assert_eq!(apply(&mut state, divided(1, &[part(1, 4), part(2, 3)])), refused);
    assert_eq!(apply(&mut state, divided(2, &[part(1, 4)])), refused, "not the next");
    assert_eq!(apply(&mut state, divided(1, &[part(1, 4), part(2, 2)])), Done::Taken);
    assert_eq!(apply(&mut state, divided(1, &[part(1, 1)])), refused, "late");
    // The booking shrinks, and its parts with it, as a division of its own.
    assert_eq!(apply(&mut state, put(booking("a", 3, 100, 200), 1, 10)), Done::Taken);
    let division = state.bookings["a"].division.clone();
    assert_eq!((division.number, division.parts), (2, BTreeMap::from([part(1, 2), part(2, 1)])));
    let gone = Command::Nodes(vec![NodeChange::Gone { ip: part(1, 0).0 }]);
    state.apply(0, 100, &gone);
    assert_eq!(state.bookings["a"].division.sum(), 1);

    // Planted: what such a division would be, had it been taken.
    let mut broken = State::default();
    broken.apply(0, 1, &Command::Book(put(booking("a", 6, 100, 200), 0, 10)));
    broken.apply(0, 2, &Command::Book(divided(1, &[part(1, 6)])));
    let mut bytes = broken.write(0);
    let at = bytes.windows(5).position(|w| w == [10, 9, 1, 1, 6]).expect("the part as it is written");
    bytes[at + 4] = 7;
    let broken = State::read(0, &bytes).expect("a state");
    assert!(sound(&broken).is_err_and(|why| why.contains("7 divided of 6")));
}

#[test]
fn parts_by_weight_come_to_the_whole() {
    let weights = |of: &[u64]| of.iter().zip(1u8..).map(|(w, n)| (part(n, 0).0, *w)).collect();
    for (whole, of, parts) in [
        (10, vec![1, 1, 1], vec![4, 3, 3]),
        (10, vec![0, 0, 0], vec![4, 3, 3]),
        (7, vec![5, 0, 2], vec![5, 0, 2]),
        (1, vec![3, 4, 3], vec![0, 1, 0]),
        (u32::MAX, vec![u64::MAX, u64::MAX], vec![u32::MAX / 2 + 1, u32::MAX / 2]),
    ] {
        assert_eq!(
            divide(whole, &weights(&of)).into_values().collect::<Vec<_>>(),
            parts,
            "{whole} by {of:?}"
        );
    }
}

#[test]
fn a_state_without_bookings_is_written_as_before_and_one_with_them_comes_back() {
    let mut state = State::default();
    state.apply(0, 1, &Command::Evacuate { zone: "north-a".into(), on: true });
    let plain = state.write(0);
    assert_eq!(plain[0], 1, "the first form");
    // All of the first form, and nothing after it.
    assert_eq!(plain, [1, 1, 0, 0, 1, 7, b'n', b'o', b'r', b't', b'h', b'-', b'a', 0, 0, 0]);
    assert!(State::read(0, &plain).expect("the first form is read").bookings.is_empty());
    state.apply(0, 2, &Command::Book(put(booking("a", 6, 100, 200), 0, 10)));
    state.apply(0, 3, &Command::Book(divided(1, &[part(1, 6)])));
    state.apply(1_000_000, 4, &Command::Book(phase(1, Phase::Open)));
    let bytes = state.write(4_000_000);
    assert_eq!(bytes[0], 2, "the second form: no order is remembered");
    // It has been open for three seconds, by whichever clock.
    let read = State::read(77_000_000, &bytes).expect("readable");
    assert_eq!(read.bookings["a"].lasted_us(78_000_000), 4_000_000);
    assert_eq!(read.bookings["a"].division, state.bookings["a"].division);
    let mut newer = bytes.clone();
    newer[0] = FORMAT as u8 + 1;
    assert!(State::read(0, &newer).is_err_and(|why| why.contains("form")));
    assert!(State::read(0, &bytes[..bytes.len() - 3]).is_err(), "cut short");
}

#[test]
fn a_time_of_day_that_is_not_told_takes_no_byte() {
    let ip = Ipv4Addr::new(10, 9, 0, 4);
    let gossip = |day_ms| Gossip {
        ip,
        zone: "north-a".into(),
        servers: vec![],
        nodes: vec![],
        usage: vec![],
        heads: vec![],
        day_ms,
        leases: vec![],
        tallies: vec![],
    };
    let plain = postcard::to_stdvec(&gossip(None)).expect("plain data");
    assert_eq!(plain.len(), 4 + 8 + 4);
    assert_eq!(postcard::from_bytes::<Gossip>(&plain).expect("readable").day_ms, None);
    let told = postcard::to_stdvec(&gossip(Some(1_800_000_000_000))).expect("plain data");
    assert_eq!(told[..plain.len()], plain);
    assert_eq!(postcard::from_bytes::<Gossip>(&told).expect("readable").day_ms, Some(1_800_000_000_000));
    let leases = vec![Lease { epoch: 300, left_ms: 9_000 }];
    let both =
        postcard::to_stdvec(&Gossip { leases: leases.clone(), ..gossip(Some(0)) }).expect("plain data");
    assert_eq!(postcard::from_bytes::<Gossip>(&both).expect("readable").leases, leases);
}
