//! Bookings as text.

use crate::status::seen_by;
use crate::table::{cell, list};
use chrono::{DateTime, SecondsFormat, Utc};
use jzon::JsonValue;

const BOOKINGS: [(&str, &str); 8] = [
    ("BOOKING", "booking_name"),
    ("PHASE", "booking_phase"),
    ("SERVICE", "service_ref"),
    ("FLIGHT", "flight_count"),
    ("RATE A SECOND", "rate_per_s"),
    ("DIVIDED", "divided_count"),
    ("OPENS", "opens"),
    ("CLOSES", "closes"),
];
const HOLDERS: [(&str, &str); 7] = [
    ("PROXY", "node_name"),
    ("IP", "ip_address"),
    ("PART", "flight_count"),
    ("WANTED A SECOND", "wanted_per_s"),
    ("USED A SECOND", "used_per_s"),
    ("REVISION", "revision"),
    ("HEARD MS AGO", "heard_ms_ago"),
];
/// What is told of one booking below its row.
const DETAILS: [(&str, &str); 7] = [
    ("tenants", "tenant_refs"),
    ("routes", "route_refs"),
    ("ramp ms", "ramp_ms"),
    ("unused room", "unused_room"),
    ("epoch", "booking_epoch"),
    ("division", "division_number"),
    ("cancelled", "cancelled"),
];

/// A row for each booking.
pub fn all(value: &JsonValue) -> String {
    let rows: Vec<JsonValue> = value["booking_list"].members().map(with_times).collect();
    seen_by(value) + &list(&rows.into(), &BOOKINGS)
}

/// One booking and the proxies that hold parts of it.
pub fn one(value: &JsonValue) -> String {
    let row = list(&vec![with_times(value)].into(), &BOOKINGS);
    let details = DETAILS.iter().map(|(name, key)| format!("{name:<14} {}\n", cell(&value[*key])));
    seen_by(value) + &row + &details.collect::<String>() + &list(&value["holder_list"], &HOLDERS)
}

/// What a dry run of a booking tells.
pub fn dry_run(name: &str, value: &JsonValue) -> String {
    let figure = |key: &str| cell(&value[key]);
    format!(
        "{name}: would be booked: {} in flight, {} a second; free over the window {}, of {}\n",
        figure("flight_count"),
        figure("rate_per_s"),
        figure("free_count"),
        figure("room_count"),
    )
}

fn with_times(booking: &JsonValue) -> JsonValue {
    let mut booking = booking.clone();
    booking["opens"] = time(&booking["opens_ms"]).into();
    booking["closes"] = time(&booking["closes_ms"]).into();
    booking
}

fn time(ms: &JsonValue) -> String {
    let time = ms.as_i64().and_then(DateTime::<Utc>::from_timestamp_millis);
    time.map_or_else(|| cell(ms), |t| t.to_rfc3339_opts(SecondsFormat::Secs, true))
}
