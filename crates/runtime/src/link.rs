//! Links between curlewfront's processes: frames of postcard on TCP, four bytes of length before each.
//!
//! A link is an actor with one coroutine. Nothing is sent again from here: a link that breaks loses what was on its
//! way, and who uses it begins anew.

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

/// What each side says first: who it is, and the form of all messages behind it. It is counted up with each change of a
/// message that an older program would misread.
const MAGIC: [u8; 3] = *b"cfl";
pub const FORM: u8 = 2;
const OPENING: [u8; 4] = [MAGIC[0], MAGIC[1], MAGIC[2], FORM];

/// The largest frame; and what may wait to be taken by the other side before the link is ended.
const MOST_FRAME: usize = 8 << 20;
const MOST_WAITING: usize = 16 << 20;
const BACKLOG: i32 = 256;

/// What was sent and not acknowledged for so long ends a link, by the usual measure.
pub const SILENCE: Duration = Duration::from_millis(1000);

enum Told {
    Send(Vec<u8>),
    End,
}

/// What becomes of a link, as its owner is told it.
pub enum Event<I> {
    Up,
    Got(I),
    /// It has ended; nothing more comes of it.
    Down,
}

/// An owner's end of a link.
pub struct Line {
    pub number: u64,
    inbox: Arc<Mailbox<Told>>,
}

impl Line {
    pub fn send<O: Serialize>(&self, message: &O) {
        match postcard::to_stdvec(message) {
            Ok(bytes) => self.inbox.post(Told::Send(bytes)),
            Err(e) => log::error!("a message cannot be written down: {e}"),
        }
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.inbox.post(Told::End);
    }
}

static NUMBERS: AtomicU64 = AtomicU64::new(1);

/// Links to `addr`; `told` is called on the coroutines' thread, with the link's number.
pub fn dial<I: DeserializeOwned>(
    addr: SocketAddr,
    silence: Duration,
    told: impl Fn(u64, Event<I>) + Send + 'static,
) -> io::Result<Line> {
    let io = socket::connect(addr, Some(silence))?;
    Ok(start(io, true, told))
}

/// Takes links on `addr`; `taken` gives for each the one that is told of it.
pub fn listen<I, T>(
    addr: SocketAddr,
    silence: Duration,
    taken: impl Fn(Line, SocketAddr) -> T + Send + 'static,
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
                    if let Err(e) = take(stream, from, silence, &taken) {
                        log::warn!("cannot take a link from {from}: {e}");
                    }
                }
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(e) => {
                    if e.kind() != ErrorKind::WouldBlock {
                        log::error!("cannot take links: {e}");
                    }
                    listener.wait();
                }
            }
        }
    });
    Ok(())
}

fn take<I, T>(
    stream: TcpStream,
    from: SocketAddr,
    silence: Duration,
    taken: &impl Fn(Line, SocketAddr) -> T,
) -> io::Result<()>
where
    I: DeserializeOwned,
    T: Fn(u64, Event<I>) + Send + 'static,
{
    stream.set_nonblocking(true)?;
    stream.set_nodelay(true)?;
    let socket = Socket::from(stream);
    socket.set_tcp_user_timeout(Some(silence))?;
    let io = Watched::new(TcpStream::from(socket))?;
    // The owner's end must exist before the link says anything: both begin with the same mailbox.
    let inbox = Arc::new(Mailbox::new(io.bell()));
    let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
    let told = taken(Line { number, inbox: inbox.clone() }, from);
    go(io, number, inbox, false, told);
    Ok(())
}

fn start<I: DeserializeOwned>(
    io: Watched<TcpStream>,
    dialing: bool,
    told: impl Fn(u64, Event<I>) + Send + 'static,
) -> Line {
    let inbox = Arc::new(Mailbox::new(io.bell()));
    let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
    go(io, number, inbox.clone(), dialing, told);
    Line { number, inbox }
}

fn go<I: DeserializeOwned>(
    io: Watched<TcpStream>,
    number: u64,
    inbox: Arc<Mailbox<Told>>,
    dialing: bool,
    told: impl Fn(u64, Event<I>) + Send + 'static,
) {
    let (incoming, mut outgoing) = (Ring::default(), Outgoing::default());
    outgoing.push(&OPENING);
    let mut link = Link { io, inbox, dialing, opened: false, incoming, outgoing };
    may::go!(move || {
        if !dialing {
            told(number, Event::Up);
        }
        if let Err(why) = link.run(&|event| told(number, event)) {
            match why.contains(OTHER_FORM) {
                true => log::error!("link {number}: {why}"),
                false => log::info!("link {number}: {why}"),
            }
        }
        told(number, Event::Down);
    });
}

struct Link {
    io: Watched<TcpStream>,
    inbox: Arc<Mailbox<Told>>,
    dialing: bool,
    /// What the other side says first has come.
    opened: bool,
    incoming: Ring,
    outgoing: Outgoing,
}

impl Link {
    /// Carries frames until the link ends; Ok: because its owner wants no more of it.
    fn run<I: DeserializeOwned>(&mut self, told: &impl Fn(Event<I>)) -> Result<(), String> {
        let mut seen = if self.dialing { 0 } else { events::READABLE };
        loop {
            while let Some(message) = self.inbox.pop() {
                match message {
                    Told::Send(bytes) => {
                        self.outgoing.push(&(bytes.len() as u32).to_be_bytes());
                        self.outgoing.push(&bytes);
                    }
                    Told::End => {
                        let _ = self.outgoing.flush(self.io.inner());
                        return Ok(());
                    }
                }
            }
            if self.outgoing.len() > MOST_WAITING {
                return Err("the other side does not take what is sent".into());
            }
            if self.dialing {
                if let Some(e) = self.io.inner().take_error().map_err(|e| e.to_string())? {
                    return Err(e.to_string());
                }
                if seen & events::ENDED != 0 {
                    return Err("not taken".into());
                }
                if seen & events::WRITABLE != 0 {
                    self.dialing = false;
                    told(Event::Up);
                }
            }
            if !self.dialing {
                if seen & (events::READABLE | events::ENDED) != 0 {
                    self.read(told)?;
                }
                self.outgoing.flush(self.io.inner()).map_err(|e| e.to_string())?;
            }
            seen = self.io.wait();
        }
    }

    fn read<I: DeserializeOwned>(&mut self, told: &impl Fn(Event<I>)) -> Result<(), String> {
        loop {
            let mut socket = self.io.inner();
            match self.incoming.fill(MOST_FRAME + 4, |room| socket.read(room)) {
                Ok(None) => return Err("a frame without end".into()),
                Ok(Some(filled)) if filled.bytes == 0 => return Err("ended by the other side".into()),
                Ok(Some(_)) => self.digest(told)?,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e.to_string()),
            }
        }
    }

    fn digest<I: DeserializeOwned>(&mut self, told: &impl Fn(Event<I>)) -> Result<(), String> {
        loop {
            let bytes = self.incoming.bytes();
            let Some(length) = bytes.first_chunk::<4>() else { return Ok(()) };
            if !self.opened {
                opens(*length)?;
                self.opened = true;
                self.incoming.consume(4);
                continue;
            }
            let length = u32::from_be_bytes(*length) as usize;
            if length > MOST_FRAME {
                return Err(format!("a frame of {length} bytes"));
            }
            let Some(frame) = bytes.get(4..4 + length) else { return Ok(()) };
            let message = postcard::from_bytes(frame).map_err(|e| format!("a frame that is none: {e}"))?;
            self.incoming.consume(4 + length);
            told(Event::Got(message));
        }
    }
}

const OTHER_FORM: &str = "speaks form";

/// Whether the other side speaks as this one does.
pub fn opens(said: [u8; 4]) -> Result<(), String> {
    match said {
        OPENING => Ok(()),
        [a, b, c, form] if [a, b, c] == MAGIC => Err(format!(
            "the other side {OTHER_FORM} {form}, this program form {FORM}: run one program everywhere"
        )),
        _ => Err(format!(
            "the other side {OTHER_FORM} 1 or is no program of curlewfront, this program form {FORM}"
        )),
    }
}

/// How long until a link that broke is tried again.
const AGAIN_US: Micros = 200_000;

/// When a link is to be opened, and whether it is up.
#[derive(Default)]
pub struct Attempts {
    open: bool,
    up: bool,
    again_at: Micros,
}

impl Attempts {
    /// Whether it is to be opened now.
    pub fn due(&mut self, now: Micros) -> bool {
        let due = !self.open && now >= self.again_at;
        if due {
            self.again_at = now + AGAIN_US;
        }
        due
    }

    pub fn opened(&mut self) {
        self.open = true;
    }

    pub fn rose(&mut self) {
        self.up = true;
    }

    pub fn fell(&mut self, now: Micros) {
        (self.open, self.up, self.again_at) = (false, false, now + AGAIN_US);
    }

    /// The other side has linked to here, so it is there: whether what was sent before may have gone to a machine
    /// that was dark, and be waited for in vain.
    pub fn called(&mut self, now: Micros) -> bool {
        let vain = !self.up;
        if vain {
            (self.open, self.again_at) = (false, now);
        }
        vain
    }

    /// When it wants to be tended.
    pub fn wake_at(&self) -> Micros {
        if self.open { Micros::MAX } else { self.again_at }
    }
}

/// A link that is opened again whenever it breaks.
pub struct Tie {
    addr: SocketAddr,
    line: Option<Line>,
    attempts: Attempts,
}

impl Tie {
    pub fn new(addr: SocketAddr) -> Tie {
        Tie { addr, line: None, attempts: Attempts::default() }
    }

    /// Opens it, if it is not open and the time has come.
    pub fn tend<I: DeserializeOwned>(
        &mut self,
        now: Micros,
        silence: Duration,
        told: impl Fn(u64, Event<I>) + Send + 'static,
    ) {
        if !self.attempts.due(now) {
            return;
        }
        match dial(self.addr, silence, told) {
            Ok(line) => {
                self.line = Some(line);
                self.attempts.opened();
            }
            Err(e) => log::info!("cannot link to {}: {e}", self.addr),
        }
    }

    fn is(&self, link: u64) -> bool {
        self.line.as_ref().is_some_and(|l| l.number == link)
    }

    /// The link of this number is up: whether it is still the one that is wanted.
    pub fn rose(&mut self, link: u64) -> bool {
        let mine = self.is(link);
        if mine {
            self.attempts.rose();
        }
        mine
    }

    /// The link of this number has ended: whether it was the one in use.
    pub fn fell(&mut self, now: Micros, link: u64) -> bool {
        let mine = self.is(link);
        if mine {
            self.line = None;
            self.attempts.fell(now);
        }
        mine
    }

    /// The other side has linked to here.
    pub fn called(&mut self, now: Micros) {
        if self.attempts.called(now) {
            self.line = None;
        }
    }

    /// What comes by this link counts.
    pub fn holds(&self, link: u64) -> bool {
        self.attempts.up && self.is(link)
    }

    /// Sent if the link is up; else it is lost, as it might be under way.
    pub fn send<O: Serialize>(&self, message: &O) {
        if let Some(line) = self.line.as_ref().filter(|_| self.attempts.up) {
            line.send(message);
        }
    }

    /// When it wants to be tended.
    pub fn wake_at(&self) -> Micros {
        self.attempts.wake_at()
    }
}
