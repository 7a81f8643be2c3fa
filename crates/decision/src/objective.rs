//! Answer times measured against the latency objective of a class.

use crate::api::{Class, Nanos};
use crate::time::to_seconds;

/// The objective ratio up to which an answer is prompt. A higher one shows that requests queue at the host.
pub(crate) const PROMPT_OBJECTIVE_RATIO: f64 = 0.3;

/// Answer time as a multiple of the class's latency objective.
pub(crate) fn objective_ratio(elapsed: Nanos, class: &Class) -> f64 {
    to_seconds(elapsed) / to_seconds(class.latency_objective)
}
