//! What all programs share: command line, settings, log, signals, links to other processes, and the loop that drives a
//! state machine. No decisions of the programs are made here.

pub mod datagram;
pub mod event_loop;
pub mod link;
pub mod link_limits;
pub mod log_buffer;

use crate::event_loop::{Inbox, StateMachine};
use crate::link::{Event, LinkHandle};
use crate::link_limits::LinkLimits;
use miette::{Report, Result, miette};
use net::clock::{Alarm, Alarms, Clock};
use net::mailbox::Mailbox;
use net::resources::Resources;
use serde::de::DeserializeOwned;
use settings::Settings;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::mpsc::Receiver;

/// The environment that a program is started with.
pub struct Runtime {
    pub settings: Settings,
    file: Option<PathBuf>,
    signals: Option<Signals>,
    /// Drawn at random for this process, so that others can tell it from an earlier one.
    pub life: u64,
}

/// The limit of descriptors where the settings name none.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// The limit of memory where the settings name none.
const DEFAULT_MEMORY_MB: u64 = 128;

/// The clock, the timer and the inbox on which a program's state machine runs.
pub struct EventLoop<T> {
    pub clock: Clock,
    alarm: Alarm,
    pub inbox: Inbox<T>,
}

impl<T: Send + 'static> EventLoop<T> {
    /// Runs the machine until `finished` is signalled.
    pub fn run(self, machine: impl StateMachine<Message = T>, finished: &Receiver<()>) -> Result<()> {
        let main_loop = event_loop::spawn(self.clock, self.alarm, self.inbox, machine);
        exit_with(main_loop)?;
        finished.recv().map_err(|_| miette!(LOOP_ENDED))
    }
}

const LOOP_ENDED: &str = "the main loop has ended unexpectedly";

/// Exits the program if its main loop ends, which it never does in normal operation. A loop that has overflowed its
/// stack frees nothing and tells nobody: without this, listeners would go on accepting connections that nobody answers,
/// and the program would count as ready.
fn exit_with(main_loop: may::coroutine::JoinHandle<()>) -> Result<()> {
    let thread = std::thread::Builder::new().name("work".into()).stack_size(64 * 1024);
    let started = thread.spawn(move || {
        let _ = main_loop.join();
        log_buffer::dump(LOOP_ENDED);
        eprintln!("{LOOP_ENDED}");
        std::process::exit(1);
    });
    started.map(|_| ()).map_err(|e| miette!("cannot start a thread: {e}"))
}

/// What a signal asks of a running program.
pub enum SignalEvent {
    /// Shut down in order.
    Stop,
    /// Use these settings, which have been read again.
    Settings(Box<Settings>),
}

/// Runs a program: reads its command line and settings, reports errors in them on standard error, and calls `program`.
pub fn run(name: &'static str, about: &'static str, program: impl FnOnce(Runtime) -> Result<()>) -> ExitCode {
    // Before anything else: a signal that arrives earlier kills the program, even SIGHUP, which only says that settings
    // have changed. Signals that arrive from here on are kept until `on_signal` is called.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]);
    let command = clap::Command::new(name)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            clap::Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(clap::value_parser!(PathBuf))
                .help(format!(
                    "The settings file; by default the one that the variable {} names",
                    settings::settings::VARIABLE
                )),
        )
        .arg(clap::Arg::new("chatty").long("chatty").action(clap::ArgAction::SetTrue).help(
            "Writes each line of the log at once, instead of the latest ones when something goes wrong",
        ))
        .arg(
            clap::Arg::new("check")
                .long("check")
                .action(clap::ArgAction::SetTrue)
                .help("Reads the settings, reports errors in them, and exits"),
        );
    let args = command.get_matches();
    let file = args.get_one::<PathBuf>("settings").cloned();
    let start = || -> Result<()> {
        let settings = read(file.as_ref())?;
        if args.get_flag("check") {
            println!("{name}: settings of {} are good", settings.name);
            return Ok(());
        }
        log_buffer::start(name, &settings.name, args.get_flag("chatty"))?;
        let signals = signals.map_err(|e| miette!("cannot watch for signals: {e}"))?;
        program(Runtime { settings, file, signals: Some(signals), life: fastrand::u64(1..) })
    };
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            log_buffer::dump(&format!("stopped: {why}"));
            eprintln!("{name}: {}", one_line(&why));
            ExitCode::FAILURE
        }
    }
}

/// An error and its causes in one line.
fn one_line(why: &Report) -> String {
    why.chain().map(ToString::to_string).collect::<Vec<_>>().join(": ")
}

fn read(file: Option<&PathBuf>) -> Result<Settings> {
    match file {
        None => Ok(Settings::load()?),
        Some(file) => {
            let text = std::fs::read_to_string(file).map_err(|e| miette!("{}: {e}", file.display()))?;
            Ok(Settings::read(&text)?)
        }
    }
}

impl Runtime {
    /// Calls `handler` with each signal, on a thread of its own, because reading the settings file must not delay the
    /// main loop. An invalid settings file changes nothing.
    pub fn on_signal(&mut self, handler: impl Fn(SignalEvent) + Send + 'static) -> Result<()> {
        let Some(mut signals) = self.signals.take() else { return Ok(()) };
        let file = self.file.clone();
        let thread = std::thread::Builder::new().name("signals".into()).stack_size(64 * 1024);
        let started = thread.spawn(move || {
            for signal in signals.forever() {
                if signal != SIGHUP {
                    handler(SignalEvent::Stop);
                } else {
                    match read(file.as_ref()) {
                        Ok(settings) => handler(SignalEvent::Settings(Box::new(settings))),
                        Err(why) => log::error!(
                            "new settings rejected, the old ones stay in force: {}",
                            one_line(&why)
                        ),
                    }
                }
            }
        });
        started.map(|_| ()).map_err(|e| miette!("cannot start a thread: {e}"))
    }

    /// Sets up the coroutines, the clock, and the inbox of the state machine. To be called once in a program.
    pub fn event_loop<T>(&self) -> Result<EventLoop<T>> {
        net::set_up();
        let clock = Clock::start();
        let alarm = Alarm::new(clock).map_err(|e| miette!("cannot set up timers: {e}"))?;
        let inbox = Arc::new(Mailbox::new(alarm.waker()));
        Ok(EventLoop { clock, alarm, inbox })
    }

    /// The resources that listeners and pools share. `reserved`: descriptors, of those that the settings grant, that
    /// are kept for other uses.
    pub fn room(&self, clock: Clock, reserved: u64) -> Result<Arc<Resources>> {
        let alarms = Alarms::start(clock).map_err(|e| miette!("cannot set up timers: {e}"))?;
        let limits = &self.settings.limits;
        let sockets =
            limits.descriptor_limit.unwrap_or(DEFAULT_DESCRIPTORS).saturating_sub(reserved) as usize;
        let memory = limits.memory_size_mb.unwrap_or(DEFAULT_MEMORY_MB);
        let warn = Box::new(|what: std::fmt::Arguments| log::warn!("{what}"));
        Ok(Arc::new(Resources::new(sockets, memory, clock, alarms, warn)))
    }

    /// The limits of the links that this process accepts: one descriptor in `divisor` at the most.
    pub fn link_limits(&self, resources: &Arc<Resources>, divisor: u64) -> Arc<LinkLimits> {
        let limits = &self.settings.limits;
        let memory_mb = limits.memory_size_mb.unwrap_or(DEFAULT_MEMORY_MB);
        let max_links = limits.descriptor_limit.unwrap_or(DEFAULT_DESCRIPTORS) / divisor;
        LinkLimits::new(resources.clone(), memory_mb, max_links as usize, link::MIN_FRAME_MEMORY_BYTES)
    }

    /// Accepts links on one of this machine's internal ports. For each, `accepted` is posted first, then its events.
    pub fn listen<I, T>(
        &self,
        limits: &Arc<LinkLimits>,
        port: u16,
        inbox: &Inbox<T>,
        accepted: fn(LinkHandle) -> T,
        event: fn(u64, Event<I>) -> T,
    ) -> Result<SocketAddr>
    where
        I: DeserializeOwned + 'static,
        T: Send + 'static,
    {
        let (addr, inbox) = (self.internal_addr(port)?, inbox.clone());
        let listening = link::listen(addr, link::ACK_TIMEOUT, limits.clone(), move |handle, _| {
            inbox.post(accepted(handle));
            let inbox = inbox.clone();
            move |link, happened| inbox.post(event(link, happened))
        });
        listening.map(|()| addr).map_err(|e| miette!("cannot listen on {addr}: {e}"))
    }

    /// The address of one of this machine's internal ports.
    pub fn internal_addr(&self, port: u16) -> Result<SocketAddr> {
        internal_addr(&self.settings, self.settings.ip, port)
    }

    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        seeds(&self.settings)
    }
}

/// The address of an internal port, which has the same number on all machines.
pub fn internal_addr(settings: &Settings, ip: Ipv4Addr, port: u16) -> Result<SocketAddr> {
    let ports = &settings.internal_ports;
    let number = ports.start().checked_add(port).filter(|n| ports.contains(n));
    let number = number.ok_or_else(|| {
        miette!("network_terms.internal_ports: at least {} are needed, found {ports:?}", port + 1)
    })?;
    Ok(SocketAddr::V4(SocketAddrV4::new(ip, number)))
}

/// The IPv4 addresses of the seed nodes.
pub fn seeds(settings: &Settings) -> Vec<Ipv4Addr> {
    let ipv4 = |s: &SocketAddr| match s.ip() {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    };
    settings.seeds.iter().filter_map(ipv4).collect()
}
