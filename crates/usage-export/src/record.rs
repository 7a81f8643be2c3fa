//! Lines of spools and sinks. Each ends with a check of its text, so that a truncated or corrupt line is recognized.

use crate::{Batch, Usage, UsageByCustomer};
use std::fmt;

const CHECK_HEX_DIGITS: usize = 8;

/// Appends the check and the line's end to a text.
pub(crate) fn seal_line(text: &str) -> String {
    format!("{text} #{:08x}\n", check(text))
}

/// Returns the text of a line without its end, where its check is right.
pub(crate) fn open_line(line: &str) -> Option<&str> {
    let (text, stated) = line.rsplit_once(" #")?;
    let is_valid =
        stated.len() == CHECK_HEX_DIGITS && u32::from_str_radix(stated, 16) == Ok(check(text));
    is_valid.then_some(text)
}

fn check(text: &str) -> u32 {
    let mut check = [0; 4];
    check.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..4]);
    u32::from_be_bytes(check)
}

/// The text form of a usage: its three numbers in hexadecimal, separated by dots.
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

/// Parses what [`UsageText`] wrote.
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

/// The text form of a batch: its sequence number, then each customer's usage, separated by spaces.
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

/// Parses what [`BatchText`] wrote, split at its spaces.
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

/// Parses a customer's identifier in hexadecimal.
pub(crate) fn parse_customer(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
