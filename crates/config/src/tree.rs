//! YAML as a tree whose every node knows its line. JSON is read by the same parser, as a part of YAML.

use crate::fault::{Fault, Faults};
use saphyr::{LoadableYamlNode, MarkedYaml, Marker, Scalar, YamlData};
use serde_json::Value;
use std::sync::Arc;

/// A place in a file: line and column from one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    /// Its line.
    pub line: u32,
    /// Its column.
    pub column: u32,
}

impl From<Marker> for Place {
    fn from(marker: Marker) -> Self {
        Place {
            line: marker.line() as u32,
            column: marker.col() as u32 + 1,
        }
    }
}

/// What a node holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// Nothing.
    Null,
    /// `true` or `false`.
    Flag(bool),
    /// A number.
    Number(f64),
    /// Text.
    Text(String),
    /// Members in the order of the file.
    List(Vec<Node>),
    /// Keys, their places and values, in the order of the file.
    Map(Vec<(String, Place, Node)>),
}

/// A value and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Where it begins.
    pub place: Place,
    /// What it holds.
    pub content: Content,
}

/// Deeper than this no file of ours nests; what does is turned away instead of growing the stack.
const DEPTH: usize = 32;

/// Reads the one document that a text holds.
///
/// # Errors
/// What is no YAML, holds another number of documents than one, or nests too deeply.
pub fn parse(file: &Arc<str>, text: &str) -> Result<Node, Faults> {
    let fault = |place: Place, problem: String| {
        Faults(vec![Fault {
            file: file.clone(),
            place,
            key: String::new(),
            problem,
        }])
    };
    let documents = MarkedYaml::load_from_str(text)
        .map_err(|e| fault((*e.marker()).into(), format!("not YAML: {}", e.info())))?;
    match documents.as_slice() {
        [one] => node(one, 0).map_err(|(place, problem)| fault(place, problem)),
        [] => Ok(Node {
            place: Place { line: 1, column: 1 },
            content: Content::Null,
        }),
        [_, second, ..] => Err(fault(
            second.span.start.into(),
            "a second document; one file holds one".to_owned(),
        )),
    }
}

fn node(yaml: &MarkedYaml<'_>, depth: usize) -> Result<Node, (Place, String)> {
    let place = Place::from(yaml.span.start);
    if depth > DEPTH {
        return Err((place, format!("nested more than {DEPTH} deep")));
    }
    let content = match &yaml.data {
        YamlData::Value(scalar) => self::scalar(scalar),
        YamlData::Representation(text, ..) => Content::Text(text.to_string()),
        YamlData::Sequence(list) => Content::List(
            list.iter()
                .map(|one| node(one, depth + 1))
                .collect::<Result<_, _>>()?,
        ),
        YamlData::Mapping(map) => {
            let mut members = Vec::with_capacity(map.len());
            for (key, value) in map {
                let at = Place::from(key.span.start);
                let name = match &key.data {
                    YamlData::Value(scalar) => plain(&self::scalar(scalar)),
                    YamlData::Representation(text, ..) => Some(text.to_string()),
                    _ => None,
                };
                let name = name.ok_or((at, "a key that is no plain text".to_owned()))?;
                members.push((name, at, node(value, depth + 1)?));
            }
            Content::Map(members)
        }
        YamlData::Tagged(_, inner) => return node(inner, depth + 1),
        YamlData::Alias(_) => return Err((place, "an alias, which is not used here".to_owned())),
        YamlData::BadValue => return Err((place, "a value that cannot be read".to_owned())),
    };
    Ok(Node { place, content })
}

fn scalar(scalar: &Scalar<'_>) -> Content {
    match scalar {
        Scalar::Null => Content::Null,
        Scalar::Boolean(flag) => Content::Flag(*flag),
        Scalar::Integer(number) => Content::Number(*number as f64),
        Scalar::FloatingPoint(number) => Content::Number(number.into_inner()),
        Scalar::String(text) => Content::Text(text.to_string()),
    }
}

fn plain(content: &Content) -> Option<String> {
    match content {
        Content::Null => Some(String::new()),
        Content::Flag(flag) => Some(flag.to_string()),
        Content::Number(number) => Some(number.to_string()),
        Content::Text(text) => Some(text.clone()),
        _ => None,
    }
}

impl Node {
    /// A scalar as text; `None` for lists and maps.
    pub fn text(&self) -> Option<String> {
        plain(&self.content)
    }

    /// The value of a key of a map.
    pub fn get(&self, key: &str) -> Option<&Node> {
        match &self.content {
            Content::Map(members) => members
                .iter()
                .find(|(name, ..)| name == key)
                .map(|(.., value)| value),
            Content::List(list) => list.get(key.parse::<usize>().ok()?),
            _ => None,
        }
    }

    /// The node at a path of keys and indexes with dots between them.
    pub fn at(&self, path: &str) -> Option<&Node> {
        path.split('.')
            .filter(|part| !part.is_empty())
            .try_fold(self, |node, part| node.get(part))
    }

    /// Replaces the node at a path, or adds a key to the map above it; false where neither can be done.
    pub fn set(&mut self, path: &str, value: Content) -> bool {
        let (above, key) = path.rsplit_once('.').unwrap_or(("", path));
        let Some(above) = self.at_mut(above) else {
            return false;
        };
        let place = above.place;
        match &mut above.content {
            Content::Map(members) => {
                match members.iter_mut().find(|(name, ..)| name == key) {
                    Some((.., node)) => node.content = value,
                    None => members.push((
                        key.to_owned(),
                        place,
                        Node {
                            place,
                            content: value,
                        },
                    )),
                }
                true
            }
            Content::List(list) => {
                let node = key
                    .parse::<usize>()
                    .ok()
                    .and_then(|index| list.get_mut(index));
                node.map(|node| node.content = value).is_some()
            }
            _ => false,
        }
    }

    fn at_mut(&mut self, path: &str) -> Option<&mut Node> {
        let mut parts = path.split('.').filter(|part| !part.is_empty());
        parts.try_fold(self, |node, part| match &mut node.content {
            Content::Map(members) => members
                .iter_mut()
                .find(|(name, ..)| name == part)
                .map(|(.., value)| value),
            Content::List(list) => list.get_mut(part.parse::<usize>().ok()?),
            _ => None,
        })
    }

    /// Takes a key out of the map at a path.
    pub fn remove(&mut self, path: &str) -> Option<Node> {
        let (above, key) = path.rsplit_once('.').unwrap_or(("", path));
        match &mut self.at_mut(above)?.content {
            Content::Map(members) => {
                let index = members.iter().position(|(name, ..)| name == key)?;
                Some(members.remove(index).2)
            }
            _ => None,
        }
    }

    /// The paths of all scalars below, and of empty lists and maps.
    pub fn leaves(&self) -> Vec<(String, &Node)> {
        let mut found = Vec::new();
        self.walk("", &mut found);
        found
    }

    fn walk<'a>(&'a self, path: &str, found: &mut Vec<(String, &'a Node)>) {
        let below = |key: &str| {
            if path.is_empty() {
                key.to_owned()
            } else {
                format!("{path}.{key}")
            }
        };
        match &self.content {
            Content::Map(members) if !members.is_empty() => {
                members
                    .iter()
                    .for_each(|(key, _, value)| value.walk(&below(key), found));
            }
            Content::List(list) if !list.is_empty() => {
                list.iter()
                    .enumerate()
                    .for_each(|(i, value)| value.walk(&below(&i.to_string()), found));
            }
            _ => found.push((path.to_owned(), self)),
        }
    }

    /// The tree without its places, as JSON.
    pub fn to_json(&self) -> Value {
        match &self.content {
            Content::Null => Value::Null,
            Content::Flag(flag) => Value::Bool(*flag),
            // Whole numbers stay whole: a platform's file may be read back by strict readers.
            Content::Number(number) if number.fract() == 0.0 && number.abs() < 9e15 => {
                Value::from(*number as i64)
            }
            Content::Number(number) => {
                serde_json::Number::from_f64(*number).map_or(Value::Null, Value::Number)
            }
            Content::Text(text) => Value::String(text.clone()),
            Content::List(list) => Value::Array(list.iter().map(Node::to_json).collect()),
            Content::Map(members) => Value::Object(
                members
                    .iter()
                    .map(|(key, _, value)| (key.clone(), value.to_json()))
                    .collect(),
            ),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_node_knows_its_line_in_yaml_and_in_json() {
        let yaml =
            parse(&"a.yaml".into(), "one:\n  - x: 5\n    y: 2s\ntwo: true\n").expect("sound");
        assert_eq!(
            yaml.at("one.0.y")
                .map(|node| (node.place.line, node.text())),
            Some((3, Some("2s".into())))
        );
        let json =
            parse(&"a.json".into(), "{\"one\": [\n 1,\n 2.5], \"two\": null}").expect("sound");
        assert_eq!(json.at("one.1").map(|node| node.place.line), Some(3));
        assert_eq!(
            json.to_json(),
            serde_json::json!({"one": [1, 2.5], "two": null})
        );
    }

    #[test]
    fn what_is_no_yaml_is_a_fault_with_its_line() {
        let faults = parse(&"a.yaml".into(), "one: 1\ntwo: [1\nthree: 2\n").expect_err("unclosed");
        assert!(faults.to_string().starts_with("a.yaml:"), "{faults}");
        assert!(faults.0[0].place.line >= 2, "{faults}");
        assert!(parse(&"a".into(), &"[".repeat(100)).is_err());
        assert!(parse(&"a".into(), "a: 1\n---\nb: 2\n").is_err());
    }

    #[test]
    fn a_key_can_be_set_added_and_taken_out() {
        let mut tree = parse(&"a".into(), "m: {x: 1}\nl: [1, 2]\n").expect("sound");
        assert!(tree.set("m.x", Content::Number(2.0)) && tree.set("m.y", Content::Number(3.0)));
        assert!(tree.set("l.1", Content::Flag(true)) && !tree.set("l.7", Content::Null));
        assert!(tree.remove("m.x").is_some());
        assert_eq!(
            tree.to_json(),
            serde_json::json!({"m": {"y": 3}, "l": [1, true]})
        );
    }
}
