//! The shell of the proxy: listeners, connections to servers and the link to the news, around `proxy::front` and
//! `proxy::feed`.

use cluster::Micros;
use cluster::state::Node;
use cluster::talk::{Down, Here, PROXY_NEWS, PROXY_WATCH, REGISTRY_NEWS, Up};
use miette::{Result, miette};
use net::door::{Answer, Desk, Door, Heard, Patience, Reply};
use net::http::{self, Bad, Bounds};
use net::limits::Held;
use net::pool::{self, Job, Peer};
use net::room::Room;
use proxy::book::{Leeway, Place};
use proxy::cramp::Times;
use proxy::feed::{self, Feed};
use proxy::front::{self, Ask, End, Front, Reached};
use proxy::rollout::Exposure;
use proxy::servers::{self, Note};
use proxy::watch::Watch;
use runtime::datagram::{self, Datagrams};
use runtime::link::{self, Event, Line, SILENCE};
use runtime::turn::{Inbox, Machine};
use runtime::{Asked, Start};
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Sender, channel};

/// For a server to take a connection.
const DIAL_US: Micros = 600_000;
/// For an answer that has begun to bring its next piece.
const ANSWER_US: Micros = 2_000_000;
/// An idle connection to a server is kept so long where the server names no time.
const SERVER_IDLE_US: Micros = 8_000_000;
/// The largest answer of a server that is carried.
const ANSWER: Bounds = Bounds { head: 16 * 1024, body: 32 << 20 };
/// Requests of one client's connection that are carried at once.
const ABREAST: usize = 16;
/// Until a configuration says otherwise.
const LIMITS: (usize, usize, u64, u64) = (16 * 1024, 1 << 20, 3_000_000, 15_000_000);
/// Descriptors for files, and other than connections.
const KEPT: u64 = 232;
/// New connections keep coming for a while after a signal to end; what has come by the end of it is still taken.
const STILL_COMING_US: Micros = 1_500_000;
const SHUT_US: Micros = 50_000;
/// What is left of the platform's patience when what still runs is given up.
const SPARE_US: Micros = 500_000;
const GRACE_S: f64 = 5.0;
/// The budget of further tries where the settings name none.
const RETRY: (f64, f64) = (0.2, 50.0);

enum Told {
    Asked(Ask, Reply),
    Withdrawn(u64),
    Ended(u64, u32, End),
    Link(u64, Event<Down>),
    FollowerTaken(Line),
    FollowerSays(u64, Event<Up>),
    Here(Ipv4Addr, Here),
    Signal(Asked),
}

fn main() -> ExitCode {
    runtime::run("curlewfront-proxy", "Carries requests between clients and servers", work)
}

fn work(mut start: Start) -> Result<()> {
    let stage = start.stage::<Told>()?;
    let (inbox, room) = (stage.inbox.clone(), start.room(stage.clock, KEPT)?);
    let s = &start.settings;
    let shown = Arc::new(Shown::default());
    let desk = Arc::new(Requests { inbox: inbox.clone(), shown: shown.clone() });
    let listen = s.front_plain()?;
    let door = Door::start(listen, room.clone(), desk);
    let door = door.map_err(|e| miette!("cannot listen on {listen}: {e}"))?;
    if let Ok(listen) = s.readiness() {
        let desk = Arc::new(Readiness { shown: shown.clone() });
        Door::start(listen, room.clone(), desk).map_err(|e| miette!("cannot listen on {listen}: {e}"))?;
    }
    let posts = inbox.clone();
    start.watch(move |asked| posts.post(Told::Signal(asked)))?;

    let relay = start.listen(PROXY_NEWS, &inbox, Told::FollowerTaken, Told::FollowerSays)?;
    let (posts, listen) = (inbox.clone(), start.internal(PROXY_WATCH)?);
    let datagrams = datagram::open(listen, move |from, here| posts.post(Told::Here(from, here)))
        .map_err(|e| miette!("cannot take datagrams on {listen}: {e}"))?;

    let s = &start.settings;
    let b = &s.bounds;
    let leeway = Leeway {
        excess: b.quota_excess.unwrap_or(0.0),
        margin: b.quota_margin.unwrap_or(0.0),
        period_s: b.quota_period_s.unwrap_or(0.0),
        retry_ratio: b.retry_ratio.unwrap_or(RETRY.0),
        retry_slack: b.retry_slack.unwrap_or(RETRY.1),
    };
    let (zone, region, zones) = (s.zone.clone(), s.region.clone(), s.zones.clone());
    let (usual, ms) = (Times::default(), |ms: u64| ms * 1000);
    let times = Times {
        settle_us: b.config_apply_ms.map_or(usual.settle_us, ms),
        hold_us: b.contact_ms.map_or(usual.hold_us, ms),
    };
    let exposure = Exposure::of(b.exposure_share, b.exposure_margin);
    let place = Place { ip: s.ip, zone, region, zones, leeway, times, exposure };
    let node = Node {
        ip: s.ip,
        name: s.name.clone(),
        zone: s.zone.clone(),
        region: s.region.clone(),
        front: s.front_plain()?,
    };
    let (beat_us, now) = (s.beat_period_ms * 1000, stage.clock.now());
    let (over, ended) = channel();
    let grace_us = (s.bounds.grace_period_s.unwrap_or(GRACE_S) * 1e6) as Micros;
    let shell = Shell {
        front: Front::new(place, beat_us, start.life, now),
        watch: Watch::new(node.clone(), beat_us / 3, start.life, now),
        datagrams,
        feed: Feed::new(node, s.zones.clone(), start.seeds(), beat_us, start.life, now),
        registry_port: start.internal(REGISTRY_NEWS)?.port(),
        relay_port: relay.port(),
        lines: BTreeMap::new(),
        followers: BTreeMap::new(),
        wire: Arc::new(Servers::new(tell(inbox.clone()))),
        peers: HashMap::new(),
        replies: HashMap::new(),
        room,
        shown,
        inbox,
        out: Vec::new(),
        news: Vec::new(),
        door,
        over,
        grace_us,
        asked_at: None,
    };
    stage.work(shell, &ended)
}

/// What the connections see of the proxy.
struct Shown {
    ready: AtomicBool,
    draining: AtomicBool,
    head: AtomicUsize,
    body: AtomicUsize,
    header_wait_us: AtomicU64,
    idle_us: AtomicU64,
}

impl Default for Shown {
    fn default() -> Shown {
        let (head, body, wait, idle) = LIMITS;
        Shown {
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            head: AtomicUsize::new(head),
            body: AtomicUsize::new(body),
            header_wait_us: AtomicU64::new(wait),
            idle_us: AtomicU64::new(idle),
        }
    }
}

fn refusal(bad: &Bad) -> Answer {
    Answer::text(bad.status, format!("{}\n", bad.what))
}

/// The desk that clients come to.
struct Requests {
    inbox: Inbox<Told>,
    shown: Arc<Shown>,
}

/// Headers of a client that no server sees.
const HELD_BACK: [&str; 4] = ["X-Time-Left", "Authorization", "X-Tenant-Name", "X-Expected-Instance"];

impl Desk for Requests {
    type Ask = Ask;

    fn bounds(&self) -> Bounds {
        let get = |n: &AtomicUsize| n.load(Ordering::Relaxed);
        Bounds { head: get(&self.shown.head), body: get(&self.shown.body) }
    }

    fn patience(&self) -> Patience {
        let get = |n: &AtomicU64| n.load(Ordering::Relaxed);
        let (wait, idle) = (get(&self.shown.header_wait_us), get(&self.shown.idle_us));
        Patience { first_us: None, read_us: wait, write_us: idle, once_idle_us: idle, idle_us: idle }
    }

    fn head(&self, head: &http::Request) -> Result<Heard<Ask>, Bad> {
        let text =
            |name| http::header(head.headers, name).and_then(|v| std::str::from_utf8(v).ok()).map(str::trim);
        let name = text("X-Attempt-Id").filter(|id| !id.is_empty());
        let name = name.ok_or(Bad { status: 400, what: "no X-Attempt-Id" })?;
        let left = text("X-Time-Left").map(|t| t.parse::<u64>());
        let left_us = left.transpose().map_err(|_| Bad { status: 400, what: "malformed X-Time-Left" })?;
        let key = text("Authorization").and_then(|v| v.split_once(' '));
        let key = key.filter(|(kind, _)| kind.eq_ignore_ascii_case("Token"));
        let mut lines = Vec::with_capacity(head.len);
        http::pass_on(head.headers, &HELD_BACK, &mut lines);
        Ok(Heard::Take(Ask {
            id: 0,
            method: head.method.to_string(),
            target: head.target.to_string(),
            host: text("Host").unwrap_or("").to_string(),
            name: name.as_bytes().into(),
            left_us: left_us.map(|ms| ms.saturating_mul(1000)),
            key: key.map(|(_, key)| key.trim().to_string()),
            head: lines,
            body: Held::default(),
        }))
    }

    fn asked(&self, id: u64, ask: Ask, body: Held, reply: Reply) {
        self.inbox.post(Told::Asked(Ask { id, body, ..ask }, reply));
    }

    fn abreast(&self) -> usize {
        ABREAST
    }

    fn withdrawn(&self, id: u64) {
        self.inbox.post(Told::Withdrawn(id));
    }

    fn draining(&self) -> bool {
        self.shown.draining.load(Ordering::Relaxed)
    }

    fn refusal(&self, bad: &Bad) -> Answer {
        refusal(bad)
    }
}

/// The desk that the platform asks whether this proxy is ready.
struct Readiness {
    shown: Arc<Shown>,
}

impl Desk for Readiness {
    type Ask = ();

    fn bounds(&self) -> Bounds {
        Bounds { head: LIMITS.0, body: 4096 }
    }

    fn patience(&self) -> Patience {
        let (read_us, idle_us) = (LIMITS.2, LIMITS.3);
        Patience { first_us: None, read_us, write_us: read_us, once_idle_us: idle_us, idle_us }
    }

    fn head(&self, head: &http::Request) -> Result<Heard<()>, Bad> {
        Ok(Heard::Say(match settings::api::Call::of(head.method, head.target) {
            Some((settings::api::Call::Ready, _)) if self.shown.ready.load(Ordering::Relaxed) => {
                Answer::text(200, "ready\n")
            }
            Some((settings::api::Call::Ready, _)) => Answer::text(503, "not ready\n"),
            _ => Answer::text(404, "no such call\n"),
        }))
    }

    fn asked(&self, _: u64, (): (), _: Held, reply: Reply) {
        reply.send(Answer::text(404, "no such call\n"));
    }

    fn withdrawn(&self, _: u64) {}

    fn draining(&self) -> bool {
        false
    }

    fn refusal(&self, bad: &Bad) -> Answer {
        refusal(bad)
    }
}

/// What is spoken with servers; how attempts end comes to the shell.
type Servers = servers::Servers<Box<dyn Fn(u64, u32, End) + Send + Sync>>;

fn tell(inbox: Inbox<Told>) -> Box<dyn Fn(u64, u32, End) + Send + Sync> {
    Box::new(move |id, attempt, end| inbox.post(Told::Ended(id, attempt, end)))
}

struct Shell {
    front: Front,
    feed: Feed,
    watch: Watch,
    datagrams: Datagrams,
    registry_port: u16,
    relay_port: u16,
    /// Links to those who are followed, by the feed's numbers; links of followers by their own.
    lines: BTreeMap<u64, Line>,
    followers: BTreeMap<u64, Line>,
    wire: Arc<Servers>,
    peers: HashMap<u64, Peer<Servers>>,
    replies: HashMap<u64, Reply>,
    room: Arc<Room>,
    shown: Arc<Shown>,
    inbox: Inbox<Told>,
    out: Vec<front::Output>,
    news: Vec<feed::Output>,
    door: Arc<Door<Requests>>,
    over: Sender<()>,
    grace_us: Micros,
    asked_at: Option<Micros>,
}

impl Shell {
    fn pool(&self) -> pool::Settings {
        pool::Settings {
            dial_us: DIAL_US,
            answer_us: ANSWER_US,
            idle_us: SERVER_IDLE_US,
            most: usize::MAX,
            silence: Some(SILENCE),
            bounds: ANSWER,
        }
    }

    fn front(&mut self, now: Micros, input: front::Input) {
        self.front.handle(now, input, &mut self.out);
        for output in std::mem::take(&mut self.out) {
            match output {
                front::Output::Send(job) => {
                    let front::Job { id, attempt, server, name, instance, passage, again, until } = job;
                    let note = Note { name, instance };
                    let sent = self
                        .peers
                        .get(&server)
                        .is_some_and(|p| p.send(Job { id, attempt, passage, again, until, note }));
                    if !sent {
                        let end = End::Broken { reached: Reached::NeverRan };
                        self.inbox.post(Told::Ended(id, attempt, end));
                    }
                }
                front::Output::GiveUp { id, attempt, server, late } => {
                    if let Some(peer) = self.peers.get(&server) {
                        peer.give_up(id, attempt, late);
                    }
                }
                front::Output::Answer(id, answer) => self.reply(id, |_| {}, answer),
                front::Output::Cut(id, answer) => self.reply(id, |a| a.cut = true, answer),
                front::Output::Slow(id, answer, us) => self.reply(id, |a| a.pace_us = us, answer),
                front::Output::Close(id) => {
                    let nothing = front::Answer { status: 502, headers: Vec::new(), body: Vec::new() };
                    self.reply(id, |a| a.cut = true, nothing);
                }
                front::Output::Rehearsed { name, met, .. } => {
                    let (epoch, fault) = (met.epoch, met.fault.name());
                    log::info!("drill {epoch}: {} meets {fault}", String::from_utf8_lossy(&name));
                }
                front::Output::Server { server, peer, up } => {
                    let settings = self.pool();
                    let (room, wire) = (&self.room, &self.wire);
                    let known = self
                        .peers
                        .entry(server)
                        .or_insert_with(|| Peer::start(peer.addr, room.clone(), wire.clone(), settings));
                    known.listed(peer.addr, up);
                }
                front::Output::Gone { server } => {
                    if let Some(peer) = self.peers.remove(&server) {
                        peer.gone();
                    }
                }
            }
        }
    }

    fn reply(&mut self, id: u64, spoil: impl FnOnce(&mut Answer), answer: front::Answer) {
        if let Some(reply) = self.replies.remove(&id) {
            let front::Answer { status, headers, body } = answer;
            let mut answer = Answer::new(status, headers, body);
            spoil(&mut answer);
            reply.send(answer);
        }
    }

    fn feed(&mut self, now: Micros, input: feed::Input) {
        if self.feed.reports(now) {
            self.feed.uses(self.front.uses(now));
        }
        self.feed.handle(now, input, &self.front.copy, &mut self.news);
        self.front.fresh(now, self.feed.fresh_at());
        for output in std::mem::take(&mut self.news) {
            match output {
                feed::Output::Link { link, ip, relay } => self.link(link, ip, relay),
                feed::Output::Unlink(link) => {
                    if self.lines.remove(&link).is_some() {
                        log::info!("leaves whom it follows by link {link}");
                    }
                }
                feed::Output::Say(link, up) => {
                    if let Some(line) = self.lines.get(&link) {
                        line.send(&up);
                    }
                    self.watch(now, true);
                }
                feed::Output::Tell(link, down) => {
                    if let Some(line) = self.followers.get(&link) {
                        line.send(&down);
                    }
                }
                feed::Output::Refuse(link) => {
                    self.followers.remove(&link);
                }
                feed::Output::Meter(readings, made_at) => {
                    self.front(now, front::Input::Meter(readings, made_at));
                }
                feed::Output::Leases(leases, made_at) => {
                    self.front(now, front::Input::Leases(leases, made_at));
                }
                feed::Output::News(news) => {
                    let version = self.front.copy.state.version();
                    self.front(now, front::Input::News(news));
                    let state = &self.front.copy.state;
                    if state.version() != version {
                        log::info!("version {} is in force, revision {}", state.version(), state.rev);
                    }
                    self.feed(now, feed::Input::Changed);
                    self.watch.known(now, &self.front.copy.state.nodes);
                    self.show();
                }
            }
        }
    }

    /// Tells the watchers that this proxy is there, if it is time.
    fn watch(&mut self, now: Micros, soon: bool) {
        if let Some((here, watchers)) = self.watch.round(now, soon) {
            for ip in watchers {
                self.datagrams.send(*ip, &here);
            }
            self.feed.suspects(self.watch.suspects());
        }
    }

    fn link(&mut self, link: u64, ip: Ipv4Addr, relay: bool) {
        let (what, port) = if relay { ("relay", self.relay_port) } else { ("registry", self.registry_port) };
        log::info!("link {link}: asks the {what} on {ip} from revision {}", self.front.copy.rev());
        let (inbox, addr) = (self.inbox.clone(), SocketAddr::from((ip, port)));
        match link::dial(addr, SILENCE, move |_, event| inbox.post(Told::Link(link, event))) {
            Ok(line) => {
                self.lines.insert(link, line);
            }
            Err(e) => {
                log::info!("cannot link to {addr}: {e}");
                self.inbox.post(Told::Link(link, Event::Down));
            }
        }
    }

    /// What has changed for the connections.
    fn show(&mut self) {
        if let Some(limits) = self.front.limits() {
            let size = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
            self.shown.head.store(size(limits.max_header_bytes), Ordering::Relaxed);
            self.shown.body.store(size(limits.max_body_bytes), Ordering::Relaxed);
            self.shown.header_wait_us.store(limits.header_wait_ms * 1000, Ordering::Relaxed);
            self.shown.idle_us.store(limits.idle_limit_ms * 1000, Ordering::Relaxed);
        }
        let ready = self.front.ready() && self.feed.was_fresh() && self.asked_at.is_none();
        if self.shown.ready.swap(ready, Ordering::Relaxed) != ready {
            log::info!("{}", if ready { "ready" } else { "not ready" });
        }
        if self.feed.ready != ready {
            self.feed.ready = ready;
            self.feed.hurry();
        }
    }

    /// Whether all is over after a signal to end. New connections are taken for a while, as clients still come by what
    /// they were told before; then the listener is shut, and each open connection ends with its last answer.
    fn over(&self, now: Micros) -> bool {
        let Some(asked_at) = self.asked_at else { return false };
        if now >= asked_at + STILL_COMING_US {
            self.door.shut();
        }
        let late = now >= asked_at + self.grace_us.saturating_sub(SPARE_US);
        late || (now >= asked_at + STILL_COMING_US + SHUT_US && self.door.count() == 0)
    }
}

impl Machine for Shell {
    type Told = Told;

    fn take(&mut self, now: Micros, told: Option<Told>) {
        match told {
            None => {
                self.front(now, front::Input::Tick);
                self.watch(now, false);
                self.feed(now, feed::Input::Tick);
            }
            Some(Told::Asked(ask, reply)) => {
                self.replies.insert(ask.id, reply);
                self.front(now, front::Input::Asked(ask));
            }
            Some(Told::Withdrawn(id)) => {
                self.replies.remove(&id);
                self.front(now, front::Input::Withdrawn(id));
            }
            Some(Told::Ended(id, attempt, end)) => {
                self.front(now, front::Input::Ended { id, attempt, end });
            }
            Some(Told::Link(link, event)) => {
                let input = match event {
                    Event::Up => feed::Input::Linked(link),
                    Event::Got(down) => feed::Input::Got(link, down),
                    Event::Down => feed::Input::Broken(link),
                };
                self.feed(now, input);
            }
            Some(Told::FollowerTaken(line)) => {
                self.followers.insert(line.number, line);
            }
            Some(Told::FollowerSays(link, Event::Got(up))) => self.feed(now, feed::Input::Below(link, up)),
            Some(Told::FollowerSays(link, Event::Down)) => {
                self.followers.remove(&link);
                self.feed(now, feed::Input::BelowGone(link));
            }
            Some(Told::FollowerSays(_, Event::Up)) => {}
            Some(Told::Here(from, here)) => self.watch.heard(now, from, here),
            Some(Told::Signal(Asked::Settings(settings))) => {
                log::info!("settings are read again");
                self.feed.reseed(runtime::seeds(&settings));
            }
            Some(Told::Signal(Asked::Stop)) => {
                log::info!("asked to end, {} requests open", self.front.requests_open());
                self.asked_at.get_or_insert(now);
                self.shown.draining.store(true, Ordering::Relaxed);
                self.show();
                self.feed(now, feed::Input::Ends);
            }
        }
        self.show();
        if self.front.hurries() {
            self.feed.hurry();
        }
        let rows = self.front.drill_rows(now);
        if !rows.is_empty() {
            self.feed(now, feed::Input::Drill(rows));
        }
        let tallies = self.front.tallies(now);
        if !tallies.is_empty() {
            self.feed(now, feed::Input::Rollout(tallies));
        }
        if self.over(now) {
            let _ = self.over.send(());
        }
    }

    fn wake_at(&mut self) -> Micros {
        // After a signal to end, whether all is over is looked at again and again.
        const LOOK_US: Micros = 50_000;
        let ends = self.asked_at.map_or(Micros::MAX, |_| self.room.clock.now() + LOOK_US);
        self.front.wake_at().min(self.feed.wake_at()).min(self.watch.wake_at()).min(ends)
    }
}
