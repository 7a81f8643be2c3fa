//! Quantities with their units: times, shares and counts as people write them.

use crate::tree::{Content, Node};

/// A time in nanoseconds from `250ms`, `2s`, `1m 30s`; a bare number has no unit and is refused, save 0.
///
/// # Errors
/// What is wrong with it, and what would do.
pub fn time(node: &Node) -> Result<u64, String> {
    match &node.content {
        Content::Text(text) => time_of(text),
        Content::Number(number) if *number == 0.0 => Ok(0),
        Content::Number(number) => Err(format!(
            "{number} has no unit; write a time such as 250ms or 2s"
        )),
        _ => Err("not a time; write one such as 250ms or 2s".to_owned()),
    }
}

/// A time in nanoseconds from text.
///
/// # Errors
/// What is wrong with it, and what would do.
pub fn time_of(text: &str) -> Result<u64, String> {
    let text = text.trim();
    // The library takes no fractions such as 0.5s; ours are a number and one unit.
    let split = text
        .find(|c: char| c.is_ascii_alphabetic())
        .unwrap_or(text.len());
    if let (Ok(number), Some(unit)) = (text[..split].trim().parse::<f64>(), unit(&text[split..])) {
        let nanos = number * unit;
        return if (0.0..9e18).contains(&nanos) {
            Ok(nanos.round() as u64)
        } else {
            Err(format!("{text:?} is not between 0 and 292 years"))
        };
    }
    humantime::parse_duration(text)
        .map(|time| time.as_nanos() as u64)
        .map_err(|_| format!("{text:?} is not a time; write one such as 250ms or 2s"))
}

fn unit(text: &str) -> Option<f64> {
    match text.trim() {
        "ns" => Some(1.0),
        "us" => Some(1e3),
        "ms" => Some(1e6),
        "s" => Some(1e9),
        "m" | "min" => Some(60e9),
        "h" => Some(3600e9),
        _ => None,
    }
}

/// A time as people read it, to three figures.
pub fn show_time(nanos: u64) -> String {
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

/// A number that is not negative.
///
/// # Errors
/// What is wrong with it.
pub fn number(node: &Node) -> Result<f64, String> {
    match &node.content {
        Content::Number(number) if number.is_finite() && *number >= 0.0 => Ok(*number),
        Content::Number(number) => Err(format!("{number} is not a number from 0 up")),
        _ => Err(format!(
            "{} is not a number",
            node.text().unwrap_or_else(|| "a list or map".into())
        )),
    }
}

/// A whole number within a range.
///
/// # Errors
/// What is wrong with it, and the range.
pub fn count(node: &Node, range: std::ops::RangeInclusive<u64>) -> Result<u64, String> {
    let (least, most) = (*range.start(), *range.end());
    let number = number(node)?;
    if number.fract() == 0.0 && number >= least as f64 && number <= most as f64 {
        Ok(number as u64)
    } else {
        Err(format!(
            "{number} is not a whole number from {least} to {most}"
        ))
    }
}

/// A share from `10%` or `0.1`.
///
/// # Errors
/// What is wrong with it, and what would do.
pub fn share(node: &Node) -> Result<f64, String> {
    let value = match &node.content {
        Content::Text(text) => text
            .strip_suffix('%')
            .and_then(|text| text.trim().parse::<f64>().ok())
            .map(|part| part / 100.0),
        Content::Number(number) => Some(*number),
        _ => None,
    };
    value
        .filter(|share| (0.0..=1.0).contains(share))
        .ok_or_else(|| {
            let text = node.text().unwrap_or_default();
            format!("{text:?} is not a share; write one such as 10% or 0.1")
        })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::tree::Place;

    fn text(text: &str) -> Node {
        Node {
            place: Place::default(),
            content: Content::Text(text.to_owned()),
        }
    }

    #[test]
    fn times_need_their_unit() {
        for (written, nanos) in [
            ("250ms", 250_000_000),
            ("1.5 s", 1_500_000_000),
            ("1m 30s", 90_000_000_000),
        ] {
            assert_eq!(time(&text(written)), Ok(nanos), "{written}");
        }
        for wrong in ["250", "fast", "5 parsecs", "-3s", ""] {
            assert!(time(&text(wrong)).is_err(), "{wrong}");
        }
        let bare = Node {
            place: Place::default(),
            content: Content::Number(250.0),
        };
        assert!(time(&bare).expect_err("no unit").contains("250ms"));
    }

    #[test]
    fn times_are_shown_as_they_are_read() {
        for nanos in [7, 1_500, 250_000_000, 1_500_000_000, 90_000_000_000] {
            assert_eq!(time_of(&show_time(nanos)), Ok(nanos));
        }
    }

    #[test]
    fn shares_lie_within_one() {
        assert_eq!(share(&text("10%")), Ok(0.1));
        assert!(share(&text("130%")).is_err() && share(&text("some")).is_err());
    }
}
