//! Connections that a client keeps for its next requests, until the process at the other end closes them or is gone.

use super::log::lock;
use crate::http::Conn;
use simulator::Micros;
use simulator::record::Host;
use std::net::SocketAddr;
use std::sync::Mutex;

/// A client keeps so many at the most; the longest unused goes first.
const MOST_KEPT: usize = 3;
/// Connections rest no longer than this part of the time that the configuration lets them, in hundredths.
const RESTS: Micros = 80;

/// A connection to one life of a proxy.
pub struct Connection {
    pub address: SocketAddr,
    pub host: Host,
    pub life: u64,
    /// It has carried a request before.
    pub used: bool,
    pub conn: Conn,
    rested_since: Micros,
}

impl Connection {
    pub fn new(address: SocketAddr, host: Host, life: u64, conn: Conn) -> Connection {
        Connection { address, host, life, used: false, conn, rested_since: 0 }
    }

    /// Neither closed by the other side nor left with bytes that nobody asked for.
    fn is_open(&self) -> bool {
        let mut byte = [0];
        let read = self.conn.stream.try_read(&mut byte);
        let quiet = read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        quiet && self.conn.pending() == 0
    }
}

#[derive(Default)]
pub struct Kept {
    connections: Mutex<Vec<Connection>>,
}

impl Kept {
    /// One that can be used, if there is any.
    pub fn take(&self, now: Micros, idle_limit: Micros) -> Option<Connection> {
        let mut connections = lock(&self.connections);
        while let Some(connection) = connections.pop() {
            let rested = now.saturating_sub(connection.rested_since);
            if rested < idle_limit * RESTS / 100 && connection.is_open() {
                return Some(connection);
            }
        }
        None
    }

    pub fn put(&self, now: Micros, mut connection: Connection) {
        (connection.used, connection.rested_since) = (true, now);
        let mut connections = lock(&self.connections);
        connections.insert(0, connection);
        connections.truncate(MOST_KEPT);
    }
}
