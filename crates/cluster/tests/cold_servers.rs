//! How long a server counts as cold, by what it reports.

use cluster::Micros;
use cluster::state::Server;

const NOTED_AT: Micros = 7_000_000;
const COLD_MS: u32 = 4000;

fn server(cold_ms: u32) -> Server {
    Server {
        id: "s-1".into(),
        service: "heron".into(),
        addr: "10.9.2.1:80".parse().expect("an address"),
        zone: "south-a".into(),
        slots: 2,
        draining: false,
        cold_ms,
        noted_at: NOTED_AT,
    }
}

// Guards against traffic at a cold server: it had turned cold again soon after its start, which was not recorded.
#[test]
fn a_longer_cold_time_is_recorded_or_already_counted() {
    let server = server(COLD_MS);
    for passed_ms in (0..=5000_u32).step_by(50) {
        for left_ms in (0..=9000_u32).step_by(50) {
            let now = NOTED_AT + Micros::from(passed_ms) * 1000;
            let counted = now + Micros::from(left_ms) * 1000 <= server.cold_until_at_most();
            let recorded = server.is_colder(now, left_ms);
            assert!(left_ms == 0 || counted || recorded, "{passed_ms} ms later {left_ms} ms are left");
        }
    }
}

// Each report of a cold server would otherwise be a write to the log.
#[test]
fn a_report_that_comes_a_little_late_is_not_recorded() {
    let server = server(COLD_MS);
    for (passed_ms, late_ms) in [(0, 0), (1000, 5), (2000, 60), (3900_u32, 100)] {
        let now = NOTED_AT + Micros::from(passed_ms + late_ms) * 1000;
        assert!(!server.is_colder(now, COLD_MS - passed_ms), "{late_ms} ms late");
    }
}

#[test]
fn a_server_that_is_known_as_warm_is_recorded_as_cold() {
    assert!(server(0).is_colder(NOTED_AT, 1));
    assert_eq!(server(0).cold_until_at_most(), 0);
    assert!(!server(0).is_colder(NOTED_AT, 0));
}
