//! A registry with a simulated store: what the registry proposes commits when the test says so.
#![allow(dead_code)] // each test file uses a part of it

use cluster::copy::Copy;
use cluster::state::{Command, Done, Node, NodeChange, Server, ServerChange};
use cluster::talk::{Down, FromStore, Gossip, News, Seen, ToStore, Unsure, Up, Usage};
use registry::calls::Request;
use registry::control_plane::{ControlPlane, Input, Output, Parameters};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// In microseconds, as all times here.
pub const SECOND: u64 = 1_000_000;
pub const HEARTBEAT: u64 = SECOND;
pub const OWN_IP: Ipv4Addr = Ipv4Addr::new(10, 9, 0, 4);
pub const PEER_IP: Ipv4Addr = Ipv4Addr::new(10, 9, 0, 5);

pub fn node(last: u8, zone: &str) -> Node {
    let (ip, region) = (Ipv4Addr::new(10, 9, 1, last), zone.split('-').next().expect("a region").to_string());
    Node { ip, name: format!("edge-{last}"), zone: zone.into(), region, front: (ip, 80).into() }
}

/// The report of a proxy that is ready and has not been restarted.
pub fn proxy_report(last: u8, count: u64) -> Seen {
    Seen { ip: node(last, "north-a").ip, life: 9, count, ready: true, rev: 0, suspects: vec![] }
}

pub fn add_nodes(of: &[(u8, &str)]) -> Command {
    Command::Nodes(of.iter().map(|(last, zone)| NodeChange::Up(node(*last, zone))).collect())
}

pub fn add_server(id: &str, addr: &str) -> Command {
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

/// A configuration with one tenant, reed, that has a quota of 20 requests per second.
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

pub fn heartbeat_body(addr: &str, state: &str, sequence: u64, whole: bool) -> String {
    let about = r#""information":{"service_ref":"heron","zone_name":"north-a","slot_count":4},"#;
    format!(
        r#"{{"server_address":"{addr}",{}"status_report":{{"server_state":"{state}","call_sequence":{sequence}}}}}"#,
        if whole { about } else { "" }
    )
}

pub struct Registry {
    pub now: u64,
    pub control_plane: ControlPlane,
    /// The store's copy of the state; commands are applied here first.
    pub store: Copy,
    pub proposed: Vec<(u64, Command)>,
    pub reads: Vec<u64>,
    /// Answers to calls, by the id of the call.
    pub answers: BTreeMap<u64, (u16, String)>,
    /// Other outputs of the last input.
    pub out: Vec<Output>,
    /// Whether the store is fresh and whether it leads, and the time of the last poll. A store that hangs does not
    /// answer polls.
    store_standing: (bool, bool),
    asked: u64,
    pub term: u64,
    pub store_hangs: bool,
    calls: u64,
}

impl Registry {
    pub fn new(commands: Vec<Command>) -> Registry {
        let zones = [("north-a", "north"), ("north-b", "north"), ("south-a", "south"), ("south-b", "south")];
        let parameters = Parameters {
            own_ip: OWN_IP,
            own_zone: "north-a".into(),
            zones: zones.map(|(z, r)| (z.to_string(), r.to_string())).into(),
            heartbeat_us: HEARTBEAT,
            directory_ttl_s: 5.0,
            max_sync_us: 2 * SECOND,
            propagation_us: 2 * SECOND,
            tolerated_zone_losses: 1,
            order_repeat_us: 10 * SECOND,
        };
        let mut registry = Registry {
            now: SECOND,
            control_plane: ControlPlane::new(parameters, SECOND),
            store: Copy::default(),
            proposed: Vec::new(),
            reads: Vec::new(),
            answers: BTreeMap::new(),
            out: Vec::new(),
            store_standing: (true, false),
            asked: 0,
            term: 1,
            store_hangs: false,
            calls: 0,
        };
        registry.handle(Input::StoreUp);
        registry.set_store_standing(true, false);
        commands.into_iter().for_each(|c| _ = registry.commit(c));
        registry
    }

    pub fn handle(&mut self, input: Input) {
        let mut out = Vec::new();
        self.control_plane.handle(self.now, input, &mut out);
        if !self.store_hangs && out.iter().any(|o| matches!(o, Output::Store(ToStore::Stand { .. }))) {
            let standing = self.standing(self.now);
            self.control_plane.handle(self.now, Input::Store(standing), &mut out);
        }
        self.out.clear();
        for output in out {
            match output {
                Output::Answer(id, answer) => {
                    assert!(
                        self.answers.insert(id, (answer.status, answer.body.to_string())).is_none(),
                        "answered once"
                    );
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
        let (fresh, leads) = self.store_standing;
        let (core, fresh_ms, term) = (vec![OWN_IP, PEER_IP], fresh.then_some(0), self.term);
        FromStore::Standing { core, fresh_ms, leads, term, asked }
    }

    /// Lets time pass, waking the control plane whenever it wants to be.
    pub fn run_for(&mut self, us: u64) {
        let (end, mut out) = (self.now + us, Vec::new());
        while self.now < end {
            self.now = self.control_plane.wake_at().clamp(self.now, end);
            self.handle(Input::Tick);
            out.append(&mut self.out);
        }
        self.out = out;
    }

    /// Lets time pass while the registry is paused; its timers are due afterwards.
    pub fn pause(&mut self, us: u64) {
        self.now += us;
    }

    /// Lets time pass, waking the control plane whenever it wants to be, while the other registry gossips that it
    /// hears these servers and proxies.
    pub fn run_with_gossip(&mut self, us: u64, servers: &[&str], nodes: &[u8]) {
        let end = self.now + us;
        let mut count = self.now;
        while self.now < end {
            count += 1;
            self.now = self.control_plane.wake_at().clamp(self.now, (self.now + HEARTBEAT / 3).min(end));
            let servers = servers.iter().map(|id| (id.to_string(), count)).collect();
            let nodes = nodes.iter().map(|n| proxy_report(*n, count)).collect();
            let zone = "south-a".to_string();
            let (usage, heads) = (Vec::new(), Vec::new());
            self.handle(Input::Peer(Gossip {
                ip: PEER_IP,
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

    pub fn set_store_standing(&mut self, fresh: bool, leads: bool) {
        self.store_standing = (fresh, leads);
        let standing = self.standing(self.asked);
        self.handle(Input::Store(standing));
    }

    /// Commits a command and delivers the news of it.
    pub fn commit(&mut self, command: Command) -> (u64, Done) {
        let (from, to) = (self.store.rev(), self.store.rev() + 1);
        let done = self.store.apply(self.now, to, Some(command.clone()));
        let news = News::Run { from, to, commands: vec![(to, command)] };
        self.handle(Input::Store(FromStore::News(news)));
        (to, done)
    }

    pub fn report_result(&mut self, ticket: u64, result: Result<(u64, Done), Unsure>) {
        self.handle(Input::Store(FromStore::Proposed { ticket, result }));
    }

    /// Commits everything that was proposed, and what follows from it.
    pub fn commit_proposed(&mut self) {
        while !self.proposed.is_empty() {
            let (ticket, command) = self.proposed.remove(0);
            let landed = self.commit(command);
            self.report_result(ticket, Ok(landed));
        }
    }

    /// Hands over a call; the store answers at once whatever an order asks of it before it is proposed.
    pub fn call(&mut self, method: &str, target: &str, if_match: Option<&str>, body: &str) -> u64 {
        let open_reads = self.reads.len();
        let call = self.hand_over(method, target, if_match, body);
        if method != "GET" {
            self.answer_reads(open_reads);
        }
        call
    }

    /// The store answers the reads that came after the first `kept`.
    pub fn answer_reads(&mut self, kept: usize) {
        for ticket in self.reads.split_off(kept) {
            let result = Ok(self.store.rev());
            self.handle(Input::Store(FromStore::Reads { ticket, result }));
        }
    }

    /// Hands over a call, and nothing more.
    pub fn hand_over(&mut self, method: &str, target: &str, if_match: Option<&str>, body: &str) -> u64 {
        self.calls += 1;
        let if_match = if_match.map(str::to_string);
        let request = Request { method: method.into(), target: target.into(), if_match, body: body.into() };
        self.handle(Input::Call(self.calls, request));
        self.calls
    }

    pub fn heartbeat(&mut self, id: &str, addr: &str, state: &str, sequence: u64) -> u64 {
        self.call("PUT", &format!("/api/instances/{id}"), None, &heartbeat_body(addr, state, sequence, true))
    }

    pub fn status(&mut self, call: u64) -> Option<u16> {
        self.answers.get(&call).map(|a| a.0)
    }

    pub fn servers(&self) -> Vec<&str> {
        self.control_plane.copy.state.servers.keys().map(String::as_str).collect()
    }

    pub fn report(&mut self, link: u64, last: u8, count: u64, ready: bool, rev: u64) {
        let ip = node(last, "north-a").ip;
        let seen = vec![Seen { ip, life: 1, count, ready, rev, suspects: vec![] }];
        let usage = vec![Usage { ip, life: 1, count, tenants: Vec::new() }];
        self.handle(Input::Proxy(link, Up::Report { rev, head: None, seen, usage }));
    }

    /// The revisions from and to which the last input sent news to a proxy; from 0 for a whole state.
    pub fn news_sent_to(&self, link: u64) -> Option<(u64, u64)> {
        self.out.iter().find_map(|o| match o {
            Output::Proxy(l, Down::News(News::Run { from, to, .. })) if *l == link => Some((*from, *to)),
            Output::Proxy(l, Down::News(News::Whole(_))) if *l == link => {
                Some((0, self.control_plane.copy.rev()))
            }
            _ => None,
        })
    }
}
