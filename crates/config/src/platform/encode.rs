//! Encoder of settings as the platform's nested JSON.

use super::keys::{DEDUP_SCOPES, DISCOVERY_MODES, EFFECTS, REPORT_SOURCES};
use quartzcleat_decision::api::{Class, Plan, Settings};
use serde_json::{json, Value};

/// Encodes settings as the platform's nested JSON, the inverse of [`flatten`](super::flatten()) followed by
/// [`decode`](super::decode()).
#[must_use]
pub fn encode(settings: &Settings, zone_names: &[String]) -> Value {
    json!({
        "categories": settings.classes.iter().map(encode_class).collect::<Vec<_>>(),
        "contracts": settings.plans.iter().map(encode_plan).collect::<Vec<_>>(),
        "balancers": settings.limiters.count,
        "me": settings.limiters.own_index.0,
        "zone": settings.limiters.own_zone.0,
        "zones": zone_names,
        "quantumNs": settings.limiters.tick,
        "registryMode": keyword_for(&DISCOVERY_MODES, settings.discovery.is_polled),
        "stats": { "how": keyword_for(&REPORT_SOURCES, settings.discovery.report_source) },
        "familyInfo": encode_counter(settings),
        "limits": encode_limits(settings),
        "safety": encode_safety(settings),
        "charges": encode_charges(settings),
    })
}

/// Returns the keyword for a value. It is never `None`, as each table has every value of its type.
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
        "group": keyword_for(&DEDUP_SCOPES, class.dedup_scope),
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
        "concurrency": plan.max_concurrent_attempts,
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
        "counter": settings.counter.is_available,
        "counterTimeoutNs": settings.counter.timeout,
        "callPrice": settings.counter.call_price,
        "costAfter": settings.units.are_estimates,
        "unitsTop": settings.units.largest_request,
    })
}

fn encode_limits(settings: &Settings) -> Value {
    json!({
        "mayCancel": settings.capabilities.cancel,
        "probing": settings.capabilities.health_checks,
        "peers": settings.capabilities.peer_messages,
        "secondCopies": settings.capabilities.hedged_requests,
        "retryAfter": settings.backoff.sends_retry_after,
        "maxRetryAfterNs": settings.backoff.longest_retry_after,
        "sendCap": settings.attempts.max_per_request,
        "openCap": settings.attempts.max_requests_in_progress,
        "connectTimeoutNs": settings.attempts.connect_timeout,
    })
}

fn encode_safety(settings: &Settings) -> Value {
    json!({
        "graceToAnswerNs": settings.grace.answer,
        "drainGraceNs": settings.grace.drain,
        "coldFrom": settings.slow_start.initial_capacity,
        "warmAfterNs": settings.slow_start.duration,
        "overloadFactor": settings.slow_start.overload_factor,
        "tipAfterNs": settings.slow_start.overload_duration,
    })
}

fn encode_charges(settings: &Settings) -> Value {
    json!({
        "crossZone": settings.prices.cross_zone,
        "waste": settings.prices.waste,
        "lateFail": settings.prices.late_failure,
        "probe": settings.prices.health_check,
    })
}
