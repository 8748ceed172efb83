//! Permits of quotas: what one proxy asks, issues and spends, and what many of them send together.

mod common;

use common::SECOND;
use proxy::permits::asker::{Refusal, VALID_US, part_of};
use proxy::permits::issuer::{Issuer, LENT_US, Part};
use proxy::permits::{Effect, Permits, Quotas};
use rack::quota::{Assignment, HANDOVER_US, LEASE_US, QuotaChange, SLOTS, ZoneAssignment};
use rack::state::{Command, Node, NodeChange, State};
use rack::talk::{Permit, PermitAnswer};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::Ipv4Addr;

const ZONES: usize = 6;
const MS: u64 = 1_000;

fn ip(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (n / 250) as u8, (n % 250) as u8 + 1)
}

fn zone(n: usize) -> String {
    format!("zone-{}", n % ZONES)
}

fn region(n: usize) -> String {
    format!("region-{}", n % ZONES % 2)
}

fn up(n: usize) -> NodeChange {
    let ip = ip(n);
    NodeChange::Up(Node {
        ip,
        name: format!("e{n}"),
        zone: zone(n),
        region: region(n),
        front: (ip, 80).into(),
    })
}

/// Each tenant by its key, with the rate and the stock of its whole quota.
#[derive(Clone, Default)]
struct Table(BTreeMap<u32, (f64, f64)>);

impl Quotas for Table {
    fn part(&self, tenant: u32, zones: usize) -> Option<Part> {
        self.0.get(&tenant).map(|(rate, stock)| part_of(*rate, *stock, zones))
    }

    fn tenants(&self) -> Vec<u32> {
        self.0.keys().copied().collect()
    }
}

/// A state in which these proxies hold all slots of their zones, each its part.
fn agreed(proxies: usize) -> State {
    let mut state = State::default();
    let mut log = vec![Command::Nodes((0..proxies).map(up).collect())];
    log.push(Command::Quota(QuotaChange::Open { zones: (0..ZONES.min(proxies)).map(zone).collect() }));
    let zones = (0..ZONES.min(proxies)).map(|z| {
        let here: Vec<usize> = (0..proxies).filter(|n| n % ZONES == z).collect();
        let slot =
            |slot: usize| Assignment { slot: slot as u8, epoch: 0, holder: ip(here[slot % here.len()]) };
        ZoneAssignment { zone: zone(z), slots: (0..SLOTS).map(slot).collect() }
    });
    log.push(Command::Quota(QuotaChange::Assign(zones.collect())));
    for (rev, command) in (1..).zip(log) {
        state.apply(0, rev, &command);
    }
    state
}

fn permits(n: usize, seed: u64) -> Permits {
    let regions = (0..ZONES).map(|z| (zone(z), region(z))).collect();
    Permits::new(ip(n), zone(n), region(n), regions, seed)
}

// ---- one proxy ----

const TENANT: u32 = 7;

/// A proxy of zone 0 among six, one a zone, in which tenant 7 has a quota of 6 a second and a stock of 12.
struct One {
    now: u64,
    permits: Permits,
    table: Table,
    effects: Vec<Effect>,
    tries: u64,
}

impl One {
    fn new(n: usize) -> One {
        let (mut permits, table) = (permits(n, 1), Table(BTreeMap::from([(TENANT, (6.0, 12.0))])));
        permits.learn(SECOND, &agreed(ZONES), &table);
        permits.prove(Some(SECOND));
        One { now: SECOND, permits, table, effects: Vec::new(), tries: 0 }
    }

    fn want(&mut self) -> u64 {
        self.effects.clear();
        self.tries += 1;
        self.permits.want(self.now, TENANT, (self.tries, 0), &self.table, &mut self.effects);
        self.tries
    }

    fn tell(&mut self, from: Ipv4Addr, message: Permit) {
        self.effects.clear();
        self.permits.heard(self.now, from, message, &self.table, &mut self.effects);
    }

    fn answer(&mut self, from: Ipv4Addr, ask: u64, count: u8, wait_ms: u16) {
        self.answer_with(from, ask, (count, 0), wait_ms);
    }

    fn answer_with(&mut self, from: Ipv4Addr, ask: u64, (count, ahead): (u8, u8), wait_ms: u16) {
        self.tell(from, Permit::Answer { ask, answer: PermitAnswer::Issued { count, ahead, wait_ms } });
    }

    fn wait(&mut self, us: u64) {
        self.now += us;
        self.permits.prove(Some(self.now));
        self.effects.clear();
        self.permits.tick(self.now, &self.table, &mut self.effects);
    }

    fn went(&self) -> Vec<u64> {
        let went = |e: &Effect| if let Effect::Go { one, .. } = e { Some(one.0) } else { None };
        self.effects.iter().filter_map(went).collect()
    }

    fn refused(&self) -> Option<(Refusal, u64)> {
        let refused = |e: &Effect| {
            if let Effect::Refuse { why, wait_us, .. } = e { Some((*why, *wait_us)) } else { None }
        };
        self.effects.iter().find_map(refused)
    }

    /// Whom it asks, under which number and for how many.
    fn asks(&self) -> Option<(Ipv4Addr, u64, u8)> {
        let asks = |e: &Effect| match e {
            Effect::Say(to, Permit::Ask { ask, count, .. }) => Some((*to, *ask, *count)),
            _ => None,
        };
        self.effects.iter().find_map(asks)
    }
}

/// Two proxies a zone, of which the second is the home of tenant 7.
fn two_a_zone() -> State {
    agreed(2 * ZONES)
}

#[test]
fn a_home_serves_itself_and_asks_the_others_when_it_has_none_left() {
    let mut one = One::new(0);
    one.wait(2 * SECOND); // its part is one a second, and two at the most
    for _ in 0..2 {
        let number = one.want();
        assert_eq!(one.went(), [number]);
    }
    let mut asked = BTreeSet::new();
    one.want();
    for _ in 0..ZONES - 1 {
        let (to, ask, count) = one.asks().expect("the next one is asked");
        assert!(count == 1 && asked.insert(to));
        one.answer(to, ask, 0, 500);
    }
    assert_eq!(asked, (1..ZONES).map(ip).collect(), "each of the other zones' homes");
    assert_eq!(one.refused(), Some((Refusal::Spent, 500 * MS)));
    assert_eq!(
        one.permits.refuses(one.now, TENANT),
        Some((Refusal::Spent, 500 * MS)),
        "nobody need be asked"
    );
    one.wait(500 * MS);
    assert_eq!(one.permits.refuses(one.now, TENANT), None);
}

#[test]
fn those_of_its_region_come_before_the_others() {
    let mut one = One::new(0);
    one.want();
    let mut order = Vec::new();
    while let Some((to, ask, _)) = one.asks() {
        order.push((to.octets()[3] - 1) % 2);
        one.answer(to, ask, 0, 500);
    }
    assert_eq!(order, [0, 0, 1, 1, 1]);
}

#[test]
fn tries_that_wait_are_asked_for_together_and_go_in_order() {
    let mut one = One::new(0);
    let first = one.want();
    let (to, ask, _) = one.asks().expect("asked");
    let others: Vec<u64> = (0..5).map(|_| one.want()).collect();
    assert!(one.asks().is_none(), "an answer is awaited");
    one.answer(to, ask, 1, 0);
    assert_eq!(one.went(), [first]);
    let (again, ask, count) = one.asks().expect("for the rest");
    assert_eq!((again, count), (to, 5));
    one.permits.withdraw((others[1], 0));
    one.answer(to, ask, 3, 200);
    assert_eq!(one.went(), [others[0], others[2], others[3]]);
    assert!(one.asks().is_some_and(|(next, _, count)| next != to && count == 1), "of another home");
}

#[test]
fn an_answer_counts_once_and_from_whom_it_was_asked_and_in_time() {
    for late in [VALID_US, VALID_US + 1] {
        let mut one = One::new(0);
        one.want();
        let (to, ask, _) = one.asks().expect("asked");
        one.want();
        one.answer(ip(9), ask, 2, 0);
        one.answer(to, ask + 1, 2, 0);
        assert!(one.went().is_empty(), "another's, or to another ask");
        one.now += late;
        one.answer(to, ask, 2, 0);
        // More than were asked for are not spent, and one that comes late not at all.
        assert_eq!(one.went().len(), usize::from(late <= VALID_US));
        one.answer(to, ask, 2, 0);
        assert!(one.went().is_empty(), "a second time");
    }
}

#[test]
fn a_home_that_does_not_answer_is_passed_over_for_a_while() {
    let mut one = One::new(0);
    one.want();
    let mut silent = Vec::new();
    while let Some((to, _, _)) = one.asks() {
        silent.push(to);
        one.wait(200 * MS);
    }
    // Its own bucket has filled by then.
    assert_eq!((silent.len(), one.went().len()), (ZONES - 1, 1));
    assert_eq!(one.permits.counts.unanswered, (ZONES - 1) as u64);
    one.wait(2 * SECOND);
    while one.want() > 0 && one.asks().is_none() {}
    assert_eq!(one.asks().map(|a| a.0), Some(silent[0]), "asked again");
}

#[test]
fn nothing_is_issued_without_a_lease_or_by_who_is_not_home() {
    let mut one = One::new(0);
    one.wait(2 * SECOND);
    // Each under a number of its own: one that comes again gets the answer that it had.
    let answer = |one: &mut One, tenant| {
        one.tries += 1;
        let number = one.tries;
        one.tell(ip(3), Permit::Ask { ask: number, tenant, count: 1, ahead: 0 });
        match one.effects[..] {
            [Effect::Say(to, Permit::Answer { ask, answer })] if (to, ask) == (ip(3), number) => answer,
            ref other => panic!("{other:?}"),
        }
    };
    assert_eq!(answer(&mut one, 99), PermitAnswer::NotHome, "a tenant without a quota");
    assert_eq!(answer(&mut one, TENANT), PermitAnswer::Issued { count: 1, ahead: 0, wait_ms: 0 });
    one.now += LEASE_US;
    assert!(matches!(answer(&mut one, TENANT), PermitAnswer::Issued { count: 1, .. }), "to the last moment");
    one.now += 1;
    assert_eq!(answer(&mut one, TENANT), PermitAnswer::NotHome, "the lease has ended");
    one.permits.prove(Some(one.now));
    assert!(matches!(answer(&mut one, TENANT), PermitAnswer::Issued { .. }), "it is fresh again");
    // Somebody else's slots.
    let mut state = agreed(ZONES);
    let rev = state.rev + 1;
    state.apply(0, rev, &Command::Nodes(vec![NodeChange::Gone { ip: ip(0) }]));
    one.permits.learn(one.now, &state, &one.table);
    assert_eq!(answer(&mut one, TENANT), PermitAnswer::NotHome);
}

#[test]
fn without_any_home_a_request_is_refused_and_says_so() {
    let mut one = One::new(0);
    one.permits.learn(one.now, &State::default(), &one.table);
    one.want();
    assert!(matches!(one.refused(), Some((Refusal::NoHome, wait)) if wait > 0));
}

#[test]
fn a_bucket_begins_empty_with_each_process_and_epoch_and_holds_no_more_than_its_stock() {
    let part = Part::new(10.0, 4.0);
    let mut issuer = Issuer::default();
    let all = |issuer: &mut Issuer, now, epoch| issuer.issue(now, TENANT, epoch, part, 100, 0).count;
    assert_eq!(all(&mut issuer, 0, 1), 0);
    // What an earlier process may have lent, 2.4 of the 4, takes room for as long as it may be spent.
    assert_eq!(all(&mut issuer, SECOND, 1), 1);
    assert_eq!(all(&mut issuer, 60 * SECOND, 1), 4);
    assert_eq!(all(&mut issuer, 90 * SECOND, 2), 0, "the slot was away meanwhile");
    issuer.hold(90 * SECOND, &BTreeMap::from([(TENANT, (3, part))]));
    assert_eq!(all(&mut issuer, 90 * SECOND + SECOND / 10, 3), 1, "it fills from when the slot is held");
    // A quota that is lowered cuts what is saved up.
    issuer.issue(200 * SECOND, TENANT, 3, Part::new(10.0, 40.0), 0, 0);
    assert_eq!(issuer.issue(230 * SECOND, TENANT, 3, Part::new(1.0, 2.0), 100, 0).count, 2);
}

/// What is lent ahead may be spent later, and takes its room of the stock until then; it is lent only out of plenty.
#[test]
fn what_is_lent_takes_room_until_it_can_be_spent_no_more() {
    let (part, mut issuer) = (Part::new(10.0, 10.0), Issuer::default());
    let mut issue = |now, wanted, ahead| {
        let issued = issuer.issue(now, TENANT, 1, part, wanted, ahead);
        (issued.count, issued.ahead)
    };
    assert_eq!(issue(0, 0, 8), (0, 0));
    assert_eq!(issue(4 * SECOND, 1, 9), (1, 6), "six tenths of the stock at a time");
    assert_eq!(
        issue(4 * SECOND + LENT_US, 9, 0),
        (4, 0),
        "the rest of the stock, however long it has filled"
    );
    assert_eq!(issue(4 * SECOND + LENT_US + 1, 0, 0), (0, 0));
    assert_eq!(issue(9 * SECOND, 9, 0), (9, 0), "room again");
    assert_eq!(issue(9 * SECOND, 1, 1), (1, 0));
    assert_eq!(
        issue(9 * SECOND + SECOND / 5, 0, 2),
        (0, 0),
        "what there is is kept for those who need one now"
    );
}

#[test]
fn a_tenant_that_comes_again_and_again_is_served_from_what_was_lent() {
    let mut one = One::new(0);
    // Another proxy of its zone is home.
    one.permits.learn(one.now, &two_a_zone(), &one.table);
    for n in 0..3 {
        one.now += SECOND / 5;
        one.want();
        if let Some((to, ask, count)) = one.asks() {
            one.answer_with(to, ask, (count, if n > 0 { 3 } else { 0 }), 0);
        }
    }
    assert_eq!(one.permits.counts.asks, 2, "the third needs none");
    assert_eq!(one.went().len(), 1);
    // After a while it may not be spent any more.
    one.wait(LENT_US);
    one.want();
    assert!(one.went().is_empty() && one.asks().is_some());
}

/// An ask whose answer does not come is said again, and costs no permit more when it is answered again.
#[test]
fn an_ask_is_said_again_until_it_is_answered_and_its_answer_is_the_same() {
    let (mut one, mut home) = (One::new(0), One::new(6));
    home.permits.learn(home.now, &two_a_zone(), &home.table);
    home.wait(20 * SECOND);
    one.permits.learn(one.now, &two_a_zone(), &one.table);
    one.now = home.now;
    one.want();
    let first = one.effects.clone();
    let [Effect::Say(to, message)] = first[..] else { panic!("{first:?}") };
    assert_eq!(to, ip(6));
    let mut said = Vec::new();
    for _ in 0..3 {
        one.wait(10 * MS);
        assert_eq!(one.effects, first, "word for word");
        home.tell(ip(0), message);
        said.push(home.effects.clone());
    }
    assert!(said.iter().all(|s| *s == said[0]) && home.permits.counts.issued == 1, "{said:?}");
}

/// Those who get none are told to come one after the other.
#[test]
fn who_gets_none_is_told_a_time_that_nobody_else_was_told() {
    let (part, mut issuer) = (Part::new(10.0, 4.0), Issuer::default());
    let waits: Vec<u64> = (0..20).map(|_| issuer.issue(0, TENANT, 1, part, 1, 0).wait_us / MS).collect();
    assert_eq!(waits[..10], [100, 200, 300, 400, 500, 600, 700, 800, 900, 1000]);
    assert!(waits[10..].iter().all(|wait| *wait == 1000), "{waits:?}");
}

// ---- many proxies ----

/// What is done wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// A slot is given to somebody else while its holder still has a lease.
    GivenTwice,
    /// A home that hears nothing takes itself for fresh, while its slots go to somebody else.
    LeaseNotEnded,
    /// A process that starts has what an earlier one had saved up.
    RestartRemembers,
}

enum Event {
    Tick(usize),
    Want(usize),
    Message { from: usize, to: usize, life: u64, message: Permit },
    Disturb,
}

struct Many {
    now: u64,
    rng: fastrand::Rng,
    planted: Planted,
    state: State,
    table: Table,
    proxies: Vec<Permits>,
    lives: Vec<u64>,
    /// Cut off from the core, since when; from all others, until when.
    cut_off: BTreeMap<usize, u64>,
    alone: BTreeMap<usize, u64>,
    /// Stopped until then: what comes meanwhile is read afterwards.
    stopped: BTreeMap<usize, u64>,
    removed_at: BTreeMap<u64, u64>,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    kept: Vec<Option<Event>>,
    /// When each is to be woken next.
    ticks: Vec<u64>,
    tries: u64,
    sent: Vec<u64>,
    refused: u64,
}

impl Many {
    fn new(proxies: usize, quota: (f64, f64), planted: Planted, seed: u64) -> Many {
        let table = Table(BTreeMap::from([(TENANT, quota)]));
        let mut many = Many {
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
            planted,
            state: agreed(proxies),
            table,
            proxies: (0..proxies).map(|n| permits(n, seed * 1000 + n as u64)).collect(),
            lives: vec![0; proxies],
            cut_off: BTreeMap::new(),
            alone: BTreeMap::new(),
            stopped: BTreeMap::new(),
            removed_at: BTreeMap::new(),
            events: BinaryHeap::new(),
            kept: Vec::new(),
            ticks: vec![0; proxies],
            tries: 0,
            sent: Vec::new(),
            refused: 0,
        };
        many.tell_all();
        many
    }

    fn at(&mut self, at: u64, event: Event) {
        let number = self.kept.len();
        self.kept.push(Some(event));
        self.events.push(Reverse((at, number as u64, number)));
    }

    /// All that hear the core hold the newest state, and know it.
    fn tell_all(&mut self) {
        for n in 0..self.proxies.len() {
            let fooled = self.planted == Planted::LeaseNotEnded;
            if !self.cut_off.contains_key(&n) && !self.is_stopped(n) {
                self.proxies[n].learn(self.now, &self.state, &self.table);
                self.proxies[n].prove(Some(self.now));
            } else if fooled {
                self.proxies[n].prove(Some(self.now));
            }
        }
    }

    fn play(&mut self, until: u64, per_s: f64) {
        let gap = |rng: &mut fastrand::Rng| (-(1.0 - rng.f64()).ln() * 1e6 / per_s) as u64 + 1;
        let (first, n) = (gap(&mut self.rng), self.rng.usize(0..self.proxies.len()));
        self.at(first, Event::Want(n));
        self.at(SECOND, Event::Disturb);
        while let Some(Reverse((at, _, number))) = self.events.pop().filter(|e| e.0.0 < until) {
            self.now = at;
            let event = self.kept[number].take().expect("once");
            match event {
                Event::Disturb => {
                    self.disturb();
                    self.tell_all();
                    self.at(self.now + SECOND / 2, Event::Disturb);
                }
                Event::Want(n) => {
                    if !self.is_stopped(n) {
                        self.tries += 1;
                        self.with(n, |permits, now, table, effects, number| {
                            permits.want(now, TENANT, (number, 0), table, effects)
                        });
                    }
                    let (next, n) = (self.now + gap(&mut self.rng), self.rng.usize(0..self.proxies.len()));
                    self.at(next, Event::Want(n));
                }
                Event::Tick(n) => {
                    if !self.is_stopped(n) {
                        self.with(n, |permits, now, table, effects, _| permits.tick(now, table, effects));
                    }
                }
                Event::Message { from, to, life, message } => {
                    if self.is_stopped(to) {
                        self.at(self.stopped[&to], Event::Message { from, to, life, message });
                    } else if self.lives[to] == life {
                        self.with(to, |permits, now, table, effects, _| {
                            permits.heard(now, ip(from), message, table, effects)
                        });
                    }
                }
            }
        }
    }

    fn with(&mut self, n: usize, act: impl FnOnce(&mut Permits, u64, &Table, &mut Vec<Effect>, u64)) {
        let mut effects = Vec::new();
        act(&mut self.proxies[n], self.now, &self.table, &mut effects, self.tries);
        for effect in effects {
            match effect {
                Effect::Go { .. } => self.sent.push(self.now),
                Effect::Refuse { .. } => self.refused += 1,
                Effect::Say(to, message) => self.carry(n, to, message),
            }
        }
        let wake = self.proxies[n].wake_at().max(self.now + 1);
        if wake < self.ticks[n] || self.ticks[n] <= self.now {
            self.ticks[n] = wake;
            if wake < u64::MAX {
                self.at(wake, Event::Tick(n));
            }
        }
    }

    fn is_stopped(&self, n: usize) -> bool {
        self.stopped.get(&n).is_some_and(|until| self.now < *until)
    }

    /// Some are lost, some come late, some twice.
    fn carry(&mut self, from: usize, to: Ipv4Addr, message: Permit) {
        let Some(to) = (0..self.proxies.len()).find(|n| ip(*n) == to) else { return };
        if self.alone.contains_key(&from) || self.alone.contains_key(&to) || self.rng.u32(0..50) == 0 {
            return;
        }
        for _ in 0..if self.rng.u32(0..30) == 0 { 2 } else { 1 } {
            let late = if self.rng.u32(0..60) == 0 { self.rng.u64(0..2 * SECOND) } else { 0 };
            let delay = if from % 2 == to % 2 { MS } else { 35 * MS } + self.rng.u64(0..2 * MS) + late;
            let life = self.lives[to];
            self.at(self.now + delay, Event::Message { from, to, life, message });
        }
    }

    /// Something happens to somebody.
    fn disturb(&mut self) {
        let n = self.rng.usize(0..self.proxies.len());
        let now = self.now;
        self.alone.retain(|_, until| now < *until);
        let woken: Vec<usize> =
            self.stopped.iter().filter(|(_, until)| now >= **until).map(|(n, _)| *n).collect();
        woken.iter().for_each(|n| _ = self.stopped.remove(n));
        // Only what leads to the fault, where one is planted: what else happens makes homes send less.
        let kinds: &[u32] = match self.planted {
            Planted::Nothing => &[0, 1, 2, 3, 4, 5],
            Planted::RestartRemembers => &[0],
            Planted::GivenTwice | Planted::LeaseNotEnded => &[3, 4],
        };
        match kinds[self.rng.usize(0..kinds.len())] {
            0 => self.restart(n),
            1 => _ = self.alone.insert(n, now + self.rng.u64(0..3 * SECOND)),
            2 => _ = self.stopped.insert(n, now + self.rng.u64(0..30 * SECOND)),
            3 => _ = self.cut_off.insert(n, now),
            4 => self.remove(),
            _ => {
                let back = self.cut_off.keys().next().copied().filter(|_| self.rng.bool());
                back.into_iter().for_each(|n| _ = self.cut_off.remove(&n));
            }
        }
        self.give_away();
    }

    fn restart(&mut self, n: usize) {
        self.lives[n] += 1;
        self.stopped.remove(&n);
        let seed = self.rng.u64(..);
        let before = std::mem::replace(&mut self.proxies[n], permits(n, seed));
        if self.planted == Planted::RestartRemembers {
            // As if it had been there all the time.
            self.proxies[n].learn(0, &self.state, &self.table);
        }
        drop(before);
    }

    fn apply(&mut self, command: Command) {
        let rev = self.state.rev + 1;
        self.state.apply(self.now, rev, &command);
    }

    /// One that has been cut off for long is removed; or one that was removed comes back.
    fn remove(&mut self) {
        let long = self.cut_off.iter().find(|(_, since)| self.now > **since + 2 * SECOND).map(|(n, _)| *n);
        let Some(n) = long else {
            let all = 0..self.proxies.len();
            let missing =
                all.filter(|n| !self.state.nodes.contains_key(&ip(*n)) && !self.cut_off.contains_key(n));
            let missing: Vec<usize> = missing.collect();
            if !missing.is_empty() {
                self.apply(Command::Nodes(missing.into_iter().map(up).collect()));
            }
            return;
        };
        if self.state.nodes.contains_key(&ip(n)) {
            self.apply(Command::Nodes(vec![NodeChange::Gone { ip: ip(n) }]));
            self.removed_at.insert(self.state.rev, self.now);
        }
    }

    fn give_away(&mut self) {
        let after = match self.planted {
            Planted::GivenTwice | Planted::LeaseNotEnded => 0,
            _ => HANDOVER_US,
        };
        let mut zones = Vec::new();
        for (name, slots) in self.state.homes.zones() {
            let here: Vec<Ipv4Addr> =
                self.state.nodes.values().filter(|n| n.zone == name).map(|n| n.ip).collect();
            let free = slots.iter().enumerate().filter(|(_, s)| {
                s.holder.is_none() && self.removed_at.get(&s.epoch).is_some_and(|at| self.now >= at + after)
            });
            let given = free.filter(|_| !here.is_empty()).map(|(at, s)| Assignment {
                slot: at as u8,
                epoch: s.epoch,
                holder: here[at % here.len()],
            });
            let slots: Vec<Assignment> = given.collect();
            if !slots.is_empty() {
                zones.push(ZoneAssignment { zone: name.to_string(), slots });
            }
        }
        if !zones.is_empty() {
            self.apply(Command::Quota(QuotaChange::Assign(zones)));
        }
    }

    /// The most that were sent in a window of this length beyond what may be.
    fn excess(&self, window: u64) -> f64 {
        let (rate, stock) = self.table.0[&TENANT];
        let most = stock + rate * (window + VALID_US) as f64 / 1e6;
        let mut first = 0;
        let mut excess = f64::NEG_INFINITY;
        for (last, at) in self.sent.iter().enumerate() {
            while self.sent[first] + window < *at {
                first += 1;
            }
            excess = excess.max((last + 1 - first) as f64 - most);
        }
        excess
    }

    fn broken(&self) -> bool {
        [SECOND / 2, SECOND, 5 * SECOND, 20 * SECOND].iter().any(|window| self.excess(*window) > 0.0)
    }
}

/// Quotas of 10 to 240 a second over 87 and 820 proxies, flooded, while messages are lost, late and doubled, and proxies are
/// stopped, restarted, cut off, removed and replaced.
#[test]
fn what_all_send_stays_within_the_quota_whatever_happens_to_them() {
    // The last: what part of the quota is sent at the least, though many homes are away.
    for (proxies, rate, stock, seeds, least) in [
        (87, 10.0, 30.9, 12, 0.5),
        (87, 24.0, 49.0, 12, 0.5),
        (87, 240.0, 327.6, 2, 0.5),
        (820, 24.0, 49.0, 4, 0.5),
        (9, 60.0, 95.4, 12, 0.2),
    ] {
        for seed in 0..seeds {
            let mut many = Many::new(proxies, (rate, stock), Planted::Nothing, seed);
            many.play(60 * SECOND, 5.0 * rate);
            let (excess, sent) = (many.excess(5 * SECOND), many.sent.len() as f64);
            assert!(
                !many.broken(),
                "{proxies} proxies, {rate} a second, seed {seed}: {excess} too many in 5 s"
            );
            assert!(
                sent > least * rate * 60.0,
                "{proxies} proxies, {rate} a second, seed {seed}: {sent} sent"
            );
        }
    }
}

#[test]
fn what_is_done_wrong_breaks_it() {
    for (planted, proxies) in
        [(Planted::GivenTwice, 18), (Planted::LeaseNotEnded, 18), (Planted::RestartRemembers, ZONES)]
    {
        let broken = |seed: &u64| {
            let mut many = Many::new(proxies, (60.0, 60.0), planted, *seed);
            many.play(60 * SECOND, 300.0);
            many.broken()
        };
        let seeds = (0..12).filter(broken).count();
        assert!(seeds > 0, "{planted:?}: none of 12 seeds broken");
    }
}

/// Without a flood nearly all is served, also where one zone wants nine times what another one does.
#[test]
fn below_the_quota_next_to_nothing_is_refused_however_it_is_spread() {
    for uneven in [false, true] {
        let (mut many, mut rng) =
            (Many::new(87, (24.0, 49.0), Planted::Nothing, 3), fastrand::Rng::with_seed(4));
        let mut wanted = 0;
        for step in 0..40_000 {
            many.now = 5 * SECOND + step * MS;
            many.tell_all_at(step);
            while let Some(Reverse((at, _, number))) =
                many.events.peek().copied().filter(|e| e.0.0 <= many.now)
            {
                many.events.pop();
                many.now = at.max(many.now);
                match many.kept[number].take().expect("once") {
                    Event::Tick(n) => many.with(n, |p, now, table, effects, _| p.tick(now, table, effects)),
                    Event::Message { from, to, message, .. } => {
                        many.with(to, |p, now, table, effects, _| {
                            p.heard(now, ip(from), message, table, effects)
                        });
                    }
                    _ => {}
                }
            }
            // 15 a second of 24.
            if rng.f64() < 0.015 {
                let zone = if uneven && rng.f64() < 0.9 { 0 } else { rng.usize(0..ZONES) };
                let n = zone + ZONES * rng.usize(0..14);
                many.tries += 1;
                wanted += 1;
                many.with(n, |p, now, table, effects, number| {
                    p.want(now, TENANT, (number, 0), table, effects)
                });
            }
        }
        assert!(many.refused * 50 < wanted, "uneven {uneven}: {} of {wanted} refused", many.refused);
    }
}

impl Many {
    fn tell_all_at(&mut self, step: u64) {
        if step.is_multiple_of(500) {
            self.tell_all();
        }
    }
}
