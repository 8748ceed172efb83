//! The headers that a client's request must carry.

use crate::gate::Gate;
use crate::messages::Asked;
use curlewfront::{Micros, Plan};
use net::http::{self, Bad};
use net::limits::Held;
use net::pool::Passage;

/// Reads the headers that a request must carry. `until` is the time allowed, yet to be counted from the
/// request's last byte.
pub fn read(gate: &Gate, head: &http::Request) -> Result<Asked, Bad> {
    let bad = |what| Bad { status: 400, what };
    if !matches!(head.method, "GET" | "POST" | "PUT" | "PATCH" | "DELETE") {
        return Err(Bad { status: 405, what: "method not served" });
    }
    if !head.target.starts_with('/') {
        return Err(bad("target is no path"));
    }
    let text = |name: &str| {
        http::header(head.headers, name).and_then(|v| std::str::from_utf8(v).ok()).map(str::trim)
    };
    let named = |names: &[String], name: &str| text(name).and_then(|v| names.iter().position(|n| n == v));
    let name = text("Request-Id").filter(|id| !id.is_empty()).ok_or(bad("no Request-Id"))?;
    let name = name.as_bytes().into();
    let class = named(&gate.config.classes, "Request-Class").ok_or(bad("unknown Request-Class"))?;
    let plan = named(&gate.config.plans, "X-Contract").ok_or(bad("unknown X-Contract"))?;
    let customer = text("X-Client-Id").and_then(hex).ok_or(bad("malformed X-Client-Id"))?;
    if customer >= CUSTOMERS {
        return Err(bad("X-Client-Id out of range"));
    }
    let until = text("Request-Timeout").and_then(span).ok_or(bad("malformed Request-Timeout"))?;
    let (units, spread, first) = text("X-Metering").and_then(metering).ok_or(bad("malformed X-Metering"))?;
    let most_units = most_units(&gate.config.settings.plans[plan]);
    let gateways = gate.config.settings.balancers;
    // Also under a usual customer's name: such units would empty its quota, such a set move its shares.
    let in_set = (1..=gateways).contains(&spread) && first < gateways;
    if !(units > 0.0 && units <= most_units && in_set) {
        return Err(bad("X-Metering out of range"));
    }
    let repeat = text("Client-Retry").is_some_and(|v| v == "1");
    let mut line = Vec::with_capacity(head.len + 64);
    for part in [head.method, " ", head.target, " HTTP/1.1\r\n"] {
        line.extend_from_slice(part.as_bytes());
    }
    http::pass_on(head.headers, &["Request-Timeout"], &mut line);
    let passage = Passage { head: line, body: Held::default() };
    Ok(Asked {
        id: 0,
        name,
        client: None,
        class,
        plan,
        customer,
        until,
        units,
        most_units,
        spread,
        first,
        repeat,
        passage,
    })
}

/// Customers are numbers under this, by the protocol.
const CUSTOMERS: u64 = 1 << 33;
/// A request may draw more than a burst, on credit, but not many of them.
const MOST_BURSTS: f64 = 4.0;

/// The most units that one request of this plan can draw.
fn most_units(plan: &Plan) -> f64 {
    let bounds = [(plan.rate, plan.burst), (plan.ceiling_rate, plan.ceiling_burst)];
    let kept = bounds.into_iter().filter(|(rate, _)| *rate > 0.0);
    kept.map(|(_, burst)| MOST_BURSTS * burst.max(1.0)).fold(f64::MAX, f64::min)
}

fn hex(text: &str) -> Option<u64> {
    let good = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if good { u64::from_str_radix(text, 16).ok() } else { None }
}

/// A number and a unit: `m` for milliseconds, `u` for microseconds.
fn span(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let scale = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    let us = http::decimal(number)? * scale;
    (us <= LONGEST_US).then_some(us as Micros)
}

/// No client waits longer than a day.
const LONGEST_US: f64 = 86_400e6;

/// `units=2,spread=3,first=1`, in any order.
fn metering(text: &str) -> Option<(f64, u32, u32)> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for part in text.split(',') {
        let (key, value) = part.trim().split_once('=')?;
        match key {
            "units" => units = value.parse::<f64>().ok().filter(|u| u.is_finite() && *u >= 0.0),
            "spread" => spread = value.parse::<u32>().ok().filter(|s| *s > 0),
            "first" => first = value.parse::<u32>().ok(),
            _ => {}
        }
    }
    Some((units?, spread?, first?))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_may_draw_a_few_bursts_of_its_plan() {
        let metered = Plan { rate: 1.2, burst: 4.0, ..Plan::default() };
        let capped = Plan { ceiling_rate: 2.0, ceiling_burst: 2.0, ..metered.clone() };
        let told = Plan { at_once: 3, ..Plan::default() };
        assert_eq!([&metered, &capped].map(most_units), [16.0, 8.0]);
        assert!(most_units(&told) > 1e9, "not metered in units");
    }

    #[test]
    fn times_come_in_two_units() {
        assert_eq!(span("480m"), Some(480_000));
        assert_eq!(span("480u"), Some(480));
        assert_eq!(span("1.5m"), Some(1500));
        assert_eq!(span("0m"), Some(0));
        for bad in ["", "m", "480", "480s", "-1m", "+1m", "1e3m", "1 m", "é", "1..5m", "99999999999999m"] {
            assert_eq!(span(bad), None, "{bad}");
        }
    }

    #[test]
    fn metering_needs_its_three_figures_in_any_order() {
        assert_eq!(metering("units=2,spread=3,first=1"), Some((2.0, 3, 1)));
        assert_eq!(metering("first=0, units=0.5, spread=1, more=x"), Some((0.5, 1, 0)));
        for bad in
            ["", "units=2", "units=-1,spread=1,first=0", "units=1,spread=0,first=0", "units,spread=1,first=0"]
        {
            assert_eq!(metering(bad), None, "{bad}");
        }
    }
}
