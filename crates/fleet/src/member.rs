//! A gateway as a member: it registers, keeps its lease, and follows what is agreed. No I/O; its chance is seeded by
//! whoever makes it.
//!
//! The lease counts from when the member *asked*, by a clock that never runs backwards; the leader counts its own time
//! from when it heard, and an eighth longer. So a member knows its lease to be over before anybody else does.

use crate::Micros;
use crate::state::{Applied, CallId, Command, Life, State};
use crate::voter::{Request, Response};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

#[derive(Clone, Debug)]
pub struct Setup {
    pub name: String,
    pub life: Life,
    pub voter: bool,
    /// Names of the voters that the configuration gives, in its order.
    pub voters: Vec<String>,
    /// What a lease is expected to be until the group has told.
    pub lease_us: Micros,
    pub seed: u64,
}

/// First pause after a call that failed; doubled with each, to a cap that grows with the members: all that were cut off
/// at once come back as no wave.
const PAUSE_US: Micros = 50_000;
const PAUSE_A_MEMBER_US: Micros = 10_000;

/// What has changed for the gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Held {
        incarnation: u64,
    },
    /// The lease has run out, by the member's own clock or the group's word.
    Lost {
        incarnation: u64,
    },
    /// Another process of this name holds it.
    NameTaken {
        incarnation: u64,
    },
    Refused {
        why: String,
    },
    /// The copy of the state has come this far.
    Revision {
        revision: u64,
    },
}

/// A call to be sent to a voter.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    pub to: String,
    pub token: u64,
    pub request: Request,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Register,
    Renew,
    Fetch,
    Release,
}

#[derive(Debug)]
struct Under {
    token: u64,
    kind: Kind,
    asked_at: Micros,
    until: Micros,
}

/// Counters for `/_stats`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub calls: u64,
    pub failed: u64,
    pub renewed: u64,
    pub lost: u64,
}

pub struct Member {
    setup: Setup,
    rng: SmallRng,
    /// What is agreed, as far as it is known here.
    pub state: State,
    pub counts: Counts,
    incarnation: u64,
    lease_until: Micros,
    lease_us: Micros,
    told: u64,
    renew_at: Micros,
    pause_until: Micros,
    fails: u32,
    target: usize,
    hint: Option<String>,
    under: Option<Under>,
    token: u64,
    calls: u64,
    releasing: bool,
    released: bool,
    events: Vec<Event>,
}

impl Member {
    pub fn new(setup: Setup, now: Micros) -> Member {
        let mut rng = SmallRng::seed_from_u64(setup.seed);
        let target = rng.gen_range(0..setup.voters.len().max(1));
        let lease_us = setup.lease_us;
        // The first calls of members that start together are spread over a little time.
        let pause_until = now + rng.gen_range(0..PAUSE_US);
        Member {
            rng,
            state: State::default(),
            counts: Counts::default(),
            incarnation: 0,
            lease_until: 0,
            lease_us,
            told: 0,
            renew_at: 0,
            pause_until,
            fails: 0,
            target,
            hint: None,
            under: None,
            token: 0,
            calls: 0,
            releasing: false,
            released: false,
            events: Vec::new(),
            setup,
        }
    }

    /// The incarnation that is held now, if the lease has not run out by this clock.
    pub fn held(&self, now: Micros) -> Option<u64> {
        (self.incarnation > 0 && now < self.lease_until).then_some(self.incarnation)
    }

    pub fn lease_until(&self) -> Micros {
        self.lease_until
    }

    /// At an orderly end: gives the lease back, so that nobody has to wait for it to run out.
    pub fn release(&mut self) {
        self.releasing = true;
        self.pause_until = 0;
    }

    pub fn released(&self) -> bool {
        self.released
    }

    /// When [`Member::time`] wants to be called next, if nothing comes before.
    pub fn due(&self) -> Micros {
        let next = match &self.under {
            Some(u) => u.until,
            None if self.incarnation == 0 || self.releasing || self.told > self.state.revision => {
                self.pause_until
            }
            None => self.renew_at.max(self.pause_until),
        };
        if self.incarnation > 0 { next.min(self.lease_until) } else { next }
    }

    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Time has come to `now`: what to ask, if anything.
    pub fn time(&mut self, now: Micros) -> Option<Call> {
        if self.incarnation > 0 && now >= self.lease_until {
            self.lose();
        }
        if self.under.as_ref().is_some_and(|u| now >= u.until) {
            self.under = None;
            self.fail(now, None);
        }
        if self.under.is_some() || now < self.pause_until || self.released {
            return None;
        }
        let (kind, request) = if self.releasing {
            if self.incarnation == 0 {
                self.released = true;
                return None;
            }
            let (name, incarnation) = (self.setup.name.clone(), self.incarnation);
            (Kind::Release, self.change(Command::Expire { name, incarnation, released: true }))
        } else if self.incarnation == 0 {
            let Setup { name, life, voter, .. } = self.setup.clone();
            (Kind::Register, self.change(Command::Register { name, life, voter }))
        } else if now >= self.renew_at {
            (Kind::Renew, Request::Renew { name: self.setup.name.clone(), incarnation: self.incarnation })
        } else if self.told > self.state.revision {
            (Kind::Fetch, Request::Fetch { since: self.state.revision })
        } else {
            return None;
        };
        self.token += 1;
        self.counts.calls += 1;
        self.under = Some(Under { token: self.token, kind, asked_at: now, until: now + self.lease_us / 4 });
        let named = self.setup.voters.get(self.target % self.setup.voters.len().max(1));
        let to = self.hint.clone().or(named.cloned()).unwrap_or_default();
        Some(Call { to, token: self.token, request })
    }

    /// A fresh number each time: register and release may be carried out twice without harm, and an answer that is no
    /// longer true must not be given again.
    fn change(&mut self, command: Command) -> Request {
        self.calls += 1;
        let caller = self.setup.life.process ^ 0x6d65_6d62_6572; // apart from the operator's calls through this process
        Request::Change { id: CallId { caller, number: self.calls }, command }
    }

    /// A voter has answered the call of this token.
    pub fn answer(&mut self, now: Micros, token: u64, response: Response) {
        let Some(under) = self.under.take_if(|u| u.token == token) else { return };
        match (under.kind, response) {
            (Kind::Register, Response::Applied(Applied::Registered { incarnation })) => {
                self.incarnation = incarnation;
                self.lease_us = self.setup.lease_us;
                self.hold(now, under.asked_at);
                self.told = self.told.max(1);
                self.events.push(Event::Held { incarnation });
                self.well(now);
            }
            (Kind::Register, Response::Applied(Applied::NameTaken { incarnation })) => {
                self.events.push(Event::NameTaken { incarnation });
                self.pause(now);
            }
            (Kind::Register, Response::Applied(Applied::Refused { why }) | Response::Refused { why }) => {
                self.events.push(Event::Refused { why });
                self.pause(now);
            }
            (Kind::Renew, Response::Renewed { lease_us, revision }) => {
                self.lease_us = lease_us;
                self.hold(now, under.asked_at);
                self.counts.renewed += 1;
                self.told = self.told.max(revision);
                self.well(now);
            }
            (Kind::Renew, Response::NotHeld) => {
                self.lose();
                self.well(now);
            }
            (Kind::Fetch, Response::Changes(changes)) => {
                let before = self.state.revision;
                let revision = changes.revision;
                if self.state.follow(changes) && revision > before {
                    self.told = self.told.max(revision);
                    self.events.push(Event::Revision { revision });
                    self.well(now);
                    // More may have come than a page holds.
                    self.told = self.told.max(revision);
                } else {
                    self.told = self.state.revision;
                }
            }
            (Kind::Release, Response::Applied(_)) => {
                self.incarnation = 0;
                self.released = true;
            }
            (_, Response::NotLeader { leader }) => self.fail(now, leader),
            _ => self.fail(now, None),
        }
    }

    /// Whom the call of this token went to cannot be reached.
    pub fn unreachable(&mut self, now: Micros, token: u64) {
        if self.under.take_if(|u| u.token == token).is_some() {
            self.fail(now, None);
        }
    }

    /// Somebody said that the state has come this far: fetched without waiting for the next renewal.
    pub fn tip(&mut self, revision: u64) {
        self.told = self.told.max(revision);
    }

    fn hold(&mut self, now: Micros, asked_at: Micros) {
        self.lease_until = asked_at + self.lease_us;
        let third = self.lease_us / 3;
        self.renew_at = (asked_at + third).max(now) - self.rng.gen_range(0..third / 4 + 1).min(now);
    }

    fn lose(&mut self) {
        if self.incarnation > 0 {
            self.counts.lost += 1;
            self.events.push(Event::Lost { incarnation: self.incarnation });
            self.incarnation = 0;
        }
    }

    fn well(&mut self, now: Micros) {
        (self.fails, self.pause_until) = (0, now);
    }

    fn fail(&mut self, now: Micros, leader: Option<String>) {
        self.counts.failed += 1;
        // A leader that is named is asked at once, but for one that was just asked in vain.
        if leader.is_some() && leader != self.hint {
            (self.hint, self.pause_until) = (leader, now);
            return;
        }
        self.hint = None;
        self.target = self.target.wrapping_add(1) % self.setup.voters.len().max(1);
        self.pause(now);
    }

    fn pause(&mut self, now: Micros) {
        let members = self.state.members.len() as u64;
        let cap = (self.lease_us / 4).max(members * PAUSE_A_MEMBER_US);
        let pause = (PAUSE_US << self.fails.min(10)).min(cap).max(PAUSE_US);
        self.fails = self.fails.saturating_add(1);
        self.pause_until = now + self.rng.gen_range(pause / 2..pause + pause / 2);
    }
}
