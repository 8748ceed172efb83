//! Keeps this proxy's copy of the cluster state up to date: chooses a parent (a registry, or a relay, which is another
//! proxy), notices when the parent can no longer deliver current state, moves to another one, and passes everything on
//! to the proxies that follow this one. See docs/system/relays.md.
//!
//! A state machine without I/O. A *standing* is the periodic message by which a parent tells how current its copy is.

use crate::relay::Relay;
use crate::tree::{self, MAX_RELAYS};
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
    /// Time has passed.
    Tick,
    /// The link of this number, which [`Output::Connect`] asked for, is up.
    Connected(u64),
    Disconnected(u64),
    /// A message of a parent.
    Received(u64, Down),
    /// The updates that were handed out are applied to the copy.
    CopyChanged,
    /// A message on a follower's link.
    FromFollower(u64, Up),
    FollowerGone(u64),
    /// This proxy shuts down in order: its followers are to find another parent at once.
    Shutdown,
    /// Rows on drills to send up.
    Drill(Vec<Rows>),
    /// Tallies of rollouts to send up.
    Rollout(Vec<Tally>),
}

#[derive(Debug)]
pub enum Output {
    /// Open a link to the registry or the relay on that machine.
    Connect {
        link: u64,
        ip: Ipv4Addr,
        relay: bool,
    },
    Disconnect(u64),
    /// To a parent.
    SendUp(u64, Up),
    /// An update to apply to the copy; [`Input::CopyChanged`] is expected afterwards.
    News(News),
    /// Readings of quotas and the earliest time at which they may have been made.
    Meter(Vec<Reading>, Micros),
    /// How long drills may still run, and when that was said. The time is never too early, as no drill may end early.
    Leases(Vec<Lease>, Micros),
    /// To a follower.
    SendDown(u64, Down),
    /// Close a follower's link.
    DropFollower(u64),
}

/// A parent is given up after this many report intervals in which its messages were missing.
const MISSED_MESSAGES: Micros = 3;
/// The shortest time between two reports.
const MIN_REPORT_GAP_US: Micros = 100_000;
/// How long a link may take to come up. A machine that is down does not answer at all, so the time is shorter while
/// there is another registry that has not failed lately.
const CONNECT_TIMEOUT_US: Micros = 700_000;
const CONNECT_TIMEOUT_WITH_ALTERNATIVE_US: Micros = 300_000;
/// For this many beats a machine that has failed is tried only after all others.
const AVOID_BEATS: Micros = 4;
/// A parent that delivers current state is kept for at least this many beats before a better one is tried.
const SETTLE_BEATS: Micros = 2;
/// How long the reports of each level below are awaited, so that one report of this proxy carries them all.
const GATHER_PER_LEVEL_US: Micros = 20_000;
/// In percent of a report interval: a relay forwards a standing as it arrives, and sends one of its own after
/// `RELAY_STANDING_PERCENT` if none does. A silent relay is given up after `RELAY_SILENCE_PERCENT`, sooner than a
/// registry, because its followers must have reported elsewhere before they are taken for failed along with it.
const RELAY_STANDING_PERCENT: Micros = 110;
const RELAY_SILENCE_PERCENT: Micros = 210;

/// The machine that this proxy follows, or tries to.
struct Parent {
    link: u64,
    ip: Ipv4Addr,
    relay: bool,
    /// When the link was asked for.
    since: Micros,
    /// How long the link may take to come up.
    connect_timeout_us: Micros,
    connected: bool,
    /// When this proxy's first message was sent.
    connected_at: Micros,
    heard_at: Micros,
    /// When its copy last held all acknowledged state, by its standings.
    fresh_at: Micros,
    /// Whether a standing has told a fresh copy since it is followed.
    proved_fresh: bool,
    /// Since when its standings say that its copy is not fresh.
    stale_since: Option<Micros>,
    /// The relays that its state comes through, itself included if it is one.
    path: Vec<Ipv4Addr>,
    head: Option<Head>,
    clock: Option<PeerClock>,
}

/// An estimate of a parent's monotonic clock. Its first standing answers this proxy's first message, so it was sent no
/// earlier than that message; later ones by as much later as the parent's clock tells. A message that was delayed, in a
/// queue or by a process that was stopped, is therefore known to be as old as it is, and not taken for as new as its
/// arrival.
#[derive(Clone, Copy)]
struct PeerClock {
    /// When the first standing was sent, by the parent's clock, and the earliest local time that this can have been.
    first_sent: Micros,
    asked_at: Micros,
    /// The smallest difference between a local arrival time and the parent's sending time: that of a message without
    /// delay.
    offset: i64,
}

impl PeerClock {
    /// The earliest local time at which a message can have been sent.
    fn earliest(self, said_at: Micros) -> Micros {
        self.asked_at + said_at.saturating_sub(self.first_sent)
    }

    /// Notes a message that was sent then and has arrived now.
    fn observe(&mut self, now: Micros, said_at: Micros) {
        self.offset = self.offset.min(now.wrapping_sub(said_at) as i64);
    }

    /// The local time at which a message would have arrived without delay. Never too early: what is limited by it may
    /// not end early.
    fn latest(self, said_at: Micros) -> Micros {
        said_at.wrapping_add_signed(self.offset)
    }
}

impl Parent {
    /// The earliest local time at which a standing that has arrived now can have been sent; without a time of its own,
    /// now.
    fn sent_at(&mut self, now: Micros, said_at: Option<Micros>) -> Micros {
        let Some(said_at) = said_at else { return now };
        let asked_at = self.connected_at;
        let clock = self.clock.get_or_insert(PeerClock { first_sent: said_at, asked_at, offset: i64::MAX });
        clock.observe(now, said_at);
        clock.earliest(said_at).min(now)
    }
}

pub struct Feed {
    now: Micros,
    node: Node,
    /// Zones and their regions.
    zones: BTreeMap<String, String>,
    beat_us: Micros,
    /// Drawn at the start of this process.
    life: u64,
    report_count: u64,
    /// Whether this proxy is ready to serve, as reports tell it.
    pub ready: bool,
    seeds: Vec<Ipv4Addr>,
    /// The core's machines, which run registries, and their zones.
    core: BTreeMap<Ipv4Addr, String>,
    /// Proxies of the region that are not to be followed, as the parent's standing names them.
    away: BTreeSet<Ipv4Addr>,
    /// When machines last failed as parents.
    failed: BTreeMap<Ipv4Addr, Micros>,
    last_link: u64,
    parent: Option<Parent>,
    /// Replaces the parent once it has shown a fresh copy.
    candidate: Option<Parent>,
    /// When the copy here last held all acknowledged state.
    fresh_at: Option<Micros>,
    /// The region's live proxies in the order of the tree, the head first, and this proxy's position.
    order: Vec<Ipv4Addr>,
    position: Option<usize>,
    /// The greatest known head of the region.
    head: Option<Head>,
    /// Since when this proxy has been first in the order with a registry as its parent.
    first_since: Option<Micros>,
    relay: Relay,
    /// When the next standing for followers is due.
    standing_at: Micros,
    shutting_down: bool,
    report_at: Micros,
    reported_at: Micros,
    /// The use of tenants for the report that is due; no report goes out without it.
    usage: Option<Vec<Use>>,
    /// Proxies that this one watches and finds silent, and their lives.
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
            report_count: 0,
            ready: false,
            seeds,
            core: BTreeMap::new(),
            away: BTreeSet::new(),
            failed: BTreeMap::new(),
            last_link: 0,
            parent: None,
            candidate: None,
            fresh_at: None,
            order: Vec::new(),
            position: None,
            head: None,
            first_since: None,
            relay: Relay::default(),
            standing_at: Micros::MAX,
            shutting_down: false,
            report_at: now,
            reported_at: 0,
            usage: None,
            suspects: Vec::new(),
        }
    }

    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// Whether the copy here has ever held all acknowledged state.
    pub fn has_been_fresh(&self) -> bool {
        self.fresh_at.is_some()
    }

    /// When the copy here last held all acknowledged state.
    pub fn fresh_at(&self) -> Option<Micros> {
        self.fresh_at
    }

    /// The parent, and the number of relays that the state comes through.
    pub fn source(&self) -> Option<(Ipv4Addr, usize)> {
        self.parent.as_ref().filter(|p| p.proved_fresh).map(|p| (p.ip, p.path.len()))
    }

    pub fn head(&self) -> Option<Head> {
        self.head
    }

    fn report_interval(&self) -> Micros {
        self.beat_us / 3
    }

    /// When this parent is given up if no further message arrives.
    fn give_up_at(&self, p: &Parent) -> Micros {
        if !p.connected {
            return p.since + p.connect_timeout_us;
        }
        let silence = if p.relay {
            self.report_interval() * RELAY_SILENCE_PERCENT / 100
        } else {
            MISSED_MESSAGES * self.report_interval()
        };
        // The limit grows with each relay on the path, so that a relay can find another parent before its followers
        // leave it.
        let stale =
            MISSED_MESSAGES * self.report_interval() + p.path.len() as Micros * self.report_interval() / 2;
        // A registry that says itself that its copy is not fresh is left sooner if there is another one to try.
        let left = match p.stale_since {
            Some(at) if !p.relay && self.has_other_registry(p.ip) => {
                at + if p.proved_fresh { self.report_interval() } else { 0 }
            }
            _ => Micros::MAX,
        };
        (p.heard_at + silence).min(p.fresh_at + stale).min(left)
    }

    /// Whether there is a registry other than this one that has not failed lately.
    fn has_other_registry(&self, ip: Ipv4Addr) -> bool {
        self.registries().any(|r| r != ip && self.failed_at(r).is_none())
    }

    fn settled_at(&self) -> Micros {
        match (&self.parent, &self.candidate) {
            (Some(p), None) if p.proved_fresh && p.since + SETTLE_BEATS * self.beat_us > self.now => {
                p.since + SETTLE_BEATS * self.beat_us
            }
            _ => Micros::MAX,
        }
    }

    pub fn wake_at(&self) -> Micros {
        let parent = self.parent.as_ref().map_or(self.now, |p| self.give_up_at(p));
        let candidate = self.candidate.as_ref().map_or(Micros::MAX, |p| self.give_up_at(p));
        let connected = self.parent.as_ref().is_some_and(|p| p.connected);
        let report = if connected { self.report_at } else { Micros::MAX };
        parent.min(candidate).min(self.settled_at()).min(report).min(self.standing_at)
    }

    /// Reports early, because something that others act on has changed.
    pub fn report_soon(&mut self) {
        self.report_within(0);
    }

    fn report_within(&mut self, us: Micros) {
        let soonest = (self.now + us).max(self.reported_at + MIN_REPORT_GAP_US);
        self.report_at = self.report_at.min(soonest);
    }

    /// How long followers' reports are awaited: longer near the root, as reports start at the lowest level.
    fn gather_delay_us(&self) -> Micros {
        let depth = self.parent.as_ref().map_or(0, |p| p.path.len());
        let levels = 3_usize.saturating_sub(depth).max(1) as Micros;
        if self.relay.followers.is_empty() { 0 } else { levels * GATHER_PER_LEVEL_US }
    }

    /// Whether a report is due; [`Feed::set_usage`] is then to be called before the next [`Feed::handle`].
    pub fn report_due(&self, now: Micros) -> bool {
        now >= self.report_at && self.parent.as_ref().is_some_and(|p| p.connected)
    }

    pub fn set_suspects(&mut self, suspects: Vec<(Ipv4Addr, u64)>) {
        if self.suspects != suspects {
            self.suspects = suspects;
            self.report_soon();
        }
    }

    pub fn set_usage(&mut self, usage: Vec<Use>) {
        self.usage = Some(usage);
    }

    pub fn handle(&mut self, now: Micros, input: Input, copy: &Copy, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Tick => {}
            Input::Connected(link) => self.on_connected(link, copy, out),
            Input::Disconnected(link) => self.leave(link, out),
            Input::Received(link, down) => self.on_received(link, down, copy, out),
            Input::CopyChanged => {
                self.update_order(copy);
                self.relay.send_news(self.now, copy, |link, down| out.push(Output::SendDown(link, down)));
            }
            Input::FromFollower(link, up) => self.on_follower_message(link, up, copy, out),
            Input::Drill(rows) => self.forward_up(Up::Drill(rows), out),
            Input::Rollout(tallies) => self.forward_up(Up::Rollout(tallies), out),
            Input::FollowerGone(link) => {
                self.relay.followers.gone(link);
            }
            Input::Shutdown => {
                self.shutting_down = true;
                for link in self.relay.followers.links().collect::<Vec<_>>() {
                    self.drop_follower(link, out);
                }
            }
        }
        self.maintain_parent(out);
        self.claim_head();
        if self.now >= self.standing_at {
            self.send_standing(copy, false, out);
        }
        self.send_report(copy.rev(), out);
    }

    // ---- up the tree ----

    fn on_connected(&mut self, link: u64, copy: &Copy, out: &mut Vec<Output>) {
        let now = self.now;
        for (p, is_parent) in [(&mut self.parent, true), (&mut self.candidate, false)] {
            let Some(p) = p.as_mut().filter(|p| p.link == link) else { continue };
            (p.connected, p.connected_at, p.heard_at, p.fresh_at) = (true, now, now, now);
            out.push(Output::SendUp(link, Up::Hello { node: self.node.clone(), rev: copy.rev() }));
            if is_parent {
                self.report_at = now;
            }
        }
    }

    fn on_received(&mut self, link: u64, down: Down, copy: &Copy, out: &mut Vec<Output>) {
        let now = self.now;
        let parent = self.parent.iter_mut().chain(&mut self.candidate).find(|p| p.link == link);
        let Some(p) = parent else { return };
        p.heard_at = now;
        match down {
            // While there is a candidate, updates arrive twice; the copy applies each only once.
            Down::News(news) => out.push(Output::News(news)),
            Down::Standing(standing) => self.on_standing(link, standing, copy, out),
            Down::Meter(readings, age) => {
                let Some(made_at) = self.made_at(link, age, PeerClock::earliest) else { return };
                self.forward_down(Down::Meter(readings.clone(), Age::again(now, made_at)), out);
                out.push(Output::Meter(readings, made_at));
            }
            Down::Leases(leases, age) => {
                let Some(made_at) = self.made_at(link, age, PeerClock::latest) else { return };
                self.forward_down(Down::Leases(leases.clone(), Age::again(now, made_at)), out);
                out.push(Output::Leases(leases, made_at));
            }
        }
    }

    /// When a message on this link was made, by the estimate `to_local`; None: the link is not the parent's.
    fn made_at(
        &self,
        link: u64,
        age: Option<Age>,
        to_local: impl Fn(PeerClock, Micros) -> Micros,
    ) -> Option<Micros> {
        let parent = self.parent.as_ref().filter(|p| p.link == link)?;
        let made_at =
            age.zip(parent.clock).map(|(age, clock)| to_local(clock, age.at).saturating_sub(age.age_us));
        Some(made_at.map_or(self.now, |at| at.min(self.now)))
    }

    fn forward_down(&self, down: Down, out: &mut Vec<Output>) {
        out.extend(self.relay.followers.links().map(|link| Output::SendDown(link, down.clone())));
    }

    fn on_standing(&mut self, link: u64, s: Standing, copy: &Copy, out: &mut Vec<Output>) {
        // Not to be followed: a cycle, a chain that is too long, or a head that has been succeeded.
        let cycle = s.path.contains(&self.node.ip) || s.path.len() > MAX_RELAYS;
        if cycle || (!s.path.is_empty() && s.head < self.head) {
            return self.leave(link, out);
        }
        self.head = self.head.max(s.head);
        let new_core = !s.core.is_empty() && !s.core.iter().cloned().eq(self.core.clone());
        if new_core {
            self.core = s.core.into_iter().collect();
        }
        let now = self.now;
        let Some(p) = self.parent.iter_mut().chain(&mut self.candidate).find(|p| p.link == link) else {
            return;
        };
        (p.path, p.head) = (s.path, s.head);
        let sent_at = p.sent_at(now, s.said_at);
        p.stale_since = if s.fresh_ms.is_none() { Some(p.stale_since.unwrap_or(now)) } else { None };
        // The copy here is only as fresh as the parent's once it has reached the parent's revision.
        if let Some(ms) = s.fresh_ms.filter(|_| copy.rev() >= s.rev) {
            let at = sent_at.saturating_sub(Micros::from(ms) * 1000);
            p.fresh_at = if p.proved_fresh { p.fresh_at.max(at) } else { at };
            p.proved_fresh = true;
            self.fresh_at = self.fresh_at.max(Some(p.fresh_at));
            self.failed.remove(&p.ip);
        }
        if self
            .candidate
            .as_ref()
            .is_some_and(|p| p.link == link && p.proved_fresh && now < self.give_up_at(p))
        {
            let before = std::mem::replace(&mut self.parent, self.candidate.take());
            out.extend(before.map(|p| Output::Disconnect(p.link)));
            self.report_at = now;
        }
        if self.parent.as_ref().is_some_and(|p| p.link == link) {
            self.away = s.away.into_iter().collect();
            self.update_order(copy);
            // All report when the registry's standing comes down the tree, not on relays' own standings in between.
            if now >= self.reported_at + self.report_interval() * 3 / 4 {
                self.report_within(self.gather_delay_us());
            }
            self.send_standing(copy, new_core, out);
        }
    }

    fn update_order(&mut self, copy: &Copy) {
        let (nodes, me) = (&copy.state.nodes, self.node.ip);
        self.order = tree::order(nodes, &self.node.region, me, &self.away);
        self.position = self.position_of(me);
    }

    fn position_of(&self, ip: Ipv4Addr) -> Option<usize> {
        self.order.iter().position(|o| *o == ip)
    }

    fn leave(&mut self, link: u64, out: &mut Vec<Output>) {
        for p in [&mut self.parent, &mut self.candidate] {
            if let Some(p) = p.take_if(|p| p.link == link) {
                self.failed.insert(p.ip, self.now);
                out.push(Output::Disconnect(p.link));
            }
        }
    }

    /// Gives up a parent that is silent or stale and makes sure that there is one. After any failure it is a registry,
    /// as nothing is known about the rest of the tree; a better parent is tried once things have settled.
    fn maintain_parent(&mut self, out: &mut Vec<Output>) {
        let given_up = self.parent.iter().chain(&self.candidate).filter(|p| self.now >= self.give_up_at(p));
        for link in given_up.map(|p| p.link).collect::<Vec<_>>() {
            self.leave(link, out);
        }
        if self.parent.is_none() {
            // The candidate takes over unless it is a relay, which has not proved fresh yet and may have failed too.
            let candidate = self.candidate.take();
            out.extend(candidate.iter().filter(|p| p.relay).map(|p| Output::Disconnect(p.link)));
            self.parent = candidate.filter(|p| !p.relay);
        }
        if self.parent.is_none() {
            self.parent = self.choose_registry().map(|ip| self.connect(ip, false, out));
        } else if let Some(p) = self.parent.as_ref().filter(|p| p.proved_fresh && self.candidate.is_none())
            && self.now >= p.since + SETTLE_BEATS * self.beat_us
            && let Some((ip, relay)) = self.better_parent(p)
        {
            self.candidate = Some(self.connect(ip, relay, out));
        }
    }

    fn connect(&mut self, ip: Ipv4Addr, relay: bool, out: &mut Vec<Output>) -> Parent {
        self.last_link += 1;
        let (link, since) = (self.last_link, self.now);
        out.push(Output::Connect { link, ip, relay });
        let others = !relay && self.has_other_registry(ip);
        Parent {
            link,
            ip,
            relay,
            since,
            connect_timeout_us: if others { CONNECT_TIMEOUT_WITH_ALTERNATIVE_US } else { CONNECT_TIMEOUT_US },
            connected: false,
            connected_at: since,
            heard_at: since,
            fresh_at: since,
            proved_fresh: false,
            stale_since: None,
            path: Vec::new(),
            head: None,
            clock: None,
        }
    }

    /// A better parent than `p`, and whether it is a relay.
    fn better_parent(&self, p: &Parent) -> Option<(Ipv4Addr, bool)> {
        let above = self.position.and_then(tree::parent);
        if p.relay {
            // A relay earlier in the order is as good as any, if its path has no more relays than this proxy's position
            // in the order asks for.
            let positions = self.position.zip(self.position_of(p.ip));
            if positions.is_some_and(|(mine, its)| its < mine && p.path.len() <= tree::depth(mine)) {
                return None;
            }
        }
        match above.and_then(|a| self.order.get(a)).filter(|ip| !self.avoids(**ip)) {
            Some(ip) if *ip == p.ip => None,
            Some(ip) => Some((*ip, true)),
            None if p.relay => self.choose_registry().map(|ip| (ip, false)),
            None => None,
        }
    }

    fn avoids(&self, ip: Ipv4Addr) -> bool {
        self.failed_at(ip).is_some()
            || self.relay.is_below(self.now, ip)
            || self.suspects.iter().any(|s| s.0 == ip)
    }

    /// When this machine failed as a parent, if that was lately.
    fn failed_at(&self, ip: Ipv4Addr) -> Option<Micros> {
        self.failed.get(&ip).copied().filter(|at| self.now < at + AVOID_BEATS * self.beat_us)
    }

    fn registries(&self) -> impl Iterator<Item = Ipv4Addr> {
        let all: BTreeSet<Ipv4Addr> = self.core.keys().chain(&self.seeds).copied().collect();
        all.into_iter()
    }

    /// The nearest registry that has not failed lately. Among equally near ones each proxy has an order of its own.
    fn choose_registry(&self) -> Option<Ipv4Addr> {
        self.registries().min_by_key(|ip| {
            let weight = xxh3_64(&[self.node.ip.octets(), ip.octets()].concat());
            (self.failed_at(*ip).unwrap_or(0), self.distance(*ip), weight)
        })
    }

    fn distance(&self, ip: Ipv4Addr) -> u32 {
        let Some(zone) = self.core.get(&ip).filter(|z| !z.is_empty()) else { return 2 };
        match self.zones.get(zone) {
            _ if *zone == self.node.zone => 0,
            Some(region) if *region == self.node.region => 1,
            _ => 3,
        }
    }

    /// The first live proxy in the order, if it follows a registry, is the region's head, under an epoch above all that
    /// it knows of.
    fn claim_head(&mut self) {
        let follows_registry = self.parent.as_ref().is_some_and(|p| p.proved_fresh && !p.relay);
        if !(follows_registry && self.ready && self.position == Some(0)) {
            self.first_since = None;
            return;
        }
        let since = *self.first_since.get_or_insert(self.now);
        let is_head = self.head.is_some_and(|h| h.ip == self.node.ip);
        // Not at once: another epoch may be on its way here, or another proxy may still be the head for a moment.
        if !is_head && self.now >= since + self.beat_us {
            let epoch = self.head.map_or(0, |h| h.epoch) + 1;
            self.head = Some(Head { epoch, ip: self.node.ip });
            self.first_since = Some(self.now);
            self.report_soon();
        }
    }

    fn send_report(&mut self, rev: Rev, out: &mut Vec<Output>) {
        let Some(p) = self.parent.as_ref().filter(|p| p.connected && self.now >= self.report_at) else {
            return;
        };
        // Without the use of tenants the report would say that nothing is used; it goes out as soon as that is set.
        let Some(tenants) = self.usage.take() else { return };
        // Usually the parent's standing triggers the next report; this time is for when none arrives.
        (self.report_at, self.reported_at) = (self.now + self.report_interval() * 5 / 4, self.now);
        self.report_count += 1;
        let (ip, life, count, ready) = (self.node.ip, self.life, self.report_count, self.ready);
        let (mut seen, mut usage) = self.relay.take_reports(self.now);
        seen.push(Seen { ip, life, count, ready, rev, suspects: self.suspects.clone() });
        usage.push(Usage { ip, life, count, tenants });
        out.push(Output::SendUp(p.link, Up::Report { rev, head: self.head, seen, usage }));
    }

    /// Forwards a message to the parent. What is lost is sent again by its origin.
    fn forward_up(&self, up: Up, out: &mut Vec<Output>) {
        if let Some(p) = self.parent.as_ref().filter(|p| p.connected) {
            out.push(Output::SendUp(p.link, up));
        }
    }

    // ---- down the tree ----

    fn on_follower_message(&mut self, link: u64, up: Up, copy: &Copy, out: &mut Vec<Output>) {
        let until = self.now + 2 * self.beat_us;
        match up {
            Up::Hello { node, rev } => {
                if !self.accepts(node.ip) {
                    return self.drop_follower(link, out);
                }
                self.relay.add_follower(link, node, rev, until);
                out.push(Output::SendDown(link, Down::Standing(self.standing(copy, true))));
                self.standing_at =
                    self.standing_at.min(self.now + self.report_interval() * RELAY_STANDING_PERCENT / 100);
            }
            Up::Report { rev, seen, usage, .. } => {
                if self.relay.report_received(link, rev, seen, usage, until) {
                    // A follower has reported early, so this proxy does too, unless its report is about to go out
                    // anyway.
                    if self.report_at > self.now + self.gather_delay_us() {
                        self.report_within(GATHER_PER_LEVEL_US);
                    }
                }
            }
            up @ (Up::Drill(_) | Up::Rollout(_)) => self.forward_up(up, out),
        }
        self.relay.send_news(self.now, copy, |link, down| out.push(Output::SendDown(link, down)));
    }

    /// Whether the proxy `ip` may follow this one.
    fn accepts(&self, ip: Ipv4Addr) -> bool {
        let Some(p) = self.parent.as_ref().filter(|p| p.proved_fresh && !self.shutting_down) else {
            return false;
        };
        let cycle = p.path.contains(&ip) || self.candidate.as_ref().is_some_and(|n| n.ip == ip);
        !cycle && p.path.len() < MAX_RELAYS
    }

    fn drop_follower(&mut self, link: u64, out: &mut Vec<Output>) {
        self.relay.followers.gone(link);
        out.push(Output::DropFollower(link));
    }

    /// `with_core`: also names the core's machines.
    fn standing(&self, copy: &Copy, with_core: bool) -> Standing {
        let above = self.parent.as_ref().map(|p| p.path.as_slice()).unwrap_or_default();
        let head = self.parent.as_ref().filter(|p| p.relay).map_or(self.head, |p| p.head);
        let ago = |at: Micros| u32::try_from((self.now - at) / 1000).unwrap_or(u32::MAX);
        let core = self.core.iter().filter(|_| with_core);
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

    fn send_standing(&mut self, copy: &Copy, with_core: bool, out: &mut Vec<Output>) {
        let has_followers = !self.relay.followers.is_empty();
        self.standing_at = if has_followers {
            self.now + self.report_interval() * RELAY_STANDING_PERCENT / 100
        } else {
            Micros::MAX
        };
        if has_followers {
            let standing = Down::Standing(self.standing(copy, with_core));
            let links = self.relay.followers.links();
            out.extend(links.map(|link| Output::SendDown(link, standing.clone())));
        }
    }
}
