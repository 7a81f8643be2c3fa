//! Formulas over a deployment's settings: `plans.guide.burst * 1.1`, `classes.bed-hold.aim + 50ms`.
//!
//! This module resolves names and units; evalexpr does the arithmetic. To tell durations from plain numbers, a formula
//! is evaluated in two units of time: a duration scales with the unit, and a plain number is the same in both. A
//! formula with any other result mixes the two and is rejected.

mod scan;
#[cfg(test)]
mod tests;

use crate::tree::{Content, Node};
use crate::value::ValueError;
use evalexpr::EvalexprError;
use scan::{scan, Token};
use std::collections::BTreeSet;

/// Nanoseconds of the first unit of time in which a formula is evaluated, one second.
const SECOND_NANOS: f64 = 1e9;
/// Ratio of the first unit to the second; a power of two, so that scaling is exact.
const UNIT_RATIO: f64 = 8.0;
/// Relative difference up to which two results count as equal.
const TOLERANCE: f64 = 1e-9;

/// A setting that a name of a formula refers to, with its current value.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingValue {
    /// The value; nanoseconds if it is a duration.
    pub value: f64,
    /// Whether the value is a duration.
    pub is_duration: bool,
    /// The path of the setting's key in the file.
    pub key: String,
}

/// The value of a formula of known type, and the keys that it depends on. `T` is `f64`, or `u64` nanoseconds for
/// durations.
#[derive(Clone, Debug, PartialEq)]
pub struct Evaluated<T> {
    /// The value of the formula.
    pub value: T,
    /// The keys of the settings that it depends on.
    pub keys: BTreeSet<String>,
}

/// The value of a formula that is a duration or a plain number.
#[derive(Clone, Debug, PartialEq)]
pub struct FormulaValue {
    /// The value; nanoseconds if it is a duration.
    pub value: f64,
    /// Whether the value is a duration.
    pub is_duration: bool,
    /// The keys of the settings that it depends on.
    pub keys: BTreeSet<String>,
}

/// A name that refers to no setting.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnknownSetting {
    /// A part of the name is unknown and resembles a known one.
    #[error("{name}: unknown part {part:?}; did you mean {nearest}?")]
    Misspelled {
        /// The whole name.
        name: String,
        /// The unknown part.
        part: String,
        /// The known part that is most similar to it.
        nearest: String,
    },
    /// A part of the name is unknown and resembles no known one.
    #[error("{name}: unknown part {part:?}; expected one of {}", known.join(", "))]
    Unknown {
        /// The whole name.
        name: String,
        /// The unknown part.
        part: String,
        /// The valid parts in this position.
        known: Vec<String>,
    },
}

/// A formula that cannot be evaluated, or whose value has the wrong type.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FormulaError {
    /// A boolean, list, map or null where a formula is expected.
    #[error("not a formula; write a number, a duration or a formula")]
    NotFormula,
    /// A number where a duration is expected, or a negative duration.
    #[error("{text} is not a valid duration; write one such as 250ms")]
    NotDuration {
        /// The formula as written in the file.
        text: String,
    },
    /// A duration where a number is expected.
    #[error("{text} is a duration; expected a plain number")]
    NotNumber {
        /// The formula as written in the file.
        text: String,
    },
    /// Digits and dots that do not form a number, such as `1.2.3`.
    #[error("{text} is not a number")]
    InvalidNumber {
        /// The digits and dots.
        text: String,
    },
    /// A duration literal in the formula is invalid.
    #[error(transparent)]
    InvalidDuration(#[from] ValueError),
    /// A name in the formula is unknown.
    #[error(transparent)]
    UnknownSetting(#[from] UnknownSetting),
    /// A character that is not allowed in formulas.
    #[error("{character:?} is not allowed in a formula")]
    UnexpectedCharacter {
        /// The first invalid character.
        character: char,
    },
    /// An expression that evalexpr rejects.
    #[error("cannot evaluate {expression:?}: {source}")]
    Arithmetic {
        /// The expression, with names replaced by their values.
        expression: String,
        /// The error that evalexpr returned.
        source: EvalexprError,
    },
    /// A result that is infinite or NaN.
    #[error("{text:?} is not a finite number")]
    NotFinite {
        /// The formula as written in the file.
        text: String,
    },
    /// A formula that mixes durations and plain numbers, such as `1 + 5ms`.
    #[error("{text:?} mixes durations and plain numbers")]
    MixedUnits {
        /// The formula as written in the file.
        text: String,
    },
}

/// Converts the error to its message, for callers that report faults as strings.
impl From<FormulaError> for String {
    fn from(error: FormulaError) -> Self {
        error.to_string()
    }
}

/// A function that resolves a name of a formula to a setting.
pub type Resolve<'a> = dyn Fn(&str) -> Result<SettingValue, UnknownSetting> + 'a;

/// Evaluates the formula of a node. A number node is a plain number.
///
/// # Errors
/// Returns an error if the node is not a number or text, a name is unknown, the expression is invalid, or the formula
/// mixes durations and plain numbers.
pub fn evaluate(node: &Node, resolve: &Resolve<'_>) -> Result<FormulaValue, FormulaError> {
    match &node.content {
        Content::Number(value) => Ok(FormulaValue {
            value: *value,
            is_duration: false,
            keys: BTreeSet::new(),
        }),
        Content::Text(text) => evaluate_text(text, resolve),
        _ => Err(FormulaError::NotFormula),
    }
}

/// Evaluates a formula that must be a duration, and returns it in nanoseconds. Zero needs no unit.
///
/// # Errors
/// Returns the errors of [`evaluate`], and an error if the value is negative or not a duration.
pub fn duration(node: &Node, resolve: &Resolve<'_>) -> Result<Evaluated<u64>, FormulaError> {
    let formula = evaluate(node, resolve)?;
    let is_duration = formula.is_duration || formula.value == 0.0;
    if !is_duration || formula.value < 0.0 {
        let text = node.text().unwrap_or_default();
        return Err(FormulaError::NotDuration { text });
    }
    Ok(Evaluated {
        value: formula.value as u64,
        keys: formula.keys,
    })
}

/// Evaluates a formula that must be a plain number.
///
/// # Errors
/// Returns the errors of [`evaluate`], and an error if the value is a duration.
pub fn number(node: &Node, resolve: &Resolve<'_>) -> Result<Evaluated<f64>, FormulaError> {
    let formula = evaluate(node, resolve)?;
    if formula.is_duration {
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
    let in_seconds = evaluate_in_unit(&scanned.tokens, SECOND_NANOS)?;
    let in_shorter_unit = evaluate_in_unit(&scanned.tokens, SECOND_NANOS / UNIT_RATIO)?;
    let text = text.to_owned();
    if !in_seconds.is_finite() {
        return Err(FormulaError::NotFinite { text });
    }
    if is_close(in_seconds, in_shorter_unit) {
        return Ok(FormulaValue {
            value: in_seconds,
            is_duration: false,
            keys: scanned.keys,
        });
    }
    if is_close(in_seconds * UNIT_RATIO, in_shorter_unit) {
        return Ok(FormulaValue {
            value: in_seconds * SECOND_NANOS,
            is_duration: true,
            keys: scanned.keys,
        });
    }
    Err(FormulaError::MixedUnits { text })
}

/// Evaluates tokens with durations expressed in units of `unit_nanos` nanoseconds.
fn evaluate_in_unit(tokens: &[Token], unit_nanos: f64) -> Result<f64, FormulaError> {
    let expression: String = tokens
        .iter()
        .map(|token| match token {
            Token::Duration(nanos) => format!("{:?}", nanos / unit_nanos),
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
