//! The pools of connections to the listed servers, and which of them carries each attempt.

use net::Micros;
use net::pool::{Job, Peer, Settings, Wire};
use net::resources::Resources;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Request id and attempt number.
type AttemptKey = (u64, u32);

/// The pools of all listed servers, by the servers' numbers.
pub struct ServerPools<W: Wire> {
    resources: Arc<Resources>,
    wire: Arc<W>,
    settings: Settings,
    listed: HashMap<u64, Peer<W>>,
    /// The pool of each attempt in flight. Its server may have left the list since; the attempt must still be given up
    /// when its client leaves or its time is over.
    carriers: HashMap<AttemptKey, Peer<W>>,
}

impl<W: Wire> ServerPools<W> {
    pub fn new(resources: Arc<Resources>, wire: Arc<W>, settings: Settings) -> ServerPools<W> {
        ServerPools { resources, wire, settings, listed: HashMap::new(), carriers: HashMap::new() }
    }

    /// A server is new or has changed. `up`: it may get new requests.
    pub fn update(&mut self, server: u64, addr: SocketAddr, up: bool) {
        let start = || Peer::start(addr, self.resources.clone(), self.wire.clone(), self.settings.clone());
        self.listed.entry(server).or_insert_with(start).update(addr, up);
    }

    /// A server has left the list. Attempts that it works on go on.
    pub fn remove(&mut self, server: u64) {
        if let Some(peer) = self.listed.remove(&server) {
            peer.remove();
        }
    }

    /// Sends an attempt. Returns false if the server is not listed; no outcome is reported then.
    pub fn send(&mut self, server: u64, job: Job<W::Note>) -> bool {
        let Some(peer) = self.listed.get(&server) else { return false };
        let key = (job.id, job.attempt);
        let sent = peer.send(job);
        if sent {
            self.carriers.insert(key, peer.clone());
        }
        sent
    }

    /// The outcome of an attempt has been reported.
    pub fn ended(&mut self, id: u64, attempt: u32) {
        self.carriers.remove(&(id, attempt));
    }

    /// Closes the connection of an attempt, whose outcome is not reported. `timed_out_sent_at`: when the attempt was
    /// sent, if it has timed out.
    pub fn give_up(&mut self, id: u64, attempt: u32, timed_out_sent_at: Option<Micros>) {
        if let Some(peer) = self.carriers.remove(&(id, attempt)) {
            peer.give_up(id, attempt, timed_out_sent_at);
        }
    }

    /// The number of attempts whose outcome is awaited.
    pub fn in_flight(&self) -> usize {
        self.carriers.len()
    }
}
