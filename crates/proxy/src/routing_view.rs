//! Translates the agreed state into the input of the request decisions: routes become classes, tenants
//! become plans, services become fleets, and servers become entries of the server list.
//!
//! Tenants, services and zones are known by their names, and routes by the requests that they take, since a
//! route's name may pass to another route. Each gets a number once, and no number is given to another, so a
//! number that a request in flight carries, or under which something was learned, keeps its meaning when a
//! new configuration arrives.

use crate::reservations::BookingTimes;
use crate::rollout::{Exposure, RolloutServer, Side};
use cluster::Rev;
use cluster::rollout::{Role, Rollout, Stage};
use cluster::state::{Node, Server, State};
use cluster::talk::tenant_key;
use curlewfront::{Class, Effect, Entry, Micros, Plan, Settings, State as Standing};
use settings::config::{Config, RouteKey, Service};
use std::borrow::Borrow;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hash;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// This proxy's address and location, and the settings that its decisions depend on.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    pub ip: Ipv4Addr,
    pub zone: String,
    pub region: String,
    /// Zone names and the region of each.
    pub zones: BTreeMap<String, String>,
    pub leeway: Leeway,
    pub booking_times: BookingTimes,
    /// The share of a service's requests that a version on trial may get.
    pub exposure: Exposure,
}

/// By how much the settings allow quotas to be exceeded: by a fraction of the quota and by a fixed number of
/// requests per period. It covers the delay with which proxies learn of each other's usage.
#[derive(Clone, Copy, Debug, Default)]
pub struct Leeway {
    /// Fraction of the requests that the quota allows in a period.
    pub excess: f64,
    /// Requests per period on top of that.
    pub margin: f64,
    /// The length of a period.
    pub period_s: f64,
    /// Bounds on the retries of all proxies to one service: a fraction of the requests to it, plus a fixed
    /// number.
    pub retry_ratio: f64,
    pub retry_slack: f64,
}

/// The fraction of the leeway's fixed margin that is added to bursts in advance. The remainder covers the
/// time until a meter reading reports a rise.
const MARGIN_IN_BURSTS: f64 = 0.2;

/// The fraction of the remaining leeway that all proxies together may send ahead of their even shares before
/// a reading reports it.
const AHEAD_FRACTION: f64 = 0.4;
/// The least that one proxy may send ahead, in requests. Without it each of many proxies would refuse
/// requests that arrive by chance.
const MIN_AHEAD: f64 = 2.0;

/// The fraction of the retry budget that is used, because the budget is counted over sliding windows and
/// covers requests that other proxies sent.
const RETRY_BUDGET_FRACTION: f64 = 0.6;

impl Leeway {
    /// This proxy's part of the retry budget: retries per first attempt, retries that may be saved up, and
    /// the cost of a retry after a reset. A reset costs as much as any other failure, because the server may
    /// have received the request.
    fn retry_budget(&self, proxies: u32) -> [f64; 3] {
        [
            RETRY_BUDGET_FRACTION * self.retry_ratio,
            RETRY_BUDGET_FRACTION * self.retry_slack / f64::from(proxies.max(1)),
            1.0,
        ]
    }

    /// The requests per second that a tenant may send in the long run before half of the leeway is used up.
    fn sustained_rate(&self, rate: f64) -> f64 {
        let margin = if self.period_s > 0.0 { self.margin / self.period_s } else { 0.0 };
        rate * (1.0 + self.excess / 2.0) + margin / 2.0
    }

    /// One proxy's share of a plan that is divided evenly over `proxies`, and how far it may run ahead of
    /// that share.
    fn even_share(&self, plan: &Plan, proxies: usize) -> EvenShare {
        let n = proxies.max(1) as f64;
        // `plan.burst` was scaled down for the decisions; see [`BURST_SPLIT`].
        let burst = plan.burst * n.powf(1.0 - BURST_SPLIT);
        let rest = self.excess * (plan.rate * self.period_s + burst) + (1.0 - MARGIN_IN_BURSTS) * self.margin;
        EvenShare { rate: plan.rate / n, burst: burst / n, ahead: (AHEAD_FRACTION * rest / n).max(MIN_AHEAD) }
    }

    /// A tenant's burst including the margin that is given out in advance; unchanged without a quota.
    fn burst_with_margin(&self, rate: f64, burst: f64) -> f64 {
        if rate <= 0.0 {
            return burst;
        }
        burst + MARGIN_IN_BURSTS * self.margin
    }
}

/// One proxy's even share of a quota.
#[derive(Clone, Copy, Debug)]
pub struct EvenShare {
    pub rate: f64,
    pub burst: f64,
    /// The number of requests that may be sent ahead of the share without a reading that has reported them.
    pub ahead: f64,
}

/// The value of an answer that comes after the target time, as a fraction of one in time; high enough that
/// the request keeps waiting for it.
const LATE_WORTH: f64 = 0.2;
/// The number of proxies that send to a cold server and divide its cold rate; other proxies don't use the
/// server until it is warm.
const COLD_SERVER_PROXIES: usize = 3;
/// [`Entry::part`] of servers that are not among the nearest: an even part of their work.
const DISTANT_PART: f64 = 1.0;
/// [`Peer::near`] of a server in another zone of the same region.
pub const SAME_REGION: u32 = 1;
/// [`Entry::distance`] of servers on trial. The distance of all other servers of their service grows by one
/// meanwhile, so that servers on trial come first for requests that may go there.
const TRIAL_DISTANCE: u32 = 0;
/// Servers on trial are listed under a zone number that is larger by this offset, so that the zone set of a
/// request decides whether it may go there. Zone sets have 64 bits: zones with numbers from this one on take
/// no part in trials.
const TRIAL_ZONE_OFFSET: u32 = 32;
const REGULAR_ZONES_MASK: u64 = (1 << TRIAL_ZONE_OFFSET) - 1;
/// The minimum number of servers of a zone that are on trial at the same time, if the zone has that many.
const MIN_ON_TRIAL: usize = 2;
/// In the partial stage one in this many servers of the new version serves, beside all old ones.
const PARTIAL_ONE_IN: usize = 4;
/// While the meter reads less than this fraction of a tenant's quota as used, [`LIGHT_USE_BURST`] of its
/// requests may come at once at any proxy.
const LIGHT_USE_BELOW: f64 = 0.85;
/// In requests; see [`LIGHT_USE_BELOW`].
const LIGHT_USE_BURST: f64 = 4.0;
/// The shortest time between two moments at which the decisions handle events.
const TICK_US: Micros = 1_000;
/// The longest delay that a refused client is told to wait.
const MAX_RETRY_AFTER_US: Micros = 1_000_000;

/// The decisions give each of n proxies n^-0.8 of a burst, so all parts together would exceed the burst. The
/// burst that they are given is therefore scaled by n^(0.8 - 1), which makes the parts add up to the real
/// one.
const BURST_SPLIT: f64 = 0.8;

/// Consecutive numbers for keys, from 0.
struct NumberMap<K = String>(HashMap<K, u32>);

impl<K> Default for NumberMap<K> {
    fn default() -> NumberMap<K> {
        NumberMap(HashMap::new())
    }
}

impl<K: Eq + Hash> NumberMap<K> {
    fn number_for<Q>(&mut self, key: &Q) -> u32
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ToOwned<Owned = K> + ?Sized,
    {
        if let Some(n) = self.get(key) {
            return n;
        }
        let n = self.0.len() as u32;
        self.0.insert(key.to_owned(), n);
        n
    }

    fn get<Q>(&self, key: &Q) -> Option<u32>
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.0.get(key).copied()
    }
}

/// What is kept of a server from one list to the next.
#[derive(Clone)]
struct ServerRecord {
    number: u64,
    peer: Peer,
}

/// This proxy's view of routes, tenants, services and servers, and the numbers that the decisions know them
/// by.
pub struct RoutingView {
    own: ProxySettings,
    classes: Vec<Class>,
    /// `None` stands for class 0.
    class_of: NumberMap<Option<RouteKey>>,
    /// The class of each route, in the order of the configuration last applied.
    class_by_route: Vec<usize>,
    plans: Vec<Plan>,
    plan_of: NumberMap,
    keys: Vec<u32>,
    services: NumberMap,
    /// The zones of the settings come first, then this proxy's zone if the settings don't name it, then
    /// others as they appear.
    zones: NumberMap,
    /// The region number of each zone of the settings, by zone number.
    regions: Vec<u32>,
    own_zone: u32,
    servers: HashMap<String, ServerRecord>,
    next_server: u64,
    /// Numbers of servers that answered as another instance (421): the address isn't used under the old
    /// name.
    misdirected: BTreeSet<u64>,
    /// Numbers of the services that had servers on trial when the list was last built.
    on_trial: BTreeSet<u32>,
}

/// A server as the connection layer needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    pub id: Arc<str>,
    pub addr: SocketAddr,
    /// The numbers of its service and zone, and the distance to that zone: 0 for this proxy's zone, 1 for
    /// another zone of its region, 2 otherwise.
    pub service: u32,
    pub zone: u32,
    pub near: u32,
}

/// The current server list, and when it changes next if no news arrives.
pub struct ServerList {
    pub entries: Vec<Entry>,
    /// All listed servers; true: requests may be sent there.
    pub peers: BTreeMap<u64, (Peer, bool)>,
    /// The servers of services with a running rollout.
    pub rollout_servers: BTreeMap<u64, RolloutServer>,
    pub changes_at: Option<Micros>,
}

impl RoutingView {
    pub fn new(own: ProxySettings) -> RoutingView {
        let (mut zones, mut region_numbers) = (NumberMap::default(), NumberMap::default());
        own.zones.keys().for_each(|z| {
            zones.number_for(z);
        });
        let regions = own.zones.values().map(|r| region_numbers.number_for(r)).collect();
        let own_zone = zones.number_for(&own.zone);
        // Class 0 and plan 0 belong to no route or tenant; the decisions need one of each before a
        // configuration arrives.
        let class = Class {
            aim_us: 1_000_000,
            deadline_us: 3_000_000,
            late_worth: LATE_WORTH,
            effect: Effect::Repeatable,
        };
        let (mut class_of, mut plan_of) = (NumberMap::default(), NumberMap::default());
        class_of.number_for(&None);
        plan_of.number_for("");
        RoutingView {
            own,
            classes: vec![class],
            class_of,
            class_by_route: Vec::new(),
            plans: vec![Plan::default()],
            plan_of,
            keys: vec![0],
            services: NumberMap::default(),
            zones,
            regions,
            own_zone,
            servers: HashMap::new(),
            next_server: 0,
            misdirected: BTreeSet::new(),
            on_trial: BTreeSet::new(),
        }
    }

    /// The number of the class of the route at this position of the configuration last applied; 0: there is
    /// no such route.
    pub fn class(&self, route: usize) -> usize {
        self.class_by_route.get(route).copied().unwrap_or(0)
    }

    /// The number of a tenant's plan, which is also its customer number; 0: unknown tenant.
    pub fn plan(&self, tenant: &str) -> usize {
        self.plan_of.get(tenant).unwrap_or(0) as usize
    }

    /// The plans that have a quota, each with the rate that its tenant may sustain.
    pub fn quotas(&self) -> Vec<(usize, f64)> {
        let all = self.plans.iter().enumerate();
        all.filter(|(_, p)| p.rate > 0.0).map(|(n, p)| (n, self.own.leeway.sustained_rate(p.rate))).collect()
    }

    /// A plan's even share if it is divided over `nodes` proxies.
    pub fn even_share(&self, plan: usize, nodes: usize) -> EvenShare {
        self.own.leeway.even_share(&self.plans[plan], nodes)
    }

    /// The key under which usage reports name a plan's tenant.
    pub fn report_key(&self, plan: usize) -> u32 {
        self.keys.get(plan).copied().unwrap_or(0)
    }

    pub fn service(&self, name: &str) -> Option<u32> {
        self.services.get(name)
    }

    /// All zones except this one, as a bit set.
    pub fn zones_except(&self, zone: &str) -> u64 {
        self.zones.get(zone).filter(|n| *n < 64).map_or(u64::MAX, |n| !(1 << n))
    }

    /// The zones in these regions, as a bit set; all zones if `regions` is empty.
    pub fn zones_in_regions(&self, regions: &[String]) -> u64 {
        if regions.is_empty() {
            return u64::MAX;
        }
        let inside = self.own.zones.iter().filter(|(_, r)| regions.contains(r));
        inside.filter_map(|(z, _)| self.zones.get(z)).filter(|n| *n < 64).fold(0, |set, n| set | 1 << n)
    }

    /// Adapts a distance limit `near` of a request for this service to the decisions: while servers of the
    /// service are on trial, the distances of all its other servers are larger by one.
    pub fn reach(&self, service: u32, near: u32) -> u32 {
        near + u32::from(self.on_trial.contains(&service))
    }

    /// Removes the bits that stand for servers on trial from a zone set.
    pub fn regular_zones(&self, zones: u64) -> u64 {
        if self.has_trial_zones() { zones & REGULAR_ZONES_MASK } else { zones }
    }

    /// The bits that stand for servers on trial, for those of the given zones that are in this proxy's
    /// region.
    pub fn trial_zones(&self, zones: u64) -> u64 {
        if !self.has_trial_zones() {
            return 0;
        }
        (zones & self.zones_in_regions(std::slice::from_ref(&self.own.region)) & REGULAR_ZONES_MASK)
            << TRIAL_ZONE_OFFSET
    }

    /// Whether all known zones fit below [`TRIAL_ZONE_OFFSET`]; otherwise no server is on trial.
    fn has_trial_zones(&self) -> bool {
        self.zones.0.len() <= TRIAL_ZONE_OFFSET as usize
    }

    /// Applies a configuration, with quotas divided over `nodes` proxies.
    pub fn apply_config(&mut self, config: &Config, nodes: usize) {
        self.class_by_route.clear();
        let mut set = BTreeSet::new();
        for route in &config.routes {
            let class = Class {
                aim_us: (route.target_ms * 1000).max(1),
                deadline_us: (route.deadline_ms * 1000).max(1),
                late_worth: LATE_WORTH,
                effect: if route.kind.repeatable() { Effect::Repeatable } else { Effect::Once },
            };
            let number = self.class_of.number_for(&Some(route.key())) as usize;
            // Of two routes with the same host and path, the first gets all requests.
            if set.insert(number) {
                set_at(&mut self.classes, number, class);
            }
            self.class_by_route.push(number);
        }
        for tenant in config.tenants.iter().flatten() {
            let burst = self.own.leeway.burst_with_margin(tenant.rate, tenant.burst);
            let burst = burst * (nodes.max(1) as f64).powf(BURST_SPLIT - 1.0);
            let plan = Plan { rate: tenant.rate, burst, ..Plan::default() };
            let number = self.plan_of.number_for(&tenant.name) as usize;
            set_at(&mut self.plans, number, plan);
            set_at(&mut self.keys, number, tenant_key(&tenant.name));
        }
        for service in &config.services {
            self.services.number_for(&service.name);
        }
    }

    /// The settings of the decisions of proxy `index` out of `balancers`.
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
            max_retry_after_us: MAX_RETRY_AFTER_US,
            attempts_cap: 2,
            starts_empty: true,
            retry_budget: Some(self.own.leeway.retry_budget(balancers)),
            light_use_below: LIGHT_USE_BELOW,
            light_use_burst: LIGHT_USE_BURST,
            cold_from: 0.25,
            cold_us: 1,
            fall_multiple: 1.0,
            services: self.services.0.len().max(1) as u32,
            ..Settings::default()
        }
    }

    /// Records that this server answered as another instance: its entry is stale even if no news has said
    /// so.
    pub fn mark_misdirected(&mut self, server: u64) {
        self.misdirected.insert(server);
    }

    /// Builds the server list for the decisions. Every proxy rebuilds it at each change of any server, so
    /// lookups go by number and server records are cached.
    pub fn server_list(&mut self, now: Micros, state: &State) -> ServerList {
        let mut list = ServerList {
            entries: Vec::new(),
            peers: BTreeMap::new(),
            rollout_servers: BTreeMap::new(),
            changes_at: None,
        };
        let duties = duties(state, self.own.exposure.share);
        let duty = |s: &Server| duties.get(s.id.as_str()).copied().unwrap_or(Duty::Regular);
        let records: Vec<ServerRecord> = state.servers.values().map(|s| self.server_record(s)).collect();
        // Count the proxies that prefer the servers of a service in a zone: first the distance from each
        // zone to the nearest servers of each service, then the proxies whose zone has that distance to the
        // servers.
        let mut proxies_per_zone: BTreeMap<u32, usize> = BTreeMap::new();
        for n in state.nodes.values() {
            *proxies_per_zone.entry(self.zones.number_for(&n.zone)).or_default() += 1;
        }
        let listed = || state.servers.values().zip(&records);
        let serving: BTreeSet<(u32, u32)> = listed()
            .filter(|(s, _)| usable(s, state) && duty(s) == Duty::Regular)
            .map(|(_, k)| (k.peer.service, k.peer.zone))
            .collect();
        let mut nearest: BTreeMap<(u32, u32), u32> = BTreeMap::new();
        for (zone, (service, server_zone)) in
            proxies_per_zone.keys().flat_map(|z| serving.iter().map(move |u| (*z, *u)))
        {
            let near = self.near(zone, server_zone);
            nearest.entry((zone, service)).and_modify(|n| *n = near.min(*n)).or_insert(near);
        }
        let mut proxies_nearest: BTreeMap<(u32, u32), usize> = BTreeMap::new();
        for (zone, count) in &proxies_per_zone {
            for (service, server_zone) in &serving {
                if nearest.get(&(*zone, *service)) == Some(&self.near(*zone, *server_zone)) {
                    *proxies_nearest.entry((*service, *server_zone)).or_default() += count;
                }
            }
        }
        let trials = listed().filter(|(s, _)| duty(s) == Duty::Trial);
        self.on_trial = trials.map(|(_, k)| k.peer.service).collect();
        // Services that no configuration names yet can have servers; they get no requests.
        let mut services: BTreeMap<u32, &Service> = BTreeMap::new();
        for service in state.config.iter().flat_map(|c| &c.services) {
            services.insert(self.services.number_for(&service.name), service);
        }
        let proxies = state.nodes.len().max(1) as f64;
        for (s, k) in listed() {
            let (number, &Peer { service, zone, near, .. }) = (k.number, &k.peer);
            let sharing = proxies_nearest.get(&(service, zone)).copied().unwrap_or(0);
            let is_nearest = nearest.get(&(self.own_zone, service)) == Some(&near);
            let part = if is_nearest { proxies / sharing.max(1) as f64 } else { DISTANT_PART };
            let configured = services.get(&service).copied();
            let cold_until = self.cold_until(s, configured, state);
            let cold = now < cold_until;
            let duty = duty(s);
            let trial = duty == Duty::Trial && zone < TRIAL_ZONE_OFFSET && self.has_trial_zones();
            let mut up =
                usable(s, state) && !self.misdirected.contains(&number) && (trial || duty == Duty::Regular);
            let mut cold_rate = 0.0;
            if cold {
                list.changes_at = Some(list.changes_at.map_or(cold_until, |at| at.min(cold_until)));
                let share = cold_share(&self.sharers(state, &s.zone), &s.id, self.own.ip);
                // A cold server that other proxies warm up is left alone here.
                up &= share.is_some();
                cold_rate = configured.and_then(|c| c.cold_rate_s).unwrap_or(0.0) / share.unwrap_or(1) as f64;
            }
            list.entries.push(Entry {
                server: number,
                zone: if trial { zone + TRIAL_ZONE_OFFSET } else { zone },
                state: if up { Standing::Up } else { Standing::Draining },
                service,
                distance: if trial { TRIAL_DISTANCE } else { self.reach(service, near) },
                share: part,
                cold_rate,
                cold_until_us: if cold { cold_until } else { 0 },
                ..Entry::default()
            });
            list.peers.insert(number, (k.peer.clone(), up));
            if let Some(rollout) = state.rollouts.running_of(&s.service) {
                let side = if runs_target_version(rollout, s, state) { Side::New } else { Side::Old };
                let placed = RolloutServer { epoch: rollout.epoch, side, trial, cold_until };
                list.rollout_servers.insert(number, placed);
            }
        }
        self.servers.retain(|id, _| state.servers.contains_key(id));
        self.misdirected.retain(|n| list.peers.contains_key(n));
        list
    }

    /// Returns the cached record of a server, or a new one with a number of its own if its zone, service or
    /// address has changed: attempts in flight and what was learned belong to the server as it was.
    fn server_record(&mut self, s: &Server) -> ServerRecord {
        let (zone, service) = (self.zones.number_for(&s.zone), self.services.number_for(&s.service));
        let kept = self.servers.get(&s.id);
        if let Some(k) =
            kept.filter(|k| (k.peer.zone, k.peer.service, k.peer.addr) == (zone, service, s.addr))
        {
            return k.clone();
        }
        self.next_server += 1;
        let (id, near) = (s.id.as_str().into(), self.near(self.own_zone, zone));
        let peer = Peer { id, addr: s.addr, service, zone, near };
        let record = ServerRecord { number: self.next_server, peer };
        self.servers.insert(s.id.clone(), record.clone());
        record
    }

    /// The distance between zones: 0 for the same zone, 1 for the same region, 2 otherwise.
    fn near(&self, from: u32, to: u32) -> u32 {
        let region = |zone: u32| self.regions.get(zone as usize);
        match (region(from), region(to)) {
            _ if from == to => 0,
            (Some(one), Some(other)) if one == other => 1,
            _ => 2,
        }
    }

    /// The proxies that may warm up a zone's cold servers: those of the zone itself, or all if it has none.
    fn sharers<'s>(&self, state: &'s State, zone: &str) -> Vec<&'s Node> {
        let own: Vec<&Node> = state.nodes.values().filter(|n| n.zone == zone).collect();
        if own.is_empty() { state.nodes.values().collect() } else { own }
    }

    fn cold_until(&self, server: &Server, service: Option<&Service>, state: &State) -> Micros {
        // Servers of a zone that returns from an evacuation may have turned cold without having reported it
        // yet.
        let period = service.map_or(0, |s| (s.cold_period_s * 1e6) as Micros);
        let returned = state.returned.get(&server.zone).map_or(0, |at| at + period);
        server.cold_until_at_most().max(returned)
    }
}

/// How a server is used during or after a rollout of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Duty {
    /// Serves as without a rollout.
    Regular,
    /// Serves only requests that the trial's share allows.
    Trial,
    /// Gets no requests.
    Idle,
}

/// The duties of all servers whose duty isn't [`Duty::Regular`], and of the new ones that serve in the
/// partial stage, by server id.
fn duties(state: &State, trial_share: f64) -> BTreeMap<&str, Duty> {
    let mut duties = BTreeMap::new();
    if state.rollouts.is_empty() {
        return duties;
    }
    let in_rollout = |s: &&Server| state.rollouts.0.contains_key(&s.service);
    let servers: Vec<&Server> = state.servers.values().filter(in_rollout).collect();
    let mut new_servers: BTreeMap<(&str, &str), Vec<&Server>> = BTreeMap::new();
    // Services that have a usable server with the regular role.
    let mut have_replacement: BTreeSet<&str> = BTreeSet::new();
    for s in servers.iter().copied() {
        match state.role(s) {
            Role::Regular if usable(s, state) => _ = have_replacement.insert(s.service.as_str()),
            Role::Trial | Role::Partial if usable(s, state) => {
                new_servers.entry((s.service.as_str(), s.zone.as_str())).or_default().push(s);
            }
            _ => {}
        }
    }
    for s in servers.iter().copied() {
        let duty = match state.role(s) {
            Role::Regular => continue,
            Role::Replaced if !have_replacement.contains(s.service.as_str()) => continue,
            _ => Duty::Idle,
        };
        duties.insert(s.id.as_str(), duty);
    }
    for ((service, _), mut servers) in new_servers {
        let Some(rollout) = state.rollouts.running_of(service) else { continue };
        let (count, duty) = match rollout.stage {
            Stage::Trial => {
                let part = (servers.len() as f64 * trial_share).ceil() as usize;
                (part.max(MIN_ON_TRIAL), Duty::Trial)
            }
            _ => (servers.len().div_ceil(PARTIAL_ONE_IN), Duty::Regular),
        };
        servers.sort_by_key(|s| (activation_order(rollout.epoch, &s.id), s.id.as_str()));
        duties.extend(servers.iter().take(count).map(|s| (s.id.as_str(), duty)));
    }
    duties
}

/// The order in which servers of a new version are put to use; the same at each proxy.
fn activation_order(epoch: Rev, server: &str) -> u64 {
    xxh3_64(&[server.as_bytes(), &epoch.to_le_bytes()].concat())
}

fn runs_target_version(rollout: &Rollout, s: &Server, state: &State) -> bool {
    state.versions.get(&s.id) == Some(&rollout.order.target_version)
}

fn usable(s: &Server, state: &State) -> bool {
    !s.draining && !state.evacuated.contains(&s.zone)
}

/// The number of proxies that divide the cold rate of a server, if this proxy is one of them; rendezvous
/// hashing picks them among `sharers`.
fn cold_share(sharers: &[&Node], server: &str, own_ip: Ipv4Addr) -> Option<usize> {
    let weight = |ip: Ipv4Addr| xxh3_64(&[server.as_bytes(), &ip.octets()].concat());
    let own_weight = weight(own_ip);
    let preferred =
        sharers.iter().filter(|n| n.ip != own_ip && (weight(n.ip), n.ip) > (own_weight, own_ip)).count();
    let all = sharers.len().min(COLD_SERVER_PROXIES);
    (sharers.iter().any(|n| n.ip == own_ip) && preferred < all).then_some(all)
}

fn set_at<T>(list: &mut Vec<T>, at: usize, value: T) {
    if at < list.len() {
        list[at] = value;
    } else {
        list.push(value); // numbers are given in order
    }
}
