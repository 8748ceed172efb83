//! The proxy's I/O: listeners, connections to servers, links to the parent and to followers, around the state machines
//! `proxy::dispatcher`, `proxy::feed` and `proxy::failure_detector`.

mod handlers;

use cluster::Micros;
use cluster::state::Node;
use cluster::talk::{Down, Here, PROXY_NEWS, PROXY_WATCH, REGISTRY_NEWS, Up};
use handlers::{ClientHandler, ReadinessHandler, Status};
use miette::{Result, miette};
use net::listener::{Answer, Listener, Reply};
use net::memory::BufferedBody;
use net::pool::Job;
use net::resources::Resources;
use proxy::dispatcher::{self, AttemptResult, ClientRequest, Dispatcher, Execution};
use proxy::failure_detector::FailureDetector;
use proxy::feed::{self, Feed};
use proxy::reservations::BookingTimes;
use proxy::rollout::Exposure;
use proxy::routing_view::{Leeway, ProxySettings};
use proxy::server_pools::ServerPools;
use proxy::servers::{self, AttemptInfo};
use proxy::shutdown::{ListenerStatus, Shutdown, Step};
use runtime::datagram::{self, Datagrams};
use runtime::event_loop::{Inbox, StateMachine};
use runtime::link::{self, ACK_TIMEOUT, Event, LinkHandle};
use runtime::{Runtime, SignalEvent};
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Sender, channel};

/// Descriptors reserved for files and everything else that is not a connection.
const RESERVED_DESCRIPTORS: u64 = 232;
/// One descriptor in so many may be a link that another proxy has opened.
const LINK_DESCRIPTOR_DIVISOR: u64 = 16;
/// The grace period where the settings name none, in seconds.
const DEFAULT_GRACE_S: f64 = 5.0;
/// The retry budget where the settings name none: a fraction of the requests, and a fixed number on top of that.
const DEFAULT_RETRY: (f64, f64) = (0.2, 50.0);

/// What the main loop is told.
enum Message {
    Request(ClientRequest, Reply),
    ClientGone(u64),
    AttemptEnded(u64, u32, AttemptResult),
    /// On the link to a parent.
    Parent(u64, Event<Down>),
    FollowerConnected(LinkHandle),
    Follower(u64, Event<Up>),
    Heartbeat(Ipv4Addr, Here),
    Signal(SignalEvent),
}

fn main() -> ExitCode {
    runtime::run("curlewfront-proxy", "Carries requests between clients and servers", run_proxy)
}

fn run_proxy(mut runtime: Runtime) -> Result<()> {
    let event_loop = runtime.event_loop::<Message>()?;
    let (inbox, resources) =
        (event_loop.inbox.clone(), runtime.room(event_loop.clock, RESERVED_DESCRIPTORS)?);
    let s = &runtime.settings;
    let status = Arc::new(Status::default());
    let handler = Arc::new(ClientHandler { inbox: inbox.clone(), status: status.clone() });
    let listen = s.front_plain()?;
    let listener = Listener::start(listen, resources.clone(), handler);
    let listener = listener.map_err(|e| miette!("cannot listen on {listen}: {e}"))?;
    if let Ok(listen) = s.readiness() {
        let handler = Arc::new(ReadinessHandler { status: status.clone() });
        Listener::start(listen, resources.clone(), handler)
            .map_err(|e| miette!("cannot listen on {listen}: {e}"))?;
    }
    let messages = inbox.clone();
    runtime.on_signal(move |signal| messages.post(Message::Signal(signal)))?;

    let links = runtime.link_limits(&resources, LINK_DESCRIPTOR_DIVISOR);
    let relay = runtime.listen(&links, PROXY_NEWS, &inbox, Message::FollowerConnected, Message::Follower)?;
    let (messages, listen) = (inbox.clone(), runtime.internal_addr(PROXY_WATCH)?);
    let datagrams = datagram::open(listen, move |from, here| messages.post(Message::Heartbeat(from, here)))
        .map_err(|e| miette!("cannot receive datagrams on {listen}: {e}"))?;

    let s = &runtime.settings;
    let b = &s.bounds;
    let leeway = Leeway {
        excess: b.quota_excess.unwrap_or(0.0),
        margin: b.quota_margin.unwrap_or(0.0),
        period_s: b.quota_period_s.unwrap_or(0.0),
        retry_ratio: b.retry_ratio.unwrap_or(DEFAULT_RETRY.0),
        retry_slack: b.retry_slack.unwrap_or(DEFAULT_RETRY.1),
    };
    let (zone, region, zones) = (s.zone.clone(), s.region.clone(), s.zones.clone());
    let (usual, ms) = (BookingTimes::default(), |ms: u64| ms * 1000);
    let times = BookingTimes {
        settle_us: b.config_apply_ms.map_or(usual.settle_us, ms),
        hold_us: b.contact_ms.map_or(usual.hold_us, ms),
    };
    let exposure = Exposure::from_settings(b.exposure_share, b.exposure_margin);
    let proxy_settings =
        ProxySettings { ip: s.ip, zone, region, zones, leeway, booking_times: times, exposure };
    let node = Node {
        ip: s.ip,
        name: s.name.clone(),
        zone: s.zone.clone(),
        region: s.region.clone(),
        front: s.front_plain()?,
    };
    let (beat_us, now) = (s.beat_period_ms * 1000, event_loop.clock.now());
    let (finished, finished_receiver) = channel();
    let grace_us = (s.bounds.grace_period_s.unwrap_or(DEFAULT_GRACE_S) * 1e6) as Micros;
    let servers = Arc::new(Servers::new(report_to(inbox.clone())));
    let server_pools = ServerPools::new(resources.clone(), servers, servers::pool_settings());
    let proxy_loop = ProxyLoop {
        dispatcher: Dispatcher::new(proxy_settings, beat_us, runtime.life, now),
        failure_detector: FailureDetector::new(node.clone(), beat_us / 3, runtime.life, now),
        datagrams,
        feed: Feed::new(node, s.zones.clone(), runtime.seeds(), beat_us, runtime.life, now),
        registry_port: runtime.internal_addr(REGISTRY_NEWS)?.port(),
        relay_port: relay.port(),
        parents: BTreeMap::new(),
        followers: BTreeMap::new(),
        server_pools,
        replies: HashMap::new(),
        resources,
        status,
        inbox,
        dispatcher_outputs: Vec::new(),
        feed_outputs: Vec::new(),
        listener,
        finished,
        shutdown: Shutdown::new(grace_us),
        exiting: false,
    };
    event_loop.run(proxy_loop, &finished_receiver)
}

/// The protocol with servers; results of attempts are sent to the main loop.
type Servers = servers::ServerWire<Box<dyn Fn(u64, u32, AttemptResult) + Send + Sync>>;

fn report_to(inbox: Inbox<Message>) -> Box<dyn Fn(u64, u32, AttemptResult) + Send + Sync> {
    Box::new(move |id, attempt, end| inbox.post(Message::AttemptEnded(id, attempt, end)))
}

/// Drives the state machines and carries out their outputs.
struct ProxyLoop {
    dispatcher: Dispatcher,
    feed: Feed,
    failure_detector: FailureDetector,
    datagrams: Datagrams,
    registry_port: u16,
    relay_port: u16,
    /// Links to parents, by the feed's numbers.
    parents: BTreeMap<u64, LinkHandle>,
    /// Links of followers, by the links' own numbers.
    followers: BTreeMap<u64, LinkHandle>,
    server_pools: ServerPools<Servers>,
    replies: HashMap<u64, Reply>,
    resources: Arc<Resources>,
    status: Arc<Status>,
    inbox: Inbox<Message>,
    dispatcher_outputs: Vec<dispatcher::Output>,
    feed_outputs: Vec<feed::Output>,
    listener: Arc<Listener<ClientHandler>>,
    /// Told once the proxy may exit.
    finished: Sender<()>,
    shutdown: Shutdown,
    exiting: bool,
}

impl ProxyLoop {
    fn run_dispatcher(&mut self, now: Micros, input: dispatcher::Input) {
        self.dispatcher.handle(now, input, &mut self.dispatcher_outputs);
        for output in std::mem::take(&mut self.dispatcher_outputs) {
            match output {
                dispatcher::Output::Send(job) => {
                    let dispatcher::Job {
                        id,
                        attempt,
                        server,
                        attempt_id,
                        instance,
                        request,
                        same_server_retry,
                        until,
                        list_rev,
                    } = job;
                    log::debug!(
                        "attempt {id}.{attempt} ({}) to {instance}, by the list of revision {list_rev}",
                        String::from_utf8_lossy(&attempt_id)
                    );
                    let note = AttemptInfo { name: attempt_id, instance };
                    let job = Job { id, attempt, request, same_server_retry, until, note };
                    if !self.server_pools.send(server, job) {
                        let end = AttemptResult::Broken { execution: Execution::NeverRan };
                        self.inbox.post(Message::AttemptEnded(id, attempt, end));
                    }
                }
                dispatcher::Output::CancelAttempt { id, attempt, timed_out_sent_at, .. } => {
                    let why =
                        if timed_out_sent_at.is_some() { "timed out" } else { "is not needed any more" };
                    log::info!("attempt {id}.{attempt} cancelled: it {why}");
                    self.server_pools.give_up(id, attempt, timed_out_sent_at);
                }
                dispatcher::Output::Answer(id, answer) => self.reply(id, |_| {}, answer),
                // Faults of drills: the connection is closed in the middle of the body, or the body is sent slowly.
                dispatcher::Output::Cut(id, answer) => self.reply(id, |a| a.cut = true, answer),
                dispatcher::Output::Slow(id, answer, us) => self.reply(id, |a| a.pace_us = us, answer),
                dispatcher::Output::Close(id) => {
                    let empty = dispatcher::Answer {
                        status: 502,
                        headers: Vec::new(),
                        body: BufferedBody::default(),
                    };
                    self.reply(id, |a| a.cut = true, empty);
                }
                dispatcher::Output::DrillFault { attempt_id, injected, .. } => {
                    let (epoch, fault) = (injected.epoch, injected.fault.name());
                    log::info!(
                        "drill {epoch}: fault {fault} for attempt {}",
                        String::from_utf8_lossy(&attempt_id)
                    );
                }
                dispatcher::Output::Server { server, peer, up } => {
                    self.server_pools.update(server, peer.addr, up);
                }
                dispatcher::Output::ServerRemoved { server } => self.server_pools.remove(server),
            }
        }
    }

    fn reply(&mut self, id: u64, adjust: impl FnOnce(&mut Answer), answer: dispatcher::Answer) {
        if let Some(reply) = self.replies.remove(&id) {
            let dispatcher::Answer { status, headers, body } = answer;
            let mut answer = Answer::new(status, headers, body);
            adjust(&mut answer);
            reply.send(answer);
        }
    }

    fn run_feed(&mut self, now: Micros, input: feed::Input) {
        if self.feed.report_due(now) {
            self.feed.set_usage(self.dispatcher.tenant_usage(now));
        }
        self.feed.handle(now, input, &self.dispatcher.copy, &mut self.feed_outputs);
        self.dispatcher.set_fresh_at(now, self.feed.fresh_at());
        for output in std::mem::take(&mut self.feed_outputs) {
            match output {
                feed::Output::Connect { link, ip, relay } => self.open_link(link, ip, relay),
                feed::Output::Disconnect(link) => {
                    if self.parents.remove(&link).is_some() {
                        log::info!("link {link}: left this parent");
                    }
                }
                feed::Output::SendUp(link, up) => {
                    if let Some(handle) = self.parents.get(&link) {
                        handle.send(&up);
                    }
                    self.send_heartbeat(now, true);
                }
                feed::Output::SendDown(link, down) => {
                    if let Some(handle) = self.followers.get(&link) {
                        handle.send(&down);
                    }
                }
                feed::Output::DropFollower(link) => {
                    self.followers.remove(&link);
                }
                feed::Output::Meter(readings, made_at) => {
                    self.run_dispatcher(now, dispatcher::Input::Meter(readings, made_at));
                }
                feed::Output::Leases(leases, made_at) => {
                    self.run_dispatcher(now, dispatcher::Input::Leases(leases, made_at));
                }
                feed::Output::News(news) => {
                    let version = self.dispatcher.copy.state.version();
                    self.run_dispatcher(now, dispatcher::Input::News(news));
                    let state = &self.dispatcher.copy.state;
                    if state.version() != version {
                        log::info!(
                            "configuration version {} in force, revision {}",
                            state.version(),
                            state.rev
                        );
                    }
                    self.run_feed(now, feed::Input::CopyChanged);
                    self.failure_detector.set_nodes(now, &self.dispatcher.copy.state.nodes);
                    self.update_status();
                }
            }
        }
    }

    /// Sends a heartbeat to the watchers if one is due, and tells the feed whom this proxy suspects.
    fn send_heartbeat(&mut self, now: Micros, soon: bool) {
        if let Some((here, watchers)) = self.failure_detector.next_heartbeat(now, soon) {
            for ip in watchers {
                self.datagrams.send(*ip, &here);
            }
            self.feed.set_suspects(self.failure_detector.suspects());
        }
    }

    fn open_link(&mut self, link: u64, ip: Ipv4Addr, relay: bool) {
        let (what, port) = if relay { ("relay", self.relay_port) } else { ("registry", self.registry_port) };
        log::info!(
            "link {link}: connecting to the {what} on {ip}, from revision {}",
            self.dispatcher.copy.rev()
        );
        let (inbox, addr) = (self.inbox.clone(), SocketAddr::from((ip, port)));
        match link::dial(addr, ACK_TIMEOUT, move |_, event| inbox.post(Message::Parent(link, event))) {
            Ok(handle) => {
                self.parents.insert(link, handle);
            }
            Err(e) => {
                log::info!("cannot connect to {addr}: {e}");
                self.inbox.post(Message::Parent(link, Event::Down));
            }
        }
    }

    /// Updates what the connections read, and the readiness that the feed reports.
    fn update_status(&mut self) {
        if let Some(limits) = self.dispatcher.limits() {
            let size = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
            self.status.max_head_bytes.store(size(limits.max_header_bytes), Ordering::Relaxed);
            self.status.max_body_bytes.store(size(limits.max_body_bytes), Ordering::Relaxed);
            self.status.header_wait_us.store(limits.header_wait_ms * 1000, Ordering::Relaxed);
            self.status.idle_us.store(limits.idle_limit_ms * 1000, Ordering::Relaxed);
        }
        let ready = self.dispatcher.ready() && self.feed.has_been_fresh() && !self.shutdown.is_requested();
        if self.status.ready.swap(ready, Ordering::Relaxed) != ready {
            log::info!("{}", if ready { "ready" } else { "not ready" });
        }
        if self.feed.ready != ready {
            self.feed.ready = ready;
            self.feed.report_soon();
        }
    }

    /// Takes the next step of the shutdown, if there is one.
    fn advance_shutdown(&mut self, now: Micros) {
        if !self.shutdown.is_requested() {
            return;
        }
        let listener = &self.listener;
        let status = ListenerStatus { closed: listener.is_closed(), open_connections: listener.count() };
        match self.shutdown.step(now, status) {
            Step::Serve => {}
            Step::StopAccepting => listener.stop_accepting(),
            Step::Exit if self.exiting => {}
            Step::Exit => {
                self.exiting = true;
                let requests = self.dispatcher.open_requests();
                log::info!("exiting, {requests} requests open on {} connections", status.open_connections);
                if requests > 0 {
                    runtime::log_buffer::dump("requests are open at the end of the grace period");
                }
                let _ = self.finished.send(());
            }
        }
    }
}

impl StateMachine for ProxyLoop {
    type Message = Message;

    fn handle(&mut self, now: Micros, message: Option<Message>) {
        match message {
            None => {
                self.run_dispatcher(now, dispatcher::Input::Tick);
                self.send_heartbeat(now, false);
                self.run_feed(now, feed::Input::Tick);
            }
            Some(Message::Request(request, reply)) => {
                self.replies.insert(request.id, reply);
                self.run_dispatcher(now, dispatcher::Input::Request(request));
            }
            Some(Message::ClientGone(id)) => {
                self.replies.remove(&id);
                self.run_dispatcher(now, dispatcher::Input::ClientGone(id));
            }
            Some(Message::AttemptEnded(id, attempt, end)) => {
                self.server_pools.ended(id, attempt);
                self.run_dispatcher(now, dispatcher::Input::AttemptEnded { id, attempt, end });
            }
            Some(Message::Parent(link, event)) => {
                let input = match event {
                    Event::Up => feed::Input::Connected(link),
                    Event::Received(down) => feed::Input::Received(link, down),
                    Event::Down => feed::Input::Disconnected(link),
                };
                self.run_feed(now, input);
            }
            Some(Message::FollowerConnected(handle)) => {
                self.followers.insert(handle.number, handle);
            }
            Some(Message::Follower(link, Event::Received(up))) => {
                self.run_feed(now, feed::Input::FromFollower(link, up))
            }
            Some(Message::Follower(link, Event::Down)) => {
                self.followers.remove(&link);
                self.run_feed(now, feed::Input::FollowerGone(link));
            }
            Some(Message::Follower(_, Event::Up)) => {}
            Some(Message::Heartbeat(from, here)) => self.failure_detector.heartbeat_received(now, from, here),
            Some(Message::Signal(SignalEvent::Settings(settings))) => {
                log::info!("settings reloaded");
                self.feed.set_seeds(runtime::seeds(&settings));
            }
            Some(Message::Signal(SignalEvent::Stop)) => {
                log::info!("stopping, {} requests open", self.dispatcher.open_requests());
                self.shutdown.request(now);
                self.status.draining.store(true, Ordering::Relaxed);
                self.update_status();
                self.run_feed(now, feed::Input::Shutdown);
            }
        }
        self.update_status();
        if self.dispatcher.wants_early_report() {
            self.feed.report_soon();
        }
        let rows = self.dispatcher.drill_rows(now);
        if !rows.is_empty() {
            self.run_feed(now, feed::Input::Drill(rows));
        }
        let tallies = self.dispatcher.tallies(now);
        if !tallies.is_empty() {
            self.run_feed(now, feed::Input::Rollout(tallies));
        }
        self.advance_shutdown(now);
    }

    fn wake_at(&mut self) -> Micros {
        /// Interval between two steps of a shutdown.
        const SHUTDOWN_STEP_US: Micros = 50_000;
        let stopping = self.shutdown.is_requested();
        let next_step = if stopping { self.resources.clock.now() + SHUTDOWN_STEP_US } else { Micros::MAX };
        self.dispatcher.wake_at().min(self.feed.wake_at()).min(self.failure_detector.wake_at()).min(next_step)
    }
}
