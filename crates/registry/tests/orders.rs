//! Operators' orders that a registry reads late.

mod common;

use cluster::state::{Command, Done};
use common::*;
use registry::control_plane::Input;

const ZONE: &str = "north-a";
const ORDER_PATH: &str = "/api/evacuation/north-a";

fn evacuate(r: &mut Registry, on: bool) {
    let seen = r.store.rev();
    let (_, done) = r.commit(Command::fenced(seen, Command::Evacuate { zone: ZONE.into(), on }));
    assert_eq!(done, Done::Taken);
}

fn is_evacuated(r: &Registry) -> bool {
    r.store.state.evacuated.contains(ZONE)
}

/// Guards against a zone that opens again after its evacuation was acknowledged: a registry was stopped with an older
/// take-back in its socket, takes the news first, and carries out the call of a caller that has left long ago.
#[test]
fn an_order_that_is_read_after_its_caller_has_left_has_no_effect() {
    let mut r = Registry::new(vec![add_nodes(&[(1, ZONE)])]);
    evacuate(&mut r, true);
    // The take-back goes to this registry, and then to another one, which confirms it.
    r.pause(3 * SECOND);
    evacuate(&mut r, false);
    evacuate(&mut r, true);
    let late = r.hand_over("DELETE", ORDER_PATH, None, "");
    r.handle(Input::CallClosed(late));
    r.answer_reads(0);
    r.commit_proposed();
    assert!(is_evacuated(&r));
    assert_eq!(r.status(late), None, "nobody waits for an answer");
}

#[test]
fn an_order_whose_caller_waits_is_carried_out() {
    let mut r = Registry::new(vec![add_nodes(&[(1, ZONE)])]);
    for (method, on) in [("POST", true), ("DELETE", false), ("POST", true)] {
        let call = r.call(method, ORDER_PATH, None, "");
        r.commit_proposed();
        assert_eq!((r.status(call), is_evacuated(&r)), (Some(200), on));
    }
}
