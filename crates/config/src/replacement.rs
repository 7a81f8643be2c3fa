//! Validation of a configuration that is to replace the current one.
//!
//! Every key of the current configuration must be in the new one. Otherwise a file that is truncated, half written or
//! lacks a key would be accepted with defaults that no operator chose.

use crate::key_path::join;
use serde_json::{Map, Value};

#[cfg(test)]
mod tests;

/// Keys that a new file may lack: they are used only when a process starts, or the platform declares them optional.
const OPTIONAL_KEYS: &[&str] = &["known", "seed", "settings.categories.N.aimStretch"];
/// Keys whose values must be numbers above zero.
const POSITIVE_KEYS: &[&str] = &[
    "settings.categories.N.hardLimitNs",
    "settings.limits.sendCap",
];
/// Lists whose members must have unique, non-empty names.
const NAMED_LISTS: &[&str] = &["settings.categories", "settings.contracts"];

/// A reason why a configuration cannot replace the current one. `path` is the full path of the key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ReplacementFault {
    /// A key of the current configuration is missing.
    #[error("{path}: missing")]
    Missing {
        /// The full path of the missing key.
        path: String,
    },
    /// A value whose type differs from that in the current configuration.
    #[error("{path}: type changed from {current} to {new}")]
    TypeChanged {
        /// The full path of the value.
        path: String,
        /// The type in the new configuration.
        new: ValueType,
        /// The type in the current configuration.
        current: ValueType,
    },
    /// A value that must be a number above zero and is not.
    #[error("{path}: {value} is not a number above zero")]
    NotPositive {
        /// The full path of the value.
        path: String,
        /// The value in the new configuration.
        value: Value,
    },
    /// An empty list of objects that the current configuration fills, or an empty name of a list member.
    #[error("{path}: empty")]
    Empty {
        /// The full path of the list or name.
        path: String,
    },
    /// A name that two members of a list have.
    #[error("{path}: duplicate name")]
    DuplicateName {
        /// The path of the second occurrence.
        path: String,
    },
}

/// The type of a JSON value, displayed in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueType {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool,
    /// A number.
    Number,
    /// A string.
    String,
    /// An array.
    Array,
    /// An object.
    Object,
}

impl ValueType {
    fn of(value: &Value) -> Self {
        match value {
            Value::Null => ValueType::Null,
            Value::Bool(_) => ValueType::Bool,
            Value::Number(_) => ValueType::Number,
            Value::String(_) => ValueType::String,
            Value::Array(_) => ValueType::Array,
            Value::Object(_) => ValueType::Object,
        }
    }
}

impl std::fmt::Display for ValueType {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            ValueType::Null => "null",
            ValueType::Bool => "a boolean",
            ValueType::Number => "a number",
            ValueType::String => "a string",
            ValueType::Array => "a list",
            ValueType::Object => "an object",
        })
    }
}

/// Returns every reason why `new` cannot replace `current`; empty if it can.
#[must_use]
pub fn check_replacement(current: &Value, new: &Value) -> Vec<ReplacementFault> {
    let mut faults = Vec::new();
    compare(&KeyPath::default(), current, new, &mut faults);
    faults
}

/// The path of a value, and its pattern: the same path with `N` in place of list indices.
#[derive(Default)]
struct KeyPath {
    path: String,
    pattern: String,
}

impl KeyPath {
    fn key(&self, key: &str) -> KeyPath {
        KeyPath {
            path: join(&self.path, key),
            pattern: join(&self.pattern, key),
        }
    }

    fn index(&self, index: usize) -> KeyPath {
        KeyPath {
            path: join(&self.path, &index.to_string()),
            pattern: join(&self.pattern, "N"),
        }
    }

    fn is_one_of(&self, patterns: &[&str]) -> bool {
        patterns.contains(&self.pattern.as_str())
    }
}

fn compare(at: &KeyPath, current: &Value, new: &Value, faults: &mut Vec<ReplacementFault>) {
    if at.is_one_of(OPTIONAL_KEYS) {
        return;
    }
    if at.is_one_of(POSITIVE_KEYS) && new.as_f64().is_none_or(|number| number <= 0.0) {
        return faults.push(ReplacementFault::NotPositive {
            path: at.path.clone(),
            value: new.clone(),
        });
    }
    let current_type = ValueType::of(current);
    let new_type = ValueType::of(new);
    if current_type != new_type {
        return faults.push(ReplacementFault::TypeChanged {
            path: at.path.clone(),
            new: new_type,
            current: current_type,
        });
    }
    match (current, new) {
        (Value::Object(current), Value::Object(new)) => compare_objects(at, current, new, faults),
        (Value::Array(current), Value::Array(new)) if current.iter().any(Value::is_object) => {
            compare_lists(at, current, new, faults);
        }
        _ => {}
    }
}

fn compare_objects(
    at: &KeyPath,
    current: &Map<String, Value>,
    new: &Map<String, Value>,
    faults: &mut Vec<ReplacementFault>,
) {
    for (key, current) in current {
        let at = at.key(key);
        match new.get(key) {
            Some(new) => compare(&at, current, new, faults),
            None if at.is_one_of(OPTIONAL_KEYS) => {}
            None => faults.push(ReplacementFault::Missing { path: at.path }),
        }
    }
}

/// Compares lists of objects. Members may be added and removed; each new member needs the keys that all current members
/// have.
fn compare_lists(
    at: &KeyPath,
    current: &[Value],
    new: &[Value],
    faults: &mut Vec<ReplacementFault>,
) {
    if new.is_empty() {
        faults.push(ReplacementFault::Empty {
            path: at.path.clone(),
        });
    }
    let required = Value::Object(common_keys(current));
    for (index, member) in new.iter().enumerate() {
        compare(&at.index(index), &required, member, faults);
    }
    if at.is_one_of(NAMED_LISTS) {
        check_names(at, new, faults);
    }
}

/// Returns the first object of a list, reduced to the keys that every object of the list has.
fn common_keys(list: &[Value]) -> Map<String, Value> {
    let mut objects = list.iter().filter_map(Value::as_object);
    let mut common = objects.next().cloned().unwrap_or_default();
    for object in objects {
        common.retain(|key, _| object.contains_key(key));
    }
    common
}

fn check_names(at: &KeyPath, list: &[Value], faults: &mut Vec<ReplacementFault>) {
    let names: Vec<_> = list
        .iter()
        .map(|member| member.get("name").and_then(Value::as_str))
        .collect();
    for (index, name) in names.iter().enumerate() {
        let path = format!("{}.{index}.name", at.path);
        match name {
            Some("") => faults.push(ReplacementFault::Empty { path }),
            Some(_) if names[..index].contains(name) => {
                faults.push(ReplacementFault::DuplicateName { path });
            }
            _ => {}
        }
    }
}
