//! File storage of the usage export: the spools of this limiter, and the sink that all limiters share.
//!
//! Every limiter process writes a spool in its limiter's own folder ([`UsageRecorder`]). The limiter that holds the
//! export lease fetches batches from all limiters and appends them to its tenure's file in the sink ([`Exporter`]).
//! `quartzcleat_usage_export` defines the lines and the order in which they are written, so that a process may end
//! between any two steps without a batch being lost or counted twice.

mod append_file;
mod exporter;
mod protocol;
mod reader;
mod recorder;
#[cfg(test)]
mod tests;

pub use exporter::{ExportError, Exporter};
pub use protocol::{handle_message, MessageEffect};
pub use reader::{read_sink, read_spools};
pub use recorder::UsageRecorder;

use std::path::Path;

/// File name extension of spools.
const SPOOL_EXTENSION: &str = "spool";

/// File name extension of sink files.
const SINK_EXTENSION: &str = "used";

fn has_extension(path: &Path, extension: &str) -> bool {
    path.extension().is_some_and(|found| found == extension)
}
