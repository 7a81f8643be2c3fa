//! Records as a story that a person can read: one line a fact, times from the beginning.

use crate::record::{Answered, Cast, Record, What};
use quartzcleat_decision::api::{HostState, Nanos, Outcome, RequestId};
use std::collections::BTreeMap;

/// The lines of a story. Requests are named in their order: `request 1`, `request 2`.
pub fn tell(cast: &Cast, records: &[Record]) -> Vec<String> {
    let start = records.iter().map(|record| record.at).min().unwrap_or(0);
    let mut numbers: BTreeMap<RequestId, usize> = BTreeMap::new();
    for record in records {
        if let What::Asked { request, .. } = record.what {
            let next = numbers.len() + 1;
            numbers.entry(request).or_insert(next);
        }
    }
    let name = |request: &RequestId| match numbers.get(request) {
        Some(number) => format!("request {number}"),
        None => "a request".to_owned(),
    };
    let line = |record: &Record| {
        let text = match &record.what {
            What::Asked {
                request,
                limiter,
                class,
                partner,
                units,
                ..
            } => format!(
                "{} comes to {}: a {} of {units} units from {}",
                name(request),
                cast.limiter(*limiter),
                cast.classes.get(*class).map_or("request", String::as_str),
                cast.partners
                    .get(*partner)
                    .map_or("a partner", String::as_str),
            ),
            What::Told {
                limiter,
                host,
                state,
            } => {
                let state = match state {
                    HostState::Ready => "serves",
                    HostState::Draining => "drains",
                    HostState::Gone => "is gone",
                };
                format!(
                    "{} is told that {} {state}",
                    cast.limiter(*limiter),
                    cast.host(*host)
                )
            }
            What::Sent {
                limiter,
                request,
                attempt,
                host,
                cold,
            } => format!(
                "{} sends {} to {}{} (attempt {})",
                cast.limiter(*limiter),
                name(request),
                cast.host(*host),
                if *cold { ", which is cold" } else { "" },
                attempt + 1
            ),
            What::Ran {
                host,
                request,
                dropped: false,
            } => {
                format!("{} runs {}", cast.host(*host), name(request))
            }
            What::Ran {
                host,
                request,
                dropped: true,
            } => {
                format!("{} drops {} as a repeat", cast.host(*host), name(request))
            }
            What::Ended {
                request,
                attempt,
                outcome,
            } => {
                format!(
                    "attempt {} of {} ends: {}",
                    attempt + 1,
                    name(request),
                    ending(*outcome)
                )
            }
            What::Settled { request, units } => {
                format!("{} is settled at {units} units", name(request))
            }
            What::Answered { request, answer } => match answer {
                Answered::Served => format!("{} is served", name(request)),
                Answered::Refused(0) => format!("{} is refused", name(request)),
                Answered::Refused(after) => {
                    format!(
                        "{} is refused, to come back after {}",
                        name(request),
                        milliseconds(*after)
                    )
                }
                Answered::Failed => format!("{} is failed", name(request)),
            },
            What::Left { request } => format!("the client of {} goes away", name(request)),
            What::Started { host } => format!("{} has just started, cold", cast.host(*host)),
            What::Tipped { host } => {
                format!(
                    "{} falls over: sent more than it can do while cold",
                    cast.host(*host)
                )
            }
            What::Died { limiter } => format!("{} dies", cast.limiter(*limiter)),
            What::Noted(text) => text.clone(),
        };
        format!("{:>12}  {text}", milliseconds(record.at - start))
    };
    records.iter().map(line).collect()
}

fn milliseconds(nanos: Nanos) -> String {
    format!("{:.3} ms", nanos as f64 / 1e6)
}

fn ending(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Good => "done",
        Outcome::Error => "an error; it may have run",
        Outcome::Rejected => "turned away",
        Outcome::Timeout => "no answer in time; it may have run",
        Outcome::ConnectFailed => "no connection",
        Outcome::Reset => "the connection broke; it may have run",
        Outcome::Cancelled => "taken back; it may have run",
        Outcome::NeverSent => "not sent",
    }
}
