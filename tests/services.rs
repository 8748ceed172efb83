//! Several services behind one gateway: distance tiers, zones, rates of cold servers, and changed settings.

mod common;
use common::*;
use curlewfront::*;

/// Submits one request for each id, each of its own customer, and returns the servers sent to; answers none.
fn submit_each(g: &mut Gateway, ids: std::ops::Range<u64>, like: NewRequest) -> Vec<u64> {
    ids.flat_map(|id| sent(&g.submit(NewRequest { id, customer: id, ..like }))).collect()
}

fn gateway(set: Settings, list: &[Entry]) -> Gateway {
    let mut g = Gateway::new(set);
    g.list(ListKind::Saved, list);
    g
}

#[test]
fn farther_servers_get_what_nearer_ones_have_no_room_for() {
    let list: Vec<Entry> = (1..=8).map(|k| Entry { distance: u32::from(k > 2), ..up(k) }).collect();
    let mut g = gateway(settings(no_quota()), &list);
    let sends = submit_each(&mut g, 0..50, request(0));
    // Three permits per server over two gateways: with two attempts each, the near servers are at their share, and
    // farther ones are preferred.
    assert!(sends[..4].iter().all(|s| *s <= 2), "{sends:?}");
    assert!(sends.len() > 4 && sends[4..].iter().all(|s| *s > 2), "{sends:?}");
    // Requests that may not go so far fill the near servers up to twice their share, then wait, though farther ones
    // have room.
    let mut g = gateway(settings(no_quota()), &list);
    assert_eq!(submit_each(&mut g, 0..50, NewRequest { max_distance: 0, ..request(0) }).len(), 6);
    assert!(!submit_each(&mut g, 50..53, request(0)).is_empty());
}

#[test]
fn a_try_after_an_error_prefers_a_farther_server_to_the_same_one() {
    let mut g = gateway(settings(no_quota()), &[up(1), Entry { distance: 3, ..up(2) }]);
    assert_eq!(sent(&g.submit(request(1))), [1]);
    assert_eq!(sent(&g.end_attempt(attempt_end(1, 0, 1, Outcome::Full))), [2]);
}

#[test]
fn a_request_goes_only_to_servers_of_its_zones_and_service() {
    let list: Vec<Entry> =
        (1..=12).map(|k| Entry { zone: (k % 3) as u32 * 40, service: u32::from(k > 6), ..up(k) }).collect();
    for (service, zones, may) in [(0, 1u64 << 40, [1, 4]), (1, 1, [9, 12]), (1, 1 | 1 << 16, [9, 12])] {
        let mut g = gateway(Settings { services: 2, ..settings(no_quota()) }, &list);
        let mut sends = submit_each(&mut g, 0..40, NewRequest { service, zones, ..request(0) });
        sends.sort_unstable();
        sends.dedup();
        assert_eq!(sends, may);
    }
    // Zone 80 has no bit: only a request for any zone goes there.
    let mut g = gateway(settings(no_quota()), &[Entry { zone: 80, ..up(1) }]);
    assert!(submit_each(&mut g, 0..1, NewRequest { zones: !0 >> 1, ..request(0) }).is_empty());
    assert_eq!(submit_each(&mut g, 1..2, NewRequest { zones: 0, ..request(0) }), [1]);
}

#[test]
fn services_have_targets_of_their_own_and_customers_one_bucket() {
    let list: Vec<Entry> = (1..=8).map(|k| Entry { service: u32::from(k > 4), ..up(k) }).collect();
    let set = |plan| Settings { services: 2, ..settings(plan) };
    let mut g = gateway(set(no_quota()), &list);
    assert_eq!(
        submit_each(&mut g, 0..30, request(0)).len(),
        6,
        "three permits for each of four, over two gateways"
    );
    assert_eq!(submit_each(&mut g, 30..60, NewRequest { service: 1, ..request(0) }).len(), 6);
    // The target of a failing service is cut, that of the other is not.
    let target = g.decider.target();
    for id in 0..6 {
        let server = g.log.iter().find_map(|(_, a)| match a {
            Action::Send { id: i, server, .. } if *i == id => Some(*server),
            _ => None,
        });
        g.end_attempt(AttemptEnd { closed: true, ..attempt_end(id, 0, server.unwrap(), Outcome::TimedOut) });
    }
    let cut = target - g.decider.target();
    assert!((1.19..1.21).contains(&cut), "a fifth of one target of 6, not {cut}");
    // A customer has one bucket for all services: tokens used for one are missing for the other.
    let mut g = gateway(set(rate(1.0, 3.0)), &list);
    let refusals: Vec<usize> = (0..6)
        .map(|id| refused(&g.submit(NewRequest { service: (id % 2) as u32, spread: 1, ..request(id) })))
        .collect();
    assert_eq!(refusals, [0, 0, 0, 1, 1, 1]);
}

#[test]
fn a_cold_server_with_a_rate_gets_no_more_than_its_tokens_retries_among_them() {
    let cold = Entry { cold_rate: 2.0, cold_until_us: T0 + 5 * SEC, ..up(1) };
    let mut g = gateway(Settings { balancers: 1, ..settings(no_quota()) }, &[cold]);
    let (mut times, mut tries, mut actions) = (Vec::new(), vec![0; 600], Vec::new());
    for id in 0..600 {
        actions.extend(g.submit(NewRequest { customer: id, ..request(id) }));
        for _ in 0..10 {
            for act in std::mem::replace(&mut actions, g.advance(MS)) {
                let Action::Send { id, server, .. } = act else { continue };
                times.push(g.now);
                tries[id as usize] += 1;
                // Requests with even ids fail and would be retried at once.
                let outcome = if id % 2 == 0 { Outcome::Full } else { Outcome::Ok };
                actions.extend(g.end_attempt(attempt_end(id, tries[id as usize] - 1, server, outcome)));
            }
        }
    }
    let early: Vec<u64> = times.iter().copied().filter(|t| *t < T0 + 5 * SEC).collect();
    assert!((9..=10).contains(&early.len()), "two a second for 5 s: {}", early.len());
    assert!(early.windows(2).all(|w| w[1] - w[0] >= 480 * MS), "{early:?}");
    assert!(times.len() > early.len() + 20, "warm it takes what comes: {}", times.len());
}

#[test]
fn new_settings_keep_open_requests_and_bind_what_comes() {
    let mut g = Gateway::with_servers(settings(no_quota()), 4);
    let server = sent(&g.submit(request(1)))[0];
    for id in 100..120 {
        // Without a quota, the customer may have used any amount.
        let other = sent(&g.submit(request(id)))[0];
        g.end_attempt(attempt_end(id, 0, other, Outcome::Ok));
    }
    let set = settings(no_quota());
    let fewer = Settings { plans: vec![], ..set.clone() };
    assert!(g.decider.reconfigure(fewer).is_err());
    let mut classes = set.classes.clone();
    classes.push(Class { aim_us: 2 * SEC, ..class(Effect::Once) });
    let plans = vec![rate(1.0, 2.0), no_quota()];
    g.decider.reconfigure(Settings { classes, plans, services: 2, ..set }).unwrap();
    g.list(ListKind::Changes, &[Entry { service: 1, ..up(9) }]);
    // The open request is retried as before, and answered.
    let again = sent(&g.end_attempt(attempt_end(1, 0, server, Outcome::Full)));
    assert_eq!(again.len(), 1);
    assert_eq!(failed(&g.end_attempt(attempt_end(1, 1, again[0], Outcome::Ok))), 0);
    // The old plan has a quota now; the new class, plan and service are in use.
    let refusals: Vec<usize> =
        (200..204).map(|id| refused(&g.submit(NewRequest { spread: 1, ..request(id) }))).collect();
    assert_eq!(refusals, [0, 0, 1, 1]);
    let new = NewRequest { class: 1, plan: 1, service: 1, customer: 8, ..request(300) };
    assert_eq!(sent(&g.submit(new)), [9]);
}

#[test]
fn a_reading_that_comes_by_itself_moves_the_share() {
    // The even share is half of 20 a second; a customer read as idle elsewhere gets nearly all of the quota.
    let served = |used: Option<f64>| {
        let mut g = Gateway::with_servers(settings(rate(20.0, 2.0)), 8);
        g.submit(request(0));
        let mut all = 0;
        for id in 1..400 {
            if let Some(used) = used.filter(|_| id % 20 == 0) {
                g.handle(Event::MeterReading { customer: 7, used });
            }
            for act in g.submit(request(id)) {
                if let Action::Send { id, server, .. } = act {
                    all += 1;
                    g.end_attempt(attempt_end(id, 0, server, Outcome::Ok));
                }
            }
            g.advance(10 * MS);
        }
        all
    };
    let (silent, idle, full) = (served(None), served(Some(0.0)), served(Some(1.0)));
    assert!(idle > silent * 5 / 4 && full <= silent, "{silent} with no reading, {idle} idle, {full} full");
}
