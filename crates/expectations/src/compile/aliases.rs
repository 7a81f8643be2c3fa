//! Former names of keys and keywords that files of expectations and installations may still use.

use quartzcleat_config::reader::Alias;

#[cfg(test)]
mod tests;

/// Keys of an installation file.
pub(super) const INSTALLATION_KEYS: &[Alias] =
    &[Alias::new("rooms", "zones"), Alias::new("net", "network")];
/// Keys of the section `given` of an expectation.
pub(super) const GIVEN_KEYS: &[Alias] = &[Alias::new("net", "network")];
/// Keys of the network delays.
pub(super) const NETWORK_KEYS: &[Alias] = &[
    Alias::new("same", "same_zone"),
    Alias::new("cross", "cross_zone"),
];
/// Keys of a node.
pub(super) const HOST_KEYS: &[Alias] = &[
    Alias::new("room", "zone"),
    Alias::new("age", "uptime"),
    Alias::new("slots", "queue_capacity"),
];
/// Keys of the facts.
pub(super) const FACT_KEYS: &[Alias] = &[
    Alias::new("drain", "drain_grace"),
    Alias::new("attempts", "max_attempts"),
    Alias::new("cold", "slow_start"),
];
/// Keys of the facts on slow start.
pub(super) const SLOW_START_KEYS: &[Alias] = &[
    Alias::new("from", "initial_capacity"),
    Alias::new("warm", "duration"),
    Alias::new("tip", "overload_duration"),
    Alias::new("overload", "overload_factor"),
];
/// Keys of the facts on a class.
pub(super) const CLASS_FACT_KEYS: &[Alias] = &[Alias::new("window", "dedup_window")];
/// Keywords for how hosts treat repeated requests of a class.
pub(super) const REPEATS: &[Alias] = &[
    Alias::new("safe", "idempotent"),
    Alias::new("dropped by all", "deduplicated by all"),
    Alias::new("dropped by the room", "deduplicated by the zone"),
    Alias::new("dropped by the cell", "deduplicated by the cell"),
];
/// Keys of the counter in `given`.
pub(super) const COUNTER_KEYS: &[Alias] = &[
    Alias::new("is", "mode"),
    Alias::new("call", "call_duration"),
    Alias::new("parts", "shards"),
];
/// Keywords for the mode of the counter.
pub(super) const COUNTER_MODES: &[Alias] = &[Alias::new("refusing", "rejecting")];
/// Keywords for the outcome of a call to the counter.
pub(super) const COUNTER_CALL_OUTCOMES: &[Alias] = &[
    Alias::new("lost", "request lost"),
    Alias::new("refused", "rejected"),
];
/// Keywords for the outcome of an attempt.
pub(super) const ATTEMPT_OUTCOMES: &[Alias] = &[
    Alias::new("busy", "rejected"),
    Alias::new("refused", "connection refused"),
    Alias::new("reset after it ran", "reset after execution"),
    Alias::new("reset before it ran", "reset before execution"),
    Alias::new("silent after it ran", "answer lost"),
    Alias::new("silent", "request lost"),
];
/// Keys of the retry policy of clients.
pub(super) const RETRY_KEYS: &[Alias] = &[Alias::new("elsewhere", "next_limiter")];
/// Keys of a step.
pub(super) const STEP_KEYS: &[Alias] = &[
    Alias::new("die", "crash"),
    Alias::new("vanish", "isolate"),
    Alias::new("cost", "true_units"),
    Alias::new("wait", "timeout"),
];
/// Keywords for whether discovery notifies limiters.
pub(super) const DISCOVERY_MODES: &[Alias] = &[Alias::new("tells", "notifying")];
/// Keys of a requirement.
pub(super) const REQUIREMENT_KEYS: &[Alias] = &[
    Alias::new("runs", "executions"),
    Alias::new("open", "concurrent_attempts"),
    Alias::new("sent", "forwarded"),
    Alias::new("refused", "rejected"),
    Alias::new("crossings", "cross_zone_attempts"),
    Alias::new("told", "retry_after"),
    Alias::new("tries", "requests"),
];
/// Keywords that restrict a requirement to first requests or retries.
pub(super) const REQUEST_KINDS: &[Alias] = &[Alias::new("further", "retries")];
/// Keywords for the events of `never` and `always`.
pub(super) const REQUEST_EVENTS: &[Alias] = &[
    Alias::new("reaches a cold node", "reaches a node in slow start"),
    Alias::new("leaves its room", "leaves its zone"),
    Alias::new("meets a node twice", "reaches a node twice"),
    Alias::new("is refused", "is rejected"),
    Alias::new("is refused untold", "is rejected without retry_after"),
];
