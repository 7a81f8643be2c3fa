//! Reading of the configuration file and of the environment variables that override it.

use super::{parse, parse_replacement, Config, ConfigError};
use serde_json::Value;

const FILE_VARIABLE: &str = "BALANCER_CONFIG";

/// Reads the configuration file named by `BALANCER_CONFIG`.
///
/// # Errors
/// Returns an error if the variable is not set, the file cannot be read or its content is rejected.
pub fn from_environment() -> Result<Config, ConfigError> {
    parse(&read_file()?, variable)
}

/// Reads the configuration file again while the process runs, to replace `current`, the file in force.
///
/// # Errors
/// Returns an error if the variable is not set, the file cannot be read or its content is rejected.
pub fn reload_from_environment(current: &Value) -> Result<Config, ConfigError> {
    parse_replacement(current, &read_file()?, variable)
}

fn read_file() -> Result<String, ConfigError> {
    let path = variable(FILE_VARIABLE).ok_or(ConfigError::FileNotSpecified)?;
    std::fs::read_to_string(&path).map_err(|source| ConfigError::UnreadableFile { path, source })
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}
