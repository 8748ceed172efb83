//! Signals. SIGHUP: the configuration is read anew; where it names another discovery, the list's actor moves there.
//! SIGTERM: the gateway serves on, closes each client's connection after its answer, and ends once all is answered
//! and no new connections can come any more.

use crate::clients::ClientHandler;
use crate::shared::Shared;
use curlewfront::Micros;
use curlewfront_config::Config;
use net::clock::Alarm;
use net::door::Door;
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Sender;

/// New connections keep coming for a while after the signal.
const STILL_COMING_US: Micros = 1_000_000;
const LOOK_EVERY_US: Micros = 50_000;

pub fn start(
    shared: Arc<Shared>,
    clients: Arc<Door<ClientHandler>>,
    mut signals: Signals,
    over: Sender<()>,
) -> io::Result<()> {
    let mut end = Some((Alarm::new(shared.room.clock)?, clients, over));
    // A thread of its own: it waits for signals and reads a file, which must not hold up the coroutines.
    std::thread::Builder::new().name("signals".into()).spawn(move || {
        let mut discovery = shared.config.discovery;
        for signal in signals.forever() {
            if signal == SIGHUP {
                reload(&shared, &mut discovery);
            } else if let Some((alarm, clients, over)) = end.take() {
                shared.draining.store(true, Ordering::Relaxed);
                let shared = shared.clone();
                may::go!(move || drain(&shared, alarm, &clients, &over));
            }
        }
    })?;
    Ok(())
}

/// A file that is no good changes nothing: the gateway goes on with what it has, while draining too.
fn reload(shared: &Shared, discovery: &mut std::net::SocketAddr) {
    let read = Config::reload(|name| std::env::var(name).ok());
    let config = match read {
        Ok(config) => config,
        Err(why) => {
            return slog::error!(shared.log, "new configuration refused, the old one stays"; "why" => why);
        }
    };
    let fixed = shared.config.fixed_that_differ(&config).join(", ");
    if !fixed.is_empty() {
        slog::warn!(shared.log, "of the new configuration these take a new start"; "keys" => fixed);
    }
    slog::info!(shared.log, "configuration read anew"; "discovery" => %config.discovery,
        "moved" => config.discovery != *discovery);
    if config.discovery != *discovery {
        *discovery = config.discovery;
        shared.discovery.post(config.discovery);
    }
}

fn drain(shared: &Shared, mut alarm: Alarm, clients: &Door<ClientHandler>, over: &Sender<()>) {
    let asked_at = shared.room.clock.now();
    slog::info!(shared.log, "asked to end: serving what comes, closing connections");
    loop {
        alarm.sleep(LOOK_EVERY_US);
        if shared.room.clock.now() >= asked_at + STILL_COMING_US && clients.busy() == 0 {
            break;
        }
    }
    slog::info!(shared.log, "all answered");
    let _ = over.send(());
}
