//! From the agreed state to what the decisions are told: routes become classes, tenants become plans, services become
//! fleets, servers become entries of the list. Numbers are given once and never to another name, so that what is under
//! way when a new configuration comes keeps its meaning.

use crate::cramp::Times;
use crate::rollout::{Exposure, Placed, Side};
use cluster::Rev;
use cluster::rollout::{Role, Rollout, Stage};
use cluster::state::{Node, Server, State};
use cluster::talk::tenant_key;
use curlewfront::{Class, Effect, Entry, Micros, Plan, Settings, State as Standing};
use settings::config::{Config, Service};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Who this proxy is.
#[derive(Clone, Debug)]
pub struct Place {
    pub ip: Ipv4Addr,
    pub zone: String,
    pub region: String,
    /// Zones and their regions.
    pub zones: BTreeMap<String, String>,
    pub leeway: Leeway,
    pub times: Times,
    /// What a version on trial may get.
    pub exposure: Exposure,
}

/// By how much quotas may be exceeded, as the settings tell: by a part of what they allow and some requests more.
/// It makes good that proxies know of each other only after a while.
#[derive(Clone, Copy, Debug, Default)]
pub struct Leeway {
    pub excess: f64,
    pub margin: f64,
    pub period_s: f64,
    /// Further tries of all proxies at a service: a part of the requests for it, and so many more.
    pub retry_ratio: f64,
    pub retry_slack: f64,
}

/// The part of the leeway's fixed margin that is given out in advance, as bursts. What remains covers the time until a
/// reading tells of a rise.
const MARGIN_AHEAD: f64 = 0.2;

/// The part of the rest that all proxies may send ahead of their even shares before a reading tells of it, and the
/// least for one proxy: where there are many, each would else refuse what comes by chance.
const AHEAD: f64 = 0.4;
const LEAST_AHEAD: f64 = 2.0;

/// What of the budget of further tries is used: it counts over windows that slide, and by what was sent elsewhere.
const RETRY_PART: f64 = 0.6;

impl Leeway {
    /// A proxy's part of the budget of further tries. What was sent may have arrived, however it ended.
    fn retry(&self, proxies: u32) -> [f64; 3] {
        [RETRY_PART * self.retry_ratio, RETRY_PART * self.retry_slack / f64::from(proxies.max(1)), 1.0]
    }

    /// What a tenant may use a second over a long time before the leeway is used up by half.
    fn bears(&self, rate: f64) -> f64 {
        let margin = if self.period_s > 0.0 { self.margin / self.period_s } else { 0.0 };
        rate * (1.0 + self.excess / 2.0) + margin / 2.0
    }

    /// What one of so many proxies may have of a quota on its own, and how far it may be ahead of that.
    fn even(&self, plan: &Plan, proxies: usize) -> Even {
        let n = proxies.max(1) as f64;
        // The plan's burst is what the decisions are told.
        let burst = plan.burst * n.powf(1.0 - BURST_SPLIT);
        let rest = self.excess * (plan.rate * self.period_s + burst) + (1.0 - MARGIN_AHEAD) * self.margin;
        Even { rate: plan.rate / n, burst: burst / n, ahead: (AHEAD * rest / n).max(LEAST_AHEAD) }
    }

    fn burst(&self, rate: f64, burst: f64) -> f64 {
        if rate <= 0.0 {
            return burst;
        }
        burst + MARGIN_AHEAD * self.margin
    }
}

/// One proxy's even share of a quota.
#[derive(Clone, Copy, Debug)]
pub struct Even {
    pub rate: f64,
    pub burst: f64,
    /// So many requests may be sent ahead of it that no reading has told of.
    pub ahead: f64,
}

/// What an answer past the aim is taken to be worth: enough that it is waited for.
const LATE_WORTH: f64 = 0.2;
/// So many proxies of its zone share what a cold server bears; the others leave it alone until it is warm.
const COLD_SHARERS: usize = 3;
/// What is expected to come through here of the work of servers that are not the nearest: an even part of it.
const ELSEWHERE: f64 = 1.0;
/// How far a server of another zone of this region is.
pub const REGION: u32 = 1;
/// How near servers on trial are as the decisions see it. All others of their service are farther by one meanwhile, so that
/// those on trial come first for requests that may go there.
const TRIAL_NEAR: u32 = 0;
/// Zones beyond this number take no part in trials: each zone's servers on trial are in a zone of their own, whose number is
/// larger by this, so that a request's zones tell whether it may go there.
const TRIAL_ZONES: u32 = 32;
const REGULAR_MASK: u64 = (1 << TRIAL_ZONES) - 1;
/// The fewest servers of a zone that are on trial at one time, if it has so many.
const MIN_ON_TRIAL: usize = 2;
/// At the partial stage one new server in so many serves beside all old ones.
const PARTIAL_ONE_IN: usize = 4;
/// While less than this part of a tenant's quota is used everywhere, so many of its requests may come at once here.
const LOOSE_UNDER: f64 = 0.85;
const LOOSE_BURST: f64 = 4.0;
const TICK_US: Micros = 1_000;
const RETRY_AFTER_US: Micros = 1_000_000;

/// The decisions split a burst over n proxies by this power of n, which is more than there is; so they are told of less,
/// and all parts together come to the burst itself.
const BURST_SPLIT: f64 = 0.8;

#[derive(Default)]
struct Numbers(HashMap<String, u32>);

impl Numbers {
    fn of(&mut self, name: &str) -> u32 {
        if let Some(n) = self.0.get(name) {
            return *n;
        }
        let n = self.0.len() as u32;
        self.0.insert(name.to_string(), n);
        n
    }

    fn known(&self, name: &str) -> Option<u32> {
        self.0.get(name).copied()
    }
}

/// What is kept of a server from one list to the next.
#[derive(Clone)]
struct Known {
    number: u64,
    peer: Peer,
}

pub struct Book {
    place: Place,
    classes: Vec<Class>,
    class_of: Numbers,
    plans: Vec<Plan>,
    plan_of: Numbers,
    keys: Vec<u32>,
    services: Numbers,
    /// Those of the settings come first; then this one, if they do not name it, and others that are told of.
    zones: Numbers,
    /// Numbers of the regions of the settings' zones.
    regions: Vec<u32>,
    here: u32,
    servers: HashMap<String, Known>,
    next_server: u64,
    /// Servers that said they are another one: not to be used under the old name.
    misled: BTreeSet<u64>,
    /// Services with servers on trial, as listed last.
    on_trial: BTreeSet<u32>,
}

/// A server as a shell needs to know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    pub id: Arc<str>,
    pub addr: SocketAddr,
    /// The numbers of its service and of its zone, and how far that is.
    pub service: u32,
    pub zone: u32,
    pub near: u32,
}

/// The list as it is now, and when it will be another one though nothing new is heard.
pub struct List {
    pub entries: Vec<Entry>,
    /// With whether each may get more.
    pub peers: BTreeMap<u64, (Peer, bool)>,
    /// The servers of services with a running rollout.
    pub placed: BTreeMap<u64, Placed>,
    pub changes_at: Option<Micros>,
}

impl Book {
    pub fn new(place: Place) -> Book {
        let (mut zones, mut named) = (Numbers::default(), Numbers::default());
        place.zones.keys().for_each(|z| {
            zones.of(z);
        });
        let regions = place.zones.values().map(|r| named.of(r)).collect();
        let here = zones.of(&place.zone);
        // The first class and plan are nobody's: there must be one of each before a configuration comes.
        let class = Class {
            aim_us: 1_000_000,
            deadline_us: 3_000_000,
            late_worth: LATE_WORTH,
            effect: Effect::Repeatable,
        };
        let (mut class_of, mut plan_of) = (Numbers::default(), Numbers::default());
        class_of.of("");
        plan_of.of("");
        Book {
            place,
            classes: vec![class],
            class_of,
            plans: vec![Plan::default()],
            plan_of,
            keys: vec![0],
            services: Numbers::default(),
            zones,
            regions,
            here,
            servers: HashMap::new(),
            next_server: 0,
            misled: BTreeSet::new(),
            on_trial: BTreeSet::new(),
        }
    }

    pub fn class(&self, route: &str) -> usize {
        self.class_of.known(route).unwrap_or(0) as usize
    }

    /// The number of a tenant's plan, and of the tenant as a customer; 0 is nobody's.
    pub fn plan(&self, tenant: &str) -> usize {
        self.plan_of.known(tenant).unwrap_or(0) as usize
    }

    /// The plans that have a quota, and the rate that they may come to.
    pub fn quotas(&self) -> Vec<(usize, f64)> {
        let all = self.plans.iter().enumerate();
        all.filter(|(_, p)| p.rate > 0.0).map(|(n, p)| (n, self.place.leeway.bears(p.rate))).collect()
    }

    /// The even share of a plan over so many proxies.
    pub fn even(&self, plan: usize, nodes: usize) -> Even {
        self.place.leeway.even(&self.plans[plan], nodes)
    }

    /// What a plan's tenant is called in reports.
    pub fn key(&self, plan: usize) -> u32 {
        self.keys.get(plan).copied().unwrap_or(0)
    }

    pub fn service(&self, name: &str) -> Option<u32> {
        self.services.known(name)
    }

    /// All zones but this one, as a set of bits.
    pub fn without(&self, zone: &str) -> u64 {
        self.zones.known(zone).filter(|n| *n < 64).map_or(u64::MAX, |n| !(1 << n))
    }

    /// The zones in these regions, as a set of bits; none named: all zones.
    pub fn within(&self, regions: &[String]) -> u64 {
        if regions.is_empty() {
            return u64::MAX;
        }
        let inside = self.place.zones.iter().filter(|(_, r)| regions.contains(r));
        inside.filter_map(|(z, _)| self.zones.known(z)).filter(|n| *n < 64).fold(0, |set, n| set | 1 << n)
    }

    /// As far as the decisions may go for a request to a service that may go no farther than `near`.
    pub fn reach(&self, service: u32, near: u32) -> u32 {
        near + u32::from(self.on_trial.contains(&service))
    }

    /// The bits of the zones whose servers a request may go to that goes to none on trial.
    pub fn without_trials(&self, zones: u64) -> u64 {
        if self.has_trial_zones() { zones & REGULAR_MASK } else { zones }
    }

    /// The bits of the servers on trial of this region, in the given zones.
    pub fn trials_in(&self, zones: u64) -> u64 {
        if !self.has_trial_zones() {
            return 0;
        }
        (zones & self.within(std::slice::from_ref(&self.place.region)) & REGULAR_MASK) << TRIAL_ZONES
    }

    fn has_trial_zones(&self) -> bool {
        self.zones.0.len() <= TRIAL_ZONES as usize
    }

    /// Takes a configuration over, at so many proxies.
    pub fn learn(&mut self, config: &Config, nodes: usize) {
        for route in &config.routes {
            let class = Class {
                aim_us: (route.target_ms * 1000).max(1),
                deadline_us: (route.deadline_ms * 1000).max(1),
                late_worth: LATE_WORTH,
                effect: if route.kind.repeatable() { Effect::Repeatable } else { Effect::Once },
            };
            put(&mut self.classes, self.class_of.of(&route.name) as usize, class);
        }
        for tenant in config.tenants.iter().flatten() {
            let burst = self.place.leeway.burst(tenant.rate, tenant.burst);
            let burst = burst * (nodes.max(1) as f64).powf(BURST_SPLIT - 1.0);
            let plan = Plan { rate: tenant.rate, burst, ..Plan::default() };
            let number = self.plan_of.of(&tenant.name) as usize;
            put(&mut self.plans, number, plan);
            put(&mut self.keys, number, tenant_key(&tenant.name));
        }
        for service in &config.services {
            self.services.of(&service.name);
        }
    }

    pub fn settings(&self, balancers: u32, index: u32, beat_us: Micros) -> Settings {
        Settings {
            balancers,
            index,
            classes: self.classes.clone(),
            plans: self.plans.clone(),
            meter_us: beat_us / 3,
            tick_us: TICK_US,
            may_cancel: true,
            retry_after: true,
            max_retry_after_us: RETRY_AFTER_US,
            attempts_cap: 2,
            starts_empty: true,
            retry: Some(self.place.leeway.retry(balancers)),
            loose_under: LOOSE_UNDER,
            loose_burst: LOOSE_BURST,
            cold_from: 0.25,
            cold_us: 1,
            fall_multiple: 1.0,
            services: self.services.0.len().max(1) as u32,
            ..Settings::default()
        }
    }

    /// This server answered as another one: what is listed under its name is gone, told or not.
    pub fn mislead(&mut self, server: u64) {
        self.misled.insert(server);
    }

    /// The list of servers as the decisions are to see it. It is made anew at each change of any server, at each proxy:
    /// so all that is looked up for a server goes by numbers, and what is said of it is kept.
    pub fn list(&mut self, now: Micros, state: &State) -> List {
        let mut list =
            List { entries: Vec::new(), peers: BTreeMap::new(), placed: BTreeMap::new(), changes_at: None };
        let duties = duties(state, self.place.exposure.share);
        let duty = |s: &Server| duties.get(s.id.as_str()).copied().unwrap_or(Duty::Regular);
        let known: Vec<Known> = state.servers.values().map(|s| self.known(s)).collect();
        // For each zone's proxies, how near the nearest servers of each service are; so, how many proxies go first to
        // the servers of a service in a zone.
        let mut places: BTreeMap<u32, usize> = BTreeMap::new();
        for n in state.nodes.values() {
            *places.entry(self.zones.of(&n.zone)).or_default() += 1;
        }
        let listed = || state.servers.values().zip(&known);
        let used: BTreeSet<(u32, u32)> = listed()
            .filter(|(s, _)| usable(s, state) && duty(s) == Duty::Regular)
            .map(|(_, k)| (k.peer.service, k.peer.zone))
            .collect();
        let mut nearest: BTreeMap<(u32, u32), u32> = BTreeMap::new();
        for (zone, (service, at)) in places.keys().flat_map(|z| used.iter().map(move |u| (*z, *u))) {
            let near = self.near(zone, at);
            nearest.entry((zone, service)).and_modify(|n| *n = near.min(*n)).or_insert(near);
        }
        let mut users: BTreeMap<(u32, u32), usize> = BTreeMap::new();
        for (zone, count) in &places {
            for (service, at) in &used {
                if nearest.get(&(*zone, *service)) == Some(&self.near(*zone, *at)) {
                    *users.entry((*service, *at)).or_default() += count;
                }
            }
        }
        let trials = listed().filter(|(s, _)| duty(s) == Duty::Trial);
        self.on_trial = trials.map(|(_, k)| k.peer.service).collect();
        // Services that no configuration names yet have servers nonetheless; they get nothing.
        let mut services: BTreeMap<u32, &Service> = BTreeMap::new();
        for service in state.config.iter().flat_map(|c| &c.services) {
            services.insert(self.services.of(&service.name), service);
        }
        let all = state.nodes.len().max(1) as f64;
        for (s, k) in listed() {
            let (number, &Peer { service, zone, near, .. }) = (k.number, &k.peer);
            let users = users.get(&(service, zone)).copied().unwrap_or(0);
            let mine = nearest.get(&(self.here, service)) == Some(&near);
            let part = if mine { all / users.max(1) as f64 } else { ELSEWHERE };
            let told = services.get(&service).copied();
            let cold_until = self.cold_until(s, told, state);
            let cold = now < cold_until;
            let duty = duty(s);
            let trial = duty == Duty::Trial && zone < TRIAL_ZONES && self.has_trial_zones();
            let mut up =
                usable(s, state) && !self.misled.contains(&number) && (trial || duty == Duty::Regular);
            let mut cold_rate = 0.0;
            if cold {
                list.changes_at = Some(list.changes_at.map_or(cold_until, |at| at.min(cold_until)));
                let share = share(&self.sharers(state, &s.zone), &s.id, self.place.ip);
                // Those that another zone's proxies bring up are theirs alone until they are warm.
                up &= share.is_some();
                cold_rate = told.and_then(|c| c.cold_rate_s).unwrap_or(0.0) / share.unwrap_or(1) as f64;
            }
            list.entries.push(Entry {
                server: number,
                zone: if trial { zone + TRIAL_ZONES } else { zone },
                state: if up { Standing::Up } else { Standing::Draining },
                service,
                near: if trial { TRIAL_NEAR } else { self.reach(service, near) },
                part,
                cold_rate,
                cold_until_us: if cold { cold_until } else { 0 },
                ..Entry::default()
            });
            list.peers.insert(number, (k.peer.clone(), up));
            if let Some(rollout) = state.rollouts.running_of(&s.service) {
                let side = if is_new(rollout, s, state) { Side::New } else { Side::Old };
                let placed = Placed { epoch: rollout.epoch, side, trial, cold_until };
                list.placed.insert(number, placed);
            }
        }
        self.servers.retain(|id, _| state.servers.contains_key(id));
        self.misled.retain(|n| list.peers.contains_key(n));
        list
    }

    /// What is kept of a server, as it is told now.
    fn known(&mut self, s: &Server) -> Known {
        let (zone, service) = (self.zones.of(&s.zone), self.services.of(&s.service));
        let kept = self.servers.get(&s.id);
        if let Some(k) =
            kept.filter(|k| (k.peer.zone, k.peer.service, k.peer.addr) == (zone, service, s.addr))
        {
            return k.clone();
        }
        let number = kept.map(|k| k.number).unwrap_or_else(|| {
            self.next_server += 1;
            self.next_server
        });
        let (id, near) = (s.id.as_str().into(), self.near(self.here, zone));
        let known = Known { number, peer: Peer { id, addr: s.addr, service, zone, near } };
        self.servers.insert(s.id.clone(), known.clone());
        known
    }

    /// How far it is from one zone to another: the same, the same region, another.
    fn near(&self, from: u32, to: u32) -> u32 {
        let region = |zone: u32| self.regions.get(zone as usize);
        match (region(from), region(to)) {
            _ if from == to => 0,
            (Some(one), Some(other)) if one == other => 1,
            _ => 2,
        }
    }

    /// Who brings up a zone's cold servers: its own proxies, or all if it has none.
    fn sharers<'s>(&self, state: &'s State, zone: &str) -> Vec<&'s Node> {
        let own: Vec<&Node> = state.nodes.values().filter(|n| n.zone == zone).collect();
        if own.is_empty() { state.nodes.values().collect() } else { own }
    }

    fn cold_until(&self, server: &Server, service: Option<&Service>, state: &State) -> Micros {
        // The servers of a zone that comes back may have turned cold without having said so yet.
        let period = service.map_or(0, |s| (s.cold_period_s * 1e6) as Micros);
        let returned = state.returned.get(&server.zone).map_or(0, |at| at + period);
        server.cold_until().max(returned)
    }
}

/// What a server is for while a rollout of its service runs, or after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Duty {
    Regular,
    Trial,
    Nothing,
}

/// The duties of the servers that are not regular ones, by their ids.
fn duties(state: &State, trial_share: f64) -> BTreeMap<&str, Duty> {
    let mut duties = BTreeMap::new();
    if state.rollouts.is_empty() {
        return duties;
    }
    let rolled_out = |s: &&Server| state.rollouts.0.contains_key(&s.service);
    let servers: Vec<&Server> = state.servers.values().filter(rolled_out).collect();
    let mut new: BTreeMap<(&str, &str), Vec<&Server>> = BTreeMap::new();
    // Services of which a server of the new version may serve.
    let mut replaced_by: BTreeSet<&str> = BTreeSet::new();
    for s in servers.iter().copied() {
        match state.role(s) {
            Role::Regular if usable(s, state) => _ = replaced_by.insert(s.service.as_str()),
            Role::Trial | Role::Partial if usable(s, state) => {
                new.entry((s.service.as_str(), s.zone.as_str())).or_default().push(s);
            }
            _ => {}
        }
    }
    for s in servers.iter().copied() {
        let duty = match state.role(s) {
            Role::Regular => continue,
            Role::Replaced if !replaced_by.contains(s.service.as_str()) => continue,
            _ => Duty::Nothing,
        };
        duties.insert(s.id.as_str(), duty);
    }
    for ((service, _), mut servers) in new {
        let Some(rollout) = state.rollouts.running_of(service) else { continue };
        let (count, duty) = match rollout.stage {
            Stage::Trial => {
                let part = (servers.len() as f64 * trial_share).ceil() as usize;
                (part.max(MIN_ON_TRIAL), Duty::Trial)
            }
            _ => (servers.len().div_ceil(PARTIAL_ONE_IN), Duty::Regular),
        };
        servers.sort_by_key(|s| (order_of(rollout.epoch, &s.id), s.id.as_str()));
        duties.extend(servers.iter().take(count).map(|s| (s.id.as_str(), duty)));
    }
    duties
}

/// In this order servers of a new version are put to use, the same at each proxy.
fn order_of(epoch: Rev, server: &str) -> u64 {
    xxh3_64(&[server.as_bytes(), &epoch.to_le_bytes()].concat())
}

fn is_new(rollout: &Rollout, s: &Server, state: &State) -> bool {
    state.versions.get(&s.id) == Some(&rollout.order.target_version)
}

fn usable(s: &Server, state: &State) -> bool {
    !s.draining && !state.evacuated.contains(&s.zone)
}

/// Among how many proxies this one shares the server, if it does: the few that rendezvous hashing names.
fn share(sharers: &[&Node], server: &str, me: Ipv4Addr) -> Option<usize> {
    let weight = |ip: Ipv4Addr| xxh3_64(&[server.as_bytes(), &ip.octets()].concat());
    let mine = weight(me);
    let before = sharers.iter().filter(|n| n.ip != me && (weight(n.ip), n.ip) > (mine, me)).count();
    let all = sharers.len().min(COLD_SHARERS);
    (sharers.iter().any(|n| n.ip == me) && before < all).then_some(all)
}

fn put<T>(list: &mut Vec<T>, at: usize, value: T) {
    if at < list.len() {
        list[at] = value;
    } else {
        list.push(value); // numbers are given in order
    }
}
