//! What all actors of one gateway share.

use crate::messages::Told;
use curlewfront_config::Config;
use curlewfront_fleet::run::Handle;
use net::clock::{Alarms, Clock};
use net::limits::Side;
use net::mailbox::{Bell, Mailbox};
use net::room::Room;
use slog::Logger;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

pub struct Gate {
    pub config: Config,
    pub room: Arc<Room>,
    pub log: Logger,
    pub module: Arc<Mailbox<Told>>,
    /// The list's actor: where discovery is from now on.
    pub list: Arc<Mailbox<SocketAddr>>,
    /// Attempts on connections to servers or on their way there, to be held against what the module has out.
    pub carried: Arc<AtomicUsize>,
    /// The module has its list of servers.
    pub ready: AtomicBool,
    /// SIGTERM has come.
    pub draining: AtomicBool,
    /// What the module last said of itself, for `/_stats`.
    pub shown: Shown,
    /// This gateway's part in the fleet group; none where the configuration has no `fleet`.
    pub fleet: Option<Arc<Handle>>,
}

/// The module's state as `/_stats` tells it: written by the module's actor after each batch, read by connections.
#[derive(Default)]
pub struct Shown {
    /// The target concurrency, as the bits of an `f64`.
    target: AtomicU64,
    /// Attempts that the decisions hold to be out, and requests open.
    pub out: AtomicUsize,
    pub open: AtomicUsize,
}

impl Shown {
    pub fn set_target(&self, target: f64) {
        self.target.store(target.to_bits(), Ordering::Relaxed);
    }

    pub fn target(&self) -> f64 {
        f64::from_bits(self.target.load(Ordering::Relaxed))
    }
}

impl Gate {
    /// `module` and `list` wake the actors of these names.
    pub fn new(config: Config, clock: Clock, alarms: Alarms, log: Logger, module: Bell, list: Bell) -> Gate {
        let warnings = log.clone();
        let warn = Box::new(move |what: std::fmt::Arguments| slog::warn!(warnings, "{what}"));
        Gate {
            room: Arc::new(Room::new(config.sockets, config.memory_mb, clock, alarms, warn)),
            carried: Arc::default(),
            module: Arc::new(Mailbox::new(module)),
            list: Arc::new(Mailbox::new(list)),
            config,
            log,
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            shown: Shown::default(),
            fleet: None,
        }
    }

    /// What `/_stats` answers.
    pub fn stats(&self) -> serde_json::Value {
        let mut stats = serde_json::json!({
            "target": (self.shown.target() * 1000.0).round() / 1000.0,
            "out": self.shown.out.load(Ordering::Relaxed),
            "open": self.shown.open.load(Ordering::Relaxed),
            "carried": self.carried.load(Ordering::Relaxed),
            "client_conns": self.room.fds.open(Side::Clients),
            "server_conns": self.room.fds.open(Side::Servers),
        });
        if let Some(fleet) = &self.fleet {
            stats["fleet"] = fleet.stats();
        }
        stats
    }

    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;
    use net::clock::Alarm;

    const CONFIG: &str = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","known":{"version":1,"full":true,
"servers":[{"id":"s","addr":"127.0.0.1:9","zone":"a","state":"Ready"}]},
"settings":{"balancers":1,"classes":[{"name":"v","aimUs":1000000,"deadlineUs":2000000,"effect":"repeatable"}],
"tiersOfService":[{"name":"t","unitsPerS":100.0,"depth":100.0}],"permissions":{"attemptsCap":2,"mayCancel":true}}}"#;

    pub fn gate() -> Arc<Gate> {
        let config = curlewfront_config::Config::read(CONFIG, |_| None).expect("it is good");
        let clock = Clock::start();
        let alarm = Alarm::new(clock).expect("a timer");
        let alarms = Alarms::start(clock).expect("a timer");
        let log = slog::Logger::root(slog::Discard, slog::o!());
        Arc::new(Gate::new(config, clock, alarms, log, alarm.bell(), alarm.bell()))
    }
}
