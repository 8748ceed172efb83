//! The recorded time of a kill: never later than the moment at which the end of the killed process can be seen
//! elsewhere. The rule `one_answer` excuses a lost try by that time, so a later one calls the try lost without reason.

use curlewfront_lab::fleet::Clock;
use curlewfront_lab::gateways::{Gateway, Program};
use curlewfront_lab::record::Recorder;
use curlewfront_lab::scenario::Scenario;
use std::collections::BTreeMap;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Barrier;
use std::time::{Duration, Instant};

/// Gateways that are killed at the same time: more than processors, so that the killing threads wait for one another.
const AT_ONCE: usize = 32;
const ROUNDS: usize = 12;
/// The most that any step of a round may take.
const PATIENCE: Duration = Duration::from_secs(60);

const SCENARIO: &str = r#"
name = "kills"
seed = 1
duration_s = 1
gateways = 32

[servers]
count = 1

[[class]]
name = "view"
aim_ms = 800
deadline_ms = 1500

[[plan]]
name = "basic"
rate = 2.0
burst = 6
customers = 1
"#;

struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("curlewfront-lab-kills-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process of one thread that connects to `addr`, and holds the connection until it is killed.
fn connected_process(addr: SocketAddr) -> Program {
    let script = format!("exec 3<>/dev/tcp/{}/{}; exec sleep 600", addr.ip(), addr.port());
    Program { path: "bash".into(), args: vec!["-c".into(), script] }
}

/// The next connection, within [`PATIENCE`].
fn accept(listener: &TcpListener) -> TcpStream {
    let until = Instant::now() + PATIENCE;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("a socket");
                stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
                return stream;
            }
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock && Instant::now() < until => {
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(e) => panic!("no connection: {e}"),
        }
    }
}

/// Waits for the end of the connection; the time at which it was seen.
fn seen_end(mut stream: TcpStream, clock: &Clock) -> u64 {
    let mut byte = [0];
    let read = stream.read(&mut byte);
    let at = clock.now();
    match read {
        Ok(0) => at,
        Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => at,
        other => panic!("the connection has not ended: {other:?}"),
    }
}

fn gateways(dir: &Path) -> Vec<Gateway> {
    let scenario = Scenario::parse(SCENARIO).expect("a good scenario");
    let discovery = SocketAddr::from(([127, 0, 0, 1], 1));
    let one = |index| Gateway::new(&scenario, index, dir, discovery, (1, &BTreeMap::new()), 1);
    (0..AT_ONCE).map(|index| one(index).expect("a gateway")).collect()
}

/// Starts each gateway, with a connection to it.
fn start(gateways: &[Gateway], clock: &Clock, rec: &Recorder) -> Vec<TcpStream> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    listener.set_nonblocking(true).expect("a socket");
    let program = connected_process(listener.local_addr().expect("an address"));
    let one = |gateway: &Gateway| {
        gateway.start(&program, clock, rec).expect("it starts");
        accept(&listener)
    };
    gateways.iter().map(one).collect()
}

/// Kills all gateways at the same time; when the end of each one's connection was seen.
fn kill(gateways: &[Gateway], streams: Vec<TcpStream>, clock: &Clock, rec: &Recorder) -> Vec<u64> {
    let together = Barrier::new(gateways.len());
    std::thread::scope(|scope| {
        let watching: Vec<_> = streams.into_iter().map(|s| scope.spawn(move || seen_end(s, clock))).collect();
        for gateway in gateways {
            scope.spawn(|| {
                together.wait();
                gateway.kill(clock, rec);
            });
        }
        watching.into_iter().map(|w| w.join().expect("the connection ends")).collect()
    })
}

#[test]
fn a_kill_is_recorded_no_later_than_the_end_of_a_connection_is_seen() {
    let folder = Folder::new();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    let _in_runtime = runtime.enter();
    let clock = Clock::start();
    let gateways = gateways(&folder.0);
    let mut late = Vec::new();
    for round in 0..ROUNDS {
        let rec = Recorder::default();
        let streams = start(&gateways, &clock, &rec);
        let seen = kill(&gateways, streams, &clock, &rec);
        let kills: BTreeMap<usize, u64> = rec
            .finish()
            .gateways
            .iter()
            .filter(|g| g.what == "killed")
            .map(|g| (g.gateway, g.at_us))
            .collect();
        assert_eq!(kills.len(), AT_ONCE, "each kill is recorded");
        for (index, seen) in seen.into_iter().enumerate() {
            assert_eq!(gateways[index].up().died_at, Some(kills[&index]), "one time of death");
            if kills[&index] > seen {
                late.push((round, index, kills[&index] - seen));
            }
        }
    }
    let most = late.iter().map(|(_, _, by)| *by).max().unwrap_or(0);
    let all = ROUNDS * AT_ONCE;
    assert!(late.is_empty(), "{} of {all} kills recorded late, by up to {most} us: {late:?}", late.len());
}
