//! Guards against lost wake-ups: a model check of a mailbox, its waker and a wait. It repeats the steps of
//! `net::mailbox` and of the coroutine library (0.3.51) for two senders or a sender and the event loop, and one
//! actor, and visits every state that any order of the steps leads to. An actor that waits forever with a message or
//! an event left for it has lost a wake-up. Each fault that the steps guard against is planted and must be found.
//!
//! The model takes steps one at a time; on processors they overlap. The two overlaps that would matter are "park,
//! then read the flag" of the wait and "set the flag, then take the parked coroutine" of the waker. Both access the
//! slot of the parked coroutine with a swap, so of two such swaps the later one sees everything before the earlier
//! one.

use std::collections::HashSet;

/// A fault planted in the steps.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The waker is called before the message is in the queue.
    WakesBeforePost,
    /// The wait parks without reading the flag again.
    ParksWithoutCheck,
    /// The flag is cleared after the mailbox is read, not before.
    ClearsFlagLate,
    /// The waker takes the parked coroutine before it sets the flag.
    SetsFlagLate,
    /// The wait drops the system's event if the waker was called too.
    DropsEvent,
    /// An actor that has replaced its waker waits before it reads the mailbox.
    MovesWithoutCheck,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Source {
    /// Posts a message and calls the waker.
    Sender,
    /// Bytes have come: the event loop reports them once.
    System,
}

/// The step that a source is at.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum SourceStep {
    Start,
    /// Its message is in the queue, or will be after the wake-up if that fault is planted. Next it locks the waker.
    Posted,
    /// Sets the flag of this event; a sender holds the lock of the waker.
    SetFlag(usize),
    /// Takes the parked coroutine of this event.
    TakeParked(usize),
    /// It has taken the parked actor and schedules it.
    Schedule(usize),
    /// The lock is released; only with the planted fault a message is still to be posted.
    Released,
    Done,
}

/// The step that the actor is at.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum ActorStep {
    ReplacesWaker,
    ReadsMailbox,
    Waits,
    Parks,
    ChecksFlagAgain,
    Unparks,
    Parked,
    TakesFlag,
    /// Clears the flag; only with the planted fault.
    ClearsFlag,
}

/// The library's event data: the flag, whether the coroutine is parked, and whether it is scheduled to run.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
struct Event {
    woken: bool,
    readable: bool,
    parked: bool,
    scheduled: bool,
}

impl Event {
    fn flagged(&self) -> bool {
        self.woken || self.readable
    }
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct State {
    events: [Event; 2],
    /// The event that the mailbox's waker belongs to, and whether the waker is locked.
    waker: usize,
    locked: bool,
    queue: u8,
    sources: [(Source, SourceStep); 2],
    actor: ActorStep,
    /// The event that the actor waits on.
    waits_on: usize,
    /// Messages and events received.
    received: u8,
}

impl State {
    fn new(sources: [Source; 2], moves: bool) -> State {
        State {
            events: Default::default(),
            waker: 0,
            locked: false,
            queue: 0,
            sources: sources.map(|s| (s, SourceStep::Start)),
            actor: if moves { ActorStep::ReplacesWaker } else { ActorStep::ReadsMailbox },
            waits_on: 0,
            received: 0,
        }
    }

    /// The states that one step of any participant leads to.
    fn next(&self, fault: Fault) -> Vec<State> {
        let source_steps = (0..2).filter_map(|n| self.source_step(n, fault));
        source_steps.chain(self.actor_step(fault)).collect()
    }

    /// A step of a source: `Mailbox::post` with `WaitIoWaker::wakeup`, or `Selector::select`.
    fn source_step(&self, n: usize, fault: Fault) -> Option<State> {
        let mut s = self.clone();
        let (source, at) = s.sources[n];
        let wakes_first = fault == Fault::WakesBeforePost;
        s.sources[n].1 = match (source, at) {
            (_, SourceStep::Done) => return None,
            (Source::System, SourceStep::Start) => SourceStep::SetFlag(0),
            (Source::Sender, SourceStep::Start) => {
                s.queue += u8::from(!wakes_first);
                SourceStep::Posted
            }
            (_, SourceStep::Posted) if s.locked => return None,
            (_, SourceStep::Posted) => {
                s.locked = true;
                if fault == Fault::SetsFlagLate {
                    SourceStep::TakeParked(s.waker)
                } else {
                    SourceStep::SetFlag(s.waker)
                }
            }
            (_, SourceStep::SetFlag(e)) => {
                match source {
                    Source::Sender => s.events[e].woken = true,
                    Source::System => s.events[e].readable = true,
                }
                if source == Source::Sender && fault == Fault::SetsFlagLate {
                    s.locked = false;
                    SourceStep::Released
                } else {
                    SourceStep::TakeParked(e)
                }
            }
            (_, SourceStep::TakeParked(e)) => {
                let taken = std::mem::take(&mut s.events[e].parked);
                match source {
                    _ if taken => SourceStep::Schedule(e),
                    Source::Sender if fault == Fault::SetsFlagLate => SourceStep::SetFlag(e),
                    Source::Sender => {
                        s.locked = false;
                        SourceStep::Released
                    }
                    Source::System => SourceStep::Done,
                }
            }
            (_, SourceStep::Schedule(e)) => {
                // Otherwise it would run twice at the same time.
                let not_running =
                    [ActorStep::ChecksFlagAgain, ActorStep::Unparks, ActorStep::Parked].contains(&s.actor);
                assert!(not_running && !s.events[e].scheduled && s.waits_on == e, "run twice");
                s.events[e].scheduled = true;
                match source {
                    Source::Sender if fault == Fault::SetsFlagLate => SourceStep::SetFlag(e),
                    Source::Sender => {
                        s.locked = false;
                        SourceStep::Released
                    }
                    Source::System => SourceStep::Done,
                }
            }
            (_, SourceStep::Released) => {
                s.queue += u8::from(wakes_first);
                SourceStep::Done
            }
        };
        Some(s)
    }

    /// A step of the actor: reading the mailbox, or `WaitIo::wait_io` with `RawIoBlock::subscribe`.
    fn actor_step(&self, fault: Fault) -> Option<State> {
        let mut s = self.clone();
        let event = &mut s.events[s.waits_on];
        s.actor = match s.actor {
            ActorStep::ReplacesWaker if s.locked => return None,
            ActorStep::ReplacesWaker => {
                (s.waker, s.waits_on) = (1, 1);
                if fault == Fault::MovesWithoutCheck { ActorStep::Waits } else { ActorStep::ReadsMailbox }
            }
            ActorStep::ReadsMailbox if s.queue > 0 => {
                (s.queue, s.received) = (s.queue - 1, s.received + 1);
                ActorStep::ReadsMailbox
            }
            ActorStep::ReadsMailbox if s.received == 2 => return None,
            ActorStep::ReadsMailbox if fault == Fault::ClearsFlagLate => ActorStep::ClearsFlag,
            ActorStep::ReadsMailbox => ActorStep::Waits,
            ActorStep::ClearsFlag => {
                (event.woken, event.readable) = (false, false);
                ActorStep::Waits
            }
            ActorStep::Waits if event.flagged() => ActorStep::TakesFlag,
            ActorStep::Waits => ActorStep::Parks,
            ActorStep::Parks => {
                event.parked = true;
                if fault == Fault::ParksWithoutCheck { ActorStep::Parked } else { ActorStep::ChecksFlagAgain }
            }
            ActorStep::ChecksFlagAgain if event.flagged() => ActorStep::Unparks,
            ActorStep::ChecksFlagAgain => ActorStep::Parked,
            ActorStep::Unparks => {
                let taken = std::mem::take(&mut event.parked);
                if taken { ActorStep::TakesFlag } else { ActorStep::Parked }
            }
            ActorStep::Parked if !event.scheduled => return None,
            ActorStep::Parked => {
                event.scheduled = false;
                ActorStep::TakesFlag
            }
            ActorStep::TakesFlag => {
                s.received += u8::from(event.readable && !(event.woken && fault == Fault::DropsEvent));
                if fault != Fault::ClearsFlagLate {
                    (event.woken, event.readable) = (false, false);
                }
                ActorStep::ReadsMailbox
            }
        };
        Some(s)
    }

    fn done(&self) -> bool {
        self.actor == ActorStep::ReadsMailbox && self.received == 2 && self.queue == 0
    }
}

/// Visits all states. Returns their number, or a state in which an actor waits forever with something left for it.
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
const SENDER_AND_SYSTEM: [Source; 2] = [Source::Sender, Source::System];

/// Whether a wake-up is lost in some order of the steps.
fn loses_wakeup(sources: [Source; 2], moves: bool, fault: Fault) -> bool {
    explore(State::new(sources, moves), fault).is_err_and(|state| state.actor == ActorStep::Parked)
}

#[test]
fn no_wake_up_is_lost_in_any_order() {
    for (sources, moves) in [(SENDERS, false), (SENDERS, true), (SENDER_AND_SYSTEM, false)] {
        let states = explore(State::new(sources, moves), Fault::None);
        assert!(states.as_ref().is_ok_and(|n| *n > 100), "{states:?}");
        println!("{sources:?}, moving {moves}: {states:?} states");
    }
}

#[test]
fn each_planted_fault_is_caught() {
    for fault in
        [Fault::WakesBeforePost, Fault::ParksWithoutCheck, Fault::ClearsFlagLate, Fault::SetsFlagLate]
    {
        assert!(loses_wakeup(SENDERS, false, fault));
    }
    assert!(
        loses_wakeup(SENDER_AND_SYSTEM, false, Fault::ParksWithoutCheck)
            && loses_wakeup(SENDER_AND_SYSTEM, false, Fault::DropsEvent)
    );
    assert!(loses_wakeup(SENDERS, true, Fault::MovesWithoutCheck));
}

// ---- descriptors ----

/// Models two threads, the numbers of open descriptors, and which of them the event loop watches. One thread closes a
/// descriptor that it watches; the other opens one, gets the lowest free number and watches it. Returns false if the
/// new one is not watched in the end in some order of the steps.
fn watched_in_every_order(watch_ends_first: bool) -> bool {
    let (first, second) = if watch_ends_first { ("unwatch", "close") } else { ("close", "unwatch") };
    // Each bit set is a step of the closing thread: all orders of its two steps among the two of the other.
    (0..16_u32).filter(|order| order.count_ones() == 2).all(|order| {
        let (mut open, mut watched, mut new_fd) = ([true, false], [true, false], 0);
        let (mut closing_steps, mut opening_steps) =
            ([first, second].into_iter(), ["open", "watch"].into_iter());
        for turn in 0..4 {
            let step = if order >> turn & 1 == 1 { closing_steps.next() } else { opening_steps.next() };
            match step.expect("two each") {
                "unwatch" => watched[0] = false,
                // The system ends the watch of a closed descriptor.
                "close" => (open[0], watched[0]) = (false, false),
                "open" => {
                    new_fd = usize::from(open[0]);
                    open[new_fd] = true;
                }
                _ => watched[new_fd] = true,
            }
        }
        watched[new_fd]
    })
}

#[test]
fn what_is_opened_while_another_closes_is_watched_in_every_order() {
    assert!(watched_in_every_order(true));
    assert!(!watched_in_every_order(false), "planted fault: the order of the library's own type");
}
