//! A store that comes back: what it may say of itself before it has all, and what of a later program it refuses.

use cluster::state::{Command, State};
use config_store::chest::{Chest, Input, Output, Peer};
use consensus::{Entry, Message, Payload, Roster, Saved};
use std::net::Ipv4Addr;

const LEADER: Ipv4Addr = ip(1);
const ME: Ipv4Addr = ip(3);

const fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 8, 0, last)
}

struct Store {
    chest: Chest,
    saved: Saved,
    now: u64,
    sent: Vec<Message>,
    /// Its questions of how far the log is agreed.
    reads: Vec<u64>,
}

impl Store {
    fn new() -> Store {
        let saved = Saved::founding([ip(1), ip(2), ip(3)]);
        let chest = Chest::new(ME, 0, saved.clone(), vec![LEADER], 1, 0).expect("readable");
        Store { chest, saved, now: 0, sent: Vec::new(), reads: Vec::new() }
    }

    fn hear(&mut self, message: Message) {
        self.told(Peer::Agree { from_disk: 0, message });
    }

    fn told(&mut self, peer: Peer) {
        self.now += 1000;
        let mut inputs = vec![Input::Peer(LEADER, peer)];
        while let Some(input) = inputs.pop() {
            let mut out = Vec::new();
            self.chest.handle(self.now, input, &mut out);
            for output in out {
                match output {
                    Output::Write(write) => {
                        write.apply(&mut self.saved);
                        inputs.push(Input::Written(write.number));
                    }
                    Output::Peer(_, Peer::Agree { message, .. }) => self.sent.push(message),
                    Output::Peer(_, Peer::Read { ticket }) => self.reads.push(ticket),
                    _ => {}
                }
            }
        }
    }

    fn append(&mut self, prev: u64, commit: u64, payloads: Vec<Payload>) {
        let at = |n: usize| prev + 1 + n as u64;
        let entries: Vec<Entry> = payloads
            .into_iter()
            .enumerate()
            .map(|(n, payload)| Entry { term: 5, index: at(n), payload })
            .collect();
        let prev_term = if prev == 0 { 0 } else { 5 };
        self.hear(Message::Append { term: 5, round: 1, prev, prev_term, commit, entries });
        // A leader answers once an entry of its own term counts.
        if commit > 0 {
            for ticket in std::mem::take(&mut self.reads) {
                self.told(Peer::Reads { ticket, result: Ok(commit) });
            }
        }
    }

    fn part(&mut self, index: u64, data: &[u8], offset: usize, end: usize) {
        let roster = Roster { members: (1..4).map(|n| (ip(n), 0)).collect() };
        self.hear(Message::Part {
            term: 5,
            round: 1,
            index,
            index_term: 5,
            roster,
            roster_index: 0,
            total: data.len() as u64,
            offset: offset as u64,
            bytes: data[offset..end].to_vec(),
        });
    }
}

fn evacuate(zone: &str) -> Payload {
    Payload::Data(
        postcard::to_stdvec(&Command::Evacuate { zone: zone.into(), on: true }).expect("plain data"),
    )
}

fn evacuated(rev: u64, count: u64) -> Vec<u8> {
    let mut state = State::default();
    for n in 1..=count {
        state.apply(0, n, &Command::Evacuate { zone: format!("zone {n}"), on: true });
    }
    state.rev = rev;
    state.write(0)
}

#[test]
fn parts_of_a_snapshot_do_not_make_a_store_fresh_and_what_follows_it_does() {
    let mut store = Store::new();
    let data = evacuated(300, 90);
    store.part(300, &data, 0, data.len() / 2);
    assert_eq!(store.chest.standing().leader, Some(LEADER), "it hears who leads");
    assert!(!store.chest.fresh(), "and has nothing yet");
    store.part(300, &data, data.len() / 2, data.len());
    assert_eq!(store.chest.copy.rev(), 300);
    assert!(!store.chest.fresh(), "how far the others have come since is not told");
    store.append(300, 301, vec![evacuate("a"), evacuate("b")]);
    assert_eq!((store.chest.copy.rev(), store.chest.fresh()), (301, true));
    assert_eq!(store.chest.copy.state.evacuated.len(), 91);
}

/// Of an older snapshot, which the leader has given up: it takes nothing from the newer one that is coming.
#[test]
fn a_part_that_was_overtaken_is_passed_over() {
    let mut store = Store::new();
    let (old, new) = (evacuated(256, 80), evacuated(300, 90));
    store.part(256, &old, 0, 100);
    store.part(300, &new, 0, 200);
    store.part(256, &old, 100, 300);
    store.part(256, &old, 0, 100);
    store.part(300, &new, 0, 200);
    store.part(300, &new, 200, new.len());
    assert_eq!((store.chest.copy.rev(), store.chest.copy.state.evacuated.len()), (300, 90));
    let got = |m: &Message| match m {
        Message::Got { index, offset, .. } => Some((*index, *offset)),
        _ => None,
    };
    let told: Vec<(u64, u64)> = store.sent.iter().filter_map(got).collect();
    // Of the first part nothing is said: the term is not on disk yet.
    assert_eq!(told, [(300, 200), (300, 200), (300, new.len() as u64)]);
}

#[test]
fn a_leader_that_does_not_know_yet_what_counts_makes_nobody_fresh() {
    let mut store = Store::new();
    store.append(0, 0, vec![Payload::Nothing]);
    assert!(!store.chest.fresh(), "nothing of its own term counts yet");
    store.append(1, 1, vec![evacuate("a")]);
    assert!(store.chest.fresh());
}

#[test]
fn a_state_of_a_later_program_is_refused_and_the_disk_stays_as_it_was() {
    let mut store = Store::new();
    store.append(0, 2, vec![Payload::Nothing, evacuate("a")]);
    assert!(store.chest.fresh());
    let mut data = evacuated(300, 9);
    data[0] = 77;
    let (before, answers) = (store.saved.clone(), store.sent.len());
    store.part(300, &data, 0, data.len());
    let why = store.chest.unreadable().expect("refused");
    assert!(why.contains("form 77") && why.contains("this program reads"), "{why}");
    assert_eq!(store.saved, before, "a program that can read it begins from what was there");
    assert_eq!((store.chest.fresh(), store.chest.standing().leader), (false, None));
    store.append(300, 301, vec![evacuate("b")]);
    assert_eq!((store.chest.copy.rev(), store.sent.len()), (2, answers), "it takes no part any more");
    // With its disk it is a member again.
    let again = Chest::new(ME, 0, store.saved.clone(), vec![LEADER], 1, 0).expect("readable");
    assert!(again.unreadable().is_none());
}

#[test]
fn a_command_of_a_later_program_is_refused_and_nothing_after_it_is_applied() {
    let mut store = Store::new();
    store.append(0, 2, vec![Payload::Nothing, evacuate("a")]);
    let unknown = Payload::Data(vec![200, 1, 2, 3]);
    store.append(2, 5, vec![evacuate("b"), unknown, evacuate("c")]);
    let why = store.chest.unreadable().expect("refused");
    assert!(why.contains("entry 4 is no command of this program"), "{why}");
    assert!(!store.chest.fresh());
    let zones: Vec<&str> = store.chest.copy.state.evacuated.iter().map(String::as_str).collect();
    assert_eq!((store.chest.copy.rev(), zones), (3, vec!["a", "b"]));
}

/// Configurations of 60 KB: the log that is kept does not come to hundreds of them.
#[test]
fn a_log_of_large_changes_is_cut_by_its_bytes() {
    let mut store = Store::new();
    store.append(0, 1, vec![Payload::Nothing]);
    for n in 1..120 {
        // Refused by every copy alike, as it builds on no version; the log holds it all the same.
        let change = cluster::state::Change { base: 9, patch: false, body: vec![b' '; 60_000] };
        let data = postcard::to_stdvec(&Command::Configure(change)).expect("plain data");
        store.append(n, n, vec![Payload::Data(data)]);
    }
    let bytes: usize = store.saved.entries.iter().map(Entry::size).sum();
    assert!(store.saved.snapshot.index > 100, "{}", store.saved.snapshot.index);
    assert!(bytes < 8 * 64 * 1024, "{bytes} bytes of entries");
}
