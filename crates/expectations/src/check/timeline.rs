//! The timeline of a failure, shortened to the entries that a reader needs.

use crate::explore::Failure;
use quartzcleat_decision::api::HostState;
use quartzcleat_invariants::{timeline, Fact, Processes, Record};

/// The most lines of a timeline; the middle of a longer one is left out.
const MAX_LINES: usize = 60;

/// The lines of a failure's timeline, until it fails.
pub(super) fn failure_timeline(processes: &Processes, failure: &Failure) -> Vec<String> {
    let start = failure.records.first().map_or(0, |record| record.at);
    let end = failure.violation.at;
    let records: Vec<Record> = failure
        .records
        .iter()
        .filter(|record| end == 0 || record.at <= end)
        .filter(|record| !(record.at == start && is_ready_host(&record.fact)))
        .cloned()
        .collect();
    leave_out_middle(timeline::render(processes, &records))
}

/// Every limiter learns of the ready hosts at its start, which goes without saying.
fn is_ready_host(fact: &Fact) -> bool {
    matches!(
        fact,
        Fact::HostStateLearned {
            state: HostState::Ready,
            ..
        }
    )
}

fn leave_out_middle(mut lines: Vec<String>) -> Vec<String> {
    if lines.len() <= MAX_LINES {
        return lines;
    }
    let left_out = lines.len() - MAX_LINES;
    let end = lines.split_off(lines.len() - MAX_LINES / 2);
    lines.truncate(MAX_LINES / 2);
    lines.push(format!("{:>12}  ({left_out} lines left out)", "..."));
    lines.extend(end);
    lines
}
