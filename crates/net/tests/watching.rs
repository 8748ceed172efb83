//! What the event loop watches while descriptors close and open on several threads. The order is forced: a
//! descriptor that, once it is closed, has another opened before anything else is done.

use may::io::CoIo;
use net::socket::Watched;
use std::fs;
use std::io::{Read, Write};
use std::os::fd::{AsRawFd, RawFd};
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(10);

/// One test at a time: the number of a closed descriptor must not go to another test.
fn alone() -> MutexGuard<'static, ()> {
    static ONE: Mutex<()> = Mutex::new(());
    let guard = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    net::set_up();
    guard
}

/// Whether some event loop of this process watches the descriptor, as the system tells it.
fn watched(number: RawFd) -> bool {
    let entries = fs::read_dir("/proc/self/fd").expect("descriptors").flatten();
    let loops =
        entries.filter(|e| fs::read_link(e.path()).is_ok_and(|to| to.ends_with("anon_inode:[eventpoll]")));
    loops
        .filter_map(|e| fs::read_to_string(format!("/proc/self/fdinfo/{}", e.file_name().display())).ok())
        .any(|info| {
            let mut lines = info.lines().filter_map(|l| l.strip_prefix("tfd:"));
            lines.any(|l| l.split_whitespace().next() == Some(&number.to_string()))
        })
}

type Opened = (Watched<UnixStream>, UnixStream);

/// A descriptor that is closed when it is dropped; in the same moment another thread opens one and watches it.
struct Closing {
    stream: Option<UnixStream>,
    opened: Sender<Opened>,
}

impl Closing {
    fn new(opened: Sender<Opened>) -> Closing {
        Closing { stream: Some(UnixStream::pair().expect("a pair").0), opened }
    }
}

impl AsRawFd for Closing {
    fn as_raw_fd(&self) -> RawFd {
        self.stream.as_ref().expect("open").as_raw_fd()
    }
}

impl Drop for Closing {
    fn drop(&mut self) {
        let number = self.as_raw_fd();
        self.stream = None;
        let other = std::thread::spawn(move || {
            let mut passed_over = Vec::new();
            loop {
                let (ours, theirs) = UnixStream::pair().expect("a pair");
                match [ours.as_raw_fd(), theirs.as_raw_fd()].iter().position(|n| *n == number) {
                    Some(0) => return (Watched::new(ours).expect("watched"), theirs),
                    Some(_) => return (Watched::new(theirs).expect("watched"), ours),
                    None => passed_over.push((ours, theirs)),
                }
                assert!(passed_over.len() < 1000, "the number is not given out again");
            }
        });
        let _ = self.opened.send(other.join().expect("opened"));
    }
}

#[test]
fn a_descriptor_opened_while_another_closes_is_watched_and_wakes() {
    let _alone = alone();
    let (tell, opened) = channel();
    let closing = Watched::new(Closing::new(tell)).expect("watched");
    let number = closing.inner().as_raw_fd();
    assert!(watched(number));
    drop(closing);
    let (ours, mut theirs) = opened.recv_timeout(WAIT).expect("opened");
    assert_eq!(ours.inner().as_raw_fd(), number);
    assert!(watched(number), "the end of the first has ended the watch of the second");
    let (tell, read) = channel();
    may::go!(move || {
        let mut byte = [0];
        let mut socket = ours.inner();
        while socket.read(&mut byte).is_err() {
            ours.wait();
        }
        let _ = tell.send(byte[0]);
    });
    theirs.write_all(&[7]).expect("taken");
    assert_eq!(read.recv_timeout(WAIT).expect("woken"), 7);
}

/// The fault that `Watched` is there for. Should this fail, the library has mended it.
#[test]
fn the_library_alone_ends_the_watch_of_the_descriptor_opened_next() {
    let _alone = alone();
    let (tell, opened) = channel();
    let closing = CoIo::new(Closing::new(tell)).expect("watched");
    let number = closing.inner().as_raw_fd();
    drop(closing);
    let (ours, _theirs) = opened.recv_timeout(WAIT).expect("opened");
    assert_eq!(ours.inner().as_raw_fd(), number);
    assert!(!watched(number), "watched to the end of its life");
}
