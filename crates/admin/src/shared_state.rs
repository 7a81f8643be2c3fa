//! The state that a process shares with the other process of its limiter.
//!
//! While a new version takes over, both processes serve, and an operator's order to either holds for both. A text that
//! cannot be parsed is ignored, and never prevents a process from starting.

use crate::drain::DrainOrder;
use crate::maintenance::MaintenanceOrder;
use crate::stored::{check_header, LimiterIdentity, StoredError};
use quartzcleat_decision::api::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// State that one process publishes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SharedState {
    /// Version of the format, see [`FORMAT_VERSION`](crate::FORMAT_VERSION).
    pub version: u32,
    /// Name of the limiter.
    pub name: String,
    /// Address on which it accepts clients.
    pub listen: String,
    /// Start of the process, in nanoseconds of Unix time.
    #[serde(rename = "born")]
    pub started_at: Nanos,
    /// Whether the process accepts clients.
    #[serde(rename = "serving")]
    pub is_serving: bool,
    /// Latest order on draining.
    pub drain: DrainOrder,
    /// Latest maintenance order for each host, by host name.
    #[serde(rename = "words")]
    pub maintenance: BTreeMap<String, MaintenanceOrder>,
    /// Names of the hosts that are recorded as listed, oldest first.
    pub listed: Vec<String>,
}

impl SharedState {
    /// Returns the state as JSON text.
    #[must_use]
    pub fn to_text(&self) -> String {
        // Strings, numbers and maps with string keys always serialize.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses the state that a process of `limiter` published.
    ///
    /// # Errors
    /// Returns an error if the text is malformed, has another format version, or is from another limiter.
    pub fn from_text(text: &str, limiter: LimiterIdentity<'_>) -> Result<Self, StoredError> {
        let state: SharedState = serde_json::from_str(text)?;
        let origin = LimiterIdentity {
            name: &state.name,
            listen: &state.listen,
        };
        check_header(state.version, origin, limiter)?;
        Ok(state)
    }
}
