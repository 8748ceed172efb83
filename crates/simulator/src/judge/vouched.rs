//! STALE: a core machine vouches for what is agreed though it has had no contact with a majority for too long.

use super::Judge;
use crate::process::BEAT;
use crate::record::{Host, Record, Vouched};
use crate::{Micros, SECOND};
use cluster::talk::FRESH_US;

/// Beyond what a machine may go by: for its answer to reach the caller.
const ON_ITS_WAY: Micros = SECOND / 2;
/// A directory goes on while proxies come by: they notice and move on within two beats, and count for four more.
const PROXIES: Micros = 6 * BEAT;

impl Judge<'_> {
    pub(super) fn vouched(&mut self) {
        let r = self.r;
        for s in &r.spoken {
            let more = if s.what == Vouched::Directory { PROXIES } else { 0 };
            let since = s.at.saturating_sub(FRESH_US + ON_ITS_WAY + more);
            let edges = r.unheard.iter().flat_map(|u| [u.from, u.until]);
            let edges = edges.chain(r.dark.iter().flat_map(|d| [d.from, d.until]));
            let edges = edges.flat_map(|at| [at.saturating_sub(1), at]);
            let mut moments = edges.filter(|at| (since..=s.at).contains(at)).chain([since, s.at]);
            if !moments.any(|at| contact(r, s.by, at)) {
                let at = s.at as f64 / SECOND as f64;
                let what = format!("machine {} vouches at {at:.3} s, cut off: {:?}", s.by, s.what);
                self.breach("STALE", None, what);
            }
        }
    }
}

/// Whether this machine could hear, and be heard by, one that could so a majority.
fn contact(r: &Record, host: Host, at: Micros) -> bool {
    let runs = |h: Host| !r.dark.iter().any(|d| d.host == h && (d.from..d.until).contains(&at));
    let hears = |by: Host, of: Host| {
        by == of || !r.unheard.iter().any(|u| (u.by, u.of) == (by, of) && (u.from..u.until).contains(&at))
    };
    let both = |a: Host, b: Host| runs(a) && runs(b) && hears(a, b) && hears(b, a);
    let led = |by: Host| 2 * (0..r.cores).filter(|h| both(by, *h)).count() > r.cores;
    (0..r.cores).any(|leader| both(host, leader) && led(leader))
}
