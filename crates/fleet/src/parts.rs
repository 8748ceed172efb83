//! A snapshot sent in parts over links that break: the voter that needs it asks for the parts, one window at a time,
//! and goes on where it was when a link is back. A whole one in a single frame would never come through a link that
//! breaks more often than the frame takes. No I/O.

use crate::Micros;
use crate::mirror::PeerMessage;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bytes of a part, and parts that may be under way at once: what a voter holds for one follower in its queue.
pub const PART: usize = 64 << 10;
const WINDOW: u64 = 4;
/// A part that did not come is asked for again after this long; an offer nobody asks for is dropped after this long.
const AGAIN_US: Micros = 200_000;
const MOST_IDLE_US: Micros = 60_000_000;

/// What crosses the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Piece {
    /// A snapshot is there for the taking: the message that carries it, without its data.
    Offer {
        number: u64,
        message: Box<PeerMessage>,
        length: u64,
        sum: u32,
    },
    Ask {
        number: u64,
        offset: u64,
    },
    Part {
        number: u64,
        offset: u64,
        bytes: Vec<u8>,
    },
    /// All is there, or will not be.
    Done {
        number: u64,
        whole: bool,
    },
}

/// At the voter that has it: offers by number.
#[derive(Debug, Default)]
pub struct Offers {
    next: u64,
    open: BTreeMap<u64, Offer>,
}

#[derive(Debug)]
struct Offer {
    to: u64,
    data: Vec<u8>,
    used: Micros,
}

impl Offers {
    /// Takes the data out of a message that carries a snapshot.
    pub fn offer(&mut self, now: Micros, mut message: PeerMessage) -> Piece {
        self.open.retain(|_, o| o.to != message.to && now < o.used + MOST_IDLE_US);
        let data = message.snap.as_mut().map(|s| std::mem::take(&mut s.data)).unwrap_or_default();
        self.next += 1;
        let (length, sum) = (data.len() as u64, crc32fast::hash(&data));
        self.open.insert(self.next, Offer { to: message.to, data, used: now });
        Piece::Offer { number: self.next, message: Box::new(message), length, sum }
    }

    pub fn part(&mut self, now: Micros, number: u64, offset: u64) -> Piece {
        let Some(offer) = self.open.get_mut(&number) else { return Piece::Done { number, whole: false } };
        offer.used = now;
        let from = (offset as usize).min(offer.data.len());
        let to = (from + PART).min(offer.data.len());
        Piece::Part { number, offset, bytes: offer.data[from..to].to_vec() }
    }

    /// The taker is done with it: to whom it went. The consensus is to be told.
    pub fn done(&mut self, number: u64) -> Option<u64> {
        self.open.remove(&number).map(|o| o.to)
    }

    /// Offers that nobody asked for in a long time.
    pub fn expire(&mut self, now: Micros) -> Vec<u64> {
        let idle = self.open.iter().filter(|(_, o)| now >= o.used + MOST_IDLE_US).map(|(n, _)| *n);
        let idle: Vec<u64> = idle.collect();
        idle.into_iter().filter_map(|n| self.done(n)).collect()
    }

    pub fn held(&self) -> usize {
        self.open.values().map(|o| o.data.len()).sum()
    }
}

/// At the voter that takes it: one at a time, the newest offer.
#[derive(Debug, Default)]
pub struct Taking {
    now: Option<Take>,
}

#[derive(Debug)]
struct Take {
    from: u64,
    number: u64,
    message: Box<PeerMessage>,
    length: u64,
    sum: u32,
    data: Vec<u8>,
    /// Parts asked for beyond what is there, and when.
    asked: u64,
    asked_at: Micros,
}

/// What comes of a piece.
#[derive(Debug, Default, PartialEq)]
pub struct Taken {
    pub send: Vec<Piece>,
    /// The whole message, for the consensus.
    pub message: Option<PeerMessage>,
}

impl Taking {
    /// `most`: a snapshot larger than this is not taken.
    pub fn offered(&mut self, now: Micros, piece: Piece, most: u64) -> Taken {
        let Piece::Offer { number, message, length, sum } = piece else { return Taken::default() };
        if length > most {
            return Taken { send: vec![Piece::Done { number, whole: false }], message: None };
        }
        let same = |t: &Take| t.from == message.from && (t.length, t.sum) == (length, sum);
        // The same content under a new number, from the same voter: what is there stays.
        let data = self.now.take().filter(same).map(|t| t.data).unwrap_or_default();
        let take = Take { from: message.from, number, message, length, sum, data, asked: 0, asked_at: now };
        self.now = Some(take);
        let send = self.ask(now);
        let mut taken = self.whole();
        taken.send.extend(send);
        taken
    }

    pub fn part(&mut self, now: Micros, number: u64, offset: u64, bytes: &[u8]) -> Taken {
        let Some(take) = self.now.as_mut().filter(|t| t.number == number) else { return Taken::default() };
        if offset != take.data.len() as u64 || bytes.is_empty() {
            return Taken::default(); // a double, or out of order: asked for again in time
        }
        take.data.extend_from_slice(bytes);
        take.asked = take.asked.saturating_sub(1);
        let whole = self.whole();
        if whole.message.is_some() || !whole.send.is_empty() {
            return whole;
        }
        Taken { send: self.ask(now), message: None }
    }

    /// It is no longer to be had: the consensus offers another.
    pub fn gone(&mut self, number: u64) {
        if self.now.as_ref().is_some_and(|t| t.number == number) {
            self.now = None;
        }
    }

    /// What was asked for and did not come is asked for again. To whom, and what.
    pub fn time(&mut self, now: Micros) -> Option<(u64, Vec<Piece>)> {
        let take = self.now.as_mut()?;
        if now < take.asked_at + AGAIN_US {
            return None;
        }
        take.asked = 0;
        let from = take.from;
        Some((from, self.ask(now)))
    }

    pub fn from(&self) -> Option<u64> {
        self.now.as_ref().map(|t| t.from)
    }

    fn ask(&mut self, now: Micros) -> Vec<Piece> {
        let Some(take) = self.now.as_mut() else { return Vec::new() };
        let mut asks = Vec::new();
        while take.asked < WINDOW {
            let offset = take.data.len() as u64 + take.asked * PART as u64;
            if offset >= take.length {
                break;
            }
            asks.push(Piece::Ask { number: take.number, offset });
            take.asked += 1;
            take.asked_at = now;
        }
        asks
    }

    fn whole(&mut self) -> Taken {
        let Some(take) = self.now.as_ref().filter(|t| t.data.len() as u64 >= t.length) else {
            return Taken::default();
        };
        let good = take.data.len() as u64 == take.length
            && crc32fast::hash(&take.data) == take.sum
            && crate::state::State::decode(&take.data).is_ok();
        let Some(take) = self.now.take() else { return Taken::default() };
        let mut message = *take.message;
        if let Some(snap) = message.snap.as_mut() {
            snap.data = take.data;
        }
        let send = vec![Piece::Done { number: take.number, whole: good }];
        Taken { send, message: good.then_some(message) }
    }
}
