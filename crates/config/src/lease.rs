//! The section `lease` of the product file: acceptors and proposers of fleet-wide tasks, and how long a lease lasts.
//!
//! Without the section a limiter neither listens to other limiters nor sends to them.

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

/// The section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// This limiter's name among `limiters`.
    pub limiter: String,
    /// The file with the key that all limiters share.
    pub key_file: PathBuf,
    /// How long an accepted proposal stays valid at an acceptor.
    pub duration: Duration,
    /// The greatest difference in rate between two clocks, in thousandths.
    pub drift_per_mille: u64,
    /// The address of each limiter; a limiter's index is its place in this order.
    pub limiters: BTreeMap<String, SocketAddr>,
    /// The limiters that are acceptors; an odd number.
    pub acceptors: Vec<String>,
    /// The tasks.
    pub tasks: Vec<Task>,
    /// By how much this process's clocks are wrong on purpose.
    pub clock_fault: ClockFault,
    /// Where this process aborts itself, in a test.
    pub scheduled_crash: Option<ScheduledCrash>,
}

/// A task that one limiter at a time carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// Its name.
    pub name: String,
    /// The operation of the lease holder.
    pub action: TaskAction,
    /// The pause between two operations.
    pub interval: Duration,
    /// The longest duration of one operation.
    pub max_operation_duration: Duration,
}

/// The operation that the holder of a task's lease repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskAction {
    /// Sends a line to a target over TCP.
    Heartbeat {
        /// The target's address.
        target: SocketAddr,
    },
    /// Writes each customer's usage to a sink.
    ExportUsage {
        /// This limiter's own folder, for usage that is not in the sink yet.
        spool: PathBuf,
        /// The folder that all limiters share.
        sink: PathBuf,
    },
}
