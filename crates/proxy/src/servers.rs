//! The proxy's side of HTTP to servers: the limits of its connections, the headers that it adds per attempt, which
//! attempt an answer belongs to, and how an attempt ended.

use crate::dispatcher::{AttemptResult, Execution, ServerAnswer};
use net::Micros;
use net::errors::AttemptError;
use net::http::{self, Bounds};
use net::pool::{self, Ended, Job, ResponseMatch, Wire};
use runtime::link::ACK_TIMEOUT;
use std::sync::Arc;

/// How long a connection to a server may take to be established.
const CONNECT_TIMEOUT_US: Micros = 600_000;
/// How long an idle connection to a server is kept if the server names no time.
const IDLE_US: Micros = 8_000_000;
/// The largest head and body of a server's answer, in bytes.
const ANSWER_BOUNDS: Bounds = Bounds { head: 16 * 1024, body: 32 << 20 };

/// The settings of connections to servers. An answer may pause for as long as its request may take: the server may be
/// at work on the rest of it.
pub fn pool_settings() -> pool::Settings {
    pool::Settings {
        dial_us: CONNECT_TIMEOUT_US,
        answer_us: None,
        idle_us: IDLE_US,
        max_connections: usize::MAX,
        tcp_user_timeout: Some(ACK_TIMEOUT),
        bounds: ANSWER_BOUNDS,
    }
}

/// Implements [`Wire`] for connections to servers.
pub struct ServerWire<T> {
    on_end: T,
}

/// What goes with an attempt: the name that the client gave it, and the id of the server instance that may
/// run it.
pub struct AttemptInfo {
    pub name: Arc<[u8]>,
    pub instance: Arc<str>,
}

/// What is read out of an answer's head.
pub struct AnswerInfo {
    /// The server says that it did not run the request.
    not_run: bool,
    /// The headers that are passed on to the client.
    headers: Vec<u8>,
}

impl<T: Fn(u64, u32, AttemptResult) + Send + Sync + 'static> ServerWire<T> {
    /// Reports the end of each attempt to `on_end`.
    pub fn new(on_end: T) -> ServerWire<T> {
        ServerWire { on_end }
    }
}

impl<T: Fn(u64, u32, AttemptResult) + Send + Sync + 'static> Wire for ServerWire<T> {
    type Note = AttemptInfo;
    type HeadInfo = AnswerInfo;

    fn attempt_headers(&self, job: &Job<AttemptInfo>, left_us: Micros, out: &mut Vec<u8>) {
        let left_ms = (left_us / 1000).max(1);
        out.extend_from_slice(
            format!("X-Time-Left: {left_ms}\r\nX-Expected-Instance: {}\r\n", job.note.instance).as_bytes(),
        );
    }

    fn response_head(&self, job: &Job<AttemptInfo>, head: &http::Response) -> ResponseMatch<AnswerInfo> {
        // Every answer names its attempt; one without a name can't be attributed to an attempt.
        let name = http::header(head.headers, "X-Attempt-Id");
        if name.is_none_or(|n| n.trim_ascii() != &*job.note.name) {
            return ResponseMatch::Surplus;
        }
        let mut headers = Vec::new();
        http::copy_end_to_end_headers(
            head.headers,
            &["X-Not-Executed", "X-Instance-Id", "X-Cold-Time"],
            &mut headers,
        );
        let not_run = http::header(head.headers, "X-Not-Executed").is_some();
        ResponseMatch::Expected(AnswerInfo { not_run, headers })
    }

    fn ended(&self, ended: Ended<ServerWire<T>>) {
        let end = match ended.outcome {
            Ok(pool::Served { status, head_info, body }) => AttemptResult::Answered(ServerAnswer {
                status,
                not_run: head_info.not_run,
                headers: head_info.headers,
                body,
            }),
            Err(why) => {
                let name = String::from_utf8_lossy(&ended.note.name);
                log::info!("attempt {}.{} ({name}) failed: {why}", ended.id, ended.attempt);
                if why.cut_by_pool() {
                    runtime::log_buffer::dump("an attempt was cut while its server may have worked on it");
                }
                AttemptResult::Broken { execution: reached(&why) }
            }
        };
        (self.on_end)(ended.id, ended.attempt, end);
    }
}

fn reached(why: &AttemptError) -> Execution {
    if why.never_ran() { Execution::NeverRan } else { Execution::MayHaveRun }
}
