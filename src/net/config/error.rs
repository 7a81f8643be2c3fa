//! Why a configuration is rejected.

use quartzcleat_config::platform::{FlattenError, PairFault};
use quartzcleat_config::replacement::ReplacementFault;
use serde_json::Value;
use std::fmt::Display;

/// A configuration is rejected. The text names the key.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment names no file.
    #[error("BALANCER_CONFIG: not set")]
    FileNotNamed,
    /// The file cannot be read.
    #[error("BALANCER_CONFIG: cannot read {path}: {source}")]
    UnreadableFile {
        /// The path that the environment names.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[error("configuration: not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A replacement lacks parts of the configuration in force.
    #[error("{}", join(faults))]
    InvalidReplacement {
        /// All that is wrong with it.
        faults: Vec<ReplacementFault>,
    },
    /// A required key is missing.
    #[error("{key}: missing")]
    Missing {
        /// The key.
        key: &'static str,
    },
    /// An address cannot be parsed.
    #[error("{key}: {text:?} is not an address with a port")]
    InvalidAddress {
        /// The key.
        key: &'static str,
        /// Its value.
        text: String,
    },
    /// A count is not a whole number from 0 up.
    #[error("{key}: {value} is not a count")]
    InvalidCount {
        /// The key.
        key: &'static str,
        /// Its value.
        value: Value,
    },
    /// A list of names has another member.
    #[error("settings.{key}: {value} is not a name")]
    InvalidName {
        /// The key of the list.
        key: &'static str,
        /// The member.
        value: Value,
    },
    /// A list of names is no list.
    #[error("settings.{key}: {value} is not a list of names")]
    InvalidNameList {
        /// The key.
        key: &'static str,
        /// Its value.
        value: Value,
    },
    /// The time for which hosts keep idle connections is not a number.
    #[error("settings.limits.connIdleNs: cannot read {text:?}")]
    InvalidIdleTimeout {
        /// Its value.
        text: String,
    },
    /// The settings have no form as pairs.
    #[error(transparent)]
    InvalidSettingsForm(#[from] FlattenError),
    /// Values of the settings are invalid.
    #[error("{}", join_settings(faults))]
    InvalidSettings {
        /// All that is wrong with them.
        faults: Vec<PairFault>,
    },
    /// The seed is a text without a hexadecimal number.
    #[error("seed: {text:?} is not a hexadecimal number")]
    InvalidSeed {
        /// The text.
        text: String,
    },
    /// The seed is no text.
    #[error("seed: {value} is not a text of hexadecimal digits")]
    SeedNotText {
        /// Its value.
        value: Value,
    },
    /// A process cannot work with so few file descriptors.
    #[error("limits.sockets: {sockets} is too few, {min} are needed")]
    TooFewSockets {
        /// How many the file allows.
        sockets: usize,
        /// How many are needed.
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
