//! Lines of spools and sinks: words and a check at the end, so that a line that was cut off, or rotted, is known for one.

use crate::{Batch, Sums, Use};
use std::fmt::Write as _;

fn check(text: &str) -> u32 {
    let mut first = [0; 4];
    first.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..4]);
    u32::from_be_bytes(first)
}

/// A line of these words, with its check and its end.
pub(crate) fn seal(text: &str) -> String {
    format!("{text} #{:08x}\n", check(text))
}

/// The words of a line whose check is right.
pub(crate) fn open(line: &str) -> Option<&str> {
    let (text, told) = line.rsplit_once(" #")?;
    (told.len() == 8 && u32::from_str_radix(told, 16) == Ok(check(text))).then_some(text)
}

/// A use as words.
pub(crate) fn put_use(used: &Use, out: &mut String) {
    let _ = write!(out, "{:x}.{:x}.{:x}", used.ran, used.unknown, used.runs);
}

pub(crate) fn take_use(word: &str) -> Option<Use> {
    let mut parts = word.split('.');
    let mut next = || u64::from_str_radix(parts.next()?, 16).ok();
    let (ran, unknown, runs) = (next()?, next()?, next()?);
    parts.next().is_none().then_some(Use {
        ran,
        unknown,
        runs: u32::try_from(runs).ok()?,
    })
}

/// A batch as words: its number, then each customer's use.
pub(crate) fn put_batch(batch: &Batch, out: &mut String) {
    let _ = write!(out, "{}", batch.number);
    for (customer, used) in &batch.sums {
        let _ = write!(out, " {customer:x}=");
        put_use(used, out);
    }
}

pub(crate) fn take_batch<'a>(mut words: impl Iterator<Item = &'a str>) -> Option<Batch> {
    let number = words.next()?.parse().ok()?;
    let sums = words.map(|word| {
        let (customer, used) = word.split_once('=')?;
        Some((u64::from_str_radix(customer, 16).ok()?, take_use(used)?))
    });
    Some(Batch {
        number,
        sums: sums.collect::<Option<Sums>>()?,
    })
}
