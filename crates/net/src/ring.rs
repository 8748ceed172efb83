//! Ring buffers, one for each connection and direction. A buffer starts small, grows for a large message, and is
//! small again once it is empty: a thousand idle connections must not hold the memory of a thousand large messages.

use crate::memory::BufferedBody;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::sync::Arc;

/// Buffers grow in steps of so many bytes. Most responses fit in one step, so that one read takes them.
const STEP_BYTES: usize = 4096;
/// The most bytes that are reserved in an empty buffer for the next read.
const MAX_READ_BYTES: usize = 64 * 1024;
/// The most by which a buffer grows at once for bytes that are read.
const MAX_GROWTH_BYTES: usize = 1 << 20;
/// An empty buffer larger than this frees its memory.
const MAX_EMPTY_BYTES: usize = 4096;

/// A ring buffer of bytes.
#[derive(Default)]
pub struct Ring {
    store: Vec<u8>,
    head: usize,
    len: usize,
    /// Space to reserve for the next read into the empty buffer: more after reads that used all their space.
    next_read: usize,
}

/// The result of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Filled {
    pub bytes: usize,
    /// The read used all the space it had, so there may be more to read.
    pub full: bool,
}

impl Ring {
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The buffered bytes, as one slice.
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
        if self.len == 0 && self.store.len() > MAX_EMPTY_BYTES {
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

    /// The memory that it takes.
    pub fn capacity(&self) -> usize {
        self.store.len()
    }

    /// Grows to the next multiple of the step instead of doubling: a large message must not take twice its size.
    fn reserve(&mut self, need: usize) {
        if need > self.store.len() {
            self.bytes();
            self.store.copy_within(self.head..self.head + self.len, 0);
            self.head = 0;
            self.store.reserve_exact(need.next_multiple_of(STEP_BYTES) - self.store.len());
            self.store.resize(need.next_multiple_of(STEP_BYTES), 0);
        }
    }

    /// Calls `read` once, into the free space; the buffer grows as needed, to hold up to `max` bytes. Returns None
    /// without reading if it already holds that many.
    pub fn fill(
        &mut self,
        max: usize,
        mut read: impl FnMut(&mut [u8]) -> io::Result<usize>,
    ) -> io::Result<Option<Filled>> {
        if self.len >= max {
            return Ok(None);
        }
        if self.len == self.store.len() {
            self.reserve(self.len + self.len.clamp(1, MAX_GROWTH_BYTES));
        }
        if self.len == 0 {
            self.reserve(self.next_read.min(max));
        }
        let (capacity, tail) = (self.store.len(), (self.head + self.len) % self.store.len());
        let end = if tail < self.head { self.head } else { capacity };
        let end = end.min(tail + (max - self.len));
        let bytes = read(&mut self.store[tail..end])?;
        self.len += bytes;
        let full = bytes == end - tail;
        self.next_read = if full { (2 * capacity).min(MAX_READ_BYTES) } else { STEP_BYTES };
        Ok(Some(Filled { bytes, full }))
    }
}

/// Bytes to be sent, owned or shared.
pub enum Bytes {
    Owned(Vec<u8>),
    /// With the permit to hold them.
    Buffered(BufferedBody),
    Shared(Arc<dyn AsRef<[u8]> + Send + Sync>),
}

impl AsRef<[u8]> for Bytes {
    fn as_ref(&self) -> &[u8] {
        match self {
            Bytes::Owned(bytes) => bytes,
            Bytes::Buffered(body) => body,
            Bytes::Shared(bytes) => (**bytes).as_ref(),
        }
    }
}

impl From<Vec<u8>> for Bytes {
    fn from(bytes: Vec<u8>) -> Bytes {
        Bytes::Owned(bytes)
    }
}

impl From<BufferedBody> for Bytes {
    fn from(body: BufferedBody) -> Bytes {
        Bytes::Buffered(body)
    }
}

impl From<Arc<[u8]>> for Bytes {
    fn from(bytes: Arc<[u8]>) -> Bytes {
        Bytes::Shared(Arc::new(bytes))
    }
}

/// The send queue of a connection: a ring buffer, and large pieces in between that are not copied into it.
#[derive(Default)]
pub struct Outgoing {
    ring: Ring,
    /// The pieces in order, each with the number of ring bytes sent between the previous piece and this one, and the
    /// number of its own bytes already sent.
    large: VecDeque<(usize, Bytes, usize)>,
    len: usize,
}

/// Pieces smaller than this are copied into the ring, to be sent in one write with what precedes them.
const MIN_LARGE_BYTES: usize = 16 * 1024;

impl Outgoing {
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn len(&self) -> usize {
        self.len
    }

    /// The memory of the buffer for small pieces.
    pub fn buffer_capacity(&self) -> usize {
        self.ring.capacity()
    }

    /// The memory that is free again once all is sent.
    pub fn held_bytes(&self) -> usize {
        let large: usize = self.large.iter().map(|(_, bytes, _)| bytes.as_ref().len()).sum();
        self.ring.len() + large
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.ring.push(bytes);
        self.len += bytes.len();
    }

    /// Queues bytes; large ones are kept as they are instead of copied.
    pub fn push_bytes(&mut self, bytes: Bytes) {
        let length = bytes.as_ref().len();
        if length < MIN_LARGE_BYTES {
            return self.push(bytes.as_ref());
        }
        let assigned: usize = self.large.iter().map(|(before, ..)| before).sum();
        self.large.push_back((self.ring.len() - assigned, bytes, 0));
        self.len += length;
    }

    /// Writes as much as the socket accepts now. Written bytes leave the queue even if an error follows.
    pub fn flush(&mut self, mut socket: impl io::Write) -> io::Result<()> {
        while !self.is_empty() {
            let written = match self.large.front() {
                Some((0, bytes, sent)) => socket.write(&bytes.as_ref()[*sent..]),
                Some((before, ..)) => socket.write(&self.ring.bytes()[..*before]),
                None => socket.write(self.ring.bytes()),
            };
            match written {
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
            Some((0, bytes, sent)) => {
                *sent += n;
                if *sent == bytes.as_ref().len() {
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
        assert!(ring.store.len() <= MAX_EMPTY_BYTES);
    }

    /// A socket that accepts a limited number of bytes per write, and none in every third.
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
            let piece = vec![n as u8; [10, MIN_LARGE_BYTES, 3 * MIN_LARGE_BYTES + 1, 5000][n % 4]];
            all.extend_from_slice(&piece);
            out.push_bytes(piece.into());
            out.flush(&mut slow).expect("nothing fails");
        }
        while !out.is_empty() {
            out.flush(&mut slow).expect("nothing fails");
        }
        assert!(slow.0 == all, "in order and whole");
        assert!(out.large.is_empty() && out.ring.is_empty());
    }
}
