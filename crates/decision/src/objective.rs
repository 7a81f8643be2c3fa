//! Answer times measured against the latency objective of a class.

use crate::api::{Class, Nanos};
use crate::time::to_seconds;

/// Maximum objective ratio of a prompt answer. A higher ratio shows that requests queue at the host.
pub(crate) const PROMPT_OBJECTIVE_RATIO: f64 = 0.3;

/// Returns the answer time as a multiple of the class's latency objective.
pub(crate) fn objective_ratio(elapsed: Nanos, class: &Class) -> f64 {
    to_seconds(elapsed) / to_seconds(class.latency_objective)
}
