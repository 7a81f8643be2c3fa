//! Request lifecycle: from arrival over admission, queue, attempts and retries to the final answer. Calls
//! `quota` and `host_selection`, which know neither it nor each other. Knows neither sockets nor clocks.

mod admission;
mod completion;
mod dispatch;
mod engine;
mod queue;
mod request;

use crate::api::*;
use crate::quota::QuotaClaim;
pub use engine::DecisionEngine;
use request::*;

/// Appends a class and a plan for indices out of range: not idempotent, without a quota.
fn with_fallbacks(mut settings: Settings) -> Settings {
    settings.classes.push(Class {
        latency_objective: Nanos::MAX,
        priority_weight: 1.0,
        ..Class::default()
    });
    settings.plans.push(Plan {
        weight_factor: 1.0,
        ..Plan::default()
    });
    settings.limiters.count = settings.limiters.count.max(1);
    settings
}

impl DecisionEngine {
    fn class(&self, request: &PendingRequest) -> &Class {
        &self.settings.classes[request.requirements.class]
    }

    /// Time by which an answer meets the request's latency objective.
    fn objective_deadline(&self, request: &PendingRequest) -> Nanos {
        let objective = self.class(request).latency_objective;
        request
            .arrived_at
            .saturating_add(objective)
            .min(request.deadline)
    }
}
