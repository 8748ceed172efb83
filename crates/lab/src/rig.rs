//! A fleet group of real gateway processes with a relay on each link between them, so that faults can be injected
//! *between* processes: links cut either way, slow, stalled, reset, broken off in the middle of a frame; members paused,
//! killed, robbed of their disks; all of them without power at once. Loopback only; everything ends with the rig.

use crate::gateways::keep_port;
use curlewfront_fleet::control::{Control, Failed};
use curlewfront_fleet::wire::{Frame, NodeStatus, Reader};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What a rig is made of.
#[derive(Clone, Debug)]
pub struct Setup {
    pub program: PathBuf,
    pub dir: PathBuf,
    pub voters: usize,
    pub watchers: usize,
    pub election_ms: u64,
    pub lease_ms: u64,
    pub compact_after: u64,
}

/// A fault between or at processes, by name. Members are numbered from 0, the voters first.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Nothing from `from` reaches `to`.
    LinkCut { from: usize, to: usize },
    /// Nothing crosses between `side` and the others.
    Partition { side: Vec<usize> },
    /// Every byte on every link takes this much longer.
    LinkDelay { ms: u64 },
    /// Links into `to` stay open, and nothing is read from them.
    LinkStall { to: usize },
    /// Every link into `to` is reset, again and again after so many milliseconds.
    LinkReset { to: usize, every_ms: u64 },
    /// Each connection is reset once it has carried so many bytes from the member that dialled it.
    LinkResetAfter { to: usize, bytes: u64 },
    /// The next bytes into `to` are passed on by half, then the connection is reset.
    LinkHalfFrame { to: usize },
    /// SIGSTOP, and SIGCONT at the end.
    Pause { member: usize },
    /// SIGKILL, started again at the end.
    Kill { member: usize },
    /// All members lose power at once: what was not synced is gone.
    PowerLoss,
    /// Killed; its store is empty when it starts again.
    DiskEmpty { member: usize },
    /// Killed; when it starts again its store is what [`Rig::copy_disk`] kept.
    DiskOldCopy { member: usize },
    /// The group's clock of one member jumps ahead.
    ClockJump { member: usize, ms: u64 },
}

impl Fault {
    pub fn name(&self) -> &'static str {
        match self {
            Fault::LinkCut { .. } => "link_cut",
            Fault::Partition { .. } => "partition",
            Fault::LinkDelay { .. } => "link_delay",
            Fault::LinkStall { .. } => "link_stall",
            Fault::LinkReset { .. } => "link_reset",
            Fault::LinkResetAfter { .. } => "link_reset_after",
            Fault::LinkHalfFrame { .. } => "link_half_frame",
            Fault::Pause { .. } => "pause",
            Fault::Kill { .. } => "kill",
            Fault::PowerLoss => "power_loss",
            Fault::DiskEmpty { .. } => "disk_empty",
            Fault::DiskOldCopy { .. } => "disk_old_copy",
            Fault::ClockJump { .. } => "clock_jump",
        }
    }
}

/// What was done to the group, and when, for the record.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub at_us: u64,
    pub what: String,
}

/// The state of one directed link, which its relay heeds.
#[derive(Debug, Default)]
struct Link {
    /// Bytes from the dialling member, and those back to it.
    blocked: [AtomicBool; 2],
    stalled: AtomicBool,
    delay_ms: AtomicU64,
    /// Connections of an older number are reset.
    reset: AtomicU64,
    half: AtomicBool,
    /// Reset again and again while this holds.
    breaking: AtomicBool,
    /// Bytes from the dialling member after which a connection is reset; 0: none.
    most_bytes: AtomicU64,
}

/// How often frames of each kind have crossed any link, for faults that wait for a point in the course of things.
#[derive(Debug, Default)]
struct Points(Mutex<BTreeMap<&'static str, u64>>);

impl Points {
    fn seen(&self, frame: &Frame) {
        let name = match frame {
            Frame::Peer(m) if m.name() == "append" && m.carries_entries() => "entries",
            Frame::Peer(m) => m.name(),
            Frame::Piece { .. } => "snapshot_part",
            Frame::Call { .. } => "call",
            _ => return,
        };
        *lock(&self.0).entry(name).or_default() += 1;
    }
}

struct Process {
    http: SocketAddr,
    control: SocketAddr,
    config: PathBuf,
    store: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    _ports: Vec<socket2::Socket>,
}

pub struct Rig {
    setup: Setup,
    processes: Mutex<Vec<Process>>,
    links: BTreeMap<(usize, usize), Arc<Link>>,
    points: Arc<Points>,
    rows: Mutex<Vec<Row>>,
    started: Instant,
    runtime: tokio::runtime::Runtime,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How often a relay looks whether what holds it back is over.
const LOOK: Duration = Duration::from_millis(2);

impl Rig {
    /// Lays out folders, ports, relays and configurations. No process runs yet.
    pub fn new(setup: Setup) -> Result<Rig, String> {
        let cannot = |what: &str, e: std::io::Error| format!("rig: cannot {what}: {e}");
        std::fs::create_dir_all(&setup.dir).map_err(|e| cannot("make its folder", e))?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .map_err(|e| cannot("start its runtime", e))?;
        let count = setup.voters + setup.watchers;
        let mut ports = Vec::new();
        for _ in 0..count {
            let three: Result<Vec<_>, _> = (0..3).map(|_| keep_port()).collect();
            ports.push(three.map_err(|e| cannot("keep a port", e))?);
        }
        let mut rig = Rig {
            processes: Mutex::new(Vec::new()),
            links: BTreeMap::new(),
            points: Arc::default(),
            rows: Mutex::new(Vec::new()),
            started: Instant::now(),
            runtime,
            setup,
        };
        let mut relays: BTreeMap<(usize, usize), SocketAddr> = BTreeMap::new();
        for from in 0..count {
            for to in (0..rig.setup.voters).filter(|to| *to != from) {
                let link = Arc::new(Link::default());
                let target = ports[to][1].1;
                let listener = rig.runtime.block_on(TcpListener::bind("127.0.0.1:0"));
                let listener = listener.map_err(|e| cannot("listen for a relay", e))?;
                relays.insert((from, to), listener.local_addr().map_err(|e| cannot("read its address", e))?);
                rig.runtime.spawn(relay(listener, target, link.clone(), rig.points.clone()));
                rig.links.insert((from, to), link);
            }
        }
        for (n, three) in ports.into_iter().enumerate() {
            let (sockets, addrs): (Vec<_>, Vec<_>) = three.into_iter().unzip();
            let voters: Vec<Value> = (0..rig.setup.voters)
                .map(|v| {
                    let addr = relays.get(&(n, v)).copied().unwrap_or(addrs[1]);
                    json!({"name": name(v), "addr": addr.to_string()})
                })
                .collect();
            let process = rig.lay_out(n, &addrs, &voters).map_err(|e| cannot("write a configuration", e))?;
            lock(&rig.processes).push(Process { _ports: sockets, ..process });
        }
        Ok(rig)
    }

    fn lay_out(&self, n: usize, addrs: &[SocketAddr], voters: &[Value]) -> std::io::Result<Process> {
        let store = self.setup.dir.join(name(n));
        let config = self.setup.dir.join(format!("{}.json", name(n)));
        let text = json!({
            "name": name(n), "listen": addrs[0].to_string(), "discovery": "127.0.0.1:9", "seed": format!("{n:x}"),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 128},
            "known": {"version": 1, "full": true, "servers": []},
            "settings": {
                "balancers": self.setup.voters + self.setup.watchers, "index": n, "localities": ["a"],
                "granularityUs": 1000, "membershipMode": "pushed",
                "classes": [{"name": "view", "aimUs": 500_000, "deadlineUs": 1_000_000, "effect": "repeatable",
                             "group": "all", "windowUs": 0, "lateWorth": 0.0}],
                "tiersOfService": [{"name": "team", "unitsPerS": 100.0, "depth": 100.0}],
                "familyInfo": {"meterUs": 0, "truedUp": false},
                "permissions": {"attemptsCap": 1, "retryAfter": true, "maxRetryAfterUs": 500_000},
                "rules": {"askWithinUs": 6_000_000, "coldFrom": 0.3, "coldUs": 10_000_000, "fallMultiple": 2.0,
                          "fallUs": 1_500_000},
            },
            "fleet": {
                "installation": "rig", "listen": addrs[1].to_string(), "control": addrs[2].to_string(),
                "dir": store.display().to_string(), "voters": voters, "electionMs": self.setup.election_ms,
                "leaseMs": self.setup.lease_ms, "compactAfter": self.setup.compact_after,
                "holdUnsynced": true, "testClock": true,
            },
        });
        std::fs::write(&config, text.to_string())?;
        Ok(Process {
            http: addrs[0],
            control: addrs[2],
            config,
            store,
            log: self.setup.dir.join(format!("{}.log", name(n))),
            child: None,
            _ports: Vec::new(),
        })
    }

    pub fn voters(&self) -> usize {
        self.setup.voters
    }

    pub fn members(&self) -> usize {
        self.setup.voters + self.setup.watchers
    }

    /// Microseconds since the rig was made.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    fn note(&self, what: String) {
        let at_us = self.now();
        lock(&self.rows).push(Row { at_us, what });
    }

    pub fn rows(&self) -> Vec<Row> {
        lock(&self.rows).clone()
    }

    pub fn start_all(&self) -> Result<(), String> {
        (0..self.members()).try_for_each(|n| self.start(n))
    }

    /// Starts a member that does not run.
    pub fn start(&self, n: usize) -> Result<(), String> {
        let mut processes = lock(&self.processes);
        let p = &mut processes[n];
        if p.child.is_some() {
            return Ok(());
        }
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&p.log);
        let log = log.map_err(|e| format!("{}: {e}", p.log.display()))?;
        p.child = Some(self.spawn(&p.config, log)?);
        drop(processes);
        self.note(format!("start {n}"));
        Ok(())
    }

    fn spawn(&self, config: &Path, log: std::fs::File) -> Result<Child, String> {
        Command::new(&self.setup.program)
            .env("EDGE_CONFIG", config)
            .env_remove("EDGE_LISTEN")
            .env_remove("EDGE_NAME")
            .env_remove("EDGE_DISCOVERY")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("cannot start {}: {e}", self.setup.program.display()))
    }

    /// A second process under the name of member `n`, with a store and ports of its own. The caller ends it.
    pub fn twin(&self, n: usize) -> Result<Twin, String> {
        let (config, log) = {
            let p = &lock(&self.processes)[n];
            (p.config.clone(), p.log.with_extension("twin.log"))
        };
        let cannot = |e: std::io::Error| format!("twin: {e}");
        let text = std::fs::read_to_string(&config).map_err(cannot)?;
        let mut value: Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        let ports: Vec<_> = (0..3).map(|_| keep_port()).collect::<Result<_, _>>().map_err(cannot)?;
        let dir = self.setup.dir.join(format!("{}-twin", name(n)));
        value["listen"] = json!(ports[0].1.to_string());
        value["fleet"]["listen"] = json!(ports[1].1.to_string());
        value["fleet"]["control"] = json!(ports[2].1.to_string());
        value["fleet"]["dir"] = json!(dir.display().to_string());
        let path = config.with_extension("twin.json");
        std::fs::write(&path, value.to_string()).map_err(cannot)?;
        let log = std::fs::File::create(log).map_err(cannot)?;
        let child = self.spawn(&path, log)?;
        let control = ports[2].1;
        Ok(Twin { child, control, _ports: ports.into_iter().map(|(s, _)| s).collect() })
    }

    fn signal(&self, n: usize, signal: Signal) {
        if let Some(child) = &lock(&self.processes)[n].child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// SIGKILL; returns once it is gone.
    pub fn stop(&self, n: usize) {
        let child = lock(&self.processes)[n].child.take();
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
            self.note(format!("killed {n}"));
        }
    }

    /// SIGTERM; whether it ended by itself in time.
    pub fn terminate(&self, n: usize, within: Duration) -> bool {
        self.signal(n, Signal::SIGTERM);
        let until = Instant::now() + within;
        while Instant::now() < until {
            let mut processes = lock(&self.processes);
            let p = &mut processes[n];
            if p.child.as_mut().is_none_or(|c| matches!(c.try_wait(), Ok(Some(_)))) {
                p.child = None;
                return true;
            }
            drop(processes);
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }

    pub fn running(&self, n: usize) -> bool {
        let mut processes = lock(&self.processes);
        processes[n].child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    pub fn pid(&self, n: usize) -> Option<u32> {
        lock(&self.processes)[n].child.as_ref().map(Child::id)
    }

    pub fn store(&self, n: usize) -> PathBuf {
        lock(&self.processes)[n].store.clone()
    }

    pub fn log(&self, n: usize) -> String {
        let path = lock(&self.processes)[n].log.clone();
        std::fs::read_to_string(path).unwrap_or_default()
    }

    pub fn http(&self, n: usize) -> SocketAddr {
        lock(&self.processes)[n].http
    }

    pub fn control(&self, n: usize) -> SocketAddr {
        lock(&self.processes)[n].control
    }

    /// Keeps a copy of a member's store as it is on disk now, for [`Fault::DiskOldCopy`].
    pub fn copy_disk(&self, n: usize) -> Result<(), String> {
        let store = self.store(n);
        copy(&store, &store.with_extension("copy")).map_err(|e| format!("copy of {}: {e}", store.display()))
    }

    pub fn status(&self, n: usize) -> Result<NodeStatus, Failed> {
        Control::open(self.control(n), Duration::from_secs(2))?.status()
    }

    /// The number of the member that leads, as a majority of the voters that answer say.
    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| {
            self.status(*n).is_ok_and(|s| s.voter.as_ref().is_some_and(|v| v.leads) && s.role == "voter")
        };
        (0..self.setup.voters).find(leads)
    }

    /// How many members hold their lease, as they say themselves.
    pub fn leased(&self) -> usize {
        (0..self.members()).filter(|n| self.status(*n).is_ok_and(|s| s.incarnation > 0)).count()
    }

    /// Waits until `holds`, for at most `within`. False if it never did.
    pub fn until(&self, within: Duration, mut holds: impl FnMut(&Rig) -> bool) -> bool {
        let until = Instant::now() + within;
        loop {
            if holds(self) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until a frame of this kind has crossed a link: `entries` (an append that carries some), `append`,
    /// `append_answer`, `vote`, `vote_answer`, `heartbeat`, `snapshot_part`, `call`. False if none did in time.
    pub fn at_point(&self, kind: &str, within: Duration) -> bool {
        let count = || lock(&self.points.0).get(kind).copied().unwrap_or(0);
        let (before, until) = (count(), Instant::now() + within);
        while count() == before {
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(Duration::from_micros(200));
        }
        true
    }

    /// How often frames of each kind have crossed links so far.
    pub fn crossed(&self) -> BTreeMap<&'static str, u64> {
        lock(&self.points.0).clone()
    }

    /// Begins a fault.
    pub fn inject(&self, fault: &Fault) -> Result<(), String> {
        self.note(format!("begin {fault:?}"));
        match fault {
            Fault::Kill { member } => self.stop(*member),
            Fault::Pause { member } => self.signal(*member, Signal::SIGSTOP),
            Fault::PowerLoss => {
                // Stopped first, so that none goes on a moment longer than another.
                (0..self.members()).for_each(|n| self.signal(n, Signal::SIGSTOP));
                (0..self.members()).for_each(|n| self.stop(n));
            }
            Fault::DiskEmpty { member } => {
                self.stop(*member);
                let store = self.store(*member);
                std::fs::remove_dir_all(&store).map_err(|e| format!("{}: {e}", store.display()))?;
            }
            Fault::DiskOldCopy { member } => {
                self.stop(*member);
                let store = self.store(*member);
                let old = store.with_extension("copy");
                copy(&old, &store).map_err(|e| format!("copy back to {}: {e}", store.display()))?;
            }
            Fault::ClockJump { member, ms } => {
                let control = Control::open(self.control(*member), Duration::from_secs(2));
                control.and_then(|mut c| c.jump(ms * 1000)).map_err(|e| e.to_string())?;
            }
            Fault::LinkHalfFrame { to } => self.into(*to).for_each(|l| l.half.store(true, Ordering::Relaxed)),
            other => self.set_links(other, true),
        }
        Ok(())
    }

    /// Ends a fault.
    pub fn heal(&self, fault: &Fault) -> Result<(), String> {
        self.note(format!("end {fault:?}"));
        match fault {
            Fault::Kill { member } | Fault::DiskEmpty { member } | Fault::DiskOldCopy { member } => {
                self.start(*member)
            }
            Fault::Pause { member } => {
                self.signal(*member, Signal::SIGCONT);
                Ok(())
            }
            Fault::PowerLoss => self.start_all(),
            Fault::ClockJump { .. } | Fault::LinkHalfFrame { .. } => Ok(()),
            other => {
                self.set_links(other, false);
                Ok(())
            }
        }
    }

    fn into(&self, to: usize) -> impl Iterator<Item = &Arc<Link>> {
        self.links.iter().filter(move |((_, t), _)| *t == to).map(|(_, l)| l)
    }

    /// Bytes from one member to another go over the link that the first dialled, and back over the one that the other
    /// dialled.
    fn block(&self, from: usize, to: usize, on: bool) {
        let directions = [(self.links.get(&(from, to)), 0), (self.links.get(&(to, from)), 1)];
        for (link, direction) in directions {
            if let Some(link) = link {
                link.blocked[direction].store(on, Ordering::Relaxed);
                // What was held back is lost with its connection, as after a cut of some length.
                if !on {
                    link.reset.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }

    fn set_links(&self, fault: &Fault, on: bool) {
        match fault {
            Fault::LinkCut { from, to } => self.block(*from, *to, on),
            Fault::Partition { side } => {
                for from in 0..self.members() {
                    for to in 0..self.members() {
                        if side.contains(&from) != side.contains(&to) {
                            self.block(from, to, on);
                        }
                    }
                }
            }
            Fault::LinkDelay { ms } => {
                let delay = if on { *ms } else { 0 };
                self.links.values().for_each(|l| l.delay_ms.store(delay, Ordering::Relaxed));
            }
            Fault::LinkStall { to } => {
                self.into(*to).for_each(|l| l.stalled.store(on, Ordering::Relaxed));
            }
            Fault::LinkResetAfter { to, bytes } => {
                let most = if on { *bytes } else { 0 };
                self.into(*to).for_each(|l| l.most_bytes.store(most, Ordering::Relaxed));
            }
            Fault::LinkReset { to, every_ms } => {
                let links: Vec<_> = self.into(*to).cloned().collect();
                links.iter().for_each(|l| l.breaking.store(on, Ordering::Relaxed));
                if on {
                    let every = Duration::from_millis(*every_ms);
                    self.runtime.spawn(async move {
                        while links.iter().any(|l| l.breaking.load(Ordering::Relaxed)) {
                            tokio::time::sleep(every).await;
                            for l in &links {
                                l.reset.fetch_add(1, Ordering::Relaxed);
                            }
                        }
                    });
                }
            }
            _ => {}
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        (0..self.members()).for_each(|n| {
            self.signal(n, Signal::SIGCONT);
            self.stop(n);
        });
    }
}

/// A second process under a member's name.
pub struct Twin {
    child: Child,
    pub control: SocketAddr,
    _ports: Vec<socket2::Socket>,
}

impl Drop for Twin {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn name(n: usize) -> String {
    format!("g{n}")
}

fn copy(from: &Path, to: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        std::fs::copy(entry.path(), to.join(entry.file_name()))?;
    }
    Ok(())
}

async fn relay(listener: TcpListener, target: SocketAddr, link: Arc<Link>, points: Arc<Points>) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            tokio::time::sleep(LOOK).await;
            continue;
        };
        tokio::spawn(through(near, target, link.clone(), points.clone()));
    }
}

/// Ends both sides with a reset, as a link that breaks does.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn through(near: TcpStream, target: SocketAddr, link: Arc<Link>, points: Arc<Points>) {
    let number = link.reset.load(Ordering::Relaxed);
    while link.blocked[0].load(Ordering::Relaxed) || link.blocked[1].load(Ordering::Relaxed) {
        // The connection does not come up as far as its other end is concerned.
        tokio::time::sleep(LOOK).await;
        if link.reset.load(Ordering::Relaxed) != number {
            return reset(&near);
        }
    }
    let Ok(far) = TcpStream::connect(target).await else { return reset(&near) };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    reset(&near);
    reset(&far);
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let broken = async {
        while link.reset.load(Ordering::Relaxed) == number {
            tokio::time::sleep(LOOK).await;
        }
    };
    tokio::select! {
        () = carry(near_in, far_out, &link, 0, Some(&points)) => {}
        () = carry(far_in, near_out, &link, 1, None) => {}
        () = broken => {}
    }
}

async fn carry(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    link: &Link,
    direction: usize,
    points: Option<&Points>,
) {
    let mut frames = Reader::default();
    // Delayed bytes keep their order and do not hold each other up: each goes on when its own time has come.
    let (queue, mut due) = tokio::sync::mpsc::channel::<(tokio::time::Instant, Vec<u8>)>(256);
    let reading = async {
        let mut buffer = vec![0; 16 << 10];
        loop {
            while link.stalled.load(Ordering::Relaxed) {
                tokio::time::sleep(LOOK).await;
            }
            let Ok(n) = from.read(&mut buffer).await else { return };
            if n == 0 {
                return;
            }
            let delay = Duration::from_millis(link.delay_ms.load(Ordering::Relaxed));
            if queue.send((tokio::time::Instant::now() + delay, buffer[..n].to_vec())).await.is_err() {
                return;
            }
        }
    };
    let writing = async {
        let mut carried = 0;
        while let Some((at, bytes)) = due.recv().await {
            tokio::time::sleep_until(at).await;
            while link.blocked[direction].load(Ordering::Relaxed) {
                tokio::time::sleep(LOOK).await;
            }
            if direction == 0 && link.half.swap(false, Ordering::Relaxed) {
                let _ = to.write_all(&bytes[..bytes.len() / 2]).await;
                return;
            }
            if to.write_all(&bytes).await.is_err() {
                return;
            }
            carried += bytes.len() as u64;
            let most = link.most_bytes.load(Ordering::Relaxed);
            if direction == 0 && most > 0 && carried >= most {
                return;
            }
            if let Some(points) = points {
                frames.push(&bytes);
                while let Ok(Some(frame)) = frames.frame() {
                    points.seen(&frame);
                }
            }
        }
    };
    tokio::select! { () = reading => {}, () = writing => {} }
}
