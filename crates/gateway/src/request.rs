//! Reads the headers that a client's request must carry.

use crate::messages::ClientRequest;
use crate::shared::Shared;
use curlewfront::{Micros, Plan};
use net::http::{self, Bad};
use net::memory::BufferedBody;
use net::pool::ForwardedRequest;

/// Checks the head of a request and reads its headers. `until` of the result is still a duration: the time allowed,
/// counted from the request's last byte. `id`, `client` and the body are filled in later.
pub fn read(shared: &Shared, head: &http::Request) -> Result<ClientRequest, Bad> {
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
    let position = |names: &[String], name: &str| text(name).and_then(|v| names.iter().position(|n| n == v));
    let name = text("Request-Id").filter(|id| !id.is_empty()).ok_or(bad("no Request-Id"))?;
    let name = name.as_bytes().into();
    let class = position(&shared.config.classes, "Request-Class").ok_or(bad("unknown Request-Class"))?;
    let plan = position(&shared.config.plans, "X-Contract").ok_or(bad("unknown X-Contract"))?;
    let customer = text("X-Client-Id").and_then(hex).ok_or(bad("malformed X-Client-Id"))?;
    if customer >= CUSTOMER_LIMIT {
        return Err(bad("X-Client-Id out of range"));
    }
    let until = text("Request-Timeout").and_then(duration).ok_or(bad("malformed Request-Timeout"))?;
    let (units, spread, first) = text("X-Metering").and_then(metering).ok_or(bad("malformed X-Metering"))?;
    let most_units = most_units(&shared.config.settings.plans[plan]);
    let gateways = shared.config.settings.balancers;
    // Checked for every customer: too many units would use up its quota, and a wrong set of gateways would shift the
    // gateways' shares of it.
    let valid_gateways = (1..=gateways).contains(&spread) && first < gateways;
    if !(units > 0.0 && units <= most_units && valid_gateways) {
        return Err(bad("X-Metering out of range"));
    }
    let repeat = text("Client-Retry").is_some_and(|v| v == "1");
    let mut passed_on = Vec::with_capacity(head.len + 64);
    for part in [head.method, " ", head.target, " HTTP/1.1\r\n"] {
        passed_on.extend_from_slice(part.as_bytes());
    }
    http::copy_end_to_end_headers(head.headers, &["Request-Timeout"], &mut passed_on);
    let passage = ForwardedRequest { head: passed_on, body: BufferedBody::default() };
    Ok(ClientRequest {
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

/// By the protocol, customers are numbers below this.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// A request may use more units than its plan's burst, on credit, but at most this many bursts.
const MAX_BURSTS: f64 = 4.0;

/// The most units that one request of this plan can use.
fn most_units(plan: &Plan) -> f64 {
    let quotas = [(plan.rate, plan.burst), (plan.ceiling_rate, plan.ceiling_burst)];
    let in_force = quotas.into_iter().filter(|(rate, _)| *rate > 0.0);
    in_force.map(|(_, burst)| MAX_BURSTS * burst.max(1.0)).fold(f64::MAX, f64::min)
}

/// Exactly 16 hex digits.
fn hex(text: &str) -> Option<u64> {
    let valid = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if valid { u64::from_str_radix(text, 16).ok() } else { None }
}

/// Reads a number followed by its unit: `m` for milliseconds, `u` for microseconds.
fn duration(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let scale = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    let us = http::decimal(number)? * scale;
    (us <= MAX_TIMEOUT_US).then_some(us as Micros)
}

/// No client waits longer than a day.
const MAX_TIMEOUT_US: f64 = 86_400e6;

/// Reads units, spread and first from `units=2,spread=3,first=1`, in any order. Other keys are ignored.
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
        let unmetered = Plan { at_once: 3, ..Plan::default() };
        assert_eq!([&metered, &capped].map(most_units), [16.0, 8.0]);
        assert!(most_units(&unmetered) > 1e9, "not metered in units");
    }

    #[test]
    fn times_come_in_two_units() {
        assert_eq!(duration("480m"), Some(480_000));
        assert_eq!(duration("480u"), Some(480));
        assert_eq!(duration("1.5m"), Some(1500));
        assert_eq!(duration("0m"), Some(0));
        for bad in ["", "m", "480", "480s", "-1m", "+1m", "1e3m", "1 m", "é", "1..5m", "99999999999999m"] {
            assert_eq!(duration(bad), None, "{bad}");
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
