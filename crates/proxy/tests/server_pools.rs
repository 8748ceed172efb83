//! The pools of connections to servers, over loopback: the test plays a server. All waits are bounded.

use net::clock::{Alarms, Clock};
use net::http::Bounds;
use net::memory::BufferedBody;
use net::pool::{ForwardedRequest, Job, Settings};
use net::resources::Resources;
use proxy::dispatcher::AttemptResult;
use proxy::server_pools::ServerPools;
use proxy::servers::{AttemptInfo, ServerWire};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Limit of each wait; only a hang reaches it.
const WAIT: Duration = Duration::from_secs(10);
const SERVER: u64 = 7;

type Report = Box<dyn Fn(u64, u32, AttemptResult) + Send + Sync>;

struct Setup {
    listener: TcpListener,
    pools: ServerPools<ServerWire<Report>>,
    clock: Clock,
    ended: Receiver<AttemptResult>,
}

fn setup() -> Setup {
    net::set_up();
    let clock = Clock::start();
    let alarms = Alarms::start(clock).expect("a timer");
    let resources = Arc::new(Resources::new(1000, 64, clock, alarms, Box::new(|_| {})));
    let (sender, ended) = channel();
    let sender = Mutex::new(sender);
    let report: Report = Box::new(move |_, _, end| {
        let _ = sender.lock().expect("not poisoned").send(end);
    });
    let settings = Settings {
        dial_us: 5_000_000,
        answer_us: Some(5_000_000),
        idle_us: 30_000_000,
        max_connections: 10,
        tcp_user_timeout: None,
        bounds: Bounds { head: 4096, body: 4096 },
    };
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut pools = ServerPools::new(resources, Arc::new(ServerWire::new(report)), settings);
    pools.update(SERVER, listener.local_addr().expect("bound"), true);
    Setup { listener, pools, clock, ended }
}

impl Setup {
    /// Sends an attempt that the server begins to work on.
    fn attempt_at_work(&mut self) -> BufReader<TcpStream> {
        let head = b"GET / HTTP/1.1\r\nX-Attempt-Id: a\r\n".to_vec();
        let request = Arc::new(ForwardedRequest { head, body: BufferedBody::default() });
        let until = self.clock.now() + 10_000_000;
        let note = AttemptInfo { name: b"a".as_slice().into(), instance: "i-1".into() };
        let job = Job { id: 1, attempt: 0, request, same_server_retry: false, until, note };
        assert!(self.pools.send(SERVER, job));
        let (stream, _) = self.listener.accept().expect("a connection");
        stream.set_read_timeout(Some(WAIT)).expect("an option");
        let mut stream = BufReader::new(stream);
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            assert!(stream.read_line(&mut head).expect("a request") > 0);
        }
        stream
    }
}

/// Otherwise the server works on for a client that has left, and a server that has gone silently holds the connection
/// until this process ends.
#[test]
fn an_attempt_is_given_up_though_its_server_has_left_the_list() {
    let mut setup = setup();
    let mut stream = setup.attempt_at_work();
    setup.pools.remove(SERVER);
    setup.pools.give_up(1, 0, None);
    assert_eq!(stream.read(&mut [0]).expect("the end of the connection"), 0);
    assert_eq!(setup.pools.in_flight(), 0);
}

#[test]
fn an_attempt_at_work_is_answered_though_its_server_has_left_the_list() {
    let mut setup = setup();
    let mut stream = setup.attempt_at_work();
    setup.pools.remove(SERVER);
    stream
        .get_mut()
        .write_all(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n")
        .expect("written");
    let end = setup.ended.recv_timeout(WAIT).expect("an outcome");
    assert!(matches!(end, AttemptResult::Answered(answer) if answer.status == 200));
    setup.pools.ended(1, 0);
    assert_eq!(setup.pools.in_flight(), 0);
}
