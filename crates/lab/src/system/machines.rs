//! The system's own processes: started as on real machines, one settings file each, on addresses of this machine's
//! loopback; signalled, ended, robbed of their disks; and ended all of them when the rig goes, whatever happens.

use super::call::{Call, good};
use super::handlers::{HANDLERS_LIMIT, catches};
use super::log::{Log, lock};
use super::observed::LateHandlers;
use super::{MS, all};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use settings::Scheme;
use settings::scheme::{Part, Program};
use simulator::Micros;
use simulator::record::Host;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// From the start of a process until it takes part, at the most; a trouble lasts so much longer.
const UP: Micros = 500 * MS;
const LOOK: Duration = Duration::from_millis(50);
/// Between two looks whether a process that was just started has its signal handlers.
const HANDLERS_LOOK: Duration = Duration::from_millis(10);
/// Between the end of processes by themselves and their next start.
const FELL_BACK: Duration = Duration::from_millis(500);
/// Of processor time, as the kernel counts it.
const TICKS_PER_SECOND: u64 = 100;

/// A block of loopback addresses that no other rig on this machine uses: it is held by a socket.
pub struct Block {
    pub parts: [u8; 2],
    _held: std::net::TcpListener,
}

impl Block {
    pub fn take() -> Result<Block, String> {
        let first = std::process::id();
        // Blocks that people use by hand are passed over.
        let blocks = (0..200u32).map(|n| first.wrapping_add(n.wrapping_mul(7919)) % (200 * 250));
        for n in blocks {
            let parts = [40 + (n / 250) as u8, (n % 250) as u8];
            let ip = Ipv4Addr::new(127, parts[0], parts[1], 255 - 1);
            if let Ok(held) = std::net::TcpListener::bind((ip, 7739)) {
                return Ok(Block { parts, _held: held });
            }
        }
        Err("no block of loopback addresses is free".into())
    }
}

struct Held {
    part: Part,
    child: Option<Child>,
    /// It is meant to run.
    wanted: bool,
    lives: u64,
    /// It was asked to end in order, and whoever asked starts it again.
    ending: bool,
    started_at: Instant,
    /// Since when it has not run.
    ended_at: Option<Instant>,
}

impl Held {
    /// Whether no process is there, seen now.
    fn gone(&mut self) -> bool {
        let ended = match self.child.as_mut().map(Child::try_wait) {
            Some(Ok(Some(_))) | None => true,
            Some(_) => false,
        };
        if ended {
            self.child = None;
            self.ended_at.get_or_insert_with(Instant::now);
        }
        ended
    }
}

/// What the kernel counts of a running process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessorTime {
    pub life: u64,
    pub ms: u64,
}

pub struct Process {
    pub host: Host,
    pub program: Program,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub name: String,
    path: PathBuf,
    log: PathBuf,
    binary: PathBuf,
    /// It writes each line of its log at once.
    verbose: bool,
    held: Mutex<Held>,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    /// Starts it, unless it runs.
    pub fn start(&self) -> Result<(), String> {
        let cannot = |what: &Path, e: std::io::Error| format!("{}: {e}", what.display());
        let mut held = lock(&self.held);
        if held.ending && held.child.is_some() {
            return Ok(());
        }
        held.wanted = true;
        if held.child.is_some() {
            return Ok(());
        }
        write_whole(&self.path, &held.part.settings)?;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.map_err(|e| cannot(&self.log, e))?;
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(&self.path)
            .args(self.verbose.then_some("--chatty"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| cannot(&self.binary, e))?;
        held.child = Some(child);
        (held.ending, held.ended_at) = (false, None);
        held.started_at = Instant::now();
        held.lives += 1;
        Ok(())
    }

    /// How long it has not run; none: it runs.
    pub fn down_for(&self) -> Option<Duration> {
        let mut held = lock(&self.held);
        held.gone().then(|| held.ended_at.map_or(Duration::ZERO, |at| at.elapsed()))
    }

    /// Processor time of the life that runs now.
    pub fn processor_time(&self) -> Option<ProcessorTime> {
        let held = lock(&self.held);
        let pid = held.child.as_ref()?.id();
        let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // Behind the name, which may hold anything: the 12th and the 13th field are ticks in the program and in the kernel.
        let fields: Vec<&str> = text.rsplit(')').next()?.split_whitespace().collect();
        let ticks = |n: usize| fields.get(n)?.parse::<u64>().ok();
        let ms = (ticks(11)? + ticks(12)?) * 1000 / TICKS_PER_SECOND;
        Some(ProcessorTime { life: held.lives, ms })
    }

    /// The process id; none: it has ended.
    pub fn id(&self) -> Option<u32> {
        let mut held = lock(&self.held);
        if held.gone() { None } else { held.child.as_ref().map(Child::id) }
    }

    pub fn life(&self) -> u64 {
        lock(&self.held).lives
    }

    /// The settings file as it is to be read now.
    fn rewrite(&self) -> Result<(), String> {
        write_whole(&self.path, &lock(&self.held).part.settings)
    }

    /// Waits until the process that runs now catches this signal, and puts down one that takes too long. Whether it may be
    /// sent; no where the process has ended, or is too late.
    async fn stands(&self, log: &Log, signal: Signal) -> bool {
        let life = self.life();
        let limit = Duration::from_micros(HANDLERS_LIMIT);
        loop {
            let (now, pid, age) = {
                let held = lock(&self.held);
                (held.lives, held.child.as_ref().map(Child::id), held.started_at.elapsed())
            };
            let Some(pid) = pid.filter(|_| now == life) else { return false };
            if catches(Pid::from_raw(pid as i32), signal) {
                return true;
            }
            if age > limit {
                // Not where it has ended and nobody has looked yet.
                if !self.gone() {
                    let waited = age.as_micros() as Micros;
                    let late = LateHandlers { at: log.now(), process: self.name.clone(), life, waited };
                    log.book().observed.late_handlers.push(late);
                }
                return false;
            }
            tokio::time::sleep(HANDLERS_LOOK).await;
        }
    }

    /// To a process that runs, whether or not it catches it.
    fn signal(&self, signal: Signal) {
        // Under the lock, so the number still is this child's.
        if let Some(child) = &lock(&self.held).child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// To a process that catches it: another life may have begun since that was waited for.
    fn signal_caught(&self, signal: Signal) {
        if let Some(child) = &lock(&self.held).child {
            let pid = Pid::from_raw(child.id() as i32);
            if catches(pid, signal) {
                let _ = kill(pid, signal);
            }
        }
    }

    /// SIGKILL, without waiting for the end. That it is not to run any more is said first: else its end would pass for one
    /// of its own.
    fn send_kill(&self) {
        let mut held = lock(&self.held);
        held.wanted = false;
        if let Some(child) = &mut held.child {
            let _ = child.kill();
        }
    }

    /// SIGKILL; back once it is gone.
    pub fn kill(&self) {
        let mut held = lock(&self.held);
        held.wanted = false;
        if let Some(mut child) = held.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        held.ended_at.get_or_insert_with(Instant::now);
    }

    /// SIGTERM once its handlers are in place, and SIGKILL to what is still there after the grace.
    async fn terminate(&self, log: &Log, grace: Duration) {
        let stands = self.stands(log, Signal::SIGTERM).await;
        let life = {
            let mut held = lock(&self.held);
            (held.wanted, held.ending) = (false, true);
            held.lives
        };
        if stands {
            self.signal_caught(Signal::SIGTERM);
        }
        let until = tokio::time::Instant::now() + grace;
        // Another who ended it may have started it again meanwhile.
        let over = || self.gone() || self.life() != life;
        while tokio::time::Instant::now() < until && !over() {
            tokio::time::sleep(LOOK).await;
        }
        if !over() {
            self.kill();
        }
    }

    fn gone(&self) -> bool {
        lock(&self.held).gone()
    }

    /// It was to run and has ended by itself. Under one lock: a kill between the two looks would pass for an end of its own.
    fn fell(&self) -> bool {
        let mut held = lock(&self.held);
        held.wanted && held.gone()
    }
}

/// A file that is never seen in part: a process may be starting and read it just now.
fn write_whole(path: &Path, text: &str) -> Result<(), String> {
    let next = path.with_extension("next");
    let written = std::fs::write(&next, text).and_then(|()| std::fs::rename(&next, path));
    written.map_err(|e| format!("{}: {e}", path.display()))
}

pub struct Machines {
    pub scheme: Scheme,
    pub dir: PathBuf,
    pub processes: Vec<Process>,
    pub block: Block,
}

impl Machines {
    /// Writes the settings of all; nothing runs yet.
    pub fn new(
        scheme: Scheme,
        block: Block,
        dir: &Path,
        bin: &Path,
        verbose: bool,
    ) -> Result<Machines, String> {
        std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        let cores = scheme.core.len();
        let place = |ip: Ipv4Addr| {
            let all = scheme.core.iter().chain(&scheme.edge);
            all.into_iter().position(|m| m.ip == ip).expect("a machine of the scheme")
        };
        let mut processes = Vec::new();
        for part in scheme.parts(true).map_err(|e| e.to_string())? {
            let binary = bin.join(part.program.binary());
            if !binary.exists() {
                return Err(format!("{}: no such program; `make system-demo` builds it", binary.display()));
            }
            let path = dir.join(part.file());
            processes.push(Process {
                host: place(part.machine.ip),
                program: part.program,
                ip: part.machine.ip,
                zone: part.machine.zone.clone(),
                name: format!("{}.{}", part.machine.name, part.program.name()),
                log: path.with_extension("log"),
                path,
                binary,
                verbose,
                held: Mutex::new(Held {
                    part,
                    child: None,
                    wanted: false,
                    lives: 0,
                    ending: false,
                    started_at: Instant::now(),
                    ended_at: None,
                }),
            });
        }
        debug_assert!(processes.iter().all(|p| (p.host < cores) == (p.program != Program::Proxy)));
        Ok(Machines { scheme, dir: dir.to_path_buf(), processes, block })
    }

    /// Starts the whole system for the first time. Whatever starts again is told that it is not the first.
    pub fn start_all(&self) -> Result<(), String> {
        self.processes.iter().try_for_each(Process::start)?;
        self.processes.iter().try_for_each(|p| self.settle(p, 0))
    }

    /// Settings of a process for its next start, or to be read again; `turned`: the list of seeds begins so many core
    /// machines later.
    fn settle(&self, process: &Process, turned: usize) -> Result<(), String> {
        let mut scheme = self.scheme.clone();
        let cores = scheme.core.len();
        scheme.core.rotate_left(turned % cores);
        let mut held = lock(&process.held);
        held.part = scheme
            .part(process.program, &held.part.machine.clone(), false)
            .map_err(|e| format!("{}: {e}", process.name))?;
        Ok(())
    }

    /// The settings files of these name other seeds, and SIGHUP says so to each that runs and has its handlers.
    pub async fn hang_up(&self, log: &Log, which: &[&Process], turned: usize) {
        let names: Vec<&str> = which.iter().map(|p| p.name.as_str()).collect();
        log.note(format!("SIGHUP: {}", names.join(", ")));
        for p in which {
            let written = self.settle(p, turned).and_then(|()| p.rewrite());
            if let Err(why) = written {
                log.note(why);
            }
        }
        all(which.iter().map(|p| async {
            if p.stands(log, Signal::SIGHUP).await {
                log.book().hangups.push((log.now(), p.host));
                p.signal_caught(Signal::SIGHUP);
            }
        }))
        .await;
    }

    pub fn cores(&self) -> usize {
        self.scheme.core.len()
    }

    pub fn control(&self, core: usize) -> SocketAddr {
        (self.scheme.core[core].ip, self.scheme.ports.control).into()
    }

    pub fn directory(&self, core: usize) -> SocketAddr {
        (self.scheme.core[core].ip, self.scheme.ports.directory).into()
    }

    pub fn front(&self, process: &Process) -> SocketAddr {
        (process.ip, self.scheme.ports.front).into()
    }

    pub fn readiness(&self, process: &Process) -> SocketAddr {
        (process.ip, self.scheme.ports.readiness).into()
    }

    /// The proxy whose clients' address this is.
    pub fn proxy_at(&self, front: SocketAddr) -> Option<&Process> {
        let proxies = self.processes.iter().filter(|p| p.program == Program::Proxy);
        proxies.into_iter().find(|p| SocketAddr::from((p.ip, self.scheme.ports.front)) == front)
    }

    /// The core machine whose registry says that it stands beside the leader.
    pub async fn leader(&self) -> Option<Host> {
        for core in 0..self.cores() {
            let status = Call::plain("GET", "/api/status").on(self.control(core), || {}).await;
            let told = status.filter(|a| a.status == 200).and_then(|a| String::from_utf8(a.body).ok());
            let told = told.and_then(|text| jzon::parse(&text).ok());
            if told.is_some_and(|v| v["leads"].as_bool() == Some(true)) {
                return Some(core);
            }
        }
        None
    }

    /// How many proxies say that they are ready.
    pub async fn ready(&self) -> usize {
        let mut count = 0;
        for m in &self.scheme.edge {
            let at = (m.ip, self.scheme.ports.readiness).into();
            let ready = Call::plain("GET", "/api/readiness").on(at, || {}).await;
            count += usize::from(good(&ready));
        }
        count
    }

    /// Ends processes at once and starts them again after `back`; `wiped`: their disks are lost.
    pub async fn fall(&self, log: &Log, which: &[&Process], back: Micros, wiped: bool) {
        let what = if wiped { "killed, disk lost" } else { "killed" };
        let mut hosts: Vec<Host> = which.iter().map(|p| p.host).collect();
        hosts.dedup();
        let troubles: Vec<usize> = hosts.iter().map(|h| log.trouble(*h, false, what)).collect();
        let names: Vec<&str> = which.iter().map(|p| p.name.as_str()).collect();
        log.note(format!("{what}: {}", names.join(", ")));
        // All at one moment, as near as signals go.
        which.iter().for_each(|p| p.send_kill());
        which.iter().for_each(|p| p.kill());
        if wiped {
            which.iter().for_each(|p| self.wipe(log, p));
        }
        tokio::time::sleep(Duration::from_micros(back)).await;
        self.again(log, which);
        troubles.into_iter().for_each(|t| log.over(t, UP));
    }

    fn again(&self, log: &Log, which: &[&Process]) {
        for p in which {
            if let Err(why) = p.start() {
                log.note(format!("{} does not start: {why}", p.name));
            }
        }
        let names: Vec<&str> = which.iter().map(|p| p.name.as_str()).collect();
        log.note(format!("started again: {}", names.join(", ")));
    }

    /// Its folder is emptied.
    fn wipe(&self, log: &Log, p: &Process) {
        if p.program != Program::Store {
            return;
        }
        let folder = Path::new(&self.scheme.data).join(&lock(&p.held).part.machine.name);
        if let Err(e) = std::fs::remove_dir_all(&folder) {
            log.note(format!("{}: {e}", folder.display()));
        }
    }

    /// Ends a process in order and starts it again after `back`.
    pub async fn roll(&self, log: &Log, p: &Process, grace: Duration, back: Micros) {
        p.stands(log, Signal::SIGTERM).await;
        let asked = log.trouble(p.host, true, "asked to end");
        log.over(asked, 0); // a process that serves on is bound again once the contact time is over
        log.note(format!("asked to end: {}", p.name));
        p.terminate(log, grace).await;
        let away = log.trouble(p.host, true, "ended");
        log.note(format!("ended: {}", p.name));
        tokio::time::sleep(Duration::from_micros(back)).await;
        self.again(log, &[p]);
        log.over(away, UP);
    }

    /// Stops processes for a time, as a machine that hangs.
    pub async fn stall(&self, log: &Log, which: &[&Process], last: Micros) {
        let troubles: Vec<usize> = which.iter().map(|p| log.trouble(p.host, false, "stalled")).collect();
        let names: Vec<&str> = which.iter().map(|p| p.name.as_str()).collect();
        log.note(format!("stalled: {}", names.join(", ")));
        which.iter().for_each(|p| p.signal(Signal::SIGSTOP));
        tokio::time::sleep(Duration::from_micros(last)).await;
        which.iter().for_each(|p| p.signal(Signal::SIGCONT));
        log.note(format!("go on: {}", names.join(", ")));
        troubles.into_iter().for_each(|t| log.over(t, UP));
    }

    /// Starts again what ended by itself, as the platform would, and says so: all that ended together start together.
    pub async fn watch(&self, log: &Log) {
        loop {
            let fallen: Vec<&Process> = self.processes.iter().filter(|p| p.fell()).collect();
            for p in &fallen {
                log.note(format!("{} has ended by itself, see {}", p.name, p.log.display()));
                log.book().own_ends.push(p.name.clone());
            }
            if !fallen.is_empty() {
                tokio::time::sleep(FELL_BACK).await;
                self.again(log, &fallen);
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Ends all, proxies first, as one would by hand.
    pub async fn stop(&self, log: &Log, grace: Duration) {
        let proxies = self.processes.iter().filter(|p| p.program == Program::Proxy);
        let rest = self.processes.iter().filter(|p| p.program != Program::Proxy);
        for group in [proxies.collect::<Vec<_>>(), rest.collect()] {
            all(group.into_iter().map(|p| p.terminate(log, grace))).await;
        }
    }
}
