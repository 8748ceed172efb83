//! Where this proxy has its news from, and to whom it passes them on: chooses whom to follow, notices when
//! nothing new can come from there, and goes on to the next. See docs/system/relays.md.

use crate::relay::Relay;
use crate::tree::{self, DEEPEST};
use cluster::copy::Copy;
use cluster::drill::Rows;
use cluster::rollout::Tally;
use cluster::state::Node;
use cluster::talk::{Age, Down, Head, Lease, News, Reading, Seen, Standing, Up, Usage, Use};
use cluster::{Micros, Rev};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use xxhash_rust::xxh3::xxh3_64;

pub enum Input {
    Tick,
    /// The link of this number, of those that were asked for, is up.
    Linked(u64),
    Broken(u64),
    Got(u64, Down),
    /// The news that were handed out are in the copy.
    Changed,
    /// From a link of a follower.
    Below(u64, Up),
    BelowGone(u64),
    /// This proxy ends in order: followers go elsewhere at once.
    Ends,
    /// To go up: what is to be said of drills.
    Drill(Vec<Rows>),
    /// To go up: what was counted of rollouts.
    Rollout(Vec<Tally>),
}

#[derive(Debug)]
pub enum Output {
    /// Link to the registry, or to the relay, on that machine.
    Link {
        link: u64,
        ip: Ipv4Addr,
        relay: bool,
    },
    Unlink(u64),
    Say(u64, Up),
    News(News),
    /// With when they were made, at the least.
    Meter(Vec<Reading>, Micros),
    Leases(Vec<Lease>, Micros),
    /// To a follower; and one that is to go.
    Tell(u64, Down),
    Refuse(u64),
}

/// Who is followed is given up after so many of its messages have not come.
const MISSED: Micros = 3;
/// Between two reports at the least.
const HURRY_US: Micros = 100_000;
/// A link takes so long to come up at the most. A machine that is dark says nothing at all, so another registry is
/// asked sooner while there is one that has not failed lately.
const DIAL_US: Micros = 700_000;
const DIAL_FIRST_US: Micros = 300_000;
/// Who failed is tried again after others, for so many beats.
const SHUNNED: Micros = 4;
/// Nobody who is fresh is left for a better place before so many beats.
const SETTLED: Micros = 2;
/// Reports from each level below are waited for so long, so that one of this proxy's carries them all.
const GATHER_US: Micros = 20_000;
/// A relay passes a standing on as it comes, and speaks by itself a little later if none does. It is given up
/// sooner than a registry, in hundredths of the time between two standings: those below must have reported
/// elsewhere before they are taken for gone along with it.
const RELAY_SPEAKS: Micros = 110;
const RELAY_SILENT: Micros = 210;

struct Parent {
    link: u64,
    ip: Ipv4Addr,
    relay: bool,
    since: Micros,
    /// How long it has for the link to come up.
    dial_us: Micros,
    linked: bool,
    /// When it was greeted.
    linked_at: Micros,
    heard_at: Micros,
    /// When, by what it said, its copy held all that was acknowledged.
    fresh_at: Micros,
    /// It has said so since it is followed.
    proved: bool,
    /// It says that it does not hold it, since.
    cut_off_at: Option<Micros>,
    path: Vec<Ipv4Addr>,
    head: Option<Head>,
    clock: Option<PeerClock>,
}

/// The steady clock of who is followed, as this proxy can know it. Its first standing answers this proxy's first message,
/// so it was said no earlier than that was sent; later ones by as much later as that clock tells. Whatever waited on its way,
/// in a queue or in a process that stood still, is then as old as it is, and not as new as it came.
#[derive(Clone, Copy)]
struct PeerClock {
    /// There, and here at the least.
    first_said: Micros,
    asked_at: Micros,
    /// How far the clock here is ahead when something comes that did not wait: the least that was seen.
    ahead: i64,
}

impl PeerClock {
    /// The least that the time here was when that was said there.
    fn here(self, said_at: Micros) -> Micros {
        self.asked_at + said_at.saturating_sub(self.first_said)
    }

    fn came(&mut self, now: Micros, said_at: Micros) {
        self.ahead = self.ahead.min(now.wrapping_sub(said_at) as i64);
    }

    /// When that would have come had it not waited: never too early, as nothing may end before its time for that.
    fn without_waiting(self, said_at: Micros) -> Micros {
        said_at.wrapping_add_signed(self.ahead)
    }
}

impl Parent {
    /// When a standing that has come now was said, by the clock here; one that does not tell counts from now.
    fn said_at(&mut self, now: Micros, said_at: Option<Micros>) -> Micros {
        let Some(said_at) = said_at else { return now };
        let asked_at = self.linked_at;
        let clock = self.clock.get_or_insert(PeerClock { first_said: said_at, asked_at, ahead: i64::MAX });
        clock.came(now, said_at);
        clock.here(said_at).min(now)
    }
}

pub struct Feed {
    now: Micros,
    node: Node,
    zones: BTreeMap<String, String>,
    beat_us: Micros,
    life: u64,
    count: u64,
    pub ready: bool,
    seeds: Vec<Ipv4Addr>,
    core: BTreeMap<Ipv4Addr, String>,
    away: BTreeSet<Ipv4Addr>,
    failed: BTreeMap<Ipv4Addr, Micros>,
    links: u64,
    parent: Option<Parent>,
    /// Takes the parent's place once it has shown that it is fresh.
    next: Option<Parent>,
    /// When all that was acknowledged was held here.
    fresh_at: Option<Micros>,
    /// The region's proxies, the head first, and the place in it.
    order: Vec<Ipv4Addr>,
    place: Option<usize>,
    /// The greatest that is known of the region.
    head: Option<Head>,
    /// First in the order, beside a registry, since.
    first_since: Option<Micros>,
    relay: Relay,
    tell_at: Micros,
    ended: bool,
    report_at: Micros,
    reported_at: Micros,
    /// For the report that is due; none goes out without.
    uses: Option<Vec<Use>>,
    /// Silent ones among those that this proxy watches, and their lives.
    suspects: Vec<(Ipv4Addr, u64)>,
}

impl Feed {
    pub fn new(
        node: Node,
        zones: BTreeMap<String, String>,
        seeds: Vec<Ipv4Addr>,
        beat_us: Micros,
        life: u64,
        now: Micros,
    ) -> Feed {
        Feed {
            now,
            node,
            zones,
            beat_us,
            life,
            count: 0,
            ready: false,
            seeds,
            core: BTreeMap::new(),
            away: BTreeSet::new(),
            failed: BTreeMap::new(),
            links: 0,
            parent: None,
            next: None,
            fresh_at: None,
            order: Vec::new(),
            place: None,
            head: None,
            first_since: None,
            relay: Relay::default(),
            tell_at: Micros::MAX,
            ended: false,
            report_at: now,
            reported_at: 0,
            uses: None,
            suspects: Vec::new(),
        }
    }

    pub fn reseed(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// Has followed somebody who held all that was acknowledged.
    pub fn was_fresh(&self) -> bool {
        self.fresh_at.is_some()
    }

    /// When all that was acknowledged was last held here.
    pub fn fresh_at(&self) -> Option<Micros> {
        self.fresh_at
    }

    /// The one who is followed, and through how many relays its news come.
    pub fn follows(&self) -> Option<(Ipv4Addr, usize)> {
        self.parent.as_ref().filter(|p| p.proved).map(|p| (p.ip, p.path.len()))
    }

    pub fn head(&self) -> Option<Head> {
        self.head
    }

    fn part(&self) -> Micros {
        self.beat_us / 3
    }

    /// When this parent is given up if nothing more comes.
    fn patience(&self, p: &Parent) -> Micros {
        if !p.linked {
            return p.since + p.dial_us;
        }
        let silence = if p.relay { self.part() * RELAY_SILENT / 100 } else { MISSED * self.part() };
        // Each relay on the way has a little longer to find another source than those below it.
        let stale = MISSED * self.part() + p.path.len() as Micros * self.part() / 2;
        // Who says itself that it is cut off is left sooner, for one of which that is not known.
        let left = match p.cut_off_at {
            Some(at) if !p.relay && self.others(p.ip) => at + if p.proved { self.part() } else { 0 },
            _ => Micros::MAX,
        };
        (p.heard_at + silence).min(p.fresh_at + stale).min(left)
    }

    /// Whether there is a registry beside this one that has not failed lately.
    fn others(&self, ip: Ipv4Addr) -> bool {
        self.registries().any(|r| r != ip && self.failed_at(r).is_none())
    }

    fn settled_at(&self) -> Micros {
        match (&self.parent, &self.next) {
            (Some(p), None) if p.proved && p.since + SETTLED * self.beat_us > self.now => {
                p.since + SETTLED * self.beat_us
            }
            _ => Micros::MAX,
        }
    }

    pub fn wake_at(&self) -> Micros {
        let parent = self.parent.as_ref().map_or(self.now, |p| self.patience(p));
        let next = self.next.as_ref().map_or(Micros::MAX, |p| self.patience(p));
        let linked = self.parent.as_ref().is_some_and(|p| p.linked);
        let report = if linked { self.report_at } else { Micros::MAX };
        parent.min(next).min(self.settled_at()).min(report).min(self.tell_at)
    }

    /// Reports soon, as something that others act on has changed.
    pub fn hurry(&mut self) {
        self.report_within(0);
    }

    fn report_within(&mut self, us: Micros) {
        let soonest = (self.now + us).max(self.reported_at + HURRY_US);
        self.report_at = self.report_at.min(soonest);
    }

    /// How long reports from below are waited for: those of the lowest come first.
    fn gather_us(&self) -> Micros {
        let depth = self.parent.as_ref().map_or(0, |p| p.path.len());
        let levels = 3_usize.saturating_sub(depth).max(1) as Micros;
        if self.relay.followers.is_empty() { 0 } else { levels * GATHER_US }
    }

    /// Whether a report is due: `uses` then says what it is to tell.
    pub fn reports(&self, now: Micros) -> bool {
        now >= self.report_at && self.parent.as_ref().is_some_and(|p| p.linked)
    }

    pub fn suspects(&mut self, suspects: Vec<(Ipv4Addr, u64)>) {
        if self.suspects != suspects {
            self.suspects = suspects;
            self.hurry();
        }
    }

    pub fn uses(&mut self, uses: Vec<Use>) {
        self.uses = Some(uses);
    }

    pub fn handle(&mut self, now: Micros, input: Input, copy: &Copy, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Tick => {}
            Input::Linked(link) => self.linked(link, copy, out),
            Input::Broken(link) => self.leave(link, out),
            Input::Got(link, down) => self.got(link, down, copy, out),
            Input::Changed => {
                self.reorder(copy);
                self.relay.feed(self.now, copy, |link, down| out.push(Output::Tell(link, down)));
            }
            Input::Below(link, up) => self.below(link, up, copy, out),
            Input::Drill(rows) => self.pass_up(Up::Drill(rows), out),
            Input::Rollout(tallies) => self.pass_up(Up::Rollout(tallies), out),
            Input::BelowGone(link) => {
                self.relay.followers.gone(link);
            }
            Input::Ends => {
                self.ended = true;
                for link in self.relay.followers.links().collect::<Vec<_>>() {
                    self.refuse(link, out);
                }
            }
        }
        self.tend(out);
        self.take_duty();
        if self.now >= self.tell_at {
            self.tell(copy, false, out);
        }
        self.report(copy.rev(), out);
    }

    // ---- up the tree ----

    fn linked(&mut self, link: u64, copy: &Copy, out: &mut Vec<Output>) {
        let now = self.now;
        for (p, followed) in [(&mut self.parent, true), (&mut self.next, false)] {
            let Some(p) = p.as_mut().filter(|p| p.link == link) else { continue };
            (p.linked, p.linked_at, p.heard_at, p.fresh_at) = (true, now, now, now);
            out.push(Output::Say(link, Up::Hello { node: self.node.clone(), rev: copy.rev() }));
            if followed {
                self.report_at = now;
            }
        }
    }

    fn got(&mut self, link: u64, down: Down, copy: &Copy, out: &mut Vec<Output>) {
        let now = self.now;
        let parent = self.parent.iter_mut().chain(&mut self.next).find(|p| p.link == link);
        let Some(p) = parent else { return };
        p.heard_at = now;
        match down {
            // Twice from both for a moment: a copy takes each only once.
            Down::News(news) => out.push(Output::News(news)),
            Down::Standing(standing) => self.standing(link, standing, copy, out),
            Down::Meter(readings, said) => {
                let Some(made_at) = self.made_at(link, said, PeerClock::here) else { return };
                self.pass_down(Down::Meter(readings.clone(), Age::again(now, made_at)), out);
                out.push(Output::Meter(readings, made_at));
            }
            Down::Leases(leases, said) => {
                let Some(made_at) = self.made_at(link, said, PeerClock::without_waiting) else { return };
                self.pass_down(Down::Leases(leases.clone(), Age::again(now, made_at)), out);
                out.push(Output::Leases(leases, made_at));
            }
        }
    }

    /// When what comes by this link was made, by the clock `here`; None: it is not of who is followed.
    fn made_at(
        &self,
        link: u64,
        said: Option<Age>,
        here: impl Fn(PeerClock, Micros) -> Micros,
    ) -> Option<Micros> {
        let parent = self.parent.as_ref().filter(|p| p.link == link)?;
        let here =
            said.zip(parent.clock).map(|(said, clock)| here(clock, said.at).saturating_sub(said.age_us));
        Some(here.map_or(self.now, |at| at.min(self.now)))
    }

    fn pass_down(&self, down: Down, out: &mut Vec<Output>) {
        out.extend(self.relay.followers.links().map(|link| Output::Tell(link, down.clone())));
    }

    fn standing(&mut self, link: u64, s: Standing, copy: &Copy, out: &mut Vec<Output>) {
        // A circle, a chain without end, or a head that another has followed: not to be followed.
        let circle = s.path.contains(&self.node.ip) || s.path.len() > DEEPEST;
        if circle || (!s.path.is_empty() && s.head < self.head) {
            return self.leave(link, out);
        }
        self.head = self.head.max(s.head);
        let new_core = !s.core.is_empty() && !s.core.iter().cloned().eq(self.core.clone());
        if new_core {
            self.core = s.core.into_iter().collect();
        }
        let now = self.now;
        let Some(p) = self.parent.iter_mut().chain(&mut self.next).find(|p| p.link == link) else { return };
        (p.path, p.head) = (s.path, s.head);
        let said_at = p.said_at(now, s.said_at);
        p.cut_off_at = if s.fresh_ms.is_none() { Some(p.cut_off_at.unwrap_or(now)) } else { None };
        // It is no fresher than what of its news is in the copy here.
        if let Some(ms) = s.fresh_ms.filter(|_| copy.rev() >= s.rev) {
            let at = said_at.saturating_sub(Micros::from(ms) * 1000);
            p.fresh_at = if p.proved { p.fresh_at.max(at) } else { at };
            p.proved = true;
            self.fresh_at = self.fresh_at.max(Some(p.fresh_at));
            self.failed.remove(&p.ip);
        }
        if self.next.as_ref().is_some_and(|p| p.link == link && p.proved && now < self.patience(p)) {
            let before = std::mem::replace(&mut self.parent, self.next.take());
            out.extend(before.map(|p| Output::Unlink(p.link)));
            self.report_at = now;
        }
        if self.parent.as_ref().is_some_and(|p| p.link == link) {
            self.away = s.away.into_iter().collect();
            self.reorder(copy);
            // All report on the registry's standing, as it comes down; not on what relays say between two.
            if now >= self.reported_at + self.part() * 3 / 4 {
                self.report_within(self.gather_us());
            }
            self.tell(copy, new_core, out);
        }
    }

    fn reorder(&mut self, copy: &Copy) {
        let (nodes, me) = (&copy.state.nodes, self.node.ip);
        self.order = tree::order(nodes, &self.node.region, me, &self.away);
        self.place = self.place_of(me);
    }

    fn place_of(&self, ip: Ipv4Addr) -> Option<usize> {
        self.order.iter().position(|o| *o == ip)
    }

    fn leave(&mut self, link: u64, out: &mut Vec<Output>) {
        for p in [&mut self.parent, &mut self.next] {
            if let Some(p) = p.take_if(|p| p.link == link) {
                self.failed.insert(p.ip, self.now);
                out.push(Output::Unlink(p.link));
            }
        }
    }

    /// Gives up those that are silent or stale, and sees that somebody is followed: a registry after any
    /// failure, as what else was wrong in the tree is not known; a better place once all has settled.
    fn tend(&mut self, out: &mut Vec<Output>) {
        let late = self.parent.iter().chain(&self.next).filter(|p| self.now >= self.patience(p));
        for link in late.map(|p| p.link).collect::<Vec<_>>() {
            self.leave(link, out);
        }
        if self.parent.is_none() {
            // Not a relay that has shown nothing yet: a dead one would cost a second time.
            let next = self.next.take();
            out.extend(next.iter().filter(|p| p.relay).map(|p| Output::Unlink(p.link)));
            self.parent = next.filter(|p| !p.relay);
        }
        if self.parent.is_none() {
            self.parent = self.choose().map(|ip| self.link(ip, false, out));
        } else if let Some(p) = self.parent.as_ref().filter(|p| p.proved && self.next.is_none())
            && self.now >= p.since + SETTLED * self.beat_us
            && let Some((ip, relay)) = self.better(p)
        {
            self.next = Some(self.link(ip, relay, out));
        }
    }

    fn link(&mut self, ip: Ipv4Addr, relay: bool, out: &mut Vec<Output>) -> Parent {
        self.links += 1;
        let (link, since) = (self.links, self.now);
        out.push(Output::Link { link, ip, relay });
        let others = !relay && self.others(ip);
        Parent {
            link,
            ip,
            relay,
            since,
            dial_us: if others { DIAL_FIRST_US } else { DIAL_US },
            linked: false,
            linked_at: since,
            heard_at: since,
            fresh_at: since,
            proved: false,
            cut_off_at: None,
            path: Vec::new(),
            head: None,
            clock: None,
        }
    }

    /// Whom to follow instead, and whether it is a relay.
    fn better(&self, p: &Parent) -> Option<(Ipv4Addr, bool)> {
        let above = self.place.and_then(tree::above);
        if p.relay {
            // One above that is no further down than the order has it is as good as any.
            let stays = self.place.zip(self.place_of(p.ip));
            if stays.is_some_and(|(mine, its)| its < mine && p.path.len() <= tree::depth(mine)) {
                return None;
            }
        }
        match above.and_then(|a| self.order.get(a)).filter(|ip| !self.shuns(**ip)) {
            Some(ip) if *ip == p.ip => None,
            Some(ip) => Some((*ip, true)),
            None if p.relay => self.choose().map(|ip| (ip, false)),
            None => None,
        }
    }

    fn shuns(&self, ip: Ipv4Addr) -> bool {
        self.failed_at(ip).is_some()
            || self.relay.below(self.now, ip)
            || self.suspects.iter().any(|s| s.0 == ip)
    }

    /// When it failed, if that was lately.
    fn failed_at(&self, ip: Ipv4Addr) -> Option<Micros> {
        self.failed.get(&ip).copied().filter(|at| self.now < at + SHUNNED * self.beat_us)
    }

    fn registries(&self) -> impl Iterator<Item = Ipv4Addr> {
        let all: BTreeSet<Ipv4Addr> = self.core.keys().chain(&self.seeds).copied().collect();
        all.into_iter()
    }

    /// The nearest registry that has not failed lately; among equally near ones each proxy has its own order.
    fn choose(&self) -> Option<Ipv4Addr> {
        self.registries().min_by_key(|ip| {
            let weight = xxh3_64(&[self.node.ip.octets(), ip.octets()].concat());
            (self.failed_at(*ip).unwrap_or(0), self.near(*ip), weight)
        })
    }

    fn near(&self, ip: Ipv4Addr) -> u32 {
        let Some(zone) = self.core.get(&ip).filter(|z| !z.is_empty()) else { return 2 };
        match self.zones.get(zone) {
            _ if *zone == self.node.zone => 0,
            Some(region) if *region == self.node.region => 1,
            _ => 3,
        }
    }

    /// The first live one in the order, beside a registry, is the head, under an epoch above all that it has
    /// heard of.
    fn take_duty(&mut self) {
        let beside = self.parent.as_ref().is_some_and(|p| p.proved && !p.relay);
        if !(beside && self.ready && self.place == Some(0)) {
            self.first_since = None;
            return;
        }
        let since = *self.first_since.get_or_insert(self.now);
        let mine = self.head.is_some_and(|h| h.ip == self.node.ip);
        // Not at once: others may have told of an epoch that has not come here yet, or hold it for a moment
        // more.
        if !mine && self.now >= since + self.beat_us {
            let epoch = self.head.map_or(0, |h| h.epoch) + 1;
            self.head = Some(Head { epoch, ip: self.node.ip });
            self.first_since = Some(self.now);
            self.hurry();
        }
    }

    fn report(&mut self, rev: Rev, out: &mut Vec<Output>) {
        let Some(p) = self.parent.as_ref().filter(|p| p.linked && self.now >= self.report_at) else { return };
        // Else it would say that nothing is used: it comes with the next call, at once.
        let Some(tenants) = self.uses.take() else { return };
        // The standing of the one who is followed sets the pace; this is for when none comes.
        (self.report_at, self.reported_at) = (self.now + self.part() * 5 / 4, self.now);
        self.count += 1;
        let (ip, life, count, ready) = (self.node.ip, self.life, self.count, self.ready);
        let (mut seen, mut usage) = self.relay.gathered(self.now);
        seen.push(Seen { ip, life, count, ready, rev, suspects: self.suspects.clone() });
        usage.push(Usage { ip, life, count, tenants });
        out.push(Output::Say(p.link, Up::Report { rev, head: self.head, seen, usage }));
    }

    /// What is not taken is said again by who said it.
    fn pass_up(&self, up: Up, out: &mut Vec<Output>) {
        if let Some(p) = self.parent.as_ref().filter(|p| p.linked) {
            out.push(Output::Say(p.link, up));
        }
    }

    // ---- down the tree ----

    fn below(&mut self, link: u64, up: Up, copy: &Copy, out: &mut Vec<Output>) {
        let until = self.now + 2 * self.beat_us;
        match up {
            Up::Hello { node, rev } => {
                if !self.takes(node.ip) {
                    return self.refuse(link, out);
                }
                self.relay.hello(link, node, rev, until);
                out.push(Output::Tell(link, Down::Standing(self.stands(copy, true))));
                self.tell_at = self.tell_at.min(self.now + self.part() * RELAY_SPEAKS / 100);
            }
            Up::Report { rev, seen, usage, .. } => {
                if self.relay.reported(link, rev, seen, usage, until) {
                    // Ahead of time below: ahead of time here too, if it is not soon anyway.
                    if self.report_at > self.now + self.gather_us() {
                        self.report_within(GATHER_US);
                    }
                }
            }
            up @ (Up::Drill(_) | Up::Rollout(_)) => self.pass_up(up, out),
        }
        self.relay.feed(self.now, copy, |link, down| out.push(Output::Tell(link, down)));
    }

    /// Whether this one may follow here.
    fn takes(&self, ip: Ipv4Addr) -> bool {
        let Some(p) = self.parent.as_ref().filter(|p| p.proved && !self.ended) else { return false };
        let circle = p.path.contains(&ip) || self.next.as_ref().is_some_and(|n| n.ip == ip);
        !circle && p.path.len() < DEEPEST
    }

    fn refuse(&mut self, link: u64, out: &mut Vec<Output>) {
        self.relay.followers.gone(link);
        out.push(Output::Refuse(link));
    }

    fn stands(&self, copy: &Copy, whole: bool) -> Standing {
        let above = self.parent.as_ref().map(|p| p.path.as_slice()).unwrap_or_default();
        let head = self.parent.as_ref().filter(|p| p.relay).map_or(self.head, |p| p.head);
        let ago = |at: Micros| u32::try_from((self.now - at) / 1000).unwrap_or(u32::MAX);
        let core = self.core.iter().filter(|_| whole);
        Standing {
            rev: copy.rev(),
            fresh_ms: self.fresh_at.map(ago),
            core: core.map(|(ip, zone)| (*ip, zone.clone())).collect(),
            path: above.iter().copied().chain([self.node.ip]).collect(),
            head,
            away: self.away.iter().copied().collect(),
            said_at: Some(self.now),
        }
    }

    fn tell(&mut self, copy: &Copy, whole: bool, out: &mut Vec<Output>) {
        let followed = !self.relay.followers.is_empty();
        self.tell_at = if followed { self.now + self.part() * RELAY_SPEAKS / 100 } else { Micros::MAX };
        if followed {
            let standing = Down::Standing(self.stands(copy, whole));
            let links = self.relay.followers.links();
            out.extend(links.map(|link| Output::Tell(link, standing.clone())));
        }
    }
}
