//! What the kernel tells about a process.

/// Returns the peak resident set size of a process so far, in KiB.
///
/// # Panics
/// Panics if the process does not run.
#[must_use]
pub fn peak_resident_kibibytes(process_id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status"));
    let status = status.expect("the process runs");
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .expect("the status has a line VmHWM");
    peak.split_whitespace()
        .next()
        .and_then(|text| text.parse().ok())
        .expect("the line has a size in KiB")
}
