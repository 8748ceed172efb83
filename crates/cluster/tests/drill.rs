//! What is agreed on of drills: counts, order, ends, and states of an older form.

use cluster::drill::{Drill, DrillChange, Drills, Rows, Said};
use cluster::state::{Change, Command, Done, State};
use std::net::Ipv4Addr;

const CONFIG: &str = r#"{"config_version":"00000001","limits":{},"route_list":{"column_set":["entity_name","host_name",
    "path_prefix","route_kind","service_ref","deadline_ms"],"row_set":[["get","h","/","safe","heron",2000]]},
    "service_list":{"column_set":["entity_name"],"row_set":[["heron"]]},
    "tenant_list":{"column_set":["entity_name","access_keys"],"row_set":[["reed",["k1"]]]}}"#;

fn drill(name: &str, rest: &str) -> Drill {
    let body = format!(
        r#"{{"caller":{{"tenant_name":"reed"}},"fault":{{"fault_kind":"lost"}},{rest}"duration_ms":9000,
        "asked_by":"a","reason":"b"}}"#
    );
    Drill::read(name, body.as_bytes()).expect("a drill")
}

struct Agreed {
    state: State,
}

impl Agreed {
    fn new() -> Agreed {
        let mut agreed = Agreed { state: State::default() };
        let change = Change { base: 0, patch: false, body: CONFIG.into() };
        assert_eq!(agreed.apply(Command::Configure(change)), Done::Taken);
        agreed
    }

    fn apply(&mut self, command: Command) -> Done {
        let rev = self.state.rev + 1;
        self.state.apply(0, rev, &command)
    }

    fn start(&mut self, drill: Drill) -> Done {
        self.apply(Command::Drill(DrillChange::Start(Box::new(drill))))
    }

    fn say(&mut self, epoch: u64, proxy: u8, first: u64, said: Vec<Said>) {
        let rows = Rows { epoch, ip: ip(proxy), life: 7, first, said };
        self.apply(Command::Drill(DrillChange::Rows(vec![rows])));
    }

    fn drills(&self) -> &Drills {
        &self.state.drills
    }
}

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn ask(n: u32) -> Said {
    Said::Ask(format!("try-{n}"))
}

#[test]
fn a_count_is_one_over_all_proxies_and_a_repeat_is_not_granted_twice() {
    let mut agreed = Agreed::new();
    assert_eq!(agreed.start(drill("three", r#""count":3,"#)), Done::Taken);
    let epoch = agreed.state.rev;
    agreed.say(epoch, 1, 1, vec![ask(1), ask(2)]);
    agreed.say(epoch, 1, 1, vec![ask(1), ask(2)]);
    // What is missing in between is not taken until it has come.
    agreed.say(epoch, 2, 2, vec![ask(4)]);
    agreed.say(epoch, 2, 1, vec![ask(3), ask(4)]);
    let held = &agreed.drills().0["three"];
    let granted = |proxy, number| held.granted(ip(proxy), 7, number);
    assert_eq!([granted(1, 1), granted(1, 2), granted(2, 1)], [Some(true); 3]);
    assert_eq!((granted(2, 2), granted(2, 3)), (Some(false), None));
    assert_eq!(held.met(), 0);
    for (proxy, grant) in [(1, 1), (1, 2), (2, 1)] {
        assert!(agreed.drills().0["three"].ended.is_none());
        let met = Said::Met { attempt: String::new(), grant: Some(grant) };
        agreed.say(epoch, proxy, 2 + grant, vec![met.clone()]);
        agreed.say(epoch, proxy, 3, vec![met]);
    }
    let held = &agreed.drills().0["three"];
    assert_eq!((held.met(), held.ended.as_deref()), (3, Some("met as often as asked for")));
    assert_eq!(held.rows.iter().map(|r| r.attempt.as_str()).collect::<Vec<_>>(), ["try-1", "try-2", "try-3"]);
}

#[test]
fn a_drill_that_has_ended_does_not_come_back() {
    let mut agreed = Agreed::new();
    assert_eq!(agreed.start(drill("one", r#""count":2,"#)), Done::Taken);
    let epoch = agreed.state.rev;
    assert_eq!(agreed.start(drill("one", r#""count":2,"#)), Done::Taken, "a repeat while it runs");
    assert_eq!(agreed.drills().0["one"].epoch, epoch);
    let stop = |epoch| DrillChange::Stop { name: "one".into(), epoch, why: "stopped".into() };
    agreed.apply(Command::Drill(stop(Some(epoch + 9))));
    assert!(agreed.drills().0["one"].ended.is_none(), "another's end");
    agreed.apply(Command::Drill(stop(None)));
    assert_eq!(agreed.drills().0["one"].ended.as_deref(), Some("stopped"));
    assert!(
        matches!(agreed.start(drill("one", r#""count":3,"#)), Done::Invalid(why) if why.contains("has ended"))
    );
    // The very call that began it was taken, and is told so again.
    assert_eq!(agreed.start(drill("one", r#""count":2,"#)), Done::Taken);
    let held = &agreed.drills().0["one"];
    assert_eq!((held.epoch, held.ended.as_deref()), (epoch, Some("stopped")));
    agreed.say(epoch, 1, 1, vec![ask(1)]);
    assert_eq!(agreed.drills().0["one"].granted(ip(1), 7, 1), Some(false));
    // It has ended also where it is written down.
    let read = State::read(0, &agreed.state.write(0)).expect("as written");
    assert_eq!(read.drills, agreed.state.drills);
    assert_eq!(read.drills.running().count(), 0);
}

#[test]
fn too_many_at_once_are_refused_and_a_guard_ends_one() {
    let mut agreed = Agreed::new();
    for n in 0..4 {
        assert_eq!(agreed.start(drill(&format!("d{n}"), "")), Done::Taken);
    }
    assert!(matches!(agreed.start(drill("more", "")), Done::Invalid(why) if why.contains("too many")));
    let epoch = agreed.drills().0["d0"].epoch;
    agreed.say(epoch, 1, 1, vec![Said::Guard("others fail".into())]);
    assert_eq!(agreed.drills().0["d0"].ended.as_deref(), Some("guard: others fail"));
    assert_eq!(agreed.start(drill("more", "")), Done::Taken);
    // Without a bound, the last attempts are named and all are counted.
    let epoch = agreed.drills().0["more"].epoch;
    let met = |n| Said::Met { attempt: format!("try-{n}"), grant: None };
    agreed.say(epoch, 1, 1, (0..100).map(met).collect());
    let held = &agreed.drills().0["more"];
    assert_eq!((held.met(), held.rows.len(), held.rows[0].attempt.as_str()), (100, 64, "try-36"));
}
