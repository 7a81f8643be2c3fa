//! Renders records as a human-readable timeline: one line per fact, with times relative to the start of the run.

use crate::process::Processes;
use crate::record::{Answer, Fact, Record};
use quartzcleat_decision::api::{HostState, Nanos, Outcome, RequestId};
use std::collections::BTreeMap;

/// Nanoseconds per millisecond, the unit of the times in a timeline.
const NANOS_PER_MILLISECOND: f64 = 1e6;

/// Renders records as the lines of a timeline. Requests are numbered from 1 in the order in which they were received.
#[must_use]
pub fn render(processes: &Processes, records: &[Record]) -> Vec<String> {
    let start = records.iter().map(|record| record.at).min().unwrap_or(0);
    let renderer = Renderer {
        processes,
        request_numbers: number_requests(records),
    };
    records
        .iter()
        .map(|record| {
            let time = format_milliseconds(record.at - start);
            format!("{time:>12}  {}", renderer.render_fact(&record.fact))
        })
        .collect()
}

fn number_requests(records: &[Record]) -> BTreeMap<RequestId, usize> {
    let mut numbers = BTreeMap::new();
    for record in records {
        if let Fact::RequestReceived { request, .. } = record.fact {
            let next = numbers.len() + 1;
            numbers.entry(request).or_insert(next);
        }
    }
    numbers
}

struct Renderer<'a> {
    processes: &'a Processes,
    request_numbers: BTreeMap<RequestId, usize>,
}

impl Renderer<'_> {
    fn render_fact(&self, fact: &Fact) -> String {
        let processes = self.processes;
        match fact {
            Fact::RequestReceived { request, .. }
            | Fact::Executed { request, .. }
            | Fact::AttemptEnded { request, .. }
            | Fact::UnitsSettled { request, .. }
            | Fact::Answered { request, .. }
            | Fact::ClientLeft { request } => {
                self.render_request_fact(&self.request_label(*request), fact)
            }
            Fact::AttemptSent { .. } | Fact::HostStateLearned { .. } => {
                self.render_limiter_fact(fact)
            }
            Fact::HostStarted { host } => {
                format!("{} starts and is warming up", processes.host(*host))
            }
            Fact::HostOverloaded { host } => format!(
                "{} is overloaded: it received more than it can execute while warming up",
                processes.host(*host)
            ),
            Fact::LimiterDied { limiter } => format!("{} crashes", processes.limiter(*limiter)),
            Fact::Note(text) => text.clone(),
        }
    }

    /// Renders a fact about a request; empty for any other fact.
    fn render_request_fact(&self, request: &str, fact: &Fact) -> String {
        match fact {
            Fact::RequestReceived {
                limiter,
                class,
                partner,
                units,
                ..
            } => format!(
                "{request} arrives at {}: a {} of {units} units from {}",
                self.processes.limiter(*limiter),
                self.processes.class(*class),
                self.processes.partner(*partner),
            ),
            Fact::Executed {
                host, deduplicated, ..
            } => {
                let host = self.processes.host(*host);
                if *deduplicated {
                    format!("{host} deduplicates {request}")
                } else {
                    format!("{host} executes {request}")
                }
            }
            Fact::AttemptEnded {
                attempt, outcome, ..
            } => format!(
                "attempt {} of {request} ends: {}",
                attempt.0 + 1,
                outcome_text(*outcome)
            ),
            Fact::UnitsSettled { units, .. } => format!("{request} is settled at {units} units"),
            Fact::Answered { answer, .. } => format!("{request} is {}", answer_text(*answer)),
            Fact::ClientLeft { .. } => format!("the client of {request} disconnects"),
            _ => String::new(),
        }
    }

    /// Renders a fact about an action or observation of a limiter; empty for any other fact.
    fn render_limiter_fact(&self, fact: &Fact) -> String {
        match fact {
            Fact::HostStateLearned {
                limiter,
                host,
                state,
            } => format!(
                "{} is notified that {} {}",
                self.processes.limiter(*limiter),
                self.processes.host(*host),
                state_text(*state)
            ),
            Fact::AttemptSent {
                limiter,
                request,
                attempt,
                host,
                warming_up,
            } => format!(
                "{} sends {} to {}{} (attempt {})",
                self.processes.limiter(*limiter),
                self.request_label(*request),
                self.processes.host(*host),
                if *warming_up {
                    ", which is warming up"
                } else {
                    ""
                },
                attempt.0 + 1
            ),
            _ => String::new(),
        }
    }

    fn request_label(&self, request: RequestId) -> String {
        match self.request_numbers.get(&request) {
            Some(number) => format!("request {number}"),
            None => "a request".to_owned(),
        }
    }
}

fn format_milliseconds(nanos: Nanos) -> String {
    format!("{:.3} ms", nanos as f64 / NANOS_PER_MILLISECOND)
}

fn state_text(state: HostState) -> &'static str {
    match state {
        HostState::Ready => "is ready",
        HostState::Draining => "is draining",
        HostState::Gone => "is gone",
    }
}

fn answer_text(answer: Answer) -> String {
    match answer {
        Answer::Served => "served".to_owned(),
        Answer::Rejected(0) => "rejected".to_owned(),
        Answer::Rejected(retry_after) => {
            format!(
                "rejected, with retry_after {}",
                format_milliseconds(retry_after)
            )
        }
        Answer::Failed => "failed".to_owned(),
    }
}

fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Good => "success",
        Outcome::Error => "error; it may have been executed",
        Outcome::Rejected => "rejected",
        Outcome::Timeout => "timeout; it may have been executed",
        Outcome::ConnectFailed => "connection failed",
        Outcome::Reset => "connection reset; it may have been executed",
        Outcome::Cancelled => "cancelled; it may have been executed",
        Outcome::NeverSent => "not sent",
    }
}
