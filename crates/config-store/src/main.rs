//! The process of the config store: connects `config_store::replica` to the network, the disk and the clock.

use cluster::talk::{STORE_LOCAL, STORE_PEERS, ToStore};
use config_store::replica::{Input, Output, Peer, Replica, Status};
use consensus::disk::Store;
use consensus::{PersistentState, Write};
use miette::{Result, miette};
use net::Micros;
use runtime::event_loop::{Inbox, StateMachine};
use runtime::link::{ACK_TIMEOUT, Event, LinkHandle, ReconnectingLink};
use runtime::{Runtime, SignalEvent};
use settings::settings::Settings;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// Delay before a failed write is tried again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// File descriptors that are not available for links.
const RESERVED_DESCRIPTORS: u64 = 64;
/// One descriptor in so many may be a link that a registry or another store has opened.
const LINK_DESCRIPTOR_DIVISOR: u64 = 4;

/// What other threads post to the event loop. The `u64` of a link event is the number of the link.
enum Message {
    /// An event on the link that this store opened to another one.
    PeerOutbound(Ipv4Addr, u64, Event<Peer>),
    PeerAccepted(LinkHandle),
    /// An event on a link that another store opened.
    PeerInbound(u64, Event<Peer>),
    LocalAccepted(LinkHandle),
    /// An event on a link that a registry on this machine opened.
    LocalInbound(u64, Event<ToStore>),
    /// The write with this number is synced to disk.
    Written(u64),
    Signal(SignalEvent),
}

fn main() -> ExitCode {
    runtime::run(
        "curlewfront-config-store",
        "Keeps the replicated configuration state of curlewfront's core machines",
        start,
    )
}

/// The number of core members that still has a majority after the tolerated machine losses: 2f + 1. `None` if the settings
/// name no tolerated losses.
fn core_size(settings: &Settings) -> Option<usize> {
    let losses = usize::try_from(settings.tolerance.machines).ok().filter(|f| *f > 0)?;
    Some(losses.saturating_mul(2).saturating_add(1))
}

fn start(mut runtime: Runtime) -> Result<()> {
    let event_loop = runtime.event_loop::<Message>()?;
    let inbox = event_loop.inbox.clone();
    let (me, seeds) = (runtime.settings.ip, runtime.seeds());
    let dir = runtime.settings.data_directory.clone();
    let dir = dir.ok_or_else(|| miette!("self_node.data_directory: the store needs a disk"))?;
    let is_founder = runtime.settings.initial_start && seeds.contains(&me);
    let (incarnation, founders) = (runtime.life, seeds.clone());
    // For a disk without a store: founders start with disk number 0, later members with a random one.
    let initial = move || match is_founder {
        true => (0, PersistentState::founding(founders.clone())),
        false => (incarnation, PersistentState::empty()),
    };
    let (store, saved) = Store::open(&dir, me, initial).map_err(|e| miette!("{e}"))?;
    let now = event_loop.clock.now();
    let replica = Replica::new(me, store.disk(), saved, seeds.clone(), runtime.life, now);
    let mut replica = replica.map_err(|e| miette!("{}: {e}", dir.display()))?;
    let mut out = Vec::new();
    replica.handle(now, Input::Settings { size: core_size(&runtime.settings), seeds }, &mut out);
    log::info!("disk {} at revision {}", replica.disk(), replica.copy.rev());

    let (writes, to_write) = channel();
    spawn_writer(store, dir, me, to_write, inbox.clone())?;
    let resources = runtime.room(event_loop.clock, RESERVED_DESCRIPTORS)?;
    let links = runtime.link_limits(&resources, LINK_DESCRIPTOR_DIVISOR);
    let peers_port =
        runtime.listen(&links, STORE_PEERS, &inbox, Message::PeerAccepted, Message::PeerInbound)?.port();
    runtime.listen(&links, STORE_LOCAL, &inbox, Message::LocalAccepted, Message::LocalInbound)?;
    let signal_inbox = inbox.clone();
    runtime.on_signal(move |event| signal_inbox.post(Message::Signal(event)))?;

    let (finished, on_finished) = channel();
    let (peers, accepted, locals) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
    let process = StoreProcess {
        replica,
        me,
        peers_port,
        peers,
        accepted,
        locals,
        writes,
        inbox,
        out,
        finished,
        logged_status: Status::default(),
    };
    event_loop.run(process, &on_finished)
}

/// Starts the thread that writes to the disk, as a write may take long. A failed write is tried again, on the store opened
/// anew, until it succeeds: acknowledgements depend on it.
fn spawn_writer(
    store: Store,
    dir: PathBuf,
    me: Ipv4Addr,
    writes: Receiver<Write>,
    inbox: Inbox<Message>,
) -> Result<()> {
    let thread = std::thread::Builder::new().name("disk".into()).stack_size(256 * 1024);
    let started = thread.spawn(move || {
        let mut store = Some(store);
        for write in writes {
            loop {
                let result = match &store {
                    Some(open) => open.write(&write),
                    None => Err(consensus::disk::DiskError {
                        file: dir.clone(),
                        message: "cannot be reopened after a failed write".into(),
                        full: false,
                    }),
                };
                let Err(error) = result else { break };
                log::error!("{error}");
                runtime::log_buffer::dump("a write to the disk failed");
                std::thread::sleep(WRITE_RETRY_DELAY);
                drop(store.take());
                // The store was created before, so it needs no initial content.
                store = Store::open(&dir, me, || (0, PersistentState::empty())).ok().map(|(open, _)| open);
            }
            inbox.post(Message::Written(write.number));
        }
    });
    started.map(|_| ()).map_err(|e| miette!("cannot start a thread: {e}"))
}

struct StoreProcess {
    replica: Replica,
    me: Ipv4Addr,
    peers_port: u16,
    /// Links that this store opened to other stores.
    peers: BTreeMap<Ipv4Addr, ReconnectingLink>,
    /// Links that other stores opened, by number, with the address of the store once it has introduced itself.
    accepted: BTreeMap<u64, (LinkHandle, Option<Ipv4Addr>)>,
    /// Links of registries on this machine, by number.
    locals: BTreeMap<u64, LinkHandle>,
    writes: Sender<Write>,
    inbox: Inbox<Message>,
    out: Vec<Output>,
    /// Signalled when the process may exit.
    finished: Sender<()>,
    /// The status that was logged last.
    logged_status: Status,
}

impl StateMachine for StoreProcess {
    type Message = Message;

    fn handle(&mut self, now: Micros, message: Option<Message>) {
        let input = match message {
            None => Some(Input::Tick),
            Some(Message::PeerOutbound(ip, link, event)) => {
                let introduction = Peer::Iam { ip: self.me, disk: self.replica.disk() };
                if let Some(outbound) = self.peers.get_mut(&ip) {
                    match event {
                        Event::Up if outbound.on_up(link) => outbound.send(&introduction),
                        Event::Down => {
                            outbound.on_down(now, link);
                        }
                        _ => {}
                    }
                }
                None
            }
            Some(Message::PeerAccepted(handle)) => {
                self.accepted.insert(handle.number, (handle, None));
                None
            }
            Some(Message::PeerInbound(link, Event::Received(Peer::Iam { ip, .. }))) => {
                if let Some(accepted) = self.accepted.get_mut(&link) {
                    accepted.1 = Some(ip);
                }
                if let Some(outbound) = self.peers.get_mut(&ip) {
                    outbound.on_peer_connected(now);
                }
                None
            }
            Some(Message::PeerInbound(link, Event::Received(peer))) => {
                let from = self.accepted.get(&link).and_then(|t| t.1);
                from.map(|ip| Input::Peer(ip, peer))
            }
            Some(Message::PeerInbound(link, Event::Down)) => {
                self.accepted.remove(&link);
                None
            }
            Some(Message::LocalAccepted(handle)) => {
                self.locals.insert(handle.number, handle);
                None
            }
            Some(Message::LocalInbound(link, Event::Received(message))) => Some(Input::Local(link, message)),
            Some(Message::LocalInbound(link, Event::Down)) => {
                self.locals.remove(&link);
                Some(Input::LocalDown(link))
            }
            Some(Message::PeerInbound(_, Event::Up) | Message::LocalInbound(_, Event::Up)) => None,
            Some(Message::Written(number)) => Some(Input::Written(number)),
            Some(Message::Signal(SignalEvent::Stop)) => Some(Input::Stop),
            Some(Message::Signal(SignalEvent::Settings(settings))) => {
                Some(Input::Settings { size: core_size(&settings), seeds: runtime::seeds(&settings) })
            }
        };
        if let Some(input) = input {
            self.replica.handle(now, input, &mut self.out);
            let status = self.replica.status();
            if status != self.logged_status {
                log::info!("{status}");
                self.logged_status = status;
                if let Some(why) = self.replica.unreadable() {
                    log::error!("{why}; start this store with the program version that the other stores run");
                    runtime::log_buffer::dump("the committed log cannot be decoded");
                }
            }
        }
        for output in std::mem::take(&mut self.out) {
            match output {
                Output::Peer(ip, peer) => {
                    let port = self.peers_port;
                    let outbound =
                        self.peers.entry(ip).or_insert_with(|| ReconnectingLink::new((ip, port).into()));
                    outbound.send(&peer);
                }
                Output::Local(link, message) => {
                    if let Some(handle) = self.locals.get(&link) {
                        handle.send(&message);
                    }
                }
                // The writer thread lives as long as the process, so the channel is open.
                Output::Write(write) => drop(self.writes.send(write)),
            }
        }
        let port = self.peers_port;
        for ip in self.replica.peers() {
            self.peers.entry(ip).or_insert_with(|| ReconnectingLink::new((ip, port).into()));
        }
        // Includes links to stores that are not members yet: a leader brings a new store up to date before it becomes one.
        for (ip, outbound) in &mut self.peers {
            let (ip, inbox) = (*ip, self.inbox.clone());
            outbound.maintain(now, ACK_TIMEOUT, move |link, event| {
                inbox.post(Message::PeerOutbound(ip, link, event))
            });
        }
        if self.replica.ends_at().is_some_and(|at| now >= at) {
            let _ = self.finished.send(());
        }
    }

    fn wake_at(&mut self) -> Micros {
        let links = self.peers.values().map(ReconnectingLink::wake_at).min().unwrap_or(Micros::MAX);
        self.replica.wake_at().min(links)
    }
}
