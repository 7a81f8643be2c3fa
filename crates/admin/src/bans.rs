//! Servers that staff took out of service. Their word goes before discovery's: a server that is out is passed on as
//! draining whatever a list says, until it is called back. Of two processes' words on one server the later holds.

use quartzcleat_decision::api::{HostEntry, HostState, Nanos};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Names remembered of servers that were listed at some time; the oldest is forgotten first.
const NAMES: usize = 16_384;

/// The latest word of staff on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// Whether it is out of service.
    pub out: bool,
    /// When it went out of service.
    pub began: Nanos,
    /// When this was said.
    pub at: Nanos,
}

/// The id was never listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unknown;

/// The servers listed so far, and what staff said of them.
#[derive(Clone, Debug, Default)]
pub struct Bans {
    listed: BTreeSet<String>,
    order: VecDeque<String>,
    words: BTreeMap<String, Word>,
    revision: u64,
}

impl Bans {
    /// Remembers that a server was listed.
    pub fn list(&mut self, name: &str) {
        if self.listed.contains(name) {
            return;
        }
        self.revision += 1;
        self.listed.insert(name.to_owned());
        self.order.push_back(name.to_owned());
        if self.order.len() > NAMES {
            let oldest = self.order.pop_front().unwrap_or_default();
            self.listed.remove(&oldest);
        }
    }

    /// Whether a server was listed at some time, or staff spoke of it.
    #[must_use]
    pub fn knows(&self, name: &str) -> bool {
        self.listed.contains(name) || self.words.contains_key(name)
    }

    /// Takes a server out of service; whether that changed anything.
    ///
    /// # Errors
    /// It was never listed.
    pub fn disable(&mut self, name: &str, now: Nanos) -> Result<bool, Unknown> {
        if !self.knows(name) {
            return Err(Unknown);
        }
        if self.is_out(name) {
            return Ok(false);
        }
        let at = self
            .words
            .get(name)
            .map_or(now, |word| now.max(word.at + 1));
        self.words.insert(
            name.to_owned(),
            Word {
                out: true,
                began: at,
                at,
            },
        );
        self.revision += 1;
        Ok(true)
    }

    /// Calls a server back; whether that changed anything. One call ends any number of calls out.
    ///
    /// # Errors
    /// It was never listed.
    pub fn enable(&mut self, name: &str, now: Nanos) -> Result<bool, Unknown> {
        match self.words.get_mut(name) {
            Some(word) if word.out => {
                (word.out, word.at) = (false, now.max(word.at + 1));
                self.revision += 1;
                Ok(true)
            }
            Some(_) => Ok(false),
            None if self.listed.contains(name) => Ok(false),
            None => Err(Unknown),
        }
    }

    /// Whether a server is out of service.
    #[must_use]
    pub fn is_out(&self, name: &str) -> bool {
        self.words.get(name).is_some_and(|word| word.out)
    }

    /// What is believed of a server of which discovery tells this. Guards against a server that was restarted while
    /// it was out being taken for warm, where discovery has not told of its start yet: it counts as started when it
    /// was called back.
    #[must_use]
    pub fn judge(&self, name: &str, entry: &HostEntry) -> HostEntry {
        let mut entry = entry.clone();
        match self.words.get(name) {
            Some(word) if word.out && entry.state == HostState::Ready => {
                entry.state = HostState::Draining;
            }
            Some(word) if !word.out && entry.started < word.began => entry.started = word.at,
            _ => {}
        }
        entry
    }

    /// Takes in another process's words; the servers of which something else is believed now.
    pub fn merge(&mut self, words: &BTreeMap<String, Word>) -> Vec<String> {
        let mut changed = Vec::new();
        for (name, word) in words {
            if self.words.get(name).is_none_or(|held| held.at < word.at) {
                self.words.insert(name.clone(), *word);
                self.revision += 1;
                changed.push(name.clone());
            }
        }
        changed
    }

    /// Changes with everything that is held here.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All words.
    #[must_use]
    pub fn words(&self) -> &BTreeMap<String, Word> {
        &self.words
    }

    /// The names of servers listed so far.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.order.iter()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quartzcleat_decision::api::HostId;

    fn entry(state: HostState, started: Nanos) -> HostEntry {
        HostEntry {
            host: HostId(1),
            state,
            started,
            ..HostEntry::default()
        }
    }

    #[test]
    fn a_ban_outlasts_whatever_discovery_says_and_one_call_back_ends_it() {
        let mut bans = Bans::default();
        assert_eq!(bans.disable("s", 10), Err(Unknown));
        assert_eq!(bans.enable("s", 10), Err(Unknown));
        bans.list("s");
        assert_eq!(
            (bans.disable("s", 10), bans.disable("s", 11)),
            (Ok(true), Ok(false))
        );
        for (told, believed) in [
            (HostState::Ready, HostState::Draining),
            (HostState::Draining, HostState::Draining),
            (HostState::Gone, HostState::Gone),
            (HostState::Ready, HostState::Draining),
        ] {
            assert_eq!(bans.judge("s", &entry(told, 12)).state, believed);
        }
        assert_eq!(
            (bans.enable("s", 20), bans.enable("s", 21)),
            (Ok(true), Ok(false))
        );
        assert_eq!(
            bans.judge("s", &entry(HostState::Ready, 12)),
            entry(HostState::Ready, 12)
        );
        // Until discovery tells of its restart it counts as started when it was called back.
        assert_eq!(bans.judge("s", &entry(HostState::Ready, 5)).started, 20);
    }

    #[test]
    fn of_two_processes_words_the_later_holds_in_whatever_order_they_come() {
        let (mut one, mut two) = (Bans::default(), Bans::default());
        one.list("s");
        one.disable("s", 10).expect("listed");
        assert_eq!(two.merge(one.words()), ["s"]);
        two.enable("s", 20).expect("known by the word");
        let (old, new) = (one.words().clone(), two.words().clone());
        assert!(two.merge(&old).is_empty() && !two.is_out("s"));
        assert_eq!(one.merge(&new), ["s"]);
        assert!(!one.is_out("s") && one.words() == two.words());
    }

    #[test]
    fn names_are_bounded() {
        let mut bans = Bans::default();
        (0..NAMES + 10).for_each(|n| bans.list(&n.to_string()));
        assert_eq!(
            (bans.names().count(), bans.disable("3", 1)),
            (NAMES, Err(Unknown))
        );
    }
}
