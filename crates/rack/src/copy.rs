//! A copy of the agreed state that is kept up by news and passes news on.

use crate::state::{Command, Done, State};
use crate::talk::News;
use crate::{Micros, Rev};
use std::collections::VecDeque;

/// Commands kept for followers that come back.
const KEPT: usize = 512;

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
    /// No command after this one is missing from `kept`.
    kept_from: Rev,
}

impl Copy {
    pub fn of(state: State) -> Copy {
        Copy { kept_from: state.rev, state, kept: VecDeque::new() }
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
        self.kept.push_back((rev, command));
        if self.kept.len() > KEPT {
            self.kept_from = self.kept.pop_front().map_or(self.kept_from, |k| k.0);
        }
        done
    }

    /// Takes news in. A copy never goes back: what is older than it is passed over.
    pub fn take(&mut self, now: Micros, news: News) -> Took {
        match news {
            News::Whole(bytes) => match State::read(now, &bytes) {
                Ok(state) if state.rev > self.state.rev => {
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
        if rev < self.kept_from {
            return Some(News::Whole(whole()));
        }
        let commands = self.kept.iter().filter(|(at, _)| *at > rev).cloned().collect();
        Some(News::Run { from: rev, to, commands })
    }
}
