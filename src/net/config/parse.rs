//! Parsing of the configuration, and the precedence between file and environment.

use super::limits::Resources;
use super::platform_settings::PlatformSettings;
use super::{Addresses, Config, ConfigError, Limits};
use quartzcleat_config::replacement::check_replacement;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::SystemTime;

const DEFAULT_NAME: &str = "limiter";
const DEFAULT_SOCKETS: u64 = 1024;
/// Number of file descriptors below which the minimum numbers of connections of each kind do not fit.
const MIN_SOCKETS: usize = 128;
const DEFAULT_MEMORY_MEBIBYTES: u64 = 192;

/// A top-level key of the file, and the environment variable that overrides it.
struct Key {
    key: &'static str,
    variable: &'static str,
}

const fn key(key: &'static str, variable: &'static str) -> Key {
    Key { key, variable }
}

const NAME: Key = key("name", "BALANCER_NAME");
const LISTEN: Key = key("listen", "BALANCER_LISTEN");
const ADMIN: Key = key("console", "BALANCER_CONSOLE");
const DISCOVERY: Key = key("discovery", "BALANCER_DISCOVERY");
const COUNTER: Key = key("counter", "BALANCER_COUNTER");

/// Parses a configuration. `variable` looks up an environment variable, which takes precedence over the file.
///
/// # Errors
/// Returns an error if the text is not JSON, or if a key is missing, unknown or out of range.
pub fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let mut file = parse_json(text)?;
    let known_hosts = file
        .as_object_mut()
        .and_then(|file| file.remove("known"))
        .unwrap_or(Value::Null);
    let platform = PlatformSettings::read(&file)?;
    let source = Source {
        file: &file,
        variable: &variable,
    };
    let counter = source.counter(platform.settings.counter.is_available)?;
    let admin = source.optional_address(&ADMIN)?;
    let seed = source.seed()?;
    let limits = source.limits(&platform)?;
    Ok(Config {
        name: source
            .text(&NAME)
            .unwrap_or_else(|| DEFAULT_NAME.to_owned()),
        listen: source.address(&LISTEN)?,
        admin,
        addresses: Addresses {
            discovery: source.address(&DISCOVERY)?,
            counter,
        },
        seed,
        known_hosts,
        settings: platform.settings,
        zone_names: platform.zone_names,
        machine_kind_names: platform.machine_kind_names,
        limits,
        file,
        metrics_interval: None,
        lease: None,
    })
}

/// Parses a configuration that replaces `current`, the file in force.
///
/// Addresses of services in the file take precedence over the environment here: the environment is that of the process
/// start, and the services may have moved since.
///
/// # Errors
/// Returns an error if the text is not JSON, lacks something that the current file has, or is rejected by [`parse`].
pub fn parse_replacement(
    current: &Value,
    text: &str,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Config, ConfigError> {
    let file = parse_json(text)?;
    let faults = check_replacement(current, &file);
    if !faults.is_empty() {
        return Err(ConfigError::InvalidReplacement { faults });
    }
    let services_in_file: Vec<_> = [DISCOVERY, COUNTER]
        .into_iter()
        .filter(|service| file.get(service.key).is_some())
        .map(|service| service.variable)
        .collect();
    parse(text, |name| {
        if services_in_file.contains(&name) {
            None
        } else {
            variable(name)
        }
    })
}

fn parse_json(text: &str) -> Result<Value, ConfigError> {
    serde_json::from_str(text).map_err(ConfigError::NotJson)
}

/// The two sources of configuration values: the file and the environment.
struct Source<'a> {
    file: &'a Value,
    variable: &'a dyn Fn(&str) -> Option<String>,
}

impl Source<'_> {
    fn text(&self, key: &Key) -> Option<String> {
        let in_file = || self.file.get(key.key).and_then(Value::as_str);
        (self.variable)(key.variable).or_else(|| in_file().map(str::to_owned))
    }

    fn address(&self, key: &Key) -> Result<SocketAddr, ConfigError> {
        let address = self.optional_address(key)?;
        address.ok_or(ConfigError::Missing { key: key.key })
    }

    fn optional_address(&self, key: &Key) -> Result<Option<SocketAddr>, ConfigError> {
        let Some(text) = self.text(key) else {
            return Ok(None);
        };
        match text.parse() {
            Ok(address) => Ok(Some(address)),
            Err(_) => Err(ConfigError::InvalidAddress { key: key.key, text }),
        }
    }

    fn counter(&self, is_required: bool) -> Result<Option<SocketAddr>, ConfigError> {
        if is_required {
            self.address(&COUNTER).map(Some)
        } else {
            self.optional_address(&COUNTER)
        }
    }

    /// Returns the seed; it is taken from the clock if the file has none.
    fn seed(&self) -> Result<u64, ConfigError> {
        match self.file.get("seed") {
            None => Ok(SystemTime::UNIX_EPOCH
                .elapsed()
                .map_or(0, |since_epoch| since_epoch.as_nanos() as u64)),
            Some(Value::String(text)) => u64::from_str_radix(text, 16)
                .map_err(|_| ConfigError::InvalidSeed { text: text.clone() }),
            Some(other) => Err(ConfigError::SeedNotString {
                value: other.clone(),
            }),
        }
    }

    fn limits(&self, platform: &PlatformSettings) -> Result<Limits, ConfigError> {
        let sockets = self.count("sockets", "limits.sockets", DEFAULT_SOCKETS)?;
        let memory = self.count("memory_mb", "limits.memory_mb", DEFAULT_MEMORY_MEBIBYTES)?;
        if sockets < MIN_SOCKETS {
            let min = MIN_SOCKETS;
            return Err(ConfigError::TooFewSockets { sockets, min });
        }
        let resources = Resources {
            sockets,
            memory_bytes: memory << 20,
            host_idle_timeout: platform.host_idle_timeout,
        };
        Ok(Limits::new(&platform.settings, resources))
    }

    /// Returns the count `name` of the object `limits`, or `default` if it is absent or null. Errors name `key`.
    fn count(&self, name: &str, key: &'static str, default: u64) -> Result<usize, ConfigError> {
        let value = self.file.get("limits").and_then(|limits| limits.get(name));
        let count = match value {
            None | Some(Value::Null) => default,
            Some(value) => value.as_u64().ok_or_else(|| ConfigError::InvalidCount {
                key,
                value: value.clone(),
            })?,
        };
        Ok(count as usize)
    }
}
