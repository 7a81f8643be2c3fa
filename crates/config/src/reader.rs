//! A reader for the keys of a map. Keys that no caller reads are reported as unknown, and faults are collected rather
//! than returned at the first one. A renamed key is still accepted by its former name.

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

/// A former name of a key or keyword, which is still accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Alias {
    /// The former name, accepted in files.
    pub former: &'static str,
    /// The present name, used in code and messages.
    pub present: &'static str,
}

impl Alias {
    /// Creates an alias for `present`.
    #[must_use]
    pub const fn new(former: &'static str, present: &'static str) -> Self {
        Alias { former, present }
    }
}

/// Returns the present name for a former one; any other name is returned unchanged.
#[must_use]
pub fn present_name<'a>(name: &'a str, aliases: &[Alias]) -> &'a str {
    aliases
        .iter()
        .find(|alias| alias.former == name)
        .map_or(name, |alias| alias.present)
}

/// A reader for the entries of one map. Its methods add faults to the caller's list and return `None` for invalid
/// values.
pub struct Reader<'a> {
    file: &'a Arc<str>,
    path: String,
    place: Place,
    entries: &'a [Entry],
    known: Vec<&'static str>,
    aliases: &'static [Alias],
}

impl<'a> Reader<'a> {
    /// Creates a reader for the map `node`, whose path in the file is `path`. Null counts as an empty map, and any
    /// other value as an empty map with a fault.
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

    /// Accepts the former names of keys as well.
    #[must_use]
    pub fn with_aliases(mut self, aliases: &'static [Alias]) -> Self {
        self.aliases = aliases;
        self
    }

    /// Returns the location where the map begins.
    #[must_use]
    pub fn place(&self) -> Place {
        self.place
    }

    /// Returns the path of a key of this map. A key that the file gives by its former name has that name in the path.
    #[must_use]
    pub fn path(&self, key: &str) -> String {
        let spelling = self.entry(key).map_or(key, |entry| &entry.key);
        join(&self.path, spelling)
    }

    /// Returns the name of the file.
    #[must_use]
    pub fn file(&self) -> &'a Arc<str> {
        self.file
    }

    /// Adds a fault at a key, or at the beginning of the map if the key is missing.
    pub fn fault(&self, key: &str, problem: impl Display, faults: &mut Faults) {
        let place = self.entry(key).map_or(self.place, |entry| entry.place);
        faults.add(self.file, place, self.path(key), problem);
    }

    /// Returns the value of a key, and marks the key as known for [`Self::end`].
    pub fn node(&mut self, key: &'static str) -> Option<&'a Node> {
        self.known.push(key);
        self.entry(key).map(|entry| &entry.value)
    }

    /// Returns whether the map has a key, under its present or former name.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        self.entry(key).is_some()
    }

    fn entry(&self, key: &str) -> Option<&'a Entry> {
        self.entries
            .iter()
            .find(|entry| present_name(&entry.key, self.aliases) == key)
    }

    /// Reads an optional key with `read`. An error of `read` becomes a fault at the value.
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

    /// Reads a required key with `read`. A missing key is a fault, and so is an error of `read`.
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

    /// Reads an optional duration.
    pub fn duration(&mut self, key: &'static str, faults: &mut Faults) -> Option<Duration> {
        self.take(key, faults, quantity::duration)
            .map(Duration::from_nanos)
    }

    /// Reads an optional keyword, and returns its value in the table `keywords`.
    pub fn keyword<T: Copy>(
        &mut self,
        key: &'static str,
        keywords: &[(&str, T)],
        faults: &mut Faults,
    ) -> Option<T> {
        self.take(key, faults, |node| one_of(&text(node)?, keywords))
    }

    /// Finishes reading. Adds a fault for each key that was not read, and for each key that is given under both its
    /// former and its present name.
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
                let problem = format!("former name of {present}, which is also given");
                faults.add(self.file, *place, join(&self.path, key), problem);
            }
        }
    }

    /// Returns the message for an unknown key. For a key that resembles a former name, it suggests the present name.
    fn unknown_key(&self, key: &str) -> String {
        let former = self.aliases.iter().map(|alias| alias.former);
        match nearest(key, self.known.iter().copied().chain(former)) {
            Some(nearest) => {
                let nearest = present_name(nearest, self.aliases);
                format!("unknown key; did you mean {nearest}?")
            }
            None => format!("unknown key; expected one of: {}", self.known.join(", ")),
        }
    }
}

/// Returns the value of a keyword in a table.
///
/// # Errors
/// Returns an error if the table does not have the keyword.
pub fn one_of<T: Copy>(keyword: &str, keywords: &[(&str, T)]) -> Result<T, ValueError> {
    if let Some((_, value)) = keywords.iter().find(|(known, _)| *known == keyword) {
        Ok(*value)
    } else {
        let accepted: Vec<_> = keywords.iter().map(|(known, _)| *known).collect();
        Err(ValueError::unknown_keyword(keyword, &accepted))
    }
}

/// Returns the value of a keyword, given by its present or former name, in a table.
///
/// # Errors
/// Returns an error if the table does not have the keyword.
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
/// Returns an error if the node is a list or a map.
pub fn text(node: &Node) -> Result<String, ValueError> {
    node.text().ok_or(ValueError::NotText)
}

/// Reads a boolean.
///
/// # Errors
/// Returns an error if the node is neither `true` nor `false`.
pub fn flag(node: &Node) -> Result<bool, ValueError> {
    match node.content {
        Content::Flag(flag) => Ok(flag),
        _ => Err(ValueError::NotBool),
    }
}

/// Returns the members of a list. Null counts as an empty list, and any other value as a list of one.
#[must_use]
pub fn list(node: &Node) -> &[Node] {
    match &node.content {
        Content::List(list) => list,
        Content::Null => &[],
        _ => std::slice::from_ref(node),
    }
}
