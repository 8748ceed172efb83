//! The shell of the store of configuration: links, disk and time around `config_store::chest`.

use cluster::talk::{STORE_LOCAL, STORE_PEERS, ToStore};
use config_store::chest::{Chest, Input, Output, Peer, Standing};
use consensus::disk::Store;
use consensus::{Saved, Write};
use miette::{Result, miette};
use net::Micros;
use runtime::link::{Event, Line, SILENCE, Tie};
use runtime::turn::{Inbox, Machine};
use runtime::{Asked, Start};
use settings::settings::Settings;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// Between tries of a write that the disk refused.
const REFUSED: Duration = Duration::from_millis(250);

enum Told {
    FellowLink(Ipv4Addr, u64, Event<Peer>),
    FellowTaken(Line),
    FellowSays(u64, Event<Peer>),
    LocalTaken(Line),
    LocalSays(u64, Event<ToStore>),
    Written(u64),
    Asked(Asked),
}

fn main() -> ExitCode {
    runtime::run("curlewfront-config-store", "Keeps what curlewfront's machines agree on", work)
}

/// So many that a majority is left when those are lost whose loss is to be borne; none: not told.
fn core_size(settings: &Settings) -> Option<usize> {
    let losses = usize::try_from(settings.tolerance.machines).ok().filter(|f| *f > 0)?;
    Some(losses.saturating_mul(2).saturating_add(1))
}

fn work(mut start: Start) -> Result<()> {
    let stage = start.stage::<Told>()?;
    let inbox = stage.inbox.clone();
    let (me, seeds) = (start.settings.ip, start.seeds());
    let dir = start.settings.data_directory.clone();
    let dir = dir.ok_or_else(|| miette!("self_node.data_directory: the store needs a disk"))?;
    let founds = start.settings.initial_start && seeds.contains(&me);
    let (life, founders) = (start.life, seeds.clone());
    let fresh = move || match founds {
        true => (0, Saved::founding(founders.clone())),
        false => (life, Saved::blank()),
    };
    let (store, saved) = Store::open(&dir, me, fresh).map_err(|e| miette!("{e}"))?;
    let now = stage.clock.now();
    let chest = Chest::new(me, store.disk(), saved, seeds.clone(), start.life, now);
    let mut chest = chest.map_err(|e| miette!("{}: {e}", dir.display()))?;
    let mut out = Vec::new();
    chest.handle(now, Input::Settings { size: core_size(&start.settings), seeds }, &mut out);
    log::info!("disk {} at revision {}", chest.disk(), chest.copy.rev());

    let (writes, to_write) = channel();
    write(store, dir, me, to_write, inbox.clone())?;
    let peers_port = start.listen(STORE_PEERS, &inbox, Told::FellowTaken, Told::FellowSays)?.port();
    start.listen(STORE_LOCAL, &inbox, Told::LocalTaken, Told::LocalSays)?;
    let posts = inbox.clone();
    start.watch(move |asked| posts.post(Told::Asked(asked)))?;

    let (over, ended) = channel();
    let (fellows, taken, locals) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
    let shell = Shell {
        chest,
        me,
        peers_port,
        fellows,
        taken,
        locals,
        writes,
        inbox,
        out,
        over,
        stood: Standing::default(),
    };
    stage.work(shell, &ended)
}

/// Writes on a thread of its own: a disk may take long. A write that is refused is tried again, on the store opened
/// anew, until it is taken: what was acknowledged rests on it.
fn write(
    store: Store,
    dir: PathBuf,
    me: Ipv4Addr,
    writes: Receiver<Write>,
    inbox: Inbox<Told>,
) -> Result<()> {
    let thread = std::thread::Builder::new().name("disk".into()).stack_size(256 * 1024);
    let started = thread.spawn(move || {
        let mut store = Some(store);
        for write in writes {
            loop {
                let done = match &store {
                    Some(open) => open.write(&write),
                    None => Err(consensus::disk::DiskError {
                        file: dir.clone(),
                        what: "cannot be opened again".into(),
                        full: false,
                    }),
                };
                let Err(why) = done else { break };
                log::error!("{why}");
                runtime::ring::write_out("the disk refuses a write");
                std::thread::sleep(REFUSED);
                drop(store.take());
                // It was made long ago: there is nothing to begin with.
                store = Store::open(&dir, me, || (0, Saved::blank())).ok().map(|(open, _)| open);
            }
            inbox.post(Told::Written(write.number));
        }
    });
    started.map(|_| ()).map_err(|e| miette!("cannot start a thread: {e}"))
}

struct Shell {
    chest: Chest,
    me: Ipv4Addr,
    peers_port: u16,
    fellows: BTreeMap<Ipv4Addr, Tie>,
    /// Links that fellows opened: who is at the other end, once told.
    taken: BTreeMap<u64, (Line, Option<Ipv4Addr>)>,
    locals: BTreeMap<u64, Line>,
    writes: Sender<Write>,
    inbox: Inbox<Told>,
    out: Vec<Output>,
    over: Sender<()>,
    stood: Standing,
}

impl Machine for Shell {
    type Told = Told;

    fn take(&mut self, now: Micros, told: Option<Told>) {
        let input = match told {
            None => Some(Input::Tick),
            Some(Told::FellowLink(ip, link, event)) => {
                let iam = Peer::Iam { ip: self.me, disk: self.chest.disk() };
                if let Some(tie) = self.fellows.get_mut(&ip) {
                    match event {
                        Event::Up if tie.rose(link) => tie.send(&iam),
                        Event::Down => {
                            tie.fell(now, link);
                        }
                        _ => {}
                    }
                }
                None
            }
            Some(Told::FellowTaken(line)) => {
                self.taken.insert(line.number, (line, None));
                None
            }
            Some(Told::FellowSays(link, Event::Got(Peer::Iam { ip, .. }))) => {
                if let Some(taken) = self.taken.get_mut(&link) {
                    taken.1 = Some(ip);
                }
                if let Some(tie) = self.fellows.get_mut(&ip) {
                    tie.called(now);
                }
                None
            }
            Some(Told::FellowSays(link, Event::Got(peer))) => {
                let from = self.taken.get(&link).and_then(|t| t.1);
                from.map(|ip| Input::Peer(ip, peer))
            }
            Some(Told::FellowSays(link, Event::Down)) => {
                self.taken.remove(&link);
                None
            }
            Some(Told::LocalTaken(line)) => {
                self.locals.insert(line.number, line);
                None
            }
            Some(Told::LocalSays(link, Event::Got(message))) => Some(Input::Local(link, message)),
            Some(Told::LocalSays(link, Event::Down)) => {
                self.locals.remove(&link);
                Some(Input::LocalDown(link))
            }
            Some(Told::FellowSays(_, Event::Up) | Told::LocalSays(_, Event::Up)) => None,
            Some(Told::Written(number)) => Some(Input::Written(number)),
            Some(Told::Asked(Asked::Stop)) => Some(Input::Stop),
            Some(Told::Asked(Asked::Settings(settings))) => {
                Some(Input::Settings { size: core_size(&settings), seeds: runtime::seeds(&settings) })
            }
        };
        if let Some(input) = input {
            self.chest.handle(now, input, &mut self.out);
            let stands = self.chest.standing();
            if stands != self.stood {
                log::info!("{stands}");
                self.stood = stands;
                if let Some(why) = self.chest.unreadable() {
                    log::error!("{why}; start the program of the other stores on this disk");
                    runtime::ring::write_out("what the others agree on cannot be read");
                }
            }
        }
        for output in std::mem::take(&mut self.out) {
            match output {
                Output::Peer(ip, peer) => {
                    let port = self.peers_port;
                    let tie = self.fellows.entry(ip).or_insert_with(|| Tie::new((ip, port).into()));
                    tie.send(&peer);
                }
                Output::Local(link, message) => {
                    if let Some(line) = self.locals.get(&link) {
                        line.send(&message);
                    }
                }
                // The thread lives as long as the program.
                Output::Write(write) => drop(self.writes.send(write)),
            }
        }
        let port = self.peers_port;
        for ip in self.chest.fellows() {
            self.fellows.entry(ip).or_insert_with(|| Tie::new((ip, port).into()));
        }
        // Also to those that are no fellows yet: a leader brings a newcomer up to date before it is one.
        for (ip, tie) in &mut self.fellows {
            let (ip, inbox) = (*ip, self.inbox.clone());
            tie.tend(now, SILENCE, move |link, event| inbox.post(Told::FellowLink(ip, link, event)));
        }
        if self.chest.ends_at().is_some_and(|at| now >= at) {
            let _ = self.over.send(());
        }
    }

    fn wake_at(&mut self) -> Micros {
        let ties = self.fellows.values().map(Tie::wake_at).min().unwrap_or(Micros::MAX);
        self.chest.wake_at().min(ties)
    }
}
