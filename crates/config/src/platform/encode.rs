//! Settings as the platform's nested JSON.

use super::keys::{DISCOVERY_MODES, EFFECTS, GROUPS, REPORT_SOURCES};
use quartzcleat_decision::api::{Class, Plan, Settings};
use serde_json::{json, Value};

/// Writes settings as the platform's nested JSON, the inverse of [`flatten`](super::flatten) and
/// [`decode`](super::decode).
#[must_use]
pub fn encode(settings: &Settings, zone_names: &[String]) -> Value {
    json!({
        "categories": settings.classes.iter().map(encode_class).collect::<Vec<_>>(),
        "contracts": settings.plans.iter().map(encode_plan).collect::<Vec<_>>(),
        "balancers": settings.limiter_count,
        "me": settings.me,
        "zone": settings.zone,
        "zones": zone_names,
        "quantumNs": settings.tick,
        "registryMode": keyword_for(&DISCOVERY_MODES, settings.discovery_by_polling),
        "stats": { "how": keyword_for(&REPORT_SOURCES, settings.reports) },
        "familyInfo": encode_counter(settings),
        "limits": encode_limits(settings),
        "safety": encode_safety(settings),
        "charges": encode_charges(settings),
    })
}

/// The keyword for a value; the tables hold every value.
fn keyword_for<T: Copy + PartialEq>(
    keywords: &'static [(&'static str, T)],
    value: T,
) -> Option<&'static str> {
    keywords
        .iter()
        .find(|(_, known)| *known == value)
        .map(|(keyword, _)| *keyword)
}

fn encode_class(class: &Class) -> Value {
    json!({
        "name": class.name,
        "effect": keyword_for(&EFFECTS, class.effect),
        "group": keyword_for(&GROUPS, class.group),
        "dedupWindowNs": class.dedup_window,
        "onTimeNs": class.latency_objective,
        "aimStretch": class.latency_objective_stretch,
        "hardLimitNs": class.deadline,
        "importance": class.priority_weight,
        "lateWorth": class.late_weight,
        "stream": class.stream,
    })
}

fn encode_plan(plan: &Plan) -> Value {
    json!({
        "name": plan.name,
        "refill": plan.rate,
        "peakUnits": plan.burst,
        "concurrency": plan.open,
        "worthFactor": plan.weight_factor,
        "extraWorth": plan.over_quota_weight,
        "overrunCost": plan.over_quota_cost,
        "ceilingRate": plan.ceiling_rate,
        "capDepth": plan.ceiling_burst,
        "capSlack": plan.ceiling_slack,
    })
}

fn encode_counter(settings: &Settings) -> Value {
    json!({
        "counter": settings.counter,
        "counterTimeoutNs": settings.counter_timeout,
        "callPrice": settings.counter_price,
        "costAfter": settings.settled_later,
        "unitsTop": settings.largest_request,
    })
}

fn encode_limits(settings: &Settings) -> Value {
    json!({
        "mayCancel": settings.may_cancel,
        "probing": settings.may_health_check,
        "peers": settings.may_message_peers,
        "secondCopies": settings.hedged_requests,
        "retryAfter": settings.retry_after,
        "maxRetryAfterNs": settings.longest_retry_after,
        "sendCap": settings.max_attempts,
        "openCap": settings.max_open,
        "connectTimeoutNs": settings.connect_timeout,
    })
}

fn encode_safety(settings: &Settings) -> Value {
    json!({
        "graceToAnswerNs": settings.answer_grace,
        "drainGraceNs": settings.drain_grace,
        "coldFrom": settings.slow_start_floor,
        "warmAfterNs": settings.slow_start_duration,
        "overloadFactor": settings.overload_factor,
        "tipAfterNs": settings.overload_duration,
    })
}

fn encode_charges(settings: &Settings) -> Value {
    json!({
        "crossZone": settings.cross_zone_price,
        "waste": settings.waste_price,
        "lateFail": settings.late_failure_price,
        "probe": settings.health_check_price,
    })
}
