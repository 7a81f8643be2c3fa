//! The faults of the section's values.

use crate::value::ValueError;
use std::net::SocketAddr;
use thiserror::Error;

/// A value of the section `lease` is invalid. The text names the remedy; file, line and key are added by the reader.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum LeaseConfigError {
    /// A lease shorter than 100 ms ends before its renewal succeeds on a busy machine.
    #[error("a lease lasts from 100ms to 10m")]
    DurationOutOfRange,
    /// The drift is taken off the holder's validity, so that a large one leaves little of it.
    #[error("a clock drift above 20% leaves no lease; write a share such as 1%")]
    DriftTooLarge,
    /// A name that is no limiter's.
    #[error("{name:?} is not one of lease.limiters")]
    UnknownLimiter {
        /// The name.
        name: String,
    },
    /// Two entries of a list have one name.
    #[error("{name:?} is named twice")]
    DuplicateName {
        /// The name.
        name: String,
    },
    /// An even number of acceptors.
    #[error("{count} acceptors; an odd number has a majority on one side of any split")]
    EvenAcceptorCount {
        /// How many there are.
        count: usize,
    },
    /// An operation that may not fit into the lease.
    #[error("an operation of {task:?} may take more than half of the lease")]
    OperationTooLong {
        /// The task's name.
        task: String,
    },
    /// A text that is not an address.
    #[error("{text:?} is not an address; write one such as 10.1.0.7:7201")]
    InvalidAddress {
        /// The text.
        text: String,
    },
    /// The limiters are not a map.
    #[error("not a map; write name: address lines")]
    LimitersNotAMap,
    /// A limiter's address is invalid.
    #[error("{limiter} (line {line}): {source}")]
    InvalidLimiter {
        /// The limiter's name.
        limiter: String,
        /// Its line in the file.
        line: u32,
        /// The fault of its address.
        source: Box<LeaseConfigError>,
    },
    /// Two limiters have one address.
    #[error("{address} is another limiter's too")]
    DuplicateAddress {
        /// The address.
        address: SocketAddr,
    },
    /// A task's name is empty, too long, or contains spaces.
    #[error("a name has 1 to 64 letters without spaces")]
    InvalidTaskName,
    /// A task has two actions.
    #[error("a task has a target or an export, not both")]
    TargetAndExport,
    /// A task has no action.
    #[error("a task needs a target (address:port) or an export (spool and sink)")]
    MissingAction,
    /// The pause between operations, or their longest duration, is zero.
    #[error("0; an operation takes some time, and so does the pause before the next")]
    ZeroInterval,
    /// A clock fault is larger than any test needs.
    #[error("the clock of a trial is wrong by 20% at most")]
    ClockErrorTooLarge,
    /// A value that the common reader has rejected.
    #[error(transparent)]
    InvalidValue(#[from] ValueError),
}
