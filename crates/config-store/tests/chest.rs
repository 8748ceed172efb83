//! Stores on machines of the test's own: it carries their messages, keeps their disks and tells them the time.

use cluster::copy::Copy;
use cluster::state::{Change, Command, Done, State};
use cluster::talk::{FRESH_US, FromStore, ToStore, Unsure};
use config_store::chest::{Chest, Input, Output, Peer};
use consensus::Saved;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

const SECOND: u64 = 1_000_000;
const LINK: u64 = 1;
const HOP_US: u64 = 500;

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 8, 0, last)
}

struct Machine {
    chest: Chest,
    saved: Saved,
    /// What the registry on this machine makes of the store's news, and what else it was last told.
    copy: Copy,
    standing: Option<(bool, bool)>,
    results: BTreeMap<u64, Result<(u64, Done), Unsure>>,
    reads: BTreeMap<u64, Result<u64, Unsure>>,
}

struct Site {
    now: u64,
    machines: BTreeMap<Ipv4Addr, Machine>,
    on_the_way: VecDeque<(u64, Ipv4Addr, Ipv4Addr, Peer)>,
    /// From, to: nothing arrives.
    cut: BTreeSet<(Ipv4Addr, Ipv4Addr)>,
    tickets: u64,
    starts: BTreeMap<Ipv4Addr, u64>,
}

/// `life`: how often it was started before.
fn chest(me: Ipv4Addr, saved: Saved, life: u64, now: u64) -> Chest {
    let seed = u64::from(me.octets()[3]) + (life << 8);
    Chest::new(me, 0, saved, vec![ip(1), ip(2), ip(3)], seed, now).expect("readable")
}

fn evacuate(zone: &str) -> Command {
    Command::Evacuate { zone: zone.into(), on: true }
}

fn put(version: u32) -> Command {
    let body = format!(
        r#"{{"config_version":"{version:08x}","limits":{{}},"route_list":{{"column_set":[],"row_set":[]}},
        "service_list":{{"column_set":[],"row_set":[]}}}}"#
    );
    Command::Configure(Change { base: version - 1, patch: false, body: body.into_bytes() })
}

impl Site {
    /// Three stores with a leader, and a registry beside each.
    fn new() -> Site {
        let (now, tickets) = (SECOND, 0);
        let (machines, on_the_way, cut) = (BTreeMap::new(), VecDeque::new(), BTreeSet::new());
        let mut site = Site { now, machines, on_the_way, cut, tickets, starts: BTreeMap::new() };
        for me in [ip(1), ip(2), ip(3)] {
            site.start(me, Saved::founding([ip(1), ip(2), ip(3)]));
        }
        site.pass(3 * SECOND);
        assert!(site.machines.values().all(|m| m.standing.is_some_and(|s| s.0)), "all are fresh");
        site
    }

    fn start(&mut self, me: Ipv4Addr, saved: Saved) {
        let life = self.starts.entry(me).and_modify(|n| *n += 1).or_insert(0);
        let chest = chest(me, saved.clone(), *life, self.now);
        let (results, reads) = (BTreeMap::new(), BTreeMap::new());
        let machine = Machine { chest, saved, copy: Copy::default(), standing: None, results, reads };
        self.machines.insert(me, machine);
        self.tell(me, Input::Local(LINK, ToStore::Follow { rev: 0 }));
    }

    fn tell(&mut self, me: Ipv4Addr, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let Some(m) = self.machines.get_mut(&me) else { return };
            let mut out = Vec::new();
            m.chest.handle(self.now, input, &mut out);
            for output in out {
                match output {
                    Output::Write(write) => {
                        write.apply(&mut m.saved);
                        inputs.push_back(Input::Written(write.number));
                    }
                    Output::Peer(to, peer) if !self.cut.contains(&(me, to)) => {
                        self.on_the_way.push_back((self.now + HOP_US, me, to, peer));
                    }
                    Output::Peer(..) => {}
                    Output::Local(_, FromStore::News(news)) => _ = m.copy.take(self.now, news),
                    Output::Local(_, FromStore::Standing { fresh_ms, leads, .. }) => {
                        m.standing = Some((fresh_ms.is_some(), leads));
                    }
                    Output::Local(_, FromStore::Proposed { ticket, result }) => {
                        assert!(m.results.insert(ticket, result).is_none(), "told once");
                    }
                    Output::Local(_, FromStore::Reads { ticket, result }) => {
                        assert!(m.reads.insert(ticket, result).is_none(), "told once");
                    }
                }
            }
        }
    }

    fn pass(&mut self, us: u64) {
        let end = self.now + us;
        loop {
            let wakes = self.machines.iter().map(|(ip, m)| (m.chest.wake_at(), *ip)).min();
            let arrives = self.on_the_way.front().map_or(u64::MAX, |m| m.0);
            let (wake, who) = wakes.expect("a machine");
            if wake.min(arrives) > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(wake.min(arrives));
            if arrives <= wake {
                let (_, from, to, peer) = self.on_the_way.pop_front().expect("just seen");
                if !self.cut.contains(&(from, to)) {
                    self.tell(to, Input::Peer(from, peer));
                }
            } else {
                self.tell(who, Input::Tick);
            }
        }
    }

    fn propose(&mut self, at: Ipv4Addr, command: Command) -> u64 {
        self.tickets += 1;
        self.tell(at, Input::Local(LINK, ToStore::Propose { ticket: self.tickets, command }));
        self.tickets
    }

    fn done(&self, at: Ipv4Addr, ticket: u64) -> Option<&Result<(u64, Done), Unsure>> {
        self.machines[&at].results.get(&ticket)
    }

    fn leader(&self) -> Ipv4Addr {
        let leads = self.machines.iter().filter(|(_, m)| m.chest.leads());
        leads.max_by_key(|(_, m)| m.chest.standing().term).map(|(ip, _)| *ip).expect("one leads")
    }

    fn followers(&self) -> Vec<Ipv4Addr> {
        let leader = self.leader();
        self.machines.keys().copied().filter(|ip| *ip != leader).collect()
    }

    /// Nothing that `from` sends arrives; what the others send to it does.
    fn mute(&mut self, from: Ipv4Addr) {
        self.cut.extend(self.machines.keys().filter(|to| **to != from).map(|to| (from, *to)));
    }
}

#[test]
fn a_call_at_any_store_comes_back_with_what_the_state_made_of_it() {
    let mut site = Site::new();
    let (leader, follower) = (site.leader(), site.followers()[0]);
    let current = |version| Ok(Done::Conflict { current: version });
    for (at, command, is) in [
        (follower, put(1), Ok(Done::Taken)),
        (leader, put(1), Ok(Done::Taken)), // the same again
        (follower, put(3), current(1)),
        (leader, put(2), Ok(Done::Taken)),
        (follower, evacuate("a"), Ok(Done::Taken)),
    ] {
        let ticket = site.propose(at, command);
        site.pass(SECOND / 5);
        let result = site.done(at, ticket).cloned().expect("told");
        let rev = result.as_ref().map(|r| r.0).expect("agreed");
        assert_eq!(result.map(|r| r.1), is);
        assert!(site.machines[&at].copy.rev() >= rev, "its registry has the news");
    }
    let change = Change { base: 2, patch: true, body: b"{}".to_vec() };
    let ticket = site.propose(follower, Command::Configure(change));
    site.pass(SECOND / 5);
    assert!(matches!(site.done(follower, ticket), Some(Ok((_, Done::Invalid(why)))) if !why.is_empty()));
    // A read is good for all that was acknowledged, wherever it is asked for.
    for at in [follower, leader] {
        site.tell(at, Input::Local(LINK, ToStore::Read { ticket: 99 }));
        site.pass(SECOND / 5);
        let rev = site.machines[&at].reads[&99].expect("agreed");
        assert!(rev >= site.machines[&leader].chest.copy.rev());
    }
    let states: BTreeSet<Vec<u8>> = site.machines.values().map(|m| m.copy.state.write(site.now)).collect();
    assert_eq!(states.len(), 1, "all copies are alike");
}

#[test]
fn a_store_that_hears_a_leader_but_lags_behind_what_it_tells_is_not_fresh() {
    let mut site = Site::new();
    let behind = site.followers()[0];
    site.mute(behind);
    let leader = site.leader();
    // It still takes what comes in order; what it missed cannot be mended, as no answer of it arrives.
    site.cut.insert((leader, behind));
    let ticket = site.propose(leader, evacuate("a"));
    site.pass(SECOND / 10);
    assert!(matches!(site.done(leader, ticket), Some(Ok(_))), "agreed by the two others");
    site.cut.remove(&(leader, behind));
    let rev = site.machines[&leader].chest.copy.rev();
    site.pass(3 * SECOND);
    let m = &site.machines[&behind];
    assert_eq!(m.chest.standing().leader, Some(leader), "it hears who leads");
    assert!(m.chest.copy.rev() < rev, "and has not what the leader tells of");
    assert_eq!(m.standing, Some((false, false)));
    site.cut.clear();
    site.pass(2 * SECOND);
    let m = &site.machines[&behind];
    assert_eq!((m.standing, m.copy.rev()), (Some((true, false)), site.machines[&leader].copy.rev()));
}

#[test]
fn without_a_leader_nothing_is_taken_and_what_was_handed_on_is_unclear() {
    let mut site = Site::new();
    let (first, others) = (site.leader(), site.followers());
    // Handed to a leader that is gone: perhaps it was taken.
    let lost = site.machines.remove(&first).expect("there");
    let ticket = site.propose(others[0], evacuate("a"));
    site.pass(HOP_US);
    assert_eq!(site.done(others[0], ticket), None);
    site.pass(3 * SECOND);
    assert_eq!(site.done(others[0], ticket), Some(&Err(Unsure::Perhaps)));
    let again = site.propose(others[0], evacuate("a"));
    site.pass(SECOND);
    assert!(matches!(site.done(others[0], again), Some(Ok(_))), "the two others have a leader");
    // One alone does not agree with itself; the proposal of a leader that loses the others is unclear, too.
    let (leader, other) = (site.leader(), site.followers()[0]);
    let kept = site.machines.remove(&other).expect("there");
    let ticket = site.propose(leader, evacuate("b"));
    site.pass(5 * SECOND);
    assert_eq!(site.done(leader, ticket), Some(&Err(Unsure::Perhaps)));
    let ticket = site.propose(leader, evacuate("c"));
    assert_eq!(site.done(leader, ticket), Some(&Err(Unsure::Not)));
    assert!(!site.machines[&leader].chest.fresh());
    // All come back with their disks: what was acknowledged is there.
    site.start(other, kept.saved);
    site.start(first, lost.saved);
    site.pass(5 * SECOND);
    assert!(site.machines.values().all(|m| m.copy.state.evacuated.contains("a")));
    assert!(site.machines.values().all(|m| m.standing.is_some_and(|s| s.0)));
}

#[test]
fn a_store_that_is_started_again_has_the_state_it_had() {
    let mut site = Site::new();
    let at = site.followers()[0];
    site.propose(at, put(1));
    // Enough for a snapshot, and some commands after it.
    for n in 0..300 {
        site.propose(at, evacuate(&format!("z{n}")));
        site.pass(10_000);
    }
    site.pass(SECOND);
    for (me, m) in &site.machines {
        let base = m.saved.snapshot.index;
        assert!(base > 250 && base < m.chest.copy.rev(), "a snapshot, and more: {base}");
        let written = m.chest.copy.state.write(site.now);
        let again = chest(*me, m.saved.clone(), 1, site.now);
        let at_snapshot = State::read(site.now, &m.saved.snapshot.data).expect("readable");
        assert_eq!(again.copy.rev(), base, "what follows is known once the others say that it is agreed");
        assert!(at_snapshot.evacuated.len() > 200 && at_snapshot.version() == 1);
        assert_eq!(State::read(site.now, &written).expect("readable").write(site.now), written);
    }
    let before: Vec<u8> = site.machines[&at].chest.copy.state.write(site.now);
    let all: Vec<(Ipv4Addr, Saved)> = site.machines.iter().map(|(ip, m)| (*ip, m.saved.clone())).collect();
    site.on_the_way.clear();
    all.into_iter().for_each(|(ip, saved)| site.start(ip, saved));
    site.pass(3 * SECOND);
    for m in site.machines.values() {
        let mut state = m.copy.state.clone();
        assert!(
            state.rev > State::read(site.now, &before).expect("readable").rev,
            "a new leader's first entry"
        );
        state.rev = State::read(site.now, &before).expect("readable").rev;
        assert_eq!(state.write(site.now), before);
    }
    // A state in a form that this program cannot read ends the start, and names the form.
    let mut saved = site.machines[&at].saved.clone();
    let mut snapshot = (*saved.snapshot).clone();
    snapshot.data[0] = 9;
    saved.snapshot = snapshot.into();
    let refused = Chest::new(at, 0, saved, Vec::new(), 1, site.now).err().expect("refused");
    assert!(refused.contains("form 9"), "{refused}");
}

#[test]
fn a_store_is_fresh_by_what_it_asked_and_was_told_since() {
    // Cut off whole, unheard, or deaf: each ends it within the bound, for who leads and for who follows.
    for (heard, hears) in [(false, false), (false, true), (true, false)] {
        for leads in [true, false] {
            let mut site = Site::new();
            let who = if leads { site.leader() } else { site.followers()[0] };
            for other in [ip(1), ip(2), ip(3)].into_iter().filter(|o| *o != who) {
                if !heard {
                    site.cut.insert((who, other));
                }
                if !hears {
                    site.cut.insert((other, who));
                }
            }
            site.pass(FRESH_US + 1);
            assert_eq!(site.machines[&who].standing.map(|s| s.0), Some(false), "{heard} {hears} {leads}");
            site.pass(4 * SECOND);
            let others = site.machines.iter().filter(|(ip, _)| **ip != who);
            assert!(others.clone().all(|(_, m)| m.standing.is_some_and(|s| s.0)), "{heard} {hears} {leads}");
            site.cut.clear();
            site.pass(3 * SECOND);
            assert!(site.machines[&who].standing.is_some_and(|s| s.0), "{heard} {hears} {leads}");
        }
    }
}

#[test]
fn a_leader_that_is_lost_leaves_the_others_fresh_until_there_is_another() {
    let mut site = Site::new();
    let first = site.leader();
    site.machines.remove(&first);
    for _ in 0..40 {
        site.pass(SECOND / 20);
        assert!(
            site.machines.values().all(|m| m.standing.is_some_and(|s| s.0)),
            "servers need not go elsewhere"
        );
    }
}

#[test]
fn a_duty_lands_in_its_term_or_never() {
    let mut site = Site::new();
    let (leader, other) = (site.leader(), site.followers()[0]);
    let term = site.machines[&leader].chest.standing().term;
    let duty = |site: &mut Site, at: Ipv4Addr, term: u64, zone: &str| {
        site.tickets += 1;
        let (ticket, command) = (site.tickets, evacuate(zone));
        site.tell(at, Input::Local(LINK, ToStore::Duty { ticket, term, command }));
        ticket
    };
    let late = duty(&mut site, leader, term - 1, "a");
    assert_eq!(site.done(leader, late), Some(&Err(Unsure::Not)), "a term that is over");
    let elsewhere = duty(&mut site, other, term, "a");
    assert_eq!(site.done(other, elsewhere), Some(&Err(Unsure::Not)), "it is not handed on");
    let taken = duty(&mut site, leader, term, "b");
    site.pass(SECOND);
    assert!(matches!(site.done(leader, taken), Some(Ok(_))));
    // The leader is stopped, others elect another; the first thing that it reads when it wakes is a duty.
    let stopped = site.machines.remove(&leader).expect("there");
    site.pass(5 * SECOND);
    site.machines.insert(leader, stopped);
    let woken = duty(&mut site, leader, term, "c");
    assert_eq!(site.done(leader, woken), Some(&Err(Unsure::Not)));
    site.pass(5 * SECOND);
    assert!(site.machines.values().all(|m| !m.copy.state.evacuated.contains("c")), "acted late");
    assert!(site.machines.values().all(|m| m.copy.state.evacuated.contains("b")));
}

#[test]
fn a_spare_serves_and_takes_the_place_of_one_that_is_asked_to_end() {
    for leads in [false, true] {
        let mut site = Site::new();
        let spare = ip(4);
        site.start(spare, Saved::blank());
        let seeds = vec![ip(1), ip(2), ip(3)];
        for me in [ip(1), ip(2), ip(3), spare] {
            site.tell(me, Input::Settings { size: Some(3), seeds: seeds.clone() });
        }
        site.pass(2 * SECOND);
        assert_eq!(site.machines[&spare].standing, Some((true, false)), "fresh, though it does not count");
        let ticket = site.propose(spare, evacuate("a"));
        site.pass(SECOND / 5);
        assert!(matches!(site.done(spare, ticket), Some(Ok(_))), "it hands calls to the leader");
        // One is asked to end: it goes on until the spare has its place.
        let leader = site.leader();
        let leaver = if leads { leader } else { site.followers()[0] };
        let asked = site.now;
        site.tell(leaver, Input::Stop);
        while site.machines[&leaver].chest.ends_at().expect("asked") > site.now {
            site.pass(10_000);
        }
        assert!(site.now - asked < SECOND, "with a spare that has caught up that is soon");
        site.machines.remove(&leaver);
        site.pass(SECOND);
        // One more loss is borne, whoever it is.
        let next = site.leader();
        site.machines.remove(&next);
        site.pass(4 * SECOND);
        let at = *site.machines.keys().next().expect("two are left");
        let ticket = site.propose(at, evacuate("b"));
        site.pass(SECOND / 2);
        assert!(matches!(site.done(at, ticket), Some(Ok(_))), "{leads}: {:?}", site.done(at, ticket));
    }
}

#[test]
fn without_a_spare_one_that_is_asked_to_end_ends_soon_and_stays_a_member() {
    let mut site = Site::new();
    let (leader, asked) = (site.leader(), site.now);
    site.tell(leader, Input::Stop);
    let ends = site.machines[&leader].chest.ends_at();
    assert_eq!(ends, Some(asked + 400_000));
    site.pass(400_000);
    assert_ne!(site.leader(), leader, "another leads");
    let gone = site.machines.remove(&leader).expect("there");
    site.pass(SECOND);
    site.start(leader, gone.saved);
    site.pass(SECOND);
    assert!(site.machines.values().all(|m| m.standing.is_some_and(|s| s.0)));
}

/// Seen by reading, where core machines end in series: a store that has just started again is told what became of a call of
/// its life before, under a number that it has given to another call since, and would pass that on as the acknowledgement
/// of what nobody has agreed on. The numbers of two lives must not meet.
#[test]
fn an_answer_to_a_call_of_an_earlier_life_is_no_answer_to_another() {
    let mut site = Site::new();
    let (leader, me) = (site.leader(), site.followers()[0]);
    let saved = site.machines[&me].saved.clone();
    // Its first life is asked, and the answer waits on its way.
    site.start(me, saved.clone());
    site.pass(SECOND / 2);
    site.propose(me, evacuate("a"));
    let answers = |m: &(u64, Ipv4Addr, Ipv4Addr, Peer)| m.2 == me && matches!(m.3, Peer::Proposed { .. });
    let late = loop {
        if let Some(at) = site.on_the_way.iter().position(answers) {
            break site.on_the_way.remove(at).expect("just seen").3;
        }
        site.pass(HOP_US);
    };
    // The next life is as old when it is asked, and what it hands on is lost.
    site.start(me, saved);
    site.pass(SECOND / 2);
    site.cut.insert((me, leader));
    let second = site.propose(me, evacuate("b"));
    site.tell(me, Input::Peer(leader, late));
    assert_eq!(site.done(me, second), None, "nobody has agreed on it");
}
