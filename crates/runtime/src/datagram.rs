//! Datagrams between curlewfront's processes, one message of postcard each. Any may be lost.

use net::socket::Watched;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};

const MOST: usize = 512;

pub struct Datagrams {
    socket: UdpSocket,
    port: u16,
}

/// Takes datagrams on `addr`; `told` is called on the coroutines' thread. What cannot be read is passed over.
pub fn open<I: DeserializeOwned>(
    addr: SocketAddr,
    told: impl Fn(Ipv4Addr, I) + Send + 'static,
) -> io::Result<Datagrams> {
    let socket = UdpSocket::bind(addr)?;
    socket.set_nonblocking(true)?;
    let port = addr.port();
    let sends = Datagrams { socket: socket.try_clone()?, port };
    let io = Watched::new(socket)?;
    may::go!(move || {
        let mut bytes = [0; MOST];
        loop {
            match io.inner().recv_from(&mut bytes) {
                Ok((n, SocketAddr::V4(from))) if from.port() == port => {
                    if let Ok(message) = postcard::from_bytes(&bytes[..n]) {
                        told(*from.ip(), message);
                    }
                }
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    io.wait();
                }
                // Such as one that was sent from here and found nobody: the other side's matter.
                Err(_) => {}
            }
        }
    });
    Ok(sends)
}

impl Datagrams {
    /// To the same port elsewhere.
    pub fn send<O: Serialize>(&self, to: Ipv4Addr, message: &O) {
        let mut bytes = [0; MOST];
        match postcard::to_slice(message, &mut bytes) {
            // One that does not go out is one that is lost.
            Ok(bytes) => drop(self.socket.send_to(bytes, SocketAddrV4::new(to, self.port))),
            Err(e) => log::error!("a message cannot be written down: {e}"),
        }
    }
}
