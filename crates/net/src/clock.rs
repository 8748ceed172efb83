//! The clock, and waking at a time. All waiting goes through descriptors of the event loop: the coroutine
//! library's own timers run on a second thread and are not used.

use crate::mailbox::{Bell, Mailbox};
use crate::socket::Watched;
use nix::sys::time::TimeSpec;
use nix::sys::timerfd::{ClockId, Expiration, TimerFd, TimerFlags, TimerSetTimeFlags};
use std::collections::BTreeMap;
use std::io;
use std::os::fd::{AsFd, AsRawFd, RawFd};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub type Micros = u64;

/// Unix time in microseconds as it was at the start, carried on by the monotonic clock: it compares with the
/// times in the list of servers and never runs backwards.
#[derive(Clone, Copy)]
pub struct Clock {
    unix: Micros,
    start: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: unix.as_micros() as u64, start: Instant::now() }
    }

    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as u64
    }
}

struct Timer(TimerFd);

impl AsRawFd for Timer {
    fn as_raw_fd(&self) -> RawFd {
        self.0.as_fd().as_raw_fd()
    }
}

/// Something to wait on that wakes at a time, or when its bell is rung.
pub struct Alarm {
    io: Watched<Timer>,
    clock: Clock,
    set_for: Option<Micros>,
}

impl Alarm {
    pub fn new(clock: Clock) -> io::Result<Alarm> {
        let flags = TimerFlags::TFD_NONBLOCK | TimerFlags::TFD_CLOEXEC;
        let timer = TimerFd::new(ClockId::CLOCK_MONOTONIC, flags).map_err(io::Error::from)?;
        let io = Watched::new(Timer(timer))?;
        Ok(Alarm { io, clock, set_for: None })
    }

    pub fn bell(&self) -> Bell {
        self.io.bell()
    }

    /// Waits for the bell or for the time. It may wake early: an earlier time that was set is not taken back.
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

    /// Waits for that long, whatever rings.
    pub fn sleep(&mut self, time: Micros) {
        self.sleep_while(time, || true);
    }

    /// Waits for that long, or until a ring finds that it need not go on.
    pub fn sleep_while(&mut self, time: Micros, go_on: impl Fn() -> bool) {
        let until = self.clock.now() + time;
        while go_on() && self.clock.now() < until {
            if self.wait(Some(until)).is_err() {
                may::coroutine::yield_now();
            }
        }
    }
}

type Call = Box<dyn FnOnce() + Send>;

/// Calls made at a time, for actors that wait on something else than an alarm.
#[derive(Clone)]
pub struct Alarms {
    inbox: Arc<Mailbox<(Micros, Call)>>,
    clock: Clock,
}

impl Alarms {
    pub fn start(clock: Clock) -> io::Result<Alarms> {
        let mut alarm = Alarm::new(clock)?;
        let inbox = Arc::new(Mailbox::new(alarm.bell()));
        let alarms = Alarms { inbox: inbox.clone(), clock };
        may::go!(move || {
            let mut due: BTreeMap<(Micros, u64), Call> = BTreeMap::new();
            let mut count = 0;
            loop {
                while let Some((at, call)) = inbox.pop() {
                    count += 1;
                    due.insert((at, count), call);
                }
                let now = clock.now();
                while let Some(entry) = due.first_entry().filter(|e| e.key().0 <= now) {
                    entry.remove()();
                }
                // Nothing can be done without a timer but to go on: it was set up and only set here.
                let _ = alarm.wait(due.keys().next().map(|k| k.0));
            }
        });
        Ok(alarms)
    }

    pub fn after(&self, wait: Micros, call: impl FnOnce() + Send + 'static) {
        self.inbox.post((self.clock.now() + wait, Box::new(call)));
    }
}
