//! Gateway processes: each with a configuration file of its own in the run's folder, its log beside it. They are
//! started as the deploy file starts one (a program and `EDGE_CONFIG`), killed with SIGKILL, ended with SIGTERM,
//! told of a new configuration with SIGHUP. A process that ends is recorded; all end with the lab.

use crate::discovery::{Member, known};
use crate::fleet::Clock;
use crate::record::{GatewayRow, Recorder};
use crate::scenario::Scenario;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::process::{Child, Command};

/// What a gateway process is started as: the program and the words before the configuration's path is set.
#[derive(Clone, Debug)]
pub struct Program {
    pub path: PathBuf,
    pub args: Vec<String>,
}

/// One gateway: its address, its configuration, its process if it runs.
pub struct Gateway {
    pub index: usize,
    pub listen: SocketAddr,
    /// Keeps the port, also while the process is down.
    _port: socket2::Socket,
    config: Mutex<Value>,
    path: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// The front sends to it from this time on (once its health answers), and not after it noticed its death.
    pub up: Mutex<Up>,
}

/// What the front believes of a gateway.
#[derive(Clone, Copy, Debug, Default)]
pub struct Up {
    pub healthy: bool,
    /// The gateway died at this time; the front sends to it until it notices.
    pub died_at: Option<u64>,
}

/// A port on loopback, as the system chooses it, kept until the socket is dropped. The socket is bound and does not
/// listen, so connections are refused while nobody else does; whoever binds with SO_REUSEADDR, as the gateway does,
/// may listen on the port, again and again. Let go while its gateway is down, it could be given to an outgoing
/// connection of another process, and the gateway that comes back could not listen.
pub fn keep_port() -> std::io::Result<(socket2::Socket, SocketAddr)> {
    let kept = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    kept.set_reuse_address(true)?;
    kept.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    let addr = kept.local_addr()?.as_socket().ok_or_else(|| std::io::Error::other("no address"))?;
    Ok((kept, addr))
}

/// The settings object of a gateway, as the simulator's first message would have it.
pub fn settings(s: &Scenario, index: usize) -> Value {
    let classes: Vec<Value> = s
        .classes
        .iter()
        .map(|c| {
            json!({"name": c.name, "aimUs": (c.aim_ms * 1000.0) as u64, "deadlineUs": (c.deadline_ms * 1000.0) as u64,
                   "effect": c.effect, "lateWorth": 0.0, "windowUs": (c.window_ms * 1000.0) as u64, "group": c.group})
        })
        .collect();
    let plans: Vec<Value> = s
        .plans
        .iter()
        .map(|p| {
            json!({"name": p.name, "unitsPerS": p.rate, "depth": p.burst, "atOnce": p.at_once,
                   "capRate": p.ceiling_rate, "capDepth": p.ceiling_burst})
        })
        .collect();
    let m = &s.servers;
    json!({
        "balancers": s.gateways, "index": index, "localities": m.zones, "granularityUs": 1000,
        "membershipMode": "pushed", "classes": classes, "tiersOfService": plans,
        "familyInfo": {"meterUs": if s.meter.on { (s.meter.period_ms * 1000.0) as u64 } else { 0 }, "truedUp": false},
        "clients": {"marksRetry": s.clients.marks_retry},
        "permissions": {"attemptsCap": 5, "mayCancel": true, "retryAfter": true, "maxRetryAfterUs": 500_000,
                        "connIdleUs": ((m.idle_close_s * 1e6) as u64).saturating_sub(500_000).max(100_000),
                        "dialTimeoutUs": 250_000},
        "rules": {"askWithinUs": 6_000_000, "coldFrom": m.cold_from, "coldUs": (m.cold_s * 1e6) as u64,
                  "fallMultiple": m.fall_multiple, "fallUs": (m.fall_ms * 1000.0) as u64},
    })
}

impl Gateway {
    /// Writes the configuration of gateway `index` into `dir`; the process is started by [`Gateway::start`].
    pub fn new(
        s: &Scenario,
        index: usize,
        dir: &Path,
        discovery: SocketAddr,
        list: (u64, &BTreeMap<usize, Member>),
        seed: u64,
    ) -> Result<Gateway, String> {
        let (port, listen) = keep_port().map_err(|e| format!("no port for gateway {index}: {e}"))?;
        let config = json!({
            "name": format!("n{index}"),
            "listen": listen.to_string(),
            "discovery": discovery.to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": s.limits.memory_mb, "sockets": s.limits.sockets},
            "known": known(list.0, list.1),
            "settings": settings(s, index),
        });
        let gateway = Gateway {
            index,
            listen,
            _port: port,
            config: Mutex::new(config),
            path: dir.join(format!("n{index}.json")),
            log: dir.join(format!("n{index}.log")),
            child: Mutex::new(None),
            up: Mutex::new(Up::default()),
        };
        gateway.write_config()?;
        Ok(gateway)
    }

    fn child(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn up(&self) -> Up {
        *self.up.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn set_up(&self, change: impl FnOnce(&mut Up)) {
        change(&mut self.up.lock().unwrap_or_else(|e| e.into_inner()));
    }

    fn write_config(&self) -> Result<(), String> {
        let text = serde_json::to_string_pretty(&*self.config.lock().unwrap_or_else(|e| e.into_inner()))
            .expect("plain data");
        std::fs::write(&self.path, text).map_err(|e| format!("{}: {e}", self.path.display()))
    }

    /// Starts the process; its standard output and error go to its log, appended.
    pub fn start(&self, program: &Program, clock: &Clock, rec: &Recorder) -> Result<(), String> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(|e| format!("{}: {e}", self.log.display()))?;
        let err = log.try_clone().map_err(|e| format!("{}: {e}", self.log.display()))?;
        let child = Command::new(&program.path)
            .args(&program.args)
            .env("EDGE_CONFIG", &self.path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(err)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| format!("cannot start {}: {e}", program.path.display()))?;
        *self.child() = Some(child);
        self.set_up(|u| *u = Up { healthy: false, died_at: None });
        rec.gateway(GatewayRow::event(clock.now(), self.index, "started"));
        Ok(())
    }

    /// Resident memory of the process, in KiB; 0 where it cannot be read.
    pub fn rss_kb(&self) -> u64 {
        let Some(pid) = self.pid() else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0)
    }

    fn pid(&self) -> Option<Pid> {
        self.child().as_ref().and_then(|c| c.id()).map(|id| Pid::from_raw(id as i32))
    }

    /// SIGKILL, at once. The recorded time is read before the signal is sent, so that no client sees its connection end
    /// before that time.
    pub fn kill(&self, clock: &Clock, rec: &Recorder) {
        if let Some(mut child) = self.child().take() {
            let at = clock.now();
            let _ = child.start_kill();
            self.set_up(|u| *u = Up { healthy: false, died_at: Some(at) });
            rec.gateway(GatewayRow::event(at, self.index, "killed"));
        }
    }

    /// SIGTERM, then waits for the end (SIGKILL after `most`).
    pub async fn terminate(&self, clock: &Clock, rec: &Recorder, most: Duration) {
        let Some(pid) = self.pid() else { return };
        let at = clock.now();
        let _ = kill(pid, Signal::SIGTERM);
        rec.gateway(GatewayRow::event(at, self.index, "terminated"));
        self.set_up(|u| u.died_at = Some(at));
        let child = self.child().take();
        if let Some(mut child) = child
            && tokio::time::timeout(most, child.wait()).await.is_err()
        {
            let _ = child.start_kill();
            let _ = child.wait().await;
        }
        self.set_up(|u| u.healthy = false);
    }

    /// A new configuration: `change` edits it, it is written, and the process gets SIGHUP.
    pub fn reload(&self, change: impl FnOnce(&mut Value)) -> Result<(), String> {
        change(&mut self.config.lock().unwrap_or_else(|e| e.into_inner()));
        self.write_config()?;
        if let Some(pid) = self.pid() {
            kill(pid, Signal::SIGHUP).map_err(|e| format!("SIGHUP to gateway {}: {e}", self.index))?;
        }
        Ok(())
    }

    /// Whether its process has ended by itself; recorded once.
    pub fn exited(&self, clock: &Clock, rec: &Recorder) -> bool {
        let mut child = self.child();
        let Some(c) = child.as_mut() else { return false };
        if let Ok(Some(status)) = c.try_wait() {
            *child = None;
            let at = clock.now();
            self.set_up(|u| *u = Up { healthy: false, died_at: Some(at) });
            let what = format!("exited {status}");
            rec.gateway(GatewayRow::event(at, self.index, what));
            return true;
        }
        false
    }

    pub fn running(&self) -> bool {
        self.child().is_some()
    }

    /// Marks it healthy for the front.
    pub fn healthy(&self) {
        self.set_up(|u| *u = Up { healthy: true, died_at: None });
    }
}

/// Asks a gateway's `/_health` until it answers 200, for at most `most`.
pub async fn wait_healthy(addr: SocketAddr, most: Duration) -> bool {
    let until = tokio::time::Instant::now() + most;
    while tokio::time::Instant::now() < until {
        if let Ok(Ok(status)) = tokio::time::timeout(Duration::from_millis(500), get(addr, "/_health")).await
            && status.0 == 200
        {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

/// A GET on a new connection: status and body.
pub async fn get(addr: SocketAddr, path: &str) -> std::io::Result<(u16, Vec<u8>)> {
    let stream = tokio::net::TcpStream::connect(addr).await?;
    let mut conn = crate::http::Conn::new(stream);
    let head = [("Host", "lab".to_string()), ("Connection", "close".to_string())];
    conn.write(&crate::http::request("GET", path, &head, b"")).await?;
    let r = conn.read_response().await?;
    Ok((r.status, r.body))
}

/// Samples `/_stats` of all running gateways every `every` until `until_us`.
pub async fn sample(
    gateways: Arc<Vec<Gateway>>,
    clock: Clock,
    rec: Arc<Recorder>,
    every: Duration,
    until_us: u64,
) {
    while clock.now() < until_us {
        for g in gateways.iter().filter(|g| g.running() && g.up().healthy) {
            let Ok(Ok((200, body))) = tokio::time::timeout(every, get(g.listen, "/_stats")).await else {
                continue;
            };
            let Ok(v) = serde_json::from_slice::<Value>(&body) else { continue };
            let num = |k: &str| v.get(k).and_then(Value::as_f64).unwrap_or(0.0);
            rec.gateway(GatewayRow {
                at_us: clock.now(),
                gateway: g.index,
                what: "sample".into(),
                target: num("target"),
                out: num("out") as u64,
                open: num("open") as u64,
                rss_kb: g.rss_kb(),
            });
        }
        tokio::time::sleep(every).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::{TcpListener, TcpStream};

    /// Else a gateway that is running may dial from it, and the one it was chosen for cannot listen, at first or
    /// after it was killed.
    #[test]
    fn a_port_chosen_for_a_gateway_is_nobody_elses_before_between_and_after_its_lives() {
        let (kept, addr) = keep_port().expect("a port");
        for life in 0..3 {
            let refused = TcpStream::connect(addr).expect_err("nobody listens");
            assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused, "life {life}");
            let dial =
                socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
            assert!(
                dial.bind(&addr.into()).is_err(),
                "life {life}: not for a socket that wants it for itself"
            );
            let gateway = TcpListener::bind(addr).expect("the gateway listens"); // with SO_REUSEADDR
            let client = TcpStream::connect(addr).expect("taken");
            let (server, _) = gateway.accept().expect("a connection");
            drop((server, client, gateway));
        }
        drop(kept);
    }

    /// A system that hands out each port of a small range, one after the other, never hands out the kept one.
    #[test]
    fn the_system_gives_a_kept_port_to_no_other_socket() {
        let (_kept, addr) = keep_port().expect("a port");
        let others: Vec<_> = (0..200).map(|_| keep_port().expect("a port")).collect();
        assert!(others.iter().all(|(_, other)| *other != addr));
    }
}
