//! Reading of sink folders and spool folders.

use super::{has_extension, SINK_EXTENSION, SPOOL_EXTENSION};
use quartzcleat_usage_export::{Sink, Spool};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Index of the limiter's name among the space-separated fields of a spool header.
const HEADER_NAME_FIELD: usize = 2;

/// Reads all files of a sink.
///
/// # Errors
/// Returns an error if the folder or one of the files cannot be read.
pub fn read_sink(folder: &Path) -> io::Result<Sink> {
    let mut paths = files_with_extension(folder, SINK_EXTENSION)?;
    paths.sort();
    let mut sink = Sink::default();
    for path in paths {
        sink.add_file(&String::from_utf8_lossy(&fs::read(path)?));
    }
    Ok(sink)
}

/// Reads all spools of a folder, including those that a running process has locked. Files with an invalid header are
/// skipped.
///
/// # Errors
/// Returns an error if the folder or one of the files cannot be read.
pub fn read_spools(folder: &Path) -> io::Result<Vec<Spool>> {
    let mut spools = Vec::new();
    for path in files_with_extension(folder, SPOOL_EXTENSION)? {
        let text = fs::read_to_string(&path)?;
        let limiter = text.split(' ').nth(HEADER_NAME_FIELD).unwrap_or_default();
        let recovered = Spool::recover(limiter, &text);
        spools.extend(recovered.map(|recovered| recovered.spool));
    }
    Ok(spools)
}

fn files_with_extension(folder: &Path, extension: &str) -> io::Result<Vec<PathBuf>> {
    let mut paths: Vec<PathBuf> = fs::read_dir(folder)?
        .flatten()
        .map(|entry| entry.path())
        .collect();
    paths.retain(|path| has_extension(path, extension));
    Ok(paths)
}
