//! Changes of the example configuration that tests start limiters with.

/// Replaces a text that the configuration contains.
///
/// # Panics
/// Panics where it does not.
#[must_use]
pub fn replace(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "{from} is not in the configuration");
    text.replace(from, to)
}

/// A single request may be in progress.
#[must_use]
pub fn with_one_request_in_progress(text: &str) -> String {
    replace(text, "\"openCap\": 20000", "\"openCap\": 1")
}

/// Rejections state no time after which a client may retry.
#[must_use]
pub fn without_retry_after(text: &str) -> String {
    replace(text, "\"retryAfter\": true", "\"retryAfter\": false")
}

/// A limiter may hold 128 sockets, of which clients get [`CLIENT_CONNECTIONS`].
#[must_use]
pub fn with_few_sockets(text: &str) -> String {
    replace(text, "\"sockets\": 1024", "\"sockets\": 128")
}

/// The connections of clients that a limiter [`with_few_sockets`] serves.
pub const CLIENT_CONNECTIONS: u64 = 64;

/// Requests of the first class have a minute, so that only their clients end them.
#[must_use]
pub fn with_long_deadline(text: &str) -> String {
    replace(
        text,
        "\"onTimeNs\": 2000000000, \"hardLimitNs\": 7500000000",
        "\"onTimeNs\": 60000000000, \"hardLimitNs\": 60000000000",
    )
}

/// The facts of a request that uses this time up, and hardly any of its quota.
pub const LONG_FACTS: &str = "c=bed-check,t=operator,d=50000,units=0.1,spread=1,first=0";
