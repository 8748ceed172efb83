//! Stranger troubles: servers that are ill though they say that they are well, that go and come by turns or forget
//! connections; machines that are ended in turn; settings files that change; clients that move; operators whose
//! answers are lost or whose calls come twice.

use crate::net::{ConnId, Worked};
use crate::record::Host;
use crate::rollout::{self, Rollout};
use crate::scenario::{What, Words};
use crate::world::{Ev, World};
use crate::{Micros, SECOND};
use miette::{Result, miette};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// What an ill server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ill {
    /// Runs it and answers with a failure.
    Errors,
    /// Turns it away.
    Shed,
    /// Runs it and says nothing.
    Hang,
    /// Runs it and ends the connection.
    Reset,
    /// Runs it and breaks its answer off, or spoils it.
    Garble,
    /// Runs it and answers twice: right behind, or in the place of the next answer.
    Extra,
}

#[derive(Clone, Debug)]
pub enum Odd {
    /// So many in a hundred requests meet with it; of all callers, or of one zone's.
    Grey { server: String, how: Ill, part: f64, last: Micros, zone: Option<String> },
    /// Down and up by turns.
    Flap { server: String, every: Micros, last: Micros },
    /// Connections that have rested so long are forgotten without a word.
    Forget { server: String, after: Micros, last: Micros },
    /// A server resets so many in a hundred of its connections.
    Reset { server: String, part: f64 },
    /// Machines stand still and then go on.
    Freeze { who: String, last: Micros },
    /// Machines get SIGTERM one after the other, so many at a time.
    Roll { who: String, by: usize, every: Micros, back: Micros },
    /// Settings files name these machines from now on, and these processes are told so.
    Settings { who: String, seeds: Vec<String> },
    /// So many in a hundred of a zone's clients are in another from now on.
    Move { part: f64, from: String, to: String },
    /// So many operators change the configuration at once, each with a pause between.
    Storm { operators: usize, gap: Micros, last: Micros },
    /// So many in a hundred answers to operators are lost.
    LoseAcks { part: f64, last: Micros },
    /// Of so many in a hundred changes a copy comes late, to any machine.
    Copies { part: f64, late: Micros, last: Micros },
    /// So many in a hundred clients try again at once and often.
    Hasty { part: f64, last: Micros },
    /// A machine of the core is gone for good; an empty one comes in its place, at another address.
    ReplaceCore { who: String, after: Micros },
    /// An operator has a service moved to another version of its servers.
    Rollout(Rollout),
}

pub(crate) fn read(word: &str, w: &mut Words) -> Result<Option<Odd>> {
    Ok(Some(match word {
        "hasty" => Odd::Hasty { part: w.number("the part")? / 100.0, last: w.last()? },
        "replace-core" => {
            let who = w.next("who")?.to_string();
            w.must("after")?;
            Odd::ReplaceCore { who, after: w.seconds("after")? }
        }
        "rollout" => Odd::Rollout(rollout::read(w)?),
        "storm" => {
            let operators = w.number("operators")? as usize;
            w.must("every")?;
            Odd::Storm { operators, gap: w.seconds("every")?, last: w.last()? }
        }
        "lose-acks" => Odd::LoseAcks { part: w.number("the part")? / 100.0, last: w.last()? },
        "copies" => {
            let part = w.number("the part")? / 100.0;
            w.must("late")?;
            Odd::Copies { part, late: w.seconds("late")?, last: w.last()? }
        }
        "grey" => {
            let server = w.next("the server")?.to_string();
            let how = match w.next("how")? {
                "errors" => Ill::Errors,
                "shed" => Ill::Shed,
                "hang" => Ill::Hang,
                "reset" => Ill::Reset,
                "garble" => Ill::Garble,
                "extra" => Ill::Extra,
                other => {
                    return Err(miette!("{other:?} is none of errors, shed, hang, reset, garble, extra"));
                }
            };
            let (part, last) = (w.number("the part")? / 100.0, w.last()?);
            let zone = if w.take("to") { Some(w.next("the zone")?.to_string()) } else { None };
            Odd::Grey { server, how, part, last, zone }
        }
        "flap" => {
            let server = w.next("the server")?.to_string();
            w.must("every")?;
            Odd::Flap { server, every: w.seconds("every")?, last: w.last()? }
        }
        "forget" => {
            let server = w.next("the server")?.to_string();
            w.must("after")?;
            Odd::Forget { server, after: w.seconds("after")?, last: w.last()? }
        }
        "reset" => {
            let server = w.next("the server")?.to_string();
            Odd::Reset { server, part: w.number("the part")? / 100.0 }
        }
        "freeze" => Odd::Freeze { who: w.next("who")?.to_string(), last: w.last()? },
        "roll" => {
            let who = w.next("who")?.to_string();
            w.must("by")?;
            let by = w.number("by")?.max(1.0) as usize;
            w.must("every")?;
            Odd::Roll { who, by, every: w.seconds("every")?, back: w.back()? }
        }
        "settings" => {
            let who = w.next("who")?.to_string();
            w.must("name")?;
            Odd::Settings { who, seeds: w.rest() }
        }
        "move" => {
            let part = w.number("the part")? / 100.0;
            w.must("from")?;
            let from = w.next("the zone")?.to_string();
            w.must("to")?;
            Odd::Move { part, from, to: w.next("the zone")?.to_string() }
        }
        _ => return Ok(None),
    }))
}

/// What is odd about a server's life.
#[derive(Default)]
pub struct Oddness {
    /// How, how often, until when, and for callers of which zone.
    grey: Option<(Ill, f64, Micros, Option<usize>)>,
    /// Rests that are too long, until when.
    forgets: Option<(Micros, Micros)>,
    /// When a connection was last used.
    pub rested: BTreeMap<ConnId, Micros>,
    /// Connections whose answer is to be spoiled, or comes twice; second answers that are still to come.
    pub garbles: BTreeSet<ConnId>,
    pub doubles: BTreeSet<ConnId>,
    pub owed: BTreeMap<ConnId, Rc<Worked>>,
}

impl Oddness {
    /// Whether a request by chance meets with an illness.
    /// How a request from that zone may fare, and which part of them does.
    pub fn grey(&self, now: Micros, from: usize) -> Option<(Ill, f64)> {
        let (how, part, until, zone) = self.grey?;
        (now < until && zone.is_none_or(|z| z == from)).then_some((how, part))
    }

    pub fn forgot(&mut self, now: Micros, conn: ConnId) -> bool {
        let before = self.rested.remove(&conn);
        self.forgets.is_some_and(|(after, until)| now < until && before.is_some_and(|at| now > at + after))
    }
}

impl World {
    fn zone_named(&self, name: &str) -> usize {
        let found = self.zones.iter().position(|z| z.0 == name);
        found.unwrap_or_else(|| panic!("the scenario names the zone {name:?}, which is not there"))
    }

    pub fn odd(&mut self, odd: Odd) {
        let now = self.now;
        match odd {
            Odd::Grey { server, how, part, last, zone } => {
                let zone = zone.map(|z| self.zone_named(&z));
                for place in self.places_named(&server) {
                    if let Some(s) = &mut self.places[place].server {
                        s.odd.grey = Some((how, part, now + last, zone));
                    }
                }
            }
            Odd::Flap { server, every, last } => {
                let (mut at, back) = (now, Some(every / 2));
                while at < now + last {
                    let crash = What::Crash { server: server.clone(), dark: false, back };
                    self.at(at, Ev::Do(Box::new(crash)));
                    at += every.max(SECOND / 10);
                }
            }
            Odd::Forget { server, after, last } => {
                for place in self.places_named(&server) {
                    if let Some(s) = &mut self.places[place].server {
                        s.odd.forgets = Some((after, now + last));
                    }
                }
            }
            Odd::Reset { server, part } => {
                for place in self.places_named(&server) {
                    self.reset_some(place, part);
                }
            }
            Odd::Freeze { who, last } => {
                let hosts = self.hosts_named(&who);
                self.trouble(hosts.iter().copied(), last, false, "freeze");
                for host in hosts {
                    let until = self.frozen.entry(host).or_default();
                    *until = (*until).max(now + last);
                }
            }
            Odd::Roll { who, by, every, back } => {
                let cores = self.record.cores;
                let name = |h: Host| match h < cores {
                    true => format!("core{}", h + 1),
                    false => format!("edge{}", h - cores + 1),
                };
                let machines = cores + self.proxies.len();
                let hosts: Vec<Host> = self.hosts_named(&who).into_iter().filter(|h| *h < machines).collect();
                for (turn, hosts) in hosts.chunks(by).enumerate() {
                    for host in hosts {
                        let term = What::Term { who: name(*host), back };
                        self.at(now + turn as Micros * every, Ev::Do(Box::new(term)));
                    }
                }
            }
            Odd::Settings { who, seeds } => {
                let hosts = seeds.iter().flat_map(|s| self.hosts_named(s)).collect::<Vec<Host>>();
                self.seeds = hosts.into_iter().map(|h| self.hosts[h].ip).collect();
                for owner in self.owners_named(&who) {
                    self.reseed(owner);
                }
            }
            Odd::Hasty { part, last } => self.hasty = (part, now + last),
            Odd::ReplaceCore { who, after } => self.replace_core(&who, after),
            Odd::Rollout(rollout) => self.rollout_begins(&rollout),
            Odd::Storm { operators, gap, last } => self.storm(operators, gap, last),
            Odd::LoseAcks { part, last } => self.operators.loses = (part, now + last),
            Odd::Copies { part, late, last } => self.operators.copies = (part, late, now + last),
            Odd::Move { part, from, to } => {
                let (from, to) = (self.zone_named(&from), self.zone_named(&to));
                for n in 0..self.clients.len() {
                    if self.clients[n].zone == from && self.chance(100 + n as u64).f64() < part {
                        self.clients[n].zone = to;
                    }
                }
            }
        }
    }
}
