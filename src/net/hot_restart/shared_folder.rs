//! The files in `$TMPDIR` through which processes of one limiter share their state.
//!
//! Each process has a unique name and three files of that name: `.json` (its state), `.lock` (locked while the process
//! is alive) and `.heritage` (the handoff to it from another process). The state and the handoff are written to a
//! temporary file that is then renamed, so that readers never see a partial text.

use crate::api::Nanos;
use std::cell::RefCell;
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

const PREFIX: &str = "quartzcleat-";
const STATE_SUFFIX: &str = "json";
const STATE_DRAFT_SUFFIX: &str = "new";
const LOCK_SUFFIX: &str = "lock";
const HANDOFF_SUFFIX: &str = "heritage";
const HANDOFF_DRAFT_SUFFIX: &str = "draft";

/// The shared folder, and the name of this process in it.
pub(super) struct SharedFolder {
    folder: PathBuf,
    own_name: String,
    /// Lock file, locked while this process is alive; `None` before the first write.
    lock: RefCell<Option<File>>,
}

impl SharedFolder {
    /// Uses the folder for temporary files, for a process that started at `started_at`.
    pub(super) fn new(started_at: Nanos) -> Self {
        SharedFolder {
            folder: std::env::temp_dir(),
            own_name: format!("{PREFIX}{started_at:x}-{:x}", std::process::id()),
            lock: RefCell::default(),
        }
    }

    /// Returns the folder's path.
    pub(super) fn path(&self) -> &Path {
        &self.folder
    }

    fn file(&self, process: &str, suffix: &str) -> PathBuf {
        self.folder.join(format!("{process}.{suffix}"))
    }

    /// Writes this process's state.
    ///
    /// # Errors
    /// Returns an error if the folder cannot be written to, or if another process holds the lock.
    pub(super) fn write_state(&self, text: &str) -> io::Result<()> {
        self.acquire_lock()?;
        let draft = self.file(&self.own_name, STATE_DRAFT_SUFFIX);
        write_and_rename(&draft, &self.file(&self.own_name, STATE_SUFFIX), text)
    }

    fn acquire_lock(&self) -> io::Result<()> {
        if self.lock.borrow().is_none() {
            let lock = File::create(self.file(&self.own_name, LOCK_SUFFIX))?;
            lock.try_lock()?;
            self.lock.replace(Some(lock));
        }
        Ok(())
    }

    /// Returns the names of all other processes, of any limiter, that published a state.
    ///
    /// # Errors
    /// Returns an error if the folder cannot be read.
    pub(super) fn other_processes(&self) -> io::Result<Vec<String>> {
        let files = fs::read_dir(&self.folder)?;
        let names = files.flatten().filter_map(|file| {
            let file_name = file.file_name().to_string_lossy().into_owned();
            let process = file_name.strip_suffix(&format!(".{STATE_SUFFIX}"))?;
            let is_other = process.starts_with(PREFIX) && process != self.own_name;
            is_other.then(|| process.to_owned())
        });
        Ok(names.collect())
    }

    /// Reads the state that a process published.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read; its process may have ended in the meantime.
    pub(super) fn read_state(&self, process: &str) -> io::Result<String> {
        fs::read_to_string(self.file(process, STATE_SUFFIX))
    }

    /// Whether a process is alive, that is, holds the lock on its lock file.
    pub(super) fn is_alive(&self, process: &str) -> bool {
        let lock = self.file(process, LOCK_SUFFIX);
        File::open(lock).is_ok_and(|file| matches!(file.try_lock(), Err(TryLockError::WouldBlock)))
    }

    /// Writes the handoff to another process.
    ///
    /// # Errors
    /// Returns an error if the folder cannot be written to.
    pub(super) fn write_handoff(&self, process: &str, text: &str) -> io::Result<()> {
        let draft = self.file(process, HANDOFF_DRAFT_SUFFIX);
        write_and_rename(&draft, &self.file(process, HANDOFF_SUFFIX), text)
    }

    /// Reads and removes the handoff from another process to this one; returns `None` if there is none.
    pub(super) fn take_handoff(&self) -> Option<String> {
        let file = self.file(&self.own_name, HANDOFF_SUFFIX);
        let text = fs::read_to_string(&file).ok()?;
        remove_if_present(&file);
        Some(text)
    }

    /// Removes the files of a process that has ended.
    pub(super) fn remove_files(&self, process: &str) {
        for suffix in [STATE_SUFFIX, LOCK_SUFFIX, HANDOFF_SUFFIX] {
            remove_if_present(&self.file(process, suffix));
        }
    }
}

fn write_and_rename(draft: &Path, file: &Path, text: &str) -> io::Result<()> {
    fs::write(draft, text)?;
    fs::rename(draft, file)
}

/// Removes a file. Errors are ignored: another process may have removed it already, and a file that remains is found
/// again at the next poll.
fn remove_if_present(file: &Path) {
    let _ = fs::remove_file(file);
}
