//! The memory of a command that does not fit into the buffer that each connection has.

use crate::net::memory::{PendingReservation, Reservation};
use std::time::Duration;
use tokio::time::Instant;

/// The command at the start of the input, if it is long. Its memory is reserved as a whole before its rest is read.
#[derive(Default)]
pub(super) enum LongCommand {
    /// The command is short, or it is not known yet to be long.
    #[default]
    None,
    /// The rest of the command is unread until its memory is reserved.
    AwaitsMemory {
        /// The requested reservation.
        reservation: PendingReservation,
        /// The number of requested bytes.
        bytes: usize,
        /// The number of bytes that the command has at least.
        min_bytes: usize,
        /// When the reservation was requested.
        since: Instant,
        /// When the command is rejected for lack of memory.
        until: Instant,
    },
    /// Memory for the whole command is reserved.
    Reading {
        /// The reservation.
        reservation: Reservation,
        /// The number of bytes that the command has at least, up to which it is read.
        min_bytes: usize,
        /// Time for which the rest of the command was left unread. Its client may have written all of it before that.
        waited: Duration,
    },
    /// The command is rejected for lack of memory: its rest is discarded.
    Rejected {
        /// The number of bytes of the command that have not been received.
        remaining_bytes: usize,
    },
}
