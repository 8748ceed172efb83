//! Guards against lost events: a descriptor that is opened on another thread while one is closed gets the same
//! number, and must stay watched by the event loop. The tests force this order: right after a descriptor is closed,
//! another one is opened, before anything else is done.

use may::io::CoIo;
use net::socket::Watched;
use std::fs;
use std::io::{Read, Write};
use std::os::fd::{AsRawFd, RawFd};
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Limit of each wait.
const WAIT: Duration = Duration::from_secs(10);

/// Keeps other tests from running while the guard is held: they must not reuse the number of a closed descriptor.
fn run_alone() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    let guard = LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    net::set_up();
    guard
}

/// Whether some event loop of this process watches the descriptor, read from /proc.
fn is_watched(number: RawFd) -> bool {
    let entries = fs::read_dir("/proc/self/fd").expect("descriptors").flatten();
    let event_loops =
        entries.filter(|e| fs::read_link(e.path()).is_ok_and(|to| to.ends_with("anon_inode:[eventpoll]")));
    event_loops
        .filter_map(|e| fs::read_to_string(format!("/proc/self/fdinfo/{}", e.file_name().display())).ok())
        .any(|info| {
            let mut lines = info.lines().filter_map(|l| l.strip_prefix("tfd:"));
            lines.any(|l| l.split_whitespace().next() == Some(&number.to_string()))
        })
}

/// A watched descriptor and its other end.
type Opened = (Watched<UnixStream>, UnixStream);

/// A descriptor that is closed when it is dropped; right after that, another thread opens one with the same number
/// and watches it.
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
        let opener = std::thread::spawn(move || {
            let mut other_numbers = Vec::new();
            loop {
                let (ours, theirs) = UnixStream::pair().expect("a pair");
                match [ours.as_raw_fd(), theirs.as_raw_fd()].iter().position(|n| *n == number) {
                    Some(0) => return (Watched::new(ours).expect("watched"), theirs),
                    Some(_) => return (Watched::new(theirs).expect("watched"), ours),
                    None => other_numbers.push((ours, theirs)),
                }
                assert!(other_numbers.len() < 1000, "the number is not reused");
            }
        });
        let _ = self.opened.send(opener.join().expect("opened"));
    }
}

#[test]
fn a_descriptor_opened_while_another_closes_is_watched_and_wakes() {
    let _alone = run_alone();
    let (sender, opened) = channel();
    let closing = Watched::new(Closing::new(sender)).expect("watched");
    let number = closing.inner().as_raw_fd();
    assert!(is_watched(number));
    drop(closing);
    let (ours, mut theirs) = opened.recv_timeout(WAIT).expect("opened");
    assert_eq!(ours.inner().as_raw_fd(), number);
    assert!(is_watched(number), "closing the first has ended the watch of the second");
    let (sender, read) = channel();
    may::go!(move || {
        let mut byte = [0];
        let mut socket = ours.inner();
        while socket.read(&mut byte).is_err() {
            ours.wait();
        }
        let _ = sender.send(byte[0]);
    });
    theirs.write_all(&[7]).expect("taken");
    assert_eq!(read.recv_timeout(WAIT).expect("woken"), 7);
}

/// The fault of the library that `Watched` works around. If this test fails, the library no longer has it.
#[test]
fn the_library_alone_ends_the_watch_of_the_descriptor_opened_next() {
    let _alone = run_alone();
    let (sender, opened) = channel();
    let closing = CoIo::new(Closing::new(sender)).expect("watched");
    let number = closing.inner().as_raw_fd();
    drop(closing);
    let (ours, _theirs) = opened.recv_timeout(WAIT).expect("opened");
    assert_eq!(ours.inner().as_raw_fd(), number);
    assert!(!is_watched(number), "the library keeps watching the new descriptor");
}
