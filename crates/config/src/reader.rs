//! Reads the keys of a map. Keys that were not asked for are unknown, and all faults are collected, not only the first.
//! A key that was renamed is still accepted by its former name.

#[cfg(test)]
mod tests;

use crate::fault::{nearest, Faults};
use crate::key_path::join;
use crate::quantity;
use crate::tree::{Content, Entry, Node, Place};
use crate::value::ValueError;
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

/// A former name that is accepted in place of the present one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Alias {
    /// The former name.
    pub former: &'static str,
    /// The present name.
    pub present: &'static str,
}

impl Alias {
    /// An alias of `present`.
    #[must_use]
    pub const fn new(former: &'static str, present: &'static str) -> Self {
        Alias { former, present }
    }
}

/// The present name for a name that may be a former one.
#[must_use]
pub fn present_name<'a>(name: &'a str, aliases: &[Alias]) -> &'a str {
    aliases
        .iter()
        .find(|alias| alias.former == name)
        .map_or(name, |alias| alias.present)
}

/// Reads one map. Each method adds its fault to the caller's list and continues without the value.
pub struct Reader<'a> {
    file: &'a Arc<str>,
    path: String,
    place: Place,
    entries: &'a [Entry],
    known: Vec<&'static str>,
    aliases: &'static [Alias],
}

impl<'a> Reader<'a> {
    /// Creates a reader for a node that must be a map; null counts as an empty map.
    pub fn new(file: &'a Arc<str>, path: &str, node: &'a Node, faults: &mut Faults) -> Self {
        let entries: &[_] = match &node.content {
            Content::Map(entries) => entries,
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
            entries,
            known: Vec::new(),
            aliases: &[],
        }
    }

    /// Accepts the former names of keys, too.
    #[must_use]
    pub fn with_aliases(mut self, aliases: &'static [Alias]) -> Self {
        self.aliases = aliases;
        self
    }

    /// The place where the map begins.
    #[must_use]
    pub fn place(&self) -> Place {
        self.place
    }

    /// The path of a key of this map, as the file spells it.
    #[must_use]
    pub fn path(&self, key: &str) -> String {
        let spelling = self.entry(key).map_or(key, |entry| &entry.key);
        join(&self.path, spelling)
    }

    /// The file's name.
    #[must_use]
    pub fn file(&self) -> &'a Arc<str> {
        self.file
    }

    /// Adds a fault at a key, or at the beginning of the map where the key is missing.
    pub fn fault(&self, key: &str, problem: impl Display, faults: &mut Faults) {
        let place = self.entry(key).map_or(self.place, |entry| entry.place);
        faults.add(self.file, place, self.path(key), problem);
    }

    /// The value of a key, which counts as known from now on.
    pub fn node(&mut self, key: &'static str) -> Option<&'a Node> {
        self.known.push(key);
        self.entry(key).map(|entry| &entry.value)
    }

    /// Whether the map has a key.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        self.entry(key).is_some()
    }

    fn entry(&self, key: &str) -> Option<&'a Entry> {
        self.entries
            .iter()
            .find(|entry| present_name(&entry.key, self.aliases) == key)
    }

    /// Reads an optional key with `read`, whose error becomes a fault.
    pub fn take<T, E: Display>(
        &mut self,
        key: &'static str,
        faults: &mut Faults,
        read: impl FnOnce(&'a Node) -> Result<T, E>,
    ) -> Option<T> {
        let node = self.node(key)?;
        match read(node) {
            Ok(value) => Some(value),
            Err(problem) => {
                faults.add(self.file, node.place, self.path(key), problem);
                None
            }
        }
    }

    /// Reads a required key with `read`, whose error becomes a fault.
    pub fn need<T, E: Display>(
        &mut self,
        key: &'static str,
        faults: &mut Faults,
        read: impl FnOnce(&'a Node) -> Result<T, E>,
    ) -> Option<T> {
        if self.node(key).is_none() {
            self.fault(key, "missing", faults);
            return None;
        }
        self.take(key, faults, read)
    }

    /// Reads an optional key that holds a duration.
    pub fn duration(&mut self, key: &'static str, faults: &mut Faults) -> Option<Duration> {
        self.take(key, faults, quantity::time)
            .map(Duration::from_nanos)
    }

    /// Reads an optional key that holds one of the keywords of a table.
    pub fn keyword<T: Copy>(
        &mut self,
        key: &'static str,
        keywords: &[(&str, T)],
        faults: &mut Faults,
    ) -> Option<T> {
        self.take(key, faults, |node| one_of(&text(node)?, keywords))
    }

    /// Ends the reading: each key that was not asked for is a fault, and so is a key that is there by its former and by its
    /// present name.
    pub fn end(self, faults: &mut Faults) {
        for Entry { key, place, .. } in self.entries {
            let present = present_name(key, self.aliases);
            if !self.known.contains(&present) {
                faults.add(
                    self.file,
                    *place,
                    join(&self.path, key),
                    self.unknown_key(key),
                );
            } else if present != key && self.entries.iter().any(|entry| entry.key == present) {
                let problem = format!("the former name of {present}, which is there too");
                faults.add(self.file, *place, join(&self.path, key), problem);
            }
        }
    }

    /// The problem with an unknown key. A key that resembles a former name is meant to be the present one.
    fn unknown_key(&self, key: &str) -> String {
        let former = self.aliases.iter().map(|alias| alias.former);
        match nearest(key, self.known.iter().copied().chain(former)) {
            Some(nearest) => {
                let nearest = present_name(nearest, self.aliases);
                format!("unknown key; did you mean {nearest}?")
            }
            None => format!("unknown key; known here: {}", self.known.join(", ")),
        }
    }
}

/// Looks a keyword up in a table.
///
/// # Errors
/// The table does not have the keyword.
pub fn one_of<T: Copy>(keyword: &str, keywords: &[(&str, T)]) -> Result<T, ValueError> {
    if let Some((_, value)) = keywords.iter().find(|(known, _)| *known == keyword) {
        Ok(*value)
    } else {
        let accepted: Vec<_> = keywords.iter().map(|(known, _)| *known).collect();
        Err(ValueError::unknown_keyword(keyword, &accepted))
    }
}

/// Looks a keyword up in a table, by its present or its former name.
///
/// # Errors
/// The table does not have the keyword.
pub fn one_of_renamed<T: Copy>(
    keyword: &str,
    keywords: &[(&str, T)],
    aliases: &[Alias],
) -> Result<T, ValueError> {
    one_of(present_name(keyword, aliases), keywords)
}

/// Reads a scalar as text.
///
/// # Errors
/// The node is a list or a map.
pub fn text(node: &Node) -> Result<String, ValueError> {
    node.text().ok_or(ValueError::NotText)
}

/// Reads `true` or `false`.
///
/// # Errors
/// The node is neither.
pub fn flag(node: &Node) -> Result<bool, ValueError> {
    match node.content {
        Content::Flag(flag) => Ok(flag),
        _ => Err(ValueError::NotFlag),
    }
}

/// The members of a list; a scalar counts as a list of one, null as an empty list.
#[must_use]
pub fn list(node: &Node) -> &[Node] {
    match &node.content {
        Content::List(list) => list,
        Content::Null => &[],
        _ => std::slice::from_ref(node),
    }
}
