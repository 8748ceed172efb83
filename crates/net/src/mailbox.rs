//! The mailbox of an actor that waits on a descriptor: a queue, and a bell that wakes the actor.
//!
//! No message is left lying, as long as the descriptor is watched (`socket::Watched`) and the actor looks after each
//! wait. A message is in the queue before its bell is rung. The bell sets a flag; the wait takes the flag as it
//! ends, and the look comes after that: what was posted before the flag was taken is seen by that look, what is
//! posted later sets it again and ends the next wait. A ring may come late and end a wait for nothing. What can
//! be in a mailbox is bounded by what its senders hold: a connection has one request or one
//! attempt at a time, and connections are bounded by the descriptors.

use may::io::{AsIoData, WaitIo, WaitIoWaker};
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

pub struct Bell(WaitIoWaker);

impl Bell {
    pub(crate) fn of<T: AsIoData>(io: &T) -> Bell {
        Bell(io.waker())
    }

    pub fn ring(&self) {
        self.0.wakeup();
    }
}

pub struct Mailbox<T> {
    queue: Mutex<VecDeque<T>>,
    bell: Mutex<Bell>,
}

impl<T> Mailbox<T> {
    pub fn new(bell: Bell) -> Mailbox<T> {
        Mailbox { queue: Mutex::new(VecDeque::new()), bell: Mutex::new(bell) }
    }

    /// From here on another bell wakes the actor: it waits on something else. What came before is still
    /// there, so the actor looks again after the call.
    pub fn rehang(&self, bell: Bell) {
        *self.bell.lock().unwrap_or_else(PoisonError::into_inner) = bell;
    }

    /// A panic elsewhere leaves the queue whole: it is never held across anything that can panic.
    fn queue(&self) -> MutexGuard<'_, VecDeque<T>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn post(&self, message: T) {
        self.queue().push_back(message);
        self.ring();
    }

    pub fn is_empty(&self) -> bool {
        self.queue().is_empty()
    }

    pub fn pop(&self) -> Option<T> {
        self.queue().pop_front()
    }

    /// Moves up to `most` messages to `batch`.
    pub fn take(&self, most: usize, batch: &mut Vec<T>) {
        let mut queue = self.queue();
        let n = most.min(queue.len());
        batch.extend(queue.drain(..n));
    }

    pub fn ring(&self) {
        self.bell.lock().unwrap_or_else(PoisonError::into_inner).ring();
    }
}
