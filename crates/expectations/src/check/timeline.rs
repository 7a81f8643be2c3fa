//! The timeline of a failure, without the ready hosts learned at the start and cut to a maximum length.

use crate::explore::Failure;
use quartzcleat_decision::api::HostState;
use quartzcleat_invariants::{timeline, Fact, Processes, Record};

/// Maximum number of lines of a timeline. The middle of a longer one is omitted.
const MAX_LINES: usize = 60;

/// Returns the lines of a run's timeline until its failure, or to the end of the run if the failure's time is 0.
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
    omit_middle(timeline::render(processes, &records))
}

/// Returns whether a limiter learned of a ready host. At the start of a run every limiter does, so these entries are
/// omitted there.
fn is_ready_host(fact: &Fact) -> bool {
    matches!(
        fact,
        Fact::HostStateLearned {
            state: HostState::Ready,
            ..
        }
    )
}

fn omit_middle(mut lines: Vec<String>) -> Vec<String> {
    if lines.len() <= MAX_LINES {
        return lines;
    }
    let omitted = lines.len() - MAX_LINES;
    let end = lines.split_off(lines.len() - MAX_LINES / 2);
    lines.truncate(MAX_LINES / 2);
    lines.push(format!("{:>12}  ({omitted} lines omitted)", "..."));
    lines.extend(end);
    lines
}
