//! A map read key by key: what is not read in the end is unknown, and every fault is kept, not only the first.

use crate::fault::{nearest, Faults};
use crate::tree::{Content, Node, Place};
use std::sync::Arc;

/// Reads one map. Every accessor notes its fault and goes on with a default.
pub struct Reader<'a> {
    file: &'a Arc<str>,
    path: String,
    place: Place,
    members: &'a [(String, Place, Node)],
    known: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    /// A reader of a node that is to be a map; null counts as an empty one.
    pub fn new(file: &'a Arc<str>, path: &str, node: &'a Node, faults: &mut Faults) -> Self {
        let members: &[_] = match &node.content {
            Content::Map(members) => members,
            Content::Null => &[],
            _ => {
                faults.add(file, node.place, path, "not a map; write key: value lines");
                &[]
            }
        };
        Reader {
            file,
            path: path.to_owned(),
            place: node.place,
            members,
            known: Vec::new(),
        }
    }

    /// Where the map begins.
    pub fn place(&self) -> Place {
        self.place
    }

    /// The full path of a key.
    pub fn path(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// The file's name.
    pub fn file(&self) -> &'a Arc<str> {
        self.file
    }

    /// Notes a fault at a key, or at the map where the key is missing.
    pub fn fault(&self, key: &str, problem: impl Into<String>, faults: &mut Faults) {
        let at = self
            .members
            .iter()
            .find(|(name, ..)| name == key)
            .map_or(self.place, |(_, place, _)| *place);
        faults.add(self.file, at, self.path(key), problem);
    }

    /// The node of a key, which is known from now on.
    pub fn node(&mut self, key: &'static str) -> Option<&'a Node> {
        self.known.push(key);
        self.members
            .iter()
            .find(|(name, ..)| name == key)
            .map(|(.., node)| node)
    }

    /// Reads a key, where it is there, by a rule that says what is wrong.
    pub fn take<T>(
        &mut self,
        key: &'static str,
        faults: &mut Faults,
        rule: impl FnOnce(&'a Node) -> Result<T, String>,
    ) -> Option<T> {
        let node = self.node(key)?;
        match rule(node) {
            Ok(value) => Some(value),
            Err(problem) => {
                faults.add(self.file, node.place, self.path(key), problem);
                None
            }
        }
    }

    /// Reads a key that must be there.
    pub fn need<T>(
        &mut self,
        key: &'static str,
        faults: &mut Faults,
        rule: impl FnOnce(&'a Node) -> Result<T, String>,
    ) -> Option<T> {
        if self.node(key).is_none() {
            self.fault(key, "missing", faults);
            return None;
        }
        self.take(key, faults, rule)
    }

    /// Reads a key that holds one of some words.
    pub fn word<T: Copy>(
        &mut self,
        key: &'static str,
        words: &[(&str, T)],
        faults: &mut Faults,
    ) -> Option<T> {
        self.take(key, faults, |node| one_of(&text(node)?, words))
    }

    /// Ends the reading: each key that nobody asked for is a fault.
    pub fn end(self, faults: &mut Faults) {
        for (name, place, _) in self.members {
            if !self.known.contains(&name.as_str()) {
                let near = nearest(name, self.known.iter().copied());
                let hint = match near {
                    Some(near) => format!("unknown key; did you mean {near}?"),
                    None => format!("unknown key; known here: {}", self.known.join(", ")),
                };
                faults.add(self.file, *place, self.path(name), hint);
            }
        }
    }
}

/// The value of a word, or what is wrong with it.
///
/// # Errors
/// The words that would do.
pub fn one_of<T: Copy>(word: &str, words: &[(&str, T)]) -> Result<T, String> {
    match words.iter().find(|(known, _)| *known == word) {
        Some((_, value)) => Ok(*value),
        None => {
            let known: Vec<_> = words.iter().map(|(known, _)| *known).collect();
            Err(match nearest(word, known.iter().copied()) {
                Some(near) => format!("{word:?} is not known; did you mean {near}?"),
                None => format!("{word:?} is not known; one of {}", known.join(", ")),
            })
        }
    }
}

/// A node's text.
///
/// # Errors
/// Where it is a list or a map.
pub fn text(node: &Node) -> Result<String, String> {
    node.text().ok_or_else(|| "not a text".to_owned())
}

/// A node's flag.
///
/// # Errors
/// Where it is neither true nor false.
pub fn flag(node: &Node) -> Result<bool, String> {
    match node.content {
        Content::Flag(flag) => Ok(flag),
        _ => Err("neither true nor false".to_owned()),
    }
}

/// A node's list; a scalar counts as a list of one.
pub fn list(node: &Node) -> &[Node] {
    match &node.content {
        Content::List(list) => list,
        Content::Null => &[],
        _ => std::slice::from_ref(node),
    }
}
