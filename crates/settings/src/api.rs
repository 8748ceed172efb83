//! The calls that the system takes, as `docs/system/api/curlewfront.yaml` states them, and the reading of
//! what they carry. A test holds the two together.

use crate::facts::{Facts, MOST, Res, Trouble, parse, unfit};
use jzon::JsonValue;
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    Beat,
    Leave,
    PutConfig,
    PatchConfig,
    ReadConfig,
    Evacuate,
    Restore,
    PutBooking,
    ReadBooking,
    CancelBooking,
    ListBookings,
    ListInstances,
    ListNodes,
    Status,
    PutDrill,
    StopDrill,
    ShowDrill,
    ListDrills,
    StartRollout,
    ShowRollout,
    StopRollout,
    ListRollouts,
    Resolve,
    Ready,
}

/// Each call: its method, its path, its `operationId`, and the name of the address that takes it.
pub const CALLS: [(Call, &str, &str, &str, &str); 24] = [
    (Call::Beat, "PUT", "/api/instances/{server_id}", "beat", "control_port"),
    (Call::Leave, "DELETE", "/api/instances/{server_id}", "leave", "control_port"),
    (Call::PutConfig, "PUT", "/api/configuration", "putConfig", "control_port"),
    (Call::PatchConfig, "PATCH", "/api/configuration", "patchConfig", "control_port"),
    (Call::ReadConfig, "GET", "/api/configuration", "readConfig", "control_port"),
    (Call::Evacuate, "POST", "/api/evacuation/{zone_name}", "evacuate", "control_port"),
    (Call::Restore, "DELETE", "/api/evacuation/{zone_name}", "restore", "control_port"),
    (Call::PutBooking, "PUT", "/api/bookings/{booking_name}", "putBooking", "control_port"),
    (Call::ReadBooking, "GET", "/api/bookings/{booking_name}", "readBooking", "control_port"),
    (Call::CancelBooking, "DELETE", "/api/bookings/{booking_name}", "cancelBooking", "control_port"),
    (Call::ListBookings, "GET", "/api/bookings", "listBookings", "control_port"),
    (Call::ListInstances, "GET", "/api/instances", "listInstances", "control_port"),
    (Call::ListNodes, "GET", "/api/nodes", "listNodes", "control_port"),
    (Call::Status, "GET", "/api/status", "status", "control_port"),
    (Call::PutDrill, "PUT", "/api/drills/{drill_name}", "putDrill", "control_port"),
    (Call::StopDrill, "DELETE", "/api/drills/{drill_name}", "stopDrill", "control_port"),
    (Call::ShowDrill, "GET", "/api/drills/{drill_name}", "showDrill", "control_port"),
    (Call::ListDrills, "GET", "/api/drills", "listDrills", "control_port"),
    (Call::StartRollout, "POST", "/api/rollouts", "startRollout", "control_port"),
    (Call::ShowRollout, "GET", "/api/rollouts/{service_ref}", "showRollout", "control_port"),
    (Call::StopRollout, "DELETE", "/api/rollouts/{service_ref}", "stopRollout", "control_port"),
    (Call::ListRollouts, "GET", "/api/rollouts", "listRollouts", "control_port"),
    (Call::Resolve, "GET", "/api/resolution", "resolve", "directory_port"),
    (Call::Ready, "GET", "/api/readiness", "ready", "readiness"),
];

impl Call {
    /// The call of a method and a path, a query passed over, with the decoded argument that the path holds.
    pub fn of(method: &str, target: &str) -> Option<(Call, Option<String>)> {
        let path = target.split(['?', '#']).next()?;
        CALLS.iter().filter(|(_, m, ..)| *m == method).find_map(|(call, _, template, ..)| {
            match template.split_once('{') {
                None => (path == *template).then_some((*call, None)),
                Some((before, _)) => {
                    let argument = path.strip_prefix(before)?;
                    let whole = !argument.is_empty() && !argument.contains('/');
                    whole.then(|| decode(argument)).flatten().map(|a| (*call, Some(a)))
                }
            }
        })
    }

    /// Whether any call has this path, which tells a wrong method (405) from a wrong path (404).
    pub fn any_at(target: &str) -> bool {
        CALLS.iter().any(|(_, method, ..)| Call::of(method, target).is_some())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Available,
    Draining,
}

/// One call of a server that says that it lives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Beat {
    pub address: SocketAddr,
    /// None: as an earlier beat told.
    pub information: Option<Information>,
    pub state: State,
    /// Rises with each call of one server.
    pub sequence: u64,
    pub cold_left_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Information {
    pub service: String,
    /// Of the server's software.
    pub version: Option<String>,
    pub zone: String,
    pub slots: u32,
}

impl Beat {
    pub fn read(bytes: &[u8]) -> Res<Beat> {
        let value = parse(bytes)?;
        let top = Facts::of("", &value)?;
        let report = top.must_inner("status_report")?;
        let address = "an address and port";
        Ok(Beat {
            address: top.must("server_address", address, top.parsed("server_address", address))?,
            information: top.inner("information")?.map(|f| information(&f)).transpose()?,
            state: match report.text("server_state")? {
                Some("available") => State::Available,
                Some("draining") => State::Draining,
                _ => return Err(report.bad("server_state", "available or draining")),
            },
            sequence: report.must_whole("call_sequence", "", MOST)?,
            cold_left_ms: report.number("cold_left_ms")?.map_or(0, |n| n.ceil() as u64),
        })
    }
}

fn information(f: &Facts) -> Res<Information> {
    Ok(Information {
        service: f.name("service_ref")?,
        version: f.text("config_version")?.map(str::to_string),
        zone: f.name("zone_name")?,
        slots: f.must_whole("slot_count", "", u64::from(u32::MAX))? as u32,
    })
}

/// The answer to a beat; the address for later ones may be given.
pub fn beat_answer(target: Option<SocketAddr>) -> String {
    let mut answer = JsonValue::new_object();
    if let Some(target) = target {
        answer["beat_target"] = target.to_string().into();
    }
    answer.dump()
}

/// What a client asks the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolution {
    pub host: String,
    pub region: Option<String>,
    pub zone: Option<String>,
}

impl Resolution {
    /// Reads the query of a request's target.
    pub fn read(target: &str) -> Res<Resolution> {
        let field = |key: &str| query(target, key);
        let host =
            field("entity_name")?.ok_or_else(|| unfit("entity_name".into(), "the name of a host", None))?;
        Ok(Resolution { host, region: field("region_name")?, zone: field("zone_name")? })
    }
}

/// A field of the query of a request's target; None where it is left out or empty.
fn query(target: &str, key: &str) -> Res<Option<String>> {
    let query = target.split_once('?').map_or("", |(_, query)| query.split('#').next().unwrap_or(""));
    let named = |pair: &&str| pair.split('=').next().and_then(decode).as_deref() == Some(key);
    let Some(pair) = query.split('&').find(named) else { return Ok(None) };
    let text = pair.split_once('=').map_or("", |(_, text)| text).replace('+', " ");
    let bad = || unfit(key.to_string(), "a percent-encoded text", Some(&text.as_str().into()));
    Ok(Some(decode(&text).ok_or_else(bad)?).filter(|text| !text.is_empty()))
}

/// Whether the call only asks what would become of it.
pub fn dry_run(target: &str) -> Res<bool> {
    match query(target, "dry_run")?.as_deref() {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(other) => Err(unfit("dry_run".to_string(), "true or false", Some(&other.into()))),
    }
}

pub fn resolution_answer(addresses: &[SocketAddr], validity_s: f64) -> String {
    let list: Vec<String> = addresses.iter().map(|a| a.to_string()).collect();
    jzon::object! { address_list: list, validity_s: validity_s }.dump()
}

/// What goes with an answer that refuses.
pub fn refusal(trouble: &Trouble) -> String {
    jzon::object! { trouble: trouble.to_string() }.dump()
}

/// None where an escape is broken or what it stands for is not text.
fn decode(text: &str) -> Option<String> {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        out.push(match byte {
            b'%' => {
                let mut digit = || char::from(bytes.next()?).to_digit(16);
                (digit()? * 16 + digit()?) as u8
            }
            byte => byte,
        });
    }
    String::from_utf8(out).ok()
}
