//! Evaluation of an expectation's requirements on the records of one run.
//!
//! An [`Evaluation`] also has the number of times that the run exercised the requirement, so that a requirement that
//! no run exercised does not count as one that holds.

mod bounds;
mod events;
mod metrics;

use crate::compile::CompiledExpectation;
use crate::history::{RequestHistory, RunHistory};
use crate::requirement::{Bounds, Condition, RequestFilter, Requirement};
use bounds::Unit;
use quartzcleat_config::quantity::format_duration;
use quartzcleat_decision::api::{Nanos, RequestId};
use quartzcleat_invariants::{check, Answer, InvariantLimits, Processes, Record};

/// A violation of a requirement or an invariant by a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The time of the violation, on the clock of the run's records.
    pub at: Nanos,
    /// The request that it concerns; `None` where there is no single one.
    pub request: Option<RequestId>,
    /// The event or value that violates it, as shown in reports.
    pub description: String,
}

/// The result of one run for one requirement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evaluation {
    /// The violation that is reported; `None` if the requirement holds.
    pub violation: Option<Violation>,
    /// The number of times that the run exercised the requirement.
    pub exercised: u64,
    /// The largest value measured, the sum or share, or the number of requests that violate the requirement.
    pub value: f64,
}

/// The first violation of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunFailure {
    /// The index of the requirement in the compiled expectation; `None` for an invariant.
    pub requirement: Option<usize>,
    /// The violation that makes the run fail.
    pub violation: Violation,
}

/// The result of one run for all requirements and invariants.
#[derive(Clone, Debug, PartialEq)]
pub struct Judgement {
    /// One evaluation for each requirement, in the order of the compiled expectation.
    pub evaluations: Vec<Evaluation>,
    /// The first violation in time, at equal times that of a requirement before that of an invariant; `None` if the run
    /// holds.
    pub failure: Option<RunFailure>,
}

/// Judges a complete run by all requirements and invariants.
///
/// `time_tolerance` is the time, in nanoseconds, within which the order of events is unknown: zero in the simulation.
#[must_use]
pub fn judge(
    compiled: &CompiledExpectation,
    records: &[Record],
    time_tolerance: Nanos,
) -> Judgement {
    let evaluations = evaluate_all(compiled, records, time_tolerance);
    let requirements = evaluations
        .iter()
        .enumerate()
        .filter_map(|(index, evaluation)| {
            Some(RunFailure {
                requirement: Some(index),
                violation: evaluation.violation.clone()?,
            })
        });
    let failure = requirements
        .chain(violated_invariants(compiled, records, time_tolerance))
        .min_by_key(|failure| (failure.violation.at, failure.requirement.is_none()));
    Judgement {
        evaluations,
        failure,
    }
}

/// Judges a run that was stopped at a visited state.
///
/// It never reports a failure, because an earlier run went through the same state and was judged on everything that
/// follows.
pub(crate) fn judge_stopped(compiled: &CompiledExpectation, records: &[Record]) -> Judgement {
    Judgement {
        evaluations: evaluate_all(compiled, records, 0),
        failure: None,
    }
}

fn evaluate_all(
    compiled: &CompiledExpectation,
    records: &[Record],
    time_tolerance: Nanos,
) -> Vec<Evaluation> {
    let processes = &compiled.scenario.processes;
    let evaluator = Evaluator {
        processes,
        history: RunHistory::from_records(processes, records),
        time_tolerance,
    };
    compiled
        .requirements
        .iter()
        .map(|requirement| evaluator.evaluate(requirement))
        .collect()
}

fn violated_invariants(
    compiled: &CompiledExpectation,
    records: &[Record],
    time_tolerance: Nanos,
) -> impl Iterator<Item = RunFailure> {
    let limits = InvariantLimits {
        time_tolerance,
        ..compiled.invariant_limits.clone()
    };
    let violations = check(&compiled.scenario.processes, &limits, records);
    violations.into_iter().map(|violation| {
        let invariant = violation.invariant.name();
        let description = violation.description;
        RunFailure {
            requirement: None,
            violation: Violation {
                at: violation.at,
                request: violation.request,
                description: format!("invariant violated ({invariant}): {description}"),
            },
        }
    })
}

/// A value measured for one request.
struct RequestValue<'a> {
    request: &'a RequestHistory,
    value: f64,
}

struct Evaluator<'a> {
    processes: &'a Processes,
    history: RunHistory,
    time_tolerance: Nanos,
}

impl Evaluator<'_> {
    fn evaluate(&self, requirement: &Requirement) -> Evaluation {
        let filter = &requirement.filter;
        match &requirement.condition {
            Condition::Never(event) => self.evaluate_never(filter, event),
            Condition::Always(event) => self.evaluate_always(filter, event),
            Condition::Metric { metric, bounds } => self.evaluate_metric(filter, *metric, *bounds),
            Condition::AnsweredWithin(limit) => self.evaluate_answer_time(filter, *limit),
            Condition::RetryAfter(bounds) => self.evaluate_retry_after(filter, *bounds),
        }
    }

    fn evaluate_answer_time(&self, filter: &RequestFilter, limit: Nanos) -> Evaluation {
        let elapsed = self.history.requests(filter).filter_map(|request| {
            let answered = request.answered?;
            Some(RequestValue {
                request,
                value: (answered.at - request.received_at) as f64,
            })
        });
        let bounds = Bounds {
            at_most: Some((limit + self.time_tolerance) as f64),
            ..Bounds::default()
        };
        evaluate_each(elapsed, bounds, "answered after", Unit::Nanoseconds)
    }

    fn evaluate_retry_after(&self, filter: &RequestFilter, bounds: Bounds) -> Evaluation {
        let delays = self.history.requests(filter).filter_map(|request| {
            let Answer::Rejected(retry_after) = request.answer()? else {
                return None;
            };
            Some(RequestValue {
                request,
                value: retry_after as f64,
            })
        });
        // On sockets a limiter states `retry_after` in whole milliseconds.
        let tolerance = self.time_tolerance as f64;
        let bounds = Bounds {
            at_least: bounds.at_least.map(|bound| bound - tolerance),
            at_most: bounds.at_most.map(|bound| bound + tolerance),
            is_share: false,
        };
        evaluate_each(
            delays,
            bounds,
            "rejected with retry_after",
            Unit::Nanoseconds,
        )
    }
}

/// Evaluates the bounds for each of the values.
///
/// The result has the largest value and the first violation in the order of `values`.
fn evaluate_each<'a>(
    values: impl Iterator<Item = RequestValue<'a>>,
    bounds: Bounds,
    label: &str,
    unit: Unit,
) -> Evaluation {
    let mut evaluation = Evaluation::default();
    for RequestValue { request, value } in values {
        evaluation.exercised += 1;
        evaluation.value = evaluation.value.max(value);
        if let Some(excess) = bounds.describe_violation(value, unit) {
            let at = request
                .answered
                .map_or(request.received_at, |answered| answered.at);
            evaluation.violation.get_or_insert(Violation {
                at,
                request: Some(request.id),
                description: format!("{label} {excess}"),
            });
        }
    }
    evaluation
}

fn describe_answer(answer: Answer) -> String {
    match answer {
        Answer::Served => "served".to_owned(),
        Answer::Failed => "failed".to_owned(),
        Answer::Rejected(0) => "rejected without retry_after".to_owned(),
        Answer::Rejected(retry_after) => {
            format!("rejected with retry_after {}", format_duration(retry_after))
        }
    }
}
