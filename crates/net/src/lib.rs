//! The network layer of a program between clients and servers: listeners and their client connections
//! (`listener`), pools of connections to servers (`pool`), and the parts that both are built from. It makes no
//! decisions: the program implements `listener::Handler` and `pool::Wire` to interpret messages and to answer them.
//!
//! Everything here runs on one thread of coroutines; any thread may post messages to its actors.

pub mod clock;
pub mod errors;
pub mod http;
pub mod limits;
pub mod listener;
pub mod mailbox;
pub mod memory;
pub mod pool;
pub mod resources;
pub mod ring;
pub mod socket;
pub mod timeouts;

pub use clock::Micros;

/// Stack size of a coroutine, in machine words.
const STACK_WORDS: usize = 0x2000;
/// Number of coroutine stacks kept for reuse.
const STACK_POOL_SIZE: usize = 64;

/// Configures the coroutine library; to be called before the first coroutine starts. There is one worker, as the
/// program has one core. It is not pinned to a core, as several programs may share a machine.
pub fn set_up() {
    let coroutines = may::config();
    coroutines.set_workers(1).set_pool_capacity(STACK_POOL_SIZE).set_stack_size(STACK_WORDS);
    coroutines.set_worker_pin(false);
}
