//! Signals. SIGHUP reads the configuration again; if it names another discovery, the discovery actor moves its watch
//! there. SIGTERM and SIGINT drain the gateway: it goes on serving, closes each client's connection after its answer,
//! and ends once no request is left and no new connections are to be expected.

use crate::clients::ClientHandler;
use crate::shared::Shared;
use curlewfront::Micros;
use curlewfront_config::Config;
use net::clock::Alarm;
use net::listener::Listener;
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Sender;

/// New connections keep coming for a while after the signal, so a drain takes at least this long.
const MIN_DRAIN_US: Micros = 1_000_000;
const DRAIN_POLL_US: Micros = 50_000;

pub fn start(
    shared: Arc<Shared>,
    clients: Arc<Listener<ClientHandler>>,
    mut signals: Signals,
    drained: Sender<()>,
) -> io::Result<()> {
    let mut drain_parts = Some((Alarm::new(shared.room.clock)?, clients, drained));
    // A separate thread: waiting for signals and reading a file would block the coroutines.
    std::thread::Builder::new().name("signals".into()).spawn(move || {
        let mut discovery = shared.config.discovery;
        for signal in signals.forever() {
            if signal == SIGHUP {
                reload(&shared, &mut discovery);
            } else if let Some((alarm, clients, drained)) = drain_parts.take() {
                shared.draining.store(true, Ordering::Relaxed);
                let shared = shared.clone();
                may::go!(move || drain(&shared, alarm, &clients, &drained));
            }
        }
    })?;
    Ok(())
}

/// Reads the configuration again. An invalid file changes nothing. This also works while the gateway drains.
fn reload(shared: &Shared, discovery: &mut std::net::SocketAddr) {
    let read = Config::reload(|name| std::env::var(name).ok());
    let config = match read {
        Ok(config) => config,
        Err(why) => {
            return slog::error!(shared.log, "new configuration refused, the old one stays"; "why" => why);
        }
    };
    let keys = shared.config.changed_keys_needing_restart(&config).join(", ");
    if !keys.is_empty() {
        slog::warn!(shared.log, "of the new configuration these take a new start"; "keys" => keys);
    }
    slog::info!(shared.log, "configuration read anew"; "discovery" => %config.discovery,
        "moved" => config.discovery != *discovery);
    if config.discovery != *discovery {
        *discovery = config.discovery;
        shared.discovery.post(config.discovery);
    }
}

fn drain(shared: &Shared, mut alarm: Alarm, clients: &Listener<ClientHandler>, drained: &Sender<()>) {
    let signalled_at = shared.room.clock.now();
    slog::info!(shared.log, "asked to end: serving what comes, closing connections");
    loop {
        alarm.sleep(DRAIN_POLL_US);
        if shared.room.clock.now() >= signalled_at + MIN_DRAIN_US && clients.busy() == 0 {
            break;
        }
    }
    slog::info!(shared.log, "all answered");
    let _ = drained.send(());
}
