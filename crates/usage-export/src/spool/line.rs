//! The lines of a spool's file and their text form.

use crate::record::{
    encode_line, parse_batch, parse_customer, parse_usage, verify_line, BatchText, UsageText,
};
use crate::{Batch, Customer, Source, Usage};

/// The first line of a spool's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Header {
    pub(super) source: Source,
    /// The sequence number of the first batch that follows.
    pub(super) next_sequence: u64,
}

impl Header {
    pub(super) fn to_line(&self) -> String {
        let Source { name, epoch } = &self.source;
        encode_line(&format!("spool 1 {name} {epoch} {}", self.next_sequence))
    }

    pub(super) fn from_line(line: &str) -> Option<Header> {
        let fields: Vec<&str> = verify_line(line)?.split(' ').collect();
        let &["spool", "1", name, epoch, next_sequence] = fields.as_slice() else {
            return None;
        };
        Some(Header {
            source: Source {
                name: name.to_owned(),
                epoch: epoch.parse().ok()?,
            },
            next_sequence: next_sequence.parse().ok()?,
        })
    }
}

/// Any line after the header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Line {
    /// An attempt is about to be sent.
    AttemptStarted {
        attempt: u64,
        customer: Customer,
        milliunits: u64,
    },
    /// An attempt has ended.
    AttemptEnded { attempt: u64, usage: Usage },
    /// An attempt has ended, but its usage cannot be parsed. No version writes such a line.
    MalformedAttemptEnd { attempt: u64 },
    /// A customer's usage that is in no batch yet. Only compaction writes such a line.
    Unbatched { customer: Customer, usage: Usage },
    /// Usage of ended attempts was moved into a batch.
    BatchCut(Batch),
    /// The sink has the batches up to a sequence number.
    Exported { sequence: u64 },
}

impl Line {
    pub(super) fn to_line(&self) -> String {
        let text = match self {
            Line::AttemptStarted {
                attempt,
                customer,
                milliunits,
            } => format!("+ {attempt} {customer:x} {milliunits}"),
            Line::AttemptEnded { attempt, usage } => format!("- {attempt} {}", UsageText(usage)),
            Line::MalformedAttemptEnd { attempt } => format!("- {attempt}"),
            Line::Unbatched { customer, usage } => format!("r {customer:x} {}", UsageText(usage)),
            Line::BatchCut(batch) => format!("b {}", BatchText(batch)),
            Line::Exported { sequence } => format!("x {sequence}"),
        };
        encode_line(&text)
    }

    pub(super) fn from_line(line: &str) -> Option<Line> {
        let mut fields = verify_line(line)?.split(' ');
        let line = match fields.next()? {
            "+" => Line::AttemptStarted {
                attempt: fields.next()?.parse().ok()?,
                customer: parse_customer(fields.next()?)?,
                milliunits: fields.next()?.parse().ok()?,
            },
            "-" => {
                let attempt = fields.next()?.parse().ok()?;
                match fields.next().and_then(parse_usage) {
                    Some(usage) => Line::AttemptEnded { attempt, usage },
                    None => Line::MalformedAttemptEnd { attempt },
                }
            }
            "r" => Line::Unbatched {
                customer: parse_customer(fields.next()?)?,
                usage: parse_usage(fields.next()?)?,
            },
            "b" => Line::BatchCut(parse_batch(fields)?),
            "x" => Line::Exported {
                sequence: fields.next()?.parse().ok()?,
            },
            _ => return None,
        };
        Some(line)
    }
}
