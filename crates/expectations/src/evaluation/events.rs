//! Evaluation of events that must never or always happen to requests.

use super::{describe_answer, Evaluation, Evaluator, Violation};
use crate::history::{AnsweredAt, RequestHistory, SentAttempt};
use crate::requirement::{RequestEvent, RequestFilter};
use quartzcleat_decision::api::{HostState, Nanos};
use quartzcleat_invariants::Answer;
use std::collections::BTreeSet;

/// The time and description of an event that happened to a request.
struct Occurrence {
    at: Nanos,
    description: String,
}

/// The number of times that an event could have happened to a request, and its first occurrence, if any.
struct Opportunities {
    count: u64,
    first: Option<Occurrence>,
}

/// Whether a required event happened to a request, and the description used if it did not.
struct Expected {
    holds: bool,
    opposite: &'static str,
}

impl Evaluator<'_> {
    pub(super) fn evaluate_never(
        &self,
        filter: &RequestFilter,
        event: &RequestEvent,
    ) -> Evaluation {
        let mut evaluation = Evaluation::default();
        for request in self.history.requests(filter) {
            let opportunities = self.find_event(request, event);
            evaluation.exercised += opportunities.count;
            if let Some(occurrence) = opportunities.first {
                record_violation(&mut evaluation, request, occurrence);
            }
        }
        evaluation
    }

    pub(super) fn evaluate_always(
        &self,
        filter: &RequestFilter,
        event: &RequestEvent,
    ) -> Evaluation {
        let mut evaluation = Evaluation::default();
        for request in self.history.requests(filter) {
            let Some(AnsweredAt { answer, at }) = request.answered else {
                continue;
            };
            evaluation.exercised += 1;
            let expected = expect_event(request, answer, event);
            if expected.holds {
                continue;
            }
            let description = format!("{}, but {}", expected.opposite, describe_answer(answer));
            record_violation(&mut evaluation, request, Occurrence { at, description });
        }
        evaluation
    }

    /// Counts how often an event could have happened to a request, and finds its first occurrence.
    fn find_event(&self, request: &RequestHistory, event: &RequestEvent) -> Opportunities {
        match event {
            RequestEvent::ReachesUnavailableHost { state, grace } => {
                self.find_unavailable_host(request, *state, *grace)
            }
            RequestEvent::ReachesWarmingUpHost => Opportunities {
                count: count(request, |attempt| {
                    attempt.known_hosts.has_warming_up || attempt.is_host_warming_up
                }),
                first: self.find_attempt(request, "which is in slow start", |attempt| {
                    attempt.is_host_warming_up
                }),
            },
            RequestEvent::ReachesHost(host) => Opportunities {
                count: request.attempts.len() as u64,
                first: self.find_attempt(request, "which this requirement excludes", |attempt| {
                    attempt.host == *host
                }),
            },
            RequestEvent::LeavesZone => Opportunities {
                count: count(request, |attempt| {
                    attempt.known_hosts.has_other_zone || attempt.is_cross_zone
                }),
                first: self
                    .find_attempt(request, "in another zone", |attempt| attempt.is_cross_zone),
            },
            RequestEvent::ReachesHostTwice => self.find_host_twice(request),
            RequestEvent::Rejected => {
                find_answer(request, |answer| matches!(answer, Answer::Rejected(_)))
            }
            RequestEvent::RejectedWithoutRetryAfter => Opportunities {
                count: u64::from(request.is_rejected()),
                ..find_answer(request, |answer| answer == Answer::Rejected(0))
            },
            RequestEvent::Served => find_answer(request, |answer| answer == Answer::Served),
            RequestEvent::Failed => find_answer(request, |answer| answer == Answer::Failed),
        }
    }

    fn find_unavailable_host(
        &self,
        request: &RequestHistory,
        state: HostState,
        grace: Nanos,
    ) -> Opportunities {
        let grace = grace + self.time_tolerance;
        let is_late = |attempt: &SentAttempt| {
            attempt.known_state.is_some_and(|known| {
                let is_past_grace = attempt.at > known.since + grace;
                let is_without_grace = grace == 0 && attempt.at >= known.since;
                known.state == state && (is_past_grace || is_without_grace)
            })
        };
        match state {
            HostState::Gone => Opportunities {
                count: count(request, |attempt| attempt.known_hosts.has_gone),
                first: self.find_attempt(request, "which it knew to be gone", is_late),
            },
            HostState::Ready | HostState::Draining => Opportunities {
                count: count(request, |attempt| attempt.known_hosts.has_draining),
                first: self.find_attempt(request, "which it knew to be draining", is_late),
            },
        }
    }

    fn find_host_twice(&self, request: &RequestHistory) -> Opportunities {
        let mut hosts = BTreeSet::new();
        let repeated = request
            .attempts
            .iter()
            .find(|attempt| !hosts.insert(attempt.host));
        Opportunities {
            count: u64::from(request.attempts.len() > 1),
            first: repeated.map(|attempt| Occurrence {
                at: attempt.at,
                description: format!(
                    "sent to {} a second time",
                    self.processes.host(attempt.host)
                ),
            }),
        }
    }

    fn find_attempt(
        &self,
        request: &RequestHistory,
        reason: &str,
        matches: impl Fn(&SentAttempt) -> bool,
    ) -> Option<Occurrence> {
        let attempt = request.attempts.iter().find(|attempt| matches(attempt))?;
        let host = self.processes.host(attempt.host);
        Some(Occurrence {
            at: attempt.at,
            description: format!("sent to {host}, {reason}"),
        })
    }
}

/// Counts a request that violates a requirement, and keeps the first one for the report.
fn record_violation(evaluation: &mut Evaluation, request: &RequestHistory, occurrence: Occurrence) {
    evaluation.value += 1.0;
    evaluation.violation.get_or_insert(Violation {
        at: occurrence.at,
        request: Some(request.id),
        description: occurrence.description,
    });
}

/// Counts the attempts of a request that match.
fn count(request: &RequestHistory, matches: impl Fn(&SentAttempt) -> bool) -> u64 {
    request
        .attempts
        .iter()
        .filter(|attempt| matches(attempt))
        .count() as u64
}

/// Finds an answer that matches. Each answered request is one opportunity.
fn find_answer(request: &RequestHistory, matches: impl Fn(Answer) -> bool) -> Opportunities {
    let occurrence = |AnsweredAt { answer, at }| {
        matches(answer).then(|| Occurrence {
            at,
            description: describe_answer(answer),
        })
    };
    Opportunities {
        count: u64::from(request.answered.is_some()),
        first: request.answered.and_then(occurrence),
    }
}

/// Returns whether an event happened to an answered request, with the description of its opposite.
fn expect_event(request: &RequestHistory, answer: Answer, event: &RequestEvent) -> Expected {
    let holds_for_attempts =
        |matches: fn(&SentAttempt) -> bool| request.attempts.iter().all(matches);
    match event {
        RequestEvent::Served => Expected {
            holds: answer == Answer::Served,
            opposite: "not served",
        },
        RequestEvent::Rejected => Expected {
            holds: matches!(answer, Answer::Rejected(_)),
            opposite: "not rejected",
        },
        RequestEvent::RejectedWithoutRetryAfter => Expected {
            holds: answer == Answer::Rejected(0),
            opposite: "not rejected, or rejected with a retry_after",
        },
        RequestEvent::Failed => Expected {
            holds: answer == Answer::Failed,
            opposite: "not failed",
        },
        RequestEvent::LeavesZone => Expected {
            holds: holds_for_attempts(|attempt| attempt.is_cross_zone),
            opposite: "sent within its zone",
        },
        RequestEvent::ReachesWarmingUpHost => Expected {
            holds: holds_for_attempts(|attempt| attempt.is_host_warming_up),
            opposite: "sent to a node that is not in slow start",
        },
        RequestEvent::ReachesHost(host) => Expected {
            holds: request.attempts.iter().all(|attempt| attempt.host == *host),
            opposite: "sent to another node",
        },
        RequestEvent::ReachesUnavailableHost { .. } | RequestEvent::ReachesHostTwice => Expected {
            holds: false,
            opposite: "cannot be required of every request",
        },
    }
}
