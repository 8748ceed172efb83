//! The runtime that each program works in: its command line, settings, log and signals, the links to the other processes,
//! and the loop that drives a state machine. No decision is made here.

pub mod datagram;
pub mod link;
pub mod ring;
pub mod turn;

use crate::link::{Event, Line};
use crate::turn::{Inbox, Machine};
use miette::{Report, Result, miette};
use net::clock::{Alarm, Alarms, Clock};
use net::mailbox::Mailbox;
use net::room::Room;
use serde::de::DeserializeOwned;
use settings::Settings;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::mpsc::Receiver;

/// What a program is started with.
pub struct Start {
    pub settings: Settings,
    file: Option<PathBuf>,
    signals: Option<Signals>,
    /// Drawn for this process.
    pub life: u64,
}

/// Sockets and memory where the settings name none.
const SOCKETS: u64 = 1024;
const MEMORY_MB: u64 = 128;

/// What a program's machine works on.
pub struct Stage<T> {
    pub clock: Clock,
    alarm: Alarm,
    pub inbox: Inbox<T>,
}

impl<T: Send + 'static> Stage<T> {
    /// Turns the machine until it says on the other end of `ended` that all is over.
    pub fn work(self, machine: impl Machine<Told = T>, ended: &Receiver<()>) -> Result<()> {
        let work = turn::turn(self.clock, self.alarm, self.inbox, machine);
        end_with(work)?;
        ended.recv().map_err(|_| miette!(FAULT))
    }
}

const FAULT: &str = "the work has ended by a fault";

/// Ends the program if its work ends by itself. It never does in order, and one that has overflowed its stack frees nothing
/// and tells nobody: listeners would go on taking connections that nobody answers, and count as ready.
fn end_with(work: may::coroutine::JoinHandle<()>) -> Result<()> {
    let thread = std::thread::Builder::new().name("work".into()).stack_size(64 * 1024);
    let started = thread.spawn(move || {
        let _ = work.join();
        ring::write_out(FAULT);
        eprintln!("{FAULT}");
        std::process::exit(1);
    });
    started.map(|_| ()).map_err(|e| miette!("cannot start a thread: {e}"))
}

/// What the platform asks of a running program.
pub enum Asked {
    /// End in order.
    Stop,
    /// The settings file has changed; this is it as it is now.
    Settings(Box<Settings>),
}

/// Runs a program: reads its command line and settings, and says on standard error what is wrong with them.
pub fn run(name: &'static str, about: &'static str, work: impl FnOnce(Start) -> Result<()>) -> ExitCode {
    // Before anything else: a signal that comes earlier ends the program, even the one that only says that settings have
    // changed. What comes from here on waits until it is watched for.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]);
    let command =
        clap::Command::new(name)
            .about(about)
            .version(env!("CARGO_PKG_VERSION"))
            .arg(
                clap::Arg::new("settings")
                    .long("settings")
                    .value_name("FILE")
                    .value_parser(clap::value_parser!(PathBuf))
                    .help(format!(
                        "The settings file; without it the variable {} names it",
                        settings::settings::VARIABLE
                    )),
            )
            .arg(clap::Arg::new("chatty").long("chatty").action(clap::ArgAction::SetTrue).help(
                "Writes each line of the log at once, instead of the last ones when something goes wrong",
            ))
            .arg(
                clap::Arg::new("check")
                    .long("check")
                    .action(clap::ArgAction::SetTrue)
                    .help("Reads the settings, says what is wrong with them, and ends"),
            );
    let given = command.get_matches();
    let file = given.get_one::<PathBuf>("settings").cloned();
    let held = || -> Result<()> {
        let settings = read(file.as_ref())?;
        if given.get_flag("check") {
            println!("{name}: settings of {} are good", settings.name);
            return Ok(());
        }
        ring::start(name, &settings.name, given.get_flag("chatty"))?;
        let signals = signals.map_err(|e| miette!("cannot watch for signals: {e}"))?;
        work(Start { settings, file, signals: Some(signals), life: fastrand::u64(1..) })
    };
    match held() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            ring::write_out(&format!("ends: {why}"));
            eprintln!("{name}: {}", line(&why));
            ExitCode::FAILURE
        }
    }
}

/// An error and its causes in one line.
fn line(why: &Report) -> String {
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

impl Start {
    /// Calls `told` with each signal, on a thread of its own: it reads a file, which must not hold up the work. A file
    /// that is no good changes nothing.
    pub fn watch(&mut self, told: impl Fn(Asked) + Send + 'static) -> Result<()> {
        let Some(mut signals) = self.signals.take() else { return Ok(()) };
        let file = self.file.clone();
        let thread = std::thread::Builder::new().name("signals".into()).stack_size(64 * 1024);
        let started = thread.spawn(move || {
            for signal in signals.forever() {
                if signal != SIGHUP {
                    told(Asked::Stop);
                } else {
                    match read(file.as_ref()) {
                        Ok(settings) => told(Asked::Settings(Box::new(settings))),
                        Err(why) => log::error!("new settings refused, the old ones stay: {}", line(&why)),
                    }
                }
            }
        });
        started.map(|_| ()).map_err(|e| miette!("cannot start a thread: {e}"))
    }

    /// Sets up the coroutines, the clock, and where a machine's messages go. Once in a program.
    pub fn stage<T>(&self) -> Result<Stage<T>> {
        net::set_up();
        let clock = Clock::start();
        let alarm = Alarm::new(clock).map_err(|e| miette!("cannot set up timers: {e}"))?;
        let inbox = Arc::new(Mailbox::new(alarm.bell()));
        Ok(Stage { clock, alarm, inbox })
    }

    /// What listeners and pools share: so many of the descriptors that the settings grant are kept for other things.
    pub fn room(&self, clock: Clock, kept: u64) -> Result<Arc<Room>> {
        let alarms = Alarms::start(clock).map_err(|e| miette!("cannot set up timers: {e}"))?;
        let limits = &self.settings.limits;
        let sockets = limits.descriptor_limit.unwrap_or(SOCKETS).saturating_sub(kept) as usize;
        let memory = limits.memory_size_mb.unwrap_or(MEMORY_MB);
        let warn = Box::new(|what: std::fmt::Arguments| log::warn!("{what}"));
        Ok(Arc::new(Room::new(sockets, memory, clock, alarms, warn)))
    }

    /// Takes links on one of this machine's internal ports: each is posted first, then what becomes of it.
    pub fn listen<I, T>(
        &self,
        port: u16,
        inbox: &Inbox<T>,
        taken: fn(Line) -> T,
        says: fn(u64, Event<I>) -> T,
    ) -> Result<SocketAddr>
    where
        I: DeserializeOwned + 'static,
        T: Send + 'static,
    {
        let (addr, inbox) = (self.internal(port)?, inbox.clone());
        let listens = link::listen(addr, link::SILENCE, move |line, _| {
            inbox.post(taken(line));
            let inbox = inbox.clone();
            move |link, event| inbox.post(says(link, event))
        });
        listens.map(|()| addr).map_err(|e| miette!("cannot listen on {addr}: {e}"))
    }

    /// The address of one of this machine's internal ports.
    pub fn internal(&self, port: u16) -> Result<SocketAddr> {
        internal(&self.settings, self.settings.ip, port)
    }

    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        seeds(&self.settings)
    }
}

/// Internal ports are alike on all machines.
pub fn internal(settings: &Settings, ip: Ipv4Addr, port: u16) -> Result<SocketAddr> {
    let ports = &settings.internal_ports;
    let number = ports.start().checked_add(port).filter(|n| ports.contains(n));
    let number = number.ok_or_else(|| {
        miette!("network_terms.internal_ports: at least {} are needed, found {ports:?}", port + 1)
    })?;
    Ok(SocketAddr::V4(SocketAddrV4::new(ip, number)))
}

pub fn seeds(settings: &Settings) -> Vec<Ipv4Addr> {
    let four = |s: &SocketAddr| match s.ip() {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    };
    settings.seeds.iter().filter_map(four).collect()
}
