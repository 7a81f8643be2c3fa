//! The file of rows: its first line names the scenario, each other one is the row of a seed. An interrupted series resumes
//! from it. The keys are a stored format; they keep their spelling.

use crate::error::BenchError;
use quartzcleat_fault_injection::Row;
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{self, Write as _};
use std::path::Path;

#[cfg(test)]
mod tests;

/// The first line: what the rows are of.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct RowFileHead {
    /// The text of the scenario.
    #[serde(rename = "story")]
    pub scenario: String,
    /// Whether the target accepted every action.
    pub unchecked: bool,
}

/// A file that rows are appended to.
#[derive(Debug)]
pub(super) struct RowFile(File);

/// The rows of an interrupted series, and the file to continue with where there is one.
#[derive(Debug, Default)]
pub(super) struct StoredRows {
    /// The rows.
    pub rows: Vec<Row>,
    /// The file.
    pub file: Option<RowFile>,
}

impl RowFile {
    /// Opens a file of rows, new or of an interrupted series. The seed of an incomplete last line is run again.
    ///
    /// # Errors
    /// Fails where the file cannot be read or written, or where its rows are of another scenario.
    pub(super) fn resume(path: &Path, head: &RowFileHead) -> Result<StoredRows, BenchError> {
        let text = match std::fs::read_to_string(path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => String::new(),
            read => read.map_err(BenchError::at(path))?,
        };
        let mut lines = text.lines();
        if let Some(first) = lines.next() {
            let stored: Option<RowFileHead> = serde_json::from_str(first).ok();
            if stored.as_ref() != Some(head) {
                return Err(BenchError::RowsOfAnotherScenario {
                    path: path.to_owned(),
                });
            }
        }
        let rows: Vec<Row> = lines
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect();
        let file = rewrite(path, head, &rows)?;
        Ok(StoredRows {
            rows,
            file: Some(RowFile(file)),
        })
    }

    /// Appends a row.
    ///
    /// # Errors
    /// Fails where the row cannot be written.
    pub(super) fn append(&mut self, row: &Row) -> Result<(), BenchError> {
        let line = serde_json::to_string(row)?;
        writeln!(self.0, "{line}").map_err(BenchError::StoreRow)
    }
}

/// Writes the file without an incomplete last line, so that the next row begins a line.
fn rewrite(path: &Path, head: &RowFileHead, rows: &[Row]) -> Result<File, BenchError> {
    let mut text = serde_json::to_string(head)? + "\n";
    for row in rows {
        text += &(serde_json::to_string(row)? + "\n");
    }
    std::fs::write(path, text).map_err(BenchError::at(path))?;
    OpenOptions::new()
        .append(true)
        .open(path)
        .map_err(BenchError::at(path))
}
