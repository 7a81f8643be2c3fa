//! Reading of a line's tab-separated fields in their order.

use crate::api::{LoadReading, LoadReport, Outcome, RequestId};
use base64::{engine::general_purpose::STANDARD as BASE64, Engine};

/// Number of hexadecimal digits of a request id.
const REQUEST_ID_DIGITS: usize = 16;

/// A malformed line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, field {field}: {problem}")]
pub struct DecodeError {
    /// Number of the line in the stream, from one.
    pub line: u64,
    /// Names of the field and its message, as `FIELD of MESSAGE`.
    pub field: String,
    /// Description of the fault.
    pub problem: String,
}

pub(super) type Decoded<T> = Result<T, DecodeError>;

/// The fields of one line that are still to be read.
pub(super) struct Fields<'a> {
    pub(super) line: u64,
    /// Name of the message, which is the first field of the line.
    pub(super) message: &'a str,
    pub(super) parts: std::str::Split<'a, char>,
}

impl<'a> Fields<'a> {
    pub(super) fn new(line: u64, text: &'a str) -> Self {
        let mut parts = text.split('\t');
        let message = parts.next().unwrap_or_default();
        Fields {
            line,
            message,
            parts,
        }
    }

    pub(super) fn error(&self, field: &str, problem: impl Into<String>) -> DecodeError {
        DecodeError {
            line: self.line,
            field: format!("{field} of {}", self.message),
            problem: problem.into(),
        }
    }

    pub(super) fn text(&mut self, field: &str) -> Decoded<&'a str> {
        self.parts
            .next()
            .ok_or_else(|| self.error(field, "missing"))
    }

    pub(super) fn parse<T: std::str::FromStr>(&mut self, field: &str) -> Decoded<T> {
        let text = self.text(field)?;
        text.parse()
            .map_err(|_| self.error(field, format!("cannot read {text:?}")))
    }

    /// Reads a number; `-` (absent) is zero.
    pub(super) fn number_or_zero<T: std::str::FromStr + Default>(
        &mut self,
        field: &str,
    ) -> Decoded<T> {
        let text = self.text(field)?;
        if text == "-" {
            return Ok(T::default());
        }
        text.parse()
            .map_err(|_| self.error(field, format!("cannot read {text:?} as a number")))
    }

    /// Reads a finite number; `-` (absent) is zero.
    pub(super) fn finite_or_zero(&mut self, field: &str) -> Decoded<f64> {
        let value: f64 = self.number_or_zero(field)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.error(field, "not a finite number"))
        }
    }

    pub(super) fn request(&mut self, field: &str) -> Decoded<RequestId> {
        let text = self.text(field)?;
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        let is_canonical = text.len() == REQUEST_ID_DIGITS && text.bytes().all(is_digit);
        match u64::from_str_radix(text, 16) {
            Ok(id) if is_canonical => Ok(RequestId(id)),
            _ => Err(self.error(field, format!("{text:?} is not 16 lower-case hex digits"))),
        }
    }

    pub(super) fn flag(&mut self, field: &str) -> Decoded<bool> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => Err(self.error(field, format!("{other:?} is neither 1 nor 0"))),
        }
    }

    pub(super) fn outcome(&mut self, field: &str) -> Decoded<Outcome> {
        match self.text(field)? {
            "GOOD" => Ok(Outcome::Good),
            "BAD" => Ok(Outcome::Error),
            "FULL" => Ok(Outcome::Rejected),
            "LATE" => Ok(Outcome::Timeout),
            "NOCONN" => Ok(Outcome::ConnectFailed),
            "RST" => Ok(Outcome::Reset),
            "CXL" => Ok(Outcome::Cancelled),
            "NOP" => Ok(Outcome::NeverSent),
            other => Err(self.error(field, format!("unknown outcome {other:?}"))),
        }
    }

    /// Reads a load report, which is a comma-separated list of `name:value` pairs; `-` (absent) is an empty report.
    pub(super) fn load(&mut self, field: &str) -> Decoded<LoadReport> {
        let text = self.text(field)?;
        if text == "-" || text.is_empty() {
            return Ok(LoadReport::default());
        }
        let pair = |pair| {
            parse_load_value(pair)
                .ok_or_else(|| self.error(field, format!("{pair:?} is not a name:number pair")))
        };
        text.split(',').map(pair).collect()
    }

    pub(super) fn bytes(&mut self, field: &str) -> Decoded<Vec<u8>> {
        match self.text(field)? {
            "-" => Ok(Vec::new()),
            text => BASE64
                .decode(text)
                .map_err(|error| self.error(field, format!("not base64: {error}"))),
        }
    }
}

fn parse_load_value(pair: &str) -> Option<LoadReading> {
    let (name, value) = pair.split_once(':')?;
    let value: f64 = value.parse().ok()?;
    value.is_finite().then(|| LoadReading {
        name: name.to_owned(),
        value,
    })
}
