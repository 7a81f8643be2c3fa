//! Errors in the values of the section `lease`.

use crate::value::ValueError;
use std::net::SocketAddr;
use thiserror::Error;

/// An invalid value in the section `lease`. The message names the remedy; the reader adds file, line and key.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum LeaseConfigError {
    /// A lease duration outside 100 ms to 10 min. A shorter lease expires before its renewal succeeds on a busy machine.
    #[error("a lease lasts from 100ms to 10m")]
    DurationOutOfRange,
    /// A clock drift above 20%. The drift is subtracted from the holder's validity period, so a large one leaves little of
    /// it.
    #[error("a clock drift above 20% leaves no lease; write a share such as 1%")]
    DriftTooLarge,
    /// A name that is not in `limiters`.
    #[error("{name:?} is not one of lease.limiters")]
    UnknownLimiter {
        /// The name.
        name: String,
    },
    /// A name that occurs twice in a list.
    #[error("{name:?} is named twice")]
    DuplicateName {
        /// The name.
        name: String,
    },
    /// An even number of acceptors, which a network partition can split into two halves without a majority.
    #[error("{count} acceptors; an odd number has a majority on one side of any split")]
    EvenAcceptorCount {
        /// The number of acceptors.
        count: usize,
    },
    /// A task whose longest operation takes more than half of the lease duration.
    #[error("an operation of {task:?} may take more than half of the lease")]
    OperationTooLong {
        /// The task's name.
        task: String,
    },
    /// Text that is not a socket address.
    #[error("{text:?} is not an address; write one such as 10.1.0.7:7201")]
    InvalidAddress {
        /// The text.
        text: String,
    },
    /// A value of `limiters` that is not a map of names to addresses.
    #[error("not a map; write name: address lines")]
    LimitersNotAMap,
    /// An invalid address of a limiter.
    #[error("{limiter} (line {line}): {source}")]
    InvalidLimiter {
        /// The limiter's name.
        limiter: String,
        /// The line of its entry in the file.
        line: u32,
        /// The error in its address.
        source: Box<LeaseConfigError>,
    },
    /// An address that two limiters have.
    #[error("{address} is another limiter's too")]
    DuplicateAddress {
        /// The address.
        address: SocketAddr,
    },
    /// A task name that is empty, longer than 64 bytes, or contains characters other than visible ASCII.
    #[error("a name has 1 to 64 letters without spaces")]
    InvalidTaskName,
    /// A task with both a target and an export.
    #[error("a task has a target or an export, not both")]
    TargetAndExport,
    /// A task with neither a target nor an export.
    #[error("a task needs a target (address:port) or an export (spool and sink)")]
    MissingAction,
    /// A task whose `every` or `max_operation_duration` is zero.
    #[error("0; an operation takes some time, and so does the pause before the next")]
    ZeroInterval,
    /// An injected clock rate error above 20%.
    #[error("the clock of a trial is wrong by 20% at most")]
    ClockErrorTooLarge,
    /// A value that a generic reader rejects, such as a list where text is expected.
    #[error(transparent)]
    InvalidValue(#[from] ValueError),
}
