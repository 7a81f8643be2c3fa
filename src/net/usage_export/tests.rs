//! Tests of spool and sink files.

use super::append_file::AppendFile;
use super::*;
use quartzcleat_lease::{FencingToken, PermittedOperation};
use quartzcleat_usage_export::{Batch, SinkRecord, Source, Usage};
use std::fs::{self, OpenOptions};
use std::path::PathBuf;

/// A folder that is removed when the test ends.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(name: &str) -> Self {
        let name = format!("quartzcleat-usage-files-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("the folder is created");
        TemporaryFolder(path)
    }

    fn file_names(&self) -> Vec<String> {
        let entries = fs::read_dir(&self.0).expect("the folder is there");
        let mut names: Vec<String> = entries
            .flatten()
            .map(|entry| entry.file_name().to_string_lossy().into_owned())
            .collect();
        names.sort();
        names
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        // Best effort: a leftover folder does not affect the result.
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn token(round: u64) -> FencingToken {
    FencingToken {
        round,
        proposer: 2,
        incarnation: 3,
    }
}

fn record(sequence: u64) -> SinkRecord {
    let usage = Usage {
        executed_milliunits: 1_000,
        uncertain_milliunits: 0,
        executed_attempts: 1,
    };
    SinkRecord {
        source: Source {
            name: "b".into(),
            epoch: 7,
        },
        batch: Batch {
            sequence,
            usage: [(5, usage)].into_iter().collect(),
        },
    }
}

#[test]
fn partial_line_does_not_corrupt_the_next_one() {
    let folder = TemporaryFolder::new("partial");
    let path = folder.0.join("file");
    fs::write(&path, "partial").expect("the file is written");
    let open = || OpenOptions::new().append(true).open(&path);
    let file = open().expect("the file is there");
    let append_file =
        AppendFile::with_unknown_end(path.clone(), file).expect("the length is known");
    append_file.append("first\n").expect("it can be written");
    append_file.append("second\n").expect("it can be written");
    let text = fs::read_to_string(&path).expect("the file is there");
    assert_eq!(text, "partial\nfirst\nsecond\n");
}

#[test]
fn exporter_writes_each_batch_once_to_the_file_of_its_tenure() {
    let folder = TemporaryFolder::new("sink");
    let spools = TemporaryFolder::new("sink-spools");
    let usage_recorder =
        UsageRecorder::open("a", &spools.0, None).expect("the spool can be written");
    let exporter = Exporter::new(&folder.0);
    let write = |round, sequence| {
        let operation = PermittedOperation {
            token: token(round),
            deadline: 0,
        };
        exporter.write(operation, &record(sequence), &usage_recorder)
    };
    assert!(matches!(write(9, 1), Err(ExportError::TenureEnded)));
    exporter.begin_tenure(token(9)).expect("the sink is there");
    for sequence in [1, 1, 2] {
        write(9, sequence).expect("the tenure was begun");
    }
    exporter.begin_tenure(token(10)).expect("the sink is there");
    assert!(matches!(write(9, 3), Err(ExportError::TenureEnded)));
    write(10, 2).expect("the tenure was begun");
    write(10, 3).expect("the tenure was begun");
    assert_eq!(
        folder.file_names(),
        [
            "00000000000000000009-2-3.used",
            "00000000000000000010-2-3.used"
        ]
    );
    let report = read_sink(&folder.0).expect("the sink is there").report();
    assert_eq!(
        (report.usage[&5].executed_milliunits, report.duplicates),
        (3_000, 0)
    );
}

#[test]
fn spool_of_an_ended_process_is_adopted_and_removed_once_exported() {
    let folder = TemporaryFolder::new("adopted");
    let orphan = UsageRecorder::open("a", &folder.0, None).expect("the spool can be written");
    orphan.start_attempt(5, 1.0);
    let locked = UsageRecorder::open("a", &folder.0, None).expect("the spool can be written");
    locked.cut_batches();
    assert!(
        locked.first_pending_batch().is_none(),
        "a spool is adopted only after its process has ended"
    );
    drop(orphan);
    locked.adopt_orphaned_spools();
    locked.cut_batches();
    let batch = locked.first_pending_batch().expect("the spool is adopted");
    assert_eq!(batch.batch.usage[&5].uncertain_milliunits, 1_000);
    assert_eq!(folder.file_names().len(), 2);
    locked.acknowledge(batch.source.epoch, batch.batch.sequence);
    assert_eq!(folder.file_names().len(), 1);
}
