//! Parser of YAML and JSON files.

use super::{Content, Entry, Node, Place};
use crate::fault::{Fault, Faults};
use saphyr::{LoadableYamlNode, MarkedYaml, Marker, Scalar, YamlData};
use std::sync::Arc;

/// Maximum nesting depth. Without a bound a file could exhaust the stack; real configurations are far below it.
const MAX_DEPTH: usize = 32;

/// The reason why a file cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum ParseProblem {
    #[error("invalid YAML: {0}")]
    NotYaml(String),
    #[error("multiple YAML documents; a file must contain only one")]
    SecondDocument,
    #[error("nested more than {MAX_DEPTH} levels deep")]
    TooDeep,
    #[error("a key that is not a scalar")]
    KeyNotText,
    #[error("YAML aliases are not supported")]
    Alias,
    #[error("invalid value")]
    BadValue,
}

/// A problem and its location.
struct ParseError {
    place: Place,
    problem: ParseProblem,
}

impl From<Marker> for Place {
    fn from(marker: Marker) -> Self {
        Place {
            line: marker.line() as u32,
            column: marker.col() as u32 + 1,
        }
    }
}

/// Parses a file that contains a single document. An empty file is null.
///
/// # Errors
/// Returns a fault if the text is not YAML, contains a second document, an alias or a key that is not a scalar, or is
/// nested too deeply.
pub fn parse(file: &Arc<str>, text: &str) -> Result<Node, Faults> {
    parse_document(text).map_err(|error| {
        Faults(vec![Fault {
            file: file.clone(),
            place: error.place,
            key: String::new(),
            problem: error.problem.to_string(),
        }])
    })
}

fn parse_document(text: &str) -> Result<Node, ParseError> {
    let documents = MarkedYaml::load_from_str(text).map_err(|error| ParseError {
        place: (*error.marker()).into(),
        problem: ParseProblem::NotYaml(error.info().to_owned()),
    })?;
    match documents.as_slice() {
        [document] => to_node(document, 0),
        [] => Ok(Node {
            place: Place { line: 1, column: 1 },
            content: Content::Null,
        }),
        [_, second, ..] => Err(ParseError {
            place: second.span.start.into(),
            problem: ParseProblem::SecondDocument,
        }),
    }
}

fn to_node(yaml: &MarkedYaml<'_>, depth: usize) -> Result<Node, ParseError> {
    let place = Place::from(yaml.span.start);
    let error = |problem| ParseError { place, problem };
    if depth > MAX_DEPTH {
        return Err(error(ParseProblem::TooDeep));
    }
    let content = match &yaml.data {
        YamlData::Value(scalar) => to_content(scalar),
        YamlData::Representation(text, ..) => Content::Text(text.to_string()),
        YamlData::Sequence(members) => {
            let members = members.iter().map(|member| to_node(member, depth + 1));
            Content::List(members.collect::<Result<_, _>>()?)
        }
        YamlData::Mapping(entries) => {
            let entries = entries
                .iter()
                .map(|(key, value)| to_entry(key, value, depth + 1));
            Content::Map(entries.collect::<Result<_, _>>()?)
        }
        YamlData::Tagged(_, inner) => return to_node(inner, depth + 1),
        YamlData::Alias(_) => return Err(error(ParseProblem::Alias)),
        YamlData::BadValue => return Err(error(ParseProblem::BadValue)),
    };
    Ok(Node { place, content })
}

fn to_entry(
    key: &MarkedYaml<'_>,
    value: &MarkedYaml<'_>,
    depth: usize,
) -> Result<Entry, ParseError> {
    let place = Place::from(key.span.start);
    let text = match &key.data {
        YamlData::Value(scalar) => to_content(scalar).text(),
        YamlData::Representation(text, ..) => Some(text.to_string()),
        _ => None,
    };
    Ok(Entry {
        key: text.ok_or(ParseError {
            place,
            problem: ParseProblem::KeyNotText,
        })?,
        place,
        value: to_node(value, depth)?,
    })
}

fn to_content(scalar: &Scalar<'_>) -> Content {
    match scalar {
        Scalar::Null => Content::Null,
        Scalar::Boolean(flag) => Content::Flag(*flag),
        Scalar::Integer(number) => Content::Number(*number as f64),
        Scalar::FloatingPoint(number) => Content::Number(number.into_inner()),
        Scalar::String(text) => Content::Text(text.to_string()),
    }
}
