//! The resident memory of the process, as the kernel counts it.

use std::fs;

const STATUS_PATH: &str = "/proc/self/status";
const BYTES_PER_KIBIBYTE: usize = 1 << 10;

/// The resident memory of this process, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResidentMemory {
    /// All of it, which the platform limits.
    pub total: usize,
    /// The part that no file backs: what the allocator holds, and the stack.
    pub anonymous: usize,
}

impl ResidentMemory {
    /// Reads the resident memory; zero where the kernel does not tell it.
    pub fn read() -> Self {
        let status = fs::read_to_string(STATUS_PATH).unwrap_or_default();
        ResidentMemory::parse(&status)
    }

    /// Parses the text of `/proc/self/status`.
    pub(super) fn parse(status: &str) -> Self {
        ResidentMemory {
            total: field(status, "VmRSS:"),
            anonymous: field(status, "RssAnon:"),
        }
    }
}

fn field(status: &str, name: &str) -> usize {
    let values = status.lines().find_map(|line| line.strip_prefix(name));
    let kibibytes = values.and_then(|values| values.split_whitespace().next());
    let kibibytes = kibibytes.and_then(|number| number.parse::<usize>().ok());
    kibibytes.unwrap_or(0) * BYTES_PER_KIBIBYTE
}
