//! curlewfront-gateway: one gateway on sockets around the decisions. The peers have a file each: clients,
//! servers, discovery; the module owns the decisions. The sockets themselves are the work of `net`. All of it runs on one thread of coroutines.

mod calls;
mod clients;
mod discovery;
mod gate;
mod log;
mod messages;
mod module;
mod request;
mod servers;
mod signals;

use curlewfront::Decider;
use curlewfront_config::Config;
use curlewfront_fleet::run::Handle;
use gate::Gate;
use net::clock::{Alarm, Alarms, Clock};
use net::door::Door;
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
    // From here on no signal ends the program by itself.
    let signals = match Signals::new([SIGTERM, SIGINT, SIGHUP]) {
        Ok(signals) => signals,
        Err(e) => {
            eprintln!("curlewfront-gateway: cannot watch for signals: {e}");
            return ExitCode::FAILURE;
        }
    };
    let (log, guard) = log::start(&config.name);
    let ran = start(config, log, signals);
    let code = match ran {
        Ok((over, fleet)) => {
            // Ends when all has been answered after a signal.
            let _ = over.recv();
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
    // Off, it is no thread, socket or file; on, what is wrong with its store is said before anything is served.
    let fleet = config.fleet.as_ref().map(|f| curlewfront_fleet::run::start(f, &config.name, &log));
    let fleet = fleet.transpose()?.map(Arc::new);
    let decider = Decider::new(config.settings.clone(), config.seed).map_err(|e| e.to_string())?;
    let clock = Clock::start();
    let alarms = Alarms::start(clock).map_err(|e| cannot("set up timers", e))?;
    let alarm = Alarm::new(clock).map_err(|e| cannot("set up timers", e))?;
    let pause = Alarm::new(clock).map_err(|e| cannot("set up timers", e))?;
    let mut gate = Gate::new(config, clock, alarms, log, alarm.bell(), pause.bell());
    gate.fleet.clone_from(&fleet);
    let gate = Arc::new(gate);
    let listen = gate.config.listen;
    let front = Arc::new(clients::Front(gate.clone()));
    let clients = Door::start(listen, gate.room.clone(), front)
        .map_err(|e| cannot(&format!("listen on {listen}"), e))?;
    let (over, ended) = std::sync::mpsc::channel();
    signals::start(gate.clone(), clients, signals, over).map_err(|e| cannot("watch for signals", e))?;
    module::start(gate.clone(), decider, alarm);
    discovery::start(gate.clone(), pause).map_err(|e| cannot("watch discovery", e))?;
    slog::info!(gate.log, "serving"; "listen" => %listen, "servers" => gate.config.known.servers.len(),
        "sockets" => gate.config.sockets, "memory_mb" => gate.config.memory_mb);
    Ok((ended, fleet))
}
