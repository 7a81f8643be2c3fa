//! Values of YAML and JSON files as a tree whose nodes know their places. JSON is parsed as YAML, of which it is a subset.

mod edit;
mod parse;
#[cfg(test)]
mod tests;

pub use parse::parse;

use crate::key_path::join;
use serde_json::Value;

/// Below this, a floating-point number that is whole is written as an integer without loss.
pub(crate) const MAX_WHOLE_NUMBER: f64 = 9e15;

/// A place in a file. Lines and columns count from one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    /// The line.
    pub line: u32,
    /// The column.
    pub column: u32,
}

/// The value of a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// No value.
    Null,
    /// `true` or `false`.
    Flag(bool),
    /// A number.
    Number(f64),
    /// A text.
    Text(String),
    /// Members in the order of the file.
    List(Vec<Node>),
    /// Entries in the order of the file.
    Map(Vec<Entry>),
}

/// A key of a map and its value.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The place of the key.
    pub place: Place,
    /// The value.
    pub value: Node,
}

/// A value and its place.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Where the value begins.
    pub place: Place,
    /// The value.
    pub content: Content,
}

/// A scalar, an empty list or an empty map, with its path below the node that was asked.
#[derive(Clone, Debug, PartialEq)]
pub struct Leaf<'a> {
    /// The path.
    pub path: String,
    /// The node.
    pub node: &'a Node,
}

impl Node {
    /// A scalar as text; `None` for lists and maps.
    #[must_use]
    pub fn text(&self) -> Option<String> {
        self.content.text()
    }

    /// The value of a key of a map, or the member of a list at an index.
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

    /// The node at a path of keys and indices, separated by dots.
    #[must_use]
    pub fn at(&self, path: &str) -> Option<&Node> {
        path.split('.')
            .filter(|part| !part.is_empty())
            .try_fold(self, |node, part| node.get(part))
    }

    /// All scalars, empty lists and empty maps below this node, in the order of the file.
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

    /// The value as JSON, without places.
    #[must_use]
    pub fn to_json(&self) -> Value {
        match &self.content {
            Content::Null => Value::Null,
            Content::Flag(flag) => Value::Bool(*flag),
            // Whole numbers are written as integers, because strict readers of the platform's file expect them.
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
