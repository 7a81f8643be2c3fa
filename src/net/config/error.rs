//! The error for a rejected configuration.

use quartzcleat_config::platform::{FlattenError, PairFault};
use quartzcleat_config::replacement::ReplacementFault;
use serde_json::Value;
use std::fmt::Display;

/// Reason why a configuration is rejected. Its message names the key.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The variable `BALANCER_CONFIG`, which names the file, is not set.
    #[error("BALANCER_CONFIG: not set")]
    FileNotSpecified,
    /// The file cannot be read.
    #[error("BALANCER_CONFIG: cannot read {path}: {source}")]
    UnreadableFile {
        /// Path from `BALANCER_CONFIG`.
        path: String,
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[error("configuration: invalid JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A replacement lacks parts of the configuration in force.
    #[error("{}", join(faults))]
    InvalidReplacement {
        /// Every fault found in the replacement.
        faults: Vec<ReplacementFault>,
    },
    /// A required key is missing.
    #[error("{key}: missing")]
    Missing {
        /// Missing key.
        key: &'static str,
    },
    /// An address is not of the form `IP:PORT`.
    #[error("{key}: {text:?} is not an address with a port")]
    InvalidAddress {
        /// Key of the address.
        key: &'static str,
        /// Text that cannot be parsed.
        text: String,
    },
    /// A count is not a non-negative integer.
    #[error("{key}: {value} is not a non-negative integer")]
    InvalidCount {
        /// Key of the count.
        key: &'static str,
        /// Value in the file.
        value: Value,
    },
    /// A list of names has a member that is not a string.
    #[error("settings.{key}: {value} is not a string")]
    InvalidName {
        /// Key of the list, relative to `settings`.
        key: &'static str,
        /// Member that is not a string.
        value: Value,
    },
    /// A list of names is not an array.
    #[error("settings.{key}: {value} is not an array of strings")]
    InvalidNameList {
        /// Key of the list, relative to `settings`.
        key: &'static str,
        /// Value in the file.
        value: Value,
    },
    /// The time for which hosts keep idle connections is not an integer of nanoseconds.
    #[error("settings.limits.connIdleNs: {text:?} is not an integer of nanoseconds")]
    InvalidIdleTimeout {
        /// Text that cannot be parsed.
        text: String,
    },
    /// The settings cannot be flattened into key-value pairs.
    #[error(transparent)]
    InvalidSettingsForm(#[from] FlattenError),
    /// At least one value of the settings is invalid.
    #[error("{}", join_settings(faults))]
    InvalidSettings {
        /// Every fault found in the settings.
        faults: Vec<PairFault>,
    },
    /// The seed is a string, but not a hexadecimal number of at most 64 bits.
    #[error("seed: {text:?} is not a hexadecimal number of up to 64 bits")]
    InvalidSeed {
        /// Text that cannot be parsed.
        text: String,
    },
    /// The seed is not a string.
    #[error("seed: {value} is not a string of hexadecimal digits")]
    SeedNotString {
        /// Value in the file.
        value: Value,
    },
    /// The file allows fewer file descriptors than the connections of each kind need.
    #[error("limits.sockets: {sockets} is too few; at least {min} are needed")]
    TooFewSockets {
        /// File descriptors that the file allows.
        sockets: usize,
        /// File descriptors that are needed at least.
        min: usize,
    },
}

fn join(faults: &[impl Display]) -> String {
    let texts: Vec<_> = faults.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

fn join_settings(faults: &[PairFault]) -> String {
    let texts: Vec<_> = faults
        .iter()
        .map(|fault| format!("settings.{fault}"))
        .collect();
    texts.join("; ")
}
