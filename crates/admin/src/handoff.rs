//! The handoff from the first process of a limiter to one that starts beside it: its endpoint list, in discovery's
//! form, and a snapshot of its decision engine. It is read once; a text that cannot be read is ignored.

use crate::stored::{check_header, LimiterIdentity, StoredError, FORMAT_VERSION};
use quartzcleat_decision::EngineSnapshot;
use serde::{Deserialize, Serialize};
use serde_json::Value;

#[cfg(test)]
mod tests;

/// The handoff of one process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Handoff {
    version: u32,
    name: String,
    listen: String,
    /// Names of zones, by the indices that `learned` has for them.
    pub zones: Vec<String>,
    /// The endpoint list.
    pub list: Value,
    /// The snapshot of the decision engine.
    pub learned: EngineSnapshot,
}

impl Handoff {
    /// The handoff of a process of a limiter.
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

    /// The handoff as JSON text.
    #[must_use]
    pub fn to_text(&self) -> String {
        // Strings, numbers, lists and JSON values always serialize.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses the handoff of a process of this limiter.
    ///
    /// # Errors
    /// The text is malformed, of another format, or another limiter's.
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
