//! State shared by all actors of one gateway.

use crate::messages::DecisionMessage;
use curlewfront_config::Config;
use curlewfront_fleet::run::Handle;
use net::clock::{Alarms, Clock};
use net::limits::ConnectionKind;
use net::mailbox::{Mailbox, Waker};
use net::resources::Resources;
use slog::Logger;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

pub struct Shared {
    pub config: Config,
    pub room: Arc<Resources>,
    pub log: Logger,
    /// Mailbox of the decision actor.
    pub decisions: Arc<Mailbox<DecisionMessage>>,
    /// Mailbox of the discovery actor: the address at which to watch discovery from now on.
    pub discovery: Arc<Mailbox<SocketAddr>>,
    /// Attempts on server connections or queued for one; `/_stats` shows it beside the attempts that the decision
    /// actor counts as in flight.
    pub attempts_in_pools: Arc<AtomicUsize>,
    /// The decision actor has a list of servers.
    pub ready: AtomicBool,
    /// SIGTERM or SIGINT has been received.
    pub draining: AtomicBool,
    /// What the decision actor last published for `/_stats`.
    pub published: PublishedStats,
    /// This gateway's member of the fleet group; `None` if the configuration has no `fleet`.
    pub fleet: Option<Arc<Handle>>,
}

/// The decision actor's figures for `/_stats`: written by that actor after its batches, read by client connections.
#[derive(Default)]
pub struct PublishedStats {
    /// The target concurrency, as the bits of an `f64`.
    target: AtomicU64,
    /// Attempts that the decisions count as in flight.
    pub in_flight: AtomicUsize,
    pub open_requests: AtomicUsize,
}

impl PublishedStats {
    pub fn set_target(&self, target: f64) {
        self.target.store(target.to_bits(), Ordering::Relaxed);
    }

    pub fn target(&self) -> f64 {
        f64::from_bits(self.target.load(Ordering::Relaxed))
    }
}

impl Shared {
    /// `decisions` and `discovery` wake the actors of these names.
    pub fn new(
        config: Config,
        clock: Clock,
        alarms: Alarms,
        log: Logger,
        decisions: Waker,
        discovery: Waker,
    ) -> Shared {
        let warnings = log.clone();
        let warn = Box::new(move |message: std::fmt::Arguments| slog::warn!(warnings, "{message}"));
        Shared {
            room: Arc::new(Resources::new(config.sockets, config.memory_mb, clock, alarms, warn)),
            attempts_in_pools: Arc::default(),
            decisions: Arc::new(Mailbox::new(decisions)),
            discovery: Arc::new(Mailbox::new(discovery)),
            config,
            log,
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            published: PublishedStats::default(),
            fleet: None,
        }
    }

    /// The answer to `/_stats`.
    pub fn stats(&self) -> serde_json::Value {
        let mut stats = serde_json::json!({
            "target": (self.published.target() * 1000.0).round() / 1000.0,
            "out": self.published.in_flight.load(Ordering::Relaxed),
            "open": self.published.open_requests.load(Ordering::Relaxed),
            "carried": self.attempts_in_pools.load(Ordering::Relaxed),
            "client_conns": self.room.fds.open(ConnectionKind::Client),
            "server_conns": self.room.fds.open(ConnectionKind::Server),
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

    pub fn shared() -> Arc<Shared> {
        let config = curlewfront_config::Config::read(CONFIG, |_| None).expect("a valid configuration");
        let clock = Clock::start();
        let alarm = Alarm::new(clock).expect("a timer");
        let alarms = Alarms::start(clock).expect("a timer");
        let log = slog::Logger::root(slog::Discard, slog::o!());
        Arc::new(Shared::new(config, clock, alarms, log, alarm.waker(), alarm.waker()))
    }
}
