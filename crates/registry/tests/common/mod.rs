//! A registry whose store is played: what it proposes lands when the test says so.
#![allow(dead_code)] // each test file uses a part of it

use cluster::copy::Copy;
use cluster::state::{Command, Done, Node, NodeChange, Server, ServerChange};
use cluster::talk::{Down, FromStore, Gossip, News, Seen, ToStore, Unsure, Up, Usage};
use registry::board::{Board, Input, Output, Terms};
use registry::calls::Request;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

pub const SECOND: u64 = 1_000_000;
pub const BEAT: u64 = SECOND;
pub const ME: Ipv4Addr = Ipv4Addr::new(10, 9, 0, 4);
pub const OTHER: Ipv4Addr = Ipv4Addr::new(10, 9, 0, 5);

pub fn node(last: u8, zone: &str) -> Node {
    let (ip, region) = (Ipv4Addr::new(10, 9, 1, last), zone.split('-').next().expect("a region").to_string());
    Node { ip, name: format!("edge-{last}"), zone: zone.into(), region, front: (ip, 80).into() }
}

/// A proxy that is ready, in its only life here.
pub fn seen(last: u8, count: u64) -> Seen {
    Seen { ip: node(last, "north-a").ip, life: 9, count, ready: true, rev: 0, suspects: vec![] }
}

pub fn nodes(of: &[(u8, &str)]) -> Command {
    Command::Nodes(of.iter().map(|(last, zone)| NodeChange::Up(node(*last, zone))).collect())
}

pub fn server(id: &str, addr: &str) -> Command {
    let (service, zone) = ("heron".into(), "north-a".into());
    Command::Servers(vec![ServerChange::Up(Server {
        id: id.into(),
        service,
        addr: addr.parse().expect("an address"),
        zone,
        slots: 4,
        draining: false,
        cold_ms: 0,
        noted_at: 0,
    })])
}

/// With a tenant, reed, that has a quota of 20 a second.
pub fn config(version: u32) -> String {
    format!(
        r#"{{"config_version":"{version:08x}","limits":{{}},
        "route_list":{{"column_set":["entity_name","host_name","path_prefix","route_kind","service_ref",
        "deadline_ms"],"row_set":[["get","h","/","safe","heron",2000]]}},
        "service_list":{{"column_set":["entity_name"],"row_set":[["heron"]]}},
        "tenant_list":{{"column_set":["entity_name","access_keys","rate_per_s","burst_size"],
        "row_set":[["reed",["k1"],20,4]]}}}}"#
    )
}

pub fn beat(addr: &str, state: &str, sequence: u64, whole: bool) -> String {
    let about = r#""information":{"service_ref":"heron","zone_name":"north-a","slot_count":4},"#;
    format!(
        r#"{{"server_address":"{addr}",{}"status_report":{{"server_state":"{state}","call_sequence":{sequence}}}}}"#,
        if whole { about } else { "" }
    )
}

pub struct Registry {
    pub now: u64,
    pub board: Board,
    /// The store's copy; what lands, lands here first.
    pub store: Copy,
    pub proposed: Vec<(u64, Command)>,
    pub reads: Vec<u64>,
    /// Answers of calls that have not been looked at.
    pub answers: BTreeMap<u64, (u16, String)>,
    /// What the last input led to, other than the above.
    pub out: Vec<Output>,
    /// How the store stands, and the last time that it was asked; when it hangs, it does not answer.
    store_stands: (bool, bool),
    asked: u64,
    pub term: u64,
    pub store_hangs: bool,
    calls: u64,
}

impl Registry {
    pub fn new(commands: Vec<Command>) -> Registry {
        let zones = [("north-a", "north"), ("north-b", "north"), ("south-a", "south"), ("south-b", "south")];
        let terms = Terms {
            me: ME,
            zone: "north-a".into(),
            zones: zones.map(|(z, r)| (z.to_string(), r.to_string())).into(),
            beat_us: BEAT,
            ttl_s: 5.0,
            sync_us: 2 * SECOND,
            settle_us: 2 * SECOND,
            zones_lost: 1,
            repeat_us: 10 * SECOND,
        };
        let mut registry = Registry {
            now: SECOND,
            board: Board::new(terms, SECOND),
            store: Copy::default(),
            proposed: Vec::new(),
            reads: Vec::new(),
            answers: BTreeMap::new(),
            out: Vec::new(),
            store_stands: (true, false),
            asked: 0,
            term: 1,
            store_hangs: false,
            calls: 0,
        };
        registry.tell(Input::StoreUp);
        registry.stands(true, false);
        commands.into_iter().for_each(|c| _ = registry.lands(c));
        registry
    }

    pub fn tell(&mut self, input: Input) {
        let mut out = Vec::new();
        self.board.handle(self.now, input, &mut out);
        if !self.store_hangs && out.iter().any(|o| matches!(o, Output::Store(ToStore::Stand { .. }))) {
            let standing = self.standing(self.now);
            self.board.handle(self.now, Input::Store(standing), &mut out);
        }
        self.out.clear();
        for output in out {
            match output {
                Output::Answer(id, answer) => {
                    assert!(self.answers.insert(id, (answer.status, answer.body)).is_none(), "answered once");
                }
                Output::Store(ToStore::Propose { ticket, command }) => self.proposed.push((ticket, command)),
                Output::Store(ToStore::Duty { ticket, term, command }) => {
                    assert_eq!(term, self.term, "under the term in which the store said that it leads");
                    self.proposed.push((ticket, command));
                }
                Output::Store(ToStore::Read { ticket }) => self.reads.push(ticket),
                Output::Store(ToStore::Stand { asked }) => self.asked = asked,
                other => self.out.push(other),
            }
        }
    }

    fn standing(&self, asked: u64) -> FromStore {
        let (fresh, leads) = self.store_stands;
        let (core, fresh_ms, term) = (vec![ME, OTHER], fresh.then_some(0), self.term);
        FromStore::Standing { core, fresh_ms, leads, term, asked }
    }

    /// Time passes while the board is called whenever it wants to be.
    pub fn wait(&mut self, us: u64) {
        let (end, mut out) = (self.now + us, Vec::new());
        while self.now < end {
            self.now = self.board.wake_at().clamp(self.now, end);
            self.tell(Input::Tick);
            out.append(&mut self.out);
        }
        self.out = out;
    }

    /// Time passes while the registry is stopped; then it finds its timers due.
    pub fn freeze(&mut self, us: u64) {
        self.now += us;
    }

    /// Time passes while the board is called whenever it wants to be, and the other registry speaks of these servers.
    pub fn pass(&mut self, us: u64, servers: &[&str], nodes: &[u8]) {
        let end = self.now + us;
        let mut count = self.now;
        while self.now < end {
            count += 1;
            self.now = self.board.wake_at().clamp(self.now, (self.now + BEAT / 3).min(end));
            let servers = servers.iter().map(|id| (id.to_string(), count)).collect();
            let nodes = nodes.iter().map(|n| seen(*n, count)).collect();
            let zone = "south-a".to_string();
            let (usage, heads) = (Vec::new(), Vec::new());
            self.tell(Input::Peer(Gossip {
                ip: OTHER,
                zone,
                servers,
                nodes,
                usage,
                heads,
                leases: vec![],
                tallies: vec![],
                day_ms: None,
            }));
        }
    }

    pub fn stands(&mut self, fresh: bool, leads: bool) {
        self.store_stands = (fresh, leads);
        let standing = self.standing(self.asked);
        self.tell(Input::Store(standing));
    }

    /// A command lands and its news comes.
    pub fn lands(&mut self, command: Command) -> (u64, Done) {
        let (from, to) = (self.store.rev(), self.store.rev() + 1);
        let done = self.store.apply(self.now, to, Some(command.clone()));
        let news = News::Run { from, to, commands: vec![(to, command)] };
        self.tell(Input::Store(FromStore::News(news)));
        (to, done)
    }

    pub fn result(&mut self, ticket: u64, result: Result<(u64, Done), Unsure>) {
        self.tell(Input::Store(FromStore::Proposed { ticket, result }));
    }

    /// All that was proposed lands, and what follows from it.
    pub fn land(&mut self) {
        while !self.proposed.is_empty() {
            let (ticket, command) = self.proposed.remove(0);
            let landed = self.lands(command);
            self.result(ticket, Ok(landed));
        }
    }

    pub fn call(&mut self, method: &str, target: &str, if_match: Option<&str>, body: &str) -> u64 {
        self.calls += 1;
        let if_match = if_match.map(str::to_string);
        let request = Request { method: method.into(), target: target.into(), if_match, body: body.into() };
        self.tell(Input::Call(self.calls, request));
        self.calls
    }

    pub fn beat(&mut self, id: &str, addr: &str, state: &str, sequence: u64) -> u64 {
        self.call("PUT", &format!("/api/instances/{id}"), None, &beat(addr, state, sequence, true))
    }

    pub fn status(&mut self, call: u64) -> Option<u16> {
        self.answers.get(&call).map(|a| a.0)
    }

    pub fn servers(&self) -> Vec<&str> {
        self.board.copy.state.servers.keys().map(String::as_str).collect()
    }

    pub fn report(&mut self, link: u64, last: u8, count: u64, ready: bool, rev: u64) {
        let ip = node(last, "north-a").ip;
        let seen = vec![Seen { ip, life: 1, count, ready, rev, suspects: vec![] }];
        let usage = vec![Usage { ip, life: 1, count, tenants: Vec::new() }];
        self.tell(Input::Proxy(link, Up::Report { rev, head: None, seen, usage }));
    }

    /// The news that the last input brought a proxy: from where to where; 0: whole.
    pub fn fed(&self, link: u64) -> Option<(u64, u64)> {
        self.out.iter().find_map(|o| match o {
            Output::Proxy(l, Down::News(News::Run { from, to, .. })) if *l == link => Some((*from, *to)),
            Output::Proxy(l, Down::News(News::Whole(_))) if *l == link => Some((0, self.board.copy.rev())),
            _ => None,
        })
    }
}
