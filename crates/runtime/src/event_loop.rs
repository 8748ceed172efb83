//! The loop that drives a state machine: it hands in messages, and calls the machine when a time that it asked for has
//! come.

use may::coroutine::JoinHandle;
use net::Micros;
use net::clock::{Alarm, Clock};
use net::mailbox::Mailbox;
use std::sync::Arc;

/// A loop that runs later than it wanted to by more than this logs it, as that may explain whatever is late.
const LATE_WARNING_US: Micros = 300_000;
/// The stack of a state machine's coroutine in machine words: as large as a thread's, of which only the used part takes
/// memory. The small stacks of connections are not enough, as it reads configurations and builds lists of all servers.
const STACK_WORDS: usize = 0x4_0000;
/// The most messages that are handled before the connections' coroutines run again.
const BATCH: usize = 64;

/// What the loop drives.
pub trait StateMachine: Send + 'static {
    type Message: Send + 'static;

    /// Handles a message, or none when only time has passed.
    fn handle(&mut self, now: Micros, message: Option<Self::Message>);

    /// When the machine is to be called again if no message arrives.
    fn wake_at(&mut self) -> Micros;
}

/// The queue of a machine's messages.
pub type Inbox<T> = Arc<Mailbox<T>>;

pub(crate) fn spawn<M: StateMachine>(
    clock: Clock,
    mut alarm: Alarm,
    inbox: Inbox<M::Message>,
    mut machine: M,
) -> JoinHandle<()> {
    let builder = may::coroutine::Builder::new().name("work".into()).stack_size(STACK_WORDS);
    may::go!(builder, move || {
        let mut batch = Vec::with_capacity(BATCH);
        let mut due = Micros::MAX;
        loop {
            inbox.take(BATCH, &mut batch);
            let full_batch = batch.len() == BATCH;
            let now = clock.now();
            if now > due.saturating_add(LATE_WARNING_US) {
                log::warn!("the loop is {} ms late", (now - due) / 1000);
            }
            for message in batch.drain(..) {
                machine.handle(now, Some(message));
            }
            if machine.wake_at() <= now {
                machine.handle(now, None);
            }
            due = machine.wake_at().max(now);
            if full_batch {
                may::coroutine::yield_now();
            } else if let Err(e) = alarm.wait(Some(due)) {
                log::error!("cannot set a timer: {e}");
            }
        }
    })
    .expect("a coroutine can be made")
}
