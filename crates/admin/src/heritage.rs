//! What the first process of a limiter hands to one that starts beside it: the list of hosts it holds, in discovery's
//! form, and what its module has learned. Versioned text, read once; what cannot be read is left alone.

use quartzcleat_decision::EngineSnapshot;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The form written here. A reader takes its own form only.
const VERSION: u32 = 1;

/// What is handed over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heritage {
    version: u32,
    name: String,
    listen: String,
    /// Names of zones, by the numbers that `learned` has for them.
    pub zones: Vec<String>,
    /// The list of hosts.
    pub list: Value,
    /// What the module has learned.
    pub learned: EngineSnapshot,
}

impl Heritage {
    /// What a limiter of this name and address hands over.
    #[must_use]
    pub fn new(
        name: &str,
        listen: &str,
        zones: Vec<String>,
        list: Value,
        learned: EngineSnapshot,
    ) -> Self {
        Heritage {
            version: VERSION,
            name: name.to_owned(),
            listen: listen.to_owned(),
            zones,
            list,
            learned,
        }
    }

    /// As text.
    #[must_use]
    pub fn write(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads what a process of this limiter handed over.
    ///
    /// # Errors
    /// Why it is none: torn, of another form, or another limiter's.
    pub fn read(text: &str, name: &str, listen: &str) -> Result<Self, String> {
        let told: Heritage =
            serde_json::from_str(text).map_err(|e| format!("cannot be read: {e}"))?;
        if told.version != VERSION {
            return Err(format!(
                "form {} is not known here, only {VERSION}",
                told.version
            ));
        }
        if (told.name.as_str(), told.listen.as_str()) != (name, listen) {
            return Err(format!("it is of {} at {}", told.name, told.listen));
        }
        Ok(told)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quartzcleat_decision::{HostSnapshot, SlownessSnapshot};

    #[test]
    fn a_heritage_is_read_whole_or_not_at_all() {
        let host = HostSnapshot {
            host: 7,
            started: 3,
            slowness: SlownessSnapshot {
                value: 1.25,
                evidence: 4.0,
                measured_at: 9,
            },
            concurrency_limit: 2.5,
        };
        let learned = EngineSnapshot {
            at: 9,
            hosts: vec![host],
            ..EngineSnapshot::default()
        };
        let told = Heritage::new(
            "n1",
            "a",
            vec!["z".into()],
            serde_json::json!({"generation": 4}),
            learned,
        );
        let text = told.write();
        assert_eq!(Heritage::read(&text, "n1", "a"), Ok(told));
        assert!(
            Heritage::read(&text, "n2", "a").is_err() && Heritage::read(&text, "n1", "b").is_err()
        );
        assert!(
            Heritage::read(&text.replace("\"version\":1", "\"version\":2"), "n1", "a").is_err()
        );
        (0..text.len())
            .for_each(|end| assert!(Heritage::read(&text[..end], "n1", "a").is_err(), "at {end}"));
    }
}
