//! Tests of [`Spool`] and its recovery.

use super::*;

fn source() -> Source {
    Source {
        name: "a".into(),
        epoch: 7,
    }
}

/// A spool and the text of its file.
struct SpoolWithFile {
    spool: Spool,
    file: String,
}

/// Returns a spool after `steps` random operations: starts and ends of attempts, batches, acknowledgements and
/// compactions.
fn random_spool(seed: u64, steps: usize) -> SpoolWithFile {
    let mut spool = Spool::new(source());
    let mut file = spool.header();
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut open = Vec::new();
    for _ in 0..steps {
        let line = match rng.u8(..10) {
            0..=3 => {
                let started = spool.start_attempt(rng.u64(..30), f64::from(rng.u8(1..40)) / 8.0);
                open.push(started.attempt);
                Some(started.line)
            }
            4..=6 if !open.is_empty() => {
                let attempt = open.swap_remove(rng.usize(..open.len()));
                let outcome = [
                    AttemptOutcome::Executed(f64::from(rng.u8(1..20))),
                    AttemptOutcome::NotExecuted,
                    AttemptOutcome::Unknown,
                ][rng.usize(..3)];
                spool.end_attempt(attempt, outcome)
            }
            7 => spool.cut_batch(),
            8 => spool.acknowledge(rng.u64(..20)),
            _ => spool.compact().inspect(|_| file.clear()),
        };
        file += &line.unwrap_or_default();
    }
    SpoolWithFile { spool, file }
}

fn recover(file: &str) -> RecoveredSpool {
    Spool::recover("a", file).expect("the header is valid")
}

/// Returns the executed milliunits, and the uncertain milliunits including those of open attempts.
fn total(spool: &Spool) -> (u64, u64) {
    let mut sum = Usage::default();
    let batches = spool
        .pending_batches
        .iter()
        .flat_map(|batch| batch.usage.values());
    for usage in spool.unbatched.values().chain(batches) {
        sum.add(*usage);
    }
    let open: u64 = spool
        .open_attempts
        .values()
        .map(|open| open.milliunits)
        .sum();
    (sum.executed_milliunits, sum.uncertain_milliunits + open)
}

#[test]
fn recovered_spool_equals_the_original_with_open_attempts_uncertain() {
    for seed in 0..200 {
        let SpoolWithFile { spool, mut file } = random_spool(seed, 60);
        let mut recovered = recover(&file);
        assert_eq!(
            (recovered.corrupt_lines, recovered.unfinished_attempts),
            (0, spool.open_attempts.len()),
            "seed {seed}"
        );
        assert_eq!(total(&recovered.spool), total(&spool), "seed {seed}");
        assert_eq!(
            (
                &recovered.spool.pending_batches,
                recovered.spool.next_sequence
            ),
            (&spool.pending_batches, spool.next_sequence),
            "seed {seed}"
        );
        // A second recovery, after a further batch, counts nothing twice.
        file += &recovered.lines;
        file += &recovered.spool.cut_batch().unwrap_or_default();
        let again = recover(&file).spool;
        assert_eq!(
            (total(&again), &again.unbatched),
            (total(&spool), &recovered.spool.unbatched),
            "seed {seed}"
        );
    }
}

/// Guards against lost or invented usage when a process is killed in the middle of a write: recovery from a file that
/// is truncated at any byte returns the content of its complete lines.
#[test]
fn spool_truncated_at_any_byte_is_recovered_to_its_last_complete_line() {
    let file = random_spool(3, 80).file;
    let line_ends: Vec<usize> = file.match_indices('\n').map(|(at, _)| at + 1).collect();
    for end in line_ends[0]..file.len() {
        let complete = line_ends
            .iter()
            .rev()
            .find(|at| **at <= end)
            .copied()
            .unwrap_or(0);
        let recovered = recover(&file[..end]);
        assert_eq!(
            recovered.corrupt_lines,
            usize::from(complete < end),
            "at {end}"
        );
        assert_eq!(
            total(&recover(&file[..complete]).spool),
            total(&recovered.spool)
        );
    }
    assert_eq!(
        Spool::recover("a", &file[..line_ends[0] - 1]),
        Err(SpoolError::InvalidHeader),
        "a header without its line feed is invalid"
    );
    assert_eq!(
        Spool::recover("b", &file),
        Err(SpoolError::OtherSource),
        "the spool of another limiter is rejected"
    );
}

#[test]
fn corrupt_line_is_counted_and_acknowledged_batches_are_removed() {
    let mut spool = Spool::new(source());
    let mut file = spool.header();
    for units in [1.0, 2.0] {
        let started = spool.start_attempt(5, units);
        file += &started.line;
        file += &spool
            .end_attempt(started.attempt, AttemptOutcome::Executed(units))
            .expect("the attempt is open");
    }
    file += &spool.cut_batch().expect("attempts have ended");
    assert_eq!(spool.cut_batch(), None);
    let usage: Vec<Usage> = spool
        .pending_batches()
        .map(|batch| batch.usage[&5])
        .collect();
    assert_eq!(
        usage,
        [Usage {
            executed_milliunits: 3_000,
            uncertain_milliunits: 0,
            executed_attempts: 2
        }]
    );
    let corrupt = file.replace("- 2 ", "- 9 ");
    assert_eq!(recover(&corrupt).corrupt_lines, 1);
    file += &spool.acknowledge(1).expect("the batch was pending");
    assert!(spool.acknowledge(1).is_none() && spool.is_empty());
    assert_eq!(
        recover(&file).spool.next_sequence,
        2,
        "sequence numbers are not reused"
    );
}

/// The checksum of the line is valid, so that the attempt is known to have ended, but its usage is unknown.
#[test]
fn end_of_an_attempt_without_valid_usage_is_corrupt_and_closes_the_attempt() {
    for end in ["- 1", "- 1 x", "- 1 1.2"] {
        let mut spool = Spool::new(source());
        let mut file = spool.header();
        file += &spool.start_attempt(5, 1.0).line;
        file += &crate::record::encode_line(end);
        let recovered = recover(&file);
        assert_eq!(
            (recovered.corrupt_lines, recovered.unfinished_attempts),
            (1, 0),
            "{end}"
        );
        assert!(recovered.spool.is_empty(), "{end}");
    }
}

#[test]
fn compacted_file_is_short_and_has_the_same_content() {
    let mut spool = random_spool(1, 40).spool;
    for _ in 0..MIN_COMPACTION_LINES {
        let started = spool.start_attempt(9, 1.0);
        spool.end_attempt(started.attempt, AttemptOutcome::Executed(1.0));
    }
    let before = total(&spool);
    let compacted = spool.compact().expect("most lines are obsolete");
    assert!(compacted.lines().count() < 100);
    let recovered = recover(&compacted).spool;
    assert_eq!(
        (
            total(&recovered),
            recovered.next_sequence,
            &recovered.pending_batches
        ),
        (before, spool.next_sequence, &spool.pending_batches)
    );
}
