//! The files through which processes of one limiter share their state, in `$TMPDIR`.
//!
//! Each process has a name of its own, from which its files are named: `.json` (its state), `.lock` (locked for as long
//! as it lives) and `.heritage` (the handoff of another process). Files are written whole and then renamed.

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

/// The folder, and this process's name in it.
pub(super) struct SharedFolder {
    folder: PathBuf,
    own_name: String,
    /// Held locked while this process lives.
    lock: RefCell<Option<File>>,
}

impl SharedFolder {
    /// The folder for temporary files, for a process that started at `started_at`.
    pub(super) fn new(started_at: Nanos) -> Self {
        SharedFolder {
            folder: std::env::temp_dir(),
            own_name: format!("{PREFIX}{started_at:x}-{:x}", std::process::id()),
            lock: RefCell::default(),
        }
    }

    /// The folder's path.
    pub(super) fn path(&self) -> &Path {
        &self.folder
    }

    fn file(&self, process: &str, suffix: &str) -> PathBuf {
        self.folder.join(format!("{process}.{suffix}"))
    }

    /// Writes this process's state.
    ///
    /// # Errors
    /// The folder cannot be written to, or the lock is another process's.
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

    /// The names of all other processes that published a state, of whichever limiter.
    ///
    /// # Errors
    /// The folder cannot be read.
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

    /// The state that a process published.
    ///
    /// # Errors
    /// The file cannot be read; its process may have ended meanwhile.
    pub(super) fn read_state(&self, process: &str) -> io::Result<String> {
        fs::read_to_string(self.file(process, STATE_SUFFIX))
    }

    /// Whether a process lives: it holds its lock.
    pub(super) fn is_alive(&self, process: &str) -> bool {
        let lock = self.file(process, LOCK_SUFFIX);
        File::open(lock).is_ok_and(|file| matches!(file.try_lock(), Err(TryLockError::WouldBlock)))
    }

    /// Writes the handoff to another process.
    ///
    /// # Errors
    /// The folder cannot be written to.
    pub(super) fn write_handoff(&self, process: &str, text: &str) -> io::Result<()> {
        let draft = self.file(process, HANDOFF_DRAFT_SUFFIX);
        write_and_rename(&draft, &self.file(process, HANDOFF_SUFFIX), text)
    }

    /// Takes the handoff of another process to this one, if there is one.
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

/// Removes a file. Another process may have removed it before; a file that stays is found again.
fn remove_if_present(file: &Path) {
    let _ = fs::remove_file(file);
}
