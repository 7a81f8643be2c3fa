//! Lines of a spool's file and their text form.

use crate::record::{
    open_line, parse_batch, parse_customer, parse_usage, seal_line, BatchText, UsageText,
};
use crate::{Batch, Customer, Source, Usage};

/// The first line: whose spool it is, and the sequence number of the first batch that follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Header {
    pub(super) source: Source,
    pub(super) next_sequence: u64,
}

impl Header {
    pub(super) fn to_line(&self) -> String {
        let Source { name, epoch } = &self.source;
        seal_line(&format!("spool 1 {name} {epoch} {}", self.next_sequence))
    }

    pub(super) fn from_line(line: &str) -> Option<Header> {
        let fields: Vec<&str> = open_line(line)?.split(' ').collect();
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

/// Every other line.
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
    /// An attempt has ended, but its usage does not parse. No version writes this.
    MalformedAttemptEnd { attempt: u64 },
    /// Usage of a customer that is in no batch yet, written by a compaction.
    Unbatched { customer: Customer, usage: Usage },
    /// A batch was cut.
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
        seal_line(&text)
    }

    pub(super) fn from_line(line: &str) -> Option<Line> {
        let mut fields = open_line(line)?.split(' ');
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
