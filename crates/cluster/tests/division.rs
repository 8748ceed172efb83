//! All courses of a small installation: divisions that are ordered, lost, late; proxies that hear, do not hear, are cut
//! off and come back. However they meet, what the proxies hold together is never more than the booking.

use cluster::booking::{BookChange, Booking, Bookings, Unused};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::Ipv4Addr;

const PROXIES: usize = 3;
/// Ticks until a part that grows is taken up, and until a proxy that hears nothing holds nothing.
const SETTLE: u8 = 2;
const DIVISIONS: u64 = 3;

/// Which rule is left out, to see that it is needed.
#[derive(Clone, Copy, PartialEq)]
enum Without {
    Nothing,
    /// Divisions lie a settling apart.
    Spacing,
    /// A part that grows waits for a settling.
    Settling,
    /// A proxy that hears nothing for a settling holds nothing.
    Staleness,
}

#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Proxy {
    holds: u32,
    /// The part as it was last heard, and the ticks until it is taken up.
    part: u32,
    left: u8,
    /// Since the news was last fresh.
    age: u8,
}

impl Proxy {
    fn hears(&mut self, part: u32, without: Without) {
        let stale = self.age >= SETTLE;
        self.age = 0;
        self.holds = self.holds.min(part);
        if part != self.part || stale {
            self.left = if without == Without::Settling { 0 } else { SETTLE };
        }
        self.part = part;
        self.take();
    }

    fn tick(&mut self, without: Without) {
        (self.left, self.age) = (self.left.saturating_sub(1), (self.age + 1).min(SETTLE));
        if self.age >= SETTLE && without != Without::Staleness {
            self.holds = 0;
        } else {
            self.take();
        }
    }

    fn take(&mut self) {
        if self.left == 0 {
            self.holds = self.part;
        }
    }
}

/// Three registries: what each of them has ordered while it had the duty may still come. Who is who makes no difference,
/// of registries and of proxies.
#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    number: u64,
    holder: usize,
    /// Ticks since the registry with the duty saw the last division.
    seen: u8,
    /// Who gets all of the booking by the next division, as it was ordered.
    ordered: [Option<usize>; 3],
    proxies: [Proxy; PROXIES],
}

impl World {
    /// The one that stands for all that differ only in who is who.
    fn plain(self) -> World {
        let mut order: Vec<usize> = (0..PROXIES).collect();
        let orders = |n: usize| self.ordered.iter().filter(|o| **o == Some(n)).count();
        order.sort_by_key(|n| (self.proxies[*n], self.holder == *n, orders(*n)));
        let at = |n: usize| order.iter().position(|o| *o == n).expect("each has a place");
        let mut ordered = self.ordered.map(|o| o.map(at));
        ordered.sort();
        let proxies = [0, 1, 2].map(|n: usize| self.proxies[order[n]]);
        World { holder: at(self.holder), ordered, proxies, ..self }
    }

    fn agreed(&self) -> Bookings {
        let booking = Booking {
            name: "launch".into(),
            tenants: vec!["reed".into()],
            routes: vec![],
            service: "heron".into(),
            flight: 1,
            residence_ms: 100,
            opens_ms: 1,
            closes_ms: 2,
            ramp_ms: 0,
            unused: Unused::Hold,
        };
        let mut agreed = Bookings::default();
        agreed.apply(0, &BookChange::Put { booking, base: 0, room: 1 }).expect("room");
        for number in 1..=self.number {
            agreed.apply(0, &divided(number, self.holder)).expect("the next");
        }
        agreed
    }
}

fn ip(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n as u8)
}

fn divided(number: u64, n: usize) -> BookChange {
    BookChange::Divide { name: "launch".into(), number, parts: BTreeMap::from([(ip(n), 1)]) }
}

/// A course that exceeds the booking, if there is one; and how many states there are.
fn search(without: Without) -> (Option<u32>, usize) {
    let mut proxies = [Proxy { age: SETTLE, ..Proxy::default() }; PROXIES];
    proxies[0] = Proxy { holds: 1, part: 1, left: 0, age: 0 };
    let first = World { number: 1, holder: 0, seen: SETTLE, ordered: [None; 3], proxies }.plain();
    let mut seen = HashSet::from([first.clone()]);
    let mut queue = VecDeque::from([first]);
    while let Some(world) = queue.pop_front() {
        let sum: u32 = world.proxies.iter().map(|p| p.holds).sum();
        if sum > 1 {
            return (Some(sum), seen.len());
        }
        let mut next = Vec::new();
        // Time goes on for all.
        let mut on = world.clone();
        on.seen = (on.seen + 1).min(SETTLE);
        on.proxies.iter_mut().for_each(|p| p.tick(without));
        next.push(on);
        // A proxy in touch hears all that is agreed; one that is cut off does not.
        for n in 0..PROXIES {
            let mut on = world.clone();
            on.proxies[n].hears(u32::from(n == world.holder), without);
            next.push(on);
        }
        // The leader is lost: another registry has the duty, and sees the last division only now.
        next.push(World { seen: 0, ..world.clone() });
        let spaced = world.seen >= SETTLE || without == Without::Spacing;
        let place = world.ordered.iter().position(Option::is_none);
        if let Some(place) = place.filter(|_| spaced && world.number < DIVISIONS) {
            for n in 0..PROXIES {
                let mut on = world.clone();
                on.ordered[place] = Some(n);
                next.push(on);
            }
        }
        for n in world.ordered.iter().flatten() {
            let mut agreed = world.agreed();
            let number = world.number + 1;
            agreed.apply(0, &divided(number, *n)).expect("the next");
            // All other orders of that number come to nothing.
            assert!((0..PROXIES).all(|n| agreed.apply(0, &divided(number, n)).is_err()));
            assert_eq!(agreed["launch"].division.part(ip(*n)), 1);
            next.push(World { number, holder: *n, seen: 0, ordered: [None; 3], ..world.clone() });
        }
        for world in next.into_iter().map(World::plain) {
            if seen.insert(world.clone()) {
                queue.push_back(world);
            }
        }
    }
    (None, seen.len())
}

#[test]
fn parts_never_come_to_more_than_the_booking_on_any_course() {
    let (exceeded, states) = search(Without::Nothing);
    assert_eq!(exceeded, None);
    assert!(states > 10_000, "{states} states are not all courses");
}

#[test]
fn each_rule_of_the_transition_is_needed() {
    for without in [Without::Spacing, Without::Settling, Without::Staleness] {
        assert_eq!(search(without).0, Some(2));
    }
}
