//! Sizes of the system, one part varied at a time: what is counted follows the part that was varied, and only that.

use simulator::load::{self, Size};
use simulator::plan::Plan;
use simulator::scenario::Scenario;
use simulator::weigh::{Lot, PeakAlloc, Weighed, plan, usage, weigh};
use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};

#[global_allocator]
static HEAP: PeakAlloc = PeakAlloc;

/// Memory is counted for the whole process, so these tests run one after the other.
static ALONE: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

const LOT: Lot = Lot { proxies: 9, servers: 40, tenants: 60, routes: 12, active: 10 };

fn weighed(lot: Lot) -> Weighed {
    weigh(&lot, &HEAP).expect("a lot is weighed")
}

#[test]
fn further_routes_go_to_the_services_in_turn_and_are_named_apart() {
    let _alone = alone();
    let s = Scenario::read("routes 8\nservice tiro 2\nservice utu 2\nservice kawe 2").expect("a scenario");
    let plan = Plan::of(&s);
    let to: Vec<&str> = plan.routes.iter().map(|r| r.to[0].0.as_str()).collect();
    assert_eq!(to, ["tiro", "utu", "kawe", "tiro", "utu", "kawe", "tiro", "utu"]);
    assert_eq!(plan.routes[0].name, "r-tiro");
    assert_eq!(plan.routes[3].name, "r-tiro-2");
    assert!(plan.routes.iter().all(|r| (r.kind == "unsafe") == (r.to[0].0 == "utu")), "kinds go by service");
    let names: BTreeSet<&String> = plan.routes.iter().map(|r| &r.name).collect();
    assert_eq!(names.len(), 8);
    settings::Config::read(plan.whole().as_bytes()).expect("a proper configuration");
}

#[test]
fn each_part_of_a_size_is_varied_alone_and_no_rule_is_broken() {
    let _alone = alone();
    let size = Size { servers: 12, tenants: 40, routes: 6, ..Size::of(4) };
    let s = Scenario::read(&size.day()).expect("a day");
    assert_eq!(s.servers.iter().map(|x| x.1).sum::<usize>(), 12);
    assert_eq!((s.edges, s.tenants, s.routes, s.clients), (4, 40, 6, 40));
    let (_, record) = load::measure(size, 1).expect("it is played");
    let breaches = simulator::judge::judge(&record);
    assert!(breaches.is_empty(), "{}: {}", breaches[0].rule, breaches[0].what);
    let tenants: BTreeSet<usize> = record.requests.iter().map(|r| r.tenant).collect();
    assert!(tenants.len() > 20, "more tenants than proxies ask for something: {}", tenants.len());
}

#[test]
fn what_is_weighed_follows_the_part_that_grows_and_no_other() {
    let _alone = alone();
    let base = weighed(LOT);
    let servers = weighed(Lot { servers: 80, ..LOT });
    let tenants = weighed(Lot { tenants: 120, ..LOT });
    let routes = weighed(Lot { routes: 24, ..LOT });
    let active = weighed(Lot { active: 20, ..LOT });
    for other in [&servers, &active] {
        assert_eq!(other.config.0, base.config.0, "neither servers nor requests are configured");
    }
    assert!(tenants.config.0 > base.config.0 && routes.config.0 > base.config.0);
    let one = base.patch.0;
    assert!(
        [&servers, &tenants, &routes].iter().all(|w| w.patch.0 == one),
        "a patch is as large as its items"
    );
    assert!(servers.state.0 > base.state.0 && servers.beats.1 > base.beats.1);
    assert_eq!(tenants.beats.1, base.beats.1);
    assert!(active.report.0 > base.report.0 && active.readings.0 > base.readings.0);
    assert_eq!(tenants.report.0, base.report.0);
    assert!(
        tenants.start.2 > base.start.2,
        "a proxy holds every tenant: {} {}",
        tenants.start.2,
        base.start.2
    );
}

#[test]
fn readings_are_of_the_tenants_that_anybody_has_requests_of() {
    let _alone = alone();
    let w = weighed(Lot { active: 1, ..LOT });
    assert_eq!(w.readings.0, 1, "all have requests of the same one");
    let asked: BTreeSet<u32> =
        (0..LOT.proxies).flat_map(|n| usage(&LOT, n, 1).tenants).map(|u| u.tenant).collect();
    assert!(asked.len() > LOT.active, "each has some of its own");
    assert_eq!(weighed(LOT).readings.0, asked.len());
    let text = plan(&LOT).whole();
    assert_eq!(settings::Config::read(text.as_bytes()).expect("proper").tenants.map(|t| t.len()), Some(60));
}
