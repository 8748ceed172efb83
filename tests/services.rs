//! Several services behind one gateway: tiers of distance, zones, cold rates, and settings that change.

mod common;
use common::*;
use curlewfront::*;

/// One request of each of so many customers, none of them answered yet.
fn ask(g: &mut Gateway, ids: std::ops::Range<u64>, like: NewRequest) -> Vec<u64> {
    ids.flat_map(|id| sent(&g.ask(NewRequest { id, customer: id, ..like }))).collect()
}

fn gateway(set: Settings, list: &[Entry]) -> Gateway {
    let mut g = Gateway::new(set);
    g.list(ListKind::Saved, list);
    g
}

#[test]
fn farther_servers_get_what_nearer_ones_have_no_room_for() {
    let list: Vec<Entry> = (1..=8).map(|k| Entry { distance: u32::from(k > 2), ..up(k) }).collect();
    let mut g = gateway(settings(free()), &list);
    let sends = ask(&mut g, 0..50, request(0));
    // Three permits each over two gateways: each near one has its part out with two, then farther ones are sooner.
    assert!(sends[..4].iter().all(|s| *s <= 2), "{sends:?}");
    assert!(sends.len() > 4 && sends[4..].iter().all(|s| *s > 2), "{sends:?}");
    // What may not go so far fills the near ones up to twice their part, then waits, though farther ones have room.
    let mut g = gateway(settings(free()), &list);
    assert_eq!(ask(&mut g, 0..50, NewRequest { max_distance: 0, ..request(0) }).len(), 6);
    assert!(!ask(&mut g, 50..53, request(0)).is_empty());
}

#[test]
fn a_try_after_an_error_prefers_a_farther_server_to_the_same_one() {
    let mut g = gateway(settings(free()), &[up(1), Entry { distance: 3, ..up(2) }]);
    assert_eq!(sent(&g.ask(request(1))), [1]);
    assert_eq!(sent(&g.back(answer(1, 0, 1, Outcome::Full))), [2]);
}

#[test]
fn a_request_goes_only_to_servers_of_its_zones_and_service() {
    let list: Vec<Entry> =
        (1..=12).map(|k| Entry { zone: (k % 3) as u32 * 40, service: u32::from(k > 6), ..up(k) }).collect();
    for (service, zones, may) in [(0, 1u64 << 40, [1, 4]), (1, 1, [9, 12]), (1, 1 | 1 << 16, [9, 12])] {
        let mut g = gateway(Settings { services: 2, ..settings(free()) }, &list);
        let mut sends = ask(&mut g, 0..40, NewRequest { service, zones, ..request(0) });
        sends.sort_unstable();
        sends.dedup();
        assert_eq!(sends, may);
    }
    // Zone 80 has no bit: only a request for all zones goes there.
    let mut g = gateway(settings(free()), &[Entry { zone: 80, ..up(1) }]);
    assert!(ask(&mut g, 0..1, NewRequest { zones: !0 >> 1, ..request(0) }).is_empty());
    assert_eq!(ask(&mut g, 1..2, NewRequest { zones: 0, ..request(0) }), [1]);
}

#[test]
fn services_have_targets_of_their_own_and_customers_one_bucket() {
    let list: Vec<Entry> = (1..=8).map(|k| Entry { service: u32::from(k > 4), ..up(k) }).collect();
    let set = |plan| Settings { services: 2, ..settings(plan) };
    let mut g = gateway(set(free()), &list);
    assert_eq!(ask(&mut g, 0..30, request(0)).len(), 6, "three permits for each of four, over two gateways");
    assert_eq!(ask(&mut g, 30..60, NewRequest { service: 1, ..request(0) }).len(), 6);
    // A service in trouble is cut, the other is not.
    let target = g.decider.target();
    for id in 0..6 {
        let server = g.log.iter().find_map(|(_, a)| match a {
            Action::Send { id: i, server, .. } if *i == id => Some(*server),
            _ => None,
        });
        g.back(AttemptEnd { closed: true, ..answer(id, 0, server.unwrap(), Outcome::TimedOut) });
    }
    let cut = target - g.decider.target();
    assert!((1.19..1.21).contains(&cut), "a fifth of one target of 6, not {cut}");
    // The bucket is one: what one service takes the other has not.
    let mut g = gateway(set(rate(1.0, 3.0)), &list);
    let asks: Vec<usize> = (0..6)
        .map(|id| refused(&g.ask(NewRequest { service: (id % 2) as u32, spread: 1, ..request(id) })))
        .collect();
    assert_eq!(asks, [0, 0, 0, 1, 1, 1]);
}

#[test]
fn a_cold_server_with_a_rate_gets_no_more_than_its_tokens_retries_among_them() {
    let cold = Entry { cold_rate: 2.0, cold_until_us: T0 + 5 * SEC, ..up(1) };
    let mut g = gateway(Settings { balancers: 1, ..settings(free()) }, &[cold]);
    let (mut times, mut tries, mut acts) = (Vec::new(), vec![0; 600], Vec::new());
    for id in 0..600 {
        acts.extend(g.ask(NewRequest { customer: id, ..request(id) }));
        for _ in 0..10 {
            for act in std::mem::replace(&mut acts, g.pass(MS)) {
                let Action::Send { id, server, .. } = act else { continue };
                times.push(g.now);
                tries[id as usize] += 1;
                // An even one fails, and would be tried again at once.
                let outcome = if id % 2 == 0 { Outcome::Full } else { Outcome::Ok };
                acts.extend(g.back(answer(id, tries[id as usize] - 1, server, outcome)));
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
    let mut g = Gateway::with_servers(settings(free()), 4);
    let server = sent(&g.ask(request(1)))[0];
    for id in 100..120 {
        // A customer without a quota may have used much.
        let other = sent(&g.ask(request(id)))[0];
        g.back(answer(id, 0, other, Outcome::Ok));
    }
    let set = settings(free());
    let fewer = Settings { plans: vec![], ..set.clone() };
    assert!(g.decider.reconfigure(fewer).is_err());
    let mut classes = set.classes.clone();
    classes.push(Class { aim_us: 2 * SEC, ..class(Effect::Once) });
    let plans = vec![rate(1.0, 2.0), free()];
    g.decider.reconfigure(Settings { classes, plans, services: 2, ..set }).unwrap();
    g.list(ListKind::Changes, &[Entry { service: 1, ..up(9) }]);
    // The open one is tried again as before, and answered.
    let again = sent(&g.back(answer(1, 0, server, Outcome::Full)));
    assert_eq!(again.len(), 1);
    assert_eq!(failed(&g.back(answer(1, 1, again[0], Outcome::Ok))), 0);
    // The old plan has a quota now, the new class, plan and service serve.
    let asks: Vec<usize> =
        (200..204).map(|id| refused(&g.ask(NewRequest { spread: 1, ..request(id) }))).collect();
    assert_eq!(asks, [0, 0, 1, 1]);
    let new = NewRequest { class: 1, plan: 1, service: 1, customer: 8, ..request(300) };
    assert_eq!(sent(&g.ask(new)), [9]);
}

#[test]
fn a_reading_that_comes_by_itself_moves_the_share() {
    // Half of 20 a second here; a customer that is read idle elsewhere gets nearly all of it.
    let served = |used: Option<f64>| {
        let mut g = Gateway::with_servers(settings(rate(20.0, 2.0)), 8);
        g.ask(request(0));
        let mut all = 0;
        for id in 1..400 {
            if let Some(used) = used.filter(|_| id % 20 == 0) {
                g.tell(Event::MeterReading { customer: 7, used });
            }
            for act in g.ask(request(id)) {
                if let Action::Send { id, server, .. } = act {
                    all += 1;
                    g.back(answer(id, 0, server, Outcome::Ok));
                }
            }
            g.pass(10 * MS);
        }
        all
    };
    let (silent, idle, full) = (served(None), served(Some(0.0)), served(Some(1.0)));
    assert!(idle > silent * 5 / 4 && full <= silent, "{silent} with no reading, {idle} idle, {full} full");
}
