//! Frames between gateways, and between an operator's command and its gateway: four bytes of length, then the frame by
//! `postcard`. Sizes are bounded before anything is read; the first frame each way says who speaks. No I/O.
//!
//! The links belong on a trusted network: nothing here is encrypted or signed. See `docs/fleet/design.md` for where
//! TLS goes.

use crate::birth::Group;
use crate::mirror::PeerMessage;
use crate::parts::Piece;
use crate::voter::{Request, Response};
use serde::{Deserialize, Serialize};

/// Told first on each connection; another version is refused.
pub const VERSION: u32 = 1;
const MAGIC: u32 = 0x6375_726c;
/// The largest frame: a message of entries, with room for the largest document beside it.
pub const MOST_FRAME: usize = 4 << 20;

/// Who speaks, from which life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    magic: u32,
    pub version: u32,
    /// Empty: an operator's command, on the control address alone.
    pub installation: String,
    pub name: String,
    pub disk: u64,
    pub process: u64,
    /// Where it says that others reach it.
    pub addr: String,
    pub group: Group,
}

impl Hello {
    pub fn new(installation: &str, name: &str, disk: u64, process: u64, group: Group) -> Hello {
        let (installation, name) = (installation.to_string(), name.to_string());
        Hello {
            magic: MAGIC,
            version: VERSION,
            installation,
            name,
            disk,
            process,
            addr: String::new(),
            group,
        }
    }

    pub fn at(self, addr: String) -> Hello {
        Hello { addr, ..self }
    }

    /// Whether `me` may speak with it, and if not, why not.
    pub fn check(&self, me: &Hello, control: bool) -> Result<(), String> {
        if self.magic != MAGIC {
            return Err("not a curlewfront link".into());
        }
        if self.version != VERSION {
            return Err(format!("version {} of the link, this program speaks {VERSION}", self.version));
        }
        if control && self.installation.is_empty() {
            return Ok(());
        }
        if self.installation != me.installation {
            return Err(format!(
                "of installation {:?}, this one is {:?}",
                self.installation, me.installation
            ));
        }
        if self.group.born() && me.group.born() && self.group.number != me.group.number {
            return Err(format!("of group {:x}, this one is of {:x}", self.group.number, me.group.number));
        }
        Ok(())
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    Hello(Hello),
    /// The connection ends, for this reason.
    Refused {
        why: String,
    },
    Peer(PeerMessage),
    Piece {
        from: u64,
        to: u64,
        piece: Piece,
    },
    Call {
        token: u64,
        request: Request,
    },
    Answer {
        token: u64,
        response: Response,
    },
    /// The state has come this far: whoever follows may fetch. Dropped without harm.
    Tip {
        revision: u64,
    },
    /// From the operator's command: passed on to the leader, answered when it answers.
    Control(Request),
    ControlStatus,
    /// Moves the group's clock forward, where the configuration lets tests do so.
    ControlClock {
        us: u64,
    },
    ControlAnswer(Box<Told>),
}

/// What a gateway tells the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Told {
    Response(Response),
    Status(Box<NodeStatus>),
    /// No leader answered in time.
    NoLeader,
}

/// What one gateway knows of the group and its own part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    pub installation: String,
    pub name: String,
    pub disk: u64,
    pub group: u64,
    /// `voter`, `watcher`, `unborn` (its voters have not all been heard of), `joining`, `failed`.
    pub role: String,
    pub leader: String,
    pub incarnation: u64,
    pub lease_left_ms: u64,
    pub voter: Option<crate::voter::Status>,
    pub state: crate::state::State,
    pub counts: Counts,
    /// What keeps it from its part, if something does.
    pub trouble: String,
}

/// Sums since the start, for `/_stats` too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    pub frames_in: u64,
    pub frames_out: u64,
    pub dropped: u64,
    pub refused: u64,
    pub links_broken: u64,
    pub syncs: u64,
    pub calls: u64,
    pub calls_failed: u64,
    pub renewed: u64,
    pub leases_lost: u64,
    pub elections: u64,
    pub snapshots: u64,
}

/// A frame as it goes out.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, String> {
    let mut bytes = vec![0; 4];
    bytes = postcard::to_extend(frame, bytes).map_err(|e| format!("frame: {e}"))?;
    let length = bytes.len() - 4;
    if length > MOST_FRAME {
        return Err(format!("frame of {length} bytes, more than {MOST_FRAME}"));
    }
    bytes[..4].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(bytes)
}

/// Bytes as they come, cut into frames.
#[derive(Default)]
pub struct Reader {
    held: Vec<u8>,
    from: usize,
}

impl Reader {
    pub fn push(&mut self, bytes: &[u8]) {
        if self.from > 0 && self.from == self.held.len() {
            self.held.clear();
            self.from = 0;
        }
        self.held.extend_from_slice(bytes);
    }

    /// The next whole frame, if it is there.
    pub fn frame(&mut self) -> Result<Option<Frame>, String> {
        let rest = &self.held[self.from..];
        let Some(head) = rest.get(..4).and_then(|b| b.try_into().ok()) else { return Ok(None) };
        let length = u32::from_be_bytes(head) as usize;
        if length > MOST_FRAME {
            return Err(format!("a frame of {length} bytes is announced, at most {MOST_FRAME} are taken"));
        }
        let Some(content) = rest.get(4..4 + length) else {
            if self.from > 0 {
                self.held.drain(..self.from);
                self.from = 0;
            }
            return Ok(None);
        };
        let frame = postcard::from_bytes(content).map_err(|e| format!("a frame cannot be read: {e}"))?;
        self.from += 4 + length;
        Ok(Some(frame))
    }

    /// Bytes of a frame that is not whole.
    pub fn rest(&self) -> usize {
        self.held.len() - self.from
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn hello(installation: &str, version: u32, group: u64) -> Hello {
        let mut h = Hello::new(installation, "n", 1, 2, Group { number: group, founders: Vec::new() });
        h.version = version;
        h
    }

    #[test]
    fn strangers_are_refused_with_the_reason() {
        let me = hello("here", VERSION, 7);
        assert!(hello("here", VERSION, 7).check(&me, false).is_ok());
        assert!(hello("here", VERSION, 0).check(&me, false).is_ok(), "an unborn one may ask");
        assert!(hello("there", VERSION, 7).check(&me, false).unwrap_err().contains("there"));
        assert!(hello("here", 9, 7).check(&me, false).unwrap_err().contains("version 9"));
        assert!(hello("here", VERSION, 8).check(&me, false).unwrap_err().contains("group 8"));
        assert!(hello("", VERSION, 0).check(&me, false).is_err(), "a command has no place among gateways");
        assert!(hello("", VERSION, 0).check(&me, true).is_ok());
    }

    #[test]
    fn an_announced_length_beyond_the_bound_is_refused_before_it_is_held() {
        let mut reader = Reader::default();
        reader.push(&(MOST_FRAME as u32 + 1).to_be_bytes());
        assert!(reader.frame().is_err());
    }

    proptest! {
        /// Frames come out as they went in, however the bytes are cut.
        #[test]
        fn frames_survive_any_cut(cuts in prop::collection::vec(1usize..40, 1..60), tokens in prop::collection::vec(any::<u64>(), 1..20)) {
            let frames: Vec<Frame> = tokens
                .iter()
                .map(|t| Frame::Call { token: *t, request: Request::Get { key: format!("k{t}") } })
                .collect();
            let bytes: Vec<u8> = frames.iter().flat_map(|f| encode(f).expect("small")).collect();
            let (mut reader, mut got, mut at) = (Reader::default(), Vec::new(), 0);
            for cut in cuts.iter().cycle() {
                let to = (at + cut).min(bytes.len());
                reader.push(&bytes[at..to]);
                at = to;
                while let Some(frame) = reader.frame().expect("good frames") {
                    got.push(frame);
                }
                if at == bytes.len() {
                    break;
                }
            }
            prop_assert_eq!(got, frames);
            prop_assert_eq!(reader.rest(), 0);
        }

        /// Whatever comes, it is a frame, a wait for more, or an error: never a panic.
        #[test]
        fn any_bytes_are_borne(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
            let mut reader = Reader::default();
            reader.push(&bytes);
            for _ in 0..200 {
                match reader.frame() {
                    Ok(Some(_)) => {}
                    _ => break,
                }
            }
        }
    }
}
