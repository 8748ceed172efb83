//! The clock, and timers that wake coroutines. All waiting goes through descriptors of the event loop: the
//! coroutine library's own timers run on a second thread and are not used.

use crate::mailbox::{Mailbox, Waker};
use crate::socket::Watched;
use nix::sys::time::TimeSpec;
use nix::sys::timerfd::{ClockId, Expiration, TimerFd, TimerFlags, TimerSetTimeFlags};
use std::collections::BTreeMap;
use std::io;
use std::os::fd::{AsFd, AsRawFd, RawFd};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A time or a duration in microseconds.
pub type Micros = u64;

/// Unix time: read once at the start and advanced by the monotonic clock. It is comparable with the times in the
/// list of servers and never runs backwards.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_start: Micros,
    start: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_start: unix_time.as_micros() as u64, start: Instant::now() }
    }

    pub fn now(&self) -> Micros {
        self.unix_start + self.start.elapsed().as_micros() as u64
    }
}

struct Timer(TimerFd);

impl AsRawFd for Timer {
    fn as_raw_fd(&self) -> RawFd {
        self.0.as_fd().as_raw_fd()
    }
}

/// A timer that one coroutine waits on until a given time, or until its waker is called.
pub struct Alarm {
    io: Watched<Timer>,
    clock: Clock,
    /// The time the timer is set to, if it is set.
    set_for: Option<Micros>,
}

impl Alarm {
    pub fn new(clock: Clock) -> io::Result<Alarm> {
        let flags = TimerFlags::TFD_NONBLOCK | TimerFlags::TFD_CLOEXEC;
        let timer = TimerFd::new(ClockId::CLOCK_MONOTONIC, flags).map_err(io::Error::from)?;
        let io = Watched::new(Timer(timer))?;
        Ok(Alarm { io, clock, set_for: None })
    }

    pub fn waker(&self) -> Waker {
        self.io.waker()
    }

    /// Waits until the waker is called or until the given time. It may return early: the timer may still be set to
    /// an earlier time, which is not cancelled.
    pub fn wait(&mut self, until: Option<Micros>) -> io::Result<()> {
        if let Some(at) = until
            && self.set_for.is_none_or(|set| at < set)
        {
            let left = at.saturating_sub(self.clock.now()).max(1);
            let when = Expiration::OneShot(TimeSpec::from_duration(Duration::from_micros(left)));
            self.io.inner().0.set(when, TimerSetTimeFlags::empty()).map_err(io::Error::from)?;
            self.set_for = Some(at);
        }
        self.io.wait();
        if self.set_for.is_some_and(|set| set <= self.clock.now()) {
            self.set_for = None;
        }
        Ok(())
    }

    /// Waits for that long; calls of the waker do not end it.
    pub fn sleep(&mut self, time: Micros) {
        self.sleep_while(time, || true);
    }

    /// Waits for that long, or until the waker is called and `go_on` returns false.
    pub fn sleep_while(&mut self, time: Micros, go_on: impl Fn() -> bool) {
        let until = self.clock.now() + time;
        while go_on() && self.clock.now() < until {
            if self.wait(Some(until)).is_err() {
                may::coroutine::yield_now();
            }
        }
    }
}

type Callback = Box<dyn FnOnce() + Send>;

/// Runs callbacks at given times, for actors that wait on something else than an alarm.
#[derive(Clone)]
pub struct Alarms {
    inbox: Arc<Mailbox<(Micros, Callback)>>,
    clock: Clock,
}

impl Alarms {
    pub fn start(clock: Clock) -> io::Result<Alarms> {
        let mut alarm = Alarm::new(clock)?;
        let inbox = Arc::new(Mailbox::new(alarm.waker()));
        let alarms = Alarms { inbox: inbox.clone(), clock };
        may::go!(move || {
            let mut due: BTreeMap<(Micros, u64), Callback> = BTreeMap::new();
            let mut sequence = 0;
            loop {
                while let Some((at, call)) = inbox.pop() {
                    sequence += 1;
                    due.insert((at, sequence), call);
                }
                let now = clock.now();
                while let Some(entry) = due.first_entry().filter(|e| e.key().0 <= now) {
                    entry.remove()();
                }
                // On an error there is nothing better to do than to go on: the timer exists and is only set here.
                let _ = alarm.wait(due.keys().next().map(|k| k.0));
            }
        });
        Ok(alarms)
    }

    /// Calls `call` after `wait`, on the coroutines' thread.
    pub fn after(&self, wait: Micros, call: impl FnOnce() + Send + 'static) {
        self.inbox.post((self.clock.now() + wait, Box::new(call)));
    }
}
