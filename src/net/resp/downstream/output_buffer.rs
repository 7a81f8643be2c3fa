//! The responses that a client has not taken yet, in the order in which they are sent. Long values are not copied.

use crate::net::engine::Value;
use std::collections::VecDeque;

enum Segment {
    /// Short responses and headers.
    Bytes(Vec<u8>),
    /// A long value, with the line end after it.
    Value(Value),
}

impl Segment {
    fn as_bytes(&self) -> &[u8] {
        match self {
            Segment::Bytes(bytes) => bytes,
            Segment::Value(value) => value.with_line_end(),
        }
    }
}

/// Bytes that are sent from the front and added at the end.
#[derive(Default)]
pub(super) struct OutputBuffer {
    segments: VecDeque<Segment>,
    /// Number of bytes of the first segment that have been sent.
    sent: usize,
}

impl OutputBuffer {
    /// Returns the bytes at the end of the buffer, to which more can be added.
    pub(super) fn bytes_mut(&mut self) -> &mut Vec<u8> {
        if !matches!(self.segments.back(), Some(Segment::Bytes(_))) {
            self.segments.push_back(Segment::Bytes(Vec::new()));
        }
        match self.segments.back_mut() {
            Some(Segment::Bytes(bytes)) => bytes,
            Some(Segment::Value(_)) | None => unreachable!("the last segment consists of bytes"),
        }
    }

    /// Appends a long value.
    pub(super) fn push_value(&mut self, value: Value) {
        self.segments.push_back(Segment::Value(value));
    }

    /// Returns the next bytes to send; empty if all have been sent.
    pub(super) fn unsent(&self) -> &[u8] {
        let first = self.segments.front();
        first.map_or(&[], |segment| &segment.as_bytes()[self.sent..])
    }

    /// Returns the number of bytes that have not been sent.
    pub(super) fn unsent_count(&self) -> usize {
        let lengths = self.segments.iter().map(|segment| segment.as_bytes().len());
        lengths.sum::<usize>() - self.sent
    }

    /// Returns whether all bytes have been sent.
    pub(super) fn is_empty(&self) -> bool {
        self.unsent().is_empty() && self.segments.len() <= 1
    }

    /// Removes the first `count` bytes of [`unsent`](Self::unsent), which were sent. The memory of short responses is
    /// kept for the next ones, up to `retained_bytes`.
    pub(super) fn advance(&mut self, count: usize, retained_bytes: usize) {
        self.sent += count;
        if !self.unsent().is_empty() {
            return;
        }
        self.sent = 0;
        match self.segments.pop_front() {
            Some(Segment::Bytes(mut bytes))
                if self.segments.is_empty() && bytes.capacity() <= retained_bytes =>
            {
                bytes.clear();
                self.segments.push_back(Segment::Bytes(bytes));
            }
            _ => {}
        }
    }
}
