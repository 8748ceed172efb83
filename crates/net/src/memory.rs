//! The budget for memory that others make this program hold: bodies of requests, answers that come from servers or wait
//! for their clients, and the buffers of connections. It only counts: a holder has a [`Lease`], and dropping it releases
//! its share.
//!
//! - A request body is taken at once or refused, as its request has not run.
//! - An answer is reserved before it is read. If there is no room its server is not read meanwhile, and reservations are
//!   granted in their order. None waits for another that waits: a length that is known is reserved whole.
//! - Buffers of connections are held in any case; each is small.
//!
//! While something waits, or was refused, [`Memory::take_demand`] says how much is wanted, and listeners close the
//! connections of clients that take or bring their bytes most slowly.

use std::collections::VecDeque;
use std::ops::Deref;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The part of the program's memory that others may make it hold, as numerator and denominator. The rest is for the
/// program's own state and for what its allocator keeps.
const HELD_FRACTION: (u64, u64) = (1, 2);
/// The part of the program's memory that request bodies may take together.
const BODY_FRACTION: (u64, u64) = (3, 8);
/// One byte in so many of the budget is reserved for small bodies and answers.
const SMALL_RESERVE_DIVISOR: usize = 8;
/// What a connection takes beside what it buffers, in bytes: its stack and its records.
pub const CONNECTION_BYTES: usize = 16 * 1024;
/// The largest body or answer that may use the reserve for small ones, in bytes.
pub const MAX_SMALL_BYTES: usize = 64 * 1024;

/// The budget of one program.
pub struct Memory {
    max_bytes: usize,
    max_body_bytes: usize,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    used: usize,
    /// The part of `used` that request bodies take.
    bodies: usize,
    /// Reservations in the order in which they are granted.
    waiting: VecDeque<Arc<Waiter>>,
    /// The largest request that was refused since the last call of `take_demand`.
    refused: usize,
}

/// Tells the holder of a reservation that it was granted.
type Wake = Arc<dyn Fn() + Send + Sync>;

/// A reservation that is not granted yet.
struct Waiter {
    bytes: usize,
    /// Called once it is granted.
    wake: Wake,
    state: Mutex<WaiterState>,
}

#[derive(Clone, Copy, PartialEq)]
enum WaiterState {
    Waiting,
    Granted,
    /// The lease was taken.
    Taken,
}

/// The result of a reservation.
pub enum Reservation {
    Granted(Lease),
    Waiting(Ticket),
    /// It does not fit the budget, whatever else is released.
    TooLarge,
}

fn part(memory_mb: u64, (numerator, denominator): (u64, u64)) -> usize {
    let bytes = memory_mb.saturating_mul(1024 * 1024) / denominator * numerator;
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Memory {
    pub fn new(memory_mb: u64) -> Memory {
        Memory {
            max_bytes: part(memory_mb, HELD_FRACTION),
            max_body_bytes: part(memory_mb, BODY_FRACTION),
            state: Mutex::default(),
        }
    }

    /// A budget of so many bytes, without a part for request bodies.
    pub fn with_limit(max_bytes: usize) -> Memory {
        Memory { max_bytes, max_body_bytes: 0, state: Mutex::default() }
    }

    /// The most that holders of so many bytes may use together.
    fn limit(&self, bytes: usize) -> usize {
        let reserve = if bytes > MAX_SMALL_BYTES { self.max_bytes / SMALL_RESERVE_DIVISOR } else { 0 };
        self.max_bytes - reserve
    }

    fn fits(&self, state: &State, bytes: usize) -> bool {
        state.used.checked_add(bytes).is_some_and(|sum| sum <= self.limit(bytes))
    }

    /// A lease for a request body; None if there is no room.
    pub fn take(self: &Arc<Memory>, bytes: usize) -> Option<Lease> {
        let mut state = lock(&self.state);
        let bodies = state.bodies.checked_add(bytes).filter(|sum| *sum <= self.max_body_bytes);
        match bodies.filter(|_| self.fits(&state, bytes)) {
            Some(bodies) => {
                (state.used, state.bodies) = (state.used + bytes, bodies);
                Some(Lease { memory: self.clone(), bytes, of_body: true })
            }
            None => {
                state.refused = state.refused.max(bytes);
                None
            }
        }
    }

    /// A lease for memory that is needed at once; None if there is no room.
    pub fn try_hold(self: &Arc<Memory>, bytes: usize) -> Option<Lease> {
        let mut state = lock(&self.state);
        if !self.fits(&state, bytes) {
            state.refused = state.refused.max(bytes);
            return None;
        }
        state.used += bytes;
        Some(self.lease(bytes))
    }

    /// Reserves room for an answer that is to be read; `wake` is called if that is granted later.
    fn reserve(self: &Arc<Memory>, bytes: usize, wake: &Wake) -> Reservation {
        let mut state = lock(&self.state);
        if bytes > self.limit(bytes) {
            return Reservation::TooLarge;
        }
        let first = state.waiting.is_empty() || bytes <= MAX_SMALL_BYTES;
        if first && self.fits(&state, bytes) {
            state.used += bytes;
            return Reservation::Granted(self.lease(bytes));
        }
        let waiter = Waiter { bytes, wake: wake.clone(), state: Mutex::new(WaiterState::Waiting) };
        let waiter = Arc::new(waiter);
        state.waiting.push_back(waiter.clone());
        Reservation::Waiting(Ticket { memory: self.clone(), waiter })
    }

    /// A lease for the buffers of a connection, whether or not there is room.
    pub fn hold(self: &Arc<Memory>, bytes: usize) -> Lease {
        lock(&self.state).used += bytes;
        self.lease(bytes)
    }

    fn lease(self: &Arc<Memory>, bytes: usize) -> Lease {
        Lease { memory: self.clone(), bytes, of_body: false }
    }

    fn release(&self, bytes: usize, of_body: bool) {
        if bytes == 0 {
            return;
        }
        {
            let mut state = lock(&self.state);
            state.used -= bytes;
            state.bodies -= if of_body { bytes } else { 0 };
        }
        self.grant_waiting();
    }

    /// Grants the first reservations that fit by now.
    fn grant_waiting(&self) {
        let mut granted = Vec::new();
        {
            let mut state = lock(&self.state);
            while let Some(first) = state.waiting.front()
                && self.fits(&state, first.bytes)
                && let Some(waiter) = state.waiting.pop_front()
            {
                state.used += waiter.bytes;
                *lock(&waiter.state) = WaiterState::Granted;
                granted.push(waiter);
            }
        }
        granted.iter().for_each(|waiter| (waiter.wake)());
    }

    /// Whether more is wanted than there is room for.
    pub fn is_short(&self) -> bool {
        let state = lock(&self.state);
        !state.waiting.is_empty() || state.refused > 0 || state.used > self.max_bytes
    }

    /// Whether more is held than the budget allows, as what is held in any case can overdraw it.
    pub fn is_exhausted(&self) -> bool {
        lock(&self.state).used > self.max_bytes
    }

    /// How many bytes are wanted beyond what there is room for. Refusals count once.
    pub fn take_demand(&self) -> usize {
        let mut state = lock(&self.state);
        let waiting: usize = state.waiting.iter().map(|waiter| waiter.bytes).sum();
        let refused = std::mem::take(&mut state.refused);
        let wanted = waiting.saturating_add(refused).min(self.max_bytes);
        let free = self.limit(usize::MAX).saturating_sub(state.used);
        let overdrawn = state.used.saturating_sub(self.max_bytes);
        if wanted == 0 { overdrawn } else { wanted.saturating_sub(free).max(1) }
    }

    /// The bytes that are held.
    pub fn used(&self) -> usize {
        lock(&self.state).used
    }
}

/// One connection's way to reserve room for the answers that it reads.
pub struct Reserver {
    memory: Arc<Memory>,
    wake: Wake,
}

impl Reserver {
    /// `wake` is called when a reservation that had to wait is granted.
    pub fn new(memory: Arc<Memory>, wake: impl Fn() + Send + Sync + 'static) -> Reserver {
        Reserver { memory, wake: Arc::new(wake) }
    }

    pub fn reserve(&self, bytes: usize) -> Reservation {
        self.memory.reserve(bytes, &self.wake)
    }

    /// The largest answer whose length is not known in advance, in bytes: two of them may come at once.
    pub fn max_growing_bytes(&self) -> usize {
        self.memory.limit(usize::MAX) / 2
    }
}

/// A reservation that waits. Dropping it gives it up.
pub struct Ticket {
    memory: Arc<Memory>,
    waiter: Arc<Waiter>,
}

impl Ticket {
    /// The lease, once it is granted.
    pub fn take(&self) -> Option<Lease> {
        let mut state = lock(&self.waiter.state);
        if *state != WaiterState::Granted {
            return None;
        }
        *state = WaiterState::Taken;
        Some(self.memory.lease(self.waiter.bytes))
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        lock(&self.memory.state).waiting.retain(|waiter| !Arc::ptr_eq(waiter, &self.waiter));
        drop(self.take());
        self.memory.grant_waiting(); // those behind it may fit
    }
}

/// A permit to hold a number of bytes.
pub struct Lease {
    memory: Arc<Memory>,
    bytes: usize,
    of_body: bool,
}

impl Lease {
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Extends the permit of a request body to `bytes` in all. Returns false and changes nothing if there is no room.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let Some(more) = bytes.checked_sub(self.bytes).filter(|more| *more > 0) else { return true };
        let Some(mut lease) = self.memory.take(more) else { return false };
        self.bytes += std::mem::take(&mut lease.bytes);
        true
    }

    /// Joins another permit of the same kind to this one.
    pub fn join(&mut self, mut other: Lease) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Releases what is beyond `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.bytes -= released;
        self.memory.release(released, self.of_body);
    }

    /// Changes the permit for the buffers of a connection, whether or not there is room.
    pub fn resize(&mut self, bytes: usize) {
        if bytes > self.bytes {
            lock(&self.memory.state).used += bytes - self.bytes;
            self.bytes = bytes;
        } else {
            self.shrink(bytes);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.memory.release(self.bytes, self.of_body);
    }
}

/// A body in memory, with the permit to hold it.
#[derive(Default)]
pub struct BufferedBody {
    pub bytes: Vec<u8>,
    pub lease: Option<Lease>,
}

impl Deref for BufferedBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl From<Vec<u8>> for BufferedBody {
    /// A body without a permit: a small one that this program made itself.
    fn from(bytes: Vec<u8>) -> BufferedBody {
        BufferedBody { bytes, lease: None }
    }
}

impl std::fmt::Debug for BufferedBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} bytes", self.bytes.len())
    }
}

impl PartialEq for BufferedBody {
    fn eq(&self, other: &BufferedBody) -> bool {
        self.bytes == other.bytes
    }
}

impl Eq for BufferedBody {}
