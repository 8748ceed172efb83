//! Builds cluster states from commands, and a proxy that is told of them.
#![allow(dead_code)] // each test file uses only some of it

use cluster::copy::Copy;
use cluster::state::{Change, Command, Node, NodeChange, Server, ServerChange};
use cluster::talk::News;
use net::memory::BufferedBody;
use proxy::dispatcher::{
    Answer, AttemptResult, ClientRequest, Dispatcher, Execution, Input, Job, Output, ServerAnswer,
};
use proxy::reservations::BookingTimes;
use proxy::routing_view::{Leeway, ProxySettings};
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

/// Tenants: reed has no limit, rush may be served only in the south, sedge has a quota.
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

/// A server at an address of its own that is derived from `number`.
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

pub fn place(last: u8, zone: &str) -> ProxySettings {
    let n = node(last, zone);
    let zones: BTreeMap<String, String> = ZONES.map(|(z, r)| (z.into(), r.into())).into();
    ProxySettings {
        ip: n.ip,
        zone: n.zone,
        region: n.region,
        zones,
        leeway: Leeway { retry_ratio: 0.2, retry_slack: 50.0, ..Leeway::default() },
        booking_times: BookingTimes::default(),
        exposure: proxy::rollout::Exposure::from_settings(None, None),
    }
}

/// A proxy in zone north-a with the outputs of its dispatcher.
pub struct Proxy {
    pub now: u64,
    pub dispatcher: Dispatcher,
    pub rev: u64,
    /// Outputs of the last input.
    pub out: Vec<Output>,
    /// The listed servers, and whether each may get new requests.
    pub ids: BTreeMap<u64, (String, bool)>,
    asked: u64,
}

impl Proxy {
    pub fn new(commands: Vec<Command>) -> Proxy {
        let (dispatcher, ids) = (Dispatcher::new(place(1, "north-a"), SECOND, 7, SECOND), BTreeMap::new());
        let mut proxy = Proxy { now: SECOND, dispatcher, rev: 0, out: Vec::new(), ids, asked: 0 };
        commands.into_iter().for_each(|c| proxy.learn(c));
        proxy
    }

    /// With the usual configuration and these servers of the service heron (name and zone).
    pub fn with(servers: &[(&str, &str)]) -> Proxy {
        let mut proxy = Proxy::new(vec![nodes(&[(1, "north-a")]), config(1, &ROUTES)]);
        for (n, (id, zone)) in (1..).zip(servers) {
            proxy.learn(server(n, id, "heron", zone, 0));
        }
        proxy
    }

    /// Applies a command as the next update of the state.
    pub fn learn(&mut self, command: Command) {
        let (from, to) = (self.rev, self.rev + 1);
        self.rev = to;
        self.tell(Input::News(News::Run { from, to, commands: vec![(to, command)] }));
    }

    pub fn tell(&mut self, input: Input) {
        self.out.clear();
        self.dispatcher.handle(self.now, input, &mut self.out);
        for output in &self.out {
            match output {
                Output::Server { server, peer, up } => {
                    self.ids.insert(*server, (peer.id.to_string(), *up));
                }
                Output::ServerRemoved { server } => _ = self.ids.remove(server),
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
        self.tell(Input::Request(ClientRequest {
            id: self.asked,
            method: "GET".into(),
            target: path.into(),
            host: "h".into(),
            attempt_id: b"name".as_slice().into(),
            left_us,
            key: key.map(str::to_string),
            head: b"Accept: all\r\n".to_vec(),
            body: BufferedBody::default(),
        }));
        self.asked
    }

    pub fn end(&mut self, id: u64, attempt: u32, end: AttemptResult) {
        self.tell(Input::AttemptEnded { id, attempt, end });
    }

    pub fn served(&mut self, id: u64, attempt: u32, status: u16, not_run: bool) {
        let served = ServerAnswer { status, not_run, headers: Vec::new(), body: b"said".to_vec().into() };
        self.end(id, attempt, AttemptResult::Answered(served));
    }

    pub fn broken(&mut self, id: u64, attempt: u32, execution: Execution) {
        self.end(id, attempt, AttemptResult::Broken { execution });
    }

    /// The attempt that the last input led to, at most one.
    pub fn sent(&self) -> Option<&Job> {
        let mut jobs =
            self.out.iter().filter_map(|o| if let Output::Send(job) = o { Some(job) } else { None });
        let (first, second) = (jobs.next(), jobs.next());
        assert!(second.is_none(), "at most one attempt");
        first
    }

    /// The instance that this attempt goes to.
    pub fn goes_to(&self) -> Option<&str> {
        self.sent().map(|job| {
            assert_eq!(self.ids[&job.server].0, &*job.instance, "the instance that may run it");
            &*job.instance
        })
    }

    pub fn answer(&self) -> Option<&Answer> {
        self.out.iter().find_map(|o| if let Output::Answer(_, answer) = o { Some(answer) } else { None })
    }

    pub fn status(&self) -> Option<u16> {
        self.answer().map(|a| a.status)
    }

    /// Whether the answer has a positive `Retry-After`.
    pub fn says_when(&self) -> bool {
        let headers = String::from_utf8(self.answer().expect("an answer").headers.clone()).expect("text");
        let after = headers.lines().find_map(|l| l.strip_prefix("Retry-After: "));
        after.is_some_and(|s| s.parse::<f64>().is_ok_and(|s| s > 0.0))
    }
}
