//! The proxies that follow a copy, at a registry or at a relay: what each was sent, and what it still lacks.

use crate::copy::Copy;
use crate::state::Node;
use crate::talk::{Down, News};
use crate::{Micros, Rev};
use std::collections::BTreeMap;

pub struct Follower {
    pub node: Node,
    /// How far it was sent the news.
    rev: Rev,
    /// It told to be behind that when it last reported.
    behind: Option<Rev>,
}

impl Follower {
    pub fn rev(&self) -> Rev {
        self.behind.unwrap_or(self.rev)
    }
}

#[derive(Default)]
pub struct Followers {
    links: BTreeMap<u64, Follower>,
}

impl Followers {
    /// One that is ahead of the copy keeps what it has, and hears of news from there on.
    pub fn hello(&mut self, link: u64, node: Node, rev: Rev) {
        self.links.insert(link, Follower { node, rev, behind: None });
    }

    pub fn gone(&mut self, link: u64) -> Option<Follower> {
        self.links.remove(&link)
    }

    /// How far a follower says it has come. One that stays behind what it was sent is sent it again from
    /// there.
    pub fn reported(&mut self, link: u64, rev: Rev) -> Option<&Follower> {
        let f = self.links.get_mut(&link)?;
        if rev > f.rev || (rev < f.rev && f.behind == Some(rev)) {
            f.rev = rev;
        }
        f.behind = (rev < f.rev).then_some(rev);
        Some(f)
    }

    /// Tells each what it was not sent yet.
    pub fn feed(&mut self, now: Micros, copy: &Copy, mut tell: impl FnMut(u64, Down)) {
        // Most have come equally far.
        let mut last: Option<(Rev, News)> = None;
        for (link, f) in self.links.iter_mut().filter(|(_, f)| f.rev < copy.rev()) {
            if last.as_ref().is_none_or(|(from, _)| *from != f.rev) {
                last = copy.since_without_calls(now, f.rev).map(|news| (f.rev, news));
            }
            if let Some((_, news)) = &last {
                f.rev = copy.rev();
                tell(*link, Down::News(news.clone()));
            }
        }
    }

    pub fn links(&self) -> impl Iterator<Item = u64> + '_ {
        self.links.keys().copied()
    }

    pub fn iter(&self) -> impl Iterator<Item = (u64, &Follower)> {
        self.links.iter().map(|(link, f)| (*link, f))
    }

    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }
}
