//! Parsing and formatting of human-readable quantities: durations, numbers, counts and fractions.

use crate::tree::{Content, Node};
use crate::value::ValueError;
use std::ops::RangeInclusive;

#[cfg(test)]
mod tests;

/// Upper bound of durations in nanoseconds, about 285 years. Longer ones do not fit the integer types of time.
const MAX_DURATION_NANOS: f64 = 9e18;

/// Reads a duration such as `250ms`, `2s` or `1m 30s`, and returns it in nanoseconds. Numbers other than 0 need a unit.
///
/// # Errors
/// Returns an error if the node is not a duration.
pub fn duration(node: &Node) -> Result<u64, ValueError> {
    match &node.content {
        Content::Text(text) => parse_duration(text),
        Content::Number(number) if *number == 0.0 => Ok(0),
        Content::Number(number) => Err(ValueError::MissingUnit { number: *number }),
        _ => Err(ValueError::NotDuration),
    }
}

/// Parses a duration such as `250ms` or `1m 30s`, and returns it in nanoseconds.
///
/// # Errors
/// Returns an error if the text is not a duration, or the duration is out of range.
pub fn parse_duration(text: &str) -> Result<u64, ValueError> {
    let text = text.trim();
    // humantime does not accept fractions such as 0.5s, so a number with a single unit is parsed here.
    match single_unit_nanos(text) {
        Some(nanos) if (0.0..MAX_DURATION_NANOS).contains(&nanos) => Ok(nanos.round() as u64),
        Some(_) => Err(ValueError::DurationOutOfRange {
            text: text.to_owned(),
        }),
        None => humantime::parse_duration(text)
            .map(|duration| duration.as_nanos() as u64)
            .map_err(|_| ValueError::InvalidDuration {
                text: text.to_owned(),
            }),
    }
}

fn single_unit_nanos(text: &str) -> Option<f64> {
    let unit_start = text
        .find(|character: char| character.is_ascii_alphabetic())
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(unit_start);
    let number: f64 = number.trim().parse().ok()?;
    Some(number * unit_nanos(unit.trim())?)
}

fn unit_nanos(unit: &str) -> Option<f64> {
    match unit {
        "ns" => Some(1.0),
        "us" => Some(1e3),
        "ms" => Some(1e6),
        "s" => Some(1e9),
        "m" | "min" => Some(60e9),
        "h" => Some(3600e9),
        _ => None,
    }
}

/// Formats a duration in the largest unit from ns to s in which it is at least 1, with at most three decimal places.
#[must_use]
pub fn format_duration(nanos: u64) -> String {
    let (value, unit) = match nanos {
        0 => return "0".to_owned(),
        1..1_000 => (nanos as f64, "ns"),
        1_000..1_000_000 => (nanos as f64 / 1e3, "us"),
        1_000_000..1_000_000_000 => (nanos as f64 / 1e6, "ms"),
        _ => (nanos as f64 / 1e9, "s"),
    };
    let text = format!("{value:.3}");
    format!("{}{unit}", text.trim_end_matches('0').trim_end_matches('.'))
}

/// Reads a finite, non-negative number.
///
/// # Errors
/// Returns an error if the node is not such a number.
pub fn number(node: &Node) -> Result<f64, ValueError> {
    match &node.content {
        Content::Number(number) if number.is_finite() && *number >= 0.0 => Ok(*number),
        Content::Number(number) => Err(ValueError::NegativeNumber { number: *number }),
        _ => Err(ValueError::NotNumber {
            text: node.text().unwrap_or_else(|| "a list or map".to_owned()),
        }),
    }
}

/// Reads an integer within `range`.
///
/// # Errors
/// Returns an error if the node is not such a number.
pub fn count(node: &Node, range: RangeInclusive<u64>) -> Result<u64, ValueError> {
    let min = *range.start();
    let max = *range.end();
    let number = number(node)?;
    if number.fract() == 0.0 && number >= min as f64 && number <= max as f64 {
        Ok(number as u64)
    } else {
        Err(ValueError::CountOutOfRange { number, min, max })
    }
}

/// Reads a fraction from 0 to 1, written as `10%` or `0.1`.
///
/// # Errors
/// Returns an error if the node is not such a fraction.
pub fn share(node: &Node) -> Result<f64, ValueError> {
    let value = match &node.content {
        Content::Text(text) => parse_percentage(text),
        Content::Number(number) => Some(*number),
        _ => None,
    };
    value
        .filter(|share| (0.0..=1.0).contains(share))
        .ok_or_else(|| ValueError::InvalidFraction {
            text: node.text().unwrap_or_default(),
        })
}

fn parse_percentage(text: &str) -> Option<f64> {
    let percentage: f64 = text.strip_suffix('%')?.trim().parse().ok()?;
    Some(percentage / 100.0)
}
