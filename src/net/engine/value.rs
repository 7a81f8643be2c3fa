//! Values as hosts return them.

use crate::net::memory::{Owner, Reservation};
use std::ops::Range;

/// A value as a host returned it.
#[derive(Debug)]
pub struct Value {
    /// The value, and the bytes that the host sent before and after it if it is long.
    bytes: Vec<u8>,
    range: Range<usize>,
    /// The memory that a long value takes; `None` for a short one.
    reservation: Option<Reservation>,
}

impl Value {
    /// Creates a long value from the answer that contains it, without a copy. A line end follows the value.
    pub fn from_answer(answer: Vec<u8>, range: Range<usize>, reservation: Reservation) -> Self {
        Value {
            bytes: answer,
            range,
            reservation: Some(reservation),
        }
    }

    /// Returns the bytes of the value.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes[self.range.clone()]
    }

    /// Returns whether memory is reserved for the value, and a line end follows it.
    pub fn is_long(&self) -> bool {
        self.reservation.is_some()
    }

    /// Returns the bytes of a long value and the line end after it.
    pub fn with_line_end(&self) -> &[u8] {
        &self.bytes[self.range.start..self.range.end + 2]
    }

    /// Counts the memory of the value as that of a response that its client has not taken.
    #[must_use]
    pub fn into_response(mut self) -> Self {
        let transfer = |reservation: Reservation| reservation.transferred_to(Owner::Responses);
        self.reservation = self.reservation.map(transfer);
        self
    }
}

impl From<Vec<u8>> for Value {
    /// Creates a short value.
    fn from(bytes: Vec<u8>) -> Self {
        Value {
            range: 0..bytes.len(),
            bytes,
            reservation: None,
        }
    }
}

impl PartialEq for Value {
    fn eq(&self, other: &Self) -> bool {
        self.as_bytes() == other.as_bytes()
    }
}
