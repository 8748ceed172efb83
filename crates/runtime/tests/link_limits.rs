//! Links that others open: how many there may be, and what they may make a process hold.

use net::clock::{Alarms, Clock};
use net::memory::MAX_SMALL_BYTES;
use net::resources::Resources;
use runtime::link_limits::LinkLimits;
use std::sync::Arc;

const MB: usize = 1 << 20;

fn limits(sockets: usize, max_links: usize) -> (Arc<Resources>, Arc<LinkLimits>) {
    net::set_up();
    let clock = Clock::start();
    let alarms = Alarms::start(clock).expect("a timer");
    let resources = Arc::new(Resources::new(sockets, 64, clock, alarms, Box::new(|_| {})));
    let limits = LinkLimits::new(resources.clone(), 64, max_links, 0);
    (resources, limits)
}

#[test]
fn no_more_links_are_accepted_than_may_be_open_at_once() {
    let (_, limits) = limits(1000, 2);
    let (first, second) = (limits.accept(), limits.accept());
    assert!(first.is_some() && second.is_some() && limits.accept().is_none());
    drop(first);
    assert!(limits.accept().is_some());
}

/// Links are opened by machines that the process needs: they use the descriptors that clients may not take.
#[test]
fn links_take_no_descriptors_of_clients() {
    let (resources, limits) = limits(24 + 160, usize::MAX);
    let clients: Vec<_> =
        std::iter::from_fn(|| resources.fds.take(net::limits::ConnectionKind::Client)).collect();
    let links: Vec<_> = std::iter::from_fn(|| limits.accept()).collect();
    assert_eq!((clients.len(), links.len()), (120, 40));
}

/// Guards against links that claim long frames and never make them whole.
#[test]
fn a_link_with_a_long_frame_ends_while_there_is_no_memory_for_it() {
    let (_, limits) = limits(1000, 100); // 8 MB for frames
    let mut links: Vec<_> = std::iter::from_fn(|| limits.accept()).take(5).collect();
    for link in &mut links[..2] {
        assert_eq!(link.check(4 * MB, true), Ok(()));
    }
    assert!(links[2].check(4 * MB, true).is_err());
    assert_eq!(links[3].check(MAX_SMALL_BYTES, true), Ok(()), "a short frame is taken");
    links.drain(..3);
    assert_eq!(links[1].check(4 * MB, true), Ok(()), "there is room again");
}
