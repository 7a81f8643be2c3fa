//! The line format of spools and sinks. Each line ends with a checksum of its text, so that a truncated or corrupt line
//! is detected.

use crate::{Batch, Usage, UsageByCustomer};
use std::fmt;

const CHECKSUM_HEX_DIGITS: usize = 8;

/// Returns the line of a text: the text, its checksum and a line feed.
pub(crate) fn encode_line(text: &str) -> String {
    format!("{text} #{:08x}\n", checksum(text))
}

/// Returns the text of a line that has no line feed, or `None` if its checksum does not match.
pub(crate) fn verify_line(line: &str) -> Option<&str> {
    let (text, stated_checksum) = line.rsplit_once(" #")?;
    let is_valid = stated_checksum.len() == CHECKSUM_HEX_DIGITS
        && u32::from_str_radix(stated_checksum, 16) == Ok(checksum(text));
    is_valid.then_some(text)
}

/// Returns the first 4 bytes of the BLAKE3 hash of a text.
fn checksum(text: &str) -> u32 {
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..4]);
    u32::from_be_bytes(bytes)
}

/// The text form of a usage: executed milliunits, uncertain milliunits and executed attempts in hexadecimal, separated
/// by dots.
pub(crate) struct UsageText<'a>(pub(crate) &'a Usage);

impl fmt::Display for UsageText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Usage {
            executed_milliunits,
            uncertain_milliunits,
            executed_attempts,
        } = self.0;
        write!(
            formatter,
            "{executed_milliunits:x}.{uncertain_milliunits:x}.{executed_attempts:x}"
        )
    }
}

/// Parses the text form that [`UsageText`] writes.
pub(crate) fn parse_usage(text: &str) -> Option<Usage> {
    let mut numbers = text.split('.');
    let mut next = || u64::from_str_radix(numbers.next()?, 16).ok();
    let executed_milliunits = next()?;
    let uncertain_milliunits = next()?;
    let executed_attempts = u32::try_from(next()?).ok()?;
    numbers.next().is_none().then_some(Usage {
        executed_milliunits,
        uncertain_milliunits,
        executed_attempts,
    })
}

/// The text form of a batch: its sequence number and `customer=usage` for each customer, separated by spaces. The
/// customer is in hexadecimal.
pub(crate) struct BatchText<'a>(pub(crate) &'a Batch);

impl fmt::Display for BatchText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0.sequence)?;
        for (customer, usage) in &self.0.usage {
            write!(formatter, " {customer:x}={}", UsageText(usage))?;
        }
        Ok(())
    }
}

/// Parses the text form that [`BatchText`] writes, split at its spaces.
pub(crate) fn parse_batch<'a>(mut fields: impl Iterator<Item = &'a str>) -> Option<Batch> {
    let sequence = fields.next()?.parse().ok()?;
    let usage = fields.map(|field| {
        let (customer, usage) = field.split_once('=')?;
        Some((parse_customer(customer)?, parse_usage(usage)?))
    });
    Some(Batch {
        sequence,
        usage: usage.collect::<Option<UsageByCustomer>>()?,
    })
}

/// Parses a customer identifier in hexadecimal.
pub(crate) fn parse_customer(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
