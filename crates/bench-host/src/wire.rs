//! Translates between the messages of the simulator's wire protocol and the types of the decision module.

use curlewfront::{Action, AttemptEnd, Decider, Entry, Event, ListKind, Micros, NewRequest, Outcome, State};
use curlewfront_config::{settings, show};
use serde_json::{Value, json};
use std::collections::HashMap;

type Res<T> = Result<T, String>;

/// The gateway instances of this process, by name, and the numbered lists of servers that their events refer to.
#[derive(Default)]
pub struct Host {
    /// `None` for an instance whose settings were refused.
    instances: HashMap<String, Option<Decider>>,
    lists: HashMap<u64, Vec<Entry>>,
}

/// The values of one message, with its name and its position in the batch for error messages.
struct Values<'a> {
    name: &'a str,
    position: usize,
    items: &'a [Value],
}

impl<'a> Values<'a> {
    fn error(&self, at: usize, expected: &str) -> String {
        format!(
            "event {} ({}), value {at}: expected {expected}, found {}",
            self.position,
            self.name,
            show(self.items.get(at))
        )
    }
    /// The value at this position; `None` if it is absent or `null`.
    fn get(&self, at: usize) -> Option<&'a Value> {
        self.items.get(at).filter(|v| !v.is_null())
    }
    fn string(&self, at: usize) -> Res<&'a str> {
        self.get(at).and_then(Value::as_str).ok_or_else(|| self.error(at, "a string"))
    }
    fn u64(&self, at: usize) -> Res<u64> {
        self.get(at).and_then(Value::as_u64).ok_or_else(|| self.error(at, "a whole number"))
    }
    fn u32(&self, at: usize) -> Res<u32> {
        u32::try_from(self.u64(at)?).map_err(|_| self.error(at, "a whole number below 2^32"))
    }
    fn f64(&self, at: usize) -> Res<f64> {
        self.get(at).and_then(Value::as_f64).ok_or_else(|| self.error(at, "a number"))
    }
    fn optional_u64(&self, at: usize) -> Res<Option<u64>> {
        self.get(at).map(|_| self.u64(at)).transpose()
    }
    fn bool(&self, at: usize) -> Res<bool> {
        self.get(at).and_then(Value::as_bool).ok_or_else(|| self.error(at, "true or false"))
    }
    fn bool_or_false(&self, at: usize) -> Res<bool> {
        self.get(at).map_or(Ok(false), |_| self.bool(at))
    }
    fn outcome(&self, at: usize) -> Res<Outcome> {
        Ok(match self.string(at)? {
            "delivered" => Outcome::Ok,
            "app_error" => Outcome::Error,
            "shed" => Outcome::Full,
            "expired" => Outcome::TimedOut,
            "dial_failed" => Outcome::ConnectFailed,
            "dropped" => Outcome::Reset,
            "revoked" => Outcome::Cancelled,
            "unused" => Outcome::NotSent,
            _ => return Err(self.error(at, "the name of an ending")),
        })
    }
    /// Load reports are checked for their form only, as no decision depends on them.
    fn check_load(&self, at: usize) -> Res<()> {
        let valid = self.get(at).is_none_or(Value::is_object);
        valid.then_some(()).ok_or_else(|| self.error(at, "a load report"))
    }
    /// The bytes are checked for their form only, as no decision depends on them.
    fn check_hex_bytes(&self, at: usize) -> Res<()> {
        let text = self.string(at)?;
        let valid = text.len().is_multiple_of(2) && text.bytes().all(|b| b.is_ascii_hexdigit());
        valid.then_some(()).ok_or_else(|| self.error(at, "bytes as hex digits"))
    }
}

impl Host {
    /// Handles one line of input, a batch of events, and returns the line to reply.
    pub fn batch(&mut self, line: &str) -> Res<String> {
        let batch: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
        let now = batch.get("tUs").and_then(Value::as_u64).ok_or("tUs: expected a whole number")?;
        let events = batch.get("events").and_then(Value::as_array).ok_or("events: expected an array")?;
        let mut out = Vec::new();
        for (position, event) in events.iter().enumerate() {
            let items = event.as_array().ok_or_else(|| format!("event {position}: expected an array"))?;
            let name = items.first().and_then(Value::as_str);
            let name = name.ok_or_else(|| format!("event {position}: expected a message name first"))?;
            self.event(now, &Values { name, position, items }, &mut out)?;
        }
        Ok(json!({ "out": out }).to_string())
    }

    /// Handles one event; replies go to `out`.
    fn event(&mut self, now: Micros, values: &Values, out: &mut Vec<Value>) -> Res<()> {
        if values.name == "register" {
            let number = values.u64(1)?;
            let items = values
                .get(2)
                .and_then(Value::as_array)
                .ok_or_else(|| values.error(2, "an array of entries"))?;
            let entries = items.iter().map(|item| entry(values, item)).collect::<Res<Vec<_>>>()?;
            self.lists.insert(number, entries);
            return Ok(());
        }
        if !MESSAGES.contains(&values.name) {
            return Err(format!("event {}: unknown message {:?}", values.position, values.name));
        }
        let gateway = values.string(1)?;
        if values.name == "enlist" {
            let seed = values.u64(2)?;
            let object = values
                .get(3)
                .and_then(Value::as_object)
                .ok_or_else(|| values.error(3, "an object of settings"))?;
            let settings =
                settings(object).map_err(|e| format!("event {} (enlist), settings: {e}", values.position))?;
            let decider = Decider::new(settings, seed);
            if let Err(why) = &decider {
                out.push(json!(["bailOut", gateway, why.to_string()]));
            }
            self.instances.insert(gateway.to_string(), decider.ok());
            return Ok(());
        }
        if values.name == "shutdown" {
            let removed = self.instances.remove(gateway);
            return removed.map(|_| ()).ok_or_else(|| values.error(1, "an instance that was set up"));
        }
        let event = self.translate(values)?;
        let decider =
            self.instances.get_mut(gateway).ok_or_else(|| values.error(1, "an instance that was set up"))?;
        if let (Some(decider), Some(event)) = (decider, event) {
            let mut actions = Vec::new();
            decider.handle(now, event, &mut actions);
            out.extend(actions.iter().map(|action| action_message(gateway, action)));
        }
        Ok(())
    }

    /// The event for the decisions; `None` for messages that they have no use for.
    fn translate(&self, values: &Values) -> Res<Option<Event>> {
        Ok(Some(match values.name {
            "membership" => {
                let kind = match values.string(2)? {
                    "INCREMENTAL" => ListKind::Changes,
                    "FULL" => ListKind::Full,
                    "SAVED" => ListKind::Saved,
                    "FAILED" => ListKind::Failed,
                    _ => return Err(values.error(2, "the kind of a list")),
                };
                let entries = if kind == ListKind::Failed {
                    Vec::new()
                } else {
                    let list = self.lists.get(&values.u64(3)?);
                    list.ok_or_else(|| values.error(3, "a list that was set up"))?.clone()
                };
                Event::List { kind, entries }
            }
            "submit" => Event::Request(NewRequest {
                id: values.u64(2)?,
                class: values.u32(3)? as usize,
                plan: values.u32(4)? as usize,
                customer: u64::from_str_radix(values.string(5)?, 16)
                    .map_err(|_| values.error(5, "16 hex digits"))?,
                left_us: values.u64(6)?,
                units: values.get(7).map_or(Ok(1.0), |_| values.f64(7))?,
                spread: values.get(8).map_or(Ok(1), |_| values.u32(8))?,
                first_gateway: values.get(9).map_or(Ok(0), |_| values.u32(9))?,
                repeat: values.bool_or_false(10)?,
                ..NewRequest::default()
            }),
            "underWay" => Event::Started { id: values.u64(2)?, attempt: values.u32(3)? },
            "returned" => {
                values.check_load(10)?;
                Event::AttemptEnded(AttemptEnd {
                    id: values.u64(2)?,
                    attempt: values.u32(3)?,
                    server: values.u64(4)?,
                    outcome: values.outcome(5)?,
                    latency_us: values.u64(6)?,
                    closed: values.bool_or_false(7)?,
                    // 0 stands for no reading, n for n - 1 percent of the quota.
                    used: values.optional_u64(8)?.filter(|u| *u > 0).map(|u| (u - 1) as f64 / 100.0),
                    final_units: values.get(9).map(|_| values.f64(9)).transpose()?.filter(|f| *f > 0.0),
                })
            }
            "withdrawn" => Event::Withdrawn { id: values.u64(2)? },
            "wake" => Event::Timer { token: values.u64(2)? },
            // No decision depends on probes, peers or the counter: these messages are checked and dropped.
            "probed" => {
                values.u64(2)?;
                values.outcome(3)?;
                values.u64(4)?;
                values.check_load(5)?;
                return Ok(None);
            }
            "peerData" => {
                values.u32(2)?;
                values.check_hex_bytes(3)?;
                return Ok(None);
            }
            "tallyBack" => {
                values.u64(2)?;
                values.u64(3)?;
                values.outcome(5)?;
                return Ok(None);
            }
            _ => return Err(format!("event {}: unknown message {:?}", values.position, values.name)),
        }))
    }
}

/// The messages that are addressed to a gateway instance.
const MESSAGES: [&str; 11] = [
    "enlist",
    "membership",
    "submit",
    "underWay",
    "returned",
    "withdrawn",
    "probed",
    "wake",
    "peerData",
    "tallyBack",
    "shutdown",
];

/// Reads one entry of a list of servers.
fn entry(register: &Values, item: &Value) -> Res<Entry> {
    let items = item.as_array().ok_or_else(|| register.error(2, "each entry as an array"))?;
    let values = Values { name: "register entry", position: register.position, items };
    Ok(Entry {
        server: values.u64(0)?,
        zone: values.u32(1)?,
        cell: values.u32(3)?,
        state: match values.string(4)? {
            "U" => State::Up,
            "L" => State::Draining,
            "D" => State::Gone,
            _ => return Err(values.error(4, "U, L or D")),
        },
        weight: values.get(5).map_or(Ok(1.0), |_| values.f64(5))?,
        up_since_us: values.optional_u64(6)?.unwrap_or(0),
        ..Entry::default()
    })
}

/// The message for an action.
fn action_message(gateway: &str, action: &Action) -> Value {
    match *action {
        Action::Send { id, server, timeout_us } => json!(["callOut", gateway, id, server, timeout_us]),
        Action::Refuse { id, retry_after_us, .. } => json!(["shed", gateway, id, retry_after_us]),
        Action::Fail { id } => json!(["endFailed", gateway, id]),
        Action::Cancel { id, attempt } => json!(["recall", gateway, id, attempt]),
        Action::Watch => json!(["keepInformed", gateway, true]),
        Action::Timer { at_us, token } => json!(["sleep", gateway, at_us, token]),
    }
}
