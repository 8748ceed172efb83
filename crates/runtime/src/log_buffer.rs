//! The log: the latest lines are kept in memory and written to standard error only when something goes wrong.

use flexi_logger::{DeferredNow, LogSpecification, Logger, LoggerHandle, Record, Snapshot};
use miette::{Result, miette};
use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// The size of the buffer.
const BUFFER_BYTES: usize = 48 * 1024;
/// The shortest time between two dumps, however much goes wrong.
const MIN_DUMP_INTERVAL_S: u64 = 10;

struct Log {
    handle: LoggerHandle,
    /// Program and node.
    name: String,
    start: Instant,
    /// When it was last dumped, in seconds since the start plus one; 0: never.
    dumped_at_s: AtomicU64,
    /// Whether lines are kept in memory.
    buffered: bool,
}

static LOG: OnceLock<Log> = OnceLock::new();

/// Starts the log. `chatty`: writes each line to standard error at once, also those that are too many to be kept, such as
/// one for each attempt.
pub fn start(program: &str, node: &str, chatty: bool) -> Result<()> {
    // The coroutine library's own lines below warnings are of no use here.
    let mut spec = LogSpecification::builder();
    let level = if chatty { log::LevelFilter::Debug } else { log::LevelFilter::Info };
    let spec = spec.default(level).module("may", log::LevelFilter::Warn).build();
    let logger = Logger::with(spec);
    let logger =
        if chatty { logger.log_to_stderr() } else { logger.log_to_buffer(BUFFER_BYTES, Some(format_line)) };
    let handle = logger.format(format_line).start().map_err(|e| miette!("cannot start the log: {e}"))?;
    let name = format!("{program} {node}");
    let log = Log { handle, name, start: Instant::now(), dumped_at_s: AtomicU64::new(0), buffered: !chatty };
    let _ = LOG.set(log);
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        previous_hook(info);
        dump("panic");
    }));
    Ok(())
}

fn format_line(out: &mut dyn Write, _: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
    let at = LOG.get().map_or(0, |log| log.start.elapsed().as_millis());
    write!(out, "{}.{:03} {} {}", at / 1000, at % 1000, record.level(), record.args())
}

/// Writes the buffered lines to standard error, with the reason.
pub fn dump(why: &str) {
    let Some(log) = LOG.get() else { return };
    let now = log.start.elapsed().as_secs() + 1;
    let before = log.dumped_at_s.load(Ordering::Relaxed);
    if before != 0 && now < before + MIN_DUMP_INTERVAL_S {
        return;
    }
    log.dumped_at_s.store(now, Ordering::Relaxed);
    let mut text = format!("{}: {why}\n", log.name);
    let mut snapshot = Snapshot::new();
    if log.buffered && log.handle.update_snapshot(&mut snapshot).unwrap_or(false) {
        text.push_str(&snapshot.text);
    }
    // Standard error may be closed; that must not stop the program that is being reported on.
    let _ = std::io::stderr().write_all(text.as_bytes());
}
