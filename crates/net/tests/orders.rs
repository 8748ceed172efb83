//! All orders in which two senders, one actor and the event loop can meet at a mailbox, a bell and a wait. The
//! steps are those of `net::mailbox` and of the coroutine library (0.3.51), written down again; every state that
//! any order of them leads to is visited. An actor that waits for good with something left for it has lost a
//! wake-up. Each fault that the steps guard against is planted and must be caught.
//!
//! Steps are taken one at a time here, on processors they overlap. The two that would matter, "parked, then the
//! flag" of the wait and "flag, then who is parked" of the ring, both pass the place of the parked by a swap, so
//! of two such swaps the later one sees all that came before the earlier.

use std::collections::HashSet;

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The bell is rung before the message is in the queue.
    RingsFirst,
    /// The wait parks without another look at the flag.
    ParksBlindly,
    /// The flag is taken after the look, not before it.
    ForgetsLate,
    /// The ring finds out who is parked before it sets the flag.
    FlagsLate,
    /// The wait clears what the system has told where it tells of a ring.
    HeedsRingOnly,
    /// Who has moved to another bell waits before it looks.
    MovesBlindly,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Source {
    /// Posts a message and rings.
    Sender,
    /// Bytes have come: the event loop tells of them once.
    System,
}

/// Where one that wakes stands.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Waking {
    Begins,
    /// Its message is in the queue, or on its way there if the bell comes first.
    Posted,
    /// It holds the bell of this event.
    Flag(usize),
    Take(usize),
    /// It has taken the parked actor and is to have it run.
    Run(usize),
    /// The bell is let go; only the planted fault still has a message to post.
    Let,
    Through,
}

/// Where the actor stands.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Actor {
    Moves,
    Looks,
    Waits,
    Parks,
    LooksAgain,
    TakesItselfBack,
    Parked,
    TakesFlag,
    Forgets,
}

/// The library's event data: a flag, the coroutine while it is parked, and whether it is to be run.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
struct Event {
    rung: bool,
    readable: bool,
    parked: bool,
    scheduled: bool,
}

impl Event {
    fn flagged(&self) -> bool {
        self.rung || self.readable
    }
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct State {
    events: [Event; 2],
    /// The event that the mailbox's bell wakes, and whether someone holds it.
    bell: usize,
    held: bool,
    queue: u8,
    sources: [(Source, Waking); 2],
    actor: Actor,
    /// The event that the actor waits on.
    on: usize,
    /// Messages taken and bytes seen.
    got: u8,
}

impl State {
    fn new(sources: [Source; 2], moves: bool) -> State {
        State {
            events: Default::default(),
            bell: 0,
            held: false,
            queue: 0,
            sources: sources.map(|s| (s, Waking::Begins)),
            actor: if moves { Actor::Moves } else { Actor::Looks },
            on: 0,
            got: 0,
        }
    }

    /// The states that one step of anybody leads to.
    fn next(&self, fault: Fault) -> Vec<State> {
        let woken = (0..2).filter_map(|n| self.wakes(n, fault));
        woken.chain(self.acts(fault)).collect()
    }

    /// A step of one that wakes: `Mailbox::post` with `WaitIoWaker::wakeup`, or `Selector::select`.
    fn wakes(&self, n: usize, fault: Fault) -> Option<State> {
        let mut s = self.clone();
        let (source, at) = s.sources[n];
        let rings_first = fault == Fault::RingsFirst;
        s.sources[n].1 = match (source, at) {
            (_, Waking::Through) => return None,
            (Source::System, Waking::Begins) => Waking::Flag(0),
            (Source::Sender, Waking::Begins) => {
                s.queue += u8::from(!rings_first);
                Waking::Posted
            }
            (_, Waking::Posted) if s.held => return None,
            (_, Waking::Posted) => {
                s.held = true;
                if fault == Fault::FlagsLate { Waking::Take(s.bell) } else { Waking::Flag(s.bell) }
            }
            (_, Waking::Flag(e)) => {
                match source {
                    Source::Sender => s.events[e].rung = true,
                    Source::System => s.events[e].readable = true,
                }
                if source == Source::Sender && fault == Fault::FlagsLate {
                    s.held = false;
                    Waking::Let
                } else {
                    Waking::Take(e)
                }
            }
            (_, Waking::Take(e)) => {
                let taken = std::mem::take(&mut s.events[e].parked);
                match source {
                    _ if taken => Waking::Run(e),
                    Source::Sender if fault == Fault::FlagsLate => Waking::Flag(e),
                    Source::Sender => {
                        s.held = false;
                        Waking::Let
                    }
                    Source::System => Waking::Through,
                }
            }
            (_, Waking::Run(e)) => {
                // Else it would run twice at once.
                let away = [Actor::LooksAgain, Actor::TakesItselfBack, Actor::Parked].contains(&s.actor);
                assert!(away && !s.events[e].scheduled && s.on == e, "run twice");
                s.events[e].scheduled = true;
                match source {
                    Source::Sender if fault == Fault::FlagsLate => Waking::Flag(e),
                    Source::Sender => {
                        s.held = false;
                        Waking::Let
                    }
                    Source::System => Waking::Through,
                }
            }
            (_, Waking::Let) => {
                s.queue += u8::from(rings_first);
                Waking::Through
            }
        };
        Some(s)
    }

    /// A step of the actor: its look, and `WaitIo::wait_io` with `RawIoBlock::subscribe`.
    fn acts(&self, fault: Fault) -> Option<State> {
        let mut s = self.clone();
        let event = &mut s.events[s.on];
        s.actor = match s.actor {
            Actor::Moves if s.held => return None,
            Actor::Moves => {
                (s.bell, s.on) = (1, 1);
                if fault == Fault::MovesBlindly { Actor::Waits } else { Actor::Looks }
            }
            Actor::Looks if s.queue > 0 => {
                (s.queue, s.got) = (s.queue - 1, s.got + 1);
                Actor::Looks
            }
            Actor::Looks if s.got == 2 => return None,
            Actor::Looks if fault == Fault::ForgetsLate => Actor::Forgets,
            Actor::Looks => Actor::Waits,
            Actor::Forgets => {
                (event.rung, event.readable) = (false, false);
                Actor::Waits
            }
            Actor::Waits if event.flagged() => Actor::TakesFlag,
            Actor::Waits => Actor::Parks,
            Actor::Parks => {
                event.parked = true;
                if fault == Fault::ParksBlindly { Actor::Parked } else { Actor::LooksAgain }
            }
            Actor::LooksAgain if event.flagged() => Actor::TakesItselfBack,
            Actor::LooksAgain => Actor::Parked,
            Actor::TakesItselfBack => {
                let taken = std::mem::take(&mut event.parked);
                if taken { Actor::TakesFlag } else { Actor::Parked }
            }
            Actor::Parked if !event.scheduled => return None,
            Actor::Parked => {
                event.scheduled = false;
                Actor::TakesFlag
            }
            Actor::TakesFlag => {
                s.got += u8::from(event.readable && !(event.rung && fault == Fault::HeedsRingOnly));
                if fault != Fault::ForgetsLate {
                    (event.rung, event.readable) = (false, false);
                }
                Actor::Looks
            }
        };
        Some(s)
    }

    fn done(&self) -> bool {
        self.actor == Actor::Looks && self.got == 2 && self.queue == 0
    }
}

/// Visits all states; how many there are, or one in which something is left for an actor that waits for good.
fn explore(start: State, fault: Fault) -> Result<usize, State> {
    let (mut seen, mut open) = (HashSet::from([start.clone()]), vec![start]);
    while let Some(state) = open.pop() {
        let next = state.next(fault);
        if next.is_empty() && !state.done() {
            return Err(state);
        }
        open.extend(next.into_iter().filter(|s| seen.insert(s.clone())));
    }
    Ok(seen.len())
}

const SENDERS: [Source; 2] = [Source::Sender; 2];
const BOTH: [Source; 2] = [Source::Sender, Source::System];

fn lost(sources: [Source; 2], moves: bool, fault: Fault) -> bool {
    explore(State::new(sources, moves), fault).is_err_and(|left| left.actor == Actor::Parked)
}

#[test]
fn nothing_is_left_lying_in_any_order() {
    for (sources, moves) in [(SENDERS, false), (SENDERS, true), (BOTH, false)] {
        let states = explore(State::new(sources, moves), Fault::None);
        assert!(states.as_ref().is_ok_and(|n| *n > 100), "{states:?}");
        println!("{sources:?}, moving {moves}: {states:?} states");
    }
}

#[test]
fn each_planted_fault_is_caught() {
    for fault in [Fault::RingsFirst, Fault::ParksBlindly, Fault::ForgetsLate, Fault::FlagsLate] {
        assert!(lost(SENDERS, false, fault));
    }
    assert!(lost(BOTH, false, Fault::ParksBlindly) && lost(BOTH, false, Fault::HeedsRingOnly));
    assert!(lost(SENDERS, true, Fault::MovesBlindly));
}

// ---- descriptors ----

/// Two threads and the numbers of descriptors: which are open, and which the event loop watches. One thread closes
/// what it watches; the other opens something, gets the lowest free number and watches it. False if that is not
/// watched in the end.
fn watched_in_every_order(watch_ends_first: bool) -> bool {
    let (first, second) = if watch_ends_first { ("unwatch", "close") } else { ("close", "unwatch") };
    // Each order of the two steps of the one among the two of the other.
    (0..16_u32).filter(|order| order.count_ones() == 2).all(|order| {
        let (mut open, mut watched, mut mine) = ([true, false], [true, false], 0);
        let (mut ending, mut opening) = ([first, second].into_iter(), ["open", "watch"].into_iter());
        for turn in 0..4 {
            let step = if order >> turn & 1 == 1 { ending.next() } else { opening.next() };
            match step.expect("two each") {
                "unwatch" => watched[0] = false,
                // The system ends the watch of what is closed.
                "close" => (open[0], watched[0]) = (false, false),
                "open" => {
                    mine = usize::from(open[0]);
                    open[mine] = true;
                }
                _ => watched[mine] = true,
            }
        }
        watched[mine]
    })
}

#[test]
fn what_is_opened_while_another_closes_is_watched_in_every_order() {
    assert!(watched_in_every_order(true));
    assert!(!watched_in_every_order(false), "planted: the order of the library's own type");
}
