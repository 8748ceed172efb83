//! The network half of a program that stands between clients and servers, without any decision: a listener
//! and its clients' connections (`door`), a server's connections (`pool`), and the parts that both are made
//! of. What is read out of a message and what is answered is the program's: it gives a `door::Desk` and a
//! `pool::Wire`.
//!
//! All of it runs on one thread of coroutines; any thread may post to its actors.

pub mod clock;
pub mod door;
pub mod errors;
pub mod http;
pub mod limits;
pub mod mailbox;
pub mod pool;
pub mod ring;
pub mod room;
pub mod socket;
pub mod timeouts;

pub use clock::Micros;

/// Stack of a coroutine in machine words.
const STACK: usize = 0x2000;
/// Stacks kept ready.
const STACKS: usize = 64;

/// Sets up the coroutines, before the first of them. One worker, as the program has one core; not pinned, as
/// several may share a machine.
pub fn set_up() {
    let coroutines = may::config();
    coroutines.set_workers(1).set_pool_capacity(STACKS).set_stack_size(STACK);
    coroutines.set_worker_pin(false);
}
