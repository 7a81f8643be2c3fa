//! Evaluation of metrics over requests against their bounds.

use super::bounds::Unit;
use super::{evaluate_each, Evaluation, Evaluator, RequestValue, Violation};
use crate::history::RequestHistory;
use crate::requirement::{Bounds, Metric, RequestFilter};
use quartzcleat_decision::api::{Nanos, RequestId};
use quartzcleat_invariants::Answer;
use std::collections::BTreeMap;

/// The contribution of a request to a sum, and the largest contribution that it could have made.
#[derive(Clone, Copy)]
struct Contribution {
    amount: f64,
    possible: f64,
}

/// A sum over requests.
#[derive(Default)]
struct Total {
    amount: f64,
    possible: f64,
    last: Option<LastContribution>,
}

/// The last request that contributed to a sum.
#[derive(Clone, Copy)]
struct LastContribution {
    at: Nanos,
    request: RequestId,
}

/// A change by +1 or -1 of the number of attempts in flight.
struct InFlightChange<'a> {
    at: Nanos,
    change: i32,
    request: &'a RequestHistory,
}

/// All attempts of an operation.
struct OperationAttempts<'a> {
    attempts: usize,
    first_request: &'a RequestHistory,
}

impl Evaluator<'_> {
    pub(super) fn evaluate_metric(
        &self,
        filter: &RequestFilter,
        metric: Metric,
        bounds: Bounds,
    ) -> Evaluation {
        match metric {
            Metric::Attempts => self.evaluate_attempts(filter, bounds),
            Metric::Executions => self.evaluate_executions(filter, bounds),
            Metric::AttemptsInFlight => self.evaluate_attempts_in_flight(filter, bounds),
            Metric::ForwardedUnits
            | Metric::Forwarded
            | Metric::Served
            | Metric::Rejected
            | Metric::Failed
            | Metric::CrossZoneAttempts
            | Metric::HostShare(_) => self.evaluate_sum(filter, metric, bounds),
        }
    }

    fn evaluate_attempts(&self, filter: &RequestFilter, bounds: Bounds) -> Evaluation {
        let attempts = self.history.requests(filter).map(|request| RequestValue {
            request,
            value: request.attempts.len() as f64,
        });
        // Another attempt is possible only after one has failed.
        let exercised = self
            .history
            .requests(filter)
            .filter(|request| request.has_failed_attempt)
            .count() as u64;
        Evaluation {
            exercised,
            ..evaluate_each(attempts, bounds, "attempts:", Unit::Number)
        }
    }

    fn evaluate_executions(&self, filter: &RequestFilter, bounds: Bounds) -> Evaluation {
        let mut operations: BTreeMap<u64, OperationAttempts<'_>> = BTreeMap::new();
        for request in self.history.requests(filter) {
            let operation = operations
                .entry(request.operation)
                .or_insert(OperationAttempts {
                    attempts: 0,
                    first_request: request,
                });
            operation.attempts += request.attempts.len();
        }
        let exercised = operations
            .values()
            .filter(|operation| operation.attempts > 1)
            .count() as u64;
        let executions = operations.iter().map(|(id, operation)| RequestValue {
            request: operation.first_request,
            value: f64::from(self.history.executions(*id)),
        });
        Evaluation {
            exercised,
            ..evaluate_each(executions, bounds, "executions:", Unit::Number)
        }
    }

    fn evaluate_attempts_in_flight(&self, filter: &RequestFilter, bounds: Bounds) -> Evaluation {
        let mut changes = Vec::new();
        for request in self.history.requests(filter) {
            let change = |at, change| InFlightChange {
                at,
                change,
                request,
            };
            changes.extend(request.attempt_ends.iter().map(|at| change(*at, -1)));
            changes.extend(request.attempts.iter().map(|sent| change(sent.at, 1)));
        }
        changes.sort_by_key(|change| (change.at, change.change));
        let mut in_flight = 0;
        let values = changes.into_iter().map(|change| {
            in_flight += change.change;
            RequestValue {
                request: change.request,
                value: f64::from(in_flight),
            }
        });
        // The bound is exercised only if there were more requests than it allows in flight.
        let requests = self.history.requests(filter).count() as f64;
        let is_exercised = bounds.at_most.is_none_or(|at_most| requests > at_most);
        Evaluation {
            exercised: u64::from(is_exercised),
            ..evaluate_each(values, bounds, "concurrent attempts:", Unit::Number)
        }
    }

    fn evaluate_sum(&self, filter: &RequestFilter, metric: Metric, bounds: Bounds) -> Evaluation {
        let total = self.sum(filter, metric);
        let is_share = bounds.is_share || matches!(metric, Metric::HostShare(_));
        let has_any = total.possible > 0.0;
        let value = if is_share && has_any {
            total.amount / total.possible
        } else {
            total.amount
        };
        // An upper bound that the run could not have exceeded was not exercised.
        let can_exceed_bound = is_share
            || bounds
                .at_most
                .is_none_or(|at_most| total.possible > at_most);
        let violation = bounds
            .describe_violation(value, Unit::Number)
            .map(|excess| Violation {
                at: total.last.map_or(self.history.start, |last| last.at),
                request: total.last.map(|last| last.request),
                description: format!("{} {excess}", self.label(metric)),
            });
        Evaluation {
            violation,
            exercised: u64::from(has_any && can_exceed_bound),
            value,
        }
    }

    fn sum(&self, filter: &RequestFilter, metric: Metric) -> Total {
        let mut total = Total::default();
        for request in self.history.requests(filter) {
            let contribution = contribution(request, metric);
            total.amount += contribution.amount;
            total.possible += contribution.possible;
            if contribution.amount > 0.0 {
                total.last = Some(LastContribution {
                    at: request
                        .attempts
                        .last()
                        .map_or(request.received_at, |attempt| attempt.at),
                    request: request.id,
                });
            }
        }
        total
    }

    /// Returns the metric's name in violation descriptions; empty for a metric that is not a sum.
    fn label(&self, metric: Metric) -> String {
        let label = match metric {
            Metric::ForwardedUnits => "units forwarded:",
            Metric::Forwarded => "requests forwarded:",
            Metric::Served => "served:",
            Metric::Rejected => "rejected:",
            Metric::Failed => "failed:",
            Metric::CrossZoneAttempts => "attempts in another zone:",
            Metric::HostShare(host) => {
                let host = self.processes.host(host);
                return format!("share of the attempts at {host}:");
            }
            Metric::Attempts | Metric::Executions | Metric::AttemptsInFlight => "",
        };
        label.to_owned()
    }
}

/// Returns the contribution of a request to a metric that is a sum; zero for any other metric.
fn contribution(request: &RequestHistory, metric: Metric) -> Contribution {
    let one_if = |holds: bool| Contribution {
        amount: f64::from(u8::from(holds)),
        possible: 1.0,
    };
    let attempts = |count: usize| Contribution {
        amount: count as f64,
        possible: request.attempts.len() as f64,
    };
    let sent = request.attempts.iter();
    match metric {
        Metric::ForwardedUnits => Contribution {
            amount: if request.is_forwarded() {
                request.units
            } else {
                0.0
            },
            possible: request.units,
        },
        Metric::Forwarded => one_if(request.is_forwarded()),
        Metric::Served => one_if(request.answer() == Some(Answer::Served)),
        Metric::Rejected => one_if(request.is_rejected()),
        Metric::Failed => one_if(request.answer() == Some(Answer::Failed)),
        Metric::CrossZoneAttempts => attempts(sent.filter(|attempt| attempt.is_cross_zone).count()),
        Metric::HostShare(host) => attempts(sent.filter(|attempt| attempt.host == host).count()),
        Metric::Attempts | Metric::Executions | Metric::AttemptsInFlight => Contribution {
            amount: 0.0,
            possible: 0.0,
        },
    }
}
