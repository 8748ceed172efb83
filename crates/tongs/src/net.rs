//! Sockets as the coroutines use them.

use may::io::CoIo;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// What a connection is read from and written to. Not a socket where a model drives it.
pub trait Stream {
    fn socket(&self) -> impl Read + Write;

    fn end(&self, how: Shutdown) -> io::Result<()>;
}

impl Stream for CoIo<TcpStream> {
    fn socket(&self) -> impl Read + Write {
        self.inner()
    }

    fn end(&self, how: Shutdown) -> io::Result<()> {
        self.inner().shutdown(how)
    }
}

/// Begins to connect. What is sent and not acknowledged for `silence` ends the connection: a machine that is
/// gone says nothing.
pub fn connect(addr: SocketAddr, silence: Option<Duration>) -> io::Result<CoIo<TcpStream>> {
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
    CoIo::new(TcpStream::from(socket)).map_err(io::Error::from)
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
