//! Test doubles of a gateway's peers, on the loopback address and ports that the system chooses: scripted servers, a
//! discovery agent, clients. All waits are bounded.
#![allow(dead_code)] // each test file uses only some of them

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Limit of every wait.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// What a server does with a request.
#[derive(Clone, Debug)]
pub enum ServerAction {
    /// Sends this text and keeps the connection open.
    Send(String),
    /// Sends this text in pieces of so many bytes and keeps the connection open.
    SendInPieces(String, usize),
    /// Sends this text and closes the connection.
    SendAndClose(String),
    /// Resets the connection without an answer.
    Reset,
    /// Never answers, and keeps the connection open.
    NoAnswer,
    /// Sends an answer, waits, then sends bytes that belong to no request.
    SendThenStray(String, Duration, String),
    /// Sends this answer after a delay.
    SendLate(Duration, String),
    /// Sends this answer once the flag is set.
    SendWhen(Arc<AtomicBool>, String),
}

/// A 200 answer with this body.
pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A message as received: its first line and headers, and its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|l| {
            let (n, v) = l.split_once(':')?;
            n.eq_ignore_ascii_case(name).then_some(v.trim())
        })
    }
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        head.push_str(&line);
    }
    let message = Message { head, body: String::new() };
    let length = message.header("Content-Length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Message { body: String::from_utf8(body).ok()?, ..message })
}

/// A server that performs the scripted actions, one per request, and answers 200 `done` to all further requests.
pub struct Server {
    pub addr: SocketAddr,
    /// All requests so far.
    pub received: Arc<Mutex<Vec<Message>>>,
    /// Connections accepted so far.
    pub connections: Arc<AtomicUsize>,
    /// How often stray bytes have been sent.
    pub strays: Arc<AtomicUsize>,
    script: Arc<Mutex<VecDeque<ServerAction>>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start() -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("bound");
        let server = Server {
            addr,
            received: Arc::default(),
            connections: Arc::default(),
            strays: Arc::default(),
            script: Arc::default(),
            open: Arc::default(),
        };
        let (received, script) = (server.received.clone(), server.script.clone());
        let (connections, open) = (server.connections.clone(), server.open.clone());
        let strays = server.strays.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connections.fetch_add(1, Ordering::SeqCst);
                open.lock().unwrap().push(stream.try_clone().unwrap());
                let (received, script, strays) = (received.clone(), script.clone(), strays.clone());
                std::thread::spawn(move || serve(stream, &received, &script, &strays));
            }
        });
        server
    }

    /// Adds an action to the script.
    pub fn then(&self, action: ServerAction) -> &Server {
        self.script.lock().unwrap().push_back(action);
        self
    }

    pub fn requests(&self) -> usize {
        self.received.lock().unwrap().len()
    }

    /// Closes all its connections; the listener stays.
    pub fn close_connections(&self) {
        self.open.lock().unwrap().drain(..).for_each(|s| drop(s.shutdown(Shutdown::Both)));
    }
}

fn serve(
    stream: TcpStream,
    received: &Mutex<Vec<Message>>,
    script: &Mutex<VecDeque<ServerAction>>,
    strays: &AtomicUsize,
) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut writer = stream;
    while let Some(message) = read_message(&mut reader) {
        received.lock().unwrap().push(message);
        let action = script.lock().unwrap().pop_front().unwrap_or(ServerAction::Send(ok("done")));
        let wrote = match action {
            ServerAction::Send(text) => writer.write_all(text.as_bytes()),
            ServerAction::SendInPieces(text, size) => text.as_bytes().chunks(size).try_for_each(|piece| {
                std::thread::sleep(Duration::from_millis(2));
                writer.write_all(piece)
            }),
            ServerAction::SendAndClose(text) => {
                let _ = writer.write_all(text.as_bytes());
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
            ServerAction::Reset => {
                // Closing with a linger time of zero sends a reset to the other side.
                let _ = socket2::SockRef::from(&writer).set_linger(Some(Duration::ZERO));
                return;
            }
            ServerAction::NoAnswer => Ok(()),
            ServerAction::SendThenStray(text, wait, stray) => {
                writer.write_all(text.as_bytes()).and_then(|()| {
                    std::thread::sleep(wait);
                    let wrote = writer.write_all(stray.as_bytes());
                    strays.fetch_add(1, Ordering::SeqCst);
                    wrote
                })
            }
            ServerAction::SendWhen(flag, text) => {
                wait_until("the flag is set", || flag.load(Ordering::SeqCst));
                writer.write_all(text.as_bytes())
            }
            ServerAction::SendLate(wait, text) => {
                std::thread::sleep(wait);
                writer.write_all(text.as_bytes())
            }
        };
        if wrote.is_err() {
            return;
        }
    }
}

/// A discovery agent: it accepts watches, and each watch gets the lines sent from then on.
pub struct Discovery {
    pub addr: SocketAddr,
    /// The request lines of all watches so far.
    pub requests: Arc<Mutex<Vec<String>>>,
    watchers: Arc<Mutex<Vec<TcpStream>>>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("bound");
        let discovery = Discovery { addr, requests: Arc::default(), watchers: Arc::default() };
        let (requests, watchers) = (discovery.requests.clone(), discovery.watchers.clone());
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let Some(message) = read_message(&mut reader) else { continue };
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                watchers.lock().unwrap().push(stream);
                requests.lock().unwrap().push(message.head.lines().next().unwrap_or("").to_string());
            }
        });
        discovery
    }

    /// Sends raw bytes to all watchers.
    pub fn send_raw(&self, bytes: &[u8]) {
        self.watchers.lock().unwrap().iter_mut().for_each(|w| drop(w.write_all(bytes)));
    }

    /// Sends a line, in a chunk of its own, to all watchers.
    pub fn send_line(&self, line: &str) {
        self.send_raw(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes());
    }

    /// Sends an empty line, as discovery does while nothing changes.
    pub fn send_keepalive(&self) {
        self.send_raw(b"1\r\n\n\r\n");
    }

    /// Closes the connections of all watches.
    pub fn close_watches(&self) {
        self.watchers.lock().unwrap().drain(..).for_each(|w| drop(w.shutdown(Shutdown::Both)));
    }

    /// The number of watches so far.
    pub fn watches(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

/// One line of discovery: servers by id, address and state.
pub fn list(version: u64, full: bool, servers: &[(&str, SocketAddr, &str)]) -> String {
    let entries: Vec<String> = servers
        .iter()
        .map(|(id, addr, state)| {
            format!(
                r#"{{"id":"{id}","addr":"{addr}","zone":"a","kind":"m","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
            )
        })
        .collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

/// The configuration of a gateway, as far as tests vary it.
pub struct Setup {
    pub known: String,
    pub sockets: u32,
    pub memory_mb: u32,
    pub effect: &'static str,
    pub attempts_cap: u32,
    pub conn_idle_ms: u64,
    pub rate: f64,
    /// Time to connect, and time in which an answer that has begun must be complete. The default is long, so that tests
    /// that are not about it do not depend on how fast the test doubles run on a busy machine.
    pub dial_ms: u64,
    /// The deadline of the only class.
    pub deadline_ms: u64,
    /// Limit of descriptors that the system sets (`ulimit -n`), if it differs from the configuration's.
    pub descriptors: Option<u32>,
}

impl Setup {
    /// The defaults, with these servers as the known list.
    pub fn with(servers: &[&Server]) -> Setup {
        let names: Vec<String> = (0..servers.len()).map(|n| format!("s-{n}")).collect();
        let lines: Vec<_> = servers.iter().zip(&names).map(|(s, n)| (n.as_str(), s.addr, "Ready")).collect();
        Setup {
            known: list(1, true, &lines),
            sockets: 1024,
            memory_mb: 192,
            effect: "repeatable",
            attempts_cap: 1,
            conn_idle_ms: 15_000,
            rate: 10_000.0,
            dial_ms: 1_500,
            deadline_ms: 2_000,
            descriptors: None,
        }
    }
}

/// A running gateway process, killed when dropped.
pub struct Gateway {
    pub addr: SocketAddr,
    child: Child,
    folder: std::path::PathBuf,
    config: String,
    /// Keeps the port from being taken by others.
    _port: socket2::Socket,
}

/// Numbers the gateways of this process, for the names of their folders.
static COUNT: AtomicUsize = AtomicUsize::new(0);

/// Reserves a port until the socket is dropped: it is bound without listening, so connections to it are refused and no
/// other process gets it. A gateway, which binds with SO_REUSEADDR, can listen there meanwhile.
pub fn reserve_port() -> (socket2::Socket, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("set");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bound");
    let addr = socket.local_addr().expect("bound").as_socket().expect("an address");
    (socket, addr)
}

/// The `settings` object of the configuration.
pub fn settings(setup: &Setup) -> String {
    format!(
        r#"{{"balancers":1,"index":0,"granularityUs":1000,"membershipMode":"pushed",
"classes":[{{"name":"view","aimUs":1000000,"deadlineUs":{},"effect":"{}","group":"all","windowUs":5000000,"lateWorth":0.0}}],
"tiersOfService":[{{"name":"team","unitsPerS":{},"depth":{}}}],"localities":["a"],
"familyInfo":{{"meterUs":2000000,"truedUp":true}},
"permissions":{{"attemptsCap":{},"maxRetryAfterUs":500000,"mayCancel":true,"retryAfter":true,"connIdleUs":{},"dialTimeoutUs":{}}},
"rules":{{"answerSlackUs":16000,"askWithinUs":10000000,"coldFrom":0.3,"coldUs":16000000,"fallMultiple":2.0,"fallUs":1500000}}}}"#,
        setup.deadline_ms * 1000,
        setup.effect,
        setup.rate,
        setup.rate,
        setup.attempts_cap,
        setup.conn_idle_ms * 1000,
        setup.dial_ms * 1000,
    )
}

impl Gateway {
    /// Starts a gateway and waits until it is ready.
    pub fn start(setup: &Setup, discovery: &Discovery) -> Gateway {
        let (port, addr) = reserve_port();
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("curlewfront-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let path = folder.join("config.json");
        let text = format!(
            r#"{{"name":"n0","listen":"{addr}","discovery":"{}","seed":"1f","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},"settings":{}}}"#,
            discovery.addr,
            setup.memory_mb,
            setup.sockets,
            setup.known,
            settings(setup)
        );
        std::fs::write(&path, &text).expect("written");
        let program = env!("CARGO_BIN_EXE_curlewfront-gateway");
        let mut command = Command::new(program);
        if let Some(limit) = setup.descriptors {
            command = Command::new("/bin/sh");
            command.args(["-c", &format!("ulimit -n {limit}; exec {program:?}")]);
        }
        let child = command
            .env("EDGE_CONFIG", &path)
            .env_remove("EDGE_LISTEN")
            .env("EDGE_DISCOVERY", discovery.addr.to_string())
            .stdin(Stdio::null())
            .stderr(if std::env::var_os("SHOW_LOG").is_some() { Stdio::inherit() } else { Stdio::null() })
            .spawn()
            .expect("the gateway starts");
        let mut gateway = Gateway { addr, child, folder, config: text, _port: port };
        let started = Instant::now();
        while started.elapsed() < TIMEOUT {
            if let Ok(mut c) = Client::try_connect(addr)
                && c.get("/_health").is_some_and(|m| m.status() == 200)
            {
                return gateway;
            }
            let exited = gateway.child.try_wait().expect("a child");
            assert!(exited.is_none(), "the gateway ended at its start: {exited:?}");
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("the gateway did not start within {TIMEOUT:?}");
    }

    pub fn client(&self) -> Client {
        Client::try_connect(self.addr).expect("the gateway takes connections")
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(nix::sys::signal::SIGTERM);
    }

    fn signal(&self, signal: nix::sys::signal::Signal) {
        let pid = nix::unistd::Pid::from_raw(self.child.id() as i32);
        nix::sys::signal::kill(pid, signal).expect("signalled");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(self.folder.join("config.json"), text).expect("written");
        self.signal(nix::sys::signal::SIGHUP);
    }

    /// The configuration that it was started with, but with this discovery.
    pub fn config_with_discovery(&self, discovery: &Discovery) -> String {
        let (front, rest) = self.config.split_once(r#""discovery":""#).expect("it names one");
        let (_, rest) = rest.split_once('"').expect("whole");
        format!(r#"{front}"discovery":"{}"{rest}"#, discovery.addr)
    }

    /// Waits for the process to exit; `None` if it still runs after this time.
    pub fn wait_for_exit(&mut self, within: Duration) -> Option<std::process::ExitStatus> {
        let started = Instant::now();
        while started.elapsed() < within {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }

    /// The names of its threads.
    pub fn threads(&self) -> Vec<String> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("it runs");
        let name =
            |t: std::io::Result<std::fs::DirEntry>| std::fs::read_to_string(t.ok()?.path().join("comm")).ok();
        tasks.filter_map(name).map(|n| n.trim().to_string()).collect()
    }

    /// The number of its open descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// Its peak resident memory in MB.
    pub fn memory_mb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let line = text.lines().find(|l| l.starts_with("VmHWM:")).expect("a line VmHWM");
        line.split_whitespace().nth(1).and_then(|kb| kb.parse::<u64>().ok()).expect("a number") / 1024
    }

    /// Processor time used so far, in clock ticks of the system.
    pub fn cpu_ticks(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("it runs");
        let rest = text.rsplit(") ").next().expect("fields");
        rest.split(' ').skip(11).take(2).map(|t| t.parse::<u64>().expect("a number")).sum()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A client's connection to the gateway.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

/// Numbers the requests of this process, for their ids.
static IDS: AtomicUsize = AtomicUsize::new(1);

/// The text of a request of customer 1 with this body.
pub fn post(timeout_ms: u64, body: &str) -> String {
    let id = IDS.fetch_add(1, Ordering::SeqCst);
    format!(
        "POST /view/item?a=1 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id:016x}\r\nRequest-Class: view\r\n\
         X-Contract: team\r\nX-Client-Id: 0000000000000001\r\nRequest-Timeout: {timeout_ms}m\r\n\
         X-Metering: units=2,spread=1,first=0\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Client {
    pub fn try_connect(addr: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&addr, TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        Ok(Client { reader: BufReader::new(stream.try_clone()?), stream })
    }

    pub fn send(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).expect("written");
    }

    /// Reads one answer; `None` if the connection ends or stays silent.
    pub fn read(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }

    pub fn request(&mut self, request: &str) -> Message {
        let started = Instant::now();
        self.send(request);
        self.read().unwrap_or_else(|| {
            panic!("no answer after {:?}, the connection ended or is silent", started.elapsed())
        })
    }

    pub fn get(&mut self, path: &str) -> Option<Message> {
        self.stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).ok()?;
        self.read()
    }

    /// Whether there is something to read.
    pub fn has_answer(&self) -> bool {
        self.stream.set_nonblocking(true).expect("set");
        let there = matches!(self.stream.peek(&mut [0; 1]), Ok(1));
        self.stream.set_nonblocking(false).expect("set");
        there
    }

    /// Reads all that comes until the gateway closes the connection, and measures how long that takes.
    pub fn read_to_end_of_connection(mut self) -> (String, Duration) {
        let (started, mut got) = (Instant::now(), Vec::new());
        let _ = self.reader.read_to_end(&mut got);
        (String::from_utf8_lossy(&got).into_owned(), started.elapsed())
    }

    /// Waits until the gateway closes the connection, at most `TIMEOUT`; false if there is something to read instead.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.reader.read(&mut [0; 1]), Ok(0) | Err(_))
    }
}

/// Waits until the condition holds; fails with `what` after `TIMEOUT`.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < TIMEOUT, "not within {TIMEOUT:?}: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
