//! The wire's words and the decision module's types, each way.

use curlewfront::{Action, Decider, Entry, Event, ListKind, Micros, NewRequest, Outcome, Return, State};
use curlewfront_config::{settings, show};
use serde_json::{Value, json};
use std::collections::HashMap;

type Res<T> = Result<T, String>;

/// All instances of this process, and the numbered lists that their events refer to.
#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Option<Decider>>,
    lists: HashMap<u64, Vec<Entry>>,
}

/// The values of one message, read in order, with its name for what is said of a bad one.
struct Values<'a> {
    name: &'a str,
    place: usize,
    items: &'a [Value],
}

impl<'a> Values<'a> {
    fn bad(&self, at: usize, want: &str) -> String {
        format!(
            "event {} ({}), value {at}: expected {want}, found {}",
            self.place,
            self.name,
            show(self.items.get(at))
        )
    }
    fn get(&self, at: usize) -> Option<&'a Value> {
        self.items.get(at).filter(|v| !v.is_null())
    }
    fn text(&self, at: usize) -> Res<&'a str> {
        self.get(at).and_then(Value::as_str).ok_or_else(|| self.bad(at, "a string"))
    }
    fn whole(&self, at: usize) -> Res<u64> {
        self.get(at).and_then(Value::as_u64).ok_or_else(|| self.bad(at, "a whole number"))
    }
    fn small(&self, at: usize) -> Res<u32> {
        u32::try_from(self.whole(at)?).map_err(|_| self.bad(at, "a whole number below 2^32"))
    }
    fn number(&self, at: usize) -> Res<f64> {
        self.get(at).and_then(Value::as_f64).ok_or_else(|| self.bad(at, "a number"))
    }
    fn whole_or_none(&self, at: usize) -> Res<Option<u64>> {
        self.get(at).map(|_| self.whole(at)).transpose()
    }
    fn truth(&self, at: usize) -> Res<bool> {
        self.get(at).and_then(Value::as_bool).ok_or_else(|| self.bad(at, "true or false"))
    }
    fn truth_or_false(&self, at: usize) -> Res<bool> {
        self.get(at).map_or(Ok(false), |_| self.truth(at))
    }
    fn outcome(&self, at: usize) -> Res<Outcome> {
        Ok(match self.text(at)? {
            "delivered" => Outcome::Ok,
            "app_error" => Outcome::Error,
            "shed" => Outcome::Full,
            "expired" => Outcome::TimedOut,
            "dial_failed" => Outcome::ConnectFailed,
            "dropped" => Outcome::Reset,
            "revoked" => Outcome::Cancelled,
            "unused" => Outcome::Moot,
            _ => return Err(self.bad(at, "the name of an ending")),
        })
    }
    /// Load reports are checked for their form only: no decision goes by them.
    fn load(&self, at: usize) -> Res<()> {
        let good = self.get(at).is_none_or(Value::is_object);
        good.then_some(()).ok_or_else(|| self.bad(at, "a load report"))
    }
    fn bytes(&self, at: usize) -> Res<()> {
        let text = self.text(at)?;
        let good = text.len().is_multiple_of(2) && text.bytes().all(|b| b.is_ascii_hexdigit());
        good.then_some(()).ok_or_else(|| self.bad(at, "bytes as hex digits"))
    }
}

impl Host {
    /// Answers one line of input.
    pub fn batch(&mut self, line: &str) -> Res<String> {
        let batch: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
        let now = batch.get("tUs").and_then(Value::as_u64).ok_or("tUs: expected a whole number")?;
        let events = batch.get("events").and_then(Value::as_array).ok_or("events: expected an array")?;
        let mut out = Vec::new();
        for (place, event) in events.iter().enumerate() {
            let items = event.as_array().ok_or_else(|| format!("event {place}: expected an array"))?;
            let name = items.first().and_then(Value::as_str);
            let name = name.ok_or_else(|| format!("event {place}: expected a message name first"))?;
            self.event(now, &Values { name, place, items }, &mut out)?;
        }
        Ok(json!({ "out": out }).to_string())
    }

    fn event(&mut self, now: Micros, v: &Values, out: &mut Vec<Value>) -> Res<()> {
        if v.name == "register" {
            let number = v.whole(1)?;
            let lines = v.get(2).and_then(Value::as_array).ok_or_else(|| v.bad(2, "an array of entries"))?;
            let entries = lines.iter().map(|l| entry(v, l)).collect::<Res<Vec<_>>>()?;
            self.lists.insert(number, entries);
            return Ok(());
        }
        if !KNOWN.contains(&v.name) {
            return Err(format!("event {}: unknown message {:?}", v.place, v.name));
        }
        let gateway = v.text(1)?;
        if v.name == "enlist" {
            let seed = v.whole(2)?;
            let facts =
                v.get(3).and_then(Value::as_object).ok_or_else(|| v.bad(3, "an object of settings"))?;
            let set = settings(facts).map_err(|e| format!("event {} (enlist), settings: {e}", v.place))?;
            let decider = Decider::new(set, seed);
            if let Err(why) = &decider {
                out.push(json!(["bailOut", gateway, why.to_string()]));
            }
            self.instances.insert(gateway.to_string(), decider.ok());
            return Ok(());
        }
        if v.name == "shutdown" {
            let known = self.instances.remove(gateway);
            return known.map(|_| ()).ok_or_else(|| v.bad(1, "an instance that was set up"));
        }
        let event = self.translate(v)?;
        let decider =
            self.instances.get_mut(gateway).ok_or_else(|| v.bad(1, "an instance that was set up"))?;
        if let (Some(decider), Some(event)) = (decider, event) {
            let mut acts = Vec::new();
            decider.handle(now, event, &mut acts);
            out.extend(acts.iter().map(|a| action(gateway, a)));
        }
        Ok(())
    }

    fn translate(&self, v: &Values) -> Res<Option<Event>> {
        Ok(Some(match v.name {
            "membership" => {
                let kind = match v.text(2)? {
                    "INCREMENTAL" => ListKind::Changes,
                    "FULL" => ListKind::Full,
                    "SAVED" => ListKind::Saved,
                    "FAILED" => ListKind::Failed,
                    _ => return Err(v.bad(2, "the kind of a list")),
                };
                let entries = if kind == ListKind::Failed {
                    Vec::new()
                } else {
                    let list = self.lists.get(&v.whole(3)?);
                    list.ok_or_else(|| v.bad(3, "a list that was set up"))?.clone()
                };
                Event::List { kind, entries }
            }
            "submit" => Event::Request(NewRequest {
                id: v.whole(2)?,
                class: v.small(3)? as usize,
                plan: v.small(4)? as usize,
                customer: u64::from_str_radix(v.text(5)?, 16).map_err(|_| v.bad(5, "16 hex digits"))?,
                left_us: v.whole(6)?,
                units: v.get(7).map_or(Ok(1.0), |_| v.number(7))?,
                spread: v.get(8).map_or(Ok(1), |_| v.small(8))?,
                first: v.get(9).map_or(Ok(0), |_| v.small(9))?,
                repeat: v.truth_or_false(10)?,
                ..NewRequest::default()
            }),
            "underWay" => Event::Started { id: v.whole(2)?, attempt: v.small(3)? },
            "returned" => {
                v.load(10)?;
                Event::Returned(Return {
                    id: v.whole(2)?,
                    attempt: v.small(3)?,
                    server: v.whole(4)?,
                    outcome: v.outcome(5)?,
                    latency_us: v.whole(6)?,
                    closed: v.truth_or_false(7)?,
                    used: v.whole_or_none(8)?.filter(|u| *u > 0).map(|u| (u - 1) as f64 / 100.0),
                    final_units: v.get(9).map(|_| v.number(9)).transpose()?.filter(|f| *f > 0.0),
                })
            }
            "withdrawn" => Event::Withdrawn { id: v.whole(2)? },
            "wake" => Event::Timer { token: v.whole(2)? },
            // Nothing is decided by peers, the counter or probes: well formed, they go no further.
            "probed" => {
                v.whole(2)?;
                v.outcome(3)?;
                v.whole(4)?;
                v.load(5)?;
                return Ok(None);
            }
            "peerData" => {
                v.small(2)?;
                v.bytes(3)?;
                return Ok(None);
            }
            "tallyBack" => {
                v.whole(2)?;
                v.whole(3)?;
                v.outcome(5)?;
                return Ok(None);
            }
            _ => return Err(format!("event {}: unknown message {:?}", v.place, v.name)),
        }))
    }
}

const KNOWN: [&str; 11] = [
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

fn entry(v: &Values, line: &Value) -> Res<Entry> {
    let items = line.as_array().ok_or_else(|| v.bad(2, "each entry as an array"))?;
    let e = Values { name: "register entry", place: v.place, items };
    Ok(Entry {
        server: e.whole(0)?,
        zone: e.small(1)?,
        cell: e.small(3)?,
        state: match e.text(4)? {
            "U" => State::Up,
            "L" => State::Draining,
            "D" => State::Gone,
            _ => return Err(e.bad(4, "U, L or D")),
        },
        weight: e.get(5).map_or(Ok(1.0), |_| e.number(5))?,
        up_since_us: e.whole_or_none(6)?.unwrap_or(0),
        ..Entry::default()
    })
}

fn action(gateway: &str, act: &Action) -> Value {
    match *act {
        Action::Send { id, server, timeout_us } => json!(["callOut", gateway, id, server, timeout_us]),
        Action::Refuse { id, retry_after_us, .. } => json!(["shed", gateway, id, retry_after_us]),
        Action::Fail { id } => json!(["endFailed", gateway, id]),
        Action::Cancel { id, attempt } => json!(["recall", gateway, id, attempt]),
        Action::Watch => json!(["keepInformed", gateway, true]),
        Action::Timer { at_us, token } => json!(["sleep", gateway, at_us, token]),
    }
}
