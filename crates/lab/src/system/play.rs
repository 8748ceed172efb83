//! What is done to processes and servers in a day, as the scenario has it.

use super::clients::Clients;
use super::log::{Log, lock};
use super::machines::{Machines, Process};
use super::operator::Operator;
use super::servers::Servers;
use super::watcher::{once_applied, running_proxies};
use super::{MS, SECOND, all};
use settings::scheme::Program;
use simulator::Micros;
use simulator::odd::Odd;
use simulator::plan::Wish;
use simulator::record::Closing;
use simulator::scenario::{Scenario, What};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinSet;

const PROBES_AT_ONCE: usize = 16;

/// A path on which a change shows.
fn shown_by(wish: &Wish) -> String {
    match wish {
        Wish::Shift { route, .. }
        | Wish::Split { route, .. }
        | Wish::Homes { route, .. }
        | Wish::AddRoute { route, .. }
        | Wish::RemoveRoute { route }
        | Wish::SwapNames { one: route, .. } => format!("/{route}/"),
        _ => "/never-was/".to_string(),
    }
}

/// What waits until something has come about.
pub struct Armed {
    waiting: Mutex<Vec<(String, What)>>,
    to: UnboundedSender<What>,
}

impl Armed {
    pub fn new(to: UnboundedSender<What>) -> Armed {
        Armed { waiting: Mutex::default(), to }
    }

    pub fn fire(&self, event: &str) {
        let mut waiting = lock(&self.waiting);
        for (_, what) in waiting.extract_if(.., |(e, _)| e == event) {
            let _ = self.to.send(what);
        }
    }
}

pub struct Player {
    pub log: Arc<Log>,
    pub machines: Arc<Machines>,
    pub servers: Arc<Servers>,
    pub clients: Arc<Clients>,
    pub operator: Arc<Operator>,
    pub armed: Arc<Armed>,
    pub grace: Duration,
    pub config_apply: Micros,
    /// Changes are looked for at every proxy.
    pub probes: bool,
    /// How often settings files have changed.
    pub hangups: AtomicUsize,
}

/// Whether real processes on one machine can play it; else what they cannot.
pub fn fits(s: &Scenario, zones: &[String]) -> Result<(), String> {
    fn one(what: &What, s: &Scenario, zones: &[String]) -> Result<(), String> {
        let server = |who: &str| {
            let number = |(name, n): &(String, usize)| {
                who == name || who.strip_prefix(name.as_str()).is_some_and(|k| in_count(k, *n))
            };
            s.servers.iter().any(number).then_some(()).ok_or_else(|| format!("there is no server {who:?}"))
        };
        let process = |who: &str| {
            let plain = ["leader", "followers", "cores", "edges", "machines", "servers", "all"];
            let number = |class: &str, n: usize| who.strip_prefix(class).is_some_and(|k| in_count(k, n));
            let known = plain.contains(&who)
                || ["core", "store", "registry"].iter().any(|c| number(c, s.cores.len()))
                || number("edge", s.edges)
                || who.strip_prefix("zone:").is_some_and(|z| zones.iter().any(|known| known == z));
            known.then_some(()).ok_or_else(|| format!("there is no {who:?} among the processes"))
        };
        match what {
            What::Cut { .. } => Err("cuts are played on simulated time only: see docs/lab/system.md".into()),
            What::SlowDisk { .. } => Err("slow disks are played on simulated time only".into()),
            What::Kill { who, .. } | What::Power { who, .. } | What::Wipe { who, .. } => process(who),
            What::Term { who, .. } | What::Stall { who, .. } | What::Hangup { who } => process(who),
            What::Odd(Odd::Roll { who, .. }) => process(who),
            What::Crash { dark: true, .. } => Err("a dark machine is played on simulated time only".into()),
            What::Crash { server: who, .. } | What::Replace { server: who, .. } => server(who),
            What::Drain { server: who, .. } | What::Cold { server: who } => server(who),
            What::Lose { server: who, .. } | What::Slow { server: who, .. } => server(who),
            What::Pause { server: who, .. } => server(who),
            What::When { then, .. } => one(then, s, zones),
            What::Closing(then) => one(then, s, zones),
            What::Odd(_) => Err("stranger troubles are played on simulated time only".into()),
            What::Clock { .. } | What::Crowd { .. } | What::OneNode { .. } => {
                Err("clocks that jump, crowds and faults set by hand are played on simulated time only"
                    .into())
            }
            What::Change { wish, .. } if !wish.configures() && !matches!(wish, Wish::Evacuate { .. }) => {
                Err("bookings and drills are played on simulated time only".into())
            }
            What::Change { .. } | What::Hot { .. } => Ok(()),
        }
    }
    s.events.iter().try_for_each(|(at, what)| {
        one(what, s, zones).map_err(|why| format!("at {} s: {why}", *at as f64 / 1e6))
    })
}

fn in_count(text: &str, n: usize) -> bool {
    text.parse::<usize>().is_ok_and(|k| (1..=n).contains(&k))
}

impl Player {
    /// Just after a loss there may be none for a moment.
    async fn leader(&self) -> Option<usize> {
        for _ in 0..50 {
            if let Some(leader) = self.machines.leader().await {
                return Some(leader);
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        None
    }

    /// Own processes by the names that scenarios use.
    async fn named(&self, who: &str) -> Vec<&Process> {
        let (all, cores) = (&self.machines.processes, self.machines.cores());
        let leader = match who {
            "leader" | "followers" => self.leader().await,
            _ => None,
        };
        let number = |class: &str| who.strip_prefix(class).and_then(|k| k.parse::<usize>().ok());
        let picks = |p: &&Process| match who {
            "leader" => Some(p.host) == leader,
            "followers" => p.host < cores && Some(p.host) != leader,
            "cores" => p.host < cores,
            "edges" => p.host >= cores,
            "machines" | "all" => true,
            _ => match (number("core"), number("edge"), number("store"), number("registry")) {
                (Some(n), ..) => p.host == n - 1,
                (_, Some(n), ..) => p.host == cores + n - 1,
                (.., Some(n), _) => p.host == n - 1 && p.program == Program::Store,
                (.., Some(n)) => p.host == n - 1 && p.program == Program::Registry,
                _ => who.strip_prefix("zone:") == Some(p.zone.as_str()),
            },
        };
        all.iter().filter(picks).collect()
    }

    /// Servers that go down with the machines of this name.
    fn servers_named(&self, who: &str) -> Vec<usize> {
        match (who, who.strip_prefix("zone:")) {
            ("servers" | "all", _) => (0..self.servers.places.len()).collect(),
            (_, Some(zone)) => self.servers.in_zone(zone),
            _ => Vec::new(),
        }
    }

    async fn fall(&self, who: &str, back: Micros, wiped: bool) {
        let places = self.servers_named(who);
        places.iter().for_each(|n| self.servers.end(*n));
        let which = self.named(who).await;
        if which.is_empty() && places.is_empty() {
            return self.log.note(format!("nobody is {who:?} just now"));
        }
        if which.is_empty() {
            tokio::time::sleep(Duration::from_micros(back)).await;
        } else {
            self.machines.fall(&self.log, &which, back, wiped).await;
        }
        for n in places {
            self.servers.start(n, None, true).await;
        }
    }

    /// Does one thing, to its end.
    pub async fn act(self: Arc<Self>, what: What) {
        match what {
            What::Kill { who, back } | What::Power { who, back } => self.fall(&who, back, false).await,
            What::Wipe { who, back } => self.fall(&who, back, true).await,
            What::Term { who, back } => {
                let rolls = self.named(&who).await;
                let rolls = rolls.into_iter().map(|p| self.machines.roll(&self.log, p, self.grace, back));
                all(rolls).await;
            }
            What::Hangup { who } => {
                let which = self.named(&who).await;
                let turned = self.hangups.fetch_add(1, Relaxed);
                self.machines.hang_up(&self.log, &which, turned).await;
            }
            What::Odd(Odd::Roll { who, by, every, back }) => self.roll(&who, by, every, back).await,
            What::Stall { who, last } => {
                let which = self.named(&who).await;
                self.machines.stall(&self.log, &which, last).await;
            }
            What::Change { wish, rival } => {
                let path = shown_by(&wish);
                if self.operator.wish(wish, rival).await && self.probes {
                    self.probe(&path).await;
                }
            }
            What::Crash { server, back, .. } => {
                let places = self.servers.named(&server);
                places.iter().for_each(|n| self.servers.end(*n));
                if let Some(back) = back {
                    self.back(places, None, back).await;
                }
            }
            What::Replace { server, service, after } => {
                let places = self.servers.named(&server);
                places.iter().for_each(|n| self.servers.end(*n));
                self.back(places, Some(service), after).await;
            }
            What::Drain { server, back } => {
                let places = self.servers.named(&server);
                let drains = places.iter().map(|n| async {
                    self.servers.drain(*n).await;
                    self.armed.fire("drain");
                });
                all(drains).await;
                if let Some(back) = back {
                    self.back(places, None, back).await;
                }
            }
            What::Cold { server } => {
                for n in self.servers.named(&server) {
                    self.servers.chill(n).await;
                }
            }
            What::Lose { server, last } => {
                self.log.note(format!("answers of {server} are lost"));
                self.servers.named(&server).into_iter().for_each(|n| self.servers.lose(n, last));
            }
            What::Pause { server, last } => {
                self.log.note(format!("answers of {server} pause"));
                self.servers.named(&server).into_iter().for_each(|n| self.servers.pause(n, last));
            }
            What::Slow { server, last } => {
                self.log.note(format!("{server} slow"));
                self.servers.named(&server).into_iter().for_each(|n| self.servers.slow(n, last));
            }
            What::Hot { tenant, times, last } => {
                self.log.note(format!("tenant {tenant} asks {times} times as much"));
                *lock(&self.clients.hot) = (tenant, self.log.now() + last, times);
            }
            What::When { event, then } => lock(&self.armed.waiting).push((event, *then)),
            What::Closing(then) => {
                let at = self.log.now();
                Box::pin(self.clone().act(*then)).await;
                let back = self.log.now() + SECOND;
                self.log.book().closing = Some(Closing { at, back });
            }
            // Refused before the day began.
            What::Cut { .. } | What::SlowDisk { .. } => {}
            What::Clock { .. } | What::Crowd { .. } | What::OneNode { .. } | What::Odd(_) => {}
        }
    }

    /// SIGTERM to machines in turn, `by` at a time; the next do not wait for the ones before.
    async fn roll(&self, who: &str, by: usize, every: Micros, back: Micros) {
        let which = self.named(who).await;
        let groups = which.chunks(by.max(1)).enumerate().map(|(n, group)| async move {
            tokio::time::sleep(Duration::from_micros(every * n as Micros)).await;
            all(group.iter().map(|p| self.machines.roll(&self.log, p, self.grace, back))).await;
        });
        all(groups).await;
    }

    /// Once a change binds, a request at each proxy that shows whether it is in force there.
    async fn probe(&self, path: &str) {
        tokio::time::sleep(once_applied(self.config_apply)).await;
        let mut open = JoinSet::new();
        for (n, process) in running_proxies(&self.machines).enumerate() {
            if open.len() >= PROBES_AT_ONCE {
                open.join_next().await;
            }
            open.spawn(self.clients.clone().probe(self.machines.front(process), format!("{path}p{n}")));
        }
        while open.join_next().await.is_some() {}
    }

    async fn back(&self, places: Vec<usize>, service: Option<String>, after: Micros) {
        tokio::time::sleep(Duration::from_micros(after.max(MS))).await;
        for n in places {
            self.servers.start(n, service.clone(), true).await;
        }
    }
}
