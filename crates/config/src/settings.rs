//! The settings object that an instance is given at its start, on the simulator's wire as in a gateway's configuration.

use crate::facts::{Facts, Res};
use curlewfront::{Class, Effect, Group, Plan, Settings};
use serde_json::{Map, Value};

pub fn settings(facts: &Map<String, Value>) -> Res<Settings> {
    let f = Facts(facts, String::new());
    let (allow, rules, family) = (f.inner("permissions")?, f.inner("rules")?, f.inner("familyInfo")?);
    Ok(Settings {
        balancers: f.small("balancers")?,
        index: f.small("index")?,
        classes: f.each("classes")?.iter().map(class).collect::<Res<_>>()?,
        plans: f.each("tiersOfService")?.iter().map(plan).collect::<Res<_>>()?,
        ask_for_list: match f.word("membershipMode")? {
            "on_request" => true,
            "pushed" | "" => false,
            _ => return Err(f.bad("membershipMode", "pushed or on_request")),
        },
        meter_us: family.whole("meterUs")?,
        trued_up: family.truth("truedUp")?,
        tick_us: f.whole("granularityUs")?,
        marks_retry: f.inner("clients")?.truth("marksRetry")?,
        may_cancel: allow.truth("mayCancel")?,
        retry_after: allow.truth("retryAfter")?,
        max_retry_after_us: allow.whole("maxRetryAfterUs")?,
        attempts_cap: allow.small("attemptsCap")?,
        ask_within_us: rules.whole("askWithinUs")?,
        cold_from: rules.number("coldFrom")?,
        cold_us: rules.whole("coldUs")?,
        fall_multiple: rules.number("fallMultiple")?,
        fall_us: rules.whole("fallUs")?,
        services: 1,
        starts_empty: false,
        retry_budget: None,
        light_use_below: 0.0,
        light_use_burst: 0.0,
    })
}

fn class(c: &Facts) -> Res<Class> {
    Ok(Class {
        aim_us: c.whole("aimUs")?,
        deadline_us: c.whole("deadlineUs")?,
        late_worth: c.number("lateWorth")?,
        effect: match c.word("effect")? {
            "repeatable" => Effect::Repeatable,
            "once" => Effect::Once,
            "by_key" => Effect::ByKey {
                window_us: c.whole("windowUs")?,
                group: match c.word("group")? {
                    "all" => Group::All,
                    "zone" => Group::Zone,
                    "cell" => Group::Cell,
                    _ => return Err(c.bad("group", "all, zone or cell")),
                },
            },
            _ => return Err(c.bad("effect", "repeatable, by_key or once")),
        },
    })
}

fn plan(p: &Facts) -> Res<Plan> {
    Ok(Plan {
        rate: p.number("unitsPerS")?,
        burst: p.number("depth")?,
        at_once: p.small("atOnce")?,
        ceiling_rate: p.number("capRate")?,
        ceiling_burst: p.number("capDepth")?,
        over_worth: p.number("overWorth")?,
        over_cost: p.number("excessCost")?,
    })
}
