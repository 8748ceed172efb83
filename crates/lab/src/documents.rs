//! Clients of the group's documents, through the control addresses of real gateways: they write and read while faults
//! go on, and record what they asked and saw, to be judged by `curlewfront_fleetsim::history`.

use crate::rig::Rig;
use curlewfront_fleet::control::Control;
use curlewfront_fleet::state::{Applied, Command};
use curlewfront_fleet::voter::{Request, Response};
use curlewfront_fleetsim::history::{Done, Op, Ret};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// How long a call waits; beyond it, whether it was carried out is not known.
const WITHIN: Duration = Duration::from_millis(1_500);

/// Clients at work.
pub struct Clients {
    stop: Arc<AtomicBool>,
    done: Arc<Mutex<Vec<Done>>>,
    threads: Vec<JoinHandle<()>>,
}

/// A document's name in these runs.
pub fn key(n: usize) -> String {
    format!("lab/k{n}")
}

impl Clients {
    /// `clients` of them on `keys` documents, each with a pause drawn up to `pause` between calls.
    pub fn start(rig: &Arc<Rig>, clients: usize, keys: usize, pause: Duration, seed: u64) -> Clients {
        let (stop, done) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let threads = (0..clients)
            .map(|client| {
                let (rig, stop, done) = (rig.clone(), stop.clone(), done.clone());
                std::thread::spawn(move || {
                    let mut rng = SmallRng::seed_from_u64(seed ^ (client as u64) << 32);
                    let mut number = 0;
                    while !stop.load(Ordering::Relaxed) {
                        number += 1;
                        let one = call(&rig, &mut rng, client, keys, number);
                        if let Some(one) = one {
                            done.lock().unwrap_or_else(PoisonError::into_inner).push(one);
                        }
                        std::thread::sleep(pause.mul_f64(rng.gen_range(0.0..1.0)));
                    }
                })
            })
            .collect();
        Clients { stop, done, threads }
    }

    /// Ends them, and gives what they did.
    pub fn finish(self) -> Vec<Done> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|t| drop(t.join()));
        std::mem::take(&mut *self.done.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Calls that have been answered so far.
    pub fn answered(&self) -> usize {
        let done = self.done.lock().unwrap_or_else(PoisonError::into_inner);
        done.iter().filter(|d| d.answered.is_some()).count()
    }
}

/// None where nothing was asked: the gateway could not be reached, or a read found no leader.
fn call(rig: &Rig, rng: &mut SmallRng, client: usize, keys: usize, number: u64) -> Option<Done> {
    let (member, key_number) = (rng.gen_range(0..rig.members()), rng.gen_range(0..keys));
    let writes = rng.gen_bool(0.5);
    let mut control = Control::open(rig.control(member), WITHIN).ok()?;
    let value = (client as u64 + 1) << 32 | number;
    let (op, request) = if writes {
        let bytes = Some(value.to_be_bytes().to_vec());
        let command = Command::Put { key: key(key_number), value: bytes, if_version: None };
        (Op::Put { value, if_version: None }, Err(command))
    } else {
        (Op::Get, Ok(Request::Get { key: key(key_number) }))
    };
    let asked = rig.now();
    let response = match request {
        Ok(request) => control.request(request),
        Err(command) => control.command(command),
    };
    let at = rig.now();
    let ret = match response {
        Ok(Response::Applied(Applied::Put { version })) => Some(Ret::Put(version)),
        Ok(Response::Document { version, value }) => {
            let value = value.and_then(|v| v.try_into().ok()).map(u64::from_be_bytes);
            Some(Ret::Got { version, value })
        }
        _ => None,
    };
    // A read without an answer says nothing; a write without one may yet be carried out.
    (ret.is_some() || writes).then_some(Done {
        client,
        key: key_number,
        op,
        asked,
        answered: ret.map(|r| (at, r)),
    })
}
