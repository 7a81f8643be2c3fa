//! The states of other processes as they were read last.

use std::cell::RefCell;
use std::collections::HashMap;

/// How the text that a process published relates to the one read before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Seen {
    /// It is the first one of this process.
    First,
    /// It differs.
    Changed,
    /// It is the same.
    Unchanged,
}

/// The text read last from each process.
#[derive(Default)]
pub(super) struct SeenStates {
    texts: RefCell<HashMap<String, String>>,
}

impl SeenStates {
    /// Records the text that a process has published.
    pub(super) fn record(&self, process: &str, text: &str) -> Seen {
        let mut texts = self.texts.borrow_mut();
        match texts.insert(process.to_owned(), text.to_owned()) {
            None => Seen::First,
            Some(before) if before == text => Seen::Unchanged,
            Some(_) => Seen::Changed,
        }
    }
}
