//! What the state machines of one process hold and work at a size of the system: each is given what would come to it, and its
//! processor time, bytes and memory are counted. No link, no other process: what sockets cost is not in it.

use crate::plan::{Plan, RoutePlan, TenantPlan};
use cluster::copy::{Copy, Took};
use cluster::state::{Change, Command, Node, NodeChange, Server, ServerChange};
use cluster::talk::{Down, Gossip, News, Reading, Up, Usage, Use, tenant_key};
use miette::{Result, miette};
use nix::time::{ClockId, clock_gettime};
use proxy::dispatcher::{Dispatcher, Input};
use proxy::reservations::BookingTimes;
use proxy::routing_view::{Leeway, ProxySettings};
use registry::meter::Meter;
use registry::presence::Presence;
use serde::Serialize;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

pub use peak_alloc::PeakAlloc;

const BEAT_US: u64 = 1_500_000;
const SERVICES: usize = 310;
/// Zones and their regions, of which all that is weighed are round.
pub const ZONES: [(&str, &str); 7] =
    [("a", "west"), ("b", "west"), ("c", "west"), ("d", "mid"), ("e", "mid"), ("f", "east"), ("g", "east")];

/// How many of each there are; `active`: tenants that one proxy has requests of.
#[derive(Clone, Copy, Debug)]
pub struct Lot {
    pub proxies: usize,
    pub servers: usize,
    pub tenants: usize,
    pub routes: usize,
    pub active: usize,
}

pub const COLUMNS: &str = "proxies,servers,tenants,routes,active,config_bytes,config_ms,config_held,patch_bytes,patch_ms,\
    patch_peak,state_bytes,state_write_ms,state_read_ms,copy_held,start_ms,start_peak,proxy_held,server_bytes,\
    server_ms,proxy_patch_ms,report_bytes,meter_take_ms,meter_read_ms,meter_held,readings,readings_bytes,\
    readings_ms,beat_us,gossip_bytes,presence_held";

/// Times in microseconds of this thread's processor time, all else in bytes or counts.
#[derive(Clone, Debug, Default)]
pub struct Weighed {
    /// A whole configuration: its text, reading it, what it holds in memory.
    pub config: (usize, u64, usize),
    /// A patch of one route, as a copy carries it out: its text, the time, the memory at its peak above what was held.
    pub patch: (usize, u64, usize),
    /// A whole state: its bytes, writing it, reading it, what it holds.
    pub state: (usize, u64, u64, usize),
    /// A proxy that takes it in: the time, the memory at its peak, what it holds then.
    pub start: (u64, usize, usize),
    /// One change of a server at a proxy: its bytes, the time.
    pub server: (usize, u64),
    /// A patch of one route at a proxy.
    pub proxy_patch: u64,
    /// A proxy's report: its bytes; a registry that takes in those of all, and reads the meter; what the meter holds.
    pub report: (usize, u64, u64, usize),
    /// Readings of all tenants that are active: how many, their bytes, the time at a proxy.
    pub readings: (usize, usize, u64),
    /// Beats of all servers at one registry: each one's time, the bytes that tell another of them, what is held.
    pub beats: (f64, usize, usize),
}

impl Weighed {
    pub fn row(&self, lot: &Lot) -> String {
        let ms = |us: u64| format!("{:.2}", us as f64 / 1000.0);
        let w = self;
        let of = [lot.proxies, lot.servers, lot.tenants, lot.routes, lot.active].map(|n| n.to_string());
        let state = [w.state.0.to_string(), ms(w.state.1), ms(w.state.2), w.state.3.to_string()];
        let report = [w.report.0.to_string(), ms(w.report.1), ms(w.report.2), w.report.3.to_string()];
        [
            of.to_vec(),
            vec![w.config.0.to_string(), ms(w.config.1), w.config.2.to_string()],
            vec![w.patch.0.to_string(), ms(w.patch.1), w.patch.2.to_string()],
            state.to_vec(),
            vec![ms(w.start.0), w.start.1.to_string(), w.start.2.to_string()],
            vec![w.server.0.to_string(), ms(w.server.1), ms(w.proxy_patch)],
            report.to_vec(),
            vec![w.readings.0.to_string(), w.readings.1.to_string(), ms(w.readings.2)],
            vec![format!("{:.2}", w.beats.0), w.beats.1.to_string(), w.beats.2.to_string()],
        ]
        .concat()
        .join(",")
    }
}

/// Processor time of this thread.
fn spent() -> u64 {
    let t = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("every thread has such a clock");
    t.tv_sec() as u64 * 1_000_000 + t.tv_nsec() as u64 / 1000
}

fn timed<T>(work: impl FnOnce() -> T) -> (T, u64) {
    let before = spent();
    let done = work();
    (done, spent() - before)
}

fn bytes<T: Serialize>(message: &T) -> usize {
    postcard::to_stdvec(message).expect("plain data").len()
}

fn node(n: usize) -> Node {
    let (zone, region) = ZONES[n % ZONES.len()];
    let ip = Ipv4Addr::new(10, 1, (n / 250) as u8, (n % 250) as u8 + 1);
    let (zone, region) = (zone.to_string(), region.to_string());
    Node { ip, name: format!("edge-{n}"), zone, region, front: (ip, 8686).into() }
}

pub fn server(n: usize) -> Server {
    let ip = Ipv4Addr::new(10, 2, (n / 250) as u8, (n % 250) as u8 + 1);
    Server {
        id: format!("i-{n:06x}-{:06x}", n * 7919 % 0xff_ffff),
        service: format!("service-{}", n % SERVICES),
        addr: (ip, 8080).into(),
        zone: ZONES[n / SERVICES % ZONES.len()].0.into(),
        slots: 8,
        draining: false,
        cold_ms: 0,
        noted_at: 0,
    }
}

fn tenant(n: usize) -> String {
    format!("tenant-{n:06}")
}

/// A configuration as an operator of that size would have it: keys of 32 digits, a limit for each tenant.
pub fn plan(lot: &Lot) -> Plan {
    let kinds = ["safe", "unsafe", "download"];
    let routes = (0..lot.routes).map(|n| RoutePlan {
        name: format!("route-{n:05}"),
        path: format!("route-{n:05}"),
        kind: kinds[n % 3],
        to: vec![(format!("service-{}", n % SERVICES), 1)],
        homes: Vec::new(),
    });
    let tenants = (0..lot.tenants).map(|n| TenantPlan {
        name: tenant(n),
        keys: vec![format!("{:032x}", (n as u128 + 1) * 0x9e37_79b9_7f4a_7c15_f39c_c060)],
        rate: 60,
    });
    let services = (0..SERVICES).map(|n| format!("service-{n}")).collect();
    let (routes, tenants) = (routes.collect(), tenants.collect());
    Plan { version: 1, services, routes, tenants, cold: (3.0, 4.0), names_by_place: false }
}

/// The tenants that this proxy has requests of: some that all have, some of its own.
pub fn usage(lot: &Lot, n: usize, count: u64) -> Usage {
    let own = |i: usize| (n * lot.active + i) * 7919 % lot.tenants;
    let of = |i: usize| if i.is_multiple_of(2) { i / 2 % lot.tenants } else { own(i) };
    let tenants: BTreeSet<usize> = (0..lot.active.min(lot.tenants)).map(of).collect();
    let each = |t: usize| Use { tenant: tenant_key(&tenant(t)), wanted: 1_000, used: 1_000 };
    Usage { ip: node(n).ip, life: n as u64 + 1, count, tenants: tenants.into_iter().map(each).collect() }
}

/// Counts one lot. Memory is that of the program whose allocator `heap` is: nothing else may work in it meanwhile.
pub fn weigh(lot: &Lot, heap: &PeakAlloc) -> Result<Weighed> {
    let (mut w, mut plan) = (Weighed::default(), plan(lot));
    let change = |plan: &Plan, patch: bool| {
        let body = if patch { plan.patch("route-00000") } else { plan.whole() };
        Command::Configure(Change { base: plan.version - 1, patch, body: body.into_bytes() })
    };
    let whole = plan.whole();
    let before = heap.current_usage();
    let (config, us) = timed(|| settings::Config::read(whole.as_bytes()));
    let config = config.map_err(|e| miette!("{e}"))?;
    w.config = (whole.len(), us, heap.current_usage() - before);
    drop(config);

    // A core's copy, and what a proxy that starts is sent.
    let mut copy = Copy::default();
    copy.apply(0, 1, Some(change(&plan, false)));
    copy.apply(0, 2, Some(Command::Nodes((0..lot.proxies).map(|n| NodeChange::Up(node(n))).collect())));
    copy.apply(0, 3, Some(Command::Servers((0..lot.servers).map(|n| ServerChange::Up(server(n))).collect())));
    let (written, write_us) = timed(|| copy.state.write(0));
    let mut sent = Some(News::Whole(written.clone()));
    let before = heap.current_usage();
    let mut other = Copy::default();
    let (took, read_us) = timed(|| other.take(0, sent.take().expect("not sent yet")));
    if took != Took::Changed {
        return Err(miette!("the state is not taken as it was written: {took:?}"));
    }
    // The bytes that were sent have been dropped on the way.
    w.state = (written.len(), write_us, read_us, heap.current_usage() + written.len() - before);

    plan.version = 2;
    plan.routes[0].to = vec![("service-1".into(), 1)];
    let patch = change(&plan, true);
    w.patch.0 = plan.patch("route-00000").len();
    let before = heap.current_usage();
    heap.reset_peak_usage();
    let (done, us) = timed(|| other.apply(0, 4, Some(patch.clone())));
    if done != cluster::state::Done::Taken {
        return Err(miette!("the patch is not taken: {done:?}"));
    }
    (w.patch.1, w.patch.2) = (us, heap.peak_usage() - before);
    drop(other);
    proxy(&mut w, heap, written, patch)?;
    registry(&mut w, lot, heap, &copy);
    Ok(w)
}

/// A proxy that knows nothing yet.
fn blank() -> Dispatcher {
    let me = node(0);
    let leeway = Leeway { excess: 0.1, margin: 20.0, period_s: 5.0, retry_ratio: 0.2, retry_slack: 60.0 };
    let zones = ZONES.iter().map(|z| (z.0.into(), z.1.into())).collect();
    let exposure = proxy::rollout::Exposure::from_settings(None, None);
    let (zone, region) = (me.zone, me.region);
    let place = ProxySettings {
        ip: me.ip,
        zone,
        region,
        zones,
        leeway,
        booking_times: BookingTimes::default(),
        exposure,
    };
    Dispatcher::new(place, BEAT_US, 1, 0)
}

fn proxy(w: &mut Weighed, heap: &PeakAlloc, written: Vec<u8>, patch: Command) -> Result<()> {
    let sent = written.len();
    let before = heap.current_usage();
    heap.reset_peak_usage();
    let (mut front, mut out) = (blank(), Vec::new());
    let (_, us) = timed(|| front.handle(0, Input::News(News::Whole(written)), &mut out));
    if !front.ready() {
        return Err(miette!("the proxy is not ready"));
    }
    let peak = heap.peak_usage() - before;
    drop(std::mem::take(&mut out));
    w.start = (us, peak, heap.current_usage() + sent - before);
    let draining = Command::Servers(vec![ServerChange::Draining { id: server(0).id }]);
    let run = |at: u64, command| News::Run { from: at - 1, to: at, commands: vec![(at, command)] };
    let news = run(4, draining);
    w.server.0 = bytes(&Down::News(news.clone()));
    w.server.1 = timed(|| front.handle(1_000, Input::News(news), &mut out)).1;
    w.proxy_patch = timed(|| front.handle(2_000, Input::News(run(5, patch)), &mut out)).1;
    if front.copy.state.version() != 2 {
        return Err(miette!("the proxy has not taken the patch"));
    }
    Ok(())
}

fn registry(w: &mut Weighed, lot: &Lot, heap: &PeakAlloc, copy: &Copy) {
    let every_us = BEAT_US / 3;
    let reports: Vec<Usage> = (0..lot.proxies).map(|n| usage(lot, n, 1)).collect();
    let one = Up::Report { rev: 1, head: None, seen: Vec::new(), usage: vec![reports[0].clone()] };
    w.report.0 = bytes(&one);
    // A second round, as a meter that knows all is the usual one.
    let again: Vec<Usage> = reports.iter().map(|u| Usage { count: 2, ..u.clone() }).collect();
    let before = heap.current_usage();
    let mut meter = Meter::new(every_us);
    for report in reports.iter().cloned() {
        meter.take(0, report, false);
    }
    meter.take_unsent();
    meter.read(0, &copy.state);
    w.report.3 = heap.current_usage() - before;
    w.report.1 = timed(|| again.into_iter().for_each(|u| _ = meter.take(every_us, u, false))).1;
    let (readings, us) = timed(|| meter.read(every_us, &copy.state));
    w.report.2 = us;
    w.readings = (readings.len(), bytes(&Down::Meter(readings.clone(), None)), readings_us(copy, readings));

    let ids: Vec<String> = copy.state.servers.keys().cloned().collect();
    let before = heap.current_usage();
    let mut presence = Presence::new(0, BEAT_US);
    for id in &ids {
        presence.heartbeat(0, id, 1);
    }
    presence.take_unsent();
    w.beats.2 = heap.current_usage() - before;
    let (_, us) = timed(|| ids.iter().for_each(|id| _ = presence.heartbeat(BEAT_US, id, 2)));
    let (servers, nodes) = presence.take_unsent();
    let (ip, zone) = (Ipv4Addr::new(10, 0, 0, 1), "a".to_string());
    let (usage, heads, leases) = (Vec::new(), Vec::new(), Vec::new());
    let gossip = Gossip { ip, zone, servers, nodes, usage, heads, day_ms: None, leases, tallies: vec![] };
    w.beats = (us as f64 / ids.len().max(1) as f64, bytes(&gossip), w.beats.2);
}

/// What a proxy works to take readings in.
fn readings_us(copy: &Copy, readings: Vec<Reading>) -> u64 {
    let (mut front, mut out) = (blank(), Vec::new());
    front.handle(0, Input::News(News::Whole(copy.state.write(0))), &mut out);
    timed(|| front.handle(1_000, Input::Meter(readings, 1_000), &mut out)).1
}
