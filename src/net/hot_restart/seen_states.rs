//! The states of other processes, as last read.

use std::cell::RefCell;
use std::collections::HashMap;

/// Relation of a text that a process published to the one read from it before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Seen {
    /// It is the first text read from this process.
    First,
    /// It differs from the previous text.
    Changed,
    /// It equals the previous text.
    Unchanged,
}

/// The text last read from each process, by process name.
#[derive(Default)]
pub(super) struct SeenStates {
    texts: RefCell<HashMap<String, String>>,
}

impl SeenStates {
    /// Records the text that a process has published; returns how it relates to the previous one.
    pub(super) fn record(&self, process: &str, text: &str) -> Seen {
        let mut texts = self.texts.borrow_mut();
        match texts.insert(process.to_owned(), text.to_owned()) {
            None => Seen::First,
            Some(before) if before == text => Seen::Unchanged,
            Some(_) => Seen::Changed,
        }
    }
}
