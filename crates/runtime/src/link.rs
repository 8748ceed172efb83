//! Links between curlewfront's processes: messages in postcard encoding over TCP, each in a frame with four bytes of
//! length before it.
//!
//! A link is an actor with one coroutine. It never sends anything again: a link that breaks loses what was in transit,
//! and its user starts afresh on a new one.

use crate::link_limits::{LinkLimits, LinkPermit};
use net::Micros;
use net::mailbox::Mailbox;
use net::ring::{Outgoing, Ring};
use net::socket::{self, Watched, events};
use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::{Domain, Socket, Type};
use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Each side first sends these bytes and the version of the messages that follow. The version is raised with each
/// change of a message that an older program would misread.
const MAGIC: [u8; 3] = *b"cfl";
pub const PROTOCOL_VERSION: u8 = 2;
const OPENING: [u8; 4] = [MAGIC[0], MAGIC[1], MAGIC[2], PROTOCOL_VERSION];

/// The largest frame.
const MAX_FRAME_BYTES: usize = 8 << 20;
/// What there is memory for on accepted links in any case: two of the largest frames.
pub const MIN_FRAME_MEMORY_BYTES: usize = 2 * MAX_FRAME_BYTES;
/// The most that may be queued for the other side before the link is closed.
const MAX_QUEUED_BYTES: usize = 16 << 20;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 256;

/// The usual time after which a link is closed if data that was sent has not been acknowledged (`TCP_USER_TIMEOUT`).
pub const ACK_TIMEOUT: Duration = Duration::from_millis(1000);

/// What a link is told by its owner.
enum Command {
    Send(Vec<u8>),
    Close,
}

/// What a link tells its owner.
pub enum Event<I> {
    Up,
    Received(I),
    /// The link has closed; no further events follow.
    Down,
}

/// An owner's end of a link. Dropping it closes the link.
pub struct LinkHandle {
    pub number: u64,
    inbox: Arc<Mailbox<Command>>,
}

impl LinkHandle {
    pub fn send<O: Serialize>(&self, message: &O) {
        match postcard::to_stdvec(message) {
            Ok(bytes) => self.inbox.post(Command::Send(bytes)),
            Err(e) => log::error!("cannot encode a message: {e}"),
        }
    }
}

impl Drop for LinkHandle {
    fn drop(&mut self) {
        self.inbox.post(Command::Close);
    }
}

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Opens a link to `addr`; `on_event` is called on the coroutines' thread, with the link's number.
pub fn dial<I: DeserializeOwned>(
    addr: SocketAddr,
    ack_timeout: Duration,
    on_event: impl Fn(u64, Event<I>) + Send + 'static,
) -> io::Result<LinkHandle> {
    let io = socket::connect(addr, Some(ack_timeout))?;
    Ok(start(io, on_event))
}

/// Accepts links on `addr`, as far as `limits` allow; for each, `on_accept` returns the callback for its events.
pub fn listen<I, T>(
    addr: SocketAddr,
    ack_timeout: Duration,
    limits: Arc<LinkLimits>,
    on_accept: impl Fn(LinkHandle, SocketAddr) -> T + Send + 'static,
) -> io::Result<()>
where
    I: DeserializeOwned,
    T: Fn(u64, Event<I>) + Send + 'static,
{
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    let listener = Watched::new(TcpListener::from(socket))?;
    may::go!(move || {
        loop {
            match listener.inner().accept() {
                Ok((stream, from)) => {
                    // A link that is refused is closed; its other side tries again.
                    let Some(permit) = limits.accept() else { continue };
                    if let Err(e) = accept(stream, from, ack_timeout, permit, &on_accept) {
                        log::warn!("cannot accept a link from {from}: {e}");
                    }
                }
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(e) => {
                    if e.kind() != ErrorKind::WouldBlock {
                        log::error!("cannot accept links: {e}");
                    }
                    listener.wait();
                }
            }
        }
    });
    Ok(())
}

fn accept<I, T>(
    stream: TcpStream,
    from: SocketAddr,
    ack_timeout: Duration,
    permit: LinkPermit,
    on_accept: &impl Fn(LinkHandle, SocketAddr) -> T,
) -> io::Result<()>
where
    I: DeserializeOwned,
    T: Fn(u64, Event<I>) + Send + 'static,
{
    stream.set_nonblocking(true)?;
    stream.set_nodelay(true)?;
    let socket = Socket::from(stream);
    socket.set_tcp_user_timeout(Some(ack_timeout))?;
    let io = Watched::new(TcpStream::from(socket))?;
    // The owner must have its end before the link reports anything, so both start with the same mailbox.
    let inbox = Arc::new(Mailbox::new(io.waker()));
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let on_event = on_accept(LinkHandle { number, inbox: inbox.clone() }, from);
    spawn(io, number, inbox, Some(permit), on_event);
    Ok(())
}

fn start<I: DeserializeOwned>(
    io: Watched<TcpStream>,
    on_event: impl Fn(u64, Event<I>) + Send + 'static,
) -> LinkHandle {
    let inbox = Arc::new(Mailbox::new(io.waker()));
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    spawn(io, number, inbox.clone(), None, on_event);
    LinkHandle { number, inbox }
}

/// `permit`: of an accepted link; None: the link is being opened from here.
fn spawn<I: DeserializeOwned>(
    io: Watched<TcpStream>,
    number: u64,
    inbox: Arc<Mailbox<Command>>,
    permit: Option<LinkPermit>,
    on_event: impl Fn(u64, Event<I>) + Send + 'static,
) {
    let (incoming, mut outgoing) = (Ring::default(), Outgoing::default());
    outgoing.push(&OPENING);
    if let Some(permit) = &permit {
        let waked = inbox.clone();
        permit.wake_when_opening_is_due(move || waked.wake());
    }
    let dialing = permit.is_none();
    let mut link = Link { io, inbox, dialing, opening_checked: false, incoming, outgoing, permit };
    may::go!(move || {
        if !dialing {
            on_event(number, Event::Up);
        }
        if let Err(why) = link.run(&|event| on_event(number, event)) {
            match why.contains(OTHER_VERSION) {
                true => log::error!("link {number}: {why}"),
                false => log::info!("link {number}: {why}"),
            }
        }
        on_event(number, Event::Down);
    });
}

struct Link {
    io: Watched<TcpStream>,
    inbox: Arc<Mailbox<Command>>,
    dialing: bool,
    /// The other side's opening has arrived and is accepted.
    opening_checked: bool,
    incoming: Ring,
    outgoing: Outgoing,
    /// None: it was opened from here.
    permit: Option<LinkPermit>,
}

impl Link {
    /// Carries frames until the link closes. Ok: its owner has closed it.
    fn run<I: DeserializeOwned>(&mut self, on_event: &impl Fn(Event<I>)) -> Result<(), String> {
        let mut ready_events = if self.dialing { 0 } else { events::READABLE };
        loop {
            while let Some(message) = self.inbox.pop() {
                match message {
                    Command::Send(bytes) => {
                        self.outgoing.push(&(bytes.len() as u32).to_be_bytes());
                        self.outgoing.push(&bytes);
                    }
                    Command::Close => {
                        let _ = self.outgoing.flush(self.io.inner());
                        return Ok(());
                    }
                }
            }
            if self.outgoing.len() > MAX_QUEUED_BYTES {
                return Err("the other side does not read what is sent".into());
            }
            if self.dialing {
                if let Some(e) = self.io.inner().take_error().map_err(|e| e.to_string())? {
                    return Err(e.to_string());
                }
                if ready_events & events::ENDED != 0 {
                    return Err("the connection attempt failed".into());
                }
                if ready_events & events::WRITABLE != 0 {
                    self.dialing = false;
                    on_event(Event::Up);
                }
            }
            if !self.dialing {
                if ready_events & (events::READABLE | events::ENDED) != 0 {
                    self.read(on_event)?;
                }
                self.outgoing.flush(self.io.inner()).map_err(|e| e.to_string())?;
            }
            self.check_limits()?;
            ready_events = self.io.wait();
        }
    }

    fn check_limits(&mut self) -> Result<(), String> {
        let (bytes, opening_checked) = (self.incoming.capacity(), self.opening_checked);
        self.permit.as_mut().map_or(Ok(()), |permit| permit.check(bytes, opening_checked))
    }

    fn read<I: DeserializeOwned>(&mut self, on_event: &impl Fn(Event<I>)) -> Result<(), String> {
        loop {
            let mut socket = self.io.inner();
            match self.incoming.fill(MAX_FRAME_BYTES + 4, |room| socket.read(room)) {
                Ok(None) => return Err("a frame larger than the buffer".into()),
                Ok(Some(filled)) if filled.bytes == 0 => return Err("closed by the other side".into()),
                Ok(Some(_)) => {
                    self.process_frames(on_event)?;
                    self.check_limits()?;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e.to_string()),
            }
        }
    }

    fn process_frames<I: DeserializeOwned>(&mut self, on_event: &impl Fn(Event<I>)) -> Result<(), String> {
        loop {
            let bytes = self.incoming.bytes();
            let Some(length) = bytes.first_chunk::<4>() else { return Ok(()) };
            if !self.opening_checked {
                check_opening(*length)?;
                self.opening_checked = true;
                self.incoming.consume(4);
                continue;
            }
            let length = u32::from_be_bytes(*length) as usize;
            if length > MAX_FRAME_BYTES {
                return Err(format!("a frame of {length} bytes is too large"));
            }
            let Some(frame) = bytes.get(4..4 + length) else { return Ok(()) };
            let message = postcard::from_bytes(frame).map_err(|e| format!("a malformed frame: {e}"))?;
            self.incoming.consume(4 + length);
            on_event(Event::Received(message));
        }
    }
}

/// Marks the errors that say that the other side runs another version.
const OTHER_VERSION: &str = "speaks protocol version";

/// Checks that the other side sends messages of the same version.
pub fn check_opening(opening: [u8; 4]) -> Result<(), String> {
    match opening {
        OPENING => Ok(()),
        [a, b, c, version] if [a, b, c] == MAGIC => Err(format!(
            "the other side {OTHER_VERSION} {version}, this program version {PROTOCOL_VERSION}: \
             run the same release everywhere"
        )),
        _ => Err(format!(
            "the other side {OTHER_VERSION} 1 or is no program of curlewfront, \
             this program version {PROTOCOL_VERSION}"
        )),
    }
}

/// The delay before a link that broke is opened again.
const RECONNECT_DELAY_US: Micros = 200_000;

/// Tracks when a link is to be opened, and whether it is up.
#[derive(Default)]
pub struct ReconnectState {
    /// An attempt has begun, or the link is up.
    open: bool,
    up: bool,
    retry_at: Micros,
}

impl ReconnectState {
    /// Whether the link is to be opened now.
    pub fn due(&mut self, now: Micros) -> bool {
        let due = !self.open && now >= self.retry_at;
        if due {
            self.retry_at = now + RECONNECT_DELAY_US;
        }
        due
    }

    /// An attempt to open the link has begun.
    pub fn on_dialed(&mut self) {
        self.open = true;
    }

    pub fn on_up(&mut self) {
        self.up = true;
    }

    pub fn on_down(&mut self, now: Micros) {
        (self.open, self.up, self.retry_at) = (false, false, now + RECONNECT_DELAY_US);
    }

    /// The other side has opened a link to here, so it is running. True: an attempt that is pending may have been sent
    /// while that machine was down and wait in vain, so it is to be abandoned and begun again.
    pub fn on_peer_connected(&mut self, now: Micros) -> bool {
        let abandon = !self.up;
        if abandon {
            (self.open, self.retry_at) = (false, now);
        }
        abandon
    }

    /// When `due` is to be asked again.
    pub fn wake_at(&self) -> Micros {
        if self.open { Micros::MAX } else { self.retry_at }
    }
}

/// A link that is opened again whenever it breaks.
pub struct ReconnectingLink {
    addr: SocketAddr,
    handle: Option<LinkHandle>,
    state: ReconnectState,
}

impl ReconnectingLink {
    pub fn new(addr: SocketAddr) -> ReconnectingLink {
        ReconnectingLink { addr, handle: None, state: ReconnectState::default() }
    }

    /// Opens the link if it is not open and an attempt is due.
    pub fn maintain<I: DeserializeOwned>(
        &mut self,
        now: Micros,
        ack_timeout: Duration,
        on_event: impl Fn(u64, Event<I>) + Send + 'static,
    ) {
        if !self.state.due(now) {
            return;
        }
        match dial(self.addr, ack_timeout, on_event) {
            Ok(handle) => {
                self.handle = Some(handle);
                self.state.on_dialed();
            }
            Err(e) => log::info!("cannot connect to {}: {e}", self.addr),
        }
    }

    fn is_current(&self, link: u64) -> bool {
        self.handle.as_ref().is_some_and(|h| h.number == link)
    }

    /// The link of this number is up. False: it is not the current one.
    pub fn on_up(&mut self, link: u64) -> bool {
        let current = self.is_current(link);
        if current {
            self.state.on_up();
        }
        current
    }

    /// The link of this number has closed. False: it is not the current one.
    pub fn on_down(&mut self, now: Micros, link: u64) -> bool {
        let current = self.is_current(link);
        if current {
            self.handle = None;
            self.state.on_down(now);
        }
        current
    }

    /// The other side has opened a link to here.
    pub fn on_peer_connected(&mut self, now: Micros) {
        if self.state.on_peer_connected(now) {
            self.handle = None;
        }
    }

    /// Whether the link of this number is the current one and is up, so that its messages count.
    pub fn is_up(&self, link: u64) -> bool {
        self.state.up && self.is_current(link)
    }

    /// Sends the message if the link is up; otherwise it is lost, as it might be in transit.
    pub fn send<O: Serialize>(&self, message: &O) {
        if let Some(handle) = self.handle.as_ref().filter(|_| self.state.up) {
            handle.send(message);
        }
    }

    /// When `maintain` is to be called again.
    pub fn wake_at(&self) -> Micros {
        self.state.wake_at()
    }
}
