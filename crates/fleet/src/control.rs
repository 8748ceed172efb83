//! A call to a gateway's control address, for the operator's command and for tests. Blocking, and bounded in time.

use crate::birth::Group;
use crate::state::{CallId, Command};
use crate::voter::{Request, Response};
use crate::wire::{self, Frame, Hello, NodeStatus, Reader, Told};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failed {
    /// The gateway cannot be reached, or does not speak as this program does.
    Unreachable(String),
    /// It reached no leader in time: what was asked may yet be carried out.
    NoLeader,
}

impl std::fmt::Display for Failed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failed::Unreachable(why) => write!(f, "cannot reach the gateway: {why}"),
            Failed::NoLeader => write!(f, "no leader answered in time; the change may yet be carried out"),
        }
    }
}

/// A connection to one gateway.
pub struct Control {
    stream: TcpStream,
    reader: Reader,
    within: Duration,
}

impl Control {
    pub fn open(addr: SocketAddr, within: Duration) -> Result<Control, Failed> {
        let cannot = |e: std::io::Error| Failed::Unreachable(format!("{addr}: {e}"));
        let stream = TcpStream::connect_timeout(&addr, within).map_err(cannot)?;
        stream.set_nodelay(true).map_err(cannot)?;
        let mut control = Control { stream, reader: Reader::default(), within };
        control.send(&Frame::Hello(Hello::new("", "", 0, 0, Group::default())))?;
        match control.next()? {
            Frame::Hello(_) => Ok(control),
            Frame::Refused { why } => Err(Failed::Unreachable(why)),
            _ => Err(Failed::Unreachable("an answer that has no place here".into())),
        }
    }

    fn send(&mut self, frame: &Frame) -> Result<(), Failed> {
        let bytes = wire::encode(frame).map_err(Failed::Unreachable)?;
        self.stream.write_all(&bytes).map_err(|e| Failed::Unreachable(e.to_string()))
    }

    fn next(&mut self) -> Result<Frame, Failed> {
        let until = Instant::now() + self.within;
        let mut buffer = vec![0; 64 << 10];
        loop {
            if let Some(frame) = self.reader.frame().map_err(Failed::Unreachable)? {
                return Ok(frame);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Failed::Unreachable("no answer in time".into()));
            }
            let _ = self.stream.set_read_timeout(Some(left));
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(Failed::Unreachable("the connection ended".into())),
                Ok(n) => self.reader.push(&buffer[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => return Err(Failed::Unreachable(e.to_string())),
            }
        }
    }

    fn ask(&mut self, frame: &Frame) -> Result<Told, Failed> {
        self.send(frame)?;
        match self.next()? {
            Frame::ControlAnswer(told) => Ok(*told),
            Frame::Refused { why } => Err(Failed::Unreachable(why)),
            _ => Err(Failed::Unreachable("an answer that has no place here".into())),
        }
    }

    /// What the gateway knows, without asking another.
    pub fn status(&mut self) -> Result<NodeStatus, Failed> {
        match self.ask(&Frame::ControlStatus)? {
            Told::Status(status) => Ok(*status),
            _ => Err(Failed::Unreachable("an answer to something else".into())),
        }
    }

    /// Asked of the leader, by way of the gateway.
    pub fn request(&mut self, request: Request) -> Result<Response, Failed> {
        match self.ask(&Frame::Control(request))? {
            Told::Response(response) => Ok(response),
            Told::NoLeader => Err(Failed::NoLeader),
            Told::Status(_) => Err(Failed::Unreachable("an answer to something else".into())),
        }
    }

    pub fn command(&mut self, command: Command) -> Result<Response, Failed> {
        // The gateway numbers it.
        self.request(Request::Change { id: CallId { caller: 0, number: 0 }, command })
    }

    /// Moves the gateway's group clock forward; only where its configuration lets tests do so.
    pub fn jump(&mut self, us: u64) -> Result<(), Failed> {
        self.ask(&Frame::ControlClock { us }).map(drop)
    }
}
