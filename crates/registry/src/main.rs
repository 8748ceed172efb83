//! The process around `registry::control_plane`: listeners, links and the clock. It takes outside calls for the
//! configuration store too.

use cluster::Rev;
use cluster::talk::{FromStore, Gossip, REGISTRY_NEWS, REGISTRY_PEERS, STORE_LOCAL, Up};
use miette::{Result, miette};
use net::Micros;
use net::http::{self, Bad, Bounds};
use net::listener::{Answer, ClientTimeouts, Handler, HeadAction, Listener, Reply};
use net::memory::{BufferedBody, Lease, Memory};
use net::ring::Bytes;
use registry::calls::{self, AnswerBody, Request};
use registry::control_plane::{ControlPlane, DEFAULT_ORDER_REPEAT_US, Input, Output, Parameters};
use registry::held::{self, SharedConfiguration};
use runtime::event_loop::{Inbox, StateMachine};
use runtime::link::{ACK_TIMEOUT, Event, LinkHandle, ReconnectingLink};
use runtime::{Runtime, SignalEvent};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::time::{SystemTime, UNIX_EPOCH};

/// Time for calls in progress to be answered after a request to stop.
const DRAIN_US: Micros = 700_000;
/// Size limits of a request in bytes. The body may be as large as a configuration that the links between processes
/// carry.
const BOUNDS: Bounds = Bounds { head: 16 * 1024, body: 4 << 20 };
/// File descriptors that are not available for connections.
const RESERVED_DESCRIPTORS: u64 = 64;

/// One descriptor in so many may be a link that a proxy or another registry has opened.
const LINK_DESCRIPTOR_DIVISOR: u64 = 4;

/// What other threads post to the inbox of the main loop.
enum Message {
    /// With the room that its body and the values in it take.
    Call(u64, Request, CallRoom, Reply),
    CallClosed(u64),
    StoreLink(u64, Event<FromStore>),
    PeerLink(Ipv4Addr, u64, Event<()>),
    PeerAccepted(LinkHandle),
    PeerEvent(u64, Event<Gossip>),
    ProxyAccepted(LinkHandle),
    ProxyEvent(u64, Event<Up>),
    Signal(SignalEvent),
}

/// The room that a call takes until it has been handled.
type CallRoom = [Option<Lease>; 2];

fn main() -> ExitCode {
    runtime::run(
        "curlewfront-registry",
        "Tracks curlewfront's servers and proxies and serves the control-plane API",
        run,
    )
}

fn run(mut runtime: Runtime) -> Result<()> {
    let worker = runtime.event_loop::<Message>()?;
    let (inbox, room) = (worker.inbox.clone(), runtime.room(worker.clock, RESERVED_DESCRIPTORS)?);
    let s = &runtime.settings;
    let parameters = Parameters {
        own_ip: s.ip,
        own_zone: s.zone.clone(),
        zones: s.zones.clone(),
        heartbeat_us: s.beat_period_ms * 1000,
        directory_ttl_s: s.bounds.ttl_max_s.unwrap_or(DEFAULT_DIRECTORY_TTL_S),
        max_sync_us: (s.bounds.sync_time_s.unwrap_or(DEFAULT_MAX_SYNC_S) * 1e6) as Micros,
        propagation_us: s.bounds.config_apply_ms.unwrap_or(DEFAULT_CONFIG_APPLY_MS) * 1000,
        tolerated_zone_losses: s.tolerance.zones as usize,
        order_repeat_us: s.bounds.ack_limit_ms.map_or(DEFAULT_ORDER_REPEAT_US, |ms| ms * 1000),
    };
    let draining = Arc::new(AtomicBool::new(false));
    let memory = room.memory.clone();
    let handler = CallHandler { inbox: inbox.clone(), draining: draining.clone(), memory: memory.clone() };
    let handler = Arc::new(handler);
    let mut listens = vec![s.control()?];
    listens.extend(s.directory().ok().filter(|d| !listens.contains(d)));
    for listen in listens {
        Listener::start(listen, room.clone(), handler.clone())
            .map_err(|e| miette!("cannot listen on {listen}: {e}"))?;
    }
    let links = runtime.link_limits(&room, LINK_DESCRIPTOR_DIVISOR);
    let peers = runtime.listen(&links, REGISTRY_PEERS, &inbox, Message::PeerAccepted, Message::PeerEvent)?;
    runtime.listen(&links, REGISTRY_NEWS, &inbox, Message::ProxyAccepted, Message::ProxyEvent)?;
    let signal_inbox = inbox.clone();
    runtime.on_signal(move |event| signal_inbox.post(Message::Signal(event)))?;

    let (end, ended) = channel();
    let runner = Runner {
        control_plane: ControlPlane::new(parameters, worker.clock.now()),
        store: ReconnectingLink::new(runtime.internal_addr(STORE_LOCAL)?),
        peers_port: peers.port(),
        peer_links: BTreeMap::new(),
        accepted_peers: BTreeMap::new(),
        proxy_links: BTreeMap::new(),
        replies: BTreeMap::new(),
        memory,
        call_room: None,
        shared_configuration: SharedConfiguration::default(),
        inbox,
        out: Vec::new(),
        draining,
        end,
        exit_at: None,
        logged_rollouts_rev: 0,
    };
    worker.run(runner, &ended)
}

// Values where the settings name none.
const DEFAULT_DIRECTORY_TTL_S: f64 = 5.0;
const DEFAULT_MAX_SYNC_S: f64 = 5.0;
const DEFAULT_CONFIG_APPLY_MS: u64 = 3000;

/// The handler of both listeners: reads a call and passes it to the control plane.
struct CallHandler {
    inbox: Inbox<Message>,
    draining: Arc<AtomicBool>,
    memory: Arc<Memory>,
}

impl Handler for CallHandler {
    type Request = Request;

    fn bounds(&self) -> Bounds {
        BOUNDS
    }

    fn timeouts(&self) -> ClientTimeouts {
        const IO_LIMIT_US: Micros = 10_000_000;
        let (read_us, write_us, idle_after_one_us, idle_us) =
            (IO_LIMIT_US, IO_LIMIT_US, IO_LIMIT_US, 3 * IO_LIMIT_US);
        ClientTimeouts { first_request_us: None, read_us, write_us, idle_after_one_us, idle_us }
    }

    fn head(&self, head: &http::Request) -> Result<HeadAction<Request>, Bad> {
        let text = |name| http::header(head.headers, name).and_then(|v| std::str::from_utf8(v).ok());
        Ok(HeadAction::Accept(Request {
            method: head.method.to_string(),
            target: head.target.to_string(),
            if_match: text("If-Match").map(|v| v.trim().trim_matches('"').to_string()),
            body: Vec::new(),
        }))
    }

    fn handle(&self, id: u64, mut ask: Request, body: BufferedBody, reply: Reply) {
        let Some(values) = held::room_for_values(&self.memory, &body) else {
            return reply.send(http_answer(calls::Answer::unavailable("no room")));
        };
        ask.body = body.bytes;
        self.inbox.post(Message::Call(id, ask, [body.lease, values], reply));
    }

    fn drops_abandoned(&self) -> bool {
        true
    }

    fn client_gone(&self, id: u64) {
        self.inbox.post(Message::CallClosed(id));
    }

    fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    fn refusal(&self, bad: &Bad) -> Answer {
        http_answer(calls::Answer::error(bad.status, bad.what))
    }
}

const JSON_HEADER: &[u8] = b"Content-Type: application/json\r\n";

fn http_answer(answer: calls::Answer) -> Answer {
    Answer::new(answer.status, JSON_HEADER.to_vec(), answer.body.to_string().into_bytes())
}

/// The main loop: turns messages into inputs of the control plane and sends its outputs.
struct Runner {
    control_plane: ControlPlane,
    store: ReconnectingLink,
    peers_port: u16,
    peer_links: BTreeMap<Ipv4Addr, ReconnectingLink>,
    accepted_peers: BTreeMap<u64, LinkHandle>,
    proxy_links: BTreeMap<u64, LinkHandle>,
    replies: BTreeMap<u64, Reply>,
    memory: Arc<Memory>,
    /// Of the call that is being handled.
    call_room: Option<CallRoom>,
    shared_configuration: SharedConfiguration,
    inbox: Inbox<Message>,
    out: Vec<Output>,
    draining: Arc<AtomicBool>,
    end: Sender<()>,
    exit_at: Option<Micros>,
    /// The revision of the last rollout step that was logged.
    logged_rollouts_rev: Rev,
}

impl Runner {
    /// Logs the steps of rollouts since the last call.
    fn log_rollouts(&mut self) {
        let logged = self.logged_rollouts_rev;
        for rollout in self.control_plane.copy.state.rollouts.0.values().filter(|r| r.stage_rev > logged) {
            let (order, stage) = (&rollout.order, rollout.stage.name());
            log::info!(
                "rollout of {} to {}: {stage}, {}",
                order.service,
                order.target_version,
                rollout.reason
            );
            self.logged_rollouts_rev = self.logged_rollouts_rev.max(rollout.stage_rev);
        }
    }

    /// An answer as it is sent. A configuration for which there is no room is refused: its reader asks another registry.
    fn answer(&mut self, answer: calls::Answer) -> Answer {
        let text = match answer.body {
            AnswerBody::Own(text) => {
                return Answer::new(answer.status, JSON_HEADER.to_vec(), text.into_bytes());
            }
            AnswerBody::Configuration(text) => text,
        };
        match self.shared_configuration.share(&self.memory, &text) {
            Some(held) => Answer::new(answer.status, JSON_HEADER.to_vec(), Bytes::Shared(held)),
            None => http_answer(calls::Answer::unavailable("no room")),
        }
    }

    fn input_from(&mut self, now: Micros, message: Message) -> Option<Input> {
        Some(match message {
            Message::Call(id, request, room, reply) => {
                self.replies.insert(id, reply);
                self.call_room = Some(room);
                Input::Call(id, request)
            }
            Message::CallClosed(id) => {
                self.replies.remove(&id);
                Input::CallClosed(id)
            }
            Message::StoreLink(link, Event::Up) => self.store.on_up(link).then_some(Input::StoreUp)?,
            Message::StoreLink(link, Event::Down) => {
                self.store.on_down(now, link).then_some(Input::StoreDown)?
            }
            Message::StoreLink(link, Event::Received(message)) => {
                self.store.is_up(link).then_some(Input::Store(message))?
            }
            Message::PeerLink(ip, link, event) => {
                let peer_link = self.peer_links.get_mut(&ip)?;
                match event {
                    Event::Up => peer_link.on_up(link),
                    Event::Down => peer_link.on_down(now, link),
                    Event::Received(()) => false,
                };
                return None;
            }
            Message::PeerAccepted(link) => {
                self.accepted_peers.insert(link.number, link);
                return None;
            }
            Message::PeerEvent(_, Event::Received(gossip)) => Input::Peer(gossip),
            Message::PeerEvent(link, Event::Down) => {
                self.accepted_peers.remove(&link);
                return None;
            }
            Message::ProxyAccepted(link) => {
                self.proxy_links.insert(link.number, link);
                return None;
            }
            Message::ProxyEvent(link, Event::Received(up)) => Input::Proxy(link, up),
            Message::ProxyEvent(link, Event::Down) => {
                self.proxy_links.remove(&link);
                Input::ProxyDown(link)
            }
            Message::PeerEvent(_, Event::Up) | Message::ProxyEvent(_, Event::Up) => return None,
            Message::Signal(SignalEvent::Stop) => {
                log::info!("stop requested");
                self.draining.store(true, Ordering::Relaxed);
                self.exit_at.get_or_insert(now + DRAIN_US);
                return None;
            }
            Message::Signal(SignalEvent::Settings(_)) => return None,
        })
    }
}

impl StateMachine for Runner {
    type Message = Message;

    fn handle(&mut self, now: Micros, message: Option<Message>) {
        let input = match message {
            None => Some(Input::Tick),
            Some(message) => self.input_from(now, message),
        };
        if let Some(input) = input {
            let day = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
            self.control_plane.set_time_of_day(now, day);
            self.control_plane.handle(now, input, &mut self.out);
            self.call_room = None;
            self.log_rollouts();
        }
        for output in std::mem::take(&mut self.out) {
            match output {
                Output::Answer(id, answer) => {
                    if let Some(reply) = self.replies.remove(&id) {
                        reply.send(self.answer(answer));
                    }
                }
                Output::Store(message) => self.store.send(&message),
                Output::Peer(ip, gossip) => {
                    let port = self.peers_port;
                    let peer_link =
                        self.peer_links.entry(ip).or_insert_with(|| ReconnectingLink::new((ip, port).into()));
                    peer_link.send(&gossip);
                    let inbox = self.inbox.clone();
                    peer_link.maintain(now, ACK_TIMEOUT, move |link, event| {
                        inbox.post(Message::PeerLink(ip, link, event))
                    });
                }
                Output::Proxy(link, down) => {
                    if let Some(proxy_link) = self.proxy_links.get(&link) {
                        proxy_link.send(&down);
                    }
                }
            }
        }
        let inbox = self.inbox.clone();
        self.store.maintain(now, ACK_TIMEOUT, move |link, event| inbox.post(Message::StoreLink(link, event)));
        if self.exit_at.is_some_and(|at| now >= at) {
            let _ = self.end.send(());
        }
    }

    fn wake_at(&mut self) -> Micros {
        self.control_plane.wake_at().min(self.store.wake_at()).min(self.exit_at.unwrap_or(Micros::MAX))
    }
}
