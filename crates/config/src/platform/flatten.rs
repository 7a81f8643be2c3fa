//! Conversion of nested JSON to `path=value` pairs.

use crate::key_path::join;
use crate::tree::MAX_WHOLE_NUMBER;
use serde_json::{Number, Value};
use std::collections::BTreeMap;

/// JSON that cannot be represented as pairs.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FlattenError {
    /// The settings are not an object.
    #[error("settings: not an object")]
    NotAnObject,
    /// A list of scalars that contains a list.
    #[error("settings.{path}: nested lists are not supported")]
    NestedList {
        /// The path of the outer list.
        path: String,
    },
}

/// Converts nested JSON to `path=value` pairs. A list of objects also gets a pair `path.count`; the members of a list
/// of scalars are joined by commas.
///
/// # Errors
/// Returns an error if the value is not an object or contains a list within a list.
pub fn flatten(settings: &Value) -> Result<BTreeMap<String, String>, FlattenError> {
    let mut pairs = BTreeMap::new();
    flatten_into("", settings, &mut pairs)?;
    Ok(pairs)
}

fn flatten_into(
    path: &str,
    value: &Value,
    pairs: &mut BTreeMap<String, String>,
) -> Result<(), FlattenError> {
    match value {
        Value::Object(members) => {
            for (name, value) in members {
                flatten_into(&join(path, name), value, pairs)?;
            }
        }
        Value::Array(list) if list.iter().any(Value::is_object) => {
            pairs.insert(join(path, "count"), list.len().to_string());
            for (index, value) in list.iter().enumerate() {
                flatten_into(&join(path, &index.to_string()), value, pairs)?;
            }
        }
        Value::Array(list) => {
            let texts: Result<Vec<_>, _> = list.iter().map(|value| scalar(path, value)).collect();
            pairs.insert(path.to_owned(), texts?.join(","));
        }
        _ if path.is_empty() => return Err(FlattenError::NotAnObject),
        _ => {
            pairs.insert(path.to_owned(), scalar(path, value)?);
        }
    }
    Ok(())
}

fn scalar(path: &str, value: &Value) -> Result<String, FlattenError> {
    match value {
        Value::Null => Ok("-".to_owned()),
        Value::Bool(flag) => Ok(flag.to_string()),
        Value::String(text) => Ok(text.clone()),
        Value::Number(number) => Ok(number_text(number)),
        Value::Array(_) | Value::Object(_) => Err(FlattenError::NestedList {
            path: path.to_owned(),
        }),
    }
}

/// Formats a number for the decoder, which expects integers such as `3` and `5000000000`. In JSON, they may be written
/// as `3.0` or `5e9`.
fn number_text(number: &Number) -> String {
    match number.as_f64() {
        Some(real) if number.is_f64() && real.fract() == 0.0 && real.abs() < MAX_WHOLE_NUMBER => {
            (real as i64).to_string()
        }
        _ => number.to_string(),
    }
}
