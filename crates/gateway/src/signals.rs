//! Signals. SIGHUP: the configuration is read anew; where it names another discovery, the list's actor moves there.
//! SIGTERM: the gateway serves on, closes each client's connection after its answer, and ends once all is answered
//! and no new connections can come any more.

use crate::clients::Front;
use crate::gate::Gate;
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
    gate: Arc<Gate>,
    clients: Arc<Door<Front>>,
    mut signals: Signals,
    over: Sender<()>,
) -> io::Result<()> {
    let mut end = Some((Alarm::new(gate.room.clock)?, clients, over));
    // A thread of its own: it waits for signals and reads a file, which must not hold up the coroutines.
    std::thread::Builder::new().name("signals".into()).spawn(move || {
        let mut discovery = gate.config.discovery;
        for signal in signals.forever() {
            if signal == SIGHUP {
                reload(&gate, &mut discovery);
            } else if let Some((alarm, clients, over)) = end.take() {
                gate.draining.store(true, Ordering::Relaxed);
                let gate = gate.clone();
                may::go!(move || drain(&gate, alarm, &clients, &over));
            }
        }
    })?;
    Ok(())
}

/// A file that is no good changes nothing: the gateway goes on with what it has, while draining too.
fn reload(gate: &Gate, discovery: &mut std::net::SocketAddr) {
    let read = Config::reload(|name| std::env::var(name).ok());
    let config = match read {
        Ok(config) => config,
        Err(why) => {
            return slog::error!(gate.log, "new configuration refused, the old one stays"; "why" => why);
        }
    };
    let fixed = gate.config.fixed_that_differ(&config).join(", ");
    if !fixed.is_empty() {
        slog::warn!(gate.log, "of the new configuration these take a new start"; "keys" => fixed);
    }
    slog::info!(gate.log, "configuration read anew"; "discovery" => %config.discovery,
        "moved" => config.discovery != *discovery);
    if config.discovery != *discovery {
        *discovery = config.discovery;
        gate.list.post(config.discovery);
    }
}

fn drain(gate: &Gate, mut alarm: Alarm, clients: &Door<Front>, over: &Sender<()>) {
    let asked_at = gate.room.clock.now();
    slog::info!(gate.log, "asked to end: serving what comes, closing connections");
    loop {
        alarm.sleep(LOOK_EVERY_US);
        if gate.room.clock.now() >= asked_at + STILL_COMING_US && clients.busy() == 0 {
            break;
        }
    }
    slog::info!(gate.log, "all answered");
    let _ = over.send(());
}
