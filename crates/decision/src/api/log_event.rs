//! Log events: conditions that the decision engine reports to the operators.

use super::HostId;
use std::fmt;

/// A condition that operators should know of. The caller decides on its text and its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// Most counter calls fail or are too slow: most verdicts are based on local knowledge.
    CounterDegraded,
    /// Counter calls are answered in time again.
    CounterRecovered,
    /// Several attempts at one host failed without a success between them.
    HostFailing {
        /// The host.
        host: HostId,
        /// Number of failures in a row.
        consecutive_failures: u32,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::CounterDegraded => formatter.write_str("counter degraded"),
            LogEvent::CounterRecovered => formatter.write_str("counter recovered"),
            LogEvent::HostFailing {
                host,
                consecutive_failures,
            } => write!(
                formatter,
                "host {} failing: {consecutive_failures} consecutive failures",
                host.0
            ),
        }
    }
}
