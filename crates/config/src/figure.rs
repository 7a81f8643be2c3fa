//! Figures that may be written in terms of a day's settings: `plans.guide.burst * 1.1`, `classes.bed-hold.aim + 50ms`.
//!
//! The arithmetic is evalexpr's; here names and units are resolved before it. Whether a figure is a time or a plain
//! number is found by evaluating it in two units of time: a time scales with the unit, a number does not, and
//! whatever lies between mixes the two and is refused.

use crate::quantity;
use crate::tree::{Content, Node};
use std::collections::BTreeSet;

/// What a name stands for in the settings in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Named {
    /// Its value; a time in nanoseconds.
    pub value: f64,
    /// Whether it is a time.
    pub time: bool,
    /// The key of the settings that it was read from.
    pub key: String,
}

/// A figure's value and the keys it names.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Its value; a time in nanoseconds.
    pub value: f64,
    /// Whether it is a time.
    pub time: bool,
    /// The keys of the settings that it depends on.
    pub keys: BTreeSet<String>,
}

/// Evaluates the figure that a node holds.
///
/// # Errors
/// What is wrong with it: a name that is not known, arithmetic that cannot be read, a time added to a number.
pub fn evaluate(
    node: &Node,
    look: &dyn Fn(&str) -> Result<Named, String>,
) -> Result<Figure, String> {
    match &node.content {
        Content::Number(value) => Ok(Figure {
            value: *value,
            time: false,
            keys: BTreeSet::new(),
        }),
        Content::Text(text) => evaluate_text(text, look),
        _ => Err("not a figure; write a number, a time or a formula".to_owned()),
    }
}

/// Evaluates a figure that must be a time, in nanoseconds.
///
/// # Errors
/// As [`evaluate`], and where it is no time.
pub fn time(
    node: &Node,
    look: &dyn Fn(&str) -> Result<Named, String>,
) -> Result<(u64, BTreeSet<String>), String> {
    let figure = evaluate(node, look)?;
    if (!figure.time && figure.value != 0.0) || figure.value < 0.0 {
        return Err(format!(
            "{} is not a time; write one such as 250ms",
            node.text().unwrap_or_default()
        ));
    }
    Ok((figure.value as u64, figure.keys))
}

/// Evaluates a figure that must be a plain number.
///
/// # Errors
/// As [`evaluate`], and where it is a time.
pub fn number(
    node: &Node,
    look: &dyn Fn(&str) -> Result<Named, String>,
) -> Result<(f64, BTreeSet<String>), String> {
    let figure = evaluate(node, look)?;
    if figure.time {
        return Err(format!(
            "{} is a time where a number belongs",
            node.text().unwrap_or_default()
        ));
    }
    Ok((figure.value, figure.keys))
}

enum Token {
    Time(f64),
    Plain(String),
}

fn evaluate_text(
    text: &str,
    look: &dyn Fn(&str) -> Result<Named, String>,
) -> Result<Figure, String> {
    let (mut tokens, mut keys) = (Vec::new(), BTreeSet::new());
    let chars: Vec<char> = text.chars().collect();
    let mut at = 0;
    while at < chars.len() {
        let c = chars[at];
        let from = at;
        if c.is_ascii_digit() {
            while at < chars.len() && (chars[at].is_ascii_digit() || chars[at] == '.') {
                at += 1;
            }
            let number: String = chars[from..at].iter().collect();
            let unit_from = at;
            while at < chars.len() && chars[at].is_ascii_alphabetic() {
                at += 1;
            }
            let unit: String = chars[unit_from..at].iter().collect();
            if unit.is_empty() {
                let value: f64 = number
                    .parse()
                    .map_err(|_| format!("{number} is not a number"))?;
                tokens.push(Token::Plain(format!("{value:?}")));
            } else {
                tokens.push(Token::Time(
                    quantity::time_of(&format!("{number}{unit}"))? as f64
                ));
            }
        } else if c.is_ascii_alphabetic() {
            while at < chars.len() {
                let c = chars[at];
                // A hyphen or dot belongs to a name only between letters or digits, so that "a - b" subtracts.
                let joins = matches!(c, '-' | '.')
                    && chars.get(at + 1).is_some_and(|c| c.is_ascii_alphanumeric());
                if !(c.is_ascii_alphanumeric() || c == '_' || joins) {
                    break;
                }
                at += 1;
            }
            let name: String = chars[from..at].iter().collect();
            if matches!(name.as_str(), "min" | "max" | "floor" | "ceil" | "round") {
                tokens.push(Token::Plain(name));
                continue;
            }
            let named = look(&name)?;
            keys.insert(named.key);
            tokens.push(if named.time {
                Token::Time(named.value)
            } else {
                Token::Plain(format!("{:?}", named.value))
            });
        } else if " +-*/(),".contains(c) {
            tokens.push(Token::Plain(c.to_string()));
            at += 1;
        } else {
            return Err(format!("{c:?} has no place in a figure"));
        }
    }
    let in_units_of = |unit: f64| -> Result<f64, String> {
        let text: String = tokens
            .iter()
            .map(|token| match token {
                Token::Time(nanos) => format!("{:?}", nanos / unit),
                Token::Plain(text) => text.clone(),
            })
            .collect();
        evalexpr::eval_number(&text).map_err(|e| format!("cannot reckon {:?}: {e}", text.trim()))
    };
    let (one, other) = (in_units_of(1e9)?, in_units_of(1e9 / 8.0)?);
    if !one.is_finite() {
        return Err(format!("{text:?} is not a finite number"));
    }
    let near = |a: f64, b: f64| (a - b).abs() <= 1e-9 * a.abs().max(b.abs());
    match (near(one, other), near(one * 8.0, other)) {
        (true, _) => Ok(Figure {
            value: one,
            time: false,
            keys,
        }),
        (_, true) => Ok(Figure {
            value: one * 1e9,
            time: true,
            keys,
        }),
        _ => Err(format!("{text:?} mixes times and plain numbers")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::tree::Place;

    fn look(name: &str) -> Result<Named, String> {
        match name {
            "plans.guide.burst" => Ok(Named {
                value: 12.0,
                time: false,
                key: "contracts.0.peakUnits".into(),
            }),
            "classes.bed-hold.aim" => Ok(Named {
                value: 1e9,
                time: true,
                key: "categories.1.onTimeNs".into(),
            }),
            _ => Err(format!("{name} is not known")),
        }
    }

    fn of(text: &str) -> Result<Figure, String> {
        evaluate(
            &Node {
                place: Place::default(),
                content: Content::Text(text.into()),
            },
            &look,
        )
    }

    #[test]
    fn names_units_and_arithmetic() {
        let figure = of("plans.guide.burst * 1.5 - 2").expect("sound");
        assert_eq!((figure.value, figure.time), (16.0, false));
        assert!(figure.keys.contains("contracts.0.peakUnits"));
        assert_eq!(
            of("classes.bed-hold.aim/2 + 50ms").map(|f| (f.value.round(), f.time)),
            Ok((550e6, true))
        );
        assert_eq!(of("max(3, plans.guide.burst/5)").map(|f| f.value), Ok(3.0));
        assert_eq!(of("7 / 2").map(|f| f.value), Ok(3.5));
    }

    #[test]
    fn a_time_is_not_added_to_a_number() {
        for wrong in [
            "1 + 5ms",
            "plans.gide.burst",
            "5 5",
            "1 / 0",
            "2parsecs",
            "a; b",
            "(",
            "",
        ] {
            assert!(of(wrong).is_err(), "{wrong}");
        }
    }
}
