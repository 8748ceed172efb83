//! Reads the `settings` object of a gateway's configuration, which the wire protocol of the simulator carries as well.

use crate::json::{JsonObject, Res};
use curlewfront::{Class, Effect, Group, Plan, Settings};
use serde_json::{Map, Value};

pub fn settings(object: &Map<String, Value>) -> Res<Settings> {
    let object = JsonObject(object, String::new());
    let (permissions, rules, family) =
        (object.object("permissions")?, object.object("rules")?, object.object("familyInfo")?);
    Ok(Settings {
        balancers: object.u32("balancers")?,
        index: object.u32("index")?,
        classes: object.objects("classes")?.iter().map(class).collect::<Res<_>>()?,
        plans: object.objects("tiersOfService")?.iter().map(plan).collect::<Res<_>>()?,
        ask_for_list: match object.string("membershipMode")? {
            "on_request" => true,
            "pushed" | "" => false,
            _ => return Err(object.error("membershipMode", "pushed or on_request")),
        },
        meter_us: family.u64("meterUs")?,
        trued_up: family.bool("truedUp")?,
        tick_us: object.u64("granularityUs")?,
        marks_retry: object.object("clients")?.bool("marksRetry")?,
        may_cancel: permissions.bool("mayCancel")?,
        retry_after: permissions.bool("retryAfter")?,
        max_retry_after_us: permissions.u64("maxRetryAfterUs")?,
        attempts_cap: permissions.u32("attemptsCap")?,
        ask_within_us: rules.u64("askWithinUs")?,
        cold_from: rules.f64("coldFrom")?,
        cold_us: rules.u64("coldUs")?,
        fall_multiple: rules.f64("fallMultiple")?,
        fall_us: rules.u64("fallUs")?,
        services: 1,
        starts_empty: false,
        retry_budget: None,
        light_use_below: 0.0,
        light_use_burst: 0.0,
    })
}

fn class(object: &JsonObject) -> Res<Class> {
    Ok(Class {
        aim_us: object.u64("aimUs")?,
        deadline_us: object.u64("deadlineUs")?,
        late_worth: object.f64("lateWorth")?,
        effect: match object.string("effect")? {
            "repeatable" => Effect::Repeatable,
            "once" => Effect::Once,
            "by_key" => Effect::ByKey {
                window_us: object.u64("windowUs")?,
                group: match object.string("group")? {
                    "all" => Group::All,
                    "zone" => Group::Zone,
                    "cell" => Group::Cell,
                    _ => return Err(object.error("group", "all, zone or cell")),
                },
            },
            _ => return Err(object.error("effect", "repeatable, by_key or once")),
        },
    })
}

fn plan(object: &JsonObject) -> Res<Plan> {
    Ok(Plan {
        rate: object.f64("unitsPerS")?,
        burst: object.f64("depth")?,
        at_once: object.u32("atOnce")?,
        ceiling_rate: object.f64("capRate")?,
        ceiling_burst: object.f64("capDepth")?,
        over_worth: object.f64("overWorth")?,
        over_cost: object.f64("excessCost")?,
    })
}
