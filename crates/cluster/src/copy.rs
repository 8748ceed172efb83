//! A copy of the agreed state that is kept up by news and passes news on.

use crate::state::{Command, Done, State};
use crate::talk::News;
use crate::{Micros, Rev};
use std::collections::VecDeque;

/// Commands kept for followers that come back, and their bytes: a message has to hold them all.
const KEPT: usize = 512;
const KEPT_BYTES: usize = 1 << 20;
/// A run up to this is not compared with the whole state.
const SHORT: usize = 16 << 10;

/// What became of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Took {
    Changed,
    /// Nothing that was not known.
    Nothing,
    /// It begins after what is held: what lies between is missing.
    Gap,
    /// It cannot be read.
    Broken,
}

#[derive(Clone, Debug, Default)]
pub struct Copy {
    pub state: State,
    kept: VecDeque<(Rev, Command)>,
    /// About what they take on a link.
    kept_bytes: usize,
    /// No command after this one is missing from `kept`.
    kept_from: Rev,
}

impl Copy {
    pub fn of(state: State) -> Copy {
        Copy { kept_from: state.rev, state, kept: VecDeque::new(), kept_bytes: 0 }
    }

    pub fn rev(&self) -> Rev {
        self.state.rev
    }

    /// Carries out the command at `rev`; none: an entry of the log that says nothing of the state.
    pub fn apply(&mut self, now: Micros, rev: Rev, command: Option<Command>) -> Done {
        if rev <= self.state.rev {
            return Done::Taken;
        }
        let Some(command) = command else {
            self.state.rev = rev;
            return Done::Taken;
        };
        let done = self.state.apply(now, rev, &command);
        self.kept_bytes += command.size();
        self.kept.push_back((rev, command));
        while self.kept.len() > KEPT || self.kept_bytes > KEPT_BYTES {
            let Some((rev, command)) = self.kept.pop_front() else { break };
            (self.kept_from, self.kept_bytes) = (rev, self.kept_bytes - command.size());
        }
        done
    }

    /// Takes news in. A copy never goes back: what is older than it is passed over.
    pub fn take(&mut self, now: Micros, news: News) -> Took {
        match news {
            News::Whole(bytes) => match State::read(now, &bytes) {
                Ok(state) if state.rev > self.state.rev => {
                    log::info!("revision {}: a whole state, evacuated: {:?}", state.rev, state.evacuated);
                    *self = Copy::of(state);
                    Took::Changed
                }
                Ok(_) => Took::Nothing,
                Err(_) => Took::Broken,
            },
            News::Run { from, .. } if from > self.state.rev => Took::Gap,
            News::Run { to, commands, .. } => {
                let before = self.state.rev;
                for (rev, command) in commands {
                    self.apply(now, rev, Some(command));
                }
                self.state.rev = self.state.rev.max(to);
                if self.state.rev > before { Took::Changed } else { Took::Nothing }
            }
        }
    }

    /// What a follower needs that has come as far as `rev`; None: nothing.
    pub fn since(&self, now: Micros, rev: Rev) -> Option<News> {
        self.news(rev, || self.state.write(now))
    }

    /// The same for one that answers no operator.
    pub fn since_without_calls(&self, now: Micros, rev: Rev) -> Option<News> {
        self.news(rev, || self.state.write_without_calls(now))
    }

    fn news(&self, rev: Rev, whole: impl FnOnce() -> Vec<u8>) -> Option<News> {
        let to = self.state.rev;
        if rev >= to {
            return None;
        }
        let later = || self.kept.iter().filter(|(at, _)| *at > rev);
        let run: usize = later().map(|(_, command)| command.size()).sum();
        if rev < self.kept_from || run > SHORT {
            let whole = whole();
            // Hundreds of configurations are more than the one that came of them.
            if rev < self.kept_from || whole.len() < run {
                return Some(News::Whole(whole));
            }
        }
        Some(News::Run { from: rev, to, commands: later().cloned().collect() })
    }
}
