//! Appending of lines to a file.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};

/// A file that lines are appended to.
///
/// After a failed write the next append starts with a line break, so that a partial line does not corrupt the next one.
pub(super) struct AppendFile {
    path: PathBuf,
    file: RefCell<File>,
    may_end_in_partial_line: Cell<bool>,
}

impl AppendFile {
    /// Wraps a file that is empty or ends with a complete line.
    pub(super) fn new(path: PathBuf, file: File) -> Self {
        AppendFile {
            path,
            file: RefCell::new(file),
            may_end_in_partial_line: Cell::new(false),
        }
    }

    /// Wraps a file whose last line may be incomplete.
    ///
    /// # Errors
    /// Returns an error if the file's length cannot be read.
    pub(super) fn with_unknown_end(path: PathBuf, file: File) -> io::Result<Self> {
        let has_content = file.metadata()?.len() > 0;
        let append_file = AppendFile::new(path, file);
        append_file.may_end_in_partial_line.set(has_content);
        Ok(append_file)
    }

    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    /// Appends one or more complete lines, each with its line break.
    pub(super) fn append(&self, lines: &str) -> io::Result<()> {
        let mut file = self.file.borrow_mut();
        if self.may_end_in_partial_line.get() {
            file.write_all(b"\n")?;
            self.may_end_in_partial_line.set(false);
        }
        let written = file.write_all(lines.as_bytes());
        self.may_end_in_partial_line.set(written.is_err());
        written
    }

    /// Replaces the open file by another one, which has been renamed to the same path.
    pub(super) fn replace(&self, file: File) {
        self.file.replace(file);
    }
}
