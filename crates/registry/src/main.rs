//! The shell of the registry: listeners and links around `registry::board`. It takes the outside calls for the store of
//! configuration too.

use cluster::Rev;
use cluster::talk::{FromStore, Gossip, REGISTRY_NEWS, REGISTRY_PEERS, STORE_LOCAL, Up};
use miette::{Result, miette};
use net::Micros;
use net::door::{Answer, Desk, Door, Heard, Patience, Reply};
use net::http::{self, Bad, Bounds};
use net::limits::Held;
use registry::board::{Board, Input, Output, REPEAT_US, Terms};
use registry::calls::{self, Request};
use runtime::link::{Event, Line, SILENCE, Tie};
use runtime::turn::{Inbox, Machine};
use runtime::{Asked, Start};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::time::{SystemTime, UNIX_EPOCH};

/// What is left to callers that are being answered when the program is asked to end.
const PARTING_US: Micros = 700_000;
/// A configuration may be as large as the links between the processes carry.
const BOUNDS: Bounds = Bounds { head: 16 * 1024, body: 4 << 20 };
/// Descriptors for files, and other than connections.
const KEPT: u64 = 64;

enum Told {
    Call(u64, Request, Reply),
    CallGone(u64),
    StoreLink(u64, Event<FromStore>),
    PeerLink(Ipv4Addr, u64, Event<()>),
    PeerTaken(Line),
    PeerSays(u64, Event<Gossip>),
    ProxyTaken(Line),
    ProxySays(u64, Event<Up>),
    Asked(Asked),
}

fn main() -> ExitCode {
    runtime::run("curlewfront-registry", "Knows curlewfront's servers and proxies, and takes the calls", work)
}

fn work(mut start: Start) -> Result<()> {
    let stage = start.stage::<Told>()?;
    let (inbox, room) = (stage.inbox.clone(), start.room(stage.clock, KEPT)?);
    let s = &start.settings;
    let terms = Terms {
        me: s.ip,
        zone: s.zone.clone(),
        zones: s.zones.clone(),
        beat_us: s.beat_period_ms * 1000,
        ttl_s: s.bounds.ttl_max_s.unwrap_or(TTL_S),
        sync_us: (s.bounds.sync_time_s.unwrap_or(SYNC_S) * 1e6) as Micros,
        settle_us: s.bounds.config_apply_ms.unwrap_or(SETTLE_MS) * 1000,
        zones_lost: s.tolerance.zones as usize,
        repeat_us: s.bounds.ack_limit_ms.map_or(REPEAT_US, |ms| ms * 1000),
    };
    let draining = Arc::new(AtomicBool::new(false));
    let desk = Arc::new(Calls { inbox: inbox.clone(), draining: draining.clone() });
    let mut listens = vec![s.control()?];
    listens.extend(s.directory().ok().filter(|d| !listens.contains(d)));
    for listen in listens {
        Door::start(listen, room.clone(), desk.clone())
            .map_err(|e| miette!("cannot listen on {listen}: {e}"))?;
    }
    let peers = start.listen(REGISTRY_PEERS, &inbox, Told::PeerTaken, Told::PeerSays)?;
    start.listen(REGISTRY_NEWS, &inbox, Told::ProxyTaken, Told::ProxySays)?;
    let posts = inbox.clone();
    start.watch(move |asked| posts.post(Told::Asked(asked)))?;

    let (over, ended) = channel();
    let shell = Shell {
        board: Board::new(terms, stage.clock.now()),
        store: Tie::new(start.internal(STORE_LOCAL)?),
        peers_port: peers.port(),
        peers: BTreeMap::new(),
        taken: BTreeMap::new(),
        proxies: BTreeMap::new(),
        replies: BTreeMap::new(),
        inbox,
        out: Vec::new(),
        draining,
        over,
        ends_at: None,
        logged_rollouts: 0,
    };
    stage.work(shell, &ended)
}

const TTL_S: f64 = 5.0;
const SYNC_S: f64 = 5.0;
const SETTLE_MS: u64 = 3000;

/// The desk behind both listeners: a call is read here and decided on by the board.
struct Calls {
    inbox: Inbox<Told>,
    draining: Arc<AtomicBool>,
}

impl Desk for Calls {
    type Ask = Request;

    fn bounds(&self) -> Bounds {
        BOUNDS
    }

    fn patience(&self) -> Patience {
        const SOME: Micros = 10_000_000;
        let (read_us, write_us, once_idle_us, idle_us) = (SOME, SOME, SOME, 3 * SOME);
        Patience { first_us: None, read_us, write_us, once_idle_us, idle_us }
    }

    fn head(&self, head: &http::Request) -> Result<Heard<Request>, Bad> {
        let text = |name| http::header(head.headers, name).and_then(|v| std::str::from_utf8(v).ok());
        Ok(Heard::Take(Request {
            method: head.method.to_string(),
            target: head.target.to_string(),
            if_match: text("If-Match").map(|v| v.trim().trim_matches('"').to_string()),
            body: Vec::new(),
        }))
    }

    fn asked(&self, id: u64, mut ask: Request, body: Held, reply: Reply) {
        ask.body = body.bytes;
        self.inbox.post(Told::Call(id, ask, reply));
    }

    fn withdrawn(&self, id: u64) {
        self.inbox.post(Told::CallGone(id));
    }

    fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    fn refusal(&self, bad: &Bad) -> Answer {
        say(calls::Answer::error(bad.status, bad.what))
    }
}

fn say(answer: calls::Answer) -> Answer {
    let headers = b"Content-Type: application/json\r\n".to_vec();
    Answer::new(answer.status, headers, answer.body.into_bytes())
}

struct Shell {
    board: Board,
    store: Tie,
    peers_port: u16,
    peers: BTreeMap<Ipv4Addr, Tie>,
    taken: BTreeMap<u64, Line>,
    proxies: BTreeMap<u64, Line>,
    replies: BTreeMap<u64, Reply>,
    inbox: Inbox<Told>,
    out: Vec<Output>,
    draining: Arc<AtomicBool>,
    over: Sender<()>,
    ends_at: Option<Micros>,
    /// The revision of the last step of a rollout that was logged.
    logged_rollouts: Rev,
}

impl Shell {
    /// Logs what rollouts have come to since the last time.
    fn log_rollouts(&mut self) {
        let logged = self.logged_rollouts;
        for rollout in self.board.copy.state.rollouts.0.values().filter(|r| r.stage_rev > logged) {
            let (order, stage) = (&rollout.order, rollout.stage.name());
            log::info!(
                "rollout of {} to {}: {stage}, {}",
                order.service,
                order.target_version,
                rollout.reason
            );
            self.logged_rollouts = self.logged_rollouts.max(rollout.stage_rev);
        }
    }

    fn read(&mut self, now: Micros, told: Told) -> Option<Input> {
        Some(match told {
            Told::Call(id, request, reply) => {
                self.replies.insert(id, reply);
                Input::Call(id, request)
            }
            Told::CallGone(id) => {
                self.replies.remove(&id);
                Input::CallGone(id)
            }
            Told::StoreLink(link, Event::Up) => self.store.rose(link).then_some(Input::StoreUp)?,
            Told::StoreLink(link, Event::Down) => self.store.fell(now, link).then_some(Input::StoreDown)?,
            Told::StoreLink(link, Event::Got(message)) => {
                self.store.holds(link).then_some(Input::Store(message))?
            }
            Told::PeerLink(ip, link, event) => {
                let tie = self.peers.get_mut(&ip)?;
                match event {
                    Event::Up => tie.rose(link),
                    Event::Down => tie.fell(now, link),
                    Event::Got(()) => false,
                };
                return None;
            }
            Told::PeerTaken(line) => {
                self.taken.insert(line.number, line);
                return None;
            }
            Told::PeerSays(_, Event::Got(gossip)) => Input::Peer(gossip),
            Told::PeerSays(link, Event::Down) => {
                self.taken.remove(&link);
                return None;
            }
            Told::ProxyTaken(line) => {
                self.proxies.insert(line.number, line);
                return None;
            }
            Told::ProxySays(link, Event::Got(up)) => Input::Proxy(link, up),
            Told::ProxySays(link, Event::Down) => {
                self.proxies.remove(&link);
                Input::ProxyDown(link)
            }
            Told::PeerSays(_, Event::Up) | Told::ProxySays(_, Event::Up) => return None,
            Told::Asked(Asked::Stop) => {
                log::info!("asked to end");
                self.draining.store(true, Ordering::Relaxed);
                self.ends_at.get_or_insert(now + PARTING_US);
                return None;
            }
            Told::Asked(Asked::Settings(_)) => return None,
        })
    }
}

impl Machine for Shell {
    type Told = Told;

    fn take(&mut self, now: Micros, told: Option<Told>) {
        let input = match told {
            None => Some(Input::Tick),
            Some(told) => self.read(now, told),
        };
        if let Some(input) = input {
            let day = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
            self.board.tell_day(now, day);
            self.board.handle(now, input, &mut self.out);
            self.log_rollouts();
        }
        for output in std::mem::take(&mut self.out) {
            match output {
                Output::Answer(id, answer) => {
                    if let Some(reply) = self.replies.remove(&id) {
                        reply.send(say(answer));
                    }
                }
                Output::Store(message) => self.store.send(&message),
                Output::Peer(ip, gossip) => {
                    let port = self.peers_port;
                    let tie = self.peers.entry(ip).or_insert_with(|| Tie::new((ip, port).into()));
                    tie.send(&gossip);
                    let inbox = self.inbox.clone();
                    tie.tend(now, SILENCE, move |link, event| inbox.post(Told::PeerLink(ip, link, event)));
                }
                Output::Proxy(link, down) => {
                    if let Some(line) = self.proxies.get(&link) {
                        line.send(&down);
                    }
                }
            }
        }
        let inbox = self.inbox.clone();
        self.store.tend(now, SILENCE, move |link, event| inbox.post(Told::StoreLink(link, event)));
        if self.ends_at.is_some_and(|at| now >= at) {
            let _ = self.over.send(());
        }
    }

    fn wake_at(&mut self) -> Micros {
        self.board.wake_at().min(self.store.wake_at()).min(self.ends_at.unwrap_or(Micros::MAX))
    }
}
