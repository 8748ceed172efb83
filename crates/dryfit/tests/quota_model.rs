//! Every course of a small installation, as far as quotas' permits go: three proxies in two zones, their copies of the
//! agreed table at any age, the registry that gives slots away, and time in steps. The parts are those of the programs.
//!
//! What is held: no zone has two proxies that may issue at the same time, and all permits that are ever issued fit into
//! one bucket of the whole quota. Faults that are planted are found.

use pegboard::quota_homes::QuotaHomes;
use proxy::permits::Quotas;
use proxy::permits::home::Home;
use proxy::permits::issuer::Part;
use rack::quota::{Assignment, QuotaChange, SLOTS, ZoneAssignment, slot_of_key};
use rack::state::{Command, Node, NodeChange, State};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::net::Ipv4Addr;
use std::sync::Arc;

const SECOND: u64 = 1_000_000;
/// Three of these are the time after which a slot may be given away again, to the microsecond.
const STEP: u64 = 7 * SECOND;
const TENANT: u32 = 5;
/// The whole quota: a bucket of so many permits, which a step fills.
const STOCK: u64 = 8;
const PROXIES: [(u8, &str); 3] = [(1, "a"), (2, "a"), (3, "b")];

struct Quota;

impl Quotas for Quota {
    fn part(&self, tenant: u32, zones: usize) -> Option<Part> {
        let (stock, zones) = (STOCK as f64, zones as f64);
        (tenant == TENANT).then(|| Part::new(stock * 1e6 / STEP as f64 / zones, stock / zones))
    }

    fn tenants(&self) -> Vec<u32> {
        vec![TENANT]
    }
}

/// What is done wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// A vacant slot is given away at once.
    GivenTwice,
    /// A proxy that hears nothing takes its copy for fresh.
    LeaseNotEnded,
    /// A process that starts has what an earlier one saved up.
    RestartRemembers,
}

#[derive(Clone, Debug)]
struct Course {
    now: u64,
    agreed: Arc<State>,
    registry: Arc<QuotaHomes>,
    /// On its way into the log, for as long as it likes.
    proposed: Option<QuotaChange>,
    proxies: Vec<Home>,
    /// What is left in the bucket of the whole quota; below nothing, too many were issued.
    left: i64,
    /// How often each may still happen.
    changes: u8,
    restarts: u8,
    leaders: u8,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// Time passes.
    Passes,
    /// A proxy hears all that is agreed.
    Hears(usize),
    /// A proxy issues all that it may.
    Issues(usize),
    Restarts(usize),
    Leaves(usize),
    Joins(usize),
    /// The registry looks, and proposes what is due.
    Proposes,
    /// What was proposed is agreed; or is lost.
    Lands,
    Lost,
    /// Another registry is beside the leader, and has seen nothing.
    NewLeader,
}

struct Courses {
    planted: Planted,
    steps: u64,
}

fn ip(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, PROXIES[n].0)
}

fn up(n: usize) -> NodeChange {
    let (ip, zone) = (ip(n), PROXIES[n].1.to_string());
    NodeChange::Up(Node { ip, name: format!("e{n}"), zone, region: "r".into(), front: (ip, 80).into() })
}

impl Course {
    fn apply(&mut self, command: Command) {
        let rev = self.agreed.rev + 1;
        Arc::make_mut(&mut self.agreed).apply(self.now, rev, &command);
    }

    fn propose(&mut self, planted: Planted) {
        Arc::make_mut(&mut self.registry).look(self.now, &self.agreed);
        let alive: BTreeSet<Ipv4Addr> = self.agreed.nodes.keys().copied().collect();
        self.proposed = match planted {
            Planted::GivenTwice => self.vacant_now(),
            _ => self.registry.due(self.now, &self.agreed, &alive),
        };
    }

    /// The tenant's slot of the first zone, given to the first proxy that is there.
    fn vacant_now(&self) -> Option<QuotaChange> {
        let slot = slot_of_key(TENANT);
        let vacant = self.agreed.homes.slot("a", slot).filter(|s| s.holder.is_none())?;
        let holder = (0..2).map(ip).find(|ip| self.agreed.nodes.contains_key(ip))?;
        let given = Assignment { slot: slot as u8, epoch: vacant.epoch, holder };
        Some(QuotaChange::Assign(vec![ZoneAssignment { zone: "a".into(), slots: vec![given] }]))
    }

    fn land(&mut self) {
        if let Some(change) = self.proposed.take() {
            self.apply(Command::Quota(change));
        }
    }

    fn hears(&mut self, n: usize) {
        self.proxies[n].learn(self.now, &self.agreed.homes, &Quota);
        self.proxies[n].prove(Some(self.now));
    }

    fn issues(&mut self, n: usize) {
        if let Some(issued) = self.proxies[n].issue(self.now, TENANT, u32::from(u8::MAX), 0, &Quota) {
            self.left -= i64::from(issued.count);
        }
    }

    fn act(&self, zone: &str) -> usize {
        let here = self.proxies.iter().zip(PROXIES).filter(|(_, of)| of.1 == zone);
        here.filter(|(home, _)| home.acts(self.now, TENANT).is_some()).count()
    }
}

impl Hash for Course {
    fn hash<H: Hasher>(&self, to: &mut H) {
        (self.now, &self.agreed.homes, self.agreed.rev, &self.registry, &self.proxies).hash(to);
        self.agreed.nodes.keys().for_each(|ip| ip.hash(to));
        format!("{:?}", self.proposed).hash(to);
        (self.left, self.changes, self.restarts, self.leaders).hash(to);
    }
}

impl PartialEq for Course {
    fn eq(&self, other: &Course) -> bool {
        let rest = |c: &Course| (c.now, c.agreed.rev, c.left, c.changes, c.restarts, c.leaders);
        rest(self) == rest(other)
            && self.agreed.homes == other.agreed.homes
            && self.agreed.nodes == other.agreed.nodes
            && (&self.registry, &self.proposed, &self.proxies)
                == (&other.registry, &other.proposed, &other.proxies)
    }
}

impl Model for Courses {
    type State = Course;
    type Action = Step;

    /// All have joined, each slot is held, and all know it.
    fn init_states(&self) -> Vec<Course> {
        let mut course = Course {
            now: STEP,
            agreed: Arc::default(),
            registry: Arc::default(),
            proposed: None,
            proxies: (0..3).map(|n| Home::new(ip(n), PROXIES[n].1.into())).collect(),
            left: STOCK as i64,
            changes: 2,
            restarts: 1,
            leaders: 1,
        };
        course.apply(Command::Nodes((0..3).map(up).collect()));
        course.apply(Command::Quota(QuotaChange::Open { zones: vec!["a".into(), "b".into()] }));
        let slots = |holder| (0..SLOTS as u8).map(|slot| Assignment { slot, epoch: 0, holder }).collect();
        let given =
            [(0, "a"), (2, "b")].map(|(n, zone)| ZoneAssignment { zone: zone.into(), slots: slots(ip(n)) });
        course.apply(Command::Quota(QuotaChange::Assign(given.into())));
        for home in &mut course.proxies {
            home.learn(course.now, &course.agreed.homes, &Quota);
            home.prove(Some(course.now));
        }
        vec![course]
    }

    fn actions(&self, course: &Course, steps: &mut Vec<Step>) {
        steps.push(Step::Passes);
        // The one of the second zone hears and issues with each step of time: it is there for the sum.
        for (n, home) in course.proxies.iter().enumerate().take(2) {
            let there = course.agreed.nodes.contains_key(&ip(n));
            steps.push(Step::Hears(n));
            if home.acts(course.now, TENANT).is_some() {
                steps.push(Step::Issues(n));
            }
            if course.restarts > 0 {
                steps.push(Step::Restarts(n));
            }
            if course.changes > 0 {
                steps.push(if there { Step::Leaves(n) } else { Step::Joins(n) });
            }
        }
        match course.proposed {
            None => steps.push(Step::Proposes),
            Some(_) => steps.extend([Step::Lands, Step::Lost]),
        }
        if course.leaders > 0 {
            steps.push(Step::NewLeader);
        }
    }

    fn next_state(&self, last: &Course, step: Step) -> Option<Course> {
        let mut course = last.clone();
        let now = course.now;
        match step {
            Step::Passes => {
                course.now += STEP;
                course.left = (course.left + STOCK as i64).min(STOCK as i64);
                course.hears(2);
                course.issues(2);
                if self.planted == Planted::LeaseNotEnded {
                    course.proxies.iter_mut().for_each(|home| home.prove(Some(now + STEP)));
                }
            }
            Step::Hears(n) => course.hears(n),
            Step::Issues(n) => course.issues(n),
            Step::Restarts(n) => {
                course.restarts -= 1;
                course.proxies[n] = Home::new(ip(n), PROXIES[n].1.into());
                if self.planted == Planted::RestartRemembers {
                    course.proxies[n].learn(0, &course.agreed.homes, &Quota);
                }
            }
            Step::Leaves(n) => {
                course.changes -= 1;
                course.apply(Command::Nodes(vec![NodeChange::Gone { ip: ip(n) }]));
            }
            Step::Joins(n) => {
                course.changes -= 1;
                course.apply(Command::Nodes(vec![up(n)]));
            }
            Step::Proposes => course.propose(self.planted),
            Step::Lands => course.land(),
            Step::Lost => course.proposed = None,
            Step::NewLeader => {
                course.leaders -= 1;
                course.registry = Arc::default();
            }
        }
        (course != *last).then_some(course)
    }

    fn within_boundary(&self, course: &Course) -> bool {
        course.now <= self.steps * STEP
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one home a zone", |_, course: &Course| {
                course.act("a") <= 1 && course.act("b") <= 1
            }),
            Property::always("all fit into one bucket", |_, course: &Course| course.left >= 0),
            Property::sometimes("a slot is given away again", |_, course: &Course| {
                let slot = course.agreed.homes.slot("a", slot_of_key(TENANT));
                slot.is_some_and(|slot| slot.holder == Some(ip(1))) && course.act("a") == 1
            }),
        ]
    }
}

fn courses(planted: Planted, steps: u64) -> Courses {
    Courses { planted, steps }
}

#[test]
fn in_every_course_a_zone_has_one_home_and_all_that_is_issued_fits_into_one_bucket() {
    let checker = courses(Planted::Nothing, 5).checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
}

#[test]
fn each_fault_that_is_planted_is_found() {
    for planted in [Planted::GivenTwice, Planted::LeaseNotEnded, Planted::RestartRemembers] {
        let checker =
            courses(planted, 5).checker().finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
        let found =
            ["one home a zone", "all fit into one bucket"].iter().any(|p| checker.discovery(p).is_some());
        assert!(found, "{planted:?}: {} states and nothing found", checker.unique_state_count());
    }
}
