//! Datagrams between curlewfront's processes, each with one message in postcard encoding. Any of them may be lost.

use net::socket::Watched;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};

/// The largest datagram.
const MAX_BYTES: usize = 512;

pub struct Datagrams {
    socket: UdpSocket,
    port: u16,
}

/// Receives datagrams on `addr` and calls `on_message` on the coroutines' thread. What cannot be decoded is ignored.
pub fn open<I: DeserializeOwned>(
    addr: SocketAddr,
    on_message: impl Fn(Ipv4Addr, I) + Send + 'static,
) -> io::Result<Datagrams> {
    let socket = UdpSocket::bind(addr)?;
    socket.set_nonblocking(true)?;
    let port = addr.port();
    let sender = Datagrams { socket: socket.try_clone()?, port };
    let io = Watched::new(socket)?;
    may::go!(move || {
        let mut bytes = [0; MAX_BYTES];
        loop {
            match io.inner().recv_from(&mut bytes) {
                Ok((n, SocketAddr::V4(from))) if from.port() == port => {
                    if let Ok(message) = postcard::from_bytes(&bytes[..n]) {
                        on_message(*from.ip(), message);
                    }
                }
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    io.wait();
                }
                // For example the report that an earlier datagram reached no listener; that is the other side's
                // problem.
                Err(_) => {}
            }
        }
    });
    Ok(sender)
}

impl Datagrams {
    /// Sends to the same port of another machine.
    pub fn send<O: Serialize>(&self, to: Ipv4Addr, message: &O) {
        let mut bytes = [0; MAX_BYTES];
        match postcard::to_slice(message, &mut bytes) {
            // A datagram that cannot be sent counts as lost.
            Ok(bytes) => drop(self.socket.send_to(bytes, SocketAddrV4::new(to, self.port))),
            Err(e) => log::error!("cannot encode a message: {e}"),
        }
    }
}
