//! What is agreed on of rollouts: orders and their repeats, stages, whom a rollout lets serve, and how it is written down.

use cluster::rollout::{Declined, Order, Role, RolloutChange, Stage};
use cluster::state::{Change, Command, Done, Server, ServerChange, State};
use std::net::Ipv4Addr;

const CONFIG: &str = r#"{"config_version":"00000001","limits":{},"route_list":{"column_set":["entity_name","host_name",
    "path_prefix","route_kind","service_ref","deadline_ms"],"row_set":[["get","h","/","safe","heron",2000]]},
    "service_list":{"column_set":["entity_name"],"row_set":[["heron"],["stilt"]]}}"#;
const SECOND: u64 = 1_000_000;

struct Agreed {
    now: u64,
    state: State,
}

impl Agreed {
    /// Two servers of version v1, one of v2.
    fn new() -> Agreed {
        let mut agreed = Agreed { now: SECOND, state: State::default() };
        agreed.apply(Command::Configure(Change { base: 0, patch: false, body: CONFIG.into() }));
        for (n, version) in [(1, "v1"), (2, "v1"), (3, "v2")] {
            agreed.server(n, version);
        }
        agreed
    }

    fn apply(&mut self, command: Command) -> Done {
        let rev = self.state.rev + 1;
        self.state.apply(self.now, rev, &command)
    }

    fn server(&mut self, n: u8, version: &str) {
        let (id, addr) = (format!("s{n}"), (Ipv4Addr::new(10, 0, 1, n), 80).into());
        let up = Server {
            id: id.clone(),
            service: "heron".into(),
            addr,
            zone: "a".into(),
            slots: 2,
            draining: false,
            cold_ms: 0,
            noted_at: 0,
        };
        let runs = ServerChange::Runs { id, version: version.into() };
        self.apply(Command::Servers(vec![ServerChange::Up(up), runs]));
    }

    fn start(&mut self, version: &str, after: Option<u64>) -> Done {
        let order = order("heron", version);
        self.apply(Command::Rollout(RolloutChange::Start { order, after }))
    }

    fn advance(&mut self, epoch: u64, to: Stage) {
        let (service, reason) = ("heron".to_string(), "seen".to_string());
        self.apply(Command::Rollout(RolloutChange::Advance { service, epoch, to, reason }));
    }

    fn stage(&self) -> Stage {
        self.state.rollouts.0["heron"].stage
    }

    fn epoch(&self) -> u64 {
        self.state.rollouts.0["heron"].epoch
    }

    fn roles(&self) -> Vec<Role> {
        self.state.servers.values().map(|s| self.state.role(s)).collect()
    }
}

fn order(service: &str, version: &str) -> Order {
    Order { service: service.into(), target_version: version.into(), term_ms: 12_000 }
}

#[test]
fn an_order_holds_when_it_comes_again_and_another_is_declined_while_it_runs() {
    let mut agreed = Agreed::new();
    assert_eq!(agreed.start("v2", None), Done::Taken);
    let epoch = agreed.epoch();
    assert_eq!(agreed.start("v2", None), Done::Taken, "a repeat");
    assert_eq!(agreed.epoch(), epoch, "which begins nothing anew");
    let under_way = Declined::UnderWay { target_version: "v2".into() };
    assert_eq!(agreed.start("v3", None), Done::Declined(under_way));
    let unknown = RolloutChange::Start { order: order("crane", "v2"), after: None };
    assert_eq!(agreed.apply(Command::Rollout(unknown)), Done::Declined(Declined::NoService));

    agreed.advance(epoch, Stage::Reverted);
    assert_eq!(agreed.start("v2", None), Done::Taken);
    assert_eq!(agreed.stage(), Stage::Reverted, "a repeat after its end begins nothing anew either");
    assert_eq!(agreed.start("v2", Some(epoch)), Done::Taken);
    assert_eq!((agreed.stage(), agreed.epoch() > epoch), (Stage::Trial, true), "but a later order does");
}

#[test]
fn stages_only_rise_and_end_once() {
    let mut agreed = Agreed::new();
    agreed.start("v2", None);
    let epoch = agreed.epoch();
    agreed.advance(epoch + 7, Stage::Whole);
    assert_eq!(agreed.stage(), Stage::Trial, "of another rollout");
    agreed.advance(epoch, Stage::Whole);
    agreed.advance(epoch, Stage::Partial);
    assert_eq!(agreed.stage(), Stage::Whole, "a late copy of an earlier step");
    agreed.advance(epoch, Stage::Completed);
    agreed.advance(epoch, Stage::Reverted);
    agreed.apply(Command::Rollout(RolloutChange::Stop { service: "heron".into() }));
    assert_eq!(agreed.stage(), Stage::Completed, "the old servers have stopped");
}

/// What each stage lets the servers do: two of v1, then one of v2.
#[test]
fn each_stage_tells_which_servers_may_serve() {
    use Role::*;
    for (to, roles) in [
        (Stage::Trial, [Regular, Regular, Trial]),
        (Stage::Partial, [Regular, Regular, Partial]),
        (Stage::Whole, [Replaced, Replaced, Regular]),
        (Stage::Completed, [Replaced, Replaced, Regular]),
        (Stage::Reverted, [Regular, Regular, Withdrawn]),
    ] {
        let mut agreed = Agreed::new();
        assert_eq!(agreed.roles(), [Regular; 3], "without a rollout");
        agreed.start("v2", None);
        agreed.advance(agreed.epoch(), to);
        assert_eq!(agreed.roles(), roles, "{to:?}");
    }
}

/// Guards against a service that serves nothing while a version is on trial beside no other one.
#[test]
fn a_rollout_to_the_version_that_serves_alone_is_completed_at_once() {
    let mut agreed = Agreed::new();
    for id in ["s1", "s2"] {
        agreed.apply(Command::Servers(vec![ServerChange::Gone { id: id.into(), said: true }]));
    }
    agreed.start("v2", None);
    assert_eq!((agreed.stage(), agreed.roles()), (Stage::Completed, vec![Role::Regular]));
}

/// Guards against servers of a third version that are sent requests though they stop at `completed`.
#[test]
fn a_version_that_came_while_the_rollout_ran_is_replaced_with_the_others() {
    let mut agreed = Agreed::new();
    agreed.start("v2", None);
    agreed.server(4, "v1b");
    agreed.advance(agreed.epoch(), Stage::Whole);
    assert_eq!(agreed.roles()[3], Role::Replaced);
    agreed.advance(agreed.epoch(), Stage::Completed);
    assert_eq!(agreed.roles()[3], Role::Replaced);
}

#[test]
fn a_later_version_is_not_taken_for_a_replaced_one() {
    let mut agreed = Agreed::new();
    agreed.start("v2", None);
    agreed.advance(agreed.epoch(), Stage::Completed);
    agreed.server(4, "v3");
    assert_eq!(agreed.roles()[3], Role::Regular);
}

/// Guards against servers of a bad version, left over from a rollout that was reverted, that serve again in the next one.
#[test]
fn what_a_rollout_took_out_of_service_stays_so_in_later_ones_until_it_is_the_target_again() {
    use Role::*;
    let mut agreed = Agreed::new();
    agreed.start("v2", None);
    agreed.advance(agreed.epoch(), Stage::Reverted);
    agreed.server(4, "v3");
    agreed.start("v3", None);
    assert_eq!(agreed.roles(), [Regular, Regular, Withdrawn, Trial]);
    agreed.advance(agreed.epoch(), Stage::Completed);
    assert_eq!(agreed.roles(), [Replaced, Replaced, Withdrawn, Regular]);
    agreed.start("v1", None);
    assert_eq!(agreed.roles(), [Trial, Trial, Withdrawn, Regular], "back to the first");
    agreed.advance(agreed.epoch(), Stage::Completed);
    agreed.start("v2", None);
    assert_eq!(agreed.roles(), [Regular, Regular, Trial, Withdrawn]);
}

/// A closing fault leaves what is on disk: rollouts, the versions of servers, and how long ago all was.
#[test]
fn a_rollout_is_the_same_after_it_was_written_and_read_by_a_clock_that_began_later() {
    let mut agreed = Agreed::new();
    agreed.now = 100 * SECOND;
    agreed.start("v2", None);
    agreed.now = 104 * SECOND;
    agreed.advance(agreed.epoch(), Stage::Partial);
    agreed.now = 105 * SECOND;
    let bytes = agreed.state.write(agreed.now);
    let read = State::read(SECOND, &bytes).expect("readable");
    assert_eq!(read.versions, agreed.state.versions);
    let (found, was) = (&read.rollouts.0["heron"], &agreed.state.rollouts.0["heron"]);
    assert_eq!((found.age_us(SECOND), found.stage_age_us(SECOND)), (5 * SECOND, SECOND));
    assert_eq!((&found.order, found.epoch, found.stage), (&was.order, was.epoch, was.stage));
    assert_eq!(found.old_versions, was.old_versions);
    assert_eq!(read.write(SECOND), bytes);
    assert!(State::read(0, &bytes[..bytes.len() - 2]).is_err(), "cut short");
}

#[test]
fn a_server_that_goes_takes_its_version_along() {
    let mut agreed = Agreed::new();
    for (id, said) in [("s1", true), ("s2", false)] {
        agreed.apply(Command::Servers(vec![ServerChange::Gone { id: id.into(), said }]));
    }
    assert_eq!(agreed.state.versions.keys().collect::<Vec<_>>(), ["s3"]);
    let late = ServerChange::Runs { id: "s1".into(), version: "v1".into() };
    agreed.apply(Command::Servers(vec![late]));
    assert!(!agreed.state.versions.contains_key("s1"));
}
