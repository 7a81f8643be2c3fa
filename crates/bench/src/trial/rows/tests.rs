//! Series that resume.

use super::*;
use std::path::PathBuf;

fn head(scenario: &str) -> RowFileHead {
    RowFileHead {
        scenario: scenario.into(),
        unchecked: false,
    }
}

/// A file of rows, removed at the end of its test.
struct TestFile(PathBuf);

impl TestFile {
    fn new(name: &str) -> Self {
        let file = format!("quartzcleat-rows-{name}-{}.jsonl", std::process::id());
        let path = std::env::temp_dir().join(file);
        // The file is there only after an interrupted test.
        let _ = std::fs::remove_file(&path);
        TestFile(path)
    }

    fn resume(&self) -> StoredRows {
        RowFile::resume(&self.0, &head("a")).expect("a new file, or one of the same scenario")
    }

    fn append(&self, row: &Row) {
        let mut stored = self.resume();
        let file = stored.file.as_mut().expect("a file");
        file.append(row).expect("stored");
    }
}

impl Drop for TestFile {
    fn drop(&mut self) {
        // A file that stays behind does not concern the result.
        let _ = std::fs::remove_file(&self.0);
    }
}

fn row_of(seed: u64) -> Row {
    Row {
        seed,
        changes: 2,
        ..Row::default()
    }
}

#[test]
fn new_file_has_no_rows() {
    assert!(TestFile::new("new").resume().rows.is_empty());
}

#[test]
fn series_resumes_from_its_rows() {
    let file = TestFile::new("rows");
    file.append(&row_of(7));
    file.append(&row_of(8));
    assert_eq!(file.resume().rows, [row_of(7), row_of(8)]);
}

/// The series was killed while it wrote the second row.
#[test]
fn series_resumes_before_an_incomplete_row_and_goes_on_behind_it() {
    let file = TestFile::new("incomplete");
    file.append(&row_of(7));
    let mut stored = file.resume();
    let interrupted = stored.file.as_mut().expect("a file");
    write!(interrupted.0, "{{\"seed\":8,\"acc").expect("written");
    drop(stored);
    assert_eq!(file.resume().rows, [row_of(7)]);
    file.append(&row_of(8));
    assert_eq!(file.resume().rows, [row_of(7), row_of(8)]);
}

#[test]
fn rows_of_another_scenario_are_refused() {
    let file = TestFile::new("other");
    file.append(&row_of(7));
    let refused = RowFile::resume(&file.0, &head("b"));
    assert!(refused.is_err_and(|error| error.to_string().contains("another story")));
}
