//! The log: a ring of lines in memory that is written out when something goes wrong, and little else.

use flexi_logger::{DeferredNow, LogSpecification, Logger, LoggerHandle, Record, Snapshot};
use miette::{Result, miette};
use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Bytes that the ring holds.
const HELD: usize = 48 * 1024;
/// It is written out once in so long, however much goes wrong.
const PAUSE_S: u64 = 10;

struct Ring {
    handle: LoggerHandle,
    who: String,
    start: Instant,
    /// When it was last written out, in seconds from the start, and one more.
    written: AtomicU64,
    held: bool,
}

static RING: OnceLock<Ring> = OnceLock::new();

/// `chatty`: each line goes to standard error at once.
pub fn start(program: &str, node: &str, chatty: bool) -> Result<()> {
    // What the coroutines say of themselves is of no use here.
    let mut spec = LogSpecification::builder();
    let spec = spec.default(log::LevelFilter::Info).module("may", log::LevelFilter::Warn).build();
    let logger = Logger::with(spec);
    let logger = if chatty { logger.log_to_stderr() } else { logger.log_to_buffer(HELD, Some(plain)) };
    let handle = logger.format(plain).start().map_err(|e| miette!("cannot start the log: {e}"))?;
    let who = format!("{program} {node}");
    let ring = Ring { handle, who, start: Instant::now(), written: AtomicU64::new(0), held: !chatty };
    let _ = RING.set(ring);
    let panics = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        panics(info);
        dump("panic");
    }));
    Ok(())
}

fn plain(out: &mut dyn Write, _: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
    let at = RING.get().map_or(0, |r| r.start.elapsed().as_millis());
    write!(out, "{}.{:03} {} {}", at / 1000, at % 1000, record.level(), record.args())
}

/// Writes the ring to standard error, with what went wrong.
pub fn dump(why: &str) {
    let Some(ring) = RING.get() else { return };
    let now = ring.start.elapsed().as_secs() + 1;
    let before = ring.written.load(Ordering::Relaxed);
    if before != 0 && now < before + PAUSE_S {
        return;
    }
    ring.written.store(now, Ordering::Relaxed);
    let mut text = format!("{}: {why}\n", ring.who);
    let mut held = Snapshot::new();
    if ring.held && ring.handle.update_snapshot(&mut held).unwrap_or(false) {
        text.push_str(&held.text);
    }
    // Nobody may be reading any more; that must not end what this tells of.
    let _ = std::io::stderr().write_all(text.as_bytes());
}
