//! The mailbox of an actor that waits on a descriptor: a queue, and a waker for the actor.
//!
//! No wake-up is lost, as long as the descriptor is watched (`socket::Watched`) and the actor reads its mailbox
//! after each wait. A message is in the queue before the waker is called. The waker sets a flag; the wait clears
//! the flag as it ends, and the actor reads the queue after that. So a message posted before the flag was cleared
//! is read at once, and a message posted later sets the flag again and ends the next wait. A wake-up may come late
//! and find the queue empty. The queue has no limit of its own; its length is bounded by its senders: a connection
//! has a limited number of requests or one attempt at a time, and connections are limited by the descriptors.

use may::io::{AsIoData, WaitIo, WaitIoWaker};
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Wakes the coroutine that waits on a descriptor.
pub struct Waker(WaitIoWaker);

impl Waker {
    pub(crate) fn of<T: AsIoData>(io: &T) -> Waker {
        Waker(io.waker())
    }

    pub fn wake(&self) {
        self.0.wakeup();
    }
}

pub struct Mailbox<T> {
    queue: Mutex<VecDeque<T>>,
    waker: Mutex<Waker>,
}

impl<T> Mailbox<T> {
    pub fn new(waker: Waker) -> Mailbox<T> {
        Mailbox { queue: Mutex::new(VecDeque::new()), waker: Mutex::new(waker) }
    }

    /// Replaces the waker, for an actor that is going to wait on another descriptor. A message posted before this
    /// call may have woken the old one, so the actor must read the mailbox once more before it waits.
    pub fn set_waker(&self, waker: Waker) {
        *self.waker.lock().unwrap_or_else(PoisonError::into_inner) = waker;
    }

    /// A poisoned lock is still consistent: it is never held across anything that can panic.
    fn queue(&self) -> MutexGuard<'_, VecDeque<T>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a message and wakes the actor.
    pub fn post(&self, message: T) {
        self.queue().push_back(message);
        self.wake();
    }

    pub fn is_empty(&self) -> bool {
        self.queue().is_empty()
    }

    pub fn pop(&self) -> Option<T> {
        self.queue().pop_front()
    }

    /// Moves up to `max` messages to `batch`.
    pub fn take(&self, max: usize, batch: &mut Vec<T>) {
        let mut queue = self.queue();
        let n = max.min(queue.len());
        batch.extend(queue.drain(..n));
    }

    /// Wakes the actor without a message.
    pub fn wake(&self) {
        self.waker.lock().unwrap_or_else(PoisonError::into_inner).wake();
    }
}
