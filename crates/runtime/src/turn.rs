//! The loop that turns a state machine: what has come is handed in, what it answers is carried out, and it is called
//! again when it wants to be.

use may::coroutine::JoinHandle;
use net::Micros;
use net::clock::{Alarm, Clock};
use net::mailbox::Mailbox;
use std::sync::Arc;

/// A loop that comes so much later than it wanted to says so: whatever it is late with may have that as its cause.
const LATE_US: Micros = 300_000;
/// Stack of a machine's coroutine in machine words: as much as a thread has, of which only what is used takes memory. The
/// small ones of connections are no measure for it: it reads configurations and makes lists of all servers.
const STACK: usize = 0x4_0000;
/// Messages taken before the connections get their turn again.
const BATCH: usize = 64;

pub trait Machine: Send + 'static {
    type Told: Send + 'static;

    /// One message, or none where only time has passed.
    fn take(&mut self, now: Micros, told: Option<Self::Told>);

    fn wake_at(&mut self) -> Micros;
}

/// Where a machine's messages go.
pub type Inbox<T> = Arc<Mailbox<T>>;

pub(crate) fn turn<M: Machine>(
    clock: Clock,
    mut alarm: Alarm,
    inbox: Inbox<M::Told>,
    mut machine: M,
) -> JoinHandle<()> {
    let builder = may::coroutine::Builder::new().name("work".into()).stack_size(STACK);
    may::go!(builder, move || {
        let mut batch = Vec::with_capacity(BATCH);
        let mut due = Micros::MAX;
        loop {
            inbox.take(BATCH, &mut batch);
            let more = batch.len() == BATCH;
            let now = clock.now();
            if now > due.saturating_add(LATE_US) {
                log::warn!("the loop is {} ms late", (now - due) / 1000);
            }
            for told in batch.drain(..) {
                machine.take(now, Some(told));
            }
            if machine.wake_at() <= now {
                machine.take(now, None);
            }
            due = machine.wake_at().max(now);
            if more {
                may::coroutine::yield_now();
            } else if let Err(e) = alarm.wait(Some(due)) {
                log::error!("cannot set a timer: {e}");
            }
        }
    })
    .expect("a coroutine can be made")
}
