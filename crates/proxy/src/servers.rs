//! What the proxy speaks with servers: the lines that end a request's head, whose an answer is, and what is known of
//! an attempt that has ended.

use crate::front::{End, Reached, Served};
use net::Micros;
use net::errors::AttemptError;
use net::http;
use net::pool::{self, Ended, Heard, Job, Wire};
use std::sync::Arc;

pub struct Servers<T> {
    tell: T,
}

/// What goes with an attempt: the client's name for it and the life of a server that may run it.
pub struct Note {
    pub name: Arc<[u8]>,
    pub instance: Arc<str>,
}

/// What is read out of an answer's head.
pub struct Said {
    not_run: bool,
    headers: Vec<u8>,
}

impl<T: Fn(u64, u32, End) + Send + Sync + 'static> Servers<T> {
    /// How each attempt ends goes to `tell`.
    pub fn new(tell: T) -> Servers<T> {
        Servers { tell }
    }
}

impl<T: Fn(u64, u32, End) + Send + Sync + 'static> Wire for Servers<T> {
    type Note = Note;
    type Said = Said;

    fn last_lines(&self, job: &Job<Note>, left_us: Micros, out: &mut Vec<u8>) {
        let left_ms = (left_us / 1000).max(1);
        out.extend_from_slice(
            format!("X-Time-Left: {left_ms}\r\nX-Expected-Instance: {}\r\n", job.note.instance).as_bytes(),
        );
    }

    fn heard(&self, job: &Job<Note>, head: &http::Response) -> Heard<Said> {
        // Every answer names its attempt; one that names none is nobody's.
        let name = http::header(head.headers, "X-Attempt-Id");
        if name.is_none_or(|n| n.trim_ascii() != &*job.note.name) {
            return Heard::Surplus;
        }
        let mut headers = Vec::new();
        http::pass_on(head.headers, &["X-Not-Executed", "X-Instance-Id", "X-Cold-Time"], &mut headers);
        let not_run = http::header(head.headers, "X-Not-Executed").is_some();
        Heard::Mine(Said { not_run, headers })
    }

    fn ended(&self, ended: Ended<Servers<T>>) {
        let end = match ended.outcome {
            Ok(pool::Served { status, said, body }) => {
                End::Answered(Served { status, not_run: said.not_run, headers: said.headers, body })
            }
            Err(why) => {
                log::info!("{}.{}: {why}", ended.id, ended.attempt);
                End::Broken { reached: reached(&why) }
            }
        };
        (self.tell)(ended.id, ended.attempt, end);
    }
}

fn reached(why: &AttemptError) -> Reached {
    if why.never_ran() { Reached::NeverRan } else { Reached::MayHaveRun }
}
