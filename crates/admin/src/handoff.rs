//! The handoff from a process of a limiter to a later one that takes over: its endpoint list, in discovery's format,
//! and a snapshot of its decision engine. It is read once; a text that cannot be parsed is ignored.

use crate::stored::{check_header, LimiterIdentity, StoredError, FORMAT_VERSION};
use quartzcleat_decision::EngineSnapshot;
use serde::{Deserialize, Serialize};
use serde_json::Value;

#[cfg(test)]
mod tests;

/// Endpoint list and engine snapshot that one process hands over to a later one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Handoff {
    version: u32,
    name: String,
    listen: String,
    /// Names of the zones, by the zone indices in `learned`.
    pub zones: Vec<String>,
    /// Endpoint list, in discovery's format.
    pub list: Value,
    /// Snapshot of the decision engine.
    pub learned: EngineSnapshot,
}

impl Handoff {
    /// Creates the handoff of a process of `limiter`.
    #[must_use]
    pub fn new(
        limiter: LimiterIdentity<'_>,
        zones: Vec<String>,
        list: Value,
        learned: EngineSnapshot,
    ) -> Self {
        Handoff {
            version: FORMAT_VERSION,
            name: limiter.name.to_owned(),
            listen: limiter.listen.to_owned(),
            zones,
            list,
            learned,
        }
    }

    /// Returns the handoff as JSON text.
    #[must_use]
    pub fn to_text(&self) -> String {
        // Strings, numbers, lists and JSON values always serialize.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses the handoff of a process of `limiter`.
    ///
    /// # Errors
    /// Returns an error if the text is malformed, has another format version, or is from another limiter.
    pub fn from_text(text: &str, limiter: LimiterIdentity<'_>) -> Result<Self, StoredError> {
        let handoff: Handoff = serde_json::from_str(text)?;
        let origin = LimiterIdentity {
            name: &handoff.name,
            listen: &handoff.listen,
        };
        check_header(handoff.version, origin, limiter)?;
        Ok(handoff)
    }
}
