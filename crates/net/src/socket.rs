//! Non-blocking sockets for coroutines.

use crate::mailbox::Waker;
use may::io::{CoIo, WaitIo};
use socket2::TcpKeepalive;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::time::Duration;

/// A descriptor that the event loop watches. One coroutine waits on it, and wakers wake that coroutine.
///
/// The library's own `CoIo` closes its descriptor first and then stops watching it by its number. If another thread
/// opens and watches a descriptor in between, it gets the same number, so the event loop stops watching the new
/// descriptor and its coroutine never gets an event. Here the watch ends before the descriptor is closed.
pub struct Watched<T> {
    // Fields are dropped in this order.
    watch: CoIo<RawDescriptor>,
    inner: T,
}

/// The number of a descriptor that is owned elsewhere.
struct RawDescriptor(RawFd);

impl AsRawFd for RawDescriptor {
    fn as_raw_fd(&self) -> RawFd {
        self.0
    }
}

impl<T: AsRawFd> Watched<T> {
    /// Registers the descriptor with the event loop and makes it non-blocking.
    pub fn new(inner: T) -> io::Result<Watched<T>> {
        let watch = CoIo::new(RawDescriptor(inner.as_raw_fd())).map_err(io::Error::from)?;
        Ok(Watched { watch, inner })
    }
}

impl<T> Watched<T> {
    pub fn inner(&self) -> &T {
        &self.inner
    }

    /// Waits for an event or a call of the waker, and returns the events since the last wait (see [`events`]). It may
    /// return without any. Events are edge-triggered: the caller must read or write until the socket would block.
    pub fn wait(&self) -> usize {
        self.watch.wait_io()
    }

    pub fn waker(&self) -> Waker {
        Waker::of(&self.watch)
    }
}

/// The byte stream of a connection: a socket, or a simulated pipe in model tests.
pub trait Stream {
    fn socket(&self) -> impl Read + Write;

    fn shutdown(&self, how: Shutdown) -> io::Result<()>;
}

impl Stream for Watched<TcpStream> {
    fn socket(&self) -> impl Read + Write {
        self.inner()
    }

    fn shutdown(&self, how: Shutdown) -> io::Result<()> {
        self.inner().shutdown(how)
    }
}

/// How long nothing comes before a peer is probed, and the time between probes: whole seconds, as TCP has it.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Begins to connect. If data that was sent, or probes of a silent peer, stay unacknowledged for `user_timeout`
/// (`TCP_USER_TIMEOUT`), the connection fails: a machine that has vanished sends no reset.
pub fn connect(addr: SocketAddr, user_timeout: Option<Duration>) -> io::Result<Watched<TcpStream>> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(addr), socket2::Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    if user_timeout.is_some() {
        socket.set_tcp_user_timeout(user_timeout)?;
        let probes = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
        socket.set_tcp_keepalive(&probes)?;
    }
    match socket.connect(&addr.into()) {
        Ok(()) => {}
        Err(e) if e.raw_os_error() == Some(nix::errno::Errno::EINPROGRESS as i32) => {}
        Err(e) => return Err(e),
    }
    // Watched only after the call: before it, the event loop would report the unconnected socket as hung up.
    Watched::new(TcpStream::from(socket))
}

/// Bits of the events that [`Watched::wait`] returns.
pub mod events {
    pub const READABLE: usize = 0x1;
    pub const WRITABLE: usize = 0x4;
    pub const ERROR: usize = 0x8;
    pub const HANG_UP: usize = 0x10;
    /// The peer has shut down its sending side.
    pub const READ_END: usize = 0x2000;
    /// Any event that says that the connection, or the peer's side of it, has ended.
    pub const ENDED: usize = ERROR | HANG_UP | READ_END;
}
