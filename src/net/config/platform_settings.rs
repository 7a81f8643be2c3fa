//! The platform's settings in the file: those of the decision engine, and those that concern sockets only.

use super::ConfigError;
use crate::api::Settings;
use quartzcleat_config::platform;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;

/// Key of the time, in nanoseconds, for which hosts keep idle connections.
const HOST_IDLE_TIMEOUT_KEY: &str = "limits.connIdleNs";
const DEFAULT_HOST_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The platform's settings, decoded.
pub(super) struct PlatformSettings {
    /// Settings of the decision engine.
    pub(super) settings: Settings,
    /// Zone names, by zone index.
    pub(super) zone_names: Vec<String>,
    /// Names of the machine kinds, by index.
    pub(super) machine_kind_names: Vec<String>,
    /// Time for which hosts keep idle connections.
    pub(super) host_idle_timeout: Duration,
}

impl PlatformSettings {
    /// Decodes the object `settings` of the file.
    pub(super) fn read(file: &Value) -> Result<Self, ConfigError> {
        let settings = file
            .get("settings")
            .ok_or(ConfigError::Missing { key: "settings" })?;
        let pairs = platform::flatten(settings)?;
        let pairs: BTreeMap<&str, &str> = pairs
            .iter()
            .map(|(key, value)| (key.as_str(), value.as_str()))
            .collect();
        let zone_names = read_names(settings, "zones")?;
        let machine_kind_names = read_names(settings, "kinds")?;
        let host_idle_timeout = read_host_idle_timeout(&pairs)?;
        let settings =
            platform::decode(pairs).map_err(|faults| ConfigError::InvalidSettings { faults })?;
        Ok(PlatformSettings {
            settings,
            zone_names,
            machine_kind_names,
            host_idle_timeout,
        })
    }
}

fn read_names(settings: &Value, key: &'static str) -> Result<Vec<String>, ConfigError> {
    match settings.get(key) {
        None => Ok(Vec::new()),
        Some(Value::Array(names)) => names.iter().map(|name| read_name(key, name)).collect(),
        Some(other) => Err(ConfigError::InvalidNameList {
            key,
            value: other.clone(),
        }),
    }
}

fn read_name(key: &'static str, name: &Value) -> Result<String, ConfigError> {
    name.as_str()
        .map(str::to_owned)
        .ok_or_else(|| ConfigError::InvalidName {
            key,
            value: name.clone(),
        })
}

fn read_host_idle_timeout(pairs: &BTreeMap<&str, &str>) -> Result<Duration, ConfigError> {
    match pairs.get(HOST_IDLE_TIMEOUT_KEY) {
        None => Ok(DEFAULT_HOST_IDLE_TIMEOUT),
        Some(text) => {
            text.parse()
                .map(Duration::from_nanos)
                .map_err(|_| ConfigError::InvalidIdleTimeout {
                    text: (*text).to_owned(),
                })
        }
    }
}
