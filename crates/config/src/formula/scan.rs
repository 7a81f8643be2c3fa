//! Tokenizer for formulas, which replaces names by their values.

use super::{FormulaError, Resolve, SettingValue};
use crate::quantity;
use std::collections::BTreeSet;

const FUNCTIONS: [&str; 5] = ["min", "max", "floor", "ceil", "round"];
const OPERATORS: &str = " +-*/(),";

/// A token of a formula.
pub(super) enum Token {
    /// A duration in nanoseconds.
    Duration(f64),
    /// A number, an operator or a function, in evalexpr's syntax.
    Plain(String),
}

/// The tokens of a formula, and the keys of the settings that it refers to.
pub(super) struct Scanned {
    pub(super) tokens: Vec<Token>,
    pub(super) keys: BTreeSet<String>,
}

pub(super) fn scan(text: &str, resolve: &Resolve<'_>) -> Result<Scanned, FormulaError> {
    let characters: Vec<char> = text.chars().collect();
    let mut scanner = Scanner {
        characters: &characters,
        position: 0,
    };
    let mut scanned = Scanned {
        tokens: Vec::new(),
        keys: BTreeSet::new(),
    };
    while let Some(character) = scanner.peek() {
        let token = if character.is_ascii_digit() {
            scanner.quantity()?
        } else if character.is_ascii_alphabetic() {
            name_token(scanner.name(), resolve, &mut scanned.keys)?
        } else if OPERATORS.contains(character) {
            scanner.position += 1;
            Token::Plain(character.to_string())
        } else {
            return Err(FormulaError::UnexpectedCharacter { character });
        };
        scanned.tokens.push(token);
    }
    Ok(scanned)
}

fn name_token(
    name: String,
    resolve: &Resolve<'_>,
    keys: &mut BTreeSet<String>,
) -> Result<Token, FormulaError> {
    if FUNCTIONS.contains(&name.as_str()) {
        return Ok(Token::Plain(name));
    }
    let SettingValue {
        value,
        is_duration,
        key,
    } = resolve(&name)?;
    keys.insert(key);
    Ok(if is_duration {
        Token::Duration(value)
    } else {
        Token::Plain(format!("{value:?}"))
    })
}

struct Scanner<'a> {
    characters: &'a [char],
    position: usize,
}

impl Scanner<'_> {
    fn peek(&self) -> Option<char> {
        self.characters.get(self.position).copied()
    }

    fn take_while(&mut self, accepts: impl Fn(&Self, char) -> bool) -> String {
        let start = self.position;
        while self.peek().is_some_and(|next| accepts(self, next)) {
            self.position += 1;
        }
        self.characters[start..self.position].iter().collect()
    }

    /// Scans a plain number, or a duration with a single unit.
    fn quantity(&mut self) -> Result<Token, FormulaError> {
        let number = self.take_while(|_, next| next.is_ascii_digit() || next == '.');
        let unit = self.take_while(|_, next| next.is_ascii_alphabetic());
        if unit.is_empty() {
            return match number.parse::<f64>() {
                Ok(value) => Ok(Token::Plain(format!("{value:?}"))),
                Err(_) => Err(FormulaError::InvalidNumber { text: number }),
            };
        }
        let nanos = quantity::parse_duration(&format!("{number}{unit}"))?;
        Ok(Token::Duration(nanos as f64))
    }

    fn name(&mut self) -> String {
        self.take_while(|scanner, next| {
            next.is_ascii_alphanumeric() || next == '_' || scanner.is_part_of_name(next)
        })
    }

    /// Returns whether `next` is a hyphen or dot within a name. It must precede a letter or digit, so that `a - b` is a
    /// subtraction.
    fn is_part_of_name(&self, next: char) -> bool {
        let following = self.characters.get(self.position + 1);
        matches!(next, '-' | '.') && following.is_some_and(char::is_ascii_alphanumeric)
    }
}
