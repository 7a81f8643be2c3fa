//! Alternative values of a configuration key, and the display form of values.

use super::NOT_SET;
use quartzcleat_config::platform::{key_of, Kind, SettingKey};
use quartzcleat_config::quantity;
use quartzcleat_config::tree::{Content, Node};
use quartzcleat_config::Deployment;

/// Factors by which a nonzero value is multiplied.
const FACTORS: [f64; 6] = [0.5, 2.0, 0.125, 8.0, 1.0 / 64.0, 64.0];
/// Values tried in place of zero: in seconds for a time.
const NONZERO_VALUES: [f64; 3] = [1.0, 10.0, 100.0];
const NANOS_PER_SECOND: f64 = 1e9;
/// A whole number of at least this much is taken as a count, and its alternatives are rounded to whole numbers.
const SMALLEST_COUNT: f64 = 8.0;
/// Maximum number of list members whose values are tried.
const MAX_LIST_MEMBERS: usize = 16;

/// Returns the values to try in place of a key's present one.
///
/// For a time or a number these are its default, the values of the same key in other members of its list, and nearby
/// values, in this order. The list is empty for a name or an unknown key.
pub(super) fn alternatives(deployment: &Deployment, path: &str, node: &Node) -> Vec<Content> {
    let Some(SettingKey { kind, default, .. }) = key_of(path) else {
        return Vec::new();
    };
    match kind {
        Kind::Name => Vec::new(),
        Kind::Flag => {
            let is_set = node.content == Content::Flag(true);
            vec![Content::Flag(!is_set)]
        }
        Kind::Keyword(keywords) => {
            let present = node.text().unwrap_or_default();
            keywords
                .iter()
                .filter(|keyword| **keyword != present)
                .map(|keyword| Content::Text((*keyword).to_owned()))
                .collect()
        }
        Kind::Duration | Kind::Number => {
            let is_time = *kind == Kind::Duration;
            let present = numeric_value(node, is_time);
            let default = default.parse().ok().filter(|default| *default != present);
            let mut values: Vec<Content> = default.map(Content::Number).into_iter().collect();
            values.extend(values_of_siblings(deployment, path));
            values.extend(
                nearby_values(present, is_time)
                    .into_iter()
                    .map(Content::Number),
            );
            values
        }
    }
}

fn numeric_value(node: &Node, is_time: bool) -> f64 {
    match &node.content {
        Content::Number(value) => *value,
        _ if is_time => quantity::duration(node).map_or(0.0, |nanos| nanos as f64),
        _ => 0.0,
    }
}

/// Returns the values of the same key in the other members of its list.
fn values_of_siblings(deployment: &Deployment, path: &str) -> Vec<Content> {
    let parts: Vec<&str> = path.split('.').collect();
    let [list, number, key] = parts.as_slice() else {
        return Vec::new();
    };
    (0..MAX_LIST_MEMBERS)
        .filter(|member| member.to_string() != *number)
        .filter_map(|member| deployment.tree.at(&format!("{list}.{member}.{key}")))
        .map(|node| node.content.clone())
        .collect()
}

fn nearby_values(present: f64, is_time: bool) -> Vec<f64> {
    let mut values = Vec::new();
    if present == 0.0 {
        let unit = if is_time { NANOS_PER_SECOND } else { 1.0 };
        values.extend(NONZERO_VALUES.map(|value| value * unit));
    }
    let is_whole = is_time || present.fract() == 0.0 && present >= SMALLEST_COUNT;
    for factor in FACTORS {
        let value = present * factor;
        if is_whole {
            values.push(value.round());
            continue;
        }
        values.push(value);
        if value.fract() != 0.0 {
            values.push(value.ceil());
        }
    }
    values
}

/// Formats a value for display: times have a unit, and a value of an unsupported kind is [`NOT_SET`].
pub(super) fn show(path: &str, content: &Content) -> String {
    let kind = key_of(path).map(|key| key.kind);
    match (content, kind) {
        (Content::Number(nanos), Some(Kind::Duration)) if *nanos >= 0.0 => {
            quantity::format_duration(*nanos as u64)
        }
        (Content::Number(value), _) => format!("{value}"),
        (Content::Flag(flag), _) => flag.to_string(),
        (Content::Text(text), _) => text.clone(),
        _ => NOT_SET.to_owned(),
    }
}
