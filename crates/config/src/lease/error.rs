//! Errors in the values of the section `lease`.

use crate::value::ValueError;
use std::net::SocketAddr;
use thiserror::Error;

/// An invalid value in the section `lease`. The message names the remedy; the reader adds file, line and key.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum LeaseConfigError {
    /// A lease duration outside 100 ms to 10 min. A shorter lease expires before its renewal succeeds on a busy
    /// machine.
    #[error("must be from 100ms to 10m")]
    DurationOutOfRange,
    /// A clock drift above 20%. The drift is subtracted from the holder's validity period, so a large one leaves little
    /// of it.
    #[error(
        "a clock drift above 20% leaves too little of the lease; write a percentage such as 1%"
    )]
    DriftTooLarge,
    /// A name that is not in `limiters`.
    #[error("{name:?} is not one of lease.limiters")]
    UnknownLimiter {
        /// The unknown name.
        name: String,
    },
    /// A name that occurs twice in a list.
    #[error("duplicate name {name:?}")]
    DuplicateName {
        /// The name that occurs twice.
        name: String,
    },
    /// An even number of acceptors, which a network partition can split into two halves without a majority.
    #[error("{count} acceptors; an odd number is required, so that every network partition has a majority on one side")]
    EvenAcceptorCount {
        /// The number of acceptors.
        count: usize,
    },
    /// A task whose longest operation takes more than half of the lease duration.
    #[error("max_operation_duration of {task:?} is more than half of the lease duration")]
    OperationTooLong {
        /// The name of the task.
        task: String,
    },
    /// Text that is not a socket address.
    #[error("{text:?} is not a socket address; write one such as 10.1.0.7:7201")]
    InvalidAddress {
        /// The value as written in the file.
        text: String,
    },
    /// A value of `limiters` that is not a map of names to addresses.
    #[error("not a map; write name: address lines")]
    LimitersNotAMap,
    /// An invalid address of a limiter.
    #[error("{limiter} (line {line}): {source}")]
    InvalidLimiter {
        /// The name of the limiter.
        limiter: String,
        /// The line of its entry in the file.
        line: u32,
        /// The error in its address.
        source: Box<LeaseConfigError>,
    },
    /// An address that two limiters have.
    #[error("{address} is already the address of another limiter")]
    DuplicateAddress {
        /// The address that occurs twice.
        address: SocketAddr,
    },
    /// A task name that is empty, longer than 64 bytes, or contains characters other than visible ASCII.
    #[error("a task name must consist of 1 to 64 visible ASCII characters")]
    InvalidTaskName,
    /// A task with both a target and an export.
    #[error("a task cannot have both a target and an export")]
    TargetAndExport,
    /// A task with neither a target nor an export.
    #[error("a task needs a target (address:port) or an export (spool and sink)")]
    MissingAction,
    /// A task whose `every` or `max_operation_duration` is zero.
    #[error("every and max_operation_duration must not be 0")]
    ZeroInterval,
    /// An injected clock rate error above 20%.
    #[error("the injected clock rate error must not exceed 20%")]
    ClockErrorTooLarge,
    /// A value that a generic reader rejects, such as a list where text is expected.
    #[error(transparent)]
    InvalidValue(#[from] ValueError),
}
