//! Series that resume.

use super::*;

fn head(scenario: &str) -> RowFileHead {
    RowFileHead {
        scenario: scenario.into(),
        unchecked: false,
    }
}

#[test]
fn interrupted_series_resumes_from_its_rows_and_those_of_another_scenario_are_refused() {
    let path = std::env::temp_dir().join(format!("quartzcleat-rows-{}.jsonl", std::process::id()));
    // The file is there only after an interrupted test.
    let _ = std::fs::remove_file(&path);
    let mut stored = RowFile::resume(&path, &head("a")).expect("a new file");
    assert!(stored.rows.is_empty());
    let row = Row {
        seed: 7,
        changes: 2,
        ..Row::default()
    };
    let file = stored.file.as_mut().expect("a file");
    file.append(&row).expect("stored");
    // The series was killed within the next line.
    write!(file.0, "{{\"seed\":8,\"acc").expect("written");
    drop(stored);
    let mut stored = RowFile::resume(&path, &head("a")).expect("the same scenario");
    assert_eq!(stored.rows, std::slice::from_ref(&row));
    let next = Row {
        seed: 8,
        ..row.clone()
    };
    let file = stored.file.as_mut().expect("a file");
    file.append(&next).expect("stored");
    drop(stored);
    let stored = RowFile::resume(&path, &head("a")).expect("the same scenario");
    assert_eq!(stored.rows.len(), 2);
    let refused = RowFile::resume(&path, &head("b"));
    assert!(refused.is_err_and(|error| error.to_string().contains("another story")));
    // A file that stays behind does not concern the result.
    let _ = std::fs::remove_file(&path);
}
