//! The group's thread: sockets, the store and time around the modules without I/O. One thread, one task that owns all
//! state (`Core`), and a task for each connection that only moves frames between a socket and a bounded queue.
//!
//! The gateway's own thread never waits for it: it reads [`Handle::shown`], and at an orderly end gives the lease back.

use crate::Micros;
use crate::birth::{Birth, Founder, Group, Unborn};
use crate::disk::{DiskError, Store, Unsynced};
use crate::member::{self, Member};
use crate::mirror::PeerMessage;
use crate::parts::{Offers, Piece, Taking};
use crate::state::{Applied, CallId, Life, State};
use crate::voter::{self, Out, Request, Response, Voter};
use crate::wire::{self, Counts, Frame, Hello, NodeStatus, Reader, Told};
use curlewfront_config::Fleet;
use rand::rngs::{OsRng, SmallRng};
use rand::{Rng, RngCore, SeedableRng};
use slog::Logger;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};

/// Frames that wait for a link; beyond it the oldest goes, as newer state takes its place.
const MOST_QUEUED: usize = 512;
/// What connections have brought and the core has not yet taken.
const MOST_INCOMING: usize = 1024;
/// Connections from others at once: 300 gateways and then some.
const MOST_LINKS: usize = 1024;
const DIAL: Duration = Duration::from_secs(1);
/// Pause before a link is dialled again: drawn up to this, doubled each time up to the last.
const AGAIN_MS: u64 = 40;
const MOST_AGAIN_MS: u64 = 640;
/// An operator's call is given up after this, and a step of it after that.
const ERRAND_US: Micros = 5_000_000;
const STEP_US: Micros = 700_000;
const ERRAND_AGAIN_US: Micros = 60_000;
/// How often an unborn or joining voter asks, and a voter whose store failed looks at it again.
const ASK_US: Micros = 150_000;
const STORE_AGAIN_US: Micros = 2_000_000;
/// How long an orderly end waits for the lease to be given back.
const LEAVE: Duration = Duration::from_millis(800);

/// The gateway's end of it.
pub struct Handle {
    shown: Arc<Mutex<serde_json::Value>>,
    stop: Arc<Notify>,
    thread: Mutex<Option<std::thread::JoinHandle<()>>>,
}

impl Handle {
    /// What `/_stats` says under `fleet`.
    pub fn stats(&self) -> serde_json::Value {
        lock(&self.shown).clone()
    }

    /// Gives the lease back and ends the thread; waits for it a bounded time.
    pub fn leave(&self) {
        self.stop.notify_one();
        if let Some(thread) = self.thread.lock().unwrap_or_else(PoisonError::into_inner).take() {
            let until = Instant::now() + 2 * LEAVE;
            while !thread.is_finished() && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Opens the store and the listeners, and starts the thread. What is wrong with either is said here, before the
/// gateway takes a request.
pub fn start(fleet: &Fleet, name: &str, log: &Logger) -> Result<Handle, String> {
    let unsynced = if fleet.hold_unsynced { Unsynced::Held } else { Unsynced::System };
    let open = || Store::open(&fleet.dir, &fleet.installation, name, OsRng.next_u64() >> 1 | 1, unsynced);
    let store = open().map_err(|e| format!("fleet store {e}"))?;
    let (group, saved) = store.load().map_err(|e| format!("fleet store {e}"))?;
    let listen = |addr: Option<SocketAddr>, key: &str| -> Result<Option<std::net::TcpListener>, String> {
        let Some(addr) = addr else { return Ok(None) };
        let cannot = |e: std::io::Error| format!("fleet.{key}: cannot listen on {addr}: {e}");
        let listener = std::net::TcpListener::bind(addr).map_err(cannot)?;
        listener.set_nonblocking(true).map_err(cannot)?;
        Ok(Some(listener))
    };
    let (peers, control) = (listen(fleet.listen, "listen")?, listen(fleet.control, "control")?);
    let (shown, stop) = (Arc::new(Mutex::new(serde_json::json!({}))), Arc::new(Notify::new()));
    let process = OsRng.next_u64() | 1;
    let log = log.new(slog::o!("fleet" => name.to_string()));
    slog::info!(log, "store opened"; "disk" => format!("{:x}", store.owner.disk),
        "group" => format!("{:x}", group.number), "entries" => saved.entries.len(), "snapshot" => saved.snap.index);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("fleet: cannot start its runtime: {e}"))?;
    let (fleet, name) = (fleet.clone(), name.to_string());
    let (seen, asked) = (shown.clone(), stop.clone());
    let thread = std::thread::Builder::new()
        .name("fleet".into())
        .spawn(move || {
            let guarded = catch_unwind(AssertUnwindSafe(|| {
                runtime.block_on(async {
                    let mut core =
                        Core::new(fleet, name, store, group, saved, process, log.clone(), seen.clone());
                    core.run(peers, control, asked).await;
                });
            }));
            if guarded.is_err() {
                // The gateway goes on without its part; its lease runs out by itself.
                slog::crit!(log, "the group's thread failed, this gateway takes no more part");
                lock(&seen)["role"] = "failed".into();
            }
        })
        .map_err(|e| format!("fleet: cannot start its thread: {e}"))?;
    Ok(Handle { shown, stop, thread: Mutex::new(Some(thread)) })
}

/// What connections tell the core.
enum Heard {
    /// A gateway has connected, or a command on the control address.
    Came {
        link: u64,
        hello: Hello,
        out: Arc<Queue>,
        control: bool,
    },
    Frame {
        link: u64,
        frame: Frame,
    },
    Gone {
        link: u64,
    },
    /// Of the links that this gateway dials, by the peer's name.
    Up {
        peer: String,
        hello: Hello,
    },
    Down {
        peer: String,
    },
    Back {
        peer: String,
        frame: Frame,
    },
    Refused {
        why: String,
    },
}

/// Frames that wait for a socket.
#[derive(Default)]
struct Queue {
    frames: Mutex<VecDeque<Vec<u8>>>,
    more: Notify,
    closed: std::sync::atomic::AtomicBool,
}

impl Queue {
    /// How many had to go for it.
    fn push(&self, frame: &Frame) -> u64 {
        let Ok(bytes) = wire::encode(frame) else { return 1 };
        let mut frames = lock(&self.frames);
        frames.push_back(bytes);
        let over = frames.len().saturating_sub(MOST_QUEUED);
        frames.drain(..over);
        drop(frames);
        self.more.notify_one();
        over as u64
    }

    fn close(&self) {
        self.closed.store(true, std::sync::atomic::Ordering::Relaxed);
        self.more.notify_one();
    }

    async fn next(&self) -> Option<Vec<u8>> {
        loop {
            if let Some(bytes) = lock(&self.frames).pop_front() {
                return Some(bytes);
            }
            if self.closed.load(std::sync::atomic::Ordering::Relaxed) {
                return None;
            }
            self.more.notified().await;
        }
    }
}

/// Where the answer to a request goes.
enum Asker {
    Link { link: u64, token: u64 },
    Member { token: u64 },
    Errand { id: u64 },
    Join,
}

/// An operator's request on its way to the leader.
struct Errand {
    link: u64,
    request: Request,
    until: Micros,
    /// When the step under way is given up, or the next one begins.
    next: Micros,
    target: usize,
    hint: Option<String>,
}

struct Inbound {
    out: Arc<Queue>,
    name: String,
    control: bool,
    /// It has asked something, so it follows: it is told when there is more.
    follows: bool,
}

struct Core {
    fleet: Fleet,
    name: String,
    /// None while it is being looked at again after a failure.
    store: Option<Store>,
    group: Group,
    life: Life,
    log: Logger,
    shown: Arc<Mutex<serde_json::Value>>,
    started: Instant,
    /// Added to the clock by tests.
    jump: Micros,
    rng: SmallRng,
    unborn: Option<Unborn>,
    voter: Option<Voter>,
    member: Member,
    joining: bool,
    ask_at: Micros,
    store_at: Micros,
    trouble: String,
    links: BTreeMap<u64, Inbound>,
    peers: BTreeMap<String, Arc<Queue>>,
    /// Which name a voter's number stands for, as connections have shown.
    names: BTreeMap<u64, String>,
    askers: HashMap<u64, Asker>,
    tokens: u64,
    errands: BTreeMap<u64, Errand>,
    offers: Offers,
    taking: Taking,
    tipped: u64,
    counts: Counts,
    heard: mpsc::Sender<Heard>,
    incoming: Option<mpsc::Receiver<Heard>>,
    show_at: Micros,
}

impl Core {
    #[allow(clippy::too_many_arguments)]
    fn new(
        fleet: Fleet,
        name: String,
        store: Store,
        group: Group,
        saved: crate::mirror::Saved,
        process: u64,
        log: Logger,
        shown: Arc<Mutex<serde_json::Value>>,
    ) -> Core {
        let (heard, incoming) = mpsc::channel(MOST_INCOMING);
        let life = Life { disk: store.owner.disk, process };
        let votes = fleet.votes(&name);
        let setup = member::Setup {
            name: name.clone(),
            life,
            voter: votes,
            voters: fleet.voters.iter().map(|v| v.name.clone()).collect(),
            lease_us: fleet.lease_us,
            seed: process,
        };
        let mut core = Core {
            member: Member::new(setup, 0),
            fleet,
            name,
            store: Some(store),
            group,
            life,
            log,
            shown,
            started: Instant::now(),
            jump: 0,
            rng: SmallRng::seed_from_u64(process),
            unborn: None,
            voter: None,
            joining: false,
            ask_at: 0,
            store_at: 0,
            trouble: String::new(),
            links: BTreeMap::new(),
            peers: BTreeMap::new(),
            names: BTreeMap::new(),
            askers: HashMap::new(),
            tokens: 0,
            errands: BTreeMap::new(),
            offers: Offers::default(),
            taking: Taking::default(),
            tipped: 0,
            counts: Counts::default(),
            heard,
            incoming: Some(incoming),
            show_at: 0,
        };
        if votes && core.group.born() {
            core.begin(saved);
        } else if votes {
            let voters: Vec<_> = core.fleet.voters.iter().map(|v| v.name.clone()).collect();
            core.unborn = Some(Unborn::new(&core.fleet.installation, core.founder(), &voters));
        }
        core
    }

    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros + self.jump
    }

    fn hello(&self) -> Hello {
        let Life { disk, process } = self.life;
        Hello::new(&self.fleet.installation, &self.name, disk, process, self.group.clone()).at(self.addr())
    }

    /// Where others reach it, as it tells them.
    fn addr(&self) -> String {
        self.fleet.listen.map(|a| a.to_string()).unwrap_or_default()
    }

    fn founder(&self) -> Founder {
        Founder { name: self.name.clone(), disk: self.life.disk, addr: self.addr() }
    }

    /// Begins to vote, or to be taught, from what the store holds.
    fn begin(&mut self, saved: crate::mirror::Saved) {
        let setup = voter::Setup {
            id: self.life.disk,
            election_us: self.fleet.election_us,
            lease_us: self.fleet.lease_us,
            seed: self.life.process,
            compact_after: self.fleet.compact_after,
        };
        self.joining = saved.snap.index == 0 && saved.entries.is_empty();
        for f in &self.group.founders {
            self.names.insert(f.disk, f.name.clone());
        }
        // Of the consensus crate's own lines only what is amiss; what matters to operators is told as events.
        let quiet = slog::LevelFilter::new(self.log.clone(), slog::Level::Warning);
        let log = Logger::root(slog::Drain::fuse(quiet), slog::o!());
        match Voter::new(setup, saved, self.now(), &log) {
            Ok(voter) => self.voter = Some(voter),
            Err(why) => self.fail_store(&why),
        }
    }

    fn fail_store(&mut self, why: &str) {
        slog::error!(self.log, "the store failed, no vote until it is well"; "why" => why);
        self.trouble = why.to_string();
        self.voter = None;
        self.store = None;
        self.store_at = self.now() + STORE_AGAIN_US;
        for (_, asker) in std::mem::take(&mut self.askers) {
            self.answer(asker, Response::NotLeader { leader: None });
        }
    }

    async fn run(
        &mut self,
        peers: Option<std::net::TcpListener>,
        control: Option<std::net::TcpListener>,
        stop: Arc<Notify>,
    ) {
        let me = Arc::new(Mutex::new(self.hello()));
        let links = Arc::new(std::sync::atomic::AtomicUsize::new(0));
        for (listener, control) in [(peers, false), (control, true)] {
            if let Some(listener) = listener.and_then(|l| TcpListener::from_std(l).ok()) {
                tokio::spawn(accept(listener, control, me.clone(), self.heard.clone(), links.clone()));
            }
        }
        for v in self.fleet.voters.clone() {
            if v.name != self.name {
                let queue = Arc::new(Queue::default());
                self.peers.insert(v.name.clone(), queue.clone());
                let seed = self.rng.r#gen();
                tokio::spawn(dial(v.name, v.addr, queue, me.clone(), self.heard.clone(), seed));
            }
        }
        let mut incoming = self.incoming.take().expect("run once");
        let mut leaving: Option<Instant> = None;
        loop {
            self.step();
            // Of what it says of itself only the group ever changes, once, at its birth.
            if lock(&me).group.number != self.group.number {
                *lock(&me) = self.hello();
            }
            if leaving.is_some_and(|until| self.member.released() || Instant::now() >= until) {
                slog::info!(self.log, "left the group"; "released" => self.member.released());
                return;
            }
            let due = self.due().saturating_sub(self.now()).clamp(200, 100_000);
            tokio::select! {
                heard = incoming.recv() => {
                    let Some(heard) = heard else { return };
                    self.hear(heard);
                    // What came together is synced together.
                    for _ in 0..256 {
                        let Ok(heard) = incoming.try_recv() else { break };
                        self.hear(heard);
                    }
                }
                () = tokio::time::sleep(Duration::from_micros(due)) => {}
                () = stop.notified(), if leaving.is_none() => {
                    leaving = Some(Instant::now() + LEAVE);
                    self.member.release();
                }
            }
        }
    }

    fn due(&self) -> Micros {
        let voter = self.voter.as_ref().map(Voter::due);
        let errand = self.errands.values().map(|e| e.next.min(e.until)).min();
        let asks = (self.unborn.is_some() || self.joining).then_some(self.ask_at);
        [voter, errand, asks].into_iter().flatten().chain([self.member.due()]).min().unwrap_or(0)
    }

    /// Time, and all that follows from it and from what was heard.
    fn step(&mut self) {
        let now = self.now();
        if let Some(voter) = self.voter.as_mut() {
            voter.time(now);
        }
        self.birth(now);
        self.look_at_store(now);
        if let Some((from, pieces)) = self.taking.time(now) {
            pieces.into_iter().for_each(|p| self.send_piece(from, p));
        }
        for id in self.offers.expire(now) {
            if let Some(v) = self.voter.as_mut() {
                v.snapshot_sent(id, false);
            }
        }
        if let Some(call) = self.member.time(now) {
            self.counts.calls += 1;
            self.ask(&call.to, Asker::Member { token: call.token }, call.request);
        }
        self.run_errands(now);
        self.pump();
        self.member_events();
        self.tips();
        self.show(now);
    }

    /// Writes, syncs, and then sends and answers.
    fn pump(&mut self) {
        loop {
            let Some(voter) = self.voter.as_mut() else { return };
            let write = voter.write();
            if let Some(write) = &write {
                let wrote = match &self.store {
                    Some(store) => store.write(write),
                    None => return,
                };
                if let Err(e) = wrote {
                    return self.fail_store(&e.to_string());
                }
                self.counts.syncs += 1;
                if let Some(voter) = self.voter.as_mut() {
                    voter.synced();
                }
            }
            let out = self.voter.as_mut().map(Voter::take).unwrap_or_default();
            let quiet = write.is_none() && out.is_empty();
            out.into_iter().for_each(|o| self.carry_out(o));
            if quiet {
                return;
            }
        }
    }

    fn carry_out(&mut self, out: Out) {
        match out {
            Out::Send(message) => self.send_peer(message),
            Out::Answer { token, response } => {
                if let Some(asker) = self.askers.remove(&token) {
                    self.answer(asker, response);
                }
            }
            Out::Event(event) => self.event(event),
        }
    }

    fn event(&mut self, event: voter::Event) {
        use voter::Event;
        let log = &self.log;
        match event {
            Event::Leader { id, term } => {
                self.counts.elections += 1;
                let name = self.names.get(&id).cloned().unwrap_or_default();
                slog::info!(log, "leader"; "name" => name, "id" => format!("{id:x}"), "term" => term);
            }
            Event::NoLeader { term } => slog::warn!(log, "no leader"; "term" => term),
            Event::LeaseEnded { name, incarnation, released } => {
                slog::info!(log, "lease ended"; "member" => name, "incarnation" => incarnation, "released" => released);
            }
            Event::Registered { name, incarnation } => {
                slog::info!(log, "member registered"; "member" => name, "incarnation" => incarnation);
            }
            Event::Snapshot { index, bytes } => {
                self.counts.snapshots += 1;
                slog::info!(log, "snapshot made"; "index" => index, "bytes" => bytes);
            }
            Event::SnapshotTaken { index } => slog::info!(log, "snapshot taken over"; "index" => index),
            Event::Voters { change } => slog::info!(log, "voters changed"; "change" => format!("{change:?}")),
            Event::Gap { us } => slog::warn!(log, "stood still, leases start anew"; "ms" => us / 1000),
        }
    }

    fn member_events(&mut self) {
        for event in self.member.events() {
            match event {
                member::Event::Held { incarnation } => {
                    slog::info!(self.log, "registered"; "incarnation" => incarnation);
                    self.trouble.clear();
                }
                member::Event::Lost { incarnation } => {
                    slog::warn!(self.log, "lease lost"; "incarnation" => incarnation);
                }
                member::Event::NameTaken { incarnation } => {
                    let why =
                        format!("another process holds the name {:?}, incarnation {incarnation}", self.name);
                    if self.trouble != why {
                        slog::error!(self.log, "name taken"; "holder" => incarnation);
                        self.trouble = why;
                    }
                }
                member::Event::Refused { why } => {
                    slog::error!(self.log, "registration refused"; "why" => &why);
                    self.trouble = why;
                }
                member::Event::Revision { .. } => {}
            }
        }
    }

    fn birth(&mut self, now: Micros) {
        if now < self.ask_at || (self.unborn.is_none() && !self.joining) {
            return;
        }
        self.ask_at = now + ASK_US;
        if self.joining {
            let voters: Vec<String> =
                self.fleet.voters.iter().map(|v| v.name.clone()).filter(|n| *n != self.name).collect();
            let at = self.rng.gen_range(0..voters.len().max(1));
            if let Some(to) = voters.get(at).cloned() {
                let Founder { name, disk: id, addr } = self.founder();
                let request = Request::Join { id, name, addr };
                self.ask(&to, Asker::Join, request);
            }
            return;
        }
        let hello = Frame::Hello(self.hello());
        self.counts.dropped += self.peers.values().map(|q| q.push(&hello)).sum::<u64>();
        let Some(unborn) = &self.unborn else { return };
        let (group, joins) = match unborn.decide(now) {
            Birth::Wait { missing } => {
                self.trouble = format!("waits to hear of {}", missing.join(", "));
                return;
            }
            Birth::Found(group) => (group, false),
            Birth::Join(group) => (group, true),
        };
        let saved = if joins { crate::mirror::Saved::default() } else { group.first() };
        let Some(store) = &self.store else { return };
        if let Err(e) = store.be_born(&group, &saved) {
            return self.fail_store(&e.to_string());
        }
        slog::info!(self.log, "born into a group"; "joins" => joins,
            "group" => format!("{:x}", group.number), "founders" => group.founders.len());
        (self.group, self.unborn) = (group, None);
        self.trouble.clear();
        self.begin(saved);
    }

    /// A store that failed is opened again now and then: nothing was lost but the vote meanwhile.
    fn look_at_store(&mut self, now: Micros) {
        if self.store.is_some() || now < self.store_at {
            return;
        }
        let unsynced = if self.fleet.hold_unsynced { Unsynced::Held } else { Unsynced::System };
        let opened =
            Store::open(&self.fleet.dir, &self.fleet.installation, &self.name, self.life.disk, unsynced);
        let loaded: Result<_, DiskError> = opened.and_then(|s| s.load().map(|l| (s, l)));
        match loaded {
            Ok((store, (group, saved))) if store.owner.disk == self.life.disk => {
                slog::info!(self.log, "the store is well again");
                (self.store, self.group) = (Some(store), group);
                self.trouble.clear();
                if self.group.born() && self.fleet.votes(&self.name) {
                    self.begin(saved);
                }
            }
            Ok(_) => self.trouble = "the store was replaced under the running gateway: start it anew".into(),
            Err(e) => self.trouble = e.to_string(),
        }
        self.store_at = now + STORE_AGAIN_US;
    }

    /// Asks a voter: this one, or another over its link.
    fn ask(&mut self, to: &str, asker: Asker, request: Request) -> u64 {
        self.tokens += 1;
        let token = self.tokens;
        if to == self.name {
            match self.voter.as_mut() {
                Some(voter) => {
                    self.askers.insert(token, asker);
                    voter.request(token, request);
                }
                None => self.answer(asker, Response::NotLeader { leader: None }),
            }
            return token;
        }
        match self.peers.get(to) {
            Some(queue) => {
                self.counts.dropped += queue.push(&Frame::Call { token, request });
                self.counts.frames_out += 1;
                self.askers.insert(token, asker);
            }
            None => self.answer(asker, Response::NotLeader { leader: None }),
        }
        // Askers whose answers never come: their own time-outs have long passed.
        if self.askers.len() > 8 * 1024 {
            let oldest = token - 4 * 1024;
            self.askers.retain(|t, _| *t > oldest);
        }
        token
    }

    fn answer(&mut self, asker: Asker, response: Response) {
        match asker {
            Asker::Link { link, token } => self.reply(link, &Frame::Answer { token, response }),
            Asker::Member { token } => {
                if !matches!(response, Response::Applied(_) | Response::Renewed { .. } | Response::Changes(_))
                {
                    self.counts.calls_failed += 1;
                }
                let now = self.now();
                self.member.answer(now, token, response);
            }
            Asker::Errand { id } => self.errand_answer(id, response),
            Asker::Join => match response {
                Response::Applied(Applied::VotersChanged) => {
                    slog::info!(self.log, "taken in by the group");
                    self.joining = false;
                    self.trouble.clear();
                }
                Response::Refused { why } => self.trouble = why,
                _ => {}
            },
        }
    }

    fn reply(&mut self, link: u64, frame: &Frame) {
        if let Some(inbound) = self.links.get(&link) {
            self.counts.dropped += inbound.out.push(frame);
            self.counts.frames_out += 1;
        }
    }

    fn peer_of(&self, id: u64) -> Option<&Arc<Queue>> {
        let state = self.voter.as_ref().and_then(|v| v.state.voters.get(&id));
        let name = state.map(|v| &v.name).or_else(|| self.names.get(&id))?;
        self.peers.get(name)
    }

    fn send_peer(&mut self, message: PeerMessage) {
        let to = message.to;
        let (now, from) = (self.now(), self.life.disk);
        let frame = match &message.snap {
            Some(snap) if !snap.data.is_empty() => {
                Frame::Piece { from, to, piece: self.offers.offer(now, message) }
            }
            _ => Frame::Peer(message),
        };
        if let Some(queue) = self.peer_of(to) {
            let dropped = queue.push(&frame);
            self.counts.dropped += dropped;
            self.counts.frames_out += 1;
        }
    }

    fn send_piece(&mut self, to: u64, piece: Piece) {
        let from = self.life.disk;
        if let Some(queue) = self.peer_of(to) {
            let dropped = queue.push(&Frame::Piece { from, to, piece });
            self.counts.dropped += dropped;
            self.counts.frames_out += 1;
        }
    }

    fn hear(&mut self, heard: Heard) {
        match heard {
            Heard::Came { link, hello, out, control } => {
                self.know(&hello);
                self.links.insert(link, Inbound { out, name: hello.name, control, follows: false });
            }
            Heard::Gone { link } => {
                if let Some(inbound) = self.links.remove(&link) {
                    inbound.out.close();
                }
                self.errands.retain(|_, e| e.link != link);
            }
            Heard::Frame { link, frame } => {
                self.counts.frames_in += 1;
                self.frame(link, frame);
            }
            Heard::Up { peer, hello } => {
                slog::debug!(self.log, "link up"; "peer" => &peer);
                self.know(&hello);
            }
            Heard::Down { peer } => {
                self.counts.links_broken += 1;
                let id = self.names.iter().find(|(_, n)| **n == peer).map(|(id, _)| *id);
                if let (Some(id), Some(voter)) = (id, self.voter.as_mut()) {
                    voter.unreachable(id);
                }
            }
            Heard::Back { peer, frame } => {
                self.counts.frames_in += 1;
                match frame {
                    Frame::Answer { token, response } => {
                        if let Some(asker) = self.askers.remove(&token) {
                            self.answer(asker, response);
                        }
                    }
                    Frame::Tip { revision } => self.member.tip(revision),
                    Frame::Hello(hello) => self.know(&hello),
                    Frame::Refused { why } => {
                        self.counts.refused += 1;
                        self.trouble = format!("refused by {peer}: {why}");
                        slog::error!(self.log, "refused by a peer"; "peer" => peer, "why" => why);
                    }
                    _ => self.counts.refused += 1,
                }
            }
            Heard::Refused { why } => {
                self.counts.refused += 1;
                slog::warn!(self.log, "connection refused"; "why" => why);
            }
        }
    }

    fn know(&mut self, hello: &Hello) {
        if self.fleet.votes(&hello.name) {
            self.names.retain(|_, n| *n != hello.name);
            self.names.insert(hello.disk, hello.name.clone());
        }
        let now = self.now();
        if let Some(unborn) = self.unborn.as_mut() {
            let who = Founder { name: hello.name.clone(), disk: hello.disk, addr: hello.addr.clone() };
            unborn.heard(now, who, hello.group.clone());
        }
    }

    fn frame(&mut self, link: u64, frame: Frame) {
        let Some(inbound) = self.links.get_mut(&link) else { return };
        let control = inbound.control;
        match frame {
            Frame::Hello(hello) if !control => {
                self.know(&hello);
                let mine = Frame::Hello(self.hello());
                self.reply(link, &mine);
            }
            Frame::Peer(message) if !control => {
                if let Some(voter) = self.voter.as_mut() {
                    voter.message(message);
                    // One at a time: the consensus is not told anything between a write and its sync.
                    self.pump();
                }
            }
            Frame::Piece { from, to, piece } if !control && to == self.life.disk => self.piece(from, piece),
            Frame::Call { token, request } if !control => {
                inbound.follows = true;
                self.tokens += 1;
                let own = self.tokens;
                let asker = Asker::Link { link, token };
                match self.voter.as_mut() {
                    Some(voter) => {
                        self.askers.insert(own, asker);
                        voter.request(own, request);
                    }
                    None => self.answer(asker, Response::NotLeader { leader: None }),
                }
            }
            Frame::Control(request) if control => {
                let now = self.now();
                self.tokens += 1;
                let id = self.tokens;
                // A number of its own for each, so that a step that is sent again is not carried out again.
                let request = match request {
                    Request::Change { command, .. } => {
                        Request::Change { id: CallId { caller: self.rng.r#gen(), number: 1 }, command }
                    }
                    other => other,
                };
                let target = self.rng.gen_range(0..self.fleet.voters.len());
                let hint = self.voter.as_ref().map(|_| self.name.clone());
                let errand = Errand { link, request, until: now + ERRAND_US, next: now, target, hint };
                self.errands.insert(id, errand);
            }
            Frame::ControlStatus if control => {
                let status = Told::Status(Box::new(self.status()));
                self.reply(link, &Frame::ControlAnswer(Box::new(status)));
            }
            Frame::ControlClock { us } if control && self.fleet.test_clock => {
                self.jump += us;
                let done = Told::Response(Response::Applied(Applied::Expired));
                self.reply(link, &Frame::ControlAnswer(Box::new(done)));
            }
            _ => {
                self.counts.refused += 1;
                let why = "a frame that has no place here".to_string();
                self.reply(link, &Frame::Refused { why });
            }
        }
    }

    fn piece(&mut self, from: u64, piece: Piece) {
        let now = self.now();
        let taken = match piece {
            offer @ Piece::Offer { .. } => self.taking.offered(now, offer, 256 << 20),
            Piece::Part { number, offset, bytes } => self.taking.part(now, number, offset, &bytes),
            Piece::Ask { number, offset } => {
                let part = self.offers.part(now, number, offset);
                return self.send_piece(from, part);
            }
            Piece::Done { number, whole } => {
                self.taking.gone(number);
                if let (Some(to), Some(voter)) = (self.offers.done(number), self.voter.as_mut()) {
                    voter.snapshot_sent(to, whole);
                }
                return;
            }
        };
        taken.send.into_iter().for_each(|p| self.send_piece(from, p));
        if let (Some(message), Some(voter)) = (taken.message, self.voter.as_mut()) {
            voter.message(message);
            self.pump();
        }
    }

    fn run_errands(&mut self, now: Micros) {
        let due: Vec<u64> = self.errands.iter().filter(|(_, e)| now >= e.next).map(|(id, _)| *id).collect();
        for id in due {
            let voters = self.fleet.voters.len();
            let Some(errand) = self.errands.get_mut(&id) else { continue };
            if now >= errand.until {
                let link = errand.link;
                self.errands.remove(&id);
                self.reply(link, &Frame::ControlAnswer(Box::new(Told::NoLeader)));
                continue;
            }
            let to = errand.hint.take().unwrap_or_else(|| {
                errand.target = (errand.target + 1) % voters;
                self.fleet.voters[errand.target].name.clone()
            });
            errand.next = now + STEP_US;
            let request = errand.request.clone();
            self.ask(&to, Asker::Errand { id }, request);
        }
    }

    fn errand_answer(&mut self, id: u64, response: Response) {
        let now = self.now();
        let Some(errand) = self.errands.get_mut(&id) else { return };
        match response {
            Response::NotLeader { leader } => {
                errand.next = now + if leader.is_some() { 1_000 } else { ERRAND_AGAIN_US };
                errand.hint = leader;
            }
            Response::Busy | Response::Unknown => errand.next = now + ERRAND_AGAIN_US,
            response => {
                let link = errand.link;
                self.errands.remove(&id);
                self.reply(link, &Frame::ControlAnswer(Box::new(Told::Response(response))));
            }
        }
    }

    /// Tells those who follow that there is more, once for all that was agreed since.
    fn tips(&mut self) {
        let Some(voter) = self.voter.as_ref().filter(|v| v.leads()) else { return };
        let revision = voter.state.revision;
        if revision == self.tipped {
            return;
        }
        self.tipped = revision;
        let frame = Frame::Tip { revision };
        let mut dropped = 0;
        for inbound in self.links.values().filter(|l| l.follows && l.name != self.name) {
            dropped += inbound.out.push(&frame);
            self.counts.frames_out += 1;
        }
        self.counts.dropped += dropped;
        self.member.tip(revision);
    }

    /// The state as it is known here: a voter's own, a watcher's copy.
    fn state(&self) -> &State {
        self.voter.as_ref().map_or(&self.member.state, |v| &v.state)
    }

    fn role(&self) -> &'static str {
        match (&self.voter, &self.unborn) {
            (_, Some(_)) => "unborn",
            (Some(_), _) if self.joining => "joining",
            (Some(v), _) if v.status().votes => "voter",
            (Some(_), _) => "learner",
            (None, _) if self.fleet.votes(&self.name) => "failed",
            _ => "watcher",
        }
    }

    fn leader_name(&self) -> String {
        self.voter.as_ref().and_then(Voter::leader_name).unwrap_or_default()
    }

    fn lease_left_ms(&self, now: Micros) -> u64 {
        self.member.held(now).map_or(0, |_| (self.member.lease_until() - now) / 1000)
    }

    fn counts(&self) -> Counts {
        let member = self.member.counts;
        Counts { renewed: member.renewed, leases_lost: member.lost, ..self.counts }
    }

    fn status(&self) -> NodeStatus {
        let now = self.now();
        NodeStatus {
            installation: self.fleet.installation.clone(),
            name: self.name.clone(),
            disk: self.life.disk,
            group: self.group.number,
            role: self.role().into(),
            leader: self.leader_name(),
            incarnation: self.member.held(now).unwrap_or(0),
            lease_left_ms: self.lease_left_ms(now),
            voter: self.voter.as_ref().map(Voter::status),
            state: self.state().clone(),
            counts: self.counts(),
            trouble: self.trouble.clone(),
        }
    }

    fn show(&mut self, now: Micros) {
        if now >= self.show_at {
            self.show_at = now + 100_000;
            let held = self.member.held(now);
            let (leader, state) = (self.leader_name(), self.state());
            let picture = serde_json::json!({
                "role": self.role(), "leader": leader, "incarnation": held.unwrap_or(0),
                "lease_left_ms": self.lease_left_ms(now), "revision": state.revision,
                "members": state.members.len(), "counts": self.counts(),
            });
            *lock(&self.shown) = picture;
        }
    }
}

/// Takes connections of other gateways, or of the operator's command.
async fn accept(
    listener: TcpListener,
    control: bool,
    me: Arc<Mutex<Hello>>,
    heard: mpsc::Sender<Heard>,
    links: Arc<std::sync::atomic::AtomicUsize>,
) {
    use std::sync::atomic::Ordering::Relaxed;
    static NUMBERS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await; // no descriptor: others end
            continue;
        };
        if links.fetch_add(1, Relaxed) >= MOST_LINKS {
            links.fetch_sub(1, Relaxed);
            continue;
        }
        let (me, heard, links) = (me.clone(), heard.clone(), links.clone());
        tokio::spawn(async move {
            let link = NUMBERS.fetch_add(1, Relaxed);
            inbound(stream, link, control, me, &heard).await;
            let _ = heard.send(Heard::Gone { link }).await;
            links.fetch_sub(1, Relaxed);
        });
    }
}

async fn write(stream: &mut (impl AsyncWriteExt + Unpin), frame: &Frame) -> std::io::Result<()> {
    let bytes = wire::encode(frame).map_err(std::io::Error::other)?;
    stream.write_all(&bytes).await
}

/// Reads on until the next frame is whole. An error for an end, a frame that cannot be read, a frame too large.
async fn read(stream: &mut (impl AsyncReadExt + Unpin), reader: &mut Reader) -> Result<Frame, String> {
    let mut buffer = vec![0; 16 << 10];
    loop {
        if let Some(frame) = reader.frame()? {
            return Ok(frame);
        }
        match stream.read(&mut buffer).await {
            Ok(0) => return Err("ended".into()),
            Ok(n) => reader.push(&buffer[..n]),
            Err(e) => return Err(e.to_string()),
        }
    }
}

async fn inbound(
    mut stream: TcpStream,
    link: u64,
    control: bool,
    me: Arc<Mutex<Hello>>,
    heard: &mpsc::Sender<Heard>,
) {
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::default();
    // Who connects has as long to say who he is as a dial may take.
    let Ok(Ok(first)) = tokio::time::timeout(DIAL, read(&mut stream, &mut reader)).await else { return };
    let mine = lock(&me).clone();
    let checked = match &first {
        Frame::Hello(hello) => hello.check(&mine, control).map(|()| hello.clone()),
        _ => Err("a link that does not say who it is".into()),
    };
    let hello = match checked {
        Ok(hello) => hello,
        Err(why) => {
            let _ = write(&mut stream, &Frame::Refused { why: why.clone() }).await;
            let _ = heard.send(Heard::Refused { why }).await;
            return;
        }
    };
    if write(&mut stream, &Frame::Hello(mine)).await.is_err() {
        return;
    }
    let out = Arc::new(Queue::default());
    let _ = heard.send(Heard::Came { link, hello, out: out.clone(), control }).await;
    let (mut from, mut to) = stream.into_split();
    let writer = async {
        while let Some(bytes) = out.next().await {
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
    };
    let reading = async {
        while let Ok(frame) = read(&mut from, &mut reader).await {
            if heard.send(Heard::Frame { link, frame }).await.is_err() {
                return;
            }
        }
    };
    tokio::select! { () = writer => {}, () = reading => {} }
}

/// Keeps the link to one voter: dials, says who it is, sends what is queued, and dials again when it breaks.
async fn dial(
    peer: String,
    addr: SocketAddr,
    queue: Arc<Queue>,
    me: Arc<Mutex<Hello>>,
    heard: mpsc::Sender<Heard>,
    seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut again = AGAIN_MS;
    loop {
        let up = link(&peer, addr, &queue, &me, &heard).await;
        again = if up { AGAIN_MS } else { (again * 2).min(MOST_AGAIN_MS) };
        // What was meant for a link that is gone is old by the time it is back.
        lock(&queue.frames).clear();
        if heard.send(Heard::Down { peer: peer.clone() }).await.is_err() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(rng.gen_range(again / 2..=again))).await;
    }
}

/// One life of a link. True if it came up.
async fn link(
    peer: &str,
    addr: SocketAddr,
    queue: &Queue,
    me: &Mutex<Hello>,
    heard: &mpsc::Sender<Heard>,
) -> bool {
    let Ok(Ok(mut stream)) = tokio::time::timeout(DIAL, TcpStream::connect(addr)).await else { return false };
    let _ = stream.set_nodelay(true);
    let mine = lock(me).clone();
    if write(&mut stream, &Frame::Hello(mine.clone())).await.is_err() {
        return false;
    }
    let mut reader = Reader::default();
    match tokio::time::timeout(DIAL, read(&mut stream, &mut reader)).await {
        Ok(Ok(Frame::Hello(hello))) if hello.check(&mine, false).is_ok() && hello.name == peer => {
            let _ = heard.send(Heard::Up { peer: peer.to_string(), hello }).await;
        }
        Ok(Ok(Frame::Refused { why })) => {
            let _ = heard.send(Heard::Back { peer: peer.to_string(), frame: Frame::Refused { why } }).await;
            return false;
        }
        _ => return false,
    }
    let (mut from, mut to) = stream.into_split();
    let writer = async {
        while let Some(bytes) = queue.next().await {
            // A link that is open and not read must not hold what is newer for ever: it is broken off instead.
            let sent = tokio::time::timeout(4 * DIAL, to.write_all(&bytes)).await;
            if !matches!(sent, Ok(Ok(()))) {
                return;
            }
        }
    };
    let reading = async {
        while let Ok(frame) = read(&mut from, &mut reader).await {
            if heard.send(Heard::Back { peer: peer.to_string(), frame }).await.is_err() {
                return;
            }
        }
    };
    tokio::select! { () = writer => {}, () = reading => {} }
    true
}
