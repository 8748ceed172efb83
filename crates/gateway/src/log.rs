//! Logging by slog, written to standard error by a separate thread, so that a slow reader of the log never delays a
//! request. Lines that this thread cannot keep up with are dropped and counted.

use slog::{Drain, Logger, o};

pub use slog_async::AsyncGuard;

pub fn start(name: &str) -> (Logger, AsyncGuard) {
    let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
    // Write errors are ignored: the gateway must go on when nobody reads its log any more.
    let drain = slog_term::FullFormat::new(plain).build().ignore_res();
    let (drain, guard) = slog_async::Async::new(drain).chan_size(512).build_with_guard();
    (Logger::root(drain.ignore_res(), o!("gateway" => name.to_string())), guard)
}
