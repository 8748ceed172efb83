//! Sockets as the coroutines use them.

use crate::mailbox::Bell;
use may::io::{CoIo, WaitIo};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::time::Duration;

/// A descriptor that the event loop watches: one coroutine waits on it, bells wake that one.
///
/// The library's own `CoIo` closes its descriptor first and stops watching it afterwards, by its number. Another
/// thread that opens one in between gets the same number, and what it watches is watched no more: it never
/// hears of anything. Here the watch ends while the descriptor is still held, so its number is nobody else's.
pub struct Watched<T> {
    // Fields are dropped in this order.
    watch: CoIo<Number>,
    inner: T,
}

/// Of a descriptor that is held elsewhere.
struct Number(RawFd);

impl AsRawFd for Number {
    fn as_raw_fd(&self) -> RawFd {
        self.0
    }
}

impl<T: AsRawFd> Watched<T> {
    /// Watches it from here on; it does not block from here on.
    pub fn new(inner: T) -> io::Result<Watched<T>> {
        let watch = CoIo::new(Number(inner.as_raw_fd())).map_err(io::Error::from)?;
        Ok(Watched { watch, inner })
    }
}

impl<T> Watched<T> {
    pub fn inner(&self) -> &T {
        &self.inner
    }

    /// Waits for an event or a ring, and takes all that came since the last wait; it may wake for nothing. Events
    /// come once: who is woken reads or writes up to the end.
    pub fn wait(&self) -> usize {
        self.watch.wait_io()
    }

    pub fn bell(&self) -> Bell {
        Bell::of(&self.watch)
    }
}

/// What a connection is read from and written to. Not a socket where a model drives it.
pub trait Stream {
    fn socket(&self) -> impl Read + Write;

    fn end(&self, how: Shutdown) -> io::Result<()>;
}

impl Stream for Watched<TcpStream> {
    fn socket(&self) -> impl Read + Write {
        self.inner()
    }

    fn end(&self, how: Shutdown) -> io::Result<()> {
        self.inner().shutdown(how)
    }
}

/// Begins to connect. What is sent and not acknowledged for `silence` ends the connection: a machine that is
/// gone says nothing.
pub fn connect(addr: SocketAddr, silence: Option<Duration>) -> io::Result<Watched<TcpStream>> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(addr), socket2::Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    if silence.is_some() {
        socket.set_tcp_user_timeout(silence)?;
    }
    match socket.connect(&addr.into()) {
        Ok(()) => {}
        Err(e) if e.raw_os_error() == Some(nix::errno::Errno::EINPROGRESS as i32) => {}
        Err(e) => return Err(e),
    }
    // Watched only from here on: before the call an idle socket reads as hung up.
    Watched::new(TcpStream::from(socket))
}

/// Events of a descriptor, as the event loop tells them.
pub mod events {
    pub const READABLE: usize = 0x1;
    pub const WRITABLE: usize = 0x4;
    pub const ERROR: usize = 0x8;
    pub const HANG_UP: usize = 0x10;
    pub const READ_END: usize = 0x2000;
    pub const ENDED: usize = ERROR | HANG_UP | READ_END;
}
