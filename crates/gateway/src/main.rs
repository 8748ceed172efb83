//! curlewfront-gateway: one gateway on sockets around the decisions. Clients, servers and discovery have a file each;
//! the decision actor owns the decisions. `net` handles the sockets. The sockets, the decisions and the watch of
//! discovery are coroutines on one thread.

mod backoff;
mod clients;
mod decisions;
mod discovery;
mod log;
mod messages;
mod request;
mod servers;
mod shared;
mod signals;

use curlewfront::Decider;
use curlewfront_config::Config;
use curlewfront_fleet::run::Handle;
use net::clock::{Alarm, Alarms, Clock};
use net::listener::Listener;
use shared::Shared;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::mpsc::Receiver;

fn main() -> ExitCode {
    let config = match Config::load(|name| std::env::var(name).ok()) {
        Ok(config) => config,
        Err(why) => {
            eprintln!("curlewfront-gateway: {why}");
            return ExitCode::FAILURE;
        }
    };
    // From here on these signals no longer end the program by themselves.
    let signals = match Signals::new([SIGTERM, SIGINT, SIGHUP]) {
        Ok(signals) => signals,
        Err(e) => {
            eprintln!("curlewfront-gateway: cannot watch for signals: {e}");
            return ExitCode::FAILURE;
        }
    };
    let (log, guard) = log::start(&config.name);
    let code = match start(config, log, signals) {
        Ok((drained, fleet)) => {
            // Returns when all requests have been answered after a signal.
            let _ = drained.recv();
            if let Some(fleet) = fleet {
                fleet.leave();
            }
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("curlewfront-gateway: {why}");
            ExitCode::FAILURE
        }
    };
    drop(guard);
    code
}

fn start(
    config: Config,
    log: slog::Logger,
    signals: Signals,
) -> Result<(Receiver<()>, Option<Arc<Handle>>), String> {
    net::set_up();
    let cannot = |what: &str, e: std::io::Error| format!("cannot {what}: {e}");
    // Without a `fleet` configuration no thread, socket or file is opened for the group. With one, an error in its store
    // is reported before the gateway serves anything.
    let fleet = config.fleet.as_ref().map(|f| curlewfront_fleet::run::start(f, &config.name, &log));
    let fleet = fleet.transpose()?.map(Arc::new);
    let decider = Decider::new(config.settings.clone(), config.seed).map_err(|e| e.to_string())?;
    let clock = Clock::start();
    let alarms = Alarms::start(clock).map_err(|e| cannot("set up timers", e))?;
    let alarm = Alarm::new(clock).map_err(|e| cannot("set up timers", e))?;
    let discovery_alarm = Alarm::new(clock).map_err(|e| cannot("set up timers", e))?;
    let mut shared = Shared::new(config, clock, alarms, log, alarm.waker(), discovery_alarm.waker());
    shared.fleet.clone_from(&fleet);
    let shared = Arc::new(shared);
    let listen = shared.config.listen;
    let handler = Arc::new(clients::ClientHandler(shared.clone()));
    let clients = Listener::start(listen, shared.room.clone(), handler)
        .map_err(|e| cannot(&format!("listen on {listen}"), e))?;
    let (drained, drained_receiver) = std::sync::mpsc::channel();
    signals::start(shared.clone(), clients, signals, drained).map_err(|e| cannot("watch for signals", e))?;
    decisions::start(shared.clone(), decider, alarm);
    discovery::start(shared.clone(), discovery_alarm).map_err(|e| cannot("watch discovery", e))?;
    slog::info!(shared.log, "serving"; "listen" => %listen, "servers" => shared.config.known.servers.len(),
        "sockets" => shared.config.sockets, "memory_mb" => shared.config.memory_mb);
    Ok((drained_receiver, fleet))
}
