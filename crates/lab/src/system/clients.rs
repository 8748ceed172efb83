//! Clients: they ask the directory where to go, keep its answer, and try again as the protocol allows. Arrivals do not
//! wait for answers.

use super::call::Call;
use super::connections::{Connection, Kept};
use super::log::{Log, lock};
use super::machines::Machines;
use super::observed::StaleAddress;
use super::servers::{body, payload};
use super::{MS, SECOND};
use crate::http::{Conn, Response, request};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};
use simulator::Micros;
use simulator::plan::{DEADLINE, HOST, Plan};
use simulator::record::{Answer, Request, Try};
use simulator::scenario::Scenario;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

const MOST_TRIES: u32 = 4;
const CONNECT: Duration = Duration::from_secs(1);
const SHUNNED: Micros = 3 * SECOND;
/// As the plan's configurations have it.
const IDLE_LIMIT: Micros = 15 * SECOND;
/// Where clients keep connections: a request goes over a new one all the same so often.
const OPENS_ANEW: f64 = 0.15;
/// Some of them wait longer than their route may take, and some leave before an answer can be there.
const PATIENT_EVERY: u64 = 5;
const LEAVES_EVERY: u64 = 40;
const LEAVES_AFTER: Micros = 30 * MS;
/// So often one of them sends several requests before it has an answer, and so many.
const AHEAD_EVERY: u64 = 12;
const AHEAD: u64 = 3;

struct Client {
    zone: String,
    region: String,
    tenant: usize,
    key: String,
    /// Keeps an answer three times as long as it is told.
    lazy: bool,
    known: tokio::sync::Mutex<Known>,
    shunned: Mutex<BTreeMap<SocketAddr, Micros>>,
    kept: Kept,
}

#[derive(Default)]
struct Known {
    addresses: Vec<SocketAddr>,
    fresh_until: Micros,
}

pub struct Clients {
    clients: Vec<Arc<Client>>,
    log: Arc<Log>,
    machines: Arc<Machines>,
    rate: f64,
    ttl: f64,
    contact: Micros,
    keeps: bool,
    /// A tenant that sends more, until when, by how many times.
    pub hot: Mutex<(usize, Micros, f64)>,
    rng: Mutex<StdRng>,
}

/// What became of one try.
enum Done {
    Served,
    /// No further try may follow.
    Final,
    /// It has not run and never will; come back after so long.
    Promised(Micros),
    Unclear,
    /// It never was on its way.
    Unread,
}

impl Clients {
    pub fn new(s: &Scenario, plan: &Plan, log: Arc<Log>, machines: Arc<Machines>, seed: u64) -> Clients {
        let tenants = plan.tenants.len();
        let one = |n: usize| {
            let (zone, region) = s.zones[(n / tenants) % s.zones.len()].clone();
            let key = plan.tenants[n % tenants].keys[0].clone();
            let lazy = n % 5 == 4;
            let (known, shunned, kept) = (Default::default(), Default::default(), Kept::default());
            Arc::new(Client { zone, region, tenant: n % tenants, key, lazy, known, shunned, kept })
        };
        Clients {
            clients: (0..s.clients).map(one).collect(),
            log,
            machines,
            rate: s.rate,
            ttl: s.bounds.ttl_s,
            contact: s.bounds.contact,
            keeps: s.keeps_connections,
            hot: Mutex::new((0, 0, 0.0)),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Sends requests until the traffic ends, and waits for their ends.
    pub async fn traffic(self: Arc<Self>, plan: Arc<Mutex<Plan>>, ends: Micros) {
        let mut open = JoinSet::new();
        let mut next = self.log.now();
        while next < ends {
            self.log.until(next).await;
            let (hot, until, times) = *lock(&self.hot);
            let now = self.log.now();
            let more = if now < until { times } else { 0.0 };
            let (client, route) = {
                let mut rng = lock(&self.rng);
                let gap = -(1.0 - rng.r#gen::<f64>()).ln() / (self.rate * (1.0 + more)) * 1e6;
                next += (gap as Micros).max(1);
                let mut client = rng.gen_range(0..self.clients.len());
                if more > 0.0 && rng.r#gen::<f64>() < more / (1.0 + more) {
                    let of: Vec<usize> =
                        (0..self.clients.len()).filter(|c| self.clients[*c].tenant == hot).collect();
                    client = *of.choose(&mut *rng).unwrap_or(&client);
                }
                (client, rng.gen_range(0..lock(&plan).routes.len()))
            };
            let (name, once) = {
                let plan = lock(&plan);
                (plan.routes[route].path.clone(), plan.routes[route].kind == "unsafe")
            };
            let client = self.clients[client].clone();
            // Nothing is owed for what a tenant asks beyond its limit.
            let unowed = more > 0.0 && client.tenant == hot;
            let number = self.ask(client.tenant, unowed);
            if self.keeps && !once && number.is_multiple_of(AHEAD_EVERY) {
                open.spawn(self.clone().ahead(client, name, number, unowed));
                continue;
            }
            let path = format!("/{name}/{number}");
            open.spawn(self.clone().request(client, number, path, once));
            while open.try_join_next().is_some() {}
        }
        while open.join_next().await.is_some() {}
    }

    /// Puts a request down; its number.
    fn ask(&self, tenant: usize, unowed: bool) -> u64 {
        let sent = self.log.now();
        let mut book = self.log.book();
        book.requests.push(Request { sent, served: None, unowed, tenant });
        book.requests.len() as u64 - 1
    }

    /// Several requests over one connection, sent before the first has its answer; answers come in that order. What is not
    /// answered is not tried again.
    async fn ahead(self: Arc<Self>, client: Arc<Client>, route: String, first: u64, unowed: bool) {
        let until = self.log.now() + DEADLINE;
        let numbers: Vec<u64> =
            std::iter::once(first).chain((1..AHEAD).map(|_| self.ask(client.tenant, unowed))).collect();
        let connection = match self.kept(&client) {
            Some(connection) => Some(connection),
            None => match self.address(&client, until).await {
                Some(address) => self.connect(&client, address).await,
                None => None,
            },
        };
        let Some(mut connection) = connection else { return };
        let to = (connection.host, connection.life);
        let paths: Vec<String> = numbers.iter().map(|n| format!("/{route}/{n}")).collect();
        let tries: Vec<u64> = numbers
            .iter()
            .zip(&paths)
            .map(|(n, path)| self.begin(&client, *n, path, false, to, until))
            .collect();
        let mut bytes = Vec::new();
        for (attempt, path) in tries.iter().zip(&paths) {
            bytes.extend(self.head(&client, *attempt, path, false, until));
        }
        if connection.conn.write(&bytes).await.is_err() {
            return;
        }
        let read = self.log.now();
        {
            let mut book = self.log.book();
            let kept = connection.used;
            for attempt in &tries {
                book.tries[*attempt as usize].read = Some(read);
                if kept {
                    book.observed.over_kept.insert(*attempt);
                }
            }
        }
        for (n, attempt) in tries.iter().enumerate() {
            let patience = Duration::from_micros(until.saturating_sub(self.log.now()));
            let Ok(answer) = timeout(patience, connection.conn.read_response()).await else { return };
            let Ok(answer) = answer else { return self.cut_off(&numbers[n..], &tries[n..]) };
            if let Done::Served = self.answered(&client, numbers[n], *attempt, &paths[n], &answer, until) {
                let now = self.log.now();
                self.log.book().requests[numbers[n] as usize].served = Some(now);
            }
            if closes(&answer) {
                return self.cut_off(&numbers[n + 1..], &tries[n + 1..]);
            }
        }
        client.kept.put(self.log.now(), connection);
    }

    /// The connection has ended before these had their answers. What stood behind another and was never passed on counts as
    /// not read: its client would send it again.
    fn cut_off(&self, numbers: &[u64], tries: &[u64]) {
        let now = self.log.now();
        let mut book = self.log.book();
        for (number, attempt) in numbers.iter().zip(tries) {
            let passed_on = !book.tries[*attempt as usize].arrivals.is_empty();
            if passed_on {
                book.tries[*attempt as usize].broken = Some(now);
            } else {
                book.requests[*number as usize].unowed = true;
            }
        }
    }

    async fn request(self: Arc<Self>, client: Arc<Client>, number: u64, path: String, once: bool) {
        let patient = self.keeps && number.is_multiple_of(PATIENT_EVERY);
        let until = self.log.now() + if patient { 2 * DEADLINE } else { DEADLINE };
        for tried in 1..=MOST_TRIES {
            // A further try goes over a new connection.
            let kept = if tried == 1 { self.kept(&client) } else { None };
            let way = match kept {
                Some(connection) => Way::Kept(connection),
                None => match self.address(&client, until).await {
                    Some(address) => Way::New(address),
                    None => return,
                },
            };
            let wait = match self.once(&client, number, &path, once, way, until).await {
                Done::Served => {
                    let now = self.log.now();
                    self.log.book().requests[number as usize].served = Some(now);
                    return;
                }
                Done::Final => return,
                Done::Promised(wait) => wait.max(20 * MS),
                Done::Unread => 50 * MS,
                Done::Unclear if once => return,
                Done::Unclear => 50 * MS,
            };
            let wait = wait + lock(&self.rng).gen_range(0..20 * MS);
            if tried == MOST_TRIES || self.log.now() + wait >= until {
                return;
            }
            tokio::time::sleep(Duration::from_micros(wait)).await;
        }
    }

    /// A connection from before, mostly.
    fn kept(&self, client: &Client) -> Option<Connection> {
        if !self.keeps || lock(&self.rng).r#gen::<f64>() < OPENS_ANEW {
            return None;
        }
        client.kept.take(self.log.now(), IDLE_LIMIT)
    }

    /// Where to go, by chance among those that have not failed lately.
    async fn address(&self, client: &Client, until: Micros) -> Option<SocketAddr> {
        loop {
            let now = self.log.now();
            if now >= until {
                return None;
            }
            let mut known = client.known.lock().await;
            if self.log.now() >= known.fresh_until {
                self.resolve(client, &mut known).await;
            }
            if !known.addresses.is_empty() {
                let mut shunned = lock(&client.shunned);
                shunned.retain(|_, until| *until > now);
                let open: Vec<&SocketAddr> =
                    known.addresses.iter().filter(|a| !shunned.contains_key(a)).collect();
                let from = if open.is_empty() { known.addresses.iter().collect() } else { open };
                return from.choose(&mut *lock(&self.rng)).map(|a| **a);
            }
            drop(known);
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    }

    /// Asks three registries at most, near ones first. What was known stays where none answers.
    async fn resolve(&self, client: &Client, known: &mut Known) {
        let mut order: Vec<usize> = (0..self.machines.cores()).collect();
        order.shuffle(&mut *lock(&self.rng));
        order.sort_by_key(|n| self.machines.scheme.core[*n].zone != client.zone);
        for core in order.into_iter().take(3) {
            let (region, zone) = (&client.region, &client.zone);
            let target = format!("/api/resolution?entity_name={HOST}&region_name={region}&zone_name={zone}");
            let answer = Call::plain("GET", target).on(self.machines.directory(core), || {}).await;
            let answer = answer.filter(|a| a.status == 200).and_then(|a| String::from_utf8(a.body).ok());
            let Some(found) = answer.and_then(|text| jzon::parse(&text).ok()) else { continue };
            let list = found["address_list"].as_array().into_iter().flatten();
            known.addresses = list.filter_map(|v| v.as_str()?.parse().ok()).collect();
            self.note_stale(core, &known.addresses);
            let valid = found["validity_s"].as_f64().unwrap_or(0.0).min(self.ttl);
            let keeps = if client.lazy { 3.0 } else { 1.0 };
            known.fresh_until = self.log.now() + (valid * keeps * 1e6) as Micros;
            return;
        }
        known.fresh_until = self.log.now() + SECOND / 2;
    }

    /// Puts down which of these have not run for longer than the contact time.
    fn note_stale(&self, by: usize, addresses: &[SocketAddr]) {
        let at = self.log.now();
        for process in addresses.iter().filter_map(|a| self.machines.proxy_at(*a)) {
            let down_for = process.down_for().map_or(0, |down| down.as_micros() as Micros);
            if down_for > self.contact {
                let stale = StaleAddress { at, by, host: process.host, down_for };
                self.log.book().observed.stale_addresses.push(stale);
            }
        }
    }

    /// Puts a try down; its number.
    fn begin(
        &self,
        client: &Client,
        request: u64,
        path: &str,
        once: bool,
        to: (usize, u64),
        until: Micros,
    ) -> u64 {
        let mut book = self.log.book();
        let number = book.tries.len() as u64;
        book.tries.push(Try {
            request,
            edge: to.0,
            life: to.1,
            sent: self.log.now(),
            until,
            host: HOST.to_string(),
            path: path.to_string(),
            key: Some(client.key.clone()),
            once,
            ..Try::default()
        });
        number
    }

    async fn connect(&self, client: &Client, address: SocketAddr) -> Option<Connection> {
        let process = self.machines.proxy_at(address)?;
        match timeout(CONNECT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => Some(Connection::new(address, process.host, process.life(), Conn::new(stream))),
            _ => {
                lock(&client.shunned).insert(address, self.log.now() + SHUNNED);
                None
            }
        }
    }

    /// One try, over a connection from before or a new one.
    async fn once(
        &self,
        client: &Client,
        number: u64,
        path: &str,
        once: bool,
        way: Way,
        until: Micros,
    ) -> Done {
        let mut connection = match way {
            Way::Kept(connection) => connection,
            Way::New(address) => {
                let Some(process) = self.machines.proxy_at(address) else { return Done::Unread };
                let (host, life) = (process.host, process.life());
                let Some(connection) = self.connect(client, address).await else {
                    self.begin(client, number, path, once, (host, life), until);
                    return Done::Unread;
                };
                connection
            }
        };
        let to = (connection.host, connection.life);
        let attempt = self.begin(client, number, path, once, to, until);
        if connection.used {
            self.log.book().observed.over_kept.insert(attempt);
        }
        let leaves = self.keeps && !once && number % LEAVES_EVERY == LEAVES_EVERY - 1;
        let patience = if leaves { LEAVES_AFTER } else { until.saturating_sub(self.log.now()) };
        let talk = self.talk(client, &mut connection, attempt, path, once, until);
        let Ok(answer) = timeout(Duration::from_micros(patience), talk).await else {
            let now = self.log.now();
            if leaves {
                let mut book = self.log.book();
                book.requests[number as usize].unowed = true;
                book.observed.left.insert(attempt, now);
            }
            return Done::Final; // the client gives up
        };
        let now = self.log.now();
        let Ok(answer) = answer else {
            if !connection.used {
                lock(&client.shunned).insert(connection.address, now + SHUNNED);
            }
            self.log.book().tries[attempt as usize].broken = Some(now);
            return Done::Unclear;
        };
        if self.keeps && !closes(&answer) {
            client.kept.put(now, connection);
        }
        self.answered(client, number, attempt, path, &answer, until)
    }

    /// A request's bytes.
    fn head(&self, client: &Client, attempt: u64, path: &str, once: bool, until: Micros) -> Vec<u8> {
        let left = until.saturating_sub(self.log.now());
        let headers = [
            ("Host", HOST.to_string()),
            ("X-Attempt-Id", format!("{attempt:016x}")),
            ("X-Time-Left", (left / MS).to_string()),
            ("Authorization", format!("Token {}", client.key)),
        ];
        let body = if once { payload(attempt) } else { Vec::new() };
        let method = if once { "POST" } else { "GET" };
        request(method, path, &headers, &body)
    }

    /// Sends the request and reads its answer.
    async fn talk(
        &self,
        client: &Client,
        connection: &mut Connection,
        attempt: u64,
        path: &str,
        once: bool,
        until: Micros,
    ) -> std::io::Result<Response> {
        let bytes = self.head(client, attempt, path, once, until);
        connection.conn.write(&bytes).await?;
        let now = self.log.now();
        self.log.book().tries[attempt as usize].read = Some(now);
        connection.conn.read_response().await
    }

    fn answered(
        &self,
        client: &Client,
        number: u64,
        attempt: u64,
        path: &str,
        answer: &Response,
        until: Micros,
    ) -> Done {
        let (now, status) = (self.log.now(), answer.status);
        let whole = answer.body == body(attempt, path.starts_with("/r-kawe/"));
        let seal = answer.header("X-Server-Seal").and_then(|s| u64::from_str_radix(s, 16).ok());
        // The seal of a body that is not the server's whole one is no seal.
        let seal = seal.filter(|_| whole);
        let retry_after = answer.header("Retry-After").and_then(|s| s.parse::<f64>().ok());
        let mut book = self.log.book();
        book.tries[attempt as usize].answer = Some(Answer { at: now, status, seal });
        // Nothing is owed for what no configuration allows, or beyond a limit.
        let revoked =
            status == 401 && book.changes.iter().any(|c| !c.invalid && !c.text.contains(&client.key));
        let gone = status == 404 && book.changes.iter().any(|c| !c.invalid && !c.text.contains(prefix(path)));
        book.requests[number as usize].unowed |= revoked || gone || status == 429;
        drop(book);
        match status {
            200..300 => Done::Served,
            400 | 401 | 404 | 413 | 431 => Done::Final,
            408 | 421 | 429 | 503 => {
                let left = until.saturating_sub(now);
                Done::Promised(retry_after.map_or(0, |s| ((s * 1e6) as Micros).min(left / 3)))
            }
            _ => Done::Unclear,
        }
    }

    /// One request straight to a proxy, over a new connection: it shows the configuration in force there, earns nothing
    /// and is not tried again.
    pub async fn probe(self: Arc<Self>, address: SocketAddr, path: String) {
        let client = {
            let chosen = lock(&self.rng).gen_range(0..self.clients.len());
            self.clients[chosen].clone()
        };
        let (now, number) = (self.log.now(), self.ask(client.tenant, true));
        self.log.book().observed.probes += 1;
        self.once(&client, number, &path, false, Way::New(address), now + DEADLINE).await;
    }
}

fn closes(answer: &Response) -> bool {
    answer.header("Connection").is_some_and(|c| c.eq_ignore_ascii_case("close"))
}

/// How a try goes to a proxy.
enum Way {
    Kept(Connection),
    New(SocketAddr),
}

/// The path's part that a route matches.
fn prefix(path: &str) -> &str {
    path.rfind('/').map_or(path, |end| &path[..=end])
}
