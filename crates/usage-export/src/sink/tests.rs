//! Tests of [`Sink`].

use super::*;
use crate::{AttemptOutcome, Usage};

fn record(sequence: u64, executed_milliunits: u64) -> SinkRecord {
    let source = Source {
        name: "a".into(),
        epoch: 7,
    };
    let usage = Usage {
        executed_milliunits,
        uncertain_milliunits: 0,
        executed_attempts: 1,
    };
    SinkRecord {
        source,
        batch: Batch {
            sequence,
            usage: [(5, usage)].into_iter().collect(),
        },
    }
}

fn batch_id(sequence: u64) -> BatchId {
    BatchId {
        source: record(1, 1).source,
        sequence,
    }
}

#[test]
fn batch_in_several_files_counts_once() {
    let lines: Vec<String> = (1..=3)
        .map(|sequence| record(sequence, 1_000).to_line())
        .collect();
    let mut sink = Sink::default();
    sink.add_file(&lines[..2].concat());
    assert!(sink.contains(&record(1, 0).source, 2) && !sink.contains(&record(1, 0).source, 3));
    // The next exporter's file begins at the second batch. A truncated line follows, as of an exporter that was killed.
    sink.add_file(&format!("{}{}{}", lines[1], lines[2], &lines[0][..9]));
    let report = sink.report();
    assert_eq!(
        (
            report.usage[&5].executed_milliunits,
            report.duplicates,
            report.corrupt_lines
        ),
        (3_000, 1, 1)
    );
    assert!(report.missing.is_empty() && report.conflicts.is_empty());
}

#[test]
fn missing_and_conflicting_batches_are_reported() {
    let mut sink = Sink::default();
    for record in [record(1, 1), record(3, 1), record(3, 2)] {
        sink.add(record);
    }
    let report = sink.report();
    assert_eq!(
        (report.missing, report.conflicts),
        (vec![batch_id(2)], vec![batch_id(3)])
    );
}

#[test]
fn usage_that_is_not_exported_yet_is_added_from_the_spool() {
    let mut spool = Spool::new(record(1, 0).source);
    let mut sink = Sink::default();
    for _ in 0..3 {
        let started = spool.start_attempt(5, 1.0);
        spool.end_attempt(started.attempt, AttemptOutcome::Executed(2.0));
        spool.cut_batch();
    }
    let first = spool
        .pending_batches()
        .next()
        .cloned()
        .expect("a batch was cut");
    sink.add(SinkRecord {
        source: spool.source().clone(),
        batch: first,
    });
    let started = spool.start_attempt(5, 1.0);
    spool.end_attempt(started.attempt, AttemptOutcome::Unknown);
    sink.add_spool(&spool);
    assert_eq!(
        sink.report().usage[&5],
        Usage {
            executed_milliunits: 6_000,
            uncertain_milliunits: 1_000,
            executed_attempts: 3
        }
    );
}
