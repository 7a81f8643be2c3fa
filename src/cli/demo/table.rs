//! Rendering of the demo's events and of its table of requests.

use quartzcleat_decision::api::{ClassIndex, LimiterIndex};
use quartzcleat_invariants::{Answer, Fact, Processes, Record};
use std::collections::BTreeMap;

const NANOS_PER_SECOND: f64 = 1e9;
const NANOS_PER_MILLISECOND: f64 = 1e6;

/// The limiter and class whose requests a row of the table counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RowKey {
    limiter: LimiterIndex,
    class: ClassIndex,
}

/// The counts of one row.
#[derive(Debug, Default)]
struct Row {
    received: u32,
    attempts: u32,
    served: u32,
    rejected: u32,
    failed: u32,
    /// Response times of served requests, in nanoseconds.
    response_times_nanos: Vec<u64>,
}

impl Row {
    /// Returns a quantile, in 0..=1, of the sorted response times, in milliseconds; 0 if no request was served.
    fn quantile_ms(&self, quantile: f64) -> f64 {
        let last = self.response_times_nanos.len().saturating_sub(1);
        let position = (last as f64 * quantile) as usize;
        self.response_times_nanos
            .get(position)
            .map_or(0.0, |nanos| *nanos as f64 / NANOS_PER_MILLISECOND)
    }
}

/// A request that a limiter received.
struct ReceivedRequest {
    row: RowKey,
    /// Time of receipt, in nanoseconds.
    at: u64,
}

/// Renders the notes of a run and a table of its requests.
pub(super) fn render(processes: &Processes, records: &[Record]) -> String {
    let mut text = String::from("Events:\n");
    text.push_str(&render_notes(records));
    text.push('\n');
    text.push_str(&render_header());
    for (key, mut row) in count_requests(records) {
        row.response_times_nanos.sort_unstable();
        text.push_str(&render_row(processes, key, &row));
    }
    text.push('\n');
    text
}

fn render_header() -> String {
    format!(
        "{:24} {:10} {:>8} {:>8} {:>6} {:>8} {:>7} {:>10} {:>10}\n",
        "limiter",
        "class",
        "received",
        "attempts",
        "served",
        "rejected",
        "failed",
        "median ms",
        "95% ms"
    )
}

/// Renders one row, whose response times must be sorted.
fn render_row(processes: &Processes, key: RowKey, row: &Row) -> String {
    format!(
        "{:24} {:10} {:>8} {:>8} {:>6} {:>8} {:>7} {:>10.1} {:>10.1}\n",
        processes.limiter(key.limiter),
        processes.class(key.class),
        row.received,
        row.attempts,
        row.served,
        row.rejected,
        row.failed,
        row.quantile_ms(0.5),
        row.quantile_ms(0.95)
    )
}

fn render_notes(records: &[Record]) -> String {
    let start = records.first().map_or(0, |record| record.at);
    records
        .iter()
        .filter_map(|record| match &record.fact {
            Fact::Note(note) => {
                let seconds = (record.at - start) as f64 / NANOS_PER_SECOND;
                Some(format!("  {seconds:>7.3} s  {note}\n"))
            }
            _ => None,
        })
        .collect()
}

fn count_requests(records: &[Record]) -> BTreeMap<RowKey, Row> {
    let mut rows: BTreeMap<RowKey, Row> = BTreeMap::new();
    let mut requests = BTreeMap::new();
    for record in records {
        match &record.fact {
            Fact::RequestReceived {
                request,
                limiter,
                class,
                ..
            } => {
                let row = RowKey {
                    limiter: *limiter,
                    class: *class,
                };
                let at = record.at;
                requests.insert(*request, ReceivedRequest { row, at });
                rows.entry(row).or_default().received += 1;
            }
            Fact::AttemptSent { request, .. } => {
                if let Some(received) = requests.get(request) {
                    rows.entry(received.row).or_default().attempts += 1;
                }
            }
            Fact::Answered { request, answer } => {
                if let Some(received) = requests.get(request) {
                    let row = rows.entry(received.row).or_default();
                    count_answer(row, *answer, record.at - received.at);
                }
            }
            _ => {}
        }
    }
    rows
}

fn count_answer(row: &mut Row, answer: Answer, response_time_nanos: u64) {
    match answer {
        Answer::Served => {
            row.served += 1;
            row.response_times_nanos.push(response_time_nanos);
        }
        Answer::Rejected(_) => row.rejected += 1,
        Answer::Failed => row.failed += 1,
    }
}
