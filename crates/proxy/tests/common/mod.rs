//! Agreed states, made by commands, and a proxy that hears of them.
#![allow(dead_code)] // each test file uses a part of it

use cluster::copy::Copy;
use cluster::state::{Change, Command, Node, NodeChange, Server, ServerChange};
use cluster::talk::News;
use net::limits::Held;
use proxy::book::{Leeway, Place};
use proxy::cramp::Times;
use proxy::front::{Answer, Ask, End, Front, Input, Job, Output, Reached, Served};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

pub const SECOND: u64 = 1_000_000;
pub const ZONES: [(&str, &str); 4] =
    [("north-a", "north"), ("north-b", "north"), ("south-a", "south"), ("south-b", "south")];

pub const ROUTES: [&str; 7] = [
    r#"["get","h","/get/","safe","heron",null,2000,1000,3,false,null]"#,
    r#"["put","h","/put/","unsafe","heron",null,2000,1000,3,false,null]"#,
    r#"["load","h","/load/","download","heron",null,2000,1000,3,false,null]"#,
    r#"["open","h","/open/","safe","heron",null,2000,1000,3,true,null]"#,
    r#"["far","h","/far/","download","heron",null,2000,1000,3,true,["south"]]"#,
    r#"["both","h","/both/","safe",null,
        [{"service_ref":"heron","split_weight":9},{"service_ref":"stilt","split_weight":1}],2000,1000,3,true,null]"#,
    r#"["deep","h","/get/deep/","unsafe","stilt",null,2000,1000,3,true,null]"#,
];

/// Without a limit: reed; at home in the south: rush; with a quota: sedge.
pub fn config(version: u32, routes: &[&str]) -> Command {
    let body = format!(
        r#"{{"config_version":"{version:08x}","limits":{{}},
        "route_list":{{"column_set":["entity_name","host_name","path_prefix","route_kind","service_ref",
        "weighted_split","deadline_ms","target_ms","attempt_limit","keyless","home_regions"],"row_set":[{}]}},
        "service_list":{{"column_set":["entity_name","cold_period_s","cold_rate_s"],
        "row_set":[["heron",3,6],["stilt",3,6]]}},
        "tenant_list":{{"column_set":["entity_name","access_keys","rate_per_s","burst_size","home_regions"],
        "row_set":[["reed",["k1"],0,0,null],["rush",["k2"],0,0,["south"]],["sedge",["k3"],2,40,null]]}}}}"#,
        routes.join(",")
    );
    Command::Configure(Change { base: version - 1, patch: false, body: body.into_bytes() })
}

pub fn node(last: u8, zone: &str) -> Node {
    let ip = Ipv4Addr::new(10, 0, 0, last);
    let region = ZONES.iter().find(|z| z.0 == zone).expect("a zone").1.into();
    Node { ip, name: format!("edge-{last}"), zone: zone.into(), region, front: (ip, 80).into() }
}

pub fn nodes(of: &[(u8, &str)]) -> Command {
    Command::Nodes(of.iter().map(|(last, zone)| NodeChange::Up(node(*last, zone))).collect())
}

/// Each at its own address, by its number.
pub fn server(number: u8, id: &str, service: &str, zone: &str, cold_ms: u32) -> Command {
    Command::Servers(vec![ServerChange::Up(Server {
        id: id.into(),
        service: service.into(),
        addr: (Ipv4Addr::new(10, 0, 1, number), 80).into(),
        zone: zone.into(),
        slots: 4,
        draining: false,
        cold_ms,
        noted_at: 0,
    })])
}

pub fn evacuate(zone: &str, on: bool) -> Command {
    Command::Evacuate { zone: zone.into(), on }
}

pub fn copy(now: u64, commands: Vec<Command>) -> Copy {
    let mut copy = Copy::default();
    for command in commands {
        let rev = copy.rev() + 1;
        assert_eq!(copy.apply(now, rev, Some(command)), cluster::state::Done::Taken);
    }
    copy
}

pub fn place(last: u8, zone: &str) -> Place {
    let n = node(last, zone);
    let zones: BTreeMap<String, String> = ZONES.map(|(z, r)| (z.into(), r.into())).into();
    Place {
        ip: n.ip,
        zone: n.zone,
        region: n.region,
        zones,
        leeway: Leeway { retry_ratio: 0.2, retry_slack: 50.0, ..Leeway::default() },
        times: Times::default(),
        exposure: proxy::rollout::Exposure::of(None, None),
    }
}

/// A proxy in zone north-a, and what it has been told of servers.
pub struct Proxy {
    pub now: u64,
    pub front: Front,
    pub rev: u64,
    pub out: Vec<Output>,
    pub ids: BTreeMap<u64, (String, bool)>,
    asked: u64,
}

impl Proxy {
    pub fn new(commands: Vec<Command>) -> Proxy {
        let (front, ids) = (Front::new(place(1, "north-a"), SECOND, 7, SECOND), BTreeMap::new());
        let mut proxy = Proxy { now: SECOND, front, rev: 0, out: Vec::new(), ids, asked: 0 };
        commands.into_iter().for_each(|c| proxy.learn(c));
        proxy
    }

    /// With the usual configuration and these servers of heron: their names and zones.
    pub fn with(servers: &[(&str, &str)]) -> Proxy {
        let mut proxy = Proxy::new(vec![nodes(&[(1, "north-a")]), config(1, &ROUTES)]);
        for (n, (id, zone)) in (1..).zip(servers) {
            proxy.learn(server(n, id, "heron", zone, 0));
        }
        proxy
    }

    pub fn learn(&mut self, command: Command) {
        let (from, to) = (self.rev, self.rev + 1);
        self.rev = to;
        self.tell(Input::News(News::Run { from, to, commands: vec![(to, command)] }));
    }

    pub fn tell(&mut self, input: Input) {
        self.out.clear();
        self.front.handle(self.now, input, &mut self.out);
        for output in &self.out {
            match output {
                Output::Server { server, peer, up } => {
                    self.ids.insert(*server, (peer.id.to_string(), *up));
                }
                Output::Gone { server } => _ = self.ids.remove(server),
                _ => {}
            }
        }
    }

    pub fn up(&self) -> Vec<&str> {
        self.ids.values().filter(|(_, up)| *up).map(|(id, _)| id.as_str()).collect()
    }

    pub fn ask(&mut self, path: &str, key: Option<&str>) -> u64 {
        self.ask_within(path, key, None)
    }

    pub fn ask_within(&mut self, path: &str, key: Option<&str>, left_us: Option<u64>) -> u64 {
        self.asked += 1;
        self.tell(Input::Asked(Ask {
            id: self.asked,
            method: "GET".into(),
            target: path.into(),
            host: "h".into(),
            name: b"name".as_slice().into(),
            left_us,
            key: key.map(str::to_string),
            head: b"Accept: all\r\n".to_vec(),
            body: Held::default(),
        }));
        self.asked
    }

    pub fn end(&mut self, id: u64, attempt: u32, end: End) {
        self.tell(Input::Ended { id, attempt, end });
    }

    pub fn served(&mut self, id: u64, attempt: u32, status: u16, not_run: bool) {
        let served = Served { status, not_run, headers: Vec::new(), body: b"said".to_vec() };
        self.end(id, attempt, End::Answered(served));
    }

    pub fn broken(&mut self, id: u64, attempt: u32, reached: Reached) {
        self.end(id, attempt, End::Broken { reached });
    }

    /// The one attempt that the last input led to.
    pub fn sent(&self) -> Option<&Job> {
        let mut jobs =
            self.out.iter().filter_map(|o| if let Output::Send(job) = o { Some(job) } else { None });
        let (first, second) = (jobs.next(), jobs.next());
        assert!(second.is_none(), "one at most");
        first
    }

    /// The server that it goes to.
    pub fn goes_to(&self) -> Option<&str> {
        self.sent().map(|job| {
            assert_eq!(self.ids[&job.server].0, &*job.instance, "the life that may run it");
            &*job.instance
        })
    }

    pub fn answer(&self) -> Option<&Answer> {
        self.out.iter().find_map(|o| if let Output::Answer(_, answer) = o { Some(answer) } else { None })
    }

    pub fn status(&self) -> Option<u16> {
        self.answer().map(|a| a.status)
    }

    /// The answer says when to come again.
    pub fn says_when(&self) -> bool {
        let headers = String::from_utf8(self.answer().expect("an answer").headers.clone()).expect("text");
        let after = headers.lines().find_map(|l| l.strip_prefix("Retry-After: "));
        after.is_some_and(|s| s.parse::<f64>().is_ok_and(|s| s > 0.0))
    }
}
