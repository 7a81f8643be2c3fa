//! Values written as formulas over a deployment's settings: `plans.guide.burst * 1.1`, `classes.bed-hold.aim + 50ms`.
//!
//! Names and units are resolved here, and evalexpr does the arithmetic. Whether a formula is a duration or a plain number is
//! found by evaluating it in two units of time: a duration scales with the unit, a number does not. A result that does
//! neither mixes the two and is rejected.

mod scan;
#[cfg(test)]
mod tests;

use crate::tree::{Content, Node};
use crate::value::ValueError;
use evalexpr::EvalexprError;
use scan::{scan, Token};
use std::collections::BTreeSet;

/// The two units of time, in nanoseconds, in which a formula is evaluated. Their ratio is exact in binary.
const SECOND_NANOS: f64 = 1e9;
const UNIT_RATIO: f64 = 8.0;
/// The relative error up to which two results count as equal.
const TOLERANCE: f64 = 1e-9;

/// The setting that a name stands for, with its value in force.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingValue {
    /// The value; a duration in nanoseconds.
    pub value: f64,
    /// Whether it is a duration.
    pub is_time: bool,
    /// The key that it is read from.
    pub key: String,
}

/// The value of a formula, and the keys that it depends on. `T` is `f64` or, for durations, `u64` in nanoseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Evaluated<T> {
    /// The value.
    pub value: T,
    /// The keys of the settings that it depends on.
    pub keys: BTreeSet<String>,
}

/// The value of a formula that may be a duration.
#[derive(Clone, Debug, PartialEq)]
pub struct FormulaValue {
    /// The value; a duration in nanoseconds.
    pub value: f64,
    /// Whether it is a duration.
    pub is_time: bool,
    /// The keys of the settings that it depends on.
    pub keys: BTreeSet<String>,
}

/// A name that stands for no setting.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnknownSetting {
    /// A part of the name is unknown, although it resembles one that is known.
    #[error("{name}: {part:?} is not known; did you mean {nearest}?")]
    Misspelled {
        /// The whole name.
        name: String,
        /// The unknown part.
        part: String,
        /// The known part that resembles it most.
        nearest: String,
    },
    /// A part of the name is unknown.
    #[error("{name}: {part:?} is not known; one of {}", known.join(", "))]
    Unknown {
        /// The whole name.
        name: String,
        /// The unknown part.
        part: String,
        /// The parts that are known in this position.
        known: Vec<String>,
    },
}

/// Why a formula has no value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FormulaError {
    /// A flag, a list, a map or null.
    #[error("not a formula; write a number, a time or a formula")]
    NotFormula,
    /// A number where a duration is expected, or a negative duration.
    #[error("{text} is not a time; write one such as 250ms")]
    NotTime {
        /// The formula.
        text: String,
    },
    /// A duration where a number is expected.
    #[error("{text} is a time where a number belongs")]
    NotNumber {
        /// The formula.
        text: String,
    },
    /// Digits that are no number.
    #[error("{text} is not a number")]
    InvalidNumber {
        /// The digits.
        text: String,
    },
    /// A duration in the formula is invalid.
    #[error(transparent)]
    InvalidTime(#[from] ValueError),
    /// A name in the formula is unknown.
    #[error(transparent)]
    UnknownSetting(#[from] UnknownSetting),
    /// A character that no formula contains.
    #[error("{character:?} is not allowed in a formula")]
    UnexpectedCharacter {
        /// The character.
        character: char,
    },
    /// The arithmetic is invalid.
    #[error("cannot evaluate {expression:?}: {source}")]
    Arithmetic {
        /// The expression, with the values in place of the names.
        expression: String,
        /// The fault of the expression.
        source: EvalexprError,
    },
    /// The result is infinite, or not a number.
    #[error("{text:?} is not a finite number")]
    NotFinite {
        /// The formula.
        text: String,
    },
    /// The formula adds durations to plain numbers.
    #[error("{text:?} mixes times and plain numbers")]
    MixedUnits {
        /// The formula.
        text: String,
    },
}

/// For readers whose own errors are the text of a fault.
impl From<FormulaError> for String {
    fn from(error: FormulaError) -> Self {
        error.to_string()
    }
}

/// Resolves a name of a formula to a setting.
pub type Resolve<'a> = dyn Fn(&str) -> Result<SettingValue, UnknownSetting> + 'a;

/// Evaluates the formula of a node.
///
/// # Errors
/// A name is unknown, the arithmetic is invalid, or a duration is added to a number.
pub fn evaluate(node: &Node, resolve: &Resolve<'_>) -> Result<FormulaValue, FormulaError> {
    match &node.content {
        Content::Number(value) => Ok(FormulaValue {
            value: *value,
            is_time: false,
            keys: BTreeSet::new(),
        }),
        Content::Text(text) => evaluate_text(text, resolve),
        _ => Err(FormulaError::NotFormula),
    }
}

/// Evaluates a formula that must be a duration, in nanoseconds.
///
/// # Errors
/// As [`evaluate`], and where the value is not a duration.
pub fn time(node: &Node, resolve: &Resolve<'_>) -> Result<Evaluated<u64>, FormulaError> {
    let formula = evaluate(node, resolve)?;
    let is_time = formula.is_time || formula.value == 0.0;
    if !is_time || formula.value < 0.0 {
        let text = node.text().unwrap_or_default();
        return Err(FormulaError::NotTime { text });
    }
    Ok(Evaluated {
        value: formula.value as u64,
        keys: formula.keys,
    })
}

/// Evaluates a formula that must be a plain number.
///
/// # Errors
/// As [`evaluate`], and where the value is a duration.
pub fn number(node: &Node, resolve: &Resolve<'_>) -> Result<Evaluated<f64>, FormulaError> {
    let formula = evaluate(node, resolve)?;
    if formula.is_time {
        let text = node.text().unwrap_or_default();
        return Err(FormulaError::NotNumber { text });
    }
    Ok(Evaluated {
        value: formula.value,
        keys: formula.keys,
    })
}

fn evaluate_text(text: &str, resolve: &Resolve<'_>) -> Result<FormulaValue, FormulaError> {
    let scanned = scan(text, resolve)?;
    let in_seconds = evaluate_in(&scanned.tokens, SECOND_NANOS)?;
    let in_shorter_unit = evaluate_in(&scanned.tokens, SECOND_NANOS / UNIT_RATIO)?;
    let text = text.to_owned();
    if !in_seconds.is_finite() {
        return Err(FormulaError::NotFinite { text });
    }
    if is_close(in_seconds, in_shorter_unit) {
        return Ok(FormulaValue {
            value: in_seconds,
            is_time: false,
            keys: scanned.keys,
        });
    }
    if is_close(in_seconds * UNIT_RATIO, in_shorter_unit) {
        return Ok(FormulaValue {
            value: in_seconds * SECOND_NANOS,
            is_time: true,
            keys: scanned.keys,
        });
    }
    Err(FormulaError::MixedUnits { text })
}

/// Evaluates tokens with durations expressed in a unit of this many nanoseconds.
fn evaluate_in(tokens: &[Token], unit_nanos: f64) -> Result<f64, FormulaError> {
    let expression: String = tokens
        .iter()
        .map(|token| match token {
            Token::Time(nanos) => format!("{:?}", nanos / unit_nanos),
            Token::Plain(text) => text.clone(),
        })
        .collect();
    evalexpr::eval_number(&expression).map_err(|source| FormulaError::Arithmetic {
        expression: expression.trim().to_owned(),
        source,
    })
}

fn is_close(left: f64, right: f64) -> bool {
    (left - right).abs() <= TOLERANCE * left.abs().max(right.abs())
}
