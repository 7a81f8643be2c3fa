//! A small scanner of Rust sources that finds the `tracing` macros: their messages and the names of their fields.

use std::collections::BTreeSet;

/// The macros that log an event.
const MACROS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// One call of a macro.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LogEvent {
    /// The message.
    pub(crate) message: String,
    /// The names of the fields.
    pub(crate) fields: BTreeSet<String>,
}

/// A piece of source code.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Token {
    /// An identifier, a keyword or a number.
    Identifier(String),
    /// A string literal, without its quotes and with its escapes as written.
    Text(String),
    Symbol(char),
}

/// A macro whose last argument is no string literal, so that the scanner cannot tell its message.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct UnknownMessage {
    /// The macro's name.
    pub(crate) macro_name: String,
}

/// Finds the log events of a source.
///
/// # Errors
/// An event has a message that is no literal.
pub(crate) fn log_events(source: &str) -> Result<Vec<LogEvent>, UnknownMessage> {
    let tokens = tokenize(source);
    let mut events = Vec::new();
    for (index, window) in tokens.windows(3).enumerate() {
        let [Token::Identifier(name), Token::Symbol('!'), Token::Symbol('(')] = window else {
            continue;
        };
        if MACROS.contains(&name.as_str()) {
            let event = read_event(&tokens[index + 3..]).ok_or_else(|| UnknownMessage {
                macro_name: name.clone(),
            })?;
            events.push(event);
        }
    }
    Ok(events)
}

/// The string literals that stand behind an arrow, as in the arms of a `match` that maps values to their names.
pub(crate) fn names_behind_arrows(source: &str) -> BTreeSet<String> {
    let tokens = tokenize(source);
    let behind_arrow = tokens.windows(3).filter_map(|window| match window {
        [Token::Symbol('='), Token::Symbol('>'), Token::Text(name)] => Some(name.clone()),
        _ => None,
    });
    behind_arrow.collect()
}

/// How often a path such as `Reader::new` is called in a source.
pub(crate) fn count_calls(source: &str, type_name: &str, function: &str) -> usize {
    let call = [
        Token::Identifier(type_name.to_owned()),
        Token::Symbol(':'),
        Token::Symbol(':'),
        Token::Identifier(function.to_owned()),
        Token::Symbol('('),
    ];
    let tokens = tokenize(source);
    tokens
        .windows(call.len())
        .filter(|window| *window == call)
        .count()
}

/// Reads an event from the tokens behind the opening bracket of its macro.
fn read_event(tokens: &[Token]) -> Option<LogEvent> {
    let mut arguments = split_arguments(tokens);
    let message = match arguments.pop()? {
        [Token::Text(message)] => message.clone(),
        _ => return None,
    };
    let fields = arguments.into_iter().filter_map(field_name).collect();
    Some(LogEvent { message, fields })
}

/// The arguments up to the closing bracket, split at the commas that stand in no inner bracket.
fn split_arguments(tokens: &[Token]) -> Vec<&[Token]> {
    let mut arguments = Vec::new();
    let mut depth = 0_usize;
    let mut start = 0;
    for (index, token) in tokens.iter().enumerate() {
        match token {
            Token::Symbol('(' | '[' | '{') => depth += 1,
            Token::Symbol(')' | ']' | '}') if depth > 0 => depth -= 1,
            Token::Symbol(')') => {
                arguments.push(&tokens[start..index]);
                break;
            }
            Token::Symbol(',') if depth == 0 => {
                arguments.push(&tokens[start..index]);
                start = index + 1;
            }
            _ => {}
        }
    }
    arguments.retain(|argument| !argument.is_empty());
    arguments
}

/// The name of a field: `name = value`, `name`, `?name` or `%name`. The target of an event is no field.
fn field_name(argument: &[Token]) -> Option<String> {
    match argument {
        [Token::Identifier(_), Token::Symbol(':'), ..] => None,
        [Token::Identifier(name), ..] | [Token::Symbol('?' | '%'), Token::Identifier(name), ..] => {
            Some(name.clone())
        }
        _ => None,
    }
}

/// Splits a source into tokens; comments and white space are left out.
fn tokenize(source: &str) -> Vec<Token> {
    let mut tokens = Vec::new();
    let mut rest = source;
    while let Some(first) = rest.chars().next() {
        let (token, length) = next_token(rest, first);
        tokens.extend(token);
        rest = &rest[length..];
    }
    tokens
}

/// The token at the start of a source, if that is one, and the length of what was read.
fn next_token(rest: &str, first: char) -> (Option<Token>, usize) {
    if rest.starts_with("//") {
        return (None, rest.find('\n').unwrap_or(rest.len()));
    }
    if rest.starts_with("/*") {
        return (None, rest.find("*/").map_or(rest.len(), |end| end + 2));
    }
    if let Some(raw) = raw_string(rest) {
        return raw;
    }
    match first {
        '"' => string(rest),
        '\'' => (None, character_length(rest)),
        _ if first.is_alphanumeric() || first == '_' => {
            let is_other = |character: char| !character.is_alphanumeric() && character != '_';
            let length = rest.find(is_other).unwrap_or(rest.len());
            (Some(Token::Identifier(rest[..length].to_owned())), length)
        }
        _ if first.is_whitespace() => (None, first.len_utf8()),
        _ => (Some(Token::Symbol(first)), first.len_utf8()),
    }
}

/// A raw string, such as `r#"..."#`.
fn raw_string(rest: &str) -> Option<(Option<Token>, usize)> {
    let behind_r = rest.strip_prefix('r')?;
    let hashes = behind_r.bytes().take_while(|byte| *byte == b'#').count();
    let body = behind_r[hashes..].strip_prefix('"')?;
    let closing = format!("\"{}", "#".repeat(hashes));
    let end = body.find(&closing)?;
    let length = rest.len() - body.len() + end + closing.len();
    Some((Some(Token::Text(body[..end].to_owned())), length))
}

/// A string with its escapes.
fn string(rest: &str) -> (Option<Token>, usize) {
    let mut is_escaped = false;
    for (index, byte) in rest.bytes().enumerate().skip(1) {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' => is_escaped = true,
            b'"' => return (Some(Token::Text(rest[1..index].to_owned())), index + 1),
            _ => {}
        }
    }
    (None, rest.len())
}

/// The length of a character literal, or of the quote of a lifetime.
fn character_length(rest: &str) -> usize {
    let mut characters = rest.char_indices().skip(1);
    match characters.next() {
        Some((_, '\\')) => rest[3..].find('\'').map_or(rest.len(), |end| end + 4),
        _ => match characters.next() {
            Some((end, '\'')) => end + 1,
            _ => 1,
        },
    }
}
