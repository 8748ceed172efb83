//! One ring buffer for each connection and direction: small at first, grown for a large message, small again
//! once it is empty. A thousand quiet connections must not hold the memory of a thousand large messages.

use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::sync::Arc;

/// Most answers fit, so that one read takes them.
const START: usize = 4096;
/// The most that one read takes of a long message.
const MOST_STEP: usize = 64 * 1024;
/// An empty ring larger than this gives its memory back.
const KEEP: usize = 4096;

#[derive(Default)]
pub struct Ring {
    store: Vec<u8>,
    head: usize,
    len: usize,
    /// What the next read may bring, if nothing is held: more after reads that used all their room.
    step: usize,
}

/// What one read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Filled {
    pub bytes: usize,
    /// All the room was used: there may be more to read.
    pub full: bool,
}

impl Ring {
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// What is held, in one piece.
    pub fn bytes(&mut self) -> &[u8] {
        if self.head + self.len > self.store.len() {
            self.store.rotate_left(self.head);
            self.head = 0;
        }
        &self.store[self.head..self.head + self.len]
    }

    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.len -= n;
        self.head = if self.len == 0 { 0 } else { (self.head + n) % self.store.len() };
        if self.len == 0 && self.store.len() > KEEP {
            self.store = Vec::new();
        }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.reserve(self.len + bytes.len());
        let tail = (self.head + self.len) % self.store.len().max(1);
        let first = bytes.len().min(self.store.len() - tail);
        self.store[tail..tail + first].copy_from_slice(&bytes[..first]);
        self.store[..bytes.len() - first].copy_from_slice(&bytes[first..]);
        self.len += bytes.len();
    }

    pub fn len(&self) -> usize {
        self.len
    }

    /// Grows to whole steps, not beyond: a large message must not hold twice its size.
    fn reserve(&mut self, need: usize) {
        if need > self.store.len() {
            self.bytes();
            self.store.copy_within(self.head..self.head + self.len, 0);
            self.head = 0;
            self.store.resize(need.next_multiple_of(START), 0);
        }
    }

    /// One call of `read` into the free room; the ring grows to hold `most` bytes at the most. Without room
    /// nothing is read.
    pub fn fill(
        &mut self,
        most: usize,
        mut read: impl FnMut(&mut [u8]) -> io::Result<usize>,
    ) -> io::Result<Option<Filled>> {
        if self.len >= most {
            return Ok(None);
        }
        if self.len == self.store.len() {
            self.reserve(self.len * 2 + 1);
        }
        if self.len == 0 {
            self.reserve(self.step.min(most));
        }
        let (cap, tail) = (self.store.len(), (self.head + self.len) % self.store.len());
        let end = if tail < self.head { self.head } else { cap };
        let end = end.min(tail + (most - self.len));
        let bytes = read(&mut self.store[tail..end])?;
        self.len += bytes;
        let full = bytes == end - tail;
        self.step = if full { (2 * cap).min(MOST_STEP) } else { START };
        Ok(Some(Filled { bytes, full }))
    }
}

/// Bytes to be sent, by one holder or by several.
pub enum Bytes {
    Own(Vec<u8>),
    Shared(Arc<dyn AsRef<[u8]> + Send + Sync>),
}

impl AsRef<[u8]> for Bytes {
    fn as_ref(&self) -> &[u8] {
        match self {
            Bytes::Own(bytes) => bytes,
            Bytes::Shared(bytes) => (**bytes).as_ref(),
        }
    }
}

impl From<Vec<u8>> for Bytes {
    fn from(bytes: Vec<u8>) -> Bytes {
        Bytes::Own(bytes)
    }
}

impl From<Arc<[u8]>> for Bytes {
    fn from(bytes: Arc<[u8]>) -> Bytes {
        Bytes::Shared(Arc::new(bytes))
    }
}

/// What waits to be sent on one connection: a ring, and large pieces in between that are not copied into it.
#[derive(Default)]
pub struct Outgoing {
    ring: Ring,
    /// Pieces, each with how much of the ring goes before it, and how much of it has gone.
    large: VecDeque<(usize, Bytes, usize)>,
    len: usize,
}

/// Smaller pieces are copied into the ring, to go out with what stands before them.
const LARGE: usize = 16 * 1024;

impl Outgoing {
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.ring.push(bytes);
        self.len += bytes.len();
    }

    pub fn push_held(&mut self, bytes: Bytes) {
        let length = bytes.as_ref().len();
        if length < LARGE {
            return self.push(bytes.as_ref());
        }
        let placed: usize = self.large.iter().map(|(before, ..)| before).sum();
        self.large.push_back((self.ring.len() - placed, bytes, 0));
        self.len += length;
    }

    /// Writes as much as the socket takes now. What was taken is dropped, also when an error follows.
    pub fn flush(&mut self, mut socket: impl io::Write) -> io::Result<()> {
        while !self.is_empty() {
            let wrote = match self.large.front() {
                Some((0, bytes, gone)) => socket.write(&bytes.as_ref()[*gone..]),
                Some((before, ..)) => socket.write(&self.ring.bytes()[..*before]),
                None => socket.write(self.ring.bytes()),
            };
            match wrote {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.consume(n),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    fn consume(&mut self, n: usize) {
        self.len -= n;
        match self.large.front_mut() {
            Some((0, bytes, gone)) => {
                *gone += n;
                if *gone == bytes.as_ref().len() {
                    self.large.pop_front();
                }
            }
            Some((before, ..)) => {
                *before -= n;
                self.ring.consume(n);
            }
            None => self.ring.consume(n),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_gives_back_what_it_took_across_its_end() {
        let mut ring = Ring::default();
        let (mut sent, mut got) = (0u32, 0u32);
        for round in 0..400u32 {
            for _ in 0..(round * 7) % 90 {
                ring.push(&sent.to_le_bytes());
                sent += 1;
            }
            let part = (ring.len / 4) * 3 / 4;
            for _ in 0..part {
                assert_eq!(ring.bytes()[..4], got.to_le_bytes());
                ring.consume(4);
                got += 1;
            }
        }
        assert_eq!(ring.len as u32, (sent - got) * 4);
    }

    #[test]
    fn reads_wrap_and_stop_at_the_most() {
        let mut ring = Ring::default();
        ring.push(&[1; 1000]);
        ring.consume(990);
        let mut next = 0u8;
        let mut read = |room: &mut [u8]| {
            let n = room.len().min(20);
            room[..n].iter_mut().for_each(|b| {
                next = next.wrapping_add(1);
                *b = next;
            });
            Ok(n)
        };
        let mut total = 10;
        while let Some(f) = ring.fill(200, &mut read).expect("reads") {
            assert!(f.bytes > 0);
            total += f.bytes;
        }
        assert_eq!((ring.len, total), (200, 200));
        let held = ring.bytes()[10..].to_vec();
        assert!(held.iter().enumerate().all(|(n, b)| *b == (n as u8).wrapping_add(1)));
    }

    #[test]
    fn an_empty_ring_gives_large_memory_back() {
        let mut ring = Ring::default();
        ring.push(&[0; 100_000]);
        ring.consume(99_999);
        assert!(ring.store.len() >= 100_000);
        ring.consume(1);
        assert!(ring.store.len() <= KEEP);
    }

    /// A socket that takes a few bytes at a time, and at times none.
    struct Slow(Vec<u8>, usize);

    impl io::Write for Slow {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.1 += 1;
            if self.1.is_multiple_of(3) {
                return Err(ErrorKind::WouldBlock.into());
            }
            let n = bytes.len().min(7001);
            self.0.extend_from_slice(&bytes[..n]);
            Ok(n)
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn large_pieces_go_out_in_their_place() {
        let (mut out, mut all, mut slow) = (Outgoing::default(), Vec::new(), Slow(Vec::new(), 0));
        for n in 0..40_usize {
            let piece = vec![n as u8; [10, LARGE, 3 * LARGE + 1, 5000][n % 4]];
            all.extend_from_slice(&piece);
            out.push_held(piece.into());
            out.flush(&mut slow).expect("nothing fails");
        }
        while !out.is_empty() {
            out.flush(&mut slow).expect("nothing fails");
        }
        assert!(slow.0 == all, "in order and whole");
        assert!(out.large.is_empty() && out.ring.is_empty());
    }
}
