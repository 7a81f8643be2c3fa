//! Log events: conditions that the decision engine reports to the operators.

use super::HostId;
use std::fmt;

/// A condition that operators should know about. The caller decides on its text and its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// Most counter calls fail or are too slow, so that most verdicts are based on local knowledge.
    CounterDegraded,
    /// Counter calls are answered in time again.
    CounterRecovered,
    /// Several consecutive attempts at one host failed.
    HostFailing {
        /// Host that the attempts were sent to.
        host: HostId,
        /// Number of failures since the last success.
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
