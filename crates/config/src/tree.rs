//! Trees of YAML and JSON values with source locations. JSON is parsed as YAML, of which it is a subset.

mod edit;
mod parse;
#[cfg(test)]
mod tests;

pub use parse::parse;

use crate::key_path::join;
use serde_json::Value;

/// Bound, a little less than 2^53, below which a floating-point number without a fraction is an exact integer.
pub(crate) const MAX_WHOLE_NUMBER: f64 = 9e15;

/// A location in a file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    /// The line, counted from 1.
    pub line: u32,
    /// The column, counted from 1.
    pub column: u32,
}

/// The value of a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// `null`, or a key without a value.
    Null,
    /// A boolean.
    Flag(bool),
    /// An integer or floating-point number.
    Number(f64),
    /// A string.
    Text(String),
    /// The members of a sequence, in file order.
    List(Vec<Node>),
    /// The entries of a mapping, in file order.
    Map(Vec<Entry>),
}

/// A key of a map and its value.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The key; scalars of other types are converted to text.
    pub key: String,
    /// The location of the key.
    pub place: Place,
    /// The value of the key.
    pub value: Node,
}

/// A value with its source location.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The location where the value begins.
    pub place: Place,
    /// The value itself.
    pub content: Content,
}

/// A scalar, an empty list or an empty map within a tree.
#[derive(Clone, Debug, PartialEq)]
pub struct Leaf<'a> {
    /// The path relative to the node on which [`Node::leaves`] was called.
    pub path: String,
    /// The node of the leaf.
    pub node: &'a Node,
}

impl Node {
    /// Returns a scalar as text, with null as the empty string, or `None` for lists and maps.
    #[must_use]
    pub fn text(&self) -> Option<String> {
        self.content.text()
    }

    /// Returns the value of a key of a map, or the member of a list at an index.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Node> {
        match &self.content {
            Content::Map(entries) => entries
                .iter()
                .find(|entry| entry.key == key)
                .map(|entry| &entry.value),
            Content::List(list) => list.get(key.parse::<usize>().ok()?),
            _ => None,
        }
    }

    /// Returns the node at a path of keys and indices separated by dots. The empty path is this node.
    #[must_use]
    pub fn at(&self, path: &str) -> Option<&Node> {
        path.split('.')
            .filter(|part| !part.is_empty())
            .try_fold(self, |node, part| node.get(part))
    }

    /// Returns all scalars, empty lists and empty maps of this subtree, in file order.
    #[must_use]
    pub fn leaves(&self) -> Vec<Leaf<'_>> {
        let mut leaves = Vec::new();
        self.collect_leaves("", &mut leaves);
        leaves
    }

    fn collect_leaves<'a>(&'a self, path: &str, leaves: &mut Vec<Leaf<'a>>) {
        match &self.content {
            Content::Map(entries) if !entries.is_empty() => {
                for entry in entries {
                    entry.value.collect_leaves(&join(path, &entry.key), leaves);
                }
            }
            Content::List(list) if !list.is_empty() => {
                for (index, member) in list.iter().enumerate() {
                    member.collect_leaves(&join(path, &index.to_string()), leaves);
                }
            }
            _ => leaves.push(Leaf {
                path: path.to_owned(),
                node: self,
            }),
        }
    }

    /// Converts the value to JSON. Locations are dropped, and numbers that are not finite become null.
    #[must_use]
    pub fn to_json(&self) -> Value {
        match &self.content {
            Content::Null => Value::Null,
            Content::Flag(flag) => Value::Bool(*flag),
            // Numbers without a fraction become integers, because strict parsers of the platform's file require them.
            Content::Number(number) if number.fract() == 0.0 && number.abs() < MAX_WHOLE_NUMBER => {
                Value::from(*number as i64)
            }
            Content::Number(number) => {
                serde_json::Number::from_f64(*number).map_or(Value::Null, Value::Number)
            }
            Content::Text(text) => Value::String(text.clone()),
            Content::List(list) => Value::Array(list.iter().map(Node::to_json).collect()),
            Content::Map(entries) => Value::Object(
                entries
                    .iter()
                    .map(|entry| (entry.key.clone(), entry.value.to_json()))
                    .collect(),
            ),
        }
    }
}

impl Content {
    fn text(&self) -> Option<String> {
        match self {
            Content::Null => Some(String::new()),
            Content::Flag(flag) => Some(flag.to_string()),
            Content::Number(number) => Some(number.to_string()),
            Content::Text(text) => Some(text.clone()),
            Content::List(_) | Content::Map(_) => None,
        }
    }
}
