//! A replica that catches up: it does not count as fresh before it holds all committed entries, and it refuses a snapshot
//! or command of a later version without changing its disk.

use cluster::state::{Command, State};
use config_store::replica::{Input, Output, Peer, Replica};
use consensus::{Entry, Membership, Message, Payload, PersistentState};
use std::net::Ipv4Addr;

const LEADER: Ipv4Addr = ip(1);
const ME: Ipv4Addr = ip(3);

const fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 8, 0, last)
}

struct Follower {
    replica: Replica,
    saved: PersistentState,
    now: u64,
    sent: Vec<Message>,
    /// Tickets of the reads that it sent to the leader.
    reads: Vec<u64>,
}

impl Follower {
    fn new() -> Follower {
        let saved = PersistentState::founding([ip(1), ip(2), ip(3)]);
        let replica = Replica::new(ME, 0, saved.clone(), vec![LEADER], 1, 0).expect("readable");
        Follower { replica, saved, now: 0, sent: Vec::new(), reads: Vec::new() }
    }

    fn receive_message(&mut self, message: Message) {
        self.receive(Peer::Agree { from_disk: 0, message });
    }

    fn receive(&mut self, peer: Peer) {
        self.now += 1000;
        let mut inputs = vec![Input::Peer(LEADER, peer)];
        while let Some(input) = inputs.pop() {
            let mut out = Vec::new();
            self.replica.handle(self.now, input, &mut out);
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

    fn receive_append(&mut self, prev_index: u64, commit: u64, payloads: Vec<Payload>) {
        let index = |n: usize| prev_index + 1 + n as u64;
        let entries: Vec<Entry> = payloads
            .into_iter()
            .enumerate()
            .map(|(n, payload)| Entry { term: 5, index: index(n), payload })
            .collect();
        let prev_term = if prev_index == 0 { 0 } else { 5 };
        self.receive_message(Message::AppendEntries {
            term: 5,
            round: 1,
            prev_index,
            prev_term,
            commit,
            entries,
        });
        // A leader answers reads once an entry of its own term is committed.
        if commit > 0 {
            for ticket in std::mem::take(&mut self.reads) {
                self.receive(Peer::Reads { ticket, result: Ok(commit) });
            }
        }
    }

    fn receive_part(&mut self, index: u64, data: &[u8], offset: usize, end: usize) {
        let membership = Membership { members: (1..4).map(|n| (ip(n), 0)).collect() };
        self.receive_message(Message::SnapshotChunk {
            term: 5,
            round: 1,
            index,
            index_term: 5,
            membership,
            membership_index: 0,
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

/// An encoded state at revision `rev` with `count` evacuated zones.
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
    let mut follower = Follower::new();
    let data = evacuated(300, 90);
    follower.receive_part(300, &data, 0, data.len() / 2);
    assert_eq!(follower.replica.status().leader, Some(LEADER), "it knows the leader");
    assert!(!follower.replica.fresh(), "and has no entries yet");
    follower.receive_part(300, &data, data.len() / 2, data.len());
    assert_eq!(follower.replica.copy.rev(), 300);
    assert!(!follower.replica.fresh(), "the commit index of the others is not known yet");
    follower.receive_append(300, 301, vec![evacuate("a"), evacuate("b")]);
    assert_eq!((follower.replica.copy.rev(), follower.replica.fresh()), (301, true));
    assert_eq!(follower.replica.copy.state.evacuated.len(), 91);
}

/// Late parts of an older snapshot, which the leader has abandoned, must not disturb the transfer of the newer one.
#[test]
fn late_parts_of_an_older_snapshot_are_ignored() {
    let mut follower = Follower::new();
    let (old, new) = (evacuated(256, 80), evacuated(300, 90));
    follower.receive_part(256, &old, 0, 100);
    follower.receive_part(300, &new, 0, 200);
    follower.receive_part(256, &old, 100, 300);
    follower.receive_part(256, &old, 0, 100);
    follower.receive_part(300, &new, 0, 200);
    follower.receive_part(300, &new, 200, new.len());
    assert_eq!((follower.replica.copy.rev(), follower.replica.copy.state.evacuated.len()), (300, 90));
    let received = |m: &Message| match m {
        Message::SnapshotChunkResponse { index, offset, .. } => Some((*index, *offset)),
        _ => None,
    };
    let acknowledged: Vec<(u64, u64)> = follower.sent.iter().filter_map(received).collect();
    // The first part is not acknowledged: the term is not on disk yet.
    assert_eq!(acknowledged, [(300, 200), (300, 200), (300, new.len() as u64)]);
}

#[test]
fn a_leader_without_a_committed_entry_of_its_term_makes_nobody_fresh() {
    let mut follower = Follower::new();
    follower.receive_append(0, 0, vec![Payload::Noop]);
    assert!(!follower.replica.fresh(), "no entry of its own term is committed yet");
    follower.receive_append(1, 1, vec![evacuate("a")]);
    assert!(follower.replica.fresh());
}

#[test]
fn a_state_of_a_later_program_is_refused_and_the_disk_stays_as_it_was() {
    let mut follower = Follower::new();
    follower.receive_append(0, 2, vec![Payload::Noop, evacuate("a")]);
    assert!(follower.replica.fresh());
    let mut data = evacuated(300, 9);
    data[0] = 77;
    let (before, answers) = (follower.saved.clone(), follower.sent.len());
    follower.receive_part(300, &data, 0, data.len());
    let why = follower.replica.unreadable().expect("refused");
    assert!(why.contains("form 77") && why.contains("this program reads"), "{why}");
    assert_eq!(follower.saved, before, "a version that can read it starts from the unchanged disk");
    assert_eq!((follower.replica.fresh(), follower.replica.status().leader), (false, None));
    follower.receive_append(300, 301, vec![evacuate("b")]);
    assert_eq!((follower.replica.copy.rev(), follower.sent.len()), (2, answers), "it takes no further part");
    // Started again on the same disk, it is a member again.
    let restarted = Replica::new(ME, 0, follower.saved.clone(), vec![LEADER], 1, 0).expect("readable");
    assert!(restarted.unreadable().is_none());
}

#[test]
fn a_command_of_a_later_program_is_refused_and_nothing_after_it_is_applied() {
    let mut follower = Follower::new();
    follower.receive_append(0, 2, vec![Payload::Noop, evacuate("a")]);
    let unknown = Payload::Data(vec![200, 1, 2, 3]);
    follower.receive_append(2, 5, vec![evacuate("b"), unknown, evacuate("c")]);
    let why = follower.replica.unreadable().expect("refused");
    assert!(why.contains("entry 4 is not a command that this version can decode"), "{why}");
    assert!(!follower.replica.fresh());
    let zones: Vec<&str> = follower.replica.copy.state.evacuated.iter().map(String::as_str).collect();
    assert_eq!((follower.replica.copy.rev(), zones), (3, vec!["a", "b"]));
}

/// With configurations of 60 KB the snapshot must come by size, before the log holds hundreds of them.
#[test]
fn a_log_of_large_entries_is_compacted_by_size() {
    let mut follower = Follower::new();
    follower.receive_append(0, 1, vec![Payload::Noop]);
    for n in 1..120 {
        // Every replica rejects it, as its base version does not exist; the log holds it all the same.
        let change = cluster::state::Change { base: 9, patch: false, body: vec![b' '; 60_000] };
        let data = postcard::to_stdvec(&Command::Configure(change)).expect("plain data");
        follower.receive_append(n, n, vec![Payload::Data(data)]);
    }
    let bytes: usize = follower.saved.entries.iter().map(Entry::size).sum();
    assert!(follower.saved.snapshot.index > 100, "{}", follower.saved.snapshot.index);
    assert!(bytes < 8 * 64 * 1024, "{bytes} bytes of entries");
}
