//! The state that a process shares with the other process of its limiter.
//!
//! While a new version takes over, both processes serve, and an operator command to either holds for both. A text that
//! cannot be read is no state, and never stops a start.

use crate::drain::DrainOrder;
use crate::maintenance::MaintenanceOrder;
use crate::stored::{check_header, LimiterIdentity, StoredError};
use quartzcleat_decision::api::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The state that one process publishes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SharedState {
    /// [`FORMAT_VERSION`](crate::FORMAT_VERSION).
    pub version: u32,
    /// The limiter's name.
    pub name: String,
    /// Where it listens for clients.
    pub listen: String,
    /// When the process started, in Unix time.
    #[serde(rename = "born")]
    pub started_at: Nanos,
    /// The process accepts clients.
    #[serde(rename = "serving")]
    pub is_serving: bool,
    /// The latest order on draining.
    pub drain: DrainOrder,
    /// The latest order on each host.
    #[serde(rename = "words")]
    pub maintenance: BTreeMap<String, MaintenanceOrder>,
    /// Hosts that were listed at some time.
    pub listed: Vec<String>,
}

impl SharedState {
    /// The state as JSON text.
    #[must_use]
    pub fn to_text(&self) -> String {
        // Strings, numbers and maps with string keys always serialize.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses the state that a process of this limiter published.
    ///
    /// # Errors
    /// The text is malformed, of another format, or another limiter's.
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
