//! What a process tells the other process of its limiter: while a new version takes over both serve, and a word of
//! staff to either holds for both. Versioned text; what cannot be read is no state, and never stops a start.

use crate::bans::Word;
use quartzcleat_decision::api::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The form written here. A reader takes its own form only.
pub const VERSION: u32 = 1;

/// A word that is on or off, and when it was said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Switch {
    /// On or off.
    pub on: bool,
    /// When that was said; zero: never.
    pub at: Nanos,
}

/// What one process tells.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// [`VERSION`].
    pub version: u32,
    /// The limiter's name.
    pub name: String,
    /// Where it listens for clients.
    pub listen: String,
    /// When the process started.
    pub born: Nanos,
    /// It takes clients.
    pub serving: bool,
    /// Whether clients are sent away.
    pub drain: Switch,
    /// What staff said of servers.
    pub words: BTreeMap<String, Word>,
    /// Servers that were listed at some time.
    pub listed: Vec<String>,
}

impl State {
    /// As text.
    #[must_use]
    pub fn write(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads what a process of this limiter told.
    ///
    /// # Errors
    /// Why it is none: torn, of another form, or another limiter's.
    pub fn read(text: &str, name: &str, listen: &str) -> Result<State, String> {
        let state: State =
            serde_json::from_str(text).map_err(|e| format!("cannot be read: {e}"))?;
        if state.version != VERSION {
            return Err(format!(
                "form {} is not known here, only {VERSION}",
                state.version
            ));
        }
        if (state.name.as_str(), state.listen.as_str()) != (name, listen) {
            return Err(format!("it is of {} at {}", state.name, state.listen));
        }
        Ok(state)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_written_is_read_and_nothing_else_is() {
        let word = Word {
            out: true,
            began: 3,
            at: 4,
        };
        let state = State {
            version: VERSION,
            name: "n1".into(),
            listen: "a".into(),
            words: [("s".to_owned(), word)].into(),
            ..State::default()
        };
        let text = state.write();
        assert_eq!(State::read(&text, "n1", "a"), Ok(state.clone()));
        assert!(State::read(&text, "n2", "a").is_err() && State::read(&text, "n1", "b").is_err());
        (0..text.len()).for_each(|end| {
            assert!(
                State::read(&text[..end], "n1", "a").is_err(),
                "torn at {end}"
            );
        });
        let newer = State {
            version: VERSION + 1,
            ..state
        };
        assert!(State::read(&newer.write(), "n1", "a").is_err());
    }
}
