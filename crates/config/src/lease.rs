//! The section `lease` of the product file: the acceptors and proposers of leases for fleet-wide tasks, and how long a
//! lease lasts.
//!
//! Without this section, a limiter neither listens for messages of other limiters nor sends any.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

mod error;
mod limiters;
mod section;
mod task;
mod testing;
#[cfg(test)]
mod tests;

pub use error::LeaseConfigError;
pub(crate) use section::read;
pub use testing::{ClockFault, CrashPoint, ScheduledCrash, CRASH_POINTS};

/// The validated section `lease`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// This limiter's name, a key of `limiters`.
    pub limiter: String,
    /// The file that contains the key shared by all limiters.
    pub key_file: PathBuf,
    /// How long an accepted proposal stays valid at an acceptor, from 100 ms to 10 min.
    pub duration: Duration,
    /// The greatest rate difference between two limiters' clocks, in thousandths, up to 200.
    pub drift_per_mille: u64,
    /// The addresses of the limiters by name. A limiter's index is its position in this order.
    pub limiters: BTreeMap<String, SocketAddr>,
    /// The names of the limiters that are acceptors; an odd number without duplicates.
    pub acceptors: Vec<String>,
    /// The fleet-wide tasks, with unique names.
    pub tasks: Vec<Task>,
    /// The clock error that a test injects into this process; zero by default.
    pub clock_fault: ClockFault,
    /// The point at which a test makes this process abort; `None` outside tests.
    pub scheduled_crash: Option<ScheduledCrash>,
}

/// A task that only the current lease holder carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// The name: 1 to 64 visible ASCII characters.
    pub name: String,
    /// The operation that the lease holder repeats.
    pub action: TaskAction,
    /// The pause between two operations; not zero.
    pub interval: Duration,
    /// The longest duration of one operation; not zero, and at most half of the lease duration.
    pub max_operation_duration: Duration,
}

/// The operation that the holder of a task's lease repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskAction {
    /// Sends one line to a target over TCP.
    Heartbeat {
        /// The address to connect to.
        target: SocketAddr,
    },
    /// Exports each customer's usage to a sink.
    ExportUsage {
        /// The limiter's own folder, for usage that is not in the sink yet.
        spool: PathBuf,
        /// The export folder, which all limiters share.
        sink: PathBuf,
    },
}
